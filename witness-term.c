#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "witness.h"

/* Converts terms to and from text: OWNER/NUMBER, then /NAME/BOOT of each
   witness, with the numbers in hexadecimal. */

/* Separates the parts of a term; names cannot contain it. */
#define TERM_SEPARATOR '/'

void witness_term_print(const witness_term_t *term, char *out)
{
	int length = snprintf(out, WITNESS_TEXT_MAX, "%s/%" PRIx64, term->owner,
			      term->number);
	unsigned i;

	for (i = 0; i < WITNESS_COUNT; i++)
		length += snprintf(out + length,
				   (size_t)(WITNESS_TEXT_MAX - length),
				   "/%s/%" PRIx64, term->members[i].name,
				   term->members[i].boot);
}

/* Parses a name at the start of the text and advances the text. */
static int term_name(const char **text, char *out)
{
	const char *end = strchr(*text, TERM_SEPARATOR);
	size_t length = end ? (size_t)(end - *text) : 0;

	if (!length || length >= HL_NAME_MAX)
		return -1;
	memcpy(out, *text, length);
	out[length] = '\0';
	*text = end + 1;
	return hl_name_valid(out) ? 0 : -1;
}

/* Parses a hexadecimal number other than 0 and advances the text. */
static int term_number(const char **text, uint64_t *out)
{
	char *end;

	*out = strtoull(*text, &end, 16);
	if (end == *text || !*out)
		return -1;
	if (*end == TERM_SEPARATOR && end[1])
		end++;
	else if (*end)
		return -1;
	*text = end;
	return 0;
}

int witness_term_parse(const char *text, witness_term_t *term)
{
	unsigned i;

	memset(term, 0, sizeof(*term));
	if (term_name(&text, term->owner) || term_number(&text, &term->number))
		return -1;
	for (i = 0; i < WITNESS_COUNT; i++)
		if (term_name(&text, term->members[i].name) ||
		    term_number(&text, &term->members[i].boot))
			return -1;
	return *text ? -1 : 0;
}
