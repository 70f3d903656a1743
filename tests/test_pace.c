/*
 * Tests of the pace of tasks that fill beside tasks that serve: the decision alone, and
 * complete nodes against a simulated log service.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_pace.h"
#include "fleet_play.h"
#include "log.h"
#include "pace.h"
#include "suite.h"

enum {
	SEEDS = 10,
	NODES = 3,
	WORKERS = 4,
	START_MS = 4000,
	RUN_MS = 20000,
	FILL_MS = 60 * 1000,
	TARGET_MS = 100,
	ALONE_MS = 60,
	/* A task that fills takes one that serves over its target. */
	ADDED_MS = 80,
	/* Half of its speed would not. */
	LITTLE_ADDED_MS = 30,
	UNANSWERED_PERCENT = 40,
	REPORT_MS = 280
};

static int first_seed = 1;

START_TEST(two_steps_lead_to_a_standstill)
{
	struct pace pace;
	int64_t now_ms = 0;

	pace_reset(&pace);
	ck_assert(pace_update(&pace, -1, now_ms));
	ck_assert_int_eq(pace.percent, PACE_FULL);
	ck_assert(pace_update(&pace, 101, ++now_ms));
	ck_assert_int_eq(pace.percent, PACE_SLOW);
	/* The figure may be of before the step. */
	ck_assert(!pace_update(&pace, 200, now_ms + PACE_SETTLE_MS - 1));
	now_ms += PACE_SETTLE_MS;
	ck_assert(pace_update(&pace, 200, now_ms));
	ck_assert_int_eq(pace.percent, 0);
	ck_assert(!pace_update(&pace, 200, now_ms + 60000));
	ck_assert_int_eq(pace.percent, 0);
}
END_TEST

START_TEST(pace_rises_while_targets_are_met_with_ease)
{
	struct pace pace;
	int64_t now_ms = 10000;

	pace_reset(&pace);
	for (int i = 0; i < 10; i++, now_ms += PACE_SETTLE_MS)
		pace_update(&pace, PACE_EASE_PERCENT, now_ms);
	ck_assert_int_eq(pace.percent, PACE_FULL);
	/* Between ease and the target it stays. */
	pace_update(&pace, 101, now_ms);
	now_ms += 10 * PACE_SETTLE_MS;
	ck_assert(!pace_update(&pace, PACE_EASE_PERCENT + 1, now_ms));
	ck_assert_int_eq(pace.percent, PACE_SLOW);
}
END_TEST

/* A task that fills and does harm at any pace is tried ever more rarely. */
START_TEST(trials_that_fail_become_rare)
{
	struct pace pace;
	int trials = 0;

	pace_reset(&pace);
	for (int64_t now_ms = 0; now_ms < 2 * 60 * 1000; now_ms += REPORT_MS)
		trials += pace_update(&pace, pace.percent ? 200 : 50, now_ms) &&
			  pace.percent;
	ck_assert_int_ge(trials, 4);
	ck_assert_int_le(trials, 8);
}
END_TEST

START_TEST(what_was_too_much_is_not_tried_at_once)
{
	struct pace pace;
	int64_t now_ms = 10000, end_ms;

	pace_reset(&pace);
	pace_update(&pace, -1, now_ms);
	pace_update(&pace, 120, now_ms);
	end_ms = now_ms + PACE_RETRY_MS;
	for (; now_ms < end_ms; now_ms += REPORT_MS) {
		pace_update(&pace, 50, now_ms);
		ck_assert_int_le(pace.percent, PACE_FULL - PACE_UP);
	}
	for (int i = 0; i < 5; i++, now_ms += PACE_SETTLE_MS)
		pace_update(&pace, 50, now_ms);
	ck_assert_int_eq(pace.percent, PACE_FULL);
}
END_TEST

/* Tasks that fill and serve on all workers. */
static struct sim *begin(int seed, int32_t added_ms)
{
	struct sim *sim = sim_create((uint64_t)first_seed + (uint64_t)seed,
				     NODES, WORKERS);

	sim->tail_ms = ALONE_MS;
	sim->added_ms = added_ms;
	sim->runs_succeed = true;
	sim_run_for(sim, START_MS);
	sim_submit_serving_job(sim, 0, WORKERS, TARGET_MS);
	sim->fills = true;
	sim->task_ms = FILL_MS;
	sim_submit_job(sim, 1, 1, WORKERS);
	sim_run_for(sim, START_MS);
	ck_assert_uint_eq(sim->started, 2 * WORKERS);
	return sim;
}

static int32_t pace_of_fillers(const struct sim *sim)
{
	int32_t sum = 0;

	for (int i = 0; i < sim->worker_count; i++)
		for (guint k = 0; k < sim->workers[i].model.runs->len; k++) {
			const struct model_run *run =
				&g_array_index(sim->workers[i].model.runs,
					       struct model_run, k);

			sum += run->target_ms ? 0 : run->pace;
		}
	return sum / WORKERS;
}

