#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>
#include "entry-prober.h"

/* A question that takes longer is given up. */
#define PROBER_TIMEOUT_MS 400L
#define PROBER_CONNECT_MS 200L
/* Connections that are kept between questions. */
#define PROBER_CONNECTIONS 256L
/* Handles that are kept for further questions. */
#define PROBER_IDLE_MAX 16
/* How long the thread sleeps with nothing to do. */
#define PROBER_IDLE_MS 60000

/* The questions of one worker; the last of the two that leaves frees it. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	unsigned refs;
	unsigned open; /* questions without an answer */
	bool satisfied;
	bool (*satisfies)(const load_t *load);
	entry_probe_t probes[ENTRY_PROBES_MAX];
} prober_batch_t;

/* One question on its way. */
typedef struct {
	struct cds_list_head link;
	entry_prober_t *prober;
	prober_batch_t *batch;
	unsigned index;
	CURL *easy;
	bool has_load;
	load_t load;
	char url[HL_ADDRESS_MAX + HL_MESSAGE_MAX + sizeof("http://")];
} prober_item_t;

struct entry_prober {
	const headers_t *headers;
	CURLM *multi;
	pthread_mutex_t lock; /* of asked */
	struct cds_list_head asked;
	/* Only the thread looks at these. */
	struct cds_list_head running;
	CURL *idle[PROBER_IDLE_MAX];
	unsigned idle_count;
	uint64_t *sent;
	uint64_t *failed;
};

static void batch_unref(prober_batch_t *batch)
{
	if (__atomic_sub_fetch(&batch->refs, 1, __ATOMIC_ACQ_REL))
		return;
	pthread_cond_destroy(&batch->changed);
	pthread_mutex_destroy(&batch->lock);
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

static size_t prober_header(char *line, size_t size, size_t count,
			    void *context)
{
	prober_item_t *item = context;
	const char *name = item->prober->headers->load;
	size_t length = size * count;
	size_t name_length = strlen(name);
	char text[HL_NAME_MAX];
	size_t rest;

	if (length <= name_length + 1 || line[name_length] != ':' ||
	    strncasecmp(line, name, name_length))
		return length;
	rest = length - name_length - 1;
	if (rest >= sizeof(text))
		return length;
	memcpy(text, line + name_length + 1, rest);
	text[rest] = '\0';
	item->has_load = item->prober->headers->load_read(text, &item->load);
	return length;
}

static size_t prober_body(char *bytes, size_t size, size_t count, void *context)
{
	(void)bytes;
	(void)context;
	return size * count;
}

/* The answer came, or will not come. */
static void item_end(prober_item_t *item, bool whole)
{
	prober_batch_t *batch = item->batch;
	entry_probe_t *probe = &batch->probes[item->index];

	pthread_mutex_lock(&batch->lock);
	probe->state = whole && item->has_load ? ENTRY_PROBE_TOLD :
						 ENTRY_PROBE_FAILED;
	probe->load = item->load;
	batch->open--;
	if (probe->state == ENTRY_PROBE_TOLD && batch->satisfies(&item->load))
		batch->satisfied = true;
	pthread_cond_signal(&batch->changed);
	pthread_mutex_unlock(&batch->lock);
	if (probe->state == ENTRY_PROBE_FAILED)
		metrics_add(item->prober->failed, 1);
	batch_unref(batch);
}

static void prober_keep(entry_prober_t *prober, CURL *easy)
{
	if (prober->idle_count < PROBER_IDLE_MAX)
		prober->idle[prober->idle_count++] = easy;
	else
		curl_easy_cleanup(easy);
}

static CURL *prober_take(entry_prober_t *prober)
{
	if (prober->idle_count > 0)
		return prober->idle[--prober->idle_count];
	return curl_easy_init();
}

static void prober_begin(entry_prober_t *prober, prober_item_t *item)
{
	item->easy = prober_take(prober);
	if (!item->easy) {
		item_end(item, false);
		free(item);
		return;
	}
	curl_easy_reset(item->easy);
	curl_easy_setopt(item->easy, CURLOPT_URL, item->url);
	curl_easy_setopt(item->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(item->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(item->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(item->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 PROBER_CONNECT_MS);
	curl_easy_setopt(item->easy, CURLOPT_TIMEOUT_MS, PROBER_TIMEOUT_MS);
	curl_easy_setopt(item->easy, CURLOPT_HEADERFUNCTION, prober_header);
	curl_easy_setopt(item->easy, CURLOPT_HEADERDATA, item);
	curl_easy_setopt(item->easy, CURLOPT_WRITEFUNCTION, prober_body);
	curl_easy_setopt(item->easy, CURLOPT_PRIVATE, item);
	cds_list_add_tail(&item->link, &prober->running);
	metrics_add(prober->sent, 1);
	curl_multi_add_handle(prober->multi, item->easy);
}

/* Begin what workers have asked since the last look. */
static void prober_begin_all(entry_prober_t *prober)
{
	struct cds_list_head asked;
	prober_item_t *item, *next;

	CDS_INIT_LIST_HEAD(&asked);
	pthread_mutex_lock(&prober->lock);
	cds_list_splice(&prober->asked, &asked);
	CDS_INIT_LIST_HEAD(&prober->asked);
	pthread_mutex_unlock(&prober->lock);
	cds_list_for_each_entry_safe (item, next, &asked, link) {
		cds_list_del(&item->link);
		prober_begin(prober, item);
	}
}

static void prober_finish(entry_prober_t *prober, prober_item_t *item,
			  bool whole)
{
	curl_multi_remove_handle(prober->multi, item->easy);
	prober_keep(prober, item->easy);
	cds_list_del(&item->link);
	item_end(item, whole);
	free(item);
}

static void prober_finish_ended(entry_prober_t *prober)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(prober->multi, &left))) {
		prober_item_t *item = NULL;
		bool whole = message->data.result == CURLE_OK;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&item);
		prober_finish(prober, item, whole);
	}
}

