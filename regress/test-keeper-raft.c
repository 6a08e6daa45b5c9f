#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-state.h"
#include "keeper.h"

/*
 * Guards against violations of Raft's safety properties that need rare
 * sequences of events: two leaders in a term, a committed entry that is lost or
 * changes, a lease that outlives its leader, replicas that differ.
 *
 * It simulates replicas in one process. The network reorders, loses, duplicates
 * and partitions; a crash loses what a disk has not saved; disks are replaced
 * and voters are added and removed. All random choices derive from a seed.
 */

#define NODES_MAX 7
#define RUNS 40
#define STEPS_PER_RUN 150000
#define IN_FLIGHT_MAX 256
#define TERMS_MAX 20000
#define INDEX_MAX 60000
#define IDS_MAX 3000
#define HEARTBEAT_INTERVAL (50 * USEC_PER_MS)
#define ELECTION_TIMEOUT (300 * USEC_PER_MS)
#define PARTITION_MAX (3000 * USEC_PER_MS)
#define BOOTSTRAP_RUNS 300
#define BOOTSTRAP_TIME (8 * USEC_PER_SEC)

/* A replica and its disk. */
typedef struct {
	char name[HL_NAME_MAX];
	bool up;
	keeper_raft_t raft;
	config_state_t *state;
	uint64_t applied;
	/* State that survives a crash. */
	uint64_t incarnation;
	keeper_ballot_state_t ballot;
	uint64_t commit;
	bool stays_down; /* true if the replica is not started again */
	bool first_disk; /* it may bootstrap: its disk was never replaced */
	keeper_entries_t entries;
	keeper_snapshot_t snapshot;
} node_t;

/* The first answer to a change. */
typedef struct {
	uint64_t base;
	uint64_t revision; /* 0 while there is no answer */
	config_verdict_t verdict;
} first_answer_t;

/* The entry that was first committed at an index. */
typedef struct {
	uint64_t term, hash;
	uint64_t committed_in; /* term of the leader that committed the entry */
} committed_entry_t;

/* Points in a commit at which a leader is killed. */
typedef enum {
	KILL_NEVER,
	KILL_BEFORE_SYNC,
	KILL_AFTER_SYNC,
	KILL_AFTER_QUORUM,
	KILL_BEFORE_ANSWER,
	KILL_DONE,
} kill_point_t;

/* The simulated replicas and network, and what was committed so far. */
typedef struct {
	GRand *rand;
	usec_t now;
	unsigned founders, count;
	node_t nodes[NODES_MAX];
	bool blocked[NODES_MAX][NODES_MAX]; /* links, by sender, receiver */
	keeper_outgoing_t *in_flight[IN_FLIGHT_MAX];
	unsigned in_flight_count;
	uint64_t incarnations;
	uint64_t commit; /* highest commit index of any replica */
	uint32_t next_id;
	first_answer_t answers[IDS_MAX];
	usec_t partition_end;	    /* time when all links are restored */
	bool auto_membership;	    /* setting of the replicas */
	unsigned fault_tolerance;   /* setting of the replicas */
	bool no_bootstrap;	    /* no replica may create the group */
	bool successors_found;	    /* others name themselves as founders */
	bool no_faults;		    /* inject no faults */
	bool no_random_changes;	    /* submit no random changes */
	bool no_random_loss;	    /* replace no disks at random */
	bool no_operator;	    /* no operator adds or removes voters */
	kill_point_t kill_point;    /* where the next leader is killed */
	unsigned delivery_permille; /* message deliveries per 1000 steps */
	uint64_t replaced, elected;
	committed_entry_t committed[INDEX_MAX];
	uint64_t leaders[TERMS_MAX]; /* incarnation of the leader, by term */
} sim_t;

static unsigned random_below(sim_t *sim, unsigned below)
{
	return (unsigned)g_rand_int_range(sim->rand, 0, (gint32)below);
}

static node_t *sim_find_node(sim_t *sim, const char *name)
{
	return &sim->nodes[name[1] - '0'];
}

static void entries_copy(const keeper_entries_t *from, keeper_entries_t *to)
{
	size_t i;

	keeper_entries_free(to);
	to->base = from->base;
	to->base_term = from->base_term;
	for (i = 0; i < from->count; i++)
		g_assert_true(keeper_entries_push(to, &from->list[i]));
}

static void snapshot_copy(const keeper_snapshot_t *from, keeper_snapshot_t *to)
{
	free(to->state);
	*to = *from;
	if (!from->state)
		return;
	to->state = malloc(from->size + 1);
	memcpy(to->state, from->state, from->size);
}

static void node_load(node_t *node)
{
	const keeper_snapshot_t *snapshot = &node->snapshot;

	config_state_free(node->state);
	node->state = snapshot->size ? config_state_load(snapshot->state,
							 snapshot->size, NULL) :
				       config_state_new();
	g_assert_nonnull(node->state);
	node->applied = snapshot->index;
}

static void node_start(sim_t *sim, node_t *node)
{
	keeper_raft_settings_t settings = {
		.cluster = 7,
		.may_bootstrap = !sim->no_bootstrap &&
				 (node->first_disk || !sim->auto_membership),
		.auto_membership = sim->auto_membership,
		.fault_tolerance = sim->fault_tolerance,
		.incarnation = node->incarnation,
		.heartbeat_interval = HEARTBEAT_INTERVAL,
		.election_timeout = ELECTION_TIMEOUT
	};
	keeper_snapshot_t snapshot = { 0 };
	keeper_entries_t entries = { 0 };
	unsigned first = 0, i;

	strcpy(settings.name, node->name);
	settings.seed = g_rand_int(sim->rand);
	settings.founder_count = sim->founders;
	if (sim->successors_found && node >= &sim->nodes[sim->founders])
		first = (unsigned)(node - sim->nodes) - sim->founders + 1;
	for (i = 0; i < sim->founders; i++)
		strcpy(settings.founders[i], sim->nodes[first + i].name);
	keeper_raft_init(&node->raft, &settings, sim->now);
	snapshot_copy(&node->snapshot, &snapshot);
	entries_copy(&node->entries, &entries);
	g_assert_true(keeper_raft_restore(&node->raft, &node->ballot, &snapshot,
					  &entries));
	keeper_raft_restore_commit(&node->raft, node->commit);
	node_load(node);
	node->up = true;
}

static void node_stop(node_t *node)
{
	if (node->up)
		keeper_raft_free(&node->raft);
	config_state_free(node->state);
	node->state = NULL;
	node->up = false;
}

/* Replace the disk by an empty one with a new incarnation. */
static void node_replace(sim_t *sim, node_t *node)
{
	node_stop(node);
	keeper_entries_free(&node->entries);
	free(node->snapshot.state);
	memset(&node->snapshot, 0, sizeof(node->snapshot));
	memset(&node->ballot, 0, sizeof(node->ballot));
	node->commit = 0;
	node->incarnation = ++sim->incarnations;
	node->first_disk = false;
}

static void node_save(node_t *node)
{
	node->ballot = node->raft.ballot;
	if (node->raft.snapshot_dirty) {
		snapshot_copy(&node->raft.snapshot, &node->snapshot);
		node_load(node);
	}
	entries_copy(&node->raft.entries, &node->entries);
	node->commit = node->raft.commit;
}

