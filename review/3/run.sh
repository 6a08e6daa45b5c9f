#!/bin/sh
# LOST: calls that an entry takes from the fourth second after SIGTERM on are cut
# off while their copies are at work. The work, timeouts and deadlines are those of
# archive look-ups and seat holds of the site.
cd "$(dirname "$0")" || exit 2
. ../lib.sh

# The longest look-up of the site takes 2.2 s at the usual speed of a copy, the
# longest hold 0.94 s; here a hold runs at two thirds of that speed.
LOOKUP_MS=2200
HOLD_MS=1400
LOOKUPS=10
HOLDS=6
COPIES=16

for n in 1 2 3
do
	keeper_start $n true
done
for n in 1 2
do
	entry_start $n
done
for n in $(seq $COPIES)
do
	copy_start "c$n" $((9100 + n)) --slots 2
done
put_routing 0 3 "$(route r1 /arkiv/ idempotent desk 2500 800),$(
	route r2 /hold/ once desk 1500 400)" desk || give_up "no configuration"
for n in $(seq $COPIES)
do
	announce "c$n" $((9100 + n)) desk 2 ready 1 || give_up "copy c$n"
	beat "c$n" $((9100 + n)) desk 2 &
	PIDS="$PIDS $!"
done
for n in 1 2
do
	wait_until 20 entry_serves $n /hold/wait-10 || give_up "entry $n"
done
sleep 2

# The addresses that callers have from the directory just before the SIGTERM.
# Those of this script keep the answer for three times its time.
listed=$(call --body "http://$NET.1:7071/v1/directory?name=a.example&region=region-1&zone=zone-1")
note "directory: $(echo "$listed" | tail -n 1)"
echo "$listed" | grep -q "$NET.11:7080" || give_up "entry 1 is not listed"
keep_s=$(echo "$listed" | sed -n 's/.*"keep_s":\([0-9]*\).*/\1/p')
note "callers keep it for $((3 * keep_s)) s"

# caller ID DELAY METHOD PATH DEADLINE_MS: open a connection to entry 1, call once.
caller () {
	sleep "$2"
	sent=$(date +%s.%N)
	result=$(call -t 6000 -X "$3" -s a.example -H "Request-Id: $1" \
		-H "Deadline-Ms: $5" -S server-signature \
		"http://$NET.11:7080$4" | tr '\n' ' ')
	echo "$1 $sent $(date +%s.%N) $result" >>"$DIR/results"
}

start=$(date +%s.%N)
[ "$TROUBLE" = 0 ] || send_signal TERM entry-1
callers=
for n in $(seq $LOOKUPS)
do
	caller "lookup-$n" "$(awk "BEGIN { print 3.05 + $n * 0.1 }")" \
		GET /arkiv/wait-$LOOKUP_MS 5000 &
	callers="$callers $!"
done
for n in $(seq $HOLDS)
do
	caller "hold-$n" "$(awk "BEGIN { print 4.04 + $n * 0.02 }")" \
		POST /hold/wait-$HOLD_MS 3000 &
	callers="$callers $!"
done
for p in $callers
do
	wait "$p"
done
[ "$(wc -l <"$DIR/results")" = $((LOOKUPS + HOLDS)) ] ||
	give_up "a caller has no result"

# A call is lost if a copy has begun to run it and its caller has no complete answer
# of a copy. Not counted: calls that were sent up to 3 s after SIGTERM, and those
# that reached the timeout of their route.
while read -r id sent ended result
do
	runs=$(grep -c "call=$id .*result=run" "$DIR/copies")
	after=$(awk "BEGIN { printf \"%.2f\", $sent - $start }")
	took=$(awk "BEGIN { printf \"%.2f\", $ended - $sent }")
	timeout=2.5
	[ "${id#hold}" = "$id" ] || timeout=1.5
	verdict=kept
	case $result in
	*status=200*end=whole*Server-Signature*) ;;
	*) [ "$runs" -gt 0 ] &&
		awk "BEGIN { exit !($after > 3 && $took < $timeout - 0.05) }" &&
		verdict=LOST ;;
	esac
	echo "$id sent at $after s, ended after $took s, runs=$runs $result: $verdict"
done <"$DIR/results" | sort -V >"$DIR/verdicts"
cat "$DIR/verdicts" >>"$RECORD"
grep 'call=lookup-\|call=hold-' "$DIR/copies" >>"$RECORD"
grep -h 'event=stopping\|event=calls-cut\|event=stopped' "$DIR/entry-1.log" >>"$RECORD"
lost=$(grep -c ': LOST$' "$DIR/verdicts")
served=$(grep -c 'status=200' "$DIR/verdicts")
note "$((LOOKUPS + HOLDS)) calls, $served served, $lost lost"
tail -n 1 "$RECORD"
[ "$lost" = 0 ] || exit 1
[ "$served" -gt 0 ] || give_up "nothing was served"
exit 0
