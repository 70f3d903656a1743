#include <string.h>

#include "crash.h"
#include "place_int.h"

void place_occupy(struct worker *worker, const struct job_step *step)
{
	if (step->uses_idle_cpu)
		worker->filling_cpu_milli += step->cpu_milli;
	else
		worker->cpu_used_milli += step->cpu_milli;
	worker->mem_used_mib += step->mem_mib;
	worker->gpu_used += step->gpu;
}

void place_use_room(struct worker *worker, const struct job_step *step)
{
	place_occupy(worker, step);
	worker->tasks++;
	worker->new_tasks++;
	if (!step->long_running)
		return;
	worker->long_running_tasks++;
	worker->lasting_cpu_milli += step->uses_idle_cpu ? 0 : step->cpu_milli;
	worker->lasting_mem_mib += step->mem_mib;
}

void place_release_room(struct worker *worker, const struct job_step *step)
{
	int32_t cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli;

	worker->cpu_used_milli -= cpu_milli;
	worker->filling_cpu_milli -= step->cpu_milli - cpu_milli;
	worker->mem_used_mib -= step->mem_mib;
	worker->gpu_used -= step->gpu;
	worker->tasks--;
	worker->new_tasks--;
	if (!step->long_running)
		return;
	worker->long_running_tasks--;
	worker->lasting_cpu_milli -= cpu_milli;
	worker->lasting_mem_mib -= step->mem_mib;
}

/* Adds up what the tasks on a worker use. */
static void account_worker(const struct place *place,
			   const struct job_placed *placed)
{
	struct worker *worker = worker_find(place->workers, placed->worker);

	for (guint i = 0; worker && i < placed->tasks->len; i++) {
		const struct job_pos *pos =
			&g_array_index(placed->tasks, struct job_pos, i);

		if (pos->task->state != TASK_PLACED)
			continue;
		place_use_room(worker, &pos->job->spec.steps[pos->step]);
		worker->suspects += crash_is_suspect(pos->task);
		worker->new_tasks -=
			crash_is_settled(pos->task, worker->last_report_ms);
	}
}

void place_account(const struct place *place)
{
	const struct job_share *jobs = share_jobs(&place->share, place->jobs);
	const GPtrArray *workers = share_workers(&place->share, place->workers);

	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		worker->cpu_used_milli = 0;
		worker->filling_cpu_milli = 0;
		worker->mem_used_mib = 0;
		worker->gpu_used = 0;
		worker->unknown_runs = 0;
		worker->tasks = 0;
		worker->long_running_tasks = 0;
		worker->lasting_cpu_milli = 0;
		worker->lasting_mem_mib = 0;
		worker->suspects = 0;
		worker->new_tasks = 0;
		worker->reserved = false;
	}
	for (guint i = 0; i < jobs->placed->len; i++)
		account_worker(place, jobs->placed->pdata[i]);
	for (guint i = 0; i < jobs->live->len; i++) {
		place_account_quarantine(place, jobs->live->pdata[i]);
		place_account_kept(place, jobs->live->pdata[i]);
	}
}

bool place_fits(const struct worker *worker, const struct job_step *step)
{
	const struct worker_entry *entry = &worker->entry;
	int32_t cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli;

	if (step->uses_idle_cpu && worker->pace.percent < PACE_LEAST_PLACED)
		return false;
	/* Subtracts, as a request and what is used may exceed 32 bits. */
	return !worker->unknown_runs &&
	       cpu_milli <= entry->cpu_milli - worker->cpu_used_milli &&
	       step->mem_mib <= entry->mem_mib - worker->mem_used_mib &&
	       step->gpu <= entry->gpu - worker->gpu_used;
}

bool place_is_over_capacity(const struct worker *worker)
{
	const struct worker_entry *entry = &worker->entry;

	return worker->cpu_used_milli > entry->cpu_milli ||
	       worker->mem_used_mib > entry->mem_mib ||
	       worker->gpu_used > entry->gpu;
}

/* Counts tasks of the candidate that are placed on the worker. */
static int32_t count_placed(const struct candidate *cand, const char *worker)
{
	const struct job_task *task =
		job_task_at(cand->job, cand->occurrence, cand->step, 0);
	int32_t count = 0;

	for (int32_t i = 0; i < cand->job->spec.steps[cand->step].count; i++)
		count += task[i].state == TASK_PLACED &&
			 !strcmp(task[i].worker, worker);
	return count;
}

static int32_t count_chosen(const struct candidate *cand,
			    const struct worker *worker)
{
	int32_t count = 0;

	for (int32_t i = 0; i < cand->chosen_count; i++)
		count += cand->chosen[i] == worker;
	return count;
}

bool place_may_hold(const struct candidate *cand, const struct worker *worker)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];

	if (step->label[0] && !worker_has_label(worker, step->label))
		return false;
	return !step->max_per_worker ||
	       count_placed(cand, worker->entry.id) +
			       count_chosen(cand, worker) <
		       step->max_per_worker;
}

bool place_has_room(const struct place *place, const struct job_pos *pos,
		    const struct worker *worker)
{
	struct candidate cand = place_candidate(pos);

	return place_usable(place, worker) && !worker->reserved &&
	       place_fits(worker, &pos->job->spec.steps[pos->step]) &&
	       place_may_hold(&cand, worker);
}

/* How often need fits into free; many times if nothing is needed. */
static int32_t times(int32_t free, int32_t need)
{
	return need > 0 ? MAX(free, 0) / need : JOB_MAX_TASKS;
}

int32_t place_free_slots(const struct place *place, const struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	const GPtrArray *workers = share_workers(&place->share, place->workers);
	struct candidate cand = place_candidate(pos);
	int32_t total = 0;

	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];
		const struct worker_entry *entry = &worker->entry;
		int32_t slots;

		if (!place_has_room(place, pos, worker))
			continue;
		slots = times(entry->mem_mib - worker->mem_used_mib,
			      step->mem_mib);
		slots = MIN(slots,
			    times(entry->gpu - worker->gpu_used, step->gpu));
		if (!step->uses_idle_cpu)
			slots = MIN(slots, times(entry->cpu_milli -
							 worker->cpu_used_milli,
						 step->cpu_milli));
		if (step->max_per_worker)
			slots = MIN(slots,
				    step->max_per_worker -
					    count_placed(&cand, entry->id));
		total += slots;
	}
	return total;
}
