#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/. Run it
# after the build of the deploy file (make B=target -j8 all).
cd "$(dirname "$0")/.." || exit 2
make -s B=target -j8 target/regress/call target/regress/standin-raw \
	target/review/1/torn-keeper
