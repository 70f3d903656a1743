/* plank-load - open-loop load generator for the entry daemons */

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <time.h>

#include <argtable2.h>
#include <curl/curl.h>

#include "arrival.h"
#include "clk.h"
#include "cmd.h"
#include "err.h"
#include "limit.h"
#include "load_report.h"
#include "rnd.h"

enum {
	MAX_URLS = 64,
	RESPONSE_GRACE_MS = 5000, /* to wait after the deadline */
	TEXT_BYTES = 256
};

/* Defaults of a user's workload; command-line options override them. */
struct shape {
	const char *name;
	bool bursts;
	double burst_s;
	const char *team;
	const char *pools;
	const char *mix;	 /* shares of the priorities, in percent */
	const char *sleep_ms;	 /* mean service time of each priority */
	const char *deadline_ms; /* of each priority */
	double once_share;	 /* of non-idempotent requests */
};

static const struct shape shapes[] = {
	{ "flat", false, 0, "crew-shares",
	  "payouts,settlements,advances,tallies,member-records", "20,70,10",
	  "20,50,500", "6000,30000,600000", 0.2 },
	{ "payouts", true, 6, "crew-shares",
	  "payouts,settlements,advances,tallies,member-records", "10,80,10",
	  "50,100,1000", "6000,30000,600000", 0.6 },
	{ "ads", true, 4, "shelter-ads",
	  "proofs,playlists,bookings,billing,audits", "30,50,20",
	  "100,100,2000", "6000,30000,600000", 0.3 },
};

enum { SHAPE_COUNT = sizeof(shapes) / sizeof(shapes[0]) };

struct request {
	struct request *next;
	struct request **prev_next; /* the pointer to this request */
	CURL *easy;
	struct curl_slist *headers;
	int64_t at_us; /* scheduled time */
	uint32_t pool;
	uint32_t priority;
	int outcome; /* from Plank-Outcome */
};

struct load {
	const char *urls[MAX_URLS];
	uint32_t url_count;
	const char *team;
	int64_t mix[LOAD_PRIORITIES];
	int64_t sleep_ms[LOAD_PRIORITIES];
	int64_t deadline_ms[LOAD_PRIORITIES];
	double once_share;
	bool no_keys; /* non-idempotent requests without a key */
	double duration_s;
	double cancel_share; /* of active requests, per cancellation */
	double cancel_every_s;
	int64_t max_lost; /* -1: no limit */
	struct arrival_config schedule;

	CURLM *multi;
	struct rnd rnd;
	struct rnd cancel_rnd;
	int64_t start_us;
	struct request *active;
	struct load_result result;
};

static struct load load;

static int64_t now_us(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return at.tv_sec * 1000000LL + at.tv_nsec / 1000 - load.start_us;
}

/* Random number, at least 0 and less than 1. */
static double random_unit(struct rnd *rnd)
{
	return (double)(rnd_next(rnd) >> 11) * 0x1p-53;
}

static size_t discard_body(char *data, size_t size, size_t count, void *arg)
{
	(void)data;
	(void)arg;
	return size * count;
}

static size_t read_header(char *data, size_t size, size_t count, void *arg)
{
	static const char name[] = "Plank-Outcome:";
	struct request *request = arg;
	size_t len = size * count;
	char value[16] = "";

	if (len < sizeof(name) || strncasecmp(data, name, sizeof(name) - 1))
		return len;
	snprintf(value, sizeof(value), "%.*s", (int)(len - sizeof(name) + 1),
		 data + sizeof(name) - 1);
	request->outcome = strstr(value, "answered")  ? LOAD_ANSWERED
			   : strstr(value, "not-run") ? LOAD_NOT_RUN
						      : LOAD_UNKNOWN;
	return len;
}

static void add_header(struct request *request, const char *name,
		       const char *value)
{
	char line[TEXT_BYTES];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	request->headers = curl_slist_append(request->headers, line);
}

static uint32_t random_priority(void)
{
	int64_t draw = rnd_below(&load.rnd, 100);
	uint32_t priority = 0;

	while (priority < LOAD_PRIORITIES - 1 && draw >= load.mix[priority])
		draw -= load.mix[priority++];
	return priority;
}

