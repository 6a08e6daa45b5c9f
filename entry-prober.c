#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>
#include "entry-once.h"
#include "entry-probe-time.h"
#include "entry-prober-idle.h"
#include "entry-prober.h"
#include "entry.h"
#include "http-status.h"

/* Timeout of a test. */
#define PROBER_TEST_TIMEOUT_MS 400L
#define PROBER_CONNECT_MS 200L
/* Maximum number of idle connections. */
#define PROBER_CONNECTIONS 256L
/* Maximum number of idle libcurl handles. */
#define PROBER_IDLE_MAX 16
/* Maximum size of a response, headers included. */
#define PROBER_RESPONSE_BYTES_MAX (16 * 1024)
/* Poll timeout of the thread. */
#define PROBER_IDLE_MS 60000

/* The queries of one worker, shared by the worker and the thread; the last
   reference frees them. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	unsigned refs;
	unsigned unanswered; /* queries that have not ended */
	bool satisfied;
	bool abandoned; /* its worker waits no longer */
	bool (*satisfies)(const load_t *load);
	entry_prober_end_t on_end;  /* set for a test or question, else NULL */
	char *target;		    /* set for a question, else NULL */
	struct curl_slist *headers; /* of a question */
	entry_probe_t probes[ENTRY_PROBES_MAX];
} prober_batch_t;

/* One query to a copy. */
typedef struct {
	struct cds_list_head link;
	entry_prober_t *prober;
	prober_batch_t *batch;
	unsigned index;
	CURL *easy;
	size_t bytes; /* received so far, headers included */
	bool has_load;
	load_t load;
	bool other_copy; /* another copy responded */
	bool leaves;
	bool rests; /* Retry-After can be read */
	bool stray; /* the connection had received bytes before the request */
	usec_t rest;
	unsigned millirate;
	char url[HL_ADDRESS_MAX + HL_MESSAGE_MAX + sizeof("http://")];
} prober_query_t;

struct entry_prober {
	const headers_t *headers;
	const char *connect_from; /* source address; "": the system's choice */
	entry_prober_state_t on_state;
	entry_prober_late_t on_late;
	CURLM *multi;
	pthread_mutex_t lock; /* guards queued and time */
	struct cds_list_head queued;
	entry_probe_time_t time;
	/* Used by the thread only. */
	struct cds_list_head running;
	entry_prober_idle_t *connections;
	CURL *idle[PROBER_IDLE_MAX];
	unsigned idle_count;
	uint64_t *sent;
	uint64_t *failed;
	uint64_t *questions;
};

static void batch_unref(prober_batch_t *batch)
{
	if (__atomic_sub_fetch(&batch->refs, 1, __ATOMIC_ACQ_REL))
		return;
	pthread_cond_destroy(&batch->changed);
	pthread_mutex_destroy(&batch->lock);
	curl_slist_free_all(batch->headers);
	g_free(batch->target);
	free(batch);
}

static prober_batch_t *batch_new(const entry_probe_t *probes, unsigned count,
				 bool (*satisfies)(const load_t *load))
{
	prober_batch_t *batch = calloc(1, sizeof(*batch));
	pthread_condattr_t attr;

	if (!batch)
		return NULL;
	pthread_mutex_init(&batch->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&batch->changed, &attr);
	pthread_condattr_destroy(&attr);
	memcpy(batch->probes, probes, count * sizeof(*probes));
	batch->satisfies = satisfies;
	batch->refs = 1;
	return batch;
}

/* Copies the value of a header line if it has this name, without the spaces
   around it; false if it has another name or does not fit. */
static bool prober_value(const char *line, size_t length, const char *name,
			 char value[HL_NAME_MAX])
{
	size_t name_length = name ? strlen(name) : 0;

	if (!name || length <= name_length || line[name_length] != ':' ||
	    strncasecmp(line, name, name_length))
		return false;
	line += name_length + 1;
	length -= name_length + 1;
	while (length && strchr(" \t", *line)) {
		line++;
		length--;
	}
	while (length && strchr(" \t\r\n", line[length - 1]))
		length--;
	if (length >= HL_NAME_MAX)
		return false;
	memcpy(value, line, length);
	value[length] = '\0';
	return true;
}

