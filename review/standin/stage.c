/*
 * Stand-in for the users' platform and its workers, for the cases of the
 * review. It serves the published protocol on loopback: the log service and the
 * host list on PORT, worker i on PORT + 10 + i.
 *
 * usage: stage PORT WORKERS CONFIGURATION-FILE RECORD-FILE
 *
 * The text of a job says what its tasks do: "ms=N" how long each works, "cpu=N"
 * what it uses (thousandths of a core), "last" that it works until it is
 * stopped, and "fail=N" that its first N runs end as failed.
 *
 * POST /control takes a JSON body:
 *	"down": TEXT	 the log service answers 503 (busy) from now on: for all
 *			 topics and the group ("all"), for one topic, or not ("")
 *	"config": object the operator writes this configuration
 *	"crash": {"task": NAME, "times": N, "afterMs": T, "forMs": D}
 *			 the next N times that the task has begun, its worker
 *			 crashes T ms later and starts again after D ms, with a
 *			 new id
 * GET /verdict answers with the numbers of runs and of broken rules.
 *
 * Every line of the record file begins with the time in ms since the start.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "json.h"
#include "log.h"
#include "log_model.h"
#include "web.h"
#include "worker_model.h"

enum {
	MAX_WORKERS = 16,
	TICK_MS = 10,
	WORKER_PORT_OFFSET = 10,
	NEWEST_PAGE_SIZE = 500, /* as the page of the log service says */
	LISTED_ENDS = 500,	/* as the page of the workers says */
	RECORD_BYTES = 262144,	/* recordBytes */
	CALL_BYTES = 2097152,	/* callBytes */
	HEARTBEAT_MS = 1500,
	CPU_MILLI = 32000,
	MEM_MIB = 65536,
	HOLD_MAX_MS = 10000,
	STOP_MS = 100
};

/* One run of a task, as the worker saw it. */
struct run {
	char task[JOB_TASK_NAME_BYTES];
	int32_t number;
	int worker;
	int life; /* of the worker */
	int64_t begun_ms;
	int64_t ended_ms; /* 0: not ended */
	enum job_end how;
	bool crashed; /* ended with its worker */
	int64_t end;  /* number of the end at its worker */
	bool noted;   /* the end was acknowledged, with no lapse between */
};

struct stage_worker {
	int index;
	int life;
	bool up;
	bool listed; /* in the registry */
	int64_t born_ms;
	int64_t down_ms;  /* time of the crash */
	int64_t back_ms;  /* when it starts again; 0: not planned */
	int64_t crash_ms; /* when it crashes; 0: not planned */
	char id[24];
	struct worker_model model;
};

/* A request that waits: a read of the log or a renewal. */
struct pending {
	struct web_request *request;
	int64_t until_ms;
	struct log_topic *topic;
	int64_t from;
	int64_t max_bytes;
	struct stage_worker *worker;
	int life;
};

static struct evloop *evloop;
static struct log_model *model;
static struct stage_worker workers[MAX_WORKERS];
static int worker_count;
static uint16_t first_port;
static GPtrArray *pending;
static GPtrArray *runs;
static FILE *record;
static int64_t start_ms;
static char *down; /* topic that is down, "all" or "" */
static char *crash_task;
static int64_t crashes_left, crash_after_ms, crash_for_ms;

static const struct web_header json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};

static int64_t now_ms(void)
{
	return clk_now_ms(evloop_clk(evloop));
}

static void note(const char *format, ...)
{
	va_list args;

	fprintf(record, "%8" G_GINT64_FORMAT " ", now_ms() - start_ms);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

static void answer(struct web_request *request, int status,
		   struct json_object *body)
{
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	web_respond(request, status, json_headers, text, strlen(text));
	json_object_put(body);
}

static struct json_object *object_with(const char *key,
				       struct json_object *value)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, key, value);
	return body;
}

static int64_t query_int(struct web_request *request, const char *key,
			 int64_t fallback)
{
	const char *text = web_query(request, key);

	return text ? strtoll(text, NULL, 10) : fallback;
}

/* Log service. */

