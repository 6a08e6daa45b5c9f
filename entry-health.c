#include <stdlib.h>
#include "entry-decide.h"

/* What is left of the older answer times at each new one. */
#define HEALTH_TIME_KEEP 0.9
/* The same after an answer to a probation call. */
#define HEALTH_PROBATION_KEEP 0.3
/* Answers as slow as the median that every estimate starts with. */
#define HEALTH_PRIOR 2.0
/* A straggler takes this many times the median. */
#define HEALTH_SLOW_FACTOR 2.5
/* Weight of a new result in the share of failed sends. */
#define HEALTH_ERROR_WEIGHT 0.25
/* Share of failures above the other copies' that pauses or ejects. */
#define HEALTH_PAUSE_EXCESS 0.35
#define HEALTH_EJECT_EXCESS 0.45
/* Results seen before a copy may be ejected for its errors. */
#define HEALTH_SENDS_MIN 2.5
#define HEALTH_SENDS_KEEP 0.9
/* Connect failures in a row that eject. */
#define HEALTH_CONNECT_MAX 2
/* Spans between probation calls, doubled after each failure. */
#define HEALTH_BACKOFF_MIN (30 * USEC_PER_MS)
#define HEALTH_BACKOFF_MAX (5 * USEC_PER_SEC)
/* Ejection ends after this even if no idempotent call came. */
#define HEALTH_EJECT_MAX (60 * USEC_PER_SEC)
/* How often the median and the rate are worked out. */
#define HEALTH_REFRESH (10 * USEC_PER_MS)
/* Copies that the median looks at. */
#define HEALTH_SAMPLE 64
/* The answer time that this share of answers keeps is followed. */
#define HEALTH_TAIL 0.95
#define HEALTH_TAIL_STEP 0.2

void entry_health_sent(entry_copy_t *copy, usec_t now)
{
	entry_health_t *health = copy->health;

	health->sent_sum += now;
	if (now >= health->probe_at)
		health->probe_at = now + (health->backoff ? health->backoff :
							    HEALTH_BACKOFF_MIN);
}

/*
 * Answer times of a copy are estimated from the decayed sum of the answers,
 * and from the running sends as if they ended now: an overdue call counts
 * before it ends. The larger one holds.
 */
double entry_health_time(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now)
{
	const entry_health_t *health = copy->health;
	double typical = svc->pace.typical;
	double sum = health->time_sum + HEALTH_PRIOR * typical;
	double count = health->time_count + HEALTH_PRIOR;
	double slots = entry_credit_slots(copy);
	double running = copy->outstanding;
	double age = running * now - health->sent_sum;
	double ended = sum / count;
	double open;

	if (running > slots) {
		age *= slots / running;
		running = slots;
	}
	open = (sum + age) / (count + running);
	return open > ended ? open : ended;
}

bool entry_health_slow(const entry_service_t *svc, const entry_copy_t *copy,
		       usec_t now)
{
	double typical = svc->pace.typical;

	return typical > 0 &&
	       entry_health_time(svc, copy, now) > HEALTH_SLOW_FACTOR * typical;
}

bool entry_health_probation(const entry_copy_t *copy, const entry_call_t *call,
			    usec_t now)
{
	const entry_health_t *health = copy->health;

	if (copy->outstanding > 0 || now < health->probe_at)
		return false;
	return call->idempotent || health->any_call ||
	       (health->ejected && now >= health->ejected_until);
}

static int health_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Median over the copies of their mean answer time; 0 if none is known. */
static double health_median(const entry_service_t *svc)
{
	double means[HEALTH_SAMPLE];
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		const entry_health_t *health = copy->health;

		if (health->time_count > 0 && count < HEALTH_SAMPLE)
			means[count++] = health->time_sum / health->time_count;
	}
	if (count == 0)
		return 0;
	qsort(means, count, sizeof(means[0]), health_compare);
	return means[(count - 1) / 2];
}

