/*
 * NAME
 *	order - interface to workers: renew leases, start, stop and pace tasks
 *
 * An unanswered order may have been executed, or may still be.
 */
#ifndef ORDER_H
#define ORDER_H

#include <stdint.h>

#include "worker.h"

enum order_outcome {
	ORDER_OK,
	ORDER_FENCED,  /* the worker has seen a higher fence */
	ORDER_OLD_RUN, /* this run, or a newer one of the task, ended there */
	ORDER_LATE,    /* the requested lease has already ended */
	ORDER_NO_ROOM,
	ORDER_UNHEALTHY,    /* the worker refused; nothing was started */
	ORDER_OTHER_WORKER, /* another worker has the address */
	ORDER_INVALID,
	ORDER_UNKNOWN /* no answer */
};

struct order_start {
	const char *task;
	int32_t run;
	const char *text;	/* of the job */
	const char *checkpoint; /* NULL: from the beginning */
	int64_t until_ms;	/* end of the lease, by the worker's clock */
	int64_t fence;
};

struct order_renew {
	int64_t fence;
	int64_t cursor;	  /* acknowledges ended runs up to this number */
	int64_t until_ms; /* 0: the lease is not extended */
	int64_t wait_ms;  /* how long the answer may wait for a run to end */
	int64_t begin_ms; /* and then until it begins, before it is given up */
	/* Of the answer, only its beginning is read, up to the worker's clock and
	   start: its lists are left out of the report. */
	bool lease_only;
	/* Called with each part of the answer that arrives; NULL: not. */
	void (*on_part)(void *arg);
};

/* clock_ms is the worker's clock; -1: the answer has none. */
typedef void order_fn(void *arg, enum order_outcome outcome, int64_t clock_ms);
/* report is NULL unless outcome is ORDER_OK. */
typedef void order_renew_fn(void *arg, enum order_outcome outcome,
			    const struct worker_report *report);

struct order_io {
	void *io;
	void (*start)(void *io, const struct worker_entry *worker,
		      const struct order_start *start, order_fn *fn, void *arg);
	void (*stop)(void *io, const struct worker_entry *worker,
		     const char *task, int32_t run, int64_t fence, order_fn *fn,
		     void *arg);
	void (*pace)(void *io, const struct worker_entry *worker,
		     const char *task, int32_t run, int32_t percent,
		     int64_t fence, order_fn *fn, void *arg);
	void (*renew)(void *io, const struct worker_entry *worker,
		      const struct order_renew *renew, order_renew_fn *fn,
		      void *arg);
};

/* order_name - short name of an outcome, for logs */
const char *order_name(enum order_outcome outcome);

#endif
