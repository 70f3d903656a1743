#include "fleet_gang.h"

#include <string.h>

/* A member that has waited so long for the others ends. */
enum { GANG_WAIT_MS = 3000 };

void fleet_gang_init_run(struct model_run *run, const struct sim_job *job,
			 const struct worker_model *model)
{
	run->gang_size = job->width;
	run->waits = true;
	run->alone_ms = model->clock_ms + GANG_WAIT_MS;
	run->fails = false;
}

/* Whether the runs are members of one gang: their names differ in the index. */
static bool is_same_gang(const struct model_run *left,
			 const struct model_run *right)
{
	size_t len = (size_t)(strrchr(left->task, '.') - left->task) + 1;

	return left->run == right->run &&
	       !strncmp(left->task, right->task, len);
}

static struct model_run *run_at(const struct sim_worker *worker, guint index)
{
	return &g_array_index(worker->model.runs, struct model_run, index);
}

/* Counts the members that are present; if work is set, they begin to work. */
static int32_t visit_members(struct sim *sim, const struct model_run *member,
			     bool work)
{
	int32_t count = 0;

	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		for (guint j = 0; worker->up && j < worker->model.runs->len;
		     j++) {
			struct model_run *run = run_at(worker, j);

			if (!is_same_gang(member, run))
				continue;
			count++;
			if (!work)
				continue;
			run->waits = false;
			run->total_ms = member->total_ms;
			run->remaining_ms = member->total_ms;
		}
	}
	return count;
}

void fleet_gang_step(struct sim *sim)
{
	for (int i = 0; i < sim->worker_count; i++) {
		struct sim_worker *worker = &sim->workers[i];

		if (!worker->up)
			continue;
		for (guint j = worker->model.runs->len; j > 0; j--) {
			struct model_run *run = run_at(worker, j - 1);
			bool complete;

			if (!run->gang_size)
				continue;
			complete = visit_members(sim, run, false) ==
				   run->gang_size;
			if (run->waits && complete)
				visit_members(sim, run, true);
			else if (!run->waits && !complete)
				worker_model_break(&worker->model, j - 1);
		}
	}
}
