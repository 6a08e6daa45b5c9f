#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "metrics.h"
#include "presence.h"

/*
 * The presence client of an entry sends heartbeats to all keepers and receives
 * their responses. It owns the list of keepers and what each last reported.
 */

/* Time without a response after which a heartbeat has the identity again, since
 * the keeper may have removed the entry. */
#define CLIENT_IDENTITY_RESEND_AGE (5 * USEC_PER_SEC)
/* Time without a response after which a keeper is logged as lost. */
#define CLIENT_KEEPER_LOST_AGE (3 * USEC_PER_SEC)
/* Interval of heartbeats to a keeper that does not respond, and the shorter one
 * just after the start, when the entry needs a configuration to serve calls. */
#define CLIENT_RETRY_INTERVAL (150 * USEC_PER_MS)
#define CLIENT_START_RETRY_INTERVAL (40 * USEC_PER_MS)
#define CLIENT_START_AGE_MAX (2 * USEC_PER_SEC)
/* Time since its last response up to which a keeper is asked for peers. */
#define CLIENT_PEERS_KEEPER_AGE (2200 * USEC_PER_MS)
/* Time without a response of a keeper after which the peers are not known. */
#define CLIENT_PEERS_MAX_AGE (5 * USEC_PER_SEC)
/* Length of the word that says from where a list of keepers is. */
#define CLIENT_REPORTER_MAX (HL_ADDRESS_MAX + sizeof("sibling:"))
/* Maximum number of reports that wait to be sent. */
#define CLIENT_REPORTS_MAX 64
/* Maximum number of keepers that get heartbeats: those of the settings and
 * those reported by keepers. */
#define CLIENT_KEEPERS_MAX (2 * PRESENCE_KEEPERS_MAX)

/* State of a keeper; used by the client's thread only. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	struct sockaddr_storage to;
	unsigned length;
	bool has_identity;   /* the keeper has the entry in its table */
	bool names_revision; /* it sends PRESENCE_KEEPERS */
	bool lost;
	usec_t last_seen; /* time of the keeper's last response */
	usec_t sent_at;	  /* time of the last heartbeat to the keeper */
	/* Time of the first heartbeat since its last response; 0: none. */
	usec_t asked_at;
} client_keeper_t;

struct presence_client {
	presence_client_options_t options;
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char call_address[HL_ADDRESS_MAX];
	uint64_t cluster;     /* hash of the cluster's name */
	uint64_t id;	      /* hash of the entry's name and start time */
	setting_list_t seeds; /* keepers in the settings */
	int socket;
	int wake;
	unsigned count;	   /* number of keepers */
	bool send_at_once; /* a heartbeat to all keepers is due */
	usec_t retry_at;   /* next heartbeat to keepers that do not respond */
	usec_t started;
	client_keeper_t keepers[CLIENT_KEEPERS_MAX];
	unsigned entries;     /* live entries that a keeper reported; atomic */
	usec_t last_response; /* of any keeper; atomic */

	/* Protected by the lock. */
	pthread_mutex_t lock;
	char leader[HL_ADDRESS_MAX];	/* last one to report that it leads */
	presence_peers_list_t peers;	/* as a keeper last reported them */
	presence_peers_list_t siblings; /* last list of peers with any */
	bool all_zones;			/* peers of all zones are asked for */
	usec_t peers_confirmed; /* last response of the keeper asked for peers */
	presence_keepers_t reported_keepers; /* newest list of keepers */
	presence_keepers_t polled_keepers;   /* not offered yet */
	char polled_reporter[CLIENT_REPORTER_MAX];
	GQueue reports; /* encoded datagrams to be sent to all keepers, GBytes */
};

