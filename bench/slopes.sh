#!/bin/sh
# Print every slope that docs/CAPACITY.md rests on. About five minutes; leave
# the machine alone meanwhile.
#
# usage: bench/slopes.sh [BUILD-FOLDER]

here=$(dirname "$0")
build=${1:-build}
for part in entry member config
do
	echo "== $part"
	sh "$here/slopes-$part.sh" "$build"
done
