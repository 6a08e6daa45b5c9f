#include "entry-stop.h"

/* Time from the deadline of a call until its caller has the response. */
#define STOP_RESPONSE_TIME (50 * USEC_PER_MS)

entry_stop_t entry_stop_begin(usec_t accept, usec_t linger, usec_t drain,
			      usec_t now)
{
	entry_stop_t stop = { now + accept, now + linger + drain };

	return stop;
}

bool entry_stop_admits(const entry_stop_t *stop, usec_t deadline,
		       bool body_pending, usec_t now)
{
	if (deadline + STOP_RESPONSE_TIME <= stop->end)
		return true;
	return !body_pending && now < stop->accept_until;
}
