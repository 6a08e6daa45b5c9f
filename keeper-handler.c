#include <errno.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-control.h"
#include "pack.h"
#include "headers.h"

/*
 * The handlers of keeper-control.h. They translate between HTTP and the calls
 * of keeper-core.h. All their state is in the request.
 */

/* Maximum times that a routing change and an announcement wait to be committed
 * and applied; then the response is 503. */
#define HANDLER_ROUTING_TIMEOUT (3 * USEC_PER_SEC)
#define HANDLER_ANNOUNCE_TIMEOUT (900 * USEC_PER_MS)
/* Maximum number of addresses in the response of one directory look-up. */
#define HANDLER_ADDRESSES_MAX 64
#define HANDLER_TARGETS_PATH "/v1/targets/"

void keeper_handler_respond_error(keeper_control_request_t *request,
				  unsigned status, const char *fmt, ...)
{
	char text[HL_MESSAGE_MAX];
	json_t *root;
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	root = json_pack("{s:s}", "error", text);
	request->response = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	request->status = status;
	request->retry_after = status == MHD_HTTP_SERVICE_UNAVAILABLE;
	request->has_response = true;
}

static void handler_respond_ok(keeper_control_request_t *request)
{
	request->status = MHD_HTTP_OK;
	request->response = strdup("{}");
	request->has_response = true;
}

/* Redirect the client to the leader, at the port on which this keeper listens:
 * all keepers have the same port in keeper.control. */
static void handler_redirect_to_leader(keeper_control_request_t *request)
{
	const char *own = keeper_control_core(request)->settings.control;
	char leader[HL_NAME_MAX];

	if (!keeper_core_leader(keeper_control_core(request), leader)) {
		keeper_handler_respond_error(request,
					     MHD_HTTP_SERVICE_UNAVAILABLE,
					     "no leader is known; retry");
		return;
	}
	snprintf(request->location, sizeof(request->location), "http://%s%s%s",
		 leader, strrchr(own, ':'), request->path);
	request->status = MHD_HTTP_TEMPORARY_REDIRECT;
	request->response = strdup("{}");
	request->has_response = true;
}

void keeper_handler_respond_verdict(keeper_control_request_t *request,
				    keeper_verdict_t verdict,
				    const hl_error_t *err)
{
	switch (verdict) {
	case KEEPER_VERDICT_DONE:
		handler_respond_ok(request);
		break;
	case KEEPER_VERDICT_WAIT:
		break;
	case KEEPER_VERDICT_NOT_LEADER:
		handler_redirect_to_leader(request);
		break;
	case KEEPER_VERDICT_BUSY:
		keeper_handler_respond_error(
			request, MHD_HTTP_SERVICE_UNAVAILABLE, "%s",
			*err->message ? err->message :
					"the state is unknown now; retry");
		break;
	case KEEPER_VERDICT_CONFLICT:
		keeper_handler_respond_error(request,
					     MHD_HTTP_PRECONDITION_FAILED, "%s",
					     err->message);
		break;
	case KEEPER_VERDICT_REFUSED:
		keeper_handler_respond_error(request, MHD_HTTP_BAD_REQUEST,
					     "%s", err->message);
		break;
	}
}

void keeper_handler_get_routing(keeper_control_request_t *request, usec_t now)
{
	hl_error_t err = { 0 };
	keeper_verdict_t verdict;
	char *text = NULL;

	verdict = keeper_core_read_routing(keeper_control_core(request), &text,
					   now);
	keeper_handler_respond_verdict(request, verdict, &err);
	if (verdict != KEEPER_VERDICT_DONE)
		return;
	free(request->response);
	request->response = text;
}

/* Read the routing version that a change is based on from the header @name.
 * Return 0, or -1 if it is missing or not a number. */
static int handler_read_base_version(const keeper_control_request_t *request,
				     const char *name, uint64_t *base)
{
	const char *text = MHD_lookup_connection_value(request->connection,
						       MHD_HEADER_KIND, name);
	char *end;

	if (!text || *text < '0' || *text > '9')
		return -1;
	errno = 0;
	*base = strtoull(text, &end, 10);
	return errno || *end ? -1 : 0;
}

/* Derive the change id from the content, so that a request that is sent again,
 * to any keeper, is recognized as the same change. */
