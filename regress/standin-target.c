/*
 * standin-target: simulates copies (instances of a service) for tests. One
 * process hosts many copies, each on a separate port. A copy runs up to --slots
 * requests in parallel and queues further requests, announces itself to the
 * entries (proxies) and records every request. Commands on the control port,
 * described at on_control(), change the behaviour of the copies. Parameters of
 * a request, given as query arguments or Standin-* headers, change how the copy
 * handles it:
 *
 *	delay-ms	service time of the request
 *	status		status of the response
 *	header		additional headers of the response
 *	size		size of the response body
 *	echo		the response body describes the request as JSON
 *	chunked		use chunked transfer encoding
 *	early		send 103 Early Hints first
 *	slow-ms		pause between the pieces of the body
 *	piece		size of a piece
 *	cut-after	close the connection after this many bytes of the body
 *	cut-head	close the connection in the middle of the headers
 *	close		close the connection without a response
 *	close-reused	close the connection if it had an earlier request
 *	die		exit the process
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>
#include "hemlock.h"
#include "regress/service-time.h"
#include "witness.h"

#define COPIES_MAX 256
#define ENTRIES_MAX 64
#define BODY_PIECE_BYTES_MAX 65536
#define EVENTS_MAX 64
#define ANNOUNCE_TIMEOUT_MS 500L
#define ANNOUNCE_RETRY_USEC (50 * USEC_PER_MS)
#define PROBE_PATH "/standin/load" /* a GET returns the load of the copy */
#define LOAD_SAMPLES 1024
#define LOAD_SAMPLE_USEC (10 * USEC_PER_MS)
#define CONNECTION_IDLE_SECONDS 60

/* Response to a request when all slots are busy; SHED_OFF queues it. */
typedef enum { SHED_OFF, SHED_429, SHED_503, SHED_503_AFTER } shed_t;

typedef enum {
	STAGE_NEW,	/* libmicrohttpd is still reading the request */
	STAGE_LINK_IN,	/* simulated network delay to the copy */
	STAGE_WAITING,	/* the request is in the queue of the copy */
	STAGE_RUNNING,	/* the request holds a slot */
	STAGE_LINK_OUT, /* simulated network delay of the response */
	STAGE_RESPONSE, /* resumed; libmicrohttpd sends the response */
	STAGE_BODY,	/* pause between two pieces of a slow response body */
} stage_t;

/* A copy; protected by the lock. */
typedef struct copy {
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	const char *zone;
	struct MHD_Daemon *daemon;
	struct cds_list_head waiting; /* requests that wait for a slot */
	struct cds_list_head counted; /* requests that are outstanding */
	unsigned running, outstanding, outstanding_max;
	unsigned witness; /* bytes of the witness text that the copy echoes */
	unsigned connections, connections_max;
	uint64_t requests, runs, probes, announced, accepted, control_bytes;
	uint64_t announce_failed;
	long announce_status; /* HTTP status of the last failed announcement */
	uint64_t random;      /* generator for requests without an id */
	double slowdown;      /* factor on the service time */
	shed_t shed;
	bool fail_fast;	      /* respond with 500 immediately */
	bool frozen;	      /* send no announcements */
	bool draining, empty; /* empty: its owner reports it as drained */
	usec_t started;	      /* start of the cold (slow) period */
	int64_t sequence, epoch;
	char owner[HL_NAME_MAX];
	unsigned samples[LOAD_SAMPLES]; /* ring of past loads, thousandths */
} copy_t;

/* A request at a copy, from its headers to the end of the response. */
typedef struct request {
	struct cds_list_head timer_link, waiting_link, counted_link;
	copy_t *copy;
	struct MHD_Connection *connection;
	int fd;
	stage_t stage;
	usec_t due, arrived, left, service_usec;
	bool counted; /* counts as outstanding until @left is set */
	bool ran, timer_active, cancelled, probe, body_paused;
	unsigned load;	      /* load reported in the response to a probe */
	unsigned outstanding; /* requests at the copy at the arrival */
	unsigned status;
	unsigned reused;    /* requests on the connection, with this request */
	const char *result; /* result to record when the request ends */
	char id[HL_NAME_MAX * 2], key[HL_NAME_MAX * 4];
	char method[16], path[128];
	int64_t deadline_ms;
	uint64_t body_size, body_hash;
	/* The body of the response. */
	uint64_t size, cut_after;
	unsigned slow_ms;    /* pause before each piece but the first */
	unsigned piece_size; /* bytes of a piece */
} request_t;

/* Sends the announcements of a copy to its owner, or to one fixed entry. */
typedef struct announcer {
	struct cds_list_head link;
	copy_t *copy;
	int fixed_entry;     /* index of the only entry to announce to, or -1 */
	unsigned next_entry; /* index of the entry to use without an owner */
	CURL *easy;
	struct curl_slist *headers;
	bool busy;
	usec_t due;
	char entry_address[HL_ADDRESS_MAX], owner[HL_NAME_MAX];
	int64_t epoch;
	char witness[WITNESS_TEXT_MAX];
	char response[1024];
	size_t response_size;
} announcer_t;

