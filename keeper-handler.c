#include <errno.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-control.h"
#include "pack.h"
#include "headers.h"

/* Longest wait for the log. */
#define PAGE_CHANGE_WAIT (3 * USEC_PER_SEC)
#define PAGE_TARGET_WAIT (900 * USEC_PER_MS)
/* Addresses that one look-up names at most. */
#define PAGE_ADDRESSES_MAX 64
#define PAGE_TARGETS "/v1/targets/"

void keeper_page_error(keeper_page_t *page, unsigned status, const char *fmt,
		       ...)
{
	char text[HL_MESSAGE_MAX];
	json_t *root;
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	root = json_pack("{s:s}", "error", text);
	page->text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	page->status = status;
	page->retry = status == MHD_HTTP_SERVICE_UNAVAILABLE;
	page->decided = true;
}

static void page_done(keeper_page_t *page)
{
	page->status = MHD_HTTP_OK;
	page->text = strdup("{}");
	page->decided = true;
}

/* Send the asker to the leader: all keepers serve this page at one port. */
static void page_redirect(keeper_page_t *page)
{
	const char *own = keeper_page_core(page)->settings.control;
	char leader[HL_NAME_MAX];

	if (!keeper_core_leader(keeper_page_core(page), leader)) {
		keeper_page_error(page, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "no leader is known; ask again");
		return;
	}
	snprintf(page->location, sizeof(page->location), "http://%s%s%s",
		 leader, strrchr(own, ':'), page->path);
	page->status = MHD_HTTP_TEMPORARY_REDIRECT;
	page->text = strdup("{}");
	page->decided = true;
}

void keeper_page_verdict(keeper_page_t *page, keeper_verdict_t verdict,
			 const hl_error_t *err)
{
	switch (verdict) {
	case KEEPER_VERDICT_DONE:
		page_done(page);
		break;
	case KEEPER_VERDICT_WAIT:
		break;
	case KEEPER_VERDICT_NOT_LEADER:
		page_redirect(page);
		break;
	case KEEPER_VERDICT_BUSY:
		keeper_page_error(page, MHD_HTTP_SERVICE_UNAVAILABLE, "%s",
				  *err->message ? err->message :
						  "not known now; ask again");
		break;
	case KEEPER_VERDICT_CONFLICT:
		keeper_page_error(page, MHD_HTTP_PRECONDITION_FAILED, "%s",
				  err->message);
		break;
	case KEEPER_VERDICT_REFUSED:
		keeper_page_error(page, MHD_HTTP_BAD_REQUEST, "%s",
				  err->message);
		break;
	}
}

void keeper_page_routing_read(keeper_page_t *page, usec_t now)
{
	hl_error_t err = { 0 };
	keeper_verdict_t verdict;
	char *text = NULL;

	verdict = keeper_core_read_routing(keeper_page_core(page), &text, now);
	keeper_page_verdict(page, verdict, &err);
	if (verdict != KEEPER_VERDICT_DONE)
		return;
	free(page->text);
	page->text = text;
}

/* The version that an order was made from; @name is that of its header. */
static int page_base(const keeper_page_t *page, const char *name,
		     uint64_t *base)
{
	const char *text = MHD_lookup_connection_value(page->connection,
						       MHD_HEADER_KIND, name);
	char *end;

	if (!text || *text < '0' || *text > '9')
		return -1;
	errno = 0;
	*base = strtoull(text, &end, 10);
	return errno || *end ? -1 : 0;
}

/* The same order has the same id, whoever it is sent to. */
static void page_order_id(keeper_page_t *page)
{
	uint64_t hash = hl_hash(page->body, page->size,
				page->order.base_version);

	hash = hl_hash(page->method, strlen(page->method), hash);
	snprintf(page->order.id, sizeof(page->order.id),
		 "routing-%" PRIu64 "-%016" PRIx64, page->order.new_version,
		 hash);
}

static void page_order(keeper_page_t *page, const routing_document_t *document,
		       usec_t now)
{
	keeper_core_t *core = keeper_page_core(page);
	hl_error_t err = { 0 };
	keeper_verdict_t verdict;

	page->order.new_version = document->version;
	page_order_id(page);
	page->deadline = now + PAGE_CHANGE_WAIT;
	verdict = keeper_core_submit_routing(core, &page->order, document, now,
					     &err);
	keeper_page_verdict(page, verdict, &err);
	log_event(LOG_LEVEL_INFO, "routing-order",
		  "id=%s base=%" PRIu64 " version=%" PRIu64
		  " verdict=%d status=%u",
		  page->order.id, page->order.base_version,
		  page->order.new_version, (int)verdict, page->status);
}

