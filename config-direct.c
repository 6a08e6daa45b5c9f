#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "config-direct-response.h"
#include "config-follow-internal.h"

/*
 * The polling thread of a follower outside the fan-out tree. It fetches the
 * configuration from the leading keeper over HTTP, at each poll interval, when
 * config_follow_trigger() triggers it, and when the leading keeper has responded
 * to no heartbeat for config.confirm_ms.
 */

/* Pause after a failed or unconfirmed poll for a newer revision. */
#define DIRECT_RETRY_INTERVAL (60 * USEC_PER_MS)
/* Minimum interval between successful polls. Changes made within it are fetched
 * together. */
#define DIRECT_INTERVAL_MIN (150 * USEC_PER_MS)
/* Connect timeout, after which the next keeper is tried. It is short because a
 * keeper that is still starting gets another poll soon; each failed poll doubles
 * it up to the maximum, as the link of this VM may be slow. */
#define DIRECT_CONNECT_TIMEOUT_MS 200L
#define DIRECT_CONNECT_TIMEOUT_MAX_MS 1600L
/* Maximum wait for events of a transfer. */
#define DIRECT_EVENTS_WAIT_MS 1000
long config_direct_connect_timeout_ms(unsigned failures)
{
	long timeout = DIRECT_CONNECT_TIMEOUT_MS;

	while (failures-- > 0 && timeout < DIRECT_CONNECT_TIMEOUT_MAX_MS)
		timeout *= 2;
	return timeout < DIRECT_CONNECT_TIMEOUT_MAX_MS ?
		       timeout :
		       DIRECT_CONNECT_TIMEOUT_MAX_MS;
}

/* Whether a keeper has been named that is to be polled instead of the one at
 * @address, to which the request has not been sent yet. */
static bool direct_is_superseded(config_follow_t *follow, const char *address)
{
	curl_off_t sent_at = 0;
	bool other;

	curl_easy_getinfo(follow->easy, CURLINFO_PRETRANSFER_TIME_T, &sent_at);
	pthread_mutex_lock(&follow->lock);
	other = *follow->leader && strcmp(follow->leader, address);
	pthread_mutex_unlock(&follow->lock);
	return other && !sent_at;
}

/* Result of the transfer that has ended. */
static CURLcode direct_transfer_result(config_follow_t *follow)
{
	CURLMsg *message;
	int left;

	message = curl_multi_info_read(follow->multi, &left);
	if (!message || message->msg != CURLMSG_DONE)
		return CURLE_RECV_ERROR;
	return message->data.result;
}

/*
 * Runs the transfer of follow->easy. A connect to a VM that is down gets no
 * reply, so the transfer ends with CURLE_AGAIN if another keeper is to be polled
 * before the request is sent.
 */
static CURLcode direct_transfer(config_follow_t *follow, const char *address)
{
	CURLcode result = CURLE_AGAIN;
	int running = 0;

	if (curl_multi_add_handle(follow->multi, follow->easy))
		return CURLE_OUT_OF_MEMORY;
	while (!curl_multi_perform(follow->multi, &running) && running &&
	       !direct_is_superseded(follow, address))
		curl_multi_poll(follow->multi, NULL, 0, DIRECT_EVENTS_WAIT_MS,
				NULL);
	if (!running)
		result = direct_transfer_result(follow);
	curl_multi_remove_handle(follow->multi, follow->easy);
	return result;
}

/* Logs a failed poll if it is the first, second, fourth, eighth or so on since the last
 * response. */
