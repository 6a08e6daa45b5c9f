/*
 * RPC between entries: a child fetches configuration deltas from its parent in
 * the fan-out tree, and reports the revisions in force in its subtree.
 */

%#include "keeper_rpc.h"

const FOLLOW_LAGGING_MAX = 32;

/* A VM whose reported revision is lower than that of the others. */
struct follow_lagging_t {
	config_name_t vm;
	unsigned hyper revision;
};

/* Revisions in a subtree: of each lagging VM, and the minimum of the others. */
struct follow_report_t {
	unsigned hyper min_revision;
	follow_lagging_t lagging<FOLLOW_LAGGING_MAX>;
};

struct follow_fetch_args_t {
	config_name_t vm;		/* name of the child's VM */
	unsigned hyper have;		/* revision in force at the child */
	follow_report_t report;
};

enum follow_status_t {
	FOLLOW_OK = 0,
	FOLLOW_NOT_READY = 1		/* parent has no confirmed revision */
};

struct follow_fetch_res_t {
	follow_status_t status;
	unsigned int age_ms;		/* time since a quorum's confirmation */
	keeper_fetch_body_t body;
};

program HEMLOCK_FOLLOW {
	version HEMLOCK_FOLLOW_V1 {
		follow_fetch_res_t FOLLOW_FETCH(follow_fetch_args_t) = 1;
	} = 1;
} = 0x20484c02;
