#!/bin/sh
# Print the number of lines of code: of each module family, and of the product,
# the tests and the benchmarks. Generated code is counted separately.
cd "$(dirname "$0")/.." || exit 1
lines () { cat "$@" /dev/null 2>/dev/null | wc -l; }
product=$(lines ./*.c ./*.h ./*.cc)
tests=$(lines regress/*.c regress/*.h regress/*.sh regress/*.script)
bench=$(lines bench/*.c bench/*.sh bench/*.h)
core=$(lines entry-pick.c entry-queue.c entry-limit.c entry-credit.c \
	entry-retry.c entry-hedge.c entry-health.c entry-service.c \
	entry-forward.c entry-reserve.c entry-claim*.c claim*.c member*.c owner*.c witness*.c \
	keeper*.c config-state.c config-follow*.c claim.h member*.h owner*.h \
	witness.h keeper*.h)
for family in entry claim keeper member owner witness config rpc cmd metrics
do
	printf '%-9s %6d\n' "$family" "$(lines $family*.c $family.h)"
done
printf 'product   %6d\ntests     %6d\nbench     %6d\ngenerated %6d\n' \
	"$product" "$tests" "$bench" "$(lines rpc/*.c rpc/*.h)"
echo "routing, limits, retries, membership, state and recovery: $core" \
	"($((100 * core / (product + tests + bench))) % of all)"
echo "tests: $((100 * tests / (product + tests + bench))) % of all"
