#ifndef KEEPER_STORE_H
#define KEEPER_STORE_H

#include <limits.h>
#include <sys/types.h>
#include "keeper.h"

/*
 * The persistent state of a keeper: the files "log", "snapshot" and "lock" in
 * one data folder. keeper-file.c does the file calls, keeper-record.c frames
 * records with checksums, keeper-log.c and keeper-snapshot.c encode the two
 * files, and keeper-store.c restores a replica from them and saves it to them.
 */

/**
 * struct keeper_file_ops_t - the file calls that durability depends on.
 *
 * They are callbacks so that a test can make them fail. Each returns -1 with
 * errno set on failure.
 */
typedef struct {
	int (*open)(void *context, const char *path, int flags);
	ssize_t (*write)(void *context, int fd, const void *bytes, size_t size);
	int (*sync)(void *context, int fd);
	int (*rename)(void *context, const char *from, const char *to);
	int (*sync_folder)(void *context, const char *path);
	void *context;
} keeper_file_ops_t;

/** keeper_file_posix - the file calls of the operating system. */
extern const keeper_file_ops_t keeper_file_posix;

/**
 * keeper_file_write_all - write all bytes, repeating after short writes.
 *
 * Return: 0, or -1 with errno set.
 */
int keeper_file_write_all(const keeper_file_ops_t *file, int fd,
			  const void *bytes, size_t size);

/**
 * keeper_file_replace - replace a file atomically: write and sync a new one,
 * rename it and sync the folder.
 * @file: the file calls
 * @folder: the data folder
 * @name: name of the file in the data folder
 * @bytes: the content
 * @size: its length in bytes
 * @err: HL_ERR_IO; the old file is unchanged unless the folder's sync failed
 *
 * Return: a descriptor, positioned at the end of the file, or -1.
 */
int keeper_file_replace(const keeper_file_ops_t *file, const char *folder,
			const char *name, const void *bytes, size_t size,
			hl_error_t *err);

/**
 * keeper_file_read - read a whole file into malloc'ed bytes.
 *
 * Return: 1, 0 if there is no such file, or -1 with HL_ERR_IO.
 */
int keeper_file_read(const char *folder, const char *name, char **bytes,
		     size_t *size, hl_error_t *err);

/** struct keeper_buffer_t - encoded records to be written to a file. */
typedef struct {
	char *bytes;
	size_t size, capacity;
} keeper_buffer_t;

/**
 * keeper_record_put - append a value, framed with its length and checksum.
 *
 * Return: 0, or -1 if out of memory.
 */
int keeper_record_put(keeper_buffer_t *buffer, xdrproc_t proc, void *value);

/** enum keeper_record_state_t - the state of the record at an offset. */
typedef enum {
	KEEPER_RECORD_COMPLETE,
	KEEPER_RECORD_END,     /* end of the file */
	KEEPER_RECORD_INVALID, /* torn or damaged */
} keeper_record_state_t;

/**
 * keeper_record_next - check the record at *@offset.
 * @bytes: the content of the file
 * @size: its length in bytes
 * @offset: advanced past the record if it is complete
 * @body: set to the body of a complete record, inside @bytes
 * @body_size: set to its length in bytes
 */
keeper_record_state_t keeper_record_next(const char *bytes, size_t size,
					 size_t *offset, const char **body,
					 size_t *body_size);

/**
 * keeper_record_seek - find the next valid header of a record.
 * @bytes: the content of the file
 * @size: its length in bytes
 * @offset: advanced to the header, which lies after it
 *
 * Return: false if there is none; then *@offset is undefined.
 */
bool keeper_record_seek(const char *bytes, size_t size, size_t *offset);

/** struct keeper_log_t - the content of a log file. */
typedef struct {
	uint64_t cluster;
	char name[HL_NAME_MAX];
	uint64_t incarnation;
	keeper_ballot_state_t ballot;
	uint64_t commit; /* highest index that is known to be committed */
	uint64_t ballot_commit; /* commit index in the last ballot */
	keeper_entries_t entries;
	bool truncated; /* an incomplete last write was left out */
} keeper_log_t;

/**
 * keeper_log_parse - decode a log file.
 * @path: for error messages
 * @bytes: the content of the file
 * @size: its length in bytes
 * @log: filled in; free its entries
 * @err: HL_ERR_CORRUPT, with the remedy
 *
 * Return: 0, or -1 with @err.
 */
