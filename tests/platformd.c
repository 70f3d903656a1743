/*
 * Stand-in for the platform: append-only streams and the host list. A test
 * injects faults by POST /control:
 *	{"outage": bool, "lose_answers": n, "delay_ms": n, "retention": n,
 *	 "hosts": [...], "reboot_ms": n, "never_back": [...]}
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>

#include "clk.h"
#include "evloop.h"
#include "jcursor.h"
#include "limit.h"
#include "rnd.h"
#include "table.h"
#include "web.h"

struct stream {
	char name[LIMIT_NAME_BYTES];
	int64_t first;	/* oldest offset within retention */
	int64_t next;	/* offset of the next append */
	char **records; /* by offset */
};

/* A request with a later response: a long poll or an injected delay. */
struct waiter {
	struct waiter *next;
	struct web_request *request;
	struct stream *stream; /* of a long poll; NULL: injected delay */
	int64_t from;
	int64_t max;
	int64_t due_ms;
	int status;
	char *text;
};

/* Reboot state of a listed host. */
struct host {
	char name[LIMIT_NAME_BYTES];
	int64_t boots;
	int64_t token; /* of the last reboot, or -1 */
	int64_t reboots;
	int64_t down_until_ms;
	bool never_back; /* does not return from a reboot */
};

static struct table *host_table;
static int64_t reboot_ms = 3000;
static struct evloop *evloop;
static struct table *streams;
static struct waiter *waiters;
static struct json_object *host_list;
static bool outage;
static int64_t lose_answers, delay_ms, retention = INT64_MAX;
static int64_t appends, reads, host_list_version;

static int64_t now(void)
{
	return clk_now_ms(evloop_clk(evloop));
}

static void respond_now(struct web_request *request, int status,
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

static void respond(struct web_request *request, int status, const char *text)
{
	struct waiter *waiter;

	if (!delay_ms) {
		respond_now(request, status, text);
		return;
	}
	waiter = add_waiter(request, delay_ms);
	waiter->status = status;
	waiter->text = strdup(text);
}

static struct stream *find_or_add_stream(const char *name)
{
	struct stream *stream = table_find(streams, name);

	return stream ? stream : table_add(streams, name);
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
		respond(request, 500, "{}");
		return;
	}
	respond(request, 200, text);
}

static void respond_records(struct web_request *request, struct stream *stream,
			    int64_t from, int64_t max)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	int64_t next = from;

	reads++;
	while (next < stream->next && next - from < max) {
		struct json_object *record = json_object_new_object();

		jcursor_put_int(record, "offset", next);
		jcursor_put_string(record, "data", stream->records[next++]);
		json_object_array_add(list, record);
	}
	jcursor_put_int(obj, "first", stream->first);
	jcursor_put_int(obj, "next", next);
	json_object_object_add(obj, "records", list);
	respond(request, 200,
		json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	json_object_put(obj);
}

static int64_t query_int(struct web_request *request, const char *name,
			 int64_t fallback)
{
	const char *text = web_query(request, name);

	return text ? apr_atoi64(text) : fallback;
}

static void read_stream(struct web_request *request, struct stream *stream)
{
	int64_t from = query_int(request, "from", 0);
	int64_t max = query_int(request, "max", 100);
	int64_t wait_ms = query_int(request, "wait_ms", 0);
	struct waiter *waiter;
	char text[64];

	if (from < stream->first) {
		snprintf(text, sizeof(text), "{\"first\":%" PRId64 "}",
			 stream->first);
		respond(request, 410, text);
	} else if (from < stream->next || wait_ms <= 0) {
		respond_records(request, stream, from, max);
	} else {
		waiter = add_waiter(request, wait_ms);
		waiter->stream = stream;
		waiter->from = from;
		waiter->max = max;
	}
}

static struct host *find_or_add_host(const char *name)
{
	struct host *host = table_find(host_table, name);

	if (host)
		return host;
	host = table_add(host_table, name);
	if (host)
		host->token = -1;
	return host;
}

/* Reboots a host; a repeated call with the same token has no effect. */
static void reboot_host(struct web_request *request, const char *name)
{
	struct err err = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse(request->body, request->body_len, &err);
	struct jcursor root = jcursor_root(value, &err);
	struct jcursor token_field = jcursor_member(&root, "token");
	int64_t token =
		value ? jcursor_int(&token_field, 0, INT64_MAX, -1) : -1;
	struct host *host = find_or_add_host(name);

	json_object_put(value);
	if (token < 0 || !host) {
		respond_now(request, 400, "{}");
		return;
	}
	if (host->token != token) {
		host->token = token;
		host->reboots++;
		host->boots++;
		host->down_until_ms =
			host->never_back ? INT64_MAX : now() + reboot_ms;
	}
	respond(request, 200, "{}");
}

/* Sends the list, or 304 if its ETag is known; delayed lists have no ETag. */
static void respond_list(struct web_request *request, const char *text)
{
	const char *known_etag = web_header(request, "If-None-Match");
	const char *etag =
		apr_psprintf(request->pool, "\"%016" PRIx64 "\"",
			     rnd_hash(RND_HASH_START, text, strlen(text)));
	const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "ETag", etag },
		{ NULL, NULL },
	};
	bool is_unchanged = known_etag && !strcmp(known_etag, etag);

	if (delay_ms)
		respond(request, 200, text);
	else
		web_respond(request, is_unchanged ? 304 : 200, headers, text,
			    is_unchanged ? 0 : strlen(text));
}

