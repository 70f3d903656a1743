#include <string.h>

#include "avail.h"
#include "log.h"
#include "pool_int.h"

/*
 * How long a long-running task stays on a worker that leaves. Without a limit, a
 * full pool would keep its hosts from their restart.
 */
enum {
	/* No other worker has room; one is kept for the task from then on. */
	POOL_KEEP_ROOM_MS = 1000,
	/* None can be kept. A host that is moved to the pool meanwhile arrives
	   in about half of this time. */
	POOL_ROOM_WAIT_MS = 4000,
	/* The one that is kept has no room yet. */
	POOL_KEPT_WAIT_MS = 10000
};

/* Tasks of the step that are to be placed again. */
static int32_t count_unplaced(const struct job_pos *pos)
{
	const struct job_task *tasks =
		job_task_at(pos->job, pos->occurrence, pos->step, 0);
	int32_t count = 0;

	for (int32_t i = 0; i < pos->job->spec.steps[pos->step].count; i++)
		count += tasks[i].state == TASK_WAITING ||
			 (tasks[i].state == TASK_PLACED &&
			  tasks[i].phase == PHASE_STOPPING);
	return count;
}

/* Whether the budgets of all long-running tasks on the worker allow a stop. */
static bool can_be_emptied(const struct place *place,
			   const struct worker *worker)
{
	const GPtrArray *jobs = share_jobs(&place->share, place->jobs)->live;

	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if (!pos.job->has_lasting || job_ended(pos.job->state))
			continue;
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED &&
			    pos.task->worker == worker->name &&
			    pos.task->phase == PHASE_RUNNING &&
			    pos.job->spec.steps[pos.step].long_running &&
			    !avail_may_stop(place->workers, &pos,
					    place->now_ms))
				return false;
	}
	return true;
}

static bool has_room_elsewhere(const struct place *place,
			       const struct job_pos *pos)
{
	return place_kept_has_room(place, pos) ||
	       (place_free_slots(place, pos) > count_unplaced(pos) &&
		place_reserve(place, pos));
}

/*
 * Whether the task can start elsewhere, or cannot wait until it can. Without
 * room elsewhere its stop is of use only if the host can leave then, which other
 * tasks keep it from; one that has waited for a while has a worker kept for it.
 */
static bool may_leave(const struct place *place, const struct job_pos *pos,
		      const struct worker *worker)
{
	int64_t waited_ms = place->now_ms - pos->task->stop_wanted_ms;
	bool kept;

	if (worker->entry.draining || has_room_elsewhere(place, pos))
		return true;
	kept = waited_ms >= POOL_KEEP_ROOM_MS &&
	       place_keep_elsewhere(place, pos);
	return waited_ms >= (kept ? POOL_KEPT_WAIT_MS : POOL_ROOM_WAIT_MS) &&
	       worker->tasks == worker->long_running_tasks &&
	       can_be_emptied(place, worker);
}

/* Keeps room for a stopped task from its stop on. */
static void keep_for_stopping(const struct place *place,
			      const struct job_pos *pos)
{
	if (!place_kept_has_room(place, pos) && !place_reserve(place, pos))
		place_keep_elsewhere(place, pos);
}

/* Keeps room for stopped tasks until they can be placed. */
static void reserve_for_stopping(const struct pool *pool,
				 const struct place *place)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if (!pos.job->has_lasting)
			continue;
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED &&
			    pos.task->phase == PHASE_STOPPING &&
			    pos.job->spec.steps[pos.step].long_running)
				keep_for_stopping(place, &pos);
	}
}

/*
 * Stops long-running tasks on workers that are draining or leaving, as far as
 * the availability budget of the tasks and the room elsewhere allow.
 */
static void stop_long_running(struct pool *pool, const struct place *place,
			      struct job *job)
{
	struct job_pos pos = { .job = job };
	int64_t now_ms = place->now_ms;

	while (job_next_task(&pos)) {
		struct worker *worker;
		char name[JOB_TASK_NAME_BYTES];

		if (pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_RUNNING ||
		    !job->spec.steps[pos.step].long_running)
			continue;
		worker = worker_find(pool->env->workers, pos.task->worker);
		if (!worker || !(worker->leaving || worker->entry.draining))
			continue;
		if (!pos.task->stop_wanted_ms)
			pos.task->stop_wanted_ms = now_ms;
		if (!avail_may_stop(pool->env->workers, &pos, now_ms) ||
		    !may_leave(place, &pos, worker))
			continue;
		job_task_name(&pos, name, sizeof(name));
		log_info("task-moved-off task=%s run=%d worker=%s why=%s", name,
			 pos.task->run, worker->entry.id,
			 worker->entry.draining ? "draining" : "leaving");
		pos.task->moved_off = true;
		pool_stop_task(pool, &pos);
	}
}

/*
 * Whether a long-running task waits for room whose run the worker may have lost.
 * The worker then is not as good as empty: if the runs of all hosts that leave are
 * lost at once, as by a while without any node, no host is left for the tasks, and
 * it can take long until the first one may be restarted.
 */
static bool has_lost_task(const struct pool *pool, const struct worker *worker)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;
	int64_t now_ms = pool_now_ms(pool);

	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if (!pos.job->has_lasting || job_ended(pos.job->state) ||
		    pos.job->cancel_requested)
			continue;
		while (job_next_task(&pos))
			if (place_may_have_lost(worker, pos.task) &&
			    pos.job->spec.steps[pos.step].long_running &&
			    pos.task->away_ms &&
			    now_ms - pos.task->away_ms < POOL_ROOM_WAIT_MS)
				return true;
	}
	return false;
}

static bool is_empty(const struct pool *pool, const struct worker *worker)
{
	return !job_placed_at(share_jobs(&pool->share, pool->env->jobs),
			      worker->name);
}

static void store_host_drained(struct pool *pool, struct host_plan *plan)
{
	struct host_plan drained = *plan;
	char key[LIMIT_NAME_BYTES + 2];
	size_t len;
	char *record;

	drained.step = HOST_DRAINED;
	plan->drained_number = plan->number;
	record = host_plan_record(&drained, &len);
	g_snprintf(key, sizeof(key), "h:%s", plan->host);
	writer_add(pool_writer(pool), key, record, len, NULL, NULL);
	g_free(record);
	log_info("host-clear host=%s worker=%s", plan->host, plan->worker);
}

void pool_move_off_leaving(struct pool *pool, const struct place *place)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	reserve_for_stopping(pool, place);
	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];

		if (job->has_lasting && !job_ended(job->state))
			stop_long_running(pool, place, job);
	}
}

void pool_drain_workers(struct pool *pool)
{
	struct host_plans *plans = pool->env->plans;

	for (guint i = 0; i < plans->list->len; i++) {
		struct host_plan *plan = plans->list->pdata[i];
		const struct worker *worker;

		if (plan->step != HOST_DRAIN_REQUESTED ||
		    plan->drained_number == plan->number)
			continue;
		worker = pool_find_planned(pool, plan);
		if (worker && is_empty(pool, worker) &&
		    !has_lost_task(pool, worker))
			store_host_drained(pool, plan);
	}
}
