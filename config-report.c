#include <string.h>
#include "config-report.h"
#include "config-tree.h"

static config_requester_t *config_report_find_requester(config_report_t *report,
							const char *vm)
{
	unsigned i;

	for (i = 0; i < report->requester_count; i++)
		if (!strcmp(report->requesters[i].vm, vm))
			return &report->requesters[i];
	return NULL;
}

/* Allocates a requester; without a free one the least recently seen is
 * replaced. */
static config_requester_t *config_report_alloc_requester(
	config_report_t *report)
{
	config_requester_t *oldest = report->requesters;
	unsigned i;

	if (report->requester_count < CONFIG_REPORT_REQUESTERS_MAX)
		return &report->requesters[report->requester_count++];
	for (i = 1; i < report->requester_count; i++)
		if (report->requesters[i].last_seen < oldest->last_seen)
			oldest = &report->requesters[i];
	return oldest;
}

static void config_report_remove_lost(config_report_t *report, const char *vm)
{
	unsigned i;

	for (i = 0; i < report->lost_count; i++)
		if (!strcmp(report->lost[i].vm, vm))
			report->lost[i--] = report->lost[--report->lost_count];
}

void config_report_record(config_report_t *report,
			  const follow_fetch_args_t *args, usec_t now)
{
	config_requester_t *requester = config_report_find_requester(report,
								     args->vm);
	u_int i;

	if (!hl_name_valid(args->vm))
		return;
	if (!requester)
		requester = config_report_alloc_requester(report);
	memset(requester, 0, sizeof(*requester));
	strcpy(requester->vm, args->vm);
	requester->last_seen = now;
	requester->have = args->have;
	requester->floor = args->report.min_revision;
	for (i = 0; i < args->report.lagging.lagging_len; i++) {
		const follow_lagging_t *lagging =
			&args->report.lagging.lagging_val[i];

		if (!hl_name_valid(lagging->vm))
			continue;
		strcpy(requester->lagging[requester->lagging_count].vm,
		       lagging->vm);
		requester->lagging[requester->lagging_count++].revision =
			lagging->revision;
	}
}

static void config_report_add_lost(config_report_t *report, const char *vm,
				   uint64_t floor, usec_t now)
{
	const config_requester_t *requester =
		config_report_find_requester(report, vm);
	config_lost_t *lost;

	if (report->lost_count == CONFIG_REPORT_LOST_MAX)
		return;
	lost = &report->lost[report->lost_count++];
	strcpy(lost->vm, vm);
	lost->revision = requester && requester->have < floor ?
				 requester->have :
				 floor;
	lost->lost_at = now;
}

void config_report_record_lost(config_report_t *report,
			       const owner_member_t *old, unsigned old_count,
			       const config_report_view_t *view, uint64_t floor,
			       usec_t now)
{
	unsigned i;

	for (i = 0; i < view->count; i++)
		config_report_remove_lost(report, view->members[i].name);
	for (i = 0; i < old_count; i++)
		if (config_tree_find(view->members, view->count, old[i].name) <
		    0)
			config_report_add_lost(report, old[i].name, floor, now);
}

/* Lists a VM as lagging. If the list is full, the floor is lowered to the VM's
 * revision instead. */
static void config_report_add_lagging(config_summary_t *out, const char *vm,
				      uint64_t revision)
{
	unsigned i;

	for (i = 0; i < out->lagging_count; i++)
		if (!strcmp(out->lagging[i].vm, vm))
			return;
	if (out->lagging_count == FOLLOW_LAGGING_MAX) {
		if (revision < out->floor)
			out->floor = revision;
		return;
	}
	strcpy(out->lagging[out->lagging_count].vm, vm);
	out->lagging[out->lagging_count++].revision = revision;
}

static void config_report_add_subtree(const config_requester_t *requester,
				      config_summary_t *out)
{
	unsigned i;

	if (requester->floor < out->floor)
		out->floor = requester->floor;
	for (i = 0; i < requester->lagging_count; i++)
		config_report_add_lagging(out, requester->lagging[i].vm,
					  requester->lagging[i].revision);
}

/* Accounts for a child in the tree that has no recent report. */
static void config_report_add_silent(config_report_t *report,
				     const config_report_view_t *view,
				     const char *vm, usec_t now,
				     config_summary_t *out)
{
	const config_requester_t *requester =
		config_report_find_requester(report, vm);

	if (requester && now - requester->last_seen <= report->max_age)
		return;
	if (now - view->changed_at <= report->max_age)
		out->floor = 0;
	else
		config_report_add_lagging(out, vm,
					  requester ? requester->have : 0);
}

static void config_report_add_lost_vms(config_report_t *report, usec_t now,
				       config_summary_t *out)
{
	unsigned i;

	for (i = 0; i < report->lost_count; i++) {
		if (now - report->lost[i].lost_at >
		    CONFIG_REPORT_LOST_RETENTION) {
			report->lost[i--] = report->lost[--report->lost_count];
			continue;
		}
		config_report_add_lagging(out, report->lost[i].vm,
					  report->lost[i].revision);
	}
}

void config_report_gather(config_report_t *report,
			  const config_report_view_t *view, usec_t now,
			  config_summary_t *out)
{
	unsigned i;

	out->floor = view->revision;
	out->lagging_count = 0;
	for (i = 0; i < report->requester_count; i++)
		if (now - report->requesters[i].last_seen <= report->max_age)
			config_report_add_subtree(&report->requesters[i], out);
	for (i = 0; view->self >= 0 && i < view->count; i++)
		if (config_tree_is_child((int)i, view->self, view->fanout))
			config_report_add_silent(report, view,
						 view->members[i].name, now,
						 out);
	if (view->self <= 0)
		config_report_add_lost_vms(report, now, out);
}
