/*
 * The configuration that operators declare and entries follow: its objects, the
 * changes to it, and the snapshot of its state in the replicated log.
 */

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
/*
 * Number of change ids whose answers are stored, so that a repeated change is
 * not applied twice: the changes of 31 hours at 50,000 changes a day.
 */
const CONFIG_DEDUP_MAX = 65536;
/* Number of tombstones, each with the revision that retired its object. */
const CONFIG_TOMBSTONES_MAX = 4096;
/* Number of accepted changes stored for followers and for the history. */
const CONFIG_DELTAS_MAX = 1024;

/* Number of calls that are suspected to crash copies. */
const CONFIG_SUSPECTS_MAX = 1024;
/* Number of crashes after which a call is no longer sent to copies. */
const CONFIG_SUSPECT_CRASHES_MAX = 3;

typedef string config_name_t<CONFIG_NAME_MAX>;

/* A class of callers. The rate is a limit on their calls to one service over
   all entries. */
struct config_class_t {
	config_name_t name;
	unsigned int priority;		/* 0 is the most urgent */
	unsigned int rate;		/* calls per second; 0: no limit */
	unsigned int deadline_ms;
};

/* Call handling parameters that services share. */
struct config_profile_t {
	config_name_t name;
	unsigned hyper revision;
	unsigned int deadline_ms;	/* default deadline of calls */
	unsigned int queue_max;		/* calls queued at one owner */
	unsigned int attempts_max;	/* attempts of one idempotent call */
	unsigned int retry_percent;	/* retries and hedges, % of calls */
	unsigned int hedge_after_ms;	/* delay of a hedge; 0: no hedges */
	/* Maximum percentage of copies that are ejected at the same time. */
	unsigned int eject_percent;
	unsigned int tenant_rate;	/* calls per second of one tenant */
	unsigned int tenant_burst;	/* calls, size of the token bucket */
	unsigned int key_hold_s;	/* retention of an idempotency key */
	unsigned int pipeline_max;	/* credits above the slots of a copy */
	bool post_idempotent;		/* POST and PATCH can be retried */
	config_class_t classes<CONFIG_CLASSES_MAX>;
};

/* A service that calls are sent to. */
struct config_service_t {
	config_name_t name;
	unsigned hyper revision;
	config_name_t profile;
	unsigned int rate;		/* calls per second; 0: no limit */
	unsigned int owners;		/* 0: one per zone, at least two */
};

/* A planned stop of a copy. */
struct config_stop_t {
	config_name_t service;
	config_name_t copy;
	unsigned hyper revision;
};

/* A part of a weighted split. Its share of the calls is weight / sum of the
   weights of all parts. */
struct config_part_t {
	config_name_t service;
	unsigned int weight;
};

/* How often a call of a route may run. The first two values are those of the
   boolean that earlier releases had in their place. */
enum config_route_kind_t {
	CONFIG_ROUTE_ONCE = 0,		/* at most once */
	CONFIG_ROUTE_IDEMPOTENT = 1,	/* any number of times */
	CONFIG_ROUTE_UPLOAD = 2		/* at most once; has a large body */
};

/* Routes calls to a host whose path has a prefix to one or more services. */
struct config_route_t {
	config_name_t name;
	unsigned hyper revision;
	string host<CONFIG_HOST_MAX>;
	string prefix<CONFIG_PATH_MAX>;
	config_route_kind_t kind;
	unsigned hyper timeout_us;	/* deadline of the final response */
	unsigned hyper objective_us;	/* latency objective of responses */
	unsigned int attempts_max;	/* maximum number of copies per call */
	unsigned int priority;		/* 0 is the most urgent */
	bool split;			/* parts is a weighted split */
	config_part_t parts<CONFIG_PARTS_MAX>;
};

/* Parameters common to all copies of a routed service. */
struct config_pool_t {
	config_name_t name;		/* name of the service */
	unsigned hyper revision;
	string health_path<CONFIG_PATH_MAX>;
	/* Maximum number of connections to one copy over all callers. */
	unsigned int connections;
};

/* Limits on the requests and connections of callers. */
struct config_limits_t {
	config_name_t name;		/* always "limits" */
	unsigned hyper revision;
	unsigned hyper head_bytes;
	unsigned hyper body_bytes;
	unsigned hyper head_us;		/* limit until headers are complete */
	unsigned hyper idle_us;		/* limit of an idle connection */
};

/* The version number that operators assign to all routes, pools and limits. */
struct config_routing_version_t {
	config_name_t name;		/* always "routing" */
	unsigned hyper revision;
	unsigned hyper number;		/* the version */
};

enum config_target_state_t {
	CONFIG_TARGET_READY = 0,
	CONFIG_TARGET_DRAINING = 1,	/* accepts no new call */
	CONFIG_TARGET_LEFT = 2,		/* announced that it leaves */
	CONFIG_TARGET_DISPLACED = 3	/* another copy has its address */
};

