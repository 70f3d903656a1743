#include <string.h>

#include <json-c/json.h>

#include "crash.h"
#include "job_int.h"
#include "jcursor.h"

enum { JOB_NUMBER_BYTES = 32 }; /* text of a number */

/*
 * A submission is a line of JSON with queue, pool, time, the organisation if there
 * is one and whether the job is beyond its rate, and the queue's terms [priority, attempts, slack_ms, stretch], then the
 * body as the caller sent it. A progress record is {"state", "parts"};
 * a part is [occurrence, step, done, tasks] with one hexadecimal digit for each
 * four tasks in done, and a row [index, placed, run, failed, worker, checkpoint]
 * for each other task that has been started. "boots" has, for each task that is
 * placed, in the order of the rows, the tag of the start of its worker, so that
 * the next owner sees a crash after which the worker is back. "settled", if there
 * are any, has one hexadecimal digit for each four of these, with a bit for each
 * that has start_settled. "crashes", if there
 * are any, has a row [occurrence, step, index, crashes, run, boot_ms, lapses] for
 * each task under which workers have crashed; run is the newest one under which
 * that was counted, and boot_ms the start of the worker that the task is placed
 * on, or its tag. "from", if it is not 0, is the number of the first occurrence that
 * is not done; nothing else says so of those before. A job whose progress does not fit one record has {"state",
 * "range"}, with the number of tasks of a range, and its tasks in records of
 * their own, see job_range.c.
 */

/* All nodes that read the jobs read them, so that they are kept short. */
static void put_terms(struct json_object *head, const struct cfg_terms *terms)
{
	struct json_object *row = json_object_new_array_ext(4);
	char stretch[JOB_NUMBER_BYTES];

	json_object_array_add(row, json_object_new_int(terms->priority));
	json_object_array_add(row, json_object_new_int(terms->attempts));
	json_object_array_add(row, json_object_new_int64(terms->slack_ms));
	g_ascii_formatd(stretch, sizeof(stretch), "%.9g", terms->stretch);
	json_object_array_add(
		row, json_object_new_double_s(terms->stretch, stretch));
	json_object_object_add(head, "terms", row);
}

char *job_submission_record(const struct job_origin *origin, const char *body,
			    size_t body_len, size_t *len)
{
	const struct cfg_queue *queue = origin->queue;
	struct json_object *head = json_object_new_object();
	const char *text;
	char *record;
	size_t head_len;

	jcursor_put_string(head, "queue", queue->name);
	jcursor_put_string(head, "pool", queue->pool);
	jcursor_put_int(head, "at", origin->wall_ms);
	if (*origin->tenant)
		jcursor_put_string(head, "tenant", origin->tenant);
	if (origin->beyond_rate)
		jcursor_put_int(head, "beyond", 1);
	if (queue->terms.attempts)
		put_terms(head, &queue->terms);
	text = json_object_to_json_string_ext(head, JSON_C_TO_STRING_PLAIN);
	head_len = strlen(text);
	*len = head_len + 1 + body_len;
	record = g_malloc(*len);
	memcpy(record, text, head_len);
	record[head_len] = '\n';
	memcpy(record + head_len + 1, body, body_len);
	json_object_put(head);
	return record;
}

/* Reads a name that an operator has chosen, of any characters. */
static void read_name(const struct jcursor *root, const char *key, char *out,
		      size_t size)
{
	struct jcursor item = jcursor_member(root, key);

	jcursor_string(&item, out, size, NULL);
	if (item.err->kind == ERR_OK && !g_utf8_validate(out, -1, NULL))
		jcursor_refuse(&item, "a name in UTF-8");
}

/* Jobs of public queues, and records of older builds, have none. */
static void read_tenant(struct job *job, const struct jcursor *root)
{
	struct jcursor beyond = jcursor_member(root, "beyond");
	char tenant[LIMIT_NAME_BYTES];

	if (!jcursor_member(root, "tenant").value)
		return;
	read_name(root, "tenant", tenant, sizeof(tenant));
	job->beyond_rate = jcursor_int(&beyond, 0, 1, 0) != 0;
	if (root->err->kind == ERR_OK)
		job->tenant = g_intern_string(tenant);
}