/* Apply a change. Every replica must give the same answer for a change id, also
 * if the change is in the log more than once. */
static void node_apply(sim_t *sim, node_t *node, const keeper_entry_t *entry)
{
	config_answer_t answer = { 0 };
	config_change_t change = { 0 };
	first_answer_t *recorded;

	if (entry->kind != KEEPER_ENTRY_CHANGE)
		return;
	g_assert_true(keeper_xdr_decode((xdrproc_t)xdr_config_change_t,
					entry->body.body_val,
					entry->body.body_len, &change));
	g_assert_cmpint(config_state_apply(node->state, entry->index, &change,
					   &answer),
			==, 0);
	recorded = &sim->answers[atoi(change.id)];
	if (!recorded->revision) {
		recorded->revision = answer.revision;
		recorded->verdict = answer.verdict;
	}
	g_assert_cmpuint(recorded->revision, ==, answer.revision);
	g_assert_cmpint(recorded->verdict, ==, answer.verdict);
	xdr_free((xdrproc_t)xdr_config_change_t, &change);
	xdr_free((xdrproc_t)xdr_config_answer_t, &answer);
}

/* All replicas must commit the same entry at an index. */
static void sim_check_commit(sim_t *sim, const keeper_entry_t *entry,
			     uint64_t term)
{
	committed_entry_t *recorded = &sim->committed[entry->index];
	uint64_t hash = hl_hash(entry->body.body_val, entry->body.body_len,
				entry->kind);

	g_assert_cmpuint(entry->index, <, INDEX_MAX);
	if (!recorded->term) {
		recorded->term = entry->term;
		recorded->hash = hash;
		recorded->committed_in = term;
	}
	g_assert_cmpuint(recorded->term, ==, entry->term);
	g_assert_cmpuint(recorded->hash, ==, hash);
	if (entry->index > sim->commit)
		sim->commit = entry->index;
}

static void sim_apply(sim_t *sim, node_t *node)
{
	while (node->applied < node->raft.commit) {
		const keeper_entry_t *entry = keeper_entries_at(
			&node->raft.entries, node->applied + 1);

		g_assert_nonnull(entry);
		sim_check_commit(sim, entry, node->raft.ballot.term);
		node_apply(sim, node, entry);
		node->applied++;
	}
}

/* A term must have one leader, which has all entries that were committed in
 * earlier terms. A leader with a lease must have the highest commit index. */
static void sim_check_leader(sim_t *sim, node_t *node)
{
	uint64_t term = node->raft.ballot.term, i, found;

	if (node->raft.role != KEEPER_LEADER)
		return;
	g_assert_cmpuint(term, <, TERMS_MAX);
	if (sim->leaders[term]) {
		g_assert_cmpuint(sim->leaders[term], ==, node->incarnation);
	} else {
		sim->leaders[term] = node->incarnation;
		sim->elected++;
		for (i = node->raft.entries.base + 1; i <= sim->commit; i++) {
			if (sim->committed[i].committed_in >= term)
				break;
			g_assert_true(keeper_entries_term(&node->raft.entries,
							  i, &found));
			g_assert_cmpuint(found, ==, sim->committed[i].term);
		}
	}
	if (sim->now < keeper_raft_lease_end(&node->raft))
		g_assert_cmpuint(node->raft.commit, >=, sim->commit);
}

static void sim_send(sim_t *sim, keeper_outgoing_t *outgoing)
{
	unsigned slot;

	if (sim->in_flight_count < IN_FLIGHT_MAX) {
		sim->in_flight[sim->in_flight_count++] = outgoing;
		return;
	}
	slot = random_below(sim, IN_FLIGHT_MAX);
	keeper_raft_outgoing_free(sim->in_flight[slot]);
	sim->in_flight[slot] = outgoing;
}

/* Kill the replica if it is a leader at the configured kill point. Only the
 * first such leader of a run is killed. */
static bool sim_kill_leader(sim_t *sim, node_t *node, kill_point_t point)
{
	if (sim->kill_point != point || node->raft.role != KEEPER_LEADER)
		return false;
	sim->kill_point = KILL_DONE;
	node_stop(node);
	return true;
}

/* Save, apply, check and send the messages after a step of a replica. It may
 * crash before the save, or after it and before the messages are sent. */
static void sim_finish_step(sim_t *sim, node_t *node)
{
	keeper_outgoing_t *outgoing, *next;
	bool leads = node->raft.role == KEEPER_LEADER;
	bool crashes = !sim->no_faults &&
		       random_below(sim, leads ? 300 : 3000) == 0;
	bool unsaved, has_committed;

	if (crashes && random_below(sim, 2)) {
		node_stop(node);
		return;
	}
	unsaved = keeper_raft_has_unsaved(&node->raft);
	if (unsaved && sim_kill_leader(sim, node, KILL_BEFORE_SYNC))
		return;
	if (unsaved) {
		node_save(node);
		keeper_raft_mark_saved(&node->raft, sim->now);
	}
	if (unsaved && sim_kill_leader(sim, node, KILL_AFTER_SYNC))
		return;
	has_committed = node->raft.commit > node->applied;
	if (has_committed && sim_kill_leader(sim, node, KILL_AFTER_QUORUM))
		return;
	sim_apply(sim, node);
	sim_check_leader(sim, node);
	if (has_committed && sim_kill_leader(sim, node, KILL_BEFORE_ANSWER))
		return;
	if (crashes) {
		node_stop(node);
		return;
	}
	cds_list_for_each_entry_safe (outgoing, next, &node->raft.out, link) {
		cds_list_del(&outgoing->link);
		CDS_INIT_LIST_HEAD(&outgoing->link);
		sim_send(sim, outgoing);
	}
}

/* Deliver a random message in flight. Some are lost, and some stay in flight to
 * be delivered again. */
static void sim_deliver(sim_t *sim)
{
	unsigned slot = random_below(sim, sim->in_flight_count);
	keeper_outgoing_t *outgoing = sim->in_flight[slot];
	const keeper_message_t *message = &outgoing->message;
	node_t *from = sim_find_node(sim, message->from);
	node_t *to = sim_find_node(sim, message->to);
	bool lost = !sim->no_faults && random_below(sim, 20) == 0;

	sim->in_flight[slot] = sim->in_flight[--sim->in_flight_count];
	if (!lost && to->up &&
	    !sim->blocked[from - sim->nodes][to - sim->nodes]) {
		keeper_raft_step(&to->raft, message, sim->now);
		sim_finish_step(sim, to);
	}
	if (!sim->no_faults && random_below(sim, 20) == 0)
		sim_send(sim, outgoing);
	else
		keeper_raft_outgoing_free(outgoing);
}

/* True if each replica's group has a majority without this disk and those that
 * were replaced before. */
