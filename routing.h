#ifndef ROUTING_H
#define ROUTING_H

#include <jansson.h>
#include "config.h"

/*
 * The routing document: the JSON form in which operators send and read routes,
 * services and limits under one version. docs/INTERFACES.md has an example. A
 * pool (config_pool_t) holds the settings of a routed service.
 */

/** enum routing_scope_t - whether a document is complete. */
typedef enum {
	ROUTING_FULL,	 /* replaces everything; unlisted items are retired */
	ROUTING_CHANGES, /* items to put and names to retire */
} routing_scope_t;

/** struct routing_names_t - names to retire. */
typedef struct {
	unsigned count;
	char **list;
} routing_names_t;

/** struct routing_document_t - a parsed document. */
typedef struct {
	routing_scope_t scope;
	uint64_t version; /* the version that it creates */
	config_t items;	  /* routes, pools and limits to put */
	routing_names_t retired_routes, retired_pools;
} routing_document_t;

/**
 * routing_read - parse a document.
 * @text: JSON
 * @size: its length in bytes
 * @scope: whether the document is complete
 * @document: filled in; free with routing_clear() also after an error
 * @err: HL_ERR_PROTOCOL with the invalid key and its allowed values, or
 *       HL_ERR_NOMEM
 *
 * Return: 0 or -1.
 */
int routing_read(const char *text, size_t size, routing_scope_t scope,
		 routing_document_t *document, hl_error_t *err);

/** routing_clear - free what a document holds. */
void routing_clear(routing_document_t *document);

/**
 * routing_write - write the routing of a configuration as a complete document.
 *
 * Return: JSON to be freed with free(), or NULL if out of memory.
 */
char *routing_write(const config_t *config);

/**
 * routing_change - build the change that applies a document.
 * @current: the current configuration
 * @document: the document
 * @change: gets the items; the caller sets id and author
 * @err: HL_ERR_LIMIT or HL_ERR_NOMEM
 *
 * The change has an item for the routing version, so that it conflicts with
 * any other document that was applied after @current.
 *
 * Return: 0 or -1.
 */
int routing_change(const config_t *current, const routing_document_t *document,
		   config_change_t *change, hl_error_t *err);

/**
 * routing_target_read - parse the announcement of a copy.
 * @id: id of the copy, from the request path
 * @text: JSON
 * @size: its length in bytes
 * @target: filled in; free with xdr_free() also after an error
 * @err: HL_ERR_PROTOCOL or HL_ERR_NOMEM
 *
 * Return: 0 or -1.
 */
int routing_target_read(const char *id, const char *text, size_t size,
			config_target_t *target, hl_error_t *err);

#endif
