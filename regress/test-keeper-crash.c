#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "keeper-store.h"

/*
 * Guards against a state of a keeper's disk, after a loss of power at any file call,
 * that does not open, lacks what a sync covered, or counts an entry as committed
 * that is not.
 *
 * A seeded history of votes, entries, replaced entries, snapshots and faults runs on
 * a simulated disk. After each file call, each state that a loss of power may leave is
 * built in a second folder and opened: each write that no sync covers lacks any of its
 * sectors, any run of its bytes, or its end, independently of the others, and names are
 * durable or not. Where there are more than STATES_MAX of them, so many are drawn. Some
 * of these openings are interrupted by a second loss of power. After each complete save, a
 * log in which a byte differs that a sync covers must be refused.
 *
 * HEMLOCK_CRASH_SEEDS is the number of histories, HEMLOCK_CRASH_FIRST the seed of the
 * first. The folders are in MEMORY_FOLDER, unless TMPDIR names another: the disk is
 * simulated, and file calls are much faster there.
 */

#define MEMORY_FOLDER "/dev/shm"
#define HISTORIES_IN_MEMORY 40
#define HISTORIES_ON_DISK 6
#define STEPS 30
#define STATES_MAX 24
/* Number of states in which a write lacks a run of bytes. */
#define RUNS 3
/* Number of damaged bytes after each save. */
#define DAMAGES 4
/* One of so many openings is interrupted in turn. */
#define NESTED_EVERY 40
#define SECTOR_BYTES 512
#define RECORD_HEAD_BYTES 24 /* see keeper-record.c */
#define FILES_MAX 1024
#define ENTRY_BYTES_MAX 900
#define INDEX_MAX 4096
#define CLUSTER 9
#define INCARNATION 77
#define SEED 4713

/* The files of a data folder. */
typedef enum {
	NAME_LOG,
	NAME_LOG_NEW,
	NAME_SNAPSHOT,
	NAME_SNAPSHOT_NEW,
	NAME_COUNT,
} name_t;

static const char *const names[NAME_COUNT] = { "log", "log.new", "snapshot",
					       "snapshot.new" };

/* A write that no sync covers. */
typedef struct {
	size_t offset;
	GByteArray *bytes;
} write_t;

/* The content of a file: what a sync covers, and the writes after that. */
typedef struct {
	GByteArray *synced;
	GPtrArray *unsynced; /* of write_t */
} content_t;

/* File calls that fail once. */
typedef enum {
	FAIL_NONE,
	FAIL_WRITE, /* a full disk, after a half of the bytes */
	FAIL_SYNC,
} fail_t;

/* A simulated disk: it tracks which bytes and which file names are durable. Each file
 * call is also made in @folder, from which the keeper reads. */
typedef struct {
	char *folder;
	content_t *current[NAME_COUNT]; /* by name, as processes see them */
	content_t *durable[NAME_COUNT]; /* by name, after a loss of power */
	content_t *open[FILES_MAX];	/* by descriptor */
	fail_t fail;
	unsigned writes_left; /* writes before the one that fails */
	void (*on_call)(void *context);
	void *context;
	GPtrArray *contents; /* all, to be freed */
} disk_t;

/* What a keeper has saved. */
typedef struct {
	keeper_ballot_state_t ballot;
	keeper_entries_t entries;
	uint64_t commit;
} saved_t;

/* A keeper on a simulated disk: the state of its last complete save, the state in
 * @raft that it saves now, and the terms of the committed entries. */
typedef struct {
	GRand *rand;
	disk_t disk;
	keeper_file_ops_t file;
	keeper_store_t store;
	keeper_raft_t raft;
	saved_t before;
	uint64_t terms[INDEX_MAX]; /* of committed entries, by index */
	char *folder;		   /* in which states are built */
	uint64_t states, nested, damages;
	bool is_nested;
} history_t;

static void write_free(void *context)
{
	write_t *write = context;

	g_byte_array_unref(write->bytes);
	g_free(write);
}

static content_t *content_new(disk_t *disk)
{
	content_t *content = g_new0(content_t, 1);

	content->synced = g_byte_array_new();
	content->unsynced = g_ptr_array_new_with_free_func(write_free);
	g_ptr_array_add(disk->contents, content);
	return content;
}