static void direct_log_failure(const config_follow_t *follow,
			       const char *address, CURLcode result,
			       size_t bytes)
{
	unsigned failures = follow->failed_polls;
	curl_off_t connected = 0, total = 0;
	long status = 0;

	if (failures & (failures - 1))
		return;
	curl_easy_getinfo(follow->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(follow->easy, CURLINFO_CONNECT_TIME_T, &connected);
	curl_easy_getinfo(follow->easy, CURLINFO_TOTAL_TIME_T, &total);
	log_event(LOG_LEVEL_NOTICE, "config-poll-failed",
		  "keeper=%s error=%d status=%ld connect_us=%" PRId64
		  " time_us=%" PRId64 " bytes=%zu failures=%u",
		  address, (int)result, status, (int64_t)connected,
		  (int64_t)total, bytes, failures);
}

/* Whether a leading keeper has once confirmed the revision in force, and none has
 * reported a newer one since. */
static bool direct_has_newest(config_follow_t *follow)
{
	bool newest;

	pthread_mutex_lock(&follow->lock);
	newest = follow->confirm.newest_at && !follow->lag.missing;
	pthread_mutex_unlock(&follow->lock);
	return newest;
}

/* Drops the malformed list of keepers in a response. */
static void direct_drop_keepers(config_follow_t *follow, const char *address,
				presence_keepers_t *keepers)
{
	pthread_mutex_lock(&follow->lock);
	follow->keepers.drops++;
	config_follow_drop_keepers(follow, keepers, PRESENCE_KEEPERS_MALFORMED,
				   address);
	pthread_mutex_unlock(&follow->lock);
	keepers->list.count = 0;
}

/* Polls one keeper; returns false if it sends no valid response. @keepers gets the
 * addresses in the response, which may have none. */
static bool direct_get(config_follow_t *follow, const char *address,
		       keeper_fetch_res_t *res, presence_keepers_t *keepers)
{
	long connect_ms = config_direct_connect_timeout_ms(
		follow->failed_polls);
	char url[HL_ADDRESS_MAX + 128];
	config_direct_response_t response = {
		.start.voters = CONFIG_START_VOTERS_ABSENT,
		.start.last = CONFIG_START_LAST_ABSENT,
	};
	CURL *easy = follow->easy;
	CURLcode result;
	bool ok;

	/* Until a leader confirms that there is no newer one, a configuration may
	 * come from any keeper: each is one that was committed. */
	snprintf(url, sizeof(url), "http://%s/v1/follow?have=%" PRIu64 "%s",
		 address, follow->revision,
		 direct_has_newest(follow) ? "" : "&any=1");
	if (follow->by_sibling)
		snprintf(url + strlen(url), sizeof(url) - strlen(url),
			 "&cluster=%" PRIu64, follow->cluster);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)follow->settings.timeout_ms + connect_ms -
				 DIRECT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, config_direct_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &response);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, config_direct_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
	result = direct_transfer(follow, address);
	ok = result == CURLE_OK && config_direct_decode(&response, res);
	free(response.bytes);
	*keepers = response.keepers;
	if (response.keepers_malformed)
		direct_drop_keepers(follow, address, keepers);
	follow->response = response.start;
	strcpy(follow->response.address, address);
	if (ok) {
		follow->failed_polls = 0;
	} else if (result != CURLE_AGAIN) {
		follow->failed_polls++;
		direct_log_failure(follow, address, result, response.size);
	}
	return ok;
}

/* Takes the address of the keeper that was named; false if none was. */
static bool direct_take_leader(config_follow_t *follow, char *out)
{
	pthread_mutex_lock(&follow->lock);
	strcpy(out, follow->leader);
	*follow->leader = '\0';
	pthread_mutex_unlock(&follow->lock);
	return *out;
}

/* Chooses the keeper that was named, or else one that a sibling uses, or else the next
 * one of the list. */
static void direct_choose_keeper(config_follow_t *follow, char *out)
{
	follow->by_sibling = false;
	if (direct_take_leader(follow, out))
		return;
	follow->by_sibling = config_ask_keeper(follow, out);
	if (follow->by_sibling)
		return;
	pthread_mutex_lock(&follow->lock);
	strcpy(out, follow->keepers.list.items[follow->keeper_index++ %
					       follow->keepers.list.count]);
	pthread_mutex_unlock(&follow->lock);
}

static void direct_set_leader(config_follow_t *follow, const char *address)
{
	pthread_mutex_lock(&follow->lock);
	strcpy(follow->leader, address);
	pthread_mutex_unlock(&follow->lock);
}

/* Takes over the list of keepers that a leading one has sent, unless it is older. */
static void direct_set_keepers(config_follow_t *follow, const char *address,
			       const presence_keepers_t *keepers)
{
	presence_keepers_t control = *keepers;

	if (!keepers->list.count)
		return;
	config_follow_set_ports(&control.list,
				config_follow_control_port(&follow->settings));
	pthread_mutex_lock(&follow->lock);
	config_follow_offer_keepers(follow, &control, address);
	pthread_mutex_unlock(&follow->lock);
	if (follow->on_keepers)
		follow->on_keepers(follow->changed_context, keepers,
				   follow->by_sibling ? follow->sibling.source :
							NULL);
}

/* Polls the keeper next that a keeper which does not lead takes for the leader. */
static void direct_set_reported_leader(config_follow_t *follow,
				       const keeper_fetch_res_t *res)
{
	setting_list_t leader = { .count = 1 };

	if (!res->leader || !*res->leader)
		return;
	snprintf(leader.items[0], HL_ADDRESS_MAX, "%s", res->leader);
	config_follow_set_ports(&leader,
				config_follow_control_port(&follow->settings));
	direct_set_leader(follow, leader.items[0]);
}

typedef enum {
	DIRECT_FAILED,
	DIRECT_DONE,
	DIRECT_MORE, /* more deltas are available: poll again at once */
} direct_result_t;

