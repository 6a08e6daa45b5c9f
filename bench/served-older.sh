#!/bin/sh
# Count the calls that are served by an older version of the routing while all
# keepers are replaced one after the other, and after all processes are killed and
# start again. A call is counted if it is sent later than 2 s after a version was
# acknowledged, and a copy runs it, by its own record, as only an older version
# allows. Copies, callers and judge are those of this tree; entries and keepers are
# those of any build, with the settings of deploy/.
#
# usage: [NAME=VALUE...] bench/served-older.sh
#
#	BUILD=DIR	build folder with the programs to judge (default: build)
#	SEED=N		seed of the callers and of the changes (1)
#	PLAN=planned	the successor of a keeper comes first, then SIGTERM;
#	PLAN=lost	SIGKILL, the successor comes later
#	WIPE=acker	the keeper that acknowledged the last change loses its disk at
#			the final fault; other: another one; none
#	SETTLE=S	seconds between the last change and the final fault (2)
#	FREEZE=keeper	another keeper is stopped from before the last change to the
#			final fault
#	FREEZE=entry	entry 1 is stopped while all keepers are replaced
#	RETURN=1	the replaced keepers come back with their old disks at the
#			final fault
#	ENTRIES=N	number of entries (16)
#	KEEP=DIR	copy logs, records, events and cases to DIR
#
# Needs "make all tools" in this tree. Prints one line; the exit status is 1 if a
# call was served by an older version or an acknowledged version was lost. A run
# takes about 50 s. One line for each case is in the file "cases" of KEEP. The line:
#
#	calls		before and after the start that follows the final fault
#	older		those that an older version served; at-frozen: sent while the
#			entry was stopped; oldest-over-s: largest time after the 2 s;
#			after-fault-s: first and last, seconds after the final fault
#	denied-late	404 where each version in force has the route
#	refused		503; refused-late: but for the first 6 s after a start
#	not-serving	entries that serve no call after the final start
#	thawed-behind	1: entry 1 follows no change in the 6 s after it goes on
#
# Routes move between two services, so about half of the calls that are routed by
# an older version are run as a newer one allows, and are not counted.

ROOT=$(cd "$(dirname "$0")/.." && pwd)
PROGRAMS=${BUILD:-$ROOT/build}
HEMLOCK_BUILD=$ROOT/build
ENTRY_COUNT=${ENTRIES:-16}
SEED=${SEED:-1} PLAN=${PLAN:-planned} WIPE=${WIPE:-acker} SETTLE=${SETTLE:-2}
. "$ROOT/bench/lib.sh"
. "$HEMLOCK_REGRESS/routed-lib.sh"

BETWEEN_SECONDS=5	# time with changes after each replacement
THAWED_SECONDS=12	# time with changes after the frozen entry goes on
DOWN_SECONDS=0.9	# time for which all processes are down
AFTER_SECONDS=12	# time of the callers after the final start
STOP_SECONDS=10		# time for which a replaced keeper may take to stop
COPY_SLOTS=8
COPIES="c1=desk,c2=desk,c3=ledger,c4=ledger"
MEMBERS="1 2 3"
KEEPERS=$MEMBERS
base=0 version=0
r1=desk r2=desk r3=ledger r4=ledger

# luck N: set $lucky to the next number from 0 to N-1 of the seed's sequence.
lucky=0 luck_state=$((SEED * 7919 + 17))
luck () {
	luck_state=$(((luck_state * 1103515245 + 12345) % 2147483648))
	lucky=$((luck_state / 65536 % $1))
}

# pause MIN RANGE: sleep for MIN to MIN + RANGE hundredths of a second.
pause () {
	luck $2
	sleep "$(awk "BEGIN { print ($1 + $lucky) / 100 }")"
}

# event TEXT: append a line for the judge.
event () {
	echo "$(date +%s.%N) $*" >>"$DIR/events"
}

# render TEMPLATE ADDRESS ZONE FIRST_START DATA: fill in a template of deploy/.
render () {
	seeds=$(for n in $MEMBERS
	do
		printf '"%s.%s:7070", ' "$NET" "$n"
	done)
	sed -e "s/{{#seeds}}.*{{\/seeds}}/${seeds%, }/" \
		-e 's/{{#bounds.probes_per_s}}\(.*\){{.}}{{\/bounds.probes_per_s}}/\160/' \
		-e "s/{{vm}}/vm-$2/; s/{{ip}}/$2/g; s/{{zone}}/$3/" \
		-e 's/{{region}}/region-1/; s/{{ports.0}}/7660/' \
		-e "s/{{listen.calls}}/$2:7080/; s/{{listen.ready}}/$2:7081/" \
		-e "s/{{listen.directory}}/$2:7071/" \
		-e "s/{{listen.control}}/$2:7070/" \
		-e "s/{{first_start}}/$4/; s#{{data}}#$5#" \
		-e 's/{{bounds.retry_ratio}}/0.2/; s/{{bounds.retry_slack}}/60/' \
		-e 's/{{bounds.retry_window_s}}/10/' "$ROOT/deploy/$1"
}

