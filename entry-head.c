#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "entry-http.h"

/*
 * Parsing of request heads: validates the headers that the entry uses, finds
 * the upstream and the deadline of the call, and selects the headers to relay.
 */

#define HEAD_DEADLINE_MAX_MS 600000
/* Time from arrival to deadline of a call that waits for the first routes. */
#define HEAD_PENDING_TIMEOUT (2 * USEC_PER_SEC)
/* Wait suggested to a caller shortly after the start, until the routes are known. */
#define HEAD_EARLY_RETRY_AFTER USEC_PER_SEC
/* The same while the routes are outdated. The caller can use another entry at once. */
#define HEAD_OUTDATED_RETRY_AFTER (200 * USEC_PER_MS)

/* State of the iteration over the headers of a request. */
typedef struct {
	entry_request_t *req;
	const char *connection; /* Connection: names of hop-by-hop headers */
	const char *host;
	const char *hop;     /* Hemlock-Hop: signature of a forwarding entry */
	uint64_t revision;   /* of the routes of that entry; 0: not given */
	const char *part;    /* service that it has chosen, or NULL */
	const char *bad;     /* word for an error in the head, or NULL */
	unsigned lengths;    /* number of Content-Length headers */
	unsigned encodings;  /* number of Transfer-Encoding headers */
	int64_t deadline_ms; /* 0: none */
	bool has_accept;
	bool has_content_type; /* Content-Type is present */
} head_t;

/* Headers that are not relayed: hop-by-hop ones, and those that this entry
   writes for each send. */
static const char *const head_dropped[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
	"Hemlock-Hop",
	"Hemlock-Queue",
	"Hemlock-Revision",
	"Hemlock-Part",
	"Hemlock-Deadline-Ms",
	"Proxy-Authorization",
	"Hemlock-No-Retry",
	"Hemlock-Send",
};

/* Whether a header is one that this entry writes for each send under the
   interface, so that it is not relayed. */
static bool head_is_interface_header(const headers_t *names, const char *name)
{
	return (names->deadline_ms && !strcasecmp(names->deadline_ms, name)) ||
	       (names->expected_copy &&
		!strcasecmp(names->expected_copy, name));
}

static bool head_is_dropped(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(head_dropped) / sizeof(head_dropped[0]); i++)
		if (!strcasecmp(head_dropped[i], name))
			return true;
	return false;
}

bool entry_head_list_contains(const char *list, const char *name)
{
	size_t length = strlen(name);

	while (list && *list) {
		size_t word;

		list += strspn(list, " \t,");
		word = strcspn(list, " \t,");
		if (word == length && !strncasecmp(list, name, length))
			return true;
		list += word;
	}
	return false;
}

static void head_copy_name(head_t *head, char *out, const char *value,
			   const char *bad)
{
	if (hl_name_valid(value))
		strcpy(out, value);
	else
		head->bad = bad;
}

static void head_read_deadline(head_t *head, const char *value)
{
	char *end;
	long ms = strtol(value, &end, 10);

	if (!isdigit((unsigned char)*value) || *end || ms < 1 ||
	    ms > HEAD_DEADLINE_MAX_MS)
		head->bad = "deadline";
	else
		head->deadline_ms = ms;
}

static void head_read_key(head_t *head, const char *value)
{
	size_t length = strlen(value);
	size_t i;

	for (i = 0; i < length; i++)
		if (!isgraph((unsigned char)value[i]))
			head->bad = "key";
	if (length == 0 || length >= sizeof(head->req->key))
		head->bad = "key";
	else
		memcpy(head->req->key, value, length + 1);
}

static void head_read_no_retry(head_t *head, const char *value)
{
	if (strcmp(value, "0") && strcmp(value, "1"))
		head->bad = "no-retry";
	head->req->call.no_retry = *value == '1';
}

/* Reads the number of calls that wait at the entry that forwarded this call. */
static void head_read_queue(head_t *head, const char *value)
{
	char *end;
	unsigned long waiting = strtoul(value, &end, 10);

	if (!isdigit((unsigned char)*value) || *end ||
	    waiting > ENTRY_QUEUE_REPORT_MAX)
		head->bad = "queue";
	else
		head->req->forwarder_queue = (unsigned)waiting;
}

