#include <string.h>

#include "crash.h"
#include "log.h"
#include "pool_int.h"
#include "pool_life.h"

enum {
	/* Weight of the newest ended run in a worker's failure rate. */
	POOL_FAILURE_WEIGHT_PERCENT = 25,
	POOL_AVOID_FAILING_MS = 3000,
	/* A long-running task that ends sooner after its start counts as one
	   that may go on to do so. The first such ends in a row cost no pause,
	   as the worker may be to blame; the longest pause is shorter than the
	   6 s in which such a task must run again. */
	POOL_SHORT_RUN_MS = 5000,
	POOL_FREE_SHORT_RUNS = 2,
	POOL_HOLD_SHORT_MS = 500,
	POOL_HOLD_SHORT_MAX_MS = 4000,
	/* Progress comes in whole percent; a run of a longer step shows none
	   for so long that it would look stalled. */
	POOL_MAX_MEASURED_MS = 20000,
	/* A run of a step this long shows progress within SPEED_STALL_MS even
	   at a fifth of its speed, so that it need not be watched for longer. */
	POOL_FINE_MEASURED_MS = 10000,
	/* Between two log lines on checkpoints that are left out. */
	POOL_CHECKPOINT_LOG_MS = 1000
};
#define POOL_FAILING_RATE 0.6

/* Progress of a worker's runs between two of its reports. */
struct progress {
	uint32_t runs;
	double work_ms;
	int32_t longest_ms; /* estimate of the longest step */
};

static void update_failure_rate(struct worker *worker, bool failed,
				int64_t now_ms)
{
	double weight = POOL_FAILURE_WEIGHT_PERCENT / 100.0;

	worker->failure_rate += (failed - worker->failure_rate) * weight;
	if (failed && worker->failure_rate > POOL_FAILING_RATE) {
		worker->avoid_until_ms = now_ms + POOL_AVOID_FAILING_MS;
		log_info("worker-avoided worker=%s failure_rate=%.2f",
			 worker->entry.id, worker->failure_rate);
	}
}

/* Whether the task is placed on this worker with this run number. */
static bool is_placed_run(const struct job_pos *pos,
			  const struct worker *worker, int32_t run)
{
	return pos->task->state == TASK_PLACED && pos->task->run == run &&
	       pos->task->worker == worker->name;
}

/* Adds a run's progress since the last report, if that listed the run. */
static void add_progress(struct worker *worker, const struct job_pos *pos,
			 int32_t percent, struct progress *progress)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	int32_t gained = percent - pos->task->percent;

	if (pos->task->phase != PHASE_RUNNING || step->long_running ||
	    step->uses_idle_cpu || step->estimate_ms > POOL_MAX_MEASURED_MS ||
	    pos->task->last_report + 1 != worker->reports)
		return;
	progress->runs++;
	progress->longest_ms = MAX(progress->longest_ms, step->estimate_ms);
	progress->work_ms += MAX(gained, 0) / 100.0 * step->estimate_ms;
}

/* Holds a long-running task that ends soon after its start again and again. */
static void hold_if_short(struct pool *pool, struct job_pos *pos)
{
	struct job_task *task = pos->task;
	bool is_short = task->phase != PHASE_RUNNING ||
			pool_now_ms(pool) - task->since_ms < POOL_SHORT_RUN_MS;

	if (!pos->job->spec.steps[pos->step].long_running)
		return;
	task->short_runs = is_short ? task->short_runs + 1 : 0;
	if (task->short_runs > POOL_FREE_SHORT_RUNS)
		pool_hold_retry(pool, pos,
				task->short_runs - POOL_FREE_SHORT_RUNS,
				POOL_HOLD_SHORT_MS, POOL_HOLD_SHORT_MAX_MS,
				"short-run");
}

