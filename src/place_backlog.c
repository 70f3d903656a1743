#include "place.h"

/* Part of the work with a later target that counts for a job's delay. */
#define PLACE_LATER_WEIGHT 0.5

/*
 * Milli-cores of the listed workers of this share, and of the same slice of the
 * fleet in other pools; full_milli is what both have when nothing is shrunk.
 */
static void count_capacity(const struct place *place, int64_t *own_milli,
			   int64_t *other_milli, int64_t *full_milli)
{
	*own_milli = 0;
	*other_milli = 0;
	*full_milli = 0;
	for (guint i = 0; i < place->workers->list->len; i++) {
		const struct worker *worker = place->workers->list->pdata[i];

		if (!worker->listed || worker->entry.draining ||
		    share_of_worker(worker, place->share.count) !=
			    place->share.index)
			continue;
		*full_milli += worker->full_cpu_milli;
		if (share_has_worker(&place->share, worker))
			*own_milli += worker->entry.cpu_milli;
		else
			*other_milli += worker->entry.cpu_milli;
	}
}

/*
 * Part of a job's remaining work that delays a job with the given target: tasks
 * are placed by target, but running ones are not interrupted, and admitting
 * only what fits before the later targets as well keeps those in time.
 */
static double delay_weight(const struct place *place, const struct job *job,
			   int64_t target_ms)
{
	return place_target_ms(place->cfg, job) <= target_ms
		       ? 1
		       : PLACE_LATER_WEIGHT;
}

/*
 * Returns the share's remaining work in milli-cores times ms, as far as it
 * delays a job with the given target. Subtracts from other_milli what placed
 * tasks of other pools use.
 */
static double count_remaining_work(const struct place *place, int64_t target_ms,
				   int64_t *other_milli)
{
	double work = 0;

	for (guint i = 0; i < place->jobs->live->len; i++) {
		struct job_pos pos = { .job = place->jobs->live->pdata[i] };
		bool own = share_has_job(&place->share, pos.job);
		double weight;
		bool late;

		if (!pos.job->has_spec || job_ended(pos.job->stored_state) ||
		    share_of_job(pos.job, place->share.count) !=
			    place->share.index)
			continue;
		late = place_too_late(place->cfg, pos.job, 0, place->wall_ms);
		weight = own ? delay_weight(place, pos.job, target_ms) : 0;
		while (job_next_task(&pos)) {
			const struct job_step *step =
				&pos.job->spec.steps[pos.step];

			if (!own && pos.task->state == TASK_PLACED)
				*other_milli -= step->cpu_milli;
			else if (own && pos.task->state != TASK_DONE &&
				 !step->long_running &&
				 (!late || pos.task->state == TASK_PLACED))
				work += weight * step->cpu_milli *
					step->estimate_ms;
		}
	}
	return work;
}

int64_t place_backlog_ms(const struct place *place, int64_t target_ms,
			 int64_t all_milli)
{
	int64_t own_milli, other_milli, full_milli;
	int64_t parked_milli, capacity_milli;
	double work;

	count_capacity(place, &own_milli, &other_milli, &full_milli);
	parked_milli = MAX(all_milli / place->share.count - full_milli, 0);
	work = count_remaining_work(place, target_ms, &other_milli);
	capacity_milli = own_milli + parked_milli + MAX(other_milli, 0);
	if (capacity_milli <= 0)
		return INT64_MAX / 2;
	return (int64_t)(work / (double)capacity_milli);
}

int64_t place_listed_milli(const struct worker_table *workers)
{
	int64_t total_milli = 0;

	for (guint i = 0; i < workers->list->len; i++) {
		const struct worker *worker = workers->list->pdata[i];

		if (worker->listed)
			total_milli += worker->full_cpu_milli;
	}
	return total_milli;
}
