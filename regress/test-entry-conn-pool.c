#include <glib.h>
#include <stdio.h>
#include "entry-io.h"

/*
 * Guards against a connection that carries two calls with the same id: a late second
 * response to the first would be taken for the response to the second.
 */

#define ADDRESS "127.0.0.1:9"
#define IDLE_MAX 4

/* Calls sent one after the other; the connection of each, by its first call. */
static const struct {
	const char *name;
	const char *ids[4];
	unsigned connection[4]; /* index of the call that opened it */
} rows[] = {
	{ "other-ids", { "a", "b", "c", "d" }, { 0, 0, 0, 0 } },
	{ "repeated", { "a", "a", "a", "a" }, { 0, 1, 2, 3 } },
	{ "repeated-later", { "a", "b", "c", "a" }, { 0, 0, 0, 3 } },
	{ "used-last-first", { "a", "a", "b", "c" }, { 0, 1, 1, 1 } },
	{ "another-idle-one", { "a", "a", "b", "b" }, { 0, 1, 1, 0 } },
	{ "without-ids", { "", "", "", "" }, { 0, 0, 0, 0 } },
};

static void test_row(gconstpointer context)
{
	const unsigned row = GPOINTER_TO_UINT(context);
	entry_conn_pool_t *pool = entry_conn_pool_new(ADDRESS, IDLE_MAX);
	entry_conn_t *used[G_N_ELEMENTS(rows[0].ids)];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(used); i++) {
		used[i] = entry_conn_pool_get(pool, rows[row].ids[i], false);
		g_assert_true(used[i] == used[rows[row].connection[i]]);
		entry_conn_pool_put(pool, used[i], true, (usec_t)i);
	}
	entry_conn_pool_unref(pool);
}

/* The digests of a connection would grow without end. */
static void test_calls_max(void)
{
	entry_conn_pool_t *pool = entry_conn_pool_new(ADDRESS, IDLE_MAX);
	entry_conn_t *conn;
	char id[32];
	unsigned i;

	for (i = 0; i < ENTRY_CONN_CALLS_MAX; i++) {
		g_assert_cmpuint(pool->idle_count, ==, i > 0);
		snprintf(id, sizeof(id), "call-%u", i);
		conn = entry_conn_pool_get(pool, id, false);
		g_assert_cmpuint(conn->calls, ==, i + 1);
		entry_conn_pool_put(pool, conn, true, 0);
	}
	g_assert_cmpuint(pool->idle_count, ==, 0);
	entry_conn_pool_unref(pool);
}

/* A connection that libcurl has opened in place of another has carried one call. */
static void test_reopened(void)
{
	entry_conn_pool_t *pool = entry_conn_pool_new(ADDRESS, IDLE_MAX);
	entry_conn_t *first = entry_conn_pool_get(pool, "a", false);
	uint64_t number = first->number;
	entry_conn_t *second;

	entry_conn_pool_put(pool, first, true, 0);
	g_assert_true(entry_conn_pool_get(pool, "b", false) == first);
	entry_conn_reopened(first, "b");
	g_assert_cmpuint(first->number, !=, number);
	g_assert_cmpuint(first->calls, ==, 1);
	entry_conn_pool_put(pool, first, true, 0);
	g_assert_true(entry_conn_pool_get(pool, "a", false) == first);
	entry_conn_pool_put(pool, first, true, 0);
	second = entry_conn_pool_get(pool, "b", false);
	g_assert_true(second != first);
	entry_conn_pool_put(pool, second, false, 0);
	entry_conn_pool_unref(pool);
}

int main(int argc, char **argv)
{
	unsigned i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *path = g_strdup_printf("/entry-conn-pool/%s",
					     rows[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_row);
		g_free(path);
	}
	g_test_add_func("/entry-conn-pool/calls-max", test_calls_max);
	g_test_add_func("/entry-conn-pool/reopened", test_reopened);
	return g_test_run();
}
