#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "presence.h"

/* The entries that have sent heartbeats to a keeper. The table has no lock; its
 * user serializes the calls. */

/* Part of a datagram that the addresses of peers take at most. */
#define PRESENCE_PEERS_BYTES_MAX (PRESENCE_BYTES_MAX - 64)
/* Age of the last heartbeat up to which an entry counts as live and is returned
 * to callers. */
#define PRESENCE_LIVE_MAX_AGE (2200 * USEC_PER_MS)
/* Age of the last heartbeat after which an entry is removed from the table. */
#define PRESENCE_REMOVE_AGE (60 * USEC_PER_SEC)
/* With fewer ready entries in its zone, a caller gets those of all zones. */
#define PRESENCE_ZONE_MIN 2
/* Part of the ready entries, as a divisor, that are not impaired from which callers
   are sent to these only: fewer ones could not serve the callers of all. */
#define PRESENCE_UNIMPAIRED_PART 2

/* Maximum time since the first heartbeat of an entry without a configuration that
   callers are sent to: an entry holds only calls that come soon after its start. */
#define PRESENCE_STARTING_MAX_AGE (2 * USEC_PER_SEC)

/* Interval at which an entry that asks for peers of all zones gets others, so that it
 * finds the few that can serve it however many entries there are. */
#define PRESENCE_ROTATE_INTERVAL USEC_PER_SEC

struct presence_table {
	GHashTable *members; /* id to presence_member_t */
};

presence_table_t *presence_table_new(void)
{
	presence_table_t *table = calloc(1, sizeof(*table));

	if (table)
		table->members = g_hash_table_new_full(g_int64_hash,
						       g_int64_equal, NULL,
						       free);
	return table;
}

void presence_table_free(presence_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->members);
	free(table);
}

static gboolean presence_is_expired(gpointer key, gpointer value,
				    gpointer context)
{
	const presence_member_t *member = value;
	const usec_t *now = context;

	(void)key;
	return *now - member->last_seen > PRESENCE_REMOVE_AGE;
}

/* True for an earlier process at the address of a new entry, which replaces it.
 */
static gboolean presence_has_same_address(gpointer key, gpointer value,
					  gpointer context)
{
	const presence_member_t *member = value;
	const presence_member_t *next = context;

	(void)key;
	return member->id != next->id &&
	       !strcmp(member->call_address, next->call_address);
}

/* Add an entry and remove expired ones. Return NULL if the heartbeat has no
 * identity, the table is full or memory is exhausted. */
static presence_member_t *presence_add(presence_table_t *table,
				       const presence_entry_t *heartbeat,
				       usec_t now)
{
	const presence_identity_t *identity;
	presence_member_t *member;

	if (!heartbeat->identity.identity_len)
		return NULL;
	g_hash_table_foreach_remove(table->members, presence_is_expired, &now);
	if (g_hash_table_size(table->members) >= PRESENCE_ENTRIES_MAX)
		return NULL;
	member = calloc(1, sizeof(*member));
	if (!member)
		return NULL;
	identity = heartbeat->identity.identity_val;
	member->id = heartbeat->id;
	member->first_seen = now;
	strcpy(member->name, identity->name);
	strcpy(member->zone, identity->zone);
	strcpy(member->call_address, identity->call_address);
	g_hash_table_foreach_remove(table->members, presence_has_same_address,
				    member);
	g_hash_table_insert(table->members, &member->id, member);
	return member;
}

bool presence_table_update(presence_table_t *table,
			   const presence_entry_t *heartbeat,
			   const struct sockaddr_storage *from,
			   socklen_t length, usec_t now)
{
	presence_member_t *member;
	uint64_t id = heartbeat->id;

	member = g_hash_table_lookup(table->members, &id);
	if (!member)
		member = presence_add(table, heartbeat, now);
	if (!member)
		return false;
	member->ready = heartbeat->ready;
	member->revision = heartbeat->revision;
	member->last_seen = now;
	memcpy(&member->from, from, length);
	member->from_length = length;
	return true;
}

static bool presence_is_live(const presence_member_t *member, usec_t now)
{
	return now - member->last_seen <= PRESENCE_LIVE_MAX_AGE;
}

/* An impaired entry repeats its report with each heartbeat. */
static bool presence_is_impaired(const presence_member_t *member, usec_t now)
{
	return member->impaired_at &&
	       now - member->impaired_at <= PRESENCE_LIVE_MAX_AGE;
}

void presence_table_set_impaired(presence_table_t *table, uint64_t id,
				 usec_t now)
{
	presence_member_t *member = g_hash_table_lookup(table->members, &id);

	if (member)
		member->impaired_at = now;
}

unsigned presence_table_count_live(const presence_table_t *table, usec_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += presence_is_live(value, now);
	return count;
}

unsigned presence_table_count_impaired(const presence_table_t *table,
				       usec_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += presence_is_live(value, now) &&
			 presence_is_impaired(value, now);
	return count;
}

void presence_table_each(const presence_table_t *table, usec_t now,
			 void (*each)(void *context,
				      const presence_member_t *member),
			 void *context)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (presence_is_live(value, now))
			each(context, value);
}

/* Whether an entry is of @zone, or @zone is NULL, and has a recent heartbeat. */
static bool presence_is_in_zone(const presence_member_t *member,
				const char *zone, usec_t now)
{
	return presence_is_live(member, now) &&
	       (!zone || !strcmp(member->zone, zone));
}

static bool presence_is_starting(const presence_member_t *member, usec_t now)
{
	return !member->ready && !member->revision &&
	       now - member->first_seen <= PRESENCE_STARTING_MAX_AGE;
}

