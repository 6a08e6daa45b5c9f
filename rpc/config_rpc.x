/* The configuration: what operators declare and what entries follow. */

const CONFIG_NAME_MAX = 63;
const CONFIG_CLASSES_MAX = 8;
const CONFIG_OBJECTS_MAX = 4096;
const CONFIG_ITEMS_MAX = 8192;
const CONFIG_MESSAGE_MAX = 511;
const CONFIG_TARGETS_MAX = 32768;
const CONFIG_HOST_MAX = 253;
const CONFIG_PATH_MAX = 1023;
const CONFIG_PARTS_MAX = 16;
const CONFIG_ADDRESS_MAX = 63;
/* Change ids whose first answers are kept: 31 hours at 50,000 a day. */
const CONFIG_DEDUP_MAX = 65536;
/* Retired objects whose last change can still be named. */
const CONFIG_TOMBSTONES_MAX = 4096;
/* Accepted changes kept for followers and for the history. */
const CONFIG_DELTAS_MAX = 1024;

typedef string config_name_t<CONFIG_NAME_MAX>;

/* A caller class: 0 is the most urgent priority. Rates are calls a second at
   one service over all entries, 0 for no limit. */
struct config_class_t {
	config_name_t name;
	unsigned int priority;
	unsigned int rate;
	unsigned int deadline_ms;
};

struct config_profile_t {
	config_name_t name;
	unsigned hyper revision;
	unsigned int deadline_ms;	/* when the caller names none */
	unsigned int queue_max;		/* calls waiting at one owner */
	unsigned int attempts_max;	/* sends of one idempotent call */
	unsigned int retry_percent;	/* retries and hedges, of all calls */
	unsigned int hedge_after_ms;	/* 0: never hedge */
	unsigned int eject_percent;	/* most copies ejected at once */
	unsigned int tenant_rate;	/* calls a second of one tenant */
	unsigned int tenant_burst;	/* calls */
	unsigned int key_hold_s;	/* how long an idempotency key is kept */
	unsigned int pipeline_max;	/* credits above the slots */
	bool post_idempotent;		/* POST and PATCH may be sent again */
	config_class_t classes<CONFIG_CLASSES_MAX>;
};

struct config_service_t {
	config_name_t name;
	unsigned hyper revision;
	config_name_t profile;
	unsigned int rate;		/* calls a second, 0 for no limit */
	unsigned int owners;		/* entries owning copies, 0: by zone */
};

/* A planned stop of a copy. */
struct config_stop_t {
	config_name_t service;
	config_name_t copy;
	unsigned hyper revision;
};

/* One part of a route's calls; weight is its share of all parts' weights. */
struct config_part_t {
	config_name_t service;
	unsigned int weight;
};

/* Where calls of a host go whose path begins with a prefix. */
struct config_route_t {
	config_name_t name;
	unsigned hyper revision;
	string host<CONFIG_HOST_MAX>;
	string prefix<CONFIG_PATH_MAX>;
	bool idempotent;		/* a call may run more than once */
	unsigned hyper timeout_us;	/* longest until the final answer */
	unsigned hyper objective_us;	/* answers within it are in time */
	unsigned int attempts_max;	/* copies that one call is sent to */
	unsigned int priority;		/* 0 is the most urgent */
	bool split;			/* parts stand for a weighted split */
	config_part_t parts<CONFIG_PARTS_MAX>;
};

/* What all copies of a routed service have in common. */
struct config_pool_t {
	config_name_t name;		/* of the service */
	unsigned hyper revision;
	string health_path<CONFIG_PATH_MAX>;
	unsigned int connections;	/* most of one copy, all callers */
};

/* Bounds on what a caller sends. */
struct config_limits_t {
	config_name_t name;		/* always "limits" */
	unsigned hyper revision;
	unsigned hyper head_bytes;
	unsigned hyper body_bytes;
	unsigned hyper head_us;		/* until a head is whole */
	unsigned hyper idle_us;		/* that a kept connection may rest */
};

/* The version that operators gave to all routes, pools and limits. */
struct config_routing_version_t {
	config_name_t name;		/* always "routing" */
	unsigned hyper revision;
	unsigned hyper number;
};

enum config_target_state_t {
	CONFIG_TARGET_READY = 0,
	CONFIG_TARGET_DRAINING = 1,	/* takes no new call */
	CONFIG_TARGET_LEFT = 2,		/* said that it goes */
	CONFIG_TARGET_DISPLACED = 3	/* another one has its address */
};

/* A copy as it announced itself last. */
struct config_target_t {
	config_name_t name;		/* its id */
	unsigned hyper revision;
	config_name_t service;
	unsigned hyper started_ms;		/* wall clock of its start in ms, or 0 */
	unsigned hyper sequence;	/* of that announcement */
	config_target_state_t state;
	string address<CONFIG_ADDRESS_MAX>;
	config_name_t zone;
	unsigned int slots;
	unsigned int cold_ms;		/* slow for so long from then on */
};

