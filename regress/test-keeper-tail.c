#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "keeper-core.h"

/*
 * Guards against a keeper that does not name a route, or a copy, which the end of its log
 * may change or take out of service. Each line of a case is a command, with the expected
 * list of routes after it, and after a "|" that of the copies, else it is empty:
 * "put TERM NAME HOST PREFIX" and "retire TERM NAME" append an entry that puts or
 * retires a route, "pool TERM" one that puts a pool, "group TERM" one that changes the
 * group, "bad TERM" one that does not decode. "copy TERM NAME STATE START ADDRESS
 * SERVICE" appends an entry that puts a copy whose process has this start time and
 * "gone TERM NAME" one that retires a copy. "cut LAST" removes the entries after
 * LAST, "apply INDEX" makes INDEX the last applied entry. The configuration has the
 * routes r1, h.example/1/, r2, h.example/2/, and r8, h,i.example/8/, and the copies c1, at a:1, and c2, at
 * a:2, ready, and c3, at a:3, draining, of the service s, with start time 5.
 */

#define FIELDS_MAX 8
#define MANY_ROUTES 200
#define MANY_COPIES 200

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
	{ "replaced-host-not-in-a-list", "put 1 r8 h.example /3/ = *\n" },
	{ "draining", "copy 1 c1 draining 5 a:1 s = |c1\n" },
	{ "left", "copy 1 c1 left 5 a:1 s = |c1\n" },
	{ "displaced", "copy 1 c1 displaced 5 a:1 s = |c1\n" },
	{ "unknown-copy", "copy 1 c9 draining 5 a:9 s = |c9\n" },
	{ "retired-copy", "gone 1 c1 = |c1\n" },
	{ "retired-unknown-copy", "gone 1 c9 = |c9\n" },
	{ "ready", "copy 1 c1 ready 6 a:1 s = \n"
		   "copy 1 c9 ready 5 a:9 s = \n" },
	{ "ready-after-draining", "copy 1 c3 ready 6 a:4 s = \n" },
	{ "other-address", "copy 1 c1 ready 6 a:9 s = |c1\n" },
	{ "other-service", "copy 1 c1 ready 6 a:1 t = |c1\n" },
	{ "address-before-a-start", "copy 1 c1 ready 4 a:9 s = \n" },
	{ "address-taken-over", "copy 1 c9 ready 5 a:1 s = |c1\n" },
	{ "address-of-a-draining-copy", "copy 1 c9 ready 5 a:3 s = \n" },
	{ "several-copies", "copy 1 c2 draining 5 a:2 s = |c2\n"
			    "copy 1 c1 left 5 a:1 s = |c2,c1\n"
			    "copy 1 c2 left 5 a:2 s = |c2,c1\n" },
	{ "copy-and-route", "copy 1 c2 draining 5 a:2 s = |c2\n"
			    "put 1 r3 h.example /3/ = h.example/3/|c2\n"
			    "apply 1 = h.example/3/\n"
			    "apply 2 = \n" },
	{ "copy-replaced-by-another-leader",
	  "copy 1 c1 draining 5 a:1 s = |c1\n"
	  "copy 1 c2 draining 5 a:2 s = |c1,c2\n"
	  "cut 1 = |c1\n"
	  "copy 2 c9 draining 5 a:9 s = |c1,c9\n" },
	{ "escaped-copy", "copy 1 a,b% draining 5 a:9 s = |a%2Cb%25\n" },
	{ "copy-before-not-decoded", "copy 1 c1 draining 5 a:1 s = |c1\n"
				     "bad 1 = *\n"
				     "copy 1 c2 draining 5 a:2 s = *\n"
				     "put 1 r3 h.example /3/ = *\n" },
};

