#include <string.h>
#include <time.h>
#include "entry-io.h"

/*
 * Callbacks of the owner module (owner.h), which apply its leases and offers to
 * the upstreams and report the state of their queues. That module holds its
 * lock during a callback, so no lock taken here may be held while calling an
 * owner_*() function.
 */

/* Longest slow start of a copy that keeps announcing itself as cold. */
#define OWNER_WARMUP_MAX (60 * USEC_PER_SEC)
#define NSEC_PER_USEC 1000

/* Replaces the connection pool of a copy whose address has changed, unless
   calls are outstanding over the old pool. The caller holds the lock of the
   copy's upstream. */
static void owner_update_pool(entry_copy_t *copy, const char *address,
			      unsigned idle_max)
{
	bool moved = strcmp(copy->address, address) != 0;

	if (copy->io && moved && !copy->outstanding) {
		entry_conn_pool_unref(copy->io);
		copy->io = NULL;
	}
	if (copy->io)
		return;
	memcpy(copy->address, address, HL_ADDRESS_MAX);
	copy->io = entry_conn_pool_new(address, idle_max);
}

/* Updates a copy from its announcement and lease. The caller holds the lock of
   the copy's upstream. */
static void owner_update_copy(entry_copy_t *copy, const owner_copy_t *announced,
			      unsigned limit, usec_t lease_until, usec_t now)
{
	memcpy(copy->zone, announced->zone, HL_NAME_MAX);
	copy->slots = announced->slots;
	copy->connections = announced->connections;
	if (announced->state == OWNER_COPY_COLD)
		copy->leaving = false;
	copy->draining = copy->leaving ||
			 announced->state == OWNER_COPY_DRAINING;
	copy->last_seen = now;
	if (announced->state == OWNER_COPY_COLD)
		entry_service_slow_start(copy, now + OWNER_WARMUP_MAX, now);
	owner_update_pool(copy, announced->address, announced->slots + limit);
	copy->limit = copy->io ? limit : 0;
	copy->lease_until = lease_until;
}

static void owner_on_limit(void *context, const owner_copy_t *announced,
			   unsigned limit, usec_t lease_until)
{
	entry_t *entry = context;
	entry_upstream_t *upstream =
		entry_upstream_find_or_add(entry, announced->service);
	usec_t now = time_now();
	entry_copy_t *copy;

	if (!upstream)
		return;
	pthread_mutex_lock(&upstream->lock);
	copy = entry_service_copy_find(&upstream->service, announced->name);
	if (!copy)
		copy = entry_service_copy_add(&upstream->service,
					      announced->name, now);
	if (copy)
		owner_update_copy(copy, announced, limit, lease_until, now);
	pthread_mutex_unlock(&upstream->lock);
	entry_dispatch_next(upstream, now);
}

static void owner_on_remove(void *context, const char *service,
			    const char *name)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	entry_conn_pool_t *pool = NULL;
	entry_copy_t *copy;

	if (!upstream)
		return;
	pthread_mutex_lock(&upstream->lock);
	copy = entry_service_copy_find(&upstream->service, name);
	if (copy && !copy->outstanding) {
		pool = copy->io;
		entry_service_copy_remove(&upstream->service, copy);
	}
	pthread_mutex_unlock(&upstream->lock);
	if (pool)
		entry_conn_pool_unref(pool);
}

static unsigned owner_on_outstanding(void *context, const char *service,
				     const char *name)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	const entry_copy_t *copy;
	unsigned count = 0;

	if (!upstream)
		return 0;
	pthread_mutex_lock(&upstream->lock);
	copy = entry_service_copy_find(&upstream->service, name);
	if (copy)
		count = copy->outstanding;
	pthread_mutex_unlock(&upstream->lock);
	return count;
}

static unsigned owner_on_waiting(void *context, const char *service)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	unsigned count;

	if (!upstream)
		return 0;
	pthread_mutex_lock(&upstream->lock);
	count = entry_service_waiting(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	return count;
}

