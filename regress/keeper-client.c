/*
 * A client of keepers for the regression tests. ADDRESS is the "ip:port" of a
 * keeper, BASE the revision that a change is made from, and WHERE the "ip:port"
 * of the voter to add or remove.
 *
 * usage: keeper-client [-t SECONDS] COMMAND ... ADDRESS...
 *
 * state		print the status of each keeper on one line
 * leader		wait for a leader that a quorum confirms, print its name
 * put ID NAME BASE	submit a change of profile NAME with change id ID, print
 *			the answer
 * outcome ID		print the answer of a change
 * fetch		print the newest revision at the first address
 * confirm		like fetch, only if a quorum confirms the revision
 * voter add|remove NAME WHERE	add or remove a voter
 * many PREFIX COUNT	submit COUNT changes of one profile one after another,
 *			then submit each again and compare the answers
 * race PREFIX COUNT	run COUNT rounds of two changes from the same revision
 * garbage KIND		send bytes that are not a valid RPC call: an HTTP
 *			request if KIND is "http", else a record whose length
 *			is too large
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "config.h"
#include "keeper.h"

#define CLIENT_CALL_MS 500
#define CLIENT_PAUSE_MS 10

static usec_t deadline;

static int client_connect(const char *address)
{
	struct sockaddr_storage storage;
	struct pollfd pfd;
	unsigned length;
	int fd, error = 0;
	socklen_t size = sizeof(error);

	if (hl_address_parse(address, &storage, &length))
		return -1;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (connect(fd, (struct sockaddr *)&storage, length) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	pfd = (struct pollfd){ .fd = fd, .events = POLLOUT };
	if (poll(&pfd, 1, CLIENT_CALL_MS) == 1 &&
	    !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) && !error) {
		fcntl(fd, F_SETFL, 0);
		return fd;
	}
	close(fd);
	return -1;
}

static CLIENT *client_open(const char *address)
{
	struct timeval timeout = { 0, CLIENT_CALL_MS * 1000 };
	struct sockaddr_storage storage;
	struct netbuf buffer = { .buf = &storage };
	CLIENT *client;
	int fd = client_connect(address);

	if (fd < 0 || hl_address_parse(address, &storage, &buffer.len))
		return NULL;
	buffer.maxlen = buffer.len;
	client = clnt_vc_create(fd, &buffer, HEMLOCK_KEEPER, HEMLOCK_KEEPER_V1,
				0, 0);
	clnt_control(client, CLSET_FD_CLOSE, NULL);
	clnt_control(client, CLSET_TIMEOUT, (char *)&timeout);
	return client;
}

static bool client_state(const char *address, keeper_state_res_t *res)
{
	CLIENT *client = client_open(address);
	bool ok;

	memset(res, 0, sizeof(*res));
	if (!client)
		return false;
	ok = keeper_state_1(res, client) == RPC_SUCCESS;
	clnt_destroy(client);
	return ok;
}

static void client_free_state(keeper_state_res_t *res)
{
	xdr_free((xdrproc_t)xdr_keeper_state_res_t, res);
}

static int cmd_state(char **args)
{
	for (; *args; args++) {
		keeper_state_res_t res;
		u_int i, voters = 0;

		if (!client_state(*args, &res)) {
			printf("unreachable\n");
			continue;
		}
		for (i = 0; i < res.members.members_len; i++)
			voters += res.members.members_val[i].voter != 0;
		printf("%s %s voters=%u commit=%" PRIu64 " last=%" PRIu64
		       " revision=%" PRIu64 " term=%" PRIu64
		       " incarnation=%" PRIx64 "\n",
		       res.name, res.role, voters, (uint64_t)res.commit_index,
		       (uint64_t)res.last_index, (uint64_t)res.revision,
		       (uint64_t)res.term, (uint64_t)res.incarnation);
		client_free_state(&res);
	}
	return 0;
}

static bool client_fetch(const char *address, bool confirmed,
			 keeper_fetch_res_t *res)
{
	keeper_fetch_args_t fetch = { .have = 0, .confirmed = confirmed };
	CLIENT *client = client_open(address);
	bool ok;

	memset(res, 0, sizeof(*res));
	if (!client)
		return false;
	ok = keeper_fetch_1(fetch, res, client) == RPC_SUCCESS;
	clnt_destroy(client);
	return ok;
}

static int cmd_leader(char **args)
{
	for (; time_now() < deadline; usleep(CLIENT_PAUSE_MS * 1000)) {
		char **address;

		for (address = args; *address; address++) {
			keeper_fetch_res_t res;
			keeper_state_res_t state = { 0 };
			bool found = client_fetch(*address, true, &res) &&
				     res.confirmed &&
				     client_state(*address, &state);

			if (found)
				printf("%s\n", state.name);
			xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, &res);
			client_free_state(&state);
			if (found)
				return 0;
		}
	}
	printf("no leader\n");
	return 1;
}

static int cmd_fetch(char **args, bool confirmed)
{
	keeper_fetch_res_t res;
	int rc;

	if (!client_fetch(args[0], confirmed, &res)) {
		printf("unreachable\n");
		return 1;
	}
	printf("status=%d confirmed=%d revision=%" PRIu64 "\n", res.status,
	       res.confirmed, (uint64_t)res.revision);
	rc = res.status == KEEPER_OK ? 0 : 1;
	xdr_free((xdrproc_t)xdr_keeper_fetch_res_t, &res);
	return rc;
}

/* The parts of an answer that a repeated submission must return again. */
typedef struct {
	config_verdict_t verdict;
	uint64_t revision;
	char winner[HL_NAME_MAX];
} verdict_t;

