#ifndef HEMLOCK_H
#define HEMLOCK_H

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What every family shares: time, names, errors, logs, settings, threads. */

#define HEMLOCK_VERSION "0.1.0"

/* Longest name of a VM, zone, service, profile, tenant or copy, with its NUL. */
#define HL_NAME_MAX 64
/* Longest "address:port" with its NUL (IPv6 in brackets). */
#define HL_ADDRESS_MAX 64
/* Longest error message with its NUL. */
#define HL_MESSAGE_MAX 512

/** Monotonic time or a span of time, in microseconds. */
typedef int64_t usec_t;

#define USEC_PER_MS ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)
#define USEC_NEVER INT64_MAX

/**
 * time_now - the present monotonic time.
 *
 * Only the outer loops of a daemon call this; functions that decide take the
 * time as an argument.
 *
 * Return: microseconds since an arbitrary point, never falling.
 */
usec_t time_now(void);

/**
 * time_suspended - how long the VM has been suspended since it booted.
 *
 * The monotonic time stands still meanwhile, that of other VMs does not.
 *
 * Return: microseconds, to within a few of them.
 */
usec_t time_suspended(void);

/** enum hl_error_kind_t - what went wrong, for the caller that must decide. */
typedef enum {
	HL_OK = 0,
	HL_ERR_USAGE,	    /* wrong option or argument */
	HL_ERR_SETTINGS,    /* a settings or declaration file is refused */
	HL_ERR_IO,	    /* a file or socket call failed */
	HL_ERR_CORRUPT,	    /* stored data does not match its checksum */
	HL_ERR_PROTOCOL,    /* a peer sent what the protocol does not allow */
	HL_ERR_TIMEOUT,	    /* no answer in time */
	HL_ERR_UNAVAILABLE, /* no peer that could answer */
	HL_ERR_CONFLICT,    /* another change came first */
	HL_ERR_NOT_FOUND,   /* no such thing */
	HL_ERR_REFUSED,	    /* allowed by the protocol, refused by a rule */
	HL_ERR_LIMIT,	    /* a bound would be passed */
	HL_ERR_NOMEM,	    /* out of memory */
} hl_error_kind_t;

/** struct hl_error_t - a typed error whose message names the remedy. */
typedef struct {
	hl_error_kind_t kind;
	char message[HL_MESSAGE_MAX];
} hl_error_t;

/**
 * hl_error_set - fill in an error.
 * @err: may be NULL
 * @kind: the kind
 * @fmt: printf format: what happened; what to do about it
 *
 * Return: -1 always, so that a caller can return it.
 */
int hl_error_set(hl_error_t *err, hl_error_kind_t kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** hl_error_kind_name - the kind as a lower-case word for logs and JSON. */
const char *hl_error_kind_name(hl_error_kind_t kind);

/** enum log_level_t - severities, worst first, numbered as in syslog. */
typedef enum {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
} log_level_t;

/** log_open - name the program and the VM that every line carries. */
void log_open(const char *program, const char *vm, log_level_t level);

/** log_set_level - lines less severe than @level are dropped. */
void log_set_level(log_level_t level);

/** log_level_parse - "error" ... "debug" to a level; false if unknown. */
bool log_level_parse(const char *word, log_level_t *level);

/**
 * log_start - write lines from a thread of their own from now on.
 *
 * Nobody waits for them any more; what is too much is dropped and counted.
 *
 * Return: 0, or -1 if there is no thread; then log_event() writes itself.
 */
int log_start(void);

/** log_stop - write what waits and end that thread. */
void log_stop(void);

/** log_dropped - lines that were dropped since the start. */
uint64_t log_dropped(void);

/**
 * log_event - write one key=value line to standard output.
 * @level: severity
 * @event: a fixed word with dashes, such as "config-applied"
 * @fmt: printf format of further key=value pairs, or "" for none; wrap a
 *       free text in log_quote()
 */
void log_event(log_level_t level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * log_quote - quote a free text for a key=value line.
 * @text: the text
 * @out: room for the quoted text
 * @size: size of @out
 *
 * Return: @out.
 */
const char *log_quote(const char *text, char *out, size_t size);

/** struct supervisor_child_t - one thread that a supervisor keeps running. */
typedef struct {
	const char *name;
	/* Run until *stop is set; return 0 when asked to stop, -1 on failure. */
	int (*run)(void *context, const volatile int *stop);
	/* Wake run() up so that it sees *stop; may be NULL. */
	void (*wake)(void *context);
	void *context;
} supervisor_child_t;

typedef struct supervisor supervisor_t;

/**
 * supervisor_new - a supervisor with no children yet.
 * @name: for the logs
 * @max_restarts: restarts allowed within @window before it gives up
 * @window: the span in microseconds
 */
supervisor_t *supervisor_new(const char *name, unsigned max_restarts,
			     usec_t window);

/** supervisor_add - start a child; children stop in reverse order. */
int supervisor_add(supervisor_t *sup, const supervisor_child_t *child,
		   hl_error_t *err);

/**
 * supervisor_run - restart failed children until stop is asked for.
 *
 * Return: 0 after supervisor_stop(), -1 after too many restarts.
 */
int supervisor_run(supervisor_t *sup);

/** supervisor_stop - ask for the end, from any thread. */
void supervisor_stop(supervisor_t *sup);

/**
 * struct signals_t - what the signals of a daemon do: SIGTERM and SIGINT ask
 * its supervisor to stop; SIGHUP calls reload(), and so does a settings file
 * that was changed without a signal.
 */
typedef struct {
	supervisor_t *supervisor;
	void (*reload)(void *context); /* may be NULL */
	void *context;
	const char *settings_path; /* looked at now and then; NULL: none */
} signals_t;

/** signals_block - before any thread starts, leave signals to the child. */
void signals_block(void);

/** signals_child - the thread that waits for signals. */
supervisor_child_t signals_child(signals_t *signals);

/** supervisor_free - stop and join all children, then free. */
void supervisor_free(supervisor_t *sup);

/**
 * hl_address_parse - split "ip:port" into a socket address.
 * @text: an IPv4 "1.2.3.4:80" or IPv6 "[::1]:80" address, no host names
 * @storage: a struct sockaddr_storage
 * @length: its used length
 *
 * Return: 0, or -1 if @text is no address.
 */
struct sockaddr_storage;
int hl_address_parse(const char *text, struct sockaddr_storage *storage,
		     unsigned *length);

/** hl_hash - 64-bit hash of @size bytes, the same on every VM. */
uint64_t hl_hash(const void *data, size_t size, uint64_t seed);

/** hl_name_valid - lower-case letters, digits, dash and dot, 1 to 63 bytes. */
bool hl_name_valid(const char *name);

#endif
