#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "config-follow-internal.h"
#include "rpc-server.h"

/* Maximum number of restarts of a failing thread within the window; after that
 * the supervisor gives up. */
#define CONFIG_FOLLOW_RESTARTS_MAX 10
#define CONFIG_FOLLOW_RESTARTS_WINDOW (60 * USEC_PER_SEC)
/* Age of the last confirmation after which the keepers count as out of reach. */
#define CONFIG_FOLLOW_REACHED_AGE_MAX (4 * USEC_PER_SEC)
/* Time between two confirmations of the leading keeper from which the second one is
 * logged. */
#define CONFIG_FOLLOW_GAP_LOGGED (2 * USEC_PER_SEC)
/* Minimum time between two polls for calls that siblings hand over. */
#define CONFIG_FOLLOW_SIBLING_POLL_INTERVAL (500 * USEC_PER_MS)
/* Maximum age of a child's report, in poll intervals. */
#define CONFIG_FOLLOW_REPORT_MAX_POLLS 3

static void config_follow_metrics(config_follow_t *follow, metrics_t *metrics)
{
	config_source_init(&follow->source, metrics);
	follow->metrics.revision =
		metrics_gauge(metrics, "hemlock_config_revision", "",
			      "revision of the configuration in force");
	follow->metrics.deltas =
		metrics_counter(metrics, "hemlock_config_deltas_total", "",
				"accepted changes that came as deltas");
	follow->metrics.full_configs =
		metrics_counter(metrics, "hemlock_config_wholes_total", "",
				"whole configurations taken over");
	follow->metrics.failures =
		metrics_counter(metrics, "hemlock_config_failures_total", "",
				"questions to a parent or keeper that failed");
	follow->metrics.sibling_questions = metrics_counter(
		metrics, "hemlock_config_sibling_questions_total", "",
		"questions to siblings for the keepers");
	follow->metrics.sibling_drops =
		metrics_counter(metrics, "hemlock_config_sibling_drops_total",
				"", "malformed or foreign answers of siblings");
	follow->metrics.keepers_drops =
		metrics_counter(metrics, "hemlock_config_keepers_drops_total",
				"", "older or malformed lists of keepers");
}

static int config_follow_init(config_follow_t *follow,
			      const config_follow_options_t *options)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&follow->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&follow->wake, &attr);
	pthread_condattr_destroy(&attr);
	strncpy(follow->name, options->name, sizeof(follow->name) - 1);
	if (options->rpc_address)
		strncpy(follow->rpc_address, options->rpc_address,
			sizeof(follow->rpc_address) - 1);
	follow->settings = options->settings;
	follow->outdated_from = USEC_NEVER;
	follow->start_state = 1;
	follow->keepers.list = options->settings.keepers;
	follow->members = options->members;
	follow->members_context = options->members_context;
	follow->changed = options->changed;
	follow->on_confirmed = options->on_confirmed;
	follow->on_pending_copies = options->on_pending_copies;
	follow->on_keepers = options->on_keepers;
	follow->siblings = options->siblings;
	follow->sign = options->sign;
	follow->cluster = options->cluster;
	follow->changed_context = options->changed_context;
	follow->jitter_seed = (unsigned)hl_hash(follow->name,
						strlen(follow->name), 0);
	follow->sibling.next = follow->jitter_seed;
	follow->report.max_age = CONFIG_FOLLOW_REPORT_MAX_POLLS *
					 follow->settings.poll_ms *
					 USEC_PER_MS +
				 follow->settings.timeout_ms * USEC_PER_MS;
	follow->live = calloc(CONFIG_FOLLOW_MEMBERS_MAX, sizeof(*follow->live));
	follow->live_next = calloc(CONFIG_FOLLOW_MEMBERS_MAX,
				   sizeof(*follow->live_next));
	if (config_tail_init(&follow->tail))
		return -1;
	return follow->live && follow->live_next ? 0 : -1;
}

