/*
 * Stand-in for the users' platform, for the cases of this review: the log service
 * (that of tests/, which follows the pages), the list of machines, and workers that
 * follow "Running tasks" of the pages, with checkpoints and gangs.
 *
 * usage: fleet PORT RECORD-FILE CONFIGURATION-FILE WORKERS...
 *
 * A worker is SERVICE:KIND:RACK. Worker number i has the id w-i, the machine m-i, and
 * listens on PORT + 1 + i. The log and the list of machines are served on PORT, and for
 * node number i on PORT + 40 + i, so that a node can be cut off from them. The text of a job says what its tasks do: "ms=N" work,
 * "saves" a checkpoint each 500 ms of work, "gang=N" members of a gang.
 *
 * The record has a line for each event: milliseconds since the start, and what it was.
 *
 * POST /control injects faults; its JSON body may hold
 *	"crash": [i, ...]    these workers crash; they send nothing from then on
 *	"start": [i, ...]    they start again under their ids, and register
 *	"cut": [i, ...]      no call reaches them from now on, and no entry leaves them
 *	"join": [i, ...]     the cut of these ends
 *	"late": [i, n]       the next n starts at worker i get no answer, and
 *	"late_ms": n         are carried out that much later, by whichever life is up
 *	"fail": i            the worker fails the next run that it ends; -1: none
 *	"lose_answers": n    the answers to the next n appends are lost
 *	"put": text          a configuration
 *	"note": text         a line for the record
 *	"cut_node": i        no call of this node reaches the log or the list
 *	"join_node": i       its cut ends
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <glib.h>
#include <json-c/json.h>

#include "clk.h"
#include "evloop.h"
#include "json.h"
#include "log.h"
#include "log_model.h"
#include "standin_answer.h"
#include "standin_log.h"
#include "web.h"

enum {
	TICK_MS = 5,
	MAX_WORKERS = 24,
	HEARTBEAT_MS = 1500,
	SILENT_MS = 3 * HEARTBEAT_MS, /* after which an entry is removed */
	SAVE_MS = 500,
	RESTORE_MS = 100,
	GANG_MS = 3000,
	HOLD_MAX_MS = 10000,
	CPU_MILLI = 8000,
	MEM_MIB = 16384,
	LISTED_ENDS = 500,
	NAME_BYTES = 64,
	NODES = 4,
	NODE_PORT_OFFSET = 40
};

struct run {
	char task[NAME_BYTES];
	int run;
	int gang;	   /* members; 0: none */
	bool saves;
	bool begun;	   /* it works */
	int64_t total_ms;  /* work */
	int64_t worked_ms; /* of it, with what the checkpoint had */
	int64_t rest_ms;   /* until it has restored its checkpoint */
	int64_t since_ms;  /* worker's clock at the start */
	int64_t saved_ms;  /* work in the checkpoint; 0: none */
};

struct end {
	int64_t number;
	char task[NAME_BYTES];
	int run;
	int gang;
	const char *how;
	int64_t saved_ms;
};

struct worker {
	int number;
	char id[16], machine[16], service[32], kind[16], rack[16];
	uint16_t port;
	bool up, cut, lapsed, listed;
	int64_t born_ms, started_ms; /* time of day, steady clock */
	int64_t next_beat_ms, seq;
	int64_t fence, until_ms, last_end;
	int late_starts;
	GArray *runs, *ends;
	GHashTable *ended; /* task -> highest run that ended or was stopped */
};

/* A renewal that waits for an end. */
struct waiting {
	struct web_request *request;
	struct worker *worker;
	int64_t until_ms;
};

/* A start that is carried out late. */
struct late {
	struct worker *worker;
	struct json_object *params;
	int64_t at_ms;
};

static struct evloop *evloop;
static struct standin_log log_service;
static struct worker workers[MAX_WORKERS];
static bool node_cut[NODES];
static int worker_count, fails_next = -1;
static int64_t late_ms, start_ms;
static GPtrArray *waiting, *late_list, *silent;
static FILE *record;

static int64_t now_ms(void)
{
	return clk_now_ms(evloop_clk(evloop));
}

__attribute__((format(printf, 1, 2))) static void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%7lld ", (long long)(now_ms() - start_ms));
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static int64_t clock_of(const struct worker *worker)
{
	return now_ms() - worker->started_ms;
}

