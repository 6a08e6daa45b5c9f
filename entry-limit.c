#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Rate limits of the service, its classes and its tenants. The token buckets
 * use the generic cell rate algorithm (GCRA). The whole state of a bucket is a
 * time, its `due` field: the theoretical arrival time of the next call if all
 * calls came at exactly the limit's rate. Each admitted call moves it on by one
 * interval of the rate, and a call is refused if it comes more than a burst
 * before that time.
 */

/* The burst of a limit is the number of calls in this period at the limit's
   rate, but at least LIMIT_BURST_MIN calls. Poisson arrivals at half of the
   rate need a burst of six if fewer than 0.1 % of them may be refused. */
#define LIMIT_BURST_PERIOD (400 * USEC_PER_MS)
#define LIMIT_BURST_MIN 8
#define LIMIT_HASH_BUCKETS 1024

/* The token bucket of one tenant. */
typedef struct {
	struct cds_list_head lru_link;	/* entry_limit.lru */
	struct cds_list_head hash_link; /* entry_limit.hash */
	char name[HL_NAME_MAX];
	usec_t due; /* theoretical arrival time of the next call */
} limit_tenant_t;

struct entry_limit {
	unsigned rate; /* calls per second over all entries; 0: no limit */
	double share;  /* fraction of each limit that this entry may use */
	usec_t service_due;
	usec_t class_due[CONFIG_CLASSES_MAX];
	usec_t overflow_due;	  /* shared by tenants without a bucket */
	unsigned used;		  /* number of elements of tenants in use */
	struct cds_list_head lru; /* tenants, least recently used first */
	struct cds_list_head hash[LIMIT_HASH_BUCKETS];
	limit_tenant_t tenants[ENTRY_LIMIT_TENANTS];
};

/* One limit that applies to a call. */
typedef struct {
	usec_t *due;
	double rate;  /* calls per second */
	double burst; /* calls */
} limit_check_t;

struct entry_limit *entry_limit_new(void)
{
	struct entry_limit *limit = calloc(1, sizeof(*limit));
	unsigned i;

	if (!limit)
		return NULL;
	limit->share = 1.0;
	CDS_INIT_LIST_HEAD(&limit->lru);
	for (i = 0; i < LIMIT_HASH_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&limit->hash[i]);
	return limit;
}

void entry_limit_free(struct entry_limit *limit)
{
	free(limit);
}

void entry_limit_set(struct entry_limit *limit, unsigned rate, double share)
{
	limit->rate = rate;
	limit->share = share > 0 && share <= 1 ? share : 1;
}

static struct cds_list_head *limit_hash_chain(struct entry_limit *limit,
					      const char *name)
{
	return &limit->hash[hl_hash(name, strlen(name), 0) %
			    LIMIT_HASH_BUCKETS];
}

/*
 * Allocate a bucket for a new tenant, or reuse the least recently used bucket.
 *
 * Return: the bucket, or NULL if the least recently used one is not full again
 * (its due time is in the future): reusing it would let its tenant exceed the
 * rate.
 */
static limit_tenant_t *limit_tenant_alloc(struct entry_limit *limit, usec_t now)
{
	limit_tenant_t *tenant;

	if (limit->used < ENTRY_LIMIT_TENANTS)
		return &limit->tenants[limit->used++];
	tenant = cds_list_first_entry(&limit->lru, limit_tenant_t, lru_link);
	if (tenant->due > now)
		return NULL;
	cds_list_del(&tenant->lru_link);
	cds_list_del(&tenant->hash_link);
	return tenant;
}

/* Return the due time of the bucket of the call's tenant. A new tenant gets a
   bucket, or overflow_due if no bucket is free. */
