/*
 * call: makes HTTP calls for the regression scripts. For each call it prints
 * the status, how the call ended, the size of the body and the response headers
 * selected with --show.
 *
 * Exit status, that of the last call: 0 complete response, 2 usage error,
 * 3 truncated response, 4 connection failed, 5 timeout, 6 connection closed
 * without a response.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "hemlock.h"

#define SHOW_HEADERS_MAX 16
/* Parameters of the 64-bit FNV-1a hash. */
#define FNV_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

/* How a call ended; also the exit status. */
enum {
	RESULT_COMPLETE,
	RESULT_USAGE = 2,
	RESULT_TRUNCATED,
	RESULT_CONNECT_FAILED,
	RESULT_TIMEOUT,
	RESULT_CLOSED
};

static gchar *opt_method = "GET", **opt_headers, **opt_show, *opt_data;
static gchar *opt_tenant, *opt_class, *opt_service, *opt_raw;
static gint opt_size = -1, opt_timeout_ms = 10000, opt_count = 1;
static gboolean opt_chunked, opt_body, opt_time, opt_hash;

/* One request and its response. */
typedef struct {
	uint64_t size, hash; /* size in bytes and hash of the response body */
	GString *text;	     /* response body, filled only with --body */
	char *headers
		[SHOW_HEADERS_MAX]; /* header lines, in the order of opt_show */
	int64_t unsent; /* bytes of the request body to send; -1: no body */
	size_t sent;
	bool headers_complete; /* the empty line after them has arrived */
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
 * Read callback for the request body. There is no seek callback, so libcurl
 * cannot rewind the body and never resends a request by itself when a reused
 * connection breaks.
 */
static size_t body_read(char *data, size_t size, size_t count, void *cls)
{
	exchange_t *exchange = cls;
	size_t n = (size_t)MIN((int64_t)(size * count), exchange->unsent);

	if (opt_data)
		memcpy(data, opt_data + exchange->sent, n);
	else
		memset(data, 'x', n);
	exchange->sent += n;
	exchange->unsent -= (int64_t)n;
	return n;
}

/* Returns the index in opt_show of the header on a line, or -1. */
static int find_shown_header(const char *line)
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

	for (i = 0; i < SHOW_HEADERS_MAX; i++)
		g_clear_pointer(&exchange->headers[i], g_free);
}

static size_t header_write(char *data, size_t size, size_t count, void *cls)
{
	exchange_t *exchange = cls;
	char *line = g_strstrip(g_strndup(data, size * count));
	int i;

	exchange->headers_complete = !*line;
	if (g_str_has_prefix(line, "HTTP/"))
		headers_clear(exchange);
	i = find_shown_header(line);
	if (i >= 0 && i < SHOW_HEADERS_MAX) {
		g_free(exchange->headers[i]);
		exchange->headers[i] = line;
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

static void prepare_request(CURL *easy, exchange_t *exchange, const char *url,
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
	if (exchange->unsent >= 0) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, body_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, exchange);
		if (!opt_chunked)
			curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
					 (curl_off_t)exchange->unsent);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, opt_method);
}

static int result_from_curl(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return RESULT_COMPLETE;
	case CURLE_COULDNT_CONNECT:
		return RESULT_CONNECT_FAILED;
	case CURLE_OPERATION_TIMEDOUT:
		return RESULT_TIMEOUT;
	case CURLE_GOT_NOTHING:
		return RESULT_CLOSED;
	default:
		return RESULT_TRUNCATED;
	}
}

static void print_result(CURL *easy, const exchange_t *exchange, int result)
{
	static const char *const result_names[] = {
		"whole", "", "", "cut", "no-connection", "timed-out", "closed"
	};
	curl_off_t total = 0;
	long status = 0;
	int i;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &total);
	printf("status=%ld end=%s size=%" PRIu64, status, result_names[result],
	       exchange->size);
	if (opt_hash)
		printf(" hash=%016" PRIx64, exchange->hash);
	if (opt_time)
		printf(" usec=%" PRId64, (int64_t)total);
	printf("\n");
	for (i = 0; i < SHOW_HEADERS_MAX; i++) {
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
				.unsent = opt_data ? (int64_t)strlen(opt_data) :
						     opt_size,
				.text = g_string_new("") };
	int result;

	prepare_request(easy, &exchange, url, headers);
	result = result_from_curl(curl_easy_perform(easy));
	/*
	 * libcurl returns success when the connection closes in the middle of
	 * the response headers.
	 */
	if (result == RESULT_COMPLETE && !exchange.headers_complete)
		result = RESULT_TRUNCATED;
	print_result(easy, &exchange, result);
	g_string_free(exchange.text, TRUE);
	headers_clear(&exchange);
	return result;
}

