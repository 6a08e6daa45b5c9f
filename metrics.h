#ifndef METRICS_H
#define METRICS_H

#include <stdio.h>
#include "hemlock.h"

/*
 * A log-linear histogram: 32 linear steps in each power of two, so that a
 * value is known to 3 %. Counting is one atomic addition.
 */
#define METRICS_STEPS_PER_POWER 32
#define METRICS_POWERS 34 /* up to 2^38 us, three days */
#define METRICS_BUCKETS (METRICS_STEPS_PER_POWER * METRICS_POWERS)

typedef struct {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t count;
	uint64_t sum; /* microseconds */
} metrics_histogram_t;

/** metrics_histogram_add - count one value in microseconds. */
void metrics_histogram_add(metrics_histogram_t *histogram, usec_t value);

/**
 * metrics_histogram_quantile - the value below which a share lies.
 * @histogram: the histogram
 * @quantile: 0 to 1
 *
 * Return: microseconds, the upper edge of the bucket; 0 if empty.
 */
usec_t metrics_histogram_quantile(const metrics_histogram_t *histogram,
				  double quantile);

typedef struct metrics metrics_t;

/** metrics_new - an empty registry of counters and histograms. */
metrics_t *metrics_new(void);
void metrics_free(metrics_t *metrics);

/**
 * metrics_counter - the counter of a name and its labels.
 * @metrics: the registry
 * @name: "hemlock_calls_total"
 * @labels: "service=\"bay-desk\",outcome=\"ran\"" or ""
 * @help: one line; the first caller's is kept
 *
 * Return: a counter that lives as long as the registry; add to it with
 * metrics_add(). NULL past METRICS_SERIES_MAX series.
 */
uint64_t *metrics_counter(metrics_t *metrics, const char *name,
			  const char *labels, const char *help);

/** metrics_gauge - as metrics_counter(), shown as a gauge. */
uint64_t *metrics_gauge(metrics_t *metrics, const char *name,
			const char *labels, const char *help);

/** metrics_histogram - as metrics_counter(), in microseconds. */
metrics_histogram_t *metrics_histogram(metrics_t *metrics, const char *name,
				       const char *labels, const char *help);

/** metrics_add - add to a counter from any thread; NULL is ignored. */
void metrics_add(uint64_t *counter, uint64_t amount);

/** metrics_set - set a gauge from any thread; NULL is ignored. */
void metrics_set(uint64_t *gauge, uint64_t value);

/** metrics_write - the text exposition format that scrapers read. */
void metrics_write(metrics_t *metrics, FILE *out);

/* Bound on the series of one registry, against labels made by callers. */
#define METRICS_SERIES_MAX 4096

#endif
