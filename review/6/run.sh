#!/bin/sh
# Five core machines, of which the loss of two is to be borne. Two are removed for good
# and replaced by empty ones at other addresses. Long after these have caught up, a
# configuration is acknowledged and two machines lose their disks. Exits with 1 if no
# keeper returns that configuration within 45 s, though no more than two machines were
# ever lost at a time.
# With REPLACE=0 only the second fault takes place, and the script must pass, too.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"
REPLACED_S=1 # the successors start so long after the removal
CALM_S=14    # catch_up_s is 6, contact_s 3
READ_S=45    # recovery_s is 15
REPLACE=${REPLACE-$TROUBLE}

KEEPERS="1 2 3 4 5"
for n in $KEEPERS
do
	keeper_start $n true
done
entry_start 1
backend_start b1 9001
safe=$(route r-safe /safe/ idempotent desk)
new=$(route r-new /new/ idempotent desk)
first_acknowledged () {
	[ "$(put_config 0 1 "$safe")" = 200 ]
}
wait_until 20 first_acknowledged || cannot_run "no configuration"
[ "$(beat b1 9001 ready 0)" = 200 ] || cannot_run "no acknowledgement of a heartbeat"
note "configuration 1 acknowledged"

# leader: print the number of the keeper that leads, 0 if none says so.
leader () {
	for n in $KEEPERS
	do
		if "$BUILD/hemlockctl" status --json --keepers "$NET.$n:7660" \
			2>/dev/null | grep -q '"role": "leader"'
		then
			echo "$n"
			return
		fi
	done
	echo 0
}
# members: note which members and voters the group has, by the leader.
members () {
	"$BUILD/hemlockctl" status --json --keepers "$NET.$(leader):7660" \
		2>/dev/null >"$DIR/status"
	note "group: $(grep -c '"voter": true' "$DIR/status") voters:$(tr -d '\n ' \
		<"$DIR/status" | sed 's/.*"members"://' |
		grep -o '"name":"127[.0-9]*"' | sed 's/.*\.\([0-9]*\)"/ \1/' |
		tr -d '\n')"
}
# others COUNT: print keepers that run and do not lead.
others () {
	echo "$KEEPERS" | tr ' ' '\n' | grep -vx "$(leader)" | head -n "$1"
}
# without LIST: print the keepers that are not in the list.
without () {
	for n in $KEEPERS
	do
		echo "$1" | grep -qx "$n" || printf '%s ' "$n"
	done | sed 's/ $//'
}
# lose LIST: core machines lose their processes and their disks.
lose () {
	for n in $1
	do
		signal KILL "$(pid "keeper-$n")"
	done
	for n in $1
	do
		kill_hard "keeper-$n"
		rm -rf "$DIR/data-$n"
	done
}
sleep 5
members

if [ "$REPLACE" != 0 ]
then
	removed=$(others 2)
	note "core machines $(echo $removed) are removed for good"
	lose "$removed"
	KEEPERS=$(without "$removed")
	sleep $REPLACED_S
	SEEDS=$(seeds $KEEPERS)
	KEEPERS="$KEEPERS 6 7"
	keeper_start 6 false
	keeper_start 7 false
fi
sleep $CALM_S
members
status=$(put_config 1 2 "$safe")
[ "$status" = 200 ] || cannot_run "configuration 2 gets $status"
note "configuration 2 acknowledged"
sleep 2
wiped="$(leader)
$(others 1)"
status=$(put_config 2 3 "$safe,$new")
[ "$status" = 200 ] || cannot_run "configuration 3 gets $status"
note "configuration 3 acknowledged"
if [ "$TROUBLE" != 0 ]
then
	note "core machines $(echo $wiped) lose their disks"
	lose "$wiped"
	sleep 1
	for n in $wiped
	do
		keeper_start "$n" false
	done
fi

end=$(($(date +%s) + READ_S)) found=0
while [ "$(date +%s)" -lt "$end" ]
do
	for n in $KEEPERS
	do
		status=$(request GET "http://$NET.$n:8146/v1/routing")
		echo "$(date +%H:%M:%S.%3N) read at keeper $n: $status" >>"$RECORD"
		[ "$status" = 200 ] && grep -q '"version":3[,}]' "$DIR/answer" &&
			found=1
	done
	[ $found = 1 ] && break
	sleep 0.5
done
for n in $KEEPERS
do
	signal 0 "$(pid "keeper-$n")" || cannot_run "keeper $n does not run"
done
members
if [ $found = 1 ]
then
	note "configuration 3 was read back"
	exit 0
fi
note "configuration 3 was not read back at any of $(echo $KEEPERS) within $READ_S s"
exit 1
