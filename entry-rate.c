#include <math.h>
#include <stdlib.h>
#include <glib.h>
#include "entry-decide.h"

/*
 * The rate of calls that a copy accepts for the time being, as it names it in
 * its responses.
 */

#define RATE_MILLI 1000.0
/* Largest rate that is told from no limit, calls per second. */
#define RATE_MAX 1e6

unsigned entry_rate_read(const char *text)
{
	char *end;
	double rate = g_ascii_strtod(text, &end);

	if (end == text || *end || !isfinite(rate) || rate < 0)
		return 0;
	if (rate >= RATE_MAX)
		rate = RATE_MAX;
	if (rate < 1 / RATE_MILLI)
		return 1;
	return (unsigned)(rate * RATE_MILLI);
}

bool entry_service_on_rate(entry_copy_t *copy, unsigned millirate)
{
	bool is_new = copy->millirate != millirate;

	copy->millirate = millirate;
	return is_new;
}
