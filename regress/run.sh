#!/bin/sh
# Run every test and print "N passed, N failed" as the last line.
#
# usage: regress/run.sh BUILD-DIRECTORY [WORD]
#
# regress/test-*.c are GLib programs; each "ok" or "not ok" line counts as a
# test. If there is a file NAME.parts, the program runs once for each test path
# listed in it, so that no single run exceeds the time limit.
# regress/*.script are scripted runs: the output of the script must equal the
# file NAME.expected. With WORD, only tests whose name contains it are run.
# A failure does not count as failed if KNOWN-RED.txt lists the test and each
# difference that was seen, as the lines "test: NAME" and "difference: LINE".
# Differences are the changed lines of the output of a script and an exit status
# other than 0, or the error lines of a GLib program.
#
# HEMLOCK_JOBS is the number of tests run in parallel, HEMLOCK_TEST_SECONDS the
# time limit of each.

build=$1
word=${2-}
here=$(dirname "$0")
work=$(mktemp -d)
jobs=${HEMLOCK_JOBS:-4}
limit=${HEMLOCK_TEST_SECONDS:-180}
trap 'rm -rf "$work"' EXIT

export HEMLOCK_BUILD="$build" HEMLOCK_REGRESS="$here"
export TSAN_OPTIONS="suppressions=$(cd "$here" && pwd)/tsan.supp"
# GLib's own allocator hands memory from thread to thread in a way that the
# sanitizers do not see; with malloc they see each use of freed memory too.
export G_SLICE=always-malloc

# Script that runs one test. It writes the result lines to $work/NAME.result
# and, after a failure, the end of the output to $work/NAME.details.
cat >"$work/run-test" <<'ONE'
#!/bin/sh
test=${1%% *} work=$2 limit=$3
part=${1#"$test"}
name=$(basename "$test")$(echo "$part" | tr -d ' ' | tr / .)
case $test in
*.script)
	timeout -k 5 "$limit" sh "$test" >"$work/$name.out" 2>"$work/$name.err"
	rc=$?
	if [ $rc -eq 0 ] &&
		diff -u "${test%.script}.expected" "$work/$name.out" \
			>"$work/$name.diff"
	then
		echo "ok $name" >"$work/$name.result"
	else
		echo "not ok $name" >"$work/$name.result"
		{ echo "exit status $rc"; cat "$work/$name.diff"
		tail -n 60 "$work/$name.err"; } 2>/dev/null \
			>"$work/$name.details"
	fi
	;;
*)
	timeout -k 5 "$limit" "$test" --tap ${part:+-p$part} >"$work/$name.out" 2>&1
	rc=$?
	grep -E '^(not )?ok [0-9]+ ' "$work/$name.out" |
		sed -E "s#^((not )?ok) [0-9]+ #\\1 $name #" \
		>"$work/$name.result"
	[ $rc -eq 0 ] || {
		grep -q '^not ok' "$work/$name.result" ||
			echo "not ok $name (exit status $rc)" \
			>>"$work/$name.result"
		tail -n 60 "$work/$name.out" >"$work/$name.details"
	}
	;;
esac
sed 's/^/  /' "$work/$name.result"
ONE

for test in $(ls "$build"/regress/test-* 2>/dev/null | grep -vE '\.(o|d)$')
do
	parts=$here/$(basename "$test").parts
	if [ -f "$parts" ]
	then
		sed "s#^#$test #" "$parts"
		name=$(basename "$test")
		"$test" -l | grep '^/' | grep -vFf "$parts" |
			sed "s#^#not ok $name in no part: #" \
			>"$work/$name.parts.result"
	else
		echo "$test"
	fi
done >"$work/list"
ls "$here"/*.script 2>/dev/null >>"$work/list"
grep -- "$word" "$work/list" |
	xargs -r -P "$jobs" -I '{}' sh "$work/run-test" '{}' "$work" "$limit"

# differences NAME: print how the output of a failed test differs.
differences () {
	case $1 in
	*.script)
		grep '^exit status [^0]' "$work/$1.details"
		grep '^[-+]' "$work/$1.diff" | grep -v '^\(---\|+++\) '
		;;
	*)
		grep -h '^\(# ERROR\|Bail out\)' "$work/${1%% *}"*.out
		;;
	esac
}

# is_known NAME: whether KNOWN-RED.txt lists all differences of a failed test.
is_known () {
	awk -v test="$1" '
		/^test: / { listed = substr($0, 7) == test }
		listed && /^difference: / { print substr($0, 13) }
	' "$here/../KNOWN-RED.txt" >"$work/listed" 2>/dev/null
	differences "$1" >"$work/seen" 2>/dev/null
	[ -s "$work/listed" ] && [ -s "$work/seen" ] &&
		! grep -qvxFf "$work/listed" "$work/seen"
}

cat "$work"/*.result >"$work/all" 2>/dev/null
known=0
failed=0
grep '^not ok' "$work/all" | sed 's/^not ok //' >"$work/failures"
while read -r name; do
	if is_known "$name"
	then
		known=$((known + 1))
		echo "KNOWN RED: $name"
	else
		failed=$((failed + 1))
		echo "FAILED: $name"
	fi
done <"$work/failures"
for details in "$work"/*.details; do
	[ -f "$details" ] || continue
	echo "--- $(basename "$details" .details)"
	cat "$details"
done
[ "$known" -eq 0 ] || echo "$known known to be red, see KNOWN-RED.txt"
passed=$(grep -c '^ok ' "$work/all")
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
