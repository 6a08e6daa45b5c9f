/*
 * standin-raw: a stand-in for one copy that uses the header set "platform", or that
 * named by --interface, and writes its responses byte by byte, so that they can be
 * wrong in ways that an HTTP library does not allow. It reads the body of a request
 * and responds with its size and hash. A path that contains one of these words
 * selects another behaviour:
 *
 *	/slow			reads the body in small pieces with pauses
 *	/early			responds before it reads the body
 *	/early-stop		responds and does not read the body
 *	/early-full		refuses the call and does not read the body
 *	/twice			sends its response again, 30 ms later
 *	/fail-twice		responds 500, and 30 ms later 200
 *	/fail-later		responds 500, and 200 30 ms after the next response on
 *				the connection
 *	/twice-refused		sends its response, and 30 ms later refuses the call
 *				with Retry-After: 5
 *	/twice-misdirected	sends its response, and 30 ms later 421
 *	/at-next		beside a word for a second response: sends that once
 *				the next request has come over the connection
 *	/bare-400		responds 400 without a header of the header set
 *	/leaving		responds that the copy leaves
 *	/rest-SECONDS		refuses the call with Retry-After: SECONDS
 *	/wait-MS		responds MS milliseconds after the request
 *	/long-KIB		responds with a body of KIB kibibytes
 *	/half-KIB		responds with half of a body of KIB kibibytes, and
 *				closes the connection
 *	/refusal-KIB		refuses the call with a body of KIB kibibytes, of
 *				which the second half comes 100 ms later
 *	/head-BYTES		responds with a head of some BYTES bytes, which ends
 *				with the fields X-End and Content-Length
 *	/head-BYTES/long-KIB	the same, with a body of KIB kibibytes
 *	/status-TEXT		responds with TEXT after "HTTP/1.1 ", each "_" a space
 *	/chunked/status-TEXT	the same, with a chunked body
 *	/interim/status-TEXT	the same as the first, after a 103 response
 *	/crash			the process ends without a response
 *	/lost-head		closes the connection after the head of the request
 *	/lost-body		resets the connection after half of the body
 *	/lost-run		closes the connection in place of the response
 *	/lost-reset		resets the connection in place of the response
 *	/lost-idle		closes the connection after a complete response
 *				without "Connection: close"
 *	/endless-head		header lines without end
 *	/endless-line		a header line without end
 *	/endless-interim	1xx responses without end
 *	/endless-body		a chunked body without end
 *	/endless-chunk-line	a chunk line without end
 *	/endless-trailer	trailers without end
 *	/endless-excess		bytes without end after a complete response
 *
 * With --cut, it reads a file each 10 ms: each line has an IP address and how its
 * path to the copy is cut. A segment of the address to the listening socket is
 * dropped, in addition:
 *
 *	hang			those of open connections are dropped, too, and
 *				the responses to calls wait for the end
 *	new			open connections live on
 *	reset			open connections are reset
 *
 * It copies the file to FILE.ID once the cuts in it are in force; FILE.ID is empty
 * before.
 *
 * With --rate, it names that rate in its responses from SIGUSR1 to SIGUSR2, and
 * records probes like calls.
 *
 * With --echo-send, each response has the id of the send that it is for, if the
 * header set has such ids.
 */
#include <arpa/inet.h>
#include <err.h>
#include <glib.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include "headers.h"
#include "standin-io.h"

#define HEAD_BYTES_MAX 32768
#define BLOCK_BYTES 65536
#define SLOW_PIECE_BYTES 16384
#define SLOW_PAUSE_USEC 20000
#define HEAD_FIELD_BYTES 100
#define REFUSAL_PAUSE_USEC (100 * 1000)
#define LATE_PAUSE_USEC 30000
/* Maximum wait of a second response for the next request. */
#define LATE_NEXT_MS 5000
#define RECORD_BYTES_MAX (1024 * 1024)
/* Parameters of the 64-bit FNV-1a hash. */
#define FNV_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

/* Maximum number of addresses that are cut at the same time. */
#define CUTS_MAX 64
#define CUT_PERIOD_USEC 10000

