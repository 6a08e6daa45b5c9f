#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-claim-internal.h"
#include "entry-control.h"

/*
 * Responses of keyed calls. The coordinator of a call stores its response and
 * replays it to requests with the same key, also to those that come to other
 * entries (GET /v1/answer).
 */

#define RESPONSE_MEMBERS_MAX 256
#define RESPONSE_TARGET_SIZE 96

/* A stored response. */
typedef struct {
	struct cds_list_head link;
	claim_key_t key;
	unsigned status;
	struct cds_list_head headers;
	size_t size;
	char body[];
} stored_response_t;

static void response_headers_free(struct cds_list_head *headers)
{
	entry_header_t *header;
	entry_header_t *next;

	cds_list_for_each_entry_safe (header, next, headers, link) {
		free(header->name);
		free(header->value);
		free(header);
	}
}

static void response_remove(entry_claims_t *claims, stored_response_t *stored)
{
	cds_list_del(&stored->link);
	claims->response_bytes -= sizeof(*stored) + stored->size;
	response_headers_free(&stored->headers);
	free(stored);
}

static void response_copy_headers(struct cds_list_head *to,
				  const struct cds_list_head *from)
{
	entry_header_t *header;
	entry_header_t *copy;

	cds_list_for_each_entry (header, from, link) {
		copy = calloc(1, sizeof(*copy));
		if (!copy)
			return;
		copy->name = strdup(header->name);
		copy->value = strdup(header->value);
		cds_list_add_tail(&copy->link, to);
	}
}

void entry_claims_store_response(entry_claims_t *claims, const claim_key_t *key,
				 const entry_response_t *response)
{
	const entry_buffer_t *body = &response->body;
	size_t size = entry_buffer_length(body);
	size_t max = (size_t)claims->entry->settings.claims.answers_kb * 1024;
	stored_response_t *stored = malloc(sizeof(*stored) + size);
	stored_response_t *next;

	if (!stored)
		return;
	stored->key = *key;
	stored->status = response->status;
	stored->size = size;
	if (size)
		memcpy(stored->body, body->bytes + body->start, size);
	CDS_INIT_LIST_HEAD(&stored->headers);
	response_copy_headers(&stored->headers, &response->headers);
	pthread_mutex_lock(&claims->lock);
	cds_list_add_tail(&stored->link, &claims->responses);
	claims->response_bytes += sizeof(*stored) + size;
	cds_list_for_each_entry_safe (stored, next, &claims->responses, link) {
		if (claims->response_bytes <= max)
			break;
		response_remove(claims, stored);
	}
	pthread_mutex_unlock(&claims->lock);
}

static const stored_response_t *response_find(const entry_claims_t *claims,
					      const claim_key_t *key)
{
	const stored_response_t *stored;

	cds_list_for_each_entry (stored, &claims->responses, link)
		if (!claim_key_compare(&stored->key, key))
			return stored;
	return NULL;
}

/* Copies a stored response to a request; false if it is not stored. */
static bool response_copy_to_request(entry_claims_t *claims,
				     entry_request_t *req,
				     const claim_key_t *key)
{
	const stored_response_t *stored;
	entry_response_t *response = &req->response;

	pthread_mutex_lock(&claims->lock);
	stored = response_find(claims, key);
	if (stored) {
		pthread_mutex_lock(&req->lock);
		response->status = stored->status;
		response->outcome = ENTRY_RAN;
		response->length = (int64_t)stored->size;
		response_copy_headers(&response->headers, &stored->headers);
		entry_buffer_add(&response->body, stored->body, stored->size);
		pthread_mutex_unlock(&req->lock);
	}
	pthread_mutex_unlock(&claims->lock);
	return stored != NULL;
}

/* Finds the control address of a coordinator; false if it is not alive. */
static bool response_coordinator_address(entry_claims_t *claims,
					 const char *coordinator, char *out)
{
	owner_member_t members[RESPONSE_MEMBERS_MAX];
	unsigned count;
	unsigned i;

	count = entry_lookup_members(claims->entry, members,
				     RESPONSE_MEMBERS_MAX);
	for (i = 0; i < count; i++) {
		if (strcmp(members[i].name, coordinator))
			continue;
		strcpy(out, members[i].control_address);
		return true;
	}
	return false;
}

