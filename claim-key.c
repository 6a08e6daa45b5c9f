#include <stdio.h>
#include <string.h>
#include <xxhash.h>
#include "claim.h"

/* Longest service, tenant and key, with separators. */
#define KEY_TEXT_MAX 512

claim_key_t claim_key_make(const char *service, const char *tenant,
			   const char *key)
{
	char text[KEY_TEXT_MAX];
	XXH128_hash_t hash;
	claim_key_t made;
	int length;

	/* A newline is in none of the three. */
	length = snprintf(text, sizeof(text), "%s\n%s\n%s", service, tenant,
			  key);
	hash = XXH3_128bits(text, (size_t)length);
	made.high = hash.high64;
	made.low = hash.low64;
	return made;
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
