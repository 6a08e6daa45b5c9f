#!/bin/sh
# CONFIG: a keeper that loses power while it catches up with the log takes entries of
# its own, which no quorum has, for committed ones. Once it leads, what the operator
# was acknowledged is gone.
cd "$(dirname "$0")" || exit 2
. ../lib.sh

ROUNDS=8	# changes of the leader at most

# document VERSION TIMEOUT_MS: a whole configuration, told apart by its timeout.
document () {
	echo "{\"version\":$1,\"routes\":{$(route r1 /hold/ once desk "$2" 400)},\
\"services\":{\"desk\":{\"health_path\":\"/health\",\"connections\":240,\
\"protocol\":\"h1\",\"tls\":false}},$LIMITS}"
}

# order BASE VERSION TIMEOUT_MS: the operator sends a change until it has an answer.
order () {
	keeper_request PUT /v1/routing -H "Base-Version: $1" \
		-d "$(document "$2" "$3")"
	note "operator: version $2 on $1, timeout $3 ms: answer $status"
	[ "$status" = 200 ]
}

# read_at N: what keeper N answers to a read, without following its redirect.
read_at () {
	call -t 1000 --body "http://$NET.$1:7070/v1/routing" 2>/dev/null
}

# find_leader: set $leader to the keeper that answers reads.
find_leader () {
	for n in 1 2 3
	do
		read_at "$n" | grep -q '^status=200' && leader=$n && return 0
	done
	return 1
}

# kill_keeper N: the platform's SIGKILL, or the end of power.
kill_keeper () {
	send_signal KILL "keeper-$1"
	wait "$(cat "$DIR/keeper-$1.pid")" 2>/dev/null
}

# check_reads: read at all keepers; the version that was acknowledged last is 6, with
# a timeout of 6006 ms. Notes what is wrong, and sets $broken.
broken=0
check_reads () {
	for n in 1 2 3
	do
		answer=$(read_at "$n" | tr -d '\n')
		case $answer in
		status=200*'"version":6'*'"timeout_ms":6006'*)
			note "read at keeper $n: version 6, as acknowledged" ;;
		status=200*)
			note "read at keeper $n: $answer"
			broken=1 ;;
		esac
	done
}

for n in 1 2 3
do
	keeper_start $n true
done
order 0 3 3003 || give_up "no first configuration"
wait_until 5 find_leader || give_up "no leader"
first=$leader
note "keeper $first leads"

if [ "$TROUBLE" != 0 ]
then
	others=$(echo 1 2 3 | tr -d "$first")
	# All keepers are killed at the same moment, just after a change was sent to
	# the leader, which has stored it but not passed it on yet.
	for n in $others
	do
		send_signal KILL "keeper-$n"
	done
	call -t 150 -X PUT -H "Base-Version: 3" -d "$(document 5 5005)" \
		"http://$NET.$first:7070/v1/routing" >"$DIR/answer-5" 2>&1
	note "operator: version 5 on 3, timeout 5005 ms: $(head -n 1 "$DIR/answer-5")"
	kill_keeper "$first"
	for n in $others
	do
		wait "$(cat "$DIR/keeper-$n.pid")" 2>/dev/null
		keeper_start "$n" false
	done
fi
order 3 6 6006 || give_up "version 6 not acknowledged"

if [ "$TROUBLE" != 0 ]
then
	# The machine of the first leader comes back, and loses power as it writes
	# what it has missed.
	sleep 1.5
	export TORN="$DIR/torn"
	spawn "keeper-$first" "$ROOT/target/review/1/torn-keeper" --settings \
		"$DIR/keeper-$first.toml"
	wait_until 20 test -e "$TORN" || give_up "no write was torn"
	note "keeper $first loses power during a write"
	kill_keeper "$first"
	keeper_start "$first" false
	sleep 5
	check_reads
fi

# Each round kills the leader, reads at the next one, and waits until the killed
# keeper has caught up (catch_up_s is 4), so that one machine is lost at a time.
round=0
while [ $round -lt $ROUNDS ] && [ $broken = 0 ]
do
	round=$((round + 1))
	wait_until 10 find_leader || give_up "no leader"
	killed=$leader
	kill_keeper "$killed"
	wait_until 10 find_leader || give_up "no new leader"
	note "keeper $leader leads"
	check_reads
	keeper_start "$killed" false
	sleep 5
	[ "$leader" = "$first" ] && [ $round -gt 1 ] && break
done
grep -h "event=store-opened\|event=leadership\|event=routing-order" \
	"$DIR"/keeper-*.log | sort >>"$RECORD"
[ $broken = 0 ] || { echo "acknowledged version 6 is lost"; exit 1; }
echo "version 6 was read at each leader"
exit 0
