#ifndef KEEPER_CORE_H
#define KEEPER_CORE_H

#include "config-state.h"
#include "headers.h"
#include "keeper-store.h"
#include "routing.h"
#include "toml.h"

/* Changes that were taken in and are not yet applied. */
#define KEEPER_PENDING_MAX 256
/* Messages, changes and requests waiting for the core. */
#define KEEPER_INBOX_MAX 1024
/* Messages waiting for one peer; more are dropped, as a network would. */
#define KEEPER_LINK_QUEUE_MAX 64

/* Less sleep than this is the difference of two readings of the clocks. */
#define KEEPER_SUSPEND_MIN (5 * USEC_PER_MS)

/** struct keeper_settings_t - a keeper's settings file. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	log_level_t log_level;
	char cluster[HL_NAME_MAX];
	char data[HL_MESSAGE_MAX];
	int64_t port;
	int64_t metrics_port; /* 0: none */
	int64_t heartbeat_ms;
	int64_t election_ms;
	int64_t rpc_timeout_ms;
	int64_t snapshot_entries;
	setting_list_t names;
	setting_list_t addresses;
	setting_list_t seeds; /* in place of names and addresses */
	bool first_start;     /* the whole cluster starts with empty disks */
	char control[HL_ADDRESS_MAX];	/* of operators and copies, or "" */
	char directory[HL_ADDRESS_MAX]; /* of callers' look-ups, or "" */
	int64_t directory_keep_s;	/* that a look-up may be kept */
	int64_t silence_ms;		/* after which a copy is forgotten */
	char interface[HL_NAME_MAX];
	const headers_t *headers; /* of that interface */
} keeper_settings_t;

extern const setting_t keeper_settings_table[];
extern const size_t keeper_settings_count;

/** keeper_settings_load - read and check a file. */
int keeper_settings_load(const char *path, keeper_settings_t *settings,
			 hl_error_t *err);

/** keeper_settings_address - "address:port" of one of its ports. */
void keeper_settings_address(const keeper_settings_t *settings, int64_t port,
			     char out[HL_ADDRESS_MAX]);

/** keeper_settings_own - "address:port" as others reach this keeper. */
void keeper_settings_own(const keeper_settings_t *settings,
			 char out[HL_ADDRESS_MAX]);

/** struct keeper_pending_t - a change between SUBMIT and its answer. */
typedef struct {
	struct cds_list_head link;
	char id[HL_NAME_MAX];
} keeper_pending_t;

typedef enum {
	KEEPER_ITEM_MESSAGE,
	KEEPER_ITEM_CHANGE,
	KEEPER_ITEM_VOTER,
} keeper_item_kind_t;

