#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "keeper.h"

/*
 * Raft rules that the random runs of test-keeper-raft.c seldom reach: when a
 * vote is refused because a leader may hold a lease, that an entry of an older
 * term is not committed by counting replicas, that a replaced disk does not
 * count, and that a snapshot replaces a log that diverges from it. A fuzz test
 * guards against crashes on malformed messages.
 */

#define HEARTBEAT (50 * USEC_PER_MS)
#define ELECTION (300 * USEC_PER_MS)
#define START (1000 * USEC_PER_SEC)
#define FUZZ_INPUTS 20000
#define FUZZ_SEED 4711

/* Set up keeper b of the voters a, b and c. Its log has the group, then @count
 * entries with the terms in @terms. */
static void replica_init(keeper_raft_t *raft, uint64_t term,
			 const uint64_t *terms, unsigned count)
{
	keeper_raft_settings_t settings = { .name = "b",
					    .incarnation = 2,
					    .heartbeat_interval = HEARTBEAT,
					    .election_timeout = ELECTION,
					    .founder_count = 3,
					    .founders = { "a", "b", "c" } };
	keeper_group_t group = { .count = 3,
				 .nodes = { { "a", "", 1, true },
					    { "b", "", 2, true },
					    { "c", "", 3, true } } };
	keeper_ballot_state_t ballot = { .term = term };
	keeper_snapshot_t snapshot = { 0 };
	keeper_entries_t entries = { 0 };
	keeper_entry_t entry = { .index = 1, .term = 1 };
	size_t size;
	unsigned i;

	entry.kind = KEEPER_ENTRY_GROUP;
	g_assert_true(keeper_group_encode(&group, &entry.body.body_val, &size));
	entry.body.body_len = (u_int)size;
	g_assert_true(keeper_entries_push(&entries, &entry));
	free(entry.body.body_val);
	for (i = 0; i < count; i++) {
		entry = (keeper_entry_t){ .index = 2 + i, .term = terms[i] };
		g_assert_true(keeper_entries_push(&entries, &entry));
	}
	keeper_raft_init(raft, &settings, START);
	g_assert_true(keeper_raft_restore(raft, &ballot, &snapshot, &entries));
}

static keeper_message_t message_to_b(const char *from, uint64_t term,
				     keeper_message_kind_t kind)
{
	keeper_message_t message = { .from = (char *)from,
				     .from_address = (char *)"",
				     .from_incarnation = from[0] - 'a' + 1,
				     .to = (char *)"b",
				     .to_incarnation = 2,
				     .term = term };

	message.body.kind = kind;
	return message;
}

static void drop_outgoing(keeper_raft_t *raft)
{
	keeper_outgoing_t *outgoing, *next;

	cds_list_for_each_entry_safe (outgoing, next, &raft->out, link)
		keeper_raft_outgoing_free(outgoing);
}

static bool vote_granted(const keeper_raft_t *raft)
{
	const keeper_outgoing_t *outgoing;

	cds_list_for_each_entry (outgoing, &raft->out, link)
		if (outgoing->message.body.kind == KEEPER_MSG_VOTE_REPLY)
			return outgoing->message.body.keeper_message_body_t_u
				.granted;
	return false;
}

static void step(keeper_raft_t *raft, keeper_message_t message, usec_t now)
{
	g_assert_true(keeper_raft_step(raft, &message, now));
}

/* Times of a vote request after a restart, with or without a message of a
 * leader in between. */
static const struct {
	const char *name;
	usec_t leader_seen_at; /* leader's message, since the start; 0: none */
	usec_t requested_at;
	bool granted;
} votes[] = {
	{ "after-restart", 0, ELECTION - 1, false },
	{ "timeout-after-restart", 0, ELECTION, true },
	{ "leader-seen", 2 * ELECTION, 3 * ELECTION - 1, false },
	{ "leader-silent", 2 * ELECTION, 3 * ELECTION, true },
};

