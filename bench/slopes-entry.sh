#!/bin/sh
# Measure costs per unit of work (the slopes of docs/CAPACITY.md): the costs of
# announcements of copies, look-ups, calls and claims of idempotency keys at an
# entry, and of a change at the keepers. Prints a table. Takes less than two
# minutes.
#
# usage: bench/slopes-entry.sh [BUILD-FOLDER]

HEMLOCK_BUILD=${1:-build}
export HEMLOCK_BUILD
. "$(dirname "$0")/lib.sh"
. "$HEMLOCK_REGRESS/keeper-lib.sh"
. "$HEMLOCK_REGRESS/config-lib.sh"

TICK_US=$((1000000 / $(getconf CLK_TCK)))
IDLE_S=10 # duration of an idle measurement

# rss NAME: print the resident memory of a process, KiB.
rss () {
	awk '/^VmRSS/ { print $2 }' "/proc/$(pid "$1")/status"
}

# per NUMBER COUNT: print NUMBER divided by COUNT, with one decimal.
per () {
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.1f", b ? a / b : 0 }'
}

# cpu_during NAME COMMAND...: run a command and print the processor time that
# NAME used meanwhile, us.
cpu_during () {
	process=$1
	shift
	before=$(cpu_ticks "$process")
	"$@" >"$DIR/during" 2>&1
	echo $((($(cpu_ticks "$process") - before) * TICK_US))
}

# field NAME: print the value of a field in the last summary of load-caller.
field () {
	tr ' ' '\n' <"$DIR/during" | awk -F= -v f="$1" '$1 == f { print $2 }'
}

# thread_times NAME: print the id, name, processor time in ns and number of
# wake-ups of each thread of a process.
thread_times () {
	for task in "/proc/$(pid "$1")/task"/*
	do
		echo "${task##*/} $(tr ' ' '-' <"$task/comm")" \
			"$(cut -d ' ' -f 1 "$task/schedstat")" \
			"$(awk '/^voluntary/ { print $2 }' "$task/status")"
	done
}

# busy_threads: print the threads that used processor time between the two
# snapshots.
busy_threads () {
	awk -v s=$IDLE_S '
		NR == FNR { ns[$1] = $3; wakes[$1] = $4; next }
		$3 > ns[$1] {
			printf "  thread %-15s %17d us/s, %d wakes/s\n", $2,
				($3 - ns[$1]) / 1000 / s, ($4 - wakes[$1]) / s
		}' "$DIR/threads-before" "$DIR/threads-after"
}

# owns_copies COUNT: true once the entry owns COUNT copies.
owns_copies () {
	[ "$(target_status targets | grep -vc 'owner=- ')" = "$1" ]
}

echo "slope                                   value"

# Idle copies: each only sends its announcement once per second.
for count in 1 256
do
	spawn_entries 1 "keep_ms = 60000"
	spawn_target targets --address "$NET.10:9000" --copies $count \
		--slots 3 --time 1000 --log /dev/null \
		--entries "$ENTRIES" --zone zone-1
	wait_until 20 owns_copies $count || exit 1
	sleep 2
	bytes=$(status_sum targets control_bytes)
	thread_times entry-1 >"$DIR/threads-before"
	us=$(cpu_during entry-1 sleep $IDLE_S)
	thread_times entry-1 >"$DIR/threads-after"
	bytes=$(($(status_sum targets control_bytes) - bytes))
	echo "$count copies, cpu us/s                    $((us / IDLE_S))"
	busy_threads
	echo "$count copies, memory KiB                  $(rss entry-1)"
	echo "$count copies, announcement bytes/s        $((bytes / IDLE_S))"
	kill_hard targets
	kill_hard entry-1
done

# Look-ups and calls in a closed loop, so that no call is queued.
spawn_entries 1 "keep_ms = 60000
workers_max = 600"
spawn_target targets --address "$NET.10:9000" --copies 4 --slots 64 \
	--connections 2000 --time 0 --log "$DIR/record" \
	--entries "$ENTRIES" --zone zone-1
