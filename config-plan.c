#include <stdlib.h>
#include <string.h>
#include "config-object.h"
#include "config-plan.h"

bool config_plan_equal(const config_object_type_t *type, const void *a,
		       const void *b)
{
	config_body_t normalized;
	char *a_bytes = NULL, *b_bytes = NULL;
	size_t a_size, b_size;
	bool same = false;

	memcpy(&normalized, b, type->size);
	*(u_quad_t *)((char *)&normalized +
		      type->revision_offset) = config_object_revision(type, a);
	if (!config_encode(type->proc, a, &a_bytes, &a_size) &&
	    !config_encode(type->proc, &normalized, &b_bytes, &b_size))
		same = a_size == b_size && !memcmp(a_bytes, b_bytes, a_size);
	free(a_bytes);
	free(b_bytes);
	return same;
}

static int config_plan_kind(const config_object_type_t *type,
			    const config_t *current, const config_t *declared,
			    config_change_t *change, hl_error_t *err)
{
	u_int i;

	for (i = 0; i < config_object_count(type, declared); i++) {
		const void *value = config_object_at(type, declared, i);
		const void *existing = config_object_find(type, current, value);

		if (existing && config_plan_equal(type, existing, value))
			continue;
		if (config_plan_add_item(current, type->put, value, change,
					 err))
			return -1;
	}
	return 0;
}

int config_plan_add_item(const config_t *current, config_item_kind_t kind,
			 const void *value, config_change_t *change,
			 hl_error_t *err)
{
	const config_object_type_t *type = config_object_type(kind);
	const void *existing = config_object_find(type, current, value);
	u_int count = change->items.items_len;
	config_item_t *items, *item;

	if (count == CONFIG_ITEMS_MAX)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "more than %d objects would change; apply "
				    "fewer files at a time",
				    CONFIG_ITEMS_MAX);
	items = realloc(change->items.items_val, (count + 1) * sizeof(*items));
	if (!items)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	change->items.items_val = items;
	item = &items[count];
	memset(item, 0, sizeof(*item));
	item->base = existing ? config_object_revision(type, existing) : 0;
	item->body.kind = kind;
	if (config_copy(type->proc, value, &item->body.config_body_t_u,
			type->size))
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
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
