/*
 * NAME
 *	pool_int - shared by the files of module pool
 */
#ifndef POOL_INT_H
#define POOL_INT_H

#include "place.h"
#include "pool.h"
#include "ownership.h"

struct pool {
	struct pool_env *env;
	char name[LIMIT_NAME_BYTES];
	struct ownership tenure;
	int32_t starting;  /* start orders under way */
	int64_t drop_ms;   /* next look for jobs to drop */
	GHashTable *notes; /* arguments of the writer's callbacks */
};

static inline int64_t pool_now_ms(const struct pool *pool)
{
	return clk_now_ms(pool->env->clk);
}

/* pool_may_order - whether orders may still go out under this fence */
bool pool_may_order(const struct pool *pool);

/* pool_attempts - failed runs that end a job of that queue */
int32_t pool_attempts(const struct pool *pool, const struct job *job);

/* pool_end - take the end of a run and count it */
void pool_end(struct pool *pool, struct job_pos *pos, enum job_end how,
	      const char *checkpoint);

/* pool_renew - renew leases that are due */
void pool_renew(struct pool *pool);

/* pool_send_starts - send orders for placements that are stored */
void pool_send_starts(struct pool *pool, struct job *job);

/* pool_send_stop - tell a worker to end a run */
void pool_send_stop(struct pool *pool, struct worker *worker, const char *task,
		    int32_t run);

/*
 * pool_stop_task - end the task's newest run, wherever it is placed
 *
 * It is started again once the worker has confirmed that the run is over.
 */
void pool_stop_task(struct pool *pool, struct job_pos *pos);

/* pool_repeat_stops - repeat stop orders that had no answer */
void pool_repeat_stops(struct pool *pool, struct job *job);

/* pool_take_report - act on what a worker lists */
void pool_take_report(struct pool *pool, struct worker *worker,
		      const struct worker_report *report, int64_t asked_ms);

/* pool_empty_workers - empty the workers of hosts that are to go */
void pool_empty_workers(struct pool *pool);

/*
 * pool_leave_slow - notice workers that are slow, and take tasks off them
 *
 * place_account must have been called for place.
 */
void pool_leave_slow(struct pool *pool, const struct place *place);

/* pool_end_lost - end runs on workers whose lease is surely over */
void pool_end_lost(struct pool *pool);

#endif
