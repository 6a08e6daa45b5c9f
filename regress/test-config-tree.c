#include <glib.h>
#include <string.h>
#include "config-report.h"
#include "config-tree.h"

/* The fan-out tree and the reports of revisions that entries send up in it. */

#define SECOND USEC_PER_SEC

/* The ancestors of every entry lead to the root, and no entry has more children
 * than the fan-out. */
static void test_tree_shape(void)
{
	unsigned fanout, count;

	for (fanout = 1; fanout <= 8; fanout++) {
		for (count = 1; count <= 200; count++) {
			unsigned children = 0;
			int place = (int)count - 1, i;

			for (i = 0; i < (int)count; i++)
				children += config_tree_is_child(i, place / 9,
								 fanout);
			g_assert_cmpuint(children, <=, fanout);
			while (place > 0) {
				int up = config_tree_ancestor(place, fanout, 0);

				g_assert_cmpint(up, <, place);
				place = up;
			}
			g_assert_cmpint(config_tree_ancestor(0, fanout, 0), ==,
					-1);
		}
	}
}

/* Four live entries; node-1 is the root, the others its children. */
typedef struct {
	owner_member_t members[4];
	config_report_t report;
	config_report_view_t view;
} group_t;

static void group_init(group_t *group)
{
	unsigned i;

	memset(group, 0, sizeof(*group));
	for (i = 0; i < 4; i++)
		g_snprintf(group->members[i].name, HL_NAME_MAX, "node-%u",
			   i + 1);
	group->report.max_age = SECOND;
	group->view = (config_report_view_t){ .members = group->members,
					      .count = 4,
					      .self = 0,
					      .fanout = 3,
					      .revision = 7 };
}

static void record_request(group_t *group, const char *vm, uint64_t floor,
			   usec_t now)
{
	follow_fetch_args_t args = { .vm = (char *)vm,
				     .have = floor,
				     .report = { .min_revision = floor } };

	config_report_record(&group->report, &args, now);
}

static const struct {
	const char *name;
	usec_t requested_at[3]; /* polls of node-2 ... node-4, in s; 0: never */
	uint64_t floor[3];	/* floors in the reports of these polls */
	usec_t changed_at;	/* last change of members, in s */
	uint64_t expect;	/* floor at 10 s */
	const char *lagging;
} cases[] = {
	{ "all", { 10, 10, 10 }, { 7, 7, 7 }, 0, 7, NULL },
	{ "one-lagging", { 10, 10, 10 }, { 7, 5, 7 }, 0, 5, NULL },
	{ "one-silent", { 10, 4, 10 }, { 7, 6, 7 }, 0, 7, "node-3" },
	{ "one-without-report", { 10, 0, 10 }, { 7, 0, 7 }, 0, 7, "node-3" },
	{ "first-report-still-due", { 10, 0, 10 }, { 7, 0, 7 }, 10, 0, NULL },
};

static void test_report_case(gconstpointer data)
{
	const size_t i = GPOINTER_TO_SIZE(data);
	config_summary_t out;
	group_t group;
	unsigned k;

	group_init(&group);
	group.view.changed_at = cases[i].changed_at * SECOND;
	for (k = 0; k < 3; k++)
		if (cases[i].requested_at[k])
			record_request(&group, group.members[k + 1].name,
				       cases[i].floor[k],
				       cases[i].requested_at[k] * SECOND);
	config_report_gather(&group.report, &group.view, 10 * SECOND, &out);
	g_assert_cmpuint(out.floor, ==, cases[i].expect);
	g_assert_cmpuint(out.lagging_count, ==, cases[i].lagging ? 1 : 0);
	if (cases[i].lagging)
		g_assert_cmpstr(out.lagging[0].vm, ==, cases[i].lagging);
}

/* A lost entry is reported as lagging for CONFIG_REPORT_LOST_RETENTION, unless
 * it is live again. */
static void test_report_lost(void)
{
	config_report_view_t three;
	config_summary_t out;
	group_t group;

	group_init(&group);
	three = group.view;
	three.count = 3;
	record_request(&group, "node-2", 7, 10 * SECOND);
	record_request(&group, "node-3", 7, 10 * SECOND);
	record_request(&group, "node-4", 6, 8 * SECOND);
	config_report_record_lost(&group.report, group.members, 4, &three, 7,
				  10 * SECOND);
	config_report_gather(&group.report, &three, 10 * SECOND, &out);
	g_assert_cmpuint(out.lagging_count, ==, 1);
	g_assert_cmpstr(out.lagging[0].vm, ==, "node-4");
	g_assert_cmpuint(out.lagging[0].revision, ==, 6);
	config_report_record_lost(&group.report, group.members, 3, &group.view,
				  7, 11 * SECOND);
	record_request(&group, "node-4", 7, 11 * SECOND);
	config_report_gather(&group.report, &group.view, 11 * SECOND, &out);
	g_assert_cmpuint(out.lagging_count, ==, 0);
	g_assert_cmpuint(out.floor, ==, 7);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-tree/shape", test_tree_shape);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/config-tree/report-%s",
					     cases[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i),
				     test_report_case);
		g_free(path);
	}
	g_test_add_func("/config-tree/lost", test_report_lost);
	return g_test_run();
}
