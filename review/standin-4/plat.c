/*
 * Stand-in for the users' platform: the store, the list of machines and the
 * workers, on loopback, in one process.
 *
 * usage: plat PORT CONFIGURATION WORKERS RECORD
 *
 * CONFIGURATION has the text of op/config. WORKERS has a line "KIND RACK CPU MEM"
 * for each worker; worker N runs on machine m-N of service tallies, and listens at
 * PORT + 10 + N. What workers are told and do goes to RECORD, a line each, with
 * the time since the start in ms. A line with BROKEN tells what a worker, or the
 * list of machines, sees of a broken rule.
 *
 * The spec of a task tells its worker what to run, in words:
 *	work=MS    ends as done after so much work
 *	last       serves until it is stopped
 *	gang=N     works only together with the N - 1 others of its run
 *	save       makes a checkpoint with each 500 ms of work (saveS)
 *	need=KIND  the kind of worker that its step requires, to be checked
 *
 * POST /control takes JSON:
 *	"crash": N       worker N dies: all that runs there ends, it falls silent
 *	"restart": N     it starts again under its id, as "kind" (default: a)
 *	"rack": RACK     its workers die at once, as soon as the last checkpoints that
 *	"tasks": [T, T]  they have reported of two tasks differ
 *	"end": TASK      the run of the task ends by itself, "how": done or failed
 *	"jobs_down": B   the partitions of keyed.jobs answer 503 while it is true
 *	"late": N        the next N upkeeps get no answer, and are carried out
 *	"late_ms": MS    after that time
 *	"wave": {...}    writes op/wave/N
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <json-c/json.h>

#include "evloop.h"
#include "json.h"
#include "log.h"
#include "log_model.h"
#include "web.h"

enum {
	MAX_WORKERS = 16,
	TICK_MS = 10,
	HOLD_MAX_MS = 10000, /* holdMaxMs */
	STOP_MS = 100,	     /* below stopMs, 200 */
	UPKEEP_MS = 2000,    /* upkeepS */
	GANG_MS = 3000,	     /* gangMs */
	SAVE_MS = 500,	     /* saveS */
	START_MS = 300,	     /* until a task that lasts is at work */
	BEAT_MS = 1500,	     /* heartbeatMs */
	LISTED = 500,
	PAGE = 500,
	ARRIVED_MS = 60,
	DEAD_MS = 5000 /* a request to a dead worker is let go of */
};

struct run {
	char task[80];
	int run;
	char saved[64];
	char began_from[64]; /* the checkpoint of its start */
	bool lasts, saves, waits;
	int gang, cpu;
	int64_t work_ms, left_ms, begun_ms, stop_ms, alone_ms;
};

struct end {
	int64_t number;
	char task[80];
	int run;
	const char *how;
	char saved[64];
};

struct worker {
	int number;
	char id[16], kind[16], rack[16];
	int port, cpu, mem;
	bool up;
	int64_t born_ms, born_wall_ms, fence, lease_ms, last_end, lapsed_end,
		beat_ms;
	GArray *runs, *ends;
	GHashTable *ended; /* task -> highest run that ended or was stopped */
	GHashTable *told;  /* task -> checkpoint of the last report */
	int life;
	int64_t upkeep_end_ms; /* 0: it is not down for its upkeep */
	int64_t upkeep_fence;
	bool upkeep_done; /* of the wave */
};

static struct {
	char *machines[16];
	int count, max_count;
	int64_t number;
} wave;
static int64_t late_upkeeps, late_ms;
static bool jobs_down; /* the partitions of keyed.jobs */

struct waiting {
	struct web_request *request;
	int64_t until_ms;
	struct worker *worker;	 /* a hold, */
	struct log_topic *topic; /* or a read, */
	int64_t from, max_bytes;
	struct worker *upkeep; /* or an upkeep that is carried out late, */
	int64_t fence;
	struct json_object *body; /* or an answer that comes later */
	int status;
};

static struct evloop *evloop;
static const struct clk *clk;
static struct log_model *model;
static struct worker workers[MAX_WORKERS];
static int count;
static GPtrArray *waits;
static FILE *record;
static int64_t start_ms;
/* A rack that is to die; empty: none. */
static char doomed_rack[16];
static char doomed_tasks[2][80];
static int64_t doomed_ms;   /* since when what was reported of them differs */
static GHashTable *done_at; /* task -> worker that ended it as done */

static int64_t now(void)
{
	return clk_now_ms(clk);
}

static void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%7lld ", (long long)(now() - start_ms));
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static void answer(struct web_request *request, int status,
		   struct json_object *body)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "application/json" }, { NULL, NULL }
	};
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	web_respond(request, status, headers, text, strlen(text));
	json_object_put(body);
}

static struct json_object *object(const char *key, struct json_object *value)
{
	struct json_object *body = json_object_new_object();