static bool verdict_equal(const verdict_t *a, const verdict_t *b)
{
	return a->verdict == b->verdict && a->revision == b->revision &&
	       !strcmp(a->winner, b->winner);
}

static int client_print(const char *id, const keeper_submit_res_t *res)
{
	static const char *const verdicts[] = { "accepted", "conflict",
						"refused" };

	printf("%s %s revision=%" PRIu64 "%s%s\n", id,
	       verdicts[res->answer.verdict], (uint64_t)res->answer.revision,
	       *res->answer.winner ? " winner=" : "", res->answer.winner);
	return res->answer.verdict == CONFIG_ACCEPTED ? 0 : 1;
}

/* Submit a change to one keeper, or look up its answer if @change is NULL.
 * Return -1 if the keeper has no final answer, else the exit status. */
static int client_query(char *id, config_change_t *change, const char *address)
{
	CLIENT *client = client_open(address);
	keeper_submit_res_t res = { 0 };
	enum clnt_stat stat;
	int rc = -1;

	if (!client)
		return -1;
	stat = change ? keeper_submit_1(*change, &res, client) :
			keeper_outcome_1(id, &res, client);
	clnt_destroy(client);
	if (stat == RPC_SUCCESS && res.status == KEEPER_OK)
		rc = client_print(id, &res);
	if (stat == RPC_SUCCESS && res.status == KEEPER_UNKNOWN) {
		printf("%s unknown\n", id);
		rc = 1;
	}
	xdr_free((xdrproc_t)xdr_keeper_submit_res_t, &res);
	return rc;
}

/* Query all keepers in turn until one has the answer. */
static int client_query_all(char *id, config_change_t *change, char **args)
{
	for (; time_now() < deadline; usleep(CLIENT_PAUSE_MS * 1000)) {
		char **address;

		for (address = args; *address; address++) {
			int rc = client_query(id, change, *address);

			if (rc >= 0)
				return rc;
		}
	}
	printf("%s no answer\n", id);
	return 1;
}

/* A change that declares one profile, and the values that it points to. */
typedef struct {
	config_change_t change;
	config_item_t item;
	config_class_t class_all;
} profile_change_t;

static config_change_t *profile_change_make(profile_change_t *profile_change,
					    char *id, char *name, uint64_t base)
{
	config_profile_t *profile =
		&profile_change->item.body.config_body_t_u.profile;

	memset(profile_change, 0, sizeof(*profile_change));
	profile_change->class_all.name = "all";
	profile_change->item.base = base;
	profile_change->item.body.kind = CONFIG_PUT_PROFILE;
	config_profile_set_defaults(profile);
	profile->name = name;
	profile->classes.classes_val = &profile_change->class_all;
	profile->classes.classes_len = 1;
	profile_change->change.id = id;
	profile_change->change.author = "regress";
	profile_change->change.items.items_val = &profile_change->item;
	profile_change->change.items.items_len = 1;
	return &profile_change->change;
}

