#include <stdlib.h>
#include <string.h>
#include "entry-claim-internal.h"

/* How often a home that has restarted asks each of the others: twice as long
   each time, since one that is away may stay so until all claims run out. */
#define HOME_SYNC_PERIOD_MIN (100 * USEC_PER_MS)
#define HOME_SYNC_PERIOD_MAX USEC_PER_SEC
/* How often a home that keeps records looks for some that have run out. */
#define HOME_EXPIRE_PERIOD (100 * USEC_PER_MS)

void entry_claims_pack(peer_claim_record_t *out, const claim_record_t *record,
		       usec_t now)
{
	usec_t left = record->expires > now ? record->expires - now : 0;

	out->key.high = record->key.high;
	out->key.low = record->key.low;
	out->id.runner = (char *)record->id.coordinator;
	out->id.boot = record->id.boot;
	out->id.number = record->id.number;
	out->fingerprint = record->fingerprint;
	out->state = record->state;
	out->status = record->status;
	out->hold_ms = (u_int)(left / USEC_PER_MS);
}

void entry_claims_unpack(claim_record_t *out, const peer_claim_record_t *record,
			 usec_t now)
{
	memset(out, 0, sizeof(*out));
	out->key.high = record->key.high;
	out->key.low = record->key.low;
	strncpy(out->id.coordinator, record->id.runner, HL_NAME_MAX - 1);
	out->id.boot = record->id.boot;
	out->id.number = record->id.number;
	out->fingerprint = record->fingerprint;
	out->state = (claim_state_t)record->state;
	out->status = record->status;
	out->expires = now + (usec_t)record->hold_ms * USEC_PER_MS;
}

unsigned entry_claims_homes(const entry_claims_t *claims,
			    const claim_key_t *key,
			    char (*homes)[HL_ADDRESS_MAX])
{
	const entry_claim_settings_t *settings =
		&claims->entry->settings.claims;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < ENTRY_CLAIM_GROUPS; i++) {
		const setting_list_t *group = &settings->groups[i];

		if (!group->count)
			continue;
		strcpy(homes[count++],
		       group->items[claim_key_replica(group->items,
						      group->count, key)]);
	}
	return count;
}

static bool home_sibling_told(const entry_claims_t *claims, const char *address)
{
	unsigned i;

	for (i = 0; i < claims->sibling_count; i++)
		if (!strcmp(claims->siblings[i].address, address))
			return claims->siblings[i].told;
	return false;
}

/* Whether the other homes of a key have told us all that they know. */
static bool home_is_informed(const entry_claims_t *claims,
			     const claim_key_t *key)
{
	char homes[CLAIM_REPLICAS_MAX][HL_ADDRESS_MAX];
	unsigned count = entry_claims_homes(claims, key, homes);
	unsigned i;

	for (i = 0; i < count; i++)
		if (strcmp(homes[i], claims->self) &&
		    !home_sibling_told(claims, homes[i]))
			return false;
	return true;
}

claim_verdict_t entry_claims_home_ask(entry_claims_t *claims,
				      const claim_record_t *record, usec_t now,
				      claim_record_t *known)
{
	return claim_replica_claim(claims->home, record,
				   home_is_informed(claims, &record->key), now,
				   known);
}

static void home_reply(entry_claims_t *claims, peer_kind_t kind,
		       const peer_claim_t *claim, claim_verdict_t verdict,
		       const claim_record_t *known, usec_t now)
{
	peer_body_t body = { .kind = kind };
	peer_claim_reply_t *reply = &body.peer_body_t_u.claim_reply;

	reply->home = claims->self;
	reply->asked = claim->record.id;
	reply->key = claim->record.key;
	reply->verdict = verdict;
	entry_claims_pack(&reply->known, known, now);
	member_send(claims->entry->member, claim->reply_to, &body);
}

void entry_claims_on_claim(void *context, const peer_message_t *message,
			   usec_t now)
{
	const peer_claim_t *claim = &message->body.peer_body_t_u.claim;
	entry_claims_t *claims = context;
	claim_record_t record;
	claim_record_t known;
	claim_verdict_t verdict;

	entry_claims_unpack(&record, &claim->record, now);
	if (record.state != CLAIM_OPEN)
		return;
	pthread_mutex_lock(&claims->lock);
	verdict = entry_claims_home_ask(claims, &record, now, &known);
	pthread_mutex_unlock(&claims->lock);
	home_reply(claims, PEER_CLAIM_REPLY, claim, verdict, &known, now);
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
	claim_replica_settle(claims->home, &record, now);
	pthread_mutex_unlock(&claims->lock);
	home_reply(claims, PEER_SETTLED, claim, CLAIM_GRANTED, &record, now);
}

/* Whether an address is a home of a key. */
static bool home_is_home(const entry_claims_t *claims, const claim_key_t *key,
			 const char *address)
{
	char homes[CLAIM_REPLICAS_MAX][HL_ADDRESS_MAX];
	unsigned count = entry_claims_homes(claims, key, homes);
	unsigned i;

	for (i = 0; i < count; i++)
		if (!strcmp(homes[i], address))
			return true;
	return false;
}

