#ifndef ENTRY_IO_H
#define ENTRY_IO_H

#include <curl/curl.h>
#include <glib.h>
#include <microhttpd.h>
#include <urcu/list.h>
#include "config-follow.h"
#include "entry-config-age.h"
#include "entry-prober.h"
#include "entry-sibling.h"
#include "entry-rules.h"
#include "entry-settings.h"
#include "entry-stop.h"
#include "entry-suspect.h"
#include "entry.h"
#include "headers.h"
#include "http-status.h"
#include "member.h"
#include "metrics.h"
#include "owner.h"
#include "presence.h"
#include "toml.h"

/*
 * The I/O of an entry, the proxy process. A call is received by entry-http.c,
 * scheduled under the lock of its upstream (entry-dispatch.c), sent by a worker
 * thread (entry-work.c, entry-relay.c) over a connection from the pool of its
 * copy (entry-conn-pool.c), and its response is relayed by entry-respond.c.
 *
 * A hedge, the second send of a call, is a separate request object that runs in
 * parallel to the primary one (entry-hedge.c). Only the worker that sends the
 * primary request writes its response.
 *
 * Locking order: the lock of an upstream comes before the lock of a request. A
 * thread never holds the locks of two requests at the same time.
 */

/* Bodies up to this size are buffered completely, so that a call can be sent
   again. */
#define ENTRY_BODY_BUFFER_BYTES (64 * 1024)
/* Maximum bytes of a response that are buffered for a slow caller. */
#define ENTRY_RESPONSE_BACKLOG_BYTES (256 * 1024)
/* A response that is not complete after this time is streamed. */
#define ENTRY_RESPONSE_BUFFER_TIME (50 * USEC_PER_MS)

/* Wait to suggest to the caller of a call that crashes copies: the call is
   refused for an hour. */
#define ENTRY_BLOCKED_RETRY_AFTER (3600 * USEC_PER_SEC)

/* Maximum number of waiting calls or credits in one header. */
#define ENTRY_QUEUE_REPORT_MAX 65536

/* Maximum number of calls with an id that one connection carries, since it keeps
   a digest of each. */
#define ENTRY_CONN_CALLS_MAX 500

/** struct entry_conn_t - one connection of a pool, used by one worker. */
typedef struct entry_conn {
	struct cds_list_head link; /* entry_conn_pool_t.idle */
	CURLM *multi;		   /* owns the connection between calls */
	CURL *easy;
	int preconnected_fd; /* socket for the next transfer, or -1 */
	int fd;		     /* socket of the last transfer, or -1 */
	usec_t idle_since;   /* when it was returned to the pool */
	uint64_t number;     /* distinguishes connections in logs */
	unsigned calls;	     /* sent over it, with the one that it carries */
	GArray *carried;     /* uint32_t digests of the ids of these calls */
} entry_conn_t;

/* Maximum number of preconnected sockets of one pool. */
#define ENTRY_PRECONNECTED_MAX 4

/** struct entry_conn_pool_t - connections to one copy or sibling entry. */
typedef struct entry_conn_pool {
	char address[HL_ADDRESS_MAX];
	pthread_mutex_t lock;
	struct cds_list_head idle; /* most recently used first */
	unsigned idle_count;
	unsigned idle_max;
	int preconnected[ENTRY_PRECONNECTED_MAX]; /* unused sockets */
	unsigned preconnected_count;
	usec_t renew_until; /* until then no connection carries a second call */
	unsigned refs;
} entry_conn_pool_t;

/**
 * entry_conn_pool_new - create a connection pool with one reference.
 * @address: "ip:port" of the copy or entry
 * @idle_max: maximum number of idle connections that are kept open
 *
 * Return: the pool, or NULL if out of memory.
 */
entry_conn_pool_t *entry_conn_pool_new(const char *address, unsigned idle_max);

/** entry_conn_pool_ref - take a reference. */
void entry_conn_pool_ref(entry_conn_pool_t *pool);

/** entry_conn_pool_unref - drop a reference; the last one frees the pool. */
void entry_conn_pool_unref(entry_conn_pool_t *pool);

/**
 * entry_conn_pool_get - take a connection for one call.
 * @call_id: id that the response must bear; empty if the interface has none
 * @fresh: the caller opens a new connection with it, over a preconnected socket if
 *         there is one. Set for a call that may run once: an open connection that
 *         ends leaves unknown whether it has run.
 *
 * The id does not distinguish a late response to an earlier send of the same call
 * from the response to this one, so a connection carries each id once.
 *
 * Return: a connection for exclusive use, or NULL if out of memory.
 */
entry_conn_t *entry_conn_pool_get(entry_conn_pool_t *pool, const char *call_id,
				  bool fresh);

/**
 * entry_conn_reopened - note that libcurl has opened a new connection.
 * @call_id: as in entry_conn_pool_get(); the one call that it has carried
 */
void entry_conn_reopened(entry_conn_t *conn, const char *call_id);

/**
 * entry_conn_pool_put - return a connection to its pool.
 * @keep: false after a failure: the connection is closed
 *
 * The caller has set @conn->fd. A connection that has carried ENTRY_CONN_CALLS_MAX
 * calls is closed.
 */
void entry_conn_pool_put(entry_conn_pool_t *pool, entry_conn_t *conn, bool keep,
			 usec_t now);

/**
 * entry_conn_pool_on_stray - note that the peer has sent bytes of no call.
 *
 * Closes the idle connections, on which more such bytes may be under way. For a
 * while each call gets a new connection.
 */
void entry_conn_pool_on_stray(entry_conn_pool_t *pool, usec_t now);

/** entry_conn_pool_renews - does each call get a new connection at present? */
bool entry_conn_pool_renews(entry_conn_pool_t *pool, usec_t now);

/**
 * entry_conn_pool_sweep - close idle connections that are of no further use.
 *
 * These are connections that the peer has closed or on which it has sent bytes,
 * see entry_conn_pool_on_stray(), and those that were idle for a long time.
 */
