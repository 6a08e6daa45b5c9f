#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "member-swim.h"

/* Sequence number of a PING that requests to join; no probe has it. */
#define SWIM_SEQUENCE_JOIN 0

static void swim_send(member_swim_t *swim, const char *address,
		      const peer_body_t *body, const member_node_t *first)
{
	peer_member_t gossip[PEER_GOSSIP_MAX];
	peer_message_t message = { 0 };

	message.group = swim->options.group;
	message.from = swim->self->info.entry.name;
	message.incarnation = swim->self->incarnation;
	if (swim->options.revision)
		message.revision = swim->options.revision(
			swim->options.context);
	message.body = *body;
	message.gossip.gossip_val = gossip;
	if (body->kind != PEER_SYNC)
		message.gossip.gossip_len = member_table_gossip(swim, first,
								gossip);
	swim->options.send(swim->options.context, address, &message);
}

/* Sends a PING, ACK or PING_REQUEST. */
static void swim_send_probe(member_swim_t *swim, peer_kind_t kind,
			    const char *address, uint32_t sequence,
			    const member_node_t *target,
			    const member_node_t *first)
{
	peer_body_t body = { .kind = kind };
	peer_probe_t *probe = &body.peer_body_t_u.probe;

	probe->sequence = sequence;
	probe->target = "";
	probe->target_address = "";
	if (target)
		probe->target = (char *)target->info.entry.name;
	if (target && kind == PEER_PING_REQUEST)
		probe->target_address = (char *)target->info.entry.peer_address;
	swim_send(swim, address, &body, first);
}

static void swim_send_sync_request(member_swim_t *swim, const char *address,
				   const char *after)
{
	peer_body_t body = { .kind = PEER_SYNC_REQUEST };

	body.peer_body_t_u.sync_request.digest = member_table_digest(swim);
	body.peer_body_t_u.sync_request.after = (char *)after;
	swim_send(swim, address, &body, NULL);
}

/* Requests the page of a member's table that begins after the name @after. */
static void swim_pull(member_swim_t *swim, const char *address,
		      const char *after, usec_t now)
{
	member_pull_t *pull = &swim->pull;

	snprintf(pull->address, sizeof(pull->address), "%s", address);
	snprintf(pull->after, sizeof(pull->after), "%s", after);
	pull->tries_left = MEMBER_SWIM_PULL_ATTEMPTS;
	pull->requested_at = now;
	swim_send_sync_request(swim, pull->address, pull->after);
}

/* Repeats the request for a page that has not arrived. */
static void swim_tick_pull(member_swim_t *swim, usec_t now)
{
	member_pull_t *pull = &swim->pull;

	if (!pull->tries_left ||
	    now < pull->requested_at + swim->options.probe_timeout)
		return;
	pull->requested_at = now;
	if (--pull->tries_left)
		swim_send_sync_request(swim, pull->address, pull->after);
}

/*
 * Returns a random member that is live, or dead if @live is false, and is
 * neither this entry nor @except; NULL if there is none.
 */
static member_node_t *swim_random_member(member_swim_t *swim, bool live,
					 const member_node_t *except)
{
	unsigned start;
	unsigned i;

	if (!swim->count)
		return NULL;
	start = member_table_random(swim) % swim->count;

	for (i = 0; i < swim->count; i++) {
		member_node_t *node = swim->nodes[(start + i) % swim->count];

		if (node == swim->self || node == except)
			continue;
		if (live ? member_swim_live(node) : node->state == PEER_DEAD)
			return node;
	}
	return NULL;
}

static uint32_t swim_sequence(member_swim_t *swim)
{
	if (++swim->sequence == SWIM_SEQUENCE_JOIN)
		swim->sequence++;
	return swim->sequence;
}

/* Shuffles the order in which the members are probed; called once per round. */
static void swim_shuffle(member_swim_t *swim)
{
	unsigned i;

	for (i = swim->count; i > 1; i--) {
		unsigned j = member_table_random(swim) % i;
		member_node_t *node = swim->nodes[i - 1];

		swim->nodes[i - 1] = swim->nodes[j];
		swim->nodes[j] = node;
	}
}

/* Returns the next live member in the round of probes, or NULL. */
static member_node_t *swim_next_target(member_swim_t *swim)
{
	unsigned tries;

	for (tries = 0; tries <= swim->count; tries++) {
		member_node_t *node;

		if (swim->next_index >= swim->count) {
			swim->next_index = 0;
			swim_shuffle(swim);
		}
		node = swim->nodes[swim->next_index++];
		if (node != swim->self && member_swim_live(node))
			return node;
	}
	return NULL;
}

