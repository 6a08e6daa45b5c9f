#ifndef CONFIG_FOLLOW_H
#define CONFIG_FOLLOW_H

#include "config.h"
#include "metrics.h"
#include "owner.h"
#include "toml.h"

/*
 * The follower: it keeps an entry's copy of the configuration up to date.
 * Entries form a tree over the sorted names of the live ones. The root asks
 * the keepers, every other entry asks its parent, and passes on what it has
 * to its children, so that each delta comes to an entry once. The versions in
 * force go up the tree the same way.
 */
typedef struct config_follow config_follow_t;

/* Most live entries that the tree is laid over. */
#define CONFIG_FOLLOW_MEMBERS_MAX 1024

/** struct config_follow_settings_t - the table [config] of an entry. */
typedef struct {
	setting_list_t keepers;
	int64_t fanout;
	int64_t poll_ms;
	int64_t timeout_ms;
	int64_t keeper_port; /* of all keepers; 0: as keepers says */
} config_follow_settings_t;

/**
 * CONFIG_FOLLOW_SETTINGS - rows for the settings table of a daemon.
 * @type: its settings struct
 * @member: the config_follow_settings_t in it
 */
#define CONFIG_FOLLOW_SETTINGS(type, member)                                        \
	{ "config",                                                                 \
	  "keepers",                                                                \
	  SETTING_ADDRESSES,                                                        \
	  offsetof(type, member.keepers),                                           \
	  false,                                                                    \
	  NULL,                                                                     \
	  0,                                                                        \
	  0,                                                                        \
	  "addresses of the keepers" },                                             \
		{ "config",                                                         \
		  "fanout",                                                         \
		  SETTING_INTEGER,                                                  \
		  offsetof(type, member.fanout),                                    \
		  false,                                                            \
		  "4",                                                              \
		  1,                                                                \
		  64,                                                               \
		  "entries that one entry passes the configuration to" },           \
		{ "config",                                                         \
		  "poll_ms",                                                        \
		  SETTING_INTEGER,                                                  \
		  offsetof(type, member.poll_ms),                                   \
		  false,                                                            \
		  "1000",                                                           \
		  10,                                                               \
		  10000,                                                            \
		  "milliseconds between two questions to the parent" },             \
		{ "config",                                                         \
		  "keeper_port",                                                    \
		  SETTING_INTEGER,                                                  \
		  offsetof(type, member.keeper_port),                               \
		  false,                                                            \
		  "0",                                                              \
		  0,                                                                \
		  65535,                                                            \
		  "UDP port of all keepers, with entry.routed; keepers then names " \
		  "their control pages" },                                          \
	{                                                                           \
		"config", "timeout_ms", SETTING_INTEGER,                            \
			offsetof(type, member.timeout_ms), false, "1000", 10,       \
			10000,                                                      \
			"milliseconds until a parent or keeper counts as silent"    \
	}

/** config_follow_set_ports - put a port, unless it is 0, into all addresses. */
void config_follow_set_ports(setting_list_t *list, uint16_t port);

/**
 * struct config_follow_options_t - what a follower needs to know.
 *
 * All is copied but for the contexts and the registry.
 */
typedef struct {
	const char *name; /* of this VM */
	/* "ip:port" where children ask; NULL for one that asks the keepers
	 * itself and has no children. */
	const char *rpc_address;
	config_follow_settings_t settings;
	/*
	 * Fill in the live entries, this one among them, and return how many;
	 * 0 or NULL when this entry is alone. Called in the follower's thread.
	 */
	unsigned (*members)(void *context, owner_member_t *out, unsigned max);
	void *members_context;
	/*
	 * Another configuration is in force; the one before is freed once all
	 * readers have left it. Called in the follower's thread; may be NULL.
	 */
	void (*changed)(void *context, const config_t *config);
	void *changed_context;
	metrics_t *metrics; /* required */
} config_follow_options_t;

/** config_follow_new - a follower that has nothing yet; NULL with @err. */
config_follow_t *config_follow_new(const config_follow_options_t *options,
				   hl_error_t *err);

/**
 * config_follow_child - the child that does the work: a supervisor of its
 * own over one thread that asks and one that answers.
 */
supervisor_child_t config_follow_child(config_follow_t *follow);

/**
 * config_follow_get - the configuration in force, NULL until the first.
 *
 * Call it, and use what it gives, between rcu_read_lock() and
 * rcu_read_unlock() in a thread that called rcu_register_thread().
 */
const config_t *config_follow_get(config_follow_t *follow);

/** config_follow_revision - the revision in force, 0 until the first. */
uint64_t config_follow_revision(config_follow_t *follow);

/**
 * config_follow_ready - may this entry serve?
 *
 * Return: true once a quorum of keepers has confirmed the revision in force.
 * It stays true without a keeper: the entry goes on with what it has.
 */
bool config_follow_ready(config_follow_t *follow);

/**
 * config_follow_trigger - there may be something new: ask now.
 * @keepers: the keepers' pages as they are known now; none: as before
 * @leader: the page of the one that leads, or ""
 *
 * For a follower that asks the keepers itself.
 */
void config_follow_trigger(config_follow_t *follow,
			   const setting_list_t *keepers, const char *leader);

/** config_follow_free - after the child has stopped; NULL is allowed. */
void config_follow_free(config_follow_t *follow);

#endif
