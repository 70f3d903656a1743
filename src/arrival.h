/*
 * NAME
 *	arrival - seeded schedule of request arrivals for several pools
 *
 * The arrivals of each pool are a Poisson process. Without bursts its rate is
 * constant. With bursts, each pool in turn has ARRIVAL_BURST_FACTOR times its
 * mean rate for burst_s seconds and ARRIVAL_IDLE_FACTOR times its mean rate
 * otherwise; the length of the cycle keeps the mean.
 */
#ifndef ARRIVAL_H
#define ARRIVAL_H

#include <stdbool.h>
#include <stdint.h>

#include "rnd.h"

/* Rates during a burst and at other times, as multiples of the mean rate. */
#define ARRIVAL_BURST_FACTOR 5.0
#define ARRIVAL_IDLE_FACTOR 0.05

enum { ARRIVAL_MAX_POOLS = 64 };

struct arrival_config {
	uint64_t seed;
	uint32_t pool_count; /* 1 to ARRIVAL_MAX_POOLS */
	double rate; /* requests per second of all pools together, above 0 */
	bool bursts;
	double burst_s; /* above 0 if bursts is set */
};

struct arrival {
	struct arrival_config config;
	struct rnd rnd[ARRIVAL_MAX_POOLS];
	double next_s[ARRIVAL_MAX_POOLS]; /* of each pool */
};

struct arrival_event {
	uint32_t pool;
	int64_t at_us; /* since the start of the schedule */
};

/* arrival_init - start a schedule; equal configurations give equal schedules */
void arrival_init(struct arrival *arrival, const struct arrival_config *config);

/* arrival_next - next arrival; at_us never decreases */
struct arrival_event arrival_next(struct arrival *arrival);

/* arrival_rate - rate of a pool at a time, in requests per second */
double arrival_rate(const struct arrival_config *config, uint32_t pool,
		    double at_s);

#endif
