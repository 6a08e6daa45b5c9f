#include <math.h>
#include "entry-probe-time.h"

/* Weights of a new response in the mean and in the deviation. */
#define PROBE_TIME_MEAN_WEIGHT 0.125
#define PROBE_TIME_DEVIATION_WEIGHT 0.25
/* Number of deviations above the mean up to which a response is expected. */
#define PROBE_TIME_LIMIT_DEVIATIONS 4.0
/* Number of responses before which the initial times are used. */
#define PROBE_TIME_SAMPLES_MIN 8
#define PROBE_TIME_USUAL_INITIAL (12 * USEC_PER_MS)
/* Bounds of the limit. */
#define PROBE_TIME_LIMIT_MIN (20 * USEC_PER_MS)
#define PROBE_TIME_LIMIT_MAX (400 * USEC_PER_MS)

void entry_probe_time_add(entry_probe_time_t *time, usec_t took)
{
	double error = (double)took - time->mean;

	time->timeouts = 0;
	if (!time->samples) {
		time->mean = (double)took;
		time->deviation = (double)took / 2;
	} else {
		time->mean += PROBE_TIME_MEAN_WEIGHT * error;
		time->deviation += PROBE_TIME_DEVIATION_WEIGHT *
				   (fabs(error) - time->deviation);
	}
	if (time->samples < PROBE_TIME_SAMPLES_MIN)
		time->samples++;
}

void entry_probe_time_add_timeout(entry_probe_time_t *time)
{
	time->timeouts++;
}

usec_t entry_probe_time_usual(const entry_probe_time_t *time)
{
	if (time->samples < PROBE_TIME_SAMPLES_MIN)
		return PROBE_TIME_USUAL_INITIAL;
	return (usec_t)(time->mean + time->deviation);
}

usec_t entry_probe_time_limit(const entry_probe_time_t *time)
{
	unsigned timeouts = time->timeouts;
	double limit = time->mean +
		       PROBE_TIME_LIMIT_DEVIATIONS * time->deviation;

	if (time->samples < PROBE_TIME_SAMPLES_MIN)
		return PROBE_TIME_LIMIT_MAX;
	if (limit < PROBE_TIME_LIMIT_MIN)
		limit = PROBE_TIME_LIMIT_MIN;
	while (timeouts-- > 0 && limit < PROBE_TIME_LIMIT_MAX)
		limit *= 2;
	return limit < PROBE_TIME_LIMIT_MAX ? (usec_t)limit :
					      PROBE_TIME_LIMIT_MAX;
}
