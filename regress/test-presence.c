#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "headers.h"
#include "keeper-registry.h"
#include "metrics.h"
#include "presence.h"

/*
 * Tests of presence: which entries callers get, datagrams that are cut off or
 * of another cluster, and when silent copies are removed. A failure here sends
 * callers to dead entries or removes live copies. The Server-Load header and a
 * log that is not read are tested here, too.
 */

#define SECOND USEC_PER_SEC

static void send_revision(presence_table_t *table, uint64_t id,
			  const char *zone, bool ready, uint64_t revision,
			  bool with_identity, usec_t now, bool accepted)
{
	char name[32], calls[32];
	presence_identity_t identity = { name, (char *)zone, calls };
	presence_entry_t heartbeat = { .id = id,
				       .ready = ready,
				       .revision = revision };
	struct sockaddr_storage from = { 0 };

	g_snprintf(name, sizeof(name), "e%u", (unsigned)id);
	/* Ids that differ by a multiple of 100 are processes of one entry. */
	g_snprintf(calls, sizeof(calls), "10.0.0.%u:80", (unsigned)id % 100);
	if (with_identity) {
		heartbeat.identity.identity_len = 1;
		heartbeat.identity.identity_val = &identity;
	}
	g_assert_cmpint(presence_table_update(table, &heartbeat, &from,
					      sizeof(from), now),
			==, accepted);
}

/* A heartbeat of an entry that has a configuration. */
static void send_heartbeat(presence_table_t *table, uint64_t id,
			   const char *zone, bool ready, bool with_identity,
			   usec_t now, bool accepted)
{
	send_revision(table, id, zone, ready, 7, with_identity, now, accepted);
}

static char *choose(presence_table_t *table, const char *zone, usec_t now)
{
	const presence_member_t *members[16];
	unsigned count = presence_table_choose(table, zone, now, members, 16);
	unsigned ids[16], i, j;
	GString *out = g_string_new(NULL);

	for (i = 0; i < count; i++) {
		for (j = i; j > 0 && ids[j - 1] > members[i]->id; j--)
			ids[j] = ids[j - 1];
		ids[j] = (unsigned)members[i]->id;
	}
	for (i = 0; i < count; i++)
		g_string_append_printf(out, "%s%u", i ? " " : "", ids[i]);
	return g_string_free(out, FALSE);
}

#define ASSERT_CHOSEN(zone, now, expected)                \
	do {                                              \
		char *chosen_ = choose(table, zone, now); \
		g_assert_cmpstr(chosen_, ==, expected);   \
		g_free(chosen_);                          \
	} while (0)

/* Callers get the ready entries of their zone, or those of all zones if it has
 * fewer than two. */
static void test_choose(void)
{
	presence_table_t *table = presence_table_new();

	ASSERT_CHOSEN("a", 0, "");
	send_heartbeat(table, 1, "a", true, false, 0, false);
	send_heartbeat(table, 1, "a", true, true, 0, true);
	send_heartbeat(table, 2, "a", true, true, 0, true);
	send_heartbeat(table, 3, "b", true, true, 0, true);
	send_heartbeat(table, 4, "b", true, true, 0, true);
	ASSERT_CHOSEN("a", SECOND, "1 2");
	ASSERT_CHOSEN("", SECOND, "1 2 3 4");
	ASSERT_CHOSEN("nowhere", SECOND, "1 2 3 4");
	/* An entry that is no longer ready is left out at once. */
	send_heartbeat(table, 2, "a", false, false, SECOND, true);
	ASSERT_CHOSEN("a", SECOND, "1 3 4");
	/* An entry without a heartbeat is left out after about 2 s. */
	send_heartbeat(table, 1, "a", true, false, 2 * SECOND, true);
	send_heartbeat(table, 4, "b", true, false, 2 * SECOND, true);
	ASSERT_CHOSEN("b", 3 * SECOND, "1 4");
	g_assert_cmpuint(presence_table_count_live(table, 3 * SECOND), ==, 3);
	/* A new process of an entry replaces the earlier one. */
	send_heartbeat(table, 104, "b", true, true, 3 * SECOND, true);
	ASSERT_CHOSEN("b", 3 * SECOND, "1 104");
	presence_table_free(table);
}

