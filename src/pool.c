#include "pool.h"

#include <string.h>

#include "log.h"
#include "pool_int.h"

enum { POOL_SCAN_MS = 1000 };

/* Argument of a callback of the writer: a job's record or a cursor. */
struct pending_write {
	struct pool *pool;
	char id[JOB_ID_BYTES]; /* of the job */
	char *record;
	size_t len;
	uint32_t number;	       /* of the job's progress record */
	char worker[LIMIT_NAME_BYTES]; /* or the worker of the cursor */
	int64_t cursor;
	int64_t boot_ms; /* start of the worker that the cursor belongs to */
};

static void pending_write_free(void *arg)
{
	struct pending_write *pending = arg;

	g_free(pending->record);
	g_free(pending);
}

static struct pending_write *pending_write_new(struct pool *pool)
{
	struct pending_write *pending = g_new0(struct pending_write, 1);

	pending->pool = pool;
	g_hash_table_add(pool->pending_writes, pending);
	return pending;
}

const struct share *pool_share(const struct pool *pool)
{
	return &pool->share;
}

bool pool_is_owned(const struct pool *pool)
{
	return ownership_held(&pool->ownership);
}

static int64_t orders_end_ms(const struct pool *pool)
{
	return pool->ownership.authority_end_ms + pool->env->disconnected_ms;
}

bool pool_may_send_orders(const struct pool *pool)
{
	return ownership_held(&pool->ownership) &&
	       pool_now_ms(pool) < orders_end_ms(pool);
}

int64_t pool_grantable_ms(const struct pool *pool, int64_t now_ms)
{
	int64_t lease_ms = pool->env->lease_ms;
	int64_t left_ms = orders_end_ms(pool) + lease_ms - now_ms;

	if (!ownership_held(&pool->ownership))
		return 0;
	return CLAMP(left_ms, 0, lease_ms);
}

int32_t pool_max_attempts(const struct pool *pool, const struct job *job)
{
	const struct cfg_queue *queue =
		cfg_queue_find(*pool->env->cfg, job->queue);

	return queue && queue->attempts > 0 ? queue->attempts : 1;
}

static bool is_own_job(const struct pool *pool, const struct job *job)
{
	return job->has_spec && share_has_job(&pool->share, job);
}

static void on_acquired(void *arg)
{
	struct pool *pool = arg;
	struct worker_table *workers = pool->env->workers;
	struct job_store *jobs = pool->env->jobs;

	pool->env->counts.takeovers++;
	pool->starting = 0;
	pool->membership_over = false;
	pool_unplaced_clear(pool);
	pool->published = (struct backlog){ 0 };
	pool->republish_ms = 0;
	for (guint i = 0; i < pool->env->plans->list->len; i++) {
		struct host_plan *plan = pool->env->plans->list->pdata[i];

		plan->drained_number = 0;
	}
	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];

		if (share_has_worker(&pool->share, worker))
			worker_reset_owner_state(worker);
	}
	/* Backwards, because job_reload removes ended jobs from the list. */
	for (guint i = jobs->live->len; i > 0; i--)
		if (is_own_job(pool, jobs->live->pdata[i - 1]))
			job_reload(jobs, jobs->live->pdata[i - 1]);
	pool_publish_missing(pool);
}

static void on_lost(void *arg)
{
	struct pool *pool = arg;
	struct job_store *jobs = pool->env->jobs;

	g_hash_table_remove_all(pool->pending_writes);
	pool_unplaced_clear(pool);
	pool_stored_clear(pool);
	for (guint i = 0; i < jobs->list->len; i++) {
		struct job *job = jobs->list->pdata[i];

		if (is_own_job(pool, job) && !job_ended(job->stored_state))
			job_reload(jobs, job);
	}
}