static unsigned owner_on_free_credits(void *context, const char *service)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	unsigned count;

	if (!upstream)
		return 0;
	pthread_mutex_lock(&upstream->lock);
	count = entry_reserve_available(&upstream->service, time_now());
	pthread_mutex_unlock(&upstream->lock);
	return count;
}

static unsigned owner_on_pipeline(void *context, const char *service)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	unsigned count = 1;

	if (!upstream)
		return count;
	pthread_mutex_lock(&upstream->lock);
	count = upstream->service.profile->pipeline_max;
	pthread_mutex_unlock(&upstream->lock);
	return count;
}

static unsigned owner_on_owners_wanted(void *context, const char *service)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	unsigned count;

	if (!upstream)
		return 0;
	pthread_mutex_lock(&upstream->lock);
	count = upstream->owners;
	pthread_mutex_unlock(&upstream->lock);
	return count;
}

static bool owner_on_planned_stop(void *context, const char *service,
				  const char *copy)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);

	return upstream && entry_config_stop_planned(upstream, copy);
}

/* Reserves free credits for calls of the sibling that they are offered to. */
static unsigned owner_on_reserve(void *context, const char *service,
				 unsigned credits, usec_t until)
{
	entry_upstream_t *upstream = entry_upstream_find(context, service);
	unsigned reserved;

	if (!upstream)
		return 0;
	pthread_mutex_lock(&upstream->lock);
	reserved = entry_reserve_add(&upstream->service, credits, until,
				     time_now());
	pthread_mutex_unlock(&upstream->lock);
	return reserved;
}

/* Hands waiting calls over to a sibling that offers free credits. */
static void owner_on_offer(void *context, const char *service,
			   const owner_member_t *from, unsigned credits)
{
	entry_t *entry = context;
	entry_upstream_t *upstream = entry_upstream_find(entry, service);

	if (!upstream || !entry->settings.lending)
		return;
	entry_forward_waiting(upstream, from->call_address, credits);
}

/* Returns the wall-clock time in microseconds as the number of this process. It
   is above that of earlier processes unless the clock was set back. */
static uint64_t owner_boot_number(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * USEC_PER_SEC +
	       (uint64_t)ts.tv_nsec / NSEC_PER_USEC;
}

int entry_owner_new(entry_t *entry, const owner_member_t *self, hl_error_t *err)
{
	owner_options_t options = { .self = *self, .member = entry->member };

	options.metrics = entry->metrics;
	options.announce_interval = entry->settings.interval_ms * USEC_PER_MS;
	options.lease = entry->settings.lease_ms * USEC_PER_MS;
	options.lend_rate = (uint64_t)entry->settings.lend_bytes;
	options.boot = owner_boot_number();
	options.started = time_now();
	options.callbacks.context = entry;
	options.callbacks.limit = owner_on_limit;
	options.callbacks.remove = owner_on_remove;
	options.callbacks.outstanding = owner_on_outstanding;
	options.callbacks.waiting = owner_on_waiting;
	options.callbacks.free_credits = owner_on_free_credits;
	options.callbacks.pipeline = owner_on_pipeline;
	options.callbacks.offer = entry->settings.lending ? owner_on_offer :
							    NULL;
	options.callbacks.owners_wanted = owner_on_owners_wanted;
	options.callbacks.planned_stop = owner_on_planned_stop;
	options.callbacks.reserve = owner_on_reserve;
	entry->owner = owner_new(&options, err);
	return entry->owner ? 0 : -1;
}

bool entry_owner_may_send(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	bool allowed;

	if (req->forward)
		return true;
	pthread_mutex_lock(&upstream->lock);
	allowed = now < req->call.copy->lease_until &&
		  entry_service_may_send(req->call.copy, req->call.sent, now);
	/* With entry.routed a lease has no end, so a draining copy is excluded
	   here from further calls. */
	if (req->entry->settings.routed && req->call.copy->draining)
		allowed = false;
	pthread_mutex_unlock(&upstream->lock);
	return allowed;
}
