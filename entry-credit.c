#include <math.h>
#include "entry-decide.h"

/*
 * The number of calls that a copy may have outstanding: its slots, plus a
 * pipeline of calls that hides the round trip between a response and the next
 * call. The number is lower during slow start and after the copy has shed
 * calls.
 */

/* Time without pipeline credits after a copy has shed a call. */
#define CREDIT_NO_PIPELINE_PERIOD (10 * USEC_PER_SEC)
/* Number of responses, as a multiple of the concurrency, after which a
   concurrency that was reduced grows by one call. */
#define CREDIT_REGROW_ROUNDS 8.0
/* Credits added by each response during slow start. */
#define CREDIT_RAMP_STEP 0.5
/* Number of connections needed before their minimum round trip is used. */
#define CREDIT_CONNECT_SAMPLES_MIN 3
/* Max growth of the round trip estimate by one connection with a longer round
   trip, as a fraction of the estimate. */
#define CREDIT_ROUND_TRIP_GROWTH 0.05

/* Fraction of a call by which the pipeline may be rounded down. */
#define CREDIT_PIPELINE_ROUNDING 0.05

unsigned entry_credit_slots(const entry_copy_t *copy)
{
	unsigned slots = copy->slots ? copy->slots : copy->limit;

	return slots ? slots : 1;
}

/* Return the number of credits in addition to the slots that keeps the slots
   busy during a round trip. */
static unsigned credit_pipeline(const entry_service_t *svc,
				const entry_copy_t *copy, usec_t now)
{
	const entry_credit_t *credit = copy->credit;
	unsigned max = svc->profile->pipeline_max;
	double calls = 1;

	if (svc->slots_only || now < credit->no_pipeline_until ||
	    credit->concurrency > 0)
		return 0;
	if (credit->connect_samples >= CREDIT_CONNECT_SAMPLES_MIN &&
	    svc->stats.median > 0)
		calls = ceil(entry_credit_slots(copy) * credit->round_trip /
				     svc->stats.median -
			     CREDIT_PIPELINE_ROUNDING);
	if (calls < 1)
		calls = 1;
	return calls < max ? (unsigned)calls : max;
}

/* Return the number of calls that a copy may run at once; it is reduced after
   the copy has shed calls. */
static unsigned credit_running(const entry_copy_t *copy)
{
	double running = copy->credit->concurrency;

	return running > 0 ? (unsigned)running : entry_credit_slots(copy);
}

static unsigned credit_min(unsigned a, unsigned b)
{
	return a < b ? a : b;
}

unsigned entry_credit_of(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now)
{
	const entry_credit_t *credit = copy->credit;
	unsigned count = credit_running(copy);

	if (!entry_health_is_slow(svc, copy, now))
		count += credit_pipeline(svc, copy, now);
	if (credit->ramping || now < copy->slow_start_until)
		count = credit_min(count, (unsigned)credit->ramp);
	if (copy->connections > 0)
		count = credit_min(count, copy->connections);
	return credit_min(count, copy->limit);
}

void entry_credit_ramp_start(entry_copy_t *copy)
{
	copy->credit->ramp = 1;
	copy->credit->ramping = true;
}

void entry_credit_on_shed(entry_copy_t *copy, usec_t now)
{
	entry_credit_t *credit = copy->credit;
	unsigned slots = entry_credit_slots(copy);

	credit->no_pipeline_until = now + CREDIT_NO_PIPELINE_PERIOD;
	if (copy->outstanding >= slots)
		return;
	credit->concurrency = copy->outstanding > 0 ? copy->outstanding : 1;
}

void entry_credit_on_response(entry_copy_t *copy)
{
	entry_credit_t *credit = copy->credit;
	unsigned slots = entry_credit_slots(copy);

	if (credit->concurrency > 0) {
		credit->concurrency += 1 / (CREDIT_REGROW_ROUNDS *
					    credit->concurrency);
		if (credit->concurrency >= slots)
			credit->concurrency = 0;
	}
	credit->ramp += CREDIT_RAMP_STEP;
	if (credit->ramp > slots)
		credit->ramping = false;
}

/*
 * The estimate is the minimum over connections, as a link may be congested. It
 * may grow slowly, as a copy may have moved to another machine.
 */
void entry_service_on_connect(entry_copy_t *copy, usec_t round_trip)
{
	entry_credit_t *credit = copy->credit;
	double max = credit->round_trip * (1 + CREDIT_ROUND_TRIP_GROWTH);

	if (!credit->connect_samples || (double)round_trip < max)
		credit->round_trip = (double)round_trip;
	else
		credit->round_trip = max;
	if (credit->connect_samples < CREDIT_CONNECT_SAMPLES_MIN)
		credit->connect_samples++;
}
