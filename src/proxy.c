#include "proxy_int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "jcursor.h"

void proxy_count(struct proxy *proxy, size_t counter)
{
	counters_inc(proxy->config.counters,
		     proxy->config.first_counter + counter);
}

int64_t proxy_now_ms(const struct proxy *proxy)
{
	return clk_now_ms(evloop_clk(proxy->config.evloop));
}

static void respond_failure(struct proxy *proxy, struct web_request *request,
			    const struct failure *failure, bool may_have_run,
			    int64_t retry_ms)
{
	int status = err_answer(failure->kind)->http_status;
	bool retryable = status == 503 || failure->kind == ERR_EXPIRED;
	int64_t retry_s = retry_ms < 1000 ? 1 : (retry_ms + 999) / 1000;
	const char *outcome = may_have_run ? "unknown" : "not-run";
	const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Plank-Outcome", outcome },
		{ "Plank-Reason", err_name(failure->kind) },
		{ retryable ? "Retry-After" : NULL,
		  apr_psprintf(request->pool, "%" APR_INT64_T_FMT, retry_s) },
		{ NULL, NULL },
	};
	struct json_object *obj = json_object_new_object();
	const char *body;

	proxy_count(proxy, may_have_run ? PROXY_UNKNOWN : PROXY_NOT_RUN);
	jcursor_put_string(obj, "error", err_name(failure->kind));
	jcursor_put_string(obj, "text", failure->text);
	jcursor_put_string(obj, "outcome", outcome);
	body = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	web_respond(request, status, headers, body, strlen(body));
	json_object_put(obj);
}

void proxy_refuse(struct proxy *proxy, struct web_request *request, int kind,
		  const char *text)
{
	const struct failure failure = { kind, text };

	respond_failure(proxy, request, &failure, false, 0);
}

static void append_active(struct proxy *proxy, struct forward *forward)
{
	forward->prev = proxy->last;
	forward->next = NULL;
	if (proxy->last)
		proxy->last->next = forward;
	else
		proxy->first = forward;
	proxy->last = forward;
}

static void remove_active(struct proxy *proxy, struct forward *forward)
{
	if (forward->prev)
		forward->prev->next = forward->next;
	else
		proxy->first = forward->next;
	if (forward->next)
		forward->next->prev = forward->prev;
	else
		proxy->last = forward->prev;
}

/* Frees an answered request. A pending claim outlives it. */
static void finish_request(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;

	proxy_send_free(forward);
	admit_remove(proxy->admit, &forward->entry);
	proxy_claim_end(forward);
	remove_active(proxy, forward);
	proxy->active--;
}

void proxy_answer_failure(struct forward *forward)
{
	respond_failure(forward->proxy, forward->request, &forward->failure,
			forward->may_have_run, forward->retry_ms);
	finish_request(forward);
}

void proxy_end_failed(struct forward *forward, int kind, const char *text)
{
	forward->failure = (struct failure){ kind, text };
	admit_remove(forward->proxy->admit, &forward->entry);
	if (!proxy_claim_release(forward))
		proxy_answer_failure(forward);
}

static void send_worker_answer(struct forward *forward, long status)
{
	static const struct web_header outcome = { "Plank-Outcome",
						   "answered" };
	static const struct web_header last = { NULL, NULL };
	struct web_header outcome_only[2] = { outcome, last };
	struct web_header *headers = outcome_only;

	if (forward->header_count) {
		headers = forward->answer_headers;
		headers[forward->header_count] = outcome;
		headers[forward->header_count + 1] = last;
	}
	proxy_count(forward->proxy, PROXY_ANSWERED);
	web_respond(forward->request, (int)status, headers, forward->answer,
		    forward->answer_len);
	finish_request(forward);
}

static bool may_retry(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;

	/* A claimed request is sent to one worker only, even if that worker
	   reports that it did not run it. */
	return forward->tried_count < LIMIT_ATTEMPTS &&
	       forward->failed_count < LIMIT_FAILED_WORKERS &&
	       proxy_now_ms(proxy) < forward->entry.deadline_ms &&
	       !(forward->claim && forward->sent) &&
	       (!forward->may_have_run || forward->repeatable) &&
	       route_may_retry(proxy->config.route);
}

/* Frees the worker's slot without affecting the worker's score. */
static void release_worker_slot(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;
	route_done(proxy->config.route, forward->worker, ROUTE_ABANDONED,
		   proxy_now_ms(proxy));
}

/*
 * Whether the attempt started too close to its deadline to blame the worker for
 * a timeout. In an overload many attempts do; counted as failures, they kept
 * every worker of a pool out of use for up to 30 s.
 */
static bool started_near_deadline(const struct forward *forward)
{
	const struct admit_entry *entry = &forward->entry;

	return entry->deadline_ms - entry->started_ms <
	       2 * admit_average_run_ms(entry->pool, entry->priority);
}

/*
 * Records that the current worker received the request and failed. After the
 * second such worker, the request itself is considered the cause.
 */
