#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-check.h"
#include "config-object.h"
#include "config-ring.h"
#include "config-state.h"
#include "config-tail.h"

struct config_state {
	config_t config;
	uint64_t index;		  /* log index of the last applied change */
	uint64_t newest_dropped;  /* newest revision without a dedup record */
	config_ring_t dedup;	  /* config_dedup_t, oldest first */
	GHashTable *dedup_by_id;  /* change id -> record in dedup */
	config_ring_t tombstones; /* config_tombstone_t, oldest first */
	config_tail_t tail;	  /* recent accepted changes */
};

/* Result of one change, before it is committed to the state. */
typedef struct {
	config_t config;
	config_answer_t answer;
	config_delta_t delta;
} config_transition_t;

static void config_state_drop_dedup(config_state_t *state)
{
	config_dedup_t *record = config_ring_at(&state->dedup, 0);

	if (record->answer.verdict == CONFIG_ACCEPTED)
		state->newest_dropped = record->answer.revision;
	g_hash_table_remove(state->dedup_by_id, record->answer.id);
	xdr_free((xdrproc_t)xdr_config_dedup_t, (char *)record);
	config_ring_pop(&state->dedup);
}

static void config_state_drop_tombstone(config_state_t *state)
{
	xdr_free((xdrproc_t)xdr_config_tombstone_t,
		 config_ring_at(&state->tombstones, 0));
	config_ring_pop(&state->tombstones);
}

static void config_state_push_dedup(config_state_t *state,
				    const config_dedup_t *record)
{
	config_dedup_t *slot;

	if (state->dedup.count == state->dedup.capacity)
		config_state_drop_dedup(state);
	slot = config_ring_push(&state->dedup);
	*slot = *record;
	g_hash_table_insert(state->dedup_by_id, slot->answer.id, slot);
}

static void config_state_push_tombstone(config_state_t *state,
					const config_tombstone_t *tombstone)
{
	if (state->tombstones.count == state->tombstones.capacity)
		config_state_drop_tombstone(state);
	*(config_tombstone_t *)config_ring_push(
		&state->tombstones) = *tombstone;
}

/* Id of the accepted change that created a revision, or "". */
static const char *config_state_change_of(const config_state_t *state,
					  uint64_t revision)
{
	unsigned low = 0, high = state->dedup.count;
	const config_dedup_t *record;

	/* Revisions in the records never decrease. Of records with the same
	 * revision the first belongs to the accepted change. */
	while (low < high) {
		unsigned middle = low + (high - low) / 2;

		record = config_ring_at(&state->dedup, middle);
		if (record->answer.revision < revision)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == state->dedup.count)
		return "";
	record = config_ring_at(&state->dedup, low);
	if (record->answer.revision != revision ||
	    record->answer.verdict != CONFIG_ACCEPTED)
		return "";
	return record->answer.id;
}

/* Revision that last wrote or retired the object of an item. */
static uint64_t config_state_last_write(const config_state_t *state,
					const config_item_t *item)
{
	const config_object_type_t *type = config_object_type(item->body.kind);
	const void *value = &item->body.config_body_t_u;
	const void *found = config_object_find(type, &state->config, value);
	unsigned i = state->tombstones.count;

	if (found)
		return config_object_revision(type, found);
	while (i-- > 0) {
		const config_tombstone_t *tombstone =
			config_ring_at(&state->tombstones, i);

		if (tombstone->kind == type->retire &&
		    !strcmp(tombstone->name, config_object_name(type, value)) &&
		    !strcmp(tombstone->copy,
			    config_object_copy_name(type, value)))
			return tombstone->revision;
	}
	return 0;
}

/* Formats the message for a conflict; returns the id of the earlier change. */
static const char *config_state_conflict(const config_state_t *state,
					 const config_item_t *item,
					 char message[CONFIG_MESSAGE_MAX + 1])
{
	const config_object_type_t *type = config_object_type(item->body.kind);
	uint64_t last_write = config_state_last_write(state, item);
	const char *winner = config_state_change_of(state, last_write);

	snprintf(message, CONFIG_MESSAGE_MAX + 1,
		 "%s %s was changed at revision %" PRIu64
		 " by change %s, after revision %" PRIu64
		 " that this change was made from; run hemlockctl plan to see "
		 "it, then apply again",
		 type->label,
		 config_object_name(type, &item->body.config_body_t_u),
		 last_write, *winner ? winner : "(no longer known)",
		 (uint64_t)item->base);
	return winner;
}