/* The entries from which those for a caller are chosen. */
typedef struct {
	const char *zone; /* NULL: all zones */
	bool starting;	  /* also entries that start */
} presence_scope_t;

/* Entries that start are in the scope if there are ready ones, but fewer. */
static presence_scope_t presence_scope(const presence_table_t *table,
				       const char *zone, usec_t now)
{
	presence_scope_t scope = { .zone = zone };
	unsigned ready = 0, starting = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const presence_member_t *member = value;

		if (!presence_is_in_zone(member, zone, now))
			continue;
		ready += member->ready;
		starting += presence_is_starting(member, now);
	}
	scope.starting = ready > 0 && ready < starting;
	return scope;
}

/* True if callers can be sent to an entry of the scope. */
static bool presence_is_usable(const presence_member_t *member,
			       const presence_scope_t *scope, usec_t now)
{
	return presence_is_in_zone(member, scope->zone, now) &&
	       (member->ready ||
		(scope->starting && presence_is_starting(member, now)));
}

/* Collect the usable entries of a scope, with @impaired also impaired ones. */
static unsigned presence_collect(const presence_table_t *table,
				 const presence_scope_t *scope, bool impaired,
				 usec_t now, const presence_member_t **out,
				 unsigned max)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, table->members);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const presence_member_t *member = value;

		if (presence_is_usable(member, scope, now) &&
		    (impaired || !presence_is_impaired(member, now)))
			out[count++] = member;
	}
	return count;
}

/* Whether @count entries that are not impaired can serve the callers of a scope. */
static bool presence_are_enough(const presence_table_t *table,
				const presence_scope_t *scope, unsigned count,
				usec_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned usable = 0;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		usable += presence_is_usable(value, scope, now);
	return count > 0 && count * PRESENCE_UNIMPAIRED_PART >= usable;
}

unsigned presence_table_choose(const presence_table_t *table, const char *zone,
			       usec_t now, const presence_member_t **out,
			       unsigned max)
{
	presence_scope_t near = presence_scope(table, zone, now);
	unsigned count = presence_collect(table, &near, false, now, out, max);
	presence_scope_t all;

	if (count >= PRESENCE_ZONE_MIN &&
	    presence_are_enough(table, &near, count, now))
		return count;
	all = presence_scope(table, NULL, now);
	count = presence_collect(table, &all, false, now, out, max);
	if (presence_are_enough(table, &all, count, now))
		return count;
	count = presence_collect(table, &near, true, now, out, max);
	if (count >= PRESENCE_ZONE_MIN)
		return count;
	return presence_collect(table, &all, true, now, out, max);
}

bool presence_table_is_ready(const presence_table_t *table, const char *name,
			     usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const presence_member_t *member = value;

		if (member->ready && presence_is_live(member, now) &&
		    !presence_is_impaired(member, now) &&
		    !strcmp(member->name, name))
			return true;
	}
	return false;
}

const presence_member_t *presence_table_choose_one(
	const presence_table_t *table, const char *zone, const char *key,
	usec_t now)
{
	const presence_member_t *best = NULL;
	uint64_t best_rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const presence_member_t *member = value;
		uint64_t rank = hl_hash(member->name, strlen(member->name),
					hl_hash(key, strlen(key), 0)) >>
				1;

		if (!member->ready || !presence_is_live(member, now) ||
		    presence_is_impaired(member, now))
			continue;
		if (!strcmp(member->zone, zone))
			rank |= 1ULL << 63;
		if (best && rank <= best_rank)
			continue;
		best = member;
		best_rank = rank;
	}
	return best;
}

static uint64_t presence_peer_rank(const presence_member_t *member, uint64_t id)
{
	return hl_hash(member->call_address, strlen(member->call_address), id);
}

/* A member with its rank for the entry that asks. */
typedef struct {
	uint64_t rank;
	const presence_member_t *member;
} presence_ranked_t;

static int presence_compare_rank(const void *a, const void *b)
{
	const presence_ranked_t *x = a;
	const presence_ranked_t *y = b;

	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* Size of an address in a datagram: XDR has a length before a string, and pads it. */
static size_t presence_peer_bytes(const presence_member_t *member)
{
	return BYTES_PER_XDR_UNIT + RNDUP(strlen(member->call_address));
}

void presence_table_peers(const presence_table_t *table, uint64_t id,
			  const char *zone, usec_t now,
			  presence_peers_list_t *out)
{
	unsigned max = g_hash_table_size(table->members);
	const presence_member_t **members =
		calloc(max + 1, sizeof(const presence_member_t *));
	presence_ranked_t *ranked = calloc(max + 1, sizeof(*ranked));
	size_t left = PRESENCE_PEERS_BYTES_MAX;
	unsigned count;
	unsigned i;

	out->count = 0;
	if (!*zone)
		id += (uint64_t)(now / PRESENCE_ROTATE_INTERVAL);
	if (!members || !ranked)
		goto out;
	count = presence_table_choose(table, zone, now, members, max);
	for (i = 0; i < count; i++) {
		ranked[i].rank = presence_peer_rank(members[i], id);
		ranked[i].member = members[i];
	}
	qsort(ranked, count, sizeof(*ranked), presence_compare_rank);
	for (i = 0; i < count && i < PRESENCE_PEERS_MAX; i++) {
		size_t bytes = presence_peer_bytes(ranked[i].member);

		if (bytes > left)
			break;
		left -= bytes;
		strcpy(out->addresses[out->count++],
		       ranked[i].member->call_address);
	}
out:
	free(members);
	free(ranked);
}
