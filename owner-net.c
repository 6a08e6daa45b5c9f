#include <string.h>
#include "owner-table.h"

/* Encodes and decodes the datagrams between owners: forwarded announcements,
   releases, loads, offers, slots and witness leases. */

static unsigned net_send(owner_t *owner, const char *address,
			 const peer_body_t *body)
{
	if (owner->send)
		return owner->send(owner->send_context, address, body);
	if (owner->options.member)
		return member_send(owner->options.member, address, body);
	return 0;
}

static void net_send_lease(owner_t *owner, const char *address,
			   const peer_body_t *body)
{
	metrics_add(owner->lease_bytes, net_send(owner, address, body));
}

static void net_send_lend(owner_t *owner, const char *address,
			  const peer_body_t *body)
{
	metrics_add(owner->lend_bytes, net_send(owner, address, body));
	metrics_add(owner->lend_datagrams, 1);
}

void owner_net_witness(owner_t *owner, peer_kind_t kind, const char *address,
		       const peer_witness_t *witness)
{
	peer_body_t body = { .kind = kind };

	body.peer_body_t_u.witness = *witness;
	metrics_add(owner->witness_bytes, net_send(owner, address, &body));
}

void owner_net_forward(owner_t *owner, const owner_member_t *to,
		       const owner_announcement_t *announcement,
		       uint64_t redirect)
{
	const owner_copy_t *copy = &announcement->copy;
	peer_body_t body = { .kind = PEER_ANNOUNCE };
	peer_announce_t *announce = &body.peer_body_t_u.announce;

	announce->service = (char *)copy->service;
	announce->copy = (char *)copy->name;
	announce->zone = (char *)copy->zone;
	announce->address = (char *)copy->address;
	announce->slots = copy->slots;
	announce->connections = copy->connections;
	announce->state = copy->state;
	announce->sequence = announcement->sequence;
	announce->owner = (char *)announcement->owner;
	announce->epoch = announcement->epoch;
	announce->redirect = redirect;
	net_send_lease(owner, to->peer_address, &body);
}

static void net_send_release(owner_t *owner, peer_kind_t kind,
			     const char *address, const owner_copy_t *copy,
			     uint64_t epoch, unsigned outstanding,
			     bool forgotten)
{
	peer_body_t body = { .kind = kind };
	peer_release_t *release = &body.peer_body_t_u.release;

	release->service = (char *)copy->service;
	release->copy = (char *)copy->name;
	release->epoch = epoch;
	release->outstanding = outstanding;
	release->state_lost = forgotten;
	net_send_lease(owner, address, &body);
}

void owner_net_release(owner_t *owner, const owner_record_t *record)
{
	const owner_member_t *former =
		owner_table_peer(owner, record->lease.former.name);

	if (former)
		net_send_release(owner, PEER_RELEASE, former->peer_address,
				 &record->copy,
				 owner_lease_claim_epoch(&record->lease), 0,
				 false);
}

void owner_net_load(owner_t *owner, const owner_service_t *svc,
		    const owner_sibling_t *to, unsigned waiting)
{
	peer_body_t body = { .kind = PEER_LOAD };
	peer_load_t *load = &body.peer_body_t_u.load;

	load->service = (char *)svc->name;
	load->waiting = waiting;
	load->copies = svc->copies;
	load->slots = svc->slots;
	load->reply_requested = !to->reported_at;
	net_send_lend(owner, to->member.peer_address, &body);
}

void owner_net_offer(owner_t *owner, const owner_service_t *svc,
		     const owner_sibling_t *to, unsigned credits)
{
	peer_body_t body = { .kind = PEER_OFFER };

	body.peer_body_t_u.offer.service = (char *)svc->name;
	body.peer_body_t_u.offer.credits = credits;
	metrics_add(owner->credits_offered, credits);
	net_send_lend(owner, to->member.peer_address, &body);
}

