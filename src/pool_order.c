#include <string.h>

#include "log.h"
#include "pool_int.h"

enum {
	POOL_START_RETRY_MS = 400,
	/* Starts without an answer, at a worker and in all. An owner that is
	   slower than its pool otherwise adds to its own load by repeating
	   orders that it has no time to hear of. Those at the workers of a
	   data centre that is cut off must leave room for the others. */
	POOL_STARTS_AT_WORKER = 4,
	POOL_STARTS_UNDER_WAY = 256,
	POOL_STOP_RETRY_MS = 300,
	POOL_RENEW_WAIT_MS = 1000,
	/* For a worker whose tasks are to show their progress. */
	POOL_WATCH_WAIT_MS = 500,
	POOL_RENEW_GAP_MS = 30,
	/* For the append with the ends that the worker has told. */
	POOL_CURSOR_WAIT_MS = 250,
	POOL_RENEW_RETRY_MS = 250,
	/* A worker that is silent for so long gets no longer lease. */
	POOL_EXTEND_SILENT_MS = 2500,
	POOL_NO_ROOM_MS = 150,
	POOL_UNHEALTHY_MS = 1500,
	POOL_INVALID_MS = 1000
};

/* An order under way. */
struct sent {
	struct pool *pool;
	uint32_t tenure; /* its number */
	char worker[LIMIT_NAME_BYTES];
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	int64_t sent_ms;
};

static struct sent *sent_new(struct pool *pool, const char *worker)
{
	struct sent *sent = g_new0(struct sent, 1);

	sent->pool = pool;
	sent->tenure = pool->tenure.number;
	sent->sent_ms = pool_now_ms(pool);
	g_strlcpy(sent->worker, worker, sizeof(sent->worker));
	return sent;
}

static void fenced_off(struct pool *pool, const char *worker)
{
	log_warn("order-fenced pool=%s worker=%s fence=%" G_GINT64_FORMAT,
		 pool->name, worker, pool->tenure.fence);
	ownership_lose(&pool->tenure, "a worker has seen a higher fence");
}

void pool_stop_task(struct pool *pool, struct job_pos *pos)
{
	struct worker *worker =
		worker_find(pool->env->workers, pos->task->worker);
	char name[JOB_TASK_NAME_BYTES];

	pos->task->phase = PHASE_STOPPING;
	pos->task->since_ms = pool_now_ms(pool);
	job_task_name(pos, name, sizeof(name));
	if (worker)
		pool_send_stop(pool, worker, name, pos->task->run);
}

/*
 * Frees a task whose start was refused. If an earlier order of the run had no
 * answer, it may still be carried out; then the worker is first told to stop
 * the run, after which it starts it no more.
 */
static void unplace(struct pool *pool, struct job_pos *pos, int64_t hold_ms)
{
	pos->task->hold_until_ms = pool_now_ms(pool) + hold_ms;
	if (pos->task->open_orders)
		pool_stop_task(pool, pos);
	else
		pool_end(pool, pos, END_STOPPED, NULL);
}

/* An answer of any kind shows that the worker is in reach. */
static void note_answer(struct pool *pool, const char *name,
			enum order_outcome outcome)
{
	struct worker *worker = worker_find(pool->env->workers, name);

	if (worker && outcome != ORDER_UNKNOWN)
		worker->open_since_ms = 0;
}

static void act_on_start(struct sent *sent, enum order_outcome outcome,
			 struct job_pos *pos)
{
	struct pool *pool = sent->pool;
	struct worker *worker = worker_find(pool->env->workers, sent->worker);
	int64_t now_ms = pool_now_ms(pool);

	switch (outcome) {
	case ORDER_OK:
		pos->task->phase = PHASE_RUNNING;
		pos->task->since_ms = now_ms;
		return;
	case ORDER_UNKNOWN:
	case ORDER_LATE:
		/* Sent again, under the same number. */
		return;
	case ORDER_OLD:
		/* An earlier order of this run was carried out, and the run
		   has ended; the next report tells how. */
		pos->task->phase = PHASE_RUNNING;
		pos->task->since_ms = now_ms;
		return;
	case ORDER_NO_ROOM:
		unplace(pool, pos, 0);
		if (worker)
			worker->avoid_until_ms = now_ms + POOL_NO_ROOM_MS;
		break;
	case ORDER_UNHEALTHY:
		unplace(pool, pos, 0);
		if (worker)
			worker->avoid_until_ms = now_ms + POOL_UNHEALTHY_MS;
		break;
	case ORDER_INVALID:
		unplace(pool, pos, POOL_INVALID_MS);
		break;
	default:
		unplace(pool, pos, 0);
		break;
	}
	pool->env->counts.starts_refused++;
	log_info("start-refused task=%s run=%d worker=%s why=%s", sent->task,
		 sent->run, sent->worker, order_name(outcome));
}

