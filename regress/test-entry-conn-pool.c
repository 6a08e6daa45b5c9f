#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
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

/* What the peer of an idle connection has done before a sweep or the next call. */
static const struct {
	const char *name;
	bool sends;
	bool closes;
	bool renews;   /* whether calls get new connections then */
	unsigned idle; /* left by a sweep */
	unsigned
		taken; /* by the next call: 2: it, 1: another one, 0: a new one */
} sweeps[] = {
	{ "silent", false, false, false, 2, 2 },
	{ "closed", false, true, false, 1, 1 },
	{ "stray", true, false, true, 0, 0 },
	{ "response-to-idle-time-and-closed", true, true, false, 1, 1 },
};

/* Returns two connections to their pool; the peer of @second does as the row says. */
static void pool_fill(entry_conn_pool_t *pool, entry_conn_t *first,
		      entry_conn_t *second, unsigned row, int ends[2])
{
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
	second->fd = ends[0];
	entry_conn_pool_put(pool, first, true, 0);
	entry_conn_pool_put(pool, second, true, 0);
	if (sweeps[row].sends)
		g_assert_cmpint(write(ends[1], "H", 1), ==, 1);
	if (sweeps[row].closes)
		shutdown(ends[1], SHUT_RDWR);
}

/* Guards against calls that fail one after the other as their connections hold late
   responses of a copy that is known to send them. */
static void test_sweep(gconstpointer context)
{
	const unsigned row = GPOINTER_TO_UINT(context);
	entry_conn_pool_t *pool = entry_conn_pool_new(ADDRESS, IDLE_MAX);
	entry_conn_t *first = entry_conn_pool_get(pool, "a", false);
	entry_conn_t *second = entry_conn_pool_get(pool, "b", false);
	int ends[2];

	pool_fill(pool, first, second, row, ends);
	entry_conn_pool_sweep(pool, 1);
	g_assert_cmpuint(pool->idle_count, ==, sweeps[row].idle);
	g_assert_cmpint(entry_conn_pool_renews(pool, 2), ==,
			sweeps[row].renews);
	entry_conn_pool_unref(pool);
	close(ends[0]);
	close(ends[1]);
}

/* Guards against a call that is sent over a connection which holds a late response: the
   copy runs it, and its response is lost. */
static void test_get(gconstpointer context)
{
	const unsigned row = GPOINTER_TO_UINT(context);
	entry_conn_pool_t *pool = entry_conn_pool_new(ADDRESS, IDLE_MAX);
	entry_conn_t *first = entry_conn_pool_get(pool, "a", false);
	entry_conn_t *second = entry_conn_pool_get(pool, "b", false);
	const uint64_t numbers[] = { 0, first->number, second->number };
	entry_conn_t *got;
	int ends[2];

	pool_fill(pool, first, second, row, ends);
	got = entry_conn_pool_get(pool, "c", false);
	if (sweeps[row].taken)
		g_assert_cmpuint(got->number, ==, numbers[sweeps[row].taken]);
	g_assert_cmpuint(got->calls, ==, sweeps[row].taken ? 2 : 1);
	g_assert_cmpint(entry_conn_pool_renews(pool, time_now()), ==,
			sweeps[row].renews);
	g_assert_cmpuint(pool->idle_count, ==, sweeps[row].taken == 2);
	entry_conn_pool_put(pool, got, false, 0);
	entry_conn_pool_unref(pool);
	close(ends[0]);
	close(ends[1]);
}

static void test_renew(void)
{
	entry_conn_pool_t *pool = entry_conn_pool_new(ADDRESS, IDLE_MAX);
	entry_conn_t *idle = entry_conn_pool_get(pool, "a", false);
	entry_conn_t *busy = entry_conn_pool_get(pool, "b", false);
	usec_t end = 0;

	entry_conn_pool_put(pool, idle, true, 0);
	entry_conn_pool_on_stray(pool, 0);
	g_assert_cmpuint(pool->idle_count, ==, 0);
	entry_conn_pool_put(pool, busy, true, 1);
	g_assert_cmpuint(pool->idle_count, ==, 0);
	while (entry_conn_pool_renews(pool, end))
		end += USEC_PER_SEC;
	g_assert_cmpint(end, >=, USEC_PER_SEC);
	idle = entry_conn_pool_get(pool, "c", false);
	entry_conn_pool_put(pool, idle, true, end);
	g_assert_cmpuint(pool->idle_count, ==, 1);
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
	for (i = 0; i < G_N_ELEMENTS(sweeps); i++) {
		char *path = g_strdup_printf("/entry-conn-pool/sweep-%s",
					     sweeps[i].name);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_sweep);
		g_free(path);
		path = g_strdup_printf("/entry-conn-pool/get-%s",
				       sweeps[i].name);
		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_get);
		g_free(path);
	}
	g_test_add_func("/entry-conn-pool/renew", test_renew);
	g_test_add_func("/entry-conn-pool/calls-max", test_calls_max);
	g_test_add_func("/entry-conn-pool/reopened", test_reopened);
	return g_test_run();
}
