/*
 * Joins what callers were told with what copies did. Names each offender:
 * a call that is not idempotent and ran twice, one told "not run" that ran,
 * one told that it ran and did not, an answer that belongs to another call,
 * a copy with more outstanding than its credits.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "hemlock.h"

#define LINE_BYTES 1024
#define OFFENDERS_SHOWN 20

/* One request at one copy. */
typedef struct {
	char id[HL_NAME_MAX];
	usec_t arrived, left;
	usec_t deadline; /* when it is useless; 0: none told */
	bool cancelled;
} visit_t;

typedef struct {
	usec_t at;
	int step;
} change_t;

typedef struct {
	unsigned calls, ok, refused, runs, doubled, lied, missing, wrong, over;
	unsigned outstanding_max;
	usec_t over_usec;
} result_t;

static gchar **opt_calls, **opt_targets;
static gint opt_credits, opt_over, opt_grace_ms = 20;

static GHashTable *runs;   /* request id to how often it ran */
static GHashTable *visits; /* copy to GArray of visit_t */
static unsigned shown;

/* The value of " NAME=" in a line, or "". */
static const char *field(const char *line, const char *name, char *out,
			 size_t size)
{
	char key[32];
	const char *at;
	size_t n;

	snprintf(key, sizeof(key), " %s=", name);
	at = strstr(line, key);
	out[0] = '\0';
	if (!at)
		return out;
	at += strlen(key);
	n = strcspn(at, " \n");
	g_strlcpy(out, at, MIN(n + 1, size));
	return out;
}

static usec_t number(const char *line, const char *name)
{
	char text[32];

	return g_ascii_strtoll(field(line, name, text, sizeof(text)), NULL, 10);
}

static void offender(const char *what, const char *line)
{
	if (shown++ < OFFENDERS_SHOWN)
		printf("offender: %s: %s", what, line);
}

static unsigned ran(const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));
}

static void target_line(const char *line)
{
	char copy[HL_NAME_MAX], id[HL_NAME_MAX * 2], result[32];
	GArray *list;
	visit_t visit;

	if (!strchr(line, '\n'))
		return; /* the copy was killed while it wrote */
	field(line, "id", id, sizeof(id));
	if (g_str_has_prefix(line, "run ")) {
		g_hash_table_insert(runs, g_strdup(id),
				    GUINT_TO_POINTER(ran(id) + 1));
		return;
	}
	field(line, "copy", copy, sizeof(copy));
	field(line, "result", result, sizeof(result));
	visit = (visit_t){ .arrived = number(line, "arrived"),
			   .left = number(line, "left"),
			   .cancelled = !strcmp(result, "cancelled") };
	visit.deadline = visit.arrived +
			 number(line, "deadline_ms") * USEC_PER_MS;
	g_strlcpy(visit.id, id, sizeof(visit.id));
	list = g_hash_table_lookup(visits, copy);
	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(visit_t));
		g_hash_table_insert(visits, g_strdup(copy), list);
	}
	g_array_append_val(list, visit);
}

static void call_line(const char *line, result_t *result)
{
	char id[HL_NAME_MAX * 2], method[16], outcome[32], end[32];
	bool told_not_run, told_ran;
	unsigned count;

	field(line, "id", id, sizeof(id));
	field(line, "method", method, sizeof(method));
	field(line, "outcome", outcome, sizeof(outcome));
	field(line, "end", end, sizeof(end));
	count = ran(id);
	result->calls++;
	result->runs += count;
	told_not_run = !strcmp(outcome, "not-run") || !strcmp(end, "connect");
	told_ran = !strcmp(outcome, "ran") || !strcmp(end, "ok");
	result->ok += !strcmp(end, "ok");
	result->refused += told_not_run;
	if (count > 1 && !strcmp(method, "POST")) {
		result->doubled++;
		offender("ran twice", line);
	}
	if (count && told_not_run) {
		result->lied++;
		offender("told not run, but ran", line);
	}
	if (!count && told_ran) {
		result->missing++;
		offender("told ran, but did not", line);
	}
	if (!strcmp(end, "wrong")) {
		result->wrong++;
		offender("answer of another call", line);
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
 * A cancelled request leaves for the entry when it closes the connection,
 * and for the copy when it sees that: the grace stands between the two.
 */
static GArray *changes_of(const GArray *list)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(change_t));
	change_t change;
	guint i;

	for (i = 0; i < list->len; i++) {
		visit_t visit = g_array_index(list, visit_t, i);

		if (visit.cancelled)
			visit.left = MAX(visit.arrived,
					 visit.left -
						 opt_grace_ms * USEC_PER_MS);
		change = (change_t){ visit.arrived, 1 };
		g_array_append_val(changes, change);
		change = (change_t){ visit.left, -1 };
		g_array_append_val(changes, change);
	}
	g_array_sort(changes, change_compare);
	return changes;
}

