/*
 * load-caller: a load generator that calls one service. With --rate the load is
 * an open loop with Poisson arrivals, with --callers a closed loop with a fixed
 * number of callers. The latency of a call is measured from the time at which
 * it was intended to start, so that it includes the time for which a stall
 * delayed the start (no coordinated omission).
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu/list.h>
#include "hemlock.h"
#include "tool-options.h"

#define THREADS_MAX 16
#define ADDRESSES_MAX 64
#define EVENTS_MAX 256
#define CONNECTIONS_MAX 4096
#define TIMEOUT_SLACK_MS 2000 /* timeout of a call minus its deadline */
#define LOOKUP_TIMEOUT_MS 300L
#define LOOKUP_RETRY_MS 100
#define LOOKUP_POLL_USEC (10 * USEC_PER_MS)
#define LOOKUP_POLLS_MAX 500 /* polls for the first response, at the start */
#define ATTEMPTS_MAX 3	     /* maximum number of addresses per call */
#define WAIT_MAX_USEC (USEC_PER_SEC / 20)
#define HISTOGRAM_FIRST_USEC 1.0
#define HISTOGRAM_RATIO 1.189207115 /* the fourth root of 2 */
#define BAR_COLUMNS 200
/* Number of different uniform numbers: 2^53, as a double has 53 bits. */
#define UNIFORM_RANGE 9007199254740992.0

typedef enum {
	RESULT_OK,	/* complete response to this call, status below 400 */
	RESULT_REFUSED, /* complete response with the outcome not-run */
	RESULT_ERROR,	/* any other complete response */
	RESULT_TRUNCATED,
	RESULT_CONNECT_FAILED, /* nothing was sent */
	RESULT_TIMEOUT,
	RESULT_WRONG, /* response to another call */
	RESULT_COUNT,
} call_result_t;

static const char *const result_names[RESULT_COUNT] = {
	"ok", "refused", "error", "cut", "connect", "timeout", "wrong"
};

/* Entries to call, as returned by a look-up. */
typedef struct {
	unsigned count;
	char address[ADDRESSES_MAX][HL_ADDRESS_MAX];
	unsigned weight[ADDRESSES_MAX], total; /* total: sum of the weights */
} addresses_t;

typedef struct worker worker_t;

/* A call in flight; after it ends, the idle list holds it for reuse. */
typedef struct call {
	struct cds_list_head link;
	worker_t *worker;
	CURL *easy;
	struct curl_slist *headers;
	char id[HL_NAME_MAX], address[HL_ADDRESS_MAX];
	char outcome[32], reason[32];
	usec_t intended, started;
	bool post, headers_complete, body_mismatch, id_matches;
	unsigned attempts;
	uint64_t size; /* bytes received of the response body */
	uint64_t sent; /* bytes sent of the request body */
} call_t;

/* A thread with its own connections and counters. */
struct worker {
	pthread_t thread;
	CURLM *multi;
	unsigned index;
	int epoll_fd;
	usec_t timer, next_arrival, start, stop;
	uint64_t random;	 /* generator for all choices but addresses */
	uint64_t address_random; /* generator for the choice of addresses */
	uint64_t next_id;
	struct cds_list_head idle;
	uint64_t results[RESULT_COUNT]; /* calls after the warm-up, by result */
	uint64_t all_results[RESULT_COUNT], sent;
	GHashTable *reasons; /* "RESULT_REASON" to number of calls */
	GArray *latencies;   /* latencies of the RESULT_OK calls, us */
	unsigned in_flight;
};

static gchar *opt_service = "bay-desk", *opt_entries, *opt_direct, *opt_zone;
static gchar *opt_tenants = "none", *opt_classes, *opt_record, *opt_histogram;
static gchar *opt_path = "/";
static gdouble opt_rate, opt_shift_factor;
static gint opt_callers, opt_threads = 1, opt_seconds = 5, opt_warmup_ms = 500;
static gint opt_post, opt_deadline_ms = 5000, opt_seed = 1, opt_size;
static gint opt_shift_ms, opt_body = 16, opt_connections = CONNECTIONS_MAX;
static gboolean opt_keyed;

static addresses_t addresses;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gchar **tenants, **classes;
static FILE *record_file;
static volatile int finished;

