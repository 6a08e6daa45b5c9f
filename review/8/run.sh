#!/bin/sh
# A client that keeps its connections sends requests whose heads are large, though
# below max_header_bytes; the backend's answers have heads of a few kilobytes. Exits
# with 1 if more than three requests were passed on and got no answer.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"
[ -x "$BUILD/regress/kept-caller" ] || cannot_run "run review/build-2.sh first"

for n in 1 2 3
do
	keeper_start $n true
done
entry_start 1
backend_start b1 9001

# configured: whether the first configuration is acknowledged.
configured () {
	[ "$(put_config 0 1 "$(route r-safe /safe/ idempotent desk),\
$(route r-once /once/ once desk)")" = 200 ]
}
wait_until 20 configured || cannot_run "no configuration"
# beats: send heartbeats until the end of the script.
beats () {
	sequence=1
	while beat b1 9001 ready $sequence >/dev/null
	do
		sequence=$((sequence + 1))
		sleep 1.5
	done
}
[ "$(beat b1 9001 ready 0)" = 200 ] || cannot_run "no acknowledgement of a heartbeat"
beats &
PIDS="$PIDS $!"
served () {
	"$BUILD/regress/kept-caller" "$NET.11" 8144 start GET /safe/x 0 X |
		grep -q 'second=200'
}
wait_until 20 served || cannot_run "the entry does not serve"
# The machines are in touch contact_s (3 s) after their start.
sleep 5

# row NAME METHOD PATH HEAD FIELD: six connections with two requests each.
row () {
	head=$4
	[ "$TROUBLE" = 0 ] && head=400
	for i in 1 2 3 4 5 6
	do
		"$BUILD/regress/kept-caller" "$NET.11" 8144 "$1-$i" "$2" "$3" \
			"$head" "$5" | tee -a "$DIR/answers" >>"$RECORD"
	done
}
row safe-head GET /safe/head-6000 14000 Authorization
row once-head POST /once/head-6000 14000 Authorization
row once-near POST /once/head-2048 16384 Authorization
row safe-cookie GET /safe/head-2048 9000 Cookie
row once-cookie POST /once/head-2048 9000 Cookie

echo "# what the backend ran" >>"$RECORD"
grep 'result=run' "$DIR/calls" | grep -v 'call=start' |
	sed 's/ hash=.*result/ result/' >>"$RECORD"
lost=0
for id in $(sed -n 's/^call=\([^ ]*\) first=200 second=\(closed\|timeout-or-reset\|cut\) .*/\1/p' \
	"$DIR/answers")
do
	if grep -q "call=$id-2 .*result=run" "$DIR/calls"
	then
		lost=$((lost + 1))
	fi
done
answered=$(grep -c 'first=200 second=200' "$DIR/answers")
note "$answered of $(wc -l <"$DIR/answers") large requests answered; $lost ran at the \
backend and their kept connection was closed without an answer"
[ "$lost" -gt 3 ] && exit 1
[ "$lost" -eq 0 ] && [ "$answered" -eq "$(wc -l <"$DIR/answers")" ] && exit 0
[ "$lost" -le 3 ] && exit 0