/* Calls a second that the copies can run between them. */
static double health_rate(const entry_service_t *svc, usec_t now)
{
	const entry_copy_t *copy = NULL;
	double rate = 0;

	if (svc->pace.typical <= 0)
		return 0;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		unsigned credits = entry_credit_of(svc, copy, now);
		unsigned slots = entry_credit_slots(copy);

		if (copy->draining || copy->health->ejected)
			continue;
		rate += (credits < slots ? credits : slots) * USEC_PER_SEC /
			entry_health_time(svc, copy, now);
	}
	return rate;
}

void entry_health_refresh(entry_service_t *svc, usec_t now)
{
	if (svc->pace.typical > 0 && now - svc->pace.refreshed < HEALTH_REFRESH)
		return;
	svc->pace.refreshed = now;
	svc->pace.typical = health_median(svc);
	svc->pace.rate = health_rate(svc, now);
}

/* Follow the tail of the answer times by steps up and down. */
static void health_tail(entry_pace_t *pace, double took)
{
	if (pace->tail <= 0)
		pace->tail = took;
	else if (took > pace->tail)
		pace->tail += HEALTH_TAIL_STEP * pace->typical * HEALTH_TAIL;
	else
		pace->tail -= HEALTH_TAIL_STEP * pace->typical *
			      (1 - HEALTH_TAIL);
}

static void health_answer_time(entry_service_t *svc, entry_copy_t *copy,
			       double took, unsigned depth, bool probation)
{
	entry_health_t *health = copy->health;
	unsigned slots = entry_credit_slots(copy);
	double keep = probation ? HEALTH_PROBATION_KEEP : HEALTH_TIME_KEEP;

	health_tail(&svc->pace, took);
	/* One that waited for a slot there took that much longer. */
	if (depth > slots)
		took *= (double)slots / depth;
	health->time_sum = keep * health->time_sum + took;
	health->time_count = keep * health->time_count + 1;
}

/* The answer would have taken longer than this: time without an answer. */
static void health_given_up(entry_health_t *health, double took)
{
	health->time_sum = HEALTH_TIME_KEEP * health->time_sum + took;
	health->time_count *= HEALTH_TIME_KEEP;
}

/* Mean share of failed sends over the other copies. */
static double health_errors_elsewhere(const entry_service_t *svc,
				      const entry_copy_t *self)
{
	const entry_copy_t *copy = NULL;
	double errors = 0;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy == self || copy->health->sends <= 0)
			continue;
		errors += copy->health->errors;
		count++;
	}
	return count ? errors / count : 1;
}

/* Whether the bound on ejected copies leaves room for one more. */
static bool health_may_eject(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned ejected = 0;
	unsigned active = 0;
	unsigned most = svc->copy_count * svc->profile->eject_percent / 100;

	if (svc->profile->eject_percent > 0 && most == 0)
		most = 1;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy->health->ejected)
			ejected++;
		else if (!copy->draining)
			active++;
	}
	return ejected < most && active > 1;
}

static void health_back_off(entry_health_t *health, usec_t now)
{
	usec_t span = 2 * health->backoff;

	if (span < HEALTH_BACKOFF_MIN)
		span = HEALTH_BACKOFF_MIN;
	if (span > HEALTH_BACKOFF_MAX)
		span = HEALTH_BACKOFF_MAX;
	health->backoff = span;
	health->probe_at = now + span;
}

static void health_eject(entry_service_t *svc, entry_copy_t *copy,
			 bool any_call, usec_t now)
{
	entry_health_t *health = copy->health;

	if (health->ejected || !health_may_eject(svc))
		return;
	health->ejected = true;
	health->any_call = any_call;
	health->ejected_until = now + HEALTH_EJECT_MAX;
}

/* Let an ejected copy grow back. */
static void health_readmit(entry_copy_t *copy)
{
	if (!copy->health->ejected)
		return;
	copy->health->ejected = false;
	copy->health->any_call = false;
	entry_credit_ramp(copy);
}

