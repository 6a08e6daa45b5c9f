/*
 * served-older: callers and judge of bench/served-older.sh. One thread for each
 * entry calls routes that move between services, routes that have just been
 * added and routes that have been removed, until SIGTERM. Then the calls are
 * compared with the copies' own record and with the versions of the routing:
 * a call that is sent later than APPLY_USEC after the acknowledgement of a
 * version may be run, or denied, only as this version or a later one says.
 *
 * The operator's script appends lines to the file of events, "TIME EVENT ...",
 * with the time in seconds since 1970:
 *
 *	submit VERSION ROUTE=SERVICE...	a version is sent to a keeper
 *	ack VERSION KEEPER		a keeper has acknowledged it
 *	freeze N, thaw N		entry N is stopped and goes on
 *	fault				all processes are killed
 *	start KEEPER			they start again, but for a keeper
 *	read-back VERSION		the version that keepers return
 *
 * ROUTE is the first part of the path of the calls on it. Version N adds the
 * route "aN"; the routes "r1" to "r4" are in each version.
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "headers.h"
#include "regress/tool-options.h"

#define ENTRIES_MAX 99
#define APPLY_USEC (2 * USEC_PER_SEC)
/* Time after a start, or after a freeze, from which an entry serves. */
#define SERVE_USEC (6 * USEC_PER_SEC)
#define DEADLINE_MS 1500
#define TIMEOUT_MS 2000L
#define PAUSE_MIN_USEC 50000
#define PAUSE_RANGE_USEC 70000
#define POLL_USEC (20 * USEC_PER_MS)
#define MOVING_ROUTES 4
#define MOVING_SHARE 0.8 /* share of the calls that are on moving routes */
/* The other calls are on routes that one of so many last versions added. */
#define ADDED_VERSIONS 4
#define CLIENT_HOST "Host: a.example"

/* A version of the routing, in the order in which they were submitted. */
typedef struct {
	unsigned number;
	usec_t submitted, acked; /* USEC_NEVER: not acknowledged */
	GHashTable *services;	 /* route to service */
} version_t;

typedef struct {
	char id[HL_NAME_MAX];
	char route[HL_NAME_MAX];
	unsigned entry;
	usec_t sent, ended;
	long status; /* 0: no response */
	bool older;  /* run as only an older version allows */
} call_t;

/* A thread that calls one entry, with its calls. */
typedef struct {
	pthread_t thread;
	unsigned entry;
	GRand *random;
	GPtrArray *calls;
	CURL *easy;
} caller_t;

/* What the judge counts. */
typedef struct {
	unsigned calls[2], older[2]; /* before and after the final start */
	unsigned older_frozen, denied_late, refused, refused_late;
	unsigned not_serving;
	bool thawed_behind;	    /* see follows_again() */
	usec_t oldest, first, last; /* of the calls in older[] */
} verdict_t;

static gchar *opt_net, *opt_events, *opt_record, *opt_cases;
static gchar *opt_services;
static gint opt_entries = 16, opt_seed = 1;
static const headers_t *headers;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *versions; /* guarded by lock while callers run */
static int latest = -1;	    /* index of the last acknowledged version */
static usec_t faulted = USEC_NEVER, started = USEC_NEVER;
static usec_t frozen = USEC_NEVER, thawed = USEC_NEVER;
static unsigned frozen_entry, read_back;
static volatile sig_atomic_t stopped;

static version_t *version_at(int i)
{
	return g_ptr_array_index(versions, (guint)i);
}

static void on_submit(unsigned number, gchar **routes, usec_t at)
{
	version_t *version = g_new0(version_t, 1);
	int i;

	version->number = number;
	version->submitted = at;
	version->acked = USEC_NEVER;
	version->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free);
	for (i = 0; routes[i]; i++) {
		gchar **pair = g_strsplit(routes[i], "=", 2);

		if (pair[0] && pair[1])
			g_hash_table_insert(version->services,
					    g_strdup(pair[0]),
					    g_strdup(pair[1]));
		g_strfreev(pair);
	}
	g_ptr_array_add(versions, version);
}

static void on_ack(unsigned number, usec_t at)
{
	int i;

	for (i = (int)versions->len - 1; i >= 0; i--) {
		if (version_at(i)->number != number)
			continue;
		version_at(i)->acked = at;
		latest = MAX(latest, i);
		return;
	}
}

