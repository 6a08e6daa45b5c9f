#ifndef HEADERS_H
#define HEADERS_H

#include "hemlock.h"

/** struct load_t - what a copy says of its load. */
typedef struct {
	unsigned running;
	unsigned waiting;
	unsigned slots;
	unsigned slowness; /* work takes so many hundredths of the usual */
} load_t;

/* Work takes as long as usual. */
#define LOAD_SLOWNESS_NORMAL 100

/**
 * struct headers_t - how an interface names its headers, by what they hold.
 *
 * NULL for what an interface does not have.
 */
typedef struct {
	const char *word;	 /* of the interface in the settings */
	const char *call_id;	 /* one attempt of a caller, echoed by copies */
	const char *deadline_ms; /* time that is left */
	const char
		*expected_copy; /* id of the copy that the call is meant for */
	const char *responding_copy; /* id of the copy that answers */
	const char *signature;	     /* on every answer that a copy made */
	const char *load;	     /* what load_read() takes */
	const char *not_run;	     /* the copy did not run the call */
	const char *base_version;    /* version that an order builds on */
	bool own; /* answers tell outcome and reason in Hemlock headers */
	/* Read the load that an answer carries; false if it is malformed. */
	bool (*load_read)(const char *text, load_t *load);
} headers_t;

/** headers_find - by the word in the settings, or NULL. */
const headers_t *headers_find(const char *word);

/** headers_interface_names - the words there are, for messages. */
const char *headers_interface_names(void);

#endif
