#ifndef KEEPER_CORE_H
#define KEEPER_CORE_H

#include "config-state.h"
#include "headers.h"
#include "keeper-store.h"
#include "keeper-tail.h"
#include "presence.h"
#include "routing.h"
#include "toml.h"

/*
 * The core thread of a keeper owns the replica (keeper.h) and its files
 * (keeper-store.h). Other threads hand it messages and changes through an
 * inbox, and read the applied configuration and a status view under a lock.
 * This header also declares the keeper's settings, RPC and HTTP servers and
 * the transport to its peers.
 */

/* Maximum number of changes that are submitted but not yet applied. */
#define KEEPER_PENDING_MAX 256
/* Maximum number of messages, changes and requests in the core's inbox. */
#define KEEPER_INBOX_MAX 1024
/* Maximum number of messages queued for one peer. Further ones are dropped;
 * Raft tolerates the loss. */
#define KEEPER_PEER_QUEUE_MAX 64

/* Shortest suspend time of the VM that counts. The suspend time is the
 * difference of two clocks; a shorter one is due to the time between their
 * readings. */
#define KEEPER_SUSPEND_MIN (5 * USEC_PER_MS)

/** struct keeper_settings_t - the values of a keeper's settings file. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX];
	log_level_t log_level;
	char cluster[HL_NAME_MAX];
	char data[HL_MESSAGE_MAX];
	int64_t port;
	int64_t metrics_port; /* port of /metrics; 0: not served */
	int64_t heartbeat_ms;
	int64_t election_ms;
	int64_t rpc_timeout_ms;
	int64_t snapshot_entries;
	setting_list_t names;
	setting_list_t addresses;
	setting_list_t seeds;	 /* in place of names and addresses */
	int64_t fault_tolerance; /* keepers that may be lost at once */
	bool first_start;	 /* the whole cluster starts with empty disks */
	char control[HL_ADDRESS_MAX]; /* address of the control port, or "" */
	char directory
		[HL_ADDRESS_MAX]; /* address of the directory port, or "" */
	int64_t directory_keep_s; /* how long callers cache entries */
	int64_t silence_ms;	  /* silence before a copy's removal */
	char interface[HL_NAME_MAX];
	const headers_t *headers; /* header names of that interface */
} keeper_settings_t;

extern const setting_t keeper_settings_table[];
extern const size_t keeper_settings_count;

/**
 * keeper_settings_load - read and check a settings file.
 *
 * Return: 0, or -1 with @err.
 */
int keeper_settings_load(const char *path, keeper_settings_t *settings,
			 hl_error_t *err);

/** keeper_settings_address - write "address:port" for one of the ports. */
void keeper_settings_address(const keeper_settings_t *settings, int64_t port,
			     char out[HL_ADDRESS_MAX]);

/** keeper_settings_rpc_address - the "address:port" that peers connect to. */
void keeper_settings_rpc_address(const keeper_settings_t *settings,
				 char out[HL_ADDRESS_MAX]);

/** struct keeper_pending_t - a submitted change that has no answer yet. */
typedef struct {
	struct cds_list_head link;
	char id[HL_NAME_MAX]; /* change id */
} keeper_pending_t;

typedef enum {
	KEEPER_ITEM_MESSAGE,
	KEEPER_ITEM_CHANGE,
	KEEPER_ITEM_VOTER,
	KEEPER_ITEM_LEAVE,
} keeper_item_kind_t;

/** struct keeper_item_t - a message, change or request in the core's inbox. */
typedef struct {
	struct cds_list_head link;
	keeper_item_kind_t kind;
	keeper_message_t message;
	char id[HL_NAME_MAX];	      /* KEEPER_ITEM_CHANGE: change id */
	char *body;		      /* the change, from keeper_body_pack() */
	size_t size;		      /* bytes in body */
	bool add;		      /* KEEPER_ITEM_VOTER: add, else remove */
	char name[HL_NAME_MAX];	      /* KEEPER_ITEM_VOTER: the voter */
	char address[HL_ADDRESS_MAX]; /* KEEPER_ITEM_VOTER: its address */
} keeper_item_t;