config_follow_t *config_follow_new(const config_follow_options_t *options,
				   hl_error_t *err)
{
	config_follow_t *follow;

	if (!options->settings.keepers.count) {
		hl_error_set(err, HL_ERR_SETTINGS,
			     "no keepers are configured; set config.keepers");
		return NULL;
	}
	follow = calloc(1, sizeof(*follow));
	if (!follow || config_follow_init(follow, options)) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		goto fail;
	}
	config_follow_metrics(follow, options->metrics);
	if (*follow->rpc_address && config_serve_open(follow, err))
		goto fail;
	return follow;
fail:
	config_follow_free(follow);
	return NULL;
}

/* Blocks SIGPIPE, so that a write to a connection closed by the peer does not
 * end the process. The polling and the serving thread inherit the mask. */
static void config_follow_block_sigpipe(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Creates the supervisor of the polling and the serving thread; each run of the
 * follower needs a new one. */
static supervisor_t *config_follow_threads(config_follow_t *follow)
{
	const supervisor_child_t serve = { .name = "config-serve",
					   .run = config_serve_run,
					   .wake = rpc_server_wake,
					   .context = follow };
	bool tree = *follow->rpc_address != '\0';
	const supervisor_child_t poll = { .name = "config-poll",
					  .run = tree ? config_poll_run :
							config_direct_run,
					  .wake = config_follow_wake_poll,
					  .context = follow };
	supervisor_t *threads = supervisor_new("config",
					       CONFIG_FOLLOW_RESTARTS_MAX,
					       CONFIG_FOLLOW_RESTARTS_WINDOW);

	if (threads &&
	    ((*follow->rpc_address && supervisor_add(threads, &serve, NULL)) ||
	     supervisor_add(threads, &poll, NULL))) {
		supervisor_free(threads);
		threads = NULL;
	}
	return threads;
}

static int config_follow_run(void *context, const volatile int *stop)
{
	config_follow_t *follow = context;
	supervisor_t *threads;
	int rc = -1;

	config_follow_block_sigpipe();
	threads = config_follow_threads(follow);
	if (!threads)
		return -1;
	pthread_mutex_lock(&follow->lock);
	follow->threads = threads;
	pthread_mutex_unlock(&follow->lock);
	if (__atomic_load_n(stop, __ATOMIC_ACQUIRE))
		rc = 0;
	else
		rc = supervisor_run(threads);
	pthread_mutex_lock(&follow->lock);
	follow->threads = NULL;
	pthread_mutex_unlock(&follow->lock);
	supervisor_free(threads);
	return rc;
}

static void config_follow_wake(void *context)
{
	config_follow_t *follow = context;

	pthread_mutex_lock(&follow->lock);
	if (follow->threads)
		supervisor_stop(follow->threads);
	pthread_mutex_unlock(&follow->lock);
}

supervisor_child_t config_follow_child(config_follow_t *follow)
{
	supervisor_child_t child = {
		.name = "config",
		.run = config_follow_run,
		.wake = config_follow_wake,
		.context = follow,
	};

	return child;
}

void config_follow_wake_poll(void *context)
{
	config_follow_t *follow = context;

	pthread_mutex_lock(&follow->lock);
	pthread_cond_broadcast(&follow->wake);
	pthread_mutex_unlock(&follow->lock);
}

bool config_follow_pause(config_follow_t *follow, usec_t span,
			 const volatile int *stop)
{
	usec_t until = time_now() + span;
	struct timespec at = { .tv_sec = until / USEC_PER_SEC,
			       .tv_nsec = until % USEC_PER_SEC * 1000 };
	bool triggered;

	pthread_mutex_lock(&follow->lock);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE) && !follow->triggered &&
	       pthread_cond_timedwait(&follow->wake, &follow->lock, &at) !=
		       ETIMEDOUT)
		;
	triggered = follow->triggered;
	follow->triggered = false;
	pthread_mutex_unlock(&follow->lock);
	return triggered;
}