static bool sim_can_replace_disk(sim_t *sim, const node_t *replaced)
{
	unsigned i, j, voters, missing;

	for (i = 0; i < sim->count; i++) {
		const keeper_group_t *group = &sim->nodes[i].raft.group;

		if (!sim->nodes[i].up || !group->count)
			return false;
		voters = missing = 0;
		for (j = 0; j < group->count; j++) {
			const keeper_node_t *node = &group->nodes[j];
			const node_t *disk = sim_find_node(sim, node->name);

			if (!node->voter)
				continue;
			voters++;
			missing += disk == replaced ||
				   disk->incarnation != node->incarnation;
		}
		if (missing > (voters - 1) / 2)
			return false;
	}
	return true;
}

static void node_compact(node_t *node)
{
	keeper_snapshot_t snapshot = { .index = node->applied };

	if (node->applied <= node->raft.entries.base)
		return;
	keeper_entries_term(&node->raft.entries, snapshot.index,
			    &snapshot.term);
	keeper_raft_group_at(&node->raft, snapshot.index, &snapshot.group);
	g_assert_cmpint(config_state_save(node->state, &snapshot.state,
					  &snapshot.size),
			==, 0);
	keeper_raft_compact(&node->raft, &snapshot);
	snapshot_copy(&node->raft.snapshot, &node->snapshot);
	entries_copy(&node->raft.entries, &node->entries);
}

static void sim_submit(sim_t *sim, node_t *node, uint32_t id)
{
	config_item_t item = { .base = sim->answers[id].base };
	config_profile_t *profile = &item.body.config_body_t_u.profile;
	config_class_t class_all = { .name = "all" };
	config_change_t change = { .author = "regress" };
	char number[16], *body;
	size_t size;

	g_snprintf(number, sizeof(number), "%u", id);
	change.id = number;
	change.items.items_val = &item;
	change.items.items_len = 1;
	item.body.kind = CONFIG_PUT_PROFILE;
	config_profile_set_defaults(profile);
	profile->name = "fast";
	profile->classes.classes_val = &class_all;
	profile->classes.classes_len = 1;
	g_assert_true(keeper_xdr_encode((xdrproc_t)xdr_config_change_t, &change,
					&body, &size));
	keeper_raft_propose(&node->raft, body, size, sim->now);
	free(body);
}

/* Submit a new change, or an earlier one again, to a replica in the role of a
 * leader. */
static void sim_propose(sim_t *sim, node_t *node)
{
	uint32_t id = sim->next_id;

	if (!node->up || node->raft.role != KEEPER_LEADER)
		return;
	if (id && (random_below(sim, 3) == 0 || id == IDS_MAX - 1)) {
		id = random_below(sim, id);
	} else {
		sim->answers[id].base =
			config_state_config(node->state)->revision;
		sim->next_id++;
	}
	sim_submit(sim, node, id);
	sim_finish_step(sim, node);
}

/* Add or remove a voter that is not a founder, like an operator. */
static void sim_change_members(sim_t *sim, node_t *node)
{
	unsigned extra = sim->count - sim->founders;
	const node_t *other;

	if (!extra || sim->no_operator || !node->up ||
	    node->raft.role != KEEPER_LEADER)
		return;
	other = &sim->nodes[sim->founders + random_below(sim, extra)];
	keeper_raft_change_voter(&node->raft, random_below(sim, 2), other->name,
				 "", sim->now);
	sim_finish_step(sim, node);
}

/* Block one link in one direction, or all links from or to a node, or both. */
static void sim_partition(sim_t *sim, unsigned node)
{
	unsigned action = random_below(sim, 4),
		 other = random_below(sim, sim->count), i;

	sim->partition_end = sim->now + random_below(sim, PARTITION_MAX);
	if (action == 0)
		sim->blocked[node][other] = true;
	for (i = 0; action && i < sim->count; i++) {
		sim->blocked[node][i] |= (action & 1) != 0;
		sim->blocked[i][node] |= (action & 2) != 0;
	}
}

/* Make a replica give up its vote, as one that stops does. */
static void sim_leave(sim_t *sim, node_t *node)
{
	if (!node->up)
		return;
	keeper_raft_leave(&node->raft, sim->now);
	sim_finish_step(sim, node);
}

static void sim_inject_fault(sim_t *sim, node_t *node)
{
	switch (random_below(sim, 4)) {
	case 0:
		if (random_below(sim, 2))
			sim_leave(sim, node);
		node_stop(node);
		break;
	case 1:
		if (!sim->no_random_loss && sim_can_replace_disk(sim, node)) {
			node_replace(sim, node);
			sim->replaced++;
		}
		break;
	default:
		sim_partition(sim, (unsigned)(node - sim->nodes));
		break;
	}
}

static void sim_step(sim_t *sim)
{
	node_t *node = &sim->nodes[random_below(sim, sim->count)];
	unsigned action = random_below(sim, 1000);

	sim->now += random_below(sim, 1000);
	if (sim->now >= sim->partition_end)
		memset(sim->blocked, 0, sizeof(sim->blocked));
	if (action < sim->delivery_permille && sim->in_flight_count) {
		sim_deliver(sim);
	} else if (action < 960) {
		if (!node->up)
			return;
		keeper_raft_tick(&node->raft, sim->now);
		sim_finish_step(sim, node);
	} else if (action < 985 && !sim->no_random_changes) {
		sim_propose(sim, node);
	} else if (action < 988) {
		sim_change_members(sim, node);
	} else if (action < 994) {
		if (!node->up && !node->stays_down)
			node_start(sim, node);
	} else if (action < 996) {
		if (node->up)
			node_compact(node);
	} else if (action < 998 && !sim->no_faults) {
		sim_inject_fault(sim, node);
	}
}

static const node_t *sim_leader(const sim_t *sim)
{
	unsigned i;

	for (i = 0; i < sim->count; i++)
		if (sim->nodes[i].up &&
		    sim->now < keeper_raft_lease_end(&sim->nodes[i].raft))
			return &sim->nodes[i];
	return NULL;
}

static bool node_same_state(const node_t *a, const node_t *b)
{
	char *left, *right;
	size_t left_size, right_size;
	bool same;

	g_assert_cmpint(config_state_save(a->state, &left, &left_size), ==, 0);
	g_assert_cmpint(config_state_save(b->state, &right, &right_size), ==,
			0);
	same = left_size == right_size && !memcmp(left, right, left_size);
	free(left);
	free(right);
	return same;
}

/* True if the present disk of each member is a voter and all have applied the
 * same entries. */
static bool sim_has_converged(sim_t *sim)
{
	const node_t *leader = sim_leader(sim), *node;
	unsigned i;

	if (!leader)
		return false;
	for (i = 0; i < sim->count; i++) {
		node = &sim->nodes[i];
		if (!keeper_group_find(&leader->raft.group, node->name))
			continue;
		if (!node->up || node->applied != leader->applied ||
		    !keeper_group_is_voter(&leader->raft.group, node->name,
					   node->incarnation))
			return false;
	}
	return true;
}

static void sim_check_states(sim_t *sim)
{
	const node_t *leader = sim_leader(sim);
	unsigned i;

	for (i = 0; i < sim->count; i++)
		if (keeper_group_find(&leader->raft.group, sim->nodes[i].name))
			g_assert_true(node_same_state(&sim->nodes[i], leader));
}

/* Without faults the replicas must converge: every disk is a voter and every
 * replica has applied the same entries. */
