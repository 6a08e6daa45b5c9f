#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "config-object.h"
#include "routing.h"

/* Parses routing documents and announcements of copies from JSON. */

/* Maximum duration in a document, in milliseconds. */
#define ROUTING_MS_MAX 1e12
/* Maximum of other numbers. They are read as doubles, exact up to 2^53. */
#define ROUTING_NUMBER_MAX 1e15

static int read_invalid(hl_error_t *err, const char *name, const char *key,
			const char *allowed)
{
	return hl_error_set(err, HL_ERR_PROTOCOL,
			    "%s: %s must be %s; correct it and send again",
			    name, key, allowed);
}

/* Reads a non-negative integer, also one written as 5.0 or 5e0. */
static bool read_integer(const json_t *value, double max, uint64_t *out)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !(number >= 0) || number > max ||
	    number != floor(number))
		return false;
	*out = (uint64_t)number;
	return true;
}

static int read_count(const json_t *object, const char *name, const char *key,
		      u_int *out, hl_error_t *err)
{
	uint64_t number;

	if (!read_integer(json_object_get(object, key), UINT32_MAX, &number))
		return read_invalid(err, name, key, "an integer of 0 or more");
	*out = (u_int)number;
	return 0;
}

static int read_count64(const json_t *object, const char *name, const char *key,
			u_quad_t *out, hl_error_t *err)
{
	uint64_t number;

	if (!read_integer(json_object_get(object, key), ROUTING_NUMBER_MAX,
			  &number))
		return read_invalid(err, name, key, "an integer of 0 or more");
	*out = number;
	return 0;
}

/* Reads milliseconds, with an optional fraction, as microseconds. */
static int read_time(const json_t *object, const char *name, const char *key,
		     u_quad_t *out, hl_error_t *err)
{
	const json_t *value = json_object_get(object, key);
	double ms = json_number_value(value);

	if (!json_is_number(value) || !(ms >= 0) || ms > ROUTING_MS_MAX)
		return read_invalid(err, name, key,
				    "milliseconds of 0 or more");
	*out = (u_quad_t)llround(ms * USEC_PER_MS);
	return 0;
}

static int read_text(const json_t *object, const char *name, const char *key,
		     size_t max, char **out, hl_error_t *err)
{
	const char *text = json_string_value(json_object_get(object, key));

	if (!text || strlen(text) > max)
		return read_invalid(err, name, key, "a string");
	*out = strdup(text);
	return *out ? 0 :
		      hl_error_set(err, HL_ERR_NOMEM,
				   "out of memory; give the VM more memory");
}

static int read_kind(const json_t *object, const char *name,
		     config_route_kind_t *out, hl_error_t *err)
{
	const char *kind = json_string_value(json_object_get(object, "kind"));

	if (!kind || !config_route_kind_parse(kind, out))
		return read_invalid(err, name, "kind", config_route_kinds());
	return 0;
}

static int read_part(const json_t *value, const char *name, config_part_t *part,
		     hl_error_t *err)
{
	if (!json_is_object(value))
		return read_invalid(err, name, "split", "a list of objects");
	if (read_text(value, name, "service", CONFIG_NAME_MAX, &part->service,
		      err))
		return -1;
	return read_count(value, name, "weight", &part->weight, err);
}

static int read_split(const json_t *split, config_route_t *route,
		      hl_error_t *err)
{
	size_t count = json_array_size(split);
	size_t i;

	if (!json_is_array(split) || !count || count > CONFIG_PARTS_MAX)
		return read_invalid(err, route->name, "split",
				    "a list of 1 to 16 parts");
	route->split = TRUE;
	for (i = 0; i < count; i++) {
		config_part_t *part = &route->parts.parts_val[i];

		route->parts.parts_len++;
		part->service = NULL;
		if (read_part(json_array_get(split, i), route->name, part, err))
			return -1;
	}
	return 0;
}

static int read_parts(const json_t *object, config_route_t *route,
		      hl_error_t *err)
{
	const json_t *split = json_object_get(object, "split");
	const json_t *service = json_object_get(object, "service");

	route->parts.parts_val = calloc(CONFIG_PARTS_MAX,
					sizeof(config_part_t));
	if (!route->parts.parts_val)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	if (!split == !service)
		return read_invalid(err, route->name, "service",
				    "present, or split instead of it");
	if (split)
		return read_split(split, route, err);
	route->parts.parts_len = 1;
	return read_text(object, route->name, "service", CONFIG_NAME_MAX,
			 &route->parts.parts_val[0].service, err);
}

