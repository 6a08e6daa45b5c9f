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

/** keeper_control_rounded - the core may have decided what waits. */
void keeper_control_rounded(keeper_control_t *control);

/** keeper_control_free - end what waits and stop listening. */
void keeper_control_free(keeper_control_t *control);

/** struct keeper_page_t - a request of a page, and its answer. */
typedef struct keeper_page {
	struct cds_list_head link; /* keeper_control_t.waiting */
	keeper_control_t *control;
	struct MHD_Connection *connection;
	char method[16];
	char path[HL_NAME_MAX * 2];
	char *body;
	size_t size;
	size_t room;
	bool oversize;
	bool decided;	/* the answer below is set */
	bool suspended; /* it waits for the log */
	bool announces; /* it waits for target, else for order */
	usec_t deadline;
	config_target_t target;
	keeper_routing_change_t order;
	unsigned status;
	char *text;    /* JSON, or NULL */
	size_t binary; /* bytes of text that are no JSON; 0: it is JSON */
	char location[HL_MESSAGE_MAX];
	bool retry; /* Retry-After */
} keeper_page_t;

/* What the pages share; keeper-handler.c has one function for each. */

/** keeper_page_verdict - set the answer, or wait if it must. */
void keeper_page_verdict(keeper_page_t *page, keeper_verdict_t verdict,
			 const hl_error_t *err);

/** keeper_page_error - set an answer with a reason. */
void keeper_page_error(keeper_page_t *page, unsigned status, const char *fmt,
		       ...) __attribute__((format(printf, 3, 4)));

void keeper_page_routing_read(keeper_page_t *page, usec_t now);
void keeper_page_routing_write(keeper_page_t *page, usec_t now);
void keeper_page_target_write(keeper_page_t *page, usec_t now);
void keeper_page_target_leave(keeper_page_t *page, usec_t now);
void keeper_page_follow(keeper_page_t *page, usec_t now);
void keeper_page_directory(keeper_page_t *page, usec_t now);

/** keeper_page_core - the core that a page asks. */
keeper_core_t *keeper_page_core(const keeper_page_t *page);
keeper_registry_t *keeper_page_registry(const keeper_page_t *page);

#endif
