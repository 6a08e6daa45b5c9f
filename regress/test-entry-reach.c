#include <glib.h>
#include <stdio.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Tests of which copies an entry reaches. A failure here sends calls of an entry
 * that is cut off from copies into these copies, or takes copies from service
 * that only lose a segment or end.
 */

#define COPIES_MAX 160
#define COPIES_LARGE 64
#define STEP USEC_PER_MS
/* Number of copies that are doubted at the same time. */
#define REACH_DOUBTS 20
/* Time after which a test of a lost path fails. */
#define TEST_TIME (200 * USEC_PER_MS)
/* Time in which a lost path must be noticed. */
#define NOTICE_MAX (500 * USEC_PER_MS)
/* Time in which an entry that is cut off must have tested all copies once, three at a
   time. */
#define ALL_TESTED_MAX (COPIES_MAX / 3 * TEST_TIME + USEC_PER_SEC)
/* Time in which a copy must be used again after its path is back. */
#define RETURN_MAX (2 * USEC_PER_SEC)

typedef struct {
	entry_service_t svc;
	config_profile_t profile;
	entry_copy_t *copies[COPIES_MAX];
	bool reached[COPIES_MAX];   /* whether a test of the copy succeeds */
	usec_t ends_at[COPIES_MAX]; /* end of the test of the copy; 0: none */
	unsigned count;
	unsigned tests;
	usec_t now;
} fixture_t;

static fixture_t *fixture_new(unsigned count)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	char name[16];
	unsigned i;

	config_profile_set_defaults(&fixture->profile);
	entry_service_init(&fixture->svc, ENTRY_POLICY_REPORTS,
			   &fixture->profile, 7);
	fixture->now = USEC_PER_SEC;
	fixture->count = count;
	for (i = 0; i < count; i++) {
		g_snprintf(name, sizeof(name), "c%u", i);
		fixture->copies[i] = entry_service_copy_add(&fixture->svc, name,
							    fixture->now);
		fixture->copies[i]->limit = 8;
		fixture->reached[i] = true;
	}
	return fixture;
}

static void fixture_free(fixture_t *fixture)
{
	entry_service_fini(&fixture->svc);
	g_free(fixture);
}

static void set_reached(fixture_t *fixture, unsigned first, unsigned end,
			bool reached)
{
	for (; first < end; first++)
		fixture->reached[first] = reached;
}

static unsigned copy_index(const fixture_t *fixture, const entry_copy_t *copy)
{
	unsigned i = 0;

	while (fixture->copies[i] != copy)
		i++;
	return i;
}

/* Runs the tests that become due for a while; a test ends at once. */
static void run(fixture_t *fixture, usec_t length)
{
	usec_t end = fixture->now + length;
	entry_copy_t *copy;

	for (; fixture->now < end; fixture->now += STEP)
		while ((copy = entry_reach_next_test(&fixture->svc,
						     fixture->now))) {
			unsigned i = copy_index(fixture, copy);

			fixture->tests++;
			entry_reach_on_test(&fixture->svc, copy,
					    fixture->reached[i], fixture->now);
		}
}

/* As run(), but a test of a path that is lost ends after TEST_TIME. */
static void run_slow(fixture_t *fixture, usec_t length)
{
	usec_t end = fixture->now + length;
	entry_copy_t *copy;
	unsigned i;

	for (; fixture->now < end; fixture->now += STEP) {
		while ((copy = entry_reach_next_test(&fixture->svc,
						     fixture->now)))
			fixture->ends_at[copy_index(fixture, copy)] =
				fixture->now + TEST_TIME;
		for (i = 0; i < fixture->count; i++) {
			if (!fixture->ends_at[i] ||
			    fixture->now < fixture->ends_at[i])
				continue;
			fixture->ends_at[i] = 0;
			entry_reach_on_test(&fixture->svc, fixture->copies[i],
					    fixture->reached[i], fixture->now);
		}
	}
}

