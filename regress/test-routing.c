#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "config-state.h"
#include "entry-rules.h"
#include "keeper-core.h"
#include "pack.h"
#include "routing.h"

/*
 * Routing documents, announcements of copies and the rules made from them.
 * Invalid documents and announcements must be refused.
 */

#define SERVICES                                                  \
	"\"services\":{\"desk\":{\"health_path\":\"/health\","    \
	"\"connections\":240,\"protocol\":\"h1\",\"tls\":false}," \
	"\"ledger\":{\"health_path\":\"/h\",\"connections\":9,"   \
	"\"protocol\":\"h1\",\"tls\":false}}"
#define LIMITS                                                      \
	"\"limits\":{\"head_bytes\":16384,\"body_bytes\":67108864," \
	"\"head_ms\":3000,\"idle_ms\":15000}"
#define ROUTE(destination)                                                    \
	"{\"host\":\"a.example\",\"prefix\":\"/p/\","                         \
	"\"kind\":\"once\",\"timeout_ms\":1200,"                              \
	"\"objective_ms\":800,\"priority\":1,\"attempts_max\":2," destination \
	"}"
#define WHOLE(version, routes)                                       \
	"{\"version\":" version ",\"routes\":{" routes "}," SERVICES \
	"," LIMITS "}"
#define PLAIN "\"r1\":" ROUTE("\"service\":\"desk\"")

/* The replicated state of the keepers and an operator that sends documents. */
typedef struct {
	config_state_t *state;
	uint64_t index;
	unsigned ids;
} fixture_t;

/* Sends a document; returns the verdict, or "unreadable". */
static const char *send_document(fixture_t *fixture, routing_scope_t scope,
				 const char *text)
{
	static const char *const verdicts[] = { "accepted", "conflict",
						"refused" };
	config_change_t change = { 0 };
	routing_document_t document;
	config_answer_t answer = { 0 };
	const char *result = "unreadable";
	hl_error_t err = { 0 };

	if (!routing_read(text, strlen(text), scope, &document, &err)) {
		change.id = g_strdup_printf("id-%u", ++fixture->ids);
		change.author = strdup("operator");
		g_assert_cmpint(routing_change(config_state_config(
						       fixture->state),
					       &document, &change, &err),
				==, 0);
		g_assert_cmpint(config_state_apply(fixture->state,
						   ++fixture->index, &change,
						   &answer),
				==, 0);
		result = verdicts[answer.verdict];
		xdr_free((xdrproc_t)xdr_config_answer_t, &answer);
		xdr_free((xdrproc_t)xdr_config_change_t, &change);
	}
	routing_clear(&document);
	return result;
}

