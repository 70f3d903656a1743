/*
 * NAME
 *	lag - how late the ticks of a node come, and how much of its time is in use
 *
 * A node without processor time to spare runs its timers late: its reports,
 * renewals and start orders then wait for it, though log and workers answer in
 * time. Logged while it lasts, at most once a second.
 */
#ifndef LAG_H
#define LAG_H

#include <stdint.h>

#include "histo.h"

struct lag {
	struct histo late_ms; /* of each tick, after it was due */
	int64_t recent_ms;    /* moving average of the above */
	int64_t busy_ms;      /* that the event loop has not waited, in total */
	int32_t busy_percent; /* of the last spans of time, averaged */
	int64_t span_start_ms; /* of the present one */
	int64_t span_busy_ms;  /* busy_ms then */
	int64_t last_tick_ms;  /* 0: none yet */
	int64_t next_log_ms;
};

/*
 * lag_note - note a tick that comes at now_ms
 *
 * interval_ms is the time between two ticks that are not late; busy_ms as above.
 */
void lag_note(struct lag *lag, int64_t now_ms, int64_t interval_ms,
	      int64_t busy_ms);

#endif