/* Returns the next uniform random number in (0, 1). */
static double random_next(uint64_t *state)
{
	*state = hl_hash(state, sizeof(*state), (uint64_t)opt_seed);
	return ((double)(*state >> 11) + 0.5) / UNIFORM_RANGE;
}

/*
 * Returns the next uniform number in (0, 1) for any choice but that of an
 * address. This sequence does not depend on look-ups and failures, so runs with
 * the same seed make the same calls.
 */
static double uniform(worker_t *worker)
{
	return random_next(&worker->random);
}

static size_t text_write(char *data, size_t size, size_t count, void *cls)
{
	g_string_append_len(cls, data, (gssize)(size * count));
	return size * count;
}

static int addresses_parse(const char *text, addresses_t *out, usec_t *validity)
{
	json_t *root = json_loads(text, 0, NULL), *item;
	size_t i;

	memset(out, 0, sizeof(*out));
	json_array_foreach(json_object_get(root, "addresses"), i, item)
	{
		const char *address = json_string_value(
			json_object_get(item, "address"));
		json_int_t weight = json_integer_value(
			json_object_get(item, "weight"));

		if (!address || weight < 0 || out->count == ADDRESSES_MAX)
			continue;
		g_strlcpy(out->address[out->count], address, HL_ADDRESS_MAX);
		out->weight[out->count++] = (unsigned)weight;
		out->total += (unsigned)weight;
	}
	*validity = json_integer_value(json_object_get(root, "keep_ms")) *
		    USEC_PER_MS;
	json_decref(root);
	return out->count ? 0 : -1;
}

/*
 * Queries one entry for the addresses of the service. Sets @validity to the
 * time for which the response may be used.
 */
static int lookup(CURL *easy, const char *entry, usec_t *validity)
{
	GString *text = g_string_new("");
	char *url = g_strdup_printf("http://%s/v1/lookup?service=%s%s%s", entry,
				    opt_service, opt_zone ? "&zone=" : "",
				    opt_zone ? opt_zone : "");
	addresses_t found;
	long status = 0;
	int rc = -1;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, text_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, LOOKUP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	if (!curl_easy_perform(easy))
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (status == 200 && !addresses_parse(text->str, &found, validity)) {
		pthread_mutex_lock(&lock);
		addresses = found;
		pthread_mutex_unlock(&lock);
		rc = 0;
	}
	g_free(url);
	g_string_free(text, TRUE);
	return rc;
}

static void *lookup_main(void *arg G_GNUC_UNUSED)
{
	gchar **entries = g_strsplit(opt_entries, ",", -1);
	unsigned count = g_strv_length(entries), next = (unsigned)opt_seed;
	CURL *easy = curl_easy_init();
	usec_t validity, due = 0;

	while (!finished) {
		if (time_now() >= due) {
			validity = LOOKUP_RETRY_MS * USEC_PER_MS;
			if (lookup(easy, entries[next % count], &validity)) {
				validity = LOOKUP_RETRY_MS * USEC_PER_MS;
				next++;
			}
			due = time_now() + validity;
		}
		usleep(LOOKUP_POLL_USEC);
	}
	curl_easy_cleanup(easy);
	g_strfreev(entries);
	return NULL;
}

/*
 * Chooses an address at random by weight. If that address is @excluded, because
 * a connection to it has just failed, the next address is chosen instead.
 */
static bool choose_address(worker_t *worker, const char *excluded, char *out)
{
	unsigned at, i, count;

	pthread_mutex_lock(&lock);
	count = addresses.count;
	at = (unsigned)(random_next(&worker->address_random) * addresses.total);
	for (i = 0; i < addresses.count; i++) {
		if (at < addresses.weight[i] || !addresses.total)
			break;
		at -= addresses.weight[i];
	}
	if (i == count)
		i = 0;
	if (count && !strcmp(addresses.address[i], excluded))
		i = (i + 1) % count;
	if (count)
		g_strlcpy(out, addresses.address[i], HL_ADDRESS_MAX);
	pthread_mutex_unlock(&lock);
	return count > 0;
}

