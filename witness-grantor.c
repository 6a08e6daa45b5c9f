#include <string.h>
#include "witness.h"

/* The grants of a witness: renews and ends the terms of other owners. */

static witness_record_t *grantor_find(witness_grantor_t *grantor,
				      const char *owner, uint64_t term)
{
	unsigned i;

	for (i = 0; i < grantor->count; i++)
		if (grantor->records[i].term == term &&
		    !strcmp(grantor->records[i].owner, owner))
			return &grantor->records[i];
	return NULL;
}

static uint64_t grantor_newest_term(const witness_grantor_t *grantor,
				    const char *owner)
{
	uint64_t newest_term = 0;
	unsigned i;

	for (i = 0; i < grantor->count; i++)
		if (grantor->records[i].term > newest_term &&
		    !strcmp(grantor->records[i].owner, owner))
			newest_term = grantor->records[i].term;
	return newest_term;
}

/* Returns an unused record, or the one whose grant expired first; NULL if all
   grants are in force. */
static witness_record_t *grantor_allocate(witness_grantor_t *grantor,
					  usec_t now)
{
	witness_record_t *oldest = &grantor->records[0];
	unsigned i;

	if (grantor->count < WITNESS_RECORDS_MAX)
		return &grantor->records[grantor->count++];
	for (i = 1; i < grantor->count; i++)
		if (grantor->records[i].until < oldest->until)
			oldest = &grantor->records[i];
	return now >= oldest->until ? oldest : NULL;
}

/* Adds a record of a term. Records of other terms of the owner stay, as copies
   may still echo those terms. */
static witness_record_t *grantor_open(witness_grantor_t *grantor,
				      const char *owner, uint64_t term,
				      usec_t now)
{
	witness_record_t *record = grantor_allocate(grantor, now);

	if (!record)
		return NULL;
	memset(record, 0, sizeof(*record));
	strncpy(record->owner, owner, HL_NAME_MAX - 1);
	record->term = term;
	return record;
}

bool witness_grantor_renew(witness_grantor_t *grantor, const char *owner,
			   uint64_t term, uint64_t boot, uint64_t *newest_term,
			   usec_t now)
{
	witness_record_t *record = grantor_find(grantor, owner, term);

	*newest_term = grantor_newest_term(grantor, owner);
	if (boot && boot != grantor->boot)
		return false;
	if (!boot && !record)
		record = grantor_open(grantor, owner, term, now);
	if (!record || record->ended)
		return false;
	record->until = now + WITNESS_LEASE_DURATION;
	return true;
}

bool witness_grantor_end(witness_grantor_t *grantor, const char *owner,
			 uint64_t term, uint64_t boot, usec_t now)
{
	witness_record_t *record = grantor_find(grantor, owner, term);

	/* The records of an earlier process are lost, but its grants expire
	   within a lease duration of the start of this process. */
	if (boot != grantor->boot)
		return now >= grantor->started + WITNESS_LEASE_DURATION;
	if (!record)
		return true;
	record->ended = true;
	return now >= record->until;
}
