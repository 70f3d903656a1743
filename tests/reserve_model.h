/*
 * A share of a pool in peaks of demand, without a network: jobs of small and of
 * large tasks arrive by a seeded generator, the scheduler places them in each step
 * of 20 ms, and tasks end after their real durations, which estimates need not
 * match. Compares policies of reservation side by side.
 */
#ifndef RESERVE_MODEL_H
#define RESERVE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "reserve.h"

enum reserve_policy {
	POLICY_NONE,
	POLICY_STRICT,	     /* no task passes one that waits */
	POLICY_CONSERVATIVE, /* a reservation for all that wait */
	POLICY_AGGRESSIVE,   /* one, for what has waited longest */
	POLICY_BOUNDED,	     /* as the product does */
	POLICY_COUNT
};

struct reserve_model_config {
	enum reserve_policy policy;
	uint64_t seed;
	int workers;
	int64_t duration_ms;
	double peak;	     /* demand of a peak by the share's capacity */
	double estimate_off; /* estimates are real durations times this */
	/* Each estimate is off by its own factor, up to that one either way. */
	bool estimate_varies;
	bool corrected; /* estimates are corrected by what was seen */
};

struct reserve_model_waits {
	int tasks; /* that have become ready */
	int unplaced;
	double mean_ms;
	double p90_ms;
	double p99_ms;
	int jobs; /* sent */
	int refused;
	double in_time; /* fraction of the jobs that were sent */
};

struct reserve_model_result {
	struct reserve_model_waits large; /* the largest tenth */
	struct reserve_model_waits small;
	struct reserve_model_waits all;
	struct reserve_counts counts;
	double work; /* of the jobs that were sent, in core-ms */
	double work_in_time;
	double pass_us;	     /* mean processor time of a pass */
	double busy;	     /* fraction of the processor time in peaks */
	double held;	     /* fraction that reservations kept idle */
	double most_held;    /* most that they held at once */
	uint32_t most_slots; /* reservations at once */
};

struct reserve_model_result
reserve_model_run(const struct reserve_model_config *config);

const char *reserve_model_name(enum reserve_policy policy);

#endif
