#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include "keeper-core.h"
#include "rpc-client.h"

/*
 * Sends the messages of the core to the peers. Each peer has a queue and a
 * thread with one connection, so that a peer that does not answer delays no
 * other one.
 */

/* Delay after a failed connection attempt or call. */
#define KEEPER_RECONNECT_DELAY (50 * USEC_PER_MS)

/* Number of connections: one for each other member, and one in reserve. */
#define KEEPER_TRANSPORT_CONNS KEEPER_VOTERS_MAX

typedef struct {
	keeper_transport_t *transport;
	char name[16]; /* thread name */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/* Protected by the lock. */
	char peer[HL_NAME_MAX]; /* "" before the first message */
	char address[HL_ADDRESS_MAX];
	usec_t last_used;
	struct cds_list_head queue; /* keeper_outgoing_t */
	unsigned queue_count;
	/* Used by the connection's thread only. */
	CLIENT *client;
	int fd;				/* socket of client */
	char connected[HL_ADDRESS_MAX]; /* address of client */
} transport_conn_t;

struct keeper_transport {
	keeper_core_t *core;
	transport_conn_t conns[KEEPER_TRANSPORT_CONNS];
};

keeper_transport_t *keeper_transport_new(keeper_core_t *core)
{
	keeper_transport_t *transport = calloc(1, sizeof(*transport));
	pthread_condattr_t attributes;
	unsigned i;

	if (!transport)
		return NULL;
	transport->core = core;
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	for (i = 0; i < KEEPER_TRANSPORT_CONNS; i++) {
		transport_conn_t *conn = &transport->conns[i];

		conn->transport = transport;
		snprintf(conn->name, sizeof(conn->name), "link-%u", i);
		pthread_mutex_init(&conn->lock, NULL);
		pthread_cond_init(&conn->wake, &attributes);
		CDS_INIT_LIST_HEAD(&conn->queue);
	}
	pthread_condattr_destroy(&attributes);
	return transport;
}

/* Free the queued messages and return their number. The caller holds the lock
 * of @conn. */
static unsigned transport_conn_clear_queue(transport_conn_t *conn)
{
	keeper_outgoing_t *outgoing, *next;
	unsigned count = conn->queue_count;

	cds_list_for_each_entry_safe (outgoing, next, &conn->queue, link)
		keeper_raft_outgoing_free(outgoing);
	conn->queue_count = 0;
	return count;
}

static void transport_conn_close(transport_conn_t *conn)
{
	if (conn->client) {
		clnt_destroy(conn->client);
		close(conn->fd);
	}
	conn->client = NULL;
	conn->connected[0] = '\0';
}

void keeper_transport_free(keeper_transport_t *transport)
{
	unsigned i;

	if (!transport)
		return;
	for (i = 0; i < KEEPER_TRANSPORT_CONNS; i++) {
		transport_conn_clear_queue(&transport->conns[i]);
		transport_conn_close(&transport->conns[i]);
		pthread_cond_destroy(&transport->conns[i].wake);
		pthread_mutex_destroy(&transport->conns[i].lock);
	}
	free(transport);
}

/* Find the connection of a peer, or else the least recently used one. */
static transport_conn_t *keeper_transport_find(keeper_transport_t *transport,
					       const char *peer)
{
	transport_conn_t *oldest = &transport->conns[0];
	unsigned i;

	for (i = 0; i < KEEPER_TRANSPORT_CONNS; i++) {
		if (!strcmp(transport->conns[i].peer, peer))
			return &transport->conns[i];
		if (transport->conns[i].last_used < oldest->last_used)
			oldest = &transport->conns[i];
	}
	return oldest;
}

/* Only the core thread calls this. It alone writes the peer names, and so may
 * read them without the lock. */
void keeper_transport_send(void *context, keeper_outgoing_t *outgoing)
{
	keeper_transport_t *transport = context;
	const char *peer = outgoing->message.to;
	transport_conn_t *conn = keeper_transport_find(transport, peer);
	bool accepted;

	pthread_mutex_lock(&conn->lock);
	if (strcmp(conn->peer, peer)) {
		transport_conn_clear_queue(conn);
		strcpy(conn->peer, peer);
	}
	keeper_core_address(transport->core, peer, outgoing->address,
			    conn->address);
	conn->last_used = time_now();
	accepted = conn->queue_count < KEEPER_PEER_QUEUE_MAX &&
		   conn->address[0];
	if (accepted) {
		cds_list_add_tail(&outgoing->link, &conn->queue);
		conn->queue_count++;
		pthread_cond_signal(&conn->wake);
	}
	pthread_mutex_unlock(&conn->lock);
	if (accepted)
		return;
	keeper_raft_outgoing_free(outgoing);
	metrics_add(transport->core->counters.dropped, 1);
}

