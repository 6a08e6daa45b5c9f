#include <glib.h>
#include <string.h>
#include "owner-table.h"

/*
 * Scripted runs of one lease: each line is an event at a time in milliseconds
 * and what the entry "me" may send after it. The lease lasts 3000 ms.
 */

#define SPAN (3 * USEC_PER_SEC)
#define CEILING 3
#define STEPS_MAX 10
#define LAST_EPOCH UINT64_MAX /* echo the epoch of our last answer */

typedef enum { END, ANNOUNCE, RELEASE, RELEASED, NOTHING } event_t;

typedef struct {
	event_t event;
	int at;
	const char *who; /* echoed owner, or the sender */
	uint64_t epoch;
	unsigned outstanding;
	unsigned limit; /* expected */
	bool good;	/* expected of RELEASE and RELEASED */
} step_t;

static const struct {
	const char *name;
	step_t steps[STEPS_MAX];
} runs[] = {
	{ "new",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 3, 0 },
	    { NOTHING, 2999, "", 0, 0, 3, 0 },
	    { NOTHING, 3000, "", 0, 0, 0, 0 } } },
	/* The lease runs from the answer, not from the late echo. */
	{ "freeze",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 5000, "me", LAST_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 5050, "me", LAST_EPOCH, 0, 3, 0 } } },
	{ "answer-lost",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 1000, "me", OWNER_EPOCHS_PER_CLAIM + 1, 0, 3, 0 },
	    { NOTHING, 3000, "", 0, 0, 0, 0 } } },
	{ "former-dead",
	  { { ANNOUNCE, 0, "you", 7, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 1000, "me", LAST_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 2000, "me", LAST_EPOCH, 0, 0, 0 },
	    { NOTHING, 3000, "", 0, 0, 3, 0 } } },
	{ "former-releases",
	  { { ANNOUNCE, 0, "you", 7, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 0, 0 },
	    { RELEASED, 60, "you", LAST_EPOCH, 2, 1, true },
	    { RELEASED, 70, "you", LAST_EPOCH, 1, 2, true },
	    { RELEASED, 75, "you", LAST_EPOCH, 2, 2, true },
	    { RELEASED, 80, "you", LAST_EPOCH, 0, 3, true } } },
	{ "released-for-another-claim",
	  { { ANNOUNCE, 0, "you", 7, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 0, 0 },
	    { RELEASED, 60, "you", 8, 0, 0, false },
	    { RELEASED, 70, "she", LAST_EPOCH, 0, 0, false } } },
	{ "late-release",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 3, 0 },
	    { RELEASE, 60, "you", OWNER_EPOCHS_PER_CLAIM - 5, 0, 3, false },
	    { RELEASE, 70, "you", 2 * OWNER_EPOCHS_PER_CLAIM + 1, 0, 0,
	      true } } },
	/* Back from another entry, without a proof of when. */
	{ "back-by-redirect",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 900, "me", OWNER_EPOCH_REDIRECT | 5, 0, 0, 0 },
	    { ANNOUNCE, 950, "me", LAST_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 2900, "me", LAST_EPOCH, 0, 0, 0 },
	    { NOTHING, 3900, "", 0, 0, 3, 0 } } },
	{ "restarted-copy",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "me", LAST_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 500, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 550, "me", LAST_EPOCH, 0, 3, 0 } } },
};

static void run_step(owner_lease_t *lease, const step_t *step,
		     uint64_t sequence)
{
	usec_t now = SPAN + step->at * USEC_PER_MS;
	uint64_t epoch = step->epoch == LAST_EPOCH ? lease->epoch : step->epoch;
	owner_announcement_t announcement = { .sequence = sequence,
					      .epoch = epoch };

	switch (step->event) {
	case ANNOUNCE:
		g_strlcpy(announcement.owner, step->who, HL_NAME_MAX);
		owner_lease_accept(lease, &announcement, "me", SPAN, now);
		break;
	case RELEASE:
		g_assert_true(owner_lease_release(lease, epoch) == step->good);
		break;
	case RELEASED:
		g_assert_true(owner_lease_on_released(lease, step->who, epoch,
						      step->outstanding,
						      now) == step->good);
		break;
	default:
		break;
	}
	g_assert_cmpuint(owner_lease_limit(lease, CEILING, SPAN, now), ==,
			 step->limit);
}

static void test_run(gconstpointer data)
{
	const step_t *step = data;
	owner_lease_t lease = { 0 };
	uint64_t sequence = 0;

	for (; step->event != END; step++)
		run_step(&lease, step, ++sequence);
}

/* Two entries of one service, with their datagrams in a list. */
typedef struct {
	owner_t *owner;
	unsigned index;
	unsigned limit;
	unsigned outstanding;
} entry_t;