/*
 * After a loss of power all callers come back at once. They must not all be sent to
 * the first entries that are ready, whose links would be full for seconds, but also
 * to those that start; to these only while they are many, and to none that stops.
 */
static void test_starting(void)
{
	presence_table_t *table = presence_table_new();
	unsigned id;

	for (id = 1; id <= 5; id++)
		send_revision(table, id, "a", false, 0, true, 0, true);
	send_revision(table, 6, "b", false, 0, true, 0, true);
	ASSERT_CHOSEN("a", SECOND, "");
	send_heartbeat(table, 1, "a", true, false, SECOND, true);
	send_heartbeat(table, 2, "a", true, false, SECOND, true);
	ASSERT_CHOSEN("a", SECOND, "1 2 3 4 5");
	ASSERT_CHOSEN("b", SECOND, "1 2 3 4 5 6");
	send_heartbeat(table, 3, "a", true, false, SECOND, true);
	ASSERT_CHOSEN("a", SECOND, "1 2 3");
	/* An entry that has been starting for long does not hold calls any more. */
	for (id = 1; id <= 3; id++)
		send_heartbeat(table, id, "a", id == 1, false, 2 * SECOND,
			       true);
	for (id = 4; id <= 6; id++)
		send_revision(table, id, "a", false, 0, false, 2 * SECOND,
			      true);
	ASSERT_CHOSEN("a", 2 * SECOND, "1 4 5");
	ASSERT_CHOSEN("a", 2 * SECOND + 1, "1");
	presence_table_free(table);
}

/* Callers must not be sent to entries that lack paths to copies, unless there are
   no others, and must be sent there again once these paths are back. */
static void test_impaired(void)
{
	presence_table_t *table = presence_table_new();
	const presence_member_t *member;
	unsigned id;

	for (id = 1; id <= 3; id++)
		send_heartbeat(table, id, "a", true, true, 0, true);
	send_heartbeat(table, 4, "b", true, true, 0, true);
	presence_table_set_impaired(table, 1, SECOND);
	presence_table_set_impaired(table, 99, SECOND);
	ASSERT_CHOSEN("a", SECOND, "2 3");
	g_assert_cmpuint(presence_table_count_impaired(table, SECOND), ==, 1);
	g_assert_false(presence_table_is_ready(table, "e1", SECOND));
	g_assert_true(presence_table_is_ready(table, "e2", SECOND));
	presence_table_set_impaired(table, 2, SECOND);
	ASSERT_CHOSEN("a", SECOND, "3 4");
	presence_table_set_impaired(table, 3, SECOND);
	presence_table_set_impaired(table, 4, SECOND);
	ASSERT_CHOSEN("a", SECOND, "1 2 3");
	ASSERT_CHOSEN("b", SECOND, "1 2 3 4");
	member = presence_table_choose_one(table, "a", "task", SECOND);
	g_assert_null(member);
	presence_table_free(table);
}

/* An entry that no longer reports to be impaired gets callers again. */
static void test_impaired_ends(void)
{
	presence_table_t *table = presence_table_new();
	unsigned id;

	for (id = 1; id <= 3; id++)
		send_heartbeat(table, id, "a", true, true, 0, true);
	send_heartbeat(table, 4, "b", true, true, 0, true);
	for (id = 1; id <= 4; id++)
		presence_table_set_impaired(table, id, SECOND);
	for (id = 1; id <= 4; id++)
		send_heartbeat(table, id, "", true, false, 3 * SECOND, true);
	presence_table_set_impaired(table, 4, 3 * SECOND);
	ASSERT_CHOSEN("a", 4 * SECOND, "1 2 3");
	g_assert_cmpuint(presence_table_count_impaired(table, 4 * SECOND), ==,
			 1);
	presence_table_free(table);
}

/* The callers of all entries must not be sent to the few that are not impaired, which
   they would overload, neither within a zone nor over all. */
