#ifndef CONFIG_FOLLOW_INTERNAL_H
#define CONFIG_FOLLOW_INTERNAL_H

#include <curl/curl.h>
#include "config-confirm.h"
#include "config-follow.h"
#include "config-lag.h"
#include "config-report.h"
#include "config-sibling.h"
#include "config-source.h"
#include "config-start.h"
#include "config-tail.h"

/*
 * Internal state of a configuration follower, shared by the polling thread
 * (config-poll.c or config-direct.c) and the serving thread (config-serve.c).
 */
struct config_follow {
	char name[HL_NAME_MAX];
	char rpc_address[HL_ADDRESS_MAX];
	config_follow_settings_t settings;
	unsigned (*members)(void *context, owner_member_t *out, unsigned max);
	void *members_context;
	void (*changed)(void *context, const config_t *config);
	void (*on_confirmed)(void *context);
	void (*on_pending_copies)(void *context);
	void (*on_keepers)(void *context, const presence_keepers_t *keepers,
			   const char *sibling);
	void (*siblings)(void *context, setting_list_t *out);
	void (*sign)(void *context, const char *target, char hop[KEYS_HOP_MAX]);
	uint64_t cluster;
	void *changed_context;

	config_t *config;     /* RCU; written by the polling thread */
	usec_t newest_at;     /* of confirm; atomic; written under the lock */
	unsigned start_state; /* see config_follow_start_state(); likewise */
	/* Atomic; written under the lock; see config_follow_outdated(). */
	usec_t outdated_from, outdated_until;
	usec_t sibling_poll_at; /* last poll for a sibling's call; atomic */

	pthread_mutex_t lock;	    /* protects the fields below */
	pthread_cond_t wake;	    /* wakes config_follow_pause() */
	supervisor_t *threads;	    /* set while the child runs */
	bool triggered;		    /* ends the current config_follow_pause() */
	presence_keepers_t keepers; /* current control addresses */
	bool ready;		    /* see config_follow_ready() */
	uint64_t revision;	    /* revision of config */
	usec_t confirmed_at;	    /* time of the last confirmation */
	config_lag_t lag;	    /* of the revision in force */
	config_confirm_t confirm;   /* outside the tree */
	config_start_t start;	    /* outside the tree, until confirmed */
	/* The copies of the last response are being taken out of service. */
	bool start_recording;
	bool started; /* calls may be routed, see config_follow_check_start() */
	config_tail_t tail; /* deltas served to this entry's children */
	config_report_t report;

	/* Only the polling thread uses the fields below, down to jitter_seed.
	 * Exception: in a follower outside the fan-out tree, config_follow.lock
	 * protects the field leader. */
	config_source_t source;
	owner_member_t *live, *live_next; /* CONFIG_FOLLOW_MEMBERS_MAX each */
	unsigned live_count;
	usec_t live_changed_at;	 /* time of the last change of live */
	unsigned ancestor_steps; /* 0: poll the parent, 1: its parent, ... */
	unsigned ancestor_polls; /* polls since ancestor_steps increased */
	unsigned keeper_index;	 /* next keeper to poll */
	/* Leading keeper, or "" if unknown. Outside the tree, before the first
	 * configuration, also a keeper that has reported one. */
	char leader[HL_ADDRESS_MAX];
	config_summary_t last_report; /* last report sent */
	unsigned jitter_seed;	      /* state of the jitter generator */

	SVCXPRT *listener;
	CURL *easy;   /* HTTP client of a follower outside the tree */
	CURLM *multi; /* its transfers; lock protects the pointer */
	config_start_response_t response; /* over HTTP, the last one */
	unsigned failed_polls; /* over HTTP, since the last response */
	/* Over HTTP, since the last response of a leading keeper. */
	unsigned unconfirmed_polls;
	config_sibling_t sibling;
	bool by_sibling;	/* a sibling has named the polled keeper */
	unsigned sibling_drops; /* answers that were dropped */

	struct {
		uint64_t *revision, *deltas, *full_configs, *failures;
		uint64_t *sibling_questions, *sibling_drops;
		uint64_t *keepers_drops;
	} metrics;
};

