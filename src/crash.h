/*
 * NAME
 *	crash - tells tasks that crash their workers from those beside them
 *
 * A task may crash each worker that starts it. When a worker crashes, every
 * task on it is a suspect: each counts the crash, and the count is stored with
 * the job. Suspects are spread over the workers. One with several crashes is
 * started in quarantine: on a worker whose other tasks have all been at work for
 * a while, and to which no other task is sent meanwhile. A task is given up, and
 * its job fails, once several workers have crashed under it with no other task
 * to blame. Pure functions of tasks and time.
 */
#ifndef CRASH_H
#define CRASH_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"

enum {
	/* Crashes from which on a task is started in quarantine only. */
	CRASH_QUARANTINE_COUNT = 2,
	/* Crashes with which a task is given up, and how many of them must have
	   had no other task to blame, while the rest of the rack lived. */
	CRASH_GIVE_UP_COUNT = 3,
	CRASH_ALONE_COUNT = 2,
	/* Crashes with which it is given up in any case. */
	CRASH_MAX_COUNT = 4,
	/* The same for a task of a gang, which is not put in quarantine. */
	CRASH_MAX_GANG_COUNT = 5,
	/* A task at work for so long may stay beside one in quarantine. */
	CRASH_ESTABLISHED_MS = 1500,
	/* Quarantine of a long-running task; others stay in it to their end. */
	CRASH_QUARANTINE_MS = 10000,
	/* After this time at work the crashes under a task are forgotten. */
	CRASH_FORGET_MS = 60000
};

/* crash_is_suspect - whether a worker has crashed under the task */
static inline bool crash_is_suspect(const struct job_task *task)
{
	return task->crashes > 0;
}

/* crash_needs_quarantine - whether it may be started in quarantine only */
static inline bool crash_needs_quarantine(const struct job_task *task)
{
	return task->crashes >= CRASH_QUARANTINE_COUNT;
}

/* crash_is_established - whether a placed task has been at work for a while */
bool crash_is_established(const struct job_task *task, int64_t now_ms);

/*
 * crash_in_quarantine - whether a placed task is in quarantine
 *
 * step is the task's.
 */
bool crash_in_quarantine(const struct job_task *task,
			 const struct job_step *step, int64_t now_ms);

/*
 * crash_is_cleared - whether a placed task has been through its quarantine
 *
 * It is not suspected of a crash while another task is.
 */
bool crash_is_cleared(const struct job_task *task, const struct job_step *step,
		      int64_t now_ms);

/*
 * crash_may_count - whether a crash of its worker counts for a placed task
 *
 * A task whose start order has not been sent cannot have caused it. A crash is
 * counted once for each run.
 */
bool crash_may_count(const struct job_task *task);

/* crash_must_forget - whether it has been at work long enough to trust it */
bool crash_must_forget(const struct job_task *task, int64_t now_ms);

/* crash_must_give_up - whether the task, one of the step, is to be given up */
bool crash_must_give_up(const struct job_task *task,
			const struct job_step *step);

#endif
