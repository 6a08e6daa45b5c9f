#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "config-follow-internal.h"
#include "pack.h"

/*
 * The polling thread of a follower outside the fan-out tree. It fetches the
 * configuration from the leading keeper over HTTP, at each poll interval and
 * when config_follow_trigger() triggers it.
 */

/* Pause after a failed or unconfirmed poll. */
#define DIRECT_RETRY_INTERVAL (60 * USEC_PER_MS)
/* Minimum interval between successful polls. Changes made within it are fetched
 * together. */
#define DIRECT_INTERVAL_MIN (150 * USEC_PER_MS)
/* Connect timeout, after which the next keeper is tried. It is short because a
 * keeper that is still starting gets another poll soon; each failed poll doubles
 * it up to the maximum, as the link of this VM may be slow. */
#define DIRECT_CONNECT_TIMEOUT_MS 200L
#define DIRECT_CONNECT_TIMEOUT_MAX_MS 1600L
/* Maximum size of a response, compressed or decompressed. */
#define DIRECT_RESPONSE_BYTES_MAX (64u * 1024 * 1024)

/* A response body that is being received. */
typedef struct {
	char *bytes;
	size_t size;
	size_t capacity;
} direct_body_t;

static size_t direct_write(char *bytes, size_t size, size_t count,
			   void *context)
{
	direct_body_t *body = context;
	size_t length = size * count;
	size_t capacity = body->capacity ? body->capacity : CURL_MAX_WRITE_SIZE;
	char *grown;

	while (capacity < body->size + length)
		capacity *= 2;
	if (capacity > DIRECT_RESPONSE_BYTES_MAX)
		return 0;
	if (capacity != body->capacity) {
		grown = realloc(body->bytes, capacity);
		if (!grown)
			return 0;
		body->bytes = grown;
		body->capacity = capacity;
	}
	memcpy(body->bytes + body->size, bytes, length);
	body->size += length;
	return length;
}

static bool direct_decode(const direct_body_t *body, keeper_fetch_res_t *res)
{
	size_t size;
	char *plain = pack_inflate(body->bytes, body->size,
				   DIRECT_RESPONSE_BYTES_MAX, &size);
	bool ok;

	if (!plain)
		return false;
	ok = !config_decode((xdrproc_t)xdr_keeper_fetch_res_t, plain, size, res,
			    sizeof(*res));
	free(plain);
	return ok;
}

long config_direct_connect_timeout_ms(unsigned failures)
{
	long timeout = DIRECT_CONNECT_TIMEOUT_MS;

	while (failures-- > 0 && timeout < DIRECT_CONNECT_TIMEOUT_MAX_MS)
		timeout *= 2;
	return timeout < DIRECT_CONNECT_TIMEOUT_MAX_MS ?
		       timeout :
		       DIRECT_CONNECT_TIMEOUT_MAX_MS;
}

/* Polls one keeper; returns false if it sends no valid response. */
static bool direct_get(config_follow_t *follow, const char *address,
		       keeper_fetch_res_t *res)
{
	long connect_ms = config_direct_connect_timeout_ms(
		follow->failed_polls);
	char url[HL_ADDRESS_MAX + 64];
	direct_body_t body = { 0 };
	CURL *easy = follow->easy;
	bool ok;

	/* The first configuration may come from any keeper, not only from the
	 * leader with a quorum. */
	snprintf(url, sizeof(url), "http://%s/v1/follow?have=%" PRIu64 "%s",
		 address, follow->revision, follow->ready ? "" : "&any=1");
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
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, direct_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
	ok = curl_easy_perform(easy) == CURLE_OK && direct_decode(&body, res);
	free(body.bytes);
	follow->failed_polls = ok ? 0 : follow->failed_polls + 1;
	return ok;
}

/* Chooses the reported leader, or else the next keeper of the list. */
static void direct_choose_keeper(config_follow_t *follow, char *out)
{
	pthread_mutex_lock(&follow->lock);
	if (*follow->leader)
		strcpy(out, follow->leader);
	else
		strcpy(out, follow->keepers.items[follow->keeper_index++ %
						  follow->keepers.count]);
	*follow->leader = '\0';
	pthread_mutex_unlock(&follow->lock);
}

static void direct_set_leader(config_follow_t *follow, const char *address)
{
	pthread_mutex_lock(&follow->lock);
	strcpy(follow->leader, address);
	pthread_mutex_unlock(&follow->lock);
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
	if (res->status != KEEPER_OK || !res->revision ||
	    config_publish(follow, &res->body, res->revision, now))
		return DIRECT_FAILED;
	if (!res->confirmed)
		return DIRECT_FAILED;
	direct_set_leader(follow, address);
	return follow->revision < res->revision ? DIRECT_MORE : DIRECT_DONE;
}

static direct_result_t direct_poll_once(config_follow_t *follow, usec_t now)
{
	keeper_fetch_res_t res = { 0 };
	char address[HL_ADDRESS_MAX];
	direct_result_t result = DIRECT_FAILED;

	direct_choose_keeper(follow, address);
	strcpy(follow->source.address, address);
	if (direct_get(follow, address, &res))
		result = direct_apply(follow, address, &res, now);
	if (result == DIRECT_FAILED)
		metrics_add(follow->metrics.failures, 1);
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
	return result;
}

/* Waits for the next poll, at least DIRECT_INTERVAL_MIN. */
static void direct_pause(config_follow_t *follow, usec_t poll,
			 const volatile int *stop)
{
	const struct timespec interval = { 0, DIRECT_INTERVAL_MIN * 1000 };

	nanosleep(&interval, NULL);
	config_follow_pause(follow, poll, stop);
}

int config_direct_run(void *context, const volatile int *stop)
{
	config_follow_t *follow = context;
	usec_t poll = follow->settings.poll_ms * USEC_PER_MS;
	direct_result_t result;

	follow->easy = curl_easy_init();
	if (!follow->easy)
		return -1;
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		result = direct_poll_once(follow, time_now());
		if (result == DIRECT_FAILED)
			config_follow_pause(follow, DIRECT_RETRY_INTERVAL,
					    stop);
		else if (result == DIRECT_DONE)
			direct_pause(follow, poll, stop);
	}
	curl_easy_cleanup(follow->easy);
	follow->easy = NULL;
	return 0;
}
