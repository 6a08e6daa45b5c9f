#include <glib.h>
#include <string.h>
#include "owner-table.h"

/* How soon the look-ups of an entry that owns nothing follow the owners, and
   what asking them costs. */

#define OWNERS 3
/* Look-ups come this often, and each question is answered before the next. */
#define LOOKUP_PERIOD (200 * USEC_PER_MS)
/* Weights follow a change by then. */
#define FOLLOW (1500 * USEC_PER_MS)
/* In a minute without a change; a question each second would be 180. */
#define QUIET (60 * USEC_PER_SEC)
#define QUIET_ASKED 36

typedef struct {
	owner_t *owner;
	owner_member_t members[OWNERS];
	unsigned slots[OWNERS]; /* that each owner has */
	bool asked[OWNERS];
	unsigned count; /* of questions */
	usec_t now;
} lookup_t;

/* Only questions for slots are expected of the entry. */
static unsigned on_send(void *context, const char *address,
			const peer_body_t *body)
{
	lookup_t *look = context;
	unsigned i;

	g_assert_cmpint(body->kind, ==, PEER_SLOTS_REQUEST);
	for (i = 0; i < OWNERS; i++)
		if (!strcmp(address, look->members[i].peer_address))
			look->asked[i] = true;
	look->count++;
	return 1;
}

static void look_start(lookup_t *look)
{
	owner_options_t options = { .self = { .name = "self", .zone = "z0" } };
	unsigned i;

	memset(look, 0, sizeof(*look));
	for (i = 0; i < OWNERS; i++) {
		owner_member_t *member = &look->members[i];

		g_snprintf(member->name, HL_NAME_MAX, "n%u", i);
		g_snprintf(member->zone, HL_NAME_MAX, "z%u", i);
		g_snprintf(member->call_address, HL_ADDRESS_MAX, "10.0.0.%u:1",
			   i);
		g_snprintf(member->peer_address, HL_ADDRESS_MAX, "10.0.0.%u:2",
			   i);
	}
	look->owner = owner_new(&options, NULL);
	look->owner->send = on_send;
	look->owner->send_context = look;
	owner_set_members(look->owner, look->members, OWNERS);
}

/* The owners answer what they were asked. */
static void look_answer(lookup_t *look)
{
	peer_message_t message = { .body.kind = PEER_SLOTS };
	peer_slots_t *slots = &message.body.peer_body_t_u.slots;
	unsigned i;

	slots->service = (char *)"s";
	for (i = 0; i < OWNERS; i++) {
		if (!look->asked[i])
			continue;
		look->asked[i] = false;
		message.from = look->members[i].name;
		slots->slots = look->slots[i];
		owner_net_receive(look->owner, &message, look->now);
	}
}

/* Whether a look-up gives each owner the weight of its slots. */
static bool look_right(lookup_t *look)
{
	owner_place_t places[OWNER_MAX];
	unsigned count = owner_lookup(look->owner, "s", "", places, OWNER_MAX);
	unsigned right = 0;
	unsigned i;
	unsigned j;

	for (i = 0; i < count; i++)
		for (j = 0; j < OWNERS; j++)
			right += !strcmp(places[i].address,
					 look->members[j].call_address) &&
				 places[i].weight == look->slots[j];
	return right == OWNERS;
}

/* Look up for a span; when the weights were last wrong, 0 for never. */
static usec_t look_run(lookup_t *look, usec_t span)
{
	usec_t end = look->now + span;
	usec_t wrong = 0;

	for (; look->now < end; look->now += LOOKUP_PERIOD) {
		owner_tick(look->owner, look->now);
		if (!look_right(look))
			wrong = look->now;
		look_answer(look);
	}
	return wrong;
}

static void look_set(lookup_t *look, unsigned a, unsigned b, unsigned c)
{
	look->slots[0] = a;
	look->slots[1] = b;
	look->slots[2] = c;
}

/* Copies announce themselves and move between owners for some seconds. */
static void test_start(void)
{
	lookup_t look;
	usec_t wrong;

	look_start(&look);
	look.now = USEC_PER_SEC;
	look_set(&look, 18, 18, 3);
	look_run(&look, USEC_PER_SEC);
	look_set(&look, 18, 18, 12);
	look_run(&look, USEC_PER_SEC);
	look_set(&look, 18, 15, 15);
	wrong = look_run(&look, 4 * USEC_PER_SEC);
	g_assert_cmpint(wrong, <, 3 * USEC_PER_SEC + FOLLOW);
	look_set(&look, 15, 18, 15);
	wrong = look_run(&look, 5 * USEC_PER_SEC);
	g_assert_cmpint(wrong, <, 7 * USEC_PER_SEC + FOLLOW);
	owner_free(look.owner);
}

static void test_quiet(void)
{
	lookup_t look;

	look_start(&look);
	look.now = USEC_PER_SEC;
	look_set(&look, 18, 15, 15);
	look_run(&look, QUIET);
	g_assert_cmpuint(look.count, <=, QUIET_ASKED);
	owner_free(look.owner);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/owner-lookup/start", test_start);
	g_test_add_func("/owner-lookup/quiet", test_quiet);
	return g_test_run();
}
