#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "hemlock.h"

/*
 * Logs under load: whoever does not read them holds up nobody, their volume
 * is bounded, and what is missing is counted. A process has one writer, so
 * the two loads follow each other in one test.
 */

#define THREADS 4
#define LINES 10000
/* Far above what the lines take without waiting; one blocked write would
   last until the reader begins. */
#define LOAD_MAX (20 * USEC_PER_SEC)
/* What log.c lets through in a second, and what may wait. */
#define SECOND_MAX (256 * 1024)
#define WAITING_MAX (64 * 1024)
#define PIPE_BYTES (64 * 1024)

static void *load_thread(void *context)
{
	int i;

	for (i = 0; i < LINES; i++)
		log_event(LOG_LEVEL_INFO, "load", "thread=%d line=%d text=%s",
			  *(int *)context, i,
			  "a-line-as-long-as-those-of-calls-are-in-practice");
	return NULL;
}

/* All threads log as fast as they can; how long it took. */
static usec_t load(void)
{
	pthread_t threads[THREADS];
	int numbers[THREADS];
	usec_t start = time_now();
	int i;

	for (i = 0; i < THREADS; i++) {
		numbers[i] = i;
		pthread_create(&threads[i], NULL, load_thread, &numbers[i]);
	}
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	return time_now() - start;
}

typedef struct {
	int from;
	GString *text;
} reader_t;

static void *reader_run(void *context)
{
	reader_t *reader = context;
	char part[4096];
	ssize_t n;

	while ((n = read(reader->from, part, sizeof(part))) > 0)
		g_string_append_len(reader->text, part, n);
	return NULL;
}

static void test_load(void)
{
	reader_t reader = { .text = g_string_new(NULL) };
	usec_t unread;
	usec_t read_too;
	uint64_t dropped;
	pthread_t thread;
	int out = dup(STDOUT_FILENO);
	int ends[2];

	g_assert_cmpint(pipe(ends), ==, 0);
	dup2(ends[1], STDOUT_FILENO);
	close(ends[1]);
	g_assert_cmpint(log_start(), ==, 0);

	unread = load();
	dropped = log_dropped();

	reader.from = ends[0];
	pthread_create(&thread, NULL, reader_run, &reader);
	usleep(1200 * USEC_PER_MS);
	read_too = load();
	log_event(LOG_LEVEL_ERROR, "grave", "%s", "");
	log_stop();
	fflush(stdout);
	dup2(out, STDOUT_FILENO);
	close(out);
	pthread_join(thread, NULL);
	close(ends[0]);

	g_assert_cmpint(unread, <, LOAD_MAX);
	g_assert_cmpuint(dropped, >, 0);
	g_assert_nonnull(strstr(reader.text->str, "event=log-lines-dropped"));
	g_assert_nonnull(strstr(reader.text->str, "event=grave"));
	g_assert_cmpuint(reader.text->len, <=,
			 PIPE_BYTES + 2 * WAITING_MAX +
				 (gsize)(read_too / USEC_PER_SEC + 3) *
					 SECOND_MAX);
	g_string_free(reader.text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	log_open("test-log", "vm", LOG_LEVEL_INFO);
	g_test_add_func("/log/load", test_load);
	return g_test_run();
}
