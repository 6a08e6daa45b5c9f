#include <glib.h>
#include <string.h>
#include "member-net.h"

/*
 * The SWIM protocol in a simulated group: datagrams arrive without delay unless
 * the link is cut or they are lost. Each row is a fault and the number of
 * members seen alive during and after it. The test guards against live members
 * that are declared dead because of a short freeze, a cut link or a lost
 * datagram, and against dead or partitioned members that are not detected or do
 * not rejoin.
 */

#define NODES 5
#define STEP (10 * USEC_PER_MS)
#define FOREVER (3600 * USEC_PER_SEC)

typedef struct {
	member_swim_t swim[NODES];
	bool running[NODES];
	bool cut[NODES][NODES];
	GQueue in_flight; /* datagram_t */
	usec_t now;
	/* Smallest number of members that each saw alive since the fault. */
	unsigned min_live[NODES];
	unsigned loss; /* number of datagrams lost per 1000 */
	GRand *random;
} group_t;

typedef struct {
	unsigned from, to, length;
	char bytes[MEMBER_DATAGRAM_MAX];
} datagram_t;

typedef struct {
	group_t *group;
	unsigned index;
} sender_t;

static sender_t senders[NODES];

static void group_send(void *context, const char *address,
		       const peer_message_t *message)
{
	sender_t *sender = context;
	datagram_t *datagram = g_new(datagram_t, 1);

	datagram->from = sender->index;
	datagram->to = (unsigned)(address[strlen(address) - 1] - '0');
	datagram->length = member_net_encode(message, datagram->bytes);
	g_assert_cmpuint(datagram->length, >, 0);
	if (sender->group->cut[datagram->from][datagram->to] ||
	    (unsigned)g_rand_int_range(sender->group->random, 0, 1000) <
		    sender->group->loss)
		g_free(datagram);
	else
		g_queue_push_tail(&sender->group->in_flight, datagram);
}

static void group_deliver(group_t *group)
{
	datagram_t *datagram;

	while ((datagram = g_queue_pop_head(&group->in_flight))) {
		peer_message_t message;
		char source[HL_ADDRESS_MAX];

		g_snprintf(source, sizeof(source), "10.0.0.1:%u",
			   datagram->from);
		g_assert_cmpint(member_net_decode(datagram->bytes,
						  datagram->length, &message),
				==, 0);
		if (group->running[datagram->to])
			member_swim_receive(&group->swim[datagram->to],
					    &message, source, group->now);
		xdr_free((xdrproc_t)xdr_peer_message_t, &message);
		g_free(datagram);
	}
}

static unsigned group_live(const group_t *group, unsigned index)
{
	const member_swim_t *swim = &group->swim[index];
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < swim->count; i++)
		count += member_swim_live(swim->nodes[i]);
	return count;
}

static void group_run(group_t *group, usec_t span)
{
	usec_t end = group->now + span;
	unsigned i;

	for (; group->now < end; group->now += STEP)
		for (i = 0; i < NODES; i++) {
			if (!group->running[i])
				continue;
			/* As in the daemon, a tick is never early. */
			if (group->now >= member_due(&group->swim[i]))
				member_swim_tick(&group->swim[i], group->now);
			group_deliver(group);
			group->min_live[i] = MIN(group->min_live[i],
						 group_live(group, i));
		}
}

static void group_start(group_t *group, usec_t sync_period, unsigned loss,
			guint seed)
{
	unsigned i;

	memset(group, 0, sizeof(*group));
	g_queue_init(&group->in_flight);
	group->loss = loss;
	group->random = g_rand_new_with_seed(seed);
	group->now = USEC_PER_SEC;
	for (i = 0; i < NODES; i++) {
		owner_member_t self = { 0 };
		member_swim_options_t options = {
			.probe_period = 500 * USEC_PER_MS,
			.probe_timeout = 150 * USEC_PER_MS,
			.suspicion = 1500 * USEC_PER_MS,
			.sync_period = sync_period,
			.group = "g",
			.send = group_send,
			.context = &senders[i],
		};

		senders[i].group = group;
		senders[i].index = i;
		group->running[i] = true;
		g_snprintf(self.name, HL_NAME_MAX, "n%u", i);
		g_snprintf(self.peer_address, HL_ADDRESS_MAX, "10.0.0.1:%u", i);
		strcpy(self.rpc_address, self.peer_address);
		options.seeds.count = 1;
		strcpy(options.seeds.items[0], "10.0.0.1:0");
		member_swim_init(&group->swim[i], &options, &self, 5, seed,
				 group->now);
	}
	group_run(group, 6 * USEC_PER_SEC);
	group->loss = 0;
	for (i = 0; i < NODES; i++) {
		g_assert_cmpuint(group_live(group, i), ==, NODES);
		group->swim[i].options.seeds.count = 0;
		group->min_live[i] = NODES;
	}
}

