#include "web_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "web_budget.h"

enum { ANSWER_BYTES = 512, FIRST_BYTES = 1024 };

size_t web_max_body(const struct web *web)
{
	return web->config.max_body ? web->config.max_body(web->config.arg)
				    : web->config.max_body_bytes;
}

/*
 * Answers while the body still arrives, which the library cannot do, and has the
 * connection closed.
 */
static enum MHD_Result refuse_now(struct web_exchange *ex, const char *status,
				  const char *headers, const char *body)
{
	char answer[ANSWER_BYTES];
	int len = snprintf(answer, sizeof(answer),
			   "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
			   "Plank-Outcome: not-run\r\n%sConnection: close\r\n"
			   "Content-Length: %zu\r\n\r\n%s",
			   status, headers, strlen(body), body);

	ex->handled = true;
	if (!ex->connection)
		return MHD_NO;
	ex->connection->refused = true;
	/* A client that has no room for it gets no answer. */
	send(ex->connection->fd, answer, (size_t)len,
	     MSG_DONTWAIT | MSG_NOSIGNAL);
	return MHD_NO;
}

static enum MHD_Result refuse_large(struct web_exchange *ex, size_t max)
{
	char body[ANSWER_BYTES / 2];

	snprintf(body, sizeof(body),
		 "{\"error\":\"%s\",\"text\":\"request body too large: at most "
		 "%zu bytes are wanted\"}",
		 err_name(ERR_TOO_LARGE), max);
	if (web_budget_of(ex))
		budget_refused(ex->web->config.budget, BUDGET_TOO_LARGE);
	ex->web->config.on_refused(ex->web->config.arg, ERR_TOO_LARGE);
	return refuse_now(ex, "413 Content Too Large", "", body);
}

static enum MHD_Result refuse_busy(struct web_exchange *ex,
				   enum budget_reason reason)
{
	char seconds[8];
	char headers[48];
	char body[ANSWER_BYTES / 2];

	web_retry_after(ex->web, seconds, sizeof(seconds));
	snprintf(headers, sizeof(headers), "Retry-After: %s\r\n", seconds);
	snprintf(body, sizeof(body),
		 "{\"error\":\"%s\",\"text\":\"too many clients: %s\"}",
		 err_name(ERR_OVERLOAD), budget_reason_name(reason));
	return refuse_now(ex, "503 Service Unavailable", headers, body);
}

/* The buffer grows by half, and never beyond what the body can have. */
static size_t next_size(const struct web_exchange *ex, size_t size, size_t max)
{
	size_t cap = ex->body_cap + ex->body_cap / 2;
	size_t most = ex->announced >= 0 && (size_t)ex->announced < max
			      ? (size_t)ex->announced
			      : max;

	if (cap < FIRST_BYTES)
		cap = FIRST_BYTES;
	if (cap > most + 1)
		cap = most + 1;
	return cap > size + 1 ? cap : size + 1;
}

enum MHD_Result web_body_append(struct web_exchange *ex, const char *data,
				size_t len)
{
	struct budget *budget = web_budget_of(ex);
	size_t size = ex->request.body_len + len;
	size_t max = web_max_body(ex->web);

	if (size > max)
		return refuse_large(ex, max);
	if (size + 1 > ex->body_cap) {
		size_t cap = next_size(ex, size, max);
		enum budget_reason reason =
			budget ? budget_grow(budget, &ex->connection->client,
					     (int64_t)cap)
			       : BUDGET_OK;
		char *body =
			reason == BUDGET_OK ? realloc(ex->body, cap) : NULL;

		if (!body)
			return refuse_busy(ex, reason == BUDGET_OK
						       ? BUDGET_BYTES
						       : reason);
		ex->body = body;
		ex->body_cap = cap;
	}
	memcpy(ex->body + ex->request.body_len, data, len);
	ex->request.body_len = size;
	ex->body[size] = 0;
	if (budget)
		budget_progress(&ex->connection->client, (int64_t)len,
				web_now_ms(ex->web));
	return MHD_YES;
}
