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
	const char *key; /* claimed for this request, or NULL */
	int kind;	 /* of the failure, while the key is released */
	const char *text;
	uint32_t tried_count;
	const char *tried[LIM_ATTEMPTS];

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
	    !strcasecmp(line, "Transfer-Encoding"))
		forward->has_length = true;
	if (!strcasecmp(line, "Plank-Refused"))
		forward->refused = true;
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
}

static void finish(struct forward *forward)
{
	free_attempt(forward);
	forward->fwd->active--;
}

static void release_done(void *arg)
{
	struct forward *forward = arg;

	respond_failure(forward->fwd, forward->request, forward->kind, false,
			forward->text);
	finish(forward);
}

static void fail(struct forward *forward, int kind, bool ran_maybe,
		 const char *text)
{
	const struct fwd_claims *claims = forward->fwd->config.claims;

	if (claims && forward->key && !ran_maybe) {
		forward->kind = kind;
		forward->text = text;
		claims->release(claims->arg, forward->team, forward->key,
				release_done, forward);
		return;
	}
	respond_failure(forward->fwd, forward->request, kind, ran_maybe, text);
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

/* Another attempt if there may be one, else the given failure. */
static void retry_or_fail(struct forward *forward, int kind, bool ran_maybe,
			  const char *text)
{
	struct fwd *fwd = forward->fwd;

	free_attempt(forward);
	if (forward->tried_count < LIM_ATTEMPTS &&
	    now(fwd) < forward->deadline_ms &&
	    (!ran_maybe || forward->repeatable) &&
	    /* After a claim the request is sent once; ERR_NO_WORKER tells
	       that not a byte was. */
	    (!forward->key || kind == ERR_NO_WORKER) &&
	    rte_may_retry(fwd->config.rte)) {
		count(fwd, FWD_RETRIES);
		attempt(forward);
		return;
	}
	fail(forward, kind, ran_maybe, text);
}

/* Whether any byte of the request may have reached the worker. */
static bool was_sent(CURL *easy, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return false;
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	return sent > 0;
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
	bool sent = was_sent(easy, code);
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 503 && forward->refused) {
		rte_done(fwd->config.rte, forward->worker, RTE_REFUSED,
			 now(fwd));
		count(fwd, FWD_REFUSED_BY_WORKER);
		retry_or_fail(forward, ERR_OVERLOAD, false,
			      "the worker refused the request");
		return;
	}
	if (code == CURLE_OK && is_whole(forward, status)) {
		rte_done(fwd->config.rte, forward->worker, RTE_ANSWERED,
			 now(fwd));
		pass_on(forward, status);
		return;
	}
	rte_done(fwd->config.rte, forward->worker, RTE_FAILED, now(fwd));
	count(fwd, FWD_FAILED_AT_WORKER);
	if (!sent) {
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
	evl_transfer(fwd->config.evl, easy, attempt_done, forward);
}

static void attempt(struct forward *forward)
{
	struct fwd *fwd = forward->fwd;
	struct rte_query query = {
		.team = forward->team,
		.pool = forward->pool_name,
		.now_ms = now(fwd),
		.remote_allowed = fwd->config.remote_allowed(fwd->config.arg),
		.tried_count = forward->tried_count,
		.tried = forward->tried,
	};
	int status;

	if (forward->key && query.now_ms >= forward->deadline_ms) {
		fail(forward, ERR_TIMEOUT, false,
		     "the deadline passed before the request was sent");
		return;
	}
	status = rte_pick(fwd->config.rte, &query, &forward->worker);
	if (status < 0) {
		fail(forward, status, false, err_answer(status)->message);
		return;
	}
	forward->tried[forward->tried_count++] =
		apr_pstrdup(forward->pool, forward->worker->name);
	send_attempt(forward);
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

static void claim_done(void *arg, const struct err *result)
{
	struct forward *forward = arg;
	bool held = result->kind == ERR_DUPLICATE;

	if (result->kind == 0) {
		attempt(forward);
		return;
	}
	forward->key = NULL;
	fail(forward, result->kind, held, result->text);
}

/* Claims the request's key if it has one, and goes on to the first attempt. */
static void claim_key(struct forward *forward)
{
	const struct fwd_claims *claims = forward->fwd->config.claims;
	const char *key = web_header(forward->request, "Idempotency-Key");
	const char *time = web_header(forward->request, "Plank-Key-Time-Ms");

	if (forward->repeatable || !key) {
		attempt(forward);
	} else if (!claims) {
		fail(forward, ERR_UNAVAILABLE, false,
		     "keys cannot be claimed: platform_url is not set");
	} else if (!*key || !time || apr_atoi64(time) < 1) {
		fail(forward, ERR_INVALID, false,
		     "Idempotency-Key needs Plank-Key-Time-Ms, the time in ms "
		     "since 1970 when the key was first used");
	} else {
		forward->key = apr_pstrdup(forward->pool, key);
		claims->claim(claims->arg, forward->team, forward->key,
			      apr_atoi64(time), forward->deadline_ms,
			      claim_done, forward);
	}
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
	forward->repeatable = is_repeatable(request);
	forward->deadline_ms = now(fwd) + deadline_ms;
	fwd->active++;
	claim_key(forward);
}

uint32_t fwd_active(const struct fwd *fwd)
{
	return fwd->active;
}
