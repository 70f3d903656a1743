#include "pool.h"

#include <string.h>

#include "log.h"
#include "pool_int.h"

enum { POOL_SCAN_MS = 1000 };

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

/* Backwards, because job_reload removes ended jobs from the list. */
static void reload_jobs(struct job_store *store, const GPtrArray *jobs)
{
	for (guint i = jobs->len; i > 0; i--)
		job_reload(store, jobs->pdata[i - 1]);
}

static void on_acquired(void *arg)
{
	struct pool *pool = arg;
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);
	struct job_store *store = pool->env->jobs;
	const struct job_share *jobs = share_jobs(&pool->share, store);

	pool->env->counts.takeovers++;
	pool->starting = 0;
	pool->pacing = 0;
	pool->membership_over = false;
	reserve_reset(&pool->reserve);
	pool_unplaced_clear(pool);
	pool->published = (struct backlog){ 0 };
	pool->republish_ms = 0;
	for (guint i = 0; i < pool->env->plans->list->len; i++) {
		struct host_plan *plan = pool->env->plans->list->pdata[i];

		plan->drained_number = 0;
	}
	for (guint i = 0; i < workers->len; i++)
		worker_reset_owner_state(workers->pdata[i]);
	reload_jobs(store, jobs->live);
	reload_jobs(store, jobs->idle);
	pool_unplaced_inherit(pool);
	bound_acquired(&pool->bound);
	if (bound_withholds_any(&pool->bound))
		log_info("lease-bounds-read tenure=%s workers=%u",
			 pool->ownership.name,
			 g_hash_table_size(pool->bound.subjects));
	pool_quota_acquired(pool);
	pool_publish_missing(pool);
}

static void on_lost(void *arg)
{
	struct pool *pool = arg;
	struct job_store *store = pool->env->jobs;
	const struct job_share *jobs = share_jobs(&pool->share, store);

	reserve_reset(&pool->reserve);
	pool_write_clear(pool);
	pool_unplaced_clear(pool);
	pool_stored_clear(pool);
	bound_lost(&pool->bound);
	reload_jobs(store, jobs->live);
	reload_jobs(store, jobs->idle);
}

static void on_bound_fenced(void *arg)
{
	struct pool *pool = arg;

	ownership_lose(&pool->ownership, "an append was fenced");
}

static void init_bound(struct pool *pool)
{
	char *key = backlog_key(&pool->share);
	struct bound_config config = {
		.table = pool->env->bounds,
		.key = key,
		.fenced = on_bound_fenced,
		.arg = pool,
	};

	bound_init(&pool->bound, &config);
	g_free(key);
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
	pool_write_init(pool);
	pool_unplaced_init(pool);
	pool_stored_init(pool);
	pool_quota_init(pool);
	pool->estimates = estimate_create();
	reserve_init(&pool->reserve, &env->reserve_counts, pool->estimates);
	init_bound(pool);
	ownership_init(&pool->ownership, &config);
	g_free(what);
	return pool;
}

void pool_destroy(struct pool *pool)
{
	if (!pool)
		return;
	ownership_clear(&pool->ownership);
	bound_clear(&pool->bound);
	pool_quota_clear(pool);
	estimate_destroy(pool->estimates);
	g_hash_table_destroy(pool->pending_writes);
	pool_unplaced_free(pool);
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

/* Corrects the queue's estimates by a run whose start this owner has sent. */
static void note_duration(struct pool *pool, const struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const struct job_task *task = pos->task;

	if (pool->env->reserve_room && !step->long_running && task->since_ms &&
	    task->phase == PHASE_RUNNING)
		estimate_note(pool->estimates, pos->job->queue,
			      step->estimate_ms,
			      pool_now_ms(pool) - task->since_ms);
}

void pool_end_run(struct pool *pool, struct job_pos *pos, enum job_end how,
		  const char *checkpoint)
{
	struct pool_counts *counts = &pool->env->counts;

	if (how == END_DONE) {
		counts->runs_done++;
		note_duration(pool, pos);
	} else if (how == END_FAILED) {
		counts->runs_failed++;
	} else {
		counts->runs_lost++;
	}
	job_end_run(pos, how, checkpoint,
		    job_terms(pos->job, *pool->env->cfg).attempts);
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

struct worker *pool_find_planned(const struct pool *pool,
				 const struct host_plan *plan)
{
	const struct share *share = &pool->share;
	struct worker *worker;

	/* A worker without a known host is in the share of its own id. */
	if (pool->env->workers->hosts_known &&
	    share_of_hash(plan->hash, share->count) != share->index)
		return NULL;
	worker = worker_find(pool->env->workers, plan->worker);
	return worker && share_has_worker(share, worker) ? worker : NULL;
}

/*
 * Marks the workers whose host is to be restarted or moved, and those whose lease
 * must not be extended.
 */
static void mark_workers(struct pool *pool)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);
	struct host_plans *plans = pool->env->plans;
	bool bounded = bound_withholds_any(&pool->bound);

	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		worker->leaving = false;
		worker->may_stay = false;
		worker->bounded = bounded && bound_withholds(&pool->bound,
							     worker->entry.id);
	}
	for (guint i = 0; i < plans->list->len; i++) {
		const struct host_plan *plan = plans->list->pdata[i];
		struct worker *worker = pool_find_planned(pool, plan);

		if (!worker)
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
		.reserve = pool->env->reserve_room ? &pool->reserve : NULL,
	};

	mark_workers(pool);
	place_account(&place);
	place.quota = pool_quota_begin(pool);
	pool_unplaced_account(pool, place.quota);
	if (place.quota)
		pool_quota_withdraw(pool);
	pool_move_off_slow(pool, &place);
	pool_move_off_paced(pool, &place);
	pool_move_off_leaving(pool, &place);
	/* While the log is stalled, placements could not be stored. */
	if (writer_stalled_ms(pool_writer(pool)) < pool->env->lease_ms / 4 &&
	    stream_is_recent(pool))
		pool->env->counts.quota_blocked +=
			place_tasks(&place).over_quota;
	if (place.quota)
		pool_quota_store(pool);
	pool_note_away(pool, &place);
	pool_publish_load(pool, &place);
}

static void scan_jobs(struct pool *pool)
{
	int64_t now_ms = pool_now_ms(pool);

	if (now_ms < pool->next_scan_ms)
		return;
	pool->next_scan_ms = now_ms + POOL_SCAN_MS;
	pool_publish_unindexed(pool);
	pool_delete_expired_jobs(pool, now_ms);
	pool_delete_expired_cancels(pool, now_ms);
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

/* A job with so many tasks yields to others, which its starts would hold up. */
static void send_starts(struct pool *pool)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	for (int in_ranges = 0; in_ranges <= 1; in_ranges++)
		for (guint i = 0; i < jobs->len; i++) {
			struct job *job = jobs->pdata[i];

			if (job->in_ranges == in_ranges)
				pool_send_starts(pool, job);
		}
}

uint32_t pool_count_unplaced(const struct pool *pool)
{
	return pool_unplaced_count(pool);
}

void pool_tick(struct pool *pool)
{
	if (ownership_held(&pool->ownership)) {
		note_membership(pool);
		pool_end_lost(pool);
		pool_bound_leases(pool);
		place_waiting_tasks(pool);
		pool_drain_workers(pool);
		pool_write_dirty(pool);
		send_starts(pool);
		pool_resend_stops(pool);
		pool_stored_read(pool);
		pool_unplaced_stop(pool);
		pool_renew(pool);
		scan_jobs(pool);
	}
	ownership_tick(&pool->ownership);
}
