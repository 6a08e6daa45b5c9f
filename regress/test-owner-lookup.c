#include <glib.h>
#include <string.h>
#include "owner-table.h"

/* Guards against lookups with outdated weights at an entry that owns no copy,
   after copies move between owners, and against excessive queries for slots
   while nothing changes. */

#define OWNERS 3
/* Interval between lookups; each query is answered before the next lookup. */
#define LOOKUP_INTERVAL (200 * USEC_PER_MS)
/* Maximum time until the weights follow a change. */
#define FOLLOW_TIME_MAX (1500 * USEC_PER_MS)
/* Time without a change, and the maximum number of queries in it; one per
   second to each owner would be 180. */
#define STABLE_TIME (60 * USEC_PER_SEC)
#define STABLE_QUERIES_MAX 36

typedef struct {
	owner_t *owner;
	owner_member_t members[OWNERS];
	unsigned slots[OWNERS]; /* number of slots of each owner */
	bool queried[OWNERS];
	unsigned count; /* number of queries */
	usec_t now;
} sim_t;

/* The entry is expected to send only queries for slots. */
static unsigned on_send(void *context, const char *address,
			const peer_body_t *body)
{
	sim_t *sim = context;
	unsigned i;

	g_assert_cmpint(body->kind, ==, PEER_SLOTS_REQUEST);
	for (i = 0; i < OWNERS; i++)
		if (!strcmp(address, sim->members[i].peer_address))
			sim->queried[i] = true;
	sim->count++;
	return 1;
}

static void sim_start(sim_t *sim)
{
	owner_options_t options = { .self = { .name = "self", .zone = "z0" } };
	unsigned i;

	memset(sim, 0, sizeof(*sim));
	for (i = 0; i < OWNERS; i++) {
		owner_member_t *member = &sim->members[i];

		g_snprintf(member->name, HL_NAME_MAX, "n%u", i);
		g_snprintf(member->zone, HL_NAME_MAX, "z%u", i);
		g_snprintf(member->call_address, HL_ADDRESS_MAX, "10.0.0.%u:1",
			   i);
		g_snprintf(member->peer_address, HL_ADDRESS_MAX, "10.0.0.%u:2",
			   i);
	}
	sim->owner = owner_new(&options, NULL);
	sim->owner->send = on_send;
	sim->owner->send_context = sim;
	owner_set_members(sim->owner, sim->members, OWNERS);
}

/* Answers the pending queries. */
static void sim_answer_queries(sim_t *sim)
{
	peer_message_t message = { .body.kind = PEER_SLOTS };
	peer_slots_t *slots = &message.body.peer_body_t_u.slots;
	unsigned i;

	slots->service = (char *)"s";
	for (i = 0; i < OWNERS; i++) {
		if (!sim->queried[i])
			continue;
		sim->queried[i] = false;
		message.from = sim->members[i].name;
		slots->slots = sim->slots[i];
		owner_net_receive(sim->owner, &message, sim->now);
	}
}

/* Whether a lookup returns each owner with its slots as the weight. */
static bool sim_weights_match(sim_t *sim)
{
	owner_endpoint_t endpoints[OWNER_MAX];
	unsigned count = owner_lookup(sim->owner, "s", "", endpoints,
				      OWNER_MAX);
	unsigned matches = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < count; i++)
		for (j = 0; j < OWNERS; j++)
			matches += !strcmp(endpoints[i].address,
					   sim->members[j].call_address) &&
				   endpoints[i].weight == sim->slots[j];
	return matches == OWNERS;
}

/* Repeats lookups for a time; returns when the weights were last wrong, 0 for
   never. */
static usec_t sim_run(sim_t *sim, usec_t span)
{
	usec_t end = sim->now + span;
	usec_t mismatch_at = 0;

	for (; sim->now < end; sim->now += LOOKUP_INTERVAL) {
		owner_tick(sim->owner, sim->now);
		if (!sim_weights_match(sim))
			mismatch_at = sim->now;
		sim_answer_queries(sim);
	}
	return mismatch_at;
}

static void sim_set_slots(sim_t *sim, unsigned a, unsigned b, unsigned c)
{
	sim->slots[0] = a;
	sim->slots[1] = b;
	sim->slots[2] = c;
}

/* The slots change for some seconds, as copies announce themselves and move
   between owners. */
static void test_weights_follow_slots(void)
{
	sim_t sim;
	usec_t mismatch_at;

	sim_start(&sim);
	sim.now = USEC_PER_SEC;
	sim_set_slots(&sim, 18, 18, 3);
	sim_run(&sim, USEC_PER_SEC);
	sim_set_slots(&sim, 18, 18, 12);
	sim_run(&sim, USEC_PER_SEC);
	sim_set_slots(&sim, 18, 15, 15);
	mismatch_at = sim_run(&sim, 4 * USEC_PER_SEC);
	g_assert_cmpint(mismatch_at, <, 3 * USEC_PER_SEC + FOLLOW_TIME_MAX);
	sim_set_slots(&sim, 15, 18, 15);
	mismatch_at = sim_run(&sim, 5 * USEC_PER_SEC);
	g_assert_cmpint(mismatch_at, <, 7 * USEC_PER_SEC + FOLLOW_TIME_MAX);
	owner_free(sim.owner);
}

static void test_queries_when_stable(void)
{
	sim_t sim;

	sim_start(&sim);
	sim.now = USEC_PER_SEC;
	sim_set_slots(&sim, 18, 15, 15);
	sim_run(&sim, STABLE_TIME);
	g_assert_cmpuint(sim.count, <=, STABLE_QUERIES_MAX);
	owner_free(sim.owner);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/owner-lookup/start", test_weights_follow_slots);
	g_test_add_func("/owner-lookup/quiet", test_queries_when_stable);
	return g_test_run();
}
