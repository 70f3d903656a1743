/*
 * NAME
 *	pool_life - orders to workers that start again under their id
 *
 * A worker that has started again under its id executes late orders that were sent
 * to its earlier incarnation. Its clock and the numbers of its ended runs start
 * anew, so that such an order starts a run that counts as ended, forgets ended
 * runs that have not been stored, or gives a lease of the longest kind.
 *
 * So the owner raises its fence for the worker when it learns of the restart, and
 * starts nothing there until the worker has accepted the raised fence: from then on
 * it refuses all orders of before. What such an order has done until then is in
 * the report that answers, but for the lease, which is counted as the longest.
 */
#ifndef POOL_LIFE_H
#define POOL_LIFE_H

#include "pool_int.h"
#include "pool_sent.h"

/* pool_order_fence - fence of orders to the worker */
int64_t pool_order_fence(const struct pool *pool, const struct worker *worker);

/*
 * pool_longest_lease_end_ms - upper bound of the end of any lease given by now_ms
 *
 * The platform bounds leases, whatever end an order names.
 */
int64_t pool_longest_lease_end_ms(const struct pool *pool, int64_t now_ms);

/*
 * pool_earlier_life_end_ms - end of leases given by orders to earlier incarnations
 *
 * Upper bound for a worker that this owner has not reached; NULL: that the registry
 * does not list yet. An earlier owner has settled starts there only after the worker had
 * accepted a fence that shuts such orders out; for others see pool_late_run_end_ms.
 */
int64_t pool_earlier_life_end_ms(const struct pool *pool,
				 const struct worker *worker);

/* pool_latest_order_ms - until when an order without an answer may be executed */
int64_t pool_latest_order_ms(int64_t sent_ms);

/*
 * pool_late_start_ms - until when an order to start the task's run may be executed
 *
 * Any incarnation of the worker may do so that has not accepted a higher fence.
 *
 * RETURN VALUE
 *	0 if all orders to start the run have been answered.
 */
int64_t pool_late_start_ms(const struct pool *pool,
			   const struct job_task *task);

/*
 * pool_late_run_end_ms - upper bound of the end of a run that was started so
 *
 * Its worker may have started again unknown to the owner, so that the lease is of
 * the longest kind, and late renewals extend it.
 *
 * RETURN VALUE
 *	0 if all orders to start the run have been answered.
 */
int64_t pool_late_run_end_ms(const struct pool *pool,
			     const struct job_task *task);

/*
 * pool_settle_start - note that a report lists the task's run
 *
 * Once the run is confirmed and no order to start it is without an answer, or one
 * that is cannot be executed any more, its next owner is told so: the run ends with the
 * incarnation that has it.
 */
void pool_settle_start(struct pool *pool, const struct job_pos *pos,
		       int64_t asked_ms);

/*
 * pool_guard_silent - raise the fence for a worker that does not answer
 *
 * It may start again unnoticed: the first call that its next incarnation answers
 * then shuts out all orders of before.
 */
void pool_guard_silent(struct pool *pool, struct worker *worker);

/* pool_is_registered_anew - whether the registry knows of a restart, and no report */
bool pool_is_registered_anew(const struct worker *worker);

/* pool_guard_registered - raise the fence for a worker that has registered anew */
void pool_guard_registered(struct pool *pool, struct worker *worker);

/*
 * pool_admit_report - whether a report that was asked for under the fence counts
 *
 * Not if the worker may still execute orders to an earlier incarnation; its next
 * report, which is then due, will.
 */
bool pool_admit_report(struct pool *pool, struct worker *worker,
		       const struct worker_report *report, int64_t fence);

/*
 * pool_check_clock - note that the clock in an answer is of another incarnation
 *
 * It is if it is behind what it was when the order was sent. clock_ms is -1 if
 * the answer has none.
 */
void pool_check_clock(struct pool *pool, struct worker *worker,
		      const struct pool_sent *sent, int64_t clock_ms);

#endif
