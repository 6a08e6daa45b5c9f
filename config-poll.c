#include <stdlib.h>
#include <string.h>
#include "config-follow-internal.h"
#include "config-tree.h"

/*
 * The polling thread of a follower in the fan-out tree. It polls the parent,
 * or at the root the keepers, and fails over to ancestors and then to the
 * keepers.
 */

/* Number of polls of an ancestor before the parent is tried again. */
#define CONFIG_POLL_ANCESTOR_POLLS_MAX 10
/* Maximum age of the confirmation of a parent's revision, in poll intervals,
 * and the minimum of that age; after it the next source is polled. */
#define CONFIG_POLL_STALE_POLLS 5
#define CONFIG_POLL_STALE_AGE_MIN (5 * USEC_PER_SEC)
/* After a failed poll the pause before the next one is divided by this. */
#define CONFIG_POLL_RETRY_DIVISOR 4

/* Result of one poll. */
typedef enum {
	CONFIG_POLL_FAILED,
	CONFIG_POLL_DONE,
	CONFIG_POLL_MORE, /* more deltas may be available: poll again */
} config_poll_result_t;

static bool config_poll_members_equal(const owner_member_t *a,
				      const owner_member_t *b, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (strcmp(a[i].name, b[i].name) ||
		    strcmp(a[i].rpc_address, b[i].rpc_address))
			return false;
	return true;
}

static config_report_view_t config_poll_view(const config_follow_t *follow)
{
	config_report_view_t view = {
		.members = follow->live,
		.count = follow->live_count,
		.fanout = (unsigned)follow->settings.fanout,
		.revision = follow->revision,
		.changed_at = follow->live_changed_at,
	};

	view.self = config_tree_find(view.members, view.count, follow->name);
	return view;
}

/* Updates the list of live entries. After a change the parent in the new tree
 * is polled next. */
static void config_poll_update_members(config_follow_t *follow, usec_t now)
{
	owner_member_t *old = follow->live;
	unsigned old_count = follow->live_count;
	config_report_view_t view;
	unsigned count;

	if (!follow->members)
		return;
	count = follow->members(follow->members_context, follow->live_next,
				CONFIG_FOLLOW_MEMBERS_MAX);
	config_tree_sort(follow->live_next, count);
	if (count == old_count &&
	    config_poll_members_equal(old, follow->live_next, count))
		return;
	follow->live = follow->live_next;
	follow->live_next = old;
	follow->live_count = count;
	follow->live_changed_at = now;
	follow->ancestor_steps = 0;
	view = config_poll_view(follow);
	pthread_mutex_lock(&follow->lock);
	config_report_record_lost(&follow->report, old, old_count, &view,
				  follow->last_report.floor, now);
	pthread_mutex_unlock(&follow->lock);
}

/* Copies the address of the keeper to poll. */
static void config_poll_current_keeper(config_follow_t *follow, char *out)
{
	pthread_mutex_lock(&follow->lock);
	strcpy(out, follow->keepers.list.items[follow->keeper_index %
					       follow->keepers.list.count]);
	pthread_mutex_unlock(&follow->lock);
}

/* Connects to the current ancestor, or to a keeper above the root or before a
 * quorum confirmed the first revision. */
static int config_poll_connect(config_follow_t *follow,
			       const config_report_view_t *view,
			       hl_error_t *err)
{
	usec_t timeout = follow->settings.timeout_ms * USEC_PER_MS;
	char address[HL_ADDRESS_MAX];
	int index = -1;

	if (follow->ready)
		index = config_tree_ancestor(view->self, view->fanout,
					     follow->ancestor_steps);
	if (index >= 0)
		return config_source_open(&follow->source,
					  view->members[index].rpc_address,
					  false, timeout, err);
	strcpy(address, follow->leader);
	if (!*address)
		config_poll_current_keeper(follow, address);
	return config_source_open(&follow->source, address, true, timeout, err);
}

