#include <stdlib.h>
#include "entry-decide.h"

/* Sends the budget starts with, and that it holds at most. */
#define RETRY_START 3.0
#define RETRY_MOST 20.0
/* Sends a second that a service with few calls earns. */
#define RETRY_FLOOR_RATE 1.0

/* Part of a shared budget's fixed number that may be spent at once; the rest
   comes over its span. */
#define RETRY_BURST_PART 0.5

/* Sends of which no byte left, for one call. */
#define RETRY_UNSENT_MAX 4

struct entry_retry {
	double sends;
	usec_t earned; /* when what comes with time was last added */
	bool shared;   /* bound by what follows, not by the profile */
	double ratio;
	double burst; /* most that is held */
	double rate;  /* a second */
};

struct entry_retry *entry_retry_new(void)
{
	struct entry_retry *retry = calloc(1, sizeof(*retry));

	if (retry)
		retry->sends = RETRY_START;
	return retry;
}

void entry_retry_free(struct entry_retry *retry)
{
	free(retry);
}

/* What comes with time to a budget that is shared. */
static void retry_refill(struct entry_retry *retry, usec_t now)
{
	double span = (double)(now - retry->earned) / USEC_PER_SEC;

	retry->earned = now;
	retry->sends += span * retry->rate;
	if (retry->sends > retry->burst)
		retry->sends = retry->burst;
}

/*
 * A process begins with nothing: one that went before it may have spent what
 * was there.
 */
void entry_retry_share(struct entry_retry *retry, double ratio, double slack,
		       usec_t span, usec_t now)
{
	double burst = RETRY_BURST_PART * slack;

	/* Less than one could never be spent. */
	if (burst < 1)
		burst = 1;
	if (!retry->shared) {
		retry->sends = 0;
		retry->earned = now;
	}
	retry_refill(retry, now);
	retry->shared = true;
	retry->ratio = ratio;
	retry->burst = burst;
	retry->rate = 0;
	if (slack > burst)
		retry->rate = (slack - burst) * USEC_PER_SEC / (double)span;
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
	double span = (double)(now - retry->earned) / USEC_PER_SEC;

	if (retry->shared) {
		retry_earn_shared(retry, now);
		return;
	}
	if (profile->retry_percent == 0) {
		retry->sends = 0;
		return;
	}
	if (retry->earned > 0)
		retry->sends += span * RETRY_FLOOR_RATE;
	retry->earned = now;
	retry->sends += profile->retry_percent / 100.0;
	if (retry->sends > RETRY_MOST)
		retry->sends = RETRY_MOST;
}

bool entry_retry_allowed(const config_profile_t *profile,
			 const entry_call_t *call, entry_result_t result)
{
	unsigned most = call->attempts_max ? call->attempts_max :
					     profile->attempts_max;

	if (call->not_replayable)
		return false;
	/* With a route, what no copy has seen is no attempt. */
	if (call->attempts_max && result == ENTRY_RESULT_CONNECT)
		return call->unsent < RETRY_UNSENT_MAX &&
		       call->attempts - call->unsent < most;
	if (call->attempts - call->unsent >= most)
		return false;
	switch (result) {
	case ENTRY_RESULT_CONNECT:
		/* It cost no copy anything, so the mark does not bind. */
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

bool entry_retry_free_of_charge(const struct entry_retry *retry,
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
