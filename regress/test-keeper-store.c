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
 * A data folder under crashes at every file call, a full disk, a failing sync,
 * torn tails and flipped bits. One voter commits what it has saved, so that
 * what it took for committed must be there afterwards.
 */

#define CHANGES 12
#define COMPACT_AT 7
#define CLUSTER 9
#define FUZZ_INPUTS 5000
#define FUZZ_SEED 4712
#define ELECTION (100 * USEC_PER_MS)

typedef enum {
	FAULT_NONE,
	FAULT_CRASH, /* the power fails in the middle of the call */
	FAULT_FULL,  /* ENOSPC after half of the bytes */
	FAULT_SYNC,  /* EIO, and the pages are forgotten */
} fault_t;

/* The disk: what was written, and what is sure to be there after a crash. */
typedef struct {
	fault_t fault;
	unsigned at, calls; /* the call that fails; calls so far */
	bool dead;
	unsigned keep; /* quarters of the unsynced bytes that survive */
	bool lose_name;
	char folder[256];
	char renamed[320]; /* not synced yet */
	bool had_old;
	int fd; /* newest file opened */
	off_t written, synced;
} disk_t;

static bool disk_due(disk_t *disk)
{
	return ++disk->calls == disk->at && disk->fault != FAULT_NONE;
}

/* Undo what was not synced. */
static int disk_die(disk_t *disk)
{
	char old[400];
	off_t size = disk->synced +
		     (disk->written - disk->synced) * disk->keep / 4;

	if (size != disk->written && ftruncate(disk->fd, size))
		g_assert_not_reached();
	if (disk->renamed[0] && disk->lose_name) {
		g_snprintf(old, sizeof(old), "%s.old", disk->renamed);
		if (disk->had_old)
			g_assert_cmpint(rename(old, disk->renamed), ==, 0);
		else
			unlink(disk->renamed);
	}
	disk->dead = true;
	errno = EIO;
	return -1;
}

static int disk_open(void *context, const char *path, int flags)
{
	disk_t *disk = context;

	if (disk->dead || (disk_due(disk) && disk->fault == FAULT_CRASH))
		return disk_die(disk);
	disk->fd = open(path, flags, 0600);
	disk->written = disk->synced = 0;
	return disk->fd;
}

static ssize_t disk_write(void *context, int fd, const void *bytes, size_t size)
{
	disk_t *disk = context;
	bool due = disk_due(disk);

	if (disk->dead) {
		errno = EIO;
		return -1;
	}
	if (due && disk->fault == FAULT_FULL) {
		disk->dead = true;
		g_assert_cmpint(write(fd, bytes, size / 2), >=, 0);
		errno = ENOSPC;
		return -1;
	}
	g_assert_cmpint(write(fd, bytes, size), ==, (ssize_t)size);
	disk->fd = fd;
	disk->written += (off_t)size;
	if (due && disk->fault == FAULT_CRASH)
		return disk_die(disk);
	return (ssize_t)size;
}

