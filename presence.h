#ifndef PRESENCE_H
#define PRESENCE_H

#include <netinet/in.h>
#include <rpc/rpc.h>
#include <sys/socket.h>
#include "hemlock.h"
#include "presence_rpc.h"
#include "toml.h"

/*
 * Which entries live, and that there is something new. Entries send each
 * keeper a datagram now and then; keepers answer with the revision that they
 * have applied, and send one unasked when there is a newer one. Keepers tell
 * one another which copies they have heard of. All of it is soft state: what
 * is lost comes again.
 */

/* Largest datagram. */
#define PRESENCE_BYTES_MAX 1400
/* Entries that a keeper knows at once. */
#define PRESENCE_ENTRIES_MAX 4096

/** presence_encode - a datagram; its size, 0 if it does not fit. */
size_t presence_encode(const presence_t *message, char out[PRESENCE_BYTES_MAX]);

/** presence_decode - the reverse, into a zeroed value; free with
 * presence_clear(). Return: false if it is malformed or foreign. */
bool presence_decode(const char *bytes, size_t size, uint64_t cluster,
		     presence_t *message);

void presence_clear(presence_t *message);

/** struct presence_member_t - an entry as a keeper knows it. */
typedef struct {
	uint64_t id;
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char calls[HL_ADDRESS_MAX];
	bool ready;
	uint64_t revision;
	usec_t heard;
	struct sockaddr_storage from;
	socklen_t from_length;
} presence_member_t;

typedef struct presence_table presence_table_t;

/** presence_table_new - nobody known; NULL without memory. */
presence_table_t *presence_table_new(void);
void presence_table_free(presence_table_t *table);

/**
 * presence_table_take - an entry was heard.
 * @table: the table
 * @said: its datagram
 * @from: where it came from
 * @length: of @from
 * @now: the present time
 *
 * Return: false if the entry must say who it is first.
 */
bool presence_table_take(presence_table_t *table, const presence_entry_t *said,
			 const struct sockaddr_storage *from, socklen_t length,
			 usec_t now);

/** presence_table_live - entries heard of lately. */
unsigned presence_table_live(const presence_table_t *table, usec_t now);

/** presence_table_each - call back for each entry heard of lately. */
void presence_table_each(const presence_table_t *table, usec_t now,
			 void (*each)(void *context,
				      const presence_member_t *member),
			 void *context);

/**
 * presence_table_choose - entries that a caller should use.
 * @zone: of the caller; "" if it says none
 * @out: filled in with pointers that hold until the next change
 * @max: most of them
 *
 * The ready ones of its zone; those of all zones while there are fewer than
 * two, so that one failure does not leave the caller with nobody.
 *
 * Return: how many.
 */
unsigned presence_table_choose(const presence_table_t *table, const char *zone,
			       usec_t now, const presence_member_t **out,
			       unsigned max);

/** struct presence_client_t - the side of an entry. */
typedef struct presence_client presence_client_t;

/** struct presence_client_options_t - all is copied but the context. */
typedef struct {
	const char *cluster;
	const char *name;
	const char *zone;
	const char *call_address;      /* "ip:port" where callers connect */
	const char *address;	       /* IP number to send from */
	const setting_list_t *keepers; /* "ip:port" of some keepers */
	usec_t interval;	       /* between datagrams */
	/* What is told; called from the thread that tells. */
	bool (*ready)(void *context);
	uint64_t (*revision)(void *context);
	/* A keeper has a newer revision than this entry. */
	void (*on_newer_revision)(void *context);
	void *context;
} presence_client_options_t;

/** presence_client_new - open the socket; NULL with @err. */
presence_client_t *presence_client_new(const presence_client_options_t *options,
				       hl_error_t *err);
supervisor_child_t presence_client_child(presence_client_t *tell);

/** presence_client_trigger - what is told has changed: say so at once. */
void presence_client_trigger(presence_client_t *tell);

/** presence_client_live_entries - live entries as keepers know them, 1 or more. */
unsigned presence_client_live_entries(presence_client_t *tell);

/**
 * presence_client_keepers - the keepers known now.
 * @leader: set to the address of the one that leads, or ""
 */
void presence_client_keepers(presence_client_t *tell, setting_list_t *out,
			     char leader[HL_ADDRESS_MAX]);

void presence_client_free(presence_client_t *tell);

/** presence_keepers_hash - of a list of addresses in any order. */
uint64_t presence_keepers_hash(const setting_list_t *list);

#endif
