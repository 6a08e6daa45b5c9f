#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include "entry-io.h"

/*
 * Probes before a call is sent, for the two policies that use them.
 *
 * ENTRY_POLICY_TWO_CHOICES, a baseline for comparison, draws two copies at
 * random before each call, requests their load in parallel and sends the call
 * to the less loaded one.
 */

#define PROBE_BODY_MAX 512 /* bytes */
#define PROBE_TIMEOUT_MS 200L
/* Load of a copy that did not respond to its probe. */
#define PROBE_LOAD_UNKNOWN UINT32_MAX

typedef struct {
	entry_conn_pool_t *pool;
	entry_conn_t *conn;
	char body[PROBE_BODY_MAX];
	size_t length;
	unsigned load;
} probe_t;

static size_t probe_write(char *bytes, size_t size, size_t count, void *context)
{
	probe_t *probe = context;
	size_t length = size * count;

	if (probe->length + length > PROBE_BODY_MAX)
		return 0;
	memcpy(probe->body + probe->length, bytes, length);
	probe->length += length;
	return length;
}

static int probe_begin(const entry_t *entry, probe_t *probe, CURLM *multi)
{
	char url[HL_ADDRESS_MAX + HL_MESSAGE_MAX + sizeof("http://")];
	CURL *easy;

	probe->load = PROBE_LOAD_UNKNOWN;
	probe->conn = entry_conn_pool_get(probe->pool, "", false);
	if (!probe->conn)
		return -1;
	easy = probe->conn->easy;
	snprintf(url, sizeof(url), "http://%s%s", probe->pool->address,
		 entry->settings.probe_path);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, probe_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, probe);
	return curl_multi_add_handle(multi, easy) ? -1 : 0;
}

static void probe_read(probe_t *probe)
{
	json_t *root = json_loadb(probe->body, probe->length, 0, NULL);
	json_int_t outstanding;

	if (root && !json_unpack(root, "{s:I}", "outstanding", &outstanding) &&
	    outstanding >= 0 && outstanding < PROBE_LOAD_UNKNOWN)
		probe->load = (unsigned)outstanding;
	json_decref(root);
}

static void probe_end(probe_t *probe, CURLM *multi)
{
	if (!probe->conn)
		return;
	curl_multi_remove_handle(multi, probe->conn->easy);
	probe->conn->fd = -1;
	entry_conn_pool_put(probe->pool, probe->conn, true, time_now());
	probe_read(probe);
}

/* Probes both copies in parallel, so that a call waits for one timeout only. */
static void probe_both(const entry_t *entry, probe_t *probes)
{
	CURLM *multi = curl_multi_init();
	int running = 1;

	if (!multi)
		return;
	probe_begin(entry, &probes[0], multi);
	probe_begin(entry, &probes[1], multi);
	while (running && !curl_multi_perform(multi, &running))
		if (running)
			curl_multi_poll(multi, NULL, 0, PROBE_TIMEOUT_MS, NULL);
	probe_end(&probes[0], multi);
	probe_end(&probes[1], multi);
	curl_multi_cleanup(multi);
}

/* Draws two copies and takes references to their pools; -1 if no copy takes new
   calls. */
static int probe_draw(entry_upstream_t *upstream, entry_copy_t *two[2],
		      probe_t *probes)
{
	int rc;
	int i;

	pthread_mutex_lock(&upstream->lock);
	rc = entry_service_draw_two(&upstream->service, two);
	for (i = 0; !rc && i < 2; i++) {
		probes[i].pool = two[i]->io;
		entry_conn_pool_ref(probes[i].pool);
	}
	pthread_mutex_unlock(&upstream->lock);
	return rc;
}

