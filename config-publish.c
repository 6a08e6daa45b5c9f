#include <stdlib.h>
#include <urcu.h>
#include "config-follow-internal.h"

/* Publishes new configurations to the readers of a follower. */

/* Copies the current configuration and merges @body into the copy; returns NULL
 * on failure. */
static config_t *config_publish_next(const config_t *old,
				     const keeper_fetch_body_t *body)
{
	config_t *next = calloc(1, sizeof(*next));

	if (!next)
		return NULL;
	if (old &&
	    config_copy((xdrproc_t)xdr_config_t, old, next, sizeof(*next)))
		goto fail;
	if (config_merge(next, body))
		goto fail;
	return next;
fail:
	xdr_free((xdrproc_t)xdr_config_t, (char *)next);
	free(next);
	return NULL;
}

/* Stores the deltas for the children. The caller holds the lock of @follow. */
static void config_publish_store_deltas(config_follow_t *follow,
					const keeper_fetch_body_t *body)
{
	uint64_t have = follow->revision;
	config_delta_t copy;
	u_int i;

	if (body->whole) {
		config_tail_clear(&follow->tail);
		metrics_add(follow->metrics.full_configs, 1);
		return;
	}
	for (i = 0; i < body->keeper_fetch_body_t_u.deltas.deltas_len; i++) {
		const config_delta_t *delta =
			&body->keeper_fetch_body_t_u.deltas.deltas_val[i];

		metrics_add(follow->metrics.deltas, 1);
		if (delta->revision != have + 1)
			continue;
		if (config_copy((xdrproc_t)xdr_config_delta_t, delta, &copy,
				sizeof(copy))) {
			config_tail_clear(&follow->tail);
			return;
		}
		config_tail_push(&follow->tail, &copy);
		have++;
	}
}

/* ThreadSanitizer does not see that an RCU grace period orders the last reads
 * before the free. */
#ifdef __SANITIZE_THREAD__
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);
#endif

/* Frees a configuration after an RCU grace period. */
static void config_publish_reclaim(config_t *old)
{
	synchronize_rcu();
#ifdef __SANITIZE_THREAD__
	AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
#endif
	xdr_free((xdrproc_t)xdr_config_t, (char *)old);
	free(old);
#ifdef __SANITIZE_THREAD__
	AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
#endif
}

/* Publishes @next, notifies the entry and frees the old configuration. */
static void config_publish_swap(config_follow_t *follow, config_t *next,
				const keeper_fetch_body_t *body)
{
	config_t *old = follow->config;
	char quoted[HL_ADDRESS_MAX + 2];
	usec_t reported;

	pthread_mutex_lock(&follow->lock);
	reported = config_lag_age(&follow->lag, time_now());
	config_publish_store_deltas(follow, body);
	__atomic_store_n(&follow->config, next, __ATOMIC_RELEASE);
	follow->revision = next->revision;
	pthread_mutex_unlock(&follow->lock);
	metrics_set(follow->metrics.revision, next->revision);
	log_event(LOG_LEVEL_INFO, "config-in-force",
		  "revision=%" PRIu64 " source=%s reported_ms=%" PRId64,
		  (uint64_t)next->revision,
		  log_quote(follow->source.address, quoted, sizeof(quoted)),
		  reported / USEC_PER_MS);
	if (follow->changed)
		follow->changed(follow->changed_context, next);
	pthread_mutex_lock(&follow->lock);
	config_confirm_apply(&follow->confirm, next->revision);
	config_lag_apply(&follow->lag, next->revision);
	config_follow_update_lag(follow);
	pthread_mutex_unlock(&follow->lock);
	if (old)
		config_publish_reclaim(old);
}

static bool config_publish_empty(const keeper_fetch_body_t *body)
{
	return !body->whole && !body->keeper_fetch_body_t_u.deltas.deltas_len;
}

int config_publish(config_follow_t *follow, const keeper_fetch_body_t *body,
		   uint64_t newest, usec_t confirmed_at)
{
	const config_t *old = follow->config;

	if (!old || !config_publish_empty(body)) {
		config_t *next = config_publish_next(old, body);

		if (!next)
			return -1;
		if (old && next->revision <= old->revision) {
			xdr_free((xdrproc_t)xdr_config_t, (char *)next);
			free(next);
		} else {
			config_publish_swap(follow, next, body);
		}
	}
	pthread_mutex_lock(&follow->lock);
	if (confirmed_at > follow->confirmed_at)
		follow->confirmed_at = confirmed_at;
	if (follow->revision >= newest)
		follow->ready = true;
	pthread_mutex_unlock(&follow->lock);
	return 0;
}
