/*
 * NAME
 *	job_view - jobs as operators are shown them, as JSON
 */
#ifndef JOB_VIEW_H
#define JOB_VIEW_H

#include <json-c/json.h>

#include "cfg.h"
#include "job.h"
#include "worker.h"

struct job_view {
	const struct cfg *cfg; /* may be NULL */
	const struct job_store *jobs;
	const struct worker_table *workers;
	int64_t wall_ms;
};

/* job_view_list - a row for each job that has not ended */
struct json_object *job_view_list(const struct job_view *view);

/* job_view_one - all that is known of a job, or NULL if it is not known */
struct json_object *job_view_one(const struct job_view *view, const char *id);

/*
 * job_view_explain - why a job is where it is, in sentences
 *
 * Of a pool that another node owns, only what is stored is told.
 */
struct json_object *job_view_explain(const struct job_view *view,
				     const char *id);

#endif
