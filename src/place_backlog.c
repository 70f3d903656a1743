#include <string.h>

#include "place.h"

/* Milli-cores of listed workers of a slice of the fleet. */
struct capacity {
	int64_t own_milli; /* of this share */
	/* When nothing is shrunk: of this share, and of all pools. */
	int64_t own_full_milli;
	int64_t full_milli;
};

/* What another pool has, and what its tasks use or will soon. */
struct lender {
	int64_t own_milli;
	int64_t claimed_milli;
};

/* One for each pool of the configuration; free with g_free. */
static struct lender *lenders_new(const struct place *place)
{
	return g_new0(struct lender, MAX(place->cfg->pool_count, 1));
}

/* NULL for the share's own pool and for one that is not configured. */
static struct lender *find_lender(const struct place *place,
				  struct lender *lenders, const char *pool)
{
	const struct cfg_pool *found = cfg_pool_find(place->cfg, pool);

	if (!lenders || !found || !strcmp(pool, place->share.pool))
		return NULL;
	return &lenders[found - place->cfg->pools];
}

/* lenders may be NULL. */
static struct capacity count_capacity(const struct place *place,
				      struct lender *lenders)
{
	struct capacity capacity = { 0 };

	for (guint i = 0; i < place->workers->list->len; i++) {
		const struct worker *worker = place->workers->list->pdata[i];
		struct lender *lender;

		if (!worker->listed || worker->entry.draining ||
		    share_of_worker(worker, place->share.count) !=
			    place->share.index)
			continue;
		capacity.full_milli += worker->full_cpu_milli;
		if (share_has_worker(&place->share, worker)) {
			capacity.own_milli += worker->entry.cpu_milli;
			capacity.own_full_milli += worker->full_cpu_milli;
			continue;
		}
		lender = find_lender(place, lenders, worker->entry.pool);
		if (lender)
			lender->own_milli += worker->entry.cpu_milli;
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

/* Work of the finite tasks of one occurrence, in milli-cores times ms. */
static double occurrence_work(const struct job *job)
{
	double work = 0;

	for (uint32_t i = 0; i < job->spec.step_count; i++) {
		const struct job_step *step = &job->spec.steps[i];

		if (!step->long_running)
			work += (double)step->count * step->cpu_milli *
				step->estimate_ms;
	}
	return work;
}

/*
 * Returns a job's remaining work in milli-cores times ms: that of its finite
 * tasks, if it can still be done in time or they are at work. Adds to
 * claimed_milli what its placed tasks use, and what those that are ready will use
 * unless they are placed after the jobs in time.
 */
static double remaining_work(const struct place *place, struct job *job,
			     int64_t *claimed_milli)
{
	struct job_pos pos = { .job = job };
	bool ready = false;
	bool late;
	double work = 0;

	if (job->tasks_outdated)
		job_load_tasks(job);
	late = place_too_late(place->cfg, job, 0, place->wall_ms);
	if (!late)
		work = job_count_waiting_due(job, place->wall_ms) *
		       occurrence_work(job);
	while (job_next_task(&pos)) {
		const struct job_step *step = &job->spec.steps[pos.step];
		bool placed = pos.task->state == TASK_PLACED;
		bool counts = placed || !late;

		if (!pos.index)
			ready = job_due_ms(job, pos.occurrence) <=
					place->wall_ms &&
				job_step_ready(job, pos.occurrence, pos.step);
		if (placed || (pos.task->state == TASK_WAITING && ready &&
			       (counts || step->long_running)))
			*claimed_milli += step->cpu_milli;
		if (pos.task->state != TASK_DONE && !step->long_running &&
		    counts)
			work += (double)step->cpu_milli * step->estimate_ms;
	}
	return work;
}

/* Adds what a pool needs for the tasks of its share to the lender. */
static void claim_for_tasks(const struct place *place, const char *pool,
			    struct lender *lender)
{
	const GPtrArray *jobs =
		job_share_find(place->jobs, pool, place->share.index)->live;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];

		if (!job_ended(job->stored_state))
			remaining_work(place, job, &lender->claimed_milli);
	}
}

/*
 * Returns the share's remaining work, as far as it delays a job with the given
 * target. Adds what other pools need for their tasks to the lenders.
 */
static double count_remaining_work(const struct place *place, int64_t target_ms,
				   struct lender *lenders)
{
	const GPtrArray *jobs = share_jobs(&place->share, place->jobs)->live;
	int64_t claimed_milli = 0;
	double work = 0;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];

		if (!job_ended(job->stored_state))
			work += delay_weight(place, job, target_ms) *
				remaining_work(place, job, &claimed_milli);
	}
	for (uint32_t i = 0; i < place->cfg->pool_count; i++) {
		const char *pool = place->cfg->pools[i].name;
		struct lender *lender = find_lender(place, lenders, pool);

		if (lender)
			claim_for_tasks(place, pool, lender);
	}
	return work;
}

/* A pool that lacks room for its own tasks lends nothing. */
static int64_t lendable_milli(const struct place *place,
			      const struct lender *lenders)
{
	int64_t total_milli = 0;

	for (uint32_t i = 0; i < place->cfg->pool_count; i++)
		total_milli +=
			MAX(lenders[i].own_milli - lenders[i].claimed_milli, 0);
	return total_milli;
}

void place_survey_backlog(const struct place *place, struct backlog *backlog)
{
	const GPtrArray *jobs = share_jobs(&place->share, place->jobs)->live;
	struct capacity capacity = count_capacity(place, NULL);

	*backlog = (struct backlog){
		.at_ms = place->wall_ms,
		.own_milli = capacity.own_milli,
		.full_milli = capacity.own_full_milli,
	};
	for (int i = 0; i < JOB_BOUND_COUNT; i++)
		backlog->room_percent[i] =
			job_room_percent(&place->jobs->room, i) /
			BACKLOG_ROOM_STEP_PERCENT * BACKLOG_ROOM_STEP_PERCENT;
	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];
		double work;

		if (job_ended(job->stored_state))
			continue;
		work = remaining_work(place, job, &backlog->claimed_milli);
		backlog_add_work(backlog, place_target_ms(place->cfg, job),
				 work);
	}
}

int64_t place_backlog_ms(const struct place *place, int64_t target_ms,
			 int64_t all_milli)
{
	struct lender *lenders = lenders_new(place);
	struct capacity capacity = count_capacity(place, lenders);
	int64_t parked_milli =
		MAX(all_milli / place->share.count - capacity.full_milli, 0);
	double work = count_remaining_work(place, target_ms, lenders);
	int64_t capacity_milli = capacity.own_milli + parked_milli +
				 lendable_milli(place, lenders);

	g_free(lenders);
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
