#include <glib.h>
#include <string.h>
#include "witness.h"

/*
 * Guards against an owner that holds a term after its witnesses have ended it:
 * with grants of a minority, late responses, or witnesses that restart and lose
 * their records.
 *
 * Each step of a case is an event at a time in milliseconds, at the owner "o"
 * or one of its witnesses a, b and c. The lease lasts 3000 ms.
 */

#define STEPS_MAX 16
#define BOOT 100 /* start time of the witnesses' first processes */
#define ECHO_DELAY_MAX (20 * USEC_PER_SEC)

typedef enum {
	END,
	RENEW,	    /* the owner renews at `witness`, which responds at once */
	RENEW_LATE, /* as RENEW, with the response at `answered_ms` */
	END_TERM,   /* `witness` is requested to end the current term */
	RESTART	    /* `witness` restarts and loses its records */
} event_t;

typedef struct {
	event_t event;
	int time_ms;
	char witness;
	bool accepted; /* expected result of the event */
	int until_ms;  /* expected expiry of the owner's term */
	int answered_ms;
} step_t;

static const struct {
	const char *name;
	step_t steps[STEPS_MAX];
} cases[] = {
	{ "one-grant-is-no-majority",
	  { { RENEW, 4000, 'a', true, 3000, 0 },
	    { RENEW, 4500, 'b', true, 7000, 0 } } },
	{ "expiry-of-second-newest-grant",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { RENEW, 2000, 'b', true, 4000, 0 },
	    { RENEW, 2500, 'c', true, 5000, 0 } } },
	{ "lease-starts-when-renewal-is-sent",
	  { { RENEW_LATE, 1000, 'a', true, 3000, 2900 },
	    { RENEW_LATE, 1000, 'b', true, 4000, 2900 } } },
	{ "ended-after-last-grant",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { END_TERM, 2000, 'a', false, 3000, 0 },
	    { RENEW, 2500, 'a', false, 3000, 0 },
	    { END_TERM, 3999, 'a', false, 3000, 0 },
	    { END_TERM, 4000, 'a', true, 3000, 0 },
	    { RENEW, 9000, 'a', false, 3000, 0 } } },
	{ "restarted-witness",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { RESTART, 1500, 'a', true, 3000, 0 },
	    { END_TERM, 1600, 'a', false, 3000, 0 },
	    { RENEW, 2000, 'a', false, 3000, 0 },
	    { END_TERM, 4499, 'a', false, 3000, 0 },
	    { END_TERM, 4500, 'a', true, 3000, 0 } } },
	{ "renewal-refused-after-end-and-restart",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { END_TERM, 4000, 'a', true, 3000, 0 },
	    { RESTART, 4100, 'a', true, 3000, 0 },
	    { RENEW, 8000, 'a', false, 3000, 0 } } },
};

typedef struct {
	witness_holder_t holder;
	witness_grantor_t grantors[WITNESS_COUNT];
} group_t;

static usec_t at_ms(int ms)
{
	return 1000 * USEC_PER_SEC + ms * USEC_PER_MS;
}

/* Renews the terms at one witness; true if one was granted. */
static bool group_renew(group_t *group, char witness, usec_t sent,
			usec_t answered)
{
	witness_renewal_t renewals[WITNESS_RENEWALS_MAX];
	witness_grantor_t *grantor = &group->grantors[witness - 'a'];
	unsigned count;
	unsigned i;
	bool any = false;

	group->holder.next_renewal = sent;
	count = witness_holder_renewals(&group->holder, renewals, sent);
	for (i = 0; i < count; i++) {
		witness_response_t response = {
			.from = renewals[i].to,
			.term = renewals[i].term,
			.boot = grantor->boot,
			.sent_at = renewals[i].sent_at
		};

		if (renewals[i].to[0] != witness)
			continue;
		response.granted = witness_grantor_renew(grantor, "o",
							 renewals[i].term,
							 renewals[i].boot,
							 &response.newest_term,
							 answered);
		any = any || response.granted;
		witness_holder_on_response(&group->holder, &response, answered);
	}
	return any;
}

