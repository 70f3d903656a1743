#include "fwd.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <apr_strings.h>

#include "jsn.h"

struct fwd {
	struct fwd_config config;
	uint32_t active;
};

/* One caller's request on its way, over all its attempts. */
struct forward {
	struct fwd *fwd;
	struct web_request *request;
	apr_pool_t *pool; /* the request's */
	const char *team;
	const char *pool_name;
	const char *rest; /* what the worker gets as target */
	bool repeatable;
	int64_t deadline_ms;
	uint32_t tried_count;
	const char *tried[LIM_ATTEMPTS];
	uint32_t failed_count; /* workers that had the request and failed */
	const char *failed[LIM_FAILED_WORKERS];
	bool ran_maybe; /* an earlier attempt may have run */
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;

	/* Of the present attempt. */
	struct rte_worker *worker;
	CURL *easy;
	struct curl_slist *headers;
	char *answer;
	size_t answer_len;
	size_t answer_cap;
	bool answer_too_large;
	bool has_length; /* a content length, or chunked encoding */
	bool refused;	 /* Plank-Refused was seen */
	bool leaving;	 /* with the value "leaving" */
	bool sent;	 /* on any connection that the attempt used */
	uint32_t header_count;
	uint32_t header_cap;
	struct web_header *answer_headers;
};

struct fwd *fwd_create(const struct fwd_config *config)
{
	struct fwd *fwd = calloc(1, sizeof(*fwd));

	if (fwd)
		fwd->config = *config;
	return fwd;
}

void fwd_destroy(struct fwd *fwd)
{
	free(fwd);
}

static void count(struct fwd *fwd, enum fwd_counter counter)
{
	ctr_inc(fwd->config.ctr, fwd->config.first_counter + counter);
}

static int64_t now(const struct fwd *fwd)
{
	return clk_now_ms(evl_clk(fwd->config.evl));
}

/* Answers with an error kind; the outcome follows from the kind's table. */
static void respond_failure(struct fwd *fwd, struct web_request *request,
			    int kind, bool ran_maybe, const char *text)
{
	const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Plank-Outcome", ran_maybe ? "unknown" : "not-run" },
		{ "Plank-Reason", err_name(kind) },
		{ err_answer(kind)->http_status == 503 ? "Retry-After" : NULL,
		  "1" },
		{ NULL, NULL },
	};
	struct json_object *obj = json_object_new_object();
	const char *body;

	count(fwd, ran_maybe ? FWD_UNKNOWN : FWD_NOT_RUN);
	jsn_put_string(obj, "error", err_name(kind));
	jsn_put_string(obj, "text", text);
	jsn_put_string(obj, "outcome", ran_maybe ? "unknown" : "not-run");
	body = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	web_respond(request, err_answer(kind)->http_status, headers, body,
		    strlen(body));
	json_object_put(obj);
}

void fwd_refuse(struct fwd *fwd, struct web_request *request, int kind,
		const char *text)
{
	respond_failure(fwd, request, kind, false, text);
}

/* Headers that belong to one connection, or that this daemon sets itself. */
static bool is_own_header(const char *name)
{
	static const char *const own[] = {
		"Connection",	    "Keep-Alive",
		"Proxy-Connection", "TE",
		"Trailer",	    "Transfer-Encoding",
		"Upgrade",	    "Host",
		"Content-Length",   "Expect",
		"Plank-Outcome",    "Plank-Reason",
		"Plank-Refused",
	};

	for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++)
		if (!strcasecmp(name, own[i]))
			return true;
	return false;
}

static void copy_header(void *arg, const char *name, const char *value)
{
	struct forward *forward = arg;
	const char *line;

	if (is_own_header(name))
		return;
	/* libcurl drops a header without value unless it ends in ';'. */
	line = *value ? apr_pstrcat(forward->pool, name, ": ", value, NULL)
		      : apr_pstrcat(forward->pool, name, ";", NULL);
	forward->headers = curl_slist_append(forward->headers, line);
}

