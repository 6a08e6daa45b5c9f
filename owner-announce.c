#include <string.h>
#include "owner-table.h"

/* Announcements of copies: renews the lease of a copy that this entry owns, or
   redirects the copy to its owner. */

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
	record->announced_at = now;
	return record;
}

/* Replaces the echo of a redirect by the owner and epoch that the copy echoed
   before it. Applied to each announcement that echoes the redirect, as the copy
   has received no response since. */
static void announce_resolve(owner_record_t *record,
			     owner_announcement_t *announcement)
{
	if (!record->redirect_epoch ||
	    announcement->epoch != record->redirect_epoch)
		return;
	memcpy(announcement->owner, record->echoed_owner, HL_NAME_MAX);
	announcement->epoch = record->echoed_epoch;
}

owner_record_t *owner_announce_accept(owner_t *owner,
				      const owner_announcement_t *announcement,
				      usec_t now, hl_error_t *err)
{
	owner_announcement_t resolved = *announcement;
	owner_record_t *record = announce_record(owner, &announcement->copy,
						 now);
	owner_lease_state_t previous_state;

	if (!record) {
		hl_error_set(err, HL_ERR_LIMIT,
			     "this entry has %d copies, the maximum; "
			     "add entry VMs",
			     OWNER_RECORDS_MAX);
		return NULL;
	}
	previous_state = record->lease.state;
	announce_resolve(record, &resolved);
	resolved.own_term = owner_witness_is_own_term(owner, resolved.witness);
	owner_lease_accept(&record->lease, &resolved, owner->options.self.name,
			   owner->options.lease, now);
	if (previous_state != OWNER_LEASE_HELD &&
	    record->lease.state == OWNER_LEASE_HELD) {
		record->held_at = now;
		metrics_add(owner->copies_taken,
			    record->lease.former.expires != 0);
	}
	owner_table_report_limit(owner, record, now);
	return record;
}

void owner_announce_on_forward(owner_t *owner,
			       const owner_announcement_t *announcement,
			       uint64_t redirect, usec_t now)
{
	owner_record_t *record = announce_record(owner, &announcement->copy,
						 now);

	if (!record)
		return;
	record->lease.sequence = announcement->sequence;
	/* On a second redirect in a row the copy echoes the first one. The
	   owner and epoch that it echoed before the first one still apply. */
	if (!record->redirect_epoch ||
	    announcement->epoch != record->redirect_epoch) {
		memcpy(record->echoed_owner, announcement->owner, HL_NAME_MAX);
		record->echoed_epoch = announcement->epoch;
	}
	record->redirect_epoch = redirect;
	owner_table_report_limit(owner, record, now);
}

/* Whether a draining copy has no outstanding call of this entry or of a former
   owner. */
static bool announce_empty(owner_t *owner, const owner_record_t *record,
			   usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	const owner_former_t *former = &record->lease.former;
	usec_t duration = owner->options.lease;

	if (!owner_table_stopped(owner, &record->copy))
		return false;
	if (!owner_lease_former_fenced(&record->lease, now) ||
	    owner_lease_former_outstanding(&record->lease, duration, now))
		return false;
	/* A former owner that did not respond to the release request may have
	   calls outstanding. */
	if (former->expires && !former->released &&
	    now < former->expires + duration)
		return false;
	return !callbacks->outstanding ||
	       !callbacks->outstanding(callbacks->context, record->copy.service,
				       record->copy.name);
}

/* Whether the copy can announce itself at the normal interval: it has echoed
   the epoch and the last term of this entry, or it waits for a former owner
   that has no term or whose term was not ended within OWNER_CLAIM_FAST_MAX. */
static bool announce_settled(const owner_lease_t *lease, usec_t now)
{
	const owner_former_t *former = &lease->former;

	if (lease->state != OWNER_LEASE_HELD)
		return false;
	if (!owner_lease_former_fenced(lease, now))
		return !former->witness[0] ||
		       now - former->claimed_at >= OWNER_CLAIM_FAST_MAX;
	return !lease->other_term && lease->term == lease->answered_term;
}

static void announce_fill_response(owner_t *owner,
				   const owner_member_t *assigned,
				   owner_record_t *record, usec_t now,
				   owner_announce_response_t *out)
{
	usec_t interval = OWNER_ANNOUNCE_INTERVAL_FAST;

	memset(out, 0, sizeof(*out));
	memcpy(out->owner, assigned->name, HL_NAME_MAX);
	memcpy(out->owner_address, assigned->control_address, HL_ADDRESS_MAX);
	out->lease_ms = owner->options.lease / USEC_PER_MS;
	if (record) {
		out->epoch = record->lease.epoch;
		out->empty = announce_empty(owner, record, now);
		owner_witness_response_term(owner, record, now, out->witness);
		owner_table_report_limit(owner, record, now);
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

/* Redirects the copy to another entry and forwards the announcement there. If
   this entry has a record of the copy, the announcement updates that too. */
static void announce_redirect(owner_t *owner, const owner_member_t *assigned,
			      owner_record_t *record,
			      const owner_announcement_t *announcement,
			      usec_t now, owner_announce_response_t *out)
{
	owner_announcement_t resolved = *announcement;

	if (record) {
		announce_resolve(record, &resolved);
		record->copy = announcement->copy;
		record->announced_at = now;
		record->lease.sequence = announcement->sequence;
		owner_table_report_limit(owner, record, now);
	}
	announce_fill_response(owner, assigned, NULL, now, out);
	out->epoch = announce_redirect_epoch(owner, announcement, now);
	if (announcement->owner[0])
		memcpy(out->witness, announcement->witness, WITNESS_TEXT_MAX);
	else
		strcpy(out->witness, OWNER_WITNESS_NONE);
	/* Sent twice, as losing it costs the copy a whole lease duration. */
	owner_net_forward(owner, assigned, &resolved, out->epoch);
	owner_net_forward(owner, assigned, &resolved, out->epoch);
}

static int announce_locked(owner_t *owner,
			   const owner_announcement_t *announcement, usec_t now,
			   owner_announce_response_t *out, hl_error_t *err)
{
	const owner_copy_t *copy = &announcement->copy;
	owner_service_t *svc = owner_table_service(owner, copy->service);
	const owner_member_t *assigned;
	owner_record_t *record;

	if (!svc)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "more than %d services; retire unused ones",
				    OWNER_SERVICES_MAX);
	record = owner_table_record(owner, copy->service, copy->name);
	if (record && announcement->sequence <= record->lease.sequence)
		return hl_error_set(err, HL_ERR_CONFLICT,
				    "sequence %" PRIu64 " is not above %" PRIu64
				    "; announce with a greater one",
				    announcement->sequence,
				    record->lease.sequence);
	assigned = owner_placement_choose(owner, svc, announcement, now);
	if (!assigned)
		return hl_error_set(
			err, HL_ERR_UNAVAILABLE,
			"no live entry is known yet; announce again "
			"in a second");
	if (strcmp(assigned->name, owner->options.self.name) != 0) {
		announce_redirect(owner, assigned, record, announcement, now,
				  out);
		return 0;
	}
	record = owner_announce_accept(owner, announcement, now, err);
	if (!record)
		return -1;
	announce_fill_response(owner, assigned, record, now, out);
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