/* Compares the body with the id of the call, which the copy repeats in it. */
static size_t response_body_write(char *data, size_t size, size_t count,
				  void *cls)
{
	call_t *call = cls;
	size_t length = strlen(call->id), i;

	for (i = 0; i < size * count && !call->body_mismatch; i++)
		call->body_mismatch = data[i] !=
				      call->id[(call->size + i) % length];
	call->size += size * count;
	return size * count;
}

/* Copies the value of a header line to @out if the header is @name. */
static void match_header(const char *line, const char *name, char *out,
			 size_t size)
{
	size_t length = strlen(name);

	if (g_ascii_strncasecmp(line, name, length) != 0 || line[length] != ':')
		return;
	g_strlcpy(out, line + length + 1, size);
	g_strstrip(out);
}

static size_t response_header_write(char *data, size_t size, size_t count,
				    void *cls)
{
	call_t *call = cls;
	char *line = g_strndup(data, size * count), id[HL_NAME_MAX] = "";

	g_strchomp(line);
	call->headers_complete = !*line;
	match_header(line, "Hemlock-Outcome", call->outcome,
		     sizeof(call->outcome));
	match_header(line, "Hemlock-Reason", call->reason,
		     sizeof(call->reason));
	match_header(line, "Request-Id", id, sizeof(id));
	if (!strcmp(id, call->id))
		call->id_matches = true;
	g_free(line);
	return size * count;
}

/*
 * Read callback for the request body. There is no seek callback, so libcurl
 * cannot rewind the body and never sends it twice by itself.
 */
static size_t request_body_read(char *data, size_t size, size_t count,
				void *cls)
{
	call_t *call = cls;
	size_t n = MIN(size * count, (size_t)opt_body - call->sent);

	memset(data, 'x', n);
	call->sent += n;
	return n;
}

static void add_header(call_t *call, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	call->headers = curl_slist_append(call->headers, line);
	g_free(line);
}

static void call_headers(call_t *call)
{
	worker_t *worker = call->worker;
	unsigned count;

	call->headers = curl_slist_append(NULL, "Expect:");
	add_header(call, "Host", opt_service);
	add_header(call, "Request-Id", call->id);
	count = g_strv_length(tenants);
	add_header(call, "Hemlock-Tenant",
		   tenants[(unsigned)(uniform(worker) * count)]);
	count = classes ? g_strv_length(classes) : 0;
	if (count)
		add_header(call, "Hemlock-Class",
			   classes[(unsigned)(uniform(worker) * count)]);
	if (opt_deadline_ms) {
		char text[16];

		snprintf(text, sizeof(text), "%d", opt_deadline_ms);
		add_header(call, "Hemlock-Deadline-Ms", text);
	}
	if (call->post && opt_keyed)
		add_header(call, "Idempotency-Key", call->id);
}

/*
 * Sends a call to its address. If the connection fails before anything was
 * sent, call_done() calls this function again with another address.
 */
static void call_send(call_t *call)
{
	CURL *easy = call->easy;
	char url[512];

	call->started = time_now();
	call->size = call->sent = 0;
	call->outcome[0] = call->reason[0] = '\0';
	call->headers_complete = call->body_mismatch = call->id_matches = false;
	call->attempts++;
	snprintf(url, sizeof(url), "http://%s%s%csize=%d", call->address,
		 opt_path, strchr(opt_path, '?') ? '&' : '?', opt_size);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, response_body_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, response_header_write);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(opt_deadline_ms + TIMEOUT_SLACK_MS));
	if (call->post) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, request_body_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, call);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE, (long)opt_body);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "POST");
	}
	curl_multi_add_handle(call->worker->multi, easy);
}

static void call_start(worker_t *worker, usec_t intended)
{
	call_t *call;

	if (cds_list_empty(&worker->idle)) {
		call = g_new0(call_t, 1);
		call->worker = worker;
		call->easy = curl_easy_init();
	} else {
		call = cds_list_first_entry(&worker->idle, call_t, link);
		cds_list_del(&call->link);
	}
	snprintf(call->id, sizeof(call->id), "%d-%u-%" PRIu64, opt_seed,
		 worker->index, worker->next_id++);
	call->intended = intended;
	call->attempts = 0;
	call->post = uniform(worker) * 100 < opt_post;
	call_headers(call);
	if (!choose_address(worker, "", call->address))
		g_strlcpy(call->address, "127.0.0.1:1", sizeof(call->address));
	worker->sent++;
	worker->in_flight++;
	call_send(call);
}

