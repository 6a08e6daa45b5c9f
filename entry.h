#ifndef ENTRY_H
#define ENTRY_H

#include <urcu/list.h>
#include "config.h"
#include "entry-heap.h"
#include "headers.h"
#include "hemlock.h"
#include "metrics.h"

/*
 * Decisions of the entry (the proxy process) for one service: admission, queue,
 * choice of a copy, credits, health, retries and hedges. A service runs as
 * several copies (processes); a call is a request of a client; a send is one
 * attempt to forward a call to a copy; a credit is the permission for one
 * outstanding call at a copy.
 *
 * The code uses plain structs and takes no lock, opens no socket and reads no
 * clock: the caller holds the lock of the service and passes the time. The I/O
 * is in the modules of entry-io.h.
 */

/** enum entry_outcome_t - whether a call ran, as reported to its caller. */
typedef enum {
	ENTRY_NOT_RUN,	    /* no byte was sent, or the copy refused the call */
	ENTRY_MAY_HAVE_RUN, /* bytes were sent, no complete response came */
	ENTRY_RAN,	    /* a copy sent a complete response */
} entry_outcome_t;

/** enum entry_result_t - how one send to a copy ended. */
typedef enum {
	ENTRY_RESULT_OK,      /* a complete response with a status below 500 */
	ENTRY_RESULT_ERROR,   /* a complete response with 500 or more */
	ENTRY_RESULT_SHED,    /* the copy refused the call: not run */
	ENTRY_RESULT_CONNECT, /* no connection, no byte sent: not run */
	ENTRY_RESULT_TRUNCATED, /* bytes were sent, no complete response came */
	ENTRY_RESULT_DEADLINE,	/* the deadline passed after bytes were sent */
	ENTRY_RESULT_BLOCKED,	/* not sent: the call crashes copies */
	ENTRY_RESULT_CANCEL, /* cancelled by the caller or for a faster hedge */
} entry_result_t;

/** enum entry_refusal_t - why a call is refused rather than sent. */
typedef enum {
	ENTRY_REFUSE_NONE,
	ENTRY_REFUSE_SERVICE,  /* 404: the service does not exist */
	ENTRY_REFUSE_LIMIT,    /* 429: limit of tenant, class or service */
	ENTRY_REFUSE_QUEUE,    /* 503: the queue is full */
	ENTRY_REFUSE_DEADLINE, /* 504: no response expected by the deadline */
	ENTRY_REFUSE_NO_COPY,  /* 503: no copy of the service accepts calls */
	ENTRY_REFUSE_CRASHES,  /* 503: the call has crashed several copies */
	ENTRY_REFUSE_UNREACHABLE, /* 503: this entry reaches no copy */
} entry_refusal_t;

/** enum entry_policy_t - how a copy is chosen; B0 to B2 are baselines. */
typedef enum {
	ENTRY_POLICY_OWNER,  /* counted credits and a late-binding queue */
	ENTRY_POLICY_RANDOM, /* B0: a random copy, without a queue */
	ENTRY_POLICY_LEAST_OUTSTANDING, /* B1: fewest calls from this entry */
	ENTRY_POLICY_TWO_CHOICES, /* B2: less loaded of two, both probed */
	ENTRY_POLICY_REPORTS, /* lowest cost by the load reports of copies */
} entry_policy_t;

/** struct entry_report_t - the last load report of a copy. */
typedef struct {
	usec_t received_at;   /* 0: no report yet */
	double slowness;      /* service time relative to normal speed */
	unsigned other_calls; /* calls at the copy from other entries */
} entry_report_t;

/**
 * struct entry_rate_t - the rate of requests that a copy accepts at present.
 *
 * All entries together keep it: one of them, the holder in the configuration,
 * sends to the copy. An entry that learns another rate from a response than the
 * configuration has reports it to the keepers.
 */
typedef struct {
	unsigned millirate; /* requests per 1000 s; 0: any number */
	usec_t since;	    /* when this rate was learned or declared */
	usec_t due;	    /* theoretical arrival time of the next request */
	unsigned declared;  /* rate in the configuration; 0: none */
	uint64_t revision;  /* of the rate in the configuration; 0: none */
	bool held;	    /* this entry is the holder */
} entry_rate_t;

