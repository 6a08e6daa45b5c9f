/*
 * stop-caller: makes calls at many moments around the stop of an entry and
 * prints how each of them ended. At each moment it makes a call of each kind,
 * over a connection of its own. Each argument is a kind:
 *
 *	NAME,METHOD,PATH,BODY-BYTES,SEND-MS,READ-MS
 *
 * The body is sent in pieces that are spread over SEND-MS. A caller with READ-MS
 * above 0 has a small receive buffer and reads the response in pieces that are
 * spread over that time. Callers read nothing before they have sent all, and
 * give up if a send fails.
 *
 * The line of a call has its id, its begin, the time of its last byte and its
 * end, in milliseconds since the start, the status, whether a copy signed the
 * response, the Retry-After, and how the call ended:
 *
 *	whole		complete response
 *	cut		the connection ended within the response
 *	closed		it ended before the response
 *	unsent		it ended before the whole request was sent
 *	no-connection	no connection was made
 *	timed-out	nothing was received for the time limit
 */
#include <err.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include "headers.h"

#define KIND_NAME_MAX 32
#define KIND_METHOD_MAX 16
#define KIND_PATH_MAX 128
#define CALL_ID_MAX 128
#define HEAD_BYTES_MAX 8192
#define BODY_PIECES 20
#define READ_PIECES 20
#define SLOW_BUFFER_BYTES 4096
#define STACK_BYTES (256 * 1024)

static gchar *opt_address, *opt_tag = "call";
static gint opt_moments = 1, opt_period_ms = 50, opt_calls = 1;
static gint opt_deadline_ms = 3000, opt_limit_ms = 10000;
static gboolean opt_open;
static const headers_t *headers;
static struct sockaddr_storage entry_address;
static unsigned entry_address_length;
static usec_t started;

typedef struct {
	char name[KIND_NAME_MAX];
	char method[KIND_METHOD_MAX];
	char path[KIND_PATH_MAX];
	unsigned body_bytes;
	unsigned send_ms;
	unsigned read_ms;
} kind_t;

/* A connection, the moment of its first call, and its present call. */
typedef struct {
	const kind_t *kind;
	gint moment;
	pthread_t thread;
	int fd;
	char id[CALL_ID_MAX];
	usec_t begin, sent; /* of the call; sent is that of its last byte */
	char head[HEAD_BYTES_MAX];
	size_t head_bytes; /* received of the head, and of the body with it */
	unsigned status;
	const char *end;
} caller_t;

static void sleep_until(usec_t when)
{
	usec_t left = when - time_now();

	if (left > 0)
		g_usleep((gulong)left);
}