static entry_t pair[2];
static GQueue *mail;

static unsigned pair_send(void *context, const char *address,
			  const peer_body_t *body)
{
	entry_t *entry = context;
	char *bytes = g_malloc(MEMBER_DATAGRAM_MAX);
	peer_message_t message = { .group = "g",
				   .from = entry->index ? "e1" : "e0",
				   .body = *body };
	XDR xdrs;

	(void)address;
	xdrmem_create(&xdrs, bytes, MEMBER_DATAGRAM_MAX, XDR_ENCODE);
	g_assert_true(xdr_peer_message_t(&xdrs, &message));
	g_queue_push_tail(mail, bytes);
	return xdr_getpos(&xdrs);
}

static void pair_deliver(usec_t now)
{
	char *bytes;

	while ((bytes = g_queue_pop_head(mail))) {
		peer_message_t message = { 0 };
		XDR xdrs;

		xdrmem_create(&xdrs, bytes, MEMBER_DATAGRAM_MAX, XDR_DECODE);
		g_assert_true(xdr_peer_message_t(&xdrs, &message));
		owner_net_receive(
			pair[!strcmp(message.from, "e0") ? 1 : 0].owner,
			&message, now);
		xdr_free((xdrproc_t)xdr_peer_message_t, &message);
		g_free(bytes);
	}
}

static void pair_limit(void *context, const owner_copy_t *copy, unsigned limit,
		       usec_t until)
{
	entry_t *entry = context;

	(void)copy;
	(void)until;
	entry->limit = limit;
}

static unsigned pair_outstanding(void *context, const char *service,
				 const char *copy)
{
	const entry_t *entry = context;

	(void)service;
	(void)copy;
	return entry->outstanding;
}

static void pair_start(void)
{
	owner_member_t members[2] = { { .name = "e0", .zone = "z" },
				      { .name = "e1", .zone = "z" } };
	unsigned i;

	mail = g_queue_new();
	for (i = 0; i < 2; i++) {
		owner_options_t options = { .self = members[i] };

		memset(&pair[i], 0, sizeof(pair[i]));
		pair[i].index = i;
		options.events.context = &pair[i];
		options.events.limit = pair_limit;
		options.events.outstanding = pair_outstanding;
		pair[i].owner = owner_new(&options, NULL);
		pair[i].owner->send = pair_send;
		pair[i].owner->send_context = &pair[i];
		owner_set_members(pair[i].owner, members, 2);
	}
}

static void pair_stop(void)
{
	owner_free(pair[0].owner);
	owner_free(pair[1].owner);
	g_queue_free_full(mail, g_free);
}

static int pair_announce(unsigned to, owner_announcement_t *announcement,
			 usec_t now, owner_announced_t *out)
{
	hl_error_t err = { 0 };

	if (owner_announce(pair[to].owner, announcement, now, out, &err))
		return (int)err.kind;
	announcement->sequence++;
	memcpy(announcement->owner, out->owner, HL_NAME_MAX);
	announcement->epoch = out->epoch;
	pair_deliver(now);
	return 0;
}

static void pair_expect(unsigned to, owner_announcement_t *announcement,
			usec_t now, owner_announced_t *out, int expected)
{
	int kind = pair_announce(to, announcement, now, out);

	g_assert_cmpint(kind, ==, expected);
}

static unsigned pair_settle(owner_announcement_t *announcement, usec_t now)
{
	owner_announced_t out;
	unsigned at = 0;
	unsigned i;

	for (i = 0; i < 4; i++) {
		pair_expect(at, announcement, now + i * USEC_PER_MS, &out, 0);
		at = out.owner[1] == '1';
	}
	return at;
}

/* The owner leaves: the other has full credits long before a lease ends, but
   for the calls that are still outstanding at the first. */
static void test_hand_over(void)
{
	owner_announcement_t announcement = { .copy = { .service = "s",
							.name = "c",
							.slots = 2,
							.connections = 9 },
					      .sequence = 1 };
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announced_t out;
	unsigned from;
	unsigned to;

	pair_start();
	from = pair_settle(&announcement, now);
	to = !from;
	g_assert_cmpuint(pair[from].limit, ==, 3);
	pair[from].outstanding = 1;
	owner_leave(pair[from].owner);
	owner_set_members(pair[to].owner, &pair[to].owner->options.self, 1);
	now += 100 * USEC_PER_MS;
	pair_expect(from, &announcement, now, &out, 0);
	g_assert_cmpuint(pair[from].limit, ==, 3);
	pair_expect(to, &announcement, now + 1000, &out, 0);
	pair_expect(to, &announcement, now + 2000, &out, 0);
	owner_tick(pair[to].owner, now + 3000);
	pair_deliver(now + 4000);
	g_assert_cmpuint(pair[from].limit, ==, 0);
	g_assert_cmpuint(pair[to].limit, ==, 2);
	pair[from].outstanding = 0;
	owner_tick(pair[to].owner, now + 60000);
	pair_deliver(now + 61000);
	g_assert_cmpuint(pair[to].limit, ==, 3);
	pair_stop();
}