static struct run *run_at(const struct worker *worker, guint index)
{
	return &g_array_index(worker->runs, struct run, index);
}

static void register_worker(struct worker *worker)
{
	char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"coldLeftMs\":0,\"machine\":\"%s\",\"born\":%lld,"
		"\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
		"\"labels\":[\"%s\",\"%s\"],\"seq\":%lld}",
		worker->service, worker->port, worker->machine,
		(long long)worker->born_ms, CPU_MILLI, MEM_MIB, worker->kind,
		worker->rack, (long long)++worker->seq);

	log_model_put(log_service.model, "keyed.servers", worker->id, value,
		      strlen(value));
	worker->next_beat_ms = now_ms() + HEARTBEAT_MS;
	worker->listed = true;
	g_free(value);
}

/* The store removes the entry of a worker that has been silent. */
static void remove_silent(struct worker *worker)
{
	if (!worker->listed ||
	    now_ms() < worker->next_beat_ms - HEARTBEAT_MS + SILENT_MS)
		return;
	worker->listed = false;
	log_model_put(log_service.model, "keyed.servers", worker->id, NULL, 0);
	note("the entry of %s is removed", worker->id);
}

static void start_worker(struct worker *worker)
{
	worker->up = true;
	worker->born_ms = clk_wall_ms(evloop_clk(evloop));
	worker->started_ms = now_ms();
	worker->seq = 0;
	worker->fence = 0;
	worker->until_ms = 0;
	worker->last_end = 0;
	g_array_set_size(worker->runs, 0);
	g_array_set_size(worker->ends, 0);
	g_hash_table_remove_all(worker->ended);
	note("worker %s starts", worker->id);
	if (!worker->cut)
		register_worker(worker);
}

static void crash_worker(struct worker *worker)
{
	note("worker %s crashes", worker->id);
	for (guint i = 0; worker->up && i < worker->runs->len; i++)
		note("gone %s run %d at %s", run_at(worker, i)->task,
		     run_at(worker, i)->run, worker->id);
	worker->up = false;
	g_array_set_size(worker->runs, 0);
	g_array_set_size(worker->ends, 0);
}

/* A checkpoint names the step and the work in it; of a gang, for all members. */
static char *checkpoint_text(const char *task, int gang, int64_t saved_ms)
{
	char *name = g_strdup(task), *text;

	if (!saved_ms)
		text = g_strdup("");
	else {
		if (gang)
			*strrchr(name, '.') = 0;
		text = g_strdup_printf("%08llx%08x", (long long)saved_ms,
				       g_str_hash(name));
	}
	g_free(name);
	return text;
}

static struct json_object *clock_body(const struct worker *worker)
{
	return standin_object_with("clockMs",
				   json_object_new_int64(clock_of(worker)));
}

static void add_text(struct json_object *row, const char *text)
{
	json_object_array_add(row, json_object_new_string(text));
}

static void add_int(struct json_object *row, int64_t number)
{
	json_object_array_add(row, json_object_new_int64(number));
}

static int gang_of(const char *spec)
{
	const char *at = strstr(spec, "gang=");

	return at ? atoi(at + 5) : 0;
}

static void answer_lists(struct web_request *request, struct worker *worker)
{
	struct json_object *body = clock_body(worker);
	struct json_object *running = json_object_new_array();
	struct json_object *finished = json_object_new_array();

	for (guint i = 0; i < worker->runs->len; i++) {
		const struct run *run = run_at(worker, i);
		struct json_object *row = json_object_new_array();
		char *saved = checkpoint_text(run->task, run->gang,
					      run->saved_ms);

		add_text(row, run->task);
		add_int(row, run->run);
		add_text(row, saved);
		add_int(row, run->begun ? 100 * run->worked_ms / run->total_ms
					: 0);
		add_int(row, run->begun ? 1000 : 0);
		json_object_array_add(running, row);
		if (*saved)
			note("said %s run %d at %s saved %s", run->task,
			     run->run, worker->id, saved);
		g_free(saved);
	}
	for (guint i = 0; i < worker->ends->len && i < LISTED_ENDS; i++) {
		const struct end *end =
			&g_array_index(worker->ends, struct end, i);
		struct json_object *row = json_object_new_array();
		char *saved = checkpoint_text(end->task, end->gang,
					      end->saved_ms);

		add_int(row, end->number);
		add_text(row, end->task);
		add_int(row, end->run);
		add_text(row, end->how);
		add_text(row, saved);
		json_object_array_add(finished, row);
		g_free(saved);
	}
	json_object_object_add(body, "born",
			       json_object_new_int64(worker->born_ms));
	json_object_object_add(body, "running", running);
	json_object_object_add(body, "finished", finished);
	standin_answer(request, 200, body);
}

