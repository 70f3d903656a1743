/*
 * NAME
 *	hosts - the holder of the hosts: waves of restarts, moves between pools
 *
 * One node holds all hosts at a time; see tenure and host_plan.
 */
#ifndef HOSTS_H
#define HOSTS_H

#include "cfg.h"
#include "host.h"
#include "host_plan.h"
#include "job.h"
#include "ownership.h"
#include "worker.h"

struct hosts;

struct hosts_counts {
	int64_t restarts_ordered;
	int64_t moves_ordered;
	int64_t orders_refused;
	int64_t waves_done;
};

struct hosts_env {
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
	struct hosts_counts counts;
};

struct hosts *hosts_create(struct hosts_env *env);
void hosts_destroy(struct hosts *hosts);

void hosts_own(struct hosts *hosts, int32_t part, int64_t generation,
	       int64_t authority_end_ms);
void hosts_disown(struct hosts *hosts);

/* hosts_held - whether this node has taken the hosts over */
bool hosts_held(const struct hosts *hosts);

/* hosts_add_wave - an operator has ordered a wave, or changed it; it is taken */
void hosts_add_wave(struct hosts *hosts, struct host_wave *wave);

void hosts_tick(struct hosts *hosts);

#endif
