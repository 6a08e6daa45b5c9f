#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "keeper-store.h"
#include "keeper_disk.h"

/*
 * Guards against a data folder that loses acknowledged changes or votes after a
 * power failure at any file call, a full disk, a failing sync or a truncated
 * write, and against damage that is not detected. The group has one voter,
 * which commits the entries that it has saved; the folder must have all of them
 * when it is opened again.
 */

#define CHANGES 12
#define COMPACT_AT_CHANGE 7
#define CLUSTER 9
#define FUZZ_INPUTS 5000
#define FUZZ_SEED 4712
#define ELECTION_TIMEOUT (100 * USEC_PER_MS)
#define SECTOR_BYTES 512
/* Entries of a write that lacks sectors, and the size of their bodies. */
#define TORN_ENTRIES 4
#define TORN_ENTRY_BYTES 700
#define TORN_WRITES 16
/* Number of writes that are torn at each byte, and of random tears of each. */
#define TORN_BYTEWISE 3
#define TORN_RANDOM 200

typedef enum {
	FAULT_NONE,
	FAULT_CRASH,	 /* power failure during the call */
	FAULT_DISK_FULL, /* ENOSPC after half of the bytes */
	FAULT_SYNC,	 /* EIO, and the unsynced pages are lost */
} fault_t;

/* A simulated disk that tracks written and synced bytes. */
typedef struct {
	fault_t fault;
	unsigned fail_at; /* number of the file call that fails */
	unsigned calls;	  /* number of file calls so far */
	bool failed;
	unsigned quarters_kept; /* quarters of the unsynced bytes retained */
	bool lose_rename;	/* undo an unsynced rename */
	char folder[256];
	char unsynced_name[320]; /* target of the unsynced rename, or "" */
	bool had_old_file;
	int fd; /* descriptor of the file used last */
	off_t written, synced;
} disk_t;

/* Count a call; true if it is the one that fails. */
static bool disk_call_fails(disk_t *disk)
{
	return ++disk->calls == disk->fail_at && disk->fault != FAULT_NONE;
}

/* Simulate a power failure: undo unsynced writes, except for quarters_kept, and
 * an unsynced rename if lose_rename is set. */
static int disk_lose_power(disk_t *disk)
{
	char old[400];
	off_t size = disk->synced +
		     (disk->written - disk->synced) * disk->quarters_kept / 4;

	if (size != disk->written && ftruncate(disk->fd, size))
		g_assert_not_reached();
	if (disk->unsynced_name[0] && disk->lose_rename) {
		g_snprintf(old, sizeof(old), "%s.old", disk->unsynced_name);
		if (disk->had_old_file)
			g_assert_cmpint(rename(old, disk->unsynced_name), ==,
					0);
		else
			unlink(disk->unsynced_name);
	}
	disk->failed = true;
	errno = EIO;
	return -1;
}

static int disk_open(void *context, const char *path, int flags)
{
	disk_t *disk = context;

	if (disk->failed ||
	    (disk_call_fails(disk) && disk->fault == FAULT_CRASH))
		return disk_lose_power(disk);
	disk->fd = open(path, flags, 0600);
	disk->written = disk->synced = 0;
	return disk->fd;
}

static ssize_t disk_write(void *context, int fd, const void *bytes, size_t size)
{
	disk_t *disk = context;
	bool fails = disk_call_fails(disk);

	if (disk->failed) {
		errno = EIO;
		return -1;
	}
	if (fails && disk->fault == FAULT_DISK_FULL) {
		disk->failed = true;
		g_assert_cmpint(write(fd, bytes, size / 2), >=, 0);
		errno = ENOSPC;
		return -1;
	}
	g_assert_cmpint(write(fd, bytes, size), ==, (ssize_t)size);
	disk->fd = fd;
	disk->written = lseek(fd, 0, SEEK_CUR);
	if (fails && disk->fault == FAULT_CRASH)
		return disk_lose_power(disk);
	return (ssize_t)size;
}

static int disk_sync(void *context, int fd)
{
	disk_t *disk = context;
	bool fails = disk_call_fails(disk);

	if (disk->failed || (fails && disk->fault != FAULT_DISK_FULL)) {
		if (!disk->failed)
			disk_lose_power(disk);
		errno = EIO;
		return -1;
	}
	disk->fd = fd;
	disk->synced = disk->written = lseek(fd, 0, SEEK_CUR);
	return 0;
}

static int disk_rename(void *context, const char *from, const char *to)
{
	disk_t *disk = context;
	bool fails = disk_call_fails(disk);
	char old[400];

	if (disk->failed)
		return -1;
	g_snprintf(old, sizeof(old), "%s.old", to);
	unlink(old);
	disk->had_old_file = link(to, old) == 0;
	g_strlcpy(disk->unsynced_name, to, sizeof(disk->unsynced_name));
	if (rename(from, to))
		return -1;
	return fails && disk->fault == FAULT_CRASH ? disk_lose_power(disk) : 0;
}

