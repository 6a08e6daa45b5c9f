#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "entry-claim.h"

#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

static void request_headers_free(entry_response_t *answer)
{
	entry_header_t *header;
	entry_header_t *next;

	cds_list_for_each_entry_safe (header, next, &answer->headers, link) {
		cds_list_del(&header->link);
		free(header->name);
		free(header->value);
		free(header);
	}
	free(answer->connection);
	answer->connection = NULL;
}

entry_request_t *entry_request_new(entry_t *entry, const char *target)
{
	entry_request_t *req = calloc(1, sizeof(*req));
	pthread_condattr_t attr;

	if (!req)
		return NULL;
	req->target = strdup(target);
	if (!req->target) {
		free(req);
		return NULL;
	}
	req->entry = entry;
	req->refs = 1;
	req->body_length = -1;
	req->response.length = -1;
	CDS_INIT_LIST_HEAD(&req->response.headers);
	pthread_mutex_init(&req->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&req->changed, &attr);
	pthread_condattr_destroy(&attr);
	return req;
}

void entry_request_ref(entry_request_t *req)
{
	__atomic_fetch_add(&req->refs, 1, __ATOMIC_RELAXED);
}

void entry_request_unref(entry_request_t *req)
{
	if (__atomic_sub_fetch(&req->refs, 1, __ATOMIC_ACQ_REL))
		return;
	request_headers_free(&req->response);
	entry_buffer_free(&req->response.body);
	entry_buffer_free(&req->body);
	curl_slist_free_all(req->headers);
	if (req->forward)
		entry_conn_pool_unref(req->forward);
	if (req->winner)
		entry_request_unref(req->winner);
	pthread_cond_destroy(&req->changed);
	pthread_mutex_destroy(&req->lock);
	free(req->host);
	free(req->method);
	free(req->target);
	free(req);
}

void entry_request_wake(entry_request_t *req)
{
	pthread_cond_broadcast(&req->changed);
	if (!req->suspended || !req->connection)
		return;
	req->suspended = false;
	MHD_resume_connection(req->connection);
}

void entry_request_end(entry_request_t *req, bool cut)
{
	req->response.truncated = cut;
	entry_claims_end(req);
	pthread_mutex_lock(&req->lock);
	req->response.published = true;
	req->response.ended = true;
	entry_request_wake(req);
	pthread_mutex_unlock(&req->lock);
}

void entry_request_reset(entry_request_t *req)
{
	pthread_mutex_lock(&req->lock);
	request_headers_free(&req->response);
	entry_buffer_clear(&req->response.body);
	req->response.status = 0;
	req->response.length = -1;
	req->response.reason = NULL;
	req->response.retry_after = 0;
	pthread_mutex_unlock(&req->lock);
}

/*
 * Without a header that tells the outcome the status has to: 503 means that
 * the call has not run, 502 and 504 leave it open.
 */
static unsigned request_status(const entry_request_t *req, unsigned status,
			       entry_outcome_t outcome)
{
	if (req->entry->settings.headers->own)
		return status;
	if (status == HTTP_UNAVAILABLE && outcome != ENTRY_NOT_RUN)
		return HTTP_BAD_GATEWAY;
	if (status == HTTP_GATEWAY_TIMEOUT && outcome == ENTRY_NOT_RUN)
		return HTTP_UNAVAILABLE;
	return status;
}

void entry_request_fail(entry_request_t *req, unsigned status,
			entry_outcome_t outcome, const char *reason,
			usec_t retry_after)
{
	char text[160];
	int length;

	status = request_status(req, status, outcome);
	length = snprintf(text, sizeof(text),
			  "{\"outcome\": \"%s\", \"reason\": \"%s\"}\n",
			  entry_outcome_name(outcome), reason);
	entry_request_reset(req);
	pthread_mutex_lock(&req->lock);
	req->response.status = status;
	req->response.outcome = outcome;
	req->response.reason = reason;
	req->response.retry_after = retry_after;
	req->response.length = length;
	entry_buffer_add(&req->response.body, text, (size_t)length);
	pthread_mutex_unlock(&req->lock);
	entry_request_end(req, false);
}

/*
 * Take a call that still waits out of its queue; true if it was there. A twin
 * is cancelled.
 */
static bool request_leave_queue(entry_request_t *req)
{
	entry_route_t *route = req->route;
	bool waiting;

	if (!route)
		return false;
	pthread_mutex_lock(&route->lock);
	waiting = req->call.waiting;
	if (waiting)
		entry_service_cancel(&route->service, &req->call);
	entry_hedge_cancel(req);
	pthread_mutex_unlock(&route->lock);
	return waiting;
}

void entry_request_gone(entry_request_t *req)
{
	pthread_mutex_lock(&req->lock);
	req->cancelled = true;
	pthread_cond_broadcast(&req->changed);
	if (req->active)
		curl_multi_wakeup(req->active->multi);
	pthread_mutex_unlock(&req->lock);
	if (!request_leave_queue(req))
		return;
	entry_request_fail(req, 499, req->call.outcome, "gone", 0);
	entry_request_unref(req);
}
