/*
 * Stand-in for the platform: append-only streams and the host list, with
 * faults that a test switches on by POST /control:
 *	{"outage": bool, "lose_answers": n, "delay_ms": n, "retention": n,
 *	 "hosts": [...]}
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>

#include "clk.h"
#include "evl.h"
#include "jsn.h"
#include "lim.h"
#include "tbl.h"
#include "web.h"

struct stream {
	char name[LIM_NAME_BYTES];
	int64_t first;
	int64_t next;
	char **records; /* by offset */
};

/* A request that is answered later: a long poll, or a slow answer. */
struct waiter {
	struct waiter *next;
	struct web_request *request;
	struct stream *stream; /* NULL: only delayed */
	int64_t from;
	int64_t max;
	int64_t due_ms;
	int status;
	char *text;
};

static struct evl *evl;
static struct tbl *streams;
static struct waiter *waiters;
static struct json_object *hosts;
static bool outage;
static int64_t lose_answers, delay_ms, retention = INT64_MAX;
static int64_t appends, reads, list_version;

static int64_t now(void)
{
	return clk_now_ms(evl_clk(evl));
}

static void answer_text(struct web_request *request, int status,
			const char *text)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	web_respond(request, status, headers, text, strlen(text));
}

static struct waiter *add_waiter(struct web_request *request, int64_t wait_ms)
{
	struct waiter *waiter = calloc(1, sizeof(*waiter));

	waiter->next = waiters;
	waiter->request = request;
	waiter->due_ms = now() + wait_ms;
	waiters = waiter;
	return waiter;
}

static void answer(struct web_request *request, int status, const char *text)
{
	struct waiter *waiter;

	if (!delay_ms) {
		answer_text(request, status, text);
		return;
	}
	waiter = add_waiter(request, delay_ms);
	waiter->status = status;
	waiter->text = strdup(text);
}

static struct stream *stream_of(const char *name)
{
	struct stream *stream = tbl_find(streams, name);

	return stream ? stream : tbl_add(streams, name);
}

static void append(struct web_request *request, struct stream *stream)
{
	char text[64];

	appends++;
	stream->records =
		realloc(stream->records, (stream->next + 1) * sizeof(char *));
	stream->records[stream->next++] = strdup(request->body);
	while (stream->next - stream->first > retention) {
		free(stream->records[stream->first]);
		stream->records[stream->first++] = NULL;
	}
	snprintf(text, sizeof(text), "{\"offset\":%" PRId64 "}",
		 stream->next - 1);
	if (lose_answers > 0) {
		lose_answers--;
		answer(request, 500, "{}");
		return;
	}
	answer(request, 200, text);
}

static void answer_read(struct web_request *request, struct stream *stream,
			int64_t from, int64_t max)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	int64_t next = from;

	reads++;
	while (next < stream->next && next - from < max) {
		struct json_object *record = json_object_new_object();

		jsn_put_int(record, "offset", next);
		jsn_put_string(record, "data", stream->records[next++]);
		json_object_array_add(list, record);
	}
	jsn_put_int(obj, "first", stream->first);
	jsn_put_int(obj, "next", next);
	json_object_object_add(obj, "records", list);
	answer(request, 200,
	       json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	json_object_put(obj);
}

static int64_t parameter(struct web_request *request, const char *name,
			 int64_t fallback)
{
	const char *text = web_query(request, name);

	return text ? apr_atoi64(text) : fallback;
}

static void read_stream(struct web_request *request, struct stream *stream)
{
	int64_t from = parameter(request, "from", 0);
	int64_t max = parameter(request, "max", 100);
	int64_t wait_ms = parameter(request, "wait_ms", 0);
	struct waiter *waiter;
	char text[64];

	if (from < stream->first) {
		snprintf(text, sizeof(text), "{\"first\":%" PRId64 "}",
			 stream->first);
		answer(request, 410, text);
	} else if (from < stream->next || wait_ms <= 0) {
		answer_read(request, stream, from, max);
	} else {
		waiter = add_waiter(request, wait_ms);
		waiter->stream = stream;
		waiter->from = from;
		waiter->max = max;
	}
}

