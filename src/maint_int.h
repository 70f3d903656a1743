/*
 * NAME
 *	maint_int - shared by the files of module hosts
 */
#ifndef MAINT_INT_H
#define MAINT_INT_H

#include "maint.h"
#include "sizing.h"

struct known_host {
	struct host host;
	uint32_t round; /* of the list that named it last */
	bool ordering;	/* an order is under way */
	/* In the decision under way. */
	bool free; /* may be moved */
	bool idle; /* no task is placed there */
	int32_t load_milli;
	int64_t order_due_ms;
	int64_t ordered_ms; /* when the last order was carried out */
};

struct wave {
	struct host_wave ordered;
	bool told_running; /* operators can read so */
	bool told_done;
};

struct maint {
	struct maint_env *env;
	struct ownership tenure;
	GHashTable *known; /* name -> struct known_host */
	GPtrArray *waves;
	GArray *lend_pools;	/* struct sizing_pool */
	int64_t quiet_until_ms; /* hosts ordered just before the takeover wait */
	int64_t plans;		/* number of the last one made */
	struct writer *status;	/* NULL: not needed yet */
	bool listing;
	bool list_failing;
	uint32_t round;
	int64_t list_due_ms;
	int64_t listed_ms; /* 0: not listed under this tenure */
	int64_t decide_ms;
};

struct known_host *maint_find(const struct maint *hosts, const char *name);

/*
 * maint_settled - whether a host's present life is known and none of its
 * orders is open
 */
bool maint_settled(const struct maint *hosts, const struct known_host *known,
		   bool standby);

/* maint_plan - make a plan, give it a number and store it */
struct host_plan *maint_plan(struct maint *hosts, const struct host_plan *plan);

/* maint_store - write a plan as it stands in memory */
void maint_store(struct maint *hosts, const struct host_plan *plan);

/* wave_decide - ask for hosts whose restart may be prepared */
void wave_decide(struct maint *hosts);

/* wave_may_begin - whether one more host of the wave may go down */
bool wave_may_begin(const struct maint *hosts, int64_t number);

/* sizing_decide - move hosts to the pools that want them */
void sizing_decide(struct maint *hosts);

#endif
