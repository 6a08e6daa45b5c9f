#include <glib.h>
#include <stdio.h>
#include "keeper-control.h"
#include "rpc-server.h"

/*
 * The main program of a keeper: options, settings, and the threads that a
 * supervisor runs. It owns all modules of the process.
 */

/* Exit codes, as listed by --help: those of the entry, and one for a damaged
 * data folder. */
#define KEEPER_EXIT_OK 0
#define KEEPER_EXIT_USAGE 2
#define KEEPER_EXIT_SETTINGS 3
#define KEEPER_EXIT_RUN 4
#define KEEPER_EXIT_DATA 5

/* Maximum number of restarts of a failing child within the window; after that
 * the supervisor gives up. */
#define KEEPER_RESTARTS_MAX 10
#define KEEPER_RESTARTS_WINDOW (60 * USEC_PER_SEC)

/* Read the settings again. Only the log level can change without a restart. */
static void keeper_reload(void *context)
{
	keeper_settings_t settings;
	char text[2 * HL_MESSAGE_MAX];
	const char *path = context;
	hl_error_t err = { 0 };

	if (keeper_settings_load(path, &settings, &err)) {
		log_event(LOG_LEVEL_ERROR, "settings-refused", "message=%s",
			  log_quote(err.message, text, sizeof(text)));
		return;
	}
	log_set_level(settings.log_level);
	log_event(LOG_LEVEL_NOTICE, "settings-read", "log_level=%d",
		  (int)settings.log_level);
}

/* Log why the start failed and return the exit code. */
static int keeper_report_error(const hl_error_t *err)
{
	char text[2 * HL_MESSAGE_MAX];

	log_event(LOG_LEVEL_ERROR, "start-failed", "kind=%s message=%s",
		  hl_error_kind_name(err->kind),
		  log_quote(err->message, text, sizeof(text)));
	switch (err->kind) {
	case HL_ERR_USAGE:
		return KEEPER_EXIT_USAGE;
	case HL_ERR_SETTINGS:
		return KEEPER_EXIT_SETTINGS;
	case HL_ERR_CORRUPT:
		return KEEPER_EXIT_DATA;
	default:
		return KEEPER_EXIT_RUN;
	}
}

/* The servers for entries, copies, operators and callers. */
typedef struct {
	keeper_core_t *core;
	keeper_registry_t *registry; /* NULL if not configured */
	keeper_control_t *control;   /* NULL if not configured */
	uint64_t revision;	     /* revision after the last round */
} keeper_servers_t;

/* Called after each round of the core: check waiting requests, and push a new
 * revision to entries. */
static void keeper_on_round_end(void *context)
{
	keeper_servers_t *servers = context;
	uint64_t revision;

	revision = config_state_config(servers->core->state)->revision;
	keeper_control_on_round_end(servers->control);
	if (revision != servers->revision)
		keeper_registry_on_round_end(servers->registry);
	servers->revision = revision;
}

/* Start the servers if keeper.control or keeper.directory is set. */
static int keeper_start_servers(supervisor_t *sup, keeper_servers_t *servers,
				hl_error_t *err)
{
	const keeper_settings_t *settings = &servers->core->settings;
	supervisor_child_t child;

	if (!*settings->control && !*settings->directory)
		return 0;
	servers->registry = keeper_registry_new(servers->core, err);
	if (!servers->registry)
		return -1;
	servers->control = keeper_control_new(servers->core, servers->registry,
					      err);
	if (!servers->control)
		return -1;
	servers->core->on_round_end_context = servers;
	servers->core->on_round_end = keeper_on_round_end;
	child = keeper_registry_child(servers->registry);
	return supervisor_add(sup, &child, err);
}

static int keeper_start(supervisor_t *sup, keeper_core_t *core,
			keeper_transport_t *transport,
			keeper_servers_t *servers, signals_t *signals,
			hl_error_t *err)
{
	const supervisor_child_t core_child = { .name = "core",
						.run = keeper_core_run,
						.wake = keeper_core_wake,
						.context = core };
	const supervisor_child_t rpc_child = { .name = "rpc",
					       .run = keeper_rpc_run,
					       .wake = rpc_server_wake,
					       .context = core };
	const supervisor_child_t signal_child = signals_child(signals);

	core->send = keeper_transport_send;
	core->send_context = transport;
	if (keeper_rpc_open(core, err) || keeper_core_open(core, err))
		return -1;
	if (keeper_start_servers(sup, servers, err) ||
	    keeper_transport_supervise(transport, sup, err) ||
	    supervisor_add(sup, &core_child, err) ||
	    supervisor_add(sup, &rpc_child, err) ||
	    supervisor_add(sup, &signal_child, err))
		return -1;
	return keeper_http_start(core, err);
}