struct pool *pool_create(struct pool_env *env, const struct share *share,
			 const struct ownership_stream *stream)
{
	struct pool *pool = g_new0(struct pool, 1);
	char *what = share->count > 1
			     ? g_strdup_printf("pool-%s-%u", share->pool,
					       share->index)
			     : g_strdup_printf("pool-%s", share->pool);
	struct ownership_config config = {
		.clk = env->clk,
		.stream = env->stream,
		.stream_count = 1,
		.streams = { *stream },
		.name = what,
		.membership_ms = env->membership_ms,
		.acquired = on_acquired,
		.lost = on_lost,
		.arg = pool,
	};

	pool->env = env;
	g_strlcpy(pool->name, share->pool, sizeof(pool->name));
	pool->share = *share;
	pool->share.pool = pool->name;
	pool->pending_writes =
		g_hash_table_new_full(NULL, NULL, pending_write_free, NULL);
	pool_unplaced_init(pool);
	pool_stored_init(pool);
	ownership_init(&pool->ownership, &config);
	g_free(what);
	return pool;
}

void pool_destroy(struct pool *pool)
{
	if (!pool)
		return;
	ownership_clear(&pool->ownership);
	g_hash_table_destroy(pool->pending_writes);
	g_array_free(pool->unplaced, TRUE);
	g_array_free(pool->stored, TRUE);
	g_free(pool);
}

void pool_assign(struct pool *pool, int32_t part, int64_t generation,
		 int64_t authority_end_ms)
{
	ownership_assign(&pool->ownership, part, generation, authority_end_ms);
}

void pool_revoke(struct pool *pool)
{
	ownership_lose(&pool->ownership, "assigned to another node");
}

void pool_end_run(struct pool *pool, struct job_pos *pos, enum job_end how,
		  const char *checkpoint)
{
	struct pool_counts *counts = &pool->env->counts;

	if (how == END_DONE)
		counts->runs_done++;
	else if (how == END_FAILED)
		counts->runs_failed++;
	else
		counts->runs_lost++;
	job_end_run(pos, how, checkpoint, pool_max_attempts(pool, pos->job));
}

void pool_hold_retry(struct pool *pool, struct job_pos *pos, int32_t times,
		     int64_t first_ms, int64_t max_ms, const char *why)
{
	char name[JOB_TASK_NAME_BYTES];
	int64_t hold_ms = first_ms;

	for (int32_t i = 1; i < times && hold_ms < max_ms; i++)
		hold_ms *= 2;
	hold_ms = MIN(hold_ms, max_ms);
	pos->task->hold_until_ms = pool_now_ms(pool) + hold_ms;
	pool->env->counts.retries_held++;
	job_task_name(pos, name, sizeof(name));
	log_info("retry-held task=%s run=%d why=%s times=%d "
		 "hold_ms=%" G_GINT64_FORMAT,
		 name, pos->task->run, why, times, hold_ms);
}

static void log_job_end(struct pool *pool, const struct job *job)
{
	const struct clk *clk = pool->env->clk;
	int64_t wall_ms = clk_wall_ms(clk);
	int64_t placed_ms = wall_ms - (clk_now_ms(clk) - job->placed_ms);

	histo_add(&pool->env->age_ms, wall_ms - job->accepted_ms);
	if (job->placed_ms)
		histo_add(&pool->env->wait_ms, placed_ms - job->accepted_ms);
	log_info("job-ended id=%s state=%s queue=%s age_ms=%" G_GINT64_FORMAT
		 " waited_ms=%" G_GINT64_FORMAT " chain_ms=%" G_GINT64_FORMAT
		 " target_ms=%" G_GINT64_FORMAT,
		 job->id, job_state_name(job->stored_state), job->queue,
		 wall_ms - job->accepted_ms,
		 job->placed_ms ? placed_ms - job->accepted_ms : -1,
		 job_critical_path_ms(job),
		 place_target_ms(*pool->env->cfg, job) - job->accepted_ms);
}

