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

struct worker *place_reserved_worker(const struct place *place,
				     const struct job_task *task)
{
	struct worker *worker =
		task->reserved ? worker_find(place->workers, task->reserved)
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
		return place_reserved_worker(place, task);
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

		if (!crash_needs_quarantine(pos.task))
			continue;
		worker = kept_worker(place, pos.task);
		if (worker)
			worker->reserved = true;
	}
}

/*
 * Whether so many more workers may be kept from other tasks: at most half are,
 * unless it is for the only task or gang that needs any.
 */
bool place_may_reserve(const struct pass *pass, guint more)
{
	guint reserved = 0;

	for (guint i = 0; i < pass->usable->len; i++) {
		const struct worker *worker = pass->usable->pdata[i];

		reserved += worker->reserved;
	}
	return !reserved || 2 * (reserved + more) <= pass->usable->len;
}

bool place_will_fit(const struct worker *worker, const struct job_step *step,
		    int32_t count)
{
	const struct worker_entry *entry = &worker->entry;
	int64_t cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli;

	return worker->lasting_cpu_milli + count * cpu_milli <=
		       entry->cpu_milli &&
	       worker->lasting_mem_mib + (int64_t)count * step->mem_mib <=
		       entry->mem_mib &&
	       (int64_t)count * step->gpu <= entry->gpu;
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
		    !place_will_fit(worker, step, 1))
			continue;
		if (!best || is_ready_sooner(worker, best, step))
			best = worker;
	}
	return best;
}

struct worker *place_find_quarantine(const struct pass *pass,
				     const struct candidate *cand)
{
	return place_may_reserve(pass, 1) ? choose_worker(pass, cand) : NULL;
}

static struct worker *reserve_worker(const struct pass *pass,
				     const struct candidate *cand,
				     struct job_task *task)
{
	const struct place *place = pass->place;
	struct worker *worker;

	if (task->reserved && reservation_expired(place, task)) {
		task->reserved = NULL;
		task->hold_until_ms = place->now_ms + PLACE_RESERVATION_GAP_MS;
		return NULL;
	}
	task->reserved = NULL;
	worker = place_find_quarantine(pass, cand);
	if (!worker)
		return NULL;
	worker->reserved = true;
	task->reserved = worker->name;
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
	struct worker *worker = place_reserved_worker(place, task);

	if (!worker)
		worker = reserve_worker(pass, cand, task);
	if (!worker)
		worker = place_leaving_worker(place, cand, task);
	if (!worker || worker->new_tasks > 0 || !place_fits(worker, step) ||
	    !place_may_hold(cand, worker))
		return false;
	job_place_task(cand->job, task, worker->entry.id, worker->boot_ms,
		       task->run + 1, place->now_ms);
	place_use_room(worker, step);
	worker->reserved = true;
	worker->suspects++;
	return true;
}

/* The tasks of a gang, and the workers that are chosen for them. */
struct gang {
	const struct candidate *cand;
	const struct job_step *step;
	struct job_task *tasks;
	struct worker **chosen; /* of the first found tasks */
	int32_t found;
};

/* Whether the worker can take one more task than those chosen for it. */
static bool will_take(const struct gang *gang, const struct worker *worker,
		      int32_t chosen)
{
	int32_t limit = gang->step->max_per_worker;

	return (!limit || chosen < limit) &&
	       place_may_hold(gang->cand, worker) &&
	       place_will_fit(worker, gang->step, chosen + 1);
}

static struct worker *next_worker(const struct pass *pass,
				  const struct gang *gang)
{
	struct worker *best = NULL;

	for (guint i = 0; i < pass->usable->len; i++) {
		struct worker *worker = pass->usable->pdata[i];

		if (worker->reserved || !will_take(gang, worker, 0))
			continue;
		if (!best || is_ready_sooner(worker, best, gang->step))
			best = worker;
	}
	return best;
}

