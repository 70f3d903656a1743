#include "log.h"
#include "pace.h"
#include "pool_int.h"
#include "pool_life.h"
#include "pool_sent.h"

enum {
	POOL_PACE_RETRY_MS = 300,
	/* While an order without an answer may still be carried out, the pace is
	   ordered again so often. */
	POOL_PACE_REPEAT_MS = 500,
	/* Orders in flight, to a worker and in all; with other orders to it, fewer
	   than the connections to one address. */
	POOL_PACE_MAX_PER_WORKER = 4,
	POOL_PACE_MAX = 64,
	POOL_PACE_MAX_NODE = 256, /* of all pools of the node */
	/* A task that has stood still for so long is moved to another worker. */
	POOL_PACE_STARVED_MS = 10000
};

/* What a report says of a worker's tasks. */
struct shared {
	int32_t fillers;
	int32_t tail_percent; /* of the worst task that serves; -1: none */
	int32_t tail_ms;
	int32_t target_ms;
};

static const struct job_placed *placed_at(const struct pool *pool,
					  const struct worker *worker)
{
	return job_placed_at(share_jobs(&pool->share, pool->env->jobs),
			     worker->name);
}

static void add_task(const struct worker *worker, const struct job_pos *pos,
		     struct shared *shared)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct job_task *task = pos->task;
	int64_t percent;

	shared->fillers += step->uses_idle_cpu;
	if (step->target_ms <= 0 || task->last_report != worker->reports)
		return;
	percent = MIN((int64_t)task->load_metric * 100 / step->target_ms,
		      INT32_MAX);
	/* Just above the target is too much, too. */
	if (percent == 100 && task->load_metric > step->target_ms)
		percent++;
	if (percent <= shared->tail_percent)
		return;
	shared->tail_percent = (int32_t)percent;
	shared->tail_ms = task->load_metric;
	shared->target_ms = step->target_ms;
}

static void send_paces(struct pool *pool, struct worker *worker);

static void on_pace(void *arg, enum order_outcome outcome, int64_t clock_ms)
{
	struct pool_sent *sent = arg;
	struct pool *pool = sent->pool;
	struct worker *worker;
	struct job_pos pos;

	(void)clock_ms;
	pool->env->flight.paces--;
	if (!pool_sent_is_current(sent)) {
		g_free(sent);
		return;
	}
	pool->pacing--;
	worker = worker_find(pool->env->workers, sent->worker);
	if (worker)
		worker->pacing--;
	pool_sent_note_answer(sent, outcome);
	if (outcome == ORDER_FENCED && !pool_sent_is_outdated(sent)) {
		pool_sent_handle_fenced(sent);
	} else if (job_task_find(pool->env->jobs, sent->task, &pos) &&
		   pos.task->state == TASK_PLACED &&
		   pos.task->run == sent->run) {
		struct job_task *task = pos.task;

		if (outcome == ORDER_OK && sent->sent_ms >= task->pace_ok_ms) {
			task->pace = sent->percent;
			task->pace_ok_ms = sent->sent_ms;
		} else if (outcome == ORDER_UNKNOWN) {
			task->pace_unsure_ms =
				pool_latest_order_ms(sent->sent_ms);
		} else if (outcome == ORDER_FENCED) {
			/* The fence was raised since: at once again. */
			task->pace_sent_ms = 0;
		}
	}
	/* Others of the worker may wait for their turn. */
	if (outcome == ORDER_OK && worker)
		send_paces(pool, worker);
	g_free(sent);
}

static bool is_due(const struct job_task *task, int32_t percent, int64_t now_ms)
{
	if (now_ms - task->pace_sent_ms < POOL_PACE_RETRY_MS)
		return false;
	return task->pace != percent ||
	       (now_ms < task->pace_unsure_ms &&
		now_ms - task->pace_sent_ms >= POOL_PACE_REPEAT_MS);
}