static void end_run(struct worker *worker, guint index, const char *how)
{
	const struct run *run = run_at(worker, index);
	struct end end = {
		.number = ++worker->last_end,
		.run = run->run,
		.gang = run->gang,
		.how = how,
		.saved_ms = !run->saves		     ? 0
			    : !strcmp(how, "stopped") ? run->worked_ms
						      : run->saved_ms,
	};

	g_strlcpy(end.task, run->task, sizeof(end.task));
	note("end %s run %d at %s how %s", run->task, run->run, worker->id,
	     how);
	g_hash_table_insert(worker->ended, g_strdup(run->task),
			    GINT_TO_POINTER(run->run));
	g_array_append_val(worker->ends, end);
	g_array_remove_index(worker->runs, index);
}

static void answer_refusal(struct web_request *request, struct worker *worker,
			   const char *reason)
{
	struct json_object *body = clock_body(worker);

	if (!request) {
		json_object_put(body);
		return;
	}
	if (reason)
		json_object_object_add(body, "reason",
				       json_object_new_string(reason));
	standin_answer(request, reason ? 409 : 200, body);
}

static void extend(struct worker *worker, int64_t until_ms)
{
	until_ms = MIN(until_ms, clock_of(worker) + HOLD_MAX_MS);
	worker->until_ms = MAX(worker->until_ms, until_ms);
}

/* Carries a start out; request NULL: nobody waits for the answer. */
static const char *start_run(struct worker *worker, struct json_object *params)
{
	const char *spec = json_text(params, "spec");
	const char *saved = json_text(params, "checkpoint");
	const char *work = strstr(spec, "ms=");
	struct run run = {
		.run = (int)json_int(params, "run", 0),
		.gang = gang_of(spec),
		.saves = strstr(spec, "saves") != NULL,
		.total_ms = work ? atoi(work + 3) : 500,
		.since_ms = clock_of(worker),
	};
	int highest;

	json_copy(params, "task", run.task, sizeof(run.task));
	extend(worker, json_int(params, "untilMs", 0));
	highest = GPOINTER_TO_INT(g_hash_table_lookup(worker->ended, run.task));
	for (guint i = 0; i < worker->runs->len; i++)
		if (!strcmp(run_at(worker, i)->task, run.task))
			return run_at(worker, i)->run == run.run ? NULL : "old";
	if (run.run <= highest)
		return "old";
	if (json_int(params, "untilMs", 0) <= clock_of(worker))
		return "late";
	if (worker->runs->len >= CPU_MILLI / 1000)
		return "room";
	if (*saved) {
		run.worked_ms = strtoll(
			(char[]){ saved[0], saved[1], saved[2], saved[3],
				  saved[4], saved[5], saved[6], saved[7], 0 },
			NULL, 16);
		run.saved_ms = run.worked_ms;
		run.rest_ms = RESTORE_MS;
	}
	run.begun = !run.gang;
	g_array_append_val(worker->runs, run);
	note("begin %s run %d at %s checkpoint %s", run.task, run.run,
	     worker->id, *saved ? saved : "-");
	return NULL;
}

static void handle_start(struct web_request *request, struct worker *worker,
			 struct json_object *params)
{
	const char *reason = start_run(worker, params);

	answer_refusal(request, worker, reason);
}

static void handle_stop(struct web_request *request, struct worker *worker,
			struct json_object *params)
{
	const char *task = json_text(params, "task");
	int number = (int)json_int(params, "run", 0);

	note("stop %s run %d at %s", task, number, worker->id);
	for (guint i = worker->runs->len; i > 0; i--)
		if (!strcmp(run_at(worker, i - 1)->task, task) &&
		    run_at(worker, i - 1)->run <= number)
			end_run(worker, i - 1, "stopped");
	if (number > GPOINTER_TO_INT(g_hash_table_lookup(worker->ended, task)))
		g_hash_table_insert(worker->ended, g_strdup(task),
				    GINT_TO_POINTER(number));
	answer_refusal(request, worker, NULL);
}