/* Connects the caller; false if that fails. */
static bool caller_connect(caller_t *caller)
{
	struct timeval limit = { opt_limit_ms / 1000,
				 opt_limit_ms % 1000 * 1000 };
	int bytes = SLOW_BUFFER_BYTES;

	caller->fd = socket(entry_address.ss_family, SOCK_STREAM | SOCK_CLOEXEC,
			    0);
	if (caller->fd < 0)
		return false;
	if (caller->kind->read_ms)
		setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &bytes,
			   sizeof(bytes));
	setsockopt(caller->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(caller->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	return !connect(caller->fd, (struct sockaddr *)&entry_address,
			entry_address_length);
}

static bool caller_send_bytes(caller_t *caller, const char *bytes, size_t size)
{
	while (size) {
		ssize_t n = send(caller->fd, bytes, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		size -= (size_t)n;
		caller->sent = time_now();
	}
	return true;
}

static bool caller_send_body(caller_t *caller)
{
	const kind_t *kind = caller->kind;
	size_t piece = kind->body_bytes / BODY_PIECES;
	char *bytes = g_malloc(piece + BODY_PIECES);
	usec_t pause = kind->send_ms * USEC_PER_MS / BODY_PIECES;
	bool sent = true;
	int i;

	memset(bytes, 'x', piece + BODY_PIECES);
	for (i = 0; i < BODY_PIECES && sent; i++) {
		if (i == BODY_PIECES - 1)
			piece += kind->body_bytes % BODY_PIECES;
		sent = caller_send_bytes(caller, bytes, piece);
		if (i < BODY_PIECES - 1)
			g_usleep((gulong)pause);
	}
	g_free(bytes);
	return sent;
}

/* Sends a call; false if the connection ends meanwhile. */
static bool caller_send(caller_t *caller)
{
	const kind_t *kind = caller->kind;
	char *head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: a.example\r\n"
				     "%s: %s\r\n%s: %d\r\n"
				     "Content-Length: %u\r\n\r\n",
				     kind->method, kind->path, headers->call_id,
				     caller->id, headers->deadline_ms,
				     opt_deadline_ms, kind->body_bytes);
	bool sent = caller_send_bytes(caller, head, strlen(head));

	g_free(head);
	return sent && (!kind->body_bytes || caller_send_body(caller));
}

/* Receives bytes; returns NULL, or how the call ended. */
static const char *caller_receive(caller_t *caller, char *out, size_t size,
				  size_t *received)
{
	ssize_t n = recv(caller->fd, out, size, 0);

	if (n > 0) {
		*received = (size_t)n;
		return NULL;
	}
	if (n < 0 && errno == EAGAIN)
		return "timed-out";
	return caller->head_bytes ? "cut" : "closed";
}

/* Copies the value of a header of the response; "-" if it is absent. */
static void caller_header(const caller_t *caller, const char *name, char *out,
			  size_t size)
{
	const char *line = caller->head;
	size_t length = strlen(name);

	g_strlcpy(out, "-", size);
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (!strncasecmp(line, name, length) && line[length] == ':')
			sscanf(line + length + 1, " %15[^\r]", out);
	}
}

/* Reads the head of the response; returns NULL, or how the call ended. Sets @left
   to the number of bytes of the body that have not been received. */
static const char *caller_read_head(caller_t *caller, uint64_t *left)
{
	const char *end = NULL;
	char *body = NULL;
	char length[16];

	memset(caller->head, 0, sizeof(caller->head));
	while (!body) {
		size_t n;

		if (caller->head_bytes == sizeof(caller->head) - 1)
			return "cut";
		end = caller_receive(caller, caller->head + caller->head_bytes,
				     sizeof(caller->head) - 1 -
					     caller->head_bytes,
				     &n);
		if (end)
			return end;
		caller->head_bytes += n;
		body = strstr(caller->head, "\r\n\r\n");
	}
	body += 4;
	sscanf(caller->head, "HTTP/1.1 %u", &caller->status);
	caller_header(caller, "Content-Length", length, sizeof(length));
	*left = g_ascii_strtoull(length, NULL, 10);
	*left -= MIN(*left, caller->head_bytes - (size_t)(body - caller->head));
	*body = '\0';
	return NULL;
}

/* Reads the response; returns how the call ended. */
static const char *caller_read(caller_t *caller)
{
	usec_t pause = caller->kind->read_ms * USEC_PER_MS / READ_PIECES;
	const char *end;
	char *bytes;
	uint64_t left = 0;
	size_t piece;

	end = caller_read_head(caller, &left);
	if (end)
		return end;
	piece = left / READ_PIECES + 1;
	bytes = g_malloc(piece);
	while (left && !end) {
		size_t want = MIN(left, piece);

		g_usleep((gulong)pause);
		while (want && !end) {
			size_t n = 0;

			end = caller_receive(caller, bytes, want, &n);
			want -= n;
			left -= n;
		}
	}
	g_free(bytes);
	return end ? end : "whole";
}

static void caller_print(const caller_t *caller, usec_t now)
{
	char signature[16];
	char retry_after[16];

	caller_header(caller, headers->signature, signature, sizeof(signature));
	caller_header(caller, "Retry-After", retry_after, sizeof(retry_after));
	printf("%s begin=%" PRId64 " sent=%" PRId64 " ended=%" PRId64
	       " status=%u signature=%s retry-after=%s end=%s\n",
	       caller->id, (caller->begin - started) / USEC_PER_MS,
	       (caller->sent - started) / USEC_PER_MS,
	       (now - started) / USEC_PER_MS, caller->status, signature,
	       retry_after, caller->end);
}

