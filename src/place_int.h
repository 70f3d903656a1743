/*
 * NAME
 *	place_int - internals shared by the files of module place
 */
#ifndef PLACE_INT_H
#define PLACE_INT_H

#include "place.h"

/* A step of one occurrence that has tasks to start. */
struct candidate {
	struct job *job;
	uint32_t occurrence;
	uint32_t step;
	int32_t priority;
	bool long_running;
	bool too_late; /* target_ms can no longer be met */
	/* Of an organisation that has more than its share, or beyond its rate. */
	bool yields;
	bool by_priority; /* priorities come before targets */
	int32_t ready; /* finite tasks that can start; set by place_rank_tenants */
	int64_t target_ms;
	int64_t expected_ms; /* corrected estimate; 0: not looked up yet */
	/* Workers chosen for tasks of a gang that are not placed yet. */
	struct worker *const *chosen;
	int32_t chosen_count;
};

/* A pass over the waiting tasks, and what it has found out. */
struct pass {
	const struct place *place;
	GPtrArray *usable; /* workers that may receive tasks */
	GArray *endings;   /* struct ending, see place_room; NULL: not needed */
	/* Smallest request for which no worker had room, among steps without
	   other constraints; 0: none yet. */
	int32_t full_cpu_milli;
	int32_t full_mem_mib;
	/* Of place_reserve, if the feature is on. */
	struct reserve_room capacity; /* of the usable workers */
	struct reserve_room mean;     /* size of their finite tasks; 0: none */
	bool may_ask;		      /* a new reservation may be made */
	struct candidate asks; /* has waited longest; job is NULL: none */
	int64_t asks_since_ms;
	/* Smallest request that only reservations kept from a worker. */
	struct {
		bool valid;
		int32_t cpu_milli;
		int32_t mem_mib;
		struct reserve_rank rank;
		int64_t expected_ms;
	} held_from;
};

/* place_candidate - the candidate that a task belongs to, without its rank */
static inline struct candidate place_candidate(const struct job_pos *pos)
{
	return (struct candidate){
		.job = pos->job,
		.occurrence = pos->occurrence,
		.step = pos->step,
	};
}

/* place_pass_begin, place_pass_end - start a pass, and free what it holds */
void place_pass_begin(struct pass *pass, const struct place *place);
void place_pass_end(struct pass *pass);

/* place_use_room - count a task of the step as placed on the worker */
void place_use_room(struct worker *worker, const struct job_step *step);

/* place_fits - whether the worker has room for a task of the step */
bool place_fits(const struct worker *worker, const struct job_step *step);

/* place_is_startable - whether the task waits, and may be placed now */
bool place_is_startable(const struct place *place, const struct job_task *task);

/* place_may_hold - whether the candidate's constraints allow the worker */
bool place_may_hold(const struct candidate *cand, const struct worker *worker);

/* place_usable_if_leaving - place_usable, but for a host that leaves */
bool place_usable_if_leaving(const struct place *place,
			     const struct worker *worker);

/* place_may_reserve - whether so many more workers may be kept from others */
bool place_may_reserve(const struct pass *pass, guint more);

/* place_will_fit - whether count tasks fit once those that end have ended */
bool place_will_fit(const struct worker *worker, const struct job_step *step,
		    int32_t count);

/*
 * place_leaving_worker - a worker that leaves, for a task without room elsewhere
 *
 * Its host may be kept by tasks whose budget the waiting task uses up. Only for
 * a long-running task that has waited for a while.
 *
 * RETURN VALUE
 *	A worker that has other tasks or may have lost the task's run, so that
 *	this keeps no host that was emptied from leaving; NULL: none has room.
 */
struct worker *place_leaving_worker(const struct place *place,
				    const struct candidate *cand,
				    const struct job_task *task);

/*
 * place_reserved_worker - the worker kept for a task, if it is of use still
 *
 * A reservation ends after a while, so that another worker is chosen if that
 * one has no room by then.
 */