/** struct entry_reach_t - whether this entry reaches a copy; entry-reach.c. */
typedef struct {
	unsigned failures;    /* consecutive tests that failed */
	usec_t failing_since; /* end of the first one of these */
	bool unreachable;     /* it gets no calls until a test succeeds */
	bool testing;	      /* a test runs */
	usec_t test_at;	      /* when the next test is due; 0: none is */
	usec_t tested_at;     /* end of the last test; 0: not tested yet */
} entry_reach_t;

/**
 * struct entry_copy_t - state of one copy of a service.
 *
 * outstanding never exceeds limit. The overload protection of copies depends
 * on this invariant.
 */
typedef struct entry_copy {
	struct cds_list_head link; /* entry_service_t.copies */
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX]; /* where it accepts calls */
	char zone[HL_NAME_MAX];
	unsigned slots;	      /* announced number of calls it runs at once */
	unsigned connections; /* max connections it accepts from all entries */
	unsigned limit;	      /* max calls outstanding now; 0: no new calls */
	unsigned outstanding; /* sends begun and not ended */
	usec_t lease_until;   /* end of the lease; no new calls afterwards */
	bool draining;	      /* gets no new calls */
	bool leaving;	      /* its process has responded that it leaves */
	bool drain_declared;  /* the configuration has it as draining */
	bool drain_pending;   /* see entry_config_copy_is_pending() */
	usec_t rests_until;   /* it has asked for no calls until then */
	entry_rate_t rate;    /* that it accepts */
	uint64_t started_ms;  /* reported start, wall clock in ms; 0: none */
	bool in_subset;	      /* see entry_service_choose_subset() */
	usec_t last_seen;     /* last announcement of the copy */
	usec_t slow_start_until; /* set by entry_service_slow_start() */
	entry_report_t report;
	entry_reach_t reach;
	void *io; /* connection pool of the relay */
	struct entry_credit *credit;
	struct entry_health *health;
} entry_copy_t;

/** struct entry_call_t - the fields of a call that decisions depend on. */
typedef struct entry_call {
	struct cds_list_head queue_link; /* valid while it waits */
	char tenant[HL_NAME_MAX];
	unsigned priority; /* priority of its class; 0 is the most urgent */
	unsigned class_index;
	usec_t arrived;
	usec_t deadline;
	usec_t sent;	     /* start of the last send */
	bool waiting;	     /* it is in the queue */
	bool idempotent;     /* may be sent more than once */
	bool no_retry;	     /* an earlier hop of the call retries it */
	bool not_replayable; /* its body is gone: it cannot be sent again */
	bool no_hedge;	 /* its body or response streams, or its send was cut */
	bool responding; /* its response has begun: no other send follows */
	bool hedged;	 /* it was sent to a second copy already */
	unsigned attempts_max;	/* max sends by its route; 0: by the profile */
	usec_t objective;	/* target response time of its route; 0: none */
	unsigned work_kind;	/* hash of its route */
	double slowness;	/* expected slowness of its copy at the send */
	bool copy_report_fresh; /* at the send: fresh report of a free slot */
	bool took_last_slot;	/* it took the last free slot of the copy */
	usec_t hedge_after;	/* time from send to hedge; 0: by the profile */
	/* Sends so far, hedges included. The end of a call reads it atomically, as
	   a hedge may begin meanwhile. */
	unsigned attempts;
	unsigned unsent_attempts; /* sends that failed before the first byte */
	bool repeat_paid;	  /* the budget is charged for its next send */
	bool given_up; /* end its send, whose path is lost; accessed atomically */
	entry_copy_t *copy; /* current or last copy */
	/* The call comes from a sibling entry. Set before the arrival. */
	bool from_sibling;
	/* Outcome to report if the call is refused after an earlier send. */
	entry_outcome_t outcome;
	/* The following fields are private to the decision code. */
	struct cds_list_head running_link; /* entry_service_t.running */
	struct cds_list_head await_link;   /* entry_service_t.awaiting */
	bool awaiting;			   /* it is in that list */
	entry_heap_node_t urgency;	   /* position in its tenant's flow */
	entry_heap_node_t expiry;	   /* position in the whole queue */
	struct entry_flow *flow;
	bool evicted;		   /* dropped from a full queue */
	const entry_copy_t *avoid; /* failed copy; never dereferenced */
	entry_copy_t *hedged_copy; /* copy of its hedge; NULL: no hedge runs */
	usec_t hedge_sent;	   /* start of the hedge */
	unsigned depth; /* calls outstanding at the copy, this one included */
	unsigned hedge_depth; /* calls outstanding at hedged_copy */
} entry_call_t;

