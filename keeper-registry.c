#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "config-rate.h"
#include "keeper-registry.h"
#include "keeper-request.h"

/*
 * The registry's thread responds to heartbeats of entries and reports
 * announcements of copies to the other keepers. On the leader it also sends new
 * revisions to entries and removes silent copies. The registry owns the table
 * of entries and the times when copies were last seen.
 */

/* Interval between reports to the other keepers, and between checks for silent
 * copies. */
#define REGISTRY_TICK_INTERVAL USEC_PER_SEC
/* Time for which a keeper leads, and collects heartbeats, before it gives the
 * rate of a copy to another entry. */
#define REGISTRY_HOLDER_WAIT (3 * USEC_PER_SEC)
/* Maximum number of rates that change their holder in one interval. */
#define REGISTRY_HOLDERS_MAX 32
/* Age of its last crash after which a suspected call is forgotten. */
#define REGISTRY_SUSPECT_AGE_MS (3600 * 1000)
/* Maximum number of suspects that are forgotten in one interval. */
#define REGISTRY_SUSPECTS_MAX 32
/* Maximum number of silent copies that are removed in one interval. */
#define REGISTRY_SILENT_MAX 32

struct keeper_registry {
	keeper_core_t *core;
	uint64_t cluster;
	usec_t silence; /* time without announcement before a copy's removal */
	int socket;
	int wake;
	/* Protected by the lock. */
	pthread_mutex_t lock;
	presence_table_t *entries;
	keeper_last_seen_t *last_seen;
	/* Used by the registry's thread only. */
	uint64_t pushed_revision; /* revision last sent to entries as leader */
	bool was_leading;	  /* leader in the previous interval */
	usec_t leading_since;	  /* when it became leader */
	unsigned impaired; /* impaired entries in the previous interval */
};

/* A consistent copy of some of the core's state. */
typedef struct {
	uint64_t revision;
	bool leading;
	bool can_confirm; /* leads, and no newer revision has been accepted */
	keeper_group_t group;
} registry_view_t;

static void registry_read_core(keeper_core_t *core, registry_view_t *view,
			       usec_t now)
{
	pthread_mutex_lock(&core->lock);
	view->revision = 0;
	if (core->state)
		view->revision = config_state_config(core->state)->revision;
	view->leading = core->view.leading && core->view.serving;
	view->can_confirm = view->leading &&
			    keeper_request_can_confirm(core, now);
	view->group = core->view.group;
	pthread_mutex_unlock(&core->lock);
}

static void registry_send(const keeper_registry_t *registry,
			  const presence_t *message,
			  const struct sockaddr_storage *to, socklen_t length)
{
	char bytes[PRESENCE_BYTES_MAX];
	size_t size = presence_encode(message, bytes);

	if (size && sendto(registry->socket, bytes, size, 0,
			   (const struct sockaddr *)to, length) < 0)
		log_event(LOG_LEVEL_DEBUG, "presence-not-sent", "errno=%d",
			  errno);
}

/* Send the list of keepers with its revision. */
static void registry_send_keepers(const keeper_registry_t *registry,
				  const presence_keepers_t *keepers,
				  const struct sockaddr_storage *to,
				  socklen_t length)
{
	presence_t message = { .cluster = registry->cluster };
	presence_keepers_list_t *body = &message.body.presence_body_t_u.keepers;
	char *addresses[PRESENCE_KEEPERS_MAX];
	unsigned i;

	message.body.kind = PRESENCE_KEEPERS;
	body->revision = keepers->revision;
	for (i = 0; i < keepers->list.count; i++)
		addresses[i] = (char *)keepers->list.items[i];
	body->addresses.addresses_len = keepers->list.count;
	body->addresses.addresses_val = addresses;
	registry_send(registry, &message, to, length);
}

/* Send the keeper's revision and role to an entry, and the keepers' addresses
 * if @heartbeat shows that the entry has other addresses. @heartbeat is NULL if
 * the status is not a response; @known is false if the entry must send its
 * identity. */
