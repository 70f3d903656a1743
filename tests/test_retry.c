/*
 * Tests that attempts which fail in a row are repeated less and less often, and
 * that the work is done once they can succeed. On complete nodes against a
 * simulated log service and workers.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	NODES = 3,
	WORKERS = 4,
	START_MS = 3000,
	FAILING_MS = 60000,
	/* Attempts with pauses of 1, 2, 4 and then 8 s, and a few more. */
	MAX_REFUSED = 15,
	/* Attempts without a pause, then with pauses of 0.5, 1, 2 and 4 s. */
	MAX_FAILED = 30,
	/* The longest pause, and the time for the task itself. */
	RECOVERY_MS = 11000,
	SEEDS = 10
};

/* A start that workers refuse as invalid must not be sent each second for ever. */
START_TEST(invalid_start_is_repeated_less_often)
{
	struct sim *sim = sim_create((uint64_t)_i + 1, NODES, WORKERS);
	struct sim_job *job;

	sim_run_for(sim, START_MS);
	job = sim_submit_job(sim, 0, 1, 1);
	job->invalid = true;
	sim_run_for(sim, FAILING_MS);
	ck_assert_int_gt(job->starts_refused, 3);
	ck_assert_int_le(job->starts_refused, MAX_REFUSED);
	job->invalid = false;
	sim_run_for(sim, RECOVERY_MS);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
}
END_TEST

/* A long-running task that fails at once must not be started without a pause. */
START_TEST(lasting_task_that_fails_at_once_is_started_less_often)
{
	struct sim *sim = sim_create((uint64_t)_i + 1, NODES, WORKERS);
	struct sim_job *job;

	sim_run_for(sim, START_MS);
	job = sim_submit_lasting_job(sim, 0, 1);
	job->fails_at_once = true;
	sim_run_for(sim, FAILING_MS);
	ck_assert_int_gt(job->starts, 5);
	ck_assert_int_le(job->starts, MAX_FAILED);
	job->fails_at_once = false;
	job->starts = 0;
	sim_run_for(sim, RECOVERY_MS);
	ck_assert_int_eq(job->starts, 1);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_RUNNING);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("retry");
	TCase *tcase = tcase_create("attempts that fail in a row");

	apr_initialize();
	log_init("test_retry", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, invalid_start_is_repeated_less_often, 0,
			    SEEDS);
	tcase_add_loop_test(
		tcase, lasting_task_that_fails_at_once_is_started_less_often, 0,
		SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
