/*
 * Guards against a task that runs twice, or is lost, when the data centre of a
 * pool's owner is cut off and the log reassigns all parts at once.
 */

#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "log.h"
#include "suite.h"

/* Three of these seeds fail if a successor does not count the membership. */
enum { FIRST_SEED = 1036, SEEDS = 15 };

/* Within this time of a submission, all of its tasks have started. */
enum { WARM_UP_MS = 3000, STARTED_MS = 80, STORED_MS = 50 };

/* Seeds of a cancel. If starts do not wait for a read, 18 of them fail; if
   repeated starts do not, 16 of the test for these. */
enum { FIRST_CANCEL_SEED = 20, CANCEL_SEEDS = 120 };

static int first_seed = FIRST_SEED;

/*
 * The log executes the calls of the pool's owner and its answers are lost, so
 * that the append of a task's second run is answered seconds late; another node
 * accepts a cancel meanwhile. The caller was told that the job is cancelled, so
 * the owner must not start that run when answers arrive again.
 */
START_TEST(no_start_after_a_cancel_that_another_node_has_accepted)
{
	struct sim *sim = sim_create(FIRST_CANCEL_SEED + (uint64_t)_i, 3, 4);
	struct sim_job *job;
	int owner, other;
	int32_t starts;

	sim_run_for(sim, WARM_UP_MS);
	owner = fleet_owner(sim);
	ck_assert_int_ge(owner, 0);
	other = (owner + 1) % 3;
	job = sim_submit_job(sim, other, 1, 16);
	sim_run_for(sim, STARTED_MS + 10 * (_i % 4));
	ck_assert_int_eq(job->starts, 16);
	sim->nodes[owner].log_answers_lost = true;
	sim_run_for(sim, 500);
	sim_cancel(sim, other, job);
	sim_run_for(sim, 4000);
	ck_assert_int_ne(job->cancelled_ms, 0);
	starts = job->starts;
	sim->nodes[owner].log_answers_lost = false;
	sim_run_for(sim, 3000);
	ck_assert_int_eq(job->starts, starts);
	ck_assert_msg(!sim->broken[0], "seed %d: %s", _i + FIRST_CANCEL_SEED,
		      sim->broken);
}
END_TEST

static void cut_from_workers(struct sim *sim, int node, bool cut)
{
	for (int i = 0; i < sim->worker_count; i++)
		sim->nodes[node].cut_from_worker[i] = cut;
}

/*
 * The placements are stored, but the pool's owner reaches no worker, and soon
 * loses the log's answers; another node accepts a cancel meanwhile. The owner
 * repeats the start orders when the workers answer again; it must not before it
 * has read the cancel.
 */
START_TEST(no_repeated_start_after_a_cancel_that_another_node_has_accepted)
{
	struct sim *sim = sim_create(FIRST_CANCEL_SEED + (uint64_t)_i, 3, 4);
	struct sim_job *job;
	int owner, other;

	sim_run_for(sim, WARM_UP_MS);
	owner = fleet_owner(sim);
	ck_assert_int_ge(owner, 0);
	other = (owner + 1) % 3;
	job = sim_submit_job(sim, other, 1, 16);
	sim_run_for(sim, STORED_MS);
	cut_from_workers(sim, owner, true);
	sim_run_for(sim, 10 * (_i % 4));
	sim->nodes[owner].log_answers_lost = true;
	sim_run_for(sim, 500);
	sim_cancel(sim, other, job);
	sim_run_for(sim, 1000 + 10 * (_i % 25));
	ck_assert_int_ne(job->cancelled_ms, 0);
	ck_assert_int_eq(job->starts, 0);
	cut_from_workers(sim, owner, false);
	sim->nodes[owner].log_answers_lost = false;
	sim_run_for(sim, 3000);
	ck_assert_int_eq(job->starts, 0);
	ck_assert_msg(!sim->broken[0], "seed %d: %s", _i + FIRST_CANCEL_SEED,
		      sim->broken);
}
END_TEST

START_TEST(invariants_hold_under_cuts_and_reassignments)
{
	struct fleet_play play = { .cuts = true };

	fleet_play((uint64_t)_i + (uint64_t)first_seed, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", _i + first_seed,
		      play.broken);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cut");
	TCase *tcase = tcase_create("cuts and reassignments");
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_cut", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, invariants_hold_under_cuts_and_reassignments,
			    0, count ? atoi(count) : SEEDS);
	tcase_add_loop_test(
		tcase, no_start_after_a_cancel_that_another_node_has_accepted,
		0, CANCEL_SEEDS);
	tcase_add_loop_test(
		tcase,
		no_repeated_start_after_a_cancel_that_another_node_has_accepted,
		0, CANCEL_SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
