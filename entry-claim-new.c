#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include "entry-claim-internal.h"

/* Set-up of claims, and the parameters of a claim taken from its request. */

usec_t entry_claims_retention(entry_request_t *req)
{
	usec_t max = req->entry->settings.claims.hold_max_s * USEC_PER_SEC;
	usec_t retention;

	pthread_mutex_lock(&req->upstream->lock);
	retention = req->upstream->profile->key_hold_s * USEC_PER_SEC;
	pthread_mutex_unlock(&req->upstream->lock);
	return retention < max ? retention : max;
}

uint64_t entry_claims_fingerprint(const entry_request_t *req)
{
	uint64_t hash = hl_hash(req->method, strlen(req->method), 0);

	hash = hl_hash(req->target, strlen(req->target), hash);
	if (req->body_streamed || !entry_buffer_length(&req->body))
		return hash;
	return hl_hash(req->body.bytes + req->body.start,
		       entry_buffer_length(&req->body), hash);
}

static void claims_add_siblings(entry_claims_t *claims,
				const setting_list_t *group)
{
	unsigned i;

	for (i = 0; i < group->count; i++)
		if (strcmp(group->items[i], claims->self))
			strcpy(claims->siblings[claims->sibling_count++]
				       .address,
			       group->items[i]);
}

static void claims_add_metrics(entry_claims_t *claims, metrics_t *metrics)
{
	static const char *const labels[] = {
		[CLAIM_WON] = "result=\"won\"",
		[CLAIM_LOST] = "result=\"lost\"",
		[CLAIM_NO_QUORUM] = "result=\"no-homes\"",
	};
	int i;

	for (i = CLAIM_WON; i <= CLAIM_NO_QUORUM; i++)
		claims->result_counters[i] = metrics_counter(
			metrics, "hemlock_claims_total", labels[i],
			"Claims of idempotency keys by their result.");
	claims->record_gauge = metrics_gauge(metrics, "hemlock_claim_records",
					     "", "Claims stored as a replica.");
}

static void claims_register_handlers(entry_claims_t *claims, member_t *member)
{
	member_set_handler(member, PEER_CLAIM, entry_claims_on_claim, claims);
	member_set_handler(member, PEER_CLAIM_REPLY,
			   entry_claims_on_claim_reply, claims);
	member_set_handler(member, PEER_SETTLE, entry_claims_on_settle, claims);
	member_set_handler(member, PEER_SETTLED, entry_claims_on_settled,
			   claims);
	member_set_handler(member, PEER_CLAIM_SYNC,
			   entry_claims_on_sync_request, claims);
	member_set_handler(member, PEER_CLAIM_PAGE, entry_claims_on_sync_page,
			   claims);
}

entry_claims_t *entry_claims_new(entry_t *entry, const char *self,
				 bool first_start, usec_t now, hl_error_t *err)
{
	const entry_claim_settings_t *settings = &entry->settings.claims;
	entry_claims_t *claims = calloc(1, sizeof(*claims));
	usec_t uncertain_until = now + settings->hold_max_s * USEC_PER_SEC;
	unsigned i;

	if (!claims)
		goto fail;
	claims->entry = entry;
	strcpy(claims->self, self);
	pthread_mutex_init(&claims->lock, NULL);
	CDS_INIT_LIST_HEAD(&claims->pending);
	CDS_INIT_LIST_HEAD(&claims->decided);
	CDS_INIT_LIST_HEAD(&claims->settling);
	CDS_INIT_LIST_HEAD(&claims->responses);
	claims->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	claims->replica = claim_replica_new((unsigned)settings->records_max,
					    first_start ? 0 : uncertain_until);
	if (!claims->replica || getrandom(&claims->boot, sizeof(claims->boot),
					  0) != sizeof(claims->boot))
		goto fail;
	for (i = 0; i < ENTRY_CLAIM_GROUPS; i++)
		claims_add_siblings(claims, &settings->groups[i]);
	if (!settings->groups[0].count)
		log_event(LOG_LEVEL_WARNING, "claims-off",
			  "message=\"calls with an Idempotency-Key that are "
			  "not idempotent are answered 503; set "
			  "claims.group_1 to claims.group_3\"");
	claims_add_metrics(claims, entry->metrics);
	claims_register_handlers(claims, entry->member);
	return claims;
fail:
	hl_error_set(err, HL_ERR_NOMEM,
		     "out of memory; give the VM more memory");
	entry_claims_free(claims);
	return NULL;
}

static void claims_free_list(struct cds_list_head *list)
{
	entry_claim_t *claim;
	entry_claim_t *next;

	cds_list_for_each_entry_safe (claim, next, list, link) {
		if (claim->req)
			entry_request_unref(claim->req);
		free(claim);
	}
}

void entry_claims_free(entry_claims_t *claims)
{
	if (!claims)
		return;
	claims_free_list(&claims->pending);
	claims_free_list(&claims->decided);
	claims_free_list(&claims->settling);
	entry_claims_free_responses(claims);
	g_hash_table_destroy(claims->by_number);
	claim_replica_free(claims->replica);
	pthread_mutex_destroy(&claims->lock);
	free(claims);
}
