#ifndef ANSWER_BYTES_H
#define ANSWER_BYTES_H

#include <stdint.h>
#include <string.h>
#include "hemlock.h"

/*
 * Bodies that a copy makes and a caller can check: length and bytes follow from
 * the path of the call and the signature of the answer.
 */

/* One of ANSWER_LONG_SHARE bodies has up to ANSWER_LONG_MAX bytes, the others have
   up to ANSWER_SHORT_MAX. */
#define ANSWER_LONG_SHARE 4
#define ANSWER_LONG_MAX 200000
#define ANSWER_SHORT_MAX 2000

/** answer_key - return the number that length and bytes of a body follow from. */
static inline uint64_t answer_key(const char *path, const char *signature)
{
	return hl_hash(path, strlen(path),
		       hl_hash(signature, strlen(signature), 1));
}

/** answer_length - return the length of a body; most are short. */
static inline size_t answer_length(uint64_t key)
{
	uint64_t size = key >> 16;

	return size %
	       (key % ANSWER_LONG_SHARE ? ANSWER_SHORT_MAX : ANSWER_LONG_MAX);
}

/** answer_byte - return one byte of a body. */
static inline char answer_byte(uint64_t key, size_t at)
{
	return (char)('!' + (key + at * 7 + at / 64) % 90);
}

#endif
