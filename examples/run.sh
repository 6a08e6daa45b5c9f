#!/bin/sh
# Run an example on this machine: start three keepers, three entries and four
# stand-in copies of each service as processes on loopback addresses, declare
# the profiles, make calls, print the results, and end all processes.
#
# usage: sh examples/run.sh naidu|reisefelles [--stay]

operator=$1
stay=${2-}
here=$(cd "$(dirname "$0")" && pwd)
build=${HEMLOCK_BUILD:-$here/../build}
if [ ! -f "$here/$operator/run.conf" ] || [ ! -x "$build/hemlock-entry" ]
then
	echo "usage: sh examples/run.sh naidu|reisefelles [--stay]" >&2
	echo "Build first: make all tools" >&2
	exit 2
fi
. "$here/$operator/run.conf"

work=$(mktemp -d)
ids=
end () {
	trap - EXIT INT TERM
	for id in $ids
	do
		# The id of a process that has ended may belong to another one
		# by now; only children are signalled.
		parent=$(awk '/^PPid:/ { print $2 }' "/proc/$id/status" \
			2>/dev/null)
		[ "$parent" = "$$" ] && kill -TERM "$id" 2>/dev/null
	done
	wait
	rm -rf "$work"
}
trap end EXIT
trap 'exit 143' INT TERM

# start NAME COMMAND...: run a command in the background, logging to NAME.log.
start () {
	name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	ids="$ids $!"
}

# await COMMAND...: repeat a command until it succeeds, for at most 15 seconds.
await () {
	left=150
	until "$@" >/dev/null 2>&1
	do
		left=$((left - 1))
		if [ $left -eq 0 ]
		then
			echo "timed out waiting for: $*" >&2
			tail -n 5 "$work"/*.log >&2
			exit 1
		fi
		sleep 0.1
	done
}

keepers=$net.1:7090,$net.2:7090,$net.3:7090
controls=$net.11:7081,$net.12:7081,$net.13:7081
cd "$work" || exit 1
mkdir keeper-1 keeper-2 keeper-3

echo "== three keepers, three entries"
for i in 1 2 3
do
	start "keeper-$i" "$build/hemlock-keeper" \
		--settings "$here/$operator/keeper-$i.toml"
	start "entry-$i" "$build/hemlock-entry" --first-start \
		--settings "$here/$operator/entry-$i.toml"
done
await "$build/hemlockctl" status --keepers "$keepers"

echo "== declare the profiles and services"
await "$build/hemlockctl" get --keepers "$keepers"
"$build/hemlockctl" apply --wait --keepers "$keepers" \
	"$here/$operator/profiles.toml" || exit 1

echo "== four copies of each service announce themselves"
number=100
for service in $services
do
	start "$service" "$build/regress/standin-target" \
		--service="$service" --copies=4 --slots="$slots" \
		--connections="$connections" --zone="$zones" \
		--address="$net.$number:9000" --control="$net.$number:8999" \
		--entries="$controls" --time=20000 --distribution=exponential
	number=$((number + 1))
	await sh -c "'$build/regress/call' \
		'http://$net.11:7081/v1/lookup?service=$service' -b |
		grep -q '\"weight\":[1-9]'"
done

set -- $services
echo "== look-up of $1"
"$build/regress/call" "http://$net.11:7081/v1/lookup?service=$1" -b
for service in $services
do
	echo "== calls to $service for 3 seconds, 10 % of them POST"
	"$build/regress/load-caller" --service="$service" --rate=100 \
		--entries="$controls" --seconds=3 --post=10 \
		--classes="$class"
done
echo "== a repeated call with an idempotency key returns the first response"
for entry in 11 12
do
	"$build/regress/call" "http://$net.$entry:7080/hold" -s "$1" -X POST \
		-d seat-4 -H "Idempotency-Key: example-1" -S Hemlock-Outcome
done
echo "== latencies of $1 at the first entry"
"$build/hemlockctl" histogram --entry "$net.11:7081" \
	--match "service=\"$1\""
if [ "$stay" = --stay ]
then
	echo "== running until Ctrl-C; look-ups at $net.11:7081"
	wait
fi
