#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "config.h"
#include "entry.h"

/*
 * Discrete-event simulation of one entry and one service: feeds seeded arrivals
 * and service times into entry_service_*() and prints latencies, goodput and
 * errors. A copy is a set of slots and a FIFO queue behind a link with a delay
 * each way. The ideal is a single queue without delays over all slots, fed with
 * the same arrivals and service times.
 */

/* Scenario fail-fast: time until copy 0 returns an error, microseconds. */
#define REPLAY_FAIL_FAST_US 500
/* Scenario shifting: interval after which other copies are slow. */
#define REPLAY_SHIFT_US (400 * USEC_PER_MS)
/* Scenario cold: time at which copy 0 starts. */
#define REPLAY_COLD_START_US (2 * USEC_PER_SEC)
/* Number of connect times that are recorded for each copy before the run. */
#define REPLAY_CONNECT_SAMPLES 3
/* Scenario cold: time for which copy 0 is slow after its start. */
#define REPLAY_COLD_US USEC_PER_SEC
/* Factor by which the service times of a slow copy are longer. */
#define REPLAY_SLOWDOWN 5.0
/* Interval of the periodic dispatch. */
#define REPLAY_TICK_US (5 * USEC_PER_MS)
/* Maximum number of calls that wait at a copy; further calls are shed. */
#define REPLAY_QUEUE_MAX 4096

typedef enum {
	EVENT_ARRIVE,
	EVENT_PROBES,	       /* both probes reached their copies */
	EVENT_PROBE_RESPONSES, /* both probe responses arrived */
	EVENT_AT_COPY,	       /* a request reached its copy */
	EVENT_DONE,	       /* a copy completed a call */
	EVENT_RESPONSE,	       /* the response arrived */
	EVENT_CANCEL,	       /* a cancellation reached its copy */
	EVENT_DEADLINE,	       /* the deadline of a call */
	EVENT_TICK,
} event_kind_t;

typedef struct {
	usec_t at;
	uint64_t order; /* tie-break for events at the same time */
	event_kind_t kind;
	unsigned call;
	/* Attempt of the call; a later attempt makes the event void. */
	unsigned attempt;
} event_t;

/* A call and its state in the simulation. */
typedef struct {
	entry_call_t call;
	unsigned tries; /* number of requests sent, without hedges */
	usec_t service; /* service time at a copy of normal speed */
	entry_copy_t *candidates[2]; /* probed by policy two-choices */
	unsigned loads[2];	     /* loads that the candidates reported */
	entry_result_t result;	     /* result of the response in transit */
	bool sent;
	bool running;	     /* the call has a slot of a copy */
	unsigned running_on; /* index of the copy that runs the call */
	bool finished;
	bool ok;
	usec_t latency;
} replay_call_t;

typedef struct {
	entry_copy_t *copy;
	unsigned running;
	unsigned queue[REPLAY_QUEUE_MAX]; /* indexes of calls, a ring */
	unsigned attempts[REPLAY_QUEUE_MAX];
	unsigned head;
	unsigned tail;
} replay_copy_t;

typedef struct {
	int load; /* offered load, percent of the slots */
	int copies;
	int slots;
	int calls;
	int seed;
	int pipeline; /* pipeline_max of the profile */
	int adaptive; /* 1: record connect times */
	int service;  /* mean service time, microseconds */
	int delay;    /* network delay in one direction, microseconds */
	int deadline; /* deadline of a call, milliseconds */
	int queue;
	int tenants;
	int flood; /* share of calls of tenant t0, percent */
	int high;  /* share of calls of the urgent class, percent */
	int hedge; /* time until a hedge is sent, milliseconds; 0: none */
	int post;  /* share of calls that are not idempotent, percent */
	char *policy;
	char *scenario;
	char *shape;
} options_t;

static options_t options = { 90,   16, 3, 200000, 1, 1, 1,    20000, 1000, 2000,
			     1024, 8,  0, 0,	  0, 0, NULL, NULL,  NULL };

