#ifndef KEYS_H
#define KEYS_H

#include "hemlock.h"

/*
 * Keys that the entries of a region share. What one entry sends to another
 * carries a tag, an HMAC with SHA-256 cut to KEYS_TAG_BYTES.
 */

#define KEYS_TAG_BYTES 16

/** struct keys_t - the keys of a process; any thread may use them. */
typedef struct keys keys_t;

/**
 * keys_new - read a key file.
 * @path: of the file, "" for no keys: then nothing is signed or checked
 * @err: HL_ERR_SETTINGS or HL_ERR_IO, with the remedy
 *
 * The file has one or two keys, one a line, each 32 to 64 bytes in hex; empty
 * lines and lines that begin with # do not count. The first key signs, both
 * are accepted.
 *
 * Return: keys for keys_free(), or NULL.
 */
keys_t *keys_new(const char *path, hl_error_t *err);

/** keys_reload - read the file anew; on failure the old keys stay.
 *
 * Return: 0, or -1 as keys_new().
 */
int keys_reload(keys_t *keys, hl_error_t *err);

/** keys_count - how many keys there are, 0 to 2. */
unsigned keys_count(keys_t *keys);

/** keys_sign - the tag of @size bytes; false without keys. */
bool keys_sign(keys_t *keys, const void *bytes, size_t size,
	       unsigned char tag[KEYS_TAG_BYTES]);

/** keys_check - true if a key gives that tag. */
bool keys_check(keys_t *keys, const void *bytes, size_t size,
		const unsigned char tag[KEYS_TAG_BYTES]);

/* Room for the value of Hemlock-Hop: a name, milliseconds and a tag in hex. */
#define KEYS_HOP_MAX (HL_NAME_MAX + 16 + 2 * KEYS_TAG_BYTES)
/* How far the wall clocks of two entries may be apart, and how long a value
 * that was overheard can be used again. */
#define KEYS_HOP_WINDOW_MS 5000

/**
 * keys_hop_write - the value of Hemlock-Hop for a call that is handed over.
 * @keys: of this entry; without keys the value is the name alone
 * @name: of this entry
 * @service: that the call is for
 * @wall_ms: the wall clock in milliseconds
 * @out: the value
 *
 * Return: false if it can't be signed.
 */
bool keys_hop_write(keys_t *keys, const char *name, const char *service,
		    int64_t wall_ms, char out[KEYS_HOP_MAX]);

/**
 * keys_hop_read - check such a value.
 *
 * Return: true with @name set, or false if it is malformed, of no key of
 * ours, for another service or out of the window.
 */
bool keys_hop_read(keys_t *keys, const char *value, const char *service,
		   int64_t wall_ms, char name[HL_NAME_MAX]);

/** keys_free - wipe and free; NULL is fine. */
void keys_free(keys_t *keys);

#endif