static const struct {
	const char *name;
	const char *text;
	const char *result;
} documents[] = {
	{ "plain", WHOLE("5", PLAIN), "accepted" },
	{ "version-below", WHOLE("2", PLAIN), "refused" },
	{ "version-same", WHOLE("3", PLAIN), "refused" },
	{ "no-routes", WHOLE("5", ""), "accepted" },
	{ "truncated", "{\"version\":5,\"routes\":{", "unreadable" },
	{ "empty", "", "unreadable" },
	{ "list", "[]", "unreadable" },
	{ "trailing", WHOLE("5", PLAIN) "x", "unreadable" },
	{ "no-version", "{\"routes\":{}," SERVICES "," LIMITS "}",
	  "unreadable" },
	{ "version-text", WHOLE("\"5\"", PLAIN), "unreadable" },
	{ "version-negative", WHOLE("-5", PLAIN), "unreadable" },
	{ "no-services", "{\"version\":5,\"routes\":{}," LIMITS "}",
	  "unreadable" },
	{ "no-limits", "{\"version\":5,\"routes\":{}," SERVICES "}",
	  "unreadable" },
	{ "name-twice", WHOLE("5", PLAIN "," PLAIN), "unreadable" },
	{ "unknown-service",
	  WHOLE("5", "\"r\":" ROUTE("\"service\":\"nobody\"")), "refused" },
	{ "no-service", WHOLE("5", "\"r\":" ROUTE("\"x\":1")), "unreadable" },
	{ "both-service-and-split",
	  WHOLE("5", "\"r\":" ROUTE("\"service\":\"desk\",\"split\":[{"
				    "\"service\":\"desk\",\"weight\":1}]")),
	  "unreadable" },
	{ "weights-add-up-to-0",
	  WHOLE("5", "\"r\":" ROUTE("\"split\":[{\"service\":\"desk\","
				    "\"weight\":0}]")),
	  "refused" },
	{ "weight-below-0",
	  WHOLE("5", "\"r\":" ROUTE("\"split\":[{\"service\":\"desk\","
				    "\"weight\":-1}]")),
	  "unreadable" },
	{ "same-host-and-prefix",
	  WHOLE("5", PLAIN ",\"r2\":" ROUTE("\"service\":\"desk\"")),
	  "refused" },
	{ "no-attempts",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
		     "\"once\",\"timeout_ms\":1,\"objective_ms\":1,"
		     "\"attempts_max\":0,\"service\":\"desk\"}"),
	  "refused" },
	{ "unknown-kind",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
		     "\"maybe\",\"timeout_ms\":1,\"objective_ms\":1,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "unreadable" },
	{ "upload",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
		     "\"upload\",\"timeout_ms\":1,\"objective_ms\":1,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "accepted" },
	{ "no-kind",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\","
		     "\"timeout_ms\":1,\"objective_ms\":1,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "unreadable" },
	{ "no-timeout",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
		     "\"once\",\"objective_ms\":1,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "unreadable" },
	{ "objective-far-above-timeout",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
		     "\"once\",\"timeout_ms\":1000,\"objective_ms\":61000,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "refused" },
	{ "objective-just-below-limit",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
		     "\"once\",\"timeout_ms\":1000,\"objective_ms\":60999,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "accepted" },
	{ "prefix-without-slash",
	  WHOLE("5", "\"r\":{\"host\":\"a\",\"prefix\":\"/p\",\"kind\":"
		     "\"once\",\"timeout_ms\":1,\"objective_ms\":1,"
		     "\"attempts_max\":1,\"service\":\"desk\"}"),
	  "refused" },
	{ "tls",
	  "{\"version\":5,\"routes\":{},\"services\":{\"desk\":{"
	  "\"health_path\":\"/\",\"connections\":1,\"tls\":true}}," LIMITS "}",
	  "unreadable" },
};

static fixture_t *fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->state = config_state_new();
	g_assert_cmpstr(send_document(fixture, ROUTING_FULL, WHOLE("3", PLAIN)),
			==, "accepted");
	return fixture;
}

static void fixture_free(fixture_t *fixture)
{
	config_state_free(fixture->state);
	g_free(fixture);
}

static void test_document(gconstpointer data)
{
	size_t i = GPOINTER_TO_SIZE(data);
	fixture_t *fixture = fixture_new();

	g_assert_cmpstr(send_document(fixture, ROUTING_FULL, documents[i].text),
			==, documents[i].result);
	fixture_free(fixture);
}

/* The document read back must equal the one sent. */
static void test_read_back(void)
{
	const char *sent = WHOLE(
		"9", PLAIN ",\"r2\":{\"host\":\"b\",\"prefix\":\"/\",\"kind\":"
			   "\"idempotent\",\"timeout_ms\":1200.5,"
			   "\"objective_ms\":0.25,\"priority\":2,"
			   "\"attempts_max\":3,\"split\":[{\"service\":"
			   "\"desk\",\"weight\":90},{\"service\":\"ledger\","
			   "\"weight\":10}]},\"r3\":{\"host\":\"b\","
			   "\"prefix\":\"/up/\",\"kind\":\"upload\","
			   "\"timeout_ms\":5000,\"objective_ms\":1200,"
			   "\"priority\":1,\"attempts_max\":2,"
			   "\"service\":\"ledger\"}");
	fixture_t *fixture = fixture_new();
	json_t *one, *two;
	char *text;

	g_assert_cmpstr(send_document(fixture, ROUTING_FULL, sent), ==,
			"accepted");
	text = routing_write(config_state_config(fixture->state));
	one = json_loads(sent, 0, NULL);
	two = json_loads(text, 0, NULL);
	g_assert_true(json_equal(one, two));
	json_decref(one);
	json_decref(two);
	free(text);
	fixture_free(fixture);
}

/* The error for an unknown kind names the route and the known kinds. */
static void test_unknown_kind(void)
{
	const char *text =
		WHOLE("5", "\"r7\":{\"host\":\"a\",\"prefix\":\"/p/\",\"kind\":"
			   "\"maybe\",\"timeout_ms\":1,\"objective_ms\":1,"
			   "\"attempts_max\":1,\"service\":\"desk\"}");
	routing_document_t document;
	hl_error_t err = { 0 };

	g_assert_cmpint(routing_read(text, strlen(text), ROUTING_FULL,
				     &document, &err),
			==, -1);
	g_assert_nonnull(strstr(err.message, "r7"));
	g_assert_nonnull(strstr(err.message, "\"idempotent\""));
	g_assert_nonnull(strstr(err.message, "\"once\""));
	g_assert_nonnull(strstr(err.message, "\"upload\""));
	routing_clear(&document);
}

/* Only an idempotent route allows a call to run more than once, and only an
   upload route announces a large body. */
static void test_rule_kinds(void)
{
	static const struct {
		const char *kind;
		bool idempotent, upload;
	} rows[] = {
		{ "idempotent", true, false },
		{ "once", false, false },
		{ "upload", false, true },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fixture_t *fixture = fixture_new();
		entry_rules_t *rules;
		entry_rule_t rule;
		char *text;

		text = g_strdup_printf(
			"{\"version\":4,\"put\":{\"routes\":{\"r9\":{"
			"\"host\":\"k\",\"prefix\":\"/\",\"kind\":\"%s\","
			"\"timeout_ms\":5,\"objective_ms\":5,"
			"\"attempts_max\":1,\"service\":\"ledger\"}}}}",
			rows[i].kind);
		g_assert_cmpstr(send_document(fixture, ROUTING_CHANGES, text),
				==, "accepted");
		rules = entry_rules_new(config_state_config(fixture->state), 1);
		g_assert_true(entry_rules_match(rules, "k", "/x", NULL, &rule));
		g_assert_cmpint(rule.idempotent, ==, rows[i].idempotent);
		g_assert_cmpint(rule.upload, ==, rows[i].upload);
		g_assert_cmpuint(rule.body_max, ==, 67108864);
		entry_rules_free(rules);
		g_free(text);
		fixture_free(fixture);
	}
}

/* A partial document changes only its items and retires no service in use. */
static void test_partial_document(void)
{
	fixture_t *fixture = fixture_new();
	const config_t *config;

	g_assert_cmpstr(
		send_document(fixture, ROUTING_CHANGES,
			      "{\"version\":4,\"put\":{\"routes\":{\"r2\":{"
			      "\"host\":\"b\",\"prefix\":\"/\",\"kind\":"
			      "\"once\",\"timeout_ms\":5,\"objective_ms\":5,"
			      "\"attempts_max\":1,\"service\":\"ledger\"}}}}"),
		==, "accepted");
	config = config_state_config(fixture->state);
	g_assert_cmpuint(config->routes.routes_len, ==, 2);
	g_assert_cmpuint(config->pools.pools_len, ==, 2);
	g_assert_cmpstr(send_document(fixture, ROUTING_CHANGES,
				      "{\"version\":5,\"retire\":{\"services\":"
				      "[\"ledger\"]}}"),
			==, "refused");
	g_assert_cmpstr(send_document(fixture, ROUTING_CHANGES,
				      "{\"version\":5,\"retire\":{\"routes\":"
				      "[\"r2\",\"never\"],\"services\":"
				      "[\"ledger\"]}}"),
			==, "accepted");
	config = config_state_config(fixture->state);
	g_assert_cmpuint(config->routes.routes_len, ==, 1);
	g_assert_cmpuint(config->pools.pools_len, ==, 1);
	g_assert_cmpuint(config_routing_version(config)->number, ==, 5);
	fixture_free(fixture);
}

/* Of two documents made from the same version only the first is accepted. */
static void test_concurrent_documents(void)
{
	fixture_t *fixture = fixture_new();
	config_change_t changes[2] = { 0 };
	config_answer_t answers[2] = { 0 };
	routing_document_t document;
	hl_error_t err = { 0 };
	const char *text = WHOLE("7", PLAIN);
	int i;

	g_assert_cmpint(routing_read(text, strlen(text), ROUTING_FULL,
				     &document, &err),
			==, 0);
	for (i = 0; i < 2; i++) {
		changes[i].id = g_strdup_printf("race-%d", i);
		changes[i].author = strdup("operator");
		g_assert_cmpint(routing_change(config_state_config(
						       fixture->state),
					       &document, &changes[i], &err),
				==, 0);
	}
	for (i = 0; i < 2; i++)
		config_state_apply(fixture->state, ++fixture->index,
				   &changes[i], &answers[i]);
	g_assert_cmpint(answers[0].verdict, ==, CONFIG_ACCEPTED);
	g_assert_cmpint(answers[1].verdict, ==, CONFIG_CONFLICT);
	for (i = 0; i < 2; i++) {
		xdr_free((xdrproc_t)xdr_config_answer_t, &answers[i]);
		/* A repeated change gets its first answer. */
		config_state_apply(fixture->state, ++fixture->index,
				   &changes[i], &answers[i]);
		g_assert_cmpint(answers[i].verdict, ==,
				i ? CONFIG_CONFLICT : CONFIG_ACCEPTED);
		xdr_free((xdrproc_t)xdr_config_answer_t, &answers[i]);
		xdr_free((xdrproc_t)xdr_config_change_t, &changes[i]);
	}
	routing_clear(&document);
	fixture_free(fixture);
}

static const struct {
	const char *name;
	const char *text;
	bool good;
} announcements[] = {
	{ "ready",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1:8\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_ms\":0,"
	  "\"sequence\":4}",
	  true },
	{ "born",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1:8\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":2,\"state\":\"draining\","
	  "\"cold_ms\":0.5,\"sequence\":4,\"born\":1700000000000,\"new\":1}",
	  true },
	{ "born-of-another-type",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1:8\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_ms\":0,"
	  "\"sequence\":4,\"born\":\"now\"}",
	  false },
	{ "no-service",
	  "{\"address\":\"10.0.0.1:8\",\"zone\":\"z\",\"version\":\"v1\","
	  "\"slots\":2,\"state\":\"ready\",\"cold_ms\":0,\"sequence\":4}",
	  false },
	{ "slots-text",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1:8\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":\"2\",\"state\":\"ready\","
	  "\"cold_ms\":0,\"sequence\":4}",
	  false },
	{ "no-slots",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1:8\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":0,\"state\":\"ready\","
	  "\"cold_ms\":0,\"sequence\":4}",
	  false },
	{ "unknown-state",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1:8\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":2,\"state\":\"asleep\","
	  "\"cold_ms\":0,\"sequence\":4}",
	  false },
	{ "address-without-port",
	  "{\"service\":\"d\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
	  "\"cold_ms\":0,\"sequence\":4}",
	  false },
	{ "no-json", "ready", false },
	{ "bytes", "\xff\xfe\x00", false },
};

static void test_announcement(gconstpointer data)
{
	size_t i = GPOINTER_TO_SIZE(data);
	const char *text = announcements[i].text;
	config_target_t target;
	hl_error_t err = { 0 };
	int rc;

	rc = routing_target_read("i-1", text, strlen(text), &target, &err);
	g_assert_cmpint(rc, ==, announcements[i].good ? 0 : -1);
	g_assert_cmpint(err.kind, ==,
			announcements[i].good ? HL_OK : HL_ERR_PROTOCOL);
	xdr_free((xdrproc_t)xdr_config_target_t, &target);
}

/* The longest matching prefix wins; a split spreads calls by weight. */
static void test_rule_match(void)
{
	static const struct {
		const char *host, *target, *route;
	} rows[] = {
		{ "a.example", "/p/x", "r1" },
		{ "A.Example:80", "/p/x?y=/", "r1" },
		{ "a.example", "/p/q/x", "r2" },
		{ "a.example", "/p/q/", "r2" },
		{ "a.example", "/p/q?/x", "r1" },
		{ "a.example", "/p", NULL },
		{ "a.example", "/", NULL },
		{ "b.example", "/p/x", NULL },
	};
	const char *text =
		WHOLE("4", PLAIN
		      ",\"r2\":{\"host\":\"a.example\",\"prefix\":\"/p/q/\","
		      "\"kind\":\"idempotent\",\"timeout_ms\":5,"
		      "\"objective_ms\":5,\"attempts_max\":1,\"split\":[{"
		      "\"service\":\"desk\",\"weight\":90},{\"service\":"
		      "\"ledger\",\"weight\":10}]}");
	fixture_t *fixture = fixture_new();
	unsigned ledger = 0, longest_run = 0, run = 0;
	entry_rules_t *rules;
	entry_rule_t rule;
	unsigned i;

	g_assert_cmpstr(send_document(fixture, ROUTING_FULL, text), ==,
			"accepted");
	rules = entry_rules_new(config_state_config(fixture->state), 42);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		bool found = entry_rules_match(rules, rows[i].host,
					       rows[i].target, NULL, &rule);

		g_assert_cmpint(found, ==, rows[i].route != NULL);
		if (found)
			g_assert_cmpstr(rule.name, ==, rows[i].route);
	}
	for (i = 0; i < 300; i++) {
		g_assert_true(entry_rules_match(rules, "a.example", "/p/q/",
						NULL, &rule));
		run = strcmp(rule.service, "ledger") ? run + 1 : 0;
		ledger += run == 0;
		longest_run = run > longest_run ? run : longest_run;
	}
	/* A tenth of the calls, evenly spread over short runs as well. */
	g_assert_cmpuint(ledger, >=, 28);
	g_assert_cmpuint(ledger, <=, 32);
	g_assert_cmpuint(longest_run, <, 20);
	/* A call that a sibling handed over keeps its part. */
	for (i = 0; i < 20; i++) {
		entry_rules_match(rules, "a.example", "/p/q/", "ledger", &rule);
		g_assert_cmpstr(rule.service, ==, "ledger");
	}
	g_assert_true(
		entry_rules_match(rules, "a.example", "/p/q/", "other", &rule));
	g_assert_cmpstr(rule.service, !=, "other");
	entry_rules_free(rules);
	fixture_free(fixture);
}

/* A change of 2,000 routes must fit one log entry and decode again. */
static void test_large_change(void)
{
	GString *routes = g_string_new(PLAIN);
	config_change_t change = { 0 }, back = { 0 };
	fixture_t *fixture = fixture_new();
	routing_document_t document;
	hl_error_t err = { 0 };
	char *body, *text;
	size_t size;
	unsigned i;

	for (i = 0; i < 2000; i++)
		g_string_append_printf(
			routes,
			",\"n-%08x\":{\"host\":\"%06x.example\",\"prefix\":"
			"\"/%06x/\",\"kind\":\"once\",\"timeout_ms\":900,"
			"\"objective_ms\":500,\"priority\":2,"
			"\"attempts_max\":2,\"service\":\"desk\"}",
			i * 2654435761u, i * 40503u & 0xffffff,
			i * 69621u & 0xffffff);
	text = g_strdup_printf("{\"version\":8,\"routes\":{%s}," SERVICES
			       "," LIMITS "}",
			       routes->str);
	g_assert_cmpint(routing_read(text, strlen(text), ROUTING_FULL,
				     &document, &err),
			==, 0);
	change.id = strdup("large");
	change.author = strdup("operator");
	g_assert_cmpint(routing_change(config_state_config(fixture->state),
				       &document, &change, &err),
			==, 0);
	g_assert_true(keeper_body_pack(&change, &body, &size));
	g_assert_cmpuint(size, <=, KEEPER_COMMAND_MAX);
	g_assert_true(keeper_body_unpack(body, size, &back));
	g_assert_cmpuint(back.items.items_len, ==, change.items.items_len);
	xdr_free((xdrproc_t)xdr_config_change_t, &back);
	/* A damaged entry must not decode. */
	body[size / 2] ^= 1;
	g_assert_false(keeper_body_unpack(body, size, &back));
	free(body);
	g_free(text);
	g_string_free(routes, TRUE);
	xdr_free((xdrproc_t)xdr_config_change_t, &change);
	routing_clear(&document);
	fixture_free(fixture);
}

static void test_pack_bounds(void)
{
	static const char plain[100000];
	size_t packed, size;
	char *bytes = pack_deflate(plain, sizeof(plain), &packed);
	char *back;

	g_assert_nonnull(bytes);
	g_assert_null(pack_inflate(bytes, packed, sizeof(plain) - 1, &size));
	g_assert_null(pack_inflate(bytes, 3, sizeof(plain), &size));
	g_assert_null(pack_inflate(bytes, packed - 1, sizeof(plain), &size));
	back = pack_inflate(bytes, packed, sizeof(plain), &size);
	g_assert_cmpmem(back, size, plain, sizeof(plain));
	free(back);
	free(bytes);
}

int main(int argc, char **argv)
{
	char path[96];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (i = 0; i < G_N_ELEMENTS(documents); i++) {
		g_snprintf(path, sizeof(path), "/routing/document/%s",
			   documents[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_document);
	}
	for (i = 0; i < G_N_ELEMENTS(announcements); i++) {
		g_snprintf(path, sizeof(path), "/routing/announcement/%s",
			   announcements[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i),
				     test_announcement);
	}
	g_test_add_func("/routing/read-back", test_read_back);
	g_test_add_func("/routing/unknown-kind", test_unknown_kind);
	g_test_add_func("/routing/rule-kinds", test_rule_kinds);
	g_test_add_func("/routing/changes", test_partial_document);
	g_test_add_func("/routing/race", test_concurrent_documents);
	g_test_add_func("/routing/match", test_rule_match);
	g_test_add_func("/routing/large-change", test_large_change);
	g_test_add_func("/routing/pack-bounds", test_pack_bounds);
	return g_test_run();
}