static int client_open(presence_client_t *client, const char *address,
		       hl_error_t *err)
{
	struct sockaddr_storage storage;
	char text[HL_ADDRESS_MAX + 4];
	unsigned length;

	snprintf(text, sizeof(text), strchr(address, ':') ? "[%s]:0" : "%s:0",
		 address);
	if (hl_address_parse(text, &storage, &length))
		return hl_error_set(
			err, HL_ERR_SETTINGS,
			"%s is not an IP address; correct node.address",
			address);
	client->socket = socket(storage.ss_family,
				SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	client->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (client->socket < 0 || client->wake < 0 ||
	    bind(client->socket, (struct sockaddr *)&storage, length))
		return hl_error_set(err, HL_ERR_IO,
				    "cannot open a UDP socket at %s: %s; raise "
				    "the limit on open files or correct "
				    "node.address",
				    address, strerror(errno));
	return 0;
}

static void client_add_keeper(presence_client_t *client, const char *address)
{
	client_keeper_t *keeper;
	unsigned i;

	for (i = 0; i < client->count; i++)
		if (!strcmp(client->keepers[i].address, address))
			return;
	if (client->count == CLIENT_KEEPERS_MAX)
		return;
	keeper = &client->keepers[client->count];
	memset(keeper, 0, sizeof(*keeper));
	if (hl_address_parse(address, &keeper->to, &keeper->length))
		return;
	snprintf(keeper->address, sizeof(keeper->address), "%s", address);
	client->count++;
}

static bool client_list_contains(const setting_list_t *list,
				 const char *address)
{
	unsigned i;

	for (i = 0; i < list->count; i++)
		if (!strcmp(list->items[i], address))
			return true;
	return false;
}

/* Remove keepers that are neither a seed nor in the last reported list. */
static void client_remove_unlisted(presence_client_t *client)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < client->count; i++)
		if (client_list_contains(&client->seeds,
					 client->keepers[i].address) ||
		    client_list_contains(&client->reported_keepers.list,
					 client->keepers[i].address))
			client->keepers[count++] = client->keepers[i];
	client->count = count;
}

static void client_log_keepers(const presence_client_t *client,
			       const char *reporter)
{
	const presence_keepers_t *keepers = &client->reported_keepers;
	char list[PRESENCE_KEEPERS_MAX * HL_ADDRESS_MAX] = "";
	unsigned i;

	for (i = 0; i < keepers->list.count; i++) {
		if (i)
			strcat(list, ",");
		strcat(list, keepers->list.items[i]);
	}
	log_event(LOG_LEVEL_INFO, "keepers-learned",
		  "count=%u keepers=%s revision=%" PRIu64 " reporter=%s", i,
		  list, keepers->revision, reporter);
}

/* Take over a list of keepers from @reporter, unless it is older. */
static void client_offer_keepers(presence_client_t *client,
				 const char *reporter,
				 const presence_keepers_t *keepers)
{
	presence_keepers_result_t result;
	unsigned i;

	pthread_mutex_lock(&client->lock);
	result = presence_keepers_offer(&client->reported_keepers, keepers);
	pthread_mutex_unlock(&client->lock);
	if (result == PRESENCE_KEEPERS_OLDER ||
	    result == PRESENCE_KEEPERS_MALFORMED) {
		metrics_add(client->options.keepers_drops, 1);
		presence_keepers_log_dropped(&client->reported_keepers, keepers,
					     result, reporter);
	}
	if (result != PRESENCE_KEEPERS_TAKEN)
		return;
	for (i = 0; i < keepers->list.count; i++)
		client_add_keeper(client, keepers->list.items[i]);
	client_log_keepers(client, reporter);
	/* May move the keeper whose address is @reporter. */
	client_remove_unlisted(client);
}

/* Read a list of keepers from a datagram, with 0 as @revision if it has none. */
static void client_read_keepers(presence_keepers_t *keepers, uint64_t revision,
				char *const *addresses, u_int count)
{
	u_int i;

	memset(keepers, 0, sizeof(*keepers));
	keepers->revision = revision;
	for (i = 0; i < count; i++)
		snprintf(keepers->list.items[keepers->list.count++],
			 HL_ADDRESS_MAX, "%s", addresses[i]);
}

/* A keeper of an earlier release sends a list without a revision. */
static void client_on_listed(presence_client_t *client,
			     const client_keeper_t *keeper,
			     const presence_keeper_status_t *status)
{
	presence_keepers_t keepers;

	if (keeper->names_revision)
		return;
	client_read_keepers(&keepers, 0, status->addresses.addresses_val,
			    status->addresses.addresses_len);
	client_offer_keepers(client, keeper->address, &keepers);
}

static void client_on_keepers(presence_client_t *client,
			      client_keeper_t *keeper,
			      const presence_keepers_list_t *body)
{
	presence_keepers_t keepers;

	keeper->names_revision = true;
	client_read_keepers(&keepers, body->revision,
			    body->addresses.addresses_val,
			    body->addresses.addresses_len);
	client_offer_keepers(client, keeper->address, &keepers);
}

