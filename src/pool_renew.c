#include "log.h"
#include "pool_int.h"
#include "pool_life.h"
#include "pool_sent.h"

enum {
	/* How long the answer to a renewal may wait for a run to end. Shorter
	   for a worker with tasks that report progress. */
	POOL_RENEW_WAIT_MS = 1000,
	POOL_PROGRESS_WAIT_MS = 500,
	/* And while leases cannot be full, so that full ones follow soon after
	   the log has answered. */
	POOL_SHORT_LEASE_WAIT_MS = 200,
	POOL_RENEW_GAP_MS = 30,
	/* Until the next renewal while ended runs that the worker has reported
	   are being stored. */
	POOL_CURSOR_WAIT_MS = 250,
	POOL_RENEW_RETRY_MS = 250
};

/* Longest lease that the worker may be given now; 0: none. */
static int64_t grantable_to_ms(const struct pool *pool,
			       const struct worker *worker, int64_t now_ms)
{
	int64_t lease_ms = pool_grantable_ms(pool, now_ms);
	const char *id = worker->entry.id;

	if (!bound_withholds(&pool->bound, id))
		return lease_ms;
	return MIN(lease_ms,
		   worker_lease_within_ms(now_ms,
					  bound_own_end_ms(&pool->bound, id)));
}

int64_t pool_grant_lease(const struct pool *pool, struct worker *worker,
			 int64_t now_ms)
{
	int64_t lease_ms = grantable_to_ms(pool, worker, now_ms);

	worker->lease_sent_ms = now_ms;
	worker->lease_end_ms = MAX(worker->lease_end_ms,
				   worker_lease_bound_ms(now_ms, lease_ms));
	return worker_clock_ms(worker, now_ms) + lease_ms;
}

static void handle_report(const struct pool_sent *sent, struct worker *worker,
			  const struct worker_report *report)
{
	pool_handle_report(sent->pool, worker, report, sent->sent_ms);
	worker->next_renew_ms = pool_now_ms(sent->pool) +
				(worker->cursor == worker->cursor_processed
					 ? POOL_RENEW_GAP_MS
					 : POOL_CURSOR_WAIT_MS);
}

static void on_renew(void *arg, enum order_outcome outcome,
		     const struct worker_report *report)
{
	struct pool_sent *sent = arg;
	struct pool *pool = sent->pool;
	struct worker *worker = worker_find(pool->env->workers, sent->worker);
	int64_t now_ms = pool_now_ms(pool);

	if (!pool_sent_is_current(sent) || !worker ||
	    sent->sent_ms != worker->renew_sent_ms) {
		g_free(sent);
		return;
	}
	worker->renewing = false;
	pool_sent_note_answer(sent, outcome);
	worker->next_renew_ms = now_ms + POOL_RENEW_RETRY_MS;
	if (outcome == ORDER_OK) {
		worker->renew_failures = 0;
		if (pool_admit_report(pool, worker, report, sent->fence))
			handle_report(sent, worker, report);
		else if (!worker->fences_used_up)
			worker->next_renew_ms = now_ms;
	} else if (outcome == ORDER_FENCED && pool_sent_is_outdated(sent)) {
		worker->next_renew_ms = now_ms;
	} else if (outcome == ORDER_FENCED) {
		pool_sent_handle_fenced(sent);
	} else {
		pool->env->counts.renewals_failed++;
		if (!worker->renew_failures++) {
			log_info("renewal-failed pool=%s worker=%s why=%s "
				 "sent_ms_ago=%" G_GINT64_FORMAT
				 " until_ms=%" G_GINT64_FORMAT,
				 pool->name, sent->worker, order_name(outcome),
				 now_ms - sent->sent_ms, sent->until_ms);
			pool_guard_silent(pool, worker);
		}
	}
	g_free(sent);
}

/* Whether tasks run or may be started on the worker. */
static bool needs_renewal(const struct worker *worker)
{
	return worker->listed || worker_has_work(worker);
}

/*
 * Whether the worker is known not to have restarted since its last report; one
 * that did not answer may have. After a restart it numbers its ended runs from
 * 1 again, so an old cursor would acknowledge ends that have not been stored.
 */
static bool has_not_restarted(const struct worker *worker)
{
	return !worker->renew_failures &&
	       (!worker->entry.boot_ms ||
		worker->entry.boot_ms == worker->boot_ms);
}

/* Whether tasks other than long-running ones are placed on the worker. */
static bool has_finite_tasks(const struct worker *worker)
{
	return worker->tasks > worker->long_running_tasks;
}

static int64_t renewal_wait_ms(const struct pool *pool,
			       const struct worker *worker, int64_t now_ms)
{
	if (grantable_to_ms(pool, worker, now_ms) < pool->env->lease_ms)
		return POOL_SHORT_LEASE_WAIT_MS;
	if (worker->stall_check_ms)
		return MIN(worker->stall_check_ms, POOL_PROGRESS_WAIT_MS);
	return has_finite_tasks(worker) ? POOL_PROGRESS_WAIT_MS
					: POOL_RENEW_WAIT_MS;
}

static void renew(struct pool *pool, struct worker *worker, int64_t now_ms)
{
	struct pool_sent *sent = pool_sent_new(pool, worker);
	/* Cursor and end of a lease count as in the life of the last report. */
	bool same_life = worker->fence_accepted && has_not_restarted(worker);
	struct order_renew renew = {
		.fence = sent->fence,
		.cursor = same_life ? worker->cursor : 0,
	};

	if (same_life && grantable_to_ms(pool, worker, now_ms) &&
	    now_ms - worker->last_report_ms < POOL_MAX_REPORT_AGE_MS) {
		renew.until_ms = pool_grant_lease(pool, worker, now_ms);
		sent->until_ms = renew.until_ms;
		renew.wait_ms = renewal_wait_ms(pool, worker, now_ms);
	}
	worker->renewing = true;
	worker->renew_sent_ms = sent->sent_ms;
	pool->env->counts.renewals++;
	pool->env->orders->renew(pool->env->orders->io, &worker->entry, &renew,
				 on_renew, sent);
}

/*
 * Whether the worker has started again since it was last asked. Until it has answered
 * under a raised fence it may execute orders of before, so that no renewal in flight
 * and no pause is waited for.
 */
static bool must_ask_at_once(const struct worker *worker)
{
	return pool_is_registered_anew(worker) &&
	       worker->renew_sent_ms < worker->life_seen_ms;
}

static bool renewal_due(const struct worker *worker, int64_t now_ms)
{
	if (!needs_renewal(worker))
		return false;
	return must_ask_at_once(worker) ||
	       (!worker->renewing && now_ms >= worker->next_renew_ms);
}

void pool_renew(struct pool *pool)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);
	int64_t now_ms = pool_now_ms(pool);

	if (!pool_grantable_ms(pool, now_ms))
		return;
	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		pool_guard_registered(pool, worker);
		if (renewal_due(worker, now_ms))
			renew(pool, worker, now_ms);
	}
}