static direct_result_t direct_apply(config_follow_t *follow,
				    const char *address,
				    keeper_fetch_res_t *res, usec_t now)
{
	/* What a sibling has named counts once it leads. */
	if (!res->confirmed && follow->by_sibling) {
		config_sibling_add_leader(&follow->sibling,
					  res->leader ? res->leader : "");
		return DIRECT_FAILED;
	}
	if (!res->confirmed)
		direct_set_reported_leader(follow, res);
	/* The revision of a keeper is committed, also if it doesn't lead. */
	config_follow_report(follow, res->revision, now);
	if (res->status != KEEPER_OK)
		return DIRECT_FAILED;
	if (res->revision &&
	    config_publish(follow, &res->body, res->revision, now))
		return DIRECT_FAILED;
	if (!res->confirmed && follow->revision >= res->revision)
		config_follow_record_start(follow, &follow->response,
					   res->revision, time_now());
	if (!res->confirmed || !res->revision)
		return DIRECT_FAILED;
	direct_set_leader(follow, address);
	if (follow->revision < res->revision)
		return DIRECT_MORE;
	config_follow_confirm(follow, res->revision, now, address);
	return DIRECT_DONE;
}

static direct_result_t direct_poll_once(config_follow_t *follow, usec_t now)
{
	keeper_fetch_res_t res = { 0 };
	presence_keepers_t keepers;
	char address[HL_ADDRESS_MAX];
	direct_result_t result = DIRECT_FAILED;

	direct_choose_keeper(follow, address);
	strcpy(follow->source.address, address);
	if (direct_get(follow, address, &res, &keepers)) {
		result = direct_apply(follow, address, &res, now);
		if (res.confirmed || !follow->by_sibling)
			direct_set_keepers(follow, address, &keepers);
	}
	if (result == DIRECT_FAILED)
		metrics_add(follow->metrics.failures, 1);
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
	return result;
}

/* Whether this entry has just started and has not asked each keeper once. */
static bool direct_is_first_round(config_follow_t *follow)
{
	bool first;

	pthread_mutex_lock(&follow->lock);
	first = !follow->confirm.newest_at &&
		follow->unconfirmed_polls + 1 < follow->keepers.list.count;
	pthread_mutex_unlock(&follow->lock);
	return first;
}

/* Pause after a failed poll. Just after the start there is none until each keeper was
 * polled once, since those polled first may have an older configuration. It grows if the
 * poll was for a confirmation: while no keeper leads, those of all entries fail. */
static usec_t direct_retry_interval(config_follow_t *follow)
{
	if (direct_is_first_round(follow))
		return 0;
	if (!direct_has_newest(follow))
		return DIRECT_RETRY_INTERVAL;
	return config_confirm_retry_interval(follow->unconfirmed_polls);
}

/* Pauses after a failed poll, or asks a sibling for other keepers to poll. */
static void direct_on_failure(config_follow_t *follow, const volatile int *stop)
{
	usec_t pause = direct_retry_interval(follow);

	follow->unconfirmed_polls++;
	if (!config_ask(follow, time_now()))
		config_follow_pause(follow, pause, stop);
}

/* Time of the next poll: @latest, or earlier if the leading keeper responds to no
 * heartbeat until then. */
static usec_t direct_next_poll(config_follow_t *follow, usec_t latest)
{
	usec_t max = follow->settings.confirm_ms * USEC_PER_MS;
	usec_t due;

	pthread_mutex_lock(&follow->lock);
	due = follow->confirm.newest_at + max;
	pthread_mutex_unlock(&follow->lock);
	return due < latest ? due : latest;
}

/* Waits for the next poll, at least DIRECT_INTERVAL_MIN. */
static void direct_pause(config_follow_t *follow, usec_t poll,
			 const volatile int *stop)
{
	const struct timespec interval = { 0, DIRECT_INTERVAL_MIN * 1000 };
	usec_t latest, now;

	nanosleep(&interval, NULL);
	now = time_now();
	latest = now + poll;
	while (now < direct_next_poll(follow, latest) &&
	       !__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		usec_t span = direct_next_poll(follow, latest) - now;

		if (config_follow_pause(follow, span, stop))
			break;
		now = time_now();
	}
}

static int direct_open(config_follow_t *follow)
{
	CURLM *multi = curl_multi_init();

	follow->easy = curl_easy_init();
	pthread_mutex_lock(&follow->lock);
	follow->multi = multi;
	pthread_mutex_unlock(&follow->lock);
	return follow->easy && multi ? 0 : -1;
}

static void direct_close(config_follow_t *follow)
{
	CURLM *multi = follow->multi;

	pthread_mutex_lock(&follow->lock);
	follow->multi = NULL;
	pthread_mutex_unlock(&follow->lock);
	curl_easy_cleanup(follow->easy);
	follow->easy = NULL;
	curl_multi_cleanup(multi);
}

int config_direct_run(void *context, const volatile int *stop)
{
	config_follow_t *follow = context;
	usec_t poll = follow->settings.poll_ms * USEC_PER_MS;
	direct_result_t result;

	if (direct_open(follow)) {
		direct_close(follow);
		return -1;
	}
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		result = direct_poll_once(follow, time_now());
		if (result == DIRECT_FAILED) {
			config_follow_check_start(follow, time_now());
			direct_on_failure(follow, stop);
			continue;
		}
		follow->unconfirmed_polls = 0;
		config_sibling_confirmed(&follow->sibling);
		if (result == DIRECT_DONE)
			direct_pause(follow, poll, stop);
	}
	direct_close(follow);
	return 0;
}
