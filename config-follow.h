#ifndef CONFIG_FOLLOW_H
#define CONFIG_FOLLOW_H

#include "config.h"
#include "keys.h"
#include "metrics.h"
#include "owner.h"
#include "presence.h"
#include "toml.h"

/*
 * The configuration follower of an entry (not a follower of the Raft log). It
 * keeps the entry's copy of the configuration up to date and publishes it to
 * readers under RCU.
 *
 * Entries form a fan-out tree over the sorted names of the live entries. The
 * root polls the keepers. Every other entry polls its parent, and each entry
 * serves its children, so that an entry receives each delta once. Each poll
 * also reports the revisions in force in the subtree of the sender.
 */
typedef struct config_follow config_follow_t;

/*
 * Target of a question of a follower to a sibling entry for the keepers that it uses.
 * It is no path, so that an entry of an earlier version refuses it and sends it to no
 * copy.
 */
#define CONFIG_ASK_TARGET "hemlock-keepers:"

/* Maximum number of live entries in the tree. */
#define CONFIG_FOLLOW_MEMBERS_MAX 1024

/** struct config_follow_settings_t - table [config] of an entry's settings. */
typedef struct {
	setting_list_t keepers;
	int64_t fanout; /* maximum number of children of an entry */
	int64_t poll_ms;
	int64_t timeout_ms;
	int64_t outdated_ms;
	int64_t confirm_ms;
	int64_t keeper_port; /* port of all keepers; 0: the ports in keepers */
} config_follow_settings_t;

/**
 * CONFIG_FOLLOW_SETTINGS - rows for the settings table of a daemon.
 * @type: the settings struct of the daemon
 * @member: the config_follow_settings_t in that struct
 */
#define CONFIG_FOLLOW_SETTINGS(type, member)                                  \
	{ "config",                                                           \
	  "keepers",                                                          \
	  SETTING_ADDRESSES,                                                  \
	  offsetof(type, member.keepers),                                     \
	  false,                                                              \
	  NULL,                                                               \
	  0,                                                                  \
	  0,                                                                  \
	  "addresses of the keepers" },                                       \
		{ "config",                                                   \
		  "fanout",                                                   \
		  SETTING_INTEGER,                                            \
		  offsetof(type, member.fanout),                              \
		  false,                                                      \
		  "4",                                                        \
		  1,                                                          \
		  64,                                                         \
		  "entries that one entry passes the configuration to" },     \
		{ "config",                                                   \
		  "poll_ms",                                                  \
		  SETTING_INTEGER,                                            \
		  offsetof(type, member.poll_ms),                             \
		  false,                                                      \
		  "1000",                                                     \
		  10,                                                         \
		  10000,                                                      \
		  "milliseconds between two polls of the parent" },           \
		{ "config",                                                   \
		  "outdated_ms",                                              \
		  SETTING_INTEGER,                                            \
		  offsetof(type, member.outdated_ms),                         \
		  false,                                                      \
		  "1000",                                                     \
		  100,                                                        \
		  600000,                                                     \
		  "milliseconds in which an entry with entry.routed gets a "  \
		  "revision that keepers report; later it refuses calls" },   \
		{ "config",                                                   \
		  "confirm_ms",                                               \
		  SETTING_INTEGER,                                            \
		  offsetof(type, member.confirm_ms),                          \
		  false,                                                      \
		  "1250",                                                     \
		  100,                                                        \
		  600000,                                                     \
		  "milliseconds after which the last confirmation of a "      \
		  "leading keeper is too old, with entry.routed" },           \
		{ "config",                                                   \
		  "keeper_port",                                              \
		  SETTING_INTEGER,                                            \
		  offsetof(type, member.keeper_port),                         \
		  false,                                                      \
		  "0",                                                        \
		  0,                                                          \
		  65535,                                                      \
		  "UDP port of all keepers, with entry.routed; keepers "      \
		  "then has their control addresses" },                       \
	{                                                                     \
		"config", "timeout_ms", SETTING_INTEGER,                      \
			offsetof(type, member.timeout_ms), false, "1000", 10, \
			10000,                                                \
			"milliseconds until a parent or keeper counts "       \
			"as silent"                                           \
	}

/**
 * config_follow_set_ports - replace the port of each address in a list.
 * @list: addresses of the form "ip:port"
 * @port: the port; 0 leaves the list unchanged
 */
void config_follow_set_ports(setting_list_t *list, uint16_t port);

/** config_follow_control_port - TCP port of the control servers of all keepers. */
uint16_t config_follow_control_port(const config_follow_settings_t *settings);

