#include <stdlib.h>
#include <string.h>
#include "keeper-request.h"

/*
 * Handlers of the RPC calls of operators and entries (keeper-core.h). They read
 * the core's state under its lock and do no I/O. This file also fills the
 * core's table of the configuration revisions that entries report.
 */

/* Age after which a reported revision is left out of the status. */
#define KEEPER_REPORT_MAX_AGE (3600 * USEC_PER_SEC)

/* Return a copy of the leader's address; "" if no leader is known. */
static char *keeper_request_leader_address(const keeper_core_t *core)
{
	const keeper_status_view_t *view = &core->view;
	const keeper_node_t *node;
	char address[HL_ADDRESS_MAX];

	node = keeper_group_find(&view->group, view->leader);
	keeper_core_address(core, view->leader, node ? node->address : "",
			    address);
	return strdup(address);
}

/* Zero a result and set the leader. The other strings of the result must be set
 * before it is sent, since XDR can't encode NULL. */
static bool keeper_request_init_result(keeper_core_t *core,
				       keeper_submit_res_t *res)
{
	memset(res, 0, sizeof(*res));
	res->leader = keeper_request_leader_address(core);
	return res->leader != NULL;
}

/* Set the strings that are still NULL to "". */
static bool keeper_request_finish_result(keeper_submit_res_t *res)
{
	config_answer_t *answer = &res->answer;

	if (!answer->id)
		answer->id = strdup("");
	if (!answer->winner)
		answer->winner = strdup("");
	if (!answer->message)
		answer->message = strdup("");
	return answer->id && answer->winner && answer->message;
}

/* Fill in the answer to the applied change with this id; return false if no
 * such change is recorded. */
static bool keeper_request_find_answer(keeper_core_t *core, const char *id,
				       keeper_submit_res_t *res)
{
	const config_answer_t *answer;

	answer = core->state ? config_state_answer(core->state, id) : NULL;
	if (!answer)
		return false;
	res->status = keeper_xdr_copy((xdrproc_t)xdr_config_answer_t, answer,
				      &res->answer) ?
			      KEEPER_OK :
			      KEEPER_BUSY;
	return true;
}

bool keeper_request_is_pending(const keeper_core_t *core, const char *id)
{
	const keeper_pending_t *pending;

	cds_list_for_each_entry (pending, &core->pending, link)
		if (!strcmp(pending->id, id))
			return true;
	return false;
}

/* Queue an encoded change, which is freed on failure. The caller holds the
 * core's lock. */
static keeper_status_t keeper_request_queue_change(keeper_core_t *core,
						   const char *id, char *body,
						   size_t size)
{
	keeper_pending_t *pending = calloc(1, sizeof(*pending));
	keeper_item_t *item = calloc(1, sizeof(*item));

	if (!pending || !item || core->pending_count >= KEEPER_PENDING_MAX ||
	    core->inbox_count >= KEEPER_INBOX_MAX)
		goto busy;
	item->body = body;
	item->size = size;
	item->kind = KEEPER_ITEM_CHANGE;
	strcpy(item->id, id);
	strcpy(pending->id, id);
	cds_list_add_tail(&pending->link, &core->pending);
	core->pending_count++;
	cds_list_add_tail(&item->link, &core->inbox);
	core->inbox_count++;
	pthread_cond_signal(&core->wake);
	return KEEPER_PENDING;

busy:
	free(pending);
	free(item);
	free(body);
	return KEEPER_BUSY;
}

/* Refuse a change without an id, or with more bytes than an entry can hold.
 * The refusal is final, since the same change would fail again. */
static void keeper_request_refuse_change(const config_change_t *change,
					 keeper_submit_res_t *res)
{
	res->status = KEEPER_OK;
	res->answer.verdict = CONFIG_REFUSED;
	res->answer.id = strdup(change->id);
	res->answer.message = strdup("the change has no id or is larger than "
				     "57344 bytes deflated; give it an id or "
				     "split it");
}

void keeper_request_enqueue(keeper_core_t *core, config_change_t *change,
			    keeper_submit_res_t *res)
{
	char *body;
	size_t size;

	if (!keeper_body_pack(change, &body, &size)) {
		res->status = KEEPER_BUSY;
	} else if (size > KEEPER_COMMAND_MAX) {
		free(body);
		keeper_request_refuse_change(change, res);
	} else {
		res->status = keeper_request_queue_change(core, change->id,
							  body, size);
	}
}

