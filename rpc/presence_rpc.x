/*
 * Datagrams between entries and keepers: keepers detect which entries are alive
 * and which copies were seen, and notify entries of a new revision.
 */

%#include "config_rpc.h"

const PRESENCE_COPIES_SEEN_MAX = 150;
const PRESENCE_KEEPERS_MAX = 7;
const PRESENCE_PEERS_MAX = 32;

typedef string presence_address_t<63>;

enum presence_kind_t {
	PRESENCE_ENTRY = 1,		/* entry to keeper: heartbeat */
	PRESENCE_KEEPER_STATUS = 2,	/* keeper to entry */
	PRESENCE_COPIES_SEEN = 3,	/* keeper to keeper: copies seen */
	PRESENCE_PEERS_REQUEST = 4,	/* entry to keeper */
	PRESENCE_PEERS = 5,		/* keeper to entry, if its list differs */
	PRESENCE_COPY_RATE = 6,		/* entry to keeper */
	PRESENCE_SUSPECT = 7,		/* entry to keeper */
	PRESENCE_COPY_LEAVES = 8,	/* entry to keeper */
	PRESENCE_IMPAIRED = 9,		/* entry to keeper, with a heartbeat */
	PRESENCE_KEEPERS = 10		/* keeper to entry, if its list differs */
};

/* The identity of an entry, which heartbeats omit once the keeper has it. */
struct presence_identity_t {
	config_name_t name;
	config_name_t zone;
	presence_address_t call_address; /* address that callers use */
};

struct presence_entry_t {
	unsigned hyper id;		/* hash of its name and start time */
	unsigned hyper revision;	/* revision in force at the entry */
	unsigned hyper keepers_hash;	/* hash of its keeper addresses */
	bool ready;
	presence_identity_t identity<1>;
};

/* The response to a heartbeat, also sent at a new revision. */
struct presence_keeper_status_t {
	unsigned hyper revision;	/* revision applied at the keeper */
	unsigned int entries;		/* number live, as the keeper detects */
	bool leading;			/* leads, and has a lease if it responds */
	bool identity_known;		/* the keeper has the identity */
	unsigned hyper keepers_hash;	/* hash of the keeper addresses */
	/* Keeper addresses, as in presence_keepers_list_t, for entries of
	   earlier releases; empty if the entry sent an equal keepers_hash. */
	presence_address_t addresses<PRESENCE_KEEPERS_MAX>;
};

/* Hashes of the ids of copies seen since the last datagram. */
struct presence_copies_seen_t {
	unsigned hyper ids<PRESENCE_COPIES_SEEN_MAX>;
};

/* An entry asks for the ready entries that callers of its zone can use. */
struct presence_peers_request_t {
	unsigned hyper id;		/* as in presence_entry_t */
	config_name_t zone;
	unsigned hyper hash;		/* hash of the list that the entry has */
};

/* Call addresses of ready entries: all that callers of the zone would get from
   the keeper, or some of them if there are more than fit. */
struct presence_peers_t {
	presence_address_t addresses<PRESENCE_PEERS_MAX>;
};

/* An entry reports the rate that a copy names in its responses. */
struct presence_copy_rate_t {
	config_name_t entry;		/* name of the entry */
	config_name_t copy;
	unsigned hyper started_ms;	/* as in config_target_t */
	unsigned int millirate;		/* 0: the copy names no rate any more */
	unsigned hyper base;		/* revision of the known rate; 0: none */
};

/* An entry reports that a copy crashed while it ran a call, or that a call which
   had crashed copies was answered. */
struct presence_suspect_t {
	config_name_t digest;		/* as in config_suspect_t */
	config_name_t copy;
	unsigned hyper started_ms;	/* as in config_target_t */
	unsigned int ran_ms;		/* time from the send to the crash */
	bool answered;
	unsigned hyper base;		/* revision of the suspect, if answered */
};

/* An entry reports that a copy has responded that it leaves. */
struct presence_copy_leaves_t {
	config_name_t copy;
	unsigned hyper started_ms;	/* as in config_target_t */
};

/* An entry reports that it does not reach copies that other entries reach. */
struct presence_impaired_t {
	unsigned hyper id;		/* as in presence_entry_t */
};

/* The keepers of the group that is committed at the sender, sent before the status if
   the entry sent another keepers_hash. Entries of earlier releases drop it. */
struct presence_keepers_list_t {
	unsigned hyper revision;	/* as in keeper_status_view_t.committed */
	presence_address_t addresses<PRESENCE_KEEPERS_MAX>;
};

union presence_body_t switch (presence_kind_t kind) {
case PRESENCE_ENTRY:
	presence_entry_t entry;
case PRESENCE_KEEPER_STATUS:
	presence_keeper_status_t keeper_status;
case PRESENCE_COPIES_SEEN:
	presence_copies_seen_t copies_seen;
case PRESENCE_PEERS_REQUEST:
	presence_peers_request_t peers_request;
case PRESENCE_PEERS:
	presence_peers_t peers;
case PRESENCE_COPY_RATE:
	presence_copy_rate_t copy_rate;
case PRESENCE_SUSPECT:
	presence_suspect_t suspect;
case PRESENCE_COPY_LEAVES:
	presence_copy_leaves_t copy_leaves;
case PRESENCE_IMPAIRED:
	presence_impaired_t impaired;
case PRESENCE_KEEPERS:
	presence_keepers_list_t keepers;
};

struct presence_t {
	unsigned hyper cluster;		/* hash of the cluster name */
	presence_body_t body;
};
