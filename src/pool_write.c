#include <string.h>

#include "job_cancel.h"
#include "log.h"
#include "pool_int.h"
#include "rnd.h"

enum {
	/* Before a job is stored again that has a record which the log refuses. */
	POOL_REFUSED_RETRY_MS = 1000,
	/* Ends of runs are stored at each tick while the node has time to spare.
	   Beyond this part of its time they are batched, the longer the busier it
	   is: each record has all tasks of its job, and each acknowledgement
	   asks the worker for the next report. */
	POOL_FLUSH_BUSY_PERCENT = 50,
	POOL_FLUSH_MAX_MS = 120
};

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

void pool_write_init(struct pool *pool)
{
	pool->pending_writes =
		g_hash_table_new_full(NULL, NULL, pending_write_free, NULL);
}

void pool_write_clear(struct pool *pool)
{
	g_hash_table_remove_all(pool->pending_writes);
	pool->refused_jobs = 0;
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

/*
 * The log refuses a record of the job for good. Its placements are stored anew, in
 * ranges of tasks, which may be small enough.
 */
static void note_refused(struct pool *pool, struct job *job, uint32_t number)
{
	struct job_pos pos = { .job = job };

	pool->refused_jobs += !job->refused_record;
	job->refused_record = number;
	job->store_after_ms = pool_now_ms(pool) + POOL_REFUSED_RETRY_MS;
	job->dirty = true;
	job->has_placements = true;
	job_use_ranges(job);
	while (job_next_task(&pos))
		if (pos.task->state == TASK_PLACED &&
		    pos.task->phase == PHASE_STORING)
			pos.task->phase = PHASE_RECORDING;
	log_error("job-record-refused id=%s record=%u state=%s", job->id,
		  number, job_state_name(job->state));
}

/* Whether all records of the job are stored that were made with this one. */
static bool is_complete(struct pool *pool, struct job *job, uint32_t number)
{
	if (!job->refused_record)
		return true;
	if (job->refused_record >= number)
		return false;
	job->refused_record = 0;
	pool->refused_jobs--;
	return true;
}

/* Frees the argument; false if the record is not stored. */
static bool end_write(struct pending_write *pending,
		      enum writer_outcome outcome)
{
	struct pool *pool = pending->pool;
	struct job *job = job_find(pool->env->jobs, pending->id);

	if (outcome == WRITER_STORED)
		return true;
	if (outcome == WRITER_FENCED) {
		/* This frees all pending writes, including this one. */
		ownership_lose(&pool->ownership, "an append was fenced");
		return false;
	}
	if (job)
		note_refused(pool, job, pending->number);
	g_hash_table_remove(pool->pending_writes, pending);
	return false;
}

static void on_range_stored(void *arg, enum writer_outcome outcome,
			    int64_t offset)
{
	struct pending_write *pending = arg;

	(void)offset;
	if (end_write(pending, outcome))
		g_hash_table_remove(pending->pool->pending_writes, pending);
}

static void on_job_stored(void *arg, enum writer_outcome outcome,
			  int64_t offset)
{
	struct pending_write *pending = arg;
	struct pool *pool = pending->pool;
	struct job *job = job_find(pool->env->jobs, pending->id);

	if (!end_write(pending, outcome))
		return;
	if (job && is_complete(pool, job, pending->number)) {
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
	if (outcome == WRITER_FENCED) {
		ownership_lose(&pool->ownership, "an append was fenced");
		return;
	}
	if (outcome == WRITER_REFUSED || pool->refused_jobs) {
		/* Ends may be among them that no record has. */
		if (worker)
			worker->cursor_storing = worker->cursor;
	} else if (worker && worker->boot_ms == pending->boot_ms) {
		/* After a restart it numbers its ended runs from 1 again. */
		worker->cursor = MAX(worker->cursor, pending->cursor);
		worker->next_renew_ms = 0;
	}
	g_hash_table_remove(pool->pending_writes, pending);
}

/* Argument for the callbacks of a job's records. */
static struct pending_write *pending_record_new(struct pool *pool,
						const struct job *job)
{
	struct pending_write *pending = pending_write_new(pool);

	pending->number = job->record_count;
	g_strlcpy(pending->id, job->id, sizeof(pending->id));
	return pending;
}

static char *range_key(const struct job *job, uint32_t number)
{
	return g_strdup_printf("r:%s:%u", job->id, number);
}

static void store_ranges(struct pool *pool, struct job *job)
{
	uint32_t count = job_range_count(job);

	for (uint32_t i = 0; i < count; i++) {
		size_t len;
		char *record = job_range_record(job, i, &len);
		char *key;

		if (!record)
			continue;
		key = range_key(job, i);
		writer_add(pool_writer(pool), key, record, len, on_range_stored,
			   pending_record_new(pool, job));
		g_free(key);
		g_free(record);
	}
}

/* Makes the job's progress record; one that is too large is stored in ranges. */
static char *progress_record(struct pool *pool, struct job *job, size_t *len)
{
	char *record = job_progress_record(job, len);

	if (!job_must_use_ranges(job, *len + JOB_KEY_BYTES,
				 pool->env->record_bytes))
		return record;
	log_info("job-in-ranges id=%s bytes=%zu ranges=%u", job->id, *len,
		 job_range_count(job));
	g_free(record);
	job_use_ranges(job);
	return job_progress_record(job, len);
}

/* After the progress record, which says that their tasks are done. */
static void delete_outdated_ranges(struct pool *pool, const struct job *job)
{
	GArray *numbers = job_ranges_outdated(job);

	for (guint i = 0; i < numbers->len; i++) {
		char *key = range_key(job, g_array_index(numbers, uint32_t, i));

		writer_add(pool_writer(pool), key, NULL, 0, NULL, NULL);
		g_free(key);
	}
	g_array_unref(numbers);
}

static void store_job(struct pool *pool, struct job *job)
{
	char key[JOB_ID_BYTES + 2];
	struct pending_write *pending;
	struct job_pos pos = { .job = job };

	job->record_count++;
	pending = pending_record_new(pool, job);
	pending->record = progress_record(pool, job, &pending->len);
	/* A job that is done has no task left to know of. */
	if (job->in_ranges && job->state != JOB_DONE)
		store_ranges(pool, job);
	job->dirty = false;
	job->has_placements = false;
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
	if (job->in_ranges && !job_ended(job->state))
		delete_outdated_ranges(pool, job);
}

/* How long changes that nobody waits for may be kept, to store them together. */
static int64_t flush_gap_ms(const struct pool *pool)
{
	int32_t busy_percent =
		pool->env->lag ? MIN(pool->env->lag->busy_percent, 100) : 0;

	return POOL_FLUSH_MAX_MS *
	       MAX(busy_percent - POOL_FLUSH_BUSY_PERCENT, 0) /
	       (100 - POOL_FLUSH_BUSY_PERCENT);
}

/* Whether a start or a caller waits for the job's record. */
static bool is_awaited(const struct job *job)
{
	return job->has_placements || job->state != job->stored_state;
}

static void write_jobs(struct pool *pool, bool flush, int64_t now_ms)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];

		job_refresh(job);
		if (!job->dirty || now_ms < job->store_after_ms ||
		    (!flush && !is_awaited(job)))
			continue;
		if (job_ended(job->state))
			pool_unplaced_add_job(pool, job);
		store_job(pool, job);
	}
}

