#include <stdlib.h>
#include <string.h>
#include "config-follow-internal.h"
#include "config-tree.h"

/* Polls at an ancestor until the parent is tried again. */
#define CONFIG_POLL_CLIMBED_MAX 10
/* A parent whose own news are older than so many polls is passed over. */
#define CONFIG_POLL_STALE 5
#define CONFIG_POLL_STALE_MIN (5 * USEC_PER_SEC)
/* After a failure the next source is tried in a part of the pause. */
#define CONFIG_POLL_RETRY_PART 4

/* How one question ended. */
typedef enum {
	CONFIG_POLL_FAILED,
	CONFIG_POLL_DONE,
	CONFIG_POLL_MORE, /* there may be more: ask again at once */
} config_poll_t;

static bool config_poll_same(const owner_member_t *a, const owner_member_t *b,
			     unsigned count)
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
		.since = follow->live_since,
	};

	view.self = config_tree_find(view.members, view.count, follow->name);
	return view;
}

/* Ask who is live; start again at the parent when that has changed. */
static void config_poll_members(config_follow_t *follow, usec_t now)
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
	    config_poll_same(old, follow->live_next, count))
		return;
	follow->live = follow->live_next;
	follow->live_next = old;
	follow->live_count = count;
	follow->live_since = now;
	follow->climb = 0;
	view = config_poll_view(follow);
	pthread_mutex_lock(&follow->lock);
	config_report_lost(&follow->report, old, old_count, &view,
			   follow->said.floor, now);
	pthread_mutex_unlock(&follow->lock);
}

/* The keeper whose turn it is. */
static void config_poll_turn(config_follow_t *follow, char *out)
{
	pthread_mutex_lock(&follow->lock);
	strcpy(out,
	       follow->keepers.items[follow->keeper % follow->keepers.count]);
	pthread_mutex_unlock(&follow->lock);
}

/* Connect to the ancestor that is to be asked, or to a keeper. */
static int config_poll_connect(config_follow_t *follow,
			       const config_report_view_t *view,
			       hl_error_t *err)
{
	usec_t timeout = follow->settings.timeout_ms * USEC_PER_MS;
	char address[HL_ADDRESS_MAX];
	int place = -1;

	if (follow->ready)
		place = config_tree_ancestor(view->self, view->fanout,
					     follow->climb);
	if (place >= 0)
		return config_source_open(&follow->source,
					  view->members[place].rpc_address,
					  false, timeout, err);
	strcpy(address, follow->leader);
	if (!*address)
		config_poll_turn(follow, address);
	return config_source_open(&follow->source, address, true, timeout, err);
}

/* What is in force below, for the parent or the keepers. */
static void config_poll_gather(config_follow_t *follow,
			       const config_report_view_t *view, usec_t now,
			       config_summary_t *out)
{
	pthread_mutex_lock(&follow->lock);
	config_report_gather(&follow->report, view, now, out);
	pthread_mutex_unlock(&follow->lock);
}

static config_poll_t config_poll_parent(config_follow_t *follow,
					const config_report_view_t *view,
					usec_t now)
{
	usec_t stale = CONFIG_POLL_STALE * follow->settings.poll_ms *
		       USEC_PER_MS;
	follow_lagging_t laggards[FOLLOW_LAGGING_MAX];
	follow_fetch_args_t args = { .vm = follow->name,
				     .have = follow->revision };
	config_summary_t *said = &follow->said;
	follow_fetch_res_t res = { 0 };
	config_poll_t result = CONFIG_POLL_FAILED;
	uint64_t before = follow->revision;
	usec_t age;
	unsigned i;

	config_poll_gather(follow, view, now, said);
	for (i = 0; i < said->laggard_count; i++)
		laggards[i] = (follow_lagging_t){ said->laggards[i].vm,
						  said->laggards[i].revision };
	args.report.min_revision = said->floor;
	args.report.lagging.lagging_val = laggards;
	args.report.lagging.lagging_len = said->laggard_count;
	if (follow_fetch_1(args, &res, follow->source.client) != RPC_SUCCESS)
		goto out;
	age = res.age_ms * USEC_PER_MS;
	if (res.status != FOLLOW_OK ||
	    config_publish(follow, &res.body, CONFIG_UNCONFIRMED, now - age))
		goto out;
	if (stale < CONFIG_POLL_STALE_MIN)
		stale = CONFIG_POLL_STALE_MIN;
	if (age <= stale)
		result = follow->revision > before ? CONFIG_POLL_MORE :
						     CONFIG_POLL_DONE;
out:
	xdr_free((xdrproc_t)xdr_follow_fetch_res_t, (char *)&res);
	return result;
}