void config_follow_drop_keepers(config_follow_t *follow,
				const presence_keepers_t *keepers,
				presence_keepers_result_t result,
				const char *reporter)
{
	metrics_add(follow->metrics.keepers_drops, 1);
	presence_keepers_log_dropped(&follow->keepers, keepers, result,
				     reporter);
}

void config_follow_offer_keepers(config_follow_t *follow,
				 const presence_keepers_t *keepers,
				 const char *reporter)
{
	presence_keepers_result_t result;

	result = presence_keepers_offer(&follow->keepers, keepers);
	if (result == PRESENCE_KEEPERS_OLDER ||
	    result == PRESENCE_KEEPERS_MALFORMED)
		config_follow_drop_keepers(follow, keepers, result, reporter);
}

void config_follow_trigger(config_follow_t *follow,
			   const presence_keepers_t *keepers,
			   const char *leader, const char *reporter)
{
	pthread_mutex_lock(&follow->lock);
	follow->triggered = true;
	/* The presence client has counted the lists that it has dropped. */
	presence_keepers_offer(&follow->keepers, keepers);
	if (*leader)
		strcpy(follow->leader, leader);
	else if (!follow->ready && *reporter)
		strcpy(follow->leader, reporter);
	if (follow->multi)
		curl_multi_wakeup(follow->multi);
	pthread_cond_broadcast(&follow->wake);
	pthread_mutex_unlock(&follow->lock);
}

void config_follow_on_sibling(config_follow_t *follow, usec_t now)
{
	usec_t last = __atomic_load_n(&follow->sibling_poll_at,
				      __ATOMIC_RELAXED);
	const presence_keepers_t unchanged = { 0 };

	if ((last && now - last < CONFIG_FOLLOW_SIBLING_POLL_INTERVAL) ||
	    !__atomic_compare_exchange_n(&follow->sibling_poll_at, &last, now,
					 false, __ATOMIC_RELAXED,
					 __ATOMIC_RELAXED))
		return;
	config_follow_trigger(follow, &unchanged, "", "");
}

void config_follow_set_ports(setting_list_t *list, uint16_t port)
{
	unsigned i;

	for (i = 0; port && i < list->count; i++) {
		char *colon = strrchr(list->items[i], ':');
		size_t room = HL_ADDRESS_MAX - (size_t)(colon - list->items[i]);

		snprintf(colon, room, ":%u", port);
	}
}

uint16_t config_follow_control_port(const config_follow_settings_t *settings)
{
	const char *first = settings->keepers.items[0];

	return (uint16_t)strtoul(strrchr(first, ':') + 1, NULL, 10);
}

const config_t *config_follow_get(config_follow_t *follow)
{
	return __atomic_load_n(&follow->config, __ATOMIC_ACQUIRE);
}

uint64_t config_follow_revision(config_follow_t *follow)
{
	uint64_t revision;

	pthread_mutex_lock(&follow->lock);
	revision = follow->confirm.applied;
	pthread_mutex_unlock(&follow->lock);
	return revision;
}

bool config_follow_ready(config_follow_t *follow)
{
	bool ready;

	pthread_mutex_lock(&follow->lock);
	ready = follow->ready;
	pthread_mutex_unlock(&follow->lock);
	return ready;
}

bool config_follow_confirmed(const config_follow_t *follow, usec_t now)
{
	usec_t at = __atomic_load_n(&follow->newest_at, __ATOMIC_ACQUIRE);
	usec_t max = follow->settings.confirm_ms * USEC_PER_MS;

	return at && now - at <= max &&
	       __atomic_load_n(&follow->outdated_from, __ATOMIC_ACQUIRE) ==
		       USEC_NEVER;
}

