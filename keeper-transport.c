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

/* Pause after a connection that could not be made. */
#define KEEPER_LINK_PAUSE (50 * USEC_PER_MS)

/* One link for each member but this one, and one to spare. */
#define KEEPER_LINKS KEEPER_VOTERS_MAX

typedef struct {
	keeper_transport_t *links;
	char name[16]; /* of the thread */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/* Under the lock. */
	char peer[HL_NAME_MAX]; /* "" while idle */
	char address[HL_ADDRESS_MAX];
	usec_t used;
	struct cds_list_head queue; /* keeper_outgoing_t */
	unsigned queue_count;
	/* Of the link's thread alone. */
	CLIENT *client;
	int fd;				/* of client */
	char connected[HL_ADDRESS_MAX]; /* the address of client */
} keeper_link_t;

struct keeper_transport {
	keeper_core_t *core;
	keeper_link_t list[KEEPER_LINKS];
};

keeper_transport_t *keeper_transport_new(keeper_core_t *core)
{
	keeper_transport_t *links = calloc(1, sizeof(*links));
	pthread_condattr_t attributes;
	unsigned i;

	if (!links)
		return NULL;
	links->core = core;
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	for (i = 0; i < KEEPER_LINKS; i++) {
		keeper_link_t *link = &links->list[i];

		link->links = links;
		snprintf(link->name, sizeof(link->name), "link-%u", i);
		pthread_mutex_init(&link->lock, NULL);
		pthread_cond_init(&link->wake, &attributes);
		CDS_INIT_LIST_HEAD(&link->queue);
	}
	pthread_condattr_destroy(&attributes);
	return links;
}

/* Drop what waits; the lock is held. */
static unsigned keeper_link_drop(keeper_link_t *link)
{
	keeper_outgoing_t *outgoing, *next;
	unsigned count = link->queue_count;

	cds_list_for_each_entry_safe (outgoing, next, &link->queue, link)
		keeper_raft_outgoing_free(outgoing);
	link->queue_count = 0;
	return count;
}

static void keeper_link_close(keeper_link_t *link)
{
	if (link->client) {
		clnt_destroy(link->client);
		close(link->fd);
	}
	link->client = NULL;
	link->connected[0] = '\0';
}

void keeper_transport_free(keeper_transport_t *links)
{
	unsigned i;

	if (!links)
		return;
	for (i = 0; i < KEEPER_LINKS; i++) {
		keeper_link_drop(&links->list[i]);
		keeper_link_close(&links->list[i]);
		pthread_cond_destroy(&links->list[i].wake);
		pthread_mutex_destroy(&links->list[i].lock);
	}
	free(links);
}

/* The link of a peer; the one idle for longest if it has none yet. */
static keeper_link_t *keeper_links_find(keeper_transport_t *links,
					const char *peer)
{
	keeper_link_t *oldest = &links->list[0];
	unsigned i;

	for (i = 0; i < KEEPER_LINKS; i++) {
		if (!strcmp(links->list[i].peer, peer))
			return &links->list[i];
		if (links->list[i].used < oldest->used)
			oldest = &links->list[i];
	}
	return oldest;
}

/* Only the core's thread calls this, so that peer changes here alone. */
void keeper_transport_send(void *context, keeper_outgoing_t *outgoing)
{
	keeper_transport_t *links = context;
	const char *peer = outgoing->message.to;
	keeper_link_t *link = keeper_links_find(links, peer);
	bool room;

	pthread_mutex_lock(&link->lock);
	if (strcmp(link->peer, peer)) {
		keeper_link_drop(link);
		strcpy(link->peer, peer);
	}
	keeper_core_address(links->core, peer, outgoing->address,
			    link->address);
	link->used = time_now();
	room = link->queue_count < KEEPER_LINK_QUEUE_MAX && link->address[0];
	if (room) {
		cds_list_add_tail(&outgoing->link, &link->queue);
		link->queue_count++;
		pthread_cond_signal(&link->wake);
	}
	pthread_mutex_unlock(&link->lock);
	if (room)
		return;
	keeper_raft_outgoing_free(outgoing);
	metrics_add(links->core->counters.dropped, 1);
}