static gchar *opt_service = "bay-desk", *opt_address = "127.0.0.1:9000";
static gchar *opt_zone = "zone-a", *opt_entries, *opt_control, *opt_log;
static gchar *opt_distribution = "fixed", *opt_shed = "off";
static gchar *opt_load = "honest";
static gint opt_copies = 1, opt_slots = 2, opt_connections = 240;
static gint opt_interval_ms, opt_service_us = 1000, opt_link_us;
static gint opt_cold_ms, opt_seed = 1, opt_first;
static gdouble opt_cold_factor = 4;
static gboolean opt_announce_all;

static copy_t copies[COPIES_MAX];
static char **zones, **entries;
static unsigned entry_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static CDS_LIST_HEAD(timers);
static CDS_LIST_HEAD(announcers);
static int epoll_fd, wake_fd;
static FILE *record_file;

static void wake_timer_thread(void)
{
	uint64_t one = 1;

	if (write(wake_fd, &one, sizeof(one)) < 0)
		return;
}

/*
 * Inserts a request into the list of timers, which is ordered by due time. The
 * search starts at the end because most new timers belong near it.
 */
static void timer_set(request_t *req, usec_t due)
{
	struct cds_list_head *at = timers.prev;

	req->due = due;
	req->timer_active = true;
	while (at != &timers &&
	       cds_list_entry(at, request_t, timer_link)->due > due)
		at = at->prev;
	cds_list_add(&req->timer_link, at);
	if (timers.next == &req->timer_link)
		wake_timer_thread();
}

static void timer_clear(request_t *req)
{
	if (req->timer_active)
		cds_list_del(&req->timer_link);
	req->timer_active = false;
}

/*
 * Draws the service time of a request. It is derived from the request id and is
 * the same at every copy, so that policies can be compared on the same work.
 */
static usec_t draw_service_time(copy_t *copy, const request_t *req, usec_t now)
{
	double time;

	if (!req->id[0])
		copy->random = hl_hash(&copy->random, sizeof(copy->random),
				       (uint64_t)opt_seed);
	time = service_time_quantile(opt_distribution, opt_service_us,
				     req->id[0] ? service_time_bits(req->id,
								    opt_seed) :
						  copy->random);
	if (now < copy->started + opt_cold_ms * USEC_PER_MS)
		time *= opt_cold_factor;
	return (usec_t)(time * copy->slowdown);
}

/* Returns the query argument @name or the header Standin-@name, or NULL. */
static const char *request_param(request_t *req, const char *name)
{
	char header[64];
	const char *value = MHD_lookup_connection_value(req->connection,
							MHD_GET_ARGUMENT_KIND,
							name);

	if (value)
		return value;
	snprintf(header, sizeof(header), "Standin-%s", name);
	return MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND,
					   header);
}

static int64_t request_param_number(request_t *req, const char *name,
				    int64_t fallback)
{
	const char *value = request_param(req, name);

	return value ? g_ascii_strtoll(value, NULL, 10) : fallback;
}

static void record_line(const request_t *req, const char *event, usec_t now)
{
	if (!record_file)
		return;
	fprintf(record_file,
		"%s at=%" PRId64 " arrived=%" PRId64 " left=%" PRId64
		" copy=%s method=%s "
		"path=%s id=%s key=%s outstanding=%u ran=%d reused=%u "
		"deadline_ms=%" PRId64 " body=%" PRIu64 " result=%s\n",
		event, now, req->arrived, req->left, req->copy->name,
		req->method, req->path, req->id[0] ? req->id : "-",
		req->key[0] ? req->key : "-", req->outstanding, req->ran,
		req->reused, req->deadline_ms, req->body_size,
		req->result ? req->result : "-");
	fflush(record_file);
}

static void request_run(request_t *req, usec_t now)
{
	req->stage = STAGE_RUNNING;
	req->ran = true;
	req->copy->running++;
	req->copy->runs++;
	record_line(req, "run", now);
	timer_set(req, now + req->service_usec);
}

static void release_slot(request_t *req, usec_t now)
{
	copy_t *copy = req->copy;
	request_t *next;

	copy->running--;
	if (cds_list_empty(&copy->waiting))
		return;
	next = cds_list_first_entry(&copy->waiting, request_t, waiting_link);
	cds_list_del(&next->waiting_link);
	request_run(next, now);
}

/*
 * Lets libmicrohttpd send the response. Only the timer thread calls this, so
 * that an epoll event never refers to a request that has been freed.
 */
static void request_resume(request_t *req)
{
	req->stage = STAGE_RESPONSE;
	epoll_ctl(epoll_fd, EPOLL_CTL_DEL, req->fd, NULL);
	MHD_resume_connection(req->connection);
}

/*
 * Ends the time in which a request counts as outstanding at its copy; the
 * response may still be in the simulated network delay.
 */
static void count_departure(request_t *req, usec_t now)
{
	if (req->counted && !req->left) {
		req->left = now;
		req->copy->outstanding--;
		cds_list_del(&req->counted_link);
	}
}

/* Sends the response after the simulated network delay. */
static void request_finish(request_t *req, usec_t now)
{
	count_departure(req, now);
	if (opt_link_us) {
		req->stage = STAGE_LINK_OUT;
		timer_set(req, now + opt_link_us);
	} else {
		request_resume(req);
	}
}

static void request_set_result(request_t *req, unsigned status,
			       const char *result)
{
	req->status = status;
	req->result = result;
}

/*
 * Returns the load that a copy reports, in thousandths of its slots: the
 * current load, a past load (--load lag:MS) or a constant (--load
 * lie:THOUSANDTHS).
 */
