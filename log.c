#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "hemlock.h"

/* Longest log line with its newline; a longer one is cut. */
#define LOG_LINE_MAX 2048
/* Lines that wait to be written; more are dropped and counted. */
#define LOG_WAITING_MAX (64 * 1024)
/* Part of them that is kept for lines that are more severe than info. */
#define LOG_SEVERE_ROOM (8 * 1024)
/* Bytes in a second; less severe lines beyond them are dropped and counted. */
#define LOG_SECOND_MAX (256 * 1024)
/* Lines wait at most this long. */
#define LOG_FLUSH_NSEC (100 * 1000000L)

/*
 * With the writer running, log_event() only copies the line: whoever reads the
 * logs, or does not, cannot hold up a call.
 */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t more;
	pthread_t thread;
	bool running;
	bool stop;
	char waiting[LOG_WAITING_MAX];
	size_t size;
	usec_t second; /* when the present one began */
	size_t in_second;
	uint64_t dropped;
	uint64_t dropped_told;
} log_writer = { .lock = PTHREAD_MUTEX_INITIALIZER,
		 .more = PTHREAD_COND_INITIALIZER };

static const char *log_program = "hemlock";
static char log_vm[HL_NAME_MAX] = "-";
static int log_level = LOG_LEVEL_INFO; /* atomic: SIGHUP may change it */

static const struct {
	const char *word;
	log_level_t level;
} log_levels[] = {
	{ "error", LOG_LEVEL_ERROR },	{ "warning", LOG_LEVEL_WARNING },
	{ "notice", LOG_LEVEL_NOTICE }, { "info", LOG_LEVEL_INFO },
	{ "debug", LOG_LEVEL_DEBUG },
};

#define LOG_LEVEL_COUNT (sizeof(log_levels) / sizeof(log_levels[0]))

static const char *log_level_word(log_level_t level)
{
	size_t i;

	for (i = 0; i < LOG_LEVEL_COUNT; i++)
		if (log_levels[i].level == level)
			return log_levels[i].word;
	return "unknown";
}

/* The wall clock as RFC 3339 with milliseconds, UTC. */
static size_t log_stamp(char *out, size_t size)
{
	struct timespec ts;
	struct tm tm;
	size_t used;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	used = strftime(out, size, "%Y-%m-%dT%H:%M:%S", &tm);
	used += (size_t)snprintf(out + used, size - used, ".%03ldZ",
				 ts.tv_nsec / 1000000);
	return used;
}

void log_open(const char *program, const char *vm, log_level_t level)
{
	log_program = program;
	snprintf(log_vm, sizeof(log_vm), "%s", vm);
	__atomic_store_n(&log_level, (int)level, __ATOMIC_RELAXED);
}

void log_set_level(log_level_t level)
{
	__atomic_store_n(&log_level, (int)level, __ATOMIC_RELAXED);
}

bool log_level_parse(const char *word, log_level_t *level)
{
	size_t i;

	for (i = 0; i < LOG_LEVEL_COUNT; i++) {
		if (strcmp(word, log_levels[i].word))
			continue;
		*level = log_levels[i].level;
		return true;
	}
	return false;
}

const char *log_quote(const char *text, char *out, size_t size)
{
	size_t used = 0;

	if (size < 3) {
		if (size)
			out[0] = '\0';
		return out;
	}
	out[used++] = '"';
	for (; *text && used + 3 < size; text++) {
		if (*text == '"' || *text == '\\')
			out[used++] = '\\';
		out[used++] = (unsigned char)*text < ' ' ? ' ' : *text;
	}
	out[used++] = '"';
	out[used] = '\0';
	return out;
}

/* Write all of some lines, however slowly they are read. */
static void log_write(const char *bytes, size_t size)
{
	ssize_t n;

	while (size > 0) {
		n = write(STDOUT_FILENO, bytes, size);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		bytes += n;
		size -= (size_t)n;
	}
}

