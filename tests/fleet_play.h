/*
 * Random fault injection for a simulated fleet of complete nodes. A seed
 * determines the whole run. A guard that the nodes rely on can be disabled, to
 * show that the checks detect the violation.
 */
#ifndef FLEET_PLAY_H
#define FLEET_PLAY_H

#include <stdint.h>

#include "fleet_sim.h"

enum fleet_guard {
	FLEET_ALL_GUARDS,
	FLEET_NO_EPOCHS,      /* the log accepts appends of a former owner */
	FLEET_NO_FENCES,      /* workers accept orders of a former owner */
	FLEET_NO_LEASES,      /* runs continue after their lease expires */
	FLEET_NO_RUN_NUMBERS, /* a stopped or ended run may be started again */
	FLEET_SLOW_CLOCKS,    /* workers' clocks are slower than tolerated */
	FLEET_GUARD_COUNT
};

struct fleet_play {
	enum fleet_guard disabled; /* input: the guard to disable */
	bool deadly; /* input: some jobs have a task that crashes workers */
	/* Input: workers that do not guard their capacity, which changes. */
	bool shrinking;
	/*
	 * Input: whole data centres are cut off, all parts are reassigned at
	 * once, and tasks last for seconds or until they are stopped.
	 */
	bool cuts;
	/* Input: half of the runs fail, and tasks have few attempts. */
	bool failing;
	/* Input: what all jobs have running has a limit; tasks last for seconds. */
	bool limited;
	bool limit_hidden; /* input: with limited, the nodes know of no limit */
	char broken[256];  /* first violated invariant; empty: none */
	uint64_t started;  /* runs; each call adds to it */
};

/*
 * fleet_play - run the simulation of a seed
 *
 * Injects faults for a while, lifts them all, and checks that the accepted jobs
 * reach the right end.
 */
void fleet_play(uint64_t seed, struct fleet_play *play);

/* fleet_limit_attempts - with play->failing, let runs fail and limit attempts */
void fleet_limit_attempts(struct sim *sim, const struct fleet_play *play);

/*
 * fleet_check_ends - check the final states of all accepted jobs
 *
 * A job must be done, or cancelled if its cancel was acknowledged; after an
 * unacknowledged cancel any final state is right. A job with a task that
 * crashes workers must have failed instead, and one may have failed of which a task
 * has used up its attempts. The first violation is written to
 * play->broken.
 */
void fleet_check_ends(struct sim *sim, struct fleet_play *play);

/* fleet_inject_fault - inject or lift one random fault */
void fleet_inject_fault(struct sim *sim);

/* fleet_lift_faults - lift all faults; nodes and workers run again */
void fleet_lift_faults(struct sim *sim);

/* fleet_disable_guard - play on without the guard */
void fleet_disable_guard(struct sim *sim, enum fleet_guard guard);

/* fleet_pick_node - a random node that is alive and not paused; -1: none */
int fleet_pick_node(struct sim *sim);

/* fleet_owner - index of the node that owns the pool; -1: none */
int fleet_owner(struct sim *sim);

#endif
