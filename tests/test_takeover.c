/*
 * Guards against tasks that wait for the lease of a worker that is known to be
 * gone, and again for each node that takes the pool over.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "fleet_play.h"
#include "log.h"
#include "suite.h"

enum {
	START_MS = 3000,
	SEEDS = 20,
	/* A membership runs out and the pool is taken over; far less than the
	   lease of an earlier owner's run. */
	TAKEOVER_MS = 3000
};

static struct sim_job *submit_and_crash_worker(struct sim *sim)
{
	struct sim_job *job;

	sim_run_for(sim, START_MS);
	job = sim_submit_job(sim, 0, 1, 14);
	sim_run_for(sim, 150);
	ck_assert(job->accepted);
	sim_crash_worker(sim, 0);
	return job;
}

/* The owner dies with the worker, whose host then runs another worker. */
START_TEST(run_of_an_earlier_owner_ends_with_its_worker)
{
	struct sim *sim = sim_create(100 + (uint64_t)_i, 3, 5);
	struct sim_job *job = submit_and_crash_worker(sim);
	int owner = fleet_owner(sim);

	ck_assert_int_ge(owner, 0);
	sim_kill(sim, owner);
	sim_run_for(sim, 500);
	sim_replace_worker(sim, 0);
	sim_run_for(sim, TAKEOVER_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_eq(sim_get_job_state(sim, (owner + 1) % 3, job->id),
			 JOB_DONE);
}
END_TEST

/*
 * The host is down, and its worker may start again under its id. All orders to start
 * the run have been answered, as the earlier owner has stored.
 */
START_TEST(answered_run_of_an_earlier_owner_ends_with_a_down_host)
{
	struct sim *sim = sim_create(100 + (uint64_t)_i, 3, 5);
	struct sim_job *job = submit_and_crash_worker(sim);
	int owner = fleet_owner(sim);

	ck_assert_int_ge(owner, 0);
	sim_kill(sim, owner);
	sim_run_for(sim, 500 + TAKEOVER_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_eq(sim_get_job_state(sim, (owner + 1) % 3, job->id),
			 JOB_DONE);
}
END_TEST

/*
 * The same, but an order to start the run is without an answer. It may still come, so
 * the task has to wait.
 */
START_TEST(run_of_an_earlier_owner_outlasts_a_down_host)
{
	struct sim *sim = sim_create(100 + (uint64_t)_i, 3, 5);
	struct sim_job *job;
	int owner;

	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].start_answers_lost = true;
	job = submit_and_crash_worker(sim);
	owner = fleet_owner(sim);
	ck_assert_int_ge(owner, 0);
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].start_answers_lost = false;
	sim_kill(sim, owner);
	sim_run_for(sim, 500 + TAKEOVER_MS);
	ck_assert_int_ne(sim_get_job_state(sim, (owner + 1) % 3, job->id),
			 JOB_DONE);
	sim_run_for(sim, 2 * TAKEOVER_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_eq(sim_get_job_state(sim, (owner + 1) % 3, job->id),
			 JOB_DONE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("takeover");
	TCase *tcase = tcase_create("workers that are gone");

	apr_initialize();
	log_init("test_takeover", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, run_of_an_earlier_owner_ends_with_its_worker,
			    0, SEEDS);
	tcase_add_loop_test(tcase, run_of_an_earlier_owner_outlasts_a_down_host,
			    0, SEEDS);
	tcase_add_loop_test(
		tcase, answered_run_of_an_earlier_owner_ends_with_a_down_host,
		0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
