#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "hemlock.h"

#define SUPERVISOR_CHILDREN_MAX 16
/* How often a supervisor looks at its children. */
#define SUPERVISOR_PERIOD (100 * USEC_PER_MS)

typedef struct {
	supervisor_child_t spec;
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
	unsigned restarts;
	volatile int stop;
	unsigned count;
	supervisor_slot_t slots[SUPERVISOR_CHILDREN_MAX];
};

static void *supervisor_thread(void *context)
{
	supervisor_slot_t *slot = context;

	slot->result = slot->spec.run(slot->spec.context, &slot->stop);
	__atomic_store_n(&slot->ended, 1, __ATOMIC_RELEASE);
	return NULL;
}

static int supervisor_start(supervisor_slot_t *slot)
{
	int rc;

	__atomic_store_n(&slot->ended, 0, __ATOMIC_RELEASE);
	rc = pthread_create(&slot->thread, NULL, supervisor_thread, slot);
	slot->started = rc == 0;
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

/* Count a restart; false once the window holds too many. */
static bool supervisor_may_restart(supervisor_t *sup, usec_t now)
{
	if (now - sup->window_start > sup->window) {
		sup->window_start = now;
		sup->restarts = 0;
	}
	return sup->restarts++ < sup->max_restarts;
}

/* Restart the children that have ended by themselves. */
static int supervisor_check(supervisor_t *sup, usec_t now)
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
		if (!supervisor_may_restart(sup, now))
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
	return sup;
}

int supervisor_add(supervisor_t *sup, const supervisor_child_t *child,
		   hl_error_t *err)
{
	supervisor_slot_t *slot;
	int rc;

	if (sup->count == SUPERVISOR_CHILDREN_MAX)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "supervisor %s has no room for %s; raise "
				    "SUPERVISOR_CHILDREN_MAX",
				    sup->name, child->name);
	slot = &sup->slots[sup->count];
	slot->spec = *child;
	rc = supervisor_start(slot);
	if (rc)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "cannot start thread %s: %s; raise the "
				    "limit on tasks of the unit",
				    child->name, strerror(rc));
	sup->count++;
	return 0;
}

int supervisor_run(supervisor_t *sup)
{
	const struct timespec period = { 0, SUPERVISOR_PERIOD * 1000 };

	while (!__atomic_load_n(&sup->stop, __ATOMIC_ACQUIRE)) {
		if (supervisor_check(sup, time_now())) {
			log_event(LOG_LEVEL_ERROR, "supervisor-gave-up",
				  "supervisor=%s restarts=%u", sup->name,
				  sup->restarts);
			return -1;
		}
		nanosleep(&period, NULL);
	}
	return 0;
}

void supervisor_stop(supervisor_t *sup)
{
	__atomic_store_n(&sup->stop, 1, __ATOMIC_RELEASE);
}

void supervisor_free(supervisor_t *sup)
{
	unsigned i;

	if (!sup)
		return;
	for (i = sup->count; i > 0; i--)
		supervisor_join(&sup->slots[i - 1]);
	free(sup);
}
