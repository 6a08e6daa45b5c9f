#ifndef CMD_H
#define CMD_H

#include <glib.h>
#include <jansson.h>
#include "config.h"
#include "toml.h"

/* The operators' commands: one file each, run from the table in cmd-table.c. */

/** enum cmd_exit_t - exit codes of hemlockctl; they never change. */
typedef enum {
	CMD_OK = 0,
	CMD_FAILED = 1,		/* anything not named below */
	CMD_USAGE = 2,		/* wrong option or argument */
	CMD_DECLARATION = 3,	/* a declaration or settings file is refused */
	CMD_CONFLICT = 4,	/* another change came first */
	CMD_REFUSED = 5,	/* a rule of the configuration forbids it */
	CMD_UNAVAILABLE = 6,	/* no keeper or entry answered in time */
	CMD_NOT_EVERYWHERE = 7, /* accepted, but some VMs lack it */
	CMD_UNKNOWN = 8,	/* sent, outcome unknown: same --id again */
	CMD_DIFFERS = 9,	/* plan, diff: declared is not accepted */
} cmd_exit_t;

/** struct cmd_t - the options that all commands share, and the keeper. */
typedef struct {
	char *keepers;	     /* --keepers */
	char *settings_file; /* --settings */
	gboolean json;	     /* --json */
	gint timeout_s;	     /* --timeout */
	setting_list_t list; /* of keepers */
	CLIENT *client;	     /* to the keeper asked last */
	unsigned at;	     /* its place in the list */
} cmd_t;

/** struct cmd_entry_t - one command. */
typedef struct {
	const char *name;
	const char *arguments;
	const char *summary;
	const GOptionEntry *options; /* its own, or NULL */
	int arguments_min, arguments_max;
	cmd_exit_t (*run)(cmd_t *cmd, char **arguments);
} cmd_entry_t;

extern const cmd_entry_t cmd_entries[];

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

/** struct cmd_change_options_t - options of the commands that change. */
typedef struct {
	char *id;      /* --id: of the change; random when NULL */
	char *author;  /* --author: the user's name when NULL */
	gboolean wait; /* --wait: until it is in force everywhere */
	gint wait_s;   /* --wait-seconds */
} cmd_change_options_t;

/* Most seconds until a change is in force everywhere. */
#define CMD_WAIT_S 11

/** CMD_CHANGE_OPTIONS - rows for the options of a command that changes. */
#define CMD_CHANGE_OPTIONS(o)                                                 \
	{                                                                     \
		"id",                                                         \
		0,                                                            \
		0,                                                            \
		G_OPTION_ARG_STRING,                                          \
		&(o).id,                                                      \
		"Id of the change; the same id again gives its first answer", \
		"ID"                                                          \
	},                                                                    \
		{ "author",    0,                                             \
		  0,	       G_OPTION_ARG_STRING,                           \
		  &(o).author, "Who made it, for the history",                \
		  "NAME" },                                                   \
		{ "wait",    0,                                               \
		  0,	     G_OPTION_ARG_NONE,                               \
		  &(o).wait, "Return when it is in force everywhere",         \
		  NULL },                                                     \
	{                                                                     \
		"wait-seconds", 0, 0, G_OPTION_ARG_INT, &(o).wait_s,          \
			"Wait at most so long (11)", "SECONDS"                \
	}

/** cmd_fail - print an error; the exit code of its kind. */
cmd_exit_t cmd_fail(const cmd_t *cmd, const hl_error_t *err);

/** cmd_print_unchanged - say that nothing is to be changed; CMD_OK. */
cmd_exit_t cmd_print_unchanged(const cmd_t *cmd, uint64_t revision);

/** cmd_print_json - print and free a JSON value. */
void cmd_print_json(json_t *value);

/** enum cmd_step_t - what to do after one question to a keeper. */
typedef enum {
	CMD_STEP_DONE,
	CMD_STEP_WAIT,	 /* ask the same one again a little later */
	CMD_STEP_LEADER, /* go to the address left in @leader */
	CMD_STEP_NEXT,	 /* go to the next keeper */
} cmd_step_t;

/** cmd_ask_t - one question; @leader has room for HL_ADDRESS_MAX. */
typedef cmd_step_t (*cmd_ask_t)(CLIENT *client, void *context, char *leader);

/**
 * cmd_keeper_run - ask keepers until one step is done or time is up.
 * @cmd: whose keepers
 * @ask: one question
 * @context: for @ask
 * @err: HL_ERR_UNAVAILABLE when time is up
 */
int cmd_keeper_run(cmd_t *cmd, cmd_ask_t ask, void *context, hl_error_t *err);

/** cmd_keeper_close - end the connection to a keeper, if there is one. */
void cmd_keeper_close(cmd_t *cmd);

/** cmd_fetch - one confirmed answer of what came after @have. */
int cmd_fetch(cmd_t *cmd, uint64_t have, keeper_fetch_res_t *res,
	      hl_error_t *err);

/** cmd_config - the configuration as a quorum confirms it now. */
int cmd_config(cmd_t *cmd, config_t *config, hl_error_t *err);

/**
 * cmd_change - send a change, print its answer, wait if asked to.
 * @cmd: the keepers
 * @options: id, author, whether to wait
 * @change: items and the revision seen; its id, author and time are set
 */
cmd_exit_t cmd_change(cmd_t *cmd, const cmd_change_options_t *options,
		      config_change_t *change);

/**
 * cmd_change_known - the first answer of options->id, if it was sent before.
 * @code: the exit code, set when it is known
 *
 * Return: true when nothing is left to do.
 */
bool cmd_change_known(cmd_t *cmd, const cmd_change_options_t *options,
		      cmd_exit_t *code);

/** cmd_submit - send a change until its answer is known. */
int cmd_submit(cmd_t *cmd, const config_change_t *change,
	       config_answer_t *answer, hl_error_t *err);

/** struct cmd_lacking_t - VMs that have not said they have a revision. */
typedef struct {
	unsigned reports; /* fresh reports that were looked at */
	GString *names;	  /* "vm-3 (revision 7)", comma-separated */
	json_t *list;	  /* the same for --json */
} cmd_lacking_t;

/**
 * cmd_wait - until a revision is in force everywhere.
 * @lacking: filled in on failure; free it with cmd_lacking_free()
 *
 * Return: true when it is.
 */
bool cmd_wait(cmd_t *cmd, uint64_t revision, int seconds,
	      cmd_lacking_t *lacking);

/** cmd_lacking_free - free what cmd_wait() filled in. */
void cmd_lacking_free(cmd_lacking_t *lacking);

/** cmd_keeper_state - the state of one keeper; free it with xdr_free(). */
int cmd_keeper_state(const char *address, keeper_state_res_t *res,
		     hl_error_t *err);

/**
 * cmd_drained - is a stopped copy without calls at all live entries?
 * @entries: control addresses; those of the members that they know are added
 *           and are asked from then on
 * @names: service and copy
 * @revision: the stop is in force once an entry has it
 * @lacking: becomes the entries that lack it, have calls there, may still
 *           send some or give no answer
 */
bool cmd_drained(GPtrArray *entries, char **names, uint64_t revision,
		 GString *lacking);

/**
 * cmd_http_get - GET from an entry's control port.
 * @address: "ip:port"
 * @path: "/v1/status"
 * @err: HL_ERR_UNAVAILABLE
 *
 * Return: the body, to be freed with g_free(), or NULL.
 */
char *cmd_http_get(const char *address, const char *path, hl_error_t *err);

#endif
