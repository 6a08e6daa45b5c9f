#ifndef PACK_H
#define PACK_H

#include "hemlock.h"

/* Compression with zlib; the result starts with the uncompressed length. */

/**
 * pack_deflate - compress a byte string.
 * @bytes: bytes to compress
 * @size: number of @bytes
 * @packed: set to the number of bytes returned
 *
 * Return: bytes allocated by malloc(), or NULL if out of memory.
 */
char *pack_deflate(const char *bytes, size_t size, size_t *packed);

/**
 * pack_inflate - decompress what pack_deflate() returned.
 * @bytes: compressed bytes
 * @size: number of @bytes
 * @max_size: largest accepted original size; a larger one is treated as
 *            corruption
 * @plain: set to the number of bytes returned
 *
 * Return: bytes allocated by malloc(), or NULL if @bytes are corrupt or if out
 * of memory.
 */
char *pack_inflate(const char *bytes, size_t size, size_t max_size,
		   size_t *plain);

#endif
