# Functions for tests in which entries lose their paths to copies; source lib.sh and
# routed-lib.sh first. There is one keeper and nine copies; the entries NEAR_ENTRIES
# are in zone-1, FAR_ENTRIES in zone-2, and of these CUT_ENTRIES are cut.

SEEDS="\"$NET.1:7070\""
KEEPERS=1
# The copies announce themselves once.
SILENCE_MS=120000
CUT_ENTRIES="1 2"
NEAR_ENTRIES="1 2 3 4"
FAR_ENTRIES=

# cut_in_force FILE: whether all copies that read FILE have applied it.
cut_in_force () {
	for applied in "$DIR/cut-$1".*
	do
		cmp -s "$DIR/cut-$1" "$applied" || return 1
	done
}

# cut HOW FILE...: cut the paths of the cut entries to the copies that read FILE, and
# wait until the cut is in force: entries learn nothing of it by calls before that.
cut () {
	how=$1
	shift
	for file
	do
		for n in $CUT_ENTRIES
		do
			echo "$NET.1$n $how"
		done >"$DIR/new"
		mv "$DIR/new" "$DIR/cut-$file"
	done
	for file
	do
		wait_until 10 cut_in_force "$file"
	done
}

# heal: end all cuts.
heal () {
	for file in desk-1 desk-2 ledger
	do
		: >"$DIR/cut-$file"
	done
}

# call_logged ENTRY PATH OPTION...: make a call and record its id and status. The
# id must be new, as the summary finds the runs of a call by its id.
call_logged () {
	! grep -q "call=call-$((calls + 1)) " "$DIR/calls" ||
		fail "call-$((calls + 1)) is the id of an earlier call"
	entry_call "$@" >"$DIR/one"
	sed "s/^status=\([0-9]*\).*/call-$calls \1/" "$DIR/one" \
		>>"$DIR/statuses"
}

# calls_mixed ROUNDS: make calls of three routes at both cut entries.
calls_mixed () {
	for round in $(seq "$1")
	do
		for n in $CUT_ENTRIES
		do
			call_logged $n /desk/x
			call_logged $n /once/x -X POST -d body
			call_logged $n /ledger/x
		done
		sleep 0.05
	done
}

# not_served: print how many calls were not answered 200 since the last time, and on
# standard error what the entries have logged of them.
not_served () {
	grep -v ' 200$' "$DIR/statuses" | while read -r id status
	do
		echo "not served: $id $status" >&2
		grep -h "call=$id " "$DIR"/entry-*.log >&2
	done
	grep -cv ' 200$' "$DIR/statuses" || true
	cat "$DIR/statuses" >>"$DIR/all-statuses"
	: >"$DIR/statuses"
}

# all_entries_listed: whether the directory lists all entries of zone-1.
all_entries_listed () {
	for n in $NEAR_ENTRIES
	do
		entry_is_listed $n || return 1
	done
}

# entry_is_listed ENTRY: whether the directory lists an entry.
entry_is_listed () {
	directory_addresses zone-1 | grep -q "NET.1$1:"
}

# no_cut_entry_listed: whether the directory lists no cut entry.
no_cut_entry_listed () {
	for n in $CUT_ENTRIES
	do
		! entry_is_listed $n || return 1
	done
}

# cut_row TITLE HOW FILE...: cut, make calls, heal and make calls again. Calls of
# the first 3 s may fail while the entries detect the cut.
cut_row () {
	echo "# $1"
	shift
	cut "$@"
	calls_mixed 3
	sleep 2
	early=$(not_served)
	[ "$early" -le 9 ] || echo "not served at first: $early"
	calls_mixed 10
	echo "not served while cut: $(not_served)"
	wait_until 5 no_cut_entry_listed && echo "callers are sent elsewhere"
	heal
	wait_until 10 all_entries_listed && echo "all entries are listed again"
	calls_mixed 5
	echo "not served afterwards: $(not_served)"
}

# cut_copy_start ID PORT FILE SERVICE ZONE: start and announce a copy that reads
# FILE.
cut_copy_start () {
	raw_copy_start "$1" "$2" --cut "$DIR/cut-$3"
	announce_copy "$1" "$2" ready 1 "$4" "$5" >"$DIR/null"
}

# cut_start: start the processes and wait until all copies can be called.
cut_start () {
	routed_keeper_settings 1 true
	routed_keeper_start 1
	heal
	for n in $NEAR_ENTRIES $FAR_ENTRIES
	do
		zone=zone-1
		case " $FAR_ENTRIES " in *" $n "*) zone=zone-2 ;; esac
		ENTRY_SETTINGS="connect_from = \"$NET.1$n\""
		routed_entry_start $n $zone
	done
	ENTRY_SETTINGS=
	routes="$(route_json r1 /desk/ idempotent '"service":"desk"'),\
$(route_json r2 /once/ once '"service":"desk"'),\
$(route_json r3 /ledger/ idempotent '"service":"ledger"')"
	put_routing 0 3 "$routes" >"$DIR/null"
	for number in 1 2 3
	do
		cut_copy_start d$number 900$number desk-1 desk zone-1
		cut_copy_start e$number 901$number desk-2 desk zone-2
		cut_copy_start l$number 902$number ledger ledger zone-1
	done
	for n in $NEAR_ENTRIES $FAR_ENTRIES
	do
		wait_until 10 call_succeeds $n /desk/x
		wait_until 10 call_succeeds $n /ledger/x
	done
	wait_until 5 all_entries_listed
}

# cut_summary: print how many calls of the run broke a promise of their response.
cut_summary () {
	echo "# calls with the head of a hand-over, calls that ran twice, refused calls that ran"
	count_calls 'result=wrong-head'
	grep 'url=/once/' "$DIR/calls" | grep -o 'call=[^ ]*' | sort | uniq -d | wc -l
	grep ' 503$' "$DIR/all-statuses" | while read -r id status
	do
		grep "call=$id .*result=run" "$DIR/calls"
	done | wc -l
}
