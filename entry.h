#ifndef ENTRY_H
#define ENTRY_H

#include <urcu/list.h>
#include "config.h"
#include "hemlock.h"
#include "metrics.h"

/*
 * The entry family. The first half is the pure decision: plain structs, no
 * lock, no socket, no clock. The caller holds the service's lock and passes
 * the time. The second half, entry-io.h, stands beside it and does the I/O.
 */

/** enum entry_outcome_t - what a caller is told about its request. */
typedef enum {
	ENTRY_NOT_RUN,	    /* no byte left, or the copy refused it */
	ENTRY_MAY_HAVE_RUN, /* bytes left and no whole answer came */
	ENTRY_RAN,	    /* a copy answered */
} entry_outcome_t;

/** enum entry_result_t - how one send to a copy ended. */
typedef enum {
	ENTRY_RESULT_OK,       /* a whole answer below 500 */
	ENTRY_RESULT_ERROR,    /* a whole answer of 500 or more */
	ENTRY_RESULT_SHED,     /* the copy refused it: not run */
	ENTRY_RESULT_CONNECT,  /* no connection, no byte left: not run */
	ENTRY_RESULT_CUT,      /* bytes left, no whole answer came back */
	ENTRY_RESULT_DEADLINE, /* the deadline passed after bytes left */
	ENTRY_RESULT_CANCEL,   /* the caller went away */
} entry_result_t;

/** enum entry_refusal_t - why a call is refused, always not run. */
typedef enum {
	ENTRY_REFUSE_NONE,
	ENTRY_REFUSE_SERVICE,  /* 404: no such service */
	ENTRY_REFUSE_LIMIT,    /* 429: limit of tenant, class or service */
	ENTRY_REFUSE_QUEUE,    /* 503: the queue is full */
	ENTRY_REFUSE_DEADLINE, /* 504: it would not be served in time */
	ENTRY_REFUSE_NO_COPY,  /* 503: no copy is known */
	ENTRY_REFUSE_STOPPING, /* 503: this entry is stopping */
} entry_refusal_t;

/** enum entry_policy_t - how a copy is chosen; all but OWNER are baselines. */
typedef enum {
	ENTRY_POLICY_OWNER,	  /* counted credits and a late-bound queue */
	ENTRY_POLICY_RANDOM,	  /* B0: any copy, at once */
	ENTRY_POLICY_LEAST,	  /* B1: fewest outstanding from this entry */
	ENTRY_POLICY_TWO_CHOICES, /* B2: the less loaded of two, probed */
} entry_policy_t;

/**
 * struct entry_copy_t - a copy as its owner sees it.
 *
 * outstanding never passes limit: that is the count all else rests on.
 */
typedef struct entry_copy {
	struct cds_list_head link; /* entry_service_t.copies */
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX]; /* where it takes calls */
	char zone[HL_NAME_MAX];
	unsigned slots;	      /* calls it runs at once, as it announced */
	unsigned connections; /* most connections it takes, all entries */
	unsigned limit;	      /* most calls outstanding now; 0: no new work */
	unsigned outstanding; /* calls sent and not yet ended */
	bool draining;	      /* takes no new work */
	usec_t announced;     /* when it was last heard of */
	usec_t cold_until;    /* cold start: fewer credits until then */
	void *io;	      /* the relay's connections to it */
	struct entry_health *health;
} entry_copy_t;

/** struct entry_call_t - the part of a call that decisions look at. */
typedef struct entry_call {
	struct cds_list_head queue_link; /* while it waits */
	char tenant[HL_NAME_MAX];
	unsigned priority; /* of its class, 0 is the most urgent */
	unsigned class_index;
	usec_t arrived;
	usec_t deadline;
	usec_t sent;	    /* when the last send began */
	bool waiting;	    /* it is in the queue */
	bool idempotent;    /* may be sent more than once */
	bool no_retry;	    /* a caller above will retry */
	bool once;	    /* its body is gone: it cannot be sent again */
	unsigned attempts;  /* sends so far */
	entry_copy_t *copy; /* where it is, or was last */
} entry_call_t;

/** enum entry_verdict_t - what to do with a call that arrived or ended. */
typedef enum {
	ENTRY_SEND,   /* to call->copy, now; its credit is taken */
	ENTRY_WAIT,   /* it is queued; entry_service_next() gives it back */
	ENTRY_REFUSE, /* final: see refusal and retry_after */
	ENTRY_ANSWER, /* final: give the caller what the copy answered */
} entry_verdict_t;

