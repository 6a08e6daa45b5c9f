#include "entry.h"

static const struct {
	const char *name;
	unsigned status;
} entry_refusals[] = {
	[ENTRY_REFUSE_NONE] = { "none", 200 },
	[ENTRY_REFUSE_SERVICE] = { "service", 404 },
	[ENTRY_REFUSE_LIMIT] = { "limit", 429 },
	[ENTRY_REFUSE_QUEUE] = { "queue", 503 },
	[ENTRY_REFUSE_DEADLINE] = { "deadline", 504 },
	[ENTRY_REFUSE_NO_COPY] = { "no-copy", 503 },
	[ENTRY_REFUSE_STOPPING] = { "stopping", 503 },
};

const char *entry_refusal_name(entry_refusal_t refusal)
{
	return entry_refusals[refusal].name;
}

unsigned entry_refusal_status(entry_refusal_t refusal)
{
	return entry_refusals[refusal].status;
}

const char *entry_outcome_name(entry_outcome_t outcome)
{
	static const char *const names[] = {
		[ENTRY_NOT_RUN] = "not-run",
		[ENTRY_MAY_HAVE_RUN] = "may-have-run",
		[ENTRY_RAN] = "ran",
	};

	return names[outcome];
}
