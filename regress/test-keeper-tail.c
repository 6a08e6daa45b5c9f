#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-core.h"

/*
 * Guards against a keeper that does not name a route which the end of its log may
 * change. Each line of a case is a command, with the expected list of routes after it:
 * "put TERM NAME HOST PREFIX" and "retire TERM NAME" append an entry that puts or
 * retires a route, "pool TERM" one that puts a pool, "group TERM" one that changes the
 * group, "bad TERM" one that does not decode. "cut LAST" removes the entries after
 * LAST, "apply INDEX" makes INDEX the last applied entry. The configuration has the
 * routes r1, h.example/1/, and r2, h.example/2/.
 */

#define FIELDS_MAX 8
#define MANY_ROUTES 200

static const struct {
	const char *name;
	const char *text;
} cases[] = {
	{ "new-route", "put 1 r3 i.example /3/ = i.example/3/\n" },
	{ "same-prefix", "put 1 r1 h.example /1/ = h.example/1/\n" },
	{ "other-prefix",
	  "put 1 r1 h.example /x/ = h.example/1/,h.example/x/\n" },
	{ "retired", "retire 1 r2 = h.example/2/\n" },
	{ "retired-unknown", "retire 1 r9 = \n" },
	{ "several", "put 1 r3 h.example /3/ = h.example/3/\n"
		     "retire 1 r3 = h.example/3/\n"
		     "put 1 r4 h.example /4/ = h.example/3/,h.example/4/\n"
		     "put 1 r4 h.example /4/ = h.example/3/,h.example/4/\n" },
	{ "part-of-another", "put 1 r3 h.example /3/4/ = h.example/3/4/\n"
			     "put 1 r4 h.example /3/ = "
			     "h.example/3/4/,h.example/3/\n" },
	{ "other-objects", "pool 1 = \n"
			   "group 1 = \n" },
	{ "not-decoded", "bad 1 = *\n"
			 "put 1 r3 h.example /3/ = *\n" },
	{ "applied", "put 1 r3 h.example /3/ = h.example/3/\n"
		     "put 1 r4 h.example /4/ = h.example/3/,h.example/4/\n"
		     "apply 1 = h.example/4/\n"
		     "apply 2 = \n"
		     "put 1 r5 h.example /5/ = h.example/5/\n" },
	{ "replaced-by-another-leader",
	  "put 1 r3 h.example /3/ = h.example/3/\n"
	  "put 1 r4 h.example /4/ = h.example/3/,h.example/4/\n"
	  "cut 1 = h.example/3/\n"
	  "put 2 r5 h.example /5/ = h.example/3/,h.example/5/\n" },
	{ "escaped", "put 1 r3 h.example /a,b%c*/ = h.example/a%2Cb%25c*/\n" },
	{ "host-not-in-a-list", "put 1 r3 h,i.example /3/ = *\n" },
};

typedef struct {
	keeper_tail_t tail;
	keeper_entries_t entries;
	uint64_t applied;
	config_t config;
} world_t;

static config_route_t make_route(const char *name, const char *host,
				 const char *prefix)
{
	return (config_route_t){ .name = (char *)name,
				 .host = (char *)host,
				 .prefix = (char *)prefix };
}

static void append(world_t *world, uint64_t term, keeper_entry_kind_t kind,
		   char *body, size_t size)
{
	keeper_entry_t entry = {
		.index = keeper_entries_last(&world->entries) + 1,
		.term = term,
		.kind = kind,
		.body = { .body_len = (u_int)size, .body_val = body },
	};

	g_assert_true(keeper_entries_push(&world->entries, &entry));
}

static void append_items(world_t *world, uint64_t term, config_item_t *items,
			 unsigned count)
{
	config_change_t change = { .id = (char *)"c",
				   .author = (char *)"a",
				   .items = { count, items } };
	char *body;
	size_t size;

	g_assert_true(keeper_body_pack(&change, &body, &size));
	append(world, term, KEEPER_ENTRY_CHANGE, body, size);
	free(body);
}

