/* Unit tests of the load generator: histogram and arrival schedule. */

#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "arrival.h"
#include "histo.h"
#include "suite.h"

static struct histo histo;

static const struct arrival_config bursts = {
	.seed = 7, .pool_count = 5, .rate = 500, .bursts = true, .burst_s = 4
};

/* Guards against percentiles that are wrong by a bucket or a power of two. */
START_TEST(percentile_error_is_bounded)
{
	memset(&histo, 0, sizeof(histo));
	for (int i = 1; i <= 100000; i++)
		histo_add(&histo, i);
	ck_assert_uint_ge(histo_percentile(&histo, 50), 50000);
	ck_assert_uint_le(histo_percentile(&histo, 50), 50800);
	ck_assert_uint_ge(histo_percentile(&histo, 99), 99000);
	ck_assert_uint_eq(histo_percentile(&histo, 100), 100000);
}
END_TEST

/* Guards against an out-of-range bucket index for extreme values. */
START_TEST(extreme_values_are_counted)
{
	memset(&histo, 0, sizeof(histo));
	ck_assert_uint_eq(histo_percentile(&histo, 99), 0);
	histo_add(&histo, -5);
	histo_add(&histo, INT64_MAX);
	ck_assert_uint_eq(histo_percentile(&histo, 50), 0);
	ck_assert_uint_eq(histo_percentile(&histo, 100), INT64_MAX);
}
END_TEST

/* Guards against a schedule that cannot be repeated or ignores the seed. */
START_TEST(same_seed_gives_same_schedule)
{
	struct arrival_config config = bursts;
	struct arrival a, b, other;
	int differences = 0;

	arrival_init(&a, &config);
	arrival_init(&b, &config);
	config.seed++;
	arrival_init(&other, &config);
	for (int i = 0; i < 1000; i++) {
		struct arrival_event first = arrival_next(&a);
		struct arrival_event second = arrival_next(&b);

		ck_assert_int_eq(first.at_us, second.at_us);
		ck_assert_uint_eq(first.pool, second.pool);
		differences += first.at_us != arrival_next(&other).at_us;
	}
	ck_assert_int_gt(differences, 900);
}
END_TEST

/* Guards against bursts of the wrong rate or length, or at the same time. */
START_TEST(bursts_take_turns_and_keep_the_mean)
{
	double cycle_s = bursts.burst_s * 4.95 / 0.95;
	uint32_t burst_count = 0, idle_count = 0, total = 0;
	uint32_t out_of_order = 0;
	int64_t last_us = 0;
	struct arrival arrival;

	arrival_init(&arrival, &bursts);
	for (;;) {
		struct arrival_event event = arrival_next(&arrival);
		double at_s = (double)event.at_us / 1e6;

		out_of_order += event.at_us < last_us;
		last_us = event.at_us;
		if (at_s >= 10 * cycle_s)
			break;
		total++;
		if (event.pool != 0)
			continue;
		while (at_s >= cycle_s)
			at_s -= cycle_s;
		*(at_s < bursts.burst_s ? &burst_count : &idle_count) += 1;
	}
	ck_assert_uint_eq(out_of_order, 0);
	/* Means 104,211, 20,000 and 842; bounds at five standard deviations. */
	ck_assert_uint_ge(total, 102600);
	ck_assert_uint_le(total, 105800);
	ck_assert_uint_ge(burst_count, 19300);
	ck_assert_uint_le(burst_count, 20700);
	ck_assert_uint_ge(idle_count, 700);
	ck_assert_uint_le(idle_count, 990);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("load");
	TCase *tcase = tcase_create("load generator");

	tcase_add_test(tcase, percentile_error_is_bounded);
	tcase_add_test(tcase, extreme_values_are_counted);
	tcase_add_test(tcase, same_seed_gives_same_schedule);
	tcase_add_test(tcase, bursts_take_turns_and_keep_the_mean);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
