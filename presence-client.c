#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "presence.h"

/* A keeper that has not answered for so long is told who we are again. */
#define TELL_FORGOTTEN (5 * USEC_PER_SEC)
/* When a keeper's answer is missing this long, it counts as lost. */
#define TELL_LOST (3 * USEC_PER_SEC)
/* A keeper that does not answer is told so often. */
#define TELL_URGENT (150 * USEC_PER_MS)
/* Keepers told at once: those of the settings and those learned. */
#define TELL_KEEPERS_MAX (2 * PRESENCE_KEEPERS_MAX)

/* A keeper as this entry sees it; only the thread that tells looks at it. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	struct sockaddr_storage to;
	unsigned length;
	bool known; /* it knows who we are */
	bool lost;
	usec_t heard;
	usec_t sent;
} tell_keeper_t;

struct presence_client {
	presence_client_options_t options;
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char calls[HL_ADDRESS_MAX];
	uint64_t cluster;
	uint64_t id;
	setting_list_t seeds;
	int socket;
	int wake;
	unsigned count;
	bool again; /* tell at once */
	usec_t urgent_at;
	tell_keeper_t keepers[TELL_KEEPERS_MAX];
	unsigned entries;	     /* atomic */
	pthread_mutex_t lock;	     /* of what follows */
	char leader[HL_ADDRESS_MAX]; /* that said so last, or "" */
	setting_list_t learned;
};

static int tell_open(presence_client_t *tell, const char *address,
		     hl_error_t *err)
{
	struct sockaddr_storage storage;
	char text[HL_ADDRESS_MAX + 4];
	unsigned length;

	snprintf(text, sizeof(text), strchr(address, ':') ? "[%s]:0" : "%s:0",
		 address);
	if (hl_address_parse(text, &storage, &length))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s is no IP number; mend node.address",
				    address);
	tell->socket = socket(storage.ss_family,
			      SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	tell->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (tell->socket < 0 || tell->wake < 0 ||
	    bind(tell->socket, (struct sockaddr *)&storage, length))
		return hl_error_set(err, HL_ERR_IO,
				    "cannot open a UDP socket at %s: %s; raise "
				    "the limit on open files or mend "
				    "node.address",
				    address, strerror(errno));
	return 0;
}

static void tell_add(presence_client_t *tell, const char *address)
{
	tell_keeper_t *keeper;
	unsigned i;

	for (i = 0; i < tell->count; i++)
		if (!strcmp(tell->keepers[i].address, address))
			return;
	if (tell->count == TELL_KEEPERS_MAX)
		return;
	keeper = &tell->keepers[tell->count];
	memset(keeper, 0, sizeof(*keeper));
	if (hl_address_parse(address, &keeper->to, &keeper->length))
		return;
	snprintf(keeper->address, sizeof(keeper->address), "%s", address);
	tell->count++;
}

static bool tell_listed(const setting_list_t *list, const char *address)
{
	unsigned i;

	for (i = 0; i < list->count; i++)
		if (!strcmp(list->items[i], address))
			return true;
	return false;
}

/* Keep those that are a seed or were named last. */
static void tell_prune(presence_client_t *tell)
{
	unsigned kept = 0;
	unsigned i;

	for (i = 0; i < tell->count; i++)
		if (tell_listed(&tell->seeds, tell->keepers[i].address) ||
		    tell_listed(&tell->learned, tell->keepers[i].address))
			tell->keepers[kept++] = tell->keepers[i];
	tell->count = kept;
}

/* A keeper named the present ones. */
static void tell_learn(presence_client_t *tell,
		       const presence_keeper_status_t *news)
{
	u_int i;

	if (!news->addresses.addresses_len)
		return;
	pthread_mutex_lock(&tell->lock);
	tell->learned.count = 0;
	for (i = 0; i < news->addresses.addresses_len; i++)
		snprintf(tell->learned.items[tell->learned.count++],
			 HL_ADDRESS_MAX, "%s",
			 news->addresses.addresses_val[i]);
	pthread_mutex_unlock(&tell->lock);
	for (i = 0; i < tell->learned.count; i++)
		tell_add(tell, tell->learned.items[i]);
	tell_prune(tell);
	log_event(LOG_LEVEL_INFO, "keepers-learned", "count=%u",
		  tell->learned.count);
}

