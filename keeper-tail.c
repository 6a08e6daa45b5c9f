#include <glib.h>
#include <stdio.h>
#include <string.h>
#include "config-target.h"
#include "keeper-core.h"

/* Characters of a prefix that need no escape. */
#define TAIL_PREFIX_CHARS "/-._~!$&'()*+;=:@"
/* Characters of a host, which is not escaped, besides letters and digits. */
#define TAIL_HOST_CHARS "-._:[]"

static bool tail_has(const char *list, const char *item)
{
	size_t size = strlen(item);

	while (*list) {
		size_t length = strcspn(list, ",");

		if (length == size && !memcmp(list, item, size))
			return true;
		list += length;
		list += *list == ',';
	}
	return false;
}

/* Adds an item to a list of @size bytes; returns false if it is too large for it. */
static bool tail_list_add(char *list, size_t size, const char *item)
{
	size_t used = strlen(list);

	if (tail_has(list, item))
		return true;
	if (used + strlen(item) + 2 > size)
		return false;
	snprintf(list + used, size - used, "%s%s", used ? "," : "", item);
	return true;
}

static bool tail_is_all(const keeper_tail_t *tail)
{
	return !strcmp(tail->routes, KEEPER_TAIL_ALL);
}

/* All calls wait, so no copy has to be named. */
static void tail_set_all(keeper_tail_t *tail)
{
	strcpy(tail->routes, KEEPER_TAIL_ALL);
	*tail->copies = '\0';
}

static bool tail_host_valid(const char *host)
{
	for (; *host; host++)
		if (!g_ascii_isalnum(*host) && !strchr(TAIL_HOST_CHARS, *host))
			return false;
	return true;
}

static void tail_add_route(keeper_tail_t *tail, const config_route_t *route)
{
	char *prefix;
	char *text;

	if (tail_is_all(tail))
		return;
	prefix = g_uri_escape_string(route->prefix, TAIL_PREFIX_CHARS, FALSE);
	text = g_strconcat(route->host, prefix, NULL);
	if (!tail_host_valid(route->host) ||
	    !tail_list_add(tail->routes, sizeof(tail->routes), text))
		tail_set_all(tail);
	g_free(text);
	g_free(prefix);
}

static void tail_add_copy(keeper_tail_t *tail, const char *name)
{
	char *text;

	if (tail_is_all(tail))
		return;
	text = g_uri_escape_string(name, NULL, FALSE);
	if (!tail_list_add(tail->copies, sizeof(tail->copies), text))
		tail_set_all(tail);
	g_free(text);
}

/* Adds the route that an item puts, and the one that it replaces or removes. */
static void tail_add_route_item(keeper_tail_t *tail, const config_t *config,
				const config_item_t *item)
{
	const config_route_t *route = &item->body.config_body_t_u.route;
	const config_route_t *old;

	old = config_object_find(config_object_type(CONFIG_PUT_ROUTE), config,
				 route);
	if (old)
		tail_add_route(tail, old);
	if (item->body.kind == CONFIG_PUT_ROUTE)
		tail_add_route(tail, route);
}

/* Adds the copies whose address a ready copy takes over. */
static void tail_add_displaced(keeper_tail_t *tail, const config_t *config,
			       const config_target_t *target)
{
	u_int i;

	for (i = 0; i < config->targets.targets_len; i++) {
		const config_target_t *other = &config->targets.targets_val[i];

		if (other->state == CONFIG_TARGET_READY &&
		    !strcmp(other->address, target->address) &&
		    strcmp(other->name, target->name))
			tail_add_copy(tail, other->name);
	}
}

/* Adds a copy that is ready in the applied configuration at another address or for
 * another service: calls must not be sent to the former address. */
static void tail_add_ready(keeper_tail_t *tail, const config_t *config,
			   const config_target_t *target)
{
	const config_target_t *old = config_find_target(config, target->name);

	if (!config_target_supersedes(old, target))
		return;
	if (old && old->state == CONFIG_TARGET_READY &&
	    (strcmp(old->address, target->address) ||
	     strcmp(old->service, target->service)))
		tail_add_copy(tail, target->name);
	tail_add_displaced(tail, config, target);
}

/* Adds the copies that an item takes out of service, known here or not: another
 * keeper may have applied the entry that has added them. */
static void tail_add_target_item(keeper_tail_t *tail, const config_t *config,
				 const config_item_t *item)
{
	const config_target_t *target = &item->body.config_body_t_u.target;

	if (item->body.kind == CONFIG_PUT_TARGET &&
	    target->state == CONFIG_TARGET_READY)
		tail_add_ready(tail, config, target);
	else
		tail_add_copy(tail, target->name);
}

/* Other objects decide neither which service runs a call nor which copies take it. */
static void tail_add_item(keeper_tail_t *tail, const config_t *config,
			  const config_item_t *item)
{
	switch (item->body.kind) {
	case CONFIG_PUT_ROUTE:
	case CONFIG_RETIRE_ROUTE:
		tail_add_route_item(tail, config, item);
		break;
	case CONFIG_PUT_TARGET:
	case CONFIG_RETIRE_TARGET:
		tail_add_target_item(tail, config, item);
		break;
	default:
		break;
	}
}

static void tail_add_entry(keeper_tail_t *tail, const config_t *config,
			   const keeper_entry_t *entry)
{
	config_change_t change = { 0 };
	u_int i;

	if (entry->kind != KEEPER_ENTRY_CHANGE)
		return;
	if (!keeper_body_unpack(entry->body.body_val, entry->body.body_len,
				&change)) {
		tail_set_all(tail);
		return;
	}
	for (i = 0; i < change.items.items_len; i++)
		tail_add_item(tail, config, &change.items.items_val[i]);
	xdr_free((xdrproc_t)xdr_config_change_t, (char *)&change);
}

/* Whether the entries that the tail covers are still those of the log. */
static bool tail_is_current(const keeper_tail_t *tail,
			    const keeper_entries_t *entries, uint64_t applied)
{
	uint64_t term;

	return tail->applied == applied && tail->last >= applied &&
	       keeper_entries_term(entries, tail->last, &term) &&
	       tail->last_term == term;
}

void keeper_tail_update(keeper_tail_t *tail, const keeper_entries_t *entries,
			uint64_t applied, const config_t *config)
{
	uint64_t last = keeper_entries_last(entries);
	uint64_t from = tail->last;
	uint64_t index;

	if (!tail_is_current(tail, entries, applied)) {
		*tail->routes = '\0';
		*tail->copies = '\0';
		from = applied;
	}
	for (index = from + 1; index <= last; index++) {
		const keeper_entry_t *entry = keeper_entries_at(entries, index);

		if (entry)
			tail_add_entry(tail, config, entry);
	}
	tail->applied = applied;
	tail->last = last;
	tail->last_term = 0;
	keeper_entries_term(entries, last, &tail->last_term);
}
