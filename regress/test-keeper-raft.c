#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-state.h"
#include "keeper.h"

/*
 * Replicas in one process behind a network that reorders, loses, doubles and
 * cuts, on disks that forget what was not saved and are replaced now and then,
 * with voters that come and go. Everything is drawn from a seed.
 */

#define NODES_MAX 7
#define RUNS 32
#define STEPS 150000 /* in each run: millions in all */
#define WIRE_MAX 256
#define TERMS_MAX 20000
#define INDEX_MAX 60000
#define IDS_MAX 3000
#define HEARTBEAT (50 * USEC_PER_MS)
#define ELECTION (300 * USEC_PER_MS)
#define CUT_MAX (3000 * USEC_PER_MS)

typedef struct {
	char name[HL_NAME_MAX];
	bool up;
	keeper_raft_t raft;
	config_state_t *state;
	uint64_t applied;
	/* The disk. */
	uint64_t incarnation;
	keeper_ballot_state_t ballot;
	uint64_t commit;
	bool gone; /* it is not started again */
	keeper_entries_t entries;
	keeper_snapshot_t snapshot;
} node_t;

/* The first answer of a change. */
typedef struct {
	uint64_t base;
	uint64_t revision; /* 0 while there is none */
	config_verdict_t verdict;
} answer_t;

typedef struct {
	uint64_t term, hash;
	uint64_t in; /* term of the leader that committed it */
} committed_t;

/* The steps of a commit after which a leader can be killed. */
typedef enum {
	KILL_NEVER,
	KILL_BEFORE_SYNC,
	KILL_AFTER_SYNC,
	KILL_AFTER_QUORUM,
	KILL_BEFORE_ANSWER,
	KILL_DONE,
} kill_t;

typedef struct {
	GRand *rand;
	usec_t now;
	unsigned founders, count;
	node_t nodes[NODES_MAX];
	bool cut[NODES_MAX][NODES_MAX]; /* from, to */
	keeper_outgoing_t *wire[WIRE_MAX];
	unsigned wire_count;
	uint64_t incarnations;
	uint64_t commit; /* highest that any replica knew */
	uint32_t ids;
	answer_t answers[IDS_MAX];
	usec_t heal_at; /* when the cuts end */
	bool open;	/* the group looks after itself */
	bool strangers; /* no disk may begin a group */
	bool calm;	/* no faults any more */
	bool quiet;	/* no changes but the test's own */
	kill_t kill;	/* the next leader to get there */
	unsigned haste; /* deliveries in a thousand steps */
	uint64_t replaced, elected;
	committed_t committed[INDEX_MAX];
	uint64_t leaders[TERMS_MAX]; /* incarnation */
} world_t;

static unsigned draw(world_t *world, unsigned below)
{
	return (unsigned)g_rand_int_range(world->rand, 0, (gint32)below);
}

