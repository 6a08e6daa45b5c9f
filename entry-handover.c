#include <string.h>
#include "entry-decide.h"
#include "entry-io.h"

/*
 * Hand-over of calls to sibling entries with entry.routed: a call that this
 * entry cannot send to any copy is relayed by an entry that may reach one. A
 * sibling does not hand it over again; one that cannot serve it refuses it at
 * once, and then another one is tried.
 *
 * An entry is impaired for a service if it lacks paths to many of its copies,
 * see entry-reach.c.
 */

/* Max number of siblings that a call is sent to: while this entry is impaired,
   and if a call was refused although it is not. */
#define HANDOVER_TRIES_IMPAIRED 4
#define HANDOVER_TRIES_REFUSED 1
/* Time for which a sibling that could not serve a call gets no calls. */
#define HANDOVER_UNFIT_TIME USEC_PER_SEC
/* Time for which calls wait for the copies that this entry reaches, after no
   sibling had room for one. */
#define HANDOVER_ALIKE_TIME (500 * USEC_PER_MS)
/* Time since its arrival for which a call waits for the answers of siblings, while
   this entry reaches no copy and does not know which sibling does. */
#define HANDOVER_ANSWERS_WAIT (200 * USEC_PER_MS)
/* Time that must remain until the deadline of a call. */
#define HANDOVER_TIME_MIN (20 * USEC_PER_MS)

bool entry_handover_is_active(const entry_request_t *req)
{
	return req->forward && req->handovers;
}

/* Whether no copy has begun to run a call, or it may run again. The caller holds
   upstream->lock. */
static bool handover_is_safe(const entry_request_t *req)
{
	const entry_call_t *call = &req->call;
	unsigned sent = call->attempts - call->unsent_attempts;

	if (req->body_consumed || req->response.published)
		return false;
	if (!sent && call->outcome == ENTRY_NOT_RUN)
		return true;
	return call->idempotent && !call->not_replayable && !call->no_retry &&
	       sent < call->attempts_max;
}

/* Whether a call may be sent to a sibling now; charges the retry budget for one
   that was sent to a copy before. */
static bool handover_allowed(entry_request_t *req, unsigned tries, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool allowed;

	if (!req->entry->presence || *req->forwarded_by ||
	    req->handovers >= tries ||
	    now + HANDOVER_TIME_MIN >= req->call.deadline)
		return false;
	pthread_mutex_lock(&upstream->lock);
	allowed = handover_is_safe(req);
	if (allowed && req->call.attempts > req->call.unsent_attempts)
		allowed = entry_service_pay_repeat(&upstream->service,
						   &req->call, now);
	pthread_mutex_unlock(&upstream->lock);
	return allowed;
}

/* Chooses a random sibling that is not known to be unfit; "" if there is none. Sets
   @count to the number of such siblings. */
static void handover_choose_any(entry_t *entry, char *address, unsigned *count,
				usec_t now)
{
	presence_peers_list_t peers;
	unsigned fit[PRESENCE_PEERS_MAX];
	unsigned i;

	*count = 0;
	*address = '\0';
	presence_client_peers(entry->presence, now, &peers);
	for (i = 0; i < peers.count; i++)
		if (strcmp(peers.addresses[i], entry->call_address) &&
		    entry_forward_is_fit(entry->forward, peers.addresses[i],
					 now))
			fit[(*count)++] = i;
	if (!*count)
		return;
	i = (unsigned)g_random_int_range(0, (gint32)*count);
	strcpy(address, peers.addresses[fit[i]]);
}

/* Returns the pool of a sibling for a call, or NULL; sets @count to the number of
   siblings that it was chosen from. While this entry lacks paths to copies of the
   service, siblings are asked whether they reach these. */
