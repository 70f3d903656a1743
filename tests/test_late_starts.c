/*
 * Guards against two runs of a task at the same time after an order without an answer
 * has been executed late: by an incarnation of the worker that the registry does not
 * have, after a takeover, or when the worker is reached again.
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
	/* One worker has room for more. */
	NARROW = 2,
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
	PHASE_MS = 37,
	/* Calls to a worker that is down are given up after that. */
	ORDER_WAIT_MS = 1500,
	DARK_MS = 600,
	/* A worker with no ended run answers a renewal within it. */
	RENEWED_MS = 3000,
	STEP_MS = 10,
	/* Within which starts that have waited for a worker are answered. */
	ANSWERED_MS = 30,
	/* Within which starts without an answer are sent again, and refused. */
	REFUSED_MS = 500,
	/* More than an owner has fences for one worker. */
	/* From the start of the new incarnation to the cut. */
	CUT_AFTER_MS = 2000,
	/* To the death of the owner; runs have begun there. */
	KILL_AFTER_MS = 700,
	/* Until the starts of a job that all get no answer have been sent. */
	SENT_MS = 300,
	/* Longest that orders are executed late, see LATE_RANGE_MS. */
	LONGEST_LATE_MS = 9000,
	/* From the start of a worker to the execution of a late order. */
	BACK_BEFORE_MS = 150,
	/* By which the clock of day is wrong, where it is. */
	WALL_AHEAD_MS = 60000
};

static int worker_with_runs(const struct sim *sim)
{
	for (int i = 0; i < sim->worker_count; i++)
		if (sim->workers[i].model.runs->len)
			return i;
	return 0;
}

static void cut_off(struct sim *sim, int worker)
{
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].cut_from_worker[worker] = true;
}

/* Runs on a worker whose clock is far ahead of that of its next incarnation. */
static struct sim *begin(int seed, int32_t width, int64_t task_ms,
			 int *restarted)
{
	struct sim *sim = sim_create(1500 + (uint64_t)seed, 3, WORKERS);

	sim_set_lease_max(sim, HOLD_MAX_MS);
	sim->task_ms = task_ms;
	sim->runs_succeed = true;
	sim_run_for(sim, 5 * START_MS);
	sim_submit_job(sim, 0, 1, width);
	sim_run_for(sim, START_MS + seed * PHASE_MS);
	*restarted = worker_with_runs(sim);
	ck_assert_uint_gt(sim->workers[*restarted].model.runs->len, 0);
	return sim;
}

/*
 * Starts of a job are without an answer, and are executed seconds later. The worker
 * starts again meanwhile, out of reach of all nodes.
 */
static struct sim *start_late(int seed, int64_t entry_delay_ms, int *restarted)
{
	struct sim *sim = begin(seed, NARROW, LONG_TASK_MS, restarted);

	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, *restarted);
	cut_off(sim, *restarted);
	sim->workers[*restarted].entry_delay_ms = entry_delay_ms;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, *restarted);
	return sim;
}

/* The worker is down for longer than its lease, so that the host list shows that. */
START_TEST(worker_that_returns_after_its_lease_executes_a_late_start)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, 5500);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 2 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The same, and it is in reach and registers at once. */
START_TEST(reachable_worker_that_returns_after_its_lease)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, restarted);
	sim_run_for(sim, 5500);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 2 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

static void reach_again(struct sim *sim, int worker)
{
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].cut_from_worker[worker] = false;
}

/*
 * The owner reaches the worker once no late start counts any more, while the stored
 * list of withheld workers still names it with an end that has passed.
 */