static entry_decision_t arrive(fixture_t *fixture, entry_call_t *call)
{
	memset(call, 0, sizeof(*call));
	call->idempotent = true;
	call->attempts_max = 2;
	call->objective = 300 * USEC_PER_MS;
	call->arrived = fixture->now;
	call->deadline = fixture->now + USEC_PER_SEC;
	return entry_service_arrive(&fixture->svc, call, fixture->now);
}

/* Two calls that fail must be enough to find that all paths are lost. */
static void test_cut_off(void)
{
	fixture_t *fixture = fixture_new(20);
	entry_decision_t decision;
	entry_call_t call;

	set_reached(fixture, 0, 20, false);
	entry_reach_doubt(fixture->copies[0], fixture->now);
	entry_reach_doubt(fixture->copies[1], fixture->now);
	run(fixture, NOTICE_MAX);
	g_assert_true(entry_reach_is_cut_off(&fixture->svc));
	decision = arrive(fixture, &call);
	g_assert_cmpint(decision.verdict, ==, ENTRY_REFUSE);
	g_assert_cmpint(decision.refusal, ==, ENTRY_REFUSE_UNREACHABLE);
	fixture_free(fixture);
}

/* A large service must not be tested whole, nor all copies at the same time. */
static void test_cut_off_large(void)
{
	fixture_t *fixture = fixture_new(COPIES_LARGE);

	set_reached(fixture, 0, COPIES_LARGE, false);
	entry_reach_doubt_service(&fixture->svc, 3, fixture->now);
	run(fixture, NOTICE_MAX);
	g_assert_true(entry_reach_is_cut_off(&fixture->svc));
	fixture_free(fixture);
}

/* An entry that is cut off from a large service must count as cut off and as impaired
   three tests after the first doubts, not when half of the copies have been tested:
   until then its calls wait, and it does not decline those of siblings. */
static void test_cut_off_is_impaired(void)
{
	fixture_t *fixture = fixture_new(COPIES_MAX);

	set_reached(fixture, 0, COPIES_MAX, false);
	entry_reach_doubt(fixture->copies[0], fixture->now);
	entry_reach_doubt(fixture->copies[1], fixture->now);
	run_slow(fixture, TEST_TIME + 2 * STEP);
	g_assert_true(entry_reach_is_doubtful(&fixture->svc));
	run_slow(fixture, 2 * TEST_TIME + 4 * STEP);
	g_assert_true(entry_reach_is_cut_off(&fixture->svc));
	g_assert_true(entry_reach_is_impaired(&fixture->svc));
	fixture_free(fixture);
}

/* Two tests that fail, as just after a restart of many VMs, must not make an entry open
   connections to all copies at once. */
static void test_widens_in_steps(void)
{
	fixture_t *fixture = fixture_new(COPIES_MAX);
	unsigned pending = 0;
	unsigned i;

	set_reached(fixture, 0, 2, false);
	entry_reach_doubt(fixture->copies[0], fixture->now);
	entry_reach_doubt(fixture->copies[1], fixture->now);
	run_slow(fixture, TEST_TIME + STEP);
	for (i = 2; i < COPIES_MAX; i++)
		pending += fixture->copies[i]->reach.testing ||
			   fixture->copies[i]->reach.test_at;
	g_assert_cmpuint(pending, >, 0);
	g_assert_cmpuint(pending, <=, 8);
	fixture_free(fixture);
}

/* A copy that has ended long before must not hide that all paths are lost. */
static void test_cut_off_after_dead_copy(void)
{
	fixture_t *fixture = fixture_new(COPIES_LARGE);

	fixture->reached[0] = false;
	entry_reach_doubt(fixture->copies[0], fixture->now);
	run(fixture, USEC_PER_SEC);
	entry_reach_on_response(&fixture->svc, fixture->now);
	run(fixture, USEC_PER_SEC);
	g_assert_false(entry_reach_is_doubtful(&fixture->svc) &&
		       entry_reach_is_impaired(&fixture->svc));
	set_reached(fixture, 0, COPIES_LARGE, false);
	entry_reach_doubt(fixture->copies[1], fixture->now);
	entry_reach_doubt(fixture->copies[2], fixture->now);
	run(fixture, NOTICE_MAX);
	g_assert_true(entry_reach_is_cut_off(&fixture->svc));
	fixture_free(fixture);
}

