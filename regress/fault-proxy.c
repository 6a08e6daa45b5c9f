/*
 * fault-proxy: a TCP proxy that injects faults between processes. A link is an
 * address on which the proxy listens, and the address of the server to which it
 * forwards each connection. While a link is cut, the proxy buffers the bytes
 * instead of dropping them, which corresponds to segments that are lost and
 * retransmitted. udp-proxy.c injects faults into UDP traffic.
 *
 * A connection to the control port carries one command, and its response is
 * "ok" or an error. LINK is the name of a link, or a pattern with "*".
 *
 *	cut LINK		stop both directions
 *	cut-to LINK		stop the direction to the server
 *	cut-from LINK		stop the direction from the server
 *	slow-to LINK MS		pass one byte to the server per interval
 *	slow-from LINK MS	pass one byte from the server per interval
 *	delay LINK MS		delay both directions
 *	truncate LINK BYTES	pass this number of bytes from the server on
 *				each connection, then close the connection
 *	reset LINK		close the open connections with a TCP RST
 *	heal LINK		remove all faults
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

#define CHUNK_BYTES_MAX 65536
#define BUFFERED_BYTES_MAX (4 * CHUNK_BYTES_MAX)
#define EVENTS_MAX 64
#define BACKLOG 512
#define COMMAND_BYTES_MAX 256
#define WAIT_MAX_MS 1000
#define CONTROL_TIMEOUT_USEC 200000
/* Attempts to send a command: the proxy closes a connection without a response if
   no command comes within CONTROL_TIMEOUT_USEC, as on a busy machine. */
#define COMMAND_ATTEMPTS_MAX 50

/* Direction of data: DIR_TO from client to server, DIR_FROM the other way. */
typedef enum { DIR_TO, DIR_FROM, DIR_COUNT } direction_t;

/* The bytes of one read, which are written to the other socket when due. */
typedef struct {
	struct cds_list_head link;
	usec_t due; /* time of the next write of bytes of this chunk */
	size_t size, written;
	char data[];
} chunk_t;

/* One direction of a connection, with the bytes that are not yet written. */
typedef struct {
	struct cds_list_head chunks;
	size_t buffered;
	uint64_t total; /* number of bytes read since the connection opened */
	bool eof, shut_down;
} flow_t;

typedef enum { SOURCE_LISTENER, SOURCE_ENDPOINT, SOURCE_CONTROL } source_kind_t;

/* A socket that is registered with epoll. */
typedef struct {
	source_kind_t kind;
	int fd;
	uint32_t interest;
	void *owner;
	direction_t dir; /* direction of the data read from this socket */
} source_t;

/* A link: its listener, the address of its server and its faults. */
typedef struct {
	struct cds_list_head link, conns;
	char name[HL_NAME_MAX];
	source_t listener;
	struct sockaddr_storage dest;
	unsigned dest_length;
	bool cut[DIR_COUNT];
	usec_t delay;
	usec_t byte_interval[DIR_COUNT]; /* time per byte; 0: no limit */
	/* Number of bytes from the server before the close; 0: no limit. */
	uint64_t truncate;
} link_t;

/* A client connection and the server connection that it is forwarded to. */
typedef struct {
	struct cds_list_head link;
	link_t *parent;
	/* DIR_TO: socket of the client, DIR_FROM: socket of the server. */
	source_t endpoints[DIR_COUNT];
	flow_t flows[DIR_COUNT];
	bool dead; /* closed, to be freed by process_due() */
} conn_t;

static gchar **opt_links, *opt_control, *opt_command_address;
static CDS_LIST_HEAD(links);
static int epoll_fd;

/* Sets the epoll events of a source; 0 removes it from epoll. */
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
	chunk_t *chunk = NULL, *next = NULL;

	cds_list_for_each_entry_safe (chunk, next, &flow->chunks, link)
		free(chunk);
	CDS_INIT_LIST_HEAD(&flow->chunks);
}

/*
 * Closes both sockets. The connection is freed by process_due(), when no epoll
 * event can refer to it any more.
 */
static void conn_close(conn_t *conn, bool reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	int dir;

	for (dir = 0; dir < DIR_COUNT; dir++) {
		if (reset && conn->endpoints[dir].fd >= 0)
			setsockopt(conn->endpoints[dir].fd, SOL_SOCKET,
				   SO_LINGER, &linger, sizeof(linger));
		source_close(&conn->endpoints[dir]);
		flow_clear(&conn->flows[dir]);
	}
	conn->dead = true;
}

