#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/* Credits offered with an answer are kept for the calls this long. */
#define FORWARD_RESERVE (5 * USEC_PER_MS)
/* Idle connections kept to one sibling entry. */
#define FORWARD_IDLE_MAX 64

/* A sibling entry that calls are handed to. */
typedef struct {
	struct cds_list_head link;
	entry_conn_pool_t *place;
} forward_place_t;

struct entry_forward {
	pthread_mutex_t lock;
	struct cds_list_head places;
};

entry_forward_t *entry_forward_new(void)
{
	entry_forward_t *forward = calloc(1, sizeof(*forward));

	if (!forward)
		return NULL;
	pthread_mutex_init(&forward->lock, NULL);
	CDS_INIT_LIST_HEAD(&forward->places);
	return forward;
}

void entry_forward_free(entry_forward_t *forward)
{
	forward_place_t *at;
	forward_place_t *next;

	if (!forward)
		return;
	cds_list_for_each_entry_safe (at, next, &forward->places, link) {
		entry_conn_pool_unref(at->place);
		free(at);
	}
	pthread_mutex_destroy(&forward->lock);
	free(forward);
}

/* Find the place of an address or add it. Lock held. */
static entry_conn_pool_t *forward_find(entry_forward_t *forward,
				       const char *address)
{
	forward_place_t *at;

	cds_list_for_each_entry (at, &forward->places, link)
		if (!strcmp(at->place->address, address))
			return at->place;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	at->place = entry_conn_pool_new(address, FORWARD_IDLE_MAX);
	if (!at->place) {
		free(at);
		return NULL;
	}
	cds_list_add_tail(&at->link, &forward->places);
	return at->place;
}

entry_conn_pool_t *entry_forward_pool(entry_forward_t *forward,
				      const char *address)
{
	entry_conn_pool_t *place;

	pthread_mutex_lock(&forward->lock);
	place = forward_find(forward, address);
	if (place)
		entry_place_ref(place);
	pthread_mutex_unlock(&forward->lock);
	return place;
}

/* Hand one waiting call over; false if none waits. */
static bool forward_one(entry_route_t *route, const char *address)
{
	entry_t *entry = route->entry;
	entry_request_t *req;
	entry_call_t *call;

	pthread_mutex_lock(&route->lock);
	call = entry_service_take_for_sibling(&route->service, time_now());
	pthread_mutex_unlock(&route->lock);
	if (!call)
		return false;
	req = caa_container_of(call, entry_request_t, call);
	req->handed_over = true;
	req->forward = entry_forward_pool(entry->forward, address);
	entry_work_push(entry->work, req);
	return true;
}

void entry_forward_waiting(entry_route_t *route, const char *address,
			   unsigned credits)
{
	while (credits > 0 && forward_one(route, address))
		credits--;
}

void entry_forward_offer(entry_request_t *req, usec_t now)
{
	entry_service_t *svc = &req->route->service;

	if (!req->hop_waiting || req->response.published ||
	    !req->entry->settings.lending || entry_service_waiting(svc) > 0)
		return;
	req->offer = entry_reserve_add(svc, req->hop_waiting,
				       now + FORWARD_RESERVE, now);
}

/* A copy that was handed over stays known with no credit for a while. */
static bool forward_has_copies(entry_route_t *route)
{
	const entry_copy_t *copy;
	bool has = false;

	pthread_mutex_lock(&route->lock);
	cds_list_for_each_entry (copy, &route->service.copies, link)
		has = has || copy->limit > 0;
	pthread_mutex_unlock(&route->lock);
	return has;
}

void entry_forward_to_owner(entry_request_t *req)
{
	owner_member_t owner;

	if (*req->hop || forward_has_copies(req->route))
		return;
	if (!owner_route(req->entry->owner, req->route->name, &owner))
		req->forward = entry_forward_pool(req->entry->forward,
						  owner.call_address);
}
