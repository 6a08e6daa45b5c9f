#include <string.h>
#include <time.h>
#include "entry-claim.h"
#include "entry-io.h"

/* Timer thread of an entry: expires waiting calls, sends due hedges, runs the
   timers of the claims of idempotency keys and recomputes the limits of the
   services. */

/* Shortest interval between runs of the timers, and their interval while calls
   wait, which bounds how late a deadline is noticed. */
#define TICK_INTERVAL_MIN (2 * USEC_PER_MS)
/* Interval at which this entry's share of each service is recomputed, callers
   that are slow to send a call are disconnected, and idle connections to copies
   are checked. */
#define TICK_LIMITS_INTERVAL USEC_PER_SEC
/* Fraction of its share of the retry budget that an entry uses. Entries may
   count different numbers of live entries, so that full shares could exceed the
   budget. */
#define TICK_BUDGET_FRACTION 0.8

/* Time since the last message of a keeper up to which the holders of copies'
   rates in the configuration are taken to be in force. A keeper gives a rate to
   another entry when it has got no heartbeat for about as long. */
#define TICK_COORDINATION_TIMEOUT (2500 * USEC_PER_MS)

static usec_t tick_earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/* Returns the fraction of a service's limits that this entry may use: its
   fraction of the owners' slots or, with entry.routed, an equal fraction for
   each live entry. */
static double tick_share(entry_t *entry, const entry_upstream_t *upstream)
{
	owner_endpoint_t endpoints[OWNER_MAX];
	unsigned count;
	unsigned total_weight = 0;
	unsigned own_weight = 0;
	unsigned i;

	if (entry->presence)
		return 1.0 / presence_client_live_entries(entry->presence);
	count = owner_lookup(entry->owner, upstream->name, "", endpoints,
			     OWNER_MAX);
	for (i = 0; i < count; i++) {
		total_weight += endpoints[i].weight;
		if (!strcmp(endpoints[i].address, entry->call_address))
			own_weight += endpoints[i].weight;
	}
	return own_weight ? (double)own_weight / total_weight : 1;
}

/* Reports what copies have responded and the configuration lacks, and sets how
   long the holders of rates are known. The caller holds upstream->lock. */
static void tick_update_copies(entry_t *entry, entry_upstream_t *upstream,
			       usec_t now)
{
	entry_copy_t *copy = NULL;
	usec_t last;

	if (!entry->presence)
		return;
	last = presence_client_last_response(entry->presence);
	if (last)
		entry_service_set_coordination(&upstream->service,
					       last + TICK_COORDINATION_TIMEOUT,
					       now);
	cds_list_for_each_entry (copy, &upstream->service.copies, link) {
		entry_upstream_report_rate(upstream, copy, now);
		entry_upstream_report_leaving(upstream, copy);
	}
}

static void tick_update_limits(entry_t *entry, entry_upstream_t *upstream,
			       usec_t now)
{
	const entry_settings_t *settings = &entry->settings;
	double share = tick_share(entry, upstream);

	pthread_mutex_lock(&upstream->lock);
	entry_service_set_limits(&upstream->service, upstream->rate, share);
	entry_service_set_probe_rate(&upstream->service,
				     share * settings->probes_per_s *
					     upstream->service.copy_count,
				     now);
	tick_update_copies(entry, upstream, now);
	if (settings->retry_slack)
		entry_service_set_retry_budget(
			&upstream->service,
			TICK_BUDGET_FRACTION * settings->retry_ratio,
			TICK_BUDGET_FRACTION * share * settings->retry_slack,
			settings->retry_window_s * USEC_PER_SEC, now);
	pthread_mutex_unlock(&upstream->lock);
}

