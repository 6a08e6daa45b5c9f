#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include "member-net.h"

/*
 * The thread of the membership: it receives datagrams, runs the timers of the
 * SWIM protocol under a lock, publishes the live members, and passes messages
 * of other modules to their handlers.
 */

/* Shortest wait for a datagram, which limits the rate of ticks. */
#define MEMBER_WAIT_MIN (2 * USEC_PER_MS)
/* Largest number of datagrams received between two checks of the timers. */
#define MEMBER_RECEIVE_BATCH 64
#define MEMBER_DEFAULT_PROBE_PERIOD (500 * USEC_PER_MS)
/* Default of the probe timeout, as a divisor of the probe period. */
#define MEMBER_DEFAULT_TIMEOUT_DIVISOR 3
#define MEMBER_DEFAULT_SUSPICION (1500 * USEC_PER_MS)
#define MEMBER_DEFAULT_SYNC_PERIOD (10 * USEC_PER_SEC)
/* Interval between publications if the live members do not change. */
#define MEMBER_PUBLISH_PERIOD USEC_PER_SEC
#define MEMBER_MESSAGE_KINDS (PEER_CLAIM_PAGE + 1)

typedef struct {
	member_handler_t handler;
	void *context;
} member_handler_entry_t;

struct member {
	member_options_t options;
	int fd;
	pthread_mutex_t lock; /* protects swim */
	member_swim_t swim;
	member_view_t *view;
	usec_t next_publish;
	uint64_t incarnation; /* that of swim.self, for reads without lock */
	member_handler_entry_t handlers[MEMBER_MESSAGE_KINDS];
	uint64_t *sent_bytes;
	uint64_t *sent_datagrams;
	uint64_t *received_bytes;
	uint64_t *malformed;
	uint64_t *live;
	uint64_t *suspected;
	uint64_t *declared_dead;
	uint64_t *refuted;
};

/* Encodes, signs and sends a message; returns the bytes sent, 0 on failure. */
static unsigned member_transmit(member_t *member, const char *address,
				const peer_message_t *message)
{
	struct sockaddr_storage to;
	char buffer[MEMBER_SIGNED_DATAGRAM_MAX];
	unsigned to_length;
	unsigned length = member_net_encode(message, buffer);

	length = member_net_sign(member->options.keys, buffer, length);
	if (!length || hl_address_parse(address, &to, &to_length))
		return 0;
	metrics_add(member->sent_bytes, length);
	metrics_add(member->sent_datagrams, 1);
	if (member->options.drop_datagram &&
	    member->options.drop_datagram(member->options.context, address))
		return length;
	if (sendto(member->fd, buffer, length, 0, (struct sockaddr *)&to,
		   to_length) < 0)
		return 0;
	return length;
}

static void member_swim_send(void *context, const char *address,
			     const peer_message_t *message)
{
	member_transmit(context, address, message);
}

static uint64_t member_revision(void *context)
{
	member_t *member = context;

	if (!member->options.revision)
		return 0;
	return member->options.revision(member->options.context);
}

/* Publishes the live members and metrics; true if the live members changed. */
static bool member_publish(member_t *member)
{
	bool changed = member->view->version != member->swim.version;
	member_view_t *view = member_view_new(&member->swim);

	__atomic_store_n(&member->incarnation, member->swim.self->incarnation,
			 __ATOMIC_RELAXED);
	metrics_set(member->suspected, member->swim.counts.suspected);
	metrics_set(member->declared_dead, member->swim.counts.declared_dead);
	metrics_set(member->refuted, member->swim.counts.refuted);
	if (!view)
		return false;
	metrics_set(member->live, view->count);
	member_view_publish(&member->view, view);
	return changed;
}

static void member_notify_change(member_t *member, bool changed)
{
	if (changed && member->options.on_change)
		member->options.on_change(member->options.context);
}

static void member_tick(member_t *member, usec_t now)
{
	bool changed = false;

	pthread_mutex_lock(&member->lock);
	member_swim_tick(&member->swim, now);
	if (member->view->version != member->swim.version ||
	    now >= member->next_publish) {
		changed = member_publish(member);
		member->next_publish = now + MEMBER_PUBLISH_PERIOD;
	}
	pthread_mutex_unlock(&member->lock);
	member_notify_change(member, changed);
}