static void content_free(void *context)
{
	content_t *content = context;

	g_byte_array_unref(content->synced);
	g_ptr_array_unref(content->unsynced);
	g_free(content);
}

static void content_write(content_t *content, size_t offset, const void *bytes,
			  size_t size)
{
	write_t *write = g_new(write_t, 1);

	write->offset = offset;
	write->bytes = g_byte_array_new();
	g_byte_array_append(write->bytes, bytes, (guint)size);
	g_ptr_array_add(content->unsynced, write);
}

/* Writes bytes into an array, which grows as a file does. */
static void array_write(GByteArray *array, size_t offset, const guint8 *bytes,
			size_t size)
{
	guint length = array->len;

	if (length < offset + size) {
		g_byte_array_set_size(array, (guint)(offset + size));
		memset(array->data + length, 0, array->len - length);
	}
	memcpy(array->data + offset, bytes, size);
}

static void content_sync(content_t *content)
{
	unsigned i;

	for (i = 0; i < content->unsynced->len; i++) {
		const write_t *write = content->unsynced->pdata[i];

		array_write(content->synced, write->offset, write->bytes->data,
			    write->bytes->len);
	}
	g_ptr_array_set_size(content->unsynced, 0);
}

static name_t name_find(const char *path)
{
	const char *base = strrchr(path, '/') + 1;
	unsigned i;

	for (i = 0; i < NAME_COUNT; i++)
		if (!strcmp(names[i], base))
			return i;
	g_assert_not_reached();
}

static void disk_called(disk_t *disk)
{
	if (disk->on_call)
		disk->on_call(disk->context);
}

static int disk_open(void *context, const char *path, int flags)
{
	disk_t *disk = context;
	name_t name = name_find(path);
	int fd = open(path, flags | O_CLOEXEC, 0600);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(fd, <, FILES_MAX);
	disk->current[name] = content_new(disk);
	disk->open[fd] = disk->current[name];
	disk_called(disk);
	return fd;
}

static ssize_t disk_write(void *context, int fd, const void *bytes, size_t size)
{
	disk_t *disk = context;
	bool fails = disk->fail == FAIL_WRITE && !disk->writes_left--;
	off_t offset = lseek(fd, 0, SEEK_CUR);

	if (fails)
		size /= 2;
	g_assert_cmpint(write(fd, bytes, size), ==, (ssize_t)size);
	content_write(disk->open[fd], (size_t)offset, bytes, size);
	disk_called(disk);
	if (!fails)
		return (ssize_t)size;
	disk->fail = FAIL_NONE;
	errno = ENOSPC;
	return -1;
}

static int disk_sync(void *context, int fd)
{
	disk_t *disk = context;
	content_t *content = disk->open[fd];
	unsigned i;

	if (disk->fail == FAIL_SYNC) {
		disk->fail = FAIL_NONE;
		errno = EIO;
		return -1;
	}
	content_sync(content);
	for (i = 0; i < NAME_COUNT; i++)
		if (disk->current[i] == content && !disk->durable[i])
			disk->durable[i] = content;
	disk_called(disk);
	return 0;
}

static int disk_rename(void *context, const char *from, const char *to)
{
	disk_t *disk = context;
	name_t source = name_find(from);

	g_assert_cmpint(rename(from, to), ==, 0);
	disk->current[name_find(to)] = disk->current[source];
	disk->current[source] = NULL;
	disk_called(disk);
	return 0;
}

static int disk_sync_folder(void *context, const char *path G_GNUC_UNUSED)
{
	disk_t *disk = context;

	memcpy(disk->durable, disk->current, sizeof(disk->durable));
	disk_called(disk);
	return 0;
}

static void disk_init(disk_t *disk, keeper_file_ops_t *file)
{
	memset(disk, 0, sizeof(*disk));
	disk->folder = g_dir_make_tmp(NULL, NULL);
	disk->contents = g_ptr_array_new_with_free_func(content_free);
	*file = (keeper_file_ops_t){ disk_open,	  disk_write,	    disk_sync,
				     disk_rename, disk_sync_folder, disk };
}