usec_t config_follow_confirmed_at(const config_follow_t *follow)
{
	return __atomic_load_n(&follow->newest_at, __ATOMIC_ACQUIRE);
}

bool config_follow_may_confirm(const config_follow_t *follow, usec_t now)
{
	usec_t at = __atomic_load_n(&follow->newest_at, __ATOMIC_ACQUIRE);

	return at && now - at <= CONFIG_FOLLOW_REACHED_AGE_MAX;
}

void config_follow_view(config_follow_t *follow, config_follow_view_t *view)
{
	pthread_mutex_lock(&follow->lock);
	view->revision = follow->revision;
	view->applied = follow->confirm.applied;
	view->newest_at = follow->confirm.newest_at;
	pthread_mutex_unlock(&follow->lock);
}

void config_follow_update_lag(config_follow_t *follow)
{
	usec_t max = follow->settings.outdated_ms * USEC_PER_MS;

	__atomic_store_n(&follow->outdated_until,
			 config_lag_outdated_until(&follow->lag),
			 __ATOMIC_RELAXED);
	__atomic_store_n(&follow->outdated_from,
			 config_lag_outdated_from(&follow->lag, max),
			 __ATOMIC_RELEASE);
}

void config_follow_report(config_follow_t *follow, uint64_t revision,
			  usec_t now)
{
	pthread_mutex_lock(&follow->lock);
	config_lag_report(&follow->lag, follow->confirm.applied, revision, now);
	config_follow_update_lag(follow);
	pthread_mutex_unlock(&follow->lock);
}

unsigned config_follow_start_state(const config_follow_t *follow)
{
	return __atomic_load_n(&follow->start_state, __ATOMIC_ACQUIRE);
}

bool config_follow_holds(config_follow_t *follow, unsigned state,
			 const char *host, const char *target,
			 size_t prefix_length, usec_t now)
{
	usec_t max = follow->settings.outdated_ms * USEC_PER_MS;
	bool held;

	pthread_mutex_lock(&follow->lock);
	held = state != follow->start_state || follow->start_recording ||
	       config_start_state(&follow->start, max, now) ==
		       CONFIG_START_WAITING ||
	       config_start_is_pending(&follow->start, host, target,
				       prefix_length);
	pthread_mutex_unlock(&follow->lock);
	return held;
}

bool config_follow_copy_is_pending(config_follow_t *follow, const char *name)
{
	bool pending;

	if (!config_follow_start_state(follow))
		return false;
	pthread_mutex_lock(&follow->lock);
	pending = !follow->confirm.newest_at &&
		  config_start_copy_is_pending(&follow->start, name);
	pthread_mutex_unlock(&follow->lock);
	return pending;
}

/* Writes the fields that are logged when the entry begins to route calls. The caller
 * holds the lock of @follow. */
static void config_follow_describe_start(const config_follow_t *follow,
					 config_start_state_t state, usec_t now,
					 char *out, size_t size)
{
	static const char *const reasons[] = {
		[CONFIG_START_WAITING] = "waiting",
		[CONFIG_START_QUORUM] = "quorum",
		[CONFIG_START_RELEASE] = "earlier-release",
		[CONFIG_START_TIMEOUT] = "timeout",
	};
	const config_start_t *start = &follow->start;
	bool confirmed = follow->confirm.newest_at != 0;
	unsigned voters;
	unsigned responders = config_start_responders(start, &voters);

	snprintf(out, size,
		 "reason=%s responders=%u voters=%u pending=%u "
		 "waited_ms=%" PRId64,
		 confirmed ? "leader" : reasons[state], responders, voters,
		 config_start_pending(start),
		 start->since ? (now - start->since) / USEC_PER_MS : 0);
}