/* Whether all records of a call, and the call, are within their limits. */
static bool within_limits(const char *bytes, size_t len)
{
	size_t at = 0;

	if (len > CALL_BYTES)
		return false;
	while (at + 4 <= len) {
		const guint8 *p = (const guint8 *)bytes + at;
		size_t size = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
			      (size_t)p[2] << 8 | p[3];

		if (size > RECORD_BYTES)
			return false;
		at += 4 + size;
	}
	return true;
}

static void answer_pending(void);

/* Reads that wait are answered as soon as there is a record. */
static void append(struct web_request *request)
{
	struct log_append append = {
		.topic = web_query(request, "topic"),
		.part = (int32_t)query_int(request, "part", 0),
		.producer = web_query(request, "producer"),
		.epoch = query_int(request, "epoch", 0),
		.sequence = query_int(request, "seq", 0),
		.at = query_int(request, "at", -1),
		.bytes = request->body,
		.len = request->body_len,
	};
	struct stream_append_result result;
	struct json_object *body;

	if (!within_limits(append.bytes, append.len)) {
		note("append-too-large topic=%s bytes=%zu", append.topic,
		     append.len);
		answer(request, 400, json_object_new_object());
		return;
	}
	result = log_model_append(model, &append);
	body = object_with("end", json_object_new_int64(result.end));
	switch (result.outcome) {
	case STREAM_OK:
		json_object_object_add(body, "offset",
				       json_object_new_int64(result.offset));
		answer(request, 200, body);
		break;
	case STREAM_END_MISMATCH:
		answer(request, 412, body);
		break;
	default:
		json_object_object_add(
			body, "reason",
			json_object_new_string(result.outcome == STREAM_FENCED
						       ? "fenced"
						       : "seq"));
		answer(request, 409, body);
		break;
	}
	answer_pending();
}

static void put_big_endian(GByteArray *out, uint64_t number, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 byte = (guint8)(number >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void answer_read(const struct pending *read)
{
	const struct log_topic *topic = read->topic;
	GByteArray *out = g_byte_array_new();

	put_big_endian(out, topic->records->len, 8);
	put_big_endian(out, (uint64_t)topic->first, 8);
	for (guint i = (guint)read->from; i < topic->records->len; i++) {
		const struct log_record *at =
			&g_array_index(topic->records, struct log_record, i);
		size_t key_len = strlen(at->key);

		if (i > (guint)read->from &&
		    (int64_t)(out->len + at->len) > read->max_bytes)
			break;
		put_big_endian(out, 1 + key_len + at->len, 4);
		put_big_endian(out, key_len, 1);
		g_byte_array_append(out, (const guint8 *)at->key,
				    (guint)key_len);
		g_byte_array_append(out, (const guint8 *)at->value,
				    (guint)at->len);
	}
	web_respond(read->request, 200, NULL, out->data, out->len);
	g_byte_array_free(out, TRUE);
}

static void read_log(struct web_request *request)
{
	struct pending read = {
		.request = request,
		.topic = log_model_part(model, web_query(request, "topic"),
					(int32_t)query_int(request, "part", 0)),
		.from = query_int(request, "from", 0),
		.max_bytes = query_int(request, "maxKb", 1024) * 1024,
		.until_ms = now_ms() + query_int(request, "waitMs", 0),
	};

	if (read.from < (int64_t)read.topic->records->len ||
	    read.until_ms <= now_ms())
		answer_read(&read);
	else
		g_ptr_array_add(pending, g_memdup2(&read, sizeof(read)));
}

static int compare_keys(const void *a, const void *b)
{
	const struct log_record *const *left = a;
	const struct log_record *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

/* Newest records with a value, after a key, in the order of their keys. */
static GPtrArray *find_newest(const struct log_topic *topic, const char *after)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *found = g_ptr_array_new();

	for (guint i = topic->records->len; i > 0; i--) {
		struct log_record *at = &g_array_index(
			topic->records, struct log_record, i - 1);

		if (!g_hash_table_add(seen, at->key) || !at->value ||
		    (after && strcmp(at->key, after) <= 0))
			continue;
		g_ptr_array_add(found, at);
	}
	g_hash_table_destroy(seen);
	if (found->len)
		qsort(found->pdata, found->len, sizeof(gpointer), compare_keys);
	return found;
}

static void list_newest(struct web_request *request)
{
	struct log_topic *topic =
		log_model_part(model, web_query(request, "topic"),
			       (int32_t)query_int(request, "part", 0));
	/* The protocol uses this name for the key to continue after. */
	GPtrArray *found = find_newest(topic, web_query(request, "dependsOn"));
	struct json_object *items = json_object_new_array();
	struct json_object *body = object_with("items", items);

	for (guint i = 0; i < found->len && i < NEWEST_PAGE_SIZE; i++) {
		const struct log_record *at = found->pdata[i];
		struct json_object *item = json_object_new_object();
		char *value =
			g_base64_encode((const guchar *)at->value, at->len);
		int64_t offset =
			at - (const struct log_record *)topic->records->data;

		json_object_object_add(item, "key",
				       json_object_new_string(at->key));
		json_object_object_add(item, "value",
				       json_object_new_string(value));
		json_object_object_add(item, "offset",
				       json_object_new_int64(offset));
		json_object_array_add(items, item);
		g_free(value);
	}
	json_object_object_add(
		body, "more",
		json_object_new_boolean(found->len > NEWEST_PAGE_SIZE));
	json_object_object_add(body, "end",
			       json_object_new_int64(topic->records->len));
	g_ptr_array_free(found, TRUE);
	answer(request, 200, body);
}

static void join(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	int32_t parts[LOG_MODEL_PARTS];
	uint32_t count = log_model_join(model, json_text(params, "member"),
					json_int(params, "ttlMs", 0),
					json_int(params, "generation", 0),
					now_ms(), parts);
	struct json_object *rows = json_object_new_array();
	struct json_object *body = object_with("parts", rows);

	json_object_object_add(body, "generation",
			       json_object_new_int64(model->generation));
	for (uint32_t i = 0; i < count; i++) {
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string("pools"));
		json_object_array_add(row, json_object_new_int(parts[i]));
		json_object_array_add(row, json_object_new_int(0));
		json_object_array_add(rows, row);
	}
	json_object_put(params);
	answer(request, 200, body);
}

static void leave(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);

	log_model_leave(model, json_text(params, "member"));
	json_object_put(params);
	answer(request, 200, json_object_new_object());
}