# zone_of N: print the zone of entry or keeper N.
zone_of () {
	echo "zone-$((($1 - 1) % 3 + 1))"
}

# keeper_settings N FIRST_START, entry_settings N: write the settings of a program
# with the addresses of the present members.
keeper_settings () {
	mkdir -p "$DIR/data-$1"
	render keeper.toml.in "$NET.$1" "$(zone_of $1)" $2 "$DIR/data-$1" \
		>"$DIR/keeper-$1.toml"
}

entry_settings () {
	render entry.toml.in "$NET.1$1" "$(zone_of $1)" true "" \
		>"$DIR/entry-$1.toml"
}

# start KIND N: start a program that is judged.
start () {
	spawn "$1-$2" "$PROGRAMS/hemlock-$1" --settings "$DIR/$1-$2.toml"
}

# start_keeper N FIRST_START: write the settings of a keeper and start it.
start_keeper () {
	keeper_settings $1 $2
	start keeper $1
}

# ask N...: operator and copies ask these keepers, in this order.
ask () {
	KEEPERS=$*
	echo "$KEEPERS" >"$DIR/keepers.new"
	mv "$DIR/keepers.new" "$DIR/keepers"
}

# set_members N...: these are the keepers from now on.
set_members () {
	MEMBERS=$*
	ask "$@"
}

# successor_of OLD NEW: replace a member by another one in the list.
successor_of () {
	set_members $(echo " $MEMBERS " | sed "s/ $1 / $2 /")
}

# announce_copies: announce all copies each second, in a process with its own
# folder for responses.
announce_copies () {
	keepers=$DIR/keepers
	DIR=$DIR/announce
	mkdir "$DIR"
	sequence=0
	while :
	do
		sequence=$((sequence + 1))
		KEEPERS=$(cat "$keepers")
		for copy in $(echo "$COPIES" | tr ',' ' ')
		do
			id=${copy%=*}
			announce_copy "$id" "900${id#c}" ready $sequence \
				"${copy#*=}" >"$DIR/announced"
		done
		sleep 1
	done
}

# move ROUTE: let a route go to the other service.
move () {
	eval "service=\$$1"
	[ "$service" = desk ] && service=ledger || service=desk
	eval "$1=$service"
}

# change: submit a version that moves two routes, adds one and removes the oldest
# of those that were added. Sets $acker to the keeper that acknowledged it, or to
# nothing.
added=
change () {
	luck 4
	move r$((lucky + 1))
	move r$(((lucky + 1) % 4 + 1))
	luck 3
	version=$((version + lucky + 1))
	added="a$version ${added%% *}"
	routes= allowed=
	for name in r1 r2 r3 r4 $added
	do
		service=desk
		case $name in
		r?) eval "service=\$$name" ;;
		esac
		routes="$routes${routes:+,}$(TIMEOUT_MS=1500 route_json $name \
			"/$name/" idempotent "\"service\":\"$service\"")"
		allowed="$allowed $name=$service"
	done
	event "submit $version$allowed"
	acker=
	put_routing $base $version "$routes" >"$DIR/put-status"
	if grep -q status=200 "$DIR/put-status"
	then
		acker=${keeper_url##*.}
		acker=${acker%:*}
		base=$version
		event "ack $version $acker"
	else
		event "refused $version $(tail -n 1 "$DIR/answer")"
		read_back
		base=${read:-$base}
	fi
}

# read_back: set $read to the version that the keepers return, or to nothing.
read_back () {
	keeper_request GET /v1/routing >"$DIR/read-status"
	read=$(grep -q status=200 "$DIR/read-status" &&
		sed -n 's/.*"version":\([0-9]*\)[,}].*/\1/p' "$DIR/answer")
}

# changes SECONDS: make changes for a time.
changes () {
	until=$(($(date +%s) + $1))
	while [ "$(date +%s)" -lt $until ]
	do
		change
		pause 30 120
	done
}

