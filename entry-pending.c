#include <stdlib.h>
#include "entry-http.h"

/* A process that has started longer ago has lost the keepers: no call waits. */
#define PARK_OPEN (4 * USEC_PER_SEC)
/* Longest wait of one call. */
#define PARK_WAIT (1500 * USEC_PER_MS)
#define PARK_MAX 1024u
#define PARK_RETRY_AFTER (300 * USEC_PER_MS)
#define HTTP_UNAVAILABLE 503

struct entry_park {
	pthread_mutex_t lock;
	struct cds_list_head calls; /* entry_request_t.work_link, by age */
	unsigned count;
	usec_t until; /* no further call waits from then on */
};

entry_park_t *entry_pending_new(usec_t now)
{
	entry_park_t *park = calloc(1, sizeof(*park));

	if (!park)
		return NULL;
	pthread_mutex_init(&park->lock, NULL);
	CDS_INIT_LIST_HEAD(&park->calls);
	park->until = now + PARK_OPEN;
	return park;
}

void entry_pending_free(entry_park_t *park)
{
	if (!park)
		return;
	pthread_mutex_destroy(&park->lock);
	free(park);
}

bool entry_park_open(const entry_park_t *park, usec_t now)
{
	return park && now < park->until;
}

static void park_refuse(entry_request_t *req)
{
	entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN, "starting",
			   PARK_RETRY_AFTER);
	entry_request_unref(req);
}

static void park_dispatch(entry_request_t *req, usec_t now)
{
	if (!entry_http_route(req))
		entry_dispatch_arrive(req, now);
	entry_request_unref(req);
}

void entry_park_add(entry_t *entry, entry_request_t *req, usec_t now)
{
	entry_park_t *park = entry->pending;
	bool waits;

	entry_request_ref(req);
	pthread_mutex_lock(&park->lock);
	waits = !entry_target_has_routes(entry) && park->count < PARK_MAX;
	if (waits) {
		cds_list_add_tail(&req->work_link, &park->calls);
		park->count++;
	}
	pthread_mutex_unlock(&park->lock);
	if (waits)
		entry_tick_schedule(entry, now + PARK_WAIT);
	else if (entry_target_has_routes(entry))
		park_dispatch(req, now);
	else
		park_refuse(req);
}

/* Take the oldest call out if it has waited since @since or longer. */
static entry_request_t *park_take(entry_park_t *park, usec_t since)
{
	entry_request_t *req = NULL;

	pthread_mutex_lock(&park->lock);
	if (!cds_list_empty(&park->calls))
		req = cds_list_first_entry(&park->calls, entry_request_t,
					   work_link);
	if (req && req->call.arrived <= since) {
		cds_list_del(&req->work_link);
		park->count--;
	} else {
		req = NULL;
	}
	pthread_mutex_unlock(&park->lock);
	return req;
}

void entry_pending_release(entry_t *entry, usec_t now)
{
	entry_request_t *req;
	unsigned count = 0;

	for (; (req = park_take(entry->pending, INT64_MAX)); count++)
		park_dispatch(req, now);
	if (count)
		log_event(LOG_LEVEL_INFO, "parked-calls-sent", "count=%u",
			  count);
}

usec_t entry_pending_expire(entry_t *entry, usec_t now)
{
	entry_request_t *req;
	bool any;

	while ((req = park_take(entry->pending, now - PARK_WAIT)))
		park_refuse(req);
	pthread_mutex_lock(&entry->pending->lock);
	any = entry->pending->count > 0;
	pthread_mutex_unlock(&entry->pending->lock);
	return any ? now + PARK_WAIT / 10 : INT64_MAX;
}
