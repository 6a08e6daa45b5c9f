#ifndef ROUTING_H
#define ROUTING_H

#include <jansson.h>
#include "config.h"

/*
 * The routing document: routes, services and limits under one version, as
 * operators send and read it in JSON. docs/INTERFACES.md has an example.
 */

/** enum routing_scope_t - what a document stands for. */
typedef enum {
	ROUTING_FULL,	 /* all there is from now on */
	ROUTING_CHANGES, /* named items to put, names to retire */
} routing_scope_t;

/** struct routing_names_t - names to retire. */
typedef struct {
	unsigned count;
	char **list;
} routing_names_t;

/** struct routing_document_t - a document as it was read. */
typedef struct {
	routing_scope_t scope;
	uint64_t version;	       /* the version that it is to become */
	config_t items;		       /* routes, pools and limits to put */
	routing_names_t routes, pools; /* to retire */
} routing_document_t;

/**
 * routing_read - read a document.
 * @text: JSON
 * @size: its length
 * @scope: what it is sent as
 * @document: filled in; free with routing_clear() in any case
 * @err: HL_ERR_PROTOCOL: what is wrong and what to send instead
 */
int routing_read(const char *text, size_t size, routing_scope_t scope,
		 routing_document_t *document, hl_error_t *err);

void routing_clear(routing_document_t *document);

/** routing_write - what is in force as a whole document; NULL out of memory.
 * Free it with free(). */
char *routing_write(const config_t *config);

/**
 * routing_change - the change that brings a document into force.
 * @current: what it is applied to
 * @document: the document
 * @change: items are added; the caller sets id and author
 * @err: HL_ERR_LIMIT or HL_ERR_NOMEM
 *
 * It is accepted only on top of the edition that @current has.
 */
int routing_change(const config_t *current, const routing_document_t *document,
		   config_change_t *change, hl_error_t *err);

/**
 * routing_target_read - read the announcement of a copy.
 * @id: its id, from the path
 * @text: JSON
 * @target: filled in; free with xdr_free() in any case
 * @err: HL_ERR_PROTOCOL
 */
int routing_target_read(const char *id, const char *text, size_t size,
			config_target_t *target, hl_error_t *err);

#endif
