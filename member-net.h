#ifndef MEMBER_NET_H
#define MEMBER_NET_H

#include <netinet/in.h>
#include "member-swim.h"

/** struct member_view_t - an immutable list of the live members. */
typedef struct {
	uint64_t version;
	unsigned count;
	member_info_t members[];
} member_view_t;

/** member_view_new - the live members of @swim by name; NULL if no memory. */
member_view_t *member_view_new(member_swim_t *swim);

/** member_view_publish - put @view in place and free the one before. */
void member_view_publish(member_view_t **place, member_view_t *view);

/** member_view_entries - copy up to @max live entries out; lock-free. */
unsigned member_view_entries(member_view_t *const *place, owner_member_t *out,
			     unsigned max);

/** member_view_version - the version of the view in place. */
uint64_t member_view_version(member_view_t *const *place);

/**
 * member_net_open - a bound UDP socket that does not block.
 * @address: "ip:port"
 *
 * Return: the socket, or -1 with @err set.
 */
int member_net_open(const char *address, hl_error_t *err);

/**
 * member_net_encode - XDR into @buffer of MEMBER_DATAGRAM_MAX bytes; gossip
 * that does not fit is left out.
 *
 * Return: the length, 0 if it does not fit.
 */
unsigned member_net_encode(const peer_message_t *message, char *buffer);

/** member_net_decode - 0, or -1 if malformed; xdr_free() it if 0. */
int member_net_decode(char *buffer, unsigned length, peer_message_t *message);

/* A datagram with its tag. */
#define MEMBER_SEALED_MAX (MEMBER_DATAGRAM_MAX + KEYS_TAG_BYTES)

/** member_net_seal - append the tag to @length bytes, if there are keys.
 *
 * Return: the new length, 0 if @length was 0 or there is no tag.
 */
unsigned member_net_seal(keys_t *keys, char *buffer, unsigned length);

/** member_net_unseal - check the tag and take it off *@length; false if the
 * datagram is of no key of ours. */
bool member_net_unseal(keys_t *keys, const char *buffer, ssize_t *length);

/** member_net_source - "ip:port" of a socket address. */
void member_net_source(const struct sockaddr_storage *source, char *out,
		       size_t size);

#endif
