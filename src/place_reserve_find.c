#include "place_reserve.h"

int64_t place_expected_ms(const struct place *place, const struct job *job,
			  const struct job_step *step)
{
	return estimate_ms(place->reserve->estimates, job->queue,
			   step->estimate_ms);
}

int64_t place_left_ms(const struct place *place, const struct job_pos *pos)
{
	const struct job_task *task = pos->task;
	int64_t elapsed_ms =
		task->since_ms ? place->now_ms - task->since_ms : 0;

	if (task->phase == PHASE_STOPPING)
		return 0;
	return reserve_left_ms(
		place_expected_ms(place, pos->job,
				  &pos->job->spec.steps[pos->step]),
		MAX(elapsed_ms, 0), task->percent);
}

/* Adds what runs on the worker and will end. */
static void add_endings(const struct place *place, const char *worker,
			uint32_t index, GArray *endings)
{
	const struct job_placed *placed =
		job_placed_at(share_jobs(&place->share, place->jobs), worker);

	for (guint i = 0; placed && i < placed->tasks->len; i++) {
		const struct job_pos *pos =
			&g_array_index(placed->tasks, struct job_pos, i);
		const struct job_step *step = &pos->job->spec.steps[pos->step];
		struct reserve_ending ending = {
			.worker = index,
			.room = place_step_need(step),
		};

		if (pos->task->state != TASK_PLACED || step->long_running)
			continue;
		ending.left_ms = place_left_ms(place, pos);
		g_array_append_val(endings, ending);
	}
}

static gint compare_endings(gconstpointer a, gconstpointer b)
{
	const struct reserve_ending *left = a;
	const struct reserve_ending *right = b;

	return (left->left_ms > right->left_ms) -
	       (left->left_ms < right->left_ms);
}

/* Which workers are looked at; NULL: any. */
struct among {
	const char *label;
	const struct reserve_slot *slot; /* those that it holds */
};

static bool is_among(const struct among *among, const struct worker *worker)
{
	bool held = !among->slot;

	for (uint32_t i = 0; !held && i < among->slot->hold_count; i++)
		held = among->slot->holds[i].worker == worker->name;
	return held &&
	       (!among->label || worker_has_label(worker, among->label));
}

/* Adds workers that may be reserved for the candidate. */
static void add_workers(const struct pass *pass, const struct candidate *cand,
			const struct among *among, GArray *workers,
			GArray *endings)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];

	for (guint i = 0; i < pass->usable->len; i++) {
		const struct worker *worker = pass->usable->pdata[i];
		struct reserve_worker add = {
			.name = worker->name,
			.free = place_free_room(worker),
			.most = step->max_per_worker ? step->max_per_worker
						     : step->count,
		};

		if (worker->reserved || worker->held || worker->unknown_runs ||
		    !place_may_hold(cand, worker) ||
		    !place_will_fit(worker, step, 1) ||
		    !is_among(among, worker))
			continue;
		add_endings(pass->place, worker->name, workers->len, endings);
		g_array_append_val(workers, add);
	}
	g_array_sort(endings, compare_endings);
}

/* As reserve_find. */
static int64_t find_workers(const struct pass *pass,
			    const struct candidate *cand,
			    const struct among *among,
			    struct reserve_slot *slot)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	GArray *workers =
		g_array_new(FALSE, FALSE, sizeof(struct reserve_worker));
	GArray *endings =
		g_array_new(FALSE, FALSE, sizeof(struct reserve_ending));
	int64_t in_ms = -1;

	add_workers(pass, cand, among, workers, endings);
	if (!among->label || workers->len <= RESERVE_DOMAIN_WORKERS)
		in_ms = reserve_find(
			(struct reserve_worker *)workers->data, workers->len,
			(struct reserve_ending *)endings->data, endings->len,
			step->gang ? step->count : 1, RESERVE_HORIZON_MS, slot);
	g_array_free(workers, TRUE);
	g_array_free(endings, TRUE);
	return in_ms;
}

/* The label whose workers have room for the tightly coupled gang first. */
static int64_t find_domain(const struct pass *pass,
			   const struct candidate *cand,
			   struct reserve_slot *slot)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t best_ms = -1;

	for (guint i = 0; i < pass->usable->len; i++) {
		const struct worker *worker = pass->usable->pdata[i];

		for (uint32_t k = 0; k < worker->entry.label_count; k++) {
			struct among among = {
				.label = worker->entry.labels[k],
			};
			struct reserve_slot found = *slot;
			int64_t in_ms;

			if (!g_hash_table_add(seen, (gpointer)among.label))
				continue;
			in_ms = find_workers(pass, cand, &among, &found);
			if (in_ms < 0 || (best_ms >= 0 && in_ms >= best_ms))
				continue;
			best_ms = in_ms;
			*slot = found;
		}
	}
	g_hash_table_destroy(seen);
	return best_ms;
}

bool place_choose_workers(const struct pass *pass, const struct candidate *cand,
			  struct reserve_slot *slot)
{
	const struct job_step *step = &cand->job->spec.steps[cand->step];
	struct among any = { 0 };
	int64_t in_ms = -1;

	if (step->gang && step->tight)
		in_ms = find_domain(pass, cand, slot);
	if (in_ms < 0)
		in_ms = find_workers(pass, cand, &any, slot);
	slot->from_ms = pass->place->now_ms + in_ms;
	return in_ms >= 0;
}

bool place_choose_same(const struct pass *pass, const struct candidate *cand,
		       struct reserve_slot *slot)
{
	const struct reserve_slot before = *slot;
	struct among same = { .slot = &before };
	int64_t in_ms = find_workers(pass, cand, &same, slot);

	slot->from_ms = pass->place->now_ms + in_ms;
	return in_ms >= 0;
}
