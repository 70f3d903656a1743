#include "log.h"
#include "pool_int.h"

int64_t pool_lease_end_ms(const struct pool *pool, const char *id)
{
	const struct worker *worker = worker_find(pool->env->workers, id);
	int64_t earlier_owner_ms = worker_lease_bound_ms(
		ownership_earlier_end_ms(&pool->ownership) +
			pool->env->disconnected_ms,
		pool->env->lease_ms);
	int64_t bound_ms;

	if (bound_find_end(&pool->bound, id, &bound_ms))
		return worker && worker->fence_accepted
			       ? MIN(bound_ms, worker->lease_end_ms)
			       : bound_ms;
	if (!worker)
		return earlier_owner_ms;
	if (!worker->fence_accepted)
		return MAX(earlier_owner_ms, worker->lease_end_ms);
	return worker->lease_end_ms;
}

/*
 * Whether the run certainly ended when its worker died. While the worker may
 * return under its name, an unanswered start may still be executed by it; of a
 * run started by an earlier owner it is not known whether such orders exist.
 */
static bool ended_with_worker(const struct pool *pool,
			      const struct job_task *task)
{
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);

	if (!worker || !worker_is_dead(worker))
		return false;
	return worker_is_replaced(worker) ||
	       (!task->unanswered_starts && task->phase != PHASE_UNKNOWN);
}

/* Whether only this owner can have extended the lease of the task's worker. */
static bool has_accepted_fence(const struct pool *pool,
			       const struct job_task *task)
{
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);

	return worker && worker->fence_accepted;
}

static void end_if_lost(struct pool *pool, struct job_pos *pos, int64_t now_ms)
{
	int64_t end_ms = pool_lease_end_ms(pool, pos->task->worker);
	bool dead = ended_with_worker(pool, pos->task);

	if (pos->task->phase == PHASE_RECORDING ||
	    pos->task->phase == PHASE_STORING || (now_ms < end_ms && !dead))
		return;
	pool_note_lost_run(pool, pos);
	log_info("run-lost id=%s step=%u index=%u run=%d worker=%s why=%s "
		 "crashes=%d fenced=%d lease_over_ms=%" G_GINT64_FORMAT
		 " owner_ms=%" G_GINT64_FORMAT,
		 pos->job->id, pos->step, pos->index, pos->task->run,
		 pos->task->worker, dead ? "worker-gone" : "lease-over",
		 pos->task->crashes, has_accepted_fence(pool, pos->task),
		 now_ms - end_ms, now_ms - pool->ownership.acquired_ms);
	pool_end_run(pool, pos, END_LAPSED, NULL);
}

void pool_end_lost(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;
	int64_t now_ms = pool_now_ms(pool);

	pool_note_dead_workers(pool);
	for (guint i = 0; i < jobs->live->len; i++) {
		struct job_pos pos = { .job = jobs->live->pdata[i] };

		if (!share_has_job(&pool->share, pos.job))
			continue;
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED)
				end_if_lost(pool, &pos, now_ms);
	}
}