static void folder_clear(const char *folder)
{
	unsigned i;

	for (i = 0; i < NAME_COUNT; i++) {
		char *path = g_build_filename(folder, names[i], NULL);

		unlink(path);
		g_free(path);
	}
}

static void folder_remove(char *folder)
{
	char *lock = g_build_filename(folder, "lock", NULL);

	folder_clear(folder);
	unlink(lock);
	g_assert_cmpint(rmdir(folder), ==, 0);
	g_free(lock);
	g_free(folder);
}

static void disk_fini(disk_t *disk)
{
	folder_remove(disk->folder);
	g_ptr_array_unref(disk->contents);
}

/* What is left of a write that no sync covers. */
typedef struct {
	unsigned missing; /* bit N: the sector N of it was not written */
	size_t size;	  /* bytes of it that the size of the file covers */
	size_t hole;	  /* offset of bytes that were not written */
	size_t hole_size;
} tear_t;

static const tear_t tear_none = { .size = SIZE_MAX };
static const tear_t tear_all = { 0 };

/* One way in which power may be lost: the last of the unsynced writes to a file is
 * left as in @last, those before it as in @earlier. */
typedef struct {
	bool renamed; /* names have their current content */
	tear_t last, earlier;
} loss_t;

/* Number of sectors that a write reaches. */
static unsigned write_sectors(const write_t *write)
{
	size_t start = write->offset;
	size_t end = start + write->bytes->len;

	if (start == end)
		return 0;
	return (unsigned)((end - 1) / SECTOR_BYTES - start / SECTOR_BYTES + 1);
}

/* Whether the byte at @at of a write is on the disk. */
static bool tear_keeps(const tear_t *tear, const write_t *write, size_t at)
{
	size_t sector = (write->offset + at) / SECTOR_BYTES -
			write->offset / SECTOR_BYTES;

	if (at >= tear->hole && at - tear->hole < tear->hole_size)
		return false;
	return !(tear->missing >> MIN(sector, 31) & 1);
}

static void file_write(const char *path, const char *bytes, size_t size)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	g_assert_cmpint(write(fd, bytes, size), ==, (ssize_t)size);
	close(fd);
}

/* Applies to a file what is left of a write. */
static void tear_apply(const tear_t *tear, const write_t *write,
		       GByteArray *file)
{
	size_t size = MIN(tear->size, write->bytes->len), at;
	guint8 none = 0;

	if (!size)
		return;
	if (file->len < write->offset + size)
		array_write(file, write->offset + size - 1, &none, 1);
	for (at = 0; at < size; at++)
		if (tear_keeps(tear, write, at))
			file->data[write->offset + at] = write->bytes->data[at];
}

/* Writes the file that a loss leaves of a content. */
static void loss_write(const loss_t *loss, const content_t *content,
		       const char *path)
{
	GByteArray *file = g_byte_array_new();
	unsigned count = content->unsynced->len, i;

	array_write(file, 0, content->synced->data, content->synced->len);
	for (i = 0; i < count; i++)
		tear_apply(i + 1 == count ? &loss->last : &loss->earlier,
			   content->unsynced->pdata[i], file);
	file_write(path, (const char *)file->data, file->len);
	g_byte_array_unref(file);
}

/* Builds the folder that a loss leaves. */
static void loss_build(const loss_t *loss, const disk_t *disk,
		       const char *folder)
{
	unsigned i;

	folder_clear(folder);
	for (i = 0; i < NAME_COUNT; i++) {
		const content_t *content = loss->renamed ? disk->current[i] :
							   disk->durable[i];
		char *path = g_build_filename(folder, names[i], NULL);

		if (content)
			loss_write(loss, content, path);
		g_free(path);
	}
}

/* File calls for a folder that is opened once: nothing has to be durable. */
static int quick_open(void *context G_GNUC_UNUSED, const char *path, int flags)
{
	return open(path, flags | O_CLOEXEC, 0600);
}

static int quick_sync(void *context G_GNUC_UNUSED, int fd G_GNUC_UNUSED)
{
	return 0;
}

static ssize_t quick_write(void *context G_GNUC_UNUSED, int fd,
			   const void *bytes, size_t size)
{
	return write(fd, bytes, size);
}

