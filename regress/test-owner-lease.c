#include <glib.h>
#include <string.h>
#include "owner-table.h"

/*
 * Guards against two entries sending to one copy at the same time: after a lost
 * or buffered response, a redirect, a restart of the copy or of an entry, or a
 * release that is older than the current claim.
 *
 * Each step of a lease case is an event at a time in milliseconds, with the
 * limit that the entry "self" has for the copy after it. The lease lasts
 * 3000 ms.
 */

#define LEASE_DURATION (3 * USEC_PER_SEC)
#define CEILING 3
#define STEPS_MAX 10
/* In a step: the copy echoes the epoch in the last response of "self". */
#define LAST_ANSWERED_EPOCH UINT64_MAX

typedef enum { END, ANNOUNCE, RELEASE, RELEASED, NOTHING } event_t;

typedef struct {
	event_t event;
	int at_ms;
	const char *peer; /* echoed owner, or sender of the message */
	uint64_t epoch;
	unsigned outstanding;
	unsigned limit; /* expected limit of calls */
	bool accepted;	/* expected result of RELEASE and RELEASED */
} step_t;

static const struct {
	const char *name;
	step_t steps[STEPS_MAX];
} lease_cases[] = {
	{ "new",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 },
	    { NOTHING, 2999, "", 0, 0, 3, 0 },
	    { NOTHING, 3000, "", 0, 0, 0, 0 } } },
	/* The lease starts at the response, not at a late echo. */
	{ "freeze",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 5000, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 5050, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 } } },
	{ "answer-lost",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 1000, "self", OWNER_EPOCHS_PER_CLAIM + 1, 0, 3, 0 },
	    { NOTHING, 3000, "", 0, 0, 0, 0 } } },
	{ "former-dead",
	  { { ANNOUNCE, 0, "other", 7, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 1000, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 2000, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { NOTHING, 3000, "", 0, 0, 3, 0 } } },
	{ "former-releases",
	  { { ANNOUNCE, 0, "other", 7, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { RELEASED, 60, "other", LAST_ANSWERED_EPOCH, 2, 1, true },
	    { RELEASED, 70, "other", LAST_ANSWERED_EPOCH, 1, 2, true },
	    { RELEASED, 75, "other", LAST_ANSWERED_EPOCH, 2, 2, true },
	    { RELEASED, 80, "other", LAST_ANSWERED_EPOCH, 0, 3, true } } },
	{ "released-for-another-claim",
	  { { ANNOUNCE, 0, "other", 7, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { RELEASED, 60, "other", 8, 0, 0, false },
	    { RELEASED, 70, "third", LAST_ANSWERED_EPOCH, 0, 0, false } } },
	{ "late-release",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 },
	    { RELEASE, 60, "other", OWNER_EPOCHS_PER_CLAIM - 5, 0, 3, false },
	    { RELEASE, 70, "other", 2 * OWNER_EPOCHS_PER_CLAIM + 1, 0, 0,
	      true } } },
	/* Redirected back by another entry: the echo does not prove when this
	   entry sent its last response. */
	{ "back-by-redirect",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 900, "self", OWNER_EPOCH_REDIRECT | 5, 0, 0, 0 },
	    { ANNOUNCE, 950, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { ANNOUNCE, 2900, "self", LAST_ANSWERED_EPOCH, 0, 0, 0 },
	    { NOTHING, 3900, "", 0, 0, 3, 0 } } },
	{ "restarted-copy",
	  { { ANNOUNCE, 0, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 50, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 },
	    { ANNOUNCE, 500, "", 0, 0, 0, 0 },
	    { ANNOUNCE, 550, "self", LAST_ANSWERED_EPOCH, 0, 3, 0 } } },
};

