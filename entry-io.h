#ifndef ENTRY_IO_H
#define ENTRY_IO_H

#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <urcu/list.h>
#include "config-follow.h"
#include "entry-prober.h"
#include "entry-rules.h"
#include "entry.h"
#include "headers.h"
#include "member.h"
#include "metrics.h"
#include "owner.h"
#include "presence.h"
#include "toml.h"

/*
 * The I/O of an entry. A call comes in through entry-http.c, is decided on
 * under its route's lock (entry-dispatch.c), sent by a worker thread
 * (entry-work.c, entry-relay.c) over a connection of its place
 * (entry-conn-pool.c), and relayed back through entry-http.c.
 *
 * A call that is hedged has a twin, a request of its own that is sent beside
 * it (entry-hedge.c). Only who sends for the first request writes its answer.
 *
 * Locks: a request's lock may be taken under its route's lock, never the other
 * way round, and no two requests' locks together.
 */

/* Bodies up to this size are held whole, so that a call can be sent again. */
#define ENTRY_HOLD_BYTES (64 * 1024)
/* Most bytes of an answer that wait for a slow caller. */
#define ENTRY_ANSWER_BYTES (256 * 1024)
/* An answer that is not whole after this time is relayed as it comes. */
#define ENTRY_HOLD_TIME (50 * USEC_PER_MS)

/* Most waiting calls, and credits, that one entry tells another. */
#define ENTRY_QUEUE_TOLD_MAX 65536

/* Groups of homes in the settings; each key has one home in each. */
#define ENTRY_CLAIM_GROUPS 3

/** struct entry_claim_settings_t - the table [claims] of an entry. */
typedef struct {
	setting_list_t groups[ENTRY_CLAIM_GROUPS];
	int64_t timeout_ms;
	int64_t records_max;
	int64_t hold_max_s; /* longest key_hold_s of a profile */
	int64_t answers_kb; /* kept to be given again */
} entry_claim_settings_t;

/** struct entry_settings_t - what the settings file of an entry says. */
typedef struct {
	char name[HL_NAME_MAX];
	char zone[HL_NAME_MAX];
	char region[HL_NAME_MAX];
	char address[HL_ADDRESS_MAX]; /* IP number of all ports */
	log_level_t log_level;
	char key_file[HL_MESSAGE_MAX]; /* "": no keys */
	int64_t call_port;
	int64_t control_port;
	int64_t rpc_port;
	int64_t peer_port;
	char peer_bind[HL_ADDRESS_MAX]; /* "": address and peer_port */
	char interface[HL_NAME_MAX];
	const headers_t *headers; /* of that interface */
	bool routed; /* calls by routes; routes and copies from keepers */
	char call_listen[HL_ADDRESS_MAX];    /* "": address and call_port */
	char control_listen[HL_ADDRESS_MAX]; /* "": address, control_port */
	int64_t connect_ms;
	int64_t spares;		   /* connections opened ahead */
	double retry_ratio;	   /* used if retry_slack is not 0 */
	int64_t retry_slack;	   /* sends of one service over all entries */
	int64_t retry_window_s;	   /* both hold in every time so long */
	int64_t beat_ms;	   /* between datagrams to the keepers */
	char cluster[HL_NAME_MAX]; /* name that all its keepers share */
	int64_t http_threads;
	int64_t workers_max;
	int64_t connections_max;
	int64_t head_ms;     /* until the head of a call is whole */
	int64_t keep_ms;     /* how long a look-up may be kept */
	int64_t interval_ms; /* between announcements of a copy */
	int64_t lease_ms;    /* how long an announcement binds a copy */
	int64_t linger_ms;   /* calls still taken after SIGTERM */
	int64_t stop_ms;     /* most time for calls in flight at the end */
	char policy[HL_NAME_MAX];
	char probe_path[HL_MESSAGE_MAX]; /* of two-choices */
	bool lending;
	int64_t lend_bytes;   /* a second, between owners */
	bool pipeline;	      /* credits above the slots */
	setting_list_t seeds; /* peer addresses of the entries */
	config_follow_settings_t follow;
	entry_claim_settings_t claims;
} entry_settings_t;

extern const setting_t entry_settings[];
extern const size_t entry_settings_count;

/** entry_settings_load - read and check the settings file of an entry. */
int entry_settings_load(const char *path, entry_settings_t *settings,
			hl_error_t *err);

