#include "pool_life.h"

#include "log.h"

enum {
	/* Longest time after its sending at which an order that was not answered
	   may still be executed, by whichever incarnation of the worker is up. */
	POOL_ORDER_LATE_MS = 12000,
	/* Of a fence, kept for workers that are known to have started again. */
	POOL_RESTART_RAISES = 96
};

int64_t pool_order_fence(const struct pool *pool, const struct worker *worker)
{
	return ownership_raised_fence(&pool->ownership, worker->fence_raises);
}

int64_t pool_longest_lease_end_ms(const struct pool *pool, int64_t now_ms)
{
	return worker_lease_bound_ms(
		now_ms, MAX(pool->env->lease_ms, pool->env->lease_max_ms));
}

int64_t pool_earlier_life_end_ms(const struct pool *pool,
				 const struct worker *worker)
{
	int64_t executed_ms = pool->ownership.acquired_ms;

	if (worker)
		executed_ms = MIN(executed_ms,
				  worker->life_seen_ms + POOL_ORDER_LATE_MS);
	return pool_longest_lease_end_ms(pool, executed_ms);
}

/*
 * Upper bound of when an earlier owner has sent its last order that grants a lease to
 * the worker: it goes on with shorter ones for a full lease, and not beyond the end
 * that it has stored.
 */
static int64_t earlier_order_ms(const struct pool *pool, const char *worker)
{
	int64_t sent_ms = ownership_earlier_end_ms(&pool->ownership) +
			  pool->env->disconnected_ms + pool->env->lease_ms;
	int64_t end_ms;

	if (bound_find_end(&pool->bound, worker, &end_ms))
		sent_ms = MIN(sent_ms, end_ms);
	return sent_ms;
}

int64_t pool_latest_order_ms(int64_t sent_ms)
{
	return sent_ms + POOL_ORDER_LATE_MS;
}

int64_t pool_late_start_ms(const struct pool *pool, const struct job_task *task)
{
	if (!task->unanswered_starts)
		return 0;
	return POOL_ORDER_LATE_MS +
	       (task->start_sent_ms ? task->start_sent_ms
				    : earlier_order_ms(pool, task->worker));
}

int64_t pool_late_run_end_ms(const struct pool *pool,
			     const struct job_task *task)
{
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);
	int64_t executed_ms = pool_late_start_ms(pool, task);

	if (!executed_ms)
		return 0;
	if (worker && worker->lease_sent_ms)
		executed_ms = MAX(executed_ms,
				  worker->lease_sent_ms + POOL_ORDER_LATE_MS);
	return pool_longest_lease_end_ms(pool, executed_ms);
}

void pool_settle_start(struct pool *pool, const struct job_pos *pos,
		       int64_t asked_ms)
{
	struct job_task *task = pos->task;
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);

	if (asked_ms >= pool_late_start_ms(pool, task))
		task->unanswered_starts = 0;
	if (task->unanswered_starts || task->start_settled ||
	    task->phase != PHASE_RUNNING)
		return;
	/* The next owner goes by the incarnation that the registry has. */
	if (!worker || !worker->fence_accepted ||
	    !worker_has_current_entry(worker))
		return;
	task->start_settled = true;
	job_touch(pos->job, task);
}

/* Orders have a higher fence from now on; the worker may yet execute some of before. */
static void raise_fence(struct pool *pool, struct worker *worker,
			const char *why)
{
	int64_t now_ms = pool_now_ms(pool);

	worker->fence_accepted = false;
	if (!ownership_raise(&pool->ownership, worker->fence_raises + 1)) {
		if (!worker->fences_used_up)
			log_warn("fences-used-up pool=%s worker=%s raises=%u",
				 pool->name, worker->entry.id,
				 worker->fence_raises);
		worker->fences_used_up = true;
		return;
	}
	worker->fence_raises++;
	worker->next_renew_ms = now_ms;
	log_info("fence-raised pool=%s worker=%s why=%s raises=%u "
		 "fence=%" G_GINT64_FORMAT " lease_left_ms=%" G_GINT64_FORMAT,
		 pool->name, worker->entry.id, why, worker->fence_raises,
		 pool_order_fence(pool, worker), worker->lease_end_ms - now_ms);
}

/*
 * Notes a restart; some orders were sent to the life before. They may be executed until
 * the worker accepts a raised fence.
 */
static void note_restart(struct pool *pool, struct worker *worker,
			 const char *why)
{
	int64_t executed_ms = MAX(pool_now_ms(pool),
				  worker->lease_sent_ms + POOL_ORDER_LATE_MS);

	worker->lease_end_ms =
		MAX(worker->lease_end_ms,
		    pool_longest_lease_end_ms(pool, executed_ms));
	if (worker->fence_accepted)
		raise_fence(pool, worker, why);
}

void pool_guard_silent(struct pool *pool, struct worker *worker)
{
	if (worker->fence_accepted &&
	    ownership_raises_left(&pool->ownership, worker->fence_raises) >
		    POOL_RESTART_RAISES)
		raise_fence(pool, worker, "worker-silent");
}

bool pool_is_registered_anew(const struct worker *worker)
{
	return !worker_has_current_entry(worker) &&
	       worker->life_seen_ms > worker->last_report_ms;
}

void pool_guard_registered(struct pool *pool, struct worker *worker)
{
	if (worker->fence_accepted && pool_is_registered_anew(worker))
		raise_fence(pool, worker, "worker-registered");
}

bool pool_admit_report(struct pool *pool, struct worker *worker,
		       const struct worker_report *report, int64_t fence)
{
	bool other = report->boot_ms && worker->boot_ms &&
		     report->boot_ms != worker->boot_ms;

	if (other && worker->fence_accepted)
		note_restart(pool, worker, "worker-restarted");
	return fence == pool_order_fence(pool, worker) &&
	       !worker->fences_used_up;
}

void pool_check_clock(struct pool *pool, struct worker *worker,
		      const struct pool_sent *sent, int64_t clock_ms)
{
	if (clock_ms >= 0 && clock_ms < sent->clock_ms &&
	    sent->sent_ms >= worker->last_report_ms)
		note_restart(pool, worker, "clock-behind");
}