/* Offer the list of presence_client_set_keepers(). */
static void client_take_polled_keepers(presence_client_t *client)
{
	char reporter[CLIENT_REPORTER_MAX];
	presence_keepers_t keepers;

	pthread_mutex_lock(&client->lock);
	strcpy(reporter, client->polled_reporter);
	keepers = client->polled_keepers;
	client->polled_keepers.list.count = 0;
	pthread_mutex_unlock(&client->lock);
	if (keepers.list.count)
		client_offer_keepers(client, reporter, &keepers);
}

static client_keeper_t *client_find_keeper(presence_client_t *client,
					   const struct sockaddr_storage *from)
{
	unsigned i;

	for (i = 0; i < client->count; i++)
		if (!memcmp(&client->keepers[i].to, from,
			    client->keepers[i].length))
			return &client->keepers[i];
	return NULL;
}

static void client_update_leader(presence_client_t *client,
				 const client_keeper_t *keeper, bool leading)
{
	pthread_mutex_lock(&client->lock);
	if (leading)
		strcpy(client->leader, keeper->address);
	else if (!strcmp(client->leader, keeper->address))
		client->leader[0] = '\0';
	pthread_mutex_unlock(&client->lock);
}

static void client_on_response(presence_client_t *client,
			       client_keeper_t *keeper,
			       const presence_keeper_status_t *status,
			       usec_t now)
{
	usec_t asked_at = keeper->asked_at;

	if (keeper->lost)
		log_event(LOG_LEVEL_NOTICE, "keeper-regained", "keeper=%s",
			  keeper->address);
	keeper->lost = false;
	keeper->last_seen = now;
	keeper->asked_at = 0;
	__atomic_store_n(&client->last_response, now, __ATOMIC_RELAXED);
	/* A keeper that lost its table in a restart gets the identity without
	 * delay. */
	if (keeper->has_identity && !status->identity_known)
		client->send_at_once = true;
	keeper->has_identity = status->identity_known;
	__atomic_store_n(&client->entries,
			 status->entries ? status->entries : 1,
			 __ATOMIC_RELAXED);
	client_update_leader(client, keeper, status->leading);
	if (status->revision >
	    client->options.revision(client->options.context))
		client->options.on_newer_revision(client->options.context,
						  keeper->address,
						  status->revision, now);
	/* Of several heartbeats the response may be to the first. */
	if (status->leading && asked_at)
		client->options.on_leader(client->options.context,
					  keeper->address, status->revision,
					  asked_at);
	/* May move @keeper. */
	client_on_listed(client, keeper, status);
}

static void client_on_peers(presence_client_t *client,
			    const presence_peers_t *response, usec_t now)
{
	presence_peers_list_t list = { 0 };
	u_int i;

	for (i = 0; i < response->addresses.addresses_len; i++)
		snprintf(list.addresses[list.count++], HL_ADDRESS_MAX, "%s",
			 response->addresses.addresses_val[i]);
	pthread_mutex_lock(&client->lock);
	list.all_zones = client->all_zones;
	client->peers = list;
	if (list.count)
		client->siblings = list;
	client->peers_confirmed = now;
	pthread_mutex_unlock(&client->lock);
}

static void client_on_message(presence_client_t *client,
			      client_keeper_t *keeper,
			      const presence_body_t *body, usec_t now)
{
	if (body->kind == PRESENCE_KEEPER_STATUS)
		client_on_response(client, keeper,
				   &body->presence_body_t_u.keeper_status, now);
	else if (body->kind == PRESENCE_PEERS)
		client_on_peers(client, &body->presence_body_t_u.peers, now);
	else if (body->kind == PRESENCE_KEEPERS)
		client_on_keepers(client, keeper,
				  &body->presence_body_t_u.keepers);
}

static void client_receive(presence_client_t *client, usec_t now)
{
	struct sockaddr_storage from = { 0 };
	socklen_t length = sizeof(from);
	char bytes[PRESENCE_BYTES_MAX];
	client_keeper_t *keeper;
	ssize_t size;

	while ((size = recvfrom(client->socket, bytes, sizeof(bytes), 0,
				(struct sockaddr *)&from, &length)) >= 0) {
		presence_t message = { 0 };

		keeper = client_find_keeper(client, &from);
		if (keeper && presence_decode(bytes, (size_t)size,
					      client->cluster, &message)) {
			client_on_message(client, keeper, &message.body, now);
			presence_clear(&message);
		}
		memset(&from, 0, sizeof(from));
		length = sizeof(from);
	}
}

