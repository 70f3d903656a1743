#include "web_int.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include <apr_strings.h>

#include "limit.h"
#include "log.h"
#include "tcp.h"

enum {
	MAX_CONNECTIONS = 4096,
	KEEPALIVE_S = LIMIT_PARTIAL_REQUEST_S,
	/* Connections beyond the budget's bound that get a refusal. */
	REFUSED_CONNECTIONS = 32,
	/* The library closes a connection only if the budget has not. */
	BACKSTOP_S = 2 * BUDGET_MAX_TRANSFER_MS / 1000
};

static struct web_connection *connection_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

int64_t web_now_ms(const struct web *web)
{
	return clk_now_ms(evloop_clk(web->evloop));
}

static void note_input(struct web *web)
{
	web->last_input_ms = web_now_ms(web);
}

static uint32_t client_address(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr *addr = info ? info->client_addr : NULL;

	if (!addr || addr->sa_family != AF_INET)
		return 0;
	return ((const struct sockaddr_in *)addr)->sin_addr.s_addr;
}

/*
 * Counts refused input that reaches no request callback: libmicrohttpd itself
 * answers a request line that it cannot parse and drops an incomplete one.
 */
static void on_connection(void *cls, struct MHD_Connection *conn,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct web *web = cls;
	struct web_connection *connection = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
			conn, MHD_CONNECTION_INFO_CONNECTION_FD);

		note_input(web);
		connection = calloc(1, sizeof(*connection));
		*context = connection;
		if (!connection)
			return;
		connection->fd = info ? info->connect_fd : -1;
		if (web->config.budget)
			budget_open(web->config.budget, &connection->client,
				    client_address(conn), web_now_ms(web));
		return;
	}
	if (!connection)
		return;
	if (!connection->in_request && !connection->refused &&
	    connection->client.closing == BUDGET_OK &&
	    tcp_bytes(connection->fd).received > connection->consumed_bytes)
		web->config.on_refused(web->config.arg, ERR_INVALID);
	if (connection->refused)
		web_linger_add(&web->linger, connection->fd, web_now_ms(web));
	if (web->config.budget)
		budget_close(web->config.budget, &connection->client);
	free(connection);
	*context = NULL;
}

/* Called with the target as sent, before the headers are read. */
static void *on_request_line(void *cls, const char *target,
			     struct MHD_Connection *conn)
{
	struct web *web = cls;
	struct web_exchange *ex;
	apr_pool_t *pool;

	note_input(web);
	apr_pool_create(&pool, NULL);
	ex = apr_pcalloc(pool, sizeof(*ex));
	ex->request.pool = pool;
	ex->request.target = apr_pstrdup(pool, target);
	ex->web = web;
	ex->mhd_connection = conn;
	ex->connection = connection_of(conn);
	if (ex->connection)
		ex->connection->in_request = true;
	if (web_budget_of(ex))
		budget_begin(web->config.budget, &ex->connection->client,
			     web_now_ms(web));
	web->active++;
	return ex;
}

static enum MHD_Result send_response(struct web_exchange *ex)
{
	struct MHD_Response *response = ex->response;
	enum MHD_Result result;

	ex->response = NULL;
	result = MHD_queue_response(ex->mhd_connection,
				    (unsigned int)ex->status, response);
	MHD_destroy_response(response);
	return result;
}

static void dispatch(struct web_exchange *ex)
{
	struct web *web = ex->web;
	struct budget *budget = web_budget_of(ex);
	enum budget_reason reason = BUDGET_OK;

	ex->request.body = ex->body ? ex->body : "";
	if (budget)
		reason = web_budget_handle(ex);
	if (reason != BUDGET_OK) {
		web_request_refuse_busy(ex, reason);
		return;
	}
	ex->handled = true;
	web->config.on_request(web->config.arg, &ex->request);
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
				 const char *path, const char *method,
				 const char *version, const char *upload,
				 size_t *upload_len, void **con_cls)
{
	struct web_exchange *ex = *con_cls;

	(void)cls;
	(void)version;
	if (!ex->request.method) {
		ex->request.method = apr_pstrdup(ex->request.pool, method);
		ex->request.path = apr_pstrdup(ex->request.pool, path);
		web_request_check(ex);
		return ex->response ? send_response(ex) : MHD_YES;
	}
	if (*upload_len) {
		size_t len = *upload_len;

		*upload_len = 0;
		return web_body_append(ex, upload, len);
	}
	if (!ex->handled)
		dispatch(ex);
	if (ex->response)
		return send_response(ex);
	ex->suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct web_exchange *ex = *con_cls;
	struct web *web = cls;

	(void)conn;
	if (!ex)
		return;
	/* The library reports a request as completed if it refused the header
	   or a chunk. */
	if (!ex->handled && ex->connection &&
	    ex->connection->client.closing != BUDGET_OK) {
		/* Closed by the budget, which has counted it. */
	} else if (!ex->handled) {
		if (ex->connection)
			ex->connection->refused = true;
		web->config.on_refused(
			web->config.arg,
			code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED
				? ERR_TIMEOUT
			: code == MHD_REQUEST_TERMINATED_COMPLETED_OK
				? ERR_INVALID
				: ERR_TRUNCATED);
	}
	if (ex->connection) {
		ex->connection->in_request = false;
		ex->connection->consumed_bytes =
			tcp_bytes(ex->connection->fd).received;
		if (web_budget_of(ex))
			budget_end(web->config.budget, &ex->connection->client,
				   web_now_ms(web));
	}
	if (ex->response)
		MHD_destroy_response(ex->response);
	free(ex->body);
	web->active--;
	*con_cls = NULL;
	apr_pool_destroy(ex->request.pool);
}

