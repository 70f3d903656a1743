/*
 * NAME
 *	crash - tells tasks that crash their workers from those beside them
 *
 * A task may crash each worker that starts it. When a worker crashes, the tasks
 * on it that are not known to have survived their start are suspects: each counts
 * the crash, and the count is stored with the job. Suspects are spread over the
 * workers. One with several crashes is started in quarantine: on a worker whose
 * other tasks have all survived their start, and to which no other task is sent
 * until it has survived its own. So no neighbour can raise its count further. A
 * task is given up, and its job fails, if workers crash under it in quarantine
 * too. A run that is lost at its start with a worker of which nothing shows
 * whether it has crashed or is cut off, is a lapse. It counts as a crash does, but
 * a task is not given up without crashes.
 *
 * The tasks of a gang start together, and a crash ends them together. They share
 * one count, raised once for each run, and are started in quarantine as a whole.
 * Pure functions of tasks and time.
 */
#ifndef CRASH_H
#define CRASH_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"

enum {
	/* Crashes from which on a task is started in quarantine only. */
	CRASH_QUARANTINE_COUNT = 2,
	/* Crashes with which it is given up. The last two are those of workers
	   on which no other task can be to blame. */
	CRASH_GIVE_UP_COUNT = 4,
	/* How many of them must be known to be no lapses. */
	CRASH_PROVEN_COUNT = 2,
	/* With so many and fewer proven ones a task waits for the host list. */
	CRASH_WAIT_COUNT = 3,
	/* A task that crashes its worker is expected to do so within this time
	   of its start; in quarantine also later. */
	CRASH_START_MS = 500,
	CRASH_LATE_START_MS = 1500,
	/* A task at work for so long is never to blame for a crash. */
	CRASH_CLEARED_MS = 3500,
	/* After this time at work the crashes under a task are forgotten. */
	CRASH_FORGET_MS = 60000
};

/* crash_suspicion - crashes and lapses under the task */
static inline int32_t crash_suspicion(const struct job_task *task)
{
	return task->crashes + task->lapses;
}

/* crash_is_suspect - whether a worker has crashed under the task, or may have */
static inline bool crash_is_suspect(const struct job_task *task)
{
	return crash_suspicion(task) > 0;
}

/* crash_needs_quarantine - whether it may be started in quarantine only */
static inline bool crash_needs_quarantine(const struct job_task *task)
{
	return crash_suspicion(task) >= CRASH_QUARANTINE_COUNT;
}

/*
 * crash_is_settled - whether a placed task is known to have survived its start
 *
 * seen_ms is the time of its worker's last report, which lists the task if it is
 * at work.
 */
bool crash_is_settled(const struct job_task *task, int64_t seen_ms);

/*
 * crash_is_cleared - whether a placed task is not to blame for any crash
 *
 * seen_ms is as above. A crash of a worker whose tasks have all survived their
 * start is blamed on those that are not cleared.
 */
bool crash_is_cleared(const struct job_task *task, int64_t seen_ms);

/*
 * crash_may_count - whether a crash of its worker counts for a placed task
 *
 * A task whose start order has not been sent cannot have caused it. A crash is
 * counted once for each run.
 */
bool crash_may_count(const struct job_task *task);

/*
 * crash_count - count a crash or a lapse of its worker for the task
 *
 * For a gang, the first one of a run is counted for all its tasks.
 */
void crash_count(const struct job_pos *pos, bool lapse);

/* crash_must_forget - whether it has been at work long enough to trust it */
bool crash_must_forget(const struct job_task *task, int64_t now_ms);

/* crash_must_give_up - whether the task is to be given up */
bool crash_must_give_up(const struct job_task *task);

/* crash_must_wait - whether it is not started while the host list is away */
bool crash_must_wait(const struct job_task *task);

#endif
