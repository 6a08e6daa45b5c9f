#include <glib.h>
#include <math.h>
#include "entry-decide.h"

/*
 * The rate of requests that a copy accepts for the time being, as it names it in
 * its responses. Calls and probes count. The entry that holds the rate keeps it
 * by a token bucket of RATE_BURST requests (GCRA, as in entry-limit.c); other
 * entries send nothing to the copy.
 */

#define RATE_MILLI 1000.0
/* A larger rate, in requests per second, is read as this one. */
#define RATE_MAX 1e6
/* Size of the token bucket: a probe and the call that follows it. */
#define RATE_BURST 2
/* Time in which the keepers must have put a reported rate into force. */
#define RATE_REPORT_TIMEOUT (5 * USEC_PER_SEC)

unsigned entry_rate_read(const char *text)
{
	char *end;
	double rate = g_ascii_strtod(text, &end);

	if (end == text || *end || !isfinite(rate) || rate < 0)
		return 0;
	if (rate > RATE_MAX)
		rate = RATE_MAX;
	if (rate < 1 / RATE_MILLI)
		return 1;
	return (unsigned)(rate * RATE_MILLI);
}

/* Return the interval of a rate, microseconds. */
static usec_t rate_interval(unsigned millirate)
{
	return (usec_t)(RATE_MILLI * USEC_PER_SEC / millirate);
}

/* Return whether this entry alone sends to the copy: as the owner of the copy
   or as the holder of its rate. */
static bool rate_is_held(const entry_service_t *svc, const entry_copy_t *copy,
			 usec_t now)
{
	return svc->policy != ENTRY_POLICY_REPORTS ||
	       (copy->rate.held && now < svc->coordinated_until);
}

/* Return the interval between requests of this entry; USEC_NEVER if it may send
   none. */
static usec_t rate_own_interval(const entry_service_t *svc,
				const entry_copy_t *copy, usec_t now)
{
	usec_t interval = rate_interval(copy->rate.millirate);

	if (rate_is_held(svc, copy, now))
		return interval;
	if (!svc->coordinated)
		return (usec_t)((double)interval / svc->entry_share);
	return USEC_NEVER;
}

/*
 * Start the bucket of a copy anew for another interval between requests. Entries
 * that lose the keepers at the same time begin to use their shares at times that
 * are spread over the interval of a share.
 */
static void rate_restart(entry_service_t *svc, entry_copy_t *copy, usec_t now)
{
	usec_t interval = rate_own_interval(svc, copy, now);
	usec_t spread = 0;

	if (interval == USEC_NEVER)
		return;
	if (!svc->coordinated)
		spread = (usec_t)entry_random(
			svc, (unsigned)(interval % UINT32_MAX) + 1);
	copy->rate.due = now + RATE_BURST * interval + spread;
}

/* Set another rate, with an empty bucket. */
static void rate_set(entry_service_t *svc, entry_copy_t *copy,
		     unsigned millirate, usec_t now)
{
	copy->rate.millirate = millirate;
	copy->rate.since = now;
	if (millirate)
		rate_restart(svc, copy, now);
}

bool entry_service_on_rate(entry_service_t *svc, entry_copy_t *copy,
			   unsigned millirate, usec_t sent, usec_t now)
{
	if (millirate == copy->rate.millirate || sent < copy->rate.since)
		return false;
	rate_set(svc, copy, millirate, now);
	return true;
}

void entry_service_declare_rate(entry_service_t *svc, entry_copy_t *copy,
				unsigned millirate, uint64_t revision,
				bool held, usec_t now)
{
	entry_rate_t *rate = &copy->rate;

	if (revision == rate->revision)
		return;
	rate->revision = revision;
	rate->declared = millirate;
	rate->held = held;
	rate_set(svc, copy, millirate, now);
}

bool entry_service_rate_report(entry_service_t *svc, entry_copy_t *copy,
			       usec_t now)
{
	entry_rate_t *rate = &copy->rate;

	if (rate->millirate == rate->declared || !svc->coordinated)
		return false;
	if (now - rate->since < RATE_REPORT_TIMEOUT)
		return true;
	rate_set(svc, copy, rate->declared, now);
	return false;
}

usec_t entry_rate_next(const entry_service_t *svc, const entry_copy_t *copy,
		       usec_t now)
{
	usec_t interval;

	if (!copy->rate.millirate)
		return now;
	interval = rate_own_interval(svc, copy, now);
	if (interval == USEC_NEVER)
		return USEC_NEVER;
	return copy->rate.due - (RATE_BURST - 1) * interval;
}

bool entry_rate_allows(const entry_service_t *svc, const entry_copy_t *copy,
		       unsigned requests, usec_t now)
{
	usec_t next = entry_rate_next(svc, copy, now);

	if (!copy->rate.millirate)
		return true;
	if (next == USEC_NEVER)
		return false;
	return next + (requests - 1) * rate_own_interval(svc, copy, now) <= now;
}

void entry_rate_charge(const entry_service_t *svc, entry_copy_t *copy,
		       usec_t now)
{
	entry_rate_t *rate = &copy->rate;
	usec_t interval;

	if (!rate->millirate)
		return;
	interval = rate_own_interval(svc, copy, now);
	if (interval == USEC_NEVER)
		return;
	rate->due = (rate->due > now ? rate->due : now) + interval;
}

void entry_service_set_coordination(entry_service_t *svc, usec_t until,
				    usec_t now)
{
	bool coordinated = now < until;
	bool changed = coordinated != svc->coordinated;
	entry_copy_t *copy = NULL;

	svc->coordinated_until = until;
	svc->coordinated = coordinated;
	cds_list_for_each_entry (copy, &svc->copies, link)
		if (changed && copy->rate.millirate)
			rate_set(svc, copy, copy->rate.millirate, now);
}