static int disk_sync(void *context, int fd)
{
	disk_t *disk = context;
	bool due = disk_due(disk);

	if (disk->dead || (due && disk->fault != FAULT_FULL)) {
		if (!disk->dead)
			disk_die(disk);
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
	bool due = disk_due(disk);
	char old[400];

	if (disk->dead)
		return -1;
	g_snprintf(old, sizeof(old), "%s.old", to);
	unlink(old);
	disk->had_old = link(to, old) == 0;
	g_strlcpy(disk->renamed, to, sizeof(disk->renamed));
	if (rename(from, to))
		return -1;
	return due && disk->fault == FAULT_CRASH ? disk_die(disk) : 0;
}

static int disk_sync_folder(void *context, const char *path)
{
	disk_t *disk = context;
	bool due = disk_due(disk);

	(void)path;
	if (disk->dead || (due && disk->fault != FAULT_FULL))
		return disk->dead ? -1 : disk_die(disk);
	disk->renamed[0] = '\0';
	return 0;
}

static keeper_file_t disk_file(disk_t *disk)
{
	keeper_file_t file = { disk_open,   disk_write,	      disk_sync,
			       disk_rename, disk_sync_folder, disk };

	disk->fd = -1;
	return file;
}

typedef struct {
	keeper_store_t store;
	keeper_raft_t raft;
	usec_t now;
	uint64_t acked; /* changes that were told to be committed */
	uint64_t term;	/* the newest that was acted on */
} keeper_t;

static int keeper_open_as(keeper_t *keeper, const keeper_file_t *file,
			  const char *folder, const char *name, hl_error_t *err)
{
	keeper_raft_settings_t settings = { .cluster = CLUSTER,
					    .may_bootstrap = true,
					    .heartbeat_interval = ELECTION / 5,
					    .election_timeout = ELECTION,
					    .founder_count = 1 };

	strcpy(settings.name, name);
	strcpy(settings.founders[0], name);
	keeper_raft_init(&keeper->raft, &settings, keeper->now);
	return keeper_store_open(&keeper->store, file, folder, CLUSTER, name,
				 77, &keeper->raft, err);
}

static int keeper_open(keeper_t *keeper, const keeper_file_t *file,
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
	if (keeper_raft_unsaved(&keeper->raft)) {
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
		keeper->now += ELECTION / 2;
		keeper_raft_tick(&keeper->raft, keeper->now);
		if (keeper_save(keeper, err))
			return -1;
	}
	g_assert_cmpint(keeper->raft.role, ==, KEEPER_LEADER);
	return 0;
}

/* The state is the number of changes; change N has the body N. */
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

static int keeper_work(keeper_t *keeper, uint64_t until, hl_error_t *err)
{
	if (keeper_lead(keeper, err))
		return -1;
	while (keeper->acked < until) {
		uint64_t number = keeper->acked + 1;

		if (!keeper_raft_propose(&keeper->raft, (char *)&number,
					 sizeof(number), keeper->now) ||
		    keeper_save(keeper, err))
			return -1;
		keeper->acked = number;
		if (number == COMPACT_AT && keeper_compact(keeper, err))
			return -1;
	}
	return 0;
}

/* How many changes a folder holds, in order from 1, none missing. A change
 * that was not acknowledged may be there as well. */
static uint64_t keeper_count(const keeper_t *keeper)
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

/* Work on the faulty disk, then open the folder on a good one. Return false
 * once the fault comes after all work. */
static bool fault_round(fault_t fault, unsigned at, unsigned keep, bool lose)
{
	disk_t disk = { .fault = fault, .at = at, .keep = keep };
	keeper_file_t file = disk_file(&disk);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	bool failed;

	disk.lose_name = lose;
	folder_make(disk.folder, sizeof(disk.folder));
	failed = keeper_open(&keeper, &file, disk.folder, &err) != 0;
	if (!failed) {
		failed = keeper_work(&keeper, CHANGES, &err) != 0;
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
	g_assert_cmpuint(keeper_count(&keeper), >=, keeper.acked);
	g_assert_cmpuint(keeper.raft.ballot.term, >=, keeper.term);
	keeper.acked = keeper_count(&keeper);
	g_assert_cmpint(keeper_work(&keeper, CHANGES + 2, &err), ==, 0);
	keeper_close(&keeper);
	folder_remove(disk.folder);
	return failed;
}

static void test_fault(gconstpointer data)
{
	fault_t fault = GPOINTER_TO_INT(data);
	unsigned at, keep, rounds = 0;

	for (keep = 0; keep <= 4; keep++)
		for (at = 1; at < 500; at++, rounds++)
			if (!fault_round(fault, at, keep, keep & 1) &&
			    at > 6 * CHANGES)
				break;
	g_test_message("%u rounds", rounds);
	g_assert_cmpuint(rounds, >, 5 * 2 * CHANGES);
}

/* What is read at the start may be in memory alone, as after a failed sync.
 * It counts from then on, so it must stay when the power fails next. */
static void test_read_again(gconstpointer data)
{
	disk_t disk = { .lose_name = true };
	keeper_file_t file = disk_file(&disk);
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256], *path;
	int held;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_work(&keeper, CHANGES, &err), ==, 0);
	keeper_close(&keeper);
	path = g_build_filename(folder, data, NULL);
	held = open(path, O_RDWR);
	g_assert_cmpint(keeper_open(&keeper, &file, folder, &err), ==, 0);
	g_assert_cmpuint(keeper_count(&keeper), ==, CHANGES);
	disk_die(&disk);
	/* The second half of what was read never got to the disk. */
	g_assert_cmpint(ftruncate(held, lseek(held, 0, SEEK_END) / 2), ==, 0);
	close(held);
	keeper_close(&keeper);
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpuint(keeper_count(&keeper), ==, CHANGES);
	keeper_close(&keeper);
	g_free(path);
	folder_remove(folder);
}

/* The bytes of a log with CHANGES changes. */
static void log_make(char *folder, size_t folder_size, char **bytes,
		     size_t *size)
{
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };

	folder_make(folder, folder_size);
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_work(&keeper, COMPACT_AT - 1, &err), ==, 0);
	keeper_close(&keeper);
	g_assert_cmpint(keeper_file_read(folder, "log", bytes, size, &err), ==,
			1);
}

static int log_count(const char *bytes, size_t size, bool *torn,
		     hl_error_t *err)
{
	keeper_log_t log;
	int count;

	if (keeper_log_parse("log", bytes, size, &log, err))
		return -1;
	count = (int)log.entries.count;
	*torn = log.torn;
	keeper_entries_free(&log.entries);
	return count;
}

/* Where the last record begins. */
static size_t log_last(const char *bytes, size_t size)
{
	size_t offset = 0, last = 0, length;
	const char *body;

	while (offset < size) {
		last = offset;
		g_assert_cmpint(keeper_record_next(bytes, size, &offset, &body,
						   &length),
				==, KEEPER_RECORD_WHOLE);
	}
	return last;
}

