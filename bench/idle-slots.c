/*
 * Computes the share of slot time that was idle while calls waited, from the
 * records of a load-caller and of its stand-in. The lower bound for any load
 * balancer is 0; a higher value is paid capacity that was not used although
 * there was work.
 *
 * A call waits from its intended start plus the delay to the copy until it
 * first runs, or until its caller gets a response without a run. At each moment
 * the smaller one of the numbers of waiting calls and of idle slots is counted.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include "hemlock.h"

#define LINE_BYTES 1024

/* A change of the number of waiting calls or of running calls, +1 or -1. */
typedef struct {
	usec_t at;
	int waiting;
	int running;
} event_t;

/* The wait of a call, from the record of the load-caller. */
typedef struct {
	usec_t start;
	usec_t end; /* first run, or the end of a call that did not run */
} wait_t;

static gchar *opt_calls, *opt_runs;
static gint opt_slots = 48, opt_link_us, opt_warmup_ms = 500;

/* The number after @name, such as " at=", in a line of a record, or 0. */
static usec_t line_number(const char *line, const char *name)
{
	const char *found = strstr(line, name);

	return found ? g_ascii_strtoll(found + strlen(name), NULL, 10) : 0;
}

static gchar *line_id(const char *line)
{
	const char *found = strstr(line, " id=");

	if (!found)
		return NULL;
	found += strlen(" id=");
	return g_strndup(found, strcspn(found, " \n"));
}

static void event_add(GArray *events, usec_t at, int waiting, int running)
{
	event_t event = { at, waiting, running };

	g_array_append_val(events, event);
}

static GHashTable *calls_read(FILE *in)
{
	GHashTable *waits = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free);
	char line[LINE_BYTES];

	while (fgets(line, sizeof(line), in)) {
		gchar *id = line_id(line);
		wait_t *wait;

		if (!id || !g_str_has_prefix(line, "call at=")) {
			g_free(id);
			continue;
		}
		wait = g_new0(wait_t, 1);
		wait->start = line_number(line, " at=") + opt_link_us;
		wait->end = line_number(line, " ended=");
		g_hash_table_insert(waits, id, wait);
	}
	return waits;
}

/* Parse a line of the stand-in: a run takes a slot, its end releases it. */
static void run_read(const char *line, wait_t *wait, GArray *events)
{
	if (g_str_has_prefix(line, "run at=")) {
		usec_t at = line_number(line, " at=");

		event_add(events, at, 0, 1);
		wait->end = MIN(wait->end, at);
	} else if (g_str_has_prefix(line, "end at=") &&
		   line_number(line, " ran=")) {
		event_add(events, line_number(line, " left="), 0, -1);
	}
}

/* Read the record of the stand-in; runs of calls of other loads are ignored. */
static void runs_read(FILE *in, GHashTable *waits, GArray *events)
{
	char line[LINE_BYTES];

	while (fgets(line, sizeof(line), in)) {
		gchar *id = line_id(line);
		wait_t *wait = id ? g_hash_table_lookup(waits, id) : NULL;

		if (wait)
			run_read(line, wait, events);
		g_free(id);
	}
}

/* Add the events of the waits; set @first and @last to the first and last start
   of a wait. */
static void waits_add(GHashTable *waits, GArray *events, usec_t *first,
		      usec_t *last)
{
	GHashTableIter iter;
	gpointer value;

	*first = INT64_MAX;
	*last = 0;
	g_hash_table_iter_init(&iter, waits);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const wait_t *wait = value;

		*first = MIN(*first, wait->start);
		*last = MAX(*last, wait->start);
		if (wait->end <= wait->start)
			continue;
		event_add(events, wait->start, 1, 0);
		event_add(events, wait->end, -1, 0);
	}
}

static int event_compare(const void *a, const void *b)
{
	const event_t *x = a, *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

/* Integral of min(idle slots, waiting calls) from @begin to @end. */
static double idle_sum(const GArray *events, usec_t begin, usec_t end)
{
	int waiting = 0, running = 0;
	usec_t last = begin;
	double sum = 0;
	guint i;

	for (i = 0; i < events->len; i++) {
		const event_t *event = &g_array_index(events, event_t, i);
		usec_t at = CLAMP(event->at, begin, end);
		int idle = MAX(opt_slots - running, 0);

		sum += (double)(at - last) * MIN(idle, waiting);
		last = at;
		waiting += event->waiting;
		running += event->running;
	}
	return sum;
}

static int report(FILE *calls, FILE *runs)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(event_t));
	GHashTable *waits = calls_read(calls);
	usec_t begin, end;
	int rc = 1;

	runs_read(runs, waits, events);
	waits_add(waits, events, &begin, &end);
	g_array_sort(events, event_compare);
	begin += opt_warmup_ms * USEC_PER_MS;
	if (end > begin) {
		printf("idle_percent=%.2f\n",
		       100 * idle_sum(events, begin, end) /
			       ((double)opt_slots * (double)(end - begin)));
		rc = 0;
	}
	g_array_free(events, TRUE);
	g_hash_table_destroy(waits);
	return rc;
}

static const GOptionEntry options[] = {
	{ "calls", 0, 0, G_OPTION_ARG_FILENAME, &opt_calls,
	  "record of a load-caller", "FILE" },
	{ "runs", 0, 0, G_OPTION_ARG_FILENAME, &opt_runs,
	  "record of the stand-in", "FILE" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots,
	  "total slots of all copies", "N" },
	{ "link", 0, 0, G_OPTION_ARG_INT, &opt_link_us,
	  "one-way delay, as set at the stand-in", "USEC" },
	{ "warmup", 0, 0, G_OPTION_ARG_INT, &opt_warmup_ms,
	  "start that the result excludes", "MS" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	FILE *calls = NULL, *runs = NULL;
	int rc = 2;
	bool parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (parsed && opt_calls && opt_runs && opt_slots > 0) {
		calls = fopen(opt_calls, "r");
		runs = fopen(opt_runs, "r");
	}
	if (calls && runs)
		rc = report(calls, runs);
	else
		fprintf(stderr, "needs --calls FILE --runs FILE; see --help\n");
	if (calls)
		fclose(calls);
	if (runs)
		fclose(runs);
	return rc;
}