static void group_stop(group_t *group)
{
	unsigned i;

	for (i = 0; i < NODES; i++)
		member_swim_fini(&group->swim[i]);
	g_queue_clear_full(&group->in_flight, g_free);
	g_rand_free(group->random);
}

static void fault_none(group_t *group)
{
	group_run(group, 5 * USEC_PER_SEC);
}

static void fault_kill(group_t *group)
{
	group->running[4] = false;
	group_run(group, 6 * USEC_PER_SEC);
}

static void fault_leave(group_t *group)
{
	member_swim_leave(&group->swim[4], group->now);
	group_deliver(group);
	group_run(group, 1500 * USEC_PER_MS);
	group->running[4] = false;
}

static void fault_short_freeze(group_t *group)
{
	unsigned i;

	for (i = 0; i < 5; i++) {
		group->running[4] = false;
		group_run(group, 1200 * USEC_PER_MS);
		group->running[4] = true;
		group_run(group, 1200 * USEC_PER_MS);
	}
}

static void fault_long_freeze(group_t *group)
{
	group->running[4] = false;
	group_run(group, 5 * USEC_PER_SEC);
	group->running[4] = true;
}

/* Datagrams from member 3 to member 4 are lost. */
static void fault_one_link(group_t *group)
{
	group->cut[3][4] = true;
	group_run(group, 10 * USEC_PER_SEC);
	group->cut[3][4] = false;
}

/* Datagrams from member 4 are lost; datagrams to it arrive. */
static void fault_no_sends(group_t *group)
{
	unsigned i;

	for (i = 0; i < NODES; i++)
		group->cut[4][i] = true;
	group_run(group, 60 * USEC_PER_SEC);
	memset(group->cut, 0, sizeof(group->cut));
}

/* Member 0 freezes immediately after it begins to suspect member 4. */
static void fault_freeze_suspecting(group_t *group)
{
	member_node_t *node = member_swim_find(&group->swim[0], "n4");

	member_table_set(&group->swim[0], node, PEER_SUSPECT, node->incarnation,
			 group->now);
	group->running[0] = false;
	group_run(group, 1200 * USEC_PER_MS);
	group->running[0] = true;
}

static void group_partition(group_t *group)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < NODES; i++)
		for (j = 0; j < NODES; j++)
			group->cut[i][j] = (i < 2) != (j < 2);
	group_run(group, 20 * USEC_PER_SEC);
}

static void fault_partition(group_t *group)
{
	group_partition(group);
	memset(group->cut, 0, sizeof(group->cut));
}

/* A partition that lasts until dead members are probed less often. */
static void fault_long_partition(group_t *group)
{
	unsigned i;
	unsigned j;

	group_partition(group);
	for (i = 0; i < NODES; i++)
		for (j = 0; j < group->swim[i].count; j++)
			group->swim[i].nodes[j]->changed_at -=
				MEMBER_SWIM_DEAD_PROBE_AGE;
	fault_partition(group);
}

static const struct {
	const char *name;
	void (*fault)(group_t *group);
	unsigned min_live;   /* smallest number that member 0 saw alive */
	unsigned live_after; /* number that each member sees alive at the end */
	usec_t settle;
	usec_t sync_period;
	unsigned loss; /* datagrams lost per 1000 during the join */
} rows[] = {
	{ "calm", fault_none, 5, 5, 0, FOREVER, 0 },
	{ "join-loss", fault_none, 5, 5, 0, FOREVER, 100 },
	{ "kill", fault_kill, 4, 4, 0, FOREVER, 0 },
	{ "leave", fault_leave, 4, 4, 0, FOREVER, 0 },
	{ "flapping", fault_short_freeze, 5, 5, USEC_PER_SEC, FOREVER, 0 },
	{ "freeze", fault_long_freeze, 4, 5, 2 * USEC_PER_SEC, FOREVER, 0 },
	{ "one-link", fault_one_link, 5, 5, 0, FOREVER, 0 },
	{ "mute", fault_no_sends, 4, 5, 5 * USEC_PER_SEC, FOREVER, 0 },
	{ "freeze-suspecting", fault_freeze_suspecting, 5, 5, 4 * USEC_PER_SEC,
	  FOREVER, 0 },
	{ "partition", fault_partition, 2, 5, 15 * USEC_PER_SEC, FOREVER, 0 },
	{ "partition-sync", fault_partition, 2, 5, 15 * USEC_PER_SEC,
	  5 * USEC_PER_SEC, 0 },
	{ "long-partition", fault_long_partition, 2, 5, 120 * USEC_PER_SEC,
	  5 * USEC_PER_SEC, 0 },
};

