#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/* Lists of the headers of a response. */

int entry_headers_add(struct cds_list_head *headers, const char *name,
		      size_t name_length, const char *value,
		      size_t value_length)
{
	entry_header_t *header = calloc(1, sizeof(*header));

	if (!header)
		return -1;
	header->name = strndup(name, name_length);
	header->value = strndup(value, value_length);
	if (!header->name || !header->value) {
		free(header->name);
		free(header->value);
		free(header);
		return -1;
	}
	cds_list_add_tail(&header->link, headers);
	return 0;
}

void entry_headers_clear(struct cds_list_head *headers)
{
	entry_header_t *header = NULL;
	entry_header_t *next = NULL;

	cds_list_for_each_entry_safe (header, next, headers, link) {
		free(header->name);
		free(header->value);
		free(header);
	}
	CDS_INIT_LIST_HEAD(headers);
}
