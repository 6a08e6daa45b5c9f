#include <stdarg.h>
#include <string.h>
#include "cmd.h"

/*
 * Check of a planned stop: queries the status of the entries and determines
 * whether the stopped copy still has calls in flight or may receive new ones.
 */

/* State of the stopped copy at one entry. */
typedef struct {
	json_int_t revision; /* revision in force at the entry */
	json_int_t calls;    /* number of calls in flight at the copy */
	bool accepts_calls;  /* the entry may send calls to the copy */
} drained_status_t;

static bool drained_field_equals(json_t *object, const char *key,
				 const char *name)
{
	const char *value = json_string_value(json_object_get(object, key));

	return value && !strcmp(value, name);
}

static void drained_read_copy(json_t *service, const char *copy,
			      drained_status_t *status)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(service, "copies"), i, item)
	{
		if (!drained_field_equals(item, "copy", copy))
			continue;
		status->calls += json_integer_value(
			json_object_get(item, "outstanding"));
		if (json_integer_value(json_object_get(item, "limit")) > 0)
			status->accepts_calls = true;
	}
}

static void drained_read(json_t *root, char **names, drained_status_t *status)
{
	json_t *service;
	size_t i;

	status->revision = json_integer_value(
		json_object_get(root, "revision"));
	json_array_foreach(json_object_get(root, "services"), i, service)
	{
		if (drained_field_equals(service, "service", names[0]))
			drained_read_copy(service, names[1], status);
	}
}

static void drained_add_entry(GPtrArray *entries, const char *address)
{
	if (!g_ptr_array_find_with_equal_func(entries, address, g_str_equal,
					      NULL))
		g_ptr_array_add(entries, g_strdup(address));
}

/* Add the live members in the status of an entry to the list of entries. */
static void drained_add_members(GPtrArray *entries, json_t *root)
{
	json_t *member;
	size_t i;

	json_array_foreach(json_object_get(root, "members"), i, member)
	{
		const char *address = json_string_value(
			json_object_get(member, "control"));

		if (address)
			drained_add_entry(entries, address);
	}
}

static void drained_add_reason(GString *not_drained, const char *address,
			       const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Append an entry with the reason why the copy is not drained there. */
static void drained_add_reason(GString *not_drained, const char *address,
			       const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(not_drained, "%s%s (",
			       not_drained->len ? ", " : "", address);
	va_start(ap, fmt);
	g_string_append_vprintf(not_drained, fmt, ap);
	va_end(ap);
	g_string_append_c(not_drained, ')');
}

/* Check the copy at one entry, and add the members that the entry lists. */
static void drained_check_entry(GPtrArray *entries, const char *address,
				char **names, uint64_t revision,
				GString *not_drained)
{
	char *body = cmd_http_get(address, "/v1/status", NULL);
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	drained_status_t status = { 0 };

	g_free(body);
	if (!root) {
		drained_add_reason(not_drained, address, "no answer");
		return;
	}
	drained_read(root, names, &status);
	drained_add_members(entries, root);
	json_decref(root);
	if ((uint64_t)status.revision < revision)
		drained_add_reason(not_drained, address, "revision %" PRId64,
				   (int64_t)status.revision);
	else if (status.calls || status.accepts_calls)
		drained_add_reason(not_drained, address, "%" PRId64 " calls",
				   (int64_t)status.calls);
}

bool cmd_drained(GPtrArray *entries, char **names, uint64_t revision,
		 GString *not_drained)
{
	guint i;

	g_string_truncate(not_drained, 0);
	for (i = 0; i < entries->len; i++)
		drained_check_entry(entries, g_ptr_array_index(entries, i),
				    names, revision, not_drained);
	return !not_drained->len;
}