static void head_read_framing(head_t *head, const char *name, const char *value)
{
	if (!strcasecmp(name, "Content-Length")) {
		head->lengths++;
		head->req->body_length = strtoll(value, NULL, 10);
		head->req->has_body = head->req->body_length > 0;
	} else if (!strcasecmp(name, "Transfer-Encoding")) {
		head->encodings++;
		head->req->has_body = true;
		head->req->body_length = -1;
		if (strcasecmp(value, "chunked"))
			head->bad = "encoding";
	}
}

static void head_read_header(head_t *head, const char *name, const char *value)
{
	entry_request_t *req = head->req;

	if (!strcasecmp(name, "Host"))
		head->host = value;
	else if (!strcasecmp(name, "Connection"))
		head->connection = value;
	else if (!strcasecmp(name, "Accept"))
		head->has_accept = true;
	else if (!strcasecmp(name, "Content-Type"))
		head->has_content_type = true;
	else if (!strcasecmp(name, "Hemlock-Tenant"))
		head_copy_name(head, req->tenant, value, "tenant");
	else if (!strcasecmp(name, "Hemlock-Class"))
		head_copy_name(head, req->class_name, value, "class");
	else if (!strcasecmp(name, "Hemlock-Hop"))
		head->hop = value;
	else if (!strcasecmp(name, "Hemlock-Revision"))
		head->revision = g_ascii_strtoull(value, NULL, 10);
	else if (!strcasecmp(name, "Hemlock-Part"))
		head->part = value;
	else if (!strcasecmp(name, "Hemlock-Queue"))
		head_read_queue(head, value);
	else if (!strcasecmp(name, "Hemlock-Deadline-Ms"))
		head_read_deadline(head, value);
	else if (!strcasecmp(name, "Hemlock-No-Retry"))
		head_read_no_retry(head, value);
	else if (!strcasecmp(name, "Idempotency-Key"))
		head_read_key(head, value);
	else
		head_read_framing(head, name, value);
}

/* Reads a header of a non-native interface; false if it is another header. */
static bool head_read_interface(head_t *head, const char *name,
				const char *value)
{
	entry_request_t *req = head->req;
	const headers_t *names = req->entry->settings.headers;

	if (names->native)
		return false;
	if (!strcasecmp(name, names->deadline_ms)) {
		head_read_deadline(head, value);
		return true;
	}
	if (strcasecmp(name, names->call_id))
		return false;
	if (strlen(value) >= sizeof(req->call_id))
		head->bad = "call-id";
	else
		strcpy(req->call_id, value);
	return true;
}

static enum MHD_Result head_read(void *context, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	(void)kind;
	if (value == entry_http_no_cookie)
		return MHD_YES;
	if (!head_read_interface(context, name, value ? value : ""))
		head_read_header(context, name, value ? value : "");
	return MHD_YES;
}

static void head_append(head_t *head, const char *line)
{
	struct curl_slist *list = curl_slist_append(head->req->headers, line);

	if (list)
		head->req->headers = list;
	else
		head->bad = "memory";
}

static enum MHD_Result head_forward_header(void *context,
					   enum MHD_ValueKind kind,
					   const char *name, const char *value)
{
	head_t *head = context;
	char *line;
	int length;

	(void)kind;
	if (value == entry_http_no_cookie || head_is_dropped(name) ||
	    head_is_interface_header(head->req->entry->settings.headers,
				     name) ||
	    entry_head_list_contains(head->connection, name))
		return MHD_YES;
	/* libcurl sends a header without a value if a semicolon follows it. */
	if (value && *value)
		length = asprintf(&line, "%s: %s", name, value);
	else
		length = asprintf(&line, "%s;", name);
	if (length < 0) {
		head->bad = "memory";
		return MHD_YES;
	}
	head_append(head, line);
	free(line);
	return MHD_YES;
}

/* Turns off headers that libcurl adds by default. */
static void head_suppress(head_t *head)
{
	if (!head->has_accept)
		head_append(head, "Accept:");
	if (!head->has_content_type)
		head_append(head, "Content-Type:");
	head_append(head, "Expect:");
	if (head->req->has_body && head->req->body_length < 0)
		head_append(head, "Transfer-Encoding: chunked");
}

static int head_find_service(head_t *head, hl_error_t *err)
{
	entry_request_t *req = head->req;
	char service[HL_NAME_MAX];
	size_t length;

	if (!head->host)
		return hl_error_set(err, HL_ERR_PROTOCOL, "no Host header");
	length = strcspn(head->host, ":");
	if (length >= sizeof(service))
		return hl_error_set(err, HL_ERR_NOT_FOUND,
				    "service name too long");
	memcpy(service, head->host, length);
	service[length] = '\0';
	req->upstream = entry_config_upstream(req->entry, service);
	if (!req->upstream)
		return hl_error_set(err, HL_ERR_NOT_FOUND, "unknown service");
	return 0;
}