static void test_most_impaired(void)
{
	presence_table_t *table = presence_table_new();
	unsigned id;

	for (id = 1; id <= 8; id++)
		send_heartbeat(table, id, "a", true, true, 0, true);
	for (id = 9; id <= 12; id++)
		send_heartbeat(table, id, "b", true, true, 0, true);
	for (id = 1; id <= 4; id++)
		presence_table_set_impaired(table, id, SECOND);
	ASSERT_CHOSEN("a", SECOND, "5 6 7 8");
	presence_table_set_impaired(table, 5, SECOND);
	ASSERT_CHOSEN("a", SECOND, "6 7 8 9 10 11 12");
	presence_table_set_impaired(table, 6, SECOND);
	ASSERT_CHOSEN("a", SECOND, "7 8 9 10 11 12");
	presence_table_set_impaired(table, 7, SECOND);
	ASSERT_CHOSEN("a", SECOND, "1 2 3 4 5 6 7 8");
	ASSERT_CHOSEN("b", SECOND, "9 10 11 12");
	presence_table_free(table);
}

/* One ready entry, of the zone if it has one, gets a task; another one gets it
 * once the first takes no calls. */
static void test_choose_one(void)
{
	presence_table_t *table = presence_table_new();
	const presence_member_t *first, *second;

	g_assert_null(presence_table_choose_one(table, "a", "task", 0));
	send_heartbeat(table, 1, "a", true, true, 0, true);
	send_heartbeat(table, 2, "a", true, true, 0, true);
	send_heartbeat(table, 3, "b", true, true, 0, true);
	first = presence_table_choose_one(table, "a", "task", SECOND);
	g_assert_cmpstr(first->zone, ==, "a");
	g_assert_true(presence_table_is_ready(table, first->name, SECOND));
	send_heartbeat(table, first->id, "a", false, false, SECOND, true);
	g_assert_false(presence_table_is_ready(table, first->name, SECOND));
	second = presence_table_choose_one(table, "a", "task", SECOND);
	g_assert_cmpstr(second->zone, ==, "a");
	g_assert_cmpuint(second->id, !=, first->id);
	send_heartbeat(table, 3, "b", true, true, 3 * SECOND, true);
	second = presence_table_choose_one(table, "a", "task", 3 * SECOND);
	g_assert_cmpstr(second->zone, ==, "b");
	g_assert_false(presence_table_is_ready(table, "e9", SECOND));
	presence_table_free(table);
}

/* Number of entries of a zone, more than one list of peers has. */
#define PEERS_ZONE_ENTRIES 90
/* Bounds of the number of lists that name an entry; the mean is that of the
 * addresses in a list. */
#define PEERS_NAMED_MIN (PRESENCE_PEERS_MAX / 3)
#define PEERS_NAMED_MAX (2 * PRESENCE_PEERS_MAX)
/* Number of entries that ten lists name at least. */
#define PEERS_LEARNED_MIN (PEERS_ZONE_ENTRIES * 9 / 10)

/* In a large zone each entry gets a part of its peers, the same one each time,
 * and all entries are named about equally often. */
static void test_peers_of_large_zone(void)
{
	presence_table_t *table = presence_table_new();
	unsigned named[PEERS_ZONE_ENTRIES + 1] = { 0 };
	presence_peers_list_t list, again;
	unsigned id, i;

	for (id = 1; id <= PEERS_ZONE_ENTRIES; id++)
		send_heartbeat(table, id, "a", true, true, 0, true);
	for (id = 1; id <= PEERS_ZONE_ENTRIES; id++) {
		presence_table_peers(table, id, "a", SECOND, &list);
		presence_table_peers(table, id, "a", SECOND, &again);
		g_assert_cmpuint(list.count, ==, PRESENCE_PEERS_MAX);
		g_assert_cmpuint(presence_peers_hash(&list), ==,
				 presence_peers_hash(&again));
		for (i = 0; i < list.count; i++)
			named[atoi(list.addresses[i] + strlen("10.0.0."))]++;
	}
	for (id = 1; id <= PEERS_ZONE_ENTRIES; id++) {
		g_assert_cmpuint(named[id], >=, PEERS_NAMED_MIN);
		g_assert_cmpuint(named[id], <=, PEERS_NAMED_MAX);
	}
	presence_table_free(table);
}

/* An entry that asks for peers of all zones must learn of all entries in time, as just
 * a few of them may reach the copies that it lacks. */
