#include <string.h>
#include "owner.h"

/* Seeds that keep the two uses of the hash apart. */
#define OWNER_SEED_SERVICE 0x5e21cceULL
#define OWNER_SEED_COPY 0xc0b1eULL

static uint64_t owner_score(const char *member, const char *thing,
			    uint64_t seed)
{
	return hl_hash(member, strlen(member),
		       hl_hash(thing, strlen(thing), seed));
}

static unsigned owner_zone_count(const owner_member_t *members, unsigned count)
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

static unsigned owner_taken_in_zone(const owner_member_t *members,
				    const unsigned *owners, unsigned taken,
				    const char *zone)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < taken; i++)
		n += !strcmp(members[owners[i]].zone, zone);
	return n;
}

static bool owner_is_taken(const unsigned *owners, unsigned taken,
			   unsigned index)
{
	unsigned i;

	for (i = 0; i < taken; i++)
		if (owners[i] == index)
			return true;
	return false;
}

/* The best free entry of the zones that gave the fewest owners so far. */
static unsigned owner_next(const owner_member_t *members, unsigned count,
			   const char *service, const unsigned *owners,
			   unsigned taken)
{
	unsigned best = count;
	unsigned best_load = 0;
	uint64_t best_score = 0;
	unsigned i;

	for (i = 0; i < count; i++) {
		unsigned load;
		uint64_t score;

		if (owner_is_taken(owners, taken, i))
			continue;
		load = owner_taken_in_zone(members, owners, taken,
					   members[i].zone);
		score = owner_score(members[i].name, service,
				    OWNER_SEED_SERVICE);
		if (best < count && (load > best_load || (load == best_load &&
							  score <= best_score)))
			continue;
		best = i;
		best_load = load;
		best_score = score;
	}
	return best;
}

unsigned owner_of_service(const owner_member_t *members, unsigned count,
			  const char *service, unsigned wanted,
			  unsigned *owners)
{
	unsigned taken;

	if (!wanted) {
		wanted = owner_zone_count(members, count);
		if (wanted < 2)
			wanted = 2;
	}
	if (wanted > OWNER_MAX)
		wanted = OWNER_MAX;
	if (wanted > count)
		wanted = count;
	for (taken = 0; taken < wanted; taken++)
		owners[taken] = owner_next(members, count, service, owners,
					   taken);
	return taken;
}

unsigned owner_of_copy(const owner_member_t *members, const unsigned *owners,
		       unsigned count, const char *service, const char *copy)
{
	uint64_t best_score = 0;
	unsigned best = 0;
	uint64_t seed = hl_hash(service, strlen(service), OWNER_SEED_COPY);
	unsigned i;

	for (i = 0; i < count; i++) {
		uint64_t score = owner_score(members[owners[i]].name, copy,
					     seed);

		if (i && score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return owners[best];
}