static tell_keeper_t *tell_find(presence_client_t *tell,
				const struct sockaddr_storage *from)
{
	unsigned i;

	for (i = 0; i < tell->count; i++)
		if (!memcmp(&tell->keepers[i].to, from,
			    tell->keepers[i].length))
			return &tell->keepers[i];
	return NULL;
}

static void tell_lead(presence_client_t *tell, const tell_keeper_t *keeper,
		      bool leads)
{
	pthread_mutex_lock(&tell->lock);
	if (leads)
		strcpy(tell->leader, keeper->address);
	else if (!strcmp(tell->leader, keeper->address))
		tell->leader[0] = '\0';
	pthread_mutex_unlock(&tell->lock);
}

static void tell_hear(presence_client_t *tell, tell_keeper_t *keeper,
		      const presence_keeper_status_t *news, usec_t now)
{
	if (keeper->lost)
		log_event(LOG_LEVEL_NOTICE, "keeper-regained", "keeper=%s",
			  keeper->address);
	keeper->lost = false;
	keeper->heard = now;
	/* One that has restarted is told who we are at once. */
	if (keeper->known && !news->identity_known)
		tell->again = true;
	keeper->known = news->identity_known;
	__atomic_store_n(&tell->entries, news->entries ? news->entries : 1,
			 __ATOMIC_RELAXED);
	tell_learn(tell, news);
	tell_lead(tell, keeper, news->leading);
	if (news->revision > tell->options.revision(tell->options.context))
		tell->options.on_newer_revision(tell->options.context);
}

static void tell_receive(presence_client_t *tell, usec_t now)
{
	struct sockaddr_storage from = { 0 };
	socklen_t length = sizeof(from);
	char bytes[PRESENCE_BYTES_MAX];
	tell_keeper_t *keeper;
	ssize_t size;

	while ((size = recvfrom(tell->socket, bytes, sizeof(bytes), 0,
				(struct sockaddr *)&from, &length)) >= 0) {
		presence_t message = { 0 };

		keeper = tell_find(tell, &from);
		if (keeper && presence_decode(bytes, (size_t)size,
					      tell->cluster, &message)) {
			if (message.body.kind == PRESENCE_KEEPER_STATUS)
				tell_hear(tell, keeper,
					  &message.body.presence_body_t_u.news,
					  now);
			presence_clear(&message);
		}
		memset(&from, 0, sizeof(from));
		length = sizeof(from);
	}
}

static void tell_send(presence_client_t *tell, tell_keeper_t *keeper,
		      usec_t now)
{
	presence_identity_t identity = { tell->name, tell->zone, tell->calls };
	presence_t message = { .cluster = tell->cluster };
	presence_entry_t *said = &message.body.presence_body_t_u.entry;
	char bytes[PRESENCE_BYTES_MAX];
	size_t size;

	message.body.kind = PRESENCE_ENTRY;
	said->id = tell->id;
	said->revision = tell->options.revision(tell->options.context);
	said->keepers_hash = presence_keepers_hash(&tell->learned);
	said->ready = tell->options.ready(tell->options.context);
	if (!keeper->known || now - keeper->heard > TELL_FORGOTTEN) {
		said->identity.identity_len = 1;
		said->identity.identity_val = &identity;
	}
	size = presence_encode(&message, bytes);
	if (size && sendto(tell->socket, bytes, size, 0,
			   (struct sockaddr *)&keeper->to, keeper->length) < 0)
		log_event(LOG_LEVEL_DEBUG, "presence-not-sent",
			  "keeper=%s errno=%d", keeper->address, errno);
}

/* A keeper that has not answered since we last told it, and should have. */
static bool tell_is_urgent(const tell_keeper_t *keeper)
{
	return !keeper->known || keeper->heard < keeper->sent;
}

/* Tell all keepers, or with @urgent those alone that do not answer. */
static void tell_all(presence_client_t *tell, bool urgent, usec_t now)
{
	unsigned i;

	for (i = 0; i < tell->count; i++) {
		tell_keeper_t *keeper = &tell->keepers[i];

		if (keeper->heard && !keeper->lost &&
		    now - keeper->heard > TELL_LOST) {
			keeper->lost = true;
			log_event(LOG_LEVEL_WARNING, "keeper-lost",
				  "keeper=%s silent_ms=%" PRId64,
				  keeper->address,
				  (now - keeper->heard) / USEC_PER_MS);
		}
		if (urgent && !tell_is_urgent(keeper))
			continue;
		keeper->sent = now;
		tell_send(tell, keeper, now);
	}
}

