#include <stdlib.h>
#include "entry-http.h"

/*
 * Pending calls: calls that arrive shortly after the start of the process are
 * queued while it has no routes yet. Calls that match no route are queued as long
 * as a newer version may have one. They are matched again when routes come or are
 * confirmed, and refused when they time out.
 */

/* Time after the start of the process in which calls are queued without any
   confirmation. If there are no routes by then, the keepers cannot be reached and
   calls are refused. */
#define PENDING_OPEN_TIME (4 * USEC_PER_SEC)
/* Maximum wait of one call. */
#define PENDING_WAIT_MAX (1500 * USEC_PER_MS)
#define PENDING_CHECK_INTERVAL (PENDING_WAIT_MAX / 10)
#define PENDING_CALLS_MAX 1024u
/* Wait that the Retry-After header of a refused call suggests. */
#define PENDING_RETRY_AFTER (300 * USEC_PER_MS)

struct entry_pending {
	pthread_mutex_t lock;
	struct cds_list_head
		calls; /* entry_request_t.work_link, oldest first */
	unsigned count;
	usec_t until; /* no call is added from then on */
};

entry_pending_t *entry_pending_new(usec_t now)
{
	entry_pending_t *pending = calloc(1, sizeof(*pending));

	if (!pending)
		return NULL;
	pthread_mutex_init(&pending->lock, NULL);
	CDS_INIT_LIST_HEAD(&pending->calls);
	pending->until = now + PENDING_OPEN_TIME;
	return pending;
}

void entry_pending_free(entry_pending_t *pending)
{
	if (!pending)
		return;
	pthread_mutex_destroy(&pending->lock);
	free(pending);
}

bool entry_pending_accepts(const entry_pending_t *pending, usec_t now)
{
	return pending && now < pending->until;
}

static void pending_refuse(entry_request_t *req)
{
	entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN,
			   req->unconfirmed ? "unconfirmed" : "starting",
			   PENDING_RETRY_AFTER);
	entry_request_unref(req);
}

/* Queues a call; false if the queue is full. */
static bool pending_push(entry_pending_t *pending, entry_request_t *req)
{
	bool queued;

	pthread_mutex_lock(&pending->lock);
	queued = pending->count < PENDING_CALLS_MAX;
	if (queued) {
		cds_list_add_tail(&req->work_link, &pending->calls);
		pending->count++;
	}
	pthread_mutex_unlock(&pending->lock);
	return queued;
}

/* Schedules the next check of the queued calls. */
static void pending_schedule(entry_t *entry, usec_t now)
{
	usec_t due = entry_config_check_start(entry, now);

	if (due > now + PENDING_WAIT_MAX)
		due = now + PENDING_WAIT_MAX;
	entry_tick_schedule(entry, due);
}

/* Whether the state in which a call was held has changed; 0: it was not held. */
static bool pending_is_released(entry_t *entry, unsigned held_state)
{
	return held_state && held_state != entry_config_start_state(entry);
}

/* Matches a queued call to the routes; returns whether it is no longer queued. */
static bool pending_route(entry_t *entry, entry_request_t *req, usec_t now)
{
	unsigned held_state;

	switch (entry_head_route(req)) {
	case ENTRY_MATCH_FOUND:
		entry_dispatch_arrive(req, now);
		break;
	case ENTRY_MATCH_REFUSED:
		break;
	case ENTRY_MATCH_UNKNOWN:
		req->unconfirmed = true;
		held_state = req->held_state;
		if (pending_push(entry->pending, req)) {
			pending_schedule(entry, now);
			/* It may have changed before the call was queued. */
			if (pending_is_released(entry, held_state))
				entry_pending_release(entry, now);
			return false;
		}
		pending_refuse(req);
		return true;
	}
	entry_request_unref(req);
	return true;
}

/* Whether routes have come that a call may match, or that show that it has none. */
static bool pending_is_due(entry_t *entry, bool unconfirmed, usec_t now)
{
	return entry_target_has_routes(entry) &&
	       (!unconfirmed || entry_config_confirmed(entry, now));
}

void entry_pending_add(entry_t *entry, entry_request_t *req, usec_t now)
{
	bool unconfirmed = req->unconfirmed;
	unsigned held_state = req->held_state;

	entry_request_ref(req);
	if (!pending_push(entry->pending, req)) {
		pending_refuse(req);
		return;
	}
	pending_schedule(entry, now);
	/* The routes may have come before the call was queued. */
	if (pending_is_due(entry, unconfirmed, now) ||
	    pending_is_released(entry, held_state))
		entry_pending_release(entry, now);
}

/* Removes and returns the oldest call if it arrived at @arrived_by or before,
   else returns NULL. */
static entry_request_t *pending_take(entry_pending_t *pending,
				     usec_t arrived_by)
{
	entry_request_t *req = NULL;

	pthread_mutex_lock(&pending->lock);
	if (!cds_list_empty(&pending->calls))
		req = cds_list_first_entry(&pending->calls, entry_request_t,
					   work_link);
	if (req && req->call.arrived <= arrived_by) {
		cds_list_del(&req->work_link);
		pending->count--;
	} else {
		req = NULL;
	}
	pthread_mutex_unlock(&pending->lock);
	return req;
}

void entry_pending_release(entry_t *entry, usec_t now)
{
	entry_pending_t *pending = entry->pending;
	entry_request_t *req, *next;
	struct cds_list_head calls;
	unsigned count = 0;

	CDS_INIT_LIST_HEAD(&calls);
	pthread_mutex_lock(&pending->lock);
	cds_list_splice(&pending->calls, &calls);
	CDS_INIT_LIST_HEAD(&pending->calls);
	pending->count = 0;
	pthread_mutex_unlock(&pending->lock);
	cds_list_for_each_entry_safe (req, next, &calls, work_link)
		count += pending_route(entry, req, now);
	if (count)
		log_event(LOG_LEVEL_INFO, "parked-calls-sent", "count=%u",
			  count);
}

usec_t entry_pending_expire(entry_t *entry, usec_t now)
{
	usec_t start_due = entry_config_check_start(entry, now);
	usec_t due = now + PENDING_CHECK_INTERVAL;
	entry_request_t *req;
	bool waiting;

	while ((req = pending_take(entry->pending, now - PENDING_WAIT_MAX)))
		pending_refuse(req);
	pthread_mutex_lock(&entry->pending->lock);
	waiting = entry->pending->count > 0;
	pthread_mutex_unlock(&entry->pending->lock);
	if (!waiting)
		return INT64_MAX;
	return start_due < due ? start_due : due;
}