	if (key)
		json_object_object_add(body, key, value);
	return body;
}

static void answer_later(struct web_request *request, int status,
			 struct json_object *body, int64_t in_ms)
{
	struct waiting *w = g_new0(struct waiting, 1);

	w->request = request;
	w->status = status;
	w->body = body;
	w->until_ms = now() + in_ms;
	g_ptr_array_add(waits, w);
}

/* The store. */

static int64_t number_of(struct web_request *request, const char *key,
			 int64_t fallback)
{
	const char *text = web_query(request, key);

	return text ? strtoll(text, NULL, 10) : fallback;
}

static void handle_append(struct web_request *request)
{
	struct log_append append = {
		.topic = web_query(request, "topic"),
		.part = (int32_t)number_of(request, "part", 0),
		.producer = web_query(request, "producer"),
		.epoch = number_of(request, "epoch", 0),
		.sequence = number_of(request, "seq", 0),
		.at = number_of(request, "at", -1),
		.bytes = request->body,
		.len = request->body_len,
	};
	struct stream_append_result result = log_model_append(model, &append);
	struct json_object *body =
		object("end", json_object_new_int64(result.end));
	int status = 409;

	if (result.outcome == STREAM_OK) {
		status = 200;
		json_object_object_add(body, "offset",
				       json_object_new_int64(result.offset));
	} else if (result.outcome == STREAM_INVALID) {
		status = 400;
	} else if (result.outcome == STREAM_END_MISMATCH) {
		status = 412;
	} else {
		json_object_object_add(
			body, "reason",
			json_object_new_string(result.outcome == STREAM_FENCED
						       ? "fenced"
						       : "seq"));
	}
	answer(request, status, body);
}

static void put_number(GByteArray *out, uint64_t value, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 byte = (guint8)(value >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void answer_read(const struct waiting *w)
{
	const struct log_topic *topic = w->topic;
	GByteArray *out = g_byte_array_new();

	put_number(out, topic->records->len, 8);
	put_number(out, (uint64_t)topic->first, 8);
	for (guint i = (guint)w->from; i < topic->records->len; i++) {
		const struct log_record *r =
			&g_array_index(topic->records, struct log_record, i);
		size_t key_len = strlen(r->key);

		if (i > (guint)w->from &&
		    out->len + key_len + r->len + 5 > (size_t)w->max_bytes)
			break;
		put_number(out, 1 + key_len + r->len, 4);
		put_number(out, key_len, 1);
		g_byte_array_append(out, (const guint8 *)r->key,
				    (guint)key_len);
		if (r->len)
			g_byte_array_append(out, (const guint8 *)r->value,
					    (guint)r->len);
	}
	web_respond(w->request, 200, NULL, out->data, out->len);
	g_byte_array_free(out, TRUE);
}

static struct log_topic *part_of(struct web_request *request)
{
	return log_model_part(model, web_query(request, "topic"),
			      (int32_t)number_of(request, "part", 0));
}

static void handle_read(struct web_request *request)
{
	struct waiting w = {
		.request = request,
		.topic = part_of(request),
		.from = number_of(request, "from", 0),
		.max_bytes = number_of(request, "maxKb", 1024) * 1024,
		.until_ms = now() + number_of(request, "waitMs", 0),
	};

	if (w.from < w.topic->first)
		answer(request, 410,
		       object("first", json_object_new_int64(w.topic->first)));
	else if (w.from < (int64_t)w.topic->records->len || w.until_ms <= now())
		answer_read(&w);
	else
		g_ptr_array_add(waits, g_memdup2(&w, sizeof(w)));
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct log_record *const *l = a, *const *r = b;

	return strcmp((*l)->key, (*r)->key);
}

static void handle_newest(struct web_request *request)
{
	struct log_topic *topic = part_of(request);
	const char *after = web_query(request, "dependsOn");
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *found = g_ptr_array_new();
	struct json_object *items = json_object_new_array();
	struct json_object *body = object("items", items);
	GHashTableIter iter;
	void *value;
	guint i;

	for (i = 0; i < topic->records->len; i++) {
		struct log_record *r =
			&g_array_index(topic->records, struct log_record, i);

		g_hash_table_replace(newest, r->key, r);
	}
	g_hash_table_iter_init(&iter, newest);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct log_record *r = value;

		if (r->value && (!after || strcmp(r->key, after) > 0))
			g_ptr_array_add(found, r);
	}
	g_ptr_array_sort(found, compare_keys);
	for (i = 0; i < found->len && i < PAGE; i++) {
		const struct log_record *r = found->pdata[i];
		struct json_object *item =
			object("key", json_object_new_string(r->key));
		char *text = g_base64_encode((const guchar *)r->value, r->len);

		json_object_object_add(item, "value",
				       json_object_new_string(text));
		json_object_object_add(
			item, "offset",
			json_object_new_int64(
				r - (struct log_record *)topic->records->data));
		json_object_array_add(items, item);
		g_free(text);
	}
	json_object_object_add(body, "more",
			       json_object_new_boolean(found->len > PAGE));
	json_object_object_add(body, "end",
			       json_object_new_int64(topic->records->len));
	g_ptr_array_free(found, TRUE);
	g_hash_table_destroy(newest);
	answer(request, 200, body);
}

static void handle_join(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	struct json_object *rows = json_object_new_array();
	struct json_object *body = object("parts", rows);
	int32_t parts[LOG_MODEL_PARTS];
	uint32_t n =
		log_model_join(model, json_text(params, "member"),
			       json_int(params, "ttlMs", 0),
			       json_int(params, "generation", 0), now(), parts);

	json_object_object_add(body, "generation",
			       json_object_new_int64(model->generation));
	for (uint32_t i = 0; i < n; i++) {
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string("pools"));
		json_object_array_add(row, json_object_new_int(parts[i]));
		json_object_array_add(row, json_object_new_int(0));
		json_object_array_add(rows, row);
	}
	json_object_put(params);
	answer(request, 200, body);
}

