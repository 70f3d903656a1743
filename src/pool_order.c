#include <string.h>

#include "log.h"
#include "pool_int.h"
#include "pool_life.h"
#include "pool_sent.h"

enum {
	POOL_START_RETRY_MS = 400,
	/* The least while answers get lost. */
	POOL_START_RETRY_LOSSY_MS = 100,
	/* Unanswered starts, per worker and in total. Without a bound, an
	   overloaded owner adds to its load by resending orders whose answers
	   it has not read yet. The bound per worker keeps the workers of a
	   disconnected data centre from using up the total. */
	POOL_MAX_STARTS_PER_WORKER = 4,
	/* The same while answers get lost: each lost one counts for as long as
	   its call lasts, 1 s. */
	POOL_MAX_STARTS_LOSSY = 6,
	POOL_MAX_STARTS = 256,
	/* The same of all pools of the node. */
	POOL_MAX_NODE_STARTS = 512,
	POOL_STOP_RETRY_MS = 300,
	/* Unanswered stops, per worker and of all pools of the node. Each answer
	   lets the next one go out, so that few suffice, and renewals and starts
	   do not wait behind them. A worker that does not answer gets few, as
	   its calls last for 1 s. */
	POOL_MAX_STOPS_PER_WORKER = 6,
	POOL_MAX_STOPS_SILENT = 2,
	POOL_MAX_NODE_STOPS = 192,
	/* Within this time a report lists the run of an unanswered start that
	   was executed. */
	POOL_WITHDRAW_MS = 1200,
	POOL_AVOID_NO_ROOM_MS = 150,
	POOL_AVOID_UNHEALTHY_MS = 1500,
	/* Before a task whose start was refused as invalid, or for want of a
	   ticket, is placed again; doubled with each refusal in a row. */
	POOL_HOLD_INVALID_MS = 1000,
	POOL_HOLD_INVALID_MAX_MS = 8000
};

void pool_stop_task(struct pool *pool, struct job_pos *pos)
{
	struct worker *worker =
		worker_find(pool->env->workers, pos->task->worker);
	char name[JOB_TASK_NAME_BYTES];

	if (pos->task->phase != PHASE_STOPPING)
		pos->task->stop_sent_ms = 0;
	pos->task->phase = PHASE_STOPPING;
	pos->task->since_ms = pool_now_ms(pool);
	if (!worker || !pool_may_send_stop(pool, worker))
		return;
	pos->task->stop_sent_ms = pool_now_ms(pool);
	job_task_name(pos, name, sizeof(name));
	pool_send_stop(pool, worker, name, pos->task->run);
}

/*
 * Returns a task whose start was refused to the waiting state. If an earlier
 * start order of the run is unanswered, it may still be executed; then the run
 * is stopped first, and a worker never starts a run that it was told to stop.
 */
static void return_to_waiting(struct pool *pool, struct job_pos *pos)
{
	if (pos->task->unanswered_starts)
		pool_stop_task(pool, pos);
	else
		pool_end_run(pool, pos, END_STOPPED, NULL);
}

/* Withdraws the start of a task that has lost its room, or stops its run. */
static void withdraw_task(struct pool *pool, struct job_pos *pos)
{
	struct worker *worker =
		worker_find(pool->env->workers, pos->task->worker);
	char name[JOB_TASK_NAME_BYTES];

	pool->env->counts.starts_withdrawn++;
	job_task_name(pos, name, sizeof(name));
	log_info("start-withdrawn task=%s run=%d worker=%s unanswered=%d", name,
		 pos->task->run, pos->task->worker,
		 pos->task->unanswered_starts);
	if (pos->task->phase != PHASE_STARTING) {
		pool_stop_task(pool, pos);
		return;
	}
	if (worker && !pos->task->unanswered_starts)
		place_release_room(worker, &pos->job->spec.steps[pos->step]);
	return_to_waiting(pool, pos);
}

