#!/bin/sh
# What membership costs and how fast it sees a death: groups of 4, 8, 16 and
# 32 processes side by side, all datagrams through a proxy that loses 0, 1 and
# 5 % of them; then eight processes under a freeze, cuts one way and flapping.
# Ends by itself within three minutes.
#
# usage: bench/slopes-member.sh [BUILD-FOLDER]

HEMLOCK_BUILD=${1:-build}
HEMLOCK_REGRESS=$(dirname "$0")/../regress
export HEMLOCK_BUILD HEMLOCK_REGRESS
. "$HEMLOCK_REGRESS/lib.sh"

SIZES="4 8 16 32"
# Seconds until the gossip about the joins has ended, and that are counted.
SETTLE=8
CALM=4

now_ms () {
	date +%s%3N
}

# group SIZE LOSS: start SIZE members behind a proxy that loses LOSS percent.
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

# harm_links SIZE COMMAND LINK [VALUE]: tell the proxy of a group.
harm_links () {
	group_port=$((7000 + $1))
	shift
	"$BUILD/regress/fault-proxy" --tell "$NET.99:$group_port" "$@"
}

# seen SIZE MEMBERS LIVE: MEMBERS of a group last said that LIVE are alive.
seen () {
	[ "$(for log in "$DIR/g$1"-n*.log
	do
		grep " live " "$log" | tail -n 1
	done | grep -c " live $3$")" -ge "$2" ]
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

# signal_members SIGNAL: to all members, not to the proxies.
signal_members () {
	for name in $(ls "$DIR" | sed -n 's/^\(g[0-9]*-n[0-9]*\)\.log$/\1/p')
	do
		signal "$1" "$(pid "$name")"
	done
}

# end_all: SIGTERM to all; what they report is in their logs.
end_all () {
	for p in $PIDS
	do
		signal TERM "$p"
	done
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
	sleep $SETTLE
	signal_members HUP
	sleep $CALM
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
			"$(since $size $((size - 1)) "$start")" \
			"$(total $size suspected)" "$(total $size refuted)" \
			$agreed
	done
	end_all
}

# harm NAME COMMAND: what 7 others saw of a fault of n8 that passes.
harm () {
	rm -f "$DIR"/*.log
	group 8 0
	wait_until 20 seen 8 8 8 >/dev/null
	signal_members HUP
	start=$(now_ms)
	$2
	detect=$(since 8 7 "$start")
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

# cut_5s LINK: datagrams of that way are lost for 5 s.
cut_5s () {
	harm_links 8 cut "$1"
	sleep 5
	harm_links 8 heal "$1"
}

mute_5s () {
	cut_5s "n8-*"
}

deaf_5s () {
	cut_5s "*-n8"
}

one_way_5s () {
	cut_5s "n8-n1"
}

flap () {
	for time in 1 2 3 4
	do
		freeze g8-n8
		sleep 1
		thaw g8-n8
		sleep 1
	done
}

flap_links () {
	for time in 1 2 3 4
	do
		harm_links 8 cut "n8-*"
		sleep 1
		harm_links 8 heal "n8-*"
		sleep 1
	done
}

echo "sent B/s, suspected and refuted are of $CALM calm seconds (of the whole"
echo "fault in the last rows); dead-ms is the time until the others"
echo "held the member for dead, median/largest."
row fault n loss-% sent-B/s dead-ms suspected refuted agreed
for loss in 0 1 5
do
	round $loss
done
harm frozen-5s freeze_5s
harm mute-5s mute_5s
harm deaf-5s deaf_5s
harm one-way-5s one_way_5s
harm flapping-1s flap
harm link-flaps-1s flap_links