/* No vote is granted within an election timeout after a restart or the last
 * message of a leader, since that leader may hold a lease. */
static void test_vote_lease(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	keeper_message_t message;
	keeper_raft_t raft;

	replica_init(&raft, 1, NULL, 0);
	if (votes[i].leader_seen_at) {
		message = message_to_b("a", 1, KEEPER_MSG_APPEND);
		step(&raft, message, START + votes[i].leader_seen_at);
		drop_outgoing(&raft);
	}
	message = message_to_b("c", 2, KEEPER_MSG_VOTE);
	message.body.keeper_message_body_t_u.ballot.last_index = 1;
	message.body.keeper_message_body_t_u.ballot.last_term = 1;
	step(&raft, message, START + votes[i].requested_at);
	g_assert_cmpint(vote_granted(&raft), ==, votes[i].granted);
	keeper_raft_free(&raft);
}

/* Let the replica win the election of the next term; return the term. */
static uint64_t become_leader(keeper_raft_t *raft, usec_t now)
{
	uint64_t term = raft->ballot.term + 1;
	keeper_message_t message;

	keeper_raft_tick(raft, now);
	message = message_to_b("a", term, KEEPER_MSG_PREVOTE_REPLY);
	message.body.keeper_message_body_t_u.granted = TRUE;
	step(raft, message, now);
	message.body.kind = KEEPER_MSG_VOTE_REPLY;
	step(raft, message, now);
	g_assert_cmpint(raft->role, ==, KEEPER_LEADER);
	keeper_raft_mark_saved(raft, now);
	return term;
}

/* An entry of an older term that a majority has is committed only along with an
 * entry of the leader's term, since another leader might still overwrite it. */
static void test_commit_old_term(void)
{
	static const uint64_t terms[] = { 2 };
	usec_t now = START + 10 * ELECTION;
	keeper_message_t message;
	keeper_append_reply_t *reply;
	keeper_raft_t raft;

	replica_init(&raft, 3, terms, 1);
	message = message_to_b("a", become_leader(&raft, now),
			       KEEPER_MSG_APPEND_REPLY);
	reply = &message.body.keeper_message_body_t_u.append_reply;
	reply->matched = TRUE;
	reply->index = 2;
	step(&raft, message, now);
	g_assert_cmpuint(raft.commit, ==, 0);
	reply->index = 3;
	step(&raft, message, now);
	g_assert_cmpuint(raft.commit, ==, 3);
	keeper_raft_free(&raft);
}

/* A vote does not count if it is from, or addressed to, a replaced disk. */
static void test_replaced_disk(void)
{
	usec_t now = START + 10 * ELECTION;
	keeper_message_t message;
	keeper_raft_t raft;

	replica_init(&raft, 3, NULL, 0);
	keeper_raft_tick(&raft, now);
	message = message_to_b("a", 4, KEEPER_MSG_PREVOTE_REPLY);
	message.from_incarnation = 99;
	message.body.keeper_message_body_t_u.granted = TRUE;
	step(&raft, message, now);
	g_assert_cmpint(raft.role, ==, KEEPER_PRECANDIDATE);
	message.from_incarnation = 1;
	message.to_incarnation = 98;
	g_assert_false(keeper_raft_step(&raft, &message, now));
	g_assert_cmpint(raft.role, ==, KEEPER_PRECANDIDATE);
	keeper_raft_free(&raft);
}

/* A snapshot whose last entry differs from the log's entry at that index
 * replaces the whole log. */
static void test_install_divergent_log(void)
{
	static const uint64_t terms[] = { 2, 2, 2, 2 };
	keeper_message_t message = message_to_b("a", 5, KEEPER_MSG_INSTALL);
	keeper_install_t *install =
		&message.body.keeper_message_body_t_u.install;
	keeper_raft_t raft;

	replica_init(&raft, 3, terms, 4);
	install->index = 3;
	install->term = 4;
	step(&raft, message, START);
	g_assert_cmpuint(raft.commit, ==, 3);
	g_assert_cmpuint(keeper_entries_last(&raft.entries), ==, 3);
	g_assert_true(raft.snapshot_dirty);
	keeper_raft_free(&raft);
}

