#include "arrival.h"

#include <math.h>

static double cycle_s(const struct arrival_config *config)
{
	return config->burst_s * (ARRIVAL_HIGH - ARRIVAL_LOW) /
	       (1 - ARRIVAL_LOW);
}

/* Time within the pool's cycle, which begins with its burst. */
static double phase_s(const struct arrival_config *config, uint32_t pool,
		      double at_s)
{
	double cycle = cycle_s(config);
	double start = cycle * pool / config->pools;

	return fmod(at_s - start + cycle, cycle);
}

double arrival_rate(const struct arrival_config *config, uint32_t pool,
		    double at_s)
{
	double mean = config->rate / config->pools;

	if (!config->bursts)
		return mean;
	return mean * (phase_s(config, pool, at_s) < config->burst_s
			       ? ARRIVAL_HIGH
			       : ARRIVAL_LOW);
}

/* Time until the rate of the pool changes. */
static double piece_s(const struct arrival_config *config, uint32_t pool,
		      double at_s)
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
	double left = -log(1 - unit);
	double at_s = arrival->next_s[pool];

	for (;;) {
		double rate = arrival_rate(&arrival->config, pool, at_s);
		double piece = piece_s(&arrival->config, pool, at_s);

		if (left <= rate * piece)
			return at_s + left / rate;
		left -= rate * piece;
		/* Rounding must not leave the time just before the change. */
		at_s += piece + 1e-9;
	}
}

void arrival_init(struct arrival *arrival, const struct arrival_config *config)
{
	*arrival = (struct arrival){ .config = *config };
	for (uint32_t i = 0; i < config->pools; i++) {
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

	for (uint32_t i = 1; i < arrival->config.pools; i++)
		if (arrival->next_s[i] < arrival->next_s[first])
			first = i;
	event.pool = first;
	event.at_us = (int64_t)(arrival->next_s[first] * 1e6);
	arrival->next_s[first] = next_arrival(arrival, first);
	return event;
}