/* Records of older builds have no terms. */
static void read_terms(struct cfg_terms *terms, const struct jcursor *root)
{
	struct jcursor row = jcursor_member(root, "terms");
	struct jcursor item;

	if (!row.value)
		return;
	if (jcursor_check_array(&row, 4) < 4) {
		jcursor_refuse(&row, "a list of four");
		return;
	}
	item = jcursor_item(&row, 0);
	terms->priority =
		(int32_t)jcursor_int(&item, INT32_MIN, INT32_MAX, INT64_MIN);
	item = jcursor_item(&row, 1);
	terms->attempts = (int32_t)jcursor_int(&item, 1, INT32_MAX, -1);
	item = jcursor_item(&row, 2);
	terms->slack_ms = jcursor_int(&item, 0, LIMIT_NUMBER_MAX, -1);
	item = jcursor_item(&row, 3);
	terms->stretch = jcursor_double(&item, 0, CFG_MAX_STRETCH, 1);
}

int job_read_head(struct job *job, const char *head, size_t len,
		  struct err *err)
{
	struct err parse_err = { .kind = ERR_OK };
	struct json_object *value = jcursor_parse(head, len, &parse_err);
	struct jcursor root = jcursor_root(value, &parse_err);
	struct jcursor item;

	if (value) {
		read_name(&root, "queue", job->queue, sizeof(job->queue));
		read_name(&root, "pool", job->pool, sizeof(job->pool));
		item = jcursor_member(&root, "at");
		job->accepted_ms = jcursor_int(&item, 0, LIMIT_NUMBER_MAX, -1);
		read_terms(&job->terms, &root);
		read_tenant(job, &root);
	}
	json_object_put(value);
	return parse_err.kind == ERR_OK
		       ? 0
		       : err_set(err, parse_err.kind, "%s", parse_err.text);
}

static struct json_object *encode_task(uint32_t index,
				       const struct job_task *task)
{
	struct json_object *row = json_object_new_array_ext(6);
	bool placed = task->state == TASK_PLACED;

	json_object_array_add(row, json_object_new_int((int32_t)index));
	json_object_array_add(row, json_object_new_int(placed));
	json_object_array_add(row, json_object_new_int(task->run));
	json_object_array_add(row, json_object_new_int(task->failed));
	json_object_array_add(
		row, json_object_new_string(placed ? task->worker : ""));
	if (task->checkpoint)
		json_object_array_add(row,
				      json_object_new_string(task->checkpoint));
	return row;
}

/* Returns a part of the record; NULL if none of its tasks was started. */
static struct json_object *encode_part(const struct job *job,
				       uint32_t occurrence, uint32_t step)
{
	static const struct job_task closed = { .state = TASK_DONE };
	const struct job_task *tasks = job_task_at(job, occurrence, step, 0);
	uint32_t count = (uint32_t)job->spec.steps[step].count;
	struct json_object *rows = json_object_new_array();
	struct json_object *part;
	GString *done = g_string_new(NULL);
	bool any = false;

	for (uint32_t first = 0; first < count; first += 4) {
		uint32_t digit = 0;

		for (uint32_t i = first; i < count && i < first + 4; i++) {
			const struct job_task *task =
				tasks ? &tasks[i] : &closed;

			if (task->state == TASK_DONE)
				digit |= 1u << (i - first);
			else if (task->run)
				json_object_array_add(rows,
						      encode_task(i, task));
		}
		any |= digit;
		g_string_append_printf(done, "%x", digit);
	}
	if (!any && !json_object_array_length(rows)) {
		json_object_put(rows);
		g_string_free(done, TRUE);
		return NULL;
	}
	part = json_object_new_array_ext(4);
	json_object_array_add(part, json_object_new_int((int32_t)occurrence));
	json_object_array_add(part, json_object_new_int((int32_t)step));
	json_object_array_add(part, json_object_new_string(done->str));
	json_object_array_add(part, rows);
	g_string_free(done, TRUE);
	return part;
}

static void add_crashes(struct json_object *rows, const struct job_pos *pos)
{
	const struct job_task *task = pos->task;
	const int64_t values[] = {
		pos->occurrence, pos->step,	    pos->index,
		task->crashes,	 task->crashed_run, task->worker_boot_ms,
		task->lapses,
	};
	struct json_object *row =
		json_object_new_array_ext(G_N_ELEMENTS(values));

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		json_object_array_add(row, json_object_new_int64(values[i]));
	json_object_array_add(rows, row);
}

