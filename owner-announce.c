#include <string.h>
#include "owner-table.h"

static owner_record_t *announce_record(owner_t *owner, const owner_copy_t *copy,
				       usec_t now)
{
	owner_record_t *record = owner_table_record(owner, copy->service,
						    copy->name);

	if (!record)
		record = owner_table_record_add(owner, copy);
	if (!record)
		return NULL;
	record->copy = *copy;
	record->announced = now;
	return record;
}

/* What the copy echoed before it was sent here is what counts, as often as it
   shows that it had no answer since. */
static void announce_resolve(owner_record_t *record,
			     owner_announcement_t *announcement)
{
	if (!record->redirect || announcement->epoch != record->redirect)
		return;
	memcpy(announcement->owner, record->redirect_owner, HL_NAME_MAX);
	announcement->epoch = record->redirect_epoch;
}

owner_record_t *owner_accept(owner_t *owner,
			     const owner_announcement_t *announcement,
			     usec_t now, hl_error_t *err)
{
	owner_announcement_t resolved = *announcement;
	owner_record_t *record = announce_record(owner, &announcement->copy,
						 now);
	owner_hold_t hold;

	if (!record) {
		hl_error_set(err, HL_ERR_LIMIT,
			     "this entry has %d copies; add entry VMs",
			     OWNER_RECORDS_MAX);
		return NULL;
	}
	hold = record->lease.hold;
	announce_resolve(record, &resolved);
	resolved.ours = owner_witness_ours(owner, resolved.witness);
	owner_lease_accept(&record->lease, &resolved, owner->options.self.name,
			   owner->options.lease, now);
	if (hold != OWNER_HOLD_HELD && record->lease.hold == OWNER_HOLD_HELD) {
		record->held_since = now;
		metrics_add(owner->taken, record->lease.former.until != 0);
	}
	owner_table_grant(owner, record, now);
	return record;
}

void owner_expect(owner_t *owner, const owner_announcement_t *announcement,
		  uint64_t redirect, usec_t now)
{
	owner_record_t *record = announce_record(owner, &announcement->copy,
						 now);

	if (!record)
		return;
	record->lease.sequence = announcement->sequence;
	/* Sent here a second time, it had no answer since the first. */
	if (!record->redirect || announcement->epoch != record->redirect) {
		memcpy(record->redirect_owner, announcement->owner,
		       HL_NAME_MAX);
		record->redirect_epoch = announcement->epoch;
	}
	record->redirect = redirect;
	owner_table_grant(owner, record, now);
}

/* Nothing is outstanding at the copy, ours or an earlier owner's. */
static bool announce_empty(owner_t *owner, const owner_record_t *record,
			   usec_t now)
{
	const owner_callbacks_t *events = &owner->options.callbacks;
	const owner_former_t *former = &record->lease.former;
	usec_t span = owner->options.lease;

	if (!owner_table_stopped(owner, &record->copy))
		return false;
	if (!owner_lease_clear(&record->lease, now) ||
	    owner_lease_foreign(&record->lease, span, now))
		return false;
	/* A former owner that never answered may have had calls there. */
	if (former->until && !former->released && now < former->until + span)
		return false;
	return !events->outstanding ||
	       !events->outstanding(events->context, record->copy.service,
				    record->copy.name);
}

/* The copy has echoed what it is to echo; until then it comes often. */
static bool announce_settled(const owner_lease_t *lease, usec_t now)
{
	const owner_former_t *former = &lease->former;

	if (lease->hold != OWNER_HOLD_HELD)
		return false;
	if (!owner_lease_clear(lease, now))
		return !former->witness[0] ||
		       now - former->since >= OWNER_SETTLE;
	return !lease->other_term && lease->term == lease->answered_term;
}

