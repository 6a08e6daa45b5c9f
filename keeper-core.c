#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include "keeper-core.h"
#include "keeper-raft.h"

/* The core thread of a keeper, which drives the replica and its files. */

/* Delay before the data folder is opened again after a fault. */
#define KEEPER_REOPEN_DELAY USEC_PER_SEC
/* Time after a write of the log in which no other follows until the commit index is
 * written alone. While changes follow one another, the next entries carry it. */
#define KEEPER_COMMIT_SAVE_DELAY (100 * USEC_PER_MS)
/* Maximum time in which a keeper that stops gives up its vote, and the interval
 * between checks whether it has. */
#define KEEPER_LEAVE_TIME (2400 * USEC_PER_MS)
#define KEEPER_LEAVE_PERIOD (5 * USEC_PER_MS)

static void keeper_core_register_metrics(keeper_core_t *core)
{
	keeper_counters_t *counters = &core->counters;
	metrics_t *metrics = core->metrics;

	counters->changes = metrics_counter(metrics,
					    "hemlock_keeper_changes_total", "",
					    "changes applied by this keeper");
	counters->elections = metrics_counter(metrics,
					      "hemlock_keeper_elections_total",
					      "",
					      "elections won by this keeper");
	counters->syncs = metrics_counter(metrics, "hemlock_keeper_syncs_total",
					  "", "files synced to the disk");
	counters->faults = metrics_counter(
		metrics, "hemlock_keeper_store_faults_total", "",
		"times that the data folder was closed after a fault");
	counters->rejected =
		metrics_counter(metrics, "hemlock_keeper_rejected_total", "",
				"malformed or foreign messages dropped");
	counters->dropped = metrics_counter(
		metrics, "hemlock_keeper_dropped_total", "",
		"messages to peers dropped as the peer did not take them");
	counters->snapshots = metrics_counter(metrics,
					      "hemlock_keeper_snapshots_total",
					      "", "snapshots written");
	counters->commit = metrics_gauge(metrics, "hemlock_keeper_commit", "",
					 "index of the last committed entry");
	counters->log_bytes = metrics_gauge(metrics, "hemlock_keeper_log_bytes",
					    "", "size of the log file");
	counters->leading = metrics_gauge(metrics, "hemlock_keeper_leading", "",
					  "1 on the leader");
	counters->sync_time = metrics_histogram(
		metrics, "hemlock_keeper_sync_us", "",
		"time to write and sync the log in microseconds");
}

int keeper_core_init(keeper_core_t *core, const keeper_settings_t *settings,
		     const keeper_file_ops_t *file, hl_error_t *err)
{
	pthread_condattr_t attributes;

	memset(core, 0, sizeof(*core));
	core->settings = *settings;
	core->file = file;
	CDS_INIT_LIST_HEAD(&core->inbox);
	CDS_INIT_LIST_HEAD(&core->pending);
	CDS_INIT_LIST_HEAD(&core->raft.out);
	core->store.log_fd = core->store.lock_fd = -1;
	pthread_mutex_init(&core->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&core->wake, &attributes);
	pthread_condattr_destroy(&attributes);
	core->metrics = metrics_new();
	if (!core->metrics)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	keeper_core_register_metrics(core);
	return 0;
}

/* A random number for an incarnation or a seed. */
static uint64_t keeper_core_random_nonzero(void)
{
	uint64_t value = 0;

	while (!value)
		if (getrandom(&value, sizeof(value), 0) != sizeof(value))
			value = (uint64_t)time_now();
	return value;
}

static void keeper_core_raft_settings(const keeper_settings_t *settings,
				      keeper_raft_settings_t *out)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	out->cluster = hl_hash(settings->cluster, strlen(settings->cluster), 0);
	strcpy(out->name, settings->name);
	keeper_settings_rpc_address(settings, out->address);
	out->heartbeat_interval = settings->heartbeat_ms * USEC_PER_MS;
	out->election_timeout = settings->election_ms * USEC_PER_MS;
	out->seed = keeper_core_random_nonzero();
	out->may_bootstrap = settings->first_start;
	out->auto_membership = settings->seeds.count > 0;
	out->fault_tolerance = (unsigned)settings->fault_tolerance;
	out->founder_count = settings->names.count;
	for (i = 0; i < settings->names.count; i++) {
		strcpy(out->founders[i], settings->names.items[i]);
		strcpy(out->founder_addresses[i], settings->addresses.items[i]);
	}
}

