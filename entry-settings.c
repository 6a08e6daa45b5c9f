#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/*
 * The settings of an entry with their defaults and ranges, and the checks that
 * concern more than one of them.
 */

#define FIELD(name) offsetof(entry_settings_t, name)
#define HOUR_MS 3600000
#define GRACE_S_MAX 3600
#define GRACE_VARIABLE "HEMLOCK_GRACE_S"

const setting_t entry_settings[] = {
	{ "node", "name", SETTING_NAME, FIELD(name), true, NULL, 0, 0,
	  "name of this VM" },
	{ "node", "zone", SETTING_NAME, FIELD(zone), true, NULL, 0, 0,
	  "availability zone of this VM" },
	{ "node", "region", SETTING_NAME, FIELD(region), false, "local", 0, 0,
	  "region of this VM; its entries form one group" },
	{ "node", "address", SETTING_IP, FIELD(address), true, NULL, 0, 0,
	  "IP address of all ports" },
	{ "node", "log_level", SETTING_LEVEL, FIELD(log_level), false, "info",
	  0, 0, "log lines of lower severity are dropped" },
	{ "node", "key_file", SETTING_TEXT, FIELD(key_file), false, "", 0, 0,
	  "file of the keys shared by the entries of the region; "
	  "none: any host is trusted" },
	{ "node", "interface", SETTING_NAME, FIELD(interface), false, "hemlock",
	  0, 0, "naming of the HTTP headers, hemlock or platform" },
	{ "entry", "routed", SETTING_BOOLEAN, FIELD(routed), false, "false", 0,
	  0,
	  "whether calls are routed by host and path, with routes and copies "
	  "taken from the keepers" },
	{ "entry", "call_listen", SETTING_ADDRESS, FIELD(call_listen), false,
	  NULL, 0, 0,
	  "\"ip:port\" to listen on for calls, instead of address and "
	  "call_port" },
	{ "entry", "control_listen", SETTING_ADDRESS, FIELD(control_listen),
	  false, NULL, 0, 0,
	  "\"ip:port\" to listen on for health and metrics, instead of address "
	  "and control_port" },
	{ "entry", "directory_listen", SETTING_ADDRESS, FIELD(directory_listen),
	  false, NULL, 0, 0,
	  "\"ip:port\" to answer look-ups of entries on, with routed; if it is "
	  "not set, only keepers answer them" },
	{ "entry", "connect_from", SETTING_IP, FIELD(connect_from), false, NULL,
	  0, 0,
	  "IP address that calls and probes are sent from; the system chooses "
	  "one if it is not set; needs spares = 0" },
	{ "entry", "connect_ms", SETTING_INTEGER, FIELD(connect_ms), false,
	  "1000", 10, 60000, "milliseconds until a connect to a copy fails" },
	{ "entry", "spares", SETTING_INTEGER, FIELD(spares), false, "4", 0,
	  ENTRY_PRECONNECTED_MAX,
	  "connections opened in advance to a copy, for calls that may run only "
	  "once" },
	{ "entry", "retry_ratio", SETTING_REAL, FIELD(retry_ratio), false,
	  "0.1", 0, 1,
	  "with retry_slack: second and later sends of a call, as a fraction of "
	  "the calls" },
	{ "entry", "retry_slack", SETTING_INTEGER, FIELD(retry_slack), false,
	  "0", 0, 1000000,
	  "additional second and later sends in retry_window_s, of one service "
	  "over all entries; 0: the retry budget of the profile applies instead" },
	{ "entry", "retry_window_s", SETTING_INTEGER, FIELD(retry_window_s),
	  false, "10", 1, 3600,
	  "seconds of the sliding window of retry_ratio and retry_slack" },
	{ "entry", "probes_per_s", SETTING_REAL, FIELD(probes_per_s), false,
	  "0", 0, 1000000,
	  "probes of each copy per second of all entries together, on average "
	  "over the copies of a service; 0: no limit" },
	{ "entry", "cluster", SETTING_NAME, FIELD(cluster), false, "hemlock", 0,
	  0, "name of the cluster, the same on all keepers" },
	{ "entry", "beat_ms", SETTING_INTEGER, FIELD(beat_ms), false, "1000",
	  50, 60000, "milliseconds between presence datagrams to the keepers" },
	{ "entry", "call_port", SETTING_INTEGER, FIELD(call_port), false,
	  "7080", 1, 65535, "TCP port of calls" },
	{ "entry", "control_port", SETTING_INTEGER, FIELD(control_port), false,
	  "7081", 1, 65535, "TCP port of look-ups, announcements, metrics" },
	{ "entry", "rpc_port", SETTING_INTEGER, FIELD(rpc_port), false, "7082",
	  1, 65535,
	  "TCP port for passing the configuration on to other entries" },
	{ "entry", "peer_port", SETTING_INTEGER, FIELD(peer_port), false,
	  "7083", 1, 65535, "UDP port between entries" },
	{ "entry", "peer_bind", SETTING_ADDRESS, FIELD(peer_bind), false, NULL,
	  0, 0,
	  "\"ip:port\" of the UDP socket, if it differs from the address and "
	  "peer_port that other entries send to" },
	{ "entry", "http_threads", SETTING_INTEGER, FIELD(http_threads), false,
	  "2", 1, 64, "threads that receive calls" },
	{ "entry", "workers_max", SETTING_INTEGER, FIELD(workers_max), false,
	  "256", 1, 4096, "maximum threads that send to copies" },
	{ "entry", "connections_max", SETTING_INTEGER, FIELD(connections_max),
	  false, "4096", 16, 65536, "maximum connections of callers" },
	{ "entry", "head_ms", SETTING_INTEGER, FIELD(head_ms), false, "10000",
	  100, HOUR_MS,
	  "milliseconds within which the header of a call must arrive" },
	{ "entry", "keep_ms", SETTING_INTEGER, FIELD(keep_ms), false, "5000",
	  100, HOUR_MS, "milliseconds for which a look-up may be cached" },
	{ "entry", "interval_ms", SETTING_INTEGER, FIELD(interval_ms), false,
	  "1000", 50, 60000, "milliseconds between announcements of a copy" },
	{ "entry", "lease_ms", SETTING_INTEGER, FIELD(lease_ms), false, "3000",
	  200, 600000,
	  "milliseconds of an owner's lease of a copy, from its last "
	  "announcement" },
	{ "entry", "accept_ms", SETTING_INTEGER, FIELD(accept_ms), false, "0",
	  0, HOUR_MS,
	  "milliseconds after SIGTERM in which all calls are accepted; later "
	  "ones only if they end before the process" },
	{ "entry", "linger_ms", SETTING_INTEGER, FIELD(linger_ms), false,
	  "5000", 0, HOUR_MS,
	  "milliseconds in which calls are still accepted after SIGTERM" },
	{ "entry", "stop_ms", SETTING_INTEGER, FIELD(stop_ms), false, "60000",
	  0, HOUR_MS,
	  "milliseconds for calls in flight to end when the entry stops" },
	{ "entry", "grace_s", SETTING_REAL, FIELD(grace_s), false, "0", 0,
	  GRACE_S_MAX,
	  "seconds from SIGTERM until the process is killed, in place of "
	  "linger_ms + stop_ms as the end of calls in flight; 0: not known; "
	  "HEMLOCK_GRACE_S replaces it" },
	{ "entry", "policy", SETTING_NAME, FIELD(policy), false, "owner", 0, 0,
	  "choice of copies: owner, or reports with entry.routed; random, least "
	  "and two-choices are for comparison" },
	{ "entry", "probe_path", SETTING_TEXT, FIELD(probe_path), false,
	  "/load", 0, 0, "path of the load probes of two-choices" },
	{ "entry", "lending", SETTING_BOOLEAN, FIELD(lending), false, "true", 0,
	  0,
	  "whether owners hand waiting calls over to siblings with free credits" },
	{ "entry", "lend_bytes", SETTING_INTEGER, FIELD(lend_bytes), false,
	  "5000", 0, 100000000,
	  "maximum bytes per second of lending between owners, 0: unlimited" },
	{ "entry", "pipeline", SETTING_BOOLEAN, FIELD(pipeline), false, "true",
	  0, 0,
	  "whether copies get more credits than they have slots; false only "
	  "for comparison" },
	{ "entry", "seeds", SETTING_ADDRESSES, FIELD(seeds), false, NULL, 0, 0,
	  "peer addresses of other entries" },
	{ "claims", "group_1", SETTING_ADDRESSES, FIELD(claims.groups[0]),
	  false, NULL, 0, 0,
	  "peer addresses of the entries of one availability zone that store "
	  "claims, the same on every entry" },
	{ "claims", "group_2", SETTING_ADDRESSES, FIELD(claims.groups[1]),
	  false, NULL, 0, 0, "as group_1, for a second zone" },
	{ "claims", "group_3", SETTING_ADDRESSES, FIELD(claims.groups[2]),
	  false, NULL, 0, 0, "as group_1, for a third zone" },
	{ "claims", "timeout_ms", SETTING_INTEGER, FIELD(claims.timeout_ms),
	  false, "250", 5, 10000,
	  "milliseconds for the replicas of a key to answer a claim" },
	{ "claims", "hold_max_s", SETTING_INTEGER, FIELD(claims.hold_max_s),
	  false, "3600", 1, 86400,
	  "seconds until a restarted replica counts as complete without records "
	  "from the others; longest time that a key is stored" },
	{ "claims", "records_max", SETTING_INTEGER, FIELD(claims.records_max),
	  false, "65536", 16, 4194304,
	  "maximum keys that this entry stores as a replica" },
	{ "claims", "answers_kb", SETTING_INTEGER, FIELD(claims.answers_kb),
	  false, "16384", 0, 1048576,
	  "maximum KiB of responses stored for repeated calls" },
	CONFIG_FOLLOW_SETTINGS(entry_settings_t, follow),
};

