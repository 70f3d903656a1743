#include <string.h>

#include "crash.h"
#include "place_int.h"

enum {
	/* A worker whose last report is older gets no new tasks. */
	PLACE_MAX_REPORT_AGE_MS = 2500,
	/* Score for a worker near the data; a fully used one scores 1000. */
	PLACE_DATA_NEAR_BONUS = 2000,
	/* Score for a worker with room reserved for the task or gang, so that a
	   tightly coupled one starts where its reservation is. */
	PLACE_RESERVED_BONUS = 8000,
	/* Score lost by a suspect for each other one on the worker. */
	PLACE_SUSPECT_PENALTY = 4000
};

int64_t place_target_ms(const struct cfg *cfg, const struct job *job)
{
	struct cfg_terms terms = job_terms(job, cfg);

	return job->accepted_ms + terms.slack_ms +
	       (int64_t)(terms.stretch * (double)job_critical_path_ms(job));
}

bool place_usable_if_leaving(const struct place *place,
			     const struct worker *worker)
{
	return worker->listed && !worker->entry.draining &&
	       worker->fence_accepted && !worker->bounded &&
	       share_has_worker(&place->share, worker) &&
	       place->now_ms - worker->last_report_ms <
		       PLACE_MAX_REPORT_AGE_MS &&
	       !worker_is_silent(worker, place->now_ms) &&
	       !worker_is_dead(worker) && worker_has_current_entry(worker) &&
	       place->now_ms >= worker->avoid_until_ms &&
	       !worker->slow_until_ms;
}

bool place_usable(const struct place *place, const struct worker *worker)
{
	return !worker->leaving && place_usable_if_leaving(place, worker);
}

bool place_too_late(const struct cfg *cfg, const struct job *job,
		    uint32_t occurrence, int64_t wall_ms)
{
	return wall_ms + job_remaining_path_ms(job, occurrence) >
	       place_target_ms(cfg, job);
}

/* Rates the worker for a task of the step; higher is better. */
static int64_t score_worker(const struct candidate *cand,
			    const struct job_task *task,
			    const struct worker *worker)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	const struct worker_entry *entry = &worker->entry;
	int64_t used = worker->cpu_used_milli;
	int64_t score;

	if (step->uses_idle_cpu)
		used += worker->filling_cpu_milli;
	used = entry->cpu_milli > 0 ? used * 1000 / entry->cpu_milli : 0;
	/* Prefers full workers, so that others stay empty and their hosts can
	   be moved to another pool; for a task that fills, idle ones. */
	score = step->uses_idle_cpu ? -used : used;
	if (step->data_rack[0] && worker_has_label(worker, step->data_rack))
		score += PLACE_DATA_NEAR_BONUS;
	score -= (int64_t)(worker->failure_rate * PLACE_DATA_NEAR_BONUS);
	if (crash_is_suspect(task))
		score -= (int64_t)worker->suspects * PLACE_SUSPECT_PENALTY;
	return score;
}

void place_pass_begin(struct pass *pass, const struct place *place)
{
	const GPtrArray *workers = share_workers(&place->share, place->workers);

	*pass = (struct pass){
		.place = place,
		.usable = g_ptr_array_new(),
	};
	for (guint i = 0; i < workers->len; i++)
		if (place_usable(place, workers->pdata[i]))
			g_ptr_array_add(pass->usable, workers->pdata[i]);
}

void place_pass_end(struct pass *pass)
{
	g_ptr_array_free(pass->usable, TRUE);
	if (pass->endings)
		g_array_free(pass->endings, TRUE);
}

/* Whether only the room of workers limits where the step's tasks may run. */
static bool needs_room_only(const struct job_step *step)
{
	return !step->label[0] && !step->max_per_worker && !step->gpu &&
	       !step->uses_idle_cpu;
}