static int quick_rename(void *context G_GNUC_UNUSED, const char *from,
			const char *to)
{
	return rename(from, to);
}

static int quick_sync_folder(void *context G_GNUC_UNUSED,
			     const char *path G_GNUC_UNUSED)
{
	return 0;
}

static const keeper_file_ops_t quick_file = { quick_open,	 quick_write,
					      quick_sync,	 quick_rename,
					      quick_sync_folder, NULL };

static int keeper_open(keeper_store_t *store, keeper_raft_t *raft,
		       const keeper_file_ops_t *file, const char *folder,
		       hl_error_t *err)
{
	keeper_raft_settings_t settings = { .cluster = CLUSTER,
					    .heartbeat_interval = USEC_PER_SEC,
					    .election_timeout = USEC_PER_SEC };

	strcpy(settings.name, "k0");
	keeper_raft_init(raft, &settings, USEC_PER_SEC);
	return keeper_store_open(store, file, folder, CLUSTER, "k0",
				 INCARNATION, raft, err);
}

static bool ballots_equal(const keeper_ballot_state_t *a,
			  const keeper_ballot_state_t *b)
{
	return a->term == b->term && !strcmp(a->vote, b->vote) &&
	       a->vote_incarnation == b->vote_incarnation;
}

/* Whether two logs have the same entry at an index. */
static bool entries_equal(const keeper_entries_t *a, const keeper_entries_t *b,
			  uint64_t index)
{
	const keeper_entry_t *x = keeper_entries_at(a, index);
	const keeper_entry_t *y = keeper_entries_at(b, index);

	return x && y && x->term == y->term &&
	       x->body.body_len == y->body.body_len &&
	       !memcmp(x->body.body_val, y->body.body_val, x->body.body_len);
}

/* Number of entries from @from on that two logs have in common. */
static uint64_t entries_common(const keeper_entries_t *a,
			       const keeper_entries_t *b, uint64_t from)
{
	uint64_t index = from;

	while (entries_equal(a, b, index))
		index++;
	return index - from;
}

/* The log has all entries of the last complete save or, once one that is being saved
 * is there, the first ones of the state that is being saved. */
static void check_entries(const history_t *history, const keeper_raft_t *found)
{
	const keeper_entries_t *before = &history->before.entries;
	const keeper_entries_t *after = &history->raft.entries;
	uint64_t first = found->entries.base + 1;
	uint64_t count = found->entries.count;
	uint64_t added = entries_common(&found->entries, after, first);
	uint64_t shared;

	/* Only the entries after a new snapshot may follow it. */
	if (found->entries.base != before->base) {
		g_assert_cmpuint(added, ==, count);
		return;
	}
	shared = entries_common(before, after, first);
	if (added > shared) {
		g_assert_cmpuint(added, ==, count);
		return;
	}
	g_assert_cmpuint(entries_common(&found->entries, before, first), ==,
			 count);
	g_assert_cmpuint(count, ==, before->count);
}

/* Each entry up to the commit index is the one that is committed. */
static void check_commit(const history_t *history, const keeper_raft_t *found)
{
	uint64_t index, term;

	g_assert_cmpuint(found->commit, >=, found->entries.base);
	g_assert_cmpuint(found->commit, <=, history->raft.commit);
	for (index = found->entries.base + 1; index <= found->commit; index++) {
		g_assert_true(
			keeper_entries_term(&found->entries, index, &term));
		g_assert_cmpuint(term, ==, history->terms[index]);
	}
	g_assert_cmpuint(found->commit, <=,
			 keeper_entries_last(&found->entries));
}

static void check_restored(const history_t *history, const keeper_raft_t *found)
{
	const keeper_ballot_state_t *before = &history->before.ballot;

	g_assert_true(ballots_equal(&found->ballot, before) ||
		      ballots_equal(&found->ballot, &history->raft.ballot));
	g_assert_cmpuint(found->ballot.term, >=, before->term);
	check_entries(history, found);
	check_commit(history, found);
}

/* Opens the folder of a state. */
static void check_folder(history_t *history, const keeper_file_ops_t *file,
			 const char *folder)
{
	hl_error_t err = { 0 };
	keeper_store_t store;
	keeper_raft_t raft;

	if (keeper_open(&store, &raft, file, folder, &err))
		g_error("%s", err.message);
	check_restored(history, &raft);
	keeper_store_close(&store);
	keeper_raft_free(&raft);
	history->states++;
}

