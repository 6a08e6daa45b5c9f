/*
 * standin-stutter: a stand-in for one copy that uses the header set "platform"
 * and chooses at random, by --seed, how it responds to each request: whole, with
 * a failure or a refusal, after a pause, in chunks, cut, with a second answer of
 * the same call later on the connection, or not at all. Each answer has a
 * signature of its own, and a body by answer-bytes.h. The record has a line for
 * each answer: the path of the call, its signature, its status, and the result:
 *
 *	run		the call ran
 *	not-run		the call was refused
 *	late		the answer is a second one
 *
 * With --cut, it reads a file each 10 ms: while it has an IP address, segments of
 * that address to the listening socket are dropped, and its open connections are
 * reset at the next request.
 */
#include <arpa/inet.h>
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
#include "answer-bytes.h"

#define BLOCK_BYTES 65536
#define PATH_MAX_BYTES 256
#define WAIT_MS_MAX 120
#define LATE_MS_MAX 80
#define LATE_EXCHANGES_MAX 3
#define CHUNK_BYTES_MAX 30000
#define CUT_PERIOD_USEC 10000

/* How the body of an answer is sent, and how the answer ends. */
typedef enum { FORM_LENGTH, FORM_CHUNKS, FORM_CLOSE, FORM_COUNT } form_t;
typedef enum { END_WHOLE, END_CUT, END_RESET, END_COUNT } end_t;

static const char *const form_names[FORM_COUNT] = { "length", "chunks",
						    "close" };
static const char *const end_names[END_COUNT] = { "whole", "cut", "reset" };

/* An answer that is sent. */
typedef struct {
	unsigned status;
	bool not_run;
	char path[PATH_MAX_BYTES], id[HL_NAME_MAX], signature[HL_NAME_MAX];
	bool head_only, closes;
	form_t form;
	end_t end;
} answer_t;

typedef struct {
	int fd;
	in_addr_t peer; /* in network byte order */
	GRand *random;
	char buffer[BLOCK_BYTES]; /* input that was not used yet */
	size_t length;
	char head[BLOCK_BYTES];
	char method[16];
	answer_t answer;	 /* to the request that is read */
	answer_t late;		 /* the second answer that is due */
	bool late_due, excess;	 /* excess: bytes that are no answer are due */
	usec_t late_at;		 /* 0: after some exchanges */
	unsigned late_exchanges; /* responses before it */
} connection_t;

static gchar *opt_address, *opt_id, *opt_log, *opt_cut;
static gint opt_seed = 1, opt_slots = 4, opt_late = 4;
static const headers_t *headers;
static FILE *record_file;
static unsigned answers; /* accessed atomically */
static in_addr_t cut;	 /* accessed atomically */

/* Returns a number from 0 to @limit - 1. */
static unsigned choose(connection_t *conn, unsigned limit)
{
	return (unsigned)g_rand_int_range(conn->random, 0, (gint32)limit);
}

static void record(const answer_t *answer, const char *result)
{
	fprintf(record_file,
		"copy=%s path=%s id=%s signature=%s status=%u form=%s "
		"end=%s result=%s at_ms=%" PRId64 "\n",
		opt_id, answer->path, answer->id, answer->signature,
		answer->status, form_names[answer->form],
		end_names[answer->end], result, time_now() / USEC_PER_MS);
	fflush(record_file);
}

/* Appends the status line and the headers of an answer, without its framing. */
static void append_head(GString *text, const answer_t *answer)
{
	g_string_append_printf(text,
			       "HTTP/1.1 %u Status\r\n%s: %s\r\n"
			       "%s: 0,0,%d,100\r\n",
			       answer->status, headers->responding_copy, opt_id,
			       headers->load, opt_slots);
	if (strcmp(answer->id, "-"))
		g_string_append_printf(text, "%s: %s\r\n", headers->call_id,
				       answer->id);
	if (answer->not_run)
		g_string_append_printf(text, "%s: 1\r\n", headers->not_run);
	else
		g_string_append_printf(text, "%s: %s\r\n", headers->signature,
				       answer->signature);
	if (answer->closes)
		g_string_append(text, "Connection: close\r\n");
}

static void append_chunks(connection_t *conn, GString *text, GString *body)
{
	size_t sent = 0;

	while (sent < body->len) {
		size_t piece = 1 + choose(conn, CHUNK_BYTES_MAX);

		piece = MIN(piece, body->len - sent);
		g_string_append_printf(text, "%zx\r\n", piece);
		g_string_append_len(text, body->str + sent, (gssize)piece);
		g_string_append(text, "\r\n");
		sent += piece;
	}
	g_string_append(text, "0\r\n");
	if (choose(conn, 2))
		g_string_append(text, "X-Trailer: more\r\n");
	g_string_append(text, "\r\n");
}

