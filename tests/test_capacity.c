/*
 * Tests of workers that do not guard their capacity, and whose capacity shrinks
 * and grows while they run, on complete nodes against a simulated log service.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_capacity.h"
#include "fleet_play.h"
#include "log.h"
#include "suite.h"

enum {
	START_MS = 3000,
	WORKERS = 4,
	SEEDS = 25,
	LATE_SEEDS =
		10, /* in some the late start comes before its lease ends */
	/* Within so many seeds the check must have detected a disabled guard. */
	DETECTION_SEEDS = 5
};

static int first_seed = 1;

static struct sim *create_unguarded(uint64_t seed)
{
	struct sim *sim = sim_create(seed, 3, WORKERS);

	fleet_capacity_unguard(sim);
	sim_run_for(sim, START_MS);
	return sim;
}

static void check_ends(struct sim *sim)
{
	struct fleet_play play = { 0 };

	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	fleet_check_ends(sim, &play);
	ck_assert_msg(!play.broken[0], "%s", play.broken);
}

/* Jobs must wait, and not fail, while no worker can hold their tasks. */
START_TEST(tasks_wait_while_no_worker_can_hold_them)
{
	struct sim *sim = create_unguarded(1);
	struct sim_job *job;

	for (int i = 1; i < WORKERS; i++)
		fleet_capacity_set(sim, i, 0, 0);
	fleet_capacity_set(sim, 0, 500, FLEET_MEM_MIB);
	sim_run_for(sim, FLEET_SHRUNK_MS);
	job = sim_submit_job(sim, 0, 1, 4);
	sim_run_for(sim, 8000);
	ck_assert(job->accepted);
	ck_assert_uint_eq(sim->started, 0);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_QUEUED);
	fleet_capacity_restore(sim);
	sim_run_for(sim, 1500);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	check_ends(sim);
}
END_TEST

/* Tasks that fit must not wait behind those that no worker can hold now. */
START_TEST(smaller_tasks_pass_those_that_wait_for_room)
{
	struct sim *sim = create_unguarded(2);
	struct sim_job *large, *small;

	for (int i = 0; i < WORKERS; i++)
		fleet_capacity_set(sim, i, 1000, FLEET_MEM_MIB);
	sim_run_for(sim, 500);
	sim->task_cpu_milli = 2000;
	large = sim_submit_job(sim, 0, 1, 2);
	sim_run_for(sim, 500);
	sim->task_cpu_milli = 1000;
	small = sim_submit_job(sim, 0, 1, 2);
	sim_run_for(sim, 3000);
	ck_assert_int_eq(sim_get_job_state(sim, 0, small->id), JOB_DONE);
	ck_assert_int_eq(sim_get_job_state(sim, 0, large->id), JOB_QUEUED);
	fleet_capacity_restore(sim);
	sim_run_for(sim, 2000);
	check_ends(sim);
}
END_TEST

/*
 * Submits a job to one worker, and moves the worker's capacity to another one
 * while starts wait to be sent: answers to starts are slow.
 */
static struct sim_job *shrink_while_starts_wait(struct sim *sim)
{
	struct sim_job *job;

	for (int i = 1; i < WORKERS; i++)
		fleet_capacity_set(sim, i, 0, 0);
	sim->faults.start_answer_ms = 900;
	sim->task_cpu_milli = 100;
	job = sim_submit_job(sim, 0, 1, 40);
	sim_run_for(sim, 300);
	ck_assert_uint_gt(sim->workers[0].model.runs->len, 0);
	fleet_capacity_set(sim, 0, 0, FLEET_MEM_MIB);
	fleet_capacity_set(sim, 1, FLEET_CPU_MILLI, FLEET_MEM_MIB);
	return job;
}

static void check_done(struct sim *sim, const struct sim_job *job)
{
	sim->faults.start_answer_ms = 0;
	sim_run_for(sim, 5000);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	check_ends(sim);
}

