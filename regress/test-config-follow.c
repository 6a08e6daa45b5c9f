#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>
#include "config-confirm.h"
#include "config-direct-response.h"
#include "config-follow-internal.h"
#include "config-lag.h"
#include "config-make.h"
#include "pack.h"

/*
 * A follower polls a keeper that gives scripted responses. It must not publish
 * a revision that a quorum has not confirmed, go back to a lower revision, or
 * apply deltas after a gap. The follower's RPC server thread also serves the
 * scripted keeper.
 */

#define POLL_MS 10

typedef struct {
	keeper_status_t status;
	bool confirmed;
	uint64_t revision;	 /* newest revision according to the keeper */
	uint64_t full_revision;	 /* revision of a full configuration, 0: none */
	uint64_t delta_revision; /* revision of a single delta, 0: none */
} response_t;

static const struct {
	const char *name;
	response_t first, second;
	uint64_t in_force;
	bool ready;
} cases[] = {
	{ "unconfirmed",
	  { KEEPER_OK, false, 5, 5, 0 },
	  { KEEPER_OK, false, 6, 6, 0 },
	  0,
	  false },
	{ "not-leader",
	  { KEEPER_NOT_LEADER, false, 5, 5, 0 },
	  { KEEPER_BUSY, true, 5, 5, 0 },
	  0,
	  false },
	{ "confirmed",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, true, 5, 0, 0 },
	  5,
	  true },
	{ "confirmed-but-incomplete",
	  { KEEPER_OK, true, 7, 5, 0 },
	  { KEEPER_OK, true, 7, 0, 0 },
	  5,
	  false },
	{ "later-unconfirmed",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, false, 6, 6, 0 },
	  5,
	  true },
	{ "lower-full-configuration",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, true, 4, 4, 0 },
	  5,
	  true },
	{ "delta",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, true, 6, 0, 6 },
	  6,
	  true },
	{ "old-delta",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, true, 5, 0, 3 },
	  5,
	  true },
	{ "gap",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, true, 8, 0, 8 },
	  5,
	  true },
	{ "far-behind",
	  { KEEPER_OK, true, 5, 5, 0 },
	  { KEEPER_OK, true, 2000, 2000, 0 },
	  2000,
	  true },
};

static const response_t *first_response, *second_response;
static unsigned response_count; /* number of responses sent so far */

extern void hemlock_keeper_1(struct svc_req *request, SVCXPRT *transport);

static void fill_delta(uint64_t revision, keeper_fetch_body_t *body)
{
	config_item_t item = make_profile("fast", 0, 100);
	config_delta_t plain = { revision,
				 make_change("change", revision, &item, 1) };
	config_delta_t *delta = calloc(1, sizeof(*delta));

	config_copy((xdrproc_t)xdr_config_delta_t, &plain, delta,
		    sizeof(*delta));
	body->keeper_fetch_body_t_u.deltas.deltas_val = delta;
	body->keeper_fetch_body_t_u.deltas.deltas_len = 1;
}

bool_t keeper_fetch_1_svc(keeper_fetch_args_t args, keeper_fetch_res_t *res,
			  struct svc_req *request)
{
	const response_t *response = response_count ? second_response :
						      first_response;

	(void)args;
	(void)request;
	memset(res, 0, sizeof(*res));
	res->status = response->status;
	res->leader = strdup("");
	res->confirmed = response->confirmed;
	res->revision = response->revision;
	res->body.whole = response->full_revision > 0;
	if (response->full_revision)
		res->body.keeper_fetch_body_t_u.config.revision =
			response->full_revision;
	else if (response->delta_revision)
		fill_delta(response->delta_revision, &res->body);
	__atomic_fetch_add(&response_count, 1, __ATOMIC_RELEASE);
	return TRUE;
}

bool_t keeper_report_1_svc(keeper_report_args_t args, void *res,
			   struct svc_req *request)
{
	(void)args;
	(void)res;
	(void)request;
	return TRUE;
}

