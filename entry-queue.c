#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Classes by strict priority, but a waiting class is passed over at most
 * QUEUE_PASSED_MAX times in a row. Inside a class the earliest deadline comes
 * first, but a tenant with far more calls waiting than the others have on
 * average is heavy: it takes turns with them, one call for one of each.
 */

/* Calls of other classes that may be served before a waiting class is. */
#define QUEUE_PASSED_MAX 15
/* Calls of its class ahead of one, those that will arrive included, as a
   multiple of those that wait already. */
#define QUEUE_AHEAD_MOST 1.5
/* A flow is heavy with more than this many times the others' mean, and more
   than this many calls. */
#define QUEUE_HEAVY_FACTOR 2
#define QUEUE_HEAVY_MIN 8
/* Flows are also kept by the power of two of their length. */
#define QUEUE_SIZES 16
#define QUEUE_BUCKETS 256
/* Span over which the arrivals of a class are counted. */
#define QUEUE_ARRIVALS_SPAN (100 * USEC_PER_MS)

/* The calls of one tenant in one class. */
typedef struct entry_flow {
	entry_heap_node_t turn;		  /* queue_band_t.light */
	struct cds_list_head turn_link;	  /* queue_band_t.heavy */
	struct cds_list_head size_link;	  /* queue_band_t.sizes[size] */
	struct cds_list_head bucket_link; /* entry_queue.buckets or .unused */
	struct cds_list_head calls;	  /* in order of arrival */
	entry_heap_node_t *urgency;
	unsigned count;
	unsigned size;
	unsigned band;
	bool heavy;
	char tenant[HL_NAME_MAX];
} queue_flow_t;

/* One class. */
typedef struct {
	entry_heap_node_t *light;   /* flows by the deadline of their first */
	struct cds_list_head heavy; /* flows by turns */
	unsigned heavy_flows;
	unsigned heavy_calls;
	unsigned light_served; /* in this round of turns */
	unsigned heavy_served;
	struct cds_list_head sizes[QUEUE_SIZES];
	queue_flow_t rest; /* of tenants without a flow of their own */
	unsigned count;
	unsigned flows;
	unsigned passed;     /* calls of other classes served meanwhile */
	double arrival_rate; /* admitted calls a second */
	unsigned arrivals;   /* since span_start */
	usec_t span_start;
} queue_band_t;

struct entry_queue {
	queue_band_t bands[ENTRY_PRIORITIES];
	entry_heap_node_t *expiry;
	struct cds_list_head buckets[QUEUE_BUCKETS];
	struct cds_list_head unused;
	struct cds_list_head evicted;
	unsigned count;
	uint64_t order;
	queue_flow_t flows[ENTRY_QUEUE_FLOWS];
};

static void queue_flow_init(queue_flow_t *flow)
{
	CDS_INIT_LIST_HEAD(&flow->calls);
	flow->urgency = NULL;
	flow->count = 0;
	flow->size = 0;
}

static void queue_band_init(queue_band_t *band)
{
	unsigned i;

	CDS_INIT_LIST_HEAD(&band->heavy);
	for (i = 0; i < QUEUE_SIZES; i++)
		CDS_INIT_LIST_HEAD(&band->sizes[i]);
	queue_flow_init(&band->rest);
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
		queue->bands[i].rest.band = i;
	}
	for (i = 0; i < QUEUE_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&queue->buckets[i]);
	for (i = 0; i < ENTRY_QUEUE_FLOWS; i++)
		cds_list_add_tail(&queue->flows[i].bucket_link, &queue->unused);
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

static unsigned queue_bucket_of(const char *tenant, unsigned band)
{
	return hl_hash(tenant, strlen(tenant), band) % QUEUE_BUCKETS;
}

/* The flow of a tenant that has calls waiting in a band, or NULL. */
static queue_flow_t *queue_flow_find(const struct entry_queue *queue,
				     const char *tenant, unsigned band)
{
	const struct cds_list_head *bucket =
		&queue->buckets[queue_bucket_of(tenant, band)];
	queue_flow_t *flow;

	cds_list_for_each_entry (flow, bucket, bucket_link)
		if (flow->band == band && !strcmp(flow->tenant, tenant))
			return flow;
	return NULL;
}

