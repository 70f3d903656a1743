#include "log.h"
#include "pool_int.h"

enum {
	/* A long-running task is usually at work again well within this time. */
	POOL_AWAY_MS = 3000,
	/* Shorter absences are not logged, as those at each takeover. */
	POOL_AWAY_SHORT_MS = 1000,
	/* Between two looks at the finite tasks that wait, and two lines. */
	POOL_WAITS_MS = 1000
};

/* Workers of the share, by what keeps a task from being placed on them. */
struct room {
	uint32_t workers;
	uint32_t leaving; /* or draining */
	uint32_t silent;
	uint32_t slow;
	uint32_t avoided;
	uint32_t fenced;    /* have not accepted this owner's fence yet */
	uint32_t old_entry; /* of an earlier life of the worker */
	uint32_t usable;
	/* Of the usable ones: */
	uint32_t reserved; /* kept for other tasks */
	uint32_t unknown;  /* with runs of jobs that are not known */
	uint32_t cpu_full;
	uint32_t mem_full;
	uint32_t fitting;
	int64_t cpu_milli;
	int64_t cpu_used_milli;
};

/* Ready finite tasks that have waited for POOL_AWAY_MS. */
struct waits {
	uint32_t tasks;
	struct job_pos longest;
};

static void add_usable(const struct place *place, const struct job_pos *pos,
		       const struct worker *worker, struct room *room)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct worker_entry *entry = &worker->entry;

	room->usable++;
	room->reserved += worker->reserved;
	room->unknown += worker->unknown_runs > 0;
	room->cpu_milli += entry->cpu_milli;
	room->cpu_used_milli += worker->cpu_used_milli;
	room->cpu_full +=
		entry->cpu_milli - worker->cpu_used_milli < step->cpu_milli;
	room->mem_full += entry->mem_mib - worker->mem_used_mib < step->mem_mib;
	room->fitting += place_has_room(place, pos, worker);
}

static void count_room(const struct place *place, const struct job_pos *pos,
		       struct room *room)
{
	const GPtrArray *workers = share_workers(&place->share, place->workers);

	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];

		if (!worker->listed)
			continue;
		room->workers++;
		room->leaving += worker->leaving || worker->entry.draining;
		room->silent += worker_is_silent(worker, place->now_ms);
		room->slow += worker->slow_until_ms != 0;
		room->avoided += place->now_ms < worker->avoid_until_ms;
		room->fenced += !worker->fence_accepted;
		room->old_entry += !worker_has_current_entry(worker);
		if (place_usable(place, worker))
			add_usable(place, pos, worker, room);
	}
}

static void log_away(const struct place *place, const struct job_pos *pos,
		     const struct room *room, const char *what, uint32_t tasks)
{
	const struct job_task *task = pos->task;
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct worker *worker =
		task->worker ? worker_find(place->workers, task->worker) : NULL;
	char name[JOB_TASK_NAME_BYTES];

	job_task_name(pos, name, sizeof(name));
	log_info("%s task=%s tasks=%u run=%d state=%d phase=%d "
		 "away_ms=%" G_GINT64_FORMAT " worker=%s known=%d failures=%d "
		 "cpu=%d mem=%d per_worker=%d workers=%u leaving=%u silent=%u "
		 "slow=%u avoided=%u fenced=%u old_entry=%u usable=%u "
		 "reserved=%u unknown=%u cpu_full=%u mem_full=%u fitting=%u",
		 what, name, tasks, task->run, task->state, task->phase,
		 place->now_ms - task->away_ms,
		 task->worker ? task->worker : "-", worker != NULL,
		 worker ? worker->renew_failures : 0, step->cpu_milli,
		 step->mem_mib, step->max_per_worker, room->workers,
		 room->leaving, room->silent, room->slow, room->avoided,
		 room->fenced, room->old_entry, room->usable, room->reserved,
		 room->unknown, room->cpu_full, room->mem_full, room->fitting);
}

static void log_back(const struct place *place, const struct job_pos *pos)
{
	char name[JOB_TASK_NAME_BYTES];

	job_task_name(pos, name, sizeof(name));
	log_info("task-at-work task=%s run=%d worker=%s "
		 "away_ms=%" G_GINT64_FORMAT,
		 name, pos->task->run, pos->task->worker,
		 place->now_ms - pos->task->away_ms);
}

static void note_task(const struct place *place, const struct job_pos *pos)
{
	struct job_task *task = pos->task;
	struct room room = { 0 };
	bool at_work =
		task->state == TASK_PLACED && task->phase == PHASE_RUNNING;

	if (at_work) {
		if (task->away_ms &&
		    place->now_ms - task->away_ms >= POOL_AWAY_SHORT_MS)
			log_back(place, pos);
		task->away_ms = 0;
		task->away_logged = false;
		return;
	}
	if (!task->away_ms)
		task->away_ms = place->now_ms;
	if (task->away_logged || place->now_ms - task->away_ms < POOL_AWAY_MS)
		return;
	task->away_logged = true;
	count_room(place, pos, &room);
	log_away(place, pos, &room, "task-away", 1);
}

/* Whether the task's turn has come and no worker has confirmed its run. */
static bool waits(const struct place *place, const struct job_pos *pos)
{
	const struct job_task *task = pos->task;

	return task->state != TASK_DONE &&
	       !(task->state == TASK_PLACED && task->phase == PHASE_RUNNING) &&
	       job_due_ms(pos->job, pos->occurrence) <= place->wall_ms &&
	       job_step_ready(pos->job, pos->occurrence, pos->step);
}

static void note_wait(const struct place *place, const struct job_pos *pos,
		      struct waits *found)
{
	struct job_task *task = pos->task;

	if (!waits(place, pos)) {
		task->away_ms = 0;
		return;
	}
	if (!task->away_ms)
		task->away_ms = place->now_ms;
	if (place->now_ms - task->away_ms < POOL_AWAY_MS)
		return;
	if (!found->tasks || task->away_ms < found->longest.task->away_ms)
		found->longest = *pos;
	found->tasks++;
}

/*
 * Whether the wait needs an explanation: there is room, or the task has been
 * placed, or few workers get tasks. A pool that is full explains itself.
 */
static bool is_unexplained(const struct waits *found, const struct room *room)
{
	return found->longest.task->state == TASK_PLACED || room->fitting ||
	       2 * room->usable < room->workers ||
	       2 * room->cpu_used_milli < room->cpu_milli;
}

static void log_waits(const struct place *place, const struct waits *found)
{
	struct room room = { 0 };

	if (!found->tasks)
		return;
	count_room(place, &found->longest, &room);
	if (is_unexplained(found, &room))
		log_away(place, &found->longest, &room, "task-waits",
			 found->tasks);
}

void pool_note_away(struct pool *pool, const struct place *place)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;
	bool look = place->now_ms >= pool->next_waits_ms;
	struct waits found = { 0 };

	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if ((!look && !pos.job->has_lasting) ||
		    job_ended(pos.job->state) || pos.job->cancel_requested)
			continue;
		while (job_next_task(&pos))
			if (pos.job->spec.steps[pos.step].long_running)
				note_task(place, &pos);
			else if (look)
				note_wait(place, &pos, &found);
	}
	if (!look)
		return;
	pool->next_waits_ms = place->now_ms + POOL_WAITS_MS;
	log_waits(place, &found);
}