/* The follower sends none of the following requests. */
bool_t keeper_submit_1_svc(config_change_t change, keeper_submit_res_t *res,
			   struct svc_req *request)
{
	(void)change;
	(void)res;
	(void)request;
	return FALSE;
}

bool_t keeper_outcome_1_svc(config_name_t id, keeper_submit_res_t *res,
			    struct svc_req *request)
{
	(void)id;
	(void)res;
	(void)request;
	return FALSE;
}

bool_t keeper_state_1_svc(keeper_state_res_t *res, struct svc_req *request)
{
	(void)res;
	(void)request;
	return FALSE;
}

bool_t keeper_voter_1_svc(keeper_voter_args_t args, keeper_submit_res_t *res,
			  struct svc_req *request)
{
	(void)args;
	(void)res;
	(void)request;
	return FALSE;
}

bool_t keeper_message_1_svc(keeper_message_t message, void *res,
			    struct svc_req *request)
{
	(void)message;
	(void)res;
	(void)request;
	return FALSE;
}

int hemlock_keeper_1_freeresult(SVCXPRT *transport, xdrproc_t proc,
				caddr_t result)
{
	(void)transport;
	xdr_free(proc, result);
	return 1;
}

/* Listens on a free port of 127.0.0.1 as a keeper. */
static SVCXPRT *keeper_open(char *address)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr = { htonl(INADDR_LOOPBACK) } };
	socklen_t size = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	SVCXPRT *transport;

	g_assert_cmpint(bind(fd, (struct sockaddr *)&at, size), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	getsockname(fd, (struct sockaddr *)&at, &size);
	g_snprintf(address, HL_ADDRESS_MAX, "127.0.0.1:%u", ntohs(at.sin_port));
	transport = svc_vc_create(fd, 0, 0);
	g_assert_true(svc_reg(transport, HEMLOCK_KEEPER, HEMLOCK_KEEPER_V1,
			      hemlock_keeper_1, NULL));
	return transport;
}

static config_follow_t *follow_open(const char *keeper, metrics_t *metrics)
{
	config_follow_options_t options = {
		.name = "node-1",
		.rpc_address = "127.0.0.1:0",
		.settings = { .fanout = 2,
			      .poll_ms = POLL_MS,
			      .timeout_ms = 2000 },
		.metrics = metrics,
	};
	config_follow_t *follow;
	hl_error_t err;

	g_strlcpy(options.settings.keepers.items[0], keeper, HL_ADDRESS_MAX);
	options.settings.keepers.count = 1;
	follow = config_follow_new(&options, &err);
	g_assert_nonnull(follow);
	return follow;
}

static void wait_for_responses(unsigned count)
{
	unsigned left;

	for (left = 2000; left; left--) {
		if (__atomic_load_n(&response_count, __ATOMIC_ACQUIRE) >= count)
			return;
		usleep(5000);
	}
	g_assert_not_reached();
}

static void test_follow_case(gconstpointer data)
{
	const size_t i = GPOINTER_TO_SIZE(data);
	metrics_t *metrics = metrics_new();
	supervisor_t *sup = supervisor_new("test", 1, USEC_PER_SEC);
	char address[HL_ADDRESS_MAX];
	SVCXPRT *keeper = keeper_open(address);
	config_follow_t *follow = follow_open(address, metrics);
	supervisor_child_t child = config_follow_child(follow);
	const config_t *config;

	first_response = &cases[i].first;
	second_response = &cases[i].second;
	response_count = 0;
	g_assert_cmpint(supervisor_add(sup, &child, NULL), ==, 0);
	wait_for_responses(8);
	rcu_read_lock();
	config = config_follow_get(follow);
	g_assert_cmpuint(config ? config->revision : 0, ==, cases[i].in_force);
	rcu_read_unlock();
	g_assert_cmpuint(config_follow_revision(follow), ==, cases[i].in_force);
	g_assert_cmpint(config_follow_ready(follow), ==, cases[i].ready);
	supervisor_free(sup);
	svc_unreg(HEMLOCK_KEEPER, HEMLOCK_KEEPER_V1);
	svc_destroy(keeper);
	config_follow_free(follow);
	metrics_free(metrics);
}

