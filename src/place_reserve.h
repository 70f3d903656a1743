/*
 * NAME
 *	place_reserve - internals of the scheduler's reservations, see reserve.h
 */
#ifndef PLACE_RESERVE_H
#define PLACE_RESERVE_H

#include "place_int.h"

/* place_step_need - what a task of the step takes of a worker */
static inline struct reserve_room place_step_need(const struct job_step *step)
{
	return (struct reserve_room){
		.cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli,
		.mem_mib = step->mem_mib,
		.gpu = step->gpu,
	};
}

/* place_free_room - in 64 bits, as a request and what is used may exceed 32 */
static inline struct reserve_room place_free_room(const struct worker *worker)
{
	const struct worker_entry *entry = &worker->entry;

	return (struct reserve_room){
		.cpu_milli = (int64_t)entry->cpu_milli - worker->cpu_used_milli,
		.mem_mib = (int64_t)entry->mem_mib - worker->mem_used_mib,
		.gpu = (int64_t)entry->gpu - worker->gpu_used,
	};
}

/* place_expected_ms - corrected estimate of a task of the step */
int64_t place_expected_ms(const struct place *place, const struct job *job,
			  const struct job_step *step);

/* place_left_ms - how long a placed task is expected to run yet */
int64_t place_left_ms(const struct place *place, const struct job_pos *pos);

/*
 * place_choose_workers - find the workers that have room for the candidate first
 *
 * For all tasks of a gang; if it is tightly coupled, on workers with a label in
 * common if some can be found.
 *
 * RETURN VALUE
 *	Whether some have room within RESERVE_HORIZON_MS; the slot has them and
 *	the time.
 */
bool place_choose_workers(const struct pass *pass, const struct candidate *cand,
			  struct reserve_slot *slot);

/* place_choose_same - the same, on the workers that the slot has */
bool place_choose_same(const struct pass *pass, const struct candidate *cand,
		       struct reserve_slot *slot);

#endif