bool keeper_core_submit(keeper_core_t *core, config_change_t *change,
			keeper_submit_res_t *res, usec_t now)
{
	bool ok;

	(void)now;
	pthread_mutex_lock(&core->lock);
	ok = keeper_request_init_result(core, res);
	if (!*change->id)
		keeper_request_refuse_change(change, res);
	else if (keeper_request_find_answer(core, change->id, res))
		;
	else if (!core->view.serving)
		res->status = KEEPER_BUSY;
	else if (!core->view.leading)
		res->status = KEEPER_NOT_LEADER;
	else if (keeper_request_is_pending(core, change->id))
		res->status = KEEPER_PENDING;
	else
		keeper_request_enqueue(core, change, res);
	pthread_mutex_unlock(&core->lock);
	return keeper_request_finish_result(res) && ok;
}

/* True if the VM was suspended since it became leader. Its clock did not
 * advance then, so the lease may seem valid although the other members have
 * elected a new leader. */
static bool keeper_request_was_suspended(const keeper_core_t *core)
{
	return time_suspended() - core->view.suspended > KEEPER_SUSPEND_MIN;
}

bool keeper_request_can_confirm(const keeper_core_t *core, usec_t now)
{
	return core->view.leading && now < core->view.lease_end &&
	       core->applied >= core->view.commit &&
	       !keeper_request_was_suspended(core);
}

bool keeper_core_outcome(keeper_core_t *core, const char *id,
			 keeper_submit_res_t *res, usec_t now)
{
	bool ok;

	pthread_mutex_lock(&core->lock);
	ok = keeper_request_init_result(core, res);
	if (keeper_request_find_answer(core, id, res))
		;
	else if (!core->view.serving)
		res->status = KEEPER_BUSY;
	else if (!core->view.leading)
		res->status = KEEPER_NOT_LEADER;
	else if (keeper_request_is_pending(core, id))
		res->status = KEEPER_PENDING;
	else
		res->status = keeper_request_can_confirm(core, now) ?
				      KEEPER_UNKNOWN :
				      KEEPER_BUSY;
	pthread_mutex_unlock(&core->lock);
	return keeper_request_finish_result(res) && ok;
}

/* Fill in the deltas since revision @have; return false if they are not
 * available. */
static bool keeper_request_fill_deltas(keeper_core_t *core, uint64_t have,
				       keeper_fetch_body_t *body)
{
	config_delta_t *deltas = calloc(KEEPER_DELTAS_MAX, sizeof(*deltas));
	int count;

	if (!deltas)
		return false;
	count = config_state_deltas(core->state, have, deltas,
				    KEEPER_DELTAS_MAX);
	if (count < 0) {
		free(deltas);
		return false;
	}
	body->whole = FALSE;
	body->keeper_fetch_body_t_u.deltas.deltas_val = deltas;
	body->keeper_fetch_body_t_u.deltas.deltas_len = count;
	return true;
}

static bool keeper_request_fill_config(keeper_core_t *core,
				       keeper_fetch_body_t *body)
{
	body->whole = TRUE;
	return keeper_xdr_copy((xdrproc_t)xdr_config_t,
			       config_state_config(core->state),
			       &body->keeper_fetch_body_t_u.config);
}

bool keeper_core_fetch(keeper_core_t *core, const keeper_fetch_args_t *args,
		       bool first, keeper_fetch_res_t *res,
		       keeper_unconfirmed_t *unconfirmed, usec_t now)
{
	bool ok;

	memset(res, 0, sizeof(*res));
	pthread_mutex_lock(&core->lock);
	if (unconfirmed) {
		unconfirmed->voters = core->view.voters;
		unconfirmed->group_index = core->view.group_index;
		unconfirmed->applied = core->view.tail.applied;
		unconfirmed->last = core->view.tail.last;
		strcpy(unconfirmed->routes, core->view.tail.routes);
		strcpy(unconfirmed->copies, core->view.tail.copies);
	}
	res->leader = keeper_request_leader_address(core);
	res->confirmed = keeper_request_can_confirm(core, now);
	ok = res->leader != NULL;
	if (!core->state) {
		res->status = KEEPER_BUSY;
	} else if (args->confirmed && !res->confirmed) {
		res->status = KEEPER_NOT_LEADER;
		res->revision = config_state_config(core->state)->revision;
	} else {
		res->revision = config_state_config(core->state)->revision;
		ok = ok &&
		     ((!first && keeper_request_fill_deltas(core, args->have,
							    &res->body)) ||
		      keeper_request_fill_config(core, &res->body));
	}
	pthread_mutex_unlock(&core->lock);
	return ok;
}

/* Record the revision that the entry on a VM reports. In a full table it
 * replaces the oldest report. */
