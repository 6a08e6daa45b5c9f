#include <string.h>
#include "config-report.h"
#include "config-tree.h"

static config_asker_t *config_report_asker(config_report_t *report,
					   const char *vm)
{
	unsigned i;

	for (i = 0; i < report->asker_count; i++)
		if (!strcmp(report->askers[i].vm, vm))
			return &report->askers[i];
	return NULL;
}

/* Room for a new asker: a free place, else that of the most silent one. */
static config_asker_t *config_report_room(config_report_t *report)
{
	config_asker_t *oldest = report->askers;
	unsigned i;

	if (report->asker_count < CONFIG_REPORT_ASKERS_MAX)
		return &report->askers[report->asker_count++];
	for (i = 1; i < report->asker_count; i++)
		if (report->askers[i].heard < oldest->heard)
			oldest = &report->askers[i];
	return oldest;
}

static void config_report_forget_lost(config_report_t *report, const char *vm)
{
	unsigned i;

	for (i = 0; i < report->lost_count; i++)
		if (!strcmp(report->lost[i].vm, vm))
			report->lost[i--] = report->lost[--report->lost_count];
}

void config_report_note(config_report_t *report,
			const follow_fetch_args_t *args, usec_t now)
{
	config_asker_t *asker = config_report_asker(report, args->vm);
	u_int i;

	if (!hl_name_valid(args->vm))
		return;
	if (!asker)
		asker = config_report_room(report);
	memset(asker, 0, sizeof(*asker));
	strcpy(asker->vm, args->vm);
	asker->heard = now;
	asker->have = args->have;
	asker->floor = args->report.min_revision;
	for (i = 0; i < args->report.lagging.lagging_len; i++) {
		const follow_lagging_t *laggard =
			&args->report.lagging.lagging_val[i];

		if (!hl_name_valid(laggard->vm))
			continue;
		strcpy(asker->laggards[asker->laggard_count].vm, laggard->vm);
		asker->laggards[asker->laggard_count++].revision =
			laggard->revision;
	}
}

static void config_report_add_lost(config_report_t *report, const char *vm,
				   uint64_t floor, usec_t now)
{
	const config_asker_t *asker = config_report_asker(report, vm);
	config_lost_t *lost;

	if (report->lost_count == CONFIG_REPORT_LOST_MAX)
		return;
	lost = &report->lost[report->lost_count++];
	strcpy(lost->vm, vm);
	lost->revision = asker && asker->have < floor ? asker->have : floor;
	lost->since = now;
}

void config_report_lost(config_report_t *report, const owner_member_t *old,
			unsigned old_count, const config_report_view_t *view,
			uint64_t floor, usec_t now)
{
	unsigned i;

	for (i = 0; i < view->count; i++)
		config_report_forget_lost(report, view->members[i].name);
	for (i = 0; i < old_count; i++)
		if (config_tree_find(view->members, view->count, old[i].name) <
		    0)
			config_report_add_lost(report, old[i].name, floor, now);
}

/* Name a VM; when the list is full its revision holds down the floor. */
static void config_report_name(config_summary_t *out, const char *vm,
			       uint64_t revision)
{
	unsigned i;

	for (i = 0; i < out->laggard_count; i++)
		if (!strcmp(out->laggards[i].vm, vm))
			return;
	if (out->laggard_count == FOLLOW_LAGGING_MAX) {
		if (revision < out->floor)
			out->floor = revision;
		return;
	}
	strcpy(out->laggards[out->laggard_count].vm, vm);
	out->laggards[out->laggard_count++].revision = revision;
}

static void config_report_add_asker(const config_asker_t *asker,
				    config_summary_t *out)
{
	unsigned i;

	if (asker->floor < out->floor)
		out->floor = asker->floor;
	for (i = 0; i < asker->laggard_count; i++)
		config_report_name(out, asker->laggards[i].vm,
				   asker->laggards[i].revision);
}

/* A child that the tree expects here and that does not ask. */
static void config_report_add_silent(config_report_t *report,
				     const config_report_view_t *view,
				     const char *vm, usec_t now,
				     config_summary_t *out)
{
	const config_asker_t *asker = config_report_asker(report, vm);

	if (asker && now - asker->heard <= report->fresh)
		return;
	if (now - view->since <= report->fresh)
		out->floor = 0;
	else
		config_report_name(out, vm, asker ? asker->have : 0);
}

static void config_report_add_lost_all(config_report_t *report, usec_t now,
				       config_summary_t *out)
{
	unsigned i;

	for (i = 0; i < report->lost_count; i++) {
		if (now - report->lost[i].since > CONFIG_REPORT_LOST_HOLD) {
			report->lost[i--] = report->lost[--report->lost_count];
			continue;
		}
		config_report_name(out, report->lost[i].vm,
				   report->lost[i].revision);
	}
}

void config_report_gather(config_report_t *report,
			  const config_report_view_t *view, usec_t now,
			  config_summary_t *out)
{
	unsigned i;

	out->floor = view->revision;
	out->laggard_count = 0;
	for (i = 0; i < report->asker_count; i++)
		if (now - report->askers[i].heard <= report->fresh)
			config_report_add_asker(&report->askers[i], out);
	for (i = 0; view->self >= 0 && i < view->count; i++)
		if (config_tree_is_child((int)i, view->self, view->fanout))
			config_report_add_silent(report, view,
						 view->members[i].name, now,
						 out);
	if (view->self <= 0)
		config_report_add_lost_all(report, now, out);
}
