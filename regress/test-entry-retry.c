#include <glib.h>
#include "entry-decide.h"

/*
 * The retry budget that entries share: seeded runs in which no window of its
 * length, wherever it begins, exceeds the bound. Guards against an entry that
 * spends more than its share by a burst after an idle time, or by a restart
 * that begins with a full budget.
 */

#define WINDOW (10 * USEC_PER_SEC)
#define RATIO 0.2
#define SLACK 6.0
/* Slack of one entry among many. */
#define SLACK_SMALL 1.2
#define EVENTS 20000
/* More copies than a call tries. */
#define COPIES 16

typedef struct {
	usec_t at;
	bool send; /* a retry, charged to the budget; else a first send */
} event_t;

static const struct {
	const char *name;
	uint32_t seed;
	unsigned spends; /* percentage of events that are retries */
	usec_t max_gap;	 /* maximum time between events */
	usec_t idle;	 /* idle time every 1000 events; 0: none */
	double slack;
	bool restarts;
} runs[] = {
	{ "steady", 1, 50, 200 * USEC_PER_MS, 0, SLACK, false },
	{ "repeats-only", 2, 100, 50 * USEC_PER_MS, 0, SLACK, false },
	{ "few-calls", 3, 60, 3 * USEC_PER_SEC, 0, SLACK, false },
	{ "bursts-after-idle-times", 4, 70, 20 * USEC_PER_MS, 12 * USEC_PER_SEC,
	  SLACK, false },
	{ "restarts", 5, 70, 50 * USEC_PER_MS, 0, SLACK, true },
	{ "one-entry-of-many", 6, 50, 300 * USEC_PER_MS, 0, SLACK_SMALL, true },
	{ "one-entry-of-many-without-calls", 7, 100, USEC_PER_SEC, 0,
	  SLACK_SMALL, false },
};

/* Check that the sends in the window that ends with event @last are within the
 * bound. */
static void check_window(const event_t *events, unsigned last, double slack)
{
	double calls = 0;
	double sends = 0;
	unsigned i = last + 1;

	while (i-- > 0 && events[i].at > events[last].at - WINDOW) {
		calls += !events[i].send;
		sends += events[i].send;
	}
	g_assert_cmpfloat(sends, <=, RATIO * calls + slack + 1e-9);
}

static struct entry_retry *start(double slack, usec_t now)
{
	struct entry_retry *retry = entry_retry_new();

	entry_retry_set_budget(retry, RATIO, slack, WINDOW, now);
	return retry;
}

static void test_bound(gconstpointer data)
{
	unsigned row = GPOINTER_TO_UINT(data);
	GRand *generator = g_rand_new_with_seed(runs[row].seed);
	event_t *events = g_new0(event_t, EVENTS);
	usec_t now = 1000 * USEC_PER_SEC;
	struct entry_retry *retry = start(runs[row].slack, now);
	config_profile_t profile = { 0 };
	unsigned spent = 0;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < EVENTS; i++) {
		now += (usec_t)(g_rand_double(generator) *
				(double)runs[row].max_gap);
		if (runs[row].idle && i % 1000 == 0)
			now += runs[row].idle;
		if (runs[row].restarts && i % 300 == 0) {
			entry_retry_free(retry);
			retry = start(runs[row].slack, now);
		}
		events[count].at = now;
		events[count].send = g_rand_int_range(generator, 0, 100) <
				     (int)runs[row].spends;
		if (!events[count].send)
			entry_retry_earn(retry, &profile, now);
		else if (!entry_retry_spend(retry, now))
			continue;
		spent += events[count].send;
		check_window(events, count++, runs[row].slack);
	}
	g_assert_cmpuint(spent, >, 0);
	entry_retry_free(retry);
	g_rand_free(generator);
	g_free(events);
}

/* The slack is refilled in each window, also without any call. */
static void test_refill(void)
{
	struct entry_retry *retry = start(SLACK, 0);
	unsigned spent = 0;
	usec_t now;

	for (now = 0; now < 5 * WINDOW; now += WINDOW / 20)
		spent += entry_retry_spend(retry, now);
	g_assert_cmpuint(spent, >=, 4 * SLACK / 2);
	entry_retry_free(retry);
}

/* Sends a call whose first send is cut to copies that take no connection, until the
 * rules allow no further one. */
static void cut_and_connect(entry_service_t *svc, entry_call_t *call,
			    usec_t now)
{
	entry_result_t result = ENTRY_RESULT_TRUNCATED;
	entry_decision_t decision = entry_service_arrive(svc, call, now);

	g_assert_cmpint(decision.verdict, ==, ENTRY_SEND);
	do {
		decision = entry_service_end(svc, call, result, now);
		result = ENTRY_RESULT_CONNECT;
	} while (decision.verdict == ENTRY_WAIT &&
		 entry_service_next(svc, now) == call);
	g_assert_cmpint(decision.verdict, ==, ENTRY_RESPOND);
	g_assert_cmpuint(call->unsent_attempts, >, 0);
}

/* A repeat that no copy could be sent must not be charged again when it goes to a
 * sibling; else its caller gets an error though the budget has allowed a send. */
static void test_paid_once(void)
{
	config_profile_t profile = { 0 };
	entry_service_t svc;
	entry_call_t call = { .idempotent = true,
			      .attempts_max = 2,
			      .objective = 300 * USEC_PER_MS,
			      .deadline = 20 * WINDOW };
	usec_t now = 10 * WINDOW;
	char name[16];
	unsigned i;

	config_profile_set_defaults(&profile);
	entry_service_init(&svc, ENTRY_POLICY_REPORTS, &profile, 7);
	for (i = 0; i < COPIES; i++) {
		g_snprintf(name, sizeof(name), "c%u", i);
		entry_service_copy_add(&svc, name, now)->limit = 8;
	}
	entry_service_set_retry_budget(&svc, RATIO, SLACK_SMALL, WINDOW, 0);
	call.arrived = now;
	cut_and_connect(&svc, &call, now);
	g_assert_true(entry_service_pay_repeat(&svc, &call, now));
	call.repeat_paid = false;
	g_assert_false(entry_service_pay_repeat(&svc, &call, now));
	entry_service_fini(&svc);
}

int main(int argc, char **argv)
{
	char path[64];
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (i = 0; i < G_N_ELEMENTS(runs); i++) {
		g_snprintf(path, sizeof(path), "/retry/%s", runs[i].name);
		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_bound);
	}
	g_test_add_func("/retry/paid-once", test_paid_once);
	g_test_add_func("/retry/slack-is-refilled", test_refill);
	return g_test_run();
}