static void run_step(owner_lease_t *lease, const step_t *step,
		     uint64_t sequence)
{
	usec_t now = LEASE_DURATION + step->at_ms * USEC_PER_MS;
	uint64_t epoch = step->epoch == LAST_ANSWERED_EPOCH ? lease->epoch :
							      step->epoch;
	owner_announcement_t announcement = { .sequence = sequence,
					      .epoch = epoch };

	switch (step->event) {
	case ANNOUNCE:
		g_strlcpy(announcement.owner, step->peer, HL_NAME_MAX);
		owner_lease_accept(lease, &announcement, "self", LEASE_DURATION,
				   now);
		break;
	case RELEASE:
		g_assert_true(owner_lease_release(lease, epoch) ==
			      step->accepted);
		break;
	case RELEASED:
		g_assert_true(owner_lease_on_released(lease, step->peer, epoch,
						      step->outstanding,
						      now) == step->accepted);
		break;
	default:
		break;
	}
	g_assert_cmpuint(owner_lease_limit(lease, CEILING, LEASE_DURATION, now),
			 ==, step->limit);
}

static void test_lease_case(gconstpointer data)
{
	const step_t *step = data;
	owner_lease_t lease = { 0 };
	uint64_t sequence = 0;

	for (; step->event != END; step++)
		run_step(&lease, step, ++sequence);
}

/* Two entries of one service; their datagrams are queued in a list. */
typedef struct {
	owner_t *owner;
	unsigned index;
	unsigned limit;	      /* limit of calls at the copy */
	unsigned outstanding; /* calls of this entry at the copy */
} node_t;

static node_t nodes[2];
static GQueue *datagrams;

static unsigned nodes_on_send(void *context, const char *address,
			      const peer_body_t *body)
{
	node_t *node = context;
	char *bytes = g_malloc(MEMBER_DATAGRAM_MAX);
	peer_message_t message = { .group = "g",
				   .from = node->index ? "e1" : "e0",
				   .body = *body };
	XDR xdrs;

	(void)address;
	xdrmem_create(&xdrs, bytes, MEMBER_DATAGRAM_MAX, XDR_ENCODE);
	g_assert_true(xdr_peer_message_t(&xdrs, &message));
	g_queue_push_tail(datagrams, bytes);
	return xdr_getpos(&xdrs);
}

static void nodes_deliver(usec_t now)
{
	char *bytes;

	while ((bytes = g_queue_pop_head(datagrams))) {
		peer_message_t message = { 0 };
		XDR xdrs;

		xdrmem_create(&xdrs, bytes, MEMBER_DATAGRAM_MAX, XDR_DECODE);
		g_assert_true(xdr_peer_message_t(&xdrs, &message));
		owner_net_receive(
			nodes[!strcmp(message.from, "e0") ? 1 : 0].owner,
			&message, now);
		xdr_free((xdrproc_t)xdr_peer_message_t, &message);
		g_free(bytes);
	}
}

static void nodes_on_limit(void *context, const owner_copy_t *copy,
			   unsigned limit, usec_t until)
{
	node_t *node = context;

	(void)copy;
	(void)until;
	node->limit = limit;
}

static unsigned nodes_on_outstanding(void *context, const char *service,
				     const char *copy)
{
	const node_t *node = context;

	(void)service;
	(void)copy;
	return node->outstanding;
}

static void nodes_start(void)
{
	owner_member_t members[2] = { { .name = "e0", .zone = "z" },
				      { .name = "e1", .zone = "z" } };
	unsigned i;

	datagrams = g_queue_new();
	for (i = 0; i < 2; i++) {
		owner_options_t options = { .self = members[i] };

		memset(&nodes[i], 0, sizeof(nodes[i]));
		nodes[i].index = i;
		options.callbacks.context = &nodes[i];
		options.callbacks.limit = nodes_on_limit;
		options.callbacks.outstanding = nodes_on_outstanding;
		nodes[i].owner = owner_new(&options, NULL);
		nodes[i].owner->send = nodes_on_send;
		nodes[i].owner->send_context = &nodes[i];
		owner_set_members(nodes[i].owner, members, 2);
	}
}