/* Wait for a connection, or until the time is out. */
static int keeper_link_connected(int fd, int timeout_ms)
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

static int keeper_link_connect(const struct sockaddr_storage *address,
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
		if (!keeper_link_connected(fd, timeout_ms))
			return fd;
	close(fd);
	return -1;
}

static int keeper_link_open(keeper_link_t *link, const char *address)
{
	int timeout_ms = (int)link->links->core->settings.rpc_timeout_ms;
	struct sockaddr_storage storage;
	unsigned length;
	int fd;

	if (link->client && !strcmp(link->connected, address))
		return 0;
	keeper_link_close(link);
	if (hl_address_parse(address, &storage, &length))
		return -1;
	fd = keeper_link_connect(&storage, length, timeout_ms);
	if (fd < 0)
		return -1;
	link->client = rpc_client_new(fd, &storage, length, HEMLOCK_KEEPER,
				      HEMLOCK_KEEPER_V1,
				      timeout_ms * USEC_PER_MS);
	if (!link->client) {
		close(fd);
		return -1;
	}
	link->fd = fd;
	strcpy(link->connected, address);
	return 0;
}

static struct timespec keeper_link_until(usec_t due)
{
	struct timespec until = { due / USEC_PER_SEC,
				  due % USEC_PER_SEC * 1000 };

	return until;
}

/* Wait for a message; NULL when the thread has to stop. */
static keeper_outgoing_t *keeper_link_take(keeper_link_t *link, char *address,
					   const volatile int *stop)
{
	keeper_outgoing_t *outgoing = NULL;

	pthread_mutex_lock(&link->lock);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) &&
	       cds_list_empty(&link->queue))
		pthread_cond_wait(&link->wake, &link->lock);
	if (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		outgoing = cds_list_first_entry(&link->queue, keeper_outgoing_t,
						link);
		cds_list_del(&outgoing->link);
		CDS_INIT_LIST_HEAD(&outgoing->link);
		link->queue_count--;
		strcpy(address, link->address);
	}
	pthread_mutex_unlock(&link->lock);
	return outgoing;
}

/* The peer did not take a message: what waits is stale by now. */
static void keeper_link_failed(keeper_link_t *link, const volatile int *stop)
{
	struct timespec until = keeper_link_until(time_now() +
						  KEEPER_LINK_PAUSE);
	unsigned dropped;

	keeper_link_close(link);
	pthread_mutex_lock(&link->lock);
	dropped = 1 + keeper_link_drop(link);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) &&
	       pthread_cond_timedwait(&link->wake, &link->lock, &until) == 0)
		continue;
	pthread_mutex_unlock(&link->lock);
	metrics_add(link->links->core->counters.dropped, dropped);
}

static int keeper_link_run(void *context, const volatile int *stop)
{
	keeper_link_t *link = context;
	char address[HL_ADDRESS_MAX];
	keeper_outgoing_t *outgoing;
	bool sent;

	while ((outgoing = keeper_link_take(link, address, stop))) {
		sent = keeper_link_open(link, address) == 0 &&
		       keeper_message_1(outgoing->message, NULL,
					link->client) == RPC_SUCCESS;
		keeper_raft_outgoing_free(outgoing);
		if (!sent)
			keeper_link_failed(link, stop);
	}
	return 0;
}

static void keeper_link_wake(void *context)
{
	keeper_link_t *link = context;

	pthread_mutex_lock(&link->lock);
	pthread_cond_signal(&link->wake);
	pthread_mutex_unlock(&link->lock);
}

int keeper_transport_supervise(keeper_transport_t *links, supervisor_t *sup,
			       hl_error_t *err)
{
	unsigned i;

	for (i = 0; i < KEEPER_LINKS; i++) {
		const supervisor_child_t child = {
			.name = links->list[i].name,
			.run = keeper_link_run,
			.wake = keeper_link_wake,
			.context = &links->list[i],
		};

		if (supervisor_add(sup, &child, err))
			return -1;
	}
	return 0;
}
