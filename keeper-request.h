#ifndef KEEPER_REQUEST_H
#define KEEPER_REQUEST_H

#include "keeper-core.h"

/*
 * Functions that the handlers of requests share: keeper-request.c (RPC),
 * keeper-announce.c and keeper-route.c. The caller holds the core's lock.
 */

/** keeper_request_is_pending - true if a change with this id is queued. */
bool keeper_request_is_pending(const keeper_core_t *core, const char *id);

/**
 * keeper_request_enqueue - queue a change for the core thread.
 * @core: the core
 * @change: the change; it is encoded and not retained
 * @res: KEEPER_PENDING if queued, KEEPER_OK with a refusal if the change is too
 *       large, or KEEPER_BUSY
 */
void keeper_request_enqueue(keeper_core_t *core, config_change_t *change,
			    keeper_submit_res_t *res);

/**
 * keeper_request_can_confirm - true if the applied configuration has all
 * changes that were committed before @now.
 *
 * This is so on a leader with a valid lease that has applied all entries up to
 * its commit index.
 */
bool keeper_request_can_confirm(const keeper_core_t *core, usec_t now);

#endif
