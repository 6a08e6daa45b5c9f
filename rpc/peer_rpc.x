/* Datagrams between entries: one message each, over UDP on the peer port.
   Every length below bounds what a foreign sender can make us allocate. */

const PEER_NAME_MAX = 63;
const PEER_ADDRESS_MAX = 63;
const PEER_GOSSIP_MAX = 4;
const PEER_SYNC_MAX = 5;

typedef string peer_name_t<PEER_NAME_MAX>;
typedef string peer_address_t<PEER_ADDRESS_MAX>;

/* In the order in which one overrides the other at one incarnation. */
enum peer_state_t {
	PEER_ALIVE = 1,
	PEER_SUSPECT = 2,
	PEER_DEAD = 3,
	PEER_LEFT = 4
};

/* What is known of a member. */
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

/* A probe of target; an ACK carries the sequence of its PING. */
struct peer_probe_t {
	unsigned int sequence;
	peer_name_t target;
	peer_address_t target_address;
};

/* Asks for the members after a name, unless the digests are equal. */
struct peer_sync_request_t {
	unsigned hyper digest;
	peer_name_t after;
};

/* Members in the order of their names; next is "" after the last. */
struct peer_sync_t {
	peer_member_t members<PEER_SYNC_MAX>;
	peer_name_t next;
};

/* A target's announcement, passed on to the owner; redirect is the epoch
   that the target was answered, which it will echo to the owner. */
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

/* RELEASE: the new owner asks the last one to stop sending to a copy.
   RELEASED: it has; outstanding calls are still to end there. It has
   forgotten if it restarted less than a lease ago. */
struct peer_release_t {
	peer_name_t service;
	peer_name_t copy;
	unsigned hyper epoch;
	unsigned int outstanding;
	bool state_lost;
};

/* What one owner of a service tells the others; reply asks for the same. */
struct peer_load_t {
	peer_name_t service;
	unsigned int waiting;
	unsigned int idle;
	unsigned int copies;
	unsigned int slots;
	bool reply_requested;
};

struct peer_offer_t {
	peer_name_t service;
	unsigned int credits;
};

struct peer_slots_t {
	peer_name_t service;
	unsigned int slots;
};

/* Witness leases: see witness.h. RENEW: an owner renews its term; boot is the
   life of the witness that granted it before, 0 to open it. RENEWED: boot is
   the witness' life, sent as in RENEW, known its greatest term of that owner.
   END: somebody asks that a term ends. ENDED: no grant of it is in force. */
struct peer_witness_t {
	peer_name_t owner;
	unsigned hyper term;
	unsigned hyper boot;
	hyper sent;
	bool granted;
	unsigned hyper max_term;
};

/* Claims of idempotency keys: see claim.h. */
const PEER_CLAIM_PAGE_MAX = 6;

struct peer_claim_key_t {
	unsigned hyper high;
	unsigned hyper low;
};

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

/* CLAIM and SETTLE; the answer goes to reply_to. */
struct peer_claim_t {
	peer_claim_record_t record;
	peer_address_t reply_to;
};

/* CLAIM_REPLY: asked is the claim answered, known what the home knows.
   SETTLED: only asked counts. home is who answers. */
struct peer_claim_reply_t {
	peer_address_t replica;
	peer_claim_id_t claim_id;
	peer_claim_key_t key;
	unsigned int verdict;
	peer_claim_record_t existing;
};

/* A home that has restarted asks for the claims after a key. */
struct peer_claim_sync_t {
	peer_address_t replica;
	peer_claim_key_t after;
};

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

/* revision is the configuration that the sender serves, a hint. */
struct peer_message_t {
	peer_name_t group;
	peer_name_t from;
	unsigned hyper incarnation;
	unsigned hyper revision;
	peer_body_t body;
	peer_member_t gossip<PEER_GOSSIP_MAX>;
};
