/*
 * Guards against a task that is started after its last attempt (BUDGET), beside
 * owners, workers and parts of the network that fail: a failed run that is
 * acknowledged to its worker and not counted, or counted twice.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "log.h"
#include "suite.h"

enum { FIRST_SEED = 3000, SEEDS = 40 };

static int first_seed = FIRST_SEED;

static void play_failing(int seed, bool cuts)
{
	struct fleet_play play = { .failing = true, .cuts = cuts };

	fleet_play((uint64_t)seed, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", seed, play.broken);
}

START_TEST(no_task_starts_after_its_last_attempt)
{
	play_failing(first_seed + _i, false);
}
END_TEST

START_TEST(no_task_starts_after_its_last_attempt_beside_cuts)
{
	play_failing(first_seed + _i, true);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("attempts");
	TCase *tcase = tcase_create("attempts of tasks that fail");
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");
	int seeds = count ? atoi(count) : SEEDS;

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_attempts", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, no_task_starts_after_its_last_attempt, 0,
			    seeds);
	tcase_add_loop_test(tcase,
			    no_task_starts_after_its_last_attempt_beside_cuts,
			    0, seeds);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
