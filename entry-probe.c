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
	entry_place_t *place;
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
	rc = entry_service_two(&route->service, two);
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
	decision = entry_service_send_less(&route->service, &req->call, two,
					   loads, time_now());
	pthread_mutex_unlock(&route->lock);
	entry_place_unref(probes[0].place);
	entry_place_unref(probes[1].place);
	return decision;
}