static int disk_sync_folder(void *context, const char *path)
{
	disk_t *disk = context;
	bool fails = disk_call_fails(disk);

	(void)path;
	if (disk->failed || (fails && disk->fault != FAULT_DISK_FULL))
		return disk->failed ? -1 : disk_lose_power(disk);
	disk->unsynced_name[0] = '\0';
	return 0;
}

static keeper_file_ops_t disk_file(disk_t *disk)
{
	keeper_file_ops_t file = { disk_open,	disk_write,	  disk_sync,
				   disk_rename, disk_sync_folder, disk };

	disk->fd = -1;
	return file;
}

/* A keeper that is the only voter of its group. */
typedef struct {
	keeper_store_t store;
	keeper_raft_t raft;
	usec_t now;
	uint64_t acked; /* number of changes that were committed */
	uint64_t term;	/* highest term that was saved */
} keeper_t;

static int keeper_open_as(keeper_t *keeper, const keeper_file_ops_t *file,
			  const char *folder, const char *name, hl_error_t *err)
{
	keeper_raft_settings_t settings = {
		.cluster = CLUSTER,
		.may_bootstrap = true,
		.heartbeat_interval = ELECTION_TIMEOUT / 5,
		.election_timeout = ELECTION_TIMEOUT,
		.founder_count = 1
	};

	strcpy(settings.name, name);
	strcpy(settings.founders[0], name);
	keeper_raft_init(&keeper->raft, &settings, keeper->now);
	return keeper_store_open(&keeper->store, file, folder, CLUSTER, name,
				 77, &keeper->raft, err);
}

static int keeper_open(keeper_t *keeper, const keeper_file_ops_t *file,
		       const char *folder, hl_error_t *err)
{
	return keeper_open_as(keeper, file, folder, "k0", err);
}

static void keeper_close(keeper_t *keeper)
{
	keeper_store_close(&keeper->store);
	keeper_raft_free(&keeper->raft);
}

static int keeper_save(keeper_t *keeper, hl_error_t *err)
{
	if (keeper_raft_has_unsaved(&keeper->raft)) {
		if (keeper_store_save(&keeper->store, &keeper->raft, err))
			return -1;
		keeper_raft_mark_saved(&keeper->raft, keeper->now);
	}
	keeper->term = keeper->raft.ballot.term;
	return 0;
}

static int keeper_lead(keeper_t *keeper, hl_error_t *err)
{
	unsigned i;

	for (i = 0; i < 100 && keeper->raft.role != KEEPER_LEADER; i++) {
		keeper->now += ELECTION_TIMEOUT / 2;
		keeper_raft_tick(&keeper->raft, keeper->now);
		if (keeper_save(keeper, err))
			return -1;
	}
	g_assert_cmpint(keeper->raft.role, ==, KEEPER_LEADER);
	return 0;
}

/* Replace the log by a snapshot. The state is the number of changes, and change
 * N has the body N. */
static int keeper_compact(keeper_t *keeper, hl_error_t *err)
{
	keeper_snapshot_t snapshot = { .index = keeper->raft.commit,
				       .size = sizeof(keeper->acked) };

	keeper_entries_term(&keeper->raft.entries, snapshot.index,
			    &snapshot.term);
	keeper_raft_group_at(&keeper->raft, snapshot.index, &snapshot.group);
	snapshot.state = g_memdup2(&keeper->acked, sizeof(keeper->acked));
	keeper_raft_compact(&keeper->raft, &snapshot);
	return keeper_store_compact(&keeper->store, &keeper->raft, err);
}

static int keeper_run_changes(keeper_t *keeper, uint64_t target,
			      hl_error_t *err)
{
	if (keeper_lead(keeper, err))
		return -1;
	while (keeper->acked < target) {
		uint64_t number = keeper->acked + 1;

		if (!keeper_raft_propose(&keeper->raft, (char *)&number,
					 sizeof(number), keeper->now) ||
		    keeper_save(keeper, err))
			return -1;
		keeper->acked = number;
		if (number == COMPACT_AT_CHANGE && keeper_compact(keeper, err))
			return -1;
	}
	return 0;
}

/* Number of changes in the folder, which must be in order and without gaps. The
 * last one may be a change that was not acknowledged. */
static uint64_t keeper_count_changes(const keeper_t *keeper)
{
	const keeper_raft_t *raft = &keeper->raft;
	uint64_t count = 0, number, i;

	if (raft->snapshot.size)
		memcpy(&count, raft->snapshot.state, sizeof(count));
	for (i = raft->entries.base + 1;
	     i <= keeper_entries_last(&raft->entries); i++) {
		const keeper_entry_t *entry = keeper_entries_at(&raft->entries,
								i);

		if (entry->kind != KEEPER_ENTRY_CHANGE)
			continue;
		memcpy(&number, entry->body.body_val, sizeof(number));
		g_assert_cmpuint(number, ==, count + 1);
		count = number;
	}
	return count;
}