static void sim_converge(sim_t *sim)
{
	uint64_t commit = sim->commit;
	usec_t limit;

	limit = sim->now + 100 * ELECTION_TIMEOUT;
	sim->no_faults = true;
	sim->delivery_permille = 600;
	sim->partition_end = 0;
	while (sim->now < limit &&
	       (sim->commit == commit || !sim_has_converged(sim)))
		sim_step(sim);
	g_assert_cmpint(sim->now, <, limit);
	sim_check_states(sim);
}

static void sim_free(sim_t *sim)
{
	unsigned i;

	for (i = 0; i < sim->count; i++)
		node_replace(sim, &sim->nodes[i]);
	while (sim->in_flight_count)
		keeper_raft_outgoing_free(
			sim->in_flight[--sim->in_flight_count]);
	g_rand_free(sim->rand);
	g_free(sim);
}

static sim_t *sim_new(uint32_t seed, unsigned founders, unsigned count)
{
	sim_t *sim = g_new0(sim_t, 1);
	unsigned i;

	sim->rand = g_rand_new_with_seed(seed);
	sim->founders = founders;
	sim->count = count;
	sim->fault_tolerance = 1;
	sim->now = 1000 * USEC_PER_SEC;
	for (i = 0; i < count; i++) {
		node_t *node = &sim->nodes[i];

		g_snprintf(node->name, sizeof(node->name), "k%u", i);
		node->incarnation = ++sim->incarnations;
		node->first_disk = true;
	}
	return sim;
}

static void run_random(uint32_t seed, uint64_t *replaced)
{
	static const unsigned founders[] = { 3, 3, 5, 3, 3 };
	static const unsigned counts[] = { 3, 5, 5, 4, 6 };
	sim_t *sim = sim_new(seed, founders[seed % 5], counts[seed % 5]);
	unsigned i;

	sim->auto_membership = seed % 5 >= 3;
	sim->delivery_permille = 150 + 100 * random_below(sim, 7);
	for (i = 0; i < STEPS_PER_RUN; i++)
		sim_step(sim);
	sim_converge(sim);
	g_test_message("seed=%u nodes=%u commit=%" PRIu64 " elected=%" PRIu64
		       " replaced=%" PRIu64 " ids=%u revision=%" PRIu64,
		       seed, sim->count, sim->commit, sim->elected,
		       sim->replaced, sim->next_id,
		       config_state_config(sim_leader(sim)->state)->revision);
	*replaced += sim->replaced;
	sim_free(sim);
}

static void test_random_faults(void)
{
	const char *only = g_getenv("HEMLOCK_SEED");
	uint32_t first = only ? (uint32_t)strtoul(only, NULL, 10) : 1000;
	uint64_t replaced = 0;
	unsigned i;

	for (i = 0; i < (only ? 1 : RUNS); i++) {
		g_test_message("seed=%u", first + i);
		run_random(first + i, &replaced);
	}
	if (!only)
		g_assert_cmpuint(replaced, >, RUNS / 2);
}

/* Guards against two disjoint quorums: half of an even number of voters, of which one
 * has lost its disk, and a majority of a group that the candidate does not know of. With these
 * seeds a committed entry was lost if voters were removed without a mark, if marked
 * voters counted for the half, or if the group did not have to be committed. */
static void test_random_half(void)
{
	static const uint32_t seeds[] = { 2139, 2298, 2333, 2413,
					  2668, 2974, 3304, 4349 };
	uint64_t replaced = 0;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(seeds); i++)
		run_random(seeds[i], &replaced);
}

/* Run until a leader has a lease and the change @id has an answer. With @id 0
 * only the lease is awaited. */
static void sim_run_until_answer(sim_t *sim, uint32_t id)
{
	usec_t limit = sim->now + 100 * ELECTION_TIMEOUT;

	while (sim->now < limit) {
		const node_t *leader = sim_leader(sim);

		if (leader && (!id || sim->answers[id].revision))
			return;
		sim_step(sim);
	}
	g_assert_not_reached();
}

/* Run until the group of a leader with a lease has exactly these voters, given
 * as "k0 k1 k2". */
static void sim_run_until_group(sim_t *sim, const char *voters)
{
	usec_t limit = sim->now + 200 * ELECTION_TIMEOUT;
	char **names = g_strsplit(voters, " ", -1);
	bool same = false;
	unsigned i;

	while (!same && sim->now < limit) {
		const node_t *leader = sim_leader(sim);

		sim_step(sim);
		same = leader != NULL &&
		       leader->raft.group.count == g_strv_length(names);
		for (i = 0; same && names[i]; i++)
			same = keeper_group_is_voter(
				&leader->raft.group, names[i],
				sim_find_node(sim, names[i])->incarnation);
	}
	g_assert_true(same);
	g_strfreev(names);
}

/* Run until a leader with a lease has committed its group; return the leader. */
static node_t *sim_run_until_group_committed(sim_t *sim)
{
	usec_t limit = sim->now + 100 * ELECTION_TIMEOUT;

	while (sim->now < limit) {
		node_t *leader = (node_t *)sim_leader(sim);

		if (leader && leader->raft.commit >= leader->raft.group_index)
			return leader;
		sim_step(sim);
	}
	g_assert_not_reached();
}

static sim_t *sim_new_without_faults(uint32_t seed, unsigned founders,
				     unsigned count)
{
	sim_t *sim = sim_new(seed, founders, count);

	sim->no_faults = true;
	sim->no_random_changes = true;
	sim->auto_membership = true;
	sim->delivery_permille = 600;
	return sim;
}

/* Guards against a group that does not maintain its members: a fourth keeper
 * that no setting names must join, a keeper that stays down must be removed,
 * and one with a replaced disk must join again under its name. */
static void test_auto_membership(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);

		sim->count = 3;
		sim_run_until_group(sim, "k0 k1 k2");
		sim->count = 4;
		sim_run_until_group(sim, "k0 k1 k2 k3");
		node_stop(&sim->nodes[seed % 3]);
		sim->nodes[seed % 3].stays_down = true;
		sim_run_until_group(sim, seed % 3 == 0 ? "k1 k2 k3" :
					 seed % 3 == 1 ? "k0 k2 k3" :
							 "k0 k1 k3");
		node_replace(sim, &sim->nodes[3]);
		sim_run_until_group(sim, seed % 3 == 0 ? "k1 k2 k3" :
					 seed % 3 == 1 ? "k0 k2 k3" :
							 "k0 k1 k3");
		sim_free(sim);
	}
}

/* Stop a replica for good. */
static void node_retire(node_t *node)
{
	node_stop(node);
	node->stays_down = true;
}

/* Check that the leader has the change of sim_run_until_accepted(). */
static void sim_check_change(const sim_t *sim)
{
	g_assert_cmpuint(config_state_config(sim_leader(sim)->state)->revision,
			 ==, 1);
}

/* Lose two of five voters for good at once, and start two others. The lost ones must be
 * removed. */
static void sim_replace_two_of_five(sim_t *sim)
{
	sim->no_operator = true;
	sim->count = 5;
	sim_run_until_group(sim, "k0 k1 k2 k3 k4");
	node_retire(&sim->nodes[0]);
	node_retire(&sim->nodes[3]);
	sim->count = 7;
	sim_run_until_group(sim, "k1 k2 k4 k5 k6");
}

