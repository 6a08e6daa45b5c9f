#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>
#include "keeper-store.h"

/*
 * Opens, saves and compacts the data folder of a keeper. A snapshot is written
 * before the log that follows it, so that a crash between the two loses
 * nothing.
 */

/* Take the lock of the folder. Two processes with one folder could each vote in
 * the same term and overwrite the other's log. */
static int keeper_store_lock(keeper_store_t *store, hl_error_t *err)
{
	char path[PATH_MAX];

	snprintf(path, sizeof(path), "%s/lock", store->folder);
	store->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (store->lock_fd < 0)
		return hl_error_set(err, HL_ERR_IO,
				    "cannot open %s: %s; create the data "
				    "folder and let the keeper's user write "
				    "to it",
				    path, strerror(errno));
	if (flock(store->lock_fd, LOCK_EX | LOCK_NB))
		return hl_error_set(err, HL_ERR_REFUSED,
				    "%s is in use by another keeper; stop that "
				    "one or set keeper.data to another folder",
				    store->folder);
	return 0;
}

static int keeper_store_set_nomem(hl_error_t *err)
{
	return hl_error_set(err, HL_ERR_NOMEM,
			    "out of memory; give the VM more memory or "
			    "lower keeper.snapshot_entries");
}

static int keeper_store_read_log(keeper_store_t *store, keeper_log_t *log,
				 hl_error_t *err)
{
	char path[PATH_MAX], *bytes;
	size_t size;
	int rc = keeper_file_read(store->folder, "log", &bytes, &size, err);

	memset(log, 0, sizeof(*log));
	if (rc <= 0)
		return rc;
	snprintf(path, sizeof(path), "%s/log", store->folder);
	rc = keeper_log_parse(path, bytes, size, log, err) ? -1 : 1;
	free(bytes);
	return rc;
}

static int keeper_store_read_snapshot(keeper_store_t *store,
				      keeper_snapshot_t *snapshot,
				      hl_error_t *err)
{
	char path[PATH_MAX], *bytes;
	size_t size;
	int rc = keeper_file_read(store->folder, "snapshot", &bytes, &size,
				  err);

	memset(snapshot, 0, sizeof(*snapshot));
	if (rc <= 0)
		return rc;
	snprintf(path, sizeof(path), "%s/snapshot", store->folder);
	rc = keeper_snapshot_parse(path, bytes, size, store->cluster, snapshot,
				   err);
	free(bytes);
	return rc;
}

/* Refuse a folder with a snapshot but no log: the votes and entries that this
 * keeper acknowledged are lost. */
static int keeper_store_check_orphan(const keeper_store_t *store,
				     hl_error_t *err)
{
	char path[PATH_MAX];

	snprintf(path, sizeof(path), "%s/snapshot", store->folder);
	if (access(path, F_OK))
		return 0;
	return hl_error_set(err, HL_ERR_CORRUPT,
			    "%s has a snapshot but no log; move the data "
			    "folder away and start again with an empty one: "
			    "the keeper then joins again and copies the log of "
			    "the others",
			    store->folder);
}

/* Check that the log and the snapshot belong to this keeper and match. */
static int keeper_store_check(const keeper_store_t *store,
			      const keeper_log_t *log, const char *name,
			      const keeper_snapshot_t *snapshot,
			      hl_error_t *err)
{
	if (log->cluster != store->cluster || strcmp(log->name, name))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s belongs to keeper %s of %s cluster; "
				    "set node.name and keeper.cluster as they "
				    "were, or give it an empty folder",
				    store->folder, log->name,
				    log->cluster == store->cluster ? "this" :
								     "another");
	if (log->entries.base > snapshot->index)
		return hl_error_set(err, HL_ERR_CORRUPT,
				    "%s/snapshot is missing or too old for the "
				    "log; move the data folder away and start "
				    "again with an empty one: the keeper then "
				    "joins again and copies the log of the "
				    "others",
				    store->folder);
	return 0;
}

/* A crash may leave a snapshot beside a log that was written before it. The
 * entries after the snapshot count only if the log has the snapshot's last
 * entry with the same term. */
