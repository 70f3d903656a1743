#include "log.h"
#include "place_reserve.h"

/* What slots and workers hold is marked for the duration of a pass only. */

static const struct job_step *step_of(const struct candidate *cand)
{
	return &cand->job->spec.steps[cand->step];
}

static struct reserve_rank rank_of(const struct candidate *cand)
{
	return (struct reserve_rank){
		.too_late = cand->too_late,
		.priority = cand->priority,
		.yields = cand->yields,
	};
}

static bool is_slot_of(const struct reserve_slot *slot,
		       const struct candidate *cand)
{
	return slot->job == cand->job && slot->step == cand->step &&
	       slot->occurrence == cand->occurrence && !slot->ended;
}

static struct reserve_slot *slot_on(const struct pass *pass,
				    const struct worker *worker)
{
	return &pass->place->reserve->slots[worker->held - 1];
}

static struct reserve_hold *hold_on(struct reserve_slot *slot,
				    const struct worker *worker)
{
	for (uint32_t i = 0; i < slot->hold_count; i++)
		if (slot->holds[i].worker == worker->name)
			return &slot->holds[i];
	return NULL;
}

static void add_room(struct reserve_room *sum, const struct reserve_room *room)
{
	sum->cpu_milli += room->cpu_milli;
	sum->mem_mib += room->mem_mib;
	sum->gpu += room->gpu;
}

/* What is in use on the worker and expected to end within that time. */
static struct reserve_room ending_within(const struct place *place,
					 const char *worker, int64_t within_ms)
{
	const struct job_placed *placed =
		job_placed_at(share_jobs(&place->share, place->jobs), worker);
	struct reserve_room sum = { 0 };

	for (guint i = 0; placed && i < placed->tasks->len; i++) {
		const struct job_pos *pos =
			&g_array_index(placed->tasks, struct job_pos, i);
		const struct job_step *step = &pos->job->spec.steps[pos->step];
		struct reserve_room need = place_step_need(step);

		if (pos->task->state == TASK_PLACED && !step->long_running &&
		    place_left_ms(place, pos) <= within_ms)
			add_room(&sum, &need);
	}
	return sum;
}

static void release_workers(const struct place *place,
			    const struct reserve_slot *slot)
{
	for (uint32_t i = 0; i < slot->hold_count; i++) {
		struct worker *worker =
			worker_find(place->workers, slot->holds[i].worker);

		if (worker)
			worker->held = 0;
	}
}

static void mark_workers(const struct place *place, struct reserve_slot *slot)
{
	for (uint32_t i = 0; i < slot->hold_count; i++) {
		struct reserve_hold *hold = &slot->holds[i];
		struct worker *worker =
			worker_find(place->workers, hold->worker);

		worker->held = (uint32_t)(slot - place->reserve->slots) + 1;
		hold->ending = ending_within(place, hold->worker,
					     slot->from_ms - place->now_ms);
	}
}

static void log_reserved(const struct place *place,
			 const struct reserve_slot *slot, const char *why)
{
	log_info("room-reserved id=%s step=%u why=%s worker=%s workers=%u "
		 "tasks=%d cpu=%" G_GINT64_FORMAT " mem=%" G_GINT64_FORMAT
		 " from_in_ms=%" G_GINT64_FORMAT,
		 slot->id, slot->step, why, slot->holds[0].worker,
		 slot->hold_count, slot->holds[0].tasks, slot->need.cpu_milli,
		 slot->need.mem_mib, slot->from_ms - place->now_ms);
}

static void end_slot(struct pass *pass, struct reserve_slot *slot,
		     const char *why, int64_t *counter)
{
	const struct place *place = pass->place;

	(*counter)++;
	log_info("room-reservation-ended id=%s step=%u why=%s worker=%s "
		 "held_ms=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT,
		 slot->id, slot->step, why, slot->holds[0].worker,
		 place->now_ms - slot->made_ms, place->now_ms - slot->from_ms);
	release_workers(place, slot);
	slot->ended = true;
	/* Others may start there now. */
	pass->held_from.valid = false;
}