/* Workers. */

static int64_t clock_of(const struct worker *w)
{
	return now() - w->born_ms;
}

static void publish(struct worker *w)
{
	char *value = g_strdup_printf(
		"{\"service\":\"tallies\",\"addr\":\"127.0.0.1:%d\","
		"\"zone\":\"suva\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"born\":%lld,\"machine\":\"m-%d\","
		"\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
		"\"labels\":[\"%s\",\"%s\"],\"coldLeftMs\":0,\"seq\":%lld}",
		w->port, (long long)w->born_wall_ms, w->number, w->cpu, w->mem,
		w->kind, w->rack, (long long)(clock_of(w) / BEAT_MS + 1));

	log_model_put(model, "keyed.servers", w->id, w->up ? value : NULL,
		      w->up ? strlen(value) : 0);
	g_free(value);
	w->beat_ms = now();
}

static void start_worker(struct worker *w)
{
	w->up = true;
	w->born_ms = now();
	w->born_wall_ms = clk_wall_ms(clk);
	w->fence = w->lease_ms = w->last_end = w->lapsed_end = 0;
	g_array_set_size(w->runs, 0);
	g_array_set_size(w->ends, 0);
	g_hash_table_remove_all(w->ended);
	g_hash_table_remove_all(w->told);
	publish(w);
	note("UP worker=%s kind=%s rack=%s", w->id, w->kind, w->rack);
}

static struct run *run_at(const struct worker *w, guint i)
{
	return &g_array_index(w->runs, struct run, i);
}

static void end_run(struct worker *w, guint i, const char *how)
{
	struct run *run = run_at(w, i);
	struct end end = { .number = ++w->last_end,
			   .run = run->run,
			   .how = how };

	g_strlcpy(end.task, run->task, sizeof(end.task));
	g_strlcpy(end.saved, run->saved, sizeof(end.saved));
	note("END worker=%s task=%s run=%d how=%s checkpoint=%s", w->id,
	     run->task, run->run, how, run->saved[0] ? run->saved : "-");
	g_hash_table_insert(w->ended, g_strdup(run->task),
			    GINT_TO_POINTER(run->run));
	if (!strcmp(how, "done"))
		g_hash_table_insert(done_at, g_strdup(run->task),
				    g_strdup_printf("%s:%lld", w->id,
						    (long long)end.number));
	g_array_append_val(w->ends, end);
	g_array_remove_index(w->runs, i);
}

static int64_t word(const char *text, const char *key, int64_t fallback)
{
	const char *at = strstr(text, key);

	return at ? strtoll(at + strlen(key), NULL, 10) : fallback;
}

static void refuse(struct web_request *request, const struct worker *w,
		   const char *reason)
{
	struct json_object *body =
		object("clockMs", json_object_new_int64(clock_of(w)));

	json_object_object_add(body, "reason", json_object_new_string(reason));
	answer(request, 409, body);
}

static void extend(struct worker *w, int64_t until_ms)
{
	until_ms = MIN(until_ms, clock_of(w) + HOLD_MAX_MS);
	w->lease_ms = MAX(w->lease_ms, until_ms);
}

static void set_saved(struct run *run)
{
	int64_t done_ms = run->work_ms - run->left_ms;

	done_ms -= done_ms % SAVE_MS;
	if (run->saves && done_ms > 0)
		g_snprintf(run->saved, sizeof(run->saved), "%08llx%.8s",
			   (long long)done_ms, run->task + 4);
}