static call_result_t call_result_of(const call_t *call, CURLcode code,
				    long status)
{
	long bytes = 0;

	/*
	 * A connection failure may follow a GET that libcurl has sent on a
	 * reused connection that broke; then the request may have run.
	 */
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &bytes);
	if (code == CURLE_COULDNT_CONNECT)
		return bytes ? RESULT_TRUNCATED : RESULT_CONNECT_FAILED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return RESULT_TIMEOUT;
	if (code != CURLE_OK || !call->headers_complete)
		return RESULT_TRUNCATED;
	if (!strcmp(call->outcome, "not-run"))
		return RESULT_REFUSED;
	if (status >= 400)
		return RESULT_ERROR;
	return call->id_matches && !call->body_mismatch &&
			       call->size == (uint64_t)opt_size ?
		       RESULT_OK :
		       RESULT_WRONG;
}

static void call_count(const call_t *call, call_result_t result, usec_t now)
{
	worker_t *worker = call->worker;
	usec_t latency = now - call->intended;

	worker->all_results[result]++;
	if (call->intended < worker->start + opt_warmup_ms * USEC_PER_MS)
		return;
	worker->results[result]++;
	if (result == RESULT_OK) {
		g_array_append_val(worker->latencies, latency);
	} else {
		const char *reason = call->reason[0] ? call->reason : "none";
		char *key = g_strdup_printf("%s_%s", result_names[result],
					    reason);

		g_hash_table_insert(
			worker->reasons, key,
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(
						 worker->reasons, key)) +
					 1));
	}
}

static void call_record(const call_t *call, call_result_t result, long status,
			usec_t now)
{
	if (!record_file)
		return;
	fprintf(record_file,
		"call at=%" PRId64 " started=%" PRId64 " ended=%" PRId64
		" id=%s method=%s key=%s address=%s tries=%u status=%ld "
		"outcome=%s reason=%s end=%s\n",
		call->intended, call->started, now, call->id,
		call->post ? "POST" : "GET",
		call->post && opt_keyed ? call->id : "-", call->address,
		call->attempts, status, call->outcome[0] ? call->outcome : "-",
		call->reason[0] ? call->reason : "-", result_names[result]);
}

static void call_done(call_t *call, CURLcode code, usec_t now)
{
	worker_t *worker = call->worker;
	char failed[HL_ADDRESS_MAX];
	long status = 0;
	call_result_t result;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(worker->multi, call->easy);
	result = call_result_of(call, code, status);
	g_strlcpy(failed, call->address, sizeof(failed));
	/* Nothing was sent: the call may go to the next address. */
	if (result == RESULT_CONNECT_FAILED && call->attempts < ATTEMPTS_MAX &&
	    choose_address(worker, failed, call->address)) {
		call_send(call);
		return;
	}
	call_count(call, result, now);
	call_record(call, result, status, now);
	curl_slist_free_all(call->headers);
	call->headers = NULL;
	cds_list_add(&call->link, &worker->idle);
	worker->in_flight--;
	if (opt_callers && now < worker->stop)
		call_start(worker, time_now());
}

