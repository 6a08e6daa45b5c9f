#ifndef HEMLOCK_H
#define HEMLOCK_H

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Declarations that all modules share: time, errors, logs, supervised threads,
 * signals, addresses, hashes and names.
 *
 * An entry is a proxy process that forwards calls (HTTP requests) to services.
 * A copy is one running instance of a service; it has a number of slots, the
 * calls that it runs in parallel. At most one entry at a time is the owner of a
 * copy. The owner has the credits of the copy, each of which permits one
 * outstanding call, and can lend them to other entries. The owners of copies of
 * one service are siblings. A keeper is a process that stores the configuration
 * in a log replicated by Raft. Each entry and each keeper runs on a VM of a
 * zone. A tenant is a client account.
 *
 * A profile is a set of settings by which the calls of a service are treated.
 * A planned stop of a copy is announced by an operator: the copy gets no new
 * calls. A claim is the right to run the call of an idempotency key; the word
 * also names the step by which an entry becomes the owner of a copy. An
 * interface is the set of HTTP header names in use, chosen by a setting.
 */

#define HEMLOCK_VERSION "0.1.0"

/** build_id_text - version, digest of the sources and commit, for `started`. */
extern const char build_id_text[];

/* Size in bytes of the longest name (of a VM, service, copy ...), with NUL. */
#define HL_NAME_MAX 64
/* Size in bytes of the longest "address:port", with NUL (IPv6 in brackets). */
#define HL_ADDRESS_MAX 64
/* Size in bytes of the longest error message, with NUL. */
#define HL_MESSAGE_MAX 512

/** usec_t - a monotonic time or a duration, in microseconds. */
typedef int64_t usec_t;

#define USEC_PER_MS ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)
#define USEC_NEVER INT64_MAX /* a time that is never reached */

/**
 * time_now - read the monotonic clock.
 *
 * Only the event loops of a daemon call this function. Functions that make
 * decisions take the time as an argument, so that tests can set it.
 *
 * Return: microseconds since an arbitrary point, never decreasing.
 */
usec_t time_now(void);

/**
 * time_suspended - return the total time for which the VM has been suspended
 * since it booted.
 *
 * The monotonic clock of a VM stops while the VM is suspended; the clocks of
 * the other VMs go on.
 *
 * Return: microseconds, accurate to a few microseconds.
 */
usec_t time_suspended(void);

/** enum hl_error_kind_t - error classes that a caller can distinguish. */
typedef enum {
	HL_OK = 0,
	HL_ERR_USAGE,	    /* wrong option or argument */
	HL_ERR_SETTINGS,    /* invalid settings or declaration file */
	HL_ERR_IO,	    /* a file or socket call failed */
	HL_ERR_CORRUPT,	    /* stored data does not match its checksum */
	HL_ERR_PROTOCOL,    /* a peer violated the protocol */
	HL_ERR_TIMEOUT,	    /* no response in time */
	HL_ERR_UNAVAILABLE, /* no peer is able to respond */
	HL_ERR_CONFLICT,    /* a concurrent change was accepted first */
	HL_ERR_NOT_FOUND,   /* the object does not exist */
	HL_ERR_REFUSED,	    /* a valid request that a rule forbids */
	HL_ERR_LIMIT,	    /* a limit would be exceeded */
	HL_ERR_NOMEM,	    /* out of memory */
} hl_error_kind_t;

/** struct hl_error_t - an error class and a message that names the remedy. */
typedef struct {
	hl_error_kind_t kind;
	char message[HL_MESSAGE_MAX];
} hl_error_t;

/**
 * hl_error_set - fill in an error.
 * @err: error to fill in; may be NULL
 * @kind: error class
 * @fmt: printf format of the message, which states what happened and the remedy
 *
 * Return: always -1, so that a caller can return the result.
 */