/* Ends that are forgotten, or whose lease lapsed, before they were taken note of. */
static void excuse_ends(struct worker *w)
{
	for (guint i = 0; i < w->ends->len; i++) {
		const struct end *end = &g_array_index(w->ends, struct end, i);
		char *mark = g_strdup_printf("%s:%lld", w->id,
					     (long long)end->number);
		const char *known = g_hash_table_lookup(done_at, end->task);

		if (known && !strcmp(known, mark))
			g_hash_table_remove(done_at, end->task);
		g_free(mark);
	}
}

static void check_start(struct worker *w, const struct run *run,
			const char *spec)
{
	int cpu = 0;
	const char *need = strstr(spec, "need=");

	if (g_hash_table_lookup(done_at, run->task))
		note("BROKEN TWICE start after done worker=%s task=%s run=%d "
		     "done=%s",
		     w->id, run->task, run->run,
		     (char *)g_hash_table_lookup(done_at, run->task));
	for (int i = 0; i < count; i++)
		for (guint k = 0; workers[i].up && k < workers[i].runs->len;
		     k++)
			if (!strcmp(run_at(&workers[i], k)->task, run->task))
				note("BROKEN TWICE two runs worker=%s task=%s "
				     "run=%d beside=%s run=%d",
				     w->id, run->task, run->run, workers[i].id,
				     run_at(&workers[i], k)->run);
	if (need && need[5] != w->kind[0])
		note("BROKEN ROUTE label worker=%s task=%s run=%d kind=%s",
		     w->id, run->task, run->run, w->kind);
	for (guint k = 0; k < w->runs->len; k++)
		cpu += run_at(w, k)->cpu;
	if (cpu + run->cpu > w->cpu)
		note("BROKEN LIMIT room worker=%s task=%s cpu=%d of=%d", w->id,
		     run->task, cpu + run->cpu, w->cpu);
}

static const char *start_run(struct worker *w, struct json_object *params)
{
	const char *spec = json_text(params, "spec");
	const char *task = json_text(params, "task");
	const char *from = json_text(params, "checkpoint");
	int number = (int)json_int(params, "run", 0);
	struct run run = { .run = number, .begun_ms = now() };
	int64_t done_ms = 0;

	extend(w, json_int(params, "untilMs", 0));
	for (guint i = 0; i < w->runs->len; i++)
		if (!strcmp(run_at(w, i)->task, task))
			return run_at(w, i)->run == number &&
					       !run_at(w, i)->stop_ms
				       ? NULL
				       : "old";
	if (number <= GPOINTER_TO_INT(g_hash_table_lookup(w->ended, task)))
		return "old";
	if (json_int(params, "untilMs", 0) <= clock_of(w))
		return "late";
	g_strlcpy(run.task, task, sizeof(run.task));
	g_strlcpy(run.saved, from, sizeof(run.saved));
	g_strlcpy(run.began_from, from, sizeof(run.began_from));
	if (*from) {
		char digits[9] = "";

		memcpy(digits, from, MIN(strlen(from), 8));
		done_ms = strtoll(digits, NULL, 16);
	}
	run.work_ms = word(spec, "work=", 1000);
	run.left_ms = MAX(run.work_ms - done_ms, 10);
	run.lasts = strstr(spec, "last") != NULL;
	run.saves = strstr(spec, "save") != NULL;
	run.gang = (int)word(spec, "gang=", 0);
	run.cpu = (int)word(spec, "cpu=", 0);
	check_start(w, &run, spec);
	run.waits = run.gang > 0;
	run.alone_ms = now() + GANG_MS;
	g_array_append_val(w->runs, run);
	note("START worker=%s kind=%s task=%s run=%d checkpoint=%s", w->id,
	     w->kind, task, number, *from ? from : "-");
	return NULL;
}

static void stop_run(struct worker *w, const char *task, int number)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct run *run = run_at(w, i);

		if (strcmp(run->task, task) || run->run > number)
			continue;
		if (!run->stop_ms) {
			run->stop_ms = now() + STOP_MS;
			note("STOP worker=%s task=%s run=%d", w->id, task,
			     run->run);
		}
		return;
	}
	if (number > GPOINTER_TO_INT(g_hash_table_lookup(w->ended, task)))
		g_hash_table_insert(w->ended, g_strdup(task),
				    GINT_TO_POINTER(number));
}

static int percent_of(const struct run *run)
{
	if (run->lasts)
		return now() - run->begun_ms >= START_MS ? 100 : 0;
	return (int)(100 * (run->work_ms - run->left_ms) / run->work_ms);
}