/* Sends the list as set by a test, updated with the effects of reboots. */
static void respond_hosts(struct web_request *request)
{
	struct json_object *list = NULL;

	json_object_object_get_ex(host_list, "hosts", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		struct json_object *name = NULL, *state = NULL;
		const struct host *host;
		bool down;

		json_object_object_get_ex(row, "name", &name);
		host = table_find(host_table, json_object_get_string(name));
		if (!host)
			continue;
		/* set_state keeps the state as set by the test. */
		if (!json_object_object_get_ex(row, "set_state", &state)) {
			json_object_object_get_ex(row, "state", &state);
			json_object_object_add(row, "set_state",
					       json_object_get(state));
		}
		down = now() < host->down_until_ms;
		json_object_object_add(row, "state",
				       down ? json_object_new_string("down")
					    : json_object_get(state));
		jcursor_put_int(row, "boot_id", 1 + host->boots);
	}
	respond_list(request, host_list ? json_object_to_json_string(host_list)
					: "{\"version\":0,\"hosts\":[]}");
}

static void set_never_back(const struct jcursor *list)
{
	size_t count = list->value ? jcursor_check_array(list, LIMIT_HOSTS) : 0;

	for (size_t i = 0; i < count; i++) {
		struct jcursor item = jcursor_item(list, i);
		const char *name = json_object_get_string(item.value);

		if (name && find_or_add_host(name))
			find_or_add_host(name)->never_back = true;
	}
}

static struct json_object *reboot_counts(void)
{
	struct json_object *obj = json_object_new_object();

	for (uint32_t i = 0; i < table_count(host_table); i++) {
		const struct host *host = table_at(host_table, i);

		jcursor_put_int(obj, host->name, host->reboots);
	}
	return obj;
}

static void control(struct web_request *request)
{
	struct err err = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse(request->body, request->body_len, &err);
	struct jcursor root = jcursor_root(value, &err);
	struct jcursor outage_field = jcursor_member(&root, "outage");
	struct jcursor lose_field = jcursor_member(&root, "lose_answers");
	struct jcursor delay_field = jcursor_member(&root, "delay_ms");
	struct jcursor retention_field = jcursor_member(&root, "retention");
	struct jcursor hosts_field = jcursor_member(&root, "hosts");
	struct jcursor reboot_field = jcursor_member(&root, "reboot_ms");
	struct jcursor never_back_field = jcursor_member(&root, "never_back");
	struct json_object *result = json_object_new_object();

	if (value) {
		outage = jcursor_bool(&outage_field, outage);
		lose_answers =
			jcursor_int(&lose_field, 0, INT64_MAX, lose_answers);
		delay_ms = jcursor_int(&delay_field, 0, INT64_MAX, delay_ms);
		retention =
			jcursor_int(&retention_field, 1, INT64_MAX, retention);
		reboot_ms = jcursor_int(&reboot_field, 0, INT64_MAX, reboot_ms);
		set_never_back(&never_back_field);
	}
	if (hosts_field.value) {
		json_object_put(host_list);
		host_list = json_object_new_object();
		jcursor_put_int(host_list, "version", ++host_list_version);
		json_object_object_add(host_list, "hosts",
				       json_object_get(hosts_field.value));
	}
	json_object_put(value);
	jcursor_put_int(result, "appends", appends);
	jcursor_put_int(result, "reads", reads);
	json_object_object_add(result, "reboots", reboot_counts());
	respond_now(
		request, err.kind == ERR_OK ? 200 : 400,
		json_object_to_json_string_ext(result, JSON_C_TO_STRING_PLAIN));
	json_object_put(result);
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
		respond_now(request, 503, "{}");
		return;
	}
	if (!strcmp(path, "/hosts")) {
		respond_hosts(request);
		return;
	}
	if (!strncmp(path, "/hosts/", 7) && (slash = strchr(path + 7, '/')) &&
	    !strcmp(slash, "/reboot")) {
		*slash = 0;
		reboot_host(request, path + 7);
		return;
	}
	if (!strncmp(path, "/streams/", 9) && (slash = strchr(path + 9, '/'))) {
		*slash = 0;
		stream = find_or_add_stream(path + 9);
	}
	if (!stream)
		respond_now(request, 404, "{}");
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
			respond_now(waiter->request, waiter->status,
				    waiter->text);
		else if (outage)
			respond_now(waiter->request, 503, "{}");
		else
			respond_records(waiter->request, waiter->stream,
					waiter->from, waiter->max);
		free(waiter->text);
		free(waiter);
	}
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	(void)kind;
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
		.port = argc > 1 ? (uint16_t)atoi(argv[1]) : 0,
		.max_body_bytes = 16 * 1024 * 1024,
		.on_request = handle,
		.on_refused = on_refused,
	};
	struct web *web;

	apr_initialize();
	evloop = evloop_create(clk_system());
	streams = table_create(sizeof(struct stream));
	host_table = table_create(sizeof(struct host));
	web = web_create(evloop, &config, &err);
	if (!web) {
		fprintf(stderr, "platformd: %s\n", err.text);
		return 1;
	}
	evloop_on_stop_signal(evloop, on_stop, NULL);
	evloop_add_timer(evloop, 5, tick, NULL);
	evloop_run(evloop);
	return 0;
}
