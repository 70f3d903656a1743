#include "log.h"
#include "pool_int.h"

enum {
	/* Between two looks at the workers of placed tasks. */
	POOL_BOUND_GAP_MS = 50,
	/* A worker that has not answered a new owner by then is out of reach. */
	POOL_BOUND_TAKEOVER_MS = 300,
	/* After one failed renewal a worker is out of reach if its last report
	   is older, as when the renewal has timed out; after two at once. */
	POOL_BOUND_REPORT_MS = 1000,
	/* Added to the end of the lease of a worker that has answered this owner:
	   if it does so again while the log is away, its runs survive that long. */
	POOL_BOUND_SPARE_MS = 2000,
	/* No worker is added while the log takes longer to answer an append. */
	POOL_BOUND_ANSWER_MS = 150
};

/* Whether the owner reaches a worker. */
enum reach {
	REACH_OPEN, /* not known yet: what was decided before holds */
	REACH_ANSWERS,
	REACH_NONE
};

/* Workers whose placed tasks wait for the end of a lease. */
struct bound_pass {
	struct pool *pool;
	int64_t now_ms;
	GHashTable *needed; /* their names */
};

static enum reach reach_worker(const struct pool *pool,
			       const struct worker *worker, int64_t now_ms)
{
	if (!worker || !worker->reports)
		return now_ms - pool->ownership.acquired_ms <
				       POOL_BOUND_TAKEOVER_MS
			       ? REACH_OPEN
			       : REACH_NONE;
	if (!worker->renew_failures)
		return REACH_ANSWERS;
	return worker->renew_failures > 1 || now_ms - worker->last_report_ms >=
						     POOL_BOUND_REPORT_MS
		       ? REACH_NONE
		       : REACH_OPEN;
}

/*
 * Whether a worker that answers again would lose its lease before a list without
 * it is stored, which takes two appends.
 */
static bool log_is_slow(const struct pool *pool)
{
	return writer_answer_ms(pool_writer(pool)) > POOL_BOUND_ANSWER_MS;
}

static void withhold_if_unreachable(struct bound_pass *pass, const char *name)
{
	struct pool *pool = pass->pool;
	const struct worker *worker = worker_find(pool->env->workers, name);
	enum reach reach = reach_worker(pool, worker, pass->now_ms);
	int64_t end_ms;

	if (reach == REACH_ANSWERS)
		return;
	g_hash_table_add(pass->needed, (char *)name);
	if (reach == REACH_OPEN || log_is_slow(pool))
		return;
	end_ms = pool_lease_end_ms(pool, name);
	if (worker && worker->reports)
		end_ms += POOL_BOUND_SPARE_MS;
	if (bound_withhold(&pool->bound, name, end_ms))
		log_info("lease-bound pool=%s worker=%s known=%d fenced=%d "
			 "failures=%d left_ms=%" G_GINT64_FORMAT,
			 pool->name, name, worker != NULL,
			 worker && worker->fence_accepted,
			 worker ? worker->renew_failures : 0,
			 end_ms - pass->now_ms);
}

static bool is_needed(void *arg, const char *worker)
{
	const struct bound_pass *pass = arg;

	return g_hash_table_contains(pass->needed, worker);
}

static void bound_unreachable_workers(struct pool *pool, int64_t now_ms)
{
	const GPtrArray *lists =
		share_jobs(&pool->share, pool->env->jobs)->placed;
	struct bound_pass pass = {
		.pool = pool,
		.now_ms = now_ms,
		.needed = g_hash_table_new(g_str_hash, g_str_equal),
	};

	for (guint i = 0; i < lists->len; i++) {
		const struct job_placed *placed = lists->pdata[i];

		withhold_if_unreachable(&pass, placed->worker);
	}
	bound_allow_unless(&pool->bound, is_needed, &pass);
	g_hash_table_destroy(pass.needed);
}

void pool_bound_leases(struct pool *pool)
{
	int64_t now_ms = pool_now_ms(pool);

	if (now_ms >= pool->next_bound_ms) {
		pool->next_bound_ms = now_ms + POOL_BOUND_GAP_MS;
		bound_unreachable_workers(pool, now_ms);
	}
	bound_store(&pool->bound, pool_writer(pool), now_ms);
}
