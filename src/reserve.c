#include "reserve.h"

#include <string.h>

void reserve_init(struct reserve *reserve, struct reserve_counts *counts,
		  const struct estimate *estimates)
{
	*reserve = (struct reserve){
		.limits = {
			.count = RESERVE_COUNT,
			.capacity_percent = RESERVE_CAPACITY_PERCENT,
			.alone_percent = RESERVE_ALONE_PERCENT,
			.large_percent = RESERVE_LARGE_PERCENT,
			.wait_ms = RESERVE_WAIT_MS,
			.look_ms = RESERVE_LOOK_MS,
			.hold_ms = RESERVE_HOLD_MS,
		},
		.counts = counts,
		.estimates = estimates,
	};
}

void reserve_reset(struct reserve *reserve)
{
	reserve->count = 0;
	reserve->next_look_ms = 0;
	reserve->passed_ms = 0;
}

bool reserve_rank_above(const struct reserve_rank *left,
			const struct reserve_rank *right)
{
	if (left->too_late != right->too_late)
		return !left->too_late;
	if (left->priority != right->priority)
		return left->priority < right->priority;
	return !left->yields && right->yields;
}

static int32_t times(int64_t free, int64_t need, int32_t most)
{
	int64_t count = need > 0 ? MAX(free, 0) / need : most;

	return (int32_t)MIN(count, most);
}

int32_t reserve_fits(const struct reserve_room *free,
		     const struct reserve_room *need, int32_t most)
{
	most = times(free->cpu_milli, need->cpu_milli, most);
	most = times(free->mem_mib, need->mem_mib, most);
	return times(free->gpu, need->gpu, most);
}

static bool is_within(int64_t held, int64_t more, int64_t total,
		      int32_t percent)
{
	return !more || (held + more) * 100 <= total * percent;
}

bool reserve_sum_within(const struct reserve_room *held,
			const struct reserve_room *more,
			const struct reserve_room *total, int32_t percent)
{
	return is_within(held->cpu_milli, more->cpu_milli, total->cpu_milli,
			 percent) &&
	       is_within(held->mem_mib, more->mem_mib, total->mem_mib, percent);
}

struct reserve_room reserve_held(const struct reserve *reserve)
{
	struct reserve_room held = { 0 };

	for (uint32_t i = 0; i < reserve->count; i++) {
		const struct reserve_slot *slot = &reserve->slots[i];

		for (uint32_t k = 0; !slot->ended && k < slot->hold_count;
		     k++) {
			int32_t tasks = slot->holds[k].tasks;

			held.cpu_milli += tasks * slot->need.cpu_milli;
			held.mem_mib += tasks * slot->need.mem_mib;
			held.gpu += tasks * slot->need.gpu;
		}
	}
	return held;
}

enum {
	/* Progress below this says little about the duration. */
	RESERVE_MIN_PERCENT = 10,
	RESERVE_OVERDUE_MS = 50 /* least time that an overdue task is given */
};

int64_t reserve_left_ms(int64_t expected_ms, int64_t elapsed_ms,
			int32_t percent)
{
	int64_t left_ms = expected_ms - elapsed_ms;

	if (percent >= RESERVE_MIN_PERCENT)
		left_ms = MIN(left_ms,
			      elapsed_ms * (100 - MIN(percent, 100)) / percent);
	if (left_ms > 0)
		return left_ms;
	return MAX(elapsed_ms / 4, RESERVE_OVERDUE_MS);
}

/* Holds room for count tasks, on the workers first on which most of them fit. */
static bool pick_workers(const struct reserve_worker *workers, uint32_t count,
			 int32_t tasks, struct reserve_slot *slot)
{
	slot->hold_count = 0;
	while (tasks > 0 && slot->hold_count < RESERVE_WORKERS) {
		const struct reserve_worker *best = NULL;
		int32_t best_fits = 0;

		for (uint32_t i = 0; i < count; i++) {
			int32_t fits = reserve_fits(
				&workers[i].free, &slot->need, workers[i].most);
			bool chosen = false;

			for (uint32_t k = 0; k < slot->hold_count; k++)
				chosen |= slot->holds[k].worker ==
					  workers[i].name;
			if (chosen || fits <= best_fits)
				continue;
			best = &workers[i];
			best_fits = fits;
		}
		if (!best)
			return false;
		slot->holds[slot->hold_count++] = (struct reserve_hold){
			.worker = best->name,
			.tasks = MIN(best_fits, tasks),
		};
		tasks -= MIN(best_fits, tasks);
	}
	return tasks <= 0;
}

int64_t reserve_find(struct reserve_worker *workers, uint32_t worker_count,
		     const struct reserve_ending *endings,
		     uint32_t ending_count, int32_t count, int64_t horizon_ms,
		     struct reserve_slot *slot)
{
	int64_t at_ms = 0;
	int64_t total = 0;

	for (uint32_t i = 0; i < worker_count; i++)
		total += reserve_fits(&workers[i].free, &slot->need,
				      workers[i].most);
	for (uint32_t i = 0; i < ending_count && total < count; i++) {
		struct reserve_worker *worker = &workers[endings[i].worker];

		at_ms = endings[i].left_ms;
		if (at_ms > horizon_ms)
			return -1;
		total -= reserve_fits(&worker->free, &slot->need, worker->most);
		worker->free.cpu_milli += endings[i].room.cpu_milli;
		worker->free.mem_mib += endings[i].room.mem_mib;
		worker->free.gpu += endings[i].room.gpu;
		total += reserve_fits(&worker->free, &slot->need, worker->most);
	}
	if (total < count || !pick_workers(workers, worker_count, count, slot))
		return -1;
	return at_ms;
}
