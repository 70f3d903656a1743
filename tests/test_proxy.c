/*
 * Unit tests of claims in proxy: non-idempotent requests, with a caller and a
 * worker on loopback and simulated claims, all in this process. Guard against a
 * request that is sent without a claim or twice, and against a key that stays
 * claimed although nothing ran.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "proxy.h"
#include "suite.h"

/* Relative to PLANK_BASE_PORT. */
enum { ENTRY_PORT_OFFSET = 590, WORKER_PORT_OFFSET = 591 };

struct scenario {
	const char *key_time_ms, *deadline_ms;
	long caller_timeout_ms; /* then the caller disconnects; 0: never */
	bool late_claim;	/* claimed only after the request has ended */
	bool worker_refuses;
	struct err claim;
	int status;
	const char *outcome;
	int claims, runs, releases;
};

static const struct scenario scenarios[] = {
	/* Won: sent once. */
	{ "1", "9000", 0, false, false, { 0 }, 200, "answered", 1, 1, 0 },
	/* Sent once even if the worker reports that it did not run it. */
	{ "1", "9000", 0, false, true, { 0 }, 503, "not-run", 1, 1, 1 },
	/* Another claim holds the key: that request may have run. */
	{ "1",
	  "9000",
	  0,
	  false,
	  false,
	  { ERR_DUPLICATE, "e1" },
	  409,
	  "unknown",
	  1,
	  0,
	  0 },
	{ "1",
	  "9000",
	  0,
	  false,
	  false,
	  { ERR_GONE, "old" },
	  410,
	  "not-run",
	  1,
	  0,
	  0 },
	{ "1",
	  "9000",
	  0,
	  false,
	  false,
	  { ERR_UNAVAILABLE, "log" },
	  503,
	  "not-run",
	  1,
	  0,
	  0 },
	/* Missing or invalid time: not claimed. */
	{ NULL, "9000", 0, false, false, { 0 }, 400, "not-run", 0, 0, 0 },
	{ "12x", "9000", 0, false, false, { 0 }, 400, "not-run", 0, 0, 0 },
	/* Won after the deadline or after the caller left: released. */
	{ "1", "150", 0, true, false, { 0 }, 504, "not-run", 1, 0, 1 },
	{ "1", "9000", 150, true, false, { 0 }, 0, "", 1, 0, 1 },
	{ "1",
	  "150",
	  0,
	  true,
	  false,
	  { ERR_GONE, "old" },
	  504,
	  "not-run",
	  1,
	  0,
	  0 },
};

static const struct scenario *scenario;
static struct evloop *evloop;
static struct proxy *proxy;
static void (*claim_done)(void *arg, const struct err *result);
static void (*release_done)(void *arg);
static void *claim_arg, *release_arg;
static int claims, runs, releases;
static bool caller_done;
static long status;
static char outcome[16];

static void claim(void *arg, const char *team, const char *key,
		  int64_t key_time_ms, int64_t deadline_ms,
		  void (*done)(void *done_arg, const struct err *result),
		  void *done_arg)
{
	(void)arg;
	(void)deadline_ms;
	ck_assert_str_eq(team, "crew-shares");
	ck_assert_str_eq(key, "k");
	ck_assert_int_eq(key_time_ms, 1);
	claims++;
	claim_done = done;
	claim_arg = done_arg;
}

static void release(void *arg, const char *team, const char *key,
		    void (*done)(void *done_arg), void *done_arg)
{
	(void)arg;
	(void)team;
	ck_assert_str_eq(key, "k");
	releases++;
	release_done = done;
	release_arg = done_arg;
}

static void on_request(void *arg, struct web_request *request)
{
	(void)arg;
	proxy_start(proxy, request);
}

static void on_work(void *arg, struct web_request *request)
{
	static const struct web_header refusal[] = {
		{ "Plank-Refused", "yes" },
		{ NULL, NULL },
	};

	(void)arg;
	runs++;
	web_respond(request, scenario->worker_refuses ? 503 : 200,
		    scenario->worker_refuses ? refusal : NULL, "", 0);
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	(void)kind;
}

static bool remote_allowed(void *arg)
{
	(void)arg;
	return true;
}

static size_t take_header(char *data, size_t size, size_t n, void *arg)
{
	(void)arg;
	if (!strncmp(data, "Plank-Outcome: ", 15))
		sscanf(data + 15, "%15s", outcome);
	return size * n;
}

static void on_answer(void *arg, CURL *easy, CURLcode code)
{
	(void)arg;
	(void)code;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	caller_done = true;
	/* The caller gets its answer only after the key has been released. */
	if (!scenario->late_claim)
		ck_assert_ptr_null(release_done);
}

