/*
 * Stand-in for the users' platform, which serves its published protocol on
 * loopback: the log service, the host list, and workers that run tasks under
 * leases. All run in one process; worker i listens on PORT + 10 + i.
 *
 * usage: standin PORT WORKERS CONFIGURATION-FILE
 *
 * POST /control injects faults. Its JSON body may hold
 *	"down": bool       answer 503 to log and host list requests
 *	"lose": n          execute the next n appends, but answer too late
 *	"refuse": n        answer 503 to the next n appends
 *	"trim": offset     delete job records before the offset
 *	"deal": true       reassign all parts of the consumer group at once
 *	"crash": worker    stop a worker and delete its registry entry
 *	"restart": worker  start it again under the same id
 *	"unguarded": bool  workers start whatever they are told to, and log
 *			   "over-capacity" for each start that takes one over the
 *			   capacity that it says; a stop takes 200 ms
 *	"of": worker	   its entry says "capacity" from now on, or none without
 *			   that member
 *	"hide": bool	   entries say the full capacity, though another counts
 *	"late": n	   execute the next n starts late, and answer them too late
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "json.h"
#include "log.h"
#include "log_model.h"
#include "standin_room.h"
#include "web.h"
#include "worker_model.h"

enum {
	MAX_WORKERS = 8,
	TICK_MS = 20,
	TASK_MS = 600,
	MAX_RUNS = 8,
	FULL_CPU_MILLI = MAX_RUNS * 1000,
	FULL_MEM_MIB = 16384,
	STOP_MS = 200,
	LATE_MS = 2500,
	WORKER_PORT_OFFSET = 10,
	NEWEST_PAGE_SIZE = 500
};

struct standin_worker {
	int index;
	bool up;
	int64_t born_ms;
	char id[16];
	struct worker_model model;
	struct standin_room room;
};

/* A start that is executed late. */
struct late_start {
	struct web_request *request;
	struct standin_worker *worker;
	struct json_object *params;
	int64_t born_ms; /* of the worker that got it */
	int64_t at_ms;
};

/*
 * A request to answer at until_ms, or earlier once there is data: a read of the
 * log (topic is set), a lease renewal (worker is set), or an append whose answer
 * is lost (neither).
 */
struct pending_request {
	struct web_request *request;
	int64_t until_ms;
	struct log_topic *topic;
	int64_t from; /* offset */
	struct standin_worker *worker;
};

static struct evloop *evloop;
static struct log_model *model;
static struct standin_worker workers[MAX_WORKERS];
static int worker_count;
static uint16_t first_port;
static GPtrArray *pending_requests;
static bool down;
static bool unguarded, hide_capacity;
static int64_t answers_to_lose, appends_to_refuse, starts_to_delay;
static GPtrArray *late_starts;

static const struct web_header json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};

