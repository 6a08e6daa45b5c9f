#include <glib.h>
#include <string.h>
#include "config-suspect.h"
#include "entry-suspect.h"

/* Time for which a crash is reported while the configuration lacks it. */
#define SUSPECT_REPORT_TIMEOUT (60 * USEC_PER_SEC)
/* Time after which an entry forgets crashes that only it has seen. */
#define SUSPECT_AGE_MAX (3600 * USEC_PER_SEC)

/* One suspected call. */
typedef struct {
	uint64_t revision; /* in the configuration; 0: not there */
	unsigned declared; /* crashes in the configuration */
	unsigned seen;	   /* crashes in @crashes */
	entry_crash_t crashes[CONFIG_SUSPECT_CRASHES_MAX];
	usec_t known_at; /* when the last crash became known */
} suspect_t;

struct entry_suspects {
	GHashTable *by_digest; /* digest to suspect_t */
};

entry_suspects_t *entry_suspects_new(void)
{
	entry_suspects_t *suspects = g_new0(entry_suspects_t, 1);

	suspects->by_digest = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
	return suspects;
}

void entry_suspects_free(entry_suspects_t *suspects)
{
	if (!suspects)
		return;
	g_hash_table_destroy(suspects->by_digest);
	g_free(suspects);
}

unsigned entry_suspects_count(const entry_suspects_t *suspects)
{
	return g_hash_table_size(suspects->by_digest);
}

static unsigned suspect_crashes(const suspect_t *suspect)
{
	return suspect->declared + suspect->seen;
}

static bool suspect_is_blocked(const suspect_t *suspect)
{
	return suspect_crashes(suspect) >= CONFIG_SUSPECT_CRASHES_MAX;
}

static suspect_t *suspects_find_or_add(entry_suspects_t *suspects,
				       const char *digest)
{
	suspect_t *suspect = g_hash_table_lookup(suspects->by_digest, digest);

	if (suspect)
		return suspect;
	suspect = g_new0(suspect_t, 1);
	g_hash_table_insert(suspects->by_digest, g_strdup(digest), suspect);
	return suspect;
}

static void suspect_add_crash(suspect_t *suspect, const entry_crash_t *crash)
{
	if (suspect->seen < CONFIG_SUSPECT_CRASHES_MAX)
		suspect->crashes[suspect->seen++] = *crash;
}

void entry_suspects_add(entry_suspects_t *suspects, const entry_crash_t *crash)
{
	suspect_t *suspect;

	if (entry_suspects_count(suspects) >= CONFIG_SUSPECTS_MAX)
		return;
	suspect = suspects_find_or_add(suspects, crash->digest);
	if (suspect_crashes(suspect) && crash->sent < suspect->known_at)
		return;
	suspect_add_crash(suspect, crash);
	suspect->known_at = crash->at;
}

bool entry_suspects_blocked(const entry_suspects_t *suspects,
			    const char *digest)
{
	const suspect_t *suspect = g_hash_table_lookup(suspects->by_digest,
						       digest);

	return suspect && suspect_is_blocked(suspect);
}

bool entry_suspects_clear(entry_suspects_t *suspects, const char *digest,
			  uint64_t *revision)
{
	const suspect_t *suspect = g_hash_table_lookup(suspects->by_digest,
						       digest);

	if (!suspect || suspect_is_blocked(suspect))
		return false;
	*revision = suspect->revision;
	g_hash_table_remove(suspects->by_digest, digest);
	return true;
}

/* Whether the configuration has a crash that this entry has seen. */
static bool suspect_is_declared(const config_suspect_t *declared,
				const entry_crash_t *crash)
{
	u_int i;

	for (i = 0; i < declared->crashes.crashes_len; i++) {
		const config_crash_t *known = &declared->crashes.crashes_val[i];

		if (!strcmp(known->copy, crash->copy) &&
		    known->started_ms == crash->started_ms)
			return true;
	}
	return false;
}

/* Keeps the crashes that were seen lately and that @declared lacks. */
static void suspect_keep_seen(suspect_t *suspect, const suspect_t *old,
			      const config_suspect_t *declared, usec_t now)
{
	unsigned i;

	for (i = 0; i < old->seen; i++) {
		const entry_crash_t *crash = &old->crashes[i];

		if (now - crash->at < SUSPECT_REPORT_TIMEOUT &&
		    !(declared && suspect_is_declared(declared, crash)))
			suspect_add_crash(suspect, crash);
	}
	if (suspect->seen || suspect->revision == old->revision)
		suspect->known_at = old->known_at;
}

static void suspects_declare(entry_suspects_t *suspects,
			     const config_suspect_t *declared, usec_t now)
{
	suspect_t *suspect = suspects_find_or_add(suspects, declared->name);
	suspect_t old = *suspect;

	memset(suspect, 0, sizeof(*suspect));
	suspect->revision = declared->revision;
	suspect->declared = declared->crashes.crashes_len;
	suspect->known_at = now;
	suspect_keep_seen(suspect, &old, declared, now);
}

/* Context of suspects_drop_undeclared(). */
typedef struct {
	const config_t *config;
	usec_t now;
} suspects_apply_t;

/* Updates a suspect that the configuration does not have; true if nothing is
   left of it. */
static gboolean suspects_drop_undeclared(gpointer key, gpointer value,
					 gpointer context)
{
	const suspects_apply_t *apply = context;
	suspect_t *suspect = value;
	suspect_t old = *suspect;

	if (config_suspect_find(apply->config, key))
		return FALSE;
	memset(suspect, 0, sizeof(*suspect));
	suspect_keep_seen(suspect, &old, NULL, apply->now);
	return suspect->seen == 0;
}

void entry_suspects_apply(entry_suspects_t *suspects, const config_t *config,
			  usec_t now)
{
	suspects_apply_t apply = { config, now };
	u_int i;

	for (i = 0; i < config->suspects.suspects_len; i++)
		suspects_declare(suspects, &config->suspects.suspects_val[i],
				 now);
	g_hash_table_foreach_remove(suspects->by_digest,
				    suspects_drop_undeclared, &apply);
}

void entry_suspects_each_unconfirmed(
	const entry_suspects_t *suspects, usec_t now,
	void (*each)(void *context, const entry_crash_t *crash), void *context)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, suspects->by_digest);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const suspect_t *suspect = value;

		for (i = 0; i < suspect->seen; i++)
			if (now - suspect->crashes[i].at <
			    SUSPECT_REPORT_TIMEOUT)
				each(context, &suspect->crashes[i]);
	}
}

static gboolean suspect_is_expired(gpointer key, gpointer value,
				   gpointer context)
{
	const suspect_t *suspect = value;
	const usec_t *now = context;

	(void)key;
	return !suspect->declared && *now - suspect->known_at > SUSPECT_AGE_MAX;
}

void entry_suspects_expire(entry_suspects_t *suspects, usec_t now)
{
	g_hash_table_foreach_remove(suspects->by_digest, suspect_is_expired,
				    &now);
}
