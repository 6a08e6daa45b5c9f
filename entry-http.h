#ifndef ENTRY_HTTP_H
#define ENTRY_HTTP_H

#include "entry-io.h"

struct sockaddr_storage;

/**
 * entry_http_head - check the head of a call and prepare what is relayed.
 *
 * Return: 0, or -1 with a final answer of our own in the request.
 */
int entry_http_head(entry_request_t *req, const char *method);

/** entry_http_list_holds - does "close, X-Trace" hold a name? NULL does not. */
bool entry_http_list_holds(const char *list, const char *name);

/** entry_http_respond - queue the published answer for the caller. */
enum MHD_Result entry_http_respond(entry_request_t *req);

/** entry_http_address - a listening address of this entry. */
int entry_http_address(const entry_t *entry, int64_t port,
		       struct sockaddr_storage *storage, hl_error_t *err);

#endif
