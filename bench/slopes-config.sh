#!/bin/sh
# Measure the traffic of an entry that follows the configuration, and the time
# until a change is in force everywhere, with 4, 8, 16 and 32 entries and 0.6
# changes per second. Prints a table.
#
# usage: bench/slopes-config.sh [BUILD-FOLDER] [SECONDS]

HEMLOCK_BUILD=${1:-build}
SECONDS_RUN=${2:-30}
HEMLOCK_REGRESS=$(dirname "$0")/../regress
export HEMLOCK_BUILD HEMLOCK_REGRESS
. "$HEMLOCK_REGRESS/lib.sh"
. "$HEMLOCK_REGRESS/keeper-lib.sh"
. "$HEMLOCK_REGRESS/config-lib.sh"
FANOUT=${FANOUT:-4}
POLL_MS=${POLL_MS:-1000}

# counter NAME N: print the sum of a counter that node-N printed at its exit.
counter () {
	awk -v name="$1" 'index($1, name) == 1 { sum += $2 } END { print sum + 0 }' \
		"$DIR/node-$2.log"
}

# keepers_fresh: start three keepers with an empty configuration, so that the
# entries fetch the same amount at their start in each row.
keepers_fresh () {
	for n in 1 2 3
	do
		[ -z "$(pid "keeper-$n")" ] || kill_hard "keeper-$n"
	done
	rm -rf "$DIR"/data-*
	keepers_start 3
}

# run COUNT: measure with COUNT entries and print one row of the table.
run () {
	count=$1
	keepers_fresh
	nodes_members $(seq 1 "$count")
	for n in $(seq 1 "$count")
	do
		node_start "$n"
	done
	for n in $(seq 1 "$count")
	do
		wait_until 30 node_ready "$n" || fail "node-$n not ready"
	done
	sleep 3
	revision=$(revision "$(keeper_leader)")
	first=$((revision + 1))
	start=$(date +%s%N)
	changes=$((SECONDS_RUN * 6 / 10))
	for i in $(seq 1 $changes)
	do
		put "slope-$count-$i" "p-$count-$((i % 9))-$i" 0 >"$DIR/out"
		echo "$((revision + i)) $(($(date +%s%N) / 1000000))" \
			>>"$DIR/put-$count"
		sleep 1.62
	done
	end=$(date +%s%N)
	sleep 8
	for n in $(seq 1 "$count")
	do
		stop_soft "node-$n"
	done
	report
}

# report: print bytes per node and second, counted at both ends of each
# connection, and the time from the answer to the operator until the last entry
# has the change. The wire bytes include a header of 52 bytes per TCP segment.
report () {
	bytes=0
	segments=0
	cpu=0
	for n in $(seq 1 "$count")
	do
		bytes=$((bytes + $(counter hemlock_config_bytes_total "$n")))
		segments=$((segments + \
			$(counter hemlock_config_segments_total "$n")))
	done
	for n in $(seq 1 "$count")
	do
		grep -E '^[0-9]+ [0-9]+$' "$DIR/node-$n.log"
	done | awk -v first="$first" -v count="$count" -v bytes="$bytes" \
		-v segments="$segments" -v fanout="$FANOUT" -v poll="$POLL_MS" \
		-v seconds="$(((end - start) / 1000000000 + 11))" \
		-v put="$DIR/put-$count" '
	BEGIN { while ((getline line < put) > 0) {
		split(line, f, " "); at[f[1]] = f[2]; changes++ } }
	$1 in at && $2 > last[$1] { last[$1] = $2 }
	END {
		for (r in at) {
			delay = last[r] - at[r]
			sum += delay
			if (delay > max_delay) max_delay = delay
		}
		wire = bytes + 52 * segments
		printf "%7d %6d %7d %7d %14.0f %14.0f %11.0f %11d\n", count, \
			fanout, poll, changes, 2 * bytes / count / seconds, \
			2 * wire / count / seconds, sum / changes, max_delay
	}'
	rm -f "$DIR"/node-*.log
}

printf '%7s %6s %7s %7s %14s %14s %11s %11s\n' entries fanout poll_ms \
	changes payload_B/s wire_B/s mean_ms worst_ms
for count in ${COUNTS:-4 8 16 32}
do
	run "$count"
done
