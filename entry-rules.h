#ifndef ENTRY_RULES_H
#define ENTRY_RULES_H

#include "config.h"

/*
 * The routes of the configuration in force, ready to be matched: by host, then
 * by the longest prefix of the path. Pure; whoever holds the rules locks them.
 */
typedef struct entry_rules entry_rules_t;

/** struct entry_rule_t - what a call is to be treated by. */
typedef struct {
	const char *name;    /* of the route */
	const char *service; /* the part that the call goes to */
	bool idempotent;
	usec_t timeout;
	usec_t objective;
	unsigned attempts_max;
	unsigned priority;
} entry_rule_t;

/**
 * entry_rules_new - the rules of a configuration.
 * @config: copied as far as it is needed
 * @seed: begins the sequence by which calls are dealt to the parts of a split
 *
 * Return: NULL without memory.
 */
entry_rules_t *entry_rules_new(const config_t *config, uint64_t seed);
void entry_rules_free(entry_rules_t *rules);

/**
 * entry_rules_match - the route of a call.
 * @host: as the caller sent it, with or without a port
 * @target: path and query
 * @rule: filled in; its strings live as long as @rules
 *
 * Each match deals the call to a part of the route: the parts get calls by
 * their weights, evenly spread over any run of calls.
 *
 * Return: false if no route is for it.
 */
bool entry_rules_match(entry_rules_t *rules, const char *host,
		       const char *target, entry_rule_t *rule);

#endif