static int read_route(const json_t *object, void *value, hl_error_t *err)
{
	config_route_t *route = value;
	const char *name = route->name;

	if (read_text(object, name, "host", CONFIG_HOST_MAX, &route->host,
		      err) ||
	    read_text(object, name, "prefix", CONFIG_PATH_MAX, &route->prefix,
		      err) ||
	    read_kind(object, name, &route->kind, err) ||
	    read_time(object, name, "timeout_ms", &route->timeout_us, err) ||
	    read_time(object, name, "objective_ms", &route->objective_us,
		      err) ||
	    read_count(object, name, "attempts_max", &route->attempts_max, err))
		return -1;
	if (json_object_get(object, "priority") &&
	    read_count(object, name, "priority", &route->priority, err))
		return -1;
	return read_parts(object, route, err);
}

static int read_pool(const json_t *object, void *value, hl_error_t *err)
{
	const json_t *protocol = json_object_get(object, "protocol");
	const json_t *tls = json_object_get(object, "tls");
	config_pool_t *pool = value;

	if (protocol && (!json_is_string(protocol) ||
			 strcmp(json_string_value(protocol), "h1")))
		return read_invalid(err, pool->name, "protocol", "\"h1\"");
	if (tls && !json_is_false(tls))
		return read_invalid(err, pool->name, "tls", "false");
	if (read_text(object, pool->name, "health_path", CONFIG_PATH_MAX,
		      &pool->health_path, err))
		return -1;
	return read_count(object, pool->name, "connections", &pool->connections,
			  err);
}

static int read_limits(const json_t *object, void *value, hl_error_t *err)
{
	config_limits_t *limits = value;

	if (read_count64(object, "limits", "head_bytes", &limits->head_bytes,
			 err) ||
	    read_count64(object, "limits", "body_bytes", &limits->body_bytes,
			 err) ||
	    read_time(object, "limits", "head_ms", &limits->head_us, err))
		return -1;
	return read_time(object, "limits", "idle_ms", &limits->idle_us, err);
}

/* Key, type and parser of one kind of item. */
typedef struct {
	const char *key;
	config_item_kind_t put;
	int (*read)(const json_t *object, void *value, hl_error_t *err);
} read_kind_t;

static const read_kind_t route_kind = { "routes", CONFIG_PUT_ROUTE,
					read_route };
static const read_kind_t pool_kind = { "services", CONFIG_PUT_POOL, read_pool };
static const read_kind_t limits_kind = { "limits", CONFIG_PUT_LIMITS,
					 read_limits };

/* Reads one item and adds a copy of it to the document. */
static int read_item(const read_kind_t *kind, const char *name,
		     const json_t *object, config_t *items, hl_error_t *err)
{
	const config_object_type_t *type = config_object_type(kind->put);
	config_body_t body;
	void *value = &body;
	int rc = -1;

	memset(&body, 0, sizeof(body));
	if (strlen(name) > CONFIG_NAME_MAX || !json_is_object(object))
		return read_invalid(err, name, kind->key, "an object");
	*(char **)((char *)value + type->name_offset) = strdup(name);
	if (!kind->read(object, value, err)) {
		rc = config_object_put(type, items, value, 0);
		if (rc)
			hl_error_set(err, HL_ERR_NOMEM,
				     "out of memory; give the VM more memory");
	}
	xdr_free(type->proc, value);
	return rc;
}

static int read_items(const read_kind_t *kind, json_t *list, config_t *items,
		      hl_error_t *err)
{
	const char *name;
	json_t *object;

	if (!json_is_object(list))
		return read_invalid(err, kind->key, "the value",
				    "an object keyed by name");
	json_object_foreach(list, name,
			    object) if (read_item(kind, name, object, items,
						  err)) return -1;
	return 0;
}

/* Reads the items of all kinds; with @required no key may be missing. */
static int read_all_items(const json_t *root, bool required, config_t *items,
			  hl_error_t *err)
{
	json_t *routes = json_object_get(root, "routes");
	json_t *pools = json_object_get(root, "services");
	json_t *limits = json_object_get(root, "limits");

	if ((routes || required) && read_items(&route_kind, routes, items, err))
		return -1;
	if ((pools || required) && read_items(&pool_kind, pools, items, err))
		return -1;
	if (limits || required)
		return read_item(&limits_kind, "limits", limits, items, err);
	return 0;
}

static int read_names(const json_t *list, const char *key,
		      routing_names_t *names, hl_error_t *err)
{
	size_t count = json_array_size(list);
	size_t i;

	if (!list)
		return 0;
	if (!json_is_array(list))
		return read_invalid(err, "retire", key, "a list of names");
	names->list = calloc(count + 1, sizeof(*names->list));
	if (!names->list)
		return hl_error_set(err, HL_ERR_NOMEM,
				    "out of memory; give the VM more memory");
	for (i = 0; i < count; i++) {
		const char *name = json_string_value(json_array_get(list, i));

		if (!name || strlen(name) > CONFIG_NAME_MAX)
			return read_invalid(err, "retire", key,
					    "a list of names");
		names->list[names->count++] = strdup(name);
	}
	return 0;
}

