#include "config-confirm.h"

#define CONFIRM_RETRY_INTERVAL (60 * USEC_PER_MS)
#define CONFIRM_RETRY_INTERVAL_MAX (960 * USEC_PER_MS)

void config_confirm_apply(config_confirm_t *confirm, uint64_t revision)
{
	confirm->applied = revision;
}

bool config_confirm_record(config_confirm_t *confirm, uint64_t newest,
			   usec_t at)
{
	if (!newest || newest != confirm->applied || at <= confirm->newest_at)
		return false;
	confirm->newest_at = at;
	return true;
}

usec_t config_confirm_retry_interval(unsigned failures)
{
	usec_t interval = CONFIRM_RETRY_INTERVAL;

	while (failures-- > 0 && interval < CONFIRM_RETRY_INTERVAL_MAX)
		interval *= 2;
	return interval;
}
