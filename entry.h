#ifndef ENTRY_H
#define ENTRY_H

#include <urcu/list.h>
#include "config.h"
#include "entry-heap.h"
#include "headers.h"
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
	ENTRY_RESULT_OK,	/* a whole answer below 500 */
	ENTRY_RESULT_ERROR,	/* a whole answer of 500 or more */
	ENTRY_RESULT_SHED,	/* the copy refused it: not run */
	ENTRY_RESULT_CONNECT,	/* no connection, no byte left: not run */
	ENTRY_RESULT_TRUNCATED, /* bytes left, no whole answer came back */
	ENTRY_RESULT_DEADLINE,	/* the deadline passed after bytes left */
	ENTRY_RESULT_CANCEL,	/* the caller went away */
} entry_result_t;

/** enum entry_refusal_t - why a call is refused, always not run. */
typedef enum {
	ENTRY_REFUSE_NONE,
	ENTRY_REFUSE_SERVICE,  /* 404: no such service */
	ENTRY_REFUSE_LIMIT,    /* 429: limit of tenant, class or service */
	ENTRY_REFUSE_QUEUE,    /* 503: the queue is full */
	ENTRY_REFUSE_DEADLINE, /* 504: it would not be served in time */
	ENTRY_REFUSE_NO_COPY,  /* 503: no copy is known */
} entry_refusal_t;

/** enum entry_policy_t - how a copy is chosen; all but OWNER are baselines. */
typedef enum {
	ENTRY_POLICY_OWNER,  /* counted credits and a late-bound queue */
	ENTRY_POLICY_RANDOM, /* B0: any copy, at once */
	ENTRY_POLICY_LEAST_OUTSTANDING, /* B1: fewest outstanding from this entry */
	ENTRY_POLICY_TWO_CHOICES,	/* B2: the less loaded of two, probed */
	ENTRY_POLICY_REPORTS, /* the least costly by what copies report */
} entry_policy_t;

/** struct entry_report_t - what a copy told of itself last. */
typedef struct {
	usec_t at;	 /* when; 0: never */
	double slowness; /* time of work, of the usual */
	unsigned others; /* calls there that are not from here */
} entry_report_t;

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
	usec_t lease_until;   /* no new work from then on */
	bool draining;	      /* takes no new work */
	uint64_t started_ms;  /* its start, where copies tell it */
	bool usual;	      /* of those that this entry uses first */
	usec_t last_seen;     /* when it was last heard of */
	usec_t cold_until;    /* set by entry_service_slow_start() */
	entry_report_t report;
	void *io; /* the relay's connections to it */
	struct entry_credit *credit;
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
	usec_t sent;	     /* when the last send began */
	bool waiting;	     /* it is in the queue */
	bool idempotent;     /* may be sent more than once */
	bool no_retry;	     /* a caller above will retry */
	bool not_replayable; /* its body is gone: it cannot be sent again */
	bool no_hedge;	     /* hedged before, or its body or answer streams */
	unsigned attempts_max; /* of its route; 0: as the profile says */
	usec_t objective;      /* span of its route; 0: none */
	usec_t caller_timeout; /* that its caller gave; 0: not said */
	usec_t spent;	       /* of it, before the caller came here */
	unsigned work_kind;    /* of work: calls of a route are alike */
	double slowness;       /* expected of its copy as it was sent */
	bool speed_known; /* and its copy had just told it, with a free slot */
	bool last_slot;	  /* it took the last one there */
	usec_t hedge_after; /* until its second send; 0: as the profile */
	unsigned attempts;  /* sends so far */
	unsigned unsent;    /* those of which no byte left */
	entry_copy_t *copy; /* where it is, or was last */
	/* Filled in by the caller: a sibling owner handed it over. */
	bool from_sibling;
	/* What a refusal must tell: more than NOT_RUN once it was sent. */
	entry_outcome_t outcome;
	/* The rest belongs to the deciding code. */
	struct cds_list_head running_link; /* entry_service_t.running */
	entry_heap_node_t urgency;	   /* in its tenant's flow */
	entry_heap_node_t expiry;	   /* over the whole queue */
	struct entry_flow *flow;
	bool evicted;		   /* pushed out of a full queue */
	const entry_copy_t *avoid; /* failed there; compared only */
	entry_copy_t *hedged_copy; /* where its second send is */
	usec_t hedge_sent;	   /* when that began */
	unsigned depth;		   /* outstanding there as it was sent */
	unsigned hedge_depth;
} entry_call_t;

