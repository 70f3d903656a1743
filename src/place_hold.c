#include "place_int.h"

/* Whether a task of the step fits beside the worker's long-running tasks. */
static bool will_fit(const struct worker *worker, const struct job_step *step)
{
	const struct worker_entry *entry = &worker->entry;
	int32_t cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli;

	return cpu_milli <= entry->cpu_milli - worker->lasting_cpu_milli &&
	       step->mem_mib <= entry->mem_mib - worker->lasting_mem_mib &&
	       step->gpu <= entry->gpu;
}

/* Processor time of the worker's tasks that end by themselves. */
static int32_t finite_cpu_milli(const struct worker *worker)
{
	return worker->cpu_used_milli - worker->lasting_cpu_milli;
}

/* Whether one more worker may be held: at most half of them are. */
static bool may_hold_one(const struct pass *pass)
{
	guint held = 0;

	for (guint i = 0; i < pass->usable->len; i++) {
		const struct worker *worker = pass->usable->pdata[i];

		held += worker->held;
	}
	return 2 * (held + 1) <= pass->usable->len;
}

/* The worker on which the task can be expected to have room first. */
static struct worker *choose_worker(const struct pass *pass,
				    const struct candidate *cand)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *best = NULL;

	for (guint i = 0; i < pass->usable->len; i++) {
		struct worker *worker = pass->usable->pdata[i];

		if (worker->reserved || worker->held ||
		    !place_may_hold(cand, worker) || !will_fit(worker, step))
			continue;
		if (!best || finite_cpu_milli(worker) < finite_cpu_milli(best))
			best = worker;
	}
	return best;
}

void place_hold_worker(const struct pass *pass, const struct candidate *cand)
{
	struct worker *worker = NULL;

	if (may_hold_one(pass))
		worker = choose_worker(pass, cand);
	if (worker)
		worker->held = true;
}
