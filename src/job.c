#include "job.h"

#include <stdlib.h>
#include <string.h>

#include "job_cancel.h"
#include "job_int.h"
#include "log.h"
#include "rnd.h"

struct job_store *job_store_create(int (*decode)(const char *body, size_t len,
						 struct job_spec *spec,
						 struct err *err))
{
	struct job_store *store = g_new0(struct job_store, 1);

	store->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	store->list = g_ptr_array_new();
	store->live = g_ptr_array_new();
	store->decode = decode;
	job_cancels_init(store);
	job_index_init(store);
	return store;
}

void job_spec_clear(struct job_spec *spec)
{
	g_free(spec->text);
	g_free(spec->steps);
	memset(spec, 0, sizeof(*spec));
}

static void count_bytes(struct job *job, int64_t bytes)
{
	job->room->bytes[job_class_of(&job->spec)] +=
		bytes - job->counted_bytes;
	job->counted_bytes = bytes;
}

static void count_live(struct job *job, int64_t tasks)
{
	job->room->live_tasks += tasks - job->counted_tasks;
	job->counted_tasks = tasks;
}

static void free_job(struct job *job)
{
	job_index_remove(job);
	job_clear_tasks(job);
	count_bytes(job, 0);
	count_live(job, 0);
	job_spec_clear(&job->spec);
	job_ranges_clear(job);
	g_free(job->progress);
	if (job->overtaken)
		g_ptr_array_free(job->overtaken, TRUE);
	g_free(job);
}

void job_store_clear(struct job_store *store)
{
	g_hash_table_remove_all(store->jobs);
	for (guint i = 0; i < store->list->len; i++)
		free_job(store->list->pdata[i]);
	g_ptr_array_set_size(store->list, 0);
	g_ptr_array_set_size(store->live, 0);
	job_cancels_clear(store);
}

void job_store_destroy(struct job_store *store)
{
	if (!store)
		return;
	job_store_clear(store);
	g_ptr_array_free(store->list, TRUE);
	g_ptr_array_free(store->live, TRUE);
	g_hash_table_destroy(store->jobs);
	job_cancels_free(store);
	job_index_free(store);
	g_free(store);
}

bool job_valid_id(const char *text)
{
	size_t len = strspn(text, "0123456789abcdefABCDEF");

	return len == JOB_ID_BYTES - 1 && !text[len];
}

static int check_step(const struct job_spec *spec, uint32_t index,
		      struct err *err)
{
	const struct job_step *step = &spec->steps[index];

	if (step->count < 1 || step->count > JOB_MAX_TASKS)
		return err_set(err, ERR_INVALID,
			       "step %u: count is %d, must be 1 to %d", index,
			       step->count, JOB_MAX_TASKS);
	if (step->cpu_milli < 0 || step->mem_mib < 0 || step->gpu < 0)
		return err_set(err, ERR_INVALID,
			       "step %u: cpu, mem or gpu is negative", index);
	if (step->depends >> index)
		return err_set(err, ERR_INVALID,
			       "step %u depends on itself or a later step",
			       index);
	return 0;
}

int job_spec_check(const struct job_spec *spec, struct err *err)
{
	int64_t tasks = 0;

	if (strlen(spec->text) > JOB_MAX_SPEC_BYTES)
		return err_set(err, ERR_INVALID,
			       "spec has %zu bytes, limit is %d",
			       strlen(spec->text), JOB_MAX_SPEC_BYTES);
	if (spec->step_count < 1 || spec->step_count > JOB_MAX_STEPS)
		return err_set(err, ERR_INVALID,
			       "job has %u steps, must be 1 to %d",
			       spec->step_count, JOB_MAX_STEPS);
	for (uint32_t i = 0; i < spec->step_count; i++) {
		int status = check_step(spec, i, err);

		if (status < 0)
			return status;
		tasks += spec->steps[i].count;
	}
	if (spec->repeat_count < 0 || spec->interval_ms < 0)
		return err_set(err, ERR_INVALID,
			       "repetition count or interval is negative");
	if (spec->repeat_count > 1)
		tasks *= spec->repeat_count;
	if (tasks > JOB_MAX_TASKS)
		return err_set(err, ERR_INVALID,
			       "counts of the steps, times the number of "
			       "repeats, are %" G_GINT64_FORMAT
			       " tasks, limit is %d",
			       tasks, JOB_MAX_TASKS);
	return 0;
}

