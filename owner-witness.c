#include <stdlib.h>
#include <string.h>
#include "owner-table.h"

void owner_witness_init(owner_t *owner)
{
	const owner_options_t *options = &owner->options;
	usec_t gap = 2 * options->announce_interval + WITNESS_SILENCE;

	witness_own_init(&owner->witness, options->self.name, options->boot,
			 gap);
	owner->witness_keep.boot = options->boot;
	owner->witness_keep.started = options->started;
}

/* The other live entries; @out has room for all. */
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

/* Open a term at the best other entries by hash, each zone giving one before
   any gives a second; with too few of them the leases of the copies stand
   alone. */
static void witness_open(owner_t *owner, usec_t now)
{
	const char *names[WITNESS_SET];
	unsigned best[WITNESS_SET];
	owner_member_t *others = calloc(MEMBER_MAX, sizeof(*others));
	unsigned count;
	unsigned i;

	if (!others)
		return;
	count = owner_of_service(others, witness_others(owner, others),
				 owner->options.self.name, WITNESS_SET, best);
	for (i = 0; i < count; i++)
		names[i] = others[best[i]].name;
	if (count == WITNESS_SET)
		witness_own_open(&owner->witness, names, now);
	free(others);
}

static bool witness_in(const char *const *zones, unsigned count,
		       const char *zone)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (!strcmp(zones[i], zone))
			return true;
	return false;
}

/* The zones of the witnesses that live, each once. */
static unsigned witness_zones(owner_t *owner, const char **zones)
{
	const witness_term_t *term = &owner->witness.current.term;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < WITNESS_SET; i++) {
		const owner_member_t *member =
			owner_table_member(owner, term->members[i].name);

		if (member && !witness_in(zones, count, member->zone))
			zones[count++] = member->zone;
	}
	return count;
}

/* Another live entry is in a zone that has no witness yet. */
static bool witness_misplaced(owner_t *owner)
{
	const char *zones[WITNESS_SET];
	unsigned count = witness_zones(owner, zones);
	unsigned i;

	if (count == WITNESS_SET)
		return false;
	for (i = 0; i < owner->member_count; i++)
		if (strcmp(owner->members[i].name, owner->options.self.name) !=
			    0 &&
		    !witness_in(zones, count, owner->members[i].zone))
			return true;
	return false;
}

static void witness_renew(owner_t *owner, usec_t now)
{
	witness_renewal_t renewals[WITNESS_RENEWALS_MAX];
	unsigned count = witness_own_renewals(&owner->witness, renewals, now);
	unsigned i;

	for (i = 0; i < count; i++) {
		const owner_member_t *to = owner_table_peer(owner,
							    renewals[i].to);
		peer_witness_t body = { .owner = owner->options.self.name,
					.term = renewals[i].term,
					.boot = renewals[i].boot,
					.sent = renewals[i].sent };

		if (to)
			owner_net_witness(owner, PEER_RENEW, to->peer_address,
					  &body);
	}
}

static void witness_ask(owner_t *owner, witness_ask_t *ask, usec_t now)
{
	witness_term_t *term = &ask->term;
	unsigned i;

	ask->next = now + WITNESS_ASK_PERIOD;
	for (i = 0; i < WITNESS_SET; i++) {
		const owner_member_t *to =
			owner_table_peer(owner, term->members[i].name);
		peer_witness_t body = { .owner = term->owner,
					.term = term->number,
					.boot = term->members[i].boot };

		if (!to || ask->ended[i])
			continue;
		if (!strcmp(to->name, owner->options.self.name))
			ask->ended[i] = witness_keep_end(&owner->witness_keep,
							 term->owner,
							 term->number,
							 term->members[i].boot,
							 now);
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
	    witness_own_wants(&owner->witness, witness_misplaced(owner), now))
		witness_open(owner, now);
	witness_renew(owner, now);
	for (i = 0; i < WITNESS_ASKS_MAX; i++) {
		witness_ask_t *ask = &owner->witness_asks.asks[i];

		if (ask->used == now && now >= ask->next &&
		    !witness_ask_ended(ask))
			witness_ask(owner, ask, now);
	}
}

/* The copy echoes a term of our own life: nobody else has had it since. */
static bool witness_is_ours(const owner_t *owner, const witness_term_t *term)
{
	return !strcmp(term->owner, owner->options.self.name) &&
	       term->number >= owner->options.boot;
}