static void nodes_stop(void)
{
	owner_free(nodes[0].owner);
	owner_free(nodes[1].owner);
	g_queue_free_full(datagrams, g_free);
}

static int nodes_announce(unsigned to, owner_announcement_t *announcement,
			  usec_t now, owner_announce_response_t *out)
{
	hl_error_t err = { 0 };

	if (owner_announce(nodes[to].owner, announcement, now, out, &err))
		return (int)err.kind;
	announcement->sequence++;
	memcpy(announcement->owner, out->owner, HL_NAME_MAX);
	announcement->epoch = out->epoch;
	nodes_deliver(now);
	return 0;
}

static void nodes_announce_expect(unsigned to,
				  owner_announcement_t *announcement,
				  usec_t now, owner_announce_response_t *out,
				  int expected)
{
	int kind = nodes_announce(to, announcement, now, out);

	g_assert_cmpint(kind, ==, expected);
}

/* Announces four times, each time to the owner in the last response, and
   returns the index of that owner. */
static unsigned nodes_announce_repeatedly(owner_announcement_t *announcement,
					  usec_t now)
{
	owner_announce_response_t out;
	unsigned current = 0;
	unsigned i;

	for (i = 0; i < 4; i++) {
		nodes_announce_expect(current, announcement,
				      now + i * USEC_PER_MS, &out, 0);
		current = out.owner[1] == '1';
	}
	return current;
}

/* When the owner leaves, the other entry gets all credits well before the lease
   expires, less the calls that are still outstanding at the first. */
static void test_owner_leaves(void)
{
	owner_announcement_t announcement = { .copy = { .service = "s",
							.name = "c",
							.slots = 2,
							.connections = 9 },
					      .sequence = 1 };
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announce_response_t out;
	unsigned from;
	unsigned to;

	nodes_start();
	from = nodes_announce_repeatedly(&announcement, now);
	to = !from;
	g_assert_cmpuint(nodes[from].limit, ==, 3);
	nodes[from].outstanding = 1;
	owner_leave(nodes[from].owner);
	owner_set_members(nodes[to].owner, &nodes[to].owner->options.self, 1);
	now += 100 * USEC_PER_MS;
	nodes_announce_expect(from, &announcement, now, &out, 0);
	g_assert_cmpuint(nodes[from].limit, ==, 3);
	nodes_announce_expect(to, &announcement, now + 1000, &out, 0);
	nodes_announce_expect(to, &announcement, now + 2000, &out, 0);
	owner_tick(nodes[to].owner, now + 3000);
	nodes_deliver(now + 4000);
	g_assert_cmpuint(nodes[from].limit, ==, 0);
	g_assert_cmpuint(nodes[to].limit, ==, 2);
	nodes[from].outstanding = 0;
	owner_tick(nodes[to].owner, now + 60000);
	nodes_deliver(now + 61000);
	g_assert_cmpuint(nodes[to].limit, ==, 3);
	nodes_stop();
}

/* An entry whose own claim of a copy is pending must not answer a request to
   release the copy: the owner before it may still send. */
static void test_release_while_claiming(void)
{
	owner_announcement_t announcement = { .copy = { .service = "s",
							.name = "c",
							.slots = 2,
							.connections = 9 },
					      .sequence = 1,
					      .owner = "dead",
					      .epoch = 5 };
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announce_response_t out;
	unsigned first;
	unsigned second;

	nodes_start();
	first = nodes_announce_repeatedly(&announcement, now);
	second = !first;
	g_assert_cmpuint(nodes[first].limit, ==, 0);
	owner_leave(nodes[first].owner);
	owner_set_members(nodes[second].owner,
			  &nodes[second].owner->options.self, 1);
	nodes_announce(first, &announcement, now + 100000, &out);
	nodes_announce(second, &announcement, now + 110000, &out);
	nodes_announce(second, &announcement, now + 120000, &out);
	owner_tick(nodes[second].owner, now + 130000);
	nodes_deliver(now + 130000);
	g_assert_cmpuint(nodes[second].limit, ==, 0);
	g_assert_false(
		owner_may_send(nodes[second].owner, "s", "c", now + 140000));
	nodes_stop();
}