/* The flow that a call joins; the band's rest when all are in use. */
static queue_flow_t *queue_flow_take(struct entry_queue *queue,
				     const entry_call_t *call, unsigned band)
{
	queue_flow_t *flow = queue_flow_find(queue, call->tenant, band);

	if (flow)
		return flow;
	if (cds_list_empty(&queue->unused))
		return &queue->bands[band].rest;
	flow = cds_list_first_entry(&queue->unused, queue_flow_t, bucket_link);
	cds_list_del(&flow->bucket_link);
	queue_flow_init(flow);
	flow->band = band;
	memcpy(flow->tenant, call->tenant, sizeof(flow->tenant));
	cds_list_add(&flow->bucket_link,
		     &queue->buckets[queue_bucket_of(call->tenant, band)]);
	return flow;
}

static unsigned queue_size_of(unsigned count)
{
	unsigned size = 31 - __builtin_clz(count);

	return size < QUEUE_SIZES ? size : QUEUE_SIZES - 1;
}

/* Take a flow out of the order of its band before its calls change. */
static void queue_flow_leave(struct entry_queue *queue, queue_flow_t *flow)
{
	queue_band_t *band = &queue->bands[flow->band];

	if (flow->count == 0)
		return;
	cds_list_del(&flow->size_link);
	band->flows--;
	band->count -= flow->count;
	if (!flow->heavy) {
		entry_heap_remove(&band->light, &flow->turn);
		return;
	}
	cds_list_del(&flow->turn_link);
	band->heavy_flows--;
	band->heavy_calls -= flow->count;
}

/* Whether a flow outside of its band's order has too many calls. */
static bool queue_flow_is_heavy(const queue_band_t *band,
				const queue_flow_t *flow)
{
	return flow->count > QUEUE_HEAVY_MIN && band->flows > 0 &&
	       flow->count * band->flows > QUEUE_HEAVY_FACTOR * band->count;
}

/* Give a flow its place after a change; one without calls is let go. */
static void queue_flow_enter(struct entry_queue *queue, queue_flow_t *flow)
{
	queue_band_t *band = &queue->bands[flow->band];

	if (flow->count == 0) {
		if (flow != &band->rest) {
			cds_list_del(&flow->bucket_link);
			cds_list_add(&flow->bucket_link, &queue->unused);
		}
		return;
	}
	flow->heavy = queue_flow_is_heavy(band, flow);
	flow->size = queue_size_of(flow->count);
	cds_list_add(&flow->size_link, &band->sizes[flow->size]);
	band->flows++;
	band->count += flow->count;
	if (!flow->heavy) {
		flow->turn.key = flow->urgency->key;
		flow->turn.order = flow->urgency->order;
		entry_heap_push(&band->light, &flow->turn);
		return;
	}
	cds_list_add_tail(&flow->turn_link, &band->heavy);
	band->heavy_flows++;
	band->heavy_calls += flow->count;
}

void entry_queue_admitted(struct entry_queue *queue, const entry_call_t *call,
			  usec_t now)
{
	queue_band_t *band = &queue->bands[queue_band_of(call)];
	usec_t span = now - band->span_start;

	if (span >= QUEUE_ARRIVALS_SPAN) {
		band->arrival_rate = (double)band->arrivals * USEC_PER_SEC /
				     span;
		band->arrivals = 0;
		band->span_start = now;
	}
	band->arrivals++;
}

void entry_queue_restore(struct entry_queue *queue, entry_call_t *call)
{
	unsigned band = queue_band_of(call);
	queue_flow_t *flow = queue_flow_take(queue, call, band);

	call->waiting = true;
	call->flow = flow;
	queue_flow_leave(queue, flow);
	entry_heap_push(&flow->urgency, &call->urgency);
	entry_heap_push(&queue->expiry, &call->expiry);
	/* One that was sent before is older than all that were not. */
	if (call->attempts > 0)
		cds_list_add(&call->queue_link, &flow->calls);
	else
		cds_list_add_tail(&call->queue_link, &flow->calls);
	flow->count++;
	queue->count++;
	queue_flow_enter(queue, flow);
}

void entry_queue_push(struct entry_queue *queue, entry_call_t *call, usec_t now)
{
	call->urgency.key = call->deadline;
	call->urgency.order = ++queue->order;
	call->expiry.key = call->deadline;
	call->expiry.order = queue->order;
	entry_queue_restore(queue, call);
	if (call->attempts == 0)
		entry_queue_admitted(queue, call, now);
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
	queue_flow_leave(queue, flow);
	entry_heap_remove(&flow->urgency, &call->urgency);
	entry_heap_remove(&queue->expiry, &call->expiry);
	flow->count--;
	queue->count--;
	queue_flow_enter(queue, flow);
	call->flow = NULL;
}

