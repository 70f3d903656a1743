/*
 * NAME
 *	front_int - internal declarations of front.c, front_pending.c and
 *	front_late.c
 *
 * Only these three files include this header.
 */
#ifndef FRONT_INT_H
#define FRONT_INT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "front.h"

/* Why a submission is not accepted. */
enum front_refusal {
	FRONT_ACCEPT,
	FRONT_REFUSE_LATE, /* it would be late */
	FRONT_REFUSE_RATE, /* it is beyond its organisation's rate */
	FRONT_REFUSE_FULL  /* the nodes have no memory for it */
};

/* A request that waits for the log; fn is NULL once it has been answered. */
struct front_pending {
	struct front *front;
	struct front_request request;
	/* Copies, as the configuration may change before the answer. */
	char queue[CFG_QUEUE_NAME_BYTES];
	char pool[LIMIT_NAME_BYTES];
	int64_t start_ms;
	struct writer
		*writer; /* of the record awaited; NULL: waits for a read */
	int64_t number;	 /* of that record */
	/* Of a submission that is refused unless another node has accepted it. */
	enum front_refusal refusal;
	int64_t retry_after_ms;
	bool unrated;	  /* the job does not count against a rate */
	int64_t tasks;	  /* of a job without times that is being accepted */
	bool stored;	  /* the job's record is; that of the index is not */
	bool job_unknown; /* a cancel of a job that this node does not know */
	front_fn *fn;
	void *arg;
};

struct front {
	struct front_env *env;
	uint32_t token_count; /* submissions that have been named */
	int64_t next_capacity_ms;
	int64_t max_listed_milli; /* most processor time of all workers so far */
	int64_t end_ms; /* all requests are answered before; 0: none */
	GPtrArray *pending;
};

/* front_pending_new - add a request that waits for the log */
struct front_pending *front_pending_new(struct front *front,
					const struct front_request *request,
					front_fn *fn, void *arg);

/* front_pending_free - remove a request, without an answer */
void front_pending_free(struct front_pending *pending);

/* front_pending_finish - remove a request, and answer it */
void front_pending_finish(struct front_pending *pending,
			  const struct front_answer *answer);

/* front_store_job - store a submission, then publish and answer */
struct front_pending *front_store_job(struct front *front,
				      const struct front_request *request,
				      const char *record, size_t len,
				      front_fn *fn, void *arg);

/*
 * front_store_cancel - store a cancel, then publish and answer
 *
 * known: this node knows the job, and the caller may cancel it. Otherwise the answer
 * is that there is no such job; if another node stores it later, it is cancelled.
 */
void front_store_cancel(struct front *front,
			const struct front_request *request, bool known,
			front_fn *fn, void *arg);

/* front_publish - write the job's state to the index, then answer */
void front_publish(struct front_pending *pending, enum index_state state);

/*
 * front_log_answers_in_time - whether a record that has not been sent can be
 * stored and published before the deadline, as far as the log's answers so far
 * tell
 */
bool front_log_answers_in_time(const struct front *front,
			       const struct front_request *request);

/* front_answer_unavailable - refuse a request, as the log is not available */
void front_answer_unavailable(struct front *front, const char *id, front_fn *fn,
			      void *arg);

/* front_expire - end the requests whose time is over, or that wait in vain */
void front_expire(struct front *front, int64_t now_ms);

/* front_job_tenant - organisation that a job belongs to; NULL: it is not known */
const char *front_job_tenant(const struct front *front, const char *id);

/* What is decided of a submission. */
struct front_decision {
	enum front_refusal refusal;
	int64_t retry_after_ms;
	bool beyond_rate; /* it is accepted all the same */
};

/*
 * front_decide - whether to accept a job
 *
 * Not if the nodes have no memory for it, if the backlog makes it miss its objective,
 * or if it is beyond the rate of its organisation and could keep jobs that are not
 * waiting.
 */
struct front_decision front_decide(struct front *front,
				   const struct front_request *request,
				   const struct job_spec *spec);

/* front_sum_capacity - sum up what all workers have, from time to time */
void front_sum_capacity(struct front *front, int64_t now_ms);

#endif
