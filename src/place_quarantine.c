#include "crash.h"
#include "log.h"
#include "place_int.h"

enum {
	/* A worker that has no room for the task by then is given back. */
	PLACE_RESERVATION_MS = 2000,
	/* Until the task may reserve another one, so that others get a turn. */
	PLACE_RESERVATION_GAP_MS = 500
};

static bool reservation_expired(const struct place *place,
				const struct job_task *task)
{
	return place->now_ms - task->reserved_ms >= PLACE_RESERVATION_MS;
}

/* The worker reserved for a waiting task, unless it is of no use any more. */
static struct worker *reserved_worker(const struct place *place,
				      const struct job_task *task)
{
	struct worker *worker =
		task->quarantine ? worker_find(place->workers, task->quarantine)
				 : NULL;

	if (!worker || !place_usable(place, worker) ||
	    reservation_expired(place, task))
		return NULL;
	return worker;
}

/* The worker that is kept from other tasks for the suspect; NULL: none. */
static struct worker *kept_worker(const struct place *place,
				  const struct job_task *task)
{
	struct worker *worker;

	if (task->state == TASK_WAITING)
		return reserved_worker(place, task);
	if (task->state != TASK_PLACED)
		return NULL;
	worker = worker_find(place->workers, task->worker);
	if (!worker || crash_is_settled(task, worker->last_report_ms))
		return NULL;
	return worker;
}

void place_account_quarantine(const struct place *place, struct job *job)
{
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos)) {
		struct worker *worker;

		if (!crash_needs_quarantine(pos.task,
					    &job->spec.steps[pos.step]))
			continue;
		worker = kept_worker(place, pos.task);
		if (worker)
			worker->reserved = true;
	}
}

/* At most half of the workers are kept from other tasks. */
bool place_may_reserve(const struct pass *pass)
{
	guint reserved = 0;

	for (guint i = 0; i < pass->usable->len; i++) {
		const struct worker *worker = pass->usable->pdata[i];

		reserved += worker->reserved;
	}
	return !reserved || 2 * (reserved + 1) <= pass->usable->len;
}

bool place_will_fit(const struct worker *worker, const struct job_step *step)
{
	const struct worker_entry *entry = &worker->entry;
	int32_t cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli;

	return worker->lasting_cpu_milli + cpu_milli <= entry->cpu_milli &&
	       worker->lasting_mem_mib + step->mem_mib <= entry->mem_mib &&
	       step->gpu <= entry->gpu;
}

/* Whether the step's task can be expected to start sooner on left. */
static bool is_ready_sooner(const struct worker *left,
			    const struct worker *right,
			    const struct job_step *step)
{
	bool left_fits = place_fits(left, step);

	if (left_fits != place_fits(right, step))
		return left_fits;
	if (left->new_tasks != right->new_tasks)
		return left->new_tasks < right->new_tasks;
	return left->cpu_used_milli < right->cpu_used_milli;
}

static struct worker *choose_worker(const struct pass *pass,
				    const struct candidate *cand)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *best = NULL;

	for (guint i = 0; i < pass->usable->len; i++) {
		struct worker *worker = pass->usable->pdata[i];

		if (worker->reserved || !place_may_hold(cand, worker) ||
		    !place_will_fit(worker, step))
			continue;
		if (!best || is_ready_sooner(worker, best, step))
			best = worker;
	}
	return best;
}

struct worker *place_find_quarantine(const struct pass *pass,
				     const struct candidate *cand)
{
	return place_may_reserve(pass) ? choose_worker(pass, cand) : NULL;
}

static struct worker *reserve_worker(const struct pass *pass,
				     const struct candidate *cand,
				     struct job_task *task)
{
	const struct place *place = pass->place;
	struct worker *worker;

	if (task->quarantine && reservation_expired(place, task)) {
		task->quarantine = NULL;
		task->hold_until_ms = place->now_ms + PLACE_RESERVATION_GAP_MS;
		return NULL;
	}
	task->quarantine = NULL;
	worker = place_find_quarantine(pass, cand);
	if (!worker)
		return NULL;
	worker->reserved = true;
	task->quarantine = worker->name;
	task->reserved_ms = place->now_ms;
	log_info("quarantine-reserved id=%s worker=%s crashes=%d new_tasks=%d",
		 cand->job->id, worker->name, task->crashes, worker->new_tasks);
	return worker;
}

bool place_in_quarantine(struct pass *pass, const struct candidate *cand,
			 struct job_task *task)
{
	const struct place *place = pass->place;
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *worker = reserved_worker(place, task);

	if (!worker)
		worker = reserve_worker(pass, cand, task);
	if (!worker || worker->new_tasks > 0 || !place_fits(worker, step) ||
	    !place_may_hold(cand, worker))
		return false;
	job_place_task(cand->job, task, worker->entry.id, worker->boot_ms,
		       task->run + 1, place->now_ms);
	place_use_room(worker, step);
	worker->suspects++;
	return true;
}
