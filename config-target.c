#include <string.h>
#include "config-object.h"
#include "config-target.h"

/* Number of announcements after which a displaced copy regains its address. */
#define TARGET_REVIVE_ANNOUNCEMENTS_MIN 2

static const config_object_type_t *target_type(void)
{
	return config_object_type(CONFIG_PUT_TARGET);
}

/* Shutdown stage of a copy; it never decreases for one start time. */
static int target_shutdown_stage(const config_target_t *target)
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

/* Whether the fields that entries use differ. */
static bool target_differs(const config_target_t *a, const config_target_t *b)
{
	return a->state != b->state || a->slots != b->slots ||
	       strcmp(a->address, b->address) ||
	       strcmp(a->service, b->service) || strcmp(a->zone, b->zone);
}

bool config_target_supersedes(const config_target_t *existing,
			      const config_target_t *announced)
{
	if (!existing)
		return announced->state != CONFIG_TARGET_LEFT ||
		       *announced->service;
	if (announced->started_ms != existing->started_ms)
		return announced->started_ms > existing->started_ms;
	if (target_shutdown_stage(announced) != target_shutdown_stage(existing))
		return target_shutdown_stage(announced) >
		       target_shutdown_stage(existing);
	if (existing->state == CONFIG_TARGET_DISPLACED)
		return announced->sequence >=
		       existing->sequence + TARGET_REVIVE_ANNOUNCEMENTS_MIN;
	return announced->sequence > existing->sequence &&
	       target_differs(existing, announced);
}

bool config_target_serves(const config_target_t *target)
{
	return target->state == CONFIG_TARGET_READY ||
	       target->state == CONFIG_TARGET_DRAINING;
}

/* Marks other copies at the address of a ready copy as displaced. */
static void target_displace(config_t *config, const config_target_t *announced,
			    uint64_t revision)
{
	u_int i;

	if (announced->state != CONFIG_TARGET_READY)
		return;
	for (i = 0; i < config->targets.targets_len; i++) {
		config_target_t *other = &config->targets.targets_val[i];

		if (!config_target_serves(other) ||
		    strcmp(other->address, announced->address) ||
		    !strcmp(other->name, announced->name))
			continue;
		other->state = CONFIG_TARGET_DISPLACED;
		other->revision = revision;
	}
}

int config_target_put(config_t *config, const config_target_t *announced,
		      uint64_t revision)
{
	const config_target_t *existing = config_find_target(config,
							     announced->name);

	if (!config_target_supersedes(existing, announced))
		return 0;
	target_displace(config, announced, revision);
	return config_object_put(target_type(), config, announced, revision);
}

void config_target_retire(config_t *config, const config_target_t *announced,
			  uint64_t base)
{
	void *existing = config_object_find(target_type(), config, announced);

	if (!existing ||
	    config_object_revision(target_type(), existing) != base)
		return;
	config_object_remove(target_type(), config, existing);
}