void entry_conn_pool_sweep(entry_conn_pool_t *pool, usec_t now);

/**
 * entry_conn_pool_preconnect - open sockets for later calls, without blocking.
 * @count: number of sockets that the pool is filled up to, at most
 *         ENTRY_PRECONNECTED_MAX
 */
void entry_conn_pool_preconnect(entry_conn_pool_t *pool, unsigned count);

/**
 * entry_conn_round_trip - return the least round trip time of a connection.
 * @fd: a connected TCP socket
 *
 * The kernel measures it, so a wait of either process for a processor does not
 * count.
 *
 * Return: microseconds, or 0 if it is not known.
 */
usec_t entry_conn_round_trip(int fd);

/** struct entry_buffer_t - bytes, appended at the end, read from the front. */
typedef struct {
	char *bytes;
	size_t start; /* offset of the first unread byte */
	size_t end;   /* offset after the last byte */
	size_t size;  /* allocated bytes */
} entry_buffer_t;

/** entry_buffer_add - append bytes; returns -1 if out of memory. */
int entry_buffer_add(entry_buffer_t *buffer, const void *bytes, size_t size);

/** entry_buffer_take - read and remove up to @max bytes; returns the number. */
size_t entry_buffer_take(entry_buffer_t *buffer, void *out, size_t max);

/** entry_buffer_length - the number of unread bytes. */
size_t entry_buffer_length(const entry_buffer_t *buffer);

/** entry_buffer_clear - discard the content but keep the memory. */
void entry_buffer_clear(entry_buffer_t *buffer);

/** entry_buffer_free - free the memory; the buffer is empty afterwards. */
void entry_buffer_free(entry_buffer_t *buffer);

/** struct entry_header_t - one header of a response. */
typedef struct entry_header {
	struct cds_list_head link;
	char *name;
	char *value;
} entry_header_t;

/**
 * entry_headers_add - append a copy of a header to a list.
 * @headers: list of entry_header_t
 * @name_length: bytes of @name that are copied
 * @value_length: bytes of @value that are copied
 *
 * Return: 0, or -1 if out of memory.
 */
int entry_headers_add(struct cds_list_head *headers, const char *name,
		      size_t name_length, const char *value,
		      size_t value_length);

/** entry_headers_clear - free the headers of a list, which is empty afterwards. */
void entry_headers_clear(struct cds_list_head *headers);

/** struct entry_response_t - the response to the caller. */
typedef struct {
	unsigned status;
	struct cds_list_head headers; /* entry_header_t */
	char *connection; /* value of the copy's Connection header, or NULL */
	int64_t length;	  /* Content-Length; -1: not known before the end */
	entry_outcome_t outcome;
	const char *reason; /* Hemlock-Reason if this entry made it, or NULL */
	usec_t retry_after; /* 0: none */
	entry_buffer_t body;
	bool published; /* status and headers may be sent to the caller */
	bool ended;	/* the body is complete or truncated */
	bool truncated; /* the body ended before it was complete */
} entry_response_t;

/* Reason of a 502 in place of a response whose head cannot be sent. */
#define ENTRY_REASON_RESPONSE_HEAD "response-head"

/** enum entry_stage_t - how much of a request has been received. */
typedef enum {
	ENTRY_STAGE_HEAD,     /* the request line; headers follow */
	ENTRY_STAGE_DECISION, /* the headers; the body is not read yet */
	ENTRY_STAGE_BODY,     /* the headers; the body follows */
	ENTRY_STAGE_WAIT,     /* the whole request; no response yet */
	ENTRY_STAGE_RESPONSE, /* the whole request; a response is being sent */
} entry_stage_t;

struct entry_upstream;
typedef struct entry entry_t;
typedef struct entry_claims entry_claims_t;

/** struct entry_request_t - a call with its I/O state. */
typedef struct entry_request {
	entry_call_t call; /* guarded by upstream->lock once dispatched */
	struct cds_list_head work_link; /* queue of workers or pending calls */
	struct entry *entry;
	struct entry_upstream *upstream;
	unsigned refs;
	char *target; /* path and query as received */
	char *method;
	char tenant[HL_NAME_MAX];
	char class_name[HL_NAME_MAX];
	char forwarded_by[HL_NAME_MAX]; /* entry that handed it over, or "" */
	char key[256];			/* Idempotency-Key, or "" */
	char call_id[HL_NAME_MAX];	/* the caller's id of this attempt */
	char rule_name[HL_NAME_MAX];	/* name of the matching route, or "" */
	uint64_t rules_revision; /* of the routes that it was matched to */
	usec_t confirmed_at;	 /* last confirmation then; 0: none yet */
	usec_t caller_deadline;	 /* when the caller stops waiting */
	char *host;		 /* Host header, to match a route by */
	int64_t deadline_ms;	 /* deadline header of the caller; 0: none */
	bool pending;		 /* waits for routes, see entry-pending.c */
	bool unconfirmed; /* had no route before the routes were confirmed */
	/* State of the start of the configuration in which it is held; 0: it is
	   not held. */
	unsigned held_state;
	struct curl_slist *headers; /* headers of the caller to be relayed */
	size_t head_bytes; /* request line, header fields and empty line */
	bool has_body;
	int64_t body_length;	/* bytes; -1: chunked */
	uint64_t body_max;	/* bytes allowed by its route; 0: no limit */
	uint64_t body_received; /* bytes */
	bool upload;		/* its route announces a large body */
	bool head_only;		/* the method is HEAD */
	bool sent_directly; /* entry_respond_direct() has sent the response */
	bool head_refused;  /* a 502 was sent in place of a too large head */
	bool question;	    /* of a sibling, see entry-sibling-ask.c */
	entry_conn_pool_t *forward; /* pool of the sibling to use, or NULL */
	struct entry_claim *claim;  /* claim of its Idempotency-Key, or NULL */
	bool handed_over;   /* taken out of the queue for an idle sibling */
	unsigned handovers; /* siblings it was sent to, see entry-handover.c */
	bool paths_lost; /* its last send was cut or given up as paths are lost */
	bool sibling_impaired; /* the sibling lacks paths to many copies, too */
	bool sibling_unfit;    /* the sibling could not serve it, others may */
	unsigned forwarder_queue;  /* calls waiting at the forwarding entry */
	unsigned credits_to_offer; /* sent with the response */
	unsigned credits_offered;  /* received with the response */
	bool probing; /* copies have to be probed before one is chosen */
	bool woken;   /* a copy has room; guarded by the lock below */
	bool replay;  /* it gets the stored response of its key */
	struct entry_request *primary; /* NULL unless this is a hedge */
	/* Guarded by the lock of the upstream. */
	struct entry_request *hedge;	     /* the second send while it runs */
	struct entry_request *winning_hedge; /* hedge that responded first */
	bool finished;			     /* the last send has ended */
	entry_stage_t stage; /* used by the connection's thread only */

	pthread_mutex_t lock; /* guards all fields below */
	pthread_cond_t changed;
	struct MHD_Connection *connection; /* NULL once it is closed */
	bool suspended; /* libmicrohttpd does not process the connection */
	bool cancelled; /* no response is needed any more */
	bool hedge_won; /* its hedge has the response: end this send */
	bool dispatched;
	entry_buffer_t body;
	bool body_complete;
	bool body_streamed;	   /* sending began before it was complete */
	bool body_wanted;	   /* the copy takes the body: read it */
	bool body_consumed;	   /* bytes were sent that are not buffered */
	entry_conn_t *active_conn; /* connection of the running transfer */
	entry_response_t response;
	uint64_t watch_id;    /* see entry-watch.c; 0: not watched */
	usec_t head_received; /* when the head of the response was complete */
} entry_request_t;