static entry_conn_pool_t *handover_choose(entry_request_t *req, unsigned *count,
					  usec_t now)
{
	char address[HL_ADDRESS_MAX];
	entry_t *entry = req->entry;

	if (!entry_sibling_choose(req->upstream, address, count, now))
		handover_choose_any(entry, address, count, now);
	if (!*address)
		return NULL;
	return entry_forward_pool(entry->forward, address);
}

/* Passes a call to a worker that sends it to a sibling, if possible. */
static bool handover_try(entry_request_t *req, unsigned tries,
			 const char *reason, usec_t now)
{
	entry_conn_pool_t *pool;
	unsigned count;

	if (!handover_allowed(req, tries, now))
		return false;
	pool = handover_choose(req, &count, now);
	if (!pool)
		return false;
	if (req->forward)
		entry_conn_pool_unref(req->forward);
	req->forward = pool;
	req->handovers++;
	entry_request_reset(req);
	entry_trace_handed_over(req, pool->address, count, reason);
	entry_work_push(req->entry->work, req);
	return true;
}

/* Whether siblings may reach copies that this entry does not reach. The caller
   holds upstream->lock. */
static bool handover_lacks_paths(const entry_request_t *req, usec_t now)
{
	const entry_service_t *svc = &req->upstream->service;

	return entry_reach_is_impaired(svc) ||
	       entry_reach_is_silent(svc, req->call.arrived,
				     ENTRY_REACH_SILENCE_MIN, now);
}

bool entry_handover_refused(entry_request_t *req, entry_refusal_t refusal,
			    usec_t now)
{
	const char *reason = entry_refusal_name(refusal);
	const entry_service_t *svc;
	bool impaired;
	unsigned total;

	if (!req->upstream || !req->entry->settings.routed)
		return false;
	svc = &req->upstream->service;
	pthread_mutex_lock(&req->upstream->lock);
	impaired = handover_lacks_paths(req, now);
	entry_reach_count(svc, &total);
	pthread_mutex_unlock(&req->upstream->lock);
	switch (refusal) {
	case ENTRY_REFUSE_UNREACHABLE:
	case ENTRY_REFUSE_QUEUE:
	case ENTRY_REFUSE_DEADLINE:
		return impaired &&
		       handover_try(req, HANDOVER_TRIES_IMPAIRED, reason, now);
	case ENTRY_REFUSE_NO_COPY:
		return total &&
		       handover_try(req, HANDOVER_TRIES_REFUSED, reason, now);
	default:
		return false;
	}
}

/* Whether this entry is impaired, and no copy that it reaches has room for a
   call. The caller holds upstream->lock. */
static bool handover_lacks_room(entry_request_t *req, usec_t now)
{
	entry_service_t *svc = &req->upstream->service;

	return entry_reach_is_impaired(svc) &&
	       entry_service_wait_for_copy(svc, &req->call, true, false, now) !=
		       ENTRY_WAIT_READY;
}

/* Whether copies were probed for a call of a sibling, and none has responded: this
   entry may lack paths as well, which it has not tested yet. The caller holds
   upstream->lock. */
static bool handover_probes_failed(const entry_request_t *req, usec_t now)
{
	const entry_upstream_t *upstream = req->upstream;

	return *upstream->health_path &&
	       entry_reach_probes_failed(&upstream->service, &req->call, now);
}

/* What is known of the siblings for a call; one that was sent to as many as it may be
   waits here. The caller holds upstream->lock. */
static entry_others_t handover_others(const entry_request_t *req, usec_t now)
{
	const entry_upstream_t *upstream = req->upstream;

	if (req->handovers >= HANDOVER_TRIES_IMPAIRED)
		return ENTRY_OTHERS_ALIKE;
	if (entry_siblings_reach(&upstream->siblings, now))
		return ENTRY_OTHERS_REACH;
	return now < upstream->siblings_alike_until ? ENTRY_OTHERS_ALIKE :
						      ENTRY_OTHERS_UNKNOWN;
}