static void client_send_bytes(presence_client_t *client,
			      const client_keeper_t *keeper, const char *bytes,
			      size_t size)
{
	if (size && sendto(client->socket, bytes, size, 0,
			   (struct sockaddr *)&keeper->to, keeper->length) < 0)
		log_event(LOG_LEVEL_DEBUG, "presence-not-sent",
			  "keeper=%s errno=%d", keeper->address, errno);
}

static void client_send_impaired(presence_client_t *client,
				 const client_keeper_t *keeper)
{
	presence_t message = { .cluster = client->cluster };
	char bytes[PRESENCE_BYTES_MAX];
	size_t size;

	message.body.kind = PRESENCE_IMPAIRED;
	message.body.presence_body_t_u.impaired.id = client->id;
	size = presence_encode(&message, bytes);
	client_send_bytes(client, keeper, bytes, size);
}

static void client_send(presence_client_t *client, client_keeper_t *keeper,
			usec_t now)
{
	presence_identity_t identity = { client->name, client->zone,
					 client->call_address };
	presence_t message = { .cluster = client->cluster };
	presence_entry_t *heartbeat = &message.body.presence_body_t_u.entry;
	char bytes[PRESENCE_BYTES_MAX];
	size_t size;

	message.body.kind = PRESENCE_ENTRY;
	heartbeat->id = client->id;
	heartbeat->revision = client->options.revision(client->options.context);
	heartbeat->keepers_hash = presence_keepers_hash(
		&client->reported_keepers.list);
	heartbeat->ready = client->options.ready(client->options.context);
	if (!keeper->has_identity ||
	    now - keeper->last_seen > CLIENT_IDENTITY_RESEND_AGE) {
		heartbeat->identity.identity_len = 1;
		heartbeat->identity.identity_val = &identity;
	}
	size = presence_encode(&message, bytes);
	client_send_bytes(client, keeper, bytes, size);
	if (client->options.impaired(client->options.context))
		client_send_impaired(client, keeper);
}

/*
 * Return the keeper to ask for peers: one that has responded lately. Entries
 * start at different keepers, so that all are asked about equally often.
 */
static client_keeper_t *client_peers_keeper(presence_client_t *client,
					    usec_t now)
{
	unsigned i;

	for (i = 0; i < client->count; i++) {
		unsigned index = (unsigned)((client->id + i) % client->count);
		client_keeper_t *keeper = &client->keepers[index];

		if (keeper->has_identity &&
		    now - keeper->last_seen <= CLIENT_PEERS_KEEPER_AGE)
			return keeper;
	}
	return NULL;
}

static void client_request_peers(presence_client_t *client, usec_t now)
{
	client_keeper_t *keeper = client_peers_keeper(client, now);
	presence_t message = { .cluster = client->cluster };
	presence_peers_request_t *request =
		&message.body.presence_body_t_u.peers_request;
	char bytes[PRESENCE_BYTES_MAX];
	size_t size;

	if (!keeper)
		return;
	message.body.kind = PRESENCE_PEERS_REQUEST;
	request->id = client->id;
	pthread_mutex_lock(&client->lock);
	request->zone = client->all_zones ? (char *)"" : client->zone;
	request->hash = presence_peers_hash(&client->peers);
	client->peers_confirmed = keeper->last_seen;
	pthread_mutex_unlock(&client->lock);
	size = presence_encode(&message, bytes);
	client_send_bytes(client, keeper, bytes, size);
}

void presence_client_peers(presence_client_t *client, usec_t now,
			   presence_peers_list_t *out)
{
	pthread_mutex_lock(&client->lock);
	*out = client->peers;
	if (now - client->peers_confirmed > CLIENT_PEERS_MAX_AGE)
		out->count = 0;
	pthread_mutex_unlock(&client->lock);
}

void presence_client_siblings(presence_client_t *client, setting_list_t *out)
{
	unsigned i;

	out->count = 0;
	pthread_mutex_lock(&client->lock);
	for (i = 0; i < client->siblings.count; i++)
		if (strcmp(client->siblings.addresses[i], client->call_address))
			strcpy(out->items[out->count++],
			       client->siblings.addresses[i]);
	pthread_mutex_unlock(&client->lock);
}

/* True if a keeper has not responded to the last heartbeat, or lacks the
 * identity. */
