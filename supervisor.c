#include <stdlib.h>
#include <string.h>
#include "hemlock.h"

/*
 * Supervisors run a fixed list of threads and restart those that end, up to a
 * number of restarts within a time window.
 */

#define SUPERVISOR_CHILDREN_MAX 16

typedef struct {
	supervisor_child_t spec;
	supervisor_t *supervisor;
	pthread_t thread;
	bool started;
	volatile int stop;
	volatile int ended; /* the thread has returned from run() */
	volatile int result;
} supervisor_slot_t;

struct supervisor {
	char name[HL_NAME_MAX];
	unsigned max_restarts;
	usec_t window;
	usec_t window_start;
	unsigned restarts; /* number of restarts since window_start */
	pthread_mutex_t lock;
	pthread_cond_t changed; /* a child has ended, or stop is set */
	bool stop;
	unsigned ended; /* number of children that ended since the last check */
	unsigned count;
	supervisor_slot_t slots[SUPERVISOR_CHILDREN_MAX];
};

static void *supervisor_thread(void *context)
{
	supervisor_slot_t *slot = context;
	supervisor_t *sup = slot->supervisor;

	slot->result = slot->spec.run(slot->spec.context, &slot->stop);
	__atomic_store_n(&slot->ended, 1, __ATOMIC_RELEASE);
	pthread_mutex_lock(&sup->lock);
	sup->ended++;
	pthread_cond_signal(&sup->changed);
	pthread_mutex_unlock(&sup->lock);
	return NULL;
}

static int supervisor_start(supervisor_slot_t *slot)
{
	int rc;

	__atomic_store_n(&slot->ended, 0, __ATOMIC_RELEASE);
	rc = pthread_create(&slot->thread, NULL, supervisor_thread, slot);
	slot->started = rc == 0;
	if (slot->started)
		pthread_setname_np(slot->thread, slot->spec.name);
	return rc;
}

static void supervisor_join(supervisor_slot_t *slot)
{
	if (!slot->started)
		return;
	__atomic_store_n(&slot->stop, 1, __ATOMIC_RELEASE);
	if (slot->spec.wake)
		slot->spec.wake(slot->spec.context);
	pthread_join(slot->thread, NULL);
	slot->started = false;
}

/* Counts a restart; false if the window already has max_restarts. */
static bool supervisor_count_restart(supervisor_t *sup, usec_t now)
{
	if (now - sup->window_start > sup->window) {
		sup->window_start = now;
		sup->restarts = 0;
	}
	return sup->restarts++ < sup->max_restarts;
}

/* Joins and restarts children that have ended; -1 if a restart fails. */
static int supervisor_restart_ended(supervisor_t *sup, usec_t now)
{
	unsigned i;

	for (i = 0; i < sup->count; i++) {
		supervisor_slot_t *slot = &sup->slots[i];

		if (!__atomic_load_n(&slot->ended, __ATOMIC_ACQUIRE))
			continue;
		pthread_join(slot->thread, NULL);
		slot->started = false;
		log_event(LOG_LEVEL_ERROR, "child-ended",
			  "supervisor=%s child=%s result=%d", sup->name,
			  slot->spec.name, slot->result);
		if (!supervisor_count_restart(sup, now))
			return -1;
		if (supervisor_start(slot))
			return -1;
	}
	return 0;
}

supervisor_t *supervisor_new(const char *name, unsigned max_restarts,
			     usec_t window)
{
	supervisor_t *sup = calloc(1, sizeof(*sup));

	if (!sup)
		return NULL;
	strncpy(sup->name, name, sizeof(sup->name) - 1);
	sup->max_restarts = max_restarts;
	sup->window = window;
	pthread_mutex_init(&sup->lock, NULL);
	pthread_cond_init(&sup->changed, NULL);
	return sup;
}

int supervisor_add(supervisor_t *sup, const supervisor_child_t *child,
		   hl_error_t *err)
{
	supervisor_slot_t *slot;
	int rc;

	if (sup->count == SUPERVISOR_CHILDREN_MAX)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "supervisor %s already has the maximum "
				    "number of children; raise "
				    "SUPERVISOR_CHILDREN_MAX to add %s",
				    sup->name, child->name);
	slot = &sup->slots[sup->count];
	slot->spec = *child;
	slot->supervisor = sup;
	rc = supervisor_start(slot);
	if (rc)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "cannot start thread %s: %s; raise "
				    "TasksMax of the systemd unit",
				    child->name, strerror(rc));
	sup->count++;
	return 0;
}

/* Waits until a child ends or the supervisor is stopped; true if stopped. */
static bool supervisor_wait(supervisor_t *sup)
{
	bool stop;

	pthread_mutex_lock(&sup->lock);
	while (!sup->stop && !sup->ended)
		pthread_cond_wait(&sup->changed, &sup->lock);
	sup->ended = 0;
	stop = sup->stop;
	pthread_mutex_unlock(&sup->lock);
	return stop;
}

int supervisor_run(supervisor_t *sup)
{
	while (!supervisor_wait(sup)) {
		if (supervisor_restart_ended(sup, time_now())) {
			log_event(LOG_LEVEL_ERROR, "supervisor-gave-up",
				  "supervisor=%s restarts=%u", sup->name,
				  sup->restarts);
			return -1;
		}
	}
	return 0;
}

void supervisor_stop(supervisor_t *sup)
{
	pthread_mutex_lock(&sup->lock);
	sup->stop = true;
	pthread_cond_signal(&sup->changed);
	pthread_mutex_unlock(&sup->lock);
}

void supervisor_free(supervisor_t *sup)
{
	unsigned i;

	if (!sup)
		return;
	for (i = sup->count; i > 0; i--)
		supervisor_join(&sup->slots[i - 1]);
	pthread_cond_destroy(&sup->changed);
	pthread_mutex_destroy(&sup->lock);
	free(sup);
}
