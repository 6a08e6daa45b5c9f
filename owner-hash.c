#include <string.h>
#include "owner.h"

/* Rendezvous hashing of services and copies to their owners. */

/* Seeds that make the hashes of services and copies independent. */
#define HASH_SEED_SERVICE 0x5e21cceULL
#define HASH_SEED_COPY 0xc0b1eULL

static uint64_t hash_score(const char *member, const char *key, uint64_t seed)
{
	return hl_hash(member, strlen(member), hl_hash(key, strlen(key), seed));
}

static unsigned hash_zone_count(const owner_member_t *members, unsigned count)
{
	unsigned zones = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < i; j++)
			if (!strcmp(members[i].zone, members[j].zone))
				break;
		zones += j == i;
	}
	return zones;
}

static unsigned hash_selected_in_zone(const owner_member_t *members,
				      const unsigned *owners, unsigned selected,
				      const char *zone)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < selected; i++)
		n += !strcmp(members[owners[i]].zone, zone);
	return n;
}

static bool hash_is_selected(const unsigned *owners, unsigned selected,
			     unsigned index)
{
	unsigned i;

	for (i = 0; i < selected; i++)
		if (owners[i] == index)
			return true;
	return false;
}

/* Returns the entry with the greatest hash among those not selected yet, in the
   zones with the fewest selected entries. */
static unsigned hash_next_owner(const owner_member_t *members, unsigned count,
				const char *service, const unsigned *owners,
				unsigned selected)
{
	unsigned best = count;
	unsigned best_load = 0;
	uint64_t best_score = 0;
	unsigned i;

	for (i = 0; i < count; i++) {
		unsigned load;
		uint64_t score;

		if (hash_is_selected(owners, selected, i))
			continue;
		load = hash_selected_in_zone(members, owners, selected,
					     members[i].zone);
		score = hash_score(members[i].name, service, HASH_SEED_SERVICE);
		if (best < count && (load > best_load || (load == best_load &&
							  score <= best_score)))
			continue;
		best = i;
		best_load = load;
		best_score = score;
	}
	return best;
}

unsigned owner_hash_service(const owner_member_t *members, unsigned count,
			    const char *service, unsigned wanted,
			    unsigned *owners)
{
	unsigned selected;

	if (!wanted) {
		wanted = hash_zone_count(members, count);
		if (wanted < 2)
			wanted = 2;
	}
	if (wanted > OWNER_MAX)
		wanted = OWNER_MAX;
	if (wanted > count)
		wanted = count;
	for (selected = 0; selected < wanted; selected++)
		owners[selected] = hash_next_owner(members, count, service,
						   owners, selected);
	return selected;
}

unsigned owner_hash_copy(const owner_member_t *members, const unsigned *owners,
			 unsigned count, const char *service, const char *copy)
{
	uint64_t best_score = 0;
	unsigned best = 0;
	uint64_t seed = hl_hash(service, strlen(service), HASH_SEED_COPY);
	unsigned i;

	for (i = 0; i < count; i++) {
		uint64_t score = hash_score(members[owners[i]].name, copy,
					    seed);

		if (i && score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return owners[best];
}
