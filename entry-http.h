#ifndef ENTRY_HTTP_H
#define ENTRY_HTTP_H

#include "entry-io.h"

struct sockaddr_storage;

/**
 * entry_head_read - check the head of a call and prepare what is relayed.
 *
 * Return: 0, or -1 with a final answer of our own in the request.
 */
int entry_head_read(entry_request_t *req, const char *method);

/**
 * entry_head_route - find where a call goes, with entry.routed.
 *
 * Return: 0, or -1 with a final answer of our own in the request.
 */
int entry_head_route(entry_request_t *req);

/* How long a connection of a caller may be without a call. */
#define ENTRY_IDLE_SECONDS 60u
#define ENTRY_IDLE_TIME (ENTRY_IDLE_SECONDS * USEC_PER_SEC)

/** entry_http_fd - the socket of a connection, or -1. */
int entry_http_fd(struct MHD_Connection *connection);

/** entry_read_timeout_connection - libmicrohttpd accepted or closes a connection. */
void entry_read_timeout_connection(void *context,
				   struct MHD_Connection *connection,
				   void **state,
				   enum MHD_ConnectionNotificationCode code);

/** entry_read_timeout_head - the first line of a call came; the rest must follow. */
void entry_read_timeout_head(const entry_read_timeout_t *slow,
			     struct MHD_Connection *connection, usec_t now);

/** entry_read_timeout_body - the head is whole; a body is of use until @deadline. */
void entry_read_timeout_body(const entry_read_timeout_t *slow,
			     struct MHD_Connection *connection,
			     usec_t deadline);

/** entry_read_timeout_stop - the call is whole: it is our turn. */
void entry_read_timeout_stop(struct MHD_Connection *connection);

/** entry_read_timeout_idle - the call is over; another one may follow. */
void entry_read_timeout_idle(struct MHD_Connection *connection, usec_t now);

/** entry_head_list_contains - does "close, X-Trace" hold a name? NULL does not. */
bool entry_head_list_contains(const char *list, const char *name);

/** entry_respond_queue - queue the published answer for the caller. */
enum MHD_Result entry_respond_queue(entry_request_t *req);

/**
 * entry_http_address - a listening address of this entry.
 * @listen: "ip:port", or "" for the entry's address and @port
 */
int entry_http_address(const entry_t *entry, const char *listen, int64_t port,
		       struct sockaddr_storage *storage, hl_error_t *err);

#endif
