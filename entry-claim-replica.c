#include <stdlib.h>
#include <string.h>
#include "entry-claim-internal.h"

/*
 * Replica of claim records: answers claims and settlements, and after a
 * restart copies the records of its keys from the other replicas (sync).
 */

/* Interval between sync requests of a restarted replica to each sibling. It
   doubles up to the maximum, because a sibling that is down may stay down
   until all claims have expired. */
#define REPLICA_SYNC_INTERVAL_MIN (100 * USEC_PER_MS)
#define REPLICA_SYNC_INTERVAL_MAX USEC_PER_SEC
/* Interval at which a replica with records checks for expired ones. */
#define REPLICA_EXPIRE_INTERVAL (100 * USEC_PER_MS)

void entry_claims_pack(peer_claim_record_t *out, const claim_record_t *record,
		       usec_t now)
{
	usec_t remaining = record->expires > now ? record->expires - now : 0;

	out->key.high = record->key.high;
	out->key.low = record->key.low;
	out->id.coordinator = (char *)record->id.coordinator;
	out->id.boot = record->id.boot;
	out->id.number = record->id.number;
	out->fingerprint = record->fingerprint;
	out->state = record->state;
	out->status = record->status;
	out->remaining_ms = (u_int)(remaining / USEC_PER_MS);
}

void entry_claims_unpack(claim_record_t *out, const peer_claim_record_t *record,
			 usec_t now)
{
	memset(out, 0, sizeof(*out));
	out->key.high = record->key.high;
	out->key.low = record->key.low;
	strncpy(out->id.coordinator, record->id.coordinator, HL_NAME_MAX - 1);
	out->id.boot = record->id.boot;
	out->id.number = record->id.number;
	out->fingerprint = record->fingerprint;
	out->state = (claim_state_t)record->state;
	out->status = record->status;
	out->expires = now + (usec_t)record->remaining_ms * USEC_PER_MS;
}

unsigned entry_claims_replicas(const entry_claims_t *claims,
			       const claim_key_t *key,
			       char (*replicas)[HL_ADDRESS_MAX])
{
	const entry_claim_settings_t *settings =
		&claims->entry->settings.claims;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < ENTRY_CLAIM_GROUPS; i++) {
		const setting_list_t *group = &settings->groups[i];

		if (!group->count)
			continue;
		strcpy(replicas[count++],
		       group->items[claim_key_replica(group->items,
						      group->count, key)]);
	}
	return count;
}

static bool replica_sibling_synced(const entry_claims_t *claims,
				   const char *address)
{
	unsigned i;

	for (i = 0; i < claims->sibling_count; i++)
		if (!strcmp(claims->siblings[i].address, address))
			return claims->siblings[i].synced;
	return false;
}

/* Whether the records of all other replicas of a key were received. */
static bool replica_siblings_synced(const entry_claims_t *claims,
				    const claim_key_t *key)
{
	char replicas[CLAIM_REPLICAS_MAX][HL_ADDRESS_MAX];
	unsigned count = entry_claims_replicas(claims, key, replicas);
	unsigned i;

	for (i = 0; i < count; i++)
		if (strcmp(replicas[i], claims->self) &&
		    !replica_sibling_synced(claims, replicas[i]))
			return false;
	return true;
}

claim_verdict_t entry_claims_replica_claim(entry_claims_t *claims,
					   const claim_record_t *record,
					   usec_t now, claim_record_t *existing)
{
	return claim_replica_claim(claims->replica, record,
				   replica_siblings_synced(claims,
							   &record->key),
				   now, existing);
}

static void replica_send_reply(entry_claims_t *claims, peer_kind_t kind,
			       const peer_claim_t *claim,
			       claim_verdict_t verdict,
			       const claim_record_t *existing, usec_t now)
{
	peer_body_t body = { .kind = kind };
	peer_claim_reply_t *reply = &body.peer_body_t_u.claim_reply;

	reply->replica = claims->self;
	reply->claim_id = claim->record.id;
	reply->key = claim->record.key;
	reply->verdict = verdict;
	entry_claims_pack(&reply->existing, existing, now);
	member_send(claims->entry->member, claim->reply_to, &body);
}

