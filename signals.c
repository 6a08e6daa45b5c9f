#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include "hemlock.h"

/*
 * Signal handling of a daemon in a thread of its supervisor, which also polls
 * the settings file for changes.
 */

/* Interval between checks of the settings file. */
#define SIGNALS_POLL_INTERVAL_S 2

/* Attributes by which a modification of a file is detected. */
typedef struct {
	ino_t inode;
	off_t size;
	struct timespec mtime;
} signals_file_stamp_t;

static void signals_fill_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void signals_block(void)
{
	sigset_t set;

	signals_fill_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/*
 * Returns true if the settings file was modified since the last call. A missing
 * file counts as unmodified, because it may be in the middle of a replacement.
 */
static bool signals_settings_changed(const signals_t *signals,
				     signals_file_stamp_t *last)
{
	struct stat status;
	bool changed;

	if (!signals->settings_path || stat(signals->settings_path, &status))
		return false;
	changed = status.st_ino != last->inode ||
		  status.st_size != last->size ||
		  status.st_mtim.tv_sec != last->mtime.tv_sec ||
		  status.st_mtim.tv_nsec != last->mtime.tv_nsec;
	last->inode = status.st_ino;
	last->size = status.st_size;
	last->mtime = status.st_mtim;
	return changed;
}

static int signals_run(void *context, const volatile int *stop)
{
	const struct timespec poll_interval = { SIGNALS_POLL_INTERVAL_S, 0 };
	signals_t *signals = context;
	signals_file_stamp_t last = { 0 };
	sigset_t set;

	signals_fill_set(&set);
	signals_settings_changed(signals, &last);
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		int number = sigtimedwait(&set, NULL, &poll_interval);
		bool changed = signals_settings_changed(signals, &last);

		if (number == SIGTERM || number == SIGINT)
			supervisor_stop(signals->supervisor);
		else if ((number == SIGHUP || changed) && signals->reload)
			signals->reload(signals->context);
	}
	return 0;
}

/* Sends SIGTERM to this process, which ends the wait in signals_run(). */
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
