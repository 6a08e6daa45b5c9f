#include <stdlib.h>
#include <string.h>
#include "owner-table.h"

/* Another owner's slots are asked for anew after this: soon while those of the
   service change, seldom once they stay. */
#define LOOKUP_BELIEVE_MIN USEC_PER_SEC
#define LOOKUP_BELIEVE_MAX (10 * USEC_PER_SEC)
/* They have settled once none of the service's owners told of a change for
   this long; what one gained, another lost. */
#define LOOKUP_SETTLE (5 * USEC_PER_SEC)
/* And at most one owner is asked this often, whatever is looked up. */
#define LOOKUP_ASK_PERIOD (100 * USEC_PER_MS)

typedef struct {
	owner_endpoint_t place;
	bool near;
} lookup_row_t;

void owner_lookup_told(owner_service_t *svc, owner_sibling_t *from,
		       unsigned slots, usec_t now)
{
	if (!from->heard || from->slots != slots)
		svc->slots_changed = now;
	from->heard = now;
	from->slots = slots;
}

/* How long what an owner said of its slots is believed. */
static usec_t lookup_believe(const owner_service_t *svc, usec_t now)
{
	return now - svc->slots_changed < LOOKUP_SETTLE ? LOOKUP_BELIEVE_MIN :
							  LOOKUP_BELIEVE_MAX;
}

/* Ask for slots that are not known; the next look-up has them. */
static void lookup_ask(owner_t *owner, owner_service_t *svc)
{
	usec_t now = owner->now;
	usec_t believe = lookup_believe(svc, now);
	unsigned i;

	if (now < owner->ask_from)
		return;
	for (i = 0; i < svc->count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		/* One without slots may be about to take its first copies. */
		if (sibling->heard && sibling->slots &&
		    now - sibling->heard < believe)
			continue;
		if (sibling->asked && now - sibling->asked < USEC_PER_SEC)
			continue;
		sibling->asked = now;
		owner->ask_from = now + LOOKUP_ASK_PERIOD;
		owner_net_ask(owner, svc, sibling);
	}
}

static void lookup_row(lookup_row_t *row, const owner_member_t *member,
		       unsigned weight, const char *zone)
{
	memcpy(row->place.address, member->call_address, HL_ADDRESS_MAX);
	memcpy(row->place.zone, member->zone, HL_NAME_MAX);
	row->place.weight = weight;
	row->near = !strcmp(member->zone, zone);
}

static int lookup_compare(const void *a, const void *b)
{
	const lookup_row_t *left = a;
	const lookup_row_t *right = b;

	if (left->near != right->near)
		return left->near ? -1 : 1;
	if (left->place.weight != right->place.weight)
		return left->place.weight > right->place.weight ? -1 : 1;
	return strcmp(left->place.address, right->place.address);
}

/* Slots that an owner of unknown slots is taken to have. */
static unsigned lookup_guess(const owner_service_t *svc)
{
	unsigned slots = svc->own ? svc->slots : 0;
	unsigned known = svc->own ? 1 : 0;
	unsigned i;

	for (i = 0; i < svc->count; i++) {
		if (!svc->siblings[i].heard)
			continue;
		slots += svc->siblings[i].slots;
		known++;
	}
	return known && slots > known ? slots / known : 1;
}

/* An owner without slots is told only while no owner has any. */
static unsigned lookup_write(const lookup_row_t *rows, unsigned count,
			     owner_endpoint_t *out, unsigned max)
{
	unsigned total = 0;
	unsigned written = 0;
	unsigned i;

	for (i = 0; i < count; i++)
		total += rows[i].place.weight;
	for (i = 0; i < count && written < max; i++) {
		if (total && !rows[i].place.weight)
			continue;
		out[written] = rows[i].place;
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
	if (svc->own) {
		owner_table_count(owner, svc);
		lookup_row(&rows[count++], &owner->options.self, svc->slots,
			   zone);
	}
	for (i = 0; i < svc->count; i++)
		lookup_row(&rows[count++], &svc->siblings[i].member,
			   svc->siblings[i].heard ? svc->siblings[i].slots :
						    lookup_guess(svc),
			   zone);
	lookup_ask(owner, svc);
	qsort(rows, count, sizeof(rows[0]), lookup_compare);
	count = lookup_write(rows, count, out, max);
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
	for (i = 0; svc && i < svc->count; i++) {
		const owner_sibling_t *sibling = &svc->siblings[i];
		bool near = !strcmp(sibling->member.zone,
				    owner->options.self.zone);

		if (sibling->heard && !sibling->slots)
			continue;
		if (!best || near || sibling->slots > best->slots)
			best = sibling;
		if (near)
			break;
	}
	if (best)
		*out = best->member;
	pthread_mutex_unlock(&owner->lock);
	return best ? 0 : -1;
}