struct job *job_find(const struct job_store *store, const char *id)
{
	return g_hash_table_lookup(store->jobs, id);
}

/* Returns the job with that id; creates it if it does not exist. */
static struct job *find_or_create_job(struct job_store *store, const char *id)
{
	struct job *job = job_find(store, id);

	if (job)
		return job;
	job = g_new0(struct job, 1);
	g_strlcpy(job->id, id, sizeof(job->id));
	job->hash = rnd_hash_name(job->id);
	job->tenant = g_intern_static_string("");
	job->submission_offset = -1;
	job->progress_offset = -1;
	job->submission_rank = store->next_order++;
	job->room = &store->room;
	g_hash_table_insert(store->jobs, job->id, job);
	g_ptr_array_add(store->list, job);
	g_ptr_array_add(store->live, job);
	return job;
}

static void count_tasks(struct job *job)
{
	job->tasks_per_occurrence = 0;
	job->has_lasting = false;
	for (uint32_t i = 0; i < job->spec.step_count; i++) {
		job->tasks_per_occurrence += (uint32_t)job->spec.steps[i].count;
		job->has_lasting |= job->spec.steps[i].long_running;
	}
	job->occurrences = job->spec.repeat_count > 1
				   ? (uint32_t)job->spec.repeat_count
				   : 1;
	job->tasks_outdated = true;
}

static bool has_submission(const struct job *job, const char *token)
{
	if (!strcmp(job->token, token))
		return true;
	for (guint i = 0; job->overtaken && i < job->overtaken->len; i++)
		if (!strcmp(job->overtaken->pdata[i], token))
			return true;
	return false;
}

/* Notes a submission that does not hold: it is deleted with the job. */
static void note_overtaken(struct job *job, const char *token, int64_t offset)
{
	log_info("submission-overtaken id=%s token=%s offset=%" G_GINT64_FORMAT
		 " holds=%s holds_offset=%" G_GINT64_FORMAT,
		 job->id, token, offset, job->token, job->submission_offset);
	if (!job->overtaken)
		job->overtaken = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(job->overtaken, g_strdup(token));
}

/*
 * Forgets a submission that does not hold, as another one has been read that is at a
 * lower offset: pages of the newest records come in the order of their keys.
 */
static void forget_submission(struct job_store *store, struct job *job)
{
	bool unreadable = !job->has_spec;

	job_index_remove(job);
	job_clear_tasks(job);
	count_bytes(job, 0);
	count_live(job, 0);
	job_spec_clear(&job->spec);
	job->has_spec = false;
	job->tenant = g_intern_static_string("");
	job->beyond_rate = false;
	job->terms = (struct cfg_terms){ 0 };
	if (!unreadable)
		return;
	g_ptr_array_add(store->live, job);
	job->state = JOB_QUEUED;
	job->stored_state = JOB_QUEUED;
}

/* Decodes the submission that holds; returns 0 or an error kind. */
static int read_submission(struct job_store *store, struct job *job,
			   const char *record, size_t len, struct err *err)
{
	const char *body = memchr(record, '\n', len);
	int status;

	if (!body)
		return err_set(err, ERR_INVALID,
			       "submission record has no body");
	status = job_read_head(job, record, (size_t)(body - record), err);
	if (status < 0)
		return status;
	body++;
	return store->decode(body, len - (size_t)(body - record), &job->spec,
			     err);
}

int job_apply_submission(struct job_store *store, const char *id,
			 const char *token, int64_t offset, const char *record,
			 size_t len, struct err *err)
{
	struct job *job = find_or_create_job(store, id);
	char other[JOB_TOKEN_BYTES];
	int64_t other_offset = job->submission_offset;
	int status;

	if (other_offset >= 0 && has_submission(job, token))
		return 0;
	if (other_offset >= 0 && offset > other_offset) {
		note_overtaken(job, token, offset);
		return 0;
	}
	g_strlcpy(other, job->token, sizeof(other));
	g_strlcpy(job->token, token, sizeof(job->token));
	job->submission_offset = offset;
	if (other_offset >= 0) {
		note_overtaken(job, other, other_offset);
		forget_submission(store, job);
	}
	status = read_submission(store, job, record, len, err);
	if (status < 0) {
		job->state = JOB_FAILED;
		job->stored_state = JOB_FAILED;
		g_ptr_array_remove(store->live, job);
		return status;
	}
	job->has_spec = true;
	count_bytes(job, job_spec_bytes(&job->spec));
	if (job_class_of(&job->spec) == JOB_UNTIMED)
		count_live(job, job_spec_tasks(&job->spec));
	job->cancel_requested = job_cancel_holds(store, job);
	count_tasks(job);
	job_index_add(store, job);
	if (job->progress)
		job_reload(store, job);
	return 0;
}

