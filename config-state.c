#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-check.h"
#include "config-ring.h"
#include "config-state.h"
#include "config-tail.h"
#include "config-target.h"

struct config_state {
	config_t config;
	uint64_t index;	       /* last log index applied */
	uint64_t forgotten;    /* newest revision whose change id is dropped */
	config_ring_t known;   /* config_dedup_t */
	GHashTable *ids;       /* id to its config_dedup_t */
	config_ring_t retired; /* config_tombstone_t */
	config_tail_t tail;
};

/* What one change would do, before it is done. */
typedef struct {
	config_t config;
	config_answer_t answer;
	config_delta_t delta;
} config_step_t;

static void config_state_drop_known(config_state_t *state)
{
	config_dedup_t *known = config_ring_at(&state->known, 0);

	if (known->answer.verdict == CONFIG_ACCEPTED)
		state->forgotten = known->answer.revision;
	g_hash_table_remove(state->ids, known->answer.id);
	xdr_free((xdrproc_t)xdr_config_dedup_t, (char *)known);
	config_ring_drop(&state->known);
}

static void config_state_drop_retired(config_state_t *state)
{
	xdr_free((xdrproc_t)xdr_config_tombstone_t,
		 config_ring_at(&state->retired, 0));
	config_ring_drop(&state->retired);
}

static void config_state_push_known(config_state_t *state,
				    const config_dedup_t *known)
{
	config_dedup_t *slot;

	if (state->known.count == state->known.capacity)
		config_state_drop_known(state);
	slot = config_ring_push(&state->known);
	*slot = *known;
	g_hash_table_insert(state->ids, slot->answer.id, slot);
}

static void config_state_push_retired(config_state_t *state,
				      const config_tombstone_t *retired)
{
	if (state->retired.count == state->retired.capacity)
		config_state_drop_retired(state);
	*(config_tombstone_t *)config_ring_push(&state->retired) = *retired;
}

/* The id of the accepted change that made a revision, or "". */
static const char *config_state_author_of(const config_state_t *state,
					  uint64_t revision)
{
	unsigned low = 0, high = state->known.count;
	const config_dedup_t *known;

	/* Revisions never fall; the accepted one comes first of its equals. */
	while (low < high) {
		unsigned middle = low + (high - low) / 2;

		known = config_ring_at(&state->known, middle);
		if (known->answer.revision < revision)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == state->known.count)
		return "";
	known = config_ring_at(&state->known, low);
	if (known->answer.revision != revision ||
	    known->answer.verdict != CONFIG_ACCEPTED)
		return "";
	return known->answer.id;
}

/* The revision that last wrote or retired what an item is about. */
static uint64_t config_state_written(const config_state_t *state,
				     const config_item_t *item)
{
	const config_object_type_t *object = config_object_type(
		item->body.kind);
	const void *value = &item->body.config_body_t_u;
	const void *found = config_object_find(object, &state->config, value);
	unsigned i = state->retired.count;

	if (found)
		return config_object_revision(object, found);
	while (i-- > 0) {
		const config_tombstone_t *retired =
			config_ring_at(&state->retired, i);

		if (retired->kind == object->retire &&
		    !strcmp(retired->name, config_object_name(object, value)) &&
		    !strcmp(retired->copy, config_object_copy(object, value)))
			return retired->revision;
	}
	return 0;
}

/* Name who came first and what to do. */
static const char *config_state_conflict(const config_state_t *state,
					 const config_item_t *item,
					 char message[CONFIG_MESSAGE_MAX + 1])
{
	const config_object_type_t *object = config_object_type(
		item->body.kind);
	uint64_t written = config_state_written(state, item);
	const char *winner = config_state_author_of(state, written);

	snprintf(message, CONFIG_MESSAGE_MAX + 1,
		 "%s %s was changed at revision %" PRIu64
		 " by change %s, after revision %" PRIu64
		 " that this change was made from; run hemlockctl plan to see "
		 "it, then apply again",
		 object->word,
		 config_object_name(object, &item->body.config_body_t_u),
		 written, *winner ? winner : "(no longer known)",
		 (uint64_t)item->base);
	return winner;
}

static int config_state_answer_set(config_answer_t *answer,
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

/* Apply all items to step->config as far as the rules allow. */
static int config_state_try(const config_state_t *state,
			    const config_change_t *change,
			    config_ruling_t *ruling, config_step_t *step)
{
	uint64_t revision = state->config.revision + 1;
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_item_t *item = &change->items.items_val[i];

		if (!config_check_item(&step->config, item, revision, ruling))
			return 0;
		if (config_apply_item(&step->config, revision, item))
			return -1;
	}
	config_check_references(&step->config, change, ruling);
	return 0;
}

