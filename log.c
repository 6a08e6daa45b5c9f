#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include "hemlock.h"

/* Longest log line with its newline; a longer one is cut. */
#define LOG_LINE_MAX 2048

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
	/* One write, so that lines of several threads do not mix. */
	if (write(STDERR_FILENO, line, used) < 0)
		return;
}
