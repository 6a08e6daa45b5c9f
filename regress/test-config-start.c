#include <glib.h>
#include <stdio.h>
#include <string.h>
#include "config-start.h"

/*
 * Guards against an entry that routes calls, before a leader has confirmed its
 * configuration, by a route that an accepted change has moved or dropped, or to a copy
 * that one has taken out of service. Each line of a case is a command with its expected
 * result.
 *
 * "respond MS KEEPER VOTERS REVISION ROUTES [COPIES [GROUP LAST APPLIED]]" records a
 * response and results in "changed" or "same". VOTERS is "-" if the keeper states none,
 * ROUTES or COPIES if the list is empty; COPIES is "large" for a list over the limit.
 * GROUP, LAST and APPLIED are the indices of its group, of its last entry and of one up to
 * which its configuration has all; LAST is "-" if it states none.
 *
 * "state MS" results in the state, and "call HOST TARGET PREFIX", with the prefix of the
 * route in force, in "held" or "routed"; "copy NAME" likewise.
 */

#define SERVE_AFTER (1000 * USEC_PER_MS)
#define FIELDS_MAX 10

static const struct {
	const char *name;
	const char *text;
} cases[] = {
	{ "no-response", "state 5000 = waiting\n" },
	{ "one-voter", "respond 10 a 1 4 - = changed\n"
		       "state 10 = quorum\n" },
	{ "two-voters", "respond 10 a 2 4 - = changed\n"
			"state 10 = waiting\n"
			"respond 11 b 2 4 - = changed\n"
			"state 11 = quorum\n" },
	{ "three-voters", "respond 10 a 3 4 - = changed\n"
			  "state 20 = waiting\n"
			  "respond 30 b 3 5 - = changed\n"
			  "state 30 = quorum\n" },
	{ "five-voters", "respond 10 a 5 4 - = changed\n"
			 "respond 10 b 5 4 - = changed\n"
			 "state 20 = waiting\n"
			 "respond 30 c 5 4 - = changed\n"
			 "state 30 = quorum\n" },
	{ "same-keeper-twice", "respond 10 a 3 4 - = changed\n"
			       "respond 20 a 3 4 - = same\n"
			       "state 20 = waiting\n" },
	{ "largest-group-decides", "respond 10 a 3 4 - = changed\n"
				   "respond 20 b 5 5 - = changed\n"
				   "state 20 = waiting\n"
				   "respond 30 c 5 5 - = changed\n"
				   "state 30 = quorum\n" },
	/* Two of three keepers were removed, and run on with their old logs. */
	{ "removed-do-not-count", "respond 10 a 3 4 - - 1 50 0 = changed\n"
				  "respond 20 d 3 9 - - 60 70 0 = changed\n"
				  "respond 30 b 3 4 - - 1 59 0 = changed\n"
				  "state 30 = waiting\n"
				  "respond 40 e 3 8 - - 60 65 0 = changed\n"
				  "state 40 = quorum\n" },
	{ "removed-counted-before", "respond 10 a 3 4 - - 1 50 0 = changed\n"
				    "respond 20 b 3 4 - - 1 50 0 = changed\n"
				    "state 20 = quorum\n"
				    "respond 30 d 3 9 - - 60 70 0 = changed\n"
				    "state 30 = waiting\n" },
	/* A snapshot has the group of d, so that d states the index of that. */
	{ "group-in-snapshot", "respond 10 d 3 9 - - 65 70 0 = changed\n"
			       "respond 20 e 3 9 - - 60 70 0 = changed\n"
			       "state 20 = quorum\n" },
	{ "group-of-one-that-was-removed",
	  "respond 10 a 0 4 - - 60 60 0 = changed\n"
	  "respond 20 b 3 4 - - 1 50 0 = changed\n"
	  "respond 30 c 3 4 - - 1 50 0 = changed\n"
	  "state 30 = waiting\n" },
	{ "log-grows", "respond 10 a 3 4 - - 1 50 0 = changed\n"
		       "respond 20 b 3 4 - - 60 60 0 = changed\n"
		       "state 20 = waiting\n"
		       "respond 30 a 3 4 - - 1 59 0 = same\n"
		       "respond 40 a 3 4 - - 60 61 0 = changed\n"
		       "state 40 = quorum\n"
		       "respond 50 a 3 4 - - 60 62 0 = same\n" },
	{ "indices-not-stated", "respond 10 a 3 4 - = changed\n"
				"respond 20 b 3 4 - - 60 60 0 = changed\n"
				"state 20 = quorum\n" },
	{ "empty-disk-does-not-count", "respond 10 a 3 4 - = changed\n"
				       "respond 20 b 0 0 - = changed\n"
				       "respond 20 c 0 0 - = changed\n"
				       "state 20 = waiting\n" },
	{ "disk-was-replaced", "respond 10 a 3 4 - = changed\n"
			       "respond 20 b 3 4 - = changed\n"
			       "state 20 = quorum\n"
			       "respond 30 b 0 0 - = changed\n"
			       "state 30 = waiting\n" },
	{ "keeper-without-configuration", "respond 10 a 3 0 - = changed\n"
					  "state 5000 = waiting\n"
					  "respond 5001 b 3 0 - = changed\n"
					  "state 5001 = quorum\n" },
	{ "time-since-the-first-configuration",
	  "respond 10 a 3 0 - = changed\n"
	  "respond 500 a 3 4 - = changed\n"
	  "respond 900 a 3 5 - = same\n"
	  "state 1499 = waiting\n"
	  "state 1500 = timeout\n" },
	{ "quorum-after-the-time", "respond 10 a 3 4 - = changed\n"
				   "state 2000 = timeout\n"
				   "respond 2001 b 3 4 - = changed\n"
				   "state 2001 = quorum\n" },
	{ "earlier-release", "respond 10 a - 4 - = changed\n"
			     "state 10 = release\n"
			     "respond 20 a - 4 - = same\n" },
	{ "earlier-release-beside-a-new-one",
	  "respond 10 a 3 4 h.example/x/ = changed\n"
	  "state 10 = waiting\n"
	  "respond 20 b - 4 - = changed\n"
	  "state 20 = release\n"
	  "call h.example /x/1 /x/ = held\n" },
	{ "pending-route", "respond 10 a 3 4 h.example/x/ = changed\n"
			   "respond 20 b 3 4 - = changed\n"
			   "call h.example /x/1?q=1 /x/ = held\n"
			   "call H.Example:7080 /x/1 /x/ = held\n"
			   "call h.example /y/1 /y/ = routed\n"
			   "call other.example /x/1 /x/ = routed\n"
			   "call h.example.org /x/1 /x/ = routed\n"
			   "call h /x/1 /x/ = routed\n" },
	{ "pending-until-the-keeper-has-none",
	  "respond 10 a 3 4 h.example/x/ = changed\n"
	  "respond 20 b 3 4 - = changed\n"
	  "call h.example /x/1 /x/ = held\n"
	  "respond 30 a 3 4 h.example/x/ = same\n"
	  "respond 40 a 3 5 - = changed\n"
	  "call h.example /x/1 /x/ = routed\n" },
	{ "pending-at-one-of-two", "respond 10 a 3 4 h.example/x/ = changed\n"
				   "respond 20 b 3 4 h.example/x/ = changed\n"
				   "respond 30 a 3 5 - = changed\n"
				   "call h.example /x/1 /x/ = held\n" },
	{ "pending-after-the-time", "respond 10 a 3 4 h.example/x/ = changed\n"
				    "state 5000 = timeout\n"
				    "call h.example /x/1 /x/ = held\n" },
	{ "longer-prefix-pending", "respond 10 a 1 4 h.example/x/y/ = changed\n"
				   "call h.example /x/y/1 /x/ = held\n"
				   "call h.example /x/z/1 /x/ = routed\n"
				   "call h.example /x/?a=/x/y/ /x/ = routed\n"
				   "call h.example /x/y /x/ = routed\n" },
	{ "shorter-prefix-pending", "respond 10 a 1 4 h.example/x/ = changed\n"
				    "call h.example /x/y/1 /x/y/ = routed\n"
				    "call h.example /x/z/1 /x/ = held\n" },
	{ "several-pending",
	  "respond 10 a 1 4 h.example/x/,i.example/y/ = changed\n"
	  "call h.example /x/1 / = held\n"
	  "call i.example /y/1 / = held\n"
	  "call h.example /y/1 / = routed\n" },
	{ "escaped-prefix", "respond 10 a 1 4 h.example/x%2Cy%25/ = changed\n"
			    "call h.example /x,y%/1 / = held\n"
			    "call h.example /x/1 / = routed\n" },
	{ "malformed-escape", "respond 10 a 1 4 h.example/%zz/ = changed\n"
			      "call h.example /x/1 /x/ = held\n"
			      "call i.example /x/1 /x/ = routed\n" },
	{ "all-routes", "respond 10 a 1 4 * = changed\n"
			"state 10 = quorum\n"
			"call h.example /x/1 /x/ = held\n" },
	{ "pending-copy", "respond 10 a 3 4 - c1 = changed\n"
			  "respond 20 b 3 4 - = changed\n"
			  "state 20 = quorum\n"
			  "copy c1 = held\n"
			  "copy c = routed\n"
			  "copy c11 = routed\n"
			  "copy c2 = routed\n"
			  "call h.example /x/1 /x/ = routed\n" },
	{ "no-copies", "respond 10 a 1 4 - = changed\n"
		       "copy c1 = routed\n" },
	{ "copy-until-the-keeper-has-none",
	  "respond 10 a 3 4 - c1,c2 = changed\n"
	  "respond 20 b 3 4 - = changed\n"
	  "respond 30 a 3 4 - c1,c2 = same\n"
	  "respond 40 a 3 5 - c2 = changed\n"
	  "copy c1 = routed\n"
	  "copy c2 = held\n"
	  "respond 50 a 3 6 - = changed\n"
	  "copy c2 = routed\n" },
	{ "copy-at-one-of-two", "respond 10 a 3 4 - c1 = changed\n"
				"respond 20 b 3 4 - c1 = changed\n"
				"respond 30 a 3 5 - = changed\n"
				"copy c1 = held\n" },
	{ "copy-after-the-time", "respond 10 a 3 4 - c1 = changed\n"
				 "state 5000 = timeout\n"
				 "copy c1 = held\n" },
	{ "copy-beside-an-earlier-release", "respond 10 a 3 4 - c1 = changed\n"
					    "respond 20 b - 4 - = changed\n"
					    "state 20 = release\n"
					    "copy c1 = held\n" },
	{ "escaped-copy", "respond 10 a 1 4 - a%2Cb%25 = changed\n"
			  "copy a,b% = held\n"
			  "copy a = routed\n"
			  "copy a%2Cb%25 = routed\n" },
	{ "empty-items", "respond 10 a 1 4 - ,c1,,c2, = changed\n"
			 "copy c1 = held\n"
			 "copy c2 = held\n"
			 "copy c3 = routed\n"
			 "call h.example /x/1 /x/ = routed\n" },
	{ "all-copies", "respond 10 a 1 4 - * = changed\n"
			"copy c1 = held\n"
			"call h.example /x/1 /x/ = held\n" },
	{ "malformed-copy", "respond 10 a 1 4 - c1,%zz = changed\n"
			    "copy c2 = held\n"
			    "call h.example /x/1 /x/ = held\n" },
	{ "truncated-escape", "respond 10 a 1 4 - c1,c% = changed\n"
			      "copy c2 = held\n"
			      "call h.example /x/1 /x/ = held\n" },
	{ "name-too-long",
	  "respond 10 a 1 4 - "
	  "c234567890123456789012345678901234567890123456789012345678901234"
	  " = changed\n"
	  "copy c2 = held\n"
	  "call h.example /x/1 /x/ = held\n" },
	{ "list-over-the-limit", "respond 10 a 1 4 - large = changed\n"
				 "copy other = held\n"
				 "call h.example /x/1 /x/ = held\n"
				 "respond 20 a 1 5 - c1 = changed\n"
				 "copy other = routed\n"
				 "call h.example /x/1 /x/ = routed\n" },
	{ "end-of-the-log-in-force",
	  "respond 10 a 3 4 h.example/x/ c1 0 10 8 = changed\n"
	  "call h.example /x/1 /x/ = held\n"
	  "copy c1 = held\n"
	  "respond 20 b 3 5 - - 0 10 10 = changed\n"
	  "call h.example /x/1 /x/ = routed\n"
	  "copy c1 = routed\n" },
	{ "end-of-the-log-in-force-before",
	  "respond 10 b 3 5 - - 0 10 10 = changed\n"
	  "respond 20 a 3 4 h.example/x/ c1 0 10 8 = changed\n"
	  "call h.example /x/1 /x/ = routed\n"
	  "copy c1 = routed\n" },
	{ "end-of-the-log-not-in-force",
	  "respond 10 a 3 4 h.example/x/ c1 0 10 8 = changed\n"
	  "respond 20 b 3 5 - - 0 9 9 = changed\n"
	  "call h.example /x/1 /x/ = held\n"
	  "copy c1 = held\n" },
	{ "all-in-force", "respond 10 a 3 4 * * 0 10 8 = changed\n"
			  "respond 20 b 3 5 - - 0 12 10 = changed\n"
			  "call h.example /x/1 /x/ = routed\n" },
	{ "end-of-the-log-not-stated",
	  "respond 10 a 3 4 h.example/x/ c1 0 - 0 = changed\n"
	  "respond 20 b 3 5 - - 0 99 99 = changed\n"
	  "call h.example /x/1 /x/ = held\n"
	  "copy c1 = held\n" },
	{ "end-of-the-log-grows",
	  "respond 10 b 3 5 - - 0 10 10 = changed\n"
	  "respond 20 a 3 4 h.example/x/ c1 0 10 8 = changed\n"
	  "respond 30 a 3 4 h.example/x/ c1 0 11 8 = changed\n"
	  "call h.example /x/1 /x/ = held\n"
	  "copy c1 = held\n"
	  "respond 40 a 3 4 h.example/x/ c1 0 11 8 = same\n"
	  "respond 50 b 3 5 - - 0 11 11 = changed\n"
	  "call h.example /x/1 /x/ = routed\n"
	  "copy c1 = routed\n" },
	{ "behind-does-not-count",
	  "respond 10 b 3 5 - - 0 10 10 = changed\n"
	  "respond 20 a 3 4 h.example/x/ c1 0 10 8 = changed\n"
	  "respond 30 b 3 5 - - 0 10 9 = same\n"
	  "call h.example /x/1 /x/ = routed\n" },
	{ "more-keepers-than-a-group-has",
	  "respond 1 a 7 4 - = changed\n"
	  "respond 1 b 7 4 - = changed\n"
	  "respond 1 c 7 4 - = changed\n"
	  "respond 1 d 0 4 - = changed\n"
	  "respond 1 e 0 4 - = changed\n"
	  "respond 1 f 0 4 - = changed\n"
	  "respond 1 g 0 4 - = changed\n"
	  "respond 1 h 7 4 * = same\n"
	  "state 1 = waiting\n"
	  "call h.example /x/1 /x/ = routed\n" },
};