static void keeper_store_align_entries(keeper_entries_t *entries,
				       const keeper_snapshot_t *snapshot)
{
	uint64_t term;

	if (!keeper_entries_term(entries, snapshot->index, &term) ||
	    term != snapshot->term)
		keeper_entries_truncate(entries, entries->base);
	keeper_entries_compact(entries, snapshot->index, snapshot->term);
}

static int keeper_store_set_write_error(const keeper_store_t *store,
					hl_error_t *err)
{
	return hl_error_set(err, HL_ERR_IO,
			    "cannot write %s/log: %s; free space or replace "
			    "the disk: the keeper tries again by itself",
			    store->folder, strerror(errno));
}

/* Put a seal after the synced bytes of the log, see keeper-log.c. */
static int keeper_store_seal_log(keeper_store_t *store,
				 const keeper_ballot_state_t *ballot,
				 uint64_t commit, hl_error_t *err)
{
	off_t end = lseek(store->log_fd, 0, SEEK_CUR);
	keeper_buffer_t buffer = { 0 };
	int rc = -1;

	if (end < 0)
		return keeper_store_set_write_error(store, err);
	store->log_bytes = end;
	if (keeper_log_put_ballot(&buffer, ballot, commit))
		keeper_store_set_nomem(err);
	else if (keeper_file_write_all(store->file, store->log_fd, buffer.bytes,
				       buffer.size))
		keeper_store_set_write_error(store, err);
	else
		rc = 0;
	free(buffer.bytes);
	return rc;
}

/* Replace the log file by one with the ballot, @entries and a seal, which is synced
 * with them. */
static int keeper_store_write_log(keeper_store_t *store,
				  const keeper_ballot_state_t *ballot,
				  uint64_t commit,
				  const keeper_entries_t *entries,
				  hl_error_t *err)
{
	keeper_log_t log = { .cluster = store->cluster,
			     .incarnation = store->incarnation,
			     .ballot = *ballot,
			     .commit = commit,
			     .entries = *entries };
	keeper_buffer_t buffer = { 0 };
	size_t size;
	int fd;

	strcpy(log.name, store->name);
	if (keeper_log_put(&buffer, &log, &size)) {
		free(buffer.bytes);
		return keeper_store_set_nomem(err);
	}
	fd = keeper_file_replace(store->file, store->folder, "log",
				 buffer.bytes, buffer.size, err);
	free(buffer.bytes);
	if (fd < 0)
		return -1;
	if (store->log_fd >= 0)
		close(store->log_fd);
	store->log_fd = fd;
	store->log_bytes = size;
	store->commit = commit;
	store->syncs++;
	return 0;
}

static int keeper_store_write_snapshot(keeper_store_t *store,
				       const keeper_snapshot_t *snapshot,
				       hl_error_t *err)
{
	keeper_buffer_t buffer = { 0 };
	int fd;

	if (keeper_snapshot_put(&buffer, store->cluster, snapshot)) {
		free(buffer.bytes);
		return keeper_store_set_nomem(err);
	}
	fd = keeper_file_replace(store->file, store->folder, "snapshot",
				 buffer.bytes, buffer.size, err);
	free(buffer.bytes);
	if (fd < 0)
		return -1;
	close(fd);
	store->syncs++;
	return 0;
}

/* Restore the replica from the log and the snapshot. */
static int keeper_store_restore(keeper_store_t *store, keeper_log_t *log,
				keeper_snapshot_t *snapshot,
				keeper_raft_t *raft, hl_error_t *err)
{
	raft->settings.incarnation = store->incarnation;
	if (keeper_raft_restore(raft, &log->ballot, snapshot, &log->entries)) {
		keeper_raft_restore_commit(raft, log->commit);
		return 0;
	}
	return hl_error_set(err, HL_ERR_CORRUPT,
			    "%s/log has a malformed group; move the data "
			    "folder away and start again with an empty one",
			    store->folder);
}

