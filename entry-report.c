#include <math.h>
#include "entry-decide.h"

/*
 * Copies whose speed changes many times a second because they share machines
 * with others. Each answer and each probe tells how slow its copy is at that
 * moment and how many calls it holds; what it told is worth less with every
 * millisecond, and in the end a copy counts as any other of its service.
 */

/* What is told of slowness loses its worth in this time. */
#define REPORT_SPEED_SPAN (90.0 * USEC_PER_MS)
/* The same of the calls that other entries have at a copy. */
#define REPORT_CALLS_SPAN (250.0 * USEC_PER_MS)
/* Weight of a new report in the service's mean slowness. */
#define REPORT_MEAN_WEIGHT 0.05
/* Cost of a call that fills a copy up, in calls of usual speed. */
#define REPORT_FILL_COST 0.25
/* Part of an objective that the work of an unknown kind takes. */
#define REPORT_WORK_GUESS 0.4
/* A report is as good as new for so long. */
#define REPORT_FRESH (50 * USEC_PER_MS)
/* Weight of a new answer in the work of its kind. */
#define REPORT_WORK_WEIGHT 0.1
/* Least weight of a new answer in what the last slot of a copy costs; the
   first ones count more. */
#define REPORT_CROWDING_WEIGHT 0.05
/* What is forgotten of it at each answer from another slot. */
#define REPORT_CROWDING_FADE 0.002
/* Most that one answer counts for there. */
#define REPORT_CROWDING_MAX 4.0
/* Weight of a caller with less patience than others of its kind. */
#define REPORT_PATIENCE_WEIGHT 0.01
/* How much slower a copy is that has just started. */
#define REPORT_COLD_COST 2.0

/* What is left of a report of this age. */
static double report_worth(usec_t age, double span)
{
	return exp(-(double)age / span);
}

void entry_service_on_report(entry_service_t *svc, entry_copy_t *copy,
			     const load_t *load, bool told, usec_t now)
{
	double slowness = (double)load->slowness / LOAD_SLOWNESS_NORMAL;
	unsigned held = load->running + load->waiting;

	copy->report.slowness = slowness;
	copy->report.others = held > copy->outstanding ?
				      held - copy->outstanding :
				      0;
	copy->report.at = now;
	if (!told)
		return;
	if (svc->slowness <= 0)
		svc->slowness = 1;
	svc->slowness += REPORT_MEAN_WEIGHT * (slowness - svc->slowness);
}

double entry_report_slowness(const entry_service_t *svc,
			     const entry_copy_t *copy, usec_t now)
{
	double usual = svc->slowness > 0 ? svc->slowness : 1;
	double worth;

	if (!copy->report.at)
		return usual;
	worth = report_worth(now - copy->report.at, REPORT_SPEED_SPAN);
	return usual + worth * (copy->report.slowness - usual);
}

/* Calls that a copy is expected to hold now, those of others included. */
static double report_held(const entry_copy_t *copy, usec_t now)
{
	double held = copy->outstanding;

	if (copy->report.at)
		held += copy->report.others *
			report_worth(now - copy->report.at, REPORT_CALLS_SPAN);
	return held;
}

bool entry_report_has_room(const entry_copy_t *copy, usec_t now)
{
	return copy->report.at &&
	       report_held(copy, now) + 1 <= entry_credit_slots(copy);
}

/* How much slower one more call is where it takes the last slot, 1 or more. */
static double report_crowding(const entry_service_t *svc, double held,
			      double slots)
{
	double part = held + 2 - slots;

	if (!svc->crowding_seen || svc->crowding <= 1 || slots < 2 || part <= 0)
		return 1;
	return 1 + (svc->crowding - 1) * (part < 1 ? part : 1);
}