static void keeper_request_record_version(keeper_core_t *core,
					  const keeper_applied_t *applied,
					  usec_t now)
{
	usec_t reported_at = now - applied->age_ms * USEC_PER_MS;
	keeper_reported_version_t *slot = core->reported_versions,
				  *oldest = slot;
	keeper_reported_version_t *end = slot + core->reported_count;

	for (; slot < end && strcmp(slot->vm, applied->vm); slot++)
		if (slot->reported_at < oldest->reported_at)
			oldest = slot;
	if (slot == end) {
		if (core->reported_count < KEEPER_APPLIED_MAX)
			core->reported_count++;
		else
			slot = oldest;
	} else if (reported_at < slot->reported_at) {
		return;
	}
	strcpy(slot->vm, applied->vm);
	slot->revision = applied->revision;
	slot->reported_at = reported_at;
}

void keeper_core_report(keeper_core_t *core, const keeper_report_args_t *args,
			usec_t now)
{
	u_int i;

	pthread_mutex_lock(&core->lock);
	for (i = 0; i < args->applied.applied_len; i++)
		if (hl_name_valid(args->applied.applied_val[i].vm))
			keeper_request_record_version(
				core, &args->applied.applied_val[i], now);
	pthread_mutex_unlock(&core->lock);
}

static bool keeper_request_fill_members(const keeper_core_t *core,
					keeper_state_res_t *res)
{
	const keeper_status_view_t *view = &core->view;
	keeper_member_t *members;
	unsigned i;

	members = calloc(KEEPER_VOTERS_MAX, sizeof(*members));
	if (!members)
		return false;
	res->members.members_val = members;
	res->members.members_len = view->group.count;
	for (i = 0; i < view->group.count; i++) {
		members[i].name = strdup(view->group.nodes[i].name);
		members[i].address = strdup(view->group.nodes[i].address);
		members[i].voter = view->group.nodes[i].voter;
		members[i].match_index = view->match_index[i];
		if (!members[i].name || !members[i].address)
			return false;
	}
	return true;
}

static bool keeper_request_fill_versions(const keeper_core_t *core,
					 keeper_state_res_t *res, usec_t now)
{
	keeper_applied_t *applied;
	unsigned i, count = 0;

	applied = calloc(core->reported_count + 1, sizeof(*applied));
	if (!applied)
		return false;
	res->applied.applied_val = applied;
	for (i = 0; i < core->reported_count; i++) {
		usec_t age = now - core->reported_versions[i].reported_at;

		if (age > KEEPER_REPORT_MAX_AGE)
			continue;
		applied[count].vm = strdup(core->reported_versions[i].vm);
		if (!applied[count].vm)
			return false;
		applied[count].revision = core->reported_versions[i].revision;
		applied[count].age_ms = (u_int)(age / USEC_PER_MS);
		res->applied.applied_len = ++count;
	}
	return true;
}

bool keeper_core_state(keeper_core_t *core, keeper_state_res_t *res, usec_t now)
{
	const keeper_status_view_t *view = &core->view;
	bool ok;

	memset(res, 0, sizeof(*res));
	pthread_mutex_lock(&core->lock);
	res->status = view->serving ? KEEPER_OK : KEEPER_BUSY;
	res->name = strdup(core->settings.name);
	res->role = strdup(view->role);
	res->leader = keeper_request_leader_address(core);
	res->term = view->term;
	res->last_index = view->last;
	res->commit_index = view->commit;
	res->incarnation = view->incarnation;
	if (core->state)
		res->revision = config_state_config(core->state)->revision;
	ok = res->name && res->role && res->leader &&
	     keeper_request_fill_members(core, res) &&
	     keeper_request_fill_versions(core, res, now);
	pthread_mutex_unlock(&core->lock);
	return ok;
}

bool keeper_core_change_voter(keeper_core_t *core,
			      const keeper_voter_args_t *args,
			      keeper_submit_res_t *res)
{
	keeper_item_t *item = calloc(1, sizeof(*item));
	bool ok, leading, done;

	pthread_mutex_lock(&core->lock);
	ok = keeper_request_init_result(core, res);
	leading = core->view.leading;
	done = args->add ==
	       (keeper_group_find(&core->view.group, args->name) != NULL);
	pthread_mutex_unlock(&core->lock);
	if (!item)
		return false;
	item->kind = KEEPER_ITEM_VOTER;
	item->add = args->add;
	strcpy(item->name, args->name);
	strcpy(item->address, args->address);
	if (!leading || done) {
		res->status = leading ? KEEPER_OK : KEEPER_NOT_LEADER;
		free(item);
	} else {
		res->status = keeper_core_post(core, item) ? KEEPER_PENDING :
							     KEEPER_BUSY;
	}
	return keeper_request_finish_result(res) && ok;
}
