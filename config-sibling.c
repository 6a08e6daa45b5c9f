#include <glib.h>
#include <string.h>
#include "config-sibling.h"

/* Pause between two questions, which doubles after each so many of them that led to
 * no confirmation. */
#define SIBLING_PAUSE (500 * USEC_PER_MS)
#define SIBLING_PAUSE_MAX (2 * USEC_PER_SEC)
#define SIBLING_PAUSE_QUESTIONS 8
/* Age of the last confirmation from which one poll without another one suffices. */
#define SIBLING_LONG_AGE (4 * USEC_PER_SEC)
/* Maximum time between the answers of two siblings that name a newer revision. */
#define SIBLING_REVISION_AGE_MAX (2500 * USEC_PER_MS)
/* A list replaces one that was not polled yet, unless the confirmation of its
 * sibling is older by more than this. Siblings in touch with a leading keeper differ
 * by less. */
#define SIBLING_LIST_SLACK (2500 * USEC_PER_MS)
/* Largest age in an answer. */
#define SIBLING_AGE_MAX (G_MAXINT64 / 4)

static bool sibling_address_valid(const char *address)
{
	struct sockaddr_storage storage;
	unsigned length;

	return strlen(address) < HL_ADDRESS_MAX &&
	       !hl_address_parse(address, &storage, &length);
}

bool config_sibling_read_keepers(const char *text, setting_list_t *out)
{
	char **items = g_strsplit(text, ",", PRESENCE_KEEPERS_MAX + 1);
	bool valid = *items != NULL;
	unsigned i;

	out->count = 0;
	for (i = 0; valid && items[i]; i++) {
		g_strstrip(items[i]);
		valid = i < PRESENCE_KEEPERS_MAX &&
			sibling_address_valid(items[i]);
		if (valid)
			strcpy(out->items[out->count++], items[i]);
	}
	if (!valid)
		out->count = 0;
	g_strfreev(items);
	return valid;
}

bool config_sibling_due(const config_sibling_t *sibling,
			const config_sibling_view_t *view, usec_t now)
{
	usec_t age = now - view->newest_at;

	if (!view->newest_at || now < sibling->ask_at ||
	    age <= view->confirm_max)
		return false;
	if (age > SIBLING_LONG_AGE)
		return view->unconfirmed > 0;
	return view->unconfirmed >= view->keepers.count;
}

static usec_t sibling_pause(const config_sibling_t *sibling)
{
	unsigned doublings = sibling->asked / SIBLING_PAUSE_QUESTIONS;
	usec_t pause = SIBLING_PAUSE;

	while (doublings-- > 0 && pause < SIBLING_PAUSE_MAX)
		pause *= 2;
	return pause;
}

const char *config_sibling_next(config_sibling_t *sibling,
				const setting_list_t *siblings, usec_t now)
{
	sibling->ask_at = now + sibling_pause(sibling);
	if (!siblings->count)
		return NULL;
	sibling->asked++;
	return siblings->items[sibling->next++ % siblings->count];
}

static bool sibling_list_has(const setting_list_t *list, const char *address)
{
	unsigned i;

	for (i = 0; i < list->count; i++)
		if (!strcmp(list->items[i], address))
			return true;
	return false;
}

/* Whether a list has an address that the follower does not poll anyway. */
static bool sibling_names_other(const setting_list_t *list,
				const setting_list_t *own)
{
	unsigned i;

	for (i = 0; i < list->count; i++)
		if (!sibling_list_has(own, list->items[i]))
			return true;
	return false;
}

/* Takes over a list unless a better one waits to be polled. */
static bool sibling_take_keepers(config_sibling_t *sibling, const char *address,
				 const config_sibling_view_t *view,
				 const config_sibling_answer_t *answer,
				 usec_t now)
{
	usec_t at = now - answer->confirmed_age;

	if (answer->keepers_revision &&
	    answer->keepers_revision < view->keepers_revision)
		return false;
	if (answer->confirmed_age > SIBLING_AGE_MAX || at <= view->newest_at ||
	    !sibling_names_other(&answer->keepers, &view->keepers))
		return false;
	if (sibling->untried < sibling->keepers.count &&
	    at < sibling->keepers_at - SIBLING_LIST_SLACK)
		return false;
	sibling->keepers = answer->keepers;
	sibling->keepers_at = at;
	sibling->untried = 0;
	sibling->polls = 0;
	sibling->leaders = 0;
	g_strlcpy(sibling->source, address, sizeof(sibling->source));
	return true;
}

/* Records a newer revision. Returns the one that this and another sibling have
 * reached, or 0. */
static uint64_t sibling_take_revision(config_sibling_t *sibling,
				      const char *address, uint64_t revision,
				      uint64_t in_force, usec_t now)
{
	uint64_t agreed = 0;

	if (sibling->newer.at && strcmp(sibling->newer.address, address) &&
	    now - sibling->newer.at <= SIBLING_REVISION_AGE_MAX)
		agreed = MIN(sibling->newer.revision, revision);
	g_strlcpy(sibling->newer.address, address,
		  sizeof(sibling->newer.address));
	sibling->newer.revision = revision;
	sibling->newer.at = now;
	return agreed > in_force ? agreed : 0;
}

config_sibling_result_t config_sibling_on_answer(
	config_sibling_t *sibling, const config_sibling_view_t *view,
	const char *address, const config_sibling_answer_t *answer, usec_t now,
	uint64_t *reported)
{
	bool poll;

	*reported = 0;
	if (answer->malformed || answer->cluster != view->cluster ||
	    answer->keepers.count > PRESENCE_KEEPERS_MAX)
		return CONFIG_SIBLING_DROPPED;
	poll = sibling_take_keepers(sibling, address, view, answer, now);
	if (answer->revision > view->revision) {
		*reported = sibling_take_revision(sibling, address,
						  answer->revision,
						  view->revision, now);
		poll = true;
	}
	return poll ? CONFIG_SIBLING_POLL : CONFIG_SIBLING_USELESS;
}

const char *config_sibling_keeper(config_sibling_t *sibling)
{
	if (sibling->untried >= sibling->keepers.count || sibling->polls++ % 2)
		return NULL;
	return sibling->keepers.items[sibling->untried++];
}

void config_sibling_add_leader(config_sibling_t *sibling, const char *address)
{
	if (!sibling_address_valid(address) || !sibling->untried ||
	    sibling->leaders == PRESENCE_KEEPERS_MAX)
		return;
	sibling->leaders++;
	/* The place of an address that was polled. */
	sibling->untried--;
	strcpy(sibling->keepers.items[sibling->untried], address);
	sibling->polls = 0;
}

void config_sibling_confirmed(config_sibling_t *sibling)
{
	unsigned next = sibling->next;

	memset(sibling, 0, sizeof(*sibling));
	sibling->next = next;
}
