/*
 * NAME
 *	front - answers callers: hand a job in, ask for its state, cancel it,
 *	count a queue's waiting jobs
 *
 * Any node answers for any queue. What a caller is told has been stored.
 */
#ifndef FRONT_H
#define FRONT_H

#include <stdint.h>

#include "cfg.h"
#include "clk.h"
#include "histo.h"
#include "job.h"
#include "place.h"
#include "tail.h"
#include "writer.h"

enum front_kind { FRONT_HAND_IN, FRONT_STATE, FRONT_CANCEL, FRONT_COUNT };

struct front_ask {
	enum front_kind kind;
	const struct cfg_queue *queue;
	char id[JOB_ID_BYTES]; /* but for FRONT_COUNT */
	const char *body;      /* stays valid until the answer */
	size_t len;
	int64_t deadline_ms; /* by the node's clock */
};

enum front_outcome {
	FRONT_DONE,    /* handed in, or cancelled */
	FRONT_SHOWN,   /* state holds the state */
	FRONT_COUNTED, /* count holds the number */
	FRONT_NO_JOB,
	FRONT_INVALID,
	FRONT_OVERLOADED,  /* not stored, and never will run */
	FRONT_UNAVAILABLE, /* the same, for want of the log */
	FRONT_UNDECIDED	   /* it may have been stored */
};

struct front_answer {
	enum front_outcome outcome;
	enum job_state state;
	int64_t count;
	int64_t retry_after_ms;
	const char *text; /* of FRONT_INVALID */
};

typedef void front_fn(void *arg, const struct front_answer *answer);

struct front_counts {
	int64_t handed_in;
	int64_t refused_overload;
	int64_t refused_unavailable;
	int64_t refused_invalid;
	int64_t undecided;
	int64_t cancelled;
};

struct front_env {
	const struct clk *clk;
	const struct cfg *const *cfg;
	struct job_store *jobs;
	struct worker_table *workers;
	struct tail *tail;
	struct writer *writer;
	struct front_counts counts;
	struct histo hand_in_ms; /* from a hand-in to its answer */
};

struct front;

struct front *front_create(struct front_env *env);
void front_destroy(struct front *front);

/* front_ask - answer once, at once or later */
void front_ask(struct front *front, const struct front_ask *ask, front_fn *fn,
	       void *arg);

/* front_tick - end what waits too long for the log */
void front_tick(struct front *front);

/* front_waiting - asks without an answer */
uint32_t front_waiting(const struct front *front);

#endif
