#include <glib.h>
#include <stdlib.h>
#include <urcu/list.h>
#include "claim.h"

/* Claim records of one replica, in a tree by key and a list for expiry. */

/* Maximum number of records that one claim_replica_expire() examines. */
#define REPLICA_EXPIRE_BATCH 64

typedef struct {
	struct cds_list_head link;
	claim_record_t record;
} replica_node_t;

struct claim_replica {
	GTree *tree;		   /* replica_node_t by key */
	struct cds_list_head list; /* replica_node_t, next to examine first */
	unsigned count;
	unsigned max;
	usec_t incomplete_until; /* see claim_replica_new() */
};

static gint replica_compare(gconstpointer a, gconstpointer b, gpointer context)
{
	(void)context;
	return claim_key_compare(a, b);
}

claim_replica_t *claim_replica_new(unsigned max, usec_t incomplete_until)
{
	claim_replica_t *replica = calloc(1, sizeof(*replica));

	if (!replica)
		return NULL;
	replica->tree = g_tree_new_full(replica_compare, NULL, NULL, NULL);
	CDS_INIT_LIST_HEAD(&replica->list);
	replica->max = max;
	replica->incomplete_until = incomplete_until;
	return replica;
}

static void replica_remove(claim_replica_t *replica, replica_node_t *node)
{
	g_tree_remove(replica->tree, &node->record.key);
	cds_list_del(&node->link);
	replica->count--;
	free(node);
}

void claim_replica_free(claim_replica_t *replica)
{
	replica_node_t *node;
	replica_node_t *next;

	if (!replica)
		return;
	cds_list_for_each_entry_safe (node, next, &replica->list, link)
		replica_remove(replica, node);
	g_tree_destroy(replica->tree);
	free(replica);
}

unsigned claim_replica_count(const claim_replica_t *replica)
{
	return replica->count;
}

bool claim_replica_complete(const claim_replica_t *replica, usec_t now)
{
	return now >= replica->incomplete_until;
}

/* Returns the record of a key, or NULL; removes it if it has expired. */
static replica_node_t *replica_find(claim_replica_t *replica,
				    const claim_key_t *key, usec_t now)
{
	replica_node_t *node = g_tree_lookup(replica->tree, key);

	if (node && now >= node->record.expires) {
		replica_remove(replica, node);
		return NULL;
	}
	return node;
}

static replica_node_t *replica_add(claim_replica_t *replica,
				   const claim_record_t *record)
{
	replica_node_t *node;

	if (replica->count >= replica->max)
		return NULL;
	node = calloc(1, sizeof(*node));
	if (!node)
		return NULL;
	node->record = *record;
	g_tree_insert(replica->tree, &node->record.key, node);
	cds_list_add_tail(&node->link, &replica->list);
	replica->count++;
	return node;
}

/* Stores a claim of a free key, also if this replica has to abstain. */
static claim_verdict_t replica_claim_free(claim_replica_t *replica,
					  replica_node_t *node,
					  const claim_record_t *claim,
					  bool complete)
{
	if (node)
		node->record = *claim;
	else if (!replica_add(replica, claim))
		return CLAIM_ABSTAIN;
	return complete ? CLAIM_GRANTED : CLAIM_ABSTAIN;
}

claim_verdict_t claim_replica_claim(claim_replica_t *replica,
				    const claim_record_t *claim, bool synced,
				    usec_t now, claim_record_t *existing)
{
	replica_node_t *node = replica_find(replica, &claim->key, now);
	bool complete = synced || claim_replica_complete(replica, now);
	bool same = node && claim_id_equal(&node->record.id, &claim->id);

	*existing = node ? node->record : *claim;
	/* A released key is free for every claim except the released one. */
	if (!node || (node->record.state == CLAIM_RELEASED && !same))
		return replica_claim_free(replica, node, claim, complete);
	if (same && node->record.state == CLAIM_OPEN)
		return complete ? CLAIM_GRANTED : CLAIM_ABSTAIN;
	return CLAIM_HELD;
}

void claim_replica_settle(claim_replica_t *replica,
			  const claim_record_t *settlement, usec_t now)
{
	replica_node_t *node = replica_find(replica, &settlement->key, now);

	if (!node) {
		replica_add(replica, settlement);
		return;
	}
	if (!claim_id_equal(&node->record.id, &settlement->id) ||
	    node->record.state != CLAIM_OPEN)
		return;
	node->record.state = settlement->state;
	node->record.status = settlement->status;
}

/* Whether the record of another replica replaces the local one. */
static bool replica_supersedes(const claim_record_t *remote,
			       const claim_record_t *local)
{
	if (claim_id_equal(&remote->id, &local->id))
		return local->state == CLAIM_OPEN;
	return local->state == CLAIM_RELEASED &&
	       remote->state != CLAIM_RELEASED;
}

void claim_replica_merge(claim_replica_t *replica, const claim_record_t *record,
			 usec_t now)
{
	replica_node_t *node = replica_find(replica, &record->key, now);

	if (!node)
		replica_add(replica, record);
	else if (replica_supersedes(record, &node->record))
		node->record = *record;
}

void claim_replica_expire(claim_replica_t *replica, usec_t now)
{
	unsigned examined = 0;
	replica_node_t *node;
	replica_node_t *next;

	cds_list_for_each_entry_safe (node, next, &replica->list, link) {
		if (examined++ == REPLICA_EXPIRE_BATCH)
			break;
		if (now >= node->record.expires) {
			replica_remove(replica, node);
			continue;
		}
		cds_list_del(&node->link);
		cds_list_add_tail(&node->link, &replica->list);
	}
}

const claim_record_t *claim_replica_next(const claim_replica_t *replica,
					 const claim_key_t *key)
{
	GTreeNode *tree_node = g_tree_upper_bound(replica->tree, key);
	const replica_node_t *node = tree_node ? g_tree_node_value(tree_node) :
						 NULL;

	return node ? &node->record : NULL;
}
