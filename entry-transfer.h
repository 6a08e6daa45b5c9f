#ifndef ENTRY_TRANSFER_H
#define ENTRY_TRANSFER_H

#include "entry-io.h"

/* libcurl's callbacks for one send: they give it the body of the call and take
   the answer into the request. */

/** struct entry_transfer_t - one send of a request over one link. */
typedef struct {
	entry_request_t *req;
	entry_conn_pool_t *place;
	entry_link_t *link;
	bool head_whole;    /* the final head has come */
	bool says_retry;    /* Retry-After was there */
	bool says_not_run;  /* Hemlock-Outcome: not-run was there */
	bool says_may_have; /* Hemlock-Outcome: may-have-run */
	bool echoes;	    /* the answer names this call */
	bool signs;	    /* and the copy signed it */
	bool has_load;
	load_t load; /* of the copy, with has_load */
	bool expired;
	bool gone;
	CURLcode code;
	long bytes_sent;
} entry_transfer_t;

/* Callbacks; their context is the transfer, of the last two the link. */
size_t entry_transfer_read(char *out, size_t size, size_t count, void *context);
size_t entry_transfer_header(char *line, size_t size, size_t count,
			     void *context);
size_t entry_transfer_write(char *bytes, size_t size, size_t count,
			    void *context);
curl_socket_t entry_transfer_open_socket(void *context, curlsocktype purpose,
					 struct curl_sockaddr *address);
int entry_transfer_connected(void *context, curl_socket_t fd,
			     curlsocktype purpose);

/** entry_transfer_is_shed - did the copy refuse by a documented status? */
bool entry_transfer_is_shed(const entry_transfer_t *transfer);

/**
 * entry_transfer_belongs - is this a copy's answer to this very call?
 *
 * Always where the interface has no header that would tell.
 */
bool entry_transfer_belongs(const entry_transfer_t *transfer);

/** entry_transfer_outcome - what a whole answer says of the call. */
entry_outcome_t entry_transfer_outcome(const entry_transfer_t *transfer);

/** entry_transfer_ends - the caller left or a twin answered. Lock held. */
bool entry_transfer_ends(const entry_request_t *req);

/**
 * entry_transfer_publish_slow - relay an answer that trickles as it comes,
 * unless it may be retried.
 */
void entry_transfer_publish_slow(entry_transfer_t *transfer, usec_t now);

#endif