static usec_t *limit_tenant_due(struct entry_limit *limit,
				const entry_call_t *call, usec_t now)
{
	struct cds_list_head *chain = limit_hash_chain(limit, call->tenant);
	limit_tenant_t *tenant;

	cds_list_for_each_entry (tenant, chain, hash_link)
		if (!strcmp(tenant->name, call->tenant)) {
			cds_list_del(&tenant->lru_link);
			cds_list_add_tail(&tenant->lru_link, &limit->lru);
			return &tenant->due;
		}
	tenant = limit_tenant_alloc(limit, now);
	if (!tenant)
		return &limit->overflow_due;
	memcpy(tenant->name, call->tenant, sizeof(tenant->name));
	tenant->due = now;
	cds_list_add(&tenant->hash_link, chain);
	cds_list_add_tail(&tenant->lru_link, &limit->lru);
	return &tenant->due;
}

/* Return the microseconds until a bucket admits a call; 0 if it does now. */
static usec_t limit_check_wait(const limit_check_t *check, usec_t now)
{
	double interval = USEC_PER_SEC / check->rate;
	usec_t early = *check->due - (usec_t)((check->burst - 1) * interval);

	return early > now ? early - now : 0;
}

static void limit_check_charge(const limit_check_t *check, usec_t now)
{
	usec_t start = *check->due > now ? *check->due : now;

	*check->due = start + (usec_t)(USEC_PER_SEC / check->rate);
}

/* Return the burst, in calls, of a limit for which none is configured. */
static double limit_burst(double rate)
{
	double burst = rate * LIMIT_BURST_PERIOD / USEC_PER_SEC;

	return burst > LIMIT_BURST_MIN ? burst : LIMIT_BURST_MIN;
}

/* Append a limit of @rate calls per second to @checks, or nothing if @rate is
   0. Return the new number of elements. */
static unsigned limit_check_add(limit_check_t *checks, unsigned count,
				usec_t *due, double rate, double burst)
{
	if (rate <= 0)
		return count;
	checks[count].due = due;
	checks[count].rate = rate;
	checks[count].burst = burst;
	return count + 1;
}

/*
 * Return the burst of a tenant's limit, in calls. A configured burst is, like
 * the rate, multiplied by this entry's share of the limit, but it is at least
 * one call, so that every entry admits a single call at once.
 */
static double limit_tenant_burst(const struct entry_limit *limit,
				 const config_profile_t *profile)
{
	double burst = profile->tenant_burst * limit->share;

	if (profile->tenant_burst == 0)
		return limit_burst(profile->tenant_rate * limit->share);
	return burst > 1 ? burst : 1;
}

/* Fill @checks with the limits that apply to a call and return their number, at
   most three. */
static unsigned limit_checks(struct entry_limit *limit,
			     const config_profile_t *profile,
			     const entry_call_t *call, usec_t now,
			     limit_check_t *checks)
{
	double rate = limit->rate * limit->share;
	unsigned index = call->class_index;
	unsigned count;

	count = limit_check_add(checks, 0, &limit->service_due, rate,
				limit_burst(rate));
	if (index < profile->classes.classes_len) {
		rate = profile->classes.classes_val[index].rate * limit->share;
		count = limit_check_add(checks, count, &limit->class_due[index],
					rate, limit_burst(rate));
	}
	if (profile->tenant_rate > 0)
		count = limit_check_add(checks, count,
					limit_tenant_due(limit, call, now),
					profile->tenant_rate * limit->share,
					limit_tenant_burst(limit, profile));
	return count;
}

bool entry_limit_admit(struct entry_limit *limit,
		       const config_profile_t *profile,
		       const entry_call_t *call, usec_t now, usec_t *wait)
{
	limit_check_t checks[3];
	unsigned count = limit_checks(limit, profile, call, now, checks);
	unsigned i;

	*wait = 0;
	for (i = 0; i < count; i++) {
		usec_t span = limit_check_wait(&checks[i], now);

		if (span > *wait)
			*wait = span;
	}
	if (*wait > 0)
		return false;
	for (i = 0; i < count; i++)
		limit_check_charge(&checks[i], now);
	return true;
}
