#include "speed.h"

#include <math.h>
#include <stdlib.h>

void speed_add(struct speed *speed, int64_t now_ms, int64_t span_ms,
	       uint32_t runs, double work_ms)
{
	double passed_ms = (double)(now_ms - speed->at_ms);
	double decay = exp2(-passed_ms / SPEED_HALF_LIFE_MS);

	speed->at_ms = now_ms;
	speed->work_ms = speed->work_ms * decay + work_ms;
	speed->time_ms = speed->time_ms * decay + runs * (double)span_ms;
	speed->span_ms = speed->span_ms * decay + (runs ? (double)span_ms : 0);
	if (!runs || work_ms > 0)
		speed->stalled_ms = 0;
	else
		speed->stalled_ms += span_ms;
}

double speed_rate(const struct speed *speed)
{
	if (speed->stalled_ms >= SPEED_STALL_MS)
		return 0;
	if (speed->span_ms < SPEED_MIN_SPAN_MS)
		return -1;
	return speed->work_ms / speed->time_ms;
}

static int compare_rates(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

double speed_typical(double *rates, uint32_t count)
{
	uint32_t known = 0;

	for (uint32_t i = 0; i < count; i++)
		if (rates[i] >= 0)
			rates[known++] = rates[i];
	if (known < SPEED_MIN_WORKERS)
		return -1;
	qsort(rates, known, sizeof(*rates), compare_rates);
	return rates[known / 2];
}

bool speed_is_slow(double rate, double typical)
{
	return rate >= 0 && typical > 0 &&
	       rate < typical * SPEED_SLOW_PERCENT / 100;
}

bool speed_restart_gains(double rate, double typical, int32_t percent,
			 int32_t estimate_ms, bool keeps_work)
{
	double left_ms = (100 - percent) / 100.0 * estimate_ms;
	double restart_ms = keeps_work ? left_ms : estimate_ms;

	if (rate < 0 || typical <= 0)
		return false;
	return left_ms > rate * (restart_ms / typical + SPEED_RESTART_MS);
}