/** struct keeper_status_view_t - the replica's status for other threads. */
typedef struct {
	bool serving; /* false while the store is closed after a fault */
	bool leading;
	bool may_leave; /* see keeper_raft_may_leave() */
	char role[HL_NAME_MAX];
	char leader[HL_NAME_MAX];
	uint64_t term, last, commit, incarnation;
	uint64_t term_start; /* leader: index of its first entry */
	usec_t lease_end;
	usec_t suspended; /* suspend time since boot when it became leader */
	keeper_group_t group;
	uint64_t group_index;	  /* as in keeper_raft_t */
	keeper_group_t committed; /* the newest group that is committed */
	/* Revision of committed: an index between its entry and the commit
	 * index. */
	uint64_t committed_revision;
	/* Last entry on the disk of the member with this index in group. */
	uint64_t match_index[KEEPER_VOTERS_MAX];
	unsigned voters; /* of group; 0 if this disk is not one of them */
	keeper_tail_t tail;
} keeper_status_view_t;

/**
 * struct keeper_unconfirmed_t - what a response has besides a configuration that no
 * quorum confirms.
 */
typedef struct {
	unsigned voters; /* of the group; 0 if this disk is not one of them */
	uint64_t group_index;		    /* as in keeper_status_view_t */
	uint64_t applied, last;		    /* as in keeper_tail_t */
	char routes[KEEPER_TAIL_BYTES_MAX]; /* as keeper_tail_t.routes */
	char copies[KEEPER_TAIL_COPIES_BYTES_MAX]; /* likewise */
} keeper_unconfirmed_t;

/** struct keeper_counters_t - the keeper's counters, gauges and histogram. */
typedef struct {
	uint64_t *changes, *elections, *syncs, *faults, *rejected, *dropped,
		*snapshots;
	uint64_t *commit, *log_bytes, *leading;
	metrics_histogram_t *sync_time;
} keeper_counters_t;

/**
 * struct keeper_reported_version_t - the configuration revision that the entry
 * on a VM reported as in force.
 */
typedef struct {
	char vm[HL_NAME_MAX];
	uint64_t revision;
	usec_t reported_at; /* by this keeper's clock */
} keeper_reported_version_t;

/** struct keeper_core_t - the replica of this process and its files. */
typedef struct {
	keeper_settings_t settings;
	const keeper_file_ops_t *file;
	/* Sends a message to its peer and frees it; called without the lock. */
	void (*send)(void *context, keeper_outgoing_t *outgoing);
	void *send_context;

	/* Used by the core thread only. */
	keeper_raft_t raft;
	keeper_store_t store;
	bool open;		 /* raft and store are loaded */
	uint64_t elections_seen; /* elections that the metrics count */
	usec_t suspended;	 /* VM's suspend time at the last round */
	usec_t log_saved_at;	 /* time of the last write of the log */

	/* Protected by the lock. */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct cds_list_head inbox; /* keeper_item_t */
	unsigned inbox_count;
	struct cds_list_head pending; /* keeper_pending_t */
	unsigned pending_count;
	config_state_t *state;
	uint64_t applied;
	keeper_status_view_t view;
	unsigned reported_count;
	keeper_reported_version_t reported_versions[KEEPER_APPLIED_MAX];

	metrics_t *metrics;
	keeper_counters_t counters;
	struct MHD_Daemon *http; /* NULL without metrics_port */
	/* Called without the lock after each round of the core thread, which
	 * handles the inbox, saves and sends messages; may be NULL. */
	void (*on_round_end)(void *context);
	void *on_round_end_context;
} keeper_core_t;

/**
 * keeper_core_init - set up a core that has not read its data folder yet.
 * @settings: copied
 * @file: the file calls; must outlive the core
 *
 * Return: 0, or -1 with HL_ERR_NOMEM.
 */
