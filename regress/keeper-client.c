/*
 * usage: keeper-client [-t SECONDS] COMMAND ... ADDRESS...
 *
 * state		one line for each keeper: name role voters commit
 * leader		the name of the keeper that leads with a quorum behind it
 * put ID NAME BASE	declare a profile; asks all until one has the answer
 * outcome ID		the answer of a change
 * fetch		newest revision and profiles of the first address
 * confirm		the same as a quorum confirms it
 * voter add|remove NAME WHERE	change the voters
 * many PREFIX COUNT	so many changes of one profile one after the other; then
 *			ask for each again: the answers must be the first ones
 * race PREFIX COUNT	so many rounds of two changes from the same revision
 * garbage KIND		send what is no call of ours
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

static usec_t give_up;

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
	for (; time_now() < give_up; usleep(CLIENT_PAUSE_MS * 1000)) {
		char **at;

		for (at = args; *at; at++) {
			keeper_fetch_res_t res;
			keeper_state_res_t state = { 0 };
			bool found = client_fetch(*at, true, &res) &&
				     res.confirmed && client_state(*at, &state);

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

/* An answer without its texts. */
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

/* Ask one keeper; -1 if it has no final answer, else the exit status. */
static int client_ask(char *id, config_change_t *change, const char *address)
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

/* Try every keeper until one has the answer. */
static int client_settle(char *id, config_change_t *change, char **args)
{
	for (; time_now() < give_up; usleep(CLIENT_PAUSE_MS * 1000)) {
		char **at;

		for (at = args; *at; at++) {
			int rc = client_ask(id, change, *at);

			if (rc >= 0)
				return rc;
		}
	}
	printf("%s no answer\n", id);
	return 1;
}

/* The parts of a change that declares one profile. */
typedef struct {
	config_change_t change;
	config_item_t item;
	config_class_t class_all;
} put_t;

static config_change_t *put_make(put_t *put, char *id, char *name,
				 uint64_t base)
{
	config_profile_t *profile = &put->item.body.config_body_t_u.profile;

	memset(put, 0, sizeof(*put));
	put->class_all.name = "all";
	put->item.base = base;
	put->item.body.kind = CONFIG_PUT_PROFILE;
	config_profile_preset(profile);
	profile->name = name;
	profile->classes.classes_val = &put->class_all;
	profile->classes.classes_len = 1;
	put->change.id = id;
	put->change.author = "regress";
	put->change.items.items_val = &put->item;
	put->change.items.items_len = 1;
	return &put->change;
}

static int cmd_put(char **args)
{
	put_t put;

	return client_settle(args[0],
			     put_make(&put, args[0], args[1],
				      strtoull(args[2], NULL, 10)),
			     args + 3);
}

/* Ask @address once; true with an answer. The connection is kept. */
static bool client_try(CLIENT **client, const char *address,
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
} all_t;

static void all_close(all_t *all)
{
	unsigned i;

	for (i = 0; i < KEEPER_VOTERS_MAX; i++)
		if (all->clients[i])
			clnt_destroy(all->clients[i]);
}

/* Send a change again and again until one keeper has its answer. */
static bool all_settle(all_t *all, config_change_t *change, verdict_t *verdict)
{
	unsigned i;

	for (; time_now() < give_up; usleep(1000))
		for (i = 0; all->addresses[i]; i++)
			if (client_try(&all->clients[i], all->addresses[i],
				       change, verdict))
				return true;
	return false;
}

static int cmd_many(char **args)
{
	all_t all = { .addresses = args + 2 };
	int count = atoi(args[1]), i, accepted = 0, same = 0;
	verdict_t *first = calloc((size_t)count, sizeof(*first)), again;
	uint64_t *bases = calloc((size_t)count, sizeof(*bases)), last = 0;
	char id[HL_NAME_MAX];
	bool rising = true;
	put_t put;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "%s-%d", args[0], i);
		bases[i] = last;
		if (!all_settle(&all, put_make(&put, id, args[0], last),
				&first[i]))
			break;
		rising = rising && first[i].revision > last;
		last = first[i].revision;
		accepted += first[i].verdict == CONFIG_ACCEPTED;
	}
	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "%s-%d", args[0], i);
		memset(&again, 0, sizeof(again));
		if (!all_settle(&all, put_make(&put, id, args[0], bases[i]),
				&again))
			break;
		same += verdict_equal(&again, &first[i]);
	}
	all_close(&all);
	free(first);
	free(bases);
	printf("%s accepted=%d same=%d rising=%d\n", args[0], accepted, same,
	       rising);
	return accepted == count && same == count ? 0 : 1;
}

/* Two operators hold the same revision: one wins, the other is told so. */
static bool race_round(all_t *all, char *name, int number, uint64_t *base)
{
	verdict_t verdicts[2] = { 0 }, dummy;
	char ids[2][HL_NAME_MAX];
	put_t puts[2];
	int winner, i;

	for (i = 0; i < 2; i++) {
		snprintf(ids[i], sizeof(ids[i]), "%s-%d-%c", name, number,
			 'a' + i);
		put_make(&puts[i], ids[i], name, *base);
	}
	/* Both are under way before either is answered. */
	for (i = 0; all->addresses[i]; i++) {
		client_try(&all->clients[i], all->addresses[i],
			   &puts[number % 2].change, &dummy);
		client_try(&all->clients[i], all->addresses[i],
			   &puts[1 - number % 2].change, &dummy);
	}
	for (i = 0; i < 2; i++)
		if (!all_settle(all, &puts[i].change, &verdicts[i]))
			return false;
	winner = verdicts[0].verdict == CONFIG_ACCEPTED ? 0 : 1;
	*base = verdicts[winner].revision;
	return verdicts[winner].verdict == CONFIG_ACCEPTED &&
	       verdicts[1 - winner].verdict == CONFIG_CONFLICT &&
	       !strcmp(verdicts[1 - winner].winner, ids[winner]);
}

static int cmd_race(char **args)
{
	all_t all = { .addresses = args + 2 };
	int count = atoi(args[1]), i, fair = 0;
	uint64_t base = 0;

	for (i = 0; i < count; i++)
		fair += race_round(&all, args[0], i, &base);
	all_close(&all);
	printf("%s rounds=%d one-winner=%d\n", args[0], count, fair);
	return fair == count ? 0 : 1;
}

static int cmd_voter(char **args)
{
	keeper_voter_args_t voter = { .add = !strcmp(args[0], "add"),
				      .name = args[1],
				      .address = args[2] };
	char **at;

	for (; time_now() < give_up; usleep(CLIENT_PAUSE_MS * 1000))
		for (at = args + 3; *at; at++) {
			CLIENT *client = client_open(*at);
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
	give_up = time_now() + seconds * USEC_PER_SEC;
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
		return client_settle(argv[2], NULL, argv + 3);
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