/* Summarizes the subtree, for the parent or the keepers. */
static void config_poll_gather(config_follow_t *follow,
			       const config_report_view_t *view, usec_t now,
			       config_summary_t *out)
{
	pthread_mutex_lock(&follow->lock);
	config_report_gather(&follow->report, view, now, out);
	pthread_mutex_unlock(&follow->lock);
}

static config_poll_result_t config_poll_parent(config_follow_t *follow,
					       const config_report_view_t *view,
					       usec_t now)
{
	usec_t stale_age = CONFIG_POLL_STALE_POLLS * follow->settings.poll_ms *
			   USEC_PER_MS;
	follow_lagging_t lagging[FOLLOW_LAGGING_MAX];
	follow_fetch_args_t args = { .vm = follow->name,
				     .have = follow->revision };
	config_summary_t *summary = &follow->last_report;
	follow_fetch_res_t res = { 0 };
	config_poll_result_t result = CONFIG_POLL_FAILED;
	uint64_t before = follow->revision;
	usec_t age;
	unsigned i;

	config_poll_gather(follow, view, now, summary);
	for (i = 0; i < summary->lagging_count; i++)
		lagging[i] = (follow_lagging_t){ summary->lagging[i].vm,
						 summary->lagging[i].revision };
	args.report.min_revision = summary->floor;
	args.report.lagging.lagging_val = lagging;
	args.report.lagging.lagging_len = summary->lagging_count;
	if (follow_fetch_1(args, &res, follow->source.client) != RPC_SUCCESS)
		goto out;
	age = res.age_ms * USEC_PER_MS;
	if (res.status != FOLLOW_OK ||
	    config_publish(follow, &res.body, CONFIG_UNCONFIRMED, now - age))
		goto out;
	if (stale_age < CONFIG_POLL_STALE_AGE_MIN)
		stale_age = CONFIG_POLL_STALE_AGE_MIN;
	if (age <= stale_age)
		result = follow->revision > before ? CONFIG_POLL_MORE :
						     CONFIG_POLL_DONE;
out:
	xdr_free((xdrproc_t)xdr_follow_fetch_res_t, (char *)&res);
	return result;
}

static bool config_poll_is_lagging(const config_summary_t *summary,
				   const char *vm)
{
	unsigned i;

	for (i = 0; i < summary->lagging_count; i++)
		if (!strcmp(summary->lagging[i].vm, vm))
			return true;
	return false;
}

/* Rows of the report to the keepers: the floor of the tree, the lagging VMs,
 * and one last row for each VM that was in the report before and has caught
 * up. */
static u_int config_poll_report_rows(config_follow_t *follow,
				     config_summary_t *before,
				     keeper_applied_t *rows)
{
	config_summary_t *current = &follow->last_report;
	u_int count = 0;
	unsigned i;

	rows[count++] = (keeper_applied_t){ follow->name, current->floor, 0 };
	for (i = 0; i < current->lagging_count; i++)
		rows[count++] = (keeper_applied_t){
			current->lagging[i].vm, current->lagging[i].revision, 0
		};
	for (i = 0; i < before->lagging_count; i++)
		if (!config_poll_is_lagging(current, before->lagging[i].vm))
			rows[count++] = (keeper_applied_t){
				before->lagging[i].vm, current->floor, 0
			};
	return count;
}

/* Sends the report of the root to the keepers. */
static void config_poll_report(config_follow_t *follow,
			       const config_report_view_t *view, usec_t now)
{
	config_report_view_t after = *view;
	config_summary_t before = follow->last_report;
	keeper_applied_t rows[1 + 2 * FOLLOW_LAGGING_MAX];
	keeper_report_args_t args = { { 0, rows } };
	char nothing;

	after.revision = follow->revision;
	config_poll_gather(follow, &after, now, &follow->last_report);
	args.applied.applied_len = config_poll_report_rows(follow, &before,
							   rows);
	if (keeper_report_1(args, &nothing, follow->source.client) !=
	    RPC_SUCCESS)
		config_source_close(&follow->source);
}