static void swim_suspect(member_swim_t *swim, member_node_t *node, usec_t now)
{
	if (node->state != PEER_ALIVE)
		return;
	swim->counts.suspected++;
	log_event(LOG_LEVEL_INFO, "member-suspect", "member=%s",
		  node->info.entry.name);
	member_table_set(swim, node, PEER_SUSPECT, node->incarnation, now);
	node->suspected_locally = true;
}

/* Suspects the member that has not acknowledged its probe; probes the next. */
static void swim_probe_next(member_swim_t *swim, usec_t now)
{
	member_probe_t *probe = &swim->probe;
	member_node_t *node;

	if (probe->node)
		swim_suspect(swim, probe->node, now);
	node = swim_next_target(swim);
	probe->node = node;
	if (!node)
		return;
	probe->sequence = swim_sequence(swim);
	probe->started = now;
	probe->indirect = false;
	swim_send_probe(swim, PEER_PING, node->info.entry.peer_address,
			probe->sequence, node,
			node->state == PEER_SUSPECT ? node : NULL);
}

/* Requests other members to probe the member that has not responded. */
static void swim_probe_indirect(member_swim_t *swim)
{
	member_probe_t *probe = &swim->probe;
	member_node_t *last = probe->node;
	unsigned i;

	probe->indirect = true;
	for (i = 0; i < MEMBER_SWIM_INDIRECT_PROBES; i++) {
		member_node_t *relay = swim_random_member(swim, true,
							  probe->node);

		if (!relay || relay == last)
			continue;
		last = relay;
		swim_send_probe(swim, PEER_PING_REQUEST,
				relay->info.entry.peer_address, probe->sequence,
				probe->node, NULL);
	}
}

/*
 * Sends a PING to each member that is suspected because a probe by this entry
 * failed. The PING carries the suspicion as gossip, so that a member that was
 * frozen for a short time refutes the suspicion before it times out.
 */
static void swim_notify_suspects(member_swim_t *swim)
{
	unsigned i;

	for (i = 0; i < swim->count; i++) {
		member_node_t *node = swim->nodes[i];

		if (node->state == PEER_SUSPECT && node->suspected_locally)
			swim_send_probe(swim, PEER_PING,
					node->info.entry.peer_address,
					swim_sequence(swim), node, node);
	}
}

static void swim_tick_probe(member_swim_t *swim, usec_t now)
{
	member_probe_t *probe = &swim->probe;

	if (probe->node && !probe->indirect &&
	    now >= probe->started + swim->options.probe_timeout)
		swim_probe_indirect(swim);
	if (now < swim->next_probe)
		return;
	swim->next_probe = now + swim->options.probe_period;
	swim_probe_next(swim, now);
	swim_notify_suspects(swim);
}

/* Declares each member dead whose suspicion has timed out. */
static void swim_tick_suspects(member_swim_t *swim, usec_t now)
{
	unsigned i;

	for (i = 0; i < swim->count; i++) {
		member_node_t *node = swim->nodes[i];

		if (node->state != PEER_SUSPECT || now < node->suspect_until)
			continue;
		swim->counts.declared_dead++;
		member_table_set(swim, node, PEER_DEAD, node->incarnation, now);
		log_event(LOG_LEVEL_NOTICE, "member-dead", "member=%s",
			  node->info.entry.name);
	}
}

/*
 * Sends a PING to a random dead member. The PING carries the state "dead" of
 * that member, which the member refutes if it is alive.
 */
static void swim_tick_dead_probe(member_swim_t *swim, usec_t now)
{
	member_node_t *node;

	if (now < swim->next_dead_probe)
		return;
	swim->next_dead_probe = now + MEMBER_SWIM_DEAD_PROBE_PERIOD;
	node = swim_random_member(swim, false, NULL);
	if (!node)
		return;
	if (now - node->changed_at < MEMBER_SWIM_DEAD_PROBE_AGE ||
	    member_table_random(swim) % MEMBER_SWIM_DEAD_PROBE_DIVISOR == 0)
		swim_send_probe(swim, PEER_PING, node->info.entry.peer_address,
				swim_sequence(swim), node, node);
}

/* Anti-entropy: requests the table of a random live member if it differs. */
static void swim_tick_sync(member_swim_t *swim, usec_t now)
{
	member_node_t *node;

	if (now < swim->next_sync)
		return;
	swim->next_sync = now + swim->options.sync_period;
	node = swim_random_member(swim, true, NULL);
	if (node)
		swim_pull(swim, node->info.entry.peer_address, "", now);
}

static bool swim_has_live_address(member_swim_t *swim, const char *address)
{
	unsigned i;

	for (i = 0; i < swim->count; i++)
		if (member_swim_live(swim->nodes[i]) &&
		    !strcmp(swim->nodes[i]->info.entry.peer_address, address))
			return true;
	return false;
}

