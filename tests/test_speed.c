/* Unit tests of how fast workers are, and of which tasks leave slow ones. */

#include <check.h>

#include "speed.h"

enum { REPORT_MS = 100, ESTIMATE_MS = 2000 };

/* Reports of so many runs that go on at a rate, for some time. */
static int64_t work(struct speed *speed, int64_t now_ms, int64_t for_ms,
		    uint32_t runs, double rate)
{
	for (int64_t end_ms = now_ms + for_ms; now_ms < end_ms;) {
		now_ms += REPORT_MS;
		speed_add(speed, now_ms, REPORT_MS, runs,
			  runs * rate * REPORT_MS);
	}
	return now_ms;
}

/* Pattern: the tasks of some workers stand still for seconds. */
START_TEST(worker_that_stands_still_is_noticed)
{
	struct speed speed = { 0 };
	int64_t now_ms = work(&speed, 1000, 3000, 8, 1);

	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
	now_ms = work(&speed, now_ms, SPEED_STILL_MS - REPORT_MS, 8, 0);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
	work(&speed, now_ms, REPORT_MS, 8, 0);
	ck_assert(speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* Pattern: some workers take several times as long. */
START_TEST(worker_at_a_sixth_is_noticed)
{
	struct speed speed = { 0 };
	int64_t now_ms = work(&speed, 1000, 3000, 4, 1);

	work(&speed, now_ms, 3000, 4, 1 / 6.0);
	ck_assert(speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* Pattern: jobs whose tasks take half as long again, far from their data. */
START_TEST(worker_at_half_is_not_slow)
{
	struct speed speed = { 0 };

	work(&speed, 1000, 3000, 4, 0.5);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* Pattern: a burst begins; tasks have shown no progress yet. */
START_TEST(young_runs_tell_nothing)
{
	struct speed speed = { 0 };

	work(&speed, 1000, SPEED_LEAST_MS - REPORT_MS, 8, 0);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* An idle worker is not one that stands still. */
START_TEST(idle_time_does_not_count)
{
	struct speed speed = { 0 };
	int64_t now_ms = work(&speed, 1000, 10000, 0, 0);

	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
	work(&speed, now_ms, 2 * SPEED_LEAST_MS, 2, 1);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* Pattern: all estimates are three times too high, or the pool is overfull. */
START_TEST(workers_are_compared_with_each_other)
{
	double rates[] = { 0.3, -1, 0.2, 0.31, 0.29 };
	double few[] = { 1, -1, 1 };
	double typical = speed_typical(rates, 5);

	ck_assert_double_ge(typical, 0.29);
	ck_assert(!speed_is_slow(0.2, typical));
	ck_assert(speed_is_slow(0.05, typical));
	ck_assert(!speed_is_slow(0, speed_typical(few, 3)));
}
END_TEST

START_TEST(task_moves_only_if_it_ends_sooner)
{
	/* Still: any task gains. */
	ck_assert(speed_gains(0, 1, 95, ESTIMATE_MS, false));
	/* At a sixth: one that has just begun gains, one that ends soon not. */
	ck_assert(speed_gains(1 / 6.0, 1, 10, ESTIMATE_MS, false));
	ck_assert(!speed_gains(1 / 6.0, 1, 85, ESTIMATE_MS, false));
	ck_assert(speed_gains(1 / 6.0, 1, 85, ESTIMATE_MS, true));
	ck_assert(!speed_gains(0.9, 1, 10, ESTIMATE_MS, false));
	ck_assert(!speed_gains(0, -1, 10, ESTIMATE_MS, false));
	ck_assert(!speed_gains(-1, 1, 10, ESTIMATE_MS, false));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("speed");
	TCase *tcase = tcase_create("speed");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, worker_that_stands_still_is_noticed);
	tcase_add_test(tcase, worker_at_a_sixth_is_noticed);
	tcase_add_test(tcase, worker_at_half_is_not_slow);
	tcase_add_test(tcase, young_runs_tell_nothing);
	tcase_add_test(tcase, idle_time_does_not_count);
	tcase_add_test(tcase, workers_are_compared_with_each_other);
	tcase_add_test(tcase, task_moves_only_if_it_ends_sooner);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
