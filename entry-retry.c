#include <glib.h>
#include <stdlib.h>
#include "entry-decide.h"

/*
 * The retry budget of a service: a token bucket of sends beyond the first of
 * each call (retries and hedges), and the rules for repeating a failed send.
 */

/* Number of sends in the budget at the start, and max number of sends in it. */
#define RETRY_INITIAL 3.0
#define RETRY_MAX 20.0
/* Sends per second added to the budget regardless of the number of calls. */
#define RETRY_MIN_RATE 1.0

/* Fraction of the slack of a shared budget that may be spent in one burst; the
   remainder is added over its window. */
#define RETRY_BURST_FRACTION 0.5

/* Max number of sends of a call that fail before the first byte. */
#define RETRY_UNSENT_MAX 4

struct entry_retry {
	double sends;
	usec_t refilled_at; /* last addition by elapsed time */
	bool shared;	    /* the fields below apply, not the profile */
	double ratio;
	double burst; /* max number of sends in the budget */
	double rate;  /* sends added per second */
};

struct entry_retry *entry_retry_new(void)
{
	struct entry_retry *retry = calloc(1, sizeof(*retry));

	if (retry)
		retry->sends = RETRY_INITIAL;
	return retry;
}

void entry_retry_free(struct entry_retry *retry)
{
	free(retry);
}

/* Add the sends of the elapsed time to a shared budget. */
static void retry_refill(struct entry_retry *retry, usec_t now)
{
	double elapsed = (double)(now - retry->refilled_at) / USEC_PER_SEC;

	retry->refilled_at = now;
	retry->sends += elapsed * retry->rate;
	if (retry->sends > retry->burst)
		retry->sends = retry->burst;
}

/*
 * A new process starts with an empty budget, as an earlier process may have
 * spent the budget of the current window.
 */
void entry_retry_set_budget(struct entry_retry *retry, double ratio,
			    double slack, usec_t window, usec_t now)
{
	double burst = RETRY_BURST_FRACTION * slack;

	/* A budget below one send could never be spent. */
	if (burst < 1)
		burst = 1;
	if (!retry->shared) {
		retry->sends = 0;
		retry->refilled_at = now;
	}
	retry_refill(retry, now);
	retry->shared = true;
	retry->ratio = ratio;
	retry->burst = burst;
	retry->rate = 0;
	if (slack > burst)
		retry->rate = (slack - burst) * USEC_PER_SEC / (double)window;
}

static void retry_earn_shared(struct entry_retry *retry, usec_t now)
{
	retry_refill(retry, now);
	retry->sends += retry->ratio;
	if (retry->sends > retry->burst)
		retry->sends = retry->burst;
}

void entry_retry_earn(struct entry_retry *retry,
		      const config_profile_t *profile, usec_t now)
{
	double elapsed = (double)(now - retry->refilled_at) / USEC_PER_SEC;

	if (retry->shared) {
		retry_earn_shared(retry, now);
		return;
	}
	if (profile->retry_percent == 0) {
		retry->sends = 0;
		return;
	}
	if (retry->refilled_at > 0)
		retry->sends += elapsed * RETRY_MIN_RATE;
	retry->refilled_at = now;
	retry->sends += profile->retry_percent / 100.0;
	if (retry->sends > RETRY_MAX)
		retry->sends = RETRY_MAX;
}

bool entry_retry_allowed(const config_profile_t *profile,
			 const entry_call_t *call, entry_result_t result)
{
	unsigned max_attempts = call->attempts_max ? call->attempts_max :
						     profile->attempts_max;

	if (call->not_replayable)
		return false;
	/* The limit of a route counts a send as an attempt only if a byte was
	   sent. */
	if (call->attempts_max && result == ENTRY_RESULT_CONNECT)
		return call->unsent_attempts < RETRY_UNSENT_MAX &&
		       call->attempts - call->unsent_attempts < max_attempts;
	if (call->attempts - call->unsent_attempts >= max_attempts)
		return false;
	switch (result) {
	case ENTRY_RESULT_CONNECT:
		/* No copy received the call, so a no-retry header of the caller
		   does not forbid another send. */
		return true;
	case ENTRY_RESULT_SHED:
		return !call->no_retry;
	case ENTRY_RESULT_ERROR:
	case ENTRY_RESULT_TRUNCATED:
		return call->idempotent && !call->no_retry;
	default:
		return false;
	}
}

bool entry_retry_spend(struct entry_retry *retry, usec_t now)
{
	if (retry->shared)
		retry_refill(retry, now);
	if (retry->sends < 1)
		return false;
	retry->sends -= 1;
	return true;
}

void entry_retry_refund(struct entry_retry *retry)
{
	retry->sends = MIN(retry->sends + 1, retry->burst);
}

bool entry_retry_is_exempt(const struct entry_retry *retry,
			   entry_result_t result)
{
	return retry->shared && result == ENTRY_RESULT_CONNECT;
}

bool entry_service_sets_no_retry(const entry_service_t *svc,
				 const entry_call_t *call)
{
	if (call->no_retry)
		return true;
	return call->idempotent && svc->profile->attempts_max > 1 &&
	       svc->profile->retry_percent > 0;
}