entry_decision_t entry_probe_choose(entry_request_t *req)
{
	entry_decision_t decision = { ENTRY_REFUSE, ENTRY_REFUSE_NO_COPY,
				      USEC_PER_SEC };
	entry_upstream_t *upstream = req->upstream;
	probe_t probes[2] = { 0 };
	entry_copy_t *two[2];
	unsigned loads[2];

	if (probe_draw(upstream, two, probes))
		return decision;
	probe_both(req->entry, probes);
	loads[0] = probes[0].load;
	loads[1] = probes[1].load;
	pthread_mutex_lock(&upstream->lock);
	decision = entry_service_send_less_loaded(&upstream->service,
						  &req->call, two, loads,
						  time_now());
	pthread_mutex_unlock(&upstream->lock);
	entry_conn_pool_unref(probes[0].pool);
	entry_conn_pool_unref(probes[1].pool);
	return decision;
}

/*
 * ENTRY_POLICY_REPORTS is for copies whose speed changes faster than the loads
 * reported with responses can show. A few copies are probed before each call,
 * then the policy chooses a copy by their reports.
 */

/* Number of copies probed in parallel in one round. */
#define PROBE_BATCH_SIZE 2u
/* A copy with a report of at most this age is not probed again. */
#define PROBE_REPORT_MAX_AGE (30 * USEC_PER_MS)
/* Interval between further rounds while no copy is good enough for the call,
   doubled after each one up to the maximum. */
#define PROBE_RETRY_INTERVAL_MIN (20 * USEC_PER_MS)
#define PROBE_RETRY_INTERVAL_MAX (80 * USEC_PER_MS)
/* Interval at which a call looks for answers of siblings. */
#define PROBE_ANSWER_INTERVAL (10 * USEC_PER_MS)
/* Maximum wait for the responses of a round, as a fraction of the objective. */
#define PROBE_WAIT_FRACTION 0.2
/* Maximum slowness, in percent, of an acceptable copy with a free slot. */
#define PROBE_SLOWNESS_ACCEPTABLE 150u

static bool probe_is_acceptable(const load_t *load)
{
	return load->slowness <= PROBE_SLOWNESS_ACCEPTABLE && !load->waiting &&
	       load->running < load->slots;
}

/* Fills @probes with copies that have no report since @reported_before. Returns
   their number. */
static unsigned probe_candidates(entry_upstream_t *upstream, entry_call_t *call,
				 usec_t reported_before, entry_scope_t scope,
				 entry_probe_t *probes, char *path)
{
	entry_copy_t *copies[PROBE_BATCH_SIZE];
	unsigned count;
	unsigned i;

	pthread_mutex_lock(&upstream->lock);
	count = entry_service_candidates(&upstream->service, call,
					 reported_before, scope, copies,
					 PROBE_BATCH_SIZE, time_now());
	for (i = 0; i < count; i++) {
		memset(&probes[i], 0, sizeof(probes[i]));
		strcpy(probes[i].address, copies[i]->address);
		strcpy(probes[i].copy, copies[i]->name);
		probes[i].context = upstream;
	}
	strcpy(path, upstream->health_path);
	pthread_mutex_unlock(&upstream->lock);
	return *path ? count : 0;
}

void entry_probe_on_state(const entry_probe_t *probe)
{
	entry_upstream_t *upstream = probe->context;
	bool leaves = false;
	bool new_rate = false;
	entry_copy_t *copy;

	pthread_mutex_lock(&upstream->lock);
	copy = entry_service_copy_find(&upstream->service, probe->copy);
	if (copy && probe->millirate)
		new_rate = entry_service_on_rate(&upstream->service, copy,
						 probe->millirate, probe->sent,
						 time_now());
	if (new_rate)
		entry_upstream_report_rate(upstream, copy, time_now());
	if (copy && probe->rests)
		entry_service_on_rest(copy, probe->rest, time_now());
	if (copy && probe->leaves)
		leaves = entry_service_on_leaving(copy);
	if (leaves)
		entry_upstream_report_leaving(upstream, copy);
	pthread_mutex_unlock(&upstream->lock);
	if (copy && probe->rests)
		entry_trace_copy_rests(upstream->name, probe->copy, "",
				       probe->rest);
	if (leaves)
		entry_trace_copy_leaves(upstream->name, probe->copy, "");
	if (new_rate)
		entry_trace_copy_rate(upstream->name, probe->copy, "",
				      probe->millirate);
}

