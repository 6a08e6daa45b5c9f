#include <stdlib.h>
#include <string.h>
#include "keeper.h"

/* Log entries in memory: those with a higher index than the snapshot. */

uint64_t keeper_entries_last(const keeper_entries_t *entries)
{
	return entries->base + entries->count;
}

const keeper_entry_t *keeper_entries_at(const keeper_entries_t *entries,
					uint64_t index)
{
	if (index <= entries->base || index > keeper_entries_last(entries))
		return NULL;
	return &entries->list[index - entries->base - 1];
}

bool keeper_entries_term(const keeper_entries_t *entries, uint64_t index,
			 uint64_t *term)
{
	const keeper_entry_t *entry = keeper_entries_at(entries, index);

	if (!entry && index != entries->base)
		return false;
	*term = entry ? entry->term : entries->base_term;
	return true;
}

static bool keeper_entries_grow(keeper_entries_t *entries)
{
	size_t capacity = entries->capacity ? entries->capacity * 2 : 64;
	keeper_entry_t *list;

	if (entries->count < entries->capacity)
		return true;
	list = realloc(entries->list, capacity * sizeof(*list));
	if (!list)
		return false;
	entries->list = list;
	entries->capacity = capacity;
	return true;
}

bool keeper_entries_push(keeper_entries_t *entries, const keeper_entry_t *entry)
{
	keeper_entry_t *slot;
	char *body = NULL;

	if (!keeper_entries_grow(entries))
		return false;
	if (entry->body.body_len) {
		body = malloc(entry->body.body_len);
		if (!body)
			return false;
		memcpy(body, entry->body.body_val, entry->body.body_len);
	}
	slot = &entries->list[entries->count++];
	*slot = *entry;
	slot->body.body_val = body;
	entries->bytes += entry->body.body_len;
	return true;
}

static void keeper_entries_drop(keeper_entries_t *entries, size_t from,
				size_t count)
{
	size_t i;

	for (i = from; i < from + count; i++) {
		entries->bytes -= entries->list[i].body.body_len;
		free(entries->list[i].body.body_val);
	}
	memmove(entries->list + from, entries->list + from + count,
		(entries->count - from - count) * sizeof(*entries->list));
	entries->count -= count;
}

void keeper_entries_truncate(keeper_entries_t *entries, uint64_t last)
{
	if (last < entries->base || last >= keeper_entries_last(entries))
		return;
	keeper_entries_drop(entries, last - entries->base,
			    keeper_entries_last(entries) - last);
}

void keeper_entries_compact(keeper_entries_t *entries, uint64_t base,
			    uint64_t base_term)
{
	uint64_t count = base > entries->base ? base - entries->base : 0;

	if (count > entries->count)
		count = entries->count;
	if (count)
		keeper_entries_drop(entries, 0, count);
	entries->base = base;
	entries->base_term = base_term;
}

void keeper_entries_free(keeper_entries_t *entries)
{
	if (entries->count)
		keeper_entries_drop(entries, 0, entries->count);
	free(entries->list);
	memset(entries, 0, sizeof(*entries));
}
