#ifndef ENTRY_HTTP_H
#define ENTRY_HTTP_H

#include "entry-io.h"

/*
 * Functions that the HTTP front of an entry shares between its files: parsing
 * of request heads (entry-head.c), read timeouts (entry-read-timeout.c) and
 * responses (entry-respond.c).
 */

struct sockaddr_storage;

/**
 * entry_head_read - check the head of a request and select headers to relay.
 *
 * Return: 0, or -1 with a final response of this entry in the request.
 */
int entry_head_read(entry_request_t *req, const char *method);

/** enum entry_match_t - result of matching a call to the routes. */
typedef enum {
	ENTRY_MATCH_FOUND,
	ENTRY_MATCH_REFUSED, /* the request has a final response */
	ENTRY_MATCH_UNKNOWN, /* no route, and a newer version may have one */
} entry_match_t;

/**
 * entry_head_route - match a call to a route by host and path.
 *
 * To be called only if the setting entry.routed is true.
 */
entry_match_t entry_head_route(entry_request_t *req);

/* Idle timeout of a caller's connection between two calls. */
#define ENTRY_IDLE_SECONDS 60u
#define ENTRY_IDLE_TIME (ENTRY_IDLE_SECONDS * USEC_PER_SEC)

/** entry_http_fd - return the socket of a connection, or -1. */
int entry_http_fd(struct MHD_Connection *connection);

/**
 * entry_read_timeout_connection - start or end the timeout of a connection.
 * @context: the entry_t
 * @state: context of the connection, managed by this function
 *
 * Callback of libmicrohttpd for accepted and closed connections.
 */
void entry_read_timeout_connection(void *context,
				   struct MHD_Connection *connection,
				   void **state,
				   enum MHD_ConnectionNotificationCode code);

/** entry_read_timeout_head - start the timeout for the headers of a request. */
void entry_read_timeout_head(const entry_read_timeout_t *timeouts,
			     struct MHD_Connection *connection, usec_t now);

/**
 * entry_read_timeout_body - start the timeout for the body of a request.
 * @deadline: deadline of the call, until which the body must be complete
 */
void entry_read_timeout_body(const entry_read_timeout_t *timeouts,
			     struct MHD_Connection *connection,
			     usec_t deadline);

/** entry_read_timeout_stop - stop the timeout after a complete request. */
void entry_read_timeout_stop(struct MHD_Connection *connection);

/** entry_read_timeout_idle - start the idle timeout after the end of a call. */
void entry_read_timeout_idle(struct MHD_Connection *connection, usec_t now);

/**
 * entry_head_list_contains - does a comma-separated list contain a name?
 * @list: value of a Connection header, or NULL for an empty list
 *
 * Compares without regard to case.
 */
bool entry_head_list_contains(const char *list, const char *name);

/** entry_respond_queue - queue the published response for the caller. */
enum MHD_Result entry_respond_queue(entry_request_t *req);

/**
 * entry_http_address - parse a listening address of this entry.
 * @listen: "ip:port", or "" for the address of the entry and @port
 * @storage: filled in
 *
 * Return: 0, or -1 with @err set.
 */
int entry_http_address(const entry_t *entry, const char *listen, int64_t port,
		       struct sockaddr_storage *storage, hl_error_t *err);

#endif