static bool config_poll_named(const config_summary_t *summary, const char *vm)
{
	unsigned i;

	for (i = 0; i < summary->laggard_count; i++)
		if (!strcmp(summary->laggards[i].vm, vm))
			return true;
	return false;
}

/* Rows for the keepers: this group's floor, the laggards, and once more those
 * that lag no longer. */
static u_int config_poll_rows(config_follow_t *follow, config_summary_t *before,
			      keeper_applied_t *rows)
{
	config_summary_t *now = &follow->said;
	u_int count = 0;
	unsigned i;

	rows[count++] = (keeper_applied_t){ follow->name, now->floor, 0 };
	for (i = 0; i < now->laggard_count; i++)
		rows[count++] = (keeper_applied_t){ now->laggards[i].vm,
						    now->laggards[i].revision,
						    0 };
	for (i = 0; i < before->laggard_count; i++)
		if (!config_poll_named(now, before->laggards[i].vm))
			rows[count++] = (keeper_applied_t){
				before->laggards[i].vm, now->floor, 0
			};
	return count;
}

/* The root's word to the keepers; a fresh entry has nothing to say yet. */
static void config_poll_report(config_follow_t *follow,
			       const config_report_view_t *view, usec_t now)
{
	config_report_view_t after = *view;
	config_summary_t before = follow->said;
	keeper_applied_t rows[1 + 2 * FOLLOW_LAGGING_MAX];
	keeper_report_args_t args = { { 0, rows } };
	char nothing;

	after.revision = follow->revision;
	config_poll_gather(follow, &after, now, &follow->said);
	args.applied.applied_len = config_poll_rows(follow, &before, rows);
	if (keeper_report_1(args, &nothing, follow->source.client) !=
	    RPC_SUCCESS)
		config_source_close(&follow->source);
}

static config_poll_t config_poll_keeper(config_follow_t *follow,
					const config_report_view_t *view,
					usec_t now)
{
	keeper_fetch_args_t args = { follow->revision, TRUE };
	keeper_fetch_res_t res = { 0 };
	config_poll_t result = CONFIG_POLL_FAILED;
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

/* A source failed: go up the tree, past the root to the next keeper, and
 * from there begin again at the parent. */
static void config_poll_climb(config_follow_t *follow,
			      const config_report_view_t *view)
{
	bool keeper = !follow->ready ||
		      config_tree_ancestor(view->self, view->fanout,
					   follow->climb) < 0;

	config_source_close(&follow->source);
	metrics_add(follow->metrics.failures, 1);
	follow->climbed = 0;
	if (!keeper)
		follow->climb++;
	else if (!*follow->leader &&
		 ++follow->keeper % follow->settings.keepers.count == 0)
		follow->climb = 0;
}

/* Ask once: the parent or who stands in for it. */
static config_poll_t config_poll_once(config_follow_t *follow, usec_t now)
{
	config_report_view_t view = config_poll_view(follow);
	config_poll_t result = CONFIG_POLL_FAILED;
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
	config_source_count(&follow->source);
	if (result == CONFIG_POLL_FAILED)
		config_poll_climb(follow, &view);
	else if (follow->climb && ++follow->climbed >= CONFIG_POLL_CLIMBED_MAX)
		follow->climb = follow->climbed = 0;
	return result;
}

/* The pause between polls, up to a tenth longer or shorter, so that entries
 * that started together do not ask together. */
static usec_t config_poll_pause(config_follow_t *follow)
{
	usec_t poll = follow->settings.poll_ms * USEC_PER_MS;

	follow->jitter = follow->jitter * 1103515245u + 12345u;
	return poll * 9 / 10 + poll / 5 * (follow->jitter >> 16) / 65536;
}

int config_poll_run(void *context, const volatile int *stop)
{
	config_follow_t *follow = context;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		usec_t now = time_now();
		usec_t pause = config_poll_pause(follow);
		config_poll_t result;

		config_poll_members(follow, now);
		result = config_poll_once(follow, now);
		if (result == CONFIG_POLL_FAILED)
			pause /= CONFIG_POLL_RETRY_PART;

		if (result != CONFIG_POLL_MORE)
			config_node_pause(follow, pause, stop);
	}
	config_source_close(&follow->source);
	return 0;
}