/** enum entry_verdict_t - what to do with a call that arrived or ended. */
typedef enum {
	ENTRY_SEND,    /* send it to call->copy now; the credit is taken */
	ENTRY_WAIT,    /* it is queued; entry_service_next() returns it */
	ENTRY_REFUSE,  /* final: see refusal and retry_after */
	ENTRY_RESPOND, /* final: relay the response of the copy */
} entry_verdict_t;

/** struct entry_decision_t - a verdict with its reason. */
typedef struct {
	entry_verdict_t verdict;
	entry_refusal_t refusal;
	usec_t retry_after; /* wait before a retry, with ENTRY_REFUSE */
} entry_decision_t;

struct entry_queue;
struct entry_limit;
struct entry_retry;

/** struct entry_service_stats_t - response times and capacity of a service. */
typedef struct {
	usec_t updated_at; /* when median and capacity were computed */
	double median;	   /* median of the copies' means, microseconds */
	double p95;	   /* 95th percentile of responses, microseconds */
	double capacity;   /* calls per second of all copies; 0: unknown */
} entry_service_stats_t;

/* Max number of credit offers to siblings open at once for a service. */
#define ENTRY_RESERVES_MAX 8

/** struct entry_reserve_t - credits reserved for calls of a sibling. */
typedef struct {
	unsigned credits; /* not used yet */
	usec_t until;	  /* end of the reservation */
} entry_reserve_t;

/* Max number of kinds of calls whose service time is known. Further kinds share
   an estimate with another one. */
#define ENTRY_WORK_KINDS 64

/** struct entry_work_time_t - the service time of a kind of calls. */
typedef struct {
	unsigned kind;
	double normal; /* microseconds at normal speed; 0: unknown */
} entry_work_time_t;

/** struct entry_probe_rate_t - a token bucket of probes. */
typedef struct {
	double rate; /* tokens per second; 0: no limit */
	double tokens;
	usec_t filled_at;
} entry_probe_rate_t;

/** struct entry_service_t - all decision state of one entry for a service. */
typedef struct entry_service {
	struct cds_list_head copies;
	unsigned copy_count;
	unsigned outstanding;	/* calls outstanding at all copies */
	char zone[HL_NAME_MAX]; /* zone of this entry; "": all zones match */
	double mean_slowness;	/* mean over reports; 0: unknown */
	double mean_calls; /* mean of the reported calls of other entries */
	entry_work_time_t work_times[ENTRY_WORK_KINDS];
	usec_t answered_at; /* last response of any copy */
	usec_t paths_lost_at; /* last time that this entry was cut off; 0: never */
	usec_t cut_off_period_end; /* tests are counted until then; entry-reach.c */
	unsigned cut_off_tests; /* tests started in that period */
	double contention; /* slowdown of a call in the last slot of a copy */
	unsigned contention_samples; /* responses in the contention estimate */
	entry_policy_t policy;
	const config_profile_t
		*profile; /* profile in force; must outlive the calls */
	struct entry_queue *queue;
	struct entry_limit *limit;
	/* End of the time in which the holders of rates are known to be in
	   force: the last message of a keeper and a timeout. */
	usec_t coordinated_until;
	bool coordinated;   /* as of entry_service_set_coordination() */
	double entry_share; /* fraction of the live entries that this one is */
	bool slots_only;    /* for comparison: no more credits than slots */
	struct entry_retry *retry;
	entry_probe_rate_t probe_rate;
	uint64_t random_state;	       /* generator state, seeded at init */
	struct cds_list_head running;  /* calls sent, oldest send first */
	struct cds_list_head awaiting; /* calls without a copy; entry-await.c */
	entry_service_stats_t stats;
	entry_reserve_t reserves[ENTRY_RESERVES_MAX];
	/* Called when a copy is ejected or readmitted. */
	void (*on_health)(void *context, const entry_copy_t *copy,
			  bool ejected);
	void *context; /* passed to on_health */
} entry_service_t;

