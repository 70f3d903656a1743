/*
 * NAME
 *	admit - queues of requests: priorities, deadlines, shedding
 *
 * Keeps a queue for each pool and priority and decides which request may start
 * next, given the slots that this entry daemon has in the pool. Does no I/O and
 * reads no clock: the caller passes the time in milliseconds.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

struct admit;
struct admit_pool;

enum admit_priority {
	ADMIT_URGENT,
	ADMIT_NORMAL,
	ADMIT_LONG,
	ADMIT_PRIORITIES
};

enum admit_state { ADMIT_IDLE, ADMIT_QUEUED, ADMIT_IN_FLIGHT };

/*
 * A request, embedded in the caller's struct. The caller sets pool, priority,
 * deadline_ms and bytes, and must not change them afterwards.
 */
struct admit_entry {
	struct admit_pool *pool;
	enum admit_priority priority;
	int64_t deadline_ms;
	size_t bytes;

	enum admit_state state;
	int64_t queued_ms;  /* when it was first queued */
	int64_t started_ms; /* start of the current attempt */
	struct admit_entry *prev;
	struct admit_entry *next;
};

/* How the next request of a pool is chosen, and whether requests are shed. */
struct admit_policy {
	const char *name;
	bool sheds; /* refuses requests by expected wait and queue size */
	/* Returns the priority whose first request may start, or -1. */
	int (*choose)(struct admit_pool *pool, int64_t now_ms);
};

/* The rules of docs/design.md, section 6.5. */
extern const struct admit_policy admit_standard;

/* Baseline for benchmarks: priorities in rotation, unbounded queues. */
extern const struct admit_policy admit_round_robin;

/*
 * admit_create - create without any pools; NULL if memory is short
 *
 * The policy is not copied and must outlive the result.
 */
struct admit *admit_create(const struct admit_policy *policy);
void admit_destroy(struct admit *admit);

/*
 * admit_pool - look up the queues of a pool, or create them
 *
 * RETURN VALUE
 *	The queues, valid until admit_destroy.
 */
struct admit_pool *admit_pool(struct admit *admit, const char *team,
			      const char *name);

/* admit_next_pool - iterate over all pools; pass NULL to start, NULL at end */
struct admit_pool *admit_next_pool(struct admit *admit,
				   struct admit_pool *pool);

const char *admit_pool_team(const struct admit_pool *pool);
const char *admit_pool_name(const struct admit_pool *pool);

/*
 * admit_set_slots - set how many requests of the pool may be in flight
 *
 * in_flight is the number of requests at the workers that slots counts. The
 * pool's other requests in flight are at workers that take no new requests, and
 * do not reduce the number that may start.
 */
void admit_set_slots(struct admit_pool *pool, uint32_t slots,
		     uint32_t in_flight);

/*
 * admit_set_quota - set how many requests of the pool's team may be in flight
 *
 * The quota covers all pools of the team; 0 means no limit.
 */
void admit_set_quota(struct admit_pool *pool, uint32_t slots);

/*
 * admit_check - check whether admit_push would queue a request
 *
 * Sets *retry_ms to the expected wait.
 *
 * RETURN VALUE
 *	0, or ERR_OVERLOAD if the expected wait exceeds the deadline or the
 *	queues are full.
 */
int admit_check(const struct admit *admit, const struct admit_entry *entry,
		int64_t now_ms, int64_t *retry_ms);

/* admit_push - call admit_check; if it returns 0, queue the request */
int admit_push(struct admit *admit, struct admit_entry *entry, int64_t now_ms,
	       int64_t *retry_ms);

/* admit_expected_wait - expected wait in ms of a request queued now */
int64_t admit_expected_wait(const struct admit_pool *pool,
			    enum admit_priority priority);

/* admit_average_run_ms - average run time of the pool and priority; 0: not known */
int64_t admit_average_run_ms(const struct admit_pool *pool,
			     enum admit_priority priority);

/*
 * admit_take - remove the next request that may start from its queue
 *
 * The request counts as in flight until admit_end, admit_push_front or
 * admit_push_back.
 *
 * RETURN VALUE
 *	NULL if no request of the pool may start.
 */
struct admit_entry *admit_take(struct admit *admit, struct admit_pool *pool,
			       int64_t now_ms);

/*
 * admit_push_front, admit_push_back - requeue a request without a check
 *
 * For retries and for requests that were taken but could not start.
 */
void admit_push_front(struct admit *admit, struct admit_entry *entry);
void admit_push_back(struct admit *admit, struct admit_entry *entry);

/*
 * admit_end - end a request in flight and record its run time
 *
 * answered is set if the request ran to its end. Otherwise its run time counts
 * only if it exceeds the average, because a worker that fails at once says
 * nothing about the run time.
 */
void admit_end(struct admit *admit, struct admit_entry *entry, bool answered,
	       int64_t now_ms);

/* admit_remove - remove a request from its queue, if it is queued */
void admit_remove(struct admit *admit, struct admit_entry *entry);

/* admit_expire - remove queued requests past their deadline and call fn */
void admit_expire(struct admit *admit, int64_t now_ms,
		  void (*fn)(void *arg, struct admit_entry *entry), void *arg);

/* admit_first - a queued request of the pool, or NULL */
struct admit_entry *admit_first(const struct admit_pool *pool);

/*
 * admit_pool_stalled_since_ms - time since which the pool's requests find no worker
 *
 * Storage for the caller, which sets and clears it; initially 0.
 */
int64_t *admit_pool_stalled_since_ms(struct admit_pool *pool);

/* admit_pool_queued - requests queued in a pool */
uint32_t admit_pool_queued(const struct admit_pool *pool);

/* admit_queued - requests of a priority queued in all pools */
uint32_t admit_queued(const struct admit *admit, enum admit_priority priority);

/* admit_in_flight - requests in flight in all pools */
uint32_t admit_in_flight(const struct admit *admit);

#endif
