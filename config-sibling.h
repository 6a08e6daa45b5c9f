#ifndef CONFIG_SIBLING_H
#define CONFIG_SIBLING_H

#include "hemlock.h"
#include "presence_rpc.h"
#include "toml.h"

/*
 * What a follower outside the fan-out tree asks sibling entries while no keeper
 * of its list confirms its configuration, and what their answers mean. Plain data:
 * no lock, no I/O.
 *
 * A list of keepers from a sibling is a list of addresses to poll. It replaces
 * nothing: only a response of a leading keeper replaces the follower's own list. One
 * whose revision is older than that of the own list is not polled. A
 * revision from one sibling triggers a poll; one that two siblings name counts as
 * reported, so that a faulty sibling cannot make entries refuse calls.
 */

/** struct config_sibling_answer_t - what a sibling has answered. */
typedef struct {
	uint64_t cluster;	/* hash of the name of its cluster */
	bool malformed;		/* a header is malformed or too long */
	setting_list_t keepers; /* addresses of the keepers that it uses */
	/* Of keepers, as in presence_keepers_t; 0: of an earlier release. */
	uint64_t keepers_revision;
	uint64_t revision; /* in force there; 0: none */
	/* Age of the last confirmation of a leading keeper; USEC_NEVER: none. */
	usec_t confirmed_age;
} config_sibling_answer_t;

/** struct config_sibling_view_t - the state of the follower. */
typedef struct {
	uint64_t cluster;
	uint64_t revision;	/* in force */
	usec_t newest_at;	/* last confirmation; 0: none */
	usec_t confirm_max;	/* age from which it is too old */
	unsigned unconfirmed;	/* polls since it */
	setting_list_t keepers; /* the list of the follower */
	uint64_t keepers_revision;
} config_sibling_view_t;

/** enum config_sibling_result_t - what an answer means. */
typedef enum {
	CONFIG_SIBLING_DROPPED, /* malformed, or of another cluster */
	CONFIG_SIBLING_USELESS, /* it is no further than this entry */
	CONFIG_SIBLING_POLL,	/* poll at once */
} config_sibling_result_t;

/** struct config_sibling_t - questions and answers; zeroed at first. */
typedef struct {
	usec_t ask_at;	  /* earliest time of the next question */
	unsigned next;	  /* index of the sibling to ask next */
	unsigned asked;	  /* questions since the last confirmation */
	unsigned polls;	  /* addresses that config_sibling_keeper() returned */
	unsigned leaders; /* addresses from config_sibling_add_leader() */
	unsigned untried; /* index of the first address that was not polled */
	setting_list_t keepers;
	usec_t keepers_at;	     /* confirmation of the sibling with them */
	char source[HL_ADDRESS_MAX]; /* the sibling that has named them */
	/* The last sibling that has named a newer revision. */
	struct {
		char address[HL_ADDRESS_MAX];
		uint64_t revision;
		usec_t at; /* 0: none */
	} newer;
} config_sibling_t;

/**
 * config_sibling_read_keepers - read addresses that are separated by commas.
 *
 * Return: false if one is malformed, or there are none or too many.
 */
bool config_sibling_read_keepers(const char *text, setting_list_t *out);

/**
 * config_sibling_due - whether to ask a sibling now.
 *
 * True while the last confirmation is too old and each keeper of the list was polled
 * without a new one. If it is much older, as after a suspension, one poll suffices.
 * False before the first confirmation: a question would delay the polls of a start.
 */
bool config_sibling_due(const config_sibling_t *sibling,
			const config_sibling_view_t *view, usec_t now);

/**
 * config_sibling_next - choose the sibling to ask now.
 * @siblings: call addresses of the siblings
 *
 * The caller sends the question. Each sibling is asked in turn.
 *
 * Return: an address in @siblings, or NULL if it is empty.
 */
const char *config_sibling_next(config_sibling_t *sibling,
				const setting_list_t *siblings, usec_t now);

/**
 * config_sibling_on_answer - record the answer of a sibling.
 * @address: the sibling
 * @reported: set to a newer revision that two siblings have named, else 0
 */
config_sibling_result_t config_sibling_on_answer(
	config_sibling_t *sibling, const config_sibling_view_t *view,
	const char *address, const config_sibling_answer_t *answer, usec_t now,
	uint64_t *reported);

/**
 * config_sibling_keeper - choose a keeper that a sibling has named.
 *
 * Return: its address, or NULL if the next poll goes to a keeper of the follower's own
 * list: each second one does, and all do once each address was returned.
 */
const char *config_sibling_keeper(config_sibling_t *sibling);

/**
 * config_sibling_add_leader - poll the leader that a keeper named by a sibling
 * has reported.
 *
 * Ignored if the address is malformed, and from the eighth one on, as keepers may name
 * one another.
 */
void config_sibling_add_leader(config_sibling_t *sibling, const char *address);

/** config_sibling_confirmed - forget all after a confirmation. */
void config_sibling_confirmed(config_sibling_t *sibling);

#endif
