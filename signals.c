#include <errno.h>
#include <signal.h>
#include <unistd.h>
#include "hemlock.h"

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
	signals_t *signals = context;
	sigset_t set;

	signals_set(&set);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		int number = sigwaitinfo(&set, NULL);

		if (number == SIGTERM || number == SIGINT)
			supervisor_stop(signals->supervisor);
		else if (number == SIGHUP && signals->reload)
			signals->reload(signals->context);
	}
	return 0;
}

/* The signal that asks the supervisor to stop ends the wait as well. */
static void signals_wake(void *context)
{
	(void)context;
	kill(getpid(), SIGTERM);
}

supervisor_child_t signals_child(signals_t *signals)
{
	supervisor_child_t child = { "signals", signals_run, signals_wake,
				     signals };

	return child;
}
