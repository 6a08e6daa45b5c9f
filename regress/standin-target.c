/*
 * A stand-in for licensed copies. One process hosts many copies, each on a
 * port of its own. A copy runs `slots` requests at once and lets the rest
 * wait, announces itself, records every request and misbehaves on demand.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
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
#define BODY_PIECE_MAX 65536
#define EVENTS_MAX 64
#define ANNOUNCE_TIMEOUT_MS 500L
#define ANNOUNCE_RETRY_USEC (50 * USEC_PER_MS)
#define PROBE_PATH "/standin/load"
#define LOAD_SAMPLES 1024
#define LOAD_SAMPLE_USEC (10 * USEC_PER_MS)
#define CONNECTION_IDLE_SECONDS 60

typedef enum { SHED_OFF, SHED_429, SHED_503, SHED_503_AFTER } shed_t;

typedef enum {
	STAGE_NEW,
	STAGE_LINK_IN, /* on its way to the copy */
	STAGE_WAITING, /* in the copy's own queue */
	STAGE_RUNNING, /* holds a slot */
	STAGE_LINK_OUT,
	STAGE_ANSWER,
	STAGE_BODY, /* between two pieces of a slow body */
} stage_t;

typedef struct copy {
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	const char *zone;
	struct MHD_Daemon *daemon;
	struct cds_list_head waiting;
	unsigned running, outstanding, outstanding_max;
	unsigned witness; /* bytes of the term that it echoes */
	unsigned connections, connections_max;
	uint64_t requests, runs, probes, announced, accepted, control_bytes;
	uint64_t announce_failed;
	long announce_status; /* of the last that failed */
	uint64_t random;
	double straggle;
	shed_t shed;
	bool fail_fast, frozen, draining, empty;
	usec_t started;
	int64_t sequence, epoch;
	char owner[HL_NAME_MAX];
	unsigned samples[LOAD_SAMPLES];
} copy_t;

typedef struct request {
	struct cds_list_head timer_link, waiting_link;
	copy_t *copy;
	struct MHD_Connection *connection;
	int fd;
	stage_t stage;
	usec_t due, arrived, left, service;
	bool counted, ran, timed, cancelled, probe, paused;
	unsigned load, outstanding, status, reused;
	const char *result;
	char id[HL_NAME_MAX * 2], key[HL_NAME_MAX * 4];
	char method[16], path[128];
	int64_t deadline_ms;
	uint64_t body_size, body_hash;
	/* The answer's body. */
	uint64_t size, cut_after;
	unsigned slow_ms, piece;
} request_t;

/* One stream of announcements: a copy to its owner, or to one entry. */
typedef struct announcer {
	struct cds_list_head link;
	copy_t *copy;
	int fixed; /* index of the only entry to tell, or -1 */
	unsigned next_entry;
	CURL *easy;
	struct curl_slist *headers;
	bool busy;
	usec_t due;
	char target[HL_ADDRESS_MAX], owner[HL_NAME_MAX];
	int64_t epoch;
	char witness[WITNESS_TEXT_MAX];
	char answer[1024];
	size_t answer_size;
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
static FILE *record;

static void wake_clock(void)
{
	uint64_t one = 1;

	if (write(wake_fd, &one, sizeof(one)) < 0)
		return;
}

/* Timers are kept in order; most new ones belong near the end. */
static void timer_set(request_t *req, usec_t due)
{
	struct cds_list_head *at = timers.prev;

	req->due = due;
	req->timed = true;
	while (at != &timers &&
	       cds_list_entry(at, request_t, timer_link)->due > due)
		at = at->prev;
	cds_list_add(&req->timer_link, at);
	if (timers.next == &req->timer_link)
		wake_clock();
}

static void timer_clear(request_t *req)
{
	if (req->timed)
		cds_list_del(&req->timer_link);
	req->timed = false;
}

/*
 * The same request id takes the same time at any copy, so that policies can
 * be compared on the same work.
 */
static usec_t service_time(copy_t *copy, const request_t *req, usec_t now)
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
	return (usec_t)(time * copy->straggle);
}

static const char *knob(request_t *req, const char *name)
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