const size_t entry_settings_count = sizeof(entry_settings) /
				    sizeof(entry_settings[0]);

static int settings_check(const char *path, entry_settings_t *settings,
			  hl_error_t *err)
{
	entry_policy_t policy;

	if (!entry_policy_parse(settings->policy, &policy))
		return hl_error_set(
			err, HL_ERR_SETTINGS,
			"%s: entry.policy is \"%s\"; set it to "
			"\"owner\" or \"reports\", or to \"random\", \"least\" or "
			"\"two-choices\" for a comparison",
			path, settings->policy);
	if (settings->lease_ms < 2 * settings->interval_ms)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: entry.lease_ms is below twice "
				    "entry.interval_ms; raise the lease or "
				    "shorten the interval",
				    path);
	settings->headers = headers_find(settings->interface);
	if (!settings->headers)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: node.interface is \"%s\"; set it to "
				    "%s",
				    path, settings->interface,
				    headers_interface_names());
	if (*settings->connect_from && settings->spares)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: entry.connect_from does not apply to "
				    "connections opened in advance; set "
				    "entry.spares = 0",
				    path);
	if (settings->routed && !settings->follow.keepers.count)
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s: entry.routed needs keepers; set "
				    "config.keepers or entry.routed = false",
				    path);
	return 0;
}

int entry_settings_load(const char *path, entry_settings_t *settings,
			hl_error_t *err)
{
	memset(settings, 0, sizeof(*settings));
	if (settings_load(path, entry_settings, entry_settings_count, settings,
			  err) ||
	    settings_read_variable(GRACE_VARIABLE, SETTING_REAL, GRACE_S_MAX,
				   &settings->grace_s, err))
		return -1;
	return settings_check(path, settings, err);
}
