/*
 * NAME
 *	pool_int - shared by the files of module pool
 */
#ifndef POOL_INT_H
#define POOL_INT_H

#include "place.h"
#include "pool.h"
#include "writer.h"

enum pool_state {
	POOL_FOREIGN,	  /* another node's, or nobody's */
	POOL_FENCING,	  /* the first append of this epoch is under way */
	POOL_CATCHING_UP, /* reads the stream up to that append */
	POOL_OWNED
};

struct pool {
	struct pool_env *env;
	char name[LIM_NAME_BYTES];
	enum pool_state state;
	int64_t fence;
	int64_t generation; /* in which the pool was taken over last */
	int64_t tries;	    /* to take it over in that generation */
	int64_t retry_ms;   /* not taken over again before */
	int64_t authority_end_ms;
	int64_t fence_end; /* the stream must be read up to here */
	int64_t taken_ms;
	bool syncing;
	uint32_t ownership; /* counts takeovers, to tell late answers */
	struct writer *writer;
	GHashTable *notes; /* arguments of the writer's callbacks */
};

static inline int64_t pool_now_ms(const struct pool *pool)
{
	return clk_now_ms(pool->env->clk);
}

/* pool_may_order - whether orders may still go out under this fence */
bool pool_may_order(const struct pool *pool);

/* pool_lose - stop acting as owner; what was not stored is undone */
void pool_lose(struct pool *pool, const char *why);

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

/* pool_take_report - act on what a worker lists */
void pool_take_report(struct pool *pool, struct worker *worker,
		      const struct worker_report *report, int64_t asked_ms);

/* pool_end_lost - end runs on workers whose lease is surely over */
void pool_end_lost(struct pool *pool);

#endif
