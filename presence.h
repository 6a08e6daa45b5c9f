#ifndef PRESENCE_H
#define PRESENCE_H

#include <netinet/in.h>
#include <rpc/rpc.h>
#include <sys/socket.h>
#include "hemlock.h"
#include "presence_rpc.h"
#include "toml.h"

/*
 * Presence datagrams. Each entry sends heartbeats to all keepers; a keeper
 * responds with the revision that it has applied. The leader also sends each
 * new revision to all entries without waiting for their heartbeats. Keepers
 * report to one another which copies have announced themselves. All of this is
 * soft state: a later datagram makes up for a lost one.
 *
 * An entry asks one keeper for the entries that callers of its zone can use, its
 * peers. An entry that does not reach copies that other entries reach is impaired
 * and reports that with each heartbeat.
 *
 * presence_keepers_*	the list of keepers that an entry uses
 * presence_table_*	the entries that a keeper has heartbeats of
 * presence_client_*	heartbeats of an entry to the keepers
 */

/* Largest datagram, in bytes. */
#define PRESENCE_BYTES_MAX 1400
/* Maximum number of entries in the table of a keeper. */
#define PRESENCE_ENTRIES_MAX 4096

/**
 * presence_encode - encode a datagram.
 *
 * Return: its size in bytes, or 0 if it exceeds PRESENCE_BYTES_MAX.
 */
size_t presence_encode(const presence_t *message, char out[PRESENCE_BYTES_MAX]);

/**
 * presence_decode - decode a datagram.
 * @cluster: hash of the name of the receiver's cluster
 * @message: zeroed; free with presence_clear()
 *
 * Return: false if the datagram is malformed or from another cluster.
 */
bool presence_decode(const char *bytes, size_t size, uint64_t cluster,
		     presence_t *message);

/** presence_clear - free the strings and arrays of a message and zero it. */
void presence_clear(presence_t *message);

/**
 * struct presence_keepers_t - a list of keepers, and the revision of the group that it
 * stands for.
 *
 * The revision is an index of the log of the keepers up to which the group is committed:
 * that of the entry that has the group, or a later one. A keeper whose group is older
 * has committed no entry as late, so the list with the higher revision is the newer
 * one. 0: not known, as in the settings of an entry and from earlier releases.
 */
typedef struct {
	setting_list_t list;
	uint64_t revision;
	unsigned drops; /* lists that presence_keepers_offer() has dropped */
} presence_keepers_t;

/** enum presence_keepers_result_t - what has become of a list that was offered. */
typedef enum {
	PRESENCE_KEEPERS_SAME,	    /* the own list has the same addresses */
	PRESENCE_KEEPERS_TAKEN,	    /* it has replaced the own one */
	PRESENCE_KEEPERS_OLDER,	    /* dropped */
	PRESENCE_KEEPERS_MALFORMED, /* dropped */
} presence_keepers_result_t;

/**
 * presence_keepers_offer - replace a list of keepers by one that is not older.
 * @offered: another list with its revision; an empty one changes nothing
 *
 * It does no I/O; its user provides the locking.
 */
presence_keepers_result_t presence_keepers_offer(
	presence_keepers_t *keepers, const presence_keepers_t *offered);

/**
 * presence_keepers_log_dropped - log a list that was dropped: the first, second,
 * fourth, eighth or so on.
 * @keepers: the list that was kept
 * @offered: the list that was dropped
 * @reporter: the sender of @offered
 */
void presence_keepers_log_dropped(const presence_keepers_t *keepers,
				  const presence_keepers_t *offered,
				  presence_keepers_result_t result,
				  const char *reporter);

/** struct presence_member_t - an entry in the table of a keeper. */
typedef struct {
	uint64_t id; /* hash of the entry's name and start time */
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char call_address[HL_ADDRESS_MAX]; /* "ip:port" for callers */
	bool ready;
	uint64_t revision;  /* revision in force at the entry */
	usec_t first_seen;  /* time of the entry's first heartbeat */
	usec_t last_seen;   /* time of the entry's last heartbeat */
	usec_t impaired_at; /* last report that it is impaired; 0: none */
	struct sockaddr_storage from;
	socklen_t from_length;
} presence_member_t;

