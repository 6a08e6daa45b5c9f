#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "entry-claim-internal.h"
#include "entry-control.h"
#include "entry-http.h"

/*
 * Responses of keyed calls. The coordinator of a call stores its response and
 * replays it to requests with the same key, also to those that come to other
 * entries (GET /v1/answer). A replayed response has the id of the request that
 * it is replayed to.
 */

#define RESPONSE_MEMBERS_MAX 256
#define RESPONSE_TARGET_SIZE 128
#define RESPONSE_ID_LINE_SIZE (2 * HL_NAME_MAX)

/* A stored response. */
typedef struct {
	struct cds_list_head link;
	claim_key_t key;
	claim_id_t id; /* claim of the call, as a key may be used again */
	unsigned status;
	struct cds_list_head headers;
	size_t size;
	char body[];
} stored_response_t;

static void response_remove(entry_claims_t *claims, stored_response_t *stored)
{
	cds_list_del(&stored->link);
	claims->response_bytes -= sizeof(*stored) + stored->size;
	entry_headers_clear(&stored->headers);
	free(stored);
}

static void response_add_header(struct cds_list_head *headers, const char *name,
				const char *value)
{
	entry_headers_add(headers, name, strlen(name), value, strlen(value));
}

static void response_copy_headers(struct cds_list_head *to,
				  const struct cds_list_head *from)
{
	const entry_header_t *header;

	cds_list_for_each_entry (header, from, link)
		response_add_header(to, header->name, header->value);
}

/* Adds the id of the request that a response is replayed to, if it has one. */
static void response_add_id(const entry_claims_t *claims,
			    struct cds_list_head *headers, const char *id)
{
	const char *name = claims->entry->settings.headers->call_id;

	if (name && id && *id)
		response_add_header(headers, name, id);
}

/* Whether a header holds for the first request only: the id of the attempt, the
   state of the copy at that time, or a header that Connection names. */
static bool response_is_transient(const headers_t *names,
				  const entry_response_t *response,
				  const char *name)
{
	const char *const transient[] = { names->call_id, names->load,
					  names->leaving, names->rate };
	size_t i;

	for (i = 0; i < sizeof(transient) / sizeof(transient[0]); i++)
		if (transient[i] && !strcasecmp(transient[i], name))
			return true;
	return entry_head_list_contains(response->connection, name);
}

static void response_store_headers(const headers_t *names,
				   struct cds_list_head *to,
				   const entry_response_t *response)
{
	const entry_header_t *header;

	cds_list_for_each_entry (header, &response->headers, link)
		if (!response_is_transient(names, response, header->name))
			response_add_header(to, header->name, header->value);
}

