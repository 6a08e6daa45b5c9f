# Functions for tests of entries with entry.routed and of the keepers that they
# find by seeds; source lib.sh first. Keepers listen on $NET.1 to $NET.3, entries
# on $NET.11 and up.

SEEDS="\"$NET.1:7070\", \"$NET.2:7070\", \"$NET.3:7070\""

# routed_keeper_settings N FIRST_START: write the settings file of keeper N.
routed_keeper_settings () {
	mkdir -p "$DIR/data-$1"
	cat >"$DIR/keeper-$1.toml" <<-SETTINGS
	[node]
	name = "$NET.$1"
	zone = "zone-$1"
	address = "$NET.$1"
	interface = "platform"
	[keeper]
	data = "$DIR/data-$1"
	seeds = [$SEEDS]
	first_start = $2
	control = "$NET.$1:7070"
	directory = "$NET.$1:7071"
	heartbeat_ms = 100
	election_ms = 500
	silence_ms = ${SILENCE_MS:-20000}
	SETTINGS
}

# routed_keeper_start N: start keeper N.
routed_keeper_start () {
	spawn "keeper-$1" "$BUILD/hemlock-keeper" --settings \
		"$DIR/keeper-$1.toml"
}

# routed_entry_start N ZONE: write the settings file of entry N and start it.
# $ENTRY_PROGRAM is the program with its options, if it is not hemlock-entry.
routed_entry_start () {
	cat >"$DIR/entry-$1.toml" <<-SETTINGS
	[node]
	name = "entry-$1"
	zone = "$2"
	address = "$NET.1$1"
	interface = "platform"
	[entry]
	routed = true
	policy = "reports"
	call_listen = "$NET.1$1:7080"
	control_listen = "$NET.1$1:7081"
	directory_listen = "$NET.1$1:7071"
	connect_ms = 300
	${ENTRY_SETTINGS-}
	spares = 0
	retry_ratio = 0.2
	retry_slack = 60
	beat_ms = 200
	${ACCEPT_MS:+accept_ms = $ACCEPT_MS}
	linger_ms = ${LINGER_MS:-300}
	stop_ms = ${STOP_MS:-5000}
	[config]
	keepers = [$SEEDS]
	keeper_port = 7090
	poll_ms = ${POLL_MS:-500}
	timeout_ms = 700
	${CONFIG_SETTINGS-}
	SETTINGS
	spawn "entry-$1" ${ENTRY_PROGRAM:-"$BUILD/hemlock-entry"} \
		--settings "$DIR/entry-$1.toml"
}

# standin_start PROGRAM ID PORT OPTION...: start a stand-in copy at $NET.20:PORT.
standin_start () {
	program=$1 id=$2 port=$3
	shift 3
	spawn "$id" "$BUILD/regress/$program" --address "$NET.20:$port" \
		--id "$id" --log "$DIR/calls" "$@"
	ready "$id"
}

# copy_start ID PORT OPTION...: start a stand-in copy of HTTP by a library.
copy_start () {
	standin_start standin-copy "$@"
}

# raw_copy_start ID PORT OPTION...: start one that writes its own bytes.
raw_copy_start () {
	standin_start standin-raw "$@"
}

# keeper_request METHOD PATH OPTION...: send a request to the keepers in $KEEPERS
# one after the other, following redirects to the leader, until one responds with
# a status other than 503 and 307. Prints the status; $DIR/answer has the body,
# keeper_url the keeper. If none does, the last body and the elections go to stderr.
KEEPERS="1 2 3"
keeper_request () {
	method=$1 path=$2
	shift 2
	for n in $KEEPERS $KEEPERS $KEEPERS $KEEPERS $KEEPERS $KEEPERS
	do
		keeper_url="http://$NET.$n:7070"
		for hop in 1 2 3
		do
			call -t 2500 -X "$method" "$@" -S location \
				--body "$keeper_url$path" >"$DIR/answer" 2>/dev/null
			status=$(sed -n 's/^status=\([0-9]*\).*/\1/p' \
				"$DIR/answer")
			[ "$status" = 307 ] || break
			keeper_url=$(sed -n \
				's#^Location: \(http://[^/]*\).*#\1#p' \
				"$DIR/answer")
		done
		case $status in
		503|307|0|'') sleep 0.1 ;;
		*) break ;;
		esac
	done
	case $status in
	503|307|0|'')
		echo "no keeper took $method $path: $(cat "$DIR/answer")" >&2
		grep -h event=leadership "$DIR"/keeper-*.log >&2
		;;
	esac
	echo "status=$status"
}

