#ifndef ENTRY_PROBE_TIME_H
#define ENTRY_PROBE_TIME_H

#include "hemlock.h"

/*
 * How long responses to probes take, learned from the responses as TCP learns
 * its retransmission timeout. The time depends on the copies, the network and
 * the load of this VM.
 */

/** struct entry_probe_time_t - estimate; zero before the first response. */
typedef struct {
	double mean;	   /* microseconds */
	double deviation;  /* mean deviation, microseconds */
	unsigned samples;  /* responses in the estimate, at most a minimum */
	unsigned timeouts; /* since the last response */
} entry_probe_time_t;

/** entry_probe_time_add - learn from a response that took @took microseconds. */
void entry_probe_time_add(entry_probe_time_t *time, usec_t took);

/** entry_probe_time_add_timeout - a probe got no response within the limit. */
void entry_probe_time_add_timeout(entry_probe_time_t *time);

/** entry_probe_time_usual - microseconds in which most responses come. */
usec_t entry_probe_time_usual(const entry_probe_time_t *time);

/**
 * entry_probe_time_limit - microseconds after which no response is expected.
 *
 * Doubled by each timeout since the last response.
 */
usec_t entry_probe_time_limit(const entry_probe_time_t *time);

#endif