/* Starts that no longer fit must not be sent after the capacity has shrunk. */
START_TEST(starts_that_wait_are_withdrawn_when_capacity_shrinks)
{
	struct sim *sim = create_unguarded(3);
	struct sim_job *job = shrink_while_starts_wait(sim);

	sim_run_for(sim, 2 * FLEET_SHRUNK_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	check_done(sim, job);
}
END_TEST

/* Gang tasks that have started must not be left without those withdrawn. */
START_TEST(gang_is_withdrawn_when_capacity_shrinks)
{
	struct sim *sim = create_unguarded(3);
	struct sim_job *job;

	sim->gang = true;
	sim->workers[0].model.stalled = true;
	job = shrink_while_starts_wait(sim);
	sim_run_for(sim, 1000);
	ck_assert_uint_eq(sim->workers[0].model.runs->len, 0);
	check_done(sim, job);
}
END_TEST

/*
 * A worker that starts again under its id with less capacity must not be taken
 * for the former one until its first registry entry.
 */
START_TEST(capacity_of_a_former_life_is_not_used)
{
	struct sim *sim = create_unguarded(4);
	struct sim_job *job;

	for (int i = 1; i < WORKERS; i++)
		fleet_capacity_set(sim, i, 0, 0);
	sim_run_for(sim, FLEET_SHRUNK_MS);
	sim_crash_worker(sim, 0);
	sim_run_for(sim, 1000);
	sim->workers[0].entry.cpu_milli = 1000;
	sim->workers[0].entry_delay_ms = FLEET_ENTRY_MS;
	sim_restart_worker(sim, 0);
	job = sim_submit_job(sim, 0, 1, 8);
	sim_run_for(sim, 8000);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	check_ends(sim);
}
END_TEST

/*
 * Leases of tasks that use neither processor nor memory must be renewed too
 * while the registry has no entry of their worker.
 */
START_TEST(tasks_without_requests_outlive_their_registry_entry)
{
	struct sim *sim = create_unguarded(5);
	struct sim_job *job;
	uint32_t started;

	sim->task_cpu_milli = 0;
	sim->task_mem_mib = 0;
	job = sim_submit_lasting_job(sim, 0, WORKERS);
	sim_run_for(sim, 2000);
	ck_assert(job->accepted);
	started = sim->started;
	ck_assert_uint_eq(started, WORKERS);
	for (int i = 0; i < WORKERS; i++)
		sim_set_worker_listed(sim, i, false);
	sim_run_for(sim, 10000);
	for (int i = 0; i < WORKERS; i++)
		sim_set_worker_listed(sim, i, true);
	sim_run_for(sim, 3000);
	ck_assert_uint_eq(sim->started, started);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Beside a run of an unknown job, which may use all room, nothing may start. */
START_TEST(nothing_starts_beside_a_run_of_an_unknown_job)
{
	struct sim *sim = create_unguarded(6);
	struct worker_model *model = &sim->workers[0].model;
	struct model_run unknown = {
		.task = "00000000000000aa.0.0.0",
		.run = 1,
		.total_ms = 1,
		.remaining_ms = 1,
		.until_stopped = true,
	};
	struct sim_job *job;

	for (int i = 1; i < WORKERS; i++)
		fleet_capacity_set(sim, i, 0, 0);
	model->stop_ms = 3000;
	g_array_append_val(model->runs, unknown);
	sim_run_for(sim, 1500);
	job = sim_submit_job(sim, 0, 1, 1);
	sim_run_for(sim, 1000);
	ck_assert(job->accepted);
	ck_assert_uint_eq(sim->started, 0);
	sim_run_for(sim, 4000);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	check_ends(sim);
}
END_TEST

static struct sim *create_with_one_worker(uint64_t seed)
{
	struct sim *sim = create_unguarded(seed);

	for (int i = 1; i < WORKERS; i++)
		fleet_capacity_set(sim, i, 0, 0);
	sim_run_for(sim, FLEET_SHRUNK_MS);
	sim->task_cpu_milli = 1000;
	return sim;
}

/* Runs of a cancelled job must use room before a report lists them again. */
START_TEST(runs_of_a_cancelled_job_use_room_until_they_end)
{
	struct sim *sim = create_with_one_worker(7);
	struct sim_job *first, *next;

	sim->task_ms = 60000;
	first = sim_submit_job(sim, 0, 1, 4);
	sim_run_for(sim, 1000);
	ck_assert_uint_eq(sim->started, 4);
	sim->workers[0].model.stop_ms = 3000;
	sim->task_ms = 100;
	next = sim_submit_job(sim, 0, 1, 4);
	sim_run_for(sim, 200);
	sim_cancel(sim, 0, first);
	sim_run_for(sim, 2500);
	ck_assert_uint_eq(sim->started, 4);
	sim_run_for(sim, 3000);
	ck_assert_int_eq(sim_get_job_state(sim, 0, next->id), JOB_DONE);
	check_ends(sim);
}
END_TEST

/* Starts without an answer use room until they are known not to happen. */
START_TEST(late_starts_of_a_cancelled_job_use_room)
{
	struct sim *sim = create_with_one_worker(8);
	struct sim_job *first, *next;

	sim->task_ms = 3000;
	sim->faults.order_late_percent = 100;
	first = sim_submit_job(sim, 0, 1, 4);
	sim_run_for(sim, 200);
	sim->faults.order_late_percent = 0;
	sim->faults.stops_lost = true;
	sim_cancel(sim, 0, first);
	next = sim_submit_job(sim, 0, 1, 4);
	sim_run_for(sim, 5000);
	sim->faults.stops_lost = false;
	sim_run_for(sim, 10000);
	ck_assert(first->cancelled_ms);
	ck_assert_int_eq(sim_get_job_state(sim, 0, next->id), JOB_DONE);
	check_ends(sim);
}
END_TEST

/* A withdrawn task must not start elsewhere while its first start may happen. */
START_TEST(withdrawn_start_that_is_late_does_not_run_twice)
{
	struct sim *sim = create_with_one_worker(9 + (uint64_t)_i);
	struct sim_job *job;

	sim->task_ms = 3000;
	sim->faults.order_late_percent = 100;
	job = sim_submit_job(sim, 0, 1, 4);
	sim_run_for(sim, 200);
	fleet_capacity_set(sim, 0, 0, FLEET_MEM_MIB);
	fleet_capacity_set(sim, 1, FLEET_CPU_MILLI, FLEET_MEM_MIB);
	sim_run_for(sim, 700);
	sim->faults.order_late_percent = 0;
	sim->faults.stops_lost = true;
	sim_run_for(sim, 5000);
	sim->faults.stops_lost = false;
	sim_run_for(sim, 10000);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	check_ends(sim);
}
END_TEST

/* No start may bring a worker over its capacity, under load and with faults. */
START_TEST(no_start_exceeds_a_capacity_that_changes)
{
	struct fleet_play play = { 0 };

	fleet_capacity_play((uint64_t)first_seed + (uint64_t)_i, false, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", _i + first_seed,
		      play.broken);
}
END_TEST

/* The same with every other fault of the random play. */
START_TEST(invariants_hold_while_capacities_change)
{
	struct fleet_play play = { .shrinking = true };

	fleet_play((uint64_t)first_seed + (uint64_t)_i, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", _i + first_seed,
		      play.broken);
}
END_TEST

/* The check must detect nodes that go by a capacity that has shrunk. */
START_TEST(check_detects_nodes_that_miss_changes)
{
	struct fleet_play play = { 0 };

	for (uint64_t seed = 1; seed <= DETECTION_SEEDS && !play.broken[0];
	     seed++)
		fleet_capacity_play(seed, true, &play);
	ck_assert(play.broken[0]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("capacity");
	TCase *tcase = tcase_create("capacity that changes");
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_capacity", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, tasks_wait_while_no_worker_can_hold_them);
	tcase_add_test(tcase, smaller_tasks_pass_those_that_wait_for_room);
	tcase_add_test(tcase,
		       starts_that_wait_are_withdrawn_when_capacity_shrinks);
	tcase_add_test(tcase, gang_is_withdrawn_when_capacity_shrinks);
	tcase_add_test(tcase, capacity_of_a_former_life_is_not_used);
	tcase_add_test(tcase,
		       tasks_without_requests_outlive_their_registry_entry);
	tcase_add_test(tcase, nothing_starts_beside_a_run_of_an_unknown_job);
	tcase_add_test(tcase, runs_of_a_cancelled_job_use_room_until_they_end);
	tcase_add_test(tcase, late_starts_of_a_cancelled_job_use_room);
	tcase_add_loop_test(tcase,
			    withdrawn_start_that_is_late_does_not_run_twice, 0,
			    LATE_SEEDS);
	tcase_add_test(tcase, check_detects_nodes_that_miss_changes);
	tcase_add_loop_test(tcase, no_start_exceeds_a_capacity_that_changes, 0,
			    count ? atoi(count) : SEEDS);
	tcase_add_loop_test(tcase, invariants_hold_while_capacities_change, 0,
			    count ? atoi(count) : SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
