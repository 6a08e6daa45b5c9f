#ifndef CONFIG_REPORT_H
#define CONFIG_REPORT_H

#include "follow_rpc.h"
#include "owner.h"

/*
 * The versions in force below one entry of the tree. Each poll of a child
 * says what its whole subtree has; an entry gives its parent the lowest of
 * these and names the VMs that lag, and the root tells the keepers. Pure.
 */

/* Entries that ask this one: its children and those that lost their parent. */
#define CONFIG_REPORT_ASKERS_MAX 128
/* VMs that went away without a word and are named for a while. */
#define CONFIG_REPORT_LOST_MAX 32
#define CONFIG_REPORT_LOST_HOLD (60 * USEC_PER_SEC)

/** struct config_laggard_t - a VM and what it has at least. */
typedef struct {
	char vm[HL_NAME_MAX];
	uint64_t revision;
} config_laggard_t;

/** struct config_summary_t - what is in force in a subtree. */
typedef struct {
	uint64_t floor; /* the lowest but for the laggards */
	unsigned laggard_count;
	config_laggard_t laggards[FOLLOW_LAGGING_MAX];
} config_summary_t;

/** struct config_asker_t - the last word of an entry that asks this one. */
typedef struct {
	char vm[HL_NAME_MAX];
	usec_t heard;
	uint64_t have;	/* what it has in force itself */
	uint64_t floor; /* the lowest of its subtree but for the laggards */
	unsigned laggard_count;
	config_laggard_t laggards[FOLLOW_LAGGING_MAX];
} config_asker_t;

/** struct config_lost_t - a VM that is no longer live. */
typedef struct {
	char vm[HL_NAME_MAX];
	uint64_t revision; /* that it had at least */
	usec_t since;
} config_lost_t;

typedef struct {
	usec_t fresh; /* an older word says nothing about now */
	unsigned asker_count;
	config_asker_t askers[CONFIG_REPORT_ASKERS_MAX];
	unsigned lost_count;
	config_lost_t lost[CONFIG_REPORT_LOST_MAX];
} config_report_t;

/** struct config_report_view_t - the tree around this entry. */
typedef struct {
	const owner_member_t *members; /* sorted */
	unsigned count;
	int self; /* place of this entry, -1 when it is alone */
	unsigned fanout;
	uint64_t revision; /* in force here */
	usec_t since;	   /* when the members last changed */
} config_report_view_t;

/** config_report_note - a child has asked and said what is below it. */
void config_report_note(config_report_t *report,
			const follow_fetch_args_t *args, usec_t now);

/**
 * config_report_lost - note the VMs that have gone from the live ones.
 * @report: the reports
 * @old: the live entries before, sorted
 * @old_count: how many
 * @view: the live entries now
 * @floor: that all of them had before
 * @now: the present time
 */
void config_report_lost(config_report_t *report, const owner_member_t *old,
			unsigned old_count, const config_report_view_t *view,
			uint64_t floor, usec_t now);

/**
 * config_report_gather - what is in force here and below.
 * @report: the reports
 * @view: the tree
 * @now: the present time
 * @out: filled in
 *
 * A child that has been silent for long is named; until then the floor is 0,
 * because nothing is known about it.
 */
void config_report_gather(config_report_t *report,
			  const config_report_view_t *view, usec_t now,
			  config_summary_t *out);

#endif
