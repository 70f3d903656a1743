#include "host_view.h"
#include "log.h"
#include "pool_int.h"
#include "pool_life.h"

int64_t pool_lease_end_ms(const struct pool *pool, const char *id)
{
	const struct worker *worker = worker_find(pool->env->workers, id);
	int64_t earlier_owner_ms = worker_lease_bound_ms(
		ownership_earlier_end_ms(&pool->ownership) +
			pool->env->disconnected_ms,
		pool->env->lease_ms);
	int64_t bound_ms, end_ms;

	/* A run may outlast the stored end, see pool_late_run_end_ms. */
	if (worker && worker->reports)
		return worker->lease_end_ms;
	if (bound_find_end(&pool->bound, id, &bound_ms))
		return bound_ms;
	end_ms = MAX(earlier_owner_ms, pool_earlier_life_end_ms(pool, worker));
	return worker ? MAX(end_ms, worker->lease_end_ms) : end_ms;
}

/* What host lists that this owner has asked for say of a worker that is not known. */
static enum host_view_worker find_unknown(const struct pool *pool,
					  const char *id)
{
	return host_view_find(&pool->env->workers->host_view, id,
			      pool->ownership.acquired_ms, pool_now_ms(pool));
}

/* Likewise: whether the run has ended with its worker, and no late start can come. */
static bool ended_with_unknown(const struct pool *pool,
			       const struct job_task *task)
{
	enum host_view_worker found = find_unknown(pool, task->worker);

	return found == HOST_VIEW_GONE ||
	       (found == HOST_VIEW_DOWN && !task->unanswered_starts);
}

/*
 * Whether the run certainly ended when its worker died. While the worker may
 * return under its name, an unanswered start may still be executed by it.
 */
static bool ended_with_worker(const struct pool *pool,
			      const struct job_task *task)
{
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);

	if (!worker)
		return ended_with_unknown(pool, task);
	return worker_is_dead(worker) &&
	       (worker_is_replaced(worker) || !task->unanswered_starts);
}

/* Whether the task's worker has accepted the present fence of this owner. */
static bool has_accepted_fence(const struct pool *pool,
			       const struct job_task *task)
{
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);

	return worker && worker->fence_accepted;
}

/* Whether a list requested at seen_ms still tells that no worker is up at the host. */
static bool is_recent(const struct worker *worker, int64_t seen_ms,
		      int64_t now_ms)
{
	return seen_ms > worker->life_seen_ms && seen_ms > worker->up_ms &&
	       now_ms - seen_ms < HOST_LIST_AGE_MS;
}

/*
 * Whether an incarnation of the worker counts as up that may execute a late start. None
 * does while the host lists show the host down, or do not have it: to wait for those
 * would keep tasks from running again for 18 s and more.
 */
static bool may_be_up(const struct pool *pool, const char *id)
{
	const struct worker *worker = worker_find(pool->env->workers, id);
	int64_t now_ms = pool_now_ms(pool);

	if (!worker)
		return find_unknown(pool, id) == HOST_VIEW_UP;
	if (worker_is_dead(worker) &&
	    is_recent(worker, worker->dead_seen_ms, now_ms))
		return false;
	return !(worker_host_is_gone(worker) &&
		 is_recent(worker, worker->unlisted_seen_ms, now_ms));
}

/* Upper bound of the end of the task's run, unless the worker's lease is extended. */
static int64_t run_end_ms(const struct pool *pool, const struct job_task *task)
{
	int64_t end_ms = pool_lease_end_ms(pool, task->worker);

	if (may_be_up(pool, task->worker))
		end_ms = MAX(end_ms, pool_late_run_end_ms(pool, task));
	return end_ms;
}

static void end_if_lost(struct pool *pool, struct job_pos *pos, int64_t now_ms)
{
	int64_t end_ms = run_end_ms(pool, pos->task);
	bool dead = ended_with_worker(pool, pos->task);

	if (pos->task->phase == PHASE_RECORDING ||
	    pos->task->phase == PHASE_STORING || (now_ms < end_ms && !dead))
		return;
	pool_note_lost_run(pool, pos);
	log_info("run-lost id=%s step=%u index=%u run=%d worker=%s why=%s "
		 "crashes=%d fenced=%d lease_over_ms=%" G_GINT64_FORMAT
		 " owner_ms=%" G_GINT64_FORMAT
		 " unanswered=%d start_ms_ago=%" G_GINT64_FORMAT,
		 pos->job->id, pos->step, pos->index, pos->task->run,
		 pos->task->worker, dead ? "worker-gone" : "lease-over",
		 pos->task->crashes, has_accepted_fence(pool, pos->task),
		 now_ms - end_ms, now_ms - pool->ownership.acquired_ms,
		 pos->task->unanswered_starts,
		 pos->task->start_sent_ms ? now_ms - pos->task->start_sent_ms
					  : -1);
	pool_end_run(pool, pos, END_LAPSED, NULL);
}

/* Whether runs at the worker can have ended without a report. */
static bool may_have_lost(const struct pool *pool, const char *name,
			  int64_t now_ms)
{
	const struct worker *worker = worker_find(pool->env->workers, name);
	enum host_view_worker found;

	if (now_ms >= pool_lease_end_ms(pool, name))
		return true;
	if (worker)
		return worker_is_dead(worker);
	found = find_unknown(pool, name);
	return found == HOST_VIEW_DOWN || found == HOST_VIEW_GONE;
}

/* Tasks on workers whose lease is over, or that are dead; struct job_pos. */
static GArray *find_lost(const struct pool *pool, int64_t now_ms)
{
	const GPtrArray *lists =
		share_jobs(&pool->share, pool->env->jobs)->placed;
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct job_pos));

	for (guint i = 0; i < lists->len; i++) {
		const struct job_placed *placed = lists->pdata[i];

		if (placed->tasks->len &&
		    !worker_find(pool->env->workers, placed->worker))
			pool->env->workers->host_view.is_wanted = true;
		if (may_have_lost(pool, placed->worker, now_ms))
			g_array_append_vals(found, placed->tasks->data,
					    placed->tasks->len);
	}
	return found;
}

void pool_end_lost(struct pool *pool)
{
	int64_t now_ms = pool_now_ms(pool);
	GArray *found;

	pool_note_dead_workers(pool);
	found = find_lost(pool, now_ms);
	for (guint i = 0; i < found->len; i++) {
		struct job_pos *pos = &g_array_index(found, struct job_pos, i);

		if (pos->task->state == TASK_PLACED)
			end_if_lost(pool, pos, now_ms);
	}
	g_array_free(found, TRUE);
}