static void on_job_stored(void *arg, enum writer_outcome outcome,
			  int64_t offset)
{
	struct pending_write *pending = arg;
	struct pool *pool = pending->pool;
	struct job *job = job_find(pool->env->jobs, pending->id);

	if (outcome != WRITER_STORED) {
		/* This frees all pending writes, including this one. */
		ownership_lose(&pool->ownership, "an append was fenced");
		return;
	}
	if (job) {
		job_progress_stored(pool->env->jobs, job, offset,
				    pending->record, pending->len);
		pool_publish_state(pool, job);
		pool_stored_add(pool, job, pending->number, offset);
		if (job_ended(job->stored_state))
			log_job_end(pool, job);
	}
	g_hash_table_remove(pool->pending_writes, pending);
}

static void on_cursor_stored(void *arg, enum writer_outcome outcome,
			     int64_t end)
{
	struct pending_write *pending = arg;
	struct pool *pool = pending->pool;
	struct worker *worker =
		worker_find(pool->env->workers, pending->worker);

	(void)end;
	if (outcome != WRITER_STORED) {
		ownership_lose(&pool->ownership, "an append was fenced");
		return;
	}
	/* After a restart the worker numbers its ended runs from 1 again. */
	if (worker && worker->boot_ms == pending->boot_ms) {
		worker->cursor = MAX(worker->cursor, pending->cursor);
		worker->next_renew_ms = 0;
	}
	g_hash_table_remove(pool->pending_writes, pending);
}

static void store_job(struct pool *pool, struct job *job)
{
	char key[JOB_ID_BYTES + 2];
	struct pending_write *pending = pending_write_new(pool);
	struct job_pos pos = { .job = job };

	pending->number = ++job->record_count;
	g_strlcpy(pending->id, job->id, sizeof(pending->id));
	pending->record = job_progress_record(job, &pending->len);
	job->dirty = false;
	while (job_next_task(&pos)) {
		if (pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_RECORDING)
			continue;
		pos.task->phase = PHASE_STORING;
		pos.task->placement_record = pending->number;
	}
	g_snprintf(key, sizeof(key), "p:%s", job->id);
	writer_add(pool_writer(pool), key, pending->record, pending->len,
		   on_job_stored, pending);
}

/*
 * Stores changed jobs, then the workers' cursors: a cursor acknowledges ended
 * runs, so the records with these ends are written first.
 */
static void store_dirty(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;
	struct worker_table *workers = pool->env->workers;

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job *job = jobs->live->pdata[i];

		if (!is_own_job(pool, job))
			continue;
		job_refresh(job);
		if (!job->dirty)
			continue;
		if (job_ended(job->state))
			pool_unplaced_add_job(pool, job);
		store_job(pool, job);
	}
	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];
		struct pending_write *pending;

		if (!share_has_worker(&pool->share, worker) ||
		    worker->cursor_processed == worker->cursor_storing)
			continue;
		worker->cursor_storing = worker->cursor_processed;
		pending = pending_write_new(pool);
		g_strlcpy(pending->worker, worker->entry.id,
			  sizeof(pending->worker));
		pending->cursor = worker->cursor_processed;
		pending->boot_ms = worker->boot_ms;
		writer_add(pool_writer(pool), NULL, NULL, 0, on_cursor_stored,
			   pending);
	}
}

/* Marks the workers whose host is to be restarted or moved. */
static void mark_leaving(struct pool *pool)
{
	struct worker_table *workers = pool->env->workers;
	struct host_plans *plans = pool->env->plans;

	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];

		if (!share_has_worker(&pool->share, worker))
			continue;
		worker->leaving = false;
		worker->may_stay = false;
	}
	for (guint i = 0; i < plans->list->len; i++) {
		const struct host_plan *plan = plans->list->pdata[i];
		struct worker *worker = worker_find(workers, plan->worker);

		if (!worker || !share_has_worker(&pool->share, worker))
			continue;
		worker->leaving = true;
		worker->may_stay = plan->step == HOST_DRAIN_REQUESTED &&
				   plan->drained_number != plan->number;
	}
}

