#include <math.h>
#include "entry-decide.h"

/*
 * Cost of a call at a copy, estimated from load reports. The speed of a copy
 * can change many times a second because it shares its machine with other
 * workloads. Each response and each probe reports the slowness of its copy at
 * that moment and the number of calls there. The weight of a report decays
 * exponentially with its age, so that the estimate returns to the mean of the
 * service.
 */

/* Time constant by which the weight of a reported slowness decays. */
#define REPORT_SLOWNESS_DECAY (90.0 * USEC_PER_MS)
/* Time constant by which the weight of a reported number of calls of other
   entries decays, towards the mean of the service. */
#define REPORT_CALLS_DECAY (250.0 * USEC_PER_MS)
/* Slowness assumed for a copy that has not responded to a probe. */
#define REPORT_SLOWNESS_SILENT 10.0
/* Weight of a new report in the means of the service. */
#define REPORT_MEAN_WEIGHT 0.05
/* Extra cost of a call at a copy whose slots are all in use, relative to the
   cost at an idle copy; in proportion for a copy with some slots in use. */
#define REPORT_FULL_EXTRA_COST 0.25
/* Assumed service time of a route without samples, as a fraction of its
   objective. */
#define REPORT_SERVICE_TIME_FRACTION 0.4
/* Max age of a report that counts as current. */
#define REPORT_FRESH_MAX_AGE (50 * USEC_PER_MS)
/* Weight of a new response in the service time of its route. */
#define REPORT_SERVICE_TIME_WEIGHT 0.1
/* Min weight of a new response in the contention estimate; the first samples
   have a larger weight. */
#define REPORT_CONTENTION_WEIGHT_MIN 0.05
/* Fraction by which the contention estimate approaches 1 at each response to a
   call that did not take a last slot. */
#define REPORT_CONTENTION_DECAY 0.002
/* Max slowdown that one response adds to the contention estimate. */
#define REPORT_CONTENTION_MAX 4.0

/* Return the weight of a report of this age, from 1 (new) down to 0. */
static double report_weight(usec_t age, double decay_time)
{
	return exp(-(double)age / decay_time);
}

void entry_service_on_report(entry_service_t *svc, entry_copy_t *copy,
			     const load_t *load, usec_t now)
{
	double slowness = (double)load->slowness / LOAD_SLOWNESS_NORMAL;
	unsigned calls = load->running + load->waiting;

	copy->report.slowness = slowness;
	copy->report.other_calls = calls > copy->outstanding ?
					   calls - copy->outstanding :
					   0;
	copy->report.received_at = now;
	entry_reach_on_response(svc, now);
	if (svc->mean_slowness <= 0) {
		svc->mean_slowness = 1;
		svc->mean_calls = copy->report.other_calls;
	}
	svc->mean_calls += REPORT_MEAN_WEIGHT *
			   (copy->report.other_calls - svc->mean_calls);
	svc->mean_slowness += REPORT_MEAN_WEIGHT *
			      (slowness - svc->mean_slowness);
}

void entry_service_on_probe_pending(entry_copy_t *copy, usec_t now)
{
	copy->report.slowness = REPORT_SLOWNESS_SILENT;
	copy->report.other_calls = 0;
	copy->report.received_at = now;
}

void entry_service_on_probe_failed(entry_copy_t *copy, usec_t now)
{
	entry_service_on_probe_pending(copy, now);
	entry_reach_doubt(copy, now);
}

double entry_report_slowness(const entry_service_t *svc,
			     const entry_copy_t *copy, usec_t now)
{
	double mean = svc->mean_slowness > 0 ? svc->mean_slowness : 1;
	double weight;

	if (!copy->report.received_at)
		return mean;
	weight = report_weight(now - copy->report.received_at,
			       REPORT_SLOWNESS_DECAY);
	return mean + weight * (copy->report.slowness - mean);
}

/* Return the expected number of calls at a copy now, from this entry and from
   the others. */
static double report_expected_calls(const entry_service_t *svc,
				    const entry_copy_t *copy, usec_t now)
{
	double others = svc->mean_calls;
	double weight;

	if (copy->report.received_at) {
		weight = report_weight(now - copy->report.received_at,
				       REPORT_CALLS_DECAY);
		others += weight * (copy->report.other_calls - others);
	}
	return copy->outstanding + others;
}

bool entry_report_has_room(const entry_service_t *svc, const entry_copy_t *copy,
			   usec_t now)
{
	return copy->report.received_at &&
	       report_expected_calls(svc, copy, now) + 1 <=
		       entry_credit_slots(copy);
}

/*
 * Return the expected slowdown of one more call by contention, 1 or more. The
 * excess over 1 is in proportion to the fraction of the copy's last slot that
 * the call is expected to take.
 */
