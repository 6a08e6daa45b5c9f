#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "presence.h"

/* An entry that was silent for so long is not offered to callers. */
#define PRESENCE_LIVE (2200 * USEC_PER_MS)
/* After this it is forgotten. */
#define PRESENCE_KEPT (60 * USEC_PER_SEC)
/* With fewer ready entries in its zone a caller is told of all zones. */
#define PRESENCE_ZONE_MIN 2

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

static gboolean presence_is_old(gpointer key, gpointer value, gpointer context)
{
	const presence_member_t *member = value;
	const usec_t *now = context;

	(void)key;
	return *now - member->heard > PRESENCE_KEPT;
}

/* A start under the same address takes the place of the one before. */
static gboolean presence_is_replaced(gpointer key, gpointer value,
				     gpointer context)
{
	const presence_member_t *member = value;
	const presence_member_t *next = context;

	(void)key;
	return member->id != next->id && !strcmp(member->calls, next->calls);
}

static presence_member_t *presence_add(presence_table_t *table,
				       const presence_entry_t *said, usec_t now)
{
	const presence_identity_t *identity;
	presence_member_t *member;

	if (!said->identity.identity_len)
		return NULL;
	g_hash_table_foreach_remove(table->members, presence_is_old, &now);
	if (g_hash_table_size(table->members) >= PRESENCE_ENTRIES_MAX)
		return NULL;
	member = calloc(1, sizeof(*member));
	if (!member)
		return NULL;
	identity = said->identity.identity_val;
	member->id = said->id;
	strcpy(member->name, identity->name);
	strcpy(member->zone, identity->zone);
	strcpy(member->calls, identity->call_address);
	g_hash_table_foreach_remove(table->members, presence_is_replaced,
				    member);
	g_hash_table_insert(table->members, &member->id, member);
	return member;
}

bool presence_table_take(presence_table_t *table, const presence_entry_t *said,
			 const struct sockaddr_storage *from, socklen_t length,
			 usec_t now)
{
	presence_member_t *member;
	uint64_t id = said->id;

	member = g_hash_table_lookup(table->members, &id);
	if (!member)
		member = presence_add(table, said, now);
	if (!member)
		return false;
	member->ready = said->ready;
	member->revision = said->revision;
	member->heard = now;
	memcpy(&member->from, from, length);
	member->from_length = length;
	return true;
}

static bool presence_is_live(const presence_member_t *member, usec_t now)
{
	return now - member->heard <= PRESENCE_LIVE;
}

unsigned presence_table_live(const presence_table_t *table, usec_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += presence_is_live(value, now);
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

/* The ready ones of a zone, or of all with NULL. */
static unsigned presence_collect(const presence_table_t *table,
				 const char *zone, usec_t now,
				 const presence_member_t **out, unsigned max)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, table->members);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const presence_member_t *member = value;

		if (!member->ready || !presence_is_live(member, now))
			continue;
		if (!zone || !strcmp(member->zone, zone))
			out[count++] = member;
	}
	return count;
}

unsigned presence_table_choose(const presence_table_t *table, const char *zone,
			       usec_t now, const presence_member_t **out,
			       unsigned max)
{
	unsigned count = presence_collect(table, zone, now, out, max);

	if (count < PRESENCE_ZONE_MIN)
		count = presence_collect(table, NULL, now, out, max);
	return count;
}