static gchar *opt_address, *opt_id, *opt_log, *opt_cut, *opt_interface;
static gint opt_slots = 2;
static gint opt_rate;
static gboolean opt_leaving;
static gboolean opt_echo_send;
static int names_rate; /* accessed atomically */
static const headers_t *headers;
static FILE *record_file;

/* One connection and the request that is being read from it. */
typedef struct {
	int fd;
	unsigned number;	  /* of those accepted, from 1 */
	in_addr_t peer;		  /* in network byte order */
	char buffer[BLOCK_BYTES]; /* input that was not used yet */
	size_t length;
	char head[HEAD_BYTES_MAX];
	char method[16], path[256];
	char id[HL_NAME_MAX];	   /* of the call that a response is for */
	char send_id[HL_NAME_MAX]; /* of the send that a response is for */
	uint64_t body_bytes, body_hash;
	const struct late *late;	/* the second response that is due */
	char late_id[HL_NAME_MAX];	/* of the call that gets it */
	char late_send_id[HL_NAME_MAX]; /* of the send that gets it */
	unsigned late_after; /* responses before it; 0: none is due */
	bool late_at_next;   /* it is sent once the next request has come */
} connection_t;

static bool fill(connection_t *conn, size_t max)
{
	ssize_t n = recv(conn->fd, conn->buffer + conn->length,
			 MIN(max, sizeof(conn->buffer) - conn->length), 0);

	if (n <= 0)
		return false;
	conn->length += (size_t)n;
	return true;
}

static void consume(connection_t *conn, size_t length)
{
	conn->length -= length;
	memmove(conn->buffer, conn->buffer + length, conn->length);
}

static bool read_head(connection_t *conn)
{
	char *end;
	size_t length;

	while (!(end = memmem(conn->buffer, conn->length, "\r\n\r\n", 4)))
		if (!fill(conn, SIZE_MAX))
			return false;
	length = (size_t)(end - conn->buffer) + 4;
	if (length >= sizeof(conn->head))
		return false;
	memcpy(conn->head, conn->buffer, length);
	conn->head[length] = '\0';
	consume(conn, length);
	return sscanf(conn->head, "%15s %255s", conn->method, conn->path) == 2;
}

/* Copies the last value of a request header; "-" if it is absent, or if the header
   set lacks it and @name is NULL. */
static void head_value(const connection_t *conn, const char *name, char *out,
		       size_t size)
{
	char **lines;
	size_t length;
	unsigned i;

	g_strlcpy(out, "-", size);
	if (!name)
		return;
	lines = g_strsplit(conn->head, "\r\n", -1);
	length = strlen(name);
	for (i = 1; lines[i]; i++)
		if (!strncasecmp(lines[i], name, length) &&
		    lines[i][length] == ':')
			g_strlcpy(out, g_strstrip(lines[i] + length + 1), size);
	g_strfreev(lines);
}

static void hash_bytes(connection_t *conn, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++)
		conn->body_hash = (conn->body_hash ^
				   (unsigned char)conn->buffer[i]) *
				  FNV_PRIME;
	conn->body_bytes += length;
	consume(conn, length);
}

/* Reads @left bytes of the body; false if the connection ends before. */
static bool read_length(connection_t *conn, uint64_t left, bool slow)
{
	while (left) {
		size_t used;

		if (!conn->length &&
		    !fill(conn, slow ? SLOW_PIECE_BYTES : SIZE_MAX))
			return false;
		used = MIN(conn->length, left);
		hash_bytes(conn, used);
		left -= used;
		if (slow)
			g_usleep(SLOW_PAUSE_USEC);
	}
	return true;
}

/* Reads one line into @line; false if the connection ends before. */
static bool read_line(connection_t *conn, char *line, size_t size)
{
	char *end;
	size_t length;

	while (!(end = memmem(conn->buffer, conn->length, "\r\n", 2)))
		if (!fill(conn, SIZE_MAX))
			return false;
	length = (size_t)(end - conn->buffer);
	g_strlcpy(line, "", size);
	memcpy(line, conn->buffer, MIN(length, size - 1));
	line[MIN(length, size - 1)] = '\0';
	consume(conn, length + 2);
	return true;
}