/* Logs the end of a run that its owner has given up or never knew. */
static void note_unplaced_end(const struct worker *worker,
			      const struct worker_end *end,
			      const struct job_task *task)
{
	log_info("unplaced-run-ended task=%s run=%d worker=%s how=%d state=%d "
		 "newest_run=%d newest_worker=%s failed=%d",
		 end->task, end->run, worker->entry.id, end->how, task->state,
		 task->run, task->worker ? task->worker : "-", task->failed);
}

/*
 * Keeps what a run has saved. Counts a checkpoint that is not kept; the task's last one
 * before it holds.
 */
static void keep_checkpoint(struct pool *pool, const struct worker *worker,
			    const struct job_pos *pos, const char *task,
			    const struct worker_checkpoint *checkpoint)
{
	struct pool_env *env = pool->env;
	int64_t now_ms = pool_now_ms(pool);
	bool kept = job_keep_checkpoint(pos, checkpoint->text);

	if (kept && !checkpoint->left_out)
		return;
	env->counts.checkpoints_left_out++;
	if (now_ms - env->checkpoint_logged_ms < POOL_CHECKPOINT_LOG_MS)
		return;
	env->checkpoint_logged_ms = now_ms;
	log_info("checkpoint-left-out task=%s run=%d worker=%s why=%s "
		 "bytes=%" G_GINT64_FORMAT " max_bytes=%d "
		 "kept_bytes=%" G_GINT64_FORMAT " left_out=%" G_GINT64_FORMAT,
		 task, pos->task->run, worker->entry.id,
		 kept ? "report" : "memory",
		 kept ? checkpoint->sent_bytes
		      : job_checkpoint_bytes(checkpoint->text),
		 JOB_CHECKPOINT_BYTES - 1, env->jobs->room.checkpoint_bytes,
		 env->counts.checkpoints_left_out);
}

static void handle_ended_run(struct pool *pool, struct worker *worker,
			     const struct worker_end *end,
			     struct progress *progress)
{
	struct job_pos pos;

	if (end->number <= worker->cursor_processed)
		return;
	worker->cursor_processed = end->number;
	pool_unplaced_ended(pool, worker, end);
	if (!job_task_find(pool->env->jobs, end->task, &pos) ||
	    job_ended(pos.job->state))
		return;
	if (end->how == END_DONE || end->how == END_FAILED)
		update_failure_rate(worker, end->how == END_FAILED,
				    pool_now_ms(pool));
	if (is_placed_run(&pos, worker, end->run)) {
		if (end->how == END_DONE)
			add_progress(worker, &pos, 100, progress);
		if (end->how == END_FAILED || end->how == END_DONE)
			hold_if_short(pool, &pos);
		keep_checkpoint(pool, worker, &pos, end->task,
				&end->checkpoint);
		pool_end_run(pool, &pos, end->how, end->checkpoint.text);
		if (end->how == END_FAILED)
			log_info(
				"run-failed task=%s run=%d worker=%s failed=%d",
				end->task, end->run, worker->entry.id,
				pos.task->failed);
		return;
	}
	if (end->how == END_DONE || end->how == END_FAILED)
		note_unplaced_end(worker, end, pos.task);
	/* The run had been declared lost, but completed. */
	if (end->how == END_DONE && pos.task->state == TASK_WAITING &&
	    end->run <= pos.task->run &&
	    !pos.job->spec.steps[pos.step].long_running)
		pool_end_run(pool, &pos, END_DONE, NULL);
}

/* Logs that a run is to be stopped that is not the newest one of its task. */
static void log_stale_run(struct pool *pool, const struct worker *worker,
			  const struct worker_run *run)
{
	struct job_pos pos;

	if (job_task_find(pool->env->jobs, run->task, &pos) &&
	    !job_ended(pos.job->state) && !pos.job->cancel_requested)
		log_info("stopping-stale-run task=%s run=%d worker=%s state=%d "
			 "phase=%d newest_run=%d newest_worker=%s",
			 run->task, run->run, worker->entry.id, pos.task->state,
			 pos.task->phase, pos.task->run,
			 pos.task->worker ? pos.task->worker : "-");
}

