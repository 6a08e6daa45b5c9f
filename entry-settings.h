#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "config-follow.h"
#include "headers.h"
#include "hemlock.h"
#include "toml.h"

/* The settings file of an entry. */

/* Replica groups in the settings; the record of an idempotency key has one
   replica in each group. */
#define ENTRY_CLAIM_GROUPS 3

/** struct entry_claim_settings_t - the settings table [claims] of an entry. */
typedef struct {
	setting_list_t groups[ENTRY_CLAIM_GROUPS];
	int64_t timeout_ms;  /* timeout for the responses of a key's replicas */
	int64_t records_max; /* keys stored on this entry as a replica */
	int64_t hold_max_s;  /* maximum key_hold_s of a profile */
	int64_t answers_kb;  /* size of the cache of responses to replay, KiB */
} entry_claim_settings_t;

/** struct entry_settings_t - the settings file of an entry. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char region[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX]; /* IP address of all ports */
	log_level_t log_level;
	char key_file[HL_MESSAGE_MAX]; /* "": messages are not signed */
	int64_t call_port;
	int64_t control_port;
	int64_t rpc_port;
	int64_t peer_port;
	char peer_bind[HL_ADDRESS_MAX]; /* "": address and peer_port */
	char interface[HL_NAME_MAX];
	const headers_t *headers; /* header names of the interface */
	bool routed; /* match calls by host and path to routes of the keepers */
	char call_listen[HL_ADDRESS_MAX];      /* "": address and call_port */
	char control_listen[HL_ADDRESS_MAX];   /* "": address, control_port */
	char directory_listen[HL_ADDRESS_MAX]; /* "": no look-ups answered */
	char connect_from[HL_ADDRESS_MAX]; /* source IP address of sends; "" */
	int64_t connect_ms;		   /* connect timeout */
	int64_t spares;			   /* preconnected sockets per copy */
	double retry_ratio;  /* retries per call; used if retry_slack is set */
	int64_t retry_slack; /* retries per service over all entries */
	int64_t retry_window_s; /* sliding window of retry_ratio, retry_slack */
	double probes_per_s;	/* to a copy, of all entries; 0: no limit */
	int64_t beat_ms;	/* interval of datagrams to the keepers */
	char cluster[HL_NAME_MAX]; /* name of the keeper cluster */
	int64_t http_threads;	   /* threads that receive calls */
	int64_t workers_max;	   /* threads that send to copies */
	int64_t connections_max;   /* connections of callers */
	int64_t head_ms;	   /* timeout for the head of a request */
	int64_t keep_ms;	   /* how long a look-up may be cached */
	int64_t interval_ms;	   /* interval of announcements of a copy */
	int64_t lease_ms;	   /* validity of an announcement */
	int64_t accept_ms; /* time after SIGTERM in which all calls are */
	int64_t linger_ms; /* time after SIGTERM in which calls are accepted */
	int64_t stop_ms;   /* limit for calls in flight at shutdown */
	double grace_s;	   /* time from SIGTERM to SIGKILL; 0: not known */
	char policy[HL_NAME_MAX];
	char probe_path[HL_MESSAGE_MAX]; /* used by the policy "two-choices" */
	bool lending;	      /* hand waiting calls over to idle owners */
	int64_t lend_bytes;   /* limit of lending traffic, bytes per second */
	bool pipeline;	      /* give a copy more credits than it has slots */
	setting_list_t seeds; /* peer addresses of other entries */
	config_follow_settings_t follow;
	entry_claim_settings_t claims;
} entry_settings_t;

/* Description of the settings, for the parser and for --help-settings. */
extern const setting_t entry_settings[];
extern const size_t entry_settings_count;

/**
 * entry_settings_load - read and check the settings file of an entry.
 *
 * The environment variable HEMLOCK_GRACE_S replaces entry.grace_s.
 *
 * Return: 0, or -1 with @err set.
 */
int entry_settings_load(const char *path, entry_settings_t *settings,
			hl_error_t *err);

#endif
