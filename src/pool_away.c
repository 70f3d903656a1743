#include "log.h"
#include "pool_int.h"

enum {
	/* A long-running task is usually at work again well within this time. */
	POOL_AWAY_MS = 3000,
	/* Shorter absences are not logged, as those at each takeover. */
	POOL_AWAY_SHORT_MS = 1000
};

/* Workers of the share, by what keeps a task from being placed on them. */
struct room {
	uint32_t workers;
	uint32_t leaving; /* or draining */
	uint32_t silent;
	uint32_t slow;
	uint32_t avoided;
	uint32_t fenced; /* have not accepted this owner's fence yet */
	uint32_t usable;
	/* Of the usable ones: */
	uint32_t cpu_full;
	uint32_t mem_full;
	uint32_t fitting;
};

static void add_usable(const struct place *place, const struct job_pos *pos,
		       const struct worker *worker, struct room *room)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct worker_entry *entry = &worker->entry;

	room->usable++;
	room->cpu_full +=
		entry->cpu_milli - worker->cpu_used_milli < step->cpu_milli;
	room->mem_full += entry->mem_mib - worker->mem_used_mib < step->mem_mib;
	room->fitting += place_has_room(place, pos, worker);
}

static void count_room(const struct place *place, const struct job_pos *pos,
		       struct room *room)
{
	GPtrArray *workers = place->workers->list;

	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];

		if (!worker->listed || !share_has_worker(&place->share, worker))
			continue;
		room->workers++;
		room->leaving += worker->leaving || worker->entry.draining;
		room->silent += worker_is_silent(worker, place->now_ms);
		room->slow += worker->slow_until_ms != 0;
		room->avoided += place->now_ms < worker->avoid_until_ms;
		room->fenced += !worker->fence_accepted;
		if (place_usable(place, worker))
			add_usable(place, pos, worker, room);
	}
}

static void log_away(const struct place *place, const struct job_pos *pos)
{
	const struct job_task *task = pos->task;
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct worker *worker =
		task->worker ? worker_find(place->workers, task->worker) : NULL;
	struct room room = { 0 };
	char name[JOB_TASK_NAME_BYTES];

	count_room(place, pos, &room);
	job_task_name(pos, name, sizeof(name));
	log_info("task-away task=%s run=%d state=%d phase=%d "
		 "away_ms=%" G_GINT64_FORMAT " worker=%s known=%d failures=%d "
		 "cpu=%d mem=%d per_worker=%d workers=%u leaving=%u silent=%u "
		 "slow=%u avoided=%u fenced=%u usable=%u cpu_full=%u "
		 "mem_full=%u fitting=%u",
		 name, task->run, task->state, task->phase,
		 place->now_ms - task->away_ms,
		 task->worker ? task->worker : "-", worker != NULL,
		 worker ? worker->renew_failures : 0, step->cpu_milli,
		 step->mem_mib, step->max_per_worker, room.workers,
		 room.leaving, room.silent, room.slow, room.avoided,
		 room.fenced, room.usable, room.cpu_full, room.mem_full,
		 room.fitting);
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
	log_away(place, pos);
}

void pool_note_away(struct pool *pool, const struct place *place)
{
	struct job_store *jobs = pool->env->jobs;

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job_pos pos = { .job = jobs->live->pdata[i] };

		if (!share_has_job(&pool->share, pos.job) ||
		    job_ended(pos.job->state) || pos.job->cancel_requested)
			continue;
		while (job_next_task(&pos))
			if (pos.job->spec.steps[pos.step].long_running)
				note_task(place, &pos);
	}
}
