/*
 * Stand-in for a worker: responds after the query's sleep_ms (at once in mode
 * "fail"), runs at most SLOTS requests concurrently and counts the runs of each
 * Idempotency-Key. POST /control sets the mode:
 * {"mode": "ok" | "fail" | "leaving" | "hang"}; GET /control returns the counts,
 * and with ?key=K the runs of that key.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_strings.h>

#include "clk.h"
#include "evloop.h"
#include "jcursor.h"
#include "web.h"

enum { SLOTS = 8 };

struct task {
	struct task *next;
	struct web_request *request;
	int64_t due_ms;
};

static struct evloop *evloop;
static const char *name;
static char mode[16] = "ok";
static struct task *tasks;
static int64_t active, max_active, runs, refusals, repeated_runs,
	rejected_requests;
static apr_pool_t *pool;
static apr_hash_t *keys;

static int64_t now(void)
{
	return clk_now_ms(evloop_clk(evloop));
}

static void respond(struct web_request *request, int status, const char *text)
{
	const struct web_header refusal[] = {
		{ "Plank-Refused",
		  strcmp(mode, "leaving") ? "full" : "leaving" },
		{ NULL, NULL },
	};

	web_respond(request, status, status == 503 ? refusal : NULL, text,
		    strlen(text));
}

static void count_key(struct web_request *request)
{
	const char *key = web_header(request, "Idempotency-Key");
	int64_t *count;

	if (!key)
		return;
	count = apr_hash_get(keys, key, APR_HASH_KEY_STRING);
	if (!count) {
		count = apr_pcalloc(pool, sizeof(*count));
		apr_hash_set(keys, apr_pstrdup(pool, key), APR_HASH_KEY_STRING,
			     count);
	}
	if (++*count > 1)
		repeated_runs++;
}

static void finish(struct web_request *request)
{
	char *text = apr_psprintf(
		request->pool,
		"{\"worker\":\"%s\",\"target\":\"%s\",\"body\":%" APR_SIZE_T_FMT
		"}\n",
		name, request->target, request->body_len);

	active--;
	respond(request, strcmp(mode, "fail") ? 200 : 500, text);
}

static void control(struct web_request *request)
{
	struct json_object *value = json_tokener_parse(request->body);
	struct json_object *member = NULL;
	const char *key = web_query(request, "key");
	const int64_t *key_runs =
		key ? apr_hash_get(keys, key, APR_HASH_KEY_STRING) : NULL;
	char *text;

	json_object_object_get_ex(value, "mode", &member);
	if (member)
		apr_cpystrn(mode, json_object_get_string(member), sizeof(mode));
	json_object_put(value);
	text = apr_psprintf(request->pool,
			    "{\"runs\":%" PRId64 ",\"refusals\":%" PRId64
			    ",\"doubles\":%" PRId64 ",\"active\":%" PRId64
			    ",\"most_active\":%" PRId64 ",\"cut\":%" PRId64
			    ",\"key\":%" PRId64 "}\n",
			    runs, refusals, repeated_runs, active, max_active,
			    rejected_requests, key_runs ? *key_runs : 0);
	respond(request, 200, text);
}

static void handle(void *arg, struct web_request *request)
{
	const char *sleep_text = web_query(request, "sleep_ms");
	struct task *task;

	(void)arg;
	if (!strcmp(request->path, "/control")) {
		control(request);
		return;
	}
	if (active >= SLOTS || !strcmp(mode, "leaving")) {
		refusals++;
		respond(request, 503, "");
		return;
	}
	runs++;
	active++;
	if (active > max_active)
		max_active = active;
	count_key(request);
	if (!strcmp(mode, "fail") || (!sleep_text && strcmp(mode, "hang"))) {
		finish(request);
		return;
	}
	task = calloc(1, sizeof(*task));
	task->next = tasks;
	task->request = request;
	task->due_ms = strcmp(mode, "hang") ? now() + apr_atoi64(sleep_text)
					    : INT64_MAX;
	tasks = task;
}

static void tick(void *arg)
{
	struct task **link = &tasks;

	(void)arg;
	while (*link) {
		struct task *task = *link;

		if (now() < task->due_ms) {
			link = &task->next;
			continue;
		}
		*link = task->next;
		finish(task->request);
		free(task);
	}
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	(void)kind;
	rejected_requests++;
}

static void on_stop(void *arg)
{
	(void)arg;
	evloop_stop(evloop);
}

int main(int argc, char **argv)
{
	struct err err = { .kind = ERR_OK };
	struct web_config config = {
		.address = "127.0.0.1",
		.max_body_bytes = 16 * 1024 * 1024,
		.on_request = handle,
		.on_refused = on_refused,
	};

	if (argc < 3) {
		fprintf(stderr, "usage: workerd NAME PORT\n");
		return 2;
	}
	name = argv[1];
	config.port = (uint16_t)atoi(argv[2]);
	apr_initialize();
	apr_pool_create(&pool, NULL);
	keys = apr_hash_make(pool);
	evloop = evloop_create(clk_system());
	if (!web_create(evloop, &config, &err)) {
		fprintf(stderr, "workerd: %s\n", err.text);
		return 1;
	}
	evloop_on_stop_signal(evloop, on_stop, NULL);
	evloop_add_timer(evloop, 5, tick, NULL);
	evloop_run(evloop);
	return 0;
}