/*
 * Sends a join request to each seed that is not a live member: every probe
 * period while this entry is alone, else every sync period.
 */
static void swim_tick_join(member_swim_t *swim, usec_t now)
{
	bool alone = !swim_random_member(swim, true, NULL);
	unsigned i;

	if (now < swim->next_join)
		return;
	swim->next_join = now + (alone ? swim->options.probe_period :
					 swim->options.sync_period);
	for (i = 0; i < swim->options.seeds.count; i++) {
		const char *seed = swim->options.seeds.items[i];

		if (!swim_has_live_address(swim, seed))
			swim_send_probe(swim, PEER_PING, seed,
					SWIM_SEQUENCE_JOIN, NULL, swim->self);
	}
}

/*
 * Cancels the probe in flight and extends all suspicions by the time since the
 * last tick, if that is a probe period or more: this entry was frozen.
 */
static void swim_extend_after_gap(member_swim_t *swim, usec_t now)
{
	usec_t gap = now - swim->last_tick;
	unsigned i;

	if (gap < swim->options.probe_period)
		return;
	swim->probe.node = NULL;
	for (i = 0; i < swim->count; i++)
		swim->nodes[i]->suspect_until += gap;
}

void member_swim_tick(member_swim_t *swim, usec_t now)
{
	swim_extend_after_gap(swim, now);
	swim->last_tick = now;
	if (swim->self->state == PEER_LEFT)
		return;
	swim_tick_suspects(swim, now);
	swim_tick_probe(swim, now);
	swim_tick_dead_probe(swim, now);
	swim_tick_sync(swim, now);
	swim_tick_pull(swim, now);
	swim_tick_join(swim, now);
}

/*
 * Acknowledges a PING. If the table has the sender as suspect, dead or left,
 * the ACK carries that state as gossip, so that the sender refutes it.
 */
static void swim_on_ping(member_swim_t *swim, const peer_message_t *message,
			 member_node_t *from, const char *address)
{
	const peer_probe_t *probe = &message->body.peer_body_t_u.probe;
	const member_node_t *first = NULL;

	if (probe->target[0] &&
	    strcmp(probe->target, swim->self->info.entry.name) != 0)
		return;
	if (from && from->state != PEER_ALIVE)
		first = from;
	else if (probe->sequence == SWIM_SEQUENCE_JOIN)
		first = swim->self;
	swim_send_probe(swim, PEER_ACK, address, probe->sequence, swim->self,
			first);
}

/* Handles a PING_REQUEST: probes the target on behalf of the requester. */
static void swim_on_ping_request(member_swim_t *swim,
				 const peer_probe_t *request,
				 const char *address, usec_t now)
{
	member_node_t *target = member_swim_find(swim, request->target);
	unsigned i;

	if (!target)
		return;
	for (i = 0; i < MEMBER_SWIM_RELAYS_MAX; i++) {
		member_relay_t *relay = &swim->relays[i];

		if (relay->sequence && now < relay->expires)
			continue;
		relay->sequence = swim_sequence(swim);
		relay->requester_sequence = request->sequence;
		snprintf(relay->requester, HL_ADDRESS_MAX, "%s", address);
		relay->expires = now + swim->options.probe_period;
		swim_send_probe(swim, PEER_PING,
				target->info.entry.peer_address,
				relay->sequence, target, NULL);
		return;
	}
}

/*
 * Handles an ACK by its sequence number. The ACK of a join request starts a
 * sync with the seed that sent it, the ACK of the probe in flight ends that
 * probe, and the ACK of an indirect probe is forwarded to the requester.
 */
static void swim_on_ack(member_swim_t *swim, const peer_probe_t *probe,
			member_node_t *from, const char *address, usec_t now)
{
	unsigned i;

	if (probe->sequence == SWIM_SEQUENCE_JOIN) {
		swim_pull(swim, address, "", now);
		return;
	}
	if (swim->probe.node && swim->probe.sequence == probe->sequence) {
		swim->probe.node = NULL;
		return;
	}
	for (i = 0; i < MEMBER_SWIM_RELAYS_MAX; i++) {
		member_relay_t *relay = &swim->relays[i];

		if (relay->sequence != probe->sequence)
			continue;
		relay->sequence = 0;
		swim_send_probe(swim, PEER_ACK, relay->requester,
				relay->requester_sequence, from, NULL);
		return;
	}
}