/* Wait until the socket is connected, then make it blocking. */
static int transport_wait_connected(int fd, int timeout_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t size = sizeof(error);

	if (poll(&poll_fd, 1, timeout_ms) != 1)
		return -1;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) || error)
		return -1;
	return fcntl(fd, F_SETFL, 0);
}

static int transport_connect(const struct sockaddr_storage *address,
			     unsigned length, int timeout_ms)
{
	struct timeval timeout = { timeout_ms / 1000,
				   timeout_ms % 1000 * 1000 };
	int fd, one = 1;

	fd = socket(address->ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)address, length) == 0 ||
	    errno == EINPROGRESS)
		if (!transport_wait_connected(fd, timeout_ms))
			return fd;
	close(fd);
	return -1;
}

/* Connect to @address unless the connection is already open. */
static int transport_conn_open(transport_conn_t *conn, const char *address)
{
	int timeout_ms = (int)conn->transport->core->settings.rpc_timeout_ms;
	struct sockaddr_storage storage;
	unsigned length;
	int fd;

	if (conn->client && !strcmp(conn->connected, address))
		return 0;
	transport_conn_close(conn);
	if (hl_address_parse(address, &storage, &length))
		return -1;
	fd = transport_connect(&storage, length, timeout_ms);
	if (fd < 0)
		return -1;
	conn->client = rpc_client_new(fd, &storage, length, HEMLOCK_KEEPER,
				      HEMLOCK_KEEPER_V1,
				      timeout_ms * USEC_PER_MS);
	if (!conn->client) {
		close(fd);
		return -1;
	}
	conn->fd = fd;
	strcpy(conn->connected, address);
	return 0;
}

static struct timespec transport_timespec(usec_t due)
{
	struct timespec until = { due / USEC_PER_SEC,
				  due % USEC_PER_SEC * 1000 };

	return until;
}

/* Wait for a message and dequeue it. Return NULL if the thread must stop. */
static keeper_outgoing_t *transport_conn_take(transport_conn_t *conn,
					      char *address,
					      const volatile int *stop)
{
	keeper_outgoing_t *outgoing = NULL;

	pthread_mutex_lock(&conn->lock);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) &&
	       cds_list_empty(&conn->queue))
		pthread_cond_wait(&conn->wake, &conn->lock);
	if (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		outgoing = cds_list_first_entry(&conn->queue, keeper_outgoing_t,
						link);
		cds_list_del(&outgoing->link);
		CDS_INIT_LIST_HEAD(&outgoing->link);
		conn->queue_count--;
		strcpy(address, conn->address);
	}
	pthread_mutex_unlock(&conn->lock);
	return outgoing;
}

/* A message could not be sent: drop the queued ones too, which are outdated by
 * the time the peer is reachable, and wait before the next attempt. */
static void transport_conn_failed(transport_conn_t *conn,
				  const volatile int *stop)
{
	struct timespec until = transport_timespec(time_now() +
						   KEEPER_RECONNECT_DELAY);
	unsigned dropped;

	transport_conn_close(conn);
	pthread_mutex_lock(&conn->lock);
	dropped = 1 + transport_conn_clear_queue(conn);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) &&
	       pthread_cond_timedwait(&conn->wake, &conn->lock, &until) == 0)
		continue;
	pthread_mutex_unlock(&conn->lock);
	metrics_add(conn->transport->core->counters.dropped, dropped);
}

static int transport_conn_run(void *context, const volatile int *stop)
{
	transport_conn_t *conn = context;
	char address[HL_ADDRESS_MAX];
	keeper_outgoing_t *outgoing;
	bool sent;

	while ((outgoing = transport_conn_take(conn, address, stop))) {
		sent = transport_conn_open(conn, address) == 0 &&
		       keeper_message_1(outgoing->message, NULL,
					conn->client) == RPC_SUCCESS;
		keeper_raft_outgoing_free(outgoing);
		if (!sent)
			transport_conn_failed(conn, stop);
	}
	return 0;
}

static void transport_conn_wake(void *context)
{
	transport_conn_t *conn = context;

	pthread_mutex_lock(&conn->lock);
	pthread_cond_signal(&conn->wake);
	pthread_mutex_unlock(&conn->lock);
}

int keeper_transport_supervise(keeper_transport_t *transport, supervisor_t *sup,
			       hl_error_t *err)
{
	unsigned i;

	for (i = 0; i < KEEPER_TRANSPORT_CONNS; i++) {
		const supervisor_child_t child = {
			.name = transport->conns[i].name,
			.run = transport_conn_run,
			.wake = transport_conn_wake,
			.context = &transport->conns[i],
		};

		if (supervisor_add(sup, &child, err))
			return -1;
	}
	return 0;
}
