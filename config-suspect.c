#include <string.h>
#include "config-object.h"
#include "config-suspect.h"

/* Time by which the reports of two crashes may be delayed differently. */
#define SUSPECT_REPORT_JITTER_MS 20

static const config_object_type_t *suspect_type(void)
{
	return config_object_type(CONFIG_PUT_SUSPECT);
}

const config_suspect_t *config_suspect_find(const config_t *config,
					    const char *digest)
{
	const config_suspect_t key = { .name = (char *)digest };

	return config_object_find(suspect_type(), config, &key);
}

static bool suspect_is_blocked(const config_suspect_t *suspect)
{
	return suspect->crashes.crashes_len == CONFIG_SUSPECT_CRASHES_MAX;
}

/* Whether a crash of the call counts beside those that are known. */
static bool suspect_crash_counts(const config_suspect_t *suspect,
				 const config_crash_t *crash)
{
	int64_t sent_ms = crash->at_ms - crash->ran_ms;
	u_int i;

	for (i = 0; i < suspect->crashes.crashes_len; i++) {
		const config_crash_t *known = &suspect->crashes.crashes_val[i];

		if (!strcmp(known->copy, crash->copy) &&
		    known->started_ms == crash->started_ms)
			return false;
		/* A time after that of this report is of another clock. */
		if (known->at_ms <= crash->at_ms &&
		    sent_ms + SUSPECT_REPORT_JITTER_MS < known->at_ms)
			return false;
	}
	return !suspect_is_blocked(suspect);
}

bool config_suspect_has_effect(const config_t *config,
			       const config_item_t *item)
{
	const config_suspect_t *suspect = &item->body.config_body_t_u.suspect;
	const config_suspect_t *existing = config_suspect_find(config,
							       suspect->name);

	if (item->body.kind == CONFIG_RETIRE_SUSPECT)
		return existing && existing->revision == item->base;
	if (suspect->crashes.crashes_len != 1)
		return false;
	return !existing ||
	       suspect_crash_counts(existing, suspect->crashes.crashes_val);
}

/* Returns the suspect that makes room for another one. */
static config_suspect_t *suspect_oldest(const config_t *config)
{
	config_suspect_t *oldest = NULL;
	u_int i;

	for (i = 0; i < config->suspects.suspects_len; i++) {
		config_suspect_t *suspect = &config->suspects.suspects_val[i];
		bool blocked = suspect_is_blocked(suspect);

		if (!oldest || blocked < suspect_is_blocked(oldest) ||
		    (blocked == suspect_is_blocked(oldest) &&
		     suspect->revision < oldest->revision))
			oldest = suspect;
	}
	return oldest;
}

/* Adds a crash to a suspect that is in the configuration. */
static int suspect_add_crash(config_t *config, const config_suspect_t *existing,
			     const config_crash_t *crash, uint64_t revision)
{
	config_crash_t crashes[CONFIG_SUSPECT_CRASHES_MAX];
	config_suspect_t merged = *existing;
	u_int count = existing->crashes.crashes_len;

	memcpy(crashes, existing->crashes.crashes_val,
	       count * sizeof(*crashes));
	crashes[count] = *crash;
	merged.crashes.crashes_len = count + 1;
	merged.crashes.crashes_val = crashes;
	return config_object_put(suspect_type(), config, &merged, revision);
}

int config_suspect_apply(config_t *config, const config_item_t *item,
			 uint64_t revision)
{
	const config_suspect_t *suspect = &item->body.config_body_t_u.suspect;
	const config_suspect_t *existing = config_suspect_find(config,
							       suspect->name);

	if (!config_suspect_has_effect(config, item))
		return 0;
	if (item->body.kind == CONFIG_RETIRE_SUSPECT) {
		config_object_remove(suspect_type(), config, (void *)existing);
		return 0;
	}
	if (existing)
		return suspect_add_crash(config, existing,
					 suspect->crashes.crashes_val,
					 revision);
	if (config->suspects.suspects_len == CONFIG_SUSPECTS_MAX)
		config_object_remove(suspect_type(), config,
				     suspect_oldest(config));
	return config_object_put(suspect_type(), config, suspect, revision);
}
