#include "crash.h"
#include "log.h"
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

bool place_may_have_lost(const struct worker *worker,
			 const struct job_task *task)
{
	return task->state == TASK_WAITING && task->run && !task->moved_off &&
	       (!task->worker || task->worker == worker->name);
}

struct worker *place_leaving_worker(const struct place *place,
				    const struct candidate *cand,
				    const struct job_task *task)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	const GPtrArray *workers = share_workers(&place->share, place->workers);
	struct worker *best = NULL;

	if (!has_waited(place, cand, task))
		return NULL;
	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		if (!worker->may_stay || worker->reserved ||
		    !(worker->tasks || place_may_have_lost(worker, task)) ||
		    (worker->new_tasks && crash_needs_quarantine(task)) ||
		    !place_usable_if_leaving(place, worker) ||
		    !place_fits(worker, step) || !place_may_hold(cand, worker))
			continue;
		if (!best || worker->tasks > best->tasks)
			best = worker;
	}
	return best;
}

/* A finite task on a worker, and how long it will run yet. */
struct ending {
	const char *worker; /* interned */
	const struct job_step *step;
	int64_t left_ms;
};

static int64_t left_ms(const struct job_task *task, const struct job_step *step)
{
	if (task->phase == PHASE_STOPPING)
		return 0;
	return (int64_t)step->estimate_ms * (100 - task->percent) / 100;
}

static void add_endings(struct job *job, GArray *endings)
{
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos)) {
		const struct job_step *step = &job->spec.steps[pos.step];
		struct ending ending = {
			.worker = pos.task->worker,
			.step = step,
			.left_ms = left_ms(pos.task, step),
		};

		if (pos.task->state == TASK_PLACED && !step->long_running)
			g_array_append_val(endings, ending);
	}
}

static gint compare_endings(gconstpointer a, gconstpointer b)
{
	const struct ending *left = a;
	const struct ending *right = b;

	return (left->left_ms > right->left_ms) -
	       (left->left_ms < right->left_ms);
}

/* The share's finite tasks at work, those that end first in front. */
static const GArray *find_endings(struct pass *pass)
{
	const struct place *place = pass->place;
	const GPtrArray *jobs = share_jobs(&place->share, place->jobs)->live;
	GArray *endings = pass->endings;

	if (endings)
		return endings;
	endings = g_array_new(FALSE, FALSE, sizeof(struct ending));
	pass->endings = endings;
	for (guint i = 0; i < jobs->len; i++)
		add_endings(jobs->pdata[i], endings);
	g_array_sort(endings, compare_endings);
	return endings;
}

/* How long until the worker has room for the step; -1: that is not known. */
static int64_t room_in_ms(const struct worker *worker,
			  const struct job_step *step, const GArray *endings)
{
	struct worker later = *worker;
	int64_t in_ms = 0;

	for (guint i = 0; i < endings->len && !place_fits(&later, step); i++) {
		const struct ending *ending =
			&g_array_index(endings, struct ending, i);

		if (ending->worker != worker->name)
			continue;
		place_release_room(&later, ending->step);
		in_ms = ending->left_ms;
	}
	return place_fits(&later, step) ? in_ms : -1;
}

/* The worker that will have room first, of those that may be kept. */
static struct worker *first_with_room(struct pass *pass,
				      const struct candidate *cand,
				      int64_t *best_ms)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *best = NULL;

	for (guint i = 0; i < pass->usable->len; i++) {
		struct worker *worker = pass->usable->pdata[i];
		int64_t in_ms;

		if (worker->reserved || !place_may_hold(cand, worker) ||
		    !place_will_fit(worker, step, 1))
			continue;
		in_ms = room_in_ms(worker, step, find_endings(pass));
		if (in_ms < 0 || (best && in_ms >= *best_ms))
			continue;
		best = worker;
		*best_ms = in_ms;
	}
	return best;
}

/* Keeps a worker for the task, unless one is kept or none may be. */
static void keep_room(struct pass *pass, const struct candidate *cand,
		      struct job_task *task)
{
	const struct place *place = pass->place;
	struct worker *worker;
	int64_t in_ms = 0;

	if (place_reserved_worker(place, task) || !place_may_reserve(pass, 1))
		return;
	worker = first_with_room(pass, cand, &in_ms);
	if (!worker)
		return;
	worker->reserved = true;
	task->reserved = worker->name;
	task->reserved_ms = place->now_ms;
	log_info("room-kept id=%s step=%u run=%d worker=%s tasks=%d "
		 "in_ms=%" G_GINT64_FORMAT " away_ms=%" G_GINT64_FORMAT,
		 cand->job->id, cand->step, task->run, worker->name,
		 worker->tasks, in_ms,
		 task->away_ms ? place->now_ms - task->away_ms : 0);
}

void place_keep_room(struct pass *pass, const struct candidate *cand,
		     struct job_task *task)
{
	if (has_waited(pass->place, cand, task))
		keep_room(pass, cand, task);
}

/* Workers kept for tasks of the step. */
static int32_t count_kept(const struct place *place, const struct job_pos *pos)
{
	const struct job_task *tasks =
		job_task_at(pos->job, pos->occurrence, pos->step, 0);
	int32_t count = 0;

	for (int32_t i = 0; i < pos->job->spec.steps[pos->step].count; i++)
		count += place_reserved_worker(place, &tasks[i]) != NULL;
	return count;
}

bool place_keep_elsewhere(const struct place *place, const struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	struct candidate cand = place_candidate(pos);
	struct pass pass;

	if (step->gang || crash_needs_quarantine(pos->task))
		return false;
	if (place_reserved_worker(place, pos->task) ||
	    count_kept(place, pos) >= MAX(step->may_miss, 1))
		return true;
	place_pass_begin(&pass, place);
	keep_room(&pass, &cand, pos->task);
	place_pass_end(&pass);
	return place_reserved_worker(place, pos->task) != NULL;
}

struct worker *place_kept_worker(const struct place *place,
				 const struct candidate *cand,
				 const struct job_task *task)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *worker = place_reserved_worker(place, task);

	return worker && place_fits(worker, step) &&
			       place_may_hold(cand, worker)
		       ? worker
		       : NULL;
}

bool place_kept_has_room(const struct place *place, const struct job_pos *pos)
{
	struct candidate cand = place_candidate(pos);

	return place_kept_worker(place, &cand, pos->task) != NULL;
}

void place_account_kept(const struct place *place, struct job *job)
{
	struct job_pos pos = { .job = job };

	if (!job->has_lasting || job_ended(job->state) || job->cancel_requested)
		return;
	while (job_next_task(&pos)) {
		struct worker *worker;

		if (!job->spec.steps[pos.step].long_running ||
		    crash_needs_quarantine(pos.task))
			continue;
		worker = place_reserved_worker(place, pos.task);
		if (worker)
			worker->reserved = true;
	}
}
