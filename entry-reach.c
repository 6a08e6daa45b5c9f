#include <glib.h>
#include "entry-decide.h"

/*
 * Reachability of the copies of a service from this entry, which may be cut off
 * from copies that other entries reach. Owns entry_reach_t. A send or probe
 * without a response only raises a doubt: a test, one request over a new
 * connection, decides, so that old connections that still work do not count.
 */

/* Consecutive failed tests after which a copy counts as unreachable. */
#define REACH_FAILURES_MIN 2
/* Time from the first failed test to the second one. */
#define REACH_CONFIRM_DELAY (20 * USEC_PER_MS)
/* Interval between the tests of a copy that is reached. */
#define REACH_INTERVAL_MIN (500 * USEC_PER_MS)
/* Interval between the tests of an unreachable copy, doubled after each one. */
#define REACH_RETRY_MIN (150 * USEC_PER_MS)
#define REACH_RETRY_MAX (1200 * USEC_PER_MS)
/* Fraction of an interval by which tests are spread at random. */
#define REACH_JITTER 0.25
/* Max number of copies of a service that are tested at the same time. */
#define REACH_TESTS_MAX 32
/* The same once this entry is cut off from the service, and the time in which no
   more tests are started: a few tests show that paths are back, and then all copies
   are tested. */
#define REACH_TESTS_CUT_OFF_MAX 3
#define REACH_CUT_OFF_PERIOD (150 * USEC_PER_MS)
/* Number of copies whose test has failed, and no copy has responded since, from
   which this entry is cut off, however many copies it has not tested. */
#define REACH_SAMPLE_MIN 16
/* Number of such copies from which further ones are tested, and how many for each of
   them: after a restart of many VMs tests fail that are just late, and each test is
   a new connection. */
#define REACH_WIDEN_MIN 2
#define REACH_WIDEN_FACTOR 4

/* Whether a copy may get calls from this entry once it is reachable. */
static bool reach_counts(const entry_copy_t *copy)
{
	return !copy->draining && copy->limit > 0;
}

/* Return the number of copies that responded since paths were lost. */
static unsigned reach_count_reached(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		count += reach_counts(copy) && !copy->reach.failures &&
			 (copy->reach.tested_at > svc->paths_lost_at ||
			  copy->report.received_at > svc->paths_lost_at);
	return count;
}

/* Whether most copies of a sample fail their tests. */
static bool reach_sample_fails(const entry_service_t *svc, unsigned failing)
{
	return svc->paths_lost_at && failing >= REACH_SAMPLE_MIN &&
	       failing >= 2 * reach_count_reached(svc);
}

static bool reach_is_pending(const entry_copy_t *copy)
{
	return copy->reach.testing || copy->reach.test_at;
}

/* Return the number of copies that count. */
static unsigned reach_count_all(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		count += reach_counts(copy);
	return count;
}

/* Return the number of copies whose last test failed. */
static unsigned reach_count_failing(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		count += reach_counts(copy) && copy->reach.failures > 0;
	return count;
}

/* Return the number of copies whose tests fail since the last response of any copy:
   further tests of a copy that failed before show nothing new. */
static unsigned reach_count_silent(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		count += reach_counts(copy) && copy->reach.failures > 0 &&
			 copy->reach.failing_since > svc->answered_at;
	return count;
}

void entry_reach_doubt(entry_copy_t *copy, usec_t now)
{
	usec_t due = copy->reach.tested_at + REACH_INTERVAL_MIN;

	if (copy->reach.unreachable || reach_is_pending(copy))
		return;
	if (!copy->reach.tested_at || due < now)
		due = now;
	copy->reach.test_at = due;
}

void entry_reach_doubt_service(entry_service_t *svc, unsigned max, usec_t now)
{
	entry_copy_t *copy = NULL;
	unsigned pending = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		pending += !copy->reach.failures && reach_is_pending(copy);
	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (pending >= max)
			return;
		if (!reach_counts(copy) || copy->reach.failures ||
		    reach_is_pending(copy))
			continue;
		copy->reach.test_at = now;
		pending++;
	}
}