/* Guards against voters that are gone for good and stay in the group: two of
 * five are replaced at once, or one after the other while both successors vote.
 * Counted for the majority, they make a tolerated loss of disks end the group. */
static void test_replaced_voters_removed(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 7);

		sim->fault_tolerance = 2;
		sim_replace_two_of_five(sim);
		sim_free(sim);

		sim = sim_new_without_faults(seed, 3, 5);
		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4");
		node_retire(&sim->nodes[seed % 2]);
		node_retire(&sim->nodes[2]);
		sim_run_until_group(sim, seed % 2 ? "k0 k3 k4" : "k1 k3 k4");
		sim_free(sim);
	}
}

/* Guards against a planned stop of a replaced voter, a follower or the leader, after
 * which the loss of one more disk ends the group: with four voters three are
 * needed, and only two are left. */
static void test_leaving_voter(void)
{
	uint32_t seed;
	unsigned i;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);
		char left[64] = "";
		node_t *leaver;

		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3");
		leaver = &sim->nodes[seed % 4];
		for (i = 0; i < 4; i++)
			if (&sim->nodes[i] != leaver)
				g_snprintf(left + strlen(left),
					   sizeof(left) - strlen(left), "%s%s",
					   *left ? " " : "",
					   sim->nodes[i].name);
		sim_leave(sim, leaver);
		sim_run_until_group(sim, left);
		node_retire(leaver);
		node_replace(sim, &sim->nodes[(seed + 1) % 4]);
		sim_run_until_group(sim, left);
		sim_free(sim);
	}
}

/* Cut a replica off from the others in both directions. */
static void sim_cut_off(sim_t *sim, const node_t *node)
{
	unsigned number = (unsigned)(node - sim->nodes), i;

	sim->partition_end = INT64_MAX;
	for (i = 0; i < sim->count; i++) {
		sim->blocked[number][i] = true;
		sim->blocked[i][number] = true;
	}
}

/* Run until a leader has appended the group without itself. */
static void sim_run_until_removed(sim_t *sim, const node_t *leader)
{
	usec_t limit = sim->now + 10 * ELECTION_TIMEOUT;

	while (sim->now < limit &&
	       keeper_group_is_voter(&leader->raft.group, leader->name,
				     leader->incarnation))
		sim_step(sim);
	g_assert_cmpint(sim->now, <, limit);
}

/* Guards against a group without a leader: a leader has appended its own removal,
 * or the entry before it, which no other log has, and stops. With a lost disk the
 * others are too few to elect one, so it must campaign once it is back. */
static void test_removed_leader_campaigns(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 40; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);
		bool removed = seed % 2;
		unsigned number;
		node_t *leader;

		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3");
		leader = sim_run_until_group_committed(sim);
		number = (unsigned)(leader - sim->nodes);
		if (!removed)
			sim_cut_off(sim, leader);
		keeper_raft_change_voter(&leader->raft, false, leader->name, "",
					 sim->now);
		sim_finish_step(sim, leader);
		if (removed)
			sim_run_until_removed(sim, leader);
		sim_cut_off(sim, leader);
		node_stop(leader);
		while (sim->in_flight_count)
			sim_deliver(sim);
		node_replace(sim, &sim->nodes[(number + 1) % 4]);
		sim->partition_end = 0;
		sim_run_until_answer(sim, 0);
		sim_free(sim);
	}
}

static void sim_run_for(sim_t *sim, usec_t time)
{
	usec_t limit = sim->now + time;

	while (sim->now < limit)
		sim_step(sim);
}

/* Submit a change and run until it has an answer. */
static void sim_run_until_accepted(sim_t *sim)
{
	node_t *leader = sim_run_until_group_committed(sim);
	uint32_t id = 1;

	sim_submit(sim, leader, id);
	sim_finish_step(sim, leader);
	sim_run_until_answer(sim, id);
	g_assert_cmpint(sim->answers[id].verdict, ==, CONFIG_ACCEPTED);
}

/* Run for a while, so that all replicas have learned of the group. */
static void sim_settle(sim_t *sim)
{
	usec_t limit = sim->now + 4 * ELECTION_TIMEOUT;

	while (sim->now < limit)
		sim_step(sim);
}

/* Run until the group of a leader with a lease has the present disks of all replicas but
 * one as voters, and not that one. */
static void sim_run_until_group_without(sim_t *sim, const node_t *removed)
{
	char voters[NODES_MAX * HL_NAME_MAX] = "";
	unsigned i;

	for (i = 0; i < sim->count; i++) {
		if (&sim->nodes[i] == removed)
			continue;
		if (*voters)
			g_strlcat(voters, " ", sizeof(voters));
		g_strlcat(voters, sim->nodes[i].name, sizeof(voters));
	}
	sim_run_until_group(sim, voters);
}

/* Guards against a group that can't elect a leader any more: the successor of a voter
 * has joined, so there are four voters. The replaced one is killed, and before the leader
 * removes it from the group another voter loses its disk. Two voters are left, while a
 * majority of four is three. */
static void test_killed_voter_and_lost_disk(void)
{
	uint32_t seed;

	for (seed = 0; seed < 48; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);
		node_t *leader, *killed, *lost;

		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3");
		sim_settle(sim);
		sim_run_until_accepted(sim);
		leader = sim_run_until_group_committed(sim);
		killed = &sim->nodes[(leader - sim->nodes + seed / 3) % 4];
		lost = &sim->nodes[(killed - sim->nodes + 1 + seed % 3) % 4];
		node_retire(killed);
		sim_run_for(sim, (seed / 12) * ELECTION_TIMEOUT / 2);
		node_replace(sim, lost);
		sim_run_until_group_without(sim, killed);
		sim_check_change(sim);
		sim_free(sim);
	}
}

/* Guards against the same with a fault tolerance of two: of six voters one is killed
 * for good, and two lose their disks. */
static void test_killed_voter_and_two_lost_disks(void)
{
	uint32_t seed;

	for (seed = 0; seed < 24; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 6);
		node_t *killed = &sim->nodes[seed % 6];
		unsigned number = seed % 6;

		sim->fault_tolerance = 2;
		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4 k5");
		sim_settle(sim);
		sim_run_until_accepted(sim);
		node_retire(killed);
		node_replace(sim, &sim->nodes[(number + 1) % 6]);
		node_replace(sim, &sim->nodes[(number + 2 + seed / 6) % 6]);
		sim_run_until_group_without(sim, killed);
		sim_check_change(sim);
		sim_free(sim);
	}
}

/* Stop a replica as keeper_core_leave() does: it waits until it has learned that its
 * vote is given up, for KEEPER_LEAVE_TIME at most. */
static void sim_stop_leaving(sim_t *sim, node_t *node)
{
	usec_t limit = sim->now + 4 * ELECTION_TIMEOUT;

	sim_leave(sim, node);
	while (keeper_raft_may_leave(&node->raft) && sim->now < limit)
		sim_step(sim);
	node_stop(node);
}

