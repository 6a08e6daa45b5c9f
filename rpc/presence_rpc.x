/* Datagrams by which keepers know which entries live and which copies were
   heard of, and entries learn that there is something new. */

%#include "config_rpc.h"

const PRESENCE_COPIES_SEEN_MAX = 150;
const PRESENCE_KEEPERS_MAX = 7;

typedef string presence_address_t<63>;

enum presence_kind_t {
	PRESENCE_ENTRY = 1,	/* entry to keeper: it lives */
	PRESENCE_KEEPER_STATUS = 2,	/* keeper to entry: the answer, or keeper_status */
	PRESENCE_COPIES_SEEN = 3	/* keeper to keeper: copies heard of */
};

/* Who the entry is; left out while the keeper knows it. */
struct presence_identity_t {
	config_name_t name;
	config_name_t zone;
	presence_address_t call_address;	/* where callers connect */
};

struct presence_entry_t {
	unsigned hyper id;		/* hash of name and start */
	unsigned hyper revision;	/* in force there */
	unsigned hyper keepers_hash;		/* hash of the keepers it knows */
	bool ready;
	presence_identity_t identity<1>;
};

struct presence_keeper_status_t {
	unsigned hyper revision;	/* applied by the keeper */
	unsigned int entries;		/* live ones that it knows */
	bool leading;
	bool identity_known;			/* the identity need not be sent */
	unsigned hyper keepers_hash;		/* hash of the present ones */
	presence_address_t addresses<PRESENCE_KEEPERS_MAX>; /* if it differs */
};

/* Hashes of the ids of copies heard of since the last one. */
struct presence_copies_seen_t {
	unsigned hyper ids<PRESENCE_COPIES_SEEN_MAX>;
};

union presence_body_t switch (presence_kind_t kind) {
case PRESENCE_ENTRY:
	presence_entry_t entry;
case PRESENCE_KEEPER_STATUS:
	presence_keeper_status_t keeper_status;
case PRESENCE_COPIES_SEEN:
	presence_copies_seen_t copies_seen;
};

struct presence_t {
	unsigned hyper cluster;		/* hash of the cluster's name */
	presence_body_t body;
};
