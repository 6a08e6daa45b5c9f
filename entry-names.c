#include <string.h>
#include "entry.h"

/* Names of the entry's enumerations in logs, metrics, JSON and settings. */

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
	[ENTRY_REFUSE_CRASHES] = { "crashes", 503 },
	[ENTRY_REFUSE_UNREACHABLE] = { "unreachable", 503 },
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

const char *entry_result_name(entry_result_t result)
{
	static const char *const names[] = {
		[ENTRY_RESULT_OK] = "ok",
		[ENTRY_RESULT_ERROR] = "error",
		[ENTRY_RESULT_SHED] = "shed",
		[ENTRY_RESULT_CONNECT] = "connect",
		[ENTRY_RESULT_TRUNCATED] = "cut",
		[ENTRY_RESULT_DEADLINE] = "deadline",
		[ENTRY_RESULT_BLOCKED] = "blocked",
		[ENTRY_RESULT_CANCEL] = "cancel",
	};

	return names[result];
}

bool entry_policy_parse(const char *word, entry_policy_t *policy)
{
	static const char *const words[] = {
		[ENTRY_POLICY_OWNER] = "owner",
		[ENTRY_POLICY_RANDOM] = "random",
		[ENTRY_POLICY_LEAST_OUTSTANDING] = "least",
		[ENTRY_POLICY_TWO_CHOICES] = "two-choices",
		[ENTRY_POLICY_REPORTS] = "reports",
	};
	size_t i;

	for (i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (strcmp(words[i], word))
			continue;
		*policy = (entry_policy_t)i;
		return true;
	}
	return false;
}
