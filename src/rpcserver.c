#include "rpcserver.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <arpa/inet.h>

#include "jcursor.h"
#include "fleet_text.h"
#include "tcp.h"

enum {
	BACKLOG = 128,
	TAIL_BYTES = LIMIT_RPC_BYTES / 2,
	/* A transfer of chunks may go on this long with the same snapshot. */
	SNAPSHOT_KEEP_MS = 5000,
	SNAPSHOT_IDLE_MS = 1000,
	SWEEP_MS = 1000
};

/* A connection, by its descriptor, to notice input that was no call. */
struct link {
	uint64_t done_bytes; /* received up to the end of the last message */
	int64_t since_ms;    /* when a message that is not whole yet was seen */
};

struct rpcserver {
	struct evloop *evloop;
	struct rpcserver_config config;
	SVCXPRT *transport;
	int listener;
	bool dispatched; /* the library handed a call over */
	uint32_t link_count;
	struct link *links;
	char *snapshot;
	size_t snapshot_len;
	int64_t snapshot_next;
	int64_t snapshot_ms;
	int64_t snapshot_used_ms;
};

/* Exported by libtirpc, but declared in none of its headers. */
bool_t rpc_control(int what, void *value);

/* The RPC library calls back without an argument of ours. */
static struct rpcserver *server;

union call_arg {
	proto_hello hello;
	proto_tail_arg tail;
	proto_chunk_arg chunk;
	proto_hosts_arg hosts;
};

union call_result {
	proto_status status;
	proto_tail tail;
	proto_chunk chunk;
	proto_hosts hosts;
};

static void call_status(const union call_arg *arg, union call_result *result)
{
	server->config.status(server->config.arg, &arg->hello, &result->status);
}

static void call_tail(const union call_arg *arg, union call_result *result)
{
	static proto_record rows[PROTO_TAIL_MAX];
	const struct replica_record *records[PROTO_TAIL_MAX];
	const struct replica *replica = server->config.replica;
	proto_tail *tail = &result->tail;
	int count =
		replica_tail(replica, arg->tail.from, PROTO_TAIL_MAX, records);
	size_t bytes = 0;
	int sent = 0;

	tail->gone = count < 0 || !replica_ready(replica);
	tail->next = replica_next(replica);
	if (tail->gone)
		return;
	while (sent < count && sent < arg->tail.max &&
	       (sent == 0 || bytes + records[sent]->len < TAIL_BYTES)) {
		bytes += records[sent]->len;
		rows[sent].offset = records[sent]->offset;
		rows[sent].data.data_val = records[sent]->data;
		rows[sent].data.data_len = (u_int)records[sent]->len;
		/* One that is too long is invalid for everybody. It goes out
		   empty, which is invalid too, as the call would fail. */
		if (records[sent]->len > PROTO_RECORD_MAX)
			rows[sent].data.data_len = 0;
		sent++;
	}
	tail->records.records_val = rows;
	tail->records.records_len = (u_int)sent;
	if (sent && (sent < count || count == PROTO_TAIL_MAX))
		tail->next = records[sent - 1]->offset + 1;
}

static void renew_snapshot(struct rpcserver *rpcserver)
{
	int64_t now_ms = clk_now_ms(evloop_clk(rpcserver->evloop));

	/* A new snapshot would end the transfers that are under way. */
	if (rpcserver->snapshot &&
	    (now_ms - rpcserver->snapshot_ms < SNAPSHOT_KEEP_MS ||
	     now_ms - rpcserver->snapshot_used_ms < SNAPSHOT_IDLE_MS) &&
	    replica_tail(rpcserver->config.replica, rpcserver->snapshot_next, 0,
			 NULL) >= 0)
		return;
	free(rpcserver->snapshot);
	rpcserver->snapshot =
		fleet_text_encode(replica_state(rpcserver->config.replica),
				  &rpcserver->snapshot_len);
	rpcserver->snapshot_next = replica_next(rpcserver->config.replica);
	rpcserver->snapshot_ms = now_ms;
}

