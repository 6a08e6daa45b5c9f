#include <stdlib.h>
#include <string.h>
#include "metrics.h"

/* The registry: a sorted list of series, protected by a mutex. */

#define METRICS_NAME_MAX 64
#define METRICS_LABELS_MAX 256
#define METRICS_BUCKETS_PER_POWER_BITS 5 /* log2 of METRICS_BUCKETS_PER_POWER */

typedef enum {
	METRICS_COUNTER,
	METRICS_GAUGE,
	METRICS_HISTOGRAM,
} metrics_kind_t;

typedef struct metrics_series {
	struct metrics_series *next;
	metrics_kind_t kind;
	char name[METRICS_NAME_MAX];
	char labels[METRICS_LABELS_MAX];
	char help[METRICS_LABELS_MAX];
	uint64_t value;
	metrics_histogram_t *histogram;
} metrics_series_t;

struct metrics {
	pthread_mutex_t lock;
	unsigned count;
	metrics_series_t *first; /* sorted by name, then labels */
};

/* Returns the index of the bucket that a value belongs to. */
static unsigned metrics_bucket_of(usec_t value)
{
	uint64_t v = value < 0 ? 0 : (uint64_t)value;
	unsigned power;
	unsigned bucket;

	if (v < METRICS_BUCKETS_PER_POWER)
		return (unsigned)v;
	power = 63 - (unsigned)__builtin_clzll(v) -
		METRICS_BUCKETS_PER_POWER_BITS;
	bucket = (power + 1) * METRICS_BUCKETS_PER_POWER +
		 (unsigned)((v >> power) - METRICS_BUCKETS_PER_POWER);
	return bucket < METRICS_BUCKETS ? bucket : METRICS_BUCKETS - 1;
}

/* Returns the largest value that belongs to a bucket. */
static usec_t metrics_bucket_upper_bound(unsigned bucket)
{
	unsigned power;
	uint64_t step;

	if (bucket < METRICS_BUCKETS_PER_POWER)
		return bucket;
	power = bucket / METRICS_BUCKETS_PER_POWER - 1;
	step = bucket % METRICS_BUCKETS_PER_POWER + METRICS_BUCKETS_PER_POWER;
	return (usec_t)(((step + 1) << power) - 1);
}

void metrics_histogram_add(metrics_histogram_t *histogram, usec_t value)
{
	if (!histogram)
		return;
	__atomic_fetch_add(&histogram->buckets[metrics_bucket_of(value)], 1,
			   __ATOMIC_RELAXED);
	__atomic_fetch_add(&histogram->count, 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&histogram->sum, value < 0 ? 0 : (uint64_t)value,
			   __ATOMIC_RELAXED);
}

usec_t metrics_histogram_quantile(const metrics_histogram_t *histogram,
				  double quantile)
{
	uint64_t count = 0;
	uint64_t cumulative = 0;
	uint64_t rank;
	unsigned i;

	for (i = 0; i < METRICS_BUCKETS; i++)
		count += histogram->buckets[i];
	if (!count)
		return 0;
	rank = (uint64_t)((double)count * quantile);
	if (rank >= count)
		rank = count - 1;
	for (i = 0; i < METRICS_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative > rank)
			break;
	}
	return metrics_bucket_upper_bound(i);
}

metrics_t *metrics_new(void)
{
	metrics_t *metrics = calloc(1, sizeof(*metrics));

	if (metrics)
		pthread_mutex_init(&metrics->lock, NULL);
	return metrics;
}

static void metrics_series_free(metrics_series_t *series)
{
	free(series->histogram);
	free(series);
}

void metrics_free(metrics_t *metrics)
{
	if (!metrics)
		return;
	while (metrics->first) {
		metrics_series_t *series = metrics->first;

		metrics->first = series->next;
		metrics_series_free(series);
	}
	pthread_mutex_destroy(&metrics->lock);
	free(metrics);
}

static int metrics_compare(const metrics_series_t *series, const char *name,
			   const char *labels)
{
	int order = strcmp(series->name, name);

	return order ? order : strcmp(series->labels, labels);
}

static metrics_series_t *metrics_series_new(metrics_kind_t kind,
					    const char *name,
					    const char *labels,
					    const char *help)
{
	metrics_series_t *series = calloc(1, sizeof(*series));

	if (!series)
		return NULL;
	series->kind = kind;
	strncpy(series->name, name, sizeof(series->name) - 1);
	strncpy(series->labels, labels, sizeof(series->labels) - 1);
	strncpy(series->help, help, sizeof(series->help) - 1);
	if (kind != METRICS_HISTOGRAM)
		return series;
	series->histogram = calloc(1, sizeof(*series->histogram));
	if (!series->histogram) {
		free(series);
		return NULL;
	}
	return series;
}