static void handler_set_change_id(keeper_control_request_t *request)
{
	uint64_t hash = hl_hash(request->body, request->body_size,
				request->routing_change.base_version);

	hash = hl_hash(request->method, strlen(request->method), hash);
	snprintf(request->routing_change.id, sizeof(request->routing_change.id),
		 "routing-%" PRIu64 "-%016" PRIx64,
		 request->routing_change.new_version, hash);
}

static void handler_submit_routing(keeper_control_request_t *request,
				   const routing_document_t *document,
				   usec_t now)
{
	keeper_core_t *core = keeper_control_core(request);
	hl_error_t err = { 0 };
	keeper_verdict_t verdict;

	request->routing_change.new_version = document->version;
	handler_set_change_id(request);
	request->deadline = now + HANDLER_ROUTING_TIMEOUT;
	verdict = keeper_core_submit_routing(core, &request->routing_change,
					     document, now, &err);
	keeper_handler_respond_verdict(request, verdict, &err);
	log_event(LOG_LEVEL_INFO, "routing-order",
		  "id=%s base=%" PRIu64 " version=%" PRIu64
		  " verdict=%d status=%u",
		  request->routing_change.id,
		  request->routing_change.base_version,
		  request->routing_change.new_version, (int)verdict,
		  request->status);
}

void keeper_handler_change_routing(keeper_control_request_t *request,
				   usec_t now)
{
	routing_scope_t scope = strcmp(request->method, "PUT") ?
					ROUTING_CHANGES :
					ROUTING_FULL;
	const char *base =
		keeper_control_core(request)->settings.headers->base_version;
	char quoted[2 * HL_MESSAGE_MAX];
	routing_document_t document;
	hl_error_t err = { 0 };

	if (handler_read_base_version(request, base,
				      &request->routing_change.base_version)) {
		keeper_handler_respond_error(
			request, MHD_HTTP_BAD_REQUEST,
			"%s must have the version that the change is "
			"based on; 0 if there is none",
			base);
		return;
	}
	if (!routing_read(request->body ? request->body : "",
			  request->body_size, scope, &document, &err)) {
		handler_submit_routing(request, &document, now);
	} else {
		log_event(LOG_LEVEL_WARNING, "routing-refused", "message=%s",
			  log_quote(err.message, quoted, sizeof(quoted)));
		keeper_handler_respond_error(request, MHD_HTTP_BAD_REQUEST,
					     "%s", err.message);
	}
	routing_clear(&document);
}

static const char *handler_copy_id(const keeper_control_request_t *request)
{
	return request->path + strlen(HANDLER_TARGETS_PATH);
}

/* Queue an announcement for the log if it is new, and record that the copy is
 * alive. */
static void handler_announce(keeper_control_request_t *request, usec_t now)
{
	keeper_core_t *core = keeper_control_core(request);
	keeper_verdict_t verdict = keeper_core_announce(core, &request->target);
	hl_error_t err = { 0 };

	hl_error_set(&err, HL_ERR_REFUSED,
		     "the routing has no service %s; declare it first",
		     request->target.service);
	request->is_announcement = true;
	request->deadline = now + HANDLER_ANNOUNCE_TIMEOUT;
	keeper_handler_respond_verdict(request, verdict, &err);
	if (verdict == KEEPER_VERDICT_DONE || verdict == KEEPER_VERDICT_WAIT)
		keeper_registry_record_copy(keeper_control_registry(request),
					    request->target.name, now);
	if (verdict == KEEPER_VERDICT_DONE)
		return;
	log_event(LOG_LEVEL_INFO, "copy-announced",
		  "copy=%s service=%s address=%s state=%d sequence=%" PRIu64
		  " verdict=%d",
		  request->target.name, request->target.service,
		  request->target.address, (int)request->target.state,
		  (uint64_t)request->target.sequence, (int)verdict);
}

void keeper_handler_put_target(keeper_control_request_t *request, usec_t now)
{
	char quoted[2 * HL_MESSAGE_MAX];
	hl_error_t err = { 0 };

	if (!routing_target_read(handler_copy_id(request),
				 request->body ? request->body : "",
				 request->body_size, &request->target, &err)) {
		handler_announce(request, now);
		return;
	}
	log_event(LOG_LEVEL_WARNING, "announcement-refused", "message=%s",
		  log_quote(err.message, quoted, sizeof(quoted)));
	keeper_handler_respond_error(request, MHD_HTTP_BAD_REQUEST, "%s",
				     err.message);
}

