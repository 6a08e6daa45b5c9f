#include <stdlib.h>
#include <string.h>
#include "owner-table.h"

/* Witness leases of this entry: sends and receives their datagrams, chooses the
   witnesses, and requests the end of the terms of failed owners. */

void owner_witness_init(owner_t *owner)
{
	const owner_options_t *options = &owner->options;
	usec_t echo_delay_max = 2 * options->announce_interval +
				WITNESS_REPLACE_TIMEOUT;

	witness_holder_init(&owner->witness_holder, options->self.name,
			    options->boot, echo_delay_max);
	owner->witness_grantor.boot = options->boot;
	owner->witness_grantor.started = options->started;
}

/* Copies the other live entries to @out, which has room for all. */
static unsigned witness_others(const owner_t *owner, owner_member_t *out)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < owner->member_count; i++)
		if (strcmp(owner->members[i].name, owner->options.self.name) !=
		    0)
			out[count++] = owner->members[i];
	return count;
}

/* Opens a term with WITNESS_COUNT other entries as witnesses, selected by
   rendezvous hashing; each zone has one witness before any has a second. With
   fewer other entries there is no term, and only the leases of the copies limit
   what this entry may send. */
static void witness_open(owner_t *owner, usec_t now)
{
	const char *names[WITNESS_COUNT];
	unsigned best[WITNESS_COUNT];
	owner_member_t *others = calloc(MEMBER_MAX, sizeof(*others));
	unsigned count;
	unsigned i;

	if (!others)
		return;
	count = owner_hash_service(others, witness_others(owner, others),
				   owner->options.self.name, WITNESS_COUNT,
				   best);
	for (i = 0; i < count; i++)
		names[i] = others[best[i]].name;
	if (count == WITNESS_COUNT)
		witness_holder_open(&owner->witness_holder, names, now);
	free(others);
}

static bool witness_zone_listed(const char *const *zones, unsigned count,
				const char *zone)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (!strcmp(zones[i], zone))
			return true;
	return false;
}

/* Collects the distinct zones of the live witnesses of the current term. */
static unsigned witness_zones(owner_t *owner, const char **zones)
{
	const witness_term_t *term = &owner->witness_holder.current.term;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < WITNESS_COUNT; i++) {
		const owner_member_t *member =
			owner_table_member(owner, term->members[i].name);

		if (member && !witness_zone_listed(zones, count, member->zone))
			zones[count++] = member->zone;
	}
	return count;
}

/* Whether another live entry is in a zone that has no live witness of the
   current term. */
static bool witness_misplaced(owner_t *owner)
{
	const char *zones[WITNESS_COUNT];
	unsigned count = witness_zones(owner, zones);
	unsigned i;

	if (count == WITNESS_COUNT)
		return false;
	for (i = 0; i < owner->member_count; i++)
		if (strcmp(owner->members[i].name, owner->options.self.name) !=
			    0 &&
		    !witness_zone_listed(zones, count, owner->members[i].zone))
			return true;
	return false;
}

static void witness_renew(owner_t *owner, usec_t now)
{
	witness_renewal_t renewals[WITNESS_RENEWALS_MAX];
	unsigned count = witness_holder_renewals(&owner->witness_holder,
						 renewals, now);
	unsigned i;

	for (i = 0; i < count; i++) {
		const owner_member_t *to = owner_table_peer(owner,
							    renewals[i].to);
		peer_witness_t body = { .owner = owner->options.self.name,
					.term = renewals[i].term,
					.boot = renewals[i].boot,
					.sent = renewals[i].sent_at };

		if (to)
			owner_net_witness(owner, PEER_RENEW, to->peer_address,
					  &body);
	}
}

static void witness_send_end(owner_t *owner, witness_end_t *end, usec_t now)
{
	witness_term_t *term = &end->term;
	unsigned i;

	end->next_query = now + WITNESS_END_INTERVAL;
	for (i = 0; i < WITNESS_COUNT; i++) {
		const owner_member_t *to =
			owner_table_peer(owner, term->members[i].name);
		peer_witness_t body = { .owner = term->owner,
					.term = term->number,
					.boot = term->members[i].boot };

		if (!to || end->ended[i])
			continue;
		if (!strcmp(to->name, owner->options.self.name))
			end->ended[i] = witness_grantor_end(
				&owner->witness_grantor, term->owner,
				term->number, term->members[i].boot, now);
		else
			owner_net_witness(owner, PEER_END, to->peer_address,
					  &body);
	}
}

void owner_witness_tick(owner_t *owner, usec_t now)
{
	unsigned i;

	if (!owner->options.boot)
		return;
	if (!owner->leaving &&
	    witness_holder_should_open(&owner->witness_holder,
				       witness_misplaced(owner), now))
		witness_open(owner, now);
	witness_renew(owner, now);
	for (i = 0; i < WITNESS_ENDS_MAX; i++) {
		witness_end_t *end = &owner->witness_ends.items[i];

		if (end->used_at == now && now >= end->next_query &&
		    !witness_end_complete(end))
			witness_send_end(owner, end, now);
	}
}