struct cfg_terms job_terms(const struct job *job, const struct cfg *cfg)
{
	const struct cfg_queue *queue;

	if (job->terms.attempts)
		return job->terms;
	queue = cfg_queue_find(cfg, job->queue);
	if (queue)
		return queue->terms;
	/* That nothing is known is no reason to let it fail. */
	return (struct cfg_terms){ .attempts = INT32_MAX, .stretch = 1 };
}

/* Removes an ended job from the lists of live jobs, and its tasks from memory. */
static void remove_if_ended(struct job_store *store, struct job *job)
{
	if (!job_ended(job->state) || !job_ended(job->stored_state))
		return;
	g_ptr_array_remove(store->live, job);
	job_index_remove(job);
	job_unload_tasks(job);
	count_live(job, 0);
}

void job_progress_stored(struct job_store *store, struct job *job,
			 int64_t offset, const char *record, size_t len)
{
	struct err err = { .kind = ERR_OK };

	/* If the answer was late, another owner may have written since. */
	if (offset <= job->progress_offset)
		return;
	job->progress_offset = offset;
	g_free(job->progress);
	job->progress = g_strndup(record, len);
	job_read_state(job, record, len, &err);
	remove_if_ended(store, job);
}

int job_apply_progress(struct job_store *store, const char *id, int64_t offset,
		       const char *record, size_t len, bool own,
		       struct err *err)
{
	struct job *job = find_or_create_job(store, id);
	int status;

	if (offset <= job->progress_offset)
		return 0;
	job->progress_offset = offset;
	status = job_read_state(job, record, len, err);
	if (status < 0)
		return status;
	g_free(job->progress);
	job->progress = g_strndup(record, len);
	if (!own) {
		/* Few nodes need the tasks, and not after each record. */
		job->tasks_outdated = true;
		job->dirty = false;
		job->state = job->stored_state;
	}
	remove_if_ended(store, job);
	return 0;
}

void job_apply_range(struct job_store *store, const char *id, uint32_t number,
		     int64_t offset, const char *record, size_t len, bool own)
{
	struct job *job = find_or_create_job(store, id);

	job_range_put(job, number, offset, record, len);
	if (!own)
		job->tasks_outdated = true;
}

void job_remove(struct job_store *store, const char *id)
{
	struct job *job = job_find(store, id);

	if (!job)
		return;
	g_hash_table_remove(store->jobs, id);
	g_ptr_array_remove(store->list, job);
	g_ptr_array_remove(store->live, job);
	free_job(job);
}

/* Makes the tasks anew and reads the stored progress into them. */
void job_load_tasks(struct job *job)
{
	struct err err = { .kind = ERR_OK };

	job->tasks_outdated = false;
	job->refreshed = false;
	if (!job->has_spec)
		return;
	job_clear_tasks(job);
	job->in_ranges = false;
	if (job->progress && job_read_tasks(job, job->progress, &err) < 0)
		log_error("progress of job %s cannot be read: %s", job->id,
			  err.text);
	job_close_done(job);
	if (!job->spec.repeat_count && !job_ended(job->stored_state))
		job_open_due(job, 0);
	job_index_place_all(job);
}

void job_unload_tasks(struct job *job)
{
	job_clear_tasks(job);
	job->tasks_outdated = true;
}

void job_reload(struct job_store *store, struct job *job)
{
	job_load_tasks(job);
	job->refused_record = 0;
	job->store_after_ms = 0;
	job->dirty = false;
	job->state = job->stored_state;
	remove_if_ended(store, job);
}

void job_task_name(const struct job_pos *pos, char *out, size_t size)
{
	g_snprintf(out, size, "%s.%u.%u.%u", pos->job->id, pos->occurrence,
		   pos->step, pos->index);
}

