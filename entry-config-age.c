#include "entry-config-age.h"

void entry_config_age_init(entry_config_age_t *age, metrics_t *metrics)
{
	age->sends = metrics_histogram(
		metrics, "hemlock_sent_config_age_seconds", "",
		"Time from the last confirmation of the configuration to a "
		"send.");
	age->unconfirmed = metrics_counter(
		metrics, "hemlock_sent_unconfirmed_total", "",
		"Sends by a configuration that was not confirmed yet.");
	age->oldest = metrics_gauge(metrics, "hemlock_sent_config_age_max_ms",
				    "",
				    "Highest hemlock_sent_config_age_seconds.");
	age->last = metrics_gauge(metrics, "hemlock_config_confirmed_age_ms",
				  "",
				  "Time since the last confirmation of the "
				  "configuration, or since the start.");
}

void entry_config_age_sent(const entry_config_age_t *age, usec_t confirmed_at,
			   usec_t now)
{
	if (!confirmed_at) {
		metrics_add(age->unconfirmed, 1);
		return;
	}
	metrics_histogram_add(age->sends, now - confirmed_at);
	metrics_raise(age->oldest,
		      (uint64_t)((now - confirmed_at) / USEC_PER_MS));
}

void entry_config_age_update(const entry_config_age_t *age, usec_t confirmed_at,
			     usec_t started, usec_t now)
{
	usec_t since = confirmed_at ? confirmed_at : started;

	metrics_set(age->last, (uint64_t)((now - since) / USEC_PER_MS));
}
