#include <glib.h>
#include <stdio.h>
#include <string.h>
#include "keeper-core.h"

/* Characters of a prefix that need no escape. */
#define TAIL_PREFIX_CHARS "/-._~!$&'()*+;=:@"
/* Characters of a host, which is not escaped, besides letters and digits. */
#define TAIL_HOST_CHARS "-._:[]"

static bool tail_has(const char *routes, const char *route)
{
	size_t length = strlen(route);

	while (*routes) {
		size_t item = strcspn(routes, ",");

		if (item == length && !memcmp(routes, route, length))
			return true;
		routes += item;
		routes += *routes == ',';
	}
	return false;
}

static void tail_add(keeper_tail_t *tail, const char *route)
{
	size_t used = strlen(tail->routes);

	if (!strcmp(tail->routes, KEEPER_TAIL_ALL) ||
	    tail_has(tail->routes, route))
		return;
	if (used + strlen(route) + 2 > sizeof(tail->routes))
		strcpy(tail->routes, KEEPER_TAIL_ALL);
	else
		snprintf(tail->routes + used, sizeof(tail->routes) - used,
			 "%s%s", used ? "," : "", route);
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
	char *prefix = g_uri_escape_string(route->prefix, TAIL_PREFIX_CHARS,
					   FALSE);
	char *text = g_strconcat(route->host, prefix, NULL);

	tail_add(tail, tail_host_valid(route->host) ? text : KEEPER_TAIL_ALL);
	g_free(text);
	g_free(prefix);
}

/* Adds the route that an item puts, and the one that it replaces or removes. Other
 * objects do not decide which service runs a call. */
static void tail_add_item(keeper_tail_t *tail, const config_t *config,
			  const config_item_t *item)
{
	const config_route_t *route = &item->body.config_body_t_u.route;
	const config_route_t *old;

	if (item->body.kind != CONFIG_PUT_ROUTE &&
	    item->body.kind != CONFIG_RETIRE_ROUTE)
		return;
	old = config_object_find(config_object_type(CONFIG_PUT_ROUTE), config,
				 route);
	if (old)
		tail_add_route(tail, old);
	if (item->body.kind == CONFIG_PUT_ROUTE)
		tail_add_route(tail, route);
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
		tail_add(tail, KEEPER_TAIL_ALL);
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
