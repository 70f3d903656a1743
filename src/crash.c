#include "crash.h"

static bool at_work_for(const struct job_task *task, int64_t now_ms, int64_t ms)
{
	return task->phase == PHASE_RUNNING && now_ms - task->since_ms >= ms;
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