static int64_t now_ms(void)
{
	return clk_now_ms(evloop_clk(evloop));
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

static struct log_topic *queried_part(struct web_request *request)
{
	return log_model_part(model, web_query(request, "topic"),
			      (int32_t)query_int(request, "part", 0));
}

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

	if (appends_to_refuse > 0) {
		appends_to_refuse--;
		answer(request, 503, json_object_new_object());
		return;
	}
	result = log_model_append(model, &append);
	body = object_with("end", json_object_new_int64(result.end));
	if (answers_to_lose > 0) {
		/* The append is done, but its answer comes after the client's
		   timeout. */
		struct pending_request *delayed =
			g_new0(struct pending_request, 1);

		answers_to_lose--;
		json_object_put(body);
		delayed->request = request;
		delayed->until_ms = now_ms() + 4000;
		g_ptr_array_add(pending_requests, delayed);
		return;
	}
	switch (result.outcome) {
	case STREAM_OK:
		json_object_object_add(body, "offset",
				       json_object_new_int64(result.offset));
		answer(request, 200, body);
		break;
	case STREAM_END_MISMATCH:
		answer(request, 412, body);
		break;
	case STREAM_INVALID:
		answer(request, 400, body);
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
}

static void put_big_endian(GByteArray *out, uint64_t number, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 byte = (guint8)(number >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void answer_read(const struct pending_request *pending)
{
	const struct log_topic *topic = pending->topic;
	GByteArray *out = g_byte_array_new();

	put_big_endian(out, topic->records->len, 8);
	put_big_endian(out, (uint64_t)topic->first, 8);
	for (guint i = (guint)pending->from; i < topic->records->len; i++) {
		const struct log_record *record =
			&g_array_index(topic->records, struct log_record, i);
		size_t key_len = strlen(record->key);

		put_big_endian(out, 1 + key_len + record->len, 4);
		put_big_endian(out, key_len, 1);
		g_byte_array_append(out, (const guint8 *)record->key,
				    (guint)key_len);
		g_byte_array_append(out, (const guint8 *)record->value,
				    (guint)record->len);
	}
	web_respond(pending->request, 200, NULL, out->data, out->len);
	g_byte_array_free(out, TRUE);
}

static void read_log(struct web_request *request)
{
	struct pending_request pending = {
		.request = request,
		.topic = queried_part(request),
		.from = query_int(request, "from", 0),
		.until_ms = now_ms() + query_int(request, "waitMs", 0),
	};

	if (pending.from < pending.topic->first)
		answer(request, 410,
		       object_with("first", json_object_new_int64(
						    pending.topic->first)));
	else if (pending.from < (int64_t)pending.topic->records->len ||
		 pending.until_ms <= now_ms())
		answer_read(&pending);
	else
		g_ptr_array_add(pending_requests,
				g_memdup2(&pending, sizeof(pending)));
}

static int compare_keys(const void *a, const void *b)
{
	const struct log_record *const *left = a;
	const struct log_record *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

static void list_newest(struct web_request *request)
{
	struct log_topic *topic = queried_part(request);
	/* The protocol uses this name for the key to continue after. */
	const char *after = web_query(request, "dependsOn");
	struct json_object *items = json_object_new_array();
	struct json_object *body = object_with("items", items);
	GPtrArray *found = g_ptr_array_new();
	bool more = false;

	for (guint i = 0; i < topic->records->len; i++) {
		struct log_record *record =
			&g_array_index(topic->records, struct log_record, i);

		if (record->value && log_model_is_newest(topic, i) &&
		    (!after || strcmp(record->key, after) > 0))
			g_ptr_array_add(found, record);
	}
	if (found->len)
		qsort(found->pdata, found->len, sizeof(gpointer), compare_keys);
	for (guint i = 0; i < found->len; i++) {
		const struct log_record *record = found->pdata[i];
		struct json_object *item = json_object_new_object();
		char *value = g_base64_encode((const guchar *)record->value,
					      record->len);

		if (i == NEWEST_PAGE_SIZE) {
			more = true;
			json_object_put(item);
			g_free(value);
			break;
		}
		json_object_object_add(item, "key",
				       json_object_new_string(record->key));
		json_object_object_add(item, "value",
				       json_object_new_string(value));
		json_object_object_add(
			item, "offset",
			json_object_new_int64(record -
					      (const struct log_record *)
						      topic->records->data));
		json_object_array_add(items, item);
		g_free(value);
	}
	json_object_object_add(body, "more", json_object_new_boolean(more));
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

static struct json_object *full_capacity(void)
{
	struct json_object *capacity =
		object_with("cpu", json_object_new_int(FULL_CPU_MILLI));

	json_object_object_add(capacity, "memMb",
			       json_object_new_int(FULL_MEM_MIB));
	json_object_object_add(capacity, "gpu", json_object_new_int(0));
	return capacity;
}

/* Member "capacity" of the worker's entry, with a comma; free with g_free. */
static char *capacity_member(const struct standin_worker *worker)
{
	struct json_object *capacity =
		hide_capacity ? full_capacity()
			      : json_object_get(worker->room.capacity);
	char *member =
		capacity ? g_strdup_printf("\"capacity\":%s,",
					   json_object_to_json_string(capacity))
			 : g_strdup("");

	json_object_put(capacity);
	return member;
}

static void publish_entry(const struct standin_worker *worker)
{
	char *capacity = capacity_member(worker);
	char *value = g_strdup_printf(
		"{\"service\":\"tallies\",\"addr\":\"127.0.0.1:%d\","
		"\"zone\":\"suva\",\"version\":\"v1\",\"slots\":%d,"
		"\"state\":\"ready\",\"born\":%" G_GINT64_FORMAT ","
		"%s\"labels\":[\"a\",\"r1\"],\"seq\":1}",
		first_port + WORKER_PORT_OFFSET + worker->index, MAX_RUNS,
		worker->born_ms, capacity);

	log_model_put(model, "keyed.servers", worker->id,
		      worker->up ? value : NULL,
		      worker->up ? strlen(value) : 0);
	g_free(value);
	g_free(capacity);
}

static void start_worker(struct standin_worker *worker)
{
	worker->up = true;
	worker->born_ms = clk_wall_ms(evloop_clk(evloop));
	worker_model_restart(&worker->model);
	room_restart(&worker->room);
	publish_entry(worker);
}

static struct json_object *clock_object(const struct standin_worker *worker)
{
	return object_with("clockMs",
			   json_object_new_int64(worker->model.clock_ms));
}

static void answer_order(struct web_request *request,
			 const struct standin_worker *worker,
			 enum order_outcome outcome)
{
	static const char *const reasons[] = {
		[ORDER_FENCED] = "fence",
		[ORDER_OLD_RUN] = "old",
		[ORDER_LATE] = "late",
		[ORDER_NO_ROOM] = "room",
	};
	struct json_object *body = clock_object(worker);

	if (outcome == ORDER_OK) {
		answer(request, 200, body);
		return;
	}
	json_object_object_add(body, "reason",
			       json_object_new_string(reasons[outcome]));
	answer(request, 409, body);
}

/* A task whose text begins with "last" runs until it is stopped. */
static void start_run(struct web_request *request,
		      struct standin_worker *worker, struct json_object *params)
{
	const char *text = json_text(params, "spec");
	struct model_run run = {
		.run = (int32_t)json_int(params, "run", 0),
		.total_ms = TASK_MS,
		.remaining_ms = TASK_MS,
		.until_stopped = g_str_has_prefix(text, "last"),
		.fails = g_str_has_prefix(text, "fail"),
	};
	enum order_outcome outcome;
	bool began;

	room_parse_use(text, &run);
	json_copy(params, "task", run.task, sizeof(run.task));
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	outcome = worker_model_start(&worker->model, &run,
				     json_int(params, "untilMs", 0), &began);
	if (began)
		log_info("run-begun task=%s run=%d worker=%s", run.task,
			 run.run, worker->id);
	if (began && unguarded &&
	    room_exceeded(&worker->room, &worker->model, now_ms()))
		log_error("over-capacity task=%s run=%d worker=%s runs=%u",
			  run.task, run.run, worker->id,
			  worker->model.runs->len);
	answer_order(request, worker, outcome);
}

static struct json_object *run_row(const struct model_run *run)
{
	struct json_object *row = json_object_new_array();

	json_object_array_add(row, json_object_new_string(run->task));
	json_object_array_add(row, json_object_new_int(run->run));
	json_object_array_add(row, json_object_new_string(""));
	json_object_array_add(row, json_object_new_int(model_run_percent(run)));
	return row;
}

static struct json_object *end_row(const struct worker_end *end)
{
	static const char *const names[] = {
		[END_DONE] = "done",	   [END_FAILED] = "failed",
		[END_STOPPED] = "stopped", [END_LAPSED] = "lapsed",
		[END_BROKEN] = "broken",   [END_ALONE] = "alone",
	};
	struct json_object *row = json_object_new_array();

	json_object_array_add(row, json_object_new_int64(end->number));
	json_object_array_add(row, json_object_new_string(end->task));
	json_object_array_add(row, json_object_new_int(end->run));
	json_object_array_add(row, json_object_new_string(names[end->how]));
	json_object_array_add(row, json_object_new_string(""));
	return row;
}

static void answer_lists(struct web_request *request,
			 const struct standin_worker *worker)
{
	struct json_object *body = clock_object(worker);
	struct json_object *runs = json_object_new_array();
	struct json_object *ends = json_object_new_array();
	const struct worker_model *state = &worker->model;

	for (guint i = 0; i < state->runs->len; i++)
		json_object_array_add(
			runs, run_row(&g_array_index(state->runs,
						     struct model_run, i)));
	for (guint i = 0; i < worker_model_listed_ends(state); i++)
		json_object_array_add(
			ends, end_row(&g_array_index(state->ends,
						     struct worker_end, i)));
	json_object_object_add(body, "born",
			       json_object_new_int64(worker->born_ms));
	json_object_object_add(body, "running", runs);
	json_object_object_add(body, "finished", ends);
	answer(request, 200, body);
}

static void renew_lease(struct web_request *request,
			struct standin_worker *worker,
			struct json_object *params)
{
	struct pending_request pending = {
		.request = request,
		.worker = worker,
		.until_ms = now_ms() + json_int(params, "waitMs", 0),
	};

	worker_model_acknowledge(&worker->model,
				 json_int(params, "ackCursor", 0));
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	if (worker->model.ends->len || pending.until_ms <= now_ms())
		answer_lists(request, worker);
	else
		g_ptr_array_add(pending_requests,
				g_memdup2(&pending, sizeof(pending)));
}

static void delay_start(struct web_request *request,
			struct standin_worker *worker,
			struct json_object *params)
{
	struct late_start late = {
		.request = request,
		.worker = worker,
		.params = json_object_get(params),
		.born_ms = worker->born_ms,
		.at_ms = now_ms() + LATE_MS,
	};

	starts_to_delay--;
	g_ptr_array_add(late_starts, g_memdup2(&late, sizeof(late)));
}

static void execute_late_starts(void)
{
	for (guint i = late_starts->len; i > 0; i--) {
		struct late_start *late = late_starts->pdata[i - 1];
		struct standin_worker *worker = late->worker;

		if (now_ms() < late->at_ms)
			continue;
		g_ptr_array_remove_index(late_starts, i - 1);
		if (!worker->up || worker->born_ms != late->born_ms)
			answer(late->request, 503, json_object_new_object());
		else if (!worker_model_check_fence(
				 &worker->model,
				 json_int(late->params, "fence", 0)))
			answer_order(late->request, worker, ORDER_FENCED);
		else
			start_run(late->request, worker, late->params);
		json_object_put(late->params);
		g_free(late);
	}
}

static void handle_worker(void *arg, struct web_request *request)
{
	struct standin_worker *worker = arg;
	struct json_object *params =
		json_parse(request->body, request->body_len);
	const char *expected_id =
		web_header(request, "X-Chestnutplank-Expect-Instance");

	if (!worker->up)
		/* No answer: the call ends by the client's timeout. */
		;
	else if (starts_to_delay > 0 && !strcmp(request->path, "/run-start"))
		delay_start(request, worker, params);
	else if (expected_id && strcmp(expected_id, worker->id))
		answer(request, 421, json_object_new_object());
	else if (!worker_model_check_fence(&worker->model,
					   json_int(params, "fence", 0)))
		answer_order(request, worker, ORDER_FENCED);
	else if (!strcmp(request->path, "/run-start"))
		start_run(request, worker, params);
	else if (!strcmp(request->path, "/hold"))
		renew_lease(request, worker, params);
	else if (!strcmp(request->path, "/run-stop")) {
		worker_model_stop(&worker->model, json_text(params, "task"),
				  (int32_t)json_int(params, "run", 0));
		answer_order(request, worker, ORDER_OK);
	} else {
		answer(request, 404, json_object_new_object());
	}
	json_object_put(params);
}

/* Host list, fault injection and dispatch. */

static void list_hosts(struct web_request *request)
{
	struct json_object *rows = json_object_new_array();

	for (int i = 0; i < worker_count; i++) {
		struct json_object *row = json_object_new_object();
		char name[16];

		snprintf(name, sizeof(name), "m-%d", i);
		json_object_object_add(row, "machine",
				       json_object_new_string(name));
		json_object_object_add(row, "pool",
				       json_object_new_string("tallies"));
		json_object_object_add(row, "zone",
				       json_object_new_string("suva"));
		json_object_object_add(
			row, "state",
			json_object_new_string(workers[i].up ? "up" : "down"));
		json_object_object_add(row, "id",
				       json_object_new_string(workers[i].id));
		json_object_array_add(rows, row);
	}
	answer(request, 200, object_with("machines", rows));
}

static void log_end(void *arg, const struct worker_end *end)
{
	const struct standin_worker *worker = arg;

	log_info("run-ended task=%s run=%d worker=%s how=%d", end->task,
		 end->run, worker->id, end->how);
}

static void set_unguarded(bool value)
{
	unguarded = value;
	for (int i = 0; i < worker_count; i++) {
		workers[i].model.max_runs = value ? INT32_MAX : MAX_RUNS;
		workers[i].model.stop_ms = value ? STOP_MS : 0;
	}
}

static void control_capacity(struct json_object *params)
{
	int64_t of = json_int(params, "of", -1);

	if (json_get(params, "unguarded"))
		set_unguarded(json_flag(params, "unguarded"));
	if (json_get(params, "hide"))
		hide_capacity = json_flag(params, "hide");
	starts_to_delay = json_int(params, "late", starts_to_delay);
	if (of < 0 || of >= worker_count)
		return;
	room_say(&workers[of].room,
		 json_object_get(json_get(params, "capacity")), now_ms());
	if (workers[of].up)
		publish_entry(&workers[of]);
}

static void control(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	int64_t crash = json_int(params, "crash", -1);
	int64_t restart = json_int(params, "restart", -1);

	if (json_get(params, "down"))
		down = json_flag(params, "down");
	answers_to_lose = json_int(params, "lose", answers_to_lose);
	appends_to_refuse = json_int(params, "refuse", appends_to_refuse);
	if (json_get(params, "trim"))
		log_model_trim(model, "keyed.jobs",
			       json_int(params, "trim", 0));
	if (json_flag(params, "deal"))
		log_model_reassign_all(model);
	control_capacity(params);
	if (crash >= 0 && crash < worker_count) {
		workers[crash].up = false;
		publish_entry(&workers[crash]);
	}
	if (restart >= 0 && restart < worker_count)
		start_worker(&workers[restart]);
	json_object_put(params);
	answer(request, 200, json_object_new_object());
}

static void handle(void *arg, struct web_request *request)
{
	(void)arg;
	if (!strcmp(request->path, "/control"))
		control(request);
	else if (down)
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
	else if (!strcmp(request->path, "/machines"))
		list_hosts(request);
	else
		answer(request, 404, json_object_new_object());
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	log_warn("request refused: %s", err_name(kind));
}

static bool is_due(const struct pending_request *pending)
{
	if (now_ms() >= pending->until_ms)
		return true;
	if (pending->worker)
		return pending->worker->model.ends->len > 0;
	return pending->topic &&
	       (down || pending->from < (int64_t)pending->topic->records->len);
}

static void answer_pending(void)
{
	for (guint i = pending_requests->len; i > 0; i--) {
		struct pending_request *pending =
			pending_requests->pdata[i - 1];

		if (!is_due(pending))
			continue;
		g_ptr_array_remove_index(pending_requests, i - 1);
		if (pending->worker && pending->worker->up)
			answer_lists(pending->request, pending->worker);
		else if (pending->topic && !down)
			answer_read(pending);
		else
			answer(pending->request, 503, json_object_new_object());
		g_free(pending);
	}
}

static void tick(void *arg)
{
	(void)arg;
	log_model_rebalance(model, now_ms());
	for (int i = 0; i < worker_count; i++) {
		struct standin_worker *worker = &workers[i];

		if (worker->up)
			worker_model_advance(&worker->model,
					     clk_wall_ms(evloop_clk(evloop)) -
						     worker->born_ms,
					     TICK_MS);
	}
	execute_late_starts();
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
		.max_body_bytes = 4 * 1024 * 1024,
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
	log_init("standin", false);
	if (argc != 4 ||
	    !g_file_get_contents(argv[3], &configuration, &len, NULL)) {
		fprintf(stderr,
			"usage: standin PORT WORKERS CONFIGURATION-FILE\n");
		return 2;
	}
	evloop = evloop_create(clk_system());
	model = log_model_create();
	pending_requests = g_ptr_array_new();
	late_starts = g_ptr_array_new();
	first_port = (uint16_t)atoi(argv[1]);
	worker_count = MIN(atoi(argv[2]), MAX_WORKERS);
	log_model_put(model, "keyed.op", "config", configuration, len);
	g_free(configuration);
	if (!listen_at(first_port, handle, NULL))
		return 1;
	for (int i = 0; i < worker_count; i++) {
		struct standin_worker *worker = &workers[i];

		worker->index = i;
		snprintf(worker->id, sizeof(worker->id), "i-%d", i);
		worker_model_init(&worker->model, MAX_RUNS);
		worker->model.on_end = log_end;
		worker->model.arg = worker;
		room_say(&worker->room, full_capacity(), now_ms());
		start_worker(worker);
		if (!listen_at((uint16_t)(first_port + WORKER_PORT_OFFSET + i),
			       handle_worker, worker))
			return 1;
	}
	evloop_on_stop_signal(evloop, stop, NULL);
	evloop_add_timer(evloop, TICK_MS, tick, NULL);
	evloop_run(evloop);
	return 0;
}
