/*
 * hemlock-keeper on a stand-in for the platform's disk that loses power in the
 * middle of a write. Written bytes stay in the process until they are synced.
 * The first sync of several records at the end of the log stores the first of them
 * and a part of the second, creates the file $TORN and never returns: then the script
 * kills the process. All other syncs store everything.
 *
 * If $TORN_ARMED is set, it does so only once that file exists, and at a write that
 * goes on into a further sector of the disk: all but the last sector is stored, and
 * the file has its new size, so that it ends in zeros in place of the last bytes.
 *
 * DEPLOY.md, Disk: "After a loss of power, a file contains what its last `fsync` or
 * `fdatasync` covered. Each write made after that point is either present, missing
 * or torn."
 */
#include <endian.h>
#include <fcntl.h>
#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "keeper-core.h"
#include "keeper_disk.h"

#define TORN_FILES_MAX 1024
#define TORN_RECORD_HEAD_BYTES 24 /* see keeper-record.c */
#define TORN_SIZE_OFFSET 4	  /* of the big-endian size of the body */
#define TORN_SECOND_BYTES 10	  /* of the second record that are stored */
#define TORN_SECTOR_BYTES 512

static const keeper_file_ops_t *const torn_posix = &keeper_file_posix;
static GByteArray *torn_unsynced[TORN_FILES_MAX]; /* by descriptor */

static int torn_open(void *context, const char *path, int flags)
{
	int fd = torn_posix->open(context, path, flags);

	if (fd < 0)
		return -1;
	g_assert(fd < TORN_FILES_MAX);
	if (torn_unsynced[fd])
		g_byte_array_unref(torn_unsynced[fd]);
	torn_unsynced[fd] = g_byte_array_new();
	return fd;
}

static ssize_t torn_write(void *context, int fd, const void *bytes, size_t size)
{
	(void)context;
	g_byte_array_append(torn_unsynced[fd], bytes, (guint)size);
	return (ssize_t)size;
}

/* Returns the size of the first record of the unsynced bytes. */
static size_t torn_first_record(const GByteArray *bytes)
{
	uint32_t size;

	if (bytes->len < TORN_RECORD_HEAD_BYTES)
		return bytes->len;
	memcpy(&size, bytes->data + TORN_SIZE_OFFSET, sizeof(size));
	return TORN_RECORD_HEAD_BYTES + be32toh(size);
}

/* Returns how many of the bytes lie in the last sector that they reach. */
static size_t torn_last_sector(int fd, const GByteArray *bytes)
{
	struct stat status;

	if (fstat(fd, &status))
		return 0;
	return ((size_t)status.st_size + bytes->len) % TORN_SECTOR_BYTES;
}

/* Stores what a loss of power leaves of the bytes. */
static void torn_store(int fd, const GByteArray *bytes)
{
	static const char zeros[TORN_SECTOR_BYTES];
	size_t last = torn_last_sector(fd, bytes);

	if (!getenv("TORN_ARMED")) {
		keeper_file_write_all(torn_posix, fd, bytes->data,
				      torn_first_record(bytes) +
					      TORN_SECOND_BYTES);
		return;
	}
	keeper_file_write_all(torn_posix, fd, bytes->data, bytes->len - last);
	keeper_file_write_all(torn_posix, fd, zeros, last);
}

/* Loses power: stores a part of the bytes and waits to be killed. */
static void torn_lose_power(int fd, const GByteArray *bytes)
{
	const char *done = getenv("TORN");

	torn_store(fd, bytes);
	torn_posix->sync(NULL, fd);
	if (done)
		close(open(done, O_WRONLY | O_CREAT, 0600));
	for (;;)
		pause();
}

/* Whether the unsynced bytes are several records for the end of the log, not a new
   file: that of a log begins with a header. */
static bool torn_is_append(const GByteArray *bytes)
{
	uint32_t kind;

	if (bytes->len <= torn_first_record(bytes) + TORN_SECOND_BYTES)
		return false;
	memcpy(&kind, bytes->data + TORN_RECORD_HEAD_BYTES, sizeof(kind));
	return be32toh(kind) != KEEPER_RECORD_HEADER;
}

/* Whether power is to fail at this write, if it may fail at all. */
static bool torn_is_armed(int fd, const GByteArray *bytes)
{
	const char *armed = getenv("TORN_ARMED");
	size_t last = torn_last_sector(fd, bytes);

	return !armed || (!access(armed, F_OK) && last && last < bytes->len);
}

static int torn_sync(void *context, int fd)
{
	GByteArray *bytes = torn_unsynced[fd];

	if (torn_is_armed(fd, bytes) && torn_is_append(bytes))
		torn_lose_power(fd, bytes);
	if (keeper_file_write_all(torn_posix, fd, bytes->data, bytes->len))
		return -1;
	g_byte_array_set_size(bytes, 0);
	return torn_posix->sync(context, fd);
}

static int torn_rename(void *context, const char *from, const char *to)
{
	return torn_posix->rename(context, from, to);
}

static int torn_sync_folder(void *context, const char *path)
{
	return torn_posix->sync_folder(context, path);
}

static const keeper_file_ops_t torn_file = {
	.open = torn_open,
	.write = torn_write,
	.sync = torn_sync,
	.rename = torn_rename,
	.sync_folder = torn_sync_folder,
};

#define keeper_file_posix torn_file
#include "hemlock-keeper.c"