static void check_states(history_t *history, const disk_t *disk);

/* A history whose disk is that of an opening. */
typedef struct {
	history_t *history;
	disk_t disk;
} nested_t;

static void nested_called(void *context)
{
	nested_t *nested = context;

	check_states(nested->history, &nested->disk);
}

/* Puts what a folder has on a disk, all of it synced. */
static void nested_load(nested_t *nested, const char *folder)
{
	unsigned i;

	for (i = 0; i < NAME_COUNT; i++) {
		char *from = g_build_filename(folder, names[i], NULL);
		char *to = g_build_filename(nested->disk.folder, names[i],
					    NULL);
		gchar *bytes;
		gsize size;

		if (g_file_get_contents(from, &bytes, &size, NULL)) {
			content_t *content = content_new(&nested->disk);

			file_write(to, bytes, size);
			g_byte_array_append(content->synced, (guint8 *)bytes,
					    (guint)size);
			nested->disk.current[i] = content;
			nested->disk.durable[i] = content;
			g_free(bytes);
		}
		g_free(from);
		g_free(to);
	}
}

/* Opens the folder of a state while power is lost once more, at each file call. */
static void check_nested(history_t *history, const char *folder)
{
	nested_t nested = { .history = history };
	char *outer = history->folder;
	keeper_file_ops_t file;

	disk_init(&nested.disk, &file);
	nested_load(&nested, folder);
	nested.disk.on_call = nested_called;
	nested.disk.context = &nested;
	history->folder = g_dir_make_tmp(NULL, NULL);
	history->is_nested = true;
	check_folder(history, &file, nested.disk.folder);
	history->is_nested = false;
	history->nested++;
	folder_remove(history->folder);
	history->folder = outer;
	disk_fini(&nested.disk);
}

static void check_loss(history_t *history, const disk_t *disk,
		       const loss_t *loss)
{
	bool nest = !history->is_nested &&
		    !g_rand_int_range(history->rand, 0, NESTED_EVERY);

	loss_build(loss, disk, history->folder);
	if (nest)
		check_nested(history, history->folder);
	else
		check_folder(history, &quick_file, history->folder);
}

/* The last write to the log that a loss may tear, or NULL. */
static const write_t *disk_torn(const disk_t *disk)
{
	const content_t *log = disk->durable[NAME_LOG];

	if (!log || !log->unsynced->len)
		return NULL;
	return log->unsynced->pdata[log->unsynced->len - 1];
}

/* Draws what is left of the write before: nothing, all, or a part. */
static tear_t draw_earlier(GRand *rand)
{
	tear_t tear = tear_none;

	switch (g_rand_int_range(rand, 0, 3)) {
	case 0:
		return tear_all;
	case 1:
		tear.hole = (size_t)g_rand_int_range(rand, 0, 64);
		tear.hole_size = (size_t)g_rand_int_range(rand, 1, 64);
	}
	return tear;
}

/* Checks the states in which the write lacks sectors, in each size or, if they are
 * too many, in drawn ones. */
static void check_torn_sectors(history_t *history, const disk_t *disk,
			       const write_t *write)
{
	unsigned sectors = write_sectors(write), drawn;
	gint32 size = (gint32)write->bytes->len;
	loss_t loss = { 0 };

	if (sectors <= 3) {
		for (loss.last.missing = 0; loss.last.missing < 1U << sectors;
		     loss.last.missing++) {
			loss.earlier = draw_earlier(history->rand);
			loss.last.size = (size_t)size;
			check_loss(history, disk, &loss);
			loss.last.size = (size_t)g_rand_int_range(history->rand,
								  0, size);
			check_loss(history, disk, &loss);
		}
		return;
	}
	for (drawn = 0; drawn < STATES_MAX; drawn++) {
		loss.earlier = draw_earlier(history->rand);
		loss.last.missing = g_rand_int(history->rand);
		loss.last.size = g_rand_int_range(history->rand, 0, 2) ?
					 (size_t)size :
					 (size_t)g_rand_int_range(history->rand,
								  0, size + 1);
		check_loss(history, disk, &loss);
	}
}