/** struct entry_decision_t - a verdict with its reason. */
typedef struct {
	entry_verdict_t verdict;
	entry_refusal_t refusal;
	usec_t retry_after; /* with ENTRY_REFUSE: when to come back */
} entry_decision_t;

struct entry_queue;
struct entry_limit;
struct entry_retry;

/** struct entry_service_t - all that one entry decides on for a service. */
typedef struct entry_service {
	struct cds_list_head copies;
	unsigned copy_count;
	unsigned outstanding; /* over all copies */
	entry_policy_t policy;
	const config_profile_t *profile; /* in force; outlives the calls */
	struct entry_queue *queue;
	struct entry_limit *limit;
	struct entry_retry *retry;
	uint64_t random; /* state of the generator, seeded by the owner */
} entry_service_t;

/** entry_service_init - an empty service; returns -1 without memory. */
int entry_service_init(entry_service_t *svc, entry_policy_t policy,
		       const config_profile_t *profile, uint64_t seed);

/** entry_service_fini - free what init took; no call may be left in it. */
void entry_service_fini(entry_service_t *svc);

/** entry_service_profile - put another profile in force. */
void entry_service_profile(entry_service_t *svc,
			   const config_profile_t *profile, usec_t now);

/**
 * entry_service_copy - find a copy by name, or NULL.
 */
entry_copy_t *entry_service_copy(entry_service_t *svc, const char *name);

/** entry_service_copy_add - a copy with limit 0; NULL without memory. */
entry_copy_t *entry_service_copy_add(entry_service_t *svc, const char *name,
				     usec_t now);

/**
 * entry_service_copy_remove - forget a copy with nothing outstanding.
 *
 * Return: 0, or -1 while calls are outstanding there.
 */
int entry_service_copy_remove(entry_service_t *svc, entry_copy_t *copy);

/**
 * entry_service_arrive - a call has arrived whole or far enough to send.
 * @svc: its service
 * @call: tenant, class, deadline and idempotency are filled in
 * @now: the present time
 *
 * Return: ENTRY_SEND, ENTRY_WAIT or ENTRY_REFUSE.
 */
entry_decision_t entry_service_arrive(entry_service_t *svc, entry_call_t *call,
				      usec_t now);

/**
 * entry_service_next - the next waiting call that a copy has a credit for.
 *
 * Return: a call with its copy set and its credit taken, or NULL. Ask until
 * NULL after arrive, end, a change of copies and every tick.
 */
entry_call_t *entry_service_next(entry_service_t *svc, usec_t now);

/**
 * entry_service_expire - a waiting call that can no longer be served in time.
 *
 * Return: a call taken out of the queue, to be refused, or NULL.
 */
entry_call_t *entry_service_expire(entry_service_t *svc, usec_t now,
				   entry_decision_t *decision);

/**
 * entry_service_end - a send has ended; its credit is given back.
 *
 * Return: ENTRY_ANSWER, or ENTRY_WAIT when the call is queued for another
 * send, or ENTRY_REFUSE when nothing can be relayed and no send is left.
 */
entry_decision_t entry_service_end(entry_service_t *svc, entry_call_t *call,
				   entry_result_t result, usec_t now);

/** entry_service_leave - the caller of a waiting call went away. */
void entry_service_leave(entry_service_t *svc, entry_call_t *call);

/** entry_service_take - take a waiting call out, to hand it to a sibling. */
entry_call_t *entry_service_take(entry_service_t *svc, usec_t now);

/** entry_service_waiting - how many calls wait. */
unsigned entry_service_waiting(const entry_service_t *svc);

/** entry_service_free - credits not in use over all copies. */
unsigned entry_service_free(const entry_service_t *svc, usec_t now);

/** entry_refusal_name - the word for logs, metrics and JSON. */
const char *entry_refusal_name(entry_refusal_t refusal);

/** entry_refusal_status - the HTTP status of a refusal. */
unsigned entry_refusal_status(entry_refusal_t refusal);

/** entry_policy_parse - a policy's word in the settings; false if unknown. */
bool entry_policy_parse(const char *word, entry_policy_t *policy);

/** entry_outcome_name - "not-run", "may-have-run" or "ran". */
const char *entry_outcome_name(entry_outcome_t outcome);

#endif