/* Adds the crashes under tasks that are not done, unless there are none. */
static void put_crashes(struct json_object *record, const struct job *job)
{
	struct json_object *rows = json_object_new_array();
	struct job_pos pos = { .job = (struct job *)job };

	while (job_next_task(&pos))
		if (crash_is_suspect(pos.task) && pos.task->state != TASK_DONE)
			add_crashes(rows, &pos);
	if (json_object_array_length(rows))
		json_object_object_add(record, "crashes", rows);
	else
		json_object_put(rows);
}

/* Adds the tags of the starts of the placed tasks' workers. */
static void put_boots(struct json_object *record, const struct job *job)
{
	struct json_object *boots;
	struct job_pos pos = { .job = (struct job *)job };

	if (job_ended(job->state))
		return;
	boots = json_object_new_array();
	while (job_next_task(&pos))
		if (pos.task->state == TASK_PLACED)
			json_object_array_add(
				boots, json_object_new_int64(job_boot_tag(
					       pos.task->worker_boot_ms)));
	if (json_object_array_length(boots))
		json_object_object_add(record, "boots", boots);
	else
		json_object_put(boots);
}

/* Adds which placed tasks have start_settled, unless none has. */
static void put_settled(struct json_object *record, const struct job *job)
{
	struct job_pos pos = { .job = (struct job *)job };
	GString *digits = g_string_new(NULL);
	uint32_t count = 0, digit = 0;
	bool any = false;

	while (!job_ended(job->state) && job_next_task(&pos)) {
		if (pos.task->state != TASK_PLACED)
			continue;
		any |= pos.task->start_settled;
		digit |= (uint32_t)pos.task->start_settled << count % 4;
		if (++count % 4)
			continue;
		g_string_append_printf(digits, "%x", digit);
		digit = 0;
	}
	if (count % 4)
		g_string_append_printf(digits, "%x", digit);
	if (any)
		jcursor_put_string(record, "settled", digits->str);
	g_string_free(digits, TRUE);
}

static void put_parts(struct json_object *record, const struct job *job)
{
	struct json_object *parts = json_object_new_array();

	for (uint32_t k = job_first_undone(job); k < job->opened; k++)
		for (uint32_t s = 0; s < job->spec.step_count; s++) {
			/* Of an ended job only the tasks that may still be
			   running matter; of a completed one none is. */
			struct json_object *part =
				job->state == JOB_DONE ? NULL
						       : encode_part(job, k, s);

			if (part)
				json_object_array_add(parts, part);
		}
	json_object_object_add(record, "parts", parts);
}

char *job_progress_record(const struct job *job, size_t *len)
{
	struct json_object *record = json_object_new_object();
	char *text;

	jcursor_put_string(record, "state", job_state_name(job->state));
	if (job_first_undone(job))
		jcursor_put_int(record, "from", job_first_undone(job));
	if (job->in_ranges) {
		jcursor_put_int(record, "range", JOB_RANGE_TASKS);
	} else {
		put_parts(record, job);
		put_boots(record, job);
		put_settled(record, job);
		put_crashes(record, job);
	}
	text = g_strdup(
		json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN));
	*len = strlen(text);
	json_object_put(record);
	return text;
}

static bool state_from_name(const char *name, enum job_state *state)
{
	for (int i = JOB_QUEUED; i <= JOB_CANCELLED; i++)
		if (!strcmp(job_state_name(i), name)) {
			*state = i;
			return true;
		}
	return false;
}

int job_read_state(struct job *job, const char *record, size_t len,
		   struct err *err)
{
	/* The state comes first: other nodes need not parse the rest. */
	static const char prefix[] = "{\"state\":\"";
	char name[16];
	const char *start = record + strlen(prefix);
	const char *end;