void pool_withdraw_start(struct pool *pool, const struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	struct job_pos member = *pos;

	if (!step->gang) {
		withdraw_task(pool, &member);
		return;
	}
	for (int32_t i = 0; i < step->count; i++) {
		member.index = (uint32_t)i;
		member.task = job_task_at(pos->job, pos->occurrence, pos->step,
					  (uint32_t)i);
		if (member.task->state == TASK_PLACED &&
		    member.task->phase != PHASE_STOPPING)
			withdraw_task(pool, &member);
	}
}

static void handle_start_answer(struct pool_sent *sent,
				enum order_outcome outcome, struct job_pos *pos)
{
	struct pool *pool = sent->pool;
	struct worker *worker = worker_find(pool->env->workers, sent->worker);
	int64_t now_ms = pool_now_ms(pool);

	switch (outcome) {
	case ORDER_OK:
		job_run_confirmed(pos, now_ms);
		pool_settle_start(pool, pos, sent->sent_ms);
		return;
	case ORDER_UNKNOWN:
	case ORDER_LATE:
		/* Resent later under the same run number. */
		return;
	case ORDER_FENCED:
		/* It was sent before the fence was raised; not executed, and
		   resent in the same way. */
		return;
	case ORDER_OLD_RUN:
		/* An earlier order of this run was executed and the run has
		   ended; the next report has its outcome. */
		job_run_confirmed(pos, now_ms);
		return;
	case ORDER_NO_ROOM:
		return_to_waiting(pool, pos);
		if (worker)
			worker->avoid_until_ms = now_ms + POOL_AVOID_NO_ROOM_MS;
		break;
	case ORDER_UNHEALTHY:
		return_to_waiting(pool, pos);
		if (worker)
			worker->avoid_until_ms =
				now_ms + POOL_AVOID_UNHEALTHY_MS;
		break;
	case ORDER_INVALID:
		pool_hold_retry(pool, pos, ++pos->task->refusals,
				POOL_HOLD_INVALID_MS, POOL_HOLD_INVALID_MAX_MS,
				"start-invalid");
		return_to_waiting(pool, pos);
		break;
	default:
		return_to_waiting(pool, pos);
		break;
	}
	pool->env->counts.starts_refused++;
	log_info("start-refused task=%s run=%d worker=%s why=%s", sent->task,
		 sent->run, sent->worker, order_name(outcome));
}

static void release_start_slot(struct pool *pool, const char *name)
{
	struct worker *worker = worker_find(pool->env->workers, name);

	pool->starting--;
	if (worker)
		worker->starting--;
}

static void on_start(void *arg, enum order_outcome outcome, int64_t clock_ms)
{
	struct pool_sent *sent = arg;
	struct pool *pool = sent->pool;
	struct worker *worker;
	struct job_pos pos;

	pool->env->flight.starts--;
	if (!pool_sent_is_current(sent)) {
		g_free(sent);
		return;
	}
	pool_sent_note_answer(sent, outcome);
	release_start_slot(pool, sent->worker);
	histo_add(&pool->env->start_ms, pool_now_ms(pool) - sent->sent_ms);
	if (outcome != ORDER_UNKNOWN)
		rtt_add(&pool->env->start_rtt,
			pool_now_ms(pool) - sent->sent_ms);
	worker = worker_find(pool->env->workers, sent->worker);
	if (worker)
		pool_check_clock(pool, worker, sent, clock_ms);
	if (outcome == ORDER_FENCED && !pool_sent_is_outdated(sent))
		pool_sent_handle_fenced(sent);
	else if (job_task_find(pool->env->jobs, sent->task, &pos) &&
		 pos.task->state == TASK_PLACED && pos.task->run == sent->run) {
		if (outcome != ORDER_UNKNOWN && pos.task->unanswered_starts)
			pos.task->unanswered_starts--;
		if (pos.task->phase == PHASE_STARTING)
			handle_start_answer(sent, outcome, &pos);
	}
	g_free(sent);
}

