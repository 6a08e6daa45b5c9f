#ifndef ENTRY_CONFIG_AGE_H
#define ENTRY_CONFIG_AGE_H

#include "metrics.h"

/*
 * Metrics of how old the configuration is by which calls are sent: the time since a
 * leading keeper last confirmed that it was the newest one.
 */

/** struct entry_config_age_t - the metrics; all NULL without entry.routed. */
typedef struct {
	metrics_histogram_t *sends;
	uint64_t *unconfirmed; /* counter: sends without a confirmation */
	uint64_t *oldest;      /* gauge: highest value in @sends, in ms */
	uint64_t *last;	       /* gauge: age of the last confirmation, in ms */
} entry_config_age_t;

/** entry_config_age_init - create the metrics in a registry. */
void entry_config_age_init(entry_config_age_t *age, metrics_t *metrics);

/**
 * entry_config_age_sent - count a send; takes no lock.
 * @age: the metrics
 * @confirmed_at: last confirmation when the call was routed; 0: none
 * @now: time of the send
 */
void entry_config_age_sent(const entry_config_age_t *age, usec_t confirmed_at,
			   usec_t now);

/**
 * entry_config_age_update - set the age of the last confirmation before a scrape.
 * @age: the metrics
 * @confirmed_at: the last confirmation; 0: none
 * @started: start of the process, from which the age counts without one
 * @now: current time
 */
void entry_config_age_update(const entry_config_age_t *age, usec_t confirmed_at,
			     usec_t started, usec_t now);

#endif
