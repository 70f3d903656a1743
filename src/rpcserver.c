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
	/* New transfers use the same snapshot until it is this old, and after
	   that as long as a chunk was fetched within SNAPSHOT_IDLE_MS. */
	SNAPSHOT_KEEP_MS = 5000,
	SNAPSHOT_IDLE_MS = 1000,
	CHECK_STALLED_MS = 1000
};

/*
 * State of a connection, indexed by its descriptor, to detect input that is not
 * a call.
 */
struct connection {
	uint64_t handled_bytes;	  /* received up to the end of the last call */
	int64_t partial_since_ms; /* start of an incomplete message; 0: none */
};

struct rpcserver {
	struct evloop *evloop;
	struct rpcserver_config config;
	SVCXPRT *transport;
	int listener;
	bool dispatched; /* the library has called dispatch */
	uint32_t connection_count;
	struct connection *connections;
	char *snapshot;
	size_t snapshot_len;
	int64_t snapshot_next;
	int64_t snapshot_ms;
	int64_t snapshot_used_ms;
};

/* Exported by libtirpc, but declared in none of its headers. */
bool_t rpc_control(int what, void *value);

/* The RPC library's callback has no user argument. */
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
		/* A record that is too long is invalid for every process. It is
		   sent empty, which is invalid as well, because the whole call
		   would fail with its contents. */
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

	/* A new snapshot would abort the transfers in progress. */
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
	const proto_chunk_arg *request = &arg->chunk;
	proto_chunk *chunk = &result->chunk;
	struct rpcserver *rpcserver = server;
	size_t left;

	chunk->gone = TRUE;
	if (!replica_ready(rpcserver->config.replica))
		return;
	if (request->next == 0)
		renew_snapshot(rpcserver);
	if (!rpcserver->snapshot || request->position < 0 ||
	    (request->next && request->next != rpcserver->snapshot_next) ||
	    (uint64_t)request->position > rpcserver->snapshot_len)
		return;
	left = rpcserver->snapshot_len - (size_t)request->position;
	rpcserver->snapshot_used_ms = clk_now_ms(evloop_clk(rpcserver->evloop));
	chunk->gone = FALSE;
	chunk->next = rpcserver->snapshot_next;
	chunk->length = (quad_t)rpcserver->snapshot_len;
	chunk->data.data_val = rpcserver->snapshot + request->position;
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

/*
 * Names are stored in tables and records, so they have to be valid. The name is
 * empty if the caller is not an entry daemon.
 */
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
	/* Also frees what was decoded before an error. */
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

static struct connection *connection_of(struct rpcserver *rpcserver, int fd)
{
	uint32_t count = (uint32_t)fd + 64;
	struct connection *connections;

	if ((uint32_t)fd < rpcserver->connection_count)
		return &rpcserver->connections[fd];
	connections =
		realloc(rpcserver->connections, count * sizeof(*connections));
	if (!connections)
		return NULL;
	memset(connections + rpcserver->connection_count, 0,
	       (count - rpcserver->connection_count) * sizeof(*connections));
	rpcserver->connections = connections;
	rpcserver->connection_count = count;
	return &connections[fd];
}

/*
 * The RPC library answers calls of another program or version, and closes the
 * connection after malformed input, without a callback. Both are counted as
 * refused: the former is a reply without a dispatched call, the latter a
 * connection that closes with input that did not become a call.
 */
static void serve_fd(struct rpcserver *rpcserver, int fd)
{
	struct connection *connection = connection_of(rpcserver, fd);
	struct tcp_bytes before = tcp_bytes(fd);
	struct tcp_bytes after;

	rpcserver->dispatched = false;
	svc_getreq_common(fd);
	if (fd == rpcserver->listener || !connection)
		return;
	if (!is_open(fd)) {
		if (!rpcserver->dispatched &&
		    before.received > connection->handled_bytes)
			rpcserver->config.refused(rpcserver->config.arg);
		*connection = (struct connection){ 0 };
		return;
	}
	after = tcp_bytes(fd);
	if (rpcserver->dispatched || after.sent > before.sent) {
		if (!rpcserver->dispatched)
			rpcserver->config.refused(rpcserver->config.arg);
		*connection =
			(struct connection){ .handled_bytes = after.received };
	} else if (!connection->partial_since_ms) {
		connection->partial_since_ms =
			clk_now_ms(evloop_clk(rpcserver->evloop));
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

/*
 * Shuts down connections with an incomplete message that is too old; serve_fd
 * then counts them as refused.
 */
static void close_stalled(void *arg)
{
	struct rpcserver *rpcserver = arg;
	int64_t now_ms = clk_now_ms(evloop_clk(rpcserver->evloop));

	for (uint32_t fd = 0; fd < rpcserver->connection_count; fd++) {
		struct connection *connection = &rpcserver->connections[fd];

		if (!connection->partial_since_ms ||
		    now_ms - connection->partial_since_ms <
			    LIMIT_PARTIAL_REQUEST_S * 1000)
			continue;
		connection->partial_since_ms = 0;
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
	   that arrives in parts cannot block the event loop. */
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
	evloop_add_timer(evloop, CHECK_STALLED_MS, close_stalled, rpcserver);
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
	free(rpcserver->connections);
	free(rpcserver);
	server = NULL;
}
