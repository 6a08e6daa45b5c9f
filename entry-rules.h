#ifndef ENTRY_RULES_H
#define ENTRY_RULES_H

#include "config.h"

/*
 * Route matching for the configuration in force: by host, then by the longest
 * prefix of the path. It does no I/O; its user provides the locking.
 */
typedef struct entry_rules entry_rules_t;

/** struct entry_rule_t - the settings of a matched route for one call. */
typedef struct {
	const char *name;    /* name of the route */
	const char *service; /* chosen part of the route's traffic split */
	bool idempotent;
	bool upload;	   /* calls have a large body */
	uint64_t body_max; /* bytes of a call's body; 0: no limit */
	usec_t timeout;
	usec_t objective;
	unsigned attempts_max;
	unsigned priority;
	size_t prefix_length;
	uint64_t revision; /* of the routes */
} entry_rule_t;

/**
 * entry_rules_new - build the matcher of a configuration.
 * @config: configuration, whose routes are copied
 * @seed: starting point of the sequences that distribute calls over the parts
 *        of traffic splits
 *
 * Return: NULL if out of memory.
 */
entry_rules_t *entry_rules_new(const config_t *config, uint64_t seed);
/** entry_rules_free - free a matcher; NULL is ignored. */
void entry_rules_free(entry_rules_t *rules);

/**
 * entry_rules_match - find the route of a call.
 * @host: Host header as the caller sent it, with or without a port
 * @target: path and query
 * @part: service of the traffic split that a sibling has chosen, or NULL; ignored
 *        if the route does not have it
 * @rule: filled in; its strings are valid as long as @rules
 *
 * Without @part, each match assigns the call to one part (service) of the route's traffic
 * split. The parts get calls in proportion to their weights, also over short
 * sequences of calls.
 *
 * Return: false if no route matches.
 */
bool entry_rules_match(entry_rules_t *rules, const char *host,
		       const char *target, const char *part,
		       entry_rule_t *rule);

#endif