static void test_peers_change(void)
{
	presence_table_t *table = presence_table_new();
	bool named[PEERS_ZONE_ENTRIES + 1] = { false };
	presence_peers_list_t list;
	unsigned count = 0;
	unsigned id, i;
	usec_t now;

	for (id = 1; id <= PEERS_ZONE_ENTRIES; id++)
		send_heartbeat(table, id, "a", true, true, 10 * SECOND, true);
	for (now = SECOND; now <= 10 * SECOND; now += SECOND) {
		presence_table_peers(table, 1, "", now, &list);
		g_assert_cmpuint(list.count, ==, PRESENCE_PEERS_MAX);
		for (i = 0; i < list.count; i++)
			named[atoi(list.addresses[i] + strlen("10.0.0."))] =
				true;
	}
	for (id = 1; id <= PEERS_ZONE_ENTRIES; id++)
		count += named[id];
	g_assert_cmpuint(count, >=, PEERS_LEARNED_MIN);
	presence_table_free(table);
}

/* A datagram with a full list of peers is within the limit of its size. */
static void test_peers_codec(void)
{
	char address[] = "255.255.255.255:65535";
	char *addresses[PRESENCE_PEERS_MAX];
	presence_t message = { .cluster = 7 };
	presence_peers_t *peers = &message.body.presence_body_t_u.peers;
	char bytes[PRESENCE_BYTES_MAX];
	unsigned i;

	message.body.kind = PRESENCE_PEERS;
	for (i = 0; i < PRESENCE_PEERS_MAX; i++)
		addresses[i] = address;
	peers->addresses.addresses_len = PRESENCE_PEERS_MAX;
	peers->addresses.addresses_val = addresses;
	g_assert_cmpuint(presence_encode(&message, bytes), >, 0);
}

/* Guards against a list of peers that is never sent: a keeper has more long
 * addresses of entries than a datagram holds. */
static void test_peers_long_addresses(void)
{
	presence_table_t *table = presence_table_new();
	char name[32], calls[HL_ADDRESS_MAX];
	presence_identity_t identity = { name, "a", calls };
	presence_entry_t heartbeat = { .ready = true };
	struct sockaddr_storage from = { 0 };
	char *addresses[PRESENCE_PEERS_MAX];
	presence_t message = { .cluster = 7 };
	presence_peers_t *peers = &message.body.presence_body_t_u.peers;
	char bytes[PRESENCE_BYTES_MAX];
	presence_peers_list_t list;
	unsigned i;

	heartbeat.identity.identity_len = 1;
	heartbeat.identity.identity_val = &identity;
	for (i = 1; i <= PEERS_ZONE_ENTRIES; i++) {
		heartbeat.id = i;
		g_snprintf(name, sizeof(name), "e%u", i);
		g_snprintf(calls, sizeof(calls),
			   "[fd00:1111:2222:3333:4444:5555:6666:%04x]:65535",
			   i);
		g_assert_true(presence_table_update(table, &heartbeat, &from,
						    sizeof(from), 0));
	}
	presence_table_peers(table, 1, "a", SECOND, &list);
	for (i = 0; i < list.count; i++)
		addresses[i] = list.addresses[i];
	message.body.kind = PRESENCE_PEERS;
	peers->addresses.addresses_len = list.count;
	peers->addresses.addresses_val = addresses;
	g_assert_cmpuint(presence_encode(&message, bytes), >, 0);
	g_assert_cmpuint(list.count, >=, PRESENCE_PEERS_MAX / 2);
	presence_table_free(table);
}

static void test_codec(void)
{
	presence_identity_t identity = { "e1", "a", "10.0.0.1:80" };
	presence_t message = { .cluster = 7 }, back = { 0 };
	presence_entry_t *heartbeat = &message.body.presence_body_t_u.entry;
	char bytes[PRESENCE_BYTES_MAX];
	size_t size, cut;

	message.body.kind = PRESENCE_ENTRY;
	heartbeat->id = 9;
	heartbeat->identity.identity_len = 1;
	heartbeat->identity.identity_val = &identity;
	size = presence_encode(&message, bytes);
	g_assert_cmpuint(size, >, 0);
	g_assert_true(presence_decode(bytes, size, 7, &back));
	g_assert_cmpstr(back.body.presence_body_t_u.entry.identity.identity_val
				->call_address,
			==, "10.0.0.1:80");
	presence_clear(&back);
	g_assert_false(presence_decode(bytes, size, 8, &back));
	for (cut = 0; cut < size; cut++)
		g_assert_false(presence_decode(bytes, cut, 7, &back));
}

