#include "owner-table.h"

/* A sibling is told at most this often, and only of a change. */
#define LEND_TELL_PERIOD (2 * USEC_PER_MS)
/* A queue that stays is told again, a queue told longer ago is ignored. */
#define LEND_REPEAT_PERIOD (20 * USEC_PER_MS)
#define LEND_BELIEVE (40 * USEC_PER_MS)
/* Copies and slots are told again this often. */
#define LEND_SLOTS_PERIOD (5 * USEC_PER_SEC)
/* Offered credits are not offered again for this long. */
#define LEND_RESERVE (5 * USEC_PER_MS)

/* What one datagram of lending takes out of the budget, in bytes. */
#define LEND_DATAGRAM 90
/* Unused budget is kept for bursts of this long. */
#define LEND_BURST USEC_PER_SEC

/* Take a datagram out of the bytes a second that lending may send. */
static bool lend_afford(owner_t *owner, usec_t now)
{
	double rate = (double)owner->options.lend_rate;
	double most = rate * LEND_BURST / USEC_PER_SEC;

	if (!owner->options.lend_rate)
		return true;
	owner->lend_budget += rate * (double)(now - owner->lend_filled) /
			      USEC_PER_SEC;
	owner->lend_filled = now;
	if (owner->lend_budget > most)
		owner->lend_budget = most;
	if (owner->lend_budget < LEND_DATAGRAM) {
		metrics_add(owner->lend_withheld, 1);
		return false;
	}
	owner->lend_budget -= LEND_DATAGRAM;
	return true;
}

/* A queue is worth telling: it is new, or changed much, or told long ago, and
   the sibling has no queue itself, as far as we know. */
static bool lend_queue_due(const owner_sibling_t *sibling, unsigned waiting,
			   usec_t now)
{
	if (!waiting ||
	    (sibling->waiting && now - sibling->waited <= LEND_BELIEVE))
		return false;
	return waiting >= 2 * sibling->told_waiting ||
	       now - sibling->told >= LEND_REPEAT_PERIOD;
}

static bool lend_slots_due(const owner_service_t *svc,
			   const owner_sibling_t *sibling, usec_t now)
{
	if (!sibling->told)
		return true;
	return svc->copies != sibling->told_copies ||
	       svc->slots != sibling->told_slots ||
	       now - sibling->told >= LEND_SLOTS_PERIOD;
}

static void lend_tell(owner_t *owner, owner_service_t *svc, unsigned waiting,
		      usec_t now)
{
	unsigned i;

	for (i = 0; i < svc->count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!waiting)
			sibling->told_waiting = 0;
		if (sibling->told && now - sibling->told < LEND_TELL_PERIOD)
			continue;
		if (!lend_slots_due(svc, sibling, now) &&
		    (!lend_queue_due(sibling, waiting, now) ||
		     !lend_afford(owner, now)))
			continue;
		sibling->told = now;
		sibling->told_waiting = waiting;
		sibling->told_copies = svc->copies;
		sibling->told_slots = svc->slots;
		owner_net_load(owner, svc, sibling, waiting);
	}
}

/* The sibling with the longest queue that we have heard of lately. */
static owner_sibling_t *lend_longest(owner_service_t *svc, usec_t now)
{
	owner_sibling_t *best = NULL;
	unsigned i;

	for (i = 0; i < svc->count; i++) {
		owner_sibling_t *sibling = &svc->siblings[i];

		if (!sibling->waiting || now - sibling->waited > LEND_BELIEVE)
			continue;
		if (!best || sibling->waiting > best->waiting)
			best = sibling;
	}
	return best;
}

static void lend_offer(owner_t *owner, owner_service_t *svc, unsigned idle,
		       usec_t now)
{
	owner_sibling_t *sibling = lend_longest(svc, now);
	unsigned credits;

	if (now >= svc->reserved_until)
		svc->reserved = 0;
	if (!sibling || idle <= svc->reserved || !lend_afford(owner, now))
		return;
	credits = idle - svc->reserved;
	if (credits > sibling->waiting)
		credits = sibling->waiting;
	if (owner->options.callbacks.reserve)
		credits = owner->options.callbacks.reserve(
			owner->options.callbacks.context, svc->name, credits,
			now + LEND_RESERVE);
	if (!credits)
		return;
	sibling->waiting -= credits;
	svc->reserved += credits;
	svc->reserved_until = now + LEND_RESERVE;
	owner_net_offer(owner, svc, sibling, credits);
}

void owner_lend_tick(owner_t *owner, owner_service_t *svc, usec_t now)
{
	const owner_callbacks_t *events = &owner->options.callbacks;
	unsigned waiting = 0;
	unsigned idle = 0;

	if (!svc->own)
		return;
	owner_table_count(owner, svc);
	if (events->waiting && events->offer)
		waiting = events->waiting(events->context, svc->name);
	lend_tell(owner, svc, waiting, now);
	if (waiting || !events->free_credits || !lend_longest(svc, now))
		return;
	idle = events->free_credits(events->context, svc->name);
	if (idle)
		lend_offer(owner, svc, idle, now);
}

void owner_lend_heard(owner_t *owner, owner_service_t *svc,
		      owner_sibling_t *from, const peer_load_t *load,
		      usec_t now)
{
	from->heard = now;
	from->copies = load->copies;
	from->slots = load->slots;
	from->waiting = load->waiting;
	if (load->reply_requested)
		from->told = 0;
	if (!load->waiting)
		return;
	from->waited = now;
	owner_lend_tick(owner, svc, now);
}

void owner_lend_offered(owner_t *owner, owner_service_t *svc,
			const owner_sibling_t *from, unsigned credits)
{
	const owner_callbacks_t *events = &owner->options.callbacks;

	if (credits && events->offer)
		events->offer(events->context, svc->name, &from->member,
			      credits);
}
