#include <string.h>
#include "entry-decide.h"
#include "entry-io.h"

/* Writes the log events of calls, sends and copy health; keeps no state. */

/* Size of the part of a status line that is logged. */
#define TRACE_STATUS_LINE_MAX 48

/* Value of a log key; an empty one is replaced, as a key needs a value. */
static const char *trace_value(const char *value)
{
	return *value ? value : "-";
}

void entry_trace_sent(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	const entry_copy_t *copy = req->call.copy;
	entry_report_t report;
	unsigned outstanding;
	unsigned attempts;
	bool same_zone;

	if (req->forward)
		return;
	pthread_mutex_lock(&upstream->lock);
	report = copy->report;
	outstanding = copy->outstanding;
	attempts = req->call.attempts;
	same_zone = !strcmp(copy->zone, req->entry->settings.zone);
	pthread_mutex_unlock(&upstream->lock);
	log_event(
		LOG_LEVEL_INFO, "call-sent",
		"call=%s route=%s routes=%" PRIu64
		" service=%s copy=%s attempt=%u hedge=%d "
		"near=%d held=%u others=%u slowness=%.2f report_age_ms=%" PRId64
		" waited_ms=%" PRId64 " left_ms=%" PRId64
		" config_age_ms=%" PRId64 " uptime_ms=%" PRId64,
		trace_value(req->call_id), trace_value(req->rule_name),
		req->rules_revision, upstream->name, copy->name, attempts,
		req->primary != NULL, same_zone, outstanding,
		report.other_calls, report.slowness,
		report.received_at ? (now - report.received_at) / USEC_PER_MS :
				     -1,
		(now - req->call.arrived) / USEC_PER_MS,
		(req->call.deadline - now) / USEC_PER_MS,
		req->confirmed_at ? (now - req->confirmed_at) / USEC_PER_MS :
				    -1,
		(now - req->entry->started) / USEC_PER_MS);
}

void entry_trace_failed(entry_request_t *req, entry_result_t result,
			usec_t sent, usec_t now)
{
	if (req->forward)
		return;
	log_event(
		LOG_LEVEL_INFO, "send-failed",
		"call=%s route=%s copy=%s hedge=%d result=%s took_ms=%" PRId64,
		trace_value(req->call_id), trace_value(req->rule_name),
		req->call.copy ? req->call.copy->name : "-",
		req->primary != NULL, entry_result_name(result),
		(now - sent) / USEC_PER_MS);
}

void entry_trace_mismatched(const entry_request_t *req, const char *other_id,
			    const entry_conn_t *conn)
{
	char quoted[HL_NAME_MAX * 2];

	log_event(LOG_LEVEL_NOTICE, "response-mismatched",
		  "call=%s route=%s copy=%s got=%s status=%u "
		  "connection=%" PRIu64 " calls=%u",
		  trace_value(req->call_id), trace_value(req->rule_name),
		  req->call.copy ? req->call.copy->name : "-",
		  log_quote(other_id, quoted, sizeof(quoted)),
		  req->response.status, conn->number, conn->calls);
}

void entry_trace_bad_status(const entry_request_t *req, const char *line,
			    size_t size)
{
	char text[TRACE_STATUS_LINE_MAX];
	char quoted[2 * sizeof(text)];
	const char *end = memchr(line, '\r', size);

	if (end)
		size = (size_t)(end - line);
	snprintf(text, sizeof(text), "%.*s", (int)size, line);
	log_event(LOG_LEVEL_NOTICE, "response-bad-status",
		  "call=%s route=%s copy=%s line=%s", trace_value(req->call_id),
		  trace_value(req->rule_name),
		  req->call.copy ? req->call.copy->name : "-",
		  log_quote(text, quoted, sizeof(quoted)));
}

void entry_trace_given_up(const entry_request_t *req)
{
	log_event(LOG_LEVEL_INFO, "send-given-up",
		  "call=%s route=%s service=%s copy=%s",
		  trace_value(req->call_id), trace_value(req->rule_name),
		  req->upstream->name, req->call.copy->name);
}