static const char *const states[] = {
	[CONFIG_START_WAITING] = "waiting",
	[CONFIG_START_QUORUM] = "quorum",
	[CONFIG_START_RELEASE] = "release",
	[CONFIG_START_TIMEOUT] = "timeout",
};

/* Sets the list of copies of a response from the field of a command. */
static void read_copies(config_start_response_t *response, const char *field)
{
	char *large;
	size_t i;

	if (!strcmp(field, "-"))
		return;
	if (strcmp(field, "large") != 0) {
		config_start_read_copies(response, field);
		return;
	}
	large = g_strnfill(CONFIG_START_COPIES_MAX, 'c');
	for (i = 1; i < CONFIG_START_COPIES_MAX; i += 2)
		large[i] = ',';
	config_start_read_copies(response, large);
	g_free(large);
}

static const char *run_respond(config_start_t *start, char **fields)
{
	config_start_response_t response = { .voters = atoi(fields[3]),
					     .last = CONFIG_START_LAST_ABSENT };

	if (!strcmp(fields[3], "-"))
		response.voters = CONFIG_START_VOTERS_ABSENT;
	g_strlcpy(response.address, fields[2], sizeof(response.address));
	if (strcmp(fields[5], "-") != 0)
		g_strlcpy(response.routes, fields[5], sizeof(response.routes));
	if (fields[6] && strcmp(fields[6], "-") != 0)
		read_copies(&response, fields[6]);
	if (fields[6] && fields[7]) {
		response.group = strtoull(fields[7], NULL, 10);
		if (strcmp(fields[8], "-") != 0)
			response.last = strtoull(fields[8], NULL, 10);
		response.applied = strtoull(fields[9], NULL, 10);
	}
	return config_start_record(start, &response,
				   strtoull(fields[4], NULL, 10),
				   atoi(fields[1]) * USEC_PER_MS) ?
		       "changed" :
		       "same";
}

