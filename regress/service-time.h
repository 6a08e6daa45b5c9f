#ifndef SERVICE_TIME_H
#define SERVICE_TIME_H

#include <math.h>
#include <string.h>
#include "hemlock.h"

/*
 * Service time of a request at a copy. standin-target and bench/ideal-queue
 * share this code, so that both give a request the same time.
 */

/* The logistic quantile divided by this approximates the normal quantile. */
#define SERVICE_TIME_LOGISTIC_SCALE 1.702
/* Number of bits in the mantissa of a double. */
#define SERVICE_TIME_UNIFORM_BITS 53

/**
 * service_time_bits - derive random bits from a request id
 * @id: the request id
 * @seed: the seed of the run
 *
 * Returns 64 bits for service_time_quantile(), the same at every copy.
 */
static inline uint64_t service_time_bits(const char *id, int64_t seed)
{
	return hl_hash(id, strlen(id), (uint64_t)seed);
}

/**
 * service_time_quantile - maps random bits to a service time
 * @distribution: "fixed", "exponential" or "lognormal" (sigma 1)
 * @mean: mean service time in microseconds
 * @bits: 64 random bits, of which the upper 53 choose the quantile
 *
 * Returns the service time in microseconds; an unknown distribution counts as
 * fixed.
 */
static inline double service_time_quantile(const char *distribution,
					   double mean, uint64_t bits)
{
	double u = ((double)(bits >> (64 - SERVICE_TIME_UNIFORM_BITS)) + 0.5) /
		   (double)(1ULL << SERVICE_TIME_UNIFORM_BITS);

	if (!strcmp(distribution, "exponential"))
		return -mean * log(u);
	if (!strcmp(distribution, "lognormal"))
		return mean *
		       exp(log(u / (1 - u)) / SERVICE_TIME_LOGISTIC_SCALE -
			   0.5);
	return mean;
}

#endif
