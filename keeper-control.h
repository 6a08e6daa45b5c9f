#ifndef KEEPER_CONTROL_H
#define KEEPER_CONTROL_H

#include "keeper-registry.h"

/*
 * The pages of a keeper: operators send and read the routing, copies announce
 * themselves, callers look entries up. A request that must wait for the log is
 * suspended until a round of the core decides it.
 */
typedef struct keeper_control keeper_control_t;

/** keeper_control_new - listen where the settings say; NULL with @err. */
keeper_control_t *keeper_control_new(keeper_core_t *core,
				     keeper_registry_t *registry,
				     hl_error_t *err);

/** keeper_control_on_round_end - the core may have decided what waits. */
void keeper_control_on_round_end(keeper_control_t *control);

/** keeper_control_free - end what waits and stop listening. */
void keeper_control_free(keeper_control_t *control);

/** struct keeper_control_request_t - a request of a page, and its answer. */
typedef struct keeper_control_request {
	struct cds_list_head link; /* keeper_control_t.waiting */
	keeper_control_t *control;
	struct MHD_Connection *connection;
	char method[16];
	char path[HL_NAME_MAX * 2];
	char *body;
	size_t body_size;
	size_t body_capacity;
	bool too_large;
	bool has_response;    /* the answer below is set */
	bool suspended;	      /* it waits for the log */
	bool is_announcement; /* it waits for target, else for order */
	usec_t deadline;
	config_target_t target;
	keeper_routing_change_t routing_change;
	unsigned status;
	char *response;	    /* JSON, or NULL */
	size_t binary_size; /* bytes of text that are no JSON; 0: it is JSON */
	char location[HL_MESSAGE_MAX];
	bool retry_after; /* Retry-After */
} keeper_control_request_t;

/* What the pages share; keeper-page.c has one function for each. */

/** keeper_handler_respond_verdict - set the answer, or wait if it must. */
void keeper_handler_respond_verdict(keeper_control_request_t *request,
				    keeper_verdict_t verdict,
				    const hl_error_t *err);

/** keeper_handler_respond_error - set an answer with a reason. */
void keeper_handler_respond_error(keeper_control_request_t *request,
				  unsigned status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

void keeper_handler_get_routing(keeper_control_request_t *request, usec_t now);
void keeper_handler_change_routing(keeper_control_request_t *request,
				   usec_t now);
void keeper_handler_put_target(keeper_control_request_t *request, usec_t now);
void keeper_handler_delete_target(keeper_control_request_t *request,
				  usec_t now);
void keeper_handler_follow(keeper_control_request_t *request, usec_t now);
void keeper_handler_directory(keeper_control_request_t *request, usec_t now);

/** keeper_control_core - the core that a page asks. */
keeper_core_t *keeper_control_core(const keeper_control_request_t *request);
keeper_registry_t *keeper_control_registry(
	const keeper_control_request_t *request);

#endif
