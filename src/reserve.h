/*
 * NAME
 *	reserve - reservations of free capacity for large tasks that wait
 *
 * Small tasks take each gap in the free capacity of a pool's workers first, so that
 * large ones wait for long. A reservation names the workers that will have room
 * for a task, or for all tasks of a gang, first by the estimated ends of what runs
 * there. Until then only such others start there as are expected to end before or
 * fit beside it.
 *
 * Kept in the memory of the share's owner, and made anew after a takeover. Pure
 * functions; place_reserve.c decides by them in each pass of the scheduler.
 */
#ifndef RESERVE_H
#define RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "estimate.h"
#include "histo.h"
#include "job.h"

enum {
	RESERVE_MAX = 64,    /* reservations that a table has space for */
	RESERVE_WORKERS = 8, /* most of one reservation, for a gang */
	/* Defaults of struct reserve_limits. */
	RESERVE_COUNT = 6,
	RESERVE_CAPACITY_PERCENT = 10,
	RESERVE_ALONE_PERCENT = 50,
	RESERVE_LARGE_PERCENT = 150,
	/* With less, more large tasks are in time, and by more small ones fewer. */
	RESERVE_WAIT_MS = 800,
	/* Not for a task whose room is expected later than this: until then it
	   holds more than it gains. */
	RESERVE_HORIZON_MS = 2000,
	/* A reservation is given up after this time, and the task gets none for
	   the gap, so that wrong estimates hold capacity for a bounded time. */
	RESERVE_HOLD_MS = 2000,
	RESERVE_GAP_MS = 1000,
	/* It is made anew when it has passed its time by this. */
	RESERVE_GRACE_MS = 200,
	/* Between two passes that look for a new one, which costs a look at all
	   that runs in the share. */
	RESERVE_LOOK_MS = 100,
	/* From a placement to the start, and from the end to its report. */
	RESERVE_START_MS = 100,
	/* A tightly coupled gang is kept on workers with a label in common that
	   at most so many have: a rack has 8 or 12. */
	RESERVE_DOMAIN_WORKERS = 16
};

struct reserve_limits {
	uint32_t count; /* reservations at once; 0: none are made */
	/* Part of the share's usable capacity that all may hold together. */
	int32_t capacity_percent;
	/* Part that one may hold if it is the only one. */
	int32_t alone_percent;
	/* Size of a task from which on it counts as large, as compared to the
	   mean of the finite tasks at work; 0: all do. */
	int32_t large_percent;
	int64_t wait_ms; /* only for tasks that have waited so long */
	int64_t look_ms;
	int64_t hold_ms;
};

struct reserve_counts {
	int64_t made;	   /* reservations */
	int64_t renewed;   /* made anew as they have passed their time */
	int64_t kept;	   /* that ended with the start of their task there */
	int64_t elsewhere; /* whose task started on another worker */
	int64_t expired;   /* given up after the longest time */
	int64_t late;	   /* as their job can no longer be in time */
	int64_t worker; /* as the worker leaves, is silent or kept for others */
	int64_t gone;	/* as the task does not wait any more */
	int64_t over_limit; /* as the organisation has reached its limit */
	int64_t passed;	    /* as none has room soon after their time passed */
	int64_t idle_core_ms;	    /* processor time that was free and kept */
	struct histo large_wait_ms; /* of large tasks, from ready to placed */
};

/* An amount of capacity. */
struct reserve_room {
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t gpu;
};

/* Order of classes; a smaller number is served first. */
struct reserve_rank {
	bool too_late;
	int32_t priority;
	bool yields;
};

/* What a reservation holds on one worker. */
struct reserve_hold {
	const char *worker; /* interned */
	int32_t tasks;
	/* Of this pass: what is in use there and expected to end in time. */
	struct reserve_room ending;
};

struct reserve_slot {
	char id[JOB_ID_BYTES];
	const struct job *job; /* in this pass */
	uint32_t occurrence;
	uint32_t step;
	struct reserve_rank rank;
	struct reserve_room need; /* of one task */
	int64_t made_ms;
	int64_t from_ms; /* when its workers are expected to have room */
	/* It has been made anew: estimates of what starts there cannot be relied
	   on, so nothing starts but what fits beside it. */
	bool passed;
	uint32_t hold_count;
	struct reserve_hold holds[RESERVE_WORKERS];
	bool ended; /* in this pass */
};

struct reserve {
	struct reserve_limits limits;
	struct reserve_counts *counts;
	const struct estimate *estimates; /* NULL: not corrected */
	struct reserve_slot slots[RESERVE_MAX];
	uint32_t count;
	int64_t next_look_ms;
	int64_t passed_ms; /* of the last pass; 0: none */
};

void reserve_init(struct reserve *reserve, struct reserve_counts *counts,
		  const struct estimate *estimates);

/* reserve_reset - forget all reservations, as at a takeover */
void reserve_reset(struct reserve *reserve);

/* reserve_rank_above - whether left is served before any of right's class */
bool reserve_rank_above(const struct reserve_rank *left,
			const struct reserve_rank *right);

/* reserve_fits - how often need fits into free, at most most times */
int32_t reserve_fits(const struct reserve_room *free,
		     const struct reserve_room *need, int32_t most);

/* reserve_sum_within - whether held and more are within percent of total */
bool reserve_sum_within(const struct reserve_room *held,
			const struct reserve_room *more,
			const struct reserve_room *total, int32_t percent);

/* reserve_held - what all reservations hold at most */
struct reserve_room reserve_held(const struct reserve *reserve);

/*
 * reserve_left_ms - how long a task at work is expected to run yet
 *
 * percent is its progress as last reported; 0: not known. One that has passed its
 * expected end runs on for a quarter of the time that it has run.
 */
int64_t reserve_left_ms(int64_t expected_ms, int64_t elapsed_ms,
			int32_t percent);

/* Input of reserve_find. */
struct reserve_worker {
	const char *name;	  /* interned */
	struct reserve_room free; /* now */
	int32_t most;		  /* tasks of the step that it may have */
};

struct reserve_ending {
	uint32_t worker; /* index */
	struct reserve_room room;
	int64_t left_ms;
};

/*
 * reserve_find - the workers that have room for count tasks first
 *
 * endings must be sorted by left_ms. The workers' free capacity is changed. Fills in
 * the holds of slot, with as few workers as possible.
 *
 * RETURN VALUE
 *	In how many ms; -1: not within horizon_ms, or on too many workers.
 */
int64_t reserve_find(struct reserve_worker *workers, uint32_t worker_count,
		     const struct reserve_ending *endings,
		     uint32_t ending_count, int32_t count, int64_t horizon_ms,
		     struct reserve_slot *slot);

#endif
