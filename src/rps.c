#include "rps.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <arpa/inet.h>

#include "snp.h"

enum {
	BACKLOG = 128,
	TAIL_BYTES = LIM_RPC_BYTES / 2,
	/* A transfer of chunks may go on this long with the same snapshot. */
	SNAPSHOT_KEEP_MS = 5000
};

struct rps {
	struct evl *evl;
	struct rps_config config;
	SVCXPRT *transport;
	char *snapshot;
	size_t snapshot_len;
	int64_t snapshot_next;
	int64_t snapshot_ms;
};

/* Exported by libtirpc, but declared in none of its headers. */
bool_t rpc_control(int what, void *value);

/* The RPC library calls back without an argument of ours. */
static struct rps *server;

union call_arg {
	prt_hello hello;
	prt_tail_arg tail;
	prt_chunk_arg chunk;
	prt_hosts_arg hosts;
};

union call_result {
	prt_status status;
	prt_tail tail;
	prt_chunk chunk;
	prt_hosts hosts;
};

static void call_status(const union call_arg *arg, union call_result *result)
{
	server->config.status(server->config.arg, &arg->hello, &result->status);
}

static void call_tail(const union call_arg *arg, union call_result *result)
{
	static prt_record rows[PRT_TAIL_MAX];
	const struct rpl_record *records[PRT_TAIL_MAX];
	const struct rpl *rpl = server->config.rpl;
	prt_tail *tail = &result->tail;
	int count = rpl_tail(rpl, arg->tail.from, PRT_TAIL_MAX, records);
	size_t bytes = 0;
	int sent = 0;

	tail->gone = count < 0 || !rpl_ready(rpl);
	tail->next = rpl_next(rpl);
	if (tail->gone)
		return;
	while (sent < count && sent < arg->tail.max &&
	       (sent == 0 || bytes + records[sent]->len < TAIL_BYTES)) {
		bytes += records[sent]->len;
		rows[sent].offset = records[sent]->offset;
		rows[sent].data.data_val = records[sent]->data;
		rows[sent].data.data_len = (u_int)records[sent]->len;
		sent++;
	}
	tail->records.records_val = rows;
	tail->records.records_len = (u_int)sent;
	if (sent && (sent < count || count == PRT_TAIL_MAX))
		tail->next = records[sent - 1]->offset + 1;
}

static void renew_snapshot(struct rps *rps)
{
	int64_t now_ms = clk_now_ms(evl_clk(rps->evl));

	if (rps->snapshot && now_ms - rps->snapshot_ms < SNAPSHOT_KEEP_MS)
		return;
	free(rps->snapshot);
	rps->snapshot =
		snp_encode(rpl_state(rps->config.rpl), &rps->snapshot_len);
	rps->snapshot_next = rpl_next(rps->config.rpl);
	rps->snapshot_ms = now_ms;
}

static void call_snapshot(const union call_arg *arg, union call_result *result)
{
	const prt_chunk_arg *want = &arg->chunk;
	prt_chunk *chunk = &result->chunk;
	struct rps *rps = server;
	size_t left;

	chunk->gone = TRUE;
	if (!rpl_ready(rps->config.rpl))
		return;
	if (want->next == 0)
		renew_snapshot(rps);
	if (!rps->snapshot || want->position < 0 ||
	    (want->next && want->next != rps->snapshot_next) ||
	    (uint64_t)want->position > rps->snapshot_len)
		return;
	left = rps->snapshot_len - (size_t)want->position;
	chunk->gone = FALSE;
	chunk->next = rps->snapshot_next;
	chunk->length = (quad_t)rps->snapshot_len;
	chunk->data.data_val = rps->snapshot + want->position;
	chunk->data.data_len =
		(u_int)(left < PRT_CHUNK_MAX ? left : PRT_CHUNK_MAX);
}

static void call_hosts(const union call_arg *arg, union call_result *result)
{
	prt_hosts *hosts = &result->hosts;

	server->config.hosts(server->config.arg, hosts);
	if (hosts->list_version == arg->hosts.list_version)
		hosts->hosts.hosts_len = 0;
}