/* Reads the headers of the interface, and Retry-After. */
static void prober_read_header(prober_query_t *query, const char *line,
			       size_t length)
{
	const headers_t *names = query->prober->headers;
	const char *copy = query->batch->probes[query->index].copy;
	char value[HL_NAME_MAX];

	if (prober_value(line, length, names->load, value))
		query->has_load = names->load_read(value, &query->load);
	else if (prober_value(line, length, names->responding_copy, value))
		query->other_copy = strcmp(value, copy) != 0;
	else if (prober_value(line, length, names->leaving, value))
		query->leaves = !strcmp(value, "1");
	else if (prober_value(line, length, names->rate, value))
		query->millirate = entry_rate_read(value);
	else if (prober_value(line, length, "Retry-After", value))
		query->rests = entry_retry_after_read(value, &query->rest);
}

static size_t prober_header(char *line, size_t size, size_t count,
			    void *context)
{
	prober_query_t *query = context;
	size_t length = size * count;

	query->bytes += length;
	if (query->bytes > PROBER_RESPONSE_BYTES_MAX)
		return 0;
	prober_read_header(query, line, length);
	return length;
}

static size_t prober_body(char *bytes, size_t size, size_t count, void *context)
{
	prober_query_t *query = context;

	(void)bytes;
	query->bytes += size * count;
	return query->bytes > PROBER_RESPONSE_BYTES_MAX ? 0 : size * count;
}

/* Whether a query ended with the load of the copy that it was for. */
static bool query_answered(const prober_query_t *query, bool complete)
{
	return complete && query->has_load && !query->other_copy;
}

/* Returns the HTTP status of the response, or 0. */
static long query_status(const prober_query_t *query)
{
	long status = 0;

	if (query->easy)
		curl_easy_getinfo(query->easy, CURLINFO_RESPONSE_CODE, &status);
	return status;
}

/* Reports a copy that leaves, rests or names a rate, by its complete response. */
static void query_report_state(const prober_query_t *query)
{
	entry_probe_t probe = query->batch->probes[query->index];

	probe.leaves = query->leaves;
	probe.rests = query->rests && query_status(query) == HTTP_UNAVAILABLE;
	probe.rest = query->rest;
	probe.millirate = query->millirate;
	if (probe.leaves || probe.rests || probe.millirate)
		query->prober->on_state(&probe);
}

/*
 * Whether a query has reached the copy. A copy that resets a new connection, as it
 * has too many, is reached: libcurl may see the reset before it knows that the
 * connection was open. A connection that is refused has another error.
 */
static bool query_reached(const prober_query_t *query)
{
	curl_off_t connect_time = 0;
	long connect_errno = 0;

	if (!query->easy)
		return false;
	curl_easy_getinfo(query->easy, CURLINFO_CONNECT_TIME_T, &connect_time);
	curl_easy_getinfo(query->easy, CURLINFO_OS_ERRNO, &connect_errno);
	return connect_time > 0 || query->bytes > 0 ||
	       connect_errno == ECONNRESET;
}

/* Learns from the time that a query took, unless it failed for another reason. */
static void query_record_time(prober_query_t *query, bool complete,
			      bool timed_out)
{
	entry_prober_t *prober = query->prober;
	usec_t took = time_now() - query->batch->probes[query->index].sent;

	if (query->batch->on_end || (!complete && !timed_out))
		return;
	pthread_mutex_lock(&prober->lock);
	if (complete)
		entry_probe_time_add(&prober->time, took);
	else
		entry_probe_time_add_timeout(&prober->time);
	pthread_mutex_unlock(&prober->lock);
}

