#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-io.h"

/*
 * A connection pool: idle connections and preconnected sockets to one address.
 * A preconnected socket saves the handshake of a call that needs a connection
 * without earlier calls.
 */

/* Time after which an idle connection is closed. */
#define POOL_IDLE_TIME (30 * USEC_PER_SEC)
/* Time for which a peer that has sent bytes of no call gets each call over a new
   connection. */
#define POOL_RENEW_TIME (10 * USEC_PER_SEC)
/* Seed of the digests of call ids. */
#define POOL_ID_SEED 0x1d5eedULL

entry_conn_pool_t *entry_conn_pool_new(const char *address, unsigned idle_max)
{
	entry_conn_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	strncpy(pool->address, address, sizeof(pool->address) - 1);
	pthread_mutex_init(&pool->lock, NULL);
	CDS_INIT_LIST_HEAD(&pool->idle);
	pool->idle_max = idle_max;
	pool->refs = 1;
	return pool;
}

static void conn_free(entry_conn_t *conn)
{
	if (conn->easy)
		curl_easy_cleanup(conn->easy);
	if (conn->multi)
		curl_multi_cleanup(conn->multi);
	if (conn->preconnected_fd >= 0)
		close(conn->preconnected_fd);
	if (conn->carried)
		g_array_free(conn->carried, TRUE);
	free(conn);
}

static void conn_free_all(struct cds_list_head *conns)
{
	entry_conn_t *conn;
	entry_conn_t *next;

	cds_list_for_each_entry_safe (conn, next, conns, link)
		conn_free(conn);
}

void entry_conn_pool_ref(entry_conn_pool_t *pool)
{
	__atomic_fetch_add(&pool->refs, 1, __ATOMIC_RELAXED);
}

void entry_conn_pool_unref(entry_conn_pool_t *pool)
{
	unsigned i;

	if (__atomic_sub_fetch(&pool->refs, 1, __ATOMIC_ACQ_REL))
		return;
	conn_free_all(&pool->idle);
	for (i = 0; i < pool->preconnected_count; i++)
		close(pool->preconnected[i]);
	pthread_mutex_destroy(&pool->lock);
	free(pool);
}

/* Returns a number that no other connection of the process has. */
static uint64_t conn_next_number(void)
{
	static uint64_t last;

	return __atomic_add_fetch(&last, 1, __ATOMIC_RELAXED);
}

static entry_conn_t *conn_new(void)
{
	entry_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->number = conn_next_number();
	conn->carried = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	conn->preconnected_fd = -1;
	conn->fd = -1;
	conn->multi = curl_multi_init();
	conn->easy = curl_easy_init();
	if (!conn->multi || !conn->easy) {
		conn_free(conn);
		return NULL;
	}
	curl_multi_setopt(conn->multi, CURLMOPT_MAXCONNECTS, 1L);
	return conn;
}

/* Makes the object stand for a new connection, over which nothing was sent. */
static void conn_forget(entry_conn_t *conn)
{
	conn->number = conn_next_number();
	conn->calls = 0;
	g_array_set_size(conn->carried, 0);
}

static uint32_t conn_digest(const char *call_id)
{
	return (uint32_t)hl_hash(call_id, strlen(call_id), POOL_ID_SEED);
}

/* Returns true if a connection has carried a call with this id, or one with another
   id and the same digest. */
static bool conn_has_carried(const entry_conn_t *conn, uint32_t digest)
{
	const uint32_t *carried = (const uint32_t *)conn->carried->data;
	guint i;

	for (i = 0; i < conn->carried->len; i++)
		if (carried[i] == digest)
			return true;
	return false;
}

static void conn_carry(entry_conn_t *conn, const char *call_id)
{
	uint32_t digest = conn_digest(call_id);

	conn->calls++;
	if (*call_id)
		g_array_append_val(conn->carried, digest);
}

void entry_conn_reopened(entry_conn_t *conn, const char *call_id)
{
	conn_forget(conn);
	conn_carry(conn, call_id);
}

/* Whether a preconnected socket is connected and not closed by the peer. */
static bool pool_socket_usable(int fd)
{
	struct pollfd p = { fd, POLLOUT | POLLIN | POLLRDHUP, 0 };

	return poll(&p, 1, 0) == 1 && p.revents == POLLOUT;
}

/* Whether a preconnected socket is still connecting. */
static bool pool_socket_connecting(int fd)
{
	struct pollfd p = { fd, POLLOUT | POLLIN | POLLRDHUP, 0 };

	return poll(&p, 1, 0) == 0;
}

/* Removes and returns a usable preconnected socket, or -1. Closes the broken
   sockets. The caller holds pool->lock. */
static int pool_take_preconnected(entry_conn_pool_t *pool)
{
	unsigned i = 0;

	while (i < pool->preconnected_count) {
		int fd = pool->preconnected[i];

		if (pool_socket_connecting(fd)) {
			i++;
			continue;
		}
		pool->preconnected[i] =
			pool->preconnected[--pool->preconnected_count];
		if (pool_socket_usable(fd))
			return fd;
		close(fd);
	}
	return -1;
}

/* Removes and returns the idle connection used last that may carry the call, or
   NULL. The caller holds pool->lock. */
static entry_conn_t *pool_take_idle(entry_conn_pool_t *pool,
				    const char *call_id, bool fresh)
{
	uint32_t digest = conn_digest(call_id);
	entry_conn_t *conn;

	cds_list_for_each_entry (conn, &pool->idle, link) {
		if (!fresh && *call_id && conn_has_carried(conn, digest))
			continue;
		cds_list_del(&conn->link);
		pool->idle_count--;
		return conn;
	}
	return NULL;
}

