#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include "entry-claim-internal.h"

usec_t entry_claims_hold(entry_request_t *req)
{
	usec_t most = req->entry->settings.claims.hold_max_s * USEC_PER_SEC;
	usec_t hold;

	pthread_mutex_lock(&req->route->lock);
	hold = req->route->profile->key_hold_s * USEC_PER_SEC;
	pthread_mutex_unlock(&req->route->lock);
	return hold < most ? hold : most;
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

static void claims_metrics(entry_claims_t *claims, metrics_t *metrics)
{
	static const char *const labels[] = {
		[CLAIM_WON] = "result=\"won\"",
		[CLAIM_LOST] = "result=\"lost\"",
		[CLAIM_NO_QUORUM] = "result=\"no-homes\"",
	};
	int i;

	for (i = CLAIM_WON; i <= CLAIM_NO_QUORUM; i++)
		claims->results[i] = metrics_counter(
			metrics, "hemlock_claims_total", labels[i],
			"Claims of idempotency keys by their result.");
	claims->records = metrics_gauge(metrics, "hemlock_claim_records", "",
					"Claims kept as a home.");
}

static void claims_listen(entry_claims_t *claims, member_t *member)
{
	member_on(member, PEER_CLAIM, entry_claims_on_claim, claims);
	member_on(member, PEER_CLAIM_REPLY, entry_claims_on_reply, claims);
	member_on(member, PEER_SETTLE, entry_claims_on_settle, claims);
	member_on(member, PEER_SETTLED, entry_claims_on_settled, claims);
	member_on(member, PEER_CLAIM_SYNC, entry_claims_on_sync, claims);
	member_on(member, PEER_CLAIM_PAGE, entry_claims_on_page, claims);
}

entry_claims_t *entry_claims_new(entry_t *entry, const char *self, bool first,
				 usec_t now, hl_error_t *err)
{
	const entry_claim_settings_t *settings = &entry->settings.claims;
	entry_claims_t *claims = calloc(1, sizeof(*claims));
	usec_t forgot = now + settings->hold_max_s * USEC_PER_SEC;
	unsigned i;

	if (!claims)
		goto fail;
	claims->entry = entry;
	strcpy(claims->self, self);
	pthread_mutex_init(&claims->lock, NULL);
	CDS_INIT_LIST_HEAD(&claims->asking);
	CDS_INIT_LIST_HEAD(&claims->won);
	CDS_INIT_LIST_HEAD(&claims->settling);
	CDS_INIT_LIST_HEAD(&claims->answers);
	claims->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	claims->home = claim_replica_new((unsigned)settings->records_max,
					 first ? 0 : forgot);
	if (!claims->home || getrandom(&claims->boot, sizeof(claims->boot),
				       0) != sizeof(claims->boot))
		goto fail;
	for (i = 0; i < ENTRY_CLAIM_GROUPS; i++)
		claims_add_siblings(claims, &settings->groups[i]);
	if (!settings->groups[0].count)
		log_event(LOG_LEVEL_WARNING, "claims-off",
			  "message=\"calls with an Idempotency-Key that are "
			  "not idempotent get 503; set claims.group_1 to "
			  "group_3\"");
	claims_metrics(claims, entry->metrics);
	claims_listen(claims, entry->member);
	return claims;
fail:
	hl_error_set(err, HL_ERR_NOMEM, "no memory; add some");
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
	claims_free_list(&claims->asking);
	claims_free_list(&claims->won);
	claims_free_list(&claims->settling);
	entry_claims_forget_answers(claims);
	g_hash_table_destroy(claims->by_number);
	claim_replica_free(claims->home);
	pthread_mutex_destroy(&claims->lock);
	free(claims);
}
