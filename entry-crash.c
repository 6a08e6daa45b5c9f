#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-decide.h"
#include "entry-io.h"

/*
 * Calls that were running at a copy when its process ended. A call is known by a
 * digest of its content, as each attempt of it has an id of its own. Connections that
 * are tried after a send was cut also show whether this entry reaches no copy.
 */

/* Time in which a copy must take or refuse a connection after a send was cut. */
#define CRASH_CONNECT_TIMEOUT_MS 100
/* Time for which a copy must keep a connection that it has taken. The kernel may
   close the connections of a process that ends before its listening socket. */
#define CRASH_KEEP_MS 10
/* Max number of connections that are tried after a send was cut. */
#define CRASH_CONNECTS_MAX 3
/* Max number of other copies of which one must take a connection; fewer are tried
   if the copy of the call does not answer, as each may take CRASH_CONNECT_TIMEOUT_MS. */
#define CRASH_OTHERS_MAX 4
#define CRASH_OTHERS_SILENT_MAX 2

struct entry_crashes {
	pthread_mutex_t lock;
	entry_suspects_t *suspects; /* guarded by the lock */
	unsigned count;		    /* of the suspects; accessed atomically */
};

static void crash_digest_add(GChecksum *checksum, const char *text)
{
	g_checksum_update(checksum, (const guchar *)text,
			  (gssize)strlen(text) + 1);
}

/* Adds the body, or only its length if it is not kept in memory. */
static void crash_digest_add_body(GChecksum *checksum,
				  const entry_request_t *req)
{
	const entry_buffer_t *body = &req->body;
	char length[32];

	if (req->body_streamed) {
		snprintf(length, sizeof(length), "%" PRId64, req->body_length);
		crash_digest_add(checksum, length);
	} else if (entry_buffer_length(body)) {
		g_checksum_update(checksum,
				  (const guchar *)body->bytes + body->start,
				  (gssize)entry_buffer_length(body));
	}
}

/*
 * Computes the digest of a call's content: of the tenant, the method, the host,
 * the path with query and the body; of a body that is streamed only the length.
 */
static void crash_digest(const entry_request_t *req,
			 char out[ENTRY_DIGEST_SIZE])
{
	const entry_request_t *call = req->primary ? req->primary : req;
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);

	crash_digest_add(checksum, call->tenant);
	crash_digest_add(checksum, call->method);
	crash_digest_add(checksum,
			 call->host ? call->host : call->upstream->name);
	crash_digest_add(checksum, call->target);
	crash_digest_add_body(checksum, call);
	g_strlcpy(out, g_checksum_get_string(checksum), ENTRY_DIGEST_SIZE);
	g_checksum_free(checksum);
}

/* Waits for the end of a connect that is in progress; returns its errno. */
static int crash_connect_error(int fd)
{
	struct pollfd poll_fd = { fd, POLLOUT, 0 };
	socklen_t size = sizeof(int);
	int error = 0;

	if (poll(&poll_fd, 1, CRASH_CONNECT_TIMEOUT_MS) <= 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size))
		return ETIMEDOUT;
	return error;
}

/* How a copy treats a new connection. */
typedef enum {
	CRASH_CONNECT_KEPT,    /* taken */
	CRASH_CONNECT_SILENT,  /* no response */
	CRASH_CONNECT_REFUSED, /* no process listens */
	CRASH_CONNECT_CLOSED,  /* taken, and closed or reset at once */
} crash_connect_t;

/* Whether a connection ends within CRASH_KEEP_MS. */
static bool crash_connection_ends(int fd)
{
	struct pollfd poll_fd = { fd, POLLIN | POLLRDHUP, 0 };

	return poll(&poll_fd, 1, CRASH_KEEP_MS) > 0;
}

/* Makes a socket use the source address of calls to copies, if there is one. */
static int crash_bind(int fd, const char *from)
{
	struct sockaddr_storage storage;
	char text[HL_ADDRESS_MAX];
	unsigned length;

	if (!*from)
		return 0;
	snprintf(text, sizeof(text), strchr(from, ':') ? "[%s]:0" : "%s:0",
		 from);
	if (hl_address_parse(text, &storage, &length))
		return -1;
	return bind(fd, (const struct sockaddr *)&storage, length);
}

/* Opens a connection to an address and closes it again. */
static crash_connect_t crash_connect(const struct sockaddr_storage *to,
				     unsigned length, const char *from)
{
	crash_connect_t result = CRASH_CONNECT_SILENT;
	int error = 0;
	int fd;

	fd = socket(to->ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
		    0);
	if (fd < 0)
		return result;
	if (crash_bind(fd, from) ||
	    connect(fd, (const struct sockaddr *)to, length))
		error = errno;
	if (error == EINPROGRESS)
		error = crash_connect_error(fd);
	if (error == ECONNREFUSED)
		result = CRASH_CONNECT_REFUSED;
	else if (error == ECONNRESET || (!error && crash_connection_ends(fd)))
		result = CRASH_CONNECT_CLOSED;
	else if (!error)
		result = CRASH_CONNECT_KEPT;
	close(fd);
	return result;
}