/* Of a large service one response of any copy shows that there are paths. */
static void test_response_ends_cut_off(void)
{
	fixture_t *fixture = fixture_new(COPIES_LARGE);

	set_reached(fixture, 1, COPIES_LARGE, false);
	entry_reach_doubt_service(&fixture->svc, REACH_DOUBTS, fixture->now);
	run(fixture, NOTICE_MAX);
	entry_reach_on_response(&fixture->svc, fixture->now);
	g_assert_false(entry_reach_is_cut_off(&fixture->svc));
	fixture_free(fixture);
}

/* Of a large service one copy responds: the entry is not cut off any more, but must
   stay impaired, though most copies have not been tested. */
static void test_one_reached_is_impaired(void)
{
	fixture_t *fixture = fixture_new(COPIES_MAX);
	usec_t end;

	set_reached(fixture, 0, COPIES_MAX - 1, false);
	entry_reach_doubt(fixture->copies[0], fixture->now);
	entry_reach_doubt(fixture->copies[1], fixture->now);
	run_slow(fixture, 3 * TEST_TIME + 8 * STEP);
	g_assert_true(entry_reach_is_cut_off(&fixture->svc));
	end = fixture->now + 2 * USEC_PER_SEC;
	while (fixture->now < end) {
		entry_reach_on_response(&fixture->svc, fixture->now);
		g_assert_false(entry_reach_is_cut_off(&fixture->svc));
		g_assert_true(entry_reach_is_impaired(&fixture->svc));
		run_slow(fixture, 10 * STEP);
	}
	fixture_free(fixture);
}

/* A part of the copies ends at once: the entry reaches the others, and is not
   impaired. */
static void test_some_end(void)
{
	fixture_t *fixture = fixture_new(COPIES_MAX);

	set_reached(fixture, 0, REACH_DOUBTS, false);
	entry_reach_doubt_service(&fixture->svc, 2 * REACH_DOUBTS,
				  fixture->now);
	run_slow(fixture, 2 * USEC_PER_SEC);
	g_assert_cmpuint(entry_reach_count(&fixture->svc, NULL), ==,
			 REACH_DOUBTS);
	g_assert_false(entry_reach_is_impaired(&fixture->svc));
	fixture_free(fixture);
}

/* An entry that reaches the last copies of a large service only must find that out,
   however many others it tests in vain. */
static void test_few_reached(void)
{
	fixture_t *fixture = fixture_new(COPIES_MAX);

	set_reached(fixture, 0, COPIES_MAX - 4, false);
	entry_reach_doubt(fixture->copies[0], fixture->now);
	entry_reach_doubt(fixture->copies[1], fixture->now);
	run_slow(fixture, ALL_TESTED_MAX);
	g_assert_false(entry_reach_is_cut_off(&fixture->svc));
	g_assert_true(entry_reach_is_impaired(&fixture->svc));
	fixture_free(fixture);
}

/* The paths to some copies are lost: the others get the calls, and the entry is
   not cut off. */
static void test_some_lost(void)
{
	fixture_t *fixture = fixture_new(6);
	entry_decision_t decision;
	entry_call_t call;
	unsigned i;

	set_reached(fixture, 0, 4, false);
	for (i = 0; i < 6; i++)
		entry_reach_doubt(fixture->copies[i], fixture->now);
	run(fixture, NOTICE_MAX);
	g_assert_cmpuint(entry_reach_count(&fixture->svc, NULL), ==, 4);
	g_assert_false(entry_reach_is_cut_off(&fixture->svc));
	g_assert_true(entry_reach_is_impaired(&fixture->svc));
	for (i = 0; i < 8; i++) {
		decision = arrive(fixture, &call);
		g_assert_cmpint(decision.verdict, ==, ENTRY_SEND);
		g_assert_cmpuint(copy_index(fixture, call.copy), >=, 4);
		entry_service_end(&fixture->svc, &call, ENTRY_RESULT_OK,
				  fixture->now);
	}
	fixture_free(fixture);
}