static bool read_chunks(connection_t *conn, bool slow)
{
	char line[64];
	uint64_t size;

	for (;;) {
		if (!read_line(conn, line, sizeof(line)))
			return false;
		size = g_ascii_strtoull(line, NULL, 16);
		if (!size)
			return read_line(conn, line, sizeof(line));
		if (!read_length(conn, size, slow) ||
		    !read_line(conn, line, sizeof(line)))
			return false;
	}
}

static bool read_body(connection_t *conn)
{
	bool slow = strstr(conn->path, "/slow") != NULL;
	char value[64];

	head_value(conn, "Transfer-Encoding", value, sizeof(value));
	if (strcmp(value, "-"))
		return read_chunks(conn, slow);
	head_value(conn, "Content-Length", value, sizeof(value));
	return read_length(conn, g_ascii_strtoull(value, NULL, 10), slow);
}

static void record_call(const connection_t *conn, const char *result)
{
	fprintf(record_file,
		"copy=%s method=%s url=%s call=%s body=%" PRIu64
		" hash=%016" PRIx64
		" result=%s connection=%u send=%s at_ms=%" PRId64 "\n",
		opt_id, conn->method, conn->path, conn->id, conn->body_bytes,
		conn->body_hash, result, conn->number, conn->send_id,
		time_now() / USEC_PER_MS);
	fflush(record_file);
}

/* Adds a header, unless it has no value or the header set lacks it. */
static void add_header(GString *text, const char *name, const char *value)
{
	if (name && strcmp(value, "-"))
		g_string_append_printf(text, "%s: %s\r\n", name, value);
}

/* Adds the header that declares a refused call not run. */
static void add_refusal(GString *text)
{
	if (headers->native)
		add_header(text, "Hemlock-Outcome", "not-run");
	else
		add_header(text, headers->not_run, "1");
}

/* Writes a status line and the headers of this copy, without the empty line. */
static bool send_head(const connection_t *conn, const char *status,
		      const char *more)
{
	GString *text = g_string_new("");
	bool leaves = opt_leaving || strstr(conn->path, "/leaving");
	char load[64];
	bool sent;

	g_string_append_printf(text, "HTTP/1.1 %s\r\n", status);
	add_header(text, headers->responding_copy, opt_id);
	g_snprintf(load, sizeof(load), "0,0,%d,100", opt_slots);
	add_header(text, headers->load, load);
	add_header(text, headers->call_id, conn->id);
	if (opt_echo_send)
		add_header(text, headers->send_id, conn->send_id);
	if (!g_str_has_prefix(status, "503"))
		add_header(text, headers->signature, opt_id);
	else
		add_refusal(text);
	if (leaves)
		add_header(text, headers->leaving, "1");
	if (__atomic_load_n(&names_rate, __ATOMIC_RELAXED))
		g_string_append_printf(text, "%s: %d.0\r\n", headers->rate,
				       opt_rate);
	g_string_append(text, more);
	sent = standin_send(conn->fd, text->str, text->len);
	g_string_free(text, TRUE);
	return sent;
}

static bool send_response(const connection_t *conn, const char *status,
			  const char *more, const char *body)
{
	char *fields = g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s", more,
				       strlen(body), body);
	bool sent = send_head(conn, status, fields);

	g_free(fields);
	return sent;
}

/* Sends @text again and again until the peer closes the connection; returns
   false, as the connection is of no further use. */
static bool send_endless(const connection_t *conn, const char *text)
{
	GString *block = g_string_new("");
	uint64_t sent = 0;
	char result[64];

	while (block->len < BLOCK_BYTES)
		g_string_append(block, text);
	while (standin_send(conn->fd, block->str, block->len))
		sent += block->len;
	g_string_free(block, TRUE);
	g_snprintf(result, sizeof(result), "closed-%s",
		   sent < RECORD_BYTES_MAX * 8 ? "early" : "late");
	record_call(conn, result);
	return false;
}

