#include "pace.h"

#include <glib.h>

static bool set_percent(struct pace *pace, int32_t percent, int64_t now_ms)
{
	if (percent == pace->percent)
		return false;
	pace->lowered = percent < pace->percent;
	pace->percent = percent;
	pace->changed_ms = now_ms;
	return true;
}

void pace_reset(struct pace *pace)
{
	*pace = (struct pace){
		.percent = PACE_SLOW,
		.ceiling = PACE_FULL,
		.retry_ms = PACE_RETRY_MS,
	};
}

static bool is_settled(const struct pace *pace, int64_t now_ms)
{
	return now_ms - pace->changed_ms >= PACE_SETTLE_MS;
}

static bool slow_down(struct pace *pace, int64_t now_ms)
{
	int32_t percent = pace->percent > PACE_SLOW ? PACE_SLOW : 0;

	/* The figures may be of before the last step down. */
	if (!pace->percent || (pace->lowered && !is_settled(pace, now_ms)))
		return false;
	if (pace->ceiling < PACE_FULL && !pace->lowered)
		pace->retry_ms = MIN(2 * pace->retry_ms, PACE_RETRY_MAX_MS);
	pace->ceiling = MAX(pace->percent - PACE_UP, 0);
	pace->ceiling_ms = now_ms;
	return set_percent(pace, percent, now_ms);
}

static bool speed_up(struct pace *pace, int64_t now_ms)
{
	if (!is_settled(pace, now_ms))
		return false;
	if (now_ms - pace->ceiling_ms >= pace->retry_ms) {
		pace->ceiling = MIN(pace->ceiling + PACE_UP, PACE_FULL);
		pace->ceiling_ms = now_ms;
	}
	if (pace->percent == PACE_FULL)
		pace->retry_ms = PACE_RETRY_MS;
	return set_percent(
		pace,
		MAX(MIN(pace->percent + PACE_UP, pace->ceiling), pace->percent),
		now_ms);
}

bool pace_update(struct pace *pace, int32_t tail_percent, int64_t now_ms)
{
	pace->serves = tail_percent >= 0;
	if (!pace->serves) {
		pace->ceiling = PACE_FULL;
		pace->retry_ms = PACE_RETRY_MS;
		return set_percent(pace, PACE_FULL, now_ms);
	}
	if (tail_percent > 100)
		return slow_down(pace, now_ms);
	return tail_percent <= PACE_EASE_PERCENT && speed_up(pace, now_ms);
}
