#!/bin/sh
# Compare the ways of choosing a copy on the same work, in the same run.
#
# usage: bench/compare.sh [--quick|--faults] [--entries N] [--out FOLDER]
#
# 8 entries, 16 copies of 3 slots, 20 ms exponential, 1 ms each way. Prints
# medians over the seeds and the spread of p99; one histogram a run as text.
# HEMLOCK_BUILD names the build folder, HEMLOCK_LANES how many run at once.

here=$(dirname "$0")
depth=full out= seeds="1 2 3" entries=8
while [ $# -gt 0 ]
do
	case $1 in
	--quick) depth=quick seeds=1 ;;
	--faults) depth=faults ;;
	--entries) entries=$2; shift ;;
	--out) out=$2; shift ;;
	*) sed -n 's/^# usage: /usage: /p' "$0" >&2; exit 2 ;;
	esac
	shift
done
out=${out:-$(mktemp -d)}
mkdir -p "$out"

for seed in $seeds
do
	for policy in B0 B1 B2 B3 B4 B4s
	do
		echo "$policy $seed $depth $entries $out"
	done
done | xargs -P "${HEMLOCK_LANES:-3}" -L 1 sh "$here/compare-policy.sh" \
	>"$out/results" 2>"$out/errors"

awk -f "$here/table.awk" "$out/results"
echo "results and histograms: $out"