/* Appends the framing and the body. */
static void append_body(connection_t *conn, GString *text,
			const answer_t *answer)
{
	uint64_t key = answer_key(answer->path, answer->signature);
	GString *body = g_string_new("");
	size_t i;

	for (i = 0; i < answer_length(key); i++)
		g_string_append_c(body, answer_byte(key, i));
	if (answer->form == FORM_CHUNKS)
		g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
	else if (answer->form == FORM_LENGTH)
		g_string_append_printf(text, "Content-Length: %zu\r\n\r\n",
				       body->len);
	else
		g_string_append(text, "\r\n");
	if (answer->head_only)
		;
	else if (answer->form == FORM_CHUNKS)
		append_chunks(conn, text, body);
	else
		g_string_append_len(text, body->str, (gssize)body->len);
	g_string_free(body, TRUE);
}

/* Sends an answer; false if the connection is to be closed. */
static bool send_answer(connection_t *conn, const answer_t *answer)
{
	bool empty = answer->status == 204 || answer->status == 304;
	GString *text = g_string_new("");
	size_t head_bytes;
	bool keep;

	append_head(text, answer);
	head_bytes = text->len;
	if (empty)
		g_string_append(text, "\r\n");
	else
		append_body(conn, text, answer);
	/* The last bytes are missing, of the body or of the head. */
	if (answer->end != END_WHOLE)
		g_string_truncate(text,
				  head_bytes +
					  choose(conn, (unsigned)(text->len -
								  head_bytes)));
	keep = standin_send(conn->fd, text->str, text->len) &&
	       answer->end == END_WHOLE && !answer->closes;
	g_string_free(text, TRUE);
	if (answer->end == END_RESET) {
		g_usleep(choose(conn, 2) * 5000);
		standin_reset_at_close(conn->fd);
	}
	return keep;
}

/* Sends what is due after an earlier answer; false if that ends the connection. */
static bool send_late(connection_t *conn)
{
	static const char excess[] = "bytes that are no answer\r\n\r\n";

	conn->late_due = false;
	if (conn->excess)
		return standin_send(conn->fd, excess, strlen(excess));
	record(&conn->late, "late");
	return send_answer(conn, &conn->late);
}

/* Waits for input until @when, and sends a late answer meanwhile if it is due.
   Returns 1 if there is input, 0 if the time is over, and -1 if the connection
   is to be closed. */
static int wait_input(connection_t *conn, usec_t when)
{
	struct pollfd input = { conn->fd, POLLIN, 0 };

	for (;;) {
		bool due = conn->late_due && conn->late_at;
		usec_t until = due ? MIN(conn->late_at, when) : when;
		usec_t left = until - time_now();
		int rc = poll(&input, 1,
			      left > 0 ? (int)(left / USEC_PER_MS) + 1 : 0);

		if (due && time_now() >= conn->late_at && !send_late(conn))
			return -1;
		if (rc)
			return rc > 0 ? 1 : -1;
		if (time_now() >= when)
			return 0;
	}
}

static bool fill(connection_t *conn)
{
	ssize_t n;

	if (conn->late_due && conn->late_at &&
	    wait_input(conn, time_now() + 60 * USEC_PER_SEC) <= 0)
		return false;
	n = recv(conn->fd, conn->buffer + conn->length,
		 sizeof(conn->buffer) - conn->length, 0);
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

/* Reads up to and with @mark into the head; false if the connection ends. */
static bool read_to(connection_t *conn, const char *mark)
{
	size_t size = strlen(mark);
	char *end;

	while (!(end = memmem(conn->buffer, conn->length, mark, size)))
		if (conn->length == sizeof(conn->buffer) || !fill(conn))
			return false;
	size += (size_t)(end - conn->buffer);
	if (size >= sizeof(conn->head))
		return false;
	memcpy(conn->head, conn->buffer, size);
	conn->head[size] = '\0';
	consume(conn, size);
	return true;
}

static void head_value(const connection_t *conn, const char *name, char *out,
		       size_t size)
{
	const char *line = conn->head;
	size_t length = strlen(name);

	g_strlcpy(out, "-", size);
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " ");
		g_strlcpy(out, line, MIN(size, strcspn(line, "\r") + 1));
	}
}

