/*
 * Guards against hosts that stay with the late jobs of one pool while the jobs of
 * another, which can be in time, wait for room.
 */

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "sizing.h"
#include "suite.h"

static const int64_t now_ms = 10000;

static struct sizing_pool pool_of(int32_t hosts, int64_t in_time_milli,
				  int64_t late_milli)
{
	return (struct sizing_pool){
		.hosts = hosts,
		.movable = hosts,
		.demand_milli = in_time_milli,
		.late_milli = late_milli,
	};
}

/* Carries out all moves at once. */
static uint32_t move_hosts(const struct sizing *sizing,
			   struct sizing_pool *pools, uint32_t count)
{
	uint32_t from, to, moves = 0;

	for (uint32_t i = 0; i < count; i++)
		sizing_observe(sizing, &pools[i], now_ms);
	while (sizing_next_move(sizing, pools, count, now_ms, &from, &to)) {
		pools[from].hosts--;
		pools[from].movable--;
		pools[to].hosts++;
		moves++;
	}
	return moves;
}

/* Guards against a pool of late jobs that keeps its hosts from jobs in time. */
START_TEST(jobs_in_time_get_the_hosts_of_late_jobs)
{
	struct sizing sizing = { .host_milli = 1000, .hosts = 100 };
	struct sizing_pool pools[2] = {
		pool_of(10, 40000, 0),
		pool_of(90, 5000, 900000),
	};

	move_hosts(&sizing, pools, 2);
	ck_assert_int_eq(pools[0].hosts, 46);
	ck_assert_int_eq(pools[1].hosts, 54);
}
END_TEST

/* Late jobs get what the others leave, and move nothing back and forth. */
START_TEST(late_jobs_get_the_hosts_that_are_left)
{
	struct sizing sizing = { .host_milli = 1000, .hosts = 100 };
	struct sizing_pool pools[2] = {
		pool_of(80, 20000, 0),
		pool_of(20, 0, 900000),
	};

	ck_assert_uint_gt(move_hosts(&sizing, pools, 2), 0);
	ck_assert_int_eq(pools[0].hosts, 25);
	ck_assert_int_eq(pools[1].hosts, 75);
	ck_assert_uint_eq(move_hosts(&sizing, pools, 2), 0);
}
END_TEST

/* A peak that is just over may come back: late jobs do not undo its moves. */
START_TEST(late_jobs_take_no_host_just_after_a_peak)
{
	struct sizing sizing = { .host_milli = 1000, .hosts = 100 };
	struct sizing_pool pools[2] = {
		pool_of(80, 68000, 0),
		pool_of(20, 0, 900000),
	};

	move_hosts(&sizing, pools, 2);
	pools[0].demand_milli = 20000;
	ck_assert_uint_eq(move_hosts(&sizing, pools, 2), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sizing");
	TCase *tcase = tcase_create("sizing");

	apr_initialize();
	log_init("test_sizing", true);
	tcase_add_test(tcase, jobs_in_time_get_the_hosts_of_late_jobs);
	tcase_add_test(tcase, late_jobs_get_the_hosts_that_are_left);
	tcase_add_test(tcase, late_jobs_take_no_host_just_after_a_peak);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
