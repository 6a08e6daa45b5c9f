#!/bin/sh
# Measure the traffic of membership and the time until it detects a dead member:
# groups of 4, 8, 16 and 32 processes at the same time, with all datagrams
# through a proxy that drops 0, 1 and 5 % of them; then a group of eight with a
# frozen member, one-way partitions and flapping. Takes less than three minutes.
#
# usage: bench/slopes-member.sh [BUILD-FOLDER]

HEMLOCK_BUILD=${1:-build}
HEMLOCK_REGRESS=$(dirname "$0")/../regress
export HEMLOCK_BUILD HEMLOCK_REGRESS
. "$HEMLOCK_REGRESS/lib.sh"

SIZES="4 8 16 32"
# Durations in seconds: the wait until the gossip about the joins has ended, and
# the measurement without faults.
SETTLE_S=8
MEASURE_S=4

now_ms () {
	date +%s%3N
}

# group SIZE LOSS: start SIZE members behind a proxy that drops LOSS percent of
# the datagrams.
group () {
	port=$((7000 + $1))
	set -- "$1" "$2" $(for i in $(seq "$1")
	do
		echo "--peer n$i=$NET.$i:$port>$NET.$((100 + i)):$port"
	done)
	size=$1 loss=$2
	shift 2
	spawn "proxy-$size" "$BUILD/regress/udp-proxy" \
		--control "$NET.99:$port" "$@"
	ready "proxy-$size"
	harm_links $size loss "*" "$loss"
	for i in $(seq $size)
	do
		spawn "g$size-n$i" "$BUILD/regress/member-node" --name "n$i" \
			--address "$NET.$i:$port" \
			--bind "$NET.$((100 + i)):$port" \
			--seed "$NET.1:$port" --random "$i"
	done
}

# harm_links SIZE COMMAND LINK [VALUE]: send a command to the proxy of a group.
harm_links () {
	group_port=$((7000 + $1))
	shift
	"$BUILD/regress/fault-proxy" --tell "$NET.99:$group_port" "$@"
}

# seen SIZE MEMBERS LIVE: true once MEMBERS of a group report LIVE live members.
seen () {
	[ "$(for log in "$DIR/g$1"-n*.log
	do
		grep " live " "$log" | tail -n 1
	done | grep -c " live $3$")" -ge "$2" ]
}

# detection_ms SIZE LIVE START: print the time from START until the members
# first reported LIVE live members, in ms, as median/maximum.
detection_ms () {
	for log in "$DIR/g$1"-n*.log
	do
		awk -v live="$2" -v start="$3" '$2 == "live" &&
			$3 == live && $1 > start { print $1 - start; exit }' \
			"$log"
	done | sort -n |
		awk '{ v[NR] = $1 } END { if (NR)
			printf "%d/%d", v[int((NR + 1) / 2)], v[NR]
			else printf "never" }'
}

# signal_members SIGNAL: send a signal to all members, but not to the proxies.
signal_members () {
	for name in $(ls "$DIR" | sed -n 's/^\(g[0-9]*-n[0-9]*\)\.log$/\1/p')
	do
		signal "$1" "$(pid "$name")"
	done
}

# end_all: send SIGTERM to all processes; their last reports are in the logs.
end_all () {
	for p in $PIDS
	do
		signal TERM "$p"
	done
	wait 2>/dev/null
	PIDS=
}

# total SIZE FIELD: print the sum of a field over the members' last reports.
total () {
	for log in "$DIR/g$1"-n*.log
	do
		grep '^report' "$log" | tail -n 1
	done | awk -v key="$2" '{
		for (i = 2; i < NF; i += 2)
			if ($i == key) sum += $(i + 1)
	} END { print sum + 0 }'
}

# rate SIZE: print the mean number of bytes that a member sent per second, from
# the last reports.
rate () {
	for log in "$DIR/g$1"-n*.log
	do
		grep '^report' "$log" | tail -n 1
	done | awk '{ n++; sum += $5 / $3 } END {
		printf "%d", n ? sum / n : 0 }'
}

# row VALUE...: print one row of the table.
row () {
	printf "%-13s %3s %9s %9s %13s %9s %8s %6s\n" "$@"
}

# measure_kill LOSS: run groups of all sizes concurrently, at first without
# faults; then kill the last member of each.
measure_kill () {
	rm -f "$DIR"/*.log
	for size in $SIZES
	do
		group $size "$1"
	done
	for size in $SIZES
	do
		wait_until 20 seen $size $size $size >/dev/null ||
			echo "the group of $size did not join" >&2
	done
	sleep $SETTLE_S
	signal_members HUP
	sleep $MEASURE_S
	signal_members HUP
	sleep 0.5
	start=$(now_ms)
	for size in $SIZES
	do
		kill_hard "g$size-n$size"
	done
	for size in $SIZES
	do
		wait_until 10 seen $size $((size - 1)) $((size - 1)) \
			>/dev/null && agreed=yes || agreed=no
		row killed $size "$1" "$(rate $size)" \
			"$(detection_ms $size $((size - 1)) "$start")" \
			"$(total $size suspected)" "$(total $size refuted)" \
			$agreed
	done
	end_all
}

# measure_fault NAME COMMAND: run a temporary fault of n8 in a group of eight
# and print what the other seven detected.
measure_fault () {
	rm -f "$DIR"/*.log
	group 8 0
	wait_until 20 seen 8 8 8 >/dev/null
	signal_members HUP
	start=$(now_ms)
	$2
	detect=$(detection_ms 8 7 "$start")
	wait_until 12 seen 8 8 8 >/dev/null && agreed=yes || agreed=no
	signal_members HUP
	sleep 0.5
	row "$1" 8 0 "$(rate 8)" "$detect" "$(total 8 suspected)" \
		"$(total 8 refuted)" $agreed
	end_all
}

freeze_5s () {
	freeze g8-n8
	sleep 5
	thaw g8-n8
}

# cut_5s LINK: drop all datagrams in one direction for 5 s.
cut_5s () {
	harm_links 8 cut "$1"
	sleep 5
	harm_links 8 heal "$1"
}

outbound_cut_5s () {
	cut_5s "n8-*"
}

inbound_cut_5s () {
	cut_5s "*-n8"
}

one_way_5s () {
	cut_5s "n8-n1"
}

flap () {
	for round in 1 2 3 4
	do
		freeze g8-n8
		sleep 1
		thaw g8-n8
		sleep 1
	done
}

flap_links () {
	for round in 1 2 3 4
	do
		harm_links 8 cut "n8-*"
		sleep 1
		harm_links 8 heal "n8-*"
		sleep 1
	done
}

echo "sent B/s, suspected and refuted cover $MEASURE_S s without faults (the"
echo "whole fault in the last rows); dead-ms is the time until the others"
echo "declared the member dead, median/maximum."
row fault n loss-% sent-B/s dead-ms suspected refuted agreed
for loss in 0 1 5
do
	measure_kill $loss
done
measure_fault frozen-5s freeze_5s
measure_fault mute-5s outbound_cut_5s
measure_fault deaf-5s inbound_cut_5s
measure_fault one-way-5s one_way_5s
measure_fault flapping-1s flap
measure_fault link-flaps-1s flap_links
