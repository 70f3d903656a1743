/*
 * NAME
 *	adq - queues of requests: priorities, deadlines, expected wait, shedding
 *
 * Holds a queue for each pool and priority and decides which request may
 * start next, given the slots that this entry daemon has in the pool. Makes
 * no calls and reads no clock: times are passed in, in milliseconds.
 */
#ifndef ADQ_H
#define ADQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "lim.h"

struct adq;
struct adq_pool;

enum adq_priority { ADQ_URGENT, ADQ_NORMAL, ADQ_LONG, ADQ_PRIORITIES };

enum adq_state { ADQ_IDLE, ADQ_QUEUED, ADQ_IN_FLIGHT };

/*
 * A request, embedded in the caller's struct. The caller fills in pool,
 * priority, deadline_ms and bytes, and changes none of them afterwards.
 */
struct adq_entry {
	struct adq_pool *pool;
	enum adq_priority priority;
	int64_t deadline_ms;
	size_t bytes;

	enum adq_state state;
	int64_t queued_ms;  /* when it was queued first */
	int64_t started_ms; /* of the present attempt */
	struct adq_entry *prev;
	struct adq_entry *next;
};

/* How the next request of a pool is chosen, and whether any is refused. */
struct adq_policy {
	const char *name;
	bool sheds; /* refuses by expected wait and by size */
	/* Priority whose first request may start, or -1. */
	int (*choose)(struct adq_pool *pool, int64_t now_ms);
};

/* The rules of docs/design.md, section 6.5. */
extern const struct adq_policy adq_standard;

/* Baseline of the bench: priorities in turn, queues without bounds. */
extern const struct adq_policy adq_round_robin;

/* adq_create - no pools; the policy stays in use */
struct adq *adq_create(const struct adq_policy *policy);
void adq_destroy(struct adq *adq);

/*
 * adq_pool - the pool's queues, created if new
 *
 * RETURN VALUE
 *	Queues that stay valid until adq_destroy.
 */
struct adq_pool *adq_pool(struct adq *adq, const char *team, const char *name);

/* adq_next_pool - iterate over all pools; NULL starts, and ends */
struct adq_pool *adq_next_pool(struct adq *adq, struct adq_pool *pool);

const char *adq_pool_team(const struct adq_pool *pool);
const char *adq_pool_name(const struct adq_pool *pool);

/*
 * adq_set_slots - requests of the pool that may be in flight at once
 *
 * in_flight of them are at workers that count in slots; the pool's others
 * are at workers that take no new ones, and do not reduce what may start.
 */
void adq_set_slots(struct adq_pool *pool, uint32_t slots, uint32_t in_flight);

/* adq_set_quota - in flight at once over all pools of the team; 0: no bound */
void adq_set_quota(struct adq_pool *pool, uint32_t slots);

/*
 * adq_check - whether a request would be queued
 *
 * RETURN VALUE
 *	0, or ERR_OVERLOAD with *retry_ms set to the expected wait: it exceeds
 *	the deadline, or the queues are full.
 */
int adq_check(const struct adq *adq, const struct adq_entry *entry,
	      int64_t now_ms, int64_t *retry_ms);

/* adq_push - queue a request as by adq_check; it is the last of its queue */
int adq_push(struct adq *adq, struct adq_entry *entry, int64_t now_ms,
	     int64_t *retry_ms);

/* adq_expected_wait - of a request that would be queued now, in ms */
int64_t adq_expected_wait(const struct adq_pool *pool,
			  enum adq_priority priority);

/* adq_run_ms - learned run time of the pool and priority; 0: not known */
int64_t adq_run_ms(const struct adq_pool *pool, enum adq_priority priority);

/*
 * adq_take - the request of the pool that starts now, or NULL
 *
 * It counts as in flight until adq_end, adq_push_front or adq_push_back.
 */
struct adq_entry *adq_take(struct adq *adq, struct adq_pool *pool,
			   int64_t now_ms);

/*
 * adq_push_front, adq_push_back - queue a request again, without a check
 *
 * For a request that was taken but could not start, and for a retry.
 */
void adq_push_front(struct adq *adq, struct adq_entry *entry);
void adq_push_back(struct adq *adq, struct adq_entry *entry);

/*
 * adq_end - a request in flight has ended
 *
 * answered tells whether it ran to its end, so that its run time is learned.
 * One that did not is learned from only if it took longer than the average:
 * a worker that fails at once says nothing about the run time.
 */
void adq_end(struct adq *adq, struct adq_entry *entry, bool answered,
	     int64_t now_ms);

/* adq_remove - remove a cancelled request from its queue */
void adq_remove(struct adq *adq, struct adq_entry *entry);

/* adq_expire - remove each queued request past its deadline, then call fn */
void adq_expire(struct adq *adq, int64_t now_ms,
		void (*fn)(void *arg, struct adq_entry *entry), void *arg);

/* adq_first - a queued request of the pool, or NULL */
struct adq_entry *adq_first(const struct adq_pool *pool);

/*
 * adq_pool_stalled_ms - since when the pool's requests find no worker
 *
 * Kept for the caller, which sets it; 0 at first.
 */
int64_t *adq_pool_stalled_ms(struct adq_pool *pool);

/* Requests queued: in a pool; in all pools at a priority. */
uint32_t adq_pool_queued(const struct adq_pool *pool);
uint32_t adq_queued(const struct adq *adq, enum adq_priority priority);

/* adq_in_flight - requests in flight in all pools */
uint32_t adq_in_flight(const struct adq *adq);

#endif
