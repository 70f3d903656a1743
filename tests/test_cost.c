/*
 * Guards against owners that run out of processor time (SHORT): what an owner does
 * for each report and tick must grow with what that concerns, not with all jobs
 * and workers that the node knows of. Compares processor time within one run.
 */

#include <stdio.h>
#include <time.h>

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "nodeconf.h"
#include "pool_fixture.h"
#include "pool_int.h"
#include "suite.h"

enum {
	NOW_MS = 100000,
	LEASE_MS = 4000,
	FEW_JOBS = 20,
	MANY_JOBS = 2000,
	RUNS = 8, /* at the worker that reports */
	REPORTS = 200,
	ROUNDS = 5,
	/* Work that does not grow may still miss the processor's caches. */
	MOST_TIMES = 4,
	SOON_MS = 150
};

static struct pool_fixture fixture;
static struct clk clk;
static struct pool_env env;
static struct bound_table bounds;
static struct pool *pool;
static struct worker *worker;
static int next_id;

static void ignore_stop(void *io, const struct worker_entry *entry,
			const char *task, int32_t run, int64_t fence,
			order_fn *fn, void *arg)
{
	(void)io;
	(void)entry;
	(void)task;
	(void)run;
	(void)fence;
	(void)fn;
	g_free(arg);
}

static const struct order_io orders = { .stop = ignore_stop };

static void setup(void)
{
	struct share share = { .pool = "pool", .count = 1 };
	struct ownership_stream stream = { .id = { "jobs", 0 } };

	pool_fixture_setup(&fixture);
	bound_table_init(&bounds);
	clk = clk_manual(NOW_MS);
	env = (struct pool_env){
		.clk = &clk,
		.orders = &orders,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.bounds = &bounds,
		.cfg = (const struct cfg *const *)&fixture.cfg,
		.record_bytes = NODECONF_RECORD_BYTES,
		.lease_ms = LEASE_MS,
	};
	pool = pool_create(&env, &share, &stream);
	pool->ownership.state = OWNERSHIP_HELD;
	pool->ownership.authority_end_ms = NOW_MS + LEASE_MS;
	worker = pool_fixture_add_worker(&fixture, "w1", NULL, 4000);
	next_id = 0;
}

static void teardown(void)
{
	pool_destroy(pool);
	bound_table_clear(&bounds);
	pool_fixture_teardown(&fixture);
}

static struct job *submit(void)
{
	char id[JOB_ID_BYTES];

	snprintf(id, sizeof(id), "%016x", ++next_id);
	return pool_fixture_submit(
		&fixture, id,
		"{\"spec\":\"a\",\"steps\":[{\"count\":8,\"cpu\":100,"
		"\"estMs\":800},{\"count\":8,\"cpu\":100,\"estMs\":800,"
		"\"dependsOn\":[0]}]}");
}

static void submit_until(int count)
{
	while (next_id < count)
		submit();
}

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Processor time of the fastest of some rounds. */
static double measure(void (*fn)(void))
{
	double best_us = 0;

	for (int i = 0; i < ROUNDS; i++) {
		double start_us = cpu_us();
		double took_us;

		fn();
		took_us = cpu_us() - start_us;
		if (!i || took_us < best_us)
			best_us = took_us;
	}
	return best_us;
}

static void place_runs(struct job *job)
{
	for (uint32_t i = 0; i < RUNS; i++) {
		struct job_task *task = job_task_at(job, 0, 0, i);

		job_place_task(job, task, worker->name, 0, 1, NOW_MS);
		task->phase = PHASE_RUNNING;
	}
}

static void handle_reports(void)
{
	struct worker_run runs[RUNS] = { 0 };
	struct worker_report report = { .run_count = RUNS, .runs = runs };

	for (int i = 0; i < RUNS; i++) {
		snprintf(runs[i].task, sizeof(runs[i].task), "%016x.0.0.%d", 1,
			 i);
		runs[i].run = 1;
	}
	for (int i = 0; i < REPORTS; i++) {
		clk.manual_ms++;
		report.clock_ms = clk.manual_ms;
		pool_handle_report(pool, worker, &report, clk.manual_ms);
	}
}

START_TEST(report_costs_no_more_with_many_jobs)
{
	double few_us, many_us;

	place_runs(submit());
	submit_until(FEW_JOBS);
	few_us = measure(handle_reports);
	submit_until(MANY_JOBS);
	many_us = measure(handle_reports);
	ck_assert_int_eq(pool->env->counts.runs_lost, 0);
	ck_assert_msg(many_us < MOST_TIMES * few_us,
		      "%.0f us with %d jobs, %.0f with %d", few_us, FEW_JOBS,
		      many_us, MANY_JOBS);
}
END_TEST