/* Checks states in which the write lacks a run of bytes: its first or last ones, also
 * a single one, or others. */
static void check_torn_runs(history_t *history, const disk_t *disk,
			    const write_t *write)
{
	gint32 size = (gint32)write->bytes->len, drawn;
	loss_t loss = { .last = tear_none };

	for (drawn = 0; drawn < RUNS; drawn++) {
		size_t start = (size_t)g_rand_int_range(history->rand, 0, size);
		size_t runs[][2] = { { 0, start + 1 },
				     { (size_t)size - start - 1, start + 1 },
				     { (size_t)size - 1, 1 },
				     { start, 1 + start % 64 } };
		size_t i = (size_t)drawn % G_N_ELEMENTS(runs);

		loss.earlier = draw_earlier(history->rand);
		loss.last.hole = runs[i][0];
		loss.last.hole_size = runs[i][1];
		check_loss(history, disk, &loss);
	}
}

/* Checks the states that a loss of power may leave of a disk now. */
static void check_states(history_t *history, const disk_t *disk)
{
	const write_t *write = disk_torn(disk);
	const loss_t kept = { true, tear_none, tear_none };
	const loss_t lost = { false, tear_all, tear_all };

	if (!disk->durable[NAME_LOG])
		return;
	if (write && write->bytes->len) {
		check_torn_sectors(history, disk, write);
		check_torn_runs(history, disk, write);
	}
	check_loss(history, disk, &lost);
	if (memcmp(disk->durable, disk->current, sizeof(disk->durable)) &&
	    disk->current[NAME_LOG])
		check_loss(history, disk, &kept);
}

/* Changes a byte of a file. */
static void file_damage(const char *path, size_t at, guint8 difference)
{
	int fd = open(path, O_RDWR);
	guint8 byte;

	g_assert_cmpint(pread(fd, &byte, 1, (off_t)at), ==, 1);
	byte ^= difference;
	g_assert_cmpint(pwrite(fd, &byte, 1, (off_t)at), ==, 1);
	close(fd);
}

/* Opens the folder with a byte of the log changed that a sync covers: one of the last
 * of these or any. */
static void check_damage(history_t *history, bool near_end)
{
	const loss_t kept = { true, tear_none, tear_none };
	gint32 synced = (gint32)history->store.log_bytes;
	gint32 from = near_end ? MAX(0, synced - RECORD_HEAD_BYTES) : 0;
	size_t at = (size_t)g_rand_int_range(history->rand, from, synced);
	char *log = g_build_filename(history->folder, names[NAME_LOG], NULL);
	hl_error_t err = { 0 };
	keeper_store_t store;
	keeper_raft_t raft;

	loss_build(&kept, &history->disk, history->folder);
	file_damage(log, at, (guint8)g_rand_int_range(history->rand, 1, 256));
	if (!keeper_open(&store, &raft, &quick_file, history->folder, &err))
		g_error("a log of %d synced bytes with byte %zu damaged is opened",
			synced, at);
	g_assert_cmpint(err.kind, ==, HL_ERR_CORRUPT);
	keeper_raft_free(&raft);
	g_free(log);
	history->damages++;
}

static void check_damages(history_t *history)
{
	unsigned i;

	for (i = 0; i < DAMAGES; i++)
		check_damage(history, i & 1);
}

static void history_called(void *context)
{
	history_t *history = context;

	check_states(history, &history->disk);
}

static void saved_take(saved_t *saved, const keeper_raft_t *raft)
{
	size_t i;

	keeper_entries_free(&saved->entries);
	saved->ballot = raft->ballot;
	saved->commit = raft->commit;
	saved->entries.base = raft->entries.base;
	saved->entries.base_term = raft->entries.base_term;
	for (i = 0; i < raft->entries.count; i++)
		g_assert_true(keeper_entries_push(&saved->entries,
						  &raft->entries.list[i]));
}

