/*
 * NAME
 *	fleet_cut - cuts of whole data centres in a simulated fleet
 *
 * Nodes and workers are dealt to data centres, one of which may be cut off at a
 * time. Registry entries of its workers expire then.
 */
#ifndef FLEET_CUT_H
#define FLEET_CUT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet_play.h"
#include "fleet_sim.h"

enum { FLEET_CUT_MAX_CENTRES = 3 };

enum fleet_cut_form {
	/* The centre reaches neither the log, the host list nor the others. */
	FLEET_CUT_BOTH_WAYS,
	/* The same, but calls are executed and only the answers are lost. */
	FLEET_CUT_ANSWERS,
	/* Its nodes do not reach the log and the host list. */
	FLEET_CUT_LOG,
	FLEET_CUT_FORM_COUNT
};

struct fleet_cut {
	struct sim *sim;
	int centre_count;
	int node_centre[SIM_MAX_NODES];
	int worker_centre[SIM_MAX_WORKERS];
	int centre; /* that is cut off; -1: none */
	enum fleet_cut_form form;
	bool quiet;	   /* fleet_cut_inject adds nothing to it */
	int64_t end_ms;	   /* nor ends it before */
	uint32_t percent;  /* of other faults in steps of fleet_cut_inject */
	int64_t expire_ms; /* registry entries there expire then; 0: done */
};

/* fleet_cut_init - deal nodes and workers to data centres; all are connected */
void fleet_cut_init(struct fleet_cut *cut, struct sim *sim);

/* fleet_cut_start - cut a data centre off, instead of the one that is now */
void fleet_cut_start(struct fleet_cut *cut, int centre,
		     enum fleet_cut_form form);

/* fleet_cut_end - connect all data centres, and list their workers again */
void fleet_cut_end(struct fleet_cut *cut);

/* fleet_cut_run_for - advance the time, during which entries may expire */
void fleet_cut_run_for(struct fleet_cut *cut, int64_t ms);

/*
 * fleet_cut_play - fleet_play with cuts and reassignments
 *
 * Tasks last from 0.4 s to 8 s, or until they are stopped.
 */
void fleet_cut_play(uint64_t seed, struct fleet_play *play);

/* fleet_cut_reassign - let the log give all parts to other members at once */
void fleet_cut_reassign(struct sim *sim);

/*
 * fleet_cut_revive - crash a worker and start it again under its id
 *
 * The registry gets its new entry once the worker is not cut off.
 */
void fleet_cut_revive(struct fleet_cut *cut, int worker);

/*
 * fleet_cut_inject - inject a random fault or a succession of them
 *
 * A cut goes on for seconds, so that leases and memberships run out.
 */
void fleet_cut_inject(struct fleet_cut *cut);

#endif