static void handle_listed_run(struct pool *pool, struct worker *worker,
			      const struct worker_run *run, int64_t asked_ms,
			      struct progress *progress)
{
	int64_t now_ms = pool_now_ms(pool);
	struct job_pos pos;
	struct job_task *task;

	if (!job_task_find(pool->env->jobs, run->task, &pos) ||
	    job_ended(pos.job->state) || pos.job->cancel_requested ||
	    !is_placed_run(&pos, worker, run->run)) {
		if (pool_unplaced_listed(pool, worker, run))
			log_stale_run(pool, worker, run);
		return;
	}
	task = pos.task;
	add_progress(worker, &pos, run->percent, progress);
	task->worker_boot_ms = worker->boot_ms;
	task->last_report = worker->reports;
	task->percent = run->percent;
	task->load_metric = run->load_metric;
	if (task->phase != PHASE_RUNNING && task->phase != PHASE_STOPPING)
		job_run_confirmed(&pos, now_ms);
	/* Until all members of a gang are confirmed, starts of its run are sent. */
	if (!task->gang_waits)
		keep_checkpoint(pool, worker, &pos, run->task,
				&run->checkpoint);
	if (task->phase == PHASE_STOPPING)
		return;
	pool_settle_start(pool, &pos, asked_ms);
	if (crash_is_suspect(task) && task->crashed_run != task->run &&
	    crash_is_cleared(task, now_ms)) {
		/* Stored, so that the next owner does not blame this run. */
		task->crashed_run = task->run;
		job_touch(pos.job, task);
	}
	if (crash_must_forget(task, now_ms)) {
		task->crashes = 0;
		task->lapses = 0;
		job_touch(pos.job, task);
	}
}

/* Whether a report requested at asked_ms must list the task's run. */
static bool must_list(const struct job_task *task, int64_t asked_ms)
{
	switch (task->phase) {
	case PHASE_UNKNOWN:
		return true;
	case PHASE_RUNNING:
		return task->since_ms < asked_ms;
	case PHASE_STOPPING:
		/* Before the stop is confirmed, a delayed start may arrive. */
		return task->stop_ok && task->since_ms < asked_ms;
	default:
		return false;
	}
}

/*
 * Ends the runs that the worker's report should list but does not. The report
 * must have all ends: a run that is missing may be among those left out.
 */
static void end_unlisted(struct pool *pool, struct worker *worker,
			 int64_t asked_ms)
{
	const struct job_placed *placed = job_placed_at(
		share_jobs(&pool->share, pool->env->jobs), worker->name);

	/* Backwards, because the end of a run removes it from the list; the last
	   one's, the list. */
	for (guint i = placed ? placed->tasks->len : 0; i > 0; i--) {
		struct job_pos pos =
			g_array_index(placed->tasks, struct job_pos, i - 1);

		if (is_placed_run(&pos, worker, pos.task->run) &&
		    pos.task->last_report != worker->reports &&
		    must_list(pos.task, asked_ms))
			pool_end_run(pool, &pos, END_STOPPED, NULL);
	}
}

/* Logs a change of capacity since the last report to this owner. */
static void note_capacity(struct worker *worker)
{
	const struct worker_entry *entry = &worker->entry;

	if (worker->reports && (worker->noted_cpu_milli != entry->cpu_milli ||
				worker->noted_mem_mib != entry->mem_mib ||
				worker->noted_gpu != entry->gpu))
		log_info("worker-capacity worker=%s cpu_milli=%d was=%d "
			 "mem_mib=%d was_mem_mib=%d gpu=%d was_gpu=%d "
			 "used_milli=%d used_mem_mib=%d",
			 entry->id, entry->cpu_milli, worker->noted_cpu_milli,
			 entry->mem_mib, worker->noted_mem_mib, entry->gpu,
			 worker->noted_gpu, worker->cpu_used_milli,
			 worker->mem_used_mib);
	worker->noted_cpu_milli = entry->cpu_milli;
	worker->noted_mem_mib = entry->mem_mib;
	worker->noted_gpu = entry->gpu;
}

