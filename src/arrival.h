/*
 * NAME
 *	arrival - seeded schedule of request arrivals of several pools
 *
 * Arrivals of each pool are a Poisson process whose rate is constant in the
 * flat shape. In the burst shape each pool in its turn has five times its
 * mean rate for burst_s seconds and a twentieth of it at other times; the
 * cycle is as long as the mean rate requires.
 */
#ifndef ARRIVAL_H
#define ARRIVAL_H

#include <stdbool.h>
#include <stdint.h>

#include "rnd.h"

#define ARRIVAL_HIGH 5.0
#define ARRIVAL_LOW 0.05

enum { ARRIVAL_MAX_POOLS = 64 };

struct arrival_config {
	uint64_t seed;
	uint32_t pools; /* 1 to ARRIVAL_MAX_POOLS */
	double rate;	/* requests a second of all pools together, above 0 */
	bool bursts;
	double burst_s; /* above 0 if bursts */
};

struct arrival {
	struct arrival_config config;
	struct rnd rnd[ARRIVAL_MAX_POOLS];
	double next_s[ARRIVAL_MAX_POOLS];
};

struct arrival_event {
	uint32_t pool;
	int64_t at_us; /* from the start of the schedule */
};

/* arrival_init - start a schedule; the same configuration gives the same one */
void arrival_init(struct arrival *arrival, const struct arrival_config *config);

/* arrival_next - next arrival; times never go back */
struct arrival_event arrival_next(struct arrival *arrival);

/* arrival_rate - rate of a pool, in requests a second, at a time */
double arrival_rate(const struct arrival_config *config, uint32_t pool,
		    double at_s);

#endif
