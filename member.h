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
 * The member family: which entries of the group are alive. SWIM probing over
 * one UDP socket, on which the owners of copies talk too.
 */

/* Most members that are remembered, dead ones included. */
#define MEMBER_MAX 512
/* Largest datagram, below the usual MTU less IP and UDP headers. */
#define MEMBER_DATAGRAM_MAX 1400

/** struct member_t - the membership of one entry. */
typedef struct member member_t;

/** struct member_options_t - what member_new() is told; times are spans. */
typedef struct {
	owner_member_t self;
	char group[HL_NAME_MAX];	   /* others' datagrams are dropped */
	char bind_address[HL_ADDRESS_MAX]; /* "": self.peer_address */
	const setting_list_t *seeds;	   /* peer addresses; may be NULL */
	keys_t *keys;			   /* of datagrams; NULL: none */
	usec_t probe_period;		   /* 0: 500 ms */
	usec_t probe_timeout;		   /* 0: a third of the period */
	usec_t suspicion;		   /* 0: 1500 ms */
	usec_t sync_period;		   /* 0: 10 s */
	metrics_t *metrics;		   /* may be NULL */
	/* The configuration revision this entry serves; may be NULL. */
	uint64_t (*revision)(void *context);
	/* Called after the set of live members changed; may be NULL. */
	void (*on_change)(void *context);
	void *context;
	/* For tests of faults: true loses the datagram; may be NULL. */
	bool (*drop_datagram)(void *context, const char *address);
	uint64_t seed; /* of random choices */
} member_options_t;

/** struct member_info_t - a live member and its hints. */
typedef struct {
	owner_member_t entry;
	uint64_t revision; /* last heard of, may be old */
	bool suspect;
} member_info_t;

/**
 * member_new - open the UDP socket and get ready to join.
 * @options: copied, but for what @metrics and @context point to
 * @err: HL_ERR_SETTINGS for a bad address, HL_ERR_IO when it can't be bound
 *
 * Return: a handle for member_free(), or NULL.
 */
member_t *member_new(const member_options_t *options, hl_error_t *err);

/** member_child - the thread that receives, probes and joins. */
supervisor_child_t member_child(member_t *member);

/**
 * member_live - the live entries, this one included unless it is leaving.
 * @member: the membership
 * @out: room for @max entries, in the order of their names
 * @max: at most MEMBER_MAX are ever given
 *
 * Lock-free; any thread may call it.
 *
 * Return: how many were written.
 */
unsigned member_live(member_t *member, owner_member_t *out, unsigned max);

/** member_version - grows when the set of live members changes. */
uint64_t member_version(member_t *member);

/** member_leave - announce that this entry leaves; safe to repeat. */
void member_leave(member_t *member);

/** member_free - close the socket; the child must have stopped. */
void member_free(member_t *member);

/**
 * member_handler_t - receives one kind of message on the member's thread.
 * @context: as given to member_set_handler()
 * @message: decoded; freed after the call
 * @now: when it was received
 */
typedef void (*member_handler_t)(void *context, const peer_message_t *message,
				 usec_t now);

/** member_set_handler - register the handler of @kind before the child starts. */
void member_set_handler(member_t *member, peer_kind_t kind,
			member_handler_t handler, void *context);

/**
 * member_send - send a datagram to another entry, from any thread.
 * @member: the membership
 * @address: its peer address
 * @body: encoded before the call returns
 *
 * Lost datagrams are not reported: what must arrive is sent again by its
 * module.
 *
 * Return: bytes sent, 0 when it could not be.
 */
unsigned member_send(member_t *member, const char *address,
		     const peer_body_t *body);

#endif
