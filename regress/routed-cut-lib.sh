# Functions for tests in which entries lose their paths to copies; source lib.sh and
# routed-lib.sh first. There is one keeper, four entries and nine copies.

SEEDS="\"$NET.1:7070\""
KEEPERS=1
CUT_ENTRIES="1 2"

# cut HOW FILE...: cut the paths of the cut entries to the copies that read FILE.
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
}

# heal: end all cuts.
heal () {
	for file in desk-1 desk-2 ledger
	do
		: >"$DIR/cut-$file"
	done
}

# call_logged ENTRY PATH OPTION...: make a call and record its id and status.
call_logged () {
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

# not_served: print how many calls were not answered 200 since the last time.
not_served () {
	grep -cv ' 200$' "$DIR/statuses" || true
	cat "$DIR/statuses" >>"$DIR/all-statuses"
	: >"$DIR/statuses"
}

# routes_listed COUNT: whether the directory lists this number of entries.
routes_listed () {
	[ "$(directory_addresses zone-1 | wc -w)" -eq "$1" ]
}

# entry_is_listed ENTRY: whether the directory lists an entry.
entry_is_listed () {
	directory_addresses zone-1 | grep -q "NET.1$1:"
}

# no_cut_entry_listed: whether the directory lists no cut entry.
no_cut_entry_listed () {
	! entry_is_listed 1 && ! entry_is_listed 2
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
	[ "$early" -le 9 ] || echo "not served at first: $early of 18"
	calls_mixed 10
	echo "not served while cut: $(not_served)"
	wait_until 5 no_cut_entry_listed && echo "callers are sent elsewhere"
	heal
	wait_until 10 routes_listed 4 && echo "all entries are listed again"
	calls_mixed 5
	echo "not served afterwards: $(not_served)"
}

# cut_start: start the processes and wait until all copies can be called.
cut_start () {
	routed_keeper_settings 1 true
	routed_keeper_start 1
	heal
	for n in 1 2 3 4
	do
		ENTRY_SETTINGS="connect_from = \"$NET.1$n\""
		routed_entry_start $n zone-1
	done
	ENTRY_SETTINGS=
	routes="$(route_json r1 /desk/ idempotent '"service":"desk"'),\
$(route_json r2 /once/ once '"service":"desk"'),\
$(route_json r3 /ledger/ idempotent '"service":"ledger"')"
	put_routing 0 3 "$routes" >"$DIR/null"
	for n in 1 2 3
	do
		raw_copy_start d$n 900$n --cut "$DIR/cut-desk-1"
		announce_copy d$n 900$n ready 1 >"$DIR/null"
		raw_copy_start e$n 901$n --cut "$DIR/cut-desk-2"
		announce_copy e$n 901$n ready 1 desk zone-2 >"$DIR/null"
		raw_copy_start l$n 902$n --cut "$DIR/cut-ledger"
		announce_copy l$n 902$n ready 1 ledger >"$DIR/null"
	done
	for n in 1 2 3 4
	do
		wait_until 10 call_succeeds $n /desk/x
		wait_until 10 call_succeeds $n /ledger/x
	done
	wait_until 5 routes_listed 4
}

# cut_summary: print how many calls of the run broke a promise of their response.
cut_summary () {
	echo "# calls that ran twice, and refused calls that ran"
	grep 'url=/once/' "$DIR/calls" | grep -o 'call=[^ ]*' | sort | uniq -d | wc -l
	grep ' 503$' "$DIR/all-statuses" | while read -r id status
	do
		grep "call=$id .*result=run" "$DIR/calls"
	done | wc -l
}