/* Connects to a copy. A connection that is closed at once shows neither that a process
   listens nor that none does, so another one is tried. */
static crash_connect_t crash_try_copy(const char *address, const char *from)
{
	struct sockaddr_storage to;
	crash_connect_t result = CRASH_CONNECT_CLOSED;
	unsigned connects = 0;
	unsigned length;

	if (hl_address_parse(address, &to, &length))
		return CRASH_CONNECT_SILENT;
	while (result == CRASH_CONNECT_CLOSED &&
	       connects++ < CRASH_CONNECTS_MAX)
		result = crash_connect(&to, length, from);
	return result;
}

/* Copies other than the one whose process may have ended. */
typedef struct {
	unsigned seen;	    /* that get calls */
	unsigned reachable; /* of these, that are not known to be unreachable */
	unsigned count; /* of the addresses, drawn from the reachable ones */
	char addresses[CRASH_OTHERS_MAX][HL_ADDRESS_MAX];
} crash_others_t;

/* Draws a copy by reservoir sampling. */
static void crash_draw(entry_service_t *svc, const entry_copy_t *copy,
		       crash_others_t *others)
{
	unsigned i;

	others->reachable++;
	if (others->count < CRASH_OTHERS_MAX)
		i = others->count++;
	else
		i = entry_random(svc, others->reachable);
	if (i < CRASH_OTHERS_MAX)
		strcpy(others->addresses[i], copy->address);
}

/* Adds the copies of a service other than the one at @address. */
static void crash_add_others(entry_upstream_t *upstream, const char *address,
			     crash_others_t *others)
{
	const entry_copy_t *copy = NULL;

	pthread_mutex_lock(&upstream->lock);
	cds_list_for_each_entry (copy, &upstream->service.copies, link) {
		if (!copy->limit || copy->draining ||
		    !strcmp(copy->address, address))
			continue;
		others->seen++;
		if (!copy->reach.unreachable)
			crash_draw(&upstream->service, copy, others);
	}
	pthread_mutex_unlock(&upstream->lock);
}

/*
 * Whether this entry reaches another copy: if it does not, a copy that refuses
 * connections may be out of reach, or all may have ended for a reason that is no
 * call. At most @max copies are tried, those of the same service first. True if there
 * is no other copy.
 */
static bool crash_reaches_others(entry_request_t *req, const char *address,
				 unsigned max)
{
	entry_upstream_t *upstream = NULL;
	const char *from = req->entry->settings.connect_from;
	crash_others_t others = { 0 };
	unsigned i;

	crash_add_others(req->upstream, address, &others);
	while (!others.count &&
	       (upstream = entry_upstream_next(req->entry, upstream)))
		if (upstream != req->upstream)
			crash_add_others(upstream, address, &others);
	for (i = 0; i < MIN(others.count, max); i++)
		if (crash_try_copy(others.addresses[i], from) ==
		    CRASH_CONNECT_KEPT)
			return true;
	return !others.seen;
}

/* What is behind a send that was cut. */
typedef enum {
	CRASH_NONE,	  /* the process of the copy may live on */
	CRASH_ENDED,	  /* it has ended */
	CRASH_PATHS_LOST, /* this entry reaches no copy */
} crash_verdict_t;

/*
 * Tries connections to the copy at an address and to others. A host that does not
 * answer at all may be out of reach, so only a refused connection shows that a process
 * has ended. After another failure the others are tried for a call that a sibling
 * may repeat.
 */
static crash_verdict_t crash_judge(entry_request_t *req, const char *address)
{
	bool repeatable = req->call.idempotent && req->entry->settings.routed;
	crash_connect_t connect =
		crash_try_copy(address, req->entry->settings.connect_from);
	bool refused = connect == CRASH_CONNECT_REFUSED;
	unsigned max = refused ? CRASH_OTHERS_MAX : CRASH_OTHERS_SILENT_MAX;

	if (connect == CRASH_CONNECT_KEPT || (!refused && !repeatable))
		return CRASH_NONE;
	if (!crash_reaches_others(req, address, max))
		return CRASH_PATHS_LOST;
	return refused ? CRASH_ENDED : CRASH_NONE;
}

entry_crashes_t *entry_crashes_new(void)
{
	entry_crashes_t *crashes = calloc(1, sizeof(*crashes));

	if (!crashes)
		return NULL;
	pthread_mutex_init(&crashes->lock, NULL);
	crashes->suspects = entry_suspects_new();
	return crashes;
}

