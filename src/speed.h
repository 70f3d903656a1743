/*
 * NAME
 *	speed - progress rate of a worker
 *
 * Detects workers on which tasks stall or progress at a fraction of the usual
 * rate while the workers answer and report themselves healthy. The rate covers
 * all runs of a worker and is compared with the other workers of the pool, so
 * that a job that exceeds its estimate does not make a worker look slow. Uses
 * no network and no clock of its own.
 */
#ifndef SPEED_H
#define SPEED_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/* Time in which the weight of a sample halves. */
	SPEED_HALF_LIFE_MS = 700,
	/* A rate is known once samples cover this time, */
	SPEED_MIN_SPAN_MS = 400,
	/* or no run has progressed for this time (rate 0). */
	SPEED_STALL_MS = 600,
	/* Workers with a known rate that a comparison needs. */
	SPEED_MIN_WORKERS = 3,
	/* A worker below this share of the typical rate is slow. */
	SPEED_SLOW_PERCENT = 30,
	/* Time to stop a run and start the next one. */
	SPEED_RESTART_MS = 400
};

struct speed {
	double work_ms;	    /* work done, as estimated time */
	double time_ms;	    /* time spent on it, summed over the runs */
	double span_ms;	    /* time covered by samples with runs */
	int64_t at_ms;	    /* time of the last sample */
	int64_t stalled_ms; /* time with runs but without progress */
};

/*
 * speed_add - add a sample: work that runs did in the span_ms before now_ms
 *
 * runs is the number of runs; work_ms is their work as estimated time. now_ms
 * may be of any monotonic clock.
 */
void speed_add(struct speed *speed, int64_t now_ms, int64_t span_ms,
	       uint32_t runs, double work_ms);

/* speed_rate - work per time; 1: as estimated, -1: not known */
double speed_rate(const struct speed *speed);

/*
 * speed_typical - median of the known rates; reorders rates
 *
 * RETURN VALUE
 *	-1 if fewer than SPEED_MIN_WORKERS are known.
 */
double speed_typical(double *rates, uint32_t count);

bool speed_is_slow(double rate, double typical);

/*
 * speed_restart_gains - whether a task ends sooner if restarted on another worker
 *
 * rate: of its worker; typical: of the other one. percent: progress so far.
 * keeps_work: a restart keeps the progress (checkpoint).
 */
bool speed_restart_gains(double rate, double typical, int32_t percent,
			 int32_t estimate_ms, bool keeps_work);

#endif
