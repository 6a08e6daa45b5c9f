#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "member-net.h"
#include "owner-table.h"

/*
 * Guards against two entries that may send to one copy at the same time,
 * against more calls at a copy than its credits, and against copies that stay
 * without an owner.
 *
 * Simulates entries with membership and leases in one process, on a virtual
 * clock. Datagrams and announcements are lost, duplicated, delayed and
 * reordered; entries are frozen, killed and cut off. All random choices derive
 * from the seed.
 */

#define NODES 6
#define COPIES 12
#define DATAGRAMS_MAX 1024
#define STEP (5 * USEC_PER_MS)
#define SLOTS 2
/* Credits above the slots that the profile allows. An entry uses only one of
 * them. */
#define PIPELINE 4
#define CREDITS_MAX (SLOTS + 1)
#define ANNOUNCE_TIMEOUT (400 * USEC_PER_MS)
#define RECOVERY_TIME (25 * USEC_PER_SEC)
/* A lease duration so long that a failover in time depends on witnesses. */
#define LONG_LEASE (60 * USEC_PER_SEC)
/* Time to detect a death: a round of probes of all others, one timeout of a
   probe, the suspicion, and the gossip. */
#define DETECTION_TIME (NODES * 500 * USEC_PER_MS + 2 * USEC_PER_SEC)

typedef struct sim sim_t;

typedef struct {
	sim_t *sim;
	unsigned index;
	bool up;
	usec_t frozen_until;
	member_swim_t swim;
	owner_t *owner;
	uint64_t version;
	usec_t next_tick;
	unsigned limit[COPIES];
	usec_t until[COPIES];
	unsigned outstanding[COPIES];
} node_t;

typedef struct {
	usec_t deliver_at;
	unsigned from, to;
	unsigned length; /* 0: unused element */
	char bytes[MEMBER_DATAGRAM_MAX];
} datagram_t;

/* An announcement in flight to an entry, or in its receive buffer. */
typedef struct {
	bool used;
	usec_t deliver_at;
	unsigned node;
	unsigned copy;
	uint64_t sequence;
	owner_announcement_t announcement;
} request_t;

typedef struct {
	char name[HL_NAME_MAX];
	char service[HL_NAME_MAX];
	uint64_t sequence;
	char owner[HL_NAME_MAX];
	uint64_t epoch;
	char witness[WITNESS_TEXT_MAX];
	int next_node; /* node of the next announcement; -1: a random one */
	usec_t next_at;
	bool waiting;
	usec_t timeout_at;
	bool draining;
	bool empty;
} copy_t;

struct sim {
	GRand *random;
	usec_t now;
	node_t nodes[NODES];
	copy_t copies[COPIES];
	datagram_t *datagrams;
	unsigned datagram_count; /* datagrams from this index on are unused */
	request_t requests[COPIES * 16];
	bool cut[NODES][NODES]; /* datagrams are dropped, [from][to] */
	double loss, duplication;
	usec_t lease;	       /* lease duration; 0: the default */
	unsigned overlaps;     /* times two entries could send to one copy */
	unsigned excess_calls; /* times a copy exceeded CREDITS_MAX calls */
	unsigned faults;       /* number of kills and freezes */
	unsigned drained_copy_sends;
	usec_t drain_started_at;
};

static bool sim_is_running(const sim_t *sim, const node_t *node)
{
	return node->up && sim->now >= node->frozen_until;
}

static unsigned sim_copy_index(sim_t *sim, const char *name)
{
	unsigned i;

	for (i = 0; i < COPIES; i++)
		if (!strcmp(sim->copies[i].name, name))
			return i;
	g_assert_not_reached();
}

static void sim_send(sim_t *sim, unsigned from, const char *address,
		     const char *bytes, unsigned length)
{
	unsigned to = (unsigned)atoi(strchr(address, ':') + 1) - 1;
	unsigned times = 1;
	unsigned i;

	if (sim->cut[from][to] || g_rand_double(sim->random) < sim->loss)
		return;
	times += g_rand_double(sim->random) < sim->duplication;
	for (i = 0; i < DATAGRAMS_MAX && times; i++) {
		datagram_t *datagram = &sim->datagrams[i];

		if (datagram->length)
			continue;
		datagram->from = from;
		datagram->to = to;
		datagram->length = length;
		datagram->deliver_at = sim->now + g_rand_int_range(sim->random,
								   500, 30000);
		memcpy(datagram->bytes, bytes, length);
		sim->datagram_count = MAX(sim->datagram_count, i + 1);
		times--;
	}
}