static void start_ended(struct pool *pool, const char *name)
{
	struct worker *worker = worker_find(pool->env->workers, name);

	pool->starting--;
	if (worker)
		worker->starting--;
}

static void on_start(void *arg, enum order_outcome outcome)
{
	struct sent *sent = arg;
	struct pool *pool = sent->pool;
	struct job_pos pos;

	if (sent->tenure != pool->tenure.number) {
		g_free(sent);
		return;
	}
	note_answer(pool, sent->worker, outcome);
	start_ended(pool, sent->worker);
	histo_add(&pool->env->start_ms, pool_now_ms(pool) - sent->sent_ms);
	if (outcome == ORDER_FENCED)
		fenced_off(pool, sent->worker);
	else if (job_task_find(pool->env->jobs, sent->task, &pos) &&
		 pos.task->state == TASK_PLACED && pos.task->run == sent->run) {
		if (outcome != ORDER_UNKNOWN)
			pos.task->open_orders--;
		if (pos.task->phase == PHASE_STARTING)
			act_on_start(sent, outcome, &pos);
	}
	g_free(sent);
}

static void send_start(struct pool *pool, struct job_pos *pos,
		       struct worker *worker)
{
	struct sent *sent = sent_new(pool, worker->entry.id);
	int64_t now_ms = sent->sent_ms;
	struct order_start start = {
		.task = sent->task,
		.run = pos->task->run,
		.text = pos->job->spec.text,
		.checkpoint = pos->task->checkpoint,
		.until_ms =
			worker_clock_ms(worker, now_ms) + pool->env->lease_ms,
		.fence = pool->tenure.fence,
	};

	job_task_name(pos, sent->task, sizeof(sent->task));
	sent->run = pos->task->run;
	pos->task->open_orders++;
	pos->task->since_ms = now_ms;
	pool->starting++;
	worker->starting++;
	if (!worker->open_since_ms)
		worker->open_since_ms = now_ms;
	worker->lease_end_ms =
		MAX(worker->lease_end_ms,
		    worker_lease_bound_ms(now_ms, pool->env->lease_ms));
	pool->env->counts.starts_sent++;
	pool->env->orders->start(pool->env->orders->io, &worker->entry, &start,
				 on_start, sent);
}

static bool start_due(const struct job_task *task, int64_t now_ms)
{
	return task->state == TASK_PLACED && task->phase == PHASE_STARTING &&
	       (!task->since_ms ||
		now_ms - task->since_ms >= POOL_START_RETRY_MS);
}

void pool_send_starts(struct pool *pool, struct job *job)
{
	int64_t now_ms = pool_now_ms(pool);
	struct job_pos pos = { .job = job };

	if (job_ended(job->state) || job->cancel_asked || !pool_may_order(pool))
		return;
	while (job_next_task(&pos)) {
		struct worker *worker;

		if (!start_due(pos.task, now_ms))
			continue;
		worker = worker_find(pool->env->workers, pos.task->worker);
		if (pool->starting >= POOL_STARTS_UNDER_WAY)
			return;
		/* Each start extends the lease; one to a worker that does not
		   answer would keep its runs from being given up. */
		if (worker && worker->starting < POOL_STARTS_AT_WORKER &&
		    worker->clock_at_ms && !worker_is_gone(worker) &&
		    now_ms - worker->heard_ms < POOL_EXTEND_SILENT_MS)
			send_start(pool, &pos, worker);
	}
}

static void on_stop(void *arg, enum order_outcome outcome)
{
	struct sent *sent = arg;
	struct pool *pool = sent->pool;
	struct job_pos pos;

	if (sent->tenure != pool->tenure.number) {
		g_free(sent);
		return;
	}
	if (outcome == ORDER_FENCED)
		fenced_off(pool, sent->worker);
	else if (outcome == ORDER_OK &&
		 job_task_find(pool->env->jobs, sent->task, &pos) &&
		 pos.task->state == TASK_PLACED && pos.task->run == sent->run &&
		 pos.task->phase == PHASE_STOPPING && !pos.task->stop_ok) {
		/* A report that is asked for from now on tells the rest. */
		pos.task->stop_ok = true;
		pos.task->since_ms = pool_now_ms(pool);
	}
	g_free(sent);
}

