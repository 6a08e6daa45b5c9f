#ifndef KEYS_H
#define KEYS_H

#include "hemlock.h"

/*
 * Secret keys that the entries of a region share. A message from one entry to
 * another has a tag: an HMAC with SHA-256, truncated to KEYS_TAG_BYTES.
 */

#define KEYS_TAG_BYTES 16

/** struct keys_t - the keys of a process; usable from any thread. */
typedef struct keys keys_t;

/**
 * keys_new - read a key file.
 * @path: path of the file; "" for no keys: nothing is signed or verified
 * @err: HL_ERR_SETTINGS or HL_ERR_IO, with the remedy
 *
 * The file has one or two keys, one per line, each 32 to 64 bytes in hex. Empty
 * lines and lines that begin with # are ignored. The first key signs; both
 * verify, so that the key can be rotated while the entries run.
 *
 * Return: keys for keys_free(), or NULL.
 */
keys_t *keys_new(const char *path, hl_error_t *err);

/**
 * keys_reload - read the key file again.
 * @keys: the keys
 * @err: HL_ERR_SETTINGS or HL_ERR_IO; the previous keys then remain in use
 *
 * Return: 0, or -1 with @err set.
 */
int keys_reload(keys_t *keys, hl_error_t *err);

/** keys_count - return the number of keys, 0 to 2. */
unsigned keys_count(keys_t *keys);

/**
 * keys_sign - compute the tag of @size bytes with the first key.
 *
 * Return: true with @tag set, or false if there are no keys.
 */
bool keys_sign(keys_t *keys, const void *bytes, size_t size,
	       unsigned char tag[KEYS_TAG_BYTES]);

/** keys_check - true if @tag is the tag of the bytes under any of the keys. */
bool keys_check(keys_t *keys, const void *bytes, size_t size,
		const unsigned char tag[KEYS_TAG_BYTES]);

/* Size of the longest Hemlock-Hop value: a name, a time in ms, a hex tag. */
#define KEYS_HOP_MAX (HL_NAME_MAX + 16 + 2 * KEYS_TAG_BYTES)
/*
 * Largest accepted difference between the time in a Hemlock-Hop and the wall
 * clock. It bounds the clock skew of two entries, and the time for which an
 * intercepted value can be replayed.
 */
#define KEYS_HOP_WINDOW_MS 5000

/**
 * keys_hop_write - make the Hemlock-Hop header of a call sent to a sibling.
 * @keys: keys of this entry; if there are none, the value is only @name
 * @name: name of this entry
 * @service: service of the call
 * @wall_ms: wall clock in milliseconds
 * @out: set to the value of the header
 *
 * Return: true, or false if the value cannot be signed.
 */
bool keys_hop_write(keys_t *keys, const char *name, const char *service,
		    int64_t wall_ms, char out[KEYS_HOP_MAX]);

/**
 * keys_hop_read - verify a Hemlock-Hop header.
 * @keys: keys of this entry; if there are none, any valid name is accepted
 * @value: value of the header
 * @service: service of the call
 * @wall_ms: wall clock in milliseconds
 * @name: set to the name of the sending entry
 *
 * Return: true, or false if @value is malformed, its tag matches none of the
 * keys, it is for another service, or its time is outside the window.
 */
bool keys_hop_read(keys_t *keys, const char *value, const char *service,
		   int64_t wall_ms, char name[HL_NAME_MAX]);

/** keys_free - wipe and free the keys; NULL is allowed. */
void keys_free(keys_t *keys);

#endif
