/*
 * Tasks of the simulation that serve beside tasks that fill: the first have a target
 * of their response times, and the second add to these in proportion to their pace.
 */
#ifndef FLEET_PACE_H
#define FLEET_PACE_H

#include "fleet_sim.h"

/* A task may be over its target for so long because of what fills beside it (harmMs). */
enum { FLEET_HARM_MS = 4000 };

/* fleet_pace_step - update what tasks that serve report, and check how long they are harmed */
void fleet_pace_step(struct sim *sim);

#endif