static void announce_answer(owner_t *owner, const owner_member_t *place,
			    owner_record_t *record, usec_t now,
			    owner_announce_response_t *out)
{
	usec_t interval = OWNER_INTERVAL_FAST;

	memset(out, 0, sizeof(*out));
	memcpy(out->owner, place->name, HL_NAME_MAX);
	memcpy(out->owner_address, place->control_address, HL_ADDRESS_MAX);
	out->lease_ms = owner->options.lease / USEC_PER_MS;
	if (record) {
		out->epoch = record->lease.epoch;
		out->empty = announce_empty(owner, record, now);
		owner_witness_answer(owner, record, now, out->witness);
		owner_table_grant(owner, record, now);
		if (announce_settled(&record->lease, now))
			interval = owner->options.announce_interval;
	}
	out->interval_ms = interval / USEC_PER_MS;
}

static uint64_t announce_redirect_epoch(
	const owner_t *owner, const owner_announcement_t *announcement,
	usec_t now)
{
	const owner_copy_t *copy = &announcement->copy;
	uint64_t hash = (uint64_t)now;

	hash = hl_hash(owner->options.self.name, HL_NAME_MAX, hash);
	hash = hl_hash(copy->name, strlen(copy->name), hash);
	hash = hl_hash(&announcement->sequence, sizeof(announcement->sequence),
		       hash);
	return OWNER_EPOCH_REDIRECT | hash % OWNER_EPOCH_REDIRECT;
}

/* Another entry owns it: tell both, and use what it said if we still hold
   it. */
static void announce_redirect(owner_t *owner, const owner_member_t *place,
			      owner_record_t *record,
			      const owner_announcement_t *announcement,
			      usec_t now, owner_announce_response_t *out)
{
	owner_announcement_t resolved = *announcement;

	if (record) {
		announce_resolve(record, &resolved);
		record->copy = announcement->copy;
		record->announced = now;
		record->lease.sequence = announcement->sequence;
		owner_table_grant(owner, record, now);
	}
	announce_answer(owner, place, NULL, now, out);
	out->epoch = announce_redirect_epoch(owner, announcement, now);
	if (announcement->owner[0])
		memcpy(out->witness, announcement->witness, WITNESS_TEXT_MAX);
	else
		strcpy(out->witness, OWNER_WITNESS_NONE);
	/* Twice, as a lost one costs the copy a whole lease. */
	owner_net_forward(owner, place, &resolved, out->epoch);
	owner_net_forward(owner, place, &resolved, out->epoch);
}

static int announce_locked(owner_t *owner,
			   const owner_announcement_t *announcement, usec_t now,
			   owner_announce_response_t *out, hl_error_t *err)
{
	const owner_copy_t *copy = &announcement->copy;
	owner_service_t *svc = owner_table_service(owner, copy->service);
	const owner_member_t *place;
	owner_record_t *record;

	if (!svc)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "more than %d services; retire some",
				    OWNER_SERVICES_MAX);
	record = owner_table_record(owner, copy->service, copy->name);
	if (record && announcement->sequence <= record->lease.sequence)
		return hl_error_set(err, HL_ERR_CONFLICT,
				    "sequence %" PRIu64 " is not above %" PRIu64
				    "; announce with a greater one",
				    announcement->sequence,
				    record->lease.sequence);
	place = owner_table_place(owner, svc, announcement, now);
	if (!place)
		return hl_error_set(err, HL_ERR_UNAVAILABLE,
				    "no entry is known yet; announce again in "
				    "a second");
	if (strcmp(place->name, owner->options.self.name) != 0) {
		announce_redirect(owner, place, record, announcement, now, out);
		return 0;
	}
	record = owner_accept(owner, announcement, now, err);
	if (!record)
		return -1;
	announce_answer(owner, place, record, now, out);
	return 0;
}

int owner_announce(owner_t *owner, const owner_announcement_t *announcement,
		   usec_t now, owner_announce_response_t *out, hl_error_t *err)
{
	int rc;

	pthread_mutex_lock(&owner->lock);
	rc = announce_locked(owner, announcement, now, out, err);
	pthread_mutex_unlock(&owner->lock);
	return rc;
}

bool owner_may_send(owner_t *owner, const char *service, const char *copy,
		    usec_t now)
{
	const owner_record_t *record;
	bool may;

	pthread_mutex_lock(&owner->lock);
	record = owner_table_record(owner, service, copy);
	may = record && owner_table_until(owner, record, now);
	pthread_mutex_unlock(&owner->lock);
	return may;
}
