#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-bp.h>
#include "member-net.h"

/*
 * The list of live members. Each change publishes a new list and frees the old
 * one after an RCU grace period, so that other threads read without a lock.
 */

/* ThreadSanitizer does not detect RCU grace periods without annotations. */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define VIEW_TSAN_RELEASE(current) __tsan_release((void *)(current))
#define VIEW_TSAN_ACQUIRE(current) __tsan_acquire((void *)(current))
#else
#define VIEW_TSAN_RELEASE(current) ((void)(current))
#define VIEW_TSAN_ACQUIRE(current) ((void)(current))
#endif

static int view_compare(const void *a, const void *b)
{
	const member_info_t *left = a;
	const member_info_t *right = b;

	return strcmp(left->entry.name, right->entry.name);
}

member_view_t *member_view_new(member_swim_t *swim)
{
	member_view_t *view;
	unsigned i;

	view = calloc(1, sizeof(*view) + swim->count * sizeof(member_info_t));
	if (!view)
		return NULL;
	view->version = swim->version;
	for (i = 0; i < swim->count; i++)
		if (member_swim_live(swim->nodes[i]))
			view->members[view->count++] = swim->nodes[i]->info;
	qsort(view->members, view->count, sizeof(member_info_t), view_compare);
	return view;
}

void member_view_publish(member_view_t **current, member_view_t *view)
{
	member_view_t *old = __atomic_exchange_n(current, view,
						 __ATOMIC_ACQ_REL);

	if (!old)
		return;
	urcu_bp_synchronize_rcu();
	VIEW_TSAN_ACQUIRE(current);
	free(old);
}

static const member_view_t *view_enter(member_view_t *const *current)
{
	urcu_bp_read_lock();
	return __atomic_load_n(current, __ATOMIC_ACQUIRE);
}

static void view_exit(member_view_t *const *current)
{
	VIEW_TSAN_RELEASE(current);
	urcu_bp_read_unlock();
}

unsigned member_view_entries(member_view_t *const *current, owner_member_t *out,
			     unsigned max)
{
	const member_view_t *view = view_enter(current);
	unsigned count = view->count < max ? view->count : max;
	unsigned i;

	for (i = 0; i < count; i++)
		out[i] = view->members[i].entry;
	view_exit(current);
	return count;
}

uint64_t member_view_version(member_view_t *const *current)
{
	uint64_t version = view_enter(current)->version;

	view_exit(current);
	return version;
}
