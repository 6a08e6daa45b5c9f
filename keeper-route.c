#include <stdlib.h>
#include <string.h>
#include "keeper-request.h"

/*
 * The routing that operators read, and their changes of it, which are changes
 * of the log. The configuration that holds the routing belongs to the core.
 */

/* Return the version of the routing in force; 0 if there is none. */
static uint64_t route_version(const keeper_core_t *core)
{
	const config_routing_version_t *routing_version;

	routing_version = config_routing_version(
		config_state_config(core->state));
	return routing_version ? routing_version->number : 0;
}

static keeper_verdict_t route_verdict(const config_answer_t *answer,
				      hl_error_t *err)
{
	hl_error_set(err, HL_ERR_REFUSED, "%s", answer->message);
	switch (answer->verdict) {
	case CONFIG_ACCEPTED:
		return KEEPER_VERDICT_DONE;
	case CONFIG_CONFLICT:
		return KEEPER_VERDICT_CONFLICT;
	default:
		return KEEPER_VERDICT_REFUSED;
	}
}

/* Return the state of a routing change, which does not depend on its document:
 * KEEPER_VERDICT_WAIT if the change is queued or the leader may queue it. The
 * caller holds the core's lock. */
static keeper_verdict_t route_check(keeper_core_t *core,
				    const keeper_routing_change_t *change,
				    usec_t now, hl_error_t *err)
{
	const config_answer_t *answer;

	if (!core->state || !core->view.serving) {
		hl_error_set(err, HL_ERR_UNAVAILABLE,
			     "this keeper's data folder is not available; "
			     "retry at another keeper");
		return KEEPER_VERDICT_BUSY;
	}
	answer = config_state_answer(core->state, change->id);
	if (answer)
		return route_verdict(answer, err);
	if (!core->view.leading)
		return KEEPER_VERDICT_NOT_LEADER;
	if (keeper_request_is_pending(core, change->id))
		return KEEPER_VERDICT_WAIT;
	hl_error_set(err, HL_ERR_UNAVAILABLE,
		     "no quorum confirms this keeper as leader; retry");
	if (!keeper_request_can_confirm(core, now))
		return KEEPER_VERDICT_BUSY;
	if (route_version(core) == change->base_version)
		return KEEPER_VERDICT_WAIT;
	hl_error_set(err, HL_ERR_CONFLICT,
		     "version %" PRIu64 " is in force, not %" PRIu64
		     "; read that version and base the change on it",
		     route_version(core), change->base_version);
	return KEEPER_VERDICT_CONFLICT;
}

keeper_verdict_t keeper_core_check_routing(
	keeper_core_t *core, const keeper_routing_change_t *change, usec_t now,
	hl_error_t *err)
{
	keeper_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	verdict = route_check(core, change, now, err);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

/* Queue the change that puts the routing of the document in force. The caller
 * holds the core's lock. */
static keeper_verdict_t route_queue(keeper_core_t *core,
				    const keeper_routing_change_t *change,
				    const routing_document_t *document,
				    hl_error_t *err)
{
	const config_t *config = config_state_config(core->state);
	keeper_verdict_t verdict = KEEPER_VERDICT_BUSY;
	keeper_submit_res_t res = { 0 };
	config_change_t config_change = { 0 };

	config_change.id = strdup(change->id);
	config_change.author = strdup("operator");
	if (!config_change.id || !config_change.author ||
	    routing_change(config, document, &config_change, err))
		goto out;
	config_change.base_revision = config->revision;
	keeper_request_enqueue(core, &config_change, &res);
	if (res.status == KEEPER_PENDING)
		verdict = KEEPER_VERDICT_WAIT;
	else if (res.status == KEEPER_OK)
		verdict = route_verdict(&res.answer, err);
	free(res.answer.id);
	free(res.answer.message);
out:
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&config_change);
	return verdict;
}

keeper_verdict_t keeper_core_submit_routing(
	keeper_core_t *core, const keeper_routing_change_t *change,
	const routing_document_t *document, usec_t now, hl_error_t *err)
{
	keeper_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	verdict = route_check(core, change, now, err);
	if (verdict == KEEPER_VERDICT_WAIT &&
	    !keeper_request_is_pending(core, change->id))
		verdict = route_queue(core, change, document, err);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

keeper_verdict_t keeper_core_read_routing(keeper_core_t *core, char **text,
					  usec_t now)
{
	keeper_verdict_t verdict = KEEPER_VERDICT_BUSY;

	pthread_mutex_lock(&core->lock);
	if (!core->state || !core->view.serving)
		;
	else if (!core->view.leading)
		verdict = KEEPER_VERDICT_NOT_LEADER;
	else if (keeper_request_can_confirm(core, now) && route_version(core))
		verdict = KEEPER_VERDICT_DONE;
	if (verdict == KEEPER_VERDICT_DONE) {
		*text = routing_write(config_state_config(core->state));
		if (!*text)
			verdict = KEEPER_VERDICT_BUSY;
	}
	pthread_mutex_unlock(&core->lock);
	return verdict;
}