static unsigned int fill_fds(void *arg, struct curl_waitfd *fds,
			     unsigned int max)
{
	struct web *web = arg;
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(web->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	if (!info || max < 1)
		return 0;
	fds[0] = (struct curl_waitfd){
		.fd = info->epoll_fd,
		.events = CURL_WAIT_POLLIN,
	};
	return 1;
}

static void read_input(struct web *web)
{
	MHD_UNSIGNED_LONG_LONG left_ms;

	MHD_run(web->daemon);
	/* MHD_run may have read only part of the available input. */
	if (MHD_get_timeout(web->daemon, &left_ms) == MHD_YES && !left_ms)
		evloop_skip_wait(web->evloop);
}

static void serve_fds(void *arg, const struct curl_waitfd *fds,
		      unsigned int count)
{
	struct web *web = arg;

	(void)fds;
	(void)count;
	web_linger_tick(&web->linger, web_now_ms(web));
	read_input(web);
}

/*
 * Accepted connections inherit these. A fixed size also ends the kernel's own
 * growth of the buffers, to some MB each, for input that is not read at once.
 */
static void set_socket_sizes(struct web *web)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(web->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	int receive = (int)web->config.sizes.receive_bytes;
	int sent = (int)web->config.sizes.send_bytes;

	if (!info)
		return;
	if (receive)
		setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &receive,
			   sizeof(receive));
	if (sent)
		setsockopt(info->listen_fd, SOL_SOCKET, SO_SNDBUF, &sent,
			   sizeof(sent));
}

static unsigned int max_connections(const struct web_config *config)
{
	if (config->budget)
		return budget_config(config->budget)->max_connections +
		       REFUSED_CONNECTIONS;
	return config->sizes.max_connections ? config->sizes.max_connections
					     : MAX_CONNECTIONS;
}

struct web *web_create(struct evloop *evloop, const struct web_config *config,
		       struct err *err)
{
	struct web *web = calloc(1, sizeof(*web));
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(config->port),
	};
	struct evloop_source source = {
		.fill = fill_fds,
		.ready = serve_fds,
		.arg = web,
		.fixed = true,
	};

	if (!web)
		return NULL;
	web->evloop = evloop;
	web->config = *config;
	inet_pton(AF_INET, config->address, &addr.sin_addr);
	web->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, config->port, NULL,
		NULL, on_access, web, MHD_OPTION_SOCK_ADDR, &addr,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_line, web,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, web,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, web,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)(config->sizes.pool_bytes ? config->sizes.pool_bytes
						  : LIMIT_HEAD_READ_BYTES),
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)(config->budget ? BACKSTOP_S : KEEPALIVE_S),
		MHD_OPTION_CONNECTION_LIMIT, max_connections(config),
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (!web->daemon) {
		err_set(err, ERR_IO, "cannot listen on %s:%u", config->address,
			config->port);
		free(web);
		return NULL;
	}
	set_socket_sizes(web);
	evloop_add_source(evloop, &source);
	return web;
}

void web_destroy(struct web *web)
{
	if (!web)
		return;
	MHD_stop_daemon(web->daemon);
	web_linger_end(&web->linger);
	free(web);
}

uint32_t web_active(const struct web *web)
{
	return web->active;
}

bool web_idle(struct web *web)
{
	read_input(web);
	return !web->active;
}

int64_t web_quiet_ms(struct web *web)
{
	read_input(web);
	return web_now_ms(web) - web->last_input_ms;
}

void web_close_answered(struct web *web)
{
	web->close_answered = true;
}

/* Takes over connections that the kernel has accepted: closing the listener
   would reset them, though callers may have sent their requests. */
static void add_waiting_connections(struct web *web, MHD_socket listener)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int fd;

	while ((fd = accept4(listener, (struct sockaddr *)&addr, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		MHD_add_connection(web->daemon, fd, (struct sockaddr *)&addr,
				   len);
		len = sizeof(addr);
	}
	if (errno != EAGAIN && errno != EWOULDBLOCK)
		log_warn("connections waiting at the listener cannot be "
			 "accepted: %s",
			 strerror(errno));
}

void web_quiesce(struct web *web)
{
	MHD_socket listener;

	if (web->quiescing)
		return;
	web->quiescing = true;
	web->close_answered = true;
	listener = MHD_quiesce_daemon(web->daemon);
	if (listener == MHD_INVALID_SOCKET)
		return;
	add_waiting_connections(web, listener);
	close(listener);
	evloop_skip_wait(web->evloop);
}
