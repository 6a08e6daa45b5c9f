#ifndef HTTP_LISTENER_H
#define HTTP_LISTENER_H

#include <microhttpd.h>
#include <sys/socket.h>
#include "hemlock.h"

/*
 * A listening port whose connections are handed over to a server of libmicrohttpd.
 * The server is started with MHD_USE_NO_LISTEN_SOCKET: MHD_quiesce_daemon() may abort
 * the process if a thread of the server polls the port at that moment.
 */

/* Connections beyond the maximum that each thread of a server must have room for: it
   counts a connection for a short time after it has reported its end. */
#define HTTP_LISTENER_RESERVE 64u

/** http_listener_t - a listening port. */
typedef struct http_listener http_listener_t;

/**
 * http_listener_open - listen on an address.
 * @address: address and port
 * @backlog: maximum number of connections that wait to be accepted
 *
 * Return: the listener, or NULL with errno set.
 */
http_listener_t *http_listener_open(const struct sockaddr_storage *address,
				    int backlog);

/**
 * http_listener_start - begin to accept connections.
 * @server: receives them until http_listener_stop()
 * @connections_max: none is accepted while this number is open; each thread of the
 *                   server has room for all of them and HTTP_LISTENER_RESERVE
 *
 * Return: 0, or -1 with errno set.
 */
int http_listener_start(http_listener_t *listener, struct MHD_Daemon *server,
			unsigned connections_max);

/**
 * http_listener_on_closed - record that the server has closed a connection.
 *
 * To be called by its MHD_OPTION_NOTIFY_CONNECTION callback.
 */
void http_listener_on_closed(http_listener_t *listener);

/**
 * http_listener_stop - close the port.
 *
 * Connections that the kernel has accepted before are handed over first, as the close
 * would reset them.
 *
 * Return: number of connections that the server has received since the start.
 */
uint64_t http_listener_stop(http_listener_t *listener);

/** http_listener_free - stop and free a listener, or NULL. */
void http_listener_free(http_listener_t *listener);

#endif