static void node_on_swim_send(void *context, const char *address,
			      const peer_message_t *message)
{
	node_t *node = context;
	char bytes[MEMBER_DATAGRAM_MAX];
	unsigned length = member_net_encode(message, bytes);

	g_assert_cmpuint(length, >, 0);
	sim_send(node->sim, node->index, address, bytes, length);
}

static unsigned node_on_owner_send(void *context, const char *address,
				   const peer_body_t *body)
{
	node_t *node = context;
	peer_message_t message = { 0 };

	message.group = "sim";
	message.from = node->swim.self->info.entry.name;
	message.incarnation = node->swim.self->incarnation;
	message.body = *body;
	node_on_swim_send(context, address, &message);
	return 1;
}

static void node_on_limit(void *context, const owner_copy_t *copy,
			  unsigned limit, usec_t until)
{
	node_t *node = context;
	unsigned i = sim_copy_index(node->sim, copy->name);

	node->limit[i] = limit;
	node->until[i] = until;
}

static unsigned node_on_outstanding(void *context, const char *service,
				    const char *copy)
{
	node_t *node = context;

	(void)service;
	return node->outstanding[sim_copy_index(node->sim, copy)];
}

static unsigned node_on_pipeline(void *context, const char *service)
{
	(void)context;
	(void)service;
	return PIPELINE;
}

static void node_start(sim_t *sim, unsigned index)
{
	node_t *node = &sim->nodes[index];
	member_swim_options_t swim = { .probe_period = 500 * USEC_PER_MS,
				       .probe_timeout = 160 * USEC_PER_MS,
				       .suspicion = 1500 * USEC_PER_MS,
				       .sync_period = 5 * USEC_PER_SEC,
				       .group = "sim",
				       .send = node_on_swim_send,
				       .context = node };
	owner_options_t options = { 0 };
	unsigned i;

	memset(node, 0, sizeof(*node));
	node->sim = sim;
	node->index = index;
	node->up = true;
	g_snprintf(options.self.name, HL_NAME_MAX, "n%u", index);
	g_snprintf(options.self.zone, HL_NAME_MAX, "z%u", index % 3);
	g_snprintf(options.self.peer_address, HL_ADDRESS_MAX, "10.0.0.1:%u",
		   index + 1);
	memcpy(options.self.control_address, options.self.peer_address,
	       HL_ADDRESS_MAX);
	for (i = 0; i < 2; i++)
		g_snprintf(swim.seeds.items[swim.seeds.count++], HL_ADDRESS_MAX,
			   "10.0.0.1:%u", i + 1);
	g_assert_cmpint(member_swim_init(&node->swim, &swim, &options.self,
					 (uint64_t)sim->now / 1000,
					 g_rand_int(sim->random), sim->now),
			==, 0);
	options.lease = sim->lease;
	options.boot = (uint64_t)sim->now;
	options.started = sim->now;
	options.callbacks.context = node;
	options.callbacks.limit = node_on_limit;
	options.callbacks.outstanding = node_on_outstanding;
	options.callbacks.pipeline = node_on_pipeline;
	node->owner = owner_new(&options, NULL);
	node->owner->send = node_on_owner_send;
	node->owner->send_context = node;
}

static void node_kill(node_t *node)
{
	member_swim_fini(&node->swim);
	owner_free(node->owner);
	memset(node->limit, 0, sizeof(node->limit));
	memset(node->outstanding, 0, sizeof(node->outstanding));
	node->up = false;
}

/* Passes the live members to the owner module, as its thread does. */
static void node_update_members(node_t *node)
{
	owner_member_t live[NODES];
	unsigned count = 0;
	unsigned i;

	if (node->version == node->swim.version)
		return;
	node->version = node->swim.version;
	for (i = 0; i < node->swim.count; i++)
		if (member_swim_live(node->swim.nodes[i]))
			live[count++] = node->swim.nodes[i]->info.entry;
	owner_set_members(node->owner, live, count);
}

