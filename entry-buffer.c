#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/* A byte queue in one block of memory that grows by doubling. */

#define BUFFER_FIRST_SIZE 2048 /* bytes */

/* Ensures space for @more bytes at the end; may move the content to the front.
   Returns -1 if out of memory. */
static int buffer_room(entry_buffer_t *buffer, size_t more)
{
	size_t length = buffer->end - buffer->start;
	size_t size = buffer->size ? buffer->size : BUFFER_FIRST_SIZE;
	char *bytes;

	if (buffer->end + more <= buffer->size)
		return 0;
	if (buffer->start) {
		memmove(buffer->bytes, buffer->bytes + buffer->start, length);
		buffer->start = 0;
		buffer->end = length;
	}
	while (size < length + more)
		size *= 2;
	if (size <= buffer->size)
		return 0;
	bytes = realloc(buffer->bytes, size);
	if (!bytes)
		return -1;
	buffer->bytes = bytes;
	buffer->size = size;
	return 0;
}

int entry_buffer_add(entry_buffer_t *buffer, const void *bytes, size_t size)
{
	if (!size)
		return 0;
	if (buffer_room(buffer, size))
		return -1;
	memcpy(buffer->bytes + buffer->end, bytes, size);
	buffer->end += size;
	return 0;
}

size_t entry_buffer_take(entry_buffer_t *buffer, void *out, size_t max)
{
	size_t length = buffer->end - buffer->start;

	if (length > max)
		length = max;
	if (length)
		memcpy(out, buffer->bytes + buffer->start, length);
	buffer->start += length;
	return length;
}

size_t entry_buffer_length(const entry_buffer_t *buffer)
{
	return buffer->end - buffer->start;
}

void entry_buffer_clear(entry_buffer_t *buffer)
{
	buffer->start = 0;
	buffer->end = 0;
}

void entry_buffer_free(entry_buffer_t *buffer)
{
	free(buffer->bytes);
	memset(buffer, 0, sizeof(*buffer));
}