static void on_event(gchar **words)
{
	usec_t at = (usec_t)(g_ascii_strtod(words[0], NULL) *
			     (double)USEC_PER_SEC);
	unsigned number = words[2] ? (unsigned)atoi(words[2]) : 0;

	if (!strcmp(words[1], "submit") && words[2]) {
		on_submit(number, words + 3, at);
	} else if (!strcmp(words[1], "ack")) {
		on_ack(number, at);
	} else if (!strcmp(words[1], "fault")) {
		faulted = at;
	} else if (!strcmp(words[1], "start")) {
		started = at;
	} else if (!strcmp(words[1], "freeze")) {
		frozen = at;
		frozen_entry = number;
	} else if (!strcmp(words[1], "thaw")) {
		thawed = at;
	} else if (!strcmp(words[1], "read-back")) {
		read_back = number;
	}
}

/* Reads the events that were appended since the last call. */
static void read_events(FILE *file)
{
	size_t size = 0;
	char *line = NULL;

	clearerr(file);
	pthread_mutex_lock(&lock);
	while (getline(&line, &size, file) > 0) {
		gchar **words = g_strsplit(g_strstrip(line), " ", -1);

		if (g_strv_length(words) >= 2)
			on_event(words);
		g_strfreev(words);
	}
	pthread_mutex_unlock(&lock);
	free(line);
}

/* Chooses the route of the next call; false before there is a version. */
static bool choose_route(caller_t *caller, char *out)
{
	bool chosen = false;
	int i;

	pthread_mutex_lock(&lock);
	i = latest - g_rand_int_range(caller->random, 0, ADDED_VERSIONS);
	if (latest >= 0 && g_rand_double(caller->random) < MOVING_SHARE) {
		g_snprintf(out, HL_NAME_MAX, "r%d",
			   g_rand_int_range(caller->random, 1,
					    MOVING_ROUTES + 1));
		chosen = true;
	} else if (i >= 0) {
		g_snprintf(out, HL_NAME_MAX, "a%u", version_at(i)->number);
		chosen = true;
	}
	pthread_mutex_unlock(&lock);
	return chosen;
}

static size_t drop_body(char *data G_GNUC_UNUSED, size_t size, size_t count,
			void *cls G_GNUC_UNUSED)
{
	return size * count;
}

static void send_call(caller_t *caller, call_t *call)
{
	char url[256], id_line[128], deadline_line[128];
	struct curl_slist *lines = curl_slist_append(NULL, CLIENT_HOST);
	CURL *easy = caller->easy;

	g_snprintf(url, sizeof(url), "http://%s.1%u:7080/%s/x", opt_net,
		   caller->entry, call->route);
	g_snprintf(id_line, sizeof(id_line), "%s: %s", headers->call_id,
		   call->id);
	g_snprintf(deadline_line, sizeof(deadline_line), "%s: %d",
		   headers->deadline_ms, DEADLINE_MS);
	lines = curl_slist_append(lines, id_line);
	lines = curl_slist_append(lines, deadline_line);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	call->sent = g_get_real_time();
	if (!curl_easy_perform(easy))
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &call->status);
	call->ended = g_get_real_time();
	curl_slist_free_all(lines);
}

static void *caller_main(void *arg)
{
	caller_t *caller = arg;
	char route[HL_NAME_MAX];

	while (!stopped) {
		g_usleep((gulong)(PAUSE_MIN_USEC +
				  g_rand_int_range(caller->random, 0,
						   PAUSE_RANGE_USEC)));
		if (choose_route(caller, route)) {
			call_t *call = g_new0(call_t, 1);

			call->entry = caller->entry;
			g_strlcpy(call->route, route, sizeof(call->route));
			g_snprintf(call->id, sizeof(call->id), "%x-%x-%x",
				   (unsigned)opt_seed, caller->entry,
				   caller->calls->len);
			send_call(caller, call);
			g_ptr_array_add(caller->calls, call);
		}
	}
	return NULL;
}

/*
 * Returns the index of the newest version that was acknowledged longer than
 * APPLY_USEC before @at, or -1.
 */
static int version_due(usec_t at)
{
	int i;

	for (i = (int)versions->len - 1; i >= 0; i--) {
		if (version_at(i)->acked != USEC_NEVER &&
		    version_at(i)->acked + APPLY_USEC < at)
			return i;
	}
	return -1;
}

/* Whether version @i has the route with @service; NULL: has no such route. */
static bool version_allows(int i, const char *route, const char *service)
{
	return !g_strcmp0(g_hash_table_lookup(version_at(i)->services, route),
			  service);
}

/*
 * Whether a version that may be in force during the call allows @service. A
 * call without a response may run at any time after it was sent.
 */
static bool call_allowed(const call_t *call, const char *service)
{
	usec_t end = call->status ? call->ended : USEC_NEVER;
	int i, due = version_due(call->sent);

	if (due < 0)
		return true;
	for (i = due; i < (int)versions->len; i++) {
		if (version_at(i)->submitted <= end &&
		    version_allows(i, call->route, service))
			return true;
	}
	return false;
}

