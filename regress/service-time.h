#ifndef SERVICE_TIME_H
#define SERVICE_TIME_H

#include <math.h>
#include <string.h>
#include "hemlock.h"

/* How long a request runs at a copy: the stand-in and the ideal queue agree. */

/* The logistic quantile over this is close to the normal one. */
#define SERVICE_LOGISTIC_SCALE 1.702
#define SERVICE_BITS 53

/** service_time_bits - the random bits of a request, the same at every copy. */
static inline uint64_t service_time_bits(const char *id, int64_t seed)
{
	return hl_hash(id, strlen(id), (uint64_t)seed);
}

/**
 * service_time_quantile - the time that some random bits stand for.
 * @distribution: fixed, exponential or lognormal (sigma 1)
 * @mean: in microseconds
 * @bits: 64 random bits
 */
static inline double service_time_quantile(const char *distribution,
					   double mean, uint64_t bits)
{
	double u = ((double)(bits >> (64 - SERVICE_BITS)) + 0.5) /
		   (double)(1ULL << SERVICE_BITS);

	if (!strcmp(distribution, "exponential"))
		return -mean * log(u);
	if (!strcmp(distribution, "lognormal"))
		return mean *
		       exp(log(u / (1 - u)) / SERVICE_LOGISTIC_SCALE - 0.5);
	return mean;
}

#endif
