#include <string.h>
#include "witness.h"

static witness_record_t *keep_find(witness_keep_t *keep, const char *owner,
				   uint64_t term)
{
	unsigned i;

	for (i = 0; i < keep->count; i++)
		if (keep->records[i].term == term &&
		    !strcmp(keep->records[i].owner, owner))
			return &keep->records[i];
	return NULL;
}

static uint64_t keep_known(const witness_keep_t *keep, const char *owner)
{
	uint64_t known = 0;
	unsigned i;

	for (i = 0; i < keep->count; i++)
		if (keep->records[i].term > known &&
		    !strcmp(keep->records[i].owner, owner))
			known = keep->records[i].term;
	return known;
}

/* Room for one more term: a new one, or that whose grant ended first. */
static witness_record_t *keep_room(witness_keep_t *keep, usec_t now)
{
	witness_record_t *oldest = &keep->records[0];
	unsigned i;

	if (keep->count < WITNESS_RECORDS_MAX)
		return &keep->records[keep->count++];
	for (i = 1; i < keep->count; i++)
		if (keep->records[i].until < oldest->until)
			oldest = &keep->records[i];
	return now >= oldest->until ? oldest : NULL;
}

/* An owner opens a term; those it has are not touched, as copies echo them. */
static witness_record_t *keep_open(witness_keep_t *keep, const char *owner,
				   uint64_t term, usec_t now)
{
	witness_record_t *record = keep_room(keep, now);

	if (!record)
		return NULL;
	memset(record, 0, sizeof(*record));
	strncpy(record->owner, owner, HL_NAME_MAX - 1);
	record->term = term;
	return record;
}

bool witness_keep_renew(witness_keep_t *keep, const char *owner, uint64_t term,
			uint64_t boot, uint64_t *known, usec_t now)
{
	witness_record_t *record = keep_find(keep, owner, term);

	*known = keep_known(keep, owner);
	if (boot && boot != keep->boot)
		return false;
	if (!boot && !record)
		record = keep_open(keep, owner, term, now);
	if (!record || record->closed)
		return false;
	record->until = now + WITNESS_LEASE;
	return true;
}

bool witness_keep_end(witness_keep_t *keep, const char *owner, uint64_t term,
		      uint64_t boot, usec_t now)
{
	witness_record_t *record = keep_find(keep, owner, term);

	/* What our life before granted is forgotten, but has a known end. */
	if (boot != keep->boot)
		return now >= keep->started + WITNESS_LEASE;
	if (!record)
		return true;
	record->closed = true;
	return now >= record->until;
}