/* Rules about the change as a whole come before those of its items. */
static int config_state_judge(const config_state_t *state,
			      const config_change_t *change,
			      config_ruling_t *ruling, config_step_t *step)
{
	if (change->base_revision < state->forgotten) {
		ruling->verdict = CONFIG_REFUSED;
		snprintf(ruling->message, sizeof(ruling->message),
			 "made from revision %" PRIu64
			 ", older than the change ids that are kept; run "
			 "hemlockctl plan and apply it as a new change",
			 (uint64_t)change->base_revision);
		return 0;
	}
	if (!*change->id || !change->items.items_len) {
		ruling->verdict = CONFIG_REFUSED;
		snprintf(ruling->message, sizeof(ruling->message),
			 "a change needs an id and an item; add them");
		return 0;
	}
	return config_state_try(state, change, ruling, step);
}

/* Work out the new configuration, the answer and the delta. */
static int config_state_step(const config_state_t *state,
			     const config_change_t *change, config_step_t *step)
{
	config_ruling_t ruling = { .verdict = CONFIG_ACCEPTED };
	uint64_t revision = state->config.revision;
	config_delta_t delta = { revision + 1, *change };
	const char *winner = "";

	if (config_copy((xdrproc_t)xdr_config_t, &state->config, &step->config,
			sizeof(step->config)) ||
	    config_state_judge(state, change, &ruling, step))
		return -1;
	if (ruling.verdict == CONFIG_CONFLICT)
		winner = config_state_conflict(state, ruling.item,
					       ruling.message);
	if (ruling.verdict == CONFIG_ACCEPTED)
		revision = ++step->config.revision;
	if (config_state_answer_set(&step->answer, ruling.verdict, change->id,
				    revision, winner, ruling.message))
		return -1;
	if (ruling.verdict != CONFIG_ACCEPTED)
		return 0;
	return config_copy((xdrproc_t)xdr_config_delta_t, &delta, &step->delta,
			   sizeof(delta));
}

static void config_state_step_free(config_step_t *step)
{
	xdr_free((xdrproc_t)xdr_config_t, (char *)&step->config);
	xdr_free((xdrproc_t)xdr_config_answer_t, (char *)&step->answer);
	xdr_free((xdrproc_t)xdr_config_delta_t, (char *)&step->delta);
}

/* Remember what an accepted change retired. */
static void config_state_retire(config_state_t *state,
				const config_change_t *change)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_body_t *body = &change->items.items_val[i].body;
		const config_object_type_t *object = config_object_type(
			body->kind);
		const void *value = &body->config_body_t_u;
		config_tombstone_t retired = {
			.kind = body->kind,
			.name = (char *)config_object_name(object, value),
			.copy = (char *)config_object_copy(object, value),
			.revision = state->config.revision,
		};
		config_tombstone_t kept;

		if (body->kind == object->retire &&
		    !config_copy((xdrproc_t)xdr_config_tombstone_t, &retired,
				 &kept, sizeof(kept)))
			config_state_push_retired(state, &kept);
	}
}

/* Make the step the state. */
static void config_state_commit(config_state_t *state, uint64_t index,
				config_step_t *step)
{
	config_dedup_t known = { index, step->answer };
	bool accepted = step->answer.verdict == CONFIG_ACCEPTED;
	config_t old = state->config;

	state->index = index;
	config_state_push_known(state, &known);
	memset(&step->answer, 0, sizeof(step->answer));
	if (!accepted)
		return;
	state->config = step->config;
	step->config = old;
	config_state_retire(state, &step->delta.change);
	config_tail_push(&state->tail, &step->delta);
	memset(&step->delta, 0, sizeof(step->delta));
}

