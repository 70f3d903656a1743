/*
 * NAME
 *	job_view - JSON pages about jobs for operators
 */
#ifndef JOB_VIEW_H
#define JOB_VIEW_H

#include <json-c/json.h>

#include "cfg.h"
#include "index.h"
#include "job.h"
#include "worker.h"

struct job_view {
	const struct cfg *cfg; /* may be NULL */
	const struct job_store *jobs;
	const struct worker_table *workers;
	const struct index *index; /* what a node knows that reads no jobs */
	int64_t wall_ms;
};

/* job_view_list - a row for each job that has not ended */
struct json_object *job_view_list(const struct job_view *view);

/*
 * job_view_one - steps and placed tasks of a job; NULL if it is unknown
 *
 * At a node that does not read the jobs, only queue and state.
 */
struct json_object *job_view_one(const struct job_view *view, const char *id);

/*
 * job_view_explain - explain in sentences why a job is in its state
 *
 * If another node owns the pool, this covers only what is stored in the log.
 *
 * RETURN VALUE
 *	NULL if the job is unknown.
 */
struct json_object *job_view_explain(const struct job_view *view,
				     const char *id);

#endif