/* Finds the route of a call by host and path, with entry.routed. */
static int head_find_rule(entry_request_t *req, const char *part,
			  entry_rule_t *rule, hl_error_t *err)
{
	char service[HL_NAME_MAX];

	if (!req->host)
		return hl_error_set(err, HL_ERR_PROTOCOL, "no Host header");
	if (!entry_target_match_route(req->entry, req->host, req->target, part,
				      rule, service, req->rule_name))
		return hl_error_set(err, HL_ERR_NOT_FOUND, "no route matches");
	req->upstream = entry_upstream_find_or_add(req->entry, service);
	if (!req->upstream)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	return 0;
}

/* Applies the properties of a route to its call. */
static void head_set_rule(entry_request_t *req, const entry_rule_t *rule,
			  usec_t now)
{
	entry_call_t *call = &req->call;
	usec_t time_left = rule->timeout;

	if (req->deadline_ms && req->deadline_ms * USEC_PER_MS < time_left)
		time_left = req->deadline_ms * USEC_PER_MS;
	strcpy(call->tenant, "none");
	strcpy(req->tenant, "none");
	strcpy(req->class_name, req->rule_name);
	req->rules_revision = rule->revision;
	req->upload = rule->upload;
	req->body_max = rule->body_max;
	call->priority = rule->priority;
	call->idempotent = rule->idempotent;
	call->attempts_max = rule->attempts_max;
	call->objective = rule->objective;
	call->work_kind = (unsigned)hl_hash(req->rule_name,
					    strlen(req->rule_name), 0);
	call->arrived = now;
	call->deadline = now + time_left;
	req->caller_deadline = call->deadline;
	if (req->deadline_ms)
		req->caller_deadline = now + req->deadline_ms * USEC_PER_MS;
}

static bool head_is_idempotent(const char *method, bool post)
{
	static const char *const always[] = { "GET", "HEAD",   "OPTIONS",
					      "PUT", "DELETE", "TRACE" };
	size_t i;

	for (i = 0; i < sizeof(always) / sizeof(always[0]); i++)
		if (!strcmp(always[i], method))
			return true;
	return post;
}

/* Sets the class that the caller named, or the last one of the profile. */
static void head_set_class(entry_request_t *req,
			   const config_profile_t *profile, int64_t *deadline)
{
	u_int count = profile->classes.classes_len;
	u_int i;

	*deadline = profile->deadline_ms;
	if (!count)
		return;
	for (i = 0; i + 1 < count; i++)
		if (!strcmp(profile->classes.classes_val[i].name,
			    req->class_name))
			break;
	req->call.class_index = i;
	req->call.priority = profile->classes.classes_val[i].priority;
	if (profile->classes.classes_val[i].deadline_ms)
		*deadline = profile->classes.classes_val[i].deadline_ms;
	strcpy(req->class_name, profile->classes.classes_val[i].name);
}

static void head_set_call(head_t *head, usec_t now)
{
	entry_request_t *req = head->req;
	entry_call_t *call = &req->call;
	entry_upstream_t *upstream = req->upstream;
	int64_t deadline_ms;

	pthread_mutex_lock(&upstream->lock);
	head_set_class(req, upstream->profile, &deadline_ms);
	call->idempotent = head_is_idempotent(
		req->method, upstream->profile->post_idempotent);
	pthread_mutex_unlock(&upstream->lock);
	if (head->deadline_ms)
		deadline_ms = head->deadline_ms;
	if (!*req->tenant)
		strcpy(req->tenant, "none");
	memcpy(call->tenant, req->tenant, sizeof(call->tenant));
	call->from_sibling = *req->forwarded_by != '\0';
	if (!call->from_sibling)
		req->forwarder_queue = 0;
	call->arrived = now;
	call->deadline = now + deadline_ms * USEC_PER_MS;
}

static const char *head_check(const head_t *head)
{
	if (head->bad)
		return head->bad;
	if (head->lengths > 1 || head->encodings > 1 ||
	    (head->lengths && head->encodings))
		return "framing";
	if (*head->req->target != '/' && strcmp(head->req->target, "*"))
		return "target";
	if (!strcmp(head->req->method, "CONNECT"))
		return "method";
	return NULL;
}