static double report_contention(const entry_service_t *svc, double calls,
				double slots)
{
	double last_slot_fraction = calls + 2 - slots;

	if (!svc->contention_samples || svc->contention <= 1 || slots < 2 ||
	    last_slot_fraction <= 0)
		return 1;
	return 1 + (svc->contention - 1) *
			   (last_slot_fraction < 1 ? last_slot_fraction : 1);
}

double entry_report_cost(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now)
{
	double slots = entry_credit_slots(copy);
	double cost = entry_report_slowness(svc, copy, now);
	double calls = report_expected_calls(svc, copy, now);
	double fill = calls / slots;

	cost *= report_contention(svc, calls, slots);
	if (calls + 1 > slots)
		cost *= 1 + (calls + 1 - slots) / slots;
	return cost * (1 + REPORT_FULL_EXTRA_COST * fill);
}

/* Return the index of the estimate of a kind, or of an unused one; its home
   position if all are used by other kinds. */
static unsigned report_work_index(const entry_service_t *svc, unsigned kind)
{
	unsigned home = kind % ENTRY_WORK_KINDS;
	unsigned step;

	for (step = 0; step < ENTRY_WORK_KINDS; step++) {
		unsigned i = (home + step) % ENTRY_WORK_KINDS;
		const entry_work_time_t *time = &svc->work_times[i];

		if (time->normal <= 0 || time->kind == kind)
			return i;
	}
	return home;
}

double entry_report_service_time(const entry_service_t *svc,
				 const entry_call_t *call)
{
	unsigned i = report_work_index(svc, call->work_kind);
	double estimate = svc->work_times[i].normal;

	return estimate > 0 ?
		       estimate :
		       REPORT_SERVICE_TIME_FRACTION * (double)call->objective;
}

usec_t entry_report_objective_end(const entry_call_t *call)
{
	return call->arrived + call->objective;
}

usec_t entry_report_time(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now)
{
	return (usec_t)(entry_report_cost(svc, copy, now) *
			entry_report_service_time(svc, call));
}

/* Update the contention estimate from the response to a call that took the last
   slot of a copy; @slowdown is relative to calls in other slots. */
static void report_learn_contention(entry_service_t *svc, double slowdown)
{
	double weight = 1.0 / (svc->contention_samples + 2);

	if (weight < REPORT_CONTENTION_WEIGHT_MIN)
		weight = REPORT_CONTENTION_WEIGHT_MIN;
	if (slowdown > REPORT_CONTENTION_MAX)
		slowdown = REPORT_CONTENTION_MAX;
	if (!svc->contention_samples)
		svc->contention = 1;
	svc->contention += weight * (slowdown - svc->contention);
	svc->contention_samples++;
}

/*
 * Decay the contention estimate while last slots are left free, so that one is
 * used from time to time and the estimate is updated.
 */
static void report_decay_contention(entry_service_t *svc)
{
	svc->contention += REPORT_CONTENTION_DECAY * (1 - svc->contention);
}

void entry_report_learn_service_time(entry_service_t *svc,
				     const entry_call_t *call, usec_t took)
{
	unsigned i = report_work_index(svc, call->work_kind);
	double *estimate = &svc->work_times[i].normal;
	double normal_time = (double)took;

	/*
	 * Without a fresh report of a free slot the call may have queued at the
	 * copy, and the slowness of the copy is just an estimate.
	 */
	if (!call->copy_report_fresh)
		return;
	if (call->slowness > 1)
		normal_time /= call->slowness;
	if (call->took_last_slot) {
		if (*estimate > 0)
			report_learn_contention(svc, normal_time / *estimate);
		return;
	}
	report_decay_contention(svc);
	svc->work_times[i].kind = call->work_kind;
	if (*estimate <= 0)
		*estimate = normal_time;
	else
		*estimate += REPORT_SERVICE_TIME_WEIGHT *
			     (normal_time - *estimate);
}

bool entry_report_fills_copy(const entry_copy_t *copy)
{
	unsigned slots = entry_credit_slots(copy);

	return slots > 1 &&
	       copy->outstanding + copy->report.other_calls + 1 >= slots;
}

/*
 * Return the number of calls at which the throughput of a copy is highest. If
 * using the last slot slows down calls by more than a slot adds, a copy has a
 * higher throughput with that slot free.
 */
static unsigned report_useful_slots(const entry_service_t *svc,
				    const entry_copy_t *copy)
{
	unsigned slots = entry_credit_slots(copy);

	if (slots < 2 || svc->contention * (slots - 1) < slots)
		return slots;
	return slots - 1;
}

bool entry_report_has_fresh_slots(const entry_service_t *svc,
				  const entry_copy_t *copy, unsigned spare,
				  usec_t now)
{
	unsigned calls = copy->outstanding + copy->report.other_calls + spare;

	return copy->report.received_at &&
	       now - copy->report.received_at <= REPORT_FRESH_MAX_AGE &&
	       calls < report_useful_slots(svc, copy);
}