static void record_failed_worker(struct forward *forward)
{
	forward->failed[forward->failed_count++] =
		forward->tried[forward->tried_count - 1];
	if (forward->failed_count < LIMIT_FAILED_WORKERS)
		return;
	for (uint32_t i = 0; i < forward->failed_count; i++)
		route_undo_failure(forward->proxy->config.route,
				   forward->failed[i]);
}

static struct route_query make_query(const struct forward *forward)
{
	const struct proxy *proxy = forward->proxy;

	return (struct route_query){
		.team = forward->team,
		.pool = forward->pool_name,
		.now_ms = proxy_now_ms(proxy),
		.remote_allowed =
			proxy->config.remote_allowed(proxy->config.arg),
		.idempotent = forward->repeatable,
		.cpu_milli = forward->cpu_milli,
		.mem_mib = forward->mem_mib,
		.accelerators = forward->accelerators,
		.tried_count = forward->tried_count,
		.tried = forward->tried,
	};
}

int proxy_pick_worker(struct forward *forward)
{
	struct route_query query = make_query(forward);
	int status = route_pick(forward->proxy->config.route, &query,
				&forward->worker);

	if (status == 0)
		forward->tried[forward->tried_count++] =
			apr_pstrdup(forward->pool, forward->worker->name);
	return status;
}

/*
 * Retries an idempotent request that got a complete 5xx answer, if another
 * worker is free now. The request stays in flight. Returns false if it is not
 * retried and the answer must be passed on.
 */
static bool retry_after_5xx(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;

	if (!forward->repeatable || !may_retry(forward) ||
	    proxy_pick_worker(forward) < 0)
		return false;
	proxy_count(proxy, PROXY_RETRIES);
	forward->may_have_run = true;
	forward->failure =
		(struct failure){ ERR_UNKNOWN, "a worker failed the request" };
	proxy_send_free(forward);
	proxy_send(forward, proxy->config.evloop);
	return true;
}

static void count_attempt_result(struct proxy *proxy,
				 const struct attempt_end *end)
{
	if (end->result == ROUTE_REFUSED || end->result == ROUTE_LEAVING)
		proxy_count(proxy, PROXY_REFUSED_BY_WORKER);
	if (end->result == ROUTE_FAILED)
		proxy_count(proxy, PROXY_FAILED_AT_WORKER);
	if (end->truncated)
		proxy_count(proxy, PROXY_TRUNCATED);
}

void proxy_attempt_done(struct forward *forward, const struct attempt_end *end)
{
	struct proxy *proxy = forward->proxy;
	bool near_deadline = end->failure.kind == ERR_TIMEOUT &&
			     started_near_deadline(forward);

	if (near_deadline)
		release_worker_slot(forward);
	else
		route_done(proxy->config.route, forward->worker, end->result,
			   proxy_now_ms(proxy));
	if (end->result == ROUTE_FAILED && forward->sent && !near_deadline)
		record_failed_worker(forward);
	count_attempt_result(proxy, end);
	if (end->result == ROUTE_FAILED && !end->failure.kind &&
	    retry_after_5xx(forward))
		return;
	admit_end(proxy->admit, &forward->entry, end->result == ROUTE_ANSWERED,
		  proxy_now_ms(proxy));
	forward->may_have_run |= end->may_have_run;
	/* The worker may be tried again: it is avoided for 1 s, and by then
	   may have a free slot. */
	if (end->result == ROUTE_REFUSED)
		forward->tried_count--;
	if (!end->failure.kind) {
		send_worker_answer(forward, end->status);
	} else if (may_retry(forward)) {
		proxy_count(proxy, PROXY_RETRIES);
		proxy_send_free(forward);
		forward->failure = end->failure;
		forward->stage = FORWARD_QUEUED;
		admit_push_front(proxy->admit, &forward->entry);
	} else {
		proxy_end_failed(forward, end->failure.kind, end->failure.text);
	}
	proxy_dispatch(proxy);
}

const char *proxy_failure_text(struct forward *forward, int status)
{
	char text[ERR_TEXT_BYTES];

	if (status != ERR_NO_FIT)
		return err_answer(status)->message;
	route_largest_text(forward->proxy->config.route, forward->team,
			   forward->pool_name, text, sizeof(text));
	return apr_pstrdup(forward->pool, text);
}

static void update_quota(struct proxy *proxy, struct admit_pool *pool)
{
	if (proxy->config.quota)
		admit_set_quota(pool,
				proxy->config.quota(proxy->config.arg,
						    admit_pool_team(pool)));
}

/*
 * Cancels a request whose caller has disconnected, since nobody will read the
 * answer. A non-idempotent request that has been sent runs to its end.
 */
static void cancel_request(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;

	if (forward->stage == FORWARD_RELEASING ||
	    (forward->stage == FORWARD_SENDING && !forward->repeatable))
		return;
	if (forward->stage == FORWARD_SENDING) {
		proxy_count(proxy, PROXY_CANCELLED_IN_FLIGHT);
		evloop_cancel(proxy->config.evloop, forward->easy);
		release_worker_slot(forward);
		admit_end(proxy->admit, &forward->entry, false,
			  proxy_now_ms(proxy));
		forward->may_have_run = true;
	} else {
		proxy_count(proxy, PROXY_CANCELLED_QUEUED);
	}
	proxy_end_failed(forward, ERR_TRUNCATED,
			 "the caller closed its connection");
}

