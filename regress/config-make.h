#ifndef CONFIG_MAKE_H
#define CONFIG_MAKE_H

#include <glib.h>
#include <string.h>
#include "config.h"

/* Changes for tests: one item whose strings live as long as the program. */

static inline config_item_t make_profile(const char *name, uint64_t base,
					 u_int deadline_ms)
{
	config_item_t item = { .base = base };
	config_profile_t *profile = &item.body.config_body_t_u.profile;

	item.body.kind = CONFIG_PUT_PROFILE;
	config_profile_set_defaults(profile);
	profile->name = (char *)g_intern_string(name);
	profile->deadline_ms = deadline_ms;
	return item;
}

static inline config_item_t make_retire(const char *profile, uint64_t base)
{
	config_item_t item = make_profile(profile, base, 1);

	item.body.kind = CONFIG_RETIRE_PROFILE;
	return item;
}

static inline config_item_t make_service(const char *name, uint64_t base,
					 const char *profile)
{
	config_item_t item = { .base = base };

	item.body.kind = CONFIG_PUT_SERVICE;
	item.body.config_body_t_u.service.name = (char *)g_intern_string(name);
	item.body.config_body_t_u.service.profile = (char *)g_intern_string(
		profile);
	return item;
}

static inline config_item_t make_stop(const char *service, const char *copy,
				      uint64_t base)
{
	config_item_t item = { .base = base };

	item.body.kind = CONFIG_PUT_STOP;
	item.body.config_body_t_u.stop.service = (char *)g_intern_string(
		service);
	item.body.config_body_t_u.stop.copy = (char *)g_intern_string(copy);
	return item;
}

/* A change that points to @items. */
static inline config_change_t make_change(const char *id, uint64_t seen,
					  config_item_t *items, u_int count)
{
	config_change_t change = {
		.id = (char *)id,
		.author = (char *)"asha",
		.base_revision = seen,
		.items = { count, items },
	};

	return change;
}

#endif
