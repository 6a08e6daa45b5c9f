#ifndef CONFIG_SOURCE_H
#define CONFIG_SOURCE_H

#include "config.h"
#include "follow_rpc.h"
#include "metrics.h"

/*
 * The RPC connection of a configuration follower to the parent or keeper that
 * it polls, with metrics of the TCP traffic on it.
 */

/** struct config_source_t - connection to a parent or a keeper. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	bool keeper;	      /* a keeper, not a parent */
	CLIENT *client;	      /* NULL if not connected */
	uint64_t counted_in;  /* received bytes in the metrics */
	uint64_t counted_out; /* acknowledged sent bytes in the metrics */
	uint64_t *bytes_in, *bytes_out, *segments; /* metrics */
	uint64_t counted_segments;		   /* segments in the metrics */
} config_source_t;

/** config_source_init - initialize without a connection; register metrics. */
void config_source_init(config_source_t *source, metrics_t *metrics);

/**
 * config_source_open - connect, unless already connected to that peer.
 * @source: the connection
 * @address: "ip:port"
 * @keeper: whether the peer is a keeper
 * @timeout: timeout of the connect and of each later call, in microseconds
 * @err: HL_ERR_USAGE, HL_ERR_UNAVAILABLE or HL_ERR_TIMEOUT
 *
 * Return: 0 or -1.
 */
int config_source_open(config_source_t *source, const char *address,
		       bool keeper, usec_t timeout, hl_error_t *err);

/** config_source_close - close the connection, if there is one. */
void config_source_close(config_source_t *source);

/** config_source_update_metrics - add the traffic since the last update. */
void config_source_update_metrics(config_source_t *source);

#endif