/**
 * entry_service_init - initialize a service without copies.
 *
 * Return: 0, or -1 if out of memory.
 */
int entry_service_init(entry_service_t *svc, entry_policy_t policy,
		       const config_profile_t *profile, uint64_t seed);

/** entry_service_fini - free the service; it must have no calls. */
void entry_service_fini(entry_service_t *svc);

/** entry_service_set_profile - replace the profile in force. */
void entry_service_set_profile(entry_service_t *svc,
			       const config_profile_t *profile, usec_t now);

/**
 * entry_service_set_limits - set the limits that are not in the profile.
 * @rate: calls per second of the whole service, 0 for no limit
 * @share: this entry's share of the service's calls, above 0 and up to 1; it
 *         applies to the limits of classes and tenants too
 */
void entry_service_set_limits(entry_service_t *svc, unsigned rate,
			      double share);

/** entry_service_copy_find - find a copy by name; NULL if there is none. */
entry_copy_t *entry_service_copy_find(entry_service_t *svc, const char *name);

/**
 * entry_service_copy_add - add a copy with limit 0.
 *
 * Return: the copy, or NULL if out of memory.
 */
entry_copy_t *entry_service_copy_add(entry_service_t *svc, const char *name,
				     usec_t now);

/**
 * entry_service_copy_remove - remove and free a copy.
 *
 * Return: 0, or -1 while calls are outstanding at the copy.
 */
int entry_service_copy_remove(entry_service_t *svc, entry_copy_t *copy);

/* Size of the subset of copies in its zone that an entry prefers. */
#define ENTRY_SUBSET_MAX 12

/**
 * entry_service_choose_subset - choose the preferred copies of the zone.
 * @seed: distinct for each entry
 *
 * With many copies, each entry keeps connections to a subset only; the subsets
 * of all entries together cover the copies evenly. Copies outside the subset
 * are used while those in it are busy.
 */
void entry_service_choose_subset(entry_service_t *svc, uint64_t seed);

/**
 * entry_service_copy_reset - discard what was learned about a copy.
 *
 * For a new process that runs under the name of the copy.
 */
void entry_service_copy_reset(entry_service_t *svc, entry_copy_t *copy);

/**
 * entry_service_set_retry_budget - limit sends beyond the first of each call.
 * @ratio: number of such sends allowed per call of this entry
 * @slack: number of such sends allowed in addition in each @window
 * @window: length of the window
 *
 * Replaces the limit of the profile.
 */
void entry_service_set_retry_budget(entry_service_t *svc, double ratio,
				    double slack, usec_t window, usec_t now);

/**
 * entry_service_arrive - decide on a call that has arrived.
 * @svc: service of the call
 * @call: tenant, class, deadline and idempotency are filled in
 * @now: current time
 *
 * Return: ENTRY_SEND, ENTRY_WAIT or ENTRY_REFUSE.
 */
entry_decision_t entry_service_arrive(entry_service_t *svc, entry_call_t *call,
				      usec_t now);

/**
 * entry_service_retry_after - wait to suggest to the caller of a refused call.
 *
 * The wait is short if a copy reports a free slot: the refusal then has another
 * reason than full copies. Otherwise it is the time in which a slot should
 * become free, with jitter so that callers do not return all at once.
 */
usec_t entry_service_retry_after(entry_service_t *svc, const entry_call_t *call,
				 usec_t now);

/**
 * entry_service_next - dequeue the next waiting call that a copy can take.
 *
 * Call it until it returns NULL after an arrival, the end of a send, a change
 * of copies and on every tick.
 *
 * Return: a call with its copy set and its credit taken, or NULL.
 */
entry_call_t *entry_service_next(entry_service_t *svc, usec_t now);

/**
 * entry_service_expire - dequeue a waiting call that cannot be served.
 * @decision: filled in with the refusal
 *
 * A call expires when no response is expected by its deadline, or when a more
 * urgent call evicted it from a full queue. Its call->outcome is to be reported
 * to the caller: a call that waits for a retry may have run. Call it until it
 * returns NULL after an arrival and on every tick.
 *
 * Return: a call to be refused, no longer in the queue, or NULL.
 */
entry_call_t *entry_service_expire(entry_service_t *svc, usec_t now,
				   entry_decision_t *decision);

