/*
 * NAME
 *	arr - seeded schedule of request arrivals of several pools
 *
 * Arrivals of each pool are a Poisson process whose rate is constant in the
 * flat shape. In the burst shape each pool in its turn has five times its
 * mean rate for burst_s seconds and a twentieth of it at other times; the
 * cycle is as long as the mean rate requires.
 */
#ifndef ARR_H
#define ARR_H

#include <stdbool.h>
#include <stdint.h>

#include "rnd.h"

#define ARR_HIGH 5.0
#define ARR_LOW 0.05

enum { ARR_MAX_POOLS = 64 };

struct arr_config {
	uint64_t seed;
	uint32_t pools; /* 1 to ARR_MAX_POOLS */
	double rate;	/* requests a second of all pools together, above 0 */
	bool bursts;
	double burst_s; /* above 0 if bursts */
};

struct arr {
	struct arr_config config;
	struct rnd rnd[ARR_MAX_POOLS];
	double next_s[ARR_MAX_POOLS];
};

struct arr_event {
	uint32_t pool;
	int64_t at_us; /* from the start of the schedule */
};

/* arr_init - start a schedule; the same configuration gives the same one */
void arr_init(struct arr *arr, const struct arr_config *config);

/* arr_next - next arrival; times never go back */
struct arr_event arr_next(struct arr *arr);

/* arr_rate - rate of a pool, in requests a second, at a time */
double arr_rate(const struct arr_config *config, uint32_t pool, double at_s);

#endif