/* Do we know all that was ever claimed here? Lock held. */
static bool home_is_complete(const entry_claims_t *claims, usec_t now)
{
	unsigned i;

	if (claim_replica_complete(claims->home, now))
		return true;
	for (i = 0; i < claims->sibling_count; i++)
		if (!claims->siblings[i].told)
			return false;
	return true;
}

/* Fill a page with the records after a key that concern the asker. */
static void home_fill_page(entry_claims_t *claims, peer_claim_page_t *page,
			   const char *asker, usec_t now)
{
	claim_key_t after = { page->after.high, page->after.low };
	const claim_record_t *record;

	page->last = true;
	while ((record = claim_replica_next(claims->home, &after))) {
		if (page->records.records_len == PEER_CLAIM_PAGE_MAX) {
			page->last = false;
			break;
		}
		after = record->key;
		if (home_is_home(claims, &record->key, asker))
			entry_claims_pack(
				&page->records.records_val
					 [page->records.records_len++],
				record, now);
	}
	page->after.high = after.high;
	page->after.low = after.low;
}

void entry_claims_on_sync(void *context, const peer_message_t *message,
			  usec_t now)
{
	const peer_claim_sync_t *sync = &message->body.peer_body_t_u.claim_sync;
	peer_claim_record_t records[PEER_CLAIM_PAGE_MAX];
	peer_body_t body = { .kind = PEER_CLAIM_PAGE };
	peer_claim_page_t *page = &body.peer_body_t_u.claim_page;
	entry_claims_t *claims = context;

	page->home = claims->self;
	page->after = sync->after;
	page->records.records_val = records;
	/* The records' strings are the table's, so send under its lock. */
	pthread_mutex_lock(&claims->lock);
	home_fill_page(claims, page, sync->home, now);
	page->complete = home_is_complete(claims, now);
	member_send(claims->entry->member, sync->home, &body);
	pthread_mutex_unlock(&claims->lock);
}

static claims_sibling_t *home_sibling(entry_claims_t *claims,
				      const char *address)
{
	unsigned i;

	for (i = 0; i < claims->sibling_count; i++)
		if (!strcmp(claims->siblings[i].address, address))
			return &claims->siblings[i];
	return NULL;
}

static void home_ask_sync(entry_claims_t *claims,
			  const claims_sibling_t *sibling)
{
	peer_body_t body = { .kind = PEER_CLAIM_SYNC };
	peer_claim_sync_t *sync = &body.peer_body_t_u.claim_sync;

	sync->home = claims->self;
	sync->after.high = sibling->after.high;
	sync->after.low = sibling->after.low;
	member_send(claims->entry->member, sibling->address, &body);
}

void entry_claims_on_page(void *context, const peer_message_t *message,
			  usec_t now)
{
	const peer_claim_page_t *page = &message->body.peer_body_t_u.claim_page;
	entry_claims_t *claims = context;
	claims_sibling_t *sibling;
	claim_record_t record;
	u_int i;

	pthread_mutex_lock(&claims->lock);
	sibling = home_sibling(claims, page->home);
	for (i = 0; i < page->records.records_len; i++) {
		entry_claims_unpack(&record, &page->records.records_val[i],
				    now);
		claim_replica_merge(claims->home, &record, now);
	}
	if (sibling && !sibling->told) {
		sibling->after.high = page->after.high;
		sibling->after.low = page->after.low;
		sibling->told = page->last && page->complete;
		/* A page that was last of an incomplete home: start again. */
		if (page->last && !page->complete)
			memset(&sibling->after, 0, sizeof(sibling->after));
		else if (!page->last)
			home_ask_sync(claims, sibling);
	}
	pthread_mutex_unlock(&claims->lock);
}

/* Ask the other homes until all that was claimed here is known again. */
static void home_tick_sync(entry_claims_t *claims, usec_t now)
{
	unsigned i;

	claims->complete = home_is_complete(claims, now);
	if (claims->complete) {
		log_event(LOG_LEVEL_NOTICE, "claims-complete", "records=%u",
			  claim_replica_count(claims->home));
		return;
	}
	claims->sync_period *= 2;
	if (claims->sync_period < HOME_SYNC_PERIOD_MIN)
		claims->sync_period = HOME_SYNC_PERIOD_MIN;
	if (claims->sync_period > HOME_SYNC_PERIOD_MAX)
		claims->sync_period = HOME_SYNC_PERIOD_MAX;
	claims->sync_again = now + claims->sync_period;
	for (i = 0; i < claims->sibling_count; i++)
		if (!claims->siblings[i].told)
			home_ask_sync(claims, &claims->siblings[i]);
}

usec_t entry_claims_home_tick(entry_claims_t *claims, usec_t now)
{
	unsigned count;

	claim_replica_expire(claims->home, now);
	count = claim_replica_count(claims->home);
	metrics_set(claims->records, count);
	if (!claims->complete && now >= claims->sync_again)
		home_tick_sync(claims, now);
	if (!claims->complete)
		return claims->sync_again;
	return count ? now + HOME_EXPIRE_PERIOD : INT64_MAX;
}