void keeper_handler_delete_target(keeper_control_request_t *request, usec_t now)
{
	keeper_verdict_t verdict;
	hl_error_t err = { 0 };

	verdict = keeper_core_prepare_leave(keeper_control_core(request),
					    handler_copy_id(request),
					    &request->target, now);
	if (verdict == KEEPER_VERDICT_WAIT)
		handler_announce(request, now);
	else
		keeper_handler_respond_verdict(request, verdict, &err);
}

/* Sets the headers with the addresses of the keepers and their revision. */
static void handler_set_keepers(keeper_control_request_t *request)
{
	presence_keepers_t keepers;
	unsigned i;

	keeper_core_committed_keepers(keeper_control_core(request), &keepers);
	request->keepers_revision = keepers.revision;
	for (i = 0; i < keepers.list.count; i++) {
		if (i)
			strcat(request->keepers, ",");
		strcat(request->keepers, keepers.list.items[i]);
	}
}

/* Whether a poll is for another cluster, as its argument says. */
static bool handler_is_foreign(keeper_control_request_t *request)
{
	const char *name = keeper_control_core(request)->settings.cluster;
	const char *cluster = MHD_lookup_connection_value(request->connection,
							  MHD_GET_ARGUMENT_KIND,
							  "cluster");

	return cluster &&
	       strtoull(cluster, NULL, 10) != hl_hash(name, strlen(name), 0);
}

/* Responds with the configuration, or the changes since the one that the entry has. */
static void handler_fetch(keeper_control_request_t *request, usec_t now)
{
	const char *have = MHD_lookup_connection_value(request->connection,
						       MHD_GET_ARGUMENT_KIND,
						       "have");
	keeper_fetch_args_t args = { 0, TRUE };
	keeper_unconfirmed_t *unconfirmed = calloc(1, sizeof(*unconfirmed));
	keeper_fetch_res_t res;
	char *plain = NULL;
	size_t size = 0;
	bool ok;

	if (have)
		args.have = strtoull(have, NULL, 10);
	args.confirmed = !MHD_lookup_connection_value(request->connection,
						      MHD_GET_ARGUMENT_KIND,
						      "any");
	ok = keeper_core_fetch(keeper_control_core(request), &args, !args.have,
			       &res, unconfirmed, now) &&
	     unconfirmed &&
	     !config_encode((xdrproc_t)xdr_keeper_fetch_res_t, &res, &plain,
			    &size);
	if (ok)
		request->response = pack_deflate(plain, size,
						 &request->binary_size);
	request->status = MHD_HTTP_OK;
	request->has_response = true;
	if (ok && res.confirmed)
		handler_set_keepers(request);
	if (ok && !res.confirmed) {
		request->unconfirmed = unconfirmed;
		unconfirmed = NULL;
	}
	if (!request->response)
		keeper_handler_respond_error(
			request, MHD_HTTP_SERVICE_UNAVAILABLE,
			"out of memory; give the VM more memory");
	free(plain);
	free(unconfirmed);
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
}

void keeper_handler_follow(keeper_control_request_t *request, usec_t now)
{
	if (handler_is_foreign(request))
		keeper_handler_respond_error(
			request, MHD_HTTP_CONFLICT,
			"this keeper is of another cluster; poll those of "
			"entry.cluster");
	else
		handler_fetch(request, now);
}

void keeper_handler_directory(keeper_control_request_t *request, usec_t now)
{
	const char *zone = MHD_lookup_connection_value(request->connection,
						       MHD_GET_ARGUMENT_KIND,
						       "zone");
	char addresses[HANDLER_ADDRESSES_MAX][HL_ADDRESS_MAX];
	json_t *list;
	json_t *root;
	unsigned count;
	unsigned i;

	count = keeper_registry_choose(keeper_control_registry(request),
				       zone ? zone : "", now, addresses,
				       HANDLER_ADDRESSES_MAX);
	if (!count) {
		keeper_handler_respond_error(
			request, MHD_HTTP_SERVICE_UNAVAILABLE,
			"this keeper has no live entry; retry at another one");
		return;
	}
	list = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(list, json_string(addresses[i]));
	root = json_pack("{s:o, s:I}", "addresses", list, "keep_s",
			 (json_int_t)keeper_control_core(request)
				 ->settings.directory_keep_s);
	request->response = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	request->status = MHD_HTTP_OK;
	request->has_response = true;
}
