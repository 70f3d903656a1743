#include "job_view.h"

#include <string.h>

#include <glib.h>

#include "jcursor.h"
#include "place.h"

struct totals {
	int32_t tasks;
	int32_t done;
	int32_t placed;
	int32_t failed_runs;
};

/* Counts the tasks of occurrences that have none in memory. */
static void count_absent(const struct job *job, int64_t step,
			 struct totals *totals)
{
	int32_t tasks = step >= 0 ? job->spec.steps[step].count
				  : (int32_t)job->tasks_per_occurrence;
	int32_t open = job->open ? (int32_t)job->open->len : 0;
	bool done = job->stored_state == JOB_DONE;

	totals->tasks += ((int32_t)job->occurrences - open) * tasks;
	totals->done +=
		((int32_t)(done ? job->occurrences : job->opened) - open) *
		tasks;
}

/* Of one step, or of all if step is negative. */
static struct totals count_tasks(struct job *job, int64_t step)
{
	struct job_pos pos = { .job = job };
	struct totals totals = { 0 };
	bool any = job_next_task(&pos);

	if (job->has_spec)
		count_absent(job, step, &totals);
	for (; any; any = job_next_task(&pos)) {
		if (step >= 0 && pos.step != step)
			continue;
		totals.tasks++;
		totals.done += pos.task->state == TASK_DONE;
		totals.placed += pos.task->state == TASK_PLACED;
		totals.failed_runs += pos.task->failed;
	}
	return totals;
}

static void put_totals(struct json_object *row, const struct totals *totals)
{
	jcursor_put_int(row, "tasks", totals->tasks);
	jcursor_put_int(row, "done", totals->done);
	jcursor_put_int(row, "placed", totals->placed);
	jcursor_put_int(row, "failed_runs", totals->failed_runs);
}

static struct json_object *job_row(const struct job_view *view, struct job *job)
{
	struct json_object *row = json_object_new_object();
	struct totals totals = count_tasks(job, -1);
	bool cancelling =
		job->cancel_requested && !job_ended(job->stored_state);

	jcursor_put_string(row, "job", job->id);
	jcursor_put_string(row, "queue", job->queue);
	jcursor_put_string(row, "pool", job->pool);
	jcursor_put_string(row, "state",
			   cancelling ? "cancelling"
				      : job_state_name(job->stored_state));
	jcursor_put_int(row, "age_ms", view->wall_ms - job->accepted_ms);
	put_totals(row, &totals);
	return row;
}

struct json_object *job_view_list(const struct job_view *view)
{
	struct json_object *rows = json_object_new_array();

	for (guint i = 0; i < view->jobs->live->len; i++)
		json_object_array_add(
			rows, job_row(view, view->jobs->live->pdata[i]));
	return rows;
}

static struct json_object *placed_tasks(struct job *job)
{
	struct json_object *rows = json_object_new_array();
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos)) {
		struct json_object *row;
		char name[JOB_TASK_NAME_BYTES];

		if (pos.task->state != TASK_PLACED)
			continue;
		row = json_object_new_object();
		job_task_name(&pos, name, sizeof(name));
		jcursor_put_string(row, "task", name);
		jcursor_put_string(row, "worker", pos.task->worker);
		jcursor_put_int(row, "run", pos.task->run);
		json_object_array_add(rows, row);
	}
	return rows;
}

/* What the index tells of a job; NULL if it is unknown. */
static struct json_object *index_row(const struct job_view *view,
				     const char *id)
{
	const struct index_entry *entry = index_find(view->index, id);
	struct json_object *row;

	if (!entry)
		return NULL;
	row = json_object_new_object();
	jcursor_put_string(row, "job", id);
	jcursor_put_string(row, "queue", entry->queue);
	jcursor_put_string(row, "state",
			   job_state_name(index_job_state(entry->state)));
	return row;
}

