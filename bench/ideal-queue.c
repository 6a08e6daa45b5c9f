/*
 * Feeds the arrivals that a load-caller recorded, and the service times that
 * the stand-ins gave them, to one queue without delays over all slots: the
 * best that any balancer could do. Prints its percentiles, and those of the
 * service times alone.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "hemlock.h"
#include "regress/service-time.h"

#define LINE_BYTES 1024

typedef struct {
	usec_t at, time;
} arrival_t;

static gchar *opt_distribution = "exponential", *opt_calls;
static gint opt_slots = 48, opt_mean_us = 20000, opt_seed = 1;
static gint opt_warmup_ms = 500;

static int arrival_compare(const void *a, const void *b)
{
	const arrival_t *x = a, *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

static int usec_compare(const void *a, const void *b)
{
	usec_t x = *(const usec_t *)a, y = *(const usec_t *)b;

	return (x > y) - (x < y);
}

static GArray *arrivals_read(const char *path)
{
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	char line[LINE_BYTES], id[HL_NAME_MAX];
	FILE *in = fopen(path, "r");
	const char *found;
	arrival_t arrival;

	while (in && fgets(line, sizeof(line), in)) {
		found = strstr(line, " id=");
		if (!found || !g_str_has_prefix(line, "call at="))
			continue;
		found += strlen(" id=");
		g_strlcpy(id, found,
			  MIN(strcspn(found, " \n") + 1, sizeof(id)));
		arrival.at = g_ascii_strtoll(line + strlen("call at="), NULL,
					     10);
		arrival.time = (usec_t)
			service_time_quantile(opt_distribution, opt_mean_us,
					      service_time_bits(id, opt_seed));
		g_array_append_val(arrivals, arrival);
	}
	if (in)
		fclose(in);
	g_array_sort(arrivals, arrival_compare);
	return arrivals;
}

/* The slot that is free first takes the call that came first. */
static GArray *serve(const GArray *arrivals)
{
	GArray *latencies = g_array_new(FALSE, FALSE, sizeof(usec_t));
	usec_t *free_at = g_new0(usec_t, (gsize)opt_slots), begin, latency;
	usec_t first = g_array_index(arrivals, arrival_t, 0).at;
	guint i;
	int slot, best;

	for (i = 0; i < arrivals->len; i++) {
		arrival_t *arrival = &g_array_index(arrivals, arrival_t, i);

		for (best = 0, slot = 1; slot < opt_slots; slot++) {
			if (free_at[slot] < free_at[best])
				best = slot;
		}
		begin = MAX(arrival->at, free_at[best]);
		free_at[best] = begin + arrival->time;
		latency = free_at[best] - arrival->at;
		if (arrival->at >= first + opt_warmup_ms * USEC_PER_MS)
			g_array_append_val(latencies, latency);
	}
	g_free(free_at);
	return latencies;
}

static void print_quantiles(const char *prefix, GArray *values)
{
	static const struct {
		const char *name;
		double q;
	} quantiles[] = { { "p50", 0.5 }, { "p99", 0.99 }, { "p999", 0.999 } };
	size_t i;

	g_array_sort(values, usec_compare);
	for (i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf("%s_%s=%" PRId64 " ", prefix, quantiles[i].name,
		       g_array_index(values, usec_t,
				     (guint)(quantiles[i].q * values->len)));
}

static const GOptionEntry options[] = {
	{ "calls", 0, 0, G_OPTION_ARG_FILENAME, &opt_calls,
	  "record of a load-caller", "FILE" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots, "of all copies", "N" },
	{ "time", 0, 0, G_OPTION_ARG_INT, &opt_mean_us, "mean service time",
	  "USEC" },
	{ "distribution", 0, 0, G_OPTION_ARG_STRING, &opt_distribution,
	  "as told to the stand-in", "WORD" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "as told to the stand-in",
	  "N" },
	{ "warmup", 0, 0, G_OPTION_ARG_INT, &opt_warmup_ms,
	  "left out of the percentiles", "MS" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	GArray *arrivals, *latencies, *times;
	guint i;
	bool good;

	g_option_context_add_main_entries(context, options, NULL);
	good = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!good || !opt_calls || opt_slots < 1) {
		fprintf(stderr, "needs --calls FILE; see --help\n");
		return 2;
	}
	arrivals = arrivals_read(opt_calls);
	if (!arrivals->len) {
		fprintf(stderr, "no calls in %s\n", opt_calls);
		return 1;
	}
	latencies = serve(arrivals);
	times = g_array_new(FALSE, FALSE, sizeof(usec_t));
	for (i = 0; i < arrivals->len; i++)
		g_array_append_val(times,
				   g_array_index(arrivals, arrival_t, i).time);
	print_quantiles("ideal", latencies);
	print_quantiles("service", times);
	printf("\n");
	g_array_free(arrivals, TRUE);
	g_array_free(latencies, TRUE);
	g_array_free(times, TRUE);
	return 0;
}
