/*
 * Tests of suspects, tasks under which workers have crashed, on workers that
 * trouble them in other ways; on complete nodes against a simulated log service
 * and workers.
 */

#include <stdio.h>
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
	KNOWN_RED_SEEDS = 5,
	STEP_MS = 20,
	LOAD_STEP_MS = 200,
	SHORT_TASK_MS = 400,
	LONG_TASK_MS = 4000,
	/* A suspect has left quarantine then. */
	AT_WORK_MS = 1600,
	/* Until the worker is known to stand still and the task has run again. */
	MOVE_MS = 8000,
	/* Before another owner has taken over. */
	EARLY_RETURN_MS = 1500,
	/* Longer than a lease. */
	LATE_RETURN_MS = 6000,
	/* As long as a start and its lease take. */
	LIST_AWAY_MS = 4500,
	LIST_BACK_MS = 100,
	LIST_CHANGES = 8,
	GIVE_UP_MS = 30000,
	/* Of a task that crashes its worker, and of those beside it. */
	CRASH_DELAY_MS = 2000,
	MEDIUM_TASK_MS = 3000,
	LOAD_MS = 12000
};

/* Index of the worker that runs the job's only task; -1: none. */
static int find_run(const struct sim *sim, const struct sim_job *job)
{
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];
		GArray *runs = worker->model.runs;

		for (guint j = 0; worker->up && j < runs->len; j++)
			if (g_str_has_prefix(
				    g_array_index(runs, struct model_run, j)
					    .task,
				    job->id))
				return i;
	}
	return -1;
}

static int wait_for_run(struct sim *sim, const struct sim_job *job)
{
	int worker = find_run(sim, job);

	for (int i = 0; worker < 0 && i < 20000 / STEP_MS; i++) {
		sim_run_for(sim, STEP_MS);
		worker = find_run(sim, job);
	}
	ck_assert_int_ge(worker, 0);
	return worker;
}

/* Crashes the worker that has just started the job's task, which comes back. */
static void crash_at_start(struct sim *sim, const struct sim_job *job)
{
	int worker = wait_for_run(sim, job);

	sim_crash_worker(sim, worker);
	sim->workers[worker].restart_at_ms = sim->clk.manual_ms + SIM_CRASH_MS;
	sim_run_for(sim, STEP_MS);
}

/* Other workers must be at work for one that stands still to be noticed. */
static void submit_short_jobs(struct sim *sim, int64_t ms)
{
	sim->task_ms = SHORT_TASK_MS;
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += LOAD_STEP_MS) {
		sim_submit_job(sim, 0, 1, 5);
		sim_run_for(sim, LOAD_STEP_MS);
	}
}

/* A suspect on a worker that stands still must run elsewhere, as any task. */
START_TEST(suspect_on_a_stalled_worker_runs_elsewhere)
{
	struct sim *sim = sim_create(300 + (uint64_t)_i, 3, 6);
	struct sim_job *job;
	int worker;

	sim_run_for(sim, START_MS);
	sim->task_ms = LONG_TASK_MS;
	job = sim_submit_job(sim, 0, 1, 1);
	crash_at_start(sim, job);
	crash_at_start(sim, job);
	worker = wait_for_run(sim, job);
	submit_short_jobs(sim, AT_WORK_MS);
	sim->workers[worker].model.stalled = true;
	submit_short_jobs(sim, MOVE_MS);
	sim_run_for(sim, START_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
}
END_TEST

/*
 * A task must not crash workers without end while the host list answers now and
 * then only: workers that come back after their lease show that they crashed.
 */
START_TEST(crashes_are_counted_beside_a_host_list_that_fails_often)
{
	uint64_t seed = 300 + (uint64_t)_i;
	struct sim *sim = sim_create(seed, 3, 8);
	struct fleet_play play = { 0 };

	sim->crash_ms = LATE_RETURN_MS;
	sim_run_for(sim, START_MS);
	sim->faults.host_list_down = true;
	sim_submit_deadly_job(sim, 0, 1, 2);
	for (int i = 0; i < LIST_CHANGES; i++) {
		submit_short_jobs(sim, LIST_AWAY_MS);
		sim->faults.host_list_down = false;
		submit_short_jobs(sim, LIST_BACK_MS);
		sim->faults.host_list_down = true;
	}
	sim->faults.host_list_down = false;
	sim_run_for(sim, GIVE_UP_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	fleet_check_ends(sim, &play);
	ck_assert_msg(!play.broken[0], "%s", play.broken);
}
END_TEST

/*
 * A crash must be counted though its owner dies at once, the host list is away,
 * and the worker is back when the next owner asks it.
 */
START_TEST(crashes_are_counted_though_each_owner_dies)
{
	uint64_t seed = 300 + (uint64_t)_i;
	struct sim *sim = sim_create(seed, 3, 6);
	struct fleet_play play = { 0 };
	struct sim_job *job;
	int32_t crashes = 0;

	sim->crash_ms = EARLY_RETURN_MS;
	sim_run_for(sim, START_MS);
	sim->faults.host_list_down = true;
	job = sim_submit_deadly_job(sim, 0, 1, 2);
	for (int i = 0; i < 2 * GIVE_UP_MS / STEP_MS; i++) {
		int owner = fleet_owner(sim);

		sim_run_for(sim, STEP_MS);
		if (job->crashes == crashes || owner < 0)
			continue;
		crashes = job->crashes;
		sim_kill(sim, owner);
		sim_run_for(sim, LOAD_STEP_MS);
		sim_start(sim, owner);
	}
	sim->faults.host_list_down = false;
	sim_run_for(sim, GIVE_UP_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	fleet_check_ends(sim, &play);
	ck_assert_msg(!play.broken[0], "%s", play.broken);
}
END_TEST

/*
 * A task that crashes its workers seconds after its start must be given up, though
 * others start beside it all the time. KNOWN-RED.txt: it is not.
 */
START_TEST(late_crashes_are_counted_beside_tasks_that_start)
{
	struct sim *sim = sim_create(300 + (uint64_t)_i, 3, 6);

	sim->crash_delay_ms = CRASH_DELAY_MS;
	sim_run_for(sim, START_MS);
	sim->task_ms = MEDIUM_TASK_MS;
	sim_submit_deadly_job(sim, 0, 1, 3);
	for (int i = 0; i < LOAD_MS / LOAD_STEP_MS; i++) {
		sim_submit_job(sim, 0, 1, 2);
		sim_run_for(sim, LOAD_STEP_MS);
	}
	sim_run_for(sim, GIVE_UP_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Runs the test of KNOWN-RED.txt; its failures are printed and not counted. */
static void run_known_red(void)
{
	Suite *suite = suite_create("suspects, known red");
	TCase *tcase = tcase_create("late crashes");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    late_crashes_are_counted_beside_tasks_that_start, 0,
			    KNOWN_RED_SEEDS);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(suite,
			    "late_crashes_are_counted_beside_tasks_that_start");
}

int main(void)
{
	Suite *suite = suite_create("suspects");
	TCase *tcase = tcase_create("tasks under which workers crashed");

	apr_initialize();
	log_init("test_suspects", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, suspect_on_a_stalled_worker_runs_elsewhere,
			    0, SEEDS);
	tcase_add_loop_test(
		tcase, crashes_are_counted_beside_a_host_list_that_fails_often,
		0, SEEDS);
	tcase_add_loop_test(tcase, crashes_are_counted_though_each_owner_dies,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	run_known_red();
	return suite_run(suite);
}
