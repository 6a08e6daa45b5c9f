#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "config.h"
#include "entry.h"

/*
 * Feeds seeded arrivals and service times into entry_service_*() and prints
 * what the calls saw. One service, one entry; a copy is a set of slots and a
 * queue in order of arrival, with a link delay each way. The ideal is a single
 * queue without delays over all slots, fed with the same arrivals and service
 * times.
 */

#define REPLAY_FAST_FAIL 500 /* microseconds */
#define REPLAY_SHIFT_SPAN (400 * USEC_PER_MS)
#define REPLAY_COLD_AT (2 * USEC_PER_SEC)
/* Connections that a copy has had when a run starts. */
#define REPLAY_CONNECTS 3
#define REPLAY_COLD_SPAN USEC_PER_SEC
#define REPLAY_SLOW 5.0
#define REPLAY_TICK (5 * USEC_PER_MS)
#define REPLAY_BACKLOG 4096

typedef enum {
	EVENT_ARRIVE,
	EVENT_PROBE,	/* both probes are at their copies */
	EVENT_PROBED,	/* both answers are back */
	EVENT_AT_COPY,	/* a send reached its copy */
	EVENT_DONE,	/* a copy is done with a call */
	EVENT_ANSWER,	/* the answer is back */
	EVENT_CANCEL,	/* the word to stop a call reached its copy */
	EVENT_DEADLINE, /* a call's time is up */
	EVENT_TICK,
} event_kind_t;

typedef struct {
	usec_t at;
	uint64_t order;
	event_kind_t kind;
	unsigned call;
	unsigned attempt; /* of the call; older sends' events are void */
} event_t;

/* A call with what the replay knows about it. */
typedef struct {
	entry_call_t call;
	unsigned tries; /* sends, without hedges */
	usec_t service; /* running time at a copy of usual speed */
	entry_copy_t *two[2];
	unsigned loads[2];
	entry_result_t result; /* on its way back */
	bool sent;
	bool running;	     /* on a slot of its copy */
	unsigned running_on; /* index of that copy */
	bool final;
	bool ok;
	usec_t latency;
} replay_call_t;

typedef struct {
	entry_copy_t *copy;
	unsigned running;
	unsigned queue[REPLAY_BACKLOG]; /* indexes of calls, a ring */
	unsigned attempts[REPLAY_BACKLOG];
	unsigned head;
	unsigned tail;
} replay_copy_t;