static void folder_make(char *folder, size_t size)
{
	char *made = g_dir_make_tmp(NULL, NULL);

	g_strlcpy(folder, made, size);
	g_free(made);
}

static void folder_remove(const char *folder)
{
	static const char *const names[] = { "log",	     "log.new",
					     "log.old",	     "snapshot",
					     "snapshot.new", "snapshot.old",
					     "lock" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(folder, names[i], NULL);

		unlink(path);
		g_free(path);
	}
	g_assert_cmpint(rmdir(folder), ==, 0);
}

/* Make changes on the faulty disk, then open the folder on a good one. Return
 * false if all changes were made before the fault. */
static bool run_with_fault(fault_t fault, unsigned fail_at,
			   unsigned quarters_kept, bool lose_rename)
{
	disk_t disk = { .fault = fault,
			.fail_at = fail_at,
			.quarters_kept = quarters_kept };
	keeper_file_ops_t file = disk_file(&disk);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	bool failed;

	disk.lose_rename = lose_rename;
	folder_make(disk.folder, sizeof(disk.folder));
	failed = keeper_open(&keeper, &file, disk.folder, &err) != 0;
	if (!failed) {
		failed = keeper_run_changes(&keeper, CHANGES, &err) != 0;
		keeper_close(&keeper);
	} else {
		keeper_raft_free(&keeper.raft);
	}
	if (failed) {
		g_assert_cmpint(err.kind, ==, HL_ERR_IO);
		g_assert_nonnull(strstr(err.message, "; free space or"));
	}
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, disk.folder,
				    &err),
			==, 0);
	g_assert_cmpuint(keeper_count_changes(&keeper), >=, keeper.acked);
	g_assert_cmpuint(keeper.raft.ballot.term, >=, keeper.term);
	keeper.acked = keeper_count_changes(&keeper);
	g_assert_cmpint(keeper_run_changes(&keeper, CHANGES + 2, &err), ==, 0);
	keeper_close(&keeper);
	folder_remove(disk.folder);
	return failed;
}

static void test_fault(gconstpointer data)
{
	fault_t fault = GPOINTER_TO_INT(data);
	unsigned fail_at, quarters_kept, rounds = 0;

	for (quarters_kept = 0; quarters_kept <= 4; quarters_kept++)
		for (fail_at = 1; fail_at < 500; fail_at++, rounds++)
			if (!run_with_fault(fault, fail_at, quarters_kept,
					    quarters_kept & 1) &&
			    fail_at > 6 * CHANGES)
				break;
	g_test_message("%u rounds", rounds);
	g_assert_cmpuint(rounds, >, 5 * 2 * CHANGES);
}

/* Guards against a keeper that relies on unsynced data: after a failed sync the
 * page cache may hold data that is not on the disk. The data that a keeper
 * reads when it opens the folder must survive a power failure right after that.
 */
static void test_unsynced_at_open(gconstpointer data)
{
	disk_t disk = { .lose_rename = true };
	keeper_file_ops_t file = disk_file(&disk);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256], *path;
	int fd;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_run_changes(&keeper, CHANGES, &err), ==, 0);
	keeper_close(&keeper);
	path = g_build_filename(folder, data, NULL);
	fd = open(path, O_RDWR);
	g_assert_cmpint(keeper_open(&keeper, &file, folder, &err), ==, 0);
	g_assert_cmpuint(keeper_count_changes(&keeper), ==, CHANGES);
	disk_lose_power(&disk);
	/* Only the first half of the file was written to the disk. */
	g_assert_cmpint(ftruncate(fd, lseek(fd, 0, SEEK_END) / 2), ==, 0);
	close(fd);
	keeper_close(&keeper);
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpuint(keeper_count_changes(&keeper), ==, CHANGES);
	keeper_close(&keeper);
	g_free(path);
	folder_remove(folder);
}

/* Make a folder with some changes and return the bytes of its log. */
static void log_make(char *folder, size_t folder_size, char **bytes,
		     size_t *size)
{
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };

	folder_make(folder, folder_size);
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_run_changes(&keeper, COMPACT_AT_CHANGE - 1,
					   &err),
			==, 0);
	keeper_close(&keeper);
	g_assert_cmpint(keeper_file_read(folder, "log", bytes, size, &err), ==,
			1);
}

