/*
 * NAME
 *	admit - queues of requests: priorities, deadlines, expected wait, shedding
 *
 * Holds a queue for each pool and priority and decides which request may
 * start next, given the slots that this entry daemon has in the pool. Makes
 * no calls and reads no clock: times are passed in, in milliseconds.
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
 * A request, embedded in the caller's struct. The caller fills in pool,
 * priority, deadline_ms and bytes, and changes none of them afterwards.
 */
struct admit_entry {
	struct admit_pool *pool;
	enum admit_priority priority;
	int64_t deadline_ms;
	size_t bytes;

	enum admit_state state;
	int64_t queued_ms;  /* when it was queued first */
	int64_t started_ms; /* of the present attempt */
	struct admit_entry *prev;
	struct admit_entry *next;
};

/* How the next request of a pool is chosen, and whether any is refused. */
struct admit_policy {
	const char *name;
	bool sheds; /* refuses by expected wait and by size */
	/* Priority whose first request may start, or -1. */
	int (*choose)(struct admit_pool *pool, int64_t now_ms);
};

/* The rules of docs/design.md, section 6.5. */
extern const struct admit_policy admit_standard;

/* Baseline of the bench: priorities in turn, queues without bounds. */
extern const struct admit_policy admit_round_robin;

/* admit_create - no pools; the policy stays in use */
struct admit *admit_create(const struct admit_policy *policy);
void admit_destroy(struct admit *admit);

/*
 * admit_pool - the pool's queues, created if new
 *
 * RETURN VALUE
 *	Queues that stay valid until admit_destroy.
 */
struct admit_pool *admit_pool(struct admit *admit, const char *team,
			      const char *name);

/* admit_next_pool - iterate over all pools; NULL starts, and ends */
struct admit_pool *admit_next_pool(struct admit *admit,
				   struct admit_pool *pool);

const char *admit_pool_team(const struct admit_pool *pool);
const char *admit_pool_name(const struct admit_pool *pool);

/*
 * admit_set_slots - requests of the pool that may be in flight at once
 *
 * in_flight of them are at workers that count in slots; the pool's others
 * are at workers that take no new ones, and do not reduce what may start.
 */
void admit_set_slots(struct admit_pool *pool, uint32_t slots,
		     uint32_t in_flight);

/* admit_set_quota - in flight at once over all pools of the team; 0: no bound */
void admit_set_quota(struct admit_pool *pool, uint32_t slots);

/*
 * admit_check - whether a request would be queued
 *
 * RETURN VALUE
 *	0, or ERR_OVERLOAD with *retry_ms set to the expected wait: it exceeds
 *	the deadline, or the queues are full.
 */
int admit_check(const struct admit *admit, const struct admit_entry *entry,
		int64_t now_ms, int64_t *retry_ms);

/* admit_push - queue a request as by admit_check; it is the last of its queue */
int admit_push(struct admit *admit, struct admit_entry *entry, int64_t now_ms,
	       int64_t *retry_ms);

/* admit_expected_wait - of a request that would be queued now, in ms */
int64_t admit_expected_wait(const struct admit_pool *pool,
			    enum admit_priority priority);

/* admit_run_ms - learned run time of the pool and priority; 0: not known */
int64_t admit_run_ms(const struct admit_pool *pool,
		     enum admit_priority priority);

/*
 * admit_take - the request of the pool that starts now, or NULL
 *
 * It counts as in flight until admit_end, admit_push_front or admit_push_back.
 */
struct admit_entry *admit_take(struct admit *admit, struct admit_pool *pool,
			       int64_t now_ms);

/*
 * admit_push_front, admit_push_back - queue a request again, without a check
 *
 * For a request that was taken but could not start, and for a retry.
 */
void admit_push_front(struct admit *admit, struct admit_entry *entry);
void admit_push_back(struct admit *admit, struct admit_entry *entry);

/*
 * admit_end - a request in flight has ended
 *
 * answered tells whether it ran to its end, so that its run time is learned.
 * One that did not is learned from only if it took longer than the average:
 * a worker that fails at once says nothing about the run time.
 */
void admit_end(struct admit *admit, struct admit_entry *entry, bool answered,
	       int64_t now_ms);

/* admit_remove - remove a cancelled request from its queue */
void admit_remove(struct admit *admit, struct admit_entry *entry);

/* admit_expire - remove each queued request past its deadline, then call fn */
void admit_expire(struct admit *admit, int64_t now_ms,
		  void (*fn)(void *arg, struct admit_entry *entry), void *arg);

/* admit_first - a queued request of the pool, or NULL */
struct admit_entry *admit_first(const struct admit_pool *pool);

/*
 * admit_pool_stalled_ms - since when the pool's requests find no worker
 *
 * Kept for the caller, which sets it; 0 at first.
 */
int64_t *admit_pool_stalled_ms(struct admit_pool *pool);

/* Requests queued: in a pool; in all pools at a priority. */
uint32_t admit_pool_queued(const struct admit_pool *pool);
uint32_t admit_queued(const struct admit *admit, enum admit_priority priority);

/* admit_in_flight - requests in flight in all pools */
uint32_t admit_in_flight(const struct admit *admit);

#endif
