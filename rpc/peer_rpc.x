/*
 * Datagrams between entries: one message each, over UDP on the peer port. The
 * maximum lengths below bound what a datagram of any sender can allocate.
 */

const PEER_NAME_MAX = 63;
const PEER_ADDRESS_MAX = 63;
const PEER_GOSSIP_MAX = 4;
const PEER_SYNC_MAX = 5;

typedef string peer_name_t<PEER_NAME_MAX>;
typedef string peer_address_t<PEER_ADDRESS_MAX>;

/* At equal incarnations, a higher state overrides a lower one. */
enum peer_state_t {
	PEER_ALIVE = 1,
	PEER_SUSPECT = 2,
	PEER_DEAD = 3,
	PEER_LEFT = 4
};

/* The state of a member in the table of the sender. */
struct peer_member_t {
	peer_name_t name;
	peer_name_t zone;
	peer_address_t call_address;
	peer_address_t control_address;
	peer_address_t peer_address;
	peer_address_t rpc_address;
	unsigned hyper incarnation;
	peer_state_t state;
};

enum peer_kind_t {
	PEER_PING = 1,
	PEER_ACK = 2,
	PEER_PING_REQUEST = 3,
	PEER_SYNC_REQUEST = 4,
	PEER_SYNC = 5,
	PEER_GOSSIP = 6,
	PEER_ANNOUNCE = 7,
	PEER_RELEASE = 8,
	PEER_RELEASED = 9,
	PEER_LOAD = 10,
	PEER_OFFER = 11,
	PEER_SLOTS_REQUEST = 12,
	PEER_SLOTS = 13,
	PEER_RENEW = 14,
	PEER_RENEWED = 15,
	PEER_END = 16,
	PEER_ENDED = 17,
	PEER_CLAIM = 20,
	PEER_CLAIM_REPLY = 21,
	PEER_SETTLE = 22,
	PEER_SETTLED = 23,
	PEER_CLAIM_SYNC = 24,
	PEER_CLAIM_PAGE = 25
};

/* A probe of target. An ACK has the sequence of its PING. */
struct peer_probe_t {
	unsigned int sequence;
	peer_name_t target;
	peer_address_t target_address;
};

/* Requests the members after a name, unless the digests are equal. */
struct peer_sync_request_t {
	unsigned hyper digest;
	peer_name_t after;
};

/* Members in order of their names; next is "" after the last page. */
struct peer_sync_t {
	peer_member_t members<PEER_SYNC_MAX>;
	peer_name_t next;
};

/* The announcement of a copy, forwarded to its owner. redirect is the epoch in
   the response to the copy, which the copy will echo to the owner. */
struct peer_announce_t {
	peer_name_t service;
	peer_name_t copy;
	peer_name_t zone;
	peer_address_t address;
	unsigned int slots;
	unsigned int connections;
	unsigned int state;
	unsigned hyper sequence;
	peer_name_t owner;
	unsigned hyper epoch;
	unsigned hyper redirect;
};

/* RELEASE: the new owner requests the previous one to stop sending to a copy.
   RELEASED: the previous owner has stopped; its outstanding calls may not have
   ended yet. state_lost is set if that owner restarted less than a lease ago.
 */
struct peer_release_t {
	peer_name_t service;
	peer_name_t copy;
	unsigned hyper epoch;
	unsigned int outstanding;
	bool state_lost;
};

/* The load of one owner of a service, sent to the other owners of the service.
   If reply_requested is set, they respond with their load. */
struct peer_load_t {
	peer_name_t service;
	unsigned int waiting;
	unsigned int idle;
	unsigned int copies;
	unsigned int slots;
	bool reply_requested;
};

/* Credits offered to another owner of the service. */
struct peer_offer_t {
	peer_name_t service;
	unsigned int credits;
};

/* The number of slots of all copies that an owner has, for look-ups. */
struct peer_slots_t {
	peer_name_t service;
	unsigned int slots;
};

/* Witness leases, see witness.h. RENEW: an owner renews its term; boot is the
   boot id of the witness process that granted the term before, or 0 if none
   has. RENEWED: boot is the boot id of the witness, sent is copied from RENEW,
   max_term is the highest term of the owner at the witness. END: an entry
   requests that a term ends. ENDED: no grant of that term is in force. */
struct peer_witness_t {
	peer_name_t owner;
	unsigned hyper term;
	unsigned hyper boot;
	hyper sent;
	bool granted;
	unsigned hyper max_term;
};

/* Claims of idempotency keys at the replicas of their records, see claim.h. */
const PEER_CLAIM_PAGE_MAX = 6;

/* The hash of an idempotency key. */
struct peer_claim_key_t {
	unsigned hyper high;
	unsigned hyper low;
};

/* Identifies an attempt to claim a key by its process and number. */
struct peer_claim_id_t {
	peer_name_t coordinator;
	unsigned hyper boot;
	unsigned hyper number;
};

struct peer_claim_record_t {
	peer_claim_key_t key;
	peer_claim_id_t id;
	unsigned hyper fingerprint;
	unsigned int state;
	unsigned int status;
	unsigned int remaining_ms;
};

/* CLAIM and SETTLE; the response is sent to reply_to. */
struct peer_claim_t {
	peer_claim_record_t record;
	peer_address_t reply_to;
};

/* CLAIM_REPLY: claim_id is copied from the request, existing is the record of
   the key at the replica. SETTLED uses only claim_id and replica. */
struct peer_claim_reply_t {
	peer_address_t replica;
	peer_claim_id_t claim_id;
	peer_claim_key_t key;
	unsigned int verdict;
	peer_claim_record_t existing;
};

/* A restarted replica requests the records after a key. */
struct peer_claim_sync_t {
	peer_address_t replica;
	peer_claim_key_t after;
};

/* Records in order of their keys; last marks the last page. */
struct peer_claim_page_t {
	peer_address_t replica;
	peer_claim_key_t after;
	bool complete;
	bool last;
	peer_claim_record_t records<PEER_CLAIM_PAGE_MAX>;
};

union peer_body_t switch (peer_kind_t kind) {
case PEER_PING:
case PEER_ACK:
case PEER_PING_REQUEST:
	peer_probe_t probe;
case PEER_SYNC_REQUEST:
	peer_sync_request_t sync_request;
case PEER_SYNC:
	peer_sync_t sync;
case PEER_GOSSIP:
	void;
case PEER_ANNOUNCE:
	peer_announce_t announce;
case PEER_RELEASE:
case PEER_RELEASED:
	peer_release_t release;
case PEER_LOAD:
	peer_load_t load;
case PEER_OFFER:
	peer_offer_t offer;
case PEER_SLOTS_REQUEST:
case PEER_SLOTS:
	peer_slots_t slots;
case PEER_RENEW:
case PEER_RENEWED:
case PEER_END:
case PEER_ENDED:
	peer_witness_t witness;
case PEER_CLAIM:
case PEER_SETTLE:
	peer_claim_t claim;
case PEER_CLAIM_REPLY:
case PEER_SETTLED:
	peer_claim_reply_t claim_reply;
case PEER_CLAIM_SYNC:
	peer_claim_sync_t claim_sync;
case PEER_CLAIM_PAGE:
	peer_claim_page_t claim_page;
};

/* revision is the configuration revision in force at the sender, a hint. */
struct peer_message_t {
	peer_name_t group;
	peer_name_t from;
	unsigned hyper incarnation;
	unsigned hyper revision;
	peer_body_t body;
	peer_member_t gossip<PEER_GOSSIP_MAX>;
};
