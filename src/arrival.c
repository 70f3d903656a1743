#include "arrival.h"

#include <math.h>

static double cycle_s(const struct arrival_config *config)
{
	return config->burst_s * (ARRIVAL_BURST_FACTOR - ARRIVAL_IDLE_FACTOR) /
	       (1 - ARRIVAL_IDLE_FACTOR);
}

/* Time since the start of the pool's cycle, which begins with its burst. */
static double phase_s(const struct arrival_config *config, uint32_t pool,
		      double at_s)
{
	double cycle = cycle_s(config);
	double start = cycle * pool / config->pool_count;

	return fmod(at_s - start + cycle, cycle);
}

double arrival_rate(const struct arrival_config *config, uint32_t pool,
		    double at_s)
{
	double mean = config->rate / config->pool_count;

	if (!config->bursts)
		return mean;
	return mean * (phase_s(config, pool, at_s) < config->burst_s
			       ? ARRIVAL_BURST_FACTOR
			       : ARRIVAL_IDLE_FACTOR);
}

/* Time until the rate of the pool changes. */
static double constant_rate_s(const struct arrival_config *config,
			      uint32_t pool, double at_s)
{
	double phase;

	if (!config->bursts)
		return INFINITY;
	phase = phase_s(config, pool, at_s);
	return (phase < config->burst_s ? config->burst_s : cycle_s(config)) -
	       phase;
}

static double next_arrival(struct arrival *arrival, uint32_t pool)
{
	double unit = (double)(rnd_next(&arrival->rnd[pool]) >> 11) * 0x1p-53;
	double integral = -log(1 - unit); /* of the rate, up to the arrival */
	double at_s = arrival->next_s[pool];

	for (;;) {
		double rate = arrival_rate(&arrival->config, pool, at_s);
		double duration_s =
			constant_rate_s(&arrival->config, pool, at_s);

		if (integral <= rate * duration_s)
			return at_s + integral / rate;
		integral -= rate * duration_s;
		/* Rounding must not yield a time just before the change. */
		at_s += duration_s + 1e-9;
	}
}

void arrival_init(struct arrival *arrival, const struct arrival_config *config)
{
	*arrival = (struct arrival){ .config = *config };
	for (uint32_t i = 0; i < config->pool_count; i++) {
		rnd_init(
			&arrival->rnd[i],
			rnd_hash(config->seed ^ RND_HASH_START, &i, sizeof(i)));
		arrival->next_s[i] = next_arrival(arrival, i);
	}
}

struct arrival_event arrival_next(struct arrival *arrival)
{
	uint32_t first = 0;
	struct arrival_event event;

	for (uint32_t i = 1; i < arrival->config.pool_count; i++)
		if (arrival->next_s[i] < arrival->next_s[first])
			first = i;
	event.pool = first;
	event.at_us = (int64_t)(arrival->next_s[first] * 1e6);
	arrival->next_s[first] = next_arrival(arrival, first);
	return event;
}