/* Whether an earlier, smaller request already found no room in this pass. */
static bool known_full(const struct pass *pass, const struct job_step *step)
{
	return pass->full_cpu_milli && !step->uses_idle_cpu &&
	       step->cpu_milli >= pass->full_cpu_milli &&
	       step->mem_mib >= pass->full_mem_mib;
}

static void note_full(struct pass *pass, const struct job_step *step)
{
	if (!needs_room_only(step))
		return;
	pass->full_cpu_milli = step->cpu_milli;
	pass->full_mem_mib = step->mem_mib;
}

static struct worker *best_worker(struct pass *pass, struct candidate *cand,
				  const struct job_task *task)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct worker *best = NULL;
	int64_t best_score = 0;
	bool owns = place_reserve_owns(pass, cand);
	bool held = false;

	if (!owns &&
	    (known_full(pass, step) || place_reserve_holds_off(pass, cand)))
		return NULL;
	for (guint i = 0; i < pass->usable->len; i++) {
		struct worker *worker = pass->usable->pdata[i];
		int64_t score;

		if (worker->reserved || !place_fits(worker, step) ||
		    !place_may_hold(cand, worker))
			continue;
		if (!place_reserve_allows(pass, cand, worker)) {
			held = true;
			continue;
		}
		score = score_worker(cand, task, worker);
		if (owns && worker->held)
			score += PLACE_RESERVED_BONUS;
		if (best && score <= best_score)
			continue;
		best = worker;
		best_score = score;
	}
	if (!best && held)
		place_reserve_note_held(pass, cand);
	else if (!best)
		note_full(pass, step);
	return best;
}

bool place_reserve(const struct place *place, const struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	bool alone = crash_needs_quarantine(pos->task);
	struct candidate cand = place_candidate(pos);
	struct worker *worker;
	struct pass pass;

	place_pass_begin(&pass, place);
	worker = alone ? place_find_quarantine(&pass, &cand)
		       : best_worker(&pass, &cand, pos->task);
	place_pass_end(&pass);
	if (!worker || !place_fits(worker, step))
		return false;
	place_use_room(worker, step);
	worker->reserved |= alone;
	return true;
}

bool place_is_startable(const struct place *place, const struct job_task *task)
{
	return task->state == TASK_WAITING &&
	       task->hold_until_ms <= place->now_ms &&
	       task->listed_ms < place->now_ms &&
	       !(place->workers->host_list_down && crash_must_wait(task));
}

/* Places all tasks of a gang under one run number, or none of them. */
static uint32_t place_gang(struct pass *pass, struct candidate *cand)
{
	const struct place *place = pass->place;
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct job_task *tasks =
		job_task_at(cand->job, cand->occurrence, cand->step, 0);
	struct worker **chosen = g_new0(struct worker *, step->count);
	struct pass before = *pass;
	int32_t run = 0, found = 0;

	for (int32_t i = 0; i < step->count; i++) {
		if (!place_is_startable(place, &tasks[i]))
			goto out;
		run = MAX(run, tasks[i].run);
	}
	cand->chosen = chosen;
	while (found < step->count) {
		struct worker *worker = best_worker(pass, cand, &tasks[found]);

		if (!worker)
			break;
		place_use_room(worker, step);
		worker->suspects += crash_is_suspect(&tasks[found]);
		chosen[found++] = worker;
		cand->chosen_count = found;
	}
	for (int32_t i = 0; i < found; i++) {
		if (found == step->count) {
			place_reserve_placed(pass, cand, &tasks[i], chosen[i]);
			job_place_task(cand->job, &tasks[i],
				       chosen[i]->entry.id, chosen[i]->boot_ms,
				       run + 1, place->now_ms);
			continue;
		}
		place_release_room(chosen[i], step);
		chosen[i]->suspects -= crash_is_suspect(&tasks[i]);
	}
	/* Room was short beside the gang's own reservations only. */
	if (found < step->count)
		*pass = before;
out:
	cand->chosen = NULL;
	cand->chosen_count = 0;
	g_free(chosen);
	return found == step->count ? (uint32_t)found : 0;
}

