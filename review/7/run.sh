#!/bin/sh
# Three core machines, of which the loss of one is to be borne. An operator replaces two
# of them as planned work: first both successors are added, then the old machines get
# SIGTERM, one eight seconds after the other. Then a configuration is acknowledged, and one
# machine loses its disk. Exits with 1 if no keeper returns that configuration within
# 40 s. With REPLACE=0 only the disk is lost, and the script must pass, too.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"
CALM_S=8  # catch_up_s is 4, contact_s 3
READ_S=40 # recovery_s is 15
REPLACE=${REPLACE-$TROUBLE}

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
# remove N: take core machine N away with SIGTERM; it ends by itself.
remove () {
	note "core machine $1 gets SIGTERM and is removed"
	stop_soft "keeper-$1"
	rm -rf "$DIR/data-$1"
}
sleep 5
members

if [ "$REPLACE" != 0 ]
then
	keeper_start 4 false
	keeper_start 5 false
	KEEPERS="1 2 3 4 5"
	sleep $CALM_S
	members
	remove 1
	KEEPERS="2 3 4 5"
	sleep $CALM_S
	members
	remove 2
	KEEPERS="3 4 5"
fi
sleep $CALM_S
members
status=$(put_config 1 2 "$safe,$new")
[ "$status" = 200 ] || cannot_run "configuration 2 gets $status"
note "configuration 2 acknowledged"
if [ "$TROUBLE" != 0 ]
then
	wiped=$(leader)
	note "core machine $wiped loses its disk"
	kill_hard "keeper-$wiped"
	rm -rf "$DIR/data-$wiped"
	sleep 1
	keeper_start "$wiped" false
fi

end=$(($(date +%s) + READ_S)) found=0
while [ "$(date +%s)" -lt "$end" ]
do
	for n in $KEEPERS
	do
		status=$(request GET "http://$NET.$n:8146/v1/routing")
		echo "$(date +%H:%M:%S.%3N) read at keeper $n: $status" >>"$RECORD"
		[ "$status" = 200 ] && grep -q '"version":2[,}]' "$DIR/answer" &&
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
	note "configuration 2 was read back"
	exit 0
fi
note "configuration 2 was not read back at any of $(echo $KEEPERS) within $READ_S s"
exit 1
