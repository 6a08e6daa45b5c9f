#include "entry-decide.h"

/*
 * The rate of probes of a service: a token bucket, so that the load that probes
 * place on the copies is bounded however many calls wait for one.
 */

/* Size of the bucket: the probes of this time at the limit. */
#define PROBE_RATE_BURST (5 * USEC_PER_SEC)
/* Fraction of a full bucket below which probes are scarce. */
#define PROBE_RATE_SCARCE 0.5

static double probe_rate_burst(const entry_probe_rate_t *bucket)
{
	double burst = bucket->rate * PROBE_RATE_BURST / USEC_PER_SEC;

	/* A bucket below one token could never be used. */
	return burst < 1 ? 1 : burst;
}

static void probe_rate_refill(entry_probe_rate_t *bucket, usec_t now)
{
	double elapsed = (double)(now - bucket->filled_at) / USEC_PER_SEC;
	double burst = probe_rate_burst(bucket);

	bucket->filled_at = now;
	bucket->tokens += elapsed * bucket->rate;
	if (bucket->tokens > burst)
		bucket->tokens = burst;
}

void entry_service_set_probe_rate(entry_service_t *svc, double rate, usec_t now)
{
	entry_probe_rate_t *bucket = &svc->probe_rate;
	bool was_limited = bucket->rate > 0;

	if (was_limited)
		probe_rate_refill(bucket, now);
	bucket->rate = rate;
	if (was_limited)
		return;
	bucket->filled_at = now;
	bucket->tokens = probe_rate_burst(bucket);
}

bool entry_probe_rate_is_scarce(entry_service_t *svc, usec_t now)
{
	entry_probe_rate_t *bucket = &svc->probe_rate;

	if (bucket->rate <= 0)
		return false;
	probe_rate_refill(bucket, now);
	return bucket->tokens < PROBE_RATE_SCARCE * probe_rate_burst(bucket);
}

unsigned entry_probe_rate_take(entry_service_t *svc, unsigned count, usec_t now)
{
	entry_probe_rate_t *bucket = &svc->probe_rate;

	if (bucket->rate <= 0)
		return count;
	probe_rate_refill(bucket, now);
	if (bucket->tokens < 1)
		return 0;
	if (count > (unsigned)bucket->tokens)
		count = (unsigned)bucket->tokens;
	bucket->tokens -= count;
	return count;
}

void entry_probe_rate_charge(entry_service_t *svc, usec_t now)
{
	entry_probe_rate_t *bucket = &svc->probe_rate;

	if (bucket->rate <= 0 || entry_probe_rate_is_scarce(svc, now))
		return;
	bucket->tokens--;
}