/* One test that fails, as a segment may get lost, takes no copy from service. */
static void test_lost_segment(void)
{
	fixture_t *fixture = fixture_new(2);
	entry_copy_t *copy = fixture->copies[0];

	entry_reach_doubt(copy, fixture->now);
	g_assert_true(entry_reach_next_test(&fixture->svc, fixture->now) ==
		      copy);
	g_assert_false(
		entry_reach_on_test(&fixture->svc, copy, false, fixture->now));
	run(fixture, NOTICE_MAX);
	g_assert_false(copy->reach.unreachable);
	g_assert_cmpuint(copy->reach.failures, ==, 0);
	fixture_free(fixture);
}

/* Copies are used again by themselves when the paths are back, and the tests
   until then are few. */
static void test_return(void)
{
	fixture_t *fixture = fixture_new(8);
	unsigned i;

	set_reached(fixture, 0, 8, false);
	for (i = 0; i < 8; i++)
		entry_reach_doubt(fixture->copies[i], fixture->now);
	run(fixture, 10 * USEC_PER_SEC);
	g_assert_cmpuint(fixture->tests, <, 8 * 16);
	set_reached(fixture, 0, 8, true);
	run(fixture, RETURN_MAX);
	g_assert_cmpuint(entry_reach_count(&fixture->svc, NULL), ==, 0);
	fixture->tests = 0;
	run(fixture, 10 * USEC_PER_SEC);
	g_assert_cmpuint(fixture->tests, ==, 0);
	fixture_free(fixture);
}

/* The tests of a long cut must leave probes for the calls that come after it, and a
   large service must not be tested more often than a small one. */
static void test_probes_after_cut(void)
{
	fixture_t *fixture = fixture_new(COPIES_LARGE);

	entry_service_set_probe_rate(&fixture->svc, 9, fixture->now);
	set_reached(fixture, 0, COPIES_LARGE, false);
	entry_reach_doubt_service(&fixture->svc, COPIES_LARGE, fixture->now);
	run(fixture, NOTICE_MAX);
	fixture->tests = 0;
	run(fixture, 10 * USEC_PER_SEC);
	g_assert_cmpuint(fixture->tests, <=, 10 * 20);
	set_reached(fixture, 0, COPIES_LARGE, true);
	run(fixture, RETURN_MAX);
	g_assert_cmpuint(entry_reach_count(&fixture->svc, NULL), ==, 0);
	g_assert_cmpuint(entry_probe_rate_take(&fixture->svc, 2, fixture->now),
			 ==, 2);
	fixture_free(fixture);
}

/* Doubts that turn out wrong, as at a slow VM, cost two tests a second at most
   for each copy. */
static void test_wrong_doubts(void)
{
	fixture_t *fixture = fixture_new(1);
	unsigned i;

	for (i = 0; i < 1000; i++) {
		entry_reach_doubt(fixture->copies[0], fixture->now);
		run(fixture, 10 * USEC_PER_MS);
	}
	g_assert_cmpuint(fixture->tests, <=, 21);
	fixture_free(fixture);
}

/* No test reaches a copy that asked for a rest, or that another entry holds the
   rate of. */
static void test_rest_and_rate(void)
{
	fixture_t *fixture = fixture_new(2);

	entry_service_on_rest(fixture->copies[0], USEC_PER_SEC, fixture->now);
	entry_service_declare_rate(&fixture->svc, fixture->copies[1], 1000, 5,
				   false, fixture->now);
	entry_reach_doubt_service(&fixture->svc, 2, fixture->now);
	run(fixture, USEC_PER_SEC);
	g_assert_cmpuint(fixture->tests, ==, 0);
	run(fixture, USEC_PER_SEC);
	g_assert_cmpuint(fixture->tests, ==, 1);
	fixture_free(fixture);
}

/* An entry that starts while it is cut off: a call must not be refused for the lack
 * of a free slot before the first test of a path has ended, if no copy has responded
 * since it came. One response of any copy shows that there are paths. */