/**
 * entry_service_end - release the credit of a send that ended, and decide how
 * its call continues.
 *
 * If the send failed while a hedge of the call runs, the hedge becomes the
 * send of the call: ENTRY_WAIT with call->waiting false.
 *
 * Return: ENTRY_WAIT if the call is queued for another send, otherwise
 * ENTRY_RESPOND, also where the copy gave no response that can be relayed.
 */
entry_decision_t entry_service_end(entry_service_t *svc, entry_call_t *call,
				   entry_result_t result, usec_t now);

/**
 * entry_service_give_up - choose a running call to be repeated by another entry.
 *
 * Returns a call whose path to its copy is lost, or NULL if there is none that may
 * be repeated in time and in the budget, which is charged. Its send is then to
 * be ended with ENTRY_RESULT_TRUNCATED. Call it until it returns NULL, while another
 * entry is known to reach copies.
 */
entry_call_t *entry_service_give_up(entry_service_t *svc, usec_t now);

/**
 * entry_service_hedge - start the hedge of a running call that is due for it.
 *
 * A hedge is a second send of an idempotent call that has no response after
 * its hedge_after time, while another copy has a credit and the retry budget
 * allows it. The hedge goes to call->hedged_copy, whose credit is taken. The
 * first response of the two is relayed; end the other send with
 * ENTRY_RESULT_CANCEL. Call it until it returns NULL on every tick.
 *
 * Return: the call, or NULL.
 */
entry_call_t *entry_service_hedge(entry_service_t *svc, usec_t now);

/**
 * entry_service_hedge_due - next time to call entry_service_hedge().
 *
 * Return: a time, which may have passed; a call that is sent after @now is
 * not due before it. INT64_MAX if the profile has no hedges.
 */
usec_t entry_service_hedge_due(const entry_service_t *svc, usec_t now);

/**
 * entry_service_hedge_end - release the credit of a hedge that ended, and
 * decide whether its response is used.
 *
 * Return: ENTRY_RESPOND if its response is to be relayed, or ENTRY_WAIT if the
 * first send still runs and decides.
 */
entry_decision_t entry_service_hedge_end(entry_service_t *svc,
					 entry_call_t *call,
					 entry_result_t result, usec_t now);

/**
 * entry_service_pay_repeat - charge the retry budget for another send of a call.
 *
 * A send is charged once, wherever it goes: to a copy, or to a sibling after copies
 * could not be reached. The charge lasts until a byte of that send has left.
 *
 * Return: false if the budget does not allow the send.
 */
bool entry_service_pay_repeat(entry_service_t *svc, entry_call_t *call,
			      usec_t now);

/**
 * entry_service_sets_no_retry - whether a send must carry the no-retry header.
 *
 * True if this entry or an earlier hop may send the call again. Services
 * downstream then do not retry it, so that retries at several levels of a call
 * chain do not multiply.
 */
bool entry_service_sets_no_retry(const entry_service_t *svc,
				 const entry_call_t *call);

/**
 * entry_service_draw_two - draw two different copies at random.
 * @two: filled in; both are the same copy if there is only one
 *
 * For ENTRY_POLICY_TWO_CHOICES; the caller probes both.
 *
 * Return: 0, or -1 if no copy accepts new calls.
 */
int entry_service_draw_two(entry_service_t *svc, entry_copy_t *two[2]);

/**
 * entry_service_send_less_loaded - send to the less loaded of two copies.
 * @two: from entry_service_draw_two()
 * @loads: results of the probes, both in the same unit
 *
 * Return: ENTRY_SEND, or ENTRY_REFUSE.
 */
entry_decision_t entry_service_send_less_loaded(entry_service_t *svc,
						entry_call_t *call,
						entry_copy_t *const two[2],
						const unsigned loads[2],
						usec_t now);

/**
 * entry_service_slow_start - put a newly started copy into slow start.
 * @until: end of slow start
 *
 * The credits of the copy grow from one with each response in normal time. May
 * be called again with every announcement.
 */
void entry_service_slow_start(entry_copy_t *copy, usec_t until, usec_t now);

/**
 * entry_service_on_connect - learn the round trip time from a connection.
 * @round_trip: least round trip time of the new connection, microseconds
 */