/* Logs that runs may have ended that the report leaves out, and the end of that. */
static void note_ends_left_out(struct worker *worker,
			       const struct worker_report *report)
{
	if (worker->ends_left_out != report->more_ends)
		log_info("worker-ends worker=%s left_out=%d listed=%u "
			 "cursor=%" G_GINT64_FORMAT
			 " processed=%" G_GINT64_FORMAT,
			 worker->entry.id, report->more_ends, report->end_count,
			 worker->cursor, worker->cursor_processed);
	worker->ends_left_out = report->more_ends;
}

/*
 * How long to wait for the next report of a worker none of whose runs has
 * progressed: until they count as stalled. 0: as usual.
 */
static int64_t stall_check_ms(const struct speed *speed,
			      const struct progress *progress)
{
	if (!progress->runs || progress->work_ms > 0 ||
	    progress->longest_ms > POOL_FINE_MEASURED_MS)
		return 0;
	return MAX(SPEED_STALL_MS - speed->stalled_ms, 0);
}

void pool_handle_report(struct pool *pool, struct worker *worker,
			const struct worker_report *report, int64_t asked_ms)
{
	int64_t now_ms = pool_now_ms(pool);
	int64_t passed_ms = report->clock_ms - worker->clock_ms;
	struct progress progress = { 0 };
	bool new_life = report->boot_ms && report->boot_ms != worker->boot_ms;

	if (new_life) {
		if (worker->boot_ms)
			log_info("worker-restarted worker=%s "
				 "clock_ms=%" G_GINT64_FORMAT
				 " was_clock_ms=%" G_GINT64_FORMAT
				 " boot_ms=%" G_GINT64_FORMAT
				 " was_boot_ms=%" G_GINT64_FORMAT
				 " lease_left_ms=%" G_GINT64_FORMAT,
				 worker->entry.id, report->clock_ms,
				 worker_clock_ms(worker, now_ms),
				 report->boot_ms, worker->boot_ms,
				 worker->lease_end_ms - now_ms);
		worker->boot_ms = report->boot_ms;
		worker->cursor_processed = 0;
		worker->cursor_storing = 0;
		worker->cursor = 0;
		worker->speed = (struct speed){ 0 };
		worker->slow_until_ms = 0;
	}
	/* From now on no order of before can extend the worker's lease. */
	if (new_life || !worker->reports)
		worker->lease_end_ms = pool_longest_lease_end_ms(pool, now_ms);
	else if (!worker->fence_accepted)
		worker->lease_end_ms =
			MIN(worker->lease_end_ms,
			    pool_longest_lease_end_ms(pool, now_ms));
	worker->fence_accepted = true;
	worker->clock_ms = report->clock_ms;
	worker->clock_at_ms = now_ms;
	worker->last_report_ms = now_ms;
	note_capacity(worker);
	worker->reports++;
	for (uint32_t i = 0; i < report->end_count; i++)
		handle_ended_run(pool, worker, &report->ends[i], &progress);
	for (uint32_t i = 0; i < report->run_count; i++)
		handle_listed_run(pool, worker, &report->runs[i], asked_ms,
				  &progress);
	if (passed_ms > 0)
		speed_add(&worker->speed, report->clock_ms, passed_ms,
			  progress.runs, progress.work_ms);
	worker->stall_check_ms = stall_check_ms(&worker->speed, &progress);
	if (new_life)
		pool_note_restart(pool, worker);
	pool_settle_lapses(pool, worker);
	if (report->more_ends)
		pool->env->counts.reports_cut_short++;
	else
		end_unlisted(pool, worker, asked_ms);
	note_ends_left_out(worker, report);
	pool_unplaced_reported(pool, worker, asked_ms);
	pool_pace_report(pool, worker);
}
