#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "keeper-store.h"

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
	disk->written += (off_t)size;
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
	disk->synced = disk->written;
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
 * single bit flipped must be refused. */
static void test_bit_flip(void)
{
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	size_t size, bit;
	bool truncated;
	int count;

	log_make(folder, sizeof(folder), &bytes, &size);
	for (bit = 0; bit < 8 * size; bit++) {
		bytes[bit / 8] ^= (char)(1 << bit % 8);
		count = log_count(bytes, size, &truncated, &err);
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

/* Copy a log; sectors of which @missing has the bit were not written after
 * @synced, counted from the sector with that byte. */
static char *log_without_sectors(const char *bytes, size_t size, size_t synced,
				 unsigned missing)
{
	char *torn = g_memdup2(bytes, size);
	size_t sector = synced / SECTOR_BYTES, start, end;

	for (; missing; missing >>= 1, sector++) {
		start = MAX(synced, sector * SECTOR_BYTES);
		end = MIN(size, (sector + 1) * SECTOR_BYTES);
		if (missing & 1)
			memset(torn + start, 0, end - start);
	}
	return torn;
}

/* Check all ways in which the write from @synced on may lack sectors, also if the
 * file has only a part of its new size. Returns their number. */
static unsigned check_torn_sectors(const char *bytes, size_t size,
				   size_t synced, int count)
{
	size_t sectors = (size - 1) / SECTOR_BYTES - synced / SECTOR_BYTES + 1;
	unsigned missing, checked = 0;
	hl_error_t err = { 0 };
	size_t length;
	bool truncated;
	char *torn;
	int found;

	g_assert_cmpuint(sectors, <, 10);
	for (missing = 0; missing < 1U << sectors; missing++) {
		torn = log_without_sectors(bytes, size, synced, missing);
		for (length = size; length > synced;
		     length = (length - 1) / SECTOR_BYTES * SECTOR_BYTES) {
			found = log_count(torn, length, &truncated, &err);
			g_assert_cmpint(found, >=, count);
			checked++;
		}
		g_free(torn);
	}
	return checked;
}

/* Guards against a keeper that refuses to start after a loss of power: the last
 * write may lack any of its sectors, also the last one alone. */
static void test_torn_sectors(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	unsigned round, i, checked = 0;
	size_t size, synced;
	int rc;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_lead(&keeper, &err), ==, 0);
	for (round = 0; round < TORN_WRITES; round++) {
		int count = (int)keeper.raft.entries.count;

		synced = keeper.store.log_bytes;
		for (i = 0; i < TORN_ENTRIES; i++)
			raft_push_random(&keeper.raft, rand,
					 (size_t)g_rand_int_range(
						 rand, 1, TORN_ENTRY_BYTES));
		rc = keeper_save(&keeper, &err);
		g_assert_cmpint(rc, ==, 0);
		g_assert_cmpint(keeper_file_read(folder, "log", &bytes, &size,
						 &err),
				==, 1);
		checked += check_torn_sectors(bytes, size, synced, count);
		g_free(bytes);
	}
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
	synced = keeper.store.log_bytes;
	save_random(&keeper, rand, TORN_ENTRY_BYTES);
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
	g_assert_cmpint(write(keeper->store.log_fd, buffer.bytes, buffer.size),
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
	for (length = synced; length <= size; length++)
		g_assert_cmpuint(log_check_commit(bytes, length, index, term),
				 >=, commit - 1);
	keeper_close(&keeper);
	g_free(bytes);
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
	g_test_add_func("/keeper-store/torn-sectors", test_torn_sectors);
	g_test_add_func("/keeper-store/lost-sectors", test_lost_sectors);
	g_test_add_data_func("/keeper-store/torn-commit/new-layout",
			     GINT_TO_POINTER(false), test_torn_commit);
	g_test_add_data_func("/keeper-store/torn-commit/old-layout",
			     GINT_TO_POINTER(true), test_torn_commit);
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
