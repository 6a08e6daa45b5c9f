# Run one policy with one seed through all scenarios and print a result line for
# each.
#
# usage: compare-policy.sh POLICY SEED quick|faults|full ENTRIES FOLDER
. "$(dirname "$0")/lib.sh"

policy=$1 seed=$2 depth=$3 count=$4 folder=$5
copies=16 slots=3 mean=20000 link=1000
capacity=$((copies * slots * 1000000 / mean))

# Baselines: B0 random, B1 least outstanding calls, B2 two random choices by
# probed load. With owners: B3 without credits lent to other entries, B4 with
# all features, B4s as B4 but without credits above the slots of a copy.
case $policy in
B0) settings='policy = "random"' baseline=--announce-all ;;
B1) settings='policy = "least"' baseline=--announce-all ;;
B2) settings='policy = "two-choices"
probe_path = "/standin/load"' baseline=--announce-all ;;
B3) settings='lending = false' baseline= ;;
B4) settings='lending = true' baseline= ;;
B4s) settings='pipeline = false' baseline= ;;
esac

spawn_entries "$count" "keep_ms = 1000
$settings"
spawn_target targets --address "$NET.10:9000" --copies $copies \
	--slots $slots --time $mean --distribution exponential \
	--seed "$seed" --link $link --entries "$ENTRIES" $baseline \
	--zone zone-1,zone-2,zone-3
wait_until 10 announced bay-desk $copies || fail "$policy $seed: no start"
# A baseline policy has no owners to look up: callers use all entries evenly.
callers="--entries $ENTRIES"
[ -z "$baseline" ] || callers="--direct $(echo "$ENTRIES" | sed 's/:7081/:7080/g')"
sleep 4 # until leases that were taken during the start have expired

# settled: true once all entries return the same weights, which differ by at
# most the slots of one copy.
settled () {
	for address in $(echo "$ENTRIES" | tr ',' ' ')
	do
		"$BUILD/regress/call" --body \
			"http://$address/v1/lookup?service=bay-desk" |
			grep -o '"address":"[^,]*\|"weight":[0-9]*' |
			paste -s -d ' '
	done | sort -u >"$DIR/weights"
	[ "$(wc -l <"$DIR/weights")" = 1 ] &&
		grep -o 'weight":[0-9]*' "$DIR/weights" | cut -d: -f2 |
		awk -v s=$slots 'NR == 1 { low = high = $1 }
			{ low = $1 < low ? $1 : low; high = $1 > high ? $1 : high }
			END { exit !(NR && high - low <= s) }'
}
[ -n "$baseline" ] || wait_until 20 settled || fail "$policy $seed: not settled"

# scenario NAME PERCENT SECONDS NUMBER OPTIONS...: run the load and print one
# result line. PERCENT is the offered rate as a share of the capacity.
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
	sleep 0.5 # until the stand-in has recorded the last ends
	idle=$("$BUILD/bench/idle-slots" --calls "$DIR/calls" \
		--runs "$DIR/targets.record" --slots $((copies * slots)) \
		--link $link)
	: >"$DIR/targets.record"
	echo "policy=$policy seed=$seed scenario=$name offered=$rate" \
		"probes=$probes control_bytes=$bytes $ideal$idle" \
		"$(cat "$DIR/summary")"
}

# owner_name N: print the name of the N-th entry that owns copies; with a
# baseline policy, the name of the N-th entry.
owner_name () {
	[ -z "$baseline" ] || { echo "entry-$1"; return; }
	"$BUILD/regress/call" --body \
		"http://${ENTRIES%%,*}/v1/lookup?service=bay-desk" |
		grep -o '"address":"[0-9.]*' | sed -n "$1s/.*[.]/entry-/p"
}

# zone ZONE freeze|thaw: freeze or thaw all entries of a zone.
zone () {
	for n in $(seq "$1" 3 "$count")
	do
		$2 "entry-$n"
	done
}

steady () {
	scenario steady-70 70 4 1
	scenario steady-100 100 4 3
	scenario steady-120 120 4 4
	sleep 1
	scenario shift-70 70 4 5 --shift-ms 7 --shift-factor 0.8
	scenario shift-90 90 4 6 --shift-ms 7 --shift-factor 0.8
}

straggler () {
	control targets "/straggle?copy=0&value=5"
	control targets "/straggle?copy=8&value=5"
	scenario straggler-70 70 4 7
	control targets "/straggle?value=1"
}

faults () {
	name=$(owner_name 1)
	{ sleep 1.5; freeze "$name"; sleep 5; thaw "$name"; } &
	scenario frozen-70 70 8 8
	wait $!
	sleep 5 # until the entry owns its copies again
	{ sleep 1.5; zone 2 freeze; sleep 5; zone 2 thaw; } &
	scenario zone-70 70 8 10
	wait $!
	sleep 5
	name=$(owner_name 2)
	{ sleep 1.5; signal KILL "$(pid "$name")"; } &
	scenario killed-70 70 5 9
}

[ "$depth" = faults ] || scenario steady-90 90 4 2
[ "$depth" != full ] || steady
[ "$policy" != B4s ] || exit 0
[ "$depth" = faults ] || straggler
[ "$depth" = quick ] || faults
