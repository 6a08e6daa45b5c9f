#!/bin/sh
# Measure the latency that an entry adds to a call: the same load directly to
# the stand-in and through one entry, alternately in the same run. Reports
# whether the addition at p99 is at most 1.2 ms at half of the peak rate of the
# entry.
#
# usage: bench/added-cost.sh

. "$(dirname "$0")/lib.sh"

SECONDS_EACH=${SECONDS_EACH:-2}
MAX_ADDED_US=1200
copies=4 slots=128

spawn_entries 1 "workers_max = 600
keep_ms = 60000"
spawn_target targets --address "$NET.10:9000" --copies $copies \
	--slots $slots --connections 2000 --time 0 --log /dev/null \
	--entries "$ENTRIES" --zone zone-1
direct=$(for n in $(seq 0 $((copies - 1)))
do
	printf '%s:%s,' "$NET.10" $((9000 + n))
done)
direct=${direct%,}
all_announced () {
	"$BUILD/regress/call" "http://$ENTRIES/v1/lookup?service=bay-desk" |
		grep -q status=200
}
wait_until 10 all_announced || exit 1
sleep 2

# load straight|entry OPTIONS...: run the load and print its summary line.
load () {
	how=$1
	shift
	case $how in
	straight) "$BUILD/regress/load-caller" --threads 2 \
		--connections 64 --direct "$direct" "$@" ;;
	entry) "$BUILD/regress/load-caller" --threads 2 \
		--connections 64 --entries "$ENTRIES" "$@" ;;
	esac
}

# value FIELD LINE: print the value of a field in a summary line.
value () {
	echo "$2" | tr ' ' '\n' | awk -F= -v "f=$1" '$1 == f { print $2 }'
}

# memory: print the resident memory of the entry, KiB.
memory () {
	awk '/^VmRSS/ { print $2 }' "/proc/$(pid entry-1)/status"
}

# compare LABEL OPTIONS...: run the load both ways and print one row; sets
# $straight and $through to the summary lines and $per_core to calls per second
# of processor time of the entry.
compare () {
	label=$1
	shift
	straight=$(load straight "$@")
	ticks=$(cpu_ticks entry-1)
	through=$(load entry "$@")
	ticks=$(($(cpu_ticks entry-1) - ticks))
	per_core=$(awk -v n="$(value sent "$through")" -v t="$ticks" \
		-v hz="$(getconf CLK_TCK)" \
		'BEGIN { printf "%d", t ? n * hz / t : 0 }')
	{
		echo "$straight"
		echo "$through"
	} | tr ' ' '\n' | awk -F= -v "label=$label" -v "core=$per_core" '
		{ v[$1, ++n[$1]] = $2 }
		END {
			printf "%-22s %9d %9d", label, v["goodput", 1],
				v["goodput", 2]
			split("p50 p99 p999", q, " ")
			for (i = 1; i <= 3; i++)
				printf " %8d %8d", v[q[i], 2],
					v[q[i], 2] - v[q[i], 1]
			failed = v["refused", 2] + v["error", 2] + v["cut", 2]
			failed += v["connect", 2] + v["timeout", 2]
			printf " %9d %7d\n", core, failed + v["wrong", 2]
		}'
}

printf '%-22s %9s %9s %8s %8s %8s %8s %8s %8s %9s %7s\n' "run" \
	"straight/s" "entry/s" "p50 us" "added" "p99 us" "added" "p99.9 us" \
	"added" "calls/core" "failed"
idle=$(memory)
peak=0
for callers in 1 8 64 512
do
	compare "closed $callers, 0 B" --callers $callers --size 0 \
		--seconds $SECONDS_EACH
	rate=$(value goodput "$through")
	[ "${rate%.*}" -gt "$peak" ] && peak=${rate%.*}
done
busy=$(memory)
for size in 1024 65536 1048576
do
	compare "closed 8, $size B" --callers 8 --size $size \
		--seconds $SECONDS_EACH
done
half=$((peak / 2))
held=0
for round in 1 2 3
do
	compare "open $half/s, 0 B" --rate $half --size 0 --seed $round \
		--seconds $SECONDS_EACH
	added=$(($(value p99 "$through") - $(value p99 "$straight")))
	[ $added -le $MAX_ADDED_US ] && held=$((held + 1))
done
echo "peak rate of one entry: $peak calls/s"
echo "memory: idle $idle KiB, after 512 callers $busy KiB," \
	"$(((busy - idle) * 1024 / 512)) bytes a connection"
echo "1.2 ms added at p99 at half of the peak: held in $held of 3 rounds"
