#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "hemlock.h"

/*
 * The log under load. A reader that stops reading must not block the threads
 * that log; the volume of the log is bounded, and dropped lines are counted. A
 * process has one writer, so one test runs both loads in sequence.
 */

#define THREADS 4
#define LINES 10000
/* Time limit of the load, far above its duration if no thread blocks; a blocked
   write would last until the reader starts. */
#define LOAD_TIME_MAX (20 * USEC_PER_SEC)
/* The rate limit and the buffer size of log.c, in bytes. */
#define BYTES_PER_SEC_MAX (256 * 1024)
#define BUFFER_BYTES (64 * 1024)
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

/* Logs from all threads as fast as possible; returns the elapsed time. */
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
	usec_t unread_time;
	usec_t read_time;
	uint64_t dropped;
	pthread_t thread;
	int out = dup(STDOUT_FILENO);
	int ends[2];

	g_assert_cmpint(pipe(ends), ==, 0);
	dup2(ends[1], STDOUT_FILENO);
	close(ends[1]);
	g_assert_cmpint(log_start(), ==, 0);

	unread_time = load();
	dropped = log_dropped();

	reader.from = ends[0];
	pthread_create(&thread, NULL, reader_run, &reader);
	usleep(1200 * USEC_PER_MS);
	read_time = load();
	log_event(LOG_LEVEL_ERROR, "grave", "%s", "");
	log_stop();
	fflush(stdout);
	dup2(out, STDOUT_FILENO);
	close(out);
	pthread_join(thread, NULL);
	close(ends[0]);

	g_assert_cmpint(unread_time, <, LOAD_TIME_MAX);
	g_assert_cmpuint(dropped, >, 0);
	g_assert_nonnull(strstr(reader.text->str, "event=log-lines-dropped"));
	g_assert_nonnull(strstr(reader.text->str, "event=grave"));
	g_assert_cmpuint(reader.text->len, <=,
			 PIPE_BYTES + 2 * BUFFER_BYTES +
				 (gsize)(read_time / USEC_PER_SEC + 3) *
					 BYTES_PER_SEC_MAX);
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