int hl_error_set(hl_error_t *err, hl_error_kind_t kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** hl_error_kind_name - return the name of @kind for logs and JSON. */
const char *hl_error_kind_name(hl_error_kind_t kind);

/** enum log_level_t - severities, most severe first, numbered as in syslog. */
typedef enum {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
} log_level_t;

/**
 * log_open - set the fields that every line contains, and the log level.
 * @program: name of the program; not copied
 * @vm: name of the VM
 * @level: log level; lines that are less severe are dropped
 */
void log_open(const char *program, const char *vm, log_level_t level);

/** log_set_level - drop lines that are less severe than @level from now on. */
void log_set_level(log_level_t level);

/**
 * log_level_parse - convert the name of a log level, "error" ... "debug".
 *
 * Return: true with @level set, or false if @name is unknown.
 */
bool log_level_parse(const char *name, log_level_t *level);

/**
 * log_start - start the thread that writes the log.
 *
 * While the thread runs, log_event() does not wait for the output. Lines that
 * exceed the buffer or the rate limit are dropped and counted.
 *
 * Return: 0, or -1 if the thread cannot be created; log_event() then continues
 * to write synchronously.
 */
int log_start(void);

/** log_stop - write the buffered lines and end the thread of log_start(). */
void log_stop(void);

/** log_dropped - return how many lines were dropped since log_start(). */
uint64_t log_dropped(void);

/**
 * log_event - write one key=value line to standard output.
 * @level: severity
 * @event: name of the event, such as "config-applied"
 * @fmt: printf format of further key=value pairs, or "" for none; free text
 *       must be quoted by log_quote()
 */
void log_event(log_level_t level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * log_quote - quote free text for a key=value line.
 * @text: text to quote
 * @out: buffer for the quoted text, which is truncated if it does not fit
 * @size: size of @out in bytes
 *
 * Return: @out.
 */
const char *log_quote(const char *text, char *out, size_t size);

/** struct supervisor_child_t - a thread run by a supervisor. */
typedef struct {
	const char *name;
	/* Runs until *stop is set; returns 0 if stopped, -1 on failure. */
	int (*run)(void *context, const volatile int *stop);
	/* Makes run() check *stop; NULL if run() checks it periodically. */
	void (*wake)(void *context);
	void *context;
} supervisor_child_t;

/** struct supervisor_t - a set of threads that are restarted on failure. */
typedef struct supervisor supervisor_t;

/**
 * supervisor_new - create a supervisor without children.
 * @name: name in the logs
 * @max_restarts: maximum number of restarts of all children within @window
 * @window: duration in microseconds
 *
 * Return: a supervisor for supervisor_free(), or NULL if out of memory.
 */
supervisor_t *supervisor_new(const char *name, unsigned max_restarts,
			     usec_t window);

/**
 * supervisor_add - start a child thread.
 * @sup: supervisor
 * @child: the child; copied
 * @err: HL_ERR_LIMIT if there are too many children or threads
 *
 * Children are stopped in reverse order of their start.
 *
 * Return: 0, or -1 with @err set.
 */
int supervisor_add(supervisor_t *sup, const supervisor_child_t *child,
		   hl_error_t *err);

/**
 * supervisor_run - restart children that end, until supervisor_stop().
 *
 * Return: 0 after supervisor_stop(), -1 after too many restarts.
 */
int supervisor_run(supervisor_t *sup);

/** supervisor_stop - make supervisor_run() return; callable from any thread. */
void supervisor_stop(supervisor_t *sup);

/**
 * struct signals_t - signal handling of a daemon.
 *
 * SIGTERM and SIGINT stop the supervisor. SIGHUP calls reload(), and so does a
 * modified settings file.
 */
typedef struct {
	supervisor_t *supervisor;
	void (*reload)(void *context); /* NULL: nothing is reloaded */
	void *context;
	const char *settings_path; /* file to poll for changes; NULL: none */
} signals_t;

/**
 * signals_block - block the signals that signals_child() waits for, and ignore
 * SIGPIPE.
 *
 * Must be called before any thread starts, because threads inherit the mask.
 */
void signals_block(void);

/** signals_child - return the supervised child that waits for signals. */
supervisor_child_t signals_child(signals_t *signals);

/** supervisor_free - stop and join all children, then free @sup. */
void supervisor_free(supervisor_t *sup);

/**
 * hl_address_parse - convert "ip:port" into a socket address.
 * @text: IPv4 "1.2.3.4:80" or IPv6 "[::1]:80"; host names are not resolved
 * @storage: socket address to fill in
 * @length: used length of @storage in bytes
 *
 * Return: 0, or -1 if @text is not an address.
 */
struct sockaddr_storage;
int hl_address_parse(const char *text, struct sockaddr_storage *storage,
		     unsigned *length);

/** hl_hash - return a 64-bit hash of @size bytes, identical on every VM. */
uint64_t hl_hash(const void *data, size_t size, uint64_t seed);

/**
 * hl_name_valid - check a name of a VM, zone, service, profile, tenant or copy.
 *
 * Return: true if @name has 1 to 63 bytes, all of them lower-case letters,
 * digits, dashes or dots.
 */
bool hl_name_valid(const char *name);

#endif