/* Tasks of the step do not ask for a reservation for a while. */
static void hold_off(const struct place *place, const struct reserve_slot *slot)
{
	struct job *job = job_find(place->jobs, slot->id);
	struct job_task *tasks =
		job_task_at(job, slot->occurrence, slot->step, 0);

	for (int32_t i = 0; tasks && i < job->spec.steps[slot->step].count; i++)
		tasks[i].no_reserve_until_ms = place->now_ms + RESERVE_GAP_MS;
}

static bool still_waits(const struct place *place,
			const struct reserve_slot *slot, const struct job *job)
{
	const struct job_task *tasks;

	if (!job || job_ended(job->state) || job->cancel_requested ||
	    job->deleting || slot->occurrence >= job->occurrences)
		return false;
	tasks = job_task_at(job, slot->occurrence, slot->step, 0);
	for (int32_t i = 0; tasks && i < job->spec.steps[slot->step].count; i++)
		if (place_is_startable(place, &tasks[i]))
			return true;
	return false;
}

/* Whether all of its workers can still be used, and have room but for finite tasks. */
static bool workers_usable(const struct place *place,
			   const struct reserve_slot *slot,
			   const struct job_step *step)
{
	for (uint32_t i = 0; i < slot->hold_count; i++) {
		const struct worker *worker =
			worker_find(place->workers, slot->holds[i].worker);

		if (!worker || worker->reserved ||
		    !place_usable(place, worker) ||
		    !place_will_fit(worker, step, slot->holds[i].tasks))
			return false;
	}
	return true;
}

/* Ends a reservation that is of no use any more, or has lasted too long. */
static void check_slot(struct pass *pass, struct reserve_slot *slot)
{
	const struct place *place = pass->place;
	struct reserve *reserve = place->reserve;
	struct reserve_counts *counts = reserve->counts;
	struct job *job = job_find(place->jobs, slot->id);

	slot->job = job;
	if (!still_waits(place, slot, job)) {
		end_slot(pass, slot, "gone", &counts->gone);
	} else if (!slot->rank.too_late &&
		   place_too_late(place->cfg, job, slot->occurrence,
				  place->wall_ms)) {
		end_slot(pass, slot, "late", &counts->late);
	} else if (!workers_usable(place, slot, &job->spec.steps[slot->step])) {
		end_slot(pass, slot, "worker", &counts->worker);
	} else if (place->now_ms - slot->made_ms >= reserve->limits.hold_ms) {
		hold_off(place, slot);
		end_slot(pass, slot, "expired", &counts->expired);
	}
}

/*
 * Makes a reservation anew that has passed its time: on the same workers if they
 * can still be expected to have room soon, as part of it may be free by now.
 */
static void renew_slot(struct pass *pass, struct reserve_slot *slot)
{
	const struct place *place = pass->place;
	struct candidate cand = {
		.job = job_find(place->jobs, slot->id),
		.occurrence = slot->occurrence,
		.step = slot->step,
	};
	struct reserve_slot renewed = *slot;
	bool same;

	release_workers(place, slot);
	same = place_choose_same(pass, &cand, &renewed);
	if (!same && !place_choose_workers(pass, &cand, &renewed)) {
		hold_off(place, slot);
		end_slot(pass, slot, "passed", &place->reserve->counts->passed);
		return;
	}
	renewed.passed = true;
	*slot = renewed;
	place->reserve->counts->renewed++;
	mark_workers(place, slot);
	if (!same)
		log_reserved(place, slot, "passed");
}