static int log_count(const char *bytes, size_t size, bool *truncated,
		     hl_error_t *err)
{
	keeper_log_t log;
	int count;

	if (keeper_log_parse("log", bytes, size, &log, err))
		return -1;
	count = (int)log.entries.count;
	*truncated = log.truncated;
	keeper_entries_free(&log.entries);
	return count;
}

/* Offset of the last record in the log. */
static size_t log_last_record(const char *bytes, size_t size)
{
	size_t offset = 0, last = 0, length;
	const char *body;

	while (offset < size) {
		last = offset;
		g_assert_cmpint(keeper_record_next(bytes, size, &offset, &body,
						   &length),
				==, KEEPER_RECORD_COMPLETE);
	}
	return last;
}

/* Remove the seal from the end of a log: its content right after a sync. */
static void log_drop_seal(const char *bytes, size_t *size)
{
	*size = log_last_record(bytes, *size);
}

/* Guards against a log that does not open after a crash during its last write,
 * or opens with an incomplete entry. */
static void test_truncated_log(void)
{
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	size_t size, last, length;
	bool truncated = true;
	int full_count, count;

	log_make(folder, sizeof(folder), &bytes, &size);
	full_count = log_count(bytes, size, &truncated, &err);
	g_assert_false(truncated);
	last = log_last_record(bytes, size);
	for (length = last; length < size; length++) {
		count = log_count(bytes, length, &truncated, &err);
		g_assert_cmpint(count, ==, full_count);
		g_assert_cmpint(truncated, ==, length > last);
	}
	log_drop_seal(bytes, &size);
	last = log_last_record(bytes, size);
	for (length = last; length < size; length++) {
		count = log_count(bytes, length, &truncated, &err);
		g_assert_cmpint(count, ==, full_count - 1);
		g_assert_cmpint(truncated, ==, length > last);
	}
	/* The file has grown, but its last sectors were not written. */
	bytes = g_realloc(bytes, size + 2048);
	memset(bytes + last + 40, 0, size + 2048 - last - 40);
	count = log_count(bytes, size + 2048, &truncated, &err);
	g_assert_cmpint(count, ==, full_count - 1);
	g_assert_true(truncated);
	g_free(bytes);
	folder_remove(folder);
}

/* Guards against damage that is treated as a truncated write: a log with any
 * single bit flipped must be refused. The seal at its end is not synced; without
 * it nothing is lost. */
static void test_bit_flip(void)
{
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	size_t size, synced, bit;
	bool truncated;
	int count, full_count;

	log_make(folder, sizeof(folder), &bytes, &size);
	full_count = log_count(bytes, size, &truncated, &err);
	synced = size;
	log_drop_seal(bytes, &synced);
	for (bit = 0; bit < 8 * size; bit++) {
		bytes[bit / 8] ^= (char)(1 << bit % 8);
		count = log_count(bytes, size, &truncated, &err);
		if (bit / 8 >= synced) {
			g_assert_cmpint(count, ==, full_count);
			bytes[bit / 8] ^= (char)(1 << bit % 8);
			continue;
		}
		g_assert_cmpint(count, ==, -1);
		g_assert_cmpint(err.kind, ==, HL_ERR_CORRUPT);
		g_assert_nonnull(strstr(err.message, "move the data folder"));
		bytes[bit / 8] ^= (char)(1 << bit % 8);
	}
	count = log_count(bytes, size, &truncated, &err);
	g_assert_cmpint(count, >, 0);
	g_free(bytes);
	folder_remove(folder);
}

/* Append an entry of the present term. */
static void raft_push(keeper_raft_t *raft, char *body, size_t size)
{
	keeper_entry_t entry = {
		.index = keeper_entries_last(&raft->entries) + 1,
		.term = raft->ballot.term,
		.kind = KEEPER_ENTRY_CHANGE,
		.body = { (u_int)size, body },
	};

	g_assert_true(keeper_entries_push(&raft->entries, &entry));
}

/* Append an entry with a random body. */
static void raft_push_random(keeper_raft_t *raft, GRand *rand, size_t size)
{
	char body[TORN_ENTRY_BYTES];
	size_t i;

	for (i = 0; i < size; i++)
		body[i] = (char)g_rand_int_range(rand, 1, 256);
	raft_push(raft, body, size);
}

/* Save an entry of @size bytes in a write of its own. */
static void save_random(keeper_t *keeper, GRand *rand, size_t size)
{
	hl_error_t err = { 0 };
	int rc;

	raft_push_random(&keeper->raft, rand, size);
	rc = keeper_save(keeper, &err);
	g_assert_cmpint(rc, ==, 0);
}

/* A write in the log from @start to @end, and the file before it: @before has
 * @before_size bytes, which end in the seal that the write overwrites. */
typedef struct {
	const char *bytes, *before;
	size_t start, end, before_size;
	int count; /* entries before the write */
	unsigned checked;
} torn_t;

