#include <string.h>
#include <time.h>
#include "entry-claim.h"
#include "entry-io.h"

/* While calls wait, their deadlines are looked at this often. */
#define TICK_BUSY (2 * USEC_PER_MS)
/* How often an entry's share of a service is worked out anew, and callers
   that are slow to send are looked for. */
#define TICK_SHARE USEC_PER_SEC
/* Part of the shared budget of second sends that is used: entries differ in
   how many of them they believe to live. */
#define TICK_BUDGET_PART 0.8

/* The share of the service's slots that this entry owns, for its limits. */
static double tick_share(entry_t *entry, const entry_route_t *route)
{
	owner_endpoint_t places[OWNER_MAX];
	unsigned count;
	unsigned all = 0;
	unsigned own = 0;
	unsigned i;

	if (entry->presence)
		return 1.0 / presence_tell_entries(entry->presence);
	count = owner_lookup(entry->owner, route->name, "", places, OWNER_MAX);
	for (i = 0; i < count; i++) {
		all += places[i].weight;
		if (!strcmp(places[i].address, entry->call_address))
			own += places[i].weight;
	}
	return own ? (double)own / all : 1;
}

static void tick_limits(entry_t *entry, entry_route_t *route, usec_t now)
{
	const entry_settings_t *settings = &entry->settings;
	double share = tick_share(entry, route);

	pthread_mutex_lock(&route->lock);
	entry_service_set_limits(&route->service, route->rate, share);
	if (settings->retry_slack)
		entry_service_set_retry_budget(
			&route->service,
			TICK_BUDGET_PART * settings->retry_ratio,
			TICK_BUDGET_PART * share * settings->retry_slack,
			settings->retry_window_s * USEC_PER_SEC, now);
	pthread_mutex_unlock(&route->lock);
}

static usec_t tick_earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/* Look after one service; when to look again. */
static usec_t tick_route(entry_route_t *route, usec_t now)
{
	usec_t due = entry_hedge_send_due(route, now);
	bool waiting;

	entry_dispatch_expire(route, now);
	entry_dispatch_next(route, now);
	pthread_mutex_lock(&route->lock);
	waiting = entry_service_waiting(&route->service) > 0;
	pthread_mutex_unlock(&route->lock);
	return waiting ? now : due;
}

/* Look after all; when to look again. */
static usec_t tick_all(entry_t *entry, usec_t now)
{
	usec_t due = entry->claims ? entry_claims_tick(entry->claims, now) :
				     INT64_MAX;
	entry_route_t *route;

	if (entry->pending)
		due = tick_earlier(due, entry_pending_expire(entry, now));
	pthread_mutex_lock(&entry->routes_lock);
	cds_list_for_each_entry (route, &entry->routes, link)
		due = tick_earlier(due, tick_route(route, now));
	pthread_mutex_unlock(&entry->routes_lock);
	return due;
}

static void tick_shares(entry_t *entry, usec_t now)
{
	entry_route_t *route = NULL;

	/* owner_lookup() may ask for routes, so their list must be free. */
	while ((route = entry_route_next(entry, route)))
		tick_limits(entry, route, now);
}

/* From now on, whatever becomes due is told by entry_tick_schedule(). */
static void tick_begin(entry_t *entry)
{
	pthread_mutex_lock(&entry->tick_lock);
	__atomic_store_n(&entry->tick_due, INT64_MAX, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&entry->tick_lock);
}

/* Wait until @due, or until an earlier time that entry_tick_schedule() named. */
static void tick_wait(entry_t *entry, usec_t due)
{
	pthread_mutex_lock(&entry->tick_lock);
	due = tick_earlier(due, entry->tick_due);
	__atomic_store_n(&entry->tick_due, due, __ATOMIC_RELEASE);
	while (time_now() < entry->tick_due) {
		struct timespec ts = {
			entry->tick_due / USEC_PER_SEC,
			entry->tick_due % USEC_PER_SEC * 1000,
		};

		pthread_cond_timedwait(&entry->tick_wake, &entry->tick_lock,
				       &ts);
	}
	pthread_mutex_unlock(&entry->tick_lock);
}

static int tick_run(void *context, const volatile int *stop)
{
	entry_t *entry = context;
	usec_t share = 0;
	usec_t due;
	usec_t now;

	for (;;) {
		tick_begin(entry);
		if (__atomic_load_n(stop, __ATOMIC_ACQUIRE))
			return 0;
		now = time_now();
		if (now >= share) {
			tick_shares(entry, now);
			entry_read_timeout_sweep(entry->read_timeout, now);
			share = now + TICK_SHARE;
		}
		due = tick_earlier(tick_all(entry, now), share);
		if (due < now + TICK_BUSY)
			due = now + TICK_BUSY;
		tick_wait(entry, due);
	}
}

void entry_tick_schedule(entry_t *entry, usec_t due)
{
	if (due >= __atomic_load_n(&entry->tick_due, __ATOMIC_ACQUIRE))
		return;
	pthread_mutex_lock(&entry->tick_lock);
	if (due < entry->tick_due) {
		__atomic_store_n(&entry->tick_due, due, __ATOMIC_RELEASE);
		pthread_cond_signal(&entry->tick_wake);
	}
	pthread_mutex_unlock(&entry->tick_lock);
}

void entry_tick_schedule_soon(entry_t *entry, usec_t now)
{
	entry_tick_schedule(entry, now + TICK_BUSY);
}

void entry_tick_init(entry_t *entry)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&entry->tick_lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&entry->tick_wake, &attr);
	pthread_condattr_destroy(&attr);
}

static void tick_wake(void *context)
{
	entry_tick_schedule(context, 0);
}

supervisor_child_t entry_tick_child(entry_t *entry)
{
	supervisor_child_t child = { "tick", tick_run, tick_wake, entry };

	return child;
}
