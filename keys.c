#include <errno.h>
#include <gnutls/crypto.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "keys.h"

#define KEYS_MAX 2
#define KEYS_BYTES_MIN 32
#define KEYS_BYTES_MAX 64
/* Two hex digits per byte, a newline and a NUL. */
#define KEYS_LINE_BYTES_MAX (2 * KEYS_BYTES_MAX + 2)
#define KEYS_HMAC GNUTLS_MAC_SHA256
#define KEYS_HMAC_BYTES 32

typedef struct {
	unsigned char bytes[KEYS_BYTES_MAX];
	size_t size;
} keys_key_t;

typedef struct {
	keys_key_t list[KEYS_MAX];
	unsigned count;
} keys_set_t;

struct keys {
	char path[HL_MESSAGE_MAX];
	pthread_rwlock_t lock; /* protects set */
	keys_set_t set;
};

/* Returns the value of a hex digit, or -1. */
static int keys_digit(char c)
{
	static const char digits[] = "0123456789abcdef";
	const char *at = c ? strchr(digits, c | 0x20) : NULL;

	return at ? (int)(at - digits) : -1;
}

/* Converts a line of hex digits; -1 if it is not a valid key. */
static int keys_parse_line(const char *line, keys_key_t *key)
{
	size_t length = strspn(line, "0123456789abcdefABCDEF"), i;

	if (length % 2 || length < 2 * KEYS_BYTES_MIN ||
	    length > 2 * KEYS_BYTES_MAX || line[length])
		return -1;
	key->size = length / 2;
	for (i = 0; i < key->size; i++)
		key->bytes[i] = (unsigned char)(keys_digit(line[2 * i]) << 4 |
						keys_digit(line[2 * i + 1]));
	return 0;
}

static int keys_parse_file(FILE *file, keys_set_t *set)
{
	char line[KEYS_LINE_BYTES_MAX];
	int rc = 0;

	while (!rc && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\r\n")] = '\0';
		if (!*line || *line == '#')
			continue;
		rc = set->count == KEYS_MAX ||
				     keys_parse_line(line,
						     &set->list[set->count]) ?
			     -1 :
			     0;
		set->count += rc == 0;
	}
	gnutls_memset(line, 0, sizeof(line));
	return rc || !set->count ? -1 : 0;
}

int keys_reload(keys_t *keys, hl_error_t *err)
{
	keys_set_t set = { 0 };
	FILE *file;
	int rc;

	if (!*keys->path)
		return 0;
	file = fopen(keys->path, "re");
	if (!file)
		return hl_error_set(err, HL_ERR_IO,
				    "cannot read the key file %s: %s; create "
				    "it and make it readable by the user of "
				    "the entry",
				    keys->path, strerror(errno));
	rc = keys_parse_file(file, &set);
	fclose(file);
	if (!rc) {
		pthread_rwlock_wrlock(&keys->lock);
		keys->set = set;
		pthread_rwlock_unlock(&keys->lock);
	}
	gnutls_memset(&set, 0, sizeof(set));
	return rc ? hl_error_set(err, HL_ERR_SETTINGS,
				 "the key file %s is invalid; write one or two "
				 "lines of 64 to 128 hex digits",
				 keys->path) :
		    0;
}

keys_t *keys_new(const char *path, hl_error_t *err)
{
	keys_t *keys = calloc(1, sizeof(*keys));

	if (!keys) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "no memory for the keys; give the VM more");
		return NULL;
	}
	pthread_rwlock_init(&keys->lock, NULL);
	snprintf(keys->path, sizeof(keys->path), "%s", path);
	if (!keys_reload(keys, err))
		return keys;
	keys_free(keys);
	return NULL;
}

unsigned keys_count(keys_t *keys)
{
	unsigned count;

	pthread_rwlock_rdlock(&keys->lock);
	count = keys->set.count;
	pthread_rwlock_unlock(&keys->lock);
	return count;
}

static bool keys_compute_tag(const keys_key_t *key, const void *bytes,
			     size_t size, unsigned char tag[KEYS_TAG_BYTES])
{
	unsigned char mac[KEYS_HMAC_BYTES];

	if (gnutls_hmac_fast(KEYS_HMAC, key->bytes, key->size, bytes, size,
			     mac))
		return false;
	memcpy(tag, mac, KEYS_TAG_BYTES);
	return true;
}

bool keys_sign(keys_t *keys, const void *bytes, size_t size,
	       unsigned char tag[KEYS_TAG_BYTES])
{
	bool has_tag;

	pthread_rwlock_rdlock(&keys->lock);
	has_tag = keys->set.count &&
		  keys_compute_tag(&keys->set.list[0], bytes, size, tag);
	pthread_rwlock_unlock(&keys->lock);
	return has_tag;
}

bool keys_check(keys_t *keys, const void *bytes, size_t size,
		const unsigned char tag[KEYS_TAG_BYTES])
{
	unsigned char expected[KEYS_TAG_BYTES];
	bool valid = false;
	unsigned i;

	pthread_rwlock_rdlock(&keys->lock);
	for (i = 0; !valid && i < keys->set.count; i++)
		valid = keys_compute_tag(&keys->set.list[i], bytes, size,
					 expected) &&
			!gnutls_memcmp(expected, tag, sizeof(expected));
	pthread_rwlock_unlock(&keys->lock);
	return valid;
}

void keys_free(keys_t *keys)
{
	if (!keys)
		return;
	pthread_rwlock_destroy(&keys->lock);
	gnutls_memset(&keys->set, 0, sizeof(keys->set));
	free(keys);
}
