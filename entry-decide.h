#ifndef ENTRY_DECIDE_H
#define ENTRY_DECIDE_H

#include "entry.h"

/*
 * Internal interface of the modules that entry-service.c combines. Each keeps
 * one part of the decision state of a service and does no I/O.
 */

/* Number of distinct priorities of classes; all less urgent classes share the
   last one. */
#define ENTRY_PRIORITIES 8
/* Max number of flows. A flow is the waiting calls of one tenant in one class;
   further tenants share one flow for each class. */
#define ENTRY_QUEUE_FLOWS 256
/* Max number of token buckets of tenants; further tenants share one bucket. */
#define ENTRY_LIMIT_TENANTS 1024

/* entry-queue.c: the queue of waiting calls and its order. */

/** entry_queue_new - create an empty queue; NULL if out of memory. */
struct entry_queue *entry_queue_new(void);
/** entry_queue_free - free a queue; NULL is ignored. */
void entry_queue_free(struct entry_queue *queue);

/** entry_queue_push - add a call; tenant, priority and deadline are set. */
void entry_queue_push(struct entry_queue *queue, entry_call_t *call,
		      usec_t now);

/** entry_queue_restore - put back a call that was popped and not sent. */
void entry_queue_restore(struct entry_queue *queue, entry_call_t *call);

/**
 * entry_queue_count_admitted - count an admitted call for the arrival rate.
 *
 * entry_queue_push() counts the calls that it adds. Call this function for each
 * call that is sent without waiting.
 */
void entry_queue_count_admitted(struct entry_queue *queue,
				const entry_call_t *call, usec_t now);

/** entry_queue_pop - dequeue the next call in order; NULL if empty. */
entry_call_t *entry_queue_pop(struct entry_queue *queue);

/** entry_queue_remove - dequeue a given call, waiting or evicted. */
void entry_queue_remove(struct entry_queue *queue, entry_call_t *call);

/** entry_queue_earliest - waiting call with the earliest deadline, or NULL. */
entry_call_t *entry_queue_earliest(const struct entry_queue *queue);

/**
 * entry_queue_evict - evict a call that is less urgent than @call.
 *
 * The victim is the newest call of the tenant with the most calls in the least
 * urgent class.
 *
 * Return: true if a call was evicted and @call can be pushed.
 */
bool entry_queue_evict(struct entry_queue *queue, const entry_call_t *call);

/** entry_queue_next_evicted - dequeue the next evicted call, or NULL. */
entry_call_t *entry_queue_next_evicted(struct entry_queue *queue);

/** entry_queue_count - number of waiting calls, without evicted ones. */
unsigned entry_queue_count(const struct entry_queue *queue);

/**
 * entry_queue_wait - estimate the queueing delay of a new call.
 * @rate: calls per second that the copies run
 *
 * Return: microseconds, computed from the calls ahead of @call, the fairness
 * among tenants and the arrival rates of more urgent classes; 0 if @rate is 0.
 */
usec_t entry_queue_wait(const struct entry_queue *queue,
			const entry_call_t *call, double rate);

/* entry-rate.c: the rates that copies accept. */

/**
 * entry_rate_allows - may requests be sent to a copy now by its rate?
 * @requests: number of requests, at most two
 */
bool entry_rate_allows(const entry_service_t *svc, const entry_copy_t *copy,
		       unsigned requests, usec_t now);

/** entry_rate_next - when the rate of a copy allows the next request. */
usec_t entry_rate_next(const entry_service_t *svc, const entry_copy_t *copy,
		       usec_t now);

/** entry_rate_charge - count a request, a call or a probe, to a copy. */
void entry_rate_charge(const entry_service_t *svc, entry_copy_t *copy,
		       usec_t now);

/* entry-refuse.c: refusals, and the waits suggested to callers. */

/* Wait suggested if there is no better estimate. */
#define ENTRY_REFUSE_RETRY_AFTER USEC_PER_SEC

/** entry_refuse - return the decision that refuses a call. */
entry_decision_t entry_refuse(entry_refusal_t refusal, usec_t retry_after);

/** entry_refuse_unreachable - refuse a call as this entry reaches no copy. */
entry_decision_t entry_refuse_unreachable(entry_service_t *svc);

/**
 * entry_refuse_available_at - when a copy takes calls after its rest, by its rate.
 *
 * Return: USEC_NEVER if only other entries may send to it.
 */
usec_t entry_refuse_available_at(const entry_service_t *svc,
				 const entry_copy_t *copy, usec_t now);

/**
 * entry_refuse_rest_end - when a copy takes calls again if none does now.
 *
 * Return: 0 if one does, USEC_NEVER if only other entries may send to them.
 */
usec_t entry_refuse_rest_end(const entry_service_t *svc, usec_t now);

/** entry_refuse_rest_wait - wait to suggest while copies rest until @rest_end. */
usec_t entry_refuse_rest_wait(entry_service_t *svc, usec_t rest_end,
			      usec_t now);

