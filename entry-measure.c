#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-io.h"

/* Call metrics by service, tenant and class. */

/* Pairs of tenant and class with separate series per service. Calls of further
   pairs are counted under the tenant "other", which bounds the metrics. */
#define MEASURE_SERIES_MAX 64
#define MEASURE_LABELS_MAX 256

/* The metrics of one tenant and class. */
typedef struct entry_measure {
	struct cds_list_head link;
	char tenant[HL_NAME_MAX];
	char class_name[HL_NAME_MAX];
	metrics_histogram_t *seconds;
	uint64_t *outcomes[ENTRY_RAN + 1];
} measure_t;

static measure_t *measure_new(entry_t *entry, entry_upstream_t *upstream,
			      const char *tenant, const char *class_name)
{
	measure_t *measure = calloc(1, sizeof(*measure));
	char labels[MEASURE_LABELS_MAX];
	int used;
	int i;

	if (!measure)
		return NULL;
	snprintf(measure->tenant, HL_NAME_MAX, "%s", tenant);
	snprintf(measure->class_name, HL_NAME_MAX, "%s", class_name);
	used = snprintf(labels, sizeof(labels),
			"service=\"%s\",tenant=\"%s\",class=\"%s\"",
			upstream->name, tenant, class_name);
	measure->seconds = metrics_histogram(
		entry->metrics, "hemlock_call_seconds", labels,
		"Time from a call's head to its answer's end.");
	for (i = 0; i <= ENTRY_RAN; i++) {
		snprintf(labels + used, sizeof(labels) - (size_t)used,
			 ",outcome=\"%s\"", entry_outcome_name(i));
		measure->outcomes[i] = metrics_counter(
			entry->metrics, "hemlock_calls_total", labels,
			"Calls answered, by what the caller was told.");
	}
	cds_list_add_tail(&measure->link, &upstream->measures);
	upstream->measure_count++;
	return measure;
}

static measure_t *measure_find(entry_upstream_t *upstream, const char *tenant,
			       const char *class_name)
{
	measure_t *measure;

	cds_list_for_each_entry (measure, &upstream->measures, link)
		if (!strcmp(measure->tenant, tenant) &&
		    !strcmp(measure->class_name, class_name))
			return measure;
	return NULL;
}

void entry_measure_call(entry_request_t *req, usec_t now)
{
	entry_upstream_t *upstream = req->upstream;
	const char *class_name = *req->class_name ? req->class_name : "default";
	const char *tenant = req->tenant;
	entry_outcome_t outcome;
	measure_t *measure;

	if (!upstream)
		return;
	pthread_mutex_lock(&upstream->measure_lock);
	measure = measure_find(upstream, tenant, class_name);
	if (!measure && upstream->measure_count >= MEASURE_SERIES_MAX) {
		tenant = "other";
		measure = measure_find(upstream, tenant, class_name);
	}
	if (!measure)
		measure = measure_new(req->entry, upstream, tenant, class_name);
	pthread_mutex_unlock(&upstream->measure_lock);
	if (!measure)
		return;
	metrics_histogram_add(measure->seconds, now - req->call.arrived);
	pthread_mutex_lock(&req->lock);
	outcome = req->response.outcome;
	pthread_mutex_unlock(&req->lock);
	metrics_add(measure->outcomes[outcome], 1);
}

void entry_measure_free(entry_upstream_t *upstream)
{
	measure_t *measure;
	measure_t *next;

	cds_list_for_each_entry_safe (measure, next, &upstream->measures,
				      link) {
		cds_list_del(&measure->link);
		free(measure);
	}
}
