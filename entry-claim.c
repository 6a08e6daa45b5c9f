#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-claim-internal.h"

/* How long a home may take before it is asked again. */
#define CLAIM_ASK_PERIOD (20 * USEC_PER_MS)
/* How often, and how long, an end is told to homes that do not confirm it. */
#define CLAIM_SETTLE_PERIOD (100 * USEC_PER_MS)
#define CLAIM_SETTLE_TIME (30 * USEC_PER_SEC)
#define HTTP_CONFLICT 409
#define HTTP_UNPROCESSABLE 422
#define HTTP_UNAVAILABLE 503

void entry_claims_tell(entry_claims_t *claims, peer_kind_t kind,
		       const claim_record_t *record, const char *home,
		       usec_t now)
{
	peer_body_t body = { .kind = kind };
	peer_claim_t *claim = &body.peer_body_t_u.claim;

	entry_claims_pack(&claim->record, record, now);
	claim->reply_to = claims->self;
	member_send(claims->entry->member, home, &body);
}

/* Ask the homes that have not decided yet. Lock held. */
static void claim_ask(entry_claims_t *claims, entry_claim_t *claim, usec_t now)
{
	claim_record_t known;
	claim_verdict_t verdict;
	unsigned i;

	claim->run.retry_at = now + CLAIM_ASK_PERIOD;
	for (i = 0; i < claim->home_count; i++) {
		if (claim->run.responses[i] == CLAIM_GRANTED)
			continue;
		if (strcmp(claim->homes[i], claims->self)) {
			entry_claims_tell(claims, PEER_CLAIM,
					  &claim->run.record, claim->homes[i],
					  now);
			continue;
		}
		verdict = entry_claims_home_ask(claims, &claim->run.record, now,
						&known);
		claim_quorum_on_response(&claim->run, i, verdict, &known);
	}
}

/* Tell the homes that have not confirmed how it ended. Lock held. */
static void claim_settle(entry_claims_t *claims, entry_claim_t *claim,
			 usec_t now)
{
	unsigned i;

	claim->run.retry_at = now + CLAIM_SETTLE_PERIOD;
	for (i = 0; i < claim->home_count; i++) {
		if (claim->settled[i])
			continue;
		if (strcmp(claim->homes[i], claims->self)) {
			entry_claims_tell(claims, PEER_SETTLE,
					  &claim->run.record, claim->homes[i],
					  now);
			continue;
		}
		claim_replica_settle(claims->home, &claim->run.record, now);
		claim->settled[i] = true;
	}
}

static bool claim_is_settled(const entry_claim_t *claim)
{
	unsigned i;

	for (i = 0; i < claim->home_count; i++)
		if (!claim->settled[i])
			return false;
	return true;
}

static void claim_drop(entry_claims_t *claims, entry_claim_t *claim)
{
	g_hash_table_remove(claims->by_number, &claim->run.record.id.number);
	cds_list_del(&claim->link);
	free(claim);
}

/* From asking to settling: the request has let go of its claim. */
static void claim_begin_settle(entry_claims_t *claims, entry_claim_t *claim,
			       claim_state_t state, unsigned status, usec_t now)
{
	claim->run.record.state = state;
	claim->run.record.status = status;
	claim->run.deadline = now + CLAIM_SETTLE_TIME;
	pthread_mutex_lock(&claims->lock);
	cds_list_del(&claim->link);
	cds_list_add_tail(&claim->link, &claims->settling);
	claim_settle(claims, claim, now);
	pthread_mutex_unlock(&claims->lock);
	entry_tick_schedule(claims->entry, now + CLAIM_SETTLE_PERIOD);
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
		entry_claims_keep(claims, &claim->run.record.key,
				  &req->response);
	claim_begin_settle(claims, claim, state, req->response.status,
			   time_now());
}