static void handle_hold(struct web_request *request, struct worker *worker,
			struct json_object *params)
{
	struct waiting wait = {
		.request = request,
		.worker = worker,
		.until_ms = now_ms() + json_int(params, "waitMs", 0),
	};
	int64_t cursor = json_int(params, "ackCursor", 0);

	while (worker->ends->len &&
	       g_array_index(worker->ends, struct end, 0).number <= cursor) {
		const struct end *end =
			&g_array_index(worker->ends, struct end, 0);

		note("noted %s run %d at %s how %s", end->task, end->run,
		     worker->id, end->how);
		g_array_remove_index(worker->ends, 0);
	}
	if (json_get(params, "untilMs"))
		extend(worker, json_int(params, "untilMs", 0));
	if (worker->ends->len || wait.until_ms <= now_ms())
		answer_lists(request, worker);
	else
		g_ptr_array_add(waiting, g_memdup2(&wait, sizeof(wait)));
}

static void delay_start(struct worker *worker, struct json_object *params)
{
	struct late late = {
		.worker = worker,
		.params = json_object_get(params),
		.at_ms = now_ms() + late_ms,
	};

	worker->late_starts--;
	note("late %s run %d at %s: no answer, carried out after %lld ms",
	     json_text(params, "task"), (int)json_int(params, "run", 0),
	     worker->id, (long long)late_ms);
	g_ptr_array_add(late_list, g_memdup2(&late, sizeof(late)));
}

static bool accepts_fence(struct worker *worker, struct json_object *params)
{
	int64_t fence = json_int(params, "fence", 0);

	if (fence < worker->fence)
		return false;
	worker->fence = fence;
	return true;
}

static void handle_worker(void *arg, struct web_request *request)
{
	struct worker *worker = arg;
	const char *id = web_header(request, "X-Chestnutplank-Expect-Instance");
	struct json_object *params =
		json_parse(request->body, request->body_len);

	if (!worker->up || worker->cut)
		g_ptr_array_add(silent, request); /* gets no answer */
	else if (worker->late_starts && !strcmp(request->path, "/run-start")) {
		delay_start(worker, params);
		g_ptr_array_add(silent, request);
	} else if (id && strcmp(id, worker->id))
		standin_answer(request, 421, clock_body(worker));
	else if (!accepts_fence(worker, params))
		answer_refusal(request, worker, "fence");
	else if (!strcmp(request->path, "/run-start"))
		handle_start(request, worker, params);
	else if (!strcmp(request->path, "/run-stop"))
		handle_stop(request, worker, params);
	else if (!strcmp(request->path, "/hold"))
		handle_hold(request, worker, params);
	else
		standin_answer(request, 404, json_object_new_object());
	json_object_put(params);
}

static void carry_out_late(void)
{
	for (guint i = late_list->len; i > 0; i--) {
		struct late *late = late_list->pdata[i - 1];

		if (now_ms() < late->at_ms)
			continue;
		if (late->worker->up &&
		    accepts_fence(late->worker, late->params)) {
			const char *reason =
				start_run(late->worker, late->params);

			note("late %s at %s: %s",
			     json_text(late->params, "task"), late->worker->id,
			     reason ? reason : "carried out");
		} else {
			note("late %s at %s: not carried out",
			     json_text(late->params, "task"), late->worker->id);
		}
		json_object_put(late->params);
		g_free(late);
		g_ptr_array_remove_index(late_list, i - 1);
	}
}

/* Whether two runs are members of one run of a gang. */
static bool same_gang(const struct run *a, const struct run *b)
{
	size_t len = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return a->run == b->run && !strncmp(a->task, b->task, len);
}

/* Members that are present; those that are get "begun", or end as how says. */
static int visit_gang(const struct run *of, bool begin, const char *how)
{
	struct run member = *of;
	int count = 0;

	for (int i = 0; i < worker_count; i++) {
		struct worker *worker = &workers[i];

		for (guint k = worker->up ? worker->runs->len : 0; k > 0; k--) {
			struct run *run = run_at(worker, k - 1);

			if (!same_gang(run, &member))
				continue;
			count++;
			run->begun |= begin;
			if (how)
				end_run(worker, k - 1, how);
		}
	}
	return count;
}