static void test_row(gconstpointer data)
{
	const size_t n = GPOINTER_TO_SIZE(data);
	static group_t group;
	guint seed;
	unsigned i;

	for (seed = 1; seed <= 20; seed++) {
		group_start(&group, rows[n].sync_period, rows[n].loss, seed);
		rows[n].fault(&group);
		group_run(&group, rows[n].settle);
		g_assert_cmpuint(group.min_live[0], ==, rows[n].min_live);
		if (rows[n].min_live == NODES)
			g_assert_cmpuint(group.swim[0].counts.declared_dead, ==,
					 0);
		for (i = 0; i < NODES; i++)
			if (group.running[i])
				g_assert_cmpuint(group_live(&group, i), ==,
						 rows[n].live_after);
		group_stop(&group);
	}
}

/* Truncated or corrupt datagrams do not crash the decoder. */
static void test_garbage(void)
{
	GRand *random = g_rand_new_with_seed(1);
	peer_message_t message = { .group = "g", .from = "n1" };
	char bytes[MEMBER_DATAGRAM_MAX];
	char valid[MEMBER_DATAGRAM_MAX];
	peer_message_t out;
	unsigned length;
	unsigned i;

	message.body.kind = PEER_PING;
	message.body.peer_body_t_u.probe.target = "n2";
	message.body.peer_body_t_u.probe.target_address = "";
	length = member_net_encode(&message, valid);
	g_assert_cmpint(member_net_decode(valid, length, &out), ==, 0);
	xdr_free((xdrproc_t)xdr_peer_message_t, &out);
	for (i = 0; i < length; i++)
		g_assert_cmpint(member_net_decode(valid, i, &out), ==, -1);
	for (i = 0; i < 200000; i++) {
		unsigned at = g_rand_int_range(random, 0, length / 4) * 4;

		memcpy(bytes, valid, length);
		bytes[at + 3] = (char)g_rand_int_range(random, 0, 256);
		bytes[at] = g_rand_boolean(random) ? (char)0xff : 0;
		if (!member_net_decode(bytes, length, &out))
			xdr_free((xdrproc_t)xdr_peer_message_t, &out);
	}
	g_rand_free(random);
}

/* The addresses of a member reach the others unchanged. */
static void test_addresses(void)
{
	static group_t group;
	const member_node_t *node;

	group_start(&group, FOREVER, 0, 1);
	node = member_swim_find(&group.swim[1], "n3");
	g_assert_cmpstr(node->info.entry.rpc_address, ==, "10.0.0.1:3");
	g_assert_cmpstr(node->info.entry.peer_address, ==, "10.0.0.1:3");
	group_stop(&group);
}

/* Datagrams from another group or from the receiver itself are ignored. */
static void test_foreign(void)
{
	static group_t group;
	peer_message_t message = { .group = "other", .from = "n9" };

	message.body.kind = PEER_GOSSIP;
	group_start(&group, FOREVER, 0, 1);
	g_assert_cmpint(member_swim_receive(&group.swim[0], &message, "",
					    group.now),
			==, -1);
	message.group = "g";
	message.from = "n0";
	g_assert_cmpint(member_swim_receive(&group.swim[0], &message, "",
					    group.now),
			==, -1);
	group_stop(&group);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	log_set_level(LOG_LEVEL_ERROR);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *path = g_strconcat("/member/swim/", rows[i].name, NULL);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_row);
		g_free(path);
	}
	g_test_add_func("/member/garbage", test_garbage);
	g_test_add_func("/member/foreign", test_foreign);
	g_test_add_func("/member/addresses", test_addresses);
	return g_test_run();
}
