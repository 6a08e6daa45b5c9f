#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "config-follow-internal.h"
#include "http-status.h"

/*
 * Questions of a follower outside the fan-out tree to sibling entries: which
 * keepers they use, and which revision is in force there. Asked on the polling thread
 * while no keeper of the follower's list confirms its configuration; what the
 * answers mean decides config-sibling.c.
 */

#define ASK_CONNECT_TIMEOUT_MS 200L
#define ASK_TIMEOUT_MS 400L
/* Largest number of digits of an age in ms. */
#define ASK_AGE_DIGITS_MAX 15

/* An answer that is being received. */
typedef struct {
	config_sibling_answer_t answer;
	bool has_cluster;
} ask_response_t;

/* Value of the header @name in a line, for the caller to free; NULL if the line is
 * another header. */
static char *ask_header_value(const char *line, size_t length, const char *name)
{
	size_t start = strlen(name);

	if (length <= start || strncasecmp(line, name, start) ||
	    line[start] != ':')
		return NULL;
	return g_strstrip(g_strndup(line + start + 1, length - start - 1));
}

static void ask_read_keepers(ask_response_t *response, const char *text)
{
	config_sibling_answer_t *answer = &response->answer;

	if (!config_sibling_read_keepers(text, &answer->keepers))
		answer->malformed = true;
}

static void ask_read_keepers_revision(ask_response_t *response,
				      const char *text)
{
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
					&response->answer.keepers_revision,
					NULL))
		response->answer.malformed = true;
}

static void ask_read_revision(ask_response_t *response, const char *text)
{
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
					&response->answer.revision, NULL))
		response->answer.malformed = true;
}

static void ask_read_age(ask_response_t *response, const char *text)
{
	guint64 ms = 0;

	if (strlen(text) > ASK_AGE_DIGITS_MAX ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &ms, NULL))
		response->answer.malformed = true;
	else
		response->answer.confirmed_age = (usec_t)ms * USEC_PER_MS;
}

static void ask_read_cluster(ask_response_t *response, const char *text)
{
	response->has_cluster = true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
					&response->answer.cluster, NULL))
		response->answer.malformed = true;
}

static const struct {
	const char *name;
	void (*read)(ask_response_t *response, const char *text);
} ask_headers[] = {
	{ "Hemlock-Keepers", ask_read_keepers },
	{ "Hemlock-Keepers-Revision", ask_read_keepers_revision },
	{ "Hemlock-Revision", ask_read_revision },
	{ "Hemlock-Confirmed-Ms", ask_read_age },
	{ "Hemlock-Cluster", ask_read_cluster },
};

static size_t ask_header(char *line, size_t size, size_t count, void *context)
{
	size_t length = size * count;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ask_headers); i++) {
		char *value = ask_header_value(line, length,
					       ask_headers[i].name);

		if (value)
			ask_headers[i].read(context, value);
		g_free(value);
	}
	return length;
}

/* The body of an answer is not used. */
static size_t ask_body(char *bytes, size_t size, size_t count, void *context)
{
	(void)bytes;
	(void)context;
	return size * count;
}

/* Sets what is the same for each question. */
static void ask_set_options(CURL *easy, ask_response_t *response)
{
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 ASK_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ASK_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, ask_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, response);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ask_body);
}

/* Sends a question. Returns the status of the answer, 0 if there is none. */
static long ask_send(config_follow_t *follow, const char *address,
		     ask_response_t *response)
{
	char header[sizeof("Hemlock-Hop: ") + KEYS_HOP_MAX];
	char url[HL_ADDRESS_MAX + sizeof("http:///")];
	char hop[KEYS_HOP_MAX] = "";
	struct curl_slist *headers;
	CURL *easy = follow->easy;
	long status = 0;

	follow->sign(follow->changed_context, CONFIG_ASK_TARGET, hop);
	snprintf(header, sizeof(header), "Hemlock-Hop: %s", hop);
	snprintf(url, sizeof(url), "http://%s/", address);
	headers = curl_slist_append(NULL, header);
	if (!headers)
		return 0;
	ask_set_options(easy, response);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, CONFIG_ASK_TARGET);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	if (!curl_easy_perform(easy))
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_reset(easy);
	curl_slist_free_all(headers);
	return status;
}