/* Load the configuration from the snapshot. keeper_core_apply_entry() applies
 * the log entries that follow it once they are committed. */
static int keeper_core_load_state(keeper_core_t *core, hl_error_t *err)
{
	const keeper_snapshot_t *snapshot = &core->raft.snapshot;
	config_state_t *state;

	state = snapshot->size ? config_state_load(snapshot->state,
						   snapshot->size, err) :
				 config_state_new();
	if (!state)
		return -1;
	pthread_mutex_lock(&core->lock);
	config_state_free(core->state);
	core->state = state;
	core->applied = snapshot->index;
	pthread_mutex_unlock(&core->lock);
	return 0;
}

/* Remove the pending change @id, or all pending changes if it is NULL. The
 * caller holds the core's lock. */
static void keeper_core_drop_pending(keeper_core_t *core, const char *id)
{
	keeper_pending_t *pending, *next;

	cds_list_for_each_entry_safe (pending, next, &core->pending, link) {
		if (id && strcmp(pending->id, id))
			continue;
		cds_list_del(&pending->link);
		core->pending_count--;
		free(pending);
	}
}

/* Set, for each member, the last entry that it has confirmed to be on its
 * disk. */
static void keeper_core_fill_match_index(const keeper_raft_t *raft,
					 keeper_status_view_t *view)
{
	unsigned i, j;

	for (i = 0; i < view->group.count; i++) {
		const keeper_node_t *node = &view->group.nodes[i];

		view->match_index[i] = 0;
		if (!strcmp(node->name, raft->settings.name))
			view->match_index[i] = raft->saved;
		for (j = 0; j < raft->peer_count; j++)
			if (!strcmp(raft->peers[j].node.name, node->name) &&
			    raft->peers[j].match_index > view->match_index[i])
				view->match_index[i] =
					raft->peers[j].match_index;
	}
}

/* Set the newest group that is committed. After a start the commit index may be older
 * than the group in the log. */
static void keeper_core_fill_committed(const keeper_raft_t *raft,
				       keeper_status_view_t *view)
{
	if (raft->commit >= raft->group_index) {
		view->committed = raft->group;
		view->committed_revision = raft->group_index;
		return;
	}
	view->committed_revision = keeper_raft_group_at(raft, raft->commit,
							&view->committed);
}

/* Copy the replica's status for the other threads. This comes before messages
 * are sent, so that no peer acts on a status that this keeper does not show
 * yet. */
static void keeper_core_publish(keeper_core_t *core)
{
	const keeper_raft_t *raft = &core->raft;
	keeper_status_view_t *view = &core->view;
	usec_t suspended = time_suspended();
	bool was_leading;

	pthread_mutex_lock(&core->lock);
	was_leading = view->leading;
	view->serving = true;
	view->leading = raft->role == KEEPER_LEADER;
	view->may_leave = keeper_raft_may_leave(raft);
	view->lease_end = keeper_raft_lease_end(raft);
	if (!was_leading)
		view->suspended = suspended;
	strcpy(view->role, keeper_raft_role_name(raft));
	strcpy(view->leader, raft->leader);
	view->term = raft->ballot.term;
	view->last = keeper_entries_last(&raft->entries);
	view->commit = raft->commit;
	view->term_start = raft->term_start;
	view->incarnation = raft->settings.incarnation;
	view->group = raft->group;
	view->group_index = raft->group_index;
	keeper_core_fill_committed(raft, view);
	keeper_core_fill_match_index(raft, view);
	view->voters = keeper_raft_is_voter(raft) ?
			       keeper_change_count_voters(&raft->group) :
			       0;
	keeper_tail_update(&view->tail, &raft->entries, core->applied,
			   config_state_config(core->state));
	if (was_leading && !view->leading)
		keeper_core_drop_pending(core, NULL);
	pthread_mutex_unlock(&core->lock);
	if (was_leading != view->leading)
		log_event(LOG_LEVEL_NOTICE, "leadership",
			  "leading=%d term=%" PRIu64 " commit=%" PRIu64
			  " lost_disks=%u",
			  view->leading, view->term, view->commit,
			  keeper_lost_count(raft));
	metrics_add(core->counters.elections,
		    raft->elections - core->elections_seen);
	core->elections_seen = raft->elections;
	metrics_set(core->counters.commit, raft->commit);
	metrics_set(core->counters.leading, view->leading);
	metrics_set(core->counters.log_bytes, core->store.log_bytes);
	metrics_set(core->counters.syncs, core->store.syncs);
}