/* The requests that a copy had at a time. */
static void show_visits(const GArray *list, usec_t at)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		visit_t *visit = &g_array_index(list, visit_t, i);

		if (visit->arrived > at || visit->left < at)
			continue;
		printf("  id=%s arrived_us=%" PRId64 " left_us=%" PRId64
		       " deadline_us=%" PRId64 " cancelled=%d\n",
		       visit->id, visit->arrived - at, visit->left - at,
		       visit->deadline - at, visit->cancelled);
	}
}

static void check_copy(const char *copy, const GArray *list, result_t *result)
{
	GArray *changes = changes_of(list);
	int now = 0, highest = 0;
	usec_t highest_at = 0;
	guint i;

	for (i = 0; i < changes->len; i++) {
		change_t *change = &g_array_index(changes, change_t, i);

		if (now > opt_credits && opt_credits)
			result->over_usec += change->at - change[-1].at;
		now += change->step;
		if (now > highest) {
			highest = now;
			highest_at = change->at;
		}
	}
	result->outstanding_max = MAX(result->outstanding_max,
				      (unsigned)highest);
	if (opt_credits && highest > opt_credits + opt_over) {
		result->over++;
		printf("offender: over its credits: copy=%s outstanding=%d "
		       "credits=%d\n",
		       copy, highest, opt_credits);
		show_visits(list, highest_at);
	}
	g_array_free(changes, TRUE);
}

typedef void (*line_func_t)(const char *line, result_t *result);

static void take_target(const char *line, result_t *result G_GNUC_UNUSED)
{
	target_line(line);
}

static int read_files(char **paths, line_func_t take, result_t *result)
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
			take(line, result);
		fclose(in);
	}
	return 0;
}

static const GOptionEntry options[] = {
	{ "calls", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &opt_calls,
	  "record of a load-caller; may be repeated", "FILE" },
	{ "targets", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &opt_targets,
	  "record of a stand-in; may be repeated", "FILE" },
	{ "credits", 0, 0, G_OPTION_ARG_INT, &opt_credits,
	  "most outstanding at a copy; 0: any", "N" },
	{ "over", 0, 0, G_OPTION_ARG_INT, &opt_over,
	  "how many more are allowed, when an owner has died", "N" },
	{ "grace", 0, 0, G_OPTION_ARG_INT, &opt_grace_ms,
	  "until a copy sees a cancellation", "MS" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	result_t result = { 0 };
	GHashTableIter iter;
	gpointer copy, list;
	bool good;

	g_option_context_add_main_entries(context, options, NULL);
	good = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!good || !opt_calls || !opt_targets) {
		fprintf(stderr, "needs --calls and --targets\n");
		return 2;
	}
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	visits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       (GDestroyNotify)g_array_unref);
	if (read_files(opt_targets, take_target, &result) ||
	    read_files(opt_calls, call_line, &result))
		return 2;
	g_hash_table_iter_init(&iter, visits);
	while (g_hash_table_iter_next(&iter, &copy, &list))
		check_copy(copy, list, &result);
	printf("calls=%u ok=%u refused=%u runs=%u doubled=%u lied=%u "
	       "missing=%u wrong=%u over=%u outstanding_max=%u "
	       "over_usec=%" PRId64 "\n",
	       result.calls, result.ok, result.refused, result.runs,
	       result.doubled, result.lied, result.missing, result.wrong,
	       result.over, result.outstanding_max, result.over_usec);
	g_hash_table_destroy(runs);
	g_hash_table_destroy(visits);
	return result.doubled || result.lied || result.missing ||
	       result.wrong || result.over;
}