static entry_service_t service;
static config_profile_t profile;
static replay_call_t *calls;
static replay_copy_t *copies;
static event_t *events;
static unsigned event_count;
static unsigned event_capacity;
static uint64_t event_order;
static uint64_t sends;
static unsigned refused;
static unsigned expired; /* number of refused calls that expired in the queue */
static unsigned errors;
static uint64_t hedges;
static GRand *generator;

static bool event_before(const event_t *a, const event_t *b)
{
	return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static void event_add(usec_t at, event_kind_t kind, unsigned call)
{
	unsigned i = event_count++;
	event_t event = { at, ++event_order, kind, call, 0 };

	if (kind != EVENT_TICK)
		event.attempt = calls[call].tries;
	if (event_count > event_capacity) {
		event_capacity = 2 * event_capacity + 1024;
		events = g_realloc_n(events, event_capacity, sizeof(*events));
	}
	while (i > 0 && event_before(&event, &events[(i - 1) / 2])) {
		events[i] = events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	events[i] = event;
}

static event_t event_pop(void)
{
	event_t top = events[0];
	event_t last = events[--event_count];
	unsigned i = 0;
	unsigned child;

	while ((child = 2 * i + 1) < event_count) {
		if (child + 1 < event_count &&
		    event_before(&events[child + 1], &events[child]))
			child++;
		if (!event_before(&events[child], &last))
			break;
		events[i] = events[child];
		i = child;
	}
	events[i] = last;
	return top;
}

static bool scenario_is(const char *name)
{
	return options.scenario && !strcmp(options.scenario, name);
}

static unsigned copy_index(const entry_copy_t *copy)
{
	return strtoul(copy->name + 1, NULL, 10);
}

/* Return the factor by which service times of a copy are longer at @now. */
static double copy_slowdown(unsigned index, usec_t now)
{
	if (scenario_is("straggler"))
		return index % 8 == 0 ? REPLAY_SLOWDOWN : 1;
	if (scenario_is("shifting")) {
		uint64_t interval[2] = { index, 0 };

		interval[1] = (now + index * 25 * USEC_PER_MS) /
			      REPLAY_SHIFT_US;
		return hl_hash(interval, sizeof(interval), 7) % 4 == 0 ?
			       REPLAY_SLOWDOWN :
			       1;
	}
	if (scenario_is("cold") && index == 0 &&
	    now < REPLAY_COLD_START_US + REPLAY_COLD_US)
		return REPLAY_SLOWDOWN;
	return 1;
}

static bool copy_fails_fast(unsigned index)
{
	return scenario_is("fail-fast") && index == 0;
}

static bool copy_sheds(unsigned index)
{
	return scenario_is("shed") || (scenario_is("shed-one") && index == 0);
}

/* Start a call on a slot of a copy. */
static void copy_start(unsigned index, unsigned i, usec_t now)
{
	copies[index].running++;
	calls[i].running = true;
	calls[i].running_on = index;
	event_add(now + (usec_t)(calls[i].service * copy_slowdown(index, now)),
		  EVENT_DONE, i);
}

static void copy_start_next(unsigned index, usec_t now)
{
	replay_copy_t *copy = &copies[index];

	while (copy->running < (unsigned)options.slots &&
	       copy->head != copy->tail) {
		unsigned at = copy->head++ % REPLAY_QUEUE_MAX;
		unsigned i = copy->queue[at];

		if (!calls[i].finished && calls[i].tries == copy->attempts[at])
			copy_start(index, i, now);
	}
}

static void respond(unsigned i, entry_result_t result, usec_t at)
{
	calls[i].result = result;
	event_add(at + options.delay, EVENT_RESPONSE, i);
}

static void send_arrived(unsigned i, usec_t now)
{
	unsigned index = copy_index(calls[i].call.copy);
	replay_copy_t *copy = &copies[index];

	if (copy_fails_fast(index)) {
		respond(i, ENTRY_RESULT_ERROR, now + REPLAY_FAIL_FAST_US);
	} else if (copy->running < (unsigned)options.slots) {
		copy_start(index, i, now);
	} else if (copy_sheds(index) ||
		   copy->tail - copy->head >= REPLAY_QUEUE_MAX) {
		respond(i, ENTRY_RESULT_SHED, now);
	} else {
		copy->attempts[copy->tail % REPLAY_QUEUE_MAX] = calls[i].tries;
		copy->queue[copy->tail++ % REPLAY_QUEUE_MAX] = i;
	}
}

/* The hedge of a call has the index of the call plus options.calls, and the
   same service time. */
static unsigned hedge_index(unsigned i)
{
	return i + options.calls;
}

static bool is_hedge(unsigned i)
{
	return i >= (unsigned)options.calls;
}

static void call_sent(entry_call_t *call, usec_t now)
{
	unsigned i = (replay_call_t *)call - calls;

	calls[i].sent = true;
	calls[i].tries++;
	sends++;
	event_add(now + options.delay, EVENT_AT_COPY, i);
}

static void call_finish(unsigned i, bool ok, usec_t now)
{
	calls[i].finished = true;
	calls[i].ok = ok;
	calls[i].latency = now - calls[i].call.arrived;
}

static void hedge_sent(entry_call_t *call, usec_t now)
{
	unsigned i = (replay_call_t *)call - calls;
	replay_call_t *hedge = &calls[hedge_index(i)];

	hedge->service = calls[i].service;
	hedge->call.copy = call->hedged_copy;
	hedge->finished = false;
	hedges++;
	call_sent(&hedge->call, now);
}

static void dispatch(usec_t now)
{
	entry_decision_t decision;
	entry_call_t *call;

	while ((call = entry_service_expire(&service, now, &decision))) {
		call_finish((replay_call_t *)call - calls, false, now);
		refused++;
		expired++;
	}
	while ((call = entry_service_next(&service, now)))
		call_sent(call, now);
	while ((call = entry_service_hedge(&service, now)))
		hedge_sent(call, now);
}

static void apply_decision(unsigned i, entry_decision_t decision, usec_t now)
{
	if (decision.verdict == ENTRY_SEND) {
		call_sent(&calls[i].call, now);
	} else if (decision.verdict == ENTRY_REFUSE) {
		call_finish(i, false, now);
		refused++;
	}
	dispatch(now);
}

static void call_arrived(unsigned i, usec_t now)
{
	if (service.policy == ENTRY_POLICY_TWO_CHOICES) {
		entry_service_draw_two(&service, calls[i].candidates);
		event_add(now + options.delay, EVENT_PROBES, i);
		return;
	}
	apply_decision(i, entry_service_arrive(&service, &calls[i].call, now),
		       now);
}

static void probes_arrived(unsigned i, usec_t now)
{
	unsigned n;

	for (n = 0; n < 2; n++) {
		const replay_copy_t *copy =
			&copies[copy_index(calls[i].candidates[n])];

		calls[i].loads[n] = copy->running + copy->tail - copy->head;
	}
	event_add(now + options.delay, EVENT_PROBE_RESPONSES, i);
}

static void hedge_cancel(unsigned i, usec_t now)
{
	calls[hedge_index(i)].finished = true;
	event_add(now + options.delay, EVENT_CANCEL, hedge_index(i));
	entry_service_hedge_end(&service, &calls[i].call, ENTRY_RESULT_CANCEL,
				now);
}

/* Process the end of an attempt at the entry. */
static void send_ended(unsigned i, entry_result_t result, usec_t now)
{
	entry_decision_t decision;

	calls[i].sent = false;
	if (calls[i].call.hedged_copy && result == ENTRY_RESULT_OK)
		hedge_cancel(i, now);
	decision = entry_service_end(&service, &calls[i].call, result, now);
	if (result == ENTRY_RESULT_ERROR)
		errors++;
	if (decision.verdict != ENTRY_WAIT)
		call_finish(i, result == ENTRY_RESULT_OK, now);
	dispatch(now);
}

/* Process the end of a hedge. */
static void hedge_ended(unsigned i, entry_result_t result, usec_t now)
{
	unsigned first = i - options.calls;
	entry_decision_t decision;

	calls[i].finished = true;
	if (!calls[first].call.hedged_copy) {
		/* The primary request failed and the hedge replaced it. */
		send_ended(first, result, now);
		return;
	}
	decision = entry_service_hedge_end(&service, &calls[first].call, result,
					   now);
	if (decision.verdict == ENTRY_RESPOND) {
		entry_service_end(&service, &calls[first].call,
				  ENTRY_RESULT_CANCEL, now);
		call_finish(first, true, now);
		event_add(now + options.delay, EVENT_CANCEL, first);
	}
	dispatch(now);
}

/* End a call at its deadline; a request in flight is cancelled at its copy. */
static void deadline_reached(unsigned i, usec_t now)
{
	if (calls[i].finished || !calls[i].sent)
		return;
	if (calls[i].call.hedged_copy)
		hedge_cancel(i, now);
	send_ended(i, ENTRY_RESULT_DEADLINE, now);
	event_add(now + options.delay, EVENT_CANCEL, i);
}

static void add_copy(unsigned index, usec_t now)
{
	char name[16];
	entry_copy_t *copy;
	unsigned i;

	g_snprintf(name, sizeof(name), "c%u", index);
	copy = entry_service_copy_add(&service, name, now);
	copy->slots = options.slots;
	copy->connections = 260;
	copy->limit = options.slots + options.pipeline;
	for (i = 0; options.adaptive && i < REPLAY_CONNECT_SAMPLES; i++)
		entry_service_on_connect(copy, 2 * options.delay);
	if (scenario_is("cold") && now > 0)
		entry_service_slow_start(copy, now + 2 * REPLAY_COLD_US, now);
	copies[index].copy = copy;
}

static void tick(usec_t now)
{
	if (scenario_is("cold") && !copies[0].copy &&
	    now >= REPLAY_COLD_START_US)
		add_copy(0, now);
	if (event_count > 0)
		event_add(now + REPLAY_TICK_US, EVENT_TICK, 0);
	dispatch(now);
}

/* Release a slot after its call has completed or was cancelled. */
static void slot_released(const event_t *event, usec_t now)
{
	unsigned i = event->call;
	unsigned index = calls[i].running_on;

	if (!calls[i].running || event->attempt != calls[i].tries)
		return;
	calls[i].running = false;
	copies[index].running--;
	if (!calls[i].finished)
		respond(i, ENTRY_RESULT_OK, now);
	copy_start_next(index, now);
}

static void replay_event(const event_t *event)
{
	unsigned i = event->call;
	usec_t now = event->at;

	if (event->kind == EVENT_TICK) {
		tick(now);
		return;
	}
	if (event->kind == EVENT_DONE || event->kind == EVENT_CANCEL) {
		slot_released(event, now);
		return;
	}
	if (calls[i].finished)
		return;
	if (event->kind == EVENT_DEADLINE) {
		deadline_reached(i, now);
		return;
	}
	if (event->attempt != calls[i].tries)
		return;
	if (event->kind == EVENT_ARRIVE)
		call_arrived(i, now);
	else if (event->kind == EVENT_PROBES)
		probes_arrived(i, now);
	else if (event->kind == EVENT_PROBE_RESPONSES)
		apply_decision(
			i,
			entry_service_send_less_loaded(&service, &calls[i].call,
						       calls[i].candidates,
						       calls[i].loads, now),
			now);
	else if (event->kind == EVENT_AT_COPY)
		send_arrived(i, now);
	else if (is_hedge(i))
		hedge_ended(i, calls[i].result, now);
	else
		send_ended(i, calls[i].result, now);
}

/* Draw a service time with mean 1 from the distribution of --shape. */
static double draw_service_time(void)
{
	double u = g_rand_double_range(generator, 1e-12, 1);

	if (options.shape && !strcmp(options.shape, "fixed"))
		return 1;
	if (options.shape && !strcmp(options.shape, "uniform"))
		return 2 * u;
	return -log(u);
}

static void draw_call(unsigned i, usec_t at)
{
	entry_call_t *call = &calls[i].call;
	int tenant = g_rand_int_range(generator, 0, options.tenants);

	if (g_rand_int_range(generator, 0, 100) < options.flood)
		tenant = 0;
	g_snprintf(call->tenant, sizeof(call->tenant), "t%d", tenant);
	call->priority = g_rand_int_range(generator, 0, 100) >= options.high;
	call->idempotent = g_rand_int_range(generator, 0, 100) >= options.post;
	call->arrived = at;
	call->deadline = at + options.deadline * USEC_PER_MS;
	calls[i].service = (usec_t)(options.service * draw_service_time());
}

/* Draw all calls and add their events; returns the last arrival time. */
static usec_t draw_calls(void)
{
	double rate = options.copies * options.slots * options.load / 100.0 /
		      options.service;
	double at = 1;
	int i;

	for (i = 0; i < options.calls; i++) {
		at += -log(g_rand_double_range(generator, 1e-12, 1)) / rate;
		draw_call(i, (usec_t)at);
		event_add((usec_t)at, EVENT_ARRIVE, i);
		event_add(calls[i].call.deadline, EVENT_DEADLINE, i);
	}
	return (usec_t)at;
}

static int usec_compare(const void *a, const void *b)
{
	usec_t x = *(const usec_t *)a;
	usec_t y = *(const usec_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(usec_t *values, unsigned count, double quantile)
{
	if (count == 0)
		return 0;
	return values[(unsigned)(quantile * (count - 1))] / 1000.0;
}

static void print_latencies(const char *name, usec_t *values, unsigned count)
{
	qsort(values, count, sizeof(*values), usec_compare);
	printf(" %s p50=%.1f p99=%.1f p99.9=%.1f", name,
	       quantile_ms(values, count, 0.5),
	       quantile_ms(values, count, 0.99),
	       quantile_ms(values, count, 0.999));
}

/* Print the latencies of the ideal queue: each call takes the slot that is free
   first. */
static void print_ideal(usec_t *values)
{
	unsigned slots = options.copies * options.slots;
	usec_t *free_at = g_new0(usec_t, slots);
	unsigned best;
	unsigned k;
	int i;

	for (i = 0; i < options.calls; i++) {
		usec_t start = calls[i].call.arrived;

		for (best = 0, k = 1; k < slots; k++)
			if (free_at[k] < free_at[best])
				best = k;
		if (free_at[best] > start)
			start = free_at[best];
		free_at[best] = start + calls[i].service;
		values[i] = free_at[best] - calls[i].call.arrived;
	}
	print_latencies("ideal", values, options.calls);
	g_free(free_at);
}

static unsigned collect(usec_t *values, int priority, int tenant)
{
	unsigned count = 0;
	int i;

	for (i = 0; i < options.calls; i++) {
		if (!calls[i].ok ||
		    (priority >= 0 &&
		     calls[i].call.priority != (unsigned)priority))
			continue;
		if (tenant >= 0 && (calls[i].call.tenant[1] == '0') != !tenant)
			continue;
		values[count++] = calls[i].latency;
	}
	return count;
}

static void print_results(usec_t span)
{
	double capacity = (double)options.copies * options.slots *
			  USEC_PER_SEC / options.service;
	usec_t *values = g_new(usec_t, options.calls);
	unsigned count = collect(values, -1, -1);

	printf("%s %s load=%d pipeline=%d", options.policy,
	       options.scenario ? options.scenario : "steady", options.load,
	       options.pipeline);
	print_latencies("all", values, count);
	printf(" goodput=%.3f refused=%u late=%u errors=%u sends=%.3f hedges=%" PRIu64,
	       count / (span / 1e6) / capacity, refused, expired, errors,
	       (double)sends / options.calls, hedges);
	if (options.high > 0) {
		count = collect(values, 0, -1);
		print_latencies("high", values, count);
	}
	if (options.flood > 0) {
		count = collect(values, -1, 1);
		print_latencies("others", values, count);
		printf(" others-ok=%u", count);
	}
	if (options.load < 100)
		print_ideal(values);
	printf("\n");
	g_free(values);
}

static entry_policy_t policy_parse(const char *word)
{
	entry_policy_t policy;

	if (!entry_policy_parse(word, &policy))
		g_error("unknown policy %s", word);
	return policy;
}

#define REPLAY_INT(name, help)                                           \
	{                                                                \
#name, 0, 0, G_OPTION_ARG_INT, &options.name, help, NULL \
	}
#define REPLAY_STRING(name, help)                                           \
	{                                                                   \
#name, 0, 0, G_OPTION_ARG_STRING, &options.name, help, NULL \
	}

static const GOptionEntry entries[] = {
	REPLAY_INT(load, "percent of the slots"),
	REPLAY_INT(copies, "number of copies"),
	REPLAY_INT(slots, "slots of a copy"),
	REPLAY_INT(calls, "number of calls"),
	REPLAY_INT(seed, "seed"),
	REPLAY_INT(pipeline, "maximum credits above the slots"),
	REPLAY_INT(adaptive, "1: connect times are recorded"),
	REPLAY_INT(service, "mean service time, microseconds"),
	REPLAY_INT(delay, "one-way delay, microseconds"),
	REPLAY_INT(deadline, "deadline, milliseconds"),
	REPLAY_INT(queue, "maximum queue length"),
	REPLAY_INT(tenants, "number of tenants"),
	REPLAY_INT(flood, "percent of calls of tenant t0"),
	REPLAY_INT(high, "percent of calls of the urgent class"),
	REPLAY_INT(hedge, "milliseconds before a hedge"),
	REPLAY_INT(post, "percent of calls that are not idempotent"),
	REPLAY_STRING(policy, "owner, random, least or two-choices"),
	REPLAY_STRING(scenario, "steady, straggler, shifting, shed, shed-one, "
				"fail-fast or cold"),
	REPLAY_STRING(shape, "of service times: exponential, fixed, uniform"),
	{ 0 },
};

static void replay_init(void)
{
	int i;

	generator = g_rand_new_with_seed(options.seed);
	calls = g_new0(replay_call_t, 2 * options.calls);
	copies = g_new0(replay_copy_t, options.copies);
	config_profile_set_defaults(&profile);
	profile.pipeline_max = options.pipeline;
	profile.queue_max = options.queue;
	profile.hedge_after_ms = options.hedge;
	entry_service_init(&service, policy_parse(options.policy), &profile,
			   options.seed);
	for (i = scenario_is("cold") ? 1 : 0; i < options.copies; i++)
		add_copy(i, 0);
}

static void replay_fini(void)
{
	entry_service_fini(&service);
	g_free(calls);
	g_free(copies);
	g_free(events);
	g_rand_free(generator);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *err = NULL;
	event_t event;
	gboolean parsed;
	usec_t span;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &err);
	g_option_context_free(context);
	if (!parsed) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	if (!options.policy)
		options.policy = g_strdup("owner");
	replay_init();
	span = draw_calls();
	event_add(REPLAY_TICK_US, EVENT_TICK, 0);
	while (event_count > 0) {
		event = event_pop();
		replay_event(&event);
	}
	print_results(span);
	replay_fini();
	return 0;
}