static void registry_send_status(const keeper_registry_t *registry,
				 const registry_view_t *view,
				 const presence_entry_t *heartbeat, bool known,
				 unsigned entries,
				 const struct sockaddr_storage *to,
				 socklen_t length)
{
	presence_t message = { .cluster = registry->cluster };
	presence_keeper_status_t *status =
		&message.body.presence_body_t_u.keeper_status;
	char *addresses[PRESENCE_KEEPERS_MAX];
	presence_keepers_t keepers;
	unsigned i;

	keeper_core_committed_keepers(registry->core, &keepers);
	message.body.kind = PRESENCE_KEEPER_STATUS;
	status->revision = view->revision;
	status->entries = entries;
	status->leading = heartbeat ? view->can_confirm : view->leading;
	status->identity_known = known;
	status->keepers_hash = presence_keepers_hash(&keepers.list);
	if (heartbeat && heartbeat->keepers_hash != status->keepers_hash) {
		registry_send_keepers(registry, &keepers, to, length);
		for (i = 0; i < keepers.list.count; i++)
			addresses[i] = keepers.list.items[i];
		status->addresses.addresses_len = keepers.list.count;
		status->addresses.addresses_val = addresses;
	}
	registry_send(registry, &message, to, length);
}

static void registry_on_entry(keeper_registry_t *registry,
			      const presence_entry_t *heartbeat,
			      const struct sockaddr_storage *from,
			      socklen_t length, usec_t now)
{
	registry_view_t view;
	unsigned entries;
	bool known;

	pthread_mutex_lock(&registry->lock);
	known = presence_table_update(registry->entries, heartbeat, from,
				      length, now);
	entries = presence_table_count_live(registry->entries, now);
	pthread_mutex_unlock(&registry->lock);
	registry_read_core(registry->core, &view, now);
	registry_send_status(registry, &view, heartbeat, known, entries, from,
			     length);
}

static void registry_on_peer(keeper_registry_t *registry,
			     const presence_copies_seen_t *report, usec_t now)
{
	u_int i;

	pthread_mutex_lock(&registry->lock);
	for (i = 0; i < report->ids.ids_len; i++)
		keeper_last_seen_record(registry->last_seen,
					report->ids.ids_val[i], false, now);
	pthread_mutex_unlock(&registry->lock);
}

/* Sends the peers of an entry unless it has the same list. */
static void registry_on_peers_request(keeper_registry_t *registry,
				      const presence_peers_request_t *request,
				      const struct sockaddr_storage *from,
				      socklen_t length, usec_t now)
{
	presence_t message = { .cluster = registry->cluster };
	presence_peers_t *response = &message.body.presence_body_t_u.peers;
	char *addresses[PRESENCE_PEERS_MAX];
	presence_peers_list_t list;
	unsigned i;

	pthread_mutex_lock(&registry->lock);
	presence_table_peers(registry->entries, request->id, request->zone, now,
			     &list);
	pthread_mutex_unlock(&registry->lock);
	if (presence_peers_hash(&list) == request->hash)
		return;
	for (i = 0; i < list.count; i++)
		addresses[i] = list.addresses[i];
	message.body.kind = PRESENCE_PEERS;
	response->addresses.addresses_len = list.count;
	response->addresses.addresses_val = addresses;
	registry_send(registry, &message, from, length);
}

/* As leader, queues a rate in place of the one with revision @base; millirate 0
 * removes it. Of several reports only the first is queued. */
static bool registry_put_rate(keeper_core_t *core,
			      const config_copy_rate_t *rate, uint64_t base)
{
	config_item_t item = { .base = base };
	char id[HL_NAME_MAX];

	item.body.kind = rate->millirate ? CONFIG_PUT_COPY_RATE :
					   CONFIG_RETIRE_COPY_RATE;
	item.body.config_body_t_u.copy_rate = *rate;
	snprintf(id, sizeof(id), "rate-%016" PRIx64 "-%" PRIu64,
		 hl_hash(rate->name, strlen(rate->name), 0), base);
	return keeper_core_put_reported(core, id, &item);
}

