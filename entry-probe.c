#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include "entry-io.h"

/*
 * The baseline of two choices: before each call two copies drawn at random are
 * asked for their load, at the same time, and the less loaded one gets it.
 */

#define PROBE_BODY_MAX 512
#define PROBE_TIMEOUT_MS 200L
/* What a copy that did not answer its probe counts as. */
#define PROBE_SILENT UINT32_MAX

typedef struct {
	entry_conn_pool_t *place;
	entry_link_t *link;
	char body[PROBE_BODY_MAX];
	size_t length;
	unsigned load;
} probe_t;

static size_t probe_write(char *bytes, size_t size, size_t count, void *context)
{
	probe_t *probe = context;
	size_t length = size * count;

	if (probe->length + length > PROBE_BODY_MAX)
		return 0;
	memcpy(probe->body + probe->length, bytes, length);
	probe->length += length;
	return length;
}

static int probe_begin(const entry_t *entry, probe_t *probe, CURLM *multi)
{
	char url[HL_ADDRESS_MAX + HL_MESSAGE_MAX + sizeof("http://")];
	CURL *easy;

	probe->load = PROBE_SILENT;
	probe->link = entry_place_get(probe->place, false);
	if (!probe->link)
		return -1;
	easy = probe->link->easy;
	snprintf(url, sizeof(url), "http://%s%s", probe->place->address,
		 entry->settings.probe_path);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, probe_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, probe);
	return curl_multi_add_handle(multi, easy) ? -1 : 0;
}

static void probe_read(probe_t *probe)
{
	json_t *root = json_loadb(probe->body, probe->length, 0, NULL);
	json_int_t outstanding;

	if (root && !json_unpack(root, "{s:I}", "outstanding", &outstanding) &&
	    outstanding >= 0 && outstanding < PROBE_SILENT)
		probe->load = (unsigned)outstanding;
	json_decref(root);
}

static void probe_end(probe_t *probe, CURLM *multi)
{
	if (!probe->link)
		return;
	curl_multi_remove_handle(multi, probe->link->easy);
	entry_place_put(probe->place, probe->link, true);
	probe_read(probe);
}

/* Both at once, so that a call waits for the slower one alone. */
static void probe_both(const entry_t *entry, probe_t *probes)
{
	CURLM *multi = curl_multi_init();
	int running = 1;

	if (!multi)
		return;
	probe_begin(entry, &probes[0], multi);
	probe_begin(entry, &probes[1], multi);
	while (running && !curl_multi_perform(multi, &running))
		if (running)
			curl_multi_poll(multi, NULL, 0, PROBE_TIMEOUT_MS, NULL);
	probe_end(&probes[0], multi);
	probe_end(&probes[1], multi);
	curl_multi_cleanup(multi);
}

/* Draw two copies and hold their places; -1 if none takes new work. */
static int probe_draw(entry_route_t *route, entry_copy_t *two[2],
		      probe_t *probes)
{
	int rc;
	int i;

	pthread_mutex_lock(&route->lock);
	rc = entry_service_draw_two(&route->service, two);
	for (i = 0; !rc && i < 2; i++) {
		probes[i].place = two[i]->io;
		entry_place_ref(probes[i].place);
	}
	pthread_mutex_unlock(&route->lock);
	return rc;
}

entry_decision_t entry_probe_choose(entry_request_t *req)
{
	entry_decision_t decision = { ENTRY_REFUSE, ENTRY_REFUSE_NO_COPY,
				      USEC_PER_SEC };
	entry_route_t *route = req->route;
	probe_t probes[2] = { 0 };
	entry_copy_t *two[2];
	unsigned loads[2];

	if (probe_draw(route, two, probes))
		return decision;
	probe_both(req->entry, probes);
	loads[0] = probes[0].load;
	loads[1] = probes[1].load;
	pthread_mutex_lock(&route->lock);
	decision = entry_service_send_less_loaded(&route->service, &req->call,
						  two, loads, time_now());
	pthread_mutex_unlock(&route->lock);
	entry_conn_pool_unref(probes[0].place);
	entry_conn_pool_unref(probes[1].place);
	return decision;
}

/*
 * Copies whose speed changes faster than answers tell: ask a few before each
 * call, then let the policy choose by what they told.
 */

/* Copies asked at once. */
#define PROBE_REPORTS 2u
/* Rounds in the zone before copies of other zones are asked. */
#define PROBE_ROUNDS_NEAR 3
/* Those of them after which only a quick copy will do. */
#define PROBE_ROUNDS_CHOOSY 2
/* A copy that told something so lately is not asked again. */
#define PROBE_FRESH (30 * USEC_PER_MS)
/* Between two looks for a copy that is quick. */
#define PROBE_PAUSE (50 * USEC_PER_MS)
/* One that answers takes at most this on an idle machine. */
#define PROBE_WAIT_SOME (12 * USEC_PER_MS)
#define PROBE_WAIT_ALL (40 * USEC_PER_MS)
/* A copy that is no slower than this, and has a free slot, will do. */
#define PROBE_SLOWNESS_GOOD 150u
/* What a copy that did not answer in time counts as. */
#define PROBE_SLOWNESS_SILENT 1000u

