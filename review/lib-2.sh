# Functions for the scripts of review/6 and later. A script sets CASE to its folder
# and starts with
#	. "$CASE/../lib-2.sh"
# It runs in the root of the repository. Programs and stand-ins are those that the
# build of deploy/system.toml and review/build-2.sh put into target/.

cd "$CASE/../.." || exit 2
HEMLOCK_BUILD=target
. regress/lib.sh
trap 'cleanup' EXIT
trap 'exit 2' INT TERM
net_acquire
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE-1}
: >"$RECORD"

# note TEXT: add a line to the record and print it.
note () {
	echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$RECORD"
}

# cannot_run TEXT: end the script, as the case could not be run.
cannot_run () {
	note "could not run: $*"
	tail -n 5 "$DIR"/*.log >&2
	exit 2
}

# cleanup: end all processes that the script started, by their ids.
cleanup () {
	code=$?
	for p in $PIDS
	do
		signal CONT "$p"
		signal KILL "$p"
	done
	wait 2>/dev/null
	rm -rf "$DIR" "$NET_LOCK"
	exit $code
}

# seeds A B C: print the control addresses of three core machines.
seeds () {
	echo "\"$NET.$1:8146\",\"$NET.$2:8146\",\"$NET.$3:8146\""
}
SEEDS=$(seeds 1 2 3)
KEEPERS="1 2 3"

# keeper_start N FIRST_START: write the settings of core machine N as
# deploy/keeper.toml.in has them, and start its keeper.
keeper_start () {
	mkdir -p "$DIR/data-$1"
	cat >"$DIR/keeper-$1.toml" <<-SETTINGS
	[node]
	name = "$NET.$1"
	zone = "zone-$1"
	address = "$NET.$1"
	interface = "platform"

	[keeper]
	cluster = "hemlock"
	port = 7660
	data = "$DIR/data-$1"
	seeds = [$SEEDS]
	first_start = $2
	control = "$NET.$1:8146"
	directory = "$NET.$1:8143"
	directory_keep_s = 2
	heartbeat_ms = 200
	election_ms = 600
	rpc_timeout_ms = 400
	SETTINGS
	spawn "keeper-$1" "$BUILD/hemlock-keeper" --settings "$DIR/keeper-$1.toml"
	note "keeper $1 started, first_start = $2"
}

# entry_start N: write the settings of frontend machine N as deploy/entry.toml.in
# has them, and start its entry.
entry_start () {
	cat >"$DIR/entry-$1.toml" <<-SETTINGS
	[node]
	name = "frontend-$1"
	zone = "zone-$1"
	region = "region"
	address = "$NET.1$1"
	interface = "platform"

	[entry]
	routed = true
	policy = "reports"
	cluster = "hemlock"
	call_listen = "$NET.1$1:8144"
	control_listen = "$NET.1$1:8140"
	directory_listen = "$NET.1$1:8143"
	connect_ms = 300
	spares = 0
	retry_ratio = 0.2
	retry_slack = 60
	retry_window_s = 10
	probes_per_s = 60
	beat_ms = 1000
	accept_ms = 2800
	linger_ms = 4200
	stop_ms = 1600
	head_ms = 5000
	http_threads = 1

	[config]
	keepers = [$SEEDS]
	keeper_port = 7660
	poll_ms = 10000
	timeout_ms = 700
	SETTINGS
	spawn "entry-$1" env HEMLOCK_GRACE_S=6 "$BUILD/hemlock-entry" \
		--settings "$DIR/entry-$1.toml"
	note "entry $1 started"
}

# request METHOD URL OPTION...: one call with a time-out of a second; prints its
# status, 0 if there was no answer. $DIR/answer has the body.
request () {
	method=$1 url=$2
	shift 2
	"$BUILD/regress/call" -t 1000 -X "$method" -S location --body "$@" "$url" \
		>"$DIR/answer" 2>/dev/null
	sed -n 's/^status=\([0-9]*\).*/\1/p' "$DIR/answer"
}

# control_request METHOD PATH OPTION...: one round of the operator or a backend: it
# asks the keepers one after the other, follows redirects twice, and stops at the
# first answer that is neither 503 nor a redirect. Prints the status.
control_request () {
	method=$1 path=$2
	shift 2
	status=0
	for n in $KEEPERS
	do
		url="http://$NET.$n:8146$path"
		for hop in 1 2 3
		do
			status=$(request "$method" "$url" "$@")
			[ "$status" = 307 ] || break
			url=$(sed -n 's#^Location: \([^ ]*\).*#\1#p' "$DIR/answer" |
				tr -d '\r')
		done
		case $status in
		0|307|503|'') ;;
		*) break ;;
		esac
	done
	echo "${status:-0}"
}

# route NAME PREFIX KIND SERVICE: print one route.
route () {
	echo "\"$1\":{\"host\":\"a.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\
\"timeout_ms\":2000,\"objective_ms\":800,\"priority\":1,\"service\":\"$4\",\
\"attempts_max\":2}"
}

# put_config BASE VERSION ROUTES: send a whole configuration once; prints the status.
put_config () {
	control_request PUT /v1/routing -H "Base-Version: $1" -d "{\"version\":$2,\
\"routes\":{$3},\"services\":{\"desk\":{\"health_path\":\"/health\",\
\"connections\":240,\"protocol\":\"h1\",\"tls\":false}},\"limits\":{\
\"head_bytes\":16384,\"body_bytes\":67108864,\"head_ms\":3000,\"idle_ms\":15000}}"
}

# beat ID PORT STATE SEQUENCE: send one heartbeat of a backend of desk; prints the
# status.
beat () {
	control_request PUT "/v1/targets/$1" -d "{\"service\":\"desk\",\
\"address\":\"$NET.20:$2\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":2,\
\"state\":\"$3\",\"cold_ms\":0,\"sequence\":$4}"
}

# backend_start ID PORT: start a stand-in of a backend at $NET.20:PORT. It records
# each request to $DIR/calls.
backend_start () {
	spawn "$1" "$BUILD/regress/standin-raw" --address "$NET.20:$2" --id "$1" \
		--slots 2 --log "$DIR/calls"
	wait_until 20 grep -q '^ready' "$DIR/$1.log" || cannot_run "$1 not ready"
}
