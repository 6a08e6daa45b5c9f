#include <string.h>
#include <time.h>
#include "entry-claim.h"
#include "entry-io.h"

/* While calls wait, their deadlines are looked at this often. */
#define TICK_BUSY (2 * USEC_PER_MS)
/* While none waits; a kick ends it. */
#define TICK_IDLE (100 * USEC_PER_MS)
/* How often an entry's share of a service is worked out anew. */
#define TICK_SHARE USEC_PER_SEC

/* The share of the service's slots that this entry owns, for its limits. */
static double tick_share(entry_t *entry, const entry_route_t *route)
{
	owner_place_t places[OWNER_MAX];
	unsigned count = owner_lookup(entry->owner, route->name, "", places,
				      OWNER_MAX);
	unsigned all = 0;
	unsigned own = 0;
	unsigned i;

	for (i = 0; i < count; i++) {
		all += places[i].weight;
		if (!strcmp(places[i].address, entry->call_address))
			own += places[i].weight;
	}
	return own ? (double)own / all : 1;
}

static void tick_limits(entry_t *entry, entry_route_t *route)
{
	double share = tick_share(entry, route);

	pthread_mutex_lock(&route->lock);
	entry_service_limits(&route->service, route->rate, share);
	pthread_mutex_unlock(&route->lock);
}

/*
 * Look after one service; true while calls wait there. @hedge becomes the
 * earliest time at which a call may deserve a second send.
 */
static bool tick_route(entry_route_t *route, usec_t *hedge, usec_t now)
{
	usec_t due = entry_hedge_route(route, now);
	bool waiting;

	if (due < *hedge)
		*hedge = due;
	entry_dispatch_expire(route, now);
	entry_dispatch_next(route, now);
	pthread_mutex_lock(&route->lock);
	waiting = entry_service_waiting(&route->service) > 0;
	pthread_mutex_unlock(&route->lock);
	return waiting;
}

static bool tick_all(entry_t *entry, bool limits, usec_t *hedge, usec_t now)
{
	entry_route_t *route;
	bool busy;

	busy = entry_claims_tick(entry->claims, now);
	pthread_mutex_lock(&entry->routes_lock);
	cds_list_for_each_entry (route, &entry->routes, link)
		busy = tick_route(route, hedge, now) || busy;
	pthread_mutex_unlock(&entry->routes_lock);
	/* owner_lookup() may ask for routes, so their list must be free. */
	for (route = entry_route_next(entry, NULL); limits && route;
	     route = entry_route_next(entry, route))
		tick_limits(entry, route);
	return busy;
}

static void tick_wait(entry_t *entry, usec_t until)
{
	struct timespec ts = { until / USEC_PER_SEC,
			       until % USEC_PER_SEC * 1000 };

	pthread_mutex_lock(&entry->tick_lock);
	if (!entry->tick_kicked)
		pthread_cond_timedwait(&entry->tick_wake, &entry->tick_lock,
				       &ts);
	entry->tick_kicked = false;
	pthread_mutex_unlock(&entry->tick_lock);
}

/*
 * When to look again. Calls that arrive meanwhile are hedged in time: @hedge
 * is no later than one sent at @now would be due.
 */
static usec_t tick_until(bool busy, usec_t hedge, usec_t now)
{
	if (busy || hedge < now + TICK_BUSY)
		return now + TICK_BUSY;
	return hedge < now + TICK_IDLE ? hedge : now + TICK_IDLE;
}

static int tick_run(void *context, const volatile int *stop)
{
	entry_t *entry = context;
	usec_t shared = 0;
	usec_t hedge;
	usec_t now;
	bool busy;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		now = time_now();
		hedge = INT64_MAX;
		busy = tick_all(entry, now - shared >= TICK_SHARE, &hedge, now);
		if (now - shared >= TICK_SHARE)
			shared = now;
		__atomic_store_n(&entry->tick_busy, busy, __ATOMIC_RELEASE);
		tick_wait(entry, tick_until(busy, hedge, now));
	}
	return 0;
}

void entry_tick_kick(entry_t *entry)
{
	if (__atomic_load_n(&entry->tick_busy, __ATOMIC_ACQUIRE))
		return;
	pthread_mutex_lock(&entry->tick_lock);
	entry->tick_kicked = true;
	pthread_cond_signal(&entry->tick_wake);
	pthread_mutex_unlock(&entry->tick_lock);
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
	entry_tick_kick(context);
}

supervisor_child_t entry_tick_child(entry_t *entry)
{
	supervisor_child_t child = { "tick", tick_run, tick_wake, entry };

	return child;
}
