#include <stdlib.h>
#include <string.h>
#include "cmd.h"

/* Columns of the bar of one bucket. */
#define CMD_BAR_WIDTH 40

static char *cmd_histogram_entry;
static char *cmd_histogram_match;

const GOptionEntry cmd_histogram_options[] = {
	{ "entry", 0, 0, G_OPTION_ARG_STRING, &cmd_histogram_entry,
	  "The entry, by its control port", "IP:PORT" },
	{ "match", 0, 0, G_OPTION_ARG_STRING, &cmd_histogram_match,
	  "Only series whose labels hold this, such as service=\"bay-desk\"",
	  "TEXT" },
	{ 0 },
};

/* One line of the exposition: NAME_bucket{LABELS,le="EDGE"} COUNT. */
typedef struct {
	char *series; /* name and labels without le */
	char *edge;
	uint64_t count; /* at or below the edge */
} cmd_bucket_t;

static bool cmd_histogram_parse(const char *line, cmd_bucket_t *bucket)
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
	bucket->edge = g_strndup(le + 4, end - le - 4);
	bucket->count = strtoull(value, NULL, 10);
	return true;
}

static void cmd_histogram_bar(const cmd_bucket_t *bucket, uint64_t below)
{
	uint64_t here = bucket->count - below;
	int width = 0;

	while (here >> width && width < CMD_BAR_WIDTH)
		width++;
	printf("  <= %10s s %10" PRIu64 " %.*s\n", bucket->edge, here, width,
	       "########################################");
}

static void cmd_histogram_json(const cmd_bucket_t *bucket, json_t *all)
{
	json_t *series = json_object_get(all, bucket->series);

	if (!series) {
		series = json_array();
		json_object_set_new(all, bucket->series, series);
	}
	json_array_append_new(series,
			      json_pack("{s:s, s:I}", "le_s", bucket->edge,
					"count", (json_int_t)bucket->count));
}

static void cmd_histogram_show(const cmd_t *cmd, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);
	json_t *all = json_object();
	char *series = g_strdup("");
	uint64_t below = 0;
	cmd_bucket_t bucket;
	unsigned i;

	for (i = 0; lines[i]; i++) {
		if (cmd_histogram_match &&
		    !strstr(lines[i], cmd_histogram_match))
			continue;
		if (!cmd_histogram_parse(lines[i], &bucket))
			continue;
		if (strcmp(series, bucket.series)) {
			below = 0;
			if (!cmd->json)
				printf("%s\n", bucket.series);
		}
		if (cmd->json)
			cmd_histogram_json(&bucket, all);
		else if (bucket.count > below)
			cmd_histogram_bar(&bucket, below);
		below = bucket.count;
		g_free(series);
		series = bucket.series;
		g_free(bucket.edge);
	}
	g_strfreev(lines);
	g_free(series);
	if (cmd->json)
		cmd_print_json(all);
	else
		json_decref(all);
}

cmd_exit_t cmd_histogram(cmd_t *cmd, char **arguments)
{
	hl_error_t err;
	char *body;

	(void)arguments;
	if (!cmd_histogram_entry) {
		hl_error_set(&err, HL_ERR_USAGE,
			     "no entry is named; give --entry ip:port");
		return cmd_fail(cmd, &err);
	}
	body = cmd_http_get(cmd_histogram_entry, "/metrics", &err);
	if (!body)
		return cmd_fail(cmd, &err);
	cmd_histogram_show(cmd, body);
	g_free(body);
	return CMD_OK;
}