/*
 * Returns how long after the bound the call was sent: the bound is APPLY_USEC
 * after the acknowledgement of the version that ended the last one by which
 * @service runs the call.
 */
static usec_t call_over(const call_t *call, const char *service)
{
	int due = version_due(call->sent), i = due;

	while (i >= 0 && !version_allows(i, call->route, service))
		i--;
	for (i++; i < due; i++) {
		if (version_at(i)->acked != USEC_NEVER)
			break;
	}
	return call->sent - version_at(i)->acked - APPLY_USEC;
}

static bool is_frozen(const call_t *call)
{
	return call->entry == frozen_entry && call->sent >= frozen &&
	       call->sent < thawed;
}

/* Returns the service of copy @id by the option --services, or NULL. */
static char *service_of(const char *id)
{
	gchar **pairs = g_strsplit(opt_services, ",", -1);
	char *service = NULL;
	size_t length = strlen(id);
	int i;

	for (i = 0; pairs[i] && !service; i++) {
		if (!strncmp(pairs[i], id, length) && pairs[i][length] == '=')
			service = g_strdup(pairs[i] + length + 1);
	}
	g_strfreev(pairs);
	return service;
}

static void judge_run(call_t *call, const char *copy, const char *service,
		      verdict_t *verdict, FILE *cases)
{
	usec_t over;

	if (call->older || call_allowed(call, service))
		return;
	over = call_over(call, service);
	call->older = true;
	verdict->older[call->sent >= started]++;
	verdict->older_frozen += is_frozen(call);
	verdict->oldest = MAX(verdict->oldest, over);
	if (call->sent >= started) {
		if (!verdict->first || call->sent < verdict->first)
			verdict->first = call->sent;
		verdict->last = MAX(verdict->last, call->sent);
	}
	fprintf(cases,
		"older call=%s entry=%u route=%s copy=%s sent=%.6f "
		"ended=%.6f status=%ld over_s=%.3f due=%u\n",
		call->id, call->entry, call->route, copy,
		(double)call->sent / (double)USEC_PER_SEC,
		(double)call->ended / (double)USEC_PER_SEC, call->status,
		(double)over / (double)USEC_PER_SEC,
		version_at(version_due(call->sent))->number);
}

/* Judges each call that a copy has run by its own record. */
static void judge_runs(GHashTable *calls, verdict_t *verdict, FILE *cases)
{
	FILE *file = fopen(opt_record, "r");
	char *line = NULL, copy[HL_NAME_MAX], id[HL_NAME_MAX], *service;
	size_t size = 0;
	call_t *call;

	while (file && getline(&line, &size, file) > 0) {
		if (!strstr(line, "result=run") ||
		    sscanf(line, "copy=%63s method=%*s url=%*s call=%63s", copy,
			   id) != 2)
			continue;
		call = g_hash_table_lookup(calls, id);
		service = service_of(copy);
		if (call && service)
			judge_run(call, copy, service, verdict, cases);
		g_free(service);
	}
	free(line);
	if (file)
		fclose(file);
}

/* Whether the time of a call is one at which its entry ought to serve. */
static bool is_serving_time(const call_t *call)
{
	if (call->entry == frozen_entry && call->sent >= frozen &&
	    call->sent < MIN(faulted, thawed + SERVE_USEC))
		return false;
	return call->sent < faulted || call->sent >= started + SERVE_USEC;
}

static void judge_response(const call_t *call, verdict_t *verdict, FILE *cases)
{
	verdict->calls[call->sent >= started]++;
	if (call->status == 404 && !call_allowed(call, NULL)) {
		verdict->denied_late++;
		fprintf(cases, "denied call=%s entry=%u route=%s sent=%.6f\n",
			call->id, call->entry, call->route,
			(double)call->sent / (double)USEC_PER_SEC);
	}
	if (call->status != 503)
		return;
	verdict->refused++;
	if (is_serving_time(call))
		verdict->refused_late++;
}

/* Whether an entry has served a call since the final start. */
static bool serves_again(const caller_t *caller)
{
	guint i;

	for (i = 0; i < caller->calls->len; i++) {
		const call_t *call = g_ptr_array_index(caller->calls, i);

		if (call->status == 200 && call->sent >= started)
			return true;
	}
	return false;
}

/* Returns when the version that added a route was submitted, or 0. */
static usec_t added_at(const char *route)
{
	guint i;

	for (i = 0; *route == 'a' && i < versions->len; i++) {
		if (version_at((int)i)->number == (unsigned)atoi(route + 1))
			return version_at((int)i)->submitted;
	}
	return 0;
}

/*
 * Whether the entry that was frozen has served a call on a route that was added
 * since it goes on, within SERVE_USEC.
 */