static int keeper_run(const keeper_settings_t *settings, char *path)
{
	signals_t signals = { .reload = keeper_reload,
			      .context = path,
			      .settings_path = path };
	static keeper_core_t core;
	keeper_servers_t servers = { .core = &core };
	keeper_transport_t *transport = NULL;
	hl_error_t err = { 0 };
	supervisor_t *sup;
	int rc;

	sup = supervisor_new("keeper", KEEPER_RESTARTS_MAX,
			     KEEPER_RESTARTS_WINDOW);
	signals.supervisor = sup;
	signals_block();
	if (log_start())
		log_event(LOG_LEVEL_WARNING, "log-not-started",
			  "message=\"cannot start the log thread; give the VM "
			  "more memory\"");
	if (!sup ||
	    keeper_core_init(&core, settings, &keeper_file_posix, &err) ||
	    !(transport = keeper_transport_new(&core)) ||
	    keeper_start(sup, &core, transport, &servers, &signals, &err)) {
		rc = keeper_report_error(&err);
	} else {
		log_event(LOG_LEVEL_NOTICE, "started",
			  "%s zone=%s fault_tolerance=%" PRId64, build_id_text,
			  settings->zone, settings->fault_tolerance);
		rc = supervisor_run(sup) ? KEEPER_EXIT_RUN : KEEPER_EXIT_OK;
	}
	keeper_control_stop(servers.control);
	keeper_core_leave(&core);
	keeper_http_stop(&core);
	supervisor_free(sup);
	keeper_control_free(servers.control);
	keeper_registry_free(servers.registry);
	keeper_transport_free(transport);
	keeper_core_free(&core);
	log_event(LOG_LEVEL_NOTICE, "stopped", "status=%d", rc);
	log_stop();
	return rc;
}

static int keeper_main(char *path, bool check)
{
	keeper_settings_t settings;
	hl_error_t err = { 0 };

	if (!path) {
		hl_error_set(&err, HL_ERR_USAGE,
			     "no settings; pass a file with --settings FILE");
		return keeper_report_error(&err);
	}
	if (keeper_settings_load(path, &settings, &err)) {
		keeper_report_error(&err);
		return KEEPER_EXIT_SETTINGS;
	}
	if (check) {
		printf("%s: good\n", path);
		return KEEPER_EXIT_OK;
	}
	log_open("hemlock-keeper", settings.name, settings.log_level);
	return keeper_run(&settings, path);
}

int main(int argc, char **argv)
{
	gboolean check = FALSE, version = FALSE, help_settings = FALSE;
	gchar *path = NULL;
	const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "Read the settings from FILE", "FILE" },
		{ "check", 0, 0, G_OPTION_ARG_NONE, &check,
		  "Check the settings and exit", NULL },
		{ "help-settings", 0, 0, G_OPTION_ARG_NONE, &help_settings,
		  "List the settings and exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &version,
		  "Print the version and exit", NULL },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new("- hold a replica of "
						       "the configuration");
	GError *error = NULL;
	int rc = KEEPER_EXIT_OK;

	log_open("hemlock-keeper", "-", LOG_LEVEL_INFO);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_description(
		context, "Exit status: 0 stopped by a signal, 2 wrong options, "
			 "3 settings refused,\n4 failed at the start or while "
			 "running, 5 damaged data folder.");
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s; see --help\n", error->message);
		g_error_free(error);
		rc = KEEPER_EXIT_USAGE;
	} else if (version) {
		printf("hemlock-keeper %s\n", build_id_text);
	} else if (help_settings) {
		settings_print_help(keeper_settings_table,
				    keeper_settings_count, stdout);
	} else {
		rc = keeper_main(path, check);
	}
	g_option_context_free(context);
	g_free(path);
	return rc;
}
