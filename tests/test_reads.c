/*
 * Guards against nodes that together read more of the log than the log service
 * can send: owners of pools then decide on a state that is many seconds old. A
 * few large nodes own the pools, many small ones only accept requests.
 */

#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	/* The users' rules: a task of a cancelled job is gone, and none starts,
	   so long after the acknowledgement, which has to come in ACK_MS. */
	CANCEL_MS = 5000,
	ACK_MS = 4000,
	/* A small node reads less than this part of what a large one reads. */
	SMALL_DIVISOR = 5,

	FIRST_SEED = 700,
	SEEDS = 3,
	LARGE = 3,
	SMALL = 37,
	WORKERS = 48,
	START_MS = 3000,
	STEP_MS = 20,
	/* Between two jobs, submitted at all nodes by turns: 160 tasks a second,
	   half of what the workers have room for. */
	SUBMIT_MS = 100,
	WIDTH = 16,
	/* A worker writes to the registry so often. */
	ENTRY_MS = 1000,
	/*
	 * The load adds about 42 bytes a millisecond to the log. Three times
	 * what the large nodes read, and the small ones with 60 bytes for each
	 * of three changes of a job; a third of what all nodes read of it all.
	 */
	READ_BYTES_PER_MS = 570,
	/* Long enough for late reads to add up. */
	LOAD_MS = 9000,
	LASTING_JOBS = 4,
	LASTING_WIDTH = 6,
	WATCHED_MS = 16000
};

/* Runs the load: jobs submitted at all nodes, and entries of all workers. */
static void run_load_step(struct sim *sim)
{
	int64_t now_ms = sim->clk.manual_ms;

	if (now_ms % SUBMIT_MS == 0)
		sim_submit_job(sim, (int)(now_ms / SUBMIT_MS % sim->node_count),
			       1, WIDTH);
	if (now_ms % ENTRY_MS == 0)
		for (int i = 0; i < sim->worker_count; i++)
			sim_set_worker_listed(sim, i, true);
	sim_run_for(sim, STEP_MS);
}

static void run_load(struct sim *sim, int64_t ms)
{
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += STEP_MS)
		run_load_step(sim);
}

static bool is_running(const struct sim *sim, const struct sim_job *job)
{
	for (int i = 0; i < sim->worker_count; i++) {
		GArray *runs = sim->workers[i].model.runs;

		for (guint j = 0; j < runs->len; j++)
			if (g_str_has_prefix(
				    g_array_index(runs, struct model_run, j)
					    .task,
				    job->id))
				return true;
	}
	return false;
}

/* When the cancel was acknowledged, or should have been. */
static int64_t due_ms(const struct sim_job *job, int64_t asked_ms)
{
	return job->cancelled_ms ? job->cancelled_ms : asked_ms + ACK_MS;
}

/*
 * Cancels the jobs at large and small nodes and runs the load.
 *
 * RETURN VALUE
 *	Longest time from an acknowledgement to the end of the job's last run.
 */
static int64_t cancel_and_watch(struct sim *sim, struct sim_job **jobs)
{
	int64_t asked_ms = sim->clk.manual_ms;
	int64_t last_run_ms[LASTING_JOBS] = { 0 };
	int64_t longest_ms = 0;

	for (int i = 0; i < LASTING_JOBS; i++)
		sim_cancel(sim, i * sim->node_count / LASTING_JOBS, jobs[i]);
	while (sim->clk.manual_ms < asked_ms + WATCHED_MS) {
		run_load_step(sim);
		for (int i = 0; i < LASTING_JOBS; i++)
			if (is_running(sim, jobs[i]))
				last_run_ms[i] = sim->clk.manual_ms;
	}
	for (int i = 0; i < LASTING_JOBS; i++)
		longest_ms = MAX(longest_ms,
				 last_run_ms[i] - due_ms(jobs[i], asked_ms));
	return longest_ms;
}

static void check_cancels(struct sim *sim)
{
	struct sim_job *jobs[LASTING_JOBS];
	int64_t delay_ms;

	sim_run_for(sim, START_MS);
	for (int i = 0; i < LASTING_JOBS; i++)
		jobs[i] = sim_submit_lasting_job(sim, i, LASTING_WIDTH);
	sim_run_for(sim, START_MS);
	for (int i = 0; i < LASTING_JOBS; i++)
		ck_assert(is_running(sim, jobs[i]));
	sim->read_bytes_per_ms = READ_BYTES_PER_MS;
	run_load(sim, LOAD_MS);
	delay_ms = cancel_and_watch(sim, jobs);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_msg(delay_ms <= CANCEL_MS,
		      "a task was at work %" G_GINT64_FORMAT
		      " ms after the cancel of its job was acknowledged",
		      delay_ms);
}

/* Guards against tasks that run on or start though their job was cancelled. */
START_TEST(cancel_is_carried_out_while_many_nodes_follow_the_log)
{
	check_cancels(sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE, SMALL,
				       WORKERS));
}
END_TEST

/*
 * Guards against the same where all nodes are large enough to own pools: each of
 * them reads all jobs and the registry, whatever it owns.
 */
START_TEST(cancel_is_carried_out_while_all_nodes_may_own_pools)
{
	check_cancels(sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE + SMALL,
				       0, WORKERS));
}
END_TEST

static uint64_t count_most_read(const struct sim *sim, int from, int to)
{
	uint64_t most = 0;

	for (int i = from; i < to; i++)
		most = MAX(most, sim->nodes[i].read_bytes);
	return most;
}

static uint64_t count_least_read(const struct sim *sim, int from, int to)
{
	uint64_t least = UINT64_MAX;

	for (int i = from; i < to; i++)
		least = MIN(least, sim->nodes[i].read_bytes);
	return least;
}

/* Guards against reads that grow with the small nodes times all jobs' tasks. */
START_TEST(small_nodes_read_less_than_the_platforms_jobs)
{
	struct sim *sim = sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE,
					   SMALL, WORKERS);
	uint64_t large;
	uint64_t small;

	sim_run_for(sim, START_MS);
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].read_bytes = 0;
	run_load(sim, LOAD_MS);
	large = count_least_read(sim, 0, LARGE);
	small = count_most_read(sim, LARGE, sim->node_count);
	ck_assert_uint_gt(sim->started, LOAD_MS / SUBMIT_MS * WIDTH / 2);
	ck_assert_msg(small * SMALL_DIVISOR < large,
		      "a small node read %" G_GUINT64_FORMAT
		      " bytes, a large one %" G_GUINT64_FORMAT,
		      small, large);
}
END_TEST

/* Runs the test listed in KNOWN-RED.txt and prints how it ends. */
static void run_known_red(void)
{
	Suite *suite = suite_create("known red");
	TCase *tcase = tcase_create("known red");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    cancel_is_carried_out_while_all_nodes_may_own_pools,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(
		suite, "cancel_is_carried_out_while_all_nodes_may_own_pools");
}

int main(void)
{
	Suite *suite = suite_create("reads");
	TCase *tcase = tcase_create("reads");

	apr_initialize();
	log_init("test_reads", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(
		tcase, cancel_is_carried_out_while_many_nodes_follow_the_log, 0,
		SEEDS);
	tcase_add_loop_test(
		tcase, small_nodes_read_less_than_the_platforms_jobs, 0, SEEDS);
	suite_add_tcase(suite, tcase);
	run_known_red();
	return suite_run(suite);
}