void entry_service_on_connect(entry_copy_t *copy, usec_t round_trip);

/**
 * entry_service_on_report - record a load report of a copy.
 *
 * For ENTRY_POLICY_REPORTS. A call whose response carries the report must
 * still count as outstanding.
 */
void entry_service_on_report(entry_service_t *svc, entry_copy_t *copy,
			     const load_t *load, usec_t now);

/** entry_service_on_probe_pending - a probe has got no response so far. */
void entry_service_on_probe_pending(entry_copy_t *copy, usec_t now);

/** entry_service_on_probe_failed - a probe got no response when one was due. */
void entry_service_on_probe_failed(entry_copy_t *copy, usec_t now);

/** enum entry_scope_t - the copies that may be probed for a call. */
typedef enum {
	ENTRY_SCOPE_SUBSET,	 /* this entry's subset of its zone */
	ENTRY_SCOPE_ZONE,	 /* this entry's zone */
	ENTRY_SCOPE_OTHER_ZONES, /* all other zones */
} entry_scope_t;

/**
 * entry_service_candidates - choose copies to probe before a call is sent.
 * @reported_before: copies with a report at or after this time are left out
 * @out: filled in, in order of cost, the lowest first; the probes are counted
 *       for the rate of probes, and where a copy accepts requests at a limited
 *       rate
 *
 * Return: the number of copies, at most @max.
 */
unsigned entry_service_candidates(entry_service_t *svc,
				  const entry_call_t *call,
				  usec_t reported_before, entry_scope_t scope,
				  entry_copy_t **out, unsigned max, usec_t now);

/**
 * entry_service_set_probe_rate - limit the probes of the copies of a service.
 * @rate: probes of this entry per second; 0 for no limit
 */
void entry_service_set_probe_rate(entry_service_t *svc, double rate,
				  usec_t now);

/**
 * enum entry_wait_t - whether a call should wait for a quick copy.
 *
 * A quick copy is one whose fresh load report shows a free slot and a low
 * expected cost of the call.
 */
typedef enum {
	ENTRY_WAIT_READY,   /* a quick copy is available: send the call */
	ENTRY_WAIT_AGAIN,   /* check again after a short interval */
	ENTRY_WAIT_EXPIRED, /* no time is left: send it to any copy */
} entry_wait_t;

/**
 * entry_service_wait_for_copy - whether a call should wait for a quick copy.
 * @other_zones: copies of other zones count as well
 * @quick_only: more copies can be probed, so accept only a quick one
 *
 * A call that begins on a slow copy stays slow and occupies a slot several
 * times as long. While all copies are slow or full a call therefore waits as
 * long as a copy could still respond by its deadline.
 */
entry_wait_t entry_service_wait_for_copy(entry_service_t *svc,
					 const entry_call_t *call,
					 bool other_zones, bool quick_only,
					 usec_t now);

/**
 * entry_await_add - let a call wait until a copy has room.
 *
 * Under the lock of the service, like the next two functions.
 */
void entry_await_add(entry_service_t *svc, entry_call_t *call);

/** entry_await_remove - end the wait of a call, if it waits. */
void entry_await_remove(entry_call_t *call);

/**
 * entry_await_take - end the wait of the call that is to use a free slot.
 *
 * Calls that can meet their objective go first, then the more urgent ones, then
 * those whose objective or deadline ends first.
 *
 * Return: the call, or NULL if none waits or no copy has room for it.
 */
entry_call_t *entry_await_take(entry_service_t *svc, usec_t now);

/** struct entry_probe_plan_t - the next round of probes of a call. */
typedef struct {
	bool probes; /* copies are probed; else just reports are looked at */
	entry_scope_t scope;
	bool other_zones; /* after the round copies of other zones count */
	bool quick_only;  /* after the round only a quick copy is taken */
} entry_probe_plan_t;

/**
 * entry_service_plan_probes - plan the next round of probes of a call.
 * @round: number of its rounds so far
 *
 * Rounds before the first one with other_zones follow one another without a pause.
 */
entry_probe_plan_t entry_service_plan_probes(entry_service_t *svc,
					     const entry_call_t *call,
					     unsigned round, usec_t now);

/**
 * entry_retry_after_read - parse the value of a Retry-After header.
 * @text: seconds, with or without a fraction
 * @wait: filled in with microseconds, at most a minute
 *
 * Return: false if the value is not a number of seconds of 0 or more.
 */
