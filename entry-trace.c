#include <string.h>
#include "entry-decide.h"
#include "entry-io.h"

/* What there is to put behind a key: never empty. */
static const char *trace_word(const char *word)
{
	return *word ? word : "-";
}

void entry_trace_sent(entry_request_t *req, usec_t now)
{
	entry_route_t *route = req->route;
	const entry_copy_t *copy = req->call.copy;
	entry_report_t report;
	unsigned held;
	bool near;

	if (req->forward)
		return;
	pthread_mutex_lock(&route->lock);
	report = copy->report;
	held = copy->outstanding;
	near = !strcmp(copy->zone, req->entry->settings.zone);
	pthread_mutex_unlock(&route->lock);
	log_event(
		LOG_LEVEL_INFO, "call-sent",
		"call=%s route=%s service=%s copy=%s attempt=%u hedge=%d "
		"near=%d held=%u others=%u slowness=%.2f report_age_ms=%" PRId64
		" waited_ms=%" PRId64 " spent_ms=%" PRId64 " left_ms=%" PRId64,
		trace_word(req->call_id), trace_word(req->rule_name),
		route->name, copy->name, req->call.attempts,
		req->primary != NULL, near, held, report.others,
		report.slowness,
		report.at ? (now - report.at) / USEC_PER_MS : -1,
		(now - req->call.arrived) / USEC_PER_MS,
		req->call.spent / USEC_PER_MS,
		(req->call.deadline - now) / USEC_PER_MS);
}

void entry_trace_failed(entry_request_t *req, entry_result_t result,
			usec_t sent, usec_t now)
{
	if (req->forward)
		return;
	log_event(
		LOG_LEVEL_INFO, "send-failed",
		"call=%s route=%s copy=%s hedge=%d result=%s took_ms=%" PRId64,
		trace_word(req->call_id), trace_word(req->rule_name),
		req->call.copy ? req->call.copy->name : "-",
		req->primary != NULL, entry_result_name(result),
		(now - sent) / USEC_PER_MS);
}

void entry_trace_ended(entry_request_t *req, bool whole, usec_t now)
{
	unsigned status;
	const char *reason;
	entry_outcome_t outcome;
	bool gone;

	pthread_mutex_lock(&req->lock);
	status = req->response.status;
	reason = req->response.reason;
	outcome = req->response.outcome;
	gone = req->cancelled && !whole;
	pthread_mutex_unlock(&req->lock);
	if (gone)
		reason = "gone";
	log_event(LOG_LEVEL_INFO, "call-ended",
		  "call=%s route=%s status=%u whole=%d outcome=%s reason=%s "
		  "attempts=%u took_ms=%" PRId64,
		  trace_word(req->call_id), trace_word(req->rule_name), status,
		  whole, entry_outcome_name(outcome), reason ? reason : "copy",
		  req->call.attempts, (now - req->call.arrived) / USEC_PER_MS);
}

void entry_trace_health(void *context, const entry_copy_t *copy, bool ejected)
{
	const entry_route_t *route = context;
	const char *event = ejected ? "copy-set-aside" : "copy-back";

	log_event(LOG_LEVEL_NOTICE, event,
		  "service=%s copy=%s failed_share=%.2f refused_in_row=%u",
		  route->name, copy->name, copy->health->errors,
		  copy->health->in_row);
}
