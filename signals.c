#include <errno.h>
#include <signal.h>
#include <time.h>
#include "hemlock.h"

/* How long the thread waits before it looks whether to stop. */
#define SIGNALS_WAIT (50 * USEC_PER_MS)

static void signals_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void signals_block(void)
{
	sigset_t set;

	signals_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int signals_run(void *context, const volatile int *stop)
{
	const struct timespec wait = { 0, SIGNALS_WAIT * 1000 };
	signals_t *signals = context;
	sigset_t set;

	signals_set(&set);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		int number = sigtimedwait(&set, NULL, &wait);

		if (number == SIGTERM || number == SIGINT)
			supervisor_stop(signals->supervisor);
		else if (number == SIGHUP && signals->reload)
			signals->reload(signals->context);
	}
	return 0;
}

supervisor_child_t signals_child(signals_t *signals)
{
	supervisor_child_t child = { "signals", signals_run, NULL, signals };

	return child;
}
