/*
 * NAME
 *	pool_int - internals shared by the files of module pool
 */
#ifndef POOL_INT_H
#define POOL_INT_H

#include "bound.h"
#include "place.h"
#include "pool.h"
#include "ownership.h"
#include "quota_use.h"
#include "reserve.h"

enum {
	/* A worker whose last report is older gets no start and no lease
	   extension. */
	POOL_MAX_REPORT_AGE_MS = 2500
};

/* Smoothed share of lost answers, of all workers that a node owns. */
#define POOL_LOSSY_SHARE 0.1

struct pool {
	struct pool_env *env;
	char name[LIMIT_NAME_BYTES];
	struct share share;
	struct ownership ownership;
	double typical_rate;   /* last known of the workers; 0: none yet */
	int32_t starting;      /* start orders in flight */
	int32_t pacing;	       /* orders in flight that change a task's pace */
	int64_t next_scan_ms;  /* next search for expired and unindexed jobs */
	struct bound bound;    /* workers whose leases are not extended */
	int64_t next_flush_ms; /* next time at which all changes are stored */
	int64_t next_bound_ms; /* next look at which those are */
	int64_t next_waits_ms; /* next look at the finite tasks that wait */
	int64_t next_publish_ms;  /* next record of the share's load */
	struct backlog published; /* the last one */
	int64_t republish_ms;	  /* next one if the load does not change */
	bool stream_outdated;	  /* the jobs read are too old; logged once */
	bool membership_over;	  /* it has run out; logged once */
	/* Jobs with a record that the log has refused: no end is acknowledged. */
	uint32_t refused_jobs;
	GHashTable *pending_writes;	/* callback arguments of the writer */
	struct pool_unplaced *unplaced; /* see pool_unplaced.c */
	GArray *stored;		 /* struct stored_record, in stream order */
	guint stored_reading;	 /* of them stored before the read began */
	bool reading;		 /* a read of the stream's end is in flight */
	bool read_wanted;	 /* by starts that are due */
	int64_t read_ms;	 /* end of the last one that was answered */
	bool registry_outdated;	 /* so that no start is sent; logged */
	int64_t next_read_ms;	 /* not before, after one that failed */
	struct quota_use *quota; /* what the share uses of limits */
	char *quota_key;	 /* "POOL/INDEX" */
	int64_t quota_told_ms;	 /* when its last record was made */
	struct estimate *estimates; /* what tasks of queues really take */
	struct reserve reserve;	    /* room for large tasks */
};

static inline int64_t pool_now_ms(const struct pool *pool)
{
	return clk_now_ms(pool->env->clk);
}

/*
 * pool_loses_answers - whether so many answers of workers get lost that orders are
 *	repeated sooner and renewals wait less
 *
 * One lost answer alone is no reason; two in a row are, or each third one.
 */
static inline bool pool_loses_answers(const struct pool_env *env)
{
	return env->renew_rtt.lost > POOL_LOSSY_SHARE;
}

/*
 * pool_may_send_orders - whether starts and stops may still be sent under this
 *	fence
 *
 * Each start gives a full lease.
 */
bool pool_may_send_orders(const struct pool *pool);

/* pool_find_planned - worker of the share that a plan ends; NULL: not in it */
struct worker *pool_find_planned(const struct pool *pool,
				 const struct host_plan *plan);

/*
 * pool_grantable_ms - longest lease that may be given at now_ms; 0: none
 *
 * Leases end at the latest a full one after the last time at which orders may be
 * sent, so that renewals go on for that time, with shorter and shorter leases.
 */
int64_t pool_grantable_ms(const struct pool *pool, int64_t now_ms);

/* pool_write_init, pool_write_clear - make or forget the records in flight */
void pool_write_init(struct pool *pool);
void pool_write_clear(struct pool *pool);

/*
 * pool_write_dirty - store changed jobs, then the workers' cursors
 *
 * A cursor acknowledges ended runs, so the records with these ends are written
 * first.
 */
void pool_write_dirty(struct pool *pool);

/* pool_delete_expired_jobs - delete the records of jobs that ended long ago */
void pool_delete_expired_jobs(struct pool *pool, int64_t now_ms);

/* pool_delete_expired_cancels - the same for cancels whose job has not come */
void pool_delete_expired_cancels(struct pool *pool, int64_t now_ms);

/*
 * pool_hold_retry - keep a task from being placed again for some time
 *
 * For first_ms, doubled with each failure in a row after the first, at most for
 * max_ms. times is the number of them; why names them in the log.
 */
void pool_hold_retry(struct pool *pool, struct job_pos *pos, int32_t times,
		     int64_t first_ms, int64_t max_ms, const char *why);

/* pool_end_run - record the end of a run and count it */
void pool_end_run(struct pool *pool, struct job_pos *pos, enum job_end how,
		  const char *checkpoint);

/* pool_renew - renew leases that are due */
void pool_renew(struct pool *pool);