int keeper_store_open(keeper_store_t *store, const keeper_file_ops_t *file,
		      const char *folder, uint64_t cluster, const char *name,
		      uint64_t new_incarnation, keeper_raft_t *raft,
		      hl_error_t *err)
{
	keeper_snapshot_t snapshot = { 0 };
	keeper_log_t log = { 0 };
	int rc;

	memset(store, 0, sizeof(*store));
	store->file = file;
	store->cluster = cluster;
	store->log_fd = store->lock_fd = -1;
	snprintf(store->folder, sizeof(store->folder), "%s", folder);
	snprintf(store->name, sizeof(store->name), "%s", name);
	if (keeper_store_lock(store, err))
		goto fail;
	rc = keeper_store_read_log(store, &log, err);
	if (rc < 0 || (!rc && keeper_store_check_orphan(store, err)))
		goto fail;
	if (rc && (keeper_store_read_snapshot(store, &snapshot, err) ||
		   keeper_store_check(store, &log, name, &snapshot, err)))
		goto fail;
	store->incarnation = rc ? log.incarnation : new_incarnation;
	store->truncated = log.truncated;
	keeper_store_align_entries(&log.entries, &snapshot);
	if (snapshot.index &&
	    keeper_store_write_snapshot(store, &snapshot, err))
		goto fail;
	if (keeper_store_write_log(store, &log.ballot, log.commit, &log.entries,
				   err))
		goto fail;
	if (!keeper_store_restore(store, &log, &snapshot, raft, err))
		return 0;

fail:
	keeper_entries_free(&log.entries);
	free(snapshot.state);
	keeper_store_close(store);
	return -1;
}

/* Commit index to be written: it covers only entries that are synced already. A
 * torn write may have the ballot but not the entries that follow it. */
static uint64_t keeper_store_synced_commit(const keeper_raft_t *raft)
{
	return raft->commit < raft->saved ? raft->commit : raft->saved;
}

/* Encode the ballot, and the entries that are not saved yet. */
static int keeper_store_encode_unsaved(keeper_buffer_t *buffer,
				       const keeper_raft_t *raft)
{
	uint64_t commit = keeper_store_synced_commit(raft);
	uint64_t index = raft->saved + 1;
	const keeper_entry_t *entry;

	if (keeper_log_put_ballot(buffer, &raft->ballot, commit))
		return -1;
	for (; (entry = keeper_entries_at(&raft->entries, index)); index++)
		if (keeper_log_put_entry(buffer, entry))
			return -1;
	return 0;
}

/* Write @buffer in place of the seal and sync it. */
static int keeper_store_append(keeper_store_t *store,
			       const keeper_buffer_t *buffer, hl_error_t *err)
{
	const keeper_file_ops_t *file = store->file;

	if (lseek(store->log_fd, (off_t)store->log_bytes, SEEK_SET) < 0 ||
	    keeper_file_write_all(file, store->log_fd, buffer->bytes,
				  buffer->size) ||
	    file->sync(file->context, store->log_fd))
		return keeper_store_set_write_error(store, err);
	store->syncs++;
	return 0;
}

int keeper_store_save(keeper_store_t *store, const keeper_raft_t *raft,
		      hl_error_t *err)
{
	uint64_t commit = keeper_store_synced_commit(raft);
	keeper_buffer_t buffer = { 0 };
	int rc;

	if (raft->snapshot_dirty)
		return keeper_store_compact(store, raft, err);
	if (keeper_store_encode_unsaved(&buffer, raft))
		rc = keeper_store_set_nomem(err);
	else
		rc = keeper_store_append(store, &buffer, err);
	free(buffer.bytes);
	if (rc)
		return rc;
	store->commit = commit;
	return keeper_store_seal_log(store, &raft->ballot, commit, err);
}

bool keeper_store_lacks_commit(const keeper_store_t *store,
			       const keeper_raft_t *raft)
{
	return keeper_store_synced_commit(raft) > store->commit;
}

int keeper_store_compact(keeper_store_t *store, const keeper_raft_t *raft,
			 hl_error_t *err)
{
	if (keeper_store_write_snapshot(store, &raft->snapshot, err))
		return -1;
	return keeper_store_write_log(store, &raft->ballot, raft->commit,
				      &raft->entries, err);
}

void keeper_store_close(keeper_store_t *store)
{
	if (store->log_fd >= 0)
		close(store->log_fd);
	if (store->lock_fd >= 0)
		close(store->lock_fd);
	store->log_fd = store->lock_fd = -1;
}