/* The last announcement of a copy, by the process started at started_ms. */
struct config_target_t {
	config_name_t name;		/* id of the copy */
	unsigned hyper revision;
	config_name_t service;
	unsigned hyper started_ms;	/* wall clock; 0: unknown */
	unsigned hyper sequence;	/* number of the announcement */
	config_target_state_t state;
	string address<CONFIG_ADDRESS_MAX>;
	config_name_t zone;
	unsigned int slots;
	unsigned int cold_ms;		/* length of its slow start */
};

/* The rate of calls that a copy accepts at present, as its process that started
   at started_ms names it in responses. Only the holder sends to the copy. */
struct config_copy_rate_t {
	config_name_t name;		/* id of the copy */
	unsigned hyper revision;
	unsigned hyper started_ms;	/* as in config_target_t */
	unsigned int millirate;		/* calls per 1000 seconds */
	config_name_t holder;		/* name of an entry */
};

/* The process of a copy that ended while it ran a call. */
struct config_crash_t {
	config_name_t copy;		/* id of the copy */
	unsigned hyper started_ms;	/* as in config_target_t */
	hyper at_ms;			/* wall clock of the leader */
	unsigned int ran_ms;		/* time since the call was sent */
};

/* A call that copies ran when they crashed. It is no longer sent to copies once
   there are CONFIG_SUSPECT_CRASHES_MAX crashes. */
struct config_suspect_t {
	config_name_t name;		/* digest of the call's content */
	unsigned hyper revision;
	config_crash_t crashes<CONFIG_SUSPECT_CRASHES_MAX>;
};

/* The revision of an object, and that of the configuration, is the number of
   the accepted change that wrote it last. */
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
	config_copy_rate_t copy_rates<CONFIG_TARGETS_MAX>;
	config_suspect_t suspects<CONFIG_SUSPECTS_MAX>;
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
	CONFIG_RETIRE_TARGET = 16,
	CONFIG_PUT_COPY_RATE = 17,
	CONFIG_RETIRE_COPY_RATE = 18,
	CONFIG_PUT_SUSPECT = 19,
	CONFIG_RETIRE_SUSPECT = 20
};

/* RETIRE items use only the name; those of stops the service and the copy. */
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
case CONFIG_PUT_COPY_RATE:
case CONFIG_RETIRE_COPY_RATE:
	config_copy_rate_t copy_rate;
case CONFIG_PUT_SUSPECT:
case CONFIG_RETIRE_SUSPECT:
	config_suspect_t suspect;
};

/* Puts or retires an object by compare-and-set. base is the expected revision
   of the object, 0 if it must not exist. */
struct config_item_t {
	unsigned hyper base;
	config_body_t body;
};

/* A change: either all of its items are accepted or none. The wall clock of the
   operator is for the history only. */
struct config_change_t {
	config_name_t id;
	config_name_t author;
	hyper at_ms;			/* wall clock of the operator */
	unsigned hyper base_revision;	/* revision when it was made */
	config_item_t items<CONFIG_ITEMS_MAX>;
};

enum config_verdict_t {
	CONFIG_ACCEPTED = 0,
	CONFIG_CONFLICT = 1,
	CONFIG_REFUSED = 2
};

/* The result of a change. */
struct config_answer_t {
	config_verdict_t verdict;
	config_name_t id;		/* id of the change */
	/* Revision created by the change; if refused, the current revision. */
	unsigned hyper revision;
	/* Id of the conflicting change that was accepted before this one. */
	config_name_t winner;
	string message<CONFIG_MESSAGE_MAX>;
};

/* An accepted change and the revision that it created, as sent to followers. */
struct config_delta_t {
	unsigned hyper revision;
	config_change_t change;
};

/* The deduplication record of a change id: its first answer. */
struct config_dedup_t {
	unsigned hyper index;		/* log index of the change */
	config_answer_t answer;
};

/* The tombstone of a retired object, with the revision that retired it. */
struct config_tombstone_t {
	config_item_kind_t kind;
	config_name_t name;
	config_name_t copy;		/* copy of a stop, else empty */
	unsigned hyper revision;
};

/* A snapshot of the state that results from the replicated log. */
struct config_snapshot_t {
	config_t config;
	unsigned hyper index;		/* last applied log index */
	/* Newest revision whose change id was evicted from dedup. */
	unsigned hyper evicted_revision;
	config_dedup_t dedup<CONFIG_DEDUP_MAX>;
	config_tombstone_t tombstones<CONFIG_TOMBSTONES_MAX>;
	config_delta_t deltas<CONFIG_DELTAS_MAX>;
};

/* The layout of config_t before it had copy_rates and suspects. */
struct config_v2_t {
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

/* The layout of config_snapshot_t with config_v2_t. */
struct config_snapshot_v2_t {
	config_v2_t config;
	unsigned hyper index;
	unsigned hyper evicted_revision;
	config_dedup_t dedup<CONFIG_DEDUP_MAX>;
	config_tombstone_t tombstones<CONFIG_TOMBSTONES_MAX>;
	config_delta_t deltas<CONFIG_DELTAS_MAX>;
};
