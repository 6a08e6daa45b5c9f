#include "member-swim.h"

/* Time of the next tick of the SWIM protocol: the earliest of its timers. */

/* Longest interval between ticks, as a divisor of the probe period. */
#define DUE_TICK_DIVISOR 4

static usec_t due_earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/* Returns when the first suspicion times out. */
static usec_t due_suspects(const member_swim_t *swim)
{
	usec_t due = INT64_MAX;
	unsigned i;

	for (i = 0; i < swim->count; i++)
		if (swim->nodes[i]->state == PEER_SUSPECT)
			due = due_earlier(due, swim->nodes[i]->suspect_until);
	return due;
}

/* Returns when the probe in flight is to be repeated indirectly. */
static usec_t due_probe(const member_swim_t *swim)
{
	const member_probe_t *probe = &swim->probe;

	if (!probe->node || probe->indirect)
		return INT64_MAX;
	return probe->started + swim->options.probe_timeout;
}

/* Returns when the request for a page is to be repeated. */
static usec_t due_pull(const member_swim_t *swim)
{
	if (!swim->pull.tries_left)
		return INT64_MAX;
	return swim->pull.requested_at + swim->options.probe_timeout;
}

usec_t member_due(const member_swim_t *swim)
{
	usec_t due = swim->last_tick +
		     swim->options.probe_period / DUE_TICK_DIVISOR;

	due = due_earlier(due, due_suspects(swim));
	due = due_earlier(due, due_probe(swim));
	due = due_earlier(due, due_pull(swim));
	due = due_earlier(due, swim->next_probe);
	due = due_earlier(due, swim->next_dead_probe);
	due = due_earlier(due, swim->next_sync);
	return due_earlier(due, swim->next_join);
}
