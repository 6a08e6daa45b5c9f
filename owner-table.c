#include <stdlib.h>
#include <string.h>
#include "owner-table.h"

/* The tables of an owner_t: records of copies, services with their owners, and
   the live and recently departed entries. */

owner_record_t *owner_table_record(owner_t *owner, const char *service,
				   const char *copy)
{
	owner_record_t *record;

	cds_list_for_each_entry (record, &owner->records, link)
		if (!strcmp(record->copy.name, copy) &&
		    !strcmp(record->copy.service, service))
			return record;
	return NULL;
}

owner_record_t *owner_table_record_add(owner_t *owner, const owner_copy_t *copy)
{
	owner_record_t *record;

	if (owner->record_count == OWNER_RECORDS_MAX)
		return NULL;
	record = calloc(1, sizeof(*record));
	if (!record)
		return NULL;
	record->copy = *copy;
	cds_list_add_tail(&record->link, &owner->records);
	owner->record_count++;
	return record;
}

void owner_table_record_remove(owner_t *owner, owner_record_t *record)
{
	cds_list_del(&record->link);
	owner->record_count--;
	free(record);
}

const owner_member_t *owner_table_member(owner_t *owner, const char *name)
{
	unsigned i;

	for (i = 0; i < owner->member_count; i++)
		if (!strcmp(owner->members[i].name, name))
			return &owner->members[i];
	return NULL;
}

const owner_member_t *owner_table_peer(owner_t *owner, const char *name)
{
	const owner_member_t *member = owner_table_member(owner, name);
	unsigned i;

	for (i = 0; !member && i < OWNER_DEPARTED_MAX; i++)
		if (!strcmp(owner->departed[i].name, name))
			member = &owner->departed[i];
	return member;
}

owner_sibling_t *owner_table_sibling(owner_service_t *svc, const char *name)
{
	unsigned i;

	for (i = 0; i < svc->sibling_count; i++)
		if (!strcmp(svc->siblings[i].member.name, name))
			return &svc->siblings[i];
	return NULL;
}

/* Recomputes the owners of a service and keeps the reports of siblings that
   remain owners. */
static void table_service_refresh(owner_t *owner, owner_service_t *svc)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	owner_sibling_t siblings[OWNER_MAX];
	unsigned wanted = 0;
	unsigned kept = 0;
	unsigned i;

	if (callbacks->owners_wanted)
		wanted = callbacks->owners_wanted(callbacks->context,
						  svc->name);
	svc->owner_count = owner_hash_service(owner->members,
					      owner->member_count, svc->name,
					      wanted, svc->owners);
	svc->is_owner = false;
	for (i = 0; i < svc->owner_count; i++) {
		const owner_member_t *member = &owner->members[svc->owners[i]];
		const owner_sibling_t *previous;

		if (!strcmp(member->name, owner->options.self.name)) {
			svc->is_owner = true;
			continue;
		}
		previous = owner_table_sibling(svc, member->name);
		if (previous)
			siblings[kept] = *previous;
		else
			memset(&siblings[kept], 0, sizeof(siblings[kept]));
		siblings[kept++].member = *member;
	}
	memcpy(svc->siblings, siblings, kept * sizeof(siblings[0]));
	svc->sibling_count = kept;
	svc->version = owner->members_version;
}

static owner_service_t *table_service_add(owner_t *owner, const char *service)
{
	owner_service_t *svc;

	if (owner->service_count == OWNER_SERVICES_MAX)
		return NULL;
	svc = calloc(1, sizeof(*svc));
	if (!svc)
		return NULL;
	strncpy(svc->name, service, HL_NAME_MAX - 1);
	cds_list_add_tail(&svc->link, &owner->services);
	owner->service_count++;
	return svc;
}

