/*
 * A proxy that stands on links between processes and harms them on demand.
 * A link that is cut holds the bytes back, as lost and re-sent segments would
 * be. Datagrams have a proxy of their own, udp-proxy.c.
 *
 * Commands, one a line on the control port, each answered with "ok":
 * cut, cut-to, cut-from, reset, heal LINK; delay LINK MS; truncate LINK BYTES;
 * slow-to, slow-from LINK MS, which lets one byte pass in that time. LINK may
 * end in "*".
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <fnmatch.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>
#include "hemlock.h"

#define PIECE_MAX 65536
#define BUFFERED_MAX (4 * PIECE_MAX)
#define EVENTS_MAX 64
#define BACKLOG 512
#define LINE_MAX_BYTES 256
#define TICK_MS 1000

typedef enum { TO, FROM, WAYS } way_t;

typedef struct {
	struct cds_list_head link;
	usec_t due;
	size_t size, done;
	char data[];
} piece_t;

/* One way of a connection: what was read and is not yet written. */
typedef struct {
	struct cds_list_head pieces;
	size_t buffered;
	uint64_t total;
	bool eof, shut;
} flow_t;

typedef enum { SOURCE_LISTENER, SOURCE_END, SOURCE_CONTROL } source_kind_t;

typedef struct {
	source_kind_t kind;
	int fd;
	uint32_t interest;
	void *owner;
	way_t reads; /* the way that data read here takes */
} source_t;

typedef struct {
	struct cds_list_head link, pipes;
	char name[HL_NAME_MAX];
	source_t listener;
	struct sockaddr_storage dest;
	unsigned dest_length;
	bool cut[WAYS];
	usec_t delay, pace[WAYS]; /* pace: for each byte; 0: at once */
	uint64_t truncate;
} link_t;

typedef struct {
	struct cds_list_head link;
	link_t *on;
	source_t ends[WAYS]; /* ends[TO] is the caller's */
	flow_t flows[WAYS];
	bool dead;
} pipe_t;

static gchar **opt_links, *opt_control, *opt_tell;
static CDS_LIST_HEAD(links);
static int epoll_fd;

static void source_watch(source_t *source, uint32_t interest)
{
	struct epoll_event event = { .events = interest };

	if (interest == source->interest || source->fd < 0)
		return;
	event.data.ptr = source;
	epoll_ctl(epoll_fd,
		  !source->interest ? EPOLL_CTL_ADD :
		  interest	    ? EPOLL_CTL_MOD :
				      EPOLL_CTL_DEL,
		  source->fd, &event);
	source->interest = interest;
}

static void source_close(source_t *source)
{
	source_watch(source, 0);
	if (source->fd >= 0)
		close(source->fd);
	source->fd = -1;
}

static void flow_clear(flow_t *flow)
{
	piece_t *piece = NULL, *next = NULL;

	cds_list_for_each_entry_safe (piece, next, &flow->pieces, link)
		free(piece);
	CDS_INIT_LIST_HEAD(&flow->pieces);
}

/* The memory is freed by sweep(), when no event can name it. */
static void pipe_close(pipe_t *pipe, bool reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	int way;

	for (way = 0; way < WAYS; way++) {
		if (reset && pipe->ends[way].fd >= 0)
			setsockopt(pipe->ends[way].fd, SOL_SOCKET, SO_LINGER,
				   &linger, sizeof(linger));
		source_close(&pipe->ends[way]);
		flow_clear(&pipe->flows[way]);
	}
	pipe->dead = true;
}

static pipe_t *pipe_new(link_t *link, int caller)
{
	pipe_t *pipe = g_new0(pipe_t, 1);
	int way;

	pipe->on = link;
	for (way = 0; way < WAYS; way++) {
		pipe->ends[way] = (source_t){ .kind = SOURCE_END,
					      .fd = caller,
					      .owner = pipe,
					      .reads = (way_t)way };
		CDS_INIT_LIST_HEAD(&pipe->flows[way].pieces);
	}
	pipe->ends[FROM].fd = socket(link->dest.ss_family,
				     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
				     0);
	cds_list_add_tail(&pipe->link, &link->pipes);
	if (connect(pipe->ends[FROM].fd, (struct sockaddr *)&link->dest,
		    link->dest_length) &&
	    errno != EINPROGRESS)
		pipe_close(pipe, true);
	return pipe;
}