/** enum entry_verdict_t - what to do with a call that arrived or ended. */
typedef enum {
	ENTRY_SEND,    /* to call->copy, now; its credit is taken */
	ENTRY_WAIT,    /* it is queued; entry_service_next() gives it back */
	ENTRY_REFUSE,  /* final: see refusal and retry_after */
	ENTRY_RESPOND, /* final: give the caller what the copy answered */
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

/** struct entry_pace_t - how fast a service's copies answer. */
typedef struct {
	usec_t refreshed; /* when typical and rate were worked out */
	double typical;	  /* median over copies of their mean, microseconds */
	double tail;	  /* 95 % of answers come within, microseconds */
	double rate; /* calls a second that the copies can run; 0 unknown */
} entry_pace_t;

/* Most offers to siblings that a service keeps credits for at once. */
#define ENTRY_RESERVES_MAX 8

/** struct entry_reserve_t - credits kept for calls of a sibling. */
typedef struct {
	unsigned credits;
	usec_t until;
} entry_reserve_t;

/* Kinds of work that are told apart. */
#define ENTRY_KINDS 64

/** struct entry_service_t - all that one entry decides on for a service. */
typedef struct entry_service {
	struct cds_list_head copies;
	unsigned copy_count;
	unsigned outstanding;	  /* over all copies */
	char zone[HL_NAME_MAX];	  /* of this entry; "": copies of all count */
	double slowness;	  /* mean of what copies report; 0: unknown */
	double work[ENTRY_KINDS]; /* at usual speed, microseconds; 0: unknown */
	double patience[ENTRY_KINDS]; /* of callers that come first time */
	double crowding;	      /* work in a copy's last slot, of usual */
	unsigned crowding_seen;	      /* answers that told it */
	entry_policy_t policy;
	const config_profile_t *profile; /* in force; outlives the calls */
	struct entry_queue *queue;
	struct entry_limit *limit;
	bool slots_only; /* no credits above the slots, for comparison */
	struct entry_retry *retry;
	uint64_t random; /* state of the generator, seeded by the owner */
	struct cds_list_head running; /* calls sent, oldest send first */
	entry_pace_t pace;
	entry_reserve_t reserves[ENTRY_RESERVES_MAX];
	/* Told that a copy was set aside for its failures, or is back. */
	void (*on_health)(void *context, const entry_copy_t *copy,
			  bool ejected);
	void *context;
} entry_service_t;

/** entry_service_init - an empty service; returns -1 without memory. */
int entry_service_init(entry_service_t *svc, entry_policy_t policy,
		       const config_profile_t *profile, uint64_t seed);

/** entry_service_fini - free what init took; no call may be left in it. */
void entry_service_fini(entry_service_t *svc);

/** entry_service_set_profile - put another profile in force. */
void entry_service_set_profile(entry_service_t *svc,
			       const config_profile_t *profile, usec_t now);

/**
 * entry_service_set_limits - limits that are not in the profile.
 * @rate: calls a second of the whole service, 0 for no limit
 * @share: this entry's share of the service's calls, above 0 and up to 1; it
 *         applies to the limits of classes and tenants too
 */
void entry_service_set_limits(entry_service_t *svc, unsigned rate,
			      double share);

/** entry_service_copy_find - find a copy by name, or NULL. */
entry_copy_t *entry_service_copy_find(entry_service_t *svc, const char *name);

/** entry_service_copy_add - a copy with limit 0; NULL without memory. */
entry_copy_t *entry_service_copy_add(entry_service_t *svc, const char *name,
				     usec_t now);

/**
 * entry_service_copy_remove - forget a copy with nothing outstanding.
 *
 * Return: 0, or -1 while calls are outstanding there.
 */
int entry_service_copy_remove(entry_service_t *svc, entry_copy_t *copy);

/* Copies of its zone that an entry uses first. */
#define ENTRY_USUAL_MAX 12

/**
 * entry_service_choose_subset - choose the copies of the zone that are used first.
 * @seed: of this entry
 *
 * With many copies, each entry keeps connections to some of them; all entries
 * together use all of them alike. The others are asked when these are busy.
 */
void entry_service_choose_subset(entry_service_t *svc, uint64_t seed);

/** entry_service_copy_reset - another process runs under the copy's name. */
void entry_service_copy_reset(entry_service_t *svc, entry_copy_t *copy);

/**
 * entry_service_set_retry_budget - bound sends beyond the first of each call.
 * @ratio: of the calls of this entry
 * @slack: sends that may be made besides
 * @span: in every time of this length
 *
 * In place of the profile's bound.
 */
void entry_service_set_retry_budget(entry_service_t *svc, double ratio,
				    double slack, usec_t span, usec_t now);

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
 * entry_service_retry_after - when to come back with a call that no copy took.
 *
 * Soon where a copy is known to have a free slot, for then the refusal was not
 * for want of room; else when one should have become free, callers spread out.
 */
usec_t entry_service_retry_after(entry_service_t *svc, const entry_call_t *call,
				 usec_t now);

/**
 * entry_service_next - the next waiting call that a copy has a credit for.
 *
 * Return: a call with its copy set and its credit taken, or NULL. Ask until
 * NULL after arrive, end, a change of copies and every tick.
 */
entry_call_t *entry_service_next(entry_service_t *svc, usec_t now);

/**
 * entry_service_expire - a waiting call that will not be served.
 *
 * It can no longer be answered in time, or a more urgent one pushed it out of
 * a full queue. Ask until NULL after arrive and every tick. What the caller
 * is told is call->outcome: a call that waits for a retry may have run.
 *
 * Return: a call taken out of the queue, to be refused, or NULL.
 */
entry_call_t *entry_service_expire(entry_service_t *svc, usec_t now,
				   entry_decision_t *decision);

/**
 * entry_service_end - a send has ended; its credit is given back.
 *
 * With a hedge still running and no answer to give, the hedge becomes the
 * call's send: ENTRY_WAIT with call->waiting false.
 *
 * Return: ENTRY_RESPOND, or ENTRY_WAIT when the call is queued for another
 * send, or ENTRY_REFUSE when nothing can be relayed and no send is left.
 */
entry_decision_t entry_service_end(entry_service_t *svc, entry_call_t *call,
				   entry_result_t result, usec_t now);

/**
 * entry_service_hedge - a running call that deserves a second send.
 *
 * An idempotent call without an answer after the profile's hedge_after_ms,
 * while another copy has a credit and the retry budget allows it. The second
 * send goes to call->hedge, whose credit is taken. Whichever send answers
 * first is the answer; end the other with ENTRY_RESULT_CANCEL.
 *
 * Return: the call, or NULL. Ask until NULL every tick.
 */
entry_call_t *entry_service_hedge(entry_service_t *svc, usec_t now);

/**
 * entry_service_hedge_due - when to ask entry_service_hedge() again.
 *
 * Return: a time, which may have passed; a call that is sent after @now is
 * not due before it. INT64_MAX if the profile has no hedges.
 */
usec_t entry_service_hedge_due(const entry_service_t *svc, usec_t now);

/**
 * entry_service_hedge_end - the second send of a call has ended.
 *
 * Return: ENTRY_RESPOND when its answer is to be relayed, or ENTRY_WAIT when
 * the first send still runs and decides.
 */
entry_decision_t entry_service_hedge_end(entry_service_t *svc,
					 entry_call_t *call,
					 entry_result_t result, usec_t now);

/**
 * entry_service_sets_no_retry - whether a send must carry the no-retry mark.
 *
 * True if this entry may itself send the call again, or a caller above may:
 * then nobody below retries, and calls many deep do not multiply.
 */
bool entry_service_sets_no_retry(const entry_service_t *svc,
				 const entry_call_t *call);

/**
 * entry_service_draw_two - two different copies drawn at random, to be probed.
 * @two: filled in; both are the same copy if there is only one
 *
 * For ENTRY_POLICY_TWO_CHOICES.
 *
 * Return: 0, or -1 if no copy takes new work.
 */
int entry_service_draw_two(entry_service_t *svc, entry_copy_t *two[2]);

/**
 * entry_service_send_less_loaded - send to the less loaded of two probed copies.
 * @two: as entry_service_draw_two() gave them
 * @loads: what the probes answered, in any one unit
 *
 * Return: ENTRY_SEND, or ENTRY_REFUSE.
 */
entry_decision_t entry_service_send_less_loaded(entry_service_t *svc,
						entry_call_t *call,
						entry_copy_t *const two[2],
						const unsigned loads[2],
						usec_t now);

/**
 * entry_service_slow_start - a copy has just started and is slow at first.
 * @until: when it may be taken for warm without having shown it
 *
 * Its credits grow from one with each answer in the usual time. May be said
 * again with every announcement.
 */
void entry_service_slow_start(entry_copy_t *copy, usec_t until, usec_t now);

/**
 * entry_service_on_connect - a new connection to a copy took this long.
 * @took: microseconds, close to one round trip on an idle machine
 */
void entry_service_on_connect(entry_copy_t *copy, usec_t took);

/**
 * entry_service_on_report - a copy told its load with an answer.
 *
 * @told: false if the copy was silent, and @load stands for that
 *
 * For ENTRY_POLICY_REPORTS. An answered call still counts as outstanding.
 */
void entry_service_on_report(entry_service_t *svc, entry_copy_t *copy,
			     const load_t *load, bool told, usec_t now);

/**
 * entry_service_candidates - copies to be asked before a call is sent.
 * @asked_after: those that told something since then are left out
 * @near: of this entry's zone, or of the others
 * @usual: only of those that this entry uses first
 * @out: filled in, the least costly first
 *
 * Return: how many, at most @max.
 */
unsigned entry_service_candidates(entry_service_t *svc,
				  const entry_call_t *call, usec_t asked_after,
				  bool near, bool usual, entry_copy_t **out,
				  unsigned max, usec_t now);

/** enum entry_wait_t - whether a call should wait for a quick copy. */
typedef enum {
	ENTRY_WAIT_READY, /* one is known: send it */
	ENTRY_WAIT_AGAIN, /* look again in a moment */
	ENTRY_WAIT_OVER,  /* no time is left to wait: take what there is */
} entry_wait_t;

/**
 * entry_service_estimate_elapsed - learn from a caller how long callers are patient.
 *
 * One that gives less than others of its kind has spent the rest already, with
 * an attempt that failed: sets @call->spent, which counts against the
 * objective.
 */
void entry_service_estimate_elapsed(entry_service_t *svc, entry_call_t *call);

/**
 * entry_service_wait_for_copy - is a copy quick enough now, or may a call wait for one?
 * @far: copies of other zones count as well
 * @choosy: others can still be asked, so only a quick copy will do
 *
 * Work that begins on a slow copy stays slow and holds a slot several times as
 * long, so while all are slow or full a call waits as long as a copy could
 * still answer by its deadline.
 */
entry_wait_t entry_service_wait_for_copy(entry_service_t *svc,
					 const entry_call_t *call, bool far,
					 bool choosy, usec_t now);

/** entry_service_cancel - the caller of a waiting call went away. */
void entry_service_cancel(entry_service_t *svc, entry_call_t *call);

/**
 * entry_service_take_for_sibling - take a waiting call out, to hand it to a sibling.
 *
 * The most urgent one that was neither handed over nor sent before. It
 * comes back by entry_service_arrive() when the sibling refuses it.
 *
 * Return: the call, no longer waiting, or NULL.
 */
entry_call_t *entry_service_take_for_sibling(entry_service_t *svc, usec_t now);

/** entry_service_waiting - how many calls wait. */
unsigned entry_service_waiting(const entry_service_t *svc);

/** entry_reserve_available - credits neither in use nor reserved. */
unsigned entry_reserve_available(const entry_service_t *svc, usec_t now);

/**
 * entry_reserve_add - keep free credits for calls of a sibling.
 * @credits: how many are wanted
 * @until: when the offer ends and they are free again
 *
 * A call that arrives with call->handed set uses a reserved credit first.
 *
 * Return: how many are kept, 0 to @credits.
 */
unsigned entry_reserve_add(entry_service_t *svc, unsigned credits, usec_t until,
			   usec_t now);

/** entry_refusal_name - the word for logs, metrics and JSON. */
const char *entry_refusal_name(entry_refusal_t refusal);

/** entry_refusal_status - the HTTP status of a refusal. */
unsigned entry_refusal_status(entry_refusal_t refusal);

/** entry_policy_parse - a policy's word in the settings; false if unknown. */
bool entry_policy_parse(const char *word, entry_policy_t *policy);

/** entry_outcome_name - "not-run", "may-have-run" or "ran". */
const char *entry_outcome_name(entry_outcome_t outcome);

/** entry_result_name - the word for it in the log. */
const char *entry_result_name(entry_result_t result);

#endif