/* Workers. */

static struct json_object *capacity(void)
{
	struct json_object *value =
		object_with("cpu", json_object_new_int(CPU_MILLI));

	json_object_object_add(value, "memMb", json_object_new_int(MEM_MIB));
	json_object_object_add(value, "gpu", json_object_new_int(0));
	return value;
}

static void list_worker(struct stage_worker *worker, bool listed)
{
	char *value = g_strdup_printf(
		"{\"service\":\"tallies\",\"addr\":\"127.0.0.1:%d\","
		"\"zone\":\"suva\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"machine\":\"m-%d\","
		"\"born\":%" G_GINT64_FORMAT
		",\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
		"\"labels\":[\"a\",\"r%d\"],\"coldLeftMs\":0,\"seq\":1}",
		first_port + WORKER_PORT_OFFSET + worker->index, worker->index,
		worker->born_ms, CPU_MILLI, MEM_MIB, worker->index / 4);

	worker->listed = listed;
	log_model_put(model, "keyed.servers", worker->id, listed ? value : NULL,
		      listed ? strlen(value) : 0);
	g_free(value);
}

static void start_worker(struct stage_worker *worker)
{
	if (worker->listed)
		list_worker(worker, false);
	worker->up = true;
	worker->back_ms = 0;
	worker->crash_ms = 0;
	worker->life++;
	worker->born_ms = clk_wall_ms(evloop_clk(evloop));
	snprintf(worker->id, sizeof(worker->id), "i-%02d%06x", worker->index,
		 (unsigned int)g_random_int() & 0xffffff);
	worker_model_restart(&worker->model);
	worker->model.hold_max_ms = HOLD_MAX_MS;
	worker->model.stop_ms = STOP_MS;
	list_worker(worker, true);
	note("worker-started worker=%s machine=m-%d", worker->id,
	     worker->index);
}

