#ifndef CMD_H
#define CMD_H

#include <glib.h>
#include <jansson.h>
#include "config.h"
#include "toml.h"

/*
 * Commands of hemlockctl. Each has a file of its own and a row in cmd_table;
 * the functions declared here are shared: they send requests to the keepers,
 * submit changes, wait until a change is in force, and print results.
 */

/** enum cmd_exit_t - exit codes of hemlockctl, a stable interface. */
typedef enum {
	CMD_OK = 0,
	CMD_FAILED = 1,		/* any other error */
	CMD_USAGE = 2,		/* invalid option or argument */
	CMD_DECLARATION = 3,	/* invalid declaration or settings file */
	CMD_CONFLICT = 4,	/* a concurrent change was accepted first */
	CMD_REFUSED = 5,	/* rejected by a rule of the configuration */
	CMD_UNAVAILABLE = 6,	/* no response from a keeper or entry in time */
	CMD_NOT_EVERYWHERE = 7, /* accepted, but not in force on all VMs */
	CMD_UNKNOWN = 8,	/* outcome unknown; repeat with the same --id */
	CMD_DIFFERS = 9,	/* plan or diff found differences */
} cmd_exit_t;

/** struct cmd_t - options common to all commands, and the keeper connection. */
typedef struct {
	char *keepers;	     /* --keepers */
	char *settings_file; /* --settings */
	gboolean json;	     /* --json */
	gint timeout_s;	     /* --timeout */
	setting_list_t list; /* addresses of the keepers */
	CLIENT *client;	     /* connection to the current keeper, or NULL */
	/* Index in list of the current keeper, modulo list.count. */
	unsigned keeper_index;
} cmd_t;

/** struct cmd_command_t - a row of the command table. */
typedef struct {
	const char *name;
	const char *arguments;
	const char *summary;
	const GOptionEntry *options; /* options of this command, or NULL */
	int arguments_min, arguments_max;
	cmd_exit_t (*run)(cmd_t *cmd, char **arguments);
} cmd_command_t;

/** cmd_table - all commands; the last row has no name. */
extern const cmd_command_t cmd_table[];

/*
 * Entry points of the commands. @arguments is NULL-terminated; each returns the
 * exit code of the process.
 */
