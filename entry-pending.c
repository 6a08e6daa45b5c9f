#include <stdlib.h>
#include "entry-http.h"

/*
 * Pending calls: calls that arrive shortly after the start of the process, when
 * it has no routes yet, are queued until there are routes or they time out.
 */

/* Time after the start of the process in which calls are queued. If there are
   no routes by then, the keepers cannot be reached and calls are refused. */
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
	entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN, "starting",
			   PENDING_RETRY_AFTER);
	entry_request_unref(req);
}

static void pending_dispatch(entry_request_t *req, usec_t now)
{
	if (!entry_head_route(req))
		entry_dispatch_arrive(req, now);
	entry_request_unref(req);
}

void entry_pending_add(entry_t *entry, entry_request_t *req, usec_t now)
{
	entry_pending_t *pending = entry->pending;
	bool queued;

	entry_request_ref(req);
	pthread_mutex_lock(&pending->lock);
	queued = !entry_target_has_routes(entry) &&
		 pending->count < PENDING_CALLS_MAX;
	if (queued) {
		cds_list_add_tail(&req->work_link, &pending->calls);
		pending->count++;
	}
	pthread_mutex_unlock(&pending->lock);
	if (queued)
		entry_tick_schedule(entry, now + PENDING_WAIT_MAX);
	else if (entry_target_has_routes(entry))
		pending_dispatch(req, now);
	else
		pending_refuse(req);
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
	entry_request_t *req;
	unsigned count = 0;

	for (; (req = pending_take(entry->pending, INT64_MAX)); count++)
		pending_dispatch(req, now);
	if (count)
		log_event(LOG_LEVEL_INFO, "parked-calls-sent", "count=%u",
			  count);
}

usec_t entry_pending_expire(entry_t *entry, usec_t now)
{
	entry_request_t *req;
	bool waiting;

	while ((req = pending_take(entry->pending, now - PENDING_WAIT_MAX)))
		pending_refuse(req);
	pthread_mutex_lock(&entry->pending->lock);
	waiting = entry->pending->count > 0;
	pthread_mutex_unlock(&entry->pending->lock);
	return waiting ? now + PENDING_CHECK_INTERVAL : INT64_MAX;
}