static void call_snapshot(const union call_arg *arg, union call_result *result)
{
	const proto_chunk_arg *want = &arg->chunk;
	proto_chunk *chunk = &result->chunk;
	struct rpcserver *rpcserver = server;
	size_t left;

	chunk->gone = TRUE;
	if (!replica_ready(rpcserver->config.replica))
		return;
	if (want->next == 0)
		renew_snapshot(rpcserver);
	if (!rpcserver->snapshot || want->position < 0 ||
	    (want->next && want->next != rpcserver->snapshot_next) ||
	    (uint64_t)want->position > rpcserver->snapshot_len)
		return;
	left = rpcserver->snapshot_len - (size_t)want->position;
	rpcserver->snapshot_used_ms = clk_now_ms(evloop_clk(rpcserver->evloop));
	chunk->gone = FALSE;
	chunk->next = rpcserver->snapshot_next;
	chunk->length = (quad_t)rpcserver->snapshot_len;
	chunk->data.data_val = rpcserver->snapshot + want->position;
	chunk->data.data_len =
		(u_int)(left < PROTO_CHUNK_MAX ? left : PROTO_CHUNK_MAX);
}

static void call_hosts(const union call_arg *arg, union call_result *result)
{
	proto_hosts *hosts = &result->hosts;

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
	[PROTO_STATUS] = { (xdrproc_t)xdr_proto_hello,
			   (xdrproc_t)xdr_proto_status, call_status },
	[PROTO_TAIL] = { (xdrproc_t)xdr_proto_tail_arg,
			 (xdrproc_t)xdr_proto_tail, call_tail },
	[PROTO_SNAPSHOT] = { (xdrproc_t)xdr_proto_chunk_arg,
			     (xdrproc_t)xdr_proto_chunk, call_snapshot },
	[PROTO_HOSTS] = { (xdrproc_t)xdr_proto_hosts_arg,
			  (xdrproc_t)xdr_proto_hosts, call_hosts },
};

/* Names go into tables and records, so they must be names. */
static bool valid_arg(uint32_t proc, const union call_arg *arg)
{
	const proto_hello *hello = &arg->hello;

	if (proc == PROTO_TAIL)
		return arg->tail.max > 0;
	if (proc != PROTO_STATUS || !hello->name[0])
		return true;
	if (!jcursor_valid_name(hello->name) ||
	    !jcursor_valid_name(hello->data_centre) || hello->incarnation < 0 ||
	    hello->incarnation > LIMIT_NUMBER_MAX)
		return false;
	for (u_int i = 0; i < hello->quiet.quiet_len; i++)
		if (!jcursor_valid_name(hello->quiet.quiet_val[i].host) ||
		    hello->quiet.quiet_val[i].drain < 0)
			return false;
	return true;
}