/*
 * Placeholder for the newest revision in a response of a parent. Only keepers
 * can confirm which revision is the newest, so the response of a parent is
 * published but does not make a follower ready.
 */
#define CONFIG_UNCONFIRMED UINT64_MAX

/**
 * config_publish - merge a response and publish the new configuration.
 * @follow: the follower
 * @body: deltas or a full configuration
 * @newest: newest revision at the keeper, or CONFIG_UNCONFIRMED for a response
 *          of a parent
 * @confirmed_at: time at which the sender's revision was confirmed
 *
 * Return: 0; -1 if out of memory, or if the deltas do not start right after the
 * revision in force.
 */
int config_publish(config_follow_t *follow, const keeper_fetch_body_t *body,
		   uint64_t newest, usec_t confirmed_at);

/**
 * config_follow_update_lag - publish what has changed in follow->lag.
 *
 * The caller holds the lock of @follow.
 */
void config_follow_update_lag(config_follow_t *follow);

/**
 * config_follow_record_start - record a response that no leader confirms.
 * @follow: a follower outside the tree, not confirmed yet
 * @response: the response, whose configuration is in force
 * @revision: revision of that configuration; 0: none
 */
void config_follow_record_start(config_follow_t *follow,
				const config_start_response_t *response,
				uint64_t revision, usec_t now);

/**
 * config_direct_connect_timeout_ms - connect timeout of a poll over HTTP.
 * @failures: polls without a response since the last one
 */
long config_direct_connect_timeout_ms(unsigned failures);

/**
 * config_follow_offer_keepers - replace the list of keepers by one that is not older.
 * @keepers: control addresses, with their revision
 * @reporter: from where they are, for the log
 *
 * The caller holds the lock of @follow.
 */
void config_follow_offer_keepers(config_follow_t *follow,
				 const presence_keepers_t *keepers,
				 const char *reporter);

/**
 * config_follow_drop_keepers - count a list of keepers that was dropped, and log some.
 * @result: why
 *
 * Otherwise as config_follow_offer_keepers(), which calls it.
 */
void config_follow_drop_keepers(config_follow_t *follow,
				const presence_keepers_t *keepers,
				presence_keepers_result_t result,
				const char *reporter);

/** config_direct_run - poll the leading keeper over HTTP until stopped. */
int config_direct_run(void *context, const volatile int *stop);

/**
 * config_ask - ask a sibling for its keepers, if that is due.
 * @follow: a follower outside the tree; called on its polling thread
 * @now: current time
 *
 * Return: true if its answer triggers a poll.
 */
bool config_ask(config_follow_t *follow, usec_t now);

/**
 * config_ask_keeper - choose a keeper that a sibling has named for the next poll.
 * @out: set to its control address
 *
 * Return: false if a keeper of the follower's list is to be polled.
 */
bool config_ask_keeper(config_follow_t *follow, char out[HL_ADDRESS_MAX]);

/** config_poll_run - poll the parent or the keepers until stopped. */
int config_poll_run(void *context, const volatile int *stop);

/**
 * config_follow_wake_poll - wake the polling thread, so that it checks its stop
 * flag.
 */
void config_follow_wake_poll(void *context);

/**
 * config_serve_open - listen for requests of children.
 * @follow: the follower; only one per process can listen
 * @err: HL_ERR_LIMIT for a second follower, or the reason why the address
 *       cannot be listened on
 *
 * Return: 0 or -1.
 */
int config_serve_open(config_follow_t *follow, hl_error_t *err);

/** config_serve_run - serve children until stopped. */
int config_serve_run(void *context, const volatile int *stop);

/** config_serve_close - stop listening. */
void config_serve_close(config_follow_t *follow);

/**
 * config_follow_pause - wait for config_follow_trigger(), a stop or a timeout.
 * @follow: the follower
 * @span: timeout in microseconds
 * @stop: the stop flag of the thread; nonzero ends the wait
 *
 * Return: true if config_follow_trigger() was called.
 */
bool config_follow_pause(config_follow_t *follow, usec_t span,
			 const volatile int *stop);

#endif