static void on_tick(void *arg)
{
	(void)arg;
	if (claim_done && (!scenario->late_claim || !proxy_active(proxy))) {
		void (*done)(void *, const struct err *) = claim_done;

		claim_done = NULL;
		done(claim_arg, &scenario->claim);
	} else if (release_done) {
		void (*done)(void *) = release_done;

		release_done = NULL;
		done(release_arg);
	} else if (caller_done && !proxy_active(proxy) && !claim_done) {
		evloop_stop(evloop);
	}
}

static uint16_t port(int offset)
{
	const char *base = getenv("PLANK_BASE_PORT");

	return (uint16_t)((base ? atoi(base) : 21000) + offset);
}

static struct web *listen_at(int offset,
			     void (*handle)(void *, struct web_request *))
{
	struct web_config config = {
		.address = "127.0.0.1",
		.port = port(offset),
		.max_body_bytes = 1024,
		.on_request = handle,
		.on_refused = on_refused,
	};
	struct web *web = web_create(evloop, &config, NULL);

	ck_assert_ptr_nonnull(web);
	return web;
}

/* Both workers are this process, so that runs counts for both. */
static struct route *add_two_workers(struct rnd *rnd)
{
	struct fleet *fleet = fleet_create();
	static const char *const names[] = { "w0", "w1" };
	struct route *route = route_create("e0", "suva", rnd);

	for (int i = 0; i < 2; i++) {
		struct fleet_host *host = table_add(fleet->hosts, names[i]);

		strcpy(host->team, "crew-shares");
		strcpy(host->pool, "payouts");
		strcpy(host->data_centre, "suva");
		strcpy(host->address, "127.0.0.1");
		host->port = port(WORKER_PORT_OFFSET);
		host->slots = 8;
		host->connections = 64;
		host->known = true;
	}
	route_sync(route, fleet, false, NULL, 0);
	fleet_destroy(fleet);
	return route;
}

static struct curl_slist *send_request(void)
{
	struct curl_slist *headers =
		curl_slist_append(NULL, "Idempotency-Key: k");
	CURL *easy = curl_easy_init();
	char text[128];

	if (scenario->key_time_ms) {
		snprintf(text, sizeof(text), "Plank-Key-Time-Ms: %s",
			 scenario->key_time_ms);
		headers = curl_slist_append(headers, text);
	}
	snprintf(text, sizeof(text), "Plank-Deadline-Ms: %s",
		 scenario->deadline_ms);
	headers = curl_slist_append(headers, text);
	snprintf(text, sizeof(text),
		 "http://127.0.0.1:%u/crew-shares/payouts/pay",
		 port(ENTRY_PORT_OFFSET));
	curl_easy_setopt(easy, CURLOPT_URL, text);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "x");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, scenario->caller_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_header);
	evloop_transfer(evloop, "127.0.0.1", easy, on_answer, NULL);
	return headers;
}

START_TEST(test_claims)
{
	static const struct proxy_claim_ops table = { claim, release, NULL };
	struct counters_def defs[PROXY_COUNTER_COUNT] = { 0 };
	struct proxy_config config = {
		.remote_allowed = remote_allowed,
		.claims = &table,
	};
	struct curl_slist *headers;
	struct web *entry, *worker;
	apr_pool_t *pool;
	struct rnd rnd;

	scenario = &scenarios[_i];
	apr_pool_create(&pool, NULL);
	rnd_init(&rnd, 3);
	config.evloop = evloop = evloop_create(clk_system());
	config.route = add_two_workers(&rnd);
	config.counters = counters_create(pool, defs, PROXY_COUNTER_COUNT);
	proxy = proxy_create(&config);
	entry = listen_at(ENTRY_PORT_OFFSET, on_request);
	worker = listen_at(WORKER_PORT_OFFSET, on_work);
	headers = send_request();
	evloop_add_timer(evloop, 5, on_tick, NULL);
	evloop_run(evloop);
	ck_assert_int_eq(status, scenario->status);
	ck_assert_str_eq(outcome, scenario->outcome);
	ck_assert_int_eq(claims, scenario->claims);
	ck_assert_int_eq(runs, scenario->runs);
	ck_assert_int_eq(releases, scenario->releases);
	curl_slist_free_all(headers);
	web_destroy(entry);
	web_destroy(worker);
	proxy_destroy(proxy);
	route_destroy(config.route);
	evloop_destroy(evloop);
	apr_pool_destroy(pool);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("proxy");
	TCase *tcase = tcase_create("proxy");

	apr_initialize();
	tcase_add_loop_test(tcase, test_claims, 0,
			    sizeof(scenarios) / sizeof(scenarios[0]));
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
