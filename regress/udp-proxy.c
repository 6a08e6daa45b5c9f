/*
 * udp-proxy: injects faults into the UDP traffic between processes that use one
 * socket each. Every peer has two addresses: the public one, to which the
 * others send and on which the proxy listens, and the one that its socket is
 * bound to. The proxy forwards a datagram from the public address of the
 * sender, so that the receiver sees the address that it expects.
 *
 * A connection to the control port carries one command, and its response is
 * "ok" or an error. LINK is FROM-TO, one direction between two peers, and may
 * be a pattern with "*".
 *
 *	cut LINK		drop all datagrams
 *	loss LINK PERCENT	drop datagrams at random
 *	delay LINK MS		delay datagrams
 *	heal LINK		remove all faults
 *
 * On exit the proxy prints the number of datagrams received and lost on each
 * link.
 */
#include <errno.h>
#include <fnmatch.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>
#include "hemlock.h"

#define PEERS_MAX 64
#define DATAGRAM_BYTES 65536
/* Number of datagrams read per poll and socket; also the TCP listen backlog. */
#define DATAGRAM_BATCH 64
#define COMMAND_BYTES_MAX 256
#define WAIT_MAX_MS 1000
#define CONTROL_TIMEOUT_USEC 200000

typedef struct {
	struct sockaddr_storage bound;
	unsigned bound_length;
	int fd; /* bound to the public address */
	char name[HL_NAME_MAX];
} peer_t;

/* One direction between two peers. */
typedef struct {
	bool cut;
	usec_t delay;
	double loss; /* percentage of datagrams dropped at random */
	GRand *random;
	uint64_t seen, lost;
} link_t;

typedef struct {
	struct cds_list_head link;
	unsigned from, to;
	usec_t due;
	size_t size;
	char data[];
} datagram_t;

static gchar **opt_peers, *opt_control;
static gint opt_seed = 1;
static peer_t peers[PEERS_MAX];
static link_t links[PEERS_MAX][PEERS_MAX];
static unsigned peer_count;
static CDS_LIST_HEAD(delayed);
static volatile sig_atomic_t stopping;

static void forward_datagram(unsigned from, unsigned to, const char *data,
			     size_t size)
{
	const peer_t *receiver = &peers[to];

	if (sendto(peers[from].fd, data, size, 0,
		   (const struct sockaddr *)&receiver->bound,
		   receiver->bound_length) < 0 &&
	    errno != ECONNREFUSED)
		perror(receiver->name);
}

static void delay_datagram(unsigned from, unsigned to, const char *data,
			   size_t size)
{
	datagram_t *datagram = g_malloc(sizeof(*datagram) + size);

	datagram->from = from;
	datagram->to = to;
	datagram->due = time_now() + links[from][to].delay;
	datagram->size = size;
	memcpy(datagram->data, data, size);
	cds_list_add_tail(&datagram->link, &delayed);
}

/*
 * Whether to drop a datagram. Each datagram takes one random number, also on a
 * link without loss, so that a seed selects the same datagrams in each run.
 */
static bool should_drop(link_t *link)
{
	double draw = g_rand_double(link->random) * 100;

	return link->cut || draw < link->loss;
}

/* Returns the index of the peer whose socket is bound to @address, or -1. */
static int find_sender(const struct sockaddr_storage *address, unsigned length)
{
	unsigned i;

	for (i = 0; i < peer_count; i++)
		if (peers[i].bound_length == length &&
		    !memcmp(&peers[i].bound, address, length))
			return (int)i;
	return -1;
}

/* Receives one datagram for a peer; false if there is none. */
static bool receive_datagram(unsigned to)
{
	static char data[DATAGRAM_BYTES];
	struct sockaddr_storage sender = { 0 };
	socklen_t length = sizeof(sender);
	ssize_t size = recvfrom(peers[to].fd, data, sizeof(data), MSG_DONTWAIT,
				(struct sockaddr *)&sender, &length);
	int from;
	link_t *link;

	if (size < 0)
		return false;
	from = find_sender(&sender, length);
	if (from < 0)
		return true;
	link = &links[from][to];
	link->seen++;
	if (should_drop(link))
		link->lost++;
	else if (link->delay)
		delay_datagram((unsigned)from, to, data, (size_t)size);
	else
		forward_datagram((unsigned)from, to, data, (size_t)size);
	return true;
}

/*
 * Forwards the delayed datagrams that are due. Returns the time at which the
 * function must be called again.
 */
static usec_t send_delayed(usec_t now)
{
	usec_t next = now + WAIT_MAX_MS * USEC_PER_MS;
	datagram_t *datagram = NULL;
	datagram_t *after = NULL;

	cds_list_for_each_entry_safe (datagram, after, &delayed, link) {
		if (datagram->due > now) {
			next = MIN(next, datagram->due);
			continue;
		}
		forward_datagram(datagram->from, datagram->to, datagram->data,
				 datagram->size);
		cds_list_del(&datagram->link);
		g_free(datagram);
	}
	return next;
}

static bool apply_command(link_t *link, const char *command, double value)
{
	bool heal = !strcmp(command, "heal");

	if (heal || !strcmp(command, "cut"))
		link->cut = !heal;
	else if (strcmp(command, "delay") != 0 && strcmp(command, "loss") != 0)
		return false;
	if (heal || !strcmp(command, "delay"))
		link->delay = (usec_t)(value * (double)USEC_PER_MS);
	if (heal || !strcmp(command, "loss"))
		link->loss = value;
	return true;
}