int keeper_core_init(keeper_core_t *core, const keeper_settings_t *settings,
		     const keeper_file_ops_t *file, hl_error_t *err);

/**
 * keeper_core_open - read the data folder and start serving.
 *
 * Return: 0, or -1 with an error of keeper_store_open() in @err.
 */
int keeper_core_open(keeper_core_t *core, hl_error_t *err);

/**
 * keeper_core_run - main function of the core thread, for a supervisor.
 * @context: the core
 * @stop: ends the thread if set; call keeper_core_wake() then
 *
 * After an I/O error the data folder is closed and opened again.
 *
 * Return: 0, or -1 if the data folder is damaged.
 */
int keeper_core_run(void *context, const volatile int *stop);

/** keeper_core_wake - wake the core thread, so that it checks its stop flag. */
void keeper_core_wake(void *context);

/**
 * keeper_core_leave - give up this keeper's vote before its process stops.
 *
 * Does nothing if the group needs the vote. To be called while the core thread
 * runs; waits until the leader has confirmed the removal, for 2.4 s at most: a leader
 * may have to be elected first.
 */
void keeper_core_leave(keeper_core_t *core);

/** keeper_core_free - free a core whose thread has ended. */
void keeper_core_free(keeper_core_t *core);

/**
 * keeper_body_pack - encode a change as the body of an entry.
 * @body: set to malloc'ed bytes, deflated if the change is large
 * @size: set to their number
 *
 * Return: false if the change exceeds the bounds of its XDR definition, or if
 * out of memory.
 */
bool keeper_body_pack(config_change_t *change, char **body, size_t *size);

/**
 * keeper_body_unpack - decode the body of an entry.
 * @change: zeroed; free with xdr_free()
 *
 * Return: false if the body is malformed.
 */
bool keeper_body_unpack(const char *body, size_t size, config_change_t *change);

/**
 * keeper_core_post - add an item to the core's inbox, which then owns it.
 *
 * Return: false if the inbox is full or the data folder is closed after a
 * fault; the item is freed.
 */
bool keeper_core_post(keeper_core_t *core, keeper_item_t *item);

/**
 * keeper_core_address - write the address of a member.
 * @name: name of the member
 * @known: address of the member in the group or in a message, or ""
 * @out: set to the address in the settings if they list the member, else to
 *       @known
 */
void keeper_core_address(const keeper_core_t *core, const char *name,
			 const char *known, char out[HL_ADDRESS_MAX]);

/**
 * keeper_core_addresses - write the addresses of all members of a group.
 * @out: filled in, in the order of @group
 */
void keeper_core_addresses(const keeper_core_t *core,
			   const keeper_group_t *group, setting_list_t *out);

/**
 * keeper_core_committed_keepers - return the list of keepers for entries.
 * @out: set to the addresses of the committed group with its revision; without those
 *       that this keeper does not know
 */
void keeper_core_committed_keepers(keeper_core_t *core,
				   presence_keepers_t *out);

/**
 * keeper_core_submit - queue a change, unless its id has already been applied.
 * @res: set to KEEPER_OK with the answer to the applied change,
 *       KEEPER_PENDING, KEEPER_NOT_LEADER with the leader's address, or
 *       KEEPER_BUSY
 *
 * Return: false if out of memory.
 */
bool keeper_core_submit(keeper_core_t *core, config_change_t *change,
			keeper_submit_res_t *res, usec_t now);

/**
 * keeper_core_outcome - look up the answer to a submitted change.
 * @id: change id
 * @res: set as by keeper_core_submit(), or to KEEPER_UNKNOWN if a quorum
 *       confirms that the log has no change with this id
 *
 * Return: false if out of memory.
 */
bool keeper_core_outcome(keeper_core_t *core, const char *id,
			 keeper_submit_res_t *res, usec_t now);

