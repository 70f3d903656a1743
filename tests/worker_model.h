/*
 * A worker of the platform, without network: runs under a lease, fences, the
 * lists of what runs and what has ended. Shared by the simulation of nodes and
 * the stand-in that serves it by HTTP.
 */
#ifndef WORKER_MODEL_H
#define WORKER_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "order.h"

struct model_run {
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	int64_t total_ms; /* of work */
	int64_t left_ms;  /* below 0: it lasts */
	bool fails;
	bool lasts;
	int32_t pace;
};

struct worker_model {
	int64_t clock_ms;
	int64_t fence;
	int64_t lease_ms;  /* until, by its clock */
	int32_t room;	   /* runs at a time */
	bool still;	   /* its runs do no work */
	bool no_fences;	   /* takes orders under any fence */
	bool no_leases;	   /* runs go on without a lease */
	bool no_numbers;   /* forgets which runs have ended */
	GArray *runs;	   /* struct model_run */
	GArray *ends;	   /* struct worker_end, those not acknowledged */
	GHashTable *ended; /* task -> highest run that ended or was stopped */
	int64_t next_end;
	/* Ends up to this number were not acknowledged when the lease ran out.
	   Their tasks may have been given up, and may run again for good. */
	int64_t lapsed_end;
	void (*on_end)(void *arg, const struct worker_end *end);
	/* Not called for ends before a lapse. */
	void (*on_acknowledged)(void *arg, const struct worker_end *end);
	void *arg;
};

void worker_model_init(struct worker_model *model, int32_t room);

/* worker_model_restart - a new life that knows nothing */
void worker_model_restart(struct worker_model *model);

/* worker_model_fence - whether an order may be carried out */
bool worker_model_fence(struct worker_model *model, int64_t fence);

/*
 * worker_model_start - begin a run, if it may
 *
 * began tells whether this call began it.
 */
enum order_outcome worker_model_start(struct worker_model *model,
				      const struct model_run *run,
				      int64_t until_ms, bool *began);
void worker_model_stop(struct worker_model *model, const char *task,
		       int32_t run);
void worker_model_acknowledge(struct worker_model *model, int64_t cursor);
void worker_model_extend(struct worker_model *model, int64_t until_ms);

/* model_run_percent - how much of its work a run has done */
int32_t model_run_percent(const struct model_run *run);

/* worker_model_pass - let time pass by the worker's clock */
void worker_model_pass(struct worker_model *model, int64_t clock_ms,
		       int64_t worked_ms);

#endif