/**
 * entry_request_new - create a request with one reference.
 * @target: path and query, copied
 *
 * Return: the request, or NULL if out of memory.
 */
entry_request_t *entry_request_new(struct entry *entry, const char *target);

/** entry_request_ref - take a reference. */
void entry_request_ref(entry_request_t *req);

/** entry_request_unref - drop a reference; the last one frees the request. */
void entry_request_unref(entry_request_t *req);

/**
 * entry_request_wake - wake threads that wait for a change of the request.
 *
 * Also resumes the connection of the caller if that is suspended. The caller of
 * the function holds req->lock.
 */
void entry_request_wake(entry_request_t *req);

/**
 * entry_request_wake_sender - let the worker that sends the request go on.
 *
 * The caller of the function holds req->lock.
 */
void entry_request_wake_sender(entry_request_t *req);

/**
 * entry_request_end - finish the response.
 * @truncated: the body ended before it was complete
 */
void entry_request_end(entry_request_t *req, bool truncated);

/**
 * entry_request_fail - finish with a response that this entry makes.
 * @status: HTTP status
 * @reason: word for the header Hemlock-Reason
 * @retry_after: wait in the header Retry-After; 0: no such header
 *
 * Replaces a response that has been received but not published.
 */
void entry_request_fail(entry_request_t *req, unsigned status,
			entry_outcome_t outcome, const char *reason,
			usec_t retry_after);

/** entry_request_is_ending - whether the stop of the entry ends all calls now. */
bool entry_request_is_ending(const entry_request_t *req);

/**
 * entry_request_fail_cancelled - finish a cancelled call that is not at a copy.
 * @outcome: outcome of its earlier sends, if any
 *
 * At the end of a stop the caller is still connected. It gets 503 with a
 * Retry-After, so that it sends the call again, if the call has not run, else 502.
 */
void entry_request_fail_cancelled(entry_request_t *req,
				  entry_outcome_t outcome);

/**
 * entry_request_cancel - cancel the sends after the caller disconnected, or at the
 * end of a stop.
 */
void entry_request_cancel(entry_request_t *req);

/** entry_request_reset - discard the response before another send. */
void entry_request_reset(entry_request_t *req);

/**
 * struct entry_upstream_t - run-time state of one service.
 *
 * Holds the lock, the decision state with the copies, and the histograms. Calls
 * reach it by their Host header, or with entry.routed by a route.
 */
typedef struct entry_upstream {
	struct cds_list_head link;
	char name[HL_NAME_MAX];
	struct entry *entry;
	pthread_mutex_t lock;
	entry_service_t service;
	config_profile_t *profile;
	bool declared; /* the service is in the configuration in force */
	bool cut_off;  /* this entry reaches no copy; entry-reach-test.c */
	entry_siblings_t siblings; /* while paths are lost; entry-sibling.c */
	/* Until then this entry reports that a sibling reaches copies that it
	   lacks; 0: it does not. */
	usec_t impaired_until;
	usec_t siblings_alike_until; /* until then no sibling is asked for room */
	char health_path[HL_MESSAGE_MAX]; /* "": copies are not probed */
	unsigned rate;	 /* limit of the service, calls/s; 0: none */
	unsigned owners; /* number of owners; 0: see owner_hash_service() */
	char (*stops)[HL_NAME_MAX]; /* names of copies with a planned stop */
	unsigned stop_count;
	uint64_t *hedges_sent; /* counters, NULL before the first hedge */
	uint64_t *hedges_won;
	pthread_mutex_t measure_lock;
	struct cds_list_head measures;
	unsigned measure_count;
} entry_upstream_t;

/** entry_upstream_find - return the upstream of a service, or NULL. */
entry_upstream_t *entry_upstream_find(struct entry *entry, const char *name);

/* Maximum number of services of an entry without keepers; bounds the memory
   that callers can use up with invented service names. */
#define ENTRY_UPSTREAMS_MAX 4096

/**
 * entry_upstream_find_or_add - find the upstream of a service or add one.
 *
 * A new upstream has a profile of default values.
 *
 * Return: the upstream, or NULL if out of memory.
 */
entry_upstream_t *entry_upstream_find_or_add(struct entry *entry,
					     const char *name);

