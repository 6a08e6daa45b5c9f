#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-target.h"
#include "keeper-registry.h"

typedef struct {
	uint64_t id;
	usec_t at;
	bool untold;
} heard_copy_t;

struct keeper_last_seen {
	GHashTable *copies; /* id to heard_copy_t */
};

keeper_last_seen_t *keeper_last_seen_new(void)
{
	keeper_last_seen_t *heard = calloc(1, sizeof(*heard));

	if (heard)
		heard->copies = g_hash_table_new_full(g_int64_hash,
						      g_int64_equal, NULL,
						      free);
	return heard;
}

void keeper_last_seen_free(keeper_last_seen_t *heard)
{
	if (!heard)
		return;
	g_hash_table_destroy(heard->copies);
	free(heard);
}

uint64_t keeper_last_seen_id(const char *copy)
{
	return hl_hash(copy, strlen(copy), 0);
}

static heard_copy_t *heard_copy(keeper_last_seen_t *heard, uint64_t id,
				usec_t now)
{
	heard_copy_t *copy = g_hash_table_lookup(heard->copies, &id);

	if (copy)
		return copy;
	copy = calloc(1, sizeof(*copy));
	if (!copy)
		return NULL;
	copy->id = id;
	copy->at = now;
	g_hash_table_insert(heard->copies, &copy->id, copy);
	return copy;
}

void keeper_last_seen_record(keeper_last_seen_t *heard, uint64_t id, bool own,
			     usec_t now)
{
	heard_copy_t *copy = heard_copy(heard, id, now);

	if (!copy)
		return;
	copy->at = now;
	copy->untold = own;
}

unsigned keeper_last_seen_take_unreported(keeper_last_seen_t *heard,
					  uint64_t *out, unsigned max)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, heard->copies);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		heard_copy_t *copy = value;

		if (!copy->untold)
			continue;
		copy->untold = false;
		out[count++] = copy->id;
	}
	return count;
}

unsigned keeper_last_seen_find_silent(keeper_last_seen_t *heard,
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
		const heard_copy_t *copy;

		copy = heard_copy(heard, keeper_last_seen_id(target->name),
				  now);
		serving += config_target_serves(target);
		if (!copy || now - copy->at < silence)
			continue;
		silent += config_target_serves(target);
		if (count < max)
			out[count++] = *target;
	}
	return 2 * silent > serving ? 0 : count;
}

void keeper_last_seen_reset(keeper_last_seen_t *heard)
{
	g_hash_table_remove_all(heard->copies);
}
