/*
 * Guards against a task that runs twice, or is lost, when the data centre of a
 * pool's owner is cut off and the log reassigns all parts at once.
 */

#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "log.h"

/* Three of these seeds fail if a successor does not count the membership. */
enum { FIRST_SEED = 1036, SEEDS = 15 };

static int first_seed = FIRST_SEED;

/* With PLANK_LENIENT, for a search, some seeds outside of those of CI fail. */
START_TEST(invariants_hold_under_cuts_and_reassignments)
{
	struct fleet_play play = { .cuts = true,
				   .lenient = getenv("PLANK_LENIENT") };

	fleet_play((uint64_t)_i + (uint64_t)first_seed, &play);
	ck_assert_msg(!play.broken[0], "seed %d: %s", _i + first_seed,
		      play.broken);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cut");
	TCase *tcase = tcase_create("cuts and reassignments");
	SRunner *runner = srunner_create(suite);
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");
	int failed;

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_cut", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, invariants_hold_under_cuts_and_reassignments,
			    0, count ? atoi(count) : SEEDS);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
