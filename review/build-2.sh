#!/bin/sh
# Build the stand-ins that the scripts of review/6 and later start. The build of
# deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
make B=target target/regress/call target/regress/standin-raw
${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -o target/regress/kept-caller review/8/kept-caller.c
