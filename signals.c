#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include "hemlock.h"

/* How often the settings file is looked at. */
#define SIGNALS_LOOK_S 2

/* What tells one content of a file from the next. */
typedef struct {
	ino_t inode;
	off_t size;
	struct timespec written;
} signals_file_t;

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

/* Look at the settings file; true if it is another than the last time. One
 * that is missing just now is being replaced. */
static bool signals_changed(const signals_t *signals, signals_file_t *seen)
{
	struct stat status;
	bool changed;

	if (!signals->settings_path || stat(signals->settings_path, &status))
		return false;
	changed = status.st_ino != seen->inode ||
		  status.st_size != seen->size ||
		  status.st_mtim.tv_sec != seen->written.tv_sec ||
		  status.st_mtim.tv_nsec != seen->written.tv_nsec;
	seen->inode = status.st_ino;
	seen->size = status.st_size;
	seen->written = status.st_mtim;
	return changed;
}

static int signals_run(void *context, const volatile int *stop)
{
	const struct timespec look = { SIGNALS_LOOK_S, 0 };
	signals_t *signals = context;
	signals_file_t seen = { 0 };
	sigset_t set;

	signals_set(&set);
	signals_changed(signals, &seen);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		int number = sigtimedwait(&set, NULL, &look);
		bool changed = signals_changed(signals, &seen);

		if (number == SIGTERM || number == SIGINT)
			supervisor_stop(signals->supervisor);
		else if ((number == SIGHUP || changed) && signals->reload)
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
