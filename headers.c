#include <string.h>
#include "headers.h"
#include "platform/platform.h"

static const headers_t headers_hemlock = {
	.word = "hemlock",
	.deadline_ms = "Hemlock-Deadline-Ms",
	.base_version = "Hemlock-Base",
	.own = true,
};

static const headers_t *const headers_known[] = {
	&headers_hemlock,
	&platform_headers,
};

const headers_t *headers_find(const char *word)
{
	size_t i;

	for (i = 0; i < sizeof(headers_known) / sizeof(headers_known[0]); i++)
		if (!strcmp(headers_known[i]->word, word))
			return headers_known[i];
	return NULL;
}

const char *headers_interface_names(void)
{
	return "\"hemlock\" or \"platform\"";
}
