#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "config-node.h"
#include <rpc/rpc_com.h>

/* A question with its report is far below this. */
#define CONFIG_SERVE_RECORD_MAX 65536
#define CONFIG_SERVE_BACKLOG 256
/* How often the thread looks at its stop flag. */
#define CONFIG_SERVE_POLL_MS 50

/* libtirpc's server side has global tables and no context pointer. */
static config_follow_t *config_serve_follow;

extern void hemlock_follow_1(struct svc_req *request, SVCXPRT *transport);

/* The deltas after @have, or the whole; the lock is held. */
static bool config_serve_body(const config_follow_t *follow, uint64_t have,
			      keeper_fetch_body_t *body)
{
	config_delta_t *deltas = calloc(KEEPER_DELTAS_MAX, sizeof(*deltas));
	int count;

	if (!deltas)
		return false;
	count = config_tail_copy(&follow->tail, follow->revision, have, deltas,
				 KEEPER_DELTAS_MAX);
	if (count >= 0) {
		body->whole = FALSE;
		body->keeper_fetch_body_t_u.deltas.deltas_val = deltas;
		body->keeper_fetch_body_t_u.deltas.deltas_len = count;
		return true;
	}
	free(deltas);
	body->whole = TRUE;
	return !config_copy((xdrproc_t)xdr_config_t, follow->config,
			    &body->keeper_fetch_body_t_u.config,
			    sizeof(config_t));
}

bool_t follow_fetch_1_svc(follow_fetch_args_t args, follow_fetch_res_t *res,
			  struct svc_req *request)
{
	config_follow_t *follow = config_serve_follow;
	usec_t now = time_now();
	bool ok = true;

	(void)request;
	memset(res, 0, sizeof(*res));
	pthread_mutex_lock(&follow->lock);
	config_report_note(&follow->report, &args, now);
	if (follow->ready) {
		res->age_ms = (u_int)((now - follow->fresh_at) / USEC_PER_MS);
		ok = config_serve_body(follow, args.have, &res->body);
	} else {
		res->status = FOLLOW_NOT_READY;
	}
	pthread_mutex_unlock(&follow->lock);
	return ok;
}

int hemlock_follow_1_freeresult(SVCXPRT *transport, xdrproc_t proc,
				caddr_t result)
{
	(void)transport;
	xdr_free(proc, result);
	return 1;
}

static int config_serve_listen(const char *address, hl_error_t *err)
{
	struct sockaddr_storage storage;
	unsigned length;
	int one = 1;
	int fd;

	if (hl_address_parse(address, &storage, &length))
		return hl_error_set(err, HL_ERR_SETTINGS,
				    "%s is no address; mend node.address and "
				    "node.rpc_port",
				    address);
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&storage, length) &&
	    !listen(fd, CONFIG_SERVE_BACKLOG))
		return fd;
fail:
	hl_error_set(err, HL_ERR_IO,
		     "cannot listen on %s: %s; stop what uses the port or mend "
		     "node.address and node.rpc_port",
		     address, strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int config_serve_open(config_follow_t *follow, hl_error_t *err)
{
	int record_max = CONFIG_SERVE_RECORD_MAX;
	int fd;

	if (config_serve_follow)
		return hl_error_set(err, HL_ERR_LIMIT,
				    "a process has one follower; free the "
				    "other first");
	fd = config_serve_listen(follow->rpc_address, err);
	if (fd < 0)
		return -1;
	/* With a bound the server does not wait inside of a slow record. */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &record_max);
	follow->listener = svc_vc_create(fd, 0, 0);
	if (!follow->listener ||
	    !svc_reg(follow->listener, HEMLOCK_FOLLOW, HEMLOCK_FOLLOW_V1,
		     hemlock_follow_1, NULL)) {
		close(fd);
		return hl_error_set(err, HL_ERR_LIMIT,
				    "cannot start the RPC server on %s; raise "
				    "the limit on open files",
				    follow->rpc_address);
	}
	config_serve_follow = follow;
	return 0;
}

void config_serve_close(config_follow_t *follow)
{
	if (config_serve_follow != follow)
		return;
	svc_unreg(HEMLOCK_FOLLOW, HEMLOCK_FOLLOW_V1);
	svc_destroy(follow->listener);
	config_serve_follow = NULL;
}

int config_serve_run(void *context, const volatile int *stop)
{
	struct pollfd *fds = NULL, *grown;
	int count, i;

	(void)context;
	while (!__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		count = svc_max_pollfd;
		grown = realloc(fds, (count + 1) * sizeof(*fds));
		if (!grown)
			break;
		fds = grown;
		memcpy(fds, svc_pollfd, count * sizeof(*fds));
		if (poll(fds, count, CONFIG_SERVE_POLL_MS) <= 0)
			continue;
		for (i = 0; i < count; i++)
			if (fds[i].fd >= 0 && fds[i].revents)
				svc_getreq_common(fds[i].fd);
	}
	free(fds);
	return 0;
}