static void answer_lists(struct web_request *request, struct worker *w)
{
	struct json_object *body =
		object("clockMs", json_object_new_int64(clock_of(w)));
	struct json_object *runs = json_object_new_array();
	struct json_object *ends = json_object_new_array();

	for (guint i = 0; i < w->runs->len; i++) {
		struct run *run = run_at(w, i);
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string(run->task));
		json_object_array_add(row, json_object_new_int(run->run));
		json_object_array_add(row, json_object_new_string(run->saved));
		json_object_array_add(row,
				      json_object_new_int(percent_of(run)));
		json_object_array_add(row, json_object_new_int(0));
		json_object_array_add(runs, row);
		g_hash_table_insert(w->told, g_strdup(run->task),
				    g_strdup(run->saved));
	}
	for (guint i = 0; i < w->ends->len && i < LISTED; i++) {
		const struct end *end = &g_array_index(w->ends, struct end, i);
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_int64(end->number));
		json_object_array_add(row, json_object_new_string(end->task));
		json_object_array_add(row, json_object_new_int(end->run));
		json_object_array_add(row, json_object_new_string(end->how));
		json_object_array_add(row, json_object_new_string(end->saved));
		json_object_array_add(ends, row);
	}
	json_object_object_add(body, "born",
			       json_object_new_int64(w->born_wall_ms));
	json_object_object_add(body, "running", runs);
	json_object_object_add(body, "finished", ends);
	answer(request, 200, body);
}

static void hold(struct web_request *request, struct worker *w,
		 struct json_object *params)
{
	int64_t cursor = json_int(params, "ackCursor", 0);
	int64_t wait_ms = MIN(json_int(params, "waitMs", 0), 2000);

	while (w->ends->len &&
	       g_array_index(w->ends, struct end, 0).number <= cursor)
		g_array_remove_index(w->ends, 0);
	if (json_int(params, "untilMs", 0))
		extend(w, json_int(params, "untilMs", 0));
	if (w->ends->len || !wait_ms) {
		answer_lists(request, w);
	} else {
		struct waiting *wait = g_new0(struct waiting, 1);

		wait->request = request;
		wait->worker = w;
		wait->until_ms = now() + wait_ms;
		g_ptr_array_add(waits, wait);
	}
}

static void handle_worker(void *arg, struct web_request *request)
{
	struct worker *w = arg;
	struct json_object *params;
	const char *expected =
		web_header(request, "X-Chestnutplank-Expect-Instance");
	const char *reason;

	if (!w->up) {
		answer_later(request, 503, object(NULL, NULL), DEAD_MS);
		return;
	}
	params = json_parse(request->body, request->body_len);
	if (expected && strcmp(expected, w->id)) {
		answer(request, 421, object(NULL, NULL));
	} else if (json_int(params, "fence", 0) < w->fence) {
		refuse(request, w, "fence");
	} else {
		w->fence = json_int(params, "fence", 0);
		if (!strcmp(request->path, "/hold")) {
			hold(request, w, params);
		} else if (!strcmp(request->path, "/run-start")) {
			reason = start_run(w, params);
			if (reason)
				refuse(request, w, reason);
			else
				answer(request, 200,
				       object("clockMs", json_object_new_int64(
								 clock_of(w))));
		} else if (!strcmp(request->path, "/run-stop")) {
			stop_run(w, json_text(params, "task"),
				 (int)json_int(params, "run", 0));
			answer(request, 200,
			       object("clockMs",
				      json_object_new_int64(clock_of(w))));
		} else {
			answer(request, 404, object(NULL, NULL));
		}
	}
	json_object_put(params);
}

/* Members of a run of a gang differ in the index only. */
static bool is_beside(const struct run *l, const struct run *r)
{
	size_t len = (size_t)(strrchr(l->task, '.') - l->task) + 1;

	return l->run == r->run && r->gang && !strncmp(l->task, r->task, len);
}

/* Counts the members that are there; those of other checkpoints apart. */
static int members(const struct run *run, int *others)
{
	int n = 0;

	*others = 0;
	for (int i = 0; i < count; i++)
		for (guint k = 0; workers[i].up && k < workers[i].runs->len;
		     k++) {
			struct run *at = run_at(&workers[i], k);

			if (!is_beside(run, at) || at->stop_ms)
				continue;
			if (strcmp(at->began_from, run->began_from))
				(*others)++;
			else
				n++;
		}
	return n;
}

static void set_gang_to_work(const struct run *run)
{
	for (int i = 0; i < count; i++)
		for (guint k = 0; workers[i].up && k < workers[i].runs->len;
		     k++)
			if (is_beside(run, run_at(&workers[i], k)))
				run_at(&workers[i], k)->waits = false;
}

static void end_gang(const struct run *run, const char *how)
{
	struct run copy = *run;

	for (int i = 0; i < count; i++)
		for (guint k = workers[i].up ? workers[i].runs->len : 0; k > 0;
		     k--)
			if (is_beside(&copy, run_at(&workers[i], k - 1)))
				end_run(&workers[i], k - 1, how);
}

