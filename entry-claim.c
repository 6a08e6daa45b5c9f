#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-claim-internal.h"

/* Coordinator of claims: claims keys at their replicas and settles them. */

/* Interval at which a claim is sent again to replicas that did not grant it. */
#define CLAIM_RETRY_INTERVAL (20 * USEC_PER_MS)
/* Interval at which an unconfirmed settlement is sent again, and the time after
   which it is given up. */
#define CLAIM_SETTLE_INTERVAL (100 * USEC_PER_MS)
#define CLAIM_SETTLE_TIMEOUT (30 * USEC_PER_SEC)

void entry_claims_send(entry_claims_t *claims, peer_kind_t kind,
		       const claim_record_t *record, const char *replica,
		       usec_t now)
{
	peer_body_t body = { .kind = kind };
	peer_claim_t *claim = &body.peer_body_t_u.claim;

	entry_claims_pack(&claim->record, record, now);
	claim->reply_to = claims->self;
	member_send(claims->entry->member, replica, &body);
}

/* Sends a claim to the replicas that have not granted it. The caller holds
   claims->lock. */
static void claim_send_requests(entry_claims_t *claims, entry_claim_t *claim,
				usec_t now)
{
	claim_record_t existing;
	claim_verdict_t verdict;
	unsigned i;

	claim->quorum.retry_at = now + CLAIM_RETRY_INTERVAL;
	for (i = 0; i < claim->replica_count; i++) {
		if (claim->quorum.responses[i] == CLAIM_GRANTED)
			continue;
		if (strcmp(claim->replicas[i], claims->self)) {
			entry_claims_send(claims, PEER_CLAIM,
					  &claim->quorum.record,
					  claim->replicas[i], now);
			continue;
		}
		verdict = entry_claims_replica_claim(claims,
						     &claim->quorum.record, now,
						     &existing);
		claim_quorum_on_response(&claim->quorum, i, verdict, &existing);
	}
}

/* Sends a settlement to the replicas that have not confirmed it. The caller
   holds claims->lock. */
static void claim_send_settlements(entry_claims_t *claims, entry_claim_t *claim,
				   usec_t now)
{
	unsigned i;

	claim->quorum.retry_at = now + CLAIM_SETTLE_INTERVAL;
	for (i = 0; i < claim->replica_count; i++) {
		if (claim->settled[i])
			continue;
		if (strcmp(claim->replicas[i], claims->self)) {
			entry_claims_send(claims, PEER_SETTLE,
					  &claim->quorum.record,
					  claim->replicas[i], now);
			continue;
		}
		claim_replica_settle(claims->replica, &claim->quorum.record,
				     now);
		claim->settled[i] = true;
	}
}

static bool claim_is_settled(const entry_claim_t *claim)
{
	unsigned i;

	for (i = 0; i < claim->replica_count; i++)
		if (!claim->settled[i])
			return false;
	return true;
}

static void claim_remove(entry_claims_t *claims, entry_claim_t *claim)
{
	g_hash_table_remove(claims->by_number, &claim->quorum.record.id.number);
	cds_list_del(&claim->link);
	free(claim);
}

/* Starts to settle a claim whose request no longer refers to it. */
static void claim_begin_settle(entry_claims_t *claims, entry_claim_t *claim,
			       claim_state_t state, unsigned status, usec_t now)
{
	claim->quorum.record.state = state;
	claim->quorum.record.status = status;
	claim->quorum.deadline = now + CLAIM_SETTLE_TIMEOUT;
	pthread_mutex_lock(&claims->lock);
	cds_list_del(&claim->link);
	cds_list_add_tail(&claim->link, &claims->settling);
	claim_send_settlements(claims, claim, now);
	pthread_mutex_unlock(&claims->lock);
	entry_tick_schedule(claims->entry, now + CLAIM_SETTLE_INTERVAL);
}

void entry_claims_end(entry_request_t *req)
{
	entry_claims_t *claims = req->entry->claims;
	entry_claim_t *claim = req->claim;
	claim_state_t state = CLAIM_RAN;

	if (!claim)
		return;
	req->claim = NULL;
	if (req->response.truncated ||
	    req->response.outcome == ENTRY_MAY_HAVE_RUN)
		state = CLAIM_UNKNOWN;
	else if (req->response.outcome == ENTRY_NOT_RUN)
		state = CLAIM_RELEASED;
	else if (!req->response.published)
		entry_claims_store_response(claims, &claim->quorum.record,
					    &req->response);
	claim_begin_settle(claims, claim, state, req->response.status,
			   time_now());
}