/* Whether some keeper does not answer. */
static bool tell_any_urgent(const presence_client_t *tell)
{
	unsigned i;

	for (i = 0; i < tell->count; i++)
		if (tell_is_urgent(&tell->keepers[i]))
			return true;
	return false;
}

/* Wait for a datagram, the next time to tell, or the wake; true on a wake. */
static bool tell_wait(presence_client_t *tell, usec_t left)
{
	struct pollfd fds[2] = { { tell->socket, POLLIN, 0 },
				 { tell->wake, POLLIN, 0 } };
	eventfd_t wakes;

	poll(fds, 2, left > 0 ? (int)(left / USEC_PER_MS) + 1 : 0);
	if (!fds[1].revents)
		return false;
	eventfd_read(tell->wake, &wakes);
	return true;
}

/* Tell what is due now; when the next is due. */
static usec_t tell_due(presence_client_t *tell, usec_t *due, usec_t now)
{
	usec_t next;

	if (now >= *due) {
		tell_all(tell, false, now);
		*due = now + tell->options.interval;
	} else if (now >= tell->urgent_at) {
		tell_all(tell, true, now);
	} else {
		next = tell_any_urgent(tell) ? tell->urgent_at : *due;
		return next < *due ? next : *due;
	}
	tell->urgent_at = now + TELL_URGENT;
	return tell->urgent_at < *due ? tell->urgent_at : *due;
}

static int tell_run(void *context, const volatile int *stop)
{
	presence_client_t *tell = context;
	usec_t due = 0;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		usec_t now = time_now();
		usec_t next = tell_due(tell, &due, now);

		if (tell_wait(tell, next - now))
			due = 0;
		tell_receive(tell, time_now());
		if (tell->again)
			due = 0;
		tell->again = false;
	}
	return 0;
}

static void tell_wake(void *context)
{
	presence_client_trigger(context);
}

void presence_client_trigger(presence_client_t *tell)
{
	eventfd_write(tell->wake, 1);
}

supervisor_child_t presence_client_child(presence_client_t *tell)
{
	supervisor_child_t child = { "presence", tell_run, tell_wake, tell };

	return child;
}

presence_client_t *presence_client_new(const presence_client_options_t *options,
				       hl_error_t *err)
{
	presence_client_t *tell = calloc(1, sizeof(*tell));
	usec_t start = time_now();
	unsigned i;

	if (!tell) {
		hl_error_set(err, HL_ERR_NOMEM, "no memory; add some");
		return NULL;
	}
	tell->options = *options;
	tell->socket = tell->wake = -1;
	tell->entries = 1;
	tell->seeds = *options->keepers;
	tell->cluster = hl_hash(options->cluster, strlen(options->cluster), 0);
	snprintf(tell->name, sizeof(tell->name), "%s", options->name);
	snprintf(tell->zone, sizeof(tell->zone), "%s", options->zone);
	snprintf(tell->calls, sizeof(tell->calls), "%s", options->call_address);
	tell->id = hl_hash(tell->name, strlen(tell->name), (uint64_t)start);
	pthread_mutex_init(&tell->lock, NULL);
	for (i = 0; i < tell->seeds.count; i++)
		tell_add(tell, tell->seeds.items[i]);
	if (!tell_open(tell, options->address, err))
		return tell;
	presence_client_free(tell);
	return NULL;
}

unsigned presence_client_live_entries(presence_client_t *tell)
{
	return __atomic_load_n(&tell->entries, __ATOMIC_RELAXED);
}

void presence_client_keepers(presence_client_t *tell, setting_list_t *out,
			     char leader[HL_ADDRESS_MAX])
{
	pthread_mutex_lock(&tell->lock);
	strcpy(leader, tell->leader);
	*out = tell->learned.count ? tell->learned : tell->seeds;
	pthread_mutex_unlock(&tell->lock);
}

void presence_client_free(presence_client_t *tell)
{
	if (!tell)
		return;
	if (tell->socket >= 0)
		close(tell->socket);
	if (tell->wake >= 0)
		close(tell->wake);
	pthread_mutex_destroy(&tell->lock);
	free(tell);
}
