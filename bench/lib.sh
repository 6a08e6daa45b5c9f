# Functions for the benchmarks; a script starts with
#	. "$(dirname "$0")/lib.sh"

HEMLOCK_REGRESS=${HEMLOCK_REGRESS:-$(dirname "$0")/../regress}
. "$HEMLOCK_REGRESS/lib.sh"
INTERVAL_MS=1000
LEASE_MS=3000

# peer_bytes: print the number of bytes that the entries sent to each other.
peer_bytes () {
	for address in $(echo "$ENTRIES" | tr ',' ' ')
	do
		"$BUILD/regress/call" -t 1000 --body "http://$address/metrics"
	done | awk '/^hemlock_peer_sent_bytes_total/ { n += $NF }
		END { print n + 0 }'
}

# status_sum NAME FIELD: print the sum of a status field over the copies of a
# stand-in.
status_sum () {
	target_status "$1" | tr ' ' '\n' | awk -F= -v "f=$2" \
		'$1 == f { n += $2 } END { print n + 0 }'
}

# cpu_ticks NAME...: print the user and system time of processes, clock ticks.
cpu_ticks () {
	for name in "$@"
	do
		awk '{ print $14 + $15 }' "/proc/$(pid "$name")/stat"
	done | awk '{ n += $1 } END { print n + 0 }'
}