/** entry_refuse_queue_half_time - time until half of the queue is served. */
usec_t entry_refuse_queue_half_time(const entry_service_t *svc);

/** entry_refuse_slot_wait - expected time until a slot is free, with jitter. */
usec_t entry_refuse_slot_wait(entry_service_t *svc, const entry_call_t *call);

/* entry-probe-rate.c: the rate of probes of a service. */

/** entry_probe_rate_take - take up to @count probes; returns how many. */
unsigned entry_probe_rate_take(entry_service_t *svc, unsigned count,
			       usec_t now);

/** entry_probe_rate_is_scarce - whether half of the burst of probes is used. */
bool entry_probe_rate_is_scarce(entry_service_t *svc, usec_t now);

/** entry_await_is_first - whether no waiting call goes before a call. */
bool entry_await_is_first(const entry_service_t *svc, const entry_call_t *call,
			  usec_t now);

/**
 * entry_probe_rate_charge - count a test, which is sent in any case.
 *
 * Tests leave half of the burst to the probes of calls, since a call that can send
 * no probe waits for a report.
 */
void entry_probe_rate_charge(entry_service_t *svc, usec_t now);

/* entry-limit.c: rate limits of tenants, classes and the service. */

/** entry_limit_new - create a limiter; NULL if out of memory. */
struct entry_limit *entry_limit_new(void);
/** entry_limit_free - free a limiter; NULL is ignored. */
void entry_limit_free(struct entry_limit *limit);

/**
 * entry_limit_set - set the rate of the service and this entry's share.
 * @rate: calls per second over all entries; 0 for no limit
 * @share: above 0 and up to 1; other values count as 1
 */
void entry_limit_set(struct entry_limit *limit, unsigned rate, double share);

/**
 * entry_limit_admit - charge a call to its limits unless one is exceeded.
 * @wait: filled in with the microseconds until the call would be admitted
 *
 * Return: true if it is admitted; a refused call is charged to no limit.
 */
bool entry_limit_admit(struct entry_limit *limit,
		       const config_profile_t *profile,
		       const entry_call_t *call, usec_t now, usec_t *wait);

/* entry-credit.c: the number of calls that a copy may have outstanding. */

typedef struct entry_credit {
	unsigned connect_samples; /* round trips seen, up to a minimum */
	double round_trip;	  /* microseconds, minimum of connections */
	double ramp;		  /* max credits during slow start */
	bool ramping;		  /* slow start after an ejection */
	double concurrency;	  /* max running calls; 0: number of slots */
	usec_t no_pipeline_until; /* end of the time without pipeline credits */
} entry_credit_t;

/** entry_credit_slots - number of calls a copy runs at once, 1 or more. */
unsigned entry_credit_slots(const entry_copy_t *copy);

/** entry_credit_of - number of calls that a copy may have outstanding now. */
unsigned entry_credit_of(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now);

/** entry_credit_ramp_start - restart slow start at one credit. */
void entry_credit_ramp_start(entry_copy_t *copy);

/** entry_credit_on_shed - reduce the credits of a copy that shed a call. */
void entry_credit_on_shed(entry_copy_t *copy, usec_t now);

/** entry_credit_on_response - raise the credits after a response in time. */
void entry_credit_on_response(entry_copy_t *copy);

/* entry-reserve.c: credits reserved for calls of siblings. */

/** entry_reserve_count - number of credits reserved now. */
unsigned entry_reserve_count(const entry_service_t *svc, usec_t now);

/**
 * entry_reserve_use - use one credit of the reservation that ends first.
 *
 * Return: false if no credit is reserved.
 */
bool entry_reserve_use(entry_service_t *svc, usec_t now);

/* entry-health.c: slow and failing copies, detected from their responses. */

typedef struct entry_health {
	double time_sum;   /* decayed sum of response times, microseconds */
	double time_count; /* decayed number of responses */
	double failed_fraction;	       /* EWMA of failed sends, 0 to 1 */
	double send_count;	       /* decayed number of ended sends */
	unsigned consecutive_refusals; /* failed connects and refusals */
	usec_t sent_sum;      /* sum of the start times of running sends */
	usec_t paused_until;  /* no new calls until then */
	usec_t backoff;	      /* last length of an ejection or pause */
	bool ejected;	      /* gets probation calls only */
	bool probe_any_call;  /* probation does not need an idempotent call */
	usec_t probe_at;      /* earliest time of the next probation call */
	usec_t ejected_until; /* later, any call may probe the copy */
} entry_health_t;

/** entry_health_on_send - record the start of a send to a copy. */
void entry_health_on_send(entry_copy_t *copy, usec_t now);

/**
 * entry_health_on_send_end - update the health of a copy after a send.
 * @sent: start of the send
 * @depth: calls outstanding at the copy at the start, this one included
 */
void entry_health_on_send_end(entry_service_t *svc, entry_copy_t *copy,
			      entry_result_t result, usec_t sent,
			      unsigned depth, usec_t now);

