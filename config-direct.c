#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include "config-follow-internal.h"
#include "pack.h"

/*
 * A follower without parent and children: it asks the leading keeper over HTTP
 * when it was told that there is something new, and now and then.
 */

/* A follower that has nothing yet, or is behind, asks again so soon. */
#define DIRECT_AGAIN (60 * USEC_PER_MS)
/* The least time between two questions that were answered. */
#define DIRECT_GAP (150 * USEC_PER_MS)
/* A keeper that takes no connection for so long is passed over; one that is
 * starting is asked again soon. */
#define DIRECT_CONNECT_MS 200L
/* Most that a whole configuration may come to. */
#define DIRECT_BYTES_MAX (64u * 1024 * 1024)

/* An answer as it comes in. */
typedef struct {
	char *bytes;
	size_t size;
	size_t room;
} direct_body_t;

static size_t direct_write(char *bytes, size_t size, size_t count,
			   void *context)
{
	direct_body_t *body = context;
	size_t length = size * count;
	size_t room = body->room ? body->room : CURL_MAX_WRITE_SIZE;
	char *grown;

	while (room < body->size + length)
		room *= 2;
	if (room > DIRECT_BYTES_MAX)
		return 0;
	if (room != body->room) {
		grown = realloc(body->bytes, room);
		if (!grown)
			return 0;
		body->bytes = grown;
		body->room = room;
	}
	memcpy(body->bytes + body->size, bytes, length);
	body->size += length;
	return length;
}

static bool direct_decode(const direct_body_t *body, keeper_fetch_res_t *res)
{
	size_t size;
	char *plain = pack_inflate(body->bytes, body->size, DIRECT_BYTES_MAX,
				   &size);
	bool ok;

	if (!plain)
		return false;
	ok = !config_decode((xdrproc_t)xdr_keeper_fetch_res_t, plain, size, res,
			    sizeof(*res));
	free(plain);
	return ok;
}

/* Ask one keeper; false if it gave no answer that can be read. */
static bool direct_get(config_follow_t *follow, const char *address,
		       keeper_fetch_res_t *res)
{
	char url[HL_ADDRESS_MAX + 64];
	direct_body_t body = { 0 };
	CURL *easy = follow->easy;
	bool ok;

	/* One that has nothing yet begins with what any keeper knows. */
	snprintf(url, sizeof(url), "http://%s/v1/follow?have=%" PRIu64 "%s",
		 address, follow->revision, follow->ready ? "" : "&any=1");
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, DIRECT_CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)follow->settings.timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, direct_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
	ok = curl_easy_perform(easy) == CURLE_OK && direct_decode(&body, res);
	free(body.bytes);
	return ok;
}

/* The keeper that is believed to lead, or the next in turn. */
static void direct_choose(config_follow_t *follow, char *out)
{
	pthread_mutex_lock(&follow->lock);
	if (*follow->leader)
		strcpy(out, follow->leader);
	else
		strcpy(out, follow->keepers.items[follow->keeper++ %
						  follow->keepers.count]);
	*follow->leader = '\0';
	pthread_mutex_unlock(&follow->lock);
}

static void direct_lead(config_follow_t *follow, const char *address)
{
	pthread_mutex_lock(&follow->lock);
	strcpy(follow->leader, address);
	pthread_mutex_unlock(&follow->lock);
}

typedef enum {
	DIRECT_FAILED,
	DIRECT_DONE,
	DIRECT_MORE, /* there is more: ask again at once */
} direct_t;

static direct_t direct_take(config_follow_t *follow, const char *address,
			    keeper_fetch_res_t *res, usec_t now)
{
	if (res->status != KEEPER_OK || !res->revision ||
	    config_publish(follow, &res->body, res->revision, now))
		return DIRECT_FAILED;
	if (!res->confirmed)
		return DIRECT_FAILED;
	direct_lead(follow, address);
	return follow->revision < res->revision ? DIRECT_MORE : DIRECT_DONE;
}

static direct_t direct_once(config_follow_t *follow, usec_t now)
{
	keeper_fetch_res_t res = { 0 };
	char address[HL_ADDRESS_MAX];
	direct_t result = DIRECT_FAILED;

	direct_choose(follow, address);
	strcpy(follow->source.address, address);
	if (direct_get(follow, address, &res))
		result = direct_take(follow, address, &res, now);
	if (result == DIRECT_FAILED)
		metrics_add(follow->metrics.failures, 1);
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, (char *)&res);
	return result;
}

/* Wait for news, but let those of a short time come together. */
static void direct_rest(config_follow_t *follow, usec_t poll,
			const volatile int *stop)
{
	const struct timespec gap = { 0, DIRECT_GAP * 1000 };

	nanosleep(&gap, NULL);
	config_node_pause(follow, poll, stop);
}

int config_direct_run(void *context, const volatile int *stop)
{
	config_follow_t *follow = context;
	usec_t poll = follow->settings.poll_ms * USEC_PER_MS;
	direct_t result;

	follow->easy = curl_easy_init();
	if (!follow->easy)
		return -1;
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		result = direct_once(follow, time_now());
		if (result == DIRECT_FAILED)
			config_node_pause(follow, DIRECT_AGAIN, stop);
		else if (result == DIRECT_DONE)
			direct_rest(follow, poll, stop);
	}
	curl_easy_cleanup(follow->easy);
	follow->easy = NULL;
	return 0;
}
