/*
 * NAME
 *	maint_int - internal interface of the maintenance source files
 */
#ifndef MAINT_INT_H
#define MAINT_INT_H

#include "bound.h"
#include "maint.h"
#include "quota_plan.h"
#include "share.h"
#include "sizing.h"

struct known_host {
	struct host host;
	uint32_t list_round; /* last list that has the host */
	bool ordering;	     /* an order is in progress */
	/* Set in each sizing decision. */
	const char *pool; /* in which it is, or will be by an open move */
	bool movable;
	bool open_move; /* a move that no order can have been sent for */
	bool idle;	/* no task is placed there */
	int32_t load_milli;
	int64_t order_due_ms;
	int64_t sent_ms;     /* when the last order was sent */
	int64_t ordered_ms;  /* when the last order was confirmed */
	int64_t order_fence; /* of the last tenure that was to order it */
	bool unanswered; /* an order for its plan may still be carried out */
	/* Until when a restart that got no answer may still be carried out. */
	int64_t late_restart_ms;
};

/* Tasks placed at a worker. */
struct load {
	int64_t cpu_milli;
	int64_t mem_mib;
	bool has_tasks;
	bool long_running; /* some tasks run until they are cancelled */
};

/* Hosts of a pool, and those that are not up or have an open plan. */
struct pool_size {
	char name[LIMIT_NAME_BYTES];
	int32_t hosts;
	int32_t unavailable;
};

struct wave {
	struct host_wave order;
	int64_t received_ms;	/* 0: its age is not known */
	bool running_published; /* the state was published */
	bool done_published;
};

struct maint {
	struct maint_env *env;
	struct ownership ownership;
	GHashTable *known_hosts; /* name -> struct known_host */
	GPtrArray *waves;
	/* Of each slice of the fleet (see share.h), its part of every pool. */
	GArray *slices[SHARE_MAX_COUNT]; /* struct sizing_pool */
	GHashTable *loads;		 /* worker -> struct load */
	GArray *pool_sizes;		 /* struct pool_size */
	struct bound bound;		 /* hosts to which no order is given */
	bool has_ordered;		 /* or is to order, in this tenure */
	bool handing_over;	/* orders no more; its successor is to know */
	int64_t earlier_end_ms; /* no earlier owner sends an order from then on */
	/* No order for a plan up to this number is recent from then on. */
	int64_t settled_plan;
	int64_t settled_end_ms;
	int64_t settled_due_ms;	      /* not looked for before */
	int64_t last_plan;	      /* number of the last plan */
	struct writer *status_writer; /* NULL: not needed yet */
	bool listing;		      /* a list request is in progress */
	bool list_failing;
	uint32_t list_round; /* number of the last list */
	int64_t list_due_ms;
	int64_t listed_ms;     /* 0: no complete list in this tenure */
	int64_t list_sent_ms;  /* when the last list was requested */
	int64_t list_asked_ms; /* when the last complete one was */
	int64_t decide_due_ms;
	struct quota_plan *quota_plan;
	GHashTable *quota_written; /* share -> number of the last grants */
};

/*
 * Limits of organisations, divided among the shares; see quota_plan.h.
 *
 * maint_quota_init, maint_quota_clear - make or free what is known of them
 * maint_quota_acquired - begin a tenure
 * maint_decide_quotas - decide which grants to change, and store them
 */
void maint_quota_init(struct maint *maint);
void maint_quota_clear(struct maint *maint);
void maint_quota_acquired(struct maint *maint);
void maint_decide_quotas(struct maint *maint, int64_t now_ms);

/*
 * Orders of earlier owners, see bound.h: until its first order an owner has
 * stored that it has given none, and likewise for each host that an earlier
 * owner has planned to order. It also stores up to which number plans are settled:
 * orders for them are older than order_lease_ms. A node that starts could not tell,
 * as it reads the plans of all hosts at the same time.
 *
 * maint_bound_init - begin without bounds
 * maint_bound_acquired - read those that an earlier owner has stored
 * maint_bound_orders - store them; called on every tick
 * maint_earlier_orders_end_ms - until when an order of an earlier owner for the
 *	plan's host may be recent
 * maint_prepare_order - begin to order a host, now that an order is due; whether
 *	it may be sent. If not, that it is ordered is being stored first
 */
void maint_bound_init(struct maint *maint);
void maint_bound_acquired(struct maint *maint);
void maint_bound_orders(struct maint *maint);
int64_t maint_earlier_orders_end_ms(const struct maint *maint,
				    const struct host_plan *plan);
bool maint_prepare_order(struct maint *maint, struct known_host *known);

struct known_host *maint_find_host(const struct maint *maint, const char *name);

/*
 * maint_host_settled - whether a host is up, its worker's incarnation is known,
 * and no plan or order for it is open
 *
 * standby: the host is in a standby pool, where no worker runs.
 */
bool maint_host_settled(const struct maint *maint,
			const struct known_host *known, bool standby);

/* maint_add_plan - add a plan with the next number and store it */
struct host_plan *maint_add_plan(struct maint *maint,
				 const struct host_plan *plan);

/*
 * maint_end_plan - end a plan whose host stays as it is, so that it gets tasks
 *
 * No order may be under way, or the order has not ended the host's worker.
 */
void maint_end_plan(struct maint *maint, struct host_plan *plan);

/* maint_store_plan - append the record of a plan */
void maint_store_plan(struct maint *maint, const struct host_plan *plan);

/*
 * maint_survey - add up hosts, demand and loads, once before each decision
 *
 * What is decided afterwards is added to the pools' sizes by maint_add_plan's
 * callers.
 */
void maint_survey(struct maint *maint);

/* maint_load - tasks placed at a worker, as of the last survey */
const struct load *maint_load(const struct maint *maint, const char *worker);

/* maint_pool_size - hosts of a pool as of the last survey; NULL: none */
struct pool_size *maint_pool_size(const struct maint *maint, const char *pool);

/* maint_decide_waves - request drains for the next restarts of all waves */
void maint_decide_waves(struct maint *maint);

/*
 * maint_wave_limit - hosts to drain or restart at once, at most most
 *
 * As many as are needed to restart left_hosts in left_ms; most if that time is
 * too short for one host.
 */
int32_t maint_wave_limit(int64_t left_hosts, int64_t left_ms, int32_t most);

/*
 * maint_may_restart - whether the host may go down for a wave, besides the others
 *
 * One whose restart was ordered without an answer counts as down, but for itself.
 */
bool maint_may_restart(const struct maint *maint, int64_t number,
		       const char *host);

/* maint_decide_sizing - plan moves of hosts to pools with higher demand */
void maint_decide_sizing(struct maint *maint);

#endif