/* Runs the timers of one service; returns when to run them again. */
static usec_t tick_upstream(entry_upstream_t *upstream, usec_t now)
{
	usec_t due = entry_hedge_send_due(upstream, now);
	bool waiting;

	entry_handover_give_up(upstream, now);
	due = tick_earlier(due, entry_reach_test_run(upstream, now));
	due = tick_earlier(due, entry_sibling_run(upstream, now));
	entry_dispatch_expire(upstream, now);
	entry_dispatch_next(upstream, now);
	pthread_mutex_lock(&upstream->lock);
	waiting = entry_service_waiting(&upstream->service) > 0;
	pthread_mutex_unlock(&upstream->lock);
	return waiting ? now : due;
}

/* Runs the timers of the claims of idempotency keys, of pending calls (those
   received before the entry had routes) and of all services, whose queues hold
   the waiting calls. Returns when to run them again. */
static usec_t tick_all(entry_t *entry, usec_t now)
{
	usec_t due = entry->claims ? entry_claims_tick(entry->claims, now) :
				     INT64_MAX;
	entry_upstream_t *upstream;

	due = tick_earlier(due, entry_linger_sweep(entry->linger, now));
	if (entry->pending)
		due = tick_earlier(due, entry_pending_expire(entry, now));
	pthread_mutex_lock(&entry->upstreams_lock);
	cds_list_for_each_entry (upstream, &entry->upstreams, link)
		due = tick_earlier(due, tick_upstream(upstream, now));
	pthread_mutex_unlock(&entry->upstreams_lock);
	return due;
}

static void tick_update_all_limits(entry_t *entry, usec_t now)
{
	entry_upstream_t *upstream = NULL;

	/* owner_lookup() may call a function of owner_callbacks_t that takes
	   upstreams_lock, so that lock must not be held here. */
	while ((upstream = entry_upstream_next(entry, upstream)))
		tick_update_limits(entry, upstream, now);
}

/* Returns the connection pools of the copies of a service, with a reference to
   each. */
static GPtrArray *tick_pools(entry_upstream_t *upstream)
{
	GPtrArray *pools = g_ptr_array_new();
	const entry_copy_t *copy;

	pthread_mutex_lock(&upstream->lock);
	cds_list_for_each_entry (copy, &upstream->service.copies, link) {
		if (!copy->io)
			continue;
		entry_conn_pool_ref(copy->io);
		g_ptr_array_add(pools, copy->io);
	}
	pthread_mutex_unlock(&upstream->lock);
	return pools;
}

/* Closes idle connections to copies that are of no further use. */
static void tick_sweep_connections(entry_t *entry, usec_t now)
{
	entry_upstream_t *upstream = NULL;
	GPtrArray *pools;
	guint i;

	while ((upstream = entry_upstream_next(entry, upstream))) {
		pools = tick_pools(upstream);
		for (i = 0; i < pools->len; i++) {
			entry_conn_pool_sweep(pools->pdata[i], now);
			entry_conn_pool_unref(pools->pdata[i]);
		}
		g_ptr_array_free(pools, TRUE);
	}
}

/* Clears the due time before the timers run; entry_tick_schedule() sets it for
   work that is added meanwhile. */
static void tick_reset_due(entry_t *entry)
{
	pthread_mutex_lock(&entry->tick_lock);
	__atomic_store_n(&entry->tick_due, INT64_MAX, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&entry->tick_lock);
}

/* Waits until @due, or an earlier time set by entry_tick_schedule(). */
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
	usec_t limits_due = 0;
	usec_t due;
	usec_t now;

	for (;;) {
		tick_reset_due(entry);
		if (__atomic_load_n(stop, __ATOMIC_ACQUIRE))
			return 0;
		now = time_now();
		if (now >= limits_due) {
			tick_update_all_limits(entry, now);
			entry_read_timeout_sweep(entry->read_timeout, now);
			tick_sweep_connections(entry, now);
			entry_crash_tick(entry, now);
			entry_reach_test_sweep(entry, now);
			limits_due = now + TICK_LIMITS_INTERVAL;
		}
		due = tick_earlier(tick_all(entry, now), limits_due);
		if (due < now + TICK_INTERVAL_MIN)
			due = now + TICK_INTERVAL_MIN;
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
	entry_tick_schedule(entry, now + TICK_INTERVAL_MIN);
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