static void crash_worker(struct stage_worker *worker)
{
	worker->up = false;
	worker->crash_ms = 0;
	worker->down_ms = now_ms();
	worker->back_ms = now_ms() + crash_for_ms;
	note("worker-crashed worker=%s machine=m-%d runs=%u", worker->id,
	     worker->index, worker->model.runs->len);
	for (guint i = 0; i < runs->len; i++) {
		struct run *run = runs->pdata[i];

		if (run->worker != worker->index || run->life != worker->life ||
		    run->ended_ms)
			continue;
		run->ended_ms = now_ms();
		run->crashed = true;
	}
}

static struct run *find_run(const struct stage_worker *worker, const char *task,
			    int32_t number)
{
	for (guint i = runs->len; i > 0; i--) {
		struct run *run = runs->pdata[i - 1];

		if (run->worker == worker->index && run->life == worker->life &&
		    run->number == number && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static const char *end_name(enum job_end how)
{
	static const char *const names[] = {
		[END_DONE] = "done",	   [END_FAILED] = "failed",
		[END_STOPPED] = "stopped", [END_LAPSED] = "lapsed",
		[END_BROKEN] = "broken",   [END_ALONE] = "alone",
	};

	return names[how];
}

static void on_end(void *arg, const struct worker_end *end)
{
	const struct stage_worker *worker = arg;
	struct run *run = find_run(worker, end->task, end->run);

	note("run-ended task=%s run=%d worker=%s how=%s "
	     "number=%" G_GINT64_FORMAT,
	     end->task, end->run, worker->id, end_name(end->how), end->number);
	if (!run)
		return;
	run->ended_ms = now_ms();
	run->how = end->how;
	run->end = end->number;
}

/* Not called for an end after which the worker's lease has lapsed. */
static void on_acknowledged(void *arg, const struct worker_end *end)
{
	const struct stage_worker *worker = arg;
	struct run *run = find_run(worker, end->task, end->run);

	note("end-noted task=%s run=%d worker=%s how=%s "
	     "number=%" G_GINT64_FORMAT,
	     end->task, end->run, worker->id, end_name(end->how), end->number);
	if (run)
		run->noted = true;
}

static int64_t text_number(const char *text, const char *key, int64_t fallback)
{
	const char *at = strstr(text, key);

	return at ? strtoll(at + strlen(key), NULL, 10) : fallback;
}

static int64_t used_milli(const struct stage_worker *worker)
{
	int64_t used = 0;

	for (guint i = 0; i < worker->model.runs->len; i++)
		used += g_array_index(worker->model.runs, struct model_run, i)
				.cpu_milli;
	return used;
}

static void add_run(const struct stage_worker *worker,
		    const struct model_run *started)
{
	struct run *run = g_new0(struct run, 1);

	g_strlcpy(run->task, started->task, sizeof(run->task));
	run->number = started->run;
	run->worker = worker->index;
	run->life = worker->life;
	run->begun_ms = now_ms();
	g_ptr_array_add(runs, run);
	note("run-begun task=%s run=%d worker=%s", run->task, run->number,
	     worker->id);
}

static void answer_order(struct web_request *request,
			 const struct stage_worker *worker,
			 enum order_outcome outcome)
{
	static const char *const reasons[] = {
		[ORDER_FENCED] = "fence",
		[ORDER_OLD_RUN] = "old",
		[ORDER_LATE] = "late",
		[ORDER_NO_ROOM] = "room",
	};
	struct json_object *body = object_with(
		"clockMs", json_object_new_int64(worker->model.clock_ms));

	if (outcome != ORDER_OK)
		json_object_object_add(
			body, "reason",
			json_object_new_string(reasons[outcome]));
	answer(request, outcome == ORDER_OK ? 200 : 409, body);
}

static void start_run(struct web_request *request, struct stage_worker *worker,
		      struct json_object *params)
{
	const char *text = json_text(params, "spec");
	struct model_run run = {
		.run = (int32_t)json_int(params, "run", 0),
		.total_ms = text_number(text, "ms=", 1000),
		.cpu_milli = text_number(text, "cpu=", 1000),
		.until_stopped = strstr(text, "last") != NULL,
	};
	enum order_outcome outcome;
	bool began;

	run.remaining_ms = run.total_ms;
	run.fails = run.run <= text_number(text, "fail=", 0);
	json_copy(params, "task", run.task, sizeof(run.task));
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	worker->model.max_runs = used_milli(worker) + run.cpu_milli > CPU_MILLI
					 ? (int32_t)worker->model.runs->len
					 : INT32_MAX;
	outcome = worker_model_start(&worker->model, &run,
				     json_int(params, "untilMs", 0), &began);
	if (began)
		add_run(worker, &run);
	if (began && crash_task && crashes_left > 0 &&
	    !strcmp(run.task, crash_task)) {
		crashes_left--;
		worker->crash_ms = now_ms() + crash_after_ms;
	}
	answer_order(request, worker, outcome);
}

static void answer_lists(struct web_request *request,
			 const struct stage_worker *worker)
{
	struct json_object *body = object_with(
		"clockMs", json_object_new_int64(worker->model.clock_ms));
	struct json_object *running = json_object_new_array();
	struct json_object *finished = json_object_new_array();

	for (guint i = 0; i < worker->model.runs->len; i++) {
		const struct model_run *run =
			&g_array_index(worker->model.runs, struct model_run, i);
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string(run->task));
		json_object_array_add(row, json_object_new_int(run->run));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(
			row, json_object_new_int(model_run_percent(run)));
		json_object_array_add(running, row);
	}
	for (guint i = 0; i < worker->model.ends->len && i < LISTED_ENDS; i++) {
		const struct worker_end *end = &g_array_index(
			worker->model.ends, struct worker_end, i);
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_int64(end->number));
		json_object_array_add(row, json_object_new_string(end->task));
		json_object_array_add(row, json_object_new_int(end->run));
		json_object_array_add(
			row, json_object_new_string(end_name(end->how)));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(finished, row);
	}
	json_object_object_add(body, "born",
			       json_object_new_int64(worker->born_ms));
	json_object_object_add(body, "running", running);
	json_object_object_add(body, "finished", finished);
	answer(request, 200, body);
}

static void hold(struct web_request *request, struct stage_worker *worker,
		 struct json_object *params)
{
	struct pending renewal = {
		.request = request,
		.worker = worker,
		.life = worker->life,
		.until_ms = now_ms() + json_int(params, "waitMs", 0),
	};

	worker_model_acknowledge(&worker->model,
				 json_int(params, "ackCursor", 0));
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	if (worker->model.ends->len || renewal.until_ms <= now_ms())
		answer_lists(request, worker);
	else
		g_ptr_array_add(pending, g_memdup2(&renewal, sizeof(renewal)));
}

static void handle_worker(void *arg, struct web_request *request)
{
	struct stage_worker *worker = arg;
	struct json_object *params =
		json_parse(request->body, request->body_len);
	const char *expected =
		web_header(request, "X-Chestnutplank-Expect-Instance");

	if (!worker->up)
		; /* No answer: the worker is dark. */
	else if (expected && strcmp(expected, worker->id))
		answer(request, 421, json_object_new_object());
	else if (!worker_model_check_fence(&worker->model,
					   json_int(params, "fence", 0)))
		answer_order(request, worker, ORDER_FENCED);
	else if (!strcmp(request->path, "/run-start"))
		start_run(request, worker, params);
	else if (!strcmp(request->path, "/hold"))
		hold(request, worker, params);
	else if (!strcmp(request->path, "/run-stop")) {
		worker_model_stop(&worker->model, json_text(params, "task"),
				  (int32_t)json_int(params, "run", 0));
		answer_order(request, worker, ORDER_OK);
	} else {
		answer(request, 404, json_object_new_object());
	}
	json_object_put(params);
}

static void list_machines(struct web_request *request)
{
	struct json_object *rows = json_object_new_array();

	for (int i = 0; i < worker_count; i++) {
		struct json_object *row = json_object_new_object();
		char name[16], rack[16];
		struct json_object *labels = json_object_new_array();

		snprintf(name, sizeof(name), "m-%d", i);
		snprintf(rack, sizeof(rack), "r%d", i / 4);
		json_object_array_add(labels, json_object_new_string("a"));
		json_object_array_add(labels, json_object_new_string(rack));
		json_object_object_add(row, "machine",
				       json_object_new_string(name));
		json_object_object_add(row, "pool",
				       json_object_new_string("tallies"));
		json_object_object_add(row, "zone",
				       json_object_new_string("suva"));
		json_object_object_add(row, "labels", labels);
		json_object_object_add(row, "capacity", capacity());
		json_object_object_add(
			row, "state",
			json_object_new_string(workers[i].up ? "up" : "down"));
		if (workers[i].up)
			json_object_object_add(
				row, "id",
				json_object_new_string(workers[i].id));
		json_object_array_add(rows, row);
	}
	answer(request, 200, object_with("machines", rows));
}

/* Verdict: the rule TWICE, as far as the workers see it. */

static bool is_after_done(const struct run *run, const struct run *earlier)
{
	return earlier->ended_ms && !earlier->crashed &&
	       earlier->how == END_DONE && earlier->noted &&
	       run->begun_ms >= earlier->ended_ms;
}

static bool is_beside(const struct run *run, const struct run *earlier)
{
	return !earlier->ended_ms || earlier->ended_ms > run->begun_ms;
}

static void verdict(struct web_request *request)
{
	struct json_object *body = json_object_new_object();
	GHashTable *by_task = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t again = 0, beside = 0, done = 0;

	for (guint i = 0; i < runs->len; i++) {
		struct run *run = runs->pdata[i];
		GPtrArray *earlier = g_hash_table_lookup(by_task, run->task);

		if (!earlier) {
			earlier = g_ptr_array_new();
			g_hash_table_insert(by_task, run->task, earlier);
		}
		done += run->ended_ms && !run->crashed && run->how == END_DONE;
		for (guint k = 0; k < earlier->len; k++) {
			bool after = is_after_done(run, earlier->pdata[k]);
			bool both = is_beside(run, earlier->pdata[k]);

			if (after || both)
				note("TWICE task=%s run=%d: %s", run->task,
				     run->number,
				     after ? "started after a run had ended "
					     "done, and that end was noted"
					   : "beside a run at work");
			again += after;
			beside += both;
		}
		g_ptr_array_add(earlier, run);
	}
	g_hash_table_destroy(by_task);
	json_object_object_add(body, "runs", json_object_new_int64(runs->len));
	json_object_object_add(body, "done", json_object_new_int64(done));
	json_object_object_add(body, "startsAfterDone",
			       json_object_new_int64(again));
	json_object_object_add(body, "runsBeside",
			       json_object_new_int64(beside));
	answer(request, 200, body);
}

static void control(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	struct json_object *config = json_get(params, "config");
	struct json_object *crash = json_get(params, "crash");

	if (json_get(params, "down")) {
		g_free(down);
		down = g_strdup(json_text(params, "down"));
		note("log-service down=%s", down);
	}
	if (config) {
		const char *text = json_object_to_json_string_ext(
			config, JSON_C_TO_STRING_PLAIN);

		log_model_put(model, "keyed.op", "config", text, strlen(text));
		note("configuration %s", text);
	}
	if (crash) {
		g_free(crash_task);
		crash_task = g_strdup(json_text(crash, "task"));
		crashes_left = json_int(crash, "times", 0);
		crash_after_ms = json_int(crash, "afterMs", 0);
		crash_for_ms = json_int(crash, "forMs", 0);
		note("crashes task=%s times=%" G_GINT64_FORMAT, crash_task,
		     crashes_left);
	}
	json_object_put(params);
	answer(request, 200, json_object_new_object());
}

static bool is_all_down(void)
{
	return !strcmp(down, "all");
}

static bool is_down(const char *topic)
{
	return is_all_down() || (topic && !strcmp(down, topic));
}

static void handle(void *arg, struct web_request *request)
{
	(void)arg;
	if (!strcmp(request->path, "/control"))
		control(request);
	else if (!strcmp(request->path, "/verdict"))
		verdict(request);
	else if (!strcmp(request->path, "/machines"))
		list_machines(request);
	else if (is_down(web_query(request, "topic")))
		answer(request, 503, json_object_new_object());
	else if (!strcmp(request->path, "/log-append"))
		append(request);
	else if (!strcmp(request->path, "/log-read"))
		read_log(request);
	else if (!strcmp(request->path, "/log-newest"))
		list_newest(request);
	else if (!strcmp(request->path, "/log-join"))
		join(request);
	else if (!strcmp(request->path, "/log-leave"))
		leave(request);
	else
		answer(request, 404, json_object_new_object());
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	log_warn("request refused: %s", err_name(kind));
}

static bool is_due(const struct pending *at)
{
	if (now_ms() >= at->until_ms)
		return true;
	if (at->worker)
		return at->worker->model.ends->len > 0;
	return is_down(at->topic->name) ||
	       at->from < (int64_t)at->topic->records->len;
}

static void answer_pending(void)
{
	for (guint i = pending->len; i > 0; i--) {
		struct pending *at = pending->pdata[i - 1];

		if (!is_due(at))
			continue;
		g_ptr_array_remove_index(pending, i - 1);
		if (at->worker && at->worker->up &&
		    at->worker->life == at->life)
			answer_lists(at->request, at->worker);
		else if (at->topic && !is_down(at->topic->name))
			answer_read(at);
		else if (at->topic)
			answer(at->request, 503, json_object_new_object());
		/* A renewal at a worker that has crashed gets no answer. */
		g_free(at);
	}
}

static void tick_worker(struct stage_worker *worker, int64_t now)
{
	if (worker->up && worker->crash_ms && now >= worker->crash_ms)
		crash_worker(worker);
	if (!worker->up && worker->listed &&
	    now - worker->down_ms >= 3 * HEARTBEAT_MS)
		list_worker(worker, false);
	if (!worker->up && worker->back_ms && now >= worker->back_ms)
		start_worker(worker);
	if (worker->up)
		worker_model_advance(&worker->model,
				     clk_wall_ms(evloop_clk(evloop)) -
					     worker->born_ms,
				     TICK_MS);
}

static void tick(void *arg)
{
	static int64_t rebalanced_ms;
	int64_t now = now_ms();

	(void)arg;
	/* While the store is down, memberships pause. */
	if (!is_all_down() && now - rebalanced_ms >= 20) {
		log_model_rebalance(model, now);
		rebalanced_ms = now;
	}
	for (int i = 0; i < worker_count; i++)
		tick_worker(&workers[i], now);
	answer_pending();
}

static void stop(void *arg)
{
	(void)arg;
	evloop_stop(evloop);
}

static bool listen_at(uint16_t port, void (*fn)(void *, struct web_request *),
		      void *arg)
{
	struct err err = { .kind = ERR_OK };
	struct web_config config = {
		.address = "127.0.0.1",
		.port = port,
		.max_body_bytes = 8 * 1024 * 1024,
		.on_request = fn,
		.on_refused = on_refused,
		.arg = arg,
	};

	if (web_create(evloop, &config, &err))
		return true;
	log_error("%s", err.text);
	return false;
}

int main(int argc, char **argv)
{
	gchar *configuration = NULL;
	gsize len;

	apr_initialize();
	log_init("stage", false);
	if (argc != 5 ||
	    !g_file_get_contents(argv[3], &configuration, &len, NULL)) {
		fprintf(stderr, "usage: stage PORT WORKERS "
				"CONFIGURATION-FILE RECORD-FILE\n");
		return 2;
	}
	record = fopen(argv[4], "a");
	if (!record) {
		perror(argv[4]);
		return 2;
	}
	evloop = evloop_create(clk_system());
	start_ms = now_ms();
	model = log_model_create();
	down = g_strdup("");
	pending = g_ptr_array_new();
	runs = g_ptr_array_new();
	first_port = (uint16_t)atoi(argv[1]);
	worker_count = MIN(atoi(argv[2]), MAX_WORKERS);
	log_model_put(model, "keyed.op", "config", configuration, len);
	g_free(configuration);
	if (!listen_at(first_port, handle, NULL))
		return 1;
	for (int i = 0; i < worker_count; i++) {
		struct stage_worker *worker = &workers[i];

		worker->index = i;
		worker_model_init(&worker->model, INT32_MAX);
		worker->model.on_end = on_end;
		worker->model.on_acknowledged = on_acknowledged;
		worker->model.arg = worker;
		start_worker(worker);
		if (!listen_at((uint16_t)(first_port + WORKER_PORT_OFFSET + i),
			       handle_worker, worker))
			return 1;
	}
	evloop_on_stop_signal(evloop, stop, NULL);
	evloop_add_timer(evloop, TICK_MS, tick, NULL);
	evloop_run(evloop);
	fclose(record);
	return 0;
}