static void sim_deliver(sim_t *sim, datagram_t *datagram)
{
	node_t *node = &sim->nodes[datagram->to];
	peer_message_t message;
	char source[HL_ADDRESS_MAX];

	if (!sim_is_running(sim, node)) {
		if (!node->up)
			datagram->length = 0;
		return;
	}
	g_snprintf(source, sizeof(source), "10.0.0.1:%u", datagram->from + 1);
	g_assert_cmpint(member_net_decode(datagram->bytes, datagram->length,
					  &message),
			==, 0);
	datagram->length = 0;
	member_swim_receive(&node->swim, &message, source, sim->now);
	node_update_members(node);
	owner_net_receive(node->owner, &message, sim->now);
	xdr_free((xdrproc_t)xdr_peer_message_t, &message);
}

static void copy_announce(sim_t *sim, unsigned i)
{
	copy_t *copy = &sim->copies[i];
	unsigned times = 1 + (g_rand_double(sim->random) < sim->duplication);
	unsigned j;

	copy->waiting = true;
	copy->timeout_at = sim->now + ANNOUNCE_TIMEOUT;
	copy->sequence++;
	if (copy->next_node < 0)
		copy->next_node = g_rand_int_range(sim->random, 0, NODES);
	for (j = 0; j < G_N_ELEMENTS(sim->requests) && times; j++) {
		request_t *request = &sim->requests[j];
		owner_announcement_t *announcement = &request->announcement;

		if (request->used)
			continue;
		memset(request, 0, sizeof(*request));
		request->used = true;
		/* The duplicate may arrive much later. */
		request->deliver_at = sim->now +
				      g_rand_int_range(sim->random, 200,
						       times-- > 1 ? 2000000 :
								     3000);
		request->node = (unsigned)copy->next_node;
		request->copy = i;
		request->sequence = copy->sequence;
		announcement->sequence = copy->sequence;
		announcement->epoch = copy->epoch;
		memcpy(announcement->witness, copy->witness, WITNESS_TEXT_MAX);
		memcpy(announcement->owner, copy->owner, HL_NAME_MAX);
		memcpy(announcement->copy.name, copy->name, HL_NAME_MAX);
		memcpy(announcement->copy.service, copy->service, HL_NAME_MAX);
		announcement->copy.slots = SLOTS;
		announcement->copy.connections = 100;
		announcement->copy.state = copy->draining ?
						   OWNER_COPY_DRAINING :
						   OWNER_COPY_READY;
	}
}

static void copy_announce_failed(sim_t *sim, copy_t *copy)
{
	copy->waiting = false;
	copy->next_node = -1;
	copy->next_at = sim->now + 100 * USEC_PER_MS;
}

static void copy_announce_answered(sim_t *sim, const request_t *request,
				   const owner_announce_response_t *out)
{
	copy_t *copy = &sim->copies[request->copy];

	if (!copy->waiting || copy->sequence != request->sequence ||
	    g_rand_double(sim->random) < sim->loss)
		return;
	copy->waiting = false;
	memcpy(copy->owner, out->owner, HL_NAME_MAX);
	copy->epoch = out->epoch;
	memcpy(copy->witness, out->witness, WITNESS_TEXT_MAX);
	copy->empty = out->empty;
	copy->next_node = atoi(strchr(out->owner_address, ':') + 1) - 1;
	copy->next_at = sim->now + out->interval_ms * USEC_PER_MS;
}

static void sim_process_request(sim_t *sim, request_t *request)
{
	node_t *node = &sim->nodes[request->node];
	copy_t *copy = &sim->copies[request->copy];
	owner_announce_response_t out;

	if (!node->up) {
		request->used = false;
		if (copy->waiting && copy->sequence == request->sequence)
			copy_announce_failed(sim, copy);
		return;
	}
	if (!sim_is_running(sim, node))
		return;
	request->used = false;
	if (!owner_announce(node->owner, &request->announcement, sim->now, &out,
			    NULL))
		copy_announce_answered(sim, request, &out);
}

