#include <stdlib.h>
#include <string.h>
#include "entry.h"

/* A queue in order of arrival, until entry-queue.c brings classes. */
struct entry_queue {
	struct cds_list_head calls;
	unsigned count;
};

int entry_service_init(entry_service_t *svc, entry_policy_t policy,
		       const config_profile_t *profile, uint64_t seed)
{
	memset(svc, 0, sizeof(*svc));
	CDS_INIT_LIST_HEAD(&svc->copies);
	svc->policy = policy;
	svc->profile = profile;
	svc->random = seed | 1;
	svc->queue = calloc(1, sizeof(*svc->queue));
	if (!svc->queue)
		return -1;
	CDS_INIT_LIST_HEAD(&svc->queue->calls);
	return 0;
}

void entry_service_fini(entry_service_t *svc)
{
	entry_copy_t *copy;
	entry_copy_t *next;

	cds_list_for_each_entry_safe (copy, next, &svc->copies, link)
		entry_service_copy_remove(svc, copy);
	free(svc->queue);
}

void entry_service_profile(entry_service_t *svc,
			   const config_profile_t *profile, usec_t now)
{
	(void)now;
	svc->profile = profile;
}

entry_copy_t *entry_service_copy(entry_service_t *svc, const char *name)
{
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!strcmp(copy->name, name))
			return copy;
	return NULL;
}

entry_copy_t *entry_service_copy_add(entry_service_t *svc, const char *name,
				     usec_t now)
{
	entry_copy_t *copy = calloc(1, sizeof(*copy));

	if (!copy)
		return NULL;
	strncpy(copy->name, name, sizeof(copy->name) - 1);
	copy->announced = now;
	cds_list_add_tail(&copy->link, &svc->copies);
	svc->copy_count++;
	return copy;
}

int entry_service_copy_remove(entry_service_t *svc, entry_copy_t *copy)
{
	if (copy->outstanding)
		return -1;
	cds_list_del(&copy->link);
	svc->copy_count--;
	free(copy);
	return 0;
}

/* The copy with the smallest used share of its limit, or NULL if all full. */
static entry_copy_t *service_pick(entry_service_t *svc)
{
	entry_copy_t *best = NULL;
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &svc->copies, link) {
		if (copy->draining || copy->outstanding >= copy->limit)
			continue;
		if (!best || copy->outstanding * best->limit <
				     best->outstanding * copy->limit)
			best = copy;
	}
	return best;
}

static void service_send(entry_service_t *svc, entry_call_t *call,
			 entry_copy_t *copy, usec_t now)
{
	call->copy = copy;
	call->sent = now;
	call->attempts++;
	copy->outstanding++;
	svc->outstanding++;
}

static void service_enqueue(entry_service_t *svc, entry_call_t *call)
{
	cds_list_add_tail(&call->queue_link, &svc->queue->calls);
	call->waiting = true;
	svc->queue->count++;
}

static void service_dequeue(entry_service_t *svc, entry_call_t *call)
{
	cds_list_del(&call->queue_link);
	call->waiting = false;
	svc->queue->count--;
}

static entry_decision_t service_refuse(entry_refusal_t refusal,
				       usec_t retry_after)
{
	entry_decision_t decision = { ENTRY_REFUSE, refusal, retry_after };

	return decision;
}

entry_decision_t entry_service_arrive(entry_service_t *svc, entry_call_t *call,
				      usec_t now)
{
	entry_decision_t decision = { ENTRY_SEND, ENTRY_REFUSE_NONE, 0 };
	entry_copy_t *copy;

	call->waiting = false;
	if (svc->copy_count == 0)
		return service_refuse(ENTRY_REFUSE_NO_COPY, USEC_PER_SEC);
	if (now >= call->deadline)
		return service_refuse(ENTRY_REFUSE_DEADLINE, 0);
	copy = svc->queue->count ? NULL : service_pick(svc);
	if (copy) {
		service_send(svc, call, copy, now);
		return decision;
	}
	if (svc->queue->count >= svc->profile->queue_max)
		return service_refuse(ENTRY_REFUSE_QUEUE, USEC_PER_SEC);
	service_enqueue(svc, call);
	decision.verdict = ENTRY_WAIT;
	return decision;
}

entry_call_t *entry_service_next(entry_service_t *svc, usec_t now)
{
	entry_call_t *call;
	entry_copy_t *copy;

	if (svc->queue->count == 0)
		return NULL;
	copy = service_pick(svc);
	if (!copy)
		return NULL;
	call = entry_service_take(svc, now);
	if (call)
		service_send(svc, call, copy, now);
	return call;
}

entry_call_t *entry_service_expire(entry_service_t *svc, usec_t now,
				   entry_decision_t *decision)
{
	entry_call_t *call;

	cds_list_for_each_entry (call, &svc->queue->calls, queue_link) {
		if (now < call->deadline)
			continue;
		service_dequeue(svc, call);
		*decision = service_refuse(ENTRY_REFUSE_DEADLINE, 0);
		return call;
	}
	return NULL;
}

entry_decision_t entry_service_end(entry_service_t *svc, entry_call_t *call,
				   entry_result_t result, usec_t now)
{
	entry_decision_t decision = { ENTRY_ANSWER, ENTRY_REFUSE_NONE, 0 };
	bool not_run = result == ENTRY_RESULT_SHED ||
		       result == ENTRY_RESULT_CONNECT;

	call->copy->outstanding--;
	svc->outstanding--;
	if (!not_run || call->once ||
	    call->attempts >= svc->profile->attempts_max ||
	    now >= call->deadline)
		return decision;
	service_enqueue(svc, call);
	decision.verdict = ENTRY_WAIT;
	return decision;
}

void entry_service_leave(entry_service_t *svc, entry_call_t *call)
{
	if (call->waiting)
		service_dequeue(svc, call);
}

entry_call_t *entry_service_take(entry_service_t *svc, usec_t now)
{
	entry_call_t *call;

	(void)now;
	if (svc->queue->count == 0)
		return NULL;
	call = cds_list_first_entry(&svc->queue->calls, entry_call_t,
				    queue_link);
	service_dequeue(svc, call);
	return call;
}

unsigned entry_service_waiting(const entry_service_t *svc)
{
	return svc->queue->count;
}

unsigned entry_service_free(const entry_service_t *svc, usec_t now)
{
	const entry_copy_t *copy;
	unsigned count = 0;

	(void)now;
	cds_list_for_each_entry (copy, &svc->copies, link)
		if (!copy->draining && copy->outstanding < copy->limit)
			count += copy->limit - copy->outstanding;
	return count;
}