/* Guards against a stop that ends too early: a replaced voter stops while no one
 * leads, as the leader has just lost its disk. Its vote is needed until it is given up:
 * afterwards four voters are left, of which two run. A keeper that stops waits for
 * KEEPER_LEAVE_TIME at most, four election timeouts of deploy/. */
static void test_leaving_voter_without_leader(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);
		node_t *leader, *leaver;

		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3");
		sim_settle(sim);
		leader = sim_run_until_group_committed(sim);
		leaver = &sim->nodes[(leader - sim->nodes + 1) % 4];
		node_replace(sim, leader);
		sim_stop_leaving(sim, leaver);
		node_retire(leaver);
		sim_run_until_answer(sim, 0);
		sim_free(sim);
	}
}

/* Guards against a stop that does not learn that the vote is given up: it then waits
 * until KEEPER_LEAVE_TIME has passed, whether the group has the removal or not. */
static void test_leaver_learns_removal(void)
{
	sim_t *sim = sim_new_without_faults(1, 3, 4);
	node_t *leader, *leaver;

	sim->no_operator = true;
	sim_run_until_group(sim, "k0 k1 k2 k3");
	leader = sim_run_until_group_committed(sim);
	leaver = &sim->nodes[(leader - sim->nodes + 1) % 4];
	sim_leave(sim, leaver);
	sim_settle(sim);
	leader = sim_run_until_group_committed(sim);
	g_assert_null(keeper_group_find(&leader->raft.group, leaver->name));
	g_assert_false(keeper_raft_may_leave(&leaver->raft));
	sim_free(sim);
}

/* Guards against a stop that ends the group: five voters of a group that bears the
 * loss of one disk. One is gone for good, another has just lost its disk, and a third
 * restarts with its disk. With its vote three of five remain; without it two of four. */
static void test_restarting_voter_needed(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 5);
		unsigned number;
		node_t *leader, *restarted;
		usec_t limit;

		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4");
		leader = sim_run_until_group_committed(sim);
		number = (unsigned)(leader - sim->nodes);
		restarted = &sim->nodes[(number + 1) % 5];
		node_retire(&sim->nodes[(number + 2) % 5]);
		node_replace(sim, &sim->nodes[(number + 3) % 5]);
		sim_stop_leaving(sim, restarted);
		limit = sim->now + 5 * ELECTION_TIMEOUT;
		while (sim->now < limit)
			sim_step(sim);
		sim_run_until_answer(sim, 0);
		sim_free(sim);
	}
}

/* Guards against a keeper that lost its disk and never joins again: all keepers in its
 * settings were replaced, so only messages to its earlier disk reach it. */
static void test_lost_disk_without_founders(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 6);

		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4 k5");
		node_retire(&sim->nodes[0]);
		sim_run_until_group(sim, "k1 k2 k3 k4 k5");
		node_retire(&sim->nodes[1]);
		node_retire(&sim->nodes[2]);
		sim_run_until_group(sim, "k3 k4 k5");
		node_replace(sim, &sim->nodes[4]);
		sim_run_until_group(sim, "k3 k4 k5");
		sim_free(sim);
	}
}

/* Guards against a removal that can't be committed: of three voters one is down, and
 * a removal of another one would leave the leader with the silent one. */
static void test_removal_needs_majority(void)
{
	sim_t *sim = sim_new_without_faults(2, 3, 3);
	usec_t limit;
	node_t *leader;
	unsigned number;

	sim_run_until_group(sim, "k0 k1 k2");
	leader = (node_t *)sim_leader(sim);
	number = (unsigned)(leader - sim->nodes);
	node_retire(&sim->nodes[(number + 1) % 3]);
	limit = sim->now + 4 * ELECTION_TIMEOUT;
	while (sim->now < limit)
		sim_step(sim);
	g_assert_true(leader == sim_leader(sim));
	g_assert_cmpint(
		keeper_raft_change_voter(&leader->raft, false,
					 sim->nodes[(number + 2) % 3].name, "",
					 sim->now),
		==, KEEPER_BUSY);
	sim_free(sim);
}

/* Guards against a stop that takes away a vote which the group needs. */
static void test_needed_voter_does_not_leave(void)
{
	sim_t *sim = sim_new_without_faults(3, 3, 3);
	usec_t limit;
	unsigned i;

	sim_run_until_group(sim, "k0 k1 k2");
	for (i = 0; i < 3; i++)
		sim_leave(sim, &sim->nodes[i]);
	limit = sim->now + 20 * ELECTION_TIMEOUT;
	while (sim->now < limit)
		sim_step(sim);
	sim_run_until_group(sim, "k0 k1 k2");
	sim_free(sim);
}

/* Guards against a late leader after a loss of power of all keepers: each waited for
 * a random time of up to two election timeouts, while entries had what a keeper that
 * starts counts as committed. */
static void test_start_together(void)
{
	uint32_t seed;
	unsigned i;

	for (seed = 1; seed <= 50; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 3);
		usec_t start;

		sim_run_until_group(sim, "k0 k1 k2");
		sim_run_until_group_committed(sim);
		for (i = 0; i < 3; i++)
			node_stop(&sim->nodes[i]);
		while (sim->in_flight_count)
			sim_deliver(sim);
		start = sim->now;
		for (i = 0; i < 3; i++)
			node_start(sim, &sim->nodes[i]);
		sim_run_until_answer(sim, 0);
		g_assert_cmpint(sim->now - start, <=,
				ELECTION_TIMEOUT + ELECTION_TIMEOUT / 3);
		sim_free(sim);
	}
}

/* Guards against a group that gives up voters which its fault tolerance needs: a
 * change that a majority of three has is lost with two disks, which five voters
 * bear, though two of them are silent. */
static void test_needed_voters_stay(void)
{
	sim_t *sim = sim_new_without_faults(5, 3, 5);
	usec_t limit;

	sim->fault_tolerance = 2;
	sim->no_operator = true;
	sim_run_until_group(sim, "k0 k1 k2 k3 k4");
	node_retire(&sim->nodes[1]);
	node_retire(&sim->nodes[4]);
	sim_run_until_group(sim, "k0 k1 k2 k3 k4");
	limit = sim->now + 50 * ELECTION_TIMEOUT;
	while (sim->now < limit)
		sim_step(sim);
	sim_run_until_group(sim, "k0 k1 k2 k3 k4");
	sim_free(sim);
}

/* Guards against the removal of voters that the fault tolerance requires, without a
 * setting for it: two of five voters are down for some time, and must not be removed. If they
 * were, a change would be committed with two of the other three disks, and lost with
 * these. */
static void test_tolerance_not_set(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 5);
		node_t *leader;
		unsigned number;

		sim->fault_tolerance = 0;
		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4");
		leader = sim_run_until_group_committed(sim);
		number = (unsigned)(leader - sim->nodes);
		node_retire(&sim->nodes[(number + 1) % 5]);
		node_retire(&sim->nodes[(number + 2) % 5]);
		sim_run_for(sim, 20 * ELECTION_TIMEOUT);
		sim_run_until_accepted(sim);
		node_replace(sim, leader);
		node_replace(sim, &sim->nodes[(number + 3) % 5]);
		sim->nodes[(number + 1) % 5].stays_down = false;
		sim->nodes[(number + 2) % 5].stays_down = false;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4");
		sim_check_change(sim);
		sim_free(sim);
	}
}

