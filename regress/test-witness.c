#include <glib.h>
#include <string.h>
#include "witness.h"

/*
 * Scripted runs of the three roles: the owner "o" and its witnesses a, b and
 * c, each renewal and answer at a time in milliseconds. A lease is 3000 ms.
 */

#define STEPS_MAX 16
#define BOOT 100 /* of the witnesses' first life */
#define GAP (20 * USEC_PER_SEC)

typedef enum {
	END,
	RENEW,	/* the owner renews at witness `who`, which answers at once */
	LATE,	/* as RENEW, answered at `late` */
	ENDS,	/* `who` is asked to end the term in use */
	RESTART /* `who` loses its memory */
} event_t;

typedef struct {
	event_t event;
	int at;
	char who;
	bool good; /* expected of RENEW, LATE and ENDS */
	int held;  /* the owner's term is held until then; 0: not at all */
	int late;
} step_t;

static const struct {
	const char *name;
	step_t steps[STEPS_MAX];
} runs[] = {
	{ "one-is-no-majority",
	  { { RENEW, 4000, 'a', true, 3000, 0 },
	    { RENEW, 4500, 'b', true, 7000, 0 } } },
	{ "second-youngest-counts",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { RENEW, 2000, 'b', true, 4000, 0 },
	    { RENEW, 2500, 'c', true, 5000, 0 } } },
	{ "runs-from-the-sending",
	  { { LATE, 1000, 'a', true, 3000, 2900 },
	    { LATE, 1000, 'b', true, 4000, 2900 } } },
	{ "ended-after-the-last-grant",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { ENDS, 2000, 'a', false, 3000, 0 },
	    { RENEW, 2500, 'a', false, 3000, 0 },
	    { ENDS, 3999, 'a', false, 3000, 0 },
	    { ENDS, 4000, 'a', true, 3000, 0 },
	    { RENEW, 9000, 'a', false, 3000, 0 } } },
	{ "a-restarted-witness",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { RESTART, 1500, 'a', true, 3000, 0 },
	    { ENDS, 1600, 'a', false, 3000, 0 },
	    { RENEW, 2000, 'a', false, 3000, 0 },
	    { ENDS, 4499, 'a', false, 3000, 0 },
	    { ENDS, 4500, 'a', true, 3000, 0 } } },
	{ "an-end-outlives-no-restart-but-counts",
	  { { RENEW, 1000, 'a', true, 3000, 0 },
	    { ENDS, 4000, 'a', true, 3000, 0 },
	    { RESTART, 4100, 'a', true, 3000, 0 },
	    { RENEW, 8000, 'a', false, 3000, 0 } } },
};

typedef struct {
	witness_holder_t own;
	witness_grantor_t keeps[WITNESS_COUNT];
} group_t;

static usec_t at_ms(int ms)
{
	return 1000 * USEC_PER_SEC + ms * USEC_PER_MS;
}

/* Renew the terms at one witness; true if one was granted. */
static bool group_renew(group_t *group, char who, usec_t sent, usec_t answered)
{
	witness_renewal_t renewals[WITNESS_RENEWALS_MAX];
	witness_grantor_t *keep = &group->keeps[who - 'a'];
	unsigned count;
	unsigned i;
	bool any = false;

	group->own.next_renewal = sent;
	count = witness_holder_renewals(&group->own, renewals, sent);
	for (i = 0; i < count; i++) {
		witness_response_t grant = { .from = renewals[i].to,
					     .term = renewals[i].term,
					     .boot = keep->boot,
					     .sent_at = renewals[i].sent_at };

		if (renewals[i].to[0] != who)
			continue;
		grant.granted = witness_grantor_renew(keep, "o",
						      renewals[i].term,
						      renewals[i].boot,
						      &grant.newest_term,
						      answered);
		any = any || grant.granted;
		witness_holder_on_response(&group->own, &grant, answered);
	}
	return any;
}

/* A term in use since 0 ms. */
static void group_start(group_t *group)
{
	const char *names[WITNESS_COUNT] = { "a", "b", "c" };
	usec_t now = at_ms(0);
	bool granted;
	unsigned i;

	memset(group, 0, sizeof(*group));
	witness_holder_init(&group->own, "o", BOOT, GAP);
	g_assert_true(witness_holder_should_open(&group->own, false, now));
	witness_holder_open(&group->own, names, now);
	for (i = 0; i < WITNESS_COUNT; i++) {
		group->keeps[i].boot = BOOT + i;
		g_assert_null(witness_holder_term(&group->own, now));
		granted = group_renew(group, names[i][0], now, now);
		g_assert_true(granted);
	}
	group->own.next_renewal = USEC_NEVER;
	witness_holder_renewals(&group->own, NULL, now);
	g_assert_nonnull(witness_holder_term(&group->own, now));
}

static bool run_event(group_t *group, const step_t *step)
{
	const witness_term_t *term = &group->own.current.term;
	unsigned index = (unsigned)(step->who - 'a');
	witness_grantor_t *keep = &group->keeps[index];
	usec_t now = at_ms(step->at);

	switch (step->event) {
	case RENEW:
		return group_renew(group, step->who, now, now);
	case LATE:
		return group_renew(group, step->who, now, at_ms(step->late));
	case ENDS:
		return witness_grantor_end(keep, "o", term->number,
					   term->members[index].boot, now);
	default:
		memset(keep, 0, sizeof(*keep));
		keep->boot = BOOT + WITNESS_COUNT;
		keep->started = now;
		return true;
	}
}

