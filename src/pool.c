#include "pool.h"

#include <string.h>

#include "log.h"
#include "pool_int.h"

enum { POOL_DROP_MS = 1000 };

/* Argument of a writer's callback. */
struct note {
	struct pool *pool;
	char id[JOB_ID_BYTES]; /* of a job, */
	char *record;
	size_t len;
	uint32_t number;
	char worker[LIMIT_NAME_BYTES]; /* or a worker and its cursor */
	int64_t cursor;
	int64_t life_ms; /* the worker's, in which the cursor counts */
};

static void free_note(void *arg)
{
	struct note *note = arg;

	g_free(note->record);
	g_free(note);
}

static struct note *note_new(struct pool *pool)
{
	struct note *note = g_new0(struct note, 1);

	note->pool = pool;
	g_hash_table_add(pool->notes, note);
	return note;
}

const char *pool_name(const struct pool *pool)
{
	return pool->name;
}

bool pool_owned(const struct pool *pool)
{
	return ownership_held(&pool->tenure);
}

bool pool_may_order(const struct pool *pool)
{
	return ownership_held(&pool->tenure) &&
	       pool_now_ms(pool) <
		       pool->tenure.authority_end_ms + pool->env->cut_off_ms;
}

int32_t pool_attempts(const struct pool *pool, const struct job *job)
{
	const struct cfg_queue *queue =
		cfg_queue_find(*pool->env->cfg, job->queue);

	return queue && queue->attempts > 0 ? queue->attempts : 1;
}

static bool mine(const struct pool *pool, const struct job *job)
{
	return job->has_spec && !strcmp(job->pool, pool->name);
}

static bool my_worker(const struct pool *pool, const struct worker *worker)
{
	return !strcmp(worker->entry.pool, pool->name);
}

static void on_taken(void *arg)
{
	struct pool *pool = arg;
	struct worker_table *workers = pool->env->workers;
	struct job_store *jobs = pool->env->jobs;

	pool->env->counts.takeovers++;
	pool->starting = 0;
	for (guint i = 0; i < pool->env->plans->list->len; i++) {
		struct host_plan *plan = pool->env->plans->list->pdata[i];

		plan->clearing = 0;
	}
	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];

		if (my_worker(pool, worker))
			worker_disown(worker);
	}
	/* Ended jobs leave the list, hence backwards. */
	for (guint i = jobs->live->len; i > 0; i--)
		if (mine(pool, jobs->live->pdata[i - 1]))
			job_reload(jobs, jobs->live->pdata[i - 1]);
}

static void on_lost(void *arg)
{
	struct pool *pool = arg;
	struct job_store *jobs = pool->env->jobs;

	g_hash_table_remove_all(pool->notes);
	for (guint i = 0; i < jobs->list->len; i++) {
		struct job *job = jobs->list->pdata[i];

		if (mine(pool, job) && !job_ended(job->shown))
			job_reload(jobs, job);
	}
}

struct pool *pool_create(struct pool_env *env, const char *name)
{
	struct pool *pool = g_new0(struct pool, 1);
	char *what = g_strdup_printf("pool-%s", name);
	struct ownership_config config = {
		.clk = env->clk,
		.stream = env->stream,
		.id = env->id,
		.tail = env->tail,
		.what = what,
		.taken = on_taken,
		.lost = on_lost,
		.arg = pool,
	};

	pool->env = env;
	g_strlcpy(pool->name, name, sizeof(pool->name));
	pool->notes = g_hash_table_new_full(NULL, NULL, free_note, NULL);
	ownership_init(&pool->tenure, &config);
	g_free(what);
	return pool;
}

void pool_destroy(struct pool *pool)
{
	if (!pool)
		return;
	ownership_clear(&pool->tenure);
	g_hash_table_destroy(pool->notes);
	g_free(pool);
}

void pool_own(struct pool *pool, int32_t part, int64_t generation,
	      int64_t authority_end_ms)
{
	ownership_give(&pool->tenure, part, generation, authority_end_ms);
}

void pool_disown(struct pool *pool)
{
	ownership_lose(&pool->tenure, "given to another node");
}

void pool_end(struct pool *pool, struct job_pos *pos, enum job_end how,
	      const char *checkpoint)
{
	struct pool_counts *counts = &pool->env->counts;

	if (how == END_DONE)
		counts->runs_done++;
	else if (how == END_FAILED)
		counts->runs_failed++;
	else
		counts->runs_lost++;
	job_end_run(pos, how, checkpoint, pool_attempts(pool, pos->job));
}

/* The placements of that record and earlier ones may be ordered. */
static void placements_stored(struct job *job, uint32_t record)
{
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos)) {
		if (pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_STORING ||
		    pos.task->record != record)
			continue;
		pos.task->phase = PHASE_STARTING;
		pos.task->since_ms = 0;
	}
}

static void note_end(struct pool *pool, const struct job *job)
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
		 job->id, job_state_name(job->shown), job->queue,
		 wall_ms - job->accepted_ms,
		 job->placed_ms ? placed_ms - job->accepted_ms : -1,
		 job_chain_ms(job),
		 place_target_ms(*pool->env->cfg, job) - job->accepted_ms);
}

