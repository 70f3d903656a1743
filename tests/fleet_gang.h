/*
 * Gangs of the simulation: the runs of a gang work from the moment when all of
 * them are present, and end when one of them has ended.
 */
#ifndef FLEET_GANG_H
#define FLEET_GANG_H

#include "fleet_sim.h"

/* fleet_gang_init_run - prepare the run of a gang's member that is to start */
void fleet_gang_init_run(struct model_run *run, const struct sim_job *job,
			 const struct worker_model *model);

/* fleet_gang_step - let complete gangs work, and end those with members gone */
void fleet_gang_step(struct sim *sim);

#endif