static void net_send_slots(owner_t *owner, peer_kind_t kind,
			   const char *address, const owner_service_t *svc)
{
	peer_body_t body = { .kind = kind };

	body.peer_body_t_u.slots.service = (char *)svc->name;
	body.peer_body_t_u.slots.slots = svc->slots;
	net_send_lease(owner, address, &body);
}

void owner_net_query_slots(owner_t *owner, const owner_service_t *svc,
			   const owner_sibling_t *to)
{
	net_send_slots(owner, PEER_SLOTS_REQUEST, to->member.peer_address, svc);
}

static void net_copy_string(char *out, size_t size, const char *text)
{
	size_t length = strnlen(text, size - 1);

	memcpy(out, text, length);
	out[length] = '\0';
}

/* Processes an announcement that another entry received and forwarded, because
   it redirected the copy to this entry. */
static void net_on_announce(owner_t *owner, const peer_announce_t *received,
			    usec_t now)
{
	owner_announcement_t announcement = { 0 };
	owner_copy_t *copy = &announcement.copy;
	const owner_record_t *record;

	if (!hl_name_valid(received->service) ||
	    !hl_name_valid(received->copy) ||
	    received->state > OWNER_COPY_DRAINING)
		return;
	net_copy_string(copy->service, HL_NAME_MAX, received->service);
	net_copy_string(copy->name, HL_NAME_MAX, received->copy);
	net_copy_string(copy->zone, HL_NAME_MAX, received->zone);
	net_copy_string(copy->address, HL_ADDRESS_MAX, received->address);
	copy->slots = received->slots;
	copy->connections = received->connections;
	copy->state = (owner_copy_state_t)received->state;
	announcement.sequence = received->sequence;
	net_copy_string(announcement.owner, HL_NAME_MAX, received->owner);
	announcement.epoch = received->epoch;
	record = owner_table_record(owner, copy->service, copy->name);
	if (record && announcement.sequence <= record->lease.sequence)
		return;
	owner_announce_on_forward(owner, &announcement, received->redirect,
				  now);
}

static unsigned net_outstanding(owner_t *owner, const owner_record_t *record,
				usec_t now)
{
	const owner_callbacks_t *callbacks = &owner->options.callbacks;
	unsigned count = owner_lease_former_outstanding(&record->lease,
							owner->options.lease,
							now);

	if (callbacks->outstanding)
		count += callbacks->outstanding(callbacks->context,
						record->copy.service,
						record->copy.name);
	return count;
}

/* Whether this process has run for less than a lease duration. An earlier
   process of this entry may have claimed the copy while a former owner could
   still send calls. */
static bool net_recently_started(const owner_t *owner, usec_t now)
{
	const owner_options_t *options = &owner->options;

	return options->boot && now < options->started + options->lease;
}

static void net_on_release(owner_t *owner, const owner_member_t *from,
			   const peer_release_t *received, usec_t now)
{
	owner_record_t *record = owner_table_record(owner, received->service,
						    received->copy);
	owner_copy_t copy = { 0 };

	if (!record) {
		net_copy_string(copy.service, HL_NAME_MAX, received->service);
		net_copy_string(copy.name, HL_NAME_MAX, received->copy);
		net_send_release(owner, PEER_RELEASED, from->peer_address,
				 &copy, received->epoch, 0,
				 net_recently_started(owner, now));
		return;
	}
	if (!owner_lease_release(&record->lease, received->epoch))
		return;
	owner_table_report_limit(owner, record, now);
	if (!owner_lease_former_fenced(&record->lease, now))
		return;
	net_send_release(owner, PEER_RELEASED, from->peer_address,
			 &record->copy, received->epoch,
			 net_outstanding(owner, record, now), false);
}

/* Whether the term that the copy echoes was opened by the former owner itself.
   If so, no earlier owner can send: an owner puts its own term in a response
   only once its own former owner is fenced. */