/* What an idle connection has received. */
typedef enum {
	CONN_SILENT, /* nothing */
	CONN_ENDED, /* its end; some servers send a response of their own before */
	CONN_STRAY, /* bytes, which belong to no call */
} conn_input_t;

static conn_input_t conn_input(const entry_conn_t *conn)
{
	struct pollfd input = { conn->fd, POLLIN | POLLRDHUP, 0 };

	if (conn->fd < 0 || poll(&input, 1, 0) <= 0)
		return CONN_SILENT;
	return input.revents == POLLIN ? CONN_STRAY : CONN_ENDED;
}

/*
 * Takes an idle connection, as pool_take_idle(), that has received nothing, and closes
 * others. libcurl would send the call over one that holds bytes, and read these as the
 * response.
 */
static entry_conn_t *pool_take_silent(entry_conn_pool_t *pool,
				      const char *call_id, bool fresh)
{
	conn_input_t input;
	entry_conn_t *conn;

	for (;;) {
		pthread_mutex_lock(&pool->lock);
		conn = pool_take_idle(pool, call_id, fresh);
		pthread_mutex_unlock(&pool->lock);
		if (!conn)
			return NULL;
		input = conn_input(conn);
		if (input == CONN_SILENT)
			return conn;
		conn_free(conn);
		if (input == CONN_STRAY)
			entry_conn_pool_on_stray(pool, time_now());
	}
}

entry_conn_t *entry_conn_pool_get(entry_conn_pool_t *pool, const char *call_id,
				  bool fresh)
{
	entry_conn_t *conn = pool_take_silent(pool, call_id, fresh);

	if (!conn)
		conn = conn_new();
	if (!conn)
		return NULL;
	if (fresh) {
		pthread_mutex_lock(&pool->lock);
		conn->preconnected_fd = pool_take_preconnected(pool);
		pthread_mutex_unlock(&pool->lock);
	}
	conn_carry(conn, call_id);
	return conn;
}

void entry_conn_pool_put(entry_conn_pool_t *pool, entry_conn_t *conn, bool keep,
			 usec_t now)
{
	if (conn->preconnected_fd >= 0) {
		close(conn->preconnected_fd);
		conn->preconnected_fd = -1;
	}
	if (!keep || conn->carried->len >= ENTRY_CONN_CALLS_MAX) {
		conn_free(conn);
		return;
	}
	conn->idle_since = now;
	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count < pool->idle_max && now >= pool->renew_until) {
		cds_list_add(&conn->link, &pool->idle);
		pool->idle_count++;
		conn = NULL;
	}
	pthread_mutex_unlock(&pool->lock);
	if (conn)
		conn_free(conn);
}

/* Moves all idle connections to @closed, and lets each call of the next time have a
   new one. The caller holds pool->lock. */
static void pool_renew(entry_conn_pool_t *pool, struct cds_list_head *closed,
		       usec_t now)
{
	pool->renew_until = now + POOL_RENEW_TIME;
	cds_list_splice(&pool->idle, closed);
	CDS_INIT_LIST_HEAD(&pool->idle);
	pool->idle_count = 0;
}

void entry_conn_pool_on_stray(entry_conn_pool_t *pool, usec_t now)
{
	struct cds_list_head closed;

	CDS_INIT_LIST_HEAD(&closed);
	pthread_mutex_lock(&pool->lock);
	pool_renew(pool, &closed, now);
	pthread_mutex_unlock(&pool->lock);
	conn_free_all(&closed);
}

bool entry_conn_pool_renews(entry_conn_pool_t *pool, usec_t now)
{
	bool renews;

	pthread_mutex_lock(&pool->lock);
	renews = now < pool->renew_until;
	pthread_mutex_unlock(&pool->lock);
	return renews;
}

void entry_conn_pool_sweep(entry_conn_pool_t *pool, usec_t now)
{
	struct cds_list_head closed;
	conn_input_t input;
	entry_conn_t *conn;
	entry_conn_t *next;
	bool stray = false;

	CDS_INIT_LIST_HEAD(&closed);
	pthread_mutex_lock(&pool->lock);
	cds_list_for_each_entry_safe (conn, next, &pool->idle, link) {
		input = conn_input(conn);
		stray = stray || input == CONN_STRAY;
		if (now - conn->idle_since < POOL_IDLE_TIME &&
		    input == CONN_SILENT)
			continue;
		cds_list_del(&conn->link);
		cds_list_add(&conn->link, &closed);
		pool->idle_count--;
	}
	if (stray)
		pool_renew(pool, &closed, now);
	pthread_mutex_unlock(&pool->lock);
	conn_free_all(&closed);
}

/* Starts a non-blocking connect; returns the socket, or -1. */
static int pool_connect(const char *address)
{
	struct sockaddr_storage storage;
	unsigned length;
	int fd;

	if (hl_address_parse(address, &storage, &length))
		return -1;
	fd = socket(storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&storage, length) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

void entry_conn_pool_preconnect(entry_conn_pool_t *pool, unsigned count)
{
	pthread_mutex_lock(&pool->lock);
	while (pool->preconnected_count < count) {
		int fd = pool_connect(pool->address);

		if (fd < 0)
			break;
		pool->preconnected[pool->preconnected_count++] = fd;
	}
	pthread_mutex_unlock(&pool->lock);
}