/* Apply one committed entry. The caller holds the core's lock. */
static int keeper_core_apply_entry(keeper_core_t *core,
				   const keeper_entry_t *entry)
{
	config_change_t change = { 0 };
	config_answer_t answer = { 0 };
	int rc;

	if (entry->kind != KEEPER_ENTRY_CHANGE)
		return 0;
	/* An entry that does not decode is skipped by every replica alike. */
	if (!keeper_body_unpack(entry->body.body_val, entry->body.body_len,
				&change))
		return 0;
	rc = config_state_apply(core->state, entry->index, &change, &answer);
	keeper_core_drop_pending(core, change.id);
	xdr_free((xdrproc_t)xdr_config_answer_t, &answer);
	xdr_free((xdrproc_t)xdr_config_change_t, &change);
	metrics_add(core->counters.changes, 1);
	return rc;
}

static int keeper_core_apply(keeper_core_t *core, hl_error_t *err)
{
	const keeper_raft_t *raft = &core->raft;
	int rc = 0;

	pthread_mutex_lock(&core->lock);
	while (rc == 0 && core->applied < raft->commit) {
		rc = keeper_core_apply_entry(
			core,
			keeper_entries_at(&raft->entries, core->applied + 1));
		core->applied += rc == 0;
	}
	pthread_mutex_unlock(&core->lock);
	return rc == 0 ? 0 :
			 hl_error_set(err, HL_ERR_NOMEM,
				      "out of memory; give the VM more memory");
}

int keeper_core_open(keeper_core_t *core, hl_error_t *err)
{
	keeper_raft_settings_t settings;
	usec_t start = time_now();

	keeper_core_raft_settings(&core->settings, &settings);
	keeper_raft_init(&core->raft, &settings, start);
	if (keeper_store_open(&core->store, core->file, core->settings.data,
			      settings.cluster, settings.name,
			      keeper_core_random_nonzero(), &core->raft, err))
		return -1;
	/* With seeds, only the disk that the process has opened first may
	 * bootstrap; the folder may have been replaced since then. */
	if (core->settings.seeds.count && core->view.incarnation &&
	    core->view.incarnation != core->store.incarnation)
		core->settings.first_start = false;
	core->raft.settings.may_bootstrap = core->settings.first_start;
	if (keeper_core_load_state(core, err) || keeper_core_apply(core, err)) {
		keeper_store_close(&core->store);
		keeper_raft_free(&core->raft);
		return -1;
	}
	core->open = true;
	core->elections_seen = 0;
	core->suspended = time_suspended();
	/* From now on keeper_core_post() accepts messages. */
	keeper_core_publish(core);
	log_event(LOG_LEVEL_NOTICE, "store-opened",
		  "incarnation=%" PRIx64 " term=%" PRIu64 " snapshot=%" PRIu64
		  " last=%" PRIu64 " torn=%d took_us=%" PRId64,
		  core->store.incarnation, core->raft.ballot.term,
		  core->raft.entries.base,
		  keeper_entries_last(&core->raft.entries),
		  core->store.truncated, time_now() - start);
	return 0;
}