START_TEST(worker_reached_after_the_last_late_start)
{
	int restarted;
	struct sim *sim = start_late(_i, 4 * HOLD_MAX_MS, &restarted);

	sim_run_for(sim, 11600 + 50 * _i);
	reach_again(sim, restarted);
	sim_run_for(sim, 2 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The same at an earlier time. */
START_TEST(worker_reached_before_the_last_late_start)
{
	int restarted;
	struct sim *sim = start_late(_i, 4 * HOLD_MAX_MS, &restarted);

	sim_run_for(sim, 5000 + 300 * _i);
	reach_again(sim, restarted);
	sim_run_for(sim, 2 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The same as the first, with the next owner. */
START_TEST(next_owner_reaches_the_worker_after_the_last_late_start)
{
	int restarted;
	struct sim *sim = start_late(_i, 4 * HOLD_MAX_MS, &restarted);

	sim_kill(sim, fleet_owner(sim));
	sim_run_for(sim, 11000 + 300 * _i);
	reach_again(sim, restarted);
	sim_run_for(sim, 2 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Two takeovers within the time. */
START_TEST(start_before_two_takeovers)
{
	int restarted, first;
	struct sim *sim = start_late(_i, 4 * HOLD_MAX_MS, &restarted);

	first = fleet_owner(sim);
	sim_kill(sim, first);
	sim_run_for(sim, 4500);
	sim_start(sim, first);
	sim_run_for(sim, 1000);
	sim_kill(sim, fleet_owner(sim));
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The next owner has started after the registry has dropped the worker. */
START_TEST(next_owner_does_not_know_the_worker)
{
	int restarted, owner;
	struct sim *sim = start_late(_i, 4 * HOLD_MAX_MS, &restarted);

	owner = fleet_owner(sim);
	sim_set_worker_listed(sim, restarted, false);
	sim_run_for(sim, DOWN_MS);
	for (int i = 0; i < sim->node_count; i++) {
		if (i == owner)
			continue;
		sim_kill(sim, i);
		sim_start(sim, i);
	}
	sim_kill(sim, owner);
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/*
 * A start that is not answered is sent again, and answered. The run fails, the next one
 * begins elsewhere. Then the worker starts again and executes the first start.
 */
START_TEST(late_start_of_a_run_that_has_failed)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);
	struct sim_job *job;

	sim->faults.order_late_percent = 100;
	job = sim_submit_job(sim, 0, 1, WIDTH);
	job->fails_at_once = true;
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_run_for(sim, 1500);
	job->fails_at_once = false;
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The same, and the run has succeeded. */
START_TEST(late_start_of_a_run_that_is_done)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim->task_ms = 0;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_run_for(sim, 2000);
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/*
 * A start that is not answered is sent again, and refused. The run is stopped, the next
 * one begins elsewhere. Then the worker starts again and executes the first start.
 */
START_TEST(late_start_of_a_run_that_was_refused)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim->faults.unhealthy_percent = 100;
	sim_run_for(sim, REFUSED_MS);
	sim->faults.unhealthy_percent = 0;
	sim_run_for(sim, 1500 - REFUSED_MS);
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* An owner is paused while its starts are in flight; it resumes after a takeover. */
START_TEST(paused_owner_resumes)
{
	int restarted, owner;
	struct sim *sim = start_late(_i, 4 * HOLD_MAX_MS, &restarted);

	owner = fleet_owner(sim);
	sim_pause(sim, owner);
	sim_run_for(sim, 2000 + 300 * _i);
	sim_resume(sim, owner);
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Crashes the worker so that the next orders are sent before that is noticed. */
static void crash_unnoticed(struct sim *sim, int worker)
{
	for (int i = 0; i < RENEWED_MS && sim_renewal_in_flight(sim, worker);
	     i += STEP_MS)
		sim_run_for(sim, STEP_MS);
	ck_assert(!sim_renewal_in_flight(sim, worker));
	sim->order_wait_ms = ORDER_WAIT_MS;
	sim_crash_worker(sim, worker);
}

/*
 * A renewal is without an answer. The worker starts again unnoticed, and executes and
 * answers a start of before, so that this counts as settled; then it is cut off. The
 * renewal is executed while that run goes on, and extends its lease.
 */
START_TEST(late_renewal_extends_a_run_whose_start_was_answered)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_run_for(sim, 100 + 50 * _i);
	sim->faults.order_late_percent = 0;
	sim->order_wait_ms = ORDER_WAIT_MS;
	sim_crash_worker(sim, restarted);
	sim_submit_job(sim, 0, 1, WIDTH / 2);
	sim_run_for(sim, 250);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, ANSWERED_MS);
	cut_off(sim, restarted);
	sim_run_for(sim, 4 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* A start is answered by the next incarnation, and its owner is killed at once. */
START_TEST(next_owner_of_a_start_answered_by_the_next_incarnation)
{
	int restarted, owner;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	owner = fleet_owner(sim);
	crash_unnoticed(sim, restarted);
	sim_submit_job(sim, 0, 1, WIDTH / 2);
	sim_run_for(sim, DARK_MS);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, ANSWERED_MS + 10 * _i);
	ck_assert_uint_gt(sim->workers[restarted].model.runs->len, 0);
	cut_off(sim, restarted);
	sim_kill(sim, owner);
	sim_run_for(sim, 4 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/*
 * The next incarnation executes a late start, ends the run, and executes a late
 * renewal whose cursor acknowledges that end unread.
 */
START_TEST(late_cursor_acknowledges_the_end_of_a_late_start)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->task_ms = 0;
	sim_submit_job(sim, 0, 1, 2 * WIDTH);
	sim_run_for(sim, START_MS);
	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, LONGEST_LATE_MS + 500);
	reach_again(sim, restarted);
	sim_run_for(sim, 4 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The list shows the worker down until just before its lease is over. */
START_TEST(worker_that_returns_just_before_its_lease_is_over)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, 3000 + 50 * _i);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 3 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Late starts of a gang. */
START_TEST(late_starts_of_a_gang)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->gang = true;
	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 4 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The next owner does not find the run of a late start, and places the task again. */
START_TEST(next_owner_finds_no_run_before_the_restart)
{
	int restarted;
	struct sim *sim = begin(_i, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, SENT_MS);
	sim->faults.order_late_percent = 0;
	sim_kill(sim, fleet_owner(sim));
	sim_run_for(sim, 3500);
	sim_crash_worker(sim, restarted);
	cut_off(sim, restarted);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_run_for(sim, DOWN_MS);
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, 4 * HOLD_MAX_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/*
 * A renewal fails, so that the fence is raised, before a start is answered by the next
 * incarnation. The clock in that answer no longer makes the owner count the longest lease.
 */
START_TEST(start_answered_by_the_next_incarnation_after_a_failed_renewal)
{
	int restarted;
	struct sim *sim = begin(SEEDS - 1, NARROW, LONG_TASK_MS, &restarted);

	sim->faults.order_late_percent = 100;
	sim_run_for(sim, 950 + 10 * _i);
	sim->faults.order_late_percent = 0;
	sim->order_wait_ms = ORDER_WAIT_MS;
	sim_crash_worker(sim, restarted);
	sim_submit_job(sim, 0, 1, WIDTH / 2);
	sim_run_for(sim, 250);
	sim->workers[restarted].entry_delay_ms = 4 * HOLD_MAX_MS;
	sim_restart_worker(sim, restarted);
	sim_run_for(sim, ANSWERED_MS);
	cut_off(sim, restarted);
	sim_run_for(sim, 5000);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Runs one test of KNOWN-RED.txt; its failures are printed and not counted. */
static void run_known_red(const TTest *test, const char *name)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create("known red");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test, 0, SEEDS);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(suite, name);
}

#define RUN_KNOWN_RED(test) run_known_red(test, #test)

int main(void)
{
	Suite *suite = suite_create("late starts");
	TCase *tcase = tcase_create("leases");

	apr_initialize();
	log_init("test_late_starts", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(
		tcase, reachable_worker_that_returns_after_its_lease, 0, SEEDS);
	tcase_add_loop_test(tcase, worker_reached_after_the_last_late_start, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, worker_reached_before_the_last_late_start, 0,
			    SEEDS);
	tcase_add_loop_test(
		tcase, next_owner_reaches_the_worker_after_the_last_late_start,
		0, SEEDS);
	tcase_add_loop_test(tcase, start_before_two_takeovers, 0, SEEDS);
	tcase_add_loop_test(tcase, paused_owner_resumes, 0, SEEDS);
	tcase_add_loop_test(tcase,
			    late_renewal_extends_a_run_whose_start_was_answered,
			    0, SEEDS);
	tcase_add_loop_test(
		tcase, next_owner_of_a_start_answered_by_the_next_incarnation,
		0, SEEDS);
	tcase_add_loop_test(tcase,
			    worker_that_returns_just_before_its_lease_is_over,
			    0, SEEDS);
	tcase_add_loop_test(tcase, late_starts_of_a_gang, 0, SEEDS);
	tcase_add_loop_test(
		tcase,
		start_answered_by_the_next_incarnation_after_a_failed_renewal,
		0, SEEDS);
	suite_add_tcase(suite, tcase);
	RUN_KNOWN_RED(
		worker_that_returns_after_its_lease_executes_a_late_start);
	RUN_KNOWN_RED(next_owner_does_not_know_the_worker);
	RUN_KNOWN_RED(next_owner_finds_no_run_before_the_restart);
	RUN_KNOWN_RED(late_start_of_a_run_that_has_failed);
	RUN_KNOWN_RED(late_start_of_a_run_that_was_refused);
	RUN_KNOWN_RED(late_start_of_a_run_that_is_done);
	RUN_KNOWN_RED(late_cursor_acknowledges_the_end_of_a_late_start);
	return suite_run(suite);
}