/**
 * entry_health_response_time - estimate the response time of a copy.
 *
 * Return: microseconds; the ages of running sends are taken into account.
 */
double entry_health_response_time(const entry_service_t *svc,
				  const entry_copy_t *copy, usec_t now);

/** entry_health_is_slow - whether a copy is an outlier by response time. */
bool entry_health_is_slow(const entry_service_t *svc, const entry_copy_t *copy,
			  usec_t now);

/**
 * entry_health_probation_due - whether @call may probe an ejected or slow copy.
 */
bool entry_health_probation_due(const entry_copy_t *copy,
				const entry_call_t *call, usec_t now);

/** entry_health_on_reachable - end what failed connects have done to a copy. */
void entry_health_on_reachable(entry_copy_t *copy);

/** entry_health_refresh - recompute the service statistics if outdated. */
void entry_health_refresh(entry_service_t *svc, usec_t now);

/* entry-pick.c: the choice of a copy. */

/** entry_pick - choose a copy for a call by the policy; NULL if none. */
entry_copy_t *entry_pick(entry_service_t *svc, const entry_call_t *call,
			 usec_t now);

/** entry_pick_zone_has_copy - whether a copy of this zone may get a call. */
bool entry_pick_zone_has_copy(const entry_service_t *svc,
			      const entry_call_t *call, usec_t now);

/** entry_pick_fast - as entry_pick(), but choose no slow or ejected copy. */
entry_copy_t *entry_pick_fast(entry_service_t *svc, const entry_call_t *call,
			      usec_t now);

/* entry-random.c: pseudo-random numbers. */

/** entry_random - next pseudo-random number, 0 to @bound - 1. */
unsigned entry_random(entry_service_t *svc, unsigned bound);

/* entry-report.c: costs and times derived from the load reports of copies. */

/* Slowdown assumed for a call that takes the last slot of a copy until there
   are samples. */
#define ENTRY_CONTENTION_INITIAL 1.5

/** entry_report_slowness - expected slowness of a copy; 1: normal speed. */
double entry_report_slowness(const entry_service_t *svc,
			     const entry_copy_t *copy, usec_t now);

/**
 * entry_report_cost - expected cost of one more call at a copy.
 *
 * Return: a multiple of the service time of a call at normal speed.
 */
double entry_report_cost(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now);

/** entry_report_time - expected microseconds of one more call at a copy. */
usec_t entry_report_time(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now);

/**
 * entry_report_has_fresh_slots - whether a fresh report shows a useful slot.
 * @spare: number of further slots that must be free
 */
bool entry_report_has_fresh_slots(const entry_service_t *svc,
				  const entry_copy_t *copy, unsigned spare,
				  usec_t now);

/** entry_report_objective_end - time at which a call misses its objective. */
usec_t entry_report_objective_end(const entry_call_t *call);

/** entry_report_service_time - microseconds of service time at normal speed. */
double entry_report_service_time(const entry_service_t *svc,
				 const entry_call_t *call);

/** entry_report_has_room - whether a copy is expected to have a free slot. */
bool entry_report_has_room(const entry_service_t *svc, const entry_copy_t *copy,
			   usec_t now);

/** entry_report_fills_copy - whether one more call would take the last slot. */
bool entry_report_fills_copy(const entry_copy_t *copy);

/**
 * entry_report_learn_service_time - learn the service time of a route.
 * @took: response time of the call in microseconds
 */
void entry_report_learn_service_time(entry_service_t *svc,
				     const entry_call_t *call, usec_t took);

/* entry-retry.c: the retry budget, for retries and hedges. */

/** entry_retry_new - create a budget; NULL if out of memory. */
struct entry_retry *entry_retry_new(void);
/** entry_retry_free - free a budget; NULL is ignored. */
void entry_retry_free(struct entry_retry *retry);

/** entry_retry_earn - add to the budget for the first send of a call. */
void entry_retry_earn(struct entry_retry *retry,
		      const config_profile_t *profile, usec_t now);

/**
 * entry_retry_set_budget - use this entry's share of a budget of all entries.
 * @ratio: number of sends beyond the first, per call
 * @slack: number of such sends allowed in addition in each @window
 * @window: length of the window; the limit holds across process restarts
 */
void entry_retry_set_budget(struct entry_retry *retry, double ratio,
			    double slack, usec_t window, usec_t now);

/** entry_retry_allowed - whether the rules allow to repeat a failed send. */
bool entry_retry_allowed(const config_profile_t *profile,
			 const entry_call_t *call, entry_result_t result);

/** entry_retry_spend - take one send from the budget; false if empty. */
bool entry_retry_spend(struct entry_retry *retry, usec_t now);

/** entry_retry_refund - return a send to the budget that no copy received. */
void entry_retry_refund(struct entry_retry *retry);

/** entry_retry_is_exempt - whether a repeat is not charged to the budget. */
bool entry_retry_is_exempt(const struct entry_retry *retry,
			   entry_result_t result);

#endif
