/*
 * A limit of what the organisation that all jobs of the simulation belong to may
 * have running, over all workers. Each start is checked against it.
 */
#ifndef FLEET_LIMIT_H
#define FLEET_LIMIT_H

#include <stdbool.h>

#include "fleet_play.h"
#include "fleet_sim.h"

enum {
	/* For so long after it has been replaced, a configuration may still be in
	   force at nodes that are in touch (configMs). */
	FLEET_LIMIT_CFG_MS = 3000
};

/* fleet_limit_set - store a configuration with the organisation and its limit */
void fleet_limit_set(struct sim *sim, int32_t cpu_milli);

/*
 * fleet_limit_hide - leave limits out of the configuration
 *
 * Disables the guard, to show that the check detects it. Called before fleet_limit_set.
 */
void fleet_limit_hide(struct sim *sim);

/*
 * fleet_limit_play - run the simulation of a seed with four shares of a pool
 *
 * More work than the limit allows comes all the time, in tasks of several sizes, and
 * much of it is cancelled, while the limit changes, owners of shares and of the hosts are
 * killed, paused and cut off from the log or from workers, and orders and the log's answers
 * are lost or late. The first violated invariant is written to play->broken.
 */
void fleet_limit_play(uint64_t seed, struct fleet_play *play);

/* The rest is called by the simulation. */

/* fleet_limit_tenants - the organisation as a member of the configuration; free it */
char *fleet_limit_tenants(const struct sim *sim);

/*
 * fleet_limit_exceeded - whether more runs than a tenth above the limit and one task
 *
 * A run has begun. Those that are being stopped count, at workers out of reach too.
 * Of the limits that may be in force the highest counts.
 */
bool fleet_limit_exceeded(const struct sim *sim);

#endif
