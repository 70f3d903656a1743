/* Unit tests of a node's metrics text. */

#include <regex.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "node_metrics.h"
#include "suite.h"

static apr_pool_t *pool;

static char *create_text(void)
{
	static struct front_env front;
	static struct pool_env pools;
	static struct maint_env maint;
	static struct lag lag;
	struct node_gauges gauges = { .jobs_live = 7 };

	for (int64_t ms = 1; ms <= 1000; ms++)
		histo_add(&pools.start_ms, ms);
	return node_metrics_text(pool, &front, &pools, &maint, &lag, &gauges);
}

/* One malformed line makes a scraper discard the whole response. */
START_TEST(each_line_is_well_formed)
{
	static const char pattern[] =
		"^(#.*|plank_[a-z_]+(\\{[a-z]+=\"[0-9]+\\.[0-9]+\"\\})? "
		"-?[0-9]+)$";
	char *text = create_text();
	char *line, *save;
	regex_t sample;

	ck_assert_int_eq(regcomp(&sample, pattern, REG_EXTENDED | REG_NOSUB),
			 0);
	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save))
		ck_assert_msg(!regexec(&sample, line, 0, NULL, 0), "%s", line);
	regfree(&sample);
}
END_TEST

START_TEST(latencies_have_their_quantiles)
{
	const char *text = create_text();
	unsigned long long median = 0;
	const char *line =
		strstr(text, "plank_start_order_ms{quantile=\"0.5\"} ");

	ck_assert_ptr_nonnull(line);
	ck_assert_int_eq(sscanf(strchr(line, ' '), " %llu", &median), 1);
	ck_assert_uint_ge(median, 450);
	ck_assert_uint_le(median, 550);
	ck_assert_ptr_nonnull(strstr(text, "plank_jobs_live 7\n"));
	ck_assert_ptr_nonnull(strstr(text, "plank_job_wait_ms_count 0\n"));
}
END_TEST

/* An owner out of processor time must be told from one whose log is slow. */
START_TEST(late_ticks_and_busy_time_are_counted)
{
	static struct lag lag;

	lag_note(&lag, 1000, 20, 0);
	lag_note(&lag, 1020, 20, 5);
	lag_note(&lag, 1340, 20, 325);
	ck_assert_uint_eq(lag.late_ms.count, 3);
	ck_assert_uint_eq(lag.late_ms.max, 300);
	ck_assert_int_eq(lag.recent_ms, 30);
	ck_assert_int_eq(lag.busy_ms, 325);
	for (int64_t ms = 1360; ms <= 10000; ms += 20)
		lag_note(&lag, ms, 20, 325 + (ms - 1340) * 3 / 4);
	ck_assert_int_ge(lag.busy_percent, 70);
	ck_assert_int_le(lag.busy_percent, 75);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("metrics");
	TCase *tcase = tcase_create("metrics");
	int status;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	tcase_add_test(tcase, each_line_is_well_formed);
	tcase_add_test(tcase, latencies_have_their_quantiles);
	tcase_add_test(tcase, late_ticks_and_busy_time_are_counted);
	suite_add_tcase(suite, tcase);
	status = suite_run(suite);
	apr_pool_destroy(pool);
	return status;
}
