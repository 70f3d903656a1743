#include "avail.h"

#include <glib.h>

enum {
	/* An older report does not count; workers report every second. */
	AVAIL_SILENT_MS = 2000
};

static bool is_available(const struct worker_table *workers,
			 const struct job_task *task, int64_t since_ms)
{
	const struct worker *worker;

	if (task->state != TASK_PLACED || task->phase != PHASE_RUNNING ||
	    task->percent < 100)
		return false;
	worker = worker_find(workers, task->worker);
	return worker && worker->last_report_ms > since_ms;
}

bool avail_may_stop(const struct worker_table *workers,
		    const struct job_pos *pos, int64_t now_ms)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct job_task *tasks =
		job_task_at(pos->job, pos->occurrence, pos->step, 0);
	int64_t since_ms =
		MAX(pos->task->stop_wanted_ms, now_ms - AVAIL_SILENT_MS);
	int32_t unavailable = 0;

	for (int32_t i = 0; i < step->count; i++) {
		if (&tasks[i] == pos->task)
			continue;
		unavailable += !is_available(workers, &tasks[i], since_ms);
	}
	return unavailable < MAX(step->may_miss, 1);
}