void entry_crashes_free(entry_crashes_t *crashes)
{
	if (!crashes)
		return;
	entry_suspects_free(crashes->suspects);
	pthread_mutex_destroy(&crashes->lock);
	free(crashes);
}

/* Publishes the number of suspects. The caller holds crashes->lock. */
static void crashes_update_count(entry_crashes_t *crashes)
{
	__atomic_store_n(&crashes->count,
			 entry_suspects_count(crashes->suspects),
			 __ATOMIC_RELEASE);
}

/* Whether there are suspects, so that the digest of a call is needed. */
static bool crashes_any(const entry_crashes_t *crashes)
{
	return __atomic_load_n(&crashes->count, __ATOMIC_ACQUIRE) > 0;
}

/* Context of crash_report(). */
typedef struct {
	entry_t *entry;
	usec_t now;
} crash_report_t;

static void crash_report(void *context, const entry_crash_t *crash)
{
	const crash_report_t *to = context;
	presence_suspect_t report = {
		.digest = (char *)crash->digest,
		.copy = (char *)crash->copy,
		.started_ms = crash->started_ms,
		.ran_ms = (u_int)((to->now - crash->sent) / USEC_PER_MS),
	};

	if (to->entry->presence)
		presence_client_report_suspect(to->entry->presence, &report);
}

/* Records and reports that a copy has ended under a call. */
static void crash_record(entry_request_t *req, usec_t sent)
{
	entry_crashes_t *crashes = req->entry->crashes;
	entry_crash_t crash = { .sent = sent };
	crash_report_t to = { req->entry, 0 };

	crash_digest(req, crash.digest);
	crash.at = to.now = time_now();
	pthread_mutex_lock(&req->upstream->lock);
	strcpy(crash.copy, req->call.copy->name);
	crash.started_ms = req->call.copy->started_ms;
	pthread_mutex_unlock(&req->upstream->lock);
	pthread_mutex_lock(&crashes->lock);
	entry_suspects_add(crashes->suspects, &crash);
	crashes_update_count(crashes);
	pthread_mutex_unlock(&crashes->lock);
	crash_report(&to, &crash);
	entry_trace_copy_crashed(req, crash.digest);
}

bool entry_crash_check(entry_request_t *req, const char *address, usec_t sent)
{
	crash_verdict_t verdict = CRASH_NONE;

	if (!req->forward)
		verdict = crash_judge(req, address);
	if (verdict == CRASH_ENDED)
		crash_record(req, sent);
	return verdict != CRASH_PATHS_LOST;
}

bool entry_crash_is_blocked(const entry_request_t *req)
{
	entry_crashes_t *crashes = req->entry->crashes;
	char digest[ENTRY_DIGEST_SIZE];
	bool blocked;

	if (req->forward || !crashes_any(crashes))
		return false;
	crash_digest(req, digest);
	pthread_mutex_lock(&crashes->lock);
	blocked = entry_suspects_blocked(crashes->suspects, digest);
	pthread_mutex_unlock(&crashes->lock);
	if (blocked)
		entry_trace_blocked(req, digest);
	return blocked;
}

void entry_crash_on_answer(const entry_request_t *req)
{
	entry_crashes_t *crashes = req->entry->crashes;
	char digest[ENTRY_DIGEST_SIZE];
	presence_suspect_t report = { .digest = digest,
				      .copy = (char *)"",
				      .answered = true };
	uint64_t revision = 0;
	bool cleared;

	if (req->forward || !crashes_any(crashes))
		return;
	crash_digest(req, digest);
	pthread_mutex_lock(&crashes->lock);
	cleared = entry_suspects_clear(crashes->suspects, digest, &revision);
	crashes_update_count(crashes);
	pthread_mutex_unlock(&crashes->lock);
	report.base = revision;
	if (cleared && revision && req->entry->presence)
		presence_client_report_suspect(req->entry->presence, &report);
}

void entry_crash_apply(entry_t *entry, const config_t *config, usec_t now)
{
	entry_crashes_t *crashes = entry->crashes;

	pthread_mutex_lock(&crashes->lock);
	entry_suspects_apply(crashes->suspects, config, now);
	crashes_update_count(crashes);
	pthread_mutex_unlock(&crashes->lock);
}

void entry_crash_tick(entry_t *entry, usec_t now)
{
	entry_crashes_t *crashes = entry->crashes;
	crash_report_t to = { entry, now };

	if (!crashes_any(crashes))
		return;
	pthread_mutex_lock(&crashes->lock);
	entry_suspects_expire(crashes->suspects, now);
	crashes_update_count(crashes);
	entry_suspects_each_unconfirmed(crashes->suspects, now, crash_report,
					&to);
	pthread_mutex_unlock(&crashes->lock);
}
