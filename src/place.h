/*
 * NAME
 *	place - scheduler of a pool: which task starts on which worker
 *
 * Pure decisions over jobs, workers and the time. A decision is made in
 * memory with job_place_task; its caller stores it before a worker is told.
 */
#ifndef PLACE_H
#define PLACE_H

#include <stdint.h>

#include "cfg.h"
#include "job.h"
#include "worker.h"

/* Where the scheduler counts what it decided. */
struct place_counts {
	uint32_t placed;
	uint32_t waiting; /* tasks that could start but for room */
};

struct place {
	const char *pool;
	const struct cfg *cfg;
	struct job_store *jobs;
	struct worker_table *workers;
	int64_t now_ms;
	int64_t wall_ms;
};

/* place_account - add up what the placed tasks of the pool take on workers */
void place_account(const struct place *place);

/*
 * place_tasks - place the tasks that can start now
 *
 * Long-running tasks come first, then jobs by the time at which their
 * objective ends. Jobs that cannot be in time any more come last: in a turn
 * that asks for more than the pool holds they would make all others late too.
 * place_account must have been called.
 */
struct place_counts place_tasks(const struct place *place);

/*
 * place_reserve - take room for a placed task at another worker
 *
 * Until the next place_account, so that no two tasks count on the same room.
 *
 * RETURN VALUE
 *	Whether there is any.
 */
bool place_reserve(const struct place *place, const struct job_pos *pos);

/* place_usable - whether new work may go to the worker */
bool place_usable(const struct place *place, const struct worker *worker);

/* place_target_ms - wall clock by which a job is to be done */
int64_t place_target_ms(const struct cfg *cfg, const struct job *job);

/* place_too_late - whether an occurrence can no longer meet its objective */
bool place_too_late(const struct cfg *cfg, const struct job *job,
		    uint32_t occurrence, int64_t wall_ms);

/*
 * place_backlog_ms - how long a pool takes for the work that it has accepted
 *
 * From estimates, its own workers, and the hosts that can be lent to it: what
 * is free in other pools, and what is parked, as all_milli of processor time
 * was listed at some time. Jobs that are too late do not count, as they come
 * last.
 */
int64_t place_backlog_ms(const struct place *place, int64_t all_milli);

/* place_listed_milli - processor time of all listed workers */
int64_t place_listed_milli(const struct worker_table *workers);

#endif
