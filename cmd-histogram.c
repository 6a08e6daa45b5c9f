#include <stdlib.h>
#include <string.h>
#include "cmd.h"

/*
 * The command histogram: prints the latency histograms of an entry, read from
 * its metrics page.
 */

/* Maximum length of the bar of a bucket, columns. */
#define CMD_HISTOGRAM_BAR_WIDTH 40

static char *cmd_histogram_entry;
static char *cmd_histogram_match;

const GOptionEntry cmd_histogram_options[] = {
	{ "entry", 0, 0, G_OPTION_ARG_STRING, &cmd_histogram_entry,
	  "Control port of the entry", "IP:PORT" },
	{ "match", 0, 0, G_OPTION_ARG_STRING, &cmd_histogram_match,
	  "Only series with this text, such as service=\"bay-desk\"", "TEXT" },
	{ 0 },
};

/* One line of the metrics page: NAME_bucket{LABELS,le="BOUND"} COUNT. */
typedef struct {
	char *series; /* name, and labels without le */
	char *upper_bound;
	uint64_t count; /* cumulative: values up to upper_bound */
} cmd_histogram_bucket_t;

static bool cmd_histogram_parse(const char *line,
				cmd_histogram_bucket_t *bucket)
{
	const char *open = strstr(line, "_bucket{");
	const char *le = open ? strstr(open, "le=\"") : NULL;
	const char *end = le ? strchr(le + 4, '"') : NULL;
	const char *value = end ? strchr(end, ' ') : NULL;
	const char *labels;

	if (!value)
		return false;
	labels = open + strlen("_bucket{");
	bucket->series = g_strdup_printf("%.*s{%.*s}", (int)(open - line), line,
					 (int)(le > labels ? le - labels - 1 :
							     0),
					 labels);
	bucket->upper_bound = g_strndup(le + 4, end - le - 4);
	bucket->count = strtoull(value, NULL, 10);
	return true;
}

/* Print a bucket with its own count; the length of the bar is logarithmic. */
static void cmd_histogram_print_bucket(const cmd_histogram_bucket_t *bucket,
				       uint64_t previous)
{
	uint64_t in_bucket = bucket->count - previous;
	int width = 0;

	while (in_bucket >> width && width < CMD_HISTOGRAM_BAR_WIDTH)
		width++;
	printf("  <= %10s s %10" PRIu64 " %.*s\n", bucket->upper_bound,
	       in_bucket, width, "########################################");
}

static void cmd_histogram_add_json(const cmd_histogram_bucket_t *bucket,
				   json_t *series_list)
{
	json_t *series = json_object_get(series_list, bucket->series);

	if (!series) {
		series = json_array();
		json_object_set_new(series_list, bucket->series, series);
	}
	json_array_append_new(series, json_pack("{s:s, s:I}", "le_s",
						bucket->upper_bound, "count",
						(json_int_t)bucket->count));
}

static void cmd_histogram_print(const cmd_t *cmd, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);
	json_t *series_list = json_object();
	char *series = g_strdup("");
	uint64_t previous = 0;
	cmd_histogram_bucket_t bucket;
	unsigned i;

	for (i = 0; lines[i]; i++) {
		if (cmd_histogram_match &&
		    !strstr(lines[i], cmd_histogram_match))
			continue;
		if (!cmd_histogram_parse(lines[i], &bucket))
			continue;
		if (strcmp(series, bucket.series)) {
			previous = 0;
			if (!cmd->json)
				printf("%s\n", bucket.series);
		}
		if (cmd->json)
			cmd_histogram_add_json(&bucket, series_list);
		else if (bucket.count > previous)
			cmd_histogram_print_bucket(&bucket, previous);
		previous = bucket.count;
		g_free(series);
		series = bucket.series;
		g_free(bucket.upper_bound);
	}
	g_strfreev(lines);
	g_free(series);
	if (cmd->json)
		cmd_print_json(series_list);
	else
		json_decref(series_list);
}

cmd_exit_t cmd_histogram(cmd_t *cmd, char **arguments)
{
	hl_error_t err;
	char *body;

	(void)arguments;
	if (!cmd_histogram_entry) {
		hl_error_set(&err, HL_ERR_USAGE,
			     "no entry is given; use --entry ip:port");
		return cmd_fail(cmd, &err);
	}
	body = cmd_http_get(cmd_histogram_entry, "/metrics", &err);
	if (!body)
		return cmd_fail(cmd, &err);
	cmd_histogram_print(cmd, body);
	g_free(body);
	return CMD_OK;
}
