#!/bin/sh
# Print every slope that docs/CAPACITY.md rests on, then the table that it
# quotes. Ends by itself within six minutes; leave the machine alone meanwhile.
#
# usage: bench/slopes.sh [BUILD-FOLDER]

here=$(dirname "$0")
build=${1:-build}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# part NAME SECONDS: one part, ended after so long.
part () {
	timeout -k 5 "$2" sh "$here/slopes-$1.sh" "$build" >"$out/$1" 2>&1 ||
		echo "NOT WHOLE: slopes-$1.sh ended with $?" >>"$out/$1"
}

# Processor time is measured alone; the other two hardly use any.
part entry 120
part member 220 &
part config 220 &
wait
for name in entry member config
do
	echo "== $name"
	cat "$out/$name"
done

# slope TEXT: the value of a line of slopes-entry.sh.
slope () {
	awk -v text="$1" 'index($0, text) == 1 {
		sub(text, ""); gsub(/^ +| +$/, ""); print }' "$out/entry"
}

# span FILE PATTERN COLUMN: the least and the most of a column.
span () {
	awk -v pattern="$2" -v column="$3" '$0 ~ pattern {
		split($column, value, "/")
		for (i in value) {
			if (least == "" || value[i] + 0 < least)
				least = value[i] + 0
			if (value[i] + 0 > most) most = value[i] + 0
		}
	} END { print least " to " most }' "$out/$1"
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
echo "| membership, bytes a second sent by a member | $(span member "^killed" 4) |"
echo "| death known after, ms | $(span member "^killed" 5) |"
echo "| following, payload bytes a second a node | $(span config "^ *[0-9]+ +[0-9]+ " 5) |"
echo "| change in force everywhere, ms at worst | $(span config "^ *[0-9]+ +[0-9]+ " 8) |"
! grep -h "NOT WHOLE" "$out"/*