/* Finds or inserts a series; NULL if the registry is full or out of memory. */
static metrics_series_t *metrics_series(metrics_t *metrics, metrics_kind_t kind,
					const char *name, const char *labels,
					const char *help)
{
	metrics_series_t **at;
	metrics_series_t *series = NULL;
	int order = 1;

	pthread_mutex_lock(&metrics->lock);
	for (at = &metrics->first; *at; at = &(*at)->next) {
		order = metrics_compare(*at, name, labels);
		if (order >= 0)
			break;
	}
	if (*at && order == 0) {
		series = *at;
	} else if (metrics->count < METRICS_SERIES_MAX) {
		series = metrics_series_new(kind, name, labels, help);
		if (series) {
			series->next = *at;
			*at = series;
			metrics->count++;
		}
	}
	pthread_mutex_unlock(&metrics->lock);
	return series;
}

uint64_t *metrics_counter(metrics_t *metrics, const char *name,
			  const char *labels, const char *help)
{
	metrics_series_t *series;

	series = metrics_series(metrics, METRICS_COUNTER, name, labels, help);
	return series ? &series->value : NULL;
}

uint64_t *metrics_gauge(metrics_t *metrics, const char *name,
			const char *labels, const char *help)
{
	metrics_series_t *series;

	series = metrics_series(metrics, METRICS_GAUGE, name, labels, help);
	return series ? &series->value : NULL;
}

metrics_histogram_t *metrics_histogram(metrics_t *metrics, const char *name,
				       const char *labels, const char *help)
{
	metrics_series_t *series;

	series = metrics_series(metrics, METRICS_HISTOGRAM, name, labels, help);
	return series ? series->histogram : NULL;
}

void metrics_add(uint64_t *counter, uint64_t amount)
{
	if (counter)
		__atomic_fetch_add(counter, amount, __ATOMIC_RELAXED);
}

void metrics_set(uint64_t *gauge, uint64_t value)
{
	if (gauge)
		__atomic_store_n(gauge, value, __ATOMIC_RELAXED);
}

void metrics_raise(uint64_t *gauge, uint64_t value)
{
	uint64_t old;

	if (!gauge)
		return;
	old = __atomic_load_n(gauge, __ATOMIC_RELAXED);
	while (old < value &&
	       !__atomic_compare_exchange_n(gauge, &old, value, true,
					    __ATOMIC_RELAXED, __ATOMIC_RELAXED))
		;
}

/* Reads a value that other threads may be changing. */
static uint64_t metrics_read(const uint64_t *value)
{
	return __atomic_load_n(value, __ATOMIC_RELAXED);
}

/*
 * Writes a histogram with only those buckets whose upper bound is a power of
 * two, to limit the size of a scrape.
 */
static void metrics_write_histogram(const metrics_series_t *series, FILE *out)
{
	const char *comma = *series->labels ? "," : "";
	uint64_t cumulative = 0;
	unsigned i;

	for (i = 0; i < METRICS_BUCKETS; i++) {
		cumulative += metrics_read(&series->histogram->buckets[i]);
		if ((i + 1) % METRICS_BUCKETS_PER_POWER || cumulative == 0)
			continue;
		fprintf(out, "%s_bucket{%s%sle=\"%.6f\"} %" PRIu64 "\n",
			series->name, series->labels, comma,
			(double)metrics_bucket_upper_bound(i) / USEC_PER_SEC,
			cumulative);
		if (cumulative == metrics_read(&series->histogram->count))
			break;
	}
	fprintf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", series->name,
		series->labels, comma, metrics_read(&series->histogram->count));
	fprintf(out, "%s_sum{%s} %.6f\n", series->name, series->labels,
		(double)metrics_read(&series->histogram->sum) / USEC_PER_SEC);
	fprintf(out, "%s_count{%s} %" PRIu64 "\n", series->name, series->labels,
		metrics_read(&series->histogram->count));
}

static void metrics_write_series(const metrics_series_t *series, FILE *out)
{
	if (series->kind == METRICS_HISTOGRAM) {
		metrics_write_histogram(series, out);
		return;
	}
	if (*series->labels)
		fprintf(out, "%s{%s} %" PRIu64 "\n", series->name,
			series->labels, metrics_read(&series->value));
	else
		fprintf(out, "%s %" PRIu64 "\n", series->name,
			metrics_read(&series->value));
}

void metrics_write(metrics_t *metrics, FILE *out)
{
	static const char *const kinds[] = { "counter", "gauge", "histogram" };
	const metrics_series_t *series;
	const char *last = "";

	pthread_mutex_lock(&metrics->lock);
	for (series = metrics->first; series; series = series->next) {
		if (strcmp(series->name, last)) {
			fprintf(out, "# HELP %s %s\n", series->name,
				series->help);
			fprintf(out, "# TYPE %s %s\n", series->name,
				kinds[series->kind]);
		}
		last = series->name;
		metrics_write_series(series, out);
	}
	pthread_mutex_unlock(&metrics->lock);
}
