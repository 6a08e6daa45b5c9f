#include "entry-decide.h"

/* Pseudo-random numbers of a service, from the seed of entry_service_init(), so
 * that a run with the same seed decides alike. */

unsigned entry_random(entry_service_t *svc, unsigned bound)
{
	/* xorshift64* */
	svc->random_state ^= svc->random_state >> 12;
	svc->random_state ^= svc->random_state << 25;
	svc->random_state ^= svc->random_state >> 27;
	return (svc->random_state * 0x2545f4914f6cdd1dULL >> 33) % bound;
}