/** struct entry_link_t - one connection to a place, used by one worker. */
typedef struct entry_link {
	struct cds_list_head link; /* entry_conn_pool_t.idle */
	CURLM *multi;		   /* holds the connection between calls */
	CURL *easy;
	int spare; /* a socket opened ahead, to be used next, or -1 */
} entry_link_t;

/* Sockets opened ahead to one place. */
#define ENTRY_PRECONNECTED_MAX 4

/** struct entry_conn_pool_t - connections to a copy or to a sibling entry. */
typedef struct entry_place {
	char address[HL_ADDRESS_MAX];
	pthread_mutex_t lock;
	struct cds_list_head idle; /* most recently used first */
	unsigned idle_count;
	unsigned idle_max;
	int spares[ENTRY_PRECONNECTED_MAX];
	unsigned spare_count;
	unsigned refs;
} entry_conn_pool_t;

/** entry_conn_pool_new - a place with one reference; NULL without memory. */
entry_conn_pool_t *entry_conn_pool_new(const char *address, unsigned idle_max);
void entry_place_ref(entry_conn_pool_t *place);
void entry_conn_pool_unref(entry_conn_pool_t *place);

/**
 * entry_place_get - a link to send one call over.
 * @place: where to
 * @fresh: on a connection that has carried no call before, because the call
 *         must not be sent twice and libcurl sends again when a kept
 *         connection turns out to be closed
 *
 * Return: a link for the caller alone, or NULL without memory.
 */
entry_link_t *entry_place_get(entry_conn_pool_t *place, bool fresh);

/** entry_place_put - give a link back; @keep is false after a failure. */
void entry_place_put(entry_conn_pool_t *place, entry_link_t *link, bool keep);

/** entry_place_spare - open sockets ahead, without waiting.
 * @count: so many are to be there, ENTRY_PRECONNECTED_MAX at most
 */
void entry_place_spare(entry_conn_pool_t *place, unsigned count);

/** struct entry_buffer_t - bytes, added at the end and read from the front. */
typedef struct {
	char *bytes;
	size_t start;
	size_t end;
	size_t size;
} entry_buffer_t;

int entry_buffer_add(entry_buffer_t *buffer, const void *bytes, size_t size);
size_t entry_buffer_take(entry_buffer_t *buffer, void *out, size_t max);
size_t entry_buffer_length(const entry_buffer_t *buffer);
void entry_buffer_clear(entry_buffer_t *buffer);
void entry_buffer_free(entry_buffer_t *buffer);

/** struct entry_header_t - one header of an answer. */
typedef struct entry_header {
	struct cds_list_head link;
	char *name;
	char *value;
} entry_header_t;

/** struct entry_response_t - what goes back to the caller. */
typedef struct {
	unsigned status;
	struct cds_list_head headers;
	char *connection; /* its Connection header, or NULL */
	int64_t length;	  /* -1: not known before the end */
	entry_outcome_t outcome;
	const char *reason; /* Hemlock-Reason of our own answers, or NULL */
	usec_t retry_after; /* 0: none */
	entry_buffer_t body;
	bool published; /* the head may go to the caller */
	bool ended;	/* no more body will come */
	bool truncated; /* it ended before it was whole */
} entry_response_t;

/** enum entry_stage_t - how far a request has come in from its caller. */
typedef enum {
	ENTRY_STAGE_HEAD,
	ENTRY_STAGE_BODY,
	ENTRY_STAGE_WAIT,
	ENTRY_STAGE_ANSWERED,
} entry_stage_t;

struct entry_route;
struct entry;
typedef struct entry_claims entry_claims_t;