/* Copies the name of the entry that holds the rate of a copy: the present holder
 * or, for a rate that is not known yet, an entry of the copy's zone. */
static bool registry_find_holder(keeper_registry_t *registry, const char *copy,
				 char holder[HL_NAME_MAX], usec_t now)
{
	keeper_core_t *core = registry->core;
	const presence_member_t *member = NULL;
	const config_copy_rate_t *existing = NULL;
	const config_target_t *target = NULL;

	pthread_mutex_lock(&registry->lock);
	pthread_mutex_lock(&core->lock);
	if (core->state) {
		const config_t *config = config_state_config(core->state);

		existing = config_rate_find(config, copy);
		target = config_find_target(config, copy);
	}
	if (!existing && target)
		member = presence_table_choose_one(registry->entries,
						   target->zone, copy, now);
	if (existing)
		snprintf(holder, HL_NAME_MAX, "%s", existing->holder);
	else if (member)
		snprintf(holder, HL_NAME_MAX, "%s", member->name);
	pthread_mutex_unlock(&core->lock);
	pthread_mutex_unlock(&registry->lock);
	return existing || member;
}

/* Passes on the rate that a copy names to an entry. */
static void registry_on_copy_rate(keeper_registry_t *registry,
				  const presence_copy_rate_t *report,
				  usec_t now)
{
	config_copy_rate_t rate = { .name = report->copy,
				    .started_ms = report->started_ms,
				    .millirate = report->millirate };
	char holder[HL_NAME_MAX];

	rate.holder = holder;
	if (registry_find_holder(registry, report->copy, holder, now) &&
	    registry_put_rate(registry->core, &rate, report->base))
		log_event(LOG_LEVEL_NOTICE, "copy-rate-reported",
			  "copy=%s per_second=%.3f holder=%s entry=%s "
			  "base=%" PRIu64,
			  report->copy, report->millirate / 1000.0, holder,
			  report->entry, (uint64_t)report->base);
}

static int64_t registry_wall_ms(void)
{
	return g_get_real_time() / USEC_PER_MS;
}

/* Passes on that a copy crashed while it ran a call, or that the call was
 * answered, so that it does not crash copies. */
static void registry_on_suspect(keeper_registry_t *registry,
				const presence_suspect_t *report)
{
	config_item_t item = { .base = report->base };
	config_suspect_t *suspect = &item.body.config_body_t_u.suspect;
	config_crash_t crash = { .copy = report->copy,
				 .started_ms = report->started_ms,
				 .at_ms = registry_wall_ms(),
				 .ran_ms = report->ran_ms };

	item.body.kind = report->answered ? CONFIG_RETIRE_SUSPECT :
					    CONFIG_PUT_SUSPECT;
	suspect->name = report->digest;
	suspect->crashes.crashes_len = !report->answered;
	suspect->crashes.crashes_val = &crash;
	if (keeper_core_put_reported(registry->core, "", &item))
		log_event(LOG_LEVEL_NOTICE, "suspect-reported",
			  "digest=%s copy=%s answered=%d ran_ms=%u",
			  report->digest, *report->copy ? report->copy : "-",
			  report->answered, report->ran_ms);
}

/* Marks a copy that has responded to an entry that it leaves as draining, as if it
 * had announced that. */
static void registry_on_copy_leaves(keeper_registry_t *registry,
				    const presence_copy_leaves_t *report)
{
	config_target_t *target;
	config_item_t item = { .body.kind = CONFIG_PUT_TARGET };
	keeper_core_t *core = registry->core;
	const config_target_t *current = NULL;
	char id[HL_NAME_MAX];
	bool copied = false;

	target = &item.body.config_body_t_u.target;
	pthread_mutex_lock(&core->lock);
	if (core->state)
		current = config_find_target(config_state_config(core->state),
					     report->copy);
	if (current && current->started_ms == report->started_ms)
		copied = !config_copy((xdrproc_t)xdr_config_target_t, current,
				      target, sizeof(*target));
	pthread_mutex_unlock(&core->lock);
	if (!copied)
		return;
	target->state = CONFIG_TARGET_DRAINING;
	snprintf(id, sizeof(id), "leaves-%016" PRIx64,
		 hl_hash(report->copy, strlen(report->copy), 0));
	if (keeper_core_put_reported(core, id, &item))
		log_event(LOG_LEVEL_NOTICE, "copy-leaving-reported", "copy=%s",
			  report->copy);
	xdr_free((xdrproc_t)xdr_config_target_t, (char *)target);
}

