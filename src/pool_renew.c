#include "log.h"
#include "pool_int.h"
#include "pool_life.h"
#include "pool_reading.h"
#include "pool_sent.h"

enum {
	/* How long the answer to a renewal may wait for a run to end. Shorter
	   for a worker with tasks that report progress. */
	POOL_RENEW_WAIT_MS = 1000,
	POOL_PROGRESS_WAIT_MS = 500,
	/* For one with tasks that fill beside some that serve: their figures are of
	   the last half second. */
	POOL_PACED_WAIT_MS = 250,
	/* And while leases cannot be full, so that full ones follow soon after
	   the log has answered. */
	POOL_SHORT_LEASE_WAIT_MS = 200,
	POOL_RENEW_GAP_MS = 30,
	/* Until the next renewal while ended runs that the worker has reported
	   are being stored. */
	POOL_CURSOR_WAIT_MS = 250,
	POOL_RENEW_RETRY_MS = 250,
	/* While answers get lost: a run that has ended is learned of with the
	   next renewal if the answer that would have told is lost. */
	POOL_LOSSY_WAIT_MS = 300,
	/* An answer is not missed sooner while no answers get lost: a worker
	   usually answers within a few milliseconds, a busy one in 100. */
	POOL_MISSED_MIN_MS = 250,
	/* Repeats of a renewal, for a worker that is cut off, and while answers
	   get lost: with 40% lost, all nine orders are in 0.03% of the cases.
	   With POOL_MAX_STARTS_LOSSY, fewer than the connections
	   to one address. */
	POOL_MAX_REPEATS = 3,
	POOL_MAX_REPEATS_LOSSY = 8,
	POOL_LOSSY_LOG_MS = 5000,
	/* How long an answer may take to begin; after one that took longer; and at
	   most, for a worker whose answers do. */
	POOL_BEGIN_MS = 1000,
	POOL_BEGIN_AGAIN_MS = 2000,
	POOL_BEGIN_MAX_MS = 3000,
	/* Reading a report that takes longer is logged. */
	POOL_READ_LOG_MS = 500
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

/* When the answer began to arrive. */
static int64_t answered_ms(const struct pool_sent *sent, int64_t now_ms)
{
	return sent->answered_ms ? sent->answered_ms : now_ms;
}

/*
 * When to send the next renewal. A report that takes long to read takes up the link
 * and the processor, so that as much time is left for those of other workers, but no
 * more than half of the lease.
 */
static int64_t next_renew_ms(const struct pool_sent *sent,
			     const struct worker *worker, int64_t now_ms)
{
	int64_t read_ms = now_ms - answered_ms(sent, now_ms);
	int64_t latest_ms = sent->sent_ms + sent->pool->env->lease_ms / 2;

	if (worker->cursor != worker->cursor_processed)
		return now_ms + POOL_CURSOR_WAIT_MS;
	return MAX(MIN(now_ms + read_ms, latest_ms),
		   now_ms + POOL_RENEW_GAP_MS);
}

static void handle_report(const struct pool_sent *sent, struct worker *worker,
			  const struct worker_report *report)
{
	int64_t now_ms = pool_now_ms(sent->pool);
	int64_t began_ms = answered_ms(sent, now_ms);

	worker->renew_repeats = 0;
	worker->answer_begin_ms =
		MAX(began_ms - sent->sent_ms - sent->wait_ms, 0);
	worker->report_asked_ms = sent->sent_ms;
	if (sent->until_ms)
		worker->lease_kept_ms = sent->sent_ms;
	pool_handle_report(sent->pool, worker, report, sent->sent_ms);
	/* The worker read its clock before it began to answer. */
	worker->clock_at_ms = began_ms;
	if (now_ms - began_ms > POOL_READ_LOG_MS)
		log_info("report-read-slowly worker=%s runs=%u ends=%u "
			 "read_ms=%" G_GINT64_FORMAT,
			 sent->worker, report->run_count, report->end_count,
			 now_ms - began_ms);
	worker->next_renew_ms = next_renew_ms(sent, worker, now_ms);
	/* A repeat has not extended the lease. */
	if (sent->attempt > 1)
		worker->next_renew_ms = now_ms;
}

/* Measures the time of an answer, and counts the earlier ones that are lost. */
static void measure_answer(struct pool_env *env, const struct pool_sent *sent,
			   int64_t now_ms)
{
	int64_t took_ms = answered_ms(sent, now_ms) - sent->sent_ms;

	/* One that tells the end of a run came before the wait was over. */
	if (took_ms >= sent->wait_ms)
		rtt_add(&env->renew_rtt, took_ms - sent->wait_ms);
	rtt_count_attempts(&env->renew_rtt, (uint32_t)sent->attempt);
	env->counts.answers_lost += sent->attempt - 1;
	if (sent->attempt > 1 && pool_loses_answers(env) &&
	    now_ms - env->lossy_logged_ms >= POOL_LOSSY_LOG_MS) {
		env->lossy_logged_ms = now_ms;
		log_info("answers-lost worker=%s attempt=%d lost_percent=%d "
			 "expected_ms=%" G_GINT64_FORMAT,
			 sent->worker, sent->attempt,
			 (int)(100 * env->renew_rtt.lost),
			 rtt_expected_ms(&env->renew_rtt));
	}
}

/*
 * Whether the answer to a renewal which has been repeated still says something: no
 * later one has been answered, and it is a report under the present fence, or the
 * end of the first attempt, at which the worker counts as silent.
 */
static bool is_of_use(const struct pool_sent *sent, const struct worker *worker,
		      enum order_outcome outcome)
{
	if (sent->sent_ms == worker->renew_sent_ms)
		return true;
	if (!worker->renew_repeats || sent->sent_ms <= worker->report_asked_ms)
		return false;
	return outcome == ORDER_OK
		       ? !pool_sent_is_outdated(sent)
		       : outcome == ORDER_UNKNOWN && sent->attempt == 1;
}

static void on_renew(void *arg, enum order_outcome outcome,
		     const struct worker_report *report)
{
	struct pool_sent *sent = arg;
	struct pool *pool = sent->pool;
	struct worker *worker = worker_find(pool->env->workers, sent->worker);
	int64_t now_ms = pool_now_ms(pool);

	if (!pool_sent_is_current(sent) || !worker ||
	    !is_of_use(sent, worker, outcome)) {
		g_free(sent);
		return;
	}
	pool_sent_note_answer(sent, outcome);
	/* One that comes after a silence does not show what was lost before. */
	if (outcome == ORDER_OK && !worker->renew_failures)
		measure_answer(pool->env, sent, now_ms);
	worker->renewing = false;
	worker->report_part_ms = 0;
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
	return !worker->renew_failures && !worker->renew_repeats &&
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
	if (pool_loses_answers(pool->env))
		/* None once half of the lease is over, so that more attempts
		   fit into the rest. */
		return now_ms - worker->lease_kept_ms > pool->env->lease_ms / 2
			       ? 0
			       : POOL_LOSSY_WAIT_MS;
	if (worker->paced)
		return POOL_PACED_WAIT_MS;
	if (worker->stall_check_ms)
		return MIN(worker->stall_check_ms, POOL_PROGRESS_WAIT_MS);
	return has_finite_tasks(worker) ? POOL_PROGRESS_WAIT_MS
					: POOL_RENEW_WAIT_MS;
}

/*
 * When an answer is missed, from the end of its wait on. A worker whose reports are long
 * may take its time to begin each one.
 */
static int64_t missed_ms(const struct pool_env *env,
			 const struct worker *worker, int32_t attempt)
{
	int64_t ms = rtt_missed_ms(&env->renew_rtt, (uint32_t)attempt);

	if (!pool_loses_answers(env))
		ms = MAX(ms, POOL_MISSED_MIN_MS);
	return MAX(ms, 2 * worker->answer_begin_ms);
}

/* How long an answer may take to begin, from the end of its wait on. */
static int64_t begin_ms(const struct worker *worker)
{
	int64_t least_ms =
		worker->renew_failures ? POOL_BEGIN_AGAIN_MS : POOL_BEGIN_MS;

	return CLAMP(2 * worker->answer_begin_ms, least_ms, POOL_BEGIN_MAX_MS);
}

/* Cursor and end of a lease count as in the life of the last report. */
static bool is_same_life(const struct worker *worker)
{
	return worker->fence_accepted && has_not_restarted(worker);
}

int64_t pool_heard_ms(const struct worker *worker)
{
	return MAX(worker->last_report_ms, worker->lease_kept_ms);
}

bool pool_may_extend(const struct pool *pool, const struct worker *worker,
		     int64_t now_ms)
{
	return is_same_life(worker) && grantable_to_ms(pool, worker, now_ms) &&
	       now_ms - pool_heard_ms(worker) < POOL_MAX_REPORT_AGE_MS;
}

static void renew(struct pool *pool, struct worker *worker, int64_t now_ms)
{
	struct pool_sent *sent = pool_sent_new(pool, worker);
	struct order_renew renew = {
		.fence = sent->fence,
		.cursor = is_same_life(worker) ? worker->cursor : 0,
		.begin_ms = begin_ms(worker),
		.on_part = pool_reading_part,
	};

	if (pool_may_extend(pool, worker, now_ms)) {
		renew.until_ms = pool_grant_lease(pool, worker, now_ms);
		sent->until_ms = renew.until_ms;
		renew.wait_ms = renewal_wait_ms(pool, worker, now_ms);
	}
	sent->wait_ms = renew.wait_ms;
	sent->attempt = 1 + worker->renew_repeats;
	worker->renewing = true;
	worker->renew_sent_ms = sent->sent_ms;
	worker->renew_overdue = false;
	worker->renew_due_ms = now_ms + renew.wait_ms +
			       missed_ms(pool->env, worker, sent->attempt);
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

/*
 * Whether the answer to the renewal in flight is missed, and the renewal is to be
 * repeated. Not before it was so at the last look too: after a pause of this node,
 * answers that have arrived are read in between.
 */
static bool must_repeat(const struct pool *pool, struct worker *worker,
			int64_t now_ms)
{
	int32_t max_repeats = pool_loses_answers(pool->env)
				      ? POOL_MAX_REPEATS_LOSSY
				      : POOL_MAX_REPEATS;
	bool overdue = worker->renew_overdue;

	if (!worker->renewing || worker->renew_failures ||
	    now_ms < worker->renew_due_ms || pool_is_reading(worker, now_ms) ||
	    worker->renew_repeats >= max_repeats)
		return false;
	worker->renew_overdue = true;
	return overdue;
}

/*
 * Asks again without waiting for the end of a renewal. The repeat extends no lease
 * and acknowledges nothing, as the worker may have started again; it has a higher
 * fence, so that its answer shuts out the renewal before, as in on_renew.
 */
static void repeat(struct pool *pool, struct worker *worker, int64_t now_ms)
{
	if (!worker->renew_repeats++)
		pool_guard_silent(pool, worker);
	pool->env->counts.renewals_repeated++;
	renew(pool, worker, now_ms);
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
		else if (needs_renewal(worker) &&
			 must_repeat(pool, worker, now_ms))
			repeat(pool, worker, now_ms);
		else if (pool_is_reading(worker, now_ms))
			pool_reading_keep_lease(pool, worker, now_ms);
	}
}