/* Lists of keepers that cross, one offered after the other: those that are older, of an
 * earlier release (revision 0) or malformed must not replace the newest one. */
static const struct {
	const char *keepers;
	uint64_t revision;
	const char *list; /* afterwards */
	uint64_t own;
	presence_keepers_result_t result;
	unsigned drops;
} offers[] = {
	{ "", 0, "", 0, PRESENCE_KEEPERS_SAME, 0 },
	{ "10.0.0.1:1", 0, "10.0.0.1:1", 0, PRESENCE_KEEPERS_TAKEN, 0 },
	{ "10.0.0.2:1", 0, "10.0.0.2:1", 0, PRESENCE_KEEPERS_TAKEN, 0 },
	{ "10.0.0.2:1", 3, "10.0.0.2:1", 3, PRESENCE_KEEPERS_SAME, 0 },
	{ "10.0.0.1:1", 0, "10.0.0.2:1", 3, PRESENCE_KEEPERS_OLDER, 1 },
	{ "10.0.0.2:1", 0, "10.0.0.2:1", 3, PRESENCE_KEEPERS_SAME, 1 },
	{ "10.0.0.3:1,10.0.0.2:1", 5, "10.0.0.3:1,10.0.0.2:1", 5,
	  PRESENCE_KEEPERS_TAKEN, 1 },
	{ "10.0.0.2:1", 4, "10.0.0.3:1,10.0.0.2:1", 5, PRESENCE_KEEPERS_OLDER,
	  2 },
	{ "10.0.0.2:1,10.0.0.3:1", 4, "10.0.0.3:1,10.0.0.2:1", 5,
	  PRESENCE_KEEPERS_SAME, 2 },
	{ "10.0.0.4:1", 5, "10.0.0.4:1", 5, PRESENCE_KEEPERS_TAKEN, 2 },
	{ "10.0.0.5:1,keeper:1", 9, "10.0.0.4:1", 5, PRESENCE_KEEPERS_MALFORMED,
	  3 },
	{ "10.0.0.5:1,,10.0.0.6:1", 9, "10.0.0.4:1", 5,
	  PRESENCE_KEEPERS_MALFORMED, 4 },
	{ "", 9, "10.0.0.4:1", 5, PRESENCE_KEEPERS_SAME, 4 },
	{ "10.0.0.5:1", 6, "10.0.0.5:1", 6, PRESENCE_KEEPERS_TAKEN, 4 },
};

static presence_keepers_t make_keepers(const char *text, uint64_t revision)
{
	presence_keepers_t keepers = { .revision = revision };
	char **items = g_strsplit(text, ",", 0);
	unsigned i;

	for (i = 0; items[i]; i++)
		g_strlcpy(keepers.list.items[keepers.list.count++], items[i],
			  HL_ADDRESS_MAX);
	g_strfreev(items);
	return keepers;
}

static void assert_keepers(const presence_keepers_t *keepers, const char *text,
			   uint64_t revision)
{
	presence_keepers_t expected = make_keepers(text, revision);

	g_assert_cmpuint(keepers->list.count, ==, expected.list.count);
	g_assert_cmpuint(presence_keepers_hash(&keepers->list), ==,
			 presence_keepers_hash(&expected.list));
	g_assert_cmpuint(keepers->revision, ==, revision);
}

static void test_keepers_offered(void)
{
	presence_keepers_t keepers = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(offers); i++) {
		presence_keepers_t offered = make_keepers(offers[i].keepers,
							  offers[i].revision);

		g_test_message("offer %zu", i);
		g_assert_cmpint(presence_keepers_offer(&keepers, &offered), ==,
				offers[i].result);
		assert_keepers(&keepers, offers[i].list, offers[i].own);
		g_assert_cmpuint(keepers.drops, ==, offers[i].drops);
	}
}