/* pool_heard_ms - when the worker was last known to be of the same life */
int64_t pool_heard_ms(const struct worker *worker);

/*
 * pool_may_extend - whether an order sent now may extend the worker's lease
 *
 * Not if it may have started again, or was not heard of for too long.
 */
bool pool_may_extend(const struct pool *pool, const struct worker *worker,
		     int64_t now_ms);

/*
 * pool_grant_lease - note the longest lease that may be given at now_ms
 *
 * RETURN VALUE
 *	Its end by the worker's clock.
 */
int64_t pool_grant_lease(const struct pool *pool, struct worker *worker,
			 int64_t now_ms);

/* pool_send_starts - send start orders for stored placements */
void pool_send_starts(struct pool *pool, struct job *job);

/*
 * pool_may_send_stop - whether the worker may get another stop order now
 *
 * Orders in flight are bounded; see struct pool_flight.
 */
bool pool_may_send_stop(const struct pool *pool, const struct worker *worker);

/* pool_send_stop - order a worker to stop a run, if it may get the order now */
void pool_send_stop(struct pool *pool, struct worker *worker, const char *task,
		    int32_t run);

/*
 * pool_stop_task - stop the newest run of a placed task
 *
 * The order goes out when the worker may get it, and again until it is answered.
 * The task is placed again once the worker has confirmed that the run ended.
 */
void pool_stop_task(struct pool *pool, struct job_pos *pos);

/* pool_resend_stops - resend stop orders that got no answer */
void pool_resend_stops(struct pool *pool);

/*
 * pool_handle_report - process a worker's report
 *
 * asked_ms is when the report was requested.
 */
void pool_handle_report(struct pool *pool, struct worker *worker,
			const struct worker_report *report, int64_t asked_ms);

/*
 * pool_move_off_leaving - stop long-running tasks on workers that leave
 *
 * As far as their availability budget allows, and once another worker has room,
 * which is kept for them. place_account must have been called for place.
 */
void pool_move_off_leaving(struct pool *pool, const struct place *place);

/* pool_drain_workers - note which hosts to be restarted or moved are drained */
void pool_drain_workers(struct pool *pool);

/*
 * pool_move_off_slow - detect slow workers and move their tasks away
 *
 * place_account must have been called for place.
 */
void pool_move_off_slow(struct pool *pool, const struct place *place);

/*
 * pool_note_away - log which tasks are not at work, and since when
 *
 * One line when a long-running task has been away for a while, with the room that
 * there is for it, and one when it is at work again. At most one line a second for
 * finite tasks that wait though the pool is not full, with the one that has waited
 * longest. place is that of the last pass.
 */
void pool_note_away(struct pool *pool, const struct place *place);

/*
 * pool_note_dead_workers - count crashes that the host list shows
 *
 * Tasks that crash their workers are given up, see crash.h. Called before the
 * runs of dead workers end.
 */
void pool_note_dead_workers(struct pool *pool);

/*
 * pool_note_restart - count the crash of a worker that has started again
 *
 * Called after its report has been read into the tasks and before the runs that
 * it does not list end. Start orders without an answer are withdrawn.
 */
void pool_note_restart(struct pool *pool, struct worker *worker);

/*
 * pool_settle_lapses - find out what became of runs that lapsed at a worker
 *
 * Called with each report. A lapse is a crash if the worker has started again
 * since, and counts no more if it has not.
 */
void pool_settle_lapses(struct pool *pool, struct worker *worker);

/*
 * pool_note_lost_run - count a crash that is found out at the end of a lease
 *
 * A worker that is only out of reach does not count as crashed.
 */
void pool_note_lost_run(struct pool *pool, struct job_pos *pos);

/*
 * pool_lease_end_ms - upper bound of the end of a worker's lease
 *
 * Of a worker whose lease no owner extends any more, the end that an owner has
 * stored. Of others, until the worker has accepted this owner's fence, an earlier owner may have
 * extended the lease: until its authority ended, and for some time more if it
 * could not reach the log. This also holds for a worker that the registry does
 * not list yet.
 */
int64_t pool_lease_end_ms(const struct pool *pool, const char *worker);

/*
 * pool_pace_report - decide by a report how fast the worker's tasks that fill may work,
 *	see pace.h, and order it
 * pool_move_off_paced - stop tasks that have stood still for long, if another worker has
 *	room for them
 */
void pool_pace_report(struct pool *pool, struct worker *worker);
void pool_move_off_paced(struct pool *pool, const struct place *place);

/*
 * pool_withdraw_start - withdraw the start of a placed task, or stop its run
 *
 * Because its worker's capacity has shrunk, or its organisation's limit was lowered.
 * The tasks of a gang run together or not at all.
 */
void pool_withdraw_start(struct pool *pool, const struct job_pos *pos);

