/*
 * Model of a worker of the platform, without network: runs under a lease,
 * fencing of orders, and the lists of current runs and unacknowledged ends.
 * Used by the simulation of nodes and by the stand-in, which serves it over
 * HTTP.
 */
#ifndef WORKER_MODEL_H
#define WORKER_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "order.h"

/* A worker lists so many of its ends at a time, the oldest first. */
enum { WORKER_MODEL_LISTED_ENDS = 500 };

struct model_run {
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	int64_t total_ms;     /* work of the run */
	int64_t remaining_ms; /* remaining work; unused for runs without end */
	bool fails;
	bool until_stopped; /* runs until it is stopped */
	int64_t stopped_ms; /* worker's clock when a stop takes effect; 0: none */
	int32_t gang_size; /* 0: not of a gang */
	bool waits;	   /* for the other members of its gang */
	int64_t alone_ms;  /* worker's clock when it has waited too long */
	int32_t pace;	   /* in percent; set to 100 as it starts */
	bool fills;	   /* see standin_worker.c */
	/* Of a task that serves: */
	int32_t target_ms; /* 0: it has none */
	double tail_ms;	   /* of the last half second, roughly */
	int64_t harmed_ms; /* over its target by what fills beside it, on end */
	int64_t cpu_milli; /* used, as the task's text says; see standin_room */
	int64_t mem_mib;
	int64_t gpu;
};

struct worker_model {
	int64_t clock_ms;
	int64_t fence;
	int64_t lease_ms;	 /* end of the lease, by the worker's clock */
	int32_t max_runs;	 /* most runs at a time */
	int64_t hold_max_ms;	 /* longest lease; 0: unlimited */
	int64_t stop_ms;	 /* a stop takes so long; 0: none */
	bool stalled;		 /* runs make no progress */
	bool ignore_fences;	 /* accept orders with any fence */
	bool ignore_leases;	 /* runs continue after the lease */
	bool ignore_run_numbers; /* forget which runs have ended */
	GArray *runs;		 /* struct model_run */
	GArray *ends;		 /* struct worker_end, unacknowledged */
	GHashTable *ended; /* task -> highest run that ended or was stopped */
	int64_t last_end;  /* number of the last end */
	/* Ends up to this number had occurred when the lease last expired. The
	   owner may have abandoned those runs and may rightly restart the
	   tasks. */
	int64_t last_lapsed_end;
	void (*on_end)(void *arg, const struct worker_end *end);
	/* Not called for ends up to last_lapsed_end. */
	void (*on_acknowledged)(void *arg, const struct worker_end *end);
	void *arg;
};

void worker_model_init(struct worker_model *model, int32_t max_runs);

/* worker_model_restart - restart the worker process with empty state */
void worker_model_restart(struct worker_model *model);

/*
 * worker_model_check_fence - check the fence of an order and remember it
 *
 * RETURN VALUE
 *	False if the worker has seen a higher fence.
 */
bool worker_model_check_fence(struct worker_model *model, int64_t fence);

/*
 * worker_model_start - execute a start order
 *
 * until_ms is the end of the lease asked for, by the worker's clock. *began is
 * set if this call began the run; a repeated order gets ORDER_OK without it.
 */
enum order_outcome worker_model_start(struct worker_model *model,
				      const struct model_run *run,
				      int64_t until_ms, bool *began);
/* worker_model_stop - stop the run, and refuse later starts up to it */
void worker_model_stop(struct worker_model *model, const char *task,
		       int32_t run);
/* worker_model_pace - let a run work at this share of its speed */
void worker_model_pace(struct worker_model *model, const char *task,
		       int32_t run, int32_t percent);
/* worker_model_acknowledge - forget the ends up to a number */
void worker_model_acknowledge(struct worker_model *model, int64_t cursor);
/* worker_model_extend - extend the lease */
void worker_model_extend(struct worker_model *model, int64_t until_ms);

/* worker_model_break - end a run because its gang is no longer complete */
void worker_model_break(struct worker_model *model, guint index);

/* worker_model_listed_ends - ends that an answer lists, of all that it has */
guint worker_model_listed_ends(const struct worker_model *model);

/* model_run_percent - progress of a run; 100 if it lasts until stopped */
int32_t model_run_percent(const struct model_run *run);

/*
 * worker_model_advance - advance the worker's clock to clock_ms
 *
 * Each run does worked_ms of work. All runs end if the lease has expired.
 */
void worker_model_advance(struct worker_model *model, int64_t clock_ms,
			  int64_t worked_ms);

#endif