void entry_claims_on_claim(void *context, const peer_message_t *message,
			   usec_t now)
{
	const peer_claim_t *claim = &message->body.peer_body_t_u.claim;
	entry_claims_t *claims = context;
	claim_record_t record;
	claim_record_t existing;
	claim_verdict_t verdict;

	entry_claims_unpack(&record, &claim->record, now);
	if (record.state != CLAIM_OPEN)
		return;
	pthread_mutex_lock(&claims->lock);
	verdict = entry_claims_replica_claim(claims, &record, now, &existing);
	pthread_mutex_unlock(&claims->lock);
	replica_send_reply(claims, PEER_CLAIM_REPLY, claim, verdict, &existing,
			   now);
}

void entry_claims_on_settle(void *context, const peer_message_t *message,
			    usec_t now)
{
	const peer_claim_t *claim = &message->body.peer_body_t_u.claim;
	entry_claims_t *claims = context;
	claim_record_t record;

	entry_claims_unpack(&record, &claim->record, now);
	if (record.state < CLAIM_RELEASED || record.state > CLAIM_UNKNOWN)
		return;
	pthread_mutex_lock(&claims->lock);
	claim_replica_settle(claims->replica, &record, now);
	pthread_mutex_unlock(&claims->lock);
	replica_send_reply(claims, PEER_SETTLED, claim, CLAIM_GRANTED, &record,
			   now);
}

/* Whether the entry at an address is a replica of a key. */
static bool replica_is_assigned(const entry_claims_t *claims,
				const claim_key_t *key, const char *address)
{
	char replicas[CLAIM_REPLICAS_MAX][HL_ADDRESS_MAX];
	unsigned count = entry_claims_replicas(claims, key, replicas);
	unsigned i;

	for (i = 0; i < count; i++)
		if (!strcmp(replicas[i], address))
			return true;
	return false;
}

/* Whether this replica has the records of all unexpired claims that it has
   granted, also before a restart. The caller holds claims->lock. */
static bool replica_is_complete(const entry_claims_t *claims, usec_t now)
{
	unsigned i;

	if (claim_replica_complete(claims->replica, now))
		return true;
	for (i = 0; i < claims->sibling_count; i++)
		if (!claims->siblings[i].synced)
			return false;
	return true;
}

/* Fills a page with the records after page->after, of the keys that have the
   requesting entry as a replica. */
static void replica_fill_page(entry_claims_t *claims, peer_claim_page_t *page,
			      const char *requester, usec_t now)
{
	claim_key_t after = { page->after.high, page->after.low };
	const claim_record_t *record;

	page->last = true;
	while ((record = claim_replica_next(claims->replica, &after))) {
		if (page->records.records_len == PEER_CLAIM_PAGE_MAX) {
			page->last = false;
			break;
		}
		after = record->key;
		if (replica_is_assigned(claims, &record->key, requester))
			entry_claims_pack(
				&page->records.records_val
					 [page->records.records_len++],
				record, now);
	}
	page->after.high = after.high;
	page->after.low = after.low;
}

void entry_claims_on_sync_request(void *context, const peer_message_t *message,
				  usec_t now)
{
	const peer_claim_sync_t *sync = &message->body.peer_body_t_u.claim_sync;
	peer_claim_record_t records[PEER_CLAIM_PAGE_MAX];
	peer_body_t body = { .kind = PEER_CLAIM_PAGE };
	peer_claim_page_t *page = &body.peer_body_t_u.claim_page;
	entry_claims_t *claims = context;

	page->replica = claims->self;
	page->after = sync->after;
	page->records.records_val = records;
	/* The strings of the page belong to the stored records, so the lock is
	   held until the page has been sent. */
	pthread_mutex_lock(&claims->lock);
	replica_fill_page(claims, page, sync->replica, now);
	page->complete = replica_is_complete(claims, now);
	member_send(claims->entry->member, sync->replica, &body);
	pthread_mutex_unlock(&claims->lock);
}

