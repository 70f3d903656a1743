#include "crash.h"

static bool at_work_for(const struct job_task *task, int64_t now_ms, int64_t ms)
{
	return task->phase == PHASE_RUNNING && now_ms - task->since_ms >= ms;
}

bool crash_is_established(const struct job_task *task, int64_t now_ms)
{
	return at_work_for(task, now_ms, CRASH_ESTABLISHED_MS);
}

bool crash_is_cleared(const struct job_task *task, const struct job_step *step,
		      int64_t now_ms)
{
	return crash_needs_quarantine(task) && step->long_running &&
	       at_work_for(task, now_ms, CRASH_QUARANTINE_MS);
}

bool crash_in_quarantine(const struct job_task *task,
			 const struct job_step *step, int64_t now_ms)
{
	return crash_needs_quarantine(task) &&
	       !crash_is_cleared(task, step, now_ms);
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

bool crash_must_forget(const struct job_task *task, int64_t now_ms)
{
	return crash_is_suspect(task) &&
	       at_work_for(task, now_ms, CRASH_FORGET_MS);
}

bool crash_must_give_up(const struct job_task *task,
			const struct job_step *step)
{
	int32_t max = step->gang ? CRASH_MAX_GANG_COUNT : CRASH_MAX_COUNT;

	return task->crashes >= max ||
	       (task->crashes >= CRASH_GIVE_UP_COUNT &&
		task->crashes_alone >= CRASH_ALONE_COUNT);
}