/* Says where to ask about a job of which only the index tells. */
static struct json_object *explain_by_index(const struct job_view *view,
					    const char *id)
{
	const struct index_entry *entry = index_find(view->index, id);
	struct json_object *page;
	char *text;

	if (!entry)
		return NULL;
	text = g_strdup_printf("Job %s of queue %s is %s. This node does not "
			       "read the jobs; ask one that owns pools (metric "
			       "pools_owned).",
			       id, entry->queue,
			       job_state_name(index_job_state(entry->state)));
	page = json_object_new_object();
	jcursor_put_string(page, "explanation", text);
	g_free(text);
	return page;
}

struct json_object *job_view_one(const struct job_view *view, const char *id)
{
	struct job *job = job_find(view->jobs, id);
	struct json_object *steps;
	struct json_object *page;

	if (!job)
		return index_row(view, id);
	steps = json_object_new_array();
	page = job_row(view, job);
	for (uint32_t i = 0; i < job->spec.step_count; i++) {
		struct json_object *row = json_object_new_object();
		struct totals totals = count_tasks(job, i);

		jcursor_put_int(row, "step", i);
		put_totals(row, &totals);
		json_object_array_add(steps, row);
	}
	json_object_object_add(page, "steps", steps);
	json_object_object_add(page, "placed_tasks", placed_tasks(job));
	return page;
}

/* Explains why the waiting tasks of a step do not run. */
static void explain_step(const struct job_view *view, struct job *job,
			 uint32_t index, GString *text)
{
	const struct job_step *step = &job->spec.steps[index];
	struct totals totals = count_tasks(job, index);
	int32_t waiting = totals.tasks - totals.done - totals.placed;
	int32_t usable = 0;

	g_string_append_printf(text,
			       "Step %u: %d of %d tasks done, %d placed. ",
			       index, totals.done, totals.tasks, totals.placed);
	if (!waiting)
		return;
	if (!job_step_ready(job, 0, index)) {
		g_string_append(text,
				"It waits for the steps that it depends on. ");
		return;
	}
	for (guint i = 0; i < view->workers->list->len; i++) {
		const struct worker *worker = view->workers->list->pdata[i];

		usable += worker->listed && !worker->entry.draining &&
			  !strcmp(worker->entry.pool, job->pool) &&
			  worker->entry.cpu_milli >= step->cpu_milli &&
			  worker->entry.mem_mib >= step->mem_mib &&
			  (!step->label[0] ||
			   worker_has_label(worker, step->label));
	}
	g_string_append_printf(text,
			       "%d wait for room; pool %s has %d workers that "
			       "can hold such a task. ",
			       waiting, job->pool, usable);
}

struct json_object *job_view_explain(const struct job_view *view,
				     const char *id)
{
	struct job *job = job_find(view->jobs, id);
	struct json_object *page;
	GString *text;
	int64_t late_ms;

	if (!job)
		return explain_by_index(view, id);
	text = g_string_new(NULL);
	g_string_append_printf(
		text,
		"Job %s was submitted to queue %s %" G_GINT64_FORMAT
		" ms ago and is %s. ",
		id, job->queue, view->wall_ms - job->accepted_ms,
		job_state_name(job->stored_state));
	late_ms = view->wall_ms - place_target_ms(view->cfg, job);
	if (!job_ended(job->stored_state) && late_ms > 0)
		g_string_append_printf(text,
				       "It is %" G_GINT64_FORMAT
				       " ms past its objective. ",
				       late_ms);
	if (job->cancel_requested)
		g_string_append(text, "Its cancellation has been requested. ");
	if (job->stored_state == JOB_FAILED)
		g_string_append(text, "A task has no attempts left, or the job "
				      "cannot be decoded. ");
	for (uint32_t i = 0;
	     !job_ended(job->stored_state) && i < job->spec.step_count; i++)
		explain_step(view, job, i, text);
	page = json_object_new_object();
	jcursor_put_string(page, "explanation", g_strchomp(text->str));
	g_string_free(text, TRUE);
	return page;
}