/* Answers a request whose key is claimed by another call. */
static void claim_refuse_duplicate(entry_request_t *req,
				   const claim_record_t *existing,
				   uint64_t fingerprint)
{
	entry_claims_t *claims = req->entry->claims;

	if (existing->fingerprint != fingerprint) {
		entry_request_fail(req, HTTP_UNPROCESSABLE, ENTRY_NOT_RUN,
				   "key-reused", 0);
		return;
	}
	if (existing->state == CLAIM_RAN) {
		entry_claims_replay_response(claims, req, existing);
		return;
	}
	entry_request_fail(req, HTTP_CONFLICT, ENTRY_MAY_HAVE_RUN, "key",
			   existing->state == CLAIM_OPEN ? USEC_PER_SEC : 0);
}

static bool claim_caller_gone(entry_request_t *req)
{
	bool gone;

	pthread_mutex_lock(&req->lock);
	gone = req->cancelled;
	pthread_mutex_unlock(&req->lock);
	return gone;
}

/* Dispatches or refuses the request of a claim that has a result. */
static void claim_complete(entry_claims_t *claims, entry_claim_t *claim,
			   claim_result_t result, usec_t now)
{
	entry_request_t *req = claim->req;
	claim_record_t existing = claim->quorum.conflict;
	uint64_t fingerprint = claim->quorum.record.fingerprint;

	claim->req = NULL;
	metrics_add(claims->result_counters[result], 1);
	if (result == CLAIM_WON) {
		req->claim = claim;
		if (claim_caller_gone(req)) {
			entry_request_fail_cancelled(req, ENTRY_NOT_RUN);
		} else {
			entry_forward_to_owner(req);
			entry_dispatch_arrive(req, now);
		}
	} else {
		claim_begin_settle(claims, claim, CLAIM_RELEASED, 0, now);
		if (result == CLAIM_LOST)
			claim_refuse_duplicate(req, &existing, fingerprint);
		else
			entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN,
					   "key", USEC_PER_SEC);
	}
	entry_request_unref(req);
}

/* Removes a claim that has a result from the list of pending claims and returns
   the result. The caller holds claims->lock. */
static claim_result_t claim_decide(entry_claims_t *claims, entry_claim_t *claim,
				   usec_t now)
{
	claim_result_t result = claim_quorum_result(&claim->quorum, now);

	if (result == CLAIM_PENDING)
		return result;
	claim->decided = true;
	cds_list_del(&claim->link);
	cds_list_add_tail(&claim->link, &claims->decided);
	return result;
}

static void claim_init(entry_claims_t *claims, entry_claim_t *claim,
		       entry_request_t *req, usec_t now)
{
	claim_record_t record = { .state = CLAIM_OPEN };
	usec_t retention = entry_claims_retention(req);
	usec_t deadline = now + claims->entry->settings.claims.timeout_ms *
					USEC_PER_MS;

	record.key = claim_key_make(req->upstream->name, req->tenant, req->key);
	strcpy(record.id.coordinator, claims->entry->settings.name);
	record.id.boot = claims->boot;
	record.fingerprint = entry_claims_fingerprint(req);
	record.expires = now + retention;
	claim->replica_count = entry_claims_replicas(claims, &record.key,
						     claim->replicas);
	if (deadline > req->call.deadline)
		deadline = req->call.deadline;
	claim_quorum_begin(&claim->quorum, &record, claim->replica_count,
			   deadline);
}

void entry_claims_start(entry_request_t *req, usec_t now)
{
	entry_claims_t *claims = req->entry->claims;
	entry_claim_t *claim = calloc(1, sizeof(*claim));
	claim_result_t result;

	if (!claim) {
		entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN, "key",
				   USEC_PER_SEC);
		return;
	}
	claim_init(claims, claim, req, now);
	entry_request_ref(req);
	claim->req = req;
	pthread_mutex_lock(&claims->lock);
	claim->quorum.record.id.number = ++claims->last_number;
	g_hash_table_insert(claims->by_number, &claim->quorum.record.id.number,
			    claim);
	cds_list_add_tail(&claim->link, &claims->pending);
	claim_send_requests(claims, claim, now);
	result = claim_decide(claims, claim, now);
	pthread_mutex_unlock(&claims->lock);
	if (result != CLAIM_PENDING)
		claim_complete(claims, claim, result, now);
	else
		entry_tick_schedule_soon(claims->entry, now);
}

/* Returns the index of a replica of the claim, or the number of replicas if the
   address is none of them. */
