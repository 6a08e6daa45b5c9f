#ifndef ENTRY_PROBER_IDLE_H
#define ENTRY_PROBER_IDLE_H

#include <curl/curl.h>
#include <stdbool.h>

/*
 * The idle connections of the prober. libcurl takes one that has unread bytes for
 * usable: it would send a probe over it, and read a late response to the probe before
 * as the response to this one. Used by the thread of the prober only.
 */
typedef struct entry_prober_idle entry_prober_idle_t;

/** entry_prober_idle_new - create an empty list; aborts if out of memory. */
entry_prober_idle_t *entry_prober_idle_new(void);

/** entry_prober_idle_free - free a list, or NULL, after its connections. */
void entry_prober_idle_free(entry_prober_idle_t *idle);

/** entry_prober_idle_set - let a transfer remove connections that are closed. */
void entry_prober_idle_set(entry_prober_idle_t *idle, CURL *easy);

/**
 * entry_prober_idle_add - add the connection of a transfer if it is kept.
 * @easy: handle of a complete transfer, still in its multi handle
 * @address: "ip:port" of the peer
 */
void entry_prober_idle_add(entry_prober_idle_t *idle, CURL *easy,
			   const char *address);

/**
 * entry_prober_idle_take - remove the connection that a transfer begins to use.
 * @address: "ip:port" of the peer
 * @local_port: of the connection
 *
 * Return: false if bytes have been received over it since it was added.
 */
bool entry_prober_idle_take(entry_prober_idle_t *idle, const char *address,
			    int local_port);

#endif
