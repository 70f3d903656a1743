#include "standin_worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json.h"
#include "log.h"
#include "standin_answer.h"

enum {
	TASK_MS = 600,
	MAX_RUNS = 8,
	FULL_CPU_MILLI = MAX_RUNS * 1000,
	FULL_MEM_MIB = 16384,
	STOP_MS = 200,
	LATE_MS = 2500
};

/* A start that is executed late. */
struct late_start {
	struct web_request *request;
	struct standin_worker *worker;
	struct json_object *params;
	int64_t born_ms; /* of the worker that got it */
	int64_t at_ms;
};

/* A renewal to answer at until_ms, or earlier once a run has ended. */
struct waiting_renewal {
	struct web_request *request;
	struct standin_worker *worker;
	int64_t until_ms;
};

/* The number behind a key in a task's text. */
static int64_t text_number(const char *text, const char *key, int64_t fallback)
{
	const char *at = strstr(text, key);

	return at ? g_ascii_strtoll(at + strlen(key), NULL, 10) : fallback;
}

/* Notes how many bytes tasks of the job save, if its text says so. */
static void note_saves(struct standin_workers *workers, const char *task,
		       const char *text)
{
	int64_t bytes = text_number(text, "saves=", 0);

	if (bytes)
		g_hash_table_insert(workers->saves,
				    g_strndup(task, JOB_ID_BYTES - 1),
				    GSIZE_TO_POINTER((gsize)bytes));
}

/* What the task has saved: as many characters as its job says; none by default. */
static struct json_object *checkpoint_of(const struct standin_worker *worker,
					 const char *task)
{
	char *id = g_strndup(task, JOB_ID_BYTES - 1);
	gsize bytes = GPOINTER_TO_SIZE(
		g_hash_table_lookup(worker->workers->saves, id));
	char *text = g_strnfill(bytes, 'c');
	struct json_object *checkpoint = json_object_new_string(text);

	g_free(text);
	g_free(id);
	return checkpoint;
}

static struct json_object *full_capacity(void)
{
	struct json_object *capacity =
		standin_object_with("cpu", json_object_new_int(FULL_CPU_MILLI));

	json_object_object_add(capacity, "memMb",
			       json_object_new_int(FULL_MEM_MIB));
	json_object_object_add(capacity, "gpu", json_object_new_int(0));
	return capacity;
}

/* Member "capacity" of the worker's entry, with a comma; free with g_free. */
static char *capacity_member(const struct standin_worker *worker)
{
	struct json_object *capacity =
		worker->workers->hide_capacity
			? full_capacity()
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
		worker->port, MAX_RUNS, worker->born_ms, capacity);

	log_model_put(worker->workers->log, "keyed.servers", worker->id,
		      worker->up ? value : NULL,
		      worker->up ? strlen(value) : 0);
	g_free(value);
	g_free(capacity);
}

static void start_worker(struct standin_worker *worker)
{
	worker->up = true;
	worker->born_ms = clk_wall_ms(worker->workers->clk);
	worker_model_restart(&worker->model);
	room_restart(&worker->room);
	publish_entry(worker);
}

static struct json_object *clock_object(const struct standin_worker *worker)
{
	return standin_object_with(
		"clockMs", json_object_new_int64(worker->model.clock_ms));
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
		standin_answer(request, 200, body);
		return;
	}
	json_object_object_add(body, "reason",
			       json_object_new_string(reasons[outcome]));
	standin_answer(request, 409, body);
}

/*
 * A task whose text begins with "last" runs until it is stopped; so does one that begins
 * with "serve tail=MS", whose response times have this tail at the full pace of those
 * beside it whose text begins with "fill", and less at a lower one. Others work for
 * TASK_MS, or as long as "for=MS" in their text says. "saves=N" says how many bytes they
 * save, in a checkpoint that is listed with their ends too.
 */
static void start_run(struct web_request *request,
		      struct standin_worker *worker, struct json_object *params)
{
	const char *text = json_text(params, "spec");
	struct model_run run = {
		.run = (int32_t)json_int(params, "run", 0),
		.total_ms = text_number(text, "for=", TASK_MS),
		.until_stopped = g_str_has_prefix(text, "last") ||
				 g_str_has_prefix(text, "serve") ||
				 g_str_has_prefix(text, "fill"),
		.fills = g_str_has_prefix(text, "fill"),
		.fails = g_str_has_prefix(text, "fail"),
	};
	enum order_outcome outcome;
	bool began;

