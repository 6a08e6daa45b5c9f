#ifndef CONFIG_SOURCE_H
#define CONFIG_SOURCE_H

#include "config.h"
#include "follow_rpc.h"
#include "metrics.h"

/** struct config_source_t - the connection to a parent or a keeper. */
typedef struct {
	char address[HL_ADDRESS_MAX];
	bool keeper;
	CLIENT *client;
	uint64_t in, out; /* bytes of this connection already counted */
	uint64_t *bytes_in, *bytes_out, *segments; /* metrics */
	uint64_t segments_seen;
} config_source_t;

/** config_source_init - not connected; counts into @metrics. */
void config_source_init(config_source_t *source, metrics_t *metrics);

/** config_source_open - connect, or keep the connection if it is there. */
int config_source_open(config_source_t *source, const char *address,
		       bool keeper, usec_t timeout, hl_error_t *err);

/** config_source_close - end the connection, if there is one. */
void config_source_close(config_source_t *source);

/** config_source_count - count the bytes since the last time. */
void config_source_count(config_source_t *source);

#endif
