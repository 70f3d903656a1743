/*
 * Guards against a lease that lapses, with the runs of all jobs at the worker, as its
 * reports take long to arrive: by their length, over a slow link, or beside others.
 */

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "nodeconf.h"
#include "pool_fixture.h"
#include "pool_int.h"
#include "suite.h"

enum {
	BEGIN_MS = 100000,
	WATCHED_MS = 60000,
	TICK_MS = 20,
	PART_GAP_MS = 40,
	LEASE_MS = 4000,
	MEMBERSHIP_MS = 1500,
	BOOT_MS = 7,
	/* After a report; those of POOL_MAX_REPORT_AGE_MS start nothing. */
	START_MS = 1300,
	MAX_CALLS = 4
};

/* A renewal that the worker is answering. */
struct answer {
	order_renew_fn *fn; /* NULL: unused */
	void (*on_part)(void *arg);
	void *arg;
	int64_t begins_ms;
	int64_t next_part_ms;
	int64_t ends_ms;
	int64_t clock_ms;    /* as the answer began */
	int64_t gives_up_ms; /* unless it has begun */
	bool lease_only;
};

static struct pool_fixture fixture;
static struct clk clk;
static struct pool_env env;
static struct bound_table bounds;
static struct pool *pool;
static struct worker *worker;
static struct answer answers[MAX_CALLS];
static int64_t begin_ms;  /* that a report takes to begin */
static int64_t read_ms;	  /* and then to arrive */
static int64_t lease_ms;  /* end, by the worker's clock; 0: none yet */
static int reports;	  /* that arrived as a whole */
static int64_t report_ms; /* when the last one did */
static bool starts;	  /* orders of another kind extend the lease too */

static int64_t worker_clock(void)
{
	return clk.manual_ms - BEGIN_MS + 777;
}

static void begin_answer(void *io, const struct worker_entry *entry,
			 const struct order_renew *renew, order_renew_fn *fn,
			 void *arg)
{
	struct answer *answer = answers;

	(void)io;
	(void)entry;
	while (answer->fn)
		ck_assert_int_lt(++answer - answers, MAX_CALLS);
	lease_ms = MAX(lease_ms, renew->until_ms);
	*answer = (struct answer){
		.fn = fn,
		.on_part = renew->on_part,
		.arg = arg,
		.begins_ms = clk.manual_ms + renew->wait_ms + begin_ms,
		.gives_up_ms = clk.manual_ms + renew->wait_ms + renew->begin_ms,
		.lease_only = renew->lease_only,
	};
	answer->next_part_ms = answer->begins_ms;
	answer->ends_ms = answer->begins_ms + (renew->lease_only ? 0 : read_ms);
}

static void advance_answer(struct answer *answer)
{
	struct worker_report report = { .boot_ms = BOOT_MS };
	order_renew_fn *fn = answer->fn;

	if (clk.manual_ms >= answer->gives_up_ms &&
	    clk.manual_ms < answer->begins_ms) {
		answer->fn = NULL;
		fn(answer->arg, ORDER_UNKNOWN, NULL);
		return;
	}
	if (clk.manual_ms == answer->begins_ms)
		answer->clock_ms = worker_clock();
	if (clk.manual_ms >= answer->next_part_ms && answer->on_part) {
		answer->on_part(answer->arg);
		answer->next_part_ms += PART_GAP_MS;
	}
	if (clk.manual_ms < answer->ends_ms)
		return;
	reports += !answer->lease_only;
	if (!answer->lease_only)
		report_ms = clk.manual_ms;
	report.clock_ms = answer->clock_ms;
	answer->fn = NULL;
	fn(answer->arg, ORDER_OK, &report);
}

static const struct order_io orders = { .renew = begin_answer };

static void setup(void)
{
	struct share share = { .pool = "pool", .count = 1 };
	struct ownership_stream stream = { .id = { "jobs", 0 } };

	pool_fixture_setup(&fixture);
	bound_table_init(&bounds);
	clk = clk_manual(BEGIN_MS);
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
		.disconnected_ms = 1000,
	};
	pool = pool_create(&env, &share, &stream);
	pool->ownership.state = OWNERSHIP_HELD;
	pool->read_ms = G_MAXINT64;
	worker = pool_fixture_add_worker(&fixture, "w1", NULL, 4000);
	worker->entry.boot_ms = BOOT_MS;
	worker->listed = true;
	begin_ms = 2;
	lease_ms = 0;
	reports = 0;
	starts = false;
	for (int i = 0; i < MAX_CALLS; i++)
		answers[i] = (struct answer){ 0 };
}

static void teardown(void)
{
	for (int i = 0; i < MAX_CALLS; i++)
		if (answers[i].fn)
			g_free(answers[i].arg);
	pool_destroy(pool);
	bound_table_clear(&bounds);
	pool_fixture_teardown(&fixture);
}

/* Renews the lease for a while. The first reports are short, as nothing runs yet. */
static void watch(int64_t slow_begin_ms, int64_t slow_read_ms)
{
	read_ms = 0;
	for (int64_t i = 0; i < WATCHED_MS; i++, clk.manual_ms++) {
		if (reports == 2) {
			begin_ms = slow_begin_ms;
			read_ms = slow_read_ms;
		}
		pool->ownership.authority_end_ms =
			clk.manual_ms + MEMBERSHIP_MS;
		for (int j = 0; j < MAX_CALLS; j++)
			if (answers[j].fn)
				advance_answer(&answers[j]);
		if (starts && reports > 2 &&
		    clk.manual_ms == report_ms + START_MS)
			lease_ms =
				MAX(lease_ms, pool_grant_lease(pool, worker,
							       clk.manual_ms));
		if (clk.manual_ms % TICK_MS == 0)
			pool_renew(pool);
		ck_assert_msg(!lease_ms || lease_ms > worker_clock(),
			      "lapses after %d reports", reports);
	}
	ck_assert_int_gt(lease_ms, 0);
	ck_assert_int_ge(reports,
			 WATCHED_MS / (slow_begin_ms + slow_read_ms + 4000));
}

static const int64_t times_ms[] = { 0, 100, 1000, 2000, 3000, 5000, 15000 };

START_TEST(lease_is_kept_while_reports_arrive)
{
	watch(2, times_ms[_i]);
	ck_assert_int_eq(env.counts.renewals_repeated, 0);
}
END_TEST

/* Guards against starts that put off the renewal of the lease until it is too late. */
START_TEST(lease_is_kept_beside_starts)
{
	starts = true;
	watch(2, 15000);
}
END_TEST

/*
 * Guards against a worker that takes longer than a second to begin each answer, and
 * is asked anew at each second.
 */
START_TEST(lease_is_kept_while_reports_begin_late)
{
	watch(1200, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("slow reports");
	TCase *tcase = tcase_create("reports that take long to arrive");

	apr_initialize();
	log_init("test_slow_reports", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, lease_is_kept_while_reports_arrive, 0,
			    G_N_ELEMENTS(times_ms));
	tcase_add_test(tcase, lease_is_kept_beside_starts);
	tcase_add_test(tcase, lease_is_kept_while_reports_begin_late);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
