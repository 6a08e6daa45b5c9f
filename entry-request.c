#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "entry-claim.h"

/*
 * The request object: its life cycle, the end of its response, and responses
 * that this entry makes.
 */

#define REQUEST_BODY_MAX 160 /* bytes of a response made by this entry */
/* Wait suggested to callers of calls that have not run when the entry ends. */
#define REQUEST_ENDING_RETRY_AFTER (100 * USEC_PER_MS)

static void request_headers_free(entry_response_t *response)
{
	entry_headers_clear(&response->headers);
	free(response->connection);
	response->connection = NULL;
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
	if (req->winning_hedge)
		entry_request_unref(req->winning_hedge);
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

void entry_request_wake_sender(entry_request_t *req)
{
	pthread_cond_broadcast(&req->changed);
	if (req->active_conn)
		curl_multi_wakeup(req->active_conn->multi);
}

void entry_request_end(entry_request_t *req, bool truncated)
{
	req->response.truncated = truncated;
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
 * Under an interface without an outcome header the status gives the outcome:
 * 503 means that the call did not run, 502 and 504 that it may have run.
 */
static unsigned request_status(const entry_request_t *req, unsigned status,
			       entry_outcome_t outcome)
{
	if (req->entry->settings.headers->native)
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
	char text[REQUEST_BODY_MAX];
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

bool entry_request_is_ending(const entry_request_t *req)
{
	return __atomic_load_n(&req->entry->ending, __ATOMIC_SEQ_CST);
}

void entry_request_fail_cancelled(entry_request_t *req, entry_outcome_t outcome)
{
	if (!entry_request_is_ending(req))
		entry_request_fail(req, HTTP_CLIENT_CLOSED_REQUEST, outcome,
				   "gone", 0);
	else if (outcome == ENTRY_NOT_RUN)
		entry_request_fail(req, HTTP_UNAVAILABLE, outcome, "stopping",
				   REQUEST_ENDING_RETRY_AFTER);
	else
		entry_request_fail(req, HTTP_BAD_GATEWAY, outcome, "cut", 0);
}

/* Removes a call from the queue and cancels its hedge. Returns true if the call
   was waiting in the queue. */
static bool request_leave_queue(entry_request_t *req)
{
	entry_upstream_t *upstream = req->upstream;
	bool waiting;

	if (!upstream)
		return false;
	pthread_mutex_lock(&upstream->lock);
	waiting = req->call.waiting;
	if (waiting)
		entry_service_cancel(&upstream->service, &req->call);
	entry_hedge_cancel(req);
	pthread_mutex_unlock(&upstream->lock);
	return waiting;
}

void entry_request_cancel(entry_request_t *req)
{
	pthread_mutex_lock(&req->lock);
	req->cancelled = true;
	entry_request_wake_sender(req);
	pthread_mutex_unlock(&req->lock);
	if (!request_leave_queue(req))
		return;
	entry_request_fail_cancelled(req, req->call.outcome);
	entry_request_unref(req);
}
