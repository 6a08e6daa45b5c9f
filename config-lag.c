#include "config-lag.h"

/* Maximum age of a report: keepers answer each heartbeat of an entry, by default
 * one a second, and one answer may get lost. */
#define LAG_REPORT_AGE_MAX (2500 * USEC_PER_MS)

void config_lag_report(config_lag_t *lag, uint64_t in_force, uint64_t revision,
		       usec_t now)
{
	if (revision <= in_force)
		return;
	lag->reported_at = now;
	if (!lag->missing) {
		lag->missing = revision;
		lag->missing_since = now;
	}
	if (revision > lag->newest) {
		lag->newest = revision;
		lag->newest_since = now;
	}
}

void config_lag_apply(config_lag_t *lag, uint64_t in_force)
{
	if (lag->missing > in_force)
		return;
	lag->missing = 0;
	if (lag->newest <= in_force)
		return;
	lag->missing = lag->newest;
	lag->missing_since = lag->newest_since;
}

usec_t config_lag_age(const config_lag_t *lag, usec_t now)
{
	return lag->missing ? now - lag->missing_since : 0;
}

usec_t config_lag_outdated_from(const config_lag_t *lag, usec_t max)
{
	return lag->missing ? lag->missing_since + max : USEC_NEVER;
}

usec_t config_lag_outdated_until(const config_lag_t *lag)
{
	return lag->reported_at + LAG_REPORT_AGE_MAX;
}