static int read_changes(const json_t *root, routing_document_t *document,
			hl_error_t *err)
{
	const json_t *put = json_object_get(root, "put");
	const json_t *retire = json_object_get(root, "retire");

	if (put && !json_is_object(put))
		return read_invalid(err, "the document", "put", "an object");
	if (retire && !json_is_object(retire))
		return read_invalid(err, "the document", "retire", "an object");
	if (put && read_all_items(put, false, &document->items, err))
		return -1;
	if (read_names(json_object_get(retire, "routes"), "routes",
		       &document->retired_routes, err))
		return -1;
	return read_names(json_object_get(retire, "services"), "services",
			  &document->retired_pools, err);
}

int routing_read(const char *text, size_t size, routing_scope_t scope,
		 routing_document_t *document, hl_error_t *err)
{
	json_error_t error;
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &error);
	int rc = -1;

	memset(document, 0, sizeof(*document));
	document->scope = scope;
	if (!json_is_object(root))
		hl_error_set(err, HL_ERR_PROTOCOL,
			     "the body is not a JSON object (%.100s); send "
			     "a complete document",
			     root ? "another value" : error.text);
	else if (!read_integer(json_object_get(root, "version"),
			       ROUTING_NUMBER_MAX, &document->version))
		read_invalid(err, "the document", "version",
			     "an integer of 0 or more");
	else if (scope == ROUTING_FULL)
		rc = read_all_items(root, true, &document->items, err);
	else
		rc = read_changes(root, document, err);
	json_decref(root);
	return rc;
}

static void names_clear(routing_names_t *names)
{
	unsigned i;

	for (i = 0; i < names->count; i++)
		free(names->list[i]);
	free(names->list);
}

void routing_clear(routing_document_t *document)
{
	xdr_free((xdrproc_t)xdr_config_t, (char *)&document->items);
	names_clear(&document->retired_routes);
	names_clear(&document->retired_pools);
	memset(document, 0, sizeof(*document));
}

static int read_state(const json_t *object, const char *id,
		      config_target_state_t *out, hl_error_t *err)
{
	const char *state = json_string_value(json_object_get(object, "state"));

	if (!state || (strcmp(state, "ready") && strcmp(state, "draining")))
		return read_invalid(err, id, "state",
				    "\"ready\" or \"draining\"");
	*out = strcmp(state, "ready") ? CONFIG_TARGET_DRAINING :
					CONFIG_TARGET_READY;
	return 0;
}

static int read_address(const json_t *object, const char *id, char **out,
			hl_error_t *err)
{
	struct sockaddr_storage storage;
	unsigned length;

	if (read_text(object, id, "address", CONFIG_ADDRESS_MAX, out, err))
		return -1;
	if (hl_address_parse(*out, &storage, &length))
		return read_invalid(err, id, "address", "\"ip:port\"");
	return 0;
}

/* Reads the fields of an announcement. */
static int read_target(const json_t *object, config_target_t *target,
		       hl_error_t *err)
{
	const char *id = target->name;
	u_quad_t cold_us = 0;
	char *version = NULL;

	if (read_text(object, id, "version", CONFIG_PATH_MAX, &version, err))
		return -1;
	free(version);
	if (read_text(object, id, "service", CONFIG_NAME_MAX, &target->service,
		      err) ||
	    read_address(object, id, &target->address, err) ||
	    read_text(object, id, "zone", CONFIG_NAME_MAX, &target->zone,
		      err) ||
	    read_count(object, id, "slots", &target->slots, err) ||
	    read_state(object, id, &target->state, err) ||
	    read_time(object, id, "cold_ms", &cold_us, err) ||
	    read_count64(object, id, "sequence", &target->sequence, err))
		return -1;
	if (json_object_get(object, "born") &&
	    read_count64(object, id, "born", &target->started_ms, err))
		return -1;
	if (!*target->service || !target->slots)
		return read_invalid(err, id, "service and slots", "not empty");
	target->cold_ms = (u_int)(cold_us / USEC_PER_MS);
	return 0;
}

int routing_target_read(const char *id, const char *text, size_t size,
			config_target_t *target, hl_error_t *err)
{
	json_error_t error;
	json_t *root;
	int rc = -1;

	memset(target, 0, sizeof(*target));
	if (!*id || strlen(id) > CONFIG_NAME_MAX)
		return hl_error_set(err, HL_ERR_PROTOCOL,
				    "an id has 1 to 63 bytes; use a shorter "
				    "one");
	root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &error);
	target->name = strdup(id);
	if (!json_is_object(root))
		hl_error_set(err, HL_ERR_PROTOCOL,
			     "%s: the body is not a JSON object; see "
			     "docs/INTERFACES.md",
			     id);
	else
		rc = read_target(root, target, err);
	json_decref(root);
	return rc;
}
