/* What keepers answer to hemlockctl and to entries, and to one another. */

%#include "config_rpc.h"

const KEEPER_COMMAND_MAX = 262144;
const KEEPER_DELTAS_MAX = 64;
const KEEPER_VOTERS_MAX = 7;
const KEEPER_ENTRIES_MAX = 64;
const KEEPER_LAGGARDS_MAX = 1024;

typedef string keeper_address_t<63>;

enum keeper_status_t {
	KEEPER_OK = 0,
	KEEPER_PENDING = 1,	/* ask OUTCOME for it */
	KEEPER_NOT_LEADER = 2,	/* go to the leader, if one is known */
	KEEPER_UNKNOWN = 3,	/* OUTCOME: no such change is known */
	KEEPER_BUSY = 4		/* come back later; nothing was stored */
};

/* SUBMIT returns at once; the answer is fetched with OUTCOME by change id.
   Both may be sent again at will. */
struct keeper_submit_res_t {
	keeper_status_t status;
	keeper_address_t leader;
	config_answer_t answer;		/* with KEEPER_OK */
};

struct keeper_fetch_args_t {
	unsigned hyper have;		/* version the asker has, 0 for none */
	bool confirmed;			/* only as a quorum confirms it now */
};

union keeper_fetch_body_t switch (bool whole) {
case TRUE:
	config_t config;
case FALSE:
	config_delta_t deltas<KEEPER_DELTAS_MAX>;
};

struct keeper_fetch_res_t {
	keeper_status_t status;
	keeper_address_t leader;
	bool confirmed;			/* a quorum stood behind this answer */
	unsigned hyper revision;		/* newest accepted, as known here */
	keeper_fetch_body_t body;
};

/* Versions in force, gathered up the fan-out tree. */
struct keeper_applied_t {
	config_name_t vm;
	unsigned hyper revision;
	unsigned int age_ms;		/* since that VM said so */
};
struct keeper_report_args_t {
	keeper_applied_t applied<KEEPER_LAGGARDS_MAX>;
};

struct keeper_member_t {
	config_name_t name;
	keeper_address_t address;
	bool voter;
	unsigned hyper matched;		/* log index known to be on its disk */
};

struct keeper_state_res_t {
	keeper_status_t status;
	config_name_t name;
	config_name_t role;		/* leader, follower, candidate, learner */
	keeper_address_t leader;
	unsigned hyper term;
	unsigned hyper last_index;
	unsigned hyper commit_index;
	unsigned hyper revision;
	unsigned hyper incarnation;	/* of the disk */
	keeper_member_t members<KEEPER_VOTERS_MAX>;
	keeper_applied_t applied<KEEPER_LAGGARDS_MAX>;
};

program HEMLOCK_KEEPER {
	version HEMLOCK_KEEPER_V1 {
		keeper_submit_res_t KEEPER_SUBMIT(config_change_t) = 1;
		keeper_submit_res_t KEEPER_OUTCOME(config_name_t) = 2;
		keeper_fetch_res_t KEEPER_FETCH(keeper_fetch_args_t) = 3;
		void KEEPER_REPORT(keeper_report_args_t) = 4;
		keeper_state_res_t KEEPER_STATE(void) = 5;
	} = 1;
} = 0x20484c01;
