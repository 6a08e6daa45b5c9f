#ifndef ENTRY_RELAY_H
#define ENTRY_RELAY_H

#include "entry-transfer.h"

/*
 * Parts of one send of a request to a copy or a sibling entry, see entry-relay.c: its
 * head, and what is learnt from its response.
 */

#define ENTRY_RELAY_HEADER_MAX (2 * HL_NAME_MAX) /* bytes */
#define ENTRY_RELAY_HOP_MAX (sizeof("Hemlock-Hop: ") + KEYS_HOP_MAX)

/**
 * struct entry_relay_head_t - headers of one send.
 *
 * They are linked in front of the headers of the caller.
 */
typedef struct {
	char deadline[ENTRY_RELAY_HEADER_MAX];
	char send[ENTRY_RELAY_HEADER_MAX];
	char hop[ENTRY_RELAY_HOP_MAX];
	char queue[ENTRY_RELAY_HEADER_MAX];
	char no_retry[sizeof("Hemlock-No-Retry: 1")];
	char copy[ENTRY_RELAY_HEADER_MAX];
	char revision[ENTRY_RELAY_HEADER_MAX];
	char part[ENTRY_RELAY_HEADER_MAX];
	struct curl_slist nodes[6];
} entry_relay_head_t;

/**
 * entry_relay_head - make the head of a send.
 * @head: storage of the headers, which lasts as long as the send
 * @time_left: until the deadline of the call
 *
 * Return: the headers of this entry and of the caller.
 */
struct curl_slist *entry_relay_head(entry_transfer_t *transfer,
				    entry_relay_head_t *head, usec_t time_left);

/**
 * entry_relay_record_mismatch - count and log a response that belongs to another call.
 *
 * After a late one the copy may have sent more of them, so the pool of the transfer is
 * renewed. Called while the transfer has its connection.
 */
void entry_relay_record_mismatch(entry_transfer_t *transfer);

/**
 * entry_relay_record - record the load, rate and state that the copy reported.
 *
 * A response of another call says only that the copy leaves.
 */
void entry_relay_record(entry_transfer_t *transfer);

#endif