static void push_entry(history_t *history)
{
	char body[ENTRY_BYTES_MAX];
	keeper_entry_t entry = {
		.index = keeper_entries_last(&history->raft.entries) + 1,
		.term = history->raft.ballot.term,
		.kind = KEEPER_ENTRY_CHANGE,
	};
	int size = g_rand_int_range(history->rand, 0, 4) ? 80 : ENTRY_BYTES_MAX;
	int i;

	size = g_rand_int_range(history->rand, 1, size + 1);
	for (i = 0; i < size; i++)
		body[i] = (char)g_rand_int_range(history->rand, 1, 256);
	entry.body.body_val = body;
	entry.body.body_len = (u_int)size;
	g_assert_cmpuint(entry.index, <, INDEX_MAX);
	g_assert_true(keeper_entries_push(&history->raft.entries, &entry));
}

static void push_entries(history_t *history)
{
	int count = g_rand_int_range(history->rand, 1, 5);

	while (count--)
		push_entry(history);
}

/* Takes the entries up to an index for committed. */
static void commit_to(history_t *history, uint64_t index)
{
	keeper_raft_t *raft = &history->raft;
	uint64_t i;

	for (i = raft->commit + 1; i <= index; i++)
		g_assert_true(keeper_entries_term(&raft->entries, i,
						  &history->terms[i]));
	if (raft->commit < index)
		raft->commit = index;
}

/* Index between the commit index and the last entry, drawn. */
static uint64_t draw_index(history_t *history)
{
	uint64_t last = keeper_entries_last(&history->raft.entries);

	return (uint64_t)g_rand_int_range(history->rand,
					  (gint32)history->raft.commit,
					  (gint32)last + 1);
}

static void step_vote(history_t *history)
{
	keeper_ballot_state_t *ballot = &history->raft.ballot;

	ballot->term++;
	g_snprintf(ballot->vote, sizeof(ballot->vote), "k%d",
		   g_rand_int_range(history->rand, 0, 3));
	ballot->vote_incarnation = g_rand_int(history->rand);
	history->raft.ballot_dirty = true;
}

/* Replaces entries that have lost by those of a new leader, some committed. */
static void step_replace(history_t *history)
{
	keeper_raft_t *raft = &history->raft;
	uint64_t keep = draw_index(history);

	memset(&raft->ballot, 0, sizeof(raft->ballot));
	raft->ballot.term = history->before.ballot.term + 1;
	raft->ballot_dirty = true;
	keeper_entries_truncate(&raft->entries, keep);
	raft->saved = MIN(raft->saved, keep);
	push_entries(history);
	commit_to(history, draw_index(history));
}

/* The snapshot after an index of the log. */
static keeper_snapshot_t snapshot_at(history_t *history, uint64_t index,
				     uint64_t term)
{
	keeper_snapshot_t snapshot = { .index = index,
				       .term = term,
				       .size = ENTRY_BYTES_MAX };

	snapshot.state = g_malloc0(snapshot.size);
	memset(snapshot.state, g_rand_int_range(history->rand, 1, 256),
	       snapshot.size);
	return snapshot;
}

/* A snapshot of a leader, of more than this keeper has or of a part of it. */
static void step_install(history_t *history)
{
	keeper_raft_t *raft = &history->raft;
	uint64_t index = draw_index(history) + 1, term;
	keeper_snapshot_t snapshot;

	snapshot = snapshot_at(history, index, raft->ballot.term);
	if (!keeper_entries_term(&raft->entries, index, &term) ||
	    term != snapshot.term)
		keeper_entries_truncate(&raft->entries, raft->entries.base);
	keeper_raft_compact(raft, &snapshot);
	raft->commit = raft->snapshot.index;
	raft->saved = keeper_entries_last(&raft->entries);
	raft->snapshot_dirty = true;
}

/* Replaces a part of the log by a snapshot, as the keeper does by itself. */
static int step_compact(history_t *history, hl_error_t *err)
{
	keeper_raft_t *raft = &history->raft;
	keeper_snapshot_t snapshot;
	uint64_t term;

	if (raft->commit <= raft->entries.base)
		return 0;
	g_assert_true(keeper_entries_term(&raft->entries, raft->commit, &term));
	snapshot = snapshot_at(history, raft->commit, term);
	keeper_raft_compact(raft, &snapshot);
	return keeper_store_compact(&history->store, raft, err);
}