owner_service_t *owner_table_service(owner_t *owner, const char *service)
{
	owner_service_t *svc;

	cds_list_for_each_entry (svc, &owner->services, link)
		if (!strcmp(svc->name, service))
			goto found;
	svc = table_service_add(owner, service);
	if (!svc)
		return NULL;
found:
	if (svc->version != owner->members_version)
		table_service_refresh(owner, svc);
	return svc;
}

bool owner_table_stopped(owner_t *owner, const owner_copy_t *copy)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;

	if (copy->state == OWNER_COPY_DRAINING)
		return true;
	return callbacks->planned_stop &&
	       callbacks->planned_stop(callbacks->context, copy->service,
				       copy->name);
}

/* Returns the limit of a copy before the outstanding calls of a former owner
   are subtracted. While there are such calls the limit has no pipeline credits:
   an entry may use fewer credits than its limit, so the subtraction might only
   reduce unused credits and the copy would get too many calls. */
static unsigned table_ceiling(owner_t *owner, const owner_record_t *record,
			      usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	const owner_copy_t *copy = &record->copy;
	unsigned pipeline = 1;
	unsigned ceiling;

	if (owner_table_stopped(owner, copy))
		return 0;
	if (callbacks->pipeline &&
	    owner_lease_former_outstanding(&record->lease, owner->options.lease,
					   now))
		pipeline = 0;
	else if (callbacks->pipeline)
		pipeline = callbacks->pipeline(callbacks->context,
					       copy->service);
	ceiling = copy->slots + pipeline;
	return ceiling < copy->connections ? ceiling : copy->connections;
}

usec_t owner_table_until(const owner_t *owner, const owner_record_t *record,
			 usec_t now)
{
	usec_t until = owner_lease_until(&record->lease,
					 &owner->witness_holder);

	if (!owner_lease_valid(&record->lease, now) || now >= until)
		return 0;
	return until;
}

void owner_table_report_limit(owner_t *owner, owner_record_t *record,
			      usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	usec_t until = owner_table_until(owner, record, now);
	unsigned limit = 0;

	if (until)
		limit = owner_lease_limit(&record->lease,
					  table_ceiling(owner, record, now),
					  owner->options.lease, now);
	if (!limit)
		until = 0;
	if (record->reported && limit == record->reported_limit &&
	    until == record->reported_until)
		return;
	record->reported = true;
	record->reported_limit = limit;
	record->reported_until = until;
	if (callbacks->limit)
		callbacks->limit(callbacks->context, &record->copy, limit,
				 until);
}

void owner_table_count(owner_t *owner, owner_service_t *svc)
{
	const owner_record_t *record;

	svc->copies = 0;
	svc->slots = 0;
	cds_list_for_each_entry (record, &owner->records, link) {
		if (record->lease.state == OWNER_LEASE_NONE ||
		    owner->now >=
			    record->lease.answered_at + owner->options.lease ||
		    strcmp(record->copy.service, svc->name) != 0)
			continue;
		svc->copies++;
		svc->slots += record->copy.slots;
	}
}

static void table_set_defaults(owner_options_t *options)
{
	if (!options->announce_interval)
		options->announce_interval = OWNER_ANNOUNCE_INTERVAL;
	if (!options->lease)
		options->lease = OWNER_LEASE_DURATION;
}

static void table_add_metrics(owner_t *owner)
{
	metrics_t *metrics = owner->options.metrics;

	if (!metrics)
		return;
	owner->lend_bytes = metrics_counter(
		metrics, "hemlock_owner_lend_bytes_total", "",
		"Bytes sent to sibling owners about queues and credits.");
	owner->lend_withheld = metrics_counter(
		metrics, "hemlock_owner_lend_withheld_total", "",
		"Datagrams of lending not sent for want of budget.");
	owner->lend_datagrams =
		metrics_counter(metrics, "hemlock_owner_lend_datagrams_total",
				"", "Datagrams sent to sibling owners.");
	owner->lease_bytes =
		metrics_counter(metrics, "hemlock_owner_lease_bytes_total", "",
				"Bytes sent about who owns a copy.");
	owner->witness_bytes =
		metrics_counter(metrics, "hemlock_owner_witness_bytes_total",
				"", "Bytes sent about witness leases.");
	owner->terms_ended = metrics_counter(
		metrics, "hemlock_owner_terms_ended_total", "",
		"Terms of other owners that their witnesses ended for us.");
	owner->credits_offered =
		metrics_counter(metrics, "hemlock_owner_credits_offered_total",
				"", "Credits offered to siblings.");
	owner->copies_taken =
		metrics_counter(metrics, "hemlock_owner_copies_taken_total", "",
				"Copies taken from another owner.");
	owner->copies_moved =
		metrics_counter(metrics, "hemlock_owner_copies_moved_total", "",
				"Copies passed on to balance the owners.");
}