static void flow_push(pipe_t *pipe, way_t way, const char *data, size_t size)
{
	flow_t *flow = &pipe->flows[way];
	piece_t *piece = g_malloc(sizeof(*piece) + size);

	piece->size = size;
	piece->done = 0;
	piece->due = time_now() + pipe->on->delay;
	memcpy(piece->data, data, size);
	cds_list_add_tail(&piece->link, &flow->pieces);
	flow->buffered += size;
}

static ssize_t piece_write(pipe_t *pipe, way_t way, piece_t *piece)
{
	/* What came from one end leaves by the other. */
	int fd = pipe->ends[!way].fd;
	size_t size = pipe->on->pace[way] ? 1 : piece->size - piece->done;

	return send(fd, piece->data + piece->done, size, MSG_NOSIGNAL);
}

static bool truncated(const pipe_t *pipe, way_t way)
{
	return way == FROM && pipe->on->truncate &&
	       pipe->flows[FROM].total >= pipe->on->truncate;
}

/* Write what is due; return true when the far end takes no more now. */
static bool flow_write(pipe_t *pipe, way_t way, usec_t now)
{
	flow_t *flow = &pipe->flows[way];
	piece_t *piece;
	ssize_t n;

	while (!cds_list_empty(&flow->pieces) && !pipe->on->cut[way]) {
		piece = cds_list_first_entry(&flow->pieces, piece_t, link);
		if (piece->due > now)
			return false;
		n = piece_write(pipe, way, piece);
		if (n < 0) {
			if (errno == EAGAIN || errno == ENOTCONN)
				return true;
			pipe_close(pipe, true);
			return false;
		}
		piece->done += (size_t)n;
		piece->due = now + pipe->on->pace[way];
		if (piece->done < piece->size)
			continue;
		flow->buffered -= piece->size;
		cds_list_del(&piece->link);
		free(piece);
	}
	if (flow->eof && !flow->shut && cds_list_empty(&flow->pieces) &&
	    !pipe->on->cut[way]) {
		shutdown(pipe->ends[!way].fd, SHUT_WR);
		flow->shut = true;
	}
	return false;
}

/* Write what can be written and watch for what cannot. */
static void pipe_update(pipe_t *pipe, usec_t now)
{
	bool blocked[WAYS];
	int way;

	for (way = 0; way < WAYS && !pipe->dead; way++)
		blocked[way] = flow_write(pipe, (way_t)way, now);
	if (pipe->dead)
		return;
	if ((pipe->flows[TO].shut && pipe->flows[FROM].shut) ||
	    (truncated(pipe, FROM) &&
	     cds_list_empty(&pipe->flows[FROM].pieces))) {
		pipe_close(pipe, false);
		return;
	}
	for (way = 0; way < WAYS; way++) {
		flow_t *flow = &pipe->flows[way];
		bool reads = !flow->eof && !pipe->on->cut[way] &&
			     flow->buffered < BUFFERED_MAX &&
			     !truncated(pipe, (way_t)way);

		source_watch(&pipe->ends[way],
			     (reads ? EPOLLIN : 0) |
				     (blocked[!way] ? EPOLLOUT : 0));
	}
}

static void pipe_read(pipe_t *pipe, way_t way)
{
	flow_t *flow = &pipe->flows[way];
	char data[PIECE_MAX];
	ssize_t n = recv(pipe->ends[way].fd, data, sizeof(data), 0);
	uint64_t room;

	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		pipe_close(pipe, true);
		return;
	}
	if (n == 0) {
		flow->eof = true;
		return;
	}
	if (way == FROM && pipe->on->truncate) {
		room = pipe->on->truncate - flow->total;
		n = (ssize_t)MIN((uint64_t)n, room);
	}
	flow->total += (uint64_t)n;
	flow_push(pipe, way, data, (size_t)n);
}