/* Chooses workers for all tasks of the gang, as few as possible. */
static bool choose_workers(const struct pass *pass, struct gang *gang)
{
	int32_t count = gang->step->count;
	guint workers = 0;

	while (gang->found < count) {
		struct worker *worker = next_worker(pass, gang);

		if (!worker)
			break;
		/* Not chosen twice. */
		worker->reserved = true;
		workers++;
		for (int32_t taken = 0;
		     gang->found < count && will_take(gang, worker, taken);
		     taken++)
			gang->chosen[gang->found++] = worker;
	}
	for (int32_t i = 0; i < gang->found; i++)
		gang->chosen[i]->reserved = false;
	return gang->found == count && place_may_reserve(pass, workers);
}

static void reserve_workers(const struct place *place, struct gang *gang)
{
	for (int32_t i = 0; i < gang->step->count; i++) {
		gang->chosen[i]->reserved = true;
		gang->tasks[i].reserved = gang->chosen[i]->name;
		gang->tasks[i].reserved_ms = place->now_ms;
	}
	log_info("gang-quarantine-reserved id=%s step=%u tasks=%d crashes=%d "
		 "lapses=%d",
		 gang->cand->job->id, gang->cand->step, gang->step->count,
		 gang->tasks->crashes, gang->tasks->lapses);
}

/* Finds the workers that are reserved, if all still are; else reserves them. */
static bool find_reserved(const struct pass *pass, struct gang *gang)
{
	const struct place *place = pass->place;
	bool expired = gang->tasks->reserved &&
		       reservation_expired(place, gang->tasks);
	int32_t count = gang->step->count;

	while (gang->found < count) {
		gang->chosen[gang->found] =
			place_reserved_worker(place, &gang->tasks[gang->found]);
		if (!gang->chosen[gang->found])
			break;
		gang->found++;
	}
	if (gang->found == count)
		return true;
	gang->found = 0;
	for (int32_t i = 0; i < count; i++) {
		gang->tasks[i].reserved = NULL;
		if (expired)
			gang->tasks[i].hold_until_ms =
				place->now_ms + PLACE_RESERVATION_GAP_MS;
	}
	if (expired || !choose_workers(pass, gang))
		return false;
	reserve_workers(place, gang);
	return true;
}

/* Whether all chosen workers have room now and no other task that is new. */
static bool is_ready(const struct gang *gang)
{
	int32_t taken = 0;
	bool ready = true;

	for (int32_t i = 0; i < gang->step->count; i++)
		ready &= gang->chosen[i]->new_tasks == 0;
	while (ready && taken < gang->step->count) {
		ready = place_fits(gang->chosen[taken], gang->step);
		if (ready)
			place_use_room(gang->chosen[taken++], gang->step);
	}
	if (ready)
		return true;
	while (taken > 0)
		place_release_room(gang->chosen[--taken], gang->step);
	return false;
}

static bool all_startable(const struct place *place, const struct gang *gang,
			  int32_t *run)
{
	for (int32_t i = 0; i < gang->step->count; i++) {
		if (!place_is_startable(place, &gang->tasks[i]))
			return false;
		*run = MAX(*run, gang->tasks[i].run);
	}
	return true;
}

uint32_t place_gang_in_quarantine(struct pass *pass,
				  const struct candidate *cand)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct gang gang = {
		.cand = cand,
		.step = step,
		.tasks =
			job_task_at(cand->job, cand->occurrence, cand->step, 0),
		.chosen = g_new0(struct worker *, step->count),
	};
	int32_t run = 0;
	bool placed = all_startable(pass->place, &gang, &run) &&
		      find_reserved(pass, &gang) && is_ready(&gang);

	for (int32_t i = 0; placed && i < step->count; i++) {
		job_place_task(
			cand->job, &gang.tasks[i], gang.chosen[i]->entry.id,
			gang.chosen[i]->boot_ms, run + 1, pass->place->now_ms);
		gang.chosen[i]->suspects++;
	}
	g_free(gang.chosen);
	return placed ? (uint32_t)step->count : 0;
}