static const char chunked[] = "Transfer-Encoding: chunked\r\n\r\n";

static const struct {
	const char *word, *before, *repeated;
} endless[] = {
	{ "/endless-head", "", "X-More: bytes\r\n" },
	{ "/endless-line", "X-More: ", "bytes" },
	{ "/endless-body", chunked, "5\r\nbytes\r\n" },
	{ "/endless-chunk-line",
	  "Transfer-Encoding: chunked\r\n\r\n5;more=", "bytes" },
	{ "/endless-trailer",
	  "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n",
	  "X-More: bytes\r\n" },
	{ "/endless-excess", "Content-Length: 5\r\n\r\nbytes", "bytes" },
};

/* Handles a path that asks for bytes without end; false for other paths. */
static bool serve_endless(const connection_t *conn)
{
	size_t i;

	if (!strstr(conn->path, "/endless-"))
		return false;
	record_call(conn, "run");
	if (strstr(conn->path, "/endless-interim")) {
		send_endless(conn, "HTTP/1.1 102 Processing\r\n\r\n");
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(endless); i++) {
		if (!g_str_has_suffix(conn->path, endless[i].word))
			continue;
		if (send_head(conn, "200 OK", endless[i].before))
			send_endless(conn, endless[i].repeated);
	}
	return true;
}

/* Refuses a call that asks the copy to rest; false for other paths. */
static bool serve_rest(const connection_t *conn, bool *keep)
{
	const char *rest = strstr(conn->path, "/rest-");
	char *fields;

	if (!rest)
		return false;
	record_call(conn, "shed");
	fields = g_strdup_printf("Retry-After: %s\r\n",
				 rest + strlen("/rest-"));
	*keep = send_response(conn, "503 Unavailable", fields, "");
	g_free(fields);
	return true;
}

/* Handles a path that responds before the body; false for other paths. */
static bool serve_early(connection_t *conn, bool *keep)
{
	if (!strstr(conn->path, "/early"))
		return false;
	*keep = false;
	if (strstr(conn->path, "/early-full")) {
		record_call(conn, "shed");
		send_response(conn, "503 Unavailable", "", "");
		shutdown(conn->fd, SHUT_WR);
		/* A close with unread bytes could take the response back. */
		g_usleep(G_USEC_PER_SEC);
		return true;
	}
	record_call(conn, "run");
	if (!send_response(conn, "200 OK", "", "early\n"))
		return true;
	if (strstr(conn->path, "/early-stop")) {
		g_usleep(5 * G_USEC_PER_SEC);
		return true;
	}
	*keep = read_body(conn);
	record_call(conn, *keep ? "body-read" : "body-cut");
	return true;
}

/* Ends the connection of a path that asks for it before the call has run; false
   for other paths. */
static bool serve_lost(connection_t *conn)
{
	char value[64];

	if (strstr(conn->path, "/lost-head")) {
		record_call(conn, "lost");
		return true;
	}
	if (!strstr(conn->path, "/lost-body"))
		return false;
	head_value(conn, "Content-Length", value, sizeof(value));
	read_length(conn, g_ascii_strtoull(value, NULL, 10) / 2, false);
	record_call(conn, "lost");
	standin_reset_at_close(conn->fd);
	return true;
}

/* Whether the response to a call that ran is lost with its connection. */
static bool serve_loses_response(const connection_t *conn)
{
	if (strstr(conn->path, "/lost-reset")) {
		standin_reset_at_close(conn->fd);
		return true;
	}
	return strstr(conn->path, "/lost-run") != NULL;
}

/* The addresses whose paths are cut, and all connections. */
typedef struct {
	in_addr_t address;
	char how[16];
} cut_t;

static pthread_mutex_t cut_lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *connections; /* connection_t, guarded by cut_lock */
static cut_t cuts[CUTS_MAX];   /* guarded by cut_lock */
static unsigned cut_count;     /* guarded by cut_lock */