static int config_state_set_answer(config_answer_t *answer,
				   config_verdict_t verdict, const char *id,
				   uint64_t revision, const char *winner,
				   const char *message)
{
	config_answer_t plain = {
		.verdict = verdict,
		.id = (char *)id,
		.revision = revision,
		.winner = (char *)winner,
		.message = (char *)message,
	};

	return config_copy((xdrproc_t)xdr_config_answer_t, &plain, answer,
			   sizeof(*answer));
}

/* Checks and applies the items to the new configuration. */
static int config_state_apply_items(const config_state_t *state,
				    const config_change_t *change,
				    config_check_result_t *result,
				    config_transition_t *transition)
{
	uint64_t revision = state->config.revision + 1;
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_item_t *item = &change->items.items_val[i];

		if (!config_check_item(&transition->config, item, revision,
				       result))
			return 0;
		if (config_apply_item(&transition->config, revision, item))
			return -1;
	}
	config_check_references(&transition->config, change, result);
	return 0;
}

/* Checks the change as a whole, then its items. */
static int config_state_evaluate(const config_state_t *state,
				 const config_change_t *change,
				 config_check_result_t *result,
				 config_transition_t *transition)
{
	if (change->base_revision < state->newest_dropped) {
		result->verdict = CONFIG_REFUSED;
		snprintf(result->message, sizeof(result->message),
			 "made from revision %" PRIu64
			 ", older than the change ids that are kept; run "
			 "hemlockctl plan and apply it as a new change",
			 (uint64_t)change->base_revision);
		return 0;
	}
	if (!*change->id || !change->items.items_len) {
		result->verdict = CONFIG_REFUSED;
		snprintf(result->message, sizeof(result->message),
			 "a change needs an id and an item; add them");
		return 0;
	}
	return config_state_apply_items(state, change, result, transition);
}

/* Computes the new configuration, the answer and the delta. */
static int config_state_prepare(const config_state_t *state,
				const config_change_t *change,
				config_transition_t *transition)
{
	config_check_result_t result = { .verdict = CONFIG_ACCEPTED };
	uint64_t revision = state->config.revision;
	config_delta_t delta = { revision + 1, *change };
	const char *winner = "";

	if (config_copy((xdrproc_t)xdr_config_t, &state->config,
			&transition->config, sizeof(transition->config)) ||
	    config_state_evaluate(state, change, &result, transition))
		return -1;
	if (result.verdict == CONFIG_CONFLICT)
		winner = config_state_conflict(state, result.item,
					       result.message);
	if (result.verdict == CONFIG_ACCEPTED)
		revision = ++transition->config.revision;
	if (config_state_set_answer(&transition->answer, result.verdict,
				    change->id, revision, winner,
				    result.message))
		return -1;
	if (result.verdict != CONFIG_ACCEPTED)
		return 0;
	return config_copy((xdrproc_t)xdr_config_delta_t, &delta,
			   &transition->delta, sizeof(delta));
}

static void config_state_transition_free(config_transition_t *transition)
{
	xdr_free((xdrproc_t)xdr_config_t, (char *)&transition->config);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&transition->answer);
	xdr_free((xdrproc_t)xdr_config_delta_t, (char *)&transition->delta);
}

/* Adds tombstones for the objects that an accepted change retired. */
static void config_state_add_tombstones(config_state_t *state,
					const config_change_t *change)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_body_t *body = &change->items.items_val[i].body;
		const config_object_type_t *type = config_object_type(
			body->kind);
		const void *value = &body->config_body_t_u;
		config_tombstone_t tombstone = {
			.kind = body->kind,
			.name = (char *)config_object_name(type, value),
			.copy = (char *)config_object_copy_name(type, value),
			.revision = state->config.revision,
		};
		config_tombstone_t copy;

		if (body->kind == type->retire &&
		    !config_copy((xdrproc_t)xdr_config_tombstone_t, &tombstone,
				 &copy, sizeof(copy)))
			config_state_push_tombstone(state, &copy);
	}
}

