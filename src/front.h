/*
 * NAME
 *	front - callers' requests: submit a job, get its state, cancel it, count
 *	the waiting jobs of a queue
 *
 * Any node serves any queue. A submission or cancellation is confirmed only
 * after its record has been stored in the log, and then one in the index, by
 * which all nodes answer.
 */
#ifndef FRONT_H
#define FRONT_H

#include <stdint.h>

#include "backlog.h"
#include "cfg.h"
#include "clk.h"
#include "histo.h"
#include "index.h"
#include "job.h"
#include "place.h"
#include "rate.h"
#include "tail.h"
#include "writer.h"

enum front_kind {
	FRONT_SUBMIT,
	FRONT_GET_STATE,
	FRONT_CANCEL,
	FRONT_COUNT_WAITING
};

struct front_request {
	enum front_kind kind;
	const struct cfg_queue *queue;
	/* Organisation that it acts for, interned; "": none. */
	const char *tenant;
	char id[JOB_ID_BYTES]; /* unused by FRONT_COUNT_WAITING */
	const char *body;      /* must stay valid until fn is called */
	size_t len;
	int64_t deadline_ms; /* monotonic, on this node's clock */
};

enum front_outcome {
	FRONT_ACCEPTED,	   /* submission or cancellation accepted */
	FRONT_STATE_FOUND, /* state is set */
	FRONT_COUNTED,	   /* count is set */
	FRONT_NOT_FOUND,   /* unknown job, or one of another organisation */
	FRONT_INVALID,	   /* text says why */
	FRONT_OVERLOADED,  /* refused and not stored: the job will not run */
	FRONT_UNAVAILABLE, /* log unavailable; nothing was or will be stored */
	FRONT_UNDECIDED	   /* unknown whether the record was stored */
};

struct front_answer {
	enum front_outcome outcome;
	enum job_state state;
	int64_t count;
	int64_t retry_after_ms; /* 0: none */
	const char *text; /* of FRONT_INVALID; valid during the callback */
};

typedef void front_fn(void *arg, const struct front_answer *answer);

struct front_counts {
	int64_t submitted;
	int64_t refused_overload;
	int64_t refused_full;	 /* no memory for it, see job_room.h */
	int64_t refused_rate;	 /* beyond an organisation's rate */
	int64_t accepted_beyond; /* beyond it, as there was room */
	int64_t refused_unavailable;
	int64_t refused_old_cfg; /* by front_cfg */
	int64_t refused_invalid;
	int64_t refused_key; /* by front_tenant */
	int64_t undecided;
	int64_t cancelled;
	int64_t cancelled_unknown; /* of jobs that no node had published */
};

/* What a front uses; the caller owns it and keeps it until front_destroy. */
struct front_env {
	const struct clk *clk;
	const struct cfg *const *cfg;
	const struct share_layout *layout; /* shares of each pool */
	/* Whether this node has read the jobs and the workers' registry. */
	const bool *jobs_loaded;
	struct job_store *jobs;
	struct worker_table *workers;
	struct index *index;
	const struct backlogs *backlogs; /* used if it has not */
	struct tail *index_tail;
	struct tail *operators_tail; /* has the configuration */
	/* Older, it may have been replaced, and no request is decided by it. */
	int64_t max_cfg_age_ms;
	struct writer *index_writer;
	struct writer *job_writers[SHARE_MAX_COUNT]; /* by part */
	/* Of organisations, at which they submit jobs; NULL: not limited. */
	struct rate *rate;
	size_t record_bytes; /* most that a record of the log may have */
	/* Of the names of this node's submissions; no other process has it. */
	uint32_t token_base;
	struct front_counts counts; /* written by front */
	struct histo submit_ms;	    /* from a submission to its answer */
};

struct front;

struct front *front_create(struct front_env *env);
void front_destroy(struct front *front);

/*
 * front_cfg - the configuration to decide a request by
 *
 * id names the request in the log.
 *
 * RETURN VALUE
 *	NULL if none has been read yet, or if the log has not confirmed it
 *	recently; the request is to be refused, to be sent again later.
 */
const struct cfg *front_cfg(struct front *front, const char *id);

/*
 * front_tenant - the organisation that a request acts for, by its key
 *
 * As auth_check; logs and counts a refusal. id names the request in the log.
 *
 * RETURN VALUE
 *	Its name, interned, "" if it acts for none; NULL: it is to be refused.
 */
const char *front_tenant(struct front *front, const struct cfg *cfg,
			 const struct cfg_queue *queue, const char *key,
			 const char *id);

/* front_request - process a request; fn is called once, maybe before it returns */
void front_request(struct front *front, const struct front_request *request,
		   front_fn *fn, void *arg);

/* front_tick - fail requests that have waited too long for the log */
void front_tick(struct front *front);

/*
 * front_end_by - answer each request before this time, whatever its deadline
 *
 * For a node that stops: the monotonic time at which its process ends.
 */
void front_end_by(struct front *front, int64_t end_ms);

/* front_count_pending - number of requests not answered yet */
uint32_t front_count_pending(const struct front *front);

#endif