static void set_headers(struct request *request, bool once, const char *id)
{
	char deadline[24], key_time[24];

	snprintf(deadline, sizeof(deadline), "%" PRId64,
		 load.deadline_ms[request->priority]);
	add_header(request, "Plank-Priority",
		   load_priority_names[request->priority]);
	add_header(request, "Plank-Deadline-Ms", deadline);
	if (once && !load.no_keys) {
		snprintf(key_time, sizeof(key_time), "%" PRId64,
			 clk_wall_ms(clk_system()));
		add_header(request, "Idempotency-Key", id);
		add_header(request, "Plank-Key-Time-Ms", key_time);
	}
	request->headers = curl_slist_append(request->headers, "Expect:");
	curl_easy_setopt(request->easy, CURLOPT_HTTPHEADER, request->headers);
}

/*
 * Makes all random choices of a request, in the order of the schedule, so that
 * a run can be repeated.
 */
static void send_request(const struct arrival_event *event)
{
	struct request *request = calloc(1, sizeof(*request));
	uint32_t entry = rnd_below(&load.rnd, load.url_count);
	bool once = random_unit(&load.rnd) < load.once_share;
	char url[2 * TEXT_BYTES], id[LIMIT_ID_BYTES];
	int64_t sleep_ms;

	if (!request)
		abort();
	request->at_us = event->at_us;
	request->pool = event->pool;
	request->priority = random_priority();
	request->outcome = LOAD_NONE;
	request->easy = curl_easy_init();
	sleep_ms = (int64_t)((double)load.sleep_ms[request->priority] *
			     (0.5 + random_unit(&load.rnd)));
	rnd_make_id(&load.rnd, id);
	snprintf(url, sizeof(url), "%s/%s/%s/load?sleep_ms=%" PRId64,
		 load.urls[entry], load.team, load.result.pools[event->pool],
		 sleep_ms);
	curl_easy_setopt(request->easy, CURLOPT_URL, url);
	curl_easy_setopt(request->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(request->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(request->easy, CURLOPT_TIMEOUT_MS,
			 (long)load.deadline_ms[request->priority] +
				 RESPONSE_GRACE_MS);
	curl_easy_setopt(request->easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(request->easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(request->easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(request->easy, CURLOPT_PRIVATE, request);
	if (once) {
		curl_easy_setopt(request->easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(request->easy, CURLOPT_POSTFIELDSIZE, 0L);
		/* On a reused connection that turns out to be closed, libcurl
		   would send the request twice. */
		curl_easy_setopt(request->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(request->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	set_headers(request, once, id);
	request->next = load.active;
	request->prev_next = &load.active;
	if (request->next)
		request->next->prev_next = &request->next;
	load.active = request;
	load.result.sent++;
	histo_add(&load.result.send_delay_us, now_us() - event->at_us);
	curl_multi_add_handle(load.multi, request->easy);
}

static void free_request(struct request *request)
{
	*request->prev_next = request->next;
	if (request->next)
		request->next->prev_next = request->prev_next;
	curl_multi_remove_handle(load.multi, request->easy);
	curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->headers);
	free(request);
}

static void finish_request(struct request *request, CURLcode code)
{
	int64_t latency_us = now_us() - request->at_us;
	long status = 0;

	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK) {
		request->outcome = LOAD_NONE;
		status = 0;
	}
	load.result.outcomes[request->outcome]++;
	load.result
		.status[status >= 0 && status < LOAD_MAX_STATUS ? status : 0]++;
	if (request->outcome == LOAD_ANSWERED) {
		histo_add(&load.result.latency_us, latency_us);
		histo_add(
			&load.result.latency_us_by_priority[request->priority],
			latency_us);
		histo_add(&load.result.latency_us_by_pool[request->pool],
			  latency_us);
	}
	free_request(request);
}

static void finish_requests(void)
{
	int left;

	for (CURLMsg *msg; (msg = curl_multi_info_read(load.multi, &left));) {
		struct request *request = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&request);
		finish_request(request, msg->data.result);
	}
}

/* Cancels some active requests; removing a transfer closes its connection. */
static void cancel_requests(void)
{
	struct request *next;

	for (struct request *request = load.active; request; request = next) {
		next = request->next;
		if (random_unit(&load.cancel_rnd) >= load.cancel_share)
			continue;
		load.result.outcomes[LOAD_CANCELLED]++;
		free_request(request);
	}
}

static void run(void)
{
	int64_t end_us = (int64_t)(load.duration_s * 1e6);
	int64_t cancel_every_us = (int64_t)(load.cancel_every_s * 1e6);
	int64_t cancel_us = load.cancel_share > 0 ? cancel_every_us : INT64_MAX;
	struct arrival_event event;
	struct arrival arrival;

	arrival_init(&arrival, &load.schedule);
	event = arrival_next(&arrival);
	load.start_us = now_us();
	while (event.at_us < end_us || load.active) {
		int64_t at_us = event.at_us < end_us ? event.at_us : INT64_MAX;
		int64_t wait_ms;
		int running;

		while (at_us <= now_us()) {
			send_request(&event);
			event = arrival_next(&arrival);
			at_us = event.at_us < end_us ? event.at_us : INT64_MAX;
		}
		curl_multi_perform(load.multi, &running);
		finish_requests();
		if (now_us() >= cancel_us && cancel_us < end_us) {
			cancel_requests();
			cancel_us += cancel_every_us;
		}
		wait_ms = ((at_us < cancel_us ? at_us : cancel_us) - now_us()) /
			  1000;
		wait_ms = wait_ms < 0 ? 0 : wait_ms > 100 ? 100 : wait_ms;
		curl_multi_poll(load.multi, NULL, 0, (int)wait_ms, NULL);
	}
}

static bool parse_triple(const char *text, int64_t min, int64_t *values)
{
	char rest;

	return sscanf(text, "%" SCNd64 ",%" SCNd64 ",%" SCNd64 "%c", &values[0],
		      &values[1], &values[2], &rest) == 3 &&
	       values[0] >= min && values[1] >= min && values[2] >= min;
}

/* Splits text in place; load.result.pools points into it. */
static void parse_pools(char *text)
{
	char *save;

	for (char *name = strtok_r(text, ",", &save);
	     name && load.result.pool_count < ARRIVAL_MAX_POOLS;
	     name = strtok_r(NULL, ",", &save))
		load.result.pools[load.result.pool_count++] = name;
}

static const struct shape *find_shape(const char *name)
{
	for (int i = 0; i < SHAPE_COUNT; i++)
		if (!strcmp(shapes[i].name, name))
			return &shapes[i];
	return NULL;
}

static const char *text_or(const struct arg_str *arg, const char *fallback)
{
	return arg->count ? arg->sval[0] : fallback;
}

static double number_or(const struct arg_dbl *arg, double fallback)
{
	return arg->count ? arg->dval[0] : fallback;
}

static const char *check_options(void)
{
	const struct arrival_config *schedule = &load.schedule;

	if (!load.url_count)
		return "--url is required";
	if (!load.result.pool_count)
		return "--pools: no pool given";
	if (!(schedule->rate > 0) || !(load.duration_s > 0))
		return "--rate and --duration must be above 0";
	if (schedule->bursts && !(schedule->burst_s > 0))
		return "--burst must be above 0";
	if (!(load.once_share >= 0 && load.once_share <= 1) ||
	    !(load.cancel_share >= 0 && load.cancel_share <= 1))
		return "--once and --cancel must be from 0 to 1";
	if (!(load.cancel_every_s > 0))
		return "--cancel-every must be above 0";
	return NULL;
}

/* Each open request needs a descriptor; overload keeps many of them open. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run_and_report(bool json)
{
	uint64_t lost;

	raise_file_limit();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load.multi = curl_multi_init();
	load.result.seed = load.schedule.seed;
	rnd_init(&load.rnd, load.schedule.seed);
	rnd_init(&load.cancel_rnd, ~load.schedule.seed);
	run();
	curl_multi_cleanup(load.multi);
	curl_global_cleanup();
	if (json) {
		struct json_object *obj = load_report_json(&load.result);

		printf("%s\n", json_object_to_json_string_ext(
				       obj, JSON_C_TO_STRING_PLAIN));
		json_object_put(obj);
	} else {
		load_report_print(&load.result);
	}
	lost = load.result.outcomes[LOAD_NONE] +
	       load.result.outcomes[LOAD_UNKNOWN];
	if (load.max_lost < 0 || lost <= (uint64_t)load.max_lost)
		return 0;
	fprintf(stderr,
		"plank-load: %" PRIu64 " requests without a response or with "
		"unknown outcome, at most %" PRId64 " allowed\n",
		lost, load.max_lost);
	return err_answer(ERR_UNKNOWN)->exit_code;
}

int main(int argc, char **argv)
{
	struct arg_str *urls = arg_strn("u", "url", "URL", 0, MAX_URLS,
					"entry daemon; may be repeated");
	struct arg_str *shape = arg_str0("s", "shape", "flat|payouts|ads",
					 "workload that gives the defaults of "
					 "other options (flat)");
	struct arg_str *team = arg_str0(NULL, "team", "TEAM", "team");
	struct arg_str *pools =
		arg_str0(NULL, "pools", "NAME,...", "pools of the team");
	struct arg_str *mix = arg_str0(
		NULL, "mix", "U,N,L", "percentages of urgent, normal and long");
	struct arg_str *sleep_ms =
		arg_str0(NULL, "sleep-ms", "U,N,L",
			 "mean service time of each priority, uniformly "
			 "distributed from 0.5 to 1.5 times the mean");
	struct arg_str *deadline_ms = arg_str0(NULL, "deadline-ms", "U,N,L",
					       "deadline of each priority");
	struct arg_dbl *rate =
		arg_dbl0("r", "rate", "N", "total requests per second (100)");
	struct arg_dbl *duration = arg_dbl0("d", "duration", "SECONDS",
					    "duration of the run (10)");
	struct arg_dbl *burst =
		arg_dbl0(NULL, "burst", "SECONDS", "duration of a burst");
	struct arg_dbl *once =
		arg_dbl0(NULL, "once", "SHARE",
			 "share of non-idempotent requests, 0 to 1");
	struct arg_lit *no_keys = arg_lit0(
		NULL, "no-keys",
		"send non-idempotent requests without Idempotency-Key");
	struct arg_dbl *cancel = arg_dbl0(
		NULL, "cancel", "SHARE",
		"share of active requests that each cancellation drops (0)");
	struct arg_dbl *every = arg_dbl0(NULL, "cancel-every", "SECONDS",
					 "time between cancellations (5)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed (1)");
	struct arg_int *max_lost =
		arg_int0(NULL, "max-lost", "N",
			 "fail if more requests have outcome none or unknown");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = { urls,	    shape,	 team,	 pools,	   mix,
			  sleep_ms, deadline_ms, rate,	 duration, burst,
			  once,	    no_keys,	 cancel, every,	   seed,
			  max_lost, json,	 help,	 version,  end };
	int error_count = arg_parse(argc, argv, table);
	const struct shape *base = find_shape(text_or(shape, "flat"));
	const char *error = base ? NULL : "--shape: unknown shape";
	char *pool_text = NULL;
	int status = 0;

	if (help->count) {
		printf("Usage: plank-load");
		arg_print_syntax(stdout, table, "\n\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		printf("\nLatency is measured from the scheduled time, for "
		       "answered requests only.\n");
	} else if (version->count) {
		printf("plank-load %s\n", CMD_VERSION);
	} else if (error_count) {
		arg_print_errors(stderr, end, "plank-load");
		status = err_answer(ERR_INVALID)->exit_code;
	} else {
		if (base) {
			pool_text = strdup(text_or(pools, base->pools));
			parse_pools(pool_text);
			load.team = text_or(team, base->team);
			load.once_share = number_or(once, base->once_share);
			load.no_keys = no_keys->count > 0;
			if (!parse_triple(text_or(mix, base->mix), 0,
					  load.mix) ||
			    load.mix[0] + load.mix[1] + load.mix[2] != 100)
				error = "--mix: three numbers with sum 100";
			if (!parse_triple(text_or(sleep_ms, base->sleep_ms), 0,
					  load.sleep_ms) ||
			    !parse_triple(
				    text_or(deadline_ms, base->deadline_ms), 1,
				    load.deadline_ms))
				error = "--sleep-ms, --deadline-ms: three "
					"numbers";
			load.schedule.bursts = base->bursts;
			load.schedule.burst_s = number_or(burst, base->burst_s);
		}
		load.url_count = (uint32_t)urls->count;
		for (int i = 0; i < urls->count; i++)
			load.urls[i] = urls->sval[i];
		load.schedule.seed = seed->count ? (uint64_t)seed->ival[0] : 1;
		load.schedule.rate = number_or(rate, 100);
		load.schedule.pool_count = load.result.pool_count;
		load.duration_s = number_or(duration, 10);
		load.cancel_share = number_or(cancel, 0);
		load.cancel_every_s = number_or(every, 5);
		load.max_lost = max_lost->count ? max_lost->ival[0] : -1;
		if (!error)
			error = check_options();
		if (error)
			fprintf(stderr, "plank-load: %s\n", error);
		status = error ? err_answer(ERR_INVALID)->exit_code
			       : run_and_report(json->count > 0);
	}
	free(pool_text);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