static void keeper_core_item_free(keeper_item_t *item)
{
	if (item->kind == KEEPER_ITEM_MESSAGE)
		xdr_free((xdrproc_t)xdr_keeper_message_t, &item->message);
	free(item->body);
	free(item);
}

/* Close the replica and its files after a fault. Unsent messages are discarded,
 * since they may rely on state that was not saved. */
static void keeper_core_close(keeper_core_t *core)
{
	keeper_item_t *item, *next;

	if (!core->open)
		return;
	pthread_mutex_lock(&core->lock);
	core->view.serving = core->view.leading = false;
	core->view.lease_end = 0;
	core->view.voters = 0;
	strcpy(core->view.role, "failed");
	keeper_core_drop_pending(core, NULL);
	cds_list_for_each_entry_safe (item, next, &core->inbox, link)
		keeper_core_item_free(item);
	CDS_INIT_LIST_HEAD(&core->inbox);
	core->inbox_count = 0;
	pthread_mutex_unlock(&core->lock);
	keeper_store_close(&core->store);
	keeper_raft_free(&core->raft);
	core->open = false;
}

void keeper_core_free(keeper_core_t *core)
{
	keeper_core_close(core);
	config_state_free(core->state);
	metrics_free(core->metrics);
	pthread_cond_destroy(&core->wake);
	pthread_mutex_destroy(&core->lock);
}

bool keeper_core_post(keeper_core_t *core, keeper_item_t *item)
{
	bool accepted;

	pthread_mutex_lock(&core->lock);
	accepted = core->view.serving && core->inbox_count < KEEPER_INBOX_MAX;
	if (accepted) {
		cds_list_add_tail(&item->link, &core->inbox);
		core->inbox_count++;
		pthread_cond_signal(&core->wake);
	}
	pthread_mutex_unlock(&core->lock);
	if (!accepted)
		keeper_core_item_free(item);
	return accepted;
}

void keeper_core_wake(void *context)
{
	keeper_core_t *core = context;

	pthread_mutex_lock(&core->lock);
	pthread_cond_signal(&core->wake);
	pthread_mutex_unlock(&core->lock);
}

/* Time at which the commit index is saved alone; USEC_NEVER if the log has it. */
static usec_t keeper_core_commit_due(const keeper_core_t *core)
{
	if (!keeper_store_lacks_commit(&core->store, &core->raft))
		return USEC_NEVER;
	return core->log_saved_at + KEEPER_COMMIT_SAVE_DELAY;
}

/* Time of the next round if the inbox stays empty. */
static usec_t keeper_core_next_due(const keeper_core_t *core)
{
	usec_t raft_due = keeper_raft_next_due(&core->raft);
	usec_t commit_due = keeper_core_commit_due(core);

	return raft_due < commit_due ? raft_due : commit_due;
}

/* Wait until the inbox has items or a timer expires, then move them to
 * @items. */
static void keeper_core_wait(keeper_core_t *core, const volatile int *stop,
			     struct cds_list_head *items)
{
	usec_t due = keeper_core_next_due(core);
	struct timespec until = { due / USEC_PER_SEC,
				  due % USEC_PER_SEC * 1000 };

	CDS_INIT_LIST_HEAD(items);
	pthread_mutex_lock(&core->lock);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) &&
	       cds_list_empty(&core->inbox) &&
	       pthread_cond_timedwait(&core->wake, &core->lock, &until) == 0)
		continue;
	cds_list_splice(&core->inbox, items);
	CDS_INIT_LIST_HEAD(&core->inbox);
	core->inbox_count = 0;
	pthread_mutex_unlock(&core->lock);
}

static bool keeper_core_may_leave(keeper_core_t *core)
{
	bool may_leave;

	pthread_mutex_lock(&core->lock);
	may_leave = core->view.serving && core->view.may_leave;
	pthread_mutex_unlock(&core->lock);
	return may_leave;
}