owner_t *owner_new(const owner_options_t *options, hl_error_t *err)
{
	owner_t *owner = calloc(1, sizeof(*owner));

	if (!owner)
		goto no_memory;
	owner->options = *options;
	table_set_defaults(&owner->options);
	CDS_INIT_LIST_HEAD(&owner->records);
	CDS_INIT_LIST_HEAD(&owner->services);
	pthread_mutex_init(&owner->lock, NULL);
	pthread_cond_init(&owner->wake, NULL);
	owner->members_version = 1;
	owner->members = calloc(MEMBER_MAX, sizeof(owner_member_t));
	if (!owner->members)
		goto no_memory;
	if (owner->options.lease < 2 * owner->options.announce_interval) {
		hl_error_set(err, HL_ERR_SETTINGS,
			     "the lease must be at least two announce "
			     "intervals; raise lease_ms or lower interval_ms");
		goto fail;
	}
	table_add_metrics(owner);
	owner_witness_init(owner);
	owner_net_register(owner);
	return owner;
no_memory:
	hl_error_set(err, HL_ERR_NOMEM,
		     "out of memory for the table of owners; give the VM "
		     "more memory");
fail:
	owner_free(owner);
	return NULL;
}

void owner_free(owner_t *owner)
{
	owner_record_t *record;
	owner_record_t *next_record;
	owner_service_t *svc;
	owner_service_t *next_svc;

	if (!owner)
		return;
	cds_list_for_each_entry_safe (record, next_record, &owner->records,
				      link)
		free(record);
	cds_list_for_each_entry_safe (svc, next_svc, &owner->services, link)
		free(svc);
	free(owner->members);
	pthread_cond_destroy(&owner->wake);
	pthread_mutex_destroy(&owner->lock);
	free(owner);
}

static void table_add_departed(owner_t *owner, const owner_member_t *member)
{
	unsigned i;

	for (i = 0; i < OWNER_DEPARTED_MAX; i++)
		if (!strcmp(owner->departed[i].name, member->name))
			break;
	if (i == OWNER_DEPARTED_MAX)
		i = owner->departed_next++ % OWNER_DEPARTED_MAX;
	owner->departed[i] = *member;
}

/* Stores the entries that are live until now and absent from @members in the
   ring buffer of departed entries. */
static void table_record_departed(owner_t *owner, const owner_member_t *members,
				  unsigned count)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < owner->member_count; i++) {
		for (j = 0; j < count; j++)
			if (!strcmp(members[j].name, owner->members[i].name))
				break;
		if (j == count)
			table_add_departed(owner, &owner->members[i]);
	}
}

void owner_set_members(owner_t *owner, const owner_member_t *members,
		       unsigned count)
{
	unsigned i;

	pthread_mutex_lock(&owner->lock);
	table_record_departed(owner, members, count);
	owner->member_count = 0;
	for (i = 0; i < count && owner->member_count < MEMBER_MAX; i++) {
		if (owner->leaving &&
		    !strcmp(members[i].name, owner->options.self.name))
			continue;
		owner->members[owner->member_count++] = members[i];
	}
	owner->members_version++;
	pthread_mutex_unlock(&owner->lock);
}