/* Records that an entry does not reach copies that other entries reach. */
static void registry_on_impaired(keeper_registry_t *registry,
				 const presence_impaired_t *report, usec_t now)
{
	pthread_mutex_lock(&registry->lock);
	presence_table_set_impaired(registry->entries, report->id, now);
	pthread_mutex_unlock(&registry->lock);
}

static void registry_on_message(keeper_registry_t *registry,
				const presence_body_t *body,
				const struct sockaddr_storage *from,
				socklen_t length, usec_t now)
{
	switch (body->kind) {
	case PRESENCE_ENTRY:
		registry_on_entry(registry, &body->presence_body_t_u.entry,
				  from, length, now);
		break;
	case PRESENCE_PEERS_REQUEST:
		registry_on_peers_request(
			registry, &body->presence_body_t_u.peers_request, from,
			length, now);
		break;
	case PRESENCE_COPIES_SEEN:
		registry_on_peer(registry, &body->presence_body_t_u.copies_seen,
				 now);
		break;
	case PRESENCE_COPY_RATE:
		registry_on_copy_rate(registry,
				      &body->presence_body_t_u.copy_rate, now);
		break;
	case PRESENCE_SUSPECT:
		registry_on_suspect(registry, &body->presence_body_t_u.suspect);
		break;
	case PRESENCE_COPY_LEAVES:
		registry_on_copy_leaves(registry,
					&body->presence_body_t_u.copy_leaves);
		break;
	case PRESENCE_IMPAIRED:
		registry_on_impaired(registry,
				     &body->presence_body_t_u.impaired, now);
		break;
	case PRESENCE_KEEPER_STATUS:
	case PRESENCE_PEERS:
	case PRESENCE_KEEPERS:
		break; /* sent to entries only */
	}
}

static void registry_receive(keeper_registry_t *registry, usec_t now)
{
	struct sockaddr_storage from = { 0 };
	socklen_t length = sizeof(from);
	char bytes[PRESENCE_BYTES_MAX];
	ssize_t size;

	while ((size = recvfrom(registry->socket, bytes, sizeof(bytes), 0,
				(struct sockaddr *)&from, &length)) >= 0) {
		presence_t message = { 0 };

		if (presence_decode(bytes, (size_t)size, registry->cluster,
				    &message)) {
			registry_on_message(registry, &message.body, &from,
					    length, now);
			presence_clear(&message);
		}
		length = sizeof(from);
	}
}

/* Context of registry_push_entry(). */
typedef struct {
	const keeper_registry_t *registry;
	const registry_view_t *view;
	unsigned entries;
} registry_push_context_t;

/* Called by presence_table_each(): send the keeper's revision to an entry with
 * an older revision. */
static void registry_push_entry(void *context, const presence_member_t *member)
{
	const registry_push_context_t *push = context;

	if (member->revision >= push->view->revision)
		return;
	registry_send_status(push->registry, push->view, NULL, true,
			     push->entries, &member->from, member->from_length);
}

/* As leader, send a new revision to entries without waiting for heartbeats. */
static void registry_push(keeper_registry_t *registry, usec_t now)
{
	registry_view_t view;
	registry_push_context_t push = { registry, &view, 0 };

	registry_read_core(registry->core, &view, now);
	if (!view.leading || view.revision <= registry->pushed_revision)
		return;
	registry->pushed_revision = view.revision;
	pthread_mutex_lock(&registry->lock);
	push.entries = presence_table_count_live(registry->entries, now);
	presence_table_each(registry->entries, now, registry_push_entry, &push);
	pthread_mutex_unlock(&registry->lock);
}