static void write_cursor(struct pool *pool, struct worker *worker)
{
	struct pending_write *pending = pending_write_new(pool);

	worker->cursor_storing = worker->cursor_processed;
	g_strlcpy(pending->worker, worker->entry.id, sizeof(pending->worker));
	pending->cursor = worker->cursor_processed;
	pending->boot_ms = worker->boot_ms;
	writer_add(pool_writer(pool), NULL, NULL, 0, on_cursor_stored, pending);
}

void pool_write_dirty(struct pool *pool)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);
	int64_t now_ms = pool_now_ms(pool);
	bool flush = now_ms >= pool->next_flush_ms;

	write_jobs(pool, flush, now_ms);
	if (!flush)
		return;
	pool->next_flush_ms = now_ms + flush_gap_ms(pool);
	for (guint i = 0; !pool->refused_jobs && i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		if (worker->cursor_processed != worker->cursor_storing)
			write_cursor(pool, worker);
	}
}

static void delete_record(struct pool *pool, const char *key)
{
	writer_add(pool_writer(pool), key, NULL, 0, NULL, NULL);
}

static void delete_submission(struct pool *pool, const char *id,
			      const char *token)
{
	char key[JOB_KEY_BYTES];

	g_snprintf(key, sizeof(key), "j:%s%s%s", id, *token ? ":" : "", token);
	delete_record(pool, key);
}

/* The one that holds comes last, as without it another one would hold. */
static void delete_submissions(struct pool *pool, const struct job *job)
{
	for (guint i = 0; job->overtaken && i < job->overtaken->len; i++)
		delete_submission(pool, job->id, job->overtaken->pdata[i]);
	delete_submission(pool, job->id, job->token);
}

static void delete_cancel(struct pool *pool, const char *id, const char *tenant)
{
	char *key = job_cancel_key(id, tenant);

	delete_record(pool, key);
	g_free(key);
}

static void delete_progress(struct pool *pool, const char *id)
{
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "p:%s", id);
	delete_record(pool, key);
}

/* Before the job's progress: without that, its tasks would count as waiting. */
static void delete_ranges(struct pool *pool, const struct job *job)
{
	GHashTableIter iter;
	void *number;

	if (!job->ranges)
		return;
	g_hash_table_iter_init(&iter, job->ranges);
	while (g_hash_table_iter_next(&iter, &number, NULL)) {
		char *key = range_key(job, GPOINTER_TO_UINT(number));

		delete_record(pool, key);
		g_free(key);
	}
}

static void delete_published(struct pool *pool, const char *id)
{
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "i:%s", id);
	writer_add(pool->env->publisher, key, NULL, 0, NULL, NULL);
}

void pool_delete_expired_jobs(struct pool *pool, int64_t now_ms)
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
		/* The job before its progress: without that it would be new. */
		delete_ranges(pool, job);
		delete_submissions(pool, job);
		delete_cancel(pool, job->id, NULL);
		delete_progress(pool, job->id);
		delete_published(pool, job->id);
	}
}

/* Whether the owner of the share deletes the cancel: its job is not there. */
static bool is_cancel_of_share(const struct pool *pool,
			       const struct job_cancel *cancel)
{
	struct job job = { .hash = rnd_hash_name(cancel->id) };

	return !job_find(pool->env->jobs, cancel->id) &&
	       !strcmp(cancel->pool, pool->share.pool) &&
	       share_of_job(&job, pool->share.count) == pool->share.index;
}

void pool_delete_expired_cancels(struct pool *pool, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->env->jobs->cancels);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job_cancel *cancel = value;

		if (cancel->deleting || !is_cancel_of_share(pool, cancel))
			continue;
		if (!cancel->read_ms)
			cancel->read_ms = now_ms;
		if (now_ms - cancel->read_ms < pool->env->job_retention_ms)
			continue;
		cancel->deleting = true;
		delete_cancel(pool, cancel->id, cancel->tenant);
	}
}
