/*
 * NAME
 *	pool_sent - orders in flight: what is known of one until its answer
 *
 * An answer that comes after the pool has been lost, or lost and taken over
 * again, changes nothing.
 */
#ifndef POOL_SENT_H
#define POOL_SENT_H

#include "pool_int.h"

struct pool_sent {
	struct pool *pool;
	uint32_t ownership_number; /* when the order was sent */
	char worker[LIMIT_NAME_BYTES];
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	int64_t sent_ms;
	int64_t fence;
	/* Lower bound of the worker's clock when the order was sent. */
	int64_t clock_ms;
	int64_t wait_ms;  /* how long the answer to a renewal may wait */
	int32_t attempt;  /* of a renewal: 1, then its repeats */
	int64_t until_ms; /* end of the lease, by the worker's clock; 0: none */
	int64_t answered_ms; /* when the answer to a renewal began; 0: not told */
	int32_t percent;     /* of an order that changes the pace */
};

/* pool_sent_new - an order that is sent now; free it with g_free */
struct pool_sent *pool_sent_new(struct pool *pool, const struct worker *worker);

/* pool_sent_is_current - whether the pool has been held without a break since */
bool pool_sent_is_current(const struct pool_sent *sent);

/* pool_sent_is_outdated - whether the fence for the worker was raised since */
bool pool_sent_is_outdated(const struct pool_sent *sent);

/* pool_sent_note_answer - an answer of any kind shows that the worker is up */
void pool_sent_note_answer(const struct pool_sent *sent,
			   enum order_outcome outcome);

/* pool_sent_handle_fenced - another node owns the pool; lose it */
void pool_sent_handle_fenced(const struct pool_sent *sent);

#endif
