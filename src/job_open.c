#include <string.h>

#include "job_int.h"

static void note_tasks(const struct job *job, int64_t change)
{
	job->room->tasks[job_class_of(&job->spec)] += change;
}

static bool has_room(const struct job *job)
{
	return job_room_fits(job->room, job_class_of(&job->spec),
			     job->tasks_per_occurrence);
}

static struct job_occurrence *open_at(const struct job *job, guint index)
{
	return job->open->pdata[index];
}

/* Place of the first open occurrence from that number on. */
static guint find_place(const struct job *job, uint32_t number)
{
	guint low = 0;
	guint high = job->open ? job->open->len : 0;

	while (low < high) {
		guint middle = (low + high) / 2;

		if (open_at(job, middle)->number < number)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct job_occurrence *find_open(const struct job *job, uint32_t number)
{
	guint place = find_place(job, number);

	if (!job->open || place == job->open->len ||
	    open_at(job, place)->number != number)
		return NULL;
	return open_at(job, place);
}

static void open_next(struct job *job)
{
	uint32_t count = job->tasks_per_occurrence;
	struct job_occurrence *occurrence = g_malloc0(
		sizeof(*occurrence) + count * sizeof(struct job_task));

	occurrence->number = job->opened++;
	for (uint32_t i = 0; i < count; i++)
		occurrence->tasks[i].number = occurrence->number * count + i;
	if (!job->open)
		job->open = g_ptr_array_new();
	g_ptr_array_add(job->open, occurrence);
	if (!job->touched)
		job->touched = g_new0(bool, job_range_count(job));
	note_tasks(job, count);
}

void job_open_until(struct job *job, uint32_t number)
{
	while (job->opened < MIN(number, job->occurrences))
		open_next(job);
}

static bool is_due(const struct job *job, int64_t wall_ms)
{
	return job->has_spec && job->opened < job->occurrences &&
	       job_due_ms(job, job->opened) <= wall_ms;
}

void job_open_due(struct job *job, int64_t wall_ms)
{
	if (job->tasks_outdated && is_due(job, wall_ms))
		job_load_tasks(job);
	while (is_due(job, wall_ms) && has_room(job))
		open_next(job);
}

/* Whether the job has nothing to do before its next occurrence is due. */
static bool is_idle(struct job *job, int64_t wall_ms)
{
	if (job_class_of(&job->spec) != JOB_TIMED || job->cancel_requested ||
	    job->dirty || job->state != job->stored_state)
		return false;
	if (job->tasks_outdated && !job->progress)
		job_load_tasks(job);
	return !job->tasks_outdated && !is_due(job, wall_ms) &&
	       !(job->open && job->open->len) && job->opened < job->occurrences;
}

/* Whether an idle job stays so, at first sight. */
static bool stays_idle(const struct job *job, int64_t wall_ms)
{
	return job->idle && wall_ms < job->idle_until_ms &&
	       !job->cancel_requested && !job->tasks_outdated;
}

void job_store_open_due(struct job_store *store, int64_t wall_ms)
{
	for (guint i = 0; i < store->live->len; i++) {
		struct job *job = store->live->pdata[i];

		if (!job->has_spec || stays_idle(job, wall_ms))
			continue;
		job_open_due(job, wall_ms);
		job_index_set_idle(job, is_idle(job, wall_ms));
		if (job->idle)
			job->idle_until_ms = job_due_ms(job, job->opened);
	}
}

uint32_t job_count_waiting_due(const struct job *job, int64_t wall_ms)
{
	int64_t due = job->occurrences;

	if (!is_due(job, wall_ms))
		return 0;
	if (job->spec.interval_ms)
		due = (wall_ms - job->spec.start_at_ms) /
			      job->spec.interval_ms +
		      1;
	return (uint32_t)MIN(due, job->occurrences) - job->opened;
}

static void free_occurrence(const struct job *job,
			    struct job_occurrence *occurrence)
{
	for (uint32_t i = 0; i < job->tasks_per_occurrence; i++) {
		job_index_unplace(&occurrence->tasks[i]);
		job_set_checkpoint(job, &occurrence->tasks[i], NULL);
	}
	note_tasks(job, -(int64_t)job->tasks_per_occurrence);
	g_free(occurrence);
}

static bool all_done(const struct job *job,
		     const struct job_occurrence *occurrence)
{
	for (uint32_t i = 0; i < job->tasks_per_occurrence; i++)
		if (occurrence->tasks[i].state != TASK_DONE)
			return false;
	return true;
}

void job_close_done(struct job *job)
{
	guint kept = 0;

	for (guint i = 0; job->open && i < job->open->len; i++) {
		struct job_occurrence *occurrence = open_at(job, i);

		if (all_done(job, occurrence))
			free_occurrence(job, occurrence);
		else
			job->open->pdata[kept++] = occurrence;
	}
	if (job->open)
		g_ptr_array_set_size(job->open, (gint)kept);
}

void job_clear_tasks(struct job *job)
{
	for (guint i = 0; job->open && i < job->open->len; i++)
		free_occurrence(job, open_at(job, i));
	if (job->open)
		g_ptr_array_free(job->open, TRUE);
	job->open = NULL;
	job->opened = 0;
	g_free(job->touched);
	job->touched = NULL;
}

bool job_occurrence_is_closed(const struct job *job, uint32_t occurrence)
{
	return occurrence < job->opened && !find_open(job, occurrence);
}

uint32_t job_first_undone(const struct job *job)
{
	return job->open && job->open->len ? open_at(job, 0)->number
					   : job->opened;
}

struct job_task *job_task_at(const struct job *job, uint32_t occurrence,
			     uint32_t step, uint32_t index)
{
	struct job_occurrence *open = find_open(job, occurrence);

	return open ? &open->tasks[job_step_first(job, step) + index] : NULL;
}

struct job_task *job_task_numbered(const struct job *job, uint32_t number)
{
	struct job_occurrence *open =
		find_open(job, number / job->tasks_per_occurrence);

	return open ? &open->tasks[number % job->tasks_per_occurrence] : NULL;
}

/* Moves to the first task of an open occurrence; false if there are no more. */
static bool enter_occurrence(struct job_pos *pos, guint index)
{
	const struct job *job = pos->job;

	if (!job->open || index >= job->open->len)
		return false;
	pos->open_index = index;
	pos->occurrence = open_at(job, index)->number;
	pos->step = 0;
	pos->index = 0;
	pos->task = open_at(job, index)->tasks;
	return true;
}

bool job_next_task(struct job_pos *pos)
{
	struct job *job = pos->job;

	if (!pos->task) {
		if (job->tasks_outdated)
			job_load_tasks(job);
		return enter_occurrence(pos, 0);
	}
	pos->task++;
	pos->index++;
	if (pos->index < (uint32_t)job->spec.steps[pos->step].count)
		return true;
	pos->index = 0;
	pos->step++;
	return pos->step < job->spec.step_count ||
	       enter_occurrence(pos, pos->open_index + 1);
}
