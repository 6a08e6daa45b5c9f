/*
 * answer-caller: makes random calls, by --seed, through several entries for some
 * seconds and prints a line for each answer: the path of the call, the entry, the
 * method, whether the call was made more than once, the status, the signature,
 * whether the id in the answer is that of the call, whether the body is the one
 * that the signature stands for (answer-bytes.h), and how the answer ended:
 *
 *	whole		complete, as the bytes say
 *	cut		the connection ended within the answer
 *	closed		it ended before the answer
 *	malformed	the bytes are no answer
 *	timed-out	nothing was received for the time limit
 *
 * Bytes that come over an open connection with no call waiting have a line of
 * their own. The paths are /read/N, /put/N and /few/N for calls that may be
 * repeated, by the caller too, with the same id through any entry, and /once/N.
 */
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
#include "answer-bytes.h"

#define ENTRIES_MAX 8
#define TOKEN_MAX 96
#define BLOCK_BYTES 65536
#define LINE_BYTES_MAX 1024
#define UPLOAD_BYTES_MAX 200000
#define CHUNK_BYTES 5000
#define REPEATS_MAX 3

static gchar **opt_addresses, *opt_tag = "c";
static gint opt_seed = 1, opt_threads = 8, opt_seconds = 5;
static gint opt_deadline_ms = 1500, opt_limit_ms = 6000;
static const headers_t *headers;
static struct sockaddr_storage entries[ENTRIES_MAX];
static unsigned entry_lengths[ENTRIES_MAX], entry_count;
static usec_t stop;

typedef struct {
	const char *method;
	char path[TOKEN_MAX], id[TOKEN_MAX];
	bool repeated;
	unsigned body_bytes;
	bool chunked;
} request_t;

/* The answer to a call. */
typedef struct {
	unsigned status;
	char signature[HL_NAME_MAX], id[HL_NAME_MAX];
	bool has_length, chunked, closes;
	uint64_t length;
	uint64_t key;	 /* of the body that the signature stands for */
	uint64_t got;	 /* bytes of the body */
	uint64_t same;	 /* bytes of it up to the first that differs */
	bool body_wrong; /* a byte differs */
	const char *end;
} answer_t;

/* A thread and its connections, one for each entry. */
typedef struct {
	pthread_t thread;
	unsigned index, calls;
	GRand *random;
	int fds[ENTRIES_MAX];
	int fd; /* of the present call */
	char buffer[BLOCK_BYTES];
	size_t start, length; /* input that was not used yet */
	const char *failed;   /* how the input ended */
} caller_t;

/* Returns a number from 0 to @limit - 1. */
static unsigned choose(caller_t *caller, unsigned limit)
{
	return (unsigned)g_rand_int_range(caller->random, 0, (gint32)limit);
}

static void caller_close(caller_t *caller, unsigned entry)
{
	if (caller->fds[entry] >= 0)
		close(caller->fds[entry]);
	caller->fds[entry] = -1;
}

/* Reports bytes over a connection with no call waiting; closes an ended one. */
static void caller_check_idle(caller_t *caller, unsigned entry)
{
	char byte;
	ssize_t n = recv(caller->fds[entry], &byte, 1, MSG_DONTWAIT);

	if (n > 0)
		printf("excess entry=%u\n", entry + 1);
	if (n >= 0 || errno != EAGAIN)
		caller_close(caller, entry);
}