/* Sums up what the usable workers have, and the mean size of what runs there. */
static void survey(struct pass *pass)
{
	struct reserve_room used = { 0 };
	int64_t tasks = 0;

	for (guint i = 0; i < pass->usable->len; i++) {
		const struct worker *worker = pass->usable->pdata[i];

		pass->capacity.cpu_milli += worker->entry.cpu_milli;
		pass->capacity.mem_mib += worker->entry.mem_mib;
		used.cpu_milli +=
			worker->cpu_used_milli - worker->lasting_cpu_milli;
		used.mem_mib += worker->mem_used_mib - worker->lasting_mem_mib;
		tasks += worker->tasks - worker->long_running_tasks;
	}
	if (!tasks)
		return;
	pass->mean.cpu_milli = used.cpu_milli / tasks;
	pass->mean.mem_mib = used.mem_mib / tasks;
}

void place_reserve_begin(struct pass *pass)
{
	const struct place *place = pass->place;
	struct reserve *reserve = place->reserve;

	if (!reserve)
		return;
	survey(pass);
	pass->may_ask =
		reserve->count < MIN(reserve->limits.count, RESERVE_MAX) &&
		place->now_ms >= reserve->next_look_ms;
	for (uint32_t i = 0; i < reserve->count; i++)
		check_slot(pass, &reserve->slots[i]);
	for (uint32_t i = 0; i < reserve->count; i++)
		if (!reserve->slots[i].ended)
			mark_workers(place, &reserve->slots[i]);
	for (uint32_t i = 0; i < reserve->count; i++) {
		struct reserve_slot *slot = &reserve->slots[i];

		if (!slot->ended &&
		    place->now_ms >= slot->from_ms + RESERVE_GRACE_MS)
			renew_slot(pass, slot);
	}
}

bool place_reserve_owns(const struct pass *pass, const struct candidate *cand)
{
	const struct reserve *reserve = pass->place->reserve;

	for (uint32_t i = 0; reserve && i < reserve->count; i++)
		if (is_slot_of(&reserve->slots[i], cand))
			return true;
	return false;
}

static bool ends_in_time(const struct pass *pass, struct candidate *cand,
			 const struct reserve_slot *slot)
{
	if (!cand->expected_ms)
		cand->expected_ms = place_expected_ms(pass->place, cand->job,
						      step_of(cand));
	return !slot->passed &&
	       pass->place->now_ms + RESERVE_START_MS + cand->expected_ms <=
		       slot->from_ms;
}

/* Whether a task of the step fits beside the reserved ones once that begins. */
static bool fits_beside(struct reserve_slot *slot, const struct worker *worker,
			const struct job_step *step)
{
	const struct reserve_hold *hold = hold_on(slot, worker);
	struct reserve_room room = place_free_room(worker);
	struct reserve_room need = place_step_need(step);

	add_room(&room, &hold->ending);
	room.cpu_milli -= hold->tasks * slot->need.cpu_milli;
	room.mem_mib -= hold->tasks * slot->need.mem_mib;
	room.gpu -= hold->tasks * slot->need.gpu;
	return reserve_fits(&room, &need, 1) > 0;
}

bool place_reserve_allows(const struct pass *pass, struct candidate *cand,
			  const struct worker *worker)
{
	struct reserve_rank rank = rank_of(cand);
	struct reserve_slot *slot;

	if (!worker->held || cand->long_running)
		return true;
	slot = slot_on(pass, worker);
	return reserve_rank_above(&rank, &slot->rank) ||
	       is_slot_of(slot, cand) ||
	       fits_beside(slot, worker, step_of(cand)) ||
	       ends_in_time(pass, cand, slot);
}

void place_reserve_note_held(struct pass *pass, struct candidate *cand)
{
	const struct job_step *step = step_of(cand);

	if (step->label[0] || step->max_per_worker || step->gpu ||
	    step->uses_idle_cpu)
		return;
	pass->held_from.valid = true;
	pass->held_from.cpu_milli = step->cpu_milli;
	pass->held_from.mem_mib = step->mem_mib;
	pass->held_from.rank = rank_of(cand);
	pass->held_from.expected_ms = cand->expected_ms;
}

