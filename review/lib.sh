# Functions for the scripts of the cases; a script sources this file from its own
# folder. A run uses a loopback network of its own (127.x.y.0/24) and a temporary
# folder $DIR. It ends all processes that it started, by their ids.
#
# The settings of the programs are the templates of deploy/, filled in as the
# platform does for a small deployment: three keepers at $NET.1 to $NET.3, entries
# from $NET.11, copies at $NET.20.

CASE=$(pwd)
ROOT=$(cd "$CASE/../.." && pwd)
TOOLS=$ROOT/target/regress
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d) || exit 2
PIDS=
ANSWER=$DIR/answer

# The largest number of processes is about twenty, the largest time 120 s.
n=$(($$ % 16000))
until mkdir "/tmp/hemlock-net-$n" 2>/dev/null
do
	n=$(((n + 1) % 16000))
done
NET_LOCK=/tmp/hemlock-net-$n
echo $$ >"$NET_LOCK/pid"
NET=127.$((n / 250 + 1)).$((n % 250))

# end_process PID: kill a child of this script and the children of that. The system
# uses ids of ended processes again, so others are left alone.
end_process () {
	parent=$(awk '/^PPid:/ { print $2 }' "/proc/$1/status" 2>/dev/null)
	[ "$parent" = $$ ] || return
	children=$(cat "/proc/$1/task/$1/children" 2>/dev/null)
	kill -CONT "$1" 2>/dev/null
	kill -KILL "$1" 2>/dev/null
	for child in $children
	do
		kill -KILL "$child" 2>/dev/null
	done
}

cleanup () {
	status=$?
	trap - EXIT
	for p in $PIDS
	do
		end_process "$p"
	done
	wait 2>/dev/null
	rm -rf "$DIR" "$NET_LOCK"
	exit "$status"
}
trap cleanup EXIT
trap 'exit 2' TERM INT

: >"$RECORD"
# note TEXT: write a line with the time to record.txt.
note () {
	echo "$(date +%H:%M:%S.%3N) $*" >>"$RECORD"
}

# give_up TEXT: the case could not run.
give_up () {
	note "could not run: $*"
	echo "could not run: $*" >&2
	tail -n 5 "$DIR"/*.log >&2 2>/dev/null
	exit 2
}

# spawn NAME COMMAND...: start a process; its id is in $DIR/NAME.pid.
spawn () {
	name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	echo $! >"$DIR/$name.pid"
	PIDS="$PIDS $!"
}

# send_signal SIGNAL NAME: signal a process that this script started.
send_signal () {
	note "SIG$1 to $2"
	kill "-$1" "$(cat "$DIR/$2.pid")" 2>/dev/null
}

# wait_until SECONDS COMMAND...: run a command each 50 ms until it succeeds.
wait_until () {
	polls=$(($1 * 20))
	shift
	while [ $polls -gt 0 ]
	do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
		polls=$((polls - 1))
	done
	return 1
}

call () {
	"$TOOLS/call" "$@"
}

# render TEMPLATE ADDRESS ZONE FIRST_START DATA: fill in a template of deploy/.
render () {
	seeds="\"$NET.1:7070\", \"$NET.2:7070\", \"$NET.3:7070\""
	sed -e "s/{{#seeds}}.*{{\/seeds}}/$seeds/" \
		-e 's/{{#bounds.probes_per_s}}\(.*\){{.}}{{\/bounds.probes_per_s}}/\160/' \
		-e "s/{{vm}}/vm-$2/; s/{{ip}}/$2/g; s/{{zone}}/$3/" \
		-e 's/{{region}}/region-1/; s/{{ports.0}}/7660/' \
		-e "s/{{listen.calls}}/$2:7080/; s/{{listen.ready}}/$2:7081/" \
		-e "s/{{listen.directory}}/$2:7071/" \
		-e "s/{{listen.control}}/$2:7070/" \
		-e "s/{{first_start}}/$4/; s#{{data}}#$5#" \
		-e 's/{{bounds.retry_ratio}}/0.2/; s/{{bounds.retry_slack}}/60/' \
		-e 's/{{bounds.retry_window_s}}/10/' "$ROOT/deploy/$1"
}

# run_line ROLE: the command of a role in the deploy file, without its settings.
run_line () {
	sed -n "/^\[roles.$1\]/,/^template/s/^run = \"\(.*\) [^ ]*\"/\1/p" \
		"$ROOT/deploy/system.toml"
}

# keeper_start N FIRST_START, entry_start N: start a program of the deploy file.
keeper_start () {
	mkdir -p "$DIR/data-$1"
	render keeper.toml.in "$NET.$1" "zone-$1" "$2" "$DIR/data-$1" \
		>"$DIR/keeper-$1.toml"
	# shellcheck disable=SC2046
	cd "$ROOT" && spawn "keeper-$1" $(run_line keeper) "$DIR/keeper-$1.toml"
	cd "$CASE" || exit 2
}

entry_start () {
	render entry.toml.in "$NET.1$1" "zone-$1" true "" >"$DIR/entry-$1.toml"
	# shellcheck disable=SC2046
	cd "$ROOT" && spawn "entry-$1" $(run_line entry) "$DIR/entry-$1.toml"
	cd "$CASE" || exit 2
}

# keeper_request METHOD PATH OPTION...: as an operator or copy does, ask one keeper
# after the other and follow redirects until one answers; sets $status, the body is
# in $ANSWER.
keeper_request () {
	method=$1 path=$2
	shift 2
	tries=0
	while [ $tries -lt 30 ]
	do
		tries=$((tries + 1))
		url="http://$NET.$((tries % 3 + 1)):7070"
		for hop in 1 2 3
		do
			call -t 1500 -X "$method" "$@" -S location --body \
				"$url$path" >"$ANSWER" 2>/dev/null
			status=$(sed -n 's/^status=\([0-9]*\).*/\1/p' \
				"$ANSWER")
			[ "$status" = 307 ] || break
			url=$(sed -n 's#^Location: \(http://[^/]*\).*#\1#p' \
				"$ANSWER")
		done
		case $status in
		503|307|0|'') sleep 0.2 ;;
		*) return 0 ;;
		esac
	done
	return 1
}

