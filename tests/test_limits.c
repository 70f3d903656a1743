/*
 * Tests of the limit of what an organisation has running, over all shares of a pool,
 * on complete nodes against a simulated log service.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_limit.h"
#include "fleet_play.h"
#include "log.h"
#include "suite.h"

enum {
	SEEDS = 25,
	TAKEOVER_SEEDS = 20,
	/* Within so many seeds the check must have detected that. */
	DETECTION_SEEDS = 5,
	WORKERS = 16,
	START_MS = 3000,
	PHASE_MS = 37, /* between the seeds, of what nodes do now and then */
	LONG_TASK_MS = 30 * 1000,
	CANCELLED_MS = 400, /* within which a cancel is stored */
	LIMIT_MILLI = 8000,
	STORING_MS = 10,
	STEP_MS = 10
};

static int first_seed = 1;

/* Cuts off the workers that have runs. */
static void cut_off_runs(struct sim *sim)
{
	for (int i = 0; i < sim->worker_count; i++)
		for (int k = 0; k < sim->node_count; k++)
			sim->nodes[k].cut_from_worker[i] =
				sim->workers[i].model.runs->len > 0;
}

/*
 * The stops of a cancelled job's runs are lost, their workers are cut off, and their owner
 * is killed. What they use counts until they have ended, whoever owns the share.
 */
START_TEST(next_owner_counts_the_runs_of_ended_jobs)
{
	struct sim *sim =
		sim_create((uint64_t)first_seed + (uint64_t)_i, 3, WORKERS);
	struct sim_job *job;

	fleet_limit_set(sim, LIMIT_MILLI);
	sim->task_ms = LONG_TASK_MS;
	sim_run_for(sim, START_MS + PHASE_MS * _i);
	job = sim_submit_job(sim, 0, 1, LIMIT_MILLI / 1000);
	sim_run_for(sim, START_MS);
	ck_assert_uint_eq(sim->started, LIMIT_MILLI / 1000);
	sim->faults.stops_lost = true;
	sim_cancel(sim, 0, job);
	sim_run_for(sim, CANCELLED_MS);
	cut_off_runs(sim);
	sim_kill(sim, fleet_owner(sim));
	sim_submit_job(sim, fleet_pick_node(sim), 1, LIMIT_MILLI / 1000);
	sim_run_for(sim, 4 * START_MS);
	ck_assert_uint_eq(sim->started, 2 * LIMIT_MILLI / 1000);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/*
 * All nodes stand still while the placements of a job are being stored. Meanwhile the
 * limit is lowered, for longer than the old configuration may be in force.
 */
START_TEST(placements_by_a_higher_limit_are_not_started)
{
	struct sim *sim =
		sim_create((uint64_t)first_seed + (uint64_t)_i, 3, WORKERS);

	fleet_limit_set(sim, LIMIT_MILLI);
	sim->task_ms = LONG_TASK_MS;
	sim_run_for(sim, START_MS + PHASE_MS * _i);
	sim_submit_job(sim, 0, 1, LIMIT_MILLI / 1000);
	sim_run_for(sim, STORING_MS + STEP_MS * _i);
	for (int i = 0; i < sim->node_count; i++)
		sim_pause(sim, i);
	fleet_limit_set(sim, LIMIT_MILLI / 4);
	sim_run_for(sim, FLEET_LIMIT_CFG_MS + 500);
	for (int i = 0; i < sim->node_count; i++)
		sim_resume(sim, i);
	sim_run_for(sim, 4 * START_MS);
	ck_assert_uint_ge(sim->started, LIMIT_MILLI / 4 / 1000);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* No start may bring the organisation over its limit, whatever fails. */
START_TEST(limit_holds_under_random_faults)
{
	struct fleet_play play = { .limited = true };

	fleet_play((uint64_t)first_seed + (uint64_t)_i, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", _i + first_seed,
		      play.broken);
}
END_TEST

/* The same with four shares, which all press at once. */
START_TEST(limit_holds_while_owners_of_shares_change)
{
	struct fleet_play play = { 0 };

	fleet_limit_play((uint64_t)first_seed + (uint64_t)_i, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", _i + first_seed,
		      play.broken);
}
END_TEST

/* The check must detect nodes that know of no limit. */
START_TEST(check_detects_nodes_without_a_limit)
{
	struct fleet_play play = { .limited = true, .limit_hidden = true };

	for (uint64_t seed = 1; seed <= DETECTION_SEEDS && !play.broken[0];
	     seed++)
		fleet_play(seed, &play);
	ck_assert(play.broken[0]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("limits");
	TCase *tcase = tcase_create("limits of organisations");
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_limits", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, next_owner_counts_the_runs_of_ended_jobs, 0,
			    TAKEOVER_SEEDS);
	tcase_add_loop_test(tcase, placements_by_a_higher_limit_are_not_started,
			    0, TAKEOVER_SEEDS);
	tcase_add_loop_test(tcase, limit_holds_under_random_faults, 0,
			    count ? atoi(count) : SEEDS);
	tcase_add_loop_test(tcase, limit_holds_while_owners_of_shares_change, 0,
			    count ? atoi(count) : SEEDS);
	tcase_add_test(tcase, check_detects_nodes_without_a_limit);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
