#include <string.h>

#include <json-c/json.h>

#include "crash.h"
#include "jcursor.h"
#include "job_int.h"

/*
 * The record of a range is {"tasks"}, with a row [index, state, run, failed,
 * worker or null, boot, checkpoint or null] for each task that has been started; index counts
 * from the range's first task, and boot is the tag of the start of its worker.
 * Of a task under which workers have crashed, [crashes, run, lapses] follow; run
 * is the newest one under which that was counted. "settled", if it is not 0, has a
 * bit for each placed task that has start_settled.
 */
enum {
	ROW_INDEX,
	ROW_STATE,
	ROW_RUN,
	ROW_FAILED,
	ROW_WORKER,
	ROW_BOOT,
	ROW_CHECKPOINT,
	ROW_CRASHES,
	ROW_CRASHED_RUN,
	ROW_LAPSES,
	ROW_COUNT
};

struct job_range {
	char *record;
	int64_t offset;
	bool deleting; /* its record is being deleted */
};

static void free_range(void *arg)
{
	struct job_range *range = arg;

	g_free(range->record);
	g_free(range);
}

static uint32_t task_count(const struct job *job)
{
	return job->occurrences * job->tasks_per_occurrence;
}

uint32_t job_range_count(const struct job *job)
{
	return (task_count(job) + JOB_RANGE_TASKS - 1) / JOB_RANGE_TASKS;
}

bool job_must_use_ranges(const struct job *job, size_t record_len,
			 size_t max_bytes)
{
	return !job->in_ranges &&
	       (task_count(job) > JOB_WHOLE_TASKS || record_len > max_bytes);
}

void job_use_ranges(struct job *job)
{
	job->in_ranges = true;
	if (job->touched)
		memset(job->touched, true, job_range_count(job));
}

void job_touch(struct job *job, const struct job_task *task)
{
	job->dirty = true;
	job->touched[task->number / JOB_RANGE_TASKS] = true;
}

static void add_number(struct json_object *row, int64_t number)
{
	json_object_array_add(row, json_object_new_int64(number));
}

static void add_text(struct json_object *row, const char *text)
{
	json_object_array_add(row, text ? json_object_new_string(text) : NULL);
}

static struct json_object *encode_row(uint32_t index,
				      const struct job_task *task)
{
	struct json_object *row = json_object_new_array_ext(ROW_COUNT);
	bool placed = task->state == TASK_PLACED;

	add_number(row, index);
	add_number(row, task->state);
	add_number(row, task->run);
	add_number(row, task->failed);
	add_text(row, placed ? task->worker : NULL);
	add_number(row, job_boot_tag(task->worker_boot_ms));
	add_text(row, task->state == TASK_DONE ? NULL : task->checkpoint);
	if (!crash_is_suspect(task) || task->state == TASK_DONE)
		return row;
	add_number(row, task->crashes);
	add_number(row, task->crashed_run);
	add_number(row, task->lapses);
	return row;
}

/* What is stored of a task; NULL: it has not been started, or does not exist. */
static const struct job_task *stored_task(const struct job *job,
					  uint32_t number)
{
	static const struct job_task closed = { .state = TASK_DONE };

	if (number >= task_count(job))
		return NULL;
	if (job_occurrence_is_closed(job, number / job->tasks_per_occurrence))
		return &closed;
	return job_task_numbered(job, number);
}

static char *encode_range(const struct job *job, uint32_t number, bool *empty)
{
	struct json_object *record = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	uint32_t first = number * JOB_RANGE_TASKS;
	int32_t settled = 0;
	char *text;

	for (uint32_t i = 0; i < JOB_RANGE_TASKS; i++) {
		const struct job_task *task = stored_task(job, first + i);

		if (!task)
			continue;
		if (task->run || task->state == TASK_DONE)
			json_object_array_add(rows, encode_row(i, task));
		if (task->state == TASK_PLACED && task->start_settled)
			settled |= 1 << i;
	}
	*empty = !json_object_array_length(rows);
	json_object_object_add(record, "tasks", rows);
	if (settled)
		json_object_object_add(record, "settled",
				       json_object_new_int(settled));
	text = g_strdup(
		json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN));
	json_object_put(record);
	return text;
}

static bool is_stored(const struct job *job, uint32_t number)
{
	return job->ranges &&
	       g_hash_table_contains(job->ranges, GUINT_TO_POINTER(number));
}

char *job_range_record(struct job *job, uint32_t number, size_t *len)
{
	bool empty;
	char *text;

	if (!job->touched || !job->touched[number])
		return NULL;
	job->touched[number] = false;
	text = encode_range(job, number, &empty);
	/* Of a range without a record, no task has been started. */
	if (empty && !is_stored(job, number)) {
		g_free(text);
		return NULL;
	}
	*len = strlen(text);
	return text;
}

void job_range_put(struct job *job, uint32_t number, int64_t offset,
		   const char *record, size_t len)
{
	struct job_range *range;

	if (!job->ranges)
		job->ranges =
			g_hash_table_new_full(NULL, NULL, NULL, free_range);
	range = g_hash_table_lookup(job->ranges, GUINT_TO_POINTER(number));
	if (range && offset <= range->offset)
		return;
	range = g_new0(struct job_range, 1);
	range->record = g_strndup(record, len);
	range->offset = offset;
	g_hash_table_insert(job->ranges, GUINT_TO_POINTER(number), range);
}