/* Whether this process opened the term. If a copy echoes such a term, no other
   entry has owned the copy since. */
static bool witness_is_own_term(const owner_t *owner,
				const witness_term_t *term)
{
	return !strcmp(term->owner, owner->options.self.name) &&
	       term->number >= owner->options.boot;
}

bool owner_witness_is_own_term(const owner_t *owner, const char *witness)
{
	witness_term_t term;

	return owner->options.boot && !witness_term_parse(witness, &term) &&
	       witness_is_own_term(owner, &term);
}

/* Whether the term may be ended: its owner is not live, or an earlier process
   of this entry opened it. */
static bool witness_may_end(owner_t *owner, const owner_former_t *former,
			    const witness_term_t *term)
{
	const char *self = owner->options.self.name;

	if (strcmp(former->name, self) != 0 &&
	    owner_table_member(owner, former->name))
		return false;
	return !strcmp(term->owner, self) ||
	       !owner_table_member(owner, term->owner);
}

void owner_witness_end_former(owner_t *owner, owner_record_t *record,
			      usec_t now)
{
	owner_former_t *former = &record->lease.former;
	witness_end_t *end;
	witness_term_t term;

	if (!owner->options.boot || record->lease.state == OWNER_LEASE_NONE ||
	    !former->witness[0] ||
	    owner_lease_former_fenced(&record->lease, now) ||
	    witness_term_parse(former->witness, &term))
		return;
	if (witness_is_own_term(owner, &term)) {
		owner_lease_end_former(&record->lease);
		return;
	}
	if (now - former->claimed_at < OWNER_RELEASE_TIMEOUT ||
	    !witness_may_end(owner, former, &term))
		return;
	end = witness_ends_get(&owner->witness_ends, &term, now);
	if (!witness_end_complete(end))
		return;
	owner_lease_end_former(&record->lease);
	metrics_add(owner->terms_ended, 1);
	log_event(LOG_LEVEL_INFO, "term-ended",
		  "owner=%s term=%" PRIx64 " service=%s copy=%s", term.owner,
		  term.number, record->copy.service, record->copy.name);
}

static void witness_on_renew(owner_t *owner, const owner_member_t *from,
			     const peer_witness_t *received, usec_t now)
{
	peer_witness_t body = { .owner = (char *)from->name,
				.term = received->term,
				.boot = owner->options.boot,
				.sent = received->sent };

	body.granted = witness_grantor_renew(&owner->witness_grantor,
					     from->name, received->term,
					     received->boot, &body.max_term,
					     now);
	owner_net_witness(owner, PEER_RENEWED, from->peer_address, &body);
}

static void witness_on_renewed(owner_t *owner, const owner_member_t *from,
			       const peer_witness_t *received, usec_t now)
{
	witness_response_t response = { .from = from->name,
					.term = received->term,
					.boot = received->boot,
					.sent_at = received->sent,
					.granted = received->granted,
					.newest_term = received->max_term };

	if (!strcmp(received->owner, owner->options.self.name))
		witness_holder_on_response(&owner->witness_holder, &response,
					   now);
}

static void witness_on_end(owner_t *owner, const owner_member_t *from,
			   const peer_witness_t *received, usec_t now)
{
	if (witness_grantor_end(&owner->witness_grantor, received->owner,
				received->term, received->boot, now))
		owner_net_witness(owner, PEER_ENDED, from->peer_address,
				  received);
}

void owner_witness_receive(owner_t *owner, peer_kind_t kind,
			   const owner_member_t *from,
			   const peer_witness_t *received, usec_t now)
{
	if (!owner->options.boot || !received->term)
		return;
	if (kind == PEER_RENEW)
		witness_on_renew(owner, from, received, now);
	else if (kind == PEER_RENEWED)
		witness_on_renewed(owner, from, received, now);
	else if (kind == PEER_END)
		witness_on_end(owner, from, received, now);
	else
		witness_ends_on_response(&owner->witness_ends, from->name,
					 received->owner, received->term,
					 received->boot);
}

void owner_witness_response_term(owner_t *owner, owner_record_t *record,
				 usec_t now, char *out)
{
	const witness_term_t *term = witness_holder_term(&owner->witness_holder,
							 now);
	owner_lease_t *lease = &record->lease;
	uint64_t number = 0;

	out[0] = '\0';
	if (term && owner_lease_former_fenced(lease, now)) {
		number = term->number;
		witness_term_print(term, out);
	} else if (term && lease->former.witness[0]) {
		number = OWNER_TERM_FOREIGN;
		memcpy(out, lease->former.witness, WITNESS_TEXT_MAX);
	}
	owner_lease_set_answered_term(lease, number);
}
