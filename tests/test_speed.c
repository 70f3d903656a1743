/* Unit tests of slow-worker detection and of moving tasks off slow workers. */

#include <check.h>

#include "speed.h"
#include "suite.h"

enum { REPORT_MS = 100, ESTIMATE_MS = 2000 };

/* Adds reports of runs that progress at rate, for for_ms. */
static int64_t add_reports(struct speed *speed, int64_t now_ms, int64_t for_ms,
			   uint32_t runs, double rate)
{
	for (int64_t end_ms = now_ms + for_ms; now_ms < end_ms;) {
		now_ms += REPORT_MS;
		speed_add(speed, now_ms, REPORT_MS, runs,
			  runs * rate * REPORT_MS);
	}
	return now_ms;
}

/* The tasks of some workers stall for seconds. */
START_TEST(stalled_worker_is_slow)
{
	struct speed speed = { 0 };
	int64_t now_ms = add_reports(&speed, 1000, 3000, 8, 1);

	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
	now_ms = add_reports(&speed, now_ms, SPEED_STALL_MS - REPORT_MS, 8, 0);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
	add_reports(&speed, now_ms, REPORT_MS, 8, 0);
	ck_assert(speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* Some workers take several times as long as others. */
START_TEST(worker_at_a_sixth_is_slow)
{
	struct speed speed = { 0 };
	int64_t now_ms = add_reports(&speed, 1000, 3000, 4, 1);

	add_reports(&speed, now_ms, 3000, 4, 1 / 6.0);
	ck_assert(speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* Tasks far from their data take 1.5 times as long as estimated. */
START_TEST(worker_at_half_is_not_slow)
{
	struct speed speed = { 0 };

	add_reports(&speed, 1000, 3000, 4, 0.5);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* A burst has just started; its tasks have reported no progress yet. */
START_TEST(first_samples_give_no_rate)
{
	struct speed speed = { 0 };

	add_reports(&speed, 1000, SPEED_MIN_SPAN_MS - REPORT_MS, 8, 0);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* An idle worker is not a stalled one. */
START_TEST(idle_worker_is_not_slow)
{
	struct speed speed = { 0 };
	int64_t now_ms = add_reports(&speed, 1000, 10000, 0, 0);

	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
	add_reports(&speed, now_ms, 2 * SPEED_MIN_SPAN_MS, 2, 1);
	ck_assert(!speed_is_slow(speed_rate(&speed), 1));
}
END_TEST

/* All estimates are three times too low, or the pool is overloaded. */
START_TEST(slow_is_relative_to_the_median)
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
	/* Stalled: any task gains. */
	ck_assert(speed_restart_gains(0, 1, 95, ESTIMATE_MS, false));
	/* At a sixth: a task gains at 10 percent, but not at 85. */
	ck_assert(speed_restart_gains(1 / 6.0, 1, 10, ESTIMATE_MS, false));
	ck_assert(!speed_restart_gains(1 / 6.0, 1, 85, ESTIMATE_MS, false));
	ck_assert(speed_restart_gains(1 / 6.0, 1, 85, ESTIMATE_MS, true));
	ck_assert(!speed_restart_gains(0.9, 1, 10, ESTIMATE_MS, false));
	ck_assert(!speed_restart_gains(0, -1, 10, ESTIMATE_MS, false));
	ck_assert(!speed_restart_gains(-1, 1, 10, ESTIMATE_MS, false));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("speed");
	TCase *tcase = tcase_create("speed");

	tcase_add_test(tcase, stalled_worker_is_slow);
	tcase_add_test(tcase, worker_at_a_sixth_is_slow);
	tcase_add_test(tcase, worker_at_half_is_not_slow);
	tcase_add_test(tcase, first_samples_give_no_rate);
	tcase_add_test(tcase, idle_worker_is_not_slow);
	tcase_add_test(tcase, slow_is_relative_to_the_median);
	tcase_add_test(tcase, task_moves_only_if_it_ends_sooner);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
