#ifndef ENTRY_DECIDE_H
#define ENTRY_DECIDE_H

#include "entry.h"

/* The parts that entry-service.c puts together; all of them are pure. */

/* Priorities told apart; less urgent ones share the last. */
#define ENTRY_PRIORITIES 8
/* Tenants told apart while they wait; further ones share a flow. */
#define ENTRY_QUEUE_FLOWS 256
/* Tenants whose rate is remembered at once; further ones share a bucket. */
#define ENTRY_LIMIT_TENANTS 1024

/* entry-queue.c: what waits, and who is next. */

struct entry_queue *entry_queue_new(void);
void entry_queue_free(struct entry_queue *queue);

/** entry_queue_push - add a call; tenant, priority and deadline are set. */
void entry_queue_push(struct entry_queue *queue, entry_call_t *call,
		      usec_t now);

/** entry_queue_restore - put back a call that was popped and not sent. */
void entry_queue_restore(struct entry_queue *queue, entry_call_t *call);

/** entry_queue_admitted - count a call that was sent without waiting. */
void entry_queue_admitted(struct entry_queue *queue, const entry_call_t *call,
			  usec_t now);

/** entry_queue_pop - the call whose turn it is, or NULL. */
entry_call_t *entry_queue_pop(struct entry_queue *queue);

/** entry_queue_remove - take a waiting call out. */
void entry_queue_remove(struct entry_queue *queue, entry_call_t *call);

/** entry_queue_earliest - the waiting call with the earliest deadline. */
entry_call_t *entry_queue_earliest(const struct entry_queue *queue);

/**
 * entry_queue_evict - push out a call that is less urgent than @call.
 *
 * The newest of the tenant with the most calls in the least urgent class.
 *
 * Return: true if there is room for @call now.
 */
bool entry_queue_evict(struct entry_queue *queue, const entry_call_t *call);

/** entry_queue_evicted - the next call that was pushed out, or NULL. */
entry_call_t *entry_queue_evicted(struct entry_queue *queue);

unsigned entry_queue_count(const struct entry_queue *queue);

/**
 * entry_queue_wait - how long a call would wait.
 * @rate: calls a second that the copies run
 *
 * Return: microseconds from the calls ahead, fairness among tenants and the
 * recent arrivals of more urgent classes; 0 if @rate is not known.
 */
usec_t entry_queue_wait(const struct entry_queue *queue,
			const entry_call_t *call, double rate);

/* entry-limit.c: rates of tenants, classes and the service. */

struct entry_limit *entry_limit_new(void);
void entry_limit_free(struct entry_limit *limit);

/** entry_limit_set - the service's own rate and this entry's share. */
void entry_limit_set(struct entry_limit *limit, unsigned rate, double share);

/**
 * entry_limit_admit - count a call, unless a limit is passed.
 * @wait: filled in when refused: when the call would be let in
 *
 * Return: true if it is let in; a refused call uses up no limit.
 */
bool entry_limit_admit(struct entry_limit *limit,
		       const config_profile_t *profile,
		       const entry_call_t *call, usec_t now, usec_t *wait);

/* entry-credit.c: how many calls a copy may have outstanding. */

typedef struct entry_credit {
	unsigned connects;	  /* measured, up to those that are needed */
	double round_trip;	  /* microseconds, from connect times */
	double ramp;		  /* most credits while growing back */
	bool ramping;		  /* cold or back from ejection */
	double concurrency;	  /* most running calls; 0: its slots */
	usec_t no_pipeline_until; /* it shed a call instead of queueing it */
} entry_credit_t;

/** entry_credit_slots - calls a copy runs at once. */
unsigned entry_credit_slots(const entry_copy_t *copy);

/** entry_credit_of - calls that a copy may have outstanding now. */
unsigned entry_credit_of(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now);

/** entry_credit_ramp - start again at one credit. */
void entry_credit_ramp(entry_copy_t *copy);

/** entry_credit_shed - the copy refused a call it had no room for. */
void entry_credit_shed(entry_copy_t *copy, usec_t now);

/** entry_credit_answered - the copy gave an answer in the usual time. */
void entry_credit_answered(entry_copy_t *copy);

/* entry-reserve.c: credits kept for calls of siblings. */

/** entry_reserve_count - credits that are kept now. */
unsigned entry_reserve_count(const entry_service_t *svc, usec_t now);

/** entry_reserve_use - spend one, of the offer that ends first. */
bool entry_reserve_use(entry_service_t *svc, usec_t now);

/* entry-health.c: what the answers tell about a copy. */

