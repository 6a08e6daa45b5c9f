#include "entry-stop.h"

/* Time from the deadline of a call until its caller has the response. */
#define STOP_RESPONSE_TIME (50 * USEC_PER_MS)

/* Time for the last responses and the end of the process, before it is killed. */
#define STOP_EXIT_TIME (500 * USEC_PER_MS)

static usec_t stop_earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

entry_stop_t entry_stop_begin(const entry_stop_times_t *times, usec_t now)
{
	entry_stop_t stop = { now + times->accept, now + times->linger,
			      now + times->linger + times->drain };

	if (times->grace)
		stop.end = now + times->grace - STOP_EXIT_TIME;
	if (stop.end < now)
		stop.end = now;
	stop.listen_until = stop_earlier(stop.listen_until, stop.end);
	stop.accept_until = stop_earlier(stop.accept_until, stop.end);
	return stop;
}

bool entry_stop_admits(const entry_stop_t *stop, usec_t deadline, bool must_end,
		       usec_t now)
{
	if (deadline + STOP_RESPONSE_TIME <= stop->end)
		return true;
	return !must_end && now < stop->accept_until;
}