# replace_planned OLD NEW, replace_lost OLD NEW: replace a keeper.
replace_planned () {
	start_keeper $2 false
	pause 100 300
	successor_of $1 $2
	signal TERM "$(pid keeper-$1)"
	wait_until $STOP_SECONDS ended "$(pid keeper-$1)"
	kill_hard keeper-$1
}

replace_lost () {
	kill_hard keeper-$1
	successor_of $1 $2
	pause 30 120
	start_keeper $2 false
}

# ended PID: whether a process of this script has ended.
ended () {
	! grep -q '^State:[[:space:]]*[^ZX]' "/proc/$1/status" 2>/dev/null
}

# replace_all: replace all keepers, with changes before and after each.
replace_all () {
	for pair in 1:4 2:5 3:6
	do
		change
		pause 0 50
		change
		event "replace ${pair%:*} ${pair#*:}"
		replace_$PLAN ${pair%:*} ${pair#*:}
		changes $BETWEEN_SECONDS
	done
}

# another N: print the first member that is not N.
another () {
	for n in $MEMBERS
	do
		[ $n = "$1" ] || echo $n
	done | head -n 1
}

# last_change: make the last change, if asked for beside a frozen keeper.
last_change () {
	change
	if [ "$FREEZE" = keeper ]
	then
		behind=$(another "${acker:-0}")
		event "freeze-keeper $behind"
		freeze keeper-$behind
		ask $(echo " $MEMBERS " | sed "s/ $behind / /") $behind
	fi
	change
	[ -n "$acker" ] || change
}

# lost_disk: set $lost to the keeper whose disk is lost, or to nothing.
lost_disk () {
	case $WIPE in
	acker) lost=$acker ;;
	other) lost=$(another "$acker") ;;
	*) lost= ;;
	esac
}

# prepare_restart: write the settings for the start after the final fault.
prepare_restart () {
	entries=$(seq "$ENTRY_COUNT")
	for n in $entries
	do
		entry_settings $n
	done
	for n in $MEMBERS ${RETURN:+1 2 3}
	do
		keeper_settings $n false
	done
}

# running_ids: print the ids of all entries and of the present members.
running_ids () {
	for n in $MEMBERS
	do
		pid keeper-$n
	done
	for n in $entries
	do
		pid entry-$n
	done
}

# restart_all: all processes but the copies are killed at once and start again.
restart_all () {
	ids=$(running_ids)
	event fault
	kill -KILL $ids
	wait $ids 2>/dev/null
	[ -z "$lost" ] || rm -rf "$DIR/data-$lost"
	sleep $DOWN_SECONDS
	event "start ${lost:-none}"
	for n in $MEMBERS ${RETURN:+1 2 3}
	do
		[ "$n" = "$lost" ] || start keeper $n
	done
	for n in $entries
	do
		start entry $n
	done
	[ -z "$lost" ] && return
	pause 0 200
	start_keeper $lost false
}

set_members 1 2 3
: >"$DIR/events"
for n in $MEMBERS
do
	start_keeper $n true
done
for n in $(seq "$ENTRY_COUNT")
do
	entry_settings $n
	start entry $n
done
for copy in $(echo "$COPIES" | tr ',' ' ')
do
	id=${copy%=*}
	copy_start $id "900${id#c}" --slots $COPY_SLOTS
done
change
announce_copies &
PIDS="$PIDS $!"
wait_until 20 call_succeeds 1 /r1/x || fail "entry 1 does not serve"
spawn judge "$HEMLOCK_BUILD/bench/served-older" --net "$NET" \
	--entries "$ENTRY_COUNT" --events "$DIR/events" --record "$DIR/calls" \
	--services "$COPIES" --cases "$DIR/cases" --seed "$SEED"
sleep 2
[ "$FREEZE" = entry ] && event "freeze 1" && freeze entry-1
replace_all
if [ "$FREEZE" = entry ]
then
	event "thaw 1"
	thaw entry-1
	changes $THAWED_SECONDS
fi
prepare_restart
last_change
lost_disk
sleep "$SETTLE"
restart_all
ask $MEMBERS
sleep $AFTER_SECONDS
read_back
event "read-back ${read:-0}"
stop_soft judge
status=$?
echo "seed=$SEED plan=$PLAN wipe=$WIPE settle=$SETTLE freeze=${FREEZE:-none}" \
	"return=${RETURN:-0} entries=$ENTRY_COUNT:" "$(tail -n 1 "$DIR/judge.log")"
[ -z "$KEEP" ] || { mkdir -p "$KEEP" && cp -r "$DIR/." "$KEEP"; }
exit $status
