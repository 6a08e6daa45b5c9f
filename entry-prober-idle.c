#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-prober-idle.h"
#include "hemlock.h"

typedef struct {
	curl_socket_t fd;
	long local_port;
	char address[HL_ADDRESS_MAX];
} idle_conn_t;

struct entry_prober_idle {
	GArray *conns; /* idle_conn_t */
};

entry_prober_idle_t *entry_prober_idle_new(void)
{
	entry_prober_idle_t *idle = g_new0(entry_prober_idle_t, 1);

	idle->conns = g_array_new(FALSE, FALSE, sizeof(idle_conn_t));
	return idle;
}

void entry_prober_idle_free(entry_prober_idle_t *idle)
{
	if (!idle)
		return;
	g_array_free(idle->conns, TRUE);
	g_free(idle);
}

static void idle_remove(entry_prober_idle_t *idle, curl_socket_t fd)
{
	guint i;

	for (i = 0; i < idle->conns->len; i++) {
		if (g_array_index(idle->conns, idle_conn_t, i).fd != fd)
			continue;
		g_array_remove_index_fast(idle->conns, i);
		return;
	}
}

static int idle_on_close(void *context, curl_socket_t fd)
{
	idle_remove(context, fd);
	return close(fd);
}

void entry_prober_idle_set(entry_prober_idle_t *idle, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, idle_on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, idle);
}

void entry_prober_idle_add(entry_prober_idle_t *idle, CURL *easy,
			   const char *address)
{
	idle_conn_t conn = { .fd = CURL_SOCKET_BAD };

	curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &conn.fd);
	if (conn.fd == CURL_SOCKET_BAD)
		return;
	curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &conn.local_port);
	g_strlcpy(conn.address, address, sizeof(conn.address));
	idle_remove(idle, conn.fd);
	g_array_append_val(idle->conns, conn);
}

/* Whether bytes, not the end of the connection, can be read. */
static bool idle_has_input(curl_socket_t fd)
{
	char byte;

	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool entry_prober_idle_take(entry_prober_idle_t *idle, const char *address,
			    int local_port)
{
	const idle_conn_t *conn;
	curl_socket_t fd;
	guint i;

	for (i = 0; i < idle->conns->len; i++) {
		conn = &g_array_index(idle->conns, idle_conn_t, i);
		if (conn->local_port != local_port ||
		    strcmp(conn->address, address))
			continue;
		fd = conn->fd;
		g_array_remove_index_fast(idle->conns, i);
		return !idle_has_input(fd);
	}
	return true;
}
