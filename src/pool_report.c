#include <string.h>

#include "log.h"
#include "pool_int.h"

enum {
	/* Share of the newest end in a worker's record of failures. */
	POOL_FAILURE_WEIGHT_PERCENT = 25,
	POOL_FAILING_MS = 3000
};
#define POOL_FAILING_RATE 0.6

/* What a worker's runs did between two of its reports. */
struct progress {
	uint32_t runs;
	double work_ms;
};

static void judge(struct worker *worker, bool failed, int64_t now_ms)
{
	double weight = POOL_FAILURE_WEIGHT_PERCENT / 100.0;

	worker->failure_rate += (failed - worker->failure_rate) * weight;
	if (failed && worker->failure_rate > POOL_FAILING_RATE) {
		worker->avoid_until_ms = now_ms + POOL_FAILING_MS;
		log_info("worker-avoided worker=%s failure_rate=%.2f",
			 worker->entry.id, worker->failure_rate);
	}
}

/* Whether the task's newest run is that one, at this worker. */
static bool is_at(const struct job_pos *pos, const struct worker *worker,
		  int32_t run)
{
	return pos->task->state == TASK_PLACED && pos->task->run == run &&
	       !strcmp(pos->task->worker, worker->entry.id);
}

/* Progress of a run since the worker's last report, if that listed it. */
static void note_progress(struct worker *worker, const struct job_pos *pos,
			  int32_t percent, struct progress *progress)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	int32_t gained = percent - pos->task->percent;

	if (pos->task->phase != PHASE_RUNNING || step->long_running ||
	    step->fills || pos->task->seen + 1 != worker->reports)
		return;
	progress->runs++;
	progress->work_ms += MAX(gained, 0) / 100.0 * step->estimate_ms;
}

static void take_end(struct pool *pool, struct worker *worker,
		     const struct worker_end *end, struct progress *progress)
{
	struct job_pos pos;

	if (end->number <= worker->cursor_seen)
		return;
	worker->cursor_seen = end->number;
	if (!job_task_find(pool->env->jobs, end->task, &pos) ||
	    job_ended(pos.job->state))
		return;
	if (end->how == END_DONE || end->how == END_FAILED)
		judge(worker, end->how == END_FAILED, pool_now_ms(pool));
	if (is_at(&pos, worker, end->run)) {
		if (end->how == END_DONE)
			note_progress(worker, &pos, 100, progress);
		pool_end(pool, &pos, end->how, end->checkpoint);
	} else if (end->how == END_DONE && pos.task->state == TASK_WAITING &&
		   end->run <= pos.task->run) {
		/* Given up as lost, yet it was done. */
		pool_end(pool, &pos, END_DONE, NULL);
	}
}

static void stop_run(struct pool *pool, struct worker *worker,
		     const struct worker_run *run)
{
	pool_send_stop(pool, worker, run->task, run->run);
}

static void take_run(struct pool *pool, struct worker *worker,
		     const struct worker_run *run, int64_t now_ms,
		     struct progress *progress)
{
	struct job_pos pos;
	struct job_task *task;

	if (!job_task_find(pool->env->jobs, run->task, &pos) ||
	    job_ended(pos.job->state) || pos.job->cancel_asked ||
	    !is_at(&pos, worker, run->run)) {
		stop_run(pool, worker, run);
		return;
	}
	task = pos.task;
	note_progress(worker, &pos, run->percent, progress);
	task->seen = worker->reports;
	task->percent = run->percent;
	task->figure = run->figure;
	if (run->checkpoint && g_strcmp0(run->checkpoint, task->checkpoint)) {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(run->checkpoint);
	}
	if (task->phase == PHASE_STOPPING)
		return;
	if (task->phase != PHASE_RUNNING) {
		task->phase = PHASE_RUNNING;
		task->since_ms = now_ms;
	}
}

/* Whether a report asked for at that time must list the task's run. */
static bool must_list(const struct job_task *task, int64_t asked_ms)
{
	switch (task->phase) {
	case PHASE_UNKNOWN:
		return true;
	case PHASE_RUNNING:
		return task->since_ms < asked_ms;
	case PHASE_STOPPING:
		/* Until the stop is confirmed, a late start may come. */
		return task->stop_ok && task->since_ms < asked_ms;
	default:
		return false;
	}
}

