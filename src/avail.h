/*
 * NAME
 *	avail - whether a long-running task may be stopped now
 *
 * A job says how many tasks of a step may be away at once because of planned
 * work. Pure: no network, no clock of its own.
 */
#ifndef AVAIL_H
#define AVAIL_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"
#include "worker.h"

/*
 * avail_may_stop - whether enough other tasks of the step are at work
 *
 * A task counts as at work if its worker has reported so since the stop was
 * first wished for, and lately: a worker may have crashed unseen.
 */
bool avail_may_stop(const struct worker_table *workers,
		    const struct job_pos *pos, int64_t now_ms);

#endif
