#ifndef MEMBER_H
#define MEMBER_H

#include <rpc/rpc.h>
#include "peer_rpc.h"
#include "hemlock.h"
#include "keys.h"
#include "metrics.h"
#include "owner.h"
#include "toml.h"

/*
 * Membership of the entries of a region by SWIM, and the UDP socket between
 * entries, which also transports the messages of the owners of copies and of
 * the claims of idempotency keys.
 */

/* Maximum number of members in the table, including dead members. */
#define MEMBER_MAX 512
/* Largest datagram in bytes, below an Ethernet MTU less IP and UDP headers. */
#define MEMBER_DATAGRAM_MAX 1400

/** struct member_t - the membership of one entry. */
typedef struct member member_t;

/** struct member_options_t - options of member_new(); durations in us. */
typedef struct {
	owner_member_t self;
	char group[HL_NAME_MAX]; /* datagrams of other groups are dropped */
	char bind_address[HL_ADDRESS_MAX]; /* "": self.peer_address */
	const setting_list_t *seeds;	   /* peer addresses; NULL: no seeds */
	keys_t *keys;	      /* keys that sign datagrams; NULL: not signed */
	usec_t probe_period;  /* 0: 500 ms */
	usec_t probe_timeout; /* 0: a third of the period */
	usec_t suspicion;     /* time until dead; 0: 1500 ms */
	usec_t sync_period;   /* 0: 10 s */
	metrics_t *metrics;   /* NULL: no metrics */
	/* Returns this entry's configuration revision; NULL: 0 is sent. */
	uint64_t (*revision)(void *context);
	/* Called after the set of live members has changed, unless NULL. */
	void (*on_change)(void *context);
	void *context;
	/* Fault injection: returns true to drop a datagram, unless NULL. */
	bool (*drop_datagram)(void *context, const char *address);
	uint64_t seed; /* seed of the random generator */
} member_options_t;

/** struct member_info_t - a live member. */
typedef struct {
	owner_member_t entry;
	/* Highest configuration revision that the member has sent. */
	uint64_t revision;
	bool suspect;
} member_info_t;

/**
 * member_new - open the UDP socket; member_child() then joins the group.
 * @options: options; copied, except for the objects that they point to
 * @err: HL_ERR_SETTINGS for a malformed address, HL_ERR_IO if the address
 *       cannot be bound, or HL_ERR_NOMEM
 *
 * Return: a handle for member_free(), or NULL.
 */
member_t *member_new(const member_options_t *options, hl_error_t *err);

/** member_child - return the supervised child that runs the membership. */
supervisor_child_t member_child(member_t *member);

/**
 * member_live - list the live entries, including this entry unless it has left.
 * @member: the membership
 * @out: array of @max entries, filled in order of their names
 * @max: size of @out; MEMBER_MAX is always sufficient
 *
 * Lock-free; callable from any thread.
 *
 * Return: number of entries written.
 */
unsigned member_live(member_t *member, owner_member_t *out, unsigned max);

/** member_version - return a number that grows when the live members change. */
uint64_t member_version(member_t *member);

/** member_leave - announce that this entry leaves; may be called repeatedly. */
void member_leave(member_t *member);

/** member_free - close the socket and free; the child must have stopped. */
void member_free(member_t *member);

/**
 * member_handler_t - handle a message of one kind, on the thread of the child.
 * @context: as passed to member_set_handler()
 * @message: decoded message; freed after the call
 * @now: time of receipt
 */
typedef void (*member_handler_t)(void *context, const peer_message_t *message,
				 usec_t now);

/**
 * member_set_handler - register the handler of messages of @kind.
 *
 * Must be called before the child starts.
 */
void member_set_handler(member_t *member, peer_kind_t kind,
			member_handler_t handler, void *context);

/**
 * member_send - send a datagram to another entry; callable from any thread.
 * @member: the membership
 * @address: peer address of the other entry
 * @body: message; not referenced after the call
 *
 * Lost datagrams are not detected: callers retransmit where delivery matters.
 *
 * Return: number of bytes sent, 0 on failure.
 */
unsigned member_send(member_t *member, const char *address,
		     const peer_body_t *body);

#endif