static void advance(struct worker *worker, int64_t passed_ms)
{
	bool lapsed = clock_of(worker) >= worker->until_ms;

	if (lapsed && !worker->lapsed)
		note("lease over at %s", worker->id);
	worker->lapsed = lapsed;
	for (guint i = worker->runs->len; i > 0; i--) {
		struct run *run = run_at(worker, i - 1);

		if (i > worker->runs->len)
			continue;
		if (lapsed) {
			end_run(worker, i - 1, "lapsed");
			continue;
		}
		if (run->gang && !run->begun) {
			if (visit_gang(run, false, NULL) == run->gang)
				visit_gang(run, true, NULL);
			else if (clock_of(worker) - run->since_ms >= GANG_MS)
				end_run(worker, i - 1, "alone");
			continue;
		}
		if (run->gang && visit_gang(run, false, NULL) < run->gang) {
			end_run(worker, i - 1, "broken");
			continue;
		}
		if (run->rest_ms > 0) {
			run->rest_ms -= passed_ms;
			continue;
		}
		run->worked_ms += passed_ms;
		if (run->saves)
			run->saved_ms = MAX(run->saved_ms,
					    run->worked_ms / SAVE_MS * SAVE_MS);
		if (fails_next == worker->number && run->worked_ms >= 300) {
			fails_next = -1;
			end_run(worker, i - 1, "failed");
		} else if (run->worked_ms >= run->total_ms && run->gang) {
			visit_gang(run, false, "done");
		} else if (run->worked_ms >= run->total_ms) {
			end_run(worker, i - 1, "done");
		}
	}
}

static void answer_waiting(void)
{
	for (guint i = waiting->len; i > 0; i--) {
		struct waiting *wait = waiting->pdata[i - 1];
		struct worker *worker = wait->worker;

		if (!worker->up || worker->cut)
			g_ptr_array_add(silent, wait->request);
		else if (worker->ends->len || now_ms() >= wait->until_ms)
			answer_lists(wait->request, worker);
		else
			continue;
		g_free(wait);
		g_ptr_array_remove_index(waiting, i - 1);
	}
}

static void list_machines(struct web_request *request)
{
	struct json_object *rows = json_object_new_array();

	for (int i = 0; i < worker_count; i++) {
		const struct worker *worker = &workers[i];
		struct json_object *row = json_object_new_object();
		const char *const fields[][2] = {
			{ "machine", worker->machine },
			{ "pool", worker->service },
			{ "zone", "z" },
			{ "state", worker->up ? "up" : "down" },
			{ "id", worker->id },
		};
		struct json_object *capacity = json_object_new_object();

		for (size_t k = 0; k < G_N_ELEMENTS(fields); k++)
			json_object_object_add(
				row, fields[k][0],
				json_object_new_string(fields[k][1]));
		json_object_object_add(capacity, "cpu",
				       json_object_new_int(CPU_MILLI));
		json_object_object_add(capacity, "memMb",
				       json_object_new_int(MEM_MIB));
		json_object_object_add(row, "capacity", capacity);
		json_object_array_add(rows, row);
	}
	standin_answer(request, 200, standin_object_with("machines", rows));
}

/* Workers that a member of the control's body lists, one after the other. */
static struct worker *listed(struct json_object *params, const char *key,
			     size_t index)
{
	struct json_object *list = json_get(params, key);
	int number;

	if (index >= json_len(list))
		return NULL;
	number = json_object_get_int(json_object_array_get_idx(list, index));
	return number >= 0 && number < worker_count ? &workers[number] : NULL;
}

static void cut_worker(struct worker *worker, bool cut)
{
	note("worker %s is %s", worker->id, cut ? "cut off" : "reached again");
	worker->cut = cut;
	if (!cut && worker->up)
		register_worker(worker);
}

