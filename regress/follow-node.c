#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>
#include "config-follow.h"

/*
 * A configuration follower as a program of its own, without the rest of an
 * entry, for scripted tests of the fan-out tree.
 *
 * usage: follow-node --name NAME --address IP:PORT --keepers IP:PORT,...
 *	  [--members FILE] [--fanout N] [--poll-ms N] [--timeout-ms N]
 *
 * FILE has a line "NAME IP:PORT" for each live entry and is read at each poll.
 * Prints "ready REVISION" once the entry may serve, "REVISION MILLISECONDS"
 * (wall clock) when a revision comes into force, and the metrics on exit.
 */

static char *node_name, *node_address, *node_keepers, *node_members;
static gint node_fanout = 4, node_poll_ms = 100, node_timeout_ms = 500;
static volatile sig_atomic_t node_stop;

static const GOptionEntry node_options[] = {
	{ "name", 0, 0, G_OPTION_ARG_STRING, &node_name, "", NULL },
	{ "address", 0, 0, G_OPTION_ARG_STRING, &node_address, "", NULL },
	{ "keepers", 0, 0, G_OPTION_ARG_STRING, &node_keepers, "", NULL },
	{ "members", 0, 0, G_OPTION_ARG_STRING, &node_members, "", NULL },
	{ "fanout", 0, 0, G_OPTION_ARG_INT, &node_fanout, "", NULL },
	{ "poll-ms", 0, 0, G_OPTION_ARG_INT, &node_poll_ms, "", NULL },
	{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &node_timeout_ms, "", NULL },
	{ 0 },
};

/* Signal handler that ends the program; it may run on any thread. */
static void node_on_signal(int signal)
{
	(void)signal;
	__atomic_store_n(&node_stop, 1, __ATOMIC_RELEASE);
}

static unsigned node_list(void *context, owner_member_t *out, unsigned max)
{
	FILE *in = node_members ? fopen(node_members, "r") : NULL;
	unsigned count = 0;

	(void)context;
	if (!in)
		return 0;
	while (count < max && fscanf(in, "%63s %63s", out[count].name,
				     out[count].rpc_address) == 2)
		count++;
	fclose(in);
	return count;
}

static void node_changed(void *context, const config_t *config)
{
	(void)context;
	printf("%" PRIu64 " %" PRId64 "\n", (uint64_t)config->revision,
	       (int64_t)(g_get_real_time() / USEC_PER_MS));
	fflush(stdout);
}

static void node_keepers_fill(setting_list_t *list)
{
	char **items = g_strsplit(node_keepers, ",", SETTING_LIST_MAX);
	unsigned i;

	for (i = 0; items[i]; i++)
		g_strlcpy(list->items[list->count++], items[i], HL_ADDRESS_MAX);
	g_strfreev(items);
}

/* Aborts if readers see a lower revision than before. */
static void node_check_revision(config_follow_t *follow, uint64_t *last)
{
	const config_t *config;
	uint64_t revision = 0;

	rcu_read_lock();
	config = config_follow_get(follow);
	if (config)
		revision = config->revision;
	rcu_read_unlock();
	if (revision < *last) {
		printf("fell from %" PRIu64 " to %" PRIu64 "\n", *last,
		       revision);
		abort();
	}
	*last = revision;
}

static void node_run(config_follow_t *follow)
{
	const supervisor_child_t child = config_follow_child(follow);
	supervisor_t *sup = supervisor_new("node", 5, USEC_PER_SEC);
	bool ready = false;
	uint64_t last = 0;

	rcu_register_thread();
	supervisor_add(sup, &child, NULL);
	while (!__atomic_load_n(&node_stop, __ATOMIC_ACQUIRE)) {
		node_check_revision(follow, &last);
		if (!ready && config_follow_ready(follow)) {
			ready = true;
			printf("ready %" PRIu64 "\n",
			       config_follow_revision(follow));
			fflush(stdout);
		}
		usleep(5000);
	}
	supervisor_free(sup);
	rcu_unregister_thread();
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("");
	config_follow_options_t options = { .members = node_list,
					    .changed = node_changed };
	metrics_t *metrics = metrics_new();
	config_follow_t *follow;
	hl_error_t err;

	g_option_context_add_main_entries(context, node_options, NULL);
	g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!node_name || !node_address || !node_keepers)
		return 2;
	signal(SIGTERM, node_on_signal);
	log_open("follow-node", node_name, LOG_LEVEL_DEBUG);
	options.name = node_name;
	options.rpc_address = node_address;
	options.metrics = metrics;
	options.settings.fanout = node_fanout;
	options.settings.poll_ms = node_poll_ms;
	options.settings.timeout_ms = node_timeout_ms;
	node_keepers_fill(&options.settings.keepers);
	follow = config_follow_new(&options, &err);
	if (!follow) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	node_run(follow);
	config_follow_free(follow);
	metrics_write(metrics, stdout);
	metrics_free(metrics);
	return 0;
}
