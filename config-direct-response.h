#ifndef CONFIG_DIRECT_RESPONSE_H
#define CONFIG_DIRECT_RESPONSE_H

#include "config-start.h"
#include "keeper_rpc.h"
#include "presence.h"

/** struct config_direct_response_t - a response that is being received. */
typedef struct {
	char *bytes; /* of the body; freed by the caller */
	size_t size;
	size_t capacity;
	presence_keepers_t keepers;
	bool keepers_malformed; /* a header of keepers is malformed */
	config_start_response_t start;
} config_direct_response_t;

/** config_direct_write - append bytes of the body; a write function of libcurl. */
size_t config_direct_write(char *bytes, size_t size, size_t count,
			   void *context);

/** config_direct_header - read a header; a header function of libcurl. */
size_t config_direct_header(char *line, size_t size, size_t count,
			    void *context);

/**
 * config_direct_decode - decode the body.
 * @res: set to what the body has, freed with xdr_free()
 *
 * Return: false if it is malformed or too large.
 */
bool config_direct_decode(const config_direct_response_t *response,
			  keeper_fetch_res_t *res);

#endif