static bool client_needs_retry(const client_keeper_t *keeper)
{
	return !keeper->has_identity || keeper->last_seen < keeper->sent_at;
}

/* Send a heartbeat to all keepers, or with @retries_only to those that need a
 * retry, and log those that are lost. */
static void client_send_all(presence_client_t *client, bool retries_only,
			    usec_t now)
{
	unsigned i;

	for (i = 0; i < client->count; i++) {
		client_keeper_t *keeper = &client->keepers[i];

		if (keeper->last_seen && !keeper->lost &&
		    now - keeper->last_seen > CLIENT_KEEPER_LOST_AGE) {
			keeper->lost = true;
			log_event(LOG_LEVEL_WARNING, "keeper-lost",
				  "keeper=%s silent_ms=%" PRId64,
				  keeper->address,
				  (now - keeper->last_seen) / USEC_PER_MS);
		}
		if (retries_only && !client_needs_retry(keeper))
			continue;
		keeper->sent_at = now;
		if (!keeper->asked_at)
			keeper->asked_at = now;
		client_send(client, keeper, now);
	}
}

static bool client_any_needs_retry(const presence_client_t *client)
{
	unsigned i;

	for (i = 0; i < client->count; i++)
		if (client_needs_retry(&client->keepers[i]))
			return true;
	return false;
}

/* Wait up to @left for a datagram or a wake-up; return true on a wake-up. */
static bool client_wait(presence_client_t *client, usec_t left)
{
	struct pollfd fds[2] = { { client->socket, POLLIN, 0 },
				 { client->wake, POLLIN, 0 } };
	eventfd_t wakes;

	poll(fds, 2, left > 0 ? (int)(left / USEC_PER_MS) + 1 : 0);
	if (!fds[1].revents)
		return false;
	eventfd_read(client->wake, &wakes);
	return true;
}

static usec_t client_retry_interval(const presence_client_t *client, usec_t now)
{
	if (now - client->started < CLIENT_START_AGE_MAX)
		return CLIENT_START_RETRY_INTERVAL;
	return CLIENT_RETRY_INTERVAL;
}

/* Send the heartbeats that are due. Set @due to the time of the next heartbeat
 * to all keepers; return the time of the next heartbeat to any keeper. */
static usec_t client_send_due(presence_client_t *client, usec_t *due,
			      usec_t now)
{
	usec_t next;

	if (now >= *due) {
		client_send_all(client, false, now);
		client_request_peers(client, now);
		*due = now + client->options.interval;
	} else if (now >= client->retry_at) {
		client_send_all(client, true, now);
		if (!client->peers.count)
			client_request_peers(client, now);
	} else {
		next = client_any_needs_retry(client) ? client->retry_at : *due;
		return next < *due ? next : *due;
	}
	client->retry_at = now + client_retry_interval(client, now);
	return client->retry_at < *due ? client->retry_at : *due;
}

static GBytes *client_take_report(presence_client_t *client)
{
	GBytes *report;

	pthread_mutex_lock(&client->lock);
	report = g_queue_pop_head(&client->reports);
	pthread_mutex_unlock(&client->lock);
	return report;
}

/* Send the queued reports to all keepers; only the leader acts on them. */
static void client_send_reports(presence_client_t *client)
{
	GBytes *report;
	gsize size;
	unsigned i;

	while ((report = client_take_report(client))) {
		const char *bytes = g_bytes_get_data(report, &size);

		for (i = 0; i < client->count; i++)
			client_send_bytes(client, &client->keepers[i], bytes,
					  size);
		g_bytes_unref(report);
	}
}

static int client_run(void *context, const volatile int *stop)
{
	presence_client_t *client = context;
	usec_t due = 0;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		usec_t now = time_now();
		usec_t next;

		client_take_polled_keepers(client);
		next = client_send_due(client, &due, now);

		client_send_reports(client);
		if (client_wait(client, next - now))
			due = 0;
		client_receive(client, time_now());
		if (client->send_at_once)
			due = 0;
		client->send_at_once = false;
	}
	return 0;
}

static void client_wake(void *context)
{
	presence_client_trigger(context);
}

void presence_client_set_keepers(presence_client_t *client,
				 const presence_keepers_t *keepers,
				 const char *sibling)
{
	pthread_mutex_lock(&client->lock);
	client->polled_keepers = *keepers;
	snprintf(client->polled_reporter, sizeof(client->polled_reporter),
		 "%s%s", sibling ? "sibling:" : "poll", sibling ? sibling : "");
	pthread_mutex_unlock(&client->lock);
}

