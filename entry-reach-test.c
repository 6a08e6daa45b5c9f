#include <string.h>
#include "entry-io.h"

/*
 * Runs the tests of entry-reach.c: requests of the health path of a copy over a
 * new connection, by the prober.
 */

/* Number of copies of each other service that are tested once an entry is cut
   off from one service. */
#define REACH_TEST_OTHER_SERVICES 3

/* Max number of tests that run at the same time, over all services, and time
   after which a test is tried again that was not started for that. */
#define REACH_TESTS_RUNNING_MAX 64
#define REACH_TESTS_DELAY (20 * USEC_PER_MS)

/* State of a service after a test. */
typedef struct {
	bool changed; /* of the copy */
	bool cut_off;
	bool cut_off_changed;
	bool impaired;
	bool recovered; /* it is no longer reported as impaired */
	unsigned unreachable;
	unsigned total;
} reach_change_t;

static void reach_test_log(const entry_upstream_t *upstream, const char *copy,
			   bool reached, const reach_change_t *change)
{
	if (change->changed)
		log_event(LOG_LEVEL_NOTICE,
			  reached ? "copy-reached" : "copy-unreachable",
			  "service=%s copy=%s unreachable=%u copies=%u",
			  upstream->name, copy, change->unreachable,
			  change->total);
	if (change->cut_off_changed)
		log_event(LOG_LEVEL_WARNING,
			  change->cut_off ? "service-unreachable" :
					    "service-reached",
			  "service=%s unreachable=%u copies=%u", upstream->name,
			  change->unreachable, change->total);
	if (change->recovered)
		log_event(LOG_LEVEL_NOTICE, "entry-recovered", "service=%s",
			  upstream->name);
}

/* Tests some copies of all services, as this entry may be cut off from them. */
static void reach_test_others(entry_t *entry, usec_t now)
{
	entry_upstream_t *upstream = NULL;

	while ((upstream = entry_upstream_next(entry, upstream))) {
		pthread_mutex_lock(&upstream->lock);
		entry_reach_doubt_service(&upstream->service,
					  REACH_TEST_OTHER_SERVICES, now);
		pthread_mutex_unlock(&upstream->lock);
	}
}

/* Updates what depends on whether the service is cut off. The caller holds
   upstream->lock. */
static void reach_test_update(entry_upstream_t *upstream,
			      reach_change_t *change, usec_t now)
{
	change->unreachable = entry_reach_count(&upstream->service,
						&change->total);
	change->cut_off = entry_reach_is_cut_off(&upstream->service);
	change->cut_off_changed = change->cut_off != upstream->cut_off;
	upstream->cut_off = change->cut_off;
	change->impaired = entry_reach_is_impaired(&upstream->service);
	change->recovered = upstream->impaired_until &&
			    (!change->impaired ||
			     now >= upstream->impaired_until);
	if (change->recovered)
		upstream->impaired_until = 0;
}

static void reach_test_on_end(const entry_probe_t *probe, bool reached)
{
	entry_upstream_t *upstream = probe->context;
	reach_change_t change = { 0 };
	usec_t now = time_now();
	entry_copy_t *copy;

	__atomic_fetch_sub(&upstream->entry->reach_tests, 1, __ATOMIC_RELAXED);
	pthread_mutex_lock(&upstream->lock);
	copy = entry_service_copy_find(&upstream->service, probe->copy);
	if (copy)
		change.changed = entry_reach_on_test(&upstream->service, copy,
						     reached, now);
	reach_test_update(upstream, &change, now);
	pthread_mutex_unlock(&upstream->lock);
	reach_test_log(upstream, probe->copy, reached, &change);
	if (change.cut_off_changed && change.cut_off)
		reach_test_others(upstream->entry, now);
	entry_tick_schedule_soon(upstream->entry, now);
}

/* Fills in the next test that is due; false if none is. */
static bool reach_test_next(entry_upstream_t *upstream, entry_probe_t *probe,
			    char path[HL_MESSAGE_MAX], usec_t now)
{
	entry_copy_t *copy = NULL;

	pthread_mutex_lock(&upstream->lock);
	if (*upstream->health_path)
		copy = entry_reach_next_test(&upstream->service, now);
	if (copy) {
		memset(probe, 0, sizeof(*probe));
		strcpy(probe->address, copy->address);
		strcpy(probe->copy, copy->name);
		probe->context = upstream;
		strcpy(path, upstream->health_path);
	}
	pthread_mutex_unlock(&upstream->lock);
	return copy != NULL;
}

/* Whether another test may run; counts it if so. */
static bool reach_test_acquire(entry_t *entry)
{
	if (__atomic_add_fetch(&entry->reach_tests, 1, __ATOMIC_RELAXED) <=
	    REACH_TESTS_RUNNING_MAX)
		return true;
	__atomic_fetch_sub(&entry->reach_tests, 1, __ATOMIC_RELAXED);
	return false;
}

/* Starts the next test that is due; false if none is started. */
static bool reach_test_start(entry_upstream_t *upstream, usec_t now)
{
	entry_t *entry = upstream->entry;
	char path[HL_MESSAGE_MAX];
	entry_probe_t probe;

	if (!reach_test_acquire(entry))
		return false;
	if (!reach_test_next(upstream, &probe, path, now)) {
		__atomic_fetch_sub(&entry->reach_tests, 1, __ATOMIC_RELAXED);
		return false;
	}
	if (entry_prober_test(entry->prober, path, &probe, reach_test_on_end))
		reach_test_on_end(&probe, true);
	return true;
}

usec_t entry_reach_test_run(entry_upstream_t *upstream, usec_t now)
{
	usec_t due = INT64_MAX;

	if (!upstream->entry->prober)
		return INT64_MAX;
	while (reach_test_start(upstream, now))
		;
	pthread_mutex_lock(&upstream->lock);
	if (*upstream->health_path)
		due = entry_reach_test_due(&upstream->service);
	pthread_mutex_unlock(&upstream->lock);
	return due > now ? due : now + REACH_TESTS_DELAY;
}

void entry_reach_test_sweep(entry_t *entry, usec_t now)
{
	entry_upstream_t *upstream = NULL;
	bool impaired = false;

	if (!entry->presence)
		return;
	while ((upstream = entry_upstream_next(entry, upstream))) {
		reach_change_t change = { 0 };

		pthread_mutex_lock(&upstream->lock);
		reach_test_update(upstream, &change, now);
		pthread_mutex_unlock(&upstream->lock);
		reach_test_log(upstream, "", false, &change);
		impaired = impaired || change.impaired;
	}
	if (!impaired)
		presence_client_ask_all_zones(entry->presence, false);
}
