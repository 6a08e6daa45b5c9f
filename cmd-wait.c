#include <string.h>
#include <unistd.h>
#include "cmd.h"

/* Between two looks at the reports. */
#define CMD_WAIT_POLL_US (250 * USEC_PER_MS)
/* An older report says nothing about now. */
#define CMD_FRESH_MS 5000

/* The newest report of each VM over all keepers. */
static void cmd_wait_gather(const cmd_t *cmd, GHashTable *reports)
{
	unsigned i;
	u_int k;

	for (i = 0; i < cmd->list.count; i++) {
		keeper_state_res_t res;

		if (cmd_keeper_state(cmd->list.items[i], &res, NULL))
			continue;
		for (k = 0; k < res.applied.applied_len; k++) {
			keeper_applied_t *row = &res.applied.applied_val[k];
			keeper_applied_t *held = g_hash_table_lookup(reports,
								     row->vm);

			if (held && held->age_ms <= row->age_ms)
				continue;
			held = g_memdup2(row, sizeof(*row));
			held->vm = g_strdup(row->vm);
			g_hash_table_replace(reports, held->vm, held);
		}
		xdr_free((xdrproc_t)xdr_keeper_state_res_t, (char *)&res);
	}
}

static void cmd_wait_row_free(void *data)
{
	keeper_applied_t *row = data;

	g_free(row->vm);
	g_free(row);
}

static void cmd_wait_judge(const keeper_applied_t *row, uint64_t revision,
			   cmd_lacking_t *lacking)
{
	if (row->age_ms > CMD_FRESH_MS)
		return;
	lacking->reports++;
	if (row->revision >= revision)
		return;
	g_string_append_printf(lacking->names, "%s%s (revision %" PRIu64 ")",
			       lacking->names->len ? ", " : "", row->vm,
			       (uint64_t)row->revision);
	json_array_append_new(lacking->list,
			      json_pack("{s:s, s:I}", "vm", row->vm, "revision",
					(json_int_t)row->revision));
}

/* One look: who lacks it now? */
static bool cmd_wait_look(const cmd_t *cmd, uint64_t revision,
			  cmd_lacking_t *lacking)
{
	GHashTable *reports = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, cmd_wait_row_free);
	GHashTableIter iter;
	gpointer row;

	lacking->reports = 0;
	g_string_truncate(lacking->names, 0);
	json_array_clear(lacking->list);
	cmd_wait_gather(cmd, reports);
	g_hash_table_iter_init(&iter, reports);
	while (g_hash_table_iter_next(&iter, NULL, &row))
		cmd_wait_judge(row, revision, lacking);
	g_hash_table_destroy(reports);
	if (!lacking->reports)
		g_string_assign(lacking->names, "no entry has reported");
	return lacking->reports && !json_array_size(lacking->list);
}

bool cmd_wait(cmd_t *cmd, uint64_t revision, int seconds,
	      cmd_lacking_t *lacking)
{
	usec_t until = time_now() + seconds * USEC_PER_SEC;

	lacking->names = g_string_new("");
	lacking->list = json_array();
	for (;;) {
		if (cmd_wait_look(cmd, revision, lacking))
			return true;
		if (time_now() >= until)
			return false;
		usleep(CMD_WAIT_POLL_US);
	}
}

void cmd_lacking_free(cmd_lacking_t *lacking)
{
	g_string_free(lacking->names, TRUE);
	json_decref(lacking->list);
}