static int prober_run(void *context, const volatile int *stop)
{
	entry_prober_t *prober = context;
	int running = 0;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		prober_begin_all(prober);
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

entry_prober_t *entry_prober_new(const headers_t *headers, metrics_t *metrics,
				 hl_error_t *err)
{
	entry_prober_t *prober = calloc(1, sizeof(*prober));

	if (!prober) {
		hl_error_set(err, HL_ERR_NOMEM, "no memory; add some");
		return NULL;
	}
	prober->headers = headers;
	pthread_mutex_init(&prober->lock, NULL);
	CDS_INIT_LIST_HEAD(&prober->asked);
	CDS_INIT_LIST_HEAD(&prober->running);
	prober->sent = metrics_counter(metrics, "hemlock_probes_total", "",
				       "Questions to copies for their load.");
	prober->failed = metrics_counter(metrics, "hemlock_probes_failed_total",
					 "",
					 "Those of them that brought no load.");
	prober->multi = curl_multi_init();
	if (prober->multi) {
		curl_multi_setopt(prober->multi, CURLMOPT_MAXCONNECTS,
				  PROBER_CONNECTIONS);
		return prober;
	}
	hl_error_set(err, HL_ERR_NOMEM, "no memory; add some");
	entry_prober_free(prober);
	return NULL;
}

void entry_prober_free(entry_prober_t *prober)
{
	prober_item_t *item, *next;

	if (!prober)
		return;
	cds_list_for_each_entry_safe (item, next, &prober->running, link)
		prober_finish(prober, item, false);
	cds_list_for_each_entry_safe (item, next, &prober->asked, link) {
		item_end(item, false);
		free(item);
	}
	while (prober->idle_count > 0)
		curl_easy_cleanup(prober->idle[--prober->idle_count]);
	if (prober->multi)
		curl_multi_cleanup(prober->multi);
	pthread_mutex_destroy(&prober->lock);
	free(prober);
}

static void prober_post(entry_prober_t *prober, prober_batch_t *batch,
			const char *path, unsigned index)
{
	prober_item_t *item = calloc(1, sizeof(*item));

	if (!item)
		return;
	item->prober = prober;
	item->batch = batch;
	item->index = index;
	snprintf(item->url, sizeof(item->url), "http://%s%s",
		 batch->probes[index].address, path);
	__atomic_fetch_add(&batch->refs, 1, __ATOMIC_RELAXED);
	batch->open++;
	pthread_mutex_lock(&prober->lock);
	cds_list_add_tail(&item->link, &prober->asked);
	pthread_mutex_unlock(&prober->lock);
}

/* Wait until @until, or until there is nothing to wait for. Lock held. */
static void batch_wait(prober_batch_t *batch, usec_t until, bool some)
{
	struct timespec ts = { until / USEC_PER_SEC,
			       until % USEC_PER_SEC * 1000 };

	while (batch->open > 0 && !(some && batch->satisfied))
		if (pthread_cond_timedwait(&batch->changed, &batch->lock, &ts))
			return;
}

void entry_prober_ask(entry_prober_t *prober, const char *path,
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
		prober_post(prober, batch, path, i);
	curl_multi_wakeup(prober->multi);
	batch_wait(batch, start + wait->some, false);
	batch_wait(batch, start + wait->all, true);
	memcpy(probes, batch->probes, count * sizeof(*probes));
	pthread_mutex_unlock(&batch->lock);
	batch_unref(batch);
}
