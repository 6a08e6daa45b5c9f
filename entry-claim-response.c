#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-claim-internal.h"

#define ANSWER_MEMBERS_MAX 256
#define ANSWER_TARGET_MAX 96
#define HTTP_CONFLICT 409

/* The answer of a keyed call, kept by its runner. */
typedef struct {
	struct cds_list_head link;
	claim_key_t key;
	unsigned status;
	struct cds_list_head headers;
	size_t size;
	char body[];
} kept_t;

static void answer_headers_free(struct cds_list_head *headers)
{
	entry_header_t *header;
	entry_header_t *next;

	cds_list_for_each_entry_safe (header, next, headers, link) {
		free(header->name);
		free(header->value);
		free(header);
	}
}

static void answer_drop(entry_claims_t *claims, kept_t *kept)
{
	cds_list_del(&kept->link);
	claims->answer_bytes -= sizeof(*kept) + kept->size;
	answer_headers_free(&kept->headers);
	free(kept);
}

static void answer_copy_headers(struct cds_list_head *to,
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

void entry_claims_keep(entry_claims_t *claims, const claim_key_t *key,
		       const entry_response_t *answer)
{
	const entry_buffer_t *body = &answer->body;
	size_t size = entry_buffer_length(body);
	size_t max = (size_t)claims->entry->settings.claims.answers_kb * 1024;
	kept_t *kept = malloc(sizeof(*kept) + size);
	kept_t *next;

	if (!kept)
		return;
	kept->key = *key;
	kept->status = answer->status;
	kept->size = size;
	if (size)
		memcpy(kept->body, body->bytes + body->start, size);
	CDS_INIT_LIST_HEAD(&kept->headers);
	answer_copy_headers(&kept->headers, &answer->headers);
	pthread_mutex_lock(&claims->lock);
	cds_list_add_tail(&kept->link, &claims->answers);
	claims->answer_bytes += sizeof(*kept) + size;
	cds_list_for_each_entry_safe (kept, next, &claims->answers, link) {
		if (claims->answer_bytes <= max)
			break;
		answer_drop(claims, kept);
	}
	pthread_mutex_unlock(&claims->lock);
}

static const kept_t *answer_find(const entry_claims_t *claims,
				 const claim_key_t *key)
{
	const kept_t *kept;

	cds_list_for_each_entry (kept, &claims->answers, link)
		if (!claim_key_compare(&kept->key, key))
			return kept;
	return NULL;
}

/* Put a kept answer into a request; false if it is kept no more. */
static bool answer_fill(entry_claims_t *claims, entry_request_t *req,
			const claim_key_t *key)
{
	const kept_t *kept;
	entry_response_t *answer = &req->response;

	pthread_mutex_lock(&claims->lock);
	kept = answer_find(claims, key);
	if (kept) {
		pthread_mutex_lock(&req->lock);
		answer->status = kept->status;
		answer->outcome = ENTRY_RAN;
		answer->length = (int64_t)kept->size;
		answer_copy_headers(&answer->headers, &kept->headers);
		entry_buffer_add(&answer->body, kept->body, kept->size);
		pthread_mutex_unlock(&req->lock);
	}
	pthread_mutex_unlock(&claims->lock);
	return kept != NULL;
}

/* The control address of a live entry, or false. */
static bool answer_runner(entry_claims_t *claims, const char *runner, char *out)
{
	owner_member_t members[ANSWER_MEMBERS_MAX];
	unsigned count;
	unsigned i;

	count = entry_lookup_members(claims->entry, members,
				     ANSWER_MEMBERS_MAX);
	for (i = 0; i < count; i++) {
		if (strcmp(members[i].name, runner))
			continue;
		strcpy(out, members[i].control_address);
		return true;
	}
	return false;
}

/* Turn a request into one for the kept answer at its runner. */
static bool answer_ask_runner(entry_claims_t *claims, entry_request_t *req,
			      const claim_record_t *known)
{
	char address[HL_ADDRESS_MAX];
	char *target = malloc(ANSWER_TARGET_MAX);
	char *method = strdup("GET");

	if (!target || !method ||
	    !answer_runner(claims, known->id.coordinator, address)) {
		free(target);
		free(method);
		return false;
	}
	snprintf(target, ANSWER_TARGET_MAX,
		 "/v1/answer?high=%" PRIx64 "&low=%" PRIx64, known->key.high,
		 known->key.low);
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

void entry_claims_repeat(entry_claims_t *claims, entry_request_t *req,
			 const claim_record_t *known)
{
	bool ours = !strcmp(known->id.coordinator,
			    claims->entry->settings.name);

	if (ours && answer_fill(claims, req, &known->key)) {
		entry_request_end(req, false);
		return;
	}
	/* A body that is still coming in cannot be turned round. */
	if (!ours && !req->body_streamed &&
	    answer_ask_runner(claims, req, known)) {
		entry_dispatch_arrive(req, time_now());
		return;
	}
	entry_request_fail(req, HTTP_CONFLICT, ENTRY_RAN, "key", 0);
}

static bool answer_argument(const entry_control_request_t *in, const char *name,
			    uint64_t *out)
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

void entry_claims_answer_handle(const entry_control_request_t *in,
				entry_reply_t *reply)
{
	entry_claims_t *claims = in->entry->claims;
	const kept_t *kept;
	claim_key_t key;

	if (!answer_argument(in, "high", &key.high) ||
	    !answer_argument(in, "low", &key.low)) {
		entry_reply_error(reply, 400,
				  "high and low are missing or no hexadecimal "
				  "numbers; send the key of a claim");
		return;
	}
	pthread_mutex_lock(&claims->lock);
	kept = answer_find(claims, &key);
	if (kept) {
		reply->status = kept->status;
		reply->outcome = entry_outcome_name(ENTRY_RAN);
		reply->body = malloc(kept->size + 1);
		reply->size = reply->body ? kept->size : 0;
		if (reply->body) {
			memcpy(reply->body, kept->body, kept->size);
			reply->body[kept->size] = '\0';
		}
		answer_copy_headers(&reply->headers, &kept->headers);
	}
	pthread_mutex_unlock(&claims->lock);
	if (kept)
		return;
	entry_reply_error(reply, HTTP_CONFLICT,
			  "the answer is kept no more; look the call up by "
			  "its key at the service");
	reply->outcome = entry_outcome_name(ENTRY_RAN);
}

void entry_claims_forget_answers(entry_claims_t *claims)
{
	kept_t *kept;
	kept_t *next;

	cds_list_for_each_entry_safe (kept, next, &claims->answers, link)
		answer_drop(claims, kept);
}
