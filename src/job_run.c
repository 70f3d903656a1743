#include "job.h"

#include "job_int.h"
#include "pace.h"

void job_place_task(struct job *job, struct job_task *task, const char *worker,
		    int64_t boot_ms, int32_t run, int64_t now_ms)
{
	task->state = TASK_PLACED;
	task->phase = PHASE_RECORDING;
	task->stop_wanted_ms = 0;
	task->unanswered_starts = 0;
	task->start_sent_ms = 0;
	task->stop_sent_ms = 0;
	task->start_settled = false;
	task->stop_ok = false;
	task->moved_off = false;
	task->run = run;
	task->worker = g_intern_string(worker);
	task->worker_boot_ms = boot_ms;
	task->reserved = NULL;
	task->waits_ms = 0;
	task->since_ms = now_ms;
	task->last_report = 0;
	task->percent = 0;
	task->load_metric = 0;
	task->pace = PACE_FULL;
	task->pace_sent_ms = 0;
	task->pace_unsure_ms = 0;
	if (!job->placed_ms)
		job->placed_ms = now_ms;
	job_index_place(job, task);
	job->has_placements = true;
	job_touch(job, task);
}

void job_task_inherit(struct job_task *task, bool settled)
{
	task->phase = PHASE_UNKNOWN;
	/* An earlier owner may have changed it. */
	task->pace = -1;
	task->start_settled = settled;
	task->unanswered_starts = !settled;
}

static bool is_confirmed(const struct job_task *task, int32_t run)
{
	return task->state == TASK_PLACED && task->phase == PHASE_RUNNING &&
	       task->run == run;
}

static void refresh_gang(const struct job_pos *pos, int64_t now_ms)
{
	struct job_task *tasks =
		job_task_at(pos->job, pos->occurrence, pos->step, 0);
	int32_t count = pos->job->spec.steps[pos->step].count;
	int32_t run = pos->task->run;
	int32_t confirmed = 0;

	for (int32_t i = 0; i < count; i++)
		confirmed += is_confirmed(&tasks[i], run);
	for (int32_t i = 0; i < count; i++) {
		if (!is_confirmed(&tasks[i], run))
			continue;
		tasks[i].gang_waits = confirmed < count;
		tasks[i].since_ms = now_ms;
	}
}

void job_run_confirmed(const struct job_pos *pos, int64_t now_ms)
{
	pos->task->phase = PHASE_RUNNING;
	pos->task->since_ms = now_ms;
	pos->task->gang_waits = false;
	pos->task->refusals = 0;
	if (pos->job->spec.steps[pos->step].gang)
		refresh_gang(pos, now_ms);
}

/* A gang is done as soon as one of its tasks is done. */
static void complete_gang(struct job_pos *pos)
{
	struct job_task *tasks =
		job_task_at(pos->job, pos->occurrence, pos->step, 0);

	for (int32_t i = 0; i < pos->job->spec.steps[pos->step].count; i++) {
		tasks[i].state = TASK_DONE;
		job_index_unplace(&tasks[i]);
		job_touch(pos->job, &tasks[i]);
	}
}

/* The task that has the checkpoint of the given one: of a gang, its first member. */
static struct job_task *checkpoint_holder(const struct job_pos *pos)
{
	if (!pos->job->spec.steps[pos->step].gang)
		return pos->task;
	return job_task_at(pos->job, pos->occurrence, pos->step, 0);
}

const char *job_checkpoint(const struct job_pos *pos)
{
	return checkpoint_holder(pos)->checkpoint;
}

bool job_set_checkpoint(const struct job *job, struct job_task *task,
			const char *checkpoint)
{
	struct job_room *room = job->room;

	if (!g_strcmp0(checkpoint, task->checkpoint))
		return true;
	if (!job_room_has_checkpoint(room, task->checkpoint, checkpoint))
		return false;
	room->checkpoint_bytes += job_checkpoint_bytes(checkpoint) -
				  job_checkpoint_bytes(task->checkpoint);
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
	return true;
}

bool job_keep_checkpoint(const struct job_pos *pos, const char *checkpoint)
{
	return !checkpoint ||
	       job_set_checkpoint(pos->job, checkpoint_holder(pos), checkpoint);
}

void job_end_run(struct job_pos *pos, enum job_end how, const char *checkpoint,
		 int32_t attempts)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	struct job_task *task = pos->task;
	/* A long-running one is started again however its runs end. */
	bool done = how == END_DONE && !step->long_running;

	job_touch(pos->job, task);
	job_keep_checkpoint(pos, checkpoint);
	job_touch(pos->job, checkpoint_holder(pos));
	task->state = done ? TASK_DONE : TASK_WAITING;
	task->phase = PHASE_UNKNOWN;
	job_index_unplace(task);
	if (done)
		job_set_checkpoint(pos->job, checkpoint_holder(pos), NULL);
	if (done && step->gang)
		complete_gang(pos);
	if (how != END_FAILED)
		return;
	task->failed++;
	if (!step->long_running && task->failed >= attempts)
		pos->job->state = JOB_FAILED;
}

void job_give_up(struct job *job)
{
	job->state = JOB_FAILED;
	job->dirty = true;
}

/* Whether a worker has confirmed a start of the task at any time. */
static bool has_started(const struct job_task *task)
{
	if (task->state == TASK_DONE || task->failed)
		return true;
	return task->state == TASK_PLACED &&
	       (task->phase == PHASE_RUNNING || task->phase == PHASE_STOPPING);
}

void job_refresh(struct job *job)
{
	struct job_pos pos = { .job = job };
	bool started = false;
	enum job_state state = job->state;

	if (!job->has_spec || job_ended(state))
		return;
	/* A running job that has not changed runs on. */
	if (state == JOB_RUNNING && job->refreshed && !job->dirty &&
	    !job->cancel_requested)
		return;
	while (job_next_task(&pos))
		started |= has_started(pos.task);
	job->refreshed = true;
	job_close_done(job);
	started |= job_first_undone(job) > 0;
	if (job->cancel_requested)
		state = JOB_CANCELLED;
	else if (job_first_undone(job) == job->occurrences)
		state = JOB_DONE;
	else if (started)
		state = JOB_RUNNING;
	if (state != job->state)
		job->dirty = true;
	job->state = state;
}