/* Moves a transition into the state. */
static void config_state_commit(config_state_t *state, uint64_t index,
				config_transition_t *transition)
{
	config_dedup_t record = { index, transition->answer };
	bool accepted = transition->answer.verdict == CONFIG_ACCEPTED;
	config_t old = state->config;

	state->index = index;
	config_state_push_dedup(state, &record);
	memset(&transition->answer, 0, sizeof(transition->answer));
	if (!accepted)
		return;
	state->config = transition->config;
	transition->config = old;
	config_state_add_tombstones(state, &transition->delta.change);
	config_tail_push(&state->tail, &transition->delta);
	memset(&transition->delta, 0, sizeof(transition->delta));
}

config_state_t *config_state_new(void)
{
	config_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->dedup_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	if (config_ring_init(&state->dedup, sizeof(config_dedup_t),
			     CONFIG_DEDUP_MAX) ||
	    config_ring_init(&state->tombstones, sizeof(config_tombstone_t),
			     CONFIG_TOMBSTONES_MAX) ||
	    config_tail_init(&state->tail)) {
		config_state_free(state);
		return NULL;
	}
	return state;
}

void config_state_free(config_state_t *state)
{
	if (!state)
		return;
	while (state->dedup.count)
		config_state_drop_dedup(state);
	while (state->tombstones.count)
		config_state_drop_tombstone(state);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&state->config);
	config_ring_fini(&state->dedup);
	config_ring_fini(&state->tombstones);
	config_tail_fini(&state->tail);
	g_hash_table_destroy(state->dedup_by_id);
	free(state);
}

/* Whether all items of a change, at least one, were reported by processes. */
static bool config_state_is_report(const config_change_t *change)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_object_type_t *type = config_object_type(
			change->items.items_val[i].body.kind);

		if (!type || !config_object_is_reported(type))
			return false;
	}
	return change->items.items_len > 0;
}

/*
 * Applies a change that consists of reports of processes: announcements of
 * copies, whose start times and sequence numbers make them idempotent, rates of
 * copies, which name the revision that they are based on, and crashes, of which
 * each counts once. They need no dedup record, and are applied in place, without
 * a copy of the configuration, as there are many.
 */
static int config_state_apply_reports(config_state_t *state, uint64_t index,
				      const config_change_t *change,
				      config_answer_t *answer)
{
	config_delta_t delta = { state->config.revision + 1, *change };
	bool has_effect = false;
	config_delta_t copy;
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_item_t *item = &change->items.items_val[i];

		if (!config_report_has_effect(&state->config, item))
			continue;
		has_effect = true;
		if (config_apply_item(&state->config, delta.revision, item))
			return -1;
	}
	state->index = index;
	if (has_effect) {
		if (config_copy((xdrproc_t)xdr_config_delta_t, &delta, &copy,
				sizeof(copy)))
			return -1;
		state->config.revision = delta.revision;
		config_tail_push(&state->tail, &copy);
	}
	return config_state_set_answer(answer, CONFIG_ACCEPTED, change->id,
				       state->config.revision, "", "");
}

int config_state_apply(config_state_t *state, uint64_t index,
		       const config_change_t *change, config_answer_t *answer)
{
	const config_answer_t *first = config_state_answer(state, change->id);
	config_transition_t transition = { 0 };
	int rc = -1;

	memset(answer, 0, sizeof(*answer));
	if (config_state_is_report(change))
		return config_state_apply_reports(state, index, change, answer);
	if (first) {
		rc = config_copy((xdrproc_t)xdr_config_answer_t, first, answer,
				 sizeof(*answer));
		if (!rc)
			state->index = index;
		return rc;
	}
	if (config_state_prepare(state, change, &transition))
		goto out;
	rc = config_copy((xdrproc_t)xdr_config_answer_t, &transition.answer,
			 answer, sizeof(*answer));
	if (!rc)
		config_state_commit(state, index, &transition);
out:
	config_state_transition_free(&transition);
	return rc;
}

const config_answer_t *config_state_answer(const config_state_t *state,
					   const char *id)
{
	const config_dedup_t *record = g_hash_table_lookup(state->dedup_by_id,
							   id);

	return record ? &record->answer : NULL;
}

const config_t *config_state_config(const config_state_t *state)
{
	return &state->config;
}

int config_state_deltas(const config_state_t *state, uint64_t have,
			config_delta_t *out, unsigned max)
{
	return config_tail_copy(&state->tail, state->config.revision, have, out,
				max);
}