static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
	const struct procedure *procedure;
	union call_result result;
	union call_arg arg;

	server->dispatched = true;
	if (request->rq_proc == PROTO_NULL) {
		svc_sendreply(transport, (xdrproc_t)(void *)xdr_void, NULL);
		return;
	}
	if (request->rq_proc > PROTO_HOSTS) {
		server->config.refused(server->config.arg);
		svcerr_noproc(transport);
		return;
	}
	procedure = &procedures[request->rq_proc];
	memset(&arg, 0, sizeof(arg));
	memset(&result, 0, sizeof(result));
	if (!svc_getargs(transport, procedure->arg, (caddr_t)&arg) ||
	    !valid_arg(request->rq_proc, &arg)) {
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

static bool is_open(int fd)
{
	for (int i = 0; i < svc_max_pollfd; i++)
		if (svc_pollfd[i].fd == fd)
			return true;
	return false;
}

static struct link *link_of(struct rpcserver *rpcserver, int fd)
{
	uint32_t count = (uint32_t)fd + 64;
	struct link *links;

	if ((uint32_t)fd < rpcserver->link_count)
		return &rpcserver->links[fd];
	links = realloc(rpcserver->links, count * sizeof(*links));
	if (!links)
		return NULL;
	memset(links + rpcserver->link_count, 0,
	       (count - rpcserver->link_count) * sizeof(*links));
	rpcserver->links = links;
	rpcserver->link_count = count;
	return &links[fd];
}

/*
 * The RPC library answers a call of another program or version, and closes
 * after garbage, without telling. A reply without a dispatched call, or an end
 * with input that became no call, is such a case.
 */
static void serve_fd(struct rpcserver *rpcserver, int fd)
{
	struct link *link = link_of(rpcserver, fd);
	struct tcp_bytes before = tcp_bytes(fd);
	struct tcp_bytes after;

	rpcserver->dispatched = false;
	svc_getreq_common(fd);
	if (fd == rpcserver->listener || !link)
		return;
	if (!is_open(fd)) {
		if (!rpcserver->dispatched &&
		    before.received > link->done_bytes)
			rpcserver->config.refused(rpcserver->config.arg);
		*link = (struct link){ 0 };
		return;
	}
	after = tcp_bytes(fd);
	if (rpcserver->dispatched || after.sent > before.sent) {
		if (!rpcserver->dispatched)
			rpcserver->config.refused(rpcserver->config.arg);
		*link = (struct link){ .done_bytes = after.received };
	} else if (!link->since_ms) {
		link->since_ms = clk_now_ms(evloop_clk(rpcserver->evloop));
	}
}

static void serve_fds(void *arg, const struct curl_waitfd *fds,
		      unsigned int count)
{
	struct rpcserver *rpcserver = arg;

	for (unsigned int i = 0; i < count; i++)
		if (fds[i].revents)
			serve_fd(rpcserver, fds[i].fd);
}

/* Ends connections that hold half a message; serve_fd counts them. */
static void sweep(void *arg)
{
	struct rpcserver *rpcserver = arg;
	int64_t now_ms = clk_now_ms(evloop_clk(rpcserver->evloop));

	for (uint32_t fd = 0; fd < rpcserver->link_count; fd++) {
		struct link *link = &rpcserver->links[fd];

		if (!link->since_ms ||
		    now_ms - link->since_ms < LIMIT_HALF_REQUEST_S * 1000)
			continue;
		link->since_ms = 0;
		shutdown((int)fd, SHUT_RDWR);
	}
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

struct rpcserver *rpcserver_create(struct evloop *evloop,
				   const struct rpcserver_config *config,
				   struct err *err)
{
	/* Setting it also makes connections non-blocking, so that a message
	   sent by halves cannot hold up the loop. */
	int max_message = LIMIT_RPC_BYTES;
	struct evloop_source source = { .fill = fill_fds, .ready = serve_fds };
	struct rpcserver *rpcserver = calloc(1, sizeof(*rpcserver));
	int fd = listen_on(config->address, config->port);

	if (!rpcserver || fd < 0) {
		err_set(err, ERR_IO, "cannot listen on %s:%u: %s",
			config->address, config->port, strerror(errno));
		free(rpcserver);
		return NULL;
	}
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max_message);
	rpcserver->evloop = evloop;
	rpcserver->config = *config;
	rpcserver->listener = fd;
	source.arg = rpcserver;
	server = rpcserver;
	rpcserver->transport =
		svc_vc_create(fd, LIMIT_RPC_BYTES, LIMIT_RPC_BYTES);
	if (!rpcserver->transport || !svc_reg(rpcserver->transport, PROTO_FLEET,
					      PROTO_V1, dispatch, NULL)) {
		err_set(err, ERR_IO, "cannot register the RPC program");
		rpcserver_destroy(rpcserver);
		return NULL;
	}
	evloop_add_source(evloop, &source);
	evloop_every(evloop, SWEEP_MS, sweep, rpcserver);
	return rpcserver;
}

void rpcserver_destroy(struct rpcserver *rpcserver)
{
	if (!rpcserver)
		return;
	if (rpcserver->transport) {
		svc_unreg(PROTO_FLEET, PROTO_V1);
		svc_destroy(rpcserver->transport);
	}
	free(rpcserver->snapshot);
	free(rpcserver->links);
	free(rpcserver);
	server = NULL;
}