/*
 * After all VMs have stopped, the link of a small VM is full of the calls that come
 * back, and a connect takes longer than at other times. Polls must not fail at the
 * same timeout for seconds, while the entry has routes that are out of date.
 */
static void test_connect_timeout(void)
{
	g_assert_cmpint(config_direct_connect_timeout_ms(0), ==, 200);
	g_assert_cmpint(config_direct_connect_timeout_ms(1), ==, 400);
	g_assert_cmpint(config_direct_connect_timeout_ms(2), ==, 800);
	g_assert_cmpint(config_direct_connect_timeout_ms(3), ==, 1600);
	g_assert_cmpint(config_direct_connect_timeout_ms(1000000), ==, 1600);
}

/* Listens on a free port of the loopback interface. */
static int listen_open(int backlog, char address[HL_ADDRESS_MAX])
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t length = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&name, length), ==, 0);
	g_assert_cmpint(listen(fd, backlog), ==, 0);
	getsockname(fd, (struct sockaddr *)&name, &length);
	g_snprintf(address, HL_ADDRESS_MAX, "127.0.0.1:%u",
		   ntohs(name.sin_port));
	return fd;
}

#define SILENT_CLIENTS 4

/* Fills the queue of a listening socket, so that it answers no further connect,
 * as a VM without power does. */
