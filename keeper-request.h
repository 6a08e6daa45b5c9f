#ifndef KEEPER_ANSWER_H
#define KEEPER_ANSWER_H

#include "keeper-core.h"

/* What the answers of a keeper share; the core's lock is held for all. */

/** keeper_answer_pending - a change of this id is on its way. */
bool keeper_answer_pending(const keeper_core_t *core, const char *id);

/** keeper_answer_take - pack a change and queue it. */
void keeper_answer_take(keeper_core_t *core, config_change_t *change,
			keeper_submit_res_t *res);

/** keeper_answer_confirmed - all that was accepted before now is known here. */
bool keeper_answer_confirmed(const keeper_core_t *core, usec_t now);

#endif