/* Passes a message to the SWIM protocol and to the handler of its kind. */
static void member_dispatch(member_t *member, const peer_message_t *message,
			    const char *source, usec_t now)
{
	const member_handler_entry_t *entry =
		&member->handlers[message->body.kind];
	bool changed = false;
	int rc;

	pthread_mutex_lock(&member->lock);
	rc = member_swim_receive(&member->swim, message, source, now);
	if (member->view->version != member->swim.version)
		changed = member_publish(member);
	pthread_mutex_unlock(&member->lock);
	member_notify_change(member, changed);
	if (rc)
		metrics_add(member->malformed, 1);
	else if (entry->handler)
		entry->handler(entry->context, message, now);
}

/* Receives one datagram; false if the socket has none. */
static bool member_receive(member_t *member)
{
	struct sockaddr_storage from;
	socklen_t from_length = sizeof(from);
	char buffer[MEMBER_SIGNED_DATAGRAM_MAX];
	char source[HL_ADDRESS_MAX];
	peer_message_t message;
	ssize_t length;

	length = recvfrom(member->fd, buffer, sizeof(buffer), MSG_TRUNC,
			  (struct sockaddr *)&from, &from_length);
	if (length < 0)
		return false;
	metrics_add(member->received_bytes, (uint64_t)length);
	if ((size_t)length > sizeof(buffer) ||
	    !member_net_verify(member->options.keys, buffer, &length) ||
	    member_net_decode(buffer, (unsigned)length, &message)) {
		metrics_add(member->malformed, 1);
		return true;
	}
	member_net_format_address(&from, source, sizeof(source));
	member_dispatch(member, &message, source, time_now());
	xdr_free((xdrproc_t)xdr_peer_message_t, &message);
	return true;
}

/* Returns when the next tick is due. */
static usec_t member_next_due(member_t *member)
{
	usec_t due;

	pthread_mutex_lock(&member->lock);
	due = member_due(&member->swim);
	if (due > member->next_publish)
		due = member->next_publish;
	pthread_mutex_unlock(&member->lock);
	return due;
}

/* Waits for a datagram, or until a tick is due. */
static void member_wait(const member_t *member, usec_t due, usec_t now)
{
	struct pollfd poller = { .fd = member->fd, .events = POLLIN };
	usec_t left = due - now;

	if (left < MEMBER_WAIT_MIN)
		left = MEMBER_WAIT_MIN;
	poll(&poller, 1, (int)((left + USEC_PER_MS - 1) / USEC_PER_MS));
}

static int member_run(void *context, const volatile int *stop)
{
	member_t *member = context;
	usec_t due = time_now();
	unsigned i;

	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		member_wait(member, due, time_now());
		for (i = 0; i < MEMBER_RECEIVE_BATCH && member_receive(member);
		     i++)
			;
		if (time_now() >= due)
			member_tick(member, time_now());
		due = member_next_due(member);
	}
	return 0;
}

static void member_register_metrics(member_t *member)
{
	metrics_t *metrics = member->options.metrics;

	if (!metrics)
		return;
	member->sent_bytes = metrics_counter(metrics,
					     "hemlock_peer_sent_bytes_total",
					     "", "UDP payload sent to peers.");
	member->sent_datagrams =
		metrics_counter(metrics, "hemlock_peer_sent_datagrams_total",
				"", "Datagrams sent to peers.");
	member->received_bytes =
		metrics_counter(metrics, "hemlock_peer_received_bytes_total",
				"", "UDP payload received from peers.");
	member->malformed = metrics_counter(
		metrics, "hemlock_peer_refused_datagrams_total", "",
		"Datagrams dropped: malformed, of another group or "
		"of no key of ours.");
	member->live = metrics_gauge(metrics, "hemlock_members_live", "",
				     "Live entries, this one included.");
	member->suspected =
		metrics_gauge(metrics, "hemlock_members_suspected", "",
			      "Suspicions begun by our own probes.");
	member->declared_dead =
		metrics_gauge(metrics, "hemlock_members_declared_dead", "",
			      "Members declared dead by our time-outs.");
	member->refuted = metrics_gauge(metrics, "hemlock_members_refuted", "",
					"Suspicions of this entry refuted.");
}

