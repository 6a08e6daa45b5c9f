#ifndef CONFIG_CONFIRM_H
#define CONFIG_CONFIRM_H

#include "hemlock.h"

/*
 * The time as of which the configuration that an entry applies was the newest
 * one. The leading keeper confirms it, in a response to a poll or to a
 * heartbeat. What a configuration does not have is only known not to be declared
 * as of that time.
 */
typedef struct {
	uint64_t applied; /* revision by which the entry routes calls */
	usec_t newest_at; /* as of then no newer one was accepted; 0: unknown */
} config_confirm_t;

/** config_confirm_apply - record that the entry routes calls by a revision. */
void config_confirm_apply(config_confirm_t *confirm, uint64_t revision);

/**
 * config_confirm_record - record a confirmation of the leading keeper.
 * @confirm: zeroed, or used before
 * @newest: newest revision that the keeper has accepted; 0: none
 * @at: time at which the keeper was asked
 *
 * Return: false if @newest is 0 or not applied, or @at is not newer than the last
 * confirmation.
 */
bool config_confirm_record(config_confirm_t *confirm, uint64_t newest,
			   usec_t at);

/**
 * config_confirm_retry_interval - pause after a poll that confirmed nothing.
 * @failures: such polls since the last confirmation, without this one
 */
usec_t config_confirm_retry_interval(unsigned failures);

#endif