/**
 * keeper_core_fetch - return the deltas since version @args->have.
 * @first: return the whole configuration to a process that has none, so that it
 *         takes over no earlier state on the way to the present one
 * @res: the deltas, or the whole configuration if they are not available;
 *       KEEPER_NOT_LEADER if @args requests a revision that a quorum confirms
 *       and this keeper cannot have it confirmed
 * @unconfirmed: filled in as of the same moment as @res, of use if @res is not
 *               confirmed; may be NULL
 *
 * Return: false if out of memory.
 */
bool keeper_core_fetch(keeper_core_t *core, const keeper_fetch_args_t *args,
		       bool first, keeper_fetch_res_t *res,
		       keeper_unconfirmed_t *unconfirmed, usec_t now);

/**
 * enum keeper_verdict_t - the state of a requested change, or the result of a
 * query, at this keeper.
 */
typedef enum {
	KEEPER_VERDICT_DONE,	   /* in force, on the disks of a quorum */
	KEEPER_VERDICT_WAIT,	   /* queued: check again after a core round */
	KEEPER_VERDICT_NOT_LEADER, /* only the leader can answer */
	KEEPER_VERDICT_BUSY,	   /* can't be answered now: retry */
	KEEPER_VERDICT_CONFLICT,   /* another change was applied first */
	KEEPER_VERDICT_REFUSED,	   /* the change itself is not valid */
} keeper_verdict_t;

/**
 * keeper_core_check_announcement - check if an announcement is in force.
 * @target: the announced target
 *
 * Return: KEEPER_VERDICT_REFUSED if the routing does not declare the service of
 * the copy, else the state of the announcement.
 */
keeper_verdict_t keeper_core_check_announcement(keeper_core_t *core,
						const config_target_t *target);

/**
 * keeper_core_announce - as leader, queue an announcement for the log.
 * @target: the announced target
 *
 * Return: KEEPER_VERDICT_WAIT if it is queued, else the result of
 * keeper_core_check_announcement().
 */
keeper_verdict_t keeper_core_announce(keeper_core_t *core,
				      const config_target_t *target);

/**
 * keeper_core_prepare_leave - fill in the announcement that a copy leaves.
 * @id: id of the copy
 * @target: filled in; free with xdr_free()
 *
 * Return: KEEPER_VERDICT_WAIT if @target has to be announced,
 * KEEPER_VERDICT_DONE if a quorum confirms that there is no such copy,
 * KEEPER_VERDICT_NOT_LEADER or KEEPER_VERDICT_BUSY if that can't be confirmed
 * here.
 */
keeper_verdict_t keeper_core_prepare_leave(keeper_core_t *core, const char *id,
					   config_target_t *target, usec_t now);

/**
 * keeper_core_put_reported - as leader, queue an item that a process has reported.
 * @id: while a change with the same id is queued, the item is not; "" for none
 * @item: as for config_report_has_effect()
 *
 * Return: false if it is not queued, also because this keeper does not lead or
 * the item has no effect.
 */
bool keeper_core_put_reported(keeper_core_t *core, const char *id,
			      config_item_t *item);

/**
 * keeper_core_retire - as leader, queue the removal of copies.
 * @targets: copies that have not announced themselves for the silence time
 * @count: their number
 */
void keeper_core_retire(keeper_core_t *core, const config_target_t *targets,
			unsigned count);

/**
 * keeper_core_leader - copy the name of the leader.
 *
 * The name is the IP address of the leader if the settings list seeds in place
 * of names.
 *
 * Return: false if no leader is known.
 */
bool keeper_core_leader(keeper_core_t *core, char out[HL_NAME_MAX]);

/** struct keeper_routing_change_t - an operator's change of the routing. */
typedef struct {
	uint64_t base_version; /* routing version that the change replaces */
	uint64_t new_version;  /* routing version after the change */
	char id[HL_NAME_MAX];  /* change id */
} keeper_routing_change_t;

