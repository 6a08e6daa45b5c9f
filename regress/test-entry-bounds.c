#include <glib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Bounds of the queue, the limiter and the retry budget that need more calls,
 * tenants or services than a scripted run has. Guards against calls lost or out
 * of order in a long queue, tenants that escape their rate when many others
 * appear, and retries that multiply along a chain of services.
 */

#define QUEUE_CALLS 10000
#define CHAIN_LEVELS 11
#define CHAIN_CALLS 2000

/* Factor of the expected amplification that allows for the initial budget and
 * the minimum rate of the budget. */
#define BUDGET_ALLOWANCE 1.02

static entry_call_t *new_calls(unsigned count)
{
	entry_call_t *calls = g_new0(entry_call_t, count);
	unsigned i;

	for (i = 0; i < count; i++) {
		g_snprintf(calls[i].tenant, sizeof(calls[i].tenant), "t%u", i);
		calls[i].deadline = USEC_PER_SEC;
	}
	return calls;
}

/* After pushes and removals in any order, calls are popped by deadline. */
static void test_queue_order(void)
{
	struct entry_queue *queue = entry_queue_new();
	entry_call_t *calls = new_calls(QUEUE_CALLS);
	GRand *generator = g_rand_new_with_seed(1);
	entry_call_t *call;
	usec_t last = 0;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < QUEUE_CALLS; i++) {
		g_strlcpy(calls[i].tenant, "t", sizeof(calls[i].tenant));
		calls[i].deadline = g_rand_int_range(generator, 1, 5000);
		entry_queue_push(queue, &calls[i], 0);
	}
	for (i = 0; i < QUEUE_CALLS; i += 3)
		entry_queue_remove(queue, &calls[i]);
	g_assert_cmpuint(entry_queue_count(queue), ==,
			 QUEUE_CALLS - QUEUE_CALLS / 3 - 1);
	while ((call = entry_queue_pop(queue))) {
		g_assert_cmpint(call->deadline, >=, last);
		g_assert_false(call->waiting);
		last = call->deadline;
		count++;
	}
	g_assert_cmpuint(count, ==, QUEUE_CALLS - QUEUE_CALLS / 3 - 1);
	entry_queue_free(queue);
	g_rand_free(generator);
	g_free(calls);
}

/* With more tenants than flows, each call is popped exactly once. */
static void test_queue_tenants(void)
{
	struct entry_queue *queue = entry_queue_new();
	entry_call_t *calls = new_calls(4 * ENTRY_QUEUE_FLOWS);
	unsigned count = 0;
	unsigned round;
	unsigned i;

	for (round = 0; round < 2; round++) {
		for (i = 0; i < 4 * ENTRY_QUEUE_FLOWS; i++)
			entry_queue_push(queue, &calls[i], 0);
		while (entry_queue_pop(queue))
			count++;
	}
	g_assert_cmpuint(count, ==, 8 * ENTRY_QUEUE_FLOWS);
	entry_queue_free(queue);
	g_free(calls);
}

/*
 * A tenant above its rate stays limited while a flood of invented tenants uses
 * up all buckets: its bucket must not be reused.
 */
static void test_limit_tenants(void)
{
	struct entry_limit *limit = entry_limit_new();
	config_profile_t profile = { .tenant_rate = 1, .tenant_burst = 1 };
	entry_call_t *calls = new_calls(3 * ENTRY_LIMIT_TENANTS);
	unsigned admitted = 0;
	usec_t wait;
	unsigned i;

	g_assert_true(entry_limit_admit(limit, &profile, &calls[0], 0, &wait));
	for (i = 1; i < 3 * ENTRY_LIMIT_TENANTS; i++)
		admitted += entry_limit_admit(limit, &profile, &calls[i], 0,
					      &wait);
	/* The other tenants share one bucket. */
	g_assert_cmpuint(admitted, ==, ENTRY_LIMIT_TENANTS);
	g_assert_false(entry_limit_admit(limit, &profile, &calls[0], 0, &wait));
	g_assert_cmpint(wait, ==, USEC_PER_SEC);
	/* Buckets that are no longer in debt are reused. */
	g_assert_true(entry_limit_admit(limit, &profile,
					&calls[2 * ENTRY_LIMIT_TENANTS],
					2 * USEC_PER_SEC, &wait));
	entry_limit_free(limit);
	g_free(calls);
}

/* A chain of services, each calling the next; the last one always fails. */
typedef struct {
	entry_service_t services[CHAIN_LEVELS];
	config_profile_t profile;
	bool set_no_retry; /* send the no-retry header to the next level */
	unsigned runs;	   /* sends to the copy of the last level */
	usec_t now;
} chain_t;

static void chain_call(chain_t *chain, unsigned level, bool no_retry)
{
	entry_service_t *svc = &chain->services[level];
	entry_call_t call = { .idempotent = true, .no_retry = no_retry };
	entry_decision_t decision;

	call.deadline = chain->now + 1000 * USEC_PER_SEC;
	decision = entry_service_arrive(svc, &call, chain->now);
	while (decision.verdict != ENTRY_RESPOND) {
		if (decision.verdict == ENTRY_WAIT)
			g_assert_true(entry_service_next(svc, chain->now) ==
				      &call);
		chain->now += 10;
		if (level + 1 == CHAIN_LEVELS)
			chain->runs++;
		else
			chain_call(chain, level + 1,
				   chain->set_no_retry &&
					   entry_service_sets_no_retry(svc,
								       &call));
		decision = entry_service_end(svc, &call, ENTRY_RESULT_ERROR,
					     chain->now);
	}
}

/* Number of sends at the last level per call at the first. */
static double chain_amplification(bool set_no_retry)
{
	chain_t *chain = g_new0(chain_t, 1);
	double runs;
	unsigned i;

	chain->set_no_retry = set_no_retry;
	config_profile_set_defaults(&chain->profile);
	for (i = 0; i < CHAIN_LEVELS; i++) {
		entry_service_init(&chain->services[i], ENTRY_POLICY_OWNER,
				   &chain->profile, 1);
		entry_service_copy_add(&chain->services[i], "c", 0)->limit =
			100;
	}
	for (i = 0; i < CHAIN_CALLS; i++)
		chain_call(chain, 0, false);
	runs = (double)chain->runs / CHAIN_CALLS;
	for (i = 0; i < CHAIN_LEVELS; i++)
		entry_service_fini(&chain->services[i]);
	g_free(chain);
	return runs;
}

/*
 * Three sends at each of 11 levels would be 3^11 runs per call. The budget
 * alone limits them to 1.1^11 = 2.86, the no-retry header to 1.1.
 */
static void test_chain_amplification(void)
{
	double budget_only = chain_amplification(false);
	double with_header = chain_amplification(true);

	g_test_message("11 levels: %.3f runs per call by the budget alone, "
		       "%.3f with the no-retry header",
		       budget_only, with_header);
	g_assert_cmpfloat(budget_only, <, 2.86 * BUDGET_ALLOWANCE);
	g_assert_cmpfloat(with_header, <, 1.1 * BUDGET_ALLOWANCE);
	g_assert_cmpfloat(with_header, >, 1.05);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-bounds/queue-order", test_queue_order);
	g_test_add_func("/entry-bounds/queue-tenants", test_queue_tenants);
	g_test_add_func("/entry-bounds/limit-tenants", test_limit_tenants);
	g_test_add_func("/entry-bounds/chain-amplification",
			test_chain_amplification);
	return g_test_run();
}