static conn_t *conn_new(link_t *link, int client)
{
	conn_t *conn = g_new0(conn_t, 1);
	int dir;

	conn->parent = link;
	for (dir = 0; dir < DIR_COUNT; dir++) {
		conn->endpoints[dir] = (source_t){ .kind = SOURCE_ENDPOINT,
						   .fd = client,
						   .owner = conn,
						   .dir = (direction_t)dir };
		CDS_INIT_LIST_HEAD(&conn->flows[dir].chunks);
	}
	conn->endpoints[DIR_FROM].fd = socket(link->dest.ss_family,
					      SOCK_STREAM | SOCK_NONBLOCK |
						      SOCK_CLOEXEC,
					      0);
	cds_list_add_tail(&conn->link, &link->conns);
	if (connect(conn->endpoints[DIR_FROM].fd,
		    (struct sockaddr *)&link->dest, link->dest_length) &&
	    errno != EINPROGRESS)
		conn_close(conn, true);
	return conn;
}

static void flow_push(conn_t *conn, direction_t dir, const char *data,
		      size_t size)
{
	flow_t *flow = &conn->flows[dir];
	chunk_t *chunk = g_malloc(sizeof(*chunk) + size);

	chunk->size = size;
	chunk->written = 0;
	chunk->due = time_now() + conn->parent->delay;
	memcpy(chunk->data, data, size);
	cds_list_add_tail(&chunk->link, &flow->chunks);
	flow->buffered += size;
}

static ssize_t chunk_write(conn_t *conn, direction_t dir, chunk_t *chunk)
{
	/* Data read from one endpoint is written to the other. */
	int fd = conn->endpoints[!dir].fd;
	size_t size = conn->parent->byte_interval[dir] ?
			      1 :
			      chunk->size - chunk->written;

	return send(fd, chunk->data + chunk->written, size, MSG_NOSIGNAL);
}

/* Whether the server has sent as many bytes as "truncate" allows. */
static bool truncate_reached(const conn_t *conn, direction_t dir)
{
	return dir == DIR_FROM && conn->parent->truncate &&
	       conn->flows[DIR_FROM].total >= conn->parent->truncate;
}

/* Writes the chunks that are due; true if the socket is not writable. */
static bool flow_write(conn_t *conn, direction_t dir, usec_t now)
{
	flow_t *flow = &conn->flows[dir];
	chunk_t *chunk;
	ssize_t n;

	while (!cds_list_empty(&flow->chunks) && !conn->parent->cut[dir]) {
		chunk = cds_list_first_entry(&flow->chunks, chunk_t, link);
		if (chunk->due > now)
			return false;
		n = chunk_write(conn, dir, chunk);
		if (n < 0) {
			if (errno == EAGAIN || errno == ENOTCONN)
				return true;
			conn_close(conn, true);
			return false;
		}
		chunk->written += (size_t)n;
		chunk->due = now + conn->parent->byte_interval[dir];
		if (chunk->written < chunk->size)
			continue;
		flow->buffered -= chunk->size;
		cds_list_del(&chunk->link);
		free(chunk);
	}
	if (flow->eof && !flow->shut_down && cds_list_empty(&flow->chunks) &&
	    !conn->parent->cut[dir]) {
		shutdown(conn->endpoints[!dir].fd, SHUT_WR);
		flow->shut_down = true;
	}
	return false;
}

/* Writes the chunks that are due and sets the epoll events of both sockets. */
static void conn_update(conn_t *conn, usec_t now)
{
	bool blocked[DIR_COUNT];
	int dir;

	for (dir = 0; dir < DIR_COUNT && !conn->dead; dir++)
		blocked[dir] = flow_write(conn, (direction_t)dir, now);
	if (conn->dead)
		return;
	if ((conn->flows[DIR_TO].shut_down &&
	     conn->flows[DIR_FROM].shut_down) ||
	    (truncate_reached(conn, DIR_FROM) &&
	     cds_list_empty(&conn->flows[DIR_FROM].chunks))) {
		conn_close(conn, false);
		return;
	}
	for (dir = 0; dir < DIR_COUNT; dir++) {
		flow_t *flow = &conn->flows[dir];
		bool wants_read = !flow->eof && !conn->parent->cut[dir] &&
				  flow->buffered < BUFFERED_BYTES_MAX &&
				  !truncate_reached(conn, (direction_t)dir);

		source_watch(&conn->endpoints[dir],
			     (wants_read ? EPOLLIN : 0) |
				     (blocked[!dir] ? EPOLLOUT : 0));
	}
}

