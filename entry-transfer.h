#ifndef ENTRY_TRANSFER_H
#define ENTRY_TRANSFER_H

#include "entry-io.h"

/*
 * Callbacks of libcurl for one send of a request. They supply the body of the
 * call and store the response in the request.
 */

/* Size of the id of a send: two decimal numbers, a dash, the end of the text. */
#define ENTRY_SEND_ID_MAX (sizeof("18446744073709551615-4294967295"))

/** struct entry_transfer_t - one send of a request over one connection. */
typedef struct {
	entry_request_t *req;
	entry_conn_pool_t *pool;
	entry_conn_t *conn;
	usec_t sent;	      /* when the send began */
	bool head_complete;   /* the final head (not 1xx) was received */
	bool has_retry_after; /* Retry-After is present */
	bool has_rest;	      /* and can be read */
	usec_t rest;	      /* its value; valid with has_rest */
	bool copy_leaves;     /* the copy takes no further calls */
	unsigned millirate;   /* rate that the copy accepts; 0: none named */
	bool outcome_not_run; /* the copy declares the call not run */
	bool outcome_may_have_run;	 /* Hemlock-Outcome is may-have-run */
	bool has_outcome;		 /* Hemlock-Outcome is present */
	char send_id[ENTRY_SEND_ID_MAX]; /* of this send; empty: it has none */
	bool is_of_other_send; /* the response has the id of another send */
	bool call_id_matches;  /* the response has the id of this call */
	char other_id
		[HL_NAME_MAX]; /* id of another call or send in the response */
	bool mismatched;       /* the response belongs to another call */
	bool has_signature;    /* the response has the copy's signature */
	bool has_load;
	load_t load;	/* load that the copy reported; valid with has_load */
	bool expired;	/* the deadline passed before the response */
	bool cancelled; /* see entry_transfer_is_cancelled() */
	bool given_up;	/* see entry_service_give_up() */
	CURLcode code;
	long bytes_sent;
	bool read_paused; /* libcurl waits for more of the body to send */
	usec_t read_at;	  /* when bytes of the body were last sent; 0: never */
	size_t head_received;  /* bytes of heads and trailers */
	int64_t body_received; /* bytes of the response's body */
	usec_t whole_at; /* when the response was whole; 0: it is not yet */
	bool early;	 /* ended without the rest of the request's body */
} entry_transfer_t;

/**
 * entry_transfer_read - supply the next bytes of the body of the request.
 * @context: the transfer
 *
 * Return: the number of bytes, 0 at the end, CURL_READFUNC_PAUSE while the
 * caller has sent no more, or CURL_READFUNC_ABORT.
 */
size_t entry_transfer_read(char *out, size_t size, size_t count, void *context);

/**
 * entry_transfer_resume_read - go on sending the body if more was received.
 *
 * Called by the worker that drives the transfer.
 */
void entry_transfer_resume_read(entry_transfer_t *transfer);

/**
 * entry_transfer_header - store a header line of the response.
 * @context: the transfer
 *
 * Return: the length of the line, or 0 if out of memory.
 */
size_t entry_transfer_header(char *line, size_t size, size_t count,
			     void *context);

/**
 * entry_transfer_write - store bytes of the body of the response.
 * @context: the transfer
 *
 * Waits while the buffer is full.
 *
 * Return: the number of bytes, or 0 to end the transfer.
 */
size_t entry_transfer_write(char *bytes, size_t size, size_t count,
			    void *context);

/**
 * entry_transfer_open_socket - return the preconnected socket or open one.
 * @context: the connection
 */
curl_socket_t entry_transfer_open_socket(void *context, curlsocktype purpose,
					 struct curl_sockaddr *address);

/**
 * entry_transfer_connected - report whether the socket is connected already.
 * @context: the connection
 *
 * Return: CURL_SOCKOPT_ALREADY_CONNECTED for a preconnected socket, else
 * CURL_SOCKOPT_OK.
 */
int entry_transfer_connected(void *context, curl_socket_t fd,
			     curlsocktype purpose);

/**
 * entry_transfer_is_shed - did the copy shed the call, so that it did not run?
 *
 * True for the documented refusals: a header that declares it, or the status.
 */
bool entry_transfer_is_shed(const entry_transfer_t *transfer);

/**
 * entry_transfer_matches_id - does the response have the ids of call and send?
 *
 * An interface need not have either, nor a call an id, nor a response the id of the
 * send: what is missing is not compared.
 */
bool entry_transfer_matches_id(const entry_transfer_t *transfer);

/**
 * entry_transfer_matches_call - was the response made by a copy for this call?
 *
 * True if the interface has no header to check it by.
 */
bool entry_transfer_matches_call(const entry_transfer_t *transfer);

/**
 * entry_transfer_is_mismatched - does the response belong to another call or send?
 *
 * Also true if it was not made by a copy. Of a refusal only the id is compared, as it
 * has no signature.
 */
bool entry_transfer_is_mismatched(const entry_transfer_t *transfer);

/**
 * entry_transfer_response_whole - is the response complete?
 *
 * It can be before the request has been sent. False for a response without a
 * length, whose end only libcurl knows.
 */
bool entry_transfer_response_whole(const entry_transfer_t *transfer);

/** entry_transfer_outcome - outcome of a call that got a complete response. */
entry_outcome_t entry_transfer_outcome(const entry_transfer_t *transfer);

/**
 * entry_transfer_is_cancelled - must the send of a request be ended?
 *
 * True if the caller disconnected or the hedge has the response. The caller of
 * the function holds req->lock.
 */
bool entry_transfer_is_cancelled(const entry_request_t *req);

/**
 * entry_transfer_publish_partial - start to stream a slow response.
 *
 * Does nothing before ENTRY_RESPONSE_BUFFER_TIME, and for a response that may
 * lead to a retry.
 */
void entry_transfer_publish_partial(entry_transfer_t *transfer, usec_t now);

#endif
