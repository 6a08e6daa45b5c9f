/*
 * RPC of the keepers: changes and queries by hemlockctl and by entries, and the
 * Raft messages between keepers.
 */

%#include "config_rpc.h"

/* A request must fit into one fragment of 65,532 bytes: with a maximum record
   size, the libtirpc server treats the first fragment as the whole record. */
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
	KEEPER_PENDING = 1,	/* the answer is fetched by OUTCOME */
	KEEPER_NOT_LEADER = 2,	/* retry at the leader, if it is known */
	KEEPER_UNKNOWN = 3,	/* OUTCOME: the change id is unknown */
	KEEPER_BUSY = 4		/* retry later; nothing was stored */
};

/* SUBMIT returns before the change is applied; its answer is fetched by OUTCOME
   with the change id. Both are idempotent. */
struct keeper_submit_res_t {
	keeper_status_t status;
	keeper_address_t leader;
	config_answer_t answer;		/* valid if status is KEEPER_OK */
};

/* FETCH returns the deltas since a revision, or the whole configuration. */
struct keeper_fetch_args_t {
	unsigned hyper have;		/* revision of the requester; 0: none */
	bool confirmed;			/* require confirmation by a quorum */
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
	bool confirmed;			/* a quorum confirmed the revision */
	unsigned hyper revision;	/* newest accepted at this keeper */
	keeper_fetch_body_t body;
};

/* The revision in force at a VM, reported through the fan-out tree. */
struct keeper_applied_t {
	config_name_t vm;
	unsigned hyper revision;
	unsigned int age_ms;		/* age of the report */
};
struct keeper_report_args_t {
	keeper_applied_t applied<KEEPER_APPLIED_MAX>;
};

/* A voter or learner as the leader sees it. */
struct keeper_member_t {
	config_name_t name;
	keeper_address_t address;
	bool voter;
	unsigned hyper match_index;	/* highest log index on its disk */
};

/* The state of a keeper. */
struct keeper_state_res_t {
	keeper_status_t status;
	config_name_t name;
	config_name_t role;		/* such as "leader" */
	keeper_address_t leader;
	unsigned hyper term;
	unsigned hyper last_index;
	unsigned hyper commit_index;
	unsigned hyper revision;
	unsigned hyper incarnation;	/* incarnation of the disk contents */
	keeper_member_t members<KEEPER_VOTERS_MAX>;
	keeper_applied_t applied<KEEPER_APPLIED_MAX>;
};

/* Messages between keepers are one-way: the response to a message is another
   message, and the RPC reply only acknowledges its receipt. */

/* Flags of a member. Earlier builds have a bool in their place: they read any value
 * but 0 as a voter. */
const KEEPER_NODE_VOTER = 1;
const KEEPER_NODE_LEAVING = 2;	/* a voter that is about to be removed */
/* Number of members of the first start, in the flags of each voter; 0: unknown. */
const KEEPER_NODE_INITIAL_SIZE_SHIFT = 8;
const KEEPER_NODE_INITIAL_SIZE_MASK = 15;
struct keeper_node_wire_t {
	config_name_t name;
	keeper_address_t address;
	/* Incarnation of the keeper's disk contents; 0: it has not joined. */
	unsigned hyper incarnation;
	unsigned flags;
};
struct keeper_group_wire_t {
	keeper_node_wire_t nodes<KEEPER_VOTERS_MAX>;
};

enum keeper_entry_kind_t {
	KEEPER_ENTRY_NOOP = 0,		/* first entry of a leader */
	KEEPER_ENTRY_CHANGE = 1,	/* config_change_t, deflated if large */
	KEEPER_ENTRY_GROUP = 2		/* keeper_group_wire_t */
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
	KEEPER_MSG_JOIN = 9,
	KEEPER_MSG_LEAVE = 10
};

struct keeper_ballot_t {
	unsigned hyper last_index;
	unsigned hyper last_term;
};
struct keeper_append_t {
	unsigned hyper prev_index;
	unsigned hyper prev_term;
	unsigned hyper commit;
	hyper sent;			/* clock of the leader, echoed back */
	keeper_entry_t entries<KEEPER_ENTRIES_MAX>;
};
struct keeper_append_reply_t {
	bool matched;
	/* Last matching index if matched is set, else the index to retry at. */
	unsigned hyper index;
	hyper sent;
};
/* A chunk of a snapshot; chunks are sent in order of their offsets. */
struct keeper_install_t {
	unsigned hyper index;
	unsigned hyper term;
	keeper_group_wire_t group;
	unsigned hyper size;		/* size of the whole snapshot, bytes */
	unsigned hyper offset;
	hyper sent;
	opaque chunk<KEEPER_CHUNK_MAX>;
};
struct keeper_install_reply_t {
	unsigned hyper index;
	unsigned hyper offset;		/* offset of the next chunk to send */
	hyper sent;
};
/* A request to join by a keeper that is not a voter with its current disk. */
struct keeper_join_t {
	keeper_address_t address;
	bool fresh;			/* its log has never had an entry */
	unsigned hyper founders_hash;	/* hash of its settings' keeper names */
	bool relayed;			/* forwarded by a follower */
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
case KEEPER_MSG_LEAVE:			/* the sender stops and gives up its vote */
	void;
};

struct keeper_message_t {
	unsigned hyper cluster;		/* hash of the cluster name */
	config_name_t from;
	unsigned hyper from_incarnation;
	keeper_address_t from_address;	/* destination of the response */
	config_name_t to;
	/* 0 matches any incarnation and is allowed only in JOIN. */
	unsigned hyper to_incarnation;
	unsigned hyper term;
	keeper_message_body_t body;
};

/* A request to the leader to add or remove one voter. */
struct keeper_voter_args_t {
	bool add;			/* false: remove */
	config_name_t name;
	keeper_address_t address;	/* used if add is true */
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
