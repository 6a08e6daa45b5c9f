#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <xxhash.h>
#include "hemlock.h"

/* Clocks, hashes and the syntax of names and addresses. */

usec_t time_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

usec_t time_suspended(void)
{
	struct timespec boot;
	struct timespec monotonic;

	clock_gettime(CLOCK_MONOTONIC, &monotonic);
	clock_gettime(CLOCK_BOOTTIME, &boot);
	return (boot.tv_sec - monotonic.tv_sec) * USEC_PER_SEC +
	       (boot.tv_nsec - monotonic.tv_nsec) / 1000;
}

uint64_t hl_hash(const void *data, size_t size, uint64_t seed)
{
	return XXH64(data, size, seed);
}

bool hl_name_valid(const char *name)
{
	size_t length = strlen(name);

	if (length == 0 || length >= HL_NAME_MAX)
		return false;
	return strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-.") == length;
}

/* Converts a decimal port to network byte order; -1 if it is not a port. */
static int address_parse_port(const char *text, uint16_t *port)
{
	char *end;
	unsigned long value;

	if (*text < '0' || *text > '9')
		return -1;
	value = strtoul(text, &end, 10);
	if (*end || value > UINT16_MAX)
		return -1;
	*port = htons((uint16_t)value);
	return 0;
}

int hl_address_parse(const char *text, struct sockaddr_storage *storage,
		     unsigned *length)
{
	struct sockaddr_in *in = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)storage;
	char host[HL_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');
	size_t size;

	if (!colon || (size = (size_t)(colon - text)) >= sizeof(host))
		return -1;
	memcpy(host, text, size);
	host[size] = '\0';
	memset(storage, 0, sizeof(*storage));
	if (size > 2 && host[0] == '[' && host[size - 1] == ']') {
		host[size - 1] = '\0';
		in6->sin6_family = AF_INET6;
		*length = sizeof(*in6);
		if (inet_pton(AF_INET6, host + 1, &in6->sin6_addr) != 1)
			return -1;
		return address_parse_port(colon + 1, &in6->sin6_port);
	}
	in->sin_family = AF_INET;
	*length = sizeof(*in);
	if (inet_pton(AF_INET, host, &in->sin_addr) != 1)
		return -1;
	return address_parse_port(colon + 1, &in->sin_port);
}