bool entry_retry_after_read(const char *text, usec_t *wait);

/**
 * entry_service_on_leaving - record that the process of a copy leaves.
 *
 * The copy gets no further calls or probes, whatever it announces, until a new
 * process runs under its name.
 *
 * Return: false if that was known.
 */
bool entry_service_on_leaving(entry_copy_t *copy);

/**
 * entry_service_on_rest - record that a copy asks for no calls for a while.
 * @wait: from the Retry-After header of a response with status 503
 *
 * The copy gets no calls or probes until then. A shorter wait does not end an
 * earlier, longer one.
 */
void entry_service_on_rest(entry_copy_t *copy, usec_t wait, usec_t now);

/**
 * entry_service_may_send - may a call be sent to a copy that was chosen before?
 *
 * @chosen_at: when the copy was chosen
 *
 * False if the copy has responded meanwhile that it leaves or rests, or with a
 * rate that it accepts.
 */
bool entry_service_may_send(const entry_copy_t *copy, usec_t chosen_at,
			    usec_t now);

/**
 * entry_rate_read - parse the rate that a copy accepts.
 * @text: calls per second, a decimal number
 *
 * Return: calls per 1000 seconds, at least 1; 0 if @text is not a number of 0
 * or more.
 */
unsigned entry_rate_read(const char *text);

/**
 * entry_service_on_rate - record the rate that a copy names in a response.
 * @millirate: requests per 1000 seconds; 0 if the response names none
 * @sent: when the request was sent; the rate is ignored if the copy has had
 *        another one since
 *
 * Until the configuration has the rate, this entry sends nothing to the copy.
 *
 * Return: false if the rate is not new.
 */
bool entry_service_on_rate(entry_service_t *svc, entry_copy_t *copy,
			   unsigned millirate, usec_t sent, usec_t now);

/**
 * entry_service_declare_rate - apply the rate of a copy in the configuration.
 * @millirate: requests per 1000 seconds; 0 if there is none
 * @revision: revision of the rate; 0 if there is none
 * @held: this entry is the holder
 */
void entry_service_declare_rate(entry_service_t *svc, entry_copy_t *copy,
				unsigned millirate, uint64_t revision,
				bool held, usec_t now);

/**
 * entry_service_set_coordination - set how long the holders of rates are known.
 * @until: end of that time; afterwards each entry uses its share of the rates,
 *         as it cannot learn which entries hold them
 */
void entry_service_set_coordination(entry_service_t *svc, usec_t until,
				    usec_t now);

/**
 * entry_service_rate_report - whether to report the rate of a copy to keepers.
 *
 * A rate that the configuration still lacks after several reports is forgotten;
 * the next response of the copy tells it again. Without keepers it is kept.
 */
bool entry_service_rate_report(entry_service_t *svc, entry_copy_t *copy,
			       usec_t now);

/**
 * entry_reach_doubt - have a copy tested, as it did not respond.
 *
 * A copy that was reached lately is tested a while later.
 */
void entry_reach_doubt(entry_copy_t *copy, usec_t now);

/**
 * entry_reach_doubt_service - have copies of a service tested at once.
 * @max: number of copies that are tested at the same time
 */
void entry_reach_doubt_service(entry_service_t *svc, unsigned max, usec_t now);

/** entry_reach_on_response - record that any copy of a service responded. */
void entry_reach_on_response(entry_service_t *svc, usec_t now);

/**
 * entry_reach_on_send_end - record what the end of a send shows of the path to
 * its copy.
 */
void entry_reach_on_send_end(entry_service_t *svc, entry_copy_t *copy,
			     entry_result_t result, usec_t now);

/**
 * entry_reach_next_test - return a copy whose test is due, or NULL.
 *
 * The test is one request over a new connection; its end is passed to
 * entry_reach_on_test(). Copies that must not get a request now are skipped.
 */
entry_copy_t *entry_reach_next_test(entry_service_t *svc, usec_t now);

/** entry_reach_test_due - time of the next test; USEC_NEVER if none is due. */
usec_t entry_reach_test_due(const entry_service_t *svc);

