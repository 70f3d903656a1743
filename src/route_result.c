/* Health of workers by the results of requests: scores, ejection, probes. */

#include "route_int.h"

enum {
	AVOID_REFUSED_MS = 1000,
	/* Longer than the 3 s within which all senders stop using a leaving
	   worker. */
	AVOID_LEAVING_MS = 5000,
	AVOID_LEAVING_MAX_DOUBLINGS = 4,

	/*
	 * A failure raises a worker's score by 2 and an answer lowers it by 1,
	 * so a worker that fails more than a third of its requests is
	 * eventually ejected, and one that fails all of them after three.
	 */
	SCORE_PER_FAILURE = 2,
	SCORE_EJECT_MIN = 6,
	SCORE_MAX = 12,
	/* Longer than the default deadline: within a deadline, a worker that
	   hangs causes only one failure per slot. */
	SCORE_DECAY_MS = 30000,
	EJECT_DIVISOR = 3,
	PROBE_INTERVAL_MS = 1000,
	PROBE_MAX_DOUBLINGS = 6
};

/* Number of workers of a pool that may be ejected at a time. */
static uint32_t eject_limit(const struct route_pool *pool)
{
	if (pool->usable < 2)
		return 0;
	return pool->usable < EJECT_DIVISOR ? 1 : pool->usable / EJECT_DIVISOR;
}

void route_limit_ejected(struct route_pool *pool)
{
	pool->usable = 0;
	pool->ejected = 0;
	for (uint32_t i = 0; i < pool->count; i++)
		pool->usable += pool->workers[i]->usable;
	for (uint32_t i = 0; i < pool->count; i++) {
		struct route_worker *worker = pool->workers[i];

		if (!worker->usable || !worker->ejected)
			continue;
		if (pool->ejected >= eject_limit(pool))
			worker->ejected = false;
		else
			pool->ejected++;
	}
}

void route_decay_score(struct route_worker *worker, int64_t now_ms)
{
	int64_t steps = (now_ms - worker->score_ms) / SCORE_DECAY_MS;

	if (worker->score == 0 || worker->ejected) {
		worker->score_ms = now_ms;
		return;
	}
	worker->score -=
		steps < worker->score ? (uint32_t)steps : worker->score;
	worker->score_ms += steps * SCORE_DECAY_MS;
}

/*
 * Requests in progress plus a penalty for a worker that fails but cannot be
 * ejected: failing fast, it would be idle most of the time and attract most of
 * the load. Below the score for ejection there is no penalty; otherwise a few
 * failures would take more workers out of use than the ejection limit allows.
 */
uint64_t route_load(const struct route_worker *worker)
{
	if (worker->score < SCORE_EJECT_MIN)
		return worker->in_flight;
	return worker->in_flight + worker->score / SCORE_PER_FAILURE;
}

static bool may_eject(const struct route_worker *worker)
{
	const struct route_pool *pool = worker->pool;

	return pool && worker->usable && worker->score >= SCORE_EJECT_MIN &&
	       pool->ejected < eject_limit(pool);
}

static void schedule_probe(struct route *route, struct route_worker *worker,
			   int64_t now_ms)
{
	uint32_t interval_ms = PROBE_INTERVAL_MS << worker->probe_steps;

	/* Jitter keeps entry daemons from probing at the same time. */
	worker->probe_at_ms =
		now_ms + interval_ms + rnd_below(route->rnd, interval_ms / 4);
	if (worker->probe_steps < PROBE_MAX_DOUBLINGS)
		worker->probe_steps++;
}

static void eject(struct route *route, struct route_worker *worker,
		  int64_t now_ms)
{
	worker->ejected = true;
	worker->pool->ejected++;
	route->stats.ejections++;
	schedule_probe(route, worker, now_ms);
}

static void readmit(struct route_worker *worker)
{
	worker->ejected = false;
	if (worker->pool && worker->usable)
		worker->pool->ejected--;
}

static void count_answer(struct route_worker *worker, bool probe,
			 int64_t now_ms)
{
	if (now_ms >= worker->avoid_until_ms)
		worker->leaving_count = 0;
	if (worker->ejected) {
		if (!probe)
			return;
		readmit(worker);
		/* A single failure ejects it again. */
		worker->score = SCORE_EJECT_MIN - SCORE_PER_FAILURE;
		worker->score_ms = now_ms;
		return;
	}
	route_decay_score(worker, now_ms);
	if (worker->score)
		worker->score--;
	if (!worker->score)
		worker->probe_steps = 0;
}

static void count_failure(struct route *route, struct route_worker *worker,
			  bool probe, int64_t now_ms)
{
	route_decay_score(worker, now_ms);
	worker->score += SCORE_PER_FAILURE;
	if (worker->score > SCORE_MAX)
		worker->score = SCORE_MAX;
	if (probe)
		schedule_probe(route, worker, now_ms);
	else if (!worker->ejected && may_eject(worker))
		eject(route, worker, now_ms);
}

void route_done(struct route *route, struct route_worker *worker,
		enum route_result result, int64_t now_ms)
{
	bool probe = worker->ejected && worker->probing;

	worker->in_flight--;
	worker->probing = false;
	switch (result) {
	case ROUTE_ANSWERED:
		count_answer(worker, probe, now_ms);
		break;
	case ROUTE_REFUSED:
		if (worker->avoid_until_ms < now_ms + AVOID_REFUSED_MS)
			worker->avoid_until_ms = now_ms + AVOID_REFUSED_MS;
		break;
	case ROUTE_LEAVING:
		/* Requests sent before the first refusal arrived are refused as
		   well; they count as one. */
		if (now_ms < worker->avoid_until_ms && worker->leaving_count)
			break;
		worker->avoid_until_ms = now_ms + ((int64_t)AVOID_LEAVING_MS
						   << worker->leaving_count);
		if (worker->leaving_count < AVOID_LEAVING_MAX_DOUBLINGS)
			worker->leaving_count++;
		break;
	case ROUTE_ABANDONED:
		break;
	case ROUTE_FAILED:
		count_failure(route, worker, probe, now_ms);
		break;
	}
}

void route_undo_failure(struct route *route, const char *name)
{
	struct route_worker *worker = table_find(route->workers, name);

	if (!worker)
		return;
	route->stats.failures_undone++;
	worker->score -= worker->score < SCORE_PER_FAILURE ? worker->score
							   : SCORE_PER_FAILURE;
	if (!worker->ejected)
		return;
	if (worker->probe_steps)
		worker->probe_steps--;
	if (worker->score < SCORE_EJECT_MIN)
		readmit(worker);
}