/* Whether segments of open connections to an address are dropped. */
static bool cut_hangs(in_addr_t address)
{
	bool hangs = false;
	unsigned i;

	pthread_mutex_lock(&cut_lock);
	for (i = 0; i < cut_count; i++)
		hangs = hangs || (cuts[i].address == address &&
				  !strcmp(cuts[i].how, "hang"));
	pthread_mutex_unlock(&cut_lock);
	return hangs;
}

/* Delays a response until the path is back, as the filter of a socket drops only
   what it receives. */
static void cut_delay_response(const connection_t *conn)
{
	while (cut_hangs(conn->peer))
		g_usleep(CUT_PERIOD_USEC);
}

/* Waits if the path contains /wait-MS; false if the connection ends meanwhile. */
static bool serve_wait(const connection_t *conn)
{
	const char *wait = strstr(conn->path, "/wait-");
	struct pollfd end = { conn->fd, POLLIN, 0 };

	return !wait || !poll(&end, 1, atoi(wait + strlen("/wait-")));
}

/* Responds to a path that asks for a long body; false for other paths. */
static bool serve_long(const connection_t *conn, const char *fields, bool *keep)
{
	const char *length = strstr(conn->path, "/long-");
	char *body;

	if (!length)
		return false;
	body = g_strnfill((gsize)atoi(length + strlen("/long-")) * 1024, 'x');
	*keep = send_response(conn, "200 OK", fields, body);
	g_free(body);
	return true;
}

/* Sends a head and the first half of a body of @length bytes. */
static bool send_half(const connection_t *conn, const char *status,
		      gsize length)
{
	GString *text = g_string_new("");
	gsize i;
	bool sent;

	g_string_printf(text, "Content-Length: %zu\r\n\r\n", length);
	for (i = 0; i < length / 2; i++)
		g_string_append_c(text, 'x');
	sent = send_head(conn, status, text->str);
	g_string_free(text, TRUE);
	return sent;
}

/* Responds to a path that asks for half of a long body, and closes the connection;
   false for other paths. */
static bool serve_half(const connection_t *conn)
{
	const char *length = strstr(conn->path, "/half-");

	if (!length)
		return false;
	send_half(conn, "200 OK",
		  (gsize)atoi(length + strlen("/half-")) * 1024);
	return true;
}

/* Responds to a path that asks for a refusal with a long body, of which the second
   half comes later; false for other paths. */
static bool serve_refusal(const connection_t *conn, bool *keep)
{
	const char *word = strstr(conn->path, "/refusal-");
	gsize length;
	char *rest;

	if (!word)
		return false;
	length = (gsize)atoi(word + strlen("/refusal-")) * 1024;
	record_call(conn, "shed");
	*keep = send_half(conn, "503 Unavailable", length);
	g_usleep(REFUSAL_PAUSE_USEC);
	rest = g_strnfill(length / 2, 'x');
	*keep = *keep && standin_send(conn->fd, rest, length / 2);
	g_free(rest);
	return true;
}

/* Responds to a path that asks for a long head; false for other paths. */
static bool serve_head(const connection_t *conn, bool *keep)
{
	const char *bytes = strstr(conn->path, "/head-");
	GString *fields;
	size_t size;

	if (!bytes)
		return false;
	size = (size_t)atoi(bytes + strlen("/head-"));
	fields = g_string_new("");
	while (fields->len + 2 * HEAD_FIELD_BYTES < size)
		g_string_append_printf(fields, "X-Fill: %0*d\r\n",
				       HEAD_FIELD_BYTES - 10, 7);
	g_string_append(fields, "X-End: 1\r\n");
	if (!serve_long(conn, fields->str, keep))
		*keep = send_response(conn, "200 OK", fields->str, "head\n");
	g_string_free(fields, TRUE);
	return true;
}

/* Paths of calls that get a second response, the longest words first. */
static const struct late {
	const char *word, *status, *second_status;
	const char *more; /* header lines of the second response */
	unsigned after;	  /* responses from the call's own on */
} late[] = {
	{ "/twice-misdirected", "200 OK", "421 Misdirected", "", 1 },
	{ "/twice-refused", "200 OK", "503 Unavailable", "Retry-After: 5\r\n",
	  1 },
	{ "/fail-twice", "500 Failed", "200 OK", "", 1 },
	{ "/fail-later", "500 Failed", "200 OK", "", 2 },
	{ "/twice", "200 OK", "200 OK", "", 1 },
};

