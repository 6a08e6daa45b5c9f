#include "entry-relay.h"

/*
 * Records what the response to one send reports: load, rate and state of the copy, and
 * that it came late over its connection.
 */

/* Records the load that the copy reported with its response. */
static void relay_record_load(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	entry_upstream_t *upstream = req->upstream;

	if (!transfer->has_load || req->forward)
		return;
	pthread_mutex_lock(&upstream->lock);
	entry_service_on_report(&upstream->service, req->call.copy,
				&transfer->load, time_now());
	pthread_mutex_unlock(&upstream->lock);
}

/*
 * Records that the copy leaves, or asks for a rest. A response with status 421
 * was made by another copy that has the address now.
 */
static void relay_record_state(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	unsigned status = req->response.status;
	usec_t now = time_now();
	bool rests = transfer->has_rest && status == HTTP_UNAVAILABLE &&
		     !transfer->mismatched;
	bool leaves = transfer->copy_leaves;

	if (!transfer->head_complete || req->forward ||
	    status == HTTP_MISDIRECTED_REQUEST || (!leaves && !rests))
		return;
	pthread_mutex_lock(&req->upstream->lock);
	if (rests)
		entry_service_on_rest(req->call.copy, transfer->rest, now);
	leaves = leaves && entry_service_on_leaving(req->call.copy);
	if (leaves)
		entry_upstream_report_leaving(req->upstream, req->call.copy);
	pthread_mutex_unlock(&req->upstream->lock);
	if (leaves)
		entry_trace_copy_leaves(req->upstream->name,
					req->call.copy->name, req->call_id);
	if (rests)
		entry_trace_copy_rests(req->upstream->name,
				       req->call.copy->name, req->call_id,
				       transfer->rest);
}

/* Records the rate that the copy accepts, or that it names none any more. */
static void relay_record_rate(entry_transfer_t *transfer)
{
	entry_request_t *req = transfer->req;
	entry_copy_t *copy = req->call.copy;
	usec_t now = time_now();
	bool is_new;

	if (!transfer->head_complete || req->forward ||
	    req->response.status == HTTP_MISDIRECTED_REQUEST ||
	    (!transfer->millirate && !entry_transfer_matches_call(transfer)))
		return;
	pthread_mutex_lock(&req->upstream->lock);
	is_new = entry_service_on_rate(&req->upstream->service, copy,
				       transfer->millirate, transfer->sent,
				       now);
	if (is_new)
		entry_upstream_report_rate(req->upstream, copy, now);
	pthread_mutex_unlock(&req->upstream->lock);
	if (is_new)
		entry_trace_copy_rate(req->upstream->name, copy->name,
				      req->call_id, transfer->millirate);
}

/* Whether a response that belongs to no call of now came late. An HTTP library may make
   one without a header of the interface, and nothing comes late over a connection that
   has carried no other call. */
static bool relay_response_is_late(const entry_transfer_t *transfer)
{
	return transfer->conn->calls > 1 &&
	       (*transfer->other_id || transfer->has_signature);
}

void entry_relay_record_mismatch(entry_transfer_t *transfer)
{
	const entry_request_t *req = transfer->req;

	transfer->mismatched = entry_transfer_is_mismatched(transfer);
	if (!transfer->mismatched)
		return;
	if (relay_response_is_late(transfer))
		entry_conn_pool_on_stray(transfer->pool, time_now());
	metrics_add(req->entry->mismatched_responses, 1);
	entry_trace_mismatched(req, transfer->other_id, transfer->conn);
}

void entry_relay_record(entry_transfer_t *transfer)
{
	if (!transfer->mismatched) {
		relay_record_load(transfer);
		relay_record_rate(transfer);
	}
	relay_record_state(transfer);
}