static void test_silent_since_start(void)
{
	fixture_t *fixture = fixture_new(2);
	entry_service_t *svc = &fixture->svc;
	usec_t arrived = fixture->now;

	g_assert_false(entry_reach_is_silent(svc, arrived, 100 * STEP,
					     arrived + 99 * STEP));
	g_assert_true(entry_reach_is_silent(svc, arrived, 100 * STEP,
					    arrived + 100 * STEP));
	entry_reach_on_response(svc, arrived + 150 * STEP);
	g_assert_false(entry_reach_is_silent(svc, arrived, 100 * STEP,
					     arrived + 300 * STEP));
	fixture_free(fixture);
}

/* A call must not wait for a copy where none can be reached, and a sibling's call must
   be declined before the time that it has is used up. */
static void test_wait_ends(void)
{
	static const struct {
		usec_t waited;	 /* ms since the arrival of the call */
		usec_t answered; /* last response, ms from the arrival */
		unsigned lost;	 /* of 160 copies, found by tests */
		entry_others_t others;
		bool from_sibling;
		bool ends;
	} rows[] = {
		/* This entry reaches no copy. */
		{ 0, -500, 160, ENTRY_OTHERS_UNKNOWN, false, true },
		{ 0, -500, 160, ENTRY_OTHERS_ALIKE, false, true },
		{ 0, -500, 160, ENTRY_OTHERS_ALIKE, true, true },
		/* It reaches a few copies. */
		{ 10, 0, 120, ENTRY_OTHERS_UNKNOWN, false, true },
		{ 10, 0, 120, ENTRY_OTHERS_ALIKE, false, false },
		{ 10, 0, 120, ENTRY_OTHERS_ALIKE, true, true },
		/* No path has been tested yet. */
		{ 99, -500, 0, ENTRY_OTHERS_REACH, false, false },
		{ 100, -500, 0, ENTRY_OTHERS_REACH, false, true },
		{ 100, -500, 0, ENTRY_OTHERS_UNKNOWN, false, false },
		{ 99, -500, 0, ENTRY_OTHERS_UNKNOWN, true, false },
		{ 100, -500, 0, ENTRY_OTHERS_UNKNOWN, true, true },
		{ 100, -50, 0, ENTRY_OTHERS_UNKNOWN, true, false },
		/* All paths are there. */
		{ 500, 450, 0, ENTRY_OTHERS_REACH, false, false },
		{ 500, 450, 0, ENTRY_OTHERS_UNKNOWN, true, false },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fixture_t *fixture = fixture_new(COPIES_MAX);
		entry_call_t call = { .from_sibling = rows[i].from_sibling };

		fixture->now = 10 * USEC_PER_SEC;
		set_reached(fixture, 0, rows[i].lost, false);
		entry_reach_doubt_service(&fixture->svc, rows[i].lost,
					  fixture->now);
		run(fixture, NOTICE_MAX);
		call.arrived = fixture->now;
		entry_reach_on_response(&fixture->svc,
					call.arrived +
						rows[i].answered * USEC_PER_MS);
		if (rows[i].lost)
			run(fixture, 4 * USEC_PER_SEC);
		g_test_message("row %u", i);
		g_assert_cmpint(entry_reach_ends_wait(
					&fixture->svc, &call, rows[i].others,
					call.arrived +
						rows[i].waited * USEC_PER_MS),
				==, rows[i].ends);
		fixture_free(fixture);
	}
}

/* Sends a call of which no copy has responded when its hedge is due. */
static void send_until_hedge_due(fixture_t *fixture, entry_call_t *call)
{
	const load_t load = { .slowness = LOAD_SLOWNESS_NORMAL };
	entry_decision_t decision;
	unsigned i;

	entry_service_set_retry_budget(&fixture->svc, 1, 9, USEC_PER_SEC,
				       fixture->now - USEC_PER_SEC);
	for (i = 0; i < fixture->count; i++)
		entry_service_on_report(&fixture->svc, fixture->copies[i],
					&load, fixture->now);
	fixture->now += STEP;
	decision = arrive(fixture, call);
	g_assert_cmpint(decision.verdict, ==, ENTRY_SEND);
	fixture->now += 400 * USEC_PER_MS;
}

