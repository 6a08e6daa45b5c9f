#include <glib.h>
#include <string.h>
#include "entry-claim-internal.h"

/*
 * Sync of a replica that has restarted, without a network: member_send() puts the
 * datagrams in a queue, and the test chooses when each is received. Guards against a
 * replica that counts as synced while it lacks a record of the other one, so that it
 * could grant a key a second time.
 */

#define RECORDS 7 /* one more than a page has */
#define FIRST_KEY 10
#define MISSED_KEY 5 /* before the first one */
#define NEVER INT64_MAX
#define TICK USEC_PER_SEC
#define ROUNDS 20

/* A replica: the requester, which has restarted, or its sibling. */
typedef struct {
	entry_t entry;
	entry_claims_t claims;
	uint64_t gauge;
} node_t;

/* A datagram on its way. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	peer_body_t body;
	peer_claim_record_t records[PEER_CLAIM_PAGE_MAX];
} datagram_t;

static const char *const addresses[] = { "127.0.0.1:1", "127.0.0.2:1",
					 "127.0.0.3:1" };
static GQueue *datagrams;

/* Takes the place of that of member-run.c. */
unsigned member_send(member_t *member, const char *address,
		     const peer_body_t *body)
{
	datagram_t *datagram = g_new0(datagram_t, 1);
	peer_claim_page_t *page = &datagram->body.peer_body_t_u.claim_page;

	g_assert_null(member);
	g_strlcpy(datagram->address, address, sizeof(datagram->address));
	datagram->body = *body;
	if (body->kind == PEER_CLAIM_PAGE) {
		memcpy(datagram->records, page->records.records_val,
		       page->records.records_len *
			       sizeof(page->records.records_val[0]));
		page->records.records_val = datagram->records;
	}
	g_queue_push_tail(datagrams, datagram);
	return 0;
}

/* Creates replica @index, with the replica @sibling as the only other one that it
   knows. */
static node_t *node_new(unsigned index, unsigned sibling)
{
	node_t *node = g_new0(node_t, 1);
	entry_claims_t *claims = &node->claims;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(addresses); i++) {
		setting_list_t *group = &node->entry.settings.claims.groups[i];

		group->count = 1;
		strcpy(group->items[0], addresses[i]);
	}
	claims->entry = &node->entry;
	strcpy(claims->self, addresses[index]);
	pthread_mutex_init(&claims->lock, NULL);
	claims->replica = claim_replica_new(2 * RECORDS, NEVER);
	strcpy(claims->siblings[0].address, addresses[sibling]);
	claims->sibling_count = 1;
	claims->record_gauge = &node->gauge;
	return node;
}

static void node_free(node_t *node)
{
	claim_replica_free(node->claims.replica);
	pthread_mutex_destroy(&node->claims.lock);
	g_free(node);
}

static void node_add(node_t *node, uint64_t key)
{
	claim_record_t record = {
		.key = { .high = key },
		.state = CLAIM_RAN,
		.expires = NEVER,
	};

	claim_replica_merge(node->claims.replica, &record, 0);
}

static bool node_has(const node_t *node, uint64_t key)
{
	claim_key_t before = { .high = key - 1, .low = UINT64_MAX };
	const claim_record_t *record = claim_replica_next(node->claims.replica,
							  &before);

	return record && record->key.high == key;
}

/* Receives the oldest datagram, if any, at the replica that it was sent to. */
static void deliver(node_t *requester, node_t *sibling)
{
	datagram_t *datagram = g_queue_pop_head(datagrams);
	peer_message_t message = { 0 };

	if (!datagram)
		return;
	message.body = datagram->body;
	if (!strcmp(datagram->address, sibling->claims.self))
		entry_claims_on_sync_request(&sibling->claims, &message, 0);
	else
		entry_claims_on_sync_page(&requester->claims, &message, 0);
	g_free(datagram);
}

/* Lets the requester go on until it is synced, and checks that it has all records
   then. */
static void finish(node_t *requester, node_t *sibling, usec_t now)
{
	const bool *synced = &requester->claims.siblings[0].synced;
	unsigned i;

	for (i = 0; i < ROUNDS && !*synced; i++) {
		while (!g_queue_is_empty(datagrams) && !*synced)
			deliver(requester, sibling);
		entry_claims_replica_tick(&requester->claims,
					  now + (i + 1) * TICK);
	}
	g_assert_true(*synced);
	g_assert_true(node_has(requester, MISSED_KEY));
	for (i = 0; i < RECORDS; i++)
		g_assert_true(node_has(requester, FIRST_KEY + i));
	node_free(requester);
	node_free(sibling);
	g_queue_free_full(datagrams, g_free);
}

/* Creates both replicas and lets the first page arrive, while the sibling lacks
   records. The requester has asked for the second page. */
static void begin(node_t **requester, node_t **sibling)
{
	unsigned i;

	datagrams = g_queue_new();
	*requester = node_new(0, 1);
	*sibling = node_new(1, 2);
	for (i = 0; i < RECORDS; i++)
		node_add(*sibling, FIRST_KEY + i);
	entry_claims_replica_tick(&(*requester)->claims, 0);
	deliver(*requester, *sibling);
	deliver(*requester, *sibling);
	g_assert_cmpuint(g_queue_get_length(datagrams), ==, 1);
}

/* The sibling gets the last record that it lacked. */
static void complete(node_t *sibling)
{
	node_add(sibling, MISSED_KEY);
	sibling->claims.siblings[0].synced = true;
}

static void test_completed_between_pages(void)
{
	node_t *requester;
	node_t *sibling;

	begin(&requester, &sibling);
	complete(sibling);
	finish(requester, sibling, 0);
}

/* The second question is repeated, and its second page comes when the requester starts
   again after the first one. */
static void test_repeated_last_page(void)
{
	node_t *requester;
	node_t *sibling;

	begin(&requester, &sibling);
	entry_claims_replica_tick(&requester->claims, TICK);
	deliver(requester, sibling);
	complete(sibling);
	deliver(requester, sibling);
	g_assert_cmpuint(g_queue_get_length(datagrams), ==, 2);
	finish(requester, sibling, TICK);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-claim-sync/completed-between-pages",
			test_completed_between_pages);
	g_test_add_func("/entry-claim-sync/repeated-last-page",
			test_repeated_last_page);
	return g_test_run();
}