void presence_client_trigger(presence_client_t *client)
{
	eventfd_write(client->wake, 1);
}

supervisor_child_t presence_client_child(presence_client_t *client)
{
	supervisor_child_t child = { "presence", client_run, client_wake,
				     client };

	return child;
}

presence_client_t *presence_client_new(const presence_client_options_t *options,
				       hl_error_t *err)
{
	presence_client_t *client = calloc(1, sizeof(*client));
	usec_t start = time_now();
	unsigned i;

	if (!client) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory; give the VM more memory");
		return NULL;
	}
	client->options = *options;
	client->socket = client->wake = -1;
	client->entries = 1;
	client->started = start;
	client->seeds = *options->keepers;
	client->cluster = hl_hash(options->cluster, strlen(options->cluster),
				  0);
	snprintf(client->name, sizeof(client->name), "%s", options->name);
	snprintf(client->zone, sizeof(client->zone), "%s", options->zone);
	snprintf(client->call_address, sizeof(client->call_address), "%s",
		 options->call_address);
	client->id = hl_hash(client->name, strlen(client->name),
			     (uint64_t)start);
	pthread_mutex_init(&client->lock, NULL);
	g_queue_init(&client->reports);
	for (i = 0; i < client->seeds.count; i++)
		client_add_keeper(client, client->seeds.items[i]);
	if (!client_open(client, options->address, err))
		return client;
	presence_client_free(client);
	return NULL;
}

/* Queue a report for the client's thread. */
static void client_queue_report(presence_client_t *client,
				const presence_t *message)
{
	char bytes[PRESENCE_BYTES_MAX];
	size_t size = presence_encode(message, bytes);

	pthread_mutex_lock(&client->lock);
	if (size && client->reports.length < CLIENT_REPORTS_MAX)
		g_queue_push_tail(&client->reports, g_bytes_new(bytes, size));
	pthread_mutex_unlock(&client->lock);
	presence_client_trigger(client);
}

void presence_client_report_rate(presence_client_t *client,
				 const presence_copy_rate_t *report)
{
	presence_t message = { .cluster = client->cluster };

	message.body.kind = PRESENCE_COPY_RATE;
	message.body.presence_body_t_u.copy_rate = *report;
	message.body.presence_body_t_u.copy_rate.entry = client->name;
	client_queue_report(client, &message);
}

void presence_client_report_suspect(presence_client_t *client,
				    const presence_suspect_t *report)
{
	presence_t message = { .cluster = client->cluster };

	message.body.kind = PRESENCE_SUSPECT;
	message.body.presence_body_t_u.suspect = *report;
	client_queue_report(client, &message);
}

void presence_client_report_leaving(presence_client_t *client,
				    const presence_copy_leaves_t *report)
{
	presence_t message = { .cluster = client->cluster };

	message.body.kind = PRESENCE_COPY_LEAVES;
	message.body.presence_body_t_u.copy_leaves = *report;
	client_queue_report(client, &message);
}

usec_t presence_client_last_response(presence_client_t *client)
{
	return __atomic_load_n(&client->last_response, __ATOMIC_RELAXED);
}

unsigned presence_client_live_entries(presence_client_t *client)
{
	return __atomic_load_n(&client->entries, __ATOMIC_RELAXED);
}

void presence_client_keepers(presence_client_t *client, presence_keepers_t *out,
			     char leader[HL_ADDRESS_MAX])
{
	pthread_mutex_lock(&client->lock);
	strcpy(leader, client->leader);
	*out = client->reported_keepers;
	if (!out->list.count)
		out->list = client->seeds;
	pthread_mutex_unlock(&client->lock);
}

void presence_client_ask_all_zones(presence_client_t *client, bool all_zones)
{
	bool changed;

	pthread_mutex_lock(&client->lock);
	changed = client->all_zones != all_zones;
	client->all_zones = all_zones;
	pthread_mutex_unlock(&client->lock);
	if (changed)
		presence_client_trigger(client);
}

void presence_client_free(presence_client_t *client)
{
	if (!client)
		return;
	if (client->socket >= 0)
		close(client->socket);
	if (client->wake >= 0)
		close(client->wake);
	g_queue_clear_full(&client->reports, (GDestroyNotify)g_bytes_unref);
	pthread_mutex_destroy(&client->lock);
	free(client);
}
