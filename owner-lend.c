#include "owner-table.h"

/* Lending of credits between the owners of a service: an owner with waiting
   calls reports its queue, and a sibling with free credits offers to run some
   of them. */

/* Minimum interval between two reports to a sibling. A report is due when the
   queue has doubled or the number of copies or slots has changed; without a
   change, after LEND_REFRESH_INTERVAL if calls wait, else after
   LEND_SLOTS_INTERVAL. */
#define LEND_REPORT_INTERVAL (2 * USEC_PER_MS)
/* Interval at which an unchanged queue is reported again, and the age above
   which a reported queue is ignored. */
#define LEND_REFRESH_INTERVAL (20 * USEC_PER_MS)
#define LEND_QUEUE_MAX_AGE (40 * USEC_PER_MS)
/* Interval at which unchanged copies and slots are reported again. */
#define LEND_SLOTS_INTERVAL (5 * USEC_PER_SEC)
/* Time for which offered credits are reserved. */
#define LEND_RESERVE_TIME (5 * USEC_PER_MS)

/* Bytes that one datagram takes out of the lending budget. */
#define LEND_DATAGRAM_BYTES 90
/* Maximum of the lending budget, as the time in which it fills. */
#define LEND_BURST_TIME USEC_PER_SEC

/* Takes one datagram out of the token bucket, which is filled at lend_rate
   bytes per second. Returns false if the bucket is empty. */
static bool lend_take_budget(owner_t *owner, usec_t now)
{
	double rate = (double)owner->options.lend_rate;
	double budget_max = rate * LEND_BURST_TIME / USEC_PER_SEC;

	if (!owner->options.lend_rate)
		return true;
	owner->lend_budget += rate * (double)(now - owner->lend_filled_at) /
			      USEC_PER_SEC;
	owner->lend_filled_at = now;
	if (owner->lend_budget > budget_max)
		owner->lend_budget = budget_max;
	if (owner->lend_budget < LEND_DATAGRAM_BYTES) {
		metrics_add(owner->lend_withheld, 1);
		return false;
	}
	owner->lend_budget -= LEND_DATAGRAM_BYTES;
	return true;
}

/* Whether to report the queue of this entry to a sibling: the sibling has not
   reported a queue recently, and the queue has doubled since the last report or
   that report is LEND_REFRESH_INTERVAL old. */
static bool lend_queue_due(const owner_sibling_t *sibling, unsigned waiting,
			   usec_t now)
{
	if (!waiting || (sibling->waiting &&
			 now - sibling->waiting_at <= LEND_QUEUE_MAX_AGE))
		return false;
	return waiting >= 2 * sibling->sent_waiting ||
	       now - sibling->sent_at >= LEND_REFRESH_INTERVAL;
}

static bool lend_slots_due(const owner_service_t *svc,
			   const owner_sibling_t *sibling, usec_t now)
{
	if (!sibling->sent_at)
		return true;
	return svc->copies != sibling->sent_copies ||
	       svc->slots != sibling->sent_slots ||
	       now - sibling->sent_at >= LEND_SLOTS_INTERVAL;
}

static void lend_report_load(owner_t *owner, owner_service_t *svc,
			     unsigned waiting, usec_t now)
{
	unsigned i;

	for (i = 0; i < svc->sibling_count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!waiting)
			sibling->sent_waiting = 0;
		if (sibling->sent_at &&
		    now - sibling->sent_at < LEND_REPORT_INTERVAL)
			continue;
		if (!lend_slots_due(svc, sibling, now) &&
		    (!lend_queue_due(sibling, waiting, now) ||
		     !lend_take_budget(owner, now)))
			continue;
		sibling->sent_at = now;
		sibling->sent_waiting = waiting;
		sibling->sent_copies = svc->copies;
		sibling->sent_slots = svc->slots;
		owner_net_load(owner, svc, sibling, waiting);
	}
}

/* Returns the sibling that recently reported the longest queue, or NULL. */
static owner_sibling_t *lend_longest_queue(owner_service_t *svc, usec_t now)
{
	owner_sibling_t *best = NULL;
	unsigned i;

	for (i = 0; i < svc->sibling_count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!sibling->waiting ||
		    now - sibling->waiting_at > LEND_QUEUE_MAX_AGE)
			continue;
		if (!best || sibling->waiting > best->waiting)
			best = sibling;
	}
	return best;
}

static void lend_offer(owner_t *owner, owner_service_t *svc,
		       unsigned free_credits, usec_t now)
{
	owner_sibling_t *sibling = lend_longest_queue(svc, now);
	unsigned credits;

	if (now >= svc->reserved_until)
		svc->reserved = 0;
	if (!sibling || free_credits <= svc->reserved ||
	    !lend_take_budget(owner, now))
		return;
	credits = free_credits - svc->reserved;
	if (credits > sibling->waiting)
		credits = sibling->waiting;
	if (owner->options.callbacks.reserve)
		credits = owner->options.callbacks.reserve(
			owner->options.callbacks.context, svc->name, credits,
			now + LEND_RESERVE_TIME);
	if (!credits)
		return;
	sibling->waiting -= credits;
	svc->reserved += credits;
	svc->reserved_until = now + LEND_RESERVE_TIME;
	owner_net_offer(owner, svc, sibling, credits);
}

void owner_lend_tick(owner_t *owner, owner_service_t *svc, usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	unsigned waiting = 0;
	unsigned free_credits = 0;

	if (!svc->is_owner)
		return;
	owner_table_count(owner, svc);
	if (callbacks->waiting && callbacks->offer)
		waiting = callbacks->waiting(callbacks->context, svc->name);
	lend_report_load(owner, svc, waiting, now);
	if (waiting || !callbacks->free_credits ||
	    !lend_longest_queue(svc, now))
		return;
	free_credits = callbacks->free_credits(callbacks->context, svc->name);
	if (free_credits)
		lend_offer(owner, svc, free_credits, now);
}

void owner_lend_on_load(owner_t *owner, owner_service_t *svc,
			owner_sibling_t *from, const peer_load_t *load,
			usec_t now)
{
	from->reported_at = now;
	from->copies = load->copies;
	from->slots = load->slots;
	from->waiting = load->waiting;
	if (load->reply_requested)
		from->sent_at = 0;
	if (!load->waiting)
		return;
	from->waiting_at = now;
	owner_lend_tick(owner, svc, now);
}

void owner_lend_on_offer(owner_t *owner, owner_service_t *svc,
			 const owner_sibling_t *from, unsigned credits)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;

	if (credits && callbacks->offer)
		callbacks->offer(callbacks->context, svc->name, &from->member,
				 credits);
}
