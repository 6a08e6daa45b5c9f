#include <string.h>
#include "headers.h"
#include "platform/platform.h"

static const headers_t headers_hemlock = {
	.interface = "hemlock",
	.send_id = "Hemlock-Send",
	.deadline_ms = "Hemlock-Deadline-Ms",
	.leaving = "Hemlock-Leaving",
	.rate = "Hemlock-Rate",
	.base_version = "Hemlock-Base",
	.native = true,
};

static const headers_t *const headers_interfaces[] = {
	&headers_hemlock,
	&platform_headers,
};

const headers_t *headers_find(const char *interface)
{
	size_t i;

	for (i = 0;
	     i < sizeof(headers_interfaces) / sizeof(headers_interfaces[0]);
	     i++)
		if (!strcmp(headers_interfaces[i]->interface, interface))
			return headers_interfaces[i];
	return NULL;
}

const char *headers_interface_names(void)
{
	return "\"hemlock\" or \"platform\"";
}
