#ifndef PACK_H
#define PACK_H

#include "hemlock.h"

/**
 * pack_deflate - deflate bytes, with their length in front.
 *
 * Return: malloc'ed bytes and their number in @packed, or NULL out of memory.
 */
char *pack_deflate(const char *bytes, size_t size, size_t *packed);

/**
 * pack_inflate - the reverse.
 * @most: bytes that it may come to; more is taken for damage
 *
 * Return: malloc'ed bytes and their number in @plain, or NULL.
 */
char *pack_inflate(const char *bytes, size_t size, size_t most, size_t *plain);

#endif
