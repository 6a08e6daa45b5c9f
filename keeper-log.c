#include <endian.h>
#include <string.h>
#include "keeper-store.h"
#include "keeper_disk.h"

/*
 * The log file: a header, then ballots and entries in the order in which they
 * were written. The last ballot counts. An entry replaces an earlier one with
 * its index and all after that.
 *
 * A write begins with a ballot; earlier versions left it out of some writes. Once
 * the write is synced, a seal follows it: a ballot that is not synced and that the
 * next write overwrites. So a sync has covered all bytes before a ballot.
 *
 * A loss of power may leave any bytes of the last write and of the seal that it
 * overwrites. Both begin at the same offset, so that no complete ballot comes after
 * an invalid record of theirs: that record and the rest are cut off. A complete
 * ballot after an invalid record shows that it was synced, and so that it is damaged.
 * Entries of the write may follow the ballot of the seal, whose term may be lower than
 * theirs: nothing of such a write was acknowledged, also not its vote.
 *
 * The commit index of a ballot may cover entries of the same write, so it counts only
 * once these have been read: a torn write may lack them, and the log then has
 * others in their places that were never committed.
 */

static int keeper_log_set_damaged(const char *path, size_t offset,
				  hl_error_t *err)
{
	return hl_error_set(err, HL_ERR_CORRUPT,
			    "%s is damaged at byte %zu; move the data folder "
			    "away and start again with an empty one: the "
			    "keeper then joins again and copies the log of "
			    "the others",
			    path, offset);
}

static int keeper_log_read_header(keeper_log_t *log,
				  const keeper_header_t *header)
{
	if (header->format != KEEPER_DISK_FORMAT || log->incarnation ||
	    !header->incarnation || !hl_name_valid(header->name))
		return -1;
	log->cluster = header->cluster;
	strcpy(log->name, header->name);
	log->incarnation = header->incarnation;
	log->entries.base = header->base_index;
	log->entries.base_term = header->base_term;
	return 0;
}

/* Take over the commit index of the last ballot, whose write is complete as far
 * as that index. */
static void keeper_log_confirm_commit(keeper_log_t *log)
{
	if (log->commit < log->ballot_commit)
		log->commit = log->ballot_commit;
}

/* Append an entry; it replaces an earlier one at its index and all after it. */
static int keeper_log_read_entry(keeper_log_t *log, const keeper_entry_t *entry)
{
	if (entry->index <= log->entries.base ||
	    entry->index > keeper_entries_last(&log->entries) + 1)
		return -1;
	keeper_entries_truncate(&log->entries, entry->index - 1);
	if (!keeper_entries_push(&log->entries, entry))
		return -1;
	if (entry->index >= log->ballot_commit)
		keeper_log_confirm_commit(log);
	return 0;
}

static void keeper_log_read_ballot(keeper_log_t *log,
				   const keeper_ballot_record_t *ballot)
{
	/* A ballot begins a write; the writes before it are complete. */
	keeper_log_confirm_commit(log);
	log->ballot.term = ballot->term;
	strcpy(log->ballot.vote, ballot->vote);
	log->ballot.vote_incarnation = ballot->vote_incarnation;
	log->ballot_commit = ballot->commit;
}

static int keeper_log_read_record(keeper_log_t *log,
				  const keeper_record_t *record)
{
	if (record->kind == KEEPER_RECORD_HEADER)
		return keeper_log_read_header(
			log, &record->keeper_record_t_u.header);
	if (!log->incarnation)
		return -1;
	if (record->kind == KEEPER_RECORD_ENTRY)
		return keeper_log_read_entry(log,
					     &record->keeper_record_t_u.entry);
	keeper_log_read_ballot(log, &record->keeper_record_t_u.ballot);
	return 0;
}

static int keeper_log_decode_record(keeper_log_t *log, const char *body,
				    size_t size)
{
	keeper_record_t record = { 0 };
	int rc;

	if (!keeper_xdr_decode((xdrproc_t)xdr_keeper_record_t, body, size,
			       &record))
		return -1;
	rc = keeper_log_read_record(log, &record);
	xdr_free((xdrproc_t)xdr_keeper_record_t, &record);
	return rc;
}