/* With another last coding the body ends where the connection does. */
static bool ends_chunked(const char *codings)
{
	size_t len = strlen(codings);

	return len >= 7 && !strcasecmp(codings + len - 7, "chunked");
}

static size_t take_header(char *data, size_t size, size_t n, void *arg)
{
	struct forward *forward = arg;
	size_t len = size * n;
	char *line = apr_pstrmemdup(forward->pool, data, len);
	char *value = strchr(line, ':');

	if (!strncmp(line, "HTTP/", 5)) {
		/* A new head: an interim answer came before. */
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
	    (!strcasecmp(line, "Transfer-Encoding") && ends_chunked(value)))
		forward->has_length = true;
	if (!strcasecmp(line, "Plank-Refused")) {
		forward->refused = true;
		forward->leaving = !strcasecmp(value, "leaving");
	}
	if (is_own_header(line))
		return len;
	if (forward->header_count + 3 > forward->header_cap) {
		uint32_t cap = forward->header_cap * 2 + 16;
		struct web_header *headers =
			apr_pcalloc(forward->pool, cap * sizeof(*headers));

		if (forward->header_count)
			memcpy(headers, forward->answer_headers,
			       forward->header_count * sizeof(*headers));
		forward->answer_headers = headers;
		forward->header_cap = cap;
	}
	forward->answer_headers[forward->header_count++] =
		(struct web_header){ .name = line, .value = value };
	return len;
}

