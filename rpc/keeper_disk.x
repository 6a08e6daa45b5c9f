/* The records of the log and the snapshot in the data directory of a keeper. */

%#include "keeper_rpc.h"

const KEEPER_DISK_FORMAT = 2;

enum keeper_record_kind_t {
	KEEPER_RECORD_HEADER = 1,	/* the first record of a log */
	KEEPER_RECORD_BALLOT = 2,
	KEEPER_RECORD_ENTRY = 3		/* replaces entries from its index on */
};

struct keeper_header_t {
	unsigned int format;
	unsigned hyper cluster;
	config_name_t name;
	unsigned hyper incarnation;
	/* Index and term before the first entry; those of the snapshot. */
	unsigned hyper base_index;
	unsigned hyper base_term;
};

/* The term and vote of a keeper, saved before it answers other keepers. */
struct keeper_ballot_record_t {
	unsigned hyper term;
	config_name_t vote;		/* candidate voted for; "": no vote */
	unsigned hyper vote_incarnation; /* incarnation of the candidate */
	unsigned hyper commit;		/* commit index */
};

union keeper_record_t switch (keeper_record_kind_t kind) {
case KEEPER_RECORD_HEADER:
	keeper_header_t header;
case KEEPER_RECORD_BALLOT:
	keeper_ballot_record_t ballot;
case KEEPER_RECORD_ENTRY:
	keeper_entry_t entry;
};

struct keeper_snapshot_record_t {
	unsigned int format;
	unsigned hyper cluster;
	unsigned hyper index;
	unsigned hyper term;
	keeper_group_wire_t group;
	opaque state<KEEPER_SNAPSHOT_MAX>;
};