/* Bytes of the write from @from to @to are missing. The file has @size bytes, and
 * where it was not written it has the seal if @sealed, else zeros. */
typedef struct {
	size_t from, to, size;
	bool sealed;
} tear_t;

/* The file that a loss of power leaves; its size is in @size. */
static char *torn_file(const torn_t *torn, const tear_t *tear, size_t *size)
{
	size_t kept = tear->sealed ? torn->before_size : torn->start;
	char *bytes;

	*size = MAX(tear->size, kept);
	bytes = g_malloc0(*size + 1);
	memcpy(bytes, torn->before, kept);
	memcpy(bytes + torn->start, torn->bytes + torn->start,
	       MIN(tear->from, tear->size) - torn->start);
	if (tear->to < tear->size)
		memcpy(bytes + tear->to, torn->bytes + tear->to,
		       tear->size - tear->to);
	return bytes;
}

/* Check that a log opens and has all that was synced before its last write. */
static void torn_check_bytes(torn_t *torn, const char *bytes, size_t size)
{
	hl_error_t err = { 0 };
	bool truncated;
	int found = log_count(bytes, size, &truncated, &err);

	if (found < torn->count)
		g_error("write=%zu-%zu size=%zu: %s", torn->start, torn->end,
			size, err.message);
	torn->checked++;
}

/* Check a tear, with the seal that the write overwrites and without it. */
static void torn_check(torn_t *torn, tear_t tear)
{
	size_t size;
	char *bytes;
	int sealed;

	for (sealed = 0; sealed < 2; sealed++) {
		tear.sealed = sealed;
		bytes = torn_file(torn, &tear, &size);
		torn_check_bytes(torn, bytes, size);
		g_free(bytes);
	}
}

/* Check a write that ends early, at each byte, in a file that has grown and in one
 * that has not, and one that lacks each number of bytes at its begin. */
static void torn_check_bytewise(torn_t *torn)
{
	size_t at;

	for (at = torn->start; at < torn->end; at++) {
		torn_check(torn, (tear_t){ at, torn->end, at, false });
		torn_check(torn, (tear_t){ at, torn->end, torn->end, false });
		torn_check(torn, (tear_t){ torn->start, at, torn->end, false });
	}
}

/* Check a write that lacks any one of its records. */
static void torn_check_records(torn_t *torn)
{
	size_t start = torn->start, end = start, length;
	const char *body;

	for (; end < torn->end; start = end) {
		g_assert_cmpint(keeper_record_next(torn->bytes, torn->end, &end,
						   &body, &length),
				==, KEEPER_RECORD_COMPLETE);
		torn_check(torn, (tear_t){ start, end, torn->end, false });
	}
}

/* Check a write of which some bytes have any other content. */
static void torn_check_random(torn_t *torn, GRand *rand)
{
	gint32 size = (gint32)(torn->end - torn->start);
	char *bytes = g_memdup2(torn->bytes, torn->end);
	gint32 at = g_rand_int_range(rand, 0, size);
	gint32 end = g_rand_int_range(rand, at, size) + 1;

	for (; at < end; at++)
		bytes[torn->start + (size_t)at] = (char)g_rand_int(rand);
	torn_check_bytes(torn, bytes, torn->end);
	g_free(bytes);
}

/* Check all ways in which the write may lack sectors, also if the file has only a
 * part of its new size. */
static void torn_check_sectors(torn_t *torn)
{
	size_t first = torn->start / SECTOR_BYTES;
	size_t sectors = (torn->end - 1) / SECTOR_BYTES - first + 1, i;
	unsigned missing;
	size_t length;

	g_assert_cmpuint(sectors, <, 10);
	for (missing = 0; missing < 1U << sectors; missing++) {
		char *bytes = g_memdup2(torn->bytes, torn->end);

		for (i = 0; i < sectors; i++) {
			size_t start = MAX(torn->start,
					   (first + i) * SECTOR_BYTES);
			size_t end = MIN(torn->end,
					 (first + i + 1) * SECTOR_BYTES);

			if (missing >> i & 1)
				memset(bytes + start, 0, end - start);
		}
		for (length = torn->end; length > torn->start;
		     length = (length - 1) / SECTOR_BYTES * SECTOR_BYTES)
			torn_check_bytes(torn, bytes, length);
		g_free(bytes);
	}
}

/* Make a write of several entries and check what a loss of power may leave of it.
 * Returns the number of states. */