/* Report to the other keepers which copies announced themselves here. */
static void registry_report_copies(keeper_registry_t *registry,
				   const registry_view_t *view)
{
	const char *self = registry->core->settings.name;
	presence_t message = { .cluster = registry->cluster };
	presence_copies_seen_t *report =
		&message.body.presence_body_t_u.copies_seen;
	uint64_t ids[PRESENCE_COPIES_SEEN_MAX];
	struct sockaddr_storage to;
	setting_list_t keepers;
	unsigned length;
	unsigned i;

	message.body.kind = PRESENCE_COPIES_SEEN;
	report->ids.ids_val = (u_quad_t *)ids;
	keeper_core_addresses(registry->core, &view->group, &keepers);
	for (;;) {
		pthread_mutex_lock(&registry->lock);
		report->ids.ids_len = keeper_last_seen_take_unreported(
			registry->last_seen, ids, PRESENCE_COPIES_SEEN_MAX);
		pthread_mutex_unlock(&registry->lock);
		if (!report->ids.ids_len)
			return;
		for (i = 0; i < keepers.count; i++)
			if (strcmp(view->group.nodes[i].name, self) &&
			    !hl_address_parse(keepers.items[i], &to, &length))
				registry_send(registry, &message, &to, length);
	}
}

/* As leader, remove copies that no longer announce themselves at any keeper. */
static void registry_remove_silent(keeper_registry_t *registry, usec_t now)
{
	config_target_t found[REGISTRY_SILENT_MAX];
	config_target_t silent[REGISTRY_SILENT_MAX];
	keeper_core_t *core = registry->core;
	unsigned count = 0;
	unsigned i;

	pthread_mutex_lock(&registry->lock);
	pthread_mutex_lock(&core->lock);
	if (core->state)
		count = keeper_last_seen_find_silent(
			registry->last_seen, config_state_config(core->state),
			registry->silence, now, found, REGISTRY_SILENT_MAX);
	for (i = 0; i < count; i++)
		if (config_copy((xdrproc_t)xdr_config_target_t, &found[i],
				&silent[i], sizeof(silent[i])))
			break;
	count = i;
	pthread_mutex_unlock(&core->lock);
	pthread_mutex_unlock(&registry->lock);
	if (count)
		log_event(LOG_LEVEL_NOTICE, "copies-silent",
			  "count=%u first=%s silence_ms=%" PRId64, count,
			  silent[0].name, registry->silence / USEC_PER_MS);
	keeper_core_retire(core, silent, count);
	for (i = 0; i < count; i++)
		xdr_free((xdrproc_t)xdr_config_target_t, (char *)&silent[i]);
}

/* A rate whose holder no longer takes calls, with the entry that gets it. */
typedef struct {
	char copy[HL_NAME_MAX];
	uint64_t started_ms;
	unsigned millirate;
	uint64_t base;
	char holder[HL_NAME_MAX];
} registry_handover_t;

/* Finds rates whose holder takes no calls. The caller holds both locks. */
static unsigned registry_find_handovers(const keeper_registry_t *registry,
					const config_t *config, usec_t now,
					registry_handover_t *out)
{
	unsigned count = 0;
	u_int i;

	for (i = 0; i < config->copy_rates.copy_rates_len; i++) {
		const config_copy_rate_t *rate =
			&config->copy_rates.copy_rates_val[i];
		const config_target_t *target = config_find_target(config,
								   rate->name);
		const presence_member_t *next;

		if (count == REGISTRY_HOLDERS_MAX || !target ||
		    presence_table_is_ready(registry->entries, rate->holder,
					    now))
			continue;
		next = presence_table_choose_one(registry->entries,
						 target->zone, rate->name, now);
		if (!next)
			continue;
		snprintf(out[count].copy, HL_NAME_MAX, "%s", rate->name);
		snprintf(out[count].holder, HL_NAME_MAX, "%s", next->name);
		out[count].started_ms = rate->started_ms;
		out[count].millirate = rate->millirate;
		out[count++].base = rate->revision;
	}
	return count;
}

/* As leader, gives the rates of copies whose holder takes no calls any more to
 * other entries. */
