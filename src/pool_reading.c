#include "log.h"
#include "pool_life.h"
#include "pool_reading.h"
#include "pool_sent.h"

enum {
	/* A report of which no part came for longer counts as one that has not
	   begun. */
	POOL_READING_STALL_MS = 500,
	/* The lease is extended once the worker was not heard of for longer, and
	   how long the answer may take to begin: time for a second attempt, and a
	   third, before POOL_MAX_REPORT_AGE_MS. */
	POOL_READING_SILENCE_MS = 1200,
	POOL_READING_BEGIN_MS = 500
};

void pool_reading_part(void *arg)
{
	struct pool_sent *sent = arg;
	struct worker *worker =
		worker_find(sent->pool->env->workers, sent->worker);
	int64_t now_ms = pool_now_ms(sent->pool);

	if (!sent->answered_ms)
		sent->answered_ms = now_ms;
	/* Not of a report that came too late, as a later one was answered. */
	if (pool_sent_is_current(sent) && worker &&
	    sent->sent_ms > worker->report_asked_ms)
		worker->report_part_ms = now_ms;
}

bool pool_is_reading(const struct worker *worker, int64_t now_ms)
{
	return worker->renewing && worker->report_part_ms &&
	       now_ms - worker->report_part_ms < POOL_READING_STALL_MS;
}

/* Whether the answer shows that the worker has executed the renewal in this life. */
static bool has_extended(const struct pool_sent *sent,
			 const struct worker *worker,
			 enum order_outcome outcome,
			 const struct worker_report *report)
{
	return outcome == ORDER_OK && worker->fence_accepted &&
	       !pool_sent_is_outdated(sent) &&
	       report->boot_ms == worker->boot_ms &&
	       report->clock_ms >= sent->clock_ms;
}

/* What goes wrong shows in the report that is being read, or in its end. */
static void on_lease_extended(void *arg, enum order_outcome outcome,
			      const struct worker_report *report)
{
	struct pool_sent *sent = arg;
	struct worker *worker =
		worker_find(sent->pool->env->workers, sent->worker);
	bool current = pool_sent_is_current(sent) && worker;

	if (current) {
		worker->extending = false;
		if (has_extended(sent, worker, outcome, report))
			worker->lease_kept_ms =
				MAX(worker->lease_kept_ms, sent->sent_ms);
		else
			log_info("lease-not-extended worker=%s why=%s "
				 "sent_ms_ago=%" G_GINT64_FORMAT,
				 sent->worker, order_name(outcome),
				 pool_now_ms(sent->pool) - sent->sent_ms);
	}
	g_free(sent);
}

void pool_reading_keep_lease(struct pool *pool, struct worker *worker,
			     int64_t now_ms)
{
	struct order_renew renew = {
		.lease_only = true,
		.begin_ms =
			MAX(2 * worker->answer_begin_ms, POOL_READING_BEGIN_MS),
	};
	struct pool_sent *sent;

	if (worker->extending ||
	    now_ms - pool_heard_ms(worker) < POOL_READING_SILENCE_MS ||
	    !pool_may_extend(pool, worker, now_ms))
		return;
	sent = pool_sent_new(pool, worker);
	renew.fence = sent->fence;
	renew.cursor = worker->cursor;
	renew.until_ms = pool_grant_lease(pool, worker, now_ms);
	sent->until_ms = renew.until_ms;
	worker->extending = true;
	pool->env->counts.leases_extended_alone++;
	pool->env->orders->renew(pool->env->orders->io, &worker->entry, &renew,
				 on_lease_extended, sent);
}