/* Starts calls where a lease allows it, and ends some. */
static void node_run_calls(sim_t *sim, node_t *node)
{
	unsigned i;

	for (i = 0; i < COPIES; i++) {
		bool may_send = node->limit[i] && sim->now < node->until[i];

		if (may_send && sim->drain_started_at &&
		    sim->copies[i].draining &&
		    sim->now > sim->drain_started_at + 3 * USEC_PER_SEC)
			sim->drained_copy_sends++;
		if (may_send &&
		    node->outstanding[i] < MIN(node->limit[i], CREDITS_MAX) &&
		    g_rand_double(sim->random) < 0.5)
			node->outstanding[i]++;
		else if (node->outstanding[i] &&
			 g_rand_double(sim->random) < 0.1)
			node->outstanding[i]--;
	}
}

/* Counts violations of the two invariants: one holder of the lease of a copy,
   and at most CREDITS_MAX calls. Frozen entries are included. */
static void sim_check_invariants(sim_t *sim)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < COPIES; i++) {
		unsigned holders = 0;
		unsigned calls = 0;

		for (j = 0; j < NODES; j++) {
			const node_t *node = &sim->nodes[j];

			holders += node->limit[i] && sim->now < node->until[i];
			calls += node->outstanding[i];
		}
		sim->overlaps += holders > 1;
		sim->excess_calls += calls > CREDITS_MAX;
	}
}

static void sim_step(sim_t *sim)
{
	unsigned i;

	sim->now += STEP;
	for (i = 0; i < sim->datagram_count; i++)
		if (sim->datagrams[i].length &&
		    sim->datagrams[i].deliver_at <= sim->now)
			sim_deliver(sim, &sim->datagrams[i]);
	while (sim->datagram_count &&
	       !sim->datagrams[sim->datagram_count - 1].length)
		sim->datagram_count--;
	for (i = 0; i < G_N_ELEMENTS(sim->requests); i++)
		if (sim->requests[i].used &&
		    sim->requests[i].deliver_at <= sim->now)
			sim_process_request(sim, &sim->requests[i]);
	for (i = 0; i < COPIES; i++) {
		copy_t *copy = &sim->copies[i];

		if (copy->waiting && sim->now >= copy->timeout_at)
			copy_announce_failed(sim, copy);
		else if (!copy->waiting && sim->now >= copy->next_at)
			copy_announce(sim, i);
	}
	for (i = 0; i < NODES; i++) {
		node_t *node = &sim->nodes[i];

		if (!sim_is_running(sim, node))
			continue;
		node_run_calls(sim, node);
		if (sim->now < node->next_tick)
			continue;
		node->next_tick = sim->now + 20 * USEC_PER_MS;
		member_swim_tick(&node->swim, sim->now);
		node_update_members(node);
		owner_tick(node->owner, sim->now);
	}
	sim_check_invariants(sim);
}

static void sim_run(sim_t *sim, usec_t span)
{
	usec_t end = sim->now + span;

	while (sim->now < end)
		sim_step(sim);
}

static sim_t *sim_new(guint32 seed, double loss, double duplication,
		      usec_t lease)
{
	sim_t *sim = g_new0(sim_t, 1);
	unsigned i;

	sim->random = g_rand_new_with_seed(seed);
	sim->datagrams = g_new0(datagram_t, DATAGRAMS_MAX);
	sim->now = 1000 * USEC_PER_SEC;
	sim->loss = loss;
	sim->duplication = duplication;
	sim->lease = lease;
	for (i = 0; i < NODES; i++)
		node_start(sim, i);
	for (i = 0; i < COPIES; i++) {
		copy_t *copy = &sim->copies[i];

		g_snprintf(copy->name, HL_NAME_MAX, "c%u", i);
		g_strlcpy(copy->service, i % 2 ? "ledger" : "bay-desk",
			  HL_NAME_MAX);
		copy->next_node = -1;
		copy->next_at = sim->now + i * 10 * USEC_PER_MS;
	}
	return sim;
}

static void sim_free(sim_t *sim)
{
	unsigned i;

	for (i = 0; i < NODES; i++)
		if (sim->nodes[i].up)
			node_kill(&sim->nodes[i]);
	g_rand_free(sim->random);
	g_free(sim->datagrams);
	g_free(sim);
}

