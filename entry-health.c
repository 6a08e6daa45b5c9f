#include <stdlib.h>
#include "entry-decide.h"

/*
 * Outlier detection: estimates the response time and the fraction of failed
 * sends of each copy, pauses and ejects copies that do worse than the others,
 * and readmits them after a successful probation call. Owns entry_health_t and
 * the statistics of the service.
 */

/* Factor by which earlier response times decay at each new response. */
#define HEALTH_TIME_DECAY 0.9
/* Decay factor at the response to a probation call. */
#define HEALTH_PROBATION_TIME_DECAY 0.3
/* Number of assumed responses, as slow as the median, that each estimate of a
   response time starts with. */
#define HEALTH_PRIOR_RESPONSES 2.0
/* A copy is slow if its response time is above this multiple of the median. */
#define HEALTH_SLOW_FACTOR 2.5
/* Weight of a new result in the EWMA of failed sends. */
#define HEALTH_ERROR_WEIGHT 0.25
/* A copy is paused, or ejected, if its fraction of failed sends exceeds the
   mean of the other copies by this much. */
#define HEALTH_PAUSE_EXCESS 0.35
#define HEALTH_EJECT_EXCESS 0.45
/* Min decayed number of ended sends before a copy is ejected for errors. */
#define HEALTH_SENDS_MIN 2.5
/* Factor by which the number of ended sends decays at each further one. */
#define HEALTH_SENDS_DECAY 0.9
/* Number of consecutive refusals or failed connects that ejects a copy. */
#define HEALTH_EJECT_REFUSALS 2
/* Backoff between probation calls, doubled after each failure. */
#define HEALTH_BACKOFF_MIN (30 * USEC_PER_MS)
#define HEALTH_BACKOFF_MAX (5 * USEC_PER_SEC)
/* Time after an ejection from which a call that is not idempotent may be the
   probation call too, in case no idempotent call arrives. */
#define HEALTH_EJECT_TIMEOUT (60 * USEC_PER_SEC)
/* Interval at which the median and the capacity are recomputed. */
#define HEALTH_REFRESH_INTERVAL (10 * USEC_PER_MS)
/* Max number of copies that the median is taken over. */
#define HEALTH_MEDIAN_COPIES_MAX 64
/* The percentile of response times that is tracked, and its step size. */
#define HEALTH_PERCENTILE 0.95
#define HEALTH_PERCENTILE_STEP 0.2

void entry_health_on_send(entry_copy_t *copy, usec_t now)
{
	entry_health_t *health = copy->health;

	health->sent_sum += now;
	if (now >= health->probe_at)
		health->probe_at = now + (health->backoff ? health->backoff :
							    HEALTH_BACKOFF_MIN);
}

/*
 * The response time is estimated from the decayed sum of past responses, and
 * again with the running sends as if they ended now, so that an overdue call
 * counts before it ends. The larger estimate is used.
 */
double entry_health_response_time(const entry_service_t *svc,
				  const entry_copy_t *copy, usec_t now)
{
	const entry_health_t *health = copy->health;
	double median = svc->stats.median;
	double sum = health->time_sum + HEALTH_PRIOR_RESPONSES * median;
	double count = health->time_count + HEALTH_PRIOR_RESPONSES;
	double slots = entry_credit_slots(copy);
	double running = copy->outstanding;
	double age = running * now - health->sent_sum;
	double ended = sum / count;
	double with_running;

	if (running > slots) {
		age *= slots / running;
		running = slots;
	}
	with_running = (sum + age) / (count + running);
	return with_running > ended ? with_running : ended;
}

bool entry_health_is_slow(const entry_service_t *svc, const entry_copy_t *copy,
			  usec_t now)
{
	double median = svc->stats.median;

	return median > 0 && entry_health_response_time(svc, copy, now) >
				     HEALTH_SLOW_FACTOR * median;
}

bool entry_health_probation_due(const entry_copy_t *copy,
				const entry_call_t *call, usec_t now)
{
	const entry_health_t *health = copy->health;

	if (copy->outstanding > 0 || now < health->probe_at)
		return false;
	return call->idempotent || health->probe_any_call ||
	       (health->ejected && now >= health->ejected_until);
}

static int health_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Return the median of the mean response times of the copies; 0 if unknown. */
static double health_median(const entry_service_t *svc)
{
	double means[HEALTH_MEDIAN_COPIES_MAX];
	const entry_copy_t *copy = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		const entry_health_t *health = copy->health;

		if (health->time_count > 0 && count < HEALTH_MEDIAN_COPIES_MAX)
			means[count++] = health->time_sum / health->time_count;
	}
	if (count == 0)
		return 0;
	qsort(means, count, sizeof(means[0]), health_compare);
	return means[(count - 1) / 2];
}