/** struct entry_request_t - a call with its I/O. */
typedef struct entry_request {
	entry_call_t call; /* guarded by the route's lock once dispatched */
	struct cds_list_head work_link;
	struct entry *entry;
	struct entry_route *route;
	unsigned refs;
	char *target; /* path and query as the caller wrote them */
	char *method;
	char tenant[HL_NAME_MAX];
	char class_name[HL_NAME_MAX];
	char hop[HL_NAME_MAX];	     /* entry that handed it over, or "" */
	char key[256];		     /* Idempotency-Key, or "" */
	char call_id[HL_NAME_MAX];   /* the caller's name of this attempt */
	char rule_name[HL_NAME_MAX]; /* route of the configuration, or "" */
	usec_t caller_deadline;	     /* until when the caller waits */
	char *host;		     /* as the caller wrote it, with routes */
	int64_t deadline_ms;	     /* that the caller gave; 0: none */
	bool parked;		     /* it came before there were routes */
	struct curl_slist *headers;
	bool has_body;
	int64_t body_length;	    /* -1: chunked */
	bool head_only;		    /* HEAD */
	entry_conn_pool_t *forward; /* a sibling entry to hand it to, or NULL */
	struct entry_claim *claim;  /* of its Idempotency-Key, or NULL */
	bool handed_over;     /* it waited here and went to an idle sibling */
	unsigned hop_waiting; /* calls that still wait where it came from */
	unsigned offer;	      /* credits to offer with the answer */
	unsigned offered;     /* credits that its answer offered us */
	bool probing;	      /* its copy is still to be chosen by probes */
	bool replay; /* it asks for the answer of the first of its key */
	struct entry_request
		*primary; /* of a twin: the request it is sent for */
	/* Guarded by the route's lock. */
	struct entry_request *twin;   /* its second send, while that runs */
	struct entry_request *winner; /* the twin that answered first */
	bool over;		      /* its last send has ended */

	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t changed;
	struct MHD_Connection *connection; /* NULL once it is gone */
	entry_stage_t stage;
	bool suspended;
	bool cancelled; /* the caller went away */
	bool overtaken; /* its twin has the answer: end this send */
	bool dispatched;
	entry_buffer_t body;
	bool body_whole;
	bool body_streamed;   /* sending began before it was whole */
	bool body_spent;      /* some of it has left and is not held */
	entry_link_t *active; /* the link a worker is sending over */
	entry_response_t response;
	uint64_t watch_id;
	usec_t head_at; /* when the head of the answer came */
} entry_request_t;

entry_request_t *entry_request_new(struct entry *entry, const char *target);
void entry_request_ref(entry_request_t *req);
void entry_request_unref(entry_request_t *req);

/** entry_request_wake - let the caller's connection go on. Lock held. */
void entry_request_wake(entry_request_t *req);

/** entry_request_end - the answer's body is complete, or cut. */
void entry_request_end(entry_request_t *req, bool cut);

/** entry_request_fail - a final answer of our own, in place of any other. */
void entry_request_fail(entry_request_t *req, unsigned status,
			entry_outcome_t outcome, const char *reason,
			usec_t retry_after);

/** entry_request_gone - the caller went away: cancel what runs for it. */
void entry_request_gone(entry_request_t *req);

/** entry_request_reset - forget an answer before another send. */
void entry_request_reset(entry_request_t *req);

/** struct entry_route_t - a service with its lock, copies and histograms. */
typedef struct entry_route {
	struct cds_list_head link;
	char name[HL_NAME_MAX];
	struct entry *entry;
	pthread_mutex_t lock;
	entry_service_t service;
	config_profile_t *profile;
	bool declared; /* the configuration in force names it */
	char health_path[HL_MESSAGE_MAX]; /* "": copies are not asked */
	unsigned rate;	 /* calls a second of the service, 0: no limit */
	unsigned owners; /* entries owning copies, 0: by zone */
	char (*stops)[HL_NAME_MAX]; /* copies with a planned stop */
	unsigned stop_count;
	uint64_t *hedges_sent; /* counters, NULL before the first hedge */
	uint64_t *hedges_won;
	pthread_mutex_t measure_lock;
	struct cds_list_head measures;
	unsigned measure_count;
} entry_route_t;

/** entry_route_find - the route of a service, or NULL. */
entry_route_t *entry_route_find(struct entry *entry, const char *name);

/* Most services of an entry without keepers, against made-up names. */
#define ENTRY_ROUTES_MAX 4096

/** entry_route_find_or_add - find a route or add it with a profile of presets. */
entry_route_t *entry_route_find_or_add(struct entry *entry, const char *name);

/** entry_route_count - how many services are known. */
unsigned entry_route_count(struct entry *entry);

/**
 * entry_route_next - the route after @route, the first after NULL.
 *
 * Routes live as long as the daemon, so this needs no lock meanwhile.
 */
entry_route_t *entry_route_next(struct entry *entry, entry_route_t *route);