/* Guards against voters that are gone for good and stay in the group, without a setting
 * for the fault tolerance: keepers that join after the first start replace others, and do
 * not raise the number of voters that are required. */
static void test_successors_without_tolerance(void)
{
	uint32_t seed;
	unsigned i;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 7);

		for (i = 5; i < 7; i++)
			sim->nodes[i].first_disk = false;
		sim->fault_tolerance = 0;
		sim_replace_two_of_five(sim);
		sim_free(sim);

		sim = sim_new_without_faults(seed, 3, 5);
		for (i = 3; i < 5; i++)
			sim->nodes[i].first_disk = false;
		sim->fault_tolerance = 0;
		sim->no_operator = true;
		sim_run_until_group(sim, "k0 k1 k2 k3 k4");
		node_retire(&sim->nodes[0]);
		node_retire(&sim->nodes[2]);
		sim_run_until_group(sim, "k1 k3 k4");
		sim_free(sim);
	}
}

/* Guards against a voter that stays excluded: it was removed while it was down,
 * and must join again after its restart. */
static void test_removed_voter_rejoins(void)
{
	sim_t *sim = sim_new_without_faults(7, 3, 4);

	sim_run_until_group(sim, "k0 k1 k2 k3");
	node_stop(&sim->nodes[1]);
	sim->nodes[1].stays_down = true;
	sim_run_until_group(sim, "k0 k2 k3");
	sim->nodes[1].stays_down = false;
	sim_run_until_group(sim, "k0 k1 k2 k3");
	sim_free(sim);
}

/* Guards against a second group beside the first: keepers with empty disks and
 * without the first_start setting must elect no leader. */
static void test_no_bootstrap(void)
{
	sim_t *sim = sim_new_without_faults(3, 3, 3);
	usec_t limit = sim->now + 50 * ELECTION_TIMEOUT;

	sim->no_bootstrap = true;
	while (sim->now < limit) {
		sim_step(sim);
		g_assert_null(sim_leader(sim));
	}
	g_assert_cmpuint(sim->elected, ==, 0);
	sim_free(sim);
}

/* Guards against founders that wait for another one for ever: a minority of them is
 * absent from the start, and those that are there must create the group. An absent
 * one must become a voter when it comes, also with a disk that may not bootstrap. */
static void test_founder_absent(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 30; seed++) {
		unsigned founders = seed % 2 ? 3 : 5;
		sim_t *sim = sim_new_without_faults(seed, founders, founders);
		node_t *first = &sim->nodes[seed % founders];
		node_t *second = &sim->nodes[(seed + 1) % founders];

		sim->no_operator = true;
		first->stays_down = true;
		second->stays_down = founders == 5;
		sim_run_until_accepted(sim);
		g_assert_cmpuint(sim_leader(sim)->raft.group.count, ==,
				 founders);
		first->stays_down = second->stays_down = false;
		first->first_disk = seed % 4 < 2;
		sim_run_until_group(sim, founders == 3 ? "k0 k1 k2" :
							 "k0 k1 k2 k3 k4");
		sim_free(sim);
	}
}

/* Guards against a majority that counts the founders which are there alone: one of
 * three, and two of five, must not create a group. */
static void test_founders_too_few(void)
{
	uint32_t seed;
	unsigned i;

	for (seed = 1; seed <= 10; seed++) {
		unsigned founders = seed % 2 ? 3 : 5;
		sim_t *sim = sim_new_without_faults(seed, founders, founders);

		for (i = founders / 2; i < founders; i++)
			sim->nodes[(seed + i) % founders].stays_down = true;
		sim_run_for(sim, 20 * USEC_PER_SEC);
		g_assert_cmpuint(sim->elected, ==, 0);
		sim_free(sim);
	}
}

/* Guards against a successor that does not take the place of a founder which has
 * never been there, and against one that creates a group of its own: it has other
 * founders in its settings, and may bootstrap. */
static void test_absent_founder_replaced(void)
{
	static const char *const left[] = { "k1 k2 k3", "k0 k2 k3",
					    "k0 k1 k3" };
	uint32_t seed;

	for (seed = 1; seed <= 30; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);

		sim->no_operator = true;
		sim->successors_found = seed % 2;
		sim->count = 3;
		sim->nodes[seed % 3].stays_down = true;
		sim_run_for(sim, random_below(sim, 4 * USEC_PER_SEC));
		sim->count = 4;
		sim_run_until_group(sim, left[seed % 3]);
		sim_run_until_accepted(sim);
		sim_free(sim);
	}
}

/* Guards against a disk that is replaced during the bootstrap and counts for it: it
 * has forgotten for whom the first one has voted. */
static void test_founder_loses_disk(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 3);

		sim_run_for(sim, random_below(sim, 3 * USEC_PER_SEC));
		node_replace(sim, &sim->nodes[seed % 3]);
		sim_run_until_group(sim, "k0 k1 k2");
		sim_run_until_accepted(sim);
		sim_free(sim);
	}
}

/* Guards against a second group: two founders have created the first one, one of them
 * is down, and the other one has lost its disk. With the third, which comes only now,
 * it must not create another. Once the first one is back, the change must be there. */
static void test_no_second_group(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 3);
		node_t *late = &sim->nodes[seed % 3];
		node_t *down = &sim->nodes[(seed + 1) % 3];
		node_t *lost = &sim->nodes[(seed + 2) % 3];
		uint64_t elected;

		late->stays_down = true;
		sim_run_until_accepted(sim);
		node_retire(down);
		node_replace(sim, lost);
		late->stays_down = false;
		elected = sim->elected;
		sim_run_for(sim, 20 * USEC_PER_SEC);
		g_assert_cmpuint(sim->elected, ==, elected);
		down->stays_down = false;
		sim_run_until_group(sim, "k0 k1 k2");
		sim_check_change(sim);
		sim_free(sim);
	}
}

/* Guards against a second group of one founder and a successor that may bootstrap and
 * names itself as a founder. Both are cut off from the other founders. */
static void test_no_group_of_successor(void)
{
	uint32_t seed;
	unsigned i, j;

	for (seed = 1; seed <= 20; seed++) {
		sim_t *sim = sim_new_without_faults(seed, 3, 4);

		sim->no_operator = true;
		sim->successors_found = true;
		sim->partition_end = INT64_MAX;
		for (i = 0; i < 4; i++)
			for (j = 0; j < 4; j++)
				sim->blocked[i][j] = (i < 2) != (j < 2);
		sim_run_until_accepted(sim);
		sim_run_for(sim, 10 * USEC_PER_SEC);
		for (i = 2; i < 4; i++)
			g_assert_cmpuint(keeper_entries_last(
						 &sim->nodes[i].raft.entries),
					 ==, 0);
		sim->partition_end = 0;
		sim_run_until_group(sim, "k0 k1 k2 k3");
		sim_free(sim);
	}
}

/* Inject a fault during the bootstrap. Only the disks of @victim and of the one after
 * it, if @victims is two, are lost. */