static claims_sibling_t *replica_find_sibling(entry_claims_t *claims,
					      const char *address)
{
	unsigned i;

	for (i = 0; i < claims->sibling_count; i++)
		if (!strcmp(claims->siblings[i].address, address))
			return &claims->siblings[i];
	return NULL;
}

static void replica_request_sync(entry_claims_t *claims,
				 claims_sibling_t *sibling)
{
	peer_body_t body = { .kind = PEER_CLAIM_SYNC };
	peer_claim_sync_t *sync = &body.peer_body_t_u.claim_sync;

	sync->replica = claims->self;
	sync->after.high = sibling->sync_after.high;
	sync->after.low = sibling->sync_after.low;
	sibling->asked = true;
	member_send(claims->entry->member, sibling->address, &body);
}

/* Goes on after a page of a sibling. One that is incomplete itself may still receive
   records with smaller keys: after its last page it is asked for all of them again if
   it was incomplete at any page. */
static void replica_on_page(entry_claims_t *claims, claims_sibling_t *sibling,
			    const peer_claim_page_t *page)
{
	sibling->asked = false;
	sibling->sync_after.high = page->after.high;
	sibling->sync_after.low = page->after.low;
	sibling->incomplete = sibling->incomplete || !page->complete;
	if (!page->last) {
		replica_request_sync(claims, sibling);
		return;
	}
	sibling->synced = !sibling->incomplete;
	sibling->incomplete = false;
	memset(&sibling->sync_after, 0, sizeof(sibling->sync_after));
}

void entry_claims_on_sync_page(void *context, const peer_message_t *message,
			       usec_t now)
{
	const peer_claim_page_t *page = &message->body.peer_body_t_u.claim_page;
	entry_claims_t *claims = context;
	claims_sibling_t *sibling;
	claim_record_t record;
	u_int i;

	pthread_mutex_lock(&claims->lock);
	sibling = replica_find_sibling(claims, page->replica);
	for (i = 0; i < page->records.records_len; i++) {
		entry_claims_unpack(&record, &page->records.records_val[i],
				    now);
		claim_replica_merge(claims->replica, &record, now);
	}
	/* A page that was not asked for is late: it can be the last one of an earlier
	   question. */
	if (sibling && !sibling->synced && sibling->asked)
		replica_on_page(claims, sibling, page);
	pthread_mutex_unlock(&claims->lock);
}

/* Requests records from the siblings until this replica is complete. */
static void replica_tick_sync(entry_claims_t *claims, usec_t now)
{
	unsigned i;

	claims->complete = replica_is_complete(claims, now);
	if (claims->complete) {
		log_event(LOG_LEVEL_NOTICE, "claims-complete", "records=%u",
			  claim_replica_count(claims->replica));
		return;
	}
	claims->sync_interval *= 2;
	if (claims->sync_interval < REPLICA_SYNC_INTERVAL_MIN)
		claims->sync_interval = REPLICA_SYNC_INTERVAL_MIN;
	if (claims->sync_interval > REPLICA_SYNC_INTERVAL_MAX)
		claims->sync_interval = REPLICA_SYNC_INTERVAL_MAX;
	claims->sync_due = now + claims->sync_interval;
	for (i = 0; i < claims->sibling_count; i++)
		if (!claims->siblings[i].synced)
			replica_request_sync(claims, &claims->siblings[i]);
}

usec_t entry_claims_replica_tick(entry_claims_t *claims, usec_t now)
{
	unsigned count;

	claim_replica_expire(claims->replica, now);
	count = claim_replica_count(claims->replica);
	metrics_set(claims->record_gauge, count);
	if (!claims->complete && now >= claims->sync_due)
		replica_tick_sync(claims, now);
	if (!claims->complete)
		return claims->sync_due;
	return count ? now + REPLICA_EXPIRE_INTERVAL : INT64_MAX;
}
