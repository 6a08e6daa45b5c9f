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

/** entry_read_timeout_set_request - note the open request of a connection, or NULL. */
void entry_read_timeout_set_request(struct MHD_Connection *connection,
				    entry_request_t *req);

/** entry_read_timeout_request - return the open request of a connection, or NULL. */
entry_request_t *entry_read_timeout_request(struct MHD_Connection *connection);

/**
 * entry_read_timeout_take - count the bytes of a request that has ended.
 * @bytes: size of its head and body, or -1 if it is unknown
 */
void entry_read_timeout_take(struct MHD_Connection *connection, int64_t bytes);

/* The kernel does not tell how many bytes a socket has received. */
#define ENTRY_UNTAKEN_NOT_COUNTED (-2)

/**
 * entry_read_timeout_untaken - return what libmicrohttpd has read of a connection.
 *
 * Return: bytes without those of entry_read_timeout_take(), -1 if these are unknown,
 * or ENTRY_UNTAKEN_NOT_COUNTED.
 */
int64_t entry_read_timeout_untaken(struct MHD_Connection *connection);

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
 * entry_respond_last - write the response of a request whose connection is closed.
 *
 * For requests that libmicrohttpd ends without a call of their handler.
 */
void entry_respond_last(entry_request_t *req);

/* Memory of one connection in bytes, for the heads of a request and its response. */
#define ENTRY_HTTP_HEADER_BYTES (16u * 1024 + 2560)

/**
 * entry_http_no_cookie - value of the Cookie field that the entry itself adds.
 *
 * libmicrohttpd stores the cookies of the first Cookie field of a request a second
 * time, 64 bytes and their text each. The entry adds an empty field before the
 * caller's. It is recognised by the address of its value.
 */
extern const char entry_http_no_cookie[];

/** struct entry_direct_body_t - body of a response that is sent directly. */
typedef struct {
	const char *bytes;
	size_t size;	/* bytes to send; 0 for HEAD */
	int64_t length; /* value of Content-Length, or -1 for none */
} entry_direct_body_t;

/**
 * entry_respond_fits - does the head of a response fit in the connection's memory?
 *
 * libmicrohttpd keeps the head of the request there, 64 bytes for each of its fields,
 * and what the caller has sent after the request.
 */
bool entry_respond_fits(const entry_request_t *req,
			struct MHD_Response *mhd_response);

/** entry_respond_size - return an upper bound of the bytes of a response's head. */
size_t entry_respond_size(struct MHD_Response *mhd_response);

/**
 * entry_respond_takes - does the socket of a connection take some bytes at once?
 *
 * Enlarges the socket's buffer for it, if the system allows that.
 */
bool entry_respond_takes(struct MHD_Connection *connection, size_t size);

/**
 * entry_respond_direct - write a whole response to the socket of a connection.
 *
 * Nothing of a response may have been sent before. libmicrohttpd must close the
 * connection afterwards.
 *
 * Return: 0, or -1 if only a part was written.
 */
int entry_respond_direct(struct MHD_Connection *connection,
			 struct MHD_Response *mhd_response, unsigned status,
			 const entry_direct_body_t *body);

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