static void send_start(struct pool *pool, struct job_pos *pos,
		       struct worker *worker)
{
	struct pool_sent *sent = pool_sent_new(pool, worker);
	int64_t now_ms = sent->sent_ms;
	struct order_start start = {
		.task = sent->task,
		.run = pos->task->run,
		.text = pos->job->spec.text,
		.checkpoint = job_checkpoint(pos),
		.until_ms = pool_grant_lease(pool, worker, now_ms),
		.fence = sent->fence,
	};

	job_task_name(pos, sent->task, sizeof(sent->task));
	sent->run = pos->task->run;
	pos->task->unanswered_starts++;
	pos->task->start_sent_ms = now_ms;
	pos->task->since_ms = now_ms;
	pool->starting++;
	pool->env->flight.starts++;
	worker->starting++;
	if (!worker->unanswered_since_ms)
		worker->unanswered_since_ms = now_ms;
	pool->env->counts.starts_sent++;
	pool->env->orders->start(pool->env->orders->io, &worker->entry, &start,
				 on_start, sent);
}

/* After which a start without an answer is sent again. */
static int64_t start_retry_ms(const struct pool_env *env)
{
	if (!pool_loses_answers(env))
		return POOL_START_RETRY_MS;
	return CLAMP(rtt_missed_ms(&env->start_rtt, 1),
		     POOL_START_RETRY_LOSSY_MS, POOL_START_RETRY_MS);
}

static int32_t max_starts_per_worker(const struct pool_env *env)
{
	return pool_loses_answers(env) ? POOL_MAX_STARTS_LOSSY
				       : POOL_MAX_STARTS_PER_WORKER;
}

static bool start_due(const struct job_task *task, int64_t retry_ms,
		      int64_t now_ms)
{
	return task->state == TASK_PLACED && task->phase == PHASE_STARTING &&
	       (!task->since_ms || now_ms - task->since_ms >= retry_ms);
}

/* Whether a start could exceed the worker's capacity, or that is not known. */
static bool has_no_room(const struct worker *worker)
{
	return place_is_over_capacity(worker) ||
	       !worker_has_current_entry(worker);
}

/*
 * Whether a task that was placed at the worker may not be started there any more. It
 * may have started again since, as one of another kind or of another pool.
 */
static bool takes_no_start(const struct pool *pool, const struct job_pos *pos,
			   const struct worker *worker)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];

	return worker->entry.draining ||
	       strcmp(worker->entry.pool, pool->name) ||
	       (step->label[0] && !worker_has_label(worker, step->label)) ||
	       has_no_room(worker);
}

/*
 * Whether a start that is due must not be sent to its worker any more: of a run
 * for which no order exists, if the worker does not answer, or if it takes no
 * start. An order that is not answered may have been carried out; the next report
 * lists it then.
 */
static bool must_withdraw(const struct pool *pool, const struct job_pos *pos,
			  const struct worker *worker, int64_t now_ms)
{
	const struct job_task *task = pos->task;

	if (worker->renew_failures && !task->unanswered_starts)
		return true;
	return takes_no_start(pool, pos, worker) &&
	       (!task->unanswered_starts ||
		now_ms - task->since_ms >= POOL_WITHDRAW_MS);
}

void pool_send_starts(struct pool *pool, struct job *job)
{
	int64_t now_ms = pool_now_ms(pool);
	int64_t retry_ms = start_retry_ms(pool->env);
	int32_t max_starts = max_starts_per_worker(pool->env);
	struct job_pos pos = { .job = job };

	if (job_ended(job->state) || job->cancel_requested ||
	    !pool_may_send_orders(pool))
		return;
	while (job_next_task(&pos)) {
		struct worker *worker;

		if (!start_due(pos.task, retry_ms, now_ms))
			continue;
		worker = worker_find(pool->env->workers, pos.task->worker);
		if (worker && must_withdraw(pool, &pos, worker, now_ms)) {
			pool_withdraw_start(pool, &pos);
			continue;
		}
		if (pool->starting >= POOL_MAX_STARTS ||
		    pool->env->flight.starts >= POOL_MAX_NODE_STARTS)
			return;
		/* Each start extends the lease; resending it to a worker that
		   does not answer would keep its runs from expiring, and one
		   that has crashed could start the run a second time. */
		if (worker && !takes_no_start(pool, &pos, worker) &&
		    worker->starting < max_starts && worker->fence_accepted &&
		    !worker_is_dead(worker) && !worker->renew_failures &&
		    !worker->renew_repeats &&
		    !bound_withholds(&pool->bound, worker->entry.id) &&
		    now_ms - worker->last_report_ms < POOL_MAX_REPORT_AGE_MS &&
		    pool_may_start(pool))
			send_start(pool, &pos, worker);
	}
}

