#ifndef HTTP_STATUS_H
#define HTTP_STATUS_H

/* Status codes of HTTP that entries use towards callers and copies. */

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_BAD_REQUEST 400
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_CONTENT_TOO_LARGE 413
#define HTTP_MISDIRECTED_REQUEST 421
#define HTTP_UNPROCESSABLE 422
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_CLIENT_CLOSED_REQUEST 499 /* the caller has left */
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

#endif