/**
 * entry_upstream_report_rate - report the rate of a copy, if it is not yet in
 * the configuration, to the keepers.
 *
 * Does nothing without entry.routed. The caller holds upstream->lock.
 */
void entry_upstream_report_rate(entry_upstream_t *upstream, entry_copy_t *copy,
				usec_t now);

/**
 * entry_upstream_report_leaving - report a copy that has responded that it
 * leaves, and is not yet draining in the configuration, to the keepers.
 *
 * Does nothing without entry.routed. The caller holds upstream->lock.
 */
void entry_upstream_report_leaving(const entry_upstream_t *upstream,
				   entry_copy_t *copy);

/** entry_upstream_count - return the number of upstreams. */
unsigned entry_upstream_count(struct entry *entry);

/**
 * entry_upstream_next - return the upstream after @upstream.
 * @upstream: NULL for the first one
 *
 * An upstream is not freed before the process ends, so the caller needs no lock
 * between two calls.
 */
entry_upstream_t *entry_upstream_next(struct entry *entry,
				      entry_upstream_t *upstream);

/** entry_upstream_free_all - free all upstreams at the end of the process. */
void entry_upstream_free_all(struct entry *entry);

/** entry_measure_call - count a completed call by tenant and class. */
void entry_measure_call(entry_request_t *req, usec_t now);

/** entry_measure_free - free the histograms of an upstream. */
void entry_measure_free(entry_upstream_t *upstream);

/* entry-trace.c: log events of calls and of the health of copies. */

/** entry_trace_sent - log the start of a send and the input of its decision. */
void entry_trace_sent(entry_request_t *req, usec_t now);

/**
 * entry_trace_mismatched - log a response that is not the one to a call.
 * @other_id: id in the response; empty if it has none
 * @conn: connection over which it came
 */
void entry_trace_mismatched(const entry_request_t *req, const char *other_id,
			    const entry_conn_t *conn);

/** entry_trace_given_up - log that a send was ended, as its path is lost. */
void entry_trace_given_up(const entry_request_t *req);

/**
 * entry_trace_failed - log a send that got no successful response.
 * @sent: when the send began
 */
void entry_trace_failed(entry_request_t *req, entry_result_t result,
			usec_t sent, usec_t now);

/** entry_trace_bad_status - log a status line that no response can have. */
void entry_trace_bad_status(const entry_request_t *req, const char *line,
			    size_t size);

/**
 * entry_trace_ended - log the end of a call.
 * @complete: the caller received the complete response
 */
void entry_trace_ended(entry_request_t *req, bool complete, usec_t now);

/**
 * entry_trace_no_route - log that a call matches no route, with the age of the
 * configuration that shows that.
 */
void entry_trace_no_route(const entry_request_t *req, usec_t now);

/** entry_trace_stop_refused - log that a call may outlast the entry's stop. */
void entry_trace_stop_refused(const entry_request_t *req, usec_t now);

/** entry_trace_copy_crashed - log that a copy crashed while it ran a call. */
void entry_trace_copy_crashed(const entry_request_t *req, const char *digest);

/** entry_trace_blocked - log that a call is not sent, as it crashes copies. */
void entry_trace_blocked(const entry_request_t *req, const char *digest);

/** entry_trace_copy_leaves - log that a copy has responded that it leaves. */
void entry_trace_copy_leaves(const char *service, const char *copy,
			     const char *call_id);

/** entry_trace_copy_rests - log that a copy has asked for no calls for @rest. */
void entry_trace_copy_rests(const char *service, const char *copy,
			    const char *call_id, usec_t rest);

/**
 * entry_trace_handed_over - log that a call is sent to a sibling entry.
 * @fit: number of siblings that it could have been sent to
 * @reason: why this entry does not send it to a copy
 */
void entry_trace_handed_over(const entry_request_t *req, const char *sibling,
			     unsigned fit, const char *reason);

/**
 * entry_trace_copy_rate - log that a copy names another rate that it accepts.
 * @millirate: calls per 1000 seconds; 0: it names none any more
 */
void entry_trace_copy_rate(const char *service, const char *copy,
			   const char *call_id, unsigned millirate);

/**
 * entry_trace_health - log that a copy was ejected or readmitted.
 * @context: the entry_upstream_t
 *
 * Callback for entry_service_t.on_health.
 */
void entry_trace_health(void *context, const entry_copy_t *copy, bool ejected);

typedef struct entry_forward entry_forward_t;

/**
 * entry_forward_new - create the table of connection pools to sibling entries.
 *
 * Return: the table, or NULL if out of memory.
 */
entry_forward_t *entry_forward_new(void);

/** entry_forward_free - free the table; NULL is allowed. */
void entry_forward_free(entry_forward_t *forward);

/**
 * entry_forward_pool - return the connection pool of a sibling entry.
 * @address: call address of the sibling
 *
 * Return: the pool with a reference, or NULL if out of memory.
 */
entry_conn_pool_t *entry_forward_pool(entry_forward_t *forward,
				      const char *address);

/** entry_forward_is_fit - whether a sibling is not known to be unfit. */
bool entry_forward_is_fit(entry_forward_t *forward, const char *address,
			  usec_t now);

/** entry_forward_set_unfit - avoid a sibling that could not serve a call. */
void entry_forward_set_unfit(entry_forward_t *forward, const char *address,
			     usec_t until);

/**
 * entry_forward_waiting - hand waiting calls over to a sibling owner.
 * @upstream: upstream of the service of the calls
 * @address: call address of the sibling
 * @credits: number of credits that the sibling offered
 */
void entry_forward_waiting(entry_upstream_t *upstream, const char *address,
			   unsigned credits);

/**
 * entry_forward_offer - offer free credits with the response to a call.
 *
 * Does nothing unless a sibling owner handed the call over while more calls
 * waited there. The offered credits are reserved for a few milliseconds. The
 * caller holds the lock of the upstream.
 */
void entry_forward_offer(entry_request_t *req, usec_t now);

