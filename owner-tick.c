#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "owner-table.h"

/* The thread of an owner_t: renews leases, requests releases, reports to the
   siblings and removes old records in each tick. */

/* Interval between ticks while a copy changes its owner or calls wait (busy),
   and at other times (idle). */
#define TICK_BUSY_INTERVAL (10 * USEC_PER_MS)
#define TICK_IDLE_INTERVAL (50 * USEC_PER_MS)
/* Maximum age of a sibling's report of waiting calls for which the busy
   interval is used. */
#define TICK_QUEUE_MAX_AGE (100 * USEC_PER_MS)
/* After an owner_wake() less than this time after a tick, the next tick is
   delayed by this time, so that several wake-ups lead to one tick. */
#define TICK_WAKE_INTERVAL (2 * USEC_PER_MS)
/* Interval at which the owners of all services are recomputed, as the
   configured number of owners may have changed. */
#define TICK_OWNERS_REFRESH_INTERVAL (2 * USEC_PER_SEC)

/* Removes a copy that this entry does not own (owner_callbacks_t.remove) once
   no call of this entry is outstanding at the copy. Frees the record of the
   copy after OWNER_RECORD_TTL_LEASES lease durations without an
   announcement. */
static void tick_expire_record(owner_t *owner, owner_record_t *record,
			       usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	usec_t ttl = OWNER_RECORD_TTL_LEASES * owner->options.lease;

	if (now - record->announced_at > ttl)
		record->lease.state = OWNER_LEASE_NONE;
	if (record->lease.state != OWNER_LEASE_NONE)
		return;
	if (record->reported) {
		if (callbacks->outstanding &&
		    callbacks->outstanding(callbacks->context,
					   record->copy.service,
					   record->copy.name))
			return;
		if (callbacks->remove)
			callbacks->remove(callbacks->context,
					  record->copy.service,
					  record->copy.name);
		record->reported = false;
	}
	if (now - record->announced_at > ttl)
		owner_table_record_remove(owner, record);
}

static void tick_record(owner_t *owner, owner_record_t *record, usec_t now)
{
	owner_witness_end_former(owner, record, now);
	if (record->lease.state != OWNER_LEASE_NONE)
		owner_table_report_limit(owner, record, now);
	if (now >= record->next_release &&
	    owner_lease_needs_release(&record->lease, owner->options.lease,
				      now)) {
		record->next_release = now + OWNER_RELEASE_INTERVAL;
		owner_net_release(owner, record);
	}
	tick_expire_record(owner, record, now);
}

/* Whether an exchange between entries about this copy is pending, or its lease
   expires before the next tick. */
static bool tick_record_busy(const owner_t *owner, const owner_record_t *record,
			     usec_t now)
{
	const owner_lease_t *lease = &record->lease;

	if (record->reported_limit &&
	    record->reported_until - now <= TICK_IDLE_INTERVAL)
		return true;
	return lease->state != OWNER_LEASE_NONE &&
	       (!owner_lease_former_fenced(lease, now) ||
		owner_lease_needs_release(lease, owner->options.lease, now));
}

/* Whether calls of the service wait at this entry, or a sibling reported
   waiting calls recently. */
static bool tick_service_busy(const owner_t *owner, const owner_service_t *svc,
			      usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	unsigned i;

	if (!svc->is_owner || !callbacks->offer)
		return false;
	for (i = 0; i < svc->sibling_count; i++)
		if (svc->siblings[i].waiting &&
		    now - svc->siblings[i].waiting_at <= TICK_QUEUE_MAX_AGE)
			return true;
	return callbacks->waiting &&
	       callbacks->waiting(callbacks->context, svc->name);
}

/* Returns the time until the next tick. The caller holds owner->lock. */
static usec_t tick_interval(const owner_t *owner, usec_t now)
{
	const owner_record_t *record;
	const owner_service_t *svc;

	cds_list_for_each_entry (record, &owner->records, link)
		if (tick_record_busy(owner, record, now))
			return TICK_BUSY_INTERVAL;
	cds_list_for_each_entry (svc, &owner->services, link)
		if (tick_service_busy(owner, svc, now))
			return TICK_BUSY_INTERVAL;
	return TICK_IDLE_INTERVAL;
}

void owner_tick(owner_t *owner, usec_t now)
{
	owner_record_t *record;
	owner_record_t *next;
	owner_service_t *svc;

	pthread_mutex_lock(&owner->lock);
	if (now / TICK_OWNERS_REFRESH_INTERVAL !=
	    owner->now / TICK_OWNERS_REFRESH_INTERVAL)
		owner->members_version++;
	owner->now = now;
	cds_list_for_each_entry_safe (record, next, &owner->records, link)
		tick_record(owner, record, now);
	owner_witness_tick(owner, now);
	cds_list_for_each_entry (svc, &owner->services, link) {
		if (svc->version != owner->members_version)
			owner_table_service(owner, svc->name);
		owner_lend_tick(owner, svc, now);
	}
	pthread_mutex_unlock(&owner->lock);
}

/* Updates the live entries from the membership, if they changed. The list is
   too large for a stack, and thread-local storage is allocated in each thread. */
static void tick_members(owner_t *owner)
{
	struct member *member = owner->options.member;
	owner_member_t *live;
	uint64_t version;

	if (!member)
		return;
	version = member_version(member);
	if (version == owner->membership_version)
		return;
	live = calloc(MEMBER_MAX, sizeof(*live));
	if (!live) {
		log_event(LOG_LEVEL_ERROR, "members-not-taken",
			  "message=\"out of memory; give the VM more memory\"");
		return;
	}
	owner->membership_version = version;
	owner_set_members(owner, live, member_live(member, live, MEMBER_MAX));
	free(live);
}

/* Sleeps for TICK_WAKE_INTERVAL if the last tick was less than that ago. */
static void tick_coalesce_wakes(usec_t last)
{
	struct timespec gap = { 0, TICK_WAKE_INTERVAL * 1000 };

	if (time_now() - last < TICK_WAKE_INTERVAL)
		nanosleep(&gap, NULL);
}

/* Waits for owner_wake() or the next tick. */
static void tick_wait(owner_t *owner)
{
	struct timespec until;
	usec_t last;

	pthread_mutex_lock(&owner->lock);
	last = owner->now;
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += tick_interval(owner, last) * 1000;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	while (!__atomic_load_n(&owner->woken, __ATOMIC_ACQUIRE))
		if (pthread_cond_timedwait(&owner->wake, &owner->lock,
					   &until) == ETIMEDOUT)
			break;
	pthread_mutex_unlock(&owner->lock);
	tick_coalesce_wakes(last);
	__atomic_store_n(&owner->woken, false, __ATOMIC_RELEASE);
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
	if (__atomic_exchange_n(&owner->woken, true, __ATOMIC_ACQ_REL))
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
	owner->members_version++;
	pthread_mutex_unlock(&owner->lock);
}