static void conn_read(conn_t *conn, direction_t dir)
{
	flow_t *flow = &conn->flows[dir];
	char data[CHUNK_BYTES_MAX];
	ssize_t n = recv(conn->endpoints[dir].fd, data, sizeof(data), 0);
	uint64_t remaining;

	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		conn_close(conn, true);
		return;
	}
	if (n == 0) {
		flow->eof = true;
		return;
	}
	if (dir == DIR_FROM && conn->parent->truncate) {
		remaining = conn->parent->truncate - flow->total;
		n = (ssize_t)MIN((uint64_t)n, remaining);
	}
	flow->total += (uint64_t)n;
	flow_push(conn, dir, data, (size_t)n);
}

static void endpoint_event(source_t *source, uint32_t events)
{
	conn_t *conn = source->owner;

	if (conn->dead)
		return;
	if (events & (EPOLLIN | EPOLLHUP) && source->interest & EPOLLIN)
		conn_read(conn, source->dir);
	else if (events & (EPOLLERR | EPOLLHUP))
		conn_close(conn, true);
	if (!conn->dead)
		conn_update(conn, time_now());
}

static void listener_event(link_t *link)
{
	int fd = accept4(link->listener.fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		conn_update(conn_new(link, fd), time_now());
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

/* Adds a link from its option text, NAME=IP:PORT>IP:PORT/tcp. */
static int link_add(const char *text)
{
	link_t *link = g_new0(link_t, 1);
	char **parts = g_strsplit_set(text, "=>/", -1);
	int rc = -1;

	if (g_strv_length(parts) == 4 && !strcmp(parts[3], "tcp") &&
	    !hl_address_parse(parts[2], &link->dest, &link->dest_length)) {
		g_strlcpy(link->name, parts[0], sizeof(link->name));
		CDS_INIT_LIST_HEAD(&link->conns);
		link->listener.kind = SOURCE_LISTENER;
		link->listener.owner = link;
		rc = listen_on(parts[1], &link->listener);
		cds_list_add_tail(&link->link, &links);
	} else {
		fprintf(stderr,
			"invalid --link, not NAME=IP:PORT>IP:PORT/tcp: %s\n",
			text);
		g_free(link);
	}
	g_strfreev(parts);
	return rc;
}

static const char *const commands[] = { "cut",	    "cut-to",  "cut-from",
					"reset",    "heal",    "delay",
					"truncate", "slow-to", "slow-from",
					NULL };

static bool link_command(link_t *link, const char *command, double value)
{
	conn_t *conn = NULL;
	bool heal = !strcmp(command, "heal");

	if (!g_strv_contains(commands, command))
		return false;
	if (heal || !strcmp(command, "cut") || !strcmp(command, "cut-to"))
		link->cut[DIR_TO] = !heal;
	if (heal || !strcmp(command, "cut") || !strcmp(command, "cut-from"))
		link->cut[DIR_FROM] = !heal;
	if (heal || !strcmp(command, "delay"))
		link->delay = (usec_t)(value * (double)USEC_PER_MS);
	if (heal || !strcmp(command, "slow-to"))
		link->byte_interval[DIR_TO] = (usec_t)(value *
						       (double)USEC_PER_MS);
	if (heal || !strcmp(command, "slow-from"))
		link->byte_interval[DIR_FROM] = (usec_t)(value *
							 (double)USEC_PER_MS);
	if (heal || !strcmp(command, "truncate"))
		link->truncate = (uint64_t)value;
	cds_list_for_each_entry (conn, &link->conns, link) {
		if (!strcmp(command, "reset"))
			conn_close(conn, true);
		else if (!conn->dead)
			conn_update(conn, time_now());
	}
	return true;
}

/* Applies a command line to each matching link and returns the response. */
static const char *run_command(char *line)
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

/* Accepts a control connection and runs its command. */
static void control_event(source_t *source)
{
	int fd = accept4(source->fd, NULL, NULL, SOCK_CLOEXEC);
	struct timeval timeout = { .tv_usec = CONTROL_TIMEOUT_USEC };
	char line[COMMAND_BYTES_MAX];
	const char *reply;
	ssize_t n;

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	n = recv(fd, line, sizeof(line) - 1, 0);
	if (n > 0) {
		line[n] = '\0';
		reply = run_command(line);
		if (send(fd, reply, strlen(reply), MSG_NOSIGNAL) < 0)
			perror("control");
	}
	close(fd);
}

/* Sends a command once; returns whether a response came. */
static bool send_once(const struct sockaddr_storage *to, unsigned length,
		      const char *line, char *reply, size_t size)
{
	int fd = socket(to->ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ssize_t n = -1;

	if (fd < 0)
		return false;
	if (!connect(fd, (const struct sockaddr *)to, length) &&
	    send(fd, line, strlen(line), MSG_NOSIGNAL) >= 0)
		n = recv(fd, reply, size - 1, 0);
	reply[n > 0 ? n : 0] = '\0';
	close(fd);
	return n > 0;
}

/* Sends a command to a running proxy; 0 if it responds with "ok". */
static int send_command(const char *address, char **words)
{
	struct sockaddr_storage to;
	unsigned length;
	char *line = g_strjoinv(" ", words), reply[COMMAND_BYTES_MAX] = "";
	int attempt = 0, rc = 1;

	if (hl_address_parse(address, &to, &length))
		goto out;
	while (!send_once(&to, length, line, reply, sizeof(reply)) &&
	       ++attempt < COMMAND_ATTEMPTS_MAX)
		g_usleep(CONTROL_TIMEOUT_USEC / 2);
	rc = strcmp(reply, "ok\n") != 0;
	if (rc)
		fprintf(stderr, "%s: %s: %s\n", address, line,
			*reply ? reply : "no response");
out:
	g_free(line);
	return rc;
}

/*
 * Returns the earlier of @due and the due time of the first chunk. A chunk that
 * is already due at @now is ignored: it waits until its socket is writable or
 * its link is no longer cut.
 */
static usec_t flow_due(flow_t *flow, usec_t now, usec_t due)
{
	const chunk_t *chunk;

	if (cds_list_empty(&flow->chunks))
		return due;
	chunk = cds_list_first_entry(&flow->chunks, chunk_t, link);
	return chunk->due > now ? MIN(due, chunk->due) : due;
}

/*
 * Frees closed connections and writes the chunks that have become due. Returns
 * the time at which the function must be called again.
 */
static usec_t process_due(usec_t now)
{
	usec_t due = now + WAIT_MAX_MS * USEC_PER_MS;
	conn_t *conn = NULL, *next = NULL;
	link_t *link = NULL;

	cds_list_for_each_entry (link, &links, link) {
		cds_list_for_each_entry_safe (conn, next, &link->conns, link) {
			if ((link->delay || link->byte_interval[DIR_TO] ||
			     link->byte_interval[DIR_FROM]) &&
			    !conn->dead)
				conn_update(conn, now);
			due = flow_due(&conn->flows[DIR_TO], now, due);
			due = flow_due(&conn->flows[DIR_FROM], now, due);
			if (conn->dead) {
				cds_list_del(&conn->link);
				g_free(conn);
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
		usec_t now = time_now(), due = process_due(now);
		int wait = (int)((due - now) / USEC_PER_MS) + 1;

		n = epoll_wait(epoll_fd, events, EVENTS_MAX, wait);
		for (i = 0; i < n; i++) {
			source_t *source = events[i].data.ptr;

			if (source->kind == SOURCE_ENDPOINT)
				endpoint_event(source, events[i].events);
			else if (source->kind == SOURCE_LISTENER)
				listener_event(source->owner);
			else
				control_event(source);
		}
	}
}

static const GOptionEntry options[] = {
	{ "link", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt_links,
	  "a link to proxy; may be repeated", "NAME=IP:PORT>IP:PORT/tcp" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt_control,
	  "address of the control port", "IP:PORT" },
	{ "tell", 0, 0, G_OPTION_ARG_STRING, &opt_command_address,
	  "send the command in the arguments to a running proxy", "IP:PORT" },
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
	if (opt_command_address)
		return send_command(opt_command_address, argv + 1);
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