void keeper_core_leave(keeper_core_t *core)
{
	const struct timespec period = { 0, KEEPER_LEAVE_PERIOD * 1000 };
	usec_t until = time_now() + KEEPER_LEAVE_TIME;
	keeper_item_t *item;

	if (!keeper_core_may_leave(core))
		return;
	item = calloc(1, sizeof(*item));
	if (!item)
		return;
	item->kind = KEEPER_ITEM_LEAVE;
	if (!keeper_core_post(core, item))
		return;
	while (keeper_core_may_leave(core) && time_now() < until)
		nanosleep(&period, NULL);
	log_event(LOG_LEVEL_NOTICE, "vote-given-up", "confirmed=%d",
		  !keeper_core_may_leave(core));
}

static void keeper_core_handle(keeper_core_t *core, keeper_item_t *item,
			       usec_t now)
{
	switch (item->kind) {
	case KEEPER_ITEM_MESSAGE:
		if (!keeper_raft_step(&core->raft, &item->message, now))
			metrics_add(core->counters.rejected, 1);
		break;
	case KEEPER_ITEM_CHANGE:
		if (keeper_raft_propose(&core->raft, item->body, item->size,
					now))
			break;
		pthread_mutex_lock(&core->lock);
		keeper_core_drop_pending(core, item->id);
		pthread_mutex_unlock(&core->lock);
		break;
	case KEEPER_ITEM_VOTER:
		keeper_raft_change_voter(&core->raft, item->add, item->name,
					 item->address, now);
		break;
	case KEEPER_ITEM_LEAVE:
		keeper_raft_leave(&core->raft, now);
		break;
	}
}

static int keeper_core_save(keeper_core_t *core, hl_error_t *err)
{
	bool snapshot_received = core->raft.snapshot_dirty;
	usec_t start = time_now(), end;

	if (!keeper_raft_has_unsaved(&core->raft))
		return 0;
	if (keeper_store_save(&core->store, &core->raft, err))
		return -1;
	end = time_now();
	core->log_saved_at = end;
	metrics_histogram_add(core->counters.sync_time, end - start);
	if (snapshot_received && keeper_core_load_state(core, err))
		return -1;
	keeper_raft_mark_saved(&core->raft, end);
	return 0;
}

/* Save a commit index that no other write has saved. A keeper that starts again then
 * has the newest configuration before there is a leader. It comes after the messages of
 * the round, as none relies on it. */
static int keeper_core_save_commit(keeper_core_t *core, usec_t now,
				   hl_error_t *err)
{
	if (now < keeper_core_commit_due(core))
		return 0;
	core->log_saved_at = now;
	return keeper_store_save(&core->store, &core->raft, err);
}

static void keeper_core_send(keeper_core_t *core)
{
	keeper_outgoing_t *outgoing, *next;

	cds_list_for_each_entry_safe (outgoing, next, &core->raft.out, link) {
		cds_list_del(&outgoing->link);
		CDS_INIT_LIST_HEAD(&outgoing->link);
		core->send(core->send_context, outgoing);
	}
}

/* Replace the log by a snapshot if snapshot_entries have been applied since
 * the last one. */
static int keeper_core_compact(keeper_core_t *core, hl_error_t *err)
{
	keeper_snapshot_t snapshot = { .index = core->applied };
	keeper_raft_t *raft = &core->raft;

	if (core->applied - raft->entries.base <
	    (uint64_t)core->settings.snapshot_entries)
		return 0;
	keeper_entries_term(&raft->entries, snapshot.index, &snapshot.term);
	keeper_raft_group_at(raft, snapshot.index, &snapshot.group);
	if (config_state_save(core->state, &snapshot.state, &snapshot.size))
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	keeper_raft_compact(raft, &snapshot);
	if (keeper_store_compact(&core->store, raft, err))
		return -1;
	metrics_add(core->counters.snapshots, 1);
	return 0;
}

/* Step down if the VM was suspended: its monotonic clock did not advance
 * meanwhile, so the lease may have ended by the other members' clocks. */
static void keeper_core_check_suspend(keeper_core_t *core, usec_t now)
{
	usec_t suspended = time_suspended();
	usec_t slept = suspended - core->suspended;

	core->suspended = suspended;
	if (slept <= KEEPER_SUSPEND_MIN)
		return;
	log_event(LOG_LEVEL_WARNING, "slept", "for_ms=%" PRId64,
		  slept / USEC_PER_MS);
	keeper_raft_resign(&core->raft, now);
}