/* Whether the limit of the job's organisation allows count tasks of the step. */
static bool is_within_quota(const struct place *place,
			    const struct candidate *cand, int32_t count)
{
	return !place->quota ||
	       quota_use_allows(place->quota, cand->job->tenant,
				&cand->job->spec.steps[cand->step], count);
}

static void use_quota(const struct place *place, const struct candidate *cand,
		      int32_t count)
{
	for (int32_t i = 0; place->quota && i < count; i++)
		quota_use_add(place->quota, cand->job->tenant,
			      &cand->job->spec.steps[cand->step]);
}

/* Tasks of the step that could be placed now, from the one with that index on. */
static int32_t count_startable(const struct place *place,
			       const struct candidate *cand, int32_t from)
{
	const struct job_task *tasks =
		job_task_at(cand->job, cand->occurrence, cand->step, 0);
	int32_t count = 0;

	for (int32_t i = from; i < cand->job->spec.steps[cand->step].count; i++)
		count += place_is_startable(place, &tasks[i]);
	return count;
}

static struct place_counts place_whole_gang(struct pass *pass,
					    struct candidate *cand)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct job_task *tasks =
		job_task_at(cand->job, cand->occurrence, cand->step, 0);
	/* Others of its tasks may still run, and count already. */
	int32_t startable = count_startable(pass->place, cand, 0);
	struct place_counts counts = { 0 };

	if (!is_within_quota(pass->place, cand, startable)) {
		place_reserve_over_limit(pass, cand);
		quota_use_want(pass->place->quota, cand->job->tenant, step,
			       startable);
		counts.over_quota = 1;
		return counts;
	}
	if (crash_needs_quarantine(tasks))
		counts.placed = place_gang_in_quarantine(pass, cand);
	else
		counts.placed = place_gang(pass, cand);
	if (!counts.placed && !crash_needs_quarantine(tasks) &&
	    startable == step->count)
		place_reserve_waits(pass, cand, tasks, 0);
	use_quota(pass->place, cand, (int32_t)counts.placed);
	return counts;
}

/*
 * Notes that a limit keeps the tasks from that index on waiting. If no worker has
 * room either, a larger grant would be of no use.
 */
static void want_quota(struct pass *pass, struct candidate *cand,
		       const struct job_task *task, int32_t index)
{
	const struct place *place = pass->place;

	if (best_worker(pass, cand, task))
		quota_use_want(place->quota, cand->job->tenant,
			       &cand->job->spec.steps[cand->step],
			       count_startable(place, cand, index));
}

static struct place_counts place_step(struct pass *pass, struct candidate *cand)
{
	const struct place *place = pass->place;
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct job_task *tasks =
		job_task_at(cand->job, cand->occurrence, cand->step, 0);
	struct place_counts counts = { 0 };
	uint32_t held = 0; /* tasks that wait for their quarantine */

	if (step->gang)
		return place_whole_gang(pass, cand);
	for (int32_t i = 0; i < step->count; i++) {
		struct worker *worker;

		if (!place_is_startable(place, &tasks[i]))
			continue;
		if (!is_within_quota(place, cand, 1)) {
			place_reserve_over_limit(pass, cand);
			want_quota(pass, cand, &tasks[i], i);
			counts.over_quota = 1;
			break;
		}
		if (crash_needs_quarantine(&tasks[i])) {
			if (place_in_quarantine(pass, cand, &tasks[i])) {
				use_quota(place, cand, 1);
				counts.placed++;
			} else {
				held++;
			}
			continue;
		}
		worker = place_kept_worker(place, cand, &tasks[i]);
		if (!worker && !counts.waiting)
			worker = best_worker(pass, cand, &tasks[i]);
		if (!worker)
			worker = place_leaving_worker(place, cand, &tasks[i]);
		if (!worker) {
			place_keep_room(pass, cand, &tasks[i]);
			place_reserve_waits(pass, cand, &tasks[i],
					    counts.waiting);
			counts.waiting++;
			continue;
		}
		place_reserve_placed(pass, cand, &tasks[i], worker);
		job_place_task(cand->job, &tasks[i], worker->entry.id,
			       worker->boot_ms, tasks[i].run + 1,
			       place->now_ms);
		place_use_room(worker, step);
		use_quota(place, cand, 1);
		worker->suspects += crash_is_suspect(&tasks[i]);
		counts.placed++;
	}
	counts.waiting += held;
	return counts;
}

