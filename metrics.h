#ifndef METRICS_H
#define METRICS_H

#include <stdio.h>
#include "hemlock.h"

/*
 * A registry of counters, gauges and histograms, written in the text format
 * that Prometheus scrapes. Adding a value takes no lock.
 */

/*
 * Histograms are log-linear: each power of two is divided into 32 linear
 * buckets, which bounds the error of a value by 3 %.
 */
#define METRICS_BUCKETS_PER_POWER 32
#define METRICS_POWERS 34 /* durations up to 2^38 us, three days */
#define METRICS_BUCKETS (METRICS_BUCKETS_PER_POWER * METRICS_POWERS)

/** struct metrics_histogram_t - a histogram of durations. */
typedef struct {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t count;
	uint64_t sum; /* microseconds */
} metrics_histogram_t;

/**
 * metrics_histogram_add - add a value; callable from any thread.
 * @histogram: the histogram; NULL is ignored
 * @value: microseconds
 */
void metrics_histogram_add(metrics_histogram_t *histogram, usec_t value);

/**
 * metrics_histogram_quantile - return a quantile of the values.
 * @histogram: the histogram
 * @quantile: 0 to 1
 *
 * Return: upper bound of the bucket with the quantile, in microseconds; 0 if
 * the histogram is empty.
 */
usec_t metrics_histogram_quantile(const metrics_histogram_t *histogram,
				  double quantile);

/** struct metrics_t - a registry of metrics; usable from any thread. */
typedef struct metrics metrics_t;

/** metrics_new - create an empty registry; NULL if out of memory. */
metrics_t *metrics_new(void);

/** metrics_free - free a registry with its metrics; NULL is allowed. */
void metrics_free(metrics_t *metrics);

/**
 * metrics_counter - find or create the counter of a name and its labels.
 * @metrics: the registry
 * @name: name such as "hemlock_calls_total"
 * @labels: labels such as "service=\"bay-desk\",outcome=\"ran\"", or ""
 * @help: description in one line; used if the counter is created
 *
 * Return: a counter for metrics_add(), valid until metrics_free(); NULL if the
 * registry already has METRICS_SERIES_MAX series, or if out of memory.
 */
uint64_t *metrics_counter(metrics_t *metrics, const char *name,
			  const char *labels, const char *help);

/** metrics_gauge - as metrics_counter(), for a gauge; see metrics_set(). */
uint64_t *metrics_gauge(metrics_t *metrics, const char *name,
			const char *labels, const char *help);

/** metrics_histogram - as metrics_counter(), for a histogram. */
metrics_histogram_t *metrics_histogram(metrics_t *metrics, const char *name,
				       const char *labels, const char *help);

/** metrics_add - add to a counter from any thread; NULL is ignored. */
void metrics_add(uint64_t *counter, uint64_t amount);

/** metrics_set - set a gauge from any thread; NULL is ignored. */
void metrics_set(uint64_t *gauge, uint64_t value);

/** metrics_raise - set a gauge to a value if that is higher; as metrics_set(). */
void metrics_raise(uint64_t *gauge, uint64_t value);

/** metrics_write - write all series in the Prometheus text format. */
void metrics_write(metrics_t *metrics, FILE *out);

/*
 * Maximum number of series of a registry. It bounds the memory, because some
 * label values are chosen by callers.
 */
#define METRICS_SERIES_MAX 4096

#endif
