#include <glib.h>
#include <string.h>
#include "entry-decide.h"

/* Bounds that need more calls, tenants or levels than a scripted run has. */

#define WAITING 10000
#define DEPTH 11
#define TOP_CALLS 2000

/* The budget's start and floor, as a share of TOP_CALLS. */
#define BUDGET_SLACK 1.02

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

/* Whatever is pushed and removed, pops come by deadline. */
static void test_queue_order(void)
{
	struct entry_queue *queue = entry_queue_new();
	entry_call_t *calls = new_calls(WAITING);
	GRand *generator = g_rand_new_with_seed(1);
	entry_call_t *call;
	usec_t last = 0;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < WAITING; i++) {
		g_strlcpy(calls[i].tenant, "t", sizeof(calls[i].tenant));
		calls[i].deadline = g_rand_int_range(generator, 1, 5000);
		entry_queue_push(queue, &calls[i], 0);
	}
	for (i = 0; i < WAITING; i += 3)
		entry_queue_remove(queue, &calls[i]);
	g_assert_cmpuint(entry_queue_count(queue), ==,
			 WAITING - WAITING / 3 - 1);
	while ((call = entry_queue_pop(queue))) {
		g_assert_cmpint(call->deadline, >=, last);
		g_assert_false(call->waiting);
		last = call->deadline;
		count++;
	}
	g_assert_cmpuint(count, ==, WAITING - WAITING / 3 - 1);
	entry_queue_free(queue);
	g_rand_free(generator);
	g_free(calls);
}

/* More tenants than flows: all calls come out, none twice. */
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

/* Made-up tenants do not make the entry forget one that is over its rate. */
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
	/* The rest shares one bucket. */
	g_assert_cmpuint(admitted, ==, ENTRY_LIMIT_TENANTS);
	g_assert_false(entry_limit_admit(limit, &profile, &calls[0], 0, &wait));
	g_assert_cmpint(wait, ==, USEC_PER_SEC);
	/* Those that owe nothing any more make room. */
	g_assert_true(entry_limit_admit(limit, &profile,
					&calls[2 * ENTRY_LIMIT_TENANTS],
					2 * USEC_PER_SEC, &wait));
	entry_limit_free(limit);
	g_free(calls);
}

/* Services that call one another; the last one always fails. */
typedef struct {
	entry_service_t levels[DEPTH];
	config_profile_t profile;
	bool marks;
	unsigned runs; /* calls that reached the last level's copy */
	usec_t now;
} chain_t;

static void chain_call(chain_t *chain, unsigned level, bool no_retry)
{
	entry_service_t *svc = &chain->levels[level];
	entry_call_t call = { .idempotent = true, .no_retry = no_retry };
	entry_decision_t decision;

	call.deadline = chain->now + 1000 * USEC_PER_SEC;
	decision = entry_service_arrive(svc, &call, chain->now);
	while (decision.verdict != ENTRY_RESPOND) {
		if (decision.verdict == ENTRY_WAIT)
			g_assert_true(entry_service_next(svc, chain->now) ==
				      &call);
		chain->now += 10;
		if (level + 1 == DEPTH)
			chain->runs++;
		else
			chain_call(chain, level + 1,
				   chain->marks &&
					   entry_service_sets_no_retry(svc,
								       &call));
		decision = entry_service_end(svc, &call, ENTRY_RESULT_ERROR,
					     chain->now);
	}
}

/* Runs at the last level for each call at the first. */
static double chain_amplification(bool marks)
{
	chain_t *chain = g_new0(chain_t, 1);
	double runs;
	unsigned i;

	chain->marks = marks;
	config_profile_preset(&chain->profile);
	for (i = 0; i < DEPTH; i++) {
		entry_service_init(&chain->levels[i], ENTRY_POLICY_OWNER,
				   &chain->profile, 1);
		entry_service_copy_add(&chain->levels[i], "c", 0)->limit = 100;
	}
	for (i = 0; i < TOP_CALLS; i++)
		chain_call(chain, 0, false);
	runs = (double)chain->runs / TOP_CALLS;
	for (i = 0; i < DEPTH; i++)
		entry_service_fini(&chain->levels[i]);
	g_free(chain);
	return runs;
}

/* Three sends at each level would be 3^11; the budget alone gives 1.1^11. */
static void test_depth(void)
{
	double budget = chain_amplification(false);
	double marked = chain_amplification(true);

	g_test_message("11 deep: %.3f runs a call by the budget alone, "
		       "%.3f with the no-retry mark",
		       budget, marked);
	g_assert_cmpfloat(budget, <, 2.86 * BUDGET_SLACK);
	g_assert_cmpfloat(marked, <, 1.1 * BUDGET_SLACK);
	g_assert_cmpfloat(marked, >, 1.05);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-bounds/queue-order", test_queue_order);
	g_test_add_func("/entry-bounds/queue-tenants", test_queue_tenants);
	g_test_add_func("/entry-bounds/limit-tenants", test_limit_tenants);
	g_test_add_func("/entry-bounds/eleven-deep", test_depth);
	return g_test_run();
}
