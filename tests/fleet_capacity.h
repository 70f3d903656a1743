/*
 * Workers of the simulation that do not guard their capacity, and whose
 * capacity shrinks and grows while they run. Each start on such a worker is
 * checked against the capacity that its sender must know.
 */
#ifndef FLEET_CAPACITY_H
#define FLEET_CAPACITY_H

#include "fleet_play.h"
#include "fleet_sim.h"

enum {
	FLEET_CPU_MILLI = 4000, /* full capacity of a worker */
	FLEET_MEM_MIB = 1000,
	/* A shrunk capacity counts after this time: 3,000 ms in which machines
	   are to be in touch, and a heartbeat of a worker. */
	FLEET_SHRUNK_MS = 4500,
	FLEET_STOP_MS = 300,  /* a run takes so long to stop */
	FLEET_ENTRY_MS = 1000 /* a worker writes to the registry so often */
};

/*
 * fleet_capacity_unguard - make all workers execute starts beyond their room
 *
 * Called before the simulated time advances. A stop then takes FLEET_STOP_MS.
 */
void fleet_capacity_unguard(struct sim *sim);

/*
 * fleet_capacity_hide_changes - make the nodes miss all changes of capacity
 *
 * Disables a guard, to show that the check detects it. Called at the same time.
 */
void fleet_capacity_hide_changes(struct sim *sim);

/* fleet_capacity_set - change what a worker that is up says of itself */
void fleet_capacity_set(struct sim *sim, int worker, int32_t cpu_milli,
			int32_t mem_mib);

/* fleet_capacity_vary - change the size of later tasks, and some worker's room */
void fleet_capacity_vary(struct sim *sim);

/*
 * fleet_capacity_restart - start a worker under its id with another capacity
 *
 * Until its first entry, up to FLEET_ENTRY_MS later, the registry has that of
 * its former life.
 */
void fleet_capacity_restart(struct sim *sim, int worker, int32_t cpu_milli,
			    int32_t mem_mib);

/* fleet_capacity_restore - return all workers that are up to their full room */
void fleet_capacity_restore(struct sim *sim);

/*
 * fleet_capacity_play - run the simulation of a seed under high load
 *
 * Jobs of several sizes come and many are cancelled, while capacities change,
 * owners die, answers of the log and orders are lost or late, and workers crash.
 * hide_changes disables the guard as above. The first violated invariant is
 * written to play->broken.
 */
void fleet_capacity_play(uint64_t seed, bool hide_changes,
			 struct fleet_play *play);

/* The rest is called by the simulation. */

/* fleet_capacity_listed - note the capacity in the worker's registry entry */
void fleet_capacity_listed(struct sim *sim, struct sim_worker *worker);

/* fleet_capacity_restarted - forget the capacity of the worker's former life */
void fleet_capacity_restarted(struct sim *sim, struct sim_worker *worker);

/* fleet_capacity_step - note which nodes are out of touch with the log */
void fleet_capacity_step(struct sim *sim);

/*
 * fleet_capacity_exceeded - whether a start took a worker over its capacity
 *
 * The run has begun. A smaller capacity counts once it has been listed for
 * FLEET_SHRUNK_MS in which the node that sent the start was in touch with the
 * log; that of a worker that has started again counts at once. Runs that are
 * being stopped count.
 */
bool fleet_capacity_exceeded(const struct sim *sim,
			     const struct sim_worker *worker, int node);

#endif