/* Each term has one witness in each of the three zones. */
static void sim_assert_zones(const sim_t *sim)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < NODES; i++) {
		const witness_term_t *term =
			&sim->nodes[i].owner->witness_holder.current.term;
		unsigned zones = 0;

		for (j = 0; j < WITNESS_COUNT; j++)
			zones |= 1U << (term->members[j].name[1] - '0') % 3;
		g_assert_cmpuint(zones, ==, 7);
	}
}

/* All entries are live in all views, each copy has one owner, and the owners
   have similar numbers of copies. */
static void sim_assert_converged(sim_t *sim)
{
	unsigned held[2][NODES] = { { 0 } };
	unsigned i;
	unsigned j;

	for (i = 0; i < NODES; i++) {
		unsigned live = 0;

		for (j = 0; j < sim->nodes[i].swim.count; j++)
			live += member_swim_live(sim->nodes[i].swim.nodes[j]);
		g_assert_cmpuint(live, ==, NODES);
	}
	for (i = 0; i < COPIES; i++) {
		unsigned holders = 0;

		for (j = 0; j < NODES; j++) {
			const node_t *node = &sim->nodes[j];
			bool may_send = node->limit[i] == SLOTS + PIPELINE &&
					sim->now < node->until[i];

			holders += may_send;
			held[i % 2][j] += may_send;
		}
		g_assert_cmpuint(holders, ==, 1);
	}
	for (i = 0; i < 2; i++)
		for (j = 0; j < NODES; j++)
			g_assert_cmpuint(held[i][j], <=, 3);
}

typedef struct {
	const char *name;
	double loss, duplication;
	void (*fault)(sim_t *sim, unsigned round);
	unsigned rounds;
	bool no_excess; /* no owner dies, so no excess call is allowed */
	usec_t lease;
} fault_row_t;

static unsigned sim_pick_node(sim_t *sim)
{
	return (unsigned)g_rand_int_range(sim->random, 0, NODES);
}

static void fault_none(sim_t *sim, unsigned round)
{
	(void)sim;
	(void)round;
}

static void fault_freeze(sim_t *sim, unsigned round)
{
	node_t *node = &sim->nodes[sim_pick_node(sim)];

	(void)round;
	node->frozen_until = sim->now +
			     g_rand_int_range(sim->random, 500000, 6000000);
}

static void fault_kill(sim_t *sim, unsigned round)
{
	unsigned index = sim_pick_node(sim);

	(void)round;
	node_kill(&sim->nodes[index]);
	sim_run(sim, g_rand_int_range(sim->random, 100000, 6000000));
	node_start(sim, index);
}

static void fault_one_way(sim_t *sim, unsigned round)
{
	unsigned from = sim_pick_node(sim);
	unsigned i;

	(void)round;
	for (i = 0; i < NODES; i++)
		sim->cut[from][i] = g_rand_boolean(sim->random);
	sim_run(sim, 4 * USEC_PER_SEC);
	memset(sim->cut, 0, sizeof(sim->cut));
}

static void fault_partition(sim_t *sim, unsigned round)
{
	unsigned side[NODES];
	unsigned i;
	unsigned j;

	(void)round;
	for (i = 0; i < NODES; i++)
		side[i] = g_rand_boolean(sim->random);
	for (i = 0; i < NODES; i++)
		for (j = 0; j < NODES; j++)
			sim->cut[i][j] = side[i] != side[j];
	sim_run(sim, 8 * USEC_PER_SEC);
	memset(sim->cut, 0, sizeof(sim->cut));
}

static void fault_flap(sim_t *sim, unsigned round)
{
	node_t *node = &sim->nodes[round % NODES];
	unsigned i;

	for (i = 0; i < 4; i++) {
		node->frozen_until = sim->now + 1200 * USEC_PER_MS;
		sim_run(sim, 1500 * USEC_PER_MS);
	}
}

/* Runs until an entry has just renewed its terms. */
static void sim_run_until_renewal(sim_t *sim, const node_t *node)
{
	usec_t sent;

	do {
		sent = node->owner->witness_holder.next_renewal;
		sim_run(sim, STEP);
	} while (sent == node->owner->witness_holder.next_renewal);
}