/* Revisions of objects and of the whole are the number of the
   change that last wrote them. */
struct config_t {
	unsigned hyper revision;
	config_profile_t profiles<CONFIG_OBJECTS_MAX>;
	config_service_t services<CONFIG_OBJECTS_MAX>;
	config_stop_t stops<CONFIG_OBJECTS_MAX>;
	config_route_t routes<CONFIG_OBJECTS_MAX>;
	config_pool_t pools<CONFIG_OBJECTS_MAX>;
	config_limits_t limits<1>;
	config_routing_version_t routing_versions<1>;
	config_target_t targets<CONFIG_TARGETS_MAX>;
};

enum config_item_kind_t {
	CONFIG_PUT_PROFILE = 1,
	CONFIG_RETIRE_PROFILE = 2,
	CONFIG_PUT_SERVICE = 3,
	CONFIG_RETIRE_SERVICE = 4,
	CONFIG_PUT_STOP = 5,
	CONFIG_CANCEL_STOP = 6,
	CONFIG_PUT_ROUTE = 7,
	CONFIG_RETIRE_ROUTE = 8,
	CONFIG_PUT_POOL = 9,
	CONFIG_RETIRE_POOL = 10,
	CONFIG_PUT_LIMITS = 11,
	CONFIG_RETIRE_LIMITS = 12,
	CONFIG_PUT_ROUTING_VERSION = 13,
	CONFIG_RETIRE_ROUTING_VERSION = 14,
	CONFIG_PUT_TARGET = 15,
	CONFIG_RETIRE_TARGET = 16
};

/* For RETIRE items only the name counts, for stops the service and copy. */
union config_body_t switch (config_item_kind_t kind) {
case CONFIG_PUT_PROFILE:
case CONFIG_RETIRE_PROFILE:
	config_profile_t profile;
case CONFIG_PUT_SERVICE:
case CONFIG_RETIRE_SERVICE:
	config_service_t service;
case CONFIG_PUT_STOP:
case CONFIG_CANCEL_STOP:
	config_stop_t stop;
case CONFIG_PUT_ROUTE:
case CONFIG_RETIRE_ROUTE:
	config_route_t route;
case CONFIG_PUT_POOL:
case CONFIG_RETIRE_POOL:
	config_pool_t pool;
case CONFIG_PUT_LIMITS:
case CONFIG_RETIRE_LIMITS:
	config_limits_t limits;
case CONFIG_PUT_ROUTING_VERSION:
case CONFIG_RETIRE_ROUTING_VERSION:
	config_routing_version_t routing_version;
case CONFIG_PUT_TARGET:
case CONFIG_RETIRE_TARGET:
	config_target_t target;
};

/* base is the revision the operator saw, 0 for "does not exist yet". */
struct config_item_t {
	unsigned hyper base;
	config_body_t body;
};

/* All items are accepted together or none is. */
struct config_change_t {
	config_name_t id;
	config_name_t author;
	hyper at_ms;			/* operator's wall clock, for history */
	unsigned hyper base_revision;		/* revision of the whole it was made from */
	config_item_t items<CONFIG_ITEMS_MAX>;
};

enum config_verdict_t {
	CONFIG_ACCEPTED = 0,
	CONFIG_CONFLICT = 1,
	CONFIG_REFUSED = 2
};

struct config_answer_t {
	config_verdict_t verdict;
	config_name_t id;		/* of the change answered */
	unsigned hyper revision;		/* that the change made, or saw */
	config_name_t winner;		/* id of the change that came first */
	string message<CONFIG_MESSAGE_MAX>;
};

/* An accepted change with the version it made: the unit of distribution. */
struct config_delta_t {
	unsigned hyper revision;
	config_change_t change;
};

/* A change id with its first answer. */
struct config_dedup_t {
	unsigned hyper index;		/* in the replicated log */
	config_answer_t answer;
};

/* An object that is no more, and the revision that retired it. */
struct config_tombstone_t {
	config_item_kind_t kind;
	config_name_t name;
	config_name_t copy;		/* of a stop, else empty */
	unsigned hyper revision;
};

/* The whole state that the log stands for, in a snapshot. */
struct config_snapshot_t {
	config_t config;
	unsigned hyper index;		/* last log index applied */
	unsigned hyper evicted_revision;	/* newest revision whose id is dropped */
	config_dedup_t dedup<CONFIG_DEDUP_MAX>;
	config_tombstone_t tombstones<CONFIG_TOMBSTONES_MAX>;
	config_delta_t deltas<CONFIG_DELTAS_MAX>;
};
