#include <stdlib.h>
#include <string.h>
#include "config-object.h"
#include "config-plan.h"

bool config_plan_same(const config_object_type_t *object, const void *a,
		      const void *b)
{
	config_body_t plain;
	char *one = NULL, *two = NULL;
	size_t one_size, two_size;
	bool same = false;

	memcpy(&plain, b, object->size);
	*(u_quad_t *)((char *)&plain +
		      object->revision) = config_object_revision(object, a);
	if (!config_encode(object->proc, a, &one, &one_size) &&
	    !config_encode(object->proc, &plain, &two, &two_size))
		same = one_size == two_size && !memcmp(one, two, one_size);
	free(one);
	free(two);
	return same;
}

static int config_plan_kind(const config_object_type_t *object,
			    const config_t *current, const config_t *declared,
			    config_change_t *change, hl_error_t *err)
{
	u_int i;

	for (i = 0; i < config_object_count(object, declared); i++) {
		const void *value = config_object_at(object, declared, i);
		const void *held = config_object_find(object, current, value);

		if (held && config_plan_same(object, held, value))
			continue;
		if (config_plan_add_item(current, object->put, value, change,
					 err))
			return -1;
	}
	return 0;
}

int config_plan_add_item(const config_t *current, config_item_kind_t kind,
			 const void *value, config_change_t *change,
			 hl_error_t *err)
{
	const config_object_type_t *object = config_object_type(kind);
	const void *held = config_object_find(object, current, value);
	u_int count = change->items.items_len;
	config_item_t *items, *item;

	if (count == CONFIG_ITEMS_MAX)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "more than %d objects would change; apply "
				    "the files one after the other",
				    CONFIG_ITEMS_MAX);
	items = realloc(change->items.items_val, (count + 1) * sizeof(*items));
	if (!items)
		return hl_error_set(err, HL_ERR_NOMEM, "no memory; free some");
	change->items.items_val = items;
	item = &items[count];
	memset(item, 0, sizeof(*item));
	item->base = held ? config_object_revision(object, held) : 0;
	item->body.kind = kind;
	if (config_copy(object->proc, value, &item->body.config_body_t_u,
			object->size))
		return hl_error_set(err, HL_ERR_NOMEM, "no memory; free some");
	change->items.items_len = count + 1;
	change->base_revision = current->revision;
	return 0;
}

int config_plan(const config_t *current, const config_t *declared,
		config_change_t *change, hl_error_t *err)
{
	static const config_item_kind_t kinds[] = { CONFIG_PUT_PROFILE,
						    CONFIG_PUT_SERVICE };
	size_t i;

	change->base_revision = current->revision;
	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		if (config_plan_kind(config_object_type(kinds[i]), current,
				     declared, change, err))
			return -1;
	return 0;
}

int config_plan_set_header(config_change_t *change, const char *id,
			   const char *author, int64_t at_ms)
{
	free(change->id);
	free(change->author);
	change->id = strdup(id);
	change->author = strdup(author);
	change->at_ms = at_ms;
	return change->id && change->author ? 0 : -1;
}
