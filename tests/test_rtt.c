/*
 * Unit tests of the measured time of answers. They guard against repeats that
 * come so early that they multiply the load of a slow service, or so late that
 * a lost answer delays what waits for it.
 */

#include <check.h>

#include "rtt.h"
#include "suite.h"

enum {
	FAST_MS = 5,
	SLOW_MS = 110,
	ANSWERS = 50,
	FIRST_MISSED_MS = 60,
	MAX_MISSED_MS = 1500
};

static struct rtt measured(int64_t took_ms)
{
	struct rtt rtt = { 0 };

	for (int i = 0; i < ANSWERS; i++)
		rtt_add(&rtt, took_ms);
	return rtt;
}

/* A repeat to a service that answers at once must not wait long. */
START_TEST(fast_answers_are_missed_soon)
{
	struct rtt rtt = measured(FAST_MS);

	ck_assert_int_eq(rtt_missed_ms(&rtt, 1), FIRST_MISSED_MS);
	ck_assert_int_eq(rtt_expected_ms(&rtt), FAST_MS);
}
END_TEST

/* After one slow answer, the next one of that kind must not be missed. */
START_TEST(estimate_follows_a_service_that_becomes_slow)
{
	struct rtt rtt = measured(FAST_MS);

	rtt_add(&rtt, SLOW_MS);
	ck_assert_int_gt(rtt_missed_ms(&rtt, 1), SLOW_MS);
	rtt = measured(SLOW_MS);
	ck_assert_int_gt(rtt_missed_ms(&rtt, 1), SLOW_MS);
	ck_assert_int_lt(rtt_missed_ms(&rtt, 1), 2 * SLOW_MS);
}
END_TEST

/* A service that is away must get few calls. */
START_TEST(intervals_grow_without_an_answer)
{
	struct rtt rtt = measured(FAST_MS);

	ck_assert_int_eq(rtt_missed_ms(&rtt, 4), FIRST_MISSED_MS);
	ck_assert_int_eq(rtt_missed_ms(&rtt, 6), 4 * FIRST_MISSED_MS);
	ck_assert_int_eq(rtt_missed_ms(&rtt, 100), MAX_MISSED_MS);
}
END_TEST

/* One that loses answers and answers others gets its repeats soon, until it
   loses none. */
START_TEST(intervals_stay_short_while_answers_are_lost)
{
	struct rtt rtt = measured(FAST_MS);

	rtt_count_attempts(&rtt, 3);
	ck_assert_int_eq(rtt_missed_ms(&rtt, 8), FIRST_MISSED_MS);
	for (int i = 0; i < ANSWERS; i++)
		rtt_count_attempts(&rtt, 1);
	ck_assert_int_gt(rtt_missed_ms(&rtt, 8), FIRST_MISSED_MS);
}
END_TEST

/*
 * Guards against a service that has lost answers, has become slow since, and is
 * never measured again, as each call to it ends before its answer.
 */
START_TEST(calls_outlast_a_lossy_service_that_becomes_slow)
{
	struct rtt rtt = measured(FAST_MS);

	for (int i = 0; i < ANSWERS; i++)
		rtt_count_attempts(&rtt, 2);
	ck_assert_int_lt(rtt_give_up_ms(&rtt, 1), MAX_MISSED_MS);
	ck_assert_int_eq(rtt_give_up_ms(&rtt, ANSWERS), MAX_MISSED_MS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rtt");
	TCase *tcase = tcase_create("rtt");

	tcase_add_test(tcase, fast_answers_are_missed_soon);
	tcase_add_test(tcase, estimate_follows_a_service_that_becomes_slow);
	tcase_add_test(tcase, intervals_grow_without_an_answer);
	tcase_add_test(tcase, intervals_stay_short_while_answers_are_lost);
	tcase_add_test(tcase, calls_outlast_a_lossy_service_that_becomes_slow);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