/* An entry freezes while responses to its renewals are in flight; it reads them
   from its receive buffer when it resumes. */
static void fault_buffered_grants(sim_t *sim, unsigned round)
{
	node_t *node = &sim->nodes[round % NODES];

	sim_run_until_renewal(sim, node);
	node->frozen_until = sim->now +
			     g_rand_int_range(sim->random, 4000000, 7000000);
	sim_run(sim, 7 * USEC_PER_SEC);
}

/* One witness receives no renewals for a lease duration before the entry
   freezes: that this witness ends the term must not suffice. */
static void fault_witness_cut_off(sim_t *sim, unsigned round)
{
	unsigned index = round % NODES;
	const witness_term_t *term =
		&sim->nodes[index].owner->witness_holder.current.term;
	unsigned witness = (unsigned)(term->members[0].name[1] - '0');

	if (!term->number)
		return;
	sim->cut[index][witness] = true;
	sim_run(sim, WITNESS_LEASE_DURATION);
	fault_buffered_grants(sim, round);
	sim->cut[index][witness] = false;
}

/* An entry freezes, and two witnesses of its term restart before its death is
   detected. */
static void fault_witness_restart(sim_t *sim, unsigned round)
{
	node_t *node = &sim->nodes[round % NODES];
	const witness_term_t *term = &node->owner->witness_holder.current.term;
	unsigned i;

	sim_run_until_renewal(sim, node);
	sim_run(sim, 100 * USEC_PER_MS);
	node->frozen_until = sim->now +
			     g_rand_int_range(sim->random, 4000000, 7000000);
	sim_run(sim, g_rand_int_range(sim->random, 200000, 2000000));
	for (i = 0; i < 2 && term->number; i++) {
		unsigned index = (unsigned)(term->members[i].name[1] - '0');

		node_kill(&sim->nodes[index]);
		node_start(sim, index);
	}
	sim_run(sim, 7 * USEC_PER_SEC);
}

static void fault_all(sim_t *sim, unsigned round)
{
	void (*const faults[])(sim_t *, unsigned) = { fault_freeze, fault_kill,
						      fault_one_way,
						      fault_partition,
						      fault_flap };

	fault_freeze(sim, round);
	faults[g_rand_int_range(sim->random, 0, G_N_ELEMENTS(faults))](sim,
								       round);
}

static const fault_row_t fault_rows[] = {
	{ "no-faults", 0, 0, fault_none, 4, true, 0 },
	{ "loss", 0.05, 0.05, fault_none, 6, false, 0 },
	{ "freeze", 0.01, 0.05, fault_freeze, 8, false, 0 },
	{ "kill", 0.01, 0.05, fault_kill, 6, false, 0 },
	{ "one-way", 0.01, 0.05, fault_one_way, 6, false, 0 },
	{ "partition", 0.01, 0.05, fault_partition, 5, false, 0 },
	{ "flap", 0.01, 0.05, fault_flap, 5, false, 0 },
	{ "all", 0.05, 0.1, fault_all, 8, false, 0 },
	{ "freeze", 0.01, 0.05, fault_freeze, 8, false, LONG_LEASE },
	{ "kill", 0.01, 0.05, fault_kill, 6, false, LONG_LEASE },
	{ "buffered", 0, 0, fault_buffered_grants, 12, false, LONG_LEASE },
	{ "witness-cut-off", 0, 0, fault_witness_cut_off, 24, false,
	  LONG_LEASE },
	{ "witness-restart", 0, 0, fault_witness_restart, 60, false,
	  LONG_LEASE },
	{ "all", 0.05, 0.1, fault_all, 8, false, LONG_LEASE },
};

/* Number of copies to which no entry may send. */
static unsigned sim_unowned_copies(const sim_t *sim)
{
	unsigned unowned = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < COPIES; i++) {
		unsigned holders = 0;

		for (j = 0; j < NODES; j++)
			holders += sim->nodes[j].limit[i] &&
				   sim->now < sim->nodes[j].until[i];
		unowned += !holders;
	}
	return unowned;
}

