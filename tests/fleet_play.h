/*
 * Random troubles of a simulated fleet of whole nodes: one seed is one play.
 * What the nodes rely on can be taken away, to see that the judges notice.
 */
#ifndef FLEET_PLAY_H
#define FLEET_PLAY_H

#include <stdint.h>

#include "fleet_sim.h"

enum fleet_support {
	FLEET_WHOLE,
	FLEET_NO_EPOCHS,   /* the log takes appends of a former owner */
	FLEET_NO_FENCES,   /* workers take orders of a former owner */
	FLEET_NO_LEASES,   /* runs go on without an owner */
	FLEET_NO_NUMBERS,  /* a stopped or ended run may be started again */
	FLEET_SLOW_CLOCKS, /* workers' clocks are slower than allowed */
	FLEET_SUPPORTS
};

struct fleet_play {
	enum fleet_support without; /* told before the play */
	char broken[256];	    /* the first broken promise; empty: none */
	uint64_t started;	    /* runs, added up */
};

/* fleet_play - play a seed */
void fleet_play(uint64_t seed, struct fleet_play *play);

/*
 * fleet_judge_ends - all accepted jobs end done, but for those cancelled
 *
 * Fills in what is broken.
 */
void fleet_judge_ends(struct sim *sim, struct fleet_play *play);

/* fleet_owner - node that owns the pool; -1: none */
int fleet_owner(struct sim *sim);

#endif