/** entry_route_free_all - at the end of the daemon. */
void entry_route_free_all(struct entry *entry);

/** entry_measure_call - count an answered call by tenant and class. */
void entry_measure_call(entry_request_t *req, usec_t now);
void entry_measure_free(entry_route_t *route);

/* entry-trace.c: what the log says of calls and of the copies they went to. */

/** entry_trace_sent - a send to a copy begins, and what decided for it. */
void entry_trace_sent(entry_request_t *req, usec_t now);

/**
 * entry_trace_failed - a send brought no good answer.
 * @sent: when it began
 */
void entry_trace_failed(entry_request_t *req, entry_result_t result,
			usec_t sent, usec_t now);

/**
 * entry_trace_ended - a call is over.
 * @whole: its caller got all of the answer
 */
void entry_trace_ended(entry_request_t *req, bool whole, usec_t now);

/** entry_trace_health - entry_service_t.on_health for a route as context. */
void entry_trace_health(void *context, const entry_copy_t *copy, bool ejected);

typedef struct entry_forward entry_forward_t;

/** entry_forward_new - the sibling entries that calls are handed to. */
entry_forward_t *entry_forward_new(void);
void entry_forward_free(entry_forward_t *forward);

/** entry_forward_pool - the place of a sibling, with a reference. */
entry_conn_pool_t *entry_forward_pool(entry_forward_t *forward,
				      const char *address);

/**
 * entry_forward_waiting - hand waiting calls over to a sibling owner.
 * @route: where they wait
 * @address: call address of the sibling
 * @credits: how many it offers
 */
void entry_forward_waiting(entry_route_t *route, const char *address,
			   unsigned credits);

/**
 * entry_forward_offer - offer free credits with the answer of a call.
 *
 * For a call that a sibling owner handed over while more waited there. The
 * credits are kept for a moment. Route's lock held.
 */
void entry_forward_offer(entry_request_t *req, usec_t now);

/**
 * entry_forward_to_owner - hand a call over when this entry owns no copy.
 *
 * A caller may come to an address that it was told a while ago.
 */
void entry_forward_to_owner(entry_request_t *req);

typedef struct entry_work entry_work_t;

/** entry_work_new - worker threads, started as they are needed. */
entry_work_t *entry_work_new(unsigned max);

/** entry_work_push - send this request from a worker thread. */
void entry_work_push(entry_work_t *work, entry_request_t *req);

/** entry_work_free - wait for what is queued, then end the threads. */
void entry_work_free(entry_work_t *work);

typedef struct entry_slow entry_slow_t;

/** entry_read_timeout_new - cuts callers that take too long to send a call. */
entry_slow_t *entry_read_timeout_new(const entry_settings_t *settings,
				     metrics_t *metrics);
void entry_read_timeout_free(entry_slow_t *slow);

/** entry_read_timeout_sweep - cut those that are late; call about once a second. */
void entry_read_timeout_sweep(entry_slow_t *slow, usec_t now);

typedef struct entry_park entry_park_t;

/**
 * entry_pending_new - calls that came before the first routes did.
 *
 * A process that has just started knows nothing for a moment; its callers
 * would be refused by it and, after that, by the next one that has restarted.
 */
entry_park_t *entry_pending_new(usec_t now);
void entry_pending_free(entry_park_t *park);

/** entry_park_open - is it worth a call's time to wait for routes? */
bool entry_park_open(const entry_park_t *park, usec_t now);

/** entry_park_add - keep a call until there are routes. */
void entry_park_add(struct entry *entry, entry_request_t *req, usec_t now);

/** entry_pending_release - there are routes: dispatch what waits. */
void entry_pending_release(struct entry *entry, usec_t now);

/**
 * entry_pending_expire - refuse what has waited too long.
 *
 * Return: when to look again, or INT64_MAX.
 */
usec_t entry_pending_expire(struct entry *entry, usec_t now);

typedef struct entry_watch entry_watch_t;

/** entry_watch_new - notices callers that go away while they wait. */
entry_watch_t *entry_watch_new(hl_error_t *err);
supervisor_child_t entry_watch_child(entry_watch_t *watch);
void entry_watch_add(entry_watch_t *watch, entry_request_t *req, int fd);
void entry_watch_remove(entry_watch_t *watch, entry_request_t *req, int fd);
void entry_watch_free(entry_watch_t *watch);