bool owner_witness_ours(const owner_t *owner, const char *witness)
{
	witness_term_t term;

	return owner->options.boot && !witness_term_parse(witness, &term) &&
	       witness_is_ours(owner, &term);
}

/* The term may be ended: its owner is gone, or it is of an earlier life. */
static bool witness_is_gone(owner_t *owner, const owner_former_t *former,
			    const witness_term_t *term)
{
	const char *self = owner->options.self.name;

	if (strcmp(former->name, self) != 0 &&
	    owner_table_member(owner, former->name))
		return false;
	return !strcmp(term->owner, self) ||
	       !owner_table_member(owner, term->owner);
}

void owner_witness_former(owner_t *owner, owner_record_t *record, usec_t now)
{
	owner_former_t *former = &record->lease.former;
	witness_ask_t *ask;
	witness_term_t term;

	if (!owner->options.boot || record->lease.hold == OWNER_HOLD_NONE ||
	    !former->witness[0] || owner_lease_clear(&record->lease, now) ||
	    witness_term_parse(former->witness, &term))
		return;
	if (witness_is_ours(owner, &term)) {
		owner_lease_end(&record->lease);
		return;
	}
	if (now - former->since < OWNER_RELEASE_PATIENCE ||
	    !witness_is_gone(owner, former, &term))
		return;
	ask = witness_asks_want(&owner->witness_asks, &term, now);
	if (!witness_ask_ended(ask))
		return;
	owner_lease_end(&record->lease);
	metrics_add(owner->witness_ended, 1);
	log_event(LOG_LEVEL_INFO, "term-ended",
		  "owner=%s term=%" PRIx64 " service=%s copy=%s", term.owner,
		  term.number, record->copy.service, record->copy.name);
}

static void witness_on_renew(owner_t *owner, const owner_member_t *from,
			     const peer_witness_t *said, usec_t now)
{
	peer_witness_t body = { .owner = (char *)from->name,
				.term = said->term,
				.boot = owner->options.boot,
				.sent = said->sent };

	body.granted = witness_keep_renew(&owner->witness_keep, from->name,
					  said->term, said->boot,
					  &body.max_term, now);
	owner_net_witness(owner, PEER_RENEWED, from->peer_address, &body);
}

static void witness_on_renewed(owner_t *owner, const owner_member_t *from,
			       const peer_witness_t *said, usec_t now)
{
	witness_grant_t grant = { .from = from->name,
				  .term = said->term,
				  .boot = said->boot,
				  .sent = said->sent,
				  .granted = said->granted,
				  .known = said->max_term };

	if (!strcmp(said->owner, owner->options.self.name))
		witness_own_answer(&owner->witness, &grant, now);
}

static void witness_on_end(owner_t *owner, const owner_member_t *from,
			   const peer_witness_t *said, usec_t now)
{
	if (witness_keep_end(&owner->witness_keep, said->owner, said->term,
			     said->boot, now))
		owner_net_witness(owner, PEER_ENDED, from->peer_address, said);
}

void owner_witness_receive(owner_t *owner, peer_kind_t kind,
			   const owner_member_t *from,
			   const peer_witness_t *said, usec_t now)
{
	if (!owner->options.boot || !said->term)
		return;
	if (kind == PEER_RENEW)
		witness_on_renew(owner, from, said, now);
	else if (kind == PEER_RENEWED)
		witness_on_renewed(owner, from, said, now);
	else if (kind == PEER_END)
		witness_on_end(owner, from, said, now);
	else
		witness_asks_answer(&owner->witness_asks, from->name,
				    said->owner, said->term, said->boot);
}

void owner_witness_answer(owner_t *owner, owner_record_t *record, usec_t now,
			  char *out)
{
	const witness_term_t *term = witness_own_term(&owner->witness, now);
	owner_lease_t *lease = &record->lease;
	uint64_t number = 0;

	out[0] = '\0';
	if (term && owner_lease_clear(lease, now)) {
		number = term->number;
		witness_term_print(term, out);
	} else if (term && lease->former.witness[0]) {
		number = OWNER_TERM_FOREIGN;
		memcpy(out, lease->former.witness, WITNESS_TEXT_MAX);
	}
	owner_lease_answers(lease, number);
}
