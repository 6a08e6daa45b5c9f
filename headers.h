#ifndef HEADERS_H
#define HEADERS_H

#include "hemlock.h"

/*
 * Header names of the two interfaces that an entry can offer to callers and
 * copies: the native one and that of a platform (platform/).
 */

/** struct load_t - load that a copy reports. */
typedef struct {
	unsigned running;  /* calls being run */
	unsigned waiting;  /* calls in the queue of the copy */
	unsigned slots;	   /* calls that it runs in parallel */
	unsigned slowness; /* duration of work in percent of the normal time */
} load_t;

/* Slowness of a copy that works at its normal speed, percent. */
#define LOAD_SLOWNESS_NORMAL 100

/**
 * struct headers_t - header names of an interface.
 *
 * A name is NULL if the interface does not have the header.
 */
typedef struct {
	const char *interface;	   /* value of the setting node.interface */
	const char *call_id;	   /* id of one attempt, echoed by copies */
	const char *send_id;	   /* id of one send, which copies may echo */
	const char *deadline_ms;   /* time left for the call, milliseconds */
	const char *expected_copy; /* id of the copy that the call is sent to */
	const char *responding_copy; /* id of the copy that made the response */
	const char *signature;	     /* present in every response of a copy */
	const char *load;    /* load of the copy, parsed by load_read() */
	const char *not_run; /* present if the copy did not run the call */
	const char *leaving; /* "1": the copy takes no further calls */
	const char
		*rate; /* calls per second that the copy accepts at present */
	const char *base_version; /* version that a routing order is based on */
	bool native; /* responses carry Hemlock-Outcome and Hemlock-Reason */
	/* Parses the value of the load header; false if it is malformed. */
	bool (*load_read)(const char *text, load_t *load);
} headers_t;

/** headers_find - return the headers of an interface by name, or NULL. */
const headers_t *headers_find(const char *interface);

/** headers_interface_names - names of all interfaces, for error messages. */
const char *headers_interface_names(void);

#endif