/* Closes the folder and opens it again. */
static void history_reopen(history_t *history)
{
	hl_error_t err = { 0 };

	keeper_store_close(&history->store);
	keeper_raft_free(&history->raft);
	history->disk.on_call = NULL;
	if (keeper_open(&history->store, &history->raft, &history->file,
			history->disk.folder, &err))
		g_error("%s", err.message);
	history->disk.on_call = history_called;
	saved_take(&history->before, &history->raft);
}

/* Makes one step and saves it; a step that fails closes the folder, as the keeper
 * does. */
static void history_step(history_t *history)
{
	hl_error_t err = { 0 };
	int step = g_rand_int_range(history->rand, 0, 10);
	int rc = 0;

	if (!g_rand_int_range(history->rand, 0, 8))
		history->disk.fail = g_rand_int_range(history->rand, FAIL_WRITE,
						      FAIL_SYNC + 1);
	history->disk.writes_left = (unsigned)g_rand_int_range(history->rand, 0,
							       2);
	if (step < 2)
		step_vote(history);
	else if (step < 5)
		push_entries(history);
	else if (step < 7)
		step_replace(history);
	else if (step < 8)
		step_install(history);
	else if (step < 9)
		rc = step_compact(history, &err);
	else
		commit_to(history,
			  MIN(draw_index(history), history->raft.saved));
	if (!rc && keeper_raft_has_unsaved(&history->raft)) {
		rc = keeper_store_save(&history->store, &history->raft, &err);
		if (!rc)
			keeper_raft_mark_saved(&history->raft, USEC_PER_SEC);
	}
	if (rc) {
		g_assert_cmpint(err.kind, ==, HL_ERR_IO);
		history_reopen(history);
	}
	history->disk.fail = FAIL_NONE;
	saved_take(&history->before, &history->raft);
	check_damages(history);
}

static void history_run(history_t *history, unsigned seed)
{
	hl_error_t err = { 0 };
	unsigned step;

	history->rand = g_rand_new_with_seed(seed);
	history->folder = g_dir_make_tmp(NULL, NULL);
	disk_init(&history->disk, &history->file);
	history->disk.context = history;
	g_assert_cmpint(keeper_open(&history->store, &history->raft,
				    &history->file, history->disk.folder, &err),
			==, 0);
	saved_take(&history->before, &history->raft);
	history->disk.on_call = history_called;
	for (step = 0; step < STEPS; step++)
		history_step(history);
	keeper_store_close(&history->store);
	keeper_raft_free(&history->raft);
	keeper_entries_free(&history->before.entries);
	folder_remove(history->folder);
	disk_fini(&history->disk);
	g_rand_free(history->rand);
}

/* Value of an environment variable, or @fallback if it is not set. */
static unsigned number_from(const char *variable, unsigned fallback)
{
	const char *text = g_getenv(variable);

	return text ? (unsigned)atoi(text) : fallback;
}

static void test_histories(void)
{
	bool in_memory = g_str_has_prefix(g_get_tmp_dir(), MEMORY_FOLDER);
	unsigned count = number_from("HEMLOCK_CRASH_SEEDS",
				     in_memory ? HISTORIES_IN_MEMORY :
						 HISTORIES_ON_DISK);
	unsigned first = number_from("HEMLOCK_CRASH_FIRST", SEED);
	gint64 start = g_get_monotonic_time();
	uint64_t states = 0, nested = 0, damages = 0;
	unsigned i;

	for (i = 0; i < count; i++) {
		history_t history = { 0 };

		g_test_message("seed=%u", first + i);
		history_run(&history, first + i);
		states += history.states;
		nested += history.nested;
		damages += history.damages;
	}
	g_test_message("histories=%u states=%" PRIu64 " interrupted=%" PRIu64
		       " damaged=%" PRIu64 " states_per_second=%.0f",
		       count, states, nested, damages,
		       (double)states * USEC_PER_SEC /
			       (double)(g_get_monotonic_time() - start));
	g_assert_cmpuint(states, >, count * STEPS);
}

int main(int argc, char **argv)
{
	if (!access(MEMORY_FOLDER, W_OK))
		g_setenv("TMPDIR", MEMORY_FOLDER, false);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keeper-crash/histories", test_histories);
	return g_test_run();
}