typedef struct {
	keeper_tail_t tail;
	keeper_entries_t entries;
	uint64_t applied;
	config_t config;
	config_route_t routes[3];
	config_target_t targets[3];
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

static config_target_t make_copy(const char *name, config_target_state_t state,
				 uint64_t started_ms, const char *address,
				 const char *service)
{
	return (config_target_t){ .name = (char *)name,
				  .service = (char *)service,
				  .started_ms = started_ms,
				  .state = state,
				  .address = (char *)address,
				  .zone = (char *)"" };
}

static void append_copy(world_t *world, uint64_t term, config_item_kind_t kind,
			const config_target_t *target)
{
	config_item_t item = { .body.kind = kind };

	item.body.config_body_t_u.target = *target;
	append_items(world, term, &item, 1);
}

static config_target_state_t read_state(const char *word)
{
	static const char *const words[] = {
		[CONFIG_TARGET_READY] = "ready",
		[CONFIG_TARGET_DRAINING] = "draining",
		[CONFIG_TARGET_LEFT] = "left",
		[CONFIG_TARGET_DISPLACED] = "displaced",
	};
	unsigned i = 0;

	while (i < G_N_ELEMENTS(words) && strcmp(words[i], word) != 0)
		i++;
	g_assert_cmpuint(i, <, G_N_ELEMENTS(words));
	return i;
}

static void run_command(world_t *world, char **fields)
{
	uint64_t number = strtoull(fields[1], NULL, 10);
	config_item_t pool = { .body.kind = CONFIG_PUT_POOL };
	config_target_t copy;
	config_route_t route;
	char bad[] = "bad";

	if (!strcmp(fields[0], "put")) {
		route = make_route(fields[2], fields[3], fields[4]);
		append_route(world, number, CONFIG_PUT_ROUTE, &route);
	} else if (!strcmp(fields[0], "retire")) {
		route = make_route(fields[2], "", "");
		append_route(world, number, CONFIG_RETIRE_ROUTE, &route);
	} else if (!strcmp(fields[0], "copy")) {
		copy = make_copy(fields[2], read_state(fields[3]),
				 strtoull(fields[4], NULL, 10), fields[5],
				 fields[6]);
		append_copy(world, number, CONFIG_PUT_TARGET, &copy);
	} else if (!strcmp(fields[0], "gone")) {
		copy = make_copy(fields[2], CONFIG_TARGET_READY, 0, "", "");
		append_copy(world, number, CONFIG_RETIRE_TARGET, &copy);
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

static void world_init(world_t *world)
{
	memset(world, 0, sizeof(*world));
	world->routes[0] = make_route("r1", "h.example", "/1/");
	world->routes[1] = make_route("r2", "h.example", "/2/");
	world->routes[2] = make_route("r8", "h,i.example", "/8/");
	world->config.routes.routes_val = world->routes;
	world->config.routes.routes_len = G_N_ELEMENTS(world->routes);
	world->targets[0] = make_copy("c1", CONFIG_TARGET_READY, 5, "a:1", "s");
	world->targets[1] = make_copy("c2", CONFIG_TARGET_READY, 5, "a:2", "s");
	world->targets[2] = make_copy("c3", CONFIG_TARGET_DRAINING, 5, "a:3",
				      "s");
	world->config.targets.targets_val = world->targets;
	world->config.targets.targets_len = G_N_ELEMENTS(world->targets);
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
	world_t world;
	unsigned i;

	world_init(&world);
	for (i = 0; lines[i] && *lines[i]; i++) {
		char **sides = g_strsplit(lines[i], " = ", 2);
		char **fields = g_strsplit(sides[0], " ", FIELDS_MAX);
		char **lists;

		g_test_message("%s", lines[i]);
		run_command(&world, fields);
		world_update(&world);
		lists = g_strsplit(sides[1], "|", 2);
		g_assert_cmpstr(world.tail.routes, ==, *lists ? lists[0] : "");
		g_assert_cmpstr(world.tail.copies, ==,
				*lists && lists[1] ? lists[1] : "");
		g_strfreev(lists);
		g_strfreev(fields);
		g_strfreev(sides);
	}
	g_strfreev(lines);
	keeper_entries_free(&world.entries);
}

/* A list that would be too large becomes that of all routes. */
static void test_many(void)
{
	config_route_t route;
	world_t world;
	unsigned i;

	world_init(&world);
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

/* With a list of copies that would be too large all calls wait, and no copy is named. */
static void test_many_copies(void)
{
	config_target_t copy;
	world_t world;
	unsigned i;

	world_init(&world);
	for (i = 0; i < MANY_COPIES; i++) {
		char *name = g_strdup_printf("copy-of-many-%03u", i);

		copy = make_copy(name, CONFIG_TARGET_DRAINING, 5, "a:9", "s");
		append_copy(&world, 1, CONFIG_PUT_TARGET, &copy);
		world_update(&world);
		if (!strcmp(world.tail.routes, KEEPER_TAIL_ALL))
			g_assert_cmpstr(world.tail.copies, ==, "");
		else
			g_assert_true(
				g_str_has_suffix(world.tail.copies, name));
		g_free(name);
	}
	g_assert_cmpstr(world.tail.routes, ==, KEEPER_TAIL_ALL);
	world.applied = MANY_COPIES - 1;
	world_update(&world);
	g_assert_cmpstr(world.tail.routes, ==, "");
	g_assert_cmpstr(world.tail.copies, ==, "copy-of-many-199");
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
	g_test_add_func("/keeper-tail/many-copies", test_many_copies);
	return g_test_run();
}
