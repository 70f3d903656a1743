/*
 * NAME
 *	pool - a pool as the node that owns it runs it
 *
 * One node owns a pool at a time. The owner's fence is the generation of the
 * group in which it was given the pool. It first appends under that epoch,
 * after which no earlier owner can append; then it reads the stream up to
 * there and knows every task that may run anywhere. A placement is stored
 * before its worker is told of it, so that the next owner knows it too.
 */
#ifndef POOL_H
#define POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "clk.h"
#include "histo.h"
#include "host_plan.h"
#include "job.h"
#include "order.h"
#include "stream.h"
#include "tail.h"
#include "worker.h"

struct pool;

struct pool_counts {
	int64_t starts_sent;
	int64_t starts_refused;
	int64_t renewals;
	int64_t renewals_failed;
	int64_t runs_done;
	int64_t runs_failed;
	int64_t runs_lost;
	int64_t takeovers;
};

struct pool_env {
	const struct clk *clk;
	const struct stream_io *stream;
	struct stream_id id;
	const struct order_io *orders;
	struct job_store *jobs;
	struct worker_table *workers;
	struct host_plans *plans;
	struct tail *tail;	      /* of the jobs' stream */
	const struct cfg *const *cfg; /* the one in force */
	int64_t keep_ms;	      /* ended jobs can be asked for */
	int64_t lease_ms;	      /* given to workers */
	/* How long an owner that lost touch with the log keeps leases alive. */
	int64_t cut_off_ms;
	struct pool_counts counts;
	struct histo wait_ms;  /* from a hand-in to its first placement */
	struct histo age_ms;   /* from a hand-in to its end */
	struct histo start_ms; /* from a start order to its answer */
};

struct pool *pool_create(struct pool_env *env, const char *name);
void pool_destroy(struct pool *pool);
const char *pool_name(const struct pool *pool);

/*
 * pool_own - the group says that this node owns the pool
 *
 * authority_end_ms tells when another node may have been given the pool.
 */
void pool_own(struct pool *pool, int32_t part, int64_t generation,
	      int64_t authority_end_ms);

/* pool_disown - another node may own the pool now */
void pool_disown(struct pool *pool);

/* pool_owned - whether the node has taken the pool over */
bool pool_owned(const struct pool *pool);

/* pool_tick - take the decisions that are due and send what follows */
void pool_tick(struct pool *pool);

#endif