static int cmd_put(char **args)
{
	profile_change_t profile_change;

	return client_query_all(
		args[0],
		profile_change_make(&profile_change, args[0], args[1],
				    strtoull(args[2], NULL, 10)),
		args + 3);
}

/* Submit a change to one keeper. Return true if the keeper returns the final
 * answer. The connection stays open. */
static bool client_submit(CLIENT **client, const char *address,
			  config_change_t *change, verdict_t *verdict)
{
	keeper_submit_res_t res = { 0 };
	bool done = false;

	if (!*client)
		*client = client_open(address);
	if (!*client)
		return false;
	if (keeper_submit_1(*change, &res, *client) != RPC_SUCCESS) {
		clnt_destroy(*client);
		*client = NULL;
	} else if (res.status == KEEPER_OK) {
		verdict->verdict = res.answer.verdict;
		verdict->revision = res.answer.revision;
		strcpy(verdict->winner, res.answer.winner);
		done = true;
	}
	xdr_free((xdrproc_t)xdr_keeper_submit_res_t, &res);
	return done;
}

/* Connections to all keepers. */
typedef struct {
	char **addresses;
	CLIENT *clients[KEEPER_VOTERS_MAX];
} keepers_t;

static void keepers_close(keepers_t *keepers)
{
	unsigned i;

	for (i = 0; i < KEEPER_VOTERS_MAX; i++)
		if (keepers->clients[i])
			clnt_destroy(keepers->clients[i]);
}

/* Submit a change to all keepers in turn until one has its answer. */
static bool keepers_submit(keepers_t *keepers, config_change_t *change,
			   verdict_t *verdict)
{
	unsigned i;

	for (; time_now() < deadline; usleep(1000))
		for (i = 0; keepers->addresses[i]; i++)
			if (client_submit(&keepers->clients[i],
					  keepers->addresses[i], change,
					  verdict))
				return true;
	return false;
}

static int cmd_many(char **args)
{
	keepers_t keepers = { .addresses = args + 2 };
	int count = atoi(args[1]), i, accepted = 0, same = 0;
	verdict_t *first = calloc((size_t)count, sizeof(*first)), again;
	uint64_t *bases = calloc((size_t)count, sizeof(*bases)), last = 0;
	char id[HL_NAME_MAX];
	bool increasing = true;
	profile_change_t profile_change;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "%s-%d", args[0], i);
		bases[i] = last;
		if (!keepers_submit(&keepers,
				    profile_change_make(&profile_change, id,
							args[0], last),
				    &first[i]))
			break;
		increasing = increasing && first[i].revision > last;
		last = first[i].revision;
		accepted += first[i].verdict == CONFIG_ACCEPTED;
	}
	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "%s-%d", args[0], i);
		memset(&again, 0, sizeof(again));
		if (!keepers_submit(&keepers,
				    profile_change_make(&profile_change, id,
							args[0], bases[i]),
				    &again))
			break;
		same += verdict_equal(&again, &first[i]);
	}
	keepers_close(&keepers);
	free(first);
	free(bases);
	printf("%s accepted=%d same=%d rising=%d\n", args[0], accepted, same,
	       increasing);
	return accepted == count && same == count ? 0 : 1;
}

/* Submit two changes that start from the same revision: one must be accepted,
 * and the other must get a conflict that names the accepted one. */