static void member_set_defaults(member_options_t *options)
{
	if (!options->probe_period)
		options->probe_period = MEMBER_DEFAULT_PROBE_PERIOD;
	if (!options->probe_timeout)
		options->probe_timeout = options->probe_period /
					 MEMBER_DEFAULT_TIMEOUT_DIVISOR;
	if (!options->suspicion)
		options->suspicion = MEMBER_DEFAULT_SUSPICION;
	if (!options->sync_period)
		options->sync_period = MEMBER_DEFAULT_SYNC_PERIOD;
	if (!options->bind_address[0])
		memcpy(options->bind_address, options->self.peer_address,
		       HL_ADDRESS_MAX);
}

/*
 * Returns the wall clock in milliseconds, so that a restarted entry has a
 * higher incarnation than before unless the clock was set back.
 */
static uint64_t member_initial_incarnation(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static int member_swim_start(member_t *member)
{
	const member_options_t *options = &member->options;
	member_swim_options_t swim = { 0 };

	swim.probe_period = options->probe_period;
	swim.probe_timeout = options->probe_timeout;
	swim.suspicion = options->suspicion;
	swim.sync_period = options->sync_period;
	memcpy(swim.group, options->group, sizeof(swim.group));
	if (options->seeds)
		swim.seeds = *options->seeds;
	swim.send = member_swim_send;
	swim.revision = member_revision;
	swim.context = member;
	member->incarnation = member_initial_incarnation();
	return member_swim_init(&member->swim, &swim, &options->self,
				member->incarnation,
				options->seed + member->incarnation,
				time_now());
}

member_t *member_new(const member_options_t *options, hl_error_t *err)
{
	member_t *member = calloc(1, sizeof(*member));

	if (!member)
		goto no_memory;
	member->options = *options;
	member_set_defaults(&member->options);
	member->fd = -1;
	pthread_mutex_init(&member->lock, NULL);
	if (member_swim_start(member))
		goto no_memory;
	member->view = member_view_new(&member->swim);
	if (!member->view)
		goto no_memory;
	member->fd = member_net_open(member->options.bind_address, err);
	if (member->fd < 0)
		goto fail;
	member_register_metrics(member);
	return member;
no_memory:
	hl_error_set(err, HL_ERR_NOMEM,
		     "no memory for the membership; give the VM more");
fail:
	member_free(member);
	return NULL;
}

supervisor_child_t member_child(member_t *member)
{
	supervisor_child_t child = { .name = "member",
				     .run = member_run,
				     .context = member };

	return child;
}

unsigned member_live(member_t *member, owner_member_t *out, unsigned max)
{
	return member_view_entries(&member->view, out, max);
}

uint64_t member_version(member_t *member)
{
	return member_view_version(&member->view);
}

void member_leave(member_t *member)
{
	bool changed;

	pthread_mutex_lock(&member->lock);
	member_swim_leave(&member->swim, time_now());
	changed = member_publish(member);
	pthread_mutex_unlock(&member->lock);
	member_notify_change(member, changed);
}

void member_free(member_t *member)
{
	if (!member)
		return;
	if (member->fd >= 0)
		close(member->fd);
	member_swim_fini(&member->swim);
	free(member->view);
	pthread_mutex_destroy(&member->lock);
	free(member);
}

void member_set_handler(member_t *member, peer_kind_t kind,
			member_handler_t handler, void *context)
{
	member->handlers[kind].handler = handler;
	member->handlers[kind].context = context;
}

unsigned member_send(member_t *member, const char *address,
		     const peer_body_t *body)
{
	peer_message_t message = { 0 };

	message.group = member->options.group;
	message.from = member->options.self.name;
	message.incarnation = __atomic_load_n(&member->incarnation,
					      __ATOMIC_RELAXED);
	message.revision = member_revision(member);
	message.body = *body;
	return member_transmit(member, address, &message);
}
