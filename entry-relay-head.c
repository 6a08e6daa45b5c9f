#include <stdio.h>
#include <string.h>
#include "entry-relay.h"

/* The head of one send: the headers that this entry adds to those of the caller. */

/* Whether the receiver of this send must not retry the call, because this entry
   or a caller before it does so. */
static bool relay_head_needs_no_retry(entry_request_t *req)
{
	bool needed;

	if (req->forward)
		return req->call.no_retry;
	pthread_mutex_lock(&req->upstream->lock);
	needed = entry_service_sets_no_retry(&req->upstream->service,
					     &req->call);
	pthread_mutex_unlock(&req->upstream->lock);
	return needed;
}

/* Writes the header by which a sibling verifies that an entry sent the call. */
static void relay_head_write_hop(entry_request_t *req, char *out, size_t size)
{
	char value[KEYS_HOP_MAX] = "";

	if (req->forward)
		keys_hop_write(req->entry->keys, req->entry->settings.name,
			       req->upstream->name,
			       g_get_real_time() / USEC_PER_MS, value);
	snprintf(out, size, "Hemlock-Hop: %s", value);
}

/*
 * Reports the number of calls that still wait here to a sibling that a call is
 * handed over to, so that it can offer credits for them with its response.
 * Returns @list with the header in its first node, or the next node if no call
 * waits.
 */
static struct curl_slist *relay_head_add_queue(entry_request_t *req,
					       struct curl_slist *list)
{
	unsigned waiting;

	if (!req->handed_over)
		return list->next;
	pthread_mutex_lock(&req->upstream->lock);
	waiting = entry_service_waiting(&req->upstream->service);
	pthread_mutex_unlock(&req->upstream->lock);
	if (!waiting)
		return list->next;
	if (waiting > ENTRY_QUEUE_REPORT_MAX)
		waiting = ENTRY_QUEUE_REPORT_MAX;
	snprintf(list->data, ENTRY_RELAY_HEADER_MAX, "Hemlock-Queue: %u",
		 waiting);
	metrics_add(req->entry->lend_header_bytes,
		    strlen(list->data) + sizeof("\r\n") - 1);
	return list;
}

static struct curl_slist *relay_head_push(entry_relay_head_t *head,
					  unsigned index, char *line,
					  struct curl_slist *next)
{
	head->nodes[index].data = line;
	head->nodes[index].next = next;
	return &head->nodes[index];
}

/*
 * Adds the headers to a sibling with entry.routed. The sibling refuses the call
 * if it has older routes than this entry, and does not repeat it if this entry
 * has sent it to a copy before.
 */
static struct curl_slist *relay_head_handover(entry_request_t *req,
					      entry_relay_head_t *head,
					      struct curl_slist *list)
{
	relay_head_write_hop(req, head->hop, sizeof(head->hop));
	list = relay_head_push(head, 1, head->hop, list);
	snprintf(head->revision, sizeof(head->revision),
		 "Hemlock-Revision: %" PRIu64,
		 entry_target_rules_revision(req->entry));
	list = relay_head_push(head, 2, head->revision, list);
	snprintf(head->part, sizeof(head->part), "Hemlock-Part: %s",
		 req->upstream->name);
	list = relay_head_push(head, 3, head->part, list);
	strcpy(head->no_retry, "Hemlock-No-Retry: 1");
	if (req->call.no_retry ||
	    req->call.attempts > req->call.unsent_attempts)
		list = relay_head_push(head, 4, head->no_retry, list);
	return list;
}

/* Adds the headers to a copy under a non-native interface. */
static struct curl_slist *relay_head_interface(entry_request_t *req,
					       entry_relay_head_t *head,
					       struct curl_slist *list)
{
	const char *name = req->entry->settings.headers->expected_copy;

	if (!name)
		return list;
	snprintf(head->copy, sizeof(head->copy), "%s: %s", name,
		 req->call.copy->name);
	return relay_head_push(head, 1, head->copy, list);
}

/* Adds the headers to a copy under the native interface, or to a sibling. */
static struct curl_slist *relay_head_native(entry_request_t *req,
					    entry_relay_head_t *head,
					    struct curl_slist *list)
{
	struct curl_slist *with_queue;

	relay_head_write_hop(req, head->hop, sizeof(head->hop));
	if (req->forward)
		list = relay_head_push(head, 1, head->hop, list);
	with_queue = relay_head_push(head, 2, head->queue, list);
	list = relay_head_add_queue(req, with_queue);
	strcpy(head->no_retry, "Hemlock-No-Retry: 1");
	if (relay_head_needs_no_retry(req))
		list = relay_head_push(head, 3, head->no_retry, list);
	return list;
}

/* Gives the send an id that no other send over the connection has, so that a late
   response to an earlier one can be told by it. Each connection has a number of its
   own, also one that libcurl opens, see entry_conn_reopened(). */
static struct curl_slist *relay_head_send(entry_transfer_t *transfer,
					  entry_relay_head_t *head,
					  struct curl_slist *list)
{
	const char *name = transfer->req->entry->settings.headers->send_id;

	if (!name)
		return list;
	snprintf(transfer->send_id, sizeof(transfer->send_id), "%" PRIu64 "-%u",
		 transfer->conn->number, transfer->conn->calls);
	snprintf(head->send, sizeof(head->send), "%s: %s", name,
		 transfer->send_id);
	return relay_head_push(head, 5, head->send, list);
}

struct curl_slist *entry_relay_head(entry_transfer_t *transfer,
				    entry_relay_head_t *head, usec_t time_left)
{
	entry_request_t *req = transfer->req;
	const headers_t *names = req->entry->settings.headers;
	struct curl_slist *list;

	snprintf(head->deadline, sizeof(head->deadline), "%s: %" PRId64,
		 names->deadline_ms,
		 (time_left + USEC_PER_MS - 1) / USEC_PER_MS);
	list = relay_head_push(head, 0, head->deadline, req->headers);
	list = relay_head_send(transfer, head, list);
	if (entry_handover_is_active(req))
		return relay_head_handover(req, head, list);
	if (names->native || req->forward)
		return relay_head_native(req, head, list);
	return relay_head_interface(req, head, list);
}