struct procedure {
	xdrproc_t arg;
	xdrproc_t result;
	void (*fn)(const union call_arg *arg, union call_result *result);
};

static const struct procedure procedures[] = {
	[PRT_STATUS] = { (xdrproc_t)xdr_prt_hello, (xdrproc_t)xdr_prt_status,
			 call_status },
	[PRT_TAIL] = { (xdrproc_t)xdr_prt_tail_arg, (xdrproc_t)xdr_prt_tail,
		       call_tail },
	[PRT_SNAPSHOT] = { (xdrproc_t)xdr_prt_chunk_arg,
			   (xdrproc_t)xdr_prt_chunk, call_snapshot },
	[PRT_HOSTS] = { (xdrproc_t)xdr_prt_hosts_arg, (xdrproc_t)xdr_prt_hosts,
			call_hosts },
};

static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
	const struct procedure *procedure;
	union call_result result;
	union call_arg arg;

	if (request->rq_proc == PRT_NULL) {
		svc_sendreply(transport, (xdrproc_t)(void *)xdr_void, NULL);
		return;
	}
	if (request->rq_proc > PRT_HOSTS) {
		server->config.refused(server->config.arg);
		svcerr_noproc(transport);
		return;
	}
	procedure = &procedures[request->rq_proc];
	memset(&arg, 0, sizeof(arg));
	memset(&result, 0, sizeof(result));
	if (!svc_getargs(transport, procedure->arg, (caddr_t)&arg)) {
		server->config.refused(server->config.arg);
		svcerr_decode(transport);
	} else {
		procedure->fn(&arg, &result);
		if (!svc_sendreply(transport, procedure->result,
				   (caddr_t)&result))
			svcerr_systemerr(transport);
	}
	/* Also frees what was decoded before a fault. */
	svc_freeargs(transport, procedure->arg, (caddr_t)&arg);
}

static unsigned int fill_fds(void *arg, struct curl_waitfd *fds,
			     unsigned int max)
{
	unsigned int count = 0;

	(void)arg;
	for (int i = 0; i < svc_max_pollfd && count < max; i++) {
		if (svc_pollfd[i].fd < 0)
			continue;
		fds[count++] = (struct curl_waitfd){
			.fd = svc_pollfd[i].fd,
			.events = CURL_WAIT_POLLIN,
		};
	}
	return count;
}

static void serve_fds(void *arg, const struct curl_waitfd *fds,
		      unsigned int count)
{
	(void)arg;
	for (unsigned int i = 0; i < count; i++)
		if (fds[i].revents)
			svc_getreq_common(fds[i].fd);
}

static int listen_on(const char *address, uint16_t port)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, address, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(fd, BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

struct rps *rps_create(struct evl *evl, const struct rps_config *config,
		       struct err *err)
{
	/* Setting it also makes connections non-blocking, so that a message
	   sent by halves cannot hold up the loop. */
	int max_message = LIM_RPC_BYTES;
	struct evl_source source = { .fill = fill_fds, .ready = serve_fds };
	struct rps *rps = calloc(1, sizeof(*rps));
	int fd = listen_on(config->address, config->port);

	if (!rps || fd < 0) {
		err_set(err, ERR_IO, "cannot listen on %s:%u: %s",
			config->address, config->port, strerror(errno));
		free(rps);
		return NULL;
	}
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max_message);
	rps->evl = evl;
	rps->config = *config;
	server = rps;
	rps->transport = svc_vc_create(fd, LIM_RPC_BYTES, LIM_RPC_BYTES);
	if (!rps->transport ||
	    !svc_reg(rps->transport, PRT_FLEET, PRT_V1, dispatch, NULL)) {
		err_set(err, ERR_IO, "cannot register the RPC program");
		rps_destroy(rps);
		return NULL;
	}
	evl_add_source(evl, &source);
	return rps;
}

void rps_destroy(struct rps *rps)
{
	if (!rps)
		return;
	if (rps->transport) {
		svc_unreg(PRT_FLEET, PRT_V1);
		svc_destroy(rps->transport);
	}
	free(rps->snapshot);
	free(rps);
	server = NULL;
}
