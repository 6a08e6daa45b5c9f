#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Token buckets in the form of the generic cell rate algorithm: a bucket is
 * one time, that of the theoretical arrival of the next call.
 */

/* Calls that may come at once: a span of the rate, and never fewer than these.
   Poisson arrivals at half of any rate need six to be let in. */
#define LIMIT_BURST_SPAN (400 * USEC_PER_MS)
#define LIMIT_BURST_MIN 8
#define LIMIT_BUCKETS 1024

/* The remembered bucket of one tenant. */
typedef struct {
	struct cds_list_head age_link;	  /* least lately used first */
	struct cds_list_head bucket_link; /* entry_limit.buckets */
	char name[HL_NAME_MAX];
	usec_t due;
} limit_tenant_t;

struct entry_limit {
	unsigned rate;
	double share;
	usec_t service_due;
	usec_t class_due[CONFIG_CLASSES_MAX];
	usec_t rest_due; /* of tenants that found no place */
	unsigned used;
	struct cds_list_head ages;
	struct cds_list_head buckets[LIMIT_BUCKETS];
	limit_tenant_t tenants[ENTRY_LIMIT_TENANTS];
};

/* One limit that a call has to pass. */
typedef struct {
	usec_t *due;
	double rate;  /* calls a second */
	double burst; /* calls */
} limit_check_t;

struct entry_limit *entry_limit_new(void)
{
	struct entry_limit *limit = calloc(1, sizeof(*limit));
	unsigned i;

	if (!limit)
		return NULL;
	limit->share = 1.0;
	CDS_INIT_LIST_HEAD(&limit->ages);
	for (i = 0; i < LIMIT_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&limit->buckets[i]);
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

static struct cds_list_head *limit_bucket(struct entry_limit *limit,
					  const char *name)
{
	return &limit->buckets[hl_hash(name, strlen(name), 0) % LIMIT_BUCKETS];
}

/* A place for a new tenant; NULL while all remembered ones are in debt. */
static limit_tenant_t *limit_tenant_place(struct entry_limit *limit, usec_t now)
{
	limit_tenant_t *tenant;

	if (limit->used < ENTRY_LIMIT_TENANTS)
		return &limit->tenants[limit->used++];
	tenant = cds_list_first_entry(&limit->ages, limit_tenant_t, age_link);
	if (tenant->due > now)
		return NULL;
	cds_list_del(&tenant->age_link);
	cds_list_del(&tenant->bucket_link);
	return tenant;
}

/* The bucket of a tenant, made if need be. */
static usec_t *limit_tenant_due(struct entry_limit *limit,
				const entry_call_t *call, usec_t now)
{
	struct cds_list_head *bucket = limit_bucket(limit, call->tenant);
	limit_tenant_t *tenant;

	cds_list_for_each_entry (tenant, bucket, bucket_link)
		if (!strcmp(tenant->name, call->tenant)) {
			cds_list_del(&tenant->age_link);
			cds_list_add_tail(&tenant->age_link, &limit->ages);
			return &tenant->due;
		}
	tenant = limit_tenant_place(limit, now);
	if (!tenant)
		return &limit->rest_due;
	memcpy(tenant->name, call->tenant, sizeof(tenant->name));
	tenant->due = now;
	cds_list_add(&tenant->bucket_link, bucket);
	cds_list_add_tail(&tenant->age_link, &limit->ages);
	return &tenant->due;
}

/* How long until a bucket lets a call in; 0 for now. */
static usec_t limit_wait(const limit_check_t *check, usec_t now)
{
	double interval = USEC_PER_SEC / check->rate;
	usec_t early = *check->due - (usec_t)((check->burst - 1) * interval);

	return early > now ? early - now : 0;
}

static void limit_count(const limit_check_t *check, usec_t now)
{
	usec_t start = *check->due > now ? *check->due : now;

	*check->due = start + (usec_t)(USEC_PER_SEC / check->rate);
}

/* Calls that may come at once under @rate, if nobody declared it. */
static double limit_burst(double rate)
{
	double burst = rate * LIMIT_BURST_SPAN / USEC_PER_SEC;

	return burst > LIMIT_BURST_MIN ? burst : LIMIT_BURST_MIN;
}

/* Add a limit of this entry's @rate; none if that is 0. */
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

/* A declared burst is shared as the rate is, but lets one call in anywhere. */
static double limit_tenant_burst(const struct entry_limit *limit,
				 const config_profile_t *profile)
{
	double burst = profile->tenant_burst * limit->share;

	if (profile->tenant_burst == 0)
		return limit_burst(profile->tenant_rate * limit->share);
	return burst > 1 ? burst : 1;
}

/* Fill in the limits of a call, at most three. */
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
		usec_t span = limit_wait(&checks[i], now);

		if (span > *wait)
			*wait = span;
	}
	if (*wait > 0)
		return false;
	for (i = 0; i < count; i++)
		limit_count(&checks[i], now);
	return true;
}
