#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

#include "entry-io.h"

/*
 * The control server of an entry (entry-control.c) and the handlers of its
 * requests, which are in the modules of what they report.
 */

/**
 * entry_control_start - listen for look-ups, announcements and scrapes.
 *
 * Return: 0, or -1 with @err set.
 */
int entry_control_start(entry_t *entry, hl_error_t *err);

/** entry_control_stop - close the control port. */
void entry_control_stop(entry_t *entry);

/** struct entry_reply_t - the response to a request to the control port. */
typedef struct {
	unsigned status;
	const char *type; /* content type */
	char *body;	  /* allocated by malloc() */
	size_t size;	  /* bytes of the body; 0: it ends with a NUL */
	unsigned retry_after_s;
	const char *outcome;	      /* Hemlock-Outcome, or NULL */
	struct cds_list_head headers; /* entry_header_t */
} entry_reply_t;

/**
 * entry_reply_error - make the reply a JSON error.
 * @fmt: text of the error: what is wrong and how the sender can correct it
 */
void entry_reply_error(entry_reply_t *reply, unsigned status, const char *fmt,
		       ...) __attribute__((format(printf, 3, 4)));

/** struct entry_control_request_t - a request to the control port. */
typedef struct {
	entry_t *entry;
	struct MHD_Connection *connection;
	const char *body;
	size_t size;
	usec_t now;
} entry_control_request_t;

/**
 * entry_baseline_announce - handle the announcement of a copy under a policy
 * without owners.
 *
 * All policies but "owner" are baselines for comparison: each copy announces
 * itself to every entry, and every entry sends to every copy.
 *
 * Return: true with @reply filled in, false under the policy "owner".
 */
bool entry_baseline_announce(const entry_control_request_t *in,
			     const owner_copy_t *announced,
			     entry_reply_t *reply);

/* Request handlers of the control port, see the table in entry-control.c. */

/** entry_lookup_handle - GET /v1/lookup: entries that receive calls. */
void entry_lookup_handle(const entry_control_request_t *in,
			 entry_reply_t *reply);

/** entry_announce_handle - POST /v1/announce: a copy announces itself. */
void entry_announce_handle(const entry_control_request_t *in,
			   entry_reply_t *reply);

/** entry_directory_handle - GET /v1/directory: entries of this zone. */
void entry_directory_handle(const entry_control_request_t *in,
			    entry_reply_t *reply);

/** entry_status_handle - GET /v1/status: state of this entry as JSON. */
void entry_status_handle(const entry_control_request_t *in,
			 entry_reply_t *reply);

/** entry_status_health - GET /v1/health: is this entry ready for calls? */
void entry_status_health(const entry_control_request_t *in,
			 entry_reply_t *reply);

/** entry_status_metrics - GET /metrics: all metrics as text. */
void entry_status_metrics(const entry_control_request_t *in,
			  entry_reply_t *reply);

#endif
