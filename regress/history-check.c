/*
 * Checks the records of load-caller, which sent the requests, against the
 * records of standin-target, which simulates the copies (instances of a
 * service) that ran them. The records are joined by request id. A copy is given
 * a number of credits (--credits), the requests that may be outstanding at it.
 * The program prints and counts each violation:
 * - a POST that ran more than once;
 * - a call that was reported as not run, but ran;
 * - a call that was reported as run, but did not run;
 * - a response that belongs to another call;
 * - a copy with more requests outstanding than it has credits.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "hemlock.h"

#define LINE_BYTES 1024
#define VIOLATIONS_PRINTED_MAX 20

/* The time for which a request was outstanding at a copy. */
typedef struct {
	char id[HL_NAME_MAX];
	usec_t arrived, left; /* start and end of that time */
	usec_t deadline;      /* arrival plus the deadline_ms of the record */
	bool cancelled;
} request_t;

/* A change of the number of requests outstanding at a copy. */
typedef struct {
	usec_t at;
	int step; /* 1: a request arrived, -1: one left */
} change_t;

/* The counters of the summary line. */
typedef struct {
	unsigned calls, ok, refused, runs;
	unsigned duplicate_runs, misreported, missing_runs, wrong_responses,
		over_credits; /* violations */
	unsigned outstanding_max;
	usec_t over_usec; /* time with more outstanding requests than credits */
} result_t;

static gchar **opt_calls, **opt_targets;
static gint opt_credits, opt_excess, opt_grace_ms = 20;

static GHashTable *runs;     /* request id to number of runs */
static GHashTable *requests; /* copy name to GArray of request_t */
static unsigned violation_count;

/* Copies the value that follows " NAME=" in a record line to @out, or "". */
static const char *field(const char *line, const char *name, char *out,
			 size_t size)
{
	char key[32];
	const char *value;
	size_t n;

	snprintf(key, sizeof(key), " %s=", name);
	value = strstr(line, key);
	out[0] = '\0';
	if (!value)
		return out;
	value += strlen(key);
	n = strcspn(value, " \n");
	g_strlcpy(out, value, MIN(n + 1, size));
	return out;
}

static usec_t field_number(const char *line, const char *name)
{
	char text[32];

	return g_ascii_strtoll(field(line, name, text, sizeof(text)), NULL, 10);
}

static void report_violation(const char *what, const char *line)
{
	if (violation_count++ < VIOLATIONS_PRINTED_MAX)
		printf("violation: %s: %s", what, line);
}

static unsigned run_count(const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));
}

static void parse_target_line(const char *line)
{
	char copy[HL_NAME_MAX], id[HL_NAME_MAX * 2], result[32];
	GArray *list;
	request_t request;

	if (!strchr(line, '\n'))
		return; /* truncated: the copy was killed during the write */
	field(line, "id", id, sizeof(id));
	if (g_str_has_prefix(line, "run ")) {
		g_hash_table_insert(runs, g_strdup(id),
				    GUINT_TO_POINTER(run_count(id) + 1));
		return;
	}
	field(line, "copy", copy, sizeof(copy));
	field(line, "result", result, sizeof(result));
	request = (request_t){ .arrived = field_number(line, "arrived"),
			       .left = field_number(line, "left"),
			       .cancelled = !strcmp(result, "cancelled") };
	request.deadline = request.arrived +
			   field_number(line, "deadline_ms") * USEC_PER_MS;
	g_strlcpy(request.id, id, sizeof(request.id));
	list = g_hash_table_lookup(requests, copy);
	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(request_t));
		g_hash_table_insert(requests, g_strdup(copy), list);
	}
	g_array_append_val(list, request);
}

static void check_call_line(const char *line, result_t *result)
{
	char id[HL_NAME_MAX * 2], method[16], outcome[32], end[32];
	bool reported_not_run, reported_ran;
	unsigned count;

	field(line, "id", id, sizeof(id));
	field(line, "method", method, sizeof(method));
	field(line, "outcome", outcome, sizeof(outcome));
	field(line, "end", end, sizeof(end));
	count = run_count(id);
	result->calls++;
	result->runs += count;
	reported_not_run = !strcmp(outcome, "not-run") ||
			   !strcmp(end, "connect");
	reported_ran = !strcmp(outcome, "ran") || !strcmp(end, "ok");
	result->ok += !strcmp(end, "ok");
	result->refused += reported_not_run;
	if (count > 1 && !strcmp(method, "POST")) {
		result->duplicate_runs++;
		report_violation("ran twice", line);
	}
	if (count && reported_not_run) {
		result->misreported++;
		report_violation("reported as not run, but ran", line);
	}
	if (!count && reported_ran) {
		result->missing_runs++;
		report_violation("reported as run, but did not run", line);
	}
	if (!strcmp(end, "wrong")) {
		result->wrong_responses++;
		report_violation("response of another call", line);
	}
}