bool place_reserve_holds_off(struct pass *pass, struct candidate *cand)
{
	const struct job_step *step = step_of(cand);
	struct reserve_rank rank = rank_of(cand);

	if (!pass->held_from.valid || cand->long_running ||
	    step->uses_idle_cpu ||
	    step->cpu_milli < pass->held_from.cpu_milli ||
	    step->mem_mib < pass->held_from.mem_mib ||
	    reserve_rank_above(&rank, &pass->held_from.rank))
		return false;
	if (!cand->expected_ms)
		cand->expected_ms =
			place_expected_ms(pass->place, cand->job, step);
	return cand->expected_ms >= pass->held_from.expected_ms;
}

static bool is_large(const struct pass *pass, const struct job_step *step)
{
	const struct reserve *reserve = pass->place->reserve;
	int64_t percent = reserve->limits.large_percent;
	struct reserve_room need = place_step_need(step);

	if (!pass->mean.cpu_milli && !pass->mean.mem_mib)
		return false;
	return (step->gang && step->count > 1) ||
	       need.cpu_milli * 100 >= pass->mean.cpu_milli * percent ||
	       need.mem_mib * 100 >= pass->mean.mem_mib * percent;
}

/* Ends one reservation of the step, whose task is placed on the worker. */
static void end_of_step(struct pass *pass, const struct candidate *cand,
			const struct worker *worker)
{
	struct reserve *reserve = pass->place->reserve;
	struct reserve_slot *slot = NULL;

	if (worker->held && is_slot_of(slot_on(pass, worker), cand)) {
		end_slot(pass, slot_on(pass, worker), "kept",
			 &reserve->counts->kept);
		return;
	}
	for (uint32_t i = 0; i < reserve->count && !slot; i++)
		if (is_slot_of(&reserve->slots[i], cand))
			slot = &reserve->slots[i];
	if (slot)
		end_slot(pass, slot, "elsewhere", &reserve->counts->elsewhere);
}

void place_reserve_placed(struct pass *pass, struct candidate *cand,
			  const struct job_task *task,
			  const struct worker *worker)
{
	const struct job_step *step = step_of(cand);
	struct reserve *reserve = pass->place->reserve;

	if (!reserve || step->long_running)
		return;
	if (is_large(pass, step))
		histo_add(&reserve->counts->large_wait_ms,
			  task->waits_ms ? pass->place->now_ms - task->waits_ms
					 : 0);
	if (place_reserve_owns(pass, cand)) {
		end_of_step(pass, cand, worker);
	} else if (worker->held &&
		   ends_in_time(pass, cand, slot_on(pass, worker))) {
		struct reserve_room need = place_step_need(step);

		add_room(&hold_on(slot_on(pass, worker), worker)->ending,
			 &need);
	}
}

void place_reserve_over_limit(struct pass *pass, const struct candidate *cand)
{
	struct reserve *reserve = pass->place->reserve;

	for (uint32_t i = 0; reserve && i < reserve->count; i++)
		if (is_slot_of(&reserve->slots[i], cand))
			end_slot(pass, &reserve->slots[i], "limit",
				 &reserve->counts->over_limit);
}

static uint32_t count_slots(const struct reserve *reserve,
			    const struct candidate *cand)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < reserve->count; i++)
		count += is_slot_of(&reserve->slots[i], cand);
	return count;
}

static bool is_candidate(const struct candidate *left,
			 const struct candidate *right)
{
	return left->job == right->job && left->step == right->step &&
	       left->occurrence == right->occurrence;
}

void place_reserve_waits(struct pass *pass, const struct candidate *cand,
			 struct job_task *task, uint32_t waiting_before)
{
	const struct place *place = pass->place;
	struct reserve_rank rank = rank_of(cand);
	struct reserve_rank best;