/**
 * struct config_follow_options_t - parameters of config_follow_new().
 *
 * The follower copies them, except for the contexts and the metrics registry.
 */
typedef struct {
	const char *name; /* name of this entry and its VM */
	/* "ip:port" on which children are served; NULL for a follower outside
	 * the tree, which polls the leading keeper over HTTP. */
	const char *rpc_address;
	config_follow_settings_t settings;
	/*
	 * Fills in the live entries, including this one, and returns their
	 * number, or 0 if this entry is alone. Called on the polling thread.
	 * NULL if this entry is always alone.
	 */
	unsigned (*members)(void *context, owner_member_t *out, unsigned max);
	void *members_context;
	/*
	 * Called on the polling thread after a new configuration came into
	 * force; the previous one is freed after an RCU grace period. May be
	 * NULL.
	 */
	void (*changed)(void *context, const config_t *config);
	/*
	 * Called by a follower outside the tree, on the polling thread or that
	 * of config_follow_confirm() or config_follow_check_start(), each time
	 * that the leading keeper has confirmed that no newer revision was
	 * accepted, and when more calls may be routed before that. May be NULL.
	 */
	void (*on_confirmed)(void *context);
	/*
	 * Called like on_confirmed, each time that the results of
	 * config_follow_copy_is_pending() may have changed and before calls are
	 * routed by that. May be NULL.
	 */
	void (*on_pending_copies)(void *context);
	/*
	 * Called on the polling thread of a follower outside the tree with the
	 * RPC addresses of all keepers, as a leading one has sent them with its
	 * response to a poll. @sibling is the sibling that has named this
	 * keeper, else NULL. May be NULL.
	 */
	void (*on_keepers)(void *context, const presence_keepers_t *keepers,
			   const char *sibling);
	/*
	 * Fills in the call addresses of sibling entries. Called on the polling
	 * thread of a follower outside the tree while no keeper confirms its
	 * configuration. NULL if no sibling is asked.
	 */
	void (*siblings)(void *context, setting_list_t *out);
	/* Makes the header Hemlock-Hop of a question with this target. */
	void (*sign)(void *context, const char *target, char hop[KEYS_HOP_MAX]);
	uint64_t cluster; /* hash of the cluster's name */
	/* Of changed, the on_ functions, siblings and sign. */
	void *changed_context;
	metrics_t *metrics; /* required */
} config_follow_options_t;

/**
 * config_follow_new - create a follower that has no configuration yet.
 * @options: its parameters
 * @err: HL_ERR_SETTINGS if the settings list no keeper, HL_ERR_NOMEM, or the
 *       reason why the RPC address cannot be listened on
 *
 * Return: the follower, or NULL.
 */
config_follow_t *config_follow_new(const config_follow_options_t *options,
				   hl_error_t *err);

/**
 * config_follow_child - supervisor child that runs the follower.
 *
 * The child is itself a supervisor of two threads: one polls the parent or the
 * keepers, the other serves the children in the tree.
 */
supervisor_child_t config_follow_child(config_follow_t *follow);

/**
 * config_follow_get - configuration in force, NULL before the first one.
 *
 * The caller must be in an RCU read-side critical section, in a thread that
 * called rcu_register_thread(). The result is valid until rcu_read_unlock().
 */
const config_t *config_follow_get(config_follow_t *follow);

/**
 * config_follow_revision - revision in force, 0 before the first one.
 *
 * A revision that has been received is in force once options.changed has
 * returned.
 */
uint64_t config_follow_revision(config_follow_t *follow);

/**
 * config_follow_ready - whether this entry may serve calls.
 *
 * Return: true once a quorum of keepers has confirmed the revision in force, or
 * outside the tree once any keeper has sent a configuration. It remains true if
 * the keepers become unreachable: the entry then continues with its last
 * configuration.
 */
bool config_follow_ready(config_follow_t *follow);

/**
 * config_follow_confirmed - whether the configuration in force is the newest one.
 * @follow: a follower outside the tree
 * @now: current time
 *
 * True for config.confirm_ms after a leading keeper has confirmed that, unless a
 * newer revision is reported. Otherwise the configuration does not show what is
 * not declared.
 */
bool config_follow_confirmed(const config_follow_t *follow, usec_t now);

/**
 * config_follow_confirmed_at - when the configuration in force was last the newest.
 * @follow: the follower
 *
 * Takes no lock. Read it before the configuration, which may be replaced meanwhile.
 * It stays as it is when a newer revision comes into force, until that is confirmed.
 *
 * Return: the time at which the keeper was asked that has confirmed that while it
 * led; 0 if none has yet, and always in the tree.
 */
