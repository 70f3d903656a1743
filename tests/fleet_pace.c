#include "fleet_pace.h"

#include <string.h>

#include "fleet_sim_int.h"

/* Of the time over which the figures are averaged. */
enum { WINDOW_MS = 500 };

static const struct sim_job *job_of(const struct sim *sim, const char *task)
{
	char id[JOB_ID_BYTES];

	g_strlcpy(id, task, sizeof(id));
	return g_hash_table_lookup(sim->jobs, id);
}

/* What the tasks that fill add to the response times of others on the worker. */
static int32_t added_by_fillers(const struct sim *sim,
				const struct sim_worker *worker)
{
	int32_t percent = 0;

	for (guint i = 0; i < worker->model.runs->len; i++) {
		const struct model_run *run =
			&g_array_index(worker->model.runs, struct model_run, i);
		const struct sim_job *job = job_of(sim, run->task);

		if (job && job->fills)
			percent += run->pace;
	}
	return sim->added_ms * percent / 100;
}

static void step_run(struct sim *sim, struct model_run *run, int32_t added_ms)
{
	run->tail_ms +=
		(sim->tail_ms + added_ms - run->tail_ms) * STEP_MS / WINDOW_MS;
	if (sim->tail_ms + added_ms > run->target_ms &&
	    sim->tail_ms <= run->target_ms)
		run->harmed_ms += STEP_MS;
	else
		run->harmed_ms = 0;
	if (run->harmed_ms > FLEET_HARM_MS)
		sim_report_violation(sim,
				     "over its target by what fills beside it",
				     run->task);
}

void fleet_pace_step(struct sim *sim)
{
	if (!sim->tail_ms)
		return;
	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];
		int32_t added_ms = added_by_fillers(sim, worker);

		for (guint k = 0; worker->up && k < worker->model.runs->len;
		     k++) {
			struct model_run *run = &g_array_index(
				worker->model.runs, struct model_run, k);

			if (run->target_ms)
				step_run(sim, run, added_ms);
		}
	}
}