wait_until 20 announced bay-desk 4 || exit 1
us=$(cpu_during entry-1 "$BUILD/regress/call" -n 5000 \
	"http://$ENTRIES/v1/lookup?service=bay-desk")
echo "look-up, cpu us                         $(per "$us" 5000)"
for callers in 1 16
do
	us=$(cpu_during entry-1 "$BUILD/regress/load-caller" \
		--entries "$ENTRIES" --callers $callers --seconds 4)
	echo "call, $callers callers, cpu us                $(per "$us" "$(field ok)")"
	us=$(cpu_during entry-1 "$BUILD/regress/load-caller" \
		--entries "$ENTRIES" --callers $callers --seconds 4 --post 100)
	echo "POST, $callers callers, cpu us                $(per "$us" "$(field ok)")"
done
before=$(rss entry-1)
"$BUILD/regress/load-caller" --entries "$ENTRIES" --callers 512 --seconds 2 \
	>"$DIR/during"
echo "memory of a caller's connection, KiB    $(per $(($(rss entry-1) - before)) 512)"
kill_hard targets
kill_hard entry-1

# Claims of idempotency keys: three entries, one replica each; POST requests
# without and with a key.
spawn_entries 3 "keep_ms = 60000
[claims]
group_1 = [\"$NET.1:7083\"]
group_2 = [\"$NET.2:7083\"]
group_3 = [\"$NET.3:7083\"]
hold_max_s = 1"
spawn_target targets --address "$NET.10:9000" --copies 4 --slots 64 \
	--connections 2000 --time 0 --log "$DIR/record" \
	--entries "$ENTRIES" --zone zone-1,zone-2,zone-3
wait_until 20 announced bay-desk 4 || exit 1
sleep 2
for keyed in "" --keyed
do
	bytes=$(peer_bytes)
	before=$(cpu_ticks entry-1 entry-2 entry-3)
	"$BUILD/regress/load-caller" --entries "$ENTRIES" --callers 8 \
		--seconds 4 --post 100 $keyed >"$DIR/during"
	us=$((($(cpu_ticks entry-1 entry-2 entry-3) - before) * TICK_US))
	bytes=$(($(peer_bytes) - bytes))
	label=${keyed:+keyed }POST
	echo "$label, cpu us over three entries       $(per "$us" "$(field ok)")"
	echo "$label, p50 and p99 us                  $(field p50) $(field p99)"
	echo "$label, bytes between entries           $(per "$bytes" "$(field ok)")"
done
for n in 1 2 3
do
	kill_hard entry-$n
done
kill_hard targets

# Changes with three keepers.
# Defaults of the settings, instead of the short times of the tests.
HEARTBEAT_MS=150
ELECTION_MS=1000
keepers_start 3
cat >"$DIR/d.toml" <<EOF
[[profile]]
name = "bays"
deadline_ms = 1000
EOF
ctl apply "$DIR/d.toml" >"$DIR/ctl.log"
before=$(cpu_ticks keeper-1 keeper-2 keeper-3)
us=$(cpu_during keeper-1 sleep $IDLE_S)
idle=$((($(cpu_ticks keeper-1 keeper-2 keeper-3) - before) * TICK_US / IDLE_S))
echo "keepers without changes, cpu us/s each  $((idle / 3))"
before=$(cpu_ticks keeper-1 keeper-2 keeper-3)
start=$(date +%s%N)
n=0
while [ $n -lt 200 ]
do
	n=$((n + 1))
	sed -i "s/^deadline_ms.*/deadline_ms = $((1000 + n))/" "$DIR/d.toml"
	ctl apply "$DIR/d.toml" >>"$DIR/ctl.log"
done
span=$((($(date +%s%N) - start) / 1000))
us=$((($(cpu_ticks keeper-1 keeper-2 keeper-3) - before) * TICK_US - idle * span / 1000000))
echo "a change, cpu us over three keepers     $((us / 200))"
echo "a change with its command, ms           $((span / 200 / 1000))"
echo "memory of a keeper, KiB                 $(rss keeper-1)"