/* Another call has the key: its answer if there is one, or what is known. */
static void claim_lost(entry_request_t *req, const claim_record_t *known,
		       uint64_t fingerprint)
{
	entry_claims_t *claims = req->entry->claims;

	if (known->fingerprint != fingerprint) {
		entry_request_fail(req, HTTP_UNPROCESSABLE, ENTRY_NOT_RUN,
				   "key-reused", 0);
		return;
	}
	if (known->state == CLAIM_RAN) {
		entry_claims_repeat(claims, req, known);
		return;
	}
	entry_request_fail(req, HTTP_CONFLICT, ENTRY_MAY_HAVE_RUN, "key",
			   known->state == CLAIM_OPEN ? USEC_PER_SEC : 0);
}

static bool claim_request_gone(entry_request_t *req)
{
	bool gone;

	pthread_mutex_lock(&req->lock);
	gone = req->cancelled;
	pthread_mutex_unlock(&req->lock);
	return gone;
}

/* The claim is decided and out of the list of those that ask. */
static void claim_act(entry_claims_t *claims, entry_claim_t *claim,
		      claim_result_t result, usec_t now)
{
	entry_request_t *req = claim->req;
	claim_record_t known = claim->run.conflict;
	uint64_t fingerprint = claim->run.record.fingerprint;

	claim->req = NULL;
	metrics_add(claims->results[result], 1);
	if (result == CLAIM_WON) {
		req->claim = claim;
		if (claim_request_gone(req)) {
			entry_request_fail(req, 499, ENTRY_NOT_RUN, "gone", 0);
		} else {
			entry_forward_to_owner(req);
			entry_dispatch_arrive(req, now);
		}
	} else {
		claim_begin_settle(claims, claim, CLAIM_RELEASED, 0, now);
		if (result == CLAIM_LOST)
			claim_lost(req, &known, fingerprint);
		else
			entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN,
					   "key", USEC_PER_SEC);
	}
	entry_request_unref(req);
}

/* Take a claim that is decided out of the asking ones. Lock held. */
static claim_result_t claim_decide(entry_claims_t *claims, entry_claim_t *claim,
				   usec_t now)
{
	claim_result_t result = claim_quorum_result(&claim->run, now);

	if (result == CLAIM_PENDING)
		return result;
	claim->decided = true;
	cds_list_del(&claim->link);
	cds_list_add_tail(&claim->link, &claims->won);
	return result;
}

static void claim_fill(entry_claims_t *claims, entry_claim_t *claim,
		       entry_request_t *req, usec_t now)
{
	claim_record_t record = { .state = CLAIM_OPEN };
	usec_t hold = entry_claims_hold(req);
	usec_t give_up = now + claims->entry->settings.claims.timeout_ms *
				       USEC_PER_MS;

	record.key = claim_key_make(req->route->name, req->tenant, req->key);
	strcpy(record.id.coordinator, claims->entry->settings.name);
	record.id.boot = claims->boot;
	record.fingerprint = entry_claims_fingerprint(req);
	record.expires = now + hold;
	claim->home_count = entry_claims_homes(claims, &record.key,
					       claim->homes);
	if (give_up > req->call.deadline)
		give_up = req->call.deadline;
	claim_quorum_begin(&claim->run, &record, claim->home_count, give_up);
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
	claim_fill(claims, claim, req, now);
	entry_request_ref(req);
	claim->req = req;
	pthread_mutex_lock(&claims->lock);
	claim->run.record.id.number = ++claims->last_number;
	g_hash_table_insert(claims->by_number, &claim->run.record.id.number,
			    claim);
	cds_list_add_tail(&claim->link, &claims->asking);
	claim_ask(claims, claim, now);
	result = claim_decide(claims, claim, now);
	pthread_mutex_unlock(&claims->lock);
	if (result != CLAIM_PENDING)
		claim_act(claims, claim, result, now);
	else
		entry_tick_schedule_soon(claims->entry, now);
}

/* The number of the home that answers, or the count when it is none. */
static unsigned claim_home_index(const entry_claim_t *claim, const char *home)
{
	unsigned i;

	for (i = 0; i < claim->home_count; i++)
		if (!strcmp(claim->homes[i], home))
			break;
	return i;
}

