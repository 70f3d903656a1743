/*
 * Attempts of the simulation's tasks: how many runs of each have failed, and a
 * check that none is started after its last attempt.
 */
#ifndef FLEET_ATTEMPTS_H
#define FLEET_ATTEMPTS_H

#include "fleet_sim.h"

struct fleet_attempts;

struct fleet_attempts *fleet_attempts_create(void);

/*
 * fleet_attempts_limit - set the attempts of jobs and the share of runs that fail
 *
 * Holds for jobs submitted later, once the nodes have read the configuration.
 */
void fleet_attempts_limit(struct sim *sim, int32_t attempts,
			  uint32_t fail_percent);

/* fleet_attempts_failed - note that a run has ended as failed */
void fleet_attempts_failed(struct sim *sim, const struct worker_end *end);

/*
 * fleet_attempts_acknowledged - note that a failed run's end was acknowledged
 *
 * RETURN VALUE
 *	False if the task was started after as many failed runs as it has
 *	attempts, all of whose ends have been acknowledged by now.
 */
bool fleet_attempts_acknowledged(struct sim *sim, const struct worker_end *end);

/* fleet_attempts_started - note a start; RETURN VALUE as above */
bool fleet_attempts_started(struct sim *sim, const char *task);

/* fleet_attempts_used_up - whether a task of the job has failed that often */
bool fleet_attempts_used_up(const struct sim *sim, const char *job_id);

#endif