/* Responds to a path that names a status line; false for other paths. */
static bool serve_status_line(const connection_t *conn, bool *keep)
{
	static const char interim[] = "HTTP/1.1 103 Early Hints\r\n\r\n";
	const char *word = strstr(conn->path, "/status-");
	char *status;

	if (!word)
		return false;
	status = g_strdelimit(g_strdup(word + strlen("/status-")), "_", ' ');
	if (strstr(conn->path, "/interim/"))
		standin_send(conn->fd, interim, strlen(interim));
	if (strstr(conn->path, "/chunked/"))
		*keep = send_head(conn, status,
				  "Transfer-Encoding: chunked\r\n\r\n"
				  "6\r\nbytes\n\r\n0\r\n\r\n");
	else
		*keep = send_response(conn, status, "", "bytes\n");
	g_free(status);
	return true;
}

/* Returns the status for a path, and notes the call if it gets a second response. */
static const char *serve_status(connection_t *conn)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(late); i++) {
		if (!strstr(conn->path, late[i].word))
			continue;
		conn->late = &late[i];
		conn->late_after = late[i].after;
		conn->late_at_next = strstr(conn->path, "/at-next") != NULL;
		strcpy(conn->late_id, conn->id);
		strcpy(conn->late_send_id, conn->send_id);
		return late[i].status;
	}
	return "200 OK";
}

/* Waits until a second response is to be sent. */
static void serve_late_wait(const connection_t *conn)
{
	struct pollfd next = { conn->fd, POLLIN, 0 };

	if (!conn->late_at_next)
		g_usleep(LATE_PAUSE_USEC);
	else if (!conn->length)
		poll(&next, 1, LATE_NEXT_MS);
}

/* Sends a second response if it is due; false if the connection has ended. */
static bool serve_late(connection_t *conn)
{
	if (!conn->late_after || --conn->late_after)
		return true;
	serve_late_wait(conn);
	strcpy(conn->id, conn->late_id);
	strcpy(conn->send_id, conn->late_send_id);
	return send_response(conn, conn->late->second_status, conn->late->more,
			     "a late response\n");
}

/* Reads the ids of a call and its send. If the header set has no id of calls, the
   record has that of the platform. */
static void read_ids(connection_t *conn)
{
	const headers_t *names = headers->call_id ? headers :
						    headers_find("platform");

	head_value(conn, names->call_id, conn->id, sizeof(conn->id));
	head_value(conn, headers->send_id, conn->send_id,
		   sizeof(conn->send_id));
}

/* Whether a request lacks a header of the header set, or has one that only entries
   get. */
static bool has_wrong_head(const connection_t *conn)
{
	char text[HL_NAME_MAX];

	head_value(conn, "Hemlock-Hop", text, sizeof(text));
	if (strcmp(text, "-"))
		return true;
	head_value(conn, headers->expected_copy, text, sizeof(text));
	return headers->expected_copy && !strcmp(text, "-");
}

/* A response as an HTTP library makes it, which knows no header set. */
static const char bare[] = "HTTP/1.1 400 Bad Request\r\n"
			   "Content-Length: 0\r\n\r\n";