static const char *run_command(config_start_t *start, char **fields)
{
	if (!strcmp(fields[0], "respond"))
		return run_respond(start, fields);
	if (!strcmp(fields[0], "state"))
		return states[config_start_state(
			start, SERVE_AFTER, atoi(fields[1]) * USEC_PER_MS)];
	if (!strcmp(fields[0], "copy"))
		return config_start_copy_is_pending(start, fields[1]) ?
			       "held" :
			       "routed";
	g_assert_cmpstr(fields[0], ==, "call");
	return config_start_is_pending(start, fields[1], fields[2],
				       strlen(fields[3])) ?
		       "held" :
		       "routed";
}

static void run_case(gconstpointer data)
{
	const char *text = data;
	char **lines = g_strsplit(text, "\n", 0);
	config_start_t start = { 0 };
	unsigned i;

	for (i = 0; lines[i] && *lines[i]; i++) {
		char **sides = g_strsplit(lines[i], " = ", 2);
		char **fields = g_strsplit(sides[0], " ", FIELDS_MAX);

		g_test_message("%s", lines[i]);
		g_assert_cmpstr(run_command(&start, fields), ==, sides[1]);
		g_strfreev(fields);
		g_strfreev(sides);
	}
	g_strfreev(lines);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *path = g_strdup_printf("/config-start/%s", cases[i].name);

		g_test_add_data_func(path, cases[i].text, run_case);
		g_free(path);
	}
	return g_test_run();
}
