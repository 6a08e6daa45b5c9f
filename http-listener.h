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

/* Connections beyond the maximum that each server must have room for: a server counts a
   connection for a short time after it has reported its end, and one that is handed more
   than its limit does not go on. */
#define HTTP_LISTENER_RESERVE 64u

/** http_listener_t - a listening port and its servers. */
typedef struct http_listener http_listener_t;

/**
 * http_listener_open - listen on an address.
 * @address: address and port
 * @backlog: maximum number of connections that wait to be accepted
 * @connections_max: no more are accepted while this number is open
 *
 * Return: the listener, or NULL with errno set.
 */
http_listener_t *http_listener_open(const struct sockaddr_storage *address,
				    int backlog, unsigned connections_max);

/**
 * http_listener_add - add a server, before http_listener_start().
 * @server: has one thread and a limit of @connections_max of the listener and
 *          HTTP_LISTENER_RESERVE; the listener owns it from now on. NULL is none.
 *
 * Return: false if @server is NULL.
 */
bool http_listener_add(http_listener_t *listener, struct MHD_Daemon *server);

/**
 * http_listener_start - begin to hand connections over to the servers, in turn.
 *
 * Return: 0, or -1 with errno set.
 */
int http_listener_start(http_listener_t *listener);

/**
 * http_listener_on_closed - record that a server has closed a connection.
 *
 * To be called by its MHD_OPTION_NOTIFY_CONNECTION callback.
 */
void http_listener_on_closed(http_listener_t *listener);

/**
 * http_listener_stop - close the port; the servers go on.
 *
 * Connections that the kernel has accepted before are handed over first, as the close
 * would reset them, but for those that the servers have no room for.
 *
 * Return: number of connections that the servers have received since the start.
 */
uint64_t http_listener_stop(http_listener_t *listener);

/** http_listener_free - stop and free a listener and its servers; may be NULL. */
void http_listener_free(http_listener_t *listener);

#endif
