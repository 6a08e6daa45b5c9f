#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/*
 * Hand-over of calls to sibling entries: a table of connection pools by call
 * address, the transfer of waiting calls for offered credits, and the offers.
 */

/* Time for which credits offered with a response are reserved. */
#define FORWARD_RESERVE_TIME (5 * USEC_PER_MS)
/* Maximum number of idle connections to one sibling entry. */
#define FORWARD_IDLE_MAX 64

typedef struct {
	struct cds_list_head link;
	entry_conn_pool_t *pool;
	usec_t unfit_until; /* it gets no calls that this entry cannot send */
} forward_peer_t;

struct entry_forward {
	pthread_mutex_t lock;
	struct cds_list_head peers;
};

entry_forward_t *entry_forward_new(void)
{
	entry_forward_t *forward = calloc(1, sizeof(*forward));

	if (!forward)
		return NULL;
	pthread_mutex_init(&forward->lock, NULL);
	CDS_INIT_LIST_HEAD(&forward->peers);
	return forward;
}

void entry_forward_free(entry_forward_t *forward)
{
	forward_peer_t *peer;
	forward_peer_t *next;

	if (!forward)
		return;
	cds_list_for_each_entry_safe (peer, next, &forward->peers, link) {
		entry_conn_pool_unref(peer->pool);
		free(peer);
	}
	pthread_mutex_destroy(&forward->lock);
	free(forward);
}

/* Returns the peer at an address and adds it if it is missing; NULL if out of
   memory. The caller holds forward->lock. */
static forward_peer_t *forward_find(entry_forward_t *forward,
				    const char *address)
{
	forward_peer_t *peer;

	cds_list_for_each_entry (peer, &forward->peers, link)
		if (!strcmp(peer->pool->address, address))
			return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	peer->pool = entry_conn_pool_new(address, FORWARD_IDLE_MAX);
	if (!peer->pool) {
		free(peer);
		return NULL;
	}
	cds_list_add_tail(&peer->link, &forward->peers);
	return peer;
}

entry_conn_pool_t *entry_forward_pool(entry_forward_t *forward,
				      const char *address)
{
	entry_conn_pool_t *pool = NULL;
	forward_peer_t *peer;

	pthread_mutex_lock(&forward->lock);
	peer = forward_find(forward, address);
	if (peer) {
		pool = peer->pool;
		entry_conn_pool_ref(pool);
	}
	pthread_mutex_unlock(&forward->lock);
	return pool;
}

bool entry_forward_is_fit(entry_forward_t *forward, const char *address,
			  usec_t now)
{
	const forward_peer_t *peer;
	bool fit;

	pthread_mutex_lock(&forward->lock);
	peer = forward_find(forward, address);
	fit = peer && now >= peer->unfit_until;
	pthread_mutex_unlock(&forward->lock);
	return fit;
}

void entry_forward_set_unfit(entry_forward_t *forward, const char *address,
			     usec_t until)
{
	forward_peer_t *peer;

	pthread_mutex_lock(&forward->lock);
	peer = forward_find(forward, address);
	if (peer)
		peer->unfit_until = until;
	pthread_mutex_unlock(&forward->lock);
}

/* Hands one waiting call over; false if none waits or memory is short. */
static bool forward_one(entry_upstream_t *upstream, const char *address)
{
	entry_t *entry = upstream->entry;
	entry_conn_pool_t *pool = entry_forward_pool(entry->forward, address);
	entry_request_t *req;
	entry_call_t *call;

	if (!pool)
		return false;
	pthread_mutex_lock(&upstream->lock);
	call = entry_service_take_for_sibling(&upstream->service, time_now());
	pthread_mutex_unlock(&upstream->lock);
	if (!call) {
		entry_conn_pool_unref(pool);
		return false;
	}
	req = caa_container_of(call, entry_request_t, call);
	req->handed_over = true;
	req->forward = pool;
	entry_work_push(entry->work, req);
	return true;
}

void entry_forward_waiting(entry_upstream_t *upstream, const char *address,
			   unsigned credits)
{
	while (credits > 0 && forward_one(upstream, address))
		credits--;
}

void entry_forward_offer(entry_request_t *req, usec_t now)
{
	entry_service_t *svc = &req->upstream->service;

	if (!req->forwarder_queue || req->response.published ||
	    !req->entry->settings.lending || entry_service_waiting(svc) > 0)
		return;
	req->credits_to_offer = entry_reserve_add(svc, req->forwarder_queue,
						  now + FORWARD_RESERVE_TIME,
						  now);
}

/* Whether this entry owns a copy of the service. A copy whose ownership has
   moved stays in the list for a while with limit 0. */
static bool forward_has_copies(entry_upstream_t *upstream)
{
	const entry_copy_t *copy;
	bool found = false;

	pthread_mutex_lock(&upstream->lock);
	cds_list_for_each_entry (copy, &upstream->service.copies, link)
		found = found || copy->limit > 0;
	pthread_mutex_unlock(&upstream->lock);
	return found;
}

void entry_forward_to_owner(entry_request_t *req)
{
	owner_member_t owner;

	if (*req->forwarded_by || forward_has_copies(req->upstream))
		return;
	if (!owner_route(req->entry->owner, req->upstream->name, &owner))
		req->forward = entry_forward_pool(req->entry->forward,
						  owner.call_address);
}