static int64_t knob_number(request_t *req, const char *name, int64_t preset)
{
	const char *value = knob(req, name);

	return value ? g_ascii_strtoll(value, NULL, 10) : preset;
}

static void record_line(const request_t *req, const char *event, usec_t now)
{
	if (!record)
		return;
	fprintf(record,
		"%s at=%" PRId64 " arrived=%" PRId64 " left=%" PRId64
		" copy=%s method=%s "
		"path=%s id=%s key=%s outstanding=%u ran=%d reused=%u "
		"deadline_ms=%" PRId64 " body=%" PRIu64 " result=%s\n",
		event, now, req->arrived, req->left, req->copy->name,
		req->method, req->path, req->id[0] ? req->id : "-",
		req->key[0] ? req->key : "-", req->outstanding, req->ran,
		req->reused, req->deadline_ms, req->body_size,
		req->result ? req->result : "-");
	fflush(record);
}

static void run(request_t *req, usec_t now)
{
	req->stage = STAGE_RUNNING;
	req->ran = true;
	req->copy->running++;
	req->copy->runs++;
	record_line(req, "run", now);
	timer_set(req, now + req->service);
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
	run(next, now);
}

/* Only the clock's thread resumes, so an event never meets a freed request. */
static void answer(request_t *req)
{
	req->stage = STAGE_ANSWER;
	epoll_ctl(epoll_fd, EPOLL_CTL_DEL, req->fd, NULL);
	MHD_resume_connection(req->connection);
}

/* It no longer loads the copy, though its answer may be on the way. */
static void uncount(request_t *req, usec_t now)
{
	if (req->counted && !req->left) {
		req->left = now;
		req->copy->outstanding--;
	}
}

static void leave(request_t *req, usec_t now)
{
	uncount(req, now);
	if (opt_link_us) {
		req->stage = STAGE_LINK_OUT;
		timer_set(req, now + opt_link_us);
	} else {
		answer(req);
	}
}

static void refuse(request_t *req, unsigned status, const char *result)
{
	req->status = status;
	req->result = result;
}

static unsigned load_of(const copy_t *copy, usec_t now)
{
	usec_t lag;

	if (g_str_has_prefix(opt_load, "lie:"))
		return (unsigned)atoi(opt_load + strlen("lie:"));
	if (!g_str_has_prefix(opt_load, "lag:"))
		return 1000 * copy->running / (unsigned)opt_slots;
	lag = atoi(opt_load + strlen("lag:")) * USEC_PER_MS;
	return copy->samples[(now - lag) / LOAD_SAMPLE_USEC % LOAD_SAMPLES];
}

/* The request has reached the copy itself. */
static void reach(request_t *req, usec_t now)
{
	copy_t *copy = req->copy;

	if (req->probe) {
		copy->probes++;
		req->load = load_of(copy, now);
		req->outstanding = copy->outstanding;
		leave(req, now);
	} else if (copy->fail_fast) {
		req->ran = true;
		refuse(req, 500, "failed");
		record_line(req, "run", now);
		leave(req, now);
	} else if (copy->running < (unsigned)opt_slots) {
		run(req, now);
	} else if (copy->shed != SHED_OFF) {
		refuse(req, copy->shed == SHED_429 ? 429 : 503, "shed");
		leave(req, now);
	} else {
		req->stage = STAGE_WAITING;
		cds_list_add_tail(&req->waiting_link, &copy->waiting);
	}
}

static void cancel(request_t *req, usec_t now)
{
	stage_t stage = req->stage;

	if (stage == STAGE_NEW || stage == STAGE_ANSWER)
		return;
	timer_clear(req);
	if (stage == STAGE_WAITING)
		cds_list_del(&req->waiting_link);
	uncount(req, now);
	req->cancelled = true;
	req->result = "cancelled";
	answer(req);
	if (stage == STAGE_RUNNING)
		release_slot(req, now);
}

static void timer_fire(request_t *req, usec_t now)
{
	timer_clear(req);
	switch (req->stage) {
	case STAGE_LINK_IN:
		reach(req, now);
		break;
	case STAGE_RUNNING:
		leave(req, now);
		release_slot(req, now);
		break;
	default:
		answer(req);
	}
}

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

