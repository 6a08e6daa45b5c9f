/* What keepers answer to hemlockctl and to entries, and to one another. */

%#include "config_rpc.h"

/* A call must fit one fragment of 65,532 bytes: the server of libtirpc takes
   the first fragment for the whole once records are bounded. */
const KEEPER_COMMAND_MAX = 57344;
const KEEPER_DELTAS_MAX = 64;
const KEEPER_VOTERS_MAX = 7;
const KEEPER_ENTRIES_MAX = 64;
const KEEPER_APPLIED_MAX = 1024;
const KEEPER_CHUNK_MAX = 57344;
const KEEPER_SNAPSHOT_MAX = 67108864;

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
	keeper_applied_t applied<KEEPER_APPLIED_MAX>;
};

struct keeper_member_t {
	config_name_t name;
	keeper_address_t address;
	bool voter;
	unsigned hyper match_index;		/* log index known to be on its disk */
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
	keeper_applied_t applied<KEEPER_APPLIED_MAX>;
};

/* Between keepers: one-way messages. The answer to one is another message;
   the reply of the call only says that it was taken in. */

struct keeper_node_wire_t {
	config_name_t name;
	keeper_address_t address;
	unsigned hyper incarnation;	/* of the disk; 0: none has joined */
	bool voter;
};
struct keeper_group_wire_t {
	keeper_node_wire_t nodes<KEEPER_VOTERS_MAX>;
};

enum keeper_entry_kind_t {
	KEEPER_ENTRY_NOOP = 0,		/* first entry of a leader's term */
	KEEPER_ENTRY_CHANGE = 1,	/* body: config_change_t, packed */
	KEEPER_ENTRY_GROUP = 2		/* body: keeper_group_wire_t */
};
struct keeper_entry_t {
	unsigned hyper index;
	unsigned hyper term;
	keeper_entry_kind_t kind;
	opaque body<KEEPER_COMMAND_MAX>;
};

enum keeper_message_kind_t {
	KEEPER_MSG_PREVOTE = 1,
	KEEPER_MSG_PREVOTE_REPLY = 2,
	KEEPER_MSG_VOTE = 3,
	KEEPER_MSG_VOTE_REPLY = 4,
	KEEPER_MSG_APPEND = 5,
	KEEPER_MSG_APPEND_REPLY = 6,
	KEEPER_MSG_INSTALL = 7,
	KEEPER_MSG_INSTALL_REPLY = 8,
	KEEPER_MSG_JOIN = 9
};

struct keeper_ballot_t {
	unsigned hyper last_index;
	unsigned hyper last_term;
};
struct keeper_append_t {
	unsigned hyper prev_index;
	unsigned hyper prev_term;
	unsigned hyper commit;
	hyper sent;			/* leader's clock, sent back as it is */
	keeper_entry_t entries<KEEPER_ENTRIES_MAX>;
};
struct keeper_append_reply_t {
	bool matched;
	unsigned hyper index;		/* last that matches, or a guess */
	hyper sent;
};
/* A snapshot in chunks, in order of their offsets. */
struct keeper_install_t {
	unsigned hyper index;
	unsigned hyper term;
	keeper_group_wire_t group;
	unsigned hyper size;		/* of the whole */
	unsigned hyper offset;
	hyper sent;
	opaque chunk<KEEPER_CHUNK_MAX>;
};
struct keeper_install_reply_t {
	unsigned hyper index;
	unsigned hyper offset;		/* of the chunk wanted next */
	hyper sent;
};
/* From a keeper that is not a voter under its present disk. */
struct keeper_join_t {
	keeper_address_t address;
	bool fresh;			/* never held an entry */
	unsigned hyper founders_hash;		/* hash of the names in its settings */
	bool relayed;			/* by a follower, to its leader */
};

union keeper_message_body_t switch (keeper_message_kind_t kind) {
case KEEPER_MSG_PREVOTE:
case KEEPER_MSG_VOTE:
	keeper_ballot_t ballot;
case KEEPER_MSG_PREVOTE_REPLY:
case KEEPER_MSG_VOTE_REPLY:
	bool granted;
case KEEPER_MSG_APPEND:
	keeper_append_t append;
case KEEPER_MSG_APPEND_REPLY:
	keeper_append_reply_t append_reply;
case KEEPER_MSG_INSTALL:
	keeper_install_t install;
case KEEPER_MSG_INSTALL_REPLY:
	keeper_install_reply_t install_reply;
case KEEPER_MSG_JOIN:
	keeper_join_t join;
};

struct keeper_message_t {
	unsigned hyper cluster;		/* hash of the cluster's name */
	config_name_t from;
	unsigned hyper from_incarnation;
	keeper_address_t from_address;	/* where answers go */
	config_name_t to;
	unsigned hyper to_incarnation;	/* 0: any, JOIN only */
	unsigned hyper term;
	keeper_message_body_t body;
};

/* Ask the leader to change the voters, one at a time. */
struct keeper_voter_args_t {
	bool add;			/* or remove */
	config_name_t name;
	keeper_address_t address;	/* with add */
};

program HEMLOCK_KEEPER {
	version HEMLOCK_KEEPER_V1 {
		keeper_submit_res_t KEEPER_SUBMIT(config_change_t) = 1;
		keeper_submit_res_t KEEPER_OUTCOME(config_name_t) = 2;
		keeper_fetch_res_t KEEPER_FETCH(keeper_fetch_args_t) = 3;
		void KEEPER_REPORT(keeper_report_args_t) = 4;
		keeper_state_res_t KEEPER_STATE(void) = 5;
		void KEEPER_MESSAGE(keeper_message_t) = 6;
		keeper_submit_res_t KEEPER_VOTER(keeper_voter_args_t) = 7;
	} = 1;
} = 0x20484c01;
