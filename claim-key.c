#include <stdio.h>
#include <string.h>
#include <xxhash.h>
#include "claim.h"

/* Keys of claims, claim ids, and the replica of a key in a group. */

/* Maximum bytes of a service, tenant and key with their separators. */
#define KEY_TEXT_MAX 512

claim_key_t claim_key_make(const char *service, const char *tenant,
			   const char *key)
{
	char text[KEY_TEXT_MAX];
	XXH128_hash_t hash;
	claim_key_t result;
	int length;

	/* None of the three contains a newline, so texts are distinct. */
	length = snprintf(text, sizeof(text), "%s\n%s\n%s", service, tenant,
			  key);
	hash = XXH3_128bits(text, (size_t)length);
	result.high = hash.high64;
	result.low = hash.low64;
	return result;
}

int claim_key_compare(const claim_key_t *a, const claim_key_t *b)
{
	if (a->high != b->high)
		return a->high < b->high ? -1 : 1;
	if (a->low != b->low)
		return a->low < b->low ? -1 : 1;
	return 0;
}

bool claim_id_equal(const claim_id_t *a, const claim_id_t *b)
{
	return a->boot == b->boot && a->number == b->number &&
	       !strcmp(a->coordinator, b->coordinator);
}

unsigned claim_key_replica(const char (*group)[HL_ADDRESS_MAX], unsigned count,
			   const claim_key_t *key)
{
	uint64_t best_score = 0;
	unsigned best = 0;
	unsigned i;

	for (i = 0; i < count; i++) {
		uint64_t score = hl_hash(group[i], strlen(group[i]),
					 key->high ^ key->low);

		if (i && score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return best;
}
