#include <string.h>
#include <unistd.h>
#include "cmd.h"

/*
 * Wait until a revision is in force on all VMs, from the reports that entries
 * send to the keepers.
 */

/* Interval between two fetches of the reports. */
#define CMD_WAIT_POLL_INTERVAL_US (250 * USEC_PER_MS)
/* Maximum age of a report; older reports may be outdated and are ignored. */
#define CMD_REPORT_MAX_AGE_MS 5000

/* Collect the newest report of each VM from all keepers. */
static void cmd_wait_collect_reports(const cmd_t *cmd, GHashTable *reports)
{
	unsigned i;
	u_int k;

	for (i = 0; i < cmd->list.count; i++) {
		keeper_state_res_t res;

		if (cmd_keeper_state(cmd->list.items[i], &res, NULL))
			continue;
		for (k = 0; k < res.applied.applied_len; k++) {
			keeper_applied_t *report = &res.applied.applied_val[k];
			keeper_applied_t *newest =
				g_hash_table_lookup(reports, report->vm);

			if (newest && newest->age_ms <= report->age_ms)
				continue;
			newest = g_memdup2(report, sizeof(*report));
			newest->vm = g_strdup(report->vm);
			g_hash_table_replace(reports, newest->vm, newest);
		}
		xdr_free((xdrproc_t)xdr_keeper_state_res_t, (char *)&res);
	}
}

static void cmd_wait_report_free(void *data)
{
	keeper_applied_t *report = data;

	g_free(report->vm);
	g_free(report);
}

/* Add the VM of a recent report to @lagging if its revision is too old. */
static void cmd_wait_check_report(const keeper_applied_t *report,
				  uint64_t revision, cmd_lagging_t *lagging)
{
	if (report->age_ms > CMD_REPORT_MAX_AGE_MS)
		return;
	lagging->reports++;
	if (report->revision >= revision)
		return;
	g_string_append_printf(lagging->names, "%s%s (revision %" PRIu64 ")",
			       lagging->names->len ? ", " : "", report->vm,
			       (uint64_t)report->revision);
	json_array_append_new(lagging->list,
			      json_pack("{s:s, s:I}", "vm", report->vm,
					"revision",
					(json_int_t)report->revision));
}

/* Fetch the reports once; true if no VM lags. */
static bool cmd_wait_poll(const cmd_t *cmd, uint64_t revision,
			  cmd_lagging_t *lagging)
{
	GHashTable *reports = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, cmd_wait_report_free);
	GHashTableIter iter;
	gpointer report;

	lagging->reports = 0;
	g_string_truncate(lagging->names, 0);
	json_array_clear(lagging->list);
	cmd_wait_collect_reports(cmd, reports);
	g_hash_table_iter_init(&iter, reports);
	while (g_hash_table_iter_next(&iter, NULL, &report))
		cmd_wait_check_report(report, revision, lagging);
	g_hash_table_destroy(reports);
	if (!lagging->reports)
		g_string_assign(lagging->names, "no entry has reported");
	return lagging->reports && !json_array_size(lagging->list);
}

bool cmd_wait(cmd_t *cmd, uint64_t revision, int seconds,
	      cmd_lagging_t *lagging)
{
	usec_t deadline = time_now() + seconds * USEC_PER_SEC;

	lagging->names = g_string_new("");
	lagging->list = json_array();
	for (;;) {
		if (cmd_wait_poll(cmd, revision, lagging))
			return true;
		if (time_now() >= deadline)
			return false;
		usleep(CMD_WAIT_POLL_INTERVAL_US);
	}
}

void cmd_lagging_free(cmd_lagging_t *lagging)
{
	g_string_free(lagging->names, TRUE);
	json_decref(lagging->list);
}
