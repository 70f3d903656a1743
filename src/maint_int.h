/*
 * NAME
 *	maint_int - internal interface of the maintenance source files
 */
#ifndef MAINT_INT_H
#define MAINT_INT_H

#include "maint.h"
#include "sizing.h"

struct known_host {
	struct host host;
	uint32_t list_round; /* last list that has the host */
	bool ordering;	     /* an order is in progress */
	/* Set in each sizing decision. */
	bool movable;
	bool idle; /* no task is placed there */
	int32_t load_milli;
	int64_t order_due_ms;
	int64_t ordered_ms; /* when the last order was confirmed */
};

struct wave {
	struct host_wave order;
	bool running_published; /* the state was published */
	bool done_published;
};

struct maint {
	struct maint_env *env;
	struct ownership ownership;
	GHashTable *known_hosts; /* name -> struct known_host */
	GPtrArray *waves;
	GArray *sizing_pools; /* struct sizing_pool */
	/* Until then an earlier owner's order may still be recent. */
	int64_t earlier_orders_end_ms;
	int64_t last_plan;	      /* number of the last plan */
	struct writer *status_writer; /* NULL: not needed yet */
	bool listing;		      /* a list request is in progress */
	bool list_failing;
	uint32_t list_round; /* number of the last list */
	int64_t list_due_ms;
	int64_t listed_ms; /* 0: no complete list in this tenure */
	int64_t decide_due_ms;
};

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

/* maint_store_plan - append the record of a plan */
void maint_store_plan(struct maint *maint, const struct host_plan *plan);

/* maint_decide_waves - request drains for the next restarts of all waves */
void maint_decide_waves(struct maint *maint);

/* maint_may_restart - whether one more host of a wave may go down */
bool maint_may_restart(const struct maint *maint, int64_t number);

/* maint_decide_sizing - plan moves of hosts to pools with higher demand */
void maint_decide_sizing(struct maint *maint);

#endif