static bool read_length(connection_t *conn, uint64_t left)
{
	while (left) {
		size_t used;

		if (!conn->length && !fill(conn))
			return false;
		used = MIN(conn->length, left);
		consume(conn, used);
		left -= used;
	}
	return true;
}

static bool read_body(connection_t *conn)
{
	char value[64];
	uint64_t size;

	head_value(conn, "Transfer-Encoding", value, sizeof(value));
	if (!strcmp(value, "-")) {
		head_value(conn, "Content-Length", value, sizeof(value));
		return read_length(conn, g_ascii_strtoull(value, NULL, 10));
	}
	do {
		if (!read_to(conn, "\r\n"))
			return false;
		size = g_ascii_strtoull(conn->head, NULL, 16);
	} while (read_length(conn, size) && read_to(conn, "\r\n") && size);
	return !size;
}

/* Gives an answer a signature of its own. */
static void sign(answer_t *answer)
{
	g_snprintf(answer->signature, sizeof(answer->signature), "%s.%u",
		   opt_id, __atomic_add_fetch(&answers, 1, __ATOMIC_RELAXED));
}

/* Chooses a status; most answers are successes. */
static void choose_status(connection_t *conn, answer_t *answer)
{
	static const struct {
		unsigned status;
		bool not_run;
	} failures[] = {
		{ 500, false }, { 500, false }, { 503, false }, { 503, true },
		{ 421, true },	{ 429, true },	{ 204, false }, { 304, false },
	};
	unsigned at = choose(conn, 3 * G_N_ELEMENTS(failures));

	answer->status = 200;
	answer->not_run = false;
	if (at < G_N_ELEMENTS(failures)) {
		answer->status = failures[at].status;
		answer->not_run = failures[at].not_run;
	}
	sign(answer);
}

/* Chooses whether a second answer or other bytes follow, and when. */
static void choose_late(connection_t *conn)
{
	if (choose(conn, (unsigned)opt_late))
		return;
	conn->late_due = true;
	conn->excess = !choose(conn, 6);
	conn->late = conn->answer;
	conn->late.closes = false;
	conn->late.form = FORM_LENGTH;
	conn->late.end = END_WHOLE;
	choose_status(conn, &conn->late);
	conn->late_at = 0;
	conn->late_exchanges = 1 + choose(conn, LATE_EXCHANGES_MAX);
	if (choose(conn, 2))
		conn->late_at = time_now() +
				choose(conn, LATE_MS_MAX + 1) * USEC_PER_MS;
}

/* Chooses how an answer is sent. */
static void choose_form(connection_t *conn, answer_t *answer)
{
	answer->form = FORM_LENGTH;
	if (!choose(conn, 3))
		answer->form = (form_t)choose(conn, FORM_COUNT);
	answer->end = END_WHOLE;
	if (!choose(conn, 16))
		answer->end = (end_t)(1 + choose(conn, END_COUNT - 1));
	/* An answer that ends with its connection is cut by a reset only. */
	if (answer->form == FORM_CLOSE && answer->end == END_CUT)
		answer->end = END_RESET;
	answer->closes = answer->form == FORM_CLOSE || !choose(conn, 20);
}

static bool send_interim(connection_t *conn)
{
	static const char interim[] = "HTTP/1.1 103 Early\r\nX-More: 1\r\n\r\n";

	return choose(conn, 8) ||
	       standin_send(conn->fd, interim, strlen(interim));
}

/* Sends the answer that was chosen; false if the connection is to be closed. */
static bool respond(connection_t *conn)
{
	if (!send_interim(conn) || !send_answer(conn, &conn->answer))
		return false;
	if (!conn->late_due) {
		choose_late(conn);
		return true;
	}
	if (conn->late_at || --conn->late_exchanges)
		return true;
	return send_late(conn);
}

static bool serve_health(connection_t *conn)
{
	GString *text = g_string_new("");
	answer_t answer = { .status = 200, .id = "-", .signature = "health" };
	bool sent;

	append_head(text, &answer);
	g_string_append(text, "Content-Length: 0\r\n\r\n");
	sent = standin_send(conn->fd, text->str, text->len);
	g_string_free(text, TRUE);
	return sent;
}