/* Whether no copy has responded since the arrival of a call, while a sibling is known
   to reach copies. The caller holds upstream->lock. */
static bool handover_only_siblings_reach(const entry_request_t *req, usec_t now)
{
	return handover_others(req, now) == ENTRY_OTHERS_REACH &&
	       entry_reach_is_silent(&req->upstream->service, req->call.arrived,
				     ENTRY_REACH_SILENCE_MIN, now);
}

bool entry_handover_ends_wait(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool ends;

	pthread_mutex_lock(&upstream->lock);
	ends = entry_reach_ends_wait(&upstream->service, &req->call,
				     handover_others(req, now), now);
	pthread_mutex_unlock(&upstream->lock);
	return ends;
}

bool entry_handover_awaits_sibling(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool awaits;

	if (!req->entry->presence || req->call.from_sibling ||
	    now - req->call.arrived >= HANDOVER_ANSWERS_WAIT)
		return false;
	pthread_mutex_lock(&upstream->lock);
	awaits = entry_reach_is_cut_off(&upstream->service) &&
		 entry_siblings_may_reach(&upstream->siblings, now);
	pthread_mutex_unlock(&upstream->lock);
	return awaits;
}

bool entry_handover_declines(entry_request_t *req, usec_t now)
{
	bool declines;

	if (!req->call.from_sibling || !req->entry->settings.routed)
		return false;
	pthread_mutex_lock(&req->upstream->lock);
	declines = handover_lacks_room(req, now) ||
		   handover_probes_failed(req, now);
	pthread_mutex_unlock(&req->upstream->lock);
	return declines;
}

/* Whether a sibling may have room for a call that would wait here. */
static bool handover_is_better(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool better;

	pthread_mutex_lock(&upstream->lock);
	better = !entry_reach_is_cut_off(&upstream->service) &&
		 ((handover_others(req, now) != ENTRY_OTHERS_ALIKE &&
		   handover_lacks_room(req, now)) ||
		  handover_only_siblings_reach(req, now));
	pthread_mutex_unlock(&upstream->lock);
	return better;
}

bool entry_handover_preferred(entry_request_t *req, usec_t now)
{
	return req->entry->settings.routed && !*req->forwarded_by &&
	       handover_is_better(req, now) &&
	       handover_try(req, HANDOVER_TRIES_IMPAIRED, "room", now);
}

bool entry_handover_waiting(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool taken;

	if (!req->entry->settings.routed || *req->forwarded_by)
		return false;
	pthread_mutex_lock(&upstream->lock);
	taken = req->call.waiting &&
		(req->paths_lost ||
		 entry_reach_is_impaired(&upstream->service) ||
		 handover_only_siblings_reach(req, now));
	if (taken)
		entry_queue_remove(upstream->service.queue, &req->call);
	pthread_mutex_unlock(&upstream->lock);
	if (!taken)
		return false;
	if (handover_try(req, HANDOVER_TRIES_IMPAIRED,
			 req->paths_lost ? "cut" : "retry", now))
		return true;
	pthread_mutex_lock(&upstream->lock);
	entry_queue_push(upstream->service.queue, &req->call, now);
	pthread_mutex_unlock(&upstream->lock);
	return false;
}

void entry_handover_give_up(entry_upstream_t *upstream, usec_t now)
{
	entry_request_t *req;
	entry_call_t *call;

	if (!upstream->entry->presence)
		return;
	pthread_mutex_lock(&upstream->lock);
	while (entry_siblings_reach(&upstream->siblings, now) &&
	       (call = entry_service_give_up(&upstream->service, now))) {
		req = caa_container_of(call, entry_request_t, call);
		pthread_mutex_lock(&req->lock);
		entry_request_wake_sender(req);
		pthread_mutex_unlock(&req->lock);
	}
	pthread_mutex_unlock(&upstream->lock);
}