static bool has_startable(const struct place *place, const struct job *job,
			  uint32_t occurrence, uint32_t step)
{
	const struct job_task *tasks = job_task_at(job, occurrence, step, 0);

	for (int32_t i = 0; i < job->spec.steps[step].count; i++)
		if (place_is_startable(place, &tasks[i]))
			return true;
	return false;
}

static void add_occurrence(const struct place *place, struct job *job,
			   uint32_t occurrence, int32_t priority, GArray *out)
{
	for (uint32_t s = 0; s < job->spec.step_count; s++) {
		struct candidate cand = {
			.job = job,
			.occurrence = occurrence,
			.step = s,
			.priority = priority,
		};

		if (!has_startable(place, job, occurrence, s) ||
		    !job_step_ready(job, occurrence, s))
			continue;
		cand.long_running = job->spec.steps[s].long_running;
		cand.target_ms = place_target_ms(place->cfg, job);
		cand.too_late = place_too_late(place->cfg, job, occurrence,
					       place->wall_ms);
		g_array_append_val(out, cand);
	}
}

static void add_candidates(const struct place *place, struct job *job,
			   GArray *out)
{
	int32_t priority = job_terms(job, place->cfg).priority;

	if (job->tasks_outdated)
		job_load_tasks(job);
	job_open_due(job, place->wall_ms);
	for (guint i = 0; job->open && i < job->open->len; i++) {
		const struct job_occurrence *open = job->open->pdata[i];

		/* The clock may have gone back. */
		if (job_due_ms(job, open->number) <= place->wall_ms)
			add_occurrence(place, job, open->number, priority, out);
	}
}

gint place_compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->long_running != right->long_running)
		return left->long_running ? -1 : 1;
	if (left->too_late != right->too_late)
		return left->too_late ? 1 : -1;
	if (left->by_priority && left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->yields != right->yields)
		return left->yields ? 1 : -1;
	if (left->target_ms != right->target_ms)
		return left->target_ms < right->target_ms ? -1 : 1;
	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->job != right->job)
		return left->job->submission_rank < right->job->submission_rank
			       ? -1
			       : 1;
	if (left->occurrence != right->occurrence)
		return left->occurrence < right->occurrence ? -1 : 1;
	return (left->step > right->step) - (left->step < right->step);
}

struct place_counts place_tasks(const struct place *place)
{
	const GPtrArray *jobs = share_jobs(&place->share, place->jobs)->live;
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct place_counts total = { 0 };
	struct pass pass;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];

		if (!job_ended(job->state) && !job->cancel_requested)
			add_candidates(place, job, candidates);
	}
	if (place->cfg->has_tenants)
		place_rank_tenants(place, candidates);
	g_array_sort(candidates, place_compare_candidates);
	place_pass_begin(&pass, place);
	place_reserve_begin(&pass);
	for (guint i = 0; i < candidates->len; i++) {
		struct candidate *cand =
			&g_array_index(candidates, struct candidate, i);
		struct place_counts counts = place_step(&pass, cand);

		total.placed += counts.placed;
		total.waiting += counts.waiting;
		total.over_quota += counts.over_quota;
	}
	place_reserve_end(&pass);
	place_pass_end(&pass);
	g_array_free(candidates, TRUE);
	return total;
}
