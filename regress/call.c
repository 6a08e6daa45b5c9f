/*
 * One HTTP call, for scripts. Prints the status, the headers asked for and
 * what is known of the body; `cut` when the answer ended early.
 *
 * Exit status: 0 a whole answer, 3 cut, 4 no connection, 5 timed out,
 * 6 closed without an answer, 2 usage.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "hemlock.h"

#define SHOWN_MAX 16
#define FNV_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

enum {
	END_WHOLE,
	END_USAGE = 2,
	END_CUT,
	END_CONNECT,
	END_TIMEOUT,
	END_CLOSED
};

static gchar *opt_method = "GET", **opt_headers, **opt_show, *opt_data;
static gchar *opt_tenant, *opt_class, *opt_service, *opt_raw;
static gint opt_size = -1, opt_timeout_ms = 10000, opt_times = 1;
static gboolean opt_chunked, opt_body, opt_time, opt_hash;

typedef struct {
	uint64_t size, hash;
	GString *text;
	char *headers[SHOWN_MAX]; /* in the order of opt_show */
	int64_t to_send;
	size_t sent;
	bool head_ended;
} exchange_t;

static size_t body_write(char *data, size_t size, size_t count, void *cls)
{
	exchange_t *exchange = cls;
	size_t i;

	for (i = 0; i < size * count; i++)
		exchange->hash = (exchange->hash ^ (unsigned char)data[i]) *
				 FNV_PRIME;
	exchange->size += size * count;
	if (opt_body)
		g_string_append_len(exchange->text, data,
				    (gssize)(size * count));
	return size * count;
}

/*
 * The body comes from here and cannot be rewound, so that libcurl never
 * sends it again on its own when a kept connection breaks.
 */
static size_t body_read(char *data, size_t size, size_t count, void *cls)
{
	exchange_t *exchange = cls;
	size_t n = (size_t)MIN((int64_t)(size * count), exchange->to_send);

	if (opt_data)
		memcpy(data, opt_data + exchange->sent, n);
	else
		memset(data, 'x', n);
	exchange->sent += n;
	exchange->to_send -= (int64_t)n;
	return n;
}

/* Which of the headers asked for a line holds, or -1. */
static int shown(const char *line)
{
	char *colon = strchr(line, ':');
	int i;

	for (i = 0; colon && opt_show && opt_show[i]; i++) {
		if (strlen(opt_show[i]) == (size_t)(colon - line) &&
		    !g_ascii_strncasecmp(line, opt_show[i], colon - line))
			return i;
	}
	return -1;
}

static void headers_clear(exchange_t *exchange)
{
	int i;

	for (i = 0; i < SHOWN_MAX; i++)
		g_clear_pointer(&exchange->headers[i], g_free);
}

static size_t header_write(char *data, size_t size, size_t count, void *cls)
{
	exchange_t *exchange = cls;
	char *line = g_strstrip(g_strndup(data, size * count));
	int at;

	exchange->head_ended = !*line;
	if (g_str_has_prefix(line, "HTTP/"))
		headers_clear(exchange);
	at = shown(line);
	if (at >= 0 && at < SHOWN_MAX) {
		g_free(exchange->headers[at]);
		exchange->headers[at] = line;
		return size * count;
	}
	g_free(line);
	return size * count;
}

static struct curl_slist *request_headers(void)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	const char *names[] = { "Host", "Hemlock-Tenant", "Hemlock-Class" };
	const char *values[] = { opt_service, opt_tenant, opt_class };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *line;

		if (!values[i])
			continue;
		line = g_strdup_printf("%s: %s", names[i], values[i]);
		list = curl_slist_append(list, line);
		g_free(line);
	}
	for (i = 0; opt_headers && opt_headers[i]; i++)
		list = curl_slist_append(list, opt_headers[i]);
	if (opt_chunked)
		list = curl_slist_append(list, "Transfer-Encoding: chunked");
	return list;
}

static void prepare(CURL *easy, exchange_t *exchange, const char *url,
		    struct curl_slist *headers)
{
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, body_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_write);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)opt_timeout_ms);
	if (!strcmp(opt_method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (exchange->to_send >= 0) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, body_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, exchange);
		if (!opt_chunked)
			curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
					 (curl_off_t)exchange->to_send);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, opt_method);
}

static int end_of(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return END_WHOLE;
	case CURLE_COULDNT_CONNECT:
		return END_CONNECT;
	case CURLE_OPERATION_TIMEDOUT:
		return END_TIMEOUT;
	case CURLE_GOT_NOTHING:
		return END_CLOSED;
	default:
		return END_CUT;
	}
}

