#include <math.h>
#include "entry-decide.h"

/* How long a copy that sheds gets no more than its slots. */
#define CREDIT_NO_PIPELINE (10 * USEC_PER_SEC)
/* Answers for each running call that win one call of concurrency back. */
#define CREDIT_REGROW_ROUNDS 8.0
/* Credits that one answer adds while a copy grows back. */
#define CREDIT_RAMP_STEP 0.5
/* Connects before the least of their times is taken for a round trip. */
#define CREDIT_CONNECTS_LEAST 3
/* Most by which a slower connect raises the round trip, as a share of it. */
#define CREDIT_ROUND_TRIP_RISE 0.05

/* Share of a call that the pipeline may fall short by. */
#define CREDIT_PIPELINE_SLACK 0.05

unsigned entry_credit_slots(const entry_copy_t *copy)
{
	unsigned slots = copy->slots ? copy->slots : copy->limit;

	return slots ? slots : 1;
}

/* Calls above the slots that hide one round trip for each call. */
static unsigned credit_pipeline(const entry_service_t *svc,
				const entry_copy_t *copy, usec_t now)
{
	const entry_credit_t *credit = copy->credit;
	unsigned most = svc->profile->pipeline_max;
	double calls = 1;

	if (svc->slots_only || now < credit->no_pipeline_until ||
	    credit->concurrency > 0)
		return 0;
	if (credit->connects >= CREDIT_CONNECTS_LEAST && svc->pace.typical > 0)
		calls = ceil(entry_credit_slots(copy) * credit->round_trip /
				     svc->pace.typical -
			     CREDIT_PIPELINE_SLACK);
	if (calls < 1)
		calls = 1;
	return calls < most ? (unsigned)calls : most;
}

/* Calls that the copy may run at once, fewer after it has shed some. */
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

	if (!entry_health_slow(svc, copy, now))
		count += credit_pipeline(svc, copy, now);
	if (credit->ramping || now < copy->cold_until)
		count = credit_min(count, (unsigned)credit->ramp);
	if (copy->connections > 0)
		count = credit_min(count, copy->connections);
	return credit_min(count, copy->limit);
}

void entry_credit_ramp(entry_copy_t *copy)
{
	copy->credit->ramp = 1;
	copy->credit->ramping = true;
}

void entry_credit_shed(entry_copy_t *copy, usec_t now)
{
	entry_credit_t *credit = copy->credit;
	unsigned slots = entry_credit_slots(copy);

	credit->no_pipeline_until = now + CREDIT_NO_PIPELINE;
	if (copy->outstanding >= slots)
		return;
	credit->concurrency = copy->outstanding > 0 ? copy->outstanding : 1;
}

void entry_credit_answered(entry_copy_t *copy)
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
 * The least time counts: a slower connect waited for a processor as well. The
 * round trip rises again slowly, as a copy may have moved.
 */
void entry_service_on_connect(entry_copy_t *copy, usec_t took)
{
	entry_credit_t *credit = copy->credit;
	double most = credit->round_trip * (1 + CREDIT_ROUND_TRIP_RISE);

	if (!credit->connects || took < most)
		credit->round_trip = took;
	else
		credit->round_trip = most;
	if (credit->connects < CREDIT_CONNECTS_LEAST)
		credit->connects++;
}
