#ifndef CONFIG_LAG_H
#define CONFIG_LAG_H

#include "hemlock.h"

/*
 * Time for which keepers have reported a newer revision than the one in force at
 * an entry. After a maximum the entry must not serve calls by the older one: the
 * change was acknowledged, and may have moved or dropped their routes. An entry
 * that gets no reports does not know of a change, and serves calls.
 */
typedef struct {
	uint64_t missing;     /* a reported revision not in force; 0: none */
	usec_t missing_since; /* first report of it */
	uint64_t newest;      /* newest reported revision */
	usec_t newest_since;  /* first report of it */
	usec_t reported_at;   /* last report of a revision not in force */
} config_lag_t;

/**
 * config_lag_report - record that a keeper has reported a revision.
 * @lag: zeroed, or used before
 * @in_force: revision in force at this entry
 * @revision: the reported one
 * @now: current time
 */
void config_lag_report(config_lag_t *lag, uint64_t in_force, uint64_t revision,
		       usec_t now);

/**
 * config_lag_apply - record that a revision came into force.
 * @lag: used with config_lag_report()
 * @in_force: revision in force at this entry
 */
void config_lag_apply(config_lag_t *lag, uint64_t in_force);

/**
 * config_lag_age - time since the first report of a missing revision; 0: none.
 */
usec_t config_lag_age(const config_lag_t *lag, usec_t now);

/**
 * config_lag_outdated_from - time from which the revision in force is outdated.
 * @lag: used with config_lag_report()
 * @max: maximum time from the first report of a revision until it is in force
 *
 * Return: the time, or USEC_NEVER if no reported revision is missing.
 */
usec_t config_lag_outdated_from(const config_lag_t *lag, usec_t max);

/**
 * config_lag_outdated_until - time until which the last report counts.
 * @lag: used with config_lag_report()
 *
 * Later it is not known whether a newer revision is in force at the keepers.
 */
usec_t config_lag_outdated_until(const config_lag_t *lag);

#endif
