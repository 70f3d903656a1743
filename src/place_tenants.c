#include "fair.h"
#include "place_int.h"

/* Room of the share that finite tasks can have. */
static struct cfg_room finite_room(const struct place *place)
{
	const GPtrArray *workers = share_workers(&place->share, place->workers);
	struct cfg_room room = { 0 };

	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];

		if (!place_usable(place, worker))
			continue;
		room.cpu_milli +=
			worker->entry.cpu_milli - worker->lasting_cpu_milli;
		room.mem_mib += worker->entry.mem_mib - worker->lasting_mem_mib;
		room.gpu += worker->entry.gpu;
	}
	return room;
}

static void add_used(const struct place *place, struct fair *fair,
		     const struct job_placed *placed)
{
	for (guint i = 0; i < placed->tasks->len; i++) {
		const struct job_pos *pos =
			&g_array_index(placed->tasks, struct job_pos, i);
		const struct job_step *step = &pos->job->spec.steps[pos->step];

		if (pos->task->state == TASK_PLACED && !step->long_running)
			fair_add_used(fair, place->cfg, pos->job->tenant, step);
	}
}

static int32_t count_ready(const struct place *place,
			   const struct candidate *cand)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	const struct job_task *tasks =
		job_task_at(cand->job, cand->occurrence, cand->step, 0);
	int32_t count = 0;

	for (int32_t i = 0; !step->long_running && i < step->count; i++)
		count += place_is_startable(place, &tasks[i]);
	return count;
}

void place_rank_tenants(const struct place *place, GArray *candidates)
{
	const struct job_share *jobs = share_jobs(&place->share, place->jobs);
	struct cfg_room room = finite_room(place);
	struct fair *fair = fair_create();

	fair_begin(fair, &room);
	for (guint i = 0; i < jobs->placed->len; i++)
		add_used(place, fair, jobs->placed->pdata[i]);
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *cand =
			&g_array_index(candidates, struct candidate, i);

		cand->by_priority = true;
		cand->yields = cand->job->beyond_rate;
		cand->ready = count_ready(place, cand);
		if (cand->ready)
			fair_add_ready(fair, place->cfg, cand->job->tenant,
				       &cand->job->spec.steps[cand->step],
				       cand->ready);
	}
	fair_decide(fair);
	g_array_sort(candidates, place_compare_candidates);
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *cand =
			&g_array_index(candidates, struct candidate, i);

		if (cand->ready && !cand->yields)
			cand->yields =
				fair_take(fair, cand->job->tenant,
					  &cand->job->spec.steps[cand->step],
					  cand->ready);
	}
	fair_destroy(fair);
}
