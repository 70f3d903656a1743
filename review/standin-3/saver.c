/*
 * Workers of the stand-in whose tasks save their progress. As
 * tests/standin_worker.c, with which it shares its header, but for this:
 *
 *	for=MS	   in a task's text: its work; 600 ms without it
 *	saves=N	   in a task's text: it saves each 500 ms of work, in a
 *		   checkpoint of N bytes which begins with that time
 *
 * A worker has 32 cores and 64 GB. POST /control may also hold
 *
 *	"drain": worker	   its entry says from now on that it drains
 *	"late_every": n	   each n-th start is executed 2.5 s late and not
 *			   answered in time; 0: none
 *
 * A run that starts with a checkpoint goes on from there. Each run keeps its
 * own checkpoint, as the worker lists it until its end is acknowledged.
 */
#include "standin_worker.h"

#include <stdio.h>
#include <string.h>

#include "json.h"
#include "log.h"
#include "standin_answer.h"

enum {
	TASK_MS = 600,
	MAX_RUNS = 400,
	FULL_CPU_MILLI = 32000,
	FULL_MEM_MIB = 65536,
	STOP_MS = 200,
	SAVE_MS = 500,
	LATE_MS = 2500
};

static int64_t text_number(const char *text, const char *key, int64_t fallback)
{
	const char *at = strstr(text, key);

	return at ? g_ascii_strtoll(at + strlen(key), NULL, 10) : fallback;
}

/* A run that saves its progress. */
struct saver {
	int64_t saved_ms; /* work that is saved */
	int64_t bytes;	  /* of its checkpoint */
};

static int64_t late_every; /* of the starts; 0: none is late */
static int64_t starts_seen;
static int drains = -1; /* number of the worker that drains; -1: none */

static GHashTable *savers; /* "WORKER/TASK/RUN" -> struct saver */

static char *saver_key(const struct standin_worker *worker, const char *task,
		       int32_t run)
{
	return g_strdup_printf("%s/%s/%d", worker->id, task, run);
}

static struct saver *find_saver(const struct standin_worker *worker,
				const char *task, int32_t run)
{
	char *key = saver_key(worker, task, run);
	struct saver *saver = savers ? g_hash_table_lookup(savers, key) : NULL;

	g_free(key);
	return saver;
}

/* The run's newest checkpoint; free with g_free. */
static char *checkpoint_of(const struct standin_worker *worker,
			   const char *task, int32_t run)
{
	const struct saver *saver = find_saver(worker, task, run);
	char *filler, *text;

	if (!saver || saver->saved_ms <= 0)
		return g_strdup("");
	filler = g_strnfill((gsize)MAX(saver->bytes - 8, 0), 'c');
	text = g_strdup_printf("%08d%s", (int)saver->saved_ms, filler);
	g_free(filler);
	return text;
}

/* Notes a run that saves, and lets it go on from the checkpoint. */
static void prepare_saver(const struct standin_worker *worker,
			  struct model_run *run, const char *text,
			  const char *checkpoint)
{
	struct saver *saver;
	int64_t bytes = text_number(text, "saves=", 0);
	char digits[9];

	if (!bytes || find_saver(worker, run->task, run->run))
		return;
	if (!savers)
		savers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free);
	saver = g_new0(struct saver, 1);
	saver->bytes = bytes;
	g_strlcpy(digits, checkpoint, sizeof(digits));
	saver->saved_ms = MIN(g_ascii_strtoll(digits, NULL, 10), run->total_ms);
	run->remaining_ms -= saver->saved_ms;
	g_hash_table_insert(savers, saver_key(worker, run->task, run->run),
			    saver);
}

static void save(const struct standin_worker *worker,
		 const struct model_run *run)
{
	struct saver *saver = find_saver(worker, run->task, run->run);

	if (saver)
		saver->saved_ms = (run->total_ms - run->remaining_ms) /
				  SAVE_MS * SAVE_MS;
}

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