static void registry_replace_holders(keeper_registry_t *registry, usec_t now)
{
	registry_handover_t found[REGISTRY_HOLDERS_MAX];
	keeper_core_t *core = registry->core;
	unsigned count = 0;
	unsigned i;

	pthread_mutex_lock(&registry->lock);
	pthread_mutex_lock(&core->lock);
	if (core->state)
		count = registry_find_handovers(
			registry, config_state_config(core->state), now, found);
	pthread_mutex_unlock(&core->lock);
	pthread_mutex_unlock(&registry->lock);
	for (i = 0; i < count; i++) {
		config_copy_rate_t rate = { .name = found[i].copy,
					    .started_ms = found[i].started_ms,
					    .millirate = found[i].millirate,
					    .holder = found[i].holder };

		if (registry_put_rate(core, &rate, found[i].base))
			log_event(LOG_LEVEL_NOTICE, "copy-rate-handed-over",
				  "copy=%s holder=%s", rate.name, rate.holder);
	}
}

/* As leader, forgets suspected calls after a time, so that a call is served
 * again when the fault in the copies has been corrected. */
static void registry_forget_suspects(keeper_registry_t *registry,
				     int64_t wall_ms)
{
	struct {
		char digest[HL_NAME_MAX];
		uint64_t revision;
	} found[REGISTRY_SUSPECTS_MAX];
	keeper_core_t *core = registry->core;
	const config_t *config;
	unsigned count = 0;
	u_int i;

	pthread_mutex_lock(&core->lock);
	config = core->state ? config_state_config(core->state) : NULL;
	for (i = 0; config && i < config->suspects.suspects_len &&
		    count < REGISTRY_SUSPECTS_MAX;
	     i++) {
		const config_suspect_t *suspect =
			&config->suspects.suspects_val[i];
		u_int last = suspect->crashes.crashes_len - 1;

		if (wall_ms - suspect->crashes.crashes_val[last].at_ms <
		    REGISTRY_SUSPECT_AGE_MS)
			continue;
		snprintf(found[count].digest, HL_NAME_MAX, "%s", suspect->name);
		found[count++].revision = suspect->revision;
	}
	pthread_mutex_unlock(&core->lock);
	for (i = 0; i < count; i++) {
		config_item_t item = { .base = found[i].revision };

		item.body.kind = CONFIG_RETIRE_SUSPECT;
		item.body.config_body_t_u.suspect.name = found[i].digest;
		keeper_core_put_reported(core, "", &item);
	}
}

/* Logs how many entries callers are not sent to, if that has changed. */
static void registry_log_impaired(keeper_registry_t *registry, usec_t now)
{
	unsigned impaired;
	unsigned live;

	pthread_mutex_lock(&registry->lock);
	impaired = presence_table_count_impaired(registry->entries, now);
	live = presence_table_count_live(registry->entries, now);
	pthread_mutex_unlock(&registry->lock);
	if (impaired == registry->impaired)
		return;
	registry->impaired = impaired;
	log_event(LOG_LEVEL_NOTICE, "entries-impaired", "impaired=%u live=%u",
		  impaired, live);
}

static void registry_tick(keeper_registry_t *registry, usec_t now)
{
	registry_view_t view;

	registry_log_impaired(registry, now);
	registry_read_core(registry->core, &view, now);
	registry_report_copies(registry, &view);
	if (view.leading && !registry->was_leading) {
		registry->leading_since = now;
		pthread_mutex_lock(&registry->lock);
		keeper_last_seen_reset(registry->last_seen);
		pthread_mutex_unlock(&registry->lock);
	}
	registry->was_leading = view.leading;
	if (view.leading) {
		registry_remove_silent(registry, now);
		registry_forget_suspects(registry, registry_wall_ms());
	}
	if (view.leading &&
	    now - registry->leading_since >= REGISTRY_HOLDER_WAIT)
		registry_replace_holders(registry, now);
}

