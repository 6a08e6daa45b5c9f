#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-target.h"
#include "keeper-registry.h"

/*
 * When each copy was last seen by this keeper or another one. Copies are
 * identified by a hash of their name.
 */

typedef struct {
	uint64_t id;
	usec_t last_seen; /* time of the last announcement */
	bool unreported;  /* seen here, not yet reported to the other keepers */
} last_seen_copy_t;

struct keeper_last_seen {
	GHashTable *copies; /* id to last_seen_copy_t */
};

keeper_last_seen_t *keeper_last_seen_new(void)
{
	keeper_last_seen_t *table = calloc(1, sizeof(*table));

	if (table)
		table->copies = g_hash_table_new_full(g_int64_hash,
						      g_int64_equal, NULL,
						      free);
	return table;
}

void keeper_last_seen_free(keeper_last_seen_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->copies);
	free(table);
}

uint64_t keeper_last_seen_id(const char *copy)
{
	return hl_hash(copy, strlen(copy), 0);
}

/* Find a copy; an unknown one is added as seen at @now. Return NULL if out of
 * memory. */
static last_seen_copy_t *last_seen_find_or_add(keeper_last_seen_t *table,
					       uint64_t id, usec_t now)
{
	last_seen_copy_t *copy = g_hash_table_lookup(table->copies, &id);

	if (copy)
		return copy;
	copy = calloc(1, sizeof(*copy));
	if (!copy)
		return NULL;
	copy->id = id;
	copy->last_seen = now;
	g_hash_table_insert(table->copies, &copy->id, copy);
	return copy;
}

void keeper_last_seen_record(keeper_last_seen_t *table, uint64_t id, bool own,
			     usec_t now)
{
	last_seen_copy_t *copy = last_seen_find_or_add(table, id, now);

	if (!copy)
		return;
	copy->last_seen = now;
	copy->unreported = own;
}

unsigned keeper_last_seen_take_unreported(keeper_last_seen_t *table,
					  uint64_t *out, unsigned max)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, table->copies);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		last_seen_copy_t *copy = value;

		if (!copy->unreported)
			continue;
		copy->unreported = false;
		out[count++] = copy->id;
	}
	return count;
}

unsigned keeper_last_seen_find_silent(keeper_last_seen_t *table,
				      const config_t *config, usec_t silence,
				      usec_t now, config_target_t *out,
				      unsigned max)
{
	unsigned serving = 0;
	unsigned silent = 0;
	unsigned count = 0;
	u_int i;

	for (i = 0; i < config->targets.targets_len; i++) {
		const config_target_t *target = &config->targets.targets_val[i];
		const last_seen_copy_t *copy;

		copy = last_seen_find_or_add(table,
					     keeper_last_seen_id(target->name),
					     now);
		serving += config_target_serves(target);
		if (!copy || now - copy->last_seen < silence)
			continue;
		silent += config_target_serves(target);
		if (count < max)
			out[count++] = *target;
	}
	/* If more than half of the serving copies are silent, the keepers are
	 * more likely to be cut off than the copies to have failed. */
	return 2 * silent > serving ? 0 : count;
}

void keeper_last_seen_reset(keeper_last_seen_t *table)
{
	g_hash_table_remove_all(table->copies);
}