/* Whether the start that has arrived is to be executed late. */
static bool is_late(const struct standin_worker *worker)
{
	if (worker->workers->starts_to_delay > 0)
		return true;
	return late_every && ++starts_seen % late_every == 0;
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
		"\"state\":\"%s\",\"born\":%" G_GINT64_FORMAT ","
		"%s\"labels\":[\"a\",\"r1\"],\"seq\":1}",
		worker->port, MAX_RUNS,
		worker == &worker->workers->worker[MAX(drains, 0)] &&
				drains >= 0
			? "draining"
			: "ready",
		worker->born_ms, capacity);

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

/* A task whose text begins with "last" runs until it is stopped. */
static void start_run(struct web_request *request,
		      struct standin_worker *worker, struct json_object *params,
		      bool late)
{
	const char *text = json_text(params, "spec");
	struct model_run run = {
		.run = (int32_t)json_int(params, "run", 0),
		.total_ms = text_number(text, "for=", TASK_MS),
		.until_stopped = g_str_has_prefix(text, "last"),
		.fails = g_str_has_prefix(text, "fail"),
	};
	enum order_outcome outcome;
	bool began;

	room_parse_use(text, &run);
	json_copy(params, "task", run.task, sizeof(run.task));
	run.remaining_ms = run.total_ms;
	prepare_saver(worker, &run, text, json_text(params, "checkpoint"));
	worker_model_extend(&worker->model, json_int(params, "untilMs", 0));
	outcome = worker_model_start(&worker->model, &run,
				     json_int(params, "untilMs", 0), &began);
	if (began)
		log_info("run-begun task=%s run=%d worker=%s late=%d", run.task,
			 run.run, worker->id, late);
	if (began && worker->workers->unguarded &&
	    room_exceeded(&worker->room, &worker->model,
			  clk_now_ms(worker->workers->clk)))
		log_error("over-capacity task=%s run=%d worker=%s runs=%u",
			  run.task, run.run, worker->id,
			  worker->model.runs->len);
	answer_order(request, worker, outcome);
}

static struct json_object *run_row(const struct standin_worker *worker,
				   const struct model_run *run)
{
	struct json_object *row = json_object_new_array();
	char *checkpoint;

	save(worker, run);
	checkpoint = checkpoint_of(worker, run->task, run->run);
	json_object_array_add(row, json_object_new_string(run->task));
	json_object_array_add(row, json_object_new_int(run->run));
	json_object_array_add(row, json_object_new_string(checkpoint));
	g_free(checkpoint);
	json_object_array_add(row, json_object_new_int(model_run_percent(run)));
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
	char *checkpoint = end->how == END_DONE
				   ? g_strdup("")
				   : checkpoint_of(worker, end->task, end->run);

	json_object_array_add(row, json_object_new_int64(end->number));
	json_object_array_add(row, json_object_new_string(end->task));
	json_object_array_add(row, json_object_new_int(end->run));
	json_object_array_add(row, json_object_new_string(names[end->how]));
	json_object_array_add(row, json_object_new_string(checkpoint));
	g_free(checkpoint);
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
			start_run(late->request, worker, late->params, true);
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
	late_every = json_int(params, "late_every", late_every);
	if (json_get(params, "drain")) {
		drains = (int)CLAMP(json_int(params, "drain", 0), 0,
				    workers->count - 1);
		publish_entry(&workers->worker[drains]);
		log_info("draining-said worker=%s",
			 workers->worker[drains].id);
	}
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
	else if (!strcmp(request->path, "/run-start") && is_late(worker))
		delay_start(request, worker, params);
	else if (expected_id && strcmp(expected_id, worker->id))
		standin_answer(request, 421, json_object_new_object());
	else if (!worker_model_check_fence(&worker->model,
					   json_int(params, "fence", 0)))
		answer_order(request, worker, ORDER_FENCED);
	else if (!strcmp(request->path, "/run-start"))
		start_run(request, worker, params, false);
	else if (!strcmp(request->path, "/hold"))
		renew_lease(request, worker, params);
	else if (!strcmp(request->path, "/run-stop")) {
		worker_model_stop(&worker->model, json_text(params, "task"),
				  (int32_t)json_int(params, "run", 0));
		answer_order(request, worker, ORDER_OK);
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
