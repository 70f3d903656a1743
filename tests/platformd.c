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
#include "evloop.h"
#include "jcursor.h"
#include "limit.h"
#include "rnd.h"
#include "table.h"
#include "web.h"

struct stream {
	char name[LIMIT_NAME_BYTES];
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

/* What reboots have done to a host of the list. */
struct machine {
	char name[LIMIT_NAME_BYTES];
	int64_t boots;
	int64_t token; /* of the last reboot */
	int64_t reboots;
	int64_t down_until_ms;
	bool never_back;
};

static struct table *machines;
static int64_t reboot_ms = 3000;
static struct evloop *evloop;
static struct table *streams;
static struct waiter *waiters;
static struct json_object *hosts;
static bool outage;
static int64_t lose_answers, delay_ms, retention = INT64_MAX;
static int64_t appends, reads, list_version;

static int64_t now(void)
{
	return clk_now_ms(evloop_clk(evloop));
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

		jcursor_put_int(record, "offset", next);
		jcursor_put_string(record, "data", stream->records[next++]);
		json_object_array_add(list, record);
	}
	jcursor_put_int(obj, "first", stream->first);
	jcursor_put_int(obj, "next", next);
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

static struct machine *machine_of(const char *name)
{
	struct machine *machine = table_find(machines, name);

	if (machine)
		return machine;
	machine = table_add(machines, name);
	if (machine)
		machine->token = -1;
	return machine;
}

/* A second call with the same token does nothing. */
static void reboot(struct web_request *request, const char *name)
{
	struct err err = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse(request->body, request->body_len, &err);
	struct jcursor root = jcursor_root(value, &err);
	struct jcursor token_at = jcursor_member(&root, "token");
	int64_t token = value ? jcursor_int(&token_at, 0, INT64_MAX, -1) : -1;
	struct machine *machine = machine_of(name);

	json_object_put(value);
	if (token < 0 || !machine) {
		answer_text(request, 400, "{}");
		return;
	}
	if (machine->token != token) {
		machine->token = token;
		machine->reboots++;
		machine->boots++;
		machine->down_until_ms =
			machine->never_back ? INT64_MAX : now() + reboot_ms;
	}
	answer(request, 200, "{}");
}

/* The list, or 304 to a reader that has it; a slow platform has no ETags. */
static void answer_list(struct web_request *request, const char *text)
{
	const char *held = web_header(request, "If-None-Match");
	const char *etag =
		apr_psprintf(request->pool, "\"%016" PRIx64 "\"",
			     rnd_hash(RND_HASH_START, text, strlen(text)));
	const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "ETag", etag },
		{ NULL, NULL },
	};
	bool same = held && !strcmp(held, etag);

	if (delay_ms)
		answer(request, 200, text);
	else
		web_respond(request, same ? 304 : 200, headers, text,
			    same ? 0 : strlen(text));
}

/* The list as it was set, with what reboots have changed. */
static void answer_hosts(struct web_request *request)
{
	struct json_object *list = NULL;

	json_object_object_get_ex(hosts, "hosts", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		struct json_object *name = NULL, *state = NULL;
		const struct machine *machine;
		bool down;

		json_object_object_get_ex(row, "name", &name);
		machine = table_find(machines, json_object_get_string(name));
		if (!machine)
			continue;
		/* The state that was set is kept beside the one shown. */
		if (!json_object_object_get_ex(row, "set_state", &state)) {
			json_object_object_get_ex(row, "state", &state);
			json_object_object_add(row, "set_state",
					       json_object_get(state));
		}
		down = now() < machine->down_until_ms;
		json_object_object_add(row, "state",
				       down ? json_object_new_string("down")
					    : json_object_get(state));
		jcursor_put_int(row, "boot_id", 1 + machine->boots);
	}
	answer_list(request, hosts ? json_object_to_json_string(hosts)
				   : "{\"version\":0,\"hosts\":[]}");
}

static void set_never_back(const struct jcursor *list)
{
	size_t count = list->value ? jcursor_array(list, LIMIT_HOSTS) : 0;

	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(list, i);
		const char *name = json_object_get_string(at.value);

		if (name && machine_of(name))
			machine_of(name)->never_back = true;
	}
}

static struct json_object *reboot_counts(void)
{
	struct json_object *obj = json_object_new_object();

	for (uint32_t i = 0; i < table_count(machines); i++) {
		const struct machine *machine = table_at(machines, i);

		jcursor_put_int(obj, machine->name, machine->reboots);
	}
	return obj;
}

static void control(struct web_request *request)
{
	struct err err = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse(request->body, request->body_len, &err);
	struct jcursor root = jcursor_root(value, &err);
	struct jcursor outage_at = jcursor_member(&root, "outage");
	struct jcursor lose_at = jcursor_member(&root, "lose_answers");
	struct jcursor delay_at = jcursor_member(&root, "delay_ms");
	struct jcursor retention_at = jcursor_member(&root, "retention");
	struct jcursor hosts_at = jcursor_member(&root, "hosts");
	struct jcursor reboot_at = jcursor_member(&root, "reboot_ms");
	struct jcursor never_at = jcursor_member(&root, "never_back");
	struct json_object *result = json_object_new_object();

	if (value) {
		outage = jcursor_bool(&outage_at, outage);
		lose_answers =
			jcursor_int(&lose_at, 0, INT64_MAX, lose_answers);
		delay_ms = jcursor_int(&delay_at, 0, INT64_MAX, delay_ms);
		retention = jcursor_int(&retention_at, 1, INT64_MAX, retention);
		reboot_ms = jcursor_int(&reboot_at, 0, INT64_MAX, reboot_ms);
		set_never_back(&never_at);
	}
	if (hosts_at.value) {
		json_object_put(hosts);
		hosts = json_object_new_object();
		jcursor_put_int(hosts, "version", ++list_version);
		json_object_object_add(hosts, "hosts",
				       json_object_get(hosts_at.value));
	}
	json_object_put(value);
	jcursor_put_int(result, "appends", appends);
	jcursor_put_int(result, "reads", reads);
	json_object_object_add(result, "reboots", reboot_counts());
	answer_text(
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
		answer_text(request, 503, "{}");
		return;
	}
	if (!strcmp(path, "/hosts")) {
		answer_hosts(request);
		return;
	}
	if (!strncmp(path, "/hosts/", 7) && (slash = strchr(path + 7, '/')) &&
	    !strcmp(slash, "/reboot")) {
		*slash = 0;
		reboot(request, path + 7);
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
	evloop_stop(evloop);
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
	evloop = evloop_create(clk_system());
	streams = table_create(sizeof(struct stream));
	machines = table_create(sizeof(struct machine));
	web = web_create(evloop, &config, &err);
	if (!web) {
		fprintf(stderr, "platformd: %s\n", err.text);
		return 1;
	}
	evloop_on_stop_signal(evloop, stop, NULL);
	evloop_every(evloop, 5, tick, NULL);
	evloop_run(evloop);
	return 0;
}