void job_range_remove(struct job *job, uint32_t number)
{
	if (job->ranges)
		g_hash_table_remove(job->ranges, GUINT_TO_POINTER(number));
}

GArray *job_ranges_outdated(const struct job *job)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint64_t first =
		(uint64_t)job_first_undone(job) * job->tasks_per_occurrence;
	GHashTableIter iter;
	void *key, *value;

	if (!job->ranges)
		return numbers;
	g_hash_table_iter_init(&iter, job->ranges);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct job_range *range = value;
		uint32_t number = GPOINTER_TO_UINT(key);

		if (range->deleting ||
		    (uint64_t)(number + 1) * JOB_RANGE_TASKS > first)
			continue;
		range->deleting = true;
		g_array_append_val(numbers, number);
	}
	return numbers;
}

void job_ranges_clear(struct job *job)
{
	if (job->ranges)
		g_hash_table_destroy(job->ranges);
	job->ranges = NULL;
}

static int64_t row_number(const struct jcursor *row, size_t index, int64_t max)
{
	struct jcursor item = jcursor_item(row, index);

	return jcursor_int(&item, 0, max, -1);
}

static const char *row_text(const struct jcursor *row, size_t index, char *out,
			    size_t size)
{
	struct jcursor item = jcursor_item(row, index);

	jcursor_string(&item, out, size, "");
	return out;
}

static void decode_row(struct job *job, uint32_t first, int64_t settled,
		       const struct jcursor *row)
{
	uint32_t last = MIN(JOB_RANGE_TASKS, task_count(job) - first) - 1;
	uint32_t index = (uint32_t)row_number(row, ROW_INDEX, last);
	size_t count = jcursor_check_array(row, ROW_COUNT);
	struct job_task *task;
	char text[JOB_CHECKPOINT_BYTES];

	if (row->err->kind != ERR_OK)
		return;
	job_open_until(job, (first + index) / job->tasks_per_occurrence + 1);
	task = job_task_numbered(job, first + index);
	/* Below the first occurrence that is not done. */
	if (!task)
		return;
	task->state = (uint8_t)row_number(row, ROW_STATE, TASK_DONE);
	task->run = (int32_t)row_number(row, ROW_RUN, INT32_MAX);
	task->failed = (int32_t)row_number(row, ROW_FAILED, INT32_MAX);
	row_text(row, ROW_WORKER, text, sizeof(text));
	task->worker = *text ? g_intern_string(text) : NULL;
	task->worker_boot_ms = row_number(row, ROW_BOOT, JOB_BOOT_TAGS - 1);
	job_task_inherit(task, settled >> index & 1);
	row_text(row, ROW_CHECKPOINT, text, sizeof(text));
	if (!job_set_checkpoint(job, task, *text ? text : NULL))
		job_set_checkpoint(job, task, NULL);
	if (count < ROW_COUNT)
		return;
	task->crashes = (int32_t)row_number(row, ROW_CRASHES, INT32_MAX);
	task->crashed_run =
		(int32_t)row_number(row, ROW_CRASHED_RUN, INT32_MAX);
	task->lapses = (int32_t)row_number(row, ROW_LAPSES, INT32_MAX);
}

/* A placed task without a worker could not be asked for. */
static void check_row(const struct job *job, uint32_t first,
		      const struct jcursor *row)
{
	uint32_t index =
		(uint32_t)row_number(row, ROW_INDEX, JOB_RANGE_TASKS - 1);
	struct jcursor item = jcursor_item(row, ROW_WORKER);
	const struct job_task *task;

	if (row->err->kind != ERR_OK)
		return;
	task = job_task_numbered(job, first + index);
	if (task && task->state == TASK_PLACED && !task->worker)
		jcursor_refuse(&item, "the name of a worker");
}

static int read_range(struct job *job, uint32_t number, const char *record,
		      struct err *err)
{
	struct err parse_err = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse_bytes(record, strlen(record), &parse_err);
	struct jcursor root = jcursor_root(value, &parse_err);
	struct jcursor rows = jcursor_member(&root, "tasks");
	struct jcursor item = jcursor_member(&root, "settled");
	int64_t settled = jcursor_int(&item, 0, (1 << JOB_RANGE_TASKS) - 1, 0);
	size_t count = value ? jcursor_check_array(&rows, JOB_RANGE_TASKS) : 0;

	for (size_t i = 0; i < count && parse_err.kind == ERR_OK; i++) {
		struct jcursor row = jcursor_item(&rows, i);

		decode_row(job, number * JOB_RANGE_TASKS, settled, &row);
		check_row(job, number * JOB_RANGE_TASKS, &row);
	}
	json_object_put(value);
	if (parse_err.kind != ERR_OK)
		return err_set(err, parse_err.kind, "range %u: %s", number,
			       parse_err.text);
	return 0;
}

int job_read_ranges(struct job *job, struct err *err)
{
	GHashTableIter iter;
	void *key, *value;
	int status = 0;

	if (!job->ranges)
		return 0;
	g_hash_table_iter_init(&iter, job->ranges);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct job_range *range = value;
		uint32_t number = GPOINTER_TO_UINT(key);
		int result;

		if (number >= job_range_count(job))
			continue;
		result = read_range(job, number, range->record, err);
		status = result < 0 ? result : status;
	}
	return status;
}