/**
 * entry_forward_to_owner - hand a call over if this entry owns no copy.
 *
 * The call goes to an owner of its service. Callers cache look-ups, so one may
 * still use the address of an entry that no longer owns a copy.
 */
void entry_forward_to_owner(entry_request_t *req);

/**
 * entry_handover_refused - hand a call over instead of refusing it.
 *
 * Return: true if the call was passed to a worker, which sends it to a sibling
 * entry.
 */
bool entry_handover_refused(entry_request_t *req, entry_refusal_t refusal,
			    usec_t now);

/**
 * entry_handover_ends_wait - whether a call must not wait for a copy any longer, as
 * siblings may serve it or, if a sibling sent it, others may.
 */
bool entry_handover_ends_wait(entry_request_t *req, usec_t now);

/**
 * entry_handover_awaits_sibling - whether a call that no copy can take here waits
 * until siblings have answered whether they reach one.
 */
bool entry_handover_awaits_sibling(entry_request_t *req, usec_t now);

/**
 * entry_handover_preferred - hand a call over that would wait for the few copies
 * that this entry reaches.
 *
 * Return: as entry_handover_refused().
 */
bool entry_handover_preferred(entry_request_t *req, usec_t now);

/**
 * entry_handover_declines - whether to refuse a call of a sibling at once, since
 * it would wait for the few copies that this entry reaches.
 */
bool entry_handover_declines(entry_request_t *req, usec_t now);

/**
 * entry_handover_waiting - hand a call over that waits for another copy after a
 * failed send, if this entry lacks paths to many copies.
 *
 * Return: as entry_handover_refused().
 */
bool entry_handover_waiting(entry_request_t *req, usec_t now);

/**
 * entry_handover_give_up - end sends whose path is lost, so that siblings repeat the
 * calls.
 */
void entry_handover_give_up(entry_upstream_t *upstream, usec_t now);

/** entry_handover_unsent - as entry_handover_refused(), for a call not sent. */
bool entry_handover_unsent(entry_request_t *req, usec_t now);

/** entry_handover_is_active - whether a call is being sent to a sibling. */
bool entry_handover_is_active(const entry_request_t *req);

/** enum entry_handover_t - what follows the end of a send to a sibling. */
typedef enum {
	ENTRY_HANDOVER_ENDED,	 /* the call ends with this result */
	ENTRY_HANDOVER_SENT,	 /* a worker sends it to another sibling */
	ENTRY_HANDOVER_RETURNED, /* no sibling has run it: dispatch it here */
} entry_handover_t;

/** entry_handover_end - handle the end of a send to a sibling entry. */
entry_handover_t entry_handover_end(entry_request_t *req, entry_result_t result,
				    usec_t now);

/**
 * entry_reach_test_run - start the tests of the copies of a service that are
 * due.
 *
 * Return: when to call it again, or INT64_MAX.
 */
usec_t entry_reach_test_run(entry_upstream_t *upstream, usec_t now);

/**
 * entry_reach_test_sweep - update what depends on reachability after a change of
 * the copies.
 *
 * To be called about once a second.
 */
void entry_reach_test_sweep(entry_t *entry, usec_t now);

/**
 * entry_sibling_run - ask siblings while this entry lacks paths to copies.
 *
 * Return: when to call it again, or USEC_NEVER.
 */
usec_t entry_sibling_run(entry_upstream_t *upstream, usec_t now);

/**
 * entry_sibling_question - return the service of a sibling's question, or NULL.
 * @target: target of the request
 */
const char *entry_sibling_question(const char *target);

/** entry_keepers_answer - answer a question for the keepers that this entry uses. */
void entry_keepers_answer(entry_request_t *req, usec_t now);

/** entry_sibling_answer - answer the question of a sibling. */
void entry_sibling_answer(entry_request_t *req, const char *service,
			  usec_t now);

/** entry_sibling_record - record what is known of a sibling for a service. */
void entry_sibling_record(entry_upstream_t *upstream, const char *address,
			  entry_sibling_state_t state, usec_t now);

/**
 * entry_sibling_confirm - record that a sibling reaches copies of a service.
 *
 * If this entry lacks paths to them, it reports to the keepers for some seconds
 * that it is impaired.
 */
void entry_sibling_confirm(entry_upstream_t *upstream, const char *address,
			   usec_t now);

/**
 * entry_sibling_choose - choose a sibling for a call, as entry_siblings_choose().
 * @address: set to its call address, or ""
 *
 * Return: false if no sibling is known, as none was needed yet.
 */
bool entry_sibling_choose(entry_upstream_t *upstream, char *address,
			  unsigned *count, usec_t now);

/**
 * entry_sibling_is_impaired - whether siblings reach copies of a service that this
 * entry does not reach.
 */
bool entry_sibling_is_impaired(entry_t *entry, usec_t now);

typedef struct entry_work entry_work_t;

/**
 * entry_work_new - create a pool of worker threads, started on demand.
 * @max: maximum number of threads
 *
 * Return: the pool, or NULL if out of memory.
 */
entry_work_t *entry_work_new(unsigned max);

/** entry_work_push - queue a request to be sent by a worker thread. */
void entry_work_push(entry_work_t *work, entry_request_t *req);

/** entry_work_free - process the queue, then end the threads and free. */
void entry_work_free(entry_work_t *work);

typedef struct entry_read_timeout entry_read_timeout_t;

/**
 * entry_read_timeout_new - create the table of read timeouts of callers.
 *
 * Return: the object, or NULL if out of memory.
 */
entry_read_timeout_t *entry_read_timeout_new(const entry_settings_t *settings,
					     metrics_t *metrics);

/** entry_read_timeout_free - free the object; NULL is allowed. */
void entry_read_timeout_free(entry_read_timeout_t *timeouts);

/**
 * entry_read_timeout_started - number of connections that libmicrohttpd has taken
 * since the start.
 */
uint64_t entry_read_timeout_started(entry_read_timeout_t *timeouts);

/**
 * entry_read_timeout_has_unread - has any connection input that was not read yet?
 *
 * One system call for each connection; for the end of a stop.
 */