static bool race_round(keepers_t *keepers, char *name, int number,
		       uint64_t *base)
{
	verdict_t verdicts[2] = { 0 }, ignored;
	char ids[2][HL_NAME_MAX];
	profile_change_t profile_changes[2];
	int winner, i;

	for (i = 0; i < 2; i++) {
		snprintf(ids[i], sizeof(ids[i]), "%s-%d-%c", name, number,
			 'a' + i);
		profile_change_make(&profile_changes[i], ids[i], name, *base);
	}
	/* Both are submitted before either has an answer. */
	for (i = 0; keepers->addresses[i]; i++) {
		client_submit(&keepers->clients[i], keepers->addresses[i],
			      &profile_changes[number % 2].change, &ignored);
		client_submit(&keepers->clients[i], keepers->addresses[i],
			      &profile_changes[1 - number % 2].change,
			      &ignored);
	}
	for (i = 0; i < 2; i++)
		if (!keepers_submit(keepers, &profile_changes[i].change,
				    &verdicts[i]))
			return false;
	winner = verdicts[0].verdict == CONFIG_ACCEPTED ? 0 : 1;
	*base = verdicts[winner].revision;
	return verdicts[winner].verdict == CONFIG_ACCEPTED &&
	       verdicts[1 - winner].verdict == CONFIG_CONFLICT &&
	       !strcmp(verdicts[1 - winner].winner, ids[winner]);
}

static int cmd_race(char **args)
{
	keepers_t keepers = { .addresses = args + 2 };
	int count = atoi(args[1]), i, one_winner = 0;
	uint64_t base = 0;

	for (i = 0; i < count; i++)
		one_winner += race_round(&keepers, args[0], i, &base);
	keepers_close(&keepers);
	printf("%s rounds=%d one-winner=%d\n", args[0], count, one_winner);
	return one_winner == count ? 0 : 1;
}

static int cmd_voter(char **args)
{
	keeper_voter_args_t voter = { .add = !strcmp(args[0], "add"),
				      .name = args[1],
				      .address = args[2] };
	char **address;

	for (; time_now() < deadline; usleep(CLIENT_PAUSE_MS * 1000))
		for (address = args + 3; *address; address++) {
			CLIENT *client = client_open(*address);
			keeper_submit_res_t res = { 0 };
			enum clnt_stat stat;

			if (!client)
				continue;
			stat = keeper_voter_1(voter, &res, client);
			clnt_destroy(client);
			xdr_free((xdrproc_t)xdr_keeper_submit_res_t, &res);
			if (stat == RPC_SUCCESS && res.status == KEEPER_OK) {
				printf("done\n");
				return 0;
			}
		}
	printf("not done\n");
	return 1;
}

static int cmd_garbage(char **args)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: bay-desk\r\n\r\n";
	static const unsigned char huge[] = { 0xff, 0xff, 0xff, 0xff, 1, 2 };
	bool http = !strcmp(args[0], "http");
	int fd = client_connect(args[1]);
	char byte;

	if (fd < 0)
		return 1;
	if (write(fd, http ? (const void *)text : huge,
		  http ? sizeof(text) - 1 : sizeof(huge)) < 0)
		return 1;
	shutdown(fd, SHUT_WR);
	while (read(fd, &byte, 1) > 0)
		continue;
	close(fd);
	printf("closed\n");
	return 0;
}

int main(int argc, char **argv)
{
	usec_t seconds = 20;

	if (argc > 2 && !strcmp(argv[1], "-t")) {
		seconds = atoi(argv[2]);
		argv += 2;
		argc -= 2;
	}
	deadline = time_now() + seconds * USEC_PER_SEC;
	if (argc < 3)
		return 2;
	if (!strcmp(argv[1], "state"))
		return cmd_state(argv + 2);
	if (!strcmp(argv[1], "leader"))
		return cmd_leader(argv + 2);
	if (!strcmp(argv[1], "fetch"))
		return cmd_fetch(argv + 2, false);
	if (!strcmp(argv[1], "confirm"))
		return cmd_fetch(argv + 2, true);
	if (!strcmp(argv[1], "outcome"))
		return client_query_all(argv[2], NULL, argv + 3);
	if (!strcmp(argv[1], "put") && argc > 5)
		return cmd_put(argv + 2);
	if (!strcmp(argv[1], "voter") && argc > 5)
		return cmd_voter(argv + 2);
	if (!strcmp(argv[1], "many") && argc > 4)
		return cmd_many(argv + 2);
	if (!strcmp(argv[1], "race") && argc > 4)
		return cmd_race(argv + 2);
	if (!strcmp(argv[1], "garbage") && argc > 3)
		return cmd_garbage(argv + 2);
	return 2;
}