/* Serves one request; false if the connection is to be closed. */
static bool serve(connection_t *conn)
{
	char expected[HL_NAME_MAX];
	char text[64];
	bool keep = true;

	conn->body_bytes = 0;
	conn->body_hash = FNV_BASIS;
	if (!read_head(conn))
		return false;
	read_ids(conn);
	if (!strcmp(conn->path, "/health")) {
		if (opt_rate)
			record_call(conn, "probe");
		return send_response(conn, "200 OK", "", "");
	}
	head_value(conn, headers->expected_copy, expected, sizeof(expected));
	if (strcmp(expected, "-") && strcmp(expected, opt_id)) {
		record_call(conn, "misdirected");
		return send_response(conn, "421 Misdirected", "", "");
	}
	if (has_wrong_head(conn))
		record_call(conn, "wrong-head");
	if (serve_endless(conn))
		return false;
	if (serve_early(conn, &keep))
		return keep;
	if (serve_lost(conn))
		return false;
	if (!read_body(conn)) {
		record_call(conn, "body-cut");
		return false;
	}
	if (serve_rest(conn, &keep) || serve_refusal(conn, &keep))
		return keep;
	if (strstr(conn->path, "/bare-400"))
		return standin_send(conn->fd, bare, strlen(bare));
	if (strstr(conn->path, "/crash")) {
		record_call(conn, "crash");
		/* The thread sanitizer delays other ends by 1 s. */
		kill(getpid(), SIGKILL);
	}
	record_call(conn, "run");
	if (!serve_wait(conn) || serve_loses_response(conn))
		return false;
	cut_delay_response(conn);
	if (serve_half(conn))
		return false;
	if (serve_head(conn, &keep) || serve_long(conn, "", &keep) ||
	    serve_status_line(conn, &keep))
		return keep;
	g_snprintf(text, sizeof(text),
		   "bytes=%" PRIu64 " hash=%016" PRIx64 "\n", conn->body_bytes,
		   conn->body_hash);
	if (!send_response(conn, serve_status(conn), "", text))
		return false;
	return !strstr(conn->path, "/lost-idle") && serve_late(conn);
}

/* Drops the segments that a socket receives from the cut addresses. A connection
   inherits the filter of the listening socket, so it gets one of its own. */
static void cut_filter(int fd, bool all)
{
	struct sock_filter code[CUTS_MAX + 3] = {
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SKF_NET_OFF + 12),
	};
	struct sock_fprog program = { 1, code };
	unsigned i;

	for (i = 0; i < cut_count; i++)
		if (all || !strcmp(cuts[i].how, "hang"))
			code[program.len++] = (struct sock_filter)
				BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
					 ntohl(cuts[i].address), 0, 0);
	/* A match jumps to the last instruction, which drops the segment. */
	for (i = 1; i < program.len; i++)
		code[i].jt = (uint8_t)(program.len - i);
	code[program.len++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K,
							   UINT32_MAX);
	code[program.len++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0);
	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/* Makes the close of a connection a TCP reset, and ends its thread. */
static void cut_reset(const connection_t *conn)
{
	standin_reset_at_close(conn->fd);
	shutdown(conn->fd, SHUT_RD);
}

static void cut_apply_connection(const connection_t *conn)
{
	unsigned i;

	cut_filter(conn->fd, false);
	for (i = 0; i < cut_count; i++)
		if (conn->peer == cuts[i].address &&
		    !strcmp(cuts[i].how, "reset"))
			cut_reset(conn);
}

static void cut_read(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	char address[64];
	unsigned i;

	cut_count = 0;
	for (i = 0; lines[i]; i++) {
		cut_t *cut = &cuts[cut_count];

		if (!*lines[i])
			continue;
		if (cut_count == CUTS_MAX)
			errx(1, "%s has more than %d addresses", opt_cut,
			     CUTS_MAX);
		if (sscanf(lines[i], "%63s %15s", address, cut->how) != 2)
			errx(1, "%s: no address and how it is cut: %s", opt_cut,
			     lines[i]);
		cut->address = inet_addr(address);
		cut_count++;
	}
	g_strfreev(lines);
}

/* Writes the cuts that are in force to the file that tests wait for. */
static void cut_record(const char *text)
{
	char *path = g_strdup_printf("%s.%s", opt_cut, opt_id);
	FILE *file = fopen(path, "w");

	if (!file || fputs(text, file) < 0 || fclose(file))
		err(1, "%s", path);
	g_free(path);
}