double entry_report_cost(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now)
{
	double slots = entry_credit_slots(copy);
	double cost = entry_report_slowness(svc, copy, now);
	double held = report_held(copy, now);
	double fill = held / slots;

	cost *= report_crowding(svc, held, slots);
	if (held + 1 > slots)
		cost *= 1 + (held + 1 - slots) / slots;
	if (now < copy->cold_until)
		cost *= REPORT_COLD_COST;
	return cost * (1 + REPORT_FILL_COST * fill);
}

double entry_report_work(const entry_service_t *svc, const entry_call_t *call)
{
	double work = svc->work[call->work_kind % ENTRY_KINDS];

	return work > 0 ? work : REPORT_WORK_GUESS * (double)call->objective;
}

usec_t entry_report_due(const entry_call_t *call)
{
	return call->arrived - call->spent + call->objective;
}

void entry_service_estimate_elapsed(entry_service_t *svc, entry_call_t *call)
{
	double *usual = &svc->patience[call->work_kind % ENTRY_KINDS];
	double given = (double)call->caller_timeout;

	if (!call->caller_timeout || !call->objective)
		return;
	if (given >= *usual)
		*usual = given;
	else
		*usual -= REPORT_PATIENCE_WEIGHT * (*usual - given);
	if (given < *usual)
		call->spent = (usec_t)(*usual - given);
}

usec_t entry_report_time(const entry_service_t *svc, const entry_call_t *call,
			 const entry_copy_t *copy, usec_t now)
{
	return (usec_t)(entry_report_cost(svc, copy, now) *
			entry_report_work(svc, call));
}

/* Learn from a call in a last slot, whose usual work is known. */
static void report_crowded(entry_service_t *svc, double times)
{
	double weight = 1.0 / (svc->crowding_seen + 2);

	if (weight < REPORT_CROWDING_WEIGHT)
		weight = REPORT_CROWDING_WEIGHT;
	if (times > REPORT_CROWDING_MAX)
		times = REPORT_CROWDING_MAX;
	if (!svc->crowding_seen)
		svc->crowding = 1;
	svc->crowding += weight * (times - svc->crowding);
	svc->crowding_seen++;
}

/* While last slots are left free, what is known of them fades, so that one
 * is tried again now and then. */
static void report_uncrowded(entry_service_t *svc)
{
	svc->crowding += REPORT_CROWDING_FADE * (1 - svc->crowding);
}

void entry_report_took(entry_service_t *svc, const entry_call_t *call,
		       usec_t took)
{
	double *work = &svc->work[call->work_kind % ENTRY_KINDS];
	double usual = (double)took;

	/* One that waited at its copy, or whose speed is a guess, tells little. */
	if (!call->speed_known)
		return;
	if (call->slowness > 1)
		usual /= call->slowness;
	if (call->last_slot) {
		if (*work > 0)
			report_crowded(svc, usual / *work);
		return;
	}
	report_uncrowded(svc);
	if (*work <= 0)
		*work = usual;
	else
		*work += REPORT_WORK_WEIGHT * (usual - *work);
}

bool entry_report_last_slot(const entry_copy_t *copy)
{
	unsigned slots = entry_credit_slots(copy);

	return slots > 1 &&
	       copy->outstanding + copy->report.others + 1 >= slots;
}

/*
 * Calls that a copy does best with at once. Where a last slot makes work slower
 * by more than a slot adds, copies that leave it free do more in all.
 */
static unsigned report_useful_slots(const entry_service_t *svc,
				    const entry_copy_t *copy)
{
	unsigned slots = entry_credit_slots(copy);

	if (slots < 2 || svc->crowding * (slots - 1) < slots)
		return slots;
	return slots - 1;
}

bool entry_report_fresh(const entry_service_t *svc, const entry_copy_t *copy,
			unsigned spare, usec_t now)
{
	unsigned held = copy->outstanding + copy->report.others + spare;

	return copy->report.at && now - copy->report.at <= REPORT_FRESH &&
	       held < report_useful_slots(svc, copy);
}