/** struct presence_table_t - the entries that a keeper has heartbeats of. */
typedef struct presence_table presence_table_t;

/** presence_table_new - allocate an empty table; NULL if out of memory. */
presence_table_t *presence_table_new(void);

/** presence_table_free - free a table; NULL is ignored. */
void presence_table_free(presence_table_t *table);

/**
 * presence_table_update - record the heartbeat of an entry.
 * @table: the table
 * @heartbeat: content of the heartbeat
 * @from: address of the sender
 * @length: size of the address in @from
 * @now: current time
 *
 * Return: false if the entry is not in the table and either did not send its
 * identity, or the table is full or out of memory.
 */
bool presence_table_update(presence_table_t *table,
			   const presence_entry_t *heartbeat,
			   const struct sockaddr_storage *from,
			   socklen_t length, usec_t now);

/** presence_table_count_live - count the entries with a recent heartbeat. */
unsigned presence_table_count_live(const presence_table_t *table, usec_t now);

/** presence_table_count_impaired - count the live entries that are impaired. */
unsigned presence_table_count_impaired(const presence_table_t *table,
				       usec_t now);

/** presence_table_each - call @each for each entry with a recent heartbeat. */
void presence_table_each(const presence_table_t *table, usec_t now,
			 void (*each)(void *context,
				      const presence_member_t *member),
			 void *context);

/**
 * presence_table_choose - choose entries for a caller.
 * @zone: zone of the caller, or "" if unknown
 * @out: filled in; the pointers are valid until the table changes
 * @max: size of @out
 *
 * Chooses the ready entries of the zone that are not impaired. Entries that have
 * just started and have no configuration yet count as ready while they outnumber
 * the ready ones of the zone, which could not take all callers; they hold calls
 * until they have one. If the zone has fewer than two, those of all zones are chosen, so that the failure of one entry
 * does not leave the caller without any. If more than half are impaired, the others
 * could not serve all callers: then impaired ones, which hand calls over, are chosen
 * too.
 *
 * Return: the number of entries.
 */
unsigned presence_table_choose(const presence_table_t *table, const char *zone,
			       usec_t now, const presence_member_t **out,
			       unsigned max);

/** presence_table_set_impaired - record that an entry reports to be impaired. */
void presence_table_set_impaired(presence_table_t *table, uint64_t id,
				 usec_t now);

/**
 * presence_table_is_ready - whether an entry of this name is ready and not
 * impaired.
 */
bool presence_table_is_ready(const presence_table_t *table, const char *name,
			     usec_t now);

/**
 * presence_table_choose_one - choose one entry for a task.
 * @zone: zone whose entries are preferred
 * @key: name of the task; tasks are spread evenly over the entries
 *
 * Return: the entry, valid until the table changes, or NULL if none is ready.
 */
const presence_member_t *presence_table_choose_one(
	const presence_table_t *table, const char *zone, const char *key,
	usec_t now);

/** struct presence_peers_list_t - call addresses of entries. */
typedef struct {
	unsigned count;
	bool all_zones; /* the peers of all zones were asked for */
	char addresses[PRESENCE_PEERS_MAX][HL_ADDRESS_MAX];
} presence_peers_list_t;

/** presence_peers_hash - hash a list of peers regardless of their order. */
uint64_t presence_peers_hash(const presence_peers_list_t *list);

/**
 * presence_table_peers - choose the peers of an entry.
 * @id: id of the entry
 * @zone: zone of the entry
 * @out: filled in
 *
 * As presence_table_choose(). If there are too many for a datagram, each entry gets another
 * part of them, so that all are named about equally often; if @zone is "", another
 * part each second.
 */
void presence_table_peers(const presence_table_t *table, uint64_t id,
			  const char *zone, usec_t now,
			  presence_peers_list_t *out);

/** struct presence_client_t - sends an entry's heartbeats to the keepers. */
typedef struct presence_client presence_client_t;

/**
 * struct presence_client_options_t - identity and callbacks of an entry.
 *
 * Strings and the list are copied; the context must outlive the client. The
 * callbacks run on the client's thread.
 */