static void test_torn(void)
{
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	size_t size, last, cut;
	bool torn = true;
	int whole, seen;

	log_make(folder, sizeof(folder), &bytes, &size);
	whole = log_count(bytes, size, &torn, &err);
	g_assert_false(torn);
	last = log_last(bytes, size);
	for (cut = last; cut < size; cut++) {
		seen = log_count(bytes, cut, &torn, &err);
		g_assert_cmpint(seen, ==, whole - 1);
		g_assert_cmpint(torn, ==, cut > last);
	}
	/* The file grew, its last sectors did not come. */
	bytes = g_realloc(bytes, size + 2048);
	memset(bytes + last + 40, 0, size + 2048 - last - 40);
	seen = log_count(bytes, size + 2048, &torn, &err);
	g_assert_cmpint(seen, ==, whole - 1);
	g_assert_true(torn);
	g_free(bytes);
	folder_remove(folder);
}

static void test_flip(void)
{
	hl_error_t err = { 0 };
	char folder[256], *bytes;
	size_t size, bit;
	bool torn;
	int seen;

	log_make(folder, sizeof(folder), &bytes, &size);
	for (bit = 0; bit < 8 * size; bit++) {
		bytes[bit / 8] ^= (char)(1 << bit % 8);
		seen = log_count(bytes, size, &torn, &err);
		g_assert_cmpint(seen, ==, -1);
		g_assert_cmpint(err.kind, ==, HL_ERR_CORRUPT);
		g_assert_nonnull(strstr(err.message, "move the data folder"));
		bytes[bit / 8] ^= (char)(1 << bit % 8);
	}
	seen = log_count(bytes, size, &torn, &err);
	g_assert_cmpint(seen, >, 0);
	g_free(bytes);
	folder_remove(folder);
}

/* A body that is any bytes at all, framed as if it were whole. */
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
	bool whole = g_rand_int_range(rand, 0, 8) != 0;
	int changes = whole ? 0 : g_rand_int_range(rand, 0, 5);

	body->size = (u_int)MIN(size, sizeof(body->bytes)) & ~3U;
	memcpy(body->bytes, bytes, body->size);
	while (changes--)
		body->bytes[g_rand_int_range(rand, 0, (gint32)body->size)] =
			(char)g_rand_int(rand);
	if (!whole && g_rand_int_range(rand, 0, 10) == 0)
		body->size = (u_int)g_rand_int_range(rand, 0, 64) & ~3U;
}

/* Frame the records of a log anew, some with other bodies. */
static void fuzz_records(GRand *rand, const char *bytes, size_t size,
			 keeper_buffer_t *buffer)
{
	size_t offset = 0, length;
	const char *inner;
	body_t body;

	while (keeper_record_next(bytes, size, &offset, &inner, &length) ==
	       KEEPER_RECORD_WHOLE) {
		fuzz_body(rand, inner, length, &body);
		g_assert_cmpint(keeper_record_put(buffer, (xdrproc_t)xdr_body,
						  &body),
				==, 0);
	}
}

/* Bytes with good checksums that no keeper wrote are refused or read. */
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
		bool torn;

		fuzz_records(rand, bytes, size, &buffer);
		if (log_count(buffer.bytes, buffer.size, &torn, &err) < 0)
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

/* Folders that must not be used, and what the error says. */
static const struct {
	const char *name;
	const char *remove; /* a file to remove */
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

static void test_refusal(gconstpointer data)
{
	unsigned i = GPOINTER_TO_UINT(data);
	const char *name = refusals[i].open_as;
	keeper_t keeper = { .now = USEC_PER_SEC };
	hl_error_t err = { 0 };
	char folder[256], *path;

	folder_make(folder, sizeof(folder));
	g_assert_cmpint(keeper_open(&keeper, &keeper_file_posix, folder, &err),
			==, 0);
	g_assert_cmpint(keeper_work(&keeper, CHANGES, &err), ==, 0);
	g_assert_cmpint(keeper_open(&(keeper_t){ 0 }, &keeper_file_posix,
				    folder, &err),
			==, -1);
	g_assert_nonnull(strstr(err.message, "in use by another keeper"));
	keeper_close(&keeper);
	if (refusals[i].remove) {
		path = g_build_filename(folder, refusals[i].remove, NULL);
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
			     GINT_TO_POINTER(FAULT_FULL), test_fault);
	g_test_add_data_func("/keeper-store/failing-sync",
			     GINT_TO_POINTER(FAULT_SYNC), test_fault);
	g_test_add_data_func("/keeper-store/read-again/log", "log",
			     test_read_again);
	g_test_add_data_func("/keeper-store/read-again/snapshot", "snapshot",
			     test_read_again);
	g_test_add_func("/keeper-store/torn-tail", test_torn);
	g_test_add_func("/keeper-store/bit-flip", test_flip);
	g_test_add_func("/keeper-store/fuzz", test_fuzz);
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		char *path = g_strdup_printf("/keeper-store/%s",
					     refusals[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_refusal);
		g_free(path);
	}
	return g_test_run();
}
