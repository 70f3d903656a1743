/*
 * NAME
 *	fair - which organisations have more than their share of a full pool
 *
 * An organisation's share is the largest of its parts of the processor time, the
 * memory and the GPUs that finite tasks can have, and is fair if it is in proportion
 * to its weight among those that use or want some. While not all that is ready has
 * room, tasks of an organisation with clearly more than that come after those of
 * others. Pure functions, made anew for each pass of the scheduler.
 */
#ifndef FAIR_H
#define FAIR_H

#include <stdbool.h>

#include "cfg.h"
#include "job.h"

struct fair;

struct fair *fair_create(void);
void fair_destroy(struct fair *fair);

/* fair_begin - begin a pass; room is what finite tasks can have in all */
void fair_begin(struct fair *fair, const struct cfg_room *room);

/* fair_add_used, fair_add_ready - count tasks of a step that run, or could start */
void fair_add_used(struct fair *fair, const struct cfg *cfg, const char *tenant,
		   const struct job_step *step);
void fair_add_ready(struct fair *fair, const struct cfg *cfg,
		    const char *tenant, const struct job_step *step,
		    int32_t count);

/* fair_decide - decide whether all has room, after all has been added */
void fair_decide(struct fair *fair);

/*
 * fair_take - whether tasks of the step come after those of other organisations
 *
 * Called for all that is ready, in the order in which it would be placed. They do
 * if their organisation has clearly more than its share, with what was taken for it
 * before.
 */
bool fair_take(struct fair *fair, const char *tenant,
	       const struct job_step *step, int32_t count);

#endif