/* Opens a term at 0 ms. */
static void group_start(group_t *group)
{
	const char *names[WITNESS_COUNT] = { "a", "b", "c" };
	usec_t now = at_ms(0);
	bool granted;
	unsigned i;

	memset(group, 0, sizeof(*group));
	witness_holder_init(&group->holder, "o", BOOT, ECHO_DELAY_MAX);
	g_assert_true(witness_holder_should_open(&group->holder, false, now));
	witness_holder_open(&group->holder, names, now);
	for (i = 0; i < WITNESS_COUNT; i++) {
		group->grantors[i].boot = BOOT + i;
		g_assert_null(witness_holder_term(&group->holder, now));
		granted = group_renew(group, names[i][0], now, now);
		g_assert_true(granted);
	}
	group->holder.next_renewal = USEC_NEVER;
	witness_holder_renewals(&group->holder, NULL, now);
	g_assert_nonnull(witness_holder_term(&group->holder, now));
}

static bool run_event(group_t *group, const step_t *step)
{
	const witness_term_t *term = &group->holder.current.term;
	unsigned index = (unsigned)(step->witness - 'a');
	witness_grantor_t *grantor = &group->grantors[index];
	usec_t now = at_ms(step->time_ms);

	switch (step->event) {
	case RENEW:
		return group_renew(group, step->witness, now, now);
	case RENEW_LATE:
		return group_renew(group, step->witness, now,
				   at_ms(step->answered_ms));
	case END_TERM:
		return witness_grantor_end(grantor, "o", term->number,
					   term->members[index].boot, now);
	default:
		memset(grantor, 0, sizeof(*grantor));
		grantor->boot = BOOT + WITNESS_COUNT;
		grantor->started = now;
		return true;
	}
}

static void test_case(gconstpointer data)
{
	const step_t *step = data;
	group_t *group = g_new(group_t, 1);

	group_start(group);
	for (; step->event != END; step++) {
		bool accepted = run_event(group, step);

		g_assert_true(accepted == step->accepted);
		g_assert_cmpint(
			witness_holder_until(&group->holder,
					     group->holder.current.term.number),
			==, at_ms(step->until_ms));
	}
	g_free(group);
}

/* A new term is used only after all witnesses responded; the current one is
   renewed until then. */
static void test_open_replaces_term(void)
{
	const char *names[WITNESS_COUNT] = { "a", "b", "c" };
	group_t *group = g_new(group_t, 1);
	uint64_t first;

	group_start(group);
	first = group->holder.current.term.number;
	g_assert_false(
		witness_holder_should_open(&group->holder, true, at_ms(2000)));
	g_assert_true(
		witness_holder_should_open(&group->holder, false, at_ms(3000)));
	witness_holder_open(&group->holder, names, at_ms(3000));
	group_renew(group, 'a', at_ms(3100), at_ms(3100));
	group_renew(group, 'b', at_ms(3200), at_ms(3200));
	g_assert_cmpuint(group->holder.current.term.number, ==, first);
	group_renew(group, 'c', at_ms(3300), at_ms(3300));
	group_renew(group, 'c', at_ms(3400), at_ms(3400));
	g_assert_cmpuint(group->holder.current.term.number, >, first);
	g_assert_cmpuint(group->holder.former.term.number, ==, first);
	g_assert_cmpint(witness_holder_until(&group->holder, first), ==,
			at_ms(6200));
	g_free(group);
}

/* A term that cannot be opened, as one witness does not respond, does not
   affect the current one. */
static void test_open_without_witness(void)
{
	const char *names[WITNESS_COUNT] = { "a", "b", "c" };
	group_t *group = g_new(group_t, 1);
	uint64_t first;
	int ms;

	group_start(group);
	first = group->holder.current.term.number;
	witness_holder_open(&group->holder, names, at_ms(500));
	for (ms = 1000; ms <= 9000; ms += 1000) {
		group_renew(group, 'a', at_ms(ms), at_ms(ms));
		group_renew(group, 'b', at_ms(ms), at_ms(ms));
		g_assert_cmpint(witness_holder_until(&group->holder, first), ==,
				at_ms(ms + 3000));
	}
	g_assert_cmpuint(group->holder.opening.term.number, ==, 0);
	g_free(group);
}

