#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include "member.h"

/*
 * A member of a group, for scripted tests. It prints "MS live N" when the set
 * of live members changes, and at its end a report of bytes and suspicions.
 * After SIGUSR1 it drops its datagrams to the address --cut until SIGUSR2.
 * SIGHUP prints a report and resets the counters.
 */

typedef struct {
	member_options_t options;
	setting_list_t seeds;
	char *cut_address;
	int loss_per_mille;
	uint64_t datagrams;
	volatile int cut_active;
	int stop;
	int report_requested;
	usec_t started;
	uint64_t sent, received, suspected, declared, refuted;
	member_t *member;
} node_t;

static node_t node;

static void node_on_signal(int number)
{
	if (number == SIGHUP)
		__atomic_store_n(&node.report_requested, 1, __ATOMIC_RELEASE);
	else if (number == SIGUSR1 || number == SIGUSR2)
		__atomic_store_n(&node.cut_active, number == SIGUSR1,
				 __ATOMIC_RELEASE);
	else
		__atomic_store_n(&node.stop, 1, __ATOMIC_RELEASE);
}

static bool node_drops_datagram(void *context, const char *address)
{
	uint64_t n;

	(void)context;
	if (node.cut_address &&
	    __atomic_load_n(&node.cut_active, __ATOMIC_ACQUIRE) &&
	    (!strcmp(node.cut_address, "all") ||
	     !strcmp(node.cut_address, address)))
		return true;
	n = __atomic_add_fetch(&node.datagrams, 1, __ATOMIC_RELAXED);
	return hl_hash(&n, sizeof(n), node.options.seed) % 1000 <
	       (unsigned)node.loss_per_mille;
}

static void node_changed(void *context)
{
	static owner_member_t live[MEMBER_MAX];
	struct timespec ts;
	unsigned count;

	(void)context;
	clock_gettime(CLOCK_REALTIME, &ts);
	count = member_live(node.member, live, MEMBER_MAX);
	printf("%lld live %u\n",
	       (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000, count);
	fflush(stdout);
}

static int node_options(int argc, char **argv)
{
	char *name = NULL;
	char *zone = "a";
	char *address = NULL;
	char *bind_address = "";
	char **seeds = NULL;
	int seed = 1;
	const GOptionEntry entries[] = {
		{ "name", 0, 0, G_OPTION_ARG_STRING, &name, "name", NULL },
		{ "zone", 0, 0, G_OPTION_ARG_STRING, &zone, "zone", NULL },
		{ "address", 0, 0, G_OPTION_ARG_STRING, &address, "ip:port",
		  NULL },
		{ "bind", 0, 0, G_OPTION_ARG_STRING, &bind_address,
		  "ip:port, where it is not the address", NULL },
		{ "seed", 0, 0, G_OPTION_ARG_STRING_ARRAY, &seeds,
		  "peer to join, repeated", NULL },
		{ "loss", 0, 0, G_OPTION_ARG_INT, &node.loss_per_mille,
		  "datagrams lost of 1000", NULL },
		{ "cut", 0, 0, G_OPTION_ARG_STRING, &node.cut_address,
		  "address, or all, that SIGUSR1 cuts", NULL },
		{ "random", 0, 0, G_OPTION_ARG_INT, &seed, "seed", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context = g_option_context_new("- a member");
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!parsed || !name || !address)
		return -1;
	g_strlcpy(node.options.self.name, name, HL_NAME_MAX);
	g_strlcpy(node.options.self.zone, zone, HL_NAME_MAX);
	g_strlcpy(node.options.bind_address, bind_address, HL_ADDRESS_MAX);
	g_strlcpy(node.options.self.peer_address, address, HL_ADDRESS_MAX);
	g_strlcpy(node.options.self.call_address, address, HL_ADDRESS_MAX);
	g_strlcpy(node.options.self.control_address, address, HL_ADDRESS_MAX);
	g_strlcpy(node.options.self.rpc_address, address, HL_ADDRESS_MAX);
	for (; seeds && *seeds && node.seeds.count < SETTING_LIST_MAX; seeds++)
		g_strlcpy(node.seeds.items[node.seeds.count++], *seeds,
			  HL_ADDRESS_MAX);
	node.options.seeds = &node.seeds;
	node.options.seed = (uint64_t)seed;
	return 0;
}

static uint64_t node_counter(metrics_t *metrics, const char *name)
{
	return __atomic_load_n(metrics_counter(metrics, name, "", ""),
			       __ATOMIC_RELAXED);
}

/* Prints the increase of each counter since the last report. */
static void node_report(metrics_t *metrics)
{
	const char *const names[] = { "hemlock_peer_sent_bytes_total",
				      "hemlock_peer_received_bytes_total",
				      "hemlock_members_suspected",
				      "hemlock_members_declared_dead",
				      "hemlock_members_refuted" };
	const char *const words[] = { "sent", "received", "suspected",
				      "declared", "refuted" };
	uint64_t *const last[] = { &node.sent, &node.received, &node.suspected,
				   &node.declared, &node.refuted };
	usec_t now = time_now();
	size_t i;

	printf("report seconds %.1f",
	       (double)(now - node.started) / USEC_PER_SEC);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		uint64_t value = node_counter(metrics, names[i]);

		printf(" %s %" PRIu64, words[i], value - *last[i]);
		*last[i] = value;
	}
	printf("\n");
	fflush(stdout);
	node.started = now;
}

int main(int argc, char **argv)
{
	const struct timespec pause = { 0, 20 * 1000000 };
	metrics_t *metrics = metrics_new();
	hl_error_t err = { 0 };
	supervisor_child_t child;
	supervisor_t *sup;

	if (node_options(argc, argv)) {
		fprintf(stderr, "member-node: see --help\n");
		return 2;
	}
	log_open("member-node", node.options.self.name, LOG_LEVEL_INFO);
	g_strlcpy(node.options.group, "test", HL_NAME_MAX);
	node.options.metrics = metrics;
	node.options.drop_datagram = node_drops_datagram;
	node.options.on_change = node_changed;
	node.started = time_now();
	node.member = member_new(&node.options, &err);
	if (!node.member) {
		fprintf(stderr, "member-node: %s\n", err.message);
		return 1;
	}
	signal(SIGTERM, node_on_signal);
	signal(SIGHUP, node_on_signal);
	signal(SIGUSR1, node_on_signal);
	signal(SIGUSR2, node_on_signal);
	sup = supervisor_new("member-node", 1, USEC_PER_SEC);
	child = member_child(node.member);
	if (supervisor_add(sup, &child, &err))
		return 1;
	while (!__atomic_load_n(&node.stop, __ATOMIC_ACQUIRE)) {
		if (__atomic_exchange_n(&node.report_requested, 0,
					__ATOMIC_ACQ_REL))
			node_report(metrics);
		nanosleep(&pause, NULL);
	}
	member_leave(node.member);
	supervisor_free(sup);
	node_report(metrics);
	member_free(node.member);
	metrics_free(metrics);
	return 0;
}
