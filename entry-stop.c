#include "entry-stop.h"

/* Time from the deadline of a call until its caller has the response. */
#define STOP_RESPONSE_TIME (50 * USEC_PER_MS)

/* Time for the last responses and the end of the process, before it is killed: a
   part of the grace period, and a maximum. */
#define STOP_EXIT_PART 12
#define STOP_EXIT_TIME_MAX (500 * USEC_PER_MS)

static usec_t stop_earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/* Uses a grace period up to the time that the process needs to end. Calls that are
   taken whatever their deadline get half of it at least. */
static void stop_set_grace(entry_stop_t *stop, usec_t grace, usec_t now)
{
	usec_t exit_time = stop_earlier(grace / STOP_EXIT_PART,
					STOP_EXIT_TIME_MAX);

	stop->end = now + grace - exit_time;
	stop->linger_until = stop->end + exit_time / 2;
	stop->listen_until = stop_earlier(stop->listen_until, stop->end);
	stop->accept_until = stop_earlier(stop->accept_until, now + grace / 2);
}

entry_stop_t entry_stop_begin(const entry_stop_times_t *times, usec_t now)
{
	usec_t end = now + times->linger + times->drain;
	entry_stop_t stop = { now + times->accept, now + times->linger, end,
			      end };

	if (times->grace)
		stop_set_grace(&stop, times->grace, now);
	return stop;
}

bool entry_stop_admits(const entry_stop_t *stop, usec_t deadline, bool must_end,
		       usec_t now)
{
	if (deadline + STOP_RESPONSE_TIME <= stop->end)
		return true;
	return !must_end && now < stop->accept_until;
}