/* Stores the result of a query and wakes its worker. */
static void query_end(prober_query_t *query, bool complete)
{
	prober_batch_t *batch = query->batch;
	entry_probe_t *probe = &batch->probes[query->index];
	bool late;

	if (complete && !query->other_copy && !batch->target)
		query_report_state(query);
	if (batch->on_end) {
		probe->status = complete ? query_status(query) : 0;
		batch->on_end(probe, query_reached(query));
	}
	pthread_mutex_lock(&batch->lock);
	probe->state = query_answered(query, complete) ? ENTRY_PROBE_ANSWERED :
							 ENTRY_PROBE_FAILED;
	probe->load = query->load;
	batch->unanswered--;
	if (probe->state == ENTRY_PROBE_ANSWERED && batch->satisfies &&
	    batch->satisfies(&query->load))
		batch->satisfied = true;
	late = batch->abandoned;
	pthread_cond_signal(&batch->changed);
	pthread_mutex_unlock(&batch->lock);
	if (late && query->prober->on_late)
		query->prober->on_late(probe);
	if (probe->state == ENTRY_PROBE_FAILED && !batch->target)
		metrics_add(query->prober->failed, 1);
	batch_unref(batch);
}

static void prober_put_handle(entry_prober_t *prober, CURL *easy)
{
	if (prober->idle_count < PROBER_IDLE_MAX)
		prober->idle[prober->idle_count++] = easy;
	else
		curl_easy_cleanup(easy);
}

static CURL *prober_get_handle(entry_prober_t *prober)
{
	if (prober->idle_count > 0)
		return prober->idle[--prober->idle_count];
	return curl_easy_init();
}

entry_probe_wait_t entry_prober_wait(entry_prober_t *prober)
{
	entry_probe_wait_t wait;

	pthread_mutex_lock(&prober->lock);
	wait.max = entry_probe_time_limit(&prober->time);
	wait.early = entry_probe_time_usual(&prober->time);
	pthread_mutex_unlock(&prober->lock);
	return wait;
}

/* Returns the timeout of a query in milliseconds. */
static long prober_timeout_ms(entry_prober_t *prober,
			      const prober_query_t *query)
{
	if (query->batch->on_end)
		return PROBER_TEST_TIMEOUT_MS;
	return (long)(entry_prober_wait(prober).max / USEC_PER_MS);
}

static void prober_set_question(prober_query_t *query)
{
	curl_easy_setopt(query->easy, CURLOPT_REQUEST_TARGET,
			 query->batch->target);
	curl_easy_setopt(query->easy, CURLOPT_HTTPHEADER,
			 query->batch->headers);
}