/* Sends a call to a second copy; returns that copy. */
static entry_copy_t *hedge(fixture_t *fixture, entry_call_t *call)
{
	send_until_hedge_due(fixture, call);
	g_assert_true(entry_service_hedge(&fixture->svc, fixture->now) == call);
	return call->hedged_copy;
}

/* Guards against a lost path that stays in use because only second sends of calls
   found it lost, and against a response to one that does not count as a response. */
static void test_hedge_shows_path(void)
{
	static const struct {
		entry_result_t result;
		unsigned tests;
		bool responded;
	} rows[] = {
		{ ENTRY_RESULT_OK, 0, true },
		{ ENTRY_RESULT_SHED, 0, true },
		{ ENTRY_RESULT_CONNECT, 2, false },
		{ ENTRY_RESULT_TRUNCATED, 1, false },
		{ ENTRY_RESULT_CANCEL, 0, false },
	};
	fixture_t *fixture;
	entry_call_t call;
	entry_copy_t *copy;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fixture = fixture_new(3);
		copy = hedge(fixture, &call);
		entry_service_hedge_end(&fixture->svc, &call, rows[i].result,
					fixture->now);
		g_test_message("row %u", i);
		g_assert_cmpint(fixture->svc.answered_at == fixture->now, ==,
				rows[i].responded);
		run(fixture, STEP);
		g_assert_cmpuint(fixture->tests, ==, rows[i].tests);
		g_assert_cmpint(copy->reach.tested_at > 0, ==,
				rows[i].tests > 0);
		entry_service_end(&fixture->svc, &call, ENTRY_RESULT_CANCEL,
				  fixture->now);
		fixture_free(fixture);
	}
}

/* What is special about a call of test_gives_up(). */
typedef enum {
	GIVE_UP_NONE,
	GIVE_UP_ONCE,	 /* it is not idempotent */
	GIVE_UP_RELAYED, /* it comes from a sibling */
	GIVE_UP_STREAMS, /* its response streams */
	GIVE_UP_LATE,	 /* its deadline is near */
	GIVE_UP_UNPAID,	 /* the budget is used up */
	GIVE_UP_REACHED, /* some paths are lost, not those of most copies */
} give_up_t;

/* Has some copies tested, that of a call among them, until their tests have ended. */
static void test_paths(fixture_t *fixture, entry_call_t *call)
{
	entry_reach_doubt(call->copy, fixture->now);
	entry_reach_doubt_service(&fixture->svc, 4, fixture->now);
	run(fixture, USEC_PER_SEC);
	call->deadline = fixture->now + USEC_PER_SEC;
}

static void use_up_budget(fixture_t *fixture)
{
	while (entry_retry_spend(fixture->svc.retry, fixture->now))
		;
}

/* Guards against a call that waits until its deadline for a response over a lost path
   while another entry could repeat it, and against a repeat of any other call. */
static void test_gives_up(void)
{
	fixture_t *fixture;
	entry_call_t call;
	unsigned lost;
	give_up_t row;

	for (row = GIVE_UP_NONE; row <= GIVE_UP_REACHED; row++) {
		fixture = fixture_new(20);
		send_until_hedge_due(fixture, &call);
		lost = copy_index(fixture, call.copy);
		set_reached(fixture, lost, lost + 1, false);
		if (row != GIVE_UP_REACHED)
			set_reached(fixture, 0, 20, false);
		test_paths(fixture, &call);
		call.idempotent = row != GIVE_UP_ONCE;
		call.from_sibling = row == GIVE_UP_RELAYED;
		call.no_hedge = row == GIVE_UP_STREAMS;
		if (row == GIVE_UP_LATE)
			call.deadline = fixture->now;
		if (row == GIVE_UP_UNPAID)
			use_up_budget(fixture);
		g_test_message("row %d", row);
		g_assert_cmpuint(call.copy->reach.failures, >, 0);
		g_assert_true(
			entry_service_give_up(&fixture->svc, fixture->now) ==
			(row == GIVE_UP_NONE ? &call : NULL));
		g_assert_null(
			entry_service_give_up(&fixture->svc, fixture->now));
		g_assert_cmpint(call.given_up, ==, row == GIVE_UP_NONE);
		entry_service_end(&fixture->svc, &call, ENTRY_RESULT_CANCEL,
				  fixture->now);
		fixture_free(fixture);
	}
}