/* A whole answer: the copy grows back if it was ejected. */
static void health_good(entry_service_t *svc, entry_copy_t *copy, double took,
			unsigned depth, bool probation, usec_t now)
{
	entry_health_t *health = copy->health;
	double typical = svc->pace.typical;
	bool usual = typical <= 0 || took <= HEALTH_SLOW_FACTOR * typical;

	health->in_row = 0;
	health_answer_time(svc, copy, took, depth, probation);
	if (health->ejected)
		health->errors = 0;
	health_readmit(copy);
	if (!usual) {
		if (probation)
			health_back_off(health, now);
		return;
	}
	entry_credit_answered(copy);
	health->backoff /= 2;
	health->probe_at = 0;
}

/* An error or a cut answer, whichever copy gives more of them than the rest. */
static void health_failed(entry_service_t *svc, entry_copy_t *copy, usec_t sent,
			  usec_t now)
{
	entry_health_t *health = copy->health;
	double excess = health->errors - health_errors_elsewhere(svc, copy);
	usec_t usual = sent + (usec_t)svc->pace.typical;

	/* A fast failure keeps its credit as long as an answer would. */
	if (excess > HEALTH_PAUSE_EXCESS && usual > health->paused_until)
		health->paused_until = usual;
	if (health->ejected && excess < HEALTH_PAUSE_EXCESS) {
		/* The others have come to fail alike. */
		health_readmit(copy);
		return;
	}
	if (!health->ejected && (excess <= HEALTH_EJECT_EXCESS ||
				 health->sends <= HEALTH_SENDS_MIN))
		return;
	health_back_off(health, now);
	health_eject(svc, copy, false, now);
}

/* The call did not run there: no connection, or nothing but refusals. */
static void health_refused(entry_service_t *svc, entry_copy_t *copy, usec_t now)
{
	entry_health_t *health = copy->health;

	health->in_row++;
	health_back_off(health, now);
	health->paused_until = health->probe_at;
	if (health->in_row >= HEALTH_CONNECT_MAX)
		health_eject(svc, copy, true, now);
}

static void health_count_result(entry_health_t *health, entry_result_t result)
{
	bool failed = result == ENTRY_RESULT_ERROR ||
		      result == ENTRY_RESULT_TRUNCATED;

	if (!failed && result != ENTRY_RESULT_OK)
		return;
	health->errors += HEALTH_ERROR_WEIGHT * (failed - health->errors);
	health->sends = HEALTH_SENDS_KEEP * health->sends + 1;
}

void entry_health_ended(entry_service_t *svc, entry_copy_t *copy,
			entry_result_t result, usec_t sent, unsigned depth,
			usec_t now)
{
	entry_health_t *health = copy->health;
	double took = now - sent;
	bool probation = health->ejected || entry_health_slow(svc, copy, now);

	health->sent_sum -= sent;
	health_count_result(health, result);
	switch (result) {
	case ENTRY_RESULT_OK:
		health_good(svc, copy, took, depth, probation, now);
		break;
	case ENTRY_RESULT_ERROR:
	case ENTRY_RESULT_TRUNCATED:
		health_failed(svc, copy, sent, now);
		break;
	case ENTRY_RESULT_CONNECT:
		health_refused(svc, copy, now);
		break;
	case ENTRY_RESULT_SHED:
		entry_credit_shed(copy, now);
		if (copy->outstanding == 0)
			health_refused(svc, copy, now);
		break;
	case ENTRY_RESULT_DEADLINE:
	case ENTRY_RESULT_CANCEL:
		if (took > svc->pace.typical)
			health_given_up(health, took);
		if (probation && took > HEALTH_SLOW_FACTOR * svc->pace.typical)
			health_back_off(health, now);
		break;
	}
	entry_health_refresh(svc, now);
}