static unsigned claim_find_replica(const entry_claim_t *claim,
				   const char *replica)
{
	unsigned i;

	for (i = 0; i < claim->replica_count; i++)
		if (!strcmp(claim->replicas[i], replica))
			break;
	return i;
}

static bool claim_is_ours(const entry_claims_t *claims,
			  const peer_claim_id_t *id)
{
	return id->boot == claims->boot &&
	       !strcmp(id->coordinator, claims->entry->settings.name);
}

void entry_claims_on_claim_reply(void *context, const peer_message_t *message,
				 usec_t now)
{
	const peer_claim_reply_t *reply =
		&message->body.peer_body_t_u.claim_reply;
	entry_claims_t *claims = context;
	claim_result_t result = CLAIM_PENDING;
	claim_record_t existing;
	entry_claim_t *claim;

	if (!claim_is_ours(claims, &reply->claim_id))
		return;
	entry_claims_unpack(&existing, &reply->existing, now);
	pthread_mutex_lock(&claims->lock);
	claim = g_hash_table_lookup(claims->by_number, &reply->claim_id.number);
	if (claim && !claim->decided) {
		claim_quorum_on_response(&claim->quorum,
					 claim_find_replica(claim,
							    reply->replica),
					 (claim_verdict_t)reply->verdict,
					 &existing);
		result = claim_decide(claims, claim, now);
	}
	pthread_mutex_unlock(&claims->lock);
	if (result != CLAIM_PENDING)
		claim_complete(claims, claim, result, now);
}

void entry_claims_on_settled(void *context, const peer_message_t *message,
			     usec_t now)
{
	const peer_claim_reply_t *reply =
		&message->body.peer_body_t_u.claim_reply;
	entry_claims_t *claims = context;
	entry_claim_t *claim;
	unsigned replica;

	(void)now;
	if (!claim_is_ours(claims, &reply->claim_id))
		return;
	pthread_mutex_lock(&claims->lock);
	claim = g_hash_table_lookup(claims->by_number, &reply->claim_id.number);
	if (claim && claim->quorum.record.state != CLAIM_OPEN) {
		replica = claim_find_replica(claim, reply->replica);
		if (replica < claim->replica_count)
			claim->settled[replica] = true;
	}
	pthread_mutex_unlock(&claims->lock);
}

/* Repeats pending claims. Returns the first one with a result, on which the
   caller acts after releasing claims->lock, or NULL. The caller holds
   claims->lock. */
static entry_claim_t *claim_tick_pending(entry_claims_t *claims, usec_t now,
					 claim_result_t *result)
{
	entry_claim_t *claim;
	entry_claim_t *next;

	cds_list_for_each_entry_safe (claim, next, &claims->pending, link) {
		if (now >= claim->quorum.retry_at)
			claim_send_requests(claims, claim, now);
		*result = claim_decide(claims, claim, now);
		if (*result != CLAIM_PENDING)
			return claim;
	}
	return NULL;
}

/* Repeats settlements; returns when to call the function again. The caller
   holds claims->lock. */
static usec_t claim_tick_settling(entry_claims_t *claims, usec_t now)
{
	usec_t due = INT64_MAX;
	entry_claim_t *claim;
	entry_claim_t *next;

	cds_list_for_each_entry_safe (claim, next, &claims->settling, link) {
		if (claim_is_settled(claim) || now >= claim->quorum.deadline) {
			claim_remove(claims, claim);
			continue;
		}
		if (now >= claim->quorum.retry_at)
			claim_send_settlements(claims, claim, now);
		if (claim->quorum.retry_at < due)
			due = claim->quorum.retry_at;
	}
	return due;
}

/* Runs the timers other than those of pending claims; returns when to call the
   function again. The caller holds claims->lock. */
static usec_t claim_tick_background(entry_claims_t *claims, usec_t now)
{
	usec_t settle = claim_tick_settling(claims, now);
	usec_t replica = entry_claims_replica_tick(claims, now);

	if (!cds_list_empty(&claims->pending))
		return now;
	return settle < replica ? settle : replica;
}

usec_t entry_claims_tick(entry_claims_t *claims, usec_t now)
{
	usec_t due = now;
	entry_claim_t *claim;
	claim_result_t result;

	do {
		pthread_mutex_lock(&claims->lock);
		claim = claim_tick_pending(claims, now, &result);
		if (!claim)
			due = claim_tick_background(claims, now);
		pthread_mutex_unlock(&claims->lock);
		if (claim)
			claim_complete(claims, claim, result, now);
	} while (claim);
	return due;
}