# announce_copy ID PORT STATE SEQUENCE [SERVICE [ZONE]]: announce a copy with
# $COPY_SLOTS slots to the keepers.
COPY_SLOTS=2
announce_copy () {
	keeper_request PUT "/v1/targets/$1" -d "{\"service\":\"${5:-desk}\",\
\"address\":\"$NET.20:$2\",\"zone\":\"${6:-zone-1}\",\"version\":\"v1\",\
\"slots\":$COPY_SLOTS,\"state\":\"$3\",\"cold_ms\":0,\"sequence\":$4}"
}

# route_json NAME PREFIX KIND TARGET: print one route of a routing document.
route_json () {
	echo "\"$1\":{\"host\":\"a.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\
\"timeout_ms\":${TIMEOUT_MS:-1000},\"objective_ms\":300,\"priority\":1,\
\"attempts_max\":2,$4}"
}

SERVICES="\"services\":{\"desk\":{\"health_path\":\"/health\",\
\"connections\":64,\"protocol\":\"h1\",\"tls\":false},\"ledger\":{\
\"health_path\":\"/health\",\"connections\":64,\"protocol\":\"h1\",\
\"tls\":false}}"
LIMITS="\"limits\":{\"head_bytes\":16384,\"body_bytes\":${BODY_BYTES:-1000000},\
\"head_ms\":3000,\"idle_ms\":15000}"

# put_routing BASE VERSION ROUTES: replace the whole routing.
put_routing () {
	keeper_request PUT /v1/routing -H "Base-Version: $1" \
		-d "{\"version\":$2,\"routes\":{$3},$SERVICES,$LIMITS}"
}

# entry_call ENTRY PATH OPTION...: send one call through an entry; prints its
# status and what the options select.
entry_call () {
	entry=$1 path=$2
	shift 2
	calls=$((calls + 1))
	call -t 3000 -s a.example -H "Request-Id: call-$calls" \
		-H "Deadline-Ms: ${DEADLINE_MS:-2000}" "$@" \
		"http://$NET.1$entry:7080$path"
}

# count_calls PATTERN: print how many lines of the copies' record match.
count_calls () {
	grep -c "$1" "$DIR/calls" || true
}

# call_events ENTRY CALL: print the events that an entry logged for a call, with
# values that differ from run to run replaced.
call_events () {
	wait_until 2 grep -q "event=call-ended call=$2 " "$DIR/entry-$1.log"
	grep "call=$2 " "$DIR/entry-$1.log" |
		sed -E 's/^.*event=/event=/; s/ call=[^ ]*//
			s/copy=[^ ]+/copy=ID/; s/([a-z]+_ms)=-?[0-9]+/\1=N/g
			s/(near|held|others|slowness)=[0-9.]+/\1=N/g'
}

# call_succeeds ENTRY PATH: whether a call is answered 200. There is no pipe, as the
# counter of calls would not change in the subshell of one.
call_succeeds () {
	entry_call "$1" "$2" >"$DIR/succeeds"
	grep -q status=200 "$DIR/succeeds"
}

# directory_addresses ZONE: print the entry addresses that the directory lists
# for a zone, sorted.
directory_addresses () {
	for n in $KEEPERS
	do
		call --body "http://$NET.$n:7071/v1/directory?zone=$1" \
			2>/dev/null >"$DIR/answer" || continue
		grep -q addresses "$DIR/answer" || continue
		grep -o "$NET.[0-9]*:[0-9]*" "$DIR/answer" |
			sed "s/$NET/NET/" | sort | tr '\n' ' '
		echo
		return
	done
	echo none
}

# directory_lists ZONE ADDRESSES: whether the directory lists exactly these.
directory_lists () {
	[ "$(directory_addresses "$1")" = "$2" ]
}

# leader: print the number of the keeper that leads, or nothing.
leader () {
	for n in $KEEPERS
	do
		"$BUILD/hemlockctl" status --json --keepers "$NET.$n:7090" \
			2>/dev/null | grep -q '"role": "leader"' && echo $n
	done
}

# voters: print the numbers of the keepers that vote, by the leader.
voters () {
	"$BUILD/hemlockctl" status --json --keepers "$NET.$(leader):7090" \
		2>/dev/null | tr -d ' \n' | sed 's/.*"members"://' |
		grep -o '"name":"[^}]*"voter":true' | sed 's/^"name":"[0-9.]*\.\([0-9]*\)".*/\1/' | sort -n | tr '\n' ' '
}

# votes LIST: whether these keepers are the voters.
votes () {
	[ "$(voters)" = "$1 " ]
}
