#include <string.h>
#include "config-object.h"
#include "config-target.h"

/* A displaced copy that goes on announcing so often has its address back. */
#define TARGET_REVIVED_AFTER 2

static const config_object_type_t *target_object(void)
{
	return config_object_type(CONFIG_PUT_TARGET);
}

/* How far a copy is on its way out; it never goes back. */
static int target_rank(const config_target_t *target)
{
	switch (target->state) {
	case CONFIG_TARGET_DRAINING:
		return 1;
	case CONFIG_TARGET_LEFT:
		return 2;
	default:
		return 0;
	}
}

/* Whether what entries look at differs. */
static bool target_differs(const config_target_t *a, const config_target_t *b)
{
	return a->state != b->state || a->slots != b->slots ||
	       strcmp(a->address, b->address) ||
	       strcmp(a->service, b->service) || strcmp(a->zone, b->zone);
}

bool config_target_supersedes(const config_target_t *held,
			      const config_target_t *said)
{
	if (!held)
		return said->state != CONFIG_TARGET_LEFT || *said->service;
	if (said->started_ms != held->started_ms)
		return said->started_ms > held->started_ms;
	if (target_rank(said) != target_rank(held))
		return target_rank(said) > target_rank(held);
	if (held->state == CONFIG_TARGET_DISPLACED)
		return said->sequence >= held->sequence + TARGET_REVIVED_AFTER;
	return said->sequence > held->sequence && target_differs(held, said);
}

bool config_target_serves(const config_target_t *target)
{
	return target->state == CONFIG_TARGET_READY ||
	       target->state == CONFIG_TARGET_DRAINING;
}

/* Whoever else stands at the address of a ready copy is gone. */
static void target_displace(config_t *config, const config_target_t *said,
			    uint64_t revision)
{
	u_int i;

	if (said->state != CONFIG_TARGET_READY)
		return;
	for (i = 0; i < config->targets.targets_len; i++) {
		config_target_t *other = &config->targets.targets_val[i];

		if (!config_target_serves(other) ||
		    strcmp(other->address, said->address) ||
		    !strcmp(other->name, said->name))
			continue;
		other->state = CONFIG_TARGET_DISPLACED;
		other->revision = revision;
	}
}

int config_target_put(config_t *config, const config_target_t *said,
		      uint64_t revision)
{
	const config_target_t *held = config_find_target(config, said->name);

	if (!config_target_supersedes(held, said))
		return 0;
	target_displace(config, said, revision);
	return config_object_put(target_object(), config, said, revision);
}

void config_target_retire(config_t *config, const config_target_t *said,
			  uint64_t base)
{
	void *held = config_object_find(target_object(), config, said);

	if (held && config_object_revision(target_object(), held) == base)
		config_object_remove(target_object(), config, held);
}

bool config_target_only(const config_change_t *change)
{
	u_int i;

	for (i = 0; i < change->items.items_len; i++)
		if (config_object_type(change->items.items_val[i].body.kind) !=
		    target_object())
			return false;
	return change->items.items_len > 0;
}