static void on_stop(void *arg, enum order_outcome outcome, int64_t clock_ms)
{
	struct pool_sent *sent = arg;
	struct pool *pool = sent->pool;
	struct worker *worker;
	struct job_pos pos;

	(void)clock_ms;
	pool->env->flight.stops--;
	if (!pool_sent_is_current(sent)) {
		g_free(sent);
		return;
	}
	worker = worker_find(pool->env->workers, sent->worker);
	if (worker)
		worker->stopping--;
	if (outcome == ORDER_FENCED && !pool_sent_is_outdated(sent))
		pool_sent_handle_fenced(sent);
	else if (outcome == ORDER_OK)
		pool_unplaced_stopped(pool, sent->worker, sent->task,
				      sent->run);
	if (outcome == ORDER_OK &&
	    job_task_find(pool->env->jobs, sent->task, &pos) &&
	    pos.task->state == TASK_PLACED && pos.task->run == sent->run &&
	    pos.task->phase == PHASE_STOPPING && !pos.task->stop_ok) {
		/* Only a report requested from now on shows whether the run
		   has ended. */
		pos.task->stop_ok = true;
		pos.task->since_ms = pool_now_ms(pool);
	}
	if (outcome == ORDER_OK && worker)
		pool_unplaced_stop_at(pool, worker);
	g_free(sent);
}

bool pool_may_send_stop(const struct pool *pool, const struct worker *worker)
{
	bool silent = worker->renew_failures || worker->renew_repeats;

	return pool_may_send_orders(pool) &&
	       pool->env->flight.stops < POOL_MAX_NODE_STOPS &&
	       worker->stopping < (silent ? POOL_MAX_STOPS_SILENT
					  : POOL_MAX_STOPS_PER_WORKER);
}

void pool_send_stop(struct pool *pool, struct worker *worker, const char *task,
		    int32_t run)
{
	struct pool_sent *sent;

	if (!pool_may_send_stop(pool, worker))
		return;
	sent = pool_sent_new(pool, worker);
	pool->env->flight.stops++;
	worker->stopping++;
	pool->env->counts.stops_sent++;
	g_strlcpy(sent->task, task, sizeof(sent->task));
	sent->run = run;
	pool->env->orders->stop(pool->env->orders->io, &worker->entry, task,
				run, sent->fence, on_stop, sent);
}

static bool stop_due(const struct job_task *task, int64_t now_ms)
{
	return task->state == TASK_PLACED && task->phase == PHASE_STOPPING &&
	       !task->stop_ok &&
	       (!task->stop_sent_ms ||
		now_ms - task->stop_sent_ms >= POOL_STOP_RETRY_MS);
}

void pool_resend_stops(struct pool *pool)
{
	const GPtrArray *lists =
		share_jobs(&pool->share, pool->env->jobs)->placed;
	int64_t now_ms = pool_now_ms(pool);

	for (guint i = 0; i < lists->len; i++) {
		const struct job_placed *placed = lists->pdata[i];

		for (guint k = 0; k < placed->tasks->len; k++) {
			struct job_pos pos =
				g_array_index(placed->tasks, struct job_pos, k);

			if (stop_due(pos.task, now_ms))
				pool_stop_task(pool, &pos);
		}
	}
}