cmd_exit_t cmd_plan(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_apply(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_diff(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_get(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_routing(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_copies(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_history(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_retire(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_stop(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_status(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_histogram(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_voter_add(cmd_t *cmd, char **arguments);
cmd_exit_t cmd_voter_remove(cmd_t *cmd, char **arguments);

extern const GOptionEntry cmd_apply_options[];
extern const GOptionEntry cmd_retire_options[];
extern const GOptionEntry cmd_stop_options[];
extern const GOptionEntry cmd_history_options[];
extern const GOptionEntry cmd_status_options[];
extern const GOptionEntry cmd_histogram_options[];

/** struct cmd_change_options_t - options of commands that submit a change. */
typedef struct {
	char *id;      /* --id; NULL: a random id */
	char *author;  /* --author; NULL: the name of the user */
	gboolean wait; /* --wait: wait until the change is in force */
	gint wait_s;   /* --wait-seconds; 0: CMD_WAIT_DEFAULT_S */
} cmd_change_options_t;

/* Default time limit until a change is in force on all VMs, in seconds. */
#define CMD_WAIT_DEFAULT_S 11

/** CMD_CHANGE_OPTIONS - option rows for a struct cmd_change_options_t. */
#define CMD_CHANGE_OPTIONS(o)                                                  \
	{ "id",	   0,                                                          \
	  0,	   G_OPTION_ARG_STRING,                                        \
	  &(o).id, "Id of the change; a repeated id returns its first answer", \
	  "ID" },                                                              \
		{ "author",    0,                                              \
		  0,	       G_OPTION_ARG_STRING,                            \
		  &(o).author, "Author recorded in the history",               \
		  "NAME" },                                                    \
		{ "wait",    0,                                                \
		  0,	     G_OPTION_ARG_NONE,                                \
		  &(o).wait, "Wait until the change is in force everywhere",   \
		  NULL },                                                      \
	{                                                                      \
		"wait-seconds", 0, 0, G_OPTION_ARG_INT, &(o).wait_s,           \
			"Maximum wait (default 11)", "SECONDS"                 \
	}

/** cmd_fail - print an error and return the exit code for its kind. */
cmd_exit_t cmd_fail(const cmd_t *cmd, const hl_error_t *err);

/** cmd_print_unchanged - report that there is no change; returns CMD_OK. */
cmd_exit_t cmd_print_unchanged(const cmd_t *cmd, uint64_t revision);

/** cmd_print_json - print a JSON value on stdout and drop the reference. */
void cmd_print_json(json_t *value);

/** enum cmd_step_t - what cmd_keeper_run() does after one request. */
typedef enum {
	CMD_STEP_DONE,	 /* return success */
	CMD_STEP_RETRY,	 /* repeat at the same keeper after a pause */
	CMD_STEP_LEADER, /* connect to the address stored in @leader */
	CMD_STEP_NEXT,	 /* connect to the next keeper of the list */
} cmd_step_t;

/**
 * cmd_request_t - send one request to a keeper.
 * @client: connection to the keeper
 * @context: as passed to cmd_keeper_run()
 * @leader: receives the leader's address for CMD_STEP_LEADER; its size is
 *          HL_ADDRESS_MAX
 */
typedef cmd_step_t (*cmd_request_t)(CLIENT *client, void *context,
				    char *leader);

/**
 * cmd_keeper_run - repeat a request until a keeper answers it.
 * @cmd: addresses of the keepers, and the time limit
 * @request: sends the request once
 * @context: passed to @request
 * @err: HL_ERR_UNAVAILABLE after --timeout seconds
 *
 * Follows redirects to the leader and moves to the next keeper after a failure.
 *
 * Return: 0, or -1 with @err set.
 */
int cmd_keeper_run(cmd_t *cmd, cmd_request_t request, void *context,
		   hl_error_t *err);

/** cmd_keeper_close - close the connection to the current keeper, if any. */
void cmd_keeper_close(cmd_t *cmd);

/**
 * cmd_fetch - fetch the changes after a revision, confirmed by a quorum.
 * @cmd: the keepers
 * @have: revision that the caller has
 * @res: the response, to be freed with xdr_free()
 * @err: HL_ERR_UNAVAILABLE
 */
int cmd_fetch(cmd_t *cmd, uint64_t have, keeper_fetch_res_t *res,
	      hl_error_t *err);

/**
 * cmd_fetch_config - fetch the whole configuration, confirmed by a quorum.
 * @cmd: the keepers
 * @config: the configuration, to be freed with xdr_free()
 * @err: HL_ERR_UNAVAILABLE or HL_ERR_PROTOCOL
 */
int cmd_fetch_config(cmd_t *cmd, config_t *config, hl_error_t *err);

/**
 * cmd_change - submit a change, print the answer, and wait with --wait.
 * @cmd: the keepers
 * @options: id, author, whether to wait
 * @change: items and base revision; the id, author and time are filled in
 *
 * Return: the exit code.
 */
cmd_exit_t cmd_change(cmd_t *cmd, const cmd_change_options_t *options,
		      config_change_t *change);

/**
 * cmd_change_find_outcome - look up the answer to an earlier use of the id.
 * @cmd: the keepers
 * @options: options with the id; if it is NULL, nothing is looked up
 * @code: set to the exit code if the return value is true
 *
 * Prints the recorded answer, so that a repeated command does not submit the
 * change a second time.
 *
 * Return: true if the command is complete: the answer was found, or the look-up
 * failed.
 */
bool cmd_change_find_outcome(cmd_t *cmd, const cmd_change_options_t *options,
			     cmd_exit_t *code);

/**
 * cmd_submit - submit a change and wait for its answer.
 * @cmd: the keepers
 * @change: the change, with an id
 * @answer: the answer, to be freed with xdr_free()
 * @err: HL_ERR_LIMIT if the change is too large, HL_ERR_UNAVAILABLE if it was
 *       not sent, HL_ERR_TIMEOUT if it was sent and its outcome is unknown
 */
int cmd_submit(cmd_t *cmd, const config_change_t *change,
	       config_answer_t *answer, hl_error_t *err);

/** struct cmd_lagging_t - VMs that have not reported a given revision. */
typedef struct {
	unsigned reports; /* number of reports that are recent enough */
	GString *names;	  /* "vm-3 (revision 7)", comma-separated */
	json_t *list;	  /* the same VMs as JSON objects */
} cmd_lagging_t;

/**
 * cmd_wait - wait until a revision is in force on all VMs that report.
 * @cmd: the keepers that collect the reports
 * @revision: the revision
 * @seconds: time limit
 * @lagging: the VMs with an older revision; free it with cmd_lagging_free()
 *
 * Return: true if the revision is in force on all of these VMs, false if the
 * time limit is reached first.
 */
bool cmd_wait(cmd_t *cmd, uint64_t revision, int seconds,
	      cmd_lagging_t *lagging);

/** cmd_lagging_free - free the lists that cmd_wait() allocated. */
void cmd_lagging_free(cmd_lagging_t *lagging);

/**
 * cmd_keeper_state - fetch the state of one keeper.
 * @address: the keeper
 * @res: its state, to be freed with xdr_free()
 * @err: HL_ERR_UNAVAILABLE, or an error of the connection
 */
int cmd_keeper_state(const char *address, keeper_state_res_t *res,
		     hl_error_t *err);

/**
 * cmd_drained - check that no live entry has calls at a stopped copy.
 * @entries: control addresses of entries; the members that these entries list
 *           are added, and are queried too
 * @names: service and copy
 * @revision: revision in which the stop is in force
 * @not_drained: set to the entries that have an older revision, have calls in
 *               flight at the copy, may still send some, or did not respond
 *
 * Return: true if there is no such entry.
 */
bool cmd_drained(GPtrArray *entries, char **names, uint64_t revision,
		 GString *not_drained);

/**
 * cmd_http_get - send a GET request to the control port of an entry.
 * @address: "ip:port"
 * @path: such as "/v1/status"
 * @err: HL_ERR_UNAVAILABLE, or HL_ERR_USAGE for an invalid address
 *
 * Return: the response body, to be freed with g_free(), or NULL.
 */
char *cmd_http_get(const char *address, const char *path, hl_error_t *err);

#endif
