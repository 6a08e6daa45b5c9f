#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "entry-sibling.h"

/* Max number of questions of an entry in a second, over all services. */
#define SIBLING_QUESTIONS_PER_SEC 64
/* Max number of siblings that are known for a service. */
#define SIBLINGS_MAX 64
/* Max number of answers that are outstanding for a service. */
#define SIBLINGS_ASKING_MAX 4
/* Number of siblings that reach copies from which no others are asked. */
#define SIBLINGS_ENOUGH 6
/* Part, as a divisor, of the siblings of the own zone that must reach copies for calls
   to stay in the zone. With fewer, the calls of a whole zone would fill these few. */
#define SIBLINGS_NEAR_PART 3
/* Age up to which an answer that a sibling reaches copies counts. */
#define SIBLING_REACHES_AGE (1500 * USEC_PER_MS)
/* Time after which a sibling is asked again, by its last answer. */
static const usec_t sibling_intervals[] = {
	[ENTRY_SIBLING_UNKNOWN] = USEC_PER_SEC,
	[ENTRY_SIBLING_TESTING] = 100 * USEC_PER_MS,
	[ENTRY_SIBLING_LACKS] = USEC_PER_SEC,
	[ENTRY_SIBLING_SILENT] = USEC_PER_SEC,
	[ENTRY_SIBLING_REACHES] = 500 * USEC_PER_MS,
};

bool entry_question_rate_take(entry_question_rate_t *rate, usec_t now)
{
	if (now >= rate->period_end) {
		rate->period_end = now + USEC_PER_SEC;
		rate->count = 0;
	}
	if (rate->count == SIBLING_QUESTIONS_PER_SEC)
		return false;
	rate->count++;
	return true;
}

void entry_siblings_init(entry_siblings_t *set)
{
	CDS_INIT_LIST_HEAD(&set->list);
	set->count = 0;
	set->asking = 0;
}

void entry_siblings_clear(entry_siblings_t *set)
{
	entry_sibling_t *sibling = NULL;
	entry_sibling_t *next = NULL;

	cds_list_for_each_entry_safe (sibling, next, &set->list, link)
		free(sibling);
	entry_siblings_init(set);
}

static entry_sibling_t *siblings_find(const entry_siblings_t *set,
				      const char *address)
{
	entry_sibling_t *sibling = NULL;

	cds_list_for_each_entry (sibling, &set->list, link)
		if (!strcmp(sibling->address, address))
			return sibling;
	return NULL;
}

/* Remove the sibling that has least to offer: one that cannot serve calls, by the
   oldest answer. Returns false if there is none. */
static bool siblings_remove_one(entry_siblings_t *set)
{
	entry_sibling_t *sibling = NULL;
	entry_sibling_t *oldest = NULL;

	cds_list_for_each_entry (sibling, &set->list, link)
		if ((sibling->state == ENTRY_SIBLING_LACKS ||
		     sibling->state == ENTRY_SIBLING_SILENT) &&
		    !sibling->asking &&
		    (!oldest || sibling->answered_at < oldest->answered_at))
			oldest = sibling;
	if (!oldest)
		return false;
	cds_list_del(&oldest->link);
	free(oldest);
	set->count--;
	return true;
}

void entry_siblings_add(entry_siblings_t *set, const char *address, bool near)
{
	entry_sibling_t *sibling;

	if (siblings_find(set, address))
		return;
	if (set->count == SIBLINGS_MAX && !siblings_remove_one(set))
		return;
	sibling = calloc(1, sizeof(*sibling));
	if (!sibling)
		return;
	g_strlcpy(sibling->address, address, sizeof(sibling->address));
	sibling->near = near;
	cds_list_add_tail(&sibling->link, &set->list);
	set->count++;
}

static bool sibling_reaches(const entry_sibling_t *sibling, usec_t now)
{
	return sibling->state == ENTRY_SIBLING_REACHES &&
	       now - sibling->answered_at <= SIBLING_REACHES_AGE;
}

static unsigned siblings_count_reaching(const entry_siblings_t *set,
					bool near_only, usec_t now)
{
	const entry_sibling_t *sibling = NULL;
	unsigned count = 0;

	cds_list_for_each_entry (sibling, &set->list, link)
		count += sibling_reaches(sibling, now) &&
			 (sibling->near || !near_only);
	return count;
}

/* Whether calls stay in the zone, by the siblings of it that have answered. */
static bool siblings_prefer_near(const entry_siblings_t *set, usec_t now)
{
	const entry_sibling_t *sibling = NULL;
	unsigned answered = 0;
	unsigned near = 0;

	cds_list_for_each_entry (sibling, &set->list, link) {
		near += sibling->near;
		answered += sibling->near && sibling->answered_at;
	}
	return near &&
	       SIBLINGS_NEAR_PART * siblings_count_reaching(set, true, now) >=
		       answered;
}

/* What decides which siblings are asked. */
typedef struct {
	bool enough; /* of them reach copies */
	bool near;   /* calls stay in the zone */
} sibling_need_t;

