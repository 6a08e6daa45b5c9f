#include <string.h>
#include "entry-decide.h"
#include "entry-io.h"
#include "http-status.h"

/*
 * Questions between sibling entries which services they reach: asks siblings while
 * this entry lacks paths to copies of a service, tells the keepers when one of them
 * reaches these copies, and answers the questions of siblings.
 */

/* Target of a question, followed by the name of the service. It is no path, so that
   an entry of an earlier version refuses it and sends it to no copy. */
#define SIBLING_TARGET "hemlock-reach:"
/* Interval at which the keepers' list of siblings is read. */
#define SIBLING_LIST_INTERVAL (50 * USEC_PER_MS)
/* Age of the last response of a copy up to which its service counts as reached. */
#define SIBLING_RESPONSE_AGE (300 * USEC_PER_MS)
/* Number of copies that are tested if none has responded for longer. */
#define SIBLING_TESTS 2
/* Time for which this entry reports that it is impaired, after a sibling showed
   that it reaches copies. */
#define SIBLING_CONFIRMED_TIME (3 * USEC_PER_SEC)

/* The answers, with the reason that is sent along. */
static const struct {
	entry_sibling_state_t state;
	unsigned status;
	const char *reason;
} sibling_answers[] = {
	{ ENTRY_SIBLING_REACHES, HTTP_OK, "reaches" },
	{ ENTRY_SIBLING_TESTING, HTTP_ACCEPTED, "testing" },
	{ ENTRY_SIBLING_LACKS, HTTP_UNAVAILABLE, "unreachable" },
};

static entry_sibling_state_t sibling_state(long status)
{
	size_t i;

	if (!status)
		return ENTRY_SIBLING_SILENT;
	for (i = 0; i < G_N_ELEMENTS(sibling_answers); i++)
		if (status == (long)sibling_answers[i].status)
			return sibling_answers[i].state;
	return ENTRY_SIBLING_UNKNOWN;
}

const char *entry_sibling_question(const char *target)
{
	if (!g_str_has_prefix(target, SIBLING_TARGET))
		return NULL;
	return target + strlen(SIBLING_TARGET);
}

/* Whether this entry reaches copies of a service. If it does not know, copies are
   tested. The caller holds upstream->lock. */
static entry_sibling_state_t sibling_check(entry_upstream_t *upstream,
					   usec_t now)
{
	entry_service_t *svc = &upstream->service;
	unsigned total;

	entry_reach_count(svc, &total);
	if (!total || entry_reach_is_impaired(svc))
		return ENTRY_SIBLING_LACKS;
	if (svc->answered_at && now - svc->answered_at <= SIBLING_RESPONSE_AGE)
		return ENTRY_SIBLING_REACHES;
	if (*upstream->health_path)
		entry_reach_doubt_service(svc, SIBLING_TESTS, now);
	return ENTRY_SIBLING_TESTING;
}

void entry_sibling_answer(entry_request_t *req, const char *service, usec_t now)
{
	entry_upstream_t *upstream = entry_upstream_find(req->entry, service);
	entry_sibling_state_t state = ENTRY_SIBLING_LACKS;
	size_t i = 0;

	if (upstream) {
		pthread_mutex_lock(&upstream->lock);
		state = sibling_check(upstream, now);
		pthread_mutex_unlock(&upstream->lock);
	}
	if (state == ENTRY_SIBLING_TESTING)
		entry_tick_schedule_soon(req->entry, now);
	while (sibling_answers[i].state != state)
		i++;
	entry_request_fail(req, sibling_answers[i].status, ENTRY_NOT_RUN,
			   sibling_answers[i].reason, 0);
}

static void sibling_on_end(const entry_probe_t *probe, bool reached)
{
	entry_upstream_t *upstream = probe->context;
	usec_t now = time_now();

	(void)reached;
	entry_sibling_record(upstream, probe->address,
			     sibling_state(probe->status), now);
	entry_tick_schedule_soon(upstream->entry, now);
}

void entry_sibling_record(entry_upstream_t *upstream, const char *address,
			  entry_sibling_state_t state, usec_t now)
{
	pthread_mutex_lock(&upstream->lock);
	entry_siblings_on_answer(&upstream->siblings, address, state, now);
	pthread_mutex_unlock(&upstream->lock);
}

/* Sends a question; false if that is not possible now. */
static bool sibling_send(entry_upstream_t *upstream, const char *address)
{
	char target[sizeof(SIBLING_TARGET) + HL_NAME_MAX];
	char header[sizeof("Hemlock-Hop: ") + KEYS_HOP_MAX];
	entry_t *entry = upstream->entry;
	char hop[KEYS_HOP_MAX] = "";
	entry_probe_t probe = { .context = upstream };

	strcpy(probe.address, address);
	keys_hop_write(entry->keys, entry->settings.name, upstream->name,
		       g_get_real_time() / USEC_PER_MS, hop);
	snprintf(target, sizeof(target), SIBLING_TARGET "%s", upstream->name);
	snprintf(header, sizeof(header), "Hemlock-Hop: %s", hop);
	return !entry_prober_ask(entry->prober, target, header, &probe,
				 sibling_on_end);
}