/** struct entry_t - the daemon. */
typedef struct entry {
	entry_settings_t settings;
	keys_t *keys;
	entry_policy_t policy;
	metrics_t *metrics;
	pthread_mutex_t routes_lock;
	struct cds_list_head routes;
	GHashTable *routes_by_name;
	entry_work_t *work;
	entry_watch_t *watch;
	entry_slow_t *read_timeout;
	entry_forward_t *forward;
	uint64_t *lend_header_bytes; /* of offers that ride on calls */
	member_t *member;
	struct entry_claims *claims;
	config_follow_t *follow;     /* NULL without keepers */
	presence_client_t *presence; /* with entry.routed */
	entry_prober_t *prober;	     /* with the policy "reports" */
	pthread_mutex_t rules_lock;  /* of the next two */
	entry_rules_t *rules;	     /* NULL until there are some */
	uint64_t rules_revision;
	entry_park_t *pending; /* with entry.routed */
	char call_address[HL_ADDRESS_MAX];
	pthread_mutex_t tick_lock;
	pthread_cond_t tick_wake;
	usec_t tick_due;  /* when the thread looks again at the latest */
	bool first_start; /* nothing was ever claimed here */
	owner_t *owner;
	const char *settings_path;
	signals_t signals;
	struct MHD_Daemon *calls;
	struct MHD_Daemon *control_daemon;
	volatile int stopping;
	unsigned in_flight;
} entry_t;

/** entry_dispatch_arrive - decide on a request and act on the decision. */
void entry_dispatch_arrive(entry_request_t *req, usec_t now);

/** entry_dispatch_decide - the same once its copies have been asked. */
void entry_dispatch_decide(entry_request_t *req, usec_t now);

/** entry_dispatch_final - refuse a request and let go of it. */
void entry_dispatch_final(entry_request_t *req,
			  const entry_decision_t *decision);

/** entry_dispatch_end - a send has ended with @result. */
void entry_dispatch_end(entry_request_t *req, entry_result_t result,
			usec_t now);

/** entry_dispatch_next - send what waits and has a credit now. */
void entry_dispatch_next(entry_route_t *route, usec_t now);

/** entry_dispatch_expire - refuse what can no longer be served in time. */
void entry_dispatch_expire(entry_route_t *route, usec_t now);

/**
 * entry_hedge_due - when a call that is being sent may deserve a second send.
 *
 * The route's lock is held.
 */
usec_t entry_hedge_due(const entry_request_t *req);

/**
 * entry_hedge_send_due - send the calls that deserve it a second time.
 *
 * Return: when to look again, or INT64_MAX.
 */
usec_t entry_hedge_send_due(entry_route_t *route, usec_t now);

/** entry_hedge_end - the send of a twin has ended with @result. */
void entry_hedge_end(entry_request_t *twin, entry_result_t result, usec_t now);

/** entry_hedge_cancel - end the send of a twin, if any. Route's lock held. */
void entry_hedge_cancel(entry_request_t *req);

/**
 * entry_hedge_take - give a request, whose send ended, its twin's answer.
 * @result: how the twin's send ended
 */
void entry_hedge_take(entry_request_t *req, entry_request_t *twin,
		      entry_result_t result);

/**
 * entry_config_new - follow the keepers, if the settings name any.
 * @self: in the tree of entries; NULL for one that asks keepers itself
 */
int entry_config_new(entry_t *entry, const owner_member_t *self,
		     hl_error_t *err);

/** entry_config_ready - is a confirmed configuration in force? */
bool entry_config_ready(const entry_t *entry);

/** entry_config_revision - the revision in force; @context is the entry. */
uint64_t entry_config_revision(void *context);

/**
 * entry_config_route - the route of a service that may be called.
 *
 * Return: NULL if the service is not declared, or, without keepers, if
 * ENTRY_ROUTES_MAX services are known.
 */
entry_route_t *entry_config_route(entry_t *entry, const char *service);

/** entry_config_stop_planned - is a planned stop of a copy in force? */
bool entry_config_stop_planned(entry_route_t *route, const char *copy);

/**
 * entry_probe_choose - probe two copies and take a credit of the better.
 *
 * Called by a worker for calls under ENTRY_POLICY_TWO_CHOICES.
 */
entry_decision_t entry_probe_choose(entry_request_t *req);