static void registry_wait(keeper_registry_t *registry, usec_t left)
{
	struct pollfd fds[2] = { { registry->socket, POLLIN, 0 },
				 { registry->wake, POLLIN, 0 } };
	eventfd_t wakes;

	poll(fds, 2, left > 0 ? (int)(left / USEC_PER_MS) + 1 : 0);
	if (fds[1].revents)
		eventfd_read(registry->wake, &wakes);
}

static int registry_run(void *context, const volatile int *stop)
{
	keeper_registry_t *registry = context;
	usec_t due = time_now() + REGISTRY_TICK_INTERVAL;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		usec_t now = time_now();

		if (now >= due) {
			registry_tick(registry, now);
			due = now + REGISTRY_TICK_INTERVAL;
		}
		registry_push(registry, now);
		registry_wait(registry, due - now);
		registry_receive(registry, time_now());
	}
	return 0;
}

static void registry_wake(void *context)
{
	keeper_registry_on_round_end(context);
}

void keeper_registry_on_round_end(keeper_registry_t *registry)
{
	eventfd_write(registry->wake, 1);
}

supervisor_child_t keeper_registry_child(keeper_registry_t *registry)
{
	supervisor_child_t child = { "registry", registry_run, registry_wake,
				     registry };

	return child;
}

static int registry_open(keeper_registry_t *registry, hl_error_t *err)
{
	char address[HL_ADDRESS_MAX];
	struct sockaddr_storage storage;
	unsigned length;

	keeper_settings_rpc_address(&registry->core->settings, address);
	if (hl_address_parse(address, &storage, &length))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s is not a valid address; correct "
				    "node.address and keeper.port",
				    address);
	registry->socket = socket(storage.ss_family,
				  SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	registry->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (registry->socket < 0 || registry->wake < 0 ||
	    bind(registry->socket, (struct sockaddr *)&storage, length))
		return hl_error_set(err, HL_ERR_IO,
				    "cannot bind UDP %s: %s; free the port or "
				    "change keeper.port",
				    address, strerror(errno));
	return 0;
}

keeper_registry_t *keeper_registry_new(keeper_core_t *core, hl_error_t *err)
{
	keeper_registry_t *registry = calloc(1, sizeof(*registry));
	const char *cluster = core->settings.cluster;

	if (!registry) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		return NULL;
	}
	registry->core = core;
	registry->cluster = hl_hash(cluster, strlen(cluster), 0);
	registry->silence = core->settings.silence_ms * USEC_PER_MS;
	registry->socket = registry->wake = -1;
	pthread_mutex_init(&registry->lock, NULL);
	registry->entries = presence_table_new();
	registry->last_seen = keeper_last_seen_new();
	if (!registry->entries || !registry->last_seen)
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
	else if (!registry_open(registry, err))
		return registry;
	keeper_registry_free(registry);
	return NULL;
}

void keeper_registry_free(keeper_registry_t *registry)
{
	if (!registry)
		return;
	if (registry->socket >= 0)
		close(registry->socket);
	if (registry->wake >= 0)
		close(registry->wake);
	presence_table_free(registry->entries);
	keeper_last_seen_free(registry->last_seen);
	pthread_mutex_destroy(&registry->lock);
	free(registry);
}

void keeper_registry_record_copy(keeper_registry_t *registry, const char *copy,
				 usec_t now)
{
	pthread_mutex_lock(&registry->lock);
	keeper_last_seen_record(registry->last_seen, keeper_last_seen_id(copy),
				true, now);
	pthread_mutex_unlock(&registry->lock);
}

unsigned keeper_registry_choose(keeper_registry_t *registry, const char *zone,
				usec_t now, char (*out)[HL_ADDRESS_MAX],
				unsigned max)
{
	const presence_member_t **members =
		calloc(max, sizeof(const presence_member_t *));
	unsigned count = 0;
	unsigned i;

	if (!members)
		return 0;
	pthread_mutex_lock(&registry->lock);
	count = presence_table_choose(registry->entries, zone, now, members,
				      max);
	for (i = 0; i < count; i++)
		strcpy(out[i], members[i]->call_address);
	pthread_mutex_unlock(&registry->lock);
	free(members);
	return count;
}