static bool step_run(struct worker *w, guint i)
{
	struct run *run = run_at(w, i);
	int others;

	if (run->stop_ms) {
		if (now() < run->stop_ms)
			return false;
		end_run(w, i, "stopped");
		return true;
	}
	if (run->gang) {
		bool complete = members(run, &others) == run->gang;

		if (run->waits && complete) {
			set_gang_to_work(run);
		} else if (run->waits) {
			if (now() < run->alone_ms)
				return false;
			end_run(w, i, "alone");
			return true;
		} else if (!complete) {
			end_run(w, i, "broken");
			return true;
		}
	}
	if (run->lasts)
		return false;
	run->left_ms -= TICK_MS;
	set_saved(run);
	if (run->left_ms > 0)
		return false;
	if (run->gang)
		end_gang(run, "done");
	else
		end_run(w, i, "done");
	return true;
}

static void step_worker(struct worker *w)
{
	if (!w->up)
		return;
	if (now() - w->beat_ms >= BEAT_MS)
		publish(w);
	if (clock_of(w) >= w->lease_ms) {
		excuse_ends(w);
		while (w->runs->len)
			end_run(w, 0, "lapsed");
		return;
	}
	for (guint i = 0; i < w->runs->len; i++)
		if (step_run(w, i))
			i = (guint)-1; /* the list has changed */
}

/* Others. */

static void list_machines(struct web_request *request)
{
	struct json_object *rows = json_object_new_array();

	for (int i = 0; i < count; i++) {
		struct worker *w = &workers[i];
		char name[16];
		struct json_object *row, *labels = json_object_new_array();
		struct json_object *capacity =
			object("cpu", json_object_new_int(w->cpu));

		json_object_object_add(capacity, "memMb",
				       json_object_new_int(w->mem));
		json_object_array_add(labels, json_object_new_string(w->kind));
		json_object_array_add(labels, json_object_new_string(w->rack));
		g_snprintf(name, sizeof(name), "m-%d", i);
		row = object("machine", json_object_new_string(name));
		json_object_object_add(row, "pool",
				       json_object_new_string("tallies"));
		json_object_object_add(row, "zone",
				       json_object_new_string("suva"));
		json_object_object_add(
			row, "state",
			json_object_new_string(w->up		  ? "up"
					       : w->upkeep_end_ms ? "upkeep"
								  : "down"));
		json_object_object_add(row, "labels", labels);
		json_object_object_add(row, "capacity", capacity);
		if (w->up)
			json_object_object_add(row, "id",
					       json_object_new_string(w->id));
		json_object_array_add(rows, row);
	}
	answer(request, 200, object("machines", rows));
}

static bool is_of_wave(const struct worker *w)
{
	char name[16];

	g_snprintf(name, sizeof(name), "m-%d", w->number);
	for (int i = 0; i < wave.count; i++)
		if (!strcmp(wave.machines[i], name))
			return true;
	return false;
}

/* Carries out an upkeep, or returns why not. */
static const char *begin_upkeep(struct worker *w, int64_t number, int64_t fence)
{
	int down = 0;

	if (fence < w->upkeep_fence)
		return "fence";
	w->upkeep_fence = fence;
	if (number != wave.number || !is_of_wave(w))
		return "wave";
	if (w->upkeep_done)
		return NULL;
	if (!w->up)
		return "busy";
	for (int i = 0; i < count; i++)
		down += workers[i].upkeep_end_ms != 0 &&
			is_of_wave(&workers[i]);
	note("UPKEEP machine=m-%d wave=%lld down_before=%d max=%d runs=%u",
	     w->number, (long long)number, down, wave.max_count, w->runs->len);
	if (down >= wave.max_count)
		note("BROKEN LIMIT upkeep machine=m-%d down=%d max=%d",
		     w->number, down, wave.max_count);
	excuse_ends(w);
	g_array_set_size(w->runs, 0);
	w->up = false;
	publish(w);
	w->upkeep_done = true;
	w->upkeep_end_ms = now() + UPKEEP_MS;
	return NULL;
}

static void end_upkeep(struct worker *w)
{
	if (!w->upkeep_end_ms || now() < w->upkeep_end_ms)
		return;
	w->upkeep_end_ms = 0;
	g_snprintf(w->id, sizeof(w->id), "i-%d-%d", w->number, ++w->life);
	note("UPKEEP-END machine=m-%d", w->number);
	start_worker(w);
}

