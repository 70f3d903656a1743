/*
 * Guards against nodes that turn callers away, or let their memberships run
 * out, while the log executes their writes and answers some of them late or
 * never. On complete nodes against a simulated log service.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "fleet_sim.h"
#include "log.h"
#include "node_int.h"
#include "suite.h"

enum {
	FIRST_SEED = 600,
	SEEDS = 5,
	NODES = 3,
	WORKERS = 6,
	START_MS = 3000,
	STEP_MS = 10,
	UNANSWERED_PERCENT = 46,
	SLOW_ANSWER_MS = 110,
	/* Two appends, one after the other, are answered within the deadline. */
	VERY_SLOW_ANSWER_MS = 450,
	/* They are not. */
	TOO_SLOW_ANSWER_MS = 1450,
	JOBS = 60,
	JOB_GAP_MS = 100,
	SOON_MS = 1000,
	DEADLINE_MS = 3000, /* of submissions in the simulation */
	MEMBERS_MS = 10000,
	SOON_PERCENT = 80,
	SLOW_PERCENT = 95,
	VERY_SLOW_PERCENT = 80,
	HELD_PERCENT = 99,
	/* An outage is recognised by then. */
	AWAY_MS = 1100
};

struct submission {
	struct sim_job *job;
	int64_t at_ms;
	int64_t took_ms; /* until it was accepted; 0: it was not */
};

static void note_accepted(const struct sim *sim, struct submission *all,
			  int count)
{
	for (int i = 0; i < count; i++)
		if (all[i].job->accepted && !all[i].took_ms)
			all[i].took_ms =
				MAX(sim->clk.manual_ms - all[i].at_ms, 1);
}

/* Submits jobs at all nodes; percentage of those that are accepted in time. */
static int percent_accepted(struct sim *sim, int64_t within_ms)
{
	struct submission all[JOBS] = { 0 };
	int in_time = 0;

	for (int i = 0; i < JOBS; i++) {
		all[i].job = sim_submit_job(sim, i % NODES, 1, 1);
		all[i].at_ms = sim->clk.manual_ms;
		for (int ms = 0; ms < JOB_GAP_MS; ms += STEP_MS) {
			sim_run_for(sim, STEP_MS);
			note_accepted(sim, all, i + 1);
		}
	}
	for (int ms = 0; ms < DEADLINE_MS; ms += STEP_MS) {
		sim_run_for(sim, STEP_MS);
		note_accepted(sim, all, JOBS);
	}
	for (int i = 0; i < JOBS; i++)
		in_time += all[i].took_ms && all[i].took_ms <= within_ms;
	return in_time * 100 / JOBS;
}

static void check_ends(struct sim *sim)
{
	struct fleet_play play = { 0 };

	fleet_lift_faults(sim);
	sim_run_for(sim, 10000);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	fleet_check_ends(sim, &play);
	ck_assert_msg(!play.broken[0], "%s", play.broken);
}

/* Callers were refused while the log had their records and its answers were
   lost. */
START_TEST(jobs_are_accepted_while_answers_are_lost)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, WORKERS);

	sim_run_for(sim, START_MS);
	sim->faults.unanswered_percent = UNANSWERED_PERCENT;
	ck_assert_int_ge(percent_accepted(sim, SOON_MS), SOON_PERCENT);
	check_ends(sim);
}
END_TEST

/* Callers must not be refused by a log that only answers slowly. */
START_TEST(jobs_are_accepted_while_answers_are_slow)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, WORKERS);

	sim_run_for(sim, START_MS);
	sim->faults.append_answer_ms = SLOW_ANSWER_MS;
	ck_assert_int_ge(percent_accepted(sim, SOON_MS), SLOW_PERCENT);
	check_ends(sim);
}
END_TEST

/* Callers were refused after 400 ms of an append, though both appends would
   have been answered before their deadline. */
START_TEST(jobs_are_accepted_while_answers_are_very_slow)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, WORKERS);

	sim_run_for(sim, START_MS);
	sim->faults.append_answer_ms = VERY_SLOW_ANSWER_MS;
	ck_assert_int_ge(percent_accepted(sim, DEADLINE_MS), VERY_SLOW_PERCENT);
	check_ends(sim);
}
END_TEST

static bool holds_membership(const struct sim *sim, int index)
{
	const struct node *node = sim->nodes[index].node;

	return sim->clk.manual_ms < group_authority_end_ms(node->group);
}

/* Owners stopped their work though the log kept their memberships. */
START_TEST(memberships_are_held_while_answers_are_lost)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, WORKERS);
	int held = 0;

	sim_run_for(sim, START_MS);
	sim->faults.unanswered_percent = UNANSWERED_PERCENT;
	for (int ms = 0; ms < MEMBERS_MS; ms += STEP_MS) {
		sim_run_for(sim, STEP_MS);
		for (int i = 0; i < NODES; i++)
			held += holds_membership(sim, i);
	}
	ck_assert_int_ge(held * 100,
			 HELD_PERCENT * NODES * (MEMBERS_MS / STEP_MS));
}
END_TEST

/* A caller of a node whose log is away must learn at once that its job will not
   run, and not only at its deadline. */
START_TEST(log_that_is_away_is_recognised_within_a_second)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, WORKERS);
	struct sim_job *first, *waiting, *late;

	sim_run_for(sim, START_MS);
	sim->nodes[0].cut_from_log = true;
	first = sim_submit_job(sim, 0, 1, 1);
	sim_run_for(sim, JOB_GAP_MS);
	waiting = sim_submit_job(sim, 0, 1, 1);
	sim_run_for(sim, AWAY_MS - JOB_GAP_MS);
	late = sim_submit_job(sim, 0, 1, 1);
	ck_assert(late->rejected);
	ck_assert(waiting->rejected);
	ck_assert(!first->rejected);
	check_ends(sim);
}
END_TEST

/* A node that refuses callers measures nothing new; it must not refuse them long
   after a slow spell. */
START_TEST(old_measurements_refuse_nobody)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, WORKERS);

	sim_run_for(sim, START_MS);
	sim->faults.append_answer_ms = TOO_SLOW_ANSWER_MS;
	percent_accepted(sim, DEADLINE_MS);
	sim->faults.append_answer_ms = 0;
	sim_run_for(sim, DEADLINE_MS);
	ck_assert_int_eq(percent_accepted(sim, SOON_MS), 100);
	check_ends(sim);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unanswered");
	TCase *tcase = tcase_create("unanswered");

	apr_initialize();
	log_init("test_unanswered", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, jobs_are_accepted_while_answers_are_lost, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, jobs_are_accepted_while_answers_are_slow, 0,
			    SEEDS);
	tcase_add_loop_test(
		tcase, jobs_are_accepted_while_answers_are_very_slow, 0, SEEDS);
	tcase_add_loop_test(tcase,
			    log_that_is_away_is_recognised_within_a_second, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, memberships_are_held_while_answers_are_lost,
			    0, SEEDS);
	tcase_add_loop_test(tcase, old_measurements_refuse_nobody, 0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
