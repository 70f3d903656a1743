/*
 * NAME
 *	speed - how fast a worker works, by the progress of its runs
 *
 * Answers workers on which tasks stand still, or go on at a fraction of their
 * pace, while the workers answer and look healthy. A worker is judged by all
 * its runs together, and against the other workers of its pool, so that a job
 * that takes longer than its estimate does not look like a slow worker. Pure:
 * no network, no clock of its own.
 */
#ifndef SPEED_H
#define SPEED_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/* A sample counts half after so long. */
	SPEED_HALF_MS = 700,
	/* A judgement needs samples of so long a time, */
	SPEED_LEAST_MS = 400,
	/* or none of the runs to have moved for this one. */
	SPEED_STILL_MS = 600,
	/* Other workers that a comparison needs. */
	SPEED_LEAST_WORKERS = 3,
	/* A worker below this part of the typical rate is slow. */
	SPEED_SLOW_PERCENT = 30,
	/* For the stop of a run and the start of the next one. */
	SPEED_RESTART_MS = 400
};

struct speed {
	double work_ms;	  /* by the estimates of the tasks */
	double time_ms;	  /* that runs took for it, summed over the runs */
	double span_ms;	  /* of the samples */
	int64_t at_ms;	  /* of the last sample */
	int64_t still_ms; /* since a run moved, while there were any */
};

/*
 * speed_add - count what so many runs did in span_ms up to now_ms
 *
 * now_ms is by any steady clock.
 */
void speed_add(struct speed *speed, int64_t now_ms, int64_t span_ms,
	       uint32_t runs, double work_ms);

/* speed_rate - work by time, 1 as estimated; -1: not known */
double speed_rate(const struct speed *speed);

/*
 * speed_typical - median of the rates that are known; reorders them
 *
 * RETURN VALUE
 *	-1 if they are too few.
 */
double speed_typical(double *rates, uint32_t count);

bool speed_is_slow(double rate, double typical);

/*
 * speed_gains - whether a task ends sooner if it is started elsewhere
 *
 * keeps_work tells that its progress is not lost by that.
 */
bool speed_gains(double rate, double typical, int32_t percent,
		 int32_t estimate_ms, bool keeps_work);

#endif