void pool_send_stop(struct pool *pool, struct worker *worker, const char *task,
		    int32_t run)
{
	struct sent *sent;

	if (!pool_may_order(pool))
		return;
	sent = sent_new(pool, worker->entry.id);
	g_strlcpy(sent->task, task, sizeof(sent->task));
	sent->run = run;
	pool->env->orders->stop(pool->env->orders->io, &worker->entry, task,
				run, pool->tenure.fence, on_stop, sent);
}

void pool_repeat_stops(struct pool *pool, struct job *job)
{
	struct job_pos pos = { .job = job };
	int64_t now_ms = pool_now_ms(pool);

	while (job_next_task(&pos))
		if (pos.task->state == TASK_PLACED &&
		    pos.task->phase == PHASE_STOPPING && !pos.task->stop_ok &&
		    now_ms - pos.task->since_ms >= POOL_STOP_RETRY_MS)
			pool_stop_task(pool, &pos);
}

static void on_renew(void *arg, enum order_outcome outcome,
		     const struct worker_report *report)
{
	struct sent *sent = arg;
	struct pool *pool = sent->pool;
	struct worker *worker = worker_find(pool->env->workers, sent->worker);
	int64_t now_ms = pool_now_ms(pool);

	if (sent->tenure != pool->tenure.number || !worker) {
		g_free(sent);
		return;
	}
	worker->renewing = false;
	note_answer(pool, sent->worker, outcome);
	worker->next_renew_ms = now_ms + POOL_RENEW_RETRY_MS;
	if (outcome == ORDER_OK) {
		worker->renew_failures = 0;
		pool_take_report(pool, worker, report, sent->sent_ms);
		worker->next_renew_ms =
			now_ms + (worker->cursor == worker->cursor_seen
					  ? POOL_RENEW_GAP_MS
					  : POOL_CURSOR_WAIT_MS);
	} else if (outcome == ORDER_FENCED) {
		fenced_off(pool, sent->worker);
	} else {
		pool->env->counts.renewals_failed++;
		if (!worker->renew_failures++)
			log_info("renewal-failed pool=%s worker=%s why=%s",
				 pool->name, sent->worker, order_name(outcome));
	}
	g_free(sent);
}

/* A worker on which something runs, or may be started. */
static bool needs_renewal(const struct pool *pool, const struct worker *worker)
{
	return !strcmp(worker->entry.pool, pool->name) &&
	       (worker->listed || worker_has_work(worker));
}

/*
 * Whether the worker is surely still in the life that has reported last. One
 * that did not answer may have started anew, and counts its ends anew; a
 * cursor of before would acknowledge ends that nobody has stored.
 */
static bool same_life(const struct worker *worker)
{
	return !worker->renew_failures &&
	       (!worker->entry.born_ms ||
		worker->entry.born_ms == worker->life_ms);
}

/* Whether tasks that end by themselves are placed there. */
static bool is_watched(const struct worker *worker)
{
	return worker->tasks > worker->lasting;
}

static void renew(struct pool *pool, struct worker *worker, int64_t now_ms)
{
	struct sent *sent = sent_new(pool, worker->entry.id);
	struct order_renew renew = {
		.fence = pool->tenure.fence,
		.cursor = same_life(worker) ? worker->cursor : 0,
	};

	if (worker->reached && !worker->renew_failures &&
	    now_ms - worker->heard_ms < POOL_EXTEND_SILENT_MS) {
		renew.until_ms =
			worker_clock_ms(worker, now_ms) + pool->env->lease_ms;
		renew.wait_ms = is_watched(worker) ? POOL_WATCH_WAIT_MS
						   : POOL_RENEW_WAIT_MS;
		worker->lease_end_ms =
			MAX(worker->lease_end_ms,
			    worker_lease_bound_ms(now_ms, pool->env->lease_ms));
	}
	worker->renewing = true;
	pool->env->counts.renewals++;
	pool->env->orders->renew(pool->env->orders->io, &worker->entry, &renew,
				 on_renew, sent);
}

void pool_renew(struct pool *pool)
{
	struct worker_table *workers = pool->env->workers;
	int64_t now_ms = pool_now_ms(pool);

	if (!pool_may_order(pool))
		return;
	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];

		if (needs_renewal(pool, worker) && !worker->renewing &&
		    now_ms >= worker->next_renew_ms)
			renew(pool, worker, now_ms);
	}
}