static bool net_former_had_own_term(const owner_lease_t *lease,
				    const char *name)
{
	witness_term_t term;

	return !witness_term_parse(lease->former.witness, &term) &&
	       !strcmp(term.owner, name);
}

static void net_on_released(owner_t *owner, const owner_member_t *from,
			    const peer_release_t *received, usec_t now)
{
	owner_record_t *record = owner_table_record(owner, received->service,
						    received->copy);

	if (!record || (received->state_lost &&
			!net_former_had_own_term(&record->lease, from->name)))
		return;
	if (owner_lease_on_released(&record->lease, from->name, received->epoch,
				    received->outstanding, now))
		owner_table_report_limit(owner, record, now);
}

static void net_on_slots(owner_t *owner, const peer_message_t *message,
			 const owner_member_t *from, usec_t now)
{
	const peer_slots_t *received = &message->body.peer_body_t_u.slots;
	owner_service_t *svc = owner_table_service(owner, received->service);
	owner_sibling_t *sibling;

	if (!svc)
		return;
	if (message->body.kind == PEER_SLOTS_REQUEST) {
		owner_table_count(owner, svc);
		net_send_slots(owner, PEER_SLOTS, from->peer_address, svc);
		return;
	}
	sibling = owner_table_sibling(svc, from->name);
	if (!sibling)
		return;
	owner_lookup_on_slots(svc, sibling, received->slots, now);
}

static void net_on_lend(owner_t *owner, const peer_body_t *body,
			const owner_member_t *from, usec_t now)
{
	const char *name = body->kind == PEER_LOAD ?
				   body->peer_body_t_u.load.service :
				   body->peer_body_t_u.offer.service;
	owner_service_t *svc = owner_table_service(owner, name);
	owner_sibling_t *sibling = svc ? owner_table_sibling(svc, from->name) :
					 NULL;

	if (!sibling)
		return;
	if (body->kind == PEER_LOAD)
		owner_lend_on_load(owner, svc, sibling,
				   &body->peer_body_t_u.load, now);
	else
		owner_lend_on_offer(owner, svc, sibling,
				    body->peer_body_t_u.offer.credits);
}

static void net_dispatch(owner_t *owner, const peer_message_t *message,
			 const owner_member_t *from, usec_t now)
{
	const peer_body_t *body = &message->body;

	switch (body->kind) {
	case PEER_ANNOUNCE:
		net_on_announce(owner, &body->peer_body_t_u.announce, now);
		break;
	case PEER_RELEASE:
		net_on_release(owner, from, &body->peer_body_t_u.release, now);
		break;
	case PEER_RELEASED:
		net_on_released(owner, from, &body->peer_body_t_u.release, now);
		break;
	case PEER_SLOTS_REQUEST:
	case PEER_SLOTS:
		net_on_slots(owner, message, from, now);
		break;
	case PEER_LOAD:
	case PEER_OFFER:
		net_on_lend(owner, body, from, now);
		break;
	case PEER_RENEW:
	case PEER_RENEWED:
	case PEER_END:
	case PEER_ENDED:
		owner_witness_receive(owner, body->kind, from,
				      &body->peer_body_t_u.witness, now);
		break;
	default:
		break;
	}
}

void owner_net_receive(owner_t *owner, const peer_message_t *message,
		       usec_t now)
{
	const owner_member_t *from;
	owner_member_t sender;

	pthread_mutex_lock(&owner->lock);
	from = owner_table_peer(owner, message->from);
	if (from) {
		sender = *from;
		net_dispatch(owner, message, &sender, now);
	}
	pthread_mutex_unlock(&owner->lock);
}

static void net_handler(void *context, const peer_message_t *message,
			usec_t now)
{
	owner_net_receive(context, message, now);
}

void owner_net_register(owner_t *owner)
{
	peer_kind_t kind;

	if (!owner->options.member)
		return;
	for (kind = PEER_ANNOUNCE; kind <= PEER_ENDED; kind++)
		member_set_handler(owner->options.member, kind, net_handler,
				   owner);
}