/*
 * Checks the callers of a bounded number of requests, in rotation, and expires
 * requests whose claim has not been answered in time.
 */
static void check_callers(struct proxy *proxy)
{
	uint32_t remaining = proxy->active < LIMIT_CALLER_CHECKS
				     ? proxy->active
				     : LIMIT_CALLER_CHECKS;

	for (; remaining > 0 && proxy->first; remaining--) {
		struct forward *forward = proxy->first;

		remove_active(proxy, forward);
		append_active(proxy, forward);
		if (web_caller_disconnected(forward->request)) {
			cancel_request(forward);
		} else if (forward->stage == FORWARD_CLAIMING &&
			   proxy_now_ms(proxy) >=
				   forward->entry.deadline_ms +
					   LIMIT_CLAIM_GRACE_MS) {
			proxy_count(proxy,
				    PROXY_EXPIRED + forward->entry.priority);
			proxy_end_failed(forward, ERR_EXPIRED,
					 err_answer(ERR_EXPIRED)->message);
		}
	}
}

static void tick(void *arg)
{
	struct proxy *proxy = arg;
	struct admit_pool *pool = NULL;

	while ((pool = admit_next_pool(proxy->admit, pool)))
		update_quota(proxy, pool);
	admit_expire(proxy->admit, proxy_now_ms(proxy), proxy_queue_expire,
		     proxy);
	check_callers(proxy);
	proxy_dispatch(proxy);
	for (size_t i = 0; i < ADMIT_PRIORITIES; i++)
		counters_set(
			proxy->config.counters,
			proxy->config.first_counter + PROXY_QUEUED + i,
			admit_queued(proxy->admit, (enum admit_priority)i));
	counters_set(proxy->config.counters,
		     proxy->config.first_counter + PROXY_IN_FLIGHT,
		     admit_in_flight(proxy->admit));
}

struct proxy *proxy_create(const struct proxy_config *config)
{
	struct proxy *proxy = calloc(1, sizeof(*proxy));

	if (!proxy)
		return NULL;
	proxy->config = *config;
	proxy->admit =
		admit_create(config->policy ? config->policy : &admit_standard);
	evloop_add_timer(config->evloop, LIMIT_TICK_MS, tick, proxy);
	return proxy;
}

void proxy_destroy(struct proxy *proxy)
{
	if (!proxy)
		return;
	admit_destroy(proxy->admit);
	free(proxy);
}

/* Updates the request's pool; an error if the pool cannot take the request. */
static int check_pool(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;
	struct route_query query = make_query(forward);
	struct route_capacity capacity;
	int status = route_check(proxy->config.route, &query);

	if (status < 0)
		return status;
	/* Only after route_check: admit keeps each pool that it creates, so
	   names that are not in the settings would use up memory. */
	forward->entry.pool =
		admit_pool(proxy->admit, forward->team, forward->pool_name);
	route_pool_capacity(proxy->config.route, forward->team,
			    forward->pool_name, &capacity);
	admit_set_slots(forward->entry.pool, capacity.slots,
			capacity.in_flight);
	update_quota(proxy, forward->entry.pool);
	return 0;
}

void proxy_start(struct proxy *proxy, struct web_request *request)
{
	struct forward *forward = apr_pcalloc(request->pool, sizeof(*forward));
	const char *key = web_header(request, "Idempotency-Key");
	bool needs_claim = false;
	int64_t key_time_ms =
		proxy_read_time(web_header(request, "Plank-Key-Time-Ms"));
	const char *error;
	int status;

	forward->proxy = proxy;
	forward->request = request;
	forward->pool = request->pool;
	error = proxy_read(forward, proxy_now_ms(proxy));
	needs_claim = key && !forward->repeatable;
	if (!error && needs_claim && (!*key || !key_time_ms))
		error = "Idempotency-Key needs Plank-Key-Time-Ms, the time in "
			"ms since 1970 when the key was first used";
	if (error) {
		proxy_refuse(proxy, request, ERR_INVALID, error);
		return;
	}
	if (needs_claim && !proxy->config.claims) {
		proxy_refuse(proxy, request, ERR_UNAVAILABLE,
			     "keys cannot be claimed because platform_url is "
			     "not set");
		return;
	}
	status = check_pool(forward);
	if (status < 0) {
		proxy_refuse(proxy, request, status,
			     proxy_failure_text(forward, status));
		return;
	}
	proxy->active++;
	append_active(proxy, forward);
	if (!needs_claim)
		proxy_enqueue(forward);
	else if (admit_check(proxy->admit, &forward->entry, proxy_now_ms(proxy),
			     &forward->retry_ms) < 0)
		proxy_queue_shed(forward);
	else
		proxy_claim_start(forward, proxy->config.claims, key,
				  key_time_ms);
}

uint32_t proxy_active(const struct proxy *proxy)
{
	return proxy->active;
}