typedef struct entry_health {
	double time_sum;      /* decayed sum of answer times, microseconds */
	double time_count;    /* decayed number of them */
	double errors;	      /* moving share of failed sends, 0 to 1 */
	double sends;	      /* decayed number of ended sends */
	unsigned in_row;      /* connect failures or refusals in a row */
	usec_t sent_sum;      /* sum of the start times of running sends */
	usec_t paused_until;  /* no new work until then */
	usec_t backoff;	      /* last span of ejection or pause */
	bool ejected;	      /* only probation calls */
	bool any_call;	      /* probation may use any call: it did not run */
	usec_t probe_at;      /* when the next probation call may go */
	usec_t ejected_until; /* when ejection ends without one */
} entry_health_t;

/** entry_health_sent - a send to the copy began. */
void entry_health_sent(entry_copy_t *copy, usec_t now);

/**
 * entry_health_ended - learn from how a send ended.
 * @sent: when it began
 * @depth: calls outstanding at the copy as it was sent, itself included
 */
void entry_health_ended(entry_service_t *svc, entry_copy_t *copy,
			entry_result_t result, usec_t sent, unsigned depth,
			usec_t now);

/** entry_health_time - expected answer time, running sends included. */
double entry_health_time(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now);

/** entry_health_slow - a straggler among the service's copies. */
bool entry_health_slow(const entry_service_t *svc, const entry_copy_t *copy,
		       usec_t now);

/** entry_health_probation - @call may be the one that tries the copy. */
bool entry_health_probation(const entry_copy_t *copy, const entry_call_t *call,
			    usec_t now);

/** entry_health_refresh - work out the service's pace anew if it is old. */
void entry_health_refresh(entry_service_t *svc, usec_t now);

/* entry-pick.c: which copy gets a call. */

/** entry_pick - a copy with a credit for this call by the policy, or NULL. */
entry_copy_t *entry_pick(entry_service_t *svc, const entry_call_t *call,
			 usec_t now);

/** entry_pick_fast - as entry_pick(), but no straggler and no probation. */
entry_copy_t *entry_pick_fast(entry_service_t *svc, const entry_call_t *call,
			      usec_t now);

/** entry_pick_random - the next pseudo-random number below @bound. */
unsigned entry_pick_random(entry_service_t *svc, unsigned bound);

/* entry-report.c: what copies told of themselves. */

/* What work in a last slot is taken for until it was seen, of usual. */
#define ENTRY_CROWDING_GUESS 1.5

/** entry_report_slowness - expected time of work now, of the usual. */
double entry_report_slowness(const entry_service_t *svc,
			     const entry_copy_t *copy, usec_t now);

/** entry_report_cost - how costly one more call there is expected to be. */
double entry_report_cost(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now);

/** entry_report_time - how long a call there is expected to take. */
usec_t entry_report_time(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now);

/**
 * entry_report_fresh - the copy told just now of slots worth taking.
 * @spare: so many of them, beside the one for a call
 */
bool entry_report_fresh(const entry_service_t *svc, const entry_copy_t *copy,
			unsigned spare, usec_t now);

/** entry_report_due - when a call's objective ends. */
usec_t entry_report_due(const entry_call_t *call);

/** entry_report_work - microseconds of a call's work at usual speed. */
double entry_report_work(const entry_service_t *svc, const entry_call_t *call);

/** entry_report_has_room - by what it told a copy should have a free slot. */
bool entry_report_has_room(const entry_copy_t *copy, usec_t now);

/** entry_report_last_slot - by its report one more call would fill it. */
bool entry_report_last_slot(const entry_copy_t *copy);

/** entry_report_took - learn the work of a kind from an answer. */
void entry_report_took(entry_service_t *svc, const entry_call_t *call,
		       usec_t took);

/* entry-retry.c: the budget of second sends. */

struct entry_retry *entry_retry_new(void);
void entry_retry_free(struct entry_retry *retry);

/** entry_retry_earn - a call's first send adds to the budget. */
void entry_retry_earn(struct entry_retry *retry,
		      const config_profile_t *profile, usec_t now);

/**
 * entry_retry_share - bound the budget by this entry's share of another.
 * @ratio: sends beyond the first, of the calls
 * @slack: such sends besides
 * @span: in every time of this length, also where the process starts anew
 */
void entry_retry_share(struct entry_retry *retry, double ratio, double slack,
		       usec_t span, usec_t now);

/** entry_retry_allowed - whether a failed send may be repeated by rule. */
bool entry_retry_allowed(const config_profile_t *profile,
			 const entry_call_t *call, entry_result_t result);

/** entry_retry_spend - take one send from the budget; false if empty. */
bool entry_retry_spend(struct entry_retry *retry, usec_t now);

/** entry_retry_free_of_charge - a send that cost no copy anything. */
bool entry_retry_free_of_charge(const struct entry_retry *retry,
				entry_result_t result);

#endif