/* Makes one call; false if the connection is of no further use. */
static bool caller_call(caller_t *caller)
{
	caller->begin = time_now();
	caller->sent = caller->begin;
	caller->head_bytes = 0;
	caller->head[0] = '\0';
	caller->status = 0;
	if (caller->fd < 0 && !caller_connect(caller))
		caller->end = "no-connection";
	else if (!caller_send(caller))
		caller->end = "unsent";
	else
		caller->end = caller_read(caller);
	caller_print(caller, time_now());
	return !strcmp(caller->end, "whole");
}

static void *caller_main(void *context)
{
	caller_t *caller = context;
	gint number;

	sleep_until(started + caller->moment * opt_period_ms * USEC_PER_MS);
	for (number = 1; number <= opt_calls; number++) {
		snprintf(caller->id, sizeof(caller->id), "%s-%s-%d-%d", opt_tag,
			 caller->kind->name, caller->moment, number);
		if (!caller_call(caller))
			break;
	}
	if (caller->fd >= 0)
		close(caller->fd);
	return NULL;
}

static void kind_parse(const char *text, kind_t *kind)
{
	if (sscanf(text, "%31[^,],%15[^,],%127[^,],%u,%u,%u", kind->name,
		   kind->method, kind->path, &kind->body_bytes, &kind->send_ms,
		   &kind->read_ms) != 6)
		errx(2, "%s is not NAME,METHOD,PATH,BODY-BYTES,SEND-MS,READ-MS",
		     text);
}

/* Starts a caller, whose connection is opened now if --open is given. */
static caller_t *caller_start(const kind_t *kind, gint moment)
{
	caller_t *caller = g_new0(caller_t, 1);
	pthread_attr_t attr;

	caller->kind = kind;
	caller->moment = moment;
	caller->fd = -1;
	if (opt_open && !caller_connect(caller))
		err(1, "cannot connect to %s", opt_address);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	if (pthread_create(&caller->thread, &attr, caller_main, caller))
		errx(1, "cannot start a thread");
	pthread_attr_destroy(&attr);
	return caller;
}

static void run(char **texts, unsigned count)
{
	GPtrArray *callers = g_ptr_array_new_with_free_func(g_free);
	kind_t *kinds = g_new0(kind_t, count);
	gint moment;
	unsigned i;

	for (i = 0; i < count; i++)
		kind_parse(texts[i], &kinds[i]);
	started = time_now();
	for (moment = 0; moment < opt_moments; moment++)
		for (i = 0; i < count; i++)
			g_ptr_array_add(callers,
					caller_start(&kinds[i], moment));
	for (i = 0; i < callers->len; i++)
		pthread_join(((caller_t *)callers->pdata[i])->thread, NULL);
	g_ptr_array_free(callers, TRUE);
	g_free(kinds);
}

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &opt_address,
	  "address of the entry", "IP:PORT" },
	{ "tag", 0, 0, G_OPTION_ARG_STRING, &opt_tag,
	  "first part of the ids of the calls", "TEXT" },
	{ "moments", 0, 0, G_OPTION_ARG_INT, &opt_moments,
	  "number of moments at which calls are made", "N" },
	{ "period", 0, 0, G_OPTION_ARG_INT, &opt_period_ms,
	  "time between two moments", "MS" },
	{ "open", 0, 0, G_OPTION_ARG_NONE, &opt_open,
	  "open all connections at the start", NULL },
	{ "calls", 0, 0, G_OPTION_ARG_INT, &opt_calls,
	  "maximum number of calls over one connection", "N" },
	{ "deadline", 0, 0, G_OPTION_ARG_INT, &opt_deadline_ms,
	  "deadline of a call", "MS" },
	{ "limit", 0, 0, G_OPTION_ARG_INT, &opt_limit_ms,
	  "time limit without progress", "MS" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("KIND...");
	gboolean parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !opt_address || argc < 2 ||
	    hl_address_parse(opt_address, &entry_address,
			     &entry_address_length)) {
		fprintf(stderr,
			"usage: stop-caller --address IP:PORT KIND...\n");
		return 2;
	}
	headers = headers_find("platform");
	run(argv + 1, (unsigned)argc - 1);
	return 0;
}