/* Verifies the header Hemlock-Hop; false if its signature is not valid. */
static bool head_read_hop(const head_t *head)
{
	entry_request_t *req = head->req;

	return !head->hop ||
	       keys_hop_read(req->entry->keys, head->hop, req->upstream->name,
			     g_get_real_time() / USEC_PER_MS,
			     req->forwarded_by);
}

static int head_refuse(entry_request_t *req, unsigned status,
		       const char *reason)
{
	entry_request_fail(req, status, ENTRY_NOT_RUN, reason, 0);
	return -1;
}

static int head_refuse_service(entry_request_t *req, hl_error_kind_t kind)
{
	switch (kind) {
	case HL_ERR_PROTOCOL:
		return head_refuse(req, HTTP_BAD_REQUEST, "request");
	case HL_ERR_NOT_FOUND:
		return head_refuse(req, HTTP_NOT_FOUND, "service");
	default:
		return head_refuse(req, HTTP_UNAVAILABLE, "memory");
	}
}

/* Refuses a call as long as its route is not known. */
static int head_refuse_unrouted(entry_request_t *req, const char *reason,
				usec_t retry_after)
{
	entry_request_fail(req, HTTP_UNAVAILABLE, ENTRY_NOT_RUN, reason,
			   retry_after);
	return -1;
}

/* Finds the route of a call; @part is as in entry_rules_match(). A newer revision
   that is late may have moved or dropped the route. */
static entry_match_t head_route_part(entry_request_t *req, const char *part)
{
	/* Read before the routes: these may be replaced and confirmed meanwhile. */
	bool confirmed = entry_config_confirmed(req->entry, req->call.arrived);
	unsigned start_state = entry_config_start_state(req->entry);
	entry_rule_t rule = { 0 };
	hl_error_t err;

	req->confirmed_at = entry_config_confirmed_at(req->entry);
	req->held_state = 0;
	if (entry_config_outdated(req->entry, req->call.arrived)) {
		head_refuse_unrouted(req, "outdated",
				     HEAD_OUTDATED_RETRY_AFTER);
		return ENTRY_MATCH_REFUSED;
	}
	if (head_find_rule(req, part, &rule, &err)) {
		if (err.kind == HL_ERR_NOT_FOUND)
			entry_trace_no_route(req, req->call.arrived);
		if (err.kind == HL_ERR_NOT_FOUND && !confirmed)
			return ENTRY_MATCH_UNKNOWN;
		head_refuse_service(req, err.kind);
		return ENTRY_MATCH_REFUSED;
	}
	if (entry_config_holds(req->entry, start_state, req, &rule,
			       time_now())) {
		req->held_state = start_state;
		return ENTRY_MATCH_UNKNOWN;
	}
	head_set_rule(req, &rule, req->call.arrived);
	if (!req->body_max || req->body_length <= (int64_t)req->body_max)
		return ENTRY_MATCH_FOUND;
	head_refuse(req, HTTP_CONTENT_TOO_LARGE, "body-too-large");
	return ENTRY_MATCH_REFUSED;
}

entry_match_t entry_head_route(entry_request_t *req)
{
	return head_route_part(req, NULL);
}

/*
 * Routes a call that a sibling could not send to any copy. Its caller may have
 * seen the effect of the sibling's routes, so older ones must not be applied.
 */
static int head_route_handover(head_t *head)
{
	entry_request_t *req = head->req;

	if (head->revision > entry_target_rules_revision(req->entry)) {
		config_follow_on_sibling(req->entry->follow, req->call.arrived);
		return head_refuse(req, HTTP_UNAVAILABLE, "revision");
	}
	switch (head_route_part(req, head->part)) {
	case ENTRY_MATCH_REFUSED:
		return -1;
	case ENTRY_MATCH_UNKNOWN:
		return head_refuse(req, HTTP_UNAVAILABLE, "revision");
	case ENTRY_MATCH_FOUND:
		break;
	}
	req->call.from_sibling = true;
	return 0;
}

/* Verifies the headers of a call that a sibling hands over with entry.routed. The
   response tells the sibling the outcome, so this comes before any refusal. */
static int head_check_handover(const head_t *head)
{
	entry_request_t *req = head->req;

	if (!req->entry->settings.routed || !head->hop)
		return 0;
	if (keys_hop_read(req->entry->keys, head->hop,
			  head->part ? head->part : "",
			  g_get_real_time() / USEC_PER_MS, req->forwarded_by))
		return 0;
	return head_refuse(req, HTTP_FORBIDDEN, "hop");
}

/* Matches a call of a caller to the routes. One without a route waits until a
   leading keeper has confirmed that there is none. */