void entry_reach_on_response(entry_service_t *svc, usec_t now)
{
	svc->answered_at = now;
}

void entry_reach_on_send_end(entry_service_t *svc, entry_copy_t *copy,
			     entry_result_t result, usec_t now)
{
	switch (result) {
	case ENTRY_RESULT_OK:
	case ENTRY_RESULT_ERROR:
	case ENTRY_RESULT_SHED:
		entry_reach_on_response(svc, now);
		break;
	case ENTRY_RESULT_CONNECT:
	case ENTRY_RESULT_TRUNCATED:
	case ENTRY_RESULT_DEADLINE:
		entry_reach_doubt(copy, now);
		break;
	default:
		break;
	}
}

static unsigned reach_count_running(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned running = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		running += copy->reach.testing;
	return running;
}

/* Whether a copy may get the request of a test now. */
static bool reach_may_test(const entry_service_t *svc, const entry_copy_t *copy,
			   usec_t now)
{
	return reach_counts(copy) && now >= copy->rests_until &&
	       entry_rate_allows(svc, copy, 1, now);
}

/* Return how many tests may be started now. */
static unsigned reach_tests_left(entry_service_t *svc, usec_t now)
{
	unsigned busy = reach_count_running(svc);
	unsigned max = REACH_TESTS_MAX;

	if (!entry_reach_is_cut_off(svc))
		return max - MIN(max, busy);
	max = REACH_TESTS_CUT_OFF_MAX;
	if (now >= svc->cut_off_period_end) {
		svc->cut_off_period_end = now + REACH_CUT_OFF_PERIOD;
		svc->cut_off_tests = 0;
	}
	busy = MAX(busy, svc->cut_off_tests);
	return max - MIN(max, busy);
}

/* Return a copy whose test is due and that may get it, of those whose last test failed
   or of the others; NULL if there is none. */
static entry_copy_t *reach_find_due(entry_service_t *svc, bool failing,
				    usec_t now)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if ((copy->reach.failures > 0) != failing ||
		    !copy->reach.test_at || now < copy->reach.test_at)
			continue;
		if (reach_may_test(svc, copy, now))
			return copy;
		copy->reach.test_at = now + REACH_INTERVAL_MIN;
	}
	return NULL;
}

/* Copies whose last test did not fail go first: if any of them responds, this entry is
   not cut off. */
entry_copy_t *entry_reach_next_test(entry_service_t *svc, usec_t now)
{
	entry_copy_t *copy;

	if (!reach_tests_left(svc, now))
		return NULL;
	copy = reach_find_due(svc, false, now);
	if (!copy)
		copy = reach_find_due(svc, true, now);
	if (!copy)
		return NULL;
	entry_rate_charge(svc, copy, now);
	entry_probe_rate_charge(svc, now);
	svc->cut_off_tests++;
	copy->reach.test_at = 0;
	copy->reach.testing = true;
	return copy;
}

usec_t entry_reach_test_due(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	usec_t due = USEC_NEVER;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (copy->reach.test_at && copy->reach.test_at < due)
			due = copy->reach.test_at;
	return due;
}

/* Return the time until the next test after a failed one. */
static usec_t reach_retry_delay(entry_service_t *svc, unsigned failures)
{
	usec_t delay = REACH_RETRY_MIN;

	if (failures < REACH_FAILURES_MIN)
		return REACH_CONFIRM_DELAY;
	while (failures-- > REACH_FAILURES_MIN && delay < REACH_RETRY_MAX)
		delay *= 2;
	if (delay > REACH_RETRY_MAX)
		delay = REACH_RETRY_MAX;
	return delay + (usec_t)entry_random(svc, (unsigned)(REACH_JITTER *
							    (double)delay));
}

/* Test the other unreachable copies at once, as paths seem to be back. */
static void reach_hasten(entry_service_t *svc, usec_t now)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (copy->reach.unreachable && copy->reach.test_at)
			copy->reach.test_at = now;
}