# copy_start ID PORT OPTION...: start a stand-in copy.
copy_start () {
	id=$1 port=$2
	shift 2
	spawn "$id" "$TOOLS/standin-raw" --address "$NET.20:$port" --id "$id" \
		--log "$DIR/copies" "$@"
	wait_until 10 grep -q '^ready' "$DIR/$id.log" || give_up "copy $id"
}

# announce ID PORT SERVICE SLOTS STATE SEQUENCE: one heartbeat of a copy.
announce () {
	keeper_request PUT "/v1/targets/$1" -d "{\"service\":\"$3\",\
\"address\":\"$NET.20:$2\",\"zone\":\"zone-1\",\"version\":\"v1\",\
\"slots\":$4,\"state\":\"$5\",\"cold_ms\":0,\"sequence\":$6}"
}

# beat ID PORT SERVICE SLOTS: heartbeats of a sound copy, each 1.5 s.
beat () {
	ANSWER=$DIR/answer-$1
	sequence=1
	while :
	do
		sequence=$((sequence + 1))
		announce "$1" "$2" "$3" "$4" ready $sequence
		sleep 1.5
	done
}

LIMITS='"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}'

# put_routing BASE VERSION ROUTES SERVICE...: replace the configuration.
put_routing () {
	base=$1 version=$2 routes=$3
	shift 3
	services=
	for service in "$@"
	do
		services="$services${services:+,}\"$service\":{\
\"health_path\":\"/health\",\"connections\":240,\"protocol\":\"h1\",\"tls\":false}"
	done
	keeper_request PUT /v1/routing -H "Base-Version: $base" \
		-d "{\"version\":$version,\"routes\":{$routes},\
\"services\":{$services},$LIMITS}" && [ "$status" = 200 ]
}

# route NAME PREFIX KIND SERVICE TIMEOUT_MS OBJECTIVE_MS: one route.
route () {
	echo "\"$1\":{\"host\":\"a.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\
\"timeout_ms\":$5,\"objective_ms\":$6,\"priority\":1,\"attempts_max\":2,\
\"service\":\"$4\"}"
}

# entry_serves ENTRY PATH: whether a call is answered with 200.
entry_serves () {
	probes=$((probes + 1))
	call -t 2000 -s a.example -H "Request-Id: check-$1-$probes" \
		-H "Deadline-Ms: 1500" "http://$NET.1$1:7080$2" |
		grep -q status=200
}