static int on_socket(CURL *easy G_GNUC_UNUSED, curl_socket_t fd, int what,
		     void *cls, void *known)
{
	worker_t *worker = cls;
	struct epoll_event event = { 0 };

	event.data.fd = fd;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(worker->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	event.events = (what & CURL_POLL_IN ? EPOLLIN : 0U) |
		       (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
	epoll_ctl(worker->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
		  &event);
	curl_multi_assign(worker->multi, fd, worker);
	return 0;
}

static int on_timer(CURLM *multi G_GNUC_UNUSED, long ms, void *cls)
{
	worker_t *worker = cls;

	worker->timer = ms < 0 ? USEC_NEVER : time_now() + ms * USEC_PER_MS;
	return 0;
}

/* Returns the current rate of arrivals as a fraction of the peak rate. */
static double rate_fraction(const worker_t *worker, usec_t now)
{
	bool low;

	if (!opt_shift_ms)
		return 1;
	low = (now - worker->start) / (opt_shift_ms * USEC_PER_MS) % 2;
	return low ? (1 - opt_shift_factor) / (1 + opt_shift_factor) : 1;
}

/*
 * Starts the calls that are due. Poisson arrivals at the peak rate are thinned
 * to the current rate.
 */
static void start_due(worker_t *worker, usec_t now)
{
	double peak_rate = opt_rate / opt_threads / USEC_PER_SEC;

	if (opt_shift_ms)
		peak_rate *= 1 + opt_shift_factor;
	while (worker->next_arrival <= now &&
	       worker->next_arrival < worker->stop &&
	       worker->in_flight < (unsigned)opt_connections) {
		usec_t intended = worker->next_arrival;

		if (!opt_shift_ms ||
		    uniform(worker) < rate_fraction(worker, intended))
			call_start(worker, intended);
		worker->next_arrival += (usec_t)(-log(uniform(worker)) /
						 peak_rate);
	}
}

static void wait_for_events(worker_t *worker)
{
	struct epoll_event events[EVENTS_MAX];
	usec_t now = time_now(), due = now + WAIT_MAX_USEC;
	struct timespec wait;
	int i, n, running;

	due = MIN(due, worker->timer);
	if (opt_rate > 0 && worker->next_arrival < worker->stop &&
	    worker->in_flight < (unsigned)opt_connections)
		due = MIN(due, worker->next_arrival);
	due = MAX(due - now, 0);
	wait = (struct timespec){ due / USEC_PER_SEC,
				  due % USEC_PER_SEC * 1000 };
	n = epoll_pwait2(worker->epoll_fd, events, EVENTS_MAX, &wait, NULL);
	for (i = 0; i < n; i++)
		curl_multi_socket_action(
			worker->multi, events[i].data.fd,
			(events[i].events & EPOLLIN ? CURL_CSELECT_IN : 0) |
				(events[i].events & EPOLLOUT ?
					 CURL_CSELECT_OUT :
					 0) |
				(events[i].events & (EPOLLERR | EPOLLHUP) ?
					 CURL_CSELECT_ERR :
					 0),
			&running);
	if (time_now() >= worker->timer) {
		worker->timer = USEC_NEVER;
		curl_multi_socket_action(worker->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
}

/*
 * Whether the open loop still has calls to start. After the end of the run
 * these are calls that wait for a free connection; their latency includes the
 * wait.
 */
static bool arrivals_pending(const worker_t *worker)
{
	return opt_rate > 0 && worker->next_arrival < worker->stop;
}

static void *worker_main(void *arg)
{
	worker_t *worker = arg;
	CURLMsg *message;
	call_t *call;
	int left, i;

	for (i = (int)worker->index; i < opt_callers; i += opt_threads)
		call_start(worker, time_now());
	while (time_now() < worker->stop || worker->in_flight ||
	       arrivals_pending(worker)) {
		if (opt_rate > 0)
			start_due(worker, time_now());
		wait_for_events(worker);
		while ((message = curl_multi_info_read(worker->multi, &left))) {
			CURLcode code = message->data.result;

			curl_easy_getinfo(message->easy_handle,
					  CURLINFO_PRIVATE, &call);
			call_done(call, code, time_now());
		}
	}
	return NULL;
}

static void worker_init(worker_t *worker, unsigned index, usec_t start)
{
	worker->index = index;
	worker->random = index + 1;
	worker->address_random = index + 1 + THREADS_MAX;
	worker->start = worker->next_arrival = start;
	worker->stop = start + opt_seconds * USEC_PER_SEC;
	worker->timer = USEC_NEVER;
	worker->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	worker->reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
	worker->latencies = g_array_new(FALSE, FALSE, sizeof(usec_t));
	CDS_INIT_LIST_HEAD(&worker->idle);
	worker->multi = curl_multi_init();
	curl_multi_setopt(worker->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(worker->multi, CURLMOPT_SOCKETDATA, worker);
	curl_multi_setopt(worker->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(worker->multi, CURLMOPT_TIMERDATA, worker);
	curl_multi_setopt(worker->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTIONS_MAX);
}

/* Adds the counters and latencies of one worker to those of another. */
static void worker_merge(worker_t *into, const worker_t *from)
{
	GHashTableIter iter;
	gpointer key, value;
	int result;

	for (result = 0; result < RESULT_COUNT; result++) {
		into->results[result] += from->results[result];
		into->all_results[result] += from->all_results[result];
	}
	into->sent += from->sent;
	g_array_append_vals(into->latencies, from->latencies->data,
			    from->latencies->len);
	g_hash_table_iter_init(&iter, from->reasons);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_hash_table_insert(
			into->reasons, g_strdup(key),
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(
						 into->reasons, key)) +
					 GPOINTER_TO_UINT(value)));
}

static int usec_compare(const void *a, const void *b)
{
	usec_t x = *(const usec_t *)a, y = *(const usec_t *)b;

	return (x > y) - (x < y);
}

static usec_t quantile(const GArray *sorted, double q)
{
	size_t at = (size_t)(q * sorted->len);

	if (!sorted->len)
		return 0;
	return g_array_index(sorted, usec_t, MIN(at, sorted->len - 1));
}

static void summary(worker_t *all)
{
	double seconds = opt_seconds - opt_warmup_ms / 1000.0;
	GHashTableIter iter;
	gpointer key, value;
	int result;

	g_array_sort(all->latencies, usec_compare);
	printf("sent=%" PRIu64, all->sent);
	for (result = 0; result < RESULT_COUNT; result++)
		printf(" %s=%" PRIu64, result_names[result],
		       all->results[result]);
	printf(" goodput=%.1f p50=%" PRId64 " p99=%" PRId64 " p999=%" PRId64
	       " max=%" PRId64,
	       (double)all->results[RESULT_OK] / seconds,
	       quantile(all->latencies, 0.5), quantile(all->latencies, 0.99),
	       quantile(all->latencies, 0.999), quantile(all->latencies, 1));
	g_hash_table_iter_init(&iter, all->reasons);
	while (g_hash_table_iter_next(&iter, &key, &value))
		printf(" %s=%u", (char *)key, GPOINTER_TO_UINT(value));
	printf("\n");
}

/*
 * Writes the latency histogram with four buckets per factor of 2. Each line has
 * the lower edge of a bucket, the number of calls in it and a bar.
 */
static void histogram_write(const GArray *sorted)
{
	FILE *out = opt_histogram ? fopen(opt_histogram, "w") : NULL;
	double lower_edge = HISTOGRAM_FIRST_USEC;
	guint at = 0, count, bar;

	for (; out && at < sorted->len; lower_edge *= HISTOGRAM_RATIO) {
		for (count = 0; at < sorted->len &&
				(double)g_array_index(sorted, usec_t, at) <
					lower_edge * HISTOGRAM_RATIO;
		     at++)
			count++;
		if (!count)
			continue;
		fprintf(out, "%12.3f ms %8u ", lower_edge / USEC_PER_MS, count);
		for (bar = count * BAR_COLUMNS / sorted->len; bar; bar--)
			fputc('#', out);
		fputc('\n', out);
	}
	if (out)
		fclose(out);
}

static const GOptionEntry options[] = {
	{ "service", 0, 0, G_OPTION_ARG_STRING, &opt_service, "service to call",
	  "NAME" },
	{ "entries", 0, 0, G_OPTION_ARG_STRING, &opt_entries,
	  "control addresses of the entries for look-ups", "IP:PORT,..." },
	{ "direct", 0, 0, G_OPTION_ARG_STRING, &opt_direct,
	  "call these addresses without a look-up", "IP:PORT,..." },
	{ "zone", 0, 0, G_OPTION_ARG_STRING, &opt_zone, "zone of the callers",
	  "NAME" },
	{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt_rate,
	  "open loop: Poisson arrivals per second", "N" },
	{ "callers", 0, 0, G_OPTION_ARG_INT, &opt_callers,
	  "closed loop: number of callers", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt_connections,
	  "open loop: maximum calls in flight per thread", "N" },
	{ "shift-ms", 0, 0, G_OPTION_ARG_INT, &opt_shift_ms,
	  "alternate between a high and a low rate at this interval", "MS" },
	{ "shift-factor", 0, 0, G_OPTION_ARG_DOUBLE, &opt_shift_factor,
	  "deviation of the high and low rate from --rate, as a fraction",
	  "F" },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt_seconds, "duration", "N" },
	{ "warmup", 0, 0, G_OPTION_ARG_INT, &opt_warmup_ms,
	  "initial time that the summary leaves out", "MS" },
	{ "threads", 0, 0, G_OPTION_ARG_INT, &opt_threads, "number of threads",
	  "N" },
	{ "post", 0, 0, G_OPTION_ARG_INT, &opt_post, "percentage of POST",
	  "PERCENT" },
	{ "keyed", 0, 0, G_OPTION_ARG_NONE, &opt_keyed,
	  "POSTs carry an Idempotency-Key", NULL },
	{ "body", 0, 0, G_OPTION_ARG_INT, &opt_body, "size of a POST body",
	  "BYTES" },
	{ "size", 0, 0, G_OPTION_ARG_INT, &opt_size, "size of a response body",
	  "BYTES" },
	{ "path", 0, 0, G_OPTION_ARG_STRING, &opt_path, "request path",
	  "PATH" },
	{ "deadline", 0, 0, G_OPTION_ARG_INT, &opt_deadline_ms,
	  "deadline of a call; 0: none", "MS" },
	{ "tenants", 0, 0, G_OPTION_ARG_STRING, &opt_tenants,
	  "tenants, chosen at random for each call", "NAME,..." },
	{ "classes", 0, 0, G_OPTION_ARG_STRING, &opt_classes,
	  "classes, chosen at random for each call", "NAME,..." },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "seed of arrivals and ids",
	  "N" },
	{ "record", 0, 0, G_OPTION_ARG_STRING, &opt_record,
	  "record each call for history-check", "FILE" },
	{ "histogram", 0, 0, G_OPTION_ARG_STRING, &opt_histogram,
	  "write a text histogram of the latencies", "FILE" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static bool options_valid(void)
{
	return !opt_entries != !opt_direct && (opt_rate > 0) == !opt_callers &&
	       opt_threads >= 1 && opt_threads <= THREADS_MAX &&
	       opt_connections >= 1;
}

static void direct_addresses(void)
{
	gchar **parts = g_strsplit(opt_direct, ",", ADDRESSES_MAX);

	for (; parts[addresses.count]; addresses.count++) {
		g_strlcpy(addresses.address[addresses.count],
			  parts[addresses.count], HL_ADDRESS_MAX);
		addresses.weight[addresses.count] = 1;
		addresses.total++;
	}
	g_strfreev(parts);
}

static bool addresses_known(void)
{
	bool known;

	pthread_mutex_lock(&lock);
	known = addresses.count > 0;
	pthread_mutex_unlock(&lock);
	return known;
}

int main(int argc, char **argv)
{
	static worker_t workers[THREADS_MAX];
	pthread_t lookup_thread;
	int i, polls_left = LOOKUP_POLLS_MAX;
	usec_t start;

	if (tool_options_read(argc, argv, options, options_valid,
			      "needs --entries or --direct, and --rate or "
			      "--callers"))
		return 2;
	tenants = g_strsplit(opt_tenants, ",", -1);
	classes = opt_classes ? g_strsplit(opt_classes, ",", -1) : NULL;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (opt_record && !(record_file = fopen(opt_record, "w"))) {
		perror(opt_record);
		return 1;
	}
	if (opt_direct)
		direct_addresses();
	else
		pthread_create(&lookup_thread, NULL, lookup_main, NULL);
	while (!addresses_known() && polls_left--)
		usleep(LOOKUP_POLL_USEC);
	start = time_now();
	for (i = 0; i < opt_threads; i++) {
		worker_init(&workers[i], (unsigned)i, start);
		pthread_create(&workers[i].thread, NULL, worker_main,
			       &workers[i]);
	}
	for (i = 0; i < opt_threads; i++) {
		pthread_join(workers[i].thread, NULL);
		if (i)
			worker_merge(&workers[0], &workers[i]);
	}
	summary(&workers[0]);
	histogram_write(workers[0].latencies);
	i = workers[0].all_results[RESULT_WRONG] ? 1 : 0;
	fflush(NULL);
	_exit(i);
}
