#include <string.h>
#include "entry-io.h"

#define FIELD(name) offsetof(entry_settings_t, name)
#define HOUR_MS 3600000

const setting_t entry_settings[] = {
	{ "node", "name", SETTING_NAME, FIELD(name), true, NULL, 0, 0,
	  "name of this VM" },
	{ "node", "zone", SETTING_NAME, FIELD(zone), true, NULL, 0, 0,
	  "availability zone of this VM" },
	{ "node", "region", SETTING_NAME, FIELD(region), false, "local", 0, 0,
	  "region of this VM; its entries form one group" },
	{ "node", "address", SETTING_IP, FIELD(address), true, NULL, 0, 0,
	  "IP number of all ports" },
	{ "node", "log_level", SETTING_LEVEL, FIELD(log_level), false, "info",
	  0, 0, "lines less severe are dropped" },
	{ "node", "key_file", SETTING_TEXT, FIELD(key_file), false, "", 0, 0,
	  "file of the keys that the region's entries share; none: any host "
	  "is trusted" },
	{ "node", "interface", SETTING_NAME, FIELD(interface), false, "hemlock",
	  0, 0, "whose names headers have, hemlock or platform" },
	{ "entry", "routed", SETTING_BOOLEAN, FIELD(routed), false, "false", 0,
	  0,
	  "whether calls go by routes of host and path, and routes and copies "
	  "come from the keepers" },
	{ "entry", "call_listen", SETTING_ADDRESS, FIELD(call_listen), false,
	  NULL, 0, 0,
	  "\"ip:port\" of calls, in place of the address and call_port" },
	{ "entry", "control_listen", SETTING_ADDRESS, FIELD(control_listen),
	  false, NULL, 0, 0,
	  "\"ip:port\" of health and metrics, in place of the address and "
	  "control_port" },
	{ "entry", "connect_ms", SETTING_INTEGER, FIELD(connect_ms), false,
	  "1000", 10, 60000, "milliseconds to connect to a copy" },
	{ "entry", "spares", SETTING_INTEGER, FIELD(spares), false, "4", 0,
	  ENTRY_PRECONNECTED_MAX,
	  "connections opened ahead to a copy for calls that may run once" },
	{ "entry", "retry_ratio", SETTING_REAL, FIELD(retry_ratio), false,
	  "0.1", 0, 1,
	  "with retry_slack: sends beyond the first of each call, as a share "
	  "of the calls" },
	{ "entry", "retry_slack", SETTING_INTEGER, FIELD(retry_slack), false,
	  "0", 0, 1000000,
	  "and so many more in retry_window_s, of one service over all "
	  "entries; 0: the profile bounds them" },
	{ "entry", "retry_window_s", SETTING_INTEGER, FIELD(retry_window_s),
	  false, "10", 1, 3600,
	  "seconds in which retry_ratio and retry_slack hold, whenever they "
	  "begin" },
	{ "entry", "cluster", SETTING_NAME, FIELD(cluster), false, "hemlock", 0,
	  0, "name that all keepers share" },
	{ "entry", "beat_ms", SETTING_INTEGER, FIELD(beat_ms), false, "1000",
	  50, 60000, "milliseconds between datagrams to the keepers" },
	{ "entry", "call_port", SETTING_INTEGER, FIELD(call_port), false,
	  "7080", 1, 65535, "TCP port of calls" },
	{ "entry", "control_port", SETTING_INTEGER, FIELD(control_port), false,
	  "7081", 1, 65535, "TCP port of look-ups, announcements, metrics" },
	{ "entry", "rpc_port", SETTING_INTEGER, FIELD(rpc_port), false, "7082",
	  1, 65535, "TCP port for following the configuration" },
	{ "entry", "peer_port", SETTING_INTEGER, FIELD(peer_port), false,
	  "7083", 1, 65535, "UDP port between entries" },
	{ "entry", "peer_bind", SETTING_ADDRESS, FIELD(peer_bind), false, NULL,
	  0, 0,
	  "\"ip:port\" of the UDP socket, where it is not the address and "
	  "peer_port that the others know" },
	{ "entry", "http_threads", SETTING_INTEGER, FIELD(http_threads), false,
	  "2", 1, 64, "threads that take calls" },
	{ "entry", "workers_max", SETTING_INTEGER, FIELD(workers_max), false,
	  "256", 1, 4096, "threads that send to copies" },
	{ "entry", "connections_max", SETTING_INTEGER, FIELD(connections_max),
	  false, "4096", 16, 65536, "connections of callers" },
	{ "entry", "head_ms", SETTING_INTEGER, FIELD(head_ms), false, "10000",
	  100, HOUR_MS, "milliseconds that the head of a call may take" },
	{ "entry", "keep_ms", SETTING_INTEGER, FIELD(keep_ms), false, "5000",
	  100, HOUR_MS, "milliseconds a look-up may be kept" },
	{ "entry", "interval_ms", SETTING_INTEGER, FIELD(interval_ms), false,
	  "1000", 50, 60000, "milliseconds between announcements of a copy" },
	{ "entry", "lease_ms", SETTING_INTEGER, FIELD(lease_ms), false, "3000",
	  200, 600000, "milliseconds that an announcement binds a copy" },
	{ "entry", "linger_ms", SETTING_INTEGER, FIELD(linger_ms), false,
	  "5000", 0, HOUR_MS, "milliseconds calls are taken after SIGTERM" },
	{ "entry", "stop_ms", SETTING_INTEGER, FIELD(stop_ms), false, "60000",
	  0, HOUR_MS, "milliseconds that calls in flight get to end" },
	{ "entry", "policy", SETTING_NAME, FIELD(policy), false, "owner", 0, 0,
	  "owner; with entry.routed reports; for comparison random, least or "
	  "two-choices" },
	{ "entry", "probe_path", SETTING_TEXT, FIELD(probe_path), false,
	  "/load", 0, 0, "what two-choices asks copies for" },
	{ "entry", "lending", SETTING_BOOLEAN, FIELD(lending), false, "true", 0,
	  0, "whether owners hand waiting calls to idle siblings" },
	{ "entry", "lend_bytes", SETTING_INTEGER, FIELD(lend_bytes), false,
	  "5000", 0, 100000000,
	  "bytes a second that lending may send, 0 for no bound" },
	{ "entry", "pipeline", SETTING_BOOLEAN, FIELD(pipeline), false, "true",
	  0, 0,
	  "whether copies get credits above their slots; false only for "
	  "comparison" },
	{ "entry", "seeds", SETTING_ADDRESSES, FIELD(seeds), false, NULL, 0, 0,
	  "peer addresses of other entries" },
	{ "claims", "group_1", SETTING_ADDRESSES, FIELD(claims.groups[0]),
	  false, NULL, 0, 0,
	  "peer addresses of the entries of one availability zone, the same "
	  "on every entry" },
	{ "claims", "group_2", SETTING_ADDRESSES, FIELD(claims.groups[1]),
	  false, NULL, 0, 0, "the same of a second zone" },
	{ "claims", "group_3", SETTING_ADDRESSES, FIELD(claims.groups[2]),
	  false, NULL, 0, 0, "the same of a third zone" },
	{ "claims", "timeout_ms", SETTING_INTEGER, FIELD(claims.timeout_ms),
	  false, "250", 5, 10000,
	  "milliseconds that the homes of a key get to answer" },
	{ "claims", "hold_max_s", SETTING_INTEGER, FIELD(claims.hold_max_s),
	  false, "3600", 1, 86400,
	  "seconds that a restarted home waits before it trusts its memory; "
	  "most that a key is kept" },
	{ "claims", "records_max", SETTING_INTEGER, FIELD(claims.records_max),
	  false, "65536", 16, 4194304, "keys that this entry keeps as a home" },
	{ "claims", "answers_kb", SETTING_INTEGER, FIELD(claims.answers_kb),
	  false, "16384", 0, 1048576, "KiB of answers kept to be given again" },
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
			  err))
		return -1;
	return settings_check(path, settings, err);
}