/* Handle the inbox and the timers once. The state is saved and committed
 * entries are applied before messages that rely on them are sent. */
static int keeper_core_round(keeper_core_t *core, const volatile int *stop,
			     hl_error_t *err)
{
	struct cds_list_head items;
	keeper_item_t *item, *next;
	usec_t now;

	keeper_core_wait(core, stop, &items);
	now = time_now();
	keeper_core_check_suspend(core, now);
	cds_list_for_each_entry_safe (item, next, &items, link) {
		keeper_core_handle(core, item, now);
		keeper_core_item_free(item);
	}
	keeper_raft_tick(&core->raft, now);
	if (core->raft.out_of_memory)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	if (keeper_core_save(core, err) || keeper_core_apply(core, err))
		return -1;
	keeper_core_publish(core);
	keeper_core_send(core);
	if (core->on_round_end)
		core->on_round_end(core->on_round_end_context);
	if (keeper_core_save_commit(core, now, err))
		return -1;
	return keeper_core_compact(core, err);
}

/* Log and count an error, and close the data folder. */
static void keeper_core_on_fault(keeper_core_t *core, const hl_error_t *err)
{
	char text[2 * HL_MESSAGE_MAX];

	metrics_add(core->counters.faults, 1);
	log_event(LOG_LEVEL_ERROR, "store-fault", "kind=%s message=%s",
		  hl_error_kind_name(err->kind),
		  log_quote(err->message, text, sizeof(text)));
	keeper_core_close(core);
}

static void keeper_core_wait_reopen(keeper_core_t *core,
				    const volatile int *stop)
{
	usec_t due = time_now() + KEEPER_REOPEN_DELAY;
	struct timespec until = { due / USEC_PER_SEC,
				  due % USEC_PER_SEC * 1000 };

	pthread_mutex_lock(&core->lock);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) &&
	       pthread_cond_timedwait(&core->wake, &core->lock, &until) == 0)
		continue;
	pthread_mutex_unlock(&core->lock);
}

int keeper_core_run(void *context, const volatile int *stop)
{
	keeper_core_t *core = context;
	hl_error_t err = { 0 };

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		if (!core->open && keeper_core_open(core, &err)) {
			keeper_core_on_fault(core, &err);
			if (err.kind == HL_ERR_CORRUPT)
				return -1;
			keeper_core_wait_reopen(core, stop);
			continue;
		}
		if (keeper_core_round(core, stop, &err)) {
			keeper_core_on_fault(core, &err);
			keeper_core_wait_reopen(core, stop);
		}
	}
	return 0;
}

void keeper_core_address(const keeper_core_t *core, const char *name,
			 const char *known, char out[HL_ADDRESS_MAX])
{
	const keeper_settings_t *settings = &core->settings;
	unsigned i;

	strcpy(out, known);
	for (i = 0; i < settings->names.count; i++)
		if (!strcmp(settings->names.items[i], name))
			strcpy(out, settings->addresses.items[i]);
}

void keeper_core_addresses(const keeper_core_t *core,
			   const keeper_group_t *group, setting_list_t *out)
{
	unsigned i;

	out->count = 0;
	for (i = 0; i < group->count; i++)
		keeper_core_address(core, group->nodes[i].name,
				    group->nodes[i].address,
				    out->items[out->count++]);
}

void keeper_core_committed_keepers(keeper_core_t *core, presence_keepers_t *out)
{
	setting_list_t all;
	keeper_group_t group;
	unsigned i;

	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&core->lock);
	group = core->view.committed;
	out->revision = core->view.committed_revision;
	pthread_mutex_unlock(&core->lock);
	keeper_core_addresses(core, &group, &all);
	for (i = 0; i < all.count; i++)
		if (*all.items[i])
			strcpy(out->list.items[out->list.count++],
			       all.items[i]);
}
