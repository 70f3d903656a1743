/*
 * NAME
 *	pool - runs the tasks of a pool on the node that owns it
 *
 * One node owns a pool at a time. Its fencing token derives from the group
 * generation in which the pool was assigned to it. It first appends under
 * that token as epoch, after which no earlier owner can append; then it reads
 * the stream up to that append and so knows every task that may be running. A
 * placement is stored before the order is sent to the worker, so that the
 * next owner knows of it too; and the stream is read to its end in between, as
 * another node may have accepted a cancel.
 */
#ifndef POOL_H
#define POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "bound.h"
#include "cfg.h"
#include "clk.h"
#include "histo.h"
#include "host_plan.h"
#include "index.h"
#include "job.h"
#include "lag.h"
#include "order.h"
#include "ownership.h"
#include "quota.h"
#include "reserve.h"
#include "rtt.h"
#include "share.h"
#include "stream.h"
#include "tail.h"
#include "worker.h"

struct pool;

struct pool_counts {
	int64_t starts_sent;
	int64_t stops_sent;
	int64_t starts_refused;
	int64_t starts_withdrawn; /* before they were sent, or stopped */
	int64_t retries_held;	  /* of tasks, as attempts fail in a row */
	int64_t renewals;
	int64_t renewals_failed;
	int64_t renewals_repeated; /* as the answer of the one before is missed */
	int64_t answers_lost;	   /* of renewals whose repeat was answered */
	/* Of leases, while a report is being read. */
	int64_t leases_extended_alone;
	int64_t reports_cut_short; /* that may leave out ended runs */
	int64_t runs_done;
	int64_t runs_failed;
	int64_t runs_lost;
	int64_t takeovers;
	int64_t worker_crashes; /* with tasks on the worker */
	int64_t tasks_given_up; /* as they crash their workers */
	int64_t quota_reports;	/* records of what a share uses of limits */
	int64_t quota_blocked;	/* steps kept waiting by a limit, per pass */
	int64_t paces_sent;	/* orders that change the pace of a task */
	int64_t paces_changed;	/* decisions about a worker's tasks that fill */
	/* In reports of runs; no record could hold them. */
	int64_t checkpoints_left_out;
};

/*
 * Orders in flight, of all pools of the node. Each one takes some 30 KB until its
 * answer or its timeout (docs/CAPACITY.md).
 */
struct pool_flight {
	int32_t starts;
	int32_t stops;
	int32_t paces;
};

struct pool_env {
	const struct clk *clk;
	const struct stream_io *stream;
	const struct order_io *orders;
	struct job_store *jobs;
	struct worker_table *workers;
	struct host_plans *plans;
	const struct bound_table *bounds; /* as read from the log */
	struct index *index;		  /* states of jobs, as published */
	struct writer *publisher;	  /* of states and loads to the index */
	const struct quota_table *quotas; /* as read; NULL: no limits */
	const struct cfg *const *cfg;	  /* current configuration */
	/* Has the configuration: while what was read is older, no task of an
	   organisation with a limit is placed. NULL: not asked. */
	const struct tail *operators;
	int64_t max_cfg_age_ms;
	int64_t job_retention_ms; /* retention of ended jobs */
	size_t record_bytes;	  /* most that a record of the log may have */
	int64_t lease_ms;	  /* duration of workers' leases */
	int64_t lease_max_ms;	  /* longest that workers grant */
	int64_t membership_ms; /* how long a renewal of the membership holds */
	/* How long an owner whose membership has run out gives full leases. */
	int64_t disconnected_ms;
	/* No task is placed while the jobs read are older: a cancel may have been
	   accepted since. */
	int64_t max_stream_age_ms;
	/* Of the workers; no start is sent while what was read is older: a worker
	   may have said since that it drains. NULL: not asked. */
	const struct tail *registry;
	int64_t max_registry_age_ms;
	const struct lag *lag; /* of the node; NULL: never busy */
	bool reserve_room;     /* for large tasks that wait, see reserve.h */
	struct reserve_counts reserve_counts;
	/* Of answers to renewals, beyond the time that they wait, and to starts. */
	struct rtt renew_rtt;
	struct rtt start_rtt;
	int64_t lossy_logged_ms; /* when it was last logged that answers get lost */
	int64_t checkpoint_logged_ms; /* when it was last logged that one is left out */
	struct pool_flight flight; /* written by pool */
	struct pool_counts counts;
	struct histo wait_ms;  /* from submission to first placement */
	struct histo age_ms;   /* from submission to the end of the job */
	struct histo start_ms; /* from a start order to its answer */
};

/*
 * pool_create - a share of a pool; copies the name of the pool
 *
 * stream has the records of the share's jobs and hosts.
 */
struct pool *pool_create(struct pool_env *env, const struct share *share,
			 const struct ownership_stream *stream);
void pool_destroy(struct pool *pool);

/* pool_share - which part of which pool it is; valid as long as the pool */
const struct share *pool_share(const struct pool *pool);

/*
 * pool_assign - assign the pool to this node
 *
 * Called on every tick while the group assigns the pool to this node. From
 * authority_end_ms on, the group may have assigned it to another node.
 */
void pool_assign(struct pool *pool, int32_t part, int64_t generation,
		 int64_t authority_end_ms);

/* pool_revoke - stop acting for the pool; another node may own it now */
void pool_revoke(struct pool *pool);

/* pool_is_owned - whether the takeover of the pool is complete */
bool pool_is_owned(const struct pool *pool);

/* pool_count_unplaced - runs that are to be stopped, of ended jobs and others */
uint32_t pool_count_unplaced(const struct pool *pool);

/*
 * pool_check_published - publish a job's state again if a late record hides it
 *
 * Called by the owner after each record of the index; see index.h.
 */
void pool_check_published(struct pool *pool, struct job *job);

/* pool_tick - make the decisions that are due, store them, send orders */
void pool_tick(struct pool *pool);

#endif