static unsigned torn_check_write(keeper_t *keeper, GRand *rand,
				 const char *folder, bool bytewise)
{
	torn_t torn = { .start = keeper->store.log_bytes,
			.count = (int)keeper->raft.entries.count };
	char *before, *bytes;
	hl_error_t err = { 0 };
	size_t size;
	unsigned i;
	int rc;

	g_assert_cmpint(keeper_file_read(folder, "log", &before,
					 &torn.before_size, &err),
			==, 1);
	for (i = 0; i < TORN_ENTRIES; i++)
		raft_push_random(&keeper->raft, rand,
				 (size_t)g_rand_int_range(rand, 1,
							  TORN_ENTRY_BYTES));
	rc = keeper_save(keeper, &err);
	g_assert_cmpint(rc, ==, 0);
	g_assert_cmpint(keeper_file_read(folder, "log", &bytes, &size, &err),
			==, 1);
	torn.bytes = bytes;
	torn.before = before;
	torn.end = keeper->store.log_bytes;
	g_assert_cmpuint(torn.end, >, torn.before_size);
	torn_check_sectors(&torn);
	torn_check_records(&torn);
	for (i = 0; i < TORN_RANDOM; i++)
		torn_check_random(&torn, rand);
	if (bytewise)
		torn_check_bytewise(&torn);
	g_free(before);
	g_free(bytes);
	return torn.checked;
}

/* Guards against keepers that refuse to start after a loss of power, so that reads of
 * the configuration fail: the last write may lack any of its bytes, or have others. */
static void test_torn_writes(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256];
	unsigned round, checked = 0;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_lead(&keeper, &err), ==, 0);
	for (round = 0; round < TORN_WRITES; round++)
		checked += torn_check_write(&keeper, rand, folder,
					    round < TORN_BYTEWISE);
	g_test_message("seed=%d states=%u", FUZZ_SEED, checked);
	keeper_close(&keeper);
	folder_remove(folder);
	g_rand_free(rand);
}

/* Guards against lost sectors that are taken for a torn write although a sync
 * has covered them: the keeper would forget what it acknowledged. */
static void test_lost_sectors(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	keeper_t keeper = { .now = USEC_PER_SEC };
	char folder[256], *bytes, *lost;
	size_t size, synced, sector;
	hl_error_t err = { 0 };
	bool truncated;
	unsigned i;
	int count;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_lead(&keeper, &err), ==, 0);
	for (i = 0; i < TORN_ENTRIES; i++)
		save_random(&keeper, rand, TORN_ENTRY_BYTES);
	save_random(&keeper, rand, TORN_ENTRY_BYTES);
	synced = keeper.store.log_bytes;
	g_assert_cmpint(keeper_file_read(folder, "log", &bytes, &size, &err),
			==, 1);
	for (sector = 0; (sector + 1) * SECTOR_BYTES <= synced; sector++) {
		lost = g_memdup2(bytes, size);
		memset(lost + sector * SECTOR_BYTES, 0, SECTOR_BYTES);
		count = log_count(lost, size, &truncated, &err);
		g_assert_cmpint(count, ==, -1);
		g_assert_cmpint(err.kind, ==, HL_ERR_CORRUPT);
		g_free(lost);
	}
	g_assert_cmpuint(sector, >, TORN_ENTRIES);
	g_free(bytes);
	keeper_close(&keeper);
	folder_remove(folder);
	g_rand_free(rand);
}

/* Append two entries whose body is the present term. */
static void raft_push_two(keeper_raft_t *raft)
{
	uint64_t term = raft->ballot.term;

	raft_push(raft, (char *)&term, sizeof(term));
	raft_push(raft, (char *)&term, sizeof(term));
}

/* Replace the entries from @index on, which have lost, by two of a higher term,
 * both committed, as a follower does that catches up. */
static void raft_catch_up(keeper_raft_t *raft, uint64_t index)
{
	raft->ballot.term++;
	raft->ballot_dirty = true;
	keeper_entries_truncate(&raft->entries, index - 1);
	raft->saved = index - 1;
	raft_push_two(raft);
	raft->commit = index + 1;
}

/* Append the unsaved state in the layout of earlier versions, whose ballot has a
 * commit index that covers the entries after it. */
static void save_in_old_layout(const keeper_t *keeper)
{
	const keeper_raft_t *raft = &keeper->raft;
	keeper_buffer_t buffer = { 0 };
	const keeper_entry_t *entry;
	uint64_t index = raft->saved + 1;

	g_assert_cmpint(keeper_log_put_ballot(&buffer, &raft->ballot,
					      raft->commit),
			==, 0);
	for (; (entry = keeper_entries_at(&raft->entries, index)); index++)
		g_assert_cmpint(keeper_log_put_entry(&buffer, entry), ==, 0);
	g_assert_cmpint(pwrite(keeper->store.log_fd, buffer.bytes, buffer.size,
			       (off_t)keeper->store.log_bytes),
			==, (ssize_t)buffer.size);
	free(buffer.bytes);
}

/* Commit index of a log whose entries from @index on are those of @term, or are
 * not committed. */