/* Whether there is a complete ballot at @offset. */
static bool keeper_log_is_ballot(const char *bytes, size_t size, size_t offset)
{
	const char *body;
	uint32_t kind;
	size_t length;

	if (keeper_record_next(bytes, size, &offset, &body, &length) !=
		    KEEPER_RECORD_COMPLETE ||
	    length < sizeof(kind))
		return false;
	memcpy(&kind, body, sizeof(kind));
	return be32toh(kind) == KEEPER_RECORD_BALLOT;
}

/* Whether a complete ballot comes after @offset. Then a sync has covered the bytes
 * at @offset. */
static bool keeper_log_was_synced(const char *bytes, size_t size, size_t offset)
{
	while (keeper_record_seek(bytes, size, &offset))
		if (keeper_log_is_ballot(bytes, size, offset))
			return true;
	return false;
}

int keeper_log_parse(const char *path, const char *bytes, size_t size,
		     keeper_log_t *log, hl_error_t *err)
{
	keeper_record_state_t state;
	size_t offset = 0, start = 0, length;
	const char *body;

	memset(log, 0, sizeof(*log));
	while ((state = keeper_record_next(bytes, size, &offset, &body,
					   &length)) ==
	       KEEPER_RECORD_COMPLETE) {
		if (keeper_log_decode_record(log, body, length))
			goto damaged;
		start = offset;
	}
	log->truncated = state == KEEPER_RECORD_INVALID;
	/* A log with its header is put in place by a rename, so that a crash
	 * never leaves an incomplete header. */
	if (!log->incarnation ||
	    (log->truncated && keeper_log_was_synced(bytes, size, start)))
		goto damaged;
	return 0;

damaged:
	keeper_entries_free(&log->entries);
	return keeper_log_set_damaged(path, start, err);
}

int keeper_log_put_ballot(keeper_buffer_t *buffer,
			  const keeper_ballot_state_t *ballot, uint64_t commit)
{
	keeper_record_t record = { .kind = KEEPER_RECORD_BALLOT };
	keeper_ballot_record_t *out = &record.keeper_record_t_u.ballot;

	out->term = ballot->term;
	out->vote = (char *)ballot->vote;
	out->vote_incarnation = ballot->vote_incarnation;
	out->commit = commit;
	return keeper_record_put(buffer, (xdrproc_t)xdr_keeper_record_t,
				 &record);
}

int keeper_log_put_entry(keeper_buffer_t *buffer, const keeper_entry_t *entry)
{
	keeper_record_t record = { .kind = KEEPER_RECORD_ENTRY };

	record.keeper_record_t_u.entry = *entry;
	return keeper_record_put(buffer, (xdrproc_t)xdr_keeper_record_t,
				 &record);
}

static int keeper_log_put_header(keeper_buffer_t *buffer,
				 const keeper_log_t *log)
{
	keeper_record_t record = { .kind = KEEPER_RECORD_HEADER };
	keeper_header_t *header = &record.keeper_record_t_u.header;

	header->format = KEEPER_DISK_FORMAT;
	header->cluster = log->cluster;
	header->name = (char *)log->name;
	header->incarnation = log->incarnation;
	header->base_index = log->entries.base;
	header->base_term = log->entries.base_term;
	return keeper_record_put(buffer, (xdrproc_t)xdr_keeper_record_t,
				 &record);
}

int keeper_log_put(keeper_buffer_t *buffer, const keeper_log_t *log,
		   size_t *size)
{
	size_t i;

	if (keeper_log_put_header(buffer, log) ||
	    keeper_log_put_ballot(buffer, &log->ballot, log->commit))
		return -1;
	for (i = 0; i < log->entries.count; i++)
		if (keeper_log_put_entry(buffer, &log->entries.list[i]))
			return -1;
	*size = buffer->size;
	return keeper_log_put_ballot(buffer, &log->ballot, log->commit);
}