static size_t take_body(char *data, size_t size, size_t n, void *arg)
{
	struct forward *forward = arg;
	size_t len = size * n;
	size_t total = forward->answer_len + len;

	if (total > LIM_ANSWER_BYTES) {
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

static void free_attempt(struct forward *forward)
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
	forward->has_length = false;
	forward->refused = false;
	forward->leaving = false;
	forward->answer_too_large = false;
}

static void finish(struct forward *forward)
{
	free_attempt(forward);
	forward->fwd->active--;
}

static void fail(struct forward *forward, int kind, bool ran_maybe,
		 const char *text)
{
	/* A later attempt that did not run does not undo an earlier one. */
	if (forward->ran_maybe && !ran_maybe)
		kind = ERR_UNKNOWN;
	respond_failure(forward->fwd, forward->request, kind,
			ran_maybe || forward->ran_maybe, text);
	finish(forward);
}

static void pass_on(struct forward *forward, long status)
{
	static const struct web_header outcome = { "Plank-Outcome",
						   "answered" };
	static const struct web_header last = { NULL, NULL };
	struct web_header only[2] = { outcome, last };
	struct web_header *headers = only;

	if (forward->header_count) {
		headers = forward->answer_headers;
		headers[forward->header_count] = outcome;
		headers[forward->header_count + 1] = last;
	}
	count(forward->fwd, FWD_ANSWERED);
	web_respond(forward->request, (int)status, headers, forward->answer,
		    forward->answer_len);
	finish(forward);
}

static void attempt(struct forward *forward);
static int pick(struct forward *forward);
static void send_attempt(struct forward *forward);

/* Whether another attempt may follow; takes it from the retry budget. */
static bool may_retry(struct forward *forward, bool ran_maybe)
{
	return forward->tried_count < LIM_ATTEMPTS &&
	       forward->failed_count < LIM_FAILED_WORKERS &&
	       now(forward->fwd) < forward->deadline_ms &&
	       (!ran_maybe || forward->repeatable) &&
	       rte_may_retry(forward->fwd->config.rte);
}

/*
 * Notes that the present worker had the request and failed. After the second
 * such worker the request itself is taken to be the cause.
 */
static void note_failure(struct forward *forward)
{
	forward->failed[forward->failed_count++] =
		forward->tried[forward->tried_count - 1];
	if (forward->failed_count < LIM_FAILED_WORKERS)
		return;
	for (uint32_t i = 0; i < forward->failed_count; i++)
		rte_take_back(forward->fwd->config.rte, forward->failed[i]);
}

/* Sends an idempotent request that got a 5xx to another worker, if any. */
static bool retry_answered(struct forward *forward)
{
	if (!forward->repeatable || !may_retry(forward, true) ||
	    pick(forward) < 0)
		return false;
	count(forward->fwd, FWD_RETRIES);
	forward->ran_maybe = true;
	free_attempt(forward);
	send_attempt(forward);
	return true;
}

/* Another attempt if there may be one, else the given failure. */
static void retry_or_fail(struct forward *forward, int kind, bool ran_maybe,
			  const char *text)
{
	struct fwd *fwd = forward->fwd;

	free_attempt(forward);
	if (may_retry(forward, ran_maybe)) {
		forward->ran_maybe = forward->ran_maybe || ran_maybe;
		count(fwd, FWD_RETRIES);
		attempt(forward);
		return;
	}
	fail(forward, kind, ran_maybe, text);
}

/*
 * Called before a request is written to a connection. libcurl writes it again
 * by itself when a connection that was used before turns out to be closed. The
 * transfer ends then instead: the worker may have run the request, the result
 * of the second connection would hide that, and a repetition belongs to the
 * retries, which are bounded.
 */
static int before_send(void *arg, char *remote, char *local, int remote_port,
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

static bool is_whole(const struct forward *forward, long status)
{
	return forward->has_length || status == 204 || status == 304 ||
	       !strcmp(forward->request->method, "HEAD");
}

static void attempt_done(void *arg, CURL *easy, CURLcode code)
{
	struct forward *forward = arg;
	struct fwd *fwd = forward->fwd;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 503 && forward->refused) {
		rte_done(fwd->config.rte, forward->worker,
			 forward->leaving ? RTE_LEAVING : RTE_REFUSED,
			 now(fwd));
		count(fwd, FWD_REFUSED_BY_WORKER);
		retry_or_fail(forward, ERR_OVERLOAD, false,
			      "the worker refused the request");
		return;
	}
	if (code == CURLE_OK && is_whole(forward, status) && status < 500) {
		rte_done(fwd->config.rte, forward->worker, RTE_ANSWERED,
			 now(fwd));
		pass_on(forward, status);
		return;
	}
	rte_done(fwd->config.rte, forward->worker, RTE_FAILED, now(fwd));
	count(fwd, FWD_FAILED_AT_WORKER);
	if (forward->sent)
		note_failure(forward);
	if (code == CURLE_OK && is_whole(forward, status)) {
		if (!retry_answered(forward))
			pass_on(forward, status);
	} else if (!forward->sent) {
		retry_or_fail(forward, ERR_NO_WORKER, false,
			      "the worker could not be reached");
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		retry_or_fail(forward, ERR_TIMEOUT, true,
			      "the worker did not answer in time");
	} else {
		count(fwd, FWD_TRUNCATED);
		retry_or_fail(forward, ERR_TRUNCATED, true,
			      "the worker's answer did not arrive whole");
	}
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

static void send_attempt(struct forward *forward)
{
	struct fwd *fwd = forward->fwd;
	int64_t left_ms = forward->deadline_ms - now(fwd);
	CURL *easy = curl_easy_init();

	forward->easy = easy;
	curl_easy_setopt(easy, CURLOPT_URL,
			 apr_psprintf(forward->pool, "http://%s:%u/%s",
				      forward->worker->address,
				      forward->worker->port, forward->rest));
	set_method(forward);
	web_each_header(forward->request, copy_header, forward);
	forward->headers = curl_slist_append(forward->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, forward->headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)LIM_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(left_ms > 0 ? left_ms : 1));
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, forward);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, forward);
	if (!forward->repeatable) {
		/* libcurl sends a request again by itself when a connection
		   that it used before turns out to be closed. */
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	forward->sent = false;
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, forward);
	evl_transfer(fwd->config.evl, easy, attempt_done, forward);
}

