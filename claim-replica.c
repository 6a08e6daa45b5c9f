#include <glib.h>
#include <stdlib.h>
#include <urcu/list.h>
#include "claim.h"

/* Records looked at in one call of claim_replica_expire(). */
#define HOME_EXPIRE_STEP 64

typedef struct {
	struct cds_list_head link;
	claim_record_t record;
} home_node_t;

struct claim_replica {
	GTree *tree;		   /* by key */
	struct cds_list_head list; /* in the order they are looked at */
	unsigned count;
	unsigned max;
	usec_t forgot_until;
};

static gint home_compare(gconstpointer a, gconstpointer b, gpointer context)
{
	(void)context;
	return claim_key_compare(a, b);
}

claim_replica_t *claim_replica_new(unsigned max, usec_t forgot_until)
{
	claim_replica_t *home = calloc(1, sizeof(*home));

	if (!home)
		return NULL;
	home->tree = g_tree_new_full(home_compare, NULL, NULL, NULL);
	CDS_INIT_LIST_HEAD(&home->list);
	home->max = max;
	home->forgot_until = forgot_until;
	return home;
}

static void home_drop(claim_replica_t *home, home_node_t *node)
{
	g_tree_remove(home->tree, &node->record.key);
	cds_list_del(&node->link);
	home->count--;
	free(node);
}

void claim_replica_free(claim_replica_t *home)
{
	home_node_t *node;
	home_node_t *next;

	if (!home)
		return;
	cds_list_for_each_entry_safe (node, next, &home->list, link)
		home_drop(home, node);
	g_tree_destroy(home->tree);
	free(home);
}

unsigned claim_replica_count(const claim_replica_t *home)
{
	return home->count;
}

bool claim_replica_complete(const claim_replica_t *home, usec_t now)
{
	return now >= home->forgot_until;
}

/* The record of a key that has not run out, or NULL. */
static home_node_t *home_find(claim_replica_t *home, const claim_key_t *key,
			      usec_t now)
{
	home_node_t *node = g_tree_lookup(home->tree, key);

	if (node && now >= node->record.expires) {
		home_drop(home, node);
		return NULL;
	}
	return node;
}

static home_node_t *home_add(claim_replica_t *home,
			     const claim_record_t *record)
{
	home_node_t *node;

	if (home->count >= home->max)
		return NULL;
	node = calloc(1, sizeof(*node));
	if (!node)
		return NULL;
	node->record = *record;
	g_tree_insert(home->tree, &node->record.key, node);
	cds_list_add_tail(&node->link, &home->list);
	home->count++;
	return node;
}

/* A key that nobody holds: note the claim, also when abstaining from it. */
static claim_verdict_t home_claim_free(claim_replica_t *home, home_node_t *node,
				       const claim_record_t *claim, bool knows)
{
	if (node)
		node->record = *claim;
	else if (!home_add(home, claim))
		return CLAIM_ABSTAIN;
	return knows ? CLAIM_GRANTED : CLAIM_ABSTAIN;
}

claim_verdict_t claim_replica_claim(claim_replica_t *home,
				    const claim_record_t *claim, bool informed,
				    usec_t now, claim_record_t *known)
{
	home_node_t *node = home_find(home, &claim->key, now);
	bool knows = informed || claim_replica_complete(home, now);
	bool same = node && claim_id_equal(&node->record.id, &claim->id);

	*known = node ? node->record : *claim;
	/* A released key is free, but not for the try that was released. */
	if (!node || (node->record.state == CLAIM_RELEASED && !same))
		return home_claim_free(home, node, claim, knows);
	if (same && node->record.state == CLAIM_OPEN)
		return knows ? CLAIM_GRANTED : CLAIM_ABSTAIN;
	return CLAIM_HELD;
}

void claim_replica_settle(claim_replica_t *home, const claim_record_t *settled,
			  usec_t now)
{
	home_node_t *node = home_find(home, &settled->key, now);

	if (!node) {
		home_add(home, settled);
		return;
	}
	if (!claim_id_equal(&node->record.id, &settled->id) ||
	    node->record.state != CLAIM_OPEN)
		return;
	node->record.state = settled->state;
	node->record.status = settled->status;
}

/* Whether what another home says is to replace what this one knows. */
static bool home_is_newer(const claim_record_t *theirs,
			  const claim_record_t *ours)
{
	if (claim_id_equal(&theirs->id, &ours->id))
		return ours->state == CLAIM_OPEN;
	return ours->state == CLAIM_RELEASED && theirs->state != CLAIM_RELEASED;
}

void claim_replica_merge(claim_replica_t *home, const claim_record_t *record,
			 usec_t now)
{
	home_node_t *node = home_find(home, &record->key, now);

	if (!node)
		home_add(home, record);
	else if (home_is_newer(record, &node->record))
		node->record = *record;
}

void claim_replica_expire(claim_replica_t *home, usec_t now)
{
	unsigned step = 0;
	home_node_t *node;
	home_node_t *next;

	cds_list_for_each_entry_safe (node, next, &home->list, link) {
		if (step++ == HOME_EXPIRE_STEP)
			break;
		if (now >= node->record.expires) {
			home_drop(home, node);
			continue;
		}
		cds_list_del(&node->link);
		cds_list_add_tail(&node->link, &home->list);
	}
}

const claim_record_t *claim_replica_next(const claim_replica_t *home,
					 const claim_key_t *key)
{
	GTreeNode *at = g_tree_upper_bound(home->tree, key);
	const home_node_t *node = at ? g_tree_node_value(at) : NULL;

	return node ? &node->record : NULL;
}
