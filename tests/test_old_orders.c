/*
 * Guards against two runs of a task at the same time after a worker has started
 * again under its id and has executed a late order to its earlier incarnation.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	START_MS = 3000,
	SEEDS = 20,
	WORKERS = 6,
	WIDTH = 12,
	SHORT_TASK_MS = 5000,
	LONG_TASK_MS = 30000,
	/* As the platform sets it in the users' settings. */
	HOLD_MAX_MS = 10000,
	/* At least one renewal of each worker is sent within it. */
	LATE_MS = 1200,
	DOWN_MS = 100,
	/* Most late orders are executed within it. */
	EXECUTED_MS = 5000,
	WATCHED_MS = 9000,
	/* Spreads the moment of the crash over the interval of renewals. */
	PHASE_MS = 37
};

static int worker_with_runs(const struct sim *sim)
{
	for (int i = 0; i < sim->worker_count; i++)
		if (sim->workers[i].model.runs->len)
			return i;
	return 0;
}

/*
 * The clock of a worker starts anew with it, so that the lease asked for by an
 * order of before ends far in the future, and lasts as long as the platform
 * allows: longer than the owner counts with.
 */
START_TEST(late_renewal_of_an_earlier_incarnation)
{
	struct sim *sim = sim_create(1500 + (uint64_t)_i, 3, WORKERS);
	int restarted;

	sim->task_ms = SHORT_TASK_MS;
	sim->runs_succeed = true;
	sim->lenient_workers = true;
	for (int i = 0; i < WORKERS; i++)
		sim->workers[i].model.hold_max_ms = HOLD_MAX_MS;
	/* Its clock is far ahead of that of its next incarnation. */
	sim_run_for(sim, 5 * START_MS);
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, START_MS + _i * PHASE_MS);
	restarted = worker_with_runs(sim);
	ck_assert_uint_gt(sim->workers[restarted].model.runs->len, 0);
	sim->faults.order_late_percent = 100;
	sim_run_for(sim, LATE_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, restarted);
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	/* They fill the workers; the first tasks make room until the cut. */
	sim_submit_job(sim, 0, 1, WIDTH)->task_ms = LONG_TASK_MS;
	sim_run_for(sim, EXECUTED_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].cut_from_worker[restarted] = true;
	sim_run_for(sim, WATCHED_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("old orders, known red");
	TCase *tcase = tcase_create("leases");

	apr_initialize();
	log_init("test_old_orders", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, late_renewal_of_an_earlier_incarnation, 0,
			    SEEDS);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(suite, "late_renewal_of_an_earlier_incarnation");
	return EXIT_SUCCESS;
}
