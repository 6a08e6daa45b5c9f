#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * The queue of waiting calls. Classes are served by strict priority, but a
 * class with waiting calls is skipped at most QUEUE_SKIPPED_MAX times in a row.
 * The waiting calls of one priority form a band, those of one tenant in a band
 * a flow. Within a band calls are served by earliest deadline first, except
 * that a flow with far more calls than the mean of the others is heavy: it gets
 * one call served per round, in which each light flow has one turn too.
 */

/* Max number of calls of other classes served while a class is skipped. */
#define QUEUE_SKIPPED_MAX 15
/* Max estimate of the calls of the same class that are served before a new
   call, later arrivals included, as a multiple of the waiting calls. */
#define QUEUE_AHEAD_FACTOR_MAX 1.5
/* A flow is heavy if its number of calls is above QUEUE_HEAVY_FACTOR times the
   mean of the other flows, and above QUEUE_HEAVY_MIN. */
#define QUEUE_HEAVY_FACTOR 2
#define QUEUE_HEAVY_MIN 8
/* Number of lists that sort flows by the binary logarithm of their length. */
#define QUEUE_SIZE_CLASSES 16
#define QUEUE_HASH_BUCKETS 256
/* Window over which the arrival rate of a class is measured. */
#define QUEUE_ARRIVALS_WINDOW (100 * USEC_PER_MS)

/* The waiting calls of one tenant in one class. */
typedef struct entry_flow {
	entry_heap_node_t light_node;	 /* queue_band_t.light */
	struct cds_list_head heavy_link; /* queue_band_t.heavy */
	struct cds_list_head size_link;	 /* queue_band_t.by_size[size_class] */
	struct cds_list_head hash_link;	 /* entry_queue.hash or .unused */
	struct cds_list_head calls;	 /* in order of arrival */
	entry_heap_node_t *urgency;	 /* calls by deadline */
	unsigned count;
	unsigned size_class;
	unsigned band;
	bool heavy;
	char tenant[HL_NAME_MAX];
} queue_flow_t;

/* The waiting calls of one class. */
typedef struct {
	entry_heap_node_t *light;   /* flows by earliest deadline */
	struct cds_list_head heavy; /* flows in round-robin order */
	unsigned heavy_flows;
	unsigned heavy_calls;
	unsigned light_served; /* calls of light flows served in this round */
	unsigned heavy_served; /* calls of heavy flows served in this round */
	struct cds_list_head by_size[QUEUE_SIZE_CLASSES];
	queue_flow_t overflow; /* calls of tenants without a flow */
	unsigned count;	       /* number of waiting calls */
	unsigned flows;	       /* number of flows with waiting calls */
	unsigned skipped;      /* calls of other bands served meanwhile */
	double arrival_rate;   /* admitted calls per second */
	unsigned arrivals;     /* calls admitted since window_start */
	usec_t window_start;
} queue_band_t;

struct entry_queue {
	queue_band_t bands[ENTRY_PRIORITIES];
	entry_heap_node_t *expiry; /* all waiting calls by deadline */
	struct cds_list_head hash[QUEUE_HASH_BUCKETS]; /* flows by tenant */
	struct cds_list_head unused;		       /* flows not in use */
	struct cds_list_head evicted;		       /* evicted calls */
	unsigned count;
	uint64_t order; /* number of calls pushed so far */
	queue_flow_t flows[ENTRY_QUEUE_FLOWS];
};

static void queue_flow_init(queue_flow_t *flow)
{
	CDS_INIT_LIST_HEAD(&flow->calls);
	flow->urgency = NULL;
	flow->count = 0;
	flow->size_class = 0;
}

static void queue_band_init(queue_band_t *band)
{
	unsigned i;

	CDS_INIT_LIST_HEAD(&band->heavy);
	for (i = 0; i < QUEUE_SIZE_CLASSES; i++)
		CDS_INIT_LIST_HEAD(&band->by_size[i]);
	queue_flow_init(&band->overflow);
}

struct entry_queue *entry_queue_new(void)
{
	struct entry_queue *queue = calloc(1, sizeof(*queue));
	unsigned i;