	if (g_str_has_prefix(text, "serve tail="))
		run.target_ms = atoi(text + strlen("serve tail="));
	room_parse_use(text, &run);
	json_copy(params, "task", run.task, sizeof(run.task));
	run.remaining_ms = run.total_ms;
	note_saves(worker->workers, run.task, text);
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	outcome = worker_model_start(&worker->model, &run,
				     json_int(params, "untilMs", 0), &began);
	if (began)
		log_info("run-begun task=%s run=%d worker=%s", run.task,
			 run.run, worker->id);
	if (began && worker->workers->unguarded &&
	    room_exceeded(&worker->room, &worker->model,
			  clk_now_ms(worker->workers->clk)))
		log_error("over-capacity task=%s run=%d worker=%s runs=%u",
			  run.task, run.run, worker->id,
			  worker->model.runs->len);
	answer_order(request, worker, outcome);
}

static void pace_run(struct web_request *request, struct standin_worker *worker,
		     struct json_object *params)
{
	int32_t percent = (int32_t)json_int(params, "percent", 100);

	worker_model_pace(&worker->model, json_text(params, "task"),
			  (int32_t)json_int(params, "run", 0), percent);
	log_info("run-paced task=%s percent=%d worker=%s",
		 json_text(params, "task"), percent, worker->id);
	answer_order(request, worker, ORDER_OK);
}

/* What a task that serves says of its response times. */
static int32_t tail_ms(const struct worker_model *model,
		       const struct model_run *run)
{
	int32_t pace = 0;

	for (guint i = 0; i < model->runs->len; i++) {
		const struct model_run *other =
			&g_array_index(model->runs, struct model_run, i);

		if (other->fills)
			pace = MAX(pace, other->pace);
	}
	return run->target_ms * pace / 100;
}

static struct json_object *run_row(const struct standin_worker *worker,
				   const struct model_run *run)
{
	const struct worker_model *model = &worker->model;
	struct json_object *row = json_object_new_array();

	json_object_array_add(row, json_object_new_string(run->task));
	json_object_array_add(row, json_object_new_int(run->run));
	json_object_array_add(row, checkpoint_of(worker, run->task));
	json_object_array_add(row, json_object_new_int(model_run_percent(run)));
	if (run->target_ms)
		json_object_array_add(row,
				      json_object_new_int(tail_ms(model, run)));
	return row;
}

static struct json_object *end_row(const struct standin_worker *worker,
				   const struct worker_end *end)
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
	json_object_array_add(row, checkpoint_of(worker, end->task));
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
			runs,
			run_row(worker, &g_array_index(state->runs,
						       struct model_run, i)));
	for (guint i = 0; i < worker_model_listed_ends(state); i++)
		json_object_array_add(
			ends,
			end_row(worker, &g_array_index(state->ends,
						       struct worker_end, i)));
	json_object_object_add(body, "born",
			       json_object_new_int64(worker->born_ms));
	json_object_object_add(body, "running", runs);
	json_object_object_add(body, "finished", ends);
	standin_answer(request, 200, body);
}

static void renew_lease(struct web_request *request,
			struct standin_worker *worker,
			struct json_object *params)
{
	struct waiting_renewal waiting = {
		.request = request,
		.worker = worker,
		.until_ms = clk_now_ms(worker->workers->clk) +
			    json_int(params, "waitMs", 0),
	};

	worker_model_acknowledge(&worker->model,
				 json_int(params, "ackCursor", 0));
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	if (worker->model.ends->len ||
	    waiting.until_ms <= clk_now_ms(worker->workers->clk))
		answer_lists(request, worker);
	else
		g_ptr_array_add(worker->workers->waiting,
				g_memdup2(&waiting, sizeof(waiting)));
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
		.at_ms = clk_now_ms(worker->workers->clk) + LATE_MS,
	};

	worker->workers->starts_to_delay--;
	g_ptr_array_add(worker->workers->late_starts,
			g_memdup2(&late, sizeof(late)));
}

