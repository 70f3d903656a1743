#include "log.h"
#include "pool_int.h"

enum {
	/* After a read that the log did not answer. */
	POOL_READ_RETRY_MS = 100,
	/* Starts go out for this time after the end of a read. Shorter than the
	   time to a repeated start, so that one waits for a new read. */
	POOL_READ_AGE_MS = 300
};

/* A record with placements that is stored, but may not have been read yet. */
struct stored_record {
	char id[JOB_ID_BYTES]; /* of the job */
	uint32_t number;       /* of the job's progress record */
	int64_t offset;
};

static struct tail *jobs_tail(const struct pool *pool)
{
	return pool->ownership.config.streams[0].tail;
}

void pool_stored_init(struct pool *pool)
{
	pool->stored = g_array_new(FALSE, FALSE, sizeof(struct stored_record));
}

void pool_stored_clear(struct pool *pool)
{
	g_array_set_size(pool->stored, 0);
	pool->stored_reading = 0;
}

/* Allows start orders for the placements in the record. */
static void allow_starts(struct pool *pool, const struct stored_record *record)
{
	struct job *job = job_find(pool->env->jobs, record->id);
	struct job_pos pos = { .job = job };

	if (!job)
		return;
	while (job_next_task(&pos)) {
		if (pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_STORING ||
		    pos.task->placement_record != record->number)
			continue;
		pos.task->phase = PHASE_STARTING;
		pos.task->since_ms = 0;
	}
	pool_send_starts(pool, job);
}

static void on_read(void *arg, bool complete)
{
	struct pool *pool = arg;
	guint count = pool->stored_reading;

	pool->reading = false;
	pool->stored_reading = 0;
	if (!complete) {
		pool->next_read_ms = pool_now_ms(pool) + POOL_READ_RETRY_MS;
		return;
	}
	pool->read_wanted = false;
	pool->read_ms = pool_now_ms(pool);
	for (; count && pool->stored->len; count--) {
		struct stored_record record =
			g_array_index(pool->stored, struct stored_record, 0);

		/* The read ended before the record. */
		if (record.offset >= tail_next(jobs_tail(pool)))
			return;
		g_array_remove_index(pool->stored, 0);
		allow_starts(pool, &record);
	}
	pool_stored_read(pool);
}

void pool_stored_read(struct pool *pool)
{
	if ((!pool->stored->len && !pool->read_wanted) || pool->reading ||
	    pool_now_ms(pool) < pool->next_read_ms)
		return;
	pool->reading = true;
	pool->stored_reading = pool->stored->len;
	tail_sync(jobs_tail(pool), on_read, pool);
}

/* Whether the registry was read recently enough; logs each change. */
static bool registry_is_recent(struct pool *pool)
{
	const struct pool_env *env = pool->env;
	int64_t age_ms = env->registry ? tail_age_ms(env->registry) : 0;
	bool outdated = age_ms > env->max_registry_age_ms;

	if (outdated != pool->registry_outdated)
		log_info(
			"starts-%s tenure=%s registry_age_ms=%" G_GINT64_FORMAT,
			outdated ? "held" : "resumed", pool->ownership.name,
			age_ms);
	pool->registry_outdated = outdated;
	return !outdated;
}

bool pool_may_start(struct pool *pool)
{
	bool recent = pool_now_ms(pool) - pool->read_ms < POOL_READ_AGE_MS;

	pool->read_wanted |= !recent;
	return recent && registry_is_recent(pool);
}

static bool has_placements(struct job *job, uint32_t number)
{
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos))
		if (pos.task->state == TASK_PLACED &&
		    pos.task->phase == PHASE_STORING &&
		    pos.task->placement_record == number)
			return true;
	return false;
}

void pool_stored_add(struct pool *pool, struct job *job, uint32_t number,
		     int64_t offset)
{
	struct stored_record record = { .number = number, .offset = offset };

	if (job_ended(job->stored_state) || !has_placements(job, number))
		return;
	g_strlcpy(record.id, job->id, sizeof(record.id));
	g_array_append_val(pool->stored, record);
	pool_stored_read(pool);
}
