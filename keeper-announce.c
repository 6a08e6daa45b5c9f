#include <stdlib.h>
#include <string.h>
#include "config-target.h"
#include "keeper-request.h"

/*
 * Announcements of copies and the removal of silent ones, as changes of the
 * log. The configuration that holds the copies belongs to the core.
 */

/* Maximum number of copies that one change removes. */
#define KEEPER_RETIRE_MAX 64

/* Whether a copy may be of this service: one that is declared, or the one that it is
 * of already, so that it can leave after its service has. */
static bool announce_has_service(const config_t *config,
				 const config_target_t *current,
				 const char *service)
{
	return config_find_pool(config, service) ||
	       (current && !strcmp(current->service, service));
}

/* Compare an announcement with the applied configuration. Return
 * KEEPER_VERDICT_WAIT on the leader if the announcement is valid and not yet
 * applied, queued or not. The caller holds the core's lock. */
static keeper_verdict_t announce_check(const keeper_core_t *core,
				       const config_target_t *target)
{
	const config_target_t *current;
	const config_t *config;

	if (!core->state || !core->view.serving)
		return KEEPER_VERDICT_BUSY;
	config = config_state_config(core->state);
	current = config_find_target(config, target->name);
	if (!config_target_supersedes(current, target))
		return KEEPER_VERDICT_DONE;
	if (!core->view.leading)
		return KEEPER_VERDICT_NOT_LEADER;
	if (!config_routing_version(config))
		return KEEPER_VERDICT_BUSY;
	if (!announce_has_service(config, current, target->service))
		return KEEPER_VERDICT_REFUSED;
	return KEEPER_VERDICT_WAIT;
}

keeper_verdict_t keeper_core_check_announcement(keeper_core_t *core,
						const config_target_t *target)
{
	keeper_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	verdict = announce_check(core, target);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

/* Queue a change of items that processes have reported. Its id may be empty, as
 * applying it twice has no further effect. The caller holds the core's lock. */
static keeper_verdict_t announce_queue(keeper_core_t *core, const char *id,
				       config_item_t *items, unsigned count)
{
	config_change_t change = { .id = (char *)id, .author = "copies" };
	keeper_submit_res_t res = { 0 };
	keeper_status_t status;

	change.items.items_len = count;
	change.items.items_val = items;
	keeper_request_enqueue(core, &change, &res);
	status = res.status;
	free(res.answer.id);
	free(res.answer.message);
	return status == KEEPER_PENDING ? KEEPER_VERDICT_WAIT :
					  KEEPER_VERDICT_BUSY;
}

keeper_verdict_t keeper_core_announce(keeper_core_t *core,
				      const config_target_t *target)
{
	config_item_t item = { .base = 0 };
	keeper_verdict_t verdict;

	item.body.kind = CONFIG_PUT_TARGET;
	item.body.config_body_t_u.target = *target;
	pthread_mutex_lock(&core->lock);
	verdict = announce_check(core, target);
	if (verdict == KEEPER_VERDICT_WAIT)
		verdict = announce_queue(core, "", &item, 1);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

keeper_verdict_t keeper_core_prepare_leave(keeper_core_t *core, const char *id,
					   config_target_t *target, usec_t now)
{
	keeper_verdict_t verdict = KEEPER_VERDICT_BUSY;
	const config_target_t *current;

	memset(target, 0, sizeof(*target));
	pthread_mutex_lock(&core->lock);
	if (!core->state || !core->view.serving)
		goto out;
	current = config_find_target(config_state_config(core->state), id);
	if (current) {
		verdict = KEEPER_VERDICT_WAIT;
		if (config_copy((xdrproc_t)xdr_config_target_t, current, target,
				sizeof(*target)))
			verdict = KEEPER_VERDICT_BUSY;
		target->state = CONFIG_TARGET_LEFT;
	} else if (!core->view.leading) {
		verdict = KEEPER_VERDICT_NOT_LEADER;
	} else if (keeper_request_can_confirm(core, now)) {
		verdict = KEEPER_VERDICT_DONE;
	}
out:
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

bool keeper_core_put_reported(keeper_core_t *core, const char *id,
			      config_item_t *item)
{
	const config_t *config;
	bool queued = false;

	pthread_mutex_lock(&core->lock);
	config = core->state ? config_state_config(core->state) : NULL;
	if (config && core->view.leading && core->view.serving &&
	    config_report_has_effect(config, item) &&
	    !(*id && keeper_request_is_pending(core, id)))
		queued = announce_queue(core, id, item, 1) ==
			 KEEPER_VERDICT_WAIT;
	pthread_mutex_unlock(&core->lock);
	return queued;
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
		announce_queue(core, "", items, count);
	pthread_mutex_unlock(&core->lock);
}

bool keeper_core_leader(keeper_core_t *core, char out[HL_NAME_MAX])
{
	pthread_mutex_lock(&core->lock);
	strcpy(out, core->view.serving ? core->view.leader : "");
	pthread_mutex_unlock(&core->lock);
	return *out != '\0';
}