static bool follows_again(const caller_t *caller)
{
	guint i;

	for (i = 0; i < caller->calls->len; i++) {
		const call_t *call = g_ptr_array_index(caller->calls, i);

		if (call->status == 200 && call->sent >= thawed &&
		    call->sent < thawed + SERVE_USEC &&
		    added_at(call->route) >= thawed)
			return true;
	}
	return false;
}

static void judge(caller_t *callers, verdict_t *verdict, FILE *cases)
{
	GHashTable *calls = g_hash_table_new(g_str_hash, g_str_equal);
	int i;
	guint j;

	for (i = 0; i < opt_entries; i++) {
		for (j = 0; j < callers[i].calls->len; j++) {
			call_t *call = g_ptr_array_index(callers[i].calls, j);

			g_hash_table_insert(calls, call->id, call);
			judge_response(call, verdict, cases);
		}
		if (!serves_again(&callers[i]))
			verdict->not_serving++;
	}
	if (frozen_entry)
		verdict->thawed_behind = !follows_again(
			&callers[frozen_entry - 1]);
	judge_runs(calls, verdict, cases);
	g_hash_table_destroy(calls);
}

static double after_fault(usec_t at)
{
	return at ? (double)(at - faulted) / (double)USEC_PER_SEC : 0;
}

/* Prints the summary; returns the exit status. */
static int summary(const verdict_t *v)
{
	unsigned acked = latest >= 0 ? version_at(latest)->number : 0;

	printf("calls before=%u after=%u; older before=%u after=%u at-frozen=%u"
	       " oldest-over-s=%.2f after-fault-s=%.2f..%.2f; denied-late=%u"
	       " refused=%u refused-late=%u; not-serving=%u"
	       " thawed-behind=%d; acked=%u read-back=%u\n",
	       v->calls[0], v->calls[1], v->older[0], v->older[1],
	       v->older_frozen, (double)v->oldest / (double)USEC_PER_SEC,
	       after_fault(v->first), after_fault(v->last), v->denied_late,
	       v->refused, v->refused_late, v->not_serving, v->thawed_behind,
	       acked, read_back);
	return v->older[0] || v->older[1] || !acked || read_back < acked;
}

static void on_signal(int number G_GNUC_UNUSED)
{
	stopped = 1;
}

static const GOptionEntry options[] = {
	{ "net", 0, 0, G_OPTION_ARG_STRING, &opt_net,
	  "network of the run; entry N is NET.1N", "A.B.C" },
	{ "entries", 0, 0, G_OPTION_ARG_INT, &opt_entries, "number of entries",
	  "N" },
	{ "events", 0, 0, G_OPTION_ARG_STRING, &opt_events,
	  "file to which the operator's script appends", "FILE" },
	{ "record", 0, 0, G_OPTION_ARG_STRING, &opt_record,
	  "record of the copies", "FILE" },
	{ "services", 0, 0, G_OPTION_ARG_STRING, &opt_services,
	  "service of each copy", "COPY=SERVICE,..." },
	{ "cases", 0, 0, G_OPTION_ARG_STRING, &opt_cases,
	  "file for one line for each call at fault", "FILE" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "seed of the callers",
	  "N" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static bool options_valid(void)
{
	return opt_net && opt_events && opt_record && opt_services &&
	       opt_cases && opt_entries >= 1 && opt_entries <= ENTRIES_MAX;
}

static void caller_start(caller_t *caller, unsigned entry)
{
	caller->entry = entry;
	caller->random = g_rand_new_with_seed(
		(guint32)opt_seed * (ENTRIES_MAX + 1) + entry);
	caller->calls = g_ptr_array_new();
	caller->easy = curl_easy_init();
	pthread_create(&caller->thread, NULL, caller_main, caller);
}

int main(int argc, char **argv)
{
	static caller_t callers[ENTRIES_MAX];
	struct sigaction action = { .sa_handler = on_signal };
	verdict_t verdict = { 0 };
	FILE *events, *cases;
	int i;

	if (tool_options_read(argc, argv, options, options_valid,
			      "needs --net, --events, --record, --services and "
			      "--cases, and 1 to 99 entries"))
		return 2;
	events = fopen(opt_events, "r");
	cases = fopen(opt_cases, "w");
	if (!events || !cases) {
		perror(events ? opt_cases : opt_events);
		return 2;
	}
	sigaction(SIGTERM, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	headers = headers_find("platform");
	versions = g_ptr_array_new();
	for (i = 0; i < opt_entries; i++)
		caller_start(&callers[i], (unsigned)i + 1);
	while (!stopped) {
		read_events(events);
		g_usleep(POLL_USEC);
	}
	for (i = 0; i < opt_entries; i++)
		pthread_join(callers[i].thread, NULL);
	read_events(events);
	judge(callers, &verdict, cases);
	i = summary(&verdict);
	fflush(NULL);
	_exit(i);
}