static config_poll_result_t config_poll_keeper(config_follow_t *follow,
					       const config_report_view_t *view,
					       usec_t now)
{
	keeper_fetch_args_t args = { follow->revision, TRUE };
	keeper_fetch_res_t res = { 0 };
	config_poll_result_t result = CONFIG_POLL_FAILED;
	bool ready = follow->ready;

	*follow->leader = 0;
	if (keeper_fetch_1(args, &res, follow->source.client) != RPC_SUCCESS)
		goto out;
	if (res.status == KEEPER_NOT_LEADER && res.leader)
		strcpy(follow->leader, res.leader);
	if (res.status != KEEPER_OK || !res.confirmed ||
	    config_publish(follow, &res.body, res.revision, now))
		goto out;
	if (ready)
		config_poll_report(follow, view, now);
	result = follow->revision < res.revision ? CONFIG_POLL_MORE :
						   CONFIG_POLL_DONE;
	strcpy(follow->leader, follow->source.address);
out:
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
	return result;
}

/* Selects the next source after a failure: the next ancestor, above the root
 * each keeper in turn, and after all keepers the parent again. */
static void config_poll_next_source(config_follow_t *follow,
				    const config_report_view_t *view)
{
	bool keeper = !follow->ready ||
		      config_tree_ancestor(view->self, view->fanout,
					   follow->ancestor_steps) < 0;

	config_source_close(&follow->source);
	metrics_add(follow->metrics.failures, 1);
	follow->ancestor_polls = 0;
	if (!keeper)
		follow->ancestor_steps++;
	else if (!*follow->leader &&
		 ++follow->keeper_index % follow->settings.keepers.count == 0)
		follow->ancestor_steps = 0;
}

/* Polls the current source once. */
static config_poll_result_t config_poll_once(config_follow_t *follow,
					     usec_t now)
{
	config_report_view_t view = config_poll_view(follow);
	config_poll_result_t result = CONFIG_POLL_FAILED;
	char quoted[2 * HL_MESSAGE_MAX];
	hl_error_t err;

	if (config_poll_connect(follow, &view, &err)) {
		*follow->leader = 0;
		log_event(LOG_LEVEL_DEBUG, "config-source-failed", "message=%s",
			  log_quote(err.message, quoted, sizeof(quoted)));
	} else if (follow->source.keeper) {
		result = config_poll_keeper(follow, &view, now);
	} else {
		result = config_poll_parent(follow, &view, now);
	}
	config_source_update_metrics(&follow->source);
	if (result == CONFIG_POLL_FAILED)
		config_poll_next_source(follow, &view);
	else if (follow->ancestor_steps &&
		 ++follow->ancestor_polls >= CONFIG_POLL_ANCESTOR_POLLS_MAX)
		follow->ancestor_steps = follow->ancestor_polls = 0;
	return result;
}

/* The poll interval with a jitter of up to a tenth in either direction, so that
 * entries that started together do not poll together. */
static usec_t config_poll_pause(config_follow_t *follow)
{
	usec_t poll = follow->settings.poll_ms * USEC_PER_MS;

	follow->jitter_seed = follow->jitter_seed * 1103515245u + 12345u;
	return poll * 9 / 10 + poll / 5 * (follow->jitter_seed >> 16) / 65536;
}

int config_poll_run(void *context, const volatile int *stop)
{
	config_follow_t *follow = context;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		usec_t now = time_now();
		usec_t pause = config_poll_pause(follow);
		config_poll_result_t result;

		config_poll_update_members(follow, now);
		result = config_poll_once(follow, now);
		if (result == CONFIG_POLL_FAILED)
			pause /= CONFIG_POLL_RETRY_DIVISOR;
		if (result != CONFIG_POLL_MORE)
			config_follow_pause(follow, pause, stop);
	}
	config_source_close(&follow->source);
	return 0;
}