static bool probe_is_good(const load_t *load)
{
	return load->slowness <= PROBE_SLOWNESS_GOOD && !load->waiting &&
	       load->running < load->slots;
}

/* Copies to ask that were not asked for this call; their number. */
static unsigned probe_candidates(entry_route_t *route, entry_call_t *call,
				 usec_t asked_after, bool near, bool usual,
				 entry_probe_t *probes, char *path)
{
	entry_copy_t *copies[PROBE_REPORTS];
	unsigned count;
	unsigned i;

	pthread_mutex_lock(&route->lock);
	count = entry_service_candidates(&route->service, call, asked_after,
					 near, usual, copies, PROBE_REPORTS,
					 time_now());
	for (i = 0; i < count; i++) {
		memset(&probes[i], 0, sizeof(probes[i]));
		strcpy(probes[i].address, copies[i]->address);
		strcpy(probes[i].copy, copies[i]->name);
	}
	strcpy(path, route->health_path);
	pthread_mutex_unlock(&route->lock);
	return *path ? count : 0;
}

/* Note what the copies told. */
static void probe_learn(entry_route_t *route, const entry_probe_t *probes,
			unsigned count, usec_t now)
{
	const load_t silent = { .slowness = PROBE_SLOWNESS_SILENT };
	unsigned i;

	pthread_mutex_lock(&route->lock);
	for (i = 0; i < count; i++) {
		bool told = probes[i].state == ENTRY_PROBE_TOLD;
		const load_t *load = told ? &probes[i].load : &silent;
		entry_copy_t *copy;

		copy = entry_service_copy_find(&route->service, probes[i].copy);
		if (copy)
			entry_service_on_report(&route->service, copy, load,
						told, now);
	}
	pthread_mutex_unlock(&route->lock);
}

/* Ask one round of copies, if there are some without a fresh report. */
static void probe_round(entry_request_t *req, bool near, bool usual,
			usec_t fresh_since)
{
	const entry_probe_wait_t wait = { PROBE_WAIT_ALL, PROBE_WAIT_SOME };
	entry_probe_t probes[PROBE_REPORTS];
	entry_route_t *route = req->route;
	char path[HL_MESSAGE_MAX];
	unsigned count;

	count = probe_candidates(route, &req->call, fresh_since, near, usual,
				 probes, path);
	if (!count)
		return;
	entry_prober_ask(req->entry->prober, path, probes, count, &wait,
			 probe_is_good);
	probe_learn(route, probes, count, time_now());
}

/* What the decision says after the copies have been asked. */
static entry_wait_t probe_look(entry_request_t *req, bool far, bool choosy,
			       usec_t now)
{
	entry_route_t *route = req->route;
	entry_wait_t wait;

	pthread_mutex_lock(&route->lock);
	wait = entry_service_wait_for_copy(&route->service, &req->call, far,
					   choosy, now);
	pthread_mutex_unlock(&route->lock);
	return wait;
}

/* Wait a moment; false if the caller went away. */
static bool probe_pause(entry_request_t *req, usec_t until)
{
	struct timespec ts = { until / USEC_PER_SEC,
			       until % USEC_PER_SEC * 1000 };
	bool gone;

	pthread_mutex_lock(&req->lock);
	while (!req->cancelled &&
	       !pthread_cond_timedwait(&req->changed, &req->lock, &ts))
		;
	gone = req->cancelled;
	pthread_mutex_unlock(&req->lock);
	return !gone;
}

/* Look at the caller; whether copies can be asked at all. */
static bool probe_begin_reports(entry_route_t *route, entry_call_t *call)
{
	bool possible;

	pthread_mutex_lock(&route->lock);
	possible = *route->health_path != '\0';
	entry_service_estimate_elapsed(&route->service, call);
	pthread_mutex_unlock(&route->lock);
	return possible;
}

void entry_probe_reports(entry_request_t *req)
{
	usec_t start = time_now();
	usec_t now = start;
	bool far = false;
	int round = 0;

	if (!probe_begin_reports(req->route, &req->call))
		return;
	for (;;) {
		probe_round(req, true, round < PROBE_ROUNDS_NEAR,
			    now - PROBE_FRESH);
		now = time_now();
		if (probe_look(req, far, round < PROBE_ROUNDS_CHOOSY, now) ==
		    ENTRY_WAIT_READY)
			return;
		if (++round < PROBE_ROUNDS_NEAR)
			continue;
		if (!far) {
			far = true;
			probe_round(req, false, false, now - PROBE_FRESH);
			now = time_now();
		}
		if (probe_look(req, far, false, now) != ENTRY_WAIT_AGAIN ||
		    !probe_pause(req, now + PROBE_PAUSE))
			return;
		now = time_now();
	}
}
