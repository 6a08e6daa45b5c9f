/* What a keeper writes under its data folder. */

%#include "keeper_rpc.h"

const KEEPER_DISK_FORMAT = 2;

enum keeper_record_kind_t {
	KEEPER_RECORD_HEADER = 1,	/* the first record of a log */
	KEEPER_RECORD_BALLOT = 2,
	KEEPER_RECORD_ENTRY = 3		/* cuts entries of the same index off */
};

struct keeper_header_t {
	unsigned int format;
	unsigned hyper cluster;
	config_name_t name;
	unsigned hyper incarnation;
	unsigned hyper base_index;	/* entries follow this one, */
	unsigned hyper base_term;	/* which a snapshot holds */
};

struct keeper_ballot_record_t {
	unsigned hyper term;
	config_name_t vote;		/* "" for none */
	unsigned hyper vote_incarnation;
	unsigned hyper commit;		/* entries up to it were committed */
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
