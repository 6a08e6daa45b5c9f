#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include "entry-http.h"

/*
 * Read timeouts of caller connections. libmicrohttpd closes an idle connection,
 * but not one that sends a byte now and then. So each connection has a time by
 * which the expected head or body must be complete. The bytes of its requests are
 * counted beside that.
 */

/* One connection, from its accept to its close. */
typedef struct {
	struct cds_list_head link;
	int fd;
	usec_t due;    /* time to close the connection; 0: no input expected */
	int64_t taken; /* bytes of ended requests; -1: unknown */
	entry_request_t *req; /* the request that is open, or NULL */
} timed_conn_t;

struct entry_read_timeout {
	pthread_mutex_t lock; /* guards list and count; due is atomic */
	struct cds_list_head conns;
	uint64_t started; /* number of connections so far */
	usec_t head_timeout;
	uint64_t *closed_counter; /* hemlock_slow_callers_total */
};

entry_read_timeout_t *entry_read_timeout_new(const entry_settings_t *settings,
					     metrics_t *metrics)
{
	entry_read_timeout_t *timeouts = metrics ?
						 calloc(1, sizeof(*timeouts)) :
						 NULL;

	if (!timeouts)
		return NULL;
	pthread_mutex_init(&timeouts->lock, NULL);
	CDS_INIT_LIST_HEAD(&timeouts->conns);
	timeouts->head_timeout = settings->head_ms * USEC_PER_MS;
	timeouts->closed_counter =
		metrics_counter(metrics, "hemlock_slow_callers_total", "",
				"Connections cut because a head or body "
				"was not whole in time.");
	return timeouts;
}

void entry_read_timeout_free(entry_read_timeout_t *timeouts)
{
	if (!timeouts)
		return;
	pthread_mutex_destroy(&timeouts->lock);
	free(timeouts);
}

static void read_timeout_add(entry_read_timeout_t *timeouts,
			     struct MHD_Connection *connection, void **state)
{
	timed_conn_t *conn = calloc(1, sizeof(*conn));

	*state = conn;
	if (!conn)
		return;
	conn->fd = entry_http_fd(connection);
	conn->due = time_now() + ENTRY_IDLE_TIME;
	pthread_mutex_lock(&timeouts->lock);
	cds_list_add_tail(&conn->link, &timeouts->conns);
	timeouts->started++;
	pthread_mutex_unlock(&timeouts->lock);
}

static void read_timeout_remove(entry_read_timeout_t *timeouts, void **state)
{
	timed_conn_t *conn = *state;

	if (!conn)
		return;
	pthread_mutex_lock(&timeouts->lock);
	cds_list_del(&conn->link);
	pthread_mutex_unlock(&timeouts->lock);
	free(conn);
	*state = NULL;
}

void entry_read_timeout_connection(void *context,
				   struct MHD_Connection *connection,
				   void **state,
				   enum MHD_ConnectionNotificationCode code)
{
	entry_t *entry = context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		read_timeout_add(entry->read_timeout, connection, state);
	else
		read_timeout_remove(entry->read_timeout, state);
}

uint64_t entry_read_timeout_started(entry_read_timeout_t *timeouts)
{
	uint64_t started;

	pthread_mutex_lock(&timeouts->lock);
	started = timeouts->started;
	pthread_mutex_unlock(&timeouts->lock);
	return started;
}

bool entry_read_timeout_has_unread(entry_read_timeout_t *timeouts)
{
	timed_conn_t *conn;
	int bytes = 0;

	pthread_mutex_lock(&timeouts->lock);
	cds_list_for_each_entry (conn, &timeouts->conns, link) {
		if (ioctl(conn->fd, FIONREAD, &bytes))
			bytes = 0;
		if (bytes > 0)
			break;
	}
	pthread_mutex_unlock(&timeouts->lock);
	return bytes > 0;
}

static timed_conn_t *read_timeout_conn(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	return info ? info->socket_context : NULL;
}

static void read_timeout_set(struct MHD_Connection *connection, usec_t due)
{
	timed_conn_t *conn = read_timeout_conn(connection);

	if (conn)
		__atomic_store_n(&conn->due, due, __ATOMIC_RELAXED);
}

void entry_read_timeout_set_request(struct MHD_Connection *connection,
				    entry_request_t *req)
{
	timed_conn_t *conn = read_timeout_conn(connection);

	if (conn)
		conn->req = req;
}

entry_request_t *entry_read_timeout_request(struct MHD_Connection *connection)
{
	const timed_conn_t *conn = read_timeout_conn(connection);

	return conn ? conn->req : NULL;
}

void entry_read_timeout_take(struct MHD_Connection *connection, int64_t bytes)
{
	timed_conn_t *conn = read_timeout_conn(connection);

	if (!conn)
		return;
	if (bytes < 0 || conn->taken < 0)
		conn->taken = -1;
	else
		conn->taken += bytes;
}

int64_t entry_read_timeout_untaken(struct MHD_Connection *connection)
{
	const timed_conn_t *conn = read_timeout_conn(connection);
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);
	int unread;

	if (!conn || conn->taken < 0)
		return -1;
	/* The bytes in the socket are counted first, so that those that arrive
	   meanwhile count as read. */
	if (ioctl(conn->fd, FIONREAD, &unread) ||
	    getsockopt(conn->fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return ENTRY_UNTAKEN_NOT_COUNTED;
	return (int64_t)info.tcpi_bytes_received - unread - conn->taken;
}

void entry_read_timeout_head(const entry_read_timeout_t *timeouts,
			     struct MHD_Connection *connection, usec_t now)
{
	read_timeout_set(connection, now + timeouts->head_timeout);
}

void entry_read_timeout_body(const entry_read_timeout_t *timeouts,
			     struct MHD_Connection *connection, usec_t deadline)
{
	read_timeout_set(connection, deadline + timeouts->head_timeout);
}

void entry_read_timeout_stop(struct MHD_Connection *connection)
{
	read_timeout_set(connection, 0);
}

void entry_read_timeout_idle(struct MHD_Connection *connection, usec_t now)
{
	read_timeout_set(connection, now + ENTRY_IDLE_TIME);
}

void entry_read_timeout_sweep(entry_read_timeout_t *timeouts, usec_t now)
{
	timed_conn_t *conn;
	unsigned count = 0;

	pthread_mutex_lock(&timeouts->lock);
	cds_list_for_each_entry (conn, &timeouts->conns, link) {
		usec_t due = __atomic_load_n(&conn->due, __ATOMIC_RELAXED);

		if (!due || now < due)
			continue;
		/* The libmicrohttpd thread of the connection detects the end of
		   the input and closes the connection. */
		shutdown(conn->fd, SHUT_RDWR);
		count++;
	}
	pthread_mutex_unlock(&timeouts->lock);
	if (!count)
		return;
	metrics_add(timeouts->closed_counter, count);
	log_event(LOG_LEVEL_INFO, "slow-callers-cut", "count=%u", count);
}
