/*
 * NAME
 *	avail - availability budget of long-running tasks
 *
 * A job states how many tasks of a step maintenance may stop at once. Uses no
 * network and no clock of its own.
 */
#ifndef AVAIL_H
#define AVAIL_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"
#include "worker.h"

/*
 * avail_may_stop - whether the budget allows to stop the task now
 *
 * Another task of the step counts as available if it runs at 100 percent and
 * its worker has reported since the stop was first wanted, and recently: the
 * worker may have crashed undetected.
 */
bool avail_may_stop(const struct worker_table *workers,
		    const struct job_pos *pos, int64_t now_ms);

#endif
