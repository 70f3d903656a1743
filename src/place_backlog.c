#include "place.h"

/* Milli-cores of listed workers; full when nothing is shrunk. */
struct capacity {
	int64_t own_milli; /* of this share */
	int64_t own_full_milli;
	int64_t other_milli; /* of the same slice of the fleet in other pools */
	int64_t other_full_milli;
};

static struct capacity count_capacity(const struct place *place)
{
	struct capacity capacity = { 0 };

	for (guint i = 0; i < place->workers->list->len; i++) {
		const struct worker *worker = place->workers->list->pdata[i];

		if (!worker->listed || worker->entry.draining ||
		    share_of_worker(worker, place->share.count) !=
			    place->share.index)
			continue;
		if (share_has_worker(&place->share, worker)) {
			capacity.own_milli += worker->entry.cpu_milli;
			capacity.own_full_milli += worker->full_cpu_milli;
		} else {
			capacity.other_milli += worker->entry.cpu_milli;
			capacity.other_full_milli += worker->full_cpu_milli;
		}
	}
	return capacity;
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
 * Returns a job's remaining work in milli-cores times ms: that of its finite
 * tasks, if it can still be done in time or they are at work. Adds what its
 * placed tasks use to placed_milli.
 */
static double remaining_work(const struct place *place, struct job *job,
			     int64_t *placed_milli)
{
	struct job_pos pos = { .job = job };
	bool late = place_too_late(place->cfg, job, 0, place->wall_ms);
	double work = 0;

	while (job_next_task(&pos)) {
		const struct job_step *step = &job->spec.steps[pos.step];
		bool placed = pos.task->state == TASK_PLACED;

		if (placed)
			*placed_milli += step->cpu_milli;
		if (pos.task->state != TASK_DONE && !step->long_running &&
		    (!late || placed))
			work += (double)step->cpu_milli * step->estimate_ms;
	}
	return work;
}

/*
 * Returns the share's remaining work, as far as it delays a job with the given
 * target. Subtracts from other_milli what placed tasks of other pools use.
 */
static double count_remaining_work(const struct place *place, int64_t target_ms,
				   int64_t *other_milli)
{
	double work = 0;

	for (guint i = 0; i < place->jobs->live->len; i++) {
		struct job *job = place->jobs->live->pdata[i];
		int64_t placed_milli = 0;
		double left;

		if (!job->has_spec || job_ended(job->stored_state) ||
		    share_of_job(job, place->share.count) != place->share.index)
			continue;
		left = remaining_work(place, job, &placed_milli);
		if (share_has_job(&place->share, job))
			work += delay_weight(place, job, target_ms) * left;
		else
			*other_milli -= placed_milli;
	}
	return work;
}

void place_survey_backlog(const struct place *place, struct backlog *backlog)
{
	struct capacity capacity = count_capacity(place);

	*backlog = (struct backlog){
		.at_ms = place->wall_ms,
		.own_milli = capacity.own_milli,
		.full_milli = capacity.own_full_milli,
	};
	for (guint i = 0; i < place->jobs->live->len; i++) {
		struct job *job = place->jobs->live->pdata[i];
		double work;

		if (!job->has_spec || job_ended(job->stored_state) ||
		    !share_has_job(&place->share, job))
			continue;
		work = remaining_work(place, job, &backlog->placed_milli);
		backlog_add_work(backlog, place_target_ms(place->cfg, job),
				 work);
	}
}

int64_t place_backlog_ms(const struct place *place, int64_t target_ms,
			 int64_t all_milli)
{
	struct capacity capacity = count_capacity(place);
	int64_t full_milli =
		capacity.own_full_milli + capacity.other_full_milli;
	int64_t parked_milli =
		MAX(all_milli / place->share.count - full_milli, 0);
	int64_t capacity_milli;
	double work =
		count_remaining_work(place, target_ms, &capacity.other_milli);

	capacity_milli = capacity.own_milli + parked_milli +
			 MAX(capacity.other_milli, 0);
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
