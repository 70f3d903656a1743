#include "proxy_int.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <apr_strings.h>

/*
 * Headers that are not forwarded: they apply to a single connection, or this
 * daemon sets them.
 */
static bool is_excluded_header(const char *name)
{
	static const char *const excluded[] = {
		"Connection",	    "Keep-Alive",
		"Proxy-Connection", "TE",
		"Trailer",	    "Transfer-Encoding",
		"Upgrade",	    "Host",
		"Content-Length",   "Expect",
		"Plank-Outcome",    "Plank-Reason",
		"Plank-Refused",
	};

	for (size_t i = 0; i < sizeof(excluded) / sizeof(excluded[0]); i++)
		if (!strcasecmp(name, excluded[i]))
			return true;
	return false;
}

static void add_request_header(void *arg, const char *name, const char *value)
{
	struct forward *forward = arg;
	const char *line;

	if (is_excluded_header(name))
		return;
	/* libcurl drops a header without value unless it ends in ';'. */
	line = *value ? apr_pstrcat(forward->pool, name, ": ", value, NULL)
		      : apr_pstrcat(forward->pool, name, ";", NULL);
	forward->headers = curl_slist_append(forward->headers, line);
}

/*
 * Whether chunked is the last transfer coding. With any other, the body ends
 * when the connection closes, so a truncated body cannot be detected.
 */
static bool is_chunked_last(const char *codings)
{
	size_t len = strlen(codings);

	return len >= 7 && !strcasecmp(codings + len - 7, "chunked");
}

static size_t on_answer_header(char *data, size_t size, size_t n, void *arg)
{
	struct forward *forward = arg;
	size_t len = size * n;
	char *line = apr_pstrmemdup(forward->pool, data, len);
	char *value = strchr(line, ':');

	if (!strncmp(line, "HTTP/", 5)) {
		/* A new status line: discard the headers of an interim
		   answer. */
		forward->header_count = 0;
		forward->has_length = false;
		forward->refused = false;
		forward->leaving = false;
		return len;
	}
	if (!value)
		return len;
	*value++ = 0;
	apr_collapse_spaces(line, line);
	while (*value == ' ' || *value == '\t')
		value++;
	value[strcspn(value, "\r\n")] = 0;
	if (!strcasecmp(line, "Content-Length") ||
	    (!strcasecmp(line, "Transfer-Encoding") && is_chunked_last(value)))
		forward->has_length = true;
	if (!strcasecmp(line, "Plank-Refused")) {
		forward->refused = true;
		forward->leaving = !strcasecmp(value, "leaving");
	}
	if (is_excluded_header(line))
		return len;
	if (forward->header_count + 3 > forward->header_cap) {
		uint32_t new_cap = forward->header_cap * 2 + 16;
		struct web_header *new_headers = apr_pcalloc(
			forward->pool, new_cap * sizeof(*new_headers));

		if (forward->header_count)
			memcpy(new_headers, forward->answer_headers,
			       forward->header_count * sizeof(*new_headers));
		forward->answer_headers = new_headers;
		forward->header_cap = new_cap;
	}
	forward->answer_headers[forward->header_count++] =
		(struct web_header){ .name = line, .value = value };
	return len;
}

static size_t on_answer_body(char *data, size_t size, size_t n, void *arg)
{
	struct forward *forward = arg;
	size_t len = size * n;
	size_t total = forward->answer_len + len;

	if (total > LIMIT_ANSWER_BYTES) {
		forward->answer_too_large = true;
		return 0;
	}
	if (total > forward->answer_cap) {
		char *answer = realloc(forward->answer, total * 2);

		if (!answer)
			return 0;
		forward->answer = answer;
		forward->answer_cap = total * 2;
	}
	memcpy(forward->answer + forward->answer_len, data, len);
	forward->answer_len = total;
	return len;
}

void proxy_send_free(struct forward *forward)
{
	curl_easy_cleanup(forward->easy);
	curl_slist_free_all(forward->headers);
	free(forward->answer);
	forward->easy = NULL;
	forward->headers = NULL;
	forward->answer = NULL;
	forward->answer_len = 0;
	forward->answer_cap = 0;
	forward->header_count = 0;
}

/*
 * Called before a request is written to a connection. libcurl resends it on its
 * own when a reused connection turns out to be closed. This aborts the transfer
 * instead: the worker may have run the request, which the result of the second
 * connection would hide, and repeating a request is left to the retries, which
 * are bounded.
 */
static int on_before_send(void *arg, char *remote, char *local, int remote_port,
			  int local_port)
{
	struct forward *forward = arg;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	if (forward->sent)
		return CURL_PREREQFUNC_ABORT;
	forward->sent = true;
	return CURL_PREREQFUNC_OK;
}

static bool is_complete(const struct forward *forward, long status)
{
	return forward->has_length || status == 204 || status == 304 ||
	       !strcmp(forward->request->method, "HEAD");
}

static void attempt_done(void *arg, CURL *easy, CURLcode code)
{
	struct forward *forward = arg;
	struct attempt_end end = { .result = ROUTE_FAILED };

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &end.status);
	if (code == CURLE_OK && end.status == 503 && forward->refused) {
		end.result = forward->leaving ? ROUTE_LEAVING : ROUTE_REFUSED;
		end.failure =
			(struct failure){ ERR_OVERLOAD,
					  "the worker refused the request" };
	} else if (code == CURLE_OK && is_complete(forward, end.status)) {
		end.result = end.status < 500 ? ROUTE_ANSWERED : ROUTE_FAILED;
	} else if (!forward->sent) {
		end.failure =
			(struct failure){ ERR_NO_WORKER,
					  "the worker could not be reached" };
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		end.may_have_run = true;
		end.failure =
			(struct failure){ ERR_TIMEOUT,
					  "the worker did not answer in time" };
	} else {
		end.may_have_run = true;
		end.truncated = true;
		end.failure =
			(struct failure){ ERR_TRUNCATED,
					  "the worker's answer was truncated" };
	}
	proxy_attempt_done(forward, &end);
}

static void set_method(struct forward *forward)
{
	const struct web_request *request = forward->request;
	CURL *easy = forward->easy;

	if (!strcmp(request->method, "HEAD")) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (request->body_len || !strcmp(request->method, "POST") ||
	    !strcmp(request->method, "PUT")) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body_len);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

void proxy_send(struct forward *forward, struct evloop *evloop)
{
	int64_t left_ms =
		forward->entry.deadline_ms - clk_now_ms(evloop_clk(evloop));
	CURL *easy = curl_easy_init();

	forward->easy = easy;
	forward->has_length = false;
	forward->refused = false;
	forward->leaving = false;
	forward->sent = false;
	forward->answer_too_large = false;
	curl_easy_setopt(easy, CURLOPT_URL,
			 apr_psprintf(forward->pool, "http://%s:%u/%s",
				      forward->worker->address,
				      forward->worker->port,
				      forward->worker_target));
	set_method(forward);
	web_foreach_header(forward->request, add_request_header, forward);
	forward->headers = curl_slist_append(forward->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, forward->headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)LIMIT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(left_ms > 0 ? left_ms : 1));
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_answer_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, forward);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_answer_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, forward);
	if (!forward->repeatable) {
		/* libcurl resends a request on its own when a reused
		   connection turns out to be closed. */
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, forward);
	evloop_transfer(evloop, forward->worker->address, easy, attempt_done,
			forward);
}