	if (!queue)
		return NULL;
	CDS_INIT_LIST_HEAD(&queue->unused);
	CDS_INIT_LIST_HEAD(&queue->evicted);
	for (i = 0; i < ENTRY_PRIORITIES; i++) {
		queue_band_init(&queue->bands[i]);
		queue->bands[i].overflow.band = i;
	}
	for (i = 0; i < QUEUE_HASH_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&queue->hash[i]);
	for (i = 0; i < ENTRY_QUEUE_FLOWS; i++)
		cds_list_add_tail(&queue->flows[i].hash_link, &queue->unused);
	return queue;
}

void entry_queue_free(struct entry_queue *queue)
{
	free(queue);
}

static unsigned queue_band_of(const entry_call_t *call)
{
	return call->priority < ENTRY_PRIORITIES ? call->priority :
						   ENTRY_PRIORITIES - 1;
}

static unsigned queue_hash_of(const char *tenant, unsigned band)
{
	return hl_hash(tenant, strlen(tenant), band) % QUEUE_HASH_BUCKETS;
}

/* The flow of a tenant that has calls waiting in a band, or NULL. */
static queue_flow_t *queue_flow_find(const struct entry_queue *queue,
				     const char *tenant, unsigned band)
{
	const struct cds_list_head *chain =
		&queue->hash[queue_hash_of(tenant, band)];
	queue_flow_t *flow;

	cds_list_for_each_entry (flow, chain, hash_link)
		if (flow->band == band && !strcmp(flow->tenant, tenant))
			return flow;
	return NULL;
}

/* Return the flow of a call; create it, or return band->overflow if all flows
   are in use. */
static queue_flow_t *queue_flow_get(struct entry_queue *queue,
				    const entry_call_t *call, unsigned band)
{
	queue_flow_t *flow = queue_flow_find(queue, call->tenant, band);

	if (flow)
		return flow;
	if (cds_list_empty(&queue->unused))
		return &queue->bands[band].overflow;
	flow = cds_list_first_entry(&queue->unused, queue_flow_t, hash_link);
	cds_list_del(&flow->hash_link);
	queue_flow_init(flow);
	flow->band = band;
	memcpy(flow->tenant, call->tenant, sizeof(flow->tenant));
	cds_list_add(&flow->hash_link,
		     &queue->hash[queue_hash_of(call->tenant, band)]);
	return flow;
}

static unsigned queue_size_class_of(unsigned count)
{
	unsigned size_class = 31 - __builtin_clz(count);

	return size_class < QUEUE_SIZE_CLASSES ? size_class :
						 QUEUE_SIZE_CLASSES - 1;
}

/* Remove a flow from the lists of its band before its calls change. */
static void queue_flow_unlink(struct entry_queue *queue, queue_flow_t *flow)
{
	queue_band_t *band = &queue->bands[flow->band];

	if (flow->count == 0)
		return;
	cds_list_del(&flow->size_link);
	band->flows--;
	band->count -= flow->count;
	if (!flow->heavy) {
		entry_heap_remove(&band->light, &flow->light_node);
		return;
	}
	cds_list_del(&flow->heavy_link);
	band->heavy_flows--;
	band->heavy_calls -= flow->count;
}

/* Whether a flow is heavy; the counts of the band must not include it. */
static bool queue_flow_is_heavy(const queue_band_t *band,
				const queue_flow_t *flow)
{
	return flow->count > QUEUE_HEAVY_MIN && band->flows > 0 &&
	       flow->count * band->flows > QUEUE_HEAVY_FACTOR * band->count;
}

/* Add a flow to the lists of its band after a change, or free it if empty. */
static void queue_flow_link(struct entry_queue *queue, queue_flow_t *flow)
{
	queue_band_t *band = &queue->bands[flow->band];

	if (flow->count == 0) {
		if (flow != &band->overflow) {
			cds_list_del(&flow->hash_link);
			cds_list_add(&flow->hash_link, &queue->unused);
		}
		return;
	}
	flow->heavy = queue_flow_is_heavy(band, flow);
	flow->size_class = queue_size_class_of(flow->count);
	cds_list_add(&flow->size_link, &band->by_size[flow->size_class]);
	band->flows++;
	band->count += flow->count;
	if (!flow->heavy) {
		flow->light_node.key = flow->urgency->key;
		flow->light_node.order = flow->urgency->order;
		entry_heap_push(&band->light, &flow->light_node);
		return;
	}
	cds_list_add_tail(&flow->heavy_link, &band->heavy);
	band->heavy_flows++;
	band->heavy_calls += flow->count;
}