static const struct {
	const char *witness; /* witness term of e1 that the copy echoes */
	usec_t age;	     /* age of the current process of e1 */
	unsigned limit;	     /* expected limit of calls at e0 */
} restart_cases[] = {
	{ "", 10 * USEC_PER_MS, 0 },
	{ "e2/1/a/1/b/1/c/1", 10 * USEC_PER_MS, 0 },
	{ "e1/1/a/1/b/1/c/1", 10 * USEC_PER_MS, 3 },
	{ "", LEASE_DURATION, 3 },
};

/* The former owner restarted and has no record of the copy. Its response to the
   claim counts only if its earlier process had no pending claim (the copy
   echoes its own term), or if an owner before that must have expired. */
static void test_former_restarted(void)
{
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announce_response_t out;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(restart_cases); i++) {
		owner_announcement_t announcement = {
			.copy = { .service = "s",
				  .name = "c",
				  .slots = 2,
				  .connections = 9 },
			.sequence = 1,
			.owner = "e1",
			.epoch = 5
		};

		nodes_start();
		g_strlcpy(announcement.witness, restart_cases[i].witness,
			  WITNESS_TEXT_MAX);
		owner_set_members(nodes[0].owner, &nodes[0].owner->options.self,
				  1);
		nodes[1].owner->options.boot = 1;
		nodes[1].owner->options.started = now - restart_cases[i].age;
		nodes_announce_expect(0, &announcement, now, &out, 0);
		nodes_announce_expect(0, &announcement, now + 1000, &out, 0);
		owner_tick(nodes[0].owner, now + 2000);
		nodes_deliver(now + 3000);
		g_assert_cmpuint(nodes[0].limit, ==, restart_cases[i].limit);
		nodes_stop();
	}
}

/* An announcement that is repeated or arrives out of order must not return a
   draining copy to service. */
static void test_old_sequence(void)
{
	owner_announcement_t announcement = { .copy = { .service = "s",
							.name = "c",
							.slots = 2,
							.connections = 9 },
					      .sequence = 1 };
	owner_announcement_t old_announcement;
	usec_t now = 1000 * USEC_PER_SEC;
	owner_announce_response_t out;
	unsigned current;

	nodes_start();
	current = nodes_announce_repeatedly(&announcement, now);
	old_announcement = announcement;
	announcement.sequence += 2;
	announcement.copy.state = OWNER_COPY_DRAINING;
	nodes[current].outstanding = 1;
	nodes_announce_expect(current, &announcement, now + 10000, &out, 0);
	g_assert_cmpuint(nodes[current].limit, ==, 0);
	g_assert_false(out.empty);
	nodes_announce_expect(current, &old_announcement, now + 20000, &out,
			      HL_ERR_CONFLICT);
	nodes_announce_expect(!current, &old_announcement, now + 21000, &out,
			      0);
	owner_tick(nodes[current].owner, now + 30000);
	g_assert_cmpuint(nodes[current].limit, ==, 0);
	nodes[current].outstanding = 0;
	nodes_announce_expect(current, &announcement, now + 40000, &out, 0);
	g_assert_true(out.empty);
	nodes_stop();
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(lease_cases); i++) {
		char *path = g_strconcat("/owner/lease/", lease_cases[i].name,
					 NULL);

		g_test_add_data_func(path, lease_cases[i].steps,
				     test_lease_case);
		g_free(path);
	}
	g_test_add_func("/owner/leave", test_owner_leaves);
	g_test_add_func("/owner/release-while-claiming",
			test_release_while_claiming);
	g_test_add_func("/owner/former-restarted", test_former_restarted);
	g_test_add_func("/owner/old-sequence", test_old_sequence);
	return g_test_run();
}