void entry_trace_ended(entry_request_t *req, bool complete, usec_t now)
{
	unsigned status;
	const char *reason;
	entry_outcome_t outcome;
	bool gone;

	pthread_mutex_lock(&req->lock);
	status = req->response.status;
	reason = req->response.reason;
	outcome = req->response.outcome;
	gone = req->cancelled && !complete;
	pthread_mutex_unlock(&req->lock);
	if (gone)
		reason = "gone";
	if (req->head_refused) {
		status = HTTP_BAD_GATEWAY;
		reason = ENTRY_REASON_RESPONSE_HEAD;
	}
	log_event(LOG_LEVEL_INFO, "call-ended",
		  "call=%s route=%s status=%u whole=%d outcome=%s reason=%s "
		  "attempts=%u took_ms=%" PRId64 "%s%s",
		  trace_value(req->call_id), trace_value(req->rule_name),
		  status, complete, entry_outcome_name(outcome),
		  reason ? reason : "copy",
		  __atomic_load_n(&req->call.attempts, __ATOMIC_RELAXED),
		  (now - req->call.arrived) / USEC_PER_MS,
		  *req->forwarded_by ? " from=" : "", req->forwarded_by);
}

void entry_trace_no_route(const entry_request_t *req, usec_t now)
{
	const entry_t *entry = req->entry;
	config_follow_view_t view = { 0 };
	usec_t response = 0;

	if (entry->follow)
		config_follow_view(entry->follow, &view);
	if (entry->presence)
		response = presence_client_last_response(entry->presence);
	log_event(LOG_LEVEL_INFO, "no-route",
		  "call=%s revision=%" PRIu64 " applied=%" PRIu64
		  " newest_ms=%" PRId64 " keepers_ms=%" PRId64,
		  trace_value(req->call_id), view.revision, view.applied,
		  view.newest_at ? (now - view.newest_at) / USEC_PER_MS : -1,
		  response ? (now - response) / USEC_PER_MS : -1);
}

void entry_trace_stop_refused(const entry_request_t *req, usec_t now)
{
	log_event(LOG_LEVEL_INFO, "stop-refused",
		  "call=%s route=%s left_ms=%" PRId64 " stop_left_ms=%" PRId64,
		  trace_value(req->call_id), trace_value(req->rule_name),
		  (req->call.deadline - now) / USEC_PER_MS,
		  (req->entry->stop.end - now) / USEC_PER_MS);
}

void entry_trace_copy_crashed(const entry_request_t *req, const char *digest)
{
	log_event(LOG_LEVEL_NOTICE, "copy-crashed",
		  "service=%s copy=%s call=%s route=%s digest=%s",
		  req->upstream->name, req->call.copy->name,
		  trace_value(req->call_id), trace_value(req->rule_name),
		  digest);
}

void entry_trace_blocked(const entry_request_t *req, const char *digest)
{
	log_event(LOG_LEVEL_INFO, "call-blocked",
		  "call=%s route=%s service=%s digest=%s",
		  trace_value(req->call_id), trace_value(req->rule_name),
		  req->upstream->name, digest);
}

void entry_trace_copy_leaves(const char *service, const char *copy,
			     const char *call_id)
{
	log_event(LOG_LEVEL_NOTICE, "copy-leaves", "service=%s copy=%s call=%s",
		  service, copy, trace_value(call_id));
}

void entry_trace_copy_rests(const char *service, const char *copy,
			    const char *call_id, usec_t rest)
{
	log_event(LOG_LEVEL_INFO, "copy-rests",
		  "service=%s copy=%s call=%s rest_ms=%" PRId64, service, copy,
		  trace_value(call_id), rest / USEC_PER_MS);
}

void entry_trace_handed_over(const entry_request_t *req, const char *sibling,
			     unsigned fit, const char *reason)
{
	log_event(LOG_LEVEL_INFO, "call-handed-over",
		  "call=%s route=%s service=%s sibling=%s try=%u fit=%u "
		  "reason=%s",
		  trace_value(req->call_id), trace_value(req->rule_name),
		  req->upstream->name, sibling, req->handovers, fit, reason);
}

void entry_trace_copy_rate(const char *service, const char *copy,
			   const char *call_id, unsigned millirate)
{
	log_event(LOG_LEVEL_NOTICE, "copy-rate",
		  "service=%s copy=%s call=%s per_second=%.3f", service, copy,
		  trace_value(call_id), millirate / 1000.0);
}

void entry_trace_health(void *context, const entry_copy_t *copy, bool ejected)
{
	const entry_upstream_t *upstream = context;
	const char *event = ejected ? "copy-set-aside" : "copy-back";

	log_event(LOG_LEVEL_NOTICE, event,
		  "service=%s copy=%s failed_share=%.2f refused_in_row=%u",
		  upstream->name, copy->name, copy->health->failed_fraction,
		  copy->health->consecutive_refusals);
}
