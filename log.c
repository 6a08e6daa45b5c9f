#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "hemlock.h"

/*
 * The log of a process: key=value lines on standard output.
 *
 * After log_start() log_event() only copies the line into a buffer, which a
 * thread writes, so that a slow or stopped reader of the log does not delay
 * calls. Before that, log_event() writes synchronously.
 */

/* Longest log line with its newline; a longer one is truncated. */
#define LOG_LINE_BYTES_MAX 2048
/* Size of the buffer; lines that do not fit are dropped and counted. */
#define LOG_BUFFER_BYTES (64 * 1024)
/* Part of the buffer that is reserved for lines more severe than info. */
#define LOG_SEVERE_RESERVE_BYTES (8 * 1024)
/* Rate limit of info and debug lines; excess lines are dropped and counted. */
#define LOG_BYTES_PER_SEC_MAX (256 * 1024)
/* Interval between writes of the buffer: the longest delay of a line. */
#define LOG_FLUSH_INTERVAL_NS (100 * 1000000L)

/* The writer thread and its buffer, protected by the lock. */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	pthread_t thread;
	bool running;
	bool stop;
	char buffer[LOG_BUFFER_BYTES];
	size_t size;
	usec_t second_start; /* start of the current second of the rate limit */
	size_t second_bytes; /* number of bytes buffered since second_start */
	uint64_t dropped;
	uint64_t dropped_reported;
} log_writer = { .lock = PTHREAD_MUTEX_INITIALIZER,
		 .not_empty = PTHREAD_COND_INITIALIZER };

static const char *log_program = "hemlock";
static char log_vm[HL_NAME_MAX] = "-";
static int log_level = LOG_LEVEL_INFO; /* atomic, because SIGHUP changes it */

static const struct {
	const char *name;
	log_level_t level;
} log_levels[] = {
	{ "error", LOG_LEVEL_ERROR },	{ "warning", LOG_LEVEL_WARNING },
	{ "notice", LOG_LEVEL_NOTICE }, { "info", LOG_LEVEL_INFO },
	{ "debug", LOG_LEVEL_DEBUG },
};

#define LOG_LEVEL_COUNT (sizeof(log_levels) / sizeof(log_levels[0]))

static const char *log_level_name(log_level_t level)
{
	size_t i;

	for (i = 0; i < LOG_LEVEL_COUNT; i++)
		if (log_levels[i].level == level)
			return log_levels[i].name;
	return "unknown";
}

/* Writes the wall clock time in the format of RFC 3339, UTC, milliseconds. */
static size_t log_timestamp(char *out, size_t size)
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

bool log_level_parse(const char *name, log_level_t *level)
{
	size_t i;

	for (i = 0; i < LOG_LEVEL_COUNT; i++) {
		if (strcmp(name, log_levels[i].name))
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

/* Writes all bytes; blocks as long as the reader does not read them. */
static void log_write_all(const char *bytes, size_t size)
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

static void *log_writer_run(void *context)
{
	const struct timespec interval = { 0, LOG_FLUSH_INTERVAL_NS };
	static char out[LOG_BUFFER_BYTES];
	size_t size;

	(void)context;
	pthread_mutex_lock(&log_writer.lock);
	while (!log_writer.stop || log_writer.size) {
		if (!log_writer.size) {
			pthread_cond_wait(&log_writer.not_empty,
					  &log_writer.lock);
			continue;
		}
		size = log_writer.size;
		memcpy(out, log_writer.buffer, size);
		log_writer.size = 0;
		pthread_mutex_unlock(&log_writer.lock);
		log_write_all(out, size);
		if (!__atomic_load_n(&log_writer.stop, __ATOMIC_ACQUIRE))
			nanosleep(&interval, NULL);
		pthread_mutex_lock(&log_writer.lock);
	}
	pthread_mutex_unlock(&log_writer.lock);
	return NULL;
}

int log_start(void)
{
	if (pthread_create(&log_writer.thread, NULL, log_writer_run, NULL))
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
	pthread_cond_signal(&log_writer.not_empty);
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

/* Appends a line to the buffer; false if it is full. Called with the lock. */
static bool log_buffer_add(log_level_t level, const char *line, size_t size)
{
	size_t capacity = LOG_BUFFER_BYTES;

	if (level > LOG_LEVEL_NOTICE)
		capacity -= LOG_SEVERE_RESERVE_BYTES;
	if (log_writer.size + size > capacity)
		return false;
	memcpy(log_writer.buffer + log_writer.size, line, size);
	log_writer.size += size;
	log_writer.second_bytes += size;
	return true;
}

/*
 * Logs the number of lines dropped since the last report. Called once a second,
 * with the lock held.
 */
static void log_report_dropped(void)
{
	char line[LOG_LINE_BYTES_MAX];
	size_t used;

	if (log_writer.dropped == log_writer.dropped_reported)
		return;
	used = log_timestamp(line, sizeof(line));
	used += (size_t)snprintf(line + used, sizeof(line) - used,
				 " level=warning program=%s vm=%s "
				 "event=log-lines-dropped count=%" PRIu64 "\n",
				 log_program, log_vm,
				 log_writer.dropped -
					 log_writer.dropped_reported);
	if (log_buffer_add(LOG_LEVEL_WARNING, line, used))
		log_writer.dropped_reported = log_writer.dropped;
}

/* Buffers a line for the writer, subject to the rate limit. */
static void log_enqueue(log_level_t level, const char *line, size_t size)
{
	usec_t now = time_now();

	pthread_mutex_lock(&log_writer.lock);
	if (now - log_writer.second_start >= USEC_PER_SEC) {
		log_writer.second_start = now;
		log_writer.second_bytes = 0;
		log_report_dropped();
	}
	if ((level > LOG_LEVEL_NOTICE &&
	     log_writer.second_bytes + size > LOG_BYTES_PER_SEC_MAX) ||
	    !log_buffer_add(level, line, size))
		log_writer.dropped++;
	pthread_cond_signal(&log_writer.not_empty);
	pthread_mutex_unlock(&log_writer.lock);
}

void log_event(log_level_t level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_BYTES_MAX];
	size_t used;
	int n;
	va_list ap;

	if ((int)level > __atomic_load_n(&log_level, __ATOMIC_RELAXED))
		return;
	used = log_timestamp(line, sizeof(line));
	n = snprintf(line + used, sizeof(line) - used,
		     " level=%s program=%s vm=%s event=%s",
		     log_level_name(level), log_program, log_vm, event);
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
		log_enqueue(level, line, used);
	else
		log_write_all(line, used);
}
