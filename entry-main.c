#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include "entry-claim.h"
#include "entry-control.h"
#include "entry-main.h"

/*
 * Builds the entry from its settings, runs its threads and servers under a
 * supervisor, and tears it down.
 */

/* Number of thread restarts within MAIN_RESTART_WINDOW after which the
   supervisor gives up. */
#define MAIN_RESTARTS_MAX 5
#define MAIN_RESTART_WINDOW (60 * USEC_PER_SEC)

/* Applies the settings that can change without a restart: the log level and
   the keys in the key file. */
static void main_reload(void *context)
{
	entry_t *entry = context;
	static entry_settings_t settings;
	hl_error_t err = { 0 };
	char quoted[HL_MESSAGE_MAX];

	if (entry_settings_load(entry->settings_path, &settings, &err)) {
		log_event(LOG_LEVEL_ERROR, "settings-refused", "message=%s",
			  log_quote(err.message, quoted, sizeof(quoted)));
		return;
	}
	if (keys_reload(entry->keys, &err)) {
		log_event(LOG_LEVEL_ERROR, "keys-refused", "message=%s",
			  log_quote(err.message, quoted, sizeof(quoted)));
		return;
	}
	log_set_level(settings.log_level);
	log_event(LOG_LEVEL_NOTICE, "settings-read", "log_level=%d keys=%u",
		  (int)settings.log_level, keys_count(entry->keys));
}

/* Adds the threads that communicate with other entries or, with entry.routed,
   with keepers and copies. */
static int main_add_peers(entry_t *entry, supervisor_t *sup, hl_error_t *err)
{
	supervisor_child_t presence;
	supervisor_child_t prober;
	supervisor_child_t member;
	supervisor_child_t owner;

	if (entry->presence) {
		presence = presence_client_child(entry->presence);
		prober = entry_prober_child(entry->prober);
		if (supervisor_add(sup, &presence, err))
			return -1;
		return entry->prober ? supervisor_add(sup, &prober, err) : 0;
	}
	member = member_child(entry->member);
	owner = owner_child(entry->owner);
	if (supervisor_add(sup, &member, err))
		return -1;
	return supervisor_add(sup, &owner, err);
}

static int main_add_children(entry_t *entry, supervisor_t *sup, hl_error_t *err)
{
	supervisor_child_t signals = signals_child(&entry->signals);
	supervisor_child_t watch = entry_watch_child(entry->watch);
	supervisor_child_t tick = entry_tick_child(entry);

	entry->signals.supervisor = sup;
	entry->signals.reload = main_reload;
	entry->signals.context = entry;
	entry->signals.settings_path = entry->settings_path;
	if (supervisor_add(sup, &signals, err) ||
	    supervisor_add(sup, &watch, err) || main_add_peers(entry, sup, err))
		return -1;
	if (entry->follow) {
		supervisor_child_t follow = config_follow_child(entry->follow);

		if (supervisor_add(sup, &follow, err))
			return -1;
	}
	return supervisor_add(sup, &tick, err);
}

static void main_format_address(char *out, const entry_settings_t *settings,
				int64_t port)
{
	bool ipv6 = strchr(settings->address, ':') != NULL;

	snprintf(out, HL_ADDRESS_MAX, "%s%.45s%s:%d", ipv6 ? "[" : "",
		 settings->address, ipv6 ? "]" : "", (int)port);
}

static int main_new_keys(entry_t *entry, hl_error_t *err)
{
	entry->keys = keys_new(entry->settings.key_file, err);
	if (!entry->keys)
		return -1;
	if (!keys_count(entry->keys))
		log_event(LOG_LEVEL_WARNING, "no-keys",
			  "message=\"any host that reaches the peer port is "
			  "trusted; set node.key_file\"");
	return 0;
}

static int main_new_member(entry_t *entry, hl_error_t *err)
{
	const entry_settings_t *settings = &entry->settings;
	member_options_t options = {
		.seeds = &settings->seeds,
		.keys = entry->keys,
		.metrics = entry->metrics,
		.revision = entry_config_revision,
		.context = entry,
		.seed = hl_hash(settings->name, strlen(settings->name), 0),
	};

	strcpy(options.self.name, settings->name);
	strcpy(options.self.zone, settings->zone);
	strcpy(options.group, settings->region);
	strcpy(options.bind_address, settings->peer_bind);
	main_format_address(options.self.call_address, settings,
			    settings->call_port);
	main_format_address(options.self.control_address, settings,
			    settings->control_port);
	main_format_address(options.self.peer_address, settings,
			    settings->peer_port);
	main_format_address(options.self.rpc_address, settings,
			    settings->rpc_port);
	strcpy(entry->call_address, options.self.call_address);
	entry->member = member_new(&options, err);
	if (!entry->member || entry_owner_new(entry, &options.self, err) ||
	    entry_config_new(entry, &options.self, err))
		return -1;
	entry->claims = entry_claims_new(entry, options.self.peer_address,
					 entry->first_start, time_now(), err);
	return entry->claims ? 0 : -1;
}

/* With entry.routed, routes and copies come from the keepers; there is no
   membership of entries, and no entry owns copies. */
static int main_new_routed(entry_t *entry, hl_error_t *err)
{
	const entry_settings_t *settings = &entry->settings;

	if (*settings->call_listen)
		strcpy(entry->call_address, settings->call_listen);
	else
		main_format_address(entry->call_address, settings,
				    settings->call_port);
	entry->pending = entry_pending_new(time_now());
	if (!entry->pending)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	if (entry_config_new(entry, NULL, err))
		return -1;
	entry_config_age_init(&entry->config_age, entry->metrics);
	if (entry->policy == ENTRY_POLICY_REPORTS && settings->headers->load) {
		entry->prober = entry_prober_new(settings->headers,
						 settings->connect_from,
						 entry_probe_on_state,
						 entry_probe_on_late,
						 entry->metrics, err);
		if (!entry->prober)
			return -1;
	}
	return entry_target_presence_new(entry, err);
}

