#include "web_int.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <json-c/json.h>

#include "jcursor.h"
#include "limit.h"
#include "web_budget.h"

static struct web_exchange *exchange_of(const struct web_request *request)
{
	return (struct web_exchange *)request;
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
	const struct web_connection *connection =
		exchange_of(request)->connection;
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
	struct web_exchange *ex = exchange_of(request);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);

	for (; headers && headers->name; headers++)
		MHD_add_response_header(response, headers->name,
					headers->value);
	if (ex->web->close_answered ||
	    (web_budget_of(ex) && budget_pressed(ex->web->config.budget)))
		MHD_add_response_header(response, "Connection", "close");
	ex->response = response;
	ex->status = status;
	if (web_budget_of(ex))
		budget_answer(ex->web->config.budget, &ex->connection->client,
			      (int64_t)len, web_now_ms(ex->web));
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

void web_request_refuse(struct web_exchange *ex, int status, int kind,
			const char *text)
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

void web_request_refuse_busy(struct web_exchange *ex, enum budget_reason reason)
{
	char seconds[8];
	char text[ERR_TEXT_BYTES];
	const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Plank-Outcome", "not-run" },
		{ "Retry-After", seconds },
		{ "Connection", "close" },
		{ NULL, NULL },
	};

	web_retry_after(ex->web, seconds, sizeof(seconds));
	snprintf(text, sizeof(text), "too many clients: %s",
		 budget_reason_name(reason));
	ex->handled = true;
	ex->connection->refused = true;
	respond_error(&ex->request, MHD_HTTP_SERVICE_UNAVAILABLE, ERR_OVERLOAD,
		      headers, text);
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

static struct framing framing_of(const struct web_exchange *ex)
{
	struct framing framing = { 0 };

	MHD_get_connection_values(ex->mhd_connection, MHD_HEADER_KIND,
				  read_length, &framing);
	if (framing.length && web_header(&ex->request, "Transfer-Encoding"))
		framing.ambiguous = true;
	return framing;
}

/* Length of the body that the header tells; -1: not known. */
static int64_t announced_length(const struct web_exchange *ex,
				const struct framing *framing)
{
	if (framing->length)
		return (int64_t)strtoull(framing->length, NULL, 10);
	return web_header(&ex->request, "Transfer-Encoding") ? -1 : 0;
}

void web_request_check(struct web_exchange *ex)
{
	struct framing framing = framing_of(ex);
	const char *length = framing.length;
	size_t max_body = web_max_body(ex->web);
	size_t bytes = strlen(ex->request.target);
	enum budget_reason reason;
	char text[ERR_TEXT_BYTES];

	MHD_get_connection_values(ex->mhd_connection, MHD_HEADER_KIND,
				  add_length, &bytes);
	ex->announced = announced_length(ex, &framing);
	if (bytes > LIMIT_HEAD_BYTES) {
		snprintf(text, sizeof(text),
			 "header of %zu bytes exceeds the limit of %d", bytes,
			 LIMIT_HEAD_BYTES);
		web_request_refuse(ex, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
				   ERR_TOO_LARGE, text);
	} else if (framing.ambiguous) {
		web_request_refuse(ex, MHD_HTTP_BAD_REQUEST, ERR_INVALID,
				   "body: its length is ambiguous");
	} else if (length && strtoull(length, NULL, 10) > max_body) {
		snprintf(text, sizeof(text),
			 "body of %.20s bytes exceeds the limit of %zu", length,
			 max_body);
		web_request_refuse(ex, MHD_HTTP_CONTENT_TOO_LARGE,
				   ERR_TOO_LARGE, text);
	} else if (strstr(ex->request.target, "%00")) {
		/* The decoded path would end at the zero byte. */
		web_request_refuse(ex, MHD_HTTP_BAD_REQUEST, ERR_INVALID,
				   "target: %00 is not allowed in a path");
	} else if (web_budget_of(ex)) {
		reason = budget_admit(ex->web->config.budget,
				      &ex->connection->client, ex->announced,
				      web_now_ms(ex->web));
		if (reason != BUDGET_OK)
			web_request_refuse_busy(ex, reason);
	}
}