/* Runs a call; false if the connection is to be closed. */
static bool run(connection_t *conn)
{
	answer_t *answer = &conn->answer;

	choose_status(conn, answer);
	choose_form(conn, answer);
	if (!choose(conn, 40)) {
		answer->status = 0;
		record(answer, "run");
		if (choose(conn, 2))
			standin_reset_at_close(conn->fd);
		return false;
	}
	record(answer, answer->not_run ? "not-run" : "run");
	if (!choose(conn, 2) &&
	    wait_input(conn, time_now() + (1 + choose(conn, WAIT_MS_MAX)) *
						  USEC_PER_MS))
		return false;
	return respond(conn);
}

static bool serve(connection_t *conn)
{
	answer_t *answer = &conn->answer;
	char expected[HL_NAME_MAX];

	if (!read_to(conn, "\r\n\r\n") ||
	    sscanf(conn->head, "%15s %255s", conn->method, answer->path) != 2)
		return false;
	if (__atomic_load_n(&cut, __ATOMIC_RELAXED) == conn->peer) {
		standin_reset_at_close(conn->fd);
		return false;
	}
	if (!strcmp(answer->path, "/health"))
		return serve_health(conn);
	head_value(conn, headers->call_id, answer->id, sizeof(answer->id));
	head_value(conn, headers->expected_copy, expected, sizeof(expected));
	answer->head_only = !strcmp(conn->method, "HEAD");
	if (!read_body(conn))
		return false;
	return run(conn);
}

static void *connection_main(void *context)
{
	connection_t *conn = context;

	while (serve(conn))
		;
	close(conn->fd);
	g_rand_free(conn->random);
	g_free(conn);
	return NULL;
}

/* Drops the segments that the listening socket receives from the cut address. */
static void cut_filter(int listener, in_addr_t address)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SKF_NET_OFF + 12),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(address), 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = { G_N_ELEMENTS(code), code };

	setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		   sizeof(program));
}

static void *cut_main(void *context)
{
	int listener = GPOINTER_TO_INT(context);
	in_addr_t last = 0;
	char *text = NULL;

	for (;; g_usleep(CUT_PERIOD_USEC)) {
		in_addr_t now = 0;

		if (!g_file_get_contents(opt_cut, &text, NULL, NULL))
			continue;
		if (*g_strstrip(text))
			now = inet_addr(text);
		g_free(text);
		if (now != last)
			cut_filter(listener, now);
		last = now;
		__atomic_store_n(&cut, now, __ATOMIC_RELAXED);
	}
	return NULL;
}

/* Starts the thread of a connection that was accepted. */
static void connection_start(int fd, const struct sockaddr_in *peer)
{
	static guint32 number;
	const guint32 seeds[] = { (guint32)opt_seed, g_str_hash(opt_id),
				  ++number };
	connection_t *conn = g_new0(connection_t, 1);
	pthread_attr_t attr;
	pthread_t thread;

	conn->fd = fd;
	conn->peer = peer->sin_addr.s_addr;
	conn->random = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	cut_filter(fd, 0);
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, connection_main, conn)) {
		close(fd);
		g_rand_free(conn->random);
		g_free(conn);
	}
	pthread_attr_destroy(&attr);
}

static void accept_connections(int listener)
{
	for (;;) {
		struct sockaddr_in peer = { 0 };
		socklen_t size = sizeof(peer);
		int fd = accept(listener, (struct sockaddr *)&peer, &size);

		if (fd >= 0)
			connection_start(fd, &peer);
	}
}

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &opt_address,
	  "address to listen on", "IP:PORT" },
	{ "id", 0, 0, G_OPTION_ARG_STRING, &opt_id, "instance id of the copy",
	  "ID" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots,
	  "slots in the reported load", "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "seed of the choices",
	  "N" },
	{ "late", 0, 0, G_OPTION_ARG_INT, &opt_late,
	  "one of how many answers is followed by a second one", "N" },
	{ "cut", 0, 0, G_OPTION_ARG_STRING, &opt_cut,
	  "file with the address whose path to the copy is cut", "FILE" },
	{ "log", 0, 0, G_OPTION_ARG_STRING, &opt_log,
	  "file to which answers are recorded", "FILE" },
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
	if (!parsed || !opt_address || !opt_id || !opt_log || opt_late < 1)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	headers = headers_find("platform");
	record_file = fopen(opt_log, "a");
	listener = standin_listen(opt_address);
	if (!record_file || listener < 0)
		return 1;
	if (opt_cut &&
	    pthread_create(&cutter, NULL, cut_main, GINT_TO_POINTER(listener)))
		return 1;
	puts("ready");
	fflush(stdout);
	accept_connections(listener);
	return 0;
}