static void control(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	struct worker *worker;
	int node;

	for (size_t i = 0; (worker = listed(params, "cut", i)); i++)
		cut_worker(worker, true);
	for (size_t i = 0; (worker = listed(params, "crash", i)); i++)
		crash_worker(worker);
	for (size_t i = 0; (worker = listed(params, "start", i)); i++)
		start_worker(worker);
	for (size_t i = 0; (worker = listed(params, "join", i)); i++)
		cut_worker(worker, false);
	worker = listed(params, "late", 0);
	if (worker)
		worker->late_starts = json_object_get_int(
			json_object_array_get_idx(json_get(params, "late"), 1));
	late_ms = json_int(params, "late_ms", late_ms);
	fails_next = (int)json_int(params, "fail", fails_next);
	log_service.answers_to_lose =
		json_int(params, "lose_answers", log_service.answers_to_lose);
	if (json_get(params, "note"))
		note("%s", json_text(params, "note"));
	node = (int)json_int(params, "cut_node", -1);
	if (node >= 0 && node < NODES) {
		node_cut[node] = true;
		note("node %d is cut off from the store", node);
	}
	node = (int)json_int(params, "join_node", -1);
	if (node >= 0 && node < NODES) {
		node_cut[node] = false;
		note("node %d reaches the store again", node);
	}
	if (json_get(params, "put"))
		note("the store acknowledges a configuration");
	if (json_get(params, "put"))
		log_model_put(log_service.model, "keyed.op", "config",
			      json_text(params, "put"),
			      strlen(json_text(params, "put")));
	json_object_put(params);
	standin_answer(request, 200, json_object_new_object());
}

static void handle(void *arg, struct web_request *request)
{
	const bool *cut = arg;

	if (cut && *cut)
		g_ptr_array_add(silent, request); /* gets no answer */
	else if (!strcmp(request->path, "/control"))
		control(request);
	else if (standin_log_handle(&log_service, request))
		return;
	else if (!strcmp(request->path, "/machines"))
		list_machines(request);
	else
		standin_answer(request, 404, json_object_new_object());
}

static void tick(void *arg)
{
	static int64_t last_ms;
	int64_t passed_ms = last_ms ? now_ms() - last_ms : 0;

	(void)arg;
	last_ms = now_ms();
	standin_log_tick(&log_service);
	for (int i = 0; i < worker_count; i++) {
		struct worker *worker = &workers[i];

		if (!worker->up || worker->cut)
			remove_silent(worker);
		if (!worker->up)
			continue;
		advance(worker, passed_ms);
		if (!worker->cut && now_ms() >= worker->next_beat_ms)
			register_worker(worker);
	}
	carry_out_late();
	answer_waiting();
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	(void)kind;
}

static void stop(void *arg)
{
	(void)arg;
	exit(0);
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
	fprintf(stderr, "%s\n", err.text);
	return false;
}

static bool add_worker(const char *text, uint16_t port)
{
	struct worker *worker = &workers[worker_count];

	worker->number = worker_count++;
	worker->port = port;
	snprintf(worker->id, sizeof(worker->id), "w-%d", worker->number);
	snprintf(worker->machine, sizeof(worker->machine), "m-%d",
		 worker->number);
	if (sscanf(text, "%31[^:]:%15[^:]:%15s", worker->service, worker->kind,
		   worker->rack) != 3)
		return false;
	worker->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	worker->ends = g_array_new(FALSE, FALSE, sizeof(struct end));
	worker->ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	start_worker(worker);
	return listen_at(port, handle_worker, worker);
}

int main(int argc, char **argv)
{
	gchar *configuration = NULL;
	gsize len;
	uint16_t port;

	apr_initialize();
	log_init("fleet", false);
	if (argc < 5 || argc - 4 > MAX_WORKERS ||
	    !(record = fopen(argv[2], "a")) ||
	    !g_file_get_contents(argv[3], &configuration, &len, NULL)) {
		fprintf(stderr, "usage: fleet PORT RECORD CONFIGURATION "
				"SERVICE:KIND:RACK...\n");
		return 2;
	}
	evloop = evloop_create(clk_system());
	start_ms = now_ms();
	waiting = g_ptr_array_new();
	late_list = g_ptr_array_new();
	silent = g_ptr_array_new();
	standin_log_init(&log_service, evloop_clk(evloop));
	port = (uint16_t)atoi(argv[1]);
	log_model_put(log_service.model, "keyed.op", "config", configuration,
		      len);
	if (!listen_at(port, handle, NULL))
		return 1;
	for (int i = 0; i < NODES; i++)
		if (!listen_at((uint16_t)(port + NODE_PORT_OFFSET + i), handle,
			       &node_cut[i]))
			return 1;
	for (int i = 4; i < argc; i++)
		if (!add_worker(argv[i], (uint16_t)(port + i - 3)))
			return 1;
	evloop_on_stop_signal(evloop, stop, NULL);
	evloop_add_timer(evloop, TICK_MS, tick, NULL);
	evloop_run(evloop);
	return 0;
}
