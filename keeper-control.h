#ifndef KEEPER_CONTROL_H
#define KEEPER_CONTROL_H

#include "keeper-registry.h"

/*
 * The HTTP interface of a keeper. Its control port serves operators, who read
 * and change the routing, copies, which announce themselves, and entries, which
 * poll the configuration; its directory port serves callers, which look up
 * entries. A request that needs a log entry is suspended until a round of the
 * core thread has applied it.
 */
typedef struct keeper_control keeper_control_t;

/**
 * keeper_control_new - listen at keeper.control and keeper.directory.
 * @core: must outlive the result
 * @registry: must outlive the result
 *
 * Return: NULL with @err if a port is taken or memory is exhausted.
 */
keeper_control_t *keeper_control_new(keeper_core_t *core,
				     keeper_registry_t *registry,
				     hl_error_t *err);

/**
 * keeper_control_on_round_end - check all suspended requests again.
 *
 * Called after each round of the core; resumes those that have a response now
 * or whose deadline has passed.
 */
void keeper_control_on_round_end(keeper_control_t *control);

/**
 * keeper_control_stop - respond to the requests in progress, while the core runs.
 *
 * A suspended request has 300 ms to be decided by a round of the core, then its
 * response is 503. Returns once all responses have been sent, after 800 ms at the
 * latest. NULL is ignored.
 */
void keeper_control_stop(keeper_control_t *control);

/**
 * keeper_control_free - answer suspended requests with 503, close the ports, send
 * the responses to what has been sent until then for 500 ms at most, and free
 * everything. NULL is ignored.
 */
void keeper_control_free(keeper_control_t *control);

/** struct keeper_control_request_t - an HTTP request and its response. */
typedef struct keeper_control_request {
	struct cds_list_head link; /* keeper_control_t.waiting */
	keeper_control_t *control;
	struct MHD_Connection *connection;
	char method[16];
	char path[HL_NAME_MAX * 2];
	char *body;
	size_t body_size;
	size_t body_capacity;
	bool too_large;	      /* the body exceeds the limit; it is dropped */
	bool has_response;    /* the response below is set */
	bool suspended;	      /* in the list of waiting requests */
	bool is_announcement; /* waits for target, else for routing_change */
	usec_t deadline;      /* end of the wait, then the response is 503 */
	config_target_t target;
	keeper_routing_change_t routing_change;
	unsigned status;
	char *response;	    /* malloc'ed body; NULL if out of memory */
	size_t binary_size; /* bytes of a binary response; 0: it is JSON */
	char location[HL_MESSAGE_MAX]; /* Location header, or "" */
	bool retry_after;	       /* send a Retry-After header */
	/* Addresses of the keepers, separated by commas, or "". */
	char keepers[KEEPER_VOTERS_MAX * HL_ADDRESS_MAX];
	uint64_t keepers_revision; /* as in presence_keepers_t */
	/* Sent with a configuration that no quorum confirms, or NULL. */
	keeper_unconfirmed_t *unconfirmed;
} keeper_control_request_t;

/* Functions that keeper-control.c shares with the handlers. */

/**
 * keeper_handler_respond_verdict - set the HTTP response for a verdict.
 * @verdict: verdict of the core; KEEPER_VERDICT_WAIT sets no response
 * @err: reason for a conflict, a refusal or a 503; its message may be empty for
 *       a 503
 */
void keeper_handler_respond_verdict(keeper_control_request_t *request,
				    keeper_verdict_t verdict,
				    const hl_error_t *err);

/**
 * keeper_handler_respond_error - set a JSON response with a reason.
 * @status: HTTP status; 503 also gets a Retry-After header
 */
void keeper_handler_respond_error(keeper_control_request_t *request,
				  unsigned status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * The handlers of keeper-handler.c: each sets a response or leaves the request
 * to be suspended.
 */

/** keeper_handler_get_routing - GET /v1/routing: the routing in force. */
void keeper_handler_get_routing(keeper_control_request_t *request, usec_t now);

/**
 * keeper_handler_change_routing - PUT or PATCH /v1/routing: replace the routing
 * or merge changes into it, if its version is the base version in the header.
 */
void keeper_handler_change_routing(keeper_control_request_t *request,
				   usec_t now);

/** keeper_handler_put_target - PUT /v1/targets/ID: announce a copy. */
void keeper_handler_put_target(keeper_control_request_t *request, usec_t now);

/**
 * keeper_handler_delete_target - DELETE /v1/targets/ID: announce that a copy
 * leaves.
 */
void keeper_handler_delete_target(keeper_control_request_t *request,
				  usec_t now);

/**
 * keeper_handler_follow - GET /v1/follow: the changes after the revision in
 * the argument "have", as deflated XDR.
 *
 * The argument "cluster" is the hash of the name of the cluster whose keepers are
 * polled; a keeper of another one responds with 409.
 * The argument "any" also allows a configuration that no quorum confirms. If a
 * quorum confirms it, the header Hemlock-Keepers has the addresses of the keepers and
 * Hemlock-Keepers-Revision the revision of presence_keepers_t; else
 * Hemlock-Voters, Hemlock-Group-Index, Hemlock-Log-Applied, Hemlock-Log-Last,
 * Hemlock-Pending-Routes and Hemlock-Pending-Copies have the fields of
 * keeper_unconfirmed_t.
 */
void keeper_handler_follow(keeper_control_request_t *request, usec_t now);

/**
 * keeper_handler_directory - GET /v1/directory: addresses of entries for a
 * caller in the zone of the argument "zone".
 */
void keeper_handler_directory(keeper_control_request_t *request, usec_t now);

/** keeper_control_core - return the core that serves a request. */
keeper_core_t *keeper_control_core(const keeper_control_request_t *request);

/** keeper_control_registry - return the registry that serves a request. */
keeper_registry_t *keeper_control_registry(
	const keeper_control_request_t *request);

#endif