/* Lets new calls be decided on by the times of the stop. */
static void main_begin_stop(entry_t *entry, usec_t now)
{
	const entry_settings_t *settings = &entry->settings;
	entry_stop_times_t times = {
		.accept = settings->accept_ms * USEC_PER_MS,
		.linger = settings->linger_ms * USEC_PER_MS,
		.drain = settings->stop_ms * USEC_PER_MS,
		.grace = llround(settings->grace_s * USEC_PER_SEC),
	};

	entry->stop = entry_stop_begin(&times, now);
	__atomic_store_n(&entry->stopping, 1, __ATOMIC_RELEASE);
}

/* Waits until the port is to be closed. */
static void main_linger(const entry_t *entry, usec_t now)
{
	usec_t left = entry->stop.listen_until - now;
	struct timespec span = { left / USEC_PER_SEC,
				 left % USEC_PER_SEC * 1000 };

	if (left > 0)
		nanosleep(&span, NULL);
}

/* Starts the threads and servers and runs until a graceful stop. */
static int main_serve(entry_t *entry, supervisor_t *sup, hl_error_t *err)
{
	usec_t now;
	int rc = -1;

	entry->started = time_now();
	if (main_add_children(entry, sup, err) ||
	    entry_control_start(entry, err) || entry_http_start(entry, err))
		goto out;
	log_event(LOG_LEVEL_NOTICE, "started",
		  "%s address=%s call_port=%" PRId64 " control_port=%" PRId64,
		  build_id_text, entry->settings.address,
		  entry->settings.call_port, entry->settings.control_port);
	rc = supervisor_run(sup);
	if (rc)
		hl_error_set(err, HL_ERR_LIMIT,
			     "threads failed too often; see the log lines "
			     "above");
	now = time_now();
	main_begin_stop(entry, now);
	log_event(LOG_LEVEL_NOTICE, "stopping",
		  "in_flight=%u linger_ms=%" PRId64 " end_ms=%" PRId64,
		  __atomic_load_n(&entry->in_flight, __ATOMIC_ACQUIRE),
		  (entry->stop.listen_until - now) / USEC_PER_MS,
		  (entry->stop.end - now) / USEC_PER_MS);
	if (entry->presence) {
		presence_client_trigger(entry->presence);
	} else {
		owner_leave(entry->owner);
		member_leave(entry->member);
	}
	main_linger(entry, time_now());
out:
	entry_http_stop(entry);
	entry_control_stop(entry);
	return rc;
}

int entry_main_run(const entry_settings_t *settings, const char *path,
		   bool first_start, hl_error_t *err)
{
	entry_t entry = { .settings = *settings,
			  .settings_path = path,
			  .first_start = first_start };
	supervisor_t *sup = NULL;
	int rc = -1;

	pthread_mutex_init(&entry.upstreams_lock, NULL);
	pthread_mutex_init(&entry.rules_lock, NULL);
	CDS_INIT_LIST_HEAD(&entry.upstreams);
	entry_tick_init(&entry);
	entry.upstreams_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	entry_policy_parse(settings->policy, &entry.policy);
	curl_global_init(CURL_GLOBAL_ALL);
	entry.metrics = metrics_new();
	entry.work = entry_work_new((unsigned)settings->workers_max);
	entry.watch = entry_watch_new(err);
	entry.read_timeout = entry_read_timeout_new(settings, entry.metrics);
	entry.linger = entry_linger_new();
	entry.forward = entry_forward_new();
	entry.crashes = entry_crashes_new();
	sup = supervisor_new("entry", MAIN_RESTARTS_MAX, MAIN_RESTART_WINDOW);
	if (!entry.metrics || !entry.work || !entry.watch ||
	    !entry.read_timeout || !entry.linger || !entry.forward ||
	    !entry.crashes || !sup) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		goto out;
	}
	entry.lend_header_bytes = metrics_counter(
		entry.metrics, "hemlock_lend_header_bytes_total", "",
		"Bytes of lending in the heads of handed-over calls.");
	entry.mismatched_responses = metrics_counter(
		entry.metrics, "hemlock_mismatched_responses_total", "",
		"Responses that belonged to another call than the one sent.");
	if (main_new_keys(&entry, err) ||
	    (settings->routed ? main_new_routed(&entry, err) :
				main_new_member(&entry, err)))
		goto out;
	rc = main_serve(&entry, sup, err);
	log_event(LOG_LEVEL_NOTICE, "stopped", "result=%d", rc);
out:
	entry_work_free(entry.work);
	supervisor_free(sup);
	entry_watch_free(entry.watch);
	entry_read_timeout_free(entry.read_timeout);
	entry_linger_free(entry.linger);
	entry_claims_free(entry.claims);
	config_follow_free(entry.follow);
	presence_client_free(entry.presence);
	entry_prober_free(entry.prober);
	entry_pending_free(entry.pending);
	entry_rules_free(entry.rules);
	owner_free(entry.owner);
	member_free(entry.member);
	keys_free(entry.keys);
	entry_upstream_free_all(&entry);
	g_hash_table_destroy(entry.upstreams_by_name);
	entry_forward_free(entry.forward);
	entry_crashes_free(entry.crashes);
	metrics_free(entry.metrics);
	pthread_mutex_destroy(&entry.rules_lock);
	pthread_mutex_destroy(&entry.upstreams_lock);
	curl_global_cleanup();
	return rc;
}