/* Rewrites a request into a GET of the stored response, to be sent to the entry
   that coordinated the earlier call; false if that entry is not alive. */
static bool response_request_from_coordinator(entry_claims_t *claims,
					      entry_request_t *req,
					      const claim_record_t *existing)
{
	char address[HL_ADDRESS_MAX];
	char *target = malloc(RESPONSE_TARGET_SIZE);
	char *method = strdup("GET");

	if (!target || !method ||
	    !response_coordinator_address(claims, existing->id.coordinator,
					  address)) {
		free(target);
		free(method);
		return false;
	}
	snprintf(target, RESPONSE_TARGET_SIZE,
		 "/v1/answer?high=%" PRIx64 "&low=%" PRIx64, existing->key.high,
		 existing->key.low);
	free(req->target);
	free(req->method);
	req->target = target;
	req->method = method;
	req->has_body = false;
	req->replay = true;
	req->call.idempotent = true;
	entry_buffer_clear(&req->body);
	curl_slist_free_all(req->headers);
	req->headers = NULL;
	req->forward = entry_forward_pool(claims->entry->forward, address);
	return req->forward != NULL;
}

void entry_claims_replay_response(entry_claims_t *claims, entry_request_t *req,
				  const claim_record_t *existing)
{
	bool ours = !strcmp(existing->id.coordinator,
			    claims->entry->settings.name);

	if (ours && response_copy_to_request(claims, req, &existing->key)) {
		entry_request_end(req, false);
		return;
	}
	/* While the body is streamed the request cannot be rewritten. */
	if (!ours && !req->body_streamed &&
	    response_request_from_coordinator(claims, req, existing)) {
		entry_dispatch_arrive(req, time_now());
		return;
	}
	entry_request_fail(req, HTTP_CONFLICT, ENTRY_RAN, "key", 0);
}

static bool response_parse_argument(const entry_control_request_t *in,
				    const char *name, uint64_t *out)
{
	const char *text = MHD_lookup_connection_value(in->connection,
						       MHD_GET_ARGUMENT_KIND,
						       name);
	char *end;

	if (!text || !*text)
		return false;
	*out = strtoull(text, &end, 16);
	return !*end;
}

void entry_claims_response_handle(const entry_control_request_t *in,
				  entry_reply_t *reply)
{
	entry_claims_t *claims = in->entry->claims;
	const stored_response_t *stored;
	claim_key_t key;

	if (!response_parse_argument(in, "high", &key.high) ||
	    !response_parse_argument(in, "low", &key.low)) {
		entry_reply_error(
			reply, 400,
			"high or low is missing or not a hexadecimal "
			"number; send the two halves of a claim's key");
		return;
	}
	pthread_mutex_lock(&claims->lock);
	stored = response_find(claims, &key);
	if (stored) {
		reply->status = stored->status;
		reply->outcome = entry_outcome_name(ENTRY_RAN);
		reply->body = malloc(stored->size + 1);
		reply->size = reply->body ? stored->size : 0;
		if (reply->body) {
			memcpy(reply->body, stored->body, stored->size);
			reply->body[stored->size] = '\0';
		}
		response_copy_headers(&reply->headers, &stored->headers);
	}
	pthread_mutex_unlock(&claims->lock);
	if (stored)
		return;
	entry_reply_error(reply, HTTP_CONFLICT,
			  "the response is no longer stored; look the call "
			  "up by its key at the service");
	reply->outcome = entry_outcome_name(ENTRY_RAN);
}

void entry_claims_free_responses(entry_claims_t *claims)
{
	stored_response_t *stored;
	stored_response_t *next;

	cds_list_for_each_entry_safe (stored, next, &claims->responses, link)
		response_remove(claims, stored);
}