static void send_pace(struct pool *pool, struct worker *worker,
		      const struct job_pos *pos, int64_t now_ms)
{
	struct pool_sent *sent = pool_sent_new(pool, worker);

	job_task_name(pos, sent->task, sizeof(sent->task));
	sent->run = pos->task->run;
	sent->percent = worker->pace.percent;
	pos->task->pace_sent_ms = now_ms;
	pool->pacing++;
	pool->env->flight.paces++;
	worker->pacing++;
	pool->env->counts.paces_sent++;
	pool->env->orders->pace(pool->env->orders->io, &worker->entry,
				sent->task, sent->run, sent->percent,
				sent->fence, on_pace, sent);
}

static void send_paces(struct pool *pool, struct worker *worker)
{
	const struct job_placed *placed = placed_at(pool, worker);
	int64_t now_ms = pool_now_ms(pool);

	if (!pool_may_send_orders(pool) || !worker->fence_accepted)
		return;
	for (guint i = 0; placed && i < placed->tasks->len; i++) {
		const struct job_pos *pos =
			&g_array_index(placed->tasks, struct job_pos, i);

		if (pool->pacing >= POOL_PACE_MAX ||
		    pool->env->flight.paces >= POOL_PACE_MAX_NODE ||
		    worker->pacing >= POOL_PACE_MAX_PER_WORKER)
			return;
		if (pos->job->spec.steps[pos->step].uses_idle_cpu &&
		    pos->task->state == TASK_PLACED &&
		    pos->task->phase == PHASE_RUNNING &&
		    is_due(pos->task, worker->pace.percent, now_ms))
			send_pace(pool, worker, pos, now_ms);
	}
}

void pool_pace_report(struct pool *pool, struct worker *worker)
{
	const struct job_placed *placed = placed_at(pool, worker);
	struct shared shared = { .tail_percent = -1 };
	int64_t now_ms = pool_now_ms(pool);
	int32_t before = worker->pace.percent;

	for (guint i = 0; placed && i < placed->tasks->len; i++)
		add_task(worker,
			 &g_array_index(placed->tasks, struct job_pos, i),
			 &shared);
	worker->paced = shared.fillers && shared.tail_percent >= 0;
	if (pace_update(&worker->pace, shared.tail_percent, now_ms) &&
	    shared.fillers && shared.tail_percent >= 0) {
		pool->env->counts.paces_changed++;
		log_info("pace-changed worker=%s percent=%d was=%d "
			 "tasks=%d tail_ms=%d target_ms=%d",
			 worker->entry.id, worker->pace.percent, before,
			 shared.fillers, shared.tail_ms, shared.target_ms);
	}
	if (shared.fillers)
		send_paces(pool, worker);
}

/* Whether the worker's tasks that fill have stood still for long. */
static bool starves(const struct worker *worker, int64_t now_ms)
{
	return worker->paced && !worker->pace.percent &&
	       now_ms - worker->pace.changed_ms >= POOL_PACE_STARVED_MS;
}

static void move_off(struct pool *pool, const struct place *place,
		     const struct worker *worker)
{
	const struct job_placed *placed = placed_at(pool, worker);

	for (guint i = 0; placed && i < placed->tasks->len; i++) {
		struct job_pos pos =
			g_array_index(placed->tasks, struct job_pos, i);
		const struct job_step *step = &pos.job->spec.steps[pos.step];
		char name[JOB_TASK_NAME_BYTES];

		if (!step->uses_idle_cpu || step->gang ||
		    pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_RUNNING ||
		    !place_reserve(place, &pos))
			continue;
		job_task_name(&pos, name, sizeof(name));
		log_info("task-starved task=%s run=%d worker=%s percent=%d",
			 name, pos.task->run, worker->entry.id,
			 pos.task->percent);
		pool_stop_task(pool, &pos);
	}
}

void pool_move_off_paced(struct pool *pool, const struct place *place)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);

	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];

		if (starves(worker, place->now_ms))
			move_off(pool, place, worker);
	}
}