void entry_queue_count_admitted(struct entry_queue *queue,
				const entry_call_t *call, usec_t now)
{
	queue_band_t *band = &queue->bands[queue_band_of(call)];
	usec_t elapsed = now - band->window_start;

	if (elapsed >= QUEUE_ARRIVALS_WINDOW) {
		band->arrival_rate = (double)band->arrivals * USEC_PER_SEC /
				     elapsed;
		band->arrivals = 0;
		band->window_start = now;
	}
	band->arrivals++;
}

void entry_queue_restore(struct entry_queue *queue, entry_call_t *call)
{
	unsigned band = queue_band_of(call);
	queue_flow_t *flow = queue_flow_get(queue, call, band);

	call->waiting = true;
	call->flow = flow;
	queue_flow_unlink(queue, flow);
	entry_heap_push(&flow->urgency, &call->urgency);
	entry_heap_push(&queue->expiry, &call->expiry);
	/* A call to be retried is older than the calls not yet sent. */
	if (call->attempts > 0)
		cds_list_add(&call->queue_link, &flow->calls);
	else
		cds_list_add_tail(&call->queue_link, &flow->calls);
	flow->count++;
	queue->count++;
	queue_flow_link(queue, flow);
}

void entry_queue_push(struct entry_queue *queue, entry_call_t *call, usec_t now)
{
	call->urgency.key = call->deadline;
	call->urgency.order = ++queue->order;
	call->expiry.key = call->deadline;
	call->expiry.order = queue->order;
	entry_queue_restore(queue, call);
	if (call->attempts == 0)
		entry_queue_count_admitted(queue, call, now);
}

void entry_queue_remove(struct entry_queue *queue, entry_call_t *call)
{
	queue_flow_t *flow = call->flow;

	cds_list_del(&call->queue_link);
	call->waiting = false;
	if (call->evicted) {
		call->evicted = false;
		return;
	}
	queue_flow_unlink(queue, flow);
	entry_heap_remove(&flow->urgency, &call->urgency);
	entry_heap_remove(&queue->expiry, &call->expiry);
	flow->count--;
	queue->count--;
	queue_flow_link(queue, flow);
	call->flow = NULL;
}

/* Return the band to serve: the most skipped one of those that were skipped
   QUEUE_SKIPPED_MAX times, else the one with the most urgent priority. */
static queue_band_t *queue_band_next(struct entry_queue *queue)
{
	queue_band_t *best = NULL;
	unsigned i;

	for (i = 0; i < ENTRY_PRIORITIES; i++) {
		queue_band_t *band = &queue->bands[i];

		if (band->count == 0)
			continue;
		if (!best || (band->skipped >= QUEUE_SKIPPED_MAX &&
			      band->skipped > best->skipped))
			best = band;
	}
	return best;
}

static void queue_band_served(struct entry_queue *queue, queue_band_t *served)
{
	unsigned i;

	for (i = 0; i < ENTRY_PRIORITIES; i++)
		if (queue->bands[i].count > 0)
			queue->bands[i].skipped++;
		else
			queue->bands[i].skipped = 0;
	served->skipped = 0;
}

/*
 * Return the flow to serve. In each round as many calls of light flows are
 * served as there are light flows, then one call of each heavy flow.
 */
static queue_flow_t *queue_flow_next(queue_band_t *band)
{
	unsigned light_flows = band->flows - band->heavy_flows;

	if (band->heavy_served >= band->heavy_flows) {
		band->heavy_served = 0;
		band->light_served = 0;
	}
	if (band->light &&
	    (band->heavy_flows == 0 || band->light_served < light_flows)) {
		band->light_served++;
		return caa_container_of(band->light, queue_flow_t, light_node);
	}
	band->heavy_served++;
	return cds_list_first_entry(&band->heavy, queue_flow_t, heavy_link);
}