static sibling_need_t siblings_need(const entry_siblings_t *set, usec_t now)
{
	sibling_need_t need = {
		.enough = siblings_count_reaching(set, false, now) >=
			  SIBLINGS_ENOUGH,
		.near = siblings_prefer_near(set, now),
	};

	return need;
}

bool entry_siblings_reach(const entry_siblings_t *set, usec_t now)
{
	return siblings_count_reaching(set, false, now) > 0;
}

/* A set without siblings has not been filled yet. */
bool entry_siblings_may_reach(const entry_siblings_t *set, usec_t now)
{
	const entry_sibling_t *sibling = NULL;
	bool open = !set->count;

	cds_list_for_each_entry (sibling, &set->list, link) {
		if (sibling_reaches(sibling, now))
			return false;
		open = open || !sibling->answered_at ||
		       sibling->state == ENTRY_SIBLING_TESTING;
	}
	return open;
}

/* Whether a sibling is to be asked: while enough of them reach copies, only these
   are, so that what is known of them stays recent. */
static bool sibling_is_wanted(const entry_sibling_t *sibling,
			      const sibling_need_t *need, usec_t now)
{
	return !sibling->asking && (sibling->near || !need->near) &&
	       (!need->enough || sibling_reaches(sibling, now));
}

/* Whether @a is asked before @b: siblings that were not asked yet first, then those of
   the own zone, then those whose answer is older. */
static bool sibling_before(const entry_sibling_t *a, const entry_sibling_t *b)
{
	if (!a->answered_at != !b->answered_at)
		return !a->answered_at;
	if (a->near != b->near)
		return a->near;
	return a->answered_at < b->answered_at;
}

entry_sibling_t *entry_siblings_next(entry_siblings_t *set, usec_t now)
{
	sibling_need_t need = siblings_need(set, now);
	entry_sibling_t *sibling = NULL;
	entry_sibling_t *best = NULL;

	if (set->asking >= SIBLINGS_ASKING_MAX)
		return NULL;
	cds_list_for_each_entry (sibling, &set->list, link)
		if (now >= sibling->ask_at &&
		    sibling_is_wanted(sibling, &need, now) &&
		    (!best || sibling_before(sibling, best)))
			best = sibling;
	if (!best)
		return NULL;
	best->asking = true;
	set->asking++;
	return best;
}

usec_t entry_siblings_due(const entry_siblings_t *set, usec_t now)
{
	sibling_need_t need = siblings_need(set, now);
	const entry_sibling_t *sibling = NULL;
	usec_t due = USEC_NEVER;

	if (set->asking >= SIBLINGS_ASKING_MAX)
		return USEC_NEVER;
	cds_list_for_each_entry (sibling, &set->list, link)
		if (sibling->ask_at < due &&
		    sibling_is_wanted(sibling, &need, now))
			due = sibling->ask_at;
	return due;
}

void entry_siblings_on_answer(entry_siblings_t *set, const char *address,
			      entry_sibling_state_t state, usec_t now)
{
	entry_sibling_t *sibling = siblings_find(set, address);

	if (!sibling)
		return;
	if (sibling->asking)
		set->asking--;
	sibling->asking = false;
	sibling->state = state;
	sibling->answered_at = now;
	sibling->ask_at = now + sibling_intervals[state];
}

/* The kinds of siblings that a call can go to, worst first. */
typedef enum {
	SIBLING_UNUSABLE,
	SIBLING_FAR_UNKNOWN,
	SIBLING_NEAR_UNKNOWN,
	SIBLING_USABLE,
	SIBLING_NEAR_USABLE,
} sibling_rank_t;

static sibling_rank_t sibling_rank(const entry_sibling_t *sibling,
				   bool prefers_near, usec_t now)
{
	if (sibling_reaches(sibling, now))
		return prefers_near && sibling->near ? SIBLING_NEAR_USABLE :
						       SIBLING_USABLE;
	if (sibling->state == ENTRY_SIBLING_LACKS ||
	    sibling->state == ENTRY_SIBLING_SILENT)
		return SIBLING_UNUSABLE;
	return sibling->near ? SIBLING_NEAR_UNKNOWN : SIBLING_FAR_UNKNOWN;
}

const entry_sibling_t *entry_siblings_choose(const entry_siblings_t *set,
					     unsigned random, unsigned *count,
					     usec_t now)
{
	bool prefers_near = siblings_prefer_near(set, now);
	const entry_sibling_t *candidates[SIBLINGS_MAX];
	const entry_sibling_t *sibling = NULL;
	sibling_rank_t best = SIBLING_FAR_UNKNOWN;

	*count = 0;
	cds_list_for_each_entry (sibling, &set->list, link) {
		sibling_rank_t rank = sibling_rank(sibling, prefers_near, now);

		if (rank > best)
			*count = 0;
		best = MAX(rank, best);
		if (rank == best)
			candidates[(*count)++] = sibling;
	}
	return *count ? candidates[random % *count] : NULL;
}
