#include <string.h>

#include "log.h"
#include "pool_int.h"

enum {
	/* Between two records of a share, and between two that only tell of a
	   changed use. */
	POOL_QUOTA_GAP_MS = 60,
	POOL_QUOTA_MINOR_GAP_MS = 250
};

void pool_quota_init(struct pool *pool)
{
	pool->quota = quota_use_create();
	pool->quota_key = backlog_key(&pool->share);
}

void pool_quota_clear(struct pool *pool)
{
	quota_use_destroy(pool->quota);
	g_free(pool->quota_key);
}

void pool_quota_acquired(struct pool *pool)
{
	quota_use_reset(pool->quota);
	pool->quota_told_ms = 0;
}

static bool cfg_is_recent(const struct pool *pool)
{
	return !pool->env->operators ||
	       tail_age_ms(pool->env->operators) <= pool->env->max_cfg_age_ms;
}

static void count_placed(struct pool *pool, const struct job_placed *placed)
{
	for (guint i = 0; i < placed->tasks->len; i++) {
		const struct job_pos *pos =
			&g_array_index(placed->tasks, struct job_pos, i);

		if (pos->task->state == TASK_PLACED)
			quota_use_add(pool->quota, pos->job->tenant,
				      &pos->job->spec.steps[pos->step]);
	}
}

struct quota_use *pool_quota_begin(struct pool *pool)
{
	const GPtrArray *lists =
		share_jobs(&pool->share, pool->env->jobs)->placed;
	const struct quota_share *share =
		pool->env->quotas
			? quota_find(pool->env->quotas, pool->quota_key)
			: NULL;

	if (!quota_use_begin(pool->quota, *pool->env->cfg, share,
			     cfg_is_recent(pool)))
		return NULL;
	for (guint i = 0; i < lists->len; i++)
		count_placed(pool, lists->pdata[i]);
	return pool->quota;
}

/* Whether no order to start the task exists yet. */
static bool is_unordered(const struct job_task *task)
{
	return task->state == TASK_PLACED &&
	       (task->phase == PHASE_RECORDING ||
		task->phase == PHASE_STORING ||
		(task->phase == PHASE_STARTING && !task->start_sent_ms));
}

/* Placements of organisations whose limit was lowered; struct job_pos. */
static GArray *find_lowered(const struct pool *pool)
{
	const GPtrArray *lists =
		share_jobs(&pool->share, pool->env->jobs)->placed;
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct job_pos));

	for (guint i = 0; i < lists->len; i++) {
		const struct job_placed *placed = lists->pdata[i];

		for (guint k = 0; k < placed->tasks->len; k++) {
			const struct job_pos *pos = &g_array_index(
				placed->tasks, struct job_pos, k);

			if (is_unordered(pos->task) &&
			    quota_use_is_lowered(pool->quota, pos->job->tenant))
				g_array_append_vals(found, pos, 1);
		}
	}
	return found;
}

void pool_quota_withdraw(struct pool *pool)
{
	GArray *found;

	if (!quota_use_any_lowered(pool->quota))
		return;
	found = find_lowered(pool);
	for (guint i = 0; i < found->len; i++) {
		const struct job_pos *pos =
			&g_array_index(found, struct job_pos, i);
		const struct job_step *step = &pos->job->spec.steps[pos->step];

		/* One of a gang may have been withdrawn with another. */
		if (!is_unordered(pos->task) ||
		    quota_use_fits(pool->quota, pos->job->tenant))
			continue;
		pool_withdraw_start(pool, pos);
		quota_use_remove(pool->quota, pos->job->tenant, step,
				 step->gang ? step->count : 1);
	}
	g_array_free(found, TRUE);
}

void pool_quota_store(struct pool *pool)
{
	int64_t gap_ms = pool_now_ms(pool) - pool->quota_told_ms;
	char *record, *key;

	if (gap_ms < POOL_QUOTA_GAP_MS ||
	    !quota_use_is_news(pool->quota, gap_ms >= POOL_QUOTA_MINOR_GAP_MS))
		return;
	pool->quota_told_ms = pool_now_ms(pool);
	record = quota_use_record(pool->quota);
	key = g_strdup_printf("u:%s", pool->quota_key);
	writer_add(pool_writer(pool), key, record, strlen(record), NULL, NULL);
	pool->env->counts.quota_reports++;
	log_info("quota-reported share=%s bytes=%zu", pool->quota_key,
		 strlen(record));
	g_free(key);
	g_free(record);
}
