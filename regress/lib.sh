# Functions for scripted runs; a script starts with
#	. "$HEMLOCK_REGRESS/lib.sh"
# Each run gets a loopback network of its own (127.x.y.0/24), so that ports
# never meet, and a folder $DIR that goes away with it. All processes that
# spawn() started are ended by their ids at the end.

BUILD=${HEMLOCK_BUILD:-build}
DIR=$(mktemp -d)
PIDS=

# Take a free 127.x.y network; the folder in /tmp holds the taker's id.
net_take () {
	n=$(($$ % 16000))
	while :
	do
		n=$(((n + 1) % 16000))
		lock=/tmp/hemlock-net-$n
		if mkdir "$lock" 2>/dev/null
		then
			echo $$ >"$lock/pid"
			break
		fi
		holder=$(cat "$lock/pid" 2>/dev/null)
		[ -n "$holder" ] && ! kill -0 "$holder" 2>/dev/null &&
			rm -rf "$lock"
	done
	NET_LOCK=$lock
	NET=127.$((n / 250 + 1)).$((n % 250))
}

# spawn NAME COMMAND...: start in the background; its id is in pid_NAME with
# dashes as underscores, its output in $DIR/NAME.log.
spawn () {
	name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	eval "pid_$(echo "$name" | tr -- '-.' '__')=$!"
	PIDS="$PIDS $!"
}

# pid NAME: the id of a process that spawn() started.
pid () {
	eval "echo \$pid_$(echo "$1" | tr -- '-.' '__')"
}

# signal NAME PID: send it, if that still is a process that this script started; an id
# that has become free may be another's, the system gives them out again.
signal () {
	parent=$(awk '/^PPid:/ { print $2 }' "/proc/$2/status" 2>/dev/null)
	[ "$parent" = "$$" ] && kill "-$1" "$2" 2>/dev/null
}

# forget NAME: it has ended; its id may be another process's by now.
forget () {
	rest=
	for p in $PIDS
	do
		[ "$p" = "$(pid "$1")" ] || rest="$rest $p"
	done
	PIDS=$rest
}

# kill_hard NAME: end it at once, as a power cut would.
kill_hard () {
	signal KILL "$(pid "$1")"
	wait "$(pid "$1")" 2>/dev/null
	forget "$1"
	return 0
}

# stop_soft NAME: SIGTERM, wait for the end, give its exit status.
stop_soft () {
	signal TERM "$(pid "$1")"
	wait "$(pid "$1")" 2>/dev/null
	stopped=$?
	forget "$1"
	return $stopped
}

freeze () {
	signal STOP "$(pid "$1")"
}

thaw () {
	signal CONT "$(pid "$1")"
}

# wait_until SECONDS COMMAND...: poll until the command succeeds.
wait_until () {
	left=$(($1 * 20))
	shift
	while [ $left -gt 0 ]
	do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
		left=$((left - 1))
	done
	echo "gave up waiting for: $*"
	return 1
}

# fail TEXT: print what the logs say and end the run as failed.
fail () {
	echo "FAILED: $*"
	tail -n 20 "$DIR"/*.log >&2
	exit 1
}

# ready NAME: wait until a tool says that it listens.
ready () {
	wait_until 20 grep -q '^ready' "$DIR/$1.log" || fail "$1 not ready"
}

# spawn_entries COUNT SETTINGS: entry-1 ... on $NET.1 ..., three zones.
# SETTINGS are further lines of [entry], $NODE_SETTINGS of [node]; ENTRIES gets
# the control addresses.
INTERVAL_MS=200
LEASE_MS=600
spawn_entries () {
	ENTRIES= seeds=
	for n in $(seq "$1")
	do
		ENTRIES="$ENTRIES${ENTRIES:+,}$NET.$n:7081"
		seeds="$seeds${seeds:+, }\"$NET.$n:7083\""
	done
	for n in $(seq "$1")
	do
		cat >"$DIR/entry-$n.toml" <<-SETTINGS
		[node]
		name = "entry-$n"
		zone = "zone-$(((n - 1) % 3 + 1))"
		address = "$NET.$n"
		log_level = "info"
		$NODE_SETTINGS
		[entry]
		interval_ms = $INTERVAL_MS
		lease_ms = $LEASE_MS
		seeds = [$seeds]
		$2
		SETTINGS
		spawn "entry-$n" "$BUILD/hemlock-entry" \
			--settings "$DIR/entry-$n.toml"
	done
}

# announced SERVICE COUNT: every entry serves a call, and so many copies of
# the stand-in called targets have an owner.
announced () {
	for address in $(echo "$ENTRIES" | tr ',' ' ')
	do
		call -t 1000 -s "$1" "http://${address%:*}:7080/" |
			grep -q status=200 || return 1
	done
	[ "$(target_status targets | grep -vc 'owner=- ')" = "$2" ]
}

# spawn_target NAME OPTIONS...: a stand-in that records into
# $DIR/NAME.record and is controlled on $NET.99, one port a stand-in.
CONTROL_PORT=8000
spawn_target () {
	CONTROL_PORT=$((CONTROL_PORT + 1))
	eval "control_$1=$NET.99:$CONTROL_PORT"
	target=$1
	shift
	spawn "$target" "$BUILD/regress/standin-target" \
		--control "$NET.99:$CONTROL_PORT" \
		--log "$DIR/$target.record" "$@"
	ready "$target"
}

# control NAME PATH: tell a stand-in, such as "/straggle?copy=1&value=5".
control () {
	eval "address=\$control_$1"
	"$BUILD/regress/call" "http://$address$2" >"$DIR/control.out" ||
		fail "control $1 $2"
}

# target_status NAME: one line for each copy and announcer.
target_status () {
	eval "address=\$control_$1"
	"$BUILD/regress/call" --body "http://$address/status" | grep '^copy='
}

# outstanding NAME COUNT: so many requests are at the copies of a stand-in.
outstanding () {
	[ "$(target_status "$1" |
		sed 's/.* outstanding=\([0-9]*\) .*/\1/' |
		awk '{ n += $1 } END { print n }')" = "$2" ]
}

# spawn_proxy LINK...: the fault proxy; tell COMMAND LINK [VALUE] harms.
spawn_proxy () {
	for link in "$@"
	do
		set -- "$@" --link "$link"
		shift
	done
	spawn proxy "$BUILD/regress/fault-proxy" --control "$NET.99:9999" "$@"
	ready proxy
}

tell () {
	"$BUILD/regress/fault-proxy" --tell "$NET.99:9999" "$@"
}

# call OPTIONS... URL: one HTTP call; its exit status says how it ended.
call () {
	"$BUILD/regress/call" "$@"
}

cleanup () {
	status=$?
	for p in $PIDS
	do
		signal CONT "$p"
		signal KILL "$p"
	done
	wait 2>/dev/null
	# A report of a sanitizer in any process fails the run.
	grep -l 'Sanitizer:\|runtime error:' "$DIR"/*.log >&2 2>/dev/null && {
		cat "$DIR"/*.log >&2
		status=1
	}
	[ -n "$HEMLOCK_KEEP" ] && echo "kept $DIR" >&2 || rm -rf "$DIR"
	rm -rf "$NET_LOCK"
	exit $status
}

trap cleanup EXIT
trap 'exit 143' TERM INT
net_take
