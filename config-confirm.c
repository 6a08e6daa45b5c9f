#include "config-confirm.h"

void config_confirm_apply(config_confirm_t *confirm, uint64_t revision)
{
	confirm->applied = revision;
}

bool config_confirm_record(config_confirm_t *confirm, uint64_t newest,
			   usec_t at)
{
	if (newest != confirm->applied || at <= confirm->newest_at)
		return false;
	confirm->newest_at = at;
	return true;
}
