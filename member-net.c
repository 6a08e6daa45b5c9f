#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "member-net.h"

/* The UDP socket between entries, and the encoding and tags of datagrams. */

int member_net_open(const char *address, hl_error_t *err)
{
	struct sockaddr_storage storage;
	unsigned length;
	int fd;

	if (hl_address_parse(address, &storage, &length))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "peer address %s is not ip:port; correct "
				    "node.address and node.peer_port",
				    address);
	fd = socket(storage.ss_family,
		    SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return hl_error_set(err, HL_ERR_IO,
				    "cannot open a UDP socket: %s; raise the "
				    "limit on open files",
				    strerror(errno));
	if (bind(fd, (struct sockaddr *)&storage, length)) {
		hl_error_set(err, HL_ERR_IO,
			     "cannot bind UDP %s: %s; free the port or change "
			     "node.peer_port",
			     address, strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

static unsigned net_encode_message(peer_message_t *message, char *buffer)
{
	unsigned length = 0;
	XDR xdrs;

	xdrmem_create(&xdrs, buffer, MEMBER_DATAGRAM_MAX, XDR_ENCODE);
	if (xdr_peer_message_t(&xdrs, message))
		length = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return length;
}

unsigned member_net_encode(const peer_message_t *message, char *buffer)
{
	peer_message_t trimmed = *message;
	unsigned length = net_encode_message(&trimmed, buffer);

	while (!length && trimmed.gossip.gossip_len > 0) {
		trimmed.gossip.gossip_len--;
		length = net_encode_message(&trimmed, buffer);
	}
	return length;
}

int member_net_decode(char *buffer, unsigned length, peer_message_t *message)
{
	bool valid;
	XDR xdrs;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdrs, buffer, length, XDR_DECODE);
	valid = xdr_peer_message_t(&xdrs, message) &&
		xdr_getpos(&xdrs) == length;
	xdr_destroy(&xdrs);
	if (valid)
		return 0;
	xdr_free((xdrproc_t)xdr_peer_message_t, message);
	return -1;
}

unsigned member_net_sign(keys_t *keys, char *buffer, unsigned length)
{
	unsigned char *tag = (unsigned char *)buffer + length;

	if (!length || !keys || !keys_count(keys))
		return length;
	return keys_sign(keys, buffer, length, tag) ? length + KEYS_TAG_BYTES :
						      0;
}

bool member_net_verify(keys_t *keys, const char *buffer, ssize_t *length)
{
	if (!keys || !keys_count(keys))
		return true;
	*length -= KEYS_TAG_BYTES;
	return *length > 0 &&
	       keys_check(keys, buffer, (size_t)*length,
			  (const unsigned char *)buffer + *length);
}

void member_net_format_address(const struct sockaddr_storage *address,
			       char *out, size_t size)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)address;
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)address;
	char ip[INET6_ADDRSTRLEN] = "";

	if (address->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &in6->sin6_addr, ip, sizeof(ip));
		snprintf(out, size, "[%s]:%u", ip, ntohs(in6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &in->sin_addr, ip, sizeof(ip));
	snprintf(out, size, "%s:%u", ip, ntohs(in->sin_port));
}