static node_t *world_find(world_t *world, const char *name)
{
	return &world->nodes[name[1] - '0'];
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

static void node_start(world_t *world, node_t *node)
{
	keeper_raft_settings_t settings = { .cluster = 7,
					    .may_bootstrap = !world->strangers,
					    .auto_membership = world->open,
					    .incarnation = node->incarnation,
					    .heartbeat_interval = HEARTBEAT,
					    .election_timeout = ELECTION };
	keeper_snapshot_t snapshot = { 0 };
	keeper_entries_t entries = { 0 };
	unsigned i;

	strcpy(settings.name, node->name);
	settings.seed = g_rand_int(world->rand);
	settings.founder_count = world->founders;
	for (i = 0; i < world->founders; i++)
		strcpy(settings.founders[i], world->nodes[i].name);
	keeper_raft_init(&node->raft, &settings, world->now);
	snapshot_copy(&node->snapshot, &snapshot);
	entries_copy(&node->entries, &entries);
	g_assert_true(keeper_raft_restore(&node->raft, &node->ballot, &snapshot,
					  &entries));
	keeper_raft_committed(&node->raft, node->commit);
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

/* A new disk: all that the old one held is gone. */
static void node_replace(world_t *world, node_t *node)
{
	node_stop(node);
	keeper_entries_free(&node->entries);
	free(node->snapshot.state);
	memset(&node->snapshot, 0, sizeof(node->snapshot));
	memset(&node->ballot, 0, sizeof(node->ballot));
	node->commit = 0;
	node->incarnation = ++world->incarnations;
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

/* Every replica gives an id the same answer, however often it comes. */
static void node_apply(world_t *world, node_t *node,
		       const keeper_entry_t *entry)
{
	config_answer_t answer = { 0 };
	config_change_t change = { 0 };
	answer_t *known;

	if (entry->kind != KEEPER_ENTRY_CHANGE)
		return;
	g_assert_true(keeper_xdr_decode((xdrproc_t)xdr_config_change_t,
					entry->body.body_val,
					entry->body.body_len, &change));
	g_assert_cmpint(config_state_apply(node->state, entry->index, &change,
					   &answer),
			==, 0);
	known = &world->answers[atoi(change.id)];
	if (!known->revision) {
		known->revision = answer.revision;
		known->verdict = answer.verdict;
	}
	g_assert_cmpuint(known->revision, ==, answer.revision);
	g_assert_cmpint(known->verdict, ==, answer.verdict);
	xdr_free((xdrproc_t)xdr_config_change_t, &change);
	xdr_free((xdrproc_t)xdr_config_answer_t, &answer);
}

/* What one replica commits all others must commit in the same place. */
static void world_check_commit(world_t *world, const keeper_entry_t *entry,
			       uint64_t term)
{
	committed_t *known = &world->committed[entry->index];
	uint64_t hash = hl_hash(entry->body.body_val, entry->body.body_len,
				entry->kind);

	g_assert_cmpuint(entry->index, <, INDEX_MAX);
	if (!known->term) {
		known->term = entry->term;
		known->hash = hash;
		known->in = term;
	}
	g_assert_cmpuint(known->term, ==, entry->term);
	g_assert_cmpuint(known->hash, ==, hash);
	if (entry->index > world->commit)
		world->commit = entry->index;
}

static void world_apply(world_t *world, node_t *node)
{
	while (node->applied < node->raft.commit) {
		const keeper_entry_t *entry = keeper_entries_at(
			&node->raft.entries, node->applied + 1);

		g_assert_nonnull(entry);
		world_check_commit(world, entry, node->raft.ballot.term);
		node_apply(world, node, entry);
		node->applied++;
	}
}

/* One leader a term, which holds all that earlier terms committed. */
static void world_check_leader(world_t *world, node_t *node)
{
	uint64_t term = node->raft.ballot.term, i, found;

	if (node->raft.role != KEEPER_LEADER)
		return;
	g_assert_cmpuint(term, <, TERMS_MAX);
	if (world->leaders[term]) {
		g_assert_cmpuint(world->leaders[term], ==, node->incarnation);
	} else {
		world->leaders[term] = node->incarnation;
		world->elected++;
		for (i = node->raft.entries.base + 1; i <= world->commit; i++) {
			if (world->committed[i].in >= term)
				break;
			g_assert_true(keeper_entries_term(&node->raft.entries,
							  i, &found));
			g_assert_cmpuint(found, ==, world->committed[i].term);
		}
	}
	if (world->now < keeper_raft_lease(&node->raft))
		g_assert_cmpuint(node->raft.commit, >=, world->commit);
}

static void world_post(world_t *world, keeper_outgoing_t *outgoing)
{
	unsigned at;

	if (world->wire_count < WIRE_MAX) {
		world->wire[world->wire_count++] = outgoing;
		return;
	}
	at = draw(world, WIRE_MAX);
	keeper_raft_outgoing_free(world->wire[at]);
	world->wire[at] = outgoing;
}

/* Kill a leader at the step that was asked for, once. */
static bool world_kill(world_t *world, node_t *node, kill_t step)
{
	if (world->kill != step || node->raft.role != KEEPER_LEADER)
		return false;
	world->kill = KILL_DONE;
	node_stop(node);
	return true;
}

/* After each step: save, apply, check, and let the messages go. A crash may
 * come before the save, or after it and before the messages. */
static void world_settle(world_t *world, node_t *node)
{
	keeper_outgoing_t *outgoing, *next;
	bool leads = node->raft.role == KEEPER_LEADER;
	bool crash = !world->calm && draw(world, leads ? 300 : 3000) == 0;
	bool unsaved, commits;

	if (crash && draw(world, 2)) {
		node_stop(node);
		return;
	}
	unsaved = keeper_raft_unsaved(&node->raft);
	if (unsaved && world_kill(world, node, KILL_BEFORE_SYNC))
		return;
	if (unsaved) {
		node_save(node);
		keeper_raft_mark_saved(&node->raft, world->now);
	}
	if (unsaved && world_kill(world, node, KILL_AFTER_SYNC))
		return;
	commits = node->raft.commit > node->applied;
	if (commits && world_kill(world, node, KILL_AFTER_QUORUM))
		return;
	world_apply(world, node);
	world_check_leader(world, node);
	if (commits && world_kill(world, node, KILL_BEFORE_ANSWER))
		return;
	if (crash) {
		node_stop(node);
		return;
	}
	cds_list_for_each_entry_safe (outgoing, next, &node->raft.out, link) {
		cds_list_del(&outgoing->link);
		CDS_INIT_LIST_HEAD(&outgoing->link);
		world_post(world, outgoing);
	}
}

/* Take one message off the wire, any of them; now and then it stays there to
 * come again, or is lost. */
static void world_deliver(world_t *world)
{
	unsigned at = draw(world, world->wire_count);
	keeper_outgoing_t *outgoing = world->wire[at];
	const keeper_message_t *message = &outgoing->message;
	node_t *from = world_find(world, message->from);
	node_t *to = world_find(world, message->to);
	bool lost = !world->calm && draw(world, 20) == 0;

	world->wire[at] = world->wire[--world->wire_count];
	if (!lost && to->up &&
	    !world->cut[from - world->nodes][to - world->nodes]) {
		keeper_raft_step(&to->raft, message, world->now);
		world_settle(world, to);
	}
	if (!world->calm && draw(world, 20) == 0)
		world_post(world, outgoing);
	else
		keeper_raft_outgoing_free(outgoing);
}

/* True if every group that any disk knows can bear one more lost disk. */
static bool world_can_lose(world_t *world, const node_t *victim)
{
	unsigned i, j, voters, missing;

	for (i = 0; i < world->count; i++) {
		const keeper_group_t *group = &world->nodes[i].raft.group;

		if (!world->nodes[i].up || !group->count)
			return false;
		voters = missing = 0;
		for (j = 0; j < group->count; j++) {
			const keeper_node_t *node = &group->nodes[j];
			const node_t *disk = world_find(world, node->name);

			if (!node->voter)
				continue;
			voters++;
			missing += disk == victim ||
				   disk->incarnation != node->incarnation;
		}
		if (missing > (voters - 1) / 2)
			return false;
	}
	return true;
}

static void world_compact(node_t *node)
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

static void world_submit(world_t *world, node_t *node, uint32_t id)
{
	config_item_t item = { .base = world->answers[id].base };
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
	config_profile_preset(profile);
	profile->name = "fast";
	profile->classes.classes_val = &class_all;
	profile->classes.classes_len = 1;
	g_assert_true(keeper_xdr_encode((xdrproc_t)xdr_config_change_t, &change,
					&body, &size));
	keeper_raft_propose(&node->raft, body, size, world->now);
	free(body);
}

/* A new change, or an old id again, at whoever thinks that it leads. */
static void world_propose(world_t *world, node_t *node)
{
	uint32_t id = world->ids;

	if (!node->up || node->raft.role != KEEPER_LEADER)
		return;
	if (id && (draw(world, 3) == 0 || id == IDS_MAX - 1)) {
		id = draw(world, id);
	} else {
		world->answers[id].base =
			config_state_config(node->state)->revision;
		world->ids++;
	}
	world_submit(world, node, id);
	world_settle(world, node);
}

/* Operators add and remove voters, but never a founder. */
static void world_regroup(world_t *world, node_t *node)
{
	unsigned extra = world->count - world->founders;
	const node_t *other;

	if (!extra || !node->up || node->raft.role != KEEPER_LEADER)
		return;
	other = &world->nodes[world->founders + draw(world, extra)];
	keeper_raft_voter(&node->raft, draw(world, 2), other->name, "",
			  world->now);
	world_settle(world, node);
}

/* Cut one link, or all of a node, one way or both. */
static void world_cut(world_t *world, unsigned node)
{
	unsigned what = draw(world, 4), other = draw(world, world->count), i;

	world->heal_at = world->now + draw(world, CUT_MAX);
	if (what == 0)
		world->cut[node][other] = true;
	for (i = 0; what && i < world->count; i++) {
		world->cut[node][i] |= (what & 1) != 0;
		world->cut[i][node] |= (what & 2) != 0;
	}
}

static void world_fault(world_t *world, node_t *node)
{
	switch (draw(world, 4)) {
	case 0:
		node_stop(node);
		break;
	case 1:
		if (world_can_lose(world, node)) {
			node_replace(world, node);
			world->replaced++;
		}
		break;
	default:
		world_cut(world, (unsigned)(node - world->nodes));
		break;
	}
}

static void world_step(world_t *world)
{
	node_t *node = &world->nodes[draw(world, world->count)];
	unsigned what = draw(world, 1000);

	world->now += draw(world, 1000);
	if (world->now >= world->heal_at)
		memset(world->cut, 0, sizeof(world->cut));
	if (what < world->haste && world->wire_count) {
		world_deliver(world);
	} else if (what < 960) {
		if (!node->up)
			return;
		keeper_raft_tick(&node->raft, world->now);
		world_settle(world, node);
	} else if (what < 985 && !world->quiet) {
		world_propose(world, node);
	} else if (what < 988) {
		world_regroup(world, node);
	} else if (what < 994) {
		if (!node->up && !node->gone)
			node_start(world, node);
	} else if (what < 996) {
		if (node->up)
			world_compact(node);
	} else if (what < 998 && !world->calm) {
		world_fault(world, node);
	}
}

static const node_t *world_leader(const world_t *world)
{
	unsigned i;

	for (i = 0; i < world->count; i++)
		if (world->nodes[i].up &&
		    world->now < keeper_raft_lease(&world->nodes[i].raft))
			return &world->nodes[i];
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

/* True if all members' present disks vote, and have applied the same. */
static bool world_whole(world_t *world)
{
	const node_t *leader = world_leader(world), *node;
	unsigned i;

	if (!leader)
		return false;
	for (i = 0; i < world->count; i++) {
		node = &world->nodes[i];
		if (!keeper_group_find(&leader->raft.group, node->name))
			continue;
		if (!node->up || node->applied != leader->applied ||
		    !keeper_group_votes(&leader->raft.group, node->name,
					node->incarnation))
			return false;
	}
	return true;
}

static void world_check_states(world_t *world)
{
	const node_t *leader = world_leader(world);
	unsigned i;

	for (i = 0; i < world->count; i++)
		if (keeper_group_find(&leader->raft.group,
				      world->nodes[i].name))
			g_assert_true(
				node_same_state(&world->nodes[i], leader));
}

/* Without faults all must come together: every disk votes, every replica has
 * applied the same. */
static void world_heal(world_t *world)
{
	uint64_t commit = world->commit;
	usec_t limit;

	limit = world->now + 100 * ELECTION;
	world->calm = true;
	world->haste = 600;
	world->heal_at = 0;
	while (world->now < limit &&
	       (world->commit == commit || !world_whole(world)))
		world_step(world);
	g_assert_cmpint(world->now, <, limit);
	world_check_states(world);
}

static void world_free(world_t *world)
{
	unsigned i;

	for (i = 0; i < world->count; i++)
		node_replace(world, &world->nodes[i]);
	while (world->wire_count)
		keeper_raft_outgoing_free(world->wire[--world->wire_count]);
	g_rand_free(world->rand);
	g_free(world);
}

static world_t *world_new(uint32_t seed, unsigned founders, unsigned count)
{
	world_t *world = g_new0(world_t, 1);
	unsigned i;

	world->rand = g_rand_new_with_seed(seed);
	world->founders = founders;
	world->count = count;
	world->now = 1000 * USEC_PER_SEC;
	for (i = 0; i < count; i++) {
		node_t *node = &world->nodes[i];

		g_snprintf(node->name, sizeof(node->name), "k%u", i);
		node->incarnation = ++world->incarnations;
	}
	return world;
}

static void world_run(uint32_t seed, uint64_t *replaced)
{
	static const unsigned founders[] = { 3, 3, 5, 3 };
	static const unsigned counts[] = { 3, 5, 5, 4 };
	world_t *world = world_new(seed, founders[seed % 4], counts[seed % 4]);
	unsigned i;

	world->open = seed % 4 == 3;
	world->haste = 150 + 100 * draw(world, 7);
	for (i = 0; i < STEPS; i++)
		world_step(world);
	world_heal(world);
	g_test_message(
		"seed=%u nodes=%u commit=%" PRIu64 " elected=%" PRIu64
		" replaced=%" PRIu64 " ids=%u revision=%" PRIu64,
		seed, world->count, world->commit, world->elected,
		world->replaced, world->ids,
		config_state_config(world_leader(world)->state)->revision);
	*replaced += world->replaced;
	world_free(world);
}

static void test_random(void)
{
	const char *only = g_getenv("HEMLOCK_SEED");
	uint32_t first = only ? (uint32_t)strtoul(only, NULL, 10) : 1000;
	uint64_t replaced = 0;
	unsigned i;

	for (i = 0; i < (only ? 1 : RUNS); i++) {
		g_test_message("seed=%u", first + i);
		world_run(first + i, &replaced);
	}
	if (!only)
		g_assert_cmpuint(replaced, >, RUNS / 2);
}

/* Run until a leader has a lease, or a change its answer. */
static void world_until(world_t *world, uint32_t id)
{
	usec_t limit = world->now + 100 * ELECTION;

	while (world->now < limit) {
		const node_t *leader = world_leader(world);

		if (leader && (!id || world->answers[id].revision))
			return;
		world_step(world);
	}
	g_assert_not_reached();
}

/* Run calmly until a leader's group is these voters, "k0 k1 k2". */
static void world_until_group(world_t *world, const char *voters)
{
	usec_t limit = world->now + 200 * ELECTION;
	char **names = g_strsplit(voters, " ", -1);
	bool same = false;
	unsigned i;

	while (!same && world->now < limit) {
		const node_t *leader = world_leader(world);

		world_step(world);
		same = leader != NULL &&
		       leader->raft.group.count == g_strv_length(names);
		for (i = 0; same && names[i]; i++)
			same = keeper_group_votes(
				&leader->raft.group, names[i],
				world_find(world, names[i])->incarnation);
	}
	g_assert_true(same);
	g_strfreev(names);
}

static world_t *world_calm(uint32_t seed, unsigned founders, unsigned count)
{
	world_t *world = world_new(seed, founders, count);

	world->calm = true;
	world->quiet = true;
	world->open = true;
	world->haste = 600;
	return world;
}

/* A fourth keeper is taken in without being named, and takes the place of one
 * that is gone for good; a wiped disk comes back under its name. */
static void test_open_group(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		world_t *world = world_calm(seed, 3, 4);

		world->count = 3;
		world_until_group(world, "k0 k1 k2");
		world->count = 4;
		world_until_group(world, "k0 k1 k2 k3");
		node_stop(&world->nodes[seed % 3]);
		world->nodes[seed % 3].gone = true;
		world_until_group(world, seed % 3 == 0 ? "k1 k2 k3" :
					 seed % 3 == 1 ? "k0 k2 k3" :
							 "k0 k1 k3");
		node_replace(world, &world->nodes[3]);
		world_until_group(world, seed % 3 == 0 ? "k1 k2 k3" :
					 seed % 3 == 1 ? "k0 k2 k3" :
							 "k0 k1 k3");
		world_free(world);
	}
}

/* A voter that was dropped while it was away asks to be taken in again. */
static void test_open_return(void)
{
	world_t *world = world_calm(7, 3, 4);

	world_until_group(world, "k0 k1 k2 k3");
	node_stop(&world->nodes[1]);
	world->nodes[1].gone = true;
	world_until_group(world, "k0 k2 k3");
	world->nodes[1].gone = false;
	world_until_group(world, "k0 k1 k2 k3");
	world_free(world);
}

/* Empty disks that are not told that it is the first start begin nothing. */
static void test_no_founding(void)
{
	world_t *world = world_calm(3, 3, 3);
	usec_t limit = world->now + 50 * ELECTION;

	world->strangers = true;
	while (world->now < limit) {
		world_step(world);
		g_assert_null(world_leader(world));
	}
	g_assert_cmpuint(world->elected, ==, 0);
	world_free(world);
}

/* A leader dies at one step of a commit. The change is sent again until it
 * has an answer; it is accepted once, wherever the first try came to. */
static void test_kill(gconstpointer data)
{
	kill_t step = GPOINTER_TO_INT(data);
	kill_t killed = KILL_NEVER;
	uint32_t seed, id;

	for (seed = 1; seed <= 50; seed++) {
		world_t *world = world_new(seed, 3, 3);
		node_t *leader;

		world->calm = true;
		world->quiet = true;
		world->haste = 600;
		world_until(world, 0);
		for (id = 1; id <= 2; id++) {
			killed = id == 1 ? killed : world->kill;
			world->kill = id == 1 ? step : KILL_NEVER;
			world_until(world, 0);
			world->answers[id].base = id - 1;
			while (!world->answers[id].revision) {
				leader = (node_t *)world_leader(world);
				if (leader) {
					world_submit(world, leader, id);
					world_settle(world, leader);
				}
				world_until(world, 0);
				world->now += HEARTBEAT;
				world_step(world);
			}
			g_assert_cmpint(world->answers[id].verdict, ==,
					CONFIG_ACCEPTED);
			g_assert_cmpuint(world->answers[id].revision, ==, id);
		}
		g_assert_cmpint(killed, ==, KILL_DONE);
		world->ids = id;
		world->quiet = false;
		world_heal(world);
		world_free(world);
	}
}

int main(int argc, char **argv)
{
	static const char *const kills[] = { "before-sync", "after-sync",
					     "after-quorum", "before-answer" };
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keeper-raft/random", test_random);
	g_test_add_func("/keeper-raft/open-group", test_open_group);
	g_test_add_func("/keeper-raft/open-return", test_open_return);
	g_test_add_func("/keeper-raft/no-founding", test_no_founding);
	for (i = 0; i < G_N_ELEMENTS(kills); i++) {
		char *path = g_strdup_printf("/keeper-raft/leader-killed-%s",
					     kills[i]);

		g_test_add_data_func(path,
				     GINT_TO_POINTER(KILL_BEFORE_SYNC + (int)i),
				     test_kill);
		g_free(path);
	}
	return g_test_run();
}