/* Chooses the worker of the next attempt. */
static int pick(struct forward *forward)
{
	struct fwd *fwd = forward->fwd;
	struct rte_query query = {
		.team = forward->team,
		.pool = forward->pool_name,
		.now_ms = now(fwd),
		.remote_allowed = fwd->config.remote_allowed(fwd->config.arg),
		.idempotent = forward->repeatable,
		.cpu_milli = forward->cpu_milli,
		.mem_mib = forward->mem_mib,
		.accelerators = forward->accelerators,
		.tried_count = forward->tried_count,
		.tried = forward->tried,
	};
	int status = rte_pick(fwd->config.rte, &query, &forward->worker);

	if (status == 0)
		forward->tried[forward->tried_count++] =
			apr_pstrdup(forward->pool, forward->worker->name);
	return status;
}

static void attempt(struct forward *forward)
{
	int status = pick(forward);
	char text[ERR_TEXT_BYTES];

	if (status == 0) {
		send_attempt(forward);
		return;
	}
	if (status == ERR_NO_FIT)
		rte_largest_text(forward->fwd->config.rte, forward->team,
				 forward->pool_name, text, sizeof(text));
	fail(forward, status, false,
	     status == ERR_NO_FIT ? text : err_answer(status)->message);
}

/* Reads a declared size; false if it is not a number within the limit. */
static bool read_size(const struct web_request *request, const char *name,
		      int64_t *size)
{
	const char *text = web_header(request, name);

	if (!text)
		return true;
	*size = apr_atoi64(text);
	return *text && strspn(text, "0123456789") == strlen(text) &&
	       strlen(text) <= 10 && *size <= LIM_DECLARED_SIZE;
}

static bool read_sizes(struct forward *forward)
{
	const struct web_request *request = forward->request;

	return read_size(request, "Plank-Cpu-Milli", &forward->cpu_milli) &&
	       read_size(request, "Plank-Mem-Mib", &forward->mem_mib) &&
	       read_size(request, "Plank-Accelerators", &forward->accelerators);
}

static bool is_repeatable(const struct web_request *request)
{
	static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT",
					       "DELETE" };
	const char *header = web_header(request, "Plank-Repeatable");

	if (header)
		return !strcasecmp(header, "yes");
	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (!strcmp(request->method, methods[i]))
			return true;
	return false;
}

/* Splits "/team/pool/rest?query"; false if it is not of that form. */
static bool split_target(struct forward *forward)
{
	char *target = apr_pstrdup(forward->pool, forward->request->target);
	char *pool, *rest;

	if (target[0] != '/' || !(pool = strchr(target + 1, '/')))
		return false;
	*pool++ = 0;
	rest = strchr(pool, '/');
	if (!rest)
		return false;
	*rest++ = 0;
	forward->team = target + 1;
	forward->pool_name = pool;
	forward->rest = rest;
	return jsn_valid_name(forward->team) &&
	       jsn_valid_name(forward->pool_name);
}

void fwd_start(struct fwd *fwd, struct web_request *request)
{
	struct forward *forward = apr_pcalloc(request->pool, sizeof(*forward));
	const char *deadline = web_header(request, "Plank-Deadline-Ms");
	int64_t deadline_ms = deadline ? apr_atoi64(deadline) : LIM_DEADLINE_MS;

	forward->fwd = fwd;
	forward->request = request;
	forward->pool = request->pool;
	if (!split_target(forward)) {
		fwd_refuse(fwd, request, ERR_INVALID,
			   "the path must be /{team}/{pool}/...");
		return;
	}
	if (deadline_ms < 1 || deadline_ms > LIM_DEADLINE_MAX_MS) {
		fwd_refuse(fwd, request, ERR_INVALID,
			   "Plank-Deadline-Ms must be from 1 to 3600000");
		return;
	}
	if (!read_sizes(forward)) {
		fwd_refuse(fwd, request, ERR_INVALID,
			   "Plank-Cpu-Milli, Plank-Mem-Mib and "
			   "Plank-Accelerators must be from 0 to 1000000000");
		return;
	}
	forward->repeatable = is_repeatable(request);
	forward->deadline_ms = now(fwd) + deadline_ms;
	fwd->active++;
	attempt(forward);
}

uint32_t fwd_active(const struct fwd *fwd)
{
	return fwd->active;
}
