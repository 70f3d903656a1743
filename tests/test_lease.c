/*
 * Guards against leases of a former owner that end after its successor has
 * started the runs elsewhere, by as little as a millisecond.
 */

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "nodeconf.h"
#include "pool_fixture.h"
#include "pool_int.h"
#include "suite.h"

enum {
	RENEWED_MS = 100000, /* when the former owner renewed its membership */
	MEMBERSHIP_MS = 1500,
	DISCONNECTED_MS = 1000,
	LEASE_MS = 4000,
	WATCHED_MS = 9000,
	WORKER_CLOCK_MS = 777,
	TASKS = 3,
	PAUSE_MS = 5000
};

/* Slowest clock of a worker, as a share of real time. */
#define SLOWEST_CLOCK 0.98

static struct pool_fixture fixture;
static struct clk clk;
static struct pool_env env;
static struct bound_table bounds;
static struct pool *pool;
static struct worker *worker;
static int64_t latest_end_ms; /* of the leases given by starts, real time */
static int renewals;
static int64_t renewed_until_ms; /* asked for by the last one; 0: nothing */

/*
 * Real time at which a lease that is given now ends at the slowest worker; 0 if
 * it is over at once, so that nothing is started or extended.
 */
static int64_t real_end_ms(int64_t until_ms)
{
	if (until_ms <= WORKER_CLOCK_MS)
		return 0;
	return clk.manual_ms +
	       (int64_t)((double)(until_ms - WORKER_CLOCK_MS) / SLOWEST_CLOCK);
}

/* The owner is paused after its first order. */
static void start_and_pause(void *io, const struct worker_entry *entry,
			    const struct order_start *start, order_fn *fn,
			    void *arg)
{
	(void)io;
	(void)entry;
	(void)fn;
	/* The worker's clock is read again, as if it had reported just now. */
	latest_end_ms = MAX(latest_end_ms, real_end_ms(start->until_ms));
	clk.manual_ms += PAUSE_MS;
	worker->clock_at_ms = clk.manual_ms;
	g_free(arg);
}

static void note_renewal(void *io, const struct worker_entry *entry,
			 const struct order_renew *renew, order_renew_fn *fn,
			 void *arg)
{
	(void)io;
	(void)entry;
	(void)fn;
	renewals++;
	renewed_until_ms = renew->until_ms;
	g_free(arg);
}

static const struct order_io orders = {
	.start = start_and_pause,
	.renew = note_renewal,
};

static void setup(void)
{
	struct share share = { .pool = "pool", .count = 1 };
	struct ownership_stream stream = { .id = { "jobs", 0 } };

	pool_fixture_setup(&fixture);
	bound_table_init(&bounds);
	clk = clk_manual(RENEWED_MS);
	env = (struct pool_env){
		.clk = &clk,
		.orders = &orders,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.bounds = &bounds,
		.cfg = (const struct cfg *const *)&fixture.cfg,
		.record_bytes = NODECONF_RECORD_BYTES,
		.lease_ms = LEASE_MS,
		.membership_ms = MEMBERSHIP_MS,
		.disconnected_ms = DISCONNECTED_MS,
	};
	pool = pool_create(&env, &share, &stream);
	pool->ownership.state = OWNERSHIP_HELD;
	/* The jobs' stream is read at all times. */
	pool->read_ms = G_MAXINT64;
	pool->ownership.authority_end_ms = RENEWED_MS + MEMBERSHIP_MS;
	worker = pool_fixture_add_worker(&fixture, "w1", NULL, 4000);
	worker->clock_ms = WORKER_CLOCK_MS;
	latest_end_ms = 0;
	renewals = 0;
}

static void teardown(void)
{
	pool_destroy(pool);
	bound_table_clear(&bounds);
	pool_fixture_teardown(&fixture);
}

/*
 * Until then a successor waits that got the pool right after the former owner
 * had renewed its membership, and cannot reach the worker.
 */
static int64_t successor_waits_until_ms(void)
{
	struct share share = { .pool = "pool", .count = 1 };
	struct ownership_stream stream = { .id = { "jobs", 0 } };
	struct pool *successor = pool_create(&env, &share, &stream);
	int64_t end_ms;

	successor->ownership.assigned_ms = RENEWED_MS;
	successor->ownership.acquired_ms = RENEWED_MS;
	end_ms = pool_lease_end_ms(successor, "unknown");
	pool_destroy(successor);
	return end_ms;
}

START_TEST(no_lease_outlives_the_wait_of_a_successor)
{
	int64_t wait_ms = successor_waits_until_ms();
	int64_t longest_ms = 0;

	for (int64_t i = 0; i < WATCHED_MS; i++) {
		clk.manual_ms = RENEWED_MS + i;
		worker->clock_at_ms = clk.manual_ms;
		longest_ms =
			MAX(longest_ms, real_end_ms(pool_grant_lease(
						pool, worker, clk.manual_ms)));
	}
	ck_assert_int_le(longest_ms, wait_ms);
	/* A wait far beyond the last lease keeps tasks from their restart. */
	ck_assert_int_ge(longest_ms, wait_ms - 2 * WORKER_LEASE_MARGIN_MS);
}
END_TEST

START_TEST(starts_after_a_pause_get_no_longer_leases)
{
	struct job *job = pool_fixture_submit(
		&fixture, "0000000000000001",
		"{\"spec\":\"a\",\"steps\":[{\"count\":3,\"cpu\":100}]}");
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos)) {
		job_place_task(job, pos.task, worker->name, 0, 1,
			       clk.manual_ms);
		pos.task->phase = PHASE_STARTING;
		pos.task->since_ms = 0;
	}
	worker->clock_at_ms = clk.manual_ms;
	worker->last_report_ms = clk.manual_ms;
	pool_send_starts(pool, job);
	ck_assert_int_eq(env.counts.starts_sent, TASKS);
	ck_assert_int_le(latest_end_ms, successor_waits_until_ms());
}
END_TEST

static void renew_at_once(void)
{
	worker->fence_accepted = true;
	worker->listed = true;
	worker->last_report_ms = clk.manual_ms;
	worker->clock_at_ms = clk.manual_ms;
	worker->renewing = false;
	worker->next_renew_ms = 0;
	pool_renew(pool);
}

/*
 * Guards against two runs of a task at the same time (TWICE): a worker has started
 * again under its id, and a renewal asks for a lease that ends by the clock of its
 * former life, so that it lasts for as long as that one had run.
 */
START_TEST(renewal_asks_for_no_lease_by_the_clock_of_a_former_life)
{
	worker->boot_ms = 1;
	worker->entry.boot_ms = 1;
	renew_at_once();
	ck_assert_int_eq(renewals, 1);
	ck_assert_int_gt(renewed_until_ms, WORKER_CLOCK_MS);
	worker->entry.boot_ms = 2;
	renew_at_once();
	ck_assert_int_eq(renewals, 2);
	ck_assert_int_eq(renewed_until_ms, 0);
	worker->boot_ms = 2;
	renew_at_once();
	ck_assert_int_eq(renewals, 3);
	ck_assert_int_gt(renewed_until_ms, WORKER_CLOCK_MS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease");
	TCase *tcase = tcase_create("leases of a former owner");

	apr_initialize();
	log_init("test_lease", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, no_lease_outlives_the_wait_of_a_successor);
	tcase_add_test(tcase, starts_after_a_pause_get_no_longer_leases);
	tcase_add_test(tcase,
		       renewal_asks_for_no_lease_by_the_clock_of_a_former_life);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