typedef struct {
	int load; /* percent of the slots */
	int copies;
	int slots;
	int calls;
	int seed;
	int pipeline; /* pipeline_max */
	int adaptive; /* tell connect times */
	int service;  /* microseconds, mean */
	int delay;    /* microseconds, one way */
	int deadline; /* milliseconds */
	int queue;
	int tenants;
	int flood; /* percent of all calls that tenant t0 makes */
	int high;  /* percent of all calls of the urgent class */
	int hedge; /* milliseconds */
	int post;  /* percent of calls that are not idempotent */
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
static unsigned event_room;
static uint64_t event_order;
static uint64_t sends;
static unsigned refused;
static unsigned late; /* of these, after they had waited */
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
	if (event_count > event_room) {
		event_room = 2 * event_room + 1024;
		events = g_realloc_n(events, event_room, sizeof(*events));
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

/* How much slower than usual a copy is. */
static double copy_factor(unsigned index, usec_t now)
{
	if (scenario_is("straggler"))
		return index % 8 == 0 ? REPLAY_SLOW : 1;
	if (scenario_is("shifting")) {
		uint64_t span[2] = { index, 0 };

		span[1] = (now + index * 25 * USEC_PER_MS) / REPLAY_SHIFT_SPAN;
		return hl_hash(span, sizeof(span), 7) % 4 == 0 ? REPLAY_SLOW :
								 1;
	}
	if (scenario_is("cold") && index == 0 &&
	    now < REPLAY_COLD_AT + REPLAY_COLD_SPAN)
		return REPLAY_SLOW;
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

/* Start a call on a slot of its copy. */
static void copy_start(unsigned index, unsigned i, usec_t now)
{
	copies[index].running++;
	calls[i].running = true;
	calls[i].running_on = index;
	event_add(now + (usec_t)(calls[i].service * copy_factor(index, now)),
		  EVENT_DONE, i);
}

static void copy_start_next(unsigned index, usec_t now)
{
	replay_copy_t *copy = &copies[index];

	while (copy->running < (unsigned)options.slots &&
	       copy->head != copy->tail) {
		unsigned at = copy->head++ % REPLAY_BACKLOG;
		unsigned i = copy->queue[at];

		if (!calls[i].final && calls[i].tries == copy->attempts[at])
			copy_start(index, i, now);
	}
}

static void answer(unsigned i, entry_result_t result, usec_t at)
{
	calls[i].result = result;
	event_add(at + options.delay, EVENT_ANSWER, i);
}

static void at_copy(unsigned i, usec_t now)
{
	unsigned index = copy_index(calls[i].call.copy);
	replay_copy_t *copy = &copies[index];

	if (copy_fails_fast(index)) {
		answer(i, ENTRY_RESULT_ERROR, now + REPLAY_FAST_FAIL);
	} else if (copy->running < (unsigned)options.slots) {
		copy_start(index, i, now);
	} else if (copy_sheds(index) ||
		   copy->tail - copy->head >= REPLAY_BACKLOG) {
		answer(i, ENTRY_RESULT_SHED, now);
	} else {
		copy->attempts[copy->tail % REPLAY_BACKLOG] = calls[i].tries;
		copy->queue[copy->tail++ % REPLAY_BACKLOG] = i;
	}
}

/*
 * The second send of a call is a twin, options.calls further on; it has the
 * same running time.
 */
static unsigned twin_of(unsigned i)
{
	return i + options.calls;
}

static bool is_twin(unsigned i)
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

static void call_final(unsigned i, bool ok, usec_t now)
{
	calls[i].final = true;
	calls[i].ok = ok;
	calls[i].latency = now - calls[i].call.arrived;
}

static void hedge_sent(entry_call_t *call, usec_t now)
{
	unsigned i = (replay_call_t *)call - calls;
	replay_call_t *twin = &calls[twin_of(i)];

	twin->service = calls[i].service;
	twin->call.copy = call->hedged_copy;
	twin->final = false;
	hedges++;
	call_sent(&twin->call, now);
}

static void dispatch(usec_t now)
{
	entry_decision_t decision;
	entry_call_t *call;

	while ((call = entry_service_expire(&service, now, &decision))) {
		call_final((replay_call_t *)call - calls, false, now);
		refused++;
		late++;
	}
	while ((call = entry_service_next(&service, now)))
		call_sent(call, now);
	while ((call = entry_service_hedge(&service, now)))
		hedge_sent(call, now);
}

static void decided(unsigned i, entry_decision_t decision, usec_t now)
{
	if (decision.verdict == ENTRY_SEND) {
		call_sent(&calls[i].call, now);
	} else if (decision.verdict == ENTRY_REFUSE) {
		call_final(i, false, now);
		refused++;
	}
	dispatch(now);
}

static void arrive(unsigned i, usec_t now)
{
	if (service.policy == ENTRY_POLICY_TWO_CHOICES) {
		entry_service_draw_two(&service, calls[i].two);
		event_add(now + options.delay, EVENT_PROBE, i);
		return;
	}
	decided(i, entry_service_arrive(&service, &calls[i].call, now), now);
}

static void probe(unsigned i, usec_t now)
{
	unsigned n;

	for (n = 0; n < 2; n++) {
		const replay_copy_t *copy =
			&copies[copy_index(calls[i].two[n])];

		calls[i].loads[n] = copy->running + copy->tail - copy->head;
	}
	event_add(now + options.delay, EVENT_PROBED, i);
}

static void hedge_cancel(unsigned i, usec_t now)
{
	calls[twin_of(i)].final = true;
	event_add(now + options.delay, EVENT_CANCEL, twin_of(i));
	entry_service_hedge_end(&service, &calls[i].call, ENTRY_RESULT_CANCEL,
				now);
}

/* The end of a send as the entry sees it. */
static void ended(unsigned i, entry_result_t result, usec_t now)
{
	entry_decision_t decision;

	calls[i].sent = false;
	if (calls[i].call.hedged_copy && result == ENTRY_RESULT_OK)
		hedge_cancel(i, now);
	decision = entry_service_end(&service, &calls[i].call, result, now);
	if (result == ENTRY_RESULT_ERROR)
		errors++;
	if (decision.verdict != ENTRY_WAIT)
		call_final(i, result == ENTRY_RESULT_OK, now);
	dispatch(now);
}

/* The end of a second send. */
static void twin_ended(unsigned i, entry_result_t result, usec_t now)
{
	unsigned first = i - options.calls;
	entry_decision_t decision;

	calls[i].final = true;
	if (!calls[first].call.hedged_copy) {
		/* The first send failed: this one took its place. */
		ended(first, result, now);
		return;
	}
	decision = entry_service_hedge_end(&service, &calls[first].call, result,
					   now);
	if (decision.verdict == ENTRY_RESPOND) {
		entry_service_end(&service, &calls[first].call,
				  ENTRY_RESULT_CANCEL, now);
		call_final(first, true, now);
		event_add(now + options.delay, EVENT_CANCEL, first);
	}
	dispatch(now);
}

/* The caller's time is up: a running send is cancelled at its copy. */
static void deadline(unsigned i, usec_t now)
{
	if (calls[i].final || !calls[i].sent)
		return;
	if (calls[i].call.hedged_copy)
		hedge_cancel(i, now);
	ended(i, ENTRY_RESULT_DEADLINE, now);
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
	for (i = 0; options.adaptive && i < REPLAY_CONNECTS; i++)
		entry_service_on_connect(copy, 2 * options.delay);
	if (scenario_is("cold") && now > 0)
		entry_service_slow_start(copy, now + 2 * REPLAY_COLD_SPAN, now);
	copies[index].copy = copy;
}

static void tick(usec_t now)
{
	if (scenario_is("cold") && !copies[0].copy && now >= REPLAY_COLD_AT)
		add_copy(0, now);
	if (event_count > 0)
		event_add(now + REPLAY_TICK, EVENT_TICK, 0);
	dispatch(now);
}

/* A slot is free again: its call is done or was cancelled. */
static void done(const event_t *event, usec_t now)
{
	unsigned i = event->call;
	unsigned index = calls[i].running_on;

	if (!calls[i].running || event->attempt != calls[i].tries)
		return;
	calls[i].running = false;
	copies[index].running--;
	if (!calls[i].final)
		answer(i, ENTRY_RESULT_OK, now);
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
		done(event, now);
		return;
	}
	if (calls[i].final)
		return;
	if (event->kind == EVENT_DEADLINE) {
		deadline(i, now);
		return;
	}
	if (event->attempt != calls[i].tries)
		return;
	if (event->kind == EVENT_ARRIVE)
		arrive(i, now);
	else if (event->kind == EVENT_PROBE)
		probe(i, now);
	else if (event->kind == EVENT_PROBED)
		decided(i,
			entry_service_send_less_loaded(&service, &calls[i].call,
						       calls[i].two,
						       calls[i].loads, now),
			now);
	else if (event->kind == EVENT_AT_COPY)
		at_copy(i, now);
	else if (is_twin(i))
		twin_ended(i, calls[i].result, now);
	else
		ended(i, calls[i].result, now);
}

/* A service time of the chosen shape, mean 1. */
static double draw_service(void)
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
	calls[i].service = (usec_t)(options.service * draw_service());
}

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

static int compare_usec(const void *a, const void *b)
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
	qsort(values, count, sizeof(*values), compare_usec);
	printf(" %s p50=%.1f p99=%.1f p99.9=%.1f", name,
	       quantile_ms(values, count, 0.5),
	       quantile_ms(values, count, 0.99),
	       quantile_ms(values, count, 0.999));
}

/* Each call takes the slot that is free first. */
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
	       count / (span / 1e6) / capacity, refused, late, errors,
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

static entry_policy_t policy_of(const char *word)
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
	REPLAY_INT(pipeline, "most credits above the slots"),
	REPLAY_INT(adaptive, "1: the round trip is known"),
	REPLAY_INT(service, "mean service time, microseconds"),
	REPLAY_INT(delay, "one-way delay, microseconds"),
	REPLAY_INT(deadline, "deadline, milliseconds"),
	REPLAY_INT(queue, "most calls waiting"),
	REPLAY_INT(tenants, "number of tenants"),
	REPLAY_INT(flood, "percent of calls that are tenant t0's"),
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
	entry_service_init(&service, policy_of(options.policy), &profile,
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
	event_add(REPLAY_TICK, EVENT_TICK, 0);
	while (event_count > 0) {
		event = event_pop();
		replay_event(&event);
	}
	print_results(span);
	replay_fini();
	return 0;
}