/* Asked for a copy that it has yet to get itself, an entry does not say that
   it is free. */
static void test_chain(void)
{
	owner_announcement_t announcement = { .copy = { .service = "s",
							.name = "c",
							.slots = 2,
							.connections = 9 },
					      .sequence = 1,
					      .owner = "dead",
					      .epoch = 5 };
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announced_t out;
	unsigned first;
	unsigned second;

	pair_start();
	first = pair_settle(&announcement, now);
	second = !first;
	g_assert_cmpuint(pair[first].limit, ==, 0);
	owner_leave(pair[first].owner);
	owner_set_members(pair[second].owner, &pair[second].owner->options.self,
			  1);
	pair_announce(first, &announcement, now + 100000, &out);
	pair_announce(second, &announcement, now + 110000, &out);
	pair_announce(second, &announcement, now + 120000, &out);
	owner_tick(pair[second].owner, now + 130000);
	pair_deliver(now + 130000);
	g_assert_cmpuint(pair[second].limit, ==, 0);
	g_assert_false(
		owner_may_send(pair[second].owner, "s", "c", now + 140000));
	pair_stop();
}

static const struct {
	const char *witness; /* that the copy echoes of its former owner e1 */
	usec_t age;	     /* of the process that is e1 now */
	unsigned limit;
} restarted[] = {
	{ "", 10 * USEC_PER_MS, 0 },
	{ "e2/1/a/1/b/1/c/1", 10 * USEC_PER_MS, 0 },
	{ "e1/1/a/1/b/1/c/1", 10 * USEC_PER_MS, 3 },
	{ "", SPAN, 3 },
};

/* The former owner has restarted and knows nothing of the copy. Its answer
   counts if it had nobody to wait for, or if nobody could be left. */
static void test_restarted(void)
{
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announced_t out;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(restarted); i++) {
		owner_announcement_t announcement = {
			.copy = { .service = "s",
				  .name = "c",
				  .slots = 2,
				  .connections = 9 },
			.sequence = 1,
			.owner = "e1",
			.epoch = 5
		};

		pair_start();
		g_strlcpy(announcement.witness, restarted[i].witness,
			  WITNESS_TEXT_MAX);
		owner_set_members(pair[0].owner, &pair[0].owner->options.self,
				  1);
		pair[1].owner->options.boot = 1;
		pair[1].owner->options.started = now - restarted[i].age;
		pair_expect(0, &announcement, now, &out, 0);
		pair_expect(0, &announcement, now + 1000, &out, 0);
		owner_tick(pair[0].owner, now + 2000);
		pair_deliver(now + 3000);
		g_assert_cmpuint(pair[0].limit, ==, restarted[i].limit);
		pair_stop();
	}
}

/* Twice and out of order: the draining copy stays so. */
static void test_sequence(void)
{
	owner_announcement_t announcement = { .copy = { .service = "s",
							.name = "c",
							.slots = 2,
							.connections = 9 },
					      .sequence = 1 };
	owner_announcement_t before;
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announced_t out;
	unsigned at;

	pair_start();
	at = pair_settle(&announcement, now);
	before = announcement;
	announcement.sequence += 2;
	announcement.copy.state = OWNER_COPY_DRAINING;
	pair[at].outstanding = 1;
	pair_expect(at, &announcement, now + 10000, &out, 0);
	g_assert_cmpuint(pair[at].limit, ==, 0);
	g_assert_false(out.empty);
	pair_expect(at, &before, now + 20000, &out, HL_ERR_CONFLICT);
	pair_expect(!at, &before, now + 21000, &out, 0);
	owner_tick(pair[at].owner, now + 30000);
	g_assert_cmpuint(pair[at].limit, ==, 0);
	pair[at].outstanding = 0;
	pair_expect(at, &announcement, now + 40000, &out, 0);
	g_assert_true(out.empty);
	pair_stop();
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(runs); i++) {
		char *path = g_strconcat("/owner/lease/", runs[i].name, NULL);

		g_test_add_data_func(path, runs[i].steps, test_run);
		g_free(path);
	}
	g_test_add_func("/owner/hand-over", test_hand_over);
	g_test_add_func("/owner/chain", test_chain);
	g_test_add_func("/owner/restarted", test_restarted);
	g_test_add_func("/owner/sequence", test_sequence);
	return g_test_run();
}
