#!/bin/sh
# Measure the slopes (costs per unit of work) in docs/CAPACITY.md and print the
# table that it quotes. Takes less than six minutes; other load on the machine
# distorts the results.
#
# usage: bench/slopes.sh [BUILD-FOLDER]

here=$(dirname "$0")
build=${1:-build}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# part NAME SECONDS: run slopes-NAME.sh with a time limit.
part () {
	timeout -k 5 "$2" sh "$here/slopes-$1.sh" "$build" >"$out/$1" 2>&1 ||
		echo "INCOMPLETE: slopes-$1.sh exited with $?" >>"$out/$1"
}

# The entry part measures processor time, so it runs alone; the other two use
# little of it.
part entry 120
part member 220 &
part config 220 &
wait
for name in entry member config
do
	echo "== $name"
	cat "$out/$name"
done

# slope TEXT: print the value of a line in the output of slopes-entry.sh.
slope () {
	awk -v text="$1" 'index($0, text) == 1 {
		sub(text, ""); gsub(/^ +| +$/, ""); print }' "$out/entry"
}

# range FILE PATTERN COLUMN: print the minimum and maximum of a column.
range () {
	awk -v pattern="$2" -v column="$3" '$0 ~ pattern {
		split($column, value, "/")
		for (i in value) {
			if (min == "" || value[i] + 0 < min)
				min = value[i] + 0
			if (value[i] + 0 > max) max = value[i] + 0
		}
	} END { print min " to " max }' "$out/$1"
}

echo "== table"
echo "| slope | value |"
echo "|---|---|"
echo "| call (GET), us of the entry | $(slope "call, 1 callers, cpu us") alone, $(slope "call, 16 callers, cpu us") with 16 callers |"
echo "| POST on a connection of its own, us | $(slope "POST, 1 callers, cpu us") alone, $(slope "POST, 16 callers, cpu us") with 16 callers |"
echo "| look-up, us | $(slope "look-up, cpu us") |"
echo "| idle entry with one copy, us a second | $(slope "1 copies, cpu us/s") |"
echo "| a copy more, us a second | ($(slope "256 copies, cpu us/s") - $(slope "1 copies, cpu us/s")) / 255 |"
echo "| 256 copies, announcement bytes a second | $(slope "256 copies, announcement bytes/s") |"
echo "| memory, KiB: entry with 1 and 256 copies, a caller's connection | $(slope "1 copies, memory KiB"), $(slope "256 copies, memory KiB"), $(slope "memory of a caller's connection, KiB") |"
echo "| plain and keyed POST, us over three entries | $(slope "POST, cpu us over three entries"), $(slope "keyed POST, cpu us over three entries") |"
echo "| keyed POST, bytes between entries | $(slope "keyed POST, bytes between entries") |"
echo "| change, us over three keepers; a keeper idle, us a second | $(slope "a change, cpu us over three keepers"); $(slope "keepers without changes, cpu us/s each") |"
echo "| membership, bytes a second sent by a member | $(range member "^killed" 4) |"
echo "| death known after, ms | $(range member "^killed" 5) |"
echo "| following, payload bytes a second a node | $(range config "^ *[0-9]+ +[0-9]+ " 5) |"
echo "| change in force everywhere, ms at worst | $(range config "^ *[0-9]+ +[0-9]+ " 8) |"
! grep -h "INCOMPLETE" "$out"/*
