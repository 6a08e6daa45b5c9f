# One policy with one seed through all scenarios; a result line for each.
#
# usage: compare-lane.sh POLICY SEED quick|full ENTRIES FOLDER
. "$(dirname "$0")/lib.sh"

policy=$1 seed=$2 depth=$3 count=$4 folder=$5
copies=16 slots=3 mean=20000
capacity=$((copies * slots * 1000000 / mean))

case $policy in
B0) lines='policy = "random"' all=--announce-all ;;
B1) lines='policy = "least"' all=--announce-all ;;
B2) lines='policy = "two-choices"
probe_path = "/standin/load"' all=--announce-all ;;
B3) lines='lending = false' all= ;;
B4) lines='lending = true' all= ;;
esac

spawn_entries "$count" "keep_ms = 1000
$lines"
spawn_target targets --address "$NET.10:9000" --copies $copies \
	--slots $slots --time $mean --distribution exponential \
	--seed "$seed" --link 1000 --entries "$ENTRIES" $all \
	--zone zone-1,zone-2,zone-3
wait_until 10 announced bay-desk $copies || fail "$policy $seed: no start"
# A baseline has no owners to look up: its callers spread evenly.
callers="--entries $ENTRIES"
[ -z "$all" ] || callers="--direct $(echo "$ENTRIES" | sed 's/:7081/:7080/g')"
sleep 4 # until leases taken while entries found each other have run out

# scenario NAME PERCENT SECONDS NUMBER OPTIONS...: load, one result line.
scenario () {
	name=$1 rate=$((capacity * $2 / 100)) seconds=$3 number=$4
	shift 4
	probes=$(status_sum targets probes)
	bytes=$(($(peer_bytes) + $(status_sum targets control_bytes)))
	"$BUILD/regress/load-caller" $callers --rate $rate \
		--seconds "$seconds" --seed $((number * 100 + seed)) \
		--size 200 --deadline 2000 --record "$DIR/calls" \
		--histogram "$folder/$policy-$name-$seed.txt" "$@" \
		>"$DIR/summary"
	probes=$(($(status_sum targets probes) - probes))
	bytes=$(($(peer_bytes) + $(status_sum targets control_bytes) - bytes))
	ideal=$("$BUILD/bench/ideal-queue" --calls "$DIR/calls" \
		--slots $((copies * slots)) --time $mean --seed "$seed")
	echo "policy=$policy seed=$seed scenario=$name offered=$rate" \
		"probes=$probes control_bytes=$bytes $ideal$(cat "$DIR/summary")"
	sleep 0.5
}

scenario steady-90 90 4 2
if [ "$depth" = full ]
then
	scenario steady-70 70 4 1
	scenario steady-100 100 4 3
	scenario steady-120 120 4 4
	sleep 1
	scenario shift-70 70 4 5 --shift-ms 7 --shift-factor 0.8
	scenario shift-90 90 4 6 --shift-ms 7 --shift-factor 0.8
fi
control targets "/straggle?copy=0&value=5"
control targets "/straggle?copy=8&value=5"
scenario straggler-70 70 4 7
control targets "/straggle?value=1"
if [ "$depth" = full ]
then
	{ sleep 1.5; freeze entry-2; sleep 5; thaw entry-2; } &
	scenario frozen-70 70 8 8
	wait $!
	sleep 1
	{ sleep 1.5; kill -9 "$(pid entry-1)"; } &
	scenario killed-70 70 5 9
fi
