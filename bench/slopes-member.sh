#!/bin/sh
# What membership costs and how fast it sees a death: groups of 4, 8, 16 and
# 32 processes side by side with 0, 1 and 5 % of the datagrams lost, then a
# freeze, a one-way cut and flapping. Ends by itself within two minutes.
#
# usage: bench/slopes-member.sh [BUILD-FOLDER]

HEMLOCK_BUILD=${1:-build}
HEMLOCK_REGRESS=$(dirname "$0")/../regress
export HEMLOCK_BUILD HEMLOCK_REGRESS
. "$HEMLOCK_REGRESS/lib.sh"

SIZES="4 8 16 32"
# Seconds until the gossip about the joins has ended, and that are counted.
SETTLE=14
CALM=6

now_ms () {
	date +%s%3N
}

# group SIZE LOSS: start SIZE members; LOSS of 1000 datagrams are lost.
group () {
	i=1
	while [ $i -le "$1" ]
	do
		spawn "g$1-n$i" "$BUILD/regress/member-node" --name "n$i" \
			--address "$NET.$i:$((7000 + $1))" \
			--seed "$NET.1:$((7000 + $1))" --random "$i" \
			--loss "$2" --cut all
		i=$((i + 1))
	done
}

# seen SIZE MEMBERS LIVE: MEMBERS of a group last said that LIVE are alive.
seen () {
	[ "$(tail -qn 1 "$DIR/g$1"-n*.log | grep -c " live $3$")" -ge "$2" ]
}

# since SIZE LIVE START: ms until members first said LIVE, median/largest.
since () {
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

signal_all () {
	for p in $PIDS
	do
		kill "-$1" "$p" 2>/dev/null
	done
}

# end_all: SIGTERM to all; what they report is in their logs.
end_all () {
	signal_all TERM
	wait 2>/dev/null
	PIDS=
}

# total SIZE FIELD: the sum of a number over the last report of each member.
total () {
	for log in "$DIR/g$1"-n*.log
	do
		grep '^report' "$log" | tail -n 1
	done | awk -v key="$2" '{
		for (i = 2; i < NF; i += 2)
			if ($i == key) sum += $(i + 1)
	} END { print sum + 0 }'
}

# rate SIZE: bytes a second that a member sent in its report.
rate () {
	for log in "$DIR/g$1"-n*.log
	do
		grep '^report' "$log" | tail -n 1
	done | awk '{ n++; sum += $5 / $3 } END {
		printf "%d", n ? sum / n : 0 }'
}

row () {
	printf "%-13s %3s %9s %9s %13s %9s %8s %6s\n" "$@"
}

# round LOSS: all sizes at once, calm for a while, then the last one killed.
round () {
	rm -f "$DIR"/g*.log
	for size in $SIZES
	do
		group $size "$1"
	done
	for size in $SIZES
	do
		wait_until 20 seen $size $size $size >/dev/null ||
			echo "the group of $size did not join" >&2
	done
	sleep $SETTLE
	signal_all HUP
	sleep $CALM
	signal_all HUP
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
			"$(since $size $((size - 1)) "$start")" \
			"$(total $size suspected)" "$(total $size refuted)" \
			$agreed
	done
	end_all
}

# harm NAME COMMAND: what 7 others saw of a fault of n8 that passes.
harm () {
	rm -f "$DIR"/g*.log
	group 8 0
	wait_until 20 seen 8 8 8 >/dev/null
	signal_all HUP
	start=$(now_ms)
	$2 g8-n8
	detect=$(since 8 7 "$start")
	wait_until 12 seen 8 8 8 >/dev/null && agreed=yes || agreed=no
	signal_all HUP
	sleep 0.5
	row "$1" 8 0 "$(rate 8)" "$detect" "$(total 8 suspected)" \
		"$(total 8 refuted)" $agreed
	end_all
}

freeze_5s () {
	freeze "$1"
	sleep 5
	thaw "$1"
}

mute_5s () {
	kill -USR1 "$(pid "$1")"
	sleep 5
	kill -USR2 "$(pid "$1")"
}

flap () {
	for time in 1 2 3 4
	do
		freeze "$1"
		sleep 1
		thaw "$1"
		sleep 1
	done
}

echo "sent B/s, suspected and refuted are of $CALM calm seconds (of the whole"
echo "fault in the last three rows); dead-ms is the time until the others"
echo "held the member for dead, median/largest."
row fault n loss/1000 sent-B/s dead-ms suspected refuted agreed
for loss in 0 10 50
do
	round $loss
done
harm frozen-5s freeze_5s
harm mute-5s mute_5s
harm flapping-1s flap
