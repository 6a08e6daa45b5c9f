# Functions for scripted runs. A script starts with
#	. "$HEMLOCK_REGRESS/lib.sh"
# Each run uses a separate loopback network (127.x.y.0/24), so that ports of
# parallel runs do not conflict, and a directory $DIR, which is removed at the
# end unless HEMLOCK_KEEP is set. All processes started with spawn() are killed
# by their ids at the end.

BUILD=${HEMLOCK_BUILD:-build}
DIR=$(mktemp -d)
PIDS=

# Allocate a free 127.x.y network. The lock is a directory in /tmp with the id
# of the process that holds it; the lock of a process that has ended is removed.
net_acquire () {
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

# spawn NAME COMMAND...: start a command in the background. Its process id is in
# pid_NAME, with dashes and dots as underscores, its output in $DIR/NAME.log.
spawn () {
	name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	eval "pid_$(echo "$name" | tr -- '-.' '__')=$!"
	PIDS="$PIDS $!"
}

# pid NAME: print the id of a process started with spawn().
pid () {
	eval "echo \$pid_$(echo "$1" | tr -- '-.' '__')"
}

# signal SIGNAL PID: send a signal if PID is still a child of this script. The
# system reuses the ids of ended processes, so PID may be another process.
signal () {
	parent=$(awk '/^PPid:/ { print $2 }' "/proc/$2/status" 2>/dev/null)
	[ "$parent" = "$$" ] && kill "-$1" "$2" 2>/dev/null
}

# forget NAME: remove an ended process from the list of processes to kill, as
# the system may reuse its id.
forget () {
	live_pids=
	for p in $PIDS
	do
		[ "$p" = "$(pid "$1")" ] || live_pids="$live_pids $p"
	done
	PIDS=$live_pids
}

# kill_hard NAME: kill a process without a shutdown, as in a power failure.
kill_hard () {
	signal KILL "$(pid "$1")"
	wait "$(pid "$1")" 2>/dev/null
	forget "$1"
	return 0
}

# stop_soft NAME: send SIGTERM, wait for the end and return the exit status.
stop_soft () {
	signal TERM "$(pid "$1")"
	wait "$(pid "$1")" 2>/dev/null
	stopped=$?
	forget "$1"
	return $stopped
}

# freeze NAME: stop a process with SIGSTOP.
freeze () {
	signal STOP "$(pid "$1")"
}

# thaw NAME: continue a frozen process.
thaw () {
	signal CONT "$(pid "$1")"
}

# wait_until SECONDS COMMAND...: run a command every 50 ms until it succeeds.
# Returns 1 if it has not succeeded after SECONDS.
wait_until () {
	polls_left=$(($1 * 20))
	shift
	while [ $polls_left -gt 0 ]
	do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
		polls_left=$((polls_left - 1))
	done
	echo "timed out waiting for: $*"
	return 1
}

# fail TEXT: print the end of each log and end the run as failed.
fail () {
	echo "FAILED: $*"
	tail -n 20 "$DIR"/*.log >&2
	exit 1
}

# ready NAME: wait until a tool has printed that it is ready.
ready () {
	wait_until 20 grep -q '^ready' "$DIR/$1.log" || fail "$1 not ready"
}

# spawn_entries COUNT SETTINGS: start entry-1 ... on $NET.1 ... in three zones.
# SETTINGS are additional lines of [entry], $NODE_SETTINGS of [node]. Sets
# ENTRIES to the control addresses.
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

# announced SERVICE COUNT: true if every entry serves a call and exactly COUNT
# copies of the stand-in "targets" have an owner.
announced () {
	for address in $(echo "$ENTRIES" | tr ',' ' ')
	do
		call -t 1000 -s "$1" "http://${address%:*}:7080/" |
			grep -q status=200 || return 1
	done
	[ "$(target_status targets | grep -vc 'owner=- ')" = "$2" ]
}

# spawn_target NAME OPTIONS...: start a standin-target that records to
# $DIR/NAME.record. Each stand-in has a separate control port on $NET.99.
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

# control NAME PATH: send a control command to a stand-in, for example
# "/straggle?copy=1&value=5".
control () {
	eval "address=\$control_$1"
	"$BUILD/regress/call" "http://$address$2" >"$DIR/control.out" ||
		fail "control $1 $2"
}

# target_status NAME: print the status of a stand-in, one line per copy.
target_status () {
	eval "address=\$control_$1"
	"$BUILD/regress/call" --body "http://$address/status" | grep '^copy='
}

# outstanding NAME COUNT: true if exactly COUNT requests are outstanding at the
# copies of a stand-in.
outstanding () {
	[ "$(target_status "$1" |
		sed 's/.* outstanding=\([0-9]*\) .*/\1/' |
		awk '{ n += $1 } END { print n }')" = "$2" ]
}

# spawn_proxy LINK...: start the fault proxy with these links.
spawn_proxy () {
	for link in "$@"
	do
		set -- "$@" --link "$link"
		shift
	done
	spawn proxy "$BUILD/regress/fault-proxy" --control "$NET.99:9999" "$@"
	ready proxy
}

# tell COMMAND LINK [VALUE]: send a command to the fault proxy.
tell () {
	"$BUILD/regress/fault-proxy" --tell "$NET.99:9999" "$@"
}

# call OPTIONS... URL: make an HTTP call; the exit status is that of call.c.
call () {
	"$BUILD/regress/call" "$@"
}

# Kill all processes, remove the files of the run and exit with its status.
cleanup () {
	status=$?
	for p in $PIDS
	do
		signal CONT "$p"
		signal KILL "$p"
	done
	wait 2>/dev/null
	# A sanitizer report of any process fails the run.
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
net_acquire