static void execute_late_starts(struct standin_workers *workers)
{
	for (guint i = workers->late_starts->len; i > 0; i--) {
		struct late_start *late = workers->late_starts->pdata[i - 1];
		struct standin_worker *worker = late->worker;

		if (clk_now_ms(workers->clk) < late->at_ms)
			continue;
		g_ptr_array_remove_index(workers->late_starts, i - 1);
		if (!worker->up || worker->born_ms != late->born_ms)
			standin_answer(late->request, 503,
				       json_object_new_object());
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

static void set_unguarded(struct standin_workers *workers, bool value)
{
	workers->unguarded = value;
	for (int i = 0; i < workers->count; i++) {
		struct worker_model *model = &workers->worker[i].model;

		model->max_runs = value ? INT32_MAX : MAX_RUNS;
		model->stop_ms = value ? STOP_MS : 0;
	}
}

static void control_capacity(struct standin_workers *workers,
			     struct json_object *params)
{
	int64_t of = json_int(params, "of", -1);
	struct standin_worker *worker;

	if (json_get(params, "unguarded"))
		set_unguarded(workers, json_flag(params, "unguarded"));
	if (json_get(params, "hide"))
		workers->hide_capacity = json_flag(params, "hide");
	if (of < 0 || of >= workers->count)
		return;
	worker = &workers->worker[of];
	room_say(&worker->room, json_object_get(json_get(params, "capacity")),
		 clk_now_ms(workers->clk));
	if (worker->up)
		publish_entry(worker);
}

void standin_workers_control(struct standin_workers *workers,
			     struct json_object *params)
{
	int64_t crash = json_int(params, "crash", -1);
	int64_t restart = json_int(params, "restart", -1);

	workers->starts_to_delay =
		json_int(params, "late", workers->starts_to_delay);
	control_capacity(workers, params);
	if (crash >= 0 && crash < workers->count) {
		workers->worker[crash].up = false;
		publish_entry(&workers->worker[crash]);
	}
	if (restart >= 0 && restart < workers->count)
		start_worker(&workers->worker[restart]);
}

static void answer_waiting(struct standin_workers *workers)
{
	for (guint i = workers->waiting->len; i > 0; i--) {
		struct waiting_renewal *waiting =
			workers->waiting->pdata[i - 1];
		struct standin_worker *worker = waiting->worker;

		if (clk_now_ms(workers->clk) < waiting->until_ms &&
		    !worker->model.ends->len)
			continue;
		g_ptr_array_remove_index(workers->waiting, i - 1);
		if (worker->up)
			answer_lists(waiting->request, worker);
		else
			standin_answer(waiting->request, 503,
				       json_object_new_object());
		g_free(waiting);
	}
}

void standin_workers_init(struct standin_workers *workers,
			  const struct clk *clk, struct log_model *log)
{
	*workers = (struct standin_workers){
		.clk = clk,
		.log = log,
		.late_starts = g_ptr_array_new(),
		.waiting = g_ptr_array_new(),
		.saves = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL),
	};
}

static void log_end(void *arg, const struct worker_end *end)
{
	const struct standin_worker *worker = arg;

	log_info("run-ended task=%s run=%d worker=%s how=%d", end->task,
		 end->run, worker->id, end->how);
}

struct standin_worker *standin_workers_add(struct standin_workers *workers,
					   uint16_t port)
{
	struct standin_worker *worker = &workers->worker[workers->count];

	worker->workers = workers;
	worker->port = port;
	snprintf(worker->id, sizeof(worker->id), "i-%d", workers->count++);
	worker_model_init(&worker->model, MAX_RUNS);
	worker->model.on_end = log_end;
	worker->model.arg = worker;
	room_say(&worker->room, full_capacity(), clk_now_ms(workers->clk));
	start_worker(worker);
	return worker;
}

void standin_worker_handle(void *arg, struct web_request *request)
{
	struct standin_worker *worker = arg;
	struct json_object *params =
		json_parse(request->body, request->body_len);
	const char *expected_id =
		web_header(request, "X-Chestnutplank-Expect-Instance");

	if (!worker->up)
		/* No answer: the call ends by the client's timeout. */
		;
	else if (worker->workers->starts_to_delay > 0 &&
		 !strcmp(request->path, "/run-start"))
		delay_start(request, worker, params);
	else if (expected_id && strcmp(expected_id, worker->id))
		standin_answer(request, 421, json_object_new_object());
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
	} else if (!strcmp(request->path, "/pace")) {
		pace_run(request, worker, params);
	} else {
		standin_answer(request, 404, json_object_new_object());
	}
	json_object_put(params);
}

void standin_workers_tick(struct standin_workers *workers, int64_t tick_ms)
{
	for (int i = 0; i < workers->count; i++) {
		struct standin_worker *worker = &workers->worker[i];

		if (worker->up)
			worker_model_advance(&worker->model,
					     clk_wall_ms(workers->clk) -
						     worker->born_ms,
					     tick_ms);
	}
	execute_late_starts(workers);
	answer_waiting(workers);
}