/* Stores the result of one probe in the state of the service. */
static void probe_record_one(entry_service_t *svc, entry_copy_t *copy,
			     const entry_probe_t *probe, usec_t now)
{
	switch (probe->state) {
	case ENTRY_PROBE_PENDING:
		entry_service_on_probe_pending(copy, now);
		break;
	case ENTRY_PROBE_FAILED:
		entry_service_on_probe_failed(copy, now);
		break;
	case ENTRY_PROBE_ANSWERED:
		entry_service_on_report(svc, copy, &probe->load, now);
		break;
	}
}

/* Stores the reports of the copies in the state of the service. */
static void probe_record(entry_upstream_t *upstream,
			 const entry_probe_t *probes, unsigned count,
			 usec_t now)
{
	usec_t test_due;
	unsigned i;

	pthread_mutex_lock(&upstream->lock);
	for (i = 0; i < count; i++) {
		entry_copy_t *copy;

		copy = entry_service_copy_find(&upstream->service,
					       probes[i].copy);
		if (copy)
			probe_record_one(&upstream->service, copy, &probes[i],
					 now);
	}
	test_due = entry_reach_test_due(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	entry_tick_schedule(upstream->entry, test_due);
}

void entry_probe_on_late(const entry_probe_t *probe)
{
	probe_record(probe->context, probe, 1, time_now());
}

/* Returns how long to wait for the responses of one round. */
static entry_probe_wait_t probe_wait_limits(const entry_request_t *req)
{
	entry_probe_wait_t wait = entry_prober_wait(req->entry->prober);
	usec_t max = (usec_t)(PROBE_WAIT_FRACTION *
			      (double)req->call.objective);

	if (max && max < wait.max)
		wait.max = max;
	if (wait.early > wait.max)
		wait.early = wait.max;
	return wait;
}

/* Probes one round of copies, if there are copies without a recent report. */
static void probe_round(entry_request_t *req, entry_scope_t scope,
			usec_t fresh_since)
{
	const entry_probe_wait_t wait = probe_wait_limits(req);
	entry_probe_t probes[PROBE_BATCH_SIZE];
	entry_upstream_t *upstream = req->upstream;
	char path[HL_MESSAGE_MAX];
	unsigned count;

	count = probe_candidates(upstream, &req->call, fresh_since, scope,
				 probes, path);
	if (!count)
		return;
	entry_prober_query(req->entry->prober, path, probes, count, &wait,
			   probe_is_acceptable);
	probe_record(upstream, probes, count, time_now());
	entry_probe_wake(upstream, time_now());
}

/* Decides, after a round of probes, whether the call has to wait. */
static entry_wait_t probe_check_wait(entry_request_t *req, bool other_zones,
				     bool quick_only, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	entry_wait_t wait;

	pthread_mutex_lock(&upstream->lock);
	wait = entry_service_wait_for_copy(&upstream->service, &req->call,
					   other_zones, quick_only, now);
	pthread_mutex_unlock(&upstream->lock);
	return wait;
}

/* Adds the call to those that entry_probe_wake() wakes, or removes it. */
static void probe_await(entry_request_t *req, bool begin)
{
	entry_upstream_t *upstream = req->upstream;

	pthread_mutex_lock(&upstream->lock);
	if (begin)
		entry_await_add(&upstream->service, &req->call);
	else
		entry_await_remove(&req->call);
	pthread_mutex_unlock(&upstream->lock);
}

/* Waits until @until or entry_probe_wake(); false if the caller disconnected. */
static bool probe_wait(entry_request_t *req, usec_t until)
{
	struct timespec ts = { until / USEC_PER_SEC,
			       until % USEC_PER_SEC * 1000 };
	bool cancelled;

	probe_await(req, true);
	pthread_mutex_lock(&req->lock);
	while (!req->cancelled && !req->woken &&
	       !pthread_cond_timedwait(&req->changed, &req->lock, &ts))
		;
	cancelled = req->cancelled;
	pthread_mutex_unlock(&req->lock);
	probe_await(req, false);
	return !cancelled;
}

/* Whether entry_probe_wake() has ended the last wait. */
static bool probe_take_wake(entry_request_t *req)
{
	bool woken;

	pthread_mutex_lock(&req->lock);
	woken = req->woken;
	req->woken = false;
	pthread_mutex_unlock(&req->lock);
	return woken;
}

void entry_probe_wake(entry_upstream_t *upstream, usec_t now)
{
	entry_request_t *req = NULL;
	entry_call_t *call;

	pthread_mutex_lock(&upstream->lock);
	call = entry_await_take(&upstream->service, now);
	if (call) {
		req = caa_container_of(call, entry_request_t, call);
		entry_request_ref(req);
	}
	pthread_mutex_unlock(&upstream->lock);
	if (!req)
		return;
	pthread_mutex_lock(&req->lock);
	req->woken = true;
	pthread_cond_broadcast(&req->changed);
	pthread_mutex_unlock(&req->lock);
	entry_request_unref(req);
}

/* Returns whether copies can be probed. */
static bool probe_reports_possible(entry_upstream_t *upstream)
{
	bool possible;

	pthread_mutex_lock(&upstream->lock);
	possible = *upstream->health_path != '\0';
	pthread_mutex_unlock(&upstream->lock);
	return possible;
}

/* Waits while siblings are asked whether they reach a copy for the call. */
static void probe_await_sibling(entry_request_t *req)
{
	usec_t now = time_now();

	while (entry_handover_awaits_sibling(req, now)) {
		if (!probe_wait(req, now + PROBE_ANSWER_INTERVAL))
			return;
		now = time_now();
	}
}

/* Returns whether this entry reaches no copy that could be probed. */
static bool probe_is_cut_off(entry_upstream_t *upstream)
{
	bool cut_off;

	pthread_mutex_lock(&upstream->lock);
	cut_off = entry_reach_is_cut_off(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	return cut_off;
}

/* Plans the next round of probes of a call. */
static entry_probe_plan_t probe_plan(entry_request_t *req, unsigned round,
				     usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	entry_probe_plan_t plan;

	pthread_mutex_lock(&upstream->lock);
	plan = entry_service_plan_probes(&upstream->service, &req->call, round,
					 now);
	pthread_mutex_unlock(&upstream->lock);
	return plan;
}

void entry_probe_refresh_reports(entry_request_t *req)
{
	usec_t interval = PROBE_RETRY_INTERVAL_MIN;
	usec_t now = time_now();
	unsigned round;

	if (!probe_reports_possible(req->upstream))
		return;
	for (round = 0;; round++) {
		entry_probe_plan_t plan = probe_plan(req, round, now);
		entry_wait_t wait;

		if (probe_is_cut_off(req->upstream)) {
			probe_await_sibling(req);
			return;
		}
		if (!probe_take_wake(req) && plan.probes)
			probe_round(req, plan.scope,
				    now - PROBE_REPORT_MAX_AGE);
		now = time_now();
		wait = probe_check_wait(req, plan.other_zones, plan.quick_only,
					now);
		if (wait == ENTRY_WAIT_READY ||
		    entry_handover_ends_wait(req, now))
			return;
		if (!plan.other_zones)
			continue;
		if (wait == ENTRY_WAIT_EXPIRED ||
		    !probe_wait(req, now + interval))
			return;
		interval = MIN(2 * interval, PROBE_RETRY_INTERVAL_MAX);
		now = time_now();
	}
}
