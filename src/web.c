#include "web.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include <apr_strings.h>
#include <json-c/json.h>
#include <microhttpd.h>

#include "jcursor.h"
#include "limit.h"
#include "log.h"
#include "tcp.h"
#include "web_linger.h"

enum { MAX_CONNECTIONS = 4096, KEEPALIVE_S = LIMIT_PARTIAL_REQUEST_S };

struct web {
	struct evloop *evloop;
	struct web_config config;
	struct MHD_Daemon *daemon;
	uint32_t active;
	int64_t last_input_ms; /* last connection or request */
	bool quiescing;
	bool close_answered;
	struct web_linger linger; /* refused connections */
};

/* A connection, tracked to detect input that never became a request. */
struct connection {
	int fd;
	bool in_request;
	bool refused; /* the rest of its input is counted as refused */
	/* Received up to the end of the last request. */
	uint64_t consumed_bytes;
};

/* A request and its response; the handler sees only the first member. */
struct exchange {
	struct web_request request;
	struct web *web;
	struct MHD_Connection *mhd_connection;
	struct connection *connection;
	char *body;
	size_t body_cap;
	bool handled; /* passed to the handler, or refused */
	bool suspended;
	bool too_large;
	struct MHD_Response *response;
	int status;
};

static struct exchange *exchange_of(const struct web_request *request)
{
	return (struct exchange *)request;
}

static struct connection *connection_of(struct MHD_Connection *conn)
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
	struct connection *connection = *context;

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
	struct exchange *ex;
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

static void append_body(struct exchange *ex, const char *data, size_t len)
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

static enum MHD_Result send_response(struct exchange *ex)
{
	struct MHD_Response *response = ex->response;
	enum MHD_Result result;

	ex->response = NULL;
	result = MHD_queue_response(ex->mhd_connection,
				    (unsigned int)ex->status, response);
	MHD_destroy_response(response);
	return result;
}

static void respond_error(struct web_request *request, int status, int kind,
			  const struct web_header *headers, const char *text);

/* Answers a request that is not passed to the handler. */
static void refuse(struct exchange *ex, int status, int kind, const char *text)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Plank-Outcome", "not-run" },
		{ "Connection", "close" },
		{ NULL, NULL },
	};

	ex->handled = true;
	if (ex->connection)
		ex->connection->refused = true;
	ex->web->config.on_refused(ex->web->config.arg, kind);
	respond_error(&ex->request, status, kind, headers, text);
}

static enum MHD_Result add_length(void *cls, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	size_t *bytes = cls;

	(void)kind;
	*bytes += strlen(name) + (value ? strlen(value) : 0) + 4;
	return MHD_YES;
}

/* How the header delimits the body. */
struct framing {
	const char *length; /* of Content-Length; NULL: none */
	bool ambiguous;	    /* a second one differs, or the body is chunked */
};

static enum MHD_Result read_length(void *cls, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct framing *framing = cls;

	(void)kind;
	if (strcasecmp(name, "Content-Length") || !value)
		return MHD_YES;
	if (framing->length && strcmp(framing->length, value))
		framing->ambiguous = true;
	framing->length = value;
	return MHD_YES;
}

static struct framing framing_of(const struct exchange *ex)
{
	struct framing framing = { 0 };

	MHD_get_connection_values(ex->mhd_connection, MHD_HEADER_KIND,
				  read_length, &framing);
	if (framing.length && web_header(&ex->request, "Transfer-Encoding"))
		framing.ambiguous = true;
	return framing;
}