/* Return the calls per second that all copies together can run. */
static double health_capacity(const entry_service_t *svc, usec_t now)
{
	const entry_copy_t *copy = NULL;
	double rate = 0;

	if (svc->stats.median <= 0)
		return 0;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		unsigned credits = entry_credit_of(svc, copy, now);
		unsigned slots = entry_credit_slots(copy);

		if (copy->draining || copy->health->ejected)
			continue;
		rate += (credits < slots ? credits : slots) * USEC_PER_SEC /
			entry_health_response_time(svc, copy, now);
	}
	return rate;
}

void entry_health_refresh(entry_service_t *svc, usec_t now)
{
	if (svc->stats.median > 0 &&
	    now - svc->stats.updated_at < HEALTH_REFRESH_INTERVAL)
		return;
	svc->stats.updated_at = now;
	svc->stats.median = health_median(svc);
	svc->stats.capacity = health_capacity(svc, now);
}

/* Track the percentile by a step up or down at each response. */
static void health_update_p95(entry_service_stats_t *stats, double took)
{
	if (stats->p95 <= 0)
		stats->p95 = took;
	else if (took > stats->p95)
		stats->p95 += HEALTH_PERCENTILE_STEP * stats->median *
			      HEALTH_PERCENTILE;
	else
		stats->p95 -= HEALTH_PERCENTILE_STEP * stats->median *
			      (1 - HEALTH_PERCENTILE);
}

static void health_add_response_time(entry_service_t *svc, entry_copy_t *copy,
				     double took, unsigned depth,
				     bool probation)
{
	entry_health_t *health = copy->health;
	unsigned slots = entry_credit_slots(copy);
	double decay = probation ? HEALTH_PROBATION_TIME_DECAY :
				   HEALTH_TIME_DECAY;

	health_update_p95(&svc->stats, took);
	/* Take out the time that a call waited at the copy for a slot. */
	if (depth > slots)
		took *= (double)slots / depth;
	health->time_sum = decay * health->time_sum + took;
	health->time_count = decay * health->time_count + 1;
}

/* Add the time of a send without a response, which would have taken longer. */
static void health_add_unanswered_time(entry_health_t *health, double took)
{
	health->time_sum = HEALTH_TIME_DECAY * health->time_sum + took;
	health->time_count *= HEALTH_TIME_DECAY;
}

/* Return the mean failed fraction of the other copies. If none of them has an
   ended send, return 1, so that the copy does not exceed the mean. */
static double health_others_failed_fraction(const entry_service_t *svc,
					    const entry_copy_t *excluded)
{
	const entry_copy_t *copy = NULL;
	double sum = 0;
	unsigned count = 0;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy == excluded || copy->health->send_count <= 0)
			continue;
		sum += copy->health->failed_fraction;
		count++;
	}
	return count ? sum / count : 1;
}

/* Whether eject_percent of the profile allows one more ejection. At least one
   copy must remain. */
static bool health_may_eject(const entry_service_t *svc)
{
	const entry_copy_t *copy = NULL;
	unsigned ejected = 0;
	unsigned active = 0;
	unsigned max_ejected = svc->copy_count * svc->profile->eject_percent /
			       100;

	if (svc->profile->eject_percent > 0 && max_ejected == 0)
		max_ejected = 1;
	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy->health->ejected)
			ejected++;
		else if (!copy->draining)
			active++;
	}
	return ejected < max_ejected && active > 1;
}

static void health_back_off(entry_health_t *health, usec_t now)
{
	usec_t length = 2 * health->backoff;

	if (length < HEALTH_BACKOFF_MIN)
		length = HEALTH_BACKOFF_MIN;
	if (length > HEALTH_BACKOFF_MAX)
		length = HEALTH_BACKOFF_MAX;
	health->backoff = length;
	health->probe_at = now + length;
}

static void health_eject(entry_service_t *svc, entry_copy_t *copy,
			 bool any_call, usec_t now)
{
	entry_health_t *health = copy->health;

	if (health->ejected || !health_may_eject(svc))
		return;
	health->ejected = true;
	health->probe_any_call = any_call;
	health->ejected_until = now + HEALTH_EJECT_TIMEOUT;
}

/* Readmit an ejected copy; its credits restart at one. */
static void health_readmit(entry_copy_t *copy)
{
	if (!copy->health->ejected)
		return;
	copy->health->ejected = false;
	copy->health->probe_any_call = false;
	entry_credit_ramp_start(copy);
}

