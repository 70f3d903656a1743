/*
 * NAME
 *	maint - maintenance of hosts: waves of restarts, and moves between pools
 *
 * One node owns all hosts at a time; see ownership.h and host_plan.h.
 */
#ifndef MAINT_H
#define MAINT_H

#include "bound.h"
#include "cfg.h"
#include "host.h"
#include "host_plan.h"
#include "job.h"
#include "ownership.h"
#include "quota.h"
#include "share.h"
#include "worker.h"

struct maint;

struct maint_counts {
	int64_t restarts_ordered;
	int64_t moves_ordered;
	int64_t orders_refused;
	int64_t waves_done;
	int64_t quota_grants; /* records of grants to shares */
};

struct maint_env {
	const struct clk *clk;
	const struct stream_io *stream;
	struct stream_id status;   /* where the states of waves are published */
	const char *status_prefix; /* of a wave's key there */
	const struct host_io *io;
	const char *node_name; /* name of this node */
	struct job_store *jobs;
	struct worker_table *workers;
	struct host_plans *plans;
	const struct cfg *const *cfg;
	const struct share_layout *layout; /* shares of each pool */
	const struct bound_table *bounds;  /* as read from the log */
	const struct quota_table *quotas;  /* likewise; NULL: no limits */
	int64_t order_lease_ms; /* minimum time between orders of two owners */
	int64_t membership_ms;	/* how long a renewal of the membership holds */
	struct maint_counts counts;
};

struct maint *maint_create(struct maint_env *env);
void maint_destroy(struct maint *maint);

/*
 * maint_set_streams - the streams that the owner of the hosts writes to
 *
 * Those of the jobs, by part, which have the plans of their hosts; ends a
 * tenure.
 */
void maint_set_streams(struct maint *maint,
		       const struct ownership_stream *streams, uint32_t count);

/* maint_assign - this node owns the hosts; orders stop at authority_end_ms */
void maint_assign(struct maint *maint, int32_t part, int64_t generation,
		  int64_t authority_end_ms);
void maint_revoke(struct maint *maint);

/*
 * maint_hand_over - order no more, and store that for the next owner
 *
 * Which hosts have been ordered recently is known here only; without that the next
 * owner waits before its first orders.
 *
 * maint_handed_over - whether that is stored, or this node does not own the hosts
 */
void maint_hand_over(struct maint *maint);
bool maint_handed_over(const struct maint *maint);

/* maint_is_owner - whether this node owns the hosts and has taken over */
bool maint_is_owner(const struct maint *maint);

/*
 * maint_add_wave - add or replace a wave; takes ownership of wave->hosts
 *
 * is_new: its record has just been written, so that its time begins now; of
 * other waves it is not known how much time is left.
 */
void maint_add_wave(struct maint *maint, struct host_wave *wave, bool is_new);

/*
 * maint_count_hosts - number of hosts, as far as the owner of the hosts knows
 *
 * RETURN VALUE
 *	False while neither the host list has answered nor the time has passed
 *	after which the registry's workers are counted instead.
 */
bool maint_count_hosts(const struct maint *maint, uint32_t *count);

/* maint_store - append to a stream under the fence of the owner of the hosts */
void maint_store(struct maint *maint, uint32_t stream, const char *key,
		 const char *value, size_t len);

void maint_tick(struct maint *maint);

#endif
