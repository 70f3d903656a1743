#include "pool_sent.h"

#include "log.h"
#include "pool_life.h"

struct pool_sent *pool_sent_new(struct pool *pool, const struct worker *worker)
{
	struct pool_sent *sent = g_new0(struct pool_sent, 1);

	sent->pool = pool;
	sent->ownership_number = pool->ownership.change_count;
	sent->sent_ms = pool_now_ms(pool);
	sent->fence = pool_order_fence(pool, worker);
	sent->clock_ms = worker_clock_ms(worker, sent->sent_ms);
	g_strlcpy(sent->worker, worker->entry.id, sizeof(sent->worker));
	return sent;
}

bool pool_sent_is_current(const struct pool_sent *sent)
{
	return sent->ownership_number == sent->pool->ownership.change_count;
}

bool pool_sent_is_outdated(const struct pool_sent *sent)
{
	const struct worker *worker =
		worker_find(sent->pool->env->workers, sent->worker);

	return worker && sent->fence < pool_order_fence(sent->pool, worker);
}

void pool_sent_note_answer(const struct pool_sent *sent,
			   enum order_outcome outcome)
{
	struct worker *worker =
		worker_find(sent->pool->env->workers, sent->worker);

	if (!worker || outcome == ORDER_UNKNOWN)
		return;
	worker->unanswered_since_ms = 0;
	/* It may have started again under its id since the list that said so. */
	if (!worker_is_replaced(worker))
		worker->dead_ms = 0;
}

void pool_sent_handle_fenced(const struct pool_sent *sent)
{
	struct pool *pool = sent->pool;

	log_warn("order-fenced pool=%s worker=%s fence=%" G_GINT64_FORMAT,
		 pool->name, sent->worker, sent->fence);
	ownership_lose(&pool->ownership, "a worker has seen a higher fence");
}