/* Whether the jobs read are recent enough to start tasks; logs each change. */
static bool stream_is_recent(struct pool *pool)
{
	int64_t age_ms = tail_age_ms(pool->ownership.config.streams[0].tail);
	bool outdated = age_ms > pool->env->max_stream_age_ms;

	if (outdated != pool->stream_outdated)
		log_info("starts-%s tenure=%s stream_age_ms=%" G_GINT64_FORMAT,
			 outdated ? "held" : "resumed", pool->ownership.name,
			 age_ms);
	pool->stream_outdated = outdated;
	return !outdated;
}

static void place_waiting_tasks(struct pool *pool)
{
	struct place place = {
		.share = pool->share,
		.cfg = *pool->env->cfg,
		.jobs = pool->env->jobs,
		.workers = pool->env->workers,
		.now_ms = pool_now_ms(pool),
		.wall_ms = clk_wall_ms(pool->env->clk),
	};

	mark_leaving(pool);
	place_account(&place);
	pool_unplaced_account(pool);
	pool_move_off_slow(pool, &place);
	pool_move_off_leaving(pool, &place);
	/* While the log is stalled, placements could not be stored. */
	if (writer_stalled_ms(pool_writer(pool)) < pool->env->lease_ms / 4 &&
	    stream_is_recent(pool))
		place_tasks(&place);
	pool_note_away(pool, &place);
	pool_publish_load(pool, &place);
}

static void delete_record(struct pool *pool, char kind, const char *id)
{
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "%c:%s", kind, id);
	writer_add(pool_writer(pool), key, NULL, 0, NULL, NULL);
}

static void delete_published(struct pool *pool, const char *id)
{
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "i:%s", id);
	writer_add(pool->env->publisher, key, NULL, 0, NULL, NULL);
}

/* Deletes the records of ended jobs whose retention has expired. */
static void delete_expired_jobs(struct pool *pool, int64_t now_ms)
{
	struct job_store *jobs = pool->env->jobs;

	for (guint i = 0; i < jobs->list->len; i++) {
		struct job *job = jobs->list->pdata[i];

		if (!job_ended(job->stored_state) ||
		    !share_has_job(&pool->share, job))
			continue;
		if (!job->ended_ms)
			job->ended_ms = now_ms;
		if (job->deleting ||
		    now_ms - job->ended_ms < pool->env->job_retention_ms)
			continue;
		job->deleting = true;
		delete_record(pool, 'p', job->id);
		delete_record(pool, 'c', job->id);
		delete_record(pool, 'j', job->id);
		delete_published(pool, job->id);
	}
}

static void scan_jobs(struct pool *pool)
{
	int64_t now_ms = pool_now_ms(pool);

	if (now_ms < pool->next_scan_ms)
		return;
	pool->next_scan_ms = now_ms + POOL_SCAN_MS;
	pool_publish_unindexed(pool);
	delete_expired_jobs(pool, now_ms);
}

/* Logs that the owner acts on without a valid membership, and the end of that. */
static void note_membership(struct pool *pool)
{
	const struct ownership *ownership = &pool->ownership;
	int64_t over_ms = pool_now_ms(pool) - ownership->authority_end_ms;
	bool over = over_ms >= 0;

	if (over == pool->membership_over)
		return;
	pool->membership_over = over;
	log_info("membership-%s tenure=%s fence=%" G_GINT64_FORMAT
		 " over_ms=%" G_GINT64_FORMAT,
		 over ? "over" : "valid", ownership->name, ownership->fence,
		 over_ms);
}

void pool_tick(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;

	if (ownership_held(&pool->ownership)) {
		note_membership(pool);
		pool_end_lost(pool);
		place_waiting_tasks(pool);
		pool_drain_workers(pool);
		store_dirty(pool);
		for (guint i = 0; i < jobs->live->len; i++)
			if (is_own_job(pool, jobs->live->pdata[i])) {
				pool_send_starts(pool, jobs->live->pdata[i]);
				pool_resend_stops(pool, jobs->live->pdata[i]);
			}
		pool_stored_read(pool);
		pool_unplaced_stop(pool);
		pool_renew(pool);
		scan_jobs(pool);
	}
	ownership_tick(&pool->ownership);
}
