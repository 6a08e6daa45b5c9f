#include <stdlib.h>
#include <string.h>
#include "owner-table.h"

/* Lookups: the owners of a service as endpoints for its callers, weighted by
   the slots that each of them owns. */

/* Maximum age of the reported slots of an owner before they are queried again:
   low while slots of the service change, high once they are stable. */
#define LOOKUP_SLOTS_MAX_AGE_CHANGING USEC_PER_SEC
#define LOOKUP_SLOTS_MAX_AGE_STABLE (10 * USEC_PER_SEC)
/* Slots are stable once no owner of the service has reported a change for this
   long. The owners are taken together, as a copy that one gains another
   loses. */
#define LOOKUP_STABLE_AFTER (5 * USEC_PER_SEC)
/* Minimum interval between two queries, over all services and owners. */
#define LOOKUP_QUERY_INTERVAL (100 * USEC_PER_MS)

typedef struct {
	owner_endpoint_t endpoint;
	bool same_zone;
} lookup_row_t;

void owner_lookup_on_slots(owner_service_t *svc, owner_sibling_t *from,
			   unsigned slots, usec_t now)
{
	if (!from->reported_at || from->slots != slots)
		svc->slots_changed_at = now;
	from->reported_at = now;
	from->slots = slots;
}

/* Maximum age of the reported slots of an owner. */
static usec_t lookup_slots_max_age(const owner_service_t *svc, usec_t now)
{
	return now - svc->slots_changed_at < LOOKUP_STABLE_AFTER ?
		       LOOKUP_SLOTS_MAX_AGE_CHANGING :
		       LOOKUP_SLOTS_MAX_AGE_STABLE;
}

/* Requests the slots of siblings whose slots are unknown or outdated; a later
   lookup uses them. */
static void lookup_query_slots(owner_t *owner, owner_service_t *svc)
{
	usec_t now = owner->now;
	usec_t max_age = lookup_slots_max_age(svc, now);
	unsigned i;

	if (now < owner->next_query)
		return;
	for (i = 0; i < svc->sibling_count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		/* An owner without slots may be taking its first copies. */
		if (sibling->reported_at && sibling->slots &&
		    now - sibling->reported_at < max_age)
			continue;
		if (sibling->queried_at &&
		    now - sibling->queried_at < USEC_PER_SEC)
			continue;
		sibling->queried_at = now;
		owner->next_query = now + LOOKUP_QUERY_INTERVAL;
		owner_net_query_slots(owner, svc, sibling);
	}
}

static void lookup_fill_row(lookup_row_t *row, const owner_member_t *member,
			    unsigned weight, const char *zone)
{
	memcpy(row->endpoint.address, member->call_address, HL_ADDRESS_MAX);
	memcpy(row->endpoint.zone, member->zone, HL_NAME_MAX);
	row->endpoint.weight = weight;
	row->same_zone = !strcmp(member->zone, zone);
}

static int lookup_compare(const void *a, const void *b)
{
	const lookup_row_t *left = a;
	const lookup_row_t *right = b;

	if (left->same_zone != right->same_zone)
		return left->same_zone ? -1 : 1;
	if (left->endpoint.weight != right->endpoint.weight)
		return left->endpoint.weight > right->endpoint.weight ? -1 : 1;
	return strcmp(left->endpoint.address, right->endpoint.address);
}

/* Returns the number of slots assumed for an owner that has not reported its
   slots: the average of the owners with known slots, at least 1. */
static unsigned lookup_estimate_slots(const owner_service_t *svc)
{
	unsigned slots = svc->is_owner ? svc->slots : 0;
	unsigned known_owners = svc->is_owner ? 1 : 0;
	unsigned i;

	for (i = 0; i < svc->sibling_count; i++) {
		if (!svc->siblings[i].reported_at)
			continue;
		slots += svc->siblings[i].slots;
		known_owners++;
	}
	return known_owners && slots > known_owners ? slots / known_owners : 1;
}

/* Writes the endpoints to @out and returns their number. Leaves out owners
   without slots, unless no owner has a slot. */
static unsigned lookup_fill_endpoints(const lookup_row_t *rows, unsigned count,
				      owner_endpoint_t *out, unsigned max)
{
	unsigned total = 0;
	unsigned written = 0;
	unsigned i;

	for (i = 0; i < count; i++)
		total += rows[i].endpoint.weight;
	for (i = 0; i < count && written < max; i++) {
		if (total && !rows[i].endpoint.weight)
			continue;
		out[written] = rows[i].endpoint;
		if (!total)
			out[written].weight = 1;
		written++;
	}
	return written;
}

unsigned owner_lookup(owner_t *owner, const char *service, const char *zone,
		      owner_endpoint_t *out, unsigned max)
{
	lookup_row_t rows[OWNER_MAX + 1];
	owner_service_t *svc;
	unsigned count = 0;
	unsigned i;

	pthread_mutex_lock(&owner->lock);
	svc = owner_table_service(owner, service);
	if (!svc)
		goto done;
	if (svc->is_owner) {
		owner_table_count(owner, svc);
		lookup_fill_row(&rows[count++], &owner->options.self,
				svc->slots, zone);
	}
	for (i = 0; i < svc->sibling_count; i++)
		lookup_fill_row(&rows[count++], &svc->siblings[i].member,
				svc->siblings[i].reported_at ?
					svc->siblings[i].slots :
					lookup_estimate_slots(svc),
				zone);
	lookup_query_slots(owner, svc);
	qsort(rows, count, sizeof(rows[0]), lookup_compare);
	count = lookup_fill_endpoints(rows, count, out, max);
done:
	pthread_mutex_unlock(&owner->lock);
	return count;
}

int owner_route(owner_t *owner, const char *service, owner_member_t *out)
{
	const owner_sibling_t *best = NULL;
	owner_service_t *svc;
	unsigned i;

	pthread_mutex_lock(&owner->lock);
	svc = owner_table_service(owner, service);
	for (i = 0; svc && i < svc->sibling_count; i++) {
		const owner_sibling_t *sibling = &svc->siblings[i];
		bool same_zone = !strcmp(sibling->member.zone,
					 owner->options.self.zone);

		if (sibling->reported_at && !sibling->slots)
			continue;
		if (!best || same_zone || sibling->slots > best->slots)
			best = sibling;
		if (same_zone)
			break;
	}
	if (best)
		*out = best->member;
	pthread_mutex_unlock(&owner->lock);
	return best ? 0 : -1;
}