static int head_route_caller(entry_request_t *req)
{
	if (req->pending)
		return 0;
	switch (entry_head_route(req)) {
	case ENTRY_MATCH_FOUND:
		return 0;
	case ENTRY_MATCH_REFUSED:
		return -1;
	case ENTRY_MATCH_UNKNOWN:
		break;
	}
	req->pending = entry_pending_accepts(req->entry->pending,
					     req->call.arrived) ||
		       entry_config_may_confirm(req->entry, req->call.arrived);
	req->unconfirmed = true;
	if (req->pending)
		return 0;
	return head_refuse_unrouted(req, "unconfirmed", HEAD_EARLY_RETRY_AFTER);
}

/* Finds the upstream of a call, and its deadline. */
static int head_route(head_t *head)
{
	entry_request_t *req = head->req;
	hl_error_t err;

	if (req->entry->settings.routed && head->hop)
		return head_route_handover(head);
	if (req->entry->settings.routed)
		return head_route_caller(req);
	if (head_find_service(head, &err))
		return head_refuse_service(req, err.kind);
	if (!head_read_hop(head))
		return head_refuse(req, HTTP_FORBIDDEN, "hop");
	head_set_call(head, req->call.arrived);
	return 0;
}

/* Whether no configuration, or with entry.routed no route, is in force yet. */
static bool head_config_missing(entry_t *entry)
{
	return !entry_config_ready(entry) ||
	       (entry->settings.routed && !entry_target_has_routes(entry));
}

/* Stores the Host header of a call that waits for routes, to match it later. */
static int head_store_for_match(head_t *head)
{
	entry_request_t *req = head->req;
	usec_t now = req->call.arrived;

	req->deadline_ms = head->deadline_ms;
	req->call.deadline = now + HEAD_PENDING_TIMEOUT;
	if (!head->host)
		return 0;
	req->host = strdup(head->host);
	return req->host ? 0 : -1;
}

/* Answers the question of a sibling about a service; the result is that of
   entry_head_read(). */
static int head_answer_sibling(const head_t *head, const char *service)
{
	entry_request_t *req = head->req;
	char sibling[HL_NAME_MAX];

	req->question = true;
	if (!head->hop ||
	    !keys_hop_read(req->entry->keys, head->hop, service,
			   g_get_real_time() / USEC_PER_MS, sibling))
		return head_refuse(req, HTTP_FORBIDDEN, "hop");
	entry_sibling_answer(req, service, req->call.arrived);
	return -1;
}

/* As head_answer_sibling(), for a question for the keepers. */
static int head_answer_keepers(const head_t *head)
{
	entry_request_t *req = head->req;
	char sibling[HL_NAME_MAX];

	req->question = true;
	if (!head->hop ||
	    !keys_hop_read(req->entry->keys, head->hop, CONFIG_ASK_TARGET,
			   g_get_real_time() / USEC_PER_MS, sibling))
		return head_refuse(req, HTTP_FORBIDDEN, "hop");
	entry_keepers_answer(req, req->call.arrived);
	return -1;
}

int entry_head_read(entry_request_t *req, const char *method)
{
	head_t head = { .req = req };
	const char *service = entry_sibling_question(req->target);
	const char *bad;

	req->method = strdup(method);
	req->head_only = !strcmp(method, "HEAD");
	MHD_get_connection_values(req->connection, MHD_HEADER_KIND, head_read,
				  &head);
	if (service)
		return head_answer_sibling(&head, service);
	if (!strcmp(req->target, CONFIG_ASK_TARGET))
		return head_answer_keepers(&head);
	bad = head_check(&head);
	if (bad)
		return head_refuse(req, HTTP_BAD_REQUEST, "request");
	if (head_check_handover(&head))
		return -1;
	if (head_store_for_match(&head))
		return head_refuse(req, HTTP_UNAVAILABLE, "memory");
	if (head_config_missing(req->entry)) {
		req->pending = !head.hop &&
			       entry_pending_accepts(req->entry->pending,
						     req->call.arrived);
		if (!req->pending)
			return head_refuse_unrouted(req, "starting",
						    HEAD_EARLY_RETRY_AFTER);
	}
	if (head_route(&head))
		return -1;
	MHD_get_connection_values(req->connection, MHD_HEADER_KIND,
				  head_forward_header, &head);
	head_suppress(&head);
	if (head.bad)
		return head_refuse(req, HTTP_BAD_REQUEST, "request");
	return 0;
}