static void end_event(source_t *source, uint32_t events)
{
	pipe_t *pipe = source->owner;

	if (pipe->dead)
		return;
	if (events & (EPOLLIN | EPOLLHUP) && source->interest & EPOLLIN)
		pipe_read(pipe, source->reads);
	else if (events & (EPOLLERR | EPOLLHUP))
		pipe_close(pipe, true);
	if (!pipe->dead)
		pipe_update(pipe, time_now());
}

static void listener_event(link_t *link)
{
	int fd = accept4(link->listener.fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		pipe_update(pipe_new(link, fd), time_now());
}

static int listen_on(const char *address, source_t *source)
{
	struct sockaddr_storage storage;
	unsigned length;
	int one = 1;

	if (hl_address_parse(address, &storage, &length))
		return -1;
	source->fd = socket(storage.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(source->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(source->fd, (struct sockaddr *)&storage, length) ||
	    listen(source->fd, BACKLOG)) {
		perror(address);
		return -1;
	}
	source_watch(source, EPOLLIN);
	return 0;
}

/* NAME=IP:PORT>IP:PORT/tcp */
static int link_add(const char *text)
{
	link_t *link = g_new0(link_t, 1);
	char **parts = g_strsplit_set(text, "=>/", -1);
	int rc = -1;

	if (g_strv_length(parts) == 4 && !strcmp(parts[3], "tcp") &&
	    !hl_address_parse(parts[2], &link->dest, &link->dest_length)) {
		g_strlcpy(link->name, parts[0], sizeof(link->name));
		CDS_INIT_LIST_HEAD(&link->pipes);
		link->listener.kind = SOURCE_LISTENER;
		link->listener.owner = link;
		rc = listen_on(parts[1], &link->listener);
		cds_list_add_tail(&link->link, &links);
	} else {
		fprintf(stderr, "not NAME=IP:PORT>IP:PORT/tcp: %s\n", text);
		g_free(link);
	}
	g_strfreev(parts);
	return rc;
}

static const char *const commands[] = { "cut",	    "cut-to",  "cut-from",
					"reset",    "heal",    "delay",
					"truncate", "slow-to", "slow-from",
					NULL };

static bool link_command(link_t *link, const char *what, double value)
{
	pipe_t *pipe = NULL;
	bool heal = !strcmp(what, "heal");

	if (!g_strv_contains(commands, what))
		return false;
	if (heal || !strcmp(what, "cut") || !strcmp(what, "cut-to"))
		link->cut[TO] = !heal;
	if (heal || !strcmp(what, "cut") || !strcmp(what, "cut-from"))
		link->cut[FROM] = !heal;
	if (heal || !strcmp(what, "delay"))
		link->delay = (usec_t)(value * (double)USEC_PER_MS);
	if (heal || !strcmp(what, "slow-to"))
		link->pace[TO] = (usec_t)(value * (double)USEC_PER_MS);
	if (heal || !strcmp(what, "slow-from"))
		link->pace[FROM] = (usec_t)(value * (double)USEC_PER_MS);
	if (heal || !strcmp(what, "truncate"))
		link->truncate = (uint64_t)value;
	cds_list_for_each_entry (pipe, &link->pipes, link) {
		if (!strcmp(what, "reset"))
			pipe_close(pipe, true);
		else if (!pipe->dead)
			pipe_update(pipe, time_now());
	}
	return true;
}

static const char *command(char *line)
{
	char **words = g_strsplit(g_strstrip(line), " ", 3);
	unsigned count = g_strv_length(words), found = 0;
	link_t *link = NULL;

	cds_list_for_each_entry (link, &links, link) {
		if (count >= 2 && !fnmatch(words[1], link->name, 0) &&
		    link_command(link, words[0],
				 count > 2 ? g_ascii_strtod(words[2], NULL) :
					     0))
			found++;
	}
	g_strfreev(words);
	return found ? "ok\n" : "no such command or link\n";
}

/* A control connection carries one command. */
static void control_event(source_t *source)
{
	int fd = accept4(source->fd, NULL, NULL, SOCK_CLOEXEC);
	struct timeval patience = { .tv_usec = 200000 };
	char line[LINE_MAX_BYTES];
	const char *reply;
	ssize_t n;

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
	n = recv(fd, line, sizeof(line) - 1, 0);
	if (n > 0) {
		line[n] = '\0';
		reply = command(line);
		if (send(fd, reply, strlen(reply), MSG_NOSIGNAL) < 0)
			perror("control");
	}
	close(fd);
}

static int tell(const char *address, char **words)
{
	struct sockaddr_storage storage;
	unsigned length;
	char *line = g_strjoinv(" ", words), reply[LINE_MAX_BYTES] = "";
	int fd = -1, rc = 1;

	if (hl_address_parse(address, &storage, &length))
		goto out;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0 || connect(fd, (struct sockaddr *)&storage, length) ||
	    send(fd, line, strlen(line), MSG_NOSIGNAL) < 0 ||
	    recv(fd, reply, sizeof(reply) - 1, 0) <= 0)
		perror(address);
	rc = strcmp(reply, "ok\n") != 0;
	if (rc)
		fprintf(stderr, "%s: %s\n", line, reply);
	close(fd);
out:
	g_free(line);
	return rc;
}

/* The first time after @now when a piece becomes due, or @due. */
static usec_t flow_due(flow_t *flow, usec_t now, usec_t due)
{
	const piece_t *piece;

	if (cds_list_empty(&flow->pieces))
		return due;
	piece = cds_list_first_entry(&flow->pieces, piece_t, link);
	return piece->due > now ? MIN(due, piece->due) : due;
}

/* Free dead pipes, write what has become due; return when to look again. */
static usec_t sweep(usec_t now)
{
	usec_t due = now + TICK_MS * USEC_PER_MS;
	pipe_t *pipe = NULL, *next = NULL;
	link_t *link = NULL;

	cds_list_for_each_entry (link, &links, link) {
		cds_list_for_each_entry_safe (pipe, next, &link->pipes, link) {
			if ((link->delay || link->pace[TO] ||
			     link->pace[FROM]) &&
			    !pipe->dead)
				pipe_update(pipe, now);
			due = flow_due(&pipe->flows[TO], now, due);
			due = flow_due(&pipe->flows[FROM], now, due);
			if (pipe->dead) {
				cds_list_del(&pipe->link);
				g_free(pipe);
			}
		}
	}
	return due;
}

static void serve(volatile sig_atomic_t *stop)
{
	struct epoll_event events[EVENTS_MAX];
	int i, n;

	while (!*stop) {
		usec_t now = time_now(), due = sweep(now);
		int wait = (int)((due - now) / USEC_PER_MS) + 1;

		n = epoll_wait(epoll_fd, events, EVENTS_MAX, wait);
		for (i = 0; i < n; i++) {
			source_t *source = events[i].data.ptr;

			if (source->kind == SOURCE_END)
				end_event(source, events[i].events);
			else if (source->kind == SOURCE_LISTENER)
				listener_event(source->owner);
			else
				control_event(source);
		}
	}
}

static const GOptionEntry options[] = {
	{ "link", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt_links,
	  "a link to stand on", "NAME=IP:PORT>IP:PORT/tcp" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt_control,
	  "where commands are taken", "IP:PORT" },
	{ "tell", 0, 0, G_OPTION_ARG_STRING, &opt_tell,
	  "send the command that follows to a running proxy", "IP:PORT" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static volatile sig_atomic_t stopping;

static void on_signal(int number)
{
	stopping = number;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("[COMMAND LINK VALUE]");
	source_t control_source = { .kind = SOURCE_CONTROL };
	int i;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL)) {
		fprintf(stderr, "bad options; see --help\n");
		return 2;
	}
	g_option_context_free(context);
	if (opt_tell)
		return tell(opt_tell, argv + 1);
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	for (i = 0; opt_links && opt_links[i]; i++) {
		if (link_add(opt_links[i]))
			return 1;
	}
	if (opt_control && listen_on(opt_control, &control_source))
		return 1;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	puts("ready");
	fflush(stdout);
	serve(&stopping);
	_exit(0);
}
