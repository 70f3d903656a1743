#include "arr.h"

#include <math.h>

static double cycle_s(const struct arr_config *config)
{
	return config->burst_s * (ARR_HIGH - ARR_LOW) / (1 - ARR_LOW);
}

/* Time within the pool's cycle, which begins with its burst. */
static double phase_s(const struct arr_config *config, uint32_t pool,
		      double at_s)
{
	double cycle = cycle_s(config);
	double start = cycle * pool / config->pools;

	return fmod(at_s - start + cycle, cycle);
}

double arr_rate(const struct arr_config *config, uint32_t pool, double at_s)
{
	double mean = config->rate / config->pools;

	if (!config->bursts)
		return mean;
	return mean * (phase_s(config, pool, at_s) < config->burst_s ? ARR_HIGH
								     : ARR_LOW);
}

/* Time until the rate of the pool changes. */
static double piece_s(const struct arr_config *config, uint32_t pool,
		      double at_s)
{
	double phase;

	if (!config->bursts)
		return INFINITY;
	phase = phase_s(config, pool, at_s);
	return (phase < config->burst_s ? config->burst_s : cycle_s(config)) -
	       phase;
}

static double next_arrival(struct arr *arr, uint32_t pool)
{
	double unit = (double)(rnd_next(&arr->rnd[pool]) >> 11) * 0x1p-53;
	double left = -log(1 - unit);
	double at_s = arr->next_s[pool];

	for (;;) {
		double rate = arr_rate(&arr->config, pool, at_s);
		double piece = piece_s(&arr->config, pool, at_s);

		if (left <= rate * piece)
			return at_s + left / rate;
		left -= rate * piece;
		/* Rounding must not leave the time just before the change. */
		at_s += piece + 1e-9;
	}
}

void arr_init(struct arr *arr, const struct arr_config *config)
{
	*arr = (struct arr){ .config = *config };
	for (uint32_t i = 0; i < config->pools; i++) {
		rnd_init(&arr->rnd[i], rnd_hash(config->seed ^ RND_HASH_START,
						&i, sizeof(i)));
		arr->next_s[i] = next_arrival(arr, i);
	}
}

struct arr_event arr_next(struct arr *arr)
{
	uint32_t first = 0;
	struct arr_event event;

	for (uint32_t i = 1; i < arr->config.pools; i++)
		if (arr->next_s[i] < arr->next_s[first])
			first = i;
	event.pool = first;
	event.at_us = (int64_t)(arr->next_s[first] * 1e6);
	arr->next_s[first] = next_arrival(arr, first);
	return event;
}