bool entry_read_timeout_has_unread(entry_read_timeout_t *timeouts);

/**
 * entry_read_timeout_sweep - close connections whose read timeout has passed.
 *
 * To be called about once a second.
 */
void entry_read_timeout_sweep(entry_read_timeout_t *timeouts, usec_t now);

typedef struct entry_linger entry_linger_t;

/**
 * entry_linger_new - create the table of sockets that are kept for a while.
 *
 * Return: the table, or NULL if out of memory.
 */
entry_linger_t *entry_linger_new(void);

/** entry_linger_free - close all sockets and free the table; NULL is allowed. */
void entry_linger_free(entry_linger_t *linger);

/**
 * entry_linger_add - keep a socket after its response until the caller closes.
 * @fd: socket of the connection, which its owner may close afterwards
 *
 * Ends the output of the socket, so that the caller sees the end of the
 * response. Does nothing if the table is full.
 *
 * Return: when to call entry_linger_sweep(), or INT64_MAX.
 */
usec_t entry_linger_add(entry_linger_t *linger, int fd, usec_t now);

/** entry_linger_is_idle - whether no socket is kept. */
bool entry_linger_is_idle(entry_linger_t *linger);

/**
 * entry_linger_sweep - discard input, and close sockets that have ended.
 *
 * Return: when to call it again, or INT64_MAX if no socket is kept.
 */
usec_t entry_linger_sweep(entry_linger_t *linger, usec_t now);

typedef struct entry_pending entry_pending_t;

/**
 * entry_pending_new - create the queue of calls that arrive before the routes.
 * @now: start of the process
 *
 * A process has no routes for a moment after its start. If it refused calls
 * then, a caller could be refused again by the next entry that restarts.
 *
 * Return: the queue, or NULL if out of memory.
 */
entry_pending_t *entry_pending_new(usec_t now);

/** entry_pending_free - free the queue; NULL is allowed. */
void entry_pending_free(entry_pending_t *pending);

/**
 * entry_pending_accepts - may a call without routes be queued?
 *
 * Return: false if @pending is NULL or the time after the start of the process
 * in which calls are queued is over.
 */
bool entry_pending_accepts(const entry_pending_t *pending, usec_t now);

/**
 * entry_pending_add - queue a call until there are routes, or one without a route
 * until the keepers have confirmed that there is none.
 */
void entry_pending_add(struct entry *entry, entry_request_t *req, usec_t now);

/**
 * entry_pending_release - match all queued calls to the routes again.
 *
 * Those that match are dispatched; others stay until the routes are confirmed.
 */
void entry_pending_release(struct entry *entry, usec_t now);

/**
 * entry_pending_expire - refuse calls that have waited too long.
 *
 * Return: when to call it again, or INT64_MAX if no call waits.
 */
usec_t entry_pending_expire(struct entry *entry, usec_t now);

typedef struct entry_watch entry_watch_t;

/**
 * entry_watch_new - create the watch for callers that disconnect.
 *
 * Return: the watch, or NULL with @err set.
 */
entry_watch_t *entry_watch_new(hl_error_t *err);

/** entry_watch_child - the thread of the watch, for the supervisor. */
supervisor_child_t entry_watch_child(entry_watch_t *watch);

/** entry_watch_add - cancel a request once the peer of @fd disconnects. */
void entry_watch_add(entry_watch_t *watch, entry_request_t *req, int fd);

/** entry_watch_remove - end the watch of a request; no-op if not watched. */
void entry_watch_remove(entry_watch_t *watch, entry_request_t *req, int fd);

/**
 * entry_watch_cancel_all - cancel all requests in flight.
 *
 * Their sends end, and each gets a response that says whether it may have run.
 */
void entry_watch_cancel_all(entry_watch_t *watch);

/** entry_watch_free - close the watch; NULL is allowed. */
void entry_watch_free(entry_watch_t *watch);

/** struct entry_t - state of the entry process. */
struct entry {
	entry_settings_t settings;
	keys_t *keys;
	entry_policy_t policy;
	metrics_t *metrics;
	pthread_mutex_t upstreams_lock;
	struct cds_list_head upstreams;
	GHashTable *upstreams_by_name;
	entry_work_t *work;
	entry_watch_t *watch;
	entry_read_timeout_t *read_timeout;
	entry_linger_t *linger;
	entry_forward_t *forward;
	uint64_t *lend_header_bytes;	/* counter: credit headers on calls */
	uint64_t *mismatched_responses; /* counter: of another call or none */
	entry_config_age_t config_age;
	member_t *member;
	struct entry_claims *claims;
	config_follow_t *follow;     /* NULL without keepers */
	presence_client_t *presence; /* NULL without entry.routed */
	struct entry_crashes *crashes;
	unsigned reach_tests; /* running, see entry-reach-test.c; atomic */
	/* Of questions to siblings; used by the tick thread only. */
	entry_question_rate_t question_rate;
	entry_prober_t *prober;	    /* NULL unless the policy is "reports" */
	pthread_mutex_t rules_lock; /* guards the next two fields */
	entry_rules_t *rules;	    /* routes by host and path, or NULL */
	uint64_t rules_revision;
	entry_pending_t *pending; /* NULL without entry.routed */
	char call_address[HL_ADDRESS_MAX];
	pthread_mutex_t tick_lock;
	pthread_cond_t tick_wake;
	usec_t tick_due;  /* latest time of the next run of the tick thread */
	usec_t started;	  /* before the ports were opened */
	bool first_start; /* no key was ever claimed on this entry */
	owner_t *owner;
	const char *settings_path;
	signals_t signals;
	struct http_listener *call_listener;
	bool refuse_calls; /* new calls are refused; accessed atomically */
	bool ending; /* calls are ended at the end of a stop; accessed atomically */
	bool cut_calls; /* calls in flight are cut; accessed atomically */
	struct MHD_Daemon *control_daemon;
	struct MHD_Daemon *directory_daemon; /* NULL without directory_listen */
	entry_stop_t stop;		     /* valid while stopping */
	volatile int stopping;
	unsigned in_flight;
};