static void on_progress(void *arg, enum writer_outcome outcome, int64_t offset)
{
	struct note *note = arg;
	struct pool *pool = note->pool;
	struct job *job = job_find(pool->env->jobs, note->id);

	if (outcome != WRITER_STORED) {
		/* This frees all notes. */
		ownership_lose(&pool->tenure, "an append was fenced");
		return;
	}
	if (job) {
		job_stored(pool->env->jobs, job, offset, note->record,
			   note->len);
		placements_stored(job, note->number);
		pool_send_starts(pool, job);
		if (job_ended(job->shown))
			note_end(pool, job);
	}
	g_hash_table_remove(pool->notes, note);
}

static void on_cursor(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct note *note = arg;
	struct pool *pool = note->pool;
	struct worker *worker = worker_find(pool->env->workers, note->worker);

	(void)end;
	if (outcome != WRITER_STORED) {
		ownership_lose(&pool->tenure, "an append was fenced");
		return;
	}
	/* A new life counts its ends anew. */
	if (worker && worker->life_ms == note->life_ms) {
		worker->cursor = MAX(worker->cursor, note->cursor);
		worker->next_renew_ms = 0;
	}
	g_hash_table_remove(pool->notes, note);
}

static void store_job(struct pool *pool, struct job *job)
{
	char key[JOB_ID_BYTES + 2];
	struct note *note = note_new(pool);
	struct job_pos pos = { .job = job };

	note->number = ++job->records;
	g_strlcpy(note->id, job->id, sizeof(note->id));
	note->record = job_progress_record(job, &note->len);
	job->dirty = false;
	while (job_next_task(&pos)) {
		if (pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_RECORDING)
			continue;
		pos.task->phase = PHASE_STORING;
		pos.task->record = note->number;
	}
	g_snprintf(key, sizeof(key), "p:%s", job->id);
	writer_add(pool->tenure.writer, key, note->record, note->len,
		   on_progress, note);
}

/* Stores what has changed; the ends of runs before their cursors. */
static void store_changes(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;
	struct worker_table *workers = pool->env->workers;

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job *job = jobs->live->pdata[i];

		if (!mine(pool, job))
			continue;
		job_refresh(job);
		if (job->dirty)
			store_job(pool, job);
	}
	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];
		struct note *note;

		if (!my_worker(pool, worker) ||
		    worker->cursor_seen == worker->cursor_flushing)
			continue;
		worker->cursor_flushing = worker->cursor_seen;
		note = note_new(pool);
		g_strlcpy(note->worker, worker->entry.id, sizeof(note->worker));
		note->cursor = worker->cursor_seen;
		note->life_ms = worker->life_ms;
		writer_add(pool->tenure.writer, NULL, NULL, 0, on_cursor, note);
	}
}

/* Marks the workers whose life is to end by a plan. */
static void mark_leaving(struct pool *pool)
{
	struct worker_table *workers = pool->env->workers;
	struct host_plans *plans = pool->env->plans;

	for (guint i = 0; i < workers->list->len; i++) {
		struct worker *worker = workers->list->pdata[i];

		if (my_worker(pool, worker))
			worker->leaving = false;
	}
	for (guint i = 0; i < plans->list->len; i++) {
		const struct host_plan *plan = plans->list->pdata[i];
		struct worker *worker = worker_find(workers, plan->worker);

		if (worker && my_worker(pool, worker))
			worker->leaving = true;
	}
}

static void place_new(struct pool *pool)
{
	struct place place = {
		.pool = pool->name,
		.cfg = *pool->env->cfg,
		.jobs = pool->env->jobs,
		.workers = pool->env->workers,
		.now_ms = pool_now_ms(pool),
		.wall_ms = clk_wall_ms(pool->env->clk),
	};

	mark_leaving(pool);
	place_account(&place);
	pool_leave_slow(pool, &place);
	/* What is placed while the log stands still could not be stored. */
	if (writer_stalled_ms(pool->tenure.writer) < pool->env->lease_ms / 4)
		place_tasks(&place);
}

static void drop_record(struct pool *pool, char kind, const char *id)
{
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "%c:%s", kind, id);
	writer_add(pool->tenure.writer, key, NULL, 0, NULL, NULL);
}

/* Ended jobs can be asked for some time; then their records go. */
static void drop_old_jobs(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;
	int64_t now_ms = pool_now_ms(pool);

	if (now_ms < pool->drop_ms)
		return;
	pool->drop_ms = now_ms + POOL_DROP_MS;
	for (guint i = 0; i < jobs->list->len; i++) {
		struct job *job = jobs->list->pdata[i];

		if (!job_ended(job->shown) || strcmp(job->pool, pool->name))
			continue;
		if (!job->ended_ms)
			job->ended_ms = now_ms;
		if (job->dropping ||
		    now_ms - job->ended_ms < pool->env->keep_ms)
			continue;
		job->dropping = true;
		drop_record(pool, 'p', job->id);
		drop_record(pool, 'c', job->id);
		drop_record(pool, 'j', job->id);
	}
}

void pool_tick(struct pool *pool)
{
	struct job_store *jobs = pool->env->jobs;

	if (ownership_held(&pool->tenure)) {
		pool_end_lost(pool);
		place_new(pool);
		pool_empty_workers(pool);
		store_changes(pool);
		for (guint i = 0; i < jobs->live->len; i++)
			if (mine(pool, jobs->live->pdata[i])) {
				pool_send_starts(pool, jobs->live->pdata[i]);
				pool_repeat_stops(pool, jobs->live->pdata[i]);
			}
		pool_renew(pool);
		drop_old_jobs(pool);
	}
	ownership_tick(&pool->tenure);
}
