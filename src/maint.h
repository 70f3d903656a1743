/*
 * NAME
 *	maint - the holder of the hosts: waves of restarts, moves between pools
 *
 * One node holds all hosts at a time; see tenure and host_plan.
 */
#ifndef MAINT_H
#define MAINT_H

#include "cfg.h"
#include "host.h"
#include "host_plan.h"
#include "job.h"
#include "ownership.h"
#include "worker.h"

struct maint;

struct maint_counts {
	int64_t restarts_ordered;
	int64_t moves_ordered;
	int64_t orders_refused;
	int64_t waves_done;
};

struct maint_env {
	const struct clk *clk;
	const struct stream_io *stream;
	struct stream_id id; /* of the jobs' stream, which keeps the plans */
	struct stream_id status;   /* where operators read how waves stand */
	const char *status_prefix; /* of a wave's key there */
	const struct host_io *io;
	const char *holder; /* name of this node */
	struct job_store *jobs;
	struct worker_table *workers;
	struct host_plans *plans;
	struct tail *tail;
	const struct cfg *const *cfg;
	int64_t order_lease_ms; /* between orders of two holders */
	struct maint_counts counts;
};

struct maint *maint_create(struct maint_env *env);
void maint_destroy(struct maint *hosts);

void maint_own(struct maint *hosts, int32_t part, int64_t generation,
	       int64_t authority_end_ms);
void maint_disown(struct maint *hosts);

/* maint_held - whether this node has taken the hosts over */
bool maint_held(const struct maint *hosts);

/* maint_add_wave - an operator has ordered a wave, or changed it; it is taken */
void maint_add_wave(struct maint *hosts, struct host_wave *wave);

void maint_tick(struct maint *hosts);

#endif