static void test_run(gconstpointer data)
{
	const step_t *step = data;
	group_t *group = g_new(group_t, 1);

	group_start(group);
	for (; step->event != END; step++) {
		bool good = run_event(group, step);

		g_assert_true(good == step->good);
		g_assert_cmpint(
			witness_holder_until(&group->own,
					     group->own.current.term.number),
			==, at_ms(step->held));
	}
	g_free(group);
}

/* A term goes into use only when all witnesses answered; the one before is
   renewed meanwhile. */
static void test_open(void)
{
	const char *names[WITNESS_COUNT] = { "a", "b", "c" };
	group_t *group = g_new(group_t, 1);
	uint64_t first;

	group_start(group);
	first = group->own.current.term.number;
	g_assert_false(
		witness_holder_should_open(&group->own, true, at_ms(2000)));
	g_assert_true(
		witness_holder_should_open(&group->own, false, at_ms(3000)));
	witness_holder_open(&group->own, names, at_ms(3000));
	group_renew(group, 'a', at_ms(3100), at_ms(3100));
	group_renew(group, 'b', at_ms(3200), at_ms(3200));
	g_assert_cmpuint(group->own.current.term.number, ==, first);
	group_renew(group, 'c', at_ms(3300), at_ms(3300));
	group_renew(group, 'c', at_ms(3400), at_ms(3400));
	g_assert_cmpuint(group->own.current.term.number, >, first);
	g_assert_cmpuint(group->own.former.term.number, ==, first);
	g_assert_cmpint(witness_holder_until(&group->own, first), ==,
			at_ms(6200));
	g_free(group);
}

/* A term that cannot be opened, as one witness is dead, takes nothing from the
   one in use. */
static void test_open_fails(void)
{
	const char *names[WITNESS_COUNT] = { "a", "b", "c" };
	group_t *group = g_new(group_t, 1);
	uint64_t first;
	int ms;

	group_start(group);
	first = group->own.current.term.number;
	witness_holder_open(&group->own, names, at_ms(500));
	for (ms = 1000; ms <= 9000; ms += 1000) {
		group_renew(group, 'a', at_ms(ms), at_ms(ms));
		group_renew(group, 'b', at_ms(ms), at_ms(ms));
		g_assert_cmpint(witness_holder_until(&group->own, first), ==,
				at_ms(ms + 3000));
	}
	g_assert_cmpuint(group->own.opening.term.number, ==, 0);
	g_free(group);
}

static const struct {
	const char *name;
	const char *ended; /* witnesses that answer */
	bool good;
} ends[] = {
	{ "none", "", false },	      { "one", "b", false },
	{ "one-twice", "bb", false }, { "two", "ac", true },
	{ "three", "abc", true },
};

static void test_ask(void)
{
	witness_ends_t *asks = g_new0(witness_ends_t, 1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		witness_term_t term = { .owner = "o", .number = i + 1 };
		witness_end_t *ask;
		const char *who;

		for (who = "abc"; *who; who++) {
			term.members[who - "abc"].name[0] = *who;
			term.members[who - "abc"].boot = BOOT;
		}
		ask = witness_ends_get(asks, &term, at_ms(0));
		for (who = ends[i].ended; *who; who++) {
			char name[2] = { *who, '\0' };

			witness_ends_on_response(asks, name, "o", i + 1,
						 BOOT + 1);
			g_assert_false(witness_end_complete(ask) &&
				       *who == 'a');
			witness_ends_on_response(asks, name, "o", i + 1, BOOT);
		}
		g_assert_true(witness_end_complete(ask) == ends[i].good);
	}
	g_free(asks);
}

static const struct {
	const char *text;
	int rc;
} texts[] = {
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

static void test_text(void)
{
	char out[WITNESS_TEXT_MAX];
	witness_term_t term;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_assert_cmpint(witness_term_parse(texts[i].text, &term), ==,
				texts[i].rc);
		if (texts[i].rc)
			continue;
		witness_term_print(&term, out);
		g_assert_cmpstr(out, ==, texts[i].text);
	}
}

/* More owners than fit: none whose grant runs is forgotten. */
static void test_full(void)
{
	witness_grantor_t *keep = g_new0(witness_grantor_t, 1);
	uint64_t known;
	bool granted;
	unsigned i;

	keep->boot = BOOT;
	for (i = 0; i <= WITNESS_RECORDS_MAX; i++) {
		char name[HL_NAME_MAX];

		g_snprintf(name, sizeof(name), "o%u", i);
		granted = witness_grantor_renew(keep, name, 1, 0, &known,
						at_ms(0));
		g_assert_true(granted == (i < WITNESS_RECORDS_MAX));
	}
	granted = witness_grantor_renew(keep, "p", 1, 0, &known, at_ms(3000));
	g_assert_true(granted);
	g_free(keep);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(runs); i++) {
		char *path = g_strconcat("/witness/", runs[i].name, NULL);

		g_test_add_data_func(path, runs[i].steps, test_run);
		g_free(path);
	}
	g_test_add_func("/witness/open", test_open);
	g_test_add_func("/witness/open-fails", test_open_fails);
	g_test_add_func("/witness/ask", test_ask);
	g_test_add_func("/witness/text", test_text);
	g_test_add_func("/witness/full", test_full);
	return g_test_run();
}
