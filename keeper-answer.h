#ifndef KEEPER_REQUEST_H
#define KEEPER_REQUEST_H

#include "keeper-core.h"

/* What the answers of a keeper share; the core's lock is held for all. */

/** keeper_request_is_pending - a change of this id is on its way. */
bool keeper_request_is_pending(const keeper_core_t *core, const char *id);

/** keeper_request_enqueue - pack a change and queue it. */
void keeper_request_enqueue(keeper_core_t *core, config_change_t *change,
			    keeper_submit_res_t *res);

/** keeper_request_can_confirm - all that was accepted before now is known here. */
bool keeper_request_can_confirm(const keeper_core_t *core, usec_t now);

#endif