/* More addresses than a datagram may have. */
static void test_keepers_too_many(void)
{
	presence_keepers_t keepers = { 0 };
	presence_keepers_t offered =
		make_keepers("10.0.0.1:1,10.0.0.2:1,10.0.0.3:1,10.0.0.4:1,"
			     "10.0.0.5:1,10.0.0.6:1,10.0.0.7:1,10.0.0.8:1",
			     4);

	g_assert_cmpint(presence_keepers_offer(&keepers, &offered), ==,
			PRESENCE_KEEPERS_MALFORMED);
	assert_keepers(&keepers, "", 0);
}

/* A keeper that the test plays, and an entry's client. */
typedef struct {
	int socket;
	struct sockaddr_storage client;
	socklen_t client_length;
	char address[HL_ADDRESS_MAX];
	uint64_t *drops;
	presence_client_t *presence;
} keeper_t;

static bool client_ready(void *context)
{
	(void)context;
	return true;
}

static uint64_t client_revision(void *context)
{
	(void)context;
	return 100;
}

/* Waits for a heartbeat, to learn the client's address. */
static void keeper_receive(keeper_t *keeper)
{
	char bytes[PRESENCE_BYTES_MAX];

	keeper->client_length = sizeof(keeper->client);
	g_assert_cmpint(recvfrom(keeper->socket, bytes, sizeof(bytes), 0,
				 (struct sockaddr *)&keeper->client,
				 &keeper->client_length),
			>, 0);
}

static void keeper_send(const keeper_t *keeper, uint64_t cluster,
			presence_kind_t kind, const char *text,
			uint64_t revision)
{
	presence_keepers_t keepers = make_keepers(text, revision);
	char *addresses[PRESENCE_KEEPERS_MAX];
	presence_t message = { .cluster = cluster };
	presence_keepers_list_t *list = &message.body.presence_body_t_u.keepers;
	presence_keeper_status_t *status =
		&message.body.presence_body_t_u.keeper_status;
	char bytes[PRESENCE_BYTES_MAX];
	size_t size;
	unsigned i;

	for (i = 0; i < keepers.list.count; i++)
		addresses[i] = keepers.list.items[i];
	message.body.kind = kind;
	if (kind == PRESENCE_KEEPERS) {
		list->revision = revision;
		list->addresses.addresses_len = keepers.list.count;
		list->addresses.addresses_val = addresses;
	} else {
		status->identity_known = true;
		status->addresses.addresses_len = keepers.list.count;
		status->addresses.addresses_val = addresses;
	}
	size = presence_encode(&message, bytes);
	g_assert_cmpint(sendto(keeper->socket, bytes, size, 0,
			       (const struct sockaddr *)&keeper->client,
			       keeper->client_length),
			==, size);
}

/* Waits until the client has this list and has dropped @drops lists. */
static void keeper_expect(const keeper_t *keeper, const char *text,
			  uint64_t revision, uint64_t drops)
{
	presence_keepers_t expected = make_keepers(text, revision);
	usec_t end = time_now() + 5 * SECOND;
	char leader[HL_ADDRESS_MAX];
	presence_keepers_t keepers;

	do {
		g_usleep(1000);
		presence_client_keepers(keeper->presence, &keepers, leader);
	} while (time_now() < end &&
		 (presence_keepers_hash(&keepers.list) !=
			  presence_keepers_hash(&expected.list) ||
		  __atomic_load_n(keeper->drops, __ATOMIC_RELAXED) != drops));
	assert_keepers(&keepers, text, revision);
	g_assert_cmpuint(__atomic_load_n(keeper->drops, __ATOMIC_RELAXED), ==,
			 drops);
}

static void keeper_open(keeper_t *keeper)
{
	const struct timeval wait = { .tv_sec = 5 };
	struct sockaddr_in own = { .sin_family = AF_INET,
				   .sin_addr = { htonl(INADDR_LOOPBACK) } };
	socklen_t length = sizeof(own);

	memset(keeper, 0, sizeof(*keeper));
	keeper->socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(keeper->socket, (struct sockaddr *)&own, length),
			==, 0);
	getsockname(keeper->socket, (struct sockaddr *)&own, &length);
	setsockopt(keeper->socket, SOL_SOCKET, SO_RCVTIMEO, &wait,
		   sizeof(wait));
	g_snprintf(keeper->address, sizeof(keeper->address), "127.0.0.1:%u",
		   ntohs(own.sin_port));
}