usec_t config_follow_confirmed_at(const config_follow_t *follow);

/**
 * config_follow_may_confirm - whether a confirmation may come soon.
 * @follow: a follower outside the tree
 * @now: current time
 *
 * Return: false if the last one is so old that the keepers are out of reach.
 */
bool config_follow_may_confirm(const config_follow_t *follow, usec_t now);

/** struct config_follow_view_t - how far a follower outside the tree is. */
typedef struct {
	uint64_t revision; /* newest revision that it has received */
	uint64_t applied;  /* revision that options.changed has returned for */
	usec_t newest_at;  /* as of then applied was the newest; 0: unknown */
} config_follow_view_t;

/** config_follow_view - read how far a follower outside the tree is. */
void config_follow_view(config_follow_t *follow, config_follow_view_t *view);

/**
 * config_follow_report - record that a keeper has reported a revision.
 * @follow: a follower outside the tree
 * @revision: the revision that the keeper has in force
 * @now: current time
 */
void config_follow_report(config_follow_t *follow, uint64_t revision,
			  usec_t now);

/**
 * config_follow_confirm - record that a leading keeper has responded.
 * @follow: a follower outside the tree
 * @newest: newest revision that the keeper has accepted
 * @at: time at which the keeper was asked
 * @source: address of the keeper, for the log
 */
void config_follow_confirm(config_follow_t *follow, uint64_t newest, usec_t at,
			   const char *source);

/**
 * config_follow_outdated - whether a newer revision is known and late.
 * @follow: the follower
 * @now: current time
 *
 * True from config.outdated_ms after the first report of a revision until that
 * revision is in force, or no keeper reports it any more.
 */
bool config_follow_outdated(const config_follow_t *follow, usec_t now);

/**
 * config_follow_trigger - trigger an immediate poll of the leading keeper.
 * @follow: a follower outside the tree
 * @keepers: control addresses of the keepers with their revision; if the list is
 *           empty or older, the follower's current list remains
 * @leader: control address of the leading keeper, or "" if unknown
 * @reporter: control address of the keeper that has reported a configuration; a
 *            follower without one polls it if the leader is unknown
 *
 * A poll of another keeper that is not connected yet is given up.
 */
void config_follow_trigger(config_follow_t *follow,
			   const presence_keepers_t *keepers,
			   const char *leader, const char *reporter);

/**
 * config_follow_start_state - number of the state in which calls are held.
 * @follow: a follower outside the tree
 *
 * Return: 0 once a leading keeper has confirmed the configuration, for the first time
 * since the start. Until then the number grows each time that other calls may be held.
 */
unsigned config_follow_start_state(const config_follow_t *follow);

/**
 * config_follow_holds - whether a call must not be routed yet.
 * @follow: a follower outside the tree
 * @state: config_follow_start_state() before the call was matched, not 0
 * @host: Host header of the call, with or without a port
 * @target: its path and query
 * @prefix_length: length of the prefix of its route
 * @now: current time
 *
 * Return: true if a change that was accepted before the start may have moved or dropped
 * the route of the call, or if the state has changed.
 */
bool config_follow_holds(config_follow_t *follow, unsigned state,
			 const char *host, const char *target,
			 size_t prefix_length, usec_t now);

/**
 * config_follow_copy_is_pending - whether a copy must get no calls yet.
 * @follow: a follower outside the tree
 * @name: id of the copy
 *
 * Takes the lock of @follow only.
 *
 * Return: true if no leading keeper has confirmed the configuration since the start, and
 * a change that was accepted before it may have taken the copy out of service.
 */
bool config_follow_copy_is_pending(config_follow_t *follow, const char *name);

/**
 * config_follow_check_start - call options.on_confirmed once calls may be routed.
 * @follow: a follower outside the tree
 * @now: current time
 *
 * Return: when to call it again, or USEC_NEVER.
 */
usec_t config_follow_check_start(config_follow_t *follow, usec_t now);

/**
 * config_follow_on_sibling - a sibling routes calls by a newer revision.
 * @follow: a follower outside the tree
 * @now: current time
 *
 * Triggers a poll; at most two a second.
 */
void config_follow_on_sibling(config_follow_t *follow, usec_t now);

/** config_follow_free - free a stopped follower; NULL is allowed. */
void config_follow_free(config_follow_t *follow);

#endif