static void sim_disturb_bootstrap(sim_t *sim, unsigned victim, unsigned victims)
{
	node_t *node = &sim->nodes[random_below(sim, sim->count)];

	switch (random_below(sim, 4)) {
	case 0:
		node_stop(node);
		break;
	case 1:
		node = &sim->nodes[(victim + random_below(sim, victims)) %
				   sim->founders];
		node_replace(sim, node);
		break;
	default:
		sim_partition(sim, (unsigned)(node - sim->nodes));
		break;
	}
}

static void run_bootstrap(uint32_t seed)
{
	static const unsigned founders[] = { 3, 5, 3 };
	static const unsigned counts[] = { 3, 5, 4 };
	sim_t *sim = sim_new(seed, founders[seed % 3], counts[seed % 3]);
	unsigned victims = (sim->founders - 1) / 2;
	unsigned victim = random_below(sim, sim->founders);
	node_t *absent = &sim->nodes[victim];
	usec_t limit = sim->now + BOOTSTRAP_TIME;
	usec_t late = sim->now + random_below(sim, BOOTSTRAP_TIME);
	usec_t fault;

	sim->auto_membership = true;
	sim->no_operator = true;
	sim->no_random_loss = true;
	sim->fault_tolerance = victims;
	sim->successors_found = random_below(sim, 2);
	sim->delivery_permille = 300 + 100 * random_below(sim, 6);
	sim->count = sim->founders;
	absent->stays_down = random_below(sim, 2);
	fault = sim->now;
	while (sim->now < limit) {
		if (sim->now >= late) {
			sim->count = counts[seed % 3];
			if (sim->count == sim->founders)
				absent->stays_down = false;
		}
		if (sim->now >= fault) {
			sim_disturb_bootstrap(sim, victim, victims);
			fault = sim->now + random_below(sim, USEC_PER_SEC);
		}
		sim_step(sim);
	}
	absent->stays_down = false;
	sim_converge(sim);
	sim_free(sim);
}

/* Guards against two groups, and against entries that are lost, with founders that
 * are late or replaced, lose their disks, crash and are cut off during the
 * bootstrap. */
static void test_bootstrap_faults(void)
{
	const char *only = g_getenv("HEMLOCK_SEED");
	uint32_t first = only ? (uint32_t)strtoul(only, NULL, 10) : 1;
	unsigned i;

	for (i = 0; i < (only ? 1 : BOOTSTRAP_RUNS); i++) {
		g_test_message("seed=%u", first + i);
		run_bootstrap(first + i);
	}
}

/* Guards against a change that is lost or applied twice when the leader is
 * killed at some point of its commit. The change is submitted again until it
 * has an answer, and must be accepted exactly once. */
static void test_leader_killed(gconstpointer data)
{
	kill_point_t point = GPOINTER_TO_INT(data);
	kill_point_t killed = KILL_NEVER;
	uint32_t seed, id;

	for (seed = 1; seed <= 50; seed++) {
		sim_t *sim = sim_new(seed, 3, 3);
		node_t *leader;

		sim->no_faults = true;
		sim->no_random_changes = true;
		sim->delivery_permille = 600;
		sim_run_until_answer(sim, 0);
		for (id = 1; id <= 2; id++) {
			killed = id == 1 ? killed : sim->kill_point;
			sim->kill_point = id == 1 ? point : KILL_NEVER;
			sim_run_until_answer(sim, 0);
			sim->answers[id].base = id - 1;
			while (!sim->answers[id].revision) {
				leader = (node_t *)sim_leader(sim);
				if (leader) {
					sim_submit(sim, leader, id);
					sim_finish_step(sim, leader);
				}
				sim_run_until_answer(sim, 0);
				sim->now += HEARTBEAT_INTERVAL;
				sim_step(sim);
			}
			g_assert_cmpint(sim->answers[id].verdict, ==,
					CONFIG_ACCEPTED);
			g_assert_cmpuint(sim->answers[id].revision, ==, id);
		}
		g_assert_cmpint(killed, ==, KILL_DONE);
		sim->next_id = id;
		sim->no_random_changes = false;
		sim_converge(sim);
		sim_free(sim);
	}
}

int main(int argc, char **argv)
{
	static const char *const kill_points[] = { "before-sync", "after-sync",
						   "after-quorum",
						   "before-answer" };
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keeper-raft/random", test_random_faults);
	g_test_add_func("/keeper-raft/random-half", test_random_half);
	g_test_add_func("/keeper-raft/open-group", test_auto_membership);
	g_test_add_func("/keeper-raft/open-return", test_removed_voter_rejoins);
	g_test_add_func("/keeper-raft/leaving-voter", test_leaving_voter);
	g_test_add_func("/keeper-raft/leaving-voter-without-leader",
			test_leaving_voter_without_leader);
	g_test_add_func("/keeper-raft/killed-voter-and-lost-disk",
			test_killed_voter_and_lost_disk);
	g_test_add_func("/keeper-raft/killed-voter-and-two-lost-disks",
			test_killed_voter_and_two_lost_disks);
	g_test_add_func("/keeper-raft/leaver-learns-removal",
			test_leaver_learns_removal);
	g_test_add_func("/keeper-raft/lost-disk-without-founders",
			test_lost_disk_without_founders);
	g_test_add_func("/keeper-raft/restarting-voter-needed",
			test_restarting_voter_needed);
	g_test_add_func("/keeper-raft/needed-voter-does-not-leave",
			test_needed_voter_does_not_leave);
	g_test_add_func("/keeper-raft/needed-voters-stay",
			test_needed_voters_stay);
	g_test_add_func("/keeper-raft/tolerance-not-set",
			test_tolerance_not_set);
	g_test_add_func("/keeper-raft/successors-without-tolerance",
			test_successors_without_tolerance);
	g_test_add_func("/keeper-raft/removal-needs-majority",
			test_removal_needs_majority);
	g_test_add_func("/keeper-raft/removed-leader-campaigns",
			test_removed_leader_campaigns);
	g_test_add_func("/keeper-raft/replaced-voters-removed",
			test_replaced_voters_removed);
	g_test_add_func("/keeper-raft/no-founding", test_no_bootstrap);
	g_test_add_func("/keeper-raft/founder-absent", test_founder_absent);
	g_test_add_func("/keeper-raft/founders-too-few", test_founders_too_few);
	g_test_add_func("/keeper-raft/absent-founder-replaced",
			test_absent_founder_replaced);
	g_test_add_func("/keeper-raft/founder-loses-disk",
			test_founder_loses_disk);
	g_test_add_func("/keeper-raft/no-second-group", test_no_second_group);
	g_test_add_func("/keeper-raft/no-group-of-successor",
			test_no_group_of_successor);
	g_test_add_func("/keeper-raft/bootstrap", test_bootstrap_faults);
	g_test_add_func("/keeper-raft/start-together", test_start_together);
	for (i = 0; i < G_N_ELEMENTS(kill_points); i++) {
		char *path = g_strdup_printf("/keeper-raft/leader-killed-%s",
					     kill_points[i]);

		g_test_add_data_func(path,
				     GINT_TO_POINTER(KILL_BEFORE_SYNC + (int)i),
				     test_leader_killed);
		g_free(path);
	}
	return g_test_run();
}