static void reach_on_reached(entry_service_t *svc, entry_copy_t *copy,
			     usec_t now)
{
	if (copy->reach.unreachable)
		entry_health_on_reachable(copy);
	if (entry_reach_is_cut_off(svc))
		reach_hasten(svc, now);
	copy->reach.failures = 0;
	copy->reach.unreachable = false;
}

/* Test further copies once several tests have failed without a response of any
   copy, so that no call has to find out about each of them. */
static void reach_widen(entry_service_t *svc, usec_t now)
{
	unsigned silent = reach_count_silent(svc);

	if (silent >= REACH_SAMPLE_MIN)
		svc->paths_lost_at = svc->answered_at + 1;
	if (silent >= REACH_WIDEN_MIN)
		entry_reach_doubt_service(svc,
					  MIN(REACH_TESTS_MAX,
					      REACH_WIDEN_FACTOR * silent),
					  now);
}

bool entry_reach_on_test(entry_service_t *svc, entry_copy_t *copy, bool reached,
			 usec_t now)
{
	entry_reach_t *reach = &copy->reach;
	bool was_unreachable = reach->unreachable;

	reach->testing = false;
	reach->tested_at = now;
	if (reached) {
		reach_on_reached(svc, copy, now);
		entry_reach_on_response(svc, now);
		return was_unreachable;
	}
	if (!reach->failures)
		reach->failing_since = now;
	reach->failures++;
	reach->test_at = now + reach_retry_delay(svc, reach->failures);
	reach->unreachable = reach->failures >= REACH_FAILURES_MIN;
	reach_widen(svc, now);
	return reach->unreachable && !was_unreachable;
}

unsigned entry_reach_count(const entry_service_t *svc, unsigned *total)
{
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link)
		count += reach_counts(copy) && copy->reach.unreachable;
	if (total)
		*total = reach_count_all(svc);
	return count;
}

bool entry_reach_is_cut_off(const entry_service_t *svc)
{
	unsigned total;
	unsigned unreachable = entry_reach_count(svc, &total);

	if (unreachable && unreachable == total)
		return true;
	return reach_count_silent(svc) >= REACH_SAMPLE_MIN;
}

bool entry_reach_is_silent(const entry_service_t *svc, usec_t since,
			   usec_t silence, usec_t now)
{
	return now - since >= silence && svc->answered_at < since;
}

/* A copy with one failed test counts, so that calls need not wait for the second
   one of many copies. */
bool entry_reach_is_impaired(const entry_service_t *svc)
{
	unsigned failing = reach_count_failing(svc);

	if (failing && 2 * failing >= reach_count_all(svc))
		return true;
	return reach_sample_fails(svc, failing) || entry_reach_is_cut_off(svc);
}

bool entry_reach_is_doubtful(const entry_service_t *svc)
{
	return reach_count_silent(svc) > 0 || entry_reach_is_impaired(svc);
}

bool entry_reach_probes_failed(const entry_service_t *svc,
			       const entry_call_t *call, usec_t now)
{
	return entry_reach_is_silent(svc,
				     call->arrived - ENTRY_REACH_SILENCE_MIN,
				     ENTRY_REACH_SILENCE_MIN, now);
}

bool entry_reach_ends_wait(const entry_service_t *svc, const entry_call_t *call,
			   entry_others_t others, usec_t now)
{
	if (entry_reach_is_cut_off(svc))
		return true;
	if (call->from_sibling)
		return entry_reach_is_impaired(svc) ||
		       (now - call->arrived >= ENTRY_REACH_SILENCE_MIN &&
			entry_reach_probes_failed(svc, call, now));
	if (others == ENTRY_OTHERS_REACH &&
	    entry_reach_is_silent(svc, call->arrived, ENTRY_REACH_SILENCE_MIN,
				  now))
		return true;
	return others != ENTRY_OTHERS_ALIKE && entry_reach_is_impaired(svc);
}
