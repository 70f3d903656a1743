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

enum { MAX_CONNECTIONS = 4096, KEEPALIVE_S = LIMIT_PARTIAL_REQUEST_S };

static struct web_connection *connection_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static int64_t now_ms(const struct web *web)
{
	return clk_now_ms(evloop_clk(web->evloop));
}

static void note_input(struct web *web)
{
	web->last_input_ms = now_ms(web);
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
		if (connection)
			connection->fd = info ? info->connect_fd : -1;
		*context = connection;
		return;
	}
	if (!connection)
		return;
	if (!connection->in_request && !connection->refused &&
	    tcp_bytes(connection->fd).received > connection->consumed_bytes)
		web->config.on_refused(web->config.arg, ERR_INVALID);
	if (connection->refused)
		web_linger_add(&web->linger, connection->fd, now_ms(web));
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
	web->active++;
	return ex;
}

static void append_body(struct web_exchange *ex, const char *data, size_t len)
{
	size_t size = ex->request.body_len + len;

	if (ex->too_large || size > ex->web->config.max_body_bytes) {
		ex->too_large = true;
		return;
	}
	if (size + 1 > ex->body_cap) {
		size_t cap = (size + 1) * 2;
		char *body = realloc(ex->body, cap);

		if (!body) {
			ex->too_large = true;
			return;
		}
		ex->body = body;
		ex->body_cap = cap;
	}
	memcpy(ex->body + ex->request.body_len, data, len);
	ex->request.body_len = size;
	ex->body[size] = 0;
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
	char text[ERR_TEXT_BYTES];

	ex->request.body = ex->body ? ex->body : "";
	if (ex->too_large) {
		snprintf(text, sizeof(text),
			 "request body too large: at most %zu bytes are "
			 "wanted",
			 web->config.max_body_bytes);
		web_request_refuse(ex, MHD_HTTP_CONTENT_TOO_LARGE,
				   ERR_TOO_LARGE, text);
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
		append_body(ex, upload, *upload_len);
		*upload_len = 0;
		return MHD_YES;
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
	if (!ex->handled) {
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
	web_linger_tick(&web->linger, now_ms(web));
	read_input(web);
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
		(size_t)LIMIT_HEAD_READ_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)KEEPALIVE_S, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)MAX_CONNECTIONS,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (!web->daemon) {
		err_set(err, ERR_IO, "cannot listen on %s:%u", config->address,
			config->port);
		free(web);
		return NULL;
	}
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
	return now_ms(web) - web->last_input_ms;
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