/**
 * entry_dispatch_arrive - dispatch a request that has been received.
 *
 * Sends, queues or refuses it. A request that is forwarded, or whose copies
 * are probed first, goes to a worker thread.
 */
void entry_dispatch_arrive(entry_request_t *req, usec_t now);

/** entry_dispatch_decide - send, queue or refuse a request after its probes. */
void entry_dispatch_decide(entry_request_t *req, usec_t now);

/** entry_dispatch_refuse - refuse a request and drop its reference. */
void entry_dispatch_refuse(entry_request_t *req,
			   const entry_decision_t *decision);

/** entry_dispatch_end - retry or respond after a send that ended in @result. */
void entry_dispatch_end(entry_request_t *req, entry_result_t result,
			usec_t now);

/** entry_dispatch_next - send the waiting calls for which there are credits. */
void entry_dispatch_next(entry_upstream_t *upstream, usec_t now);

/** entry_dispatch_expire - refuse waiting calls that are not served in time. */
void entry_dispatch_expire(entry_upstream_t *upstream, usec_t now);

/**
 * entry_hedge_due - when a running call is to be considered for a hedge.
 *
 * The caller holds the lock of the request's upstream.
 *
 * Return: a time, or INT64_MAX if the call is not hedged.
 */
usec_t entry_hedge_due(const entry_request_t *req);

/**
 * entry_hedge_send_due - send the due hedges of a service's running calls.
 *
 * Return: when to call the function again, or INT64_MAX if no hedge can become
 * due.
 */
usec_t entry_hedge_send_due(entry_upstream_t *upstream, usec_t now);

/**
 * entry_hedge_end - process the end of a hedge's send.
 * @hedge: the request object of the hedge
 * @result: how the send ended
 *
 * If the primary send has already failed, the call ends with this result.
 * Otherwise a response of the hedge that can be relayed ends the primary send,
 * and after any other result the primary send continues. Drops the reference to
 * @hedge.
 */
void entry_hedge_end(entry_request_t *hedge, entry_result_t result, usec_t now);

/**
 * entry_hedge_cancel - cancel the hedge of a request, if there is one.
 *
 * The caller holds the lock of the request's upstream.
 */
void entry_hedge_cancel(entry_request_t *req);

/**
 * entry_hedge_move_response - move the response of a hedge to its primary.
 * @req: the primary request, whose own send has ended
 * @result: how the send of the hedge ended
 */
void entry_hedge_move_response(entry_request_t *req, entry_request_t *hedge,
			       entry_result_t result);

/**
 * entry_config_new - create entry->follow, which follows the configuration of
 * the keepers.
 * @self: name and addresses of this entry, with which it joins the tree of
 *        entries that pass the configuration on; NULL to poll the keepers
 *        directly
 *
 * Does nothing if the settings have no keepers.
 *
 * Return: 0, or -1 with @err set.
 */
int entry_config_new(entry_t *entry, const owner_member_t *self,
		     hl_error_t *err);

/** entry_config_count_send - count the age of the configuration at a send. */
void entry_config_count_send(const entry_request_t *req, usec_t now);

/** entry_config_ready - is a configuration in force, or are no keepers set? */
bool entry_config_ready(const entry_t *entry);

/**
 * entry_config_confirmed - does the configuration in force show which routes are
 * not declared? See config_follow_confirmed(); with entry.routed only.
 */
bool entry_config_confirmed(const entry_t *entry, usec_t now);

/**
 * entry_config_confirmed_at - when was the configuration in force last confirmed?
 *
 * See config_follow_confirmed_at(); 0 without a confirmation.
 */
usec_t entry_config_confirmed_at(const entry_t *entry);

/**
 * entry_config_may_confirm - may a call without a route wait for a confirmation?
 *
 * See config_follow_may_confirm(); with entry.routed only.
 */
bool entry_config_may_confirm(const entry_t *entry, usec_t now);

/**
 * entry_config_outdated - do keepers report a newer revision, which is late?
 *
 * See config_follow_outdated(). Calls must not be routed meanwhile.
 */
bool entry_config_outdated(const entry_t *entry, usec_t now);

/**
 * entry_config_start_state - state of the start of the configuration, 0 once it is
 * confirmed. See config_follow_start_state(); with entry.routed only.
 */
unsigned entry_config_start_state(const entry_t *entry);

/**
 * entry_config_holds - must a call with this route wait for the keepers?
 * @state: entry_config_start_state() before the call was matched
 *
 * See config_follow_holds().
 */
bool entry_config_holds(const entry_t *entry, unsigned state,
			const entry_request_t *req, const entry_rule_t *rule,
			usec_t now);

/**
 * entry_config_copy_is_pending - must a copy get no calls until a leader responds?
 * @name: id of the copy
 *
 * See config_follow_copy_is_pending().
 */
bool entry_config_copy_is_pending(const entry_t *entry, const char *name);

/**
 * entry_config_check_start - release the calls that no longer have to wait.
 *
 * Return: when to call it again, or USEC_NEVER. See config_follow_check_start().
 */
usec_t entry_config_check_start(const entry_t *entry, usec_t now);

/**
 * entry_config_revision - return the revision of the configuration in force.
 * @context: the entry_t
 */
uint64_t entry_config_revision(void *context);

/**
 * entry_config_upstream - return the upstream of a service that may be called.
 *
 * Return: NULL if the service is not declared, or, without keepers, if there
 * are ENTRY_UPSTREAMS_MAX services already.
 */
entry_upstream_t *entry_config_upstream(entry_t *entry, const char *service);

/** entry_config_stop_planned - is a planned stop in force for a copy? */
bool entry_config_stop_planned(entry_upstream_t *upstream, const char *copy);

/**
 * entry_probe_choose - probe two copies and choose the less loaded one.
 *
 * Called by a worker under ENTRY_POLICY_TWO_CHOICES.
 *
 * Return: ENTRY_SEND with the credit taken, or ENTRY_REFUSE.
 */