static void *log_run(void *context)
{
	const struct timespec pause = { 0, LOG_FLUSH_NSEC };
	static char out[LOG_WAITING_MAX];
	size_t size;

	(void)context;
	pthread_mutex_lock(&log_writer.lock);
	while (!log_writer.stop || log_writer.size) {
		if (!log_writer.size) {
			pthread_cond_wait(&log_writer.more, &log_writer.lock);
			continue;
		}
		size = log_writer.size;
		memcpy(out, log_writer.waiting, size);
		log_writer.size = 0;
		pthread_mutex_unlock(&log_writer.lock);
		log_write(out, size);
		if (!__atomic_load_n(&log_writer.stop, __ATOMIC_ACQUIRE))
			nanosleep(&pause, NULL);
		pthread_mutex_lock(&log_writer.lock);
	}
	pthread_mutex_unlock(&log_writer.lock);
	return NULL;
}

int log_start(void)
{
	if (pthread_create(&log_writer.thread, NULL, log_run, NULL))
		return -1;
	log_writer.running = true;
	return 0;
}

void log_stop(void)
{
	if (!log_writer.running)
		return;
	pthread_mutex_lock(&log_writer.lock);
	__atomic_store_n(&log_writer.stop, true, __ATOMIC_RELEASE);
	pthread_cond_signal(&log_writer.more);
	pthread_mutex_unlock(&log_writer.lock);
	pthread_join(log_writer.thread, NULL);
	log_writer.running = false;
}

uint64_t log_dropped(void)
{
	uint64_t dropped;

	pthread_mutex_lock(&log_writer.lock);
	dropped = log_writer.dropped;
	pthread_mutex_unlock(&log_writer.lock);
	return dropped;
}

/* Add a line to those that wait; false if there is no room. Lock held. */
static bool log_add(log_level_t level, const char *line, size_t size)
{
	size_t room = LOG_WAITING_MAX;

	if (level > LOG_LEVEL_NOTICE)
		room -= LOG_SEVERE_ROOM;
	if (log_writer.size + size > room)
		return false;
	memcpy(log_writer.waiting + log_writer.size, line, size);
	log_writer.size += size;
	log_writer.in_second += size;
	return true;
}

/* Say once a second how many lines are missing. Lock held. */
static void log_tell_dropped(void)
{
	char line[LOG_LINE_MAX];
	size_t used;

	if (log_writer.dropped == log_writer.dropped_told)
		return;
	used = log_stamp(line, sizeof(line));
	used += (size_t)snprintf(line + used, sizeof(line) - used,
				 " level=warning program=%s vm=%s "
				 "event=log-lines-dropped count=%" PRIu64 "\n",
				 log_program, log_vm,
				 log_writer.dropped - log_writer.dropped_told);
	if (log_add(LOG_LEVEL_WARNING, line, used))
		log_writer.dropped_told = log_writer.dropped;
}

static void log_put(log_level_t level, const char *line, size_t size)
{
	usec_t now = time_now();

	pthread_mutex_lock(&log_writer.lock);
	if (now - log_writer.second >= USEC_PER_SEC) {
		log_writer.second = now;
		log_writer.in_second = 0;
		log_tell_dropped();
	}
	if ((level > LOG_LEVEL_NOTICE &&
	     log_writer.in_second + size > LOG_SECOND_MAX) ||
	    !log_add(level, line, size))
		log_writer.dropped++;
	pthread_cond_signal(&log_writer.more);
	pthread_mutex_unlock(&log_writer.lock);
}

void log_event(log_level_t level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_MAX];
	size_t used;
	int n;
	va_list ap;

	if ((int)level > __atomic_load_n(&log_level, __ATOMIC_RELAXED))
		return;
	used = log_stamp(line, sizeof(line));
	n = snprintf(line + used, sizeof(line) - used,
		     " level=%s program=%s vm=%s event=%s",
		     log_level_word(level), log_program, log_vm, event);
	used += (size_t)n;
	if (*fmt) {
		line[used++] = ' ';
		va_start(ap, fmt);
		n = vsnprintf(line + used, sizeof(line) - used - 1, fmt, ap);
		va_end(ap);
		used += (size_t)n;
	}
	if (used > sizeof(line) - 2)
		used = sizeof(line) - 2;
	line[used++] = '\n';
	if (log_writer.running)
		log_put(level, line, used);
	else
		log_write(line, used);
}