static void *clock_main(void *arg G_GNUC_UNUSED)
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
				cancel(events[i].data.ptr, time_now());
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

static void count(request_t *req)
{
	copy_t *copy = req->copy;

	req->counted = true;
	req->outstanding = ++copy->outstanding;
	copy->outstanding_max = MAX(copy->outstanding_max, copy->outstanding);
	copy->requests++;
}

static void arrive(request_t *req)
{
	copy_t *copy = req->copy;
	usec_t now = time_now();
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLONESHOT };
	int64_t delay = knob_number(req, "delay-ms", -1);

	event.data.ptr = req;
	pthread_mutex_lock(&lock);
	req->service = delay >= 0 ? delay * USEC_PER_MS :
				    service_time(copy, req, now);
	req->arrived = now;
	if (!req->probe)
		count(req);
	MHD_suspend_connection(req->connection);
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, req->fd, &event);
	req->stage = STAGE_LINK_IN;
	/* The clock's thread takes it from here, also without a delay. */
	timer_set(req, now + opt_link_us);
	pthread_mutex_unlock(&lock);
}

/* Write one period of the text, then double what stands. */
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

/* Wait between two pieces of a slow body; false once that is over. */
static bool body_pause(request_t *req)
{
	req->paused = !req->paused;
	if (!req->paused)
		return false;
	pthread_mutex_lock(&lock);
	MHD_suspend_connection(req->connection);
	req->stage = STAGE_BODY;
	timer_set(req, time_now() + req->slow_ms * USEC_PER_MS);
	pthread_mutex_unlock(&lock);
	return true;
}

/* The body of an answer is the request's id, repeated. */
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
	left = MIN(MIN(end - pos, max), req->piece);
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

/* Knob "header" is "Name: value", or several with "|" between them. */
static void add_headers(request_t *req, struct MHD_Response *response)
{
	const char *text = knob(req, "header");
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
	/* libmicrohttpd ends such an answer with a chunk, though HEAD has none. */
	if (!strcmp(req->method, "HEAD") && knob(req, "chunked"))
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

	if (knob(req, "close") ||
	    (knob(req, "close-reused") && req->reused > 1)) {
		req->result = "closed";
		return MHD_NO;
	}
	if (knob(req, "die"))
		_exit(1);
	if (knob(req, "cut-head")) {
		req->result = "cut";
		send_raw(req, "HTTP/1.1 200 OK\r\nContent-Len");
		return MHD_NO;
	}
	if (knob(req, "early"))
		send_raw(req, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
	req->size = (uint64_t)knob_number(req, "size", 0);
	req->cut_after = (uint64_t)knob_number(req, "cut-after", INT64_MAX);
	req->slow_ms = (unsigned)knob_number(req, "slow-ms", 0);
	req->piece = (unsigned)knob_number(req, "piece", BODY_PIECE_MAX);
	if (knob(req, "echo"))
		response = echo_response(req);
	else
		response = MHD_create_response_from_callback(
			knob(req, "chunked") ? MHD_SIZE_UNKNOWN : req->size,
			BODY_PIECE_MAX, body_read, req, NULL);
	add_headers(req, response);
	if (!req->status)
		req->status = (unsigned)knob_number(req, "status", 200);
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

/* A probe: the copy's own word on its load. */
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

/* FNV-1a, which a caller can work out piece by piece too. */
static void hash_body(request_t *req, const char *data, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		req->body_hash = (req->body_hash ^ (unsigned char)data[i]) *
				 0x100000001b3ULL;
	req->body_size += size;
}

static enum MHD_Result handle(void *cls, struct MHD_Connection *connection,
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
		arrive(req);
		return MHD_YES;
	}
	if (req->cancelled)
		return MHD_NO;
	return req->probe ? respond_load(req) : respond(req);
}

static void completed(void *cls G_GNUC_UNUSED,
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
		uncount(req, time_now());
		record_line(req, "end", time_now());
		pthread_mutex_unlock(&lock);
	}
	g_free(req);
	*context = NULL;
}

