#include <stdlib.h>
#include <string.h>
#include "keeper-request.h"

/* The routing that operators send and read, on its way through the log. */

static uint64_t route_edition(const keeper_core_t *core)
{
	const config_routing_version_t *routing_version;

	routing_version = config_routing_version(
		config_state_config(core->state));
	return routing_version ? routing_version->number : 0;
}

static keeper_verdict_t route_answer(const config_answer_t *answer,
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

/* What is known of an order, without its document; the lock is held. */
static keeper_verdict_t route_known(keeper_core_t *core,
				    const keeper_routing_change_t *order,
				    usec_t now, hl_error_t *err)
{
	const config_answer_t *answer;

	if (!core->state || !core->view.serving) {
		hl_error_set(err, HL_ERR_UNAVAILABLE,
			     "this keeper does not serve its disk; ask another "
			     "one");
		return KEEPER_VERDICT_BUSY;
	}
	answer = config_state_answer(core->state, order->id);
	if (answer)
		return route_answer(answer, err);
	if (!core->view.leading)
		return KEEPER_VERDICT_NOT_LEADER;
	if (keeper_answer_pending(core, order->id))
		return KEEPER_VERDICT_WAIT;
	hl_error_set(err, HL_ERR_UNAVAILABLE,
		     "no quorum stands behind this keeper; ask again");
	if (!keeper_answer_confirmed(core, now))
		return KEEPER_VERDICT_BUSY;
	if (route_edition(core) == order->base_version)
		return KEEPER_VERDICT_WAIT;
	hl_error_set(err, HL_ERR_CONFLICT,
		     "version %" PRIu64 " is in force, not %" PRIu64
		     "; read it and build on it",
		     route_edition(core), order->base_version);
	return KEEPER_VERDICT_CONFLICT;
}

keeper_verdict_t keeper_core_check_routing(keeper_core_t *core,
					   const keeper_routing_change_t *order,
					   usec_t now, hl_error_t *err)
{
	keeper_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	verdict = route_known(core, order, now, err);
	pthread_mutex_unlock(&core->lock);
	return verdict;
}

/* Queue the change that an order makes; the lock is held. */
static keeper_verdict_t route_queue(keeper_core_t *core,
				    const keeper_routing_change_t *order,
				    const routing_document_t *document,
				    hl_error_t *err)
{
	const config_t *config = config_state_config(core->state);
	keeper_verdict_t verdict = KEEPER_VERDICT_BUSY;
	keeper_submit_res_t res = { 0 };
	config_change_t change = { 0 };

	change.id = strdup(order->id);
	change.author = strdup("operator");
	if (!change.id || !change.author ||
	    routing_change(config, document, &change, err))
		goto out;
	change.base_revision = config->revision;
	keeper_answer_take(core, &change, &res);
	if (res.status == KEEPER_PENDING)
		verdict = KEEPER_VERDICT_WAIT;
	else if (res.status == KEEPER_OK)
		verdict = route_answer(&res.answer, err);
	free(res.answer.id);
	free(res.answer.message);
out:
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&change);
	return verdict;
}

keeper_verdict_t keeper_core_submit_routing(
	keeper_core_t *core, const keeper_routing_change_t *order,
	const routing_document_t *document, usec_t now, hl_error_t *err)
{
	keeper_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	verdict = route_known(core, order, now, err);
	if (verdict == KEEPER_VERDICT_WAIT &&
	    !keeper_answer_pending(core, order->id))
		verdict = route_queue(core, order, document, err);
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
	else if (keeper_answer_confirmed(core, now) && route_edition(core))
		verdict = KEEPER_VERDICT_DONE;
	if (verdict == KEEPER_VERDICT_DONE) {
		*text = routing_write(config_state_config(core->state));
		if (!*text)
			verdict = KEEPER_VERDICT_BUSY;
	}
	pthread_mutex_unlock(&core->lock);
	return verdict;
}