/** struct keeper_item_t - something for the core to do. */
typedef struct {
	struct cds_list_head link;
	keeper_item_kind_t kind;
	keeper_message_t message;
	char id[HL_NAME_MAX]; /* of the change */
	char *body;	      /* the change in XDR */
	size_t size;
	bool add; /* a voter */
	char name[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
} keeper_item_t;

/** struct keeper_status_view_t - what others may know of the replica. */
typedef struct {
	bool serving; /* false while the store is closed after a fault */
	bool leading;
	char role[HL_NAME_MAX];
	char leader[HL_NAME_MAX];
	uint64_t term, last, commit, incarnation;
	uint64_t term_start; /* leader: its first entry */
	usec_t lease_end;
	usec_t suspended; /* how long the VM slept, as the lease was taken */
	keeper_group_t group;
	uint64_t match_index[KEEPER_VOTERS_MAX];
} keeper_status_view_t;

/** struct keeper_counters_t - for the metrics. */
typedef struct {
	uint64_t *changes, *elections, *syncs, *faults, *rejected, *dropped,
		*snapshots;
	uint64_t *commit, *log_bytes, *leading;
	metrics_histogram_t *sync_time;
} keeper_counters_t;

/** struct keeper_reported_version_t - a VM's version, and when we were told. */
typedef struct {
	char vm[HL_NAME_MAX];
	uint64_t revision;
	usec_t reported_at;
} keeper_reported_version_t;

/** struct keeper_core_t - the replica of this process. */
typedef struct {
	keeper_settings_t settings;
	const keeper_file_t *file;
	/* Take a message over for its peer; called without the lock. */
	void (*send)(void *context, keeper_outgoing_t *outgoing);
	void *send_context;

	/* Of the core's thread alone. */
	keeper_raft_t raft;
	keeper_store_t store;
	bool open;
	uint64_t elections_seen;
	usec_t suspended; /* how long the VM had slept at the last round */

	/* Under the lock. */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head inbox; /* keeper_item_t */
	unsigned inbox_count;
	struct cds_list_head pending; /* keeper_pending_t */
	unsigned pending_count;
	config_state_t *state;
	uint64_t applied;
	keeper_status_view_t view;
	unsigned reported_count; /* reports */
	keeper_reported_version_t reported_versions[KEEPER_LAGGARDS_MAX];

	metrics_t *metrics;
	keeper_counters_t counters;
	struct MHD_Daemon *http; /* NULL: not served */
	/* A round has ended; called without the lock. May be NULL. */
	void (*on_round_end)(void *context);
	void *on_round_end_context;
} keeper_core_t;

/** keeper_core_init - a core that has not read its folder yet. */
int keeper_core_init(keeper_core_t *core, const keeper_settings_t *settings,
		     const keeper_file_t *file, hl_error_t *err);

/** keeper_core_open - read the data folder. */
int keeper_core_open(keeper_core_t *core, hl_error_t *err);

/** keeper_core_run - the core's thread, for a supervisor. */
int keeper_core_run(void *context, const volatile int *stop);

/** keeper_core_wake - let it look at its stop flag. */
void keeper_core_wake(void *context);

/** keeper_core_free - after the thread has ended. */
void keeper_core_free(keeper_core_t *core);

/**
 * keeper_body_pack - a change as the body of an entry, deflated if large.
 *
 * Return: false if it does not fit its own bounds, or out of memory.
 */
bool keeper_body_pack(config_change_t *change, char **body, size_t *size);

/** keeper_body_unpack - the reverse, into a zeroed @change. */
bool keeper_body_unpack(const char *body, size_t size, config_change_t *change);

/** keeper_core_post - hand an item over; false if the inbox is full, then
 * the item is freed. */
bool keeper_core_post(keeper_core_t *core, keeper_item_t *item);

/** keeper_core_address - where a member is reached; "" if unknown. */
void keeper_core_address(const keeper_core_t *core, const char *name,
			 const char *known, char out[HL_ADDRESS_MAX]);

/** keeper_core_submit - take a change in. */
bool keeper_core_submit(keeper_core_t *core, config_change_t *change,
			keeper_submit_res_t *res, usec_t now);

/** keeper_core_outcome - the answer of a change, if there is one. */
bool keeper_core_outcome(keeper_core_t *core, const char *id,
			 keeper_submit_res_t *res, usec_t now);

/** keeper_core_fetch - what an asker at @args->have lacks. */
bool keeper_core_fetch(keeper_core_t *core, const keeper_fetch_args_t *args,
		       keeper_fetch_res_t *res, usec_t now);

/** enum keeper_verdict_t - what became of a request at this keeper. */
typedef enum {
	KEEPER_VERDICT_DONE,	   /* in force, on the disks of a quorum */
	KEEPER_VERDICT_WAIT,	   /* on its way: ask again after a round */
	KEEPER_VERDICT_NOT_LEADER, /* the leader must be asked */
	KEEPER_VERDICT_BUSY,	   /* nobody knows at this moment */
	KEEPER_VERDICT_CONFLICT,   /* another change came first */
	KEEPER_VERDICT_REFUSED,	   /* against a rule */
} keeper_verdict_t;

/**
 * keeper_core_announced - does the log cover what a copy said of itself?
 *
 * A copy of a service that the routing does not name is refused.
 */
keeper_verdict_t keeper_core_announced(keeper_core_t *core,
				       const config_target_t *said);

/** keeper_core_announce - as a leader, put it into the log. */
keeper_verdict_t keeper_core_announce(keeper_core_t *core,
				      const config_target_t *said);

/**
 * keeper_core_leave - what a copy that goes says of itself.
 * @id: the copy
 * @said: filled in; free with xdr_free()
 *
 * Return: KEEPER_VERDICT_WAIT with @said to be announced, or
 * KEEPER_VERDICT_DONE if there is no such copy, or why that is not known.
 */
keeper_verdict_t keeper_core_leave(keeper_core_t *core, const char *id,
				   config_target_t *said, usec_t now);

/** keeper_core_retire - as a leader, forget silent copies. */
void keeper_core_retire(keeper_core_t *core, const config_target_t *targets,
			unsigned count);

/** keeper_core_leader - "ip" of the leader, false if none is known. */
bool keeper_core_leader(keeper_core_t *core, char out[HL_NAME_MAX]);

/** struct keeper_routing_change_t - an operator's order on its way. */
typedef struct {
	uint64_t base_version; /* edition that it was made from */
	uint64_t new_version;  /* edition that it makes */
	char id[HL_NAME_MAX];
} keeper_routing_change_t;

/** keeper_core_routed - what became of an order that was sent before. */
keeper_verdict_t keeper_core_routed(keeper_core_t *core,
				    const keeper_routing_change_t *order,
				    usec_t now, hl_error_t *err);

/** keeper_core_route - as a leader, put an order into the log. */
keeper_verdict_t keeper_core_route(keeper_core_t *core,
				   const keeper_routing_change_t *order,
				   const routing_document_t *document,
				   usec_t now, hl_error_t *err);

/**
 * keeper_core_routing - the routing as a quorum confirms it now, as JSON.
 * @text: to be freed with free()
 */
keeper_verdict_t keeper_core_routing(keeper_core_t *core, char **text,
				     usec_t now);

/** keeper_core_report - note the versions in force at VMs. */
void keeper_core_report(keeper_core_t *core, const keeper_report_args_t *args,
			usec_t now);

/** keeper_core_state - the replica and the reports. */
bool keeper_core_state(keeper_core_t *core, keeper_state_res_t *res,
		       usec_t now);

/** keeper_core_voter - add or remove a voter. */
bool keeper_core_voter(keeper_core_t *core, const keeper_voter_args_t *args,
		       keeper_submit_res_t *res);

/** struct keeper_transport_t - the threads that send to the peers. */
typedef struct keeper_transport keeper_transport_t;

/** keeper_transport_new - idle links; @core gives the addresses. */
keeper_transport_t *keeper_transport_new(keeper_core_t *core);
void keeper_transport_free(keeper_transport_t *links);

/** keeper_transport_supervise - make each link a child of @sup. */
int keeper_transport_supervise(keeper_transport_t *links, supervisor_t *sup,
			       hl_error_t *err);

/** keeper_transport_send - for keeper_core_t.send. */
void keeper_transport_send(void *context, keeper_outgoing_t *outgoing);

/**
 * keeper_rpc_open - listen; one server in a process.
 *
 * libtirpc keeps its servers in global tables, so this one is global too.
 */
int keeper_rpc_open(keeper_core_t *core, hl_error_t *err);

/** keeper_rpc_run - the thread that answers, for a supervisor. */
int keeper_rpc_run(void *context, const volatile int *stop);

/** keeper_http_start - serve /metrics and /v1/health, if a port is set. */
int keeper_http_start(keeper_core_t *core, hl_error_t *err);

/** keeper_http_stop - before the core is freed. */
void keeper_http_stop(keeper_core_t *core);

#endif
