#!/bin/sh
# CONFIG: two of three keepers refuse to start for good after a loss of power that
# tore their last write, which nothing had acknowledged; nobody answers reads any more.
cd "$(dirname "$0")" || exit 2
. ../lib.sh

ROUTES=8	# of the change that is being written when power fails

# many_routes: routes with names that don't compress well.
many_routes () {
	list=$(route r1 /hold/ once desk 6006 400)
	for n in $(seq $ROUTES)
	do
		name=$(echo "$n" | cksum | cut -d ' ' -f 1)
		list="$list,$(route "r-$name" "/p$name/" once desk 1500 400)"
	done
	echo "$list"
}

# keeper_start_torn N: keeper N of torn-keeper.c, also before power fails.
keeper_start_torn () {
	mkdir -p "$DIR/data-$1"
	render keeper.toml.in "$NET.$1" "zone-$1" true "$DIR/data-$1" \
		>"$DIR/keeper-$1.toml"
	spawn "keeper-$1" env "TORN=$DIR/torn-$1" "TORN_ARMED=$DIR/armed-$1" \
		"$ROOT/target/review/1/torn-keeper" --settings \
		"$DIR/keeper-$1.toml"
}

for n in 1 2 3
do
	keeper_start_torn $n
done
put_routing 0 3 "$(route r1 /hold/ once desk 3003 400)" desk ||
	give_up "no first configuration"
put_routing 3 4 "$(route r1 /hold/ once desk 4004 400)" desk ||
	give_up "version 4 not acknowledged"
note "operator: version 4 on 3: acknowledged"

# read_back SECONDS: read at each keeper, again and again, until one answers.
read_back () {
	seconds=$1
	while [ "$seconds" -gt 0 ]
	do
		seconds=$((seconds - 1))
		for n in 1 2 3
		do
			answer=$(call -t 500 --body \
				"http://$NET.$n:7070/v1/routing" 2>/dev/null)
			case $answer in
			status=200*) note "read at keeper $n: $(echo "$answer" |
				cut -c1-60 | tr '\n' ' ')"; return 0 ;;
			esac
		done
		sleep 1
	done
	return 1
}

# torn_is COUNT: whether so many keepers hang in a write that loses power.
torn_is () {
	[ "$(find "$DIR" -name 'torn-[123]' | wc -l)" = "$1" ]
}

leader=
for n in 1 2 3
do
	call -t 500 "http://$NET.$n:7070/v1/routing" | grep -q '^status=200' &&
		leader=$n
done
[ -n "$leader" ] || give_up "no leader"
note "keeper $leader leads"
for n in $(echo 1 2 3 | tr -d "$leader")
do
	[ "$TROUBLE" = 0 ] || touch "$DIR/armed-$n"
done

# The leader stores the next change and passes it on; power fails on all machines as
# the others write it, so that nobody has acknowledged it.
if [ "$TROUBLE" = 0 ]
then
	put_routing 4 6 "$(many_routes)" desk || give_up "version 6 refused"
	note "operator: version 6 on 4: acknowledged"
else
	put_routing 4 6 "$(many_routes)" desk &
	PIDS="$PIDS $!"
	wait_until 10 torn_is 2 || give_up "no writes were torn"
fi
note "power fails on all machines, $(find "$DIR" -name 'torn-[123]' | wc -l) writes are torn"
for n in 1 2 3
do
	kill -KILL "$(cat "$DIR/keeper-$n.pid")" 2>/dev/null
done
sleep 0.9
for n in 1 2 3
do
	keeper_start $n false
done
# The platform starts processes that end by themselves again, after a short delay.
for round in $(seq 18)
do
	read_back 1 && break
	for n in 1 2 3
	do
		kill -0 "$(cat "$DIR/keeper-$n.pid")" 2>/dev/null && continue
		wait "$(cat "$DIR/keeper-$n.pid")"
		note "keeper $n ended by itself, status $?"
		keeper_start "$n" false
	done
done
if read_back 2
then
	echo "the configuration was read back"
	exit 0
fi
grep -h "kind=corrupt" "$DIR"/keeper-*.log | sed "s#$DIR#DIR#g" |
	tail -n 6 >>"$RECORD"
note "no keeper answers a read 20 s after power is back"
echo "the configuration is gone"
exit 1
