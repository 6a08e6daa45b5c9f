#include <stdio.h>
#include <string.h>
#include "keeper-core.h"

/* The settings file of a keeper: its table, the checks that span several keys,
 * and addresses made from it. */

#define KEEPER_FAULT_TOLERANCE_MAX 1000
#define KEEPER_FAULT_TOLERANCE_VARIABLE "HEMLOCK_FAULT_TOLERANCE"

#define KEEPER_SETTING(table, key, field, kind, required, preset, min, max, \
		       help)                                                \
	{                                                                   \
		table, key, kind, offsetof(keeper_settings_t, field),       \
			required, preset, min, max, help                    \
	}

const setting_t keeper_settings_table[] = {
	KEEPER_SETTING("node", "name", name, SETTING_NAME, true, NULL, 0, 0,
		       "name of this VM"),
	KEEPER_SETTING("node", "zone", zone, SETTING_NAME, true, NULL, 0, 0,
		       "availability zone of this VM"),
	KEEPER_SETTING("node", "address", address, SETTING_IP, true, NULL, 0, 0,
		       "IP address to listen on"),
	KEEPER_SETTING("node", "log_level", log_level, SETTING_LEVEL, false,
		       "info", 0, 0, "lowest severity that is logged"),
	KEEPER_SETTING("node", "interface", interface, SETTING_NAME, false,
		       "hemlock", 0, 0,
		       "set of header names, hemlock or platform"),
	KEEPER_SETTING("keeper", "cluster", cluster, SETTING_NAME, false,
		       "hemlock", 0, 0,
		       "name of the cluster, the same on all keepers"),
	KEEPER_SETTING("keeper", "port", port, SETTING_INTEGER, false, "7090",
		       1, 65535, "TCP port for ONC RPC"),
	KEEPER_SETTING("keeper", "metrics_port", metrics_port, SETTING_INTEGER,
		       false, "0", 0, 65535,
		       "TCP port for /metrics and /v1/health; 0: none"),
	KEEPER_SETTING("keeper", "data", data, SETTING_TEXT, true, NULL, 0, 0,
		       "data folder on this VM's disk, which must exist"),
	KEEPER_SETTING(
		"keeper", "names", names, SETTING_NAMES, false, NULL, 0, 0,
		"names of the founding keepers' VMs, including this one"),
	KEEPER_SETTING(
		"keeper", "addresses", addresses, SETTING_ADDRESSES, false,
		NULL, 0, 0,
		"address of each of them as seen from here, in that order"),
	KEEPER_SETTING("keeper", "seeds", seeds, SETTING_ADDRESSES, false, NULL,
		       0, 0,
		       "in place of names and addresses: \"ip:port\" of "
		       "some keepers, with any port; all keepers then have "
		       "their IP address as name and the same keeper.port, and "
		       "further ones are added automatically"),
	KEEPER_SETTING("keeper", "fault_tolerance", fault_tolerance,
		       SETTING_INTEGER, false, "0", 0,
		       KEEPER_FAULT_TOLERANCE_MAX,
		       "keepers that may be lost at the same time, 0: as many "
		       "as those of the first start bear; with seeds, a "
		       "silent keeper is removed only while more than twice "
		       "as many and one vote; HEMLOCK_FAULT_TOLERANCE "
		       "replaces it"),
	KEEPER_SETTING(
		"keeper", "first_start", first_start, SETTING_BOOLEAN, false,
		"true", 0, 0,
		"whether this keeper may create the cluster on an empty disk"),
	KEEPER_SETTING("keeper", "control", control, SETTING_ADDRESS, false,
		       NULL, 0, 0,
		       "\"ip:port\" for routing changes and announcements of "
		       "copies; the port must be the same on all keepers"),
	KEEPER_SETTING("keeper", "directory", directory, SETTING_ADDRESS, false,
		       NULL, 0, 0, "\"ip:port\" where callers look entries up"),
	KEEPER_SETTING("keeper", "directory_keep_s", directory_keep_s,
		       SETTING_INTEGER, false, "2", 1, 3600,
		       "seconds for which callers may cache a look-up"),
	KEEPER_SETTING("keeper", "silence_ms", silence_ms, SETTING_INTEGER,
		       false, "20000", 100, 3600000,
		       "milliseconds without an announcement after which a "
		       "copy is removed"),
	KEEPER_SETTING("keeper", "heartbeat_ms", heartbeat_ms, SETTING_INTEGER,
		       false, "150", 5, 60000,
		       "milliseconds between a leader's heartbeats"),
	KEEPER_SETTING("keeper", "election_ms", election_ms, SETTING_INTEGER,
		       false, "1000", 50, 600000,
		       "minimum election timeout in milliseconds"),
	KEEPER_SETTING("keeper", "rpc_timeout_ms", rpc_timeout_ms,
		       SETTING_INTEGER, false, "500", 10, 60000,
		       "timeout in milliseconds of a call to another keeper"),
	KEEPER_SETTING("keeper", "snapshot_entries", snapshot_entries,
		       SETTING_INTEGER, false, "256", 4, 100000,
		       "entries after which a snapshot replaces the log"),
};

