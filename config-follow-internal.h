#ifndef CONFIG_NODE_H
#define CONFIG_NODE_H

#include <curl/curl.h>
#include "config-follow.h"
#include "config-report.h"
#include "config-source.h"
#include "config-tail.h"

/* The inside of a follower, shared by the thread that asks (config-poll.c)
   and the one that answers (config-serve.c). */
struct config_follow {
	char name[HL_NAME_MAX];
	char rpc_address[HL_ADDRESS_MAX];
	config_follow_settings_t settings;
	unsigned (*members)(void *context, owner_member_t *out, unsigned max);
	void *members_context;
	void (*changed)(void *context, const config_t *config);
	void *changed_context;

	config_t *config; /* RCU: the asking thread replaces it */

	pthread_mutex_t lock;	/* for what follows */
	pthread_cond_t wake;	/* to end a pause */
	supervisor_t *threads;	/* the two, while the child runs */
	bool kicked;		/* ask without waiting further */
	setting_list_t keepers; /* as they are known now */
	bool ready;		/* a quorum has confirmed the revision */
	uint64_t revision;	/* of config */
	usec_t fresh_at;	/* when a quorum last confirmed it */
	config_tail_t tail;
	config_report_t report;

	/* Only the asking thread looks at these. */
	config_source_t source;
	owner_member_t *live, *live_next; /* CONFIG_FOLLOW_MEMBERS_MAX each */
	unsigned live_count;
	usec_t live_since; /* when they last changed */
	unsigned climb;	   /* 0: ask the parent; more: its ancestors */
	unsigned climbed;  /* polls since climb was raised */
	unsigned keeper;   /* which keeper to ask */
	char leader[HL_ADDRESS_MAX]; /* that a keeper named, or "" */
	config_summary_t said;	     /* the last report */
	unsigned jitter;	     /* seed */

	SVCXPRT *listener;
	CURL *easy; /* of one that asks the keepers over HTTP */

	struct {
		uint64_t *revision, *deltas, *wholes, *failures;
	} metrics;
};

/* A parent's word: good to follow, not enough to begin with. */
#define CONFIG_UNCONFIRMED UINT64_MAX

/**
 * config_publish - put what a parent or keeper sent into force.
 * @follow: the follower
 * @body: deltas or a whole configuration
 * @newest: the revision that a quorum confirmed, or CONFIG_UNCONFIRMED
 * @fresh_at: when the sender's revision was confirmed
 *
 * Return: 0, or -1 at a gap or without memory.
 */
int config_publish(config_follow_t *follow, const keeper_fetch_body_t *body,
		   uint64_t newest, usec_t fresh_at);

/** config_direct_run - as config_poll_run(), without a tree. */
int config_direct_run(void *context, const volatile int *stop);

/** config_poll_run - ask until told to stop. */
int config_poll_run(void *context, const volatile int *stop);

/** config_poll_wake - end a pause of config_poll_run(). */
void config_poll_wake(void *context);

/** config_serve_open - listen for children; one follower in a process. */
int config_serve_open(config_follow_t *follow, hl_error_t *err);

/** config_serve_run - answer children until told to stop. */
int config_serve_run(void *context, const volatile int *stop);

/** config_serve_close - stop listening. */
void config_serve_close(config_follow_t *follow);

/** config_node_pause - wait, but not longer than until the wake. */
void config_node_pause(config_follow_t *follow, usec_t span,
		       const volatile int *stop);

#endif