usec_t config_follow_check_start(config_follow_t *follow, usec_t now)
{
	usec_t max = follow->settings.outdated_ms * USEC_PER_MS;
	usec_t due = USEC_NEVER;
	config_start_state_t state;
	char text[HL_MESSAGE_MAX];
	bool begins = false;

	pthread_mutex_lock(&follow->lock);
	if (!follow->started &&
	    (follow->confirm.newest_at || follow->start.since)) {
		state = config_start_state(&follow->start, max, now);
		begins = follow->confirm.newest_at ||
			 state != CONFIG_START_WAITING;
		due = begins ? USEC_NEVER : follow->start.since + max;
		config_follow_describe_start(follow, state, now, text,
					     sizeof(text));
	}
	follow->started = follow->started || begins;
	pthread_mutex_unlock(&follow->lock);
	if (!begins)
		return due;
	log_event(LOG_LEVEL_NOTICE, "config-started", "%s", text);
	if (follow->on_confirmed)
		follow->on_confirmed(follow->changed_context);
	return due;
}

/* Releases calls after a response was recorded, once its copies take none. */
static void config_follow_end_recording(config_follow_t *follow)
{
	if (follow->on_pending_copies)
		follow->on_pending_copies(follow->changed_context);
	pthread_mutex_lock(&follow->lock);
	follow->start_recording = false;
	if (!follow->confirm.newest_at)
		__atomic_store_n(&follow->start_state, follow->start_state + 1,
				 __ATOMIC_RELEASE);
	pthread_mutex_unlock(&follow->lock);
}

void config_follow_record_start(config_follow_t *follow,
				const config_start_response_t *response,
				uint64_t revision, usec_t now)
{
	bool changed;

	pthread_mutex_lock(&follow->lock);
	changed = !follow->confirm.newest_at &&
		  config_start_record(&follow->start, response, revision, now);
	follow->start_recording = changed;
	pthread_mutex_unlock(&follow->lock);
	if (changed)
		config_follow_end_recording(follow);
	config_follow_check_start(follow, now);
	if (changed && follow->on_confirmed)
		follow->on_confirmed(follow->changed_context);
}

void config_follow_confirm(config_follow_t *follow, uint64_t newest, usec_t at,
			   const char *source)
{
	usec_t last;
	bool recorded;
	bool first;

	pthread_mutex_lock(&follow->lock);
	last = follow->confirm.newest_at;
	recorded = config_confirm_record(&follow->confirm, newest, at);
	__atomic_store_n(&follow->newest_at, follow->confirm.newest_at,
			 __ATOMIC_RELEASE);
	first = recorded && follow->start_state;
	if (recorded)
		__atomic_store_n(&follow->start_state, 0, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&follow->lock);
	if (!recorded)
		return;
	config_follow_check_start(follow, time_now());
	if (!last || at - last > CONFIG_FOLLOW_GAP_LOGGED)
		log_event(LOG_LEVEL_NOTICE, "config-confirmed",
			  "revision=%" PRIu64 " source=%s gap_ms=%" PRId64,
			  newest, source,
			  last ? (at - last) / USEC_PER_MS : -1);
	if (first && follow->on_pending_copies)
		follow->on_pending_copies(follow->changed_context);
	if (follow->on_confirmed)
		follow->on_confirmed(follow->changed_context);
}

bool config_follow_outdated(const config_follow_t *follow, usec_t now)
{
	return now >= __atomic_load_n(&follow->outdated_from,
				      __ATOMIC_ACQUIRE) &&
	       now < __atomic_load_n(&follow->outdated_until, __ATOMIC_RELAXED);
}

void config_follow_free(config_follow_t *follow)
{
	if (!follow)
		return;
	config_serve_close(follow);
	if (follow->tail.ring.items)
		config_tail_fini(&follow->tail);
	if (follow->config)
		xdr_free((xdrproc_t)xdr_config_t, (char *)follow->config);
	free(follow->config);
	free(follow->live);
	free(follow->live_next);
	pthread_cond_destroy(&follow->wake);
	pthread_mutex_destroy(&follow->lock);
	free(follow);
}
