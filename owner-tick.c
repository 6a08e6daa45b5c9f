#include <errno.h>
#include <string.h>
#include <time.h>
#include "owner-table.h"

/* Ticks while a copy changes hands or calls wait, and while all is calm. */
#define TICK_BUSY (10 * USEC_PER_MS)
#define TICK_CALM (50 * USEC_PER_MS)
/* A queue that a sibling told this lately may still be worth an offer. */
#define TICK_LEND (100 * USEC_PER_MS)
/* Kicks are gathered for this long. */
#define TICK_KICK_GAP (2 * USEC_PER_MS)
/* Settings of services may have changed: work out their owners anew. */
#define TICK_REFRESH (2 * USEC_PER_SEC)

/* The entry may forget a copy that has nothing to do with us any more. */
static void tick_forget(owner_t *owner, owner_record_t *record, usec_t now)
{
	const owner_callbacks_t *events = &owner->options.callbacks;
	usec_t keep = OWNER_FORGET_LEASES * owner->options.lease;

	if (now - record->announced > keep)
		record->lease.hold = OWNER_HOLD_NONE;
	if (record->lease.hold != OWNER_HOLD_NONE)
		return;
	if (record->shown) {
		if (events->outstanding &&
		    events->outstanding(events->context, record->copy.service,
					record->copy.name))
			return;
		if (events->remove)
			events->remove(events->context, record->copy.service,
				       record->copy.name);
		record->shown = false;
	}
	if (now - record->announced > keep)
		owner_table_record_drop(owner, record);
}

static void tick_record(owner_t *owner, owner_record_t *record, usec_t now)
{
	owner_witness_former(owner, record, now);
	if (record->lease.hold != OWNER_HOLD_NONE)
		owner_table_grant(owner, record, now);
	if (now >= record->next_release &&
	    owner_lease_asks(&record->lease, owner->options.lease, now)) {
		record->next_release = now + OWNER_RELEASE_PERIOD;
		owner_net_release(owner, record);
	}
	tick_forget(owner, record, now);
}

/* Something of this copy is under way between entries, or its lease ends. */
static bool tick_record_busy(const owner_t *owner, const owner_record_t *record,
			     usec_t now)
{
	const owner_lease_t *lease = &record->lease;

	if (record->granted && record->granted_until - now <= TICK_CALM)
		return true;
	return lease->hold != OWNER_HOLD_NONE &&
	       (!owner_lease_clear(lease, now) ||
		owner_lease_asks(lease, owner->options.lease, now));
}

/* Calls wait here, or did lately at a sibling. */
static bool tick_service_busy(const owner_t *owner, const owner_service_t *svc,
			      usec_t now)
{
	const owner_callbacks_t *events = &owner->options.callbacks;
	unsigned i;

	if (!svc->own || !events->offer)
		return false;
	for (i = 0; i < svc->count; i++)
		if (svc->siblings[i].waiting &&
		    now - svc->siblings[i].waited <= TICK_LEND)
			return true;
	return events->waiting && events->waiting(events->context, svc->name);
}

/* How long the next tick may wait. Lock held. */
static usec_t tick_period(const owner_t *owner, usec_t now)
{
	const owner_record_t *record;
	const owner_service_t *svc;

	cds_list_for_each_entry (record, &owner->records, link)
		if (tick_record_busy(owner, record, now))
			return TICK_BUSY;
	cds_list_for_each_entry (svc, &owner->services, link)
		if (tick_service_busy(owner, svc, now))
			return TICK_BUSY;
	return TICK_CALM;
}

void owner_tick(owner_t *owner, usec_t now)
{
	owner_record_t *record;
	owner_record_t *next;
	owner_service_t *svc;

	pthread_mutex_lock(&owner->lock);
	if (now / TICK_REFRESH != owner->now / TICK_REFRESH)
		owner->version++;
	owner->now = now;
	cds_list_for_each_entry_safe (record, next, &owner->records, link)
		tick_record(owner, record, now);
	owner_witness_tick(owner, now);
	cds_list_for_each_entry (svc, &owner->services, link) {
		if (svc->version != owner->version)
			owner_table_service(owner, svc->name);
		owner_lend_tick(owner, svc, now);
	}
	pthread_mutex_unlock(&owner->lock);
}

/* Take over the live entries from the membership. */
static void tick_members(owner_t *owner)
{
	static __thread owner_member_t live[MEMBER_MAX];
	struct member *member = owner->options.member;
	uint64_t version;

	if (!member)
		return;
	version = member_version(member);
	if (version == owner->member_version)
		return;
	owner->member_version = version;
	owner_members(owner, live, member_live(member, live, MEMBER_MAX));
}

/* Let kicks that follow the last tick closely gather. */
static void tick_gather(usec_t last)
{
	struct timespec gap = { 0, TICK_KICK_GAP * 1000 };

	if (time_now() - last < TICK_KICK_GAP)
		nanosleep(&gap, NULL);
}

/* Wait for a kick or the next tick. */
static void tick_wait(owner_t *owner)
{
	struct timespec until;
	usec_t last;

	pthread_mutex_lock(&owner->lock);
	last = owner->now;
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += tick_period(owner, last) * 1000;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	while (!__atomic_load_n(&owner->kicked, __ATOMIC_ACQUIRE))
		if (pthread_cond_timedwait(&owner->wake, &owner->lock,
					   &until) == ETIMEDOUT)
			break;
	pthread_mutex_unlock(&owner->lock);
	tick_gather(last);
	__atomic_store_n(&owner->kicked, false, __ATOMIC_RELEASE);
}

static int tick_run(void *context, const volatile int *stop)
{
	owner_t *owner = context;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		tick_members(owner);
		owner_tick(owner, time_now());
		tick_wait(owner);
	}
	return 0;
}

static void tick_wake(void *context)
{
	owner_wake(context);
}

supervisor_child_t owner_child(owner_t *owner)
{
	supervisor_child_t child = { .name = "owner",
				     .run = tick_run,
				     .wake = tick_wake,
				     .context = owner };

	return child;
}

void owner_wake(owner_t *owner)
{
	if (__atomic_exchange_n(&owner->kicked, true, __ATOMIC_ACQ_REL))
		return;
	pthread_mutex_lock(&owner->lock);
	pthread_cond_signal(&owner->wake);
	pthread_mutex_unlock(&owner->lock);
}

void owner_leave(owner_t *owner)
{
	unsigned i;

	pthread_mutex_lock(&owner->lock);
	owner->leaving = true;
	for (i = 0; i < owner->member_count; i++) {
		if (strcmp(owner->members[i].name, owner->options.self.name) !=
		    0)
			continue;
		owner->members[i] = owner->members[--owner->member_count];
		break;
	}
	owner->version++;
	pthread_mutex_unlock(&owner->lock);
}