void keeper_page_routing_write(keeper_page_t *page, usec_t now)
{
	routing_scope_t scope = strcmp(page->method, "PUT") ? ROUTING_CHANGES :
							      ROUTING_FULL;
	const char *base =
		keeper_page_core(page)->settings.headers->base_version;
	char quoted[2 * HL_MESSAGE_MAX];
	routing_document_t document;
	hl_error_t err = { 0 };

	if (page_base(page, base, &page->order.base_version)) {
		keeper_page_error(page, MHD_HTTP_BAD_REQUEST,
				  "%s must name the version built on; 0 if "
				  "there is none",
				  base);
		return;
	}
	if (!routing_read(page->body ? page->body : "", page->size, scope,
			  &document, &err)) {
		page_order(page, &document, now);
	} else {
		log_event(LOG_LEVEL_WARNING, "routing-refused", "message=%s",
			  log_quote(err.message, quoted, sizeof(quoted)));
		keeper_page_error(page, MHD_HTTP_BAD_REQUEST, "%s",
				  err.message);
	}
	routing_clear(&document);
}

static const char *page_copy(const keeper_page_t *page)
{
	return page->path + strlen(PAGE_TARGETS);
}

/* Put what a copy says into the log if it is new, and note that it lives. */
static void page_announce(keeper_page_t *page, usec_t now)
{
	keeper_core_t *core = keeper_page_core(page);
	keeper_verdict_t verdict = keeper_core_announce(core, &page->target);
	hl_error_t err = { 0 };

	hl_error_set(&err, HL_ERR_REFUSED,
		     "the routing names no service %s; declare it first",
		     page->target.service);
	page->announces = true;
	page->deadline = now + PAGE_TARGET_WAIT;
	keeper_page_verdict(page, verdict, &err);
	if (verdict == KEEPER_VERDICT_DONE || verdict == KEEPER_VERDICT_WAIT)
		keeper_registry_heard(keeper_page_registry(page),
				      page->target.name, now);
	if (verdict == KEEPER_VERDICT_DONE)
		return;
	log_event(LOG_LEVEL_INFO, "copy-announced",
		  "copy=%s service=%s address=%s state=%d sequence=%" PRIu64
		  " verdict=%d",
		  page->target.name, page->target.service, page->target.address,
		  (int)page->target.state, (uint64_t)page->target.sequence,
		  (int)verdict);
}

void keeper_page_target_write(keeper_page_t *page, usec_t now)
{
	char quoted[2 * HL_MESSAGE_MAX];
	hl_error_t err = { 0 };

	if (!routing_target_read(page_copy(page), page->body ? page->body : "",
				 page->size, &page->target, &err)) {
		page_announce(page, now);
		return;
	}
	log_event(LOG_LEVEL_WARNING, "announcement-refused", "message=%s",
		  log_quote(err.message, quoted, sizeof(quoted)));
	keeper_page_error(page, MHD_HTTP_BAD_REQUEST, "%s", err.message);
}

void keeper_page_target_leave(keeper_page_t *page, usec_t now)
{
	keeper_verdict_t verdict;
	hl_error_t err = { 0 };

	verdict = keeper_core_prepare_leave(keeper_page_core(page),
					    page_copy(page), &page->target,
					    now);
	if (verdict == KEEPER_VERDICT_WAIT)
		page_announce(page, now);
	else
		keeper_page_verdict(page, verdict, &err);
}

/* What an entry lacks, as deflated XDR. */
void keeper_page_follow(keeper_page_t *page, usec_t now)
{
	const char *have = MHD_lookup_connection_value(page->connection,
						       MHD_GET_ARGUMENT_KIND,
						       "have");
	keeper_fetch_args_t args = { 0, TRUE };
	keeper_fetch_res_t res;
	char *plain = NULL;
	size_t size = 0;
	bool ok;

	if (have)
		args.have = strtoull(have, NULL, 10);
	args.confirmed = !MHD_lookup_connection_value(page->connection,
						      MHD_GET_ARGUMENT_KIND,
						      "any");
	ok = keeper_core_fetch(keeper_page_core(page), &args, &res, now) &&
	     !config_encode((xdrproc_t)xdr_keeper_fetch_res_t, &res, &plain,
			    &size);
	if (ok)
		page->text = pack_deflate(plain, size, &page->binary);
	page->status = MHD_HTTP_OK;
	page->decided = true;
	if (!page->text)
		keeper_page_error(page, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "no memory; give the VM more");
	free(plain);
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
}

void keeper_page_directory(keeper_page_t *page, usec_t now)
{
	const char *zone = MHD_lookup_connection_value(page->connection,
						       MHD_GET_ARGUMENT_KIND,
						       "zone");
	char addresses[PAGE_ADDRESSES_MAX][HL_ADDRESS_MAX];
	json_t *list;
	json_t *root;
	unsigned count;
	unsigned i;

	count = keeper_registry_choose(keeper_page_registry(page),
				       zone ? zone : "", now, addresses,
				       PAGE_ADDRESSES_MAX);
	if (!count) {
		keeper_page_error(page, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "no entry is known here; ask another keeper");
		return;
	}
	list = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(list, json_string(addresses[i]));
	root = json_pack(
		"{s:o, s:I}", "addresses", list, "keep_s",
		(json_int_t)keeper_page_core(page)->settings.directory_keep_s);
	page->text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	page->status = MHD_HTTP_OK;
	page->decided = true;
}
