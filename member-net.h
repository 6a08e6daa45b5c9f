#ifndef MEMBER_NET_H
#define MEMBER_NET_H

#include <netinet/in.h>
#include "member-swim.h"

/*
 * Parts of the membership outside the SWIM protocol: a lock-free list of the
 * live members for other threads, the UDP socket, and the encoding and signing
 * of datagrams.
 */

/** struct member_view_t - an immutable list of live members sorted by name. */
typedef struct {
	uint64_t version;
	unsigned count;
	member_info_t members[];
} member_view_t;

/** member_view_new - list the live members of @swim; NULL if out of memory. */
member_view_t *member_view_new(member_swim_t *swim);

/**
 * member_view_publish - replace the current view.
 * @current: pointer to the current view, which is NULL if there is none
 * @view: the new view
 *
 * Waits until no thread reads the previous view and frees it.
 */
void member_view_publish(member_view_t **current, member_view_t *view);

/** member_view_entries - copy up to @max live entries to @out; lock-free. */
unsigned member_view_entries(member_view_t *const *current, owner_member_t *out,
			     unsigned max);

/** member_view_version - return the version of the current view. */
uint64_t member_view_version(member_view_t *const *current);

/**
 * member_net_open - open a non-blocking UDP socket.
 * @address: "ip:port" to bind
 * @err: HL_ERR_SETTINGS or HL_ERR_IO
 *
 * Return: the socket, or -1 with @err set.
 */
int member_net_open(const char *address, hl_error_t *err);

/**
 * member_net_encode - encode a message as XDR.
 * @message: the message; gossip that does not fit is omitted
 * @buffer: MEMBER_DATAGRAM_MAX bytes
 *
 * Return: length in bytes; 0 if the message does not fit even without gossip.
 */
unsigned member_net_encode(const peer_message_t *message, char *buffer);

/**
 * member_net_decode - decode a message.
 * @buffer: datagram without its tag
 * @length: length of the datagram in bytes
 * @message: set to the message, which must be freed by xdr_free()
 *
 * Return: 0, or -1 if the datagram is malformed.
 */
int member_net_decode(char *buffer, unsigned length, peer_message_t *message);

/* Largest datagram with its tag, in bytes. */
#define MEMBER_SIGNED_DATAGRAM_MAX (MEMBER_DATAGRAM_MAX + KEYS_TAG_BYTES)

/**
 * member_net_sign - append the tag to a datagram.
 * @keys: keys; if NULL or empty, no tag is appended
 * @buffer: datagram, with space for the tag
 * @length: length of the datagram in bytes
 *
 * Return: the new length; 0 if @length is 0 or the tag cannot be computed.
 */
unsigned member_net_sign(keys_t *keys, char *buffer, unsigned length);

/**
 * member_net_verify - verify the tag of a datagram and remove it.
 * @keys: keys; if NULL or empty, nothing is verified
 * @buffer: datagram
 * @length: length of the datagram in bytes, reduced by the length of the tag
 *
 * Return: true, or false if the tag matches none of the keys.
 */
bool member_net_verify(keys_t *keys, const char *buffer, ssize_t *length);

/** member_net_format_address - format a socket address as "ip:port". */
void member_net_format_address(const struct sockaddr_storage *address,
			       char *out, size_t size);

#endif