struct worker *place_reserved_worker(const struct place *place,
				     const struct job_task *task);

/*
 * place_keep_room - keep other tasks off a worker for a long-running one
 *
 * Otherwise smaller tasks could take what comes free for as long as they come.
 * Only for a task that has waited. It is the worker that will have room first,
 * and stays the same until the task is placed or the reservation has ended.
 */
void place_keep_room(struct pass *pass, const struct candidate *cand,
		     struct job_task *task);

/* place_kept_worker - the worker kept for the task, if it has room now */
struct worker *place_kept_worker(const struct place *place,
				 const struct candidate *cand,
				 const struct job_task *task);

/* place_account_kept - mark the workers kept for the job's long-running tasks */
void place_account_kept(const struct place *place, struct job *job);

/*
 * place_account_quarantine - mark the workers that are reserved
 *
 * For tasks in quarantine, and for those that wait for their worker to be
 * ready; see crash.h. job is one of the share.
 */
void place_account_quarantine(const struct place *place, struct job *job);

/*
 * place_find_quarantine - the worker that a suspect can reserve now
 *
 * RETURN VALUE
 *	The worker, which may not have room yet; NULL if there is none.
 */
struct worker *place_find_quarantine(const struct pass *pass,
				     const struct candidate *cand);

/*
 * place_in_quarantine - place a task that has to be started in quarantine
 *
 * Reserves a worker first, to which no other task is sent from then on, and
 * waits until all its tasks have been at work for a while. If there is none to
 * reserve, one that leaves will do once it is ready, see place_leaving_worker.
 *
 * RETURN VALUE
 *	Whether the task was placed.
 */
bool place_in_quarantine(struct pass *pass, const struct candidate *cand,
			 struct job_task *task);

/*
 * place_gang_in_quarantine - the same for all tasks of a gang
 *
 * RETURN VALUE
 *	How many were placed: all or none.
 */
uint32_t place_gang_in_quarantine(struct pass *pass,
				  const struct candidate *cand);

/*
 * Reservations for large finite tasks; see reserve.h. Without effect if the
 * feature is off.
 *
 * place_reserve_begin, place_reserve_end - mark what is reserved, for one pass;
 *	then make a new reservation, if one was asked for
 * place_reserve_owns - whether there is one for the candidate
 * place_reserve_allows - whether reservations leave the worker to the candidate
 * place_reserve_note_held - note that only they kept a worker from it
 * place_reserve_holds_off - whether that is known of one that asks for no more
 * place_reserve_placed - note a task that is placed there, before it is
 * place_reserve_over_limit - give up those of a step that has reached a limit
 * place_reserve_waits - note a task that no worker has room for; waiting_before
 *	of its step were noted before it in this pass
 */
void place_reserve_begin(struct pass *pass);
void place_reserve_end(struct pass *pass);
bool place_reserve_owns(const struct pass *pass, const struct candidate *cand);
bool place_reserve_allows(const struct pass *pass, struct candidate *cand,
			  const struct worker *worker);
void place_reserve_note_held(struct pass *pass, struct candidate *cand);
bool place_reserve_holds_off(struct pass *pass, struct candidate *cand);
void place_reserve_placed(struct pass *pass, struct candidate *cand,
			  const struct job_task *task,
			  const struct worker *worker);
void place_reserve_over_limit(struct pass *pass, const struct candidate *cand);
void place_reserve_waits(struct pass *pass, const struct candidate *cand,
			 struct job_task *task, uint32_t waiting_before);

/* place_compare_candidates - which of two is placed first, as GCompareFunc */
gint place_compare_candidates(gconstpointer a, gconstpointer b);

/*
 * place_rank_tenants - note which candidates come after those of other
 * organisations; see fair.h
 */
void place_rank_tenants(const struct place *place, GArray *candidates);

#endif
