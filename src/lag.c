#include "lag.h"

#include <glib.h>

#include "log.h"

enum {
	/* Ticks that are late by so much in the average are logged. */
	LAG_LOG_MS = 100,
	LAG_LOG_GAP_MS = 1000,
	/* Weight of the newest tick in the average. */
	LAG_WEIGHT_PERCENT = 10,
	/* Spans of time over which the busy part is measured. */
	LAG_SPAN_MS = 200
};

/* Half of the average is the newest span. */
static void measure_busy(struct lag *lag, int64_t now_ms)
{
	int64_t passed_ms = now_ms - lag->span_start_ms;
	int64_t busy_ms = lag->busy_ms - lag->span_busy_ms;

	if (passed_ms < LAG_SPAN_MS)
		return;
	lag->busy_percent =
		(lag->busy_percent + (int32_t)(100 * busy_ms / passed_ms)) / 2;
	lag->span_start_ms = now_ms;
	lag->span_busy_ms = lag->busy_ms;
}

static void log_if_late(struct lag *lag, int64_t now_ms, int64_t late_ms)
{
	if (lag->recent_ms < LAG_LOG_MS || now_ms < lag->next_log_ms)
		return;
	lag->next_log_ms = now_ms + LAG_LOG_GAP_MS;
	log_info("ticks-late recent_ms=%" G_GINT64_FORMAT
		 " last_ms=%" G_GINT64_FORMAT " busy_percent=%d",
		 lag->recent_ms, late_ms, lag->busy_percent);
}

void lag_note(struct lag *lag, int64_t now_ms, int64_t interval_ms,
	      int64_t busy_ms)
{
	int64_t late_ms = lag->last_tick_ms
				  ? now_ms - lag->last_tick_ms - interval_ms
				  : 0;

	lag->last_tick_ms = now_ms;
	lag->busy_ms = busy_ms;
	late_ms = MAX(late_ms, 0);
	histo_add(&lag->late_ms, late_ms);
	lag->recent_ms = (lag->recent_ms * (100 - LAG_WEIGHT_PERCENT) +
			  late_ms * LAG_WEIGHT_PERCENT) /
			 100;
	measure_busy(lag, now_ms);
	log_if_late(lag, now_ms, late_ms);
}
