#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_string.h>
#include "cmd.h"

/* HTTP client for the control port of an entry. */

#define CMD_HTTP_TIMEOUT_S 3
/* Maximum size of a response body; a full registry of metrics is smaller. */
#define CMD_HTTP_BODY_MAX (16 * 1024 * 1024)

/* Response body callback of neon. */
static int cmd_http_read(void *context, const char *part, size_t size)
{
	ne_buffer *body = context;

	if (ne_buffer_size(body) + size > CMD_HTTP_BODY_MAX)
		return NE_ERROR;
	ne_buffer_append(body, part, size);
	return 0;
}

/* Split "ip:port"; the brackets of an IPv6 address remain in the result. */
static char *cmd_http_split(const char *address, unsigned *port)
{
	const char *colon = strrchr(address, ':');

	if (!colon)
		return NULL;
	*port = (unsigned)strtoul(colon + 1, NULL, 10);
	return g_strndup(address, colon - address);
}

char *cmd_http_get(const char *address, const char *path, hl_error_t *err)
{
	ne_buffer *body = ne_buffer_create();
	ne_session *session = NULL;
	ne_request *request = NULL;
	char *text = NULL;
	unsigned port = 0;
	char *ip = cmd_http_split(address, &port);
	int rc;

	if (!ip || !port) {
		hl_error_set(err, HL_ERR_USAGE,
			     "%s is not a valid address; use ip:port", address);
		goto out;
	}
	session = ne_session_create("http", ip, port);
	ne_set_connect_timeout(session, CMD_HTTP_TIMEOUT_S);
	ne_set_read_timeout(session, CMD_HTTP_TIMEOUT_S);
	request = ne_request_create(session, "GET", path);
	ne_add_response_body_reader(request, ne_accept_2xx, cmd_http_read,
				    body);
	rc = ne_request_dispatch(request);
	if (rc == NE_OK && ne_get_status(request)->klass == 2)
		text = g_strdup(body->data);
	else
		hl_error_set(err, HL_ERR_UNAVAILABLE,
			     "%s%s: %s; check that the entry runs and the "
			     "address is its control port",
			     address, path, ne_get_error(session));
	ne_request_destroy(request);
	ne_session_destroy(session);
out:
	ne_buffer_destroy(body);
	g_free(ip);
	return text;
}
