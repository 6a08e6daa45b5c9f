#ifndef CONFIG_REPORT_H
#define CONFIG_REPORT_H

#include "follow_rpc.h"
#include "owner.h"

/*
 * Revisions in force in the subtree of an entry. Each poll of a child carries
 * a report for its subtree: the lowest revision, and the VMs that lag behind.
 * An entry merges these into its own report to its parent, and the root reports
 * to the keepers. The functions do no I/O and take the time as an argument.
 */

/* Maximum number of requesters: children, and entries without their parent. */
#define CONFIG_REPORT_REQUESTERS_MAX 128
/* Maximum number of VMs that are recorded as lost. */
#define CONFIG_REPORT_LOST_MAX 32
/* How long a lost VM is reported as lagging. */
#define CONFIG_REPORT_LOST_RETENTION (60 * USEC_PER_SEC)

/** struct config_lagging_t - a lagging VM. */
typedef struct {
	char vm[HL_NAME_MAX];
	uint64_t revision; /* the VM has at least this one */
} config_lagging_t;

/** struct config_summary_t - revisions in force in a subtree. */
typedef struct {
	uint64_t floor; /* lowest revision, except of lagging VMs */
	unsigned lagging_count;
	config_lagging_t lagging[FOLLOW_LAGGING_MAX];
} config_summary_t;

/** struct config_requester_t - last report of an entry that polls this one. */
typedef struct {
	char vm[HL_NAME_MAX];
	usec_t last_seen;
	uint64_t have;	/* revision in force at the requester */
	uint64_t floor; /* lowest in its subtree, except of lagging VMs */
	unsigned lagging_count;
	config_lagging_t lagging[FOLLOW_LAGGING_MAX];
} config_requester_t;

/** struct config_lost_t - a VM that is no longer live. */
typedef struct {
	char vm[HL_NAME_MAX];
	uint64_t revision; /* the VM had at least this one */
	usec_t lost_at;
} config_lost_t;

/** struct config_report_t - reports of all requesters, and the lost VMs. */
typedef struct {
	usec_t max_age; /* older reports are ignored */
	unsigned requester_count;
	config_requester_t requesters[CONFIG_REPORT_REQUESTERS_MAX];
	unsigned lost_count;
	config_lost_t lost[CONFIG_REPORT_LOST_MAX];
} config_report_t;

/** struct config_report_view_t - the tree around this entry. */
typedef struct {
	const owner_member_t *members; /* sorted */
	unsigned count;
	int self; /* index of this entry, -1 if it is alone */
	unsigned fanout;
	uint64_t revision; /* revision in force at this entry */
	usec_t changed_at; /* time of the last change of members */
} config_report_view_t;

/**
 * config_report_record - record the report in a poll of a child.
 * @report: the reports
 * @args: the child's request
 * @now: current time
 */
void config_report_record(config_report_t *report,
			  const follow_fetch_args_t *args, usec_t now);

/**
 * config_report_record_lost - record the VMs that are no longer live.
 * @report: the reports
 * @old: previous live entries, sorted
 * @old_count: their number
 * @view: the tree of the current live entries
 * @floor: revision that all previous entries had
 * @now: current time
 */
void config_report_record_lost(config_report_t *report,
			       const owner_member_t *old, unsigned old_count,
			       const config_report_view_t *view, uint64_t floor,
			       usec_t now);

/**
 * config_report_gather - summarize the subtree of this entry.
 * @report: the reports
 * @view: the tree
 * @now: current time
 * @out: filled in
 *
 * A child without a recent report is listed as lagging. For max_age after a
 * change of members the first report of a child may still be due; the floor is
 * then 0, because the child's revision is unknown.
 */
void config_report_gather(config_report_t *report,
			  const config_report_view_t *view, usec_t now,
			  config_summary_t *out);

#endif