static unsigned reported_load(const copy_t *copy, usec_t now)
{
	usec_t lag;

	if (g_str_has_prefix(opt_load, "lie:"))
		return (unsigned)atoi(opt_load + strlen("lie:"));
	if (!g_str_has_prefix(opt_load, "lag:"))
		return 1000 * copy->running / (unsigned)opt_slots;
	lag = atoi(opt_load + strlen("lag:")) * USEC_PER_MS;
	return copy->samples[(now - lag) / LOAD_SAMPLE_USEC % LOAD_SAMPLES];
}

/*
 * Handles a request after the simulated network delay: answers a probe of the
 * load, and runs, queues or rejects any other request.
 */
static void request_admit(request_t *req, usec_t now)
{
	copy_t *copy = req->copy;

	if (req->probe) {
		copy->probes++;
		req->load = reported_load(copy, now);
		req->outstanding = copy->outstanding;
		request_finish(req, now);
	} else if (copy->fail_fast) {
		req->ran = true;
		request_set_result(req, 500, "failed");
		record_line(req, "run", now);
		request_finish(req, now);
	} else if (copy->running < (unsigned)opt_slots) {
		request_run(req, now);
	} else if (copy->shed != SHED_OFF) {
		request_set_result(req, copy->shed == SHED_429 ? 429 : 503,
				   "shed");
		request_finish(req, now);
	} else {
		req->stage = STAGE_WAITING;
		cds_list_add_tail(&req->waiting_link, &copy->waiting);
	}
}

/* Cancels a suspended request whose client has closed the connection. */
static void request_cancel(request_t *req, usec_t now)
{
	stage_t stage = req->stage;

	if (stage == STAGE_NEW || stage == STAGE_RESPONSE)
		return;
	timer_clear(req);
	if (stage == STAGE_WAITING)
		cds_list_del(&req->waiting_link);
	count_departure(req, now);
	req->cancelled = true;
	req->result = "cancelled";
	request_resume(req);
	if (stage == STAGE_RUNNING)
		release_slot(req, now);
}

static void timer_fire(request_t *req, usec_t now)
{
	timer_clear(req);
	switch (req->stage) {
	case STAGE_LINK_IN:
		request_admit(req, now);
		break;
	case STAGE_RUNNING:
		request_finish(req, now);
		release_slot(req, now);
		break;
	default:
		request_resume(req);
	}
}

/* Returns the time until the next timer is due, at most 1 s. */
static struct timespec timer_wait(usec_t now)
{
	usec_t left = USEC_PER_SEC;

	if (!cds_list_empty(&timers))
		left = cds_list_first_entry(&timers, request_t, timer_link)
			       ->due -
		       now;
	left = CLAMP(left, 0, USEC_PER_SEC);
	return (struct timespec){ left / USEC_PER_SEC,
				  left % USEC_PER_SEC * 1000 };
}