static bool claim_is_ours(const entry_claims_t *claims,
			  const peer_claim_id_t *id)
{
	return id->boot == claims->boot &&
	       !strcmp(id->runner, claims->entry->settings.name);
}

void entry_claims_on_reply(void *context, const peer_message_t *message,
			   usec_t now)
{
	const peer_claim_reply_t *reply =
		&message->body.peer_body_t_u.claim_reply;
	entry_claims_t *claims = context;
	claim_result_t result = CLAIM_PENDING;
	claim_record_t known;
	entry_claim_t *claim;

	if (!claim_is_ours(claims, &reply->asked))
		return;
	entry_claims_unpack(&known, &reply->known, now);
	pthread_mutex_lock(&claims->lock);
	claim = g_hash_table_lookup(claims->by_number, &reply->asked.number);
	if (claim && !claim->decided) {
		claim_quorum_on_response(&claim->run,
					 claim_home_index(claim, reply->home),
					 (claim_verdict_t)reply->verdict,
					 &known);
		result = claim_decide(claims, claim, now);
	}
	pthread_mutex_unlock(&claims->lock);
	if (result != CLAIM_PENDING)
		claim_act(claims, claim, result, now);
}

void entry_claims_on_settled(void *context, const peer_message_t *message,
			     usec_t now)
{
	const peer_claim_reply_t *reply =
		&message->body.peer_body_t_u.claim_reply;
	entry_claims_t *claims = context;
	entry_claim_t *claim;
	unsigned home;

	(void)now;
	if (!claim_is_ours(claims, &reply->asked))
		return;
	pthread_mutex_lock(&claims->lock);
	claim = g_hash_table_lookup(claims->by_number, &reply->asked.number);
	if (claim && claim->run.record.state != CLAIM_OPEN) {
		home = claim_home_index(claim, reply->home);
		if (home < claim->home_count)
			claim->settled[home] = true;
	}
	pthread_mutex_unlock(&claims->lock);
}

/* Ask again and give up; one decided claim at a time, to act unlocked. */
static entry_claim_t *claim_tick_asking(entry_claims_t *claims, usec_t now,
					claim_result_t *result)
{
	entry_claim_t *claim;
	entry_claim_t *next;

	cds_list_for_each_entry_safe (claim, next, &claims->asking, link) {
		if (now >= claim->run.retry_at)
			claim_ask(claims, claim, now);
		*result = claim_decide(claims, claim, now);
		if (*result != CLAIM_PENDING)
			return claim;
	}
	return NULL;
}

/* Tell again how claims ended; when to do so next. */
static usec_t claim_tick_settling(entry_claims_t *claims, usec_t now)
{
	usec_t due = INT64_MAX;
	entry_claim_t *claim;
	entry_claim_t *next;

	cds_list_for_each_entry_safe (claim, next, &claims->settling, link) {
		if (claim_is_settled(claim) || now >= claim->run.deadline) {
			claim_drop(claims, claim);
			continue;
		}
		if (now >= claim->run.retry_at)
			claim_settle(claims, claim, now);
		if (claim->run.retry_at < due)
			due = claim->run.retry_at;
	}
	return due;
}

/* What is left once no claim is to be acted on; when to look again. */
static usec_t claim_tick_rest(entry_claims_t *claims, usec_t now)
{
	usec_t settle = claim_tick_settling(claims, now);
	usec_t home = entry_claims_home_tick(claims, now);

	if (!cds_list_empty(&claims->asking))
		return now;
	return settle < home ? settle : home;
}

usec_t entry_claims_tick(entry_claims_t *claims, usec_t now)
{
	usec_t due = now;
	entry_claim_t *claim;
	claim_result_t result;

	do {
		pthread_mutex_lock(&claims->lock);
		claim = claim_tick_asking(claims, now, &result);
		if (!claim)
			due = claim_tick_rest(claims, now);
		pthread_mutex_unlock(&claims->lock);
		if (claim)
			claim_act(claims, claim, result, now);
	} while (claim);
	return due;
}