static int change_compare(const void *a, const void *b)
{
	const change_t *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->step - y->step;
}

/*
 * Lists the arrivals and departures at a copy in order of time. A cancelled
 * request ends for the entry when the entry closes the connection, and for
 * the copy only when the copy detects that. To allow for this delay, the
 * departure of a cancelled request is moved to an earlier time, by --grace.
 */
static GArray *outstanding_changes(const GArray *list)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(change_t));
	change_t change;
	guint i;

	for (i = 0; i < list->len; i++) {
		request_t request = g_array_index(list, request_t, i);

		if (request.cancelled)
			request.left = MAX(request.arrived,
					   request.left -
						   opt_grace_ms * USEC_PER_MS);
		change = (change_t){ request.arrived, 1 };
		g_array_append_val(changes, change);
		change = (change_t){ request.left, -1 };
		g_array_append_val(changes, change);
	}
	g_array_sort(changes, change_compare);
	return changes;
}

/* Prints the requests that were outstanding at a copy at a given time. */
static void print_requests_at(const GArray *list, usec_t at)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		request_t *request = &g_array_index(list, request_t, i);

		if (request->arrived > at || request->left < at)
			continue;
		printf("  id=%s arrived_us=%" PRId64 " left_us=%" PRId64
		       " deadline_us=%" PRId64 " cancelled=%d\n",
		       request->id, request->arrived - at, request->left - at,
		       request->deadline - at, request->cancelled);
	}
}

static void check_copy(const char *copy, const GArray *list, result_t *result)
{
	GArray *changes = outstanding_changes(list);
	int outstanding = 0, max = 0;
	usec_t max_at = 0;
	guint i;

	for (i = 0; i < changes->len; i++) {
		change_t *change = &g_array_index(changes, change_t, i);

		if (outstanding > opt_credits && opt_credits)
			result->over_usec += change->at - change[-1].at;
		outstanding += change->step;
		if (outstanding > max) {
			max = outstanding;
			max_at = change->at;
		}
	}
	result->outstanding_max = MAX(result->outstanding_max, (unsigned)max);
	if (opt_credits && max > opt_credits + opt_excess) {
		result->over_credits++;
		printf("violation: over its credits: copy=%s outstanding=%d "
		       "credits=%d\n",
		       copy, max, opt_credits);
		print_requests_at(list, max_at);
	}
	g_array_free(changes, TRUE);
}

typedef void (*line_func_t)(const char *line, result_t *result);

static void on_target_line(const char *line, result_t *result G_GNUC_UNUSED)
{
	parse_target_line(line);
}

static int read_files(char **paths, line_func_t handle_line, result_t *result)
{
	char line[LINE_BYTES];
	FILE *in;
	int i;

	for (i = 0; paths && paths[i]; i++) {
		in = fopen(paths[i], "r");
		if (!in) {
			perror(paths[i]);
			return -1;
		}
		while (fgets(line, sizeof(line), in))
			handle_line(line, result);
		fclose(in);
	}
	return 0;
}

static const GOptionEntry options[] = {
	{ "calls", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &opt_calls,
	  "record file of load-caller; may be repeated", "FILE" },
	{ "targets", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &opt_targets,
	  "record file of standin-target; may be repeated", "FILE" },
	{ "credits", 0, 0, G_OPTION_ARG_INT, &opt_credits,
	  "maximum outstanding at a copy; 0: no limit", "N" },
	{ "over", 0, 0, G_OPTION_ARG_INT, &opt_excess,
	  "accepted excess over --credits, for runs in which an owner dies",
	  "N" },
	{ "grace", 0, 0, G_OPTION_ARG_INT, &opt_grace_ms,
	  "time in which a copy detects a cancellation", "MS" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	result_t result = { 0 };
	GHashTableIter iter;
	gpointer copy, list;
	bool parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !opt_calls || !opt_targets) {
		fprintf(stderr, "needs --calls and --targets\n");
		return 2;
	}
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_array_unref);
	if (read_files(opt_targets, on_target_line, &result) ||
	    read_files(opt_calls, check_call_line, &result))
		return 2;
	g_hash_table_iter_init(&iter, requests);
	while (g_hash_table_iter_next(&iter, &copy, &list))
		check_copy(copy, list, &result);
	printf("calls=%u ok=%u refused=%u runs=%u doubled=%u misreported=%u "
	       "missing=%u wrong=%u over=%u outstanding_max=%u "
	       "over_usec=%" PRId64 "\n",
	       result.calls, result.ok, result.refused, result.runs,
	       result.duplicate_runs, result.misreported, result.missing_runs,
	       result.wrong_responses, result.over_credits,
	       result.outstanding_max, result.over_usec);
	g_hash_table_destroy(runs);
	g_hash_table_destroy(requests);
	return result.duplicate_runs || result.misreported ||
	       result.missing_runs || result.wrong_responses ||
	       result.over_credits;
}