config_state_t *config_state_new(void)
{
	config_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return NULL;
	state->ids = g_hash_table_new(g_str_hash, g_str_equal);
	if (config_ring_init(&state->known, sizeof(config_dedup_t),
			     CONFIG_DEDUP_MAX) ||
	    config_ring_init(&state->retired, sizeof(config_tombstone_t),
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
	while (state->known.count)
		config_state_drop_known(state);
	while (state->retired.count)
		config_state_drop_retired(state);
	xdr_free((xdrproc_t)xdr_config_t, (char *)&state->config);
	config_ring_fini(&state->known);
	config_ring_fini(&state->retired);
	config_tail_fini(&state->tail);
	g_hash_table_destroy(state->ids);
	free(state);
}

/* Whether an item about a copy has any effect. */
static bool config_state_target_counts(const config_state_t *state,
				       const config_item_t *item)
{
	const config_target_t *said = &item->body.config_body_t_u.target;
	const config_target_t *held;

	held = config_find_target(&state->config, said->name);
	if (item->body.kind == CONFIG_PUT_TARGET)
		return config_target_supersedes(held, said);
	return held && held->revision == item->base;
}

/*
 * Announcements of copies are merged by what they say of themselves, so they
 * need no first answer. They are written in place, as there are many.
 */
static int config_state_apply_targets(config_state_t *state, uint64_t index,
				      const config_change_t *change,
				      config_answer_t *answer)
{
	config_delta_t delta = { state->config.revision + 1, *change };
	bool counts = false;
	config_delta_t kept;
	u_int i;

	for (i = 0; i < change->items.items_len; i++) {
		const config_item_t *item = &change->items.items_val[i];

		if (!config_state_target_counts(state, item))
			continue;
		counts = true;
		if (config_apply_item(&state->config, delta.revision, item))
			return -1;
	}
	state->index = index;
	if (counts) {
		if (config_copy((xdrproc_t)xdr_config_delta_t, &delta, &kept,
				sizeof(kept)))
			return -1;
		state->config.revision = delta.revision;
		config_tail_push(&state->tail, &kept);
	}
	return config_state_answer_set(answer, CONFIG_ACCEPTED, change->id,
				       state->config.revision, "", "");
}

int config_state_apply(config_state_t *state, uint64_t index,
		       const config_change_t *change, config_answer_t *answer)
{
	const config_answer_t *first = config_state_answer(state, change->id);
	config_step_t step = { 0 };
	int rc = -1;

	memset(answer, 0, sizeof(*answer));
	if (config_target_only(change))
		return config_state_apply_targets(state, index, change, answer);
	if (first) {
		rc = config_copy((xdrproc_t)xdr_config_answer_t, first, answer,
				 sizeof(*answer));
		if (!rc)
			state->index = index;
		return rc;
	}
	if (config_state_step(state, change, &step))
		goto out;
	rc = config_copy((xdrproc_t)xdr_config_answer_t, &step.answer, answer,
			 sizeof(*answer));
	if (!rc)
		config_state_commit(state, index, &step);
out:
	config_state_step_free(&step);
	return rc;
}

const config_answer_t *config_state_answer(const config_state_t *state,
					   const char *id)
{
	const config_dedup_t *known = g_hash_table_lookup(state->ids, id);

	return known ? &known->answer : NULL;
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

/* The accepted changes in order. */
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
		.evicted_revision = state->forgotten,
	};
	config_dedup_t *known = config_ring_list(&state->known);
	config_tombstone_t *retired = config_ring_list(&state->retired);
	config_delta_t *deltas = config_state_delta_list(state);
	int rc = -1;

	*bytes = NULL;
	if (!known || !retired || !deltas)
		goto out;
	snapshot.dedup.dedup_val = known;
	snapshot.dedup.dedup_len = state->known.count;
	snapshot.tombstones.tombstones_val = retired;
	snapshot.tombstones.tombstones_len = state->retired.count;
	snapshot.deltas.deltas_val = deltas;
	snapshot.deltas.deltas_len = state->tail.ring.count;
	rc = config_encode((xdrproc_t)xdr_config_snapshot_t, &snapshot, bytes,
			   size);
out:
	free(known);
	free(retired);
	free(deltas);
	return rc;
}

/* Move all that a decoded snapshot holds into the state. */
static void config_state_fill(config_state_t *state,
			      config_snapshot_t *snapshot)
{
	u_int i;

	state->config = snapshot->config;
	state->index = snapshot->index;
	state->forgotten = snapshot->evicted_revision;
	for (i = 0; i < snapshot->dedup.dedup_len; i++)
		config_state_push_known(state, &snapshot->dedup.dedup_val[i]);
	for (i = 0; i < snapshot->tombstones.tombstones_len; i++)
		config_state_push_retired(
			state, &snapshot->tombstones.tombstones_val[i]);
	for (i = 0; i < snapshot->deltas.deltas_len; i++)
		config_tail_push(&state->tail, &snapshot->deltas.deltas_val[i]);
	free(snapshot->dedup.dedup_val);
	free(snapshot->tombstones.tombstones_val);
	free(snapshot->deltas.deltas_val);
}

config_state_t *config_state_load(const char *bytes, size_t size,
				  hl_error_t *err)
{
	config_snapshot_t snapshot;
	config_state_t *state = config_state_new();

	if (!state) {
		hl_error_set(err, HL_ERR_NOMEM,
			     "no memory for the configuration; give the "
			     "process more");
		return NULL;
	}
	if (config_decode((xdrproc_t)xdr_config_snapshot_t, bytes, size,
			  &snapshot, sizeof(snapshot))) {
		hl_error_set(err, HL_ERR_CORRUPT,
			     "the snapshot of the configuration is malformed; "
			     "replace this replica's disk and let it catch up");
		config_state_free(state);
		return NULL;
	}
	config_state_fill(state, &snapshot);
	return state;
}