static void test_faults(gconstpointer data)
{
	const fault_row_t *row = data;
	guint32 seed;

	for (seed = 1; seed <= 5; seed++) {
		sim_t *sim = sim_new(seed, row->loss, row->duplication,
				     row->lease);
		unsigned i;

		sim_run(sim, 6 * USEC_PER_SEC);
		for (i = 0; i < row->rounds; i++) {
			row->fault(sim, i);
			sim_run(sim, 3 * USEC_PER_SEC);
		}
		sim->loss = 0;
		sim->duplication = 0;
		sim_run(sim, RECOVERY_TIME + 2 * row->lease);
		g_test_message("seed %u overlaps %u excess %u", seed,
			       sim->overlaps, sim->excess_calls);
		g_assert_cmpuint(sim->overlaps, ==, 0);
		if (row->no_excess)
			g_assert_cmpuint(sim->excess_calls, ==, 0);
		sim_assert_converged(sim);
		sim_assert_zones(sim);
		sim_free(sim);
	}
}

/* The copies of a lost owner have a new owner two seconds after its death is
   detected, however long their lease is. The first lease duration is skipped,
   as a copy may have no owner for that long when all entries start at once. */
static void test_failover(gconstpointer data)
{
	const fault_row_t *row = data;
	guint32 seed;

	for (seed = 1; seed <= 10; seed++) {
		sim_t *sim = sim_new(seed, row->loss, row->duplication,
				     LONG_LEASE);
		node_t *node = &sim->nodes[seed % NODES];

		sim_run(sim, LONG_LEASE + 8 * USEC_PER_SEC);
		g_assert_cmpuint(sim_unowned_copies(sim), ==, 0);
		if (row->fault == fault_kill)
			node_kill(node);
		else
			node->frozen_until = sim->now + LONG_LEASE;
		sim_run(sim, DETECTION_TIME + 2 * USEC_PER_SEC);
		g_assert_cmpuint(sim_unowned_copies(sim), ==, 0);
		sim_run(sim, LONG_LEASE + 2 * USEC_PER_SEC);
		g_assert_cmpuint(sim->overlaps, ==, 0);
		sim_free(sim);
	}
}

static const fault_row_t failover_rows[] = {
	{ "kill", 0.01, 0.05, fault_kill, 0, false, LONG_LEASE },
	{ "freeze", 0.01, 0.05, fault_freeze, 0, false, LONG_LEASE },
};

/* The owner of a draining copy is killed: no other entry sends calls to the
   copy, and a response reports that it is empty. */
static void test_drain(void)
{
	guint32 seed;

	for (seed = 1; seed <= 10; seed++) {
		sim_t *sim = sim_new(seed, 0.02, 0.2, 0);
		copy_t *copy = &sim->copies[0];

		sim_run(sim, 8 * USEC_PER_SEC);
		copy->draining = true;
		sim->drain_started_at = sim->now;
		sim_run(sim, g_rand_int_range(sim->random, 0, 1500000));
		if (copy->owner[0] && sim->nodes[copy->owner[1] - '0'].up)
			node_kill(&sim->nodes[copy->owner[1] - '0']);
		sim_run(sim, 20 * USEC_PER_SEC);
		g_assert_cmpuint(sim->drained_copy_sends, ==, 0);
		g_assert_cmpuint(sim->overlaps, ==, 0);
		g_assert_true(copy->empty);
		sim_free(sim);
	}
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	log_set_level(LOG_LEVEL_ERROR);
	for (i = 0; i < G_N_ELEMENTS(fault_rows); i++) {
		char *path = g_strconcat(fault_rows[i].lease ? "/owner/long/" :
							       "/owner/sim/",
					 fault_rows[i].name, NULL);

		g_test_add_data_func(path, &fault_rows[i], test_faults);
		g_free(path);
	}
	for (i = 0; i < G_N_ELEMENTS(failover_rows); i++) {
		char *path = g_strconcat("/owner/failover/",
					 failover_rows[i].name, NULL);

		g_test_add_data_func(path, &failover_rows[i], test_failover);
		g_free(path);
	}
	g_test_add_func("/owner/sim/drain", test_drain);
	return g_test_run();
}