/* Asks the next sibling; false if none is asked now. */
static bool sibling_ask(entry_upstream_t *upstream, usec_t now)
{
	entry_question_rate_t *rate = &upstream->entry->question_rate;
	char address[HL_ADDRESS_MAX] = "";
	entry_sibling_t *sibling = NULL;

	pthread_mutex_lock(&upstream->lock);
	if (entry_siblings_due(&upstream->siblings, now) <= now &&
	    entry_question_rate_take(rate, now))
		sibling = entry_siblings_next(&upstream->siblings, now);
	if (sibling)
		strcpy(address, sibling->address);
	pthread_mutex_unlock(&upstream->lock);
	if (!sibling)
		return false;
	if (sibling_send(upstream, address))
		return true;
	entry_sibling_record(upstream, address, ENTRY_SIBLING_UNKNOWN, now);
	return false;
}

/* Adds the siblings that the keepers name. Those of all zones are asked for too, as
   the whole zone may lack the same paths. */
static void sibling_read_list(entry_upstream_t *upstream, usec_t now)
{
	entry_t *entry = upstream->entry;
	presence_peers_list_t peers;
	unsigned i;

	presence_client_peers(entry->presence, now, &peers);
	pthread_mutex_lock(&upstream->lock);
	for (i = 0; i < peers.count; i++)
		if (strcmp(peers.addresses[i], entry->call_address))
			entry_siblings_add(&upstream->siblings,
					   peers.addresses[i],
					   !peers.all_zones);
	pthread_mutex_unlock(&upstream->lock);
	presence_client_ask_all_zones(entry->presence, true);
}

/* Whether siblings are needed for a service; forgets them if not. */
static bool sibling_is_needed(entry_upstream_t *upstream)
{
	bool needed;

	pthread_mutex_lock(&upstream->lock);
	needed = entry_reach_is_doubtful(&upstream->service);
	if (!needed)
		entry_siblings_clear(&upstream->siblings);
	pthread_mutex_unlock(&upstream->lock);
	return needed;
}

void entry_sibling_confirm(entry_upstream_t *upstream, const char *address,
			   usec_t now)
{
	bool impaired;
	bool is_new;

	pthread_mutex_lock(&upstream->lock);
	impaired = entry_reach_is_impaired(&upstream->service);
	is_new = impaired && !upstream->impaired_until;
	if (impaired)
		upstream->impaired_until = now + SIBLING_CONFIRMED_TIME;
	pthread_mutex_unlock(&upstream->lock);
	if (!is_new)
		return;
	log_event(LOG_LEVEL_NOTICE, "entry-impaired", "service=%s sibling=%s",
		  upstream->name, address);
	presence_client_trigger(upstream->entry->presence);
}

/* Reports this entry as impaired if a sibling reaches copies. Returns when to run
   again. */
static usec_t sibling_report(entry_upstream_t *upstream, usec_t now)
{
	char address[HL_ADDRESS_MAX] = "";
	const entry_sibling_t *sibling;
	unsigned count;
	usec_t due;

	pthread_mutex_lock(&upstream->lock);
	sibling = entry_siblings_choose(&upstream->siblings, 0, &count, now);
	if (sibling && entry_siblings_reach(&upstream->siblings, now))
		strcpy(address, sibling->address);
	due = entry_siblings_due(&upstream->siblings, now);
	pthread_mutex_unlock(&upstream->lock);
	if (*address)
		entry_sibling_confirm(upstream, address, now);
	if (due <= now || due > now + SIBLING_LIST_INTERVAL)
		due = now + SIBLING_LIST_INTERVAL;
	return due;
}

usec_t entry_sibling_run(entry_upstream_t *upstream, usec_t now)
{
	const entry_t *entry = upstream->entry;

	if (!entry->presence || !entry->prober || !sibling_is_needed(upstream))
		return USEC_NEVER;
	sibling_read_list(upstream, now);
	while (sibling_ask(upstream, now))
		;
	return sibling_report(upstream, now);
}

bool entry_sibling_choose(entry_upstream_t *upstream, char *address,
			  unsigned *count, usec_t now)
{
	const entry_sibling_t *sibling;
	bool any;

	pthread_mutex_lock(&upstream->lock);
	any = upstream->siblings.count > 0;
	sibling = entry_siblings_choose(&upstream->siblings,
					entry_random(&upstream->service,
						     G_MAXINT32),
					count, now);
	g_strlcpy(address, sibling ? sibling->address : "", HL_ADDRESS_MAX);
	pthread_mutex_unlock(&upstream->lock);
	return any;
}

bool entry_sibling_is_impaired(entry_t *entry, usec_t now)
{
	entry_upstream_t *upstream = NULL;
	bool found = false;

	while (!found && (upstream = entry_upstream_next(entry, upstream))) {
		pthread_mutex_lock(&upstream->lock);
		found = now < upstream->impaired_until;
		pthread_mutex_unlock(&upstream->lock);
	}
	return found;
}
