#include <stdlib.h>
#include <sys/socket.h>
#include "entry-http.h"

/*
 * libmicrohttpd ends a connection that is silent, but not one that sends a
 * byte now and then. Here each connection of a caller has a time by which what
 * it sends must be whole.
 */

/* One connection, from its accept to its close. */
typedef struct {
	struct cds_list_head link;
	int fd;
	usec_t due; /* 0: nothing is expected from the caller */
} slow_caller_t;

struct entry_slow {
	pthread_mutex_t lock; /* of the list; due is atomic */
	struct cds_list_head callers;
	usec_t head_time;
	uint64_t *cut;
};

entry_slow_t *entry_read_timeout_new(const entry_settings_t *settings,
				     metrics_t *metrics)
{
	entry_slow_t *slow = metrics ? calloc(1, sizeof(*slow)) : NULL;

	if (!slow)
		return NULL;
	pthread_mutex_init(&slow->lock, NULL);
	CDS_INIT_LIST_HEAD(&slow->callers);
	slow->head_time = settings->head_ms * USEC_PER_MS;
	slow->cut = metrics_counter(metrics, "hemlock_slow_callers_total", "",
				    "Connections cut because a head or body "
				    "was not whole in time.");
	return slow;
}

void entry_read_timeout_free(entry_slow_t *slow)
{
	if (!slow)
		return;
	pthread_mutex_destroy(&slow->lock);
	free(slow);
}

static void slow_add(entry_slow_t *slow, struct MHD_Connection *connection,
		     void **state)
{
	slow_caller_t *caller = calloc(1, sizeof(*caller));

	*state = caller;
	if (!caller)
		return;
	caller->fd = entry_http_fd(connection);
	caller->due = time_now() + ENTRY_IDLE_TIME;
	pthread_mutex_lock(&slow->lock);
	cds_list_add_tail(&caller->link, &slow->callers);
	pthread_mutex_unlock(&slow->lock);
}

static void slow_remove(entry_slow_t *slow, void **state)
{
	slow_caller_t *caller = *state;

	if (!caller)
		return;
	pthread_mutex_lock(&slow->lock);
	cds_list_del(&caller->link);
	pthread_mutex_unlock(&slow->lock);
	free(caller);
	*state = NULL;
}

void entry_slow_connection(void *context, struct MHD_Connection *connection,
			   void **state,
			   enum MHD_ConnectionNotificationCode code)
{
	entry_t *entry = context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		slow_add(entry->read_timeout, connection, state);
	else
		slow_remove(entry->read_timeout, state);
}

static void slow_expect(struct MHD_Connection *connection, usec_t due)
{
	const union MHD_ConnectionInfo *info;
	slow_caller_t *caller;

	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	caller = info ? info->socket_context : NULL;
	if (caller)
		__atomic_store_n(&caller->due, due, __ATOMIC_RELAXED);
}

void entry_slow_head(const entry_slow_t *slow,
		     struct MHD_Connection *connection, usec_t now)
{
	slow_expect(connection, now + slow->head_time);
}

void entry_slow_body(const entry_slow_t *slow,
		     struct MHD_Connection *connection, usec_t deadline)
{
	slow_expect(connection, deadline + slow->head_time);
}

void entry_slow_whole(struct MHD_Connection *connection)
{
	slow_expect(connection, 0);
}

void entry_slow_idle(struct MHD_Connection *connection, usec_t now)
{
	slow_expect(connection, now + ENTRY_IDLE_TIME);
}

void entry_read_timeout_sweep(entry_slow_t *slow, usec_t now)
{
	slow_caller_t *caller;
	unsigned count = 0;

	pthread_mutex_lock(&slow->lock);
	cds_list_for_each_entry (caller, &slow->callers, link) {
		usec_t due = __atomic_load_n(&caller->due, __ATOMIC_RELAXED);

		if (!due || now < due)
			continue;
		/* Its thread of libmicrohttpd sees the end and closes it. */
		shutdown(caller->fd, SHUT_RDWR);
		count++;
	}
	pthread_mutex_unlock(&slow->lock);
	if (!count)
		return;
	metrics_add(slow->cut, count);
	log_event(LOG_LEVEL_INFO, "slow-callers-cut", "count=%u", count);
}
