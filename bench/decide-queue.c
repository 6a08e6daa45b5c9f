#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include "entry-decide.h"

/*
 * Measures the time of one push and one pop of the fair queue at different
 * queue lengths, with calls of 50 tenants in two classes.
 */

#define ROUNDS 200000
#define TENANTS 50

static double seconds(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void push(struct entry_queue *queue, entry_call_t *call, usec_t now)
{
	snprintf(call->tenant, sizeof(call->tenant), "t%ld",
		 random() % TENANTS);
	call->priority = random() % 2;
	call->deadline = now + random() % 1000000;
	entry_queue_push(queue, call, now);
}

static void measure(unsigned waiting)
{
	struct entry_queue *queue = entry_queue_new();
	entry_call_t *calls = calloc(waiting, sizeof(*calls));
	double start;
	unsigned i;

	for (i = 0; i < waiting; i++)
		push(queue, &calls[i], 0);
	start = seconds();
	for (i = 0; i < ROUNDS; i++)
		push(queue, entry_queue_pop(queue), i);
	printf("waiting=%u ns-per-push-and-pop=%.0f\n", waiting,
	       (seconds() - start) * 1e9 / ROUNDS);
	free(calls);
	entry_queue_free(queue);
}

int main(void)
{
	measure(100);
	measure(1000);
	measure(10000);
	measure(100000);
	return 0;
}