/* The list of runs must be looked at all the same. */
START_TEST(run_that_its_worker_does_not_list_ends)
{
	struct worker_report report = { .clock_ms = NOW_MS };
	struct job *job = submit();

	place_runs(job);
	clk.manual_ms++;
	pool_handle_report(pool, worker, &report, clk.manual_ms);
	ck_assert_int_eq(pool->env->counts.runs_lost, RUNS);
	for (uint32_t i = 0; i < RUNS; i++)
		ck_assert_int_eq(job_task_at(job, 0, 0, i)->state,
				 TASK_WAITING);
	ck_assert_ptr_null(job_placed_at(
		share_jobs(pool_share(pool), fixture.jobs), worker->name));
}
END_TEST

static void account(void)
{
	struct place place = {
		.share = *pool_share(pool),
		.cfg = fixture.cfg,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.now_ms = NOW_MS,
		.wall_ms = NOW_MS,
	};

	for (int i = 0; i < REPORTS; i++)
		place_account(&place);
}

static void add_other_worker(int number)
{
	struct worker_entry entry = { .cpu_milli = 1000, .mem_mib = 1000 };

	snprintf(entry.id, sizeof(entry.id), "other%d", number);
	g_strlcpy(entry.pool, "other", sizeof(entry.pool));
	worker_put(fixture.workers, &entry);
}

START_TEST(tick_costs_no_more_with_workers_of_other_pools)
{
	double alone_us, beside_us;

	place_runs(submit());
	submit_until(FEW_JOBS);
	alone_us = measure(account);
	for (int i = 0; i < MANY_JOBS; i++)
		add_other_worker(i);
	beside_us = measure(account);
	ck_assert_int_eq(worker->tasks, RUNS);
	ck_assert_msg(beside_us < MOST_TIMES * alone_us,
		      "%.0f us alone, %.0f beside %d workers", alone_us,
		      beside_us, MANY_JOBS);
}
END_TEST

static struct worker_end end_of_run(uint32_t index)
{
	struct worker_end end = {
		.number = index + 1,
		.run = 1,
		.how = END_DONE,
	};

	snprintf(end.task, sizeof(end.task), "%016x.0.0.%u", 1, index);
	return end;
}

static void report_end(uint32_t index)
{
	struct worker_end end = end_of_run(index);
	struct worker_report report = {
		.clock_ms = ++clk.manual_ms,
		.end_count = 1,
		.ends = &end,
		.more_ends = true,
	};

	pool_handle_report(pool, worker, &report, clk.manual_ms);
}

static void own_with_writer(void)
{
	struct writer_config config = {
		.clk = &clk,
		.id = { "jobs", 0 },
		.producer = "owner",
	};

	pool->ownership.slots[0].writer = writer_create(&config);
}

/* An owner that is busy must not write a record of a job for each of its ends. */
START_TEST(busy_owner_stores_ends_together_and_placements_at_once)
{
	static struct lag busy = { .busy_percent = 100 };
	struct job *running = submit();
	struct job *waiting = submit();

	own_with_writer();
	env.lag = &busy;
	place_runs(running);
	pool_write_dirty(pool);
	ck_assert(!running->dirty);
	running->stored_state = running->state;
	report_end(0);
	place_runs(waiting);
	pool_write_dirty(pool);
	ck_assert(running->dirty);
	ck_assert(!waiting->dirty);
	/* No end is acknowledged that is not stored. */
	ck_assert_int_eq(worker->cursor_processed, 1);
	ck_assert_int_eq(worker->cursor_storing, 0);
	report_end(1);
	clk.manual_ms += SOON_MS;
	pool_write_dirty(pool);
	ck_assert(!running->dirty);
	ck_assert_int_eq(worker->cursor_storing, 2);
}
END_TEST

START_TEST(owner_with_time_to_spare_stores_ends_at_once)
{
	static struct lag idle = { .busy_percent = 30 };
	struct job *running = submit();

	own_with_writer();
	env.lag = &idle;
	place_runs(running);
	pool_write_dirty(pool);
	report_end(0);
	pool_write_dirty(pool);
	ck_assert(!running->dirty);
	ck_assert_int_eq(worker->cursor_storing, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cost");
	TCase *tcase = tcase_create("cost of reports and ticks");

	apr_initialize();
	log_init("test_cost", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, report_costs_no_more_with_many_jobs);
	tcase_add_test(tcase, run_that_its_worker_does_not_list_ends);
	tcase_add_test(tcase, tick_costs_no_more_with_workers_of_other_pools);
	tcase_add_test(tcase,
		       busy_owner_stores_ends_together_and_placements_at_once);
	tcase_add_test(tcase, owner_with_time_to_spare_stores_ends_at_once);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