static void connection_changed(void *cls,
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

static char *announcement(announcer_t *ann, usec_t now)
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
			  "load", (int)load_of(copy, now));
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
	size_t room = sizeof(ann->answer) - 1 - ann->answer_size;
	size_t taken = MIN(size * count, room);

	memcpy(ann->answer + ann->answer_size, data, taken);
	ann->answer_size += taken;
	ann->answer[ann->answer_size] = '\0';
	return size * count;
}

static void announce_start(CURLM *multi, announcer_t *ann, usec_t now)
{
	char url[HL_ADDRESS_MAX + 32], *text = announcement(ann, now);

	if (ann->fixed >= 0)
		g_strlcpy(ann->target, entries[ann->fixed],
			  sizeof(ann->target));
	else if (!ann->target[0])
		g_strlcpy(ann->target, entries[ann->next_entry++ % entry_count],
			  sizeof(ann->target));
	snprintf(url, sizeof(url), "http://%s/v1/announce", ann->target);
	ann->answer_size = 0;
	ann->busy = true;
	ann->copy->announced++;
	curl_easy_setopt(ann->easy, CURLOPT_URL, url);
	curl_easy_setopt(ann->easy, CURLOPT_COPYPOSTFIELDS, text);
	curl_multi_add_handle(multi, ann->easy);
	free(text);
}

/* What an exchange put on the network above TCP, both ways; libcurl counts a
   small body in the size of its request. */
static uint64_t exchange_bytes(CURL *easy)
{
	curl_off_t down = 0;
	long request = 0, head = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head);
	curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
	return (uint64_t)(request + head + down);
}

/* Take the owner from an answer; a failed entry is left for the next one. */
static void announce_end(announcer_t *ann, CURLcode code, usec_t now)
{
	long status = 0;
	json_t *root = NULL;
	const char *owner = NULL, *address = NULL, *witness = "";
	int interval = opt_interval_ms, empty = 0;
	json_int_t epoch = 0;

	curl_easy_getinfo(ann->easy, CURLINFO_RESPONSE_CODE, &status);
	ann->copy->control_bytes += exchange_bytes(ann->easy);
	if (code == CURLE_OK && status == 200)
		root = json_loads(ann->answer, 0, NULL);
	ann->busy = false;
	if (!root || json_unpack(root, "{s?s, s?s, s?I, s?i, s?b, s?s}",
				 "owner", &owner, "owner_address", &address,
				 "epoch", &epoch, "interval_ms", &interval,
				 "empty", &empty, "witness", &witness)) {
		ann->target[0] = '\0';
		ann->copy->announce_failed++;
		ann->copy->announce_status = status;
		ann->due = now + ANNOUNCE_RETRY_USEC;
	} else {
		g_strlcpy(ann->owner, owner ? owner : "", sizeof(ann->owner));
		g_strlcpy(ann->target, address ? address : "",
			  sizeof(ann->target));
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

static void announce_add(copy_t *copy, int fixed, unsigned offset)
{
	announcer_t *ann = g_new0(announcer_t, 1);

	ann->copy = copy;
	ann->fixed = fixed;
	ann->next_entry = offset;
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

static void announce_finish(CURLM *multi)
{
	announcer_t *ann = NULL;
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(multi, &left))) {
		CURLcode code = message->data.result;

		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ann);
		curl_multi_remove_handle(multi, ann->easy);
		announce_end(ann, code, time_now());
	}
}

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
		announce_finish(multi);
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

static void control_copy(copy_t *copy, const char *what, const char *value)
{
	announcer_t *ann = NULL;

	if (!strcmp(what, "/straggle"))
		copy->straggle = g_ascii_strtod(value, NULL);
	else if (!strcmp(what, "/shed"))
		copy->shed = shed_parse(value);
	else if (!strcmp(what, "/fail"))
		copy->fail_fast = atoi(value);
	else if (!strcmp(what, "/freeze"))
		copy->frozen = atoi(value);
	else if (!strcmp(what, "/cold"))
		copy->started = time_now();
	else if (!strcmp(what, "/reset"))
		copy->outstanding_max = copy->outstanding;
	else if (!strcmp(what, "/drain"))
		copy->draining = atoi(value);
	if (strcmp(what, "/drain") != 0)
		return;
	cds_list_for_each_entry (ann, &announcers, link) {
		if (ann->copy == copy)
			ann->due = 0;
	}
}

