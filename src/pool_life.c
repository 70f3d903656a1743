#include "pool_life.h"

#include "log.h"

/* Longest that an order waits for a worker that is down: a renewal whose answer
   may wait for a run to end. */
enum { POOL_ORDER_WAIT_MS = 2000 };

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
	return pool_longest_lease_end_ms(pool, worker->life_seen_ms +
						       POOL_ORDER_WAIT_MS);
}

bool pool_may_run_in_next_life(const struct worker *worker,
			       const struct job_task *task)
{
	bool asked = task->unanswered_starts || task->phase == PHASE_UNKNOWN;

	return asked && task->worker_boot_ms && worker->entry.boot_ms &&
	       job_boot_tag(task->worker_boot_ms) !=
		       job_boot_tag(worker->entry.boot_ms);
}

int64_t pool_next_life_extra_ms(const struct pool *pool)
{
	return POOL_ORDER_WAIT_MS + pool_longest_lease_end_ms(pool, 0) -
	       worker_lease_bound_ms(0, pool->env->lease_ms);
}

/*
 * Orders have a higher fence from now on. Under the present one, some were sent to
 * an earlier incarnation, which the worker may still execute.
 */
static void raise_fence(struct pool *pool, struct worker *worker,
			const char *why)
{
	int64_t now_ms = pool_now_ms(pool);

	worker->fence_accepted = false;
	worker->lease_end_ms = MAX(worker->lease_end_ms,
				   pool_longest_lease_end_ms(pool, now_ms));
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

bool pool_admit_report(struct pool *pool, struct worker *worker,
		       const struct worker_report *report, int64_t fence)
{
	bool other = report->boot_ms && worker->boot_ms &&
		     report->boot_ms != worker->boot_ms;

	if (other && worker->fence_accepted)
		raise_fence(pool, worker, "worker-restarted");
	return fence == pool_order_fence(pool, worker) &&
	       !worker->fences_used_up;
}

void pool_check_clock(struct pool *pool, struct worker *worker,
		      const struct pool_sent *sent, int64_t clock_ms)
{
	if (clock_ms >= 0 && clock_ms < sent->clock_ms &&
	    worker->fence_accepted && !pool_sent_is_outdated(sent))
		raise_fence(pool, worker, "clock-behind");
}