/* Shallow copy of the recent accepted changes, oldest first. */
static config_delta_t *config_state_delta_list(const config_state_t *state)
{
	unsigned count = state->tail.ring.count;
	config_delta_t *list = calloc(count + 1, sizeof(*list));
	unsigned i;

	for (i = 0; list && i < count; i++)
		list[i] = *config_tail_at(&state->tail, i);
	return list;
}

int config_state_save(const config_state_t *state, char **bytes, size_t *size)
{
	config_snapshot_t snapshot = {
		.config = state->config,
		.index = state->index,
		.evicted_revision = state->newest_dropped,
	};
	config_dedup_t *dedup = config_ring_to_array(&state->dedup);
	config_tombstone_t *tombstones = config_ring_to_array(
		&state->tombstones);
	config_delta_t *deltas = config_state_delta_list(state);
	int rc = -1;

	*bytes = NULL;
	if (!dedup || !tombstones || !deltas)
		goto out;
	snapshot.dedup.dedup_val = dedup;
	snapshot.dedup.dedup_len = state->dedup.count;
	snapshot.tombstones.tombstones_val = tombstones;
	snapshot.tombstones.tombstones_len = state->tombstones.count;
	snapshot.deltas.deltas_val = deltas;
	snapshot.deltas.deltas_len = state->tail.ring.count;
	rc = config_encode((xdrproc_t)xdr_config_snapshot_t, &snapshot, bytes,
			   size);
out:
	free(dedup);
	free(tombstones);
	free(deltas);
	return rc;
}

/* Moves the contents of a decoded snapshot into an empty state. */
static void config_state_restore(config_state_t *state,
				 config_snapshot_t *snapshot)
{
	u_int i;

	state->config = snapshot->config;
	state->index = snapshot->index;
	state->newest_dropped = snapshot->evicted_revision;
	for (i = 0; i < snapshot->dedup.dedup_len; i++)
		config_state_push_dedup(state, &snapshot->dedup.dedup_val[i]);
	for (i = 0; i < snapshot->tombstones.tombstones_len; i++)
		config_state_push_tombstone(
			state, &snapshot->tombstones.tombstones_val[i]);
	for (i = 0; i < snapshot->deltas.deltas_len; i++)
		config_tail_push(&state->tail, &snapshot->deltas.deltas_val[i]);
	free(snapshot->dedup.dedup_val);
	free(snapshot->tombstones.tombstones_val);
	free(snapshot->deltas.deltas_val);
}

/* Moves a snapshot of the older layout into one of the present layout. */
static void config_state_convert_v2(const config_snapshot_v2_t *old,
				    config_snapshot_t *snapshot)
{
	memset(snapshot, 0, sizeof(*snapshot));
	memcpy(&snapshot->config, &old->config, sizeof(old->config));
	snapshot->index = old->index;
	snapshot->evicted_revision = old->evicted_revision;
	memcpy(&snapshot->dedup, &old->dedup, sizeof(old->dedup));
	memcpy(&snapshot->tombstones, &old->tombstones,
	       sizeof(old->tombstones));
	memcpy(&snapshot->deltas, &old->deltas, sizeof(old->deltas));
}

/* Decodes a snapshot of the present layout, or of the one before it, which
   earlier releases wrote. */
static int config_state_decode(const char *bytes, size_t size,
			       config_snapshot_t *snapshot)
{
	config_snapshot_v2_t old;

	if (!config_decode((xdrproc_t)xdr_config_snapshot_t, bytes, size,
			   snapshot, sizeof(*snapshot)))
		return 0;
	if (config_decode((xdrproc_t)xdr_config_snapshot_v2_t, bytes, size,
			  &old, sizeof(old)))
		return -1;
	config_state_convert_v2(&old, snapshot);
	return 0;
}

config_state_t *config_state_load(const char *bytes, size_t size,
				  hl_error_t *err)
{
	config_snapshot_t snapshot;
	config_state_t *state = config_state_new();

	if (!state) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "out of memory for the configuration; give the "
			     "process more");
		return NULL;
	}
	if (config_state_decode(bytes, size, &snapshot)) {
		hl_error_set(err, HL_ERR_CORRUPT,
			     "the snapshot of the configuration is malformed; "
			     "replace this replica's disk and let it catch up");
		config_state_free(state);
		return NULL;
	}
	config_state_restore(state, &snapshot);
	return state;
}
