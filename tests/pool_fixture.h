/*
 * A pool without nodes for tests of jobs and placement: a job store, workers and
 * a configuration with one queue, "q", and one pool, "pool".
 */
#ifndef POOL_FIXTURE_H
#define POOL_FIXTURE_H

#include "cfg.h"
#include "job.h"
#include "worker.h"

struct pool_fixture {
	struct job_store *jobs;
	struct worker_table *workers;
	struct cfg *cfg;
	int64_t next_offset; /* of the next submission */
};

/* As an operator publishes it. */
extern const char pool_fixture_configuration[];

void pool_fixture_setup(struct pool_fixture *fixture);
void pool_fixture_teardown(struct pool_fixture *fixture);

/* pool_fixture_submit - apply a submission; body is as a caller sends it */
struct job *pool_fixture_submit(struct pool_fixture *fixture, const char *id,
				const char *body);

/*
 * pool_fixture_add_worker - add a worker with 1,000 MiB that takes tasks
 *
 * label may be NULL.
 */
struct worker *pool_fixture_add_worker(struct pool_fixture *fixture,
				       const char *id, const char *label,
				       int32_t cpu_milli);

#endif
