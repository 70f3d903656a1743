/*
 * NAME
 *	pace - how fast tasks that fill may work beside tasks that serve
 *
 * Tasks that use the processor time which others leave idle disturb the tasks on the
 * same worker that have a target of their response times. How much is not known and
 * changes within seconds, so that it is found out: two steps down to a standstill
 * while a target is missed, and up again, slowly, while all are met with ease. What
 * was too much is not tried again for a while. One pace for all that fill on a worker.
 * Pure functions; times are of any monotonic clock.
 */
#ifndef PACE_H
#define PACE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	PACE_FULL = 100,
	/* The first step down; the second one is a standstill. */
	PACE_SLOW = 40,
	/* Until a change shows in the figures: 100 ms until it takes effect, and
	   half a second that they cover. */
	PACE_SETTLE_MS = 650,
	/* Up to this share of its target a task is served with ease. */
	PACE_EASE_PERCENT = 80,
	PACE_UP = 15,
	/* What was too much is tried again, a step up, after this time at first;
	   twice as long each time that it is too much again. */
	PACE_RETRY_MS = 4000,
	PACE_RETRY_MAX_MS = 32000,
	/* A worker with a lower pace gets no tasks that fill. */
	PACE_LEAST_PLACED = 30
};

struct pace {
	int32_t percent;    /* of full speed, wanted of all tasks that fill */
	int32_t ceiling;    /* more is not tried */
	int64_t ceiling_ms; /* since when */
	int64_t retry_ms;   /* for how long */
	int64_t changed_ms;
	bool lowered; /* by the last change */
	bool serves;  /* a task with a target runs there */
};

/* pace_reset - begin with what is safe beside tasks of which nothing is known */
void pace_reset(struct pace *pace);

/*
 * pace_update - decide by a report
 *
 * tail_percent is the tail of the worst served task in percent of its target; -1: no
 * task has one.
 *
 * RETURN VALUE
 *	Whether the percentage has changed.
 */
bool pace_update(struct pace *pace, int32_t tail_percent, int64_t now_ms);

#endif
