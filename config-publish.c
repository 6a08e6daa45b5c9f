#include <stdlib.h>
#include <urcu.h>
#include "config-follow-internal.h"

/* A copy of what is in force with the news on top; NULL on failure. */
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

/* Keep the deltas for the children; the lock is held. */
static void config_publish_keep(config_follow_t *follow,
				const keeper_fetch_body_t *body)
{
	uint64_t have = follow->revision;
	config_delta_t copy;
	u_int i;

	if (body->whole) {
		config_tail_clear(&follow->tail);
		metrics_add(follow->metrics.wholes, 1);
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

/* The thread sanitizer does not know that a grace period orders the readers'
 * last look before the free. */
#ifdef __SANITIZE_THREAD__
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);
#endif

/* Free a configuration once all its readers have left it. */
static void config_publish_retire(config_t *old)
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

/* Swap, tell the entry, and free the old one when its readers are gone. */
static void config_publish_swap(config_follow_t *follow, config_t *next,
				const keeper_fetch_body_t *body)
{
	config_t *old = follow->config;
	char quoted[HL_ADDRESS_MAX + 2];

	pthread_mutex_lock(&follow->lock);
	config_publish_keep(follow, body);
	__atomic_store_n(&follow->config, next, __ATOMIC_RELEASE);
	follow->revision = next->revision;
	pthread_mutex_unlock(&follow->lock);
	metrics_set(follow->metrics.revision, next->revision);
	log_event(LOG_LEVEL_INFO, "config-in-force",
		  "revision=%" PRIu64 " source=%s", (uint64_t)next->revision,
		  log_quote(follow->source.address, quoted, sizeof(quoted)));
	if (follow->changed)
		follow->changed(follow->changed_context, next);
	if (old)
		config_publish_retire(old);
}

static bool config_publish_empty(const keeper_fetch_body_t *body)
{
	return !body->whole && !body->keeper_fetch_body_t_u.deltas.deltas_len;
}

int config_publish(config_follow_t *follow, const keeper_fetch_body_t *body,
		   uint64_t newest, usec_t fresh_at)
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
	if (fresh_at > follow->fresh_at)
		follow->fresh_at = fresh_at;
	if (follow->revision >= newest)
		follow->ready = true;
	pthread_mutex_unlock(&follow->lock);
	return 0;
}