bool entry_handover_unsent(entry_request_t *req, usec_t now)
{
	return req->entry->settings.routed &&
	       handover_try(req, HANDOVER_TRIES_IMPAIRED, "connect", now);
}

/* Whether a call that no sibling has run can be dispatched here after all. */
static bool handover_returns(entry_request_t *req, entry_result_t result,
			     usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool possible;

	if (result != ENTRY_RESULT_CONNECT && result != ENTRY_RESULT_SHED)
		return false;
	pthread_mutex_lock(&upstream->lock);
	upstream->siblings_alike_until = now + HANDOVER_ALIKE_TIME;
	possible = handover_is_safe(req) &&
		   req->call.outcome == ENTRY_NOT_RUN &&
		   !entry_reach_is_cut_off(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	return possible && now + HANDOVER_TIME_MIN < req->call.deadline;
}

static void handover_reset(entry_request_t *req)
{
	entry_conn_pool_unref(req->forward);
	req->forward = NULL;
	req->handovers = HANDOVER_TRIES_IMPAIRED;
	entry_request_reset(req);
}

/* Whether a sibling did not serve a call and another one may. */
static bool handover_continues(const entry_request_t *req,
			       entry_result_t result)
{
	if (result == ENTRY_RESULT_CONNECT)
		return true;
	if (result == ENTRY_RESULT_SHED)
		return req->sibling_unfit;
	return result == ENTRY_RESULT_TRUNCATED && req->call.idempotent;
}

static bool handover_is_unfit(const entry_request_t *req, entry_result_t result)
{
	return result == ENTRY_RESULT_CONNECT ||
	       result == ENTRY_RESULT_TRUNCATED ||
	       result == ENTRY_RESULT_DEADLINE ||
	       (result == ENTRY_RESULT_SHED && req->sibling_unfit);
}

/* Sends no calls to the sibling for a while. */
static void handover_set_unfit(entry_request_t *req, entry_result_t result,
			       usec_t now)
{
	const char *address = req->forward->address;
	entry_sibling_state_t state = ENTRY_SIBLING_SILENT;

	if (result == ENTRY_RESULT_SHED)
		state = ENTRY_SIBLING_LACKS;
	entry_forward_set_unfit(req->entry->forward, address,
				now + HANDOVER_UNFIT_TIME);
	entry_sibling_record(req->upstream, address, state, now);
}

/* Records that the sibling has served a call, so that it need not be asked. */
static void handover_set_served(entry_request_t *req, usec_t now)
{
	const char *address = req->forward->address;

	entry_sibling_record(req->upstream, address, ENTRY_SIBLING_REACHES,
			     now);
	entry_sibling_confirm(req->upstream, address, now);
}

/* Counts a send of which a copy may have run the call. */
static void handover_count_attempt(entry_request_t *req)
{
	pthread_mutex_lock(&req->upstream->lock);
	req->call.attempts++;
	req->call.repeat_paid = false;
	req->call.outcome = ENTRY_MAY_HAVE_RUN;
	pthread_mutex_unlock(&req->upstream->lock);
}

entry_handover_t entry_handover_end(entry_request_t *req, entry_result_t result,
				    usec_t now)
{
	if (result == ENTRY_RESULT_OK && !req->sibling_impaired)
		handover_set_served(req, now);
	if (result == ENTRY_RESULT_OK || result == ENTRY_RESULT_ERROR)
		return ENTRY_HANDOVER_ENDED;
	if (handover_is_unfit(req, result))
		handover_set_unfit(req, result, now);
	if (result == ENTRY_RESULT_TRUNCATED)
		handover_count_attempt(req);
	if (handover_continues(req, result) &&
	    handover_try(req, HANDOVER_TRIES_IMPAIRED, "sibling", now))
		return ENTRY_HANDOVER_SENT;
	if (!handover_returns(req, result, now))
		return ENTRY_HANDOVER_ENDED;
	handover_reset(req);
	return ENTRY_HANDOVER_RETURNED;
}
