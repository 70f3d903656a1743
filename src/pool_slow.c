#include <string.h>

#include "log.h"
#include "pool_int.h"
#include "speed.h"

/* A slow worker gets no new tasks for this long; its speed is then measured
   from the start. */
enum { POOL_AVOID_SLOW_MS = 3000 };
/* Rate of a worker whose runs take as long as estimated. */
#define POOL_ESTIMATED_RATE 1.0

/*
 * Median rate of the workers; the last one that was known while too few of them
 * are at work, as with a calm pool's last tasks on a worker that stands still.
 */
static double typical_rate(struct pool *pool)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);
	double *rates = g_new(double, workers->len + 1);
	uint32_t count = 0;
	double typical;

	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];

		if (worker->fence_accepted)
			rates[count++] = speed_rate(&worker->speed);
	}
	typical = speed_typical(rates, count);
	g_free(rates);
	if (typical > 0)
		pool->typical_rate = typical;
	return pool->typical_rate > 0 ? pool->typical_rate : -1;
}

static void update_slow(struct worker *worker, double typical, int64_t now_ms)
{
	double rate = speed_rate(&worker->speed);

	/* Without progress at all it is slow by any comparison. */
	if (speed_is_slow(rate, typical) || rate == 0) {
		if (!worker->slow_until_ms)
			log_info("worker-slow worker=%s rate=%.2f typical=%.2f",
				 worker->entry.id, rate, typical);
		worker->slow_until_ms = now_ms + POOL_AVOID_SLOW_MS;
	} else if (worker->slow_until_ms && now_ms >= worker->slow_until_ms) {
		worker->speed = (struct speed){ 0 };
		worker->slow_until_ms = 0;
	}
}

/* Stops a task on a slow worker if a restart elsewhere would end sooner and
   another worker has room. */
static void move_task_if_slow(struct pool *pool, const struct place *place,
			      struct job_pos *pos, double typical)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	struct worker *worker;
	char name[JOB_TASK_NAME_BYTES];

	if (pos->task->state != TASK_PLACED ||
	    pos->task->phase != PHASE_RUNNING || step->long_running ||
	    step->gang || step->uses_idle_cpu)
		return;
	worker = worker_find(pool->env->workers, pos->task->worker);
	if (!worker || !worker->slow_until_ms ||
	    !speed_restart_gains(speed_rate(&worker->speed),
				 typical > 0 ? typical : POOL_ESTIMATED_RATE,
				 pos->task->percent, step->estimate_ms,
				 step->checkpointing) ||
	    !place_reserve(place, pos))
		return;
	job_task_name(pos, name, sizeof(name));
	log_info("task-restarted task=%s run=%d worker=%s percent=%d "
		 "rate=%.2f typical=%.2f",
		 name, pos->task->run, worker->entry.id, pos->task->percent,
		 speed_rate(&worker->speed), typical);
	pool_stop_task(pool, pos);
}

void pool_move_off_slow(struct pool *pool, const struct place *place)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;
	double typical = typical_rate(pool);
	bool any = false;

	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		if (!worker->fence_accepted)
			continue;
		update_slow(worker, typical, place->now_ms);
		any |= worker->slow_until_ms != 0;
	}
	for (guint i = 0; any && i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if (job_ended(pos.job->state) || pos.job->cancel_requested)
			continue;
		while (job_next_task(&pos))
			move_task_if_slow(pool, place, &pos, typical);
	}
}
