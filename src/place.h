/*
 * NAME
 *	place - scheduler of a pool: assigns tasks to workers
 *
 * Decides from jobs, workers and the current time only, without I/O.
 * job_place_task records a placement in memory; the caller stores it in the
 * log before it sends the order to the worker.
 */
#ifndef PLACE_H
#define PLACE_H

#include <stdint.h>

#include "backlog.h"
#include "cfg.h"
#include "job.h"
#include "quota_use.h"
#include "reserve.h"
#include "share.h"
#include "worker.h"

/* Part of the work with a later target that counts for a job's delay. */
#define PLACE_LATER_WEIGHT 0.5

/* Result of one scheduling pass. */
struct place_counts {
	uint32_t placed;
	uint32_t waiting;    /* startable tasks for which no worker has room */
	uint32_t over_quota; /* steps whose tasks wait for their limit */
};

/* Input of the scheduler. */
struct place {
	struct share share; /* the part of the pool that is scheduled */
	const struct cfg *cfg;
	struct job_store *jobs;
	struct worker_table *workers;
	int64_t now_ms;		 /* monotonic */
	int64_t wall_ms;	 /* wall clock */
	struct quota_use *quota; /* NULL: no organisation has a limit */
	struct reserve *reserve; /* NULL: no room is reserved for large tasks */
};

/* place_account - add up what the pool's placed tasks use on each worker */
void place_account(const struct place *place);

/*
 * place_occupy - count a run of the step that is not a placed task's
 *
 * Lasts until the next place_account.
 */
void place_occupy(struct worker *worker, const struct job_step *step);

/* place_release_room - no longer count a task of the step, placed there */
void place_release_room(struct worker *worker, const struct job_step *step);

/*
 * place_is_over_capacity - whether the worker's runs exceed its capacity
 *
 * True after the capacity has shrunk below what was placed there before.
 * place_account must have been called.
 */
bool place_is_over_capacity(const struct worker *worker);

/*
 * place_tasks - place the tasks that can start now
 *
 * Long-running tasks come first, then jobs by the deadline of their
 * objective. Jobs that can no longer meet it come last: when demand exceeds
 * the pool's capacity, they would delay all others past their objectives too.
 * place_account must have been called.
 */
struct place_counts place_tasks(const struct place *place);

/*
 * place_reserve - reserve room for a placed task on another worker
 *
 * Lasts until the next place_account. Keeps two tasks from relying on the
 * same room.
 *
 * RETURN VALUE
 *	Whether another worker has room.
 */
bool place_reserve(const struct place *place, const struct job_pos *pos);

/*
 * place_keep_elsewhere - keep other tasks off a worker for a placed task
 *
 * For a long-running task that is to be stopped, so that it can start at once.
 * The worker may have room only later. It stays the same until the task is
 * placed or the worker is of no use any more. At most as many are kept as tasks
 * of the step may be stopped at once; the others wait for their turn.
 *
 * RETURN VALUE
 *	Whether a worker is kept for the task, or its turn comes later.
 */
bool place_keep_elsewhere(const struct place *place, const struct job_pos *pos);

/*
 * place_may_have_lost - whether a waiting task's run may have been lost on the worker
 *
 * Rather than moved off it. After a takeover it is not known where the run was, nor
 * why it ended.
 */
bool place_may_have_lost(const struct worker *worker,
			 const struct job_task *task);

/* place_kept_has_room - whether the worker kept for the task has room now */
bool place_kept_has_room(const struct place *place, const struct job_pos *pos);

/* place_free_slots - how many more tasks of the step could be placed now */
int32_t place_free_slots(const struct place *place, const struct job_pos *pos);

/* place_usable - whether the worker may receive new tasks */
bool place_usable(const struct place *place, const struct worker *worker);

/* place_has_room - whether the task could be placed on the worker now */
bool place_has_room(const struct place *place, const struct job_pos *pos,
		    const struct worker *worker);

/* place_target_ms - wall-clock time at which a job's objective ends */
int64_t place_target_ms(const struct cfg *cfg, const struct job *job);

/* place_too_late - whether an occurrence can no longer meet its objective */
bool place_too_late(const struct cfg *cfg, const struct job *job,
		    uint32_t occurrence, int64_t wall_ms);

/*
 * place_backlog_ms - time that a pool needs for accepted work before a new job
 *
 * target_ms is the new job's, see place_target_ms; work with a later target
 * counts in part only.
 *
 * Estimated work of the share divided by the capacity of its own workers and of
 * the hosts that can be moved to it: those that are parked, or that other pools
 * need neither for tasks at work nor for those that can be in time. all_milli is processor time of the whole fleet that has been listed
 * at some time; the part of it that is not listed now counts as parked, but not
 * what listed workers have lost. Jobs that are too late do not count, because
 * they are placed last.
 */
int64_t place_backlog_ms(const struct place *place, int64_t target_ms,
			 int64_t all_milli);

/* place_survey_backlog - the share's load, for nodes that do not read its jobs */
void place_survey_backlog(const struct place *place, struct backlog *backlog);

/* place_listed_milli - milli-cores of all listed workers, none of them shrunk */
int64_t place_listed_milli(const struct worker_table *workers);

#endif