	if (len < strlen(prefix) || memcmp(record, prefix, strlen(prefix)))
		return err_set(err, ERR_INVALID,
			       "progress record has no state");
	end = memchr(start, '"', len - strlen(prefix));
	if (!end || (size_t)(end - start) >= sizeof(name))
		return err_set(err, ERR_INVALID,
			       "progress record has no state");
	memcpy(name, start, (size_t)(end - start));
	name[end - start] = '\0';
	if (!state_from_name(name, &job->stored_state))
		return err_set(err, ERR_INVALID, "job state %s is unknown",
			       name);
	job->started = job->stored_state != JOB_QUEUED;
	return 0;
}

static void decode_task(const struct job *job, uint32_t occurrence,
			uint32_t step, struct jcursor *row)
{
	struct jcursor item = jcursor_item(row, 0);
	int64_t count = job->spec.steps[step].count;
	uint32_t index = (uint32_t)jcursor_int(&item, 0, count - 1, -1);
	struct job_task *task = job_task_at(job, occurrence, step, index);
	char text[JOB_CHECKPOINT_BYTES];

	item = jcursor_item(row, 1);
	task->state = jcursor_int(&item, 0, 1, -1) ? TASK_PLACED : TASK_WAITING;
	item = jcursor_item(row, 2);
	task->run = (int32_t)jcursor_int(&item, 0, INT32_MAX, -1);
	item = jcursor_item(row, 3);
	task->failed = (int32_t)jcursor_int(&item, 0, INT32_MAX, -1);
	item = jcursor_item(row, 4);
	if (task->state == TASK_PLACED) {
		jcursor_string(&item, text, sizeof(text), NULL);
		task->worker = g_intern_string(text);
	}
	job_task_inherit(task, false);
	if (jcursor_check_array(row, 6) < 6)
		return;
	item = jcursor_item(row, 5);
	jcursor_string(&item, text, sizeof(text), "");
	if (!job_set_checkpoint(job, task, *text ? text : NULL))
		job_set_checkpoint(job, task, NULL);
}

static void decode_part(struct job *job, struct jcursor *part)
{
	struct jcursor item = jcursor_item(part, 0);
	uint32_t occurrence = (uint32_t)jcursor_int(
		&item, 0, (int64_t)job->occurrences - 1, -1);
	struct jcursor rows = jcursor_item(part, 3);
	char done[JOB_MAX_TASKS / 4 + 2];
	uint32_t step;
	size_t count;

	item = jcursor_item(part, 1);
	step = (uint32_t)jcursor_int(&item, 0,
				     (int64_t)job->spec.step_count - 1, -1);
	item = jcursor_item(part, 2);
	jcursor_string(&item, done, sizeof(done), NULL);
	if (part->err->kind != ERR_OK)
		return;
	job_open_until(job, occurrence + 1);
	if (job_occurrence_is_closed(job, occurrence))
		return;
	for (uint32_t i = 0; i < (uint32_t)job->spec.steps[step].count; i++) {
		struct job_task *task = job_task_at(job, occurrence, step, i);
		int digit = i / 4 < strlen(done)
				    ? g_ascii_xdigit_value(done[i / 4])
				    : 0;

		if (digit > 0 && (digit >> (i % 4) & 1))
			task->state = TASK_DONE;
	}
	count = jcursor_check_array(&rows, JOB_MAX_TASKS);
	for (size_t i = 0; i < count; i++) {
		struct jcursor row = jcursor_item(&rows, i);

		if (jcursor_check_array(&row, 6) < 5 ||
		    part->err->kind != ERR_OK)
			return;
		decode_task(job, occurrence, step, &row);
	}
}

/* Reads the number in a row; 0 if it is not one from 0 to max. */
static int64_t row_number(const struct jcursor *row, size_t index, int64_t max)
{
	struct jcursor item = jcursor_item(row, index);
	int64_t number = jcursor_int(&item, 0, max, -1);

	return row->err->kind == ERR_OK ? number : 0;
}