/**
 * entry_reach_on_test - handle the end of a test.
 * @reached: a connection to the copy could be opened
 *
 * Return: true if the copy became unreachable or reachable.
 */
bool entry_reach_on_test(entry_service_t *svc, entry_copy_t *copy, bool reached,
			 usec_t now);

/**
 * entry_reach_count - return the number of unreachable copies.
 * @total: set to the number of copies that take calls, unless it is NULL
 */
unsigned entry_reach_count(const entry_service_t *svc, unsigned *total);

/**
 * entry_reach_is_cut_off - whether this entry reaches no copy of a service.
 *
 * Of a service with many copies some are tested.
 */
bool entry_reach_is_cut_off(const entry_service_t *svc);

/**
 * entry_reach_is_silent - whether no copy of a service has responded for a time.
 * @since: start of the time
 * @silence: least length of the time
 */
bool entry_reach_is_silent(const entry_service_t *svc, usec_t since,
			   usec_t silence, usec_t now);

/* Time without a response of any copy, since the arrival of a call, after which
   siblings may reach more copies, though no path has been tested yet. */
#define ENTRY_REACH_SILENCE_MIN (100 * USEC_PER_MS)

/**
 * entry_reach_probes_failed - whether probes for a call of a sibling have failed.
 *
 * A response shortly before the call counts, as copies with such a report are not
 * probed again.
 */
bool entry_reach_probes_failed(const entry_service_t *svc,
			       const entry_call_t *call, usec_t now);

/** enum entry_others_t - whether siblings reach more copies than this entry. */
typedef enum {
	ENTRY_OTHERS_UNKNOWN,
	ENTRY_OTHERS_ALIKE, /* none had room for a call lately */
	ENTRY_OTHERS_REACH, /* one is known to reach copies */
} entry_others_t;

/**
 * entry_reach_ends_wait - whether a call must not wait here for a copy any longer:
 * siblings may serve it or, if a sibling sent it, others may.
 */
bool entry_reach_ends_wait(const entry_service_t *svc, const entry_call_t *call,
			   entry_others_t others, usec_t now);

/**
 * entry_reach_is_doubtful - whether a path may be lost: this entry is impaired, or
 * a test has failed and no copy has responded since.
 */
bool entry_reach_is_doubtful(const entry_service_t *svc);

/**
 * entry_reach_is_impaired - whether tests of half of the copies or more failed, or
 * of most of a sample, or this entry is cut off.
 */
bool entry_reach_is_impaired(const entry_service_t *svc);

/** entry_service_cancel - dequeue a call whose caller closed its connection. */
void entry_service_cancel(entry_service_t *svc, entry_call_t *call);

/**
 * entry_service_take_for_sibling - dequeue a call to forward it to a sibling.
 *
 * Takes the most urgent call that neither came from a sibling nor was sent
 * before. If the sibling refuses the call, pass it to entry_service_arrive().
 *
 * Return: the call, no longer waiting, or NULL.
 */
entry_call_t *entry_service_take_for_sibling(entry_service_t *svc, usec_t now);

/** entry_service_waiting - number of calls in the queue. */
unsigned entry_service_waiting(const entry_service_t *svc);

/** entry_reserve_available - number of credits neither in use nor reserved. */
unsigned entry_reserve_available(const entry_service_t *svc, usec_t now);

/**
 * entry_reserve_add - reserve free credits for calls of a sibling.
 * @credits: number wanted
 * @until: end of the reservation
 *
 * A call that arrives with call->from_sibling set uses a reserved credit first.
 *
 * Return: the number reserved, 0 to @credits.
 */
unsigned entry_reserve_add(entry_service_t *svc, unsigned credits, usec_t until,
			   usec_t now);

/** entry_refusal_name - name of a refusal in logs, metrics and JSON. */
const char *entry_refusal_name(entry_refusal_t refusal);

/** entry_refusal_status - HTTP status of a refusal. */
unsigned entry_refusal_status(entry_refusal_t refusal);

/** entry_policy_parse - parse a policy setting; false if unknown. */
bool entry_policy_parse(const char *word, entry_policy_t *policy);

/** entry_outcome_name - "not-run", "may-have-run" or "ran". */
const char *entry_outcome_name(entry_outcome_t outcome);

/** entry_result_name - name of a result in the log. */
const char *entry_result_name(entry_result_t result);

#endif