/* Of a large service some copies are tested; that of a late call is, too. */
static void test_gives_up_untested(void)
{
	const entry_reach_t untested = { 0 };
	fixture_t *fixture = fixture_new(COPIES_MAX);
	entry_call_t call;

	send_until_hedge_due(fixture, &call);
	set_reached(fixture, 0, COPIES_MAX - 9, false);
	entry_reach_doubt_service(&fixture->svc, REACH_DOUBTS, fixture->now);
	run(fixture, 20 * STEP);
	entry_reach_on_response(&fixture->svc, fixture->now);
	call.copy->reach = untested;
	fixture->reached[copy_index(fixture, call.copy)] = false;
	call.deadline = fixture->now + USEC_PER_SEC;
	g_assert_true(entry_reach_is_impaired(&fixture->svc));
	g_assert_null(entry_service_give_up(&fixture->svc, fixture->now));
	run(fixture, 20 * STEP);
	g_assert_true(entry_service_give_up(&fixture->svc, fixture->now) ==
		      &call);
	entry_service_end(&fixture->svc, &call, ENTRY_RESULT_CANCEL,
			  fixture->now);
	fixture_free(fixture);
}

/* The repeat of a call that was given up is paid once. */
static void test_gives_up_paid_once(void)
{
	fixture_t *fixture = fixture_new(20);
	entry_decision_t decision;
	entry_call_t call;

	send_until_hedge_due(fixture, &call);
	set_reached(fixture, 0, 20, false);
	test_paths(fixture, &call);
	g_assert_true(entry_service_give_up(&fixture->svc, fixture->now) ==
		      &call);
	use_up_budget(fixture);
	decision = entry_service_end(&fixture->svc, &call,
				     ENTRY_RESULT_TRUNCATED, fixture->now);
	g_assert_cmpint(decision.verdict, ==, ENTRY_WAIT);
	g_assert_false(call.given_up);
	g_assert_true(call.repeat_paid);
	entry_service_cancel(&fixture->svc, &call);
	fixture_free(fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-reach/silent-since-start",
			test_silent_since_start);
	g_test_add_func("/entry-reach/cut-off", test_cut_off);
	g_test_add_func("/entry-reach/cut-off-large", test_cut_off_large);
	g_test_add_func("/entry-reach/cut-off-is-impaired",
			test_cut_off_is_impaired);
	g_test_add_func("/entry-reach/widens-in-steps", test_widens_in_steps);
	g_test_add_func("/entry-reach/cut-off-after-dead-copy",
			test_cut_off_after_dead_copy);
	g_test_add_func("/entry-reach/response-ends-cut-off",
			test_response_ends_cut_off);
	g_test_add_func("/entry-reach/wait-ends", test_wait_ends);
	g_test_add_func("/entry-reach/one-reached-is-impaired",
			test_one_reached_is_impaired);
	g_test_add_func("/entry-reach/some-end", test_some_end);
	g_test_add_func("/entry-reach/few-reached", test_few_reached);
	g_test_add_func("/entry-reach/some-lost", test_some_lost);
	g_test_add_func("/entry-reach/lost-segment", test_lost_segment);
	g_test_add_func("/entry-reach/return", test_return);
	g_test_add_func("/entry-reach/probes-after-cut", test_probes_after_cut);
	g_test_add_func("/entry-reach/wrong-doubts", test_wrong_doubts);
	g_test_add_func("/entry-reach/rest-and-rate", test_rest_and_rate);
	g_test_add_func("/entry-reach/hedge-shows-path", test_hedge_shows_path);
	g_test_add_func("/entry-reach/gives-up", test_gives_up);
	g_test_add_func("/entry-reach/gives-up-untested",
			test_gives_up_untested);
	g_test_add_func("/entry-reach/gives-up-paid-once",
			test_gives_up_paid_once);
	return g_test_run();
}
