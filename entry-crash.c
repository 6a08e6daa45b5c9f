#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-io.h"

/*
 * Calls that were running at a copy when its process ended. A call is known by a
 * digest of its content, as each attempt of it has an id of its own.
 */

/* Time in which a copy must take or refuse a connection after a send was cut. */
#define CRASH_CONNECT_TIMEOUT_MS 100

static void crash_digest_add(GChecksum *checksum, const char *text)
{
	g_checksum_update(checksum, (const guchar *)text,
			  (gssize)strlen(text) + 1);
}

/* Adds the body, or only its length if it is not kept in memory. */
static void crash_digest_add_body(GChecksum *checksum,
				  const entry_request_t *req)
{
	const entry_buffer_t *body = &req->body;
	char length[32];

	if (!req->body_streamed) {
		g_checksum_update(checksum,
				  (const guchar *)body->bytes + body->start,
				  (gssize)entry_buffer_length(body));
		return;
	}
	snprintf(length, sizeof(length), "%" PRId64, req->body_length);
	crash_digest_add(checksum, length);
}

void entry_crash_digest(const entry_request_t *req, char out[ENTRY_DIGEST_SIZE])
{
	const entry_request_t *call = req->primary ? req->primary : req;
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);

	crash_digest_add(checksum, call->tenant);
	crash_digest_add(checksum, call->method);
	crash_digest_add(checksum,
			 call->host ? call->host : call->upstream->name);
	crash_digest_add(checksum, call->target);
	crash_digest_add_body(checksum, call);
	g_strlcpy(out, g_checksum_get_string(checksum), ENTRY_DIGEST_SIZE);
	g_checksum_free(checksum);
}

/* Waits for the end of a connect that is in progress; returns its errno. */
static int crash_connect_error(int fd)
{
	struct pollfd poll_fd = { fd, POLLOUT, 0 };
	socklen_t size = sizeof(int);
	int error = 0;

	if (poll(&poll_fd, 1, CRASH_CONNECT_TIMEOUT_MS) <= 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size))
		return ETIMEDOUT;
	return error;
}

/*
 * Whether no process listens at an address any more. A host that does not answer
 * at all may be out of reach, so only a refused connection counts.
 */
static bool crash_refuses_connections(const char *address)
{
	struct sockaddr_storage to;
	unsigned length;
	int error = 0;
	int fd;

	if (hl_address_parse(address, &to, &length))
		return false;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
		    0);
	if (fd < 0)
		return false;
	if (connect(fd, (struct sockaddr *)&to, length))
		error = errno;
	if (error == EINPROGRESS)
		error = crash_connect_error(fd);
	close(fd);
	return error == ECONNREFUSED;
}

void entry_crash_check(entry_request_t *req, const char *address)
{
	char digest[ENTRY_DIGEST_SIZE];

	if (req->forward || !crash_refuses_connections(address))
		return;
	entry_crash_digest(req, digest);
	entry_trace_copy_crashed(req, digest);
}
