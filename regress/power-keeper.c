/*
 * hemlock-keeper on a simulated disk that may lose power: written bytes stay in
 * the process until they are synced, and a rename is delayed until its folder
 * is synced. Killing the process thus loses what a power failure would lose.
 * While the file $POWER_FULL exists, writes fail as on a full disk.
 *
 * usage: power-keeper OPTIONS of hemlock-keeper
 */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "keeper-core.h"

#define POWER_FILES_MAX 1024
#define POWER_MODE 0600

/* Written but unsynced bytes, by descriptor, and the offset of the first. */
static GByteArray *power_unsynced[POWER_FILES_MAX];
static off_t power_offset[POWER_FILES_MAX];
static char *power_from, *power_to; /* paths of the unsynced rename, or NULL */

static int power_open(void *context, const char *path, int flags)
{
	int fd = open(path, flags | O_CLOEXEC, POWER_MODE);

	(void)context;
	if (fd < 0)
		return -1;
	g_assert(fd < POWER_FILES_MAX);
	if (power_unsynced[fd])
		g_byte_array_unref(power_unsynced[fd]);
	power_unsynced[fd] = g_byte_array_new();
	power_offset[fd] = 0;
	return fd;
}

/* Keep bytes that are written at the position of @fd, and move the position. */
static void power_place(int fd, const void *bytes, size_t size)
{
	GByteArray *unsynced = power_unsynced[fd];
	off_t position = lseek(fd, 0, SEEK_CUR);
	size_t at;

	if (!unsynced->len)
		power_offset[fd] = position;
	at = (size_t)(position - power_offset[fd]);
	if (unsynced->len < at + size)
		g_byte_array_set_size(unsynced, (guint)(at + size));
	memcpy(unsynced->data + at, bytes, size);
	lseek(fd, (off_t)size, SEEK_CUR);
}

static ssize_t power_write(void *context, int fd, const void *bytes,
			   size_t size)
{
	const char *full = getenv("POWER_FULL");

	(void)context;
	if (full && !access(full, F_OK)) {
		errno = ENOSPC;
		return -1;
	}
	power_place(fd, bytes, size);
	return (ssize_t)size;
}

static int power_sync(void *context, int fd)
{
	GByteArray *bytes = power_unsynced[fd];
	off_t position = lseek(fd, 0, SEEK_CUR);

	(void)context;
	lseek(fd, power_offset[fd], SEEK_SET);
	if (keeper_file_write_all(&keeper_file_posix, fd, bytes->data,
				  bytes->len))
		return -1;
	g_byte_array_set_size(bytes, 0);
	/* The last write may end before bytes that it did not overwrite. */
	lseek(fd, position, SEEK_SET);
	return 0;
}

static int power_rename(void *context, const char *from, const char *to)
{
	(void)context;
	g_free(power_from);
	g_free(power_to);
	power_from = g_strdup(from);
	power_to = g_strdup(to);
	return 0;
}

static int power_sync_folder(void *context, const char *path)
{
	int rc = power_from ? rename(power_from, power_to) : 0;

	(void)context;
	(void)path;
	g_clear_pointer(&power_from, g_free);
	g_clear_pointer(&power_to, g_free);
	return rc;
}

static const keeper_file_ops_t power_file = {
	.open = power_open,
	.write = power_write,
	.sync = power_sync,
	.rename = power_rename,
	.sync_folder = power_sync_folder,
};

/* NOLINTNEXTLINE(readability-identifier-naming) */
#define keeper_file_posix power_file
#include "hemlock-keeper.c" /* NOLINT(bugprone-suspicious-include) */
