#ifndef ENTRY_PROBER_H
#define ENTRY_PROBER_H

#include "headers.h"
#include "metrics.h"

/*
 * One thread asks copies for their load over kept connections, several at
 * once, on behalf of workers that wait for the answers.
 */
typedef struct entry_prober entry_prober_t;

/* Copies asked in one batch at most. */
#define ENTRY_PROBES_MAX 4

/** enum entry_probe_state_t - what became of a question. */
typedef enum {
	ENTRY_PROBE_TIMEOUT,  /* no answer in time */
	ENTRY_PROBE_FAILED,   /* no connection, or an answer without a load */
	ENTRY_PROBE_ANSWERED, /* load is filled in */
} entry_probe_state_t;

/** struct entry_probe_t - a question to one copy. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	char copy[HL_NAME_MAX]; /* for the asker */
	entry_probe_state_t state;
	load_t load;
} entry_probe_t;

/** struct entry_probe_wait_t - how long to wait. */
typedef struct {
	usec_t max;   /* for all answers */
	usec_t early; /* after this, one that satisfies is enough */
} entry_probe_wait_t;

entry_prober_t *entry_prober_new(const headers_t *headers, metrics_t *metrics,
				 hl_error_t *err);
supervisor_child_t entry_prober_child(entry_prober_t *prober);
void entry_prober_free(entry_prober_t *prober);

/**
 * entry_prober_query - ask copies, and wait for their answers.
 * @path: what to ask for
 * @probes: addresses and names are filled in; the rest will be
 * @count: at most ENTRY_PROBES_MAX
 * @wait: how long
 * @satisfies: whether a load that was told ends the wait early
 */
void entry_prober_query(entry_prober_t *prober, const char *path,
			entry_probe_t *probes, unsigned count,
			const entry_probe_wait_t *wait,
			bool (*satisfies)(const load_t *load));

#endif