/* Thread that fires the timers and detects closed connections. */
static void *timer_main(void *arg G_GNUC_UNUSED)
{
	struct epoll_event events[EVENTS_MAX];
	struct timespec wait;
	request_t *req;
	uint64_t ignored;
	int i, n;

	for (;;) {
		pthread_mutex_lock(&lock);
		wait = timer_wait(time_now());
		pthread_mutex_unlock(&lock);
		n = epoll_pwait2(epoll_fd, events, EVENTS_MAX, &wait, NULL);
		pthread_mutex_lock(&lock);
		for (i = 0; i < n; i++) {
			if (events[i].data.ptr)
				request_cancel(events[i].data.ptr, time_now());
			else if (read(wake_fd, &ignored, sizeof(ignored)) < 0)
				continue;
		}
		while (!cds_list_empty(&timers)) {
			usec_t now = time_now();

			req = cds_list_first_entry(&timers, request_t,
						   timer_link);
			if (req->due > now)
				break;
			timer_fire(req, now);
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

/* Whether the caller of a request has closed its connection. */
static bool request_is_closed(const request_t *req)
{
	struct pollfd closed = { req->fd, POLLRDHUP, 0 };

	return poll(&closed, 1, 0) > 0;
}

/*
 * Ends the time of requests whose callers have closed their connections. The
 * thread that handles these closes may run after the one that receives the next
 * request, although the closes came first.
 */
static void count_closed(copy_t *copy, usec_t now)
{
	request_t *req = NULL;
	request_t *next = NULL;

	cds_list_for_each_entry_safe (req, next, &copy->counted, counted_link)
		if (request_is_closed(req))
			count_departure(req, now);
}

/* Records a new maximum of outstanding requests, and which they are. */
static void record_maximum(copy_t *copy, usec_t now)
{
	const request_t *req = NULL;

	copy->outstanding_max = copy->outstanding;
	cds_list_for_each_entry (req, &copy->counted, counted_link)
		record_line(req, "max", now);
}

static void count_arrival(request_t *req, usec_t now)
{
	copy_t *copy = req->copy;

	count_closed(copy, now);
	req->counted = true;
	cds_list_add_tail(&req->counted_link, &copy->counted);
	req->outstanding = ++copy->outstanding;
	copy->requests++;
	if (copy->outstanding > copy->outstanding_max)
		record_maximum(copy, now);
}

/* Suspends a request that has been read and starts its network delay. */
static void request_arrive(request_t *req)
{
	copy_t *copy = req->copy;
	usec_t now = time_now();
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLONESHOT };
	int64_t delay = request_param_number(req, "delay-ms", -1);

	event.data.ptr = req;
	pthread_mutex_lock(&lock);
	req->service_usec = delay >= 0 ? delay * USEC_PER_MS :
					 draw_service_time(copy, req, now);
	req->arrived = now;
	if (!req->probe)
		count_arrival(req, now);
	MHD_suspend_connection(req->connection);
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, req->fd, &event);
	req->stage = STAGE_LINK_IN;
	/* The timer thread handles the request, even if the delay is 0. */
	timer_set(req, now + opt_link_us);
	pthread_mutex_unlock(&lock);
}

/*
 * Fills @buf with the part of the body that begins at @pos: writes one period
 * of the repeated text, then doubles the filled part until @buf is full.
 */
static void body_fill(const request_t *req, char *buf, size_t size,
		      uint64_t pos)
{
	const char *text = req->id[0] ? req->id : "abcdefghijklmnopqrstuvwxyz";
	size_t length = strlen(text), done, n;

	for (done = 0; done < MIN(length, size); done++)
		buf[done] = text[(pos + done) % length];
	for (; done < size; done += n) {
		n = MIN(done, size - done);
		memcpy(buf + done, buf, n);
	}
}

/*
 * Suspends the connection between two pieces of a slow body. Returns false on
 * the call that follows the pause.
 */
static bool body_pause(request_t *req)
{
	req->body_paused = !req->body_paused;
	if (!req->body_paused)
		return false;
	pthread_mutex_lock(&lock);
	MHD_suspend_connection(req->connection);
	req->stage = STAGE_BODY;
	timer_set(req, time_now() + req->slow_ms * USEC_PER_MS);
	pthread_mutex_unlock(&lock);
	return true;
}

/* Reads from the body of a response, which is the request id repeated. */
static ssize_t body_read(void *context, uint64_t pos, char *buf, size_t max)
{
	request_t *req = context;
	uint64_t end = MIN(req->size, req->cut_after), left;

	if (pos >= end && req->cut_after < req->size) {
		req->result = "cut";
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (pos >= end)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (req->slow_ms && pos && body_pause(req))
		return 0;
	left = MIN(MIN(end - pos, max), req->piece_size);
	body_fill(req, buf, left, pos);
	return (ssize_t)left;
}

static enum MHD_Result echo_header(void *context,
				   enum MHD_ValueKind kind G_GNUC_UNUSED,
				   const char *key, const char *value)
{
	json_object_set_new(context, key, json_string(value ? value : ""));
	return MHD_YES;
}

/* Describes the request as JSON: method, path, body and headers. */
static struct MHD_Response *echo_response(request_t *req)
{
	json_t *root = json_object(), *headers = json_object();
	char hash[32], *text;

	snprintf(hash, sizeof(hash), "%016" PRIx64, req->body_hash);
	MHD_get_connection_values(req->connection, MHD_HEADER_KIND, echo_header,
				  headers);
	json_object_set_new(root, "method", json_string(req->method));
	json_object_set_new(root, "path", json_string(req->path));
	json_object_set_new(root, "body_size",
			    json_integer((json_int_t)req->body_size));
	json_object_set_new(root, "body_hash", json_string(hash));
	json_object_set_new(root, "headers", headers);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return MHD_create_response_from_buffer(strlen(text), text,
					       MHD_RESPMEM_MUST_FREE);
}

/* The parameter "header" holds "Name: value" pairs separated by "|". */
static void add_response_headers(request_t *req, struct MHD_Response *response)
{
	const char *text = request_param(req, "header");
	char **lines = g_strsplit(text ? text : "", "|", -1), *colon;
	unsigned i;

	for (i = 0; lines[i]; i++) {
		colon = strchr(lines[i], ':');
		if (!colon)
			continue;
		*colon = '\0';
		MHD_add_response_header(response, lines[i],
					g_strstrip(colon + 1));
	}
	g_strfreev(lines);
	MHD_add_response_header(response, "Standin-Copy", req->copy->name);
	if (req->id[0])
		MHD_add_response_header(response, "Request-Id", req->id);
	/*
	 * libmicrohttpd sends a last chunk after a chunked response to HEAD,
	 * which has no body. On a connection that stays open, it would be read
	 * as the start of the next response.
	 */
	if (!strcmp(req->method, "HEAD") && request_param(req, "chunked"))
		MHD_add_response_header(response, "Connection", "close");
	if (req->result && !strcmp(req->result, "shed") &&
	    req->copy->shed == SHED_503_AFTER)
		MHD_add_response_header(response, "Retry-After", "1");
}

static void send_raw(request_t *req, const char *text)
{
	if (send(req->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		return;
}

static enum MHD_Result respond(request_t *req)
{
	struct MHD_Response *response;
	enum MHD_Result queued;

	if (request_param(req, "close") ||
	    (request_param(req, "close-reused") && req->reused > 1)) {
		req->result = "closed";
		return MHD_NO;
	}
	if (request_param(req, "die"))
		_exit(1);
	if (request_param(req, "cut-head")) {
		req->result = "cut";
		send_raw(req, "HTTP/1.1 200 OK\r\nContent-Len");
		return MHD_NO;
	}
	if (request_param(req, "early"))
		send_raw(req, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
	req->size = (uint64_t)request_param_number(req, "size", 0);
	req->cut_after = (uint64_t)request_param_number(req, "cut-after",
							INT64_MAX);
	req->slow_ms = (unsigned)request_param_number(req, "slow-ms", 0);
	req->piece_size = (unsigned)request_param_number(req, "piece",
							 BODY_PIECE_BYTES_MAX);
	if (request_param(req, "echo"))
		response = echo_response(req);
	else
		response = MHD_create_response_from_callback(
			request_param(req, "chunked") ? MHD_SIZE_UNKNOWN :
							req->size,
			BODY_PIECE_BYTES_MAX, body_read, req, NULL);
	add_response_headers(req, response);
	if (!req->status)
		req->status = (unsigned)request_param_number(req, "status",
							     200);
	queued = MHD_queue_response(req->connection, req->status, response);
	MHD_destroy_response(response);
	return queued;
}

static enum MHD_Result respond_text(struct MHD_Connection *connection,
				    char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result queued = MHD_queue_response(connection, 200, response);

	MHD_destroy_response(response);
	return queued;
}

/* Responds to a probe with the load that the copy reports. */
static enum MHD_Result respond_load(request_t *req)
{
	char *text;

	if (asprintf(&text,
		     "{\"load\": %u, \"outstanding\": %u, \"slots\": %d}\n",
		     req->load, req->outstanding, opt_slots) < 0)
		return MHD_NO;
	return respond_text(req->connection, text);
}

static request_t *request_new(copy_t *copy, struct MHD_Connection *connection,
			      const char *method, const char *path)
{
	request_t *req = g_new0(request_t, 1);
	const char *value;

	req->copy = copy;
	req->connection = connection;
	req->body_hash = 0xcbf29ce484222325ULL;
	g_strlcpy(req->method, method, sizeof(req->method));
	g_strlcpy(req->path, path, sizeof(req->path));
	req->probe = !strcmp(path, PROBE_PATH);
	value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					    "Request-Id");
	g_strlcpy(req->id, value ? value : "", sizeof(req->id));
	value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					    "Idempotency-Key");
	g_strlcpy(req->key, value ? value : "", sizeof(req->key));
	value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					    "Hemlock-Deadline-Ms");
	req->deadline_ms = value ? g_ascii_strtoll(value, NULL, 10) : -1;
	req->fd = MHD_get_connection_info(connection,
					  MHD_CONNECTION_INFO_CONNECTION_FD)
			  ->connect_fd;
	req->reused = ++*(unsigned *)MHD_get_connection_info(
				 connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				 ->socket_context;
	return req;
}

/* Adds bytes to the FNV-1a hash, which a caller too can compute piecewise. */
static void hash_body(request_t *req, const char *data, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		req->body_hash = (req->body_hash ^ (unsigned char)data[i]) *
				 0x100000001b3ULL;
	req->body_size += size;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version G_GNUC_UNUSED,
				  const char *upload_data, size_t *upload_size,
				  void **context)
{
	request_t *req = *context;

	if (!req) {
		*context = request_new(cls, connection, method, url);
		return MHD_YES;
	}
	if (*upload_size) {
		hash_body(req, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (req->stage == STAGE_NEW) {
		request_arrive(req);
		return MHD_YES;
	}
	if (req->cancelled)
		return MHD_NO;
	return req->probe ? respond_load(req) : respond(req);
}

static void on_completed(void *cls G_GNUC_UNUSED,
			 struct MHD_Connection *connection G_GNUC_UNUSED,
			 void **context, enum MHD_RequestTerminationCode code)
{
	request_t *req = *context;

	if (!req)
		return;
	if (!req->result)
		req->result = code == MHD_REQUEST_TERMINATED_COMPLETED_OK ?
				      "done" :
				      "cut";
	if (req->counted) {
		pthread_mutex_lock(&lock);
		count_departure(req, time_now());
		record_line(req, "end", time_now());
		pthread_mutex_unlock(&lock);
	}
	g_free(req);
	*context = NULL;
}

static void on_connection(void *cls,
			  struct MHD_Connection *connection G_GNUC_UNUSED,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	copy_t *copy = cls;

	pthread_mutex_lock(&lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*context = g_new0(unsigned, 1);
		copy->connections++;
		copy->accepted++;
		copy->connections_max = MAX(copy->connections_max,
					    copy->connections);
	} else {
		g_free(*context);
		copy->connections--;
	}
	pthread_mutex_unlock(&lock);
}

/* Returns the JSON text of an announcement. */
static char *announcement_text(announcer_t *ann, usec_t now)
{
	copy_t *copy = ann->copy;
	bool cold = now < copy->started + opt_cold_ms * USEC_PER_MS;
	json_t *root =
		json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:s, s:i}",
			  "service", opt_service, "copy", copy->name, "zone",
			  copy->zone, "address", copy->address, "slots",
			  opt_slots, "connections", opt_connections, "sequence",
			  (json_int_t)++copy->sequence, "state",
			  copy->draining ? "draining" :
			  cold		 ? "cold" :
					   "ready",
			  "load", (int)reported_load(copy, now));
	char *text;

	if (ann->owner[0]) {
		json_object_set_new(root, "owner", json_string(ann->owner));
		json_object_set_new(root, "epoch", json_integer(ann->epoch));
		if (ann->witness[0])
			json_object_set_new(root, "witness",
					    json_string(ann->witness));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static size_t announce_write(char *data, size_t size, size_t count, void *cls)
{
	announcer_t *ann = cls;
	size_t space = sizeof(ann->response) - 1 - ann->response_size;
	size_t copied = MIN(size * count, space);

	memcpy(ann->response + ann->response_size, data, copied);
	ann->response_size += copied;
	ann->response[ann->response_size] = '\0';
	return size * count;
}

static void announce_start(CURLM *multi, announcer_t *ann, usec_t now)
{
	char url[HL_ADDRESS_MAX + 32], *text = announcement_text(ann, now);

	if (ann->fixed_entry >= 0)
		g_strlcpy(ann->entry_address, entries[ann->fixed_entry],
			  sizeof(ann->entry_address));
	else if (!ann->entry_address[0])
		g_strlcpy(ann->entry_address,
			  entries[ann->next_entry++ % entry_count],
			  sizeof(ann->entry_address));
	snprintf(url, sizeof(url), "http://%s/v1/announce", ann->entry_address);
	ann->response_size = 0;
	ann->busy = true;
	ann->copy->announced++;
	curl_easy_setopt(ann->easy, CURLOPT_URL, url);
	curl_easy_setopt(ann->easy, CURLOPT_COPYPOSTFIELDS, text);
	curl_multi_add_handle(multi, ann->easy);
	free(text);
}

/*
 * Returns the number of bytes that a transfer sent and received, without TCP
 * headers. CURLINFO_REQUEST_SIZE includes a small request body.
 */
static uint64_t transfer_bytes(CURL *easy)
{
	curl_off_t down = 0;
	long request = 0, head = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head);
	curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
	return (uint64_t)(request + head + down);
}

/*
 * Stores the owner from the response to an announcement. After a failure the
 * next announcement goes to the next entry.
 */
static void announce_complete(announcer_t *ann, CURLcode code, usec_t now)
{
	long status = 0;
	json_t *root = NULL;
	const char *owner = NULL, *address = NULL, *witness = "";
	int interval = opt_interval_ms, empty = 0;
	json_int_t epoch = 0;

	curl_easy_getinfo(ann->easy, CURLINFO_RESPONSE_CODE, &status);
	ann->copy->control_bytes += transfer_bytes(ann->easy);
	if (code == CURLE_OK && status == 200)
		root = json_loads(ann->response, 0, NULL);
	ann->busy = false;
	if (!root || json_unpack(root, "{s?s, s?s, s?I, s?i, s?b, s?s}",
				 "owner", &owner, "owner_address", &address,
				 "epoch", &epoch, "interval_ms", &interval,
				 "empty", &empty, "witness", &witness)) {
		ann->entry_address[0] = '\0';
		ann->copy->announce_failed++;
		ann->copy->announce_status = status;
		ann->due = now + ANNOUNCE_RETRY_USEC;
	} else {
		g_strlcpy(ann->owner, owner ? owner : "", sizeof(ann->owner));
		g_strlcpy(ann->entry_address, address ? address : "",
			  sizeof(ann->entry_address));
		ann->epoch = epoch;
		g_strlcpy(ann->witness, witness, sizeof(ann->witness));
		ann->copy->epoch = epoch;
		ann->copy->witness = (unsigned)strlen(ann->witness);
		g_strlcpy(ann->copy->owner, ann->owner, HL_NAME_MAX);
		ann->copy->empty = ann->copy->draining && empty;
		if (opt_interval_ms)
			interval = opt_interval_ms;
		ann->due = now + MAX(interval, 1) * USEC_PER_MS;
	}
	json_decref(root);
}

static void announce_add(copy_t *copy, int fixed_entry, unsigned first_entry)
{
	announcer_t *ann = g_new0(announcer_t, 1);

	ann->copy = copy;
	ann->fixed_entry = fixed_entry;
	ann->next_entry = first_entry;
	ann->easy = curl_easy_init();
	ann->headers = curl_slist_append(NULL,
					 "Content-Type: application/json");
	curl_easy_setopt(ann->easy, CURLOPT_HTTPHEADER, ann->headers);
	curl_easy_setopt(ann->easy, CURLOPT_WRITEFUNCTION, announce_write);
	curl_easy_setopt(ann->easy, CURLOPT_WRITEDATA, ann);
	curl_easy_setopt(ann->easy, CURLOPT_PRIVATE, ann);
	curl_easy_setopt(ann->easy, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
	curl_easy_setopt(ann->easy, CURLOPT_NOSIGNAL, 1L);
	cds_list_add_tail(&ann->link, &announcers);
}

static void sample_loads(usec_t now)
{
	int i;

	for (i = 0; i < opt_copies; i++)
		copies[i].samples[now / LOAD_SAMPLE_USEC % LOAD_SAMPLES] =
			1000 * copies[i].running / (unsigned)opt_slots;
}

static void announce_collect(CURLM *multi)
{
	announcer_t *ann = NULL;
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(multi, &left))) {
		CURLcode code = message->data.result;

		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ann);
		curl_multi_remove_handle(multi, ann->easy);
		announce_complete(ann, code, time_now());
	}
}

/* Thread that sends the announcements and samples the loads. */
static void *announce_main(void *arg G_GNUC_UNUSED)
{
	CURLM *multi = curl_multi_init();
	announcer_t *ann = NULL;
	int running;

	for (;;) {
		usec_t now = time_now();

		pthread_mutex_lock(&lock);
		sample_loads(now);
		cds_list_for_each_entry (ann, &announcers, link) {
			if (!ann->busy && !ann->copy->frozen && ann->due <= now)
				announce_start(multi, ann, now);
		}
		curl_multi_perform(multi, &running);
		announce_collect(multi);
		pthread_mutex_unlock(&lock);
		curl_multi_poll(multi, NULL, 0, LOAD_SAMPLE_USEC / USEC_PER_MS,
				NULL);
	}
	return NULL;
}

static char *status_text(void)
{
	GString *text = g_string_new("");
	char *out;
	int i;

	for (i = 0; i < opt_copies; i++) {
		copy_t *copy = &copies[i];

		g_string_append_printf(
			text,
			"copy=%s address=%s owner=%s epoch=%" PRId64
			" witness=%u outstanding=%u outstanding_max=%u requests=%" PRIu64
			" runs=%" PRIu64 " probes=%" PRIu64
			" announced=%" PRIu64 " announce_failed=%" PRIu64
			" announce_status=%ld control_bytes=%" PRIu64
			" connections=%u"
			" connections_max=%u accepted=%" PRIu64 " empty=%d\n",
			copy->name, copy->address,
			copy->owner[0] ? copy->owner : "-", copy->epoch,
			copy->witness, copy->outstanding, copy->outstanding_max,
			copy->requests, copy->runs, copy->probes,
			copy->announced, copy->announce_failed,
			copy->announce_status, copy->control_bytes,
			copy->connections, copy->connections_max,
			copy->accepted, copy->empty);
	}
	out = strdup(text->str);
	g_string_free(text, TRUE);
	return out;
}

static shed_t shed_parse(const char *word)
{
	if (!strcmp(word, "429"))
		return SHED_429;
	if (!strcmp(word, "503"))
		return SHED_503;
	return strcmp(word, "503-after") ? SHED_OFF : SHED_503_AFTER;
}

static void control_copy(copy_t *copy, const char *command, const char *value)
{
	announcer_t *ann = NULL;

	if (!strcmp(command, "/straggle"))
		copy->slowdown = g_ascii_strtod(value, NULL);
	else if (!strcmp(command, "/shed"))
		copy->shed = shed_parse(value);
	else if (!strcmp(command, "/fail"))
		copy->fail_fast = atoi(value);
	else if (!strcmp(command, "/freeze"))
		copy->frozen = atoi(value);
	else if (!strcmp(command, "/cold"))
		copy->started = time_now();
	else if (!strcmp(command, "/reset"))
		copy->outstanding_max = copy->outstanding;
	else if (!strcmp(command, "/drain"))
		copy->draining = atoi(value);
	if (strcmp(command, "/drain") != 0)
		return;
	cds_list_for_each_entry (ann, &announcers, link) {
		if (ann->copy == copy)
			ann->due = 0;
	}
}

/*
 * Handles GET /COMMAND?copy=INDEX&value=VALUE on the control port; without
 * copy=, the command applies to all copies. The response is the status of all
 * copies, one line each.
 *
 *	/status		no change
 *	/straggle	set the factor on the service time
 *	/shed		set the response when all slots are busy, as --shed
 *	/fail		1: respond with 500 immediately
 *	/freeze		1: send no announcements
 *	/cold		start the cold period again
 *	/reset		set outstanding_max to the current number
 *	/drain		1: announce the state "draining" immediately
 */
static enum MHD_Result on_control(void *cls G_GNUC_UNUSED,
				  struct MHD_Connection *connection,
				  const char *url,
				  const char *method G_GNUC_UNUSED,
				  const char *version G_GNUC_UNUSED,
				  const char *upload_data G_GNUC_UNUSED,
				  size_t *upload_size, void **context)
{
	const char *which = MHD_lookup_connection_value(connection,
							MHD_GET_ARGUMENT_KIND,
							"copy");
	const char *value = MHD_lookup_connection_value(connection,
							MHD_GET_ARGUMENT_KIND,
							"value");
	char *text;
	int i;

	if (!*context || *upload_size) {
		*context = copies;
		*upload_size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&lock);
	for (i = 0; i < opt_copies; i++) {
		if (!which || atoi(which) == i)
			control_copy(&copies[i], url, value ? value : "1");
	}
	text = status_text();
	pthread_mutex_unlock(&lock);
	return respond_text(connection, text);
}

static void copy_init(copy_t *copy, int index, const char *ip, int port)
{
	unsigned zone = (unsigned)index % g_strv_length(zones);

	snprintf(copy->name, sizeof(copy->name), "%s-%d", opt_service,
		 opt_first + index);
	snprintf(copy->address, sizeof(copy->address), "%s:%d", ip,
		 port + index);
	copy->zone = zones[zone];
	copy->slowdown = 1;
	copy->shed = shed_parse(opt_shed);
	copy->started = time_now();
	copy->sequence = g_get_real_time() / USEC_PER_MS;
	copy->random = (uint64_t)index + 1;
	CDS_INIT_LIST_HEAD(&copy->waiting);
	CDS_INIT_LIST_HEAD(&copy->counted);
}

static struct MHD_Daemon *listen_on(const char *address,
				    MHD_AccessHandlerCallback handler,
				    void *cls)
{
	struct sockaddr_storage storage;
	unsigned length;

	if (hl_address_parse(address, &storage, &length))
		return NULL;
	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, handler, cls, MHD_OPTION_SOCK_ADDR, &storage,
		MHD_OPTION_NOTIFY_COMPLETED,
		handler == on_request ? on_completed : NULL, cls,
		MHD_OPTION_NOTIFY_CONNECTION,
		handler == on_request ? on_connection : NULL, cls,
		MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_SECONDS,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_END);
}

static int copies_start(void)
{
	char *ip = g_strdup(opt_address), *colon = strrchr(ip, ':');
	int i, port = colon ? atoi(colon + 1) : 0;
	unsigned entry;

	if (colon)
		*colon = '\0';
	for (i = 0; i < opt_copies; i++) {
		copy_init(&copies[i], i, ip, port);
		copies[i].daemon = listen_on(copies[i].address, on_request,
					     &copies[i]);
		if (!copies[i].daemon) {
			fprintf(stderr, "cannot listen on %s\n",
				copies[i].address);
			break;
		}
		if (!opt_announce_all && entry_count)
			announce_add(&copies[i], -1, (unsigned)i);
		for (entry = 0; opt_announce_all && entry < entry_count;
		     entry++)
			announce_add(&copies[i], (int)entry, 0);
	}
	g_free(ip);
	return i == opt_copies ? 0 : -1;
}

static const GOptionEntry options[] = {
	{ "service", 0, 0, G_OPTION_ARG_STRING, &opt_service, "service name",
	  "NAME" },
	{ "copies", 0, 0, G_OPTION_ARG_INT, &opt_copies, "number of copies",
	  "N" },
	{ "first", 0, 0, G_OPTION_ARG_INT, &opt_first,
	  "number in the name of the first copy", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots,
	  "requests that a copy runs in parallel", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt_connections,
	  "announced connection limit of a copy", "N" },
	{ "zone", 0, 0, G_OPTION_ARG_STRING, &opt_zone,
	  "zones, assigned to the copies in turn", "NAME,..." },
	{ "address", 0, 0, G_OPTION_ARG_STRING, &opt_address,
	  "address of the first copy; the next copies use the next ports",
	  "IP:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt_control,
	  "address of the control port", "IP:PORT" },
	{ "entries", 0, 0, G_OPTION_ARG_STRING, &opt_entries,
	  "control addresses of the entries to announce to", "IP:PORT,..." },
	{ "announce-all", 0, 0, G_OPTION_ARG_NONE, &opt_announce_all,
	  "announce to every entry", NULL },
	{ "interval", 0, 0, G_OPTION_ARG_INT, &opt_interval_ms,
	  "announcement interval; 0: as the entry requests", "MS" },
	{ "time", 0, 0, G_OPTION_ARG_INT, &opt_service_us, "mean service time",
	  "USEC" },
	{ "distribution", 0, 0, G_OPTION_ARG_STRING, &opt_distribution,
	  "fixed, exponential or lognormal", "WORD" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed,
	  "seed of the service times", "N" },
	{ "link", 0, 0, G_OPTION_ARG_INT, &opt_link_us,
	  "network delay in each direction", "USEC" },
	{ "shed", 0, 0, G_OPTION_ARG_STRING, &opt_shed,
	  "response when all slots are busy: off, 429, 503 or 503-after",
	  "WORD" },
	{ "cold", 0, 0, G_OPTION_ARG_INT, &opt_cold_ms,
	  "duration of the cold start", "MS" },
	{ "cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &opt_cold_factor,
	  "factor on the service time during the cold start", "F" },
	{ "load", 0, 0, G_OPTION_ARG_STRING, &opt_load,
	  "announced load: honest, lag:MS or lie:THOUSANDTHS", "WORD" },
	{ "log", 0, 0, G_OPTION_ARG_STRING, &opt_log,
	  "file to which requests are recorded", "FILE" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static int options_read(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	GError *error = NULL;
	int rc = 0;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    opt_copies < 1 || opt_copies > COPIES_MAX || opt_slots < 1) {
		fprintf(stderr, "%s\n",
			error ? error->message :
				"--copies or --slots is out of range");
		g_clear_error(&error);
		rc = -1;
	}
	g_option_context_free(context);
	zones = g_strsplit(opt_zone, ",", -1);
	entries = g_strsplit(opt_entries ? opt_entries : "", ",", ENTRIES_MAX);
	entry_count = g_strv_length(entries);
	return rc;
}

int main(int argc, char **argv)
{
	struct epoll_event event = { .events = EPOLLIN };
	pthread_t timer_thread, announce_thread;
	sigset_t set;
	int signal_number;

	if (options_read(argc, argv))
		return 2;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (opt_log && !(record_file = fopen(opt_log, "a"))) {
		perror(opt_log);
		return 1;
	}
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, wake_fd, &event);
	if (copies_start())
		return 1;
	if (opt_control && !listen_on(opt_control, on_control, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", opt_control);
		return 1;
	}
	pthread_create(&timer_thread, NULL, timer_main, NULL);
	pthread_create(&announce_thread, NULL, announce_main, NULL);
	puts("ready");
	fflush(stdout);
	sigwait(&set, &signal_number);
	fflush(NULL);
	_exit(0);
}