static void handle_upkeep(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	const char *machine = json_text(params, "machine");
	const char *token =
		web_header(request, "X-Chestnutplank-Fencing-Token");
	int64_t fence = token ? strtoll(token, NULL, 10) : 0;
	int number = strlen(machine) > 2 ? atoi(machine + 2) : -1;
	const char *reason;

	if (number < 0 || number >= count) {
		answer(request, 400, object(NULL, NULL));
	} else if (late_upkeeps > 0) {
		struct waiting *w = g_new0(struct waiting, 1);

		late_upkeeps--;
		note("UPKEEP-UNANSWERED machine=%s late_ms=%lld", machine,
		     (long long)late_ms);
		w->upkeep = &workers[number];
		w->fence = fence;
		w->from = json_int(params, "wave", 0);
		w->until_ms = now() + late_ms;
		g_ptr_array_add(waits, w);
		answer_later(request, 503, object(NULL, NULL), 13000);
	} else {
		reason = begin_upkeep(&workers[number],
				      json_int(params, "wave", 0), fence);
		if (reason)
			answer(request, 409,
			       object("reason",
				      json_object_new_string(reason)));
		else
			answer(request, 200, object(NULL, NULL));
	}
	json_object_put(params);
}

static void set_wave(struct json_object *params)
{
	const char *text =
		json_object_to_json_string_ext(params, JSON_C_TO_STRING_PLAIN);
	struct json_object *list = json_get(params, "machines");
	char *key;

	wave.number = json_int(params, "wave", 0);
	wave.max_count = (int)json_int(params, "maxCount", 1);
	for (size_t i = 0; i < json_len(list) && i < 16; i++)
		wave.machines[wave.count++] = g_strdup(json_object_get_string(
			json_object_array_get_idx(list, i)));
	key = g_strdup_printf("wave/%lld", (long long)wave.number);
	log_model_put(model, "keyed.op", key, text, strlen(text));
	g_free(key);
	note("WAVE %s", text);
}

static void crash(struct worker *w)
{
	note("CRASH worker=%s runs=%u", w->id, w->runs->len);
	for (guint i = 0; i < w->runs->len; i++)
		note("DEAD worker=%s task=%s run=%d reported=%s", w->id,
		     run_at(w, i)->task, run_at(w, i)->run,
		     (char *)g_hash_table_lookup(w->told, run_at(w, i)->task));
	excuse_ends(w);
	w->up = false;
	w->beat_ms = now();
	g_array_set_size(w->runs, 0);
}

static const char *last_told(const char *task)
{
	const char *text = NULL;

	for (int i = 0; i < count; i++)
		if (workers[i].up && g_hash_table_lookup(workers[i].told, task))
			text = g_hash_table_lookup(workers[i].told, task);
	return text;
}

static void crash_rack(void)
{
	const char *left = last_told(doomed_tasks[0]);
	const char *right = last_told(doomed_tasks[1]);

	if (!doomed_rack[0] || !left || !right || !*left || !*right ||
	    !strcmp(left, right)) {
		doomed_ms = 0;
		return;
	}
	/* Both answers have arrived by then. */
	if (!doomed_ms)
		doomed_ms = now();
	if (now() - doomed_ms < ARRIVED_MS)
		return;
	for (int i = 0; i < count; i++)
		if (workers[i].up && !strcmp(workers[i].rack, doomed_rack))
			crash(&workers[i]);
	doomed_rack[0] = 0;
}

static void control(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	int64_t dead = json_int(params, "crash", -1);
	int64_t again = json_int(params, "restart", -1);
	const char *task = json_text(params, "end");

	if (dead >= 0 && dead < count)
		crash(&workers[dead]);
	if (again >= 0 && again < count) {
		json_copy(params, "kind", workers[again].kind,
			  sizeof(workers[again].kind));
		if (!json_get(params, "kind"))
			g_strlcpy(workers[again].kind, "a",
				  sizeof(workers[again].kind));
		start_worker(&workers[again]);
	}
	if (json_get(params, "rack")) {
		struct json_object *tasks = json_get(params, "tasks");

		for (size_t i = 0; i < 2 && i < json_len(tasks); i++)
			g_strlcpy(doomed_tasks[i],
				  json_object_get_string(
					  json_object_array_get_idx(tasks, i)),
				  sizeof(doomed_tasks[i]));
		json_copy(params, "rack", doomed_rack, sizeof(doomed_rack));
	}
	if (json_get(params, "jobs_down"))
		jobs_down = json_flag(params, "jobs_down");
	late_upkeeps = json_int(params, "late", late_upkeeps);
	late_ms = json_int(params, "late_ms", late_ms);
	if (json_get(params, "wave"))
		set_wave(json_get(params, "wave"));
	for (int i = 0; *task && i < count; i++)
		for (guint k = 0; k < workers[i].runs->len; k++)
			if (!strcmp(run_at(&workers[i], k)->task, task)) {
				end_run(&workers[i], k,
					strcmp(json_text(params, "how"),
					       "failed")
						? "done"
						: "failed");
				break;
			}
	json_object_put(params);
	answer(request, 200, object(NULL, NULL));
}