static char *fuzz_make_message(GRand *rand, size_t *size)
{
	static const keeper_entry_t entries[] = { { .index = 2, .term = 1 },
						  { .index = 3, .term = 2 } };
	keeper_message_t message;
	keeper_append_t *append = &message.body.keeper_message_body_t_u.append;
	char *bytes, empty[] = "";

	message = message_to_b(g_rand_boolean(rand) ? "a" : "c",
			       g_rand_int_range(rand, 1, 4),
			       g_rand_int_range(rand, KEEPER_MSG_PREVOTE,
						KEEPER_MSG_JOIN + 1));
	if (message.body.kind == KEEPER_MSG_APPEND) {
		append->prev_index = 1;
		append->prev_term = 1;
		append->entries.entries_len = 2;
		append->entries.entries_val = (keeper_entry_t *)entries;
	}
	if (message.body.kind == KEEPER_MSG_JOIN)
		message.body.keeper_message_body_t_u.join.address = empty;
	g_assert_true(keeper_xdr_encode((xdrproc_t)xdr_keeper_message_t,
					&message, &bytes, size));
	return bytes;
}

static void fuzz_corrupt(GRand *rand, char *bytes, size_t *size)
{
	int changes = g_rand_int_range(rand, 0, 4);

	while (changes-- && *size)
		bytes[g_rand_int_range(rand, 0, (gint32)*size)] = (char)
			g_rand_int(rand);
	if (g_rand_int_range(rand, 0, 10) == 0)
		*size = (size_t)g_rand_int_range(rand, 0, (gint32)*size + 1);
}

/* Corrupted messages that still decode are handled or dropped, and the commit
 * index never exceeds the log. */
static void test_fuzz_messages(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	unsigned i, decoded = 0, dropped = 0;
	keeper_raft_t raft;

	replica_init(&raft, 1, NULL, 0);
	for (i = 0; i < FUZZ_INPUTS; i++) {
		usec_t now = START + i * (ELECTION / 10);
		keeper_message_t message = { 0 };
		size_t size;
		char *bytes = fuzz_make_message(rand, &size);

		fuzz_corrupt(rand, bytes, &size);
		if (keeper_xdr_decode((xdrproc_t)xdr_keeper_message_t, bytes,
				      size, &message)) {
			decoded++;
			dropped += !keeper_raft_step(&raft, &message, now);
			xdr_free((xdrproc_t)xdr_keeper_message_t, &message);
		}
		free(bytes);
		keeper_raft_tick(&raft, now);
		keeper_raft_mark_saved(&raft, now);
		drop_outgoing(&raft);
		g_assert_cmpuint(raft.commit, <=,
				 keeper_entries_last(&raft.entries));
	}
	g_test_message("seed=%d decoded=%u dropped=%u last=%" PRIu64, FUZZ_SEED,
		       decoded, dropped, keeper_entries_last(&raft.entries));
	g_assert_cmpuint(decoded, >, FUZZ_INPUTS / 10);
	g_assert_cmpuint(dropped, >, 0);
	keeper_raft_free(&raft);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(votes); i++) {
		char *path = g_strdup_printf("/keeper-rules/vote/%s",
					     votes[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i),
				     test_vote_lease);
		g_free(path);
	}
	g_test_add_func("/keeper-rules/old-term", test_commit_old_term);
	g_test_add_func("/keeper-rules/replaced-disk", test_replaced_disk);
	g_test_add_func("/keeper-rules/install", test_install_divergent_log);
	g_test_add_func("/keeper-rules/fuzz-message", test_fuzz_messages);
	return g_test_run();
}
