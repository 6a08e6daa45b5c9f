/* Between entries: a child asks its parent of the fan-out tree for what is
   new and says what is in force below it. */

%#include "keeper_rpc.h"

const FOLLOW_LAGGING_MAX = 32;

/* A VM that has not said that it has what the others have. */
struct follow_lagging_t {
	config_name_t vm;
	unsigned hyper revision;
};

/* All VMs of a subtree but the laggards have at least the floor. */
struct follow_report_t {
	unsigned hyper min_revision;
	follow_lagging_t lagging<FOLLOW_LAGGING_MAX>;
};

struct follow_fetch_args_t {
	config_name_t vm;
	unsigned hyper have;
	follow_report_t report;
};

enum follow_status_t {
	FOLLOW_OK = 0,
	FOLLOW_NOT_READY = 1		/* no quorum has confirmed what it has */
};

struct follow_fetch_res_t {
	follow_status_t status;
	unsigned int age_ms;		/* since a quorum confirmed it */
	keeper_fetch_body_t body;
};

program HEMLOCK_FOLLOW {
	version HEMLOCK_FOLLOW_V1 {
		follow_fetch_res_t FOLLOW_FETCH(follow_fetch_args_t) = 1;
	} = 1;
} = 0x20484c02;
