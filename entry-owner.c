#include <string.h>
#include <time.h>
#include "entry-io.h"

/* What the owner module asks of and tells the daemon. It holds its own lock
   meanwhile, so no lock taken here may be held while calling it. */

/* A copy that keeps saying that it is cold is taken for warm after this. */
#define OWNER_COLD_MAX (60 * USEC_PER_SEC)
#define NSEC_PER_USEC 1000

/* Keep the place of a copy at its address. Lock held. */
static void owner_place(entry_copy_t *copy, const char *address, unsigned idle)
{
	bool moved = strcmp(copy->address, address) != 0;

	if (copy->io && moved && !copy->outstanding) {
		entry_conn_pool_unref(copy->io);
		copy->io = NULL;
	}
	if (copy->io)
		return;
	memcpy(copy->address, address, HL_ADDRESS_MAX);
	copy->io = entry_conn_pool_new(address, idle);
}

/* Take over what the copy said. Lock held. */
static void owner_fill(entry_copy_t *copy, const owner_copy_t *said,
		       unsigned limit, usec_t until, usec_t now)
{
	memcpy(copy->zone, said->zone, HL_NAME_MAX);
	copy->slots = said->slots;
	copy->connections = said->connections;
	copy->draining = said->state == OWNER_COPY_DRAINING;
	copy->last_seen = now;
	if (said->state == OWNER_COPY_COLD)
		entry_service_slow_start(copy, now + OWNER_COLD_MAX, now);
	owner_place(copy, said->address, said->slots + limit);
	copy->limit = copy->io ? limit : 0;
	copy->lease_until = until;
}

static void owner_on_limit(void *context, const owner_copy_t *said,
			   unsigned limit, usec_t until)
{
	entry_t *entry = context;
	entry_route_t *route = entry_route_find_or_add(entry, said->service);
	usec_t now = time_now();
	entry_copy_t *copy;

	if (!route)
		return;
	pthread_mutex_lock(&route->lock);
	copy = entry_service_copy_find(&route->service, said->name);
	if (!copy)
		copy = entry_service_copy_add(&route->service, said->name, now);
	if (copy)
		owner_fill(copy, said, limit, until, now);
	pthread_mutex_unlock(&route->lock);
	entry_dispatch_next(route, now);
}

static void owner_on_forget(void *context, const char *service,
			    const char *name)
{
	entry_route_t *route = entry_route_find(context, service);
	entry_conn_pool_t *place = NULL;
	entry_copy_t *copy;

	if (!route)
		return;
	pthread_mutex_lock(&route->lock);
	copy = entry_service_copy_find(&route->service, name);
	if (copy && !copy->outstanding) {
		place = copy->io;
		entry_service_copy_remove(&route->service, copy);
	}
	pthread_mutex_unlock(&route->lock);
	if (place)
		entry_conn_pool_unref(place);
}

static unsigned owner_on_outstanding(void *context, const char *service,
				     const char *name)
{
	entry_route_t *route = entry_route_find(context, service);
	const entry_copy_t *copy;
	unsigned count = 0;

	if (!route)
		return 0;
	pthread_mutex_lock(&route->lock);
	copy = entry_service_copy_find(&route->service, name);
	if (copy)
		count = copy->outstanding;
	pthread_mutex_unlock(&route->lock);
	return count;
}

static unsigned owner_on_waiting(void *context, const char *service)
{
	entry_route_t *route = entry_route_find(context, service);
	unsigned count;

	if (!route)
		return 0;
	pthread_mutex_lock(&route->lock);
	count = entry_service_waiting(&route->service);
	pthread_mutex_unlock(&route->lock);
	return count;
}

static unsigned owner_on_idle(void *context, const char *service)
{
	entry_route_t *route = entry_route_find(context, service);
	unsigned count;

	if (!route)
		return 0;
	pthread_mutex_lock(&route->lock);
	count = entry_reserve_available(&route->service, time_now());
	pthread_mutex_unlock(&route->lock);
	return count;
}

static unsigned owner_on_pipeline(void *context, const char *service)
{
	entry_route_t *route = entry_route_find(context, service);
	unsigned count = 1;

	if (!route)
		return count;
	pthread_mutex_lock(&route->lock);
	count = route->service.profile->pipeline_max;
	pthread_mutex_unlock(&route->lock);
	return count;
}

static unsigned owner_on_wanted(void *context, const char *service)
{
	entry_route_t *route = entry_route_find(context, service);
	unsigned count;

	if (!route)
		return 0;
	pthread_mutex_lock(&route->lock);
	count = route->owners;
	pthread_mutex_unlock(&route->lock);
	return count;
}

static bool owner_on_stopped(void *context, const char *service,
			     const char *copy)
{
	entry_route_t *route = entry_route_find(context, service);

	return route && entry_config_stop_planned(route, copy);
}

/* Keep free credits for the calls that a sibling was offered them for. */
static unsigned owner_on_reserve(void *context, const char *service,
				 unsigned credits, usec_t until)
{
	entry_route_t *route = entry_route_find(context, service);
	unsigned kept;

	if (!route)
		return 0;
	pthread_mutex_lock(&route->lock);
	kept = entry_reserve_add(&route->service, credits, until, time_now());
	pthread_mutex_unlock(&route->lock);
	return kept;
}

/* A sibling has free credits: hand it calls that wait here. */
static void owner_on_offer(void *context, const char *service,
			   const owner_member_t *from, unsigned credits)
{
	entry_t *entry = context;
	entry_route_t *route = entry_route_find(entry, service);

	if (!route || !entry->settings.lending)
		return;
	entry_forward_waiting(route, from->call_address, credits);
}

/* Above that of an earlier process, if the clock allows. */
static uint64_t owner_boot(void)
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
	options.boot = owner_boot();
	options.started = time_now();
	options.callbacks.context = entry;
	options.callbacks.limit = owner_on_limit;
	options.callbacks.remove = owner_on_forget;
	options.callbacks.outstanding = owner_on_outstanding;
	options.callbacks.waiting = owner_on_waiting;
	options.callbacks.free_credits = owner_on_idle;
	options.callbacks.pipeline = owner_on_pipeline;
	options.callbacks.offer = entry->settings.lending ? owner_on_offer :
							    NULL;
	options.callbacks.owners_wanted = owner_on_wanted;
	options.callbacks.planned_stop = owner_on_stopped;
	options.callbacks.reserve = owner_on_reserve;
	entry->owner = owner_new(&options, err);
	return entry->owner ? 0 : -1;
}

bool entry_owner_may_send(entry_request_t *req, usec_t now)
{
	entry_route_t *route = req->route;
	bool may;

	if (req->forward)
		return true;
	pthread_mutex_lock(&route->lock);
	may = now < req->call.copy->lease_until;
	/* Without leases a copy that drains gets nothing at once. */
	if (req->entry->settings.routed && req->call.copy->draining)
		may = false;
	pthread_mutex_unlock(&route->lock);
	return may;
}