/* Checks the header before the body is read; refuses a bad request. */
static void check_header(struct exchange *ex)
{
	struct framing framing = framing_of(ex);
	const char *length = framing.length;
	size_t max_body = ex->web->config.max_body_bytes;
	size_t bytes = strlen(ex->request.target);
	char text[ERR_TEXT_BYTES];

	MHD_get_connection_values(ex->mhd_connection, MHD_HEADER_KIND,
				  add_length, &bytes);
	if (bytes > LIMIT_HEAD_BYTES) {
		snprintf(text, sizeof(text),
			 "header of %zu bytes exceeds the limit of %d", bytes,
			 LIMIT_HEAD_BYTES);
		refuse(ex, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
		       ERR_TOO_LARGE, text);
	} else if (framing.ambiguous) {
		refuse(ex, MHD_HTTP_BAD_REQUEST, ERR_INVALID,
		       "body: its length is ambiguous");
	} else if (length && strtoull(length, NULL, 10) > max_body) {
		snprintf(text, sizeof(text),
			 "body of %.20s bytes exceeds the limit of %zu", length,
			 max_body);
		refuse(ex, MHD_HTTP_CONTENT_TOO_LARGE, ERR_TOO_LARGE, text);
	} else if (strstr(ex->request.target, "%00")) {
		/* The decoded path would end at the zero byte. */
		refuse(ex, MHD_HTTP_BAD_REQUEST, ERR_INVALID,
		       "target: %00 is not allowed in a path");
	}
}

static void dispatch(struct exchange *ex)
{
	struct web *web = ex->web;
	char text[ERR_TEXT_BYTES];

	ex->request.body = ex->body ? ex->body : "";
	if (ex->too_large) {
		snprintf(text, sizeof(text),
			 "request body too large: at most %zu bytes are "
			 "wanted",
			 web->config.max_body_bytes);
		refuse(ex, MHD_HTTP_CONTENT_TOO_LARGE, ERR_TOO_LARGE, text);
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
	struct exchange *ex = *con_cls;

	(void)cls;
	(void)version;
	if (!ex->request.method) {
		ex->request.method = apr_pstrdup(ex->request.pool, method);
		ex->request.path = apr_pstrdup(ex->request.pool, path);
		check_header(ex);
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
	struct exchange *ex = *con_cls;
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

const char *web_header(const struct web_request *request, const char *name)
{
	return MHD_lookup_connection_value(exchange_of(request)->mhd_connection,
					   MHD_HEADER_KIND, name);
}

const char *web_query(const struct web_request *request, const char *name)
{
	return MHD_lookup_connection_value(exchange_of(request)->mhd_connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

struct header_visit {
	void (*fn)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result visit_header(void *cls, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	const struct header_visit *visit = cls;

	(void)kind;
	if (value)
		visit->fn(visit->arg, name, value);
	return MHD_YES;
}

void web_foreach_header(const struct web_request *request,
			void (*fn)(void *arg, const char *name,
				   const char *value),
			void *arg)
{
	struct header_visit visit = { .fn = fn, .arg = arg };

	MHD_get_connection_values(exchange_of(request)->mhd_connection,
				  MHD_HEADER_KIND, visit_header, &visit);
}

bool web_caller_disconnected(const struct web_request *request)
{
	const struct connection *connection = exchange_of(request)->connection;
	/* Unlike a read, this also detects a close after pipelined input. */
	struct pollfd pollfd = { .events = POLLRDHUP };

	if (!connection || connection->fd < 0)
		return false;
	pollfd.fd = connection->fd;
	return poll(&pollfd, 1, 0) > 0 &&
	       (pollfd.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

void web_respond(struct web_request *request, int status,
		 const struct web_header *headers, const void *body, size_t len)
{
	struct exchange *ex = exchange_of(request);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);

	for (; headers && headers->name; headers++)
		MHD_add_response_header(response, headers->name,
					headers->value);
	if (ex->web->close_answered)
		MHD_add_response_header(response, "Connection", "close");
	ex->response = response;
	ex->status = status;
	if (ex->suspended) {
		ex->suspended = false;
		MHD_resume_connection(ex->mhd_connection);
		evloop_skip_wait(ex->web->evloop);
	}
}

static void respond_error(struct web_request *request, int status, int kind,
			  const struct web_header *headers, const char *text)
{
	struct json_object *obj = json_object_new_object();
	char valid[ERR_TEXT_BYTES];
	const char *body;

	/* Names from a request's path may contain any bytes. */
	err_copy_text(valid, sizeof(valid), text);
	jcursor_put_string(obj, "error", err_name(kind));
	jcursor_put_string(obj, "text", valid);
	body = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	web_respond(request, status, headers, body, strlen(body));
	json_object_put(obj);
}

void web_respond_error(struct web_request *request, int kind, const char *text)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	respond_error(request, err_answer(kind)->http_status, kind, headers,
		      text);
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
