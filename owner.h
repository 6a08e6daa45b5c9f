#ifndef OWNER_H
#define OWNER_H

#include "hemlock.h"

/* Most owners of one service. */
#define OWNER_MAX 16

/** struct owner_member_t - a live entry as ownership sees it. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char call_address[HL_ADDRESS_MAX];
	char control_address[HL_ADDRESS_MAX];
	char peer_address[HL_ADDRESS_MAX];
	char rpc_address[HL_ADDRESS_MAX]; /* following the configuration */
} owner_member_t;

/**
 * owner_of_service - the owners of a service among the live entries.
 * @members: the live entries, in any order
 * @count: how many
 * @service: name of the service
 * @wanted: how many owners, 0 for one in each zone and at least two
 * @owners: room for OWNER_MAX indexes into @members, best first
 *
 * Rendezvous hashing: every entry that sees the same live entries gives the
 * same answer, and a change of one entry moves only what that entry owned.
 * Each zone gives one owner before any gives a second.
 *
 * Return: how many owners there are.
 */
unsigned owner_of_service(const owner_member_t *members, unsigned count,
			  const char *service, unsigned wanted,
			  unsigned *owners);

/**
 * owner_of_copy - which of a service's owners has a copy.
 * @members: the live entries
 * @owners: as owner_of_service() gave them
 * @count: how many owners
 * @service: name of the service
 * @copy: name of the copy
 *
 * Return: an index into @members.
 */
unsigned owner_of_copy(const owner_member_t *members, const unsigned *owners,
		       unsigned count, const char *service, const char *copy);

#endif