static void control(struct web_request *request)
{
	struct err err = { .kind = ERR_OK };
	struct json_object *value =
		jsn_parse(request->body, request->body_len, &err);
	struct jsn root = jsn_root(value, &err);
	struct jsn outage_at = jsn_member(&root, "outage");
	struct jsn lose_at = jsn_member(&root, "lose_answers");
	struct jsn delay_at = jsn_member(&root, "delay_ms");
	struct jsn retention_at = jsn_member(&root, "retention");
	struct jsn hosts_at = jsn_member(&root, "hosts");
	char text[128];

	if (value) {
		outage = jsn_bool(&outage_at, outage);
		lose_answers = jsn_int(&lose_at, 0, INT64_MAX, lose_answers);
		delay_ms = jsn_int(&delay_at, 0, INT64_MAX, delay_ms);
		retention = jsn_int(&retention_at, 1, INT64_MAX, retention);
	}
	if (hosts_at.value) {
		json_object_put(hosts);
		hosts = json_object_new_object();
		jsn_put_int(hosts, "version", ++list_version);
		json_object_object_add(hosts, "hosts",
				       json_object_get(hosts_at.value));
	}
	json_object_put(value);
	snprintf(text, sizeof(text),
		 "{\"appends\":%" PRId64 ",\"reads\":%" PRId64 "}", appends,
		 reads);
	answer_text(request, err.kind == ERR_OK ? 200 : 400, text);
}

static void handle(void *arg, struct web_request *request)
{
	char *path = apr_pstrdup(request->pool, request->path);
	struct stream *stream = NULL;
	char *slash;

	(void)arg;
	if (!strcmp(path, "/control")) {
		control(request);
		return;
	}
	if (outage) {
		answer_text(request, 503, "{}");
		return;
	}
	if (!strcmp(path, "/hosts")) {
		answer(request, 200,
		       hosts ? json_object_to_json_string(hosts)
			     : "{\"version\":0,\"hosts\":[]}");
		return;
	}
	if (!strncmp(path, "/streams/", 9) && (slash = strchr(path + 9, '/'))) {
		*slash = 0;
		stream = stream_of(path + 9);
	}
	if (!stream)
		answer_text(request, 404, "{}");
	else if (!strcmp(request->method, "POST"))
		append(request, stream);
	else
		read_stream(request, stream);
}

static bool is_due(const struct waiter *waiter)
{
	return now() >= waiter->due_ms ||
	       (waiter->stream && waiter->stream->next > waiter->from);
}

static void tick(void *arg)
{
	struct waiter **link = &waiters;

	(void)arg;
	while (*link) {
		struct waiter *waiter = *link;

		if (!is_due(waiter)) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		if (waiter->text)
			answer_text(waiter->request, waiter->status,
				    waiter->text);
		else if (outage)
			answer_text(waiter->request, 503, "{}");
		else
			answer_read(waiter->request, waiter->stream,
				    waiter->from, waiter->max);
		free(waiter->text);
		free(waiter);
	}
}

static void refused(void *arg, int kind)
{
	(void)arg;
	(void)kind;
}

static void stop(void *arg)
{
	(void)arg;
	evl_stop(evl);
}

int main(int argc, char **argv)
{
	struct err err = { .kind = ERR_OK };
	struct web_config config = {
		.address = "127.0.0.1",
		.port = argc > 1 ? (uint16_t)atoi(argv[1]) : 0,
		.max_body_bytes = 16 * 1024 * 1024,
		.handle = handle,
		.refused = refused,
	};
	struct web *web;

	apr_initialize();
	evl = evl_create(clk_system());
	streams = tbl_create(sizeof(struct stream));
	web = web_create(evl, &config, &err);
	if (!web) {
		fprintf(stderr, "platformd: %s\n", err.text);
		return 1;
	}
	evl_on_stop_signal(evl, stop, NULL);
	evl_every(evl, 5, tick, NULL);
	evl_run(evl);
	return 0;
}
