#ifndef ENTRY_ONCE_H
#define ENTRY_ONCE_H

#include <curl/curl.h>
#include <stdbool.h>

/*
 * Transfers of libcurl that send their request at most once. libcurl sends a
 * request again by itself when an open connection ends before the response; the
 * request may have run by then. Whether it is repeated is the entry's decision, which
 * counts attempts and keeps the retry budget.
 */

/**
 * entry_once_set - let a transfer end when its request would be sent again.
 * @easy: handle after curl_easy_reset(); sets its callbacks for opened sockets and
 *        for requests
 *
 * A request of which no byte was sent may still be sent over another connection.
 */
void entry_once_set(CURL *easy);

/** entry_once_is_sent - have bytes of the request of a transfer been sent? */
bool entry_once_is_sent(CURL *easy);

#endif