entry_decision_t entry_probe_choose(entry_request_t *req);

/**
 * entry_probe_on_state - record that a probed copy leaves or rests, or the rate
 * that it accepts.
 * @probe: its context is the upstream of the copy
 *
 * Callback of the prober.
 */
void entry_probe_on_state(const entry_probe_t *probe);

/** entry_probe_on_late - record a probe that no worker waits for any more. */
void entry_probe_on_late(const entry_probe_t *probe);

/** struct entry_crashes_t - the suspected calls of an entry, with a lock. */
typedef struct entry_crashes entry_crashes_t;

/** entry_crashes_new - create the state; NULL if out of memory. */
entry_crashes_t *entry_crashes_new(void);

/** entry_crashes_free - free the state; NULL is allowed. */
void entry_crashes_free(entry_crashes_t *crashes);

/**
 * entry_crash_check - after a send was cut, check whether its copy has crashed.
 * @address: address of the copy
 * @sent: when the send began
 *
 * Records and reports the crash. Blocks for 100 ms for each copy that
 * does not answer, five copies at most.
 *
 * Return: false if no copy takes a connection, so that paths are lost.
 */
bool entry_crash_check(entry_request_t *req, const char *address, usec_t sent);

/** entry_crash_is_blocked - whether a call has crashed too many copies. */
bool entry_crash_is_blocked(const entry_request_t *req);

/** entry_crash_on_answer - a copy has answered a call, so it does not crash. */
void entry_crash_on_answer(const entry_request_t *req);

/** entry_crash_apply - apply the suspected calls in a new configuration. */
void entry_crash_apply(entry_t *entry, const config_t *config, usec_t now);

/**
 * entry_crash_tick - report crashes again that the configuration lacks.
 *
 * To be called about once a second.
 */
void entry_crash_tick(entry_t *entry, usec_t now);

/**
 * entry_target_presence_new - start to report this entry to the keepers.
 *
 * To be called only if the setting entry.routed is true.
 *
 * Return: 0, or -1 with @err set.
 */
int entry_target_presence_new(entry_t *entry, hl_error_t *err);

/** entry_target_apply - apply the routes and copies of a configuration. */
void entry_target_apply(entry_t *entry, const config_t *config, usec_t now);

/** entry_target_apply_pending - apply a change of entry_config_copy_is_pending(). */
void entry_target_apply_pending(entry_t *entry, usec_t now);

/**
 * entry_target_rules_revision - return the revision of the routes in force, 0 if
 * there are none.
 */
uint64_t entry_target_rules_revision(entry_t *entry);

/**
 * entry_target_is_impaired - should callers use other entries, if there are any?
 *
 * True while this entry refuses calls since its routes are outdated, and while
 * other entries reach copies that it does not reach.
 */
bool entry_target_is_impaired(entry_t *entry, usec_t now);

/** entry_target_has_routes - are routes in force? */
bool entry_target_has_routes(entry_t *entry);

/**
 * entry_target_match_route - find the route of a call by host and path.
 * @host: value of the Host header
 * @target: path and query of the request
 * @part: as in entry_rules_match()
 * @rule: filled in; its strings point to @service and @name
 * @service: receives the name of the service
 * @name: receives the name of the route
 *
 * To be called only if entry_target_has_routes() is true.
 *
 * Return: false if no route matches.
 */
bool entry_target_match_route(entry_t *entry, const char *host,
			      const char *target, const char *part,
			      entry_rule_t *rule, char service[HL_NAME_MAX],
			      char name[HL_NAME_MAX]);

/**
 * entry_probe_refresh_reports - probe copies of a call's service before the
 * call is sent.
 *
 * Called by a worker under ENTRY_POLICY_REPORTS. Probes the copies with the
 * lowest expected cost that have no recent load report, and stores their
 * reports in the state of the service. Probes again, and blocks, until
 * entry_service_wait_for_copy() finds a copy good enough for the call or no
 * time to wait is left.
 */
void entry_probe_refresh_reports(entry_request_t *req);

/**
 * entry_probe_wake - wake a call that waits for a copy, if one has room now.
 *
 * Called after reports of copies have arrived, without a lock.
 */
void entry_probe_wake(entry_upstream_t *upstream, usec_t now);

/** entry_tick_init - initialize the lock and due time of the tick thread. */
void entry_tick_init(entry_t *entry);

/** entry_tick_child - return the thread that runs the timers of the entry. */
supervisor_child_t entry_tick_child(entry_t *entry);

/** entry_tick_schedule - let the tick thread run at @due at the latest. */
void entry_tick_schedule(entry_t *entry, usec_t due);

/** entry_tick_schedule_soon - let the tick thread run soon. */
void entry_tick_schedule_soon(entry_t *entry, usec_t now);

/** entry_relay_send - send a request once and receive the response. */
void entry_relay_send(entry_request_t *req);

/** entry_relay_finish - finish the response to the caller after a send. */
void entry_relay_finish(entry_request_t *req, entry_result_t result);

/** entry_http_start - listen for calls; returns -1 with @err set. */
int entry_http_start(entry_t *entry, hl_error_t *err);

/**
 * entry_http_stop - stop listening and close all connections.
 *
 * Waits for calls in flight until the end of the stop, then ends them.
 */
void entry_http_stop(entry_t *entry);

/**
 * entry_owner_new - create the state of the copies that this entry owns.
 *
 * Return: 0, or -1 with @err set.
 */
int entry_owner_new(entry_t *entry, const owner_member_t *self,
		    hl_error_t *err);

/** entry_owner_may_send - is the lease of the request's copy valid at @now? */
bool entry_owner_may_send(entry_request_t *req, usec_t now);

/**
 * entry_lookup_members - list the live entries, including this one.
 *
 * Return: their number, at most @max.
 */
unsigned entry_lookup_members(entry_t *entry, owner_member_t *out,
			      unsigned max);

#endif