static uint64_t log_check_commit(const char *bytes, size_t size, uint64_t index,
				 uint64_t term)
{
	hl_error_t err = { 0 };
	uint64_t found, commit;
	keeper_log_t log;

	g_assert_cmpint(keeper_log_parse("log", bytes, size, &log, &err), ==,
			0);
	commit = log.commit;
	for (; index <= commit; index++) {
		g_assert_true(keeper_entries_term(&log.entries, index, &found));
		g_assert_cmpuint(found, ==, term);
	}
	keeper_entries_free(&log.entries);
	return commit;
}

/* Check that no ballot of a log that only grew has a commit index which covers
 * entries of its own write. */
static void log_check_ballots(const char *bytes, size_t size)
{
	size_t offset = 0, length;
	uint64_t commit = 0;
	unsigned entries = 0;
	const char *body;

	while (keeper_record_next(bytes, size, &offset, &body, &length) ==
	       KEEPER_RECORD_COMPLETE) {
		keeper_record_t record = { 0 };

		g_assert_true(keeper_xdr_decode((xdrproc_t)xdr_keeper_record_t,
						body, length, &record));
		if (record.kind == KEEPER_RECORD_BALLOT)
			commit = record.keeper_record_t_u.ballot.commit;
		if (record.kind == KEEPER_RECORD_ENTRY) {
			g_assert_cmpuint(record.keeper_record_t_u.entry.index,
					 >, commit);
			entries++;
		}
		xdr_free((xdrproc_t)xdr_keeper_record_t, &record);
	}
	g_assert_cmpuint(entries, >, 0);
}

/* Guards against a torn write that makes a keeper take entries for committed
 * that lost: the commit index is on the disk, but not the entries that it was
 * stored with. */
static void test_torn_commit(gconstpointer data)
{
	bool old_layout = GPOINTER_TO_INT(data);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	size_t size, synced, length;
	uint64_t index, term, commit;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_run_changes(&keeper, 2, &err), ==, 0);
	commit = keeper.raft.commit;
	index = keeper_entries_last(&keeper.raft.entries) + 1;
	raft_push_two(&keeper.raft);
	g_assert_cmpint(keeper_store_save(&keeper.store, &keeper.raft, &err),
			==, 0);
	synced = keeper.store.log_bytes;
	raft_catch_up(&keeper.raft, index);
	term = keeper.raft.ballot.term;
	if (old_layout)
		save_in_old_layout(&keeper);
	else
		g_assert_cmpint(keeper_store_save(&keeper.store, &keeper.raft,
						  &err),
				==, 0);
	g_assert_cmpint(keeper_file_read(folder, "log", &bytes, &size, &err),
			==, 1);
	g_assert_cmpuint(size, >, synced);
	if (!old_layout)
		log_check_ballots(bytes, size);
	for (length = synced; length <= size; length++)
		g_assert_cmpuint(log_check_commit(bytes, length, index, term),
				 >=, commit - 1);
	keeper_close(&keeper);
	g_free(bytes);
	folder_remove(folder);
}

/* Guards against damage of a log that was just written anew, and of the vote in it,
 * that is taken for a torn write: its seal is synced with it. */
static void test_new_log_seal(void)
{
	disk_t disk = { 0 };
	keeper_file_ops_t file = disk_file(&disk);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256];
	int rc;

	folder_make(folder, sizeof(folder));
	rc = keeper_open(&keeper, &file, folder, &err);
	g_assert_cmpint(rc, ==, 0);
	g_assert_cmpint(disk.synced, >, (off_t)keeper.store.log_bytes);
	g_assert_cmpint(disk.synced, ==, disk.written);
	keeper_close(&keeper);
	folder_remove(folder);
}

/* Arbitrary bytes that are framed as the body of a valid record. */
typedef struct {
	char bytes[256];
	u_int size;
} body_t;

static bool_t xdr_body(XDR *xdrs, body_t *body)
{
	return xdr_opaque(xdrs, body->bytes, body->size);
}

static void fuzz_body(GRand *rand, const char *bytes, size_t size, body_t *body)
{
	bool intact = g_rand_int_range(rand, 0, 8) != 0;
	int changes = intact ? 0 : g_rand_int_range(rand, 0, 5);

	body->size = (u_int)MIN(size, sizeof(body->bytes)) & ~3U;
	memcpy(body->bytes, bytes, body->size);
	while (changes--)
		body->bytes[g_rand_int_range(rand, 0, (gint32)body->size)] =
			(char)g_rand_int(rand);
	if (!intact && g_rand_int_range(rand, 0, 10) == 0)
		body->size = (u_int)g_rand_int_range(rand, 0, 64) & ~3U;
}