void entry_claims_store_response(entry_claims_t *claims,
				 const claim_record_t *record,
				 const entry_response_t *response)
{
	const entry_buffer_t *body = &response->body;
	size_t size = entry_buffer_length(body);
	size_t max = (size_t)claims->entry->settings.claims.answers_kb * 1024;
	stored_response_t *stored = malloc(sizeof(*stored) + size);
	stored_response_t *next;

	if (!stored)
		return;
	stored->key = record->key;
	stored->id = record->id;
	stored->status = response->status;
	stored->size = size;
	if (size)
		memcpy(stored->body, body->bytes + body->start, size);
	CDS_INIT_LIST_HEAD(&stored->headers);
	response_store_headers(claims->entry->settings.headers,
			       &stored->headers, response);
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

/* Returns the response of a claim, or if @id is NULL the last one of the key. */
static const stored_response_t *response_find(const entry_claims_t *claims,
					      const claim_key_t *key,
					      const claim_id_t *id)
{
	const stored_response_t *stored;

	cds_list_for_each_entry_reverse (stored, &claims->responses, link)
		if (!claim_key_compare(&stored->key, key) &&
		    (!id || claim_id_equal(&stored->id, id)))
			return stored;
	return NULL;
}

/* Copies a stored response to a request; false if it is not stored. */
static bool response_copy_to_request(entry_claims_t *claims,
				     entry_request_t *req,
				     const claim_record_t *existing)
{
	const stored_response_t *stored;
	entry_response_t *response = &req->response;

	pthread_mutex_lock(&claims->lock);
	stored = response_find(claims, &existing->key, &existing->id);
	if (stored) {
		pthread_mutex_lock(&req->lock);
		response->status = stored->status;
		response->outcome = ENTRY_RAN;
		response->length = (int64_t)stored->size;
		response_copy_headers(&response->headers, &stored->headers);
		response_add_id(claims, &response->headers, req->call_id);
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

/* Replaces the headers of a request by its id, which the coordinator echoes. */
static void response_set_id(const entry_claims_t *claims, entry_request_t *req)
{
	const char *name = claims->entry->settings.headers->call_id;
	char line[RESPONSE_ID_LINE_SIZE];

	curl_slist_free_all(req->headers);
	req->headers = NULL;
	if (!name || !*req->call_id)
		return;
	snprintf(line, sizeof(line), "%s: %s", name, req->call_id);
	req->headers = curl_slist_append(NULL, line);
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
		 "/v1/answer?high=%" PRIx64 "&low=%" PRIx64 "&boot=%" PRIx64
		 "&number=%" PRIx64,
		 existing->key.high, existing->key.low, existing->id.boot,
		 existing->id.number);
	free(req->target);
	free(req->method);
	req->target = target;
	req->method = method;
	req->has_body = false;
	req->replay = true;
	req->call.idempotent = true;
	entry_buffer_clear(&req->body);
	response_set_id(claims, req);
	req->forward = entry_forward_pool(claims->entry->forward, address);
	return req->forward != NULL;
}

void entry_claims_replay_response(entry_claims_t *claims, entry_request_t *req,
				  const claim_record_t *existing)
{
	bool ours = !strcmp(existing->id.coordinator,
			    claims->entry->settings.name);

	if (ours && response_copy_to_request(claims, req, existing)) {
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

/* Returns the id of the request that asks for a response, or NULL. */
static const char *response_asking_id(const entry_control_request_t *in)
{
	const char *name = in->entry->settings.headers->call_id;

	return name ? MHD_lookup_connection_value(in->connection,
						  MHD_HEADER_KIND, name) :
		      NULL;
}

/* Reads the claim whose response is asked for; false if only its key is given, as
   by an entry of an earlier build. */
static bool response_parse_id(const entry_control_request_t *in, claim_id_t *id)
{
	strcpy(id->coordinator, in->entry->settings.name);
	return response_parse_argument(in, "boot", &id->boot) &&
	       response_parse_argument(in, "number", &id->number);
}

static void response_fill_reply(entry_reply_t *reply,
				const stored_response_t *stored)
{
	reply->status = stored->status;
	reply->body = malloc(stored->size + 1);
	reply->size = reply->body ? stored->size : 0;
	if (reply->body) {
		memcpy(reply->body, stored->body, stored->size);
		reply->body[stored->size] = '\0';
	}
	response_copy_headers(&reply->headers, &stored->headers);
}

static void response_reply_gone(entry_reply_t *reply)
{
	entry_reply_error(reply, HTTP_CONFLICT,
			  "the response is no longer stored; look the call "
			  "up by its key at the service");
	response_add_header(&reply->headers, "Content-Type", reply->type);
}

void entry_claims_response_handle(const entry_control_request_t *in,
				  entry_reply_t *reply)
{
	entry_claims_t *claims = in->entry->claims;
	const stored_response_t *stored;
	claim_key_t key;
	claim_id_t id;
	bool has_id = response_parse_id(in, &id);

	if (!response_parse_argument(in, "high", &key.high) ||
	    !response_parse_argument(in, "low", &key.low)) {
		entry_reply_error(
			reply, 400,
			"high or low is missing or not a hexadecimal "
			"number; send the two halves of a claim's key");
		return;
	}
	pthread_mutex_lock(&claims->lock);
	stored = response_find(claims, &key, has_id ? &id : NULL);
	if (stored)
		response_fill_reply(reply, stored);
	pthread_mutex_unlock(&claims->lock);
	if (!stored)
		response_reply_gone(reply);
	reply->outcome = entry_outcome_name(ENTRY_RAN);
	response_add_id(claims, &reply->headers, response_asking_id(in));
}

void entry_claims_free_responses(entry_claims_t *claims)
{
	stored_response_t *stored;
	stored_response_t *next;

	cds_list_for_each_entry_safe (stored, next, &claims->responses, link)
		response_remove(claims, stored);
}