/* Reads ".NUMBER" and goes on behind it; false if it is none. */
static bool read_number(const char **at, uint32_t *number)
{
	const char *digit = *at + 1;
	uint64_t value = 0;

	if (**at != '.' || !g_ascii_isdigit(*digit))
		return false;
	for (; g_ascii_isdigit(*digit) && value <= JOB_MAX_TASKS; digit++)
		value = value * 10 + (uint64_t)g_ascii_digit_value(*digit);
	*at = digit;
	*number = (uint32_t)value;
	return value <= JOB_MAX_TASKS;
}

/* Stands for a task that is not in memory. */
static struct job_task *absent_task(struct job_store *store,
				    const struct job *job, uint32_t occurrence)
{
	bool done = job_occurrence_is_closed(job, occurrence);

	store->absent_task = (struct job_task){
		.state = done ? TASK_DONE : TASK_WAITING,
	};
	return &store->absent_task;
}

bool job_task_find(struct job_store *store, const char *name,
		   struct job_pos *pos)
{
	const char *at = name + JOB_ID_BYTES - 1;
	char id[JOB_ID_BYTES];
	uint32_t occurrence, step, index;

	g_strlcpy(id, name, sizeof(id));
	if (!job_valid_id(id) || !read_number(&at, &occurrence) ||
	    !read_number(&at, &step) || !read_number(&at, &index) || *at)
		return false;
	pos->job = job_find(store, id);
	if (pos->job && pos->job->tasks_outdated &&
	    !job_ended(pos->job->stored_state))
		job_load_tasks(pos->job);
	if (!pos->job || occurrence >= pos->job->occurrences ||
	    step >= pos->job->spec.step_count ||
	    index >= (uint32_t)pos->job->spec.steps[step].count)
		return false;
	pos->occurrence = occurrence;
	pos->step = step;
	pos->index = index;
	pos->task = job_task_at(pos->job, occurrence, step, index);
	if (!pos->task)
		pos->task = absent_task(store, pos->job, occurrence);
	return true;
}

uint32_t job_step_first(const struct job *job, uint32_t step)
{
	uint32_t first = 0;

	for (uint32_t i = 0; i < step; i++)
		first += (uint32_t)job->spec.steps[i].count;
	return first;
}

static bool step_done(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const struct job_task *tasks = job_task_at(job, occurrence, step, 0);

	if (!tasks)
		return job_occurrence_is_closed(job, occurrence);
	for (int32_t i = 0; i < job->spec.steps[step].count; i++)
		if (tasks[i].state != TASK_DONE)
			return false;
	return true;
}

bool job_step_ready(const struct job *job, uint32_t occurrence, uint32_t step)
{
	uint32_t depends = job->spec.steps[step].depends;

	for (uint32_t i = 0; depends >> i; i++)
		if ((depends >> i & 1) && !step_done(job, occurrence, i))
			return false;
	return true;
}

int64_t job_due_ms(const struct job *job, uint32_t occurrence)
{
	if (job->spec.repeat_count < 1)
		return 0;
	return job->spec.start_at_ms + occurrence * job->spec.interval_ms;
}

/* Critical path of the steps that are not done; occurrence < 0: of all. */
static int64_t critical_path_ms(const struct job *job, int64_t occurrence)
{
	int64_t ends_ms[JOB_MAX_STEPS] = { 0 };
	int64_t longest_ms = 0;

	for (uint32_t i = 0; i < job->spec.step_count; i++) {
		const struct job_step *step = &job->spec.steps[i];

		for (uint32_t j = 0; j < i; j++)
			if ((step->depends >> j & 1) && ends_ms[j] > ends_ms[i])
				ends_ms[i] = ends_ms[j];
		if (occurrence < 0 || !step_done(job, (uint32_t)occurrence, i))
			ends_ms[i] += step->estimate_ms;
		longest_ms = MAX(longest_ms, ends_ms[i]);
	}
	return longest_ms;
}

int64_t job_critical_path_ms(const struct job *job)
{
	return critical_path_ms(job, -1);
}

int64_t job_remaining_path_ms(const struct job *job, uint32_t occurrence)
{
	return critical_path_ms(job, occurrence);
}

const char *job_state_name(enum job_state state)
{
	static const char *const names[] = {
		[JOB_QUEUED] = "queued",       [JOB_RUNNING] = "running",
		[JOB_DONE] = "done",	       [JOB_FAILED] = "failed",
		[JOB_CANCELLED] = "cancelled",
	};

	return names[state];
}
