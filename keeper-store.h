#ifndef KEEPER_STORE_H
#define KEEPER_STORE_H

#include <limits.h>
#include <sys/types.h>
#include "keeper.h"

/* The files of a keeper: "log", "snapshot" and "lock" in one data folder. */

/** struct keeper_file_t - the file calls that must not lie, as callbacks, so
 * that a test can make them fail. They return -1 with errno set. */
typedef struct {
	int (*open)(void *context, const char *path, int flags);
	ssize_t (*write)(void *context, int fd, const void *bytes, size_t size);
	int (*sync)(void *context, int fd);
	int (*rename)(void *context, const char *from, const char *to);
	int (*sync_folder)(void *context, const char *path);
	void *context;
} keeper_file_t;

/** keeper_file_posix - the calls of the system. */
extern const keeper_file_t keeper_file_posix;

/** keeper_file_write_all - go on after short writes; -1 with errno set. */
int keeper_file_write_all(const keeper_file_t *file, int fd, const void *bytes,
			  size_t size);

/**
 * keeper_file_replace - put a whole file in place, synced with its folder.
 * @file: the calls
 * @folder: the data folder
 * @name: of the file in it
 * @bytes: the content
 * @size: its length
 * @err: HL_ERR_IO; the old file then still stands
 *
 * Return: a descriptor to append to the file, or -1.
 */
int keeper_file_replace(const keeper_file_t *file, const char *folder,
			const char *name, const void *bytes, size_t size,
			hl_error_t *err);

/**
 * keeper_file_read - a whole file as malloc'ed bytes.
 *
 * Return: 1, 0 if there is no such file, -1 with HL_ERR_IO.
 */
int keeper_file_read(const char *folder, const char *name, char **bytes,
		     size_t *size, hl_error_t *err);

/** struct keeper_buffer_t - records on their way to a file. */
typedef struct {
	char *bytes;
	size_t size, room;
} keeper_buffer_t;

/** keeper_record_put - frame one value with its length and checksum.
 *
 * Return: 0, or -1 out of memory.
 */
int keeper_record_put(keeper_buffer_t *buffer, xdrproc_t proc, void *value);

/** enum keeper_record_state_t - what stands at a place of a file. */
typedef enum {
	KEEPER_RECORD_WHOLE,
	KEEPER_RECORD_END,     /* the file ends here */
	KEEPER_RECORD_TORN,    /* the last write did not get to its end */
	KEEPER_RECORD_DAMAGED, /* what was once whole is not any more */
} keeper_record_state_t;

/**
 * keeper_record_next - look at the record at *@offset.
 * @bytes: the file
 * @size: its length
 * @offset: moved behind the record if it is whole
 * @body: set to the body
 * @body_size: its length
 */
keeper_record_state_t keeper_record_next(const char *bytes, size_t size,
					 size_t *offset, const char **body,
					 size_t *body_size);

/** struct keeper_log_t - what a log file holds. */
typedef struct {
	uint64_t cluster;
	char name[HL_NAME_MAX];
	uint64_t incarnation;
	keeper_ballot_state_t ballot;
	uint64_t commit; /* entries up to it were committed */
	keeper_entries_t entries;
	bool torn; /* a torn tail was cut off */
} keeper_log_t;

/**
 * keeper_log_parse - read a log file.
 * @path: for messages
 * @bytes: the file
 * @size: its length
 * @log: filled in; free its entries
 * @err: HL_ERR_CORRUPT, with the remedy
 */
int keeper_log_parse(const char *path, const char *bytes, size_t size,
		     keeper_log_t *log, hl_error_t *err);

/** keeper_log_put - frame a header, a ballot and all entries. */
int keeper_log_put(keeper_buffer_t *buffer, const keeper_log_t *log);

/** keeper_log_put_ballot - frame a ballot and what was committed. */
int keeper_log_put_ballot(keeper_buffer_t *buffer,
			  const keeper_ballot_state_t *ballot, uint64_t commit);

/** keeper_log_put_entry - frame one entry. */
int keeper_log_put_entry(keeper_buffer_t *buffer, const keeper_entry_t *entry);

/** keeper_snapshot_parse - read a snapshot file, as keeper_log_parse(). */
int keeper_snapshot_parse(const char *path, const char *bytes, size_t size,
			  uint64_t cluster, keeper_snapshot_t *snapshot,
			  hl_error_t *err);

/** keeper_snapshot_put - frame a snapshot; -1 out of memory. */
int keeper_snapshot_put(keeper_buffer_t *buffer, uint64_t cluster,
			const keeper_snapshot_t *snapshot);

/** struct keeper_store_t - an open data folder. */
typedef struct {
	const keeper_file_t *file;
	char folder[HL_MESSAGE_MAX];
	uint64_t cluster;
	char name[HL_NAME_MAX];
	uint64_t incarnation; /* of the disk */
	bool torn;	      /* a torn tail was cut off at the start */
	int lock_fd;
	int log_fd;
	size_t log_bytes;
	uint64_t commit; /* as the log has it */
	uint64_t syncs;	 /* for the metrics */
} keeper_store_t;

/**
 * keeper_store_open - read a data folder and make it ready for writing.
 * @store: filled in
 * @file: the file calls
 * @folder: an existing folder
 * @cluster: hash of the cluster's name
 * @name: of this keeper
 * @fresh: incarnation for a folder that holds nothing yet, not 0
 * @raft: restored from the folder, with its settings' incarnation set
 * @err: HL_ERR_IO, HL_ERR_CORRUPT, HL_ERR_SETTINGS for a foreign folder
 *
 * All that is read is written and synced again, since a page that is in
 * memory after a failed sync need not be on the disk.
 */
int keeper_store_open(keeper_store_t *store, const keeper_file_t *file,
		      const char *folder, uint64_t cluster, const char *name,
		      uint64_t fresh, keeper_raft_t *raft, hl_error_t *err);

/** keeper_store_save - what keeper_raft_unsaved() means; -1 on failure, after
 * which the store has to be closed and opened again. */
int keeper_store_save(keeper_store_t *store, const keeper_raft_t *raft,
		      hl_error_t *err);

/** keeper_store_compact - write the snapshot of @raft and a new log that
 * follows it. */
int keeper_store_compact(keeper_store_t *store, const keeper_raft_t *raft,
			 hl_error_t *err);

/** keeper_store_close - may be called twice. */
void keeper_store_close(keeper_store_t *store);

#endif