/* Called before the request is sent, also over a connection that is open already. */
static int prober_before_request(void *context, char *remote_ip, char *local_ip,
				 int remote_port, int local_port)
{
	prober_query_t *query = context;
	const char *address = query->batch->probes[query->index].address;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	if (entry_once_is_sent(query->easy))
		return CURL_PREREQFUNC_ABORT;
	query->stray = !entry_prober_idle_take(query->prober->connections,
					       address, local_port);
	return query->stray ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void prober_start(entry_prober_t *prober, prober_query_t *query)
{
	query->easy = prober_get_handle(prober);
	if (!query->easy) {
		query_end(query, false);
		free(query);
		return;
	}
	curl_easy_reset(query->easy);
	entry_once_set(query->easy);
	curl_easy_setopt(query->easy, CURLOPT_PREREQFUNCTION,
			 prober_before_request);
	curl_easy_setopt(query->easy, CURLOPT_PREREQDATA, query);
	entry_prober_idle_set(prober->connections, query->easy);
	curl_easy_setopt(query->easy, CURLOPT_URL, query->url);
	curl_easy_setopt(query->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(query->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(query->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(query->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 PROBER_CONNECT_MS);
	curl_easy_setopt(query->easy, CURLOPT_TIMEOUT_MS,
			 prober_timeout_ms(prober, query));
	if (*prober->connect_from)
		curl_easy_setopt(query->easy, CURLOPT_INTERFACE,
				 prober->connect_from);
	curl_easy_setopt(query->easy, CURLOPT_HEADERFUNCTION, prober_header);
	curl_easy_setopt(query->easy, CURLOPT_HEADERDATA, query);
	curl_easy_setopt(query->easy, CURLOPT_WRITEFUNCTION, prober_body);
	curl_easy_setopt(query->easy, CURLOPT_WRITEDATA, query);
	curl_easy_setopt(query->easy, CURLOPT_PRIVATE, query);
	if (query->batch->target)
		prober_set_question(query);
	else if (query->batch->on_end)
		curl_easy_setopt(query->easy, CURLOPT_FRESH_CONNECT, 1L);
	cds_list_add_tail(&query->link, &prober->running);
	metrics_add(query->batch->target ? prober->questions : prober->sent, 1);
	curl_multi_add_handle(prober->multi, query->easy);
}

/* Starts the queries that workers have queued. */
static void prober_start_queued(entry_prober_t *prober)
{
	struct cds_list_head queued;
	prober_query_t *query, *next;

	CDS_INIT_LIST_HEAD(&queued);
	pthread_mutex_lock(&prober->lock);
	cds_list_splice(&prober->queued, &queued);
	CDS_INIT_LIST_HEAD(&prober->queued);
	pthread_mutex_unlock(&prober->lock);
	cds_list_for_each_entry_safe (query, next, &queued, link) {
		cds_list_del(&query->link);
		prober_start(prober, query);
	}
}

/* Starts a query again that was not sent, as its connection had received bytes. That
   connection is closed. */
static void prober_restart(entry_prober_t *prober, prober_query_t *query)
{
	query->stray = false;
	prober_put_handle(prober, query->easy);
	prober_start(prober, query);
}

static void prober_finish(entry_prober_t *prober, prober_query_t *query,
			  CURLcode code)
{
	bool complete = code == CURLE_OK;

	if (complete)
		entry_prober_idle_add(
			prober->connections, query->easy,
			query->batch->probes[query->index].address);
	curl_multi_remove_handle(prober->multi, query->easy);
	cds_list_del(&query->link);
	if (query->stray) {
		prober_restart(prober, query);
		return;
	}
	query_record_time(query, complete, code == CURLE_OPERATION_TIMEDOUT);
	query_end(query, complete);
	prober_put_handle(prober, query->easy);
	free(query);
}

static void prober_finish_ended(entry_prober_t *prober)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(prober->multi, &left))) {
		prober_query_t *query = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&query);
		prober_finish(prober, query, code);
	}
}

static int prober_run(void *context, const volatile int *stop)
{
	entry_prober_t *prober = context;
	int running = 0;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		prober_start_queued(prober);
		curl_multi_perform(prober->multi, &running);
		prober_finish_ended(prober);
		curl_multi_poll(prober->multi, NULL, 0, PROBER_IDLE_MS, NULL);
	}
	return 0;
}

static void prober_wake(void *context)
{
	entry_prober_t *prober = context;

	curl_multi_wakeup(prober->multi);
}

supervisor_child_t entry_prober_child(entry_prober_t *prober)
{
	supervisor_child_t child = { "prober", prober_run, prober_wake,
				     prober };

	return child;
}

entry_prober_t *entry_prober_new(const headers_t *headers,
				 const char *connect_from,
				 entry_prober_state_t on_state,
				 entry_prober_late_t on_late,
				 metrics_t *metrics, hl_error_t *err)
{
	entry_prober_t *prober = calloc(1, sizeof(*prober));

	if (!prober) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		return NULL;
	}
	prober->headers = headers;
	prober->connect_from = connect_from;
	prober->on_state = on_state;
	prober->on_late = on_late;
	pthread_mutex_init(&prober->lock, NULL);
	CDS_INIT_LIST_HEAD(&prober->queued);
	CDS_INIT_LIST_HEAD(&prober->running);
	prober->connections = entry_prober_idle_new();
	prober->sent = metrics_counter(metrics, "hemlock_probes_total", "",
				       "Questions to copies for their load.");
	prober->failed = metrics_counter(metrics, "hemlock_probes_failed_total",
					 "",
					 "Those of them that brought no load.");
	prober->questions = metrics_counter(
		metrics, "hemlock_sibling_questions_total", "",
		"Questions to sibling entries which copies they reach.");
	prober->multi = curl_multi_init();
	if (prober->multi) {
		curl_multi_setopt(prober->multi, CURLMOPT_MAXCONNECTS,
				  PROBER_CONNECTIONS);
		return prober;
	}
	hl_error_set(err, HL_ERR_NOMEM,
		     "out of memory; give the VM more memory");
	entry_prober_free(prober);
	return NULL;
}

