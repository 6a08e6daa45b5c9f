#include <ctype.h>
#include "entry.h"

/* Parsing of the Retry-After header in the response of a copy. */

/* Longest rest that a copy can ask for; a longer one is shortened to it. */
#define RETRY_AFTER_MAX (60 * USEC_PER_SEC)

/* Reads whole seconds; stops to count beyond the maximum. */
static const char *retry_after_seconds(const char *text, usec_t *wait)
{
	usec_t seconds = 0;

	for (; isdigit((unsigned char)*text); text++)
		if (seconds * USEC_PER_SEC <= RETRY_AFTER_MAX)
			seconds = 10 * seconds + (*text - '0');
	*wait = seconds * USEC_PER_SEC;
	return text;
}

/* Adds the digits of a fraction of a second; digits below 1 us are ignored. */
static const char *retry_after_fraction(const char *text, usec_t *wait)
{
	usec_t unit = USEC_PER_SEC / 10;

	for (; isdigit((unsigned char)*text); text++) {
		*wait += unit * (*text - '0');
		unit /= 10;
	}
	return text;
}

bool entry_retry_after_read(const char *text, usec_t *wait)
{
	const char *digits = text;

	text = retry_after_seconds(text, wait);
	if (text == digits)
		return false;
	if (*text == '.') {
		digits = ++text;
		text = retry_after_fraction(text, wait);
		if (text == digits)
			return false;
	}
	if (*wait > RETRY_AFTER_MAX)
		*wait = RETRY_AFTER_MAX;
	return *text == '\0';
}