static void append_route(world_t *world, uint64_t term, config_item_kind_t kind,
			 const config_route_t *route)
{
	config_item_t item = { .body.kind = kind };

	item.body.config_body_t_u.route = *route;
	append_items(world, term, &item, 1);
}

static void run_command(world_t *world, char **fields)
{
	uint64_t number = strtoull(fields[1], NULL, 10);
	config_item_t pool = { .body.kind = CONFIG_PUT_POOL };
	config_route_t route;
	char bad[] = "bad";

	if (!strcmp(fields[0], "put")) {
		route = make_route(fields[2], fields[3], fields[4]);
		append_route(world, number, CONFIG_PUT_ROUTE, &route);
	} else if (!strcmp(fields[0], "retire")) {
		route = make_route(fields[2], "", "");
		append_route(world, number, CONFIG_RETIRE_ROUTE, &route);
	} else if (!strcmp(fields[0], "pool")) {
		pool.body.config_body_t_u.pool.name = (char *)"r1";
		pool.body.config_body_t_u.pool.health_path = (char *)"/";
		append_items(world, number, &pool, 1);
	} else if (!strcmp(fields[0], "group")) {
		append(world, number, KEEPER_ENTRY_GROUP, bad, strlen(bad));
	} else if (!strcmp(fields[0], "bad")) {
		append(world, number, KEEPER_ENTRY_CHANGE, bad, strlen(bad));
	} else if (!strcmp(fields[0], "cut")) {
		keeper_entries_truncate(&world->entries, number);
	} else {
		g_assert_cmpstr(fields[0], ==, "apply");
		world->applied = number;
	}
}

static void world_init(world_t *world, config_route_t routes[2])
{
	memset(world, 0, sizeof(*world));
	routes[0] = make_route("r1", "h.example", "/1/");
	routes[1] = make_route("r2", "h.example", "/2/");
	world->config.routes.routes_val = routes;
	world->config.routes.routes_len = 2;
}

static void world_update(world_t *world)
{
	keeper_tail_update(&world->tail, &world->entries, world->applied,
			   &world->config);
}

static void run_case(gconstpointer data)
{
	const char *text = data;
	char **lines = g_strsplit(text, "\n", 0);
	config_route_t routes[2];
	world_t world;
	unsigned i;

	world_init(&world, routes);
	for (i = 0; lines[i] && *lines[i]; i++) {
		char **sides = g_strsplit(lines[i], " = ", 2);
		char **fields = g_strsplit(sides[0], " ", FIELDS_MAX);

		g_test_message("%s", lines[i]);
		run_command(&world, fields);
		world_update(&world);
		g_assert_cmpstr(world.tail.routes, ==, sides[1]);
		g_strfreev(fields);
		g_strfreev(sides);
	}
	g_strfreev(lines);
	keeper_entries_free(&world.entries);
}

/* A list that would be too large becomes that of all routes. */
static void test_many(void)
{
	config_route_t routes[2];
	config_route_t route;
	world_t world;
	unsigned i;

	world_init(&world, routes);
	for (i = 0; i < MANY_ROUTES; i++) {
		char *prefix = g_strdup_printf("/many/%u/", i);

		route = make_route("many", "h.example", prefix);
		append_route(&world, 1, CONFIG_PUT_ROUTE, &route);
		world_update(&world);
		g_assert_true(!strcmp(world.tail.routes, KEEPER_TAIL_ALL) ||
			      g_str_has_suffix(world.tail.routes, prefix));
		g_free(prefix);
	}
	g_assert_cmpstr(world.tail.routes, ==, KEEPER_TAIL_ALL);
	world.applied = MANY_ROUTES - 1;
	world_update(&world);
	g_assert_cmpstr(world.tail.routes, ==, "h.example/many/199/");
	keeper_entries_free(&world.entries);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *path = g_strdup_printf("/keeper-tail/%s", cases[i].name);

		g_test_add_data_func(path, cases[i].text, run_case);
		g_free(path);
	}
	g_test_add_func("/keeper-tail/many", test_many);
	return g_test_run();
}