/* Guards against an entry that takes over an older list from a keeper that was removed
 * or is of an earlier release, or the list of another cluster. */
static void test_keepers_crossed(void)
{
	const uint64_t cluster = hl_hash("c", 1, 0);
	metrics_t *metrics = metrics_new();
	supervisor_t *sup = supervisor_new("test", 1, SECOND);
	setting_list_t seeds = { .count = 1 };
	presence_client_options_t options = { .cluster = "c",
					      .name = "e1",
					      .zone = "a",
					      .call_address = "10.0.0.1:80",
					      .address = "127.0.0.1",
					      .keepers = &seeds,
					      .interval = SECOND / 20,
					      .ready = client_ready,
					      .impaired = client_ready,
					      .revision = client_revision };
	supervisor_child_t child;
	hl_error_t err;
	keeper_t keeper;

	log_set_level(LOG_LEVEL_ERROR);
	keeper_open(&keeper);
	strcpy(seeds.items[0], keeper.address);
	options.keepers_drops = keeper.drops = metrics_counter(metrics,
							       "drops_total",
							       "", "drops");
	keeper.presence = presence_client_new(&options, &err);
	g_assert_nonnull(keeper.presence);
	child = presence_client_child(keeper.presence);
	g_assert_cmpint(supervisor_add(sup, &child, NULL), ==, 0);
	keeper_receive(&keeper);
	keeper_send(&keeper, cluster, PRESENCE_KEEPER_STATUS, "10.0.0.1:1", 0);
	keeper_expect(&keeper, "10.0.0.1:1", 0, 0);
	keeper_send(&keeper, cluster, PRESENCE_KEEPERS, "10.0.0.2:1", 5);
	keeper_expect(&keeper, "10.0.0.2:1", 5, 0);
	keeper_send(&keeper, cluster, PRESENCE_KEEPERS, "10.0.0.1:1", 4);
	keeper_expect(&keeper, "10.0.0.2:1", 5, 1);
	keeper_send(&keeper, cluster, PRESENCE_KEEPERS, "10.0.0.3:1,x", 6);
	keeper_expect(&keeper, "10.0.0.2:1", 5, 2);
	keeper_send(&keeper, cluster + 1, PRESENCE_KEEPERS, "10.0.0.9:1", 9);
	/* Nor that of the status, which is for entries of earlier releases. */
	keeper_send(&keeper, cluster, PRESENCE_KEEPER_STATUS, "10.0.0.1:1", 0);
	keeper_send(&keeper, cluster, PRESENCE_KEEPERS, "10.0.0.1:1", 0);
	keeper_expect(&keeper, "10.0.0.2:1", 5, 3);
	keeper_send(&keeper, cluster, PRESENCE_KEEPERS, "10.0.0.4:1", 5);
	keeper_expect(&keeper, "10.0.0.4:1", 5, 3);
	supervisor_free(sup);
	presence_client_free(keeper.presence);
	close(keeper.socket);
	metrics_free(metrics);
	log_set_level(LOG_LEVEL_INFO);
}

static unsigned count_silent(keeper_last_seen_t *table, const config_t *config,
			     usec_t now)
{
	config_target_t out[8];

	return keeper_last_seen_find_silent(table, config, 20 * SECOND, now,
					    out, 8);
}

/* A copy without an announcement for 20 s is returned as silent, unless most
 * copies are silent. */
static void test_silent_copies(void)
{
	config_target_t targets[3] = { { .name = "a" },
				       { .name = "b" },
				       { .name = "c" } };
	keeper_last_seen_t *table = keeper_last_seen_new();
	config_t config = { 0 };
	uint64_t ids[4];

	config.targets.targets_len = 3;
	config.targets.targets_val = targets;
	g_assert_cmpuint(count_silent(table, &config, 0), ==, 0);
	keeper_last_seen_record(table, keeper_last_seen_id("a"), true,
				15 * SECOND);
	keeper_last_seen_record(table, keeper_last_seen_id("b"), false,
				15 * SECOND);
	g_assert_cmpuint(keeper_last_seen_take_unreported(table, ids, 4), ==,
			 1);
	g_assert_cmpuint(keeper_last_seen_take_unreported(table, ids, 4), ==,
			 0);
	g_assert_cmpuint(count_silent(table, &config, 19 * SECOND), ==, 0);
	g_assert_cmpuint(count_silent(table, &config, 21 * SECOND), ==, 1);
	/* All copies are silent: the keepers are cut off, not the copies. */
	g_assert_cmpuint(count_silent(table, &config, 40 * SECOND), ==, 0);
	/* A new leader waits the full silence time again. */
	keeper_last_seen_reset(table);
	g_assert_cmpuint(count_silent(table, &config, 41 * SECOND), ==, 0);
	keeper_last_seen_free(table);
}

