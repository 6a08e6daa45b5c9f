#include "member-swim.h"

/* Part of a probe period that may pass without a tick. */
#define DUE_PERIOD_PART 4

static usec_t due_earlier(usec_t a, usec_t b)
{
	return a < b ? a : b;
}

/* The first time-out of a member that is suspected. */
static usec_t due_suspects(const member_swim_t *swim)
{
	usec_t due = INT64_MAX;
	unsigned i;

	for (i = 0; i < swim->count; i++)
		if (swim->nodes[i]->state == PEER_SUSPECT)
			due = due_earlier(due, swim->nodes[i]->suspect_until);
	return due;
}

/* When the probe that is under way is taken to others. */
static usec_t due_probe(const member_swim_t *swim)
{
	const member_probe_t *probe = &swim->probe;

	if (!probe->node || probe->indirect)
		return INT64_MAX;
	return probe->started + swim->options.probe_timeout;
}

/* When a page that did not come is asked for again. */
static usec_t due_pull(const member_swim_t *swim)
{
	if (!swim->pull.tries)
		return INT64_MAX;
	return swim->pull.asked + swim->options.probe_timeout;
}

usec_t member_due(const member_swim_t *swim)
{
	usec_t due = swim->last_tick +
		     swim->options.probe_period / DUE_PERIOD_PART;

	due = due_earlier(due, due_suspects(swim));
	due = due_earlier(due, due_probe(swim));
	due = due_earlier(due, due_pull(swim));
	due = due_earlier(due, swim->next_probe);
	due = due_earlier(due, swim->next_revive);
	due = due_earlier(due, swim->next_sync);
	return due_earlier(due, swim->next_join);
}