/* Applies a command line to each matching link and returns the response. */
static const char *run_command(char *line)
{
	char **words = g_strsplit(g_strstrip(line), " ", 3);
	unsigned count = g_strv_length(words);
	double value = count > 2 ? g_ascii_strtod(words[2], NULL) : 0;
	char link_name[2 * HL_NAME_MAX];
	unsigned found = 0;
	unsigned i;

	for (i = 0; count >= 2 && i < peer_count * peer_count; i++) {
		unsigned from = i / peer_count;
		unsigned to = i % peer_count;

		snprintf(link_name, sizeof(link_name), "%s-%s",
			 peers[from].name, peers[to].name);
		if (!fnmatch(words[1], link_name, 0) &&
		    apply_command(&links[from][to], words[0], value))
			found++;
	}
	g_strfreev(words);
	return found ? "ok\n" : "no such command or link\n";
}

/* Accepts a control connection and runs its command. */
static void handle_control(int listener)
{
	struct timeval timeout = { .tv_usec = CONTROL_TIMEOUT_USEC };
	int fd = accept(listener, NULL, NULL);
	char line[COMMAND_BYTES_MAX];
	const char *reply;
	ssize_t size;

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	size = recv(fd, line, sizeof(line) - 1, 0);
	if (size > 0) {
		line[size] = '\0';
		reply = run_command(line);
		if (send(fd, reply, strlen(reply), MSG_NOSIGNAL) < 0)
			perror("control");
	}
	close(fd);
}

static int bound_socket(const char *address, int type)
{
	struct sockaddr_storage storage;
	unsigned length;
	int one = 1;
	int fd;

	if (!address || hl_address_parse(address, &storage, &length))
		return -1;
	fd = socket(storage.ss_family, type | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&storage, length) &&
	    (type != SOCK_STREAM || !listen(fd, DATAGRAM_BATCH)))
		return fd;
	perror(address);
	close(fd);
	return -1;
}

/* Adds a peer from its option text, NAME=PUBLIC-IP:PORT>BOUND-IP:PORT. */
static int peer_add(const char *text)
{
	peer_t *peer = &peers[peer_count];
	char **parts = g_strsplit_set(text, "=>", -1);
	int rc = -1;

	if (peer_count == PEERS_MAX || g_strv_length(parts) != 3 ||
	    hl_address_parse(parts[2], &peer->bound, &peer->bound_length))
		goto out;
	g_strlcpy(peer->name, parts[0], sizeof(peer->name));
	peer->fd = bound_socket(parts[1], SOCK_DGRAM);
	rc = peer->fd < 0 ? -1 : 0;
	peer_count++;
out:
	g_strfreev(parts);
	return rc;
}

static void serve(int listener)
{
	struct pollfd polled[PEERS_MAX + 1];
	unsigned i;
	unsigned n;

	for (i = 0; i < peer_count; i++)
		polled[i] = (struct pollfd){ peers[i].fd, POLLIN, 0 };
	polled[peer_count] = (struct pollfd){ listener, POLLIN, 0 };
	while (!stopping) {
		usec_t now = time_now();
		usec_t wait = send_delayed(now) - now;

		if (poll(polled, peer_count + 1,
			 (int)(wait / USEC_PER_MS) + 1) <= 0)
			continue;
		for (i = 0; i < peer_count; i++)
			for (n = 0; polled[i].revents && n < DATAGRAM_BATCH &&
				    receive_datagram(i);
			     n++)
				;
		if (polled[peer_count].revents)
			handle_control(listener);
	}
}

static void report(void)
{
	unsigned i;

	for (i = 0; i < peer_count * peer_count; i++) {
		const link_t *link = &links[i / peer_count][i % peer_count];

		if (link->seen)
			printf("link=%s-%s seen=%" PRIu64 " lost=%" PRIu64 "\n",
			       peers[i / peer_count].name,
			       peers[i % peer_count].name, link->seen,
			       link->lost);
	}
	fflush(stdout);
}

static void on_signal(int number)
{
	stopping = number;
}

static const GOptionEntry options[] = {
	{ "peer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt_peers,
	  "a peer; may be repeated", "NAME=PUBLIC-IP:PORT>BOUND-IP:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &opt_control,
	  "address of the control port", "IP:PORT" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt_seed, "seed of the losses",
	  "N" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	bool valid;
	int listener;
	unsigned i;

	g_option_context_add_main_entries(context, options, NULL);
	valid = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	for (i = 0; valid && opt_peers && opt_peers[i]; i++)
		valid = !peer_add(opt_peers[i]);
	listener = valid ? bound_socket(opt_control, SOCK_STREAM) : -1;
	if (listener < 0) {
		fprintf(stderr, "bad options or addresses; see --help\n");
		return 2;
	}
	for (i = 0; i < peer_count * peer_count; i++)
		links[i / peer_count][i % peer_count].random =
			g_rand_new_with_seed((guint32)opt_seed + i);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	puts("ready");
	fflush(stdout);
	serve(listener);
	report();
	return 0;
}