/**
 * keeper_core_check_routing - return the state of a routing change.
 * @change: the change
 * @err: set to the reason for every other state than KEEPER_VERDICT_DONE,
 *       KEEPER_VERDICT_WAIT and KEEPER_VERDICT_NOT_LEADER
 *
 * Return: the state; KEEPER_VERDICT_WAIT if the change is queued or may be
 * submitted now.
 */
keeper_verdict_t keeper_core_check_routing(
	keeper_core_t *core, const keeper_routing_change_t *change, usec_t now,
	hl_error_t *err);

/**
 * keeper_core_submit_routing - as leader, queue a routing change for the log.
 * @change: versions and id of the change
 * @document: the new routing
 * @err: set as by keeper_core_check_routing()
 *
 * Return: KEEPER_VERDICT_WAIT if it is queued, else the result of
 * keeper_core_check_routing().
 */
keeper_verdict_t keeper_core_submit_routing(
	keeper_core_t *core, const keeper_routing_change_t *change,
	const routing_document_t *document, usec_t now, hl_error_t *err);

/**
 * keeper_core_read_routing - return the routing confirmed by a quorum as JSON.
 * @text: with KEEPER_VERDICT_DONE, set to malloc'ed text
 */
keeper_verdict_t keeper_core_read_routing(keeper_core_t *core, char **text,
					  usec_t now);

/** keeper_core_report - record the revisions that entries have in force. */
void keeper_core_report(keeper_core_t *core, const keeper_report_args_t *args,
			usec_t now);

/**
 * keeper_core_state - return the replica's status and the reported versions.
 *
 * Return: false if out of memory.
 */
bool keeper_core_state(keeper_core_t *core, keeper_state_res_t *res,
		       usec_t now);

/**
 * keeper_core_change_voter - queue the addition or removal of a voter.
 * @res: set to KEEPER_OK if the voter has already been added or removed,
 *       KEEPER_PENDING, KEEPER_NOT_LEADER or KEEPER_BUSY
 *
 * Return: false if out of memory.
 */
bool keeper_core_change_voter(keeper_core_t *core,
			      const keeper_voter_args_t *args,
			      keeper_submit_res_t *res);

/** struct keeper_transport_t - the threads that send messages to the peers. */
typedef struct keeper_transport keeper_transport_t;

/**
 * keeper_transport_new - allocate a transport without connections.
 * @core: its settings have the timeout and the members' addresses
 *
 * Return: NULL if out of memory.
 */
keeper_transport_t *keeper_transport_new(keeper_core_t *core);

/** keeper_transport_free - free a transport after its threads have ended. */
void keeper_transport_free(keeper_transport_t *transport);

/**
 * keeper_transport_supervise - add each sender thread as a child of @sup.
 *
 * Return: 0, or -1 with @err.
 */
int keeper_transport_supervise(keeper_transport_t *transport, supervisor_t *sup,
			       hl_error_t *err);

/**
 * keeper_transport_send - queue a message to be sent to its peer.
 * @context: the transport
 * @outgoing: the message, which the transport then owns and frees
 *
 * This is the send function of keeper_core_t. The message is dropped if the
 * queue is full or the peer has no address.
 */
void keeper_transport_send(void *context, keeper_outgoing_t *outgoing);

/**
 * keeper_rpc_open - listen for RPC calls on the keeper's port.
 *
 * A process can have one server only, since libtirpc keeps its servers in
 * global tables.
 *
 * Return: 0, or -1 with @err.
 */
int keeper_rpc_open(keeper_core_t *core, hl_error_t *err);

/** keeper_rpc_run - main function of the RPC server thread. */
int keeper_rpc_run(void *context, const volatile int *stop);

/**
 * keeper_http_start - serve /metrics and /v1/health if metrics_port is set.
 *
 * Return: 0, or -1 with @err.
 */
int keeper_http_start(keeper_core_t *core, hl_error_t *err);

/** keeper_http_stop - stop the HTTP server, before keeper_core_free(). */
void keeper_http_stop(keeper_core_t *core);

#endif
