#include "place_int.h"

enum {
	/* A long-running task without room for so long is given what others
	   may not have. */
	PLACE_ROOM_WAIT_MS = 1000
};

static bool has_waited(const struct place *place, const struct candidate *cand,
		       const struct job_task *task)
{
	return cand->long_running && task->away_ms &&
	       place->now_ms - task->away_ms >= PLACE_ROOM_WAIT_MS;
}

struct worker *place_leaving_worker(const struct place *place,
				    const struct candidate *cand,
				    const struct job_task *task)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	GPtrArray *workers = place->workers->list;
	struct worker *best = NULL;

	if (!has_waited(place, cand, task))
		return NULL;
	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		if (!worker->may_stay || !worker->tasks || worker->reserved ||
		    !place_usable_if_leaving(place, worker) ||
		    !place_fits(worker, step) || !place_may_hold(cand, worker))
			continue;
		if (!best || worker->tasks > best->tasks)
			best = worker;
	}
	return best;
}

static int32_t count_finite(const struct worker *worker)
{
	return worker->tasks - worker->long_running_tasks;
}

void place_keep_room(struct pass *pass, const struct candidate *cand,
		     const struct job_task *task)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *best = NULL;

	if (!has_waited(pass->place, cand, task) || !place_may_reserve(pass, 1))
		return;
	for (guint i = 0; i < pass->usable->len; i++) {
		struct worker *worker = pass->usable->pdata[i];

		if (worker->reserved || !place_may_hold(cand, worker) ||
		    !place_will_fit(worker, step, 1))
			continue;
		if (!best || count_finite(worker) < count_finite(best))
			best = worker;
	}
	if (best)
		best->reserved = true;
}