/* Makes the connection to an entry the present one; false if that fails. */
static bool caller_connect(caller_t *caller, unsigned entry)
{
	struct timeval limit = { opt_limit_ms / 1000,
				 opt_limit_ms % 1000 * 1000 };
	int fd;

	if (!choose(caller, 4))
		caller_close(caller, entry);
	if (caller->fds[entry] >= 0)
		caller_check_idle(caller, entry);
	fd = caller->fds[entry];
	if (fd < 0) {
		fd = socket(entries[entry].ss_family,
			    SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
		caller->fds[entry] = fd;
		if (connect(fd, (struct sockaddr *)&entries[entry],
			    entry_lengths[entry]))
			return false;
	}
	caller->fd = fd;
	caller->start = caller->length = 0;
	caller->failed = NULL;
	return true;
}

static bool caller_send_bytes(caller_t *caller, const char *bytes, size_t size)
{
	while (size) {
		ssize_t n = send(caller->fd, bytes, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		size -= (size_t)n;
	}
	return true;
}

static void append_body(GString *text, const request_t *request)
{
	unsigned left = request->body_bytes;

	while (left) {
		unsigned piece = request->chunked ? MIN(left, CHUNK_BYTES) :
						    left;
		gsize from;

		if (request->chunked)
			g_string_append_printf(text, "%x\r\n", piece);
		from = text->len;
		g_string_set_size(text, from + piece);
		memset(text->str + from, 'x', piece);
		if (request->chunked)
			g_string_append(text, "\r\n");
		left -= piece;
	}
	if (request->chunked)
		g_string_append(text, "0\r\n\r\n");
}

/* Sends a call; an answer may come although that fails. */
static void caller_send(caller_t *caller, const request_t *request)
{
	GString *text = g_string_new("");

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: a.example\r\n",
			       request->method, request->path);
	if (strcmp(request->id, "-"))
		g_string_append_printf(text, "%s: %s\r\n", headers->call_id,
				       request->id);
	g_string_append_printf(text, "%s: %d\r\n", headers->deadline_ms,
			       opt_deadline_ms);
	if (request->chunked)
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	else if (request->body_bytes)
		g_string_append_printf(text, "Content-Length: %u\r\n",
				       request->body_bytes);
	g_string_append(text, "\r\n");
	append_body(text, request);
	caller_send_bytes(caller, text->str, text->len);
	g_string_free(text, TRUE);
}

/* Returns the next byte of the input, or -1 and sets how it ended. */
static int caller_byte(caller_t *caller)
{
	if (caller->start == caller->length) {
		ssize_t n = recv(caller->fd, caller->buffer,
				 sizeof(caller->buffer), 0);

		if (n <= 0) {
			caller->failed = n && errno == EAGAIN ? "timed-out" :
					 n		      ? "reset" :
								"ended";
			return -1;
		}
		caller->start = 0;
		caller->length = (size_t)n;
	}
	return (unsigned char)caller->buffer[caller->start++];
}

/* Reads a line without its end; false if the input ends, or a line is too long. */
static bool caller_line(caller_t *caller, char *line)
{
	size_t at = 0;
	int byte;

	while ((byte = caller_byte(caller)) >= 0) {
		if (at == LINE_BYTES_MAX - 1)
			return false;
		line[at++] = (char)byte;
		if (byte != '\n' || at < 2 || line[at - 2] != '\r')
			continue;
		line[at - 2] = '\0';
		return true;
	}
	return false;
}

/* Takes one header line of an answer. */
static void answer_header(answer_t *answer, char *line)
{
	char *value = strchr(line, ':');

	if (!value)
		return;
	*value++ = '\0';
	value += strspn(value, " ");
	if (!strcasecmp(line, headers->signature))
		g_strlcpy(answer->signature, value, sizeof(answer->signature));
	else if (!strcasecmp(line, headers->call_id))
		g_strlcpy(answer->id, value, sizeof(answer->id));
	else if (!strcasecmp(line, "Transfer-Encoding"))
		answer->chunked = true;
	else if (!strcasecmp(line, "Connection"))
		answer->closes = !strcasecmp(value, "close");
	else if (!strcasecmp(line, "Content-Length")) {
		answer->has_length = true;
		answer->length = g_ascii_strtoull(value, NULL, 10);
	}
}

/* Reads the head of an answer; false sets how the answer ended. */
static bool caller_read_head(caller_t *caller, answer_t *answer)
{
	char line[LINE_BYTES_MAX];

	answer->end = "malformed";
	if (!caller_line(caller, line)) {
		if (caller->failed && !strcmp(caller->failed, "timed-out"))
			answer->end = caller->failed;
		else if (caller->failed)
			answer->end = "closed";
		return false;
	}
	if (sscanf(line, "HTTP/1.1 %3u", &answer->status) != 1)
		return false;
	while (caller_line(caller, line) && *line)
		answer_header(answer, line);
	if (caller->failed)
		answer->end = "cut";
	return !caller->failed;
}

/* Reads @left bytes of the body; false if the input ends. */
static bool caller_read_bytes(caller_t *caller, answer_t *answer, uint64_t left)
{
	while (left--) {
		int byte = caller_byte(caller);

		if (byte < 0)
			return false;
		if ((char)byte != answer_byte(answer->key, answer->got++))
			answer->body_wrong = true;
		answer->same += !answer->body_wrong;
	}
	return true;
}

/* Reads a body in chunks; false sets how the answer ended. */
static bool caller_read_chunks(caller_t *caller, answer_t *answer)
{
	char line[LINE_BYTES_MAX];
	uint64_t size;

	for (;;) {
		char *end;

		if (!caller_line(caller, line))
			return false;
		size = g_ascii_strtoull(line, &end, 16);
		if (end == line) {
			answer->end = "malformed";
			return false;
		}
		if (!size)
			break;
		if (!caller_read_bytes(caller, answer, size) ||
		    !caller_line(caller, line))
			return false;
	}
	while (caller_line(caller, line))
		if (!*line)
			return true;
	return false;
}

/* Reads the body of an answer that has one; false if it is not complete. */
static bool caller_read_body(caller_t *caller, answer_t *answer)
{
	if (answer->chunked)
		return caller_read_chunks(caller, answer);
	if (answer->has_length)
		return caller_read_bytes(caller, answer, answer->length);
	answer->closes = true;
	caller_read_bytes(caller, answer, UINT64_MAX);
	return !strcmp(caller->failed, "ended");
}

static void caller_read(caller_t *caller, const request_t *request,
			answer_t *answer)
{
	bool empty;

	do {
		memset(answer, 0, sizeof(*answer));
		strcpy(answer->signature, "-");
		strcpy(answer->id, "-");
		if (!caller_read_head(caller, answer))
			return;
	} while (answer->status / 100 == 1);
	answer->key = answer_key(request->path, answer->signature);
	answer->end = "cut";
	empty = !strcmp(request->method, "HEAD") || answer->status == 204 ||
		answer->status == 304;
	if (!empty && !caller_read_body(caller, answer))
		return;
	answer->end = "whole";
	answer->body_wrong = !empty &&
			     (answer->body_wrong ||
			      answer->got != answer_length(answer->key));
	if (caller->start < caller->length)
		printf("excess path=%s\n", request->path);
}

/* Makes a call through an entry and prints what came back. */
static void caller_call(caller_t *caller, unsigned entry,
			const request_t *request)
{
	bool id_wrong;
	answer_t answer;

	if (!caller_connect(caller, entry)) {
		caller_close(caller, entry);
		return;
	}
	caller_send(caller, request);
	caller_read(caller, request, &answer);
	id_wrong = strcmp(answer.id, "-") && strcmp(request->id, "-") &&
		   strcmp(answer.id, request->id);
	printf("path=%s entry=%u method=%s repeated=%d status=%u signature=%s "
	       "id=%s body=%s bytes=%" PRIu64 "/%zu same=%" PRIu64
	       " end=%s at_ms=%" PRId64 "\n",
	       request->path, entry + 1, request->method, request->repeated,
	       answer.status, answer.signature, id_wrong ? "wrong" : "right",
	       answer.body_wrong ? "wrong" : "right", answer.got,
	       answer_length(answer.key), answer.same, answer.end,
	       time_now() / USEC_PER_MS);
	if (strcmp(answer.end, "whole") || answer.closes)
		caller_close(caller, entry);
}

/* Chooses a call. */
static void choose_request(caller_t *caller, request_t *request)
{
	static const struct {
		const char *method, *prefix;
		bool body, once;
	} kinds[] = {
		{ "GET", "read", false, false },
		{ "GET", "read", false, false },
		{ "HEAD", "read", false, false },
		{ "GET", "few", false, false },
		{ "HEAD", "few", false, false },
		{ "PUT", "few", true, false },
		{ "PUT", "put", true, false },
		{ "POST", "once", true, true },
		{ "POST", "once", true, true },
	};
	unsigned kind = choose(caller, G_N_ELEMENTS(kinds));

	memset(request, 0, sizeof(*request));
	request->method = kinds[kind].method;
	g_snprintf(request->id, sizeof(request->id), "%s-%u-%u", opt_tag,
		   caller->index, ++caller->calls);
	g_snprintf(request->path, sizeof(request->path), "/%s/%s",
		   kinds[kind].prefix, request->id);
	request->repeated = !kinds[kind].once && !choose(caller, 4);
	if (!choose(caller, 16))
		strcpy(request->id, "-");
	if (!kinds[kind].body)
		return;
	request->body_bytes = choose(caller, choose(caller, 3) ?
						     1000 :
						     UPLOAD_BYTES_MAX);
	request->chunked = request->body_bytes && !choose(caller, 3);
}

static void *caller_main(void *context)
{
	caller_t *caller = context;
	unsigned i;

	while (time_now() < stop) {
		request_t request;
		unsigned more = 0;

		choose_request(caller, &request);
		if (request.repeated)
			more = 1 + choose(caller, REPEATS_MAX);
		for (i = 0; i <= more; i++)
			caller_call(caller, choose(caller, entry_count),
				    &request);
		g_usleep(choose(caller, 3) * 3000);
	}
	for (i = 0; i < entry_count; i++)
		caller_close(caller, i);
	return NULL;
}

static void run(void)
{
	caller_t *callers = g_new0(caller_t, (gsize)opt_threads);
	gint i;
	unsigned at;

	stop = time_now() + opt_seconds * USEC_PER_SEC;
	for (i = 0; i < opt_threads; i++) {
		const guint32 seeds[] = { (guint32)opt_seed, (guint32)i };

		callers[i].index = (unsigned)i;
		callers[i].random =
			g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
		for (at = 0; at < ENTRIES_MAX; at++)
			callers[i].fds[at] = -1;
		pthread_create(&callers[i].thread, NULL, caller_main,
			       &callers[i]);
	}
	for (i = 0; i < opt_threads; i++) {
		pthread_join(callers[i].thread, NULL);
		g_rand_free(callers[i].random);
	}
	g_free(callers);
}

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt_addresses,
	  "address of an entry", "IP:PORT" },
	{ "tag", 0, 0, G_OPTION_ARG_STRING, &opt_tag,
	  "first part of the ids of the calls", "TEXT" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "seed of the choices",
	  "N" },
	{ "callers", 0, 0, G_OPTION_ARG_INT, &opt_threads,
	  "number of callers, which make one call at a time", "N" },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt_seconds,
	  "time in which calls are begun", "N" },
	{ "deadline", 0, 0, G_OPTION_ARG_INT, &opt_deadline_ms,
	  "deadline of a call", "MS" },
	{ "limit", 0, 0, G_OPTION_ARG_INT, &opt_limit_ms,
	  "time limit without progress", "MS" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	gboolean parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !opt_addresses || opt_threads < 1)
		return 2;
	for (; entry_count < ENTRIES_MAX && opt_addresses[entry_count];
	     entry_count++)
		if (hl_address_parse(opt_addresses[entry_count],
				     &entries[entry_count],
				     &entry_lengths[entry_count]))
			return 2;
	headers = headers_find("platform");
	run();
	return 0;
}