/*
 * Limits of organisations, see quota.h.
 *
 * pool_quota_init, pool_quota_clear - make or free what is known of them
 * pool_quota_acquired - begin a tenure
 * pool_quota_begin - count what is placed; NULL: there are no limits
 * pool_quota_withdraw - withdraw placements that no order exists for yet, as far as a limit
 *	that was lowered since the last pass has no room for them
 * pool_quota_store - store what the share uses, if others are to know
 */
void pool_quota_init(struct pool *pool);
void pool_quota_clear(struct pool *pool);
void pool_quota_acquired(struct pool *pool);
struct quota_use *pool_quota_begin(struct pool *pool);
void pool_quota_withdraw(struct pool *pool);
void pool_quota_store(struct pool *pool);

/*
 * Unplaced runs: those of ended jobs, and others that workers list though the
 * task is not placed there. They are stopped, and use room until their end is
 * known. Not stored; a new owner learns of them from the workers' reports.
 *
 * pool_unplaced_init, pool_unplaced_clear - begin with none; forget them all
 * pool_unplaced_free - free their memory
 * pool_unplaced_count - number of them
 * pool_unplaced_add_job - add the placed tasks of a job that ends
 * pool_unplaced_inherit - add, to none, those of jobs that have ended under an earlier owner
 * pool_unplaced_listed - add a run that the worker's report lists; whether none has
 *	listed it before
 * pool_unplaced_ended - drop a run whose end the worker's report lists
 * pool_unplaced_reported - drop those that a report asked for at asked_ms would
 *	list
 * pool_unplaced_stopped - note that the worker has confirmed a stop order
 * pool_unplaced_account - add what they use, after place_account, also of limits
 *	unless quota is NULL; keep their tasks from being placed while a worker
 *	lists a run of before
 * pool_unplaced_stop - order stops that are due; drop runs whose lease is over
 * pool_unplaced_stop_at - order stops that are due at the worker, as it may get more
 */
void pool_unplaced_init(struct pool *pool);
void pool_unplaced_clear(struct pool *pool);
void pool_unplaced_free(struct pool *pool);
uint32_t pool_unplaced_count(const struct pool *pool);
void pool_unplaced_add_job(struct pool *pool, struct job *job);
void pool_unplaced_inherit(struct pool *pool);
bool pool_unplaced_listed(struct pool *pool, const struct worker *worker,
			  const struct worker_run *run);
void pool_unplaced_ended(struct pool *pool, const struct worker *worker,
			 const struct worker_end *end);
void pool_unplaced_reported(struct pool *pool, const struct worker *worker,
			    int64_t asked_ms);
void pool_unplaced_stopped(struct pool *pool, const char *worker,
			   const char *task, int32_t run);
void pool_unplaced_account(struct pool *pool, struct quota_use *quota);
void pool_unplaced_stop(struct pool *pool);
void pool_unplaced_stop_at(struct pool *pool, struct worker *worker);

/*
 * Stored placements whose start orders wait until the jobs' stream has been
 * read as it was when their append was answered. Callers may have been told of
 * what others stored before, such as a cancel.
 *
 * pool_stored_init, pool_stored_clear - begin with none; forget them all
 * pool_stored_add - add the placements of a job's record number at offset
 * pool_stored_read - read on while some wait; called on every tick
 * pool_may_start - whether such a read, and that of the registry, are recent enough
 *	to send a start; if the former is not, one is made
 */
void pool_stored_init(struct pool *pool);
void pool_stored_clear(struct pool *pool);
void pool_stored_add(struct pool *pool, struct job *job, uint32_t number,
		     int64_t offset);
void pool_stored_read(struct pool *pool);
bool pool_may_start(struct pool *pool);

/* pool_writer - appends to the share's stream under the fence */
static inline struct writer *pool_writer(const struct pool *pool)
{
	return ownership_writer(&pool->ownership, 0);
}

/*
 * pool_publish_state - publish a job's state as stored, if it is a new one
 *
 * For the nodes that do not read the share's jobs; see index.h.
 */
void pool_publish_state(struct pool *pool, struct job *job);

/* pool_publish_missing - publish the states that an earlier owner did not */
void pool_publish_missing(struct pool *pool);

/*
 * pool_publish_unindexed - publish jobs that the index still does not have
 *
 * The node that stored a job may stop before it publishes the acceptance. To be
 * called about once a second: a job is published when it is missing twice.
 */
void pool_publish_unindexed(struct pool *pool);

/* pool_publish_load - publish the share's load when it is due; see backlog.h */
void pool_publish_load(struct pool *pool, const struct place *place);

/*
 * pool_bound_leases - store which workers' leases are not extended any more
 *
 * Those of placed tasks that this owner cannot reach, until it can: a run there
 * ends with its lease, however often the pool changes its owner meanwhile.
 */
void pool_bound_leases(struct pool *pool);

/* pool_end_lost - end the runs whose lease has expired or worker is dead */
void pool_end_lost(struct pool *pool);

#endif