/* Copy the records of a log, some with modified bodies. */
static void fuzz_records(GRand *rand, const char *bytes, size_t size,
			 keeper_buffer_t *buffer)
{
	size_t offset = 0, length;
	const char *inner;
	body_t body;

	while (keeper_record_next(bytes, size, &offset, &inner, &length) ==
	       KEEPER_RECORD_COMPLETE) {
		fuzz_body(rand, inner, length, &body);
		g_assert_cmpint(keeper_record_put(buffer, (xdrproc_t)xdr_body,
						  &body),
				==, 0);
	}
}

/* Guards against crashes on records with valid checksums and bodies that no
 * keeper wrote: they must be read or refused. */
static void test_fuzz(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	char folder[256], *bytes;
	unsigned i, read = 0, refused = 0;
	size_t size;

	log_make(folder, sizeof(folder), &bytes, &size);
	for (i = 0; i < FUZZ_INPUTS; i++) {
		keeper_buffer_t buffer = { 0 };
		keeper_snapshot_t snapshot;
		hl_error_t err = { 0 };
		bool truncated;

		fuzz_records(rand, bytes, size, &buffer);
		if (log_count(buffer.bytes, buffer.size, &truncated, &err) < 0)
			refused++;
		else
			read++;
		if (!keeper_snapshot_parse("snapshot", buffer.bytes,
					   buffer.size, CLUSTER, &snapshot,
					   &err))
			free(snapshot.state);
		free(buffer.bytes);
	}
	g_test_message("seed=%d read=%u refused=%u", FUZZ_SEED, read, refused);
	g_assert_cmpuint(refused, >, FUZZ_INPUTS / 10);
	g_assert_cmpuint(read, >, FUZZ_INPUTS / 10);
	g_free(bytes);
	folder_remove(folder);
	g_rand_free(rand);
}

/* Folders that must be refused, and the expected error. */
static const struct {
	const char *name;
	const char *removed_file; /* a file to remove */
	const char *open_as;
	hl_error_kind_t kind;
	const char *message;
} refusals[] = {
	{ "log-lost", "log", NULL, HL_ERR_CORRUPT,
	  "has a snapshot but no log" },
	{ "snapshot-lost", "snapshot", NULL, HL_ERR_CORRUPT,
	  "snapshot is missing or too old" },
	{ "other-name", NULL, "k1", HL_ERR_SETTINGS, "belongs to keeper k0" },
};

/* Guards against a start with a folder that is incomplete, belongs to another
 * keeper or is used by another process. */
static void test_refused_folder(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	const char *name = refusals[i].open_as;
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256], *path;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_run_changes(&keeper, CHANGES, &err), ==, 0);
	g_assert_cmpint(keeper_open(&(keeper_t){ 0 }, &keeper_file_posix,
				    folder, &err),
			==, -1);
	g_assert_nonnull(strstr(err.message, "in use by another keeper"));
	keeper_close(&keeper);
	if (refusals[i].removed_file) {
		path = g_build_filename(folder, refusals[i].removed_file, NULL);
		g_assert_cmpint(unlink(path), ==, 0);
		g_free(path);
	}
	g_assert_cmpint(keeper_open_as(&keeper, &keeper_file_posix, folder,
				       name ? name : "k0", &err),
			==, -1);
	g_assert_cmpint(err.kind, ==, refusals[i].kind);
	g_assert_nonnull(strstr(err.message, refusals[i].message));
	folder_remove(folder);
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/keeper-store/crash",
			     GINT_TO_POINTER(FAULT_CRASH), test_fault);
	g_test_add_data_func("/keeper-store/full-disk",
			     GINT_TO_POINTER(FAULT_DISK_FULL), test_fault);
	g_test_add_data_func("/keeper-store/failing-sync",
			     GINT_TO_POINTER(FAULT_SYNC), test_fault);
	g_test_add_data_func("/keeper-store/read-again/log", "log",
			     test_unsynced_at_open);
	g_test_add_data_func("/keeper-store/read-again/snapshot", "snapshot",
			     test_unsynced_at_open);
	g_test_add_func("/keeper-store/torn-tail", test_truncated_log);
	g_test_add_func("/keeper-store/torn-writes", test_torn_writes);
	g_test_add_func("/keeper-store/lost-sectors", test_lost_sectors);
	g_test_add_data_func("/keeper-store/torn-commit/new-layout",
			     GINT_TO_POINTER(false), test_torn_commit);
	g_test_add_data_func("/keeper-store/torn-commit/old-layout",
			     GINT_TO_POINTER(true), test_torn_commit);
	g_test_add_func("/keeper-store/new-log-seal", test_new_log_seal);
	g_test_add_func("/keeper-store/bit-flip", test_bit_flip);
	g_test_add_func("/keeper-store/fuzz", test_fuzz);
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		char *path = g_strdup_printf("/keeper-store/%s",
					     refusals[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i),
				     test_refused_folder);
		g_free(path);
	}
	return g_test_run();
}
