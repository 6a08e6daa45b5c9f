#include <stdarg.h>
#include <stdio.h>
#include "hemlock.h"

/* Typed errors with a message for the operator. */

int hl_error_set(hl_error_t *err, hl_error_kind_t kind, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->kind = kind;
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return -1;
}

const char *hl_error_kind_name(hl_error_kind_t kind)
{
	static const char *const names[] = {
		[HL_OK] = "ok",
		[HL_ERR_USAGE] = "usage",
		[HL_ERR_SETTINGS] = "settings",
		[HL_ERR_IO] = "io",
		[HL_ERR_CORRUPT] = "corrupt",
		[HL_ERR_PROTOCOL] = "protocol",
		[HL_ERR_TIMEOUT] = "timeout",
		[HL_ERR_UNAVAILABLE] = "unavailable",
		[HL_ERR_CONFLICT] = "conflict",
		[HL_ERR_NOT_FOUND] = "not-found",
		[HL_ERR_REFUSED] = "refused",
		[HL_ERR_LIMIT] = "limit",
		[HL_ERR_NOMEM] = "no-memory",
	};

	if (kind < 0 || (size_t)kind >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[kind];
}
