/*
 * Guards against runs that are taken as stopped, and started a second time, as
 * their worker has more ended runs than it returns at a time. On complete nodes
 * against simulated workers, and on the decoder of a report.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "suite.h"
#include "wire.h"
#include "wire_report.h"

enum {
	FIRST_SEED = 1500,
	SEEDS = 5,
	NODES = 3,
	START_MS = 3000,
	JOBS = 4,
	WIDTH = 200,
	TASK_MS = 60000,
	BEGIN_MS = 5000, /* all tasks have begun */
	LEFT_MS = 200,	 /* of each of them, from then on */
	AWAY_MS = 2000,	 /* all have ended; no lease has */
	END_MS = 8000
};

static void submit_jobs(struct sim *sim, struct sim_job **jobs)
{
	sim_run_for(sim, START_MS);
	sim->workers[0].model.max_runs = JOBS * WIDTH;
	sim->task_cpu_milli = 1;
	sim->task_ms = TASK_MS;
	for (int i = 0; i < JOBS; i++)
		jobs[i] = sim_submit_job(sim, i % NODES, 1, WIDTH);
	sim_run_for(sim, BEGIN_MS);
	ck_assert_uint_eq(sim->started, JOBS * WIDTH);
}

/* Lets all tasks succeed at about the same time, soon. */
static void end_soon(struct sim *sim)
{
	GArray *runs = sim->workers[0].model.runs;

	for (guint i = 0; i < runs->len; i++) {
		struct model_run *run =
			&g_array_index(runs, struct model_run, i);

		run->remaining_ms = LEFT_MS;
		run->fails = false;
	}
}

static void check_each_ran_once(struct sim *sim, struct sim_job **jobs)
{
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_uint_eq(sim->started, JOBS * WIDTH);
	for (int i = 0; i < JOBS; i++)
		ck_assert_int_eq(sim_get_job_state(sim, 0, jobs[i]->id),
				 JOB_DONE);
}

/* All nodes are killed while more tasks end than a worker lists. */
START_TEST(tasks_that_end_without_an_owner_run_once)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, 1);
	struct sim_job *jobs[JOBS];

	submit_jobs(sim, jobs);
	end_soon(sim);
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	sim_run_for(sim, AWAY_MS);
	ck_assert_uint_gt(sim->workers[0].model.ends->len,
			  WORKER_MODEL_LISTED_ENDS);
	for (int i = 0; i < NODES; i++)
		sim_start(sim, i);
	sim_run_for(sim, END_MS);
	check_each_ran_once(sim, jobs);
}
END_TEST

/* The owner stays; for want of the log it cannot acknowledge ends. */
START_TEST(tasks_that_end_without_the_log_run_once)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, 1);
	struct sim_job *jobs[JOBS];

	submit_jobs(sim, jobs);
	end_soon(sim);
	sim->faults.refused_percent = 100;
	sim_run_for(sim, AWAY_MS);
	sim->faults.refused_percent = 0;
	sim_run_for(sim, END_MS);
	check_each_ran_once(sim, jobs);
}
END_TEST

static bool may_have_more(int ends)
{
	struct err err = { .kind = ERR_OK };
	struct worker_report report;
	GString *text = g_string_new(NULL);
	bool more;

	for (int i = 0; i < ends; i++)
		g_string_append_printf(
			text,
			"%s[%d,\"00000000000000a1.0.0.%d\",1,\"done\",\"\"]",
			i ? "," : "", i + 1, i);
	g_string_prepend(text, "{\"clockMs\":1,\"running\":[],\"finished\":[");
	g_string_append(text, "]}");
	ck_assert_int_eq(
		wire_decode_report(text->str, text->len, &report, &err), 0);
	ck_assert_uint_eq(report.end_count, (uint32_t)ends);
	more = report.more_ends;
	worker_report_clear(&report);
	g_string_free(text, TRUE);
	return more;
}

/* A full list of ends must not pass for all of them. */
START_TEST(full_list_of_ends_may_have_more)
{
	ck_assert(!may_have_more(0));
	ck_assert(!may_have_more(WORKER_MODEL_LISTED_ENDS - 1));
	ck_assert(may_have_more(WORKER_MODEL_LISTED_ENDS));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("many ends");
	TCase *tcase = tcase_create("many ends");

	apr_initialize();
	log_init("test_many_ends", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, tasks_that_end_without_an_owner_run_once, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, tasks_that_end_without_the_log_run_once, 0,
			    SEEDS);
	tcase_add_test(tcase, full_list_of_ends_may_have_more);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
