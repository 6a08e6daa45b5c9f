#include <stdlib.h>
#include <string.h>
#include "config-target.h"
#include "keeper-request.h"

/* Announcements of copies, on their way through the log. */

/* Copies that one change forgets at most. */
#define KEEPER_RETIRE_MAX 64

/* What this keeper can say of its own; the lock is held. */
static keeper_verdict_t announce_known(const keeper_core_t *core,
				       const config_target_t *said)
{
	const config_target_t *held;
	const config_t *config;

	if (!core->state || !core->view.serving)
		return KEEPER_VERDICT_BUSY;
	config = config_state_config(core->state);
	held = config_find_target(config, said->name);
	if (!config_target_supersedes(held, said))
		return KEEPER_VERDICT_DONE;
	if (!core->view.leading)
		return KEEPER_VERDICT_NOT_LEADER;
	if (!config_routing_version(config))
		return KEEPER_VERDICT_BUSY;
	if (!held && !config_find_pool(config, said->service))
		return KEEPER_VERDICT_REFUSED;
	return KEEPER_VERDICT_WAIT;
}

keeper_verdict_t keeper_core_check_announcement(keeper_core_t *core,
						const config_target_t *said)
{
	keeper_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	verdict = announce_known(core, said);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

/* Queue a change of targets only; the lock is held. */
static keeper_verdict_t announce_queue(keeper_core_t *core,
				       config_item_t *items, unsigned count)
{
	config_change_t change = { .id = "", .author = "copies" };
	keeper_submit_res_t res = { 0 };
	keeper_status_t status;

	change.items.items_len = count;
	change.items.items_val = items;
	keeper_answer_take(core, &change, &res);
	status = res.status;
	free(res.answer.id);
	free(res.answer.message);
	return status == KEEPER_PENDING ? KEEPER_VERDICT_WAIT :
					  KEEPER_VERDICT_BUSY;
}

keeper_verdict_t keeper_core_announce(keeper_core_t *core,
				      const config_target_t *said)
{
	config_item_t item = { .base = 0 };
	keeper_verdict_t verdict;

	item.body.kind = CONFIG_PUT_TARGET;
	item.body.config_body_t_u.target = *said;
	pthread_mutex_lock(&core->lock);
	verdict = announce_known(core, said);
	if (verdict == KEEPER_VERDICT_WAIT)
		verdict = announce_queue(core, &item, 1);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

keeper_verdict_t keeper_core_prepare_leave(keeper_core_t *core, const char *id,
					   config_target_t *said, usec_t now)
{
	keeper_verdict_t verdict = KEEPER_VERDICT_BUSY;
	const config_target_t *held;

	memset(said, 0, sizeof(*said));
	pthread_mutex_lock(&core->lock);
	if (!core->state || !core->view.serving)
		goto out;
	held = config_find_target(config_state_config(core->state), id);
	if (held) {
		verdict = KEEPER_VERDICT_WAIT;
		if (config_copy((xdrproc_t)xdr_config_target_t, held, said,
				sizeof(*said)))
			verdict = KEEPER_VERDICT_BUSY;
		said->state = CONFIG_TARGET_LEFT;
	} else if (!core->view.leading) {
		verdict = KEEPER_VERDICT_NOT_LEADER;
	} else if (keeper_answer_confirmed(core, now)) {
		verdict = KEEPER_VERDICT_DONE;
	}
out:
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

void keeper_core_retire(keeper_core_t *core, const config_target_t *targets,
			unsigned count)
{
	config_item_t items[KEEPER_RETIRE_MAX];
	unsigned i;

	if (count > KEEPER_RETIRE_MAX)
		count = KEEPER_RETIRE_MAX;
	memset(items, 0, sizeof(items));
	for (i = 0; i < count; i++) {
		items[i].base = targets[i].revision;
		items[i].body.kind = CONFIG_RETIRE_TARGET;
		items[i].body.config_body_t_u.target = targets[i];
	}
	pthread_mutex_lock(&core->lock);
	if (count && core->view.leading)
		announce_queue(core, items, count);
	pthread_mutex_unlock(&core->lock);
}

bool keeper_core_leader(keeper_core_t *core, char out[HL_NAME_MAX])
{
	pthread_mutex_lock(&core->lock);
	strcpy(out, core->view.serving ? core->view.leader : "");
	pthread_mutex_unlock(&core->lock);
	return *out != '\0';
}
