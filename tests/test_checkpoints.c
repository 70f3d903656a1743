/*
 * Guards against checkpoints that are lost, or that take the runs beside them with
 * them, by their kind or as reports with them arrive slowly, and against members of a
 * gang that start from different ones.
 */

#include <stdlib.h>
#include <string.h>

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
	TASK_MS = 6000,
	/* Runs have listed what they have saved. */
	SAVED_MS = 2500,
	/* Well over the end of a lease and of all tasks. */
	FINISH_MS = 40000,
	/* Longer than a lease. */
	REPORT_MS = 6000
};

static struct sim *begin(int seed)
{
	struct sim *sim = sim_create(2300 + (uint64_t)seed, 3, WORKERS);

	sim->task_ms = TASK_MS;
	sim->runs_succeed = true;
	sim->saves = true;
	sim_run_for(sim, START_MS);
	return sim;
}

static int worker_with_run(const struct sim *sim, const char *id)
{
	for (int i = 0; i < sim->worker_count; i++) {
		const GArray *runs = sim->workers[i].model.runs;

		for (guint j = 0; sim->workers[i].up && j < runs->len; j++)
			if (g_str_has_prefix(
				    g_array_index(runs, struct model_run, j)
					    .task,
				    id))
				return i;
	}
	return -1;
}

static void check_done(struct sim *sim, const struct sim_job *job)
{
	ck_assert(job->accepted);
	sim_run_for(sim, FINISH_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
}

/* Such a checkpoint costs no lease, and the one before it is not forgotten. */
START_TEST(checkpoint_before_an_unstorable_one_is_kept)
{
	struct sim *sim = begin(_i);
	const struct sim_job *job = sim_submit_job(sim, 0, 1, 1);

	sim_run_for(sim, SAVED_MS);
	ck_assert_str_eq(sim->last_carried, "");
	sim->saves_unstorable = true;
	sim_run_for(sim, 2000);
	ck_assert_int_eq(sim->ended[END_LAPSED], 0);
	sim_crash_worker(sim, worker_with_run(sim, job->id));
	check_done(sim, job);
	ck_assert_msg(g_str_has_prefix(sim->last_carried, job->id), "%s",
		      sim->last_carried);
}
END_TEST

/* Workers of a gang crash together, when its members have listed different ones. */
START_TEST(members_of_a_gang_start_from_one_checkpoint)
{
	struct sim *sim = begin(_i);
	const struct sim_job *job;
	int worker;

	sim->gang = true;
	job = sim_submit_job(sim, 0, 1, 2 + _i % 3);
	sim_run_for(sim, SAVED_MS + 37 * _i);
	while ((worker = worker_with_run(sim, job->id)) >= 0)
		sim_crash_worker(sim, worker);
	sim_run_for(sim, 500);
	for (int i = 0; i < WORKERS; i++)
		if (!sim->workers[i].up)
			sim_restart_worker(sim, i);
	check_done(sim, job);
}
END_TEST

/* The owner is lost with them, so that the next one goes by what is stored. */
START_TEST(members_of_a_gang_start_from_one_checkpoint_after_a_takeover)
{
	struct sim *sim = begin(_i);
	const struct sim_job *job;
	int worker;

	sim->gang = true;
	job = sim_submit_job(sim, 0, 1, 2 + _i % 3);
	sim_run_for(sim, SAVED_MS + 37 * _i);
	worker = worker_with_run(sim, job->id);
	sim_crash_worker(sim, worker);
	sim_run_for(sim, 1500);
	sim_kill(sim, fleet_owner(sim));
	sim_restart_worker(sim, worker);
	sim_run_for(sim, 2000);
	worker = worker_with_run(sim, job->id);
	if (worker >= 0)
		sim_crash_worker(sim, worker);
	for (int i = 0; i < sim->node_count; i++)
		if (!sim->nodes[i].alive)
			sim_start(sim, i);
	check_done(sim, job);
}
END_TEST

static const struct sim_job *submit_slow(struct sim *sim)
{
	const struct sim_job *job;

	sim->report_ms = REPORT_MS;
	job = sim_submit_job(sim, 0, 2, 6);
	sim_run_for(sim, SAVED_MS);
	return job;
}

/* All leases are kept, and no task is started again for a run that is only not read of. */
START_TEST(no_run_lapses_while_reports_arrive_slowly)
{
	struct sim *sim = begin(_i);
	const struct sim_job *job = submit_slow(sim);

	check_done(sim, job);
	ck_assert_int_eq(sim->ended[END_LAPSED], 0);
}
END_TEST

/*
 * A worker is lost, and then the owner: runs of both lapse or are found again, and no
 * task runs twice, as a report that arrives slowly tells what was so seconds ago.
 */
START_TEST(tasks_run_once_while_reports_arrive_slowly)
{
	struct sim *sim = begin(_i);
	const struct sim_job *job = submit_slow(sim);
	int worker = worker_with_run(sim, job->id);

	if (worker >= 0)
		sim_crash_worker(sim, worker);
	sim_run_for(sim, 200 * _i);
	sim_kill(sim, fleet_owner(sim));
	sim_run_for(sim, 1000);
	if (worker >= 0)
		sim_restart_worker(sim, worker);
	for (int i = 0; i < sim->node_count; i++)
		if (!sim->nodes[i].alive)
			sim_start(sim, i);
	check_done(sim, job);
}
END_TEST

/*
 * A new owner extends no lease before it has read one whole report of the worker, as
 * only that tells which life of the worker it is and what runs there.
 */
START_TEST(no_run_lapses_as_the_owner_changes_and_reports_arrive_slowly)
{
	struct sim *sim = begin(_i);
	const struct sim_job *job = submit_slow(sim);

	sim_kill(sim, fleet_owner(sim));
	check_done(sim, job);
	ck_assert_int_eq(sim->ended[END_LAPSED], 0);
}
END_TEST

static void run_known_red(void)
{
	Suite *suite = suite_create("checkpoints, known red");
	TCase *tcase = tcase_create("what runs have saved");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(
		tcase,
		no_run_lapses_as_the_owner_changes_and_reports_arrive_slowly, 0,
		SEEDS);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(suite, "test_checkpoints");
}

int main(void)
{
	Suite *suite = suite_create("checkpoints");
	TCase *tcase = tcase_create("what runs have saved");

	apr_initialize();
	log_init("test_checkpoints", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, checkpoint_before_an_unstorable_one_is_kept,
			    0, SEEDS);
	tcase_add_loop_test(tcase, members_of_a_gang_start_from_one_checkpoint,
			    0, SEEDS);
	tcase_add_loop_test(
		tcase,
		members_of_a_gang_start_from_one_checkpoint_after_a_takeover, 0,
		SEEDS);
	tcase_add_loop_test(tcase, no_run_lapses_while_reports_arrive_slowly, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, tasks_run_once_while_reports_arrive_slowly,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	run_known_red();
	return suite_run(suite);
}