/*
 * Sends @escaped after the expansion of its C escapes and prints all bytes
 * received until the peer closes the connection, which returns RESULT_CLOSED,
 * or the timeout expires, which returns RESULT_COMPLETE.
 */
static int raw_call(const char *address, const char *escaped)
{
	struct timeval timeout = { opt_timeout_ms / 1000,
				   opt_timeout_ms % 1000 * 1000 };
	char *text = g_strcompress(escaped), *escaped_response, data[4096];
	GString *all = g_string_new("");
	struct sockaddr_storage storage;
	int fd = -1, result = RESULT_CONNECT_FAILED;
	unsigned length;
	ssize_t n = -1;

	if (hl_address_parse(address, &storage, &length))
		goto out;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 || connect(fd, (struct sockaddr *)&storage, length))
		goto out;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) >= 0) {
		while ((n = recv(fd, data, sizeof(data), 0)) > 0)
			g_string_append_len(all, data, n);
	}
	result = n == 0 ? RESULT_CLOSED : RESULT_COMPLETE;
	escaped_response = g_strescape(all->str, NULL);
	printf("%s\n%s\n", escaped_response, n == 0 ? "closed" : "open");
	g_free(escaped_response);
out:
	if (fd >= 0)
		close(fd);
	g_string_free(all, TRUE);
	g_free(text);
	return result;
}

static const GOptionEntry options[] = {
	{ "raw", 0, 0, G_OPTION_ARG_STRING, &opt_raw,
	  "send TEXT, which may have C escapes, to the address IP:PORT",
	  "TEXT" },
	{ "method", 'X', 0, G_OPTION_ARG_STRING, &opt_method, "request method",
	  "WORD" },
	{ "header", 'H', 0, G_OPTION_ARG_STRING_ARRAY, &opt_headers,
	  "request header; may be repeated", "LINE" },
	{ "service", 's', 0, G_OPTION_ARG_STRING, &opt_service,
	  "value of the Host header", "NAME" },
	{ "tenant", 0, 0, G_OPTION_ARG_STRING, &opt_tenant,
	  "value of Hemlock-Tenant", "NAME" },
	{ "class", 0, 0, G_OPTION_ARG_STRING, &opt_class,
	  "value of Hemlock-Class", "NAME" },
	{ "data", 'd', 0, G_OPTION_ARG_STRING, &opt_data, "request body",
	  "TEXT" },
	{ "size", 0, 0, G_OPTION_ARG_INT, &opt_size,
	  "size of a generated request body", "BYTES" },
	{ "chunked", 0, 0, G_OPTION_ARG_NONE, &opt_chunked,
	  "use chunked transfer encoding", NULL },
	{ "timeout", 't', 0, G_OPTION_ARG_INT, &opt_timeout_ms,
	  "timeout of a call", "MS" },
	{ "times", 'n', 0, G_OPTION_ARG_INT, &opt_count,
	  "number of sequential calls on one connection", "N" },
	{ "show", 'S', 0, G_OPTION_ARG_STRING_ARRAY, &opt_show,
	  "print this response header; may be repeated", "NAME" },
	{ "body", 'b', 0, G_OPTION_ARG_NONE, &opt_body,
	  "print the response body", NULL },
	{ "hash", 0, 0, G_OPTION_ARG_NONE, &opt_hash,
	  "print the FNV-1a hash of the response body", NULL },
	{ "time", 0, 0, G_OPTION_ARG_NONE, &opt_time,
	  "print the duration of the call", NULL },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("URL");
	struct curl_slist *headers;
	int i, result = RESULT_USAGE;
	CURL *easy;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || argc != 2) {
		fprintf(stderr, "usage: call [OPTIONS] URL; see --help\n");
		g_option_context_free(context);
		return RESULT_USAGE;
	}
	g_option_context_free(context);
	if (opt_raw)
		return raw_call(argv[1], opt_raw);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	headers = request_headers();
	easy = curl_easy_init();
	for (i = 0; i < opt_count; i++)
		result = call(easy, argv[1], headers);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	curl_global_cleanup();
	return result;
}
