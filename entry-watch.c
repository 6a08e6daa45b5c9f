#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "entry-io.h"

/*
 * Detection of callers that disconnect while their call runs. libmicrohttpd
 * does not poll a suspended connection, so a thread polls its socket.
 */

#define WATCH_EVENTS 64 /* maximum number of events of one epoll_wait() */
/* Id of the event that wakes the thread; no request has this id. */
#define WATCH_WAKE_ID 0

/*
 * Events carry the id of a request instead of a pointer, because an event may
 * be delivered after its request has been freed.
 */
struct entry_watch {
	int epoll;
	int wake;
	pthread_mutex_t lock;
	uint64_t last_id;
	GHashTable *requests; /* id to entry_request_t */
};

static void watch_disconnected(entry_watch_t *watch, uint64_t id)
{
	entry_request_t *req;

	pthread_mutex_lock(&watch->lock);
	req = g_hash_table_lookup(watch->requests, &id);
	if (req)
		entry_request_ref(req);
	pthread_mutex_unlock(&watch->lock);
	if (!req)
		return;
	entry_request_cancel(req);
	entry_request_unref(req);
}

static int watch_run(void *context, const volatile int *stop)
{
	entry_watch_t *watch = context;
	struct epoll_event events[WATCH_EVENTS];
	int count;
	int i;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		count = epoll_wait(watch->epoll, events, WATCH_EVENTS, -1);
		if (count < 0 && errno != EINTR)
			return -1;
		for (i = 0; i < count; i++)
			if (events[i].data.u64 != WATCH_WAKE_ID)
				watch_disconnected(watch, events[i].data.u64);
	}
	return 0;
}

static void watch_wake(void *context)
{
	entry_watch_t *watch = context;
	uint64_t one = 1;

	if (write(watch->wake, &one, sizeof(one)) < 0)
		return;
}

entry_watch_t *entry_watch_new(hl_error_t *err)
{
	entry_watch_t *watch = calloc(1, sizeof(*watch));
	struct epoll_event event = { EPOLLIN, { .u64 = WATCH_WAKE_ID } };

	if (!watch) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		return NULL;
	}
	pthread_mutex_init(&watch->lock, NULL);
	watch->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	watch->epoll = epoll_create1(EPOLL_CLOEXEC);
	watch->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (watch->epoll >= 0 && watch->wake >= 0 &&
	    epoll_ctl(watch->epoll, EPOLL_CTL_ADD, watch->wake, &event) == 0)
		return watch;
	hl_error_set(err, HL_ERR_IO,
		     "cannot set up epoll: %s; raise the limit on open files",
		     strerror(errno));
	entry_watch_free(watch);
	return NULL;
}

supervisor_child_t entry_watch_child(entry_watch_t *watch)
{
	supervisor_child_t child = { "watch", watch_run, watch_wake, watch };

	return child;
}

void entry_watch_add(entry_watch_t *watch, entry_request_t *req, int fd)
{
	struct epoll_event event = { EPOLLRDHUP | EPOLLONESHOT, { 0 } };

	pthread_mutex_lock(&watch->lock);
	req->watch_id = ++watch->last_id;
	g_hash_table_insert(watch->requests, &req->watch_id, req);
	pthread_mutex_unlock(&watch->lock);
	event.data.u64 = req->watch_id;
	epoll_ctl(watch->epoll, EPOLL_CTL_ADD, fd, &event);
}

void entry_watch_remove(entry_watch_t *watch, entry_request_t *req, int fd)
{
	if (!req->watch_id)
		return;
	epoll_ctl(watch->epoll, EPOLL_CTL_DEL, fd, NULL);
	pthread_mutex_lock(&watch->lock);
	g_hash_table_remove(watch->requests, &req->watch_id);
	pthread_mutex_unlock(&watch->lock);
	req->watch_id = 0;
}

/* Returns the watched requests, with a reference to each. */
static GPtrArray *watch_requests(entry_watch_t *watch)
{
	GPtrArray *requests = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&watch->lock);
	g_hash_table_iter_init(&iter, watch->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_request_ref(value);
		g_ptr_array_add(requests, value);
	}
	pthread_mutex_unlock(&watch->lock);
	return requests;
}

void entry_watch_cancel_all(entry_watch_t *watch)
{
	GPtrArray *requests = watch_requests(watch);
	guint i;

	for (i = 0; i < requests->len; i++) {
		entry_request_t *req = requests->pdata[i];

		entry_request_cancel(req);
		pthread_mutex_lock(&req->lock);
		entry_request_wake(req);
		pthread_mutex_unlock(&req->lock);
		entry_request_unref(req);
	}
	g_ptr_array_free(requests, TRUE);
}

void entry_watch_free(entry_watch_t *watch)
{
	if (!watch)
		return;
	if (watch->epoll >= 0)
		close(watch->epoll);
	if (watch->wake >= 0)
		close(watch->wake);
	g_hash_table_destroy(watch->requests);
	pthread_mutex_destroy(&watch->lock);
	free(watch);
}