static void swim_on_sync_request(member_swim_t *swim,
				 const peer_sync_request_t *request,
				 const char *address)
{
	peer_member_t page[PEER_SYNC_MAX];
	peer_body_t body = { .kind = PEER_SYNC };
	peer_sync_t *sync = &body.peer_body_t_u.sync;
	const char *next;

	sync->members.members_val = page;
	sync->next = "";
	/* The page stays empty if the requester has the same live members. */
	if (request->after[0] || request->digest != member_table_digest(swim)) {
		sync->members.members_len = member_table_page(
			swim, request->after, page, PEER_SYNC_MAX, &next);
		sync->next = (char *)next;
	}
	swim_send(swim, address, &body, NULL);
}

/*
 * Schedules another sync after a sync found a difference. The delay is
 * proportional to the number of members, to limit the traffic in large groups.
 */
static void swim_schedule_resync(member_swim_t *swim, usec_t now)
{
	usec_t resync_at = now + swim->options.probe_period +
			   swim->count * MEMBER_SWIM_RESYNC_DELAY_PER_MEMBER;

	if (resync_at < swim->next_sync)
		swim->next_sync = resync_at;
}

/* Merges a page of a member's table and requests the next page. */
static void swim_on_sync(member_swim_t *swim, const peer_sync_t *sync,
			 const char *address, usec_t now)
{
	u_int i;

	for (i = 0; i < sync->members.members_len; i++)
		member_table_apply(swim, &sync->members.members_val[i], true,
				   now);
	swim->pull.tries_left = 0;
	if (sync->next[0])
		swim_pull(swim, address, sync->next, now);
	else if (sync->members.members_len)
		swim_schedule_resync(swim, now);
}

static void swim_dispatch(member_swim_t *swim, const peer_message_t *message,
			  member_node_t *from, const char *address, usec_t now)
{
	const peer_body_t *body = &message->body;

	switch (body->kind) {
	case PEER_PING:
		swim_on_ping(swim, message, from, address);
		break;
	case PEER_ACK:
		swim_on_ack(swim, &body->peer_body_t_u.probe, from, address,
			    now);
		break;
	case PEER_PING_REQUEST:
		swim_on_ping_request(swim, &body->peer_body_t_u.probe, address,
				     now);
		break;
	case PEER_SYNC_REQUEST:
		swim_on_sync_request(swim, &body->peer_body_t_u.sync_request,
				     address);
		break;
	case PEER_SYNC:
		swim_on_sync(swim, &body->peer_body_t_u.sync, address, now);
		break;
	default:
		break;
	}
}

/* Sends the state of this entry to a few random live members immediately. */
static void swim_push_self(member_swim_t *swim)
{
	peer_body_t body = { .kind = PEER_GOSSIP };
	member_node_t *last = NULL;
	unsigned i;

	for (i = 0; i < MEMBER_SWIM_PUSH_FANOUT; i++) {
		member_node_t *node = swim_random_member(swim, true, last);

		if (!node)
			break;
		last = node;
		swim_send(swim, node->info.entry.peer_address, &body,
			  swim->self);
	}
}

int member_swim_receive(member_swim_t *swim, const peer_message_t *message,
			const char *source, usec_t now)
{
	member_node_t *from;
	u_int i;

	if (strcmp(message->group, swim->options.group) != 0 ||
	    !strcmp(message->from, swim->self->info.entry.name))
		return -1;
	for (i = 0; i < message->gossip.gossip_len; i++)
		member_table_apply(swim, &message->gossip.gossip_val[i], false,
				   now);
	from = member_swim_find(swim, message->from);
	if (from) {
		if (message->revision > from->info.revision)
			from->info.revision = message->revision;
		source = from->info.entry.peer_address;
	}
	if (swim->self->state != PEER_LEFT)
		swim_dispatch(swim, message, from, source, now);
	if (swim->push_pending)
		swim_push_self(swim);
	swim->push_pending = false;
	return 0;
}

void member_swim_leave(member_swim_t *swim, usec_t now)
{
	member_table_set(swim, swim->self, PEER_LEFT, swim->self->incarnation,
			 now);
	swim_push_self(swim);
}

int member_swim_init(member_swim_t *swim, const member_swim_options_t *options,
		     const owner_member_t *self, uint64_t incarnation,
		     uint64_t seed, usec_t now)
{
	memset(swim, 0, sizeof(*swim));
	swim->options = *options;
	swim->rng_state = hl_hash(self->name, strlen(self->name), seed) | 1;
	swim->self = member_table_add(swim, self->name, now);
	if (!swim->self)
		return -1;
	swim->self->info.entry = *self;
	member_table_set(swim, swim->self, PEER_ALIVE, incarnation, now);
	swim->last_tick = now;
	swim->next_probe = now;
	swim->next_sync = now + options->probe_period;
	return 0;
}

void member_swim_fini(member_swim_t *swim)
{
	unsigned i;

	for (i = 0; i < swim->count; i++)
		free(swim->nodes[i]);
	swim->count = 0;
}