static void handle(void *arg, struct web_request *request)
{
	(void)arg;
	if (!strcmp(request->path, "/control"))
		control(request);
	else if (jobs_down && g_str_has_prefix(request->path, "/log-") &&
		 !g_strcmp0(web_query(request, "topic"), "keyed.jobs"))
		answer(request, 503, object(NULL, NULL));
	else if (!strcmp(request->path, "/log-append"))
		handle_append(request);
	else if (!strcmp(request->path, "/log-read"))
		handle_read(request);
	else if (!strcmp(request->path, "/log-newest"))
		handle_newest(request);
	else if (!strcmp(request->path, "/log-join"))
		handle_join(request);
	else if (!strcmp(request->path, "/machines"))
		list_machines(request);
	else if (!strcmp(request->path, "/machine-upkeep"))
		handle_upkeep(request);
	else if (!strcmp(request->path, "/log-leave")) {
		struct json_object *params =
			json_parse(request->body, request->body_len);

		log_model_leave(model, json_text(params, "member"));
		json_object_put(params);
		answer(request, 200, object(NULL, NULL));
	} else if (!strcmp(request->path, "/machine-move")) {
		answer(request, 409,
		       object("reason", json_object_new_string("busy")));
	} else {
		answer(request, 404, object(NULL, NULL));
	}
}

static bool answer_waiting(struct waiting *w)
{
	bool due = now() >= w->until_ms;

	if (w->upkeep) {
		if (due)
			begin_upkeep(w->upkeep, w->from, w->fence);
		return due;
	}
	if (w->body) {
		if (due)
			answer(w->request, w->status, w->body);
		return due;
	}
	if (w->topic) {
		due |= w->from < (int64_t)w->topic->records->len;
		if (due)
			answer_read(w);
		return due;
	}
	if (!w->worker->up) {
		answer_later(w->request, 503, object(NULL, NULL), DEAD_MS);
		return true;
	}
	due |= w->worker->ends->len > 0;
	if (due)
		answer_lists(w->request, w->worker);
	return due;
}

static void tick(void *arg)
{
	(void)arg;
	log_model_rebalance(model, now());
	crash_rack();
	for (int i = 0; i < count; i++) {
		end_upkeep(&workers[i]);
		step_worker(&workers[i]);
	}
	for (guint i = waits->len; i > 0; i--) {
		struct waiting *w = waits->pdata[i - 1];

		if (!answer_waiting(w))
			continue;
		g_ptr_array_remove(waits, w);
		g_free(w);
	}
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	(void)kind;
}

static void stop(void *arg)
{
	(void)arg;
	evloop_stop(evloop);
}

static bool listen_at(int port, void (*fn)(void *, struct web_request *),
		      void *arg)
{
	struct err err = { .kind = ERR_OK };
	struct web_config config = {
		.address = "127.0.0.1",
		.port = (uint16_t)port,
		.max_body_bytes = 4 * 1024 * 1024,
		.on_request = fn,
		.on_refused = on_refused,
		.arg = arg,
	};

	return web_create(evloop, &config, &err) != NULL;
}

static void add_workers(const char *text, int port)
{
	gchar **lines = g_strsplit(text, "\n", 0);

	for (int i = 0; lines[i] && count < MAX_WORKERS; i++) {
		struct worker *w = &workers[count];

		if (sscanf(lines[i], "%15s %15s %d %d", w->kind, w->rack,
			   &w->cpu, &w->mem) != 4)
			continue;
		w->number = count;
		w->port = port + count;
		g_snprintf(w->id, sizeof(w->id), "i-%d", count++);
		w->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
		w->ends = g_array_new(FALSE, TRUE, sizeof(struct end));
		w->ended = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
		w->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	}
	g_strfreev(lines);
}

int main(int argc, char **argv)
{
	gchar *config, *text;
	gsize len;
	int port;

	apr_initialize();
	log_init("plat", true);
	if (argc != 5 || !g_file_get_contents(argv[2], &config, &len, NULL) ||
	    !g_file_get_contents(argv[3], &text, NULL, NULL) ||
	    !(record = fopen(argv[4], "a"))) {
		fprintf(stderr,
			"usage: plat PORT CONFIGURATION WORKERS RECORD\n");
		return 2;
	}
	evloop = evloop_create(clk_system());
	clk = evloop_clk(evloop);
	start_ms = now();
	model = log_model_create();
	waits = g_ptr_array_new();
	done_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	port = atoi(argv[1]);
	log_model_put(model, "keyed.op", "config", config, len);
	if (!listen_at(port, handle, NULL))
		return 1;
	add_workers(text, port + 10);
	for (int i = 0; i < count; i++) {
		if (!listen_at(workers[i].port, handle_worker, &workers[i]))
			return 1;
		start_worker(&workers[i]);
	}
	evloop_on_stop_signal(evloop, stop, NULL);
	evloop_add_timer(evloop, TICK_MS, tick, NULL);
	evloop_run(evloop);
	return 0;
}