void entry_prober_free(entry_prober_t *prober)
{
	prober_query_t *query, *next;

	if (!prober)
		return;
	cds_list_for_each_entry_safe (query, next, &prober->running, link)
		prober_finish(prober, query, false);
	cds_list_for_each_entry_safe (query, next, &prober->queued, link) {
		query_end(query, false);
		free(query);
	}
	while (prober->idle_count > 0)
		curl_easy_cleanup(prober->idle[--prober->idle_count]);
	if (prober->multi)
		curl_multi_cleanup(prober->multi);
	entry_prober_idle_free(prober->connections);
	pthread_mutex_destroy(&prober->lock);
	free(prober);
}

static int prober_enqueue(entry_prober_t *prober, prober_batch_t *batch,
			  const char *path, unsigned index)
{
	prober_query_t *query = calloc(1, sizeof(*query));

	if (!query)
		return -1;
	query->prober = prober;
	query->batch = batch;
	query->index = index;
	batch->probes[index].sent = time_now();
	snprintf(query->url, sizeof(query->url), "http://%s%s",
		 batch->probes[index].address, path);
	__atomic_fetch_add(&batch->refs, 1, __ATOMIC_RELAXED);
	batch->unanswered++;
	pthread_mutex_lock(&prober->lock);
	cds_list_add_tail(&query->link, &prober->queued);
	pthread_mutex_unlock(&prober->lock);
	return 0;
}

int entry_prober_test(entry_prober_t *prober, const char *path,
		      const entry_probe_t *probe, entry_prober_end_t on_end)
{
	prober_batch_t *batch = batch_new(probe, 1, NULL);
	int rc;

	if (!batch)
		return -1;
	batch->on_end = on_end;
	rc = prober_enqueue(prober, batch, path, 0);
	curl_multi_wakeup(prober->multi);
	batch_unref(batch);
	return rc;
}

int entry_prober_ask(entry_prober_t *prober, const char *target,
		     const char *header, const entry_probe_t *probe,
		     entry_prober_end_t on_end)
{
	prober_batch_t *batch = batch_new(probe, 1, NULL);
	int rc = -1;

	if (!batch)
		return -1;
	batch->on_end = on_end;
	batch->target = g_strdup(target);
	batch->headers = curl_slist_append(NULL, header);
	if (batch->headers)
		rc = prober_enqueue(prober, batch, "/", 0);
	curl_multi_wakeup(prober->multi);
	batch_unref(batch);
	return rc;
}

/*
 * Waits until @until or until all queries have ended; with @early also until a
 * reported load is acceptable. The caller holds batch->lock.
 */
static void batch_wait(prober_batch_t *batch, usec_t until, bool early)
{
	struct timespec ts = { until / USEC_PER_SEC,
			       until % USEC_PER_SEC * 1000 };

	while (batch->unanswered > 0 && !(early && batch->satisfied))
		if (pthread_cond_timedwait(&batch->changed, &batch->lock, &ts))
			return;
}

void entry_prober_query(entry_prober_t *prober, const char *path,
			entry_probe_t *probes, unsigned count,
			const entry_probe_wait_t *wait,
			bool (*satisfies)(const load_t *load))
{
	prober_batch_t *batch = batch_new(probes, count, satisfies);
	usec_t start = time_now();
	unsigned i;

	if (!batch)
		return;
	pthread_mutex_lock(&batch->lock);
	for (i = 0; i < count; i++)
		prober_enqueue(prober, batch, path, i);
	curl_multi_wakeup(prober->multi);
	batch_wait(batch, start + wait->early, false);
	batch_wait(batch, start + wait->max, true);
	memcpy(probes, batch->probes, count * sizeof(*probes));
	batch->abandoned = true;
	pthread_mutex_unlock(&batch->lock);
	batch_unref(batch);
}