	if (!place->reserve || cand->long_running)
		return;
	if (!task->waits_ms)
		task->waits_ms = place->now_ms;
	/* Jobs that are too late are placed last; they have nothing to gain. */
	if (!pass->may_ask || cand->too_late ||
	    is_candidate(&pass->asks, cand) ||
	    place->now_ms - task->waits_ms < place->reserve->limits.wait_ms ||
	    place->now_ms < task->no_reserve_until_ms ||
	    !is_large(pass, step_of(cand)))
		return;
	best = rank_of(&pass->asks);
	if (pass->asks.job && (reserve_rank_above(&best, &rank) ||
			       (!reserve_rank_above(&rank, &best) &&
				pass->asks_since_ms <= task->waits_ms)))
		return;
	if (waiting_before < count_slots(place->reserve, cand))
		return;
	pass->asks = *cand;
	pass->asks_since_ms = task->waits_ms;
}

/* Whether the reservation leaves enough capacity to others. */
static bool is_within_bounds(const struct pass *pass,
			     const struct reserve_slot *slot)
{
	const struct reserve *reserve = pass->place->reserve;
	const struct reserve_limits *limits = &reserve->limits;
	struct reserve_room held = reserve_held(reserve);
	struct reserve_room more = { 0 };
	bool alone = !held.cpu_milli && !held.mem_mib;

	for (uint32_t i = 0; i < slot->hold_count; i++) {
		more.cpu_milli += slot->holds[i].tasks * slot->need.cpu_milli;
		more.mem_mib += slot->holds[i].tasks * slot->need.mem_mib;
	}
	return reserve_sum_within(
		&held, &more, &pass->capacity,
		alone ? MAX(limits->alone_percent, limits->capacity_percent)
		      : limits->capacity_percent);
}

/* Reserves room for the task that has waited longest in the highest class. */
static void make_slot(struct pass *pass)
{
	const struct place *place = pass->place;
	struct reserve *reserve = place->reserve;
	const struct candidate *cand = &pass->asks;
	struct reserve_slot *slot = &reserve->slots[reserve->count];

	reserve->next_look_ms = place->now_ms + reserve->limits.look_ms;
	*slot = (struct reserve_slot){
		.occurrence = cand->occurrence,
		.step = cand->step,
		.rank = rank_of(cand),
		.need = place_step_need(step_of(cand)),
		.made_ms = place->now_ms,
	};
	g_strlcpy(slot->id, cand->job->id, sizeof(slot->id));
	if (!place_choose_workers(pass, cand, slot) ||
	    !is_within_bounds(pass, slot))
		return;
	reserve->count++;
	reserve->counts->made++;
	log_reserved(place, slot, "waits");
}

/* Adds up the free processor time that is kept, in thousandths of a core. */
static int64_t idle_milli(const struct place *place)
{
	const struct reserve *reserve = place->reserve;
	int64_t idle = 0;

	for (uint32_t i = 0; i < reserve->count; i++) {
		const struct reserve_slot *slot = &reserve->slots[i];

		for (uint32_t k = 0; k < slot->hold_count; k++) {
			const struct reserve_hold *hold = &slot->holds[k];
			const struct worker *worker =
				worker_find(place->workers, hold->worker);
			int64_t free_milli =
				worker ? place_free_room(worker).cpu_milli : 0;

			idle += CLAMP(free_milli, 0,
				      hold->tasks * slot->need.cpu_milli);
		}
	}
	return idle;
}

void place_reserve_end(struct pass *pass)
{
	const struct place *place = pass->place;
	struct reserve *reserve = place->reserve;
	uint32_t kept = 0;

	if (!reserve)
		return;
	for (uint32_t i = 0; i < reserve->count; i++)
		if (!reserve->slots[i].ended)
			reserve->slots[kept++] = reserve->slots[i];
	reserve->count = kept;
	if (reserve->passed_ms && kept)
		reserve->counts->idle_core_ms +=
			idle_milli(place) *
			(place->now_ms - reserve->passed_ms) / 1000;
	reserve->passed_ms = place->now_ms;
	if (pass->asks.job && kept < MIN(reserve->limits.count, RESERVE_MAX))
		make_slot(pass);
	for (uint32_t i = 0; i < kept; i++)
		release_workers(place, &reserve->slots[i]);
}