/* The band to serve: one passed over too often, else the most urgent. */
static queue_band_t *queue_band_next(struct entry_queue *queue)
{
	queue_band_t *best = NULL;
	unsigned i;

	for (i = 0; i < ENTRY_PRIORITIES; i++) {
		queue_band_t *band = &queue->bands[i];

		if (band->count == 0)
			continue;
		if (!best || (band->passed >= QUEUE_PASSED_MAX &&
			      band->passed > best->passed))
			best = band;
	}
	return best;
}

static void queue_band_served(struct entry_queue *queue, queue_band_t *served)
{
	unsigned i;

	for (i = 0; i < ENTRY_PRIORITIES; i++)
		if (queue->bands[i].count > 0)
			queue->bands[i].passed++;
		else
			queue->bands[i].passed = 0;
	served->passed = 0;
}

/*
 * A round is one call for each heavy flow after as many of the light ones as
 * there are light flows.
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
		return caa_container_of(band->light, queue_flow_t, turn);
	}
	band->heavy_served++;
	return cds_list_first_entry(&band->heavy, queue_flow_t, turn_link);
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

/* One of the longest flows of a band, to within a factor of two. */
static queue_flow_t *queue_longest(queue_band_t *band)
{
	unsigned i;

	for (i = QUEUE_SIZES; i-- > 0;)
		if (!cds_list_empty(&band->sizes[i]))
			return cds_list_first_entry(&band->sizes[i],
						    queue_flow_t, size_link);
	return NULL;
}

/* Whether a call of @flow yields to one that would be the newest of its own. */
static bool queue_yields(const struct entry_queue *queue,
			 const queue_flow_t *flow, const entry_call_t *call)
{
	unsigned band = queue_band_of(call);
	const queue_flow_t *own;

	if (flow->band != band)
		return flow->band > band;
	own = queue_flow_find(queue, call->tenant, band);
	return flow->count > 2 * ((own ? own->count : 0) + 1);
}

bool entry_queue_evict(struct entry_queue *queue, const entry_call_t *call)
{
	queue_flow_t *flow = NULL;
	entry_call_t *victim;
	unsigned i;

	for (i = ENTRY_PRIORITIES; i-- > 0 && !flow;)
		flow = queue_longest(&queue->bands[i]);
	if (!flow || !queue_yields(queue, flow, call))
		return false;
	victim = cds_list_entry(flow->calls.prev, entry_call_t, queue_link);
	entry_queue_remove(queue, victim);
	victim->waiting = true;
	victim->evicted = true;
	cds_list_add_tail(&victim->queue_link, &queue->evicted);
	return true;
}

entry_call_t *entry_queue_evicted(struct entry_queue *queue)
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

/* Calls of its class that will be served before a new one of @flow. */
static double queue_ahead(const queue_band_t *band, const queue_flow_t *flow)
{
	double flows = band->flows;
	double light = flows - band->heavy_flows;
	double most = QUEUE_AHEAD_MOST * band->count;
	double ahead;

	if (flow && flow->heavy)
		ahead = flow->count * flows;
	else if (light > 0)
		ahead = (band->count - band->heavy_calls) * flows / light;
	else
		ahead = flows;
	return ahead < most ? ahead : most;
}

usec_t entry_queue_wait(const struct entry_queue *queue,
			const entry_call_t *call, double rate)
{
	unsigned index = queue_band_of(call);
	const queue_band_t *band = &queue->bands[index];
	const queue_flow_t *flow = queue_flow_find(queue, call->tenant, index);
	double ahead = queue_ahead(band, flow);
	double left = rate;
	double least = rate / (QUEUE_PASSED_MAX + 1);
	double wait;
	double longest;
	unsigned i;

	if (rate <= 0 || queue->count == 0)
		return 0;
	longest = (ahead + 1) / least;
	for (i = 0; i < index; i++) {
		ahead += queue->bands[i].count;
		left -= queue->bands[i].arrival_rate;
	}
	wait = ahead / (left > least ? left : least);
	if (wait > longest)
		wait = longest;
	return (usec_t)(wait * USEC_PER_SEC);
}