typedef struct {
	const char *cluster;
	const char *name;
	const char *zone;
	const char *call_address;      /* "ip:port" where callers connect */
	const char *address;	       /* IP address to send from */
	const setting_list_t *keepers; /* "ip:port" of some keepers */
	usec_t interval;	       /* interval between heartbeats */
	uint64_t *keepers_drops;       /* counter of dropped lists, or NULL */
	bool (*ready)(void *context);  /* true if the entry takes calls */
	/* True if other entries reach copies that this entry does not reach. */
	bool (*impaired)(void *context);
	uint64_t (*revision)(void *context); /* returns the one in force */
	/* Called when the keeper with this address reports a newer revision than
	 * revision(). */
	void (*on_newer_revision)(void *context, const char *keeper,
				  uint64_t revision, usec_t now);
	/* Called when the leading keeper, which has this address, has responded to
	 * a heartbeat that was sent at @asked_at or later, with its newest
	 * revision. */
	void (*on_leader)(void *context, const char *keeper, uint64_t revision,
			  usec_t asked_at);
	void *context;
} presence_client_options_t;

/**
 * presence_client_new - open a UDP socket for heartbeats.
 *
 * Return: NULL with @err.
 */
presence_client_t *presence_client_new(const presence_client_options_t *options,
				       hl_error_t *err);

/** presence_client_child - return the client's thread for a supervisor. */
supervisor_child_t presence_client_child(presence_client_t *client);

/**
 * presence_client_set_keepers - offer a list in place of the one that keepers have
 * reported, as presence_keepers_offer().
 * @keepers: a list that the client did not get by datagram
 * @sibling: the sibling that has named the keeper with this list, or NULL
 */
void presence_client_set_keepers(presence_client_t *client,
				 const presence_keepers_t *keepers,
				 const char *sibling);

/** presence_client_trigger - send a heartbeat to all keepers at once. */
void presence_client_trigger(presence_client_t *client);

/**
 * presence_client_report_rate - report the rate of a copy to all keepers.
 * @report: the name of the entry is filled in here
 *
 * A report may get lost. It is dropped if many others wait to be sent.
 */
void presence_client_report_rate(presence_client_t *client,
				 const presence_copy_rate_t *report);

/**
 * presence_client_report_suspect - report a crash, or the answer to a call that
 * had crashed copies, to all keepers; as presence_client_report_rate().
 */
void presence_client_report_suspect(presence_client_t *client,
				    const presence_suspect_t *report);

/**
 * presence_client_report_leaving - report a copy that leaves to all keepers; as
 * presence_client_report_rate().
 */
void presence_client_report_leaving(presence_client_t *client,
				    const presence_copy_leaves_t *report);

/** presence_client_last_response - time of the last datagram of any keeper. */
usec_t presence_client_last_response(presence_client_t *client);

/**
 * presence_client_live_entries - return the number of live entries that a
 * keeper last reported, at least 1.
 */
unsigned presence_client_live_entries(presence_client_t *client);

/**
 * presence_client_keepers - copy the addresses of the keepers.
 * @out: filled in with those last reported by a keeper, else with those of the
 *       options
 * @leader: set to the leader's address, or ""
 */
void presence_client_keepers(presence_client_t *client, presence_keepers_t *out,
			     char leader[HL_ADDRESS_MAX]);

/**
 * presence_client_peers - copy the peers that a keeper last reported.
 * @out: filled in; empty if no keeper has responded for a while
 */
void presence_client_peers(presence_client_t *client, usec_t now,
			   presence_peers_list_t *out);

/**
 * presence_client_siblings - copy the peers that a keeper last reported, however
 * long ago, without this entry.
 */
void presence_client_siblings(presence_client_t *client, setting_list_t *out);

/**
 * presence_client_ask_all_zones - set whether to ask for peers of all zones.
 *
 * Set while no peer of the entry's own zone can serve what it cannot.
 */
void presence_client_ask_all_zones(presence_client_t *client, bool all_zones);

/** presence_client_free - free a client whose thread has ended, or NULL. */
void presence_client_free(presence_client_t *client);

/**
 * presence_keepers_hash - hash a list of addresses regardless of their order.
 */
uint64_t presence_keepers_hash(const setting_list_t *list);

#endif