static const struct {
	const char *name;
	const char *ended; /* witnesses that report the end */
	bool accepted;
} end_cases[] = {
	{ "none", "", false },	      { "one", "b", false },
	{ "one-twice", "bb", false }, { "two", "ac", true },
	{ "three", "abc", true },
};

static void test_end_quorum(void)
{
	witness_ends_t *ends = g_new0(witness_ends_t, 1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(end_cases); i++) {
		witness_term_t term = { .owner = "o", .number = i + 1 };
		witness_end_t *end;
		const char *witness;

		for (witness = "abc"; *witness; witness++) {
			term.members[witness - "abc"].name[0] = *witness;
			term.members[witness - "abc"].boot = BOOT;
		}
		end = witness_ends_get(ends, &term, at_ms(0));
		for (witness = end_cases[i].ended; *witness; witness++) {
			char name[2] = { *witness, '\0' };

			witness_ends_on_response(ends, name, "o", i + 1,
						 BOOT + 1);
			g_assert_false(witness_end_complete(end) &&
				       *witness == 'a');
			witness_ends_on_response(ends, name, "o", i + 1, BOOT);
		}
		g_assert_true(witness_end_complete(end) ==
			      end_cases[i].accepted);
	}
	g_free(ends);
}

static const struct {
	const char *text;
	int rc;
} text_cases[] = {
	{ "o/1/a/2/b/3/c/4", 0 },
	{ "", -1 },
	{ "none", -1 },
	{ "o/0/a/2/b/3/c/4", -1 },
	{ "o/1/a/2/b/3", -1 },
	{ "o/1/a/2/b/3/c/4/", -1 },
	{ "o/1/a/2/b/3/c/4/d/5", -1 },
	{ "o/1/A/2/b/3/c/4", -1 },
	{ "o/1/a/2/b/3/c/zero", -1 },
	{ "//////", -1 },
};

static void test_term_text(void)
{
	char out[WITNESS_TEXT_MAX];
	witness_term_t term;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(text_cases); i++) {
		g_assert_cmpint(witness_term_parse(text_cases[i].text, &term),
				==, text_cases[i].rc);
		if (text_cases[i].rc)
			continue;
		witness_term_print(&term, out);
		g_assert_cmpstr(out, ==, text_cases[i].text);
	}
}

/* With more owners than records, a record whose grant is in force stays. */
static void test_records_full(void)
{
	witness_grantor_t *grantor = g_new0(witness_grantor_t, 1);
	uint64_t newest_term;
	bool granted;
	unsigned i;

	grantor->boot = BOOT;
	for (i = 0; i <= WITNESS_RECORDS_MAX; i++) {
		char name[HL_NAME_MAX];

		g_snprintf(name, sizeof(name), "o%u", i);
		granted = witness_grantor_renew(grantor, name, 1, 0,
						&newest_term, at_ms(0));
		g_assert_true(granted == (i < WITNESS_RECORDS_MAX));
	}
	granted = witness_grantor_renew(grantor, "p", 1, 0, &newest_term,
					at_ms(3000));
	g_assert_true(granted);
	g_free(grantor);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/witness/", cases[i].name, NULL);

		g_test_add_data_func(path, cases[i].steps, test_case);
		g_free(path);
	}
	g_test_add_func("/witness/open-replaces-term", test_open_replaces_term);
	g_test_add_func("/witness/open-without-witness",
			test_open_without_witness);
	g_test_add_func("/witness/end-quorum", test_end_quorum);
	g_test_add_func("/witness/term-text", test_term_text);
	g_test_add_func("/witness/records-full", test_records_full);
	return g_test_run();
}