static void ask_fill_view(config_follow_t *follow, config_sibling_view_t *view)
{
	pthread_mutex_lock(&follow->lock);
	view->cluster = follow->cluster;
	view->revision = follow->confirm.applied;
	view->newest_at = follow->confirm.newest_at;
	view->confirm_max = follow->settings.confirm_ms * USEC_PER_MS;
	view->unconfirmed = follow->unconfirmed_polls;
	view->keepers = follow->keepers.list;
	view->keepers_revision = follow->keepers.revision;
	pthread_mutex_unlock(&follow->lock);
}

/* Whether the event with this number is logged: the first, second, fourth and so on. */
static bool ask_logs(unsigned number)
{
	return !(number & (number - 1));
}

static void ask_log_dropped(config_follow_t *follow, const char *address,
			    const config_sibling_answer_t *answer)
{
	metrics_add(follow->metrics.sibling_drops, 1);
	follow->sibling_drops++;
	if (ask_logs(follow->sibling_drops))
		log_event(LOG_LEVEL_WARNING, "sibling-answer-dropped",
			  "sibling=%s reason=%s drops=%u", address,
			  answer->malformed ? "malformed" : "cluster",
			  follow->sibling_drops);
}

static void ask_log(const config_follow_t *follow, const char *address,
		    long status, const config_sibling_answer_t *answer)
{
	bool confirmed = answer->confirmed_age != USEC_NEVER;

	if (ask_logs(follow->sibling.asked))
		log_event(LOG_LEVEL_NOTICE, "sibling-asked",
			  "sibling=%s status=%ld keepers=%u revision=%" PRIu64
			  " confirmed_ms=%" PRId64 " questions=%u",
			  address, status, answer->keepers.count,
			  answer->revision,
			  confirmed ? answer->confirmed_age / USEC_PER_MS : -1,
			  follow->sibling.asked);
}

/* Asks one sibling; returns true if its answer triggers a poll. */
static bool ask_one(config_follow_t *follow, const char *address,
		    const config_sibling_view_t *view)
{
	ask_response_t response = { .answer.confirmed_age = USEC_NEVER };
	config_sibling_answer_t *answer = &response.answer;
	config_sibling_result_t result;
	uint64_t reported;
	usec_t now;
	long status;

	metrics_add(follow->metrics.sibling_questions, 1);
	status = ask_send(follow, address, &response);
	now = time_now();
	ask_log(follow, address, status, answer);
	/* An entry of an earlier version answers 400. */
	if (status != HTTP_OK || !response.has_cluster)
		return false;
	config_follow_set_ports(&answer->keepers,
				config_follow_control_port(&follow->settings));
	result = config_sibling_on_answer(&follow->sibling, view, address,
					  answer, now, &reported);
	if (result == CONFIG_SIBLING_DROPPED)
		ask_log_dropped(follow, address, answer);
	if (reported)
		config_follow_report(follow, reported, now);
	return result == CONFIG_SIBLING_POLL;
}

bool config_ask(config_follow_t *follow, usec_t now)
{
	config_sibling_view_t view;
	setting_list_t siblings = { 0 };
	const char *address;

	if (!follow->siblings || !follow->sign)
		return false;
	ask_fill_view(follow, &view);
	if (!config_sibling_due(&follow->sibling, &view, now))
		return false;
	follow->siblings(follow->changed_context, &siblings);
	address = config_sibling_next(&follow->sibling, &siblings, now);
	return address && ask_one(follow, address, &view);
}

bool config_ask_keeper(config_follow_t *follow, char out[HL_ADDRESS_MAX])
{
	setting_list_t keeper = { .count = 1 };
	const char *address = config_sibling_keeper(&follow->sibling);

	if (!address)
		return false;
	strcpy(keeper.items[0], address);
	config_follow_set_ports(&keeper,
				config_follow_control_port(&follow->settings));
	strcpy(out, keeper.items[0]);
	return true;
}
