#!/bin/sh
# Compare the policies for choosing a copy under the same load, in the same run.
#
# usage: bench/compare.sh [--quick|--faults] [--entries N] [--out FOLDER]
#
# By default 8 entries, 16 copies of 3 slots, exponential service times with a
# mean of 20 ms, 1 ms network delay each way. Prints medians over the seeds and
# the range of p99; writes one histogram as text for each run. HEMLOCK_BUILD is
# the build folder, HEMLOCK_LANES the number of concurrent runs.

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