static void decode_crashes(const struct job *job, const struct jcursor *row)
{
	uint32_t occurrence =
		(uint32_t)row_number(row, 0, (int64_t)job->occurrences - 1);
	uint32_t step =
		(uint32_t)row_number(row, 1, (int64_t)job->spec.step_count - 1);
	uint32_t index = (uint32_t)row_number(
		row, 2, (int64_t)job->spec.steps[step].count - 1);
	int32_t crashes = (int32_t)row_number(row, 3, INT32_MAX);
	int32_t run = (int32_t)row_number(row, 4, INT32_MAX);
	int64_t boot_ms = row_number(row, 5, LIMIT_NUMBER_MAX);
	int32_t lapses = (int32_t)row_number(row, 6, INT32_MAX);
	struct job_task *task;

	if (row->err->kind != ERR_OK)
		return;
	task = job_task_at(job, occurrence, step, index);
	if (!task)
		return;
	task->crashes = crashes;
	task->lapses = lapses;
	task->crashed_run = run;
	task->worker_boot_ms = boot_ms;
}

/* Records of older builds have no boots. */
static void read_boots(struct job *job, struct jcursor *root)
{
	struct jcursor boots = jcursor_member(root, "boots");
	struct job_pos pos = { .job = job };
	size_t count, next = 0;

	if (!boots.value)
		return;
	count = jcursor_check_array(&boots, JOB_MAX_TASKS);
	while (next < count && job_next_task(&pos))
		if (pos.task->state == TASK_PLACED)
			pos.task->worker_boot_ms =
				row_number(&boots, next++, JOB_BOOT_TAGS - 1);
}

/* Records of older builds have none; then earlier owners may have sent orders. */
static void read_settled(struct job *job, struct jcursor *root)
{
	struct jcursor item = jcursor_member(root, "settled");
	struct job_pos pos = { .job = job };
	char digits[JOB_MAX_TASKS / 4 + 2];
	size_t count = 0;

	if (!item.value)
		return;
	jcursor_string(&item, digits, sizeof(digits), NULL);
	while (root->err->kind == ERR_OK && job_next_task(&pos)) {
		int digit;

		if (pos.task->state != TASK_PLACED)
			continue;
		if (count / 4 >= strlen(digits))
			return;
		digit = g_ascii_xdigit_value(digits[count / 4]);
		job_task_inherit(pos.task,
				 digit > 0 && (digit >> count % 4 & 1));
		count++;
	}
}

/* Records of older builds have no crashes. */
static void read_crashes(const struct job *job, struct jcursor *root)
{
	struct jcursor rows = jcursor_member(root, "crashes");
	size_t count;

	if (!rows.value)
		return;
	count = jcursor_check_array(&rows, JOB_MAX_TASKS);
	for (size_t i = 0; i < count && root->err->kind == ERR_OK; i++) {
		struct jcursor row = jcursor_item(&rows, i);

		decode_crashes(job, &row);
	}
}

static void read_parts(struct job *job, struct jcursor *root)
{
	struct jcursor parts = jcursor_member(root, "parts");
	size_t count = jcursor_check_array(&parts, JOB_MAX_TASKS);

	for (size_t i = 0; i < count && root->err->kind == ERR_OK; i++) {
		struct jcursor part = jcursor_item(&parts, i);

		if (jcursor_check_array(&part, 4) == 4)
			decode_part(job, &part);
	}
	if (root->err->kind != ERR_OK)
		return;
	read_boots(job, root);
	read_settled(job, root);
	read_crashes(job, root);
}

/* Records of older builds do not have it. */
static uint32_t read_first_undone(const struct job *job, struct jcursor *root)
{
	struct jcursor from = jcursor_member(root, "from");

	return (uint32_t)jcursor_int(&from, 0, job->occurrences, 0);
}

int job_read_tasks(struct job *job, const char *record, struct err *err)
{
	struct err parse_err = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse_bytes(record, strlen(record), &parse_err);
	struct jcursor root = jcursor_root(value, &parse_err);
	struct jcursor range = jcursor_member(&root, "range");

	if (value)
		job->opened = read_first_undone(job, &root);
	if (value && range.value) {
		jcursor_int(&range, JOB_RANGE_TASKS, JOB_RANGE_TASKS, -1);
		job->in_ranges = true;
	} else if (value) {
		read_parts(job, &root);
	}
	json_object_put(value);
	if (parse_err.kind != ERR_OK)
		return err_set(err, parse_err.kind, "%s", parse_err.text);
	/* Of a completed job no task may still be running. */
	if (!job->in_ranges || job->stored_state == JOB_DONE)
		return 0;
	return job_read_ranges(job, err);
}