int keeper_log_parse(const char *path, const char *bytes, size_t size,
		     keeper_log_t *log, hl_error_t *err);

/**
 * keeper_log_put - append a whole log: a header, a ballot, all entries and a seal.
 * @size: set to the bytes before the seal, which the next write overwrites
 *
 * Return: 0, or -1 if out of memory.
 */
int keeper_log_put(keeper_buffer_t *buffer, const keeper_log_t *log,
		   size_t *size);

/**
 * keeper_log_put_ballot - append a record with a ballot and the commit index.
 *
 * Return: 0, or -1 if out of memory.
 */
int keeper_log_put_ballot(keeper_buffer_t *buffer,
			  const keeper_ballot_state_t *ballot, uint64_t commit);

/**
 * keeper_log_put_entry - append a record with one entry.
 *
 * Return: 0, or -1 if out of memory.
 */
int keeper_log_put_entry(keeper_buffer_t *buffer, const keeper_entry_t *entry);

/**
 * keeper_snapshot_parse - decode a snapshot file.
 * @path: for error messages
 * @bytes: the content of the file
 * @size: its length in bytes
 * @cluster: hash of the cluster's name, which the file must have
 * @snapshot: filled in; free its state
 * @err: HL_ERR_CORRUPT, with the remedy
 *
 * Return: 0, or -1 with @err.
 */
int keeper_snapshot_parse(const char *path, const char *bytes, size_t size,
			  uint64_t cluster, keeper_snapshot_t *snapshot,
			  hl_error_t *err);

/**
 * keeper_snapshot_put - append a record with a snapshot.
 *
 * Return: 0, or -1 if out of memory.
 */
int keeper_snapshot_put(keeper_buffer_t *buffer, uint64_t cluster,
			const keeper_snapshot_t *snapshot);

/** struct keeper_store_t - an open data folder. */
typedef struct {
	const keeper_file_ops_t *file;
	char folder[HL_MESSAGE_MAX];
	uint64_t cluster;
	char name[HL_NAME_MAX];
	uint64_t incarnation; /* random number that identifies the disk */
	bool truncated;	      /* the log's last write was incomplete */
	int lock_fd;
	int log_fd;
	size_t log_bytes; /* bytes of the log that a sync covers */
	uint64_t syncs;	  /* files synced, for the metrics */
	uint64_t commit;  /* commit index in the log */
} keeper_store_t;

/**
 * keeper_store_open - lock and read a data folder and open its log.
 * @store: filled in
 * @file: the file calls
 * @folder: an existing folder
 * @cluster: hash of the cluster's name
 * @name: name of this keeper
 * @new_incarnation: used if the folder is empty; not 0
 * @raft: restored from the folder, with its settings' incarnation set
 * @err: HL_ERR_IO; HL_ERR_NOMEM; HL_ERR_CORRUPT; HL_ERR_REFUSED if another
 *       process uses the folder; HL_ERR_SETTINGS if it belongs to another
 *       keeper or cluster
 *
 * The content is written and synced again: after a failed sync the page cache
 * may hold data that is not on the disk.
 *
 * Return: 0, or -1 with @err.
 */
int keeper_store_open(keeper_store_t *store, const keeper_file_ops_t *file,
		      const char *folder, uint64_t cluster, const char *name,
		      uint64_t new_incarnation, keeper_raft_t *raft,
		      hl_error_t *err);

/**
 * keeper_store_save - write and sync the state that keeper_raft_has_unsaved()
 * covers, and the commit index.
 *
 * Return: 0, or -1 with @err; the store must then be closed and opened again.
 */
int keeper_store_save(keeper_store_t *store, const keeper_raft_t *raft,
		      hl_error_t *err);

/**
 * keeper_store_lacks_commit - whether the commit index in the log is older than that
 * of @raft, as far as entries are saved.
 */
bool keeper_store_lacks_commit(const keeper_store_t *store,
			       const keeper_raft_t *raft);

/**
 * keeper_store_compact - write the snapshot of @raft and a log with the
 * entries that follow it.
 *
 * Return: as keeper_store_save().
 */
int keeper_store_compact(keeper_store_t *store, const keeper_raft_t *raft,
			 hl_error_t *err);

/** keeper_store_close - close the files and release the lock; idempotent. */
void keeper_store_close(keeper_store_t *store);

#endif
