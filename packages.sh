#!/bin/sh
# Install the Debian packages that the build and the tests require.
set -e
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends \
	gcc g++ binutils make pkg-config libc6-dev \
	liburcu-dev libmicrohttpd-dev libneon27-gnutls-dev libtirpc-dev \
	rpcsvc-proto libglib2.0-dev libjansson-dev libxxhash-dev \
	libgnutls28-dev zlib1g-dev libcurl4-gnutls-dev libtoml11-dev \
	clang clang-format clang-tidy cppcheck libclang-rt-14-dev spin