/* Ends the worker's runs that it should have listed and did not. */
static void end_unlisted(struct pool *pool, struct worker *worker,
			 int64_t asked_ms)
{
	struct job_store *jobs = pool->env->jobs;

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job_pos pos = { .job = jobs->live->pdata[i] };

		if (strcmp(pos.job->pool, pool->name))
			continue;
		while (job_next_task(&pos))
			if (is_at(&pos, worker, pos.task->run) &&
			    pos.task->seen != worker->reports &&
			    must_list(pos.task, asked_ms))
				pool_end(pool, &pos, END_STOPPED, NULL);
	}
}

void pool_take_report(struct pool *pool, struct worker *worker,
		      const struct worker_report *report, int64_t asked_ms)
{
	int64_t now_ms = pool_now_ms(pool);
	int64_t passed_ms = report->clock_ms - worker->clock_ms;
	struct progress progress = { 0 };

	if (report->born_ms && report->born_ms != worker->life_ms) {
		if (worker->life_ms)
			log_info("worker-reborn worker=%s", worker->entry.id);
		worker->life_ms = report->born_ms;
		worker->cursor_seen = 0;
		worker->cursor_flushing = 0;
		worker->cursor = 0;
		worker->speed = (struct speed){ 0 };
		worker->slow_until_ms = 0;
	}
	if (!worker->reached) {
		/* From now on only this owner extends its lease. */
		worker->reached = true;
		worker->lease_end_ms =
			worker_lease_bound_ms(now_ms, pool->env->lease_ms);
	}
	worker->clock_ms = report->clock_ms;
	worker->clock_at_ms = now_ms;
	worker->heard_ms = now_ms;
	worker->reports++;
	for (uint32_t i = 0; i < report->end_count; i++)
		take_end(pool, worker, &report->ends[i], &progress);
	for (uint32_t i = 0; i < report->run_count; i++)
		take_run(pool, worker, &report->runs[i], now_ms, &progress);
	if (passed_ms > 0)
		speed_add(&worker->speed, report->clock_ms, passed_ms,
			  progress.runs, progress.work_ms);
	end_unlisted(pool, worker, asked_ms);
}

/*
 * When a lease at a worker is surely over. An earlier owner may have renewed
 * it until its authority ended, and for the time it may be cut off; that holds
 * until the worker has accepted this owner's fence, also for one that the
 * registry names only later.
 */
static int64_t lease_end_ms(const struct pool *pool, const char *id)
{
	const struct worker *worker = worker_find(pool->env->workers, id);
	int64_t before_ms = worker_lease_bound_ms(pool->tenure.taken_ms +
							  pool->env->cut_off_ms,
						  pool->env->lease_ms);

	if (!worker)
		return before_ms;
	if (!worker->reached)
		return MAX(before_ms, worker->lease_end_ms);
	return worker->lease_end_ms;
}

/*
 * Whether the run has surely ended with the life of its worker. An order
 * without an answer may be carried out by the next life under the same name;
 * and of a run that an earlier owner ordered, such orders are not known.
 */
static bool ended_with_worker(const struct pool *pool,
			      const struct job_task *task)
{
	const struct worker *worker =
		worker_find(pool->env->workers, task->worker);

	return worker && worker_is_gone(worker) && !task->open_orders &&
	       task->phase != PHASE_UNKNOWN;
}

static void end_if_lost(struct pool *pool, struct job_pos *pos, int64_t now_ms)
{
	int64_t end_ms = lease_end_ms(pool, pos->task->worker);
	bool gone = ended_with_worker(pool, pos->task);

	if (pos->task->phase == PHASE_RECORDING ||
	    pos->task->phase == PHASE_STORING || (now_ms < end_ms && !gone))
		return;
	log_info("run-lost id=%s step=%u index=%u run=%d worker=%s why=%s",
		 pos->job->id, pos->step, pos->index, pos->task->run,
		 pos->task->worker, gone ? "worker-gone" : "lease-over");
	pool_end(pool, pos, END_LAPSED, NULL);
}

void pool_end_lost(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;
	int64_t now_ms = pool_now_ms(pool);

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job_pos pos = { .job = jobs->live->pdata[i] };

		if (strcmp(pos.job->pool, pool->name))
			continue;
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED)
				end_if_lost(pool, &pos, now_ms);
	}
}