/* Applies the file of cuts whenever it has changed. */
static void *cut_main(void *context)
{
	int listener = GPOINTER_TO_INT(context);
	char *last = g_strdup("");
	char *text = NULL;
	unsigned i;

	for (;; g_usleep(CUT_PERIOD_USEC)) {
		if (!g_file_get_contents(opt_cut, &text, NULL, NULL))
			continue;
		if (!strcmp(text, last)) {
			g_free(text);
			continue;
		}
		g_free(last);
		last = text;
		pthread_mutex_lock(&cut_lock);
		cut_read(text);
		cut_filter(listener, true);
		for (i = 0; i < connections->len; i++)
			cut_apply_connection(connections->pdata[i]);
		pthread_mutex_unlock(&cut_lock);
		cut_record(text);
	}
	return NULL;
}

static void connection_add(connection_t *conn)
{
	struct sockaddr_in peer = { 0 };
	socklen_t size = sizeof(peer);

	getpeername(conn->fd, (struct sockaddr *)&peer, &size);
	conn->peer = peer.sin_addr.s_addr;
	pthread_mutex_lock(&cut_lock);
	g_ptr_array_add(connections, conn);
	cut_filter(conn->fd, false);
	pthread_mutex_unlock(&cut_lock);
}

static void *connection_main(void *context)
{
	connection_t *conn = context;

	while (serve(conn))
		;
	pthread_mutex_lock(&cut_lock);
	g_ptr_array_remove_fast(connections, conn);
	close(conn->fd);
	pthread_mutex_unlock(&cut_lock);
	g_free(conn);
	return NULL;
}

static void accept_connections(int listener)
{
	pthread_attr_t attr;
	pthread_t thread;
	unsigned accepted = 0;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	for (;;) {
		connection_t *conn = g_new0(connection_t, 1);

		conn->fd = accept(listener, NULL, NULL);
		if (conn->fd < 0) {
			g_free(conn);
			continue;
		}
		conn->number = ++accepted;
		connection_add(conn);
		if (!pthread_create(&thread, &attr, connection_main, conn))
			continue;
		pthread_mutex_lock(&cut_lock);
		g_ptr_array_remove_fast(connections, conn);
		pthread_mutex_unlock(&cut_lock);
		close(conn->fd);
		g_free(conn);
	}
}

static void on_rate_signal(int number)
{
	__atomic_store_n(&names_rate, number == SIGUSR1, __ATOMIC_RELAXED);
}

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &opt_address,
	  "address to listen on", "IP:PORT" },
	{ "id", 0, 0, G_OPTION_ARG_STRING, &opt_id, "instance id of the copy",
	  "ID" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots,
	  "slots in the reported load", "N" },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &opt_rate,
	  "calls per second to name in responses from SIGUSR1 to SIGUSR2",
	  "N" },
	{ "leaving", 0, 0, G_OPTION_ARG_NONE, &opt_leaving,
	  "say in every response that the copy leaves", NULL },
	{ "interface", 0, 0, G_OPTION_ARG_STRING, &opt_interface,
	  "header set; default: platform", "NAME" },
	{ "echo-send", 0, 0, G_OPTION_ARG_NONE, &opt_echo_send,
	  "send back the id of each send", NULL },
	{ "cut", 0, 0, G_OPTION_ARG_STRING, &opt_cut,
	  "file with the addresses whose paths to the copy are cut", "FILE" },
	{ "log", 0, 0, G_OPTION_ARG_STRING, &opt_log,
	  "file to which calls are recorded", "FILE" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	pthread_t cutter;
	gboolean parsed;
	int listener;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !opt_address || !opt_id || !opt_log)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_rate_signal);
	signal(SIGUSR2, on_rate_signal);
	headers = headers_find(opt_interface ? opt_interface : "platform");
	if (!headers)
		return 2;
	record_file = fopen(opt_log, "a");
	connections = g_ptr_array_new();
	listener = standin_listen(opt_address);
	if (!record_file || listener < 0)
		return 1;
	if (opt_cut)
		cut_record("");
	if (opt_cut &&
	    pthread_create(&cutter, NULL, cut_main, GINT_TO_POINTER(listener)))
		return 1;
	puts("ready");
	fflush(stdout);
	accept_connections(listener);
	return 0;
}