static void silence(const char *address, int clients[SILENT_CLIENTS])
{
	struct sockaddr_storage storage;
	unsigned length;
	int i;

	g_assert_cmpint(hl_address_parse(address, &storage, &length), ==, 0);
	for (i = 0; i < SILENT_CLIENTS; i++) {
		clients[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		if (connect(clients[i], (struct sockaddr *)&storage, length))
			g_assert_cmpint(errno, ==, EINPROGRESS);
	}
}

/*
 * All VMs have lost power, and an entry starts before most keepers. Once a keeper
 * reports that it has a configuration, the entry must poll that one, not wait for
 * its connect to a VM that is still down. The first three polls take 1.4 s, so
 * that the fourth, with the longest timeout, is under way at the trigger.
 */
static void test_reporter_first(void)
{
	metrics_t *metrics = metrics_new();
	supervisor_t *sup = supervisor_new("test", 1, USEC_PER_SEC);
	config_follow_options_t options = { .name = "e1", .metrics = metrics };
	const presence_keepers_t unchanged = { 0 };
	char silent_address[HL_ADDRESS_MAX], keeper_address[HL_ADDRESS_MAX];
	int silent = listen_open(0, silent_address);
	int keeper = listen_open(8, keeper_address);
	struct pollfd connected = { keeper, POLLIN, 0 };
	supervisor_child_t child;
	config_follow_t *follow;
	int clients[SILENT_CLIENTS];
	hl_error_t err;
	int i;

	silence(silent_address, clients);
	options.settings.poll_ms = 10000;
	options.settings.timeout_ms = 1000;
	options.settings.keepers.count = 1;
	strcpy(options.settings.keepers.items[0], silent_address);
	follow = config_follow_new(&options, &err);
	g_assert_nonnull(follow);
	child = config_follow_child(follow);
	g_assert_cmpint(supervisor_add(sup, &child, NULL), ==, 0);
	g_assert_cmpint(poll(&connected, 1, 1800), ==, 0);
	config_follow_trigger(follow, &unchanged, "", keeper_address);
	g_assert_cmpint(poll(&connected, 1, 700), ==, 1);
	close(keeper);
	close(silent);
	supervisor_free(sup);
	config_follow_free(follow);
	metrics_free(metrics);
	for (i = 0; i < SILENT_CLIENTS; i++)
		close(clients[i]);
}

/*
 * The time of a missing revision counts from the first report of it, also when it
 * is reported again or a newer one follows. Revisions in force do not count.
 */
static void test_outdated(void)
{
	const usec_t max = USEC_PER_SEC;
	config_lag_t lag = { 0 };

	config_lag_report(&lag, 5, 5, 100);
	g_assert_cmpint(config_lag_outdated_from(&lag, max), ==, USEC_NEVER);
	config_lag_report(&lag, 5, 6, 200);
	config_lag_report(&lag, 5, 6, 300);
	config_lag_report(&lag, 5, 8, 400);
	g_assert_cmpint(config_lag_outdated_from(&lag, max), ==, 200 + max);
	g_assert_cmpint(config_lag_age(&lag, 1200), ==, 1000);
	g_assert_cmpint(config_lag_outdated_until(&lag), >, 400 + max);
	config_lag_apply(&lag, 5);
	g_assert_cmpint(config_lag_outdated_from(&lag, max), ==, 200 + max);
	config_lag_apply(&lag, 7);
	g_assert_cmpint(config_lag_outdated_from(&lag, max), ==, 400 + max);
	config_lag_apply(&lag, 8);
	g_assert_cmpint(config_lag_outdated_from(&lag, max), ==, USEC_NEVER);
	g_assert_cmpint(config_lag_age(&lag, 5000), ==, 0);
	config_lag_report(&lag, 8, 9, 6000);
	g_assert_cmpint(config_lag_outdated_from(&lag, max), ==, 6000 + max);
}

/*
 * A confirmation counts from the time of the question, for the revision that is
 * applied only, and stays while newer revisions are applied.
 */
static void test_confirmation(void)
{
	config_confirm_t confirm = { 0 };

	g_assert_false(config_confirm_record(&confirm, 0, 100));
	g_assert_false(config_confirm_record(&confirm, 4, 100));
	config_confirm_apply(&confirm, 4);
	g_assert_cmpint(confirm.newest_at, ==, 0);
	g_assert_true(config_confirm_record(&confirm, 4, 200));
	g_assert_false(config_confirm_record(&confirm, 4, 150));
	g_assert_false(config_confirm_record(&confirm, 3, 300));
	g_assert_false(config_confirm_record(&confirm, 5, 300));
	g_assert_cmpint(confirm.newest_at, ==, 200);
	config_confirm_apply(&confirm, 5);
	g_assert_cmpint(confirm.newest_at, ==, 200);
	g_assert_true(config_confirm_record(&confirm, 5, 400));
}

/* Polls that confirm nothing come ever later, so that the entries do not load the
 * keepers while these elect a leader. */
static void test_confirm_retry(void)
{
	static const struct {
		unsigned failures;
		int interval_ms;
	} rows[] = { { 0, 60 },	 { 1, 120 }, { 2, 240 },       { 3, 480 },
		     { 4, 960 }, { 5, 960 }, { UINT_MAX, 960 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpint(config_confirm_retry_interval(rows[i].failures),
				==, rows[i].interval_ms * USEC_PER_MS);
}

/* A keeper that answers each poll over HTTP with the whole configuration. */
typedef struct {
	int listener;
	unsigned revision; /* atomic */
	int stop;	   /* atomic */
	bool follower;	   /* it doesn't lead, and confirms nothing */
	usec_t polled_at;  /* time of the first poll; 0: none; atomic */
	pthread_t thread;
} http_keeper_t;

/* Makes the body of a response with a configuration without objects. */
static char *http_keeper_body(unsigned revision, bool confirmed, size_t *size)
{
	keeper_fetch_res_t res = { .status = KEEPER_OK,
				   .leader = (char *)"",
				   .confirmed = confirmed,
				   .revision = revision };
	char *plain, *packed;
	size_t plain_size;

	res.body.whole = true;
	res.body.keeper_fetch_body_t_u.config.revision = revision;
	g_assert_cmpint(config_encode((xdrproc_t)xdr_keeper_fetch_res_t, &res,
				      &plain, &plain_size),
			==, 0);
	packed = pack_deflate(plain, plain_size, size);
	g_assert_nonnull(packed);
	free(plain);
	return packed;
}

static void http_keeper_respond(int client, unsigned revision, bool confirmed)
{
	char request[1024], *body;
	size_t size;

	g_assert_cmpint(recv(client, request, sizeof(request), 0), >, 0);
	body = http_keeper_body(revision, confirmed, &size);
	dprintf(client,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n",
		size);
	g_assert_cmpint(write(client, body, size), ==, size);
	free(body);
}

static void *http_keeper_run(void *context)
{
	http_keeper_t *keeper = context;
	struct pollfd input = { keeper->listener, POLLIN, 0 };
	int client;

	while (!__atomic_load_n(&keeper->stop, __ATOMIC_ACQUIRE)) {
		if (poll(&input, 1, 10) <= 0)
			continue;
		client = accept(keeper->listener, NULL, NULL);
		if (!__atomic_load_n(&keeper->polled_at, __ATOMIC_ACQUIRE))
			__atomic_store_n(&keeper->polled_at, time_now(),
					 __ATOMIC_RELEASE);
		http_keeper_respond(client,
				    __atomic_load_n(&keeper->revision,
						    __ATOMIC_ACQUIRE),
				    !keeper->follower);
		close(client);
	}
	return NULL;
}

static void http_keeper_start(http_keeper_t *keeper,
			      config_follow_settings_t *settings)
{
	char *address = settings->keepers.items[settings->keepers.count++];

	keeper->listener = listen_open(8, address);
	g_assert_cmpint(pthread_create(&keeper->thread, NULL, http_keeper_run,
				       keeper),
			==, 0);
}

static void http_keeper_stop(http_keeper_t *keeper)
{
	__atomic_store_n(&keeper->stop, 1, __ATOMIC_RELEASE);
	pthread_join(keeper->thread, NULL);
	close(keeper->listener);
}

/* Takes over a configuration; that of revision 2 only once it is let through. */
typedef struct {
	int received; /* the newest revision; atomic */
	int blocked;  /* atomic */
} slow_entry_t;

static void slow_entry_change(void *context, const config_t *config)
{
	slow_entry_t *entry = context;

	__atomic_store_n(&entry->received, (int)config->revision,
			 __ATOMIC_RELEASE);
	while (config->revision == 2 &&
	       __atomic_load_n(&entry->blocked, __ATOMIC_ACQUIRE))
		usleep(1000);
}

/* A follower of http_keeper_t, in a supervisor of its own. */
typedef struct {
	metrics_t *metrics;
	supervisor_t *supervisor;
	config_follow_t *follow;
} follower_t;

static void follower_start(follower_t *follower, slow_entry_t *entry,
			   const config_follow_settings_t *settings)
{
	config_follow_options_t options = { .name = "e1",
					    .settings = *settings,
					    .changed = slow_entry_change,
					    .changed_context = entry };
	supervisor_child_t child;
	hl_error_t err;

	follower->metrics = options.metrics = metrics_new();
	follower->supervisor = supervisor_new("test", 1, USEC_PER_SEC);
	follower->follow = config_follow_new(&options, &err);
	g_assert_nonnull(follower->follow);
	child = config_follow_child(follower->follow);
	g_assert_cmpint(supervisor_add(follower->supervisor, &child, NULL), ==,
			0);
}

static void follower_stop(follower_t *follower)
{
	supervisor_free(follower->supervisor);
	config_follow_free(follower->follow);
	metrics_free(follower->metrics);
}

static void wait_for_received(slow_entry_t *entry, int revision)
{
	unsigned left;

	for (left = 5000; left; left--) {
		if (__atomic_load_n(&entry->received, __ATOMIC_ACQUIRE) ==
		    revision)
			return;
		usleep(1000);
	}
	g_assert_not_reached();
}

static void wait_for_revision(config_follow_t *follow, uint64_t revision)
{
	unsigned left;

	for (left = 5000; left; left--) {
		if (config_follow_revision(follow) == revision)
			return;
		usleep(1000);
	}
	g_assert_not_reached();
}

/*
 * Guards against calls that are served by an older configuration, without a bound,
 * while a newer one has been received and is not applied. Until it is applied the entry
 * reports the older revision to the keepers; after config.outdated_ms it refuses calls.
 */
static void test_received_not_applied(void)
{
	http_keeper_t keeper = { .revision = 1 };
	slow_entry_t entry = { .blocked = 1 };
	config_follow_settings_t settings = { .poll_ms = 10,
					      .timeout_ms = 1000,
					      .outdated_ms = 1000,
					      .confirm_ms = 1000 };
	follower_t follower;
	config_follow_t *follow;
	usec_t now;

	http_keeper_start(&keeper, &settings);
	follower_start(&follower, &entry, &settings);
	follow = follower.follow;
	wait_for_received(&entry, 1);
	wait_for_revision(follow, 1);

	__atomic_store_n(&keeper.revision, 2, __ATOMIC_RELEASE);
	wait_for_received(&entry, 2);
	now = time_now();
	g_assert_cmpuint(config_follow_revision(follow), ==, 1);
	config_follow_report(follow, 2, now);
	g_assert_false(config_follow_outdated(follow, now));
	g_assert_true(config_follow_outdated(follow, now + 1100 * USEC_PER_MS));

	__atomic_store_n(&entry.blocked, 0, __ATOMIC_RELEASE);
	wait_for_revision(follow, 2);
	g_assert_false(
		config_follow_outdated(follow, now + 1100 * USEC_PER_MS));

	follower_stop(&follower);
	http_keeper_stop(&keeper);
}

#define START_KEEPERS 3
#define START_ATTEMPTS 5

/* Starts an entry beside keepers of which none leads and all but the last are behind.
 * Returns the time from its first poll to that of the last keeper. */
static usec_t start_polls(void)
{
	http_keeper_t keepers[START_KEEPERS] = { { 0 } };
	slow_entry_t entry = { 0 };
	config_follow_settings_t settings = { .poll_ms = 10000,
					      .timeout_ms = 1000,
					      .outdated_ms = 1000,
					      .confirm_ms = 1000 };
	follower_t follower;
	int i;

	for (i = 0; i < START_KEEPERS; i++) {
		keepers[i].revision = i == START_KEEPERS - 1 ? 2 : 1;
		keepers[i].follower = true;
		http_keeper_start(&keepers[i], &settings);
	}
	follower_start(&follower, &entry, &settings);
	wait_for_received(&entry, 2);
	follower_stop(&follower);
	for (i = 0; i < START_KEEPERS; i++)
		http_keeper_stop(&keepers[i]);
	return keepers[START_KEEPERS - 1].polled_at - keepers[0].polled_at;
}

/*
 * Guards against calls that are routed by an older configuration just after a start: no
 * keeper leads, the first one polled has an older configuration, and the entry pauses for
 * 60 ms before it polls the next one. The fastest of several starts is checked, as the
 * machine may be busy.
 */
static void test_start_asks_all(void)
{
	usec_t fastest = INT64_MAX;
	unsigned i;

	for (i = 0; i < START_ATTEMPTS; i++) {
		usec_t time = start_polls();

		if (time < fastest)
			fastest = time;
	}
	g_assert_cmpint(fastest, <, 60 * USEC_PER_MS);
}

/* Guards against a poll for each call that siblings hand over with a newer revision,
 * and against none for them. */
static void test_sibling_poll(void)
{
	metrics_t *metrics = metrics_new();
	const volatile int stop = 0;
	config_follow_options_t options = {
		.name = "vm",
		.settings = { .keepers = { 1, { "127.0.0.1:1" } } },
		.metrics = metrics,
	};
	usec_t now = time_now();
	hl_error_t err;
	config_follow_t *follow = config_follow_new(&options, &err);

	g_assert_nonnull(follow);
	g_assert_false(config_follow_pause(follow, 0, &stop));
	config_follow_on_sibling(follow, now);
	g_assert_true(config_follow_pause(follow, 0, &stop));
	config_follow_on_sibling(follow, now + 499 * USEC_PER_MS);
	g_assert_false(config_follow_pause(follow, 0, &stop));
	config_follow_on_sibling(follow, now + 500 * USEC_PER_MS);
	g_assert_true(config_follow_pause(follow, 0, &stop));
	config_follow_free(follow);
	metrics_free(metrics);
}

/* Results of a follower at its last call of on_pending_copies. */
typedef struct {
	config_follow_t *follow;
	unsigned calls;
	bool pending;	/* the copy c1 */
	bool call_held; /* a call that is matched now */
} pending_copies_t;

static bool is_call_held(config_follow_t *follow)
{
	unsigned state = config_follow_start_state(follow);

	return state &&
	       config_follow_holds(follow, state, "h.example", "/x/", 3, 0);
}

static void on_pending_copies(void *context)
{
	pending_copies_t *copies = context;

	copies->calls++;
	copies->pending = config_follow_copy_is_pending(copies->follow, "c1");
	copies->call_held = is_call_held(copies->follow);
}

static config_follow_t *pending_follower(pending_copies_t *copies,
					 metrics_t *metrics)
{
	config_follow_options_t options = {
		.name = "vm",
		.settings = { .keepers = { 1, { "127.0.0.1:1" } },
			      .outdated_ms = 1000 },
		.metrics = metrics,
		.on_pending_copies = on_pending_copies,
		.changed_context = copies,
	};
	hl_error_t err;

	copies->follow = config_follow_new(&options, &err);
	g_assert_nonnull(copies->follow);
	config_confirm_apply(&copies->follow->confirm, 4);
	return copies->follow;
}

/* Records the response of the only keeper, whose log may end with these copies. */
static void respond_copies(config_follow_t *follow, const char *copies,
			   usec_t now)
{
	config_start_response_t response = { .address = "a",
					     .voters = 1,
					     .last = CONFIG_START_LAST_ABSENT };

	config_start_read_copies(&response, copies);
	config_follow_record_start(follow, &response, 4, now);
}

/* Guards against calls that are routed after a keeper has named a copy and before the
 * entry has taken it out of service. */
static void test_pending_copies(void)
{
	pending_copies_t copies = { 0 };
	metrics_t *metrics = metrics_new();
	config_follow_t *follow = pending_follower(&copies, metrics);

	g_assert_true(is_call_held(follow));
	respond_copies(follow, "c1", 1);
	g_assert_cmpuint(copies.calls, ==, 1);
	g_assert_true(copies.pending);
	g_assert_true(copies.call_held);
	g_assert_false(is_call_held(follow));
	respond_copies(follow, "c1", 2);
	g_assert_cmpuint(copies.calls, ==, 1);
	respond_copies(follow, "", 3);
	g_assert_cmpuint(copies.calls, ==, 2);
	g_assert_false(copies.pending);
	config_follow_free(follow);
	metrics_free(metrics);
}

static void offer_keepers(config_follow_t *follow, const char *address,
			  uint64_t revision)
{
	presence_keepers_t keepers = { .list.count = 1, .revision = revision };

	strcpy(keepers.list.items[0], address);
	config_follow_trigger(follow, &keepers, "", "");
}

/* Guards against a list of keepers that replaces a newer one. */
static void test_crossed_keepers(void)
{
	metrics_t *metrics = metrics_new();
	config_follow_options_t options = {
		.name = "vm",
		.settings = { .keepers = { 1, { "127.0.0.1:1" } } },
		.metrics = metrics,
	};
	hl_error_t err;
	config_follow_t *follow = config_follow_new(&options, &err);
	const char *address = follow->keepers.list.items[0];

	offer_keepers(follow, "127.0.0.1:2", 0);
	g_assert_cmpstr(address, ==, "127.0.0.1:2");
	offer_keepers(follow, "127.0.0.1:3", 6);
	g_assert_cmpstr(address, ==, "127.0.0.1:3");
	offer_keepers(follow, "127.0.0.1:4", 5);
	offer_keepers(follow, "127.0.0.1:4", 0);
	g_assert_cmpstr(address, ==, "127.0.0.1:3");
	offer_keepers(follow, "127.0.0.1:4", 6);
	g_assert_cmpstr(address, ==, "127.0.0.1:4");
	config_follow_free(follow);
	metrics_free(metrics);
}

/* Guards against a copy that stays out of service once a leader has confirmed the
 * configuration in force. */
static void test_pending_confirmed(void)
{
	pending_copies_t copies = { 0 };
	metrics_t *metrics = metrics_new();
	config_follow_t *follow = pending_follower(&copies, metrics);

	respond_copies(follow, "c1", 1);
	g_assert_true(copies.pending);
	config_follow_confirm(follow, 4, 2, "a");
	g_assert_cmpuint(copies.calls, ==, 2);
	g_assert_false(copies.pending);
	config_follow_confirm(follow, 4, 3, "a");
	respond_copies(follow, "c1,c2", 4);
	g_assert_cmpuint(copies.calls, ==, 2);
	g_assert_false(config_follow_copy_is_pending(follow, "c1"));
	config_follow_free(follow);
	metrics_free(metrics);
}

/* Guards against a part of a malformed list, and against a list without its revision. */
static void test_keepers_headers(void)
{
	static const struct {
		const char *line;
		bool malformed;
		unsigned count;
		uint64_t revision;
	} rows[] = {
		{ "Hemlock-Keepers: 10.0.0.1:1,10.0.0.2:1\r\n", false, 2, 0 },
		{ "Hemlock-Keepers: 10.0.0.1:1,keeper:1\r\n", true, 0, 0 },
		{ "Hemlock-Keepers: 10.0.0.1:1,\r\n", true, 0, 0 },
		{ "Hemlock-Keepers-Revision: 7\r\n", false, 0, 7 },
		{ "hemlock-keepers-revision:18446744073709551615\r\n", false, 0,
		  UINT64_MAX },
		{ "Hemlock-Keepers-Revision: 18446744073709551616\r\n", true, 0,
		  0 },
		{ "Hemlock-Keepers-Revision: -1\r\n", true, 0, 0 },
		{ "Hemlock-Keepers-Revision:\r\n", true, 0, 0 },
		{ "Hemlock-Voters: 3\r\n", false, 0, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		config_direct_response_t response = { 0 };

		config_direct_header((char *)rows[i].line, 1,
				     strlen(rows[i].line), &response);
		g_assert_cmpint(response.keepers_malformed, ==,
				rows[i].malformed);
		g_assert_cmpuint(response.keepers.list.count, ==,
				 rows[i].count);
		g_assert_cmpuint(response.keepers.revision, ==,
				 rows[i].revision);
	}
}

int main(int argc, char **argv)
{
	size_t i;
	int rc;

	g_test_init(&argc, &argv, NULL);
	log_set_level(LOG_LEVEL_ERROR);
	rcu_register_thread();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/config-follow/%s",
					     cases[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i),
				     test_follow_case);
		g_free(path);
	}
	g_test_add_func("/config-follow/confirm-retry", test_confirm_retry);
	g_test_add_func("/config-follow/confirmation", test_confirmation);
	g_test_add_func("/config-follow/connect-timeout", test_connect_timeout);
	g_test_add_func("/config-follow/crossed-keepers", test_crossed_keepers);
	g_test_add_func("/config-follow/keepers-headers", test_keepers_headers);
	g_test_add_func("/config-follow/outdated", test_outdated);
	g_test_add_func("/config-follow/pending-confirmed",
			test_pending_confirmed);
	g_test_add_func("/config-follow/pending-copies", test_pending_copies);
	g_test_add_func("/config-follow/received-not-applied",
			test_received_not_applied);
	g_test_add_func("/config-follow/start-asks-all", test_start_asks_all);
	g_test_add_func("/config-follow/reporter-first", test_reporter_first);
	g_test_add_func("/config-follow/sibling-poll", test_sibling_poll);
	rc = g_test_run();
	rcu_unregister_thread();
	return rc;
}