static void report(CURL *easy, const exchange_t *exchange, int end)
{
	static const char *const words[] = {
		"whole", "", "", "cut", "no-connection", "timed-out", "closed"
	};
	curl_off_t total = 0;
	long status = 0;
	int i;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &total);
	printf("status=%ld end=%s size=%" PRIu64, status, words[end],
	       exchange->size);
	if (opt_hash)
		printf(" hash=%016" PRIx64, exchange->hash);
	if (opt_time)
		printf(" usec=%" PRId64, (int64_t)total);
	printf("\n");
	for (i = 0; i < SHOWN_MAX; i++) {
		if (exchange->headers[i])
			printf("%s\n", exchange->headers[i]);
	}
	if (opt_body)
		printf("%s\n", exchange->text->str);
	fflush(stdout);
}

static int call(CURL *easy, const char *url, struct curl_slist *headers)
{
	exchange_t exchange = { .hash = FNV_BASIS,
				.to_send = opt_data ?
						   (int64_t)strlen(opt_data) :
						   opt_size,
				.text = g_string_new("") };
	int end;

	prepare(easy, &exchange, url, headers);
	end = end_of(curl_easy_perform(easy));
	/* libcurl takes a head that breaks off for a whole answer. */
	if (end == END_WHOLE && !exchange.head_ended)
		end = END_CUT;
	report(easy, &exchange, end);
	g_string_free(exchange.text, TRUE);
	headers_clear(&exchange);
	return end;
}

/* Send bytes as they are; print all that comes until a close or a time-out. */
static int raw_call(const char *address, const char *escaped)
{
	struct timeval patience = { opt_timeout_ms / 1000,
				    opt_timeout_ms % 1000 * 1000 };
	char *text = g_strcompress(escaped), *shown_text, data[4096];
	GString *all = g_string_new("");
	struct sockaddr_storage storage;
	int fd = -1, end = END_CONNECT;
	unsigned length;
	ssize_t n = -1;

	if (hl_address_parse(address, &storage, &length))
		goto out;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 || connect(fd, (struct sockaddr *)&storage, length))
		goto out;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) >= 0) {
		while ((n = recv(fd, data, sizeof(data), 0)) > 0)
			g_string_append_len(all, data, n);
	}
	end = n == 0 ? END_CLOSED : END_WHOLE;
	shown_text = g_strescape(all->str, NULL);
	printf("%s\n%s\n", shown_text, n == 0 ? "closed" : "open");
	g_free(shown_text);
out:
	if (fd >= 0)
		close(fd);
	g_string_free(all, TRUE);
	g_free(text);
	return end;
}

static const GOptionEntry options[] = {
	{ "raw", 0, 0, G_OPTION_ARG_STRING, &opt_raw,
	  "send this to the address IP:PORT instead, C escapes allowed",
	  "TEXT" },
	{ "method", 'X', 0, G_OPTION_ARG_STRING, &opt_method, "of the call",
	  "WORD" },
	{ "header", 'H', 0, G_OPTION_ARG_STRING_ARRAY, &opt_headers,
	  "to send; may be repeated", "LINE" },
	{ "service", 's', 0, G_OPTION_ARG_STRING, &opt_service, "as Host",
	  "NAME" },
	{ "tenant", 0, 0, G_OPTION_ARG_STRING, &opt_tenant, "of the caller",
	  "NAME" },
	{ "class", 0, 0, G_OPTION_ARG_STRING, &opt_class, "of the caller",
	  "NAME" },
	{ "data", 'd', 0, G_OPTION_ARG_STRING, &opt_data, "body to send",
	  "TEXT" },
	{ "size", 0, 0, G_OPTION_ARG_INT, &opt_size, "send a body of so many x",
	  "BYTES" },
	{ "chunked", 0, 0, G_OPTION_ARG_NONE, &opt_chunked,
	  "send the body in chunks", NULL },
	{ "timeout", 't', 0, G_OPTION_ARG_INT, &opt_timeout_ms, "of the call",
	  "MS" },
	{ "times", 'n', 0, G_OPTION_ARG_INT, &opt_times,
	  "calls, one after the other on a kept connection", "N" },
	{ "show", 'S', 0, G_OPTION_ARG_STRING_ARRAY, &opt_show,
	  "print this header of the answer; may be repeated", "NAME" },
	{ "body", 'b', 0, G_OPTION_ARG_NONE, &opt_body, "print the body",
	  NULL },
	{ "hash", 0, 0, G_OPTION_ARG_NONE, &opt_hash,
	  "print FNV-1a of the body", NULL },
	{ "time", 0, 0, G_OPTION_ARG_NONE, &opt_time, "print how long it took",
	  NULL },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("URL");
	struct curl_slist *headers;
	int i, end = END_USAGE;
	CURL *easy;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || argc != 2) {
		fprintf(stderr, "usage: call [OPTIONS] URL; see --help\n");
		g_option_context_free(context);
		return END_USAGE;
	}
	g_option_context_free(context);
	if (opt_raw)
		return raw_call(argv[1], opt_raw);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	headers = request_headers();
	easy = curl_easy_init();
	for (i = 0; i < opt_times; i++)
		end = call(easy, argv[1], headers);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	curl_global_cleanup();
	return end;
}