static void test_load_header(void)
{
	static const struct {
		const char *text;
		bool valid;
		unsigned running, waiting, slots, slowness;
	} rows[] = {
		{ "3,0,8", true, 3, 0, 8, 100 },
		{ " 3,1,8,250", true, 3, 1, 8, 250 },
		{ "3,1", false, 0, 0, 0, 0 },
		{ "", false, 0, 0, 0, 0 },
		{ "a,b,c", false, 0, 0, 0, 0 },
	};
	const headers_t *headers = headers_find("platform");
	size_t i;

	g_assert_nonnull(headers);
	g_assert_null(headers_find("nobody"));
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		load_t load = { 0 };

		g_assert_cmpint(headers->load_read(rows[i].text, &load), ==,
				rows[i].valid);
		if (!rows[i].valid)
			continue;
		g_assert_cmpuint(load.running, ==, rows[i].running);
		g_assert_cmpuint(load.waiting, ==, rows[i].waiting);
		g_assert_cmpuint(load.slots, ==, rows[i].slots);
		g_assert_cmpuint(load.slowness, ==, rows[i].slowness);
	}
}

/* While the log's pipe is full, logging does not block and counts the lines
 * that it drops. */
static void test_log_never_blocks(void)
{
	const unsigned lines = 50000;
	int saved = dup(STDOUT_FILENO);
	usec_t start;
	unsigned i;
	int fds[2];
	char drained[4096];

	g_assert_cmpint(pipe(fds), ==, 0);
	fflush(stdout);
	dup2(fds[1], STDOUT_FILENO);
	log_open("test", "vm", LOG_LEVEL_INFO);
	g_assert_cmpint(log_start(), ==, 0);
	start = time_now();
	for (i = 0; i < lines; i++)
		log_event(LOG_LEVEL_INFO, "flood", "line=%u", i);
	g_assert_cmpint(time_now() - start, <, 10 * SECOND);
	g_assert_cmpuint(log_dropped(), >, lines / 2);
	/* Read the pipe, so that the writer thread can end. */
	dup2(saved, STDOUT_FILENO);
	close(fds[1]);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	for (i = 0; i < 1000; i++) {
		while (read(fds[0], drained, sizeof(drained)) > 0)
			;
		g_usleep(1000);
	}
	log_stop();
	close(fds[0]);
	close(saved);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/presence/peers-of-large-zone",
			test_peers_of_large_zone);
	g_test_add_func("/presence/peers-change", test_peers_change);
	g_test_add_func("/presence/peers-long-addresses",
			test_peers_long_addresses);
	g_test_add_func("/presence/peers-codec", test_peers_codec);
	g_test_add_func("/presence/choose", test_choose);
	g_test_add_func("/presence/starting", test_starting);
	g_test_add_func("/presence/impaired", test_impaired);
	g_test_add_func("/presence/impaired-ends", test_impaired_ends);
	g_test_add_func("/presence/most-impaired", test_most_impaired);
	g_test_add_func("/presence/choose-one", test_choose_one);
	g_test_add_func("/presence/codec", test_codec);
	g_test_add_func("/presence/keepers-offered", test_keepers_offered);
	g_test_add_func("/presence/keepers-too-many", test_keepers_too_many);
	g_test_add_func("/presence/keepers-crossed", test_keepers_crossed);
	g_test_add_func("/presence/silence", test_silent_copies);
	g_test_add_func("/presence/load", test_load_header);
	g_test_add_func("/presence/log-never-blocks", test_log_never_blocks);
	return g_test_run();
}