const size_t keeper_settings_count = sizeof(keeper_settings_table) /
				     sizeof(keeper_settings_table[0]);

static bool keeper_settings_has_duplicate(const setting_list_t *names)
{
	unsigned i, j;

	for (i = 0; i < names->count; i++)
		for (j = 0; j < i; j++)
			if (!strcmp(names->items[i], names->items[j]))
				return true;
	return false;
}

static bool keeper_settings_lists_itself(const keeper_settings_t *settings)
{
	unsigned i;

	for (i = 0; i < settings->names.count; i++)
		if (!strcmp(settings->names.items[i], settings->name))
			return true;
	return false;
}

/* Derive the founders' names and addresses from the seeds. The name of such a
 * keeper is its IP address. */
static int keeper_settings_apply_seeds(const char *path,
				       keeper_settings_t *settings,
				       hl_error_t *err)
{
	unsigned i;

	if (settings->names.count || settings->addresses.count ||
	    strcmp(settings->name, settings->address))
		return hl_error_set(
			err, HL_ERR_SETTINGS,
			"%s: with keeper.seeds, node.name must equal "
			"node.address, and keeper.names and "
			"keeper.addresses must be removed; correct "
			"them",
			path);
	for (i = 0; i < settings->seeds.count && i < KEEPER_VOTERS_MAX; i++) {
		char *name = settings->names.items[i];

		strcpy(name, settings->seeds.items[i]);
		*strrchr(name, ':') = '\0';
		snprintf(settings->addresses.items[i], HL_ADDRESS_MAX,
			 "%.50s:%u", name, (uint16_t)settings->port);
	}
	settings->names.count = settings->addresses.count = i;
	return 0;
}

/* Check the founders' names and addresses against each other. */
static int keeper_settings_check_founders(const char *path,
					  const keeper_settings_t *settings,
					  hl_error_t *err)
{
	if (settings->names.count != settings->addresses.count)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: keeper.names has %u items and "
				    "keeper.addresses %u; give one address for "
				    "each name, in the same order",
				    path, settings->names.count,
				    settings->addresses.count);
	if (!settings->names.count || settings->names.count > KEEPER_VOTERS_MAX)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: keeper.names must have 1 to %d items; "
				    "use 3 or 5",
				    path, KEEPER_VOTERS_MAX);
	if (keeper_settings_has_duplicate(&settings->names) ||
	    (!settings->seeds.count && !keeper_settings_lists_itself(settings)))
		return hl_error_set(
			err, HL_ERR_SETTINGS,
			"%s: keeper.names must have each keeper once "
			"and include node.name; add %s or remove the "
			"duplicate",
			path, settings->name);
	return 0;
}

static int keeper_settings_check(const char *path, keeper_settings_t *settings,
				 hl_error_t *err)
{
	if (settings->seeds.count &&
	    keeper_settings_apply_seeds(path, settings, err))
		return -1;
	if (keeper_settings_check_founders(path, settings, err))
		return -1;
	settings->headers = headers_find(settings->interface);
	if (!settings->headers)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: node.interface is \"%s\"; set it to "
				    "%s",
				    path, settings->interface,
				    headers_interface_names());
	if (settings->election_ms < 3 * settings->heartbeat_ms)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: keeper.election_ms must be at least "
				    "three times keeper.heartbeat_ms; raise it",
				    path);
	return 0;
}

int keeper_settings_load(const char *path, keeper_settings_t *settings,
			 hl_error_t *err)
{
	double fault_tolerance;

	memset(settings, 0, sizeof(*settings));
	if (settings_load(path, keeper_settings_table, keeper_settings_count,
			  settings, err))
		return -1;
	fault_tolerance = (double)settings->fault_tolerance;
	if (settings_read_variable(KEEPER_FAULT_TOLERANCE_VARIABLE,
				   SETTING_INTEGER, KEEPER_FAULT_TOLERANCE_MAX,
				   &fault_tolerance, err))
		return -1;
	settings->fault_tolerance = (int64_t)fault_tolerance;
	return keeper_settings_check(path, settings, err);
}

void keeper_settings_address(const keeper_settings_t *settings, int64_t port,
			     char out[HL_ADDRESS_MAX])
{
	bool ipv6 = strchr(settings->address, ':') != NULL;

	snprintf(out, HL_ADDRESS_MAX, "%s%.45s%s:%u", ipv6 ? "[" : "",
		 settings->address, ipv6 ? "]" : "", (uint16_t)port);
}

void keeper_settings_rpc_address(const keeper_settings_t *settings,
				 char out[HL_ADDRESS_MAX])
{
	keeper_settings_address(settings, settings->port, out);
}
