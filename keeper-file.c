#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "keeper-store.h"

/* Reading, writing and replacing whole files of the data folder. */

#define KEEPER_FILE_MODE 0600
/* Maximum size of a file that is read; the log and the snapshot of a keeper are
 * far smaller. */
#define KEEPER_FILE_BYTES_MAX (1024LL * 1024 * 1024)

static int keeper_file_open(void *context, const char *path, int flags)
{
	(void)context;
	return open(path, flags | O_CLOEXEC, KEEPER_FILE_MODE);
}

static ssize_t keeper_file_write(void *context, int fd, const void *bytes,
				 size_t size)
{
	(void)context;
	return write(fd, bytes, size);
}

static int keeper_file_sync(void *context, int fd)
{
	(void)context;
	return fsync(fd);
}

static int keeper_file_rename(void *context, const char *from, const char *to)
{
	(void)context;
	return rename(from, to);
}

static int keeper_file_sync_folder(void *context, const char *path)
{
	int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC), rc, saved;

	(void)context;
	if (fd < 0)
		return -1;
	rc = fsync(fd);
	saved = errno;
	close(fd);
	errno = saved;
	return rc;
}

const keeper_file_ops_t keeper_file_posix = {
	.open = keeper_file_open,
	.write = keeper_file_write,
	.sync = keeper_file_sync,
	.rename = keeper_file_rename,
	.sync_folder = keeper_file_sync_folder,
};

int keeper_file_write_all(const keeper_file_ops_t *file, int fd,
			  const void *bytes, size_t size)
{
	const char *p = bytes;
	ssize_t n;

	while (size) {
		n = file->write(file->context, fd, p, size);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return -1;
		p += n;
		size -= n;
	}
	return 0;
}

static int keeper_file_set_error(const char *what, const char *path,
				 hl_error_t *err)
{
	return hl_error_set(err, HL_ERR_IO,
			    "cannot %s %s: %s; free space or replace the "
			    "disk: the keeper tries again by itself",
			    what, path, strerror(errno));
}

/* Write @bytes to a new or truncated file and sync it. Return its descriptor,
 * positioned after them, or -1. */
static int keeper_file_create(const keeper_file_ops_t *file, const char *path,
			      const void *bytes, size_t size, hl_error_t *err)
{
	int fd = file->open(file->context, path, O_WRONLY | O_CREAT | O_TRUNC);

	if (fd < 0)
		return keeper_file_set_error("create", path, err);
	if (keeper_file_write_all(file, fd, bytes, size)) {
		keeper_file_set_error("write", path, err);
		goto fail;
	}
	if (file->sync(file->context, fd)) {
		keeper_file_set_error("sync", path, err);
		goto fail;
	}
	return fd;

fail:
	close(fd);
	return -1;
}

int keeper_file_replace(const keeper_file_ops_t *file, const char *folder,
			const char *name, const void *bytes, size_t size,
			hl_error_t *err)
{
	char path[PATH_MAX], temporary[PATH_MAX];
	int fd;

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	snprintf(temporary, sizeof(temporary), "%s/%s.new", folder, name);
	fd = keeper_file_create(file, temporary, bytes, size, err);
	if (fd < 0)
		return -1;
	if (file->rename(file->context, temporary, path)) {
		keeper_file_set_error("rename", path, err);
		goto fail;
	}
	if (file->sync_folder(file->context, folder)) {
		keeper_file_set_error("sync", folder, err);
		goto fail;
	}
	return fd;

fail:
	close(fd);
	return -1;
}

static int keeper_file_read_all(int fd, char *bytes, size_t size)
{
	ssize_t n;

	while (size) {
		n = read(fd, bytes, size);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			errno = n ? errno : EIO;
			return -1;
		}
		bytes += n;
		size -= n;
	}
	return 0;
}

int keeper_file_read(const char *folder, const char *name, char **bytes,
		     size_t *size, hl_error_t *err)
{
	char path[PATH_MAX];
	struct stat st;
	int fd, rc = -1;

	*bytes = NULL;
	snprintf(path, sizeof(path), "%s/%s", folder, name);
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0 && errno == ENOENT)
		return 0;
	if (fd < 0)
		return keeper_file_set_error("open", path, err);
	if (fstat(fd, &st) || st.st_size > KEEPER_FILE_BYTES_MAX)
		goto fail;
	*size = st.st_size;
	*bytes = malloc(*size + 1);
	if (*bytes && !keeper_file_read_all(fd, *bytes, *size))
		rc = 1;

fail:
	if (rc < 0) {
		keeper_file_set_error("read", path, err);
		free(*bytes);
		*bytes = NULL;
	}
	close(fd);
	return rc;
}