entry_call_t *entry_queue_pop(struct entry_queue *queue)
{
	queue_band_t *band = queue_band_next(queue);
	queue_flow_t *flow;
	entry_call_t *call;

	if (!band)
		return NULL;
	flow = queue_flow_next(band);
	call = caa_container_of(flow->urgency, entry_call_t, urgency);
	entry_queue_remove(queue, call);
	queue_band_served(queue, band);
	return call;
}

entry_call_t *entry_queue_earliest(const struct entry_queue *queue)
{
	if (!queue->expiry)
		return NULL;
	return caa_container_of(queue->expiry, entry_call_t, expiry);
}

/* Return a flow that is at least half as long as the longest of its band. */
static queue_flow_t *queue_longest_flow(queue_band_t *band)
{
	unsigned i;

	for (i = QUEUE_SIZE_CLASSES; i-- > 0;)
		if (!cds_list_empty(&band->by_size[i]))
			return cds_list_first_entry(&band->by_size[i],
						    queue_flow_t, size_link);
	return NULL;
}

/*
 * Whether a call of @flow is evicted for @call: @flow is of a less urgent class
 * or more than twice as long as the flow that @call would join.
 */
static bool queue_may_evict(const struct entry_queue *queue,
			    const queue_flow_t *flow, const entry_call_t *call)
{
	unsigned band = queue_band_of(call);
	const queue_flow_t *tenant_flow;

	if (flow->band != band)
		return flow->band > band;
	tenant_flow = queue_flow_find(queue, call->tenant, band);
	return flow->count > 2 * ((tenant_flow ? tenant_flow->count : 0) + 1);
}

bool entry_queue_evict(struct entry_queue *queue, const entry_call_t *call)
{
	queue_flow_t *flow = NULL;
	entry_call_t *victim;
	unsigned i;

	for (i = ENTRY_PRIORITIES; i-- > 0 && !flow;)
		flow = queue_longest_flow(&queue->bands[i]);
	if (!flow || !queue_may_evict(queue, flow, call))
		return false;
	victim = cds_list_entry(flow->calls.prev, entry_call_t, queue_link);
	entry_queue_remove(queue, victim);
	victim->waiting = true;
	victim->evicted = true;
	cds_list_add_tail(&victim->queue_link, &queue->evicted);
	return true;
}

entry_call_t *entry_queue_next_evicted(struct entry_queue *queue)
{
	entry_call_t *call;

	if (cds_list_empty(&queue->evicted))
		return NULL;
	call = cds_list_first_entry(&queue->evicted, entry_call_t, queue_link);
	entry_queue_remove(queue, call);
	return call;
}

unsigned entry_queue_count(const struct entry_queue *queue)
{
	return queue->count;
}

/* Return the estimated number of calls of a band that are served before a new
   call of @flow. */
static double queue_calls_ahead(const queue_band_t *band,
				const queue_flow_t *flow)
{
	double flows = band->flows;
	double light = flows - band->heavy_flows;
	double max_ahead = QUEUE_AHEAD_FACTOR_MAX * band->count;
	double ahead;

	if (flow && flow->heavy)
		ahead = flow->count * flows;
	else if (light > 0)
		ahead = (band->count - band->heavy_calls) * flows / light;
	else
		ahead = flows;
	return ahead < max_ahead ? ahead : max_ahead;
}

usec_t entry_queue_wait(const struct entry_queue *queue,
			const entry_call_t *call, double rate)
{
	unsigned index = queue_band_of(call);
	const queue_band_t *band = &queue->bands[index];
	const queue_flow_t *flow = queue_flow_find(queue, call->tenant, index);
	double ahead = queue_calls_ahead(band, flow);
	double remaining_rate = rate;
	double min_rate = rate / (QUEUE_SKIPPED_MAX + 1);
	double wait;
	double max_wait;
	unsigned i;

	if (rate <= 0 || queue->count == 0)
		return 0;
	max_wait = (ahead + 1) / min_rate;
	for (i = 0; i < index; i++) {
		ahead += queue->bands[i].count;
		remaining_rate -= queue->bands[i].arrival_rate;
	}
	wait = ahead / (remaining_rate > min_rate ? remaining_rate : min_rate);
	if (wait > max_wait)
		wait = max_wait;
	return (usec_t)(wait * USEC_PER_SEC);
}
