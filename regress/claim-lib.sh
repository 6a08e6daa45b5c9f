# Functions for tests of idempotency keys; source lib.sh, keeper-lib.sh and
# config-lib.sh first.

# claim_entry N [OPTION]: start entry-N of three, with keeper-1 as its keeper.
# Each entry is the only one of a replica group, so every key has all three as
# its replicas.
claim_entry () {
	cat >"$DIR/entry-$1.toml" <<EOF
[node]
name = "entry-$1"
zone = "zone-$1"
address = "$NET.$1"
$(claim_node_settings)
[entry]
seeds = ["$NET.1:7083", "$NET.2:7083", "$NET.3:7083"]
linger_ms = 0
$(claim_entry_settings "$1")
[config]
keepers = ["$(keeper_address 1)"]
poll_ms = 100
[claims]
group_1 = ["$(claim_replica "$1" 1)"]
group_2 = ["$(claim_replica "$1" 2)"]
group_3 = ["$(claim_replica "$1" 3)"]
hold_max_s = 60
EOF
	spawn "entry-$1" "$BUILD/hemlock-entry" $2 \
		--settings "$DIR/entry-$1.toml"
}

# claim_node_settings: more lines for the [node] table of each entry.
claim_node_settings () {
	:
}

# claim_entry_settings N: more lines for the [entry] table of entry-N.
claim_entry_settings () {
	:
}

# claim_profile: more lines for the profile of the service.
claim_profile () {
	:
}

# claim_replica FROM TO: address at which entry FROM reaches replica TO.
claim_replica () {
	echo "$NET.$2:7083"
}

# claim_target: start a stand-in with two copies that logs to $DIR/record.
claim_target () {
	spawn target "$BUILD/regress/standin-target" --service=bay-desk \
		--copies=2 --slots=4 --zone=zone-1,zone-2 \
		--address="$NET.9:9000" --control="$NET.9:8999" \
		--entries="$NET.1:7081,$NET.2:7081,$NET.3:7081" \
		--time="${SERVICE_USEC:-2000}" --log="$DIR/record"
}

# claim_ready: whether every entry serves a call.
claim_ready () {
	for i in 1 2 3
	do
		"$BUILD/regress/call" -s bay-desk -t 2000 \
			"http://$NET.$i:7080/" | grep -q status=200 || return 1
	done
}

# claims_start: start three entries as a first installation, and the copies.
claims_start () {
	printf '[[profile]]\nname = "bays"\ndeadline_ms = 4000\n%s\n' \
		"$(claim_profile)" >"$DIR/d.toml"
	printf '[[service]]\nname = "bay-desk"\nprofile = "bays"\n' \
		>>"$DIR/d.toml"
	keepers_start 1
	ctl apply --id first "$DIR/d.toml" >"$DIR/ctl.log"
	for i in 1 2 3
	do
		claim_entry $i --first-start
	done
	claim_target
	wait_until 15 claim_ready || fail "entries or copies did not start"
}

# post_with_key ENTRY KEY BODY [OPTION...]: send a POST with an idempotency key;
# prints its status and outcome.
post_with_key () {
	entry=$1 key=$2 body=$3
	shift 3
	"$BUILD/regress/call" "http://$NET.$entry:7080/hold" -s bay-desk \
		-X POST -d "$body" -H "Idempotency-Key: $key" \
		-H "Request-Id: $key" -S Hemlock-Outcome -S Hemlock-Reason \
		-t 5000 "$@"
}

# logged ENTRY EVENT COUNT: whether all processes of an entry together have
# logged an event at least COUNT times.
logged () {
	[ "$(grep -c "event=$2" "$DIR/entry-$1.log")" -ge "$3" ]
}

# runs KEY: how many times copies ran a call with this key.
runs () {
	grep -c "^run .* key=$1 " "$DIR/record" || true
}