/* GET /WHAT?copy=INDEX&value=VALUE; without copy for all; then the status. */
static enum MHD_Result control(void *cls G_GNUC_UNUSED,
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
	copy->straggle = 1;
	copy->shed = shed_parse(opt_shed);
	copy->started = time_now();
	copy->sequence = g_get_real_time() / USEC_PER_MS;
	copy->random = (uint64_t)index + 1;
	CDS_INIT_LIST_HEAD(&copy->waiting);
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
		handler == handle ? completed : NULL, cls,
		MHD_OPTION_NOTIFY_CONNECTION,
		handler == handle ? connection_changed : NULL, cls,
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
		copies[i].daemon = listen_on(copies[i].address, handle,
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
	{ "service", 0, 0, G_OPTION_ARG_STRING, &opt_service, "its name",
	  "NAME" },
	{ "copies", 0, 0, G_OPTION_ARG_INT, &opt_copies, "copies to host",
	  "N" },
	{ "first", 0, 0, G_OPTION_ARG_INT, &opt_first,
	  "number of the first copy in the copies' names", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots,
	  "requests a copy runs at once", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt_connections,
	  "connections to announce", "N" },
	{ "zone", 0, 0, G_OPTION_ARG_STRING, &opt_zone,
	  "zones, dealt to the copies in turn", "NAME,..." },
	{ "address", 0, 0, G_OPTION_ARG_STRING, &opt_address,
	  "of the first copy; ports count up", "IP:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt_control,
	  "where to be controlled", "IP:PORT" },
	{ "entries", 0, 0, G_OPTION_ARG_STRING, &opt_entries,
	  "control addresses to announce to", "IP:PORT,..." },
	{ "announce-all", 0, 0, G_OPTION_ARG_NONE, &opt_announce_all,
	  "announce to every entry", NULL },
	{ "interval", 0, 0, G_OPTION_ARG_INT, &opt_interval_ms,
	  "between announcements; 0: as told", "MS" },
	{ "time", 0, 0, G_OPTION_ARG_INT, &opt_service_us, "mean service time",
	  "USEC" },
	{ "distribution", 0, 0, G_OPTION_ARG_STRING, &opt_distribution,
	  "fixed, exponential or lognormal", "WORD" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "of the service times",
	  "N" },
	{ "link", 0, 0, G_OPTION_ARG_INT, &opt_link_us, "delay each way",
	  "USEC" },
	{ "shed", 0, 0, G_OPTION_ARG_STRING, &opt_shed,
	  "when all slots are busy: off, 429, 503 or 503-after", "WORD" },
	{ "cold", 0, 0, G_OPTION_ARG_INT, &opt_cold_ms, "cold start", "MS" },
	{ "cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &opt_cold_factor,
	  "how much slower a cold copy is", "F" },
	{ "load", 0, 0, G_OPTION_ARG_STRING, &opt_load,
	  "announced load: honest, lag:MS or lie:THOUSANDTHS", "WORD" },
	{ "log", 0, 0, G_OPTION_ARG_STRING, &opt_log, "record of requests",
	  "FILE" },
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
		fprintf(stderr, "%s\n", error ? error->message : "bad number");
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
	pthread_t clock_thread, announce_thread;
	sigset_t set;
	int number;

	if (options_read(argc, argv))
		return 2;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (opt_log && !(record = fopen(opt_log, "a"))) {
		perror(opt_log);
		return 1;
	}
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, wake_fd, &event);
	if (copies_start())
		return 1;
	if (opt_control && !listen_on(opt_control, control, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", opt_control);
		return 1;
	}
	pthread_create(&clock_thread, NULL, clock_main, NULL);
	pthread_create(&announce_thread, NULL, announce_main, NULL);
	puts("ready");
	fflush(stdout);
	sigwait(&set, &number);
	fflush(NULL);
	_exit(0);
}
