#include <arpa/inet.h>
#include <dirent.h>
#include <dlfcn.h>
#include <glib.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-main.h"

/*
 * An entry that can be cut off from the keepers and its siblings, for scripted runs
 * without the privileges that a packet filter of the system needs. While the file
 * given with --cut exists, the sockets to them have a filter that drops each segment
 * and datagram that arrives, and datagrams that the entry sends are dropped.
 * Connections to them hang, as a SYN-ACK is dropped too; a request on an open
 * connection may still arrive there, its response does not. Callers reach the entry,
 * and it reaches the copies. If the file lists addresses, one a line, only connections
 * to these hang, as to VMs that are gone.
 *
 * connect() and sendto() below replace those of the C library for the whole program,
 * also for its shared libraries.
 */

/* Ports of keepers and entries; those of copies and callers are others. */
#define CUT_PORT_MIN 7070
#define CUT_PORT_MAX 7099
/* Pause between two checks of the file. */
#define CUT_CHECK_PAUSE (10 * USEC_PER_MS)

typedef int (*cut_connect_t)(int, const struct sockaddr *, socklen_t);
typedef ssize_t (*cut_sendto_t)(int, const void *, size_t, int,
				const struct sockaddr *, socklen_t);

/* Largest file with addresses. */
#define CUT_TEXT_MAX 4096

/* What is cut: nothing, all, or connections to the addresses in the text. */
typedef enum { CUT_NONE, CUT_ALL, CUT_LISTED } cut_extent_t;

static pthread_mutex_t cut_lock = PTHREAD_MUTEX_INITIALIZER;
static cut_extent_t cut_extent;
static char cut_text[CUT_TEXT_MAX];

static cut_extent_t cut_current(void)
{
	cut_extent_t extent;

	pthread_mutex_lock(&cut_lock);
	extent = cut_extent;
	pthread_mutex_unlock(&cut_lock);
	return extent;
}

/* Reads the file and returns what is cut from now on. */
static cut_extent_t cut_read(const char *path)
{
	FILE *file = fopen(path, "r");
	size_t length;

	pthread_mutex_lock(&cut_lock);
	cut_extent = CUT_NONE;
	if (file) {
		length = fread(cut_text, 1, sizeof(cut_text) - 1, file);
		cut_text[length] = '\0';
		cut_extent = length ? CUT_LISTED : CUT_ALL;
		fclose(file);
	}
	pthread_mutex_unlock(&cut_lock);
	return cut_current();
}

static bool cut_lists(const struct sockaddr_in *address)
{
	char line[INET_ADDRSTRLEN + 1];
	bool listed;

	inet_ntop(AF_INET, &address->sin_addr, line, INET_ADDRSTRLEN);
	strcat(line, "\n");
	pthread_mutex_lock(&cut_lock);
	listed = strstr(cut_text, line);
	pthread_mutex_unlock(&cut_lock);
	return listed;
}

/* Whether connections to an address are cut. */
static bool cut_connection(const struct sockaddr_storage *to)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)to;
	cut_extent_t extent = cut_current();
	in_port_t port;

	if (to->ss_family != AF_INET || extent == CUT_NONE)
		return false;
	port = ntohs(address->sin_port);
	if (port < CUT_PORT_MIN || port > CUT_PORT_MAX)
		return false;
	return extent == CUT_ALL || cut_lists(address);
}

static bool cut_is_type(int fd, int type)
{
	socklen_t size = sizeof(int);
	int value;

	return !getsockopt(fd, SOL_SOCKET, SO_TYPE, &value, &size) &&
	       value == type;
}

/* Whether a socket exchanges datagrams, or is connected to a keeper or an entry, and is
 * cut. The peer of a connection that a caller has opened has a port of the system's
 * choice. */
static bool cut_concerns(int fd)
{
	struct sockaddr_storage peer = { 0 };
	socklen_t size = sizeof(peer);

	if (cut_is_type(fd, SOCK_DGRAM))
		return cut_current() == CUT_ALL;
	return !getpeername(fd, (struct sockaddr *)&peer, &size) &&
	       cut_connection(&peer);
}

static void cut_attach(int fd)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = { .len = 1, .filter = &drop };

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

static void cut_detach(int fd)
{
	int unused = 0;

	setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

/* Applies the cut to all open descriptors; one that is no socket stays as it is. After a
 * change of the cut the others lose their filters, also sockets that are not connected
 * yet. */
static void cut_apply(bool changed)
{
	DIR *descriptors = opendir("/proc/self/fd");
	struct dirent *entry;

	while (descriptors && (entry = readdir(descriptors))) {
		int fd = (int)strtol(entry->d_name, NULL, 10);

		if (*entry->d_name == '.' || fd == dirfd(descriptors))
			continue;
		if (cut_concerns(fd))
			cut_attach(fd);
		else if (changed)
			cut_detach(fd);
	}
	if (descriptors)
		closedir(descriptors);
}

/* Follows the file, and logs each change of what is cut. During a cut it looks for
 * sockets that connected before it. */
static void *cut_watch(void *path)
{
	cut_extent_t before = CUT_NONE;

	for (;;) {
		cut_extent_t extent = cut_read(path);

		if (extent != CUT_NONE || extent != before)
			cut_apply(extent != before);
		if (extent != before)
			log_event(LOG_LEVEL_NOTICE, "cut", "extent=%d", extent);
		before = extent;
		g_usleep(CUT_CHECK_PAUSE);
	}
	return NULL;
}

int connect(int fd, const struct sockaddr *to, socklen_t length)
{
	cut_connect_t next = (cut_connect_t)dlsym(RTLD_NEXT, "connect");
	struct sockaddr_storage copy = { 0 };

	if (length <= sizeof(copy))
		memcpy(&copy, to, length);
	if (cut_connection(&copy))
		cut_attach(fd);
	return next(fd, to, length);
}

ssize_t sendto(int fd, const void *bytes, size_t size, int flags,
	       const struct sockaddr *to, socklen_t length)
{
	cut_sendto_t next = (cut_sendto_t)dlsym(RTLD_NEXT, "sendto");

	if (cut_current() == CUT_ALL && cut_is_type(fd, SOCK_DGRAM))
		return (ssize_t)size;
	return next(fd, bytes, size, flags, to, length);
}

static int run(const char *path)
{
	static entry_settings_t settings;
	hl_error_t err = { 0 };

	if (entry_settings_load(path, &settings, &err)) {
		fprintf(stderr, "cut-entry: %s\n", err.message);
		return EXIT_FAILURE;
	}
	log_open("hemlock-entry", settings.name, settings.log_level);
	signals_block();
	log_start();
	if (entry_main_run(&settings, path, false, &err)) {
		fprintf(stderr, "cut-entry: %s\n", err.message);
		return EXIT_FAILURE;
	}
	log_stop();
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	gchar *path = NULL;
	gchar *cut = NULL;
	const GOptionEntry options[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "Read the settings from FILE", "FILE" },
		{ "cut", 'c', 0, G_OPTION_ARG_FILENAME, &cut,
		  "Cut the entry off while FILE exists, or from the addresses in FILE",
		  "FILE" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new("- entry for tests");
	bool parsed;

	g_option_context_add_main_entries(context, options, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !path || !cut) {
		fprintf(stderr,
			"usage: cut-entry --settings FILE --cut FILE\n");
		return EXIT_FAILURE;
	}
	/* The thread that follows the file gets no signal. */
	signals_block();
	g_thread_unref(g_thread_new("cut", cut_watch, cut));
	return run(path);
}
