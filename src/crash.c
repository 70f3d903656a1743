#include "crash.h"

static bool at_work_for(const struct job_task *task, int64_t now_ms, int64_t ms)
{
	return task->phase == PHASE_RUNNING && !task->gang_waits &&
	       now_ms - task->since_ms >= ms;
}

bool crash_is_settled(const struct job_task *task, int64_t seen_ms)
{
	if (crash_suspicion(task) < CRASH_QUARANTINE_COUNT)
		return at_work_for(task, seen_ms, CRASH_START_MS);
	return at_work_for(task, seen_ms, CRASH_LATE_START_MS);
}

bool crash_is_cleared(const struct job_task *task, int64_t seen_ms)
{
	return at_work_for(task, seen_ms, CRASH_CLEARED_MS);
}

bool crash_may_count(const struct job_task *task)
{
	if (task->crashed_run == task->run)
		return false;
	switch (task->phase) {
	case PHASE_RECORDING:
	case PHASE_STORING:
		return false;
	case PHASE_STARTING:
		return task->unanswered_starts > 0;
	default:
		return true;
	}
}

/* Whether one has been counted for the gang's newest run. */
static bool gang_is_counted(const struct job_task *tasks, int32_t count,
			    int32_t run)
{
	for (int32_t i = 0; i < count; i++)
		if (tasks[i].crashed_run == run)
			return true;
	return false;
}

void crash_count(const struct job_pos *pos, bool lapse)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	struct job_task *tasks = pos->task;
	int32_t count = 1;
	bool counted;

	if (step->gang) {
		tasks = job_task_at(pos->job, pos->occurrence, pos->step, 0);
		count = step->count;
	}
	counted = gang_is_counted(tasks, count, pos->task->run);
	pos->task->crashed_run = pos->task->run;
	job_touch(pos->job, pos->task);
	for (int32_t i = 0; i < count && !counted; i++) {
		tasks[i].crashes += !lapse;
		tasks[i].lapses += lapse;
		job_touch(pos->job, &tasks[i]);
	}
}

bool crash_must_forget(const struct job_task *task, int64_t now_ms)
{
	return crash_is_suspect(task) &&
	       at_work_for(task, now_ms, CRASH_FORGET_MS);
}

bool crash_must_give_up(const struct job_task *task)
{
	return task->crashes >= CRASH_PROVEN_COUNT &&
	       crash_suspicion(task) >= CRASH_GIVE_UP_COUNT;
}

bool crash_must_wait(const struct job_task *task)
{
	return task->crashes < CRASH_PROVEN_COUNT &&
	       crash_suspicion(task) >= CRASH_WAIT_COUNT;
}
