#include <linux/sock_diag.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <glib.h>
#include "entry-http.h"

/*
 * Responses whose heads may not fit in the memory that libmicrohttpd has for a
 * connection. The library would close the connection without a response, although
 * the call has run. They are written to the socket with one system call, and the
 * connection is closed afterwards.
 */

/* Memory for each field of a request, on 64-bit machines. */
#define DIRECT_FIELD_BYTES 64u
/* Size of libmicrohttpd's buffer for input at first. */
#define DIRECT_INPUT_BYTES (ENTRY_HTTP_HEADER_BYTES / 2)
/* Status line and fields that libmicrohttpd adds, and the alignment of its memory. */
#define DIRECT_RESERVE_BYTES 256u
/* Bytes that a socket takes at once if its memory is not known. */
#define DIRECT_SOCKET_BYTES (16u * 1024)
#define DIRECT_DATE_MAX 48 /* bytes of a Date header */

static enum MHD_Result direct_add_size(void *context, enum MHD_ValueKind kind,
				       const char *name, const char *value)
{
	size_t *size = context;

	(void)kind;
	*size += strlen(name) + strlen(value) + strlen(": \r\n");
	return MHD_YES;
}

/* Returns the number of fields of some kinds of a request. */
static size_t direct_count(const entry_request_t *req, enum MHD_ValueKind kinds)
{
	return (size_t)MHD_get_connection_values(req->connection, kinds, NULL,
						 NULL);
}

/*
 * Returns an upper bound of the input in the memory of a connection: the head of the
 * request, and what the caller may have sent after it. The buffer for it grows while
 * a head does not fit in it, by at most half of the memory that is left. Trailers may
 * enlarge it further.
 */
static size_t direct_input_max(const entry_request_t *req)
{
	if (direct_count(req, MHD_FOOTER_KIND))
		return ENTRY_HTTP_HEADER_BYTES;
	if (req->head_bytes < DIRECT_INPUT_BYTES)
		return DIRECT_INPUT_BYTES;
	return (ENTRY_HTTP_HEADER_BYTES + req->head_bytes) / 2;
}

/* Returns the size of that input, or all memory of the connection if it is unknown:
   the framing of chunked bodies is not counted. */
static size_t direct_input_size(const entry_request_t *req)
{
	int64_t size;

	if (req->has_body && req->body_length < 0)
		return ENTRY_HTTP_HEADER_BYTES;
	size = entry_read_timeout_untaken(req->connection);
	if (size == ENTRY_UNTAKEN_NOT_COUNTED)
		return req->head_bytes;
	if (size < (int64_t)req->body_received)
		return ENTRY_HTTP_HEADER_BYTES;
	return (size_t)(size - (int64_t)req->body_received);
}

static enum MHD_Result direct_add_field(void *context, enum MHD_ValueKind kind,
					const char *name, const char *value)
{
	(void)kind;
	if (strcasecmp(name, "Connection") != 0)
		g_string_append_printf(context, "%s: %s\r\n", name, value);
	return MHD_YES;
}

static void direct_add_date(GString *head)
{
	char text[DIRECT_DATE_MAX];
	time_t now = time(NULL);
	struct tm utc;

	if (gmtime_r(&now, &utc) &&
	    strftime(text, sizeof(text), "Date: %a, %d %b %Y %H:%M:%S GMT\r\n",
		     &utc))
		g_string_append(head, text);
}

static GString *direct_head(struct MHD_Response *mhd_response, unsigned status,
			    int64_t length)
{
	GString *head = g_string_new(NULL);

	g_string_printf(head, "HTTP/1.1 %u %s\r\n", status,
			MHD_get_reason_phrase_for(status));
	if (!MHD_get_response_header(mhd_response, "Date"))
		direct_add_date(head);
	MHD_get_response_headers(mhd_response, direct_add_field, head);
	if (length >= 0 && status != MHD_HTTP_NO_CONTENT &&
	    status != MHD_HTTP_NOT_MODIFIED)
		g_string_append_printf(head, "Content-Length: %" PRId64 "\r\n",
				       length);
	g_string_append(head, "Connection: close\r\n\r\n");
	return head;
}

size_t entry_respond_size(struct MHD_Response *mhd_response)
{
	size_t size = DIRECT_RESERVE_BYTES;

	MHD_get_response_headers(mhd_response, direct_add_size, &size);
	return size;
}

bool entry_respond_fits(const entry_request_t *req,
			struct MHD_Response *mhd_response)
{
	const enum MHD_ValueKind kinds = MHD_HEADER_KIND | MHD_COOKIE_KIND |
					 MHD_GET_ARGUMENT_KIND |
					 MHD_FOOTER_KIND;
	size_t size = entry_respond_size(mhd_response) +
		      direct_count(req, kinds) * DIRECT_FIELD_BYTES;

	if (size + direct_input_max(req) <= ENTRY_HTTP_HEADER_BYTES)
		return true;
	return size + direct_input_size(req) <= ENTRY_HTTP_HEADER_BYTES;
}

bool entry_respond_takes(struct MHD_Connection *connection, size_t size)
{
	uint32_t info[SK_MEMINFO_VARS] = { 0 };
	socklen_t length = sizeof(info);
	int fd = entry_http_fd(connection);
	size_t queued;
	int buffer;

	if (fd < 0)
		return false;
	if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, info, &length))
		return size <= DIRECT_SOCKET_BYTES;
	/* The kernel counts its own structures, too; it doubles a size that is
	   set for them. Earlier responses may not be acknowledged yet. */
	queued = info[SK_MEMINFO_WMEM_QUEUED];
	if (info[SK_MEMINFO_SNDBUF] >= 2 * size + queued)
		return true;
	buffer = (int)(size + queued);
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof(buffer));
	length = sizeof(info);
	if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, info, &length))
		return false;
	return info[SK_MEMINFO_SNDBUF] >= 2 * size + queued;
}

int entry_respond_direct(struct MHD_Connection *connection,
			 struct MHD_Response *mhd_response, unsigned status,
			 const entry_direct_body_t *body)
{
	GString *head = direct_head(mhd_response, status, body->length);
	struct iovec parts[] = {
		{ head->str, head->len },
		{ (void *)(uintptr_t)body->bytes, body->size },
	};
	struct msghdr message = { .msg_iov = parts, .msg_iovlen = 2 };
	size_t size = head->len + body->size;
	ssize_t sent;

	entry_respond_takes(connection, size);
	sent = sendmsg(entry_http_fd(connection), &message,
		       MSG_NOSIGNAL | MSG_DONTWAIT);
	g_string_free(head, TRUE);
	return sent == (ssize_t)size ? 0 : -1;
}
