#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * The copies of a service: added, removed, found by name, and which of them an
 * entry prefers. Owns entry_copy_t with its credit and health.
 */

/* A copy with its credit and health, in one allocation. */
typedef struct {
	entry_copy_t copy;
	entry_credit_t credit;
	entry_health_t health;
} service_copy_t;

entry_copy_t *entry_service_copy_find(entry_service_t *svc, const char *name)
{
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!strcmp(copy->name, name))
			return copy;
	return NULL;
}

entry_copy_t *entry_service_copy_add(entry_service_t *svc, const char *name,
				     usec_t now)
{
	service_copy_t *block = calloc(1, sizeof(*block));

	if (!block)
		return NULL;
	block->copy.credit = &block->credit;
	block->copy.health = &block->health;
	block->credit.ramp = 1;
	strncpy(block->copy.name, name, sizeof(block->copy.name) - 1);
	block->copy.last_seen = now;
	cds_list_add_tail(&block->copy.link, &svc->copies);
	svc->copy_count++;
	return &block->copy;
}

int entry_service_copy_remove(entry_service_t *svc, entry_copy_t *copy)
{
	if (copy->outstanding)
		return -1;
	cds_list_del(&copy->link);
	svc->copy_count--;
	free(caa_container_of(copy, service_copy_t, copy));
	return 0;
}

static uint64_t service_rank(const entry_copy_t *copy, uint64_t seed)
{
	return hl_hash(copy->name, strlen(copy->name), seed);
}

/* Return the number of copies of the zone that come before @copy in the order
   of this entry's rendezvous hashing. */
static unsigned service_rank_position(const entry_service_t *svc,
				      const entry_copy_t *copy, uint64_t seed)
{
	uint64_t rank = service_rank(copy, seed);
	const entry_copy_t *other = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (other, &svc->copies, link)
		if (!other->draining && !strcmp(other->zone, copy->zone) &&
		    service_rank(other, seed) < rank)
			count++;
	return count;
}

void entry_service_choose_subset(entry_service_t *svc, uint64_t seed)
{
	entry_copy_t *copy = NULL;

	cds_list_for_each_entry (copy, &svc->copies, link)
		copy->in_subset = svc->copy_count <= ENTRY_SUBSET_MAX ||
				  (!strcmp(copy->zone, svc->zone) &&
				   service_rank_position(svc, copy, seed) <
					   ENTRY_SUBSET_MAX);
}

void entry_service_copy_reset(entry_service_t *svc, entry_copy_t *copy)
{
	usec_t sent_sum = copy->health->sent_sum;

	(void)svc;
	memset(copy->credit, 0, sizeof(*copy->credit));
	memset(copy->health, 0, sizeof(*copy->health));
	copy->health->sent_sum = sent_sum;
	copy->credit->ramp = 1;
	copy->slow_start_until = 0;
	copy->leaving = false;
	copy->rests_until = 0;
	memset(&copy->rate, 0, sizeof(copy->rate));
	memset(&copy->reach, 0, sizeof(copy->reach));
}