void entry_health_on_reachable(entry_copy_t *copy)
{
	entry_health_t *health = copy->health;

	if (!health->consecutive_refusals)
		return;
	health->consecutive_refusals = 0;
	health->paused_until = 0;
	health->backoff = 0;
	health->probe_at = 0;
	health_readmit(copy);
}

/* Handle a complete response. Even a slow one readmits an ejected copy. */
static void health_on_success(entry_service_t *svc, entry_copy_t *copy,
			      double took, unsigned depth, bool probation,
			      usec_t now)
{
	entry_health_t *health = copy->health;
	double median = svc->stats.median;
	bool in_time = median <= 0 || took <= HEALTH_SLOW_FACTOR * median;

	health->consecutive_refusals = 0;
	health_add_response_time(svc, copy, took, depth, probation);
	if (health->ejected)
		health->failed_fraction = 0;
	health_readmit(copy);
	if (!in_time) {
		if (probation)
			health_back_off(health, now);
		return;
	}
	entry_credit_on_response(copy);
	health->backoff /= 2;
	health->probe_at = 0;
}

/*
 * Handle an error or an incomplete response. A copy is paused or ejected only
 * if it fails more often than the other copies.
 */
static void health_on_failure(entry_service_t *svc, entry_copy_t *copy,
			      usec_t sent, usec_t now)
{
	entry_health_t *health = copy->health;
	double excess = health->failed_fraction -
			health_others_failed_fraction(svc, copy);
	usec_t expected_end = sent + (usec_t)svc->stats.median;

	/*
	 * Pause the copy for as long as a response would have taken, so that a
	 * copy that fails fast does not attract calls.
	 */
	if (excess > HEALTH_PAUSE_EXCESS && expected_end > health->paused_until)
		health->paused_until = expected_end;
	if (health->ejected && excess < HEALTH_PAUSE_EXCESS) {
		/* The other copies now fail as often as the ejected one. */
		health_readmit(copy);
		return;
	}
	if (!health->ejected && (excess <= HEALTH_EJECT_EXCESS ||
				 health->send_count <= HEALTH_SENDS_MIN))
		return;
	health_back_off(health, now);
	health_eject(svc, copy, false, now);
}

/* Handle a send that did not run: no connection, or the copy refuses calls. */
static void health_on_refusal(entry_service_t *svc, entry_copy_t *copy,
			      usec_t now)
{
	entry_health_t *health = copy->health;

	health->consecutive_refusals++;
	health_back_off(health, now);
	health->paused_until = health->probe_at;
	if (health->consecutive_refusals >= HEALTH_EJECT_REFUSALS)
		health_eject(svc, copy, true, now);
}

static void health_count_result(entry_health_t *health, entry_result_t result)
{
	bool failed = result == ENTRY_RESULT_ERROR ||
		      result == ENTRY_RESULT_TRUNCATED;

	if (!failed && result != ENTRY_RESULT_OK)
		return;
	health->failed_fraction += HEALTH_ERROR_WEIGHT *
				   (failed - health->failed_fraction);
	health->send_count = HEALTH_SENDS_DECAY * health->send_count + 1;
}

void entry_health_on_send_end(entry_service_t *svc, entry_copy_t *copy,
			      entry_result_t result, usec_t sent,
			      unsigned depth, usec_t now)
{
	entry_health_t *health = copy->health;
	double took = now - sent;
	bool probation = health->ejected ||
			 entry_health_is_slow(svc, copy, now);

	health->sent_sum -= sent;
	health_count_result(health, result);
	switch (result) {
	case ENTRY_RESULT_OK:
		health_on_success(svc, copy, took, depth, probation, now);
		break;
	case ENTRY_RESULT_ERROR:
	case ENTRY_RESULT_TRUNCATED:
		health_on_failure(svc, copy, sent, now);
		break;
	case ENTRY_RESULT_CONNECT:
		health_on_refusal(svc, copy, now);
		break;
	case ENTRY_RESULT_SHED:
		entry_credit_on_shed(copy, now);
		if (copy->outstanding == 0)
			health_on_refusal(svc, copy, now);
		break;
	case ENTRY_RESULT_BLOCKED:
		break;
	case ENTRY_RESULT_DEADLINE:
	case ENTRY_RESULT_CANCEL:
		if (took > svc->stats.median)
			health_add_unanswered_time(health, took);
		if (probation && took > HEALTH_SLOW_FACTOR * svc->stats.median)
			health_back_off(health, now);
		break;
	}
	entry_health_refresh(svc, now);
}