/** entry_target_presence_new - with entry.routed: tell the keepers of this entry. */
int entry_target_presence_new(entry_t *entry, hl_error_t *err);

/** entry_target_apply - take routes and copies over from a configuration. */
void entry_target_apply(entry_t *entry, const config_t *config, usec_t now);

/** entry_target_has_routes - are there routes in force? */
bool entry_target_has_routes(entry_t *entry);

/**
 * entry_target_match_route - the route of a call, and the part that it goes to.
 * @rule: filled in; its strings are @service and @name
 *
 * There are routes in force. Return: false if none is for the call.
 */
bool entry_target_match_route(entry_t *entry, const char *host,
			      const char *target, entry_rule_t *rule,
			      char service[HL_NAME_MAX],
			      char name[HL_NAME_MAX]);

/**
 * entry_probe_reports - ask some copies how they are before a call is sent.
 *
 * Called by a worker under ENTRY_POLICY_REPORTS; what they tell is noted.
 */
void entry_probe_reports(entry_request_t *req);

/** entry_tick_init - before any thread that may kick. */
void entry_tick_init(entry_t *entry);

/** entry_tick_child - the thread that looks after what waits. */
supervisor_child_t entry_tick_child(entry_t *entry);

/** entry_tick_schedule - what waits is to be looked at by @due, or sooner. */
void entry_tick_schedule(entry_t *entry, usec_t due);

/** entry_tick_schedule_soon - a call or a claim has begun to wait. */
void entry_tick_schedule_soon(entry_t *entry, usec_t now);

/** entry_relay_send - send a request to its place and take the answer. */
void entry_relay_send(entry_request_t *req);

/** entry_relay_finish - give the caller its final answer after a send. */
void entry_relay_finish(entry_request_t *req, entry_result_t result);

/** entry_http_start - listen for calls. */
int entry_http_start(entry_t *entry, hl_error_t *err);

/** entry_http_stop - stop listening, end calls in flight, close. */
void entry_http_stop(entry_t *entry);

/** entry_control_start - listen for look-ups, announcements and scrapes. */
int entry_control_start(entry_t *entry, hl_error_t *err);
void entry_control_stop(entry_t *entry);

/** struct entry_reply_t - an answer of the control port. */
typedef struct {
	unsigned status;
	const char *type; /* content type */
	char *body;	  /* malloc'ed */
	size_t size;	  /* of body; 0 for a string */
	unsigned retry_after_s;
	const char *outcome; /* Hemlock-Outcome, or NULL */
	struct cds_list_head headers;
} entry_reply_t;

/** entry_reply_error - a JSON error whose text names the remedy. */
void entry_reply_error(entry_reply_t *reply, unsigned status, const char *fmt,
		       ...) __attribute__((format(printf, 3, 4)));

/* Handlers of the control port, see the table in entry-control.c. */
typedef struct {
	entry_t *entry;
	struct MHD_Connection *connection;
	const char *body;
	size_t size;
	usec_t now;
} entry_control_request_t;

/**
 * entry_baseline_announce - take in a copy that announced itself, whoever owns it.
 *
 * The policies but "owner" are baselines of the bench: each entry knows every
 * copy, which announces itself to every entry.
 *
 * Return: true with @reply filled in, false under the policy "owner".
 */
bool entry_baseline_announce(const entry_control_request_t *in,
			     const owner_copy_t *said, entry_reply_t *reply);

void entry_lookup_handle(const entry_control_request_t *in,
			 entry_reply_t *reply);
void entry_announce_handle(const entry_control_request_t *in,
			   entry_reply_t *reply);
void entry_status_handle(const entry_control_request_t *in,
			 entry_reply_t *reply);
void entry_status_health(const entry_control_request_t *in,
			 entry_reply_t *reply);
void entry_status_metrics(const entry_control_request_t *in,
			  entry_reply_t *reply);

/** entry_owner_new - the copies that this entry owns. */
int entry_owner_new(entry_t *entry, const owner_member_t *self,
		    hl_error_t *err);

/** entry_owner_may_send - the lease of the request's copy holds at @now. */
bool entry_owner_may_send(entry_request_t *req, usec_t now);

/** entry_lookup_members - the live entries, this one included. */
unsigned entry_lookup_members(entry_t *entry, owner_member_t *out,
			      unsigned max);

#endif