START_TEST(tasks_that_fill_are_slowed_down)
{
	struct sim *sim = begin(_i, ADDED_MS);

	sim_run_for(sim, RUN_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	/* They take up what is left, as far as it is found out. */
	ck_assert_int_gt(pace_of_fillers(sim), 5);
	ck_assert_int_le(pace_of_fillers(sim), 50);
	sim->added_ms = LITTLE_ADDED_MS / 2;
	sim_run_for(sim, RUN_MS);
	ck_assert_int_eq(pace_of_fillers(sim), PACE_FULL);
}
END_TEST

START_TEST(tasks_that_do_no_harm_work_at_full_speed)
{
	struct sim *sim = begin(_i, LITTLE_ADDED_MS / 2);

	sim_run_for(sim, RUN_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_eq(pace_of_fillers(sim), PACE_FULL);
}
END_TEST

/* The harm begins later, while orders are unanswered and carried out late. */
START_TEST(pace_holds_though_orders_are_unanswered)
{
	struct sim *sim = begin(_i, 0);

	sim->order_timeouts = true;
	sim->faults.order_late_percent = UNANSWERED_PERCENT;
	sim_run_for(sim, START_MS);
	for (int i = 0; i < 4; i++) {
		sim->added_ms = i % 2 ? 0 : ADDED_MS;
		sim_run_for(sim, RUN_MS / 2);
	}
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The next owner does not know what the one before it has ordered. */
START_TEST(next_owner_finds_the_pace)
{
	struct sim *sim = begin(_i, ADDED_MS);

	sim_run_for(sim, RUN_MS / 2 + 100 * _i);
	sim_kill(sim, fleet_owner(sim));
	sim_run_for(sim, RUN_MS / 2);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	sim->added_ms = 0;
	sim_run_for(sim, RUN_MS);
	ck_assert_int_eq(pace_of_fillers(sim), PACE_FULL);
}
END_TEST

/* The others are cancelled: what stood still for them goes on. */
START_TEST(tasks_go_on_once_none_serves)
{
	struct sim *sim =
		sim_create((uint64_t)first_seed + (uint64_t)_i, NODES, WORKERS);
	struct sim_job *serving;

	sim->tail_ms = ALONE_MS;
	sim->added_ms = 100 * ADDED_MS;
	sim->runs_succeed = true;
	sim_run_for(sim, START_MS);
	serving = sim_submit_serving_job(sim, 0, WORKERS, TARGET_MS);
	sim->fills = true;
	sim->task_ms = FILL_MS;
	sim_submit_job(sim, 1, 1, WORKERS);
	sim_run_for(sim, START_MS);
	/* Now and then it is tried whether they may go on. */
	ck_assert_int_le(pace_of_fillers(sim), PACE_UP);
	sim_cancel(sim, 0, serving);
	sim_run_for(sim, START_MS);
	ck_assert_int_eq(pace_of_fillers(sim), PACE_FULL);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* What has stood still for long is moved to a worker where no other task serves. */
START_TEST(starved_task_is_moved)
{
	struct sim *sim =
		sim_create((uint64_t)first_seed + (uint64_t)_i, NODES, WORKERS);
	struct sim_job *serving;

	sim->tail_ms = ALONE_MS;
	sim->added_ms = 100 * ADDED_MS;
	sim->runs_succeed = true;
	sim_run_for(sim, START_MS);
	serving = sim_submit_serving_job(sim, 0, WORKERS, TARGET_MS);
	sim->fills = true;
	sim->task_ms = 2 * FILL_MS;
	sim_submit_job(sim, 1, 1, 1);
	sim->fills = false;
	sim_run_for(sim, START_MS);
	sim_cancel(sim, 0, serving);
	sim_submit_serving_job(sim, 0, WORKERS - 1, TARGET_MS);
	sim_run_for(sim, 2 * RUN_MS);
	ck_assert_int_eq(pace_of_fillers(sim) * WORKERS, PACE_FULL);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The check must detect tasks that go on at full speed. */
START_TEST(check_detects_harm)
{
	struct sim *sim = begin(0, 0);

	sim->paces_ignored = true;
	sim->added_ms = ADDED_MS;
	sim_run_for(sim, RUN_MS);
	ck_assert(sim->broken[0]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("pace");
	TCase *decision = tcase_create("decision");
	TCase *nodes = tcase_create("nodes");
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");
	int seeds = count ? atoi(count) : SEEDS;

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_pace", !getenv("PLANK_VERBOSE"));
	tcase_add_test(decision, two_steps_lead_to_a_standstill);
	tcase_add_test(decision, pace_rises_while_targets_are_met_with_ease);
	tcase_add_test(decision, trials_that_fail_become_rare);
	tcase_add_test(decision, what_was_too_much_is_not_tried_at_once);
	suite_add_tcase(suite, decision);
	tcase_set_timeout(nodes, 120);
	tcase_add_loop_test(nodes, tasks_that_fill_are_slowed_down, 0, seeds);
	tcase_add_loop_test(nodes, tasks_that_do_no_harm_work_at_full_speed, 0,
			    seeds);
	tcase_add_loop_test(nodes, pace_holds_though_orders_are_unanswered, 0,
			    seeds);
	tcase_add_loop_test(nodes, next_owner_finds_the_pace, 0, seeds);
	tcase_add_loop_test(nodes, tasks_go_on_once_none_serves, 0, seeds);
	tcase_add_loop_test(nodes, starved_task_is_moved, 0, seeds);
	tcase_add_test(nodes, check_detects_harm);
	suite_add_tcase(suite, nodes);
	return suite_run(suite);
}
