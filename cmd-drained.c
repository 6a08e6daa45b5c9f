#include <stdarg.h>
#include <string.h>
#include "cmd.h"

/* What one entry says of the copy. */
typedef struct {
	json_int_t revision;
	json_int_t calls;
	bool sends; /* it may still be sent calls there */
} drained_word_t;

static bool drained_names(json_t *object, const char *key, const char *name)
{
	const char *value = json_string_value(json_object_get(object, key));

	return value && !strcmp(value, name);
}

static void drained_read_copies(json_t *service, const char *copy,
				drained_word_t *word)
{
	json_t *one;
	size_t i;

	json_array_foreach(json_object_get(service, "copies"), i, one)
	{
		if (!drained_names(one, "copy", copy))
			continue;
		word->calls += json_integer_value(
			json_object_get(one, "outstanding"));
		if (json_integer_value(json_object_get(one, "limit")) > 0)
			word->sends = true;
	}
}

static void drained_read(json_t *root, char **names, drained_word_t *word)
{
	json_t *service;
	size_t i;

	word->revision = json_integer_value(json_object_get(root, "revision"));
	json_array_foreach(json_object_get(root, "services"), i, service)
	{
		if (drained_names(service, "service", names[0]))
			drained_read_copies(service, names[1], word);
	}
}

static void drained_add(GPtrArray *entries, const char *address)
{
	if (!g_ptr_array_find_with_equal_func(entries, address, g_str_equal,
					      NULL))
		g_ptr_array_add(entries, g_strdup(address));
}

/* Ask the live entries that this one knows as well. */
static void drained_add_members(GPtrArray *entries, json_t *root)
{
	json_t *member;
	size_t i;

	json_array_foreach(json_object_get(root, "members"), i, member)
	{
		const char *address = json_string_value(
			json_object_get(member, "control"));

		if (address)
			drained_add(entries, address);
	}
}

static void drained_lacks(GString *lacking, const char *address,
			  const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Name an entry with what is missing there. */
static void drained_lacks(GString *lacking, const char *address,
			  const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(lacking, "%s%s (", lacking->len ? ", " : "",
			       address);
	va_start(ap, fmt);
	g_string_append_vprintf(lacking, fmt, ap);
	va_end(ap);
	g_string_append_c(lacking, ')');
}

/* Ask one entry, and add those that it knows. */
static void drained_ask(GPtrArray *entries, const char *address, char **names,
			uint64_t revision, GString *lacking)
{
	char *body = cmd_http_get(address, "/v1/status", NULL);
	json_t *root = body ? json_loads(body, 0, NULL) : NULL;
	drained_word_t word = { 0 };

	g_free(body);
	if (!root) {
		drained_lacks(lacking, address, "no answer");
		return;
	}
	drained_read(root, names, &word);
	drained_add_members(entries, root);
	json_decref(root);
	if ((uint64_t)word.revision < revision)
		drained_lacks(lacking, address, "revision %" PRId64,
			      (int64_t)word.revision);
	else if (word.calls || word.sends)
		drained_lacks(lacking, address, "%" PRId64 " calls",
			      (int64_t)word.calls);
}

bool cmd_drained(GPtrArray *entries, char **names, uint64_t revision,
		 GString *lacking)
{
	guint i;

	g_string_truncate(lacking, 0);
	for (i = 0; i < entries->len; i++)
		drained_ask(entries, g_ptr_array_index(entries, i), names,
			    revision, lacking);
	return !lacking->len;
}
