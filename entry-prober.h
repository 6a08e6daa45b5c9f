#ifndef ENTRY_PROBER_H
#define ENTRY_PROBER_H

#include "headers.h"
#include "metrics.h"

/*
 * The prober requests the load of copies. One thread does the HTTP over
 * persistent connections, in parallel, for workers that wait for the results.
 */
typedef struct entry_prober entry_prober_t;

/* Maximum number of copies probed in one batch. */
#define ENTRY_PROBES_MAX 4

/** enum entry_probe_state_t - result of a probe. */
typedef enum {
	ENTRY_PROBE_PENDING,  /* it has not ended yet */
	ENTRY_PROBE_FAILED,   /* no connection, response or load of this copy */
	ENTRY_PROBE_ANSWERED, /* load is filled in */
} entry_probe_state_t;

/** struct entry_probe_t - a probe of one copy. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	char copy[HL_NAME_MAX]; /* name that the response must have, if any */
	void *context;		/* for entry_prober_state_t */
	usec_t sent;		/* when the query was queued */
	entry_probe_state_t state;
	load_t load;
	bool leaves; /* the copy responded that it leaves */
	bool rests;  /* the copy asked for no calls, for the time @rest */
	usec_t rest; /* microseconds */
	unsigned millirate; /* rate that the copy accepts; 0: none named */
	long status;	    /* of the answer to a question; 0: no answer */
} entry_probe_t;

/**
 * entry_prober_state_t - called when a copy responded that it leaves or rests,
 * or with a rate that it accepts.
 * @probe: the probe, with its context
 *
 * Called by the thread of the prober, also if the response comes after
 * entry_prober_query() has returned.
 */
typedef void (*entry_prober_state_t)(const entry_probe_t *probe);

/**
 * entry_prober_late_t - called when a probe has ended after its worker has
 * stopped waiting for it.
 * @probe: the probe, with its state, load and context
 *
 * Called by the thread of the prober.
 */
typedef void (*entry_prober_late_t)(const entry_probe_t *probe);

/** struct entry_probe_wait_t - limits for the wait of a batch. */
typedef struct {
	usec_t max;   /* maximum wait for all responses, microseconds */
	usec_t early; /* wait after which one acceptable response is enough */
} entry_probe_wait_t;

/**
 * entry_prober_new - create a prober.
 * @headers: interface of the copies, with a load header
 * @connect_from: source address of the connections, or ""; must outlive the
 *                prober
 * @on_state: called for copies that leave or rest
 * @on_late: called for probes that end late; may be NULL
 *
 * Return: the prober, or NULL with @err set.
 */
entry_prober_t *entry_prober_new(const headers_t *headers,
				 const char *connect_from,
				 entry_prober_state_t on_state,
				 entry_prober_late_t on_late,
				 metrics_t *metrics, hl_error_t *err);

/** entry_prober_child - return the thread of the prober, for the supervisor. */
supervisor_child_t entry_prober_child(entry_prober_t *prober);

/** entry_prober_free - free the prober and its probes; its thread has ended. */
void entry_prober_free(entry_prober_t *prober);

/**
 * entry_prober_end_t - called at the end of a test, by the thread of the prober.
 * @probe: the probe, with its context
 * @reached: a connection to the copy could be opened
 */
typedef void (*entry_prober_end_t)(const entry_probe_t *probe, bool reached);

/**
 * entry_prober_test - test whether a copy is reached over a new connection.
 * @path: path of the request
 * @probe: address, name and context are set by the caller
 * @on_end: called once
 *
 * Return: 0, or -1 if out of memory; then @on_end is not called.
 */
int entry_prober_test(entry_prober_t *prober, const char *path,
		      const entry_probe_t *probe, entry_prober_end_t on_end);

/**
 * entry_prober_ask - ask a sibling entry a question.
 * @target: target of the request, copied
 * @header: header of the request, copied
 * @probe: address and context are set by the caller
 * @on_end: called once, with the status of the answer in the probe
 *
 * Return: 0, or -1 if out of memory; then @on_end is not called.
 */
int entry_prober_ask(entry_prober_t *prober, const char *target,
		     const char *header, const entry_probe_t *probe,
		     entry_prober_end_t on_end);

/**
 * entry_prober_wait - return the waits that fit the times of recent probes.
 *
 * @max is the time after which a probe fails without a response.
 */
entry_probe_wait_t entry_prober_wait(entry_prober_t *prober);

/**
 * entry_prober_query - probe copies and wait for the results.
 * @path: path of the request
 * @probes: addresses and names are set by the caller, the other fields here
 * @count: number of probes, at most ENTRY_PROBES_MAX
 * @wait: limits of the wait
 * @satisfies: whether a reported load is acceptable and may end the wait early
 */
void entry_prober_query(entry_prober_t *prober, const char *path,
			entry_probe_t *probes, unsigned count,
			const entry_probe_wait_t *wait,
			bool (*satisfies)(const load_t *load));

#endif
