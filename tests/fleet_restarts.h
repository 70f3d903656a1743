/*
 * NAME
 *	fleet_restarts - nodes of a simulated fleet that get SIGTERM in turn and
 *	start again, each as a new incarnation
 */
#ifndef FLEET_RESTARTS_H
#define FLEET_RESTARTS_H

#include <stdint.h>

#include "fleet_sim.h"

struct fleet_restarts {
	struct sim *sim;
	int next;			 /* node that is stopped next */
	int64_t due_ms;			 /* when it is */
	int64_t end_ms;			 /* no stop from then on */
	int64_t start_ms[SIM_MAX_NODES]; /* a node that has ended starts then */
	int owner;			 /* of the pool, last seen */
	int tenures;			 /* of the pool, so far */
};

/* fleet_restarts_begin - stop node first after_ms from now, then the others */
void fleet_restarts_begin(struct fleet_restarts *restarts, struct sim *sim,
			  int first, int64_t after_ms);

/* fleet_restarts_step - run the fleet for step_ms; stop and start what is due */
void fleet_restarts_step(struct fleet_restarts *restarts, int64_t step_ms);

/* fleet_restarts_stop_node - tell a node to stop, as by SIGTERM */
void fleet_restarts_stop_node(struct sim *sim, int node);

/*
 * fleet_restarts_step_node - end or start a node, if that is due
 *
 * A stopped node ends once it has handed over its pools, or after 2 s; one that
 * has ended starts at restarts->start_ms.
 */
void fleet_restarts_step_node(struct fleet_restarts *restarts, int index);

#endif
